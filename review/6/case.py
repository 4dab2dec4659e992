"""MIXED: instances whose registration is carried out late aren't told of each other's orders to save parts."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from fleet import Cache, CannotRun, Engine, call, engine_service, main, prompt, route  # noqa: E402

# A shared part of a prompt, as the long prompts of the sheet have (12,800 tokens on average, 34,000 at most).
PART = ("5c1e07a2", 20_000)
DEADLINE_MS = 10_000
LINK_MBPS = 100_000.0
TOKEN_BYTES = 163_840
# Answers of the metadata store are lost in this time, from the start on; these writes are carried out so much later.
LOST_FOR_S = 4.5
LATE_S = 4.0


class Losses:
    """Lost answers of the metadata store: the first registration of each instance, about a third of all writes."""

    def __init__(self, store):
        self.store, self.transact = store, store.transact
        self.seen, self.writes, self.lost, self.is_active = set(), 0, 0, True
        store.transact = self.write

    async def write(self, body):
        if not self.is_active:
            return await self.transact(body)
        self.writes += 1
        keys = {row["key"] for row in body.get("set_keys", []) if row["key"].startswith("acacia/instances/")}
        first, self.seen = keys - self.seen, self.seen | keys
        if not first:
            return await self.transact(body)
        self.lost += 1
        self.store.record.write(f"the answer to a write of {', '.join(first)} is lost; it is carried out {LATE_S} s later")
        asyncio.ensure_future(self.later(body))
        # The connection returns nothing further.
        await asyncio.sleep(60)
        return 503, {}

    async def later(self, body):
        await asyncio.sleep(LATE_S)
        await self.transact(body)


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
    losses = Losses(fleet.store) if trouble in ("1", "lost") else None
    started = asyncio.get_running_loop().time()
    await fleet.start_instances(3)
    await asyncio.sleep(max(0, started + LOST_FOR_S - asyncio.get_running_loop().time()))
    if losses:
        losses.is_active = False
        fleet.record.write(f"the metadata store answers again; {losses.lost} of {losses.writes} writes were late")
    # Calm, for longer than a write may be late and than a registration lasts.
    await asyncio.sleep(16.0)
    listed = [key for key in fleet.store.items if key.startswith("acacia/instances/")]
    fleet.record.write(f"{len(listed)} of {len(fleet.instances)} instances are listed")
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
    # The same part by way of another instance and engine, which has room: saved at once, unless that instance knows of the order.
    send(y, "/b/x", "saved-first", [PART, ("e2", 100)], 5)
    await asyncio.sleep(1.25)
    # If the store holds the part now, it is to be fetched, once engine c has room.
    send(z, "/c/x", "fetched-1", [PART, ("e3", 100)], 5)
    send(z, "/c/x", "fetched-2", [PART, ("e4", 100)], 5)
    await asyncio.sleep(0.1)
    if trouble in ("1", "restart"):
        await cache.restart(0.5)
    replies = await asyncio.gather(*tasks)
    answered = sum(reply.status == 200 and reply.is_whole for reply in replies)
    result = (f"{len(listed)} of {len(fleet.instances)} instances listed; {answered} of {len(replies)} requests were answered; "
              f"went on with memory that was not whole: {cache.partial_reads}")
    fleet.record.write(result)
    print(result)
    if answered < len(replies):
        raise CannotRun("not all requests were answered")
    return bool(cache.partial_reads)


if __name__ == "__main__":
    main(os.path.abspath(sys.argv[1]), case)
