"""DRAIN: after a watch was cut, a server that leaves without notice gets requests for longer than it serves."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from fleet import BOUNDS, HEARTBEAT_S, CannotRun, Plain, call, main, plain_service, route  # noqa: E402

SERVERS = 3
SLOTS = 2
QUEUE = 2
WORK_S = 0.2
RATE = 80
# Time from the cut of the watches to the removal of the entry: more than `stable_window_ms`.
QUIET_S = 3.75
# How much longer than `drain_ms` the server goes on.
LONGER_S = 0.3


class Leaving(Plain):
    """Records when requests reach it."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.arrivals = []

    async def respond(self, request, reader, writer):
        if request.path.startswith("/charge/") and request.header("x-expect-instance") == self.name:
            self.arrivals.append((asyncio.get_running_loop().time(), request.header("x-request-id")))
        return await super().respond(request, reader, writer)


async def case(fleet, trouble):
    loop = asyncio.get_running_loop()
    await fleet.configure([route("/charge/", "non_idempotent", "app", max_attempts=1, timeout_ms=2_500,
                                 target_latency_ms=400)], [plain_service("app")])
    servers = [await fleet.add(Leaving(fleet, f"i-app-{number}", "app", f"z{number}", slots=SLOTS, queue=QUEUE,
                                       latency=WORK_S)) for number in range(1, SERVERS + 1)]
    await fleet.start_instances(3)
    await asyncio.sleep(4.0)
    # In step with the servers' heartbeats, so that each run is alike: shortly after one, entries have just changed.
    left_at = servers[0].registered_at + 0.05
    while left_at < loop.time() + QUIET_S + 0.5:
        left_at += HEARTBEAT_S
    await asyncio.sleep(left_at - QUIET_S - loop.time())
    if trouble == "1":
        fleet.record.write("the metadata store cuts the watches that wait")
        for instance in fleet.instances:
            instance.door.reset()
    # Many callers at once, from shortly before the server leaves on.
    replies = []

    async def press():
        for number in range(int(RATE * 4)):
            instance = fleet.instances[number % 3]
            headers = {"x-request-id": f"charge-{number}", "x-deadline-ms": 2_500}
            replies.append(asyncio.ensure_future(call(instance.address, "POST", "/charge/x", headers, b"x" * 600,
                                                      record=fleet.record)))
            await asyncio.sleep(1 / RATE)

    await asyncio.sleep(left_at - 0.5 - loop.time())
    pressing = asyncio.ensure_future(press())
    await asyncio.sleep(left_at - loop.time())
    leaving = servers[0]
    # It never reports that it drains: its entry is removed, and it serves on for `drain_ms` and a little longer.
    await leaving.unregister()
    acknowledged = loop.time()
    fleet.record.write(f"the entry of {leaving.name} is removed")
    drain_s = BOUNDS["drain_ms"] / 1_000
    await asyncio.sleep(acknowledged + drain_s + LONGER_S - loop.time())
    fleet.record.write(f"{leaving.name} exits with {leaving.running} requests in progress")
    leaving.close()
    await pressing
    answers = await asyncio.gather(*replies)
    late = [(at - acknowledged, identity) for at, identity in leaving.arrivals if at > acknowledged + drain_s]
    for after, identity in late:
        fleet.record.write(f"request {identity} reached {leaving.name} {after:.3f} s after its entry was removed")
    lost = sum(reply.status not in (200, 503) for reply in answers)
    served = sum(reply.status == 200 for reply in answers)
    last = max((at - acknowledged for at, _ in leaving.arrivals), default=0.0)
    fleet.record.write(f"{served} of {len(answers)} requests were served, {lost} failed after they were sent; the last "
                       f"request reached the server after {last:.3f} s (bound {drain_s} s); {len(late)} too late")
    if served == 0:
        raise CannotRun("nothing was served")
    return bool(late)


main(HERE, case)
