"""Configs come in quick succession while the config is large. Rules LOST and Fault: the
instances stay within their memory, and requests at sound workers get their answers."""

import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, Fleet, Record, attempt_id, now, play, read_head  # noqa: E402
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sala-a", "sala-b", "sala-c"]
INSTANCES, WORKERS, CLIENTS = 6, 4, 48
# `limits.memory_mb` and `platform.value_bytes` of DEPLOY.md. The platform kills a
# process whose memory exceeds the limit, and starts it again.
MEMORY_BYTES, VALUE_BYTES = 260 * 1024 * 1024, 1048576
GROWTHS, ROUTES_MORE = 10, 350  # `big_config`, ten times.
STORM_S, STORM_GAP_S, REST_S = 4.0, 0.33, 4.0  # `config_storm`, again and again.
TRAFFIC_S = float(os.environ.get("TRAFFIC_S", "85"))


def config(version, routes):
    def route(name, number):
        return {"name": f"r-{name}", "host": "pule25.example", "path_prefix": f"/{name}/",
                "kind": "unsafe", "timeout_ms": 3000, "latency_target_ms": 300,
                "priority": 2, "attempts": 1, "service": "portal", "public": True,
                "sticky": False, "resumable": False, "weight": number % 100}

    return {"version": version,
            "routes": [route("ficha", 0)] + [route(f"bobo{n}x", n) for n in range(routes)],
            "services": [{"name": "portal", "health_path": "/healthz", "max_conns": 500,
                          "protocol": "h1", "tls": False}],
            "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.end_at = 0.0
        self.answers, self.lost, self.ends = {}, [], []
        self.ran, self.most = set(), {}
        self.version, self.bytes = 1, 0

    async def start(self):
        await self.fleet.start_store(config(1, 8))
        for number in range(WORKERS):
            worker = PlainWorker(self.fleet.store, self.record, "portal", ZONES[number % 3],
                                 32, 150)
            worker.on_run = lambda w, attempt: self.ran.add(attempt)
            await self.fleet.add_worker(worker)
        for number in range(INSTANCES):
            await self.fleet.add_instance(ZONES[number % 3])
        return await self.fleet.wait_ready()

    async def mind_memory(self, instance):
        """The platform's part. Only memory of the process's own counts here: neither
        its program and libraries nor the bytes in its sockets."""
        while now() < self.end_at:
            await asyncio.sleep(0.05)
            if instance.process.returncode is None:
                with open(f"/proc/{instance.process.pid}/status", encoding="ascii") as file:
                    kb = next((int(line.split()[1]) for line in file
                               if line.startswith("RssAnon")), 0)
                most = self.most.get(instance.name, 0)
                if kb * 1024 > most + 2e7:
                    self.record.add("memory", instance=instance.name, mb=f"{kb / 1024:.0f}")
                self.most[instance.name] = max(most, kb * 1024)
                if kb * 1024 <= MEMORY_BYTES:
                    continue
                self.record.add("memory-exceeded", instance=instance.name,
                                mb=f"{kb / 1024:.0f}", version=self.version)
                instance.send_signal(signal.SIGKILL)
                await instance.process.wait()
            else:
                self.record.add("ended", instance=instance.name, code=instance.process.returncode)
            self.ends.append((round(now(), 1), instance.name))
            await asyncio.sleep(0.5)
            await instance.start()

    async def ask(self, instance):
        """One client: short requests on a connection that it keeps."""
        reader = writer = None
        while now() < self.end_at - 3:
            attempt, status = attempt_id(), "none"
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(instance.ip, instance.front)
                body = b"y" * 600
                writer.write((f"POST /ficha/1 HTTP/1.1\r\nHost: pule25.example\r\n"
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
                if attempt in self.ran and not isinstance(error, asyncio.TimeoutError):
                    self.lost.append(attempt)
                    self.record.add("BROKEN-LOST", request=attempt, at=instance.name, end=status)
                if writer:
                    writer.close()
                writer = None
                await asyncio.sleep(0.5)
            self.record.add("answered", request=attempt, status=status)
            self.answers[status] = self.answers.get(status, 0) + 1
            await asyncio.sleep(0.1)

    def write(self, routes):
        self.version += random.randint(1, 9)
        spec = config(self.version, routes)
        self.bytes = len(json.dumps(spec))
        assert self.bytes < VALUE_BYTES
        self.fleet.store.put("config", "main", spec)
        self.record.add("config", version=self.version, routes=routes, bytes=self.bytes)

    async def operate(self):
        for number in range(GROWTHS):
            await asyncio.sleep(1)
            self.write((number + 1) * ROUTES_MORE)
        while TROUBLE and now() < self.end_at - 5:
            await asyncio.sleep(REST_S)
            storm_ends = now() + STORM_S
            while now() < storm_ends:
                self.write(GROWTHS * ROUTES_MORE)
                await asyncio.sleep(STORM_GAP_S)

    async def play(self):
        self.end_at = now() + TRAFFIC_S
        tasks = [asyncio.create_task(self.operate())]
        tasks += [asyncio.create_task(self.mind_memory(i)) for i in self.fleet.instances]
        tasks += [asyncio.create_task(self.ask(self.fleet.instances[n % INSTANCES]))
                  for n in range(CLIENTS)]
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
    print(f"answers {case.answers}; config of {case.bytes} bytes; most memory "
          f"{ {n: round(b / 1048576) for n, b in case.most.items()} } MiB; ended {case.ends}; "
          f"{len(case.lost)} requests that ran at a sound worker lost their connection")
    if not case.answers.get("200"):
        return 2
    return BROKEN if len(case.lost) > 3 else 0


play(main)
