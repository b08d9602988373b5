"""The log of reservations: each is durable before it is confirmed, each draw written before its answer."""

from __future__ import annotations

from pathlib import Path

import msgspec

from larklb import interface as io
from larklb.quota.reservations import Reservation, Reservations, State, Transition, Wanted
from larklb.state.log import Log, LogError, Step, replay

# Growth of the log after which it is rewritten.
REWRITE_AFTER_BYTES = 256 * 1024


class _Added(msgspec.Struct, array_like=True, tag=1):
    """A reservation with its state so far; a rewrite writes one record for each."""

    wanted: Wanted
    owned: bool
    drawn: float = 0.0
    remote_draws: dict[int, float] = {}
    cancelled: bool = False


class _Drawn(msgspec.Struct, array_like=True, tag=2):
    """Total units drawn on a reservation: granted by its owner, or drawn ``without_owner`` by a limiter."""

    tag: int
    units: float
    without_owner: bool
    limiter: int


class _Cancelled(msgspec.Struct, array_like=True, tag=3):
    name: str


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_Added | _Drawn | _Cancelled)


def _load(payloads: list[bytes], reservations: Reservations, path: Path) -> None:
    for payload in payloads:
        try:
            record = _decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise LogError(f"{path}: a record of another version: {error}") from error
        match record:
            case _Added():
                reservation = reservations.insert(
                    Reservation(record.wanted, record.owned, State.HELD, record.drawn, record.remote_draws))
                if record.cancelled:
                    reservation.apply(Transition.CANCEL)
            case _Drawn() if record.tag in reservations.by_tag:
                reservation = reservations.by_tag[record.tag]
                if record.without_owner:
                    reservation.remote_draws[record.limiter] = record.units
                else:
                    reservation.drawn = record.units
            case _Cancelled() if record.name in reservations.by_name:
                reservations.by_name[record.name].apply(Transition.CANCEL)


def load(path: Path, reservations: Reservations) -> None:
    """Loads a log, which another process may be writing; raises LogError if it is corrupt."""
    _load(replay(path).records, reservations, path)


class ReservationLog:
    """Loads ``reservations`` from the log and records their changes.

    ``wall`` is the time in Unix milliseconds, by which expired reservations are dropped.  Raises LogError if
    the log is corrupt or cannot be written.
    """

    def __init__(self, path: Path, reservations: Reservations, wall: float, step: Step = bool) -> None:
        self.reservations = reservations
        # Draws that could not be written yet, by tag, whether without the owner, and limiter.
        self.unwritten_draws: dict[tuple[int, bool, int], _Drawn] = {}
        self.log = Log(path, step)
        _load(self.log.records, reservations, path)
        self.log.records = []
        for reservation in reservations.by_name.values():
            if reservation.owned and reservation.remaining <= 0:
                reservation.apply(Transition.OPENS)
                reservation.apply(Transition.DRAWN)
        reservations.expire(wall)
        self._rewrite()

    def _rewrite(self) -> None:
        self.log.rewrite([_encode(_Added(r.wanted, r.owned, r.drawn, r.remote_draws,
                                         r.state is State.CANCELLED))
                          for r in self.reservations.by_name.values()])
        self.rewritten_size = self.log.size
        self.unwritten_draws.clear()

    def _repair(self) -> None:
        """Rewrites the log from memory if a sync of it failed; raises LogError if that fails."""
        if self.log.broken:
            self._rewrite()

    def record_added(self, reservation: Reservation) -> None:
        """Records a reservation, durable on return, as the customer relies on it then; raises LogError."""
        self._repair()
        self.log.append([_encode(_Added(reservation.wanted, reservation.owned))])
        self.log.sync()

    def record_cancelled(self, reservation: Reservation) -> None:
        """Records a cancellation, durable on return; raises LogError."""
        self._repair()
        self.log.append([_encode(_Cancelled(reservation.wanted.name))])
        self.log.sync()

    def record_draw(self, draw: io.RecordDraw, number: int) -> None:
        """Records a draw, which survives the death of the process on return; raises LogError.

        There is no sync, as a request is waiting.  A draw that could not be written is written with the next
        one or by ``compact``; since each record holds the cumulative units, the latest one is sufficient.
        """
        limiter = number if draw.limiter < 0 else draw.limiter
        self.unwritten_draws[draw.tag, draw.without_owner, limiter] = _Drawn(
            draw.tag, draw.units, draw.without_owner, limiter)
        self._flush()

    def _flush(self) -> None:
        self._repair()
        self.log.append(map(_encode, self.unwritten_draws.values()))
        self.unwritten_draws.clear()

    def compact(self, wall: float) -> None:
        """Drops expired reservations and superseded draws; not to be called on the request path.

        ``wall`` is the time in Unix milliseconds.  Raises LogError.
        """
        self.reservations.expire(wall)
        if self.unwritten_draws or self.log.broken:
            self._flush()
        if self.log.size - self.rewritten_size > REWRITE_AFTER_BYTES:
            self._rewrite()

    def close(self) -> None:
        """Writes and syncs pending draws and closes the log; raises LogError if some cannot be written."""
        try:
            self._flush()
            self.log.sync()
        finally:
            self.log.close()
