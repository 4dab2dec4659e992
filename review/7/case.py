"""A tenant becomes isolated; later another tenant's prompts must not use its KV cache."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import world2 as world
from world2 import Engine, Instance, Record, Store, call, configuration, now, prompt_headers

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "m0"
SHARED = ("5c1e07a2", 800)


class Watched(Engine):
    """Records uses of parts that another tenant's request made."""

    foreign = []
    isolated_since = None

    def saw(self, request, tenant, salt, used):
        for part in used:
            if part["made_by"] != tenant:
                Watched.foreign.append((now(), request.get("x-request-id"), tenant, part["made_by"]))


def tenants(is_isolated):
    return [{"name": "ayuntamiento", "api_keys": ["key-a"], "isolated": is_isolated},
            {"name": "redaccion", "api_keys": ["key-b"], "isolated": False}]


async def ask(record, instance, tenant, key, number):
    headers = prompt_headers(key, MODEL, [SHARED, (f"{tenant[0]}0{number:06x}", 80)])
    sent = now()
    try:
        reply = await call(instance.front, "POST", "/ask/1", headers, b"prompt")
        outcome = reply["status"]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        outcome = type(error).__name__
    record.line("caller", tenant=tenant, id=headers["X-Request-Id"], sent=round(sent, 3), outcome=outcome)
    return outcome, headers["X-Request-Id"], sent


async def scenario(record, folder, instances):
    store = Store(record)
    await store.start()
    engines = [Watched(record, store, f"i-{n}", "llm", MODEL) for n in range(3)]
    for engine in engines:
        await engine.start()
    store.put("op/config", configuration(1, tenants(False)))
    tasks = [asyncio.create_task(engine.heartbeat()) for engine in engines]
    tasks.append(asyncio.create_task(store.expire()))
    instances += [Instance(record, store.port, f"edge-{n}", folder) for n in range(2)]
    for instance in instances:
        await instance.start()
    for instance in instances:
        if not await instance.wait_ready():
            return 2
    await asyncio.sleep(3)
    # The first tenant's requests make the shared part on the engines.
    for number in range(40):
        await ask(record, instances[number % 2], "ayuntamiento", "key-a", number)
    store.put("op/config", configuration(2, tenants(TROUBLE)))
    acknowledged = now()
    record.line("operator: desired state 2", isolated=TROUBLE)
    # Far longer than `config_apply_ms` (2 s) and `stable_window_ms` (3 s).
    await asyncio.sleep(8)
    since, answered = now(), 0
    for number in range(40):
        outcome, _, _ = await ask(record, instances[number % 2], "redaccion", "key-b", 1000 + number)
        answered += outcome == 200
    broken = [use for use in Watched.foreign if use[0] >= since] if TROUBLE else []
    for at, request, tenant, made_by in broken:
        record.line("WALL: foreign cache used", at=round(at, 3), id=request, tenant=tenant,
                    made_by=made_by, after_acknowledgement_s=round(at - acknowledged, 3))
    record.line("result", answered=answered, foreign_uses=len(broken),
                uses_of_parts_of_the_other_tenant=len(Watched.foreign))
    print(f"{answered} of 40 answered; {len(broken)} used KV cache made by an isolated tenant's request")
    for task in tasks:
        task.cancel()
    if answered < 20:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(world.run(scenario, sys.argv[1]))
