"""Stand-ins of the users' platform, for the scripts of this review: the store, runners, clients, and
the start of the daemons with the commands of deploy/system.toml. Only the standard library is used,
and only loopback addresses. Written from PROTOCOL.md, DEPLOY.md and the news pages."""
import asyncio
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run; one line an event."""

    def __init__(self, path):
        self.file = open(path, "w")

    def add(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now():8.3f} {what} {text}\n")

    def close(self):
        self.file.close()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


# ---------------------------------------------------------------- HTTP/1.1, server side

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_headers(reader):
    lines = []
    while True:
        line = await reader.readline()
        if not line:
            raise ConnectionError("closed")
        line = line.rstrip(b"\r\n")
        if not line:
            break
        lines.append(line.decode("latin1"))
    return lines


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0") or 0))


async def read_request(reader):
    lines = await read_headers(reader)
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers, await read_body(reader, headers))


def head(status, headers):
    names = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
             412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
             503: "Service Unavailable"}
    text = f"HTTP/1.1 {status} {names.get(status, 'Status')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin1")


def answer(writer, status, body=b"", headers=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"), *headers]
    writer.write(head(status, [*headers, ("Content-Length", len(body))]) + body)


class HttpServer:
    def __init__(self, ip):
        self.ip, self.port, self.server, self.tasks = ip, free_port(ip), None, set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()


# ---------------------------------------------------------------- the platform's store

class Store(HttpServer):
    """Objects by kind and name, one counter of revisions, watches (the platform's metadata store)."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record, self.revision, self.objects, self.log = record, 1, {}, []
        self.changed = asyncio.Event()

    def _commit(self, kind, name, obj, gone):
        self.revision += 1
        obj["metadata"]["revision"] = self.revision
        self.log.append((self.revision, kind, json.loads(json.dumps(obj)), gone))
        if gone:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = obj
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """A write of the operator or of a runner."""
        obj = self.objects.get((kind, name))
        if obj is not None and obj["spec"] == spec:
            return
        created = obj["metadata"]["created"] if obj else int(time.time())
        self._commit(kind, name, {"metadata": {"name": name, "revision": 0, "created": created, "finalizers": [],
                                               "deletion_requested": False}, "spec": spec, "status": None}, False)

    def delete(self, kind, name):
        obj = self.objects.get((kind, name))
        if obj is not None:
            self._commit(kind, name, obj, True)

    async def handle(self, request, writer):
        await asyncio.sleep(0.004)
        parts = [urllib.parse.unquote(p) for p in request.path.strip("/").split("/")]
        if parts[0] != "objects" or len(parts) < 2:
            return answer(writer, 404)
        kind = parts[1]
        if request.method == "GET" and len(parts) == 2:
            if "watch" in request.query:
                return await self._watch(kind, request, writer)
            names = sorted(n for k, n in self.objects if k == kind and n > request.query.get("after", ""))
            return answer(writer, 200, {"items": [self.objects[(kind, n)] for n in names[:500]],
                                        "has_more": len(names) > 500, "at": self.revision})
        body = json.loads(request.body) if request.body else {}
        name = parts[2] if len(parts) > 2 else body.get("metadata", {}).get("name", "")
        known = self.objects.get((kind, name))
        if request.method == "GET":
            return answer(writer, 200, known) if known else answer(writer, 404)
        if request.method == "POST":
            if known:
                return answer(writer, 409, known)
            self.put(kind, name, body.get("spec"))
            return answer(writer, 200, self.objects[(kind, name)])
        if known is None:
            return answer(writer, 404)
        wanted = body.get("metadata", {}).get("revision") or int(request.query.get("revision", 0))
        if wanted and wanted != known["metadata"]["revision"]:
            return answer(writer, 409, known)
        if request.method == "PUT" and len(parts) == 3:
            self.put(kind, name, body.get("spec"))
            return answer(writer, 200, self.objects[(kind, name)])
        if request.method == "DELETE":
            self.delete(kind, name)
            return answer(writer, 200, known)
        return answer(writer, 400)

    async def _watch(self, kind, request, writer):
        since = int(request.query["watch"])
        if since > self.revision:
            return answer(writer, 410)
        end = now() + min(int(request.query.get("wait_ms", "0")), 30000) / 1000
        while True:
            events = [{"object": obj, "gone": gone} for rev, k, obj, gone in self.log if k == kind and rev > since]
            left = end - now()
            if events or left <= 0:
                return answer(writer, 200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- runners

class Runner(HttpServer):
    def __init__(self, world, ip, ident, service, version="v1", slots=6, zone="hall-a", work=0.03):
        super().__init__(ip)
        self.world, self.ident, self.service, self.version = world, ident, service, version
        self.slots, self.zone, self.work, self.state = slots, zone, work, "ready"
        self.beating, self.orders = None, 0
        self.answer_headers = []

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "call_seq": self.orders}

    def write_entry(self):
        self.world.store.put("servers", self.ident, self.entry())

    async def start(self):
        await super().start()
        self.write_entry()

    async def _serve(self, reader, writer):
        await super()._serve(reader, writer)

    def stamped(self, request):
        return [("X-Request-Id", request.header("X-Request-Id")), *self.answer_headers]

    def misdirected(self, request):
        target = request.header("X-Target-Instance")
        return target != "" and target != self.ident

    def ran(self, request, **more):
        self.world.record.add("run", runner=self.ident, service=self.service, version=self.version,
                              id=request.header("X-Request-Id"), path=request.path, **more)
        self.world.runs.append((now(), self, request))

    async def handle(self, request, writer):
        if request.path == "/healthz":
            return answer(writer, 200, b"", [("X-Instance-Id", self.ident)])
        if self.misdirected(request):
            return answer(writer, 421, b"", [("X-Instance-Id", self.ident), *self.stamped(request)])
        await self.run(request, writer)

    async def run(self, request, writer):
        self.ran(request)
        await asyncio.sleep(self.work)
        body = f"{self.ident} did {request.method} {request.target}".encode()
        answer(writer, 200, body, [*self.stamped(request), ("X-Response-Seal", f"seal.{self.ident}")])


class Engine(Runner):
    """A language-model runner: streams events with rising ids, one each `gap` seconds."""

    def __init__(self, *args, gap=0.1, stage="decode", kv_tokens=442678, **kw):
        super().__init__(*args, **kw)
        self.gap, self.stage, self.kv_tokens, self.handles = gap, stage, kv_tokens, {}
        self.running = 0

    def entry(self):
        return {**super().entry(), "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def handle(self, request, writer):
        if request.path in ("/report", "/kv-events", "/kv-list", "/order") and self.misdirected(request):
            return answer(writer, 421, b"", [("X-Instance-Id", self.ident)])
        if request.path == "/report":
            return answer(writer, 200, {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                                        "busy": False, "call_seq": self.orders, "queued": 0, "running": self.running,
                                        "kv_used": 0, "kv_total": self.kv_tokens, "kv_handles": len(self.handles),
                                        "state": self.state, "next_token": 0, "run_count": []})
        if request.path == "/kv-events":
            await asyncio.sleep(min(int(request.header("Wait-Ms") or 0), 1000) / 1000)
            return answer(writer, 200, {"epoch": 1, "next_token": 1, "lost": False, "events": []})
        if request.path == "/kv-list":
            return answer(writer, 200, {"epoch": 1, "next_token": 1, "held": []})
        if request.path == "/order":
            return await self.order(request, writer)
        if request.path.startswith("/kv-handle/"):
            self.handles.pop(request.path.rsplit("/", 1)[1], None)
            return answer(writer, 200)
        await super().handle(request, writer)

    async def order(self, request, writer):
        order = json.loads(request.body)
        self.world.record.add("order", runner=self.ident, holder=order.get("holder"),
                              token=order.get("fencing_token"), stage=order.get("stage"))
        if order.get("expected_rev", self.orders) != self.orders:
            return answer(writer, 409)
        if order.get("stage") == self.stage:
            return answer(writer, 200)
        self.orders += 1
        self.stage = order["stage"]
        self.write_entry()
        answer(writer, 202)

    async def run(self, request, writer):
        counts = (request.header("X-Token-Counts") or "100,10").split(",")
        if request.header("X-Stage") == "prefill":
            handle = f"h{len(self.handles)}{int(now() * 1000)}"
            self.handles[handle] = request.header("X-Request-Id")
            self.world.record.add("prompt", runner=self.ident, id=request.header("X-Request-Id"))
            return answer(writer, 200, {"kv_handle": handle, "tokens": int(counts[0]), "version": 1},
                          self.stamped(request))
        if self.stage == "prefill":
            return answer(writer, 421, b"", [("X-Instance-Id", self.ident), *self.stamped(request)])
        first = int(request.header("Last-Event-Id") or 0)
        self.ran(request, resumes_from=first)
        self.running += 1
        try:
            await asyncio.sleep(0.03)
            writer.write(head(200, [*self.stamped(request), ("Content-Type", "text/event-stream"),
                                    ("X-Response-Seal", f"seal.{self.ident}"), ("X-Weight-Versions", "1"),
                                    ("Transfer-Encoding", "chunked")]))
            for event in range(first + 1, int(counts[1]) + 1):
                data = f"id: {event}\ndata: {self.version} {self.ident} {event}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.gap)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


# ---------------------------------------------------------------- the daemons

def deploy_file():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
        return tomllib.load(f)


def lookup(context, name):
    if name == ".":
        return context[-1][1]
    if name == "@":
        return context[-1][0]
    for _, scope in reversed(context):
        value = scope
        for part in name.split("."):
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


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(v) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(text, context):
    """The gaps of DEPLOY.md: {{a.b}}, {{#a}}..{{/a}}, {{^a}}..{{/a}}, {{.}}, {{@}}, {{,}}."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}")
    out, position = "", 0
    while True:
        found = section.search(text, position)
        plain = text[position:found.start() if found else len(text)]
        out += re.sub(r"\{\{([^}#^/,]+)\}\}", lambda m: as_text(lookup(context, m.group(1).strip())), plain)
        if not found:
            return out
        close = "{{/" + found.group(2) + "}}"
        end = text.index(close, found.end())
        inner, value = text[found.end():end], lookup(context, found.group(2))
        if found.group(1) == "^":
            out += fill(inner, context) if not value else ""
        elif isinstance(value, (dict, list)):
            entries = list(value.items() if isinstance(value, dict) else enumerate(value))
            for number, (key, entry) in enumerate(entries):
                comma = "" if number == len(entries) - 1 else ","
                out += fill(inner.replace("{{,}}", comma), context + [(key, entry)])
        elif value:
            out += fill(inner, context + [("", value)])
        position = end + len(close)


class Node:
    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone, self.process = world, name, ip, zone, None
        self.front, self.readiness, self.control = (f"{ip}:{free_port(ip)}" for _ in range(3))
        self.store_address = world.store.address
        self.folder = os.path.join(world.folder, name)
        os.mkdir(self.folder)

    def fields(self):
        world = self.world
        return {"node_name": self.name, "role": "node", "machine_class": "edge", "serves": ["edge", "control"],
                "ip": self.ip, "zone": self.zone, "region": "kyushu", "zones": {z: "kyushu" for z in world.zones},
                "listen_addrs": {"front": self.front, "readiness": self.readiness, "control": self.control},
                "internal_ports": [7660, 7675], "seeds": [n.control for n in world.nodes[:3]], "bootstrap": True,
                "counts_toward_loss": False,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                           "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine",
                              "platform"],
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": world.bounds,
                "platform": {"address": self.store_address, "form": "objects", "writes_per_s": 400,
                             "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}}

    def start(self):
        deploy = deploy_file()["roles"]["node"]
        with open(os.path.join(ROOT, deploy["template"])) as f:
            text = fill(f.read(), [("", self.fields())])
        settings = os.path.join(self.folder, "settings.json")
        with open(settings, "w") as f:
            f.write(text)
        words = [settings if w == "/etc/cypresswall/settings.json" else w for w in deploy["run"].split()]
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = self.world.spawn(words, log, {"CYPRESSWALL_NODE_FILE": settings})
        self.world.record.add("node_started", node=self.name, pid=self.process.pid)

    def kill(self, how=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(how)
            self.world.record.add("node_signal", node=self.name, signal=how.name)

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(simple(self.readiness, "GET", "/readyz"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            return False


BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
          "max_stretch_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58, "recover_s": 12,
          "transit_ms": 120, "retry_after_s": 10, "require_fence": True, "lease_ms": 3000, "thaw_ms": 300}


class World:
    def __init__(self, folder_of_case, nodes=4, zones=("fukuoka-hall", "kumamoto-hall", "kagoshima-hall")):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones, self.bounds, self.runs, self.processes = zones, dict(BOUNDS), [], []
        self.store = Store("127.0.9.1", self.record)
        self.nodes = []
        for number in range(nodes):
            zone = zones[number % len(zones)]
            self.nodes.append(Node(self, f"edge-{zone}-{number + 1}", f"127.0.1.{number + 1}", zone))

    def spawn(self, words, log, env):
        import subprocess
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        process = subprocess.Popen(words, stdout=log, stderr=log, cwd=ROOT, env={**keep, **env})
        self.processes.append(process)
        return process

    def configure(self, version, routes, services):
        self.store.put("config", "main", {"version": version, "routes": routes, "services": services,
                                          "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                                     "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.record.add("config", version=version)

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        return await self.all_ready()

    async def all_ready(self, limit=15):
        end = now() + limit
        while now() < end:
            if all(await asyncio.gather(*(n.ready() for n in self.nodes))):
                self.record.add("all_ready")
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        await self.store.stop()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


# ---------------------------------------------------------------- clients

def request_bytes(method, target, headers, body):
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if body or method in ("POST", "PUT"):
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode("latin1") + body


async def open_to(address):
    ip, port = address.rsplit(":", 1)
    return await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)


async def read_head(reader):
    lines = await read_headers(reader)
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return status, headers


async def simple(address, method, target, headers=(), body=b""):
    reader, writer = await open_to(address)
    try:
        writer.write(request_bytes(method, target, [("Host", "a.example"), *headers], body))
        status, fields = await read_head(reader)
        if "content-length" in fields or "transfer-encoding" in fields:
            return status, fields, await read_body(reader, fields)
        return status, fields, await reader.read()
    finally:
        writer.transport.abort()


class Stream:
    """One attempt of a client at a streaming route: its events, and how it ended."""

    def __init__(self, ident):
        self.ident, self.status, self.headers, self.events, self.complete, self.error = ident, 0, {}, [], False, ""


async def stream(address, target, headers, ident, on_event=None):
    attempt = Stream(ident)
    writer = None
    try:
        reader, writer = await open_to(address)
        writer.write(request_bytes("POST", target, [("Host", "a.example"), ("X-Request-Id", ident), *headers], b"x" * 64))
        attempt.status, attempt.headers = await read_head(reader)
        if attempt.status != 200:
            return attempt
        buffer = b""
        while True:
            size = int((await reader.readline()).strip() or b"z", 16)
            buffer += await reader.readexactly(size)
            await reader.readexactly(2)
            while b"\n\n" in buffer:
                event, _, buffer = buffer.partition(b"\n\n")
                lines = event.decode().split("\n")
                number = int(lines[0].split(":")[1])
                attempt.events.append((number, lines[1].split(":", 1)[1].strip()))
                if on_event:
                    on_event(number)
            if size == 0:
                attempt.complete = True
                return attempt
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, ConnectionError) as error:
        attempt.error = type(error).__name__
        return attempt
    finally:
        if writer:
            writer.transport.abort()


def run_case(main):
    folder = os.path.abspath(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def guarded():
        world = None
        for ending in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(ending, asyncio.current_task().cancel)
        try:
            world = World(folder)
            return await asyncio.wait_for(main(world, trouble), 100)
        except (Exception, asyncio.CancelledError) as error:  # the case could not run
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            if world:
                await world.close()

    sys.exit(asyncio.run(guarded()))
