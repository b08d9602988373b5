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
from larklb.quota.entitlements import Book
from larklb.quota.settlement import STEP, Confirmed, Count, Settling
from larklb.quota.shares import APART_MS, DEBT, FORGET_MS, SETTLE_MS, SLACK, Shares
from larklb.quota.table_limits import make_room, thin
from larklb.records import Copy, Held

COPY_FRESH_MS = 1000.0     # a late copy older than this no longer stands in for the owner (design)
NEW_MS = 1000.0            # an owner's bucket is put right by the copies of others for so long
FAILED = 4                 # asks that failed in a row, after which the share decides, not the copy
QUIET_MS = 400.0           # without a word from a limiter that has a share: it is asked for one
LEAST_SHARE = 0.01         # of a quota: a side with less could not even serve one job in minutes
GOLDEN = 0.618             # spreads the numbers of limiters evenly over a turn
COUNT_BYTES, COPY_BYTES = 22, 12           # of a count and a copy in a message
MOST_COPIES = 90           # told to an owner that has just started: some five messages
TICK_MS = 100.0            # who is apart is looked at so often
REPEAT_MS = 500.0          # ... and who owes an owner a count, or has to be asked for a word


class Alone:
    """Of one limiter."""

    def __init__(self, settings: io.Settings, book: Book, now: float) -> None:
        self.s, self.book = settings, book
        self.on = book.settle and settings.can_tell and settings.gateways > 1
        self.began = now
        self.shares = Shares(book.reserve, book.most)
        # The clock advances over a restart: a later start has the greater incarnation, on the same machine.
        self.settling = Settling(int(now / 100.0) & 0xFFFFFFFF)
        self.copies: dict[int, Copy] = {}
        self.slices: dict[int, tuple[int, TokenBucket, float]] = {}      # plan named, bucket, last part
        self.heard_at: dict[int, float] = {}
        self.apart: frozenset[int] = frozenset()
        # Whether inboxes hold a word to everybody now and then: else silence means nothing, and no share is
        # kept for the silent; what they let in is settled all the same.
        self.near = True
        self.looked = self.owed_at = -math.inf
        self.wanted: dict[int, tuple[float, list[int]]] = {}      # copies for owners that have just started
        self.ends: dict[int, float] = {}                # when a customer's limiters were last apart

    def tried(self, now: float, h: Held) -> None:
        """A request came in."""
        if self.on and h.plan.rate:
            self.shares.tried(now, h.key, h.units)

    def is_new(self, now: float) -> bool:
        """Whether this limiter has just started: others know more of its buckets than it does."""
        return now - self.began < NEW_MS

    # Who is heard -------------------------------------------------------------------------

    def heard(self, now: float, peer: int) -> None:
        self.heard_at[peer] = now
        if peer in self.apart:
            self.looked = -math.inf

    def look(self, now: float) -> frozenset[int]:
        """The limiters heard of before, and not lately."""
        if now - self.looked >= TICK_MS:
            self.looked = now
            self.apart = frozenset(g for g, at in self.heard_at.items()
                                   if self.near and now - at > APART_MS)
        return self.apart

    def quiet(self, now: float) -> list[int]:
        """Limiters that have a share and have said nothing for a while: a word from them would tell."""
        if not self.on or not self.near:
            return []
        sharing = {g for others in self.shares.asked.values() for g in others}
        return [g for g in sharing if now - self.heard_at.get(g, -math.inf) > QUIET_MS]

    # The owner ----------------------------------------------------------------------------

    def hold(self, now: float, key: int, bucket: TokenBucket) -> None:
        """An owner's bucket is about to be looked at: it has its part while some are apart."""
        if not self.on or not self.look(now) and bucket.part == 1.0 and bucket.escrow == 0.0:
            return
        part = self.shares.part(now, key, self.apart)
        if part < 1.0:
            bucket.share(now, max(LEAST_SHARE, part))
            bucket.born = -math.inf
            return
        if bucket.part < 1.0:
            bucket.share(now, 1.0)
            self.ends.setdefault(key, now)
        if now - self.ends.get(key, -math.inf) >= SETTLE_MS:
            bucket.release(now)
            self.ends.pop(key, None)

    def counted(self, now: float, sender: int, c: Count, bucket: TokenBucket) -> Confirmed | None:
        """Another limiter's count: what was not known of it leaves the bucket; what it is to be told."""
        first = (sender, c.key) not in self.settling.known
        news = self.settling.heard(now, sender, c)
        told = first and bucket.copied and now - bucket.born < 2 * NEW_MS
        if news and not told:                # a late copy is without what its sender had let in
            bucket.settle(now, news, DEBT * bucket.burst)
        return self.settling.confirms(sender, c.key)

    def copied(self, now: float, bucket: TokenBucket, left: float) -> None:
        """A late copy for a bucket that was made anew: the first sets it, further ones lower it."""
        if now - bucket.born >= NEW_MS:
            return
        bucket.tokens = min(bucket.fill(now), left)
        bucket.copied = self.is_new(now)         # else it is new for want of use, and nothing was forgotten

    def greeting(self, now: float) -> bytes:
        """What messages begin with in a limiter's first second."""
        return pw.pack_item(pw.Fresh(self.settling.incarnation)) if self.on and self.is_new(now) else b""

    def fresh(self, now: float, sender: int, incarnation: int) -> bool:
        """A limiter has started: what was kept for its former self returns; whether it is to have copies."""
        was = self.settling.current.get(sender)
        if not self.settling.is_current(now, sender, incarnation) or was == incarnation:
            return False
        if was is not None:
            for key in self.shares.forget(sender):
                if key in self.shares.since:
                    self.ends[key] = now - SETTLE_MS
        mine = sorted(((c.at, key) for key, c in self.copies.items() if c.owner == sender), reverse=True)
        self.wanted[sender] = (now, [key for _, key in mine[:MOST_COPIES]])
        return bool(mine)

    def _copies(self, now: float, owner: int, space: int) -> Iterator[bytes]:
        """For an owner that has just lost its buckets, the last used in front, as far as they fit.

        One message is sent for them at once, the rest rides along: more would hold up asks and verdicts."""
        since, keys = self.wanted.get(owner, (now, []))
        while keys and now - since < NEW_MS and space >= COPY_BYTES:
            copy = self.copies.get(key := keys.pop(0))
            plan = self.book.judged(now, key, copy.plan).plan if copy is not None else None
            if copy is not None and plan is not None and plan.rate:
                yield pw.pack_item(pw.CopyOf(key, copy.plan, self._left(now, copy, plan)))
                space -= COPY_BYTES
        if not keys or now - since >= NEW_MS:
            self.wanted.pop(owner, None)

    # One who asks ---------------------------------------------------------------------------

    @staticmethod
    def _left(now: float, copy: Copy, plan: io.Plan) -> float:
        return min(plan.burst, copy.left - copy.let_in + (now - copy.at) * plan.rate / 1000.0)

    def left(self, now: float, h: Held) -> float | None:
        """The late copy goes with an ask: an owner's lost bucket is rebuilt by those who use it."""
        copy = self.copies.get(h.key)
        return self._left(now, copy, h.plan) if copy is not None and h.plan.rate else None

    def empty(self, now: float, h: Held, inbox: float, usual: float) -> float | None:
        """Time to wait where a fresh copy shows that the owner would refuse, or it did again and again."""
        # Refused again: held for as long as asks from all its gateways, one each, fill the owner's inbox.
        copy = self.copies.get(h.key)
        if copy is None or max(copy.reserved, self.book.reserved(now, h.key)) >= h.units:
            return None
        left, age = self.left(now, h), now - copy.at
        hold = h.spread * 1000.0 / max(1.0, inbox)
        if not h.plan.rate or copy.left >= h.units:       # for want of a slot: the next answer frees one
            hold = min(hold, usual)
        if copy.refused > 1 and age < hold:
            return hold - age
        empty = left is not None and age <= COPY_FRESH_MS and left < h.units
        return (h.units - left) / h.plan.rate * 1000.0 if left is not None and empty else None

    def judge(self, now: float, h: Held, out: int, failures: int) -> tuple[bool, float]:
        """The late copy less what it let in since, else the share, decides; and the time to wait if not.

        ``out`` counts the customer's attempts that are out from here, ``failures`` asks of the owner that
        have failed in a row: one may be chance, after more others too go by their copies, and together
        too far."""
        copy, plan = self.copies.get(h.key), h.plan
        fresh = copy is not None and now - copy.at <= COPY_FRESH_MS and not (self.on and failures >= FAILED)
        if copy is not None and fresh:
            left = self.left(now, h)
            inside = ((left is None or left >= h.units)
                      and (not plan.most_open or copy.open + copy.let_in < plan.most_open))
            copy.let_in += h.units if inside else 0.0
            return inside, (h.units - left) / plan.rate * 1000.0 if left is not None else 0.0
        bucket = self._slice(now, h)
        inside = ((not plan.rate or bucket.tokens >= min(h.units, bucket.burst))
                  and (not plan.most_open or out < math.ceil(plan.most_open / h.spread)))
        bucket.tokens -= h.units if inside and plan.rate else 0.0
        return inside, bucket.wait_for(h.units)

    def _slice(self, now: float, h: Held) -> TokenBucket:
        """This limiter's share of a customer's quota as a bucket of its own."""
        part = max(LEAST_SHARE, self.shares.share(now, h.key, h.spread)) if self.on else 1.0 / h.spread
        if h.key not in self.slices:
            thin(self.slices, now, self.book.most)
            bucket = self.book.made(now, h.key, h.told, 1.0 / part)
            left = self.left(now, h)
            if self.on and left is not None:
                bucket.tokens = min(bucket.tokens, part * max(0.0, left) + SLACK)
        else:
            bucket = self.slices[h.key][1]
        self.slices[h.key] = (h.told, bucket, part)
        self.book.fit(now, h.key, h.told, bucket, 1.0 / part)
        if (bucket.rate, bucket.burst) != (h.plan.rate * part, h.plan.burst * part):
            bucket.change(now, h.plan.rate * part, h.plan.burst * part)       # the share has grown or shrunk
        bucket.fill(now)
        return bucket

    def let(self, now: float, h: Held) -> None:
        """It was let in without the owner's word."""
        if self.on and h.plan.rate:
            self.settling.let(now, h.key, h.told, h.owner, h.units)

    def verdict(self, now: float, h: Held, v: pw.Verdict) -> None:
        """The owner's word mends the copy."""
        known = self.copies.pop(h.key, None)
        make_room(self.copies, self.book.most)
        refused = 0 if v.granted else 1 + (known.refused if known else 0)
        self.copies[h.key] = Copy(h.told, h.owner, v.left, v.open, now, refused, reserved=v.reserved)
        if v.share is not None and self.on:
            self.shares.take(now, h.key, v.share, v.total)
        self.slices.pop(h.key, None)

    def count_of(self, now: float, h: Held) -> list[Count]:
        """What has not been confirmed for the customer of an ask, to be told in front of it."""
        count = self.settling.owed_of(h.key) if self.on else None
        if count is None:
            return []
        self.settling.telling(now, h.key)
        return [count]

    def riders(self, now: float, peer: int, space: int) -> Iterator[bytes]:
        """What else a message that goes out now can carry: counts not confirmed, copies that are wanted."""
        for count in self.settling.owed(now, peer) if self.on else ():
            if space < COUNT_BYTES:
                return
            space -= COUNT_BYTES
            self.settling.telling(now, count.key)
            yield pw.pack_item(count)
        if peer in self.wanted:
            yield from self._copies(now, peer, space)

    def owing(self, now: float, every: float) -> list[int]:
        """Owners that are heard and have not confirmed all, once in so many ms: most is told with asks."""
        if self.owed_at == -math.inf:        # limiters take turns: all at once would fill an owner's inbox
            self.owed_at = now - every * (self.s.number * GOLDEN % 1.0)
        if now - self.owed_at < every:
            return []
        self.owed_at = now
        return [g for g, waiting in self.settling.open.items() if waiting and self.on
                and now - self.heard_at.get(g, -math.inf) < APART_MS]

    # Upkeep -------------------------------------------------------------------------------

    def clean(self, now: float, most_due: float) -> None:
        """State stays bounded by recent traffic."""
        for key, copy in list(self.copies.items()):
            plan = self.book.judged(now, key, copy.plan).plan
            if now - copy.at > max(most_due, plan.burst / plan.rate * 1000.0 if plan.rate else 0.0):
                del self.copies[key]
        for key, (told, b, part) in list(self.slices.items()):
            self.book.fit(now, key, told, b, 1.0 / part)
            if now - b.at > most_due and b.fill(now) >= b.burst:
                del self.slices[key]
        self.shares.clean(now)
        self.settling.clean(now)
        self.ends = {k: at for k, at in self.ends.items() if now - at < FORGET_MS}

    def state(self, now: float, key: int, owned: tuple[int, TokenBucket] | None) -> dict[str, object]:
        """For an operator: whether a customer is judged surely here, by which part of its quota, what is not
        settled yet, and by how many units the count here may be off at most."""
        mine, copy, told = self.settling.mine.get(key), self.copies.get(key), self.shares.told.get(key)
        unsettled = max(0.0, mine.units - mine.confirmed) if mine is not None else 0.0
        found: dict[str, object] = {"owner": owned is not None, "sure": True, "part": 1.0,
                                    "unsettled": unsettled, "off": unsettled, "apart": sorted(self.look(now))}
        if owned is not None:
            bucket = owned[1]
            since = self.shares.since.get(key)
            if since is not None and bucket.part < 1.0:
                off = bucket.burst + (1.0 - bucket.part + self.shares.reserve) * bucket.rate * (
                    now - since) / 1000.0
                found |= {"sure": False, "part": round(bucket.part, 3), "off": round(off, 1)}
            return found
        owner = mine.owner if mine is not None else copy.owner if copy is not None else None
        away = now - self.heard_at.get(owner, self.began) if owner is not None else 0.0
        if away > APART_MS and key in self.slices:
            plan = self.book.judged(now, key, self.slices[key][0]).plan
            share = self.slices[key][2]
            off = unsettled + plan.burst + (1.0 - share) * plan.rate * away / 1000.0
            found |= {"sure": False, "part": round(share, 3), "off": round(off, 1)}
        elif unsettled >= STEP:
            found["sure"] = False
        if told is not None:
            found["share"] = round(told.share, 3)
        return found
