"""Another writer puts one entry among those of the workers, then all processes
are killed and started again. Rule RECOVER: the requests that are sent later
than `recover_s` after the machines are back are served."""

import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BOUNDS, BROKEN, Fleet, Record, Store, answer, attempt_id, now, play, send_request  # noqa: E402
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sala-a", "sala-b"]
# A JSON number (RFC 8259, section 6, sets no range) in place of a small integer.
FOREIGN_ENTRY = ('{"service":"portal","addr":"127.0.0.1:9","zone":"sala-a","version":"1","slots":6,'
                 '"state":"ready","cold_left_ms":0,"seq":1e400}')
ENTRY_S, KILL_S, DOWN_S, TAIL_S, REQUESTS_PER_S = 6.0, 10.0, 1.0, 12.0, 10.0


class TextStore(Store):
    """Keeps the spec of an object as the text that its writer sent."""

    def put_text(self, kind, name, text):
        self.put(kind, name, {"text of the writer": name})
        self.texts[json.dumps({"text of the writer": name})] = text

    async def handle(self, request, writer):
        path, _, query = request.target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.removeprefix("/-/objects/").split("/")
        made = await self.answer_to(request, parts[0], parts[1] if len(parts) > 1 else "", args)
        head, _, body = made.partition(b"\r\n\r\n")
        for kept, text in self.texts.items():
            body = body.replace(kept.encode(), text.encode())
        status = int(head.split(b" ")[1])
        writer.write(answer(status, body, Content_Type="application/json"))
        await writer.drain()
        return True


def config(version=1):
    route = {"name": "mapa", "host": "mapa.example", "path_prefix": "/mapa/", "service": "portal",
             "kind": "safe", "timeout_ms": 3000, "latency_target_ms": 300, "attempts": 2,
             "public": True, "sticky": False, "resumable": False, "priority": 1}
    service = {"name": "portal", "health_path": "/healthz", "max_conns": 51, "protocol": "h1",
               "tls": False}
    return {"version": version, "routes": [route], "services": [service], "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.fleet.store = TextStore()
        self.fleet.store.texts = {}
        self.begun, self.back = 0.0, None
        self.before, self.after = [], []

    def time(self):
        return now() - self.begun

    async def start(self):
        await self.fleet.start_store(config())
        for number in range(3):
            await self.fleet.add_worker(PlainWorker(self.fleet.store, self.record, "portal",
                                                    ZONES[number % 2], 6, 60))
        for zone in ZONES:
            await self.fleet.add_instance(zone)
        return await self.fleet.wait_ready()

    async def ask(self):
        """A client with one more try, as the installation's clients have."""
        sent = self.time()
        for _ in range(2):
            instance = random.choice(self.fleet.instances)
            attempt = attempt_id()
            self.record.add("sent", request=attempt, to=instance.name)
            reply = await send_request(instance, "POST", "/mapa/1", "mapa.example",
                                       {"Attempt-Id": attempt, "Deadline-Ms": "3000"}, b"x" * 200,
                                       3.5)
            self.record.add("answered", request=attempt, status=reply.status,
                            error=reply.error or "-")
            if reply.status == 200:
                break
            await asyncio.sleep(min(1.0, float(reply.headers.get("retry-after", 0.1))))
        served = reply.status == 200 and attempt.encode() in reply.body
        if sent < KILL_S - 3:
            self.before.append(served)
        elif self.back and sent > self.back + BOUNDS["recover_s"]:
            self.after.append(served)

    async def traffic(self):
        asked = []
        while not self.back or self.time() < self.back + BOUNDS["recover_s"] + TAIL_S:
            asked.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*asked)

    async def play(self):
        self.begun = now()
        traffic = asyncio.create_task(self.traffic())
        await asyncio.sleep(ENTRY_S)
        if TROUBLE:
            self.record.add("foreign-entry", spec=repr(FOREIGN_ENTRY))
            self.fleet.store.put_text("servers", "from-another-writer", FOREIGN_ENTRY)
        await asyncio.sleep(KILL_S - ENTRY_S)
        # The final fault comes "immediately after a config is acknowledged".
        self.fleet.store.put("config", "main", config(2))
        for instance in self.fleet.instances:
            self.record.add("kill", instance=instance.name)
            instance.send_signal(signal.SIGKILL)
            await instance.process.wait()
        await asyncio.sleep(DOWN_S)
        for instance in self.fleet.instances:
            # `bootstrap` is true only when the whole system starts for the first time.
            with open(instance.settings, encoding="utf-8") as file:
                settings = file.read()
            with open(instance.settings, "w", encoding="utf-8") as file:
                file.write(settings.replace("first_start=true\n", ""))
            await instance.start()
            self.record.add("started", instance=instance.name)
        self.back = self.time()
        await traffic


async def main():
    case = Case(Record(os.path.join(HERE, "record.txt")))
    try:
        if not await case.start():
            print("the instances didn't get ready")
            return 2
        await case.play()
        ready = [await i.is_ready() for i in case.fleet.instances]
    finally:
        await case.fleet.end()
    before = sum(case.before) / max(1, len(case.before))
    after = sum(case.after) / max(1, len(case.after))
    print(f"served before the kill: {sum(case.before)} of {len(case.before)}; later than recover_s "
          f"after the start: {sum(case.after)} of {len(case.after)}; ready at the end: "
          f"{sum(map(bool, ready))} of {len(ready)}")
    if len(case.before) < 20 or len(case.after) < 20 or before < 0.25:
        return 2
    return BROKEN if after < 0.25 else 0


play(main)
