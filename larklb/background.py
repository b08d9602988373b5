"""Background work that is restarted after a failure."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from larklb.counters import Counters

log = logging.getLogger(__name__)

# Pause between two rounds; work that has failed may fail again at once.
PAUSE_S = 1.0


async def run_forever(name: str, work: Callable[[], Awaitable[None]], counters: Counters,
                      pause: float = PAUSE_S) -> None:
    """Runs ``work`` repeatedly until cancelled, with ``pause`` seconds after each round.

    An unexpected failure (lack of memory, above all) is logged and counted under ``errors.NAME``.  Otherwise
    it would end, for instance, the watch of the list of execute nodes permanently, and jobs would be sent to
    nodes that no longer exist.
    """
    while True:
        try:
            await work()
        except Exception:
            counters.add(f"errors.{name}")
            log.exception("background work %s failed and will be restarted", name)
        await asyncio.sleep(pause)
