"""ORDER: an instance that the metadata store turns away takes up streams of a software version that it doesn't list."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

from fleet import Engine, call, engine_service, main, prompt, route  # noqa: E402

STREAMS = 30
EVENTS = 25
DEADLINE_MS = 10_000


async def consume(fleet, number, first, second):
    """A caller: begins a stream at one instance, and takes it up at another if its connection breaks."""
    identity = f"stream-{number}"
    parts = [(f"{number + 1:x}", 600), (f"{number + 4096:x}", 100)]
    reply = await call(first.address, "POST", "/ask/x", prompt(identity, parts, EVENTS, DEADLINE_MS), record=fleet.record)
    tries = [reply]
    if not reply.is_whole and reply.events:
        headers = prompt(f"{identity}-again", parts, EVENTS, DEADLINE_MS - 4_000,
                         **{"last-event-id": reply.last_event(), "resumes": identity})
        tries.append(await call(second.address, "POST", "/ask/x", headers, record=fleet.record))
    events = [event for reply in tries for event in reply.events]
    versions = sorted({data.split(" ")[1] for _, data in events})
    numbers = [number for number, _ in events]
    fleet.record.write(f"{identity}: events {numbers[:1]}..{numbers[-1:]} of software {versions}, {len(tries)} tries")
    return versions, len(tries) > 1 and tries[-1].status == 200


async def case(fleet, trouble):
    ask = route("/ask/", "streaming", "llm", resumable=True, gap_target_ms=300)
    await fleet.configure([ask], [engine_service("llm")])
    await fleet.store.put("op/version/m0", {"model": "m0", "version": 1})
    for number in (1, 2):
        await fleet.add(Engine(fleet, f"i-old-{number}", "llm", f"z{number}", software="1.4", interval=0.15))
    await fleet.start_instances(3)
    first, away, other = fleet.instances
    await asyncio.sleep(3.0)
    if trouble == "1":
        fleet.record.write(f"the metadata store turns {away.name} away")
        away.door.is_open = False
    await asyncio.sleep(0.5)
    # A release: the new servers start first.
    for number in (1, 2):
        await fleet.add(Engine(fleet, f"i-new-{number}", "llm", f"z{number}", software="1.5", interval=0.15))
    await asyncio.sleep(1.0)
    seconds = [away if number % 3 else other for number in range(STREAMS)]
    callers = [asyncio.ensure_future(consume(fleet, number, first, second)) for number, second in enumerate(seconds)]
    await asyncio.sleep(1.8)
    if trouble != "0":
        first.signal(signal.SIGKILL)
    results = await asyncio.gather(*callers)
    away.door.is_open = True
    mixed = sum(len(versions) > 1 for versions, _ in results)
    gone_on = sum(goes_on for _, goes_on in results)
    fleet.record.write(f"{mixed} of {STREAMS} streams hold events of two software versions (bound 2); "
                       f"{gone_on} were taken up and went on")
    return mixed > 2


main(HERE, case)
