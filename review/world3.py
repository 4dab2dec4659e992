"""A small deployment of acaciaarch on loopback addresses: stand-ins for the platform's store, for
servers and for consumers, written from the users' pages, and real `acaciad --platform` processes.

One asyncio loop runs all stand-ins. Every process that is started is ended by its id.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
DAEMON = os.path.join(ROOT, "target", "release", "acaciad")
HEARTBEAT_S = 1.2
HOST = "service.example"
MODEL = "model-a"


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def reset(writer):
    """Closes a connection with a reset, as a process that crashes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def read_head(reader):
    """The first line and the headers (lower case) of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise ConnectionResetError("the body was broken off")
            size = int(line.split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's store."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 100
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.era = 1
        self.copies = []
        self.is_away = False
        self.connections = set()
        # Decides which calls get no answer, and are executed by `execute_late`.
        self.loses = lambda method, target, body: False
        self.pending = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.task = asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.is_away:
                continue
            if not self.copies or now() >= self.copies[-1][0] + 0.25:
                copy = (dict(self.items), dict(self.leases), self.revision, self.last_lease)
                self.copies = self.copies[-40:] + [(now(), copy)]
            for lease in [l for l, (until, _) in self.leases.items() if now() >= until]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.commit([], keys)

    def commit(self, sets, removes):
        self.revision += 1
        for key, value, lease in sets:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "created": created,
                    "lease": lease}
            self.items[key] = item
            self.log.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.log.append({"key": key, "revision": self.revision, "removed": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, document):
        """A write of an operator or a server; lost while the store is away."""
        if self.is_away:
            return
        self.commit([(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)], [])

    def remove(self, key):
        if not self.is_away and key in self.items:
            self.commit([], [key])

    async def drill(self, away_s, age_s):
        """The store is away, and comes back from a copy that is some seconds old."""
        self.is_away = True
        for writer in list(self.connections):
            reset(writer)
        at, copy = next(c for c in reversed(self.copies) if c[0] <= now() - age_s)
        await asyncio.sleep(away_s)
        lost = self.items
        items, leases, self.revision, self.last_lease = copy
        # Leases end when they would have ended without a renewal since.
        self.items, self.leases = dict(items), dict(leases)
        self.log = [event for event in self.log if event["revision"] <= self.revision]
        self.era += 1
        self.copies = [c for c in self.copies if c[0] <= at]
        self.is_away = False
        # What the operator and the servers wrote since is written again.
        for key, item in lost.items():
            is_theirs = key.startswith(("op/", "servers/"))
            if is_theirs and self.items.get(key, {}).get("value") != item["value"]:
                self.commit([(key, item["value"], 0)], [])

    async def execute_late(self):
        """Executes the calls that got no answer, if their conditions still hold."""
        results = []
        for method, target, body in self.pending:
            results.append((await self.call(method, target, body))[0])
        self.pending = []
        return results

    async def serve(self, reader, writer):
        if self.is_away:
            reset(writer)
            return
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if self.loses(method, target, body):
                    self.pending.append((method, target, body))
                    # A connection on which a response is lost returns nothing further.
                    await asyncio.sleep(3600)
                status, answer = await self.call(method, target, body)
                await asyncio.sleep(0.002)
                content = json.dumps(answer).encode()
                fields = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(message(status, fields, content))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/acaciaarch/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return ("200 OK", {**item, "as_of": self.revision}) if item else ("404 Not Found", {})
        if name == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("path_prefix", "")))
            keys = [key for key in keys if key > query.get("after", "")]
            items = [self.items[key] for key in keys[:500]]
            return "200 OK", {"items": items, "truncated": len(keys) > 500, "as_of": self.revision}
        if name == "kv-watch":
            after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1000
            while True:
                if after > self.revision:
                    return "410 Gone", {}
                events = [event for event in self.log if event["revision"] > after
                          and event["key"].startswith(query.get("path_prefix", ""))]
                left = until - now()
                if events or left <= 0:
                    return "200 OK", {"events": events, "as_of": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        document = json.loads(body or b"{}")
        if name == "kv-lease":
            self.last_lease += 1
            ttl = max(1000, document["ttl_ms"])
            self.leases[self.last_lease] = (now() + ttl / 1000, ttl)
            return "200 OK", {"lease": self.last_lease, "ttl_ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return "404 Not Found", {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return "200 OK", {"ttl_ms": ttl}
        if name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return "404 Not Found", {}
            self.end_lease(lease)
            return "200 OK", {}
        if name == "kv-txn":
            rows = document.get("expected", [])
            found = {row["key"]: self.items.get(row["key"], {"revision": 0})["revision"]
                     for row in rows}
            if any(found[row["key"]] != row["revision"] for row in rows):
                items = [self.items[key] for key in found if key in self.items]
                return "412 Precondition Failed", {"items": items}
            sets = [(s["key"], s["value"], s.get("lease", 0)) for s in document.get("set_keys", [])]
            if any(lease and lease not in self.leases for _, _, lease in sets):
                return "404 Not Found", {}
            if any(key.startswith(("op/", "servers/")) for key, _, _ in sets):
                return "403 Forbidden", {}
            self.commit(sets, document.get("remove", []))
            return "200 OK", {"revision": self.revision}
        return "404 Not Found", {}


class Server:
    """A server of a service. Each start is a new boot with a new id."""

    boots = 0

    def __init__(self, world, service, zone, slots, handler, models=()):
        self.world, self.service, self.zone = world, service, zone
        self.slots, self.handler = slots, handler
        # The versions of its weights by model, and the number of orders that it accepted.
        self.models = {model: 1 for model in models}
        self.orders, self.is_busy = 0, False
        self.port = free_port()
        self.connections = set()
        self.is_up = False
        self.id = None
        self.crashes = []

    async def start(self):
        Server.boots += 1
        self.id = "i-%06x" % (0xa00000 + Server.boots * 7919 % 0x5fffff)
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, reuse_address=True)
        self.is_up = True
        self.beat_task = asyncio.ensure_future(self.beat(self.id))

    async def beat(self, boot):
        sequence = 0
        while self.is_up and self.id == boot:
            sequence += 1
            entry = {"service": self.service, "address": f"127.0.0.1:{self.port}",
                     "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready",
                     "cold_left_ms": 0, "sequence": sequence, "born": self.born}
            if self.models:
                entry["models"] = self.weights()
                entry["stage"] = "colocated"
            self.world.store.put("servers/" + boot, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def lapse(self, boot):
        """The entry of a server that sends nothing any more lapses after three heartbeats."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.world.store.remove("servers/" + boot)

    def crash(self, down_s):
        """The process crashes and is back after some seconds."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append(now())
        self.world.note(f"server {self.id} crashes")
        self.listener.close()
        for writer in list(self.connections):
            reset(writer)
        self.connections.clear()
        asyncio.ensure_future(self.lapse(self.id))
        asyncio.ensure_future(self.restart(down_s))

    async def restart(self, down_s):
        await asyncio.sleep(down_s)
        await self.start()
        self.world.note(f"server {self.id} is up")

    async def serve(self, reader, writer):
        if self.world.refuses(writer):
            reset(writer)
            return
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await self.answer(head, body, reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, head, body, reader, writer):
        method, target, _ = head[0].split(" ")
        headers = head[1]
        own = {"X-Instance-Id": self.id}
        if "x-request-id" in headers:
            own["X-Request-Id"] = headers["x-request-id"]
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(message("421 Misdirected Request", own))
        elif target == "/healthz":
            writer.write(message("200 OK", own))
        elif target == "/acaciaarch/report":
            report = {"stage": "colocated", "models": self.weights(), "busy": self.is_busy,
                      "sequence": self.orders,
                      "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 80000, "handles": 0,
                      "clock_ms": time.time() * 1000, "born": self.born}
            writer.write(message("200 OK", own, json.dumps(report).encode()))
        elif target == "/acaciaarch/order":
            writer.write(message(self.order(json.loads(body)), own, b"{}"))
        else:
            await self.handler(self, head, body, writer, own)
        await writer.drain()

    def order(self, order):
        """Loads other weights, which takes a while."""
        if self.models.get(order["model"]) == order["version"]:
            return "200 OK"
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return "409 Conflict"
        self.orders += 1
        self.is_busy = True
        asyncio.ensure_future(self.load(order["model"], order["version"]))
        return "202 Accepted"

    async def load(self, model, version):
        await asyncio.sleep(0.57)
        self.models[model], self.is_busy = version, False

    def weights(self):
        return [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]

    def seal(self, request):
        return f"seal.{self.id}.{request}"


class Instance:
    """A process `acaciad --platform`."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.ready, self.control = free_port(), free_port(), free_port()
        self.first, self.last = free_port(), free_port()
        self.process = None
        self.misses = 2
        # Times at which the process ended by itself, and the most memory that it used, in bytes.
        self.ends, self.peak = [], 0

    def settings(self, bounds):
        lines = [f'node_name = "{self.name}"', 'role = "gateway"', 'machine_class = "edge"',
                 'serves = ["edge"]', 'ip = "127.0.0.1"', f'zone = "{self.zone}"',
                 'region = "region-a"', f"port_range = [{self.first},{self.last}]", "seeds = []",
                 "bootstrap = true", "fault_counted = false", 'discovery = "platform"',
                 'entry = "virtual_ip"', "heartbeat_ms = 1200",
                 'contracts = ["base","drain","config","cost","retry","recover","kvcache","stream",'
                 '"engine","tenants","places","platform"]',
                 "[zones]", f'{self.zone} = "region-a"', "[listen_addrs]",
                 f'front = "127.0.0.1:{self.front}"', f'ready = "127.0.0.1:{self.ready}"',
                 f'control = "127.0.0.1:{self.control}"', "[limits]", "cpu_share = 0.25",
                 "cpu_cores = 1", f"memory_mb = {self.world.memory_mb}", "max_fds = 4100", "link_mbps = 1000.0",
                 "disk_mb = 0", "[fault_tolerance]", "machines = 1", "zones = 1", "regions = 0",
                 "[bounds]"]
        lines += [f"{name} = {str(value).lower()}" for name, value in bounds.items()]
        lines += ["[provider]", f'address = "{self.world.store.address}"', 'form = "kv"',
                  "writes_per_s = 400", "reads_per_s = 2000", "history_s = 20",
                  "value_bytes = 1048576", "ttl_min_ms = 1000"]
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(BOUNDS))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [DAEMON, "--platform"], cwd=ROOT, env={**kept, "ACACIAARCH_SETTINGS": path},
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    async def probe(self):
        """The platform's question, once a second; two misses take the machine out."""
        while True:
            try:
                status, _, _ = await asyncio.wait_for(
                    exchange(self.ready, "GET", "/acaciaarch/readyz", {"Host": "x"}), 1)
                self.misses = 0 if status == 200 else self.misses + 1
            except (asyncio.TimeoutError, ConnectionError, OSError, ValueError):
                self.misses += 1
            await asyncio.sleep(1 if self.misses == 0 else 0.2)

    async def guard(self):
        """The platform kills a process that exceeds the memory of its machine, and starts it again."""
        limit = self.world.memory_mb * 1_000_000
        while True:
            await asyncio.sleep(0.005)
            if self.process.poll() is None:
                try:
                    with open(f"/proc/{self.process.pid}/statm") as file:
                        used = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
                except (OSError, IndexError, ValueError):
                    continue
                self.peak = max(self.peak, used)
                if used <= limit:
                    continue
                self.world.note(f"{self.name} uses {used} bytes and is killed")
                self.process.kill()
            self.process.wait()
            self.ends.append(now())
            self.world.note(f"the process of {self.name} has ended")
            await asyncio.sleep(0.5)
            self.start()

    def is_in_rotation(self):
        return self.misses < 2

    def signal(self, number):
        self.process.send_signal(number)


async def exchange(port, method, path, headers, body=b""):
    """One request on a connection of its own; status, headers and body of the whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request(method, path, headers, body))
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        content = await read_body(reader, head[1])
        return int(head[0].split(" ")[1]), head[1], content
    finally:
        writer.close()


def request(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# As in the users' small sites.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "revoke_strict": False, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10,
    "budget_slack": 58, "cold_over": 1.5, "cold_slack": 5, "evac_ms": 5000, "recover_s": 12,
    "transit_ms": 120, "reuse_window_s": 20, "enforce_fencing": True, "lease_ms": 3000,
    "thaw_slack_ms": 300, "version_ms": 8000, "version_all_ms": 11000,
}


class World:
    """All stand-ins and processes of one run."""

    def __init__(self, record):
        self.record = record
        self.began = now()
        self.folder = tempfile.mkdtemp(prefix="acacia-review-")
        self.store = Store()
        self.servers, self.instances, self.tasks = [], [], []
        self.memory_mb = 260
        # Ids of processes whose connections to servers are cut.
        self.cut = set()

    def note(self, text):
        self.record.write(f"{now() - self.began:8.3f} {text}\n")

    async def configure(self, version, routes, services, tenants):
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put("op/config", {"version": version, "routes": routes, "services": services,
                                     "limits": limits, "tenants": tenants})
        self.note(f"desired state {version} is acknowledged")

    async def add_instances(self, count, zone):
        for number in range(count):
            instance = Instance(self, f"edge-{number + 1}", zone)
            instance.start()
            self.instances.append(instance)
            self.tasks.append(asyncio.ensure_future(instance.probe()))
        end = now() + 20
        while not all(instance.is_in_rotation() for instance in self.instances):
            if now() > end:
                raise RuntimeError("the instances are not ready")
            await asyncio.sleep(0.05)
        self.note(f"{count} instances are ready")

    def refuses(self, writer):
        """Whether a connection to a server comes from a process that is cut off."""
        if not self.cut:
            return False
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        inode = None if peer is None else socket_inode(peer, own)
        return inode in socket_inodes(self.cut)

    def cut_off(self, instance):
        """Resets an instance's connections to servers, and every new one until `cut` is cleared."""
        self.cut.add(instance.process.pid)
        for server in self.servers:
            for writer in list(server.connections):
                if self.refuses(writer):
                    server.connections.discard(writer)
                    reset(writer)

    def close(self):
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def socket_inodes(pids):
    """The sockets of processes that this run started."""
    inodes = set()
    for pid in pids:
        for entry in os.listdir(f"/proc/{pid}/fd"):
            try:
                link = os.readlink(f"/proc/{pid}/fd/{entry}")
            except OSError:
                continue
            if link.startswith("socket:["):
                inodes.add(int(link[8:-1]))
    return inodes


def socket_inode(local, remote):
    """The socket at the `local` end of a TCP connection on this machine; None if there is none.

    Asks the kernel for one socket (sock_diag(7)): the table in /proc is slow to read.
    """
    ports = struct.pack(">HH", local[1], remote[1])
    ends = [socket.inet_aton(end[0]) + bytes(12) for end in (local, remote)]
    wanted = ports + ends[0] + ends[1] + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    query = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFF) + wanted
    by_family, is_request, is_error = 20, 1, 2
    head = struct.pack("=IHHII", 16 + len(query), by_family, is_request, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as kernel:
        kernel.send(head + query)
        answer = kernel.recv(65536)
    if struct.unpack("=IH", answer[:6])[1] == is_error:
        return listed_inode(local, remote)
    return struct.unpack("=I", answer[84:88])[0]


def listed_inode(local, remote):
    """The same by the table in /proc, for kernels that don't answer."""
    names = ["%08X:%04X" % (struct.unpack("<I", socket.inet_aton(end[0]))[0], end[1])
             for end in (local, remote)]
    with open("/proc/net/tcp") as table:
        rows = (line.split() for line in table)
        return next((int(row[9]) for row in rows if row[1:3] == names), None)


def run(case, folder):
    """Runs a case and ends this process with its result."""
    if not os.path.exists(DAEMON):
        print("there is no", DAEMON)
        sys.exit(2)
    with open(os.path.join(folder, "record.txt"), "w") as record:
        world = World(record)

        def unhandled(_, context):
            # Resets of connections are part of the cases.
            error = context.get("exception")
            if not isinstance(error, ConnectionError):
                world.note(f"unhandled in a stand-in: {context.get('message')} {error!r}")

        async def main():
            asyncio.get_running_loop().set_exception_handler(unhandled)
            await world.store.start()
            try:
                return await asyncio.wait_for(case(world), 110)
            finally:
                world.close()

        try:
            result = asyncio.run(main())
        except Exception as error:  # The case could not run.
            record.write(f"the case could not run: {error!r}\n")
            print(f"the case could not run: {error!r}")
            sys.exit(2)
        record.write("result: " + ("broken" if result else "held") + "\n")
    sys.exit(1 if result else 0)
