"""The log of configurations: a snapshot, the entries behind it, and their durable form."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any, Literal, TypeVar

import msgspec
from attrs import define, field

from larklb.consensus.errors import ConsensusError, MalformedError
from larklb.consensus.group import Disks
from larklb.consensus.history import History

_Record = TypeVar("_Record", bound=msgspec.Struct)

MAX_RETAINED_BYTES = 65536  # of committed entries kept behind the snapshot: who lags gets small ones by ...
MAX_RETAINED_ENTRIES = 32  # ... themselves; a large document isn't cheaper as an entry than as a snapshot


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


class EntryRecord(msgspec.Struct, frozen=True):
    """An entry in messages and on the disk."""

    index: int
    term: int
    kind: Literal["noop", "document", "voters"]
    identity: str = ""
    voters: Disks = msgspec.field(default_factory=dict)
    document: dict[str, Any] | None = None


class SnapshotRecord(msgspec.Struct, frozen=True):
    """A snapshot in messages and on the disk; ``history`` as ``History.read`` has it."""

    index: int
    term: int
    voters: Disks
    history: Any = None
    document: dict[str, Any] | None = None


class LogRecord(msgspec.Struct, frozen=True):
    """A log on the disk."""

    nonce: str
    commit: int
    snapshot: SnapshotRecord
    entries: list[EntryRecord]


def _convert(source: Any, kind: type[_Record], name: str) -> _Record:
    try:
        return msgspec.convert(source, kind)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MalformedError(f"{name}: {error}") from error


def _version(document: dict[str, Any] | None) -> int:
    if not document:
        return 0
    version = document.get("version")
    if type(version) is not int:
        raise MalformedError("a document's version is no integer")
    return version


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

    def to_message(self) -> dict[str, Any]:
        """As it goes into a message."""
        values: dict[str, Any] = {"index": self.index, "term": self.term, "kind": self.kind}
        if self.kind == "document":
            values |= {"identity": self.identity, "document": self.document}
        elif self.kind == "voters":
            values["voters"] = self.voters
        return values

    def to_bytes(self) -> bytes:
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
    def from_message(cls, source: Any) -> Entry:
        """From a message. Raises MalformedError."""
        return cls.from_record(_convert(source, EntryRecord, "an entry"))

    @classmethod
    def from_record(cls, record: EntryRecord) -> Entry:
        """From its record. Raises MalformedError."""
        if record.kind == "voters":
            return cls(record.index, record.term, record.kind, voters=record.voters)
        if record.kind == "noop":
            return cls(record.index, record.term, record.kind)
        document = record.document
        if document is None or not record.identity:
            raise MalformedError("an entry lacks its document or its identity")
        _version(document)
        return cls(record.index, record.term, record.kind, document, record.identity, {}, encode(document))


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
            "history": self.history.to_json(),
        }

    def to_message(self) -> dict[str, Any]:
        """As it goes into a message."""
        return self._head() | {"document": self.document}

    def to_bytes(self) -> bytes:
        """Its durable form."""
        return encode(self._head())[:-1] + b',"document":' + (self.encoded or b"null") + b"}"

    @classmethod
    def from_message(cls, source: dict[str, Any]) -> Snapshot:
        """From a message. Raises MalformedError."""
        return cls.from_record(_convert(source, SnapshotRecord, "a snapshot"))

    @classmethod
    def from_record(cls, record: SnapshotRecord) -> Snapshot:
        """From its record. Raises MalformedError."""
        document = record.document
        history = History.from_json(record.history, _version(document))
        encoded = encode(document) if document else b""
        return cls(record.index, record.term, record.voters, history, document, encoded)

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
    def for_new_group(cls, group_id: str, voters: dict[str, str]) -> Log:
        """The log of a new group, with nothing but its voters."""
        base = Snapshot(0, 0, dict(voters))
        return cls(group_id, base, [], base)

    @classmethod
    def from_bytes(cls, value: bytes) -> Log:
        """From its durable form. Raises MalformedError."""
        record = _convert(decode(value), LogRecord, "the log")
        base = Snapshot.from_record(record.snapshot)
        log = cls(record.nonce, base, [Entry.from_record(entry) for entry in record.entries], base)
        if [entry.index for entry in log.entries] != list(range(base.index + 1, log.last_index + 1)):
            raise MalformedError("the stored log has a gap")
        log.advance(record.commit)
        return log

    def to_bytes(self) -> bytes:
        """Its durable form."""
        head = encode({"nonce": self.group_id, "commit": self.commit_index})
        return (
            head[:-1]
            + b',"snapshot":'
            + self.base.to_bytes()
            + b',"entries":['
            + b",".join(entry.to_bytes() for entry in self.entries)
            + b"]}"
        )

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self.entries)

    @property
    def commit_index(self) -> int:
        """Index up to which the log is known to be committed."""
        return self.state.index

    @property
    def last_position(self) -> tuple[int, int]:
        """(term, index) of the last entry: what logs are compared by."""
        return (self.entries[-1].term if self.entries else self.base.term), self.last_index

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
        if not self.base.index < index <= self.last_index:
            return None
        return self.entries[index - self.base.index - 1].term

    def entries_after(self, index: int, limit: int) -> list[Entry]:
        """Up to ``most`` entries behind an index."""
        start = index - self.base.index
        return self.entries[start : start + limit]

    def has_uncommitted(self, kind: str) -> bool:
        """Whether an entry of the kind is appended and not committed."""
        return any(
            entry.kind == kind for entry in self.entries[max(0, self.commit_index - self.base.index) :]
        )

    def append(self, entry: Entry) -> None:
        """Adds the next entry; ConsensusError where it is another."""
        if entry.index != self.last_index + 1:
            raise ConsensusError("an entry was appended out of its turn")
        self.entries.append(entry)

    def merge(self, prev: int, entries: Iterable[Entry]) -> bool:
        """Take a leader's entries behind the matching index ``prev``; whether anything changed.

        What conflicts goes, with all behind it; what only repeats stays, and so does what lies further
        behind: an older message that comes late must not cut off what a newer one has brought."""
        changed = False
        for entry in entries:
            if entry.index <= self.commit_index:
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
        index = min(index, self.last_index)
        if index <= self.commit_index:
            return False
        for entry in self.entries_after(self.commit_index, index - self.commit_index):
            self.state = self.state.with_entry(entry)
        return True

    def compact(self) -> None:
        """Put committed entries into the snapshot when too much of them is kept."""
        done = self.entries[: self.commit_index - self.base.index]
        if len(done) > MAX_RETAINED_ENTRIES or sum(len(entry.encoded) for entry in done) > MAX_RETAINED_BYTES:
            del self.entries[: len(done)]
            self.base = self.state

    def install(self, snapshot: Snapshot) -> bool:
        """Take a leader's snapshot in place of the log; whether it was news."""
        if snapshot.index <= self.commit_index:
            return False
        follows = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries_after(snapshot.index, len(self.entries)) if follows else []
        self.base = self.state = snapshot
        return True
