"""Connections between a machine and its workers are reset, while one worker fails
part of its requests. A stream that had begun is resumed, and the second worker
answers 500. Rule MIXED: a client gets no bytes that are no answer in the protocol."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import (BROKEN, Fleet, Record, answer, attempt_id, now, play,  # noqa: E402
                   read_head, seal)
from gate import Gate, reset  # noqa: E402
from workers import ModelWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sala-a", "sala-b", "sala-c"]
INSTANCES, WORKERS, STREAMS = 8, 7, 6
EVENTS, GAP_MS, FIRST_MS = 17, 45, 60
# kinds: "srv_grey: share (.15) fail x (.4) of their requests"; 1 of 7 is 0.143.
GREY_PART = 0.4
# kinds: "reset_conns: share (.1) have x (.5) of their connections reset"; the
# share is rounded up to 1 of 8 machines.
RESET_PART = 0.5
PLAY_S, RESET_GAP_S, DEADLINE_MS = 88, 1.1, 8000
# The site file: srv_grey for 6.5 s at a time; another worker each time.
GREY_S, GREY_GAP_S = 6.5, 0.1


def config():
    service = {"name": "modelo", "health_path": "/healthz", "max_conns": 500, "protocol": "h1",
               "tls": False}
    route = {"name": "inventario", "host": "notes.example", "path_prefix": "/inventario/",
             "kind": "stream", "timeout_ms": DEADLINE_MS, "latency_target_ms": 2300,
             "priority": 1, "service": "modelo", "attempts": 2, "public": True, "sticky": False,
             "resumable": True, "gap_target_ms": 300}
    return {"version": 1, "routes": [route], "services": [service], "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class GreyWorker(ModelWorker):
    """Fails part of its requests with a 500 while its health check is good."""

    grey = False

    async def stream(self, request, writer, attempt):
        if self.grey and random.random() < GREY_PART:
            await asyncio.sleep(self.first_ms / 1000)
            self.record.add("worker-500", worker=self.id, request=attempt)
            writer.write(answer(500, b"failed", Attempt_Id=attempt, Server_Seal=seal(self, 500)))
            await writer.drain()
            return True
        return await super().stream(request, writer, attempt)


def local_ports(instance):
    """The local ports of the instance's connections, read at one time."""
    folder = f"/proc/{instance.process.pid}/fd"
    own = set()
    for name in os.listdir(folder):
        try:
            own.add(os.readlink(os.path.join(folder, name)))
        except OSError:
            pass
    with open("/proc/net/tcp", encoding="ascii") as file:
        lines = [line.split() for line in list(file)[1:]]
    return {int(fields[1].split(":")[1], 16) for fields in lines
            if f"socket:[{fields[9]}]" in own}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.gates = []
        self.broken, self.complete, self.sent = [], 0, 0

    async def start(self):
        await self.fleet.start_store(config())
        for number in range(WORKERS):
            worker = GreyWorker(self.fleet.store, self.record, "modelo", ZONES[number % 3],
                                events=EVENTS, gap_ms=GAP_MS, first_ms=FIRST_MS)
            await worker.listen(self.fleet.addresses.ip())
            gate = Gate(self.fleet.addresses.ip(), worker.address)
            self.gates.append(gate)
            worker.shown = gate.address
            worker.write_entry()
            worker.beat = asyncio.create_task(worker.write_entries())
            self.fleet.workers.append(worker)
        for number in range(INSTANCES):
            await self.fleet.add_instance(ZONES[number % 3])
        return await self.fleet.wait_ready(30)

    async def client(self, instance, end):
        await asyncio.sleep(random.random() * 4)
        while now() < end:
            await self.request(instance)

    async def request(self, instance):
        attempt = attempt_id()
        self.sent += 1
        self.record.add("sent", request=attempt, to=instance.name)
        events, result = 0, "cut off"
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(instance.ip, instance.front)
                body = b"x" * 1400
                writer.write(f"POST /inventario/1 HTTP/1.1\r\nHost: notes.example\r\n"
                             f"Attempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                line, headers = await read_head(reader)
                if headers.get("transfer-encoding") != "chunked":
                    await reader.readexactly(int(headers.get("content-length", 0)))
                    return self.note(attempt, "answer " + line, 0)
                while True:
                    size = await reader.readline()
                    try:
                        length = int(size, 16)
                    except ValueError:
                        if not size:
                            break
                        rest = await self.rest(reader)
                        self.broken.append(attempt)
                        self.record.add("BROKEN-MIXED", request=attempt, events=events,
                                        bytes_in_place_of_a_chunk=repr((size + rest).decode(
                                            "latin-1")))
                        return None
                    part = await reader.readexactly(length) if length else b""
                    await reader.readexactly(2)
                    events += part.count(b"\n\n")
                    if not length:
                        result = "complete"
                        self.complete += 1
                        break
        except TimeoutError:
            result = "gave up"
        except (OSError, asyncio.IncompleteReadError) as error:
            result = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        return self.note(attempt, result, events)

    @staticmethod
    async def rest(reader):
        try:
            return await asyncio.wait_for(reader.read(4096), 0.2)
        except (OSError, TimeoutError):
            return b""

    def note(self, attempt, result, events):
        self.record.add("answered", request=attempt, result=repr(result),
                        events=f"{events}/{EVENTS}")

    def reset_connections(self, instance):
        """Resets half of the machine's connections to workers, on the way."""
        ports = local_ports(instance)
        pairs = []
        for gate in self.gates:
            for pair in gate.pairs:
                peer = pair[0].get_extra_info("peername")
                if peer and peer[1] in ports:
                    pairs.append(pair)
        chosen = random.sample(pairs, int(len(pairs) * RESET_PART))
        self.record.add("reset-connections", machine=instance.name,
                        reset=f"{len(chosen)}/{len(pairs)}")
        for pair in chosen:
            for writer in pair:
                reset(writer)

    async def grey_spells(self, end):
        while now() + GREY_S < end:
            worker = random.choice(self.fleet.workers)
            self.record.add("grey-begins", worker=worker.id)
            worker.grey = True
            await asyncio.sleep(GREY_S)
            worker.grey = False
            self.record.add("grey-ends", worker=worker.id)
            await asyncio.sleep(GREY_GAP_S)

    async def play(self):
        end = now() + PLAY_S
        spells = asyncio.create_task(self.grey_spells(end if TROUBLE else 0))
        clients = [asyncio.create_task(self.client(instance, end))
                   for instance in self.fleet.instances for _ in range(STREAMS)]
        await asyncio.sleep(6)
        while now() < end:
            if TROUBLE:
                self.reset_connections(random.choice(self.fleet.instances))
            await asyncio.sleep(RESET_GAP_S)
        await asyncio.wait(clients, timeout=8)
        for task in [spells, *clients]:
            task.cancel()


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    case = Case(record)
    try:
        if not await case.start():
            return 2
        await case.play()
    finally:
        for gate in case.gates:
            gate.close()
        await case.fleet.end()
    print(f"{case.sent} streams, {case.complete} complete, "
          f"{len(case.broken)} with bytes that are no answer")
    if case.complete == 0:
        return 2
    return BROKEN if case.broken else 0


play(main)
