"""Reads a ledger from outside, changes nothing, and lays its sums side by side."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from larklb.export import tally as t
from larklb.state.log import LogError, replay

PATIENCE = 3               # readings of a log that is being written anew meanwhile


def read(folder: Path) -> t.Tally:
    """What the log adds up to; LogError where it is broken or makes no sense."""
    path = folder / "ledger.log"
    try:
        return t.replay_records(replay(path).records)
    except (msgspec.DecodeError, KeyError) as error:
        raise LogError(f"{path}: its records make no sense: {error}") from error


@dataclass
class Audit:
    """Of one instance; ``received`` is None where nothing was laid beside it."""

    name: str
    tally: t.Tally
    uncut: t.Sum
    waiting: t.Sum
    received: t.Sum | None
    differences: list[str] = field(default_factory=list)

    def row(self) -> dict[str, Any]:
        return {"name": self.name, "counted": _told(self.tally.counted), "uncut": _told(self.uncut),
                "sealed": _told(self.tally.cut), "waiting": _told(self.waiting),
                "acknowledged": _told(self.tally.acked),
                "received": "-" if self.received is None else _told(self.received),
                "differences": len(self.differences)}


def _told(s: t.Sum) -> str:
    return f"{t.units_text(s.units)} in {s.tries}"


def audit(folder: Path, name: str, received: Path | None = None) -> Audit:
    """Every unit counted is uncut or sealed; every one sealed waits, as its file says, or is acknowledged;
    and what is acknowledged was received, each event once."""
    for _ in range(PATIENCE):
        tally = read(folder)
        files = {b.seq: _file(folder, name, b) for b in tally.batches.values() if b.sealed}
        again = read(folder)
        if again.acked == tally.acked and again.cut == tally.cut:
            break                          # nothing moved between the log and the files
    uncut, waiting = t.Sum(), t.Sum()
    for units, tries in tally.rows.values():
        uncut.add(units, tries)
    found = Audit(name, tally, uncut, waiting, None)
    for batch in tally.batches.values():
        waiting.add(batch.total.units, batch.total.tries)
        if batch.sealed:
            _compare(found, batch, files[batch.seq])
    _equal(found, "counted", tally.counted, "uncut and sealed", uncut, tally.cut)
    _equal(found, "sealed", tally.cut, "waiting and acknowledged", waiting, tally.acked)
    if received is not None:
        _received(found, received)
    return found


def _file(folder: Path, name: str, batch: t.Batch) -> bytes | None:
    try:
        return (folder / "outbox" / f"{t.batch_id(name, batch)}.json").read_bytes()
    except OSError:
        return None


def _compare(found: Audit, batch: t.Batch, data: bytes | None) -> None:
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
        found.differences.append(f"batch {name}: sealed {_told(batch.total)}, its file says {_told(total)}")


def _equal(found: Audit, name: str, whole: t.Sum, parts: str, a: t.Sum, b: t.Sum) -> None:
    total = t.Sum(a.units + b.units, a.tries + b.tries)
    if whole != total:
        found.differences.append(f"{name}: {_told(whole)}, but {parts} are {_told(total)}")


def _received(found: Audit, folder: Path) -> None:
    """Against batches as a receiver keeps them: each event counts once, by its id."""
    events: dict[str, tuple[int, int]] = {}
    for path in sorted(folder.glob(f"{found.name}-*.json")) if folder.is_dir() else ():
        try:
            _, batch = t.batch_sum(path.read_bytes())
            for e in batch:
                said = t.units_of(e["data"]["units"]), int(e["data"]["tries"])
                if events.setdefault(e["id"], said) != said:
                    found.differences.append(f"event {e['id']} was received with two contents")
        except (msgspec.DecodeError, KeyError, ValueError, TypeError) as error:
            found.differences.append(f"{path}: it cannot be read: {error}")
    total = t.Sum()
    for units, tries in events.values():
        total.add(units, tries)
    found.received = total
    at_most = t.Sum(found.tally.acked.units + found.waiting.units,
                    found.tally.acked.tries + found.waiting.tries)
    if total.units < found.tally.acked.units or total.tries < found.tally.acked.tries:
        found.differences.append(f"acknowledged {_told(found.tally.acked)}, received {_told(total)}")
    elif total.units > at_most.units or total.tries > at_most.tries:
        found.differences.append(f"received {_told(total)}, more than was sealed: {_told(at_most)}")
