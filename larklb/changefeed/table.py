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

MAX_REMOVALS = 20_000  # removals older than these are forgotten: whoever is further behind starts anew

Row = dict[str, Any]


@define(frozen=True)
class Event:
    """One change: the row of a kind and key as it is from this revision on; None where it was removed."""

    revision: int
    kind: str
    key: str
    row: Row | None


@define
class Table:
    """The rows now, in the order of their last change."""

    max_removals: int = MAX_REMOVALS
    revision: int = 0
    complete_since: int = 0  # changes after this revision are all known
    rows: dict[tuple[str, str], Event] = field(factory=dict)
    removed: deque[Event] = field(factory=deque)

    def put(self, kind: str, key: str, row: Row | None) -> bool:
        """Appends a change and folds it; False where it would change nothing."""
        known = self.rows.get((kind, key))
        if (known.row if known is not None else None) == row:
            return False
        self.revision += 1
        event = Event(self.revision, kind, key, row)
        self.rows.pop((kind, key), None)
        if row is not None:
            self.rows[kind, key] = event
            return True
        self.removed.append(event)
        if len(self.removed) > self.max_removals:
            self.complete_since = self.removed.popleft().revision
        return True

    def get(self, kind: str, key: str) -> Row | None:
        """The row now, None where there is none."""
        event = self.rows.get((kind, key))
        return event.row if event is not None else None

    def rows_of(self, kind: str) -> Iterator[tuple[str, Row]]:
        """All rows of a kind with their keys."""
        for (kind_, key), event in self.rows.items():
            if kind_ == kind and event.row is not None:
                yield key, event.row

    def changes_since(self, rev: int) -> list[Event] | None:
        """What has changed after a revision, in order; None where that can't be told any more.

        After 0 these are all rows, without removals."""
        if rev > self.revision or 0 < rev < self.complete_since:
            return None
        found = []
        for event in reversed(self.rows.values()):
            if event.revision <= rev:
                break
            found.append(event)
        if rev:
            for event in reversed(self.removed):
                if event.revision <= rev:
                    break
                if (event.kind, event.key) not in self.rows:
                    found.append(event)
            found.sort(key=lambda e: -e.revision)
        found.reverse()
        return found
