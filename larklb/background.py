"""Work that goes on for the life of the process, whatever becomes of one round of it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from larklb.counters import Counters

log = logging.getLogger(__name__)

PAUSE_S = 1.0              # before work that has failed is taken up again: it may fail at once again


async def run_forever(name: str, work: Callable[[], Awaitable[None]], counters: Counters,
                   pause: float = PAUSE_S) -> None:
    """Does ``work`` over and over until it is cancelled; ``pause`` seconds lie behind a failure.

    A failure that nobody foresaw (no memory, above all) is told in the log and under ``errors.NAME``; without
    this it would end, say, the watch of the machine list for good, and jobs would go to nodes long gone.
    """
    while True:
        try:
            await work()
        except Exception:
            counters.add(f"errors.{name}")
            log.exception("%s failed and is taken up again", name)
        await asyncio.sleep(pause)
