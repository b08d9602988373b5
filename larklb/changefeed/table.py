"""An in-memory table of rows, each with the revision of its last change.

A reader that has the table at some revision gets the changes since then: the rows with a higher revision, and
the removals.  Only a bounded number of removals is kept.  A reader that lacks older ones, or that has another
incarnation of the table, starts at revision 0 and gets all rows.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any

from attrs import define, field

# Older removals are dropped; a reader that is further behind gets the whole table.
MAX_REMOVALS = 20_000

Row = dict[str, Any]


@define(frozen=True)
class Event:
    """One change: the row of a kind and key from this revision on, or None if it was removed."""

    revision: int
    kind: str
    key: str
    row: Row | None


@define
class Table:
    """The current rows, in the order of their last change, and the latest removals."""

    max_removals: int = MAX_REMOVALS
    revision: int = 0
    # All removals after this revision are still known.
    complete_since: int = 0
    rows: dict[tuple[str, str], Event] = field(factory=dict)
    removed: deque[Event] = field(factory=deque)

    def put(self, kind: str, key: str, row: Row | None) -> bool:
        """Sets a row, or removes it if ``row`` is None; returns whether this is a change."""
        old_event = self.rows.get((kind, key))
        if (old_event.row if old_event is not None else None) == row:
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
        """Returns the current row, or None if there is none."""
        event = self.rows.get((kind, key))
        return event.row if event is not None else None

    def rows_of(self, kind: str) -> Iterator[tuple[str, Row]]:
        """Iterates over all rows of a kind with their keys."""
        for (row_kind, key), event in self.rows.items():
            if row_kind == kind and event.row is not None:
                yield key, event.row

    def changes_since(self, revision: int) -> list[Event] | None:
        """Returns the changes after a revision in order, or None if they are no longer known.

        For revision 0 these are all rows, without removals."""
        if revision > self.revision or 0 < revision < self.complete_since:
            return None
        events = []
        for event in reversed(self.rows.values()):
            if event.revision <= revision:
                break
            events.append(event)
        if revision:
            for event in reversed(self.removed):
                if event.revision <= revision:
                    break
                if (event.kind, event.key) not in self.rows:
                    events.append(event)
            events.sort(key=lambda e: -e.revision)
        events.reverse()
        return events
