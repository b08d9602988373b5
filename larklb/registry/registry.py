"""Lives of servers as a core machine knows them: merged by id, state and sequence, so that order does no
harm."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from attrs import define, evolve, field

LEASE_PERIODS = 3.5  # beats missed in a row until a server is taken for silent
FORGET_MS = 30_000.0  # a server that has left, or is silent, is forgotten after so long
MAX_SERVERS = 100_000

STEADY, DRAINING, GONE = "s", "d", "g"
_RANK: Final = {STEADY: 0, DRAINING: 1, GONE: 2}


@define(frozen=True)
class Server:
    """One life of a server.  ``cold``: it was still slow from its start when it last told; ``silent``: its
    lease has run out, which is each core machine's own view and never merged."""

    id: str
    target: str
    address: str
    zone: str
    slots: int
    version: str = ""
    state: str = STEADY
    sequence: int = 0
    cold_ms: float = 0.0  # ms
    silent: bool = False

    def to_row(self) -> dict[str, Any]:
        """As it travels."""
        row = {
            "t": self.target,
            "a": self.address,
            "z": self.zone,
            "c": self.slots,
            "v": self.version,
            "s": self.state,
            "q": self.sequence,
        }
        if self.cold_ms:
            row["w"] = self.cold_ms
        if self.silent:
            row["x"] = 1
        return row


def server_from_row(key: str, row: Mapping[str, Any]) -> Server:
    """From a row; KeyError, TypeError or ValueError where it is none."""
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


def merge_servers(one: Server, other: Server) -> Server:
    """Of two records of a life: the further state, else the higher sequence; whatever the order, the same."""
    return max(one, other, key=lambda s: (_RANK.get(s.state, 0), s.sequence))


@define
class ServerRecord:
    """A server, and when it was last heard of here or by another core machine."""

    server: Server
    last_heard: float
    last_direct: float = -1e18
    stale: bool = False  # not heard of for so long that others are not told any more


@define
class Registry:
    """All servers that a core machine knows; ``period``: ms between a server's beats."""

    period_ms: float
    by_id: dict[str, ServerRecord] = field(factory=dict)

    def update(self, now: float, told: Server, direct: bool, fresh: bool = True) -> bool:
        """A record came, from the server (``direct``) or from a core machine; whether others must know."""
        known = self.by_id.get(told.id)
        if known is None:
            if len(self.by_id) >= MAX_SERVERS:
                return False
            self.by_id[told.id] = ServerRecord(
                evolve(told, silent=told.silent and not fresh),
                now if fresh else now - self.period_ms,
                now if direct else -1e18,
            )
            return True
        before = known.server
        if fresh and told.sequence >= before.sequence:
            known.last_heard, known.stale = now, False
            known.last_direct = now if direct else known.last_direct
        known.server = evolve(merge_servers(told, before), silent=before.silent and not fresh)
        return _matters(before) != _matters(known.server)

    def mark_gone(self, now: float, name: str) -> bool:
        """A server has left; whether that is news."""
        known = self.by_id.get(name)
        if known is None and len(self.by_id) < MAX_SERVERS:  # others may know it, and are to be told
            self.by_id[name] = ServerRecord(Server(name, "", "", "", 1, state=GONE), now)
            return True
        if known is None or known.server.state == GONE:
            return False
        known.server, known.last_heard, known.stale = evolve(known.server, state=GONE), now, False
        return True

    def renew(self, now: float, name: str, sequence: int) -> bool:
        """Another core machine hears it; whether it was taken for silent here."""
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
        """The servers whose lease has just run out, or that are forgotten."""
        over = []
        for name, known in list(self.by_id.items()):
            quiet = now - known.last_heard
            if quiet > FORGET_MS:
                del self.by_id[name]
                over.append(name)
            elif quiet > self.period_ms * LEASE_PERIODS and not known.server.silent:
                known.server = evolve(known.server, silent=True)
                over.append(name)
            elif quiet > FORGET_MS / 2 and not known.stale:
                known.stale = True  # or those who forget it first would be told of it again by the others
                over.append(name)
        return over


def _matters(server: Server) -> tuple[object, ...]:
    return (
        server.target,
        server.address,
        server.zone,
        server.slots,
        server.state,
        server.cold_ms > 0,
        server.silent,
    )
