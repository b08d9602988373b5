"""Lives of servers as a core machine knows them: merged by id, state and sequence, so that order does no
harm."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from attrs import define, evolve, field

LEASE_PERIODS = 3.5  # beats missed in a row until a server is taken for silent
FORGET_MS = 30_000.0  # a server that has left, or is silent, is forgotten after so long
MOST_SERVERS = 100_000

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
    cold: float = 0.0  # ms
    silent: bool = False

    def row(self) -> dict[str, Any]:
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
        if self.cold:
            row["w"] = self.cold
        if self.silent:
            row["x"] = 1
        return row


def server_of(key: str, row: Mapping[str, Any]) -> Server:
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


def merged(one: Server, other: Server) -> Server:
    """Of two records of a life: the further state, else the higher sequence; whatever the order, the same."""
    return max(one, other, key=lambda s: (_RANK.get(s.state, 0), s.sequence))


@define
class Known:
    """A server, and when it was last heard of here or by another core machine."""

    server: Server
    at: float
    direct: float = -1e18
    old: bool = False  # not heard of for so long that others are not told any more


@define
class Registry:
    """All servers that a core machine knows; ``period``: ms between a server's beats."""

    period: float
    of: dict[str, Known] = field(factory=dict)

    def heard(self, now: float, told: Server, direct: bool, fresh: bool = True) -> bool:
        """A record came, from the server (``direct``) or from a core machine; whether others must know."""
        known = self.of.get(told.id)
        if known is None:
            if len(self.of) >= MOST_SERVERS:
                return False
            self.of[told.id] = Known(
                evolve(told, silent=told.silent and not fresh),
                now if fresh else now - self.period,
                now if direct else -1e18,
            )
            return True
        before = known.server
        if fresh and told.sequence >= before.sequence:
            known.at, known.old = now, False
            known.direct = now if direct else known.direct
        known.server = evolve(merged(told, before), silent=before.silent and not fresh)
        return _matters(before) != _matters(known.server)

    def gone(self, now: float, name: str) -> bool:
        """A server has left; whether that is news."""
        known = self.of.get(name)
        if known is None and len(self.of) < MOST_SERVERS:  # others may know it, and are to be told
            self.of[name] = Known(Server(name, "", "", "", 1, state=GONE), now)
            return True
        if known is None or known.server.state == GONE:
            return False
        known.server, known.at, known.old = evolve(known.server, state=GONE), now, False
        return True

    def renewed(self, now: float, name: str, sequence: int) -> bool:
        """Another core machine hears it; whether it was taken for silent here."""
        known = self.of.get(name)
        if known is None:
            return False
        if sequence >= known.server.sequence:
            known.at, known.old = now, False
        if not known.server.silent:
            return False
        known.server = evolve(known.server, silent=False)
        return True

    def expire(self, now: float) -> list[str]:
        """The servers whose lease has just run out, or that are forgotten."""
        over = []
        for name, known in list(self.of.items()):
            quiet = now - known.at
            if quiet > FORGET_MS:
                del self.of[name]
                over.append(name)
            elif quiet > self.period * LEASE_PERIODS and not known.server.silent:
                known.server = evolve(known.server, silent=True)
                over.append(name)
            elif quiet > FORGET_MS / 2 and not known.old:
                known.old = True  # or those who forget it first would be told of it again by the others
                over.append(name)
        return over


def _matters(server: Server) -> tuple[object, ...]:
    return (
        server.target,
        server.address,
        server.zone,
        server.slots,
        server.state,
        server.cold > 0,
        server.silent,
    )
