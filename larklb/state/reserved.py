"""Reservations on the disk: each is there before its customer is told, each draw before its answer leaves."""

from __future__ import annotations

from pathlib import Path

import msgspec

from larklb import interface as io
from larklb.quota.reservations import Reservation, Reservations, State, Transition, Wanted
from larklb.state.log import Log, LogError, Step, replay

REWRITE = 256 * 1024       # bytes of draws after which the log is written anew


class _Added(msgspec.Struct, array_like=True, tag=1):
    wanted: Wanted
    owned: bool
    drawn: float = 0.0
    apart: dict[int, float] = {}
    cancelled: bool = False


class _Drew(msgspec.Struct, array_like=True, tag=2):
    tag: int
    units: float
    apart: bool
    by: int


class _Cancelled(msgspec.Struct, array_like=True, tag=3):
    name: str


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_Added | _Drew | _Cancelled)


def _load(payloads: list[bytes], into: Reservations, where: Path) -> None:
    for payload in payloads:
        try:
            record = _decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise LogError(f"{where}: a record of another version: {error}") from error
        match record:
            case _Added():
                r = into.insert(Reservation(record.wanted, record.owned, State.HELD, record.drawn,
                                            record.apart))
                if record.cancelled:
                    r.apply(Transition.CANCEL)
            case _Drew() if record.tag in into.by_tag:
                r = into.by_tag[record.tag]
                if record.apart:
                    r.remote_draws[record.by] = record.units
                else:
                    r.drawn = record.units
            case _Cancelled() if record.name in into.by_name:
                into.by_name[record.name].apply(Transition.CANCEL)


def look(path: Path, into: Reservations) -> None:
    """What a log says, read while another process may write it."""
    _load(replay(path).records, into, path)


class ReservationLog:
    """Fills a ``Reservations`` from the log, and keeps what changes."""

    def __init__(self, path: Path, reservations: Reservations, wall: float, step: Step = bool) -> None:
        self.reservations = reservations
        # Draws that could not be written yet.
        self.unwritten_draws: dict[tuple[int, bool, int], _Drew] = {}
        self.log = Log(path, step)
        _load(self.log.records, reservations, path)
        self.log.records = []
        for r in reservations.by_name.values():
            if r.owned and r.remaining <= 0:
                r.apply(Transition.OPENS)
                r.apply(Transition.DRAWN)
        reservations.expire(wall)
        self._rewrite()

    def _rewrite(self) -> None:
        self.log.rewrite([_encode(_Added(r.wanted, r.owned, r.drawn, r.remote_draws,
                                         r.state is State.CANCELLED))
                          for r in self.reservations.by_name.values()])
        self.floor = self.log.size
        self.unwritten_draws.clear()

    def _mend(self) -> None:
        """A log whose sync failed is written anew, from memory; LogError while it cannot be."""
        if self.log.broken:
            self._rewrite()

    def record_added(self, r: Reservation) -> None:
        """Durable on return: the customer counts on it from then on."""
        self._mend()
        self.log.append([_encode(_Added(r.wanted, r.owned))])
        self.log.sync()

    def record_cancelled(self, r: Reservation) -> None:
        self._mend()
        self.log.append([_encode(_Cancelled(r.wanted.name))])
        self.log.sync()

    def record_draw(self, d: io.RecordDraw, number: int) -> None:
        """Survives this process's death on return; no sync, for a request waits.  What LogError left out goes
        with the next draw, or when all is tidied: a draw is told as the sum of all."""
        by = number if d.limiter < 0 else d.limiter
        self.unwritten_draws[d.tag, d.without_owner, by] = _Drew(d.tag, d.units, d.without_owner, by)
        self._flush()

    def _flush(self) -> None:
        self._mend()
        self.log.append(map(_encode, self.unwritten_draws.values()))
        self.unwritten_draws.clear()

    def compact(self, wall: float) -> None:
        """Off the requests' path: forgets what is long over, and the draws that newer ones replace."""
        self.reservations.expire(wall)
        if self.unwritten_draws or self.log.broken:
            self._flush()
        if self.log.size - self.floor > REWRITE:
            self._rewrite()

    def close(self) -> None:
        """LogError where not all could be kept."""
        try:
            self._flush()
            self.log.sync()
        finally:
            self.log.close()
