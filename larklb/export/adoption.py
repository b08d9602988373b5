"""Adoption of ledgers: another instance exports, once, what a lost instance counted and did not export.

The lock on the ledger's folder is the claim: it is released with its process, so whoever has locked the
folder is its only writer (``state/folder.py``).  The adopter opens the ledger under the name of the lost
instance: batches keep their names and ids, a batch whose acknowledgement was lost is sent again unchanged,
and tries that were in flight count as after any restart.  If the lost instance returns, it finds a later
incarnation than its own in the ledger, and everything acknowledged.  During an adoption its start fails, and
its agent retries.

An instance is considered lost once its lock has been free for ``adopt_s`` without interruption.  The other
instances check at staggered times, so that usually only one of them adopts the ledger; the next one finds
nothing left to do.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from larklb.counters import Counters
from larklb.export.audit import read
from larklb.export.exporter import DeliveryError, Exporter
from larklb.export.ledger import Ledger
from larklb.state.folder import FolderLockedError, is_locked
from larklb.state.log import LogError

log = logging.getLogger(__name__)

# Checks of the locks within ``adopt_s``.  A lock that was taken and released between two checks is missed.
CHECKS_PER_PERIOD = 4.0
# Each further instance waits longer than the one before it by this fraction of ``adopt_s``.
STAGGER_FRACTION = 0.5


def due_adoptions(now: float, free_since: Mapping[str, float], after_s: float,
                  turns: Mapping[str, int]) -> list[str]:
    """Returns the names of the lost instances that this instance has to adopt now.

    ``free_since`` holds when each lock became free, in seconds; ``turns`` holds for each instance how many
    others adopt it before this one.
    """
    return [name for name, since in free_since.items()
            if now - since >= after_s * (1.0 + STAGGER_FRACTION * turns.get(name, 0))]


def has_unexported_use(folder: Path) -> bool:
    """Returns whether a ledger has use to export, without changing it; raises LogError."""
    tally = read(folder)
    return bool(tally.rows or tally.begun or tally.batches)


class Adopter:
    """Adopts the ledgers of lost instances on behalf of one instance."""

    def __init__(self, name: str, folders: Mapping[str, Path], after_s: float, counters: Counters,
                 open_ledger: Callable[[str, Path], Ledger],
                 make_exporter: Callable[[Ledger], Exporter]) -> None:
        """``folders`` maps the names of all instances, in the order of the operator's file, to their ledgers.

        ``open_ledger`` opens a ledger whose folder is free, and raises LogError if it cannot;
        ``make_exporter`` makes an exporter for it.  ``after_s`` is the time in seconds for which a lock must
        be free.
        """
        self.name, self.after_s, self.counters = name, after_s, counters
        self.folders = {n: f for n, f in folders.items() if n != name}
        order = list(folders)
        self.turns = {n: (order.index(name) - order.index(n) - 1) % len(order) for n in self.folders}
        self.open_ledger, self.make_exporter = open_ledger, make_exporter
        self.free_since: dict[str, float] = {}

    async def run(self) -> None:
        """Checks and adopts until it is cancelled."""
        while True:
            await asyncio.sleep(self.after_s / CHECKS_PER_PERIOD)
            now = time.monotonic()
            for name, folder in self.folders.items():
                if not folder.exists() or is_locked(folder):
                    self.free_since.pop(name, None)
                else:
                    self.free_since.setdefault(name, now)
            for name in due_adoptions(now, self.free_since, self.after_s, self.turns):
                # Whatever the result, the next attempt is made after a full period.
                self.free_since[name] = now
                await self.adopt(name)

    async def adopt(self, name: str) -> bool:
        """Exports the remaining use of a lost instance as far as the receiver accepts it.

        Returns whether nothing is left to export.
        """
        folder = self.folders[name]
        try:
            if not has_unexported_use(folder):
                return True
            ledger = self.open_ledger(name, folder)
        except LogError as error:
            # A locked folder means that the instance is back, or that another one adopts its ledger.
            if not isinstance(error, FolderLockedError):
                self.counters.add("errors.adopted")
                log.error("cannot adopt the ledger of %s: %s", name, error)
            return False
        try:
            sealed = await ledger.seal()
            await self.make_exporter(ledger).all()
            self.counters.add("adopted.ledgers")
            log.info("exported the adopted ledger of %s, after sealing %d batches", name, sealed)
        except DeliveryError as error:
            log.warning("the adopted ledger of %s could not be exported completely: %s", name, error)
        finally:
            done = not ledger.tally.batches
            ledger.close()
        return done
