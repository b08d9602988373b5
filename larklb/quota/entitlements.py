"""What customers are entitled to: the plans in effect and the reservations.

Without a catalogue the plans are those of the settings.
"""

from __future__ import annotations

from typing import NamedTuple

from larklb import interface as io
from larklb import peerwire as pw
from larklb.quota.bucket import TokenBucket, full_bucket
from larklb.quota.catalogue import Catalogue, settings_catalogue
from larklb.quota.reservations import UNIT_TOLERANCE, Reservation, Reservations
from larklb.quota.ring import digest
from larklb.quota.table_limits import DEFAULT_MAX_CUSTOMERS

# How far a share may grow beyond what was granted (``shares.py``).  1 serves rather than refuses while
# limiters are separated (docs/design/losing-the-counter.md).
DEFAULT_RESERVE = 1.0
# A peer may come back as an older program, so the form of messages that it has used is relied on only this
# long.
EXTENDED_SUPPORT_MS = 10000.0


class EffectivePlan(NamedTuple):
    """The plan that a request is judged under, its number, and the version that its figures come from."""

    number: int
    plan: io.Plan
    version: int


class Entitlements:
    """The plan catalogue, the reservations, and what is known of the peers' plan versions.

    ``offset`` turns the decision module's clock into Unix milliseconds.  It is fixed at the start, so that a
    step of the wall clock moves no instant within a process.
    """

    def __init__(self, plans: tuple[io.Plan, ...], catalogue: Catalogue | None = None,
                 reservations: Reservations | None = None, offset: float = 0.0, *,
                 settle: bool = True, reserve: float = DEFAULT_RESERVE,
                 max_customers: int = DEFAULT_MAX_CUSTOMERS) -> None:
        """``settle``: units admitted without the owner are settled with it; ``reserve``: how far a share may
        grow, see ``shares.py``; ``max_customers``: customers kept in each table."""
        self.settle, self.reserve, self.max_customers = settle, reserve, max_customers
        self.catalogue = catalogue or settings_catalogue(plans)
        # Whether peers are sent the extended form of replies, with plan versions and reservations.
        self.extended = catalogue is not None or reservations is not None
        self.reservations, self.clock_offset = reservations, offset
        # The index of the version in effect, and the instant of the module's clock at which the next one
        # takes effect.
        self.version_index = 0
        self.valid_until = float("-inf")
        # Peers that support the extended form: when they last used it, and their plan version.
        self.extended_peers: dict[int, tuple[float, int]] = {}
        # The newest version that a peer has used and this limiter does not have.
        self.newest_peer_version = 0
        # Units drawn here without the owner and not yet confirmed by it, by customer and reservation tag.
        self.unconfirmed: dict[int, dict[int, float]] = {}
        for reservation in reservations.by_name.values() if reservations is not None else ():
            # After a restart it is not known what the owner has received, so all is reported once more.
            if not reservation.owned and reservation.remote_draws:
                self.unconfirmed.setdefault(
                    digest(reservation.wanted.customer),
                    {})[reservation.tag] = sum(reservation.remote_draws.values())
        self._seek(float("-inf"))

    # Plans --------------------------------------------------------------------------------

    def _seek(self, now: float) -> None:
        self.version_index = self.catalogue.index_at(now + self.clock_offset)
        later = self.catalogue.instants[self.version_index + 1:]
        self.valid_until = later[0] - self.clock_offset if later else float("inf")

    def replace_catalogue(self, now: float, catalogue: Catalogue) -> None:
        """Puts another catalogue into effect; it must come from ``catalogue.successor``."""
        self.catalogue = catalogue
        self._seek(now)

    def effective_plan(self, now: float, key: int, named_plan: int) -> EffectivePlan:
        """The plan in effect for a customer whose request names the plan of number ``named_plan``."""
        if now >= self.valid_until:
            self._seek(now)
        catalogue = self.catalogue
        number = (catalogue.plan_of(key, self.version_index, named_plan) if catalogue.assignments
                  else named_plan)
        version = catalogue.versions[self.version_index]
        return EffectivePlan(number, version.plans[number], version.number)

    def plan(self, now: float, number: int) -> io.Plan:
        """A plan with the figures in effect here now."""
        return self.effective_plan(now, -1, number).plan

    def new_bucket(self, now: float, key: int, named_plan: int, parts: float = 1.0) -> TokenBucket:
        """A bucket for a customer that has none, as if it had existed and been idle all along.

        It is full before the first change of its plan, and has gone through each change since.  Rate and
        burst are the plan's divided by ``parts``.
        """
        if len(self.catalogue.versions) == 1:
            plan = self.catalogue.versions[0].plans[named_plan]
            return TokenBucket(plan.rate / parts, plan.burst / parts, plan.burst / parts, now, 0, now)
        _, plan, _ = self._plan_at_version(key, named_plan, 0)
        bucket = full_bucket(plan.rate / parts, plan.burst / parts, float("-inf"))
        self.update_bucket(now, key, named_plan, bucket, parts)
        bucket.born = now
        return bucket

    def restored_bucket(self, key: int, named_plan: int, tokens: float, at: float) -> TokenBucket:
        """A bucket as it was stored at an instant, under the version in effect then."""
        index = self.catalogue.index_at(at + self.clock_offset)
        _, plan, version = self._plan_at_version(key, named_plan, index)
        return TokenBucket(plan.rate, plan.burst, min(plan.burst, tokens) if plan.rate else tokens, at,
                           version=version)

    def update_bucket(self, now: float, key: int, named_plan: int, bucket: TokenBucket,
                      parts: float = 1.0) -> None:
        """Applies the changes of plans since a bucket was last used, each at its own instant."""
        catalogue = self.catalogue
        if len(catalogue.versions) == 1:
            plan = catalogue.versions[0].plans[named_plan]
            if bucket.rate != plan.rate / parts or bucket.burst != plan.burst / parts:
                # The settings or the share have changed.
                self._apply_plan(bucket, now, plan, parts)
            return
        self.effective_plan(now, key, named_plan)
        for index in catalogue.effective_changes(catalogue.index_by_number.get(bucket.version, 0),
                                                 self.version_index):
            _, plan, bucket.version = self._plan_at_version(key, named_plan, index)
            self._apply_plan(bucket, catalogue.versions[index].effective_at - self.clock_offset, plan, parts)
        _, plan, _ = self._plan_at_version(key, named_plan, self.version_index)
        if (bucket.rate, bucket.burst) != (plan.rate / parts, plan.burst / parts):
            # The customer's requests name another plan now.
            self._apply_plan(bucket, now, plan, parts)

    def _plan_at_version(self, key: int, named_plan: int, index: int) -> EffectivePlan:
        number, version = self.catalogue.plan_of(key, index, named_plan), self.catalogue.versions[index]
        return EffectivePlan(number, version.plans[number], version.number)

    @staticmethod
    def _apply_plan(bucket: TokenBucket, at: float, plan: io.Plan, parts: float) -> None:
        if (bucket.rate, bucket.burst) != (plan.rate / parts, plan.burst / parts):
            bucket.change(at, plan.rate / parts, plan.burst / parts)

    # Reservations -------------------------------------------------------------------------

    def draw(self, now: float, key: int, units: float) -> io.RecordDraw | None:
        """Draws units on a reservation at the owner, for a request that the bucket refuses.

        None if no reservation has enough units.
        """
        for reservation in self._open(now, key):
            if reservation.owned and reservation.remaining >= units - UNIT_TOLERANCE:
                reservation.draw(units)
                return io.RecordDraw(reservation.tag, reservation.drawn)
        return None

    def draw_without_owner(self, now: float, key: int, units: float, number: int) -> io.RecordDraw | None:
        """Draws units from this limiter's part of a reservation while the owner cannot be asked.

        ``number`` is this limiter's.  The draw is reported to the owner later.
        None if no reservation has enough units.
        """
        for reservation in self._open(now, key):
            drawn = reservation.remote_draws.get(number, 0.0)
            if (not reservation.owned and drawn + units <= reservation.limiter_part + UNIT_TOLERANCE
                and reservation.remaining >= units - UNIT_TOLERANCE):
                reservation.remote_draws[number] = drawn + units
                self.unconfirmed.setdefault(key, {})[reservation.tag] = drawn + units
                return io.RecordDraw(reservation.tag, drawn + units, True)
        return None

    def give_back(self, tag: int, units: float) -> io.RecordDraw | None:
        """Returns drawn units that were not used to their reservation, at the owner."""
        reservation = self.reservations.by_tag.get(tag) if self.reservations is not None else None
        if reservation is None or not reservation.owned or units <= 0:
            return None
        reservation.give_back(units)
        return io.RecordDraw(tag, reservation.drawn)

    def reserved_units(self, now: float, key: int) -> float:
        """Most units that are left in one open reservation of a customer, as far as this limiter knows."""
        return max((r.remaining for r in self._open(now, key)), default=0.0)

    def _open(self, now: float, key: int) -> list[Reservation]:
        if self.reservations is None or key not in self.reservations.by_key:
            return []
        return list(self.reservations.open_for(key, now + self.clock_offset))

    def on_remote_draw(self, sender: int, report: pw.DrawReport) -> io.RecordDraw | None:
        """Records another limiter's draws without its owner; None if nothing is new.

        A report carries the sum of all draws, so that repeated and late reports change nothing.
        """
        reservation = self.reservations.by_tag.get(report.tag) if self.reservations is not None else None
        if (reservation is None or not reservation.owned
            or report.units <= reservation.remote_draws.get(sender, 0.0)):
            return None
        reservation.remote_draws[sender] = report.units
        reservation.draw(0.0)
        return io.RecordDraw(report.tag, report.units, True, sender)

    def unconfirmed_draws(self, key: int) -> list[pw.DrawReport]:
        """Draws of a customer that its owner has not confirmed yet."""
        return [pw.DrawReport(tag, units) for tag, units in self.unconfirmed.get(key, {}).items()]

    def on_draw_confirmed(self, confirmation: pw.DrawConfirmed) -> None:
        """Drops a draw from the unconfirmed ones if the owner has all of it."""
        reservation = (self.reservations.by_tag.get(confirmation.tag) if self.reservations is not None
                       else None)
        if reservation is not None:
            key = next((key for key, tags in self.unconfirmed.items() if confirmation.tag in tags), None)
            if key is not None and self.unconfirmed[key][confirmation.tag] <= confirmation.units:
                del self.unconfirmed[key][confirmation.tag]
                if not self.unconfirmed[key]:
                    del self.unconfirmed[key]

    # Versions of the peers ----------------------------------------------------------------

    def supports_extended(self, now: float, peer: int) -> bool:
        """Whether a peer has used the extended form within EXTENDED_SUPPORT_MS."""
        return now - self.extended_peers.get(peer, (float("-inf"), 0))[0] < EXTENDED_SUPPORT_MS

    def on_peer_version(self, now: float, peer: int, version: int) -> str:
        """Notes the version that a peer judged by; returns a log line if it is new and missing here."""
        self.extended_peers[peer] = (now, version)
        if version <= max(self.newest_peer_version, self.catalogue.newest.number):
            return ""
        self.newest_peer_version = version
        return (f"limiter {peer} judges by version {version} of the plans, here it is "
                f"{self.catalogue.newest.number}: what is here counts on")
