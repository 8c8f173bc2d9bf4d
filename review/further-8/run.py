"""The two instances that watch the store lose the path to it. Rule DRAIN (and CONFIG):
the other instances, which are in touch, follow what the store says in time."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, BOUNDS, Fleet, Instance, Record, attempt_id, now, play, send_request  # noqa: E402
from workers import PlainWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "sala-a"
INSTANCES, WORKERS = 6, 4
CUT_SHARE, CUT_S = 0.35, 8.0  # Of the instances; for as long.
REQUESTS_PER_S = 120.0
DRAIN_S, CONFIG_S, TOUCH_S = (BOUNDS["drain_ms"] / 1000, BOUNDS["config_ms"] / 1000,
                              BOUNDS["stable_window_ms"] / 1000)
KEY, REVOKED = "k-stays-0001", "k-goes-0002"


class Path:
    """The path of one instance to the store. A partition passes no byte on, and
    connections that begin in it get no answer."""

    def __init__(self, target):
        self.target = target
        self.up = asyncio.Event()
        self.up.set()
        self.watches = []  # When this instance began a watch.

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        await self.up.wait()
        ip, port = self.target.split(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(ip, int(port),
                                                                       limit=1 << 22)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.copy(reader, other_writer, True),
                             self.copy(other_reader, writer, False))

    async def copy(self, reader, writer, from_instance):
        try:
            while data := await reader.read(65536):
                if from_instance and b"?watch=" in data:
                    self.watches.append(now())
                await self.up.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()


def config(version, keys):
    return {"version": version,
            "routes": [{"name": "ficha", "host": "copa.example", "path_prefix": "/ficha/",
                        "service": "portal", "kind": "unsafe", "public": False, "attempts": 1,
                        "timeout_ms": 3000, "latency_target_ms": 300, "priority": 0}],
            "services": [{"name": "portal", "health_path": "/healthz", "max_conns": 500,
                          "protocol": "h1", "tls": False}],
            "tenants": [{"name": "bonfim", "api_keys": keys}],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.paths = {}
        self.cut, self.cut_at = [], 0.0
        self.drained, self.drain_ack = None, 1e9
        self.revoke_ack = 1e9
        self.sent = {}
        self.late_drain, self.late_config, self.answers = [], [], {}

    async def start(self):
        await self.fleet.start_store(config(1, [KEY, REVOKED]))
        for _ in range(WORKERS):
            worker = PlainWorker(self.fleet.store, self.record, "portal", ZONE, 16, 40)
            worker.on_run = self.on_run
            await self.fleet.add_worker(worker)
        for number in range(INSTANCES):
            path = Path(self.fleet.store.address)
            await path.listen(self.fleet.addresses.ip())
            instance = Instance(f"front-{ZONE}-{number + 1}", ZONE, self.fleet.addresses.ip(),
                                path.address, self.fleet.folder)
            self.paths[instance.name] = path
            self.fleet.instances.append(instance)
            await instance.start()
        return await self.fleet.wait_ready()

    def in_touch(self, name, at):
        """Whether the instance was in touch at that moment; nothing but the cut
        disturbs it."""
        return name not in self.cut or at < self.cut_at

    def on_run(self, worker, attempt):
        instance, sent_at, key = self.sent.get(attempt, ("?", 0.0, ""))
        if not self.in_touch(instance, now()):
            return
        if worker is self.drained and now() > self.drain_ack + DRAIN_S:
            self.late_drain.append(attempt)
            self.record.add("BROKEN-DRAIN", request=attempt, through=instance,
                            after_ack=f"{now() - self.drain_ack:.3f}")
        if key == REVOKED and sent_at > self.revoke_ack + CONFIG_S:
            self.late_config.append(attempt)
            self.record.add("BROKEN-CONFIG", request=attempt, through=instance,
                            after_ack=f"{sent_at - self.revoke_ack:.3f}")

    async def ask(self):
        attempt, instance = attempt_id(), random.choice(self.fleet.instances)
        key = random.choice([KEY, REVOKED])
        self.sent[attempt] = (instance.name, now(), key)
        self.record.add("sent", request=attempt, to=instance.name, key=key)
        reply = await send_request(
            instance, "POST", "/ficha/1", "copa.example",
            {"Attempt-Id": attempt, "Deadline-Ms": "3000", "Authorization": f"Bearer {key}"},
            b"y" * 600, 3.5)
        self.record.add("answered", request=attempt, status=reply.status)
        k = (reply.status, key[:6])
        self.answers[k] = self.answers.get(k, 0) + 1

    async def traffic(self, until):
        asked = []
        while now() < until:
            asked.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*asked)

    async def trouble(self):
        # Those that read the store's list last.
        count = int(CUT_SHARE * INSTANCES)
        recent = {n: sum(t > now() - 6 for t in p.watches) for n, p in self.paths.items()}
        order = sorted(recent, key=lambda n: self.paths[n].watches[-1:] or [0], reverse=True)
        print("watches of the last seconds:", recent)
        self.cut_at = now()
        if TROUBLE:
            self.cut = order[:count]
            for name in self.cut:
                self.paths[name].up.clear()
                self.record.add("cut", instance=name)
        await asyncio.sleep(0.3)
        self.drained = self.fleet.workers[0]
        self.drained.state = "draining"
        self.drained.write_entry()
        self.drain_ack = now()
        self.record.add("draining", worker=self.drained.id)
        self.fleet.store.put("config", "main", config(2, [KEY]))
        self.revoke_ack = now()
        self.record.add("key-removed", version=2)
        await asyncio.sleep(CUT_S - 0.3)
        for name in self.cut:
            self.paths[name].up.set()
        self.record.add("cut-ends")

    async def play(self):
        until = now() + 24
        traffic = asyncio.create_task(self.traffic(until))
        await asyncio.sleep(10)
        await self.trouble()
        await traffic


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
    print(f"answers {case.answers}; cut {case.cut}; {len(case.late_drain)} requests reached the "
          f"worker that drains too late, {len(case.late_config)} ran with the removed key too late")
    if not any(status == 200 for status, _ in case.answers):
        return 2
    return BROKEN if case.late_drain or case.late_config else 0


play(main)
