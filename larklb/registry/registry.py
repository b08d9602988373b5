"""Server instances that a core machine knows, each under a lease.

Records of the same instance are merged by state and sequence number, so that the order in which they arrive
doesn't matter.  All times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from attrs import define, evolve, field

# Length of a server's lease, in heartbeat periods.
LEASE_PERIODS = 3.5
# Without news for this long, a server's record is deleted, whether it has left or is silent.
FORGET_MS = 30_000.0
MAX_SERVERS = 100_000

STEADY, DRAINING, GONE = "s", "d", "g"
_RANK: Final = {STEADY: 0, DRAINING: 1, GONE: 2}


@define(frozen=True)
class Server:
    """One instance of a server.

    ``warmup_left_ms`` is what was left of its warm-up at its last heartbeat, 0 if it is warm.  ``silent``
    means that its lease has run out; each core machine decides this by itself, and it is never merged."""

    id: str
    target: str
    address: str
    zone: str
    slots: int
    version: str = ""
    state: str = STEADY
    sequence: int = 0
    warmup_left_ms: float = 0.0
    silent: bool = False

    def to_row(self) -> dict[str, Any]:
        """Returns the row that stands for this server in messages; it lacks the id."""
        row = {
            "t": self.target,
            "a": self.address,
            "z": self.zone,
            "c": self.slots,
            "v": self.version,
            "s": self.state,
            "q": self.sequence,
        }
        if self.warmup_left_ms:
            row["w"] = self.warmup_left_ms
        if self.silent:
            row["x"] = 1
        return row


def server_from_row(key: str, row: Mapping[str, Any]) -> Server:
    """Parses a row; raises KeyError, TypeError or ValueError if it is malformed."""
    return Server(
        key,
        str(row["t"]),
        str(row["a"]),
        str(row["z"]),
        int(row["c"]),
        str(row["v"]),
        str(row["s"]),
        int(row["q"]),
        float(row.get("w", 0.0)),
        bool(row.get("x", 0)),
    )


def state_rank(state: str) -> int:
    """Returns how far a server's departure has advanced: 0 for steady, then draining, then gone."""
    return _RANK.get(state, 0)


def merge_servers(one: Server, other: Server) -> Server:
    """Returns the newer of two records of an instance: the more advanced state (steady, draining, gone), then
    the higher sequence number.  The order of the arguments doesn't matter."""
    return max(one, other, key=lambda s: (state_rank(s.state), s.sequence))


@define
class ServerRecord:
    """A server with the state of its lease."""

    server: Server
    # When it was last heard from, by this core machine or by another.
    last_heard: float
    # When a heartbeat last arrived at this core machine.
    last_direct: float = -1e18
    # Without news for so long that the record is no longer sent to other core machines.
    stale: bool = False


@define
class Registry:
    """All servers that a core machine knows; ``period_ms`` is the time between heartbeats of a server."""

    period_ms: float
    by_id: dict[str, ServerRecord] = field(factory=dict)

    def update(self, now: float, received: Server, direct: bool, fresh: bool = True) -> bool:
        """Merges a record and returns whether others have to be told of a change.

        ``direct``: it comes from the server itself, not from another core machine.  ``fresh``: the server
        has just been heard from, so that its lease is renewed.  An unknown server without fresh news gets a
        lease that is shorter by one heartbeat period."""
        known = self.by_id.get(received.id)
        if known is None:
            if len(self.by_id) >= MAX_SERVERS:
                return False
            self.by_id[received.id] = ServerRecord(
                evolve(received, silent=received.silent and not fresh),
                now if fresh else now - self.period_ms,
                now if direct else -1e18,
            )
            return True
        before = known.server
        if fresh and received.sequence >= before.sequence:
            known.last_heard, known.stale = now, False
            known.last_direct = now if direct else known.last_direct
        known.server = evolve(merge_servers(received, before), silent=before.silent and not fresh)
        return _published_fields(before) != _published_fields(known.server)

    def mark_gone(self, now: float, name: str) -> bool:
        """Notes that a server has left; returns whether this is a change."""
        known = self.by_id.get(name)
        # An unknown server is recorded as gone too, because other core machines may know it.
        if known is None and len(self.by_id) < MAX_SERVERS:
            self.by_id[name] = ServerRecord(Server(name, "", "", "", 1, state=GONE), now)
            return True
        if known is None or known.server.state == GONE:
            return False
        known.server, known.last_heard, known.stale = evolve(known.server, state=GONE), now, False
        return True

    def renew(self, now: float, name: str, sequence: int) -> bool:
        """Renews a lease because another core machine receives the server's heartbeats; returns whether the
        server was silent here."""
        known = self.by_id.get(name)
        if known is None:
            return False
        if sequence >= known.server.sequence:
            known.last_heard, known.stale = now, False
        if not known.server.silent:
            return False
        known.server = evolve(known.server, silent=False)
        return True

    def expire(self, now: float) -> list[str]:
        """Ends leases and deletes old records; returns the ids of the servers whose record has changed."""
        expired = []
        for name, known in list(self.by_id.items()):
            age = now - known.last_heard
            if age > FORGET_MS:
                del self.by_id[name]
                expired.append(name)
            elif age > self.period_ms * LEASE_PERIODS and not known.server.silent:
                known.server = evolve(known.server, silent=True)
                expired.append(name)
            elif age > FORGET_MS / 2 and not known.stale:
                # Otherwise those that delete it first would receive it again from the others.
                known.stale = True
                expired.append(name)
        return expired


def _published_fields(server: Server) -> tuple[object, ...]:
    """Returns the fields whose change has to be sent to other core machines at once."""
    return (
        server.target,
        server.address,
        server.zone,
        server.slots,
        server.state,
        server.warmup_left_ms > 0,
        server.silent,
    )
