"""Stand-ins for the platform, its servers and its callers, and real `acaciad` processes.

All stand-ins run in one process, on loopback addresses and the real clock. They speak what the users' pages
describe. Between an engine and a KV cache store, whose transfers the pages describe but not their protocol, this
process passes the parts on in memory.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "release", "acaciad")
HOST = "app.example"
MODEL = "m0"
KEY = "key-north"
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
PAGE_ITEMS = 500
# The bounds of the users' sheets.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "revoke_strict": False, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58,
    "cold_over": 1.5, "cold_slack": 5, "evac_ms": 5000, "recover_s": 12, "transit_ms": 120, "reuse_window_s": 20,
    "enforce_fencing": True, "lease_ms": 3000, "thaw_slack_ms": 300, "version_ms": 8000, "version_all_ms": 11000,
}


class CannotRun(Exception):
    """The case can't run here."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)

    def header(self, name):
        return self.headers.get(name, "")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield chunk[:-2]


async def read_request(reader):
    try:
        line, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = line.split(" ")
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        async for chunk in read_chunks(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def answer(status, body=b"", headers=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    fields = {"content-type": "application/json", **(headers or {}), "content-length": len(body)}
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    return (head + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode() + body


class Listener:
    """Accepts connections and answers requests one after the other on each."""

    def __init__(self):
        self.server, self.writers, self.tasks = None, set(), set()

    async def listen(self, port=0):
        for _ in range(50):
            try:
                self.server = await asyncio.start_server(self.connection, "127.0.0.1", port or free_port())
                break
            except OSError:
                if port:
                    await asyncio.sleep(0.02)
        if self.server is None:
            raise CannotRun("no port can be bound")
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def connection(self, reader, writer):
        task = asyncio.current_task()
        self.writers.add(writer)
        self.tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.respond(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()
            try:
                await writer.wait_closed()
            except (ConnectionError, asyncio.CancelledError):
                pass

    async def respond(self, request, reader, writer):
        raise NotImplementedError

    def reset(self):
        """Resets all connections."""
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def close(self):
        """Refuses connections from now on, and resets the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()


DRAWN = set()


def free_port():
    """A port below the ephemeral range that is free for TCP and UDP."""
    for _ in range(200):
        port = random.randrange(12_000, 32_000)
        if port in DRAWN:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        DRAWN.add(port)
        return port
    raise CannotRun("no free port")


def free_ports():
    """Two ports, one after the other, that are free."""
    for _ in range(200):
        first = free_port()
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", first + 1))
        except OSError:
            continue
        if first + 1 not in DRAWN:
            DRAWN.add(first + 1)
            return first, first + 1
    raise CannotRun("no free ports")


# The platform's metadata store


class Store:
    """The platform's metadata store. It listens at one port for each instance, so that it can turn one away."""

    def __init__(self, record):
        self.record = record
        self.revision, self.items, self.events, self.leases = 1, {}, [], {}
        self.lease_ids = itertools.count(70_001)
        self.changed = asyncio.Condition()
        self.task = asyncio.ensure_future(self.expire())

    async def put(self, key, value):
        """Writes a key as operators and servers do."""
        self.set(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        await self.notify()
        return self.revision

    async def remove(self, key):
        self.drop(key)
        await self.notify()

    def set(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append((time.monotonic(), self.revision, item))

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            item = {"key": key, "revision": self.revision, "removed": True}
            self.events.append((time.monotonic(), self.revision, item))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.drop(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [lease for lease, (end, _) in self.leases.items() if now >= end]
            for lease in ended:
                self.end_lease(lease)
            if ended:
                await self.notify()
            while self.events and self.events[0][0] < now - HISTORY_S:
                self.events.pop(0)

    def range(self, query):
        prefix, after = unquote(query.get("path_prefix", "")), unquote(query.get("after", ""))
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": items, "truncated": len(keys) > PAGE_ITEMS, "as_of": self.revision}

    async def watch(self, query):
        prefix, after = unquote(query.get("path_prefix", "")), int(query.get("after", 0))
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000
        while True:
            oldest = self.events[0][1] if self.events else self.revision + 1
            if after + 1 < oldest and after < self.revision:
                return 410, {}
            events = [item for _, revision, item in self.events if revision > after and item["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [self.items[row["key"]] for row in body["expected"] if row["key"] in self.items]
                return 412, {"items": items}
        if any(row.get("lease") and row["lease"] not in self.leases for row in body.get("set_keys", [])):
            return 404, {}
        for row in body.get("set_keys", []):
            self.set(row["key"], row["value"], row.get("lease", 0))
            self.record.write(f"an instance writes {row['key']}: {base64.b64decode(row['value'])[:120].decode(errors='replace')}")
        for key in body.get("remove", []):
            self.drop(key)
        await self.notify()
        return 200, {"revision": self.revision}

    async def route(self, request):
        name, _, argument = request.path.removeprefix("/acaciaarch/").partition("/")
        body = json.loads(request.body) if request.body else {}
        if name == "kv-range":
            return self.range(request.query)
        if name == "kv-watch":
            return await self.watch(request.query)
        if name == "kv-key":
            item = self.items.get(unquote(request.query.get("key", "")))
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if name == "kv-txn":
            return await self.transact(body)
        if name == "kv-lease":
            lease, ttl = next(self.lease_ids), max(1_000, min(int(body["ttl_ms"]), 600_000))
            self.leases[lease] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name == "kv-keep":
            if int(argument) not in self.leases:
                return 404, {}
            ttl = self.leases[int(argument)][1]
            self.leases[int(argument)] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {"ttl_ms": ttl}
        if name == "kv-lease-end":
            self.end_lease(int(argument))
            await self.notify()
            return 200, {}
        return 404, {}


class Door(Listener):
    """The port of the metadata store for one instance."""

    def __init__(self, store):
        super().__init__()
        self.store, self.is_open = store, True

    async def respond(self, request, reader, writer):
        if not self.is_open:
            status, body = 503, {}
        else:
            status, body = await self.store.route(request)
            # A watch that waited is turned away like any other call.
            if not self.is_open:
                status, body = 503, {}
        writer.write(answer(status, body, {"Store-Era": 1}))
        await writer.drain()
        return True


# Servers


def clock_ms():
    """The servers' clock."""
    return int(time.monotonic() * 1_000) + 1_000_000_000


class Server(Listener):
    """A server that registers itself. `run` executes a request."""

    def __init__(self, fleet, name, service, zone, software="1.4", slots=16, queue=64, is_engine=True):
        super().__init__()
        self.fleet, self.name, self.service, self.zone, self.software = fleet, name, service, zone, software
        self.slots, self.queue, self.is_engine = slots, queue, is_engine
        self.free, self.waiting, self.running = asyncio.Semaphore(slots), 0, 0
        self.born = int(time.time() * 1_000)
        self.sequence, self.weights, self.orders, self.fence = 0, 1, 0, 0
        self.is_leaving, self.beat, self.registered_at = False, None, 0.0
        self.runs = []

    async def start(self):
        await self.listen()
        await self.register()
        self.beat = asyncio.ensure_future(self.keep_registered())
        return self

    async def register(self):
        self.sequence += 1
        self.registered_at = time.monotonic()
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.software,
                 "slots": self.slots, "state": "draining" if self.is_leaving else "ready", "cold_left_ms": 0,
                 "sequence": self.sequence, "born": self.born}
        if self.is_engine:
            entry |= {"stage": "colocated", "models": self.models()}
        await self.fleet.store.put(f"servers/{self.name}", entry)

    async def keep_registered(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def unregister(self):
        self.beat.cancel()
        await self.fleet.store.remove(f"servers/{self.name}")

    def models(self):
        return [{"name": MODEL, "version": self.weights, "adapters": []}]

    def common(self, request):
        return {"x-request-id": request.header("x-request-id"), "x-instance-id": self.name}

    async def respond(self, request, reader, writer):
        if request.path == "/acaciaarch/report":
            body = {"stage": "colocated", "models": self.models(), "busy": False, "sequence": self.orders,
                    "waiting": self.waiting, "running": self.running, "kv_used": 0, "kv_total": 80_000, "handles": 0,
                    "born": self.born, "clock_ms": clock_ms()}
            writer.write(answer(200, body))
            return True
        if request.path == "/acaciaarch/order":
            writer.write(answer(200, {}))
            return True
        expected = request.header("x-expect-instance")
        version = request.header("x-expect-version")
        if expected not in ("", self.name) or version not in ("", str(self.weights)):
            headers = {**self.common(request), "x-weight-versions": self.weights}
            writer.write(answer(421, b"", headers))
            return True
        if self.free.locked() and self.waiting >= self.queue:
            writer.write(answer(503, b"", {**self.common(request), "x-not-executed": 1}))
            return True
        self.waiting += 1
        # A server drops a request when its connection closes.
        watcher = asyncio.ensure_future(reader.read(1))
        watcher.add_done_callback(lambda done: done.cancelled() or done.exception())
        work = asyncio.ensure_future(self.work(request, writer))
        await asyncio.wait({watcher, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
            return False
        watcher.cancel()
        await asyncio.gather(watcher, return_exceptions=True)
        return work.exception() is None and not self.is_leaving

    async def work(self, request, writer):
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            identity = request.header("x-request-id")
            self.runs.append(identity)
            self.fleet.record.write(f"server {self.name} ({self.service}, {self.software}) runs {identity}")
            await self.run(request, writer)
        except ConnectionError:
            self.fleet.record.write(f"server {self.name} has lost the connection of {identity}")
        finally:
            self.running -= 1
            self.free.release()

    async def run(self, request, writer):
        raise NotImplementedError


class Plain(Server):
    """A plain server: each request takes `latency`."""

    def __init__(self, *arguments, latency=0.03, **named):
        super().__init__(*arguments, is_engine=False, **named)
        self.latency = latency

    async def run(self, request, writer):
        await asyncio.sleep(self.latency)
        headers = {**self.common(request), "x-response-seal": f"seal.{self.name}"}
        if self.is_leaving:
            headers["connection"] = "close"
        writer.write(answer(200, f"{self.name} {request.header('x-request-id')}".encode(), headers))
        await writer.drain()


class Engine(Server):
    """A model engine. Prompts are prefilled one after the other; a stream has an event each `interval`."""

    def __init__(self, *arguments, interval=0.1, rate=51_100.0, **named):
        super().__init__(*arguments, **named)
        self.interval, self.rate = interval, rate
        self.memory, self.prefilling = set(), asyncio.Lock()

    async def run(self, request, writer):
        async with self.prefilling:
            await self.prefill(request)
        usage = request.header("x-token-usage").partition(",")[2]
        count = int(usage) if usage else 10
        first = int(request.header("last-event-id") or 0) + 1
        headers = {**self.common(request), "x-response-seal": f"seal.{self.name}", "x-weight-versions": self.weights,
                   "content-type": "text/event-stream", "transfer-encoding": "chunked"}
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n"
        writer.write(head.encode())
        for number in range(first, count + 1):
            await asyncio.sleep(self.interval)
            event = f"id: {number}\ndata: {self.name} {self.software}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def prefill(self, request):
        """Obtains the parts of the prompt: from memory, from elsewhere, or by computing them."""
        salt, until = request.header("x-cache-salt"), int(request.header("x-kv-until") or 0)
        fetch, save = request.header("x-kv-fetch").split(","), request.header("x-kv-save").split(",")
        parts = [part.split(":") for part in request.header("x-prompt-prefix").split(",") if part]
        is_missing = False
        for at, (identity, tokens) in enumerate(parts):
            name, tokens = (salt, identity), int(tokens)
            if name not in self.memory or is_missing:
                source = self.fleet.caches.get(fetch[at] if at < len(fetch) else "")
                fetched = not is_missing and source is not None
                if fetched:
                    fetched = await source.fetch(self, request.header("x-request-id"), name, tokens, until)
                if not fetched:
                    is_missing = True
                    await asyncio.sleep(tokens / self.rate)
                self.memory.add(name)
            target = self.fleet.caches.get(save[at] if at < len(save) else "")
            if target is not None:
                # The part is sent to the store once it is read, beside the engine's further work.
                asyncio.ensure_future(target.save(self, request.header("x-request-id"), name, tokens))


class Cache(Listener):
    """A managed KV cache store."""

    def __init__(self, fleet, link_mbps, token_bytes, first_s):
        super().__init__()
        self.fleet, self.link_bytes, self.token_bytes, self.first_s = fleet, link_mbps * 125_000, token_bytes, first_s
        self.epoch, self.parts, self.events = 1, {}, []
        self.changed = asyncio.Condition()
        self.link = asyncio.Lock()
        self.partial_reads = []

    async def respond(self, request, reader, writer):
        name = request.path.removeprefix("/acaciaarch/")
        if name == "report":
            body = {"kv_used": self.used(), "kv_total": 500_000, "boot_epoch": self.epoch, "clock_ms": clock_ms()}
        elif name == "kv-list":
            held = [[*key, part["tokens"], MODEL] for key, part in self.parts.items() if part["is_whole"]]
            incomplete = [[*key, 0, part["tokens"]] for key, part in self.parts.items() if not part["is_whole"]]
            body = {"boot_epoch": self.epoch, "next_token": len(self.events), "held": held, "incomplete": incomplete}
        elif name == "kv-events":
            body = await self.wait_events(int(request.query.get("since", 0)), int(request.header("wait-ms") or 0))
        elif name == "kv-free":
            call = json.loads(request.body)
            if call.get("boot_epoch") not in (None, self.epoch):
                writer.write(answer(409, {}))
                return True
            for salt, identity in call["parts"]:
                if self.parts.pop((salt, identity), None) is not None:
                    self.events.append([len(self.events) + 1, "-", salt, identity, 0, MODEL])
            body = {}
        else:
            writer.write(answer(404, {}))
            return True
        writer.write(answer(200, body))
        await writer.drain()
        return True

    def used(self):
        return sum(part["tokens"] for part in self.parts.values())

    async def wait_events(self, since, wait_ms):
        end = time.monotonic() + min(wait_ms, 1_000) / 1_000
        while len(self.events) <= since and time.monotonic() < end:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        return {"boot_epoch": self.epoch, "next_token": len(self.events), "lost": False,
                "events": self.events[since:], "clock_ms": clock_ms()}

    def transfer_s(self, tokens):
        return self.first_s + tokens * self.token_bytes / self.link_bytes

    async def save(self, engine, request, name, tokens):
        """Receives a part. Its space is reserved at once; a part that the store has stays as it is."""
        if self.server is None or name in self.parts:
            return
        part = self.parts[name] = {"tokens": tokens, "is_whole": False}
        self.fleet.record.write(f"store {self.address} begins to receive part {name[1]} of {request} from {engine.name}")
        await asyncio.sleep(self.transfer_s(tokens))
        if self.parts.get(name) is not part:
            return
        part["is_whole"] = True
        self.events.append([len(self.events) + 1, "+", *name, tokens, MODEL])
        self.fleet.record.write(f"store {self.address} holds part {name[1]}")
        async with self.changed:
            self.changed.notify_all()

    async def fetch(self, engine, request, name, tokens, until):
        """Sends a part to an engine; false if it isn't there, or not sent in time."""
        if self.server is None:
            await asyncio.sleep(0.2)
            return False
        part = self.parts.get(name)
        if part is None:
            self.fleet.record.write(f"{engine.name} asks store {self.address} for part {name[1]} for {request}: a miss")
            await asyncio.sleep(0.001)
            return False
        was_whole = part["is_whole"]
        state = "whole" if was_whole else "still being written"
        self.fleet.record.write(f"{engine.name} takes part {name[1]} for {request} from store {self.address}, where it is {state}")
        await asyncio.sleep(self.transfer_s(tokens))
        if until and clock_ms() > until:
            self.fleet.record.write(f"{engine.name} throws away part {name[1]} for {request}: it came too late")
            return False
        if not was_whole:
            self.partial_reads.append((request, name[1]))
            self.fleet.record.write(f"{engine.name} goes on with part {name[1]} for {request}, which was not whole")
        return True

    async def restart(self, down_s):
        """Goes down, and comes back empty."""
        self.fleet.record.write(f"store {self.address} goes down")
        port = self.port
        self.close()
        self.epoch += 1
        self.parts, self.events = {}, []
        await asyncio.sleep(down_s)
        await self.listen(port)
        self.fleet.record.write(f"store {self.address} is back, empty")


# Callers


class Reply:
    def __init__(self):
        self.status, self.headers, self.body, self.is_whole, self.events = None, {}, b"", False, []

    def last_event(self):
        return self.events[-1][0] if self.events else None


def parse_events(text):
    events = []
    blocks = text.split("\n\n")
    for block in blocks[:-1]:
        fields = dict(line.partition(": ")[::2] for line in block.split("\n") if line)
        if "id" in fields:
            events.append((int(fields["id"]), fields.get("data", "")))
    return events


async def call(address, method, path, headers, body=b"", timeout=15.0, record=None):
    """Sends a request on a new connection, as a caller does."""
    reply = Reply()
    host, _, port = address.partition(":")
    fields = {"host": HOST, "authorization": f"Bearer {KEY}", "content-length": len(body), **headers}
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n"
    writer = None

    async def exchange(reader):
        writer.write(head.encode() + body)
        line, reply.headers = await read_head(reader)
        reply.status = int(line.split(" ")[1])
        if reply.headers.get("transfer-encoding", "") == "chunked":
            async for chunk in read_chunks(reader):
                reply.body += chunk
                reply.events = parse_events(reply.body.decode())
        else:
            reply.body = await reader.readexactly(int(reply.headers.get("content-length", 0)))
        reply.is_whole = True

    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        await asyncio.wait_for(exchange(reader), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    if record is not None:
        whole = "whole" if reply.is_whole else "broken off"
        record.write(f"caller's request {headers['x-request-id']} to {address}: {reply.status}, {whole}, "
                     f"{len(reply.events)} events")
    return reply


def prompt(identity, parts, output, deadline_ms, **more):
    """Headers of a prompt."""
    tokens = sum(size for _, size in parts)
    return {"x-request-id": identity, "x-model": MODEL, "x-token-usage": f"{tokens},{output}",
            "x-prompt-prefix": ",".join(f"{name}:{size}" for name, size in parts), "x-deadline-ms": deadline_ms, **more}


# Instances


class Instance:
    """An `acaciad` process."""

    def __init__(self, fleet, name, zone):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.front, self.ready, self.ports = free_port(), free_port(), free_ports()
        self.address = f"127.0.0.1:{self.front}"
        self.peer = f"127.0.0.1:{self.ports[1]}"
        self.process, self.door = None, None

    async def start(self):
        if self.door is None:
            self.door = await Door(self.fleet.store).listen()
        path = os.path.join(self.fleet.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ACACIAARCH_SETTINGS"] = path
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([DAEMON, "--platform"], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.record.write(f"instance {self.name} ({self.address}) starts")
        return self

    def settings(self):
        bounds = "".join(f"{name} = {json.dumps(value)}\n" for name, value in BOUNDS.items())
        return (f'node_name = "{self.name}"\nrole = "gateway"\nmachine_class = "edge"\nserves = ["edge"]\n'
                f'ip = "127.0.0.1"\nzone = "{self.zone}"\nregion = "r1"\nport_range = [{self.ports[0]}, {self.ports[1]}]\n'
                f'seeds = []\nbootstrap = true\nheartbeat_ms = 1200\n'
                f'[listen_addrs]\nfront = "{self.address}"\nready = "127.0.0.1:{self.ready}"\n'
                f'[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n'
                f'[bounds]\n{bounds}[provider]\naddress = "{self.door.address}"\nform = "kv"\nwrites_per_s = 400\n'
                f'reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /acaciaarch/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRun(f"instance {self.name} is not ready")
            await asyncio.sleep(0.05)
        self.fleet.record.write(f"instance {self.name} is ready")

    def signal(self, number):
        self.fleet.record.write(f"instance {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_exit(self, limit_s):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        has_ended = self.process.poll() is not None
        self.fleet.record.write(f"instance {self.name} {'has ended' if has_ended else 'still runs'}")
        return has_ended

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def logged(self, text):
        """Lines of the instance's log that contain a text."""
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return [line for line in file if text in line]


class Fleet:
    """A small deployment."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="acacia-review-")
        self.store = Store(record)
        self.instances, self.servers, self.caches = [], [], {}
        self.version = 0

    async def configure(self, routes, services, **more):
        """Writes a desired state."""
        self.version += 1
        await self.store.put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
                       "idle_timeout_ms": 15_000},
            "tenants": [{"name": "north", "api_keys": [KEY], "priority": 1}], **more})

    async def start_instances(self, count):
        for number in range(1, count + 1):
            instance = Instance(self, f"edge-z{number}-1", f"z{number}")
            self.instances.append(await instance.start())
        for instance in self.instances:
            await instance.wait_ready()

    async def add(self, server):
        self.servers.append(await server.start())
        self.record.write(f"server {server.name} ({server.service}, {server.software}) listens at {server.address}")
        return server

    def stop(self):
        for instance in self.instances:
            instance.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, kind, service, **more):
    return {"name": f"r-{prefix.strip('/')}", "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 10_000,
            "target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": 2, "public": False,
            "session_affinity": kind == "streaming", "resumable": False, **more}


def engine_service(name, **more):
    engine = {"slots": 64, "kv_capacity": 77_656, "kv_token_bytes": 163_840, "link_mbps": 280_000.0, "moves": True,
              "backups": True, "managed": True, "stride": 4, "max_inflight": 12, "pin_ms": 4_000, "hold_ms": 2_000,
              "handle_s": 5, "models": [{"name": MODEL}], **more}
    return {"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": engine}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0}


def main(folder, case):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    if not os.path.exists(DAEMON):
        print("target/release/acaciad is missing: build it as deploy/system.toml does", file=sys.stderr)
        sys.exit(2)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1")
    record.write(f"TROUBLE={trouble}")

    async def run():
        # The processes are ended also if the script is stopped.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(case(fleet, trouble), 110)
        finally:
            fleet.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.CancelledError, asyncio.TimeoutError) as problem:
        record.write(f"the case couldn't run: {problem!r}")
        print(f"the case couldn't run: {problem!r}", file=sys.stderr)
        sys.exit(2)
    except Exception:  # pylint: disable=broad-except
        record.write(traceback.format_exc())
        traceback.print_exc()
        sys.exit(2)
    verdict = "the rule was broken" if broken else "the rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
