"""What the ledger's records add up to.  The same records give the same sums, batches and bytes in any
process.

A try is *begun* before its first byte goes out and *ended* when nothing of it is out any more.  It counts
once it has ended, unless no attempt of it left whole: then no node can have begun it.  A try that was in
flight when its process died counts as used, because its count stands before its bytes, and is listed as
in doubt.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any, NamedTuple

import msgspec

MICRO = 1_000_000          # units are kept as whole millionths, so that sums are exact
BATCH = 500                # events in a batch: some 200 KB, which a receiver takes in one request
MOST_DOUBTS = 1000         # in-flight tries that are listed; older ones are counted on, unlisted
PERIODS = 400              # whose sums are kept apart; older ones are one sum


class Key(NamedTuple):
    """What use is told apart by."""

    period: int            # its begin, Unix seconds
    account: str
    plan: str
    version: int
    service: str
    reservation: int
    beyond: bool


class Started(msgspec.Struct, array_like=True, tag=1):
    """A process begins; what the one before it left in flight is settled here."""

    incarnation: int
    wall: float


class Begun(msgspec.Struct, array_like=True, tag=2):
    n: int
    job: str
    key: Key
    units: int


class Ended(msgspec.Struct, array_like=True, tag=3):
    sent: list[int]
    unsent: list[int]


class Used(msgspec.Struct, array_like=True, tag=4):
    """A granted question: final at once."""

    key: Key
    units: int


class Cut(msgspec.Struct, array_like=True, tag=5):
    """So many rows, the oldest, are from here on these batches' and nobody else's."""

    first: int
    batches: int
    wall: float


class Sealed(msgspec.Struct, array_like=True, tag=6):
    """The batch is durable as a file and may go out."""

    seq: int


class Acked(msgspec.Struct, array_like=True, tag=7):
    """The receiver has it."""

    seq: int


class Row(msgspec.Struct, array_like=True):
    key: Key
    units: int
    tries: int


class Sum(msgspec.Struct, array_like=True):
    """Units in millionths, and tries."""

    units: int = 0
    tries: int = 0

    def add(self, units: int, tries: int = 1) -> None:
        self.units += units
        self.tries += tries


class Batch(msgspec.Struct, array_like=True):
    """Rows that were cut off; once sealed the file has them, and only their sum is kept."""

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
    """All that the records before it add up to."""

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
    """The state that the records lead to."""

    incarnation: int = 0
    next_seq: int = 1
    rows: dict[Key, list[int]] = field(default_factory=dict)      # units and tries not yet cut
    begun: dict[int, Begun] = field(default_factory=dict)
    batches: dict[int, Batch] = field(default_factory=dict)       # cut and not acknowledged
    counted: Sum = field(default_factory=Sum)
    cut: Sum = field(default_factory=Sum)
    acked: Sum = field(default_factory=Sum)
    periods: dict[int, Sum] = field(default_factory=dict)
    doubts: list[Doubt] = field(default_factory=list)
    in_doubt: int = 0

    def apply(self, r: Record) -> None:
        match r:
            case Begun():
                self.begun[r.n] = r
            case Ended():
                # A begin is missing where the disk took nothing for longer than memory holds.
                for n in r.sent:
                    if (b := self.begun.pop(n, None)) is not None:
                        self._count(b.key, b.units)
                for n in r.unsent:
                    self.begun.pop(n, None)
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
            while len(self.periods) > PERIODS:
                first, second = sorted(self.periods)[:2]
                old = self.periods.pop(first)
                self.periods[second].add(old.units, old.tries)
        period.add(units)

    def _started(self, r: Started) -> None:
        for b in self.begun.values():
            self._count(b.key, b.units)
            self.doubts.append(Doubt(b.job, b.key, b.units, self.incarnation))
        self.in_doubt += len(self.begun)
        del self.doubts[:-MOST_DOUBTS]
        self.begun.clear()
        self.incarnation = r.incarnation

    def _cut(self, r: Cut) -> None:
        for seq in range(r.first, r.first + r.batches):
            keys = list(itertools.islice(self.rows, BATCH))
            batch = Batch(seq, self.incarnation, r.wall, [Row(k, *self.rows.pop(k)) for k in keys], Sum())
            for row in batch.rows:
                batch.total.add(row.units, row.tries)
            self.cut.add(batch.total.units, batch.total.tries)
            self.batches[seq] = batch
        self.next_seq = r.first + r.batches

    def base(self) -> Base:
        return Base(self.incarnation, self.next_seq, [Row(k, *v) for k, v in self.rows.items()],
                    list(self.begun.values()), list(self.batches.values()), self.counted, self.cut,
                    self.acked, self.periods, self.doubts, self.in_doubt)

    def _base(self, r: Base) -> None:
        self.incarnation, self.next_seq = r.incarnation, r.next_seq
        self.rows = {row.key: [row.units, row.tries] for row in r.rows}
        self.begun = {b.n: b for b in r.begun}
        self.batches = {b.seq: b for b in r.batches}
        self.counted, self.cut, self.acked = r.counted, r.cut, r.acked
        self.periods, self.doubts, self.in_doubt = r.periods, r.doubts, r.in_doubt

    def batches_needed(self) -> int:
        return -(-len(self.rows) // BATCH)


def replay_records(payloads: Iterable[bytes]) -> Tally:
    """The state after all records; msgspec.DecodeError or KeyError where they make no sense."""
    tally = Tally()
    for payload in payloads:
        tally.apply(decoder.decode(payload))
    return tally


# Events ---------------------------------------------------------------------------------


class Use(msgspec.Struct, rename="camel"):
    """The data of one event: use of one account under one plan version in one period."""

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


def instant(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds").replace("+00:00", "Z")


def units_text(units: int) -> str:
    """Millionths as a decimal number, exact and without trailing zeros."""
    whole, rest = divmod(units, MICRO)
    return f"{whole}.{rest:06d}".rstrip("0") if rest else str(whole)


def units_of(text: str) -> int:
    whole, _, rest = text.partition(".")
    return int(whole) * MICRO + int(rest.ljust(6, "0") or 0)


def batch_id(instance: str, batch: Batch) -> str:
    return f"{instance}-{batch.incarnation}-{batch.seq}"


def events(instance: str, batch: Batch) -> Iterator[Event]:
    name = batch_id(instance, batch)
    for i, row in enumerate(batch.rows):
        k = row.key
        yield Event(f"{name}-{i}", f"/larklb/{instance}", EVENT_TYPE, k.account, instant(batch.wall / 1000.0),
                    "1.0", "application/json",
                    Use(instant(k.period), k.account, k.plan, k.version, k.service, units_text(row.units),
                        row.tries, f"{k.reservation:08x}" if k.reservation else "", k.beyond))


def batch_bytes(instance: str, batch: Batch) -> bytes:
    """The batch as it goes out; the same rows give the same bytes."""
    return msgspec.json.encode(list(events(instance, batch)))


def batch_sum(data: bytes) -> tuple[Sum, list[dict[str, Any]]]:
    """What a batch says in all, and its events."""
    total, found = Sum(), msgspec.json.decode(data)
    for event in found:
        total.add(units_of(event["data"]["units"]), event["data"]["tries"])
    return total, found
