"""Audit of a ledger: reads it without changing it and compares its sums."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from larklb.export import tally as t
from larklb.state.log import LogError, replay

# Attempts at a consistent read of a ledger that is in use.
MAX_READS = 3


def read(folder: Path) -> t.Tally:
    """Returns the tally of a ledger's log; raises LogError if the log is corrupt or inconsistent."""
    path = folder / "ledger.log"
    try:
        return t.replay_records(replay(path).records)
    except (msgspec.DecodeError, KeyError) as error:
        raise LogError(f"{path}: its records make no sense: {error}") from error


@dataclass
class Audit:
    """The audit of one instance; ``received`` is None if there was no receiver's folder to compare with."""

    name: str
    tally: t.Tally
    uncut: t.Sum
    waiting: t.Sum
    received: t.Sum | None
    differences: list[str] = field(default_factory=list)

    def row(self) -> dict[str, Any]:
        """Returns the sums for the output of a command."""
        return {"name": self.name, "counted": _sum_text(self.tally.counted), "uncut": _sum_text(self.uncut),
                "sealed": _sum_text(self.tally.cut), "waiting": _sum_text(self.waiting),
                "acknowledged": _sum_text(self.tally.acked),
                "received": "-" if self.received is None else _sum_text(self.received),
                "differences": len(self.differences)}


def _sum_text(s: t.Sum) -> str:
    return f"{t.format_units(s.units)} in {s.tries}"


def audit(folder: Path, name: str, received: Path | None = None) -> Audit:
    """Audits a ledger; raises LogError if its log is corrupt.

    Every counted unit must be either uncut or sealed.  Every sealed unit must either wait in a batch, with
    the same sum as its file, or be acknowledged.  If ``received`` names a folder of received
    batches, the acknowledged units must be among them, each event once.
    """
    for _ in range(MAX_READS):
        tally = read(folder)
        files = {b.seq: _read_batch(folder, name, b) for b in tally.batches.values() if b.sealed}
        again = read(folder)
        if again.acked == tally.acked and again.cut == tally.cut:
            # No batch was sealed or acknowledged between reading the log and the files.
            break
    uncut, waiting = t.Sum(), t.Sum()
    for units, tries in tally.rows.values():
        uncut.add(units, tries)
    found = Audit(name, tally, uncut, waiting, None)
    for batch in tally.batches.values():
        waiting.add(batch.total.units, batch.total.tries)
        if batch.sealed:
            _compare_batch(found, batch, files[batch.seq])
    _check_equal(found, "counted", tally.counted, "uncut and sealed", uncut, tally.cut)
    _check_equal(found, "sealed", tally.cut, "waiting and acknowledged", waiting, tally.acked)
    if received is not None:
        _compare_received(found, received)
    return found


def _read_batch(folder: Path, name: str, batch: t.Batch) -> bytes | None:
    try:
        return (folder / "outbox" / f"{t.batch_id(name, batch)}.json").read_bytes()
    except OSError:
        return None


def _compare_batch(found: Audit, batch: t.Batch, data: bytes | None) -> None:
    name = t.batch_id(found.name, batch)
    if data is None:
        found.differences.append(f"batch {name} is sealed, and its file is missing")
        return
    try:
        total, _ = t.batch_sum(data)
    except (msgspec.DecodeError, KeyError, ValueError, TypeError) as error:
        found.differences.append(f"batch {name}: its file cannot be read: {error}")
        return
    if total != batch.total:
        found.differences.append(
            f"batch {name}: sealed {_sum_text(batch.total)}, its file says {_sum_text(total)}")


def _check_equal(found: Audit, name: str, whole: t.Sum, parts: str, a: t.Sum, b: t.Sum) -> None:
    total = t.Sum(a.units + b.units, a.tries + b.tries)
    if whole != total:
        found.differences.append(f"{name}: {_sum_text(whole)}, but {parts} are {_sum_text(total)}")


def _compare_received(found: Audit, folder: Path) -> None:
    """Compares with the batches that a receiver stored; each event counts once, by its id."""
    events: dict[str, tuple[int, int]] = {}
    for path in sorted(folder.glob(f"{found.name}-*.json")) if folder.is_dir() else ():
        try:
            _, batch = t.batch_sum(path.read_bytes())
            for e in batch:
                content = t.parse_units(e["data"]["units"]), int(e["data"]["tries"])
                if events.setdefault(e["id"], content) != content:
                    found.differences.append(f"event {e['id']} was received with two contents")
        except (msgspec.DecodeError, KeyError, ValueError, TypeError) as error:
            found.differences.append(f"{path}: it cannot be read: {error}")
    total = t.Sum()
    for units, tries in events.values():
        total.add(units, tries)
    found.received = total
    sealed_total = t.Sum(found.tally.acked.units + found.waiting.units,
                         found.tally.acked.tries + found.waiting.tries)
    if total.units < found.tally.acked.units or total.tries < found.tally.acked.tries:
        found.differences.append(f"acknowledged {_sum_text(found.tally.acked)}, received {_sum_text(total)}")
    elif total.units > sealed_total.units or total.tries > sealed_total.tries:
        found.differences.append(
            f"received {_sum_text(total)}, more than was sealed: {_sum_text(sealed_total)}")
