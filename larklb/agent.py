"""The agent: starts, monitors, restarts and drains the instances of an operator's file."""

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

# Pause before a restart, doubled with each early exit.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.2, 10.0
# An exit after this uptime is not an early one.
STABLE_AFTER_S = 30.0
# Shortest time that an instance has for draining, and the time beyond its longest deadline.
MIN_DRAIN_S, DRAIN_MARGIN_S = 12.0, 5.0
CHECK_PERIOD_S, CHECK_TIMEOUT_S = 2.0, 2.0
# For a restarted instance to answer a health check.
READY_TIMEOUT_S = 30.0
# Consecutive failed checks after which an instance is killed and restarted.
MAX_FAILED_CHECKS = 5
# Exit status of an instance whose configuration is invalid.
BAD_CONFIG = 2


class Agent:
    """Supervises all instances of one operator's file."""

    def __init__(self, path: Path, operator: Operator) -> None:
        self.path, self.operator = path, operator
        self.stopping, self.renew = asyncio.Event(), asyncio.Event()
        self.running: dict[str, Process] = {}
        # Instances that ended because they were drained for a rolling restart.
        self.renewed: set[str] = set()

    async def run(self) -> int:
        """Runs until SIGTERM or SIGINT, which drain all instances, and returns the highest exit status.

        SIGHUP restarts the instances one by one.
        """
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.renew.set)
        renewing = asyncio.ensure_future(self._renew())
        worst = max(await asyncio.gather(*(self._supervise(entry) for entry in self.operator.instance)))
        renewing.cancel()
        return worst

    async def _supervise(self, entry: InstanceEntry) -> int:
        """Starts and monitors one instance, restarts it when it ends, and drains it when the agent stops."""
        loop, backoff_s = asyncio.get_running_loop(), INITIAL_BACKOFF_S
        stop = asyncio.ensure_future(self.stopping.wait())
        while True:
            started_at = loop.time()
            try:
                process = self.running[entry.name] = await self._start(entry)
            except OSError as error:
                # No process, memory or descriptor is available: this instance is retried, the others go on.
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
                    return BAD_CONFIG            # a restart would not correct its configuration
            backoff_s = (INITIAL_BACKOFF_S if loop.time() - started_at > STABLE_AFTER_S
                         else min(2 * backoff_s, MAX_BACKOFF_S))
            await asyncio.wait((stop,), timeout=backoff_s)
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
        """Kills a process that no longer answers health checks."""
        try:
            host, port = load(self._environment(entry)).listen
        except ConfigError:
            return                               # the instance reports the error and exits
        failures = 0
        while failures < MAX_FAILED_CHECKS:
            await asyncio.sleep(CHECK_PERIOD_S)
            failures = 0 if await healthy(host, port) else failures + 1
        log.error("%s answers no health check and is killed", entry.name)
        if process.returncode is None:
            process.kill()

    async def _renew(self) -> None:
        """Upon SIGHUP restarts each instance in turn, and goes on to the next once it is ready."""
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
        """Returns whether the process that replaces ``before`` becomes healthy in time."""
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline and not self.stopping.is_set():
            process = self.running.get(entry.name, before)
            if process is not before and process.returncode == BAD_CONFIG:
                return False
            with contextlib.suppress(ConfigError):       # the instance reports the error and exits
                if await healthy(*load(self._environment(entry)).listen):
                    return True
            await asyncio.sleep(0.1)
        return False

    def _drain_timeout(self, entry: InstanceEntry) -> float:
        """Returns the seconds that an instance may need to finish the requests that it has accepted."""
        try:
            deadlines = [c.deadline for c in load(self._environment(entry)).settings.classes]
        except ConfigError:
            return MIN_DRAIN_S
        return max(MIN_DRAIN_S, max(deadlines) / 1000.0 + DRAIN_MARGIN_S)

    async def _drain(self, entry: InstanceEntry, process: Process) -> int:
        ended = asyncio.ensure_future(process.wait())
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await asyncio.wait((ended,), timeout=self._drain_timeout(entry))
        if not ended.done():
            log.error("%s did not drain and is killed", entry.name)
            process.kill()
        status = await ended
        log.info("%s drained with %d", entry.name, status)
        return abs(status)


async def healthy(host: str, port: int) -> bool:
    """Returns whether an instance answers its health check with 200 in time."""
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            link = await dial(host, port)
            try:
                link.write(h11.Request(method="GET", target="/healthz", headers=[("Host", "agent")]))
                answer = await link.read()
            finally:
                link.abort()
    except (OSError, h11.RemoteProtocolError, TooLongError):
        return False
    return answer is not None and answer[0].status_code == 200


def run(path: Path, operator: Operator) -> int:
    """Runs the agent for an operator's file and returns its exit status."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="agent %(levelname)s %(message)s")

    async def go() -> int:
        return await Agent(path, operator).run()
    return asyncio.run(go())
