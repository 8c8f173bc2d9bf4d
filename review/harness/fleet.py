"""Stand-ins for a small deployment: the platform's store, workers, clients.

They speak what PROTOCOL.md says and nothing else: the entry instances run as
separate processes, started with the command and the template of the deploy
file. Everything listens on loopback addresses.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():8.3f} {event} {text}\n")
        self.file.flush()


class Addresses:
    """Loopback addresses of their own for the instances of one run."""

    def __init__(self):
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.last = 1

    def ip(self):
        self.last += 1
        return f"{self.net}.{self.last}"


def free_port(ip, count=1):
    """The first of `count` ports in a row that are free at `ip`."""
    while True:
        first = random.randint(20000, 50000)
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


# HTTP/1.1, as far as the stand-ins need it.


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size:
            body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
        if not size:
            return body


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    if headers.get("transfer-encoding", "") == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def answer(status, body=b"", **headers):
    reasons = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
               410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    out = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        out += f"{name.replace('_', '-')}: {value}\r\n"
    return (out + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def json_answer(status, value, **headers):
    return answer(status, json.dumps(value).encode(),
                  Content_Type="application/json", **headers)


class Server:
    """Accepts connections and hands each request to `handle`."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.address = ""

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except (OSError, RuntimeError):
                pass

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.rev = 0
        self.kinds = {}
        self.log = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec:
            return old
        self.rev += 1
        made = old["metadata"]["create_revision"] if old else self.rev
        new = {"metadata": {"name": name, "rev": self.rev, "create_revision": made,
                            "finalizers": [], "deleting": False},
               "spec": spec, "status": (old or {}).get("status", {})}
        objects[name] = new
        self.note(kind, new, False)
        return new

    def delete(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is None:
            return
        self.rev += 1
        gone = dict(old, metadata=dict(old["metadata"], rev=self.rev))
        self.note(kind, gone, True)

    def note(self, kind, obj, deleted):
        self.log.append((self.rev, kind, {"object": obj, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, writer):
        path, _, query = request.target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.removeprefix("/-/objects/").split("/")
        kind, name = parts[0], (parts[1] if len(parts) > 1 else "")
        writer.write(await self.answer_to(request, kind, name, args))
        await writer.drain()
        return True

    async def answer_to(self, request, kind, name, args):
        objects = self.kinds.setdefault(kind, {})
        if request.method == "GET" and "watch" in args:
            return await self.watch(kind, int(args["watch"]), int(args.get("wait_ms", 0)))
        if request.method == "GET" and not name:
            names = sorted(objects)
            return json_answer(200, {"items": [objects[n] for n in names],
                                     "more": False, "at": self.rev})
        if request.method == "GET":
            return json_answer(200, objects[name]) if name in objects else answer(404)
        if request.method == "DELETE":
            self.delete(kind, name)
            return json_answer(200, {})
        body = json.loads(request.body)
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return json_answer(409, objects[name])
            return json_answer(201, self.put(kind, name, body["spec"]))
        if name not in objects:
            return answer(404)
        return json_answer(200, self.put(kind, name, body["spec"]))

    async def watch(self, kind, since, wait_ms):
        end = now() + wait_ms / 1000
        while True:
            events = [e for rev, k, e in self.log if rev > since and k == kind]
            left = end - now()
            if events or left <= 0:
                return json_answer(200, {"events": events, "at": self.rev})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker(Server):
    """What all workers have: an entry in the store with a heartbeat."""

    def __init__(self, store, record, service, zone, slots, beat_s=1.2):
        super().__init__()
        self.store, self.record = store, record
        self.service, self.zone, self.slots, self.beat_s = service, zone, slots, beat_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.state = "ready"
        self.seq = 0
        self.beat = None
        self.shown = ""  # The address in the store, if it is that of a proxy.

    async def start(self, ip):
        await self.listen(ip)
        self.write_entry()
        self.beat = asyncio.create_task(self.write_entries())

    async def write_entries(self):
        while True:
            await asyncio.sleep(self.beat_s)
            self.write_entry()

    def write_entry(self):
        self.seq += 1
        self.store.put("servers", self.id, {
            "service": self.service, "addr": self.shown or self.address, "zone": self.zone,
            "version": "1", "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "seq": self.seq})

    async def handle(self, request, writer):
        if request.method == "GET" and request.target == "/healthz":
            writer.write(answer(200, Instance_Id=self.id))
            await writer.drain()
            return True
        expected = request.get("Expect-Instance")
        if expected and expected != self.id:
            writer.write(answer(421, Not_Run=1, Attempt_Id=request.get("Attempt-Id")))
            await writer.drain()
            return True
        return await self.work(request, writer)

    def stop(self):
        self.beat.cancel()


def seal(worker, status):
    return f"{worker.id}.{status}.{random.getrandbits(32):08x}"


# The entry instances.


def render(template, fields):
    """The subset of the template language that deploy/settings.ini.template
    uses: values and sections that are rendered if the value is present."""

    def lookup(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def section(match):
        value = lookup(match.group(1))
        return match.group(2) if value not in (None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if lookup(m.group(1)) is None else str(lookup(m.group(1))), text)


BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "lost_ms": 200, "config_ms": 2000,
          "rollback_slack_ms": 250, "skew_max_ms": 5000, "revoke_strict": False,
          "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
          "recover_s": 12, "pass_ms": 120, "reuse_window_s": 8.3}


class Instance:
    """One process of the role `entry` of the deploy file."""

    def __init__(self, name, zone, ip, store_address, folder):
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready = free_port(ip), free_port(ip)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.command = role["run"].split()
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        first = free_port(ip, 2)
        fields = {"node_name": name, "zone": zone, "ip": ip, "bootstrap": True,
                  "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100},
                  "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
                  "internal_port_range": [first, first + 1],
                  "platform": {"addr": store_address}, "bounds": BOUNDS}
        self.settings = os.path.join(folder, name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    async def start(self):
        log = open(self.log_path, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "LANG": os.environ.get("LANG", "C.UTF-8"),
               "TURMERICGATE_NODE_FILE": self.settings}
        program = os.environ.get("ENTRY_PROGRAM", self.command[0])
        self.process = await asyncio.create_subprocess_exec(
            program, *self.command[1:], cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def log_lines(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()

    def has_connection_from(self, port):
        """Whether the local end of a connection belongs to this process."""
        inodes = set()
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in list(file)[1:]:
                fields = line.split()
                if int(fields[1].split(":")[1], 16) == port:
                    inodes.add(f"socket:[{fields[9]}]")
        folder = f"/proc/{self.process.pid}/fd"
        for name in os.listdir(folder):
            try:
                if os.readlink(os.path.join(folder, name)) in inodes:
                    return True
            except OSError:
                pass
        return False

    def memory_mb(self):
        """The memory of the process, with the bytes that its sockets have
        received and it hasn't read, as DEPLOY.md counts it."""
        if self.process.returncode is not None:
            return 0
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                kb = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
        except (OSError, StopIteration):
            return 0
        folder = f"/proc/{self.process.pid}/fd"
        own = set()
        for name in os.listdir(folder):
            try:
                own.add(os.readlink(os.path.join(folder, name)))
            except OSError:
                pass
        unread = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in list(file)[1:]:
                fields = line.split()
                if f"socket:[{fields[9]}]" in own and fields[3] == "01":
                    unread += int(fields[4].split(":")[1], 16)
        return (kb * 1024 + unread) / 1e6

    def send_signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class Fleet:
    def __init__(self, record):
        self.record = record
        self.addresses = Addresses()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.workers, self.instances = [], []

    async def start_store(self, config):
        await self.store.listen(self.addresses.ip())
        self.store.put("config", "main", config)

    async def add_worker(self, worker):
        await worker.start(self.addresses.ip())
        self.workers.append(worker)
        return worker

    async def add_instance(self, zone):
        instance = Instance(f"front-{zone}-{len(self.instances) + 1}", zone,
                            self.addresses.ip(), self.store.address, self.folder)
        self.instances.append(instance)
        await instance.start()
        return instance

    async def wait_ready(self, limit_s=15):
        end = now() + limit_s
        while now() < end:
            if all([await i.is_ready() for i in self.instances]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def end(self):
        for instance in self.instances:
            await instance.end()
        for worker in self.workers:
            worker.stop()
            await worker.close()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


BROKEN = 10  # run.sh turns it into 1; an error of the script is no broken rule.


def play(main):
    """Runs a case and exits: BROKEN, 0 if the rule held, 2 if it couldn't run.
    A SIGTERM ends the processes that it started, too."""

    loop = asyncio.new_event_loop()
    task = loop.create_task(main())
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # Without waiting for clients and workers that are still at work.


# Clients.


class Reply:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.complete, self.error = False, ""


async def send_request(instance, method, path, host, headers, body=b"", limit_s=8.0,
                       on_bytes=None):
    """One client attempt on a connection of its own."""
    reply = Reply()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(instance.ip, instance.front,
                                                       limit=1 << 22)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        line, reply.headers = await read_head(reader)
        reply.status = int(line.split(" ")[1])
        if reply.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size) if size else b""
                await reader.readuntil(b"\r\n")
                if not size:
                    reply.complete = True
                    return
                reply.body += part
                if on_bytes:
                    on_bytes(part)
        reply.body = await reader.readexactly(int(reply.headers.get("content-length", 0)))
        reply.complete = True

    try:
        await asyncio.wait_for(exchange(), limit_s)
    except asyncio.TimeoutError:
        reply.error = "gave up"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        reply.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return reply


def attempt_id():
    return f"{random.getrandbits(64):016x}"
