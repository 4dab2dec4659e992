"""An instance without a path to the servers passes streams on to another one, which freezes."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world3 as w

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS, INSTANCES = 4, 3
STABLE_S = 3.0
TIMEOUT_S, DEADLINE_S = 2.0, 5.0
# A consumer leaves after a gap of two seconds, four times the objective or eight times the pause.
PATIENCE_S = max(2.0, 4 * 0.4, 8 * 0.3)
# Requests a second at each machine; the share of connections per machine is uneven.
PER_S = (24.0, 4.0, 4.0)
EVENTS, EVENT_S = 14, 0.1
CUT_S, FREEZE_S = 8.0, 2.8
KEY = "key-of-north"


class Request:
    def __init__(self, instance):
        self.instance, self.sent = instance, w.now()
        self.ended = None       # when the consumer got the final answer
        self.left = None        # when it left


async def answer(server, head, body, writer, own):
    headers = head[1]
    request = headers.get("x-request-id", "")
    server.world.note(f"request {request} reaches {server.id}")
    await asyncio.sleep(0.03)
    answer_head = {**own, "X-Response-Seal": server.seal(request), "X-Weight-Versions": "1",
                   "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    lines = ["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in answer_head.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {request} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")


async def consume(world, requests, instance):
    request = "%016x" % random.getrandbits(64)
    headers = {"Host": w.HOST, "X-Request-Id": request, "X-Model": w.MODEL,
               "X-Token-Usage": "383,30", "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
               "X-Prompt-Prefix": f"5c1e07a2:55,{random.getrandbits(32):08x}:246",
               "Authorization": f"Bearer {KEY}"}
    entry = Request(instance)
    requests.append(entry)
    status, events, end = None, 0, "closed"
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", instance.front), 1)
        try:
            writer.write(w.request("POST", "/ask/2f", headers, b"x" * 770))
            until = entry.sent + DEADLINE_S
            wait = lambda: max(0.01, min(PATIENCE_S, until - w.now()))
            head = await asyncio.wait_for(w.read_head(reader), wait())
            if head is not None:
                status = int(head[0].split(" ")[1])
                body = b""
                while chunk := await asyncio.wait_for(reader.read(65536), wait()):
                    body += chunk
                    if body.endswith(b"0\r\n\r\n") or status != 200:
                        end = "whole"
                        break
                events = body.count(b"id: ")
            entry.ended = w.now()
        finally:
            writer.close()
    except asyncio.TimeoutError:
        entry.left, end = w.now(), "the consumer leaves"
    except (ConnectionError, OSError) as error:
        entry.ended, end = w.now(), repr(error)
    took = (entry.ended or entry.left) - entry.sent
    world.note(f"{request} at {instance.name}: {status}, {events} events, {end} after {took:.3f} s")


async def send(world, requests, instance, per_s, until):
    while w.now() < until:
        if instance.is_in_rotation():
            asyncio.ensure_future(consume(world, requests, instance))
        await asyncio.sleep(random.expovariate(per_s))


async def case(world):
    for _ in range(SERVERS):
        server = w.Server(world, "engines", "zone-a", 64, answer, [w.MODEL])
        world.servers.append(server)
        await server.start()
    routes = [{"name": "ask", "host": w.HOST, "path_prefix": "/ask/", "kind": "streaming",
               "timeout_ms": int(TIMEOUT_S * 1000), "target_latency_ms": 400, "priority": 0,
               "service": "engines", "max_attempts": 1, "public": False,
               "session_affinity": True, "resumable": False, "gap_target_ms": 300}]
    services = [{"name": "engines", "health_path": "/healthz", "max_conns": 370, "protocol": "h1",
                 "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
                 "engine": {"slots": 64, "kv_capacity": 77656, "kv_token_bytes": 163840,
                            "link_mbps": 280000.0, "managed": True, "stride": 4,
                            "max_inflight": 12, "models": [{"name": w.MODEL}]}}]
    await world.configure(1, routes, services, [{"name": "north", "api_keys": [KEY]}])
    await world.add_instances(INSTANCES, "zone-a")
    await asyncio.sleep(STABLE_S)
    requests = []
    first, second, _ = world.instances
    start = w.now()
    senders = [asyncio.ensure_future(send(world, requests, instance, per_s, start + 16))
               for instance, per_s in zip(world.instances, PER_S)]
    await asyncio.sleep(4)
    if TROUBLE:
        world.note(f"{first.name} is cut off from the servers")
        world.cut_off(first)
    await asyncio.sleep(STABLE_S + 1)
    if TROUBLE:
        world.note(f"{second.name} freezes")
        second.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if TROUBLE:
        second.signal(signal.SIGCONT)
        world.note(f"{second.name} goes on")
    await asyncio.sleep(CUT_S - FREEZE_S - STABLE_S - 1)
    if TROUBLE:
        world.cut.clear()
        world.note(f"{first.name} reaches the servers again")
    await asyncio.gather(*senders)
    await asyncio.sleep(DEADLINE_S + 1)
    return judge(world, requests, second)


def judge(world, requests, frozen):
    """Only requests at the machines that did not freeze count: these are in touch."""
    counted = [r for r in requests if r.instance is not frozen]
    long = [r for r in counted if (r.ended or r.left) - r.sent > TIMEOUT_S]
    limit = TIMEOUT_S + 0.5
    open_after = [r for r in long if (r.ended or r.left) - r.sent > limit]
    is_broken = len(open_after) >= 8 and len(open_after) > len(long) / 4
    left = sum(1 for r in open_after if r.ended is None)
    for line in (f"{len(counted)} requests at machines in touch, {len(long)} of which last longer "
                 f"than their route's timeout of {TIMEOUT_S} s",
                 f"no final answer 0.5 s after it: {len(open_after)}; {left} of these never get one",
                 f"CONFIG {'broken' if is_broken else 'held'}"):
        world.note(line)
        print(line)
    return is_broken


w.run(case, FOLDER)
