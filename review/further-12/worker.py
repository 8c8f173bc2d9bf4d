"""A model worker in a process of its own, so that its end closes its connections as the
end of a process does. Arguments: address, id, and when some of its answers state no
length: the share of them, and from and to on the system's monotonic clock."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))

from fleet import Server, answer  # noqa: E402

EVENTS, FIRST_S, GAP_S = 87, 0.06, 0.1


class ModelWorker(Server):
    def __init__(self, name, share, spells):
        super().__init__()
        self.id, self.share, self.spells = name, share, spells

    def states_no_length(self):
        in_spell = any(begin <= time.monotonic() < end for begin, end in self.spells)
        return in_spell and random.random() < self.share

    async def handle(self, request, writer):
        attempt = request.get("Attempt-Id")
        if request.get("Expect-Instance") not in ("", self.id):
            writer.write(answer(421, Not_Run=1, Attempt_Id=attempt))
            await writer.drain()
            return True
        unframed = self.states_no_length()
        print("run", attempt, "no-length" if unframed else "chunked", flush=True)
        await asyncio.sleep(FIRST_S)
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Attempt-Id: {attempt}\r\nServer-Seal: {self.id}.{random.getrandbits(32):08x}\r\n")
        head += "Connection: close\r\n\r\n" if unframed else "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt} {number} of {EVENTS}\n\n".encode()
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        if not unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        print("run-ends", attempt, flush=True)
        return not unframed


async def main():
    ip, name, share, *times = sys.argv[1:]
    spells = list(zip(map(float, times[::2]), map(float, times[1::2])))
    worker = ModelWorker(name, float(share), spells)
    await worker.listen(ip)
    print("listens", worker.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
