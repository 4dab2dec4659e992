"""MIXED: a cache store restarts during a planned stop of the order lease's holder; the next holder opens it at once."""

import asyncio
import base64
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from fleet import HEARTBEAT_S, Cache, CannotRun, Engine, call, engine_service, main, prompt, route  # noqa: E402

# A shared part of a prompt, as the long prompts of the sheet have (12,800 tokens on average).
PART = ("5c1e07a2", 8_000)
DEADLINE_MS = 10_000
LINK_MBPS = 100_000.0
TOKEN_BYTES = 163_840
EVENTS = 40
# Engines whose slots are taken when the prompts arrive that fetch the part; each has room at another time.
BUSY = 8
# Times from the stop signal on. The holder exits 2.7 s after it, as it has no connections.
CHANGE_S = 1.55
BEAT_S = 2.0
RESTART_S = 2.15
DOWN_S = 0.1


async def case(fleet, trouble):
    loop = asyncio.get_running_loop()
    cache = await Cache(fleet, LINK_MBPS, TOKEN_BYTES, 0.006).listen()
    fleet.caches[cache.address] = cache
    names = ["a", "b"] + [f"c{number}" for number in range(BUSY)]
    routes = [route(f"/{name}/", "streaming", f"llm-{name}", max_attempts=1, gap_target_ms=300, target_latency_ms=3_000)
              for name in names]
    engines = [engine_service(f"llm-{name}", link_mbps=LINK_MBPS, slots=1 if name[0] == "c" else 16) for name in names]
    store = {"name": "cache-prompt", "kv_store_addr": cache.address, "zone": "z1", "kv_capacity": 499_778,
             "link_mbps": LINK_MBPS, "max_inflight": 12, "managed": True, "first_ms": 6.0}
    await fleet.configure(routes, engines + [store])
    await fleet.store.put("op/version/m0", {"model": "m0", "version": 1})
    for name in names:
        is_busy = name[0] == "c"
        interval = (2.0 + 0.06 * int(name[1:])) / EVENTS if is_busy else 0.02
        slots = 1 if is_busy else 16
        await fleet.add(Engine(fleet, f"i-{name}", f"llm-{name}", "z1", slots=slots, interval=interval))
    await fleet.start_instances(3)
    # The holder of the order lease lists the store and opens it for saves.
    await asyncio.sleep(8.0)
    entry = fleet.store.items.get("acacia/holder")
    if entry is None:
        raise CannotRun("no instance holds the order lease")
    holder_name = json.loads(base64.b64decode(entry["value"]))["instance"]
    holder = next(instance for instance in fleet.instances if instance.name == holder_name)
    u, v = [instance for instance in fleet.instances if instance is not holder]
    tasks = []

    def send(instance, path, identity, parts, output):
        headers = prompt(identity, parts, output, DEADLINE_MS)
        task = call(instance.address, "POST", path, headers, record=fleet.record)
        tasks.append(asyncio.ensure_future(task))

    # In step with the servers' heartbeats, so that each run is alike.
    start = fleet.servers[0].registered_at - BEAT_S
    while start < loop.time() + 1.0:
        start += HEARTBEAT_S

    async def until(at_s):
        await asyncio.sleep(max(0.0, start + at_s - loop.time()))

    # The store gets the part.
    send(u, "/b/x", "saved-first", [PART, ("e2", 100)], 5)
    await until(0.0)
    if trouble in ("1", "roll"):
        holder.signal(signal.SIGTERM)
    # The only slot of each of these engines is taken until 3.5 s, 3.56 s, ...
    await until(1.5)
    for number in range(BUSY):
        send(v, f"/c{number}/x", f"long-{number}", [(f"a{number}", 50)], EVENTS)
    await until(CHANGE_S)
    # A change of the desired state, which concerns no request.
    await fleet.configure(routes, engines + [store])
    await until(RESTART_S - 0.05)
    for number in range(BUSY):
        send(v, f"/c{number}/x", f"fetched-{number}", [PART, (f"e3{number}", 100)], 5)
    await until(RESTART_S)
    if trouble in ("1", "restart"):
        await cache.restart(DOWN_S)
    # Further prompts with the part.
    for number in range(14):
        await until(3.3 + 0.05 * number)
        send(u, "/a/x", f"saved-{number}", [PART, (f"e4{number}", 100)], 5)
    replies = await asyncio.gather(*tasks)
    answered = sum(reply.status == 200 and reply.is_whole for reply in replies)
    fleet.record.write(f"{answered} of {len(replies)} requests were answered; "
                       f"requests that went on with memory that was not whole: {cache.partial_reads}")
    if answered < len(replies):
        raise CannotRun("not all requests were answered")
    return bool(cache.partial_reads)


main(HERE, case)
