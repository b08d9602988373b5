"""The changes that were applied recently, which make the retry of a call idempotent.

At most one change is ever applied on top of a version. It is recorded with its identity, a digest of the
whole call. A call that builds on an older version is then one of three: the change that was applied there
(answered 200 again), a different change (answered 412, since it can no longer be applied), or a call on a
version so old that its successor is no longer recorded, whose outcome must be reported as unknown.

The last ``MAX_HISTORY`` changes are recorded. An operator retries a call until the answer is definite, which
takes seconds, with at most eight calls in flight. One change takes at least two disk syncs (some 5 ms), so
that 1,024 changes take more than 5 s, the time in which an acknowledgement is due. At 5,700 changes a day
they cover 4.3 hours. In a snapshot they take 45 bytes each, at most 46 KB.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

from attrs import define

from larklb.consensus.errors import MalformedError

MAX_HISTORY = 1024


class ChangeOutcome(Enum):
    """The outcome of a call that builds on a version other than the current one."""

    APPLIED = auto()  # this call was applied
    REJECTED = auto()  # this call was not applied and never will be
    UNKNOWN = auto()  # the version is too old to tell


@define(frozen=True)
class History:
    """The recorded changes.

    ``changes`` holds the (base version, identity) of each change, oldest first. The successors of versions
    below ``floor`` are no longer recorded.
    """

    changes: tuple[tuple[int, str], ...] = ()
    floor: int = 0

    def with_change(self, base: int, identity: str) -> History:
        """Returns the history after one more change, which builds on the version ``base``."""
        changes = (*self.changes, (base, identity))
        if len(changes) <= MAX_HISTORY:
            return History(changes, self.floor)
        retained = changes[len(changes) - MAX_HISTORY :]
        return History(retained, retained[0][0])

    def outcome_of(self, base: int, identity: str, current: int) -> ChangeOutcome:
        """Returns the outcome of a call on ``base``, a version other than ``current``."""
        if base > current:
            return ChangeOutcome.REJECTED
        if base < self.floor:
            return ChangeOutcome.UNKNOWN
        applied = any(change == (base, identity) for change in reversed(self.changes))
        return ChangeOutcome.APPLIED if applied else ChangeOutcome.REJECTED

    def to_json(self) -> dict[str, Any]:
        """Returns the stored form as JSON values."""
        return {"floor": self.floor, "taken": [list(change) for change in self.changes]}

    @classmethod
    def from_json(cls, source: Any, current: int) -> History:
        """Reads the stored form. Raises MalformedError.

        A plain list of identities was written by an older release, which didn't record the base versions.
        Nothing before ``current`` is known then.
        """
        if isinstance(source, list):
            return cls((), current)
        if not isinstance(source, dict) or type(source.get("floor")) is not int:
            raise MalformedError("the history is not an object with an integer floor")
        changes = source.get("taken")
        if not isinstance(changes, list) or len(changes) > MAX_HISTORY:
            raise MalformedError(f"the history is not a list of at most {MAX_HISTORY} changes")
        if not all(
            isinstance(row, list) and len(row) == 2 and type(row[0]) is int and isinstance(row[1], str)
            for row in changes
        ):
            raise MalformedError("the history has an entry that is not a pair of version and identity")
        return cls(tuple((base, identity) for base, identity in changes), source["floor"])
