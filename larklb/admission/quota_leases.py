"""Messages on leases of shares (``share_leases``): requests, grants and releases."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any

from larklb.admission.quota_messages import (
    MAX_LEASE_TENANTS,
    read_integer,
    read_leases,
    read_number,
    read_tenants,
)
from larklb.admission.quota_owner import RESERVATION_MS, QuotaOwner
from larklb.admission.share_leases import (
    MAX_REQUESTS_AT_ONCE,
    RENEWAL_FRACTION,
    REQUEST_BACKOFF_MS,
    REQUEST_INTERVAL_MS,
    LeaseRequest,
    enough_tokens,
)
from larklb.quota.breaker import CircuitBreaker


class QuotaLeases(QuotaOwner):
    """The leases that a limiter requests as an owner and grants to other owners."""

    def lease_messages(self, now: float) -> list[tuple[int, dict[str, Any]]]:
        """Return the messages that request or release leases, each with the ring number of its receiver.

        To be called after each request, message and change of the ring, and at ``next_lease_messages_at``;
        the replies go to ``handle_reply``.
        """
        if not self._releases and not self._lease_due:
            return []
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
        for number, part in _batches(due):
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

    def _release_leases(self, lost: dict[int, list[str]]) -> None:
        """Tell limiters whose shares this limiter used that it doesn't own these tenants any more."""
        self._releases += [(number, {"k": "free", "t": part}) for number, part in _batches(lost)]

    def _grant_leases(self, now: float, sender: int, message: dict[str, Any]) -> dict[str, Any] | None:
        """Lease this limiter's shares to a limiter that owns the tenants by this limiter's ring too."""
        if self._own_number is None or not read_integer(message, "ring"):
            return None
        reply: dict[str, Any] = {"k": "hi", "n": self._own_number, "ring": self.ring_digest}
        if "t" not in message:  # an earlier version
            return reply
        tenants, granted = read_tenants(message), []
        reply |= {"life": read_integer(message, "life"), "at": read_number(message, "at")}
        for tenant in tenants:
            if sender in self._nodes and self._owner(tenant) == sender:
                held_for = self._grants.grant_request(now, tenant, sender)
                granted.append([tenant, max(-RESERVATION_MS, held_for)])
        return reply | {"t": granted}

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


def _batches(by_receiver: Mapping[int, list[str]]) -> Iterator[tuple[int, list[str]]]:
    """Yield each receiver with its tenants, MAX_LEASE_TENANTS at a time."""
    for number, tenants in by_receiver.items():
        for start in range(0, len(tenants), MAX_LEASE_TENANTS):
            yield number, tenants[start : start + MAX_LEASE_TENANTS]
