"""CONFIG: an answer whose body doesn't end is passed on without end, past the route's
timeout and the client's deadline.

A fleet of two instances, seven plain workers. One worker in seven answers four
requests in ten with a body without end ("bytes that are no answer may also come
without end, in a head or a body, until the caller closes"). The clients go on reading
for READ_S at most.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))

from fleet import BROKEN, Fleet, Record, attempt_id, now, play, seal, send_request  # noqa: E402
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
TRAFFIC_S = 50.0
CLIENTS = 12
ENDLESS_SHARE = 0.4
TIMEOUT_S, DEADLINE_S, READ_S = 1.5, 3.0, 8.0
GRACE_S = 0.5
HOST = "mapa.example"

CONFIG = {
    "version": 7,
    "routes": [{"name": "mapa", "host": HOST, "path_prefix": "/mapa/", "service": "portal",
                "kind": "safe", "timeout_ms": int(1000 * TIMEOUT_S), "latency_target_ms": 300,
                "attempts": 2, "priority": 2}],
    "services": [{"name": "portal", "health_path": "/healthz", "max_conns": 500}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}


class EndlessWorker(PlainWorker):
    endless = False

    async def work(self, request, writer):
        if not (self.endless and random.random() < ENDLESS_SHARE):
            return await super().work(request, writer)
        attempt = request.get("Attempt-Id")
        self.record.add("endless", worker=self.id, request=attempt)
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: "
                     f"{seal(self, 200)}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        while True:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.05)


class Counts:
    def __init__(self):
        self.sent = self.past_timeout = self.unanswered = 0
        self.longest = 0.0


async def client(fleet, record, counts, end):
    while now() < end:
        instance = random.choice(fleet.instances)
        attempt = attempt_id()
        counts.sent += 1
        record.add("sent", request=attempt, to=instance.name)
        begun = now()
        reply = await send_request(instance, "GET", "/mapa/1", HOST,
                                   {"Attempt-Id": attempt,
                                    "Deadline-Ms": int(1000 * DEADLINE_S)}, b"", READ_S)
        took = now() - begun
        counts.longest = max(counts.longest, took)
        counts.past_timeout += took > TIMEOUT_S
        counts.unanswered += took > TIMEOUT_S + GRACE_S
        record.add("answered", request=attempt, status=reply.status, took_ms=int(1000 * took),
                   complete=reply.complete, error=reply.error or "-", bytes=len(reply.body))
        await asyncio.sleep(random.uniform(0.02, 0.08))


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(record)
    counts = Counts()
    try:
        await fleet.start_store(CONFIG)
        for number in range(7):
            worker = await fleet.add_worker(
                EndlessWorker(fleet.store, record, "portal", "sala-a", 6, 60))
            worker.endless = TROUBLE and number == 0
        for _ in range(2):
            await fleet.add_instance("sala-a")
        if not await fleet.wait_ready():
            print("the instances did not get ready")
            return 2
        await asyncio.sleep(5)
        end = now() + TRAFFIC_S
        await asyncio.gather(*(client(fleet, record, counts, end) for _ in range(CLIENTS)))
    finally:
        await fleet.end()
    text = (f"sent {counts.sent}, longer than the timeout {counts.past_timeout}, of these "
            f"without a final answer {int(1000 * GRACE_S)} ms later {counts.unanswered}, "
            f"longest {counts.longest:.1f} s")
    print(text)
    record.add("result", text=repr(text))
    if counts.sent < 100:
        return 2
    return BROKEN if counts.unanswered >= 8 and 4 * counts.unanswered > counts.past_timeout else 0


play(main)
