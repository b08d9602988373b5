"""What a limiter decides without its customer's owner, and how that is settled with it afterwards.

It holds the late copies and slices, the shares (``shares.py``) and the counts (``settlement.py``), and knows
which limiters have been heard of lately.  The module asks it and tells it; it does no input or output.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from larklb import interface as io
from larklb import peerwire as pw
from larklb.quota.bucket import TokenBucket
from larklb.quota.entitlements import Entitlements
from larklb.quota.settlement import UNIT_STEP, Confirmed, Count, Settlement
from larklb.quota.shares import (
    DEMAND_EXPIRY_MS,
    ESCROW_RELEASE_DELAY_MS,
    MAX_DEBT_BURSTS,
    PEER_TIMEOUT_MS,
    SLACK_UNITS,
    Shares,
)
from larklb.quota.table_limits import evict_fullest, evict_oldest
from larklb.records import Copy, Held

COPY_MAX_AGE_MS = 1000.0     # a late copy older than this no longer stands in for the owner (design)
WARMUP_MS = 1000.0            # an owner's bucket is put right by the copies of others for so long
MAX_COPY_FAILURES = 4  # asks that failed in a row, after which the share decides, not the copy
PEER_QUIET_MS = 400.0           # without a word from a limiter that has a share: it is asked for one
MIN_SHARE = 0.01         # of a quota: a side with less could not even serve one job in minutes
GOLDEN_RATIO = 0.618             # spreads the numbers of limiters evenly over a turn
COUNT_BYTES, COPY_BYTES = 22, 12           # of a count and a copy in a message
MAX_STARTUP_COPIES = 90           # told to an owner that has just started: some five messages
PEER_CHECK_INTERVAL_MS = 100.0            # who is apart is looked at so often
REPORT_MS = 500.0          # ... and who owes an owner a count, or has to be asked for a word


class Fallback:
    """Of one limiter."""

    def __init__(self, settings: io.Settings, book: Entitlements, now: float) -> None:
        self.settings, self.entitlements = settings, book
        self.enabled = book.settle and settings.can_tell and settings.gateways > 1
        self.started_at = now
        self.shares = Shares(book.reserve, book.max_customers)
        # The clock advances over a restart: a later start has the greater incarnation, on the same machine.
        self.settlement = Settlement(int(now / 100.0) & 0xFFFFFFFF)
        self.copies: dict[int, Copy] = {}
        self.share_buckets: dict[int, tuple[int, TokenBucket, float]] = {}  # plan named, bucket, last part
        self.last_heard_at: dict[int, float] = {}
        self.unreachable: frozenset[int] = frozenset()
        # Whether inboxes hold a word to everybody now and then: else silence means nothing, and no share is
        # kept for the silent; what they let in is settled all the same.
        self.can_detect_silence = True
        self.last_peer_check_at = self.last_report_at = -math.inf
        self.requested_copies: dict[int, tuple[float, list[int]]] = {}  # for owners just started
        self.reunited_at: dict[int, float] = {}                # when a customer's limiters were last apart

    def record_request(self, now: float, h: Held) -> None:
        """A request came in."""
        if self.enabled and h.plan.rate:
            self.shares.record_request(now, h.key, h.units)

    def is_starting(self, now: float) -> bool:
        """Whether this limiter has just started: others know more of its buckets than it does."""
        return now - self.started_at < WARMUP_MS

    # Who is heard -------------------------------------------------------------------------

    def on_message(self, now: float, peer: int) -> None:
        self.last_heard_at[peer] = now
        if peer in self.unreachable:
            self.last_peer_check_at = -math.inf

    def unreachable_peers(self, now: float) -> frozenset[int]:
        """The limiters heard of before, and not lately."""
        if now - self.last_peer_check_at >= PEER_CHECK_INTERVAL_MS:
            self.last_peer_check_at = now
            self.unreachable = frozenset(g for g, at in self.last_heard_at.items()
                                         if self.can_detect_silence and now - at > PEER_TIMEOUT_MS)
        return self.unreachable

    def quiet_peers(self, now: float) -> list[int]:
        """Limiters that have a share and have said nothing for a while: a word from them would tell."""
        if not self.enabled or not self.can_detect_silence:
            return []
        sharing = {g for others in self.shares.peer_demand.values() for g in others}
        return [g for g in sharing if now - self.last_heard_at.get(g, -math.inf) > PEER_QUIET_MS]

    # The owner ----------------------------------------------------------------------------

    def apply_share(self, now: float, key: int, bucket: TokenBucket) -> None:
        """An owner's bucket is about to be looked at: it has its part while some are apart."""
        if (not self.enabled
            or not self.unreachable_peers(now) and bucket.part == 1.0 and bucket.escrow == 0.0):
            return
        part = self.shares.owner_part(now, key, self.unreachable)
        if part < 1.0:
            bucket.set_part(now, max(MIN_SHARE, part))
            bucket.born = -math.inf
            return
        if bucket.part < 1.0:
            bucket.set_part(now, 1.0)
            self.reunited_at.setdefault(key, now)
        if now - self.reunited_at.get(key, -math.inf) >= ESCROW_RELEASE_DELAY_MS:
            bucket.release_escrow(now)
            self.reunited_at.pop(key, None)

    def on_count(self, now: float, sender: int, c: Count, bucket: TokenBucket) -> Confirmed | None:
        """Another limiter's count: what was not known of it leaves the bucket; what it is to be told."""
        first = (sender, c.key) not in self.settlement.peer_counts
        news = self.settlement.on_count(now, sender, c)
        told = first and bucket.copied and now - bucket.born < 2 * WARMUP_MS
        if news and not told:                # a late copy is without what its sender had let in
            bucket.settle(now, news, MAX_DEBT_BURSTS * bucket.burst)
        return self.settlement.confirmation_for(sender, c.key)

    def on_copy(self, now: float, bucket: TokenBucket, left: float) -> None:
        """A late copy for a bucket that was made anew: the first sets it, further ones lower it."""
        if now - bucket.born >= WARMUP_MS:
            return
        bucket.tokens = min(bucket.fill(now), left)
        bucket.copied = self.is_starting(now)  # else it is new for want of use, and nothing was forgotten

    def startup_notice(self, now: float) -> bytes:
        """What messages begin with in a limiter's first second."""
        return (pw.pack_item(pw.Fresh(self.settlement.incarnation)) if self.enabled and self.is_starting(now)
                else b"")

    def on_peer_started(self, now: float, sender: int, incarnation: int) -> bool:
        """A limiter has started: what was kept for its former self returns; whether it is to have copies."""
        was = self.settlement.incarnations.get(sender)
        if not self.settlement.is_current(now, sender, incarnation) or was == incarnation:
            return False
        if was is not None:
            for key in self.shares.forget_peer(sender):
                if key in self.shares.separated_since:
                    self.reunited_at[key] = now - ESCROW_RELEASE_DELAY_MS
        mine = sorted(((c.at, key) for key, c in self.copies.items() if c.owner == sender), reverse=True)
        self.requested_copies[sender] = (now, [key for _, key in mine[:MAX_STARTUP_COPIES]])
        return bool(mine)

    def _startup_copies(self, now: float, owner: int, space: int) -> Iterator[bytes]:
        """For an owner that has just lost its buckets, the last used in front, as far as they fit.

        One message is sent for them at once, the rest rides along: more would hold up asks and verdicts."""
        since, keys = self.requested_copies.get(owner, (now, []))
        while keys and now - since < WARMUP_MS and space >= COPY_BYTES:
            copy = self.copies.get(key := keys.pop(0))
            plan = self.entitlements.effective_plan(now, key, copy.plan).plan if copy is not None else None
            if copy is not None and plan is not None and plan.rate:
                yield pw.pack_item(pw.CopyOf(key, copy.plan, self._tokens_left(now, copy, plan)))
                space -= COPY_BYTES
        if not keys or now - since >= WARMUP_MS:
            self.requested_copies.pop(owner, None)

    # One who asks ---------------------------------------------------------------------------

    @staticmethod
    def _tokens_left(now: float, copy: Copy, plan: io.Plan) -> float:
        return min(plan.burst, copy.left - copy.let_in + (now - copy.at) * plan.rate / 1000.0)

    def tokens_left(self, now: float, h: Held) -> float | None:
        """The late copy goes with an ask: an owner's lost bucket is rebuilt by those who use it."""
        copy = self.copies.get(h.key)
        return self._tokens_left(now, copy, h.plan) if copy is not None and h.plan.rate else None

    def refusal_wait(self, now: float, h: Held, inbox: float, usual: float) -> float | None:
        """Time to wait where a fresh copy shows that the owner would refuse, or it did again and again."""
        # Refused again: held for as long as asks from all its gateways, one each, fill the owner's inbox.
        copy = self.copies.get(h.key)
        if copy is None or max(copy.reserved, self.entitlements.reserved_units(now, h.key)) >= h.units:
            return None
        left, age = self.tokens_left(now, h), now - copy.at
        hold = h.spread * 1000.0 / max(1.0, inbox)
        if not h.plan.rate or copy.left >= h.units:       # for want of a slot: the next answer frees one
            hold = min(hold, usual)
        if copy.refused > 1 and age < hold:
            return hold - age
        empty = left is not None and age <= COPY_MAX_AGE_MS and left < h.units
        return (h.units - left) / h.plan.rate * 1000.0 if left is not None and empty else None

    def decide(self, now: float, h: Held, out: int, failures: int) -> tuple[bool, float]:
        """The late copy less what it let in since, else the share, decides; and the time to wait if not.

        ``out`` counts the customer's attempts that are out from here, ``failures`` asks of the owner that
        have failed in a row: one may be chance, after more others too go by their copies, and together
        too far."""
        copy, plan = self.copies.get(h.key), h.plan
        fresh = (copy is not None and now - copy.at <= COPY_MAX_AGE_MS
                 and not (self.enabled and failures >= MAX_COPY_FAILURES))
        if copy is not None and fresh:
            left = self.tokens_left(now, h)
            inside = ((left is None or left >= h.units)
                      and (not plan.most_open or copy.open + copy.let_in < plan.most_open))
            copy.let_in += h.units if inside else 0.0
            return inside, (h.units - left) / plan.rate * 1000.0 if left is not None else 0.0
        bucket = self._share_bucket(now, h)
        inside = ((not plan.rate or bucket.tokens >= min(h.units, bucket.burst))
                  and (not plan.most_open or out < math.ceil(plan.most_open / h.spread)))
        bucket.tokens -= h.units if inside and plan.rate else 0.0
        return inside, bucket.wait_for(h.units)

    def _share_bucket(self, now: float, h: Held) -> TokenBucket:
        """This limiter's share of a customer's quota as a bucket of its own."""
        part = (max(MIN_SHARE, self.shares.local_share(now, h.key, h.spread)) if self.enabled
                else 1.0 / h.spread)
        if h.key not in self.share_buckets:
            evict_fullest(self.share_buckets, now, self.entitlements.max_customers)
            bucket = self.entitlements.new_bucket(now, h.key, h.told, 1.0 / part)
            left = self.tokens_left(now, h)
            if self.enabled and left is not None:
                bucket.tokens = min(bucket.tokens, part * max(0.0, left) + SLACK_UNITS)
        else:
            bucket = self.share_buckets[h.key][1]
        self.share_buckets[h.key] = (h.told, bucket, part)
        self.entitlements.update_bucket(now, h.key, h.told, bucket, 1.0 / part)
        if (bucket.rate, bucket.burst) != (h.plan.rate * part, h.plan.burst * part):
            bucket.change(now, h.plan.rate * part, h.plan.burst * part)       # the share has grown or shrunk
        bucket.fill(now)
        return bucket

    def record_admitted(self, now: float, h: Held) -> None:
        """It was let in without the owner's word."""
        if self.enabled and h.plan.rate:
            self.settlement.record_admitted(now, h.key, h.told, h.owner, h.units)

    def on_verdict(self, now: float, h: Held, v: pw.Verdict) -> None:
        """The owner's word mends the copy."""
        known = self.copies.pop(h.key, None)
        evict_oldest(self.copies, self.entitlements.max_customers)
        refused = 0 if v.granted else 1 + (known.refused if known else 0)
        self.copies[h.key] = Copy(h.told, h.owner, v.left, v.open, now, refused, reserved=v.reserved)
        if v.share is not None and self.enabled:
            self.shares.accept_share(now, h.key, v.share, v.total)
        self.share_buckets.pop(h.key, None)

    def count_to_report(self, now: float, h: Held) -> list[Count]:
        """What has not been confirmed for the customer of an ask, to be told in front of it."""
        count = self.settlement.unconfirmed_count(h.key) if self.enabled else None
        if count is None:
            return []
        self.settlement.mark_sent(now, h.key)
        return [count]

    def piggybacked_items(self, now: float, peer: int, space: int) -> Iterator[bytes]:
        """What else a message that goes out now can carry: counts not confirmed, copies that are wanted."""
        for count in self.settlement.due_counts(now, peer) if self.enabled else ():
            if space < COUNT_BYTES:
                return
            space -= COUNT_BYTES
            self.settlement.mark_sent(now, count.key)
            yield pw.pack_item(count)
        if peer in self.requested_copies:
            yield from self._startup_copies(now, peer, space)

    def owners_to_report_to(self, now: float, every: float) -> list[int]:
        """Owners that are heard and have not confirmed all, once in so many ms: most is told with asks."""
        if self.last_report_at == -math.inf:  # limiters take turns: all at once would fill an owner's inbox
            self.last_report_at = now - every * (self.settings.number * GOLDEN_RATIO % 1.0)
        if now - self.last_report_at < every:
            return []
        self.last_report_at = now
        return [g for g, waiting in self.settlement.unconfirmed.items() if waiting and self.enabled
                and now - self.last_heard_at.get(g, -math.inf) < PEER_TIMEOUT_MS]

    # Upkeep -------------------------------------------------------------------------------

    def expire(self, now: float, most_due: float) -> None:
        """State stays bounded by recent traffic."""
        for key, copy in list(self.copies.items()):
            plan = self.entitlements.effective_plan(now, key, copy.plan).plan
            if now - copy.at > max(most_due, plan.burst / plan.rate * 1000.0 if plan.rate else 0.0):
                del self.copies[key]
        for key, (told, b, part) in list(self.share_buckets.items()):
            self.entitlements.update_bucket(now, key, told, b, 1.0 / part)
            if now - b.at > most_due and b.fill(now) >= b.burst:
                del self.share_buckets[key]
        self.shares.expire(now)
        self.settlement.expire(now)
        self.reunited_at = {k: at for k, at in self.reunited_at.items() if now - at < DEMAND_EXPIRY_MS}

    def describe(self, now: float, key: int, owned: tuple[int, TokenBucket] | None) -> dict[str, object]:
        """For an operator: whether a customer is judged surely here, by which part of its quota, what is not
        settled yet, and by how many units the count here may be off at most."""
        mine, copy, told = (self.settlement.local_counts.get(key), self.copies.get(key),
                            self.shares.granted.get(key))
        unsettled = max(0.0, mine.units - mine.confirmed) if mine is not None else 0.0
        found: dict[str, object] = {"owner": owned is not None, "sure": True, "part": 1.0,
                                    "unsettled": unsettled, "off": unsettled,
                                    "apart": sorted(self.unreachable_peers(now))}
        if owned is not None:
            bucket = owned[1]
            since = self.shares.separated_since.get(key)
            if since is not None and bucket.part < 1.0:
                off = bucket.burst + (1.0 - bucket.part + self.shares.reserve) * bucket.rate * (
                    now - since) / 1000.0
                found |= {"sure": False, "part": round(bucket.part, 3), "off": round(off, 1)}
            return found
        owner = mine.owner if mine is not None else copy.owner if copy is not None else None
        away = now - self.last_heard_at.get(owner, self.started_at) if owner is not None else 0.0
        if away > PEER_TIMEOUT_MS and key in self.share_buckets:
            plan = self.entitlements.effective_plan(now, key, self.share_buckets[key][0]).plan
            share = self.share_buckets[key][2]
            off = unsettled + plan.burst + (1.0 - share) * plan.rate * away / 1000.0
            found |= {"sure": False, "part": round(share, 3), "off": round(off, 1)}
        elif unsettled >= UNIT_STEP:
            found["sure"] = False
        if told is not None:
            found["share"] = round(told.share, 3)
        return found
