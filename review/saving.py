"""MIXED: a caller leaves while its prompt waits; the engine saves a part later, to a store that has restarted."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from fleet import Cache, CannotRun, Engine, call, engine_service, main, prompt, route  # noqa: E402

# A shared part of a prompt, as the long prompts of the sheet have (12,800 tokens on average, 34,000 at most).
PART = ("5c1e07a2", 20_000)
DEADLINE_MS = 10_000
LINK_MBPS = 100_000.0
TOKEN_BYTES = 163_840


class Steady(Engine):
    """An engine that goes on with a request whose connection has closed: most servers drop it, this one doesn't."""

    async def respond(self, request, reader, writer):
        if request.path.startswith("/acaciaarch/") or request.header("x-expect-instance") not in ("", self.name):
            return await super().respond(request, reader, writer)
        self.waiting += 1
        await self.work(request, writer)
        return False


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
        kind = Steady if name == "a" else Engine
        await fleet.add(kind(fleet, f"i-{name}", f"llm-{name}", "z1", slots=2, interval=0.05))
    await fleet.start_instances(3)
    # The holder of the order lease lists the store and opens it for saves.
    await asyncio.sleep(8.0)
    x, y, z = fleet.instances
    tasks = []
    began = asyncio.get_running_loop().time()

    async def until(seconds):
        await asyncio.sleep(began + seconds - asyncio.get_running_loop().time())

    def send(instance, path, identity, parts, output):
        headers = prompt(identity, parts, output, DEADLINE_MS)
        task = asyncio.ensure_future(call(instance.address, "POST", path, headers, record=fleet.record))
        tasks.append(task)
        return task

    # The two slots of engine a are taken for 5.5 s.
    for number in range(2):
        send(x, "/a/x", f"long-a-{number}", [(f"a{number}", 50)], 108)
    await until(0.1)
    # Waits at engine a, and is to be saved once it is read.
    late = send(x, "/a/x", "saved-late", [PART, ("e1", 100)], 5)
    await until(0.4)
    # Its caller leaves.
    if trouble != "stay":
        late.cancel()
        tasks.remove(late)
        fleet.record.write("the caller of saved-late leaves")
    await until(3.75)
    # Those of engine c until 6.0 s after the beginning.
    for number in range(2):
        send(z, "/c/x", f"long-c-{number}", [(f"c{number}", 50)], 45 + number)
    await until(3.9)
    # The same part by way of another instance and engine, which has room: saved at once.
    send(y, "/b/x", "saved-first", [PART, ("e2", 100)], 5)
    await until(5.15)
    # The store holds the part now: to be fetched, once engine c has room.
    send(z, "/c/x", "fetched-1", [PART, ("e3", 100)], 5)
    send(z, "/c/x", "fetched-2", [PART, ("e4", 100)], 5)
    await until(5.25)
    if trouble != "0":
        await cache.restart(0.5)
    replies = await asyncio.gather(*tasks)
    answered = sum(reply.status == 200 and reply.is_whole for reply in replies)
    fleet.record.write(f"{answered} of {len(replies)} requests were answered; "
                       f"requests that went on with memory that was not whole: {cache.partial_reads}")
    print(f"{answered} of {len(replies)} requests were answered; went on with memory that was not whole: {cache.partial_reads}")
    if answered < len(replies):
        raise CannotRun("not all requests were answered")
    return bool(cache.partial_reads)


if __name__ == "__main__":
    main(os.path.abspath(sys.argv[1]), case)
