"""LOST: while all instances are restarted in turn, as planned, streams that callers take up are refused."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from fleet import CannotRun, Engine, call, engine_service, main, prompt, route  # noqa: E402

STREAMS = 24
EVENTS = 65
INTERVAL_S = 0.15
DEADLINE_MS = 10_000
# After its end, a process is started again after a short delay.
RESTART_S = 0.3
# Times from the first stop signal on: when the streams begin, and when the second instance is back.
BEGIN_S = 2.2
SECOND_STOP_S = 3.1


async def consume(fleet, number, first, second):
    """A caller: begins a stream at one instance, and takes it up at another if its connection breaks."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    identity = f"stream-{number}"
    parts = [(f"{number + 1:x}", 600), (f"{number + 4096:x}", 100)]
    reply = await call(first.address, "POST", "/ask/x", prompt(identity, parts, EVENTS, DEADLINE_MS), record=fleet.record)
    if reply.is_whole or not reply.events:
        return None
    left_ms = DEADLINE_MS - int(1_000 * (loop.time() - began))
    headers = prompt(f"{identity}-again", parts, EVENTS, left_ms,
                     **{"last-event-id": reply.last_event(), "resumes": identity})
    again = await call(second.address, "POST", "/ask/x", headers, record=fleet.record)
    fleet.record.write(f"{identity}: taken up after event {reply.last_event()}: {again.status} {again.body[:80]!r}")
    return again.status == 200 and bool(again.events)


async def restart(fleet, instance):
    """A planned stop of an instance, which is then started again."""
    instance.signal(signal.SIGTERM)
    if not await instance.wait_exit(8.0):
        instance.signal(signal.SIGKILL)
        await instance.wait_exit(1.0)
    await asyncio.sleep(RESTART_S)
    await instance.start()
    await instance.wait_ready()


async def case(fleet, trouble):
    ask = route("/ask/", "streaming", "llm", resumable=True, gap_target_ms=300)
    await fleet.configure([ask], [engine_service("llm")])
    await fleet.store.put("op/version/m0", {"model": "m0", "version": 1})
    # Two software versions serve side by side, with two servers each.
    for number, software in enumerate(("1.4", "1.4", "1.5", "1.5"), start=1):
        await fleet.add(Engine(fleet, f"i-{number}", "llm", f"z{number % 2 + 1}", software=software, interval=INTERVAL_S))
    await fleet.start_instances(2)
    first, second = fleet.instances
    await asyncio.sleep(4.0)

    async def roll():
        if trouble == "1":
            await restart(fleet, second)
        else:
            await asyncio.sleep(SECOND_STOP_S)
        await restart(fleet, first)

    rolling = asyncio.ensure_future(roll())
    await asyncio.sleep(BEGIN_S)
    callers = [asyncio.ensure_future(consume(fleet, number, first, second)) for number in range(STREAMS)]
    # The stop of the first instance breaks its streams after most of its time to finish them.
    await asyncio.sleep(SECOND_STOP_S + 7.8 - BEGIN_S)
    # New streams at the same time and the same instance.
    new = [call(second.address, "POST", "/ask/x", prompt(f"new-{number}", [(f"a{number}", 300)], 5, 5_000),
                record=fleet.record) for number in range(12)]
    begun = sum(reply.status == 200 and bool(reply.events) for reply in await asyncio.gather(*new)) / len(new)
    taken_up = [goes_on for goes_on in await asyncio.gather(*callers) if goes_on is not None]
    await rolling
    gone_on = sum(taken_up) / max(1, len(taken_up))
    fleet.record.write(f"{len(taken_up)} streams were taken up at an instance in touch: {gone_on:.2f} went on; "
                       f"of new streams {begun:.2f} began")
    if len(taken_up) < 12:
        raise CannotRun("fewer than 12 streams were taken up")
    return gone_on < begun / 2


main(HERE, case)
