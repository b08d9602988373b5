"""Use that an instance counted and cannot export, as it does not come back, is exported by another one, once.

The lost one's folder is the claim: its lock dies with its process, so whoever has it is the only one to write
there (``state/folder.py``).  The heir continues that very ledger under its own name: batches keep their
names and ids, a batch of which the acknowledgement was lost goes out again as it was, and what the former
process had in flight counts as it does at any start.  The former instance, coming back, finds a later start
in its ledger than its own, and everything acknowledged; while the heir is at work its start is turned down,
and its agent tries again.

An instance is taken to be lost once its lock has been free for ``adopt_s`` without a break.  The others look
in turns, so that as a rule one of them comes to it, and what it finds done leaves nothing to the next.
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

LOOKS = 4.0                # in ``adopt_s``, between which a lost one may have been back unseen
TURN_PART = 0.5            # of ``adopt_s`` later, each next instance looks


def due_adoptions(now: float, free_since: Mapping[str, float], after_s: float,
                  turns: Mapping[str, int]) -> list[str]:
    """The lost ones that are to be adopted here now; ``turns``: how many others come to each before this
    one."""
    return [name for name, since in free_since.items()
            if now - since >= after_s * (1.0 + TURN_PART * turns.get(name, 0))]


def has_unexported_use(folder: Path) -> bool:
    """Whether something in a ledger still has to be exported; nothing is changed to find out."""
    tally = read(folder)
    return bool(tally.rows or tally.begun or tally.batches)


class Adopter:
    """Of one instance."""

    def __init__(self, name: str, folders: Mapping[str, Path], after_s: float, counters: Counters,
                 ledger_of: Callable[[str, Path], Ledger], exporter_of: Callable[[Ledger], Exporter]) -> None:
        """``folders`` of all instances by name, in the order of the operator's file; ``ledger_of`` takes the
        place of one whose folder is free."""
        self.name, self.after_s, self.counters = name, after_s, counters
        self.folders = {n: f for n, f in folders.items() if n != name}
        order = list(folders)
        self.turns = {n: (order.index(name) - order.index(n) - 1) % len(order) for n in self.folders}
        self.ledger_of, self.exporter_of = ledger_of, exporter_of
        self.free_since: dict[str, float] = {}

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            await asyncio.sleep(self.after_s / LOOKS)
            now = time.monotonic()
            for name, folder in self.folders.items():
                if not folder.exists() or is_locked(folder):
                    self.free_since.pop(name, None)
                else:
                    self.free_since.setdefault(name, now)
            for name in due_adoptions(now, self.free_since, self.after_s, self.turns):
                self.free_since[name] = now                    # whatever comes of it, the next look is later
                await self.adopt(name)

    async def adopt(self, name: str) -> bool:
        """Exports what is left of a lost instance, as far as the receiver takes it; whether all of it is
        done."""
        folder = self.folders[name]
        try:
            if not has_unexported_use(folder):
                return True
            ledger = self.ledger_of(name, folder)
        except LogError as error:
            # A locked folder means that the instance is back, or that another one adopts its ledger.
            if not isinstance(error, FolderLockedError):
                self.counters.add("errors.adopted")
                log.error("what %s counted cannot be adopted: %s", name, error)
            return False
        try:
            sealed = await ledger.seal()
            await self.exporter_of(ledger).all()
            self.counters.add("adopted.ledgers")
            log.info("what %s counted is exported here, %d batches of it sealed now", name, sealed)
        except DeliveryError as error:
            log.warning("what %s counted stays there for now: %s", name, error)
        finally:
            done = not ledger.tally.batches
            ledger.close()
        return done
