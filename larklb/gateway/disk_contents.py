"""What a core machine's process finds on its disk when it starts."""

from __future__ import annotations

from attrs import define

from larklb.consensus.state import HARD_STATE, blank_hard_state
from larklb.storage.store import Store

# The disk's key of a mark that it was first used at the first start of the whole system.
FIRST_START = "firststart"


@define(frozen=True)
class DiskContents:
    """The id of a disk, the values on it (None if it is blank), and whether it belongs to the first start.

    A disk of the first start may found the group as long as it is blank, also in a later process, whose
    settings no longer speak of a first start."""

    disk: str
    stored: dict[str, bytes] | None
    first_start: bool


def open_disk(store: Store, first_start: bool) -> DiskContents:
    """Reads a disk, and prepares it for use if it is blank; raises StorageError if it can't be used.

    ``first_start``: the settings say that the whole system starts for the first time.

    A blank disk gets its id, and a hard state without a vote, before anybody is told of it. It keeps them if
    its process ends before a group is founded. A disk that has an id but no hard state may have voted, and
    would vote twice in a term under its old id, so that it gets a new one."""
    stored = store.load()
    if stored is not None and HARD_STATE in stored:
        return DiskContents(store.identity(), stored, first_start or FIRST_START in stored)
    if first_start:
        store.save({FIRST_START: b"1"})
    disk = store.identity(renew=True)
    store.save({HARD_STATE: blank_hard_state()})
    return DiskContents(disk, None, first_start)
