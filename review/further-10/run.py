"""MIXED: the failure of a resumed stream is written into the stream.

A fleet of four instances, eight model workers. One worker of eight at a time, for
6.5 s, fails one request in four with its own 500 (`srv_grey`, errors). Every 1.5 s
the connections to one worker of eight are reset (`node_cut`, servers reset, with no
further time cut off). No worker breaks off an answer. The clients read streams that
may be resumed.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))

from fleet import BROKEN, Fleet, Record, answer, attempt_id, now, play, read_head, seal  # noqa: E402
from gate import Gate  # noqa: E402
from workers import ModelWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
TRAFFIC_S = 80.0
CLIENTS = 60
RESET_EVERY_S = 1.5
WORKERS = 8
GREY_FOR_S = 6.5
GREY_SHARE = 0.25
HOST, PATH = "resumo.example", "/resumo/1f"

CONFIG = {
    "version": 7,
    "routes": [{
        "name": "resumo", "host": HOST, "path_prefix": "/resumo/", "service": "modelo",
        "kind": "stream", "timeout_ms": 15000, "latency_target_ms": 1000, "attempts": 2,
        "priority": 2, "sticky": True, "resumable": True, "gap_target_ms": 300}],
    "services": [{"name": "modelo", "health_path": "/healthz", "max_conns": 500,
                  "engine": {"slots": 128, "kv_capacity": 289613}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}


class GreyWorker(ModelWorker):
    """Fails a part of its requests with a 500 of its own; its health is good."""

    grey = False

    async def work(self, request, writer):
        attempt = request.get("Attempt-Id")
        runs = request.target.startswith("/resumo/")
        if not (self.grey and runs and random.random() < GREY_SHARE):
            return await super().work(request, writer)
        self.record.add("run", worker=self.id, request=attempt,
                        after=request.get("Last-Event-Id", "-"), answers=500)
        await asyncio.sleep(0.001)
        writer.write(answer(500, b"worker failed", Attempt_Id=attempt,
                            Server_Seal=seal(self, 500)))
        await writer.drain()
        return True


class Counts:
    def __init__(self):
        self.streams = self.whole = self.failed = self.cut = self.resets = 0
        self.broken = []


def is_hex(line):
    text = line.strip().split(b";")[0]
    return bool(text) and all(c in b"0123456789abcdefABCDEF" for c in text)


async def read_stream(reader, attempt, record, counts):
    """Reads one answer. Returns when it has ended or can't be read."""
    line, headers = await read_head(reader)
    status = int(line.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        await reader.readexactly(int(headers.get("content-length", 0)))
        counts.failed += 1
        record.add("answer", request=attempt, status=status)
        return
    events = 0
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        if not is_hex(line):
            rest = await asyncio.wait_for(reader.read(200), 1)
            counts.broken.append(attempt)
            record.add("BROKEN-MIXED", request=attempt, status=status, events=events,
                       where="a-chunk-was-due", got=repr((line + rest)[:160]))
            return
        size = int(line.split(b";")[0], 16)
        if size:
            events += (await reader.readexactly(size)).count(b"\n\n")
        await reader.readuntil(b"\r\n")
        if not size:
            counts.whole += 1
            record.add("answer", request=attempt, status=status, events=events)
            return


async def client(fleet, record, counts, end):
    while now() < end:
        instance = random.choice(fleet.instances)
        attempt = attempt_id()
        counts.streams += 1
        record.add("sent", request=attempt, to=instance.name)
        subject = random.randrange(200)
        head = (f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                f"Deadline-Ms: 15000\r\nModel: m\r\nToken-Count: 500,96\r\n"
                f"Prompt-Prefix: {subject % 8:x}a:100,{subject:x}b:70\r\n"
                "Content-Length: 200\r\n\r\n").encode()
        writer = None
        try:
            reader, writer = await asyncio.open_connection(instance.ip, instance.front,
                                                           limit=1 << 20)
            writer.write(head + b"x" * 200)
            await asyncio.wait_for(read_stream(reader, attempt, record, counts), 15)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            counts.cut += 1
            record.add("cut", request=attempt, error=type(error).__name__)
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(random.uniform(0, 0.2))


async def turn_grey(workers, record, end):
    """One worker after the other, each for GREY_FOR_S."""
    while now() < end:
        for worker in workers:
            if now() >= end:
                break
            worker.grey = True
            record.add("srv_grey", worker=worker.id)
            await asyncio.sleep(GREY_FOR_S)
            worker.grey = False


async def reset_connections(gates, record, counts, end):
    while now() < end:
        await asyncio.sleep(RESET_EVERY_S)
        number = random.randrange(len(gates))
        record.add("reset", worker=number, connections=len(gates[number].pairs))
        gates[number].reset_all()
        counts.resets += 1


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(record)
    counts = Counts()
    gates = []
    try:
        await fleet.start_store(CONFIG)
        for _ in range(WORKERS):
            worker = GreyWorker(fleet.store, record, "modelo", "sala-a", 128, first_ms=50,
                                gap_ms=25, events=32)
            ip = fleet.addresses.ip()
            await worker.listen(ip)
            gates.append(Gate(fleet.addresses.ip(), worker.address))
            worker.shown = gates[-1].address
            worker.write_entry()
            worker.beat = asyncio.create_task(worker.write_entries())
            fleet.workers.append(worker)
        for _ in range(4):
            await fleet.add_instance("sala-a")
        if not await fleet.wait_ready():
            print("the instances did not get ready")
            return 2
        await asyncio.sleep(10 - min(10, now()))
        end = now() + TRAFFIC_S
        tasks = [asyncio.create_task(client(fleet, record, counts, end))
                 for _ in range(CLIENTS)]
        if TROUBLE:
            tasks.append(asyncio.create_task(
                reset_connections(gates, record, counts, end)))
            tasks.append(asyncio.create_task(turn_grey(fleet.workers, record, end)))
        await asyncio.gather(*tasks)
    finally:
        await fleet.end()
        for gate in gates:
            gate.close()
    text = (f"streams {counts.streams}, whole {counts.whole}, failed {counts.failed}, "
            f"cut {counts.cut}, resets {counts.resets}, broken {len(counts.broken)}")
    print(text)
    record.add("result", text=repr(text))
    if counts.whole < counts.streams // 2:
        return 2
    return BROKEN if counts.broken else 0


play(main)
