"""A server that has left is taken for a steady one again after all core processes were killed at once."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

import rig2  # noqa: E402

DRAIN_S, CONTACT_S = 2.5, 3.0  # drainMs and contactMs
LATE_S = 4.0  # how late the beat is that was sent before the sign-off
DOWN_S = 0.8  # "return within a second"
SERVES_ON_S = 14.0  # how long the server serves on after its sign-off is acknowledged
PER_S = 30.0

CONFIGURATION = {
    "version": 3,
    "services": [{"name": "desk", "probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}],
    "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerMs": 3000, "idleMs": 15000},
    "hosts": [{"host": rig2.HOST, "paths": [
        {"name": "commit", "prefix": "/commit/", "routeType": "unsafe", "timeoutMs": 2000, "setpointMs": 800,
         "precedence": 1, "target": "desk", "tries": 1, "unkeyed": False}]}]}


class Delay:
    """A proxy in front of a limiter's control address that holds the first bytes of each connection back."""

    def __init__(self, rig, target):
        self.rig, self.target, self.release = rig, target, asyncio.Event()
        self.address = (rig.ip(150), rig.base + 9)

    async def start(self):
        """Listens."""
        self.server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader, writer):
        try:
            request = await reader.read(65536)
            await self.release.wait()
            from_limiter, to_limiter = await asyncio.open_connection(*self.target)
            to_limiter.write(request)
            await to_limiter.drain()
            answer = await asyncio.wait_for(from_limiter.read(65536), 1.0)
            self.rig.record(f"proxy: the late beat got {answer.splitlines()[0]!r}", show=True)
        except (OSError, TimeoutError, IndexError) as error:
            self.rig.record(f"proxy: the late beat got {error!r}", show=True)
        finally:
            writer.transport.abort()


async def client(rig, sent, answers):
    """Sends requests that may run once at the limiters, one after the other; each goes to one limiter."""
    tasks, n = [], 0

    async def one(number):
        attempt, limiter = f"{number:016x}", number % rig2.LIMITERS
        sent[attempt] = time.monotonic()
        try:
            status, _, _ = await rig2.call(
                (rig.ip(limiter), rig.edge), "POST", f"/commit/{number}",
                {"Host": rig2.HOST, "X-Attempt-Id": attempt, "X-Time-Left": "2000"}, b"{}", timeout=2.1)
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
        answers[attempt] = status
        rig.record(f"client: {attempt} at limiter {limiter}: {status}")

    start = time.monotonic()
    try:
        while True:
            n += 1
            tasks.append(asyncio.create_task(one(n)))
            await asyncio.sleep(max(0.0, start + n / PER_S - time.monotonic()))
    finally:
        await asyncio.gather(*tasks)


async def case(rig):
    """Lets one server leave, kills the core, and lets an earlier beat of that server arrive late."""
    servers = [rig2.Server(rig, n, "desk") for n in range(4)]
    await rig.start_all(CONFIGURATION, servers)
    leaver, sent, answers = servers[3], {}, {}
    stream = asyncio.create_task(client(rig, sent, answers))
    await asyncio.sleep(2.0)
    # The last beat before the sign-off takes a slow way; the server has no answer after a second.
    delay = Delay(rig, (rig.ip(1), rig.control))
    await delay.start()
    rig.tasks[3].cancel()
    leaver.sequence += 1
    beat = json.dumps({
        "address": f"{leaver.ip}:{leaver.port}",
        "info": {"target": "desk", "version": "v1", "zone": leaver.zone, "capacity": leaver.slots},
        "observed": {"state": "steady", "sequence": leaver.sequence, "warmupLeftMs": 0}}).encode()
    late = asyncio.create_task(rig2.call(delay.address, "POST", f"/larklb/instances/{leaver.id}/heartbeat",
                                         {"Content-Type": "application/json"}, beat, timeout=20.0))
    rig.record(f"server {leaver.id}: sends a beat, steady, sequence {leaver.sequence}, which is held up",
               show=True)
    await asyncio.sleep(0.5)
    status, _, _ = await rig2.call((rig.ip(0), rig.control), "POST", f"/larklb/instances/{leaver.id}/leave")
    left = time.monotonic()
    rig.record(f"server {leaver.id}: leave: {status}; it serves on for {SERVES_ON_S:g} s", show=True)
    if status != 200:
        raise rig2.UnrunnableError("the sign-off was not acknowledged")
    back = left
    if rig2.TROUBLE:
        await asyncio.sleep(0.3)
        for i in range(rig2.CORES):
            rig.processes[i].kill()
        rig.record("platform: all processes of the core are killed", show=True)
        await asyncio.sleep(DOWN_S)
        for i in range(rig2.CORES):
            await rig.processes[i].wait()
            await rig.start(i, False)
        back = time.monotonic()
    await asyncio.sleep(max(0.0, left - 0.5 + LATE_S - time.monotonic()))
    delay.release.set()
    await asyncio.sleep(left + SERVES_ON_S - time.monotonic())
    leaver.close()
    rig.record(f"server {leaver.id}: ends", show=True)
    stream.cancel()
    await asyncio.gather(stream, late, return_exceptions=True)
    in_touch = back + CONTACT_S
    wrong = [(t, a) for t, _, a in leaver.arrivals if t > left + DRAIN_S and sent[a] > in_touch]
    after = sum(t > left + DRAIN_S for t, _, _ in leaver.arrivals)
    rig.record(f"{len(leaver.arrivals)} requests reached {leaver.id} in all, {after} of them more than "
               f"drainMs after the acknowledgement, {len(wrong)} of these sent when all machines were in "
               "touch", show=True)
    for t, a in wrong[:10]:
        rig.record(f"  {a}: sent {sent[a] - left:.2f} s, arrived {t - left:.2f} s after the acknowledgement")
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    rig.record(f"answers: {counts}", show=True)
    return not wrong


rig2.main(Path(__file__).resolve().parent, case)
