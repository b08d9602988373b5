"""What the module asks about plans and reservations; without a catalogue the answers are the settings'."""

from __future__ import annotations

from typing import NamedTuple

from larklb import interface as io
from larklb import peerwire as pw
from larklb.quota.bucket import TokenBucket, full_bucket
from larklb.quota.catalogue import Catalogue, settings_catalogue
from larklb.quota.reservations import UNIT_TOLERANCE, Reservation, Reservations
from larklb.quota.ring import digest
from larklb.quota.table_limits import DEFAULT_MAX_CUSTOMERS

DEFAULT_RESERVE = 1.0  # the platform's: errs on the side of service (docs/design/losing-the-counter.md)
# A peer may come back as an older program, so what it showed to support counts only this long.
EXTENDED_SUPPORT_MS = 10000.0


class EffectivePlan(NamedTuple):
    """The plan that a request is judged under, and the version that says so."""

    number: int
    plan: io.Plan
    version: int


class Entitlements:
    """The catalogue, the reservations, and what is known of the peers' versions.

    ``offset`` turns the module's clock into Unix milliseconds; it is fixed at the start, so that a clock that
    steps moves no instant within a process.
    """

    def __init__(self, plans: tuple[io.Plan, ...], catalogue: Catalogue | None = None,
                 reservations: Reservations | None = None, offset: float = 0.0, *,
                 settle: bool = True, reserve: float = DEFAULT_RESERVE,
                 max_customers: int = DEFAULT_MAX_CUSTOMERS) -> None:
        """``settle``: what is let in without the owner is settled with it; ``reserve``: see ``shares.py``;
        ``max_customers``: customers that are kept in each table."""
        self.settle, self.reserve, self.max_customers = settle, reserve, max_customers
        self.catalogue = catalogue or settings_catalogue(plans)
        self.extended = catalogue is not None or reservations is not None     # peers are told more then
        self.reservations, self.clock_offset = reservations, offset
        self.version_index = 0                               # of the version that counts now
        self.valid_until = float("-inf")                   # ... up to this instant of the module's clock
        # Peers that support the extended form: when they last used it, and their plan version.
        self.extended_peers: dict[int, tuple[float, int]] = {}
        self.newest_peer_version = 0  # the newest version heard of that is not here
        # Drawn apart, by customer and reservation: what the owner has not confirmed.
        self.unconfirmed: dict[int, dict[int, float]] = {}
        for r in reservations.by_name.values() if reservations is not None else ():
            # After a restart nobody knows what the owner has heard: it is told once more.
            if not r.owned and r.remote_draws:
                self.unconfirmed.setdefault(
                    digest(r.wanted.customer), {})[r.tag] = sum(r.remote_draws.values())
        self._seek(float("-inf"))

    # Plans --------------------------------------------------------------------------------

    def _seek(self, now: float) -> None:
        self.version_index = self.catalogue.index_at(now + self.clock_offset)
        later = self.catalogue.instants[self.version_index + 1:]
        self.valid_until = later[0] - self.clock_offset if later else float("inf")

    def replace_catalogue(self, now: float, catalogue: Catalogue) -> None:
        """Another catalogue counts from now on; it has been made by ``catalogue.succeed``."""
        self.catalogue = catalogue
        self._seek(now)

    def effective_plan(self, now: float, key: int, told: int) -> EffectivePlan:
        """What counts for a customer now; ``told`` is the number of the plan that its request names."""
        if now >= self.valid_until:
            self._seek(now)
        c = self.catalogue
        number = c.plan_of(key, self.version_index, told) if c.assignments else told
        version = c.versions[self.version_index]
        return EffectivePlan(number, version.plans[number], version.number)

    def plan(self, now: float, number: int) -> io.Plan:
        """A plan's figures by what counts here now."""
        return self.effective_plan(now, -1, number).plan

    def new_bucket(self, now: float, key: int, told: int, parts: float = 1.0) -> TokenBucket:
        """A bucket that was not here: as if it had been here all along, and full before the first change."""
        if len(self.catalogue.versions) == 1:
            plan = self.catalogue.versions[0].plans[told]
            return TokenBucket(plan.rate / parts, plan.burst / parts, plan.burst / parts, now, 0, now)
        _, plan, _ = self._plan_at_version(key, told, 0)
        bucket = full_bucket(plan.rate / parts, plan.burst / parts, float("-inf"))
        self.update_bucket(now, key, told, bucket, parts)
        bucket.born = now
        return bucket

    def restored_bucket(self, key: int, told: int, tokens: float, at: float) -> TokenBucket:
        """A bucket as it was when it was written: under the version that counted then."""
        index = self.catalogue.index_at(at + self.clock_offset)
        _, plan, version = self._plan_at_version(key, told, index)
        return TokenBucket(plan.rate, plan.burst, min(plan.burst, tokens) if plan.rate else tokens, at,
                           version=version)

    def update_bucket(self, now: float, key: int, told: int, bucket: TokenBucket, parts: float = 1.0) -> None:
        """Brings a bucket through the changes since it was last looked at, each at its own instant."""
        c = self.catalogue
        if len(c.versions) == 1:
            plan = c.versions[0].plans[told]
            if bucket.rate != plan.rate / parts or bucket.burst != plan.burst / parts:
                self._apply_plan(bucket, now, plan, parts)  # other settings count, or a share has changed
            return
        self.effective_plan(now, key, told)
        for index in c.effective_changes(c.index_by_number.get(bucket.version, 0), self.version_index):
            _, plan, bucket.version = self._plan_at_version(key, told, index)
            self._apply_plan(bucket, c.versions[index].effective_at - self.clock_offset, plan, parts)
        _, plan, _ = self._plan_at_version(key, told, self.version_index)
        if (bucket.rate, bucket.burst) != (plan.rate / parts, plan.burst / parts):
            self._apply_plan(bucket, now, plan, parts)       # its requests name another plan

    def _plan_at_version(self, key: int, told: int, index: int) -> EffectivePlan:
        number, version = self.catalogue.plan_of(key, index, told), self.catalogue.versions[index]
        return EffectivePlan(number, version.plans[number], version.number)

    @staticmethod
    def _apply_plan(bucket: TokenBucket, at: float, plan: io.Plan, parts: float) -> None:
        if (bucket.rate, bucket.burst) != (plan.rate / parts, plan.burst / parts):
            bucket.change(at, plan.rate / parts, plan.burst / parts)

    # Reservations -------------------------------------------------------------------------

    def draw(self, now: float, key: int, units: float) -> io.Drawn | None:
        """Units for a request that its bucket refuses, at the owner."""
        for r in self._open(now, key):
            if r.owned and r.remaining >= units - UNIT_TOLERANCE:
                r.draw(units)
                return io.Drawn(r.tag, r.drawn)
        return None

    def draw_without_owner(self, now: float, key: int, units: float, number: int) -> io.Drawn | None:
        """The same where the owner cannot be asked: from this limiter's part, told to the owner later."""
        for r in self._open(now, key):
            mine = r.remote_draws.get(number, 0.0)
            if (not r.owned and mine + units <= r.limiter_part + UNIT_TOLERANCE
                and r.remaining >= units - UNIT_TOLERANCE):
                r.remote_draws[number] = mine + units
                self.unconfirmed.setdefault(key, {})[r.tag] = mine + units
                return io.Drawn(r.tag, mine + units, True)
        return None

    def give_back(self, tag: int, units: float) -> io.Drawn | None:
        """Units of a draw that were not used after all."""
        r = self.reservations.by_tag.get(tag) if self.reservations is not None else None
        if r is None or not r.owned or units <= 0:
            return None
        r.give_back(units)
        return io.Drawn(tag, r.drawn)

    def reserved_units(self, now: float, key: int) -> float:
        """Units that could be drawn now, as far as this limiter knows."""
        return max((r.remaining for r in self._open(now, key)), default=0.0)

    def _open(self, now: float, key: int) -> list[Reservation]:
        if self.reservations is None or key not in self.reservations.by_key:
            return []
        return list(self.reservations.open_for(key, now + self.clock_offset))

    def on_remote_draw(self, sender: int, told: pw.Drawn) -> io.Drawn | None:
        """What another limiter drew by itself: its whole count, so that repeats and old words do no harm."""
        r = self.reservations.by_tag.get(told.tag) if self.reservations is not None else None
        if r is None or not r.owned or told.units <= r.remote_draws.get(sender, 0.0):
            return None
        r.remote_draws[sender] = told.units
        r.draw(0.0)
        return io.Drawn(told.tag, told.units, True, sender)

    def unconfirmed_draws(self, key: int) -> list[pw.Drawn]:
        """What the owner of a customer has still to be told."""
        return [pw.Drawn(tag, units) for tag, units in self.unconfirmed.get(key, {}).items()]

    def on_draw_confirmed(self, told: pw.Told) -> None:
        r = self.reservations.by_tag.get(told.tag) if self.reservations is not None else None
        if r is not None:
            key = next((k for k, tags in self.unconfirmed.items() if told.tag in tags), None)
            if key is not None and self.unconfirmed[key][told.tag] <= told.units:
                del self.unconfirmed[key][told.tag]
                if not self.unconfirmed[key]:
                    del self.unconfirmed[key]

    # What the peers speak -----------------------------------------------------------------

    def supports_extended(self, now: float, peer: int) -> bool:
        """Whether a peer has shown lately that it reads what only the newer form says."""
        return now - self.extended_peers.get(peer, (float("-inf"), 0))[0] < EXTENDED_SUPPORT_MS

    def on_peer_version(self, now: float, peer: int, version: int) -> str:
        """A peer judged by a version; a line for the log where that is not here."""
        self.extended_peers[peer] = (now, version)
        if version <= max(self.newest_peer_version, self.catalogue.newest.number):
            return ""
        self.newest_peer_version = version
        return (f"limiter {peer} judges by version {version} of the plans, here it is "
                f"{self.catalogue.newest.number}: what is here counts on")
