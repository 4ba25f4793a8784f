"""Stand-ins for the scripts of the second review: the platform's metadata store, replicas and clients.

All of them run in the event loop of one script; the entry VMs are separate processes, started with the command in
deploy/system.toml and with settings made from platform/settings.ini.template. Only loopback addresses are used.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the deployment `gavekv-sentral` in SYSTEM.md.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 6000, "acknowledge_ms": 8000, "catch_up_s": 4,
    "drain_ms": 4000, "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 4000,
    "rollback_slack_ms": 250, "outer_bound_ms": 10000, "budget_ratio": 0.2, "budget_window_s": 10,
    "budget_slack": 54, "cold_overage": 1.5, "cold_slack": 3, "evacuation_ms": 5000, "recovery_s": 12,
    "delivery_bound_ms": 800, "reuse_window_s": 10, "ttl_max_s": 5,
}


class Record:
    """Writes what is sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        try:
            print(text, flush=True)
        except BrokenPipeError:
            pass  # nobody reads the output; the record has it


def free_ports(count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


# ---- HTTP ----


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers  # list of (name, value)
        self.body = body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Reads a request line or status line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, message):
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    return await reader.readexactly(int(message.get("Content-Length") or 0))


def encode_head(first, headers):
    return (first + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers) + "\r\n").encode("latin-1")


class HttpServer:
    """Serves requests with `handle(request, writer)`, which writes the response and returns whether to go on."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.address = None

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                request.method, request.target, _ = request.first.split(" ", 2)
                request.body = await read_body(reader, request)
                request.reader = reader
                if not await self.handle(request, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self.server:
            self.server.close()
            self.reset_connections()
            self.server = None


# ---- The platform's metadata store ----


class Store:
    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}  # key -> (value, revision, created)
        self.events = []  # (revision, key, value or None)
        self.oldest = self.revision
        self.era = 1
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.address = None
        self.reads = []

    async def start(self):
        self.address = await self.http.start(*(self.address or ("127.0.0.1", 0)))

    async def stop(self):
        await self.http.stop()

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (data, self.revision, created)
        self.event(key, data)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.event(key, None)

    def event(self, key, value):
        self.events.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        self.record(f"store acknowledges revision {self.revision}: {'put' if value else 'delete'} {key} "
                    f"{(value or b'').decode('latin-1')[:100]}")

    def copy(self):
        return dict(self.items), self.revision, list(self.events)

    def restore(self, copy):
        """The store comes back from an older copy: what it acknowledged since is gone."""
        items, revision, events = copy
        self.items, self.revision, self.events = dict(items), revision, list(events)
        self.era += 1

    @staticmethod
    def encode(key, item):
        return {"key": key, "value": base64.b64encode(item[0]).decode(), "revision": item[1], "created": item[2],
                "lease": 0}

    def reply(self, writer, status, body=None):
        data = json.dumps(body).encode() if body is not None else b""
        writer.write(encode_head(f"HTTP/1.1 {status} X", [("Content-Type", "application/json"),
                                                          ("Content-Length", len(data)),
                                                          ("Store-Era", self.era)]) + data)
        return True

    async def handle(self, request, writer):
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        self.reads.append(request.target)
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return self.reply(writer, 404, {"current_rev": self.revision})
            return self.reply(writer, 200, {**self.encode(query["key"], item), "current_rev": self.revision})
        prefix = query.get("path_prefix", "")
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            return self.reply(writer, 200, {"items": [self.encode(k, self.items[k]) for k in keys[:500]],
                                            "has_more": len(keys) > 500, "current_rev": self.revision})
        if path == "/kv-watch":
            after = int(query.get("after", 0))
            if after > self.revision or after < self.oldest:
                return self.reply(writer, 410, {"current_rev": self.revision})
            end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
            while True:
                events = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            body = []
            for revision, key, value in events:
                if value is None:
                    body.append({"key": key, "revision": revision, "tombstone": True})
                else:
                    body.append(self.encode(key, (value, revision, revision)))
            return self.reply(writer, 200, {"events": body, "current_rev": self.revision})
        return self.reply(writer, 404)


# ---- Replicas ----


class Replica:
    """A sound replica of a plain service. `on_request(replica, request, writer)` may replace its answer."""

    def __init__(self, record, service, name, zone, slots=6, work_s=0.02, on_request=None, version="v1"):
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.on_request = on_request
        self.version = version
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []  # (time, attempt id, request)
        self.http = HttpServer(self.handle)
        self.address = None

    async def start(self, host="127.0.0.1", port=0):
        self.address = await self.http.start(host, port)

    async def stop(self):
        await self.http.stop()

    def entry(self):
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "born": self.born, "sequence": 1}

    def publish(self, store):
        store.put(f"servers/{self.name}", self.entry())

    async def handle(self, request, writer):
        path = request.target.partition("?")[0]
        if path == "/health":
            writer.write(encode_head("HTTP/1.1 200 OK", [("Instance-Id", self.name), ("Content-Length", 0)]))
            return True
        expected = request.get("Expected-Instance")
        if expected and expected != self.name:
            writer.write(encode_head("HTTP/1.1 421 Misdirected Request",
                                     [("Instance-Id", self.name), ("Not-Executed", 1), ("Content-Length", 0)]))
            return True
        attempt = request.get("Attempt-Id")
        self.runs.append((self.record.now(), attempt, request))
        self.record(f"replica {self.name} of {self.service} runs {attempt} {request.method} {request.target}")
        if self.on_request:
            return await self.on_request(self, request, writer)
        await asyncio.sleep(self.work_s)
        return self.answer(request, writer)

    def answer(self, request, writer, body=None, extra=()):
        data = body if body is not None else f"{self.name} did {request.get('Attempt-Id')}".encode()
        writer.write(encode_head("HTTP/1.1 200 OK", [("Attempt-Id", request.get("Attempt-Id")),
                                                     ("Response-Signature", f"sig.{self.name}"),
                                                     ("Content-Length", len(data)), *extra]) + data)
        return True


# ---- Entry VMs ----


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says."""

    def lookup(path, scopes):
        if path == ".":
            return scopes[-1]["."]
        for scope in reversed(scopes):
            value = scope.get("fields")
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        return str(value)

    def expand(source, scopes):
        out, position = [], 0
        for match in iter(lambda: re.compile(r"\{\{([#^/]?)([^{}]+)\}\}").search(source, position), None):
            out.append(source[position:match.start()])
            mark, name = match.groups()
            position = match.end()
            if mark:
                close = "{{/" + name + "}}"
                end = source.index(close, position)
                inner, position = source[position:end], end + len(close)
                value = lookup(name, scopes)
                if mark == "^":
                    out.append("" if value else expand(inner, scopes))
                elif isinstance(value, (dict, list)):
                    pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                    for i, (key, one) in enumerate(pairs):
                        scope = {"fields": one if isinstance(one, dict) else {}, ".": one, "@": key,
                                 ",": "," if i + 1 < len(pairs) else ""}
                        out.append(expand(inner, scopes + [scope]))
                elif value is not None and value is not False:
                    out.append(expand(inner, scopes))
            elif name in ("@", ","):
                out.append(text(scopes[-1][name]))
            else:
                out.append(text(lookup(name, scopes)))
        out.append(source[position:])
        return "".join(out)

    return expand(template, [{"fields": fields, ".": fields}])


class EntryVm:
    def __init__(self, fleet, index, zone):
        self.fleet = fleet
        self.ip = f"127.0.{10 + index}.1"
        self.zone = zone
        self.name = f"frontend-{zone}-{index}"
        self.process = None
        self.settings = os.path.join(fleet.folder, self.name + ".toml")
        self.log = os.path.join(fleet.folder, self.name + ".log")
        self.first_start = True

    def address(self, kind):
        return self.ip, self.fleet.ports[kind]

    def write_settings(self, **changes):
        ports = self.fleet.ports
        fields = {
            "node_name": self.name, "role": "entry", "machine_class": "frontend", "ip_address": self.ip,
            "serves": ["frontend", "control", "directory"], "zone": self.zone,
            "region": self.fleet.zones[self.zone], "internal_ports": [ports["internal"], ports["internal_last"]],
            "seeds": [f"{vm.ip}:{ports['control']}" for vm in self.fleet.vms[:3]],
            "first_start": self.first_start, "in_fault_budget": False, "discovery": "platform",
            "entry": "directory", "heartbeat_ms": 1200, "zones": self.fleet.zones,
            "listen_addresses": {k: f"{self.ip}:{ports[k]}" for k in ("frontend", "ready", "control", "directory")},
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "file_descriptors": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "tolerance": {"machines": 1, "zones": 1, "regions": 1}, "bounds": self.fleet.bounds,
            "platform": {"address": "%s:%d" % (self.store_address or self.fleet.store.address), "form": "read",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_retention_s": 20,
                         "value_bytes": 1048576, "minimum_ttl_ms": 1000},
        }
        fields.update(changes)
        text = render(self.fleet.template, fields)
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.settings + ".new", self.settings)

    store_address = None

    async def start(self):
        self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CORNELPLANK_NODE_FILE"] = self.settings
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(*self.fleet.command, cwd=ROOT, env=env, stdout=log,
                                                            stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.first_start = False
        self.fleet.record(f"{self.name} starts at {self.ip}")

    def signal(self, number):
        self.fleet.record(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout):
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return None

    async def ready(self):
        answer = await call(self.address("ready"), "GET", "/readiness", [("Host", "x")], timeout=1)
        return answer.status == 200

    async def await_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready")


class CannotRun(Exception):
    pass


class Fleet:
    """A small deployment: a store and entry VMs."""

    def __init__(self, record, zones, bounds=None):
        self.record = record
        self.zones = zones
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = tempfile.mkdtemp(prefix="cornelplank-review-")
        self.store = Store(record)
        self.vms = []
        names = ["frontend", "ready", "control", "directory", "internal", "internal_last"]
        self.ports = dict(zip(names, free_ports(len(names))))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.command = role["run"].split()
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the program isn't built")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()

    def add_vm(self, zone):
        vm = EntryVm(self, len(self.vms), zone)
        self.vms.append(vm)
        return vm

    async def start(self):
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await vm.await_ready()

    async def stop(self):
        for vm in self.vms:
            if vm.process and vm.process.returncode is None:
                try:
                    vm.process.send_signal(signal.SIGCONT)
                    vm.process.kill()
                except ProcessLookupError:
                    pass
                await vm.process.wait()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


# ---- Clients ----


class Answer:
    status = 0  # 0: no final answer
    complete = False
    body = b""
    headers = None
    problem = ""
    seconds = 0.0

    def get(self, name):
        return self.headers.get(name) if self.headers else None

    def __str__(self):
        text = f"{self.status}{'' if self.complete else ' incomplete'} in {self.seconds:.3f} s"
        return text + (f" ({self.problem})" if self.problem else "")


class Channel:
    """A client's connection, kept for several requests."""

    def __init__(self):
        self.reader = self.writer = None

    async def open(self, address, timeout=1.0):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=1 << 20), timeout)
        return self

    async def send(self, method, target, headers, body=b""):
        fields = list(headers)
        if body or method == "POST":
            fields.append(("Content-Length", len(body)))
        self.writer.write(encode_head(f"{method} {target} HTTP/1.1", fields) + body)
        await self.writer.drain()

    async def receive(self, timeout):
        answer = Answer()
        begin = time.monotonic()
        try:
            await asyncio.wait_for(self.read(answer), timeout)
        except asyncio.TimeoutError:
            answer.problem = "no answer in time"
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            answer.problem = f"closed: {type(error).__name__}"
        answer.seconds = time.monotonic() - begin
        return answer

    async def read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        answer.status = int(head.first.split(" ")[1])
        answer.headers = head
        if (head.get("Transfer-Encoding") or "").lower() == "chunked":
            while chunk := await read_chunk(self.reader):
                answer.body += chunk
        else:
            answer.body = await self.reader.readexactly(int(head.get("Content-Length") or 0))
        answer.complete = True

    def close(self):
        if self.writer:
            self.writer.close()


async def call(address, method, target, headers, body=b"", timeout=5.0):
    """One request on a connection of its own."""
    channel = Channel()
    try:
        await channel.open(address)
        await channel.send(method, target, headers, body)
    except (OSError, asyncio.TimeoutError) as error:
        answer = Answer()
        answer.problem = f"not connected: {type(error).__name__}"
        return answer
    answer = await channel.receive(timeout)
    channel.close()
    return answer


_count = 0


def attempt_id():
    global _count
    _count += 1
    return f"{os.getpid():08x}{_count:08x}"


def run_case(main, folder):
    """Runs `main(record, trouble)`, which returns the exit status, and exits with it."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"the case runs {'with' if trouble else 'without'} the disruption")
    try:
        status = asyncio.run(main(record, trouble))
    except CannotRun as error:
        record.say(f"cannot run: {error}")
        status = NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case couldn't run"}[status])
    sys.exit(status)
