"""What the module asks about plans and reservations; without a catalogue the answers are the settings'."""

from __future__ import annotations

from typing import NamedTuple

from larklb import interface as io
from larklb import peerwire as pw
from larklb.quota.bucket import TokenBucket, fresh
from larklb.quota.catalogue import Catalogue, plain
from larklb.quota.reservations import LEAST, Reservation, Reservations
from larklb.quota.ring import digest
from larklb.quota.table_limits import MOST

RESERVE = 1.0              # the platform's: errs on the side of service (docs/design/losing-the-counter.md)
SPEAKS_HOLDS = 10000.0     # ms for which a peer is believed to speak so: it may come back as an older program


class Judged(NamedTuple):
    """The plan that a request is judged under, and the version that says so."""

    number: int
    plan: io.Plan
    version: int


class Book:
    """The catalogue, the reservations, and what is known of the peers' versions.

    ``offset`` turns the module's clock into Unix milliseconds; it is fixed at the start, so that a clock that
    steps moves no instant within a process.
    """

    def __init__(self, plans: tuple[io.Plan, ...], catalogue: Catalogue | None = None,
                 reservations: Reservations | None = None, offset: float = 0.0, *,
                 settle: bool = True, reserve: float = RESERVE, most: int = MOST) -> None:
        """``settle``: what is let in without the owner is settled with it; ``reserve``: see ``shares.py``;
        ``most``: customers that are kept in each table."""
        self.settle, self.reserve, self.most = settle, reserve, most
        self.catalogue = catalogue or plain(plans)
        self.extended = catalogue is not None or reservations is not None     # peers are told more then
        self.reservations, self.offset = reservations, offset
        self.index = 0                               # of the version that counts now
        self.until = float("-inf")                   # ... up to this instant of the module's clock
        self.peers: dict[int, tuple[float, int]] = {}       # that speak as we do: when, and by which version
        self.newer = 0                               # the newest version heard of that is not here
        # Drawn apart, by customer and reservation: what the owner has not confirmed.
        self.untold: dict[int, dict[int, float]] = {}
        for r in reservations.by_name.values() if reservations is not None else ():
            # After a restart nobody knows what the owner has heard: it is told once more.
            if not r.owned and r.apart:
                self.untold.setdefault(digest(r.wanted.customer), {})[r.tag] = sum(r.apart.values())
        self._seek(float("-inf"))

    # Plans --------------------------------------------------------------------------------

    def _seek(self, now: float) -> None:
        self.index = self.catalogue.at(now + self.offset)
        later = self.catalogue.instants[self.index + 1:]
        self.until = later[0] - self.offset if later else float("inf")

    def take(self, now: float, catalogue: Catalogue) -> None:
        """Another catalogue counts from now on; it has been made by ``catalogue.succeed``."""
        self.catalogue = catalogue
        self._seek(now)

    def judged(self, now: float, key: int, told: int) -> Judged:
        """What counts for a customer now; ``told`` is the number of the plan that its request names."""
        if now >= self.until:
            self._seek(now)
        c = self.catalogue
        number = c.plan_of(key, self.index, told) if c.assigned else told
        version = c.versions[self.index]
        return Judged(number, version.plans[number], version.number)

    def plan(self, now: float, number: int) -> io.Plan:
        """A plan's figures by what counts here now."""
        return self.judged(now, -1, number).plan

    def made(self, now: float, key: int, told: int, parts: float = 1.0) -> TokenBucket:
        """A bucket that was not here: as if it had been here all along, and full before the first change."""
        if len(self.catalogue.versions) == 1:
            plan = self.catalogue.versions[0].plans[told]
            return TokenBucket(plan.rate / parts, plan.burst / parts, plan.burst / parts, now, 0, now)
        _, plan, _ = self._under(key, told, 0)
        bucket = fresh(plan.rate / parts, plan.burst / parts, float("-inf"))
        self.fit(now, key, told, bucket, parts)
        bucket.born = now
        return bucket

    def restored(self, key: int, told: int, tokens: float, at: float) -> TokenBucket:
        """A bucket as it was when it was written: under the version that counted then."""
        index = self.catalogue.at(at + self.offset)
        _, plan, version = self._under(key, told, index)
        return TokenBucket(plan.rate, plan.burst, min(plan.burst, tokens) if plan.rate else tokens, at,
                           version=version)

    def fit(self, now: float, key: int, told: int, bucket: TokenBucket, parts: float = 1.0) -> None:
        """Brings a bucket through the changes since it was last looked at, each at its own instant."""
        c = self.catalogue
        if len(c.versions) == 1:
            plan = c.versions[0].plans[told]
            if bucket.rate != plan.rate / parts or bucket.burst != plan.burst / parts:
                self._change(bucket, now, plan, parts)       # other settings count, or a share has changed
            return
        self.judged(now, key, told)
        for index in c.changes(c.index.get(bucket.version, 0), self.index):
            _, plan, bucket.version = self._under(key, told, index)
            self._change(bucket, c.versions[index].at - self.offset, plan, parts)
        _, plan, _ = self._under(key, told, self.index)
        if (bucket.rate, bucket.burst) != (plan.rate / parts, plan.burst / parts):
            self._change(bucket, now, plan, parts)       # its requests name another plan

    def _under(self, key: int, told: int, index: int) -> Judged:
        number, version = self.catalogue.plan_of(key, index, told), self.catalogue.versions[index]
        return Judged(number, version.plans[number], version.number)

    @staticmethod
    def _change(bucket: TokenBucket, at: float, plan: io.Plan, parts: float) -> None:
        if (bucket.rate, bucket.burst) != (plan.rate / parts, plan.burst / parts):
            bucket.change(at, plan.rate / parts, plan.burst / parts)

    # Reservations -------------------------------------------------------------------------

    def draw(self, now: float, key: int, units: float) -> io.Drawn | None:
        """Units for a request that its bucket refuses, at the owner."""
        for r in self._open(now, key):
            if r.owned and r.left >= units - LEAST:
                r.take(units)
                return io.Drawn(r.tag, r.drawn)
        return None

    def draw_apart(self, now: float, key: int, units: float, number: int) -> io.Drawn | None:
        """The same where the owner cannot be asked: from this limiter's part, told to the owner later."""
        for r in self._open(now, key):
            mine = r.apart.get(number, 0.0)
            if not r.owned and mine + units <= r.part + LEAST and r.left >= units - LEAST:
                r.apart[number] = mine + units
                self.untold.setdefault(key, {})[r.tag] = mine + units
                return io.Drawn(r.tag, mine + units, True)
        return None

    def give_back(self, tag: int, units: float) -> io.Drawn | None:
        """Units of a draw that were not used after all."""
        r = self.reservations.by_tag.get(tag) if self.reservations is not None else None
        if r is None or not r.owned or units <= 0:
            return None
        r.give_back(units)
        return io.Drawn(tag, r.drawn)

    def reserved(self, now: float, key: int) -> float:
        """Units that could be drawn now, as far as this limiter knows."""
        return max((r.left for r in self._open(now, key)), default=0.0)

    def _open(self, now: float, key: int) -> list[Reservation]:
        if self.reservations is None or key not in self.reservations.by_key:
            return []
        return list(self.reservations.open(key, now + self.offset))

    def drawn_apart(self, sender: int, told: pw.Drawn) -> io.Drawn | None:
        """What another limiter drew by itself: its whole count, so that repeats and old words do no harm."""
        r = self.reservations.by_tag.get(told.tag) if self.reservations is not None else None
        if r is None or not r.owned or told.units <= r.apart.get(sender, 0.0):
            return None
        r.apart[sender] = told.units
        r.take(0.0)
        return io.Drawn(told.tag, told.units, True, sender)

    def owed(self, key: int) -> list[pw.Drawn]:
        """What the owner of a customer has still to be told."""
        return [pw.Drawn(tag, units) for tag, units in self.untold.get(key, {}).items()]

    def confirmed(self, told: pw.Told) -> None:
        r = self.reservations.by_tag.get(told.tag) if self.reservations is not None else None
        if r is not None:
            key = next((k for k, tags in self.untold.items() if told.tag in tags), None)
            if key is not None and self.untold[key][told.tag] <= told.units:
                del self.untold[key][told.tag]
                if not self.untold[key]:
                    del self.untold[key]

    # What the peers speak -----------------------------------------------------------------

    def speaks(self, now: float, peer: int) -> bool:
        """Whether a peer has shown lately that it reads what only the newer form says."""
        return now - self.peers.get(peer, (float("-inf"), 0))[0] < SPEAKS_HOLDS

    def heard(self, now: float, peer: int, version: int) -> str:
        """A peer judged by a version; a line for the log where that is not here."""
        self.peers[peer] = (now, version)
        if version <= max(self.newer, self.catalogue.newest.number):
            return ""
        self.newer = version
        return (f"limiter {peer} judges by version {version} of the plans, here it is "
                f"{self.catalogue.newest.number}: what is here counts on")
