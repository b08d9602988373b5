"""The log of configurations: a snapshot, the entries behind it, and their durable form."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from attrs import define, field

from larklb.consensus.errors import ConsensusError, MalformedError
from larklb.consensus.history import History
from larklb.consensus.words import mapping, names, number, string

KEPT_BYTES = 65536  # of committed entries kept behind the snapshot: who lags gets small ones by ...
KEPT_ENTRIES = 32  # ... themselves; a large document isn't cheaper as an entry than as a snapshot


def encode(value: object) -> bytes:
    """A value as compact JSON."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode("utf-8", "surrogatepass")


def decode(value: bytes) -> dict[str, Any]:
    """Raises MalformedError."""
    try:
        decoded = json.loads(value.decode("utf-8", "surrogatepass"))
    except ValueError as error:
        raise MalformedError("a stored value is no JSON") from error
    if not isinstance(decoded, dict):
        raise MalformedError("a stored value is no object")
    return decoded


def _document(source: dict[str, Any]) -> dict[str, Any] | None:
    document = source.get("document")
    if document is None:
        return None
    number(mapping(source, "document"), "version")
    return mapping(source, "document")


def _version(document: dict[str, Any] | None) -> int:
    return number(document, "version") if document else 0


@define(frozen=True)
class Entry:
    """One entry. ``encoded`` is the document's JSON, kept so that it is made once in the entry's life."""

    index: int
    term: int
    kind: str
    document: dict[str, Any] | None = None
    identity: str = ""
    voters: dict[str, str] = field(factory=dict)
    encoded: bytes = b""

    def word(self) -> dict[str, Any]:
        """As it goes into a message."""
        word: dict[str, Any] = {"index": self.index, "term": self.term, "kind": self.kind}
        if self.kind == "document":
            word |= {"identity": self.identity, "document": self.document}
        elif self.kind == "voters":
            word["voters"] = self.voters
        return word

    def stored(self) -> bytes:
        """Its durable form."""
        head = encode(
            {
                "index": self.index,
                "term": self.term,
                "kind": self.kind,
                "identity": self.identity,
                "voters": self.voters,
            }
        )
        return head[:-1] + b',"document":' + (self.encoded or b"null") + b"}"

    @classmethod
    def read(cls, source: Any) -> Entry:
        """From a message or from the disk. Raises MalformedError."""
        if not isinstance(source, dict):
            raise MalformedError("an entry is no object")
        kind = string(source, "kind")
        index, term = number(source, "index"), number(source, "term")
        if kind == "document":
            document = _document(source)
            if document is None:
                raise MalformedError("an entry lacks its document")
            return cls(index, term, kind, document, string(source, "identity"), {}, encode(document))
        if kind == "voters":
            return cls(index, term, kind, voters=names(source, "voters"))
        if kind != "noop":
            raise MalformedError("an entry of an unknown kind")
        return cls(index, term, kind)


@define(frozen=True)
class Snapshot:
    """All committed state up to ``index``; index -1 is a blank one, of no group."""

    index: int = -1
    term: int = -1
    voters: dict[str, str] = field(factory=dict)
    history: History = History()
    document: dict[str, Any] | None = None
    encoded: bytes = b""

    def _head(self) -> dict[str, Any]:
        return {
            "index": self.index,
            "term": self.term,
            "voters": self.voters,
            "history": self.history.stored(),
        }

    def word(self) -> dict[str, Any]:
        """As it goes into a message."""
        return self._head() | {"document": self.document}

    def stored(self) -> bytes:
        """Its durable form."""
        return encode(self._head())[:-1] + b',"document":' + (self.encoded or b"null") + b"}"

    @classmethod
    def read(cls, source: dict[str, Any]) -> Snapshot:
        """Raises MalformedError."""
        document = _document(source)
        history = History.read(source.get("history"), _version(document))
        return cls(
            number(source, "index"),
            number(source, "term"),
            names(source, "voters"),
            history,
            document,
            encode(document) if document else b"",
        )

    def with_entry(self, entry: Entry) -> Snapshot:
        """The state after the next entry."""
        if entry.index != self.index + 1:
            raise ConsensusError("an entry was taken out of its turn")
        voters, history, document, encoded = self.voters, self.history, self.document, self.encoded
        if entry.kind == "document":
            history = history.with_change(_version(document), entry.identity)
            document, encoded = entry.document, entry.encoded
        elif entry.kind == "voters":
            voters = entry.voters
        return Snapshot(entry.index, entry.term, voters, history, document, encoded)


@define
class Log:
    """``base`` is the snapshot, ``entries`` follow it, ``state`` is base with all that is committed."""

    group_id: str = ""
    base: Snapshot = field(factory=Snapshot)
    entries: list[Entry] = field(factory=list)
    state: Snapshot = field(factory=Snapshot)

    @classmethod
    def founded(cls, group_id: str, voters: dict[str, str]) -> Log:
        """The log of a new group, with nothing but its voters."""
        base = Snapshot(0, 0, dict(voters))
        return cls(group_id, base, [], base)

    @classmethod
    def read(cls, value: bytes) -> Log:
        """From its durable form. Raises MalformedError."""
        source = decode(value)
        entries = source.get("entries")
        if not isinstance(entries, list):
            raise MalformedError("entries is no list")
        base = Snapshot.read(mapping(source, "snapshot"))
        log = cls(string(source, "nonce"), base, [Entry.read(entry) for entry in entries], base)
        if [entry.index for entry in log.entries] != list(range(base.index + 1, log.last + 1)):
            raise MalformedError("the stored log has a gap")
        log.advance(number(source, "commit"))
        return log

    def stored(self) -> bytes:
        """Its durable form."""
        head = encode({"nonce": self.group_id, "commit": self.commit})
        return (
            head[:-1]
            + b',"snapshot":'
            + self.base.stored()
            + b',"entries":['
            + b",".join(entry.stored() for entry in self.entries)
            + b"]}"
        )

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self.entries)

    @property
    def commit(self) -> int:
        """Index up to which the log is known to be committed."""
        return self.state.index

    @property
    def end(self) -> tuple[int, int]:
        """(term, index) of the last entry: what logs are compared by."""
        return (self.entries[-1].term if self.entries else self.base.term), self.last

    @property
    def voters(self) -> dict[str, str]:
        """Of the newest entry that names them, committed or not: a change counts from its append on."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return entry.voters
        return self.base.voters

    def term_at(self, index: int) -> int | None:
        """None where the log doesn't reach."""
        if index == self.base.index:
            return self.base.term
        if not self.base.index < index <= self.last:
            return None
        return self.entries[index - self.base.index - 1].term

    def after(self, index: int, most: int) -> list[Entry]:
        """Up to ``most`` entries behind an index."""
        start = index - self.base.index
        return self.entries[start : start + most]

    def pending(self, kind: str) -> bool:
        """Whether an entry of the kind is appended and not committed."""
        return any(entry.kind == kind for entry in self.entries[max(0, self.commit - self.base.index) :])

    def append(self, entry: Entry) -> None:
        """Adds the next entry; ConsensusError where it is another."""
        if entry.index != self.last + 1:
            raise ConsensusError("an entry was appended out of its turn")
        self.entries.append(entry)

    def merge(self, prev: int, entries: Iterable[Entry]) -> bool:
        """Take a leader's entries behind the matching index ``prev``; whether anything changed.

        What conflicts goes, with all behind it; what only repeats stays, and so does what lies further
        behind: an older message that comes late must not cut off what a newer one has brought."""
        changed = False
        for entry in entries:
            if entry.index <= self.commit:
                continue
            have = self.term_at(entry.index)
            if have == entry.term:
                continue
            if have is not None:
                del self.entries[entry.index - self.base.index - 1 :]
            self.append(entry)
            changed = True
        return changed

    def advance(self, index: int) -> bool:
        """Commit up to ``index`` (at most to the end of the log); whether that is news."""
        index = min(index, self.last)
        if index <= self.commit:
            return False
        for entry in self.after(self.commit, index - self.commit):
            self.state = self.state.with_entry(entry)
        return True

    def fold(self) -> None:
        """Put committed entries into the snapshot when too much of them is kept."""
        done = self.entries[: self.commit - self.base.index]
        if len(done) > KEPT_ENTRIES or sum(len(entry.encoded) for entry in done) > KEPT_BYTES:
            del self.entries[: len(done)]
            self.base = self.state

    def install(self, snapshot: Snapshot) -> bool:
        """Take a leader's snapshot in place of the log; whether it was news."""
        if snapshot.index <= self.commit:
            return False
        follows = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.after(snapshot.index, len(self.entries)) if follows else []
        self.base = self.state = snapshot
        return True
