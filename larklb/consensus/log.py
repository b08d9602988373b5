"""The replicated log of configurations: a snapshot, the entries that follow it, and their stored form."""

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

# Committed entries are retained after the snapshot up to these limits, so that a lagging follower can be sent
# small entries one by one. A large document is no cheaper to send as an entry than as a snapshot.
MAX_RETAINED_BYTES = 65536
MAX_RETAINED_ENTRIES = 32


def encode(value: object) -> bytes:
    """Encodes a value as compact JSON."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode("utf-8", "surrogatepass")


def decode(value: bytes) -> dict[str, Any]:
    """Decodes a stored JSON object. Raises MalformedError.

    An earlier version may have stored halves of surrogate pairs, which can't be sent to other machines. Each
    is replaced: no other disk can have it."""
    try:
        try:
            text = value.decode()
        except UnicodeDecodeError:
            text = (
                value.decode("utf-8", "surrogatepass")
                .encode("utf-16", "surrogatepass")
                .decode("utf-16", "replace")
            )
        decoded = json.loads(text)
    except ValueError as error:
        raise MalformedError("a stored value is not valid JSON") from error
    if not isinstance(decoded, dict):
        raise MalformedError("a stored value is not a JSON object")
    return decoded


class EntryRecord(msgspec.Struct, frozen=True):
    """The form of an entry in messages and on disk."""

    index: int
    term: int
    kind: Literal["noop", "document", "voters"]
    identity: str = ""
    voters: Disks = msgspec.field(default_factory=dict)
    document: dict[str, Any] | None = None


class SnapshotRecord(msgspec.Struct, frozen=True):
    """The form of a snapshot in messages and on disk; ``history`` is read by ``History.from_json``."""

    index: int
    term: int
    voters: Disks
    history: Any = None
    document: dict[str, Any] | None = None


class LogRecord(msgspec.Struct, frozen=True):
    """The form of a log on disk; ``nonce`` is the group id."""

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
        raise MalformedError("the version of a document is not an integer")
    return version


@define(frozen=True)
class Entry:
    """An entry of the log.

    ``kind`` is 'noop', 'document' or 'voters'. ``encoded`` is the JSON form of the document, which is stored
    here so that it is encoded only once.
    """

    index: int
    term: int
    kind: str
    document: dict[str, Any] | None = None
    identity: str = ""
    voters: dict[str, str] = field(factory=dict)
    encoded: bytes = b""

    def to_message(self) -> dict[str, Any]:
        """Returns the form for messages."""
        values: dict[str, Any] = {"index": self.index, "term": self.term, "kind": self.kind}
        if self.kind == "document":
            values |= {"identity": self.identity, "document": self.document}
        elif self.kind == "voters":
            values["voters"] = self.voters
        return values

    def to_bytes(self) -> bytes:
        """Returns the stored form."""
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
        """Reads the form used in messages. Raises MalformedError."""
        return cls.from_record(_convert(source, EntryRecord, "an entry"))

    @classmethod
    def from_record(cls, record: EntryRecord) -> Entry:
        """Converts a decoded record. Raises MalformedError."""
        if record.kind == "voters":
            return cls(record.index, record.term, record.kind, voters=record.voters)
        if record.kind == "noop":
            return cls(record.index, record.term, record.kind)
        document = record.document
        if document is None or not record.identity:
            raise MalformedError("an entry of kind 'document' lacks its document or its identity")
        _version(document)
        return cls(record.index, record.term, record.kind, document, record.identity, {}, encode(document))


@define(frozen=True)
class Snapshot:
    """All committed state up to ``index``, the last entry included, which is of the term ``term``.

    An index of -1 denotes the blank snapshot of a disk without a group.
    """

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
        """Returns the form for messages."""
        return self._head() | {"document": self.document}

    def to_bytes(self) -> bytes:
        """Returns the stored form."""
        return encode(self._head())[:-1] + b',"document":' + (self.encoded or b"null") + b"}"

    @classmethod
    def from_message(cls, source: dict[str, Any]) -> Snapshot:
        """Reads the form used in messages. Raises MalformedError."""
        return cls.from_record(_convert(source, SnapshotRecord, "a snapshot"))

    @classmethod
    def from_record(cls, record: SnapshotRecord) -> Snapshot:
        """Converts a decoded record. Raises MalformedError."""
        document = record.document
        history = History.from_json(record.history, _version(document))
        encoded = encode(document) if document else b""
        return cls(record.index, record.term, record.voters, history, document, encoded)

    def with_entry(self, entry: Entry) -> Snapshot:
        """Returns the state after the next entry. Raises ConsensusError if ``entry`` isn't the next one."""
        if entry.index != self.index + 1:
            raise ConsensusError(f"entry {entry.index} was applied after entry {self.index}")
        voters, history, document, encoded = self.voters, self.history, self.document, self.encoded
        if entry.kind == "document":
            history = history.with_change(_version(document), entry.identity)
            document, encoded = entry.document, entry.encoded
        elif entry.kind == "voters":
            voters = entry.voters
        return Snapshot(entry.index, entry.term, voters, history, document, encoded)


@define
class Log:
    """The log of a group.

    ``base`` is the snapshot, and ``entries`` are those that follow it, committed or not. ``state`` is the
    snapshot with all committed entries applied.
    """

    group_id: str = ""
    base: Snapshot = field(factory=Snapshot)
    entries: list[Entry] = field(factory=list)
    state: Snapshot = field(factory=Snapshot)

    @classmethod
    def for_new_group(cls, group_id: str, voters: dict[str, str]) -> Log:
        """Returns the log of a new group, which holds only its voters."""
        base = Snapshot(0, 0, dict(voters))
        return cls(group_id, base, [], base)

    @classmethod
    def from_bytes(cls, value: bytes) -> Log:
        """Reads the stored form. Raises MalformedError."""
        record = _convert(decode(value), LogRecord, "the log")
        base = Snapshot.from_record(record.snapshot)
        log = cls(record.nonce, base, [Entry.from_record(entry) for entry in record.entries], base)
        if [entry.index for entry in log.entries] != list(range(base.index + 1, log.last_index + 1)):
            raise MalformedError("the entries of the stored log are not consecutive")
        log.advance(record.commit)
        return log

    def to_bytes(self) -> bytes:
        """Returns the stored form."""
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
        """Index of the last entry that is known to be committed."""
        return self.state.index

    @property
    def last_position(self) -> tuple[int, int]:
        """(term, index) of the last entry, by which elections compare logs."""
        return (self.entries[-1].term if self.entries else self.base.term), self.last_index

    @property
    def voters(self) -> dict[str, str]:
        """The voters in the newest entry that lists them. A change is effective from its append on."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return entry.voters
        return self.base.voters

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at ``index``, or None if the log doesn't hold that entry."""
        if index == self.base.index:
            return self.base.term
        if not self.base.index < index <= self.last_index:
            return None
        return self.entries[index - self.base.index - 1].term

    def entries_after(self, index: int, limit: int) -> list[Entry]:
        """Returns up to ``limit`` entries that follow ``index``."""
        start = index - self.base.index
        return self.entries[start : start + limit]

    def has_uncommitted(self, kind: str) -> bool:
        """Returns whether an entry of this kind is appended but not yet committed."""
        return any(
            entry.kind == kind for entry in self.entries[max(0, self.commit_index - self.base.index) :]
        )

    def append(self, entry: Entry) -> None:
        """Appends the next entry. Raises ConsensusError if its index isn't the next one."""
        if entry.index != self.last_index + 1:
            raise ConsensusError(f"entry {entry.index} was appended after entry {self.last_index}")
        self.entries.append(entry)

    def merge(self, prev: int, entries: Iterable[Entry]) -> bool:
        """Merges a leader's entries that follow the matching index ``prev``; returns whether the log changed.

        An entry that conflicts is removed together with all that follow it. Entries that the log already
        holds stay, and so do those that follow them: an older message that arrives late must not truncate
        what a newer one has appended.
        """
        changed = False
        for entry in entries:
            if entry.index <= self.commit_index:
                continue
            own_term = self.term_at(entry.index)
            if own_term == entry.term:
                continue
            if own_term is not None:
                del self.entries[entry.index - self.base.index - 1 :]
            self.append(entry)
            changed = True
        return changed

    def advance(self, index: int) -> bool:
        """Commits up to ``index``, at most to the end of the log; returns whether that was an advance."""
        index = min(index, self.last_index)
        if index <= self.commit_index:
            return False
        for entry in self.entries_after(self.commit_index, index - self.commit_index):
            self.state = self.state.with_entry(entry)
        return True

    def compact(self) -> None:
        """Replaces the committed entries by a snapshot if they exceed the limits of what is retained."""
        committed = self.entries[: self.commit_index - self.base.index]
        if (
            len(committed) > MAX_RETAINED_ENTRIES
            or sum(len(entry.encoded) for entry in committed) > MAX_RETAINED_BYTES
        ):
            del self.entries[: len(committed)]
            self.base = self.state

    def install(self, snapshot: Snapshot) -> bool:
        """Replaces the log by a leader's snapshot, unless all that it covers is already committed here.

        Entries that follow the snapshot stay if the log agrees with it. Returns whether the log changed.
        """
        if snapshot.index <= self.commit_index:
            return False
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries_after(snapshot.index, len(self.entries)) if matches else []
        self.base = self.state = snapshot
        return True
