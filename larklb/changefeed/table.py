"""A table of rows, each with the revision of its last change, folded from a bounded journal of events.

Whoever has seen the table at one revision is told what has changed since: the rows whose revision is higher,
and the removals, which the journal alone remembers.  Who has seen it longer ago than the journal reaches, or
another life of it, begins at revision 0 and gets all rows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any

from attrs import define, field

MOST_EVENTS = 20_000  # removals older than these are forgotten: whoever is further behind starts anew

Row = dict[str, Any]


@define(frozen=True)
class Event:
    """One change: the row of a kind and key as it is from this revision on; None where it was removed."""

    rev: int
    kind: str
    key: str
    row: Row | None


@define
class Table:
    """The rows now, in the order of their last change."""

    most: int = MOST_EVENTS
    rev: int = 0
    floor: int = 0  # changes after this revision are all known
    rows: dict[tuple[str, str], Event] = field(factory=dict)
    removed: deque[Event] = field(factory=deque)

    def put(self, kind: str, key: str, row: Row | None) -> bool:
        """Appends a change and folds it; False where it would change nothing."""
        known = self.rows.get((kind, key))
        if (known.row if known is not None else None) == row:
            return False
        self.rev += 1
        event = Event(self.rev, kind, key, row)
        self.rows.pop((kind, key), None)
        if row is not None:
            self.rows[kind, key] = event
            return True
        self.removed.append(event)
        if len(self.removed) > self.most:
            self.floor = self.removed.popleft().rev
        return True

    def get(self, kind: str, key: str) -> Row | None:
        """The row now, None where there is none."""
        event = self.rows.get((kind, key))
        return event.row if event is not None else None

    def of(self, kind: str) -> Iterator[tuple[str, Row]]:
        """All rows of a kind with their keys."""
        for (kind_, key), event in self.rows.items():
            if kind_ == kind and event.row is not None:
                yield key, event.row

    def since(self, rev: int) -> list[Event] | None:
        """What has changed after a revision, in order; None where that can't be told any more.

        After 0 these are all rows, without removals."""
        if rev > self.rev or 0 < rev < self.floor:
            return None
        found = []
        for event in reversed(self.rows.values()):
            if event.rev <= rev:
                break
            found.append(event)
        if rev:
            for event in reversed(self.removed):
                if event.rev <= rev:
                    break
                if (event.kind, event.key) not in self.rows:
                    found.append(event)
            found.sort(key=lambda e: -e.rev)
        found.reverse()
        return found
