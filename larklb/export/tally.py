"""The state that the ledger's records lead to, as a deterministic state machine.

The same records give the same sums, batches and bytes in any process.

A try is *begun* before its first byte is sent and *ended* when no attempt of it is in flight any more.  It
counts once it has ended, unless no attempt was sent completely: then no node can have begun to execute it.
A try that was in flight when its process died counts as used, since its begin is written before its bytes are
sent, and is listed as in doubt.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any, NamedTuple

import msgspec

# Units are stored as whole millionths, so that sums are exact.
MICROUNITS_PER_UNIT = 1_000_000
# About 200 KB, which a receiver accepts in one request.
MAX_BATCH_EVENTS = 500
# Tries in doubt that are listed; older ones stay counted but are not listed.
MAX_LISTED_DOUBTS = 1000
# Periods with sums of their own; older ones are merged into one.
MAX_PERIODS = 400


class Key(NamedTuple):
    """The attributes by which use is grouped."""

    period: int            # begin, in Unix seconds
    account: str
    plan: str
    version: int
    service: str
    reservation: int
    beyond: bool


class Started(msgspec.Struct, array_like=True, tag=1):
    """A process has started; tries that the previous one left in flight become in doubt."""

    incarnation: int
    wall: float


class Begun(msgspec.Struct, array_like=True, tag=2):
    """A try has begun."""

    number: int
    job: str
    key: Key
    units: int


class Ended(msgspec.Struct, array_like=True, tag=3):
    """Tries have ended, by number: with an attempt that was sent completely, and without one."""

    sent: list[int]
    unsent: list[int]


class Used(msgspec.Struct, array_like=True, tag=4):
    """A granted request, which counts at once."""

    key: Key
    units: int


class Cut(msgspec.Struct, array_like=True, tag=5):
    """The oldest rows are assigned to new batches from number ``first`` on; ``wall`` is in Unix ms."""

    first: int
    batches: int
    wall: float


class Sealed(msgspec.Struct, array_like=True, tag=6):
    """The file of the batch is durable, so the batch may be sent."""

    seq: int


class Acked(msgspec.Struct, array_like=True, tag=7):
    """The receiver has acknowledged the batch."""

    seq: int


class Row(msgspec.Struct, array_like=True):
    """The use counted under one key, in millionths of units."""

    key: Key
    units: int
    tries: int


class Sum(msgspec.Struct, array_like=True):
    """A sum of units, in millionths, and of tries."""

    units: int = 0
    tries: int = 0

    def add(self, units: int, tries: int = 1) -> None:
        """Adds units, in millionths, and tries."""
        self.units += units
        self.tries += tries


class Batch(msgspec.Struct, array_like=True):
    """Rows that were cut; once the batch is sealed, its file holds the rows and only their sum stays here."""

    seq: int
    incarnation: int
    wall: float
    rows: list[Row]
    total: Sum
    sealed: bool = False


class Doubt(msgspec.Struct, array_like=True):
    """A try that was in flight when its process died."""

    job: str
    key: Key
    units: int
    incarnation: int


class Base(msgspec.Struct, array_like=True, tag=8):
    """The state after all records before this one, with which a compacted log begins."""

    incarnation: int
    next_seq: int
    rows: list[Row]
    begun: list[Begun]
    batches: list[Batch]
    counted: Sum
    cut: Sum
    acked: Sum
    periods: dict[int, Sum]
    doubts: list[Doubt]
    in_doubt: int


Record = Started | Begun | Ended | Used | Cut | Sealed | Acked | Base
encode = msgspec.msgpack.Encoder().encode
decoder = msgspec.msgpack.Decoder(Record)


@dataclass
class Tally:
    """The state after the records applied so far."""

    incarnation: int = 0
    next_seq: int = 1
    # Units, in millionths, and tries that are not yet cut into a batch.
    rows: dict[Key, list[int]] = field(default_factory=dict)
    begun: dict[int, Begun] = field(default_factory=dict)
    # Batches that are cut and not yet acknowledged.
    batches: dict[int, Batch] = field(default_factory=dict)
    counted: Sum = field(default_factory=Sum)
    cut: Sum = field(default_factory=Sum)
    acked: Sum = field(default_factory=Sum)
    periods: dict[int, Sum] = field(default_factory=dict)
    doubts: list[Doubt] = field(default_factory=list)
    in_doubt: int = 0

    def apply(self, r: Record) -> None:
        """Applies one record; raises KeyError if it refers to an unknown batch."""
        match r:
            case Begun():
                self.begun[r.number] = r
            case Ended():
                # A begin is missing if the log could not be written and the buffer in memory overflowed.
                for number in r.sent:
                    if (b := self.begun.pop(number, None)) is not None:
                        self._count(b.key, b.units)
                for number in r.unsent:
                    self.begun.pop(number, None)
            case Used():
                self._count(r.key, r.units)
            case Started():
                self._started(r)
            case Cut():
                self._cut(r)
            case Sealed():
                batch = self.batches[r.seq]
                batch.sealed, batch.rows = True, []
            case Acked():
                total = self.batches.pop(r.seq).total
                self.acked.add(total.units, total.tries)
            case Base():
                self._base(r)

    def _count(self, key: Key, units: int) -> None:
        row = self.rows.get(key)
        if row is None:
            self.rows[key] = [units, 1]
        else:
            row[0] += units
            row[1] += 1
        self.counted.add(units)
        period = self.periods.get(key.period)
        if period is None:
            period = self.periods[key.period] = Sum()
            while len(self.periods) > MAX_PERIODS:
                first, second = sorted(self.periods)[:2]
                old = self.periods.pop(first)
                self.periods[second].add(old.units, old.tries)
        period.add(units)

    def _started(self, r: Started) -> None:
        for b in self.begun.values():
            self._count(b.key, b.units)
            self.doubts.append(Doubt(b.job, b.key, b.units, self.incarnation))
        self.in_doubt += len(self.begun)
        del self.doubts[:-MAX_LISTED_DOUBTS]
        self.begun.clear()
        self.incarnation = r.incarnation

    def _cut(self, r: Cut) -> None:
        for seq in range(r.first, r.first + r.batches):
            keys = list(itertools.islice(self.rows, MAX_BATCH_EVENTS))
            batch = Batch(seq, self.incarnation, r.wall, [Row(k, *self.rows.pop(k)) for k in keys], Sum())
            for row in batch.rows:
                batch.total.add(row.units, row.tries)
            self.cut.add(batch.total.units, batch.total.tries)
            self.batches[seq] = batch
        self.next_seq = r.first + r.batches

    def base(self) -> Base:
        """Returns a record of the whole state."""
        return Base(self.incarnation, self.next_seq, [Row(k, *v) for k, v in self.rows.items()],
                    list(self.begun.values()), list(self.batches.values()), self.counted, self.cut,
                    self.acked, self.periods, self.doubts, self.in_doubt)

    def _base(self, r: Base) -> None:
        self.incarnation, self.next_seq = r.incarnation, r.next_seq
        self.rows = {row.key: [row.units, row.tries] for row in r.rows}
        self.begun = {b.number: b for b in r.begun}
        self.batches = {b.seq: b for b in r.batches}
        self.counted, self.cut, self.acked = r.counted, r.cut, r.acked
        self.periods, self.doubts, self.in_doubt = r.periods, r.doubts, r.in_doubt

    def batches_needed(self) -> int:
        """Returns the number of batches that the uncut rows fill."""
        return -(-len(self.rows) // MAX_BATCH_EVENTS)


def replay_records(payloads: Iterable[bytes]) -> Tally:
    """Returns the state after all records; raises msgspec.DecodeError or KeyError if they are invalid."""
    tally = Tally()
    for payload in payloads:
        tally.apply(decoder.decode(payload))
    return tally


# Events ---------------------------------------------------------------------------------


class Use(msgspec.Struct, rename="camel"):
    """The data of an event: the use of one account under one plan version in one period."""

    period_start: str
    account: str
    plan: str
    plan_version: int
    service_class: str
    units: str
    tries: int
    reservation: str = ""
    beyond_quota: bool = False


class Event(msgspec.Struct):
    """A CloudEvent in its JSON format (CloudEvents 1.0)."""

    id: str
    source: str
    type: str
    subject: str
    time: str
    specversion: str
    datacontenttype: str
    data: Use


EVENT_TYPE = "larklb.use.v1"
CONTENT_TYPE = b"application/cloudevents-batch+json"


def format_instant(seconds: float) -> str:
    """Formats a time in Unix seconds as RFC 3339 in UTC."""
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds").replace("+00:00", "Z")


def format_units(units: int) -> str:
    """Formats millionths as a decimal number of units, exactly and without trailing zeros."""
    whole, rest = divmod(units, MICROUNITS_PER_UNIT)
    return f"{whole}.{rest:06d}".rstrip("0") if rest else str(whole)


def parse_units(text: str) -> int:
    """Parses a decimal number of units into millionths; raises ValueError."""
    whole, _, rest = text.partition(".")
    return int(whole) * MICROUNITS_PER_UNIT + int(rest.ljust(6, "0") or 0)


def batch_id(instance: str, batch: Batch) -> str:
    """Returns the id of a batch, which is unique among all instances and incarnations."""
    return f"{instance}-{batch.incarnation}-{batch.seq}"


def events(instance: str, batch: Batch) -> Iterator[Event]:
    """Yields one event for each row of a batch."""
    name = batch_id(instance, batch)
    for i, row in enumerate(batch.rows):
        k = row.key
        yield Event(f"{name}-{i}", f"/larklb/{instance}", EVENT_TYPE, k.account,
                    format_instant(batch.wall / 1000.0), "1.0", "application/json",
                    Use(format_instant(k.period), k.account, k.plan, k.version, k.service,
                        format_units(row.units), row.tries,
                        f"{k.reservation:08x}" if k.reservation else "", k.beyond))


def batch_bytes(instance: str, batch: Batch) -> bytes:
    """Encodes a batch for delivery; the same rows give the same bytes."""
    return msgspec.json.encode(list(events(instance, batch)))


def batch_sum(data: bytes) -> tuple[Sum, list[dict[str, Any]]]:
    """Returns the sum and the events of an encoded batch.

    Raises msgspec.DecodeError, KeyError, TypeError or ValueError if the batch is malformed.
    """
    total, found = Sum(), msgspec.json.decode(data)
    for event in found:
        total.add(parse_units(event["data"]["units"]), event["data"]["tries"])
    return total, found
