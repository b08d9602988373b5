"""The agent: starts the instances of an operator's file, watches, restarts and drains them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from asyncio.subprocess import Process
from pathlib import Path

import h11

from larklb.net.http import TooLongError, dial
from larklb.settings import ConfigError, InstanceEntry, Operator, load

log = logging.getLogger(__name__)

BACKOFF_FIRST, BACKOFF_MOST = 0.2, 10.0     # s before a restart, doubled with each quick death
STEADY = 30.0                               # s of life after which a death is no longer a quick one
DRAIN, DRAIN_MORE = 12.0, 5.0               # s that an instance has to finish what it took, past deadlines
CHECK, CHECK_WITHIN = 2.0, 2.0              # s between health checks, and for one
READY = 30.0                                # s for a renewed instance to answer
HUNG = 5                                    # checks failed in a row: the instance is killed and started again
BAD_CONFIG = 2                              # exit status of an instance whose configuration cannot be used


class Agent:
    """All instances of one operator's file."""

    def __init__(self, path: Path, operator: Operator) -> None:
        self.path, self.operator = path, operator
        self.stopping, self.renew = asyncio.Event(), asyncio.Event()
        self.running: dict[str, Process] = {}
        self.renewed: set[str] = set()          # drained to be started again, not dead

    async def run(self) -> int:
        """Until SIGTERM, which drains all; SIGHUP renews them one by one.  Returns the worst exit status."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.renew.set)
        renewing = asyncio.ensure_future(self._renew())
        worst = max(await asyncio.gather(*(self._keep(entry) for entry in self.operator.instance)))
        renewing.cancel()
        return worst

    async def _keep(self, entry: InstanceEntry) -> int:
        """One instance's life: started, watched, started again when it ends, drained when the agent stops."""
        loop, wait = asyncio.get_running_loop(), BACKOFF_FIRST
        stop = asyncio.ensure_future(self.stopping.wait())
        while True:
            began = loop.time()
            try:
                process = self.running[entry.name] = await self._start(entry)
            except OSError as error:
                # No process, memory or descriptor is to be had: the others go on, this one is tried again.
                log.error("%s could not be started: %s", entry.name, error)
            else:
                log.info("%s started as %d", entry.name, process.pid)
                ended = asyncio.ensure_future(process.wait())
                watch = asyncio.ensure_future(self._watch(entry, process))
                await asyncio.wait((ended, stop), return_when=asyncio.FIRST_COMPLETED)
                watch.cancel()
                if not ended.done():
                    return await self._drain(entry, process)
                status = ended.result()
                renewed = entry.name in self.renewed
                self.renewed.discard(entry.name)
                if renewed:
                    continue
                log.warning("%s ended with %d", entry.name, status)
                if status == BAD_CONFIG:
                    return BAD_CONFIG            # starting it again would not mend its configuration
            wait = BACKOFF_FIRST if loop.time() - began > STEADY else min(2 * wait, BACKOFF_MOST)
            await asyncio.wait((stop,), timeout=wait)
            if stop.done():
                return 0

    def _environment(self, entry: InstanceEntry) -> dict[str, str]:
        config = (self.path.parent / entry.config).resolve()
        return {"EDGE_NAME": entry.name, "EDGE_CONFIG": str(config)}

    async def _start(self, entry: InstanceEntry) -> Process:
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | self._environment(entry)
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb", "serve", "--operator", str(self.path), env=env)

    async def _watch(self, entry: InstanceEntry, process: Process) -> None:
        """A process that runs and answers no health check any more serves nobody: it is killed."""
        try:
            host, port = load(self._environment(entry)).listen
        except ConfigError:
            return                               # the instance itself says so and ends
        failures = 0
        while failures < HUNG:
            await asyncio.sleep(CHECK)
            failures = 0 if await healthy(host, port) else failures + 1
        log.error("%s answers no health check and is killed", entry.name)
        if process.returncode is None:
            process.kill()

    async def _renew(self) -> None:
        """Each instance in turn is drained, started again and ready before the next: the others serve."""
        while True:
            await self.renew.wait()
            self.renew.clear()
            for entry in self.operator.instance:
                process = self.running.get(entry.name)
                if process is None or process.returncode is not None or self.stopping.is_set():
                    continue
                self.renewed.add(entry.name)
                await self._drain(entry, process)
                if not await self._ready(entry, process):
                    log.error("%s is not ready after its renewal: those behind it stay as they are",
                              entry.name)
                    break

    async def _ready(self, entry: InstanceEntry, before: Process) -> bool:
        """Whether an instance that takes the place of ``before`` comes to answer."""
        until = asyncio.get_running_loop().time() + READY
        while asyncio.get_running_loop().time() < until and not self.stopping.is_set():
            process = self.running.get(entry.name, before)
            if process is not before and process.returncode == BAD_CONFIG:
                return False
            with contextlib.suppress(ConfigError):       # the instance itself says so and ends
                if await healthy(*load(self._environment(entry)).listen):
                    return True
            await asyncio.sleep(0.1)
        return False

    def _patience(self, entry: InstanceEntry) -> float:
        """Seconds that an instance may need to answer what it has taken."""
        try:
            deadlines = [c.deadline for c in load(self._environment(entry)).settings.classes]
        except ConfigError:
            return DRAIN
        return max(DRAIN, max(deadlines) / 1000.0 + DRAIN_MORE)

    async def _drain(self, entry: InstanceEntry, process: Process) -> int:
        ended = asyncio.ensure_future(process.wait())
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await asyncio.wait((ended,), timeout=self._patience(entry))
        if not ended.done():
            log.error("%s did not drain and is killed", entry.name)
            process.kill()
        status = await ended
        log.info("%s drained with %d", entry.name, status)
        return abs(status)


async def healthy(host: str, port: int) -> bool:
    try:
        async with asyncio.timeout(CHECK_WITHIN):
            link = await dial(host, port)
            try:
                link.write(h11.Request(method="GET", target="/healthz", headers=[("Host", "agent")]))
                got = await link.read()
            finally:
                link.abort()
    except (OSError, h11.RemoteProtocolError, TooLongError):
        return False
    return got is not None and got[0].status_code == 200


def run(path: Path, operator: Operator) -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="agent %(levelname)s %(message)s")

    async def go() -> int:
        return await Agent(path, operator).run()
    return asyncio.run(go())
