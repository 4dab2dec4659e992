"""ORDER: an instance that the metadata store turns away takes up streams of a software version that it doesn't list."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from fleet import CannotRun, Engine, call, engine_service, main, prompt, route  # noqa: E402

STREAMS = 30
EVENTS = 60
INTERVAL_S = 0.15
# As long as `platform_down` turns machines away on the site's own days.
AWAY_S = 9.0
DEADLINE_MS = 10_000


async def consume(fleet, number, first, second):
    """A caller: begins a stream at one instance, and takes it up at another if its connection breaks."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    identity = f"stream-{number}"
    parts = [(f"{number + 1:x}", 600), (f"{number + 4096:x}", 100)]
    reply = await call(first.address, "POST", "/ask/x", prompt(identity, parts, EVENTS, DEADLINE_MS), record=fleet.record)
    tries = [reply]
    if not reply.is_whole and reply.events:
        left_ms = DEADLINE_MS - int(1_000 * (loop.time() - began))
        headers = prompt(f"{identity}-again", parts, EVENTS, left_ms,
                         **{"last-event-id": reply.last_event(), "resumes": identity})
        tries.append(await call(second.address, "POST", "/ask/x", headers, record=fleet.record))
    events = [event for reply in tries for event in reply.events]
    versions = sorted({data.split(" ")[1] for _, data in events})
    numbers = [number for number, _ in events]
    fleet.record.write(f"{identity}: events {numbers[:1]}..{numbers[-1:]} of software {versions}, {len(tries)} tries")
    return versions, len(tries) > 1 and tries[-1].status == 200


async def case(fleet, trouble):
    loop = asyncio.get_running_loop()
    ask = route("/ask/", "streaming", "llm", resumable=True, gap_target_ms=300)
    await fleet.configure([ask], [engine_service("llm")])
    await fleet.store.put("op/version/m0", {"model": "m0", "version": 1})
    for number in (1, 2):
        await fleet.add(Engine(fleet, f"i-old-{number}", "llm", f"z{number}", software="1.4", interval=INTERVAL_S))
    await fleet.start_instances(3)
    first, away, other = fleet.instances
    await asyncio.sleep(3.0)
    start = loop.time()
    if trouble != "0":
        fleet.record.write(f"the metadata store turns {away.name} away")
        away.door.is_open = False
    await asyncio.sleep(0.3)
    # A release: the new servers start first.
    for number in (1, 2):
        await fleet.add(Engine(fleet, f"i-new-{number}", "llm", f"z{number}", software="1.5", interval=INTERVAL_S))
    await asyncio.sleep(0.3)
    seconds = [away if number % 3 else other for number in range(STREAMS)]
    callers = [asyncio.ensure_future(consume(fleet, number, first, second)) for number, second in enumerate(seconds)]
    await asyncio.sleep(0.3)
    # A planned stop, at whose end the streams that still run are broken off.
    first.signal(signal.SIGTERM)
    await asyncio.sleep(start + AWAY_S - 0.7 - loop.time())
    # The platform sends callers to instances that say so.
    for instance in (away, other):
        if not await instance.is_ready():
            raise CannotRun(f"{instance.name} does not say that it is ready")
        fleet.record.write(f"instance {instance.name} says that it is ready")
    await asyncio.sleep(start + AWAY_S - loop.time())
    away.door.is_open = True
    fleet.record.write(f"the metadata store serves {away.name}")
    results = await asyncio.gather(*callers)
    mixed = sum(len(versions) > 1 for versions, _ in results)
    gone_on = sum(goes_on for _, goes_on in results)
    fleet.record.write(f"{mixed} of {STREAMS} streams hold events of two software versions (bound 2); "
                       f"{gone_on} were taken up and went on")
    return mixed > 2


main(HERE, case)
