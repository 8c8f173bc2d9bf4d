"""Clients read a long answer slowly. Rule LOST: an instance doesn't close kept
connections whose requests it has passed on to a sound worker without an answer."""

import asyncio
import os
import random
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, Fleet, Record, answer, attempt_id, now, play, read_head, seal  # noqa: E402
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sala-a", "sala-b"]
ANSWER_KB = {"pause": 1024, "steady": 400}
CLIENTS, DEADLINE_MS = 12, 20000
# Half of the clients read this much of an answer, then nothing for this long, then
# the rest, three times.
READ_FIRST, PAUSE_S, PAUSES = 32 * 1024, float(os.environ.get("PAUSE_S", "4")), 3
# The others read one answer at a steady 27 KB/s, in 15 s.
PART, STEP_S = 4096, 0.15


def long_body(attempt, path):
    return attempt.encode() * (int(path.rsplit("/")[-1]) * 1024 // len(attempt))


class LongWorker(PlainWorker):
    """Answers `/long/KB` with a body of that size, and waits for its reader."""

    def __init__(self, *args):
        super().__init__(*args)
        self.runs, self.ended = {}, set()

    async def work(self, request, writer):
        if not request.target.startswith("/long/"):
            return await super().work(request, writer)
        attempt = request.get("Attempt-Id")
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.add("run", worker=self.id, request=attempt)
        await asyncio.sleep(self.work_ms / 1000)
        writer.write(answer(200, long_body(attempt, request.target), Attempt_Id=attempt,
                            Server_Seal=seal(self, 200)))
        await writer.drain()
        self.record.add("run-ends", worker=self.id, request=attempt)
        self.ended.add(attempt)
        return True


def config():
    def route(name, **fields):
        return {"name": name, "host": "mapa.example", "path_prefix": f"/{name}/",
                "service": "portal", "kind": "unsafe", "attempts": 1, "public": True,
                "sticky": False, "resumable": False, "priority": 1, "timeout_ms": DEADLINE_MS,
                "latency_target_ms": 300, **fields}

    service = {"name": "portal", "health_path": "/healthz", "max_conns": 500, "protocol": "h1",
               "tls": False}
    return {"version": 1, "routes": [route("short"), route("long")], "services": [service],
            "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 30000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.workers = []
        self.whole, self.lost, self.lost_by, self.others = 0, {}, {}, []

    async def start(self):
        await self.fleet.start_store(config())
        for number in range(3):
            self.workers.append(await self.fleet.add_worker(
                LongWorker(self.fleet.store, self.record, "portal", ZONES[number % 2], 32, 30)))
        for zone in ZONES:
            await self.fleet.add_instance(zone)
        return await self.fleet.wait_ready()

    async def read_slowly(self, reader, length, how, attempt):
        if how == "steady":
            body = b""
            while len(body) < length:
                body += await reader.readexactly(min(PART, length - len(body)))
                await asyncio.sleep(STEP_S)
            return body
        body = await reader.readexactly(READ_FIRST)
        self.record.add("pauses", request=attempt, read=len(body), of=length)
        await asyncio.sleep(PAUSE_S)
        return body + await reader.readexactly(length - len(body))

    async def ask(self, instance, reader, writer, path, how=""):
        attempt = attempt_id()
        writer.write((f"POST {path} HTTP/1.1\r\nHost: mapa.example\r\nAttempt-Id: {attempt}\r\n"
                      f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n").encode())
        self.record.add("sent", request=attempt, to=instance.name, path=path, reads=how or "at once")
        begun, body, status = now(), b"", "-"
        try:
            line, headers = await read_head(reader)
            status = line.split(" ")[1]
            length = int(headers["content-length"])
            if how:
                body = await self.read_slowly(reader, length, how, attempt)
            else:
                body = await reader.readexactly(length)
            complete = (not path.startswith("/long/") or status != "200"
                        or body == long_body(attempt, path))
        except (OSError, asyncio.IncompleteReadError):
            complete = False
        self.record.add("answered" if complete else "closed", request=attempt, status=status,
                        after_s=f"{now() - begun:.1f}")
        return attempt, status, complete, now() - begun

    async def client(self, instance, how):
        """On a kept connection: a short request, then one with a long answer."""
        reader = writer = None
        for _ in range(1 if how == "steady" else PAUSES):
            if writer is None:
                # The reader holds no more than it is asked for.
                reader, writer = await asyncio.open_connection(instance.ip, instance.front,
                                                               limit=16 * 1024)
            _, status, complete, _ = await self.ask(instance, reader, writer, "/short/1")
            if not complete or status != "200":
                self.others.append(status)
                writer.close()
                writer = None
                continue
            attempt, status, complete, took = await self.ask(
                instance, reader, writer, f"/long/{ANSWER_KB[how]}", how if TROUBLE else "")
            if complete and status == "200":
                self.whole += 1
                continue
            ran = any(attempt in w.runs for w in self.workers)
            if not complete and ran and took * 1000 < DEADLINE_MS:
                self.lost[instance.name] = self.lost.get(instance.name, 0) + 1
                self.lost_by[how] = self.lost_by.get(how, 0) + 1
                self.record.add("BROKEN-LOST", request=attempt, instance=instance.name,
                                worker_done=any(attempt in w.ended for w in self.workers))
            else:
                self.others.append(status)
            writer.close()
            writer = None
        if writer:
            writer.close()

    async def play(self):
        await asyncio.gather(*(self.client(self.fleet.instances[n % 2],
                                           "steady" if n < CLIENTS / 2 else "pause")
                               for n in range(CLIENTS)))


async def main():
    case = Case(Record(os.path.join(HERE, "record.txt")))
    try:
        if not await case.start():
            print("the instances didn't get ready")
            return 2
        await asyncio.sleep(4)  # From then on the instances are in touch.
        await case.play()
    finally:
        await case.fleet.end()
    print(f"{case.whole} long answers whole, lost by instance {case.lost}, by kind of reader "
          f"{case.lost_by}, others {case.others}")
    if case.whole + sum(case.lost.values()) < CLIENTS:
        return 2
    return BROKEN if max(case.lost.values(), default=0) > 3 else 0


play(main)
