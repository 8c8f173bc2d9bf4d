"""Stand-ins for workers: of a stage, of the model service, of a plain service.

A sound worker behaves as PROTOCOL.md says. What a case disturbs, it sets with
the hooks `extra` (stage workers) and `unframed` (model workers).
"""

import asyncio
import json
import random

from fleet import Worker, answer, json_answer, now, seal


class Result:
    def __init__(self, handle, maker, request, stage, piece):
        self.handle, self.maker = handle, maker
        self.request, self.stage, self.piece = request, stage, piece


class Results:
    """The results that lie at the stage workers, and what they were made for."""

    def __init__(self, record):
        self.record = record
        self.live = {}
        self.made = {}
        self.broken = []

    def add(self, result, handle_s):
        self.live[result.handle] = result
        self.made[result.handle] = result
        asyncio.get_running_loop().call_later(handle_s, self.live.pop, result.handle, None)

    def check(self, who, request, wanted, handles):
        """`wanted`: {stage: number of pieces}. Notes each break of MIXED."""
        found = [self.made.get(handle) for handle in handles]
        foreign = [r for r in found if r is None or r.request != request]
        if foreign:
            return self.note(who, request, "inputs of another request: " + ", ".join(
                f"{r.handle} was made for {r.request}" if r else "unknown" for r in foreign))
        expected = sorted((s, p) for s, n in wanted.items() for p in range(n))
        if sorted((r.stage, r.piece) for r in found) != expected:
            self.note(who, request, "inputs of another stage, one twice, or only some")
        return None

    def note(self, who, request, what):
        self.broken.append(what)
        self.record.add("BROKEN-MIXED", at=who, request=request, what=repr(what))


class StageWorker(Worker):
    """Makes the pieces of one service's stages, one call at a time."""

    def __init__(self, store, record, service, zone, results, stages, call_ms, item_ms,
                 handle_s=4.0, queue=2):
        super().__init__(store, record, service, zone, 1)
        self.results, self.stages = results, stages
        self.call_ms, self.item_ms, self.handle_s, self.queue = call_ms, item_ms, handle_s, queue
        self.turn = asyncio.Lock()
        self.waiting = 0
        self.extra = lambda worker: False
        self.extra_late = False
        self.kept = {}

    def load(self):
        return f"{int(self.turn.locked())},{self.waiting},1"

    async def work(self, request, writer):
        if request.target == "/-/stage-free":
            for handle in json.loads(request.body)["handles"]:
                self.results.live.pop(handle, None)
            writer.write(answer(200))
            await writer.drain()
            return True
        if request.target == "/-/report":
            writer.write(json_answer(200, {"queued": self.waiting, "busy": self.turn.locked(),
                                           "free_mb": 10}))
            await writer.drain()
            return True
        late = self.kept.pop(writer, None)
        if late:
            # An extra response arrives late, where the next one is expected.
            self.record.add("extra-answer", worker=self.id)
            writer.write(late)
            await writer.drain()
        if self.turn.locked() and self.waiting >= self.queue:
            writer.write(answer(503, Not_Run=1, Server_Load=self.load()))
            await writer.drain()
            return True
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            items = await self.run(json.loads(request.body)["items"])
        response = json_answer(200, {"items": items}, Server_Load=self.load())
        writer.write(response)
        await writer.drain()
        if self.extra(self):
            if self.extra_late:
                self.kept[writer] = response
            else:
                await asyncio.sleep(0.002)
                self.record.add("extra-answer", worker=self.id)
                writer.write(response)
                await writer.drain()
        return True

    async def run(self, items):
        begun = now()
        self.record.add("stage-run", worker=self.id, service=self.service,
                        items=" ".join(f"{i['id']}/{i['stage']}.{i['piece']}" for i in items))
        answers = []
        made = []
        for item in items:
            inputs = item.get("inputs", [])
            if item.get("left_ms", 1) <= 0:
                answers.append({"reason": "late"})
            elif any(handle not in self.results.live for handle in inputs):
                answers.append({"reason": "gone"})
            else:
                if inputs:
                    wanted = self.stages[item["stage"]]["inputs"]
                    self.results.check(self.id, item["id"], wanted, inputs)
                handle = f"{self.address}/{random.getrandbits(44):011x}"
                made.append(Result(handle, self.id, item["id"], item["stage"], item["piece"]))
                answers.append({"handle": handle})
        await asyncio.sleep((self.call_ms + self.item_ms * len(items)) / 1000 - (now() - begun))
        for result in made:
            self.results.add(result, self.handle_s)
        return answers


class ModelWorker(Worker):
    """Streams events; fetches the results of the stages before it begins."""

    def __init__(self, store, record, service, zone, results=None, wanted=None, slots=128,
                 first_ms=60, gap_ms=30, events=8):
        super().__init__(store, record, service, zone, slots)
        self.results, self.wanted = results, wanted
        self.first_ms, self.gap_ms, self.events = first_ms, gap_ms, events
        self.unframed = False
        self.endless = lambda worker: False
        self.active = 0
        self.on_run = lambda worker, attempt, port: None

    async def work(self, request, writer):
        if request.target == "/-/report":
            writer.write(json_answer(200, {
                "stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "seq": 0, "queued": 0, "active": self.active, "kv_used": 0,
                "kv_total": 289613, "handles": 0}))
            await writer.drain()
            return True
        attempt = request.get("Attempt-Id")
        if not attempt or (self.wanted and not request.get("Inputs")):
            writer.write(answer(400, Not_Run=1, Attempt_Id=attempt))
            await writer.drain()
            return True
        if self.wanted:
            handles = [h.strip() for h in request.get("Inputs").split(",")]
            await asyncio.sleep(0.005)
            if any(handle not in self.results.live for handle in handles):
                writer.write(answer(409, Not_Run=1, Attempt_Id=attempt))
                await writer.drain()
                return True
            self.results.check(self.id, attempt, self.wanted, handles)
        self.record.add("run", worker=self.id, request=attempt,
                        after=request.get("Last-Event-Id", "-"))
        self.on_run(self, attempt, writer.get_extra_info("peername")[1])
        self.active += 1
        try:
            return await self.stream(request, writer, attempt)
        finally:
            self.active -= 1

    async def stream(self, request, writer, attempt):
        await asyncio.sleep(self.first_ms / 1000)
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Attempt-Id: {attempt}\r\nServer-Seal: {seal(self, 200)}\r\n")
        if self.endless(self):
            return await self.send_without_end(writer, head, attempt)
        head += "Connection: close\r\n\r\n" if self.unframed else "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        first = int(request.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number} of {self.events}\n\n".encode()
            writer.write(event if self.unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_ms / 1000)
        if not self.unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.record.add("run-ends", worker=self.id, request=attempt)
        return not self.unframed

    async def send_without_end(self, writer, head, attempt):
        """Bytes that are no event, until the caller closes."""
        self.record.add("endless", worker=self.id, request=attempt)
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        part = b"x" * 65536
        chunk = b"%x\r\n%s\r\n" % (len(part), part)
        while True:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0)


class PlainWorker(Worker):
    """A worker without prompts: `slots` requests at a time, the others wait."""

    def __init__(self, store, record, service, zone, slots, work_ms):
        super().__init__(store, record, service, zone, slots)
        self.work_ms = work_ms
        self.turns = asyncio.Semaphore(slots)
        self.on_run = lambda worker, attempt: None

    async def work(self, request, writer):
        attempt = request.get("Attempt-Id")
        async with self.turns:
            self.record.add("run", worker=self.id, request=attempt)
            self.on_run(self, attempt)
            await asyncio.sleep(self.work_ms / 1000)
        writer.write(answer(200, f"{attempt} done by {self.id}".encode(), Attempt_Id=attempt,
                            Server_Seal=seal(self, 200)))
        await writer.drain()
        return True
