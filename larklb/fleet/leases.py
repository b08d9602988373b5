"""Limits on what all limiters together have at one execute node, divided in shares that are lent for a time.

A node may be used for so many attempts at once, and hold as many connections.  Half of that is divided evenly
for good (``Limits.base``), so that nobody is left without while lenders cannot be asked.  The rest is lent by
one limiter, the node's *lender*, found on the ring.  Who needs more than its base asks it, and has what it is
told for ``LEASE_MS`` from the moment that it *asked*, on its own clock; so it ends before the lender, which
counts from when the ask came, takes it to be over.  No two clocks need agree, only run alike.

What the lender may not lend to others, of one holder:

    it has heard of the holder          it keeps for it
    within LEASE_MS + the deadline      the most of what it told since the share that the holder says it goes
                                        by, and of what the holder says it uses
    before that                         nothing: the share is over, and so is each attempt begun under it

A lender that starts anew has forgotten.  Until all that it may have lent is over it tells each no more than
what that one says it has, unless all others have told it sooner what they have: who hears that it has started
tells it that, node by node, and then of how many nodes.  A holder goes by the answer to its newest ask alone,
so that what it has told is all that it may have.

So the sum never exceeds the limit, whatever is lost, late, repeated, cut, stopped or started anew;
``lab/check_leases.py`` plays that.  What a holder cannot renew shrinks to its base after
``LEASE_MS``; a lost holder's share is lent to others after ``LEASE_MS`` and the longest deadline.

Shares follow demand: where more is wanted than there is, each gets its part of what is wanted, by renewals.

The budget of further attempts needs no words: each limiter may make so many for each first attempt of its
own, and the sum keeps the same proportion, but for ``AT_ONCE`` of each limiter that may come ahead.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from larklb.quota.ring import digest, ring_owner

LEASE_MS = 3000.0          # a share counts for so long from its ask on: a few words in a row may be lost
CLOCK_RATE_MARGIN = 0.02              # of it is left for clocks and timers that run unlike each other
RENEW_MS = 900.0           # between asks of one who goes on as before
URGENT_RENEW_MS = 120.0           # ... and of one who has just been short: a round trip and some loss
BASE_FRACTION = 0.5            # of a limit is divided evenly for good
PEAK_HALF_LIFE_MS = 4000.0           # half-life of the most attempts that were out: what is wanted follows it
SPARE_SLOTS = 1                  # more than that is wanted: the next attempt should not wait for a word
MAX_SHORTFALL_SLOTS = 4                  # ... and so many more at the most where attempts found no slot
MAX_FURTHER_TOKENS = 5.0              # further attempts that one limiter may save up
MAX_SLOTS = 255           # that a message can say
IDLE_MS = 30_000.0         # a node that is not used is forgotten after so long


class LeaseRequest(NamedTuple):
    """A holder's ask; with ``subject`` 0 it has told of ``held`` nodes all that it has.

    ``number`` is its clock in ms (32 bits, compared as a serial number), ``adopted`` that of the ask whose
    share it goes by, or its start; ``used`` is what it uses beyond its base."""

    subject: int
    number: int
    adopted: int
    held: int
    used: int
    wanted: int


class LeaseReply(NamedTuple):
    """The lender's answer to the ask of that number."""

    subject: int
    number: int
    slots: int


def is_newer_number(number: int, than: int) -> bool:
    """Whether a number comes after another, as serial numbers of 32 bits do (RFC 1982)."""
    return 0 < (number - than) & 0xFFFFFFFF < 0x80000000


@dataclass(slots=True)
class HolderGrant:
    """What a lender knows of one holder of one node's slots."""

    number: int                            # of its newest ask
    expires_at: float                           # its share, and what was begun under it, is over by then
    used: int = 0
    wanted: int = 0
    offers: list[tuple[int, int]] = field(default_factory=list)     # asks and slots that it may go by

    def reserved(self, now: float) -> int:
        """Slots that nobody else may have."""
        return max([self.used, *(slots for _, slots in self.offers)]) if now < self.expires_at else 0


class Lender:
    """Of the nodes that the ring gives this limiter."""

    def __init__(self, now: float, over_ms: float, others: int) -> None:
        """``over_ms``: from an ask until its share and all attempts begun under it are over; ``others``: the
        limiters beside this one."""
        self.release_after_ms, self.others = over_ms, others
        self.reported: set[int] = set()                # who has told all that it has since this start
        self.recovering_until = now + over_ms            # what a former self has lent is over by then
        self.grants: dict[int, dict[int, HolderGrant]] = {}   # by node and holder

    def handle_request(self, now: float, holder: int, want: LeaseRequest, pool: int) -> LeaseReply | None:
        """An ask came; ``pool``: slots of this node that are lent at all.  None: it is older than another."""
        if not want.subject:
            told = [
                g for grants in self.grants.values() if (g := grants.get(holder)) and g.number == want.number
            ]
            if len(told) >= want.held:
                self.reported.add(holder)
            return None
        grants = self.grants.setdefault(want.subject, {})
        grant = grants.get(holder)
        if grant is None or now >= grant.expires_at and not is_newer_number(want.number, grant.number):
            # a clock may start anew with its machine
            grant = grants[holder] = HolderGrant(want.number, now)
        elif not is_newer_number(want.number, grant.number):
            return None
        grant.number, grant.used, grant.wanted = want.number, want.used, want.wanted
        grant.offers = [
            (n, s) for n, s in grant.offers if n == want.adopted or is_newer_number(n, want.adopted)
        ]
        grant.expires_at = now + self.release_after_ms
        free = pool - sum(g.reserved(now) for h, g in grants.items() if h != holder)
        slots = max(0, min(self._proportional_slots(now, grants, want.wanted, pool), free, MAX_SLOTS))
        if now < self.recovering_until and len(self.reported) < self.others:
            slots = min(slots, want.held)
        grant.offers.append((want.number, slots))
        return LeaseReply(want.subject, want.number, slots)

    def _proportional_slots(self, now: float, grants: dict[int, HolderGrant], wanted: int, pool: int) -> int:
        """What an ask is worth beside the others: all of it, or a proportion where there is too little."""
        total = sum(g.wanted for g in grants.values() if now < g.expires_at)
        return wanted if total <= pool else math.ceil(pool * wanted / total)

    def clean(self, now: float) -> None:
        """What is over is forgotten."""
        for subject, grants in list(self.grants.items()):
            for holder in [h for h, g in grants.items() if now >= g.expires_at]:
                del grants[holder]
            if not grants:
                del self.grants[subject]


@dataclass(slots=True)
class HeldLease:
    """What a limiter holds of one node's slots, beside its base."""

    adopted: int                           # the ask whose share it goes by
    number: int = -1                       # the newest ask
    slots: int = 0
    expires_at: float = -math.inf
    peak: float = 0.0                      # the most that were used of late, ...
    peak_at: float = -math.inf                  # ... as of then
    requested_at: float = -math.inf
    reported_adopted: int = -1                         # ``adopted`` as the lender was last told it
    shortfall: int = 0                         # attempts that found no slot since the last ask
    last_attempt_at: float = -math.inf               # the last attempt


class FleetLimits:
    """One limiter's part of the fleet's limits, as an operator's file gives them."""

    def __init__(self, number: int, gateways: int, now: float, longest_ms: float,
                 node_attempts: int = 0, further_part: float = 0.0) -> None:
        """``longest_ms``: the longest deadline; ``node_attempts``: at once at one node, of all ``gateways``
        limiters, 0 for no limit; ``further_part``: further attempts for each first one, 0 for no budget."""
        self.number, self.gateways = number, gateways
        self.node_attempts, self.further_fraction = node_attempts, further_part
        self.started_at = int(now) & 0xFFFFFFFF
        self.lender = Lender(now, LEASE_MS + longest_ms, gateways - 1)
        self.held: dict[int, HeldLease] = {}
        self.tokens = MAX_FURTHER_TOKENS
        self.lender_cache: dict[int, int] = {}           # by node, as the ring has them
        # Connections that a node has from here, beside the attempts that the module counts.
        self.open_connections: Callable[[int], int] = lambda subject: 0

    def extend_deadline(self, longest_ms: float) -> None:
        """Another longest deadline counts; one that has been shorter meanwhile may still have work out."""
        self.lender.release_after_ms = max(self.lender.release_after_ms, LEASE_MS + longest_ms)

    # What is divided ----------------------------------------------------------------------

    def base(self, subject: int, number: int) -> int:
        """A limiter's slots at a node for good: the parts of all are BASE_PART of the limit, rounded down."""
        even, rest = divmod(int(self.node_attempts * BASE_FRACTION), self.gateways)
        return even + ((number - subject) % self.gateways < rest)

    def pool(self) -> int:
        """Slots of each node that are lent."""
        return self.node_attempts - int(self.node_attempts * BASE_FRACTION)

    def lender_of(self, subject: int) -> int:
        """The limiter that lends a node's slots."""
        if subject not in self.lender_cache:
            self.lender_cache[subject] = ring_owner(digest(f"node {subject}"), range(self.gateways))
        return self.lender_cache[subject]

    # One who uses them --------------------------------------------------------------------

    def allowed(self, now: float, subject: int) -> int:
        """Attempts and connections that this limiter may have at a node now."""
        held = self.held.get(subject)
        return self.base(subject, self.number) + (
            held.slots if held is not None and now < held.expires_at else 0
        )

    def has_slot(self, now: float, subject: int, out: int) -> bool:
        """Whether one more attempt may go there while ``out`` are; one that finds none asks for more."""
        if not self.node_attempts or out < self.allowed(now, subject):
            return True
        self._held(subject).shortfall += 1
        return False

    def record_attempt(self, now: float, subject: int, out: int, first: bool) -> None:
        """An attempt has gone there, the ``first`` of its job or a further one; ``out`` with it."""
        if self.further_fraction:
            self.tokens = (
                min(MAX_FURTHER_TOKENS, self.tokens + self.further_fraction) if first else self.tokens - 1.0
            )
        if self.node_attempts:
            held = self._held(subject)
            held.peak, held.peak_at, held.last_attempt_at = max(float(out), self._peak(now, held)), now, now

    def _held(self, subject: int) -> HeldLease:
        return self.held.setdefault(subject, HeldLease(self.started_at))

    @staticmethod
    def _peak(now: float, held: HeldLease) -> float:
        return held.peak * math.exp2((held.peak_at - now) / PEAK_HALF_LIFE_MS) if held.peak else 0.0

    def due_requests(self, now: float, out: Callable[[int], int]) -> Iterator[tuple[int, LeaseRequest]]:
        """Asks that are to go now, and to whom; ``out`` tells the attempts at a node."""
        for subject, held in list(self.held.items()) if self.node_attempts else ():
            every = URGENT_RENEW_MS if held.shortfall else RENEW_MS
            if now - held.requested_at < every:
                continue
            used = max(out(subject), self.open_connections(subject))
            if not held.shortfall and not used and not held.slots and now - held.last_attempt_at > IDLE_MS:
                del self.held[subject]
                continue
            base = self.base(subject, self.number)
            wanted = math.ceil(max(self._peak(now, held), out(subject))) + SPARE_SLOTS - base
            wanted += min(held.shortfall, MAX_SHORTFALL_SLOTS)
            held.requested_at, held.shortfall = now, 0
            if now >= held.expires_at:
                held.slots = 0
            if wanted > 0 or held.slots or used > base or held.reported_adopted not in (-1, held.adopted):
                yield self.lender_of(subject), self._request(now, subject, held, used - base, wanted)

    @staticmethod
    def _request(now: float, subject: int, held: HeldLease, used: int, wanted: int) -> LeaseRequest:
        held.reported_adopted, held.number = held.adopted, int(now) & 0xFFFFFFFF
        return LeaseRequest(subject, held.number, held.adopted, held.slots if now < held.expires_at else 0,
                    max(0, min(MAX_SLOTS, used)), max(0, min(MAX_SLOTS, wanted)))

    def report_holdings(self, now: float, peer: int, out: Callable[[int], int]) -> Iterator[LeaseRequest]:
        """Another limiter has started anew: it has nothing of this one, and is told what it has lent it."""
        if not self.node_attempts:
            return
        self.lender.reported.add(peer)
        count = 0
        for subject, held in self.held.items():
            used = max(out(subject), self.open_connections(subject)) - self.base(subject, self.number)
            if self.lender_of(subject) == peer and (held.slots or used > 0):
                count += 1
                yield self._request(now, subject, held, used, held.slots)
        yield LeaseRequest(0, int(now) & 0xFFFFFFFF, self.started_at, count, 0, 0)

    def receive_reply(self, now: float, share: LeaseReply) -> None:
        """The lender's answer: it counts from the ask on."""
        held = self.held.get(share.subject)
        if held is None or share.number != held.number or share.number == held.adopted:
            return
        age = (int(now) - share.number) & 0xFFFFFFFF
        held.adopted, held.slots = share.number, share.slots
        held.expires_at = now - age + LEASE_MS * (1.0 - CLOCK_RATE_MARGIN)

    def may_send_further(self) -> bool:
        """Whether a further attempt is within the budget."""
        return not self.further_fraction or self.tokens >= 1.0

    # Upkeep -------------------------------------------------------------------------------

    def clean(self, now: float) -> None:
        """State stays bounded by the nodes in use."""
        self.lender.clean(now)
        self.lender_cache = {n: lender for n, lender in self.lender_cache.items() if n in self.held}

    def rows(self, now: float, names: Callable[[int], str]) -> list[dict[str, object]]:
        """For an operator: each node with slots that this limiter holds, or lends to others."""
        rows: list[dict[str, object]] = []
        for subject in sorted({*self.held, *self.lender.grants}):
            grants = self.lender.grants.get(subject, {})
            lent = {h: kept for h, g in sorted(grants.items()) if (kept := g.reserved(now))}
            rows.append({"node": names(subject), "allowed": self.allowed(now, subject),
                         "base": self.base(subject, self.number), "lender": self.lender_of(subject),
                         "lent": lent, "pool": self.pool()})
        return rows
