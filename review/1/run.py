"""Some model workers also send second answers, late. Rule TWICE: a request that
isn't idempotent runs once."""

import asyncio
import math
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

from fleet import BROKEN, Fleet, Record, Worker, answer, attempt_id, json_answer, now, play, seal, send_request  # noqa: E402
from workers import PlainWorker, Results, StageWorker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sala-a", "sala-b"]
# The largest dose of garble "extra late": 0.6 of the workers of a service, 0.03 of
# their answers, 5 s at a time.
SHARE_OF_WORKERS, SHARE_OF_ANSWERS, SPELL_S, REST_S = 0.6, 0.03, 5.0, 1.0
INSTANCES, MODEL_WORKERS, STAGE_WORKERS = 8, 5, 5
REQUESTS_PER_S, TRAFFIC_S = 45.0, float(os.environ.get("TRAFFIC_S", "85"))
PROMPT_TOKENS_PER_MS, EVENTS, STEP_MS = 39.3, 8, 25
# The prompts of `nota-poda`: shared tokens, and own ones of which some are many.
SHARED_TOKENS, OWN_MEAN, OWN_SPREAD, OWN_MAX = (2520, 3780), 1800, 1.3, 6870


class Engine(Worker):
    """A model worker that reads one prompt at a time. It fetches the inputs of a
    request before it reads its prompt."""

    def __init__(self, store, record, zone, results):
        super().__init__(store, record, "modelo", zone, 128)
        self.results = results
        self.reading = asyncio.Lock()
        self.kept_parts = set()
        self.owed = {}  # Connection: the second answer to send late.
        self.time = None  # Seconds since the traffic began, if the worker is a faulty one.
        self.answers, self.doubled = 0, 0  # In spells.
        self.runs = {}
        self.gone = 0

    def in_spell(self):
        return self.time is not None and self.time() % (SPELL_S + REST_S) < SPELL_S

    def spoils(self):
        """A second answer follows refusals only. At no moment have more than
        SHARE_OF_ANSWERS of the worker's answers in spells had one."""
        return self.in_spell() and self.doubled + 1 <= SHARE_OF_ANSWERS * self.answers

    def count_answer(self):
        if self.in_spell():
            self.answers += 1

    def send(self, writer, data):
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(data)

    async def work(self, request, writer):
        attempt = request.get("Attempt-Id")
        if request.target == "/-/report":
            self.send(writer, json_answer(200, {
                "stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "seq": 0, "queued": 0, "active": 0, "kv_used": 0,
                "kv_total": 289613, "handles": 0}))
            return True
        if not attempt or not request.get("Inputs"):
            self.send(writer, answer(400, Not_Run=1, Attempt_Id=attempt))
            return True
        late = self.owed.pop(writer, None)
        if late and self.in_spell():  # Else it is dropped: nothing is sent after a spell.
            owner, data = late
            self.record.add("second-answer", worker=self.id, to=owner, on_request=attempt)
            self.send(writer, data)
        read_ms = self.prompt_ms(request)
        async with self.reading:
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(0.002)
            if any(h.strip() not in self.results.live for h in request.get("Inputs").split(",")):
                self.gone += 1
                return await self.refuse(request, writer, attempt)
            await asyncio.sleep(read_ms / 1000)
        if writer.transport.is_closing():
            return False
        return await self.stream(request, writer, attempt)

    def prompt_ms(self, request):
        own, parts = 0, [p.split(":") for p in request.get("Prompt-Prefix").split(",")]
        for name, tokens in parts:
            if name not in self.kept_parts:
                own += int(tokens)
        self.kept_parts.update(name for name, _ in parts[:-1])
        return own / PROMPT_TOKENS_PER_MS

    async def refuse(self, request, writer, attempt):
        made = answer(409, Not_Run=1, Attempt_Id=attempt)
        self.record.add("inputs-gone", worker=self.id, request=attempt)
        self.send(writer, made)
        await writer.drain()
        self.count_answer()
        if self.spoils():
            self.doubled += 1
            self.owed[writer] = (attempt, made)
        return True

    async def stream(self, request, writer, attempt):
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\n"
                f"Attempt-Id: {attempt}\r\nServer-Seal: {seal(self, 200)}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n").encode()
        # "A request starts to run with its first token."
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.add("run", worker=self.id, request=attempt)
        first = int(request.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            part = head + b"%x\r\n%s\r\n" % (len(event), event)
            head = b""
            self.send(writer, part)
            await writer.drain()
            await asyncio.sleep(STEP_MS / 1000)
        self.send(writer, b"0\r\n\r\n")
        await writer.drain()
        self.count_answer()
        return True


def config():
    def route(name, **fields):
        return {"name": name, "host": "copa.example", "path_prefix": f"/{name}/",
                "service": "modelo", "kind": "stream", "public": True, "sticky": True,
                "latency_target_ms": 2000, "gap_target_ms": 300,
                "stages": [{"service": "faturacao", "after": [], "bytes": 6000}], **fields}

    def service(name, **fields):
        return {"name": name, "health_path": "/healthz", "max_conns": 500, "protocol": "h1",
                "tls": False, **fields}

    return {"version": 1,
            "routes": [route("nota", timeout_ms=6000, attempts=1, resumable=False, priority=0),
                       route("mapa", service="portal", kind="safe", sticky=False, attempts=2,
                             timeout_ms=3000, resumable=False, priority=1)],
            "services": [service("modelo", engine={"slots": 128, "kv_capacity": 289613}),
                         service("portal"),
                         service("faturacao", pieces={
                             "slots": 1, "queue": 2, "batch": 34, "call_ms": 200, "item_ms": 5,
                             "headroom_mb": 0.46, "handle_s": 4.0, "link_mbps": 1000})],
            "tenants": [],
            "limits": {"max_header_bytes": 65536, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.results = Results(record)
        self.engines = []
        self.begun = 0.0
        self.unsafe, self.answers, self.refused = set(), {}, {}

    def time(self):
        return now() - self.begun

    async def start(self):
        await self.fleet.start_store(config())
        for number in range(MODEL_WORKERS):
            engine = Engine(self.fleet.store, self.record, ZONES[number % 2], self.results)
            if number < int(SHARE_OF_WORKERS * MODEL_WORKERS):
                engine.time = self.time if TROUBLE else None
            self.engines.append(await self.fleet.add_worker(engine))
        for number in range(STAGE_WORKERS):
            await self.fleet.add_worker(StageWorker(
                self.fleet.store, self.record, "faturacao", ZONES[number % 2], self.results,
                {0: {"inputs": {}}}, 200, 5))
        for number in range(3):
            await self.fleet.add_worker(PlainWorker(self.fleet.store, self.record, "portal",
                                                    ZONES[number % 2], 6, 20))
        for number in range(INSTANCES):
            await self.fleet.add_instance(ZONES[number % 2])
        return await self.fleet.wait_ready()

    async def ask(self):
        attempt, name = attempt_id(), "nota"
        self.unsafe.add(attempt)
        shared, session = SHARED_TOKENS
        mu = math.log(OWN_MEAN) - OWN_SPREAD ** 2 / 2
        own = min(OWN_MAX, 1 + int(random.lognormvariate(mu, OWN_SPREAD)))
        instance = random.choice(self.fleet.instances)
        self.record.add("sent", request=attempt, kind=name, to=instance.name)
        reply = await send_request(
            instance, "POST", f"/{name}/1", "copa.example",
            {"Attempt-Id": attempt, "Deadline-Ms": "6000", "Model": "m",
             "Token-Count": f"{own + shared + session},24", "Pieces": "1", "Piece-Key": attempt[:12],
             "Prompt-Prefix": f"a{random.randrange(4):02x}:{shared},"
                              f"b{random.randrange(85):03x}:{session},{attempt}:{own}"},
            b"x" * 1400, 6.5)
        self.record.add("answered", request=attempt, status=reply.status, complete=reply.complete)
        if reply.complete and reply.status in (408, 421, 429, 503):
            self.refused[attempt] = reply.status
        key = (name, reply.status, reply.complete)
        self.answers[key] = self.answers.get(key, 0) + 1

    async def ask_map(self):
        """Safe requests, whose stages are those of the same service."""
        attempt, instance = attempt_id(), random.choice(self.fleet.instances)
        self.record.add("sent", request=attempt, kind="mapa", to=instance.name)
        reply = await send_request(
            instance, "POST", "/mapa/1", "copa.example",
            {"Attempt-Id": attempt, "Deadline-Ms": "3000", "Pieces": "5",
             "Piece-Key": attempt[:12]}, b"", 3.5)
        self.record.add("answered", request=attempt, status=reply.status, complete=reply.complete)
        key = ("mapa", reply.status, reply.complete)
        self.answers[key] = self.answers.get(key, 0) + 1

    async def send(self, ask, per_s):
        asked = []
        while self.time() < TRAFFIC_S:
            asked.append(asyncio.create_task(ask()))
            await asyncio.sleep(random.expovariate(per_s))
        await asyncio.gather(*asked)

    async def play(self):
        self.begun = now()
        await asyncio.gather(self.send(self.ask, REQUESTS_PER_S), self.send(self.ask_map, 20.0))


async def main():
    case = Case(Record(os.path.join(HERE, "record.txt")))
    try:
        if not await case.start():
            print("the instances didn't get ready")
            return 2
        await asyncio.sleep(4)
        await case.play()
    finally:
        await case.fleet.end()
    runs = {}
    for engine in case.engines:
        for attempt, count in engine.runs.items():
            runs[attempt] = runs.get(attempt, 0) + count
    twice = [attempt for attempt, count in runs.items() if count > 1 and attempt in case.unsafe]
    refused = [attempt for attempt in runs if attempt in case.refused and attempt in case.unsafe]
    for attempt in twice:
        case.record.add("BROKEN-TWICE", request=attempt, runs=runs[attempt])
    for attempt in refused:
        case.record.add("BROKEN-REFUSED", request=attempt, status=case.refused[attempt])
    print(f"answers {case.answers}; inputs gone {sum(e.gone for e in case.engines)}; of "
          f"{len(case.unsafe)} requests that aren't idempotent, {len(twice)} ran more than once, "
          f"{len(refused)} ran and were refused as not run")
    if not any(status == 200 for _, status, _ in case.answers):
        return 2
    return BROKEN if twice or refused else 0


play(main)
