"""Saves of a core machine's replicas, done in a separate thread so that a slow disk never blocks the event
loop."""

from __future__ import annotations

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor

from larklb.gateway.core import Saved
from larklb.storage.errors import StorageError
from larklb.storage.store import Store
from larklb.wheel import Wheel

log = logging.getLogger("core")


class DiskWriter:
    """Executes saves one after the other, in the order in which they were started.

    ``saving`` is the last save that was started, None if all have ended."""

    def __init__(self, store: Store, wheel: Wheel) -> None:
        self.store, self.wheel = store, wheel
        self.pool = ThreadPoolExecutor(1, "disk")
        self.saving: asyncio.Future[None] | None = None

    def save(self, values: dict[str, bytes], saved: Saved) -> None:
        """Starts to store values by key; ``saved`` is called with the time and whether they are durable."""
        self.saving = asyncio.ensure_future(self._save(values, saved))

    async def _save(self, values: dict[str, bytes], saved: Saved) -> None:
        ok = True
        try:
            await asyncio.get_running_loop().run_in_executor(self.pool, self.store.save, values)
        except StorageError as error:
            log.warning("core: write to disk failed: %s.", error)
            ok = False
        except Exception:
            log.exception("core: save failed unexpectedly.")
            ok = False
        finally:
            if self.saving is asyncio.current_task():
                self.saving = None
        saved(self.wheel.now(), ok)

    def close(self) -> None:
        """Cancels the writes that have not started, and does not wait for one that hangs."""
        self.pool.shutdown(wait=False, cancel_futures=True)
