"""The quota of a tenant over all limiters: its owner's bucket, asks to the owner, and what is decided
without it.

The owner is found by hashing on the ring of limiters and keeps the token bucket.  Every other limiter asks
it once per request.  The verdict carries the owner's tokens, the late copy; a limiter's *slice* (rate and
burst divided by the count of limiters) is set from each copy, to the copy divided by that count, and
decides when the owner can't be asked or doesn't answer.

Nothing may be spent on two sides, so the owner sets the slices aside.  An *asker* of a tenant holds its
slice by the verdicts it got.  Once it is silent for longer than its asks suggest, the owner takes that
slice out of its own bucket, counted from its last word, and gets back what was not used when the asker
speaks again.  An asker that merely has no more requests gives its slice back (``notes``).  Limiters that
vanish from the ring may be cut off with an owner of their own; for a while their part of rate and burst
stays set aside as well.  A new owner, or one that restarted, has the parts of those that ask it or have
agreed to its ring (``hello``): the others may still ask the last one, or go by their slices.  A limiter
without a copy holds no slice the owner knows of, and lets in little (``UNKNOWN_PART``).

In the worst case this lets in, over what one bucket would, the slices of those gone silent until that is
noticed (``SILENCE_*``), ``UNKNOWN_PART`` of the rate, a token for each limiter, and ``MOVED_PART`` of a
burst per move.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, TypeVar

from larklb.admission.errors import InvalidMessageError
from larklb.admission.quota_messages import MAX_NUMBER, read_integer, read_number, read_text
from larklb.admission.quota_records import (
    HELLO_BACKOFF_MS,
    MAX_TIMEOUT_MS,
    RELEASE_BACKOFF_MS,
    SILENCE_MAX_MS,
    SILENCE_MIN_MS,
    SLICE_VALID_MS,
    Allowance,
    Ask,
    Asker,
    OvershootBound,
    OwnedBucket,
    OwnerPeer,
    PendingAsk,
    Slice,
    Verdict,
)
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket
from larklb.quota.ring import digest, ring_owner

TENANTS = 200_000  # tracked at once, in each table
ASKS_OUT = 4096  # waiting for a verdict; beyond it the slice decides
ASKERS = 1024  # of one tenant
LATE_MS = 2000.0  # a verdict after the time-out still tells the round trip and the copy
COPY_MS = 1000.0  # up to this age a slice is called the late copy's (design)
APART_MS = 120_000.0  # ... and how long it is set aside there, or for a limiter that vanished
IDLE_MS = 1500.0  # without a request before a slice is given back ...
NOTE_MAX_MS = 8000.0
NOTES = 64  # in one go
FIRST_GAP_MS = 500.0  # for an asker that has asked once, or that of the tenant's rate if it is less
GAP_WEIGHT = 0.125  # of the last gap in the mean
MOVED_MS = 3000.0  # after a change of the ring, new buckets may be those of other owners ...
RESTARTED_MS = 10_000.0  # ... as may those of a process that restarted
MOVED_BURST_FRACTION = 0.25  # of the burst: such a bucket starts with no more
LOWER_MS = 1000.0  # for so long later asks may lower a new bucket, by what they know to be spent
HELLO_MAX_MS = 4000.0
UNKNOWN_TOKENS = 10.0  # that all such limiters have together at first
ASSUMED_LIMITERS = 16  # before the ring is known
WHOLE = 1.0 - 1e-9  # a token, less what sums of fractions lose

OWNER: Final = "owner"
ASKED: Final = "asked"
COPY: Final = "copy"
SLICE: Final = "slice"

T = TypeVar("T")


class Quotas:
    """All quotas as one limiter, ``node``, sees them.

    ``settled`` False: this process has restarted among running ones, and the buckets that it makes at first
    may be those it lost.  Times are milliseconds of one clock that never goes back; messages are plain JSON
    objects.
    """

    def __init__(
        self, node: str, now: float, seed: int, *, first_start: bool, bound: OvershootBound | None = None
    ) -> None:
        self._chance = random.Random(seed)
        self._bound = bound or OvershootBound()
        self._life = digest(f"{node} {seed} {now}") >> 16  # fits every reader's integers
        self._node = node
        self._unsure_until = -math.inf if first_start else now + RESTARTED_MS
        self._moved_at = -math.inf
        self._me: int | None = None
        self._live: dict[int, str] = {}
        self._gone: dict[int, float] = {}
        self._ring: Sequence[int] = ()
        self._owners: dict[str, int] = {}
        self._owned: dict[str, OwnedBucket] = {}
        self._slices: dict[str, Slice] = {}
        self._out: dict[int, PendingAsk] = {}
        self._waiting = 0
        self._peers: dict[int, OwnerPeer] = {}
        self._number = 0
        self._version = 0
        self._table: dict[str, Allowance] = {}

    def set_limiters(self, now: float, numbers: dict[int, str], me: int | None) -> None:
        """Ring numbers of the live limiters and their nodes; ``me``: this one's, None before it has one."""
        ring = sorted(numbers)
        if self._ring and ring != self._ring:
            self._moved_at = now
        nodes = set(numbers.values())
        for number, node in self._live.items():
            if number not in numbers and node not in nodes and node != self._node:
                self._gone[number] = now
        self._gone = {n: at for n, at in self._gone.items() if n not in numbers and now - at <= APART_MS}
        changed = ring != self._ring or me != self._me
        for number in set(numbers) - set(self._live):
            self._peers.pop(number, None)  # a new life; what failed the last one says nothing
        self._live, self._ring, self._me = dict(numbers), ring, me
        if changed:
            self._owners.clear()
            for peer in self._peers.values():
                peer.ring_agreed, peer.next_hello_at, peer.hello_backoff_ms = (
                    False,
                    -math.inf,
                    HELLO_BACKOFF_MS,
                )
            for tenant, owned in self._owned.items():
                owned.next_check_at = -math.inf
                if not owned.ownership_lost and self._owner(tenant) != me:
                    owned.ownership_lost = True
                    self._keep_copy(now, tenant, owned)  # what an asker knows, this one knows better

    def set_allowances(self, now: float, version: int, table: dict[str, Allowance]) -> None:
        """The configuration in force here; an older one than known is ignored."""
        if version < self._version:
            return
        self._version, self._table = version, dict(table)
        for tenant, owned in self._owned.items():
            mine = self._table.get(tenant)
            if mine is not None and owned.bucket.version <= version:
                self._figures(now, owned, mine, version)
        for tenant, part in self._slices.items():
            mine = self._table.get(tenant)
            if mine is not None:
                part.rate, part.burst = mine.rate, mine.burst

    def request(self, now: float, allowance: Allowance) -> Verdict | Ask:
        """One request of the tenant: decided, or an ask to send (then ``told`` or ``given_up`` decides)."""
        if allowance.rate <= 0:
            return Verdict(True, 0.0, OWNER)
        tenant = allowance.tenant
        owner = self._owner(tenant)
        if owner is not None and owner == self._me:
            owned = self._own(now, allowance, self._version, None)
            return self._take(now, owned, OWNER)
        part = self._slice(now, allowance)
        part.last_used_at = now
        if owner is None or self._waiting >= ASKS_OUT:
            return self._alone(now, part)
        peer = self._peer(now, owner)
        if not peer.breaker.allows(now):
            return self._alone(now, part)
        self._number += 1
        self._waiting += 1
        self._out[self._number] = PendingAsk(allowance, owner, now)
        message = {
            "k": "ask",
            "n": self._number,
            "t": tenant,
            "r": allowance.rate,
            "b": allowance.burst,
            "v": self._version,
            "life": self._life,
            "spent": part.spent,
            "heard": part.acknowledged,
        }
        age = now - part.copied_at
        if age <= SLICE_VALID_MS:
            part.fill(now, self._limiters())
            message |= {"left": min(part.burst, part.tokens * self._limiters()), "age": age, "of": part.owner}
        return Ask(self._number, owner, message, now + peer.timeout())

    def handle_request(self, now: float, sender: int, message: dict[str, Any]) -> dict[str, Any] | None:
        """An ask, or a slice given back, from the limiter ``sender``; the answer, None if unreadable."""
        try:
            return self._answer(now, sender, message)
        except InvalidMessageError:
            return None

    def handle_reply(self, now: float, message: dict[str, Any]) -> tuple[int, Verdict] | None:
        """An answer: the ask's number and its verdict; None when it is unknown, unreadable or too late."""
        try:
            kind, number = message.get("k"), read_integer(message, "n")
            if kind == "backed":
                self._given_back(read_text(message, "t"), number)
                return None
            if kind == "hi":
                if read_integer(message, "ring") == self._ring_digest() and number in self._live:
                    self._agree(now, number)
                return None
            if kind != "verdict":
                raise InvalidMessageError("no answer")
            ok, left, wait = (
                message.get("ok"),
                read_number(message, "left", -MAX_NUMBER),
                read_number(message, "wait"),
            )
            spent = read_integer(message, "spent")
            if not isinstance(ok, bool):
                raise InvalidMessageError("ok")
        except InvalidMessageError:
            return None
        out = self._out.pop(number, None)
        if out is None:
            return None
        self._peer(now, out.owner).breaker = CircuitBreaker()  # any word drops it
        self._peers[out.owner].record_round_trip(now - out.sent_at)
        part = self._slice(now, out.allowance)
        part.acknowledged = max(part.acknowledged, min(spent, part.spent))
        if number > part.ask_number:
            # What has been let in here since that ask is not in the owner's figure yet.
            count = self._limiters()
            mine = max(0.0, left) / count - (part.spent - min(spent, part.spent))
            part.tokens, part.updated_at = max(0.0, min(part.capacity(count), mine)), now
            part.copied_at, part.ask_number, part.owner, part.next_release_at = (
                out.sent_at,
                number,
                out.owner,
                -math.inf,
            )
            part.release_backoff_ms = RELEASE_BACKOFF_MS
        if out.timed_out:
            return None
        self._waiting -= 1
        return number, Verdict(ok, 0.0 if ok else max(1.0, wait), ASKED)

    def handle_timeout(self, now: float, number: int) -> Verdict:
        """No answer in time: the slice decides.  An unknown number is refused."""
        out = self._out.get(number)
        if out is None or out.timed_out:
            return Verdict(False, MAX_TIMEOUT_MS, SLICE)
        out.timed_out = True
        self._waiting -= 1
        self._peer(now, out.owner).breaker.record_failure(now, self._chance.random())
        return self._alone(now, self._slice(now, out.allowance))

    def pending_messages(self, now: float) -> list[tuple[int, dict[str, Any]]]:
        """Words (ring number, message) that give unused slices back, and those of a new owner; to be sent a
        few times a second, the answers go to ``told``.

        They may be lost: they come again until answered.  Without them owners keep slices of idle askers set
        aside, and tenants near their rate are refused.
        """
        notes: list[tuple[int, dict[str, Any]]] = []
        if any(owned.recently_moved and not owned.ownership_lost for owned in self._owned.values()):
            ring = self._ring_digest()
            for number in self._ring:
                if (
                    number == self._me
                    or (peer := self._peer(now, number)).ring_agreed
                    or now < peer.next_hello_at
                ):
                    continue
                peer.next_hello_at, peer.hello_backoff_ms = (
                    now + peer.hello_backoff_ms,
                    min(HELLO_MAX_MS, 2.0 * peer.hello_backoff_ms),
                )
                notes.append((number, {"k": "hello", "ring": ring}))
        for tenant, part in self._slices.items():
            if len(notes) >= NOTES:
                break
            if part.ask_number < 0 or now - part.last_used_at < IDLE_MS or now < part.next_release_at:
                continue
            if (
                now - part.copied_at > SLICE_VALID_MS
                or part.owner == self._me
                or part.owner not in self._live
            ):
                continue
            part.next_release_at, part.release_backoff_ms = (
                now + part.release_backoff_ms,
                min(NOTE_MAX_MS, 2.0 * part.release_backoff_ms),
            )
            notes.append(
                (
                    part.owner,
                    {
                        "k": "back",
                        "n": part.ask_number,
                        "t": tenant,
                        "life": self._life,
                        "spent": part.spent,
                        "heard": part.acknowledged,
                    },
                )
            )
        return notes

    def expire(self, now: float) -> None:
        """Forget what tells nothing any more: idle buckets, old slices, answers that won't come."""
        for number in [n for n, out in self._out.items() if now - out.sent_at > LATE_MS + MAX_TIMEOUT_MS]:
            if not self._out.pop(number).timed_out:
                self._waiting -= 1
        before = len(self._gone)
        self._gone = {n: at for n, at in self._gone.items() if now - at <= APART_MS}
        for tenant, owned in list(self._owned.items()):
            if len(self._gone) != before:
                owned.next_check_at = -math.inf
            idle = now - owned.last_used_at
            if self._owner(tenant) != self._me and idle > MOVED_MS:
                del self._owned[tenant]
            elif idle > RESTARTED_MS and not any(asker.reserved for asker in owned.askers.values()):
                self._check(now, owned)
                if owned.bucket.fill(now) >= owned.bucket.burst * owned.bucket.part - 1e-6:
                    del self._owned[tenant]  # a new one would be full as well
        for tenant, part in list(self._slices.items()):
            held = part.ask_number >= 0 and now - part.copied_at <= SLICE_VALID_MS
            if not held and now - part.last_used_at > RESTARTED_MS + 1000.0 * part.burst / max(
                part.rate, 1e-6
            ):
                del self._slices[tenant]
        for number, peer in list(self._peers.items()):
            if number not in self._live and now - peer.last_used_at > APART_MS:
                del self._peers[number]

    def rows(self, now: float, only: str | None = None) -> list[dict[str, Any]]:
        """What an operator may want to see: a row per bucket owned here and per slice, or those of ``only``
        one tenant."""
        rows: list[dict[str, Any]] = []
        for tenant, owned in _of(self._owned, only):
            self._check(now, owned)
            rows.append(
                {
                    "tenant": tenant,
                    "role": "owner",
                    "tokens": round(owned.bucket.tokens, 3),
                    "rate": owned.bucket.rate,
                    "burst": owned.bucket.burst,
                    "apart": owned.reserved_slices,
                    "askers": len(owned.askers),
                }
            )
        for tenant, part in _of(self._slices, only):
            part.fill(now, self._limiters())
            rows.append(
                {
                    "tenant": tenant,
                    "role": "asker",
                    "tokens": round(part.tokens, 3),
                    "rate": part.rate,
                    "burst": part.burst,
                    "owner": self._owner(tenant),
                    "untold": part.spent - part.acknowledged,
                }
            )
        return rows

    def _limiters(self) -> int:
        """Those that may let in something now, as far as known here."""
        return max(1, len(self._live) + len(self._gone)) if self._live else ASSUMED_LIMITERS

    def _owner(self, tenant: str) -> int | None:
        if not self._ring:
            return None
        owner = self._owners.get(tenant)
        if owner is None:
            if len(self._owners) >= TENANTS:
                self._owners.clear()
            owner = self._owners[tenant] = ring_owner(digest(tenant), self._ring)
        return owner

    def _ring_digest(self) -> int:
        return digest(" ".join(map(str, self._ring))) >> 16

    def _agree(self, now: float, number: int) -> None:
        peer = self._peer(now, number)
        peer.breaker = CircuitBreaker()
        if not peer.ring_agreed:
            peer.ring_agreed = True
            for owned in self._owned.values():
                owned.next_check_at = -math.inf

    def _peer(self, now: float, number: int) -> OwnerPeer:
        peer = self._peers.get(number)
        if peer is None:
            peer = self._peers[number] = OwnerPeer()
        peer.last_used_at = now
        return peer

    # -- as an asker

    def _slice(self, now: float, allowance: Allowance) -> Slice:
        part = self._slices.get(allowance.tenant)
        if part is None:
            if len(self._slices) >= TENANTS:
                del self._slices[next(iter(self._slices))]
            count = self._limiters()
            tokens = min(1.0, UNKNOWN_TOKENS / count, allowance.burst / count)
            part = self._slices[allowance.tenant] = Slice(
                allowance.rate, allowance.burst, tokens, now, now, self._bound
            )
        elif part.rate != allowance.rate or part.burst != allowance.burst:
            part.fill(now, self._limiters())
            part.rate, part.burst = allowance.rate, allowance.burst
        return part

    def _alone(self, now: float, part: Slice) -> Verdict:
        rate = part.fill(now, self._limiters())
        by = COPY if now - part.copied_at <= COPY_MS else SLICE
        if part.tokens < WHOLE:
            return Verdict(False, max(1.0, (1.0 - part.tokens) / max(rate, 1e-6) * 1000.0), by)
        part.tokens -= 1.0
        part.spent += 1
        return Verdict(True, 0.0, by)

    def _given_back(self, tenant: str, number: int) -> None:
        part = self._slices.get(tenant)
        if part is not None and part.ask_number == number:
            part.ask_number, part.copied_at = -1, -math.inf
            part.tokens = min(part.tokens, UNKNOWN_TOKENS / self._limiters())

    def _keep_copy(self, now: float, tenant: str, owned: OwnedBucket) -> None:
        self._check(now, owned)
        bucket = owned.bucket
        part = self._slice(now, Allowance(tenant, bucket.rate, bucket.burst))
        count = self._limiters()
        part.tokens, part.updated_at, part.copied_at = (
            max(0.0, min(bucket.burst, bucket.tokens)) / count,
            now,
            now,
        )
        part.ask_number, part.owner = -1, -1

    # -- as an owner

    def _answer(self, now: float, sender: int, message: dict[str, Any]) -> dict[str, Any] | None:
        kind = message.get("k")
        if sender in self._peers:
            self._peers[sender].breaker = CircuitBreaker()  # any word drops it
        if kind == "hello":
            ring = read_integer(message, "ring")
            return (
                None
                if self._me is None or not ring
                else {"k": "hi", "n": self._me, "ring": self._ring_digest()}
            )
        number, tenant = read_integer(message, "n"), read_text(message, "t")
        life, spent, heard = (
            read_integer(message, "life"),
            read_integer(message, "spent"),
            read_integer(message, "heard"),
        )
        if kind == "back":
            known = self._owned.get(tenant)
            if known is not None and sender in known.askers:
                self._returned(now, known, sender, life, spent, heard)
                del known.askers[sender]
                self._check(now, known, again=True)
            return {"k": "backed", "n": number, "t": tenant}
        if kind != "ask":
            raise InvalidMessageError("no ask")
        allowance = Allowance(tenant, read_number(message, "r"), read_number(message, "b"))
        version = read_integer(message, "v")
        left = read_number(message, "left") if "left" in message else None
        of = read_integer(message, "of", -1) if "of" in message else -1
        mine = self._table.get(tenant)
        if mine is not None and self._version >= version:
            allowance, version = mine, self._version
        if allowance.rate <= 0:
            return {
                "k": "verdict",
                "n": number,
                "ok": True,
                "left": allowance.burst,
                "wait": 0.0,
                "spent": spent,
            }
        owned = self._own(now, allowance, version, left)
        if (
            left is not None
            and owned.recently_moved
            and now - owned.bucket.born <= LOWER_MS
            and of != self._me
        ):
            owned.bucket.fill(now)
            owned.bucket.tokens = min(owned.bucket.tokens, left)  # it knows of spending elsewhere
        held = None if left is None or of == self._me else left / self._limiters()
        self._returned(now, owned, sender, life, spent, heard, held)
        verdict = self._take(now, owned, ASKED)
        tokens = owned.bucket.tokens
        if sender in owned.askers:
            owned.askers[sender].tokens_reported = tokens
        return {
            "k": "verdict",
            "n": number,
            "ok": verdict.allowed,
            "left": tokens,
            "wait": verdict.retry_after_ms,
            "spent": spent,
        }

    def _own(self, now: float, allowance: Allowance, version: int, left: float | None) -> OwnedBucket:
        """The bucket of a tenant; a new one starts with no more than is known to be left (``left``)."""
        owned = self._owned.get(allowance.tenant)
        if owned is None:
            moved = now < self._unsure_until or now - self._moved_at < MOVED_MS
            tokens = allowance.burst * (MOVED_BURST_FRACTION if moved else 1.0)
            tokens = min(tokens, self._own_copy(now, allowance.tenant))
            if left is not None:
                tokens = min(tokens, left)
            tokens *= 1.0 - len(self._gone) / self._limiters()  # those have theirs, if only cut off
            if len(self._owned) >= TENANTS:
                del self._owned[next(iter(self._owned))]
                self._moved_at = now  # it could come back, and not full
            bucket = TokenBucket(allowance.rate, allowance.burst, tokens, now, born=now, version=version)
            owned = self._owned[allowance.tenant] = OwnedBucket(bucket, now, moved)
        elif version >= owned.bucket.version:
            self._figures(now, owned, allowance, version)
        if owned.ownership_lost and self._owner(allowance.tenant) == self._me:
            # Another has spent from a bucket of its own in between.
            owned.ownership_lost, owned.recently_moved, owned.next_check_at, owned.bucket.born = (
                False,
                True,
                -math.inf,
                now,
            )
            owned.bucket.tokens = min(owned.bucket.fill(now), self._own_copy(now, allowance.tenant))
        owned.last_used_at = now
        return owned

    def _own_copy(self, now: float, tenant: str) -> float:
        """What is left by the copy from when this one was an asker, which it is no more."""
        mine = self._slices.get(tenant)
        if mine is None or now - mine.copied_at > SLICE_VALID_MS:
            return math.inf
        mine.fill(now, self._limiters())
        mine.ask_number, mine.copied_at = -1, -math.inf
        return mine.tokens * self._limiters()

    def _figures(self, now: float, owned: OwnedBucket, allowance: Allowance, version: int) -> None:
        bucket = owned.bucket
        if (bucket.rate, bucket.burst) != (allowance.rate, allowance.burst):
            self._check(now, owned)
            bucket.change(now, allowance.rate, allowance.burst)
        bucket.version = version

    def _take(self, now: float, owned: OwnedBucket, by: str) -> Verdict:
        self._check(now, owned)
        bucket = owned.bucket
        if bucket.tokens < WHOLE:
            return Verdict(False, max(1.0, bucket.wait_for(1.0) / max(bucket.part, 0.01)), by)
        bucket.tokens -= 1.0
        return Verdict(True, 0.0, by)

    def _check(self, now: float, owned: OwnedBucket, *, again: bool = False) -> None:
        """Fill the bucket by its part, and set aside the slices of askers that have gone silent."""
        bucket = owned.bucket
        bucket.fill(now)
        bucket.escrow = 0.0  # what is set aside is counted by asker
        if again or now >= owned.next_check_at:
            self._set_aside(now, owned)
        bucket.tokens = min(bucket.tokens, max(1.0, bucket.burst * bucket.part))

    def _set_aside(self, now: float, owned: OwnedBucket) -> None:
        bucket, count = owned.bucket, self._limiters()
        apart, check_at = set(self._gone), math.inf
        for number, asker in list(owned.askers.items()):
            silent = now - asker.last_heard_at
            if silent > APART_MS:
                del owned.askers[number]
                continue
            if not asker.reserved and silent > asker.silence_timeout():
                asker.reserved, asker.reserved_tokens = True, max(0.0, asker.tokens_reported) / count
                late = asker.reserved_tokens + silent * bucket.rate / count / 1000.0
                bucket.tokens = max(min(bucket.tokens, -bucket.burst), bucket.tokens - late)
            if asker.reserved:
                apart.add(number)
            check_at = min(
                check_at, asker.last_heard_at + (APART_MS if asker.reserved else asker.silence_timeout())
            )
        if owned.recently_moved:
            missing = {
                n
                for n in self._ring
                if n != self._me
                and n not in owned.askers
                and not ((peer := self._peers.get(n)) and peer.ring_agreed)
            }
            apart |= missing
            owned.recently_moved = bool(missing) or now - bucket.born <= LOWER_MS
            check_at = min(check_at, now + SILENCE_MIN_MS)
        owned.reserved_slices = len(apart)
        bucket.part, owned.next_check_at = max(1.0 / count, 1.0 - len(apart) / count), check_at

    def _returned(
        self,
        now: float,
        owned: OwnedBucket,
        sender: int,
        life: int,
        spent: int,
        heard: int,
        held: float | None = None,
    ) -> None:
        """A word of an asker: what it let in by itself is taken, what was set aside beyond it comes back, no
        more than it has (``held``) if it has heard another owner since."""
        self._check(now, owned)
        bucket, count = owned.bucket, self._limiters()
        asker = owned.askers.get(sender)
        if asker is None:
            if len(owned.askers) < ASKERS and sender in self._live and sender != self._me:
                even = 1000.0 * count / bucket.rate if bucket.rate > 0 else FIRST_GAP_MS
                owned.askers[sender] = Asker(now, life, spent, min(FIRST_GAP_MS, even))
                owned.next_check_at = min(owned.next_check_at, now + SILENCE_MIN_MS)
                if owned.recently_moved:
                    self._check(now, owned, again=True)
            # Of an unknown asker's words only the untold count; another owner had set its slice aside.
            return
        told = max(asker.spent, heard) if life == asker.incarnation else 0
        untold = max(0, spent - told)
        if asker.reserved:
            # Time apart fills its slice no further than its burst, but a short silence must cost nothing.
            per_ms = bucket.rate / count / 1000.0
            aside = asker.reserved_tokens + (now - asker.last_heard_at) * per_ms
            most = bucket.burst / count + SILENCE_MAX_MS * per_ms
            back = 0.0 if life != asker.incarnation else min(aside - untold, most)
            if held is not None:
                back = min(back, held)
            bucket.tokens = min(bucket.burst, max(min(bucket.tokens, -bucket.burst), bucket.tokens + back))
        elif untold:
            bucket.tokens = max(min(bucket.tokens, -bucket.burst), bucket.tokens - untold)
        if not asker.reserved:
            asker.mean_gap_ms += GAP_WEIGHT * (now - asker.last_heard_at - asker.mean_gap_ms)
        was = asker.reserved
        asker.last_heard_at, asker.incarnation, asker.spent, asker.reserved = now, life, spent, False
        if was:
            self._check(now, owned, again=True)


def _of(table: Mapping[str, T], only: str | None) -> Iterable[tuple[str, T]]:
    """All of a table by tenant, or one tenant's part."""
    if only is None:
        return table.items()
    return [(only, table[only])] if only in table else []
