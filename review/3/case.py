"""A server that has signed off is used again after a restart of the core and a late heartbeat."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (
    CONTACT_S,
    CORES,
    DRAIN_S,
    HOST,
    KEY,
    TROUBLE,
    Deployment,
    Record,
    Server,
    call,
    configuration,
    run,
)

# Times in seconds after the acknowledgement of the sign-off.
KILL_AT_S = 0.5
DOWN_S = 0.7
LATE_BEAT_S = 5.0
END_S = 11.5
LATE = TROUBLE and os.environ.get("LATE", "1") != "0"
KILL = TROUBLE and os.environ.get("KILL", "1") != "0"


async def send_requests(deployment: Deployment, record: Record, sent: dict[str, tuple[float, int]]) -> None:
    """Sends a request to each limiter in turn, 25 a second in all."""
    tasks: set[asyncio.Task[None]] = set()

    async def one(number: int) -> None:
        attempt, limiter = f"a{number:06d}", number % deployment.count
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Time-Left": "1500"}
        headers["Authorization"] = f"Bearer {KEY}"
        sent[attempt] = time.monotonic(), limiter
        result = "no answer"
        with suppress(OSError, TimeoutError):
            address = f"{deployment.ip(limiter)}:{deployment.edge}"
            status, _, body = await call(address, "GET", f"/parts/{number}", headers, timeout_s=1.5)
            result = f"{status} {body.decode()!r}"
        record(f"client: {attempt} to edge-{limiter}: {result}")

    number = 0
    while True:
        task = asyncio.ensure_future(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(0.04)


async def play(deployment: Deployment, record: Record) -> bool:
    """Returns whether DRAIN held."""
    leaver, *others = servers = [Server(deployment, record, n, "catalogue") for n in range(3)]
    tasks: list[asyncio.Future[None]] = []
    sent: dict[str, tuple[float, int]] = {}
    try:
        for server in servers:
            await server.start()
        for i in range(deployment.count):
            await deployment.start(i, bootstrap=True)
        await deployment.change("/larklb/config/replace", 0, configuration(1, {"/parts/": "catalogue"}))
        beats = asyncio.ensure_future(leaver.beat_forever())
        tasks += [beats, *(asyncio.ensure_future(server.beat_forever()) for server in others)]
        await deployment.wait_ready()
        tasks.append(asyncio.ensure_future(send_requests(deployment, record, sent)))
        await asyncio.sleep(CONTACT_S + 2.0)
        beats.cancel()
        # The last heartbeat is on its way for seconds; without the disruption it arrives at once.
        late_body = leaver.beat_body()
        if not LATE:
            await leaver.post("heartbeat", late_body)
        acknowledged_at = await leaver.post("leave", b"")
        if acknowledged_at is None:
            raise TimeoutError("the sign-off is not acknowledged")
        leaver.leaving = True
        record.say("the sign-off is acknowledged; the server serves on")

        async def until(offset_s: float) -> None:
            await asyncio.sleep(max(0.0, acknowledged_at + offset_s - time.monotonic()))

        await until(KILL_AT_S)
        if KILL:
            for i in range(CORES):
                await deployment.kill(i)
            await until(KILL_AT_S + DOWN_S)
            for i in range(CORES):
                await deployment.start(i)
            record.say("the processes of the core were killed at once and are started again")
        restarted_at = time.monotonic()
        await until(LATE_BEAT_S)
        if LATE:
            await leaver.post("heartbeat", late_body)
            record.say(f"a heartbeat from before the sign-off arrives {LATE_BEAT_S:g} s late")
        await until(END_S)
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            server.stop()
    # Twice contactMs after the last start of a process all machines are in touch under any reading.
    from_time = max(restarted_at + 2 * CONTACT_S, acknowledged_at + DRAIN_S)
    late = [
        (at, attempt)
        for at, attempt, _ in leaver.arrivals
        if at > acknowledged_at + DRAIN_S and sent[attempt][0] >= from_time
    ]
    any_late = [at for at, _, _ in leaver.arrivals if at > acknowledged_at + DRAIN_S]
    considered = sum(at >= from_time for at, _ in sent.values())
    before = sum(at <= acknowledged_at for at, _, _ in leaver.arrivals)
    record.say(f"the server got {before} requests before the acknowledgement, {len(any_late)} more than")
    record.say(f"drainMs after it; {len(late)} of the {considered} that were sent while all are in touch")
    for at, attempt in late[:5]:
        record(f"late: {attempt} reached it {at - acknowledged_at:.2f} s after the acknowledgement")
    if not before or not considered:
        raise TimeoutError("the server got no requests at all")
    return not late


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, play))
