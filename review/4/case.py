"""One upload inside the limits takes a limiter over its memory; requests that it had passed on are lost."""

import asyncio
import re
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

import rig2  # noqa: E402

MEMORY_MB = 300  # memoryMb
BODY_BYTES = 67_108_864 if rig2.TROUBLE else 65_536  # bodyBytes, or a small body
ROUNDS, TARGETS = 3, (3, 4)  # how often one upload is sent to each of these limiters
KEPT = 12  # kept connections of other clients at the limiter
CONFIGURATION = {
    "version": 3,
    "services": [{"name": "desk", "probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}],
    "limits": {"headerBytes": 16384, "bodyBytes": 67_108_864, "headerMs": 3000, "idleMs": 15000},
    "hosts": [{"host": rig2.HOST, "paths": [
        {"name": "commit", "prefix": "/commit/", "routeType": "unsafe", "timeoutMs": 10000, "setpointMs": 800,
         "precedence": 1, "target": "desk", "tries": 1, "unkeyed": False}]}]}


class Platform:
    """Kills a process that goes over memoryMb, and starts it again after a short delay."""

    def __init__(self, rig):
        self.rig, self.ends, self.peaks = rig, dict.fromkeys(range(rig2.LIMITERS), 0), {}

    def peak_mb(self, i):
        """Returns the most memory that the present process of limiter `i` has had."""
        status = Path(f"/proc/{self.rig.processes[i].pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024.0

    async def watch(self):
        """Watches all processes."""
        while True:
            for i, process in list(self.rig.processes.items()):
                if process.returncode is not None:
                    continue
                try:
                    peak = self.peak_mb(i)
                except (OSError, TypeError):
                    continue
                self.peaks[i] = max(peak, self.peaks.get(i, 0.0))
                if peak > MEMORY_MB:
                    process.kill()
                    await process.wait()
                    self.ends[i] += 1
                    self.rig.record(f"platform: limiter {i} had {peak:.0f} MB, over memoryMb: killed",
                                    show=True)
                    await asyncio.sleep(0.5)
                    await self.rig.start(i, False)
            await asyncio.sleep(0.01)


class Client:
    """A client with one connection that it keeps for all its requests, which may run once."""

    def __init__(self, rig, limiter, answers):
        self.rig, self.limiter, self.answers = rig, limiter, answers

    async def connect(self):
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(self.rig.ip(self.limiter), self.rig.edge)

    async def send(self, number, body):
        """Sends a request and notes its status, or that the connection ended without an answer."""
        attempt = f"{number:016x}"
        self.rig.record(f"client: {attempt} ({len(body)} bytes) to limiter {self.limiter}")
        try:
            async with asyncio.timeout(9.0):
                self.writer.write(
                    f"POST /commit/{number} HTTP/1.1\r\nHost: {rig2.HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                    f"X-Time-Left: 8000\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await self.writer.drain()
                first, _, _ = await rig2.read_message(self.reader)
                status = int(first.split()[1])
        except (OSError, EOFError, TimeoutError) as error:
            status = type(error).__name__
        self.answers[attempt] = status
        self.rig.record(f"client: {attempt} at limiter {self.limiter}: {status}")
        return status

    def close(self):
        """Closes the connection."""
        self.writer.transport.abort()


async def case(rig):
    """Sends one upload after the other, while other clients have requests under way at the same limiter."""
    platform, number, lost = Platform(rig), 0, []
    servers = [rig2.Server(rig, n, "desk", work_s=1.0, slots=64) for n in range(4)]
    await rig.start_all(CONFIGURATION, servers)
    rig.record(f"memory at rest, MB: {[round(platform.peak_mb(i)) for i in range(rig2.LIMITERS)]}", show=True)
    rig.tasks.append(asyncio.create_task(platform.watch()))
    body = b"x" * BODY_BYTES
    for _ in range(ROUNDS):
        for limiter in TARGETS:
            end = time.monotonic() + 15.0
            while not await rig.ready(limiter):
                if time.monotonic() > end:
                    raise rig2.UnrunnableError(f"limiter {limiter} is not ready")
                await asyncio.sleep(0.1)
            await asyncio.sleep(3.5)  # the machine has been without an end for longer than contactMs
            answers = {}
            clients = [Client(rig, limiter, answers) for _ in range(KEPT + 1)]
            for client in clients:
                await client.connect()
            numbers = range(number + 1, number + 2 * KEPT + 2)
            number = numbers[-1]
            # The first request on each kept connection is answered; the second is under way at the upload.
            firsts = await asyncio.gather(*(
                c.send(n, b"{}") for c, n in zip(clients[:KEPT], numbers[:KEPT], strict=True)))
            if any(status != 200 for status in firsts):
                raise rig2.UnrunnableError(f"the requests before the upload got {firsts}")
            second = numbers[KEPT:2 * KEPT]
            tasks = [asyncio.create_task(c.send(n, b"{}"))
                     for c, n in zip(clients[:KEPT], second, strict=True)]
            await asyncio.sleep(0.1)
            upload = await clients[KEPT].send(number, body)
            await asyncio.gather(*tasks)
            ran = {a for s in rig.servers for _, _, a in s.arrivals}
            cut = [a for a in (f"{n:016x}" for n in second) if a in ran and not isinstance(answers[a], int)]
            lost += cut
            rig.record(f"an upload of {len(body)} bytes to limiter {limiter} got {upload}; {len(cut)} of "
                       f"{KEPT} requests from kept connections had been passed on and got no answer",
                       show=True)
            for client in clients:
                client.close()
    await asyncio.sleep(1.0)
    peaks = {i: round(peak) for i, peak in sorted(platform.peaks.items())}
    rig.record(f"most memory by limiter, MB: {peaks}; ends by memoryMb: {platform.ends}", show=True)
    rig.record(f"{len(lost)} requests from kept connections were passed on to a sound server and got no "
               "answer; the rule allows 3", show=True)
    return len(lost) <= 3


rig2.main(Path(__file__).resolve().parent, case)
