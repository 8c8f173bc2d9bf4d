"""The store is down for a few seconds; later a route moves and a key is taken away.
Rule CONFIG: requests sent later than config_ms after the ack follow the new config."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import (BOUNDS, BROKEN, Fleet, Record, Store, attempt_id, now, play,  # noqa: E402
                   send_request)
from gate import reset  # noqa: E402
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE, INSTANCES, WORKERS = "sala-a", 12, 2
ROUTES_MORE = 1400  # `big_config`.
DOWN_S = 4.5  # `platform_down`, how = "reset".
CALM_S = 10.0  # Before the outage, and from its end to the change of the config.
WATCHED_S = 40.0  # Time for which clients go on after the change.
CONFIG_S = BOUNDS["config_ms"] / 1000
KEYS = {"kept": "9dnn2ctnfzs989anu6ws", "taken": "b3k7q2mzt5xw0u1hga4e"}
HOST = "pule25.example"


class FlakyStore(Store):
    """Resets its connections while it is down."""

    down = False

    async def serve(self, reader, writer):
        if self.down:
            reset(writer)
            return
        await super().serve(reader, writer)

    def go_down(self):
        self.down = True
        for writer in list(self.writers):
            reset(writer)


def more_routes(seed, count):
    """Names and path prefixes in the form that the platform gives them."""
    draw = random.Random(seed)

    def segment(digits):
        syllables = [draw.choice("bcfhjklmnprtvwz") + draw.choice("aeiou") for _ in range(2)]
        return "".join(syllables) + str(draw.randrange(10 ** (digits - 1), 10 ** digits))

    for _ in range(count):
        name = "r-" + "".join(draw.choices("abcdefghjkmnpqrstuvwxyz23456789", k=7))
        yield name, f"/{segment(3)}/{segment(2)}/"


def config(version, service, keys):
    def route(name, prefix, target):
        return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "unsafe",
                "timeout_ms": 3000, "latency_target_ms": 300, "priority": 2, "attempts": 1,
                "service": target, "public": False, "sticky": False, "resumable": False}

    routes = [route("ficha", "/ficha/", service)]
    routes += [route(name, prefix, "portal") for name, prefix in more_routes(1, ROUTES_MORE)]
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 500,
                          "protocol": "h1", "tls": False} for name in ("portal", "balcao")],
            "tenants": [{"name": "bozi300", "api_keys": keys}],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.fleet.store = FlakyStore()
        self.ran_by = {}
        self.acked_at = None
        self.answers, self.old_service, self.old_key, self.judged = {}, [], [], 0

    async def start(self):
        await self.fleet.start_store(config(4, "portal", list(KEYS.values())))
        for service in ("portal", "balcao"):
            for _ in range(WORKERS):
                # Heartbeats that change nothing else change no entry.
                worker = PlainWorker(self.fleet.store, self.record, service, ZONE, 32, 20)
                worker.beat_s = 1e6
                worker.on_run = self.on_run
                await self.fleet.add_worker(worker)
        for _ in range(INSTANCES):
            await self.fleet.add_instance(ZONE)
        return await self.fleet.wait_ready()

    def on_run(self, worker, attempt):
        self.ran_by[attempt] = worker.service

    async def ask(self, instance, key, end_at):
        await asyncio.sleep(random.random() * 0.4)
        while now() < end_at:
            attempt, sent_at = attempt_id(), now()
            self.record.add("sent", request=attempt, to=instance.name, key=key)
            reply = await send_request(
                instance, "POST", "/ficha/1", HOST,
                {"Attempt-Id": attempt, "Deadline-Ms": 3000,
                 "Authorization": "Bearer " + KEYS[key]}, b"y" * 100, limit_s=4)
            status = reply.status or reply.error
            self.record.add("answered", request=attempt, status=status,
                            ran_by=self.ran_by.get(attempt, "-"))
            self.answers[status] = self.answers.get(status, 0) + 1
            self.judge(instance, key, attempt, sent_at)
            await asyncio.sleep(0.4)

    def judge(self, instance, key, attempt, sent_at):
        if self.acked_at is None or sent_at <= self.acked_at + CONFIG_S:
            return
        self.judged += 1
        late_ms = round((sent_at - self.acked_at) * 1000)
        service = self.ran_by.get(attempt)
        if service is None:
            return
        if service == "portal":
            self.old_service.append((instance.name, late_ms))
            self.record.add("BROKEN-CONFIG", request=attempt, at=instance.name,
                            after_ack_ms=late_ms, what="run-by-the-old-service")
        if key == "taken":
            self.old_key.append((instance.name, late_ms))
            self.record.add("BROKEN-CONFIG", request=attempt, at=instance.name,
                            after_ack_ms=late_ms, what="served-with-a-key-taken-away")

    async def operate(self):
        store = self.fleet.store
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            self.record.add("store-down")
            store.go_down()
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            store.down = False
            self.record.add("store-back")
        await asyncio.sleep(CALM_S)
        store.put("config", "main", config(9, "balcao", [KEYS["kept"]]))
        self.acked_at = now()
        self.record.add("config-acked", version=9)

    async def play(self):
        end_at = now() + 2 * CALM_S + DOWN_S + WATCHED_S
        tasks = [asyncio.create_task(self.operate())]
        tasks += [asyncio.create_task(self.ask(instance, key, end_at))
                  for instance in self.fleet.instances for key in KEYS]
        await asyncio.gather(*tasks)


async def main():
    case = Case(Record(os.path.join(HERE, "record.txt")))
    try:
        if not await case.start():
            print("the instances didn't get ready")
            return 2
        await case.play()
    finally:
        await case.fleet.end()
    broken = case.old_service + case.old_key
    print(f"answers {case.answers}; of {case.judged} requests sent later than config_ms after "
          f"the ack, {len(case.old_service)} were run by the old service and "
          f"{len(case.old_key)} with the key that was taken away, at "
          f"{len({name for name, _ in broken})} of {INSTANCES} instances, the last one "
          f"{max((ms for _, ms in broken), default=0)} ms after the ack")
    if not case.judged or not case.answers.get(200):
        return 2
    return BROKEN if broken else 0


play(main)
