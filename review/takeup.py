"""All instances are killed while two software versions serve; callers then take their streams up.

No case: KNOWN-RED.txt lists the fault already. The callers and engines are used by `8/case.py`, too.
"""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import world2 as world
from world2 import (Engine, HOST, Instance, Store, configuration, head_bytes, now, read_head, request_id, respond)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 3
STREAMS = 24
EVENTS, GAP_S = 120, 0.2
STABLE_S = 3.0
# Callers abandon a stream after a gap of eight times its route's `gap_target_ms` (1 s).
ABANDON_S = 8.0


class Versioned(Engine):
    """An engine of one software version; its streams go on after `Last-Event-Id`."""

    software = "v1"

    def entry(self):
        return {**super().entry(), "version": self.software}

    async def run(self, request, writer, common):
        first = int(request.get("last-event-id", "0")) + 1
        self.runs += 1
        self.record.line("engine: run", server=self.name, software=self.software, id=request.get("x-request-id"),
                         resumes=request.get("resumes"), first=first)
        headers = {**common, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                   "X-Response-Seal": f"{self.name}.{self.runs}", "Connection": "close"}
        writer.write(head_bytes(200, headers))
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.software}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False


class Stream:
    """A caller's stream, with its tries."""

    def __init__(self, record, instances, number):
        self.record, self.instances, self.number = record, instances, number
        self.origin, self.last, self.versions = None, 0, set()
        self.taken_up = []
        self.deadline = now() + 29
        self.heard = now()

    async def run(self):
        """Tries until the stream is complete, as callers do: at another instance, on a new connection, after the
        time that a refusal names, and half a second after a connection that failed."""
        tries = 0
        while self.last < EVENTS and now() < min(self.deadline, self.heard + ABANDON_S):
            wait = await self.attempt(self.instances[(self.number + tries) % len(self.instances)], tries > 0)
            tries += 1
            if self.last < EVENTS:
                await asyncio.sleep(wait)

    async def attempt(self, instance, is_repeat):
        request = request_id()
        headers = {"X-Request-Id": request, "X-Model": "m0", "X-Token-Usage": "100,120",
                   "X-Prompt-Prefix": f"5c1e07a2:20,{self.number:08x}:80", "Authorization": "Bearer key-a",
                   "X-Deadline-Ms": str(int((self.deadline - now()) * 1000))}
        if self.last:
            headers |= {"Last-Event-Id": str(self.last), "Resumes": self.origin}
        sent, before = now(), self.last
        status, wait = None, 0.5
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", instance.front)
            try:
                fields = {"Host": HOST, **headers, "Content-Length": "6"}
                lines = ["POST /ask/1 HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"prompt")
                line, answered = await read_head(reader)
                status = int(line.split(" ")[1])
                if status != 200:
                    wait = max(0.5, float(answered.get("retry-after", "0.5")))
                while status == 200:
                    size = int((await reader.readline()).strip() or b"0", 16)
                    if size == 0:
                        break
                    block = await reader.readexactly(size + 2)
                    for event in block.split(b"\n\n"):
                        if event.strip().startswith(b"id: "):
                            self.last = int(event.strip().split(b"\n")[0][4:])
                            self.heard = now()
                            self.versions.add(event.split(b"data: ")[1].decode().strip())
                            self.origin = self.origin or request
            finally:
                writer.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        if is_repeat and before:
            self.taken_up.append((sent, self.last > before))
        self.record.line("caller", stream=self.number, id=request, instance=instance.name, sent=round(sent, 3),
                         status=status, first=before + 1, last=self.last)
        return wait


async def begin(record, instance, number):
    """Whether a new stream begins."""
    stream = Stream(record, [instance], 1000 + number)
    task = asyncio.create_task(stream.attempt(instance, False))
    await asyncio.sleep(1.0)
    task.cancel()
    return stream.last > 0


async def scenario(record, folder, instances):
    store = Store(record)
    await store.start()
    engines = [Versioned(record, store, f"i-{n}", "llm", "m0") for n in range(4)]
    for number, engine in enumerate(engines):
        engine.software = "v1" if number < 2 else "v2"
        await engine.start()
    desired = configuration(1, [{"name": "ayuntamiento", "api_keys": ["key-a"]}])
    desired["routes"][0] |= {"timeout_ms": 30000, "target_latency_ms": 1000, "gap_target_ms": 1000}
    store.put("op/config", desired)
    store.put("op/version/m0", {"model": "m0", "version": 1})
    tasks = [asyncio.create_task(engine.heartbeat()) for engine in engines]
    tasks.append(asyncio.create_task(store.expire()))
    instances += [Instance(record, store.port, f"edge-{n}", folder) for n in range(INSTANCES)]
    await asyncio.gather(*(instance.start() for instance in instances))
    for instance in instances:
        if not await instance.wait_ready():
            return 2
    await asyncio.sleep(5)
    streams = [Stream(record, instances, number) for number in range(STREAMS)]
    running = [asyncio.create_task(stream.run()) for stream in streams]
    await asyncio.sleep(4)
    back = now()
    if TROUBLE:
        for instance in instances:
            instance.signal(signal.SIGKILL)
        for instance in instances:
            await instance.process.wait()
        record.line("all instances killed")
        await asyncio.sleep(0.5)
        await asyncio.gather(*(instance.start() for instance in instances))
        back = now()
    else:
        # One instance is killed instead, and started again.
        instances[0].signal(signal.SIGKILL)
        await instances[0].process.wait()
        await asyncio.sleep(0.5)
        await instances[0].start()
    await asyncio.sleep(STABLE_S + 2)
    begun = [await begin(record, instances[n % INSTANCES], n) for n in range(6)]
    await asyncio.gather(*running)
    # Machines are in touch some time after their start.
    since = back + (STABLE_S if TROUBLE else 0)
    in_touch = [ok for stream in streams for sent, ok in stream.taken_up if sent > since]
    tried = {stream.number for stream in streams if any(sent > since for sent, _ in stream.taken_up)}
    went_on = {s.number for s in streams if any(ok and sent > since for sent, ok in s.taken_up)}
    complete = sum(stream.last >= EVENTS for stream in streams)
    mixed = sum(len(stream.versions) > 1 for stream in streams)
    share = sum(in_touch) / len(in_touch) if in_touch else 1.0
    new_share = sum(begun) / len(begun)
    is_broken = len(tried) >= 12 and share < new_share / 2 and len(went_on) < len(tried) * new_share / 2
    record.line("result", take_ups=len(in_touch), went_on=sum(in_touch), streams_tried=len(tried),
                streams_that_went_on=len(went_on), new_share=new_share, complete=complete, mixed=mixed)
    print(f"{len(in_touch)} tries to take up {len(tried)} streams at machines in touch, {len(went_on)} streams went on; "
          f"{sum(begun)} of {len(begun)} new streams began; {complete} of {STREAMS} complete, {mixed} mixed")
    for task in tasks:
        task.cancel()
    if new_share < 0.5:
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(world.run(scenario, sys.argv[1]))
