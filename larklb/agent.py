"""The agent: starts the instances of an operator's file, watches, restarts and drains them."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from pathlib import Path

from larklb.settings import InstanceEntry, Operator

log = logging.getLogger(__name__)

BACKOFF_FIRST, BACKOFF_MOST = 0.2, 10.0     # s before a restart, doubled with each quick death
STEADY = 30.0                               # s of life after which a death is no longer a quick one
DRAIN = 12.0                                # s that an instance has to finish what it took
BAD_CONFIG = 2                              # exit status of an instance whose configuration cannot be used


class Agent:
    """All instances of one operator's file."""

    def __init__(self, path: Path, operator: Operator) -> None:
        self.path, self.operator = path, operator
        self.stopping = asyncio.Event()
        self.running: dict[str, asyncio.subprocess.Process] = {}

    async def run(self) -> int:
        """Until told to stop; the exit status is that of the worst instance."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stopping.set)
        return max(await asyncio.gather(*(self._keep(entry) for entry in self.operator.instance)))

    async def _keep(self, entry: InstanceEntry) -> int:
        """One instance's life: started, watched, started again when it dies, drained when the agent stops."""
        loop, wait = asyncio.get_running_loop(), BACKOFF_FIRST
        stop = asyncio.ensure_future(self.stopping.wait())
        while True:
            began = loop.time()
            process = self.running[entry.name] = await self._start(entry)
            log.info("%s started as %d", entry.name, process.pid)
            ended = asyncio.ensure_future(process.wait())
            await asyncio.wait((ended, stop), return_when=asyncio.FIRST_COMPLETED)
            if not ended.done():
                return await self._drain(entry, process, ended)
            log.warning("%s ended with %d", entry.name, ended.result())
            if ended.result() == BAD_CONFIG:
                return BAD_CONFIG                # starting it again would not mend its configuration
            wait = BACKOFF_FIRST if loop.time() - began > STEADY else min(2 * wait, BACKOFF_MOST)
            await asyncio.wait((stop,), timeout=wait)
            if stop.done():
                return 0

    async def _start(self, entry: InstanceEntry) -> asyncio.subprocess.Process:
        config = (self.path.parent / entry.config).resolve()
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_NAME": entry.name, "EDGE_CONFIG": str(config)}
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb", "serve", "--operator", str(self.path), env=env)

    async def _drain(self, entry: InstanceEntry, process: asyncio.subprocess.Process,
                     ended: asyncio.Future[int]) -> int:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await asyncio.wait((ended,), timeout=DRAIN)
        if not ended.done():
            log.error("%s did not drain and is killed", entry.name)
            process.kill()
        status = await ended
        log.info("%s drained with %d", entry.name, status)
        return abs(status)


def run(path: Path, operator: Operator) -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="agent %(levelname)s %(message)s")

    async def go() -> int:
        return await Agent(path, operator).run()
    return asyncio.run(go())
