"""Workers are gone soon after they have announced it, while they stream. Rule ORDER: a
stream that ends early must not end as complete."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, Fleet, Record, attempt_id, now, play, send_request  # noqa: E402
from worker import EVENTS  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE, INSTANCES, WORKERS = "sala-a", 3, 6
NOTICE_S, REPLACED_S = 2.0, 4.0  # `scale_in`, how = "spot": one of six workers at a time.
NO_LENGTH, SPELL_S, REST_S = 0.05, 5.0, 3.0  # `garble`, how = "unframed", half of the workers.
PER_S, TRAFFIC_S, TAIL_S = 25.0, 70.0, 11.0
HOST = "pule25.example"
CONFIG = {"version": 3,
          "routes": [{"name": "nota", "host": HOST, "path_prefix": "/nota/", "kind": "stream",
                      "timeout_ms": 15000, "latency_target_ms": 1000, "gap_target_ms": 300,
                      "priority": 0, "attempts": 1, "service": "modelo", "public": True,
                      "sticky": True, "resumable": False}],
          "services": [{"name": "modelo", "health_path": "/healthz", "max_conns": 500,
                        "protocol": "h1", "tls": False,
                        "engine": {"slots": 128, "kv_capacity": 289613, "models": [{"name": "m"}]}}],
          "tenants": [],
          "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                     "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class WorkerProcess:
    """A worker's process, and its entry in the store."""

    def __init__(self, case):
        self.case, self.store, self.record = case, case.fleet.store, case.record
        self.id = f"i-{random.getrandbits(40):010x}"
        self.process = None
        self.runs = {}
        self.gone = False

    async def start(self):
        begin = time.monotonic()
        some = [] if random.random() < 0.5 else [
            f"{begin + n * (SPELL_S + REST_S) + shift:.3f}"
            for n in range(12) for shift in (0, SPELL_S)]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "worker.py"), self.case.fleet.addresses.ip(),
            self.id, str(NO_LENGTH), *some, stdout=asyncio.subprocess.PIPE)
        line = await self.process.stdout.readline()
        self.address = line.decode().split()[1]
        self.reading = asyncio.create_task(self.read())
        self.write_entry("ready")

    async def read(self):
        while line := await self.process.stdout.readline():
            kind, attempt, *rest = line.decode().split()
            self.record.add(kind, request=attempt, worker=self.id, answer=" ".join(rest) or "-")
            if kind == "run":
                self.case.ran[attempt] = self
                self.runs[attempt] = rest[0]
            else:
                self.case.finished.add(attempt)

    def write_entry(self, state):
        self.store.put("servers", self.id, {
            "service": "modelo", "addr": self.address, "zone": ZONE, "version": "1",
            "slots": 128, "state": state, "cold_left_ms": 0, "seq": 1})

    async def take_away(self):
        self.write_entry("draining")
        self.record.add("worker-draining", worker=self.id)
        await asyncio.sleep(NOTICE_S)
        self.record.add("worker-gone", worker=self.id,
                        running=len([r for r in self.runs if r not in self.case.finished]))
        await self.end()
        self.store.delete("servers", self.id)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.gone = True


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.workers = []
        self.ran, self.finished = {}, set()
        self.ends, self.broken = {}, []

    async def add_worker(self):
        worker = WorkerProcess(self)
        self.workers.append(worker)
        await worker.start()

    async def start(self):
        await self.fleet.start_store(CONFIG)
        await asyncio.gather(*(self.add_worker() for _ in range(WORKERS)))
        for _ in range(INSTANCES):
            await self.fleet.add_instance(ZONE)
        return await self.fleet.wait_ready()

    async def replace(self):
        while now() < self.end_at - 4:
            await asyncio.sleep(1.0)
            if not TROUBLE:
                continue
            worker = random.choice([w for w in self.workers if not w.gone])
            await worker.take_away()
            await asyncio.sleep(REPLACED_S)
            await self.add_worker()

    async def ask(self, instance):
        attempt = attempt_id()
        self.record.add("sent", request=attempt, to=instance.name)
        reply = await send_request(
            instance, "POST", "/nota/1", HOST,
            {"Attempt-Id": attempt, "Deadline-Ms": 15000, "Model": "m",
             "Token-Count": "700,180", "Prompt-Prefix": f"5c1e07a2:500,{attempt[:8]}:200"},
            b"prompt", limit_s=16)
        events = reply.body.count(b"id: ")
        how = "complete" if reply.complete else reply.error
        self.ends[f"{reply.status} {how}"] = self.ends.get(f"{reply.status} {how}", 0) + 1
        self.record.add("answered", request=attempt, status=reply.status, end=how, events=events)
        if reply.status == 200 and reply.complete and events != EVENTS:
            self.broken.append(attempt)
            worker = self.ran.get(attempt)
            self.record.add("BROKEN-ORDER", request=attempt, events=f"{events} of {EVENTS}",
                            worker=worker.id if worker else "-",
                            answer=worker.runs[attempt] if worker else "-")

    async def play(self):
        self.end_at = now() + TRAFFIC_S
        replacing = asyncio.create_task(self.replace())
        asked = []
        while now() < self.end_at:
            asked.append(asyncio.create_task(self.ask(random.choice(self.fleet.instances))))
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.wait(asked, timeout=TAIL_S)
        await replacing

    async def end(self):
        for worker in self.workers:
            if worker.process:
                await worker.end()
        await self.fleet.end()


async def main():
    case = Case(Record(os.path.join(HERE, "record.txt")))
    try:
        if not await case.start():
            print("the instances didn't get ready")
            return 2
        await case.play()
    finally:
        await case.end()
    taken = sum(1 for worker in case.workers if worker.gone)
    no_length = sum(1 for w in case.workers for kind in w.runs.values() if kind == "no-length")
    print(f"streams {case.ends}; {no_length} without a length; "
          f"{len(case.workers) - WORKERS} workers replaced; {len(case.broken)} streams ended "
          f"as complete before their last event")
    if not case.ends.get("200 complete"):
        return 2
    return BROKEN if case.broken else 0


play(main)
