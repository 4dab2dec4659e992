"""Small stand-ins for the users' platform: metadata store, engines, plain servers, callers.

They speak what PROTOCOL.md says, on loopback addresses, and write what they see to a record. Only
the Python standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "acaciad")
HOST = "localhost.example"
STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


def candidates():
    """Ports below those that the system gives to outgoing connections; scripts that run beside each other begin at
    different ones."""
    first = 10000 + os.getpid() % 200 * 100
    while True:
        yield from range(first, 30000)
        first = 10000


CANDIDATES = candidates()


def is_free(port):
    """Whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_ports(count):
    """Free loopback ports, all different."""
    return [next(port for port in CANDIDATES if is_free(port)) for _ in range(count)]


def free_range(length):
    """The first of some consecutive ports that are free."""
    while True:
        ports = free_ports(length)
        if ports[-1] - ports[0] == length - 1:
            return ports[0]


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, kind, **fields):
        self.file.write(json.dumps({"t": round(now(), 3), "what": kind, **fields}) + "\n")
        self.file.flush()


class Request:
    """A request as a server has read it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def owner(port, server_port, processes):
    """The process, of those given, whose socket has this local port and is connected to a server."""
    wanted = f"0100007F:{port:04X}", f"0100007F:{server_port:04X}"
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for row in table:
            fields = row.split()
            if (fields[1], fields[2]) == wanted:
                inode = f"socket:[{fields[9]}]"
    for process in processes:
        try:
            for fd in os.listdir(f"/proc/{process}/fd"):
                try:
                    if os.readlink(f"/proc/{process}/fd/{fd}") == inode:
                        return process
                except OSError:
                    pass
        except OSError:
            pass
    return None


class Server:
    """An HTTP/1.1 server; `answer` gets a request and the connection's writer."""

    # Processes that are partitioned from servers: their connections are reset.
    cut = set()
    # Whether these hang instead.
    hangs = False
    # Processes whose connections are told apart.
    known = set()

    def __init__(self):
        self.port = free_ports(1)[0]
        self.writers = {}
        self.server = None
        self.can_be_cut = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)

    async def serve(self, reader, writer):
        self.writers[writer] = None
        if self.can_be_cut and Server.known:
            peer = writer.get_extra_info("peername")
            self.writers[writer] = owner(peer[1], self.port, Server.known) if peer else None
            if self.writers[writer] in Server.cut and not Server.hangs:
                self.reset(writer)
                return
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                while Server.hangs and self.writers.get(writer) in Server.cut:
                    # Nothing gets through until the cut is healed.
                    await asyncio.sleep(0.05)
                if not await self.answer(Request(method, target, headers, body), writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    def reset(self, writer):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        try:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            # It is closed already.
            pass
        writer.transport.abort()

    def reset_all(self):
        """Resets all connections."""
        for writer in list(self.writers):
            self.reset(writer)

    def apply_cut(self):
        """Resets the connections of processes that are partitioned from servers."""
        for writer, process in list(self.writers.items()):
            if process in Server.cut:
                self.reset(writer)

    async def answer(self, request, writer):
        raise NotImplementedError


def head_bytes(status, headers):
    names = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
             412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {names.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def respond(writer, status, body=b"", headers=None):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers = {"Content-Type": "application/json", **(headers or {})}
    headers = {**(headers or {}), "Content-Length": str(len(body))}
    writer.write(head_bytes(status, headers) + body)
    await writer.drain()
    return True


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items, self.leases, self.history = {}, {}, []
        self.revision = 1
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.delay_s = 0.004
        self.pending = {}
        # Decides whether a write gets no answer and is carried out later, after so many seconds.
        self.is_lost = lambda body: False
        self.late_s = 4.0
        # Processes that get 503.
        self.rejected = set()
        self.writes = self.lost_writes = 0

    def change(self, key, value, lease):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            created = self.items[key]["created"] if key in self.items else self.revision
            event = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                     "created": created, "lease": lease}
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """A write of the operator or of a server."""
        self.change(key, json.dumps(value).encode(), 0)
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.change(key, None, 0)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [l for l, (end, _) in self.leases.items() if end < time.monotonic()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.change(key, None, 0)

    async def answer(self, request, writer):
        path = request.path.removeprefix("/acaciaarch/")
        if self.is_rejected(writer):
            return await respond(writer, 503, {})
        is_write = path == "kv-txn"
        if is_write:
            keys = [s["key"] for s in json.loads(request.body).get("set_keys", [])]
            self.pending[writer] = (time.monotonic(), keys)
            self.record.line("store: write arrives", keys=keys)
        try:
            await asyncio.sleep(self.delay_s)
            # The connection was reset meanwhile: the call has never arrived.
            if writer.transport.is_closing():
                if is_write:
                    self.record.line("store: write lost", body=request.body.decode()[:120])
                return False
        finally:
            self.pending.pop(writer, None)
        body = json.loads(request.body) if request.body else {}
        if path == "kv-range":
            prefix, after = request.query.get("path_prefix", ""), request.query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:500]]
            reply = {"items": items, "truncated": len(keys) > 500, "as_of": self.revision}
            return await respond(writer, 200, reply)
        if path == "kv-key":
            item = self.items.get(request.query.get("key", ""))
            return await respond(writer, 200 if item else 404, {**(item or {}), "as_of": self.revision})
        if path == "kv-watch":
            return await self.watch(request, writer)
        if path == "kv-txn":
            self.writes += 1
            if self.is_lost(body):
                self.lost_writes += 1
                self.record.line("store: answer lost, carried out late", keys=[s["key"] for s in body["set_keys"]])
                asyncio.get_running_loop().call_later(self.late_s, self.apply, body)
                # The connection returns nothing further.
                await asyncio.sleep(30)
                return False
            status, reply = self.apply(body)
            return await respond(writer, status, reply)
        if path == "kv-lease":
            self.next_lease += 1
            ttl = max(1000, int(body["ttl_ms"]))
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return await respond(writer, 200, {"lease": self.next_lease, "ttl_ms": ttl})
        if path.startswith("kv-keep/"):
            lease = int(path.split("/")[1])
            if lease not in self.leases:
                return await respond(writer, 404, {})
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return await respond(writer, 200, {"ttl_ms": ttl})
        if path.startswith("kv-lease-end/"):
            lease = int(path.split("/")[1])
            known = lease in self.leases
            self.end_lease(lease)
            return await respond(writer, 200 if known else 404, {})
        return await respond(writer, 404, {})

    def is_rejected(self, writer):
        peer = writer.get_extra_info("peername")
        return bool(self.rejected and peer and owner(peer[1], self.port, self.rejected))

    async def watch(self, request, writer):
        prefix, after = request.query.get("path_prefix", ""), int(request.query["after"])
        end = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if self.is_rejected(writer):
                return await respond(writer, 503, {})
            if events or left <= 0:
                return await respond(writer, 200, {"events": events, "as_of": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def apply(self, body):
        """Carries out a write if its condition holds."""
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        sets = body.get("set_keys", [])
        if any(s["key"].startswith(("op/", "servers/")) for s in sets):
            return 403, {}
        if any(s.get("lease", 0) and s["lease"] not in self.leases for s in sets):
            return 404, {}
        for s in sets:
            self.change(s["key"], base64.b64decode(s["value"]), s.get("lease", 0))
            self.record.line("store: written", key=s["key"], revision=self.revision, lease=s.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Engine(Server):
    """A model server: keeps prompt parts under the salt, takes orders, runs streams."""

    def __init__(self, record, store, name, service, model, version=1, events=3, gap_s=0.02):
        super().__init__()
        self.record, self.store, self.name, self.service = record, store, name, service
        self.model, self.version, self.events, self.gap_s = model, version, events, gap_s
        self.named = {version}
        self.busy, self.sequence, self.fence, self.beat = False, 0, 0, 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        # (salt, model, part) -> the tenant whose request made it, and the version.
        self.parts = {}
        self.runs = 0

    def entry(self):
        self.beat += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1",
                "version": "v1", "slots": 64, "state": self.state, "cold_left_ms": 0,
                "stage": "colocated", "born": self.born, "sequence": self.beat,
                "models": [{"name": self.model, "version": self.version, "adapters": []}]}

    async def heartbeat(self):
        while True:
            self.store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(1.2)

    async def load(self, version):
        self.busy = True
        await asyncio.sleep(0.57)
        self.version, self.busy, self.parts = version, False, {}
        self.record.line("engine: has weights", server=self.name, version=version)
        self.store.put(f"servers/{self.name}", self.entry())

    async def order(self, request, writer):
        body = json.loads(request.body)
        self.record.line("engine: order", server=self.name, **body)
        if body.get("fence", 0) < self.fence:
            return await respond(writer, 412, {})
        self.fence = body["fence"]
        if self.busy or body.get("expected", self.sequence) != self.sequence:
            return await respond(writer, 409, {})
        if body["version"] == self.version:
            return await respond(writer, 200, {})
        if body["version"] not in self.named:
            return await respond(writer, 400, {})
        self.sequence += 1
        asyncio.get_running_loop().create_task(self.load(body["version"]))
        return await respond(writer, 202, {})

    async def answer(self, request, writer):
        expected = request.get("x-expect-instance")
        common = {"X-Instance-Id": self.name, "X-Weight-Versions": str(self.version)}
        if request.get("x-request-id"):
            common["X-Request-Id"] = request.get("x-request-id")
        if expected not in (None, self.name):
            return await respond(writer, 421, b"", common)
        if request.path == "/acaciaarch/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            return await respond(writer, 200, {
                "stage": "colocated", "models": models, "busy": self.busy, "sequence": self.sequence,
                "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 77656, "handles": 0,
                "born": self.born}, {"X-Instance-Id": self.name})
        if request.path == "/acaciaarch/order":
            return await self.order(request, writer)
        if request.path == "/healthz":
            return await respond(writer, 200, b"ok", {"X-Instance-Id": self.name})
        wanted = request.get("x-expect-version")
        if wanted is not None and int(wanted) != self.version:
            return await respond(writer, 421, b"", common)
        if self.busy:
            return await respond(writer, 503, b"", {**common, "X-Not-Executed": "1"})
        return await self.run(request, writer, common)

    async def run(self, request, writer, common):
        tenant, salt = request.get("x-tenant", ""), request.get("x-cache-salt", "")
        parts = [p.split(":")[0].strip() for p in request.get("x-prompt-prefix", "").split(",") if p]
        self.runs += 1
        used = []
        for part in parts:
            key = (salt, request.get("x-model"), part)
            if key not in self.parts:
                break
            used.append({"part": part, "made_by": self.parts[key][0]})
        for part in parts:
            key = (salt, request.get("x-model"), part)
            self.parts.setdefault(key, (tenant, self.version))
        self.record.line("engine: run", server=self.name, id=request.get("x-request-id"),
                         tenant=tenant, salt=salt, version=self.version, parts=parts, used=used,
                         fetch=request.get("x-kv-fetch"))
        self.saw(request, tenant, salt, used)
        headers = {**common, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                   "X-Response-Seal": f"{self.name}.{self.runs}", "Connection": "close"}
        writer.write(head_bytes(200, headers))
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {tenant} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False

    def saw(self, request, tenant, salt, used):
        """For checks of a case."""


class App(Server):
    """A server of a plain service."""

    def __init__(self, record, store, name, service="app", work_s=0.02):
        super().__init__()
        self.record, self.store, self.name, self.service = record, store, name, service
        self.work_s, self.beat, self.runs = work_s, 0, 0
        self.born = int(time.time() * 1000)
        self.can_be_cut = True

    def entry(self):
        self.beat += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1",
                "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
                "born": self.born, "sequence": self.beat, "models": []}

    async def heartbeat(self):
        while True:
            self.store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(1.2)

    async def answer(self, request, writer):
        common = {"X-Instance-Id": self.name}
        if request.get("x-request-id"):
            common["X-Request-Id"] = request.get("x-request-id")
        if request.get("x-expect-instance") not in (None, self.name):
            return await respond(writer, 421, b"", common)
        if request.path == "/healthz":
            return await respond(writer, 200, b"ok", common)
        self.runs += 1
        self.record.line("server: run", server=self.name, id=request.get("x-request-id"))
        await asyncio.sleep(self.work_s)
        return await respond(writer, 200, b"page", {**common, "X-Response-Seal": f"{self.name}.{self.runs}"})


class Instance:
    """A process of the system, with the command of the deploy file."""

    def __init__(self, record, store_port, name, folder, bounds=None, zone="z1"):
        self.record, self.name = record, name
        self.front, self.ready, self.control = free_ports(3)
        self.range = free_range(4)
        self.path = os.path.join(folder, f"{name}.toml")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        values = {
            "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
            "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
            "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
            "revoke_strict": False, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10,
            "budget_slack": 58, "cold_over": 1.5, "cold_slack": 5, "evac_ms": 5000, "recover_s": 12,
            "transit_ms": 120, "reuse_window_s": 20, "enforce_fencing": True, "lease_ms": 3000,
            "thaw_slack_ms": 300, "version_ms": 8000, "version_all_ms": 11000, **(bounds or {}),
        }
        text = "\n".join(f"{k} = {str(v).lower()}" for k, v in values.items())
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f"""node_name = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r1"
port_range = [{self.range},{self.range + 3}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","places","platform"]
[zones]
{zone} = "r1"
[listen_addrs]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready}"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{text}
[provider]
address = "127.0.0.1:{store_port}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
""")

    async def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "ACACIAARCH_SETTINGS": self.path}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--platform", cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record.line("instance started", instance=self.name)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, limit_s=20):
        end = now() + limit_s
        while now() < end:
            try:
                reply = await call(self.ready, "GET", "/acaciaarch/readyz", {}, timeout=1)
                if reply["status"] == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False


async def call(port, method, target, headers, body=b"", timeout=10.0):
    """A request on a connection of its own; `complete` tells whether the whole answer arrived."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            fields = {"Host": HOST, **headers}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, answered = await read_head(reader)
            reply = {"status": int(line.split(" ")[1]), "headers": answered, "complete": False,
                     "body": b""}
            try:
                if "content-length" in answered or "transfer-encoding" in answered:
                    reply["body"] = await read_body(reader, answered)
                reply["complete"] = True
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                pass
            return reply
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def request_id():
    return f"{random.getrandbits(64):016x}"


def prompt_headers(key, model, parts, deadline_ms=5000):
    """Headers of a prompt; `parts` are (id, tokens)."""
    tokens = sum(tokens for _, tokens in parts)
    return {"X-Request-Id": request_id(), "X-Model": model, "X-Token-Usage": f"{tokens},20",
            "X-Prompt-Prefix": ",".join(f"{part}:{count}" for part, count in parts),
            "X-Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {key}"}


def configuration(version, tenants, routes=None, services=None):
    """A desired state with one engine service `llm`."""
    route = {"name": "ask", "host": HOST, "path_prefix": "/ask/", "kind": "streaming",
             "timeout_ms": 5000, "target_latency_ms": 400, "priority": 0, "service": "llm",
             "max_attempts": 2, "public": False, "session_affinity": True, "resumable": True,
             "gap_target_ms": 300}
    service = {"name": "llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1",
               "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
               "engine": {"slots": 64, "kv_capacity": 77656, "kv_token_bytes": 163840,
                          "link_mbps": 280000.0, "moves": True, "backups": True,
                          "models": [{"name": "m0", "version": 1}]}}
    page = {"name": "page", "host": HOST, "path_prefix": "/page/", "kind": "idempotent",
            "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "app",
            "max_attempts": 2, "public": False}
    app = {"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False,
           "cold_start_s": 0.0, "cold_per_s": 0.0}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes or [route, page],
            "services": services or [service, app],
            "limits": limits, "tenants": tenants}


async def guard(main, limit_s=115):
    try:
        return await asyncio.wait_for(main, limit_s)
    except asyncio.TimeoutError:
        return 2


def run(scenario, record_path):
    """Runs a scenario; returns its exit code. All processes that it started are ended."""
    if not os.access(PROGRAM, os.X_OK):
        print("target/release/acaciad is missing: build it first")
        return 2
    record = Record(record_path)
    instances = []
    with tempfile.TemporaryDirectory() as folder:
        async def main():
            task = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            try:
                return await scenario(record, folder, instances)
            except asyncio.CancelledError:
                return 2
            finally:
                for instance in instances:
                    instance.signal(signal.SIGCONT)
                    instance.signal(signal.SIGKILL)
                for instance in instances:
                    if instance.process:
                        await instance.process.wait()
        code = asyncio.run(guard(main()))
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp {folder}/*.log {os.environ['KEEP_LOGS']}")
    record.line("exit", code=code)
    return code
