"""Tenant quotas across all limiters: the owner's token bucket, asks to the owner, decisions without it.

The *owner* of a tenant is found by consistent hashing on the ring of limiters and keeps the tenant's token
bucket.  Every other limiter, an *asker*, asks the owner once per request.  Each reply carries the number of
tokens in the owner's bucket, the *bucket copy*.  From it the asker sets its *slice* of the quota: rate, burst
and tokens divided by the number of limiters.  The slice decides while the owner can't be asked or doesn't
answer.  A bucket copy may be out of date, so the tokens of a slice are also capped: all slices of a tenant
together hold no more than the overshoot that ``OvershootBound`` permits, except that each may hold one token
(``Slice.capacity``).

During a network partition an owner and its askers may decide independently, and must not spend the same
tokens.  The owner therefore keeps an account of each asker (``Asker``).  When an asker is silent for longer
than its previous asks suggest, the owner *reserves* the asker's slice: it deducts from its own bucket what
the slice may have admitted since the asker's last message, and fills its bucket without the slice's part of
the rate.  When the asker is heard again, the owner adds what the slice has not used to its bucket.  An asker
that merely has no more requests releases its slice by a message (``pending_messages``).

An owner uses only the shares of limiters that regard it as the owner: of those that ask it, and of those
that have leased it their share on request (``share_leases``).  An owner that is cut off thus has only its own
share left, while its successor has those of the others.  The part of limiters that left the ring is reserved
for ``RESERVATION_MS``.  A limiter without a valid bucket copy may have no account at the owner, so it admits
little (``NO_COPY_RATE_FRACTION``).

In the worst case this admits, in excess of a single bucket, the slices of limiters that have become silent
until that is noticed (``SILENCE_*``), ``NO_COPY_RATE_FRACTION`` of the rate, one token for each limiter, and
``UNLEASED_BURST_FRACTION`` of the burst for each owner.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, TypeVar

from larklb.admission.errors import InvalidMessageError
from larklb.admission.quota_log import MAX_LINES, QuotaLog, TenantState
from larklb.admission.quota_messages import (
    MAX_LEASE_TENANTS,
    MAX_NUMBER,
    read_integer,
    read_leases,
    read_number,
    read_tenants,
    read_text,
)
from larklb.admission.quota_records import (
    MAX_TIMEOUT_MS,
    NO_COPY_RATE_FRACTION,
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
    QuotaDecision,
    Slice,
)
from larklb.admission.share_leases import (
    MAX_REQUESTS_AT_ONCE,
    RENEWAL_FRACTION,
    REQUEST_BACKOFF_MS,
    REQUEST_INTERVAL_MS,
    LeaseDurations,
    LeaseRequest,
    ShareGrants,
    enough_tokens,
    low_tokens,
    unleased_tokens,
)
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket
from larklb.quota.ring import digest, ring_owner

# Tenants tracked at the same time, in each table.
MAX_TENANTS = 200_000
# Asks waiting for a reply; beyond this number the slice decides.
MAX_PENDING_ASKS = 4096
# Askers tracked for one tenant.
MAX_ASKERS = 1024
# A reply that arrives up to this long after the timeout still yields a round-trip time and a bucket copy.
LATE_REPLY_MS = 2000.0
# Up to this age of the bucket copy a decision by the slice is reported as COPY, afterwards as SLICE.
RECENT_COPY_MS = 1000.0
# How long the slice of a silent asker, or of a limiter that left the ring, stays reserved.  This is longer
# than a slice is valid at the asker.  What is known of a peer outside the ring is kept for the same time.
RESERVATION_MS = 120_000.0
# A slice without a request for this long is released.
SLICE_IDLE_MS = 1500.0
MAX_RELEASE_BACKOFF_MS = 8000.0
# Messages returned by one call of ``pending_messages``.
MAX_MESSAGES = 64
# Assumed gap between asks of an asker that has asked once, unless the tenant's rate implies a shorter one.
INITIAL_GAP_MS = 500.0
# Weight of the last gap in the moving average.
GAP_WEIGHT = 0.125
# A bucket created this soon after a change of the ring may have had another owner.  Also the idle time after
# which the bucket of a tenant that this limiter doesn't own any more is dropped.
RING_CHANGE_MS = 3000.0
# A bucket created this soon after a restart may have existed before the restart.  Also the idle time after
# which a full bucket of an owned tenant is dropped; a slice without a valid bucket copy from another limiter
# is dropped after this time and the time in which the burst fills.
RESTART_MS = 10_000.0
# A bucket that may have had another owner or existed before starts with at most this fraction of its burst.
MOVED_BURST_FRACTION = 0.25
# Asks may lower the tokens of such a bucket to those of the asker's bucket copy for this long, during which
# the bucket counts as recently moved.
NEW_BUCKET_MS = 1000.0
# Least time between two updates of a bucket's shares; leases count as ended this much earlier.
SHARE_CHECK_INTERVAL_MS = 50.0
# Tenants for which lease requests may be due at the same time.
MAX_DUE_TENANTS = 1_000
# Initial tokens of all limiters without a bucket copy together.
NO_COPY_TOKENS = 10.0
# Number of limiters assumed while the ring is unknown.
ASSUMED_LIMITERS = 16
# One token, less the rounding error of sums of fractions.
ONE_TOKEN = 1.0 - 1e-9

# Values of ``QuotaDecision.decided_by``.
OWNER: Final = "owner"
ASKED: Final = "asked"
COPY: Final = "copy"
SLICE: Final = "slice"

T = TypeVar("T")


class Quotas:
    """The quotas of all tenants as one limiter, ``node``, handles them.

    Times are milliseconds of one monotonic clock.  Messages are plain JSON objects.
    """

    def __init__(
        self,
        node: str,
        now: float,
        seed: int,
        *,
        first_start: bool,
        bound: OvershootBound | None = None,
        lease_durations: LeaseDurations | None = None,
    ) -> None:
        """Create the state at the time ``now``.

        ``first_start`` is False if this process restarts among running limiters: buckets that it creates soon
        afterwards may have existed before.  ``seed`` determines the jitter of circuit breakers.
        """
        self._random = random.Random(seed)
        self._bound = bound or OvershootBound()
        # 48 bits, so that every JSON reader represents the number exactly.
        self._incarnation = digest(f"{node} {seed} {now}") >> 16
        self._node = node
        self._restarting_until = -math.inf if first_start else now + RESTART_MS
        self._ring_changed_at = -math.inf
        self._own_number: int | None = None
        # Nodes of the live limiters by ring number, and when the others left the ring.
        self._nodes: dict[int, str] = {}
        self._departed: dict[int, float] = {}
        self._ring: Sequence[int] = ()
        self._owners: dict[str, int] = {}
        self._owned: dict[str, OwnedBucket] = {}
        self._slices: dict[str, Slice] = {}
        self._pending: dict[int, PendingAsk] = {}
        # Pending asks that have not timed out.
        self._pending_count = 0
        self._peers: dict[int, OwnerPeer] = {}
        self._last_ask_number = 0
        self._config_version = 0
        self._allowances: dict[str, Allowance] = {}
        self._log = QuotaLog(self._bound.window_s * 1000.0)
        self._grants = ShareGrants.at_start(now, lease_durations or LeaseDurations(), first_start=first_start)
        # Owned tenants that need more shares, in the order in which these are requested, and messages that
        # release leases, each with its receiver.
        self._lease_due: dict[str, None] = {}
        self._releases: list[tuple[int, dict[str, Any]]] = []
        self._next_lease_requests_at = -math.inf
        # When a message of any other limiter last arrived.
        self._last_heard_at = now

    def set_limiters(self, now: float, numbers: dict[int, str], own_number: int | None) -> None:
        """Replace the ring: the nodes of the live limiters by ring number.

        ``own_number`` is the ring number of this limiter, None as long as it has none.
        """
        ring = sorted(numbers)
        if self._ring and ring != self._ring:
            self._ring_changed_at = now
        nodes = set(numbers.values())
        for number, node in self._nodes.items():
            if number not in numbers and node not in nodes and node != self._node:
                self._departed[number] = now
        self._departed = {
            n: at for n, at in self._departed.items() if n not in numbers and now - at <= RESERVATION_MS
        }
        changed = ring != self._ring or own_number != self._own_number
        former_owners = {tenant: self.owner_node(tenant) for tenant in self._log.tallies} if changed else {}
        for number in set(numbers) - set(self._nodes):
            # A new incarnation: what was recorded of the previous one says nothing about it.
            self._peers.pop(number, None)
        self._nodes, self._ring, self._own_number = dict(numbers), ring, own_number
        if changed:
            self._owners.clear()
            lost: dict[int, list[str]] = {}
            for tenant, owned in self._owned.items():
                owned.next_check_at = owned.next_request_at = -math.inf
                if not owned.ownership_lost and self._owner(tenant) != own_number:
                    owned.ownership_lost = True
                    # The bucket is more accurate than the bucket copy of any asker.
                    self._copy_to_slice(now, tenant, owned)
                    for number in {*owned.shares.clear(), *owned.askers}:
                        lost.setdefault(number, []).append(tenant)
            self._release_leases(lost)
            self._log_changes(now, former_owners)

    def _release_leases(self, lost: dict[int, list[str]]) -> None:
        """Tell limiters whose shares this limiter used that it doesn't own these tenants any more."""
        for number, tenants in lost.items():
            for start in range(0, len(tenants), MAX_LEASE_TENANTS):
                part = tenants[start : start + MAX_LEASE_TENANTS]
                self._releases.append((number, {"k": "free", "t": part}))

    def _log_changes(self, now: float, former_owners: dict[str, str]) -> None:
        """Log the new ring, and the tenants with recent requests that have another owner by it."""
        self._log.ring_changed(self.ring_digest, len(self._ring), len(self._departed), self._own_number)
        moved = [tenant for tenant, node in former_owners.items() if node != self.owner_node(tenant)]
        for tenant in moved[:MAX_LINES]:
            self._log.owner_changed(now, tenant, self._tenant_state(now, tenant))

    def record_decision(self, now: float, tenant: str, decision: QuotaDecision) -> None:
        """Record the decision on a request that a client sent to this limiter, for the log."""
        self._log.record(now, tenant, decision.decided_by, decision.allowed)

    def write_log(self, now: float) -> None:
        """Log what was decided here on overloaded tenants; to be called about once a second."""
        for tenant in self._log.due(now):
            self._log.write(now, tenant, self._tenant_state(now, tenant))

    def _tenant_state(self, now: float, tenant: str) -> TenantState:
        owned = self._owned.get(tenant)
        if owned is None or self._owner(tenant) != self._own_number:
            return TenantState(self.owner_node(tenant), self.ring_digest)
        self._refresh(now, owned)
        return TenantState(self.owner_node(tenant), self.ring_digest, owned.bucket.tokens, owned.bucket.part)

    def owner_node(self, tenant: str) -> str:
        """Return the node of the limiter that owns a tenant by this limiter's ring, "" if that is unknown."""
        owner = self._owner(tenant)
        return self._nodes[owner] if owner is not None else ""

    def set_allowances(self, now: float, version: int, allowances: dict[str, Allowance]) -> None:
        """Apply the configured allowances by tenant; a version older than the present one is ignored."""
        if version < self._config_version:
            return
        self._config_version, self._allowances = version, dict(allowances)
        for tenant, owned in self._owned.items():
            allowance = self._allowances.get(tenant)
            if allowance is not None and owned.bucket.version <= version:
                self._apply_allowance(now, owned, allowance, version)
        for tenant, tenant_slice in self._slices.items():
            allowance = self._allowances.get(tenant)
            if allowance is not None:
                tenant_slice.rate, tenant_slice.burst = allowance.rate, allowance.burst

    def request(self, now: float, allowance: Allowance) -> QuotaDecision | Ask:
        """Decide on one request of a tenant, or return an ask to be sent to the owner.

        The decision on an ask is returned by ``handle_reply``, or by ``handle_timeout``, which is to be
        called at the ask's deadline.
        """
        if allowance.rate <= 0:
            return QuotaDecision(True, 0.0, OWNER)
        tenant = allowance.tenant
        owner = self._owner(tenant)
        if owner is not None and owner == self._own_number:
            owned = self._get_owned(now, allowance, self._config_version, None)
            return self._take_token(now, owned, OWNER)
        tenant_slice = self._slice(now, allowance)
        tenant_slice.last_used_at = now
        if owner is None or self._pending_count >= MAX_PENDING_ASKS:
            return self._decide_by_slice(now, tenant_slice)
        peer = self._peer(now, owner)
        if not peer.breaker.allows(now):
            return self._decide_by_slice(now, tenant_slice)
        self._last_ask_number += 1
        self._pending_count += 1
        self._pending[self._last_ask_number] = PendingAsk(allowance, owner, now)
        message = {
            "k": "ask",
            "n": self._last_ask_number,
            "t": tenant,
            "r": allowance.rate,
            "b": allowance.burst,
            "v": self._config_version,
            "life": self._incarnation,
            "spent": tenant_slice.spent,
            "heard": tenant_slice.acknowledged,
        }
        held_for = self._grants.grant_ask(now, tenant, owner)
        if held_for > -RESERVATION_MS:
            message["held"] = held_for
        age = now - tenant_slice.copied_at
        if age <= SLICE_VALID_MS:
            tenant_slice.fill(now, self._limiter_count())
            message |= {
                "left": min(tenant_slice.burst, tenant_slice.tokens * self._limiter_count()),
                "age": age,
                "of": tenant_slice.owner,
            }
        return Ask(self._last_ask_number, owner, message, now + peer.timeout())

    def handle_request(self, now: float, sender: int, message: dict[str, Any]) -> dict[str, Any] | None:
        """Handle an ask, a release of a slice or a hello from the limiter with the ring number ``sender``.

        Returns the reply, or None if there is none or the message is invalid.
        """
        try:
            return self._answer(now, sender, message)
        except InvalidMessageError:
            return None

    def handle_reply(self, now: float, message: dict[str, Any]) -> tuple[int, QuotaDecision] | None:
        """Handle the reply to an earlier message.

        Returns the number of the ask and the decision on it, or None if the reply carries no decision, is
        invalid, or belongs to an ask that is unknown or has timed out.  A reply after the timeout still
        updates the slice.
        """
        try:
            kind, number = message.get("k"), read_integer(message, "n")
            if kind == "backed":
                self._release_confirmed(read_text(message, "t"), number)
                return None
            self._last_heard_at = now
            if kind == "hi":
                self._handle_leases(now, number, message)
                return None
            if kind != "verdict":
                raise InvalidMessageError("not a reply")
            allowed, tokens_left, retry_after_ms = (
                message.get("ok"),
                read_number(message, "left", -MAX_NUMBER),
                read_number(message, "wait"),
            )
            spent = read_integer(message, "spent")
            if not isinstance(allowed, bool):
                raise InvalidMessageError("ok")
        except InvalidMessageError:
            return None
        ask = self._pending.pop(number, None)
        if ask is None:
            return None
        # Any message from the owner resets its circuit breaker.
        self._peer(now, ask.owner).breaker = CircuitBreaker()
        self._peers[ask.owner].record_round_trip(now - ask.sent_at)
        tenant_slice = self._slice(now, ask.allowance)
        tenant_slice.acknowledged = max(tenant_slice.acknowledged, min(spent, tenant_slice.spent))
        if number > tenant_slice.ask_number:
            # The owner has not yet deducted the requests that the slice has admitted since the ask.
            count = self._limiter_count()
            tokens = max(0.0, tokens_left) / count - (tenant_slice.spent - min(spent, tenant_slice.spent))
            tenant_slice.tokens, tenant_slice.updated_at = (
                max(0.0, min(tenant_slice.capacity(count), tokens)),
                now,
            )
            (
                tenant_slice.copied_at,
                tenant_slice.ask_number,
                tenant_slice.owner,
                tenant_slice.next_release_at,
            ) = (
                ask.sent_at,
                number,
                ask.owner,
                -math.inf,
            )
            tenant_slice.release_backoff_ms = RELEASE_BACKOFF_MS
        if ask.timed_out:
            return None
        self._pending_count -= 1
        return number, QuotaDecision(allowed, 0.0 if allowed else max(1.0, retry_after_ms), ASKED)

    def handle_timeout(self, now: float, number: int) -> QuotaDecision:
        """Decide by the slice on an ask that was not answered in time.

        Refuses if the number is unknown, or if that ask has timed out before.
        """
        ask = self._pending.get(number)
        if ask is None or ask.timed_out:
            return QuotaDecision(False, MAX_TIMEOUT_MS, SLICE)
        ask.timed_out = True
        self._pending_count -= 1
        self._peer(now, ask.owner).breaker.record_failure(now, self._random.random())
        return self._decide_by_slice(now, self._slice(now, ask.allowance))

    def pending_messages(self, now: float) -> list[tuple[int, dict[str, Any]]]:
        """Return the messages that release unused slices, each with the ring number of its receiver.

        To be called a few times a second; the replies go to ``handle_reply``.  Messages may be lost and are
        repeated until they are answered.  Without them owners would reserve the slices of idle askers and
        refuse requests of tenants whose load is near their rate.
        """
        messages: list[tuple[int, dict[str, Any]]] = []
        for tenant, tenant_slice in self._slices.items():
            if len(messages) >= MAX_MESSAGES:
                break
            if (
                tenant_slice.ask_number < 0
                or now - tenant_slice.last_used_at < SLICE_IDLE_MS
                or now < tenant_slice.next_release_at
            ):
                continue
            if (
                now - tenant_slice.copied_at > SLICE_VALID_MS
                or tenant_slice.owner == self._own_number
                or tenant_slice.owner not in self._nodes
            ):
                continue
            tenant_slice.next_release_at, tenant_slice.release_backoff_ms = (
                now + tenant_slice.release_backoff_ms,
                min(MAX_RELEASE_BACKOFF_MS, 2.0 * tenant_slice.release_backoff_ms),
            )
            messages.append(
                (
                    tenant_slice.owner,
                    {
                        "k": "back",
                        "n": tenant_slice.ask_number,
                        "t": tenant,
                        "life": self._incarnation,
                        "spent": tenant_slice.spent,
                        "heard": tenant_slice.acknowledged,
                    },
                )
            )
        return messages

    def lease_messages(self, now: float) -> list[tuple[int, dict[str, Any]]]:
        """Return the messages that request or release leases, each with the ring number of its receiver.

        To be called after each request, message and change of the ring, and at ``next_lease_messages_at``;
        the replies go to ``handle_reply``.
        """
        messages, self._releases = self._releases, []
        due: dict[int, list[str]] = {}
        remaining = MAX_REQUESTS_AT_ONCE if now >= self._next_lease_requests_at else 0
        for tenant in list(self._lease_due):
            if remaining <= 0:
                break
            numbers = self._due_lease_requests(now, tenant, remaining)
            if len(numbers) < remaining:
                del self._lease_due[tenant]
            remaining -= len(numbers)
            for number in numbers:
                due.setdefault(number, []).append(tenant)
        if due:
            self._next_lease_requests_at = now + REQUEST_INTERVAL_MS
        for number, tenants in due.items():
            for start in range(0, len(tenants), MAX_LEASE_TENANTS):
                part = tenants[start : start + MAX_LEASE_TENANTS]
                request = {"k": "hello", "ring": self.ring_digest, "t": part}
                messages.append((number, request | {"life": self._incarnation, "at": now}))
        return messages

    def _due_lease_requests(self, now: float, tenant: str, limit: int) -> list[int]:
        """Return the limiters that are to be asked for a lease of a tenant's shares now."""
        owned = self._owned.get(tenant)
        if owned is None or owned.ownership_lost or self._owner(tenant) != self._own_number:
            return []
        self._refresh(now, owned)
        if owned.bucket.tokens >= enough_tokens(owned.bucket.burst):
            return []
        recent = now - RENEWAL_FRACTION * self._grants.durations.asked
        current = {n for n, asker in owned.askers.items() if asker.reserved or asker.last_heard_at > recent}
        others = [n for n in self._ring if n != self._own_number and n not in current]
        return owned.shares.due_requests(now, others, self._grants.durations.requested, limit)

    def next_lease_messages_at(self) -> float | None:
        """Return when further requests for leases are due, None if there are none."""
        return self._next_lease_requests_at if self._lease_due else None

    def expire(self, now: float) -> None:
        """Drop idle buckets, slices out of use, asks that will not be answered, and peers out of the ring.

        To be called about once a second.
        """
        for number in [
            n for n, ask in self._pending.items() if now - ask.sent_at > LATE_REPLY_MS + MAX_TIMEOUT_MS
        ]:
            if not self._pending.pop(number).timed_out:
                self._pending_count -= 1
        departed_count = len(self._departed)
        self._departed = {n: at for n, at in self._departed.items() if now - at <= RESERVATION_MS}
        for tenant, owned in list(self._owned.items()):
            if len(self._departed) != departed_count:
                owned.next_check_at = -math.inf
            idle = now - owned.last_used_at
            if self._owner(tenant) != self._own_number and idle > RING_CHANGE_MS:
                del self._owned[tenant]
            elif idle > RESTART_MS and not any(asker.reserved for asker in owned.askers.values()):
                self._refresh(now, owned)
                if owned.bucket.tokens + owned.shares.pool >= owned.bucket.burst * self._ring_part() - 1e-6:
                    # The bucket is full, as a new one would be.
                    del self._owned[tenant]
        for tenant, tenant_slice in list(self._slices.items()):
            valid = tenant_slice.ask_number >= 0 and now - tenant_slice.copied_at <= SLICE_VALID_MS
            if not valid and now - tenant_slice.last_used_at > RESTART_MS + 1000.0 * tenant_slice.burst / max(
                tenant_slice.rate, 1e-6
            ):
                del self._slices[tenant]
        self._grants.expire(now)
        for number, peer in list(self._peers.items()):
            if number not in self._nodes and now - peer.last_used_at > RESERVATION_MS:
                del self._peers[number]

    def rows(self, now: float, only: str | None = None) -> list[dict[str, Any]]:
        """Return a status row for each bucket owned here and for each slice.

        If ``only`` is given, only the rows of that tenant are returned.
        """
        rows: list[dict[str, Any]] = []
        for tenant, owned in _select(self._owned, only):
            self._refresh(now, owned)
            rows.append(
                {
                    "tenant": tenant,
                    "role": "owner",
                    "tokens": round(owned.bucket.tokens + owned.shares.pool, 3),
                    "rate": owned.bucket.rate,
                    "burst": owned.bucket.burst,
                    "apart": self._limiter_count() - len(owned.shares.used),
                    "askers": len(owned.askers),
                }
            )
        for tenant, tenant_slice in _select(self._slices, only):
            tenant_slice.fill(now, self._limiter_count())
            rows.append(
                {
                    "tenant": tenant,
                    "role": "asker",
                    "tokens": round(tenant_slice.tokens, 3),
                    "rate": tenant_slice.rate,
                    "burst": tenant_slice.burst,
                    "owner": self._owner(tenant),
                    "untold": tenant_slice.spent - tenant_slice.acknowledged,
                }
            )
        return rows

    def _limiter_count(self) -> int:
        """Return the number of limiters that share each quota, with those that left the ring recently.

        It is ASSUMED_LIMITERS while the ring is unknown.
        """
        return max(1, len(self._nodes) + len(self._departed)) if self._nodes else ASSUMED_LIMITERS

    def _owner(self, tenant: str) -> int | None:
        """Return the ring number of the tenant's owner, None while the ring is unknown."""
        if not self._ring:
            return None
        owner = self._owners.get(tenant)
        if owner is None:
            if len(self._owners) >= MAX_TENANTS:
                self._owners.clear()
            owner = self._owners[tenant] = ring_owner(digest(tenant), self._ring)
        return owner

    @property
    def ring_size(self) -> int:
        """Number of limiters on the ring."""
        return len(self._ring)

    @property
    def ring_digest(self) -> int:
        """A number that is the same at limiters with the same ring."""
        return digest(" ".join(map(str, self._ring))) >> 16

    def _peer(self, now: float, number: int) -> OwnerPeer:
        peer = self._peers.get(number)
        if peer is None:
            peer = self._peers[number] = OwnerPeer()
        peer.last_used_at = now
        return peer

    # Asker side --------------------------------------------------------------------------

    def _slice(self, now: float, allowance: Allowance) -> Slice:
        """Return the tenant's slice, with the rate and burst of ``allowance``.

        A slice that doesn't exist is created without a bucket copy, with at most one token.
        """
        tenant_slice = self._slices.get(allowance.tenant)
        if tenant_slice is None:
            if len(self._slices) >= MAX_TENANTS:
                del self._slices[next(iter(self._slices))]
            count = self._limiter_count()
            tokens = min(1.0, NO_COPY_TOKENS / count, allowance.burst / count)
            tenant_slice = self._slices[allowance.tenant] = Slice(
                allowance.rate, allowance.burst, tokens, now, now, self._bound
            )
        elif tenant_slice.rate != allowance.rate or tenant_slice.burst != allowance.burst:
            tenant_slice.fill(now, self._limiter_count())
            tenant_slice.rate, tenant_slice.burst = allowance.rate, allowance.burst
        return tenant_slice

    def _decide_by_slice(self, now: float, tenant_slice: Slice) -> QuotaDecision:
        """Decide on one request by the slice; take one of its tokens if the request is allowed."""
        rate = tenant_slice.fill(now, self._limiter_count())
        decided_by = COPY if now - tenant_slice.copied_at <= RECENT_COPY_MS else SLICE
        if tenant_slice.tokens < ONE_TOKEN:
            return QuotaDecision(
                False, max(1.0, (1.0 - tenant_slice.tokens) / max(rate, 1e-6) * 1000.0), decided_by
            )
        tenant_slice.tokens -= 1.0
        tenant_slice.spent += 1
        return QuotaDecision(True, 0.0, decided_by)

    def _release_confirmed(self, tenant: str, number: int) -> None:
        """Invalidate the bucket copy of a slice whose release the owner has confirmed; limit its tokens.

        ``number`` is that of the released ask.  Nothing changes if a later ask has brought another copy.
        """
        tenant_slice = self._slices.get(tenant)
        if tenant_slice is not None and tenant_slice.ask_number == number:
            tenant_slice.ask_number, tenant_slice.copied_at = -1, -math.inf
            tenant_slice.tokens = min(tenant_slice.tokens, NO_COPY_TOKENS / self._limiter_count())

    def _copy_to_slice(self, now: float, tenant: str, owned: OwnedBucket) -> None:
        """Set the tenant's slice from this limiter's own bucket, which it no longer owns.

        The slice has a valid bucket copy then, but no ask that brought it, and so is not released.
        """
        self._refresh(now, owned)
        bucket = owned.bucket
        tenant_slice = self._slice(now, Allowance(tenant, bucket.rate, bucket.burst))
        count = self._limiter_count()
        tenant_slice.tokens, tenant_slice.updated_at, tenant_slice.copied_at = (
            max(0.0, min(bucket.burst, bucket.tokens)) / count,
            now,
            now,
        )
        tenant_slice.ask_number, tenant_slice.owner = -1, -1

    # Owner side --------------------------------------------------------------------------

    def _answer(self, now: float, sender: int, message: dict[str, Any]) -> dict[str, Any] | None:
        """Apply a message of another limiter to the bucket and to the sender's account; return the reply.

        A "hello" requests leases of this limiter's shares, a "free" releases them.  A "back" releases the
        sender's slice: the usage that it reports is deducted from the bucket and the sender's account is
        closed, so that the slice isn't reserved later.  An "ask" reports usage in the same way and then takes
        one token from the bucket.  The reply carries the remaining tokens.  They are stored in the sender's
        account (``tokens_reported``), as the sender sets its slice from them.

        Returns None if there is no reply.  Raises InvalidMessageError.
        """
        kind = message.get("k")
        if sender in self._peers:
            # Any message from a peer resets its circuit breaker.
            self._peers[sender].breaker = CircuitBreaker()
        self._last_heard_at = now
        if kind == "hello":
            return self._grant_leases(now, sender, message)
        if kind == "free":
            for tenant in read_tenants(message):
                self._grants.release(now, tenant, sender)
            return None
        number, tenant = read_integer(message, "n"), read_text(message, "t")
        incarnation, spent, acknowledged = (
            read_integer(message, "life"),
            read_integer(message, "spent"),
            read_integer(message, "heard"),
        )
        if kind == "back":
            existing = self._owned.get(tenant)
            if existing is not None and sender in existing.askers:
                self._apply_usage(now, existing, sender, incarnation, spent, acknowledged)
                del existing.askers[sender]
                self._refresh(now, existing, force=True)
            return {"k": "backed", "n": number, "t": tenant}
        if kind != "ask":
            raise InvalidMessageError("not an ask")
        allowance = Allowance(tenant, read_number(message, "r"), read_number(message, "b"))
        version = read_integer(message, "v")
        tokens_left = read_number(message, "left") if "left" in message else None
        copy_owner = read_integer(message, "of", -1) if "of" in message else -1
        held_for = read_number(message, "held", -MAX_NUMBER) if "held" in message else -math.inf
        configured = self._allowances.get(tenant)
        if configured is not None and self._config_version >= version:
            allowance, version = configured, self._config_version
        if allowance.rate <= 0:
            return {
                "k": "verdict",
                "n": number,
                "ok": True,
                "left": allowance.burst,
                "wait": 0.0,
                "spent": spent,
            }
        owned = self._get_owned(now, allowance, version, tokens_left)
        if (
            tokens_left is not None
            and owned.recently_moved
            and now - owned.bucket.born <= NEW_BUCKET_MS
            and copy_owner != self._own_number
        ):
            owned.bucket.fill(now)
            # The tokens in the asker's bucket copy are less those that the previous owner has spent.
            owned.bucket.tokens = min(owned.bucket.tokens, tokens_left)
        held_tokens = (
            None
            if tokens_left is None or copy_owner == self._own_number
            else tokens_left / self._limiter_count()
        )
        self._apply_usage(now, owned, sender, incarnation, spent, acknowledged, held_tokens)
        if sender in owned.askers:
            owned.askers[sender].held_until = now + held_for
            if held_for > 0:
                owned.next_check_at = -math.inf
            self._take_share(now, owned, sender, held_for)
        decision = self._take_token(now, owned, ASKED)
        tokens = owned.bucket.tokens + owned.shares.pool
        if sender in owned.askers:
            owned.askers[sender].tokens_reported = tokens
        return {
            "k": "verdict",
            "n": number,
            "ok": decision.allowed,
            "left": tokens,
            "wait": decision.retry_after_ms,
            "spent": spent,
        }

    def _get_owned(
        self, now: float, allowance: Allowance, version: int, tokens_left: float | None
    ) -> OwnedBucket:
        """Return the bucket of a tenant, created if there is none.

        A new bucket starts with at most ``tokens_left``, the tokens in an asker's bucket copy.
        """
        owned = self._owned.get(allowance.tenant)
        if owned is None:
            moved = now < self._restarting_until or now - self._ring_changed_at < RING_CHANGE_MS
            tokens = allowance.burst * (MOVED_BURST_FRACTION if moved else 1.0)
            tokens = min(tokens, self._take_own_copy(now, allowance.tenant))
            if tokens_left is not None:
                tokens = min(tokens, tokens_left)
            # Limiters that left the ring may still use their slices on the other side of a partition.
            tokens *= 1.0 - len(self._departed) / self._limiter_count()
            if len(self._owned) >= MAX_TENANTS:
                del self._owned[next(iter(self._owned))]
                # If the dropped tenant returns, its new bucket must not start full.
                self._ring_changed_at = now
            bucket = TokenBucket(allowance.rate, allowance.burst, tokens, now, born=now, version=version)
            owned = self._owned[allowance.tenant] = OwnedBucket(allowance.tenant, bucket, now, moved)
            if moved:
                owned.shares.withhold_all(now, self._ring)
                bucket.tokens = min(tokens, max(1.0, allowance.burst / self._limiter_count()))
            else:
                # The bucket holds the tokens of all shares; those that aren't leased are withheld next.
                owned.shares.used = set(self._ring)
        elif version >= owned.bucket.version:
            self._apply_allowance(now, owned, allowance, version)
        if owned.ownership_lost and self._owner(allowance.tenant) == self._own_number:
            # In the meantime another owner has admitted requests from a bucket of its own.
            owned.ownership_lost, owned.recently_moved, owned.next_check_at, owned.bucket.born = (
                False,
                True,
                -math.inf,
                now,
            )
            owned.bucket.tokens = min(owned.bucket.fill(now), self._take_own_copy(now, allowance.tenant))
            owned.shares.withhold_all(now, self._ring)
        owned.last_used_at = now
        return owned

    def _take_own_copy(self, now: float, tenant: str) -> float:
        """Estimate the tokens of the tenant's bucket from the slice that this limiter held as an asker.

        The bucket copy of the slice is invalidated.  Returns infinity if it was not valid before.
        """
        tenant_slice = self._slices.get(tenant)
        if tenant_slice is None or now - tenant_slice.copied_at > SLICE_VALID_MS:
            return math.inf
        tenant_slice.fill(now, self._limiter_count())
        tenant_slice.ask_number, tenant_slice.copied_at = -1, -math.inf
        return tenant_slice.tokens * self._limiter_count()

    def _apply_allowance(self, now: float, owned: OwnedBucket, allowance: Allowance, version: int) -> None:
        """Set the rate and burst of a bucket as in configuration version ``version``."""
        bucket = owned.bucket
        if (bucket.rate, bucket.burst) != (allowance.rate, allowance.burst):
            self._refresh(now, owned)
            bucket.change(now, allowance.rate, allowance.burst)
        bucket.version = version

    def _take_token(self, now: float, owned: OwnedBucket, decided_by: str) -> QuotaDecision:
        """Decide on one request by the bucket; take one of its tokens if the request is allowed."""
        self._refresh(now, owned)
        bucket = owned.bucket
        if bucket.tokens < low_tokens(bucket.burst) and now >= owned.next_request_at:
            self._note_lease_due(now, owned)
        if bucket.tokens < ONE_TOKEN:
            return QuotaDecision(False, max(1.0, bucket.wait_for(1.0) / max(bucket.part, 0.01)), decided_by)
        bucket.tokens -= 1.0
        return QuotaDecision(True, 0.0, decided_by)

    def _refresh(self, now: float, owned: OwnedBucket, *, force: bool = False) -> None:
        """Fill the bucket at its part of the rate, and update the shares that it contains.

        ``force`` updates them even if none can have changed yet.
        """
        bucket, shares = owned.bucket, owned.shares
        self._fill(now, owned)
        if force or now >= owned.next_check_at:
            self._reserve_silent(now, owned)
            self._update_shares(now, owned)
        overflow = bucket.tokens - max(bucket.burst * bucket.part, unleased_tokens(bucket.burst))
        if overflow > 0:
            bucket.tokens -= overflow
            shares.pool += overflow if shares.withheld else 0.0

    def _fill(self, now: float, owned: OwnedBucket) -> None:
        """Add what has accrued to the bucket and to the pool of the withheld shares."""
        bucket, shares, count = owned.bucket, owned.shares, self._limiter_count()
        bucket.fill(now)
        # Reservations are accounted for by asker, not in the bucket's escrow.
        bucket.escrow = 0.0
        capacity = bucket.burst * min(1.0, (len(shares.used) + len(shares.withheld)) / count)
        shares.accrue(now, bucket.rate / count / 1000.0, capacity - max(0.0, bucket.tokens))

    def _reserve_silent(self, now: float, owned: OwnedBucket) -> None:
        """Reserve the slices of askers that have become silent, as they may be deciding without this owner.

        When an asker becomes silent, the bucket is also charged with all that the slice may have admitted
        since the asker's last message: its part of the tokens in the owner's last reply, and of the rate
        since that message.  The debt is limited to one burst.  An account is dropped after
        ``RESERVATION_MS``, when the slice is no longer valid at the asker; nothing is added to the bucket
        then.
        """
        bucket, count = owned.bucket, self._limiter_count()
        owned.next_check_at = math.inf
        for number, asker in list(owned.askers.items()):
            silent_ms = now - asker.last_heard_at
            if silent_ms > RESERVATION_MS:
                del owned.askers[number]
                continue
            if not asker.reserved and silent_ms > asker.silence_timeout():
                asker.reserved, asker.reserved_tokens = True, max(0.0, asker.tokens_reported) / count
                possibly_used = asker.reserved_tokens + silent_ms * bucket.rate / count / 1000.0
                bucket.tokens += owned.shares.take(now, number, math.inf, 0.0)
                bucket.tokens = max(min(bucket.tokens, -bucket.burst), bucket.tokens - possibly_used)
            owned.next_check_at = min(
                owned.next_check_at,
                asker.last_heard_at + (RESERVATION_MS if asker.reserved else asker.silence_timeout()),
            )

    def _update_shares(self, now: float, owned: OwnedBucket) -> None:
        """Set the bucket's part of the quota (``bucket.part``) to the shares that this owner may use now.

        These are its own share, unless another limiter still holds it, those of its askers and those leased
        to it.
        """
        bucket, shares, horizon = owned.bucket, owned.shares, now + SHARE_CHECK_INTERVAL_MS
        available, unavailable = set[int](), set[int]()
        next_change = self._last_heard_at + SLICE_VALID_MS
        next_change = next_change if next_change > now else math.inf
        for number in self._ring:
            asker = owned.askers.get(number)
            if asker is not None and asker.reserved:
                continue
            if number == self._own_number:
                until, held_until = math.inf, now + self._grants.held_for(now, owned.tenant)
            elif asker is None:
                until = held_until = -math.inf
            else:
                # An ask is valid for as long as a lease.
                until, held_until = asker.last_heard_at + self._grants.durations.asked, asker.held_until
            if held_until > now:
                next_change = min(next_change, held_until)
            if held_until <= now and until > horizon:
                available.add(number)
                next_change = min(next_change, until)
            else:
                unavailable.add(number)
        minimum = unleased_tokens(bucket.burst)
        bucket.tokens = shares.update(now, horizon, available, unavailable, bucket.tokens, minimum)
        next_change = min(next_change, shares.next_expiry())
        owned.next_check_at = min(owned.next_check_at, max(horizon, next_change))
        if owned.recently_moved and now - bucket.born > NEW_BUCKET_MS:
            owned.recently_moved = False
        self._set_part(now, owned)

    def _set_part(self, now: float, owned: OwnedBucket) -> None:
        used: float = len(owned.shares.used)
        if self._own_number in owned.shares.used and now - self._last_heard_at > SLICE_VALID_MS:
            # The others may have ceased to reserve this limiter's share.
            used -= (1.0 - NO_COPY_RATE_FRACTION) * (len(self._ring) > 1)
        owned.bucket.part = min(1.0, used / self._limiter_count())

    def _ring_part(self) -> float:
        """Return the part of each quota that the limiters of the ring have, without those that left it."""
        return len(self._ring) / self._limiter_count() if self._ring else 1.0

    # Leases of shares --------------------------------------------------------------------

    def _note_lease_due(self, now: float, owned: OwnedBucket) -> None:
        """Note that an owned tenant needs more shares."""
        if not owned.ownership_lost and len(self._lease_due) < MAX_DUE_TENANTS:
            self._lease_due[owned.tenant] = None
            owned.next_request_at = now + REQUEST_BACKOFF_MS / 2.0

    def _grant_leases(self, now: float, sender: int, message: dict[str, Any]) -> dict[str, Any] | None:
        """Lease this limiter's shares to a limiter that owns the tenants by this limiter's ring too."""
        if self._own_number is None or not read_integer(message, "ring"):
            return None
        reply = {"k": "hi", "n": self._own_number, "ring": self.ring_digest}
        if "t" not in message:  # an earlier version
            return reply
        granted = []
        for tenant in read_tenants(message):
            if sender in self._nodes and self._owner(tenant) == sender:
                held_for = self._grants.grant_request(now, tenant, sender)
                granted.append([tenant, max(-RESERVATION_MS, held_for)])
        return reply | {"t": granted, "life": read_integer(message, "life"), "at": read_number(message, "at")}

    def _handle_leases(self, now: float, number: int, message: dict[str, Any]) -> None:
        """Use the shares that another limiter has leased to this owner.  Raises InvalidMessageError."""
        if number not in self._nodes:
            return
        requested_at = now
        if "t" not in message:  # an earlier version, which only tells its ring
            agreed = read_integer(message, "ring") == self.ring_digest
            leases = [(t, -RESERVATION_MS) for t, o in self._owned.items() if number in o.shares.requests]
            leases = leases if agreed else []
        else:
            leases, requested_at = read_leases(message), read_number(message, "at")
            if read_integer(message, "life") != self._incarnation or requested_at > now:
                return
        self._peer(now, number).breaker = CircuitBreaker()
        until = requested_at + self._grants.durations.requested
        for tenant, held_for in leases:
            owned = self._owned.get(tenant)
            if owned is None or owned.ownership_lost:
                continue
            asker = owned.askers.get(number)
            if asker is not None and asker.reserved:
                continue
            if held_for > 0:
                owned.shares.requests[number] = LeaseRequest(now + min(held_for, REQUEST_BACKOFF_MS))
            elif until > now:
                owned.shares.requests[number] = LeaseRequest(now + REQUEST_BACKOFF_MS)
                owned.shares.leases[number] = max(until, owned.shares.leases.get(number, -math.inf))
                owned.next_check_at = min(owned.next_check_at, until)
                self._take_share(now, owned, number, held_for)

    def _take_share(self, now: float, owned: OwnedBucket, number: int, held_for: float) -> None:
        """Add the share of a limiter, which asks this owner or has leased it, to the bucket.

        ``held_for`` is for how many ms another owner still holds the share; a negative number tells how long
        ago the last lease to another one ended.
        """
        if held_for > 0 or number not in self._nodes or number in owned.shares.used:
            return
        self._fill(now, owned)
        per_ms = owned.bucket.rate / self._limiter_count() / 1000.0
        owned.bucket.tokens += owned.shares.take(now, number, -held_for, per_ms)
        owned.shares.used.add(number)
        self._set_part(now, owned)

    def _apply_usage(
        self,
        now: float,
        owned: OwnedBucket,
        sender: int,
        incarnation: int,
        spent: int,
        acknowledged: int,
        held_tokens: float | None = None,
    ) -> None:
        """Account for the usage that an asker reports, in the bucket and in the asker's account.

        ``spent`` is the number of requests that the asker's slice has admitted since its process
        (``incarnation``) started, and ``acknowledged`` the part of it that an owner has accounted for.  The
        rest is deducted from the bucket, whose debt is limited to one burst.  A limiter of the ring that has
        no account gets one (``MAX_ASKERS`` at most), and nothing is deducted.

        If the slice was reserved, the bucket was charged with all of it already.  In this case the unused
        rest is added to the bucket and the reservation ends.  It is not more than ``held_tokens``, the tokens
        that the slice still has, which is given if the asker's bucket copy is that of another owner.  Nothing
        is added if the asker has restarted, as what its previous process admitted is unknown.
        """
        self._refresh(now, owned)
        bucket, count = owned.bucket, self._limiter_count()
        asker = owned.askers.get(sender)
        if asker is None:
            if len(owned.askers) < MAX_ASKERS and sender in self._nodes and sender != self._own_number:
                mean_gap_ms = 1000.0 * count / bucket.rate if bucket.rate > 0 else INITIAL_GAP_MS
                owned.askers[sender] = Asker(now, incarnation, spent, min(INITIAL_GAP_MS, mean_gap_ms))
                owned.next_check_at = min(owned.next_check_at, now + SILENCE_MIN_MS)
            # Nothing is deducted for an asker without an account: the previous owner had reserved its slice.
            return
        accounted = max(asker.spent, acknowledged) if incarnation == asker.incarnation else 0
        unaccounted = max(0, spent - accounted)
        if asker.reserved:
            # Without the reservation the bucket would have stopped filling at its burst, so no more than the
            # slice's part of the burst is added.  What accrues in SILENCE_MAX_MS comes on top, so that all of
            # a short silence is restored.
            tokens_per_ms = bucket.rate / count / 1000.0
            withheld_tokens = asker.reserved_tokens + (now - asker.last_heard_at) * tokens_per_ms
            max_restored = bucket.burst / count + SILENCE_MAX_MS * tokens_per_ms
            restored = (
                0.0 if incarnation != asker.incarnation else min(withheld_tokens - unaccounted, max_restored)
            )
            if held_tokens is not None:
                restored = min(restored, held_tokens)
            bucket.tokens = min(
                bucket.burst, max(min(bucket.tokens, -bucket.burst), bucket.tokens + restored)
            )
        elif unaccounted:
            bucket.tokens = max(min(bucket.tokens, -bucket.burst), bucket.tokens - unaccounted)
        if not asker.reserved:
            asker.mean_gap_ms += GAP_WEIGHT * (now - asker.last_heard_at - asker.mean_gap_ms)
        was_reserved = asker.reserved
        asker.last_heard_at, asker.incarnation, asker.spent, asker.reserved = now, incarnation, spent, False
        if was_reserved:
            self._refresh(now, owned, force=True)


def _select(table: Mapping[str, T], only: str | None) -> Iterable[tuple[str, T]]:
    """Return the items of a table by tenant, or only that of one tenant."""
    if only is None:
        return table.items()
    return [(only, table[only])] if only in table else []
