"""MIXED: a cache store restarts, a save that was ordered before reaches it, and a fetch that was ordered before reads it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from fleet import Cache, CannotRun, Engine, call, engine_service, main, prompt, route  # noqa: E402

# A shared part of a prompt, as the long prompts of the sheet have (12,800 tokens on average, 34,000 at most).
PART = ("5c1e07a2", 20_000)
DEADLINE_MS = 10_000
LINK_MBPS = 100_000.0
TOKEN_BYTES = 163_840


async def case(fleet, trouble):
    cache = await Cache(fleet, LINK_MBPS, TOKEN_BYTES, 0.006).listen()
    fleet.caches[cache.address] = cache
    routes = [route(f"/{name}/", "streaming", f"llm-{name}", max_attempts=1, gap_target_ms=300, target_latency_ms=3_000)
              for name in ("a", "b", "c")]
    engines = [engine_service(f"llm-{name}", link_mbps=LINK_MBPS, slots=2) for name in ("a", "b", "c")]
    store = {"name": "cache-prompt", "kv_store_addr": cache.address, "zone": "z1", "kv_capacity": 499_778,
             "link_mbps": LINK_MBPS, "max_inflight": 12, "managed": True, "first_ms": 6.0}
    await fleet.configure(routes, engines + [store])
    await fleet.store.put("op/version/m0", {"model": "m0", "version": 1})
    for name in ("a", "b", "c"):
        await fleet.add(Engine(fleet, f"i-{name}", f"llm-{name}", "z1", slots=2, interval=0.05))
    await fleet.start_instances(3)
    # The holder of the order lease lists the store and opens it for saves.
    await asyncio.sleep(8.0)
    x, y, z = fleet.instances
    tasks = []

    def send(instance, path, identity, parts, output):
        headers = prompt(identity, parts, output, DEADLINE_MS)
        task = call(instance.address, "POST", path, headers, record=fleet.record)
        tasks.append(asyncio.ensure_future(task))

    # The two slots of engine a are taken for 1.7 s, those of engine c for 2.1 s and 2.3 s.
    for number in range(2):
        send(x, "/a/x", f"long-a-{number}", [(f"a{number}", 50)], 33)
        send(z, "/c/x", f"long-c-{number}", [(f"c{number}", 50)], 42 + 2 * number)
    await asyncio.sleep(0.1)
    # Waits at engine a, and is to be saved once it is read.
    send(x, "/a/x", "saved-late", [PART, ("e1", 100)], 5)
    await asyncio.sleep(0.05)
    # The same part by way of another instance and engine, which has room: saved at once.
    send(y, "/b/x", "saved-first", [PART, ("e2", 100)], 5)
    await asyncio.sleep(1.25)
    # The store holds the part now: to be fetched, once engine c has room.
    send(z, "/c/x", "fetched-1", [PART, ("e3", 100)], 5)
    send(z, "/c/x", "fetched-2", [PART, ("e4", 100)], 5)
    await asyncio.sleep(0.1)
    if trouble == "1":
        await cache.restart(0.5)
    replies = await asyncio.gather(*tasks)
    answered = sum(reply.status == 200 and reply.is_whole for reply in replies)
    fleet.record.write(f"{answered} of {len(replies)} requests were answered; "
                       f"requests that went on with memory that was not whole: {cache.partial_reads}")
    if answered < len(replies):
        raise CannotRun("not all requests were answered")
    return bool(cache.partial_reads)


main(HERE, case)
