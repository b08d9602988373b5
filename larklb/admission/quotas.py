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
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

from larklb.admission.errors import InvalidMessageError
from larklb.admission.quota_leases import QuotaLeases
from larklb.admission.quota_log import MAX_LINES, TenantState
from larklb.admission.quota_messages import (
    MAX_NUMBER,
    read_integer,
    read_number,
    read_tenants,
    read_text,
)
from larklb.admission.quota_owner import NEW_BUCKET_MS, RESERVATION_MS, RING_CHANGE_MS
from larklb.admission.quota_records import (
    ASKED,
    MAX_TIMEOUT_MS,
    OWNER,
    RELEASE_BACKOFF_MS,
    SLICE,
    SLICE_VALID_MS,
    Allowance,
    Ask,
    PendingAsk,
    QuotaDecision,
)
from larklb.admission.quota_state import RESTART_MS
from larklb.quota.breaker import CircuitBreaker

# Asks waiting for a reply; beyond this number the slice decides.
MAX_PENDING_ASKS = 4096
# A reply that arrives up to this long after the timeout still yields a round-trip time and a bucket copy.
LATE_REPLY_MS = 2000.0
# A slice without a request for this long is released.
SLICE_IDLE_MS = 1500.0
MAX_RELEASE_BACKOFF_MS = 8000.0
# Messages returned by one call of ``pending_messages``.
MAX_MESSAGES = 64

T = TypeVar("T")


class Quotas(QuotaLeases):
    """The quotas of all tenants as one limiter, ``node``, handles them.

    Times are milliseconds of one monotonic clock.  Messages are plain JSON objects.
    """

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


def _select(table: Mapping[str, T], only: str | None) -> Iterable[tuple[str, T]]:
    """Return the items of a table by tenant, or only that of one tenant."""
    if only is None:
        return table.items()
    return [(only, table[only])] if only in table else []
