"""Stand-ins for the platform's store, workers, clients and process control.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. Everything runs on
loopback addresses and the real clock.
"""
import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/tools/turmericgated/turmericgated"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_started = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - _started


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *parts):
        print(f"{now():8.3f}", *parts, file=self.file, flush=True)


_given_ports = set()


def free_port():
    """Returns a port below the range that outgoing connections use."""
    while True:
        port = random.SystemRandom().randrange(15000, 32000)
        if port in _given_ports:
            continue
        with socket.socket() as s, contextlib.suppress(OSError):
            s.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return port


def quiet(serve):
    """Wraps a connection handler: it ends without a message when the script
    ends or its peer closes."""
    async def run(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError,
                                 asyncio.CancelledError, OSError):
            await serve(reader, writer)
        writer.close()
    return run


async def read_head(reader):
    """Reads the head of a message. Returns (first line, fields) or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.port = 0
        self.rev = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.server = None
        self.era = None
        self.up = True

    async def start(self):
        self.server = await asyncio.start_server(quiet(self.serve),
                                                 "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec:
            return old
        self.rev += 1
        created = old["metadata"]["create_revision"] if old else self.rev
        objects[name] = {
            "metadata": {"name": name, "rev": self.rev,
                         "create_revision": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": old["status"] if old else None}
        await self.note(kind, objects[name], False)
        return objects[name]

    async def delete(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is None:
            return None
        self.rev += 1
        gone = json.loads(json.dumps(old))
        gone["metadata"]["rev"] = self.rev
        await self.note(kind, gone, True)
        return gone

    async def note(self, kind, item, deleted):
        self.history.append((self.rev, kind, item, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            body = await read_body(reader, head[1])
            if not self.up:
                return
            status, answer = await self.handle(head[0], body)
            await asyncio.sleep(0.004)
            text = json.dumps(answer).encode()
            era = f"Store-Era: {self.era}\r\n" if self.era else ""
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"{era}Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()

    async def handle(self, line, body):
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            item = objects.get(name)
            return (200, item) if item else (404, {})
        if method == "GET" and "watch" in args:
            return await self.watch(kind, int(args["watch"]),
                                    int(args.get("wait_ms", 0)) / 1000)
        if method == "GET":
            return 200, {"items": [objects[n] for n in sorted(objects)],
                         "more": False, "at": self.rev}
        if method == "DELETE":
            gone = await self.delete(kind, name)
            return (200, gone) if gone else (404, {})
        data = json.loads(body or b"{}")
        wanted = (data.get("metadata") or {}).get("rev") or args.get("rev")
        if method == "POST":
            name = data["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects:
            return 404, {}
        elif wanted and int(wanted) != objects[name]["metadata"]["rev"]:
            return 409, objects[name]
        return 200, await self.put(kind, name, data.get("spec"))

    async def watch(self, kind, after, wait):
        end = time.monotonic() + wait
        while True:
            events = [{"object": o, "deleted": d}
                      for r, k, o, d in self.history if r > after and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.rev}
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)


class Instance:
    """One machine of the system: a settings file and the program."""

    def __init__(self, name, zone, store_port, folder, memory_mb=260,
                 first_start=True, record=None, extra=""):
        self.name = name
        self.zone = zone
        self.record = record or (lambda *a: None)
        ports = {k: free_port() for k in
                 ("front", "ready", "metrics", "peer", "tunnel")}
        self.ports = ports
        self.memory_mb = memory_mb
        self.settings = os.path.join(folder, name + ".conf")
        self.log_path = os.path.join(folder, name + ".log")
        self.log = open(self.log_path, "ab")
        self.process = None
        self.kept_up = False
        self.own_ends = []
        self.peak_mb = 0
        with open(self.settings, "w") as f:
            f.write(f"""[entry]
name={name}
zone={zone}
cpu_share=0.25
max_descriptors=4100
memory_mb={memory_mb}
front_address="127.0.0.1:{ports['front']}"
readiness_address="127.0.0.1:{ports['ready']}"
metrics_address="127.0.0.1:{ports['metrics']}"
peer_address="127.0.0.1:{ports['peer']}"
tunnel_address="127.0.0.1:{ports['tunnel']}"
store_address="127.0.0.1:{store_port}"
stop_grace_ms=8000
lapsed_grace_ms=2000
drain_bound_ms=2000
config_bound_ms=2000
retry_ratio=0.2
retry_slack=54
retry_window_ms=10000
{'first_start=true' if first_start else ''}
{extra}
""")

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/"),
               "TURMERICGATE_NODE_FILE": self.settings}
        self.process = subprocess.Popen([PROGRAM], cwd=REPO, env=env,
                                        stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.record("signal", self.name, number)
        self.process.send_signal(number)

    def resident_mb(self):
        with contextlib.suppress(OSError, ValueError):
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1000
        return 0

    async def ready(self):
        """One question of the balancer."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.ports["ready"]), 1)
            try:
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                return bool(head) and " 200" in head[0]
            finally:
                writer.close()
        return False

    async def wait_ready(self, limit=10):
        end = now() + limit
        while now() < end:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def keep_up(self):
        """The platform: kills a process over its memory, and restarts one that
        has ended."""
        while True:
            await asyncio.sleep(0.05)
            if self.process.poll() is not None:
                self.record("ended", self.name, self.process.returncode)
                self.own_ends.append((now(), self.process.returncode))
                await asyncio.sleep(0.5)
                self.start()
                continue
            used = self.resident_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.record("over its memory", self.name, round(used), "MB")
                self.process.send_signal(signal.SIGKILL)
                self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Answer:
    """What a client got."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.why = ""
        self.began = 0.0
        self.ended = 0.0


async def exchange(reader, writer, request, limit, keep=False):
    """Sends a request and reads its answer on an open connection."""
    answer = Answer()
    answer.began = now()

    async def run():
        writer.write(request)
        await writer.drain()
        while True:
            head = await read_head(reader)
            if head is None:
                answer.why = "closed without an answer"
                return
            answer.status = int(head[0].split(" ")[1])
            if answer.status >= 200:
                break
        answer.fields = head[1]
        if "chunked" in head[1].get("transfer-encoding", ""):
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    answer.why = "cut in the answer"
                    return
                size = int(line.split(b";")[0], 16)
                if size == 0:
                    await reader.readline()
                    answer.complete = True
                    return
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
        length = int(head[1].get("content-length", 0))
        answer.body = await reader.readexactly(length)
        answer.complete = True

    try:
        await asyncio.wait_for(run(), limit)
    except asyncio.TimeoutError:
        answer.why = "no answer in time"
    except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
        answer.why = "cut in the answer" if answer.status else "closed without an answer"
    answer.ended = now()
    if not keep or answer.why or "close" in answer.fields.get("connection", ""):
        writer.close()
    return answer


def new_id(rng=random):
    return f"{rng.getrandbits(64):016x}"


def request_bytes(method, host, path, fields, body=b""):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in fields.items():
        head += f"{name}: {value}\r\n"
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


@contextlib.contextmanager
def work_folder():
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        yield folder


class Worker:
    """A worker of one service. It serves `slots` requests at a time and queues
    `queue` more; others get 503 with Not-Run. It drops a request whose
    connection closes."""

    def __init__(self, service, work, slots, queue, record, zone="za",
                 max_conns=490):
        self.service = service
        self.work = work
        self.slots = slots
        self.queue = queue
        self.max_conns = max_conns
        self.record = record
        self.zone = zone
        self.id = "i-" + new_id()[:8]
        self.state = "ready"
        self.seq = 0
        self.port = 0
        self.conns = 0
        self.busy = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None

    async def start(self, store):
        self.server = await asyncio.start_server(quiet(self.serve), "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record("worker", self.id, self.service, self.port)
        await self.enter(store)

    def entry(self):
        self.seq += 1
        return {"service": self.service, "addr": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_left_ms": 0, "seq": self.seq}

    async def enter(self, store):
        await store.put("servers", self.id, self.entry())

    async def serve(self, reader, writer):
        if self.conns >= self.max_conns:
            writer.transport.abort()
            return
        self.conns += 1
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if not await self.answer(reader, writer, *head, body):
                    return
        finally:
            self.conns -= 1

    async def answer(self, reader, writer, line, fields, body):
        """Answers one request. Returns False to close the connection."""
        attempt = fields.get("attempt-id", "")
        expected = fields.get("expect-instance")
        if expected and expected != self.id:
            writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.id}\r\n"
                         f"Attempt-Id: {attempt}\r\nNot-Run: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        if self.busy >= self.slots + self.queue:
            self.record("full", self.id, attempt)
            writer.write(f"HTTP/1.1 503 X\r\nAttempt-Id: {attempt}\r\n"
                         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        self.busy += 1
        try:
            async with self.free:
                self.record("run", self.id, self.port, attempt, line)
                return await self.work(self, reader, writer, line, fields, body)
        finally:
            self.busy -= 1

    def seal(self, attempt):
        return f"{self.id}.{attempt}"

    async def whole(self, writer, attempt, status, body, extra=""):
        writer.write(f"HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\n"
                     f"Server-Seal: {self.seal(attempt)}\r\n{extra}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True


def finish(record, broken, text):
    """Writes the result and returns the exit status."""
    record("RESULT", "broken" if broken else "held", text)
    print("broken:" if broken else "held:", text)
    return 1 if broken else 0


def main(run):
    """Runs a case. run(record, folder) returns the exit status; 2 if the case
    could not run."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(here)
    record("TROUBLE", int(TROUBLE))

    async def all_of_it():
        # A script that is ended ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        with work_folder() as folder:
            return await asyncio.wait_for(run(record, folder), 115)

    status = 2
    try:
        if not os.path.exists(os.path.join(REPO, PROGRAM)):
            record("no program; run the build of the deploy file")
        else:
            status = asyncio.run(all_of_it())
    except (OSError, asyncio.TimeoutError, AssertionError,
            asyncio.CancelledError) as error:
        record("could not run", repr(error))
        print("could not run:", repr(error))
    sys.exit(status)
