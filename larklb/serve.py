"""One instance from its start to its end: puts the parts together and stops them in order."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import signal
import sys

from larklb.core import Core
from larklb.counters import Counters
from larklb.net import peers
from larklb.net.execute import ExecuteNodes
from larklb.net.front import Front
from larklb.net.machines import Machines
from larklb.settings import Config
from larklb.wheel import Wheel

log = logging.getLogger(__name__)


async def _run(config: Config) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    counters = Counters(config.name)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, lambda: print(counters.as_json(), file=sys.stderr, flush=True))
    wheel = Wheel(config.settings.tick)
    core = Core(config.settings, config.seed, wheel, counters)
    core.start()
    machines = Machines(config, core)
    listener = await peers.listen(config, core)
    front = Front(config, core, ExecuteNodes(config, core, machines))
    watch = loop.create_task(machines.watch())
    watch.add_done_callback(_watch_ended)
    await front.start()
    gc.collect()
    gc.freeze()            # what stays for good need not be looked through again
    await stop.wait()
    await front.stop()
    watch.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watch
    if listener is not None and listener.transport is not None:
        listener.transport.close()
    print(counters.as_json(), file=sys.stderr, flush=True)


def _watch_ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("the watch of the machine list has failed", exc_info=task.exception())


def run(config: Config) -> None:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format=f"{config.name} %(levelname)s %(message)s")
    asyncio.run(_run(config))
