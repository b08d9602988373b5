"""What one limiter knows of all quotas: the ring, other limiters, and the tables of buckets and slices."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import Any

from larklb.admission.quota_log import QuotaLog
from larklb.admission.quota_records import (
    Allowance,
    OvershootBound,
    OwnedBucket,
    OwnerPeer,
    PendingAsk,
    Slice,
)
from larklb.admission.share_leases import (
    LeaseDurations,
    ShareGrants,
)
from larklb.quota.ring import digest, ring_owner

# Tenants tracked at the same time, in each table.
MAX_TENANTS = 200_000
# A bucket created this soon after a restart may have existed before the restart.  Also the idle time after
# which a full bucket of an owned tenant is dropped; a slice without a valid bucket copy from another limiter
# is dropped after this time and the time in which the burst fills.
RESTART_MS = 10_000.0
# Number of limiters assumed while the ring is unknown.
ASSUMED_LIMITERS = 16


class QuotaState:
    """The state of the quotas as one limiter, ``node``, handles them, and what its parts share."""

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
        self.bound = bound or OvershootBound()
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
        self._log = QuotaLog(self.bound.window_s * 1000.0)
        self._grants = ShareGrants.at_start(now, lease_durations or LeaseDurations(), first_start=first_start)
        # Owned tenants that need more shares, in the order in which these are requested, and messages that
        # release leases, each with its receiver.
        self._lease_due: dict[str, None] = {}
        self._releases: list[tuple[int, dict[str, Any]]] = []
        self._next_lease_requests_at = -math.inf
        # When a message of any other limiter last arrived.
        self._last_heard_at = now

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

    def owner_node(self, tenant: str) -> str:
        """Return the node of the limiter that owns a tenant by this limiter's ring, "" if that is unknown."""
        owner = self._owner(tenant)
        return self._nodes[owner] if owner is not None else ""

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
