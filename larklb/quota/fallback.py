"""Decisions taken while a customer's owner cannot be asked, and their settlement with it afterwards.

A limiter keeps bucket copies (what the owners' replies said of their buckets), a bucket of its own share for
each customer whose owner does not answer, the shares (``shares.py``), the counts of what it admitted by
itself (``settlement.py``), and the time at which each other limiter was last heard.  The decision module
calls it; it does no input or output.
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
from larklb.records import Copy, PendingRequest

# An older bucket copy no longer stands in for the owner (from the design).
COPY_MAX_AGE_MS = 1000.0
# For this long after a bucket was made, peers' copies of it correct it.  For this long after its start a
# limiter counts as starting.
WARMUP_MS = 1000.0
# After this many failed asks in a row the share decides instead of the bucket copy.
MAX_COPY_FAILURES = 4
# A limiter that has a share and was not heard for this long is asked to answer.
PEER_QUIET_MS = 400.0
# Smallest part of a quota: a side with less could not serve a single job within minutes.
MIN_SHARE = 0.01
# Spreads the limiters' numbers evenly over one reporting interval.
GOLDEN_RATIO = 0.618
# Sizes of packed items in a message.
COUNT_BYTES, COPY_BYTES = 22, 12
# Bucket copies sent to an owner that has just started; they fill about five messages.
MAX_STARTUP_COPIES = 90
# Interval between checks of which limiters are unreachable.
PEER_CHECK_INTERVAL_MS = 100.0
# Interval between reports of unconfirmed counts, and between calls to quiet limiters.
REPORT_MS = 500.0


class Fallback:
    """One limiter's decisions without the owner, and what is needed to settle them."""

    def __init__(self, settings: io.Settings, entitlements: Entitlements, now: float) -> None:
        self.settings, self.entitlements = settings, entitlements
        self.enabled = entitlements.settle and settings.can_tell and settings.gateways > 1
        self.started_at = now
        self.shares = Shares(entitlements.reserve, entitlements.max_customers)
        # The clock goes on over a restart on the same machine, so a later start has a greater incarnation.
        self.settlement = Settlement(int(now / 100.0) & 0xFFFFFFFF)
        # Bucket copies, by customer.
        self.copies: dict[int, Copy] = {}
        # By customer: plan that the requests name, bucket, and the part of the quota that the bucket had
        # last.
        self.share_buckets: dict[int, tuple[int, TokenBucket, float]] = {}
        self.last_heard_at: dict[int, float] = {}
        self.unreachable: frozenset[int] = frozenset()
        # Whether inboxes have room for a message to every peer now and then.  Without it silence proves
        # nothing: no share is set aside for silent limiters, and what they admit is settled all the same.
        self.can_detect_silence = True
        self.last_peer_check_at = self.last_report_at = -math.inf
        # Owners that have just started: since when, and the customers whose bucket copies are to be sent.
        self.requested_copies: dict[int, tuple[float, list[int]]] = {}
        # When the limiters of a customer reached each other again after a separation.
        self.reunited_at: dict[int, float] = {}

    def record_request(self, now: float, request: PendingRequest) -> None:
        """Counts a request that came in here towards the demand of its customer."""
        if self.enabled and request.plan.rate:
            self.shares.record_request(now, request.customer_key, request.units)

    def is_starting(self, now: float) -> bool:
        """Whether this limiter has just started, so that others know more of its buckets than it does."""
        return now - self.started_at < WARMUP_MS

    # Reachability of peers ----------------------------------------------------------------

    def on_message(self, now: float, peer: int) -> None:
        """Notes that a message from a peer has arrived; one that was unreachable is checked again at once."""
        self.last_heard_at[peer] = now
        if peer in self.unreachable:
            self.last_peer_check_at = -math.inf

    def unreachable_peers(self, now: float) -> frozenset[int]:
        """The limiters heard before, but not within PEER_TIMEOUT_MS; computed anew at most every 100 ms."""
        if now - self.last_peer_check_at >= PEER_CHECK_INTERVAL_MS:
            self.last_peer_check_at = now
            self.unreachable = frozenset(peer for peer, at in self.last_heard_at.items()
                                         if self.can_detect_silence and now - at > PEER_TIMEOUT_MS)
        return self.unreachable

    def quiet_peers(self, now: float) -> list[int]:
        """Limiters that have a share and were not heard for PEER_QUIET_MS: they are to be called."""
        if not self.enabled or not self.can_detect_silence:
            return []
        sharing = {peer for others in self.shares.peer_demand.values() for peer in others}
        return [peer for peer in sharing if now - self.last_heard_at.get(peer, -math.inf) > PEER_QUIET_MS]

    # As the owner -------------------------------------------------------------------------

    def apply_share(self, now: float, key: int, bucket: TokenBucket) -> None:
        """Sets the owner's part of a bucket before it is used: less than 1 while limiters are unreachable."""
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

    def on_count(self, now: float, sender: int, count: Count, bucket: TokenBucket) -> Confirmed | None:
        """Takes the units of a peer's count that are new from the bucket; returns the confirmation."""
        is_first = (sender, count.key) not in self.settlement.peer_counts
        new_units = self.settlement.on_count(now, sender, count)
        # The bucket copy that set the bucket already lacks the units that its sender had admitted.
        in_copy = is_first and bucket.copied and now - bucket.born < 2 * WARMUP_MS
        if new_units and not in_copy:
            bucket.settle(now, new_units, MAX_DEBT_BURSTS * bucket.burst)
        return self.settlement.confirmation_for(sender, count.key)

    def on_copy(self, now: float, bucket: TokenBucket, left: float) -> None:
        """Lowers a bucket made within the last WARMUP_MS to ``left``, the tokens in a peer's copy of it."""
        if now - bucket.born >= WARMUP_MS:
            return
        bucket.tokens = min(bucket.fill(now), left)
        # A limiter that has been up for longer made the bucket because the customer was new or idle: no
        # state was lost.
        bucket.copied = self.is_starting(now)

    def startup_notice(self, now: float) -> bytes:
        """The item that messages begin with during a limiter's first second; empty afterwards."""
        return (pw.pack_item(pw.CopyRequest(self.settlement.incarnation))
                if self.enabled and self.is_starting(now) else b"")

    def on_peer_started(self, now: float, sender: int, incarnation: int) -> bool:
        """Drops the shares of a restarted limiter's former incarnation.

        Returns whether bucket copies are due to it, of which it gets the newest.

        The escrow that was kept for the former incarnation is released.
        """
        previous = self.settlement.incarnations.get(sender)
        if not self.settlement.is_current(now, sender, incarnation) or previous == incarnation:
            return False
        if previous is not None:
            for key in self.shares.forget_peer(sender):
                if key in self.shares.separated_since:
                    self.reunited_at[key] = now - ESCROW_RELEASE_DELAY_MS
        newest_first = sorted(((copy.at, key) for key, copy in self.copies.items() if copy.owner == sender),
                              reverse=True)
        self.requested_copies[sender] = (now, [key for _, key in newest_first[:MAX_STARTUP_COPIES]])
        return bool(newest_first)

    def _startup_copies(self, now: float, owner: int, space: int) -> Iterator[bytes]:
        """Packed bucket copies for an owner that has lost its buckets, the newest first, as far as they fit.

        One message is sent for them at once; the rest goes with other messages, since more messages would
        delay asks and replies.
        """
        since, keys = self.requested_copies.get(owner, (now, []))
        while keys and now - since < WARMUP_MS and space >= COPY_BYTES:
            copy = self.copies.get(key := keys.pop(0))
            plan = self.entitlements.effective_plan(now, key, copy.plan).plan if copy is not None else None
            if copy is not None and plan is not None and plan.rate:
                yield pw.pack_item(pw.BucketCopy(key, copy.plan, self._tokens_left(now, copy, plan)))
                space -= COPY_BYTES
        if not keys or now - since >= WARMUP_MS:
            self.requested_copies.pop(owner, None)

    # As an asker --------------------------------------------------------------------------

    @staticmethod
    def _tokens_left(now: float, copy: Copy, plan: io.Plan) -> float:
        return min(plan.burst, copy.left - copy.let_in + (now - copy.at) * plan.rate / 1000.0)

    def tokens_left(self, now: float, request: PendingRequest) -> float | None:
        """Tokens that the bucket copy shows now, or None without a copy or a rate.

        They are sent with each ask, so that a restarted owner's bucket is rebuilt by those who use it.
        """
        copy = self.copies.get(request.customer_key)
        return self._tokens_left(now, copy, request.plan) if copy is not None and request.plan.rate else None

    def refusal_wait(self, now: float, request: PendingRequest, inbox: float, usual: float) -> float | None:
        """Milliseconds to wait where the owner is expected to refuse, else None.

        It is expected to where a fresh bucket copy shows too few tokens, or where it refused more than once
        in a row; but not where a reservation holds enough units.  Repeated refusals hold for as long as one
        ask from each of the customer's limiters needs to fill the owner's inbox, which takes ``inbox``
        messages a second.  Where the refusal was for want of a free slot, the wait is at most ``usual`` ms,
        the usual latency: the next answer frees one.
        """
        copy = self.copies.get(request.customer_key)
        if (copy is None
            or max(copy.reserved,
                   self.entitlements.reserved_units(now, request.customer_key)) >= request.units):
            return None
        left, age = self.tokens_left(now, request), now - copy.at
        hold = request.spread * 1000.0 / max(1.0, inbox)
        if not request.plan.rate or copy.left >= request.units:
            hold = min(hold, usual)
        if copy.refused > 1 and age < hold:
            return hold - age
        empty = left is not None and age <= COPY_MAX_AGE_MS and left < request.units
        return (request.units - left) / request.plan.rate * 1000.0 if left is not None and empty else None

    def decide(self, now: float, request: PendingRequest, in_flight: int,
               failures: int) -> tuple[bool, float]:
        """Whether a request is admitted without the owner, and the ms to wait if it is not.

        A fresh bucket copy less what was admitted since decides, else this limiter's share.  ``in_flight``
        counts the customer's requests in flight from here, ``failures`` the asks of the owner that failed in
        a row.  One failure may be chance; after several, other limiters too go by their copies and together
        would admit too much.
        """
        copy, plan = self.copies.get(request.customer_key), request.plan
        fresh = (copy is not None and now - copy.at <= COPY_MAX_AGE_MS
                 and not (self.enabled and failures >= MAX_COPY_FAILURES))
        if copy is not None and fresh:
            left = self.tokens_left(now, request)
            admitted = ((left is None or left >= request.units)
                        and (not plan.most_open or copy.open + copy.let_in < plan.most_open))
            copy.let_in += request.units if admitted else 0.0
            return admitted, (request.units - left) / plan.rate * 1000.0 if left is not None else 0.0
        bucket = self._share_bucket(now, request)
        admitted = ((not plan.rate or bucket.tokens >= min(request.units, bucket.burst))
                    and (not plan.most_open or in_flight < math.ceil(plan.most_open / request.spread)))
        bucket.tokens -= request.units if admitted and plan.rate else 0.0
        return admitted, bucket.wait_for(request.units)

    def _share_bucket(self, now: float, request: PendingRequest) -> TokenBucket:
        """The bucket of this limiter's share of a customer's quota, with its figures up to date.

        A new one holds the share of the tokens that the bucket copy shows, if there is one.
        """
        part = (max(MIN_SHARE, self.shares.local_share(now, request.customer_key, request.spread))
                if self.enabled else 1.0 / request.spread)
        if request.customer_key not in self.share_buckets:
            evict_fullest(self.share_buckets, now, self.entitlements.max_customers)
            bucket = self.entitlements.new_bucket(now, request.customer_key, request.named_plan, 1.0 / part)
            left = self.tokens_left(now, request)
            if self.enabled and left is not None:
                bucket.tokens = min(bucket.tokens, part * max(0.0, left) + SLACK_UNITS)
        else:
            bucket = self.share_buckets[request.customer_key][1]
        self.share_buckets[request.customer_key] = (request.named_plan, bucket, part)
        self.entitlements.update_bucket(now, request.customer_key, request.named_plan, bucket, 1.0 / part)
        if (bucket.rate, bucket.burst) != (request.plan.rate * part, request.plan.burst * part):
            # The share has changed since the last call.
            bucket.change(now, request.plan.rate * part, request.plan.burst * part)
        bucket.fill(now)
        return bucket

    def record_admitted(self, now: float, request: PendingRequest) -> None:
        """Counts a request admitted without the owner, to be settled with it."""
        if self.enabled and request.plan.rate:
            self.settlement.record_admitted(now, request.customer_key, request.named_plan, request.owner,
                                            request.units)

    def on_ask_reply(self, now: float, request: PendingRequest, reply: pw.AskReply) -> None:
        """Replaces the bucket copy by what the owner's reply says; the share's bucket is dropped."""
        previous = self.copies.pop(request.customer_key, None)
        evict_oldest(self.copies, self.entitlements.max_customers)
        refused = 0 if reply.granted else 1 + (previous.refused if previous else 0)
        self.copies[request.customer_key] = Copy(
            request.named_plan, request.owner, reply.tokens_left, reply.open_attempts, now, refused,
            reserved=reply.reserved_units)
        if reply.share is not None and self.enabled:
            self.shares.accept_share(now, request.customer_key, reply.share, reply.total_demand)
        self.share_buckets.pop(request.customer_key, None)

    def count_to_report(self, now: float, request: PendingRequest) -> list[Count]:
        """The customer's unconfirmed count, if there is one, to be sent in front of an ask."""
        count = self.settlement.unconfirmed_count(request.customer_key) if self.enabled else None
        if count is None:
            return []
        self.settlement.mark_sent(now, request.customer_key)
        return [count]

    def piggybacked_items(self, now: float, peer: int, space: int) -> Iterator[bytes]:
        """Packed items that fit into ``space`` bytes of a message: counts due, then bucket copies."""
        for count in self.settlement.due_counts(now, peer) if self.enabled else ():
            if space < COUNT_BYTES:
                return
            space -= COUNT_BYTES
            self.settlement.mark_sent(now, count.key)
            yield pw.pack_item(count)
        if peer in self.requested_copies:
            yield from self._startup_copies(now, peer, space)

    def owners_to_report_to(self, now: float, interval: float) -> list[int]:
        """Reachable owners with unconfirmed counts, at most once every ``interval`` ms.

        Most counts travel with asks; this covers the customers that ask no more.
        """
        if self.last_report_at == -math.inf:
            # Limiters report at different times: all at once would fill an owner's inbox.
            self.last_report_at = now - interval * (self.settings.number * GOLDEN_RATIO % 1.0)
        if now - self.last_report_at < interval:
            return []
        self.last_report_at = now
        return [owner for owner, waiting in self.settlement.unconfirmed.items() if waiting and self.enabled
                and now - self.last_heard_at.get(owner, -math.inf) < PEER_TIMEOUT_MS]

    # Upkeep -------------------------------------------------------------------------------

    def expire(self, now: float, most_due: float) -> None:
        """Drops bucket copies, share buckets and other state that is no longer needed.

        ``most_due``: the longest time in ms that a request may take.
        """
        for key, copy in list(self.copies.items()):
            plan = self.entitlements.effective_plan(now, key, copy.plan).plan
            if now - copy.at > max(most_due, plan.burst / plan.rate * 1000.0 if plan.rate else 0.0):
                del self.copies[key]
        for key, (named_plan, bucket, part) in list(self.share_buckets.items()):
            self.entitlements.update_bucket(now, key, named_plan, bucket, 1.0 / part)
            if now - bucket.at > most_due and bucket.fill(now) >= bucket.burst:
                del self.share_buckets[key]
        self.shares.expire(now)
        self.settlement.expire(now)
        self.reunited_at = {key: at for key, at in self.reunited_at.items() if now - at < DEMAND_EXPIRY_MS}

    def describe(self, now: float, key: int, owned: tuple[int, TokenBucket] | None) -> dict[str, object]:
        """A customer's state for operators; ``owned`` is its plan and bucket if this limiter is the owner.

        ``owner``: whether it is;
        ``sure``: whether the count here is exact; ``part``: the part of the quota that is used here;
        ``unsettled``: units not yet confirmed by the owner; ``off``: units by which the count here may be
        off at most; ``apart``: the unreachable limiters; ``share``: the share granted by the owner, if any.
        """
        local, copy, granted = (self.settlement.local_counts.get(key), self.copies.get(key),
                                self.shares.granted.get(key))
        unsettled = max(0.0, local.units - local.confirmed) if local is not None else 0.0
        row: dict[str, object] = {"owner": owned is not None, "sure": True, "part": 1.0,
                                  "unsettled": unsettled, "off": unsettled,
                                  "apart": sorted(self.unreachable_peers(now))}
        if owned is not None:
            bucket = owned[1]
            since = self.shares.separated_since.get(key)
            if since is not None and bucket.part < 1.0:
                off = bucket.burst + (1.0 - bucket.part + self.shares.reserve) * bucket.rate * (
                    now - since) / 1000.0
                row |= {"sure": False, "part": round(bucket.part, 3), "off": round(off, 1)}
            return row
        owner = local.owner if local is not None else copy.owner if copy is not None else None
        silence = now - self.last_heard_at.get(owner, self.started_at) if owner is not None else 0.0
        if silence > PEER_TIMEOUT_MS and key in self.share_buckets:
            plan = self.entitlements.effective_plan(now, key, self.share_buckets[key][0]).plan
            share = self.share_buckets[key][2]
            off = unsettled + plan.burst + (1.0 - share) * plan.rate * silence / 1000.0
            row |= {"sure": False, "part": round(share, 3), "off": round(off, 1)}
        elif unsettled >= UNIT_STEP:
            row["sure"] = False
        if granted is not None:
            row["share"] = round(granted.share, 3)
        return row
