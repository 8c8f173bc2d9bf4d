"""Many clients send long bodies at once, all within the limits of the config. Rule
Fault: the instances stay within their memory."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, Fleet, Record, attempt_id, now, play, read_head  # noqa: E402
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sala-a", "sala-b"]
MEMORY_MB = 260  # The platform kills a process that exceeds it.
MAX_BODY_BYTES = 4194304
BODY_BYTES = 4000000
# A client sends a body in five seconds or so, at 6 Mbit/s.
PARTS, PART_GAP_S = 50, 0.1
# The usual number of clients at each instance, and at most 2.5 times as many.
USUAL, BURST_X = 30, 2.5
BURST_AT_S, TRAFFIC_S = 8.0, 30.0
ORDINARY = 16  # Clients of short requests at each instance, on kept connections.


def config():
    def route(name, kind, attempts, priority):
        return {"name": name, "host": "copa.example", "path_prefix": f"/{name}/",
                "service": "portal", "kind": kind, "public": True, "attempts": attempts,
                "timeout_ms": 12000, "latency_target_ms": 2000, "priority": priority}

    return {"version": 1,
            "routes": [route("ficha", "unsafe", 1, 0), route("foto", "safe", 2, 1)],
            "services": [{"name": "portal", "health_path": "/healthz", "max_conns": 500,
                          "protocol": "h1", "tls": False}],
            "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": MAX_BODY_BYTES,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.end_at = 0.0
        self.uploads, self.answers, self.lost, self.killed = {}, {}, [], []
        self.ran = set()
        self.peak = {}

    async def start(self):
        await self.fleet.start_store(config())
        for number in range(4):
            worker = PlainWorker(self.fleet.store, self.record, "portal", ZONES[number % 2],
                                 16, 150)
            worker.on_run = lambda w, attempt: self.ran.add(attempt)
            await self.fleet.add_worker(worker)
        for number in range(2):
            await self.fleet.add_instance(ZONES[number])
        return await self.fleet.wait_ready()

    async def watch_memory(self, instance):
        """Does what the platform does: kills a process that exceeds its memory and
        starts it again. Only resident memory counts here."""
        while now() < self.end_at:
            await asyncio.sleep(0.05)
            if instance.process.returncode is not None:
                self.killed.append(f"{instance.name} ended by itself: {instance.process.returncode}")
                self.record.add("process-ended", instance=instance.name)
                await instance.start()
                continue
            with open(f"/proc/{instance.process.pid}/status", encoding="ascii") as file:
                kb = next((int(l.split()[1]) for l in file if l.startswith("VmRSS")), 0)
            mb = kb * 1024 / 1e6
            self.peak[instance.name] = max(self.peak.get(instance.name, 0), mb)
            if mb > MEMORY_MB * 1.048576:
                self.record.add("BROKEN-memory-exceeded", instance=instance.name, mb=f"{mb:.0f}")
                self.killed.append(f"{instance.name} held {mb:.0f} MB")
                instance.send_signal(signal.SIGKILL)
                await instance.process.wait()
                await asyncio.sleep(0.5)
                await instance.start()

    async def upload(self, instance):
        """One client that sends long bodies, one after the other."""
        while now() < self.end_at - 8:
            attempt = attempt_id()
            writer, status = None, "none"
            try:
                reader, writer = await asyncio.open_connection(instance.ip, instance.front)
                writer.write((f"POST /foto/1 HTTP/1.1\r\nHost: copa.example\r\n"
                              f"Attempt-Id: {attempt}\r\nDeadline-Ms: 12000\r\n"
                              f"Content-Length: {BODY_BYTES}\r\n\r\n").encode())
                part = b"x" * (BODY_BYTES // PARTS)
                for _ in range(PARTS):
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(PART_GAP_S)
                line, headers = await asyncio.wait_for(read_head(reader), 12)
                status = line.split(" ")[1]
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                status = type(error).__name__
                await asyncio.sleep(0.5)
            finally:
                if writer:
                    writer.close()
            self.record.add("upload", request=attempt, to=instance.name, status=status)
            self.uploads[status] = self.uploads.get(status, 0) + 1

    async def ordinary(self, instance):
        """One client of short requests that keeps its connection."""
        reader = writer = None
        while now() < self.end_at - 3:
            attempt = attempt_id()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(instance.ip, instance.front)
                body = b"y" * 600
                writer.write((f"POST /ficha/1 HTTP/1.1\r\nHost: copa.example\r\n"
                              f"Attempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                self.record.add("sent", request=attempt, to=instance.name)
                line, headers = await asyncio.wait_for(read_head(reader), 3.5)
                await reader.readexactly(int(headers.get("content-length", 0)))
                status = line.split(" ")[1]
                if headers.get("connection") == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                status = type(error).__name__
                if attempt in self.ran and status != "TimeoutError":
                    self.lost.append(attempt)
                    self.record.add("lost", request=attempt, at=instance.name, end=status)
                if writer:
                    writer.close()
                writer = None
                await asyncio.sleep(0.5)
            self.record.add("answered", request=attempt, status=status)
            self.answers[status] = self.answers.get(status, 0) + 1
            await asyncio.sleep(0.05)

    async def play(self):
        self.end_at = now() + TRAFFIC_S
        tasks = []
        for instance in self.fleet.instances:
            tasks.append(asyncio.create_task(self.watch_memory(instance)))
            tasks += [asyncio.create_task(self.ordinary(instance)) for _ in range(ORDINARY)]
            tasks += [asyncio.create_task(self.upload(instance)) for _ in range(USUAL)]
        if TROUBLE:
            await asyncio.sleep(BURST_AT_S)
            self.record.add("burst", x=BURST_X)
            for instance in self.fleet.instances:
                tasks += [asyncio.create_task(self.upload(instance))
                          for _ in range(int(USUAL * (BURST_X - 1)))]
        await asyncio.gather(*tasks)


async def main():
    case = Case(Record(os.path.join(HERE, "record.txt")))
    try:
        if not await case.start():
            print("the instances didn't get ready")
            return 2
        await asyncio.sleep(3)
        await case.play()
    finally:
        await case.fleet.end()
    print(f"uploads {case.uploads}; short requests {case.answers}; most memory "
          f"{ {n: round(m) for n, m in case.peak.items()} } MB; {case.killed}; "
          f"{len(case.lost)} requests that had run lost their connections")
    if not case.answers.get("200"):
        return 2
    # Three times on each machine of two: a tenth of the machines in use, two at least.
    by_machine = [sum(text.startswith(i.name) for text in case.killed)
                  for i in case.fleet.instances]
    return BROKEN if min(by_machine) >= 3 else 0


play(main)
