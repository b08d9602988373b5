"""Which change was taken on top of which version, so that a repeated call gets the answer it had.

At most one change is ever taken on a version, and it stays known by its identity, a digest of the whole call.
A call on an older version is then one of three: the change that was taken there (answered 200 again), another
one (412 for good), or on a version so old that its successor is no longer kept: that must stay unclear.

Kept are the last ``MAX_HISTORY`` changes. An operator repeats a call until it has a clear answer, which takes
seconds, with eight calls under way at most; one change takes two disk syncs at least (some 5 ms), so that
1,024 are never taken within 5 s, the time in which an acknowledgement is due. At 5,700 changes a day they
reach back 4.3 hours. In a snapshot they take 45 bytes each, 46 KB at the most.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

from attrs import define

from larklb.consensus.errors import MalformedError

MAX_HISTORY = 1024


class ChangeOutcome(Enum):
    """What is known of a call that builds on another version than the current one."""

    APPLIED = auto()  # that very call was taken
    REJECTED = auto()  # it was not taken, and never will be
    UNKNOWN = auto()  # too long ago to tell


@define(frozen=True)
class History:
    """``taken``: (base version, identity) of each change, oldest first; ``floor``: the successors of versions
    below it are forgotten."""

    changes: tuple[tuple[int, str], ...] = ()
    floor: int = 0

    def with_change(self, base: int, identity: str) -> History:
        """After one more change on the version ``base``."""
        taken = (*self.changes, (base, identity))
        if len(taken) <= MAX_HISTORY:
            return History(taken, self.floor)
        kept = taken[len(taken) - MAX_HISTORY :]
        return History(kept, kept[0][0])

    def outcome_of(self, base: int, identity: str, current: int) -> ChangeOutcome:
        """A call on ``base``, which is not the ``current`` version."""
        if base > current:
            return ChangeOutcome.REJECTED
        if base < self.floor:
            return ChangeOutcome.UNKNOWN
        known = any(taken == (base, identity) for taken in reversed(self.changes))
        return ChangeOutcome.APPLIED if known else ChangeOutcome.REJECTED

    def to_json(self) -> dict[str, Any]:
        """As JSON values."""
        return {"floor": self.floor, "taken": [list(taken) for taken in self.changes]}

    @classmethod
    def from_json(cls, source: Any, current: int) -> History:
        """From JSON values. Raises MalformedError.

        A list of identities alone is of an older release, which didn't keep the versions they built on:
        nothing before ``current`` is known then."""
        if isinstance(source, list):
            return cls((), current)
        if not isinstance(source, dict) or type(source.get("floor")) is not int:
            raise MalformedError("history is no object with a floor")
        taken = source.get("taken")
        if not isinstance(taken, list) or len(taken) > MAX_HISTORY:
            raise MalformedError("history is no list of changes")
        if not all(
            isinstance(row, list) and len(row) == 2 and type(row[0]) is int and isinstance(row[1], str)
            for row in taken
        ):
            raise MalformedError("history holds what is no change")
        return cls(tuple((base, identity) for base, identity in taken), source["floor"])
