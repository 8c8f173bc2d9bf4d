"""A machine has lost its path to a worker and reaches it through another
instance. That instance is killed while a stream without a length passes through
it. Rule ORDER: a stream doesn't end as complete before its last piece."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, Fleet, Record, attempt_id, now, play, send_request  # noqa: E402
from gate import Gate  # noqa: E402
from workers import ModelWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sala-a", "sala-b", "sala-c"]
EVENTS, GAP_MS = 87, 45


def config():
    service = {"name": "modelo", "health_path": "/healthz", "max_conns": 500, "protocol": "h1",
               "tls": False}
    route = {"name": "resumo", "host": "notes.example", "path_prefix": "/resumo/",
             "kind": "stream", "timeout_ms": 15000, "latency_target_ms": 1000, "priority": 2,
             "service": "modelo", "attempts": 1, "public": True, "sticky": False,
             "resumable": False, "gap_target_ms": 300}
    return {"version": 1, "routes": [route], "services": [service], "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.runs = {}
        self.cut_worker, self.gate = None, None

    async def start(self):
        await self.fleet.start_store(config())
        # One of five workers (0.2) is cut off from one of four instances (0.25).
        for zone in ZONES + ZONES[1:]:
            worker = ModelWorker(self.fleet.store, self.record, "modelo", zone,
                                 events=EVENTS, gap_ms=GAP_MS)
            worker.unframed = True
            worker.on_run = self.on_run
            if self.cut_worker is None:
                self.cut_worker = worker
                ip = self.fleet.addresses.ip()
                await worker.listen(ip)
                self.gate = Gate(self.fleet.addresses.ip(), worker.address)
                worker.shown = self.gate.address
                worker.write_entry()
                worker.beat = asyncio.create_task(worker.write_entries())
                self.fleet.workers.append(worker)
            else:
                await self.fleet.add_worker(worker)
        for zone in ZONES + ZONES[1:2]:
            await self.fleet.add_instance(zone)
        return await self.fleet.wait_ready()

    def on_run(self, worker, attempt, _port):
        self.runs[attempt] = worker

    async def request(self, limit_s):
        attempt = attempt_id()
        headers = {"Attempt-Id": attempt, "Deadline-Ms": "15000"}
        self.record.add("sent", request=attempt, to=self.fleet.instances[0].name)
        reply = await send_request(self.fleet.instances[0], "POST", "/resumo/1", "notes.example",
                                   headers, b"x" * 1400, limit_s)
        events = reply.body.count(b"\n\n")
        self.record.add("answered", request=attempt, status=reply.status,
                        complete=reply.complete, events=f"{events}/{EVENTS}",
                        error=reply.error or "-")
        return attempt, reply, events

    async def log_line(self, after, limit_s, *texts):
        """The first line that the cut instance logs after line `after`."""
        end = now() + limit_s
        while now() < end:
            for line in self.fleet.instances[0].log_lines()[after:]:
                if all(text in line for text in texts):
                    return line
            await asyncio.sleep(0.005)
        return None

    async def cut(self):
        """Cuts the first instance off from the worker; the others reach it.

        The gate can't tell who connects. So it is open just while the first
        instance doesn't try: its attempts and their repeats come at other times.
        """
        after = len(self.fleet.instances[0].log_lines())
        self.record.add("cut", instance=self.fleet.instances[0].name, worker=self.cut_worker.id)
        await self.gate.shut()
        self.gate.reset_all()
        # A request that doesn't reach the worker shows the instance the cut.
        asyncio.create_task(self.request(2))
        if not await self.log_line(after, 3, "path_checked", self.cut_worker.id):
            return False
        await asyncio.sleep(0.24)
        self.gate.open()
        return bool(await self.log_line(after, 1, "path_changed", self.cut_worker.id, "tunnel"))

    def carrier(self):
        """The instance whose connection the worker serves."""
        for client, _ in self.gate.pairs:
            peer = client.get_extra_info("peername")
            if peer is None:
                continue
            port = peer[1]
            for instance in self.fleet.instances:
                if instance.has_connection_from(port):
                    return instance
        return None

    async def play(self):
        if TROUBLE and not await self.cut():
            return None, "the instance didn't find a way through another one"
        begun = set(self.runs)
        victim = asyncio.create_task(self.request(15))
        while set(self.runs) == begun and not victim.done():
            await asyncio.sleep(0.005)
        carrier = self.carrier()
        if TROUBLE:
            await self.gate.shut()
            if carrier in (None, self.fleet.instances[0]):
                victim.cancel()
                return None, "the request took another way"
            await asyncio.sleep(1.5)
            self.record.add("kill", instance=carrier.name)
            carrier.send_signal(signal.SIGKILL)
        return await victim, "played"


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    result, why = None, ""
    for _ in range(4):
        case = Case(record)
        try:
            if not await case.start():
                print("the instances didn't get ready")
                return 2
            await asyncio.sleep(4)
            result, why = await case.play()
        finally:
            if case.gate:
                case.gate.close()
            await case.fleet.end()
        if result:
            break
        record.add("again", why=repr(why))
    if result is None:
        print("couldn't play:", why)
        return 2
    _, reply, events = result
    broken = reply.status == 200 and reply.complete and events < EVENTS
    print(f"status {reply.status}, complete {reply.complete}, {events} of {EVENTS} events")
    if broken:
        record.add("BROKEN-ORDER", events=f"{events}/{EVENTS}")
    return BROKEN if broken else 0


play(main)
