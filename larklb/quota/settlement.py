"""Settlement of units that limiters admitted without their owner, by counts that only grow.

For each customer a limiter counts what it has admitted by itself since it started.  It sends the whole
count, with its incarnation and the part that an owner has confirmed, until all of it is confirmed.  An owner
merges a count by taking the maximum and charges the difference.  So a count that is lost, repeated or late
changes nothing in the end, and no unit is settled twice.  An owner that has not received a count before
starts from what a former owner had confirmed of it.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

# Resolution of the units in messages.
UNIT_STEP = 1 / 16
# Interval between two transmissions of a count that is not confirmed.
RESEND_INTERVAL_MS = 250.0
# Both sides drop a settled count that has not changed for this long.
COUNT_EXPIRY_MS = 120_000.0
# Counts of each kind that a limiter keeps; the longest settled go first.
MAX_COUNTS = 20_000
# An incarnation not heard for this long has ended; any other number may then follow it.
INCARNATION_TIMEOUT_MS = 10_000.0


class Count(NamedTuple):
    """Units that the sender's incarnation has admitted by itself for a customer.

    ``confirmed`` of them are settled with an owner.
    """

    key: int
    # Number of the plan that the customer's requests name.
    plan: int
    incarnation: int
    units: float
    confirmed: float


class Confirmed(NamedTuple):
    """The owner's confirmation that it has charged so many units of a count."""

    key: int
    incarnation: int
    units: float


@dataclass
class LocalCount:
    """A count of this limiter: ``told`` is when it was last sent, ``at`` when it last changed (ms)."""

    owner: int
    plan: int
    units: float = 0.0
    confirmed: float = 0.0
    told: float = -math.inf
    at: float = 0.0


@dataclass
class PeerCount:
    """The most that this owner has received of another limiter's count, and when (ms)."""

    incarnation: int
    units: float
    at: float


class Settlement:
    """One limiter's own counts, and those that it received as an owner."""

    def __init__(self, incarnation: int) -> None:
        """``incarnation`` is greater with each start of this limiter."""
        self.incarnation = incarnation
        self.local_counts: dict[int, LocalCount] = {}
        # The local counts that are not fully confirmed, by owner and customer.
        self.unconfirmed: dict[int, dict[int, LocalCount]] = {}
        # By sender and customer, the last received at the end.
        self.peer_counts: dict[tuple[int, int], PeerCount] = {}
        # The present incarnation of each sender, and when it was last heard.
        self.incarnations: dict[int, int] = {}
        self.last_heard_at: dict[int, float] = {}

    # As a limiter that admits -------------------------------------------------------------

    def record_admitted(self, now: float, key: int, plan: int, owner: int, units: float) -> None:
        """Counts units admitted without the owner."""
        count = self.local_counts.get(key)
        if count is None:
            count = self.local_counts[key] = LocalCount(owner, plan)
            self.unconfirmed.setdefault(owner, {})[key] = count
            if len(self.local_counts) > MAX_COUNTS:
                settled = (k for k, c in self.local_counts.items()
                           if k not in self.unconfirmed.get(c.owner, ()))
                self._drop(next(settled, next(iter(self.local_counts))))
        count.units += units
        count.at = now
        self.unconfirmed.setdefault(count.owner, {})[key] = count

    def _drop(self, key: int) -> None:
        count = self.local_counts.pop(key)
        self.unconfirmed.get(count.owner, {}).pop(key, None)

    def due_counts(self, now: float, owner: int) -> Iterator[Count]:
        """Counts to be sent to an owner now, the one not sent for longest first."""
        for key, count in list(self.unconfirmed.get(owner, {}).items()):
            if now - count.told >= RESEND_INTERVAL_MS:
                yield self._message(key, count)

    def unconfirmed_count(self, key: int) -> Count | None:
        """The count of one customer, if its owner has not confirmed all of it."""
        count = self.local_counts.get(key)
        return (self._message(key, count)
                if count is not None and key in self.unconfirmed.get(count.owner, ()) else None)

    def _message(self, key: int, count: LocalCount) -> Count:
        return Count(key, count.plan, self.incarnation, count.units, count.confirmed)

    def mark_sent(self, now: float, key: int) -> None:
        """Notes that a customer's count is sent now, and moves it behind the others of its owner."""
        count = self.local_counts[key]
        count.told = now
        waiting = self.unconfirmed[count.owner]
        waiting[key] = waiting.pop(key)

    def on_confirmed(self, now: float, sender: int, confirmation: Confirmed) -> None:
        """Takes in an owner's confirmation; one for another incarnation or owner is ignored."""
        count = self.local_counts.get(confirmation.key)
        if count is None or confirmation.incarnation != self.incarnation or sender != count.owner:
            return
        count.confirmed = max(count.confirmed, min(confirmation.units, count.units))
        count.at = now
        if count.confirmed >= count.units - UNIT_STEP / 2:
            self.unconfirmed.get(count.owner, {}).pop(confirmation.key, None)

    # As the owner -------------------------------------------------------------------------

    def on_count(self, now: float, sender: int, count: Count) -> float:
        """Merges a peer's count; returns the units that are new and to be taken from the bucket now."""
        if not self.is_current(now, sender, count.incarnation):
            return 0.0
        known = self.peer_counts.get((sender, count.key))
        if known is None or known.incarnation != count.incarnation:
            known = PeerCount(count.incarnation, count.confirmed, now)
        else:
            del self.peer_counts[sender, count.key]
        self.peer_counts[sender, count.key] = known
        if len(self.peer_counts) > MAX_COUNTS:
            del self.peer_counts[next(iter(self.peer_counts))]
        # What a former owner confirmed is settled, even if an older message of this count came here first.
        new_units = max(0.0, count.units - max(known.units, count.confirmed))
        known.units, known.at = max(known.units, count.units), now
        return new_units

    def is_current(self, now: float, sender: int, incarnation: int) -> bool:
        """Whether a message is from its sender's present incarnation, which is noted if it is new.

        The present one has the greatest number.  Any other may follow one that was not heard for
        INCARNATION_TIMEOUT_MS, because numbers come from a clock that starts anew when the machine does.
        """
        newest = self.incarnations.get(sender, incarnation)
        if incarnation < newest and now - self.last_heard_at.get(sender, now) <= INCARNATION_TIMEOUT_MS:
            return False
        self.incarnations[sender], self.last_heard_at[sender] = incarnation, now
        return True

    def confirmation_for(self, sender: int, key: int) -> Confirmed | None:
        """The confirmation of what is known of a peer's count; None if nothing is."""
        known = self.peer_counts.get((sender, key))
        return Confirmed(key, known.incarnation, known.units) if known is not None else None

    def expire(self, now: float) -> None:
        """Drops settled counts that have not changed within COUNT_EXPIRY_MS."""
        for key, count in list(self.local_counts.items()):
            if now - count.at > COUNT_EXPIRY_MS and key not in self.unconfirmed.get(count.owner, ()):
                del self.local_counts[key]
        self.peer_counts = {k: known for k, known in self.peer_counts.items()
                            if now - known.at <= COUNT_EXPIRY_MS}
        self.unconfirmed = {owner: waiting for owner, waiting in self.unconfirmed.items() if waiting}
