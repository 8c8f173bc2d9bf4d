"""CONFIG: after the store has forgotten its history several times, the instances
don't ask it for the config for over six seconds.

A fleet of three instances, two services with one plain worker each. Eight times
within 24 s the store forgets its history (`platform_compact`): its watches hear
nothing for a second, then the history is dropped and they are cut. From then on
nothing is disturbed. More than `stable_window_ms` later the operator takes a key
away and moves a route to another service.
"""

import asyncio
import copy
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))

from fleet import (BOUNDS, BROKEN, Fleet, Record, Store, answer, attempt_id,  # noqa: E402
                   json_answer, now, play, send_request)
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
DEAF_S = 1.0
COMPACTIONS_S = (0.0, 2.3, 4.7, 7.2, 9.9, 13.0, 16.9, 22.4)
CALM_S = 3.3  # From the end of the last compaction to the change; over 3 s.
AFTER_S = 8.0
SEND_EVERY_S = 0.1
HOST = "portal.example"
DROPPED_KEY, KEPT_KEY = "key-of-b-1", "key-of-a-1"


def route(name, service):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": service,
            "kind": "unsafe", "timeout_ms": 1500, "latency_target_ms": 300, "attempts": 1,
            "priority": 1}


CONFIG = {
    "version": 7,
    "routes": [route("ficha", "portal"), route("mapa", "portal")],
    "services": [{"name": name, "health_path": "/healthz", "max_conns": 500}
                 for name in ("portal", "portal-novo")],
    "tenants": [{"name": "freguesia-a", "api_keys": [KEPT_KEY]},
                {"name": "freguesia-b", "api_keys": [DROPPED_KEY, "key-of-b-2"]}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}


class ForgetfulStore(Store):
    """Can discard its history. Lists stay linearizable all the while."""

    def __init__(self):
        super().__init__()
        self.first_known = 0
        self.deaf = False
        self.watching = set()

    async def handle(self, request, writer):
        if "watch=" not in request.target:
            return await super().handle(request, writer)
        self.watching.add(writer)
        try:
            return await super().handle(request, writer)
        finally:
            self.watching.discard(writer)

    async def watch(self, kind, since, wait_ms):
        end = now() + wait_ms / 1000
        while True:
            if since < self.first_known:
                return answer(410)
            events = [] if self.deaf else [e for rev, k, e in self.log
                                           if rev > since and k == kind]
            left = end - now()
            if events or left <= 0:
                at = since if self.deaf else self.rev
                return json_answer(200, {"events": events, "at": at})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass

    async def forget(self):
        self.deaf = True
        await asyncio.sleep(DEAF_S)
        self.deaf = False
        self.first_known = self.rev
        self.log = []
        for writer in list(self.watching):
            writer.close()


class Watcher:
    """What was run, and for which requests it should not have been."""

    def __init__(self, record):
        self.record = record
        self.acked = None
        self.sent = {}
        self.late_runs = []
        self.runs = self.right = 0

    def on_run(self, worker, attempt):
        self.runs += 1
        if attempt not in self.sent or self.acked is None:
            return
        sent, kind = self.sent[attempt]
        if sent <= self.acked + BOUNDS["config_ms"] / 1000:
            return
        stale = kind == "dropped-key" or (kind == "moved-route" and worker.service == "portal")
        if not stale:
            self.right += 1
            return
        self.late_runs.append(attempt)
        self.record.add("BROKEN-CONFIG", request=attempt, kind=kind, service=worker.service,
                        sent_ms_after_ack=int(1000 * (sent - self.acked)))


async def client(instance, kind, path, key, watcher, record, end):
    while now() < end:
        attempt = attempt_id()
        watcher.sent[attempt] = (now(), kind)
        record.add("sent", request=attempt, kind=kind, to=instance.name)
        reply = await send_request(instance, "POST", path, HOST,
                                   {"Attempt-Id": attempt, "Deadline-Ms": 3000,
                                    "Authorization": f"Bearer {key}"}, b"x" * 100, 3.0)
        record.add("answered", request=attempt, kind=kind, status=reply.status,
                   error=reply.error or "-")
        await asyncio.sleep(SEND_EVERY_S)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(record)
    fleet.store = ForgetfulStore()
    watcher = Watcher(record)
    try:
        await fleet.start_store(CONFIG)
        for service in ("portal", "portal-novo"):
            worker = await fleet.add_worker(PlainWorker(fleet.store, record, service, "sala-a",
                                                        6, 5))
            worker.on_run = watcher.on_run
        for _ in range(3):
            await fleet.add_instance("sala-a")
        if not await fleet.wait_ready():
            print("the instances did not get ready")
            return 2
        await asyncio.sleep(10 - min(10, now()))
        start = now()
        change_at = start + COMPACTIONS_S[-1] + DEAF_S + CALM_S
        end = change_at + AFTER_S
        tasks = []
        for instance in fleet.instances:
            for kind, path, key in (("dropped-key", "/ficha/1", DROPPED_KEY),
                                    ("moved-route", "/mapa/1", KEPT_KEY)):
                tasks.append(asyncio.create_task(
                    client(instance, kind, path, key, watcher, record, end)))
        for at in COMPACTIONS_S if TROUBLE else ():
            await asyncio.sleep(max(0, start + at - now()))
            record.add("platform_compact")
            await fleet.store.forget()
            record.add("history-dropped", first_known=fleet.store.first_known)
        await asyncio.sleep(max(0, change_at - now()))
        config = copy.deepcopy(CONFIG)
        config["version"] = 9
        config["routes"][1]["service"] = "portal-novo"
        config["tenants"][1]["api_keys"].remove(DROPPED_KEY)
        fleet.store.put("config", "main", config)
        watcher.acked = now()
        record.add("config", version=9, acked=f"{watcher.acked:.3f}")
        await asyncio.gather(*tasks)
    finally:
        await fleet.end()
    text = (f"runs {watcher.runs}; of the requests sent over {BOUNDS['config_ms']} ms after the "
            f"ack, run as the config says {watcher.right}, "
            f"as only an older one allows {len(watcher.late_runs)}")
    print(text)
    record.add("result", text=repr(text))
    if watcher.right == 0:
        return 2
    return BROKEN if watcher.late_runs else 0


play(main)
