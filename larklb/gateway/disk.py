"""Saves of a core machine's replica, done in a separate thread so that a slow disk never blocks the event
loop."""

from __future__ import annotations

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor

from larklb.consensus.interface import Ready
from larklb.gateway.core import Core
from larklb.storage.errors import StorageError
from larklb.storage.store import Store
from larklb.wheel import Wheel

log = logging.getLogger("core")

# Time from a failed save to the next attempt.
SAVE_RETRY_MS = 200.0


class DiskWriter:
    """Executes the saves of ``core``, which must be set before the first one."""

    core: Core

    def __init__(self, store: Store, wheel: Wheel) -> None:
        self.store, self.wheel = store, wheel
        self.pool = ThreadPoolExecutor(1, "disk")
        self.saving: asyncio.Future[None] | None = None

    def save(self, ready: Ready) -> None:
        """Starts a save; the caller starts no other one before its end."""
        self.saving = asyncio.ensure_future(self._save(ready))

    async def _save(self, ready: Ready) -> None:
        ok = True
        try:
            await asyncio.get_running_loop().run_in_executor(self.pool, self.store.save, ready.save or {})
        except StorageError as error:
            log.warning("core: write to disk failed: %s.", error)
            ok = False
        except Exception:
            log.exception("core: save failed unexpectedly.")
            ok = False
        finally:
            self.saving = None
        self.core.handle_save_result(self.wheel.now(), ready, ok)
        if ok:
            self._process_ready()
        else:
            self.wheel.after(SAVE_RETRY_MS, self._process_ready)

    def _process_ready(self) -> None:
        self.core.process_ready(self.wheel.now())

    def close(self) -> None:
        """Cancels the writes that have not started, and does not wait for one that hangs."""
        self.pool.shutdown(wait=False, cancel_futures=True)
