"""Stage workers send some of their answers twice. Rule MIXED: no piece and no
request gets inputs of another request."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, Fleet, Record, attempt_id, now, play, send_request  # noqa: E402
from workers import ModelWorker, Results, StageWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# LATE=1: the second answer comes when the next request has arrived, not at once.
LATE = os.environ.get("LATE", "0") != "0"
# Share of a service's workers, one answer in how many, when and for how long.
SHARE, ONE_IN, FROM_S, FOR_S = 0.5, 50, (2.0, 10.0, 18.0, 26.0, 34.0, 42.0, 50.0), 5.0
REQUESTS_PER_S, TRAFFIC_S = 12.0, 57.0
PIECES = [4, 4, 4]
STAGES = [{"inputs": {}}, {"inputs": {0: 4}}, {"inputs": {1: 4}}]
# Name, workers, pieces a call, ms a call, ms a piece, MB for results.
SERVICES = [("levantamento", 4, 4, 200, 21.0, 18.0), ("alertas", 5, 4, 200, 12.0, 1.8),
            ("faturacao", 5, 4, 200, 5.0, 0.46)]
ZONES = ["sala-a", "sala-b", "sala-c"]
BYTES = [8000, 60000, 6000]


def config():
    services = [{"name": "modelo", "health_path": "/healthz", "max_conns": 500, "protocol": "h1",
                 "tls": False, "engine": {"slots": 128, "kv_capacity": 289613,
                                          "models": [{"name": "m"}]}}]
    for name, _, batch, call_ms, item_ms, mb in SERVICES:
        services.append({"name": name, "health_path": "/healthz", "max_conns": 500,
                         "protocol": "h1", "tls": False,
                         "pieces": {"slots": 1, "queue": 2, "batch": batch, "call_ms": call_ms,
                                    "item_ms": item_ms, "headroom_mb": mb, "handle_s": 4.0,
                                    "link_mbps": 10000}})
    stages = [{"service": SERVICES[i][0], "after": [i - 1] if i else [], "bytes": BYTES[i]}
              for i in range(3)]
    route = {"name": "notes", "host": "notes.example", "path_prefix": "/note/", "kind": "stream",
             "timeout_ms": 6000, "latency_target_ms": 2000, "priority": 0, "service": "modelo",
             "attempts": 1, "stages": stages, "public": True, "sticky": True, "resumable": False,
             "gap_target_ms": 300}
    return {"version": 1, "routes": [route], "services": services, "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Extra:
    """Which answers of an affected worker are sent a second time: at no moment more
    than one of ONE_IN that it has sent in the spells."""

    def __init__(self):
        self.left = ONE_IN - 1

    def __call__(self, worker):
        if not TROUBLE or not any(
                begin <= traffic_time() < begin + FOR_S for begin in FROM_S):
            return False
        self.left -= 1
        if self.left >= 0:
            return False
        self.left = ONE_IN - 1
        return True


BEGUN = [0.0]


def traffic_time():
    return now() - BEGUN[0]


async def one_request(fleet, record, served):
    attempt = attempt_id()
    instance = random.choice(fleet.instances)
    headers = {"Attempt-Id": attempt, "Deadline-Ms": "6000", "Model": "m",
               "Token-Count": "1800,24", "Prompt-Prefix": f"{random.getrandbits(32):08x}:1800",
               "Pieces": ",".join(map(str, PIECES)), "Piece-Key": f"{random.getrandbits(48):012x}"}
    record.add("sent", request=attempt, to=instance.name)
    reply = await send_request(instance, "POST", "/note/1", "notes.example", headers,
                               b"x" * 4000, 6.0)
    record.add("answered", request=attempt, status=reply.status, complete=reply.complete,
               error=reply.error or "-")
    served.append(reply.status == 200 and reply.complete)


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(record)
    results = Results(record)
    served = []
    try:
        await fleet.start_store(config())
        for index, (name, count, _, call_ms, item_ms, _) in enumerate(SERVICES):
            for number in range(count):
                worker = StageWorker(fleet.store, record, name, ZONES[number % 3], results,
                                     STAGES, call_ms, item_ms)
                if number < round(SHARE * count):
                    worker.extra, worker.extra_late = Extra(), LATE
                await fleet.add_worker(worker)
        for number in range(6):
            await fleet.add_worker(ModelWorker(fleet.store, record, "modelo", ZONES[number % 3],
                                               results, {2: 4}))
        for zone in ZONES:
            await fleet.add_instance(zone)
        if not await fleet.wait_ready():
            print("the instances didn't get ready")
            return 2
        await asyncio.sleep(4)
        BEGUN[0] = now()
        tasks = []
        while traffic_time() < TRAFFIC_S:
            tasks.append(asyncio.create_task(one_request(fleet, record, served)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*tasks)
    finally:
        await fleet.end()
    record.add("summary", requests=len(served), served=sum(served), broken=len(results.broken))
    print(f"{len(served)} requests, {sum(served)} served, MIXED broken {len(results.broken)} times")
    if sum(served) < len(served) / 2:
        return 2
    return BROKEN if results.broken else 0


play(main)
