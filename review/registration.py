"""Instances whose registration is carried out late disappear from the list for good."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import world2 as world
from world2 import App, Instance, Server, Store, call, configuration, now, request_id

TROUBLE = os.environ.get("TROUBLE", "1")
INSTANCES = 3
# Answers of the store are lost in this time, from the start on.
LOST_FOR_S = 4.5
# How long one instance is partitioned from the servers.
CUT_FOR_S = 12.0
STABLE_S = 3.0
RATE = 10.0


class Results:
    def __init__(self):
        self.rows = []

    async def ask(self, record, number, instance):
        sent = now()
        headers = {"X-Request-Id": request_id(), "X-Deadline-Ms": "1000", "Authorization": "Bearer key-a"}
        try:
            reply = await call(instance.front, "GET", "/page/1", headers, timeout=2)
            outcome = reply["status"] if reply["complete"] else "cut"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = type(error).__name__
        record.line("caller", instance=instance.name, id=headers["X-Request-Id"], sent=round(sent, 3), outcome=outcome)
        self.rows.append((sent, number, outcome == 200))


async def scenario(record, folder, instances):
    store = Store(record)
    await store.start()
    apps = [App(record, store, f"a-{n}") for n in range(3)]
    for app in apps:
        await app.start()
    store.put("op/config", configuration(1, [{"name": "ayuntamiento", "api_keys": ["key-a"]}]))
    tasks = [asyncio.create_task(app.heartbeat()) for app in apps]
    tasks.append(asyncio.create_task(store.expire()))
    await asyncio.sleep(0.1)
    seen = set()

    def is_lost(body):
        """The first registration of each instance; about a third of the writes in that time."""
        keys = [s["key"] for s in body["set_keys"] if s["key"].startswith("acacia/instances/")]
        first = [key for key in keys if key not in seen]
        seen.update(keys)
        return bool(first)

    if TROUBLE == "1":
        store.is_lost = is_lost
    instances += [Instance(record, store.port, f"edge-{n}", folder) for n in range(INSTANCES)]
    await asyncio.gather(*(instance.start() for instance in instances))
    Server.known = {instance.process.pid for instance in instances}
    await asyncio.sleep(LOST_FOR_S)
    writes, lost = store.writes, store.lost_writes
    store.is_lost = lambda body: False
    record.line("store: answers again", writes=writes, lost=lost)
    for instance in instances:
        if not await instance.wait_ready():
            return 2
    # Calm for far longer than a write may be late, and than a registration lasts.
    await asyncio.sleep(16)
    listed = [key for key in store.items if key.startswith("acacia/instances/")]
    record.line("listed instances", keys=listed)
    results = Results()
    asking = []
    cut_at = now()
    if TROUBLE != "0":
        Server.cut = {instances[0].process.pid}
        for app in apps:
            app.apply_cut()
        record.line("cut", instance=instances[0].name)
    while now() < cut_at + CUT_FOR_S:
        for number, instance in enumerate(instances):
            asking.append(asyncio.create_task(results.ask(record, number, instance)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*asking)
    counted = [row for row in results.rows if row[0] >= cut_at + STABLE_S]
    own = [ok for _, number, ok in counted if number == 0]
    others = [ok for _, number, ok in counted if number != 0]
    share, other_share = sum(own) / len(own), sum(others) / len(others)
    failed, limit = own.count(False), 10 + len(counted) / 50
    is_broken = share < 2 / 3 * other_share and failed > limit
    record.line("result", listed=len(listed), writes=writes, lost_writes=lost, served_share_cut=share,
                served_share_others=other_share, failed_at_cut=failed, allowed=limit)
    print(f"{len(listed)} of {INSTANCES} instances listed; {lost} of {writes} writes were late; served {share:.2f} "
          f"of first tries at the instance without a path, {other_share:.2f} at the others; {failed} failed there "
          f"(allowed {limit:.0f})")
    for task in tasks:
        task.cancel()
    if other_share < 0.9:
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(world.run(scenario, sys.argv[1]))
