"""A request that crashes servers comes again and again; in between, all instances are killed once."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))
import world
from world import App, Instance, Store, call, configuration, now, request_id, respond

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 3
STABLE_S = 3.0
# The request comes again after so long.
AGAIN_S = 4.0
KILL_AT_S = 42.0
END_S = 90.0
DOWN_S = 2.0


class Fragile(App):
    """A server that crashes when it begins to run the request, and is back after some seconds."""

    crashes = []

    async def answer(self, request, writer):
        if request.get("x-request-id") and request.body == b"culprit":
            if request.get("x-expect-instance") not in (None, self.name):
                return await respond(writer, 421, b"", {"X-Instance-Id": self.name,
                                                        "X-Request-Id": request.get("x-request-id")})
            Fragile.crashes.append(now())
            self.record.line("server: crashes", server=self.name, id=request.get("x-request-id"))
            asyncio.get_running_loop().create_task(self.crash())
            return False
        return await super().answer(request, writer)

    async def crash(self):
        gone = self.name
        self.server.close()
        self.reset_all()
        self.beating.cancel()
        await asyncio.sleep(DOWN_S)
        self.name = f"{gone.split('.')[0]}.{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        await self.start()
        self.beating = asyncio.create_task(self.heartbeat())
        # Three intervals of silence are over then.
        await asyncio.sleep(1.6)
        self.store.remove(f"servers/{gone}")


async def scenario(record, folder, instances):
    store = Store(record)
    await store.start()
    apps = [Fragile(record, store, f"a-{n}") for n in range(6)]
    desired = configuration(1, [{"name": "ayuntamiento", "api_keys": ["key-a"]}])
    desired["routes"].append({"name": "pay", "host": world.HOST, "path_prefix": "/pay/", "kind": "non_idempotent",
                              "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "app",
                              "max_attempts": 1, "public": False})
    store.put("op/config", desired)
    for app in apps:
        await app.start()
        app.beating = asyncio.create_task(app.heartbeat())
    tasks = [asyncio.create_task(store.expire())]
    instances += [Instance(record, store.port, f"edge-{n}", folder) for n in range(INSTANCES)]
    await asyncio.gather(*(instance.start() for instance in instances))
    for instance in instances:
        if not await instance.wait_ready():
            return 2
    await asyncio.sleep(3)
    began = now()
    sound = []

    async def ask(instance, method, path, body):
        headers = {"X-Request-Id": request_id(), "X-Deadline-Ms": "1200", "Authorization": "Bearer key-a"}
        sent = now()
        try:
            reply = await call(instance.front, method, path, headers, body, timeout=2)
            outcome = reply["status"] if reply["complete"] else "cut"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = type(error).__name__
        record.line("caller", instance=instance.name, path=path, id=headers["X-Request-Id"], sent=round(sent, 3),
                    outcome=outcome)
        if body != b"culprit":
            sound.append(outcome == 200)

    async def traffic():
        number = 0
        while True:
            number += 1
            asyncio.create_task(ask(instances[number % INSTANCES], "GET", f"/page/{number}", b""))
            await asyncio.sleep(0.05)

    async def culprit():
        number = 0
        while True:
            number += 1
            await ask(instances[number % INSTANCES], "POST", "/pay/1", b"culprit")
            await asyncio.sleep(AGAIN_S)

    tasks += [asyncio.create_task(traffic()), asyncio.create_task(culprit())]
    killed, back = None, None
    if TROUBLE:
        await asyncio.sleep(KILL_AT_S)
        for instance in instances:
            instance.signal(signal.SIGKILL)
        for instance in instances:
            await instance.process.wait()
        killed = now()
        record.line("all instances killed")
        await asyncio.sleep(0.5)
        await asyncio.gather(*(instance.start() for instance in instances))
        back = now()
    await asyncio.sleep(began + END_S - now())
    for task in tasks:
        task.cancel()
    crashes = Fragile.crashes
    third = crashes[2] if len(crashes) > 2 else None

    def in_touch(at):
        return killed is None or at < killed or at > back + STABLE_S

    counted = [round(at, 1) for at in crashes if third and at > third + STABLE_S and in_touch(at)]
    record.line("result", crashes=[round(at, 1) for at in crashes], counted=counted, sound_served=sum(sound),
                sound=len(sound))
    print(f"{len(crashes)} crashes; {len(counted)} retries reached servers in touch, over {STABLE_S:.0f} s after the third crash: "
          f"{counted} (allowed 3); {sum(sound)} of {len(sound)} sound requests served")
    if third is None or sum(sound) < len(sound) / 2:
        return 2
    return 1 if len(counted) > 3 else 0


if __name__ == "__main__":
    sys.exit(world.run(scenario, sys.argv[1]))
