"""Limits on what all limiters together use at a node, enforced by slots that are leased for a time.

A node accepts a limited number of attempts at once, and the same number of connections.  Half of the slots
are divided evenly among the limiters for good (``FleetLimits.base``), so that each has some while lenders
cannot be reached.  The others are lent by one limiter, the *lender* of the node, found on the hash ring.  A
holder that needs more than its base requests a lease.  The lease lasts ``LEASE_MS`` from the time the holder
*sent* the request, by its own clock; it therefore ends before the lender, which counts from the receipt,
takes it to be over.  The clocks need not agree, they only have to run at about the same rate.  Leases on
quotas are separate (``records.QuotaLease``).

The slots that the lender sets aside for one holder:

    last request of the holder          set aside
    within LEASE_MS + the deadline      the maximum of what was offered since the lease that the holder says
                                        it has adopted, and of what the holder says it uses
    before that                         nothing: the lease and each attempt begun under it are over

A lender that restarts has lost its state.  Until all leases that it may have granted are over, it offers each
holder no more than what that holder says it has, unless all other limiters have reported their holdings
sooner: a limiter that learns of the restart reports its leases, node by node, and then their number.  A
holder adopts only the answer to its newest request, so what it has reported is all that it may have.

The sum therefore never exceeds the limit, whatever is lost, delayed, duplicated, partitioned, stopped or
restarted; ``lab/check_leases.py`` explores this.  A holder that cannot renew shrinks to its base after
``LEASE_MS``; the slots of a lost holder are lent to others after ``LEASE_MS`` plus the longest deadline.

Slots follow demand: if more is wanted than available, each holder gets a proportional share as it renews.

The budget of further attempts (retries and hedges) needs no messages: each limiter may make a fixed fraction
for each first attempt of its own, and the sum keeps that proportion, except for the ``MAX_FURTHER_TOKENS``
that each limiter may have saved up.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from larklb.quota.ring import digest, ring_owner

# Duration of a lease, counted from its request; a few lost messages in a row are tolerated.
LEASE_MS = 3000.0
# Fraction of a lease that the holder gives up for clocks and timers that run at different rates.
CLOCK_RATE_MARGIN = 0.02
# Interval between requests of a holder with steady demand.
RENEW_MS = 900.0
# Interval while a holder is short of slots: a round trip and some loss.
URGENT_RENEW_MS = 120.0
# Fraction of a limit that is divided evenly for good.
BASE_FRACTION = 0.5
# Half-life of the peak of attempts in flight, which the demand follows.
PEAK_HALF_LIFE_MS = 4000.0
# Slots requested beyond the peak, so that the next attempt does not wait for a message.
SPARE_SLOTS = 1
# Maximum of the slots requested in addition because attempts found none.
MAX_SHORTFALL_SLOTS = 4
# Further attempts that a limiter may save up.
MAX_FURTHER_TOKENS = 5.0
# Maximum that fits in a message.
MAX_SLOTS = 255
# An unused node is forgotten after this time.
IDLE_MS = 30_000.0


class LeaseRequest(NamedTuple):
    """A holder's request for slots at the node ``subject``.

    With ``subject`` 0 it states that the holder has reported its holdings at ``held`` nodes, which are
    all.  Else ``held``, ``used`` and ``wanted`` are slots beyond the holder's base: those leased now, those
    in use, and those that it needs.  ``number`` is the holder's clock in ms (32 bits, compared as a serial
    number); ``adopted`` is the number of the request whose lease it has adopted, or the time of its start.
    """

    subject: int
    number: int
    adopted: int
    held: int
    used: int
    wanted: int


class LeaseReply(NamedTuple):
    """The lender's answer to the request with that number: the slots that it leases."""

    subject: int
    number: int
    slots: int


def is_newer_number(number: int, than: int) -> bool:
    """Return whether ``number`` is newer than ``than``, as serial numbers of 32 bits (RFC 1982)."""
    return 0 < (number - than) & 0xFFFFFFFF < 0x80000000


@dataclass(slots=True)
class HolderGrant:
    """A lender's state for one holder of slots at one node.

    ``number`` is that of the newest request, and ``used`` and ``wanted`` are the slots that it states.  By
    ``expires_at`` (ms) the lease and all attempts begun under it are over.  ``offers`` are the requests, with
    the slots offered, whose lease the holder may have adopted.
    """

    number: int
    expires_at: float
    used: int = 0
    wanted: int = 0
    offers: list[tuple[int, int]] = field(default_factory=list)

    def reserved(self, now: float) -> int:
        """Return the slots set aside for the holder, which cannot be lent to others."""
        return max([self.used, *(slots for _, slots in self.offers)]) if now < self.expires_at else 0


class Lender:
    """Lends the slots of the nodes that the hash ring assigns to this limiter."""

    def __init__(self, now: float, release_after_ms: float, others: int) -> None:
        """Initialize the lender.

        ``release_after_ms`` is the time from a request until its lease and all attempts begun under it are
        over; ``others`` is the number of other limiters.
        """
        self.release_after_ms, self.others = release_after_ms, others
        # Limiters that have reported all their holdings since this start.
        self.reported: set[int] = set()
        # Leases granted before this start are over by then.
        self.recovering_until = now + release_after_ms
        # By node and holder.
        self.grants: dict[int, dict[int, HolderGrant]] = {}

    def handle_request(self, now: float, holder: int, request: LeaseRequest, pool: int) -> LeaseReply | None:
        """Answer a request; ``pool`` is the number of slots at this node that are lent at all.

        Returns None if there is no answer: the request is not newer than another, or ends a report of
        holdings.
        """
        if not request.subject:
            reported = [
                g
                for grants in self.grants.values()
                if (g := grants.get(holder)) and g.number == request.number
            ]
            if len(reported) >= request.held:
                self.reported.add(holder)
            return None
        grants = self.grants.setdefault(request.subject, {})
        grant = grants.get(holder)
        if grant is None or now >= grant.expires_at and not is_newer_number(request.number, grant.number):
            # The holder's clock may have been reset by a restart of its machine.
            grant = grants[holder] = HolderGrant(request.number, now)
        elif not is_newer_number(request.number, grant.number):
            return None
        grant.number, grant.used, grant.wanted = request.number, request.used, request.wanted
        grant.offers = [
            (n, s) for n, s in grant.offers if n == request.adopted or is_newer_number(n, request.adopted)
        ]
        grant.expires_at = now + self.release_after_ms
        free = pool - sum(g.reserved(now) for h, g in grants.items() if h != holder)
        slots = max(0, min(self._proportional_slots(now, grants, request.wanted, pool), free, MAX_SLOTS))
        if now < self.recovering_until and len(self.reported) < self.others:
            slots = min(slots, request.held)
        grant.offers.append((request.number, slots))
        return LeaseReply(request.subject, request.number, slots)

    def _proportional_slots(self, now: float, grants: dict[int, HolderGrant], wanted: int, pool: int) -> int:
        """Return the slots for a request: all it wants, or a proportion if there are too few."""
        total = sum(g.wanted for g in grants.values() if now < g.expires_at)
        return wanted if total <= pool else math.ceil(pool * wanted / total)

    def clean(self, now: float) -> None:
        """Forget leases that are over."""
        for subject, grants in list(self.grants.items()):
            for holder in [h for h, g in grants.items() if now >= g.expires_at]:
                del grants[holder]
            if not grants:
                del self.grants[subject]


@dataclass(slots=True)
class HeldLease:
    """A limiter's leased slots at one node, in addition to its base.

    ``adopted`` is the request whose lease is in use, ``reported_adopted`` its value as last sent to the
    lender, and ``number`` the newest request.  ``peak`` is the decaying maximum of attempts in flight, as of
    ``peak_at``; ``shortfall`` counts the attempts that found no slot since the last request.  Times are in
    ms; ``adopted`` and ``number`` are clock values of 32 bits, see ``LeaseRequest``.
    """

    adopted: int
    number: int = -1
    slots: int = 0
    expires_at: float = -math.inf
    peak: float = 0.0
    peak_at: float = -math.inf
    requested_at: float = -math.inf
    reported_adopted: int = -1
    shortfall: int = 0
    last_attempt_at: float = -math.inf


class FleetLimits:
    """One limiter's part of the limits of the fleet, which the operator's file sets."""

    def __init__(self, number: int, gateways: int, now: float, max_deadline: float,
                 node_attempts: int = 0, further_fraction: float = 0.0) -> None:
        """Initialize for limiter ``number`` of ``gateways``.

        ``max_deadline`` is the longest deadline in ms.  ``node_attempts`` limits the attempts of all limiters
        at one node at once, 0 for no limit.  ``further_fraction`` is the number of further attempts for each
        first one, 0 for no budget.
        """
        self.number, self.gateways = number, gateways
        self.node_attempts, self.further_fraction = node_attempts, further_fraction
        self.started_at = int(now) & 0xFFFFFFFF
        self.lender = Lender(now, LEASE_MS + max_deadline, gateways - 1)
        self.held: dict[int, HeldLease] = {}
        self.tokens = MAX_FURTHER_TOKENS
        # Lenders by node, from the hash ring.
        self.lender_cache: dict[int, int] = {}
        # Returns the open connections to a node.  The larger of these and the attempts in flight counts as
        # used.
        self.open_connections: Callable[[int], int] = lambda subject: 0

    def extend_deadline(self, max_deadline: float) -> None:
        """Extend the time until leases are over if the longest deadline has grown.

        It never shrinks, since attempts under the longer deadline may still be in flight.
        """
        self.lender.release_after_ms = max(self.lender.release_after_ms, LEASE_MS + max_deadline)

    # Division of a limit ------------------------------------------------------------------

    def base(self, subject: int, number: int) -> int:
        """Return the permanent slots of a limiter at a node.

        Those of all limiters add up to ``BASE_FRACTION`` of the limit, rounded down.
        """
        even, rest = divmod(int(self.node_attempts * BASE_FRACTION), self.gateways)
        return even + ((number - subject) % self.gateways < rest)

    def pool(self) -> int:
        """Return the number of slots at each node that are lent."""
        return self.node_attempts - int(self.node_attempts * BASE_FRACTION)

    def lender_of(self, subject: int) -> int:
        """Return the limiter that lends the slots of a node."""
        if subject not in self.lender_cache:
            self.lender_cache[subject] = ring_owner(digest(f"node {subject}"), range(self.gateways))
        return self.lender_cache[subject]

    # Holder -------------------------------------------------------------------------------

    def allowed(self, now: float, subject: int) -> int:
        """Return the attempts and connections that this limiter may have at a node now."""
        held = self.held.get(subject)
        return self.base(subject, self.number) + (
            held.slots if held is not None and now < held.expires_at else 0
        )

    def has_slot(self, now: float, subject: int, in_flight: int) -> bool:
        """Return whether one more attempt may go to a node while ``in_flight`` are there.

        If not, the next request asks for more slots.
        """
        if not self.node_attempts or in_flight < self.allowed(now, subject):
            return True
        self._held(subject).shortfall += 1
        return False

    def record_attempt(self, now: float, subject: int, in_flight: int, first: bool) -> None:
        """Record an attempt sent to a node, the ``first`` of its job or a further one.

        ``in_flight`` includes it.
        """
        if self.further_fraction:
            self.tokens = (
                min(MAX_FURTHER_TOKENS, self.tokens + self.further_fraction) if first else self.tokens - 1.0
            )
        if self.node_attempts:
            held = self._held(subject)
            held.peak, held.peak_at, held.last_attempt_at = (
                max(float(in_flight), self._peak(now, held)),
                now,
                now,
            )

    def _held(self, subject: int) -> HeldLease:
        return self.held.setdefault(subject, HeldLease(self.started_at))

    @staticmethod
    def _peak(now: float, held: HeldLease) -> float:
        return held.peak * math.exp2((held.peak_at - now) / PEAK_HALF_LIFE_MS) if held.peak else 0.0

    def due_requests(self, now: float, in_flight: Callable[[int], int]) -> Iterator[tuple[int, LeaseRequest]]:
        """Yield the requests that are due, each with its lender.

        ``in_flight`` returns the attempts in flight at a node.
        """
        for subject, held in list(self.held.items()) if self.node_attempts else ():
            interval = URGENT_RENEW_MS if held.shortfall else RENEW_MS
            if now - held.requested_at < interval:
                continue
            used = max(in_flight(subject), self.open_connections(subject))
            if not held.shortfall and not used and not held.slots and now - held.last_attempt_at > IDLE_MS:
                del self.held[subject]
                continue
            base = self.base(subject, self.number)
            wanted = math.ceil(max(self._peak(now, held), in_flight(subject))) + SPARE_SLOTS - base
            wanted += min(held.shortfall, MAX_SHORTFALL_SLOTS)
            held.requested_at, held.shortfall = now, 0
            if now >= held.expires_at:
                held.slots = 0
            if wanted > 0 or held.slots or used > base or held.reported_adopted not in (-1, held.adopted):
                yield self.lender_of(subject), self._request(now, subject, held, used - base, wanted)

    @staticmethod
    def _request(now: float, subject: int, held: HeldLease, used: int, wanted: int) -> LeaseRequest:
        held.reported_adopted, held.number = held.adopted, int(now) & 0xFFFFFFFF
        return LeaseRequest(
            subject, held.number, held.adopted, held.slots if now < held.expires_at else 0,
            max(0, min(MAX_SLOTS, used)), max(0, min(MAX_SLOTS, wanted)))

    def report_holdings(
        self, now: float, peer: int, in_flight: Callable[[int], int]
    ) -> Iterator[LeaseRequest]:
        """Yield the reports to a peer that has restarted: the leases that this limiter has from it.

        The last one states their number.  The peer itself has no leases from this limiter.
        """
        if not self.node_attempts:
            return
        self.lender.reported.add(peer)
        count = 0
        for subject, held in self.held.items():
            used = max(in_flight(subject), self.open_connections(subject)) - self.base(subject, self.number)
            if self.lender_of(subject) == peer and (held.slots or used > 0):
                count += 1
                yield self._request(now, subject, held, used, held.slots)
        yield LeaseRequest(0, int(now) & 0xFFFFFFFF, self.started_at, count, 0, 0)

    def receive_reply(self, now: float, reply: LeaseReply) -> None:
        """Adopt the lender's answer to the newest request; the lease counts from the request."""
        held = self.held.get(reply.subject)
        if held is None or reply.number != held.number or reply.number == held.adopted:
            return
        age = (int(now) - reply.number) & 0xFFFFFFFF
        held.adopted, held.slots = reply.number, reply.slots
        held.expires_at = now - age + LEASE_MS * (1.0 - CLOCK_RATE_MARGIN)

    def may_send_further(self) -> bool:
        """Return whether a further attempt is within the budget."""
        return not self.further_fraction or self.tokens >= 1.0

    # Upkeep -------------------------------------------------------------------------------

    def clean(self, now: float) -> None:
        """Forget leases that are over, and the cached lenders of nodes that are not in use."""
        self.lender.clean(now)
        self.lender_cache = {n: lender for n, lender in self.lender_cache.items() if n in self.held}

    def rows(self, now: float, names: Callable[[int], str]) -> list[dict[str, object]]:
        """Return the rows that operators see: each node whose slots this limiter holds or lends."""
        rows: list[dict[str, object]] = []
        for subject in sorted({*self.held, *self.lender.grants}):
            grants = self.lender.grants.get(subject, {})
            lent = {h: slots for h, g in sorted(grants.items()) if (slots := g.reserved(now))}
            rows.append({"node": names(subject), "allowed": self.allowed(now, subject),
                         "base": self.base(subject, self.number), "lender": self.lender_of(subject),
                         "lent": lent, "pool": self.pool()})
        return rows
