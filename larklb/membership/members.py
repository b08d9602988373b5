"""Limiters that a core machine knows, each under a lease that its heartbeats renew.

The records are merged between core machines.  All times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Final

from attrs import define, evolve, field

from larklb.quota.ring import digest

# Time between heartbeats of a limiter to its home.
HEARTBEAT_INTERVAL_MS = 500.0
# Without news for this long, a limiter is considered down: five heartbeats, some of which may be lost.
LEASE_MS = 2_600.0
# A core machine that was heard from within this time is considered present.
CORE_PRESENT_MS = 1_500.0
# Without news for this long, a limiter's record is deleted and its ring number is free for another.
FORGET_MS = 60_000.0
# Ring numbers that can be assigned under one epoch; each assignment has a grant of its own.
GRANTS_PER_EPOCH = 1 << 24
# Further members are refused, so that invalid messages can't make the table grow without bound.
MAX_MEMBERS = 20_000

UP, LEAVING, DOWN = "up", "leaving", "down"
_RANK: Final = {UP: 0, DOWN: 0, LEAVING: 1}


@define(frozen=True)
class Member:
    """One incarnation of a limiter, as it describes itself.

    ``grant`` identifies the assignment of the ring number and rises with each; that of a later epoch is
    higher.  Both are -1 until a number is assigned."""

    node: str
    ip: str
    zone: str
    # A higher incarnation replaces a lower one.
    incarnation: int
    # The id of the disk, if it is a core machine.
    disk: str = ""
    state: str = UP
    ring_number: int = -1
    grant: int = -1

    def to_row(self) -> dict[str, Any]:
        """Returns the row that stands for this member in messages; it lacks the node's name."""
        return {
            "ip": self.ip,
            "z": self.zone,
            "l": self.incarnation,
            "d": self.disk,
            "s": self.state,
            "n": self.ring_number,
            "g": self.grant,
        }


def member_from_row(node: str, row: Mapping[str, Any]) -> Member:
    """Parses a row; raises KeyError, TypeError or ValueError if it is malformed."""
    return Member(
        node,
        str(row["ip"]),
        str(row["z"]),
        int(row["l"]),
        str(row["d"]),
        str(row["s"]),
        int(row["n"]),
        int(row["g"]),
    )


def merge_members(one: Member, other: Member) -> Member:
    """Returns the newer of two records of a node (the higher incarnation, then ``LEAVING``, then the higher
    grant), with the ring number of the higher grant.  The order of the arguments doesn't matter."""
    newer, older = (one, other) if _age(one) >= _age(other) else (other, one)
    if older.grant > newer.grant:
        newer = evolve(newer, ring_number=older.ring_number, grant=older.grant)
    return newer


def _without_down(member: Member) -> Member:
    return evolve(member, state=UP) if member.state == DOWN else member


def _age(member: Member) -> tuple[int, int, int]:
    return member.incarnation, _RANK.get(member.state, 0), member.grant


@define
class MemberRecord:
    """A member with the state of its lease."""

    member: Member
    # When it was last heard from, by this core machine or by another.
    last_heard: float
    # When a heartbeat last arrived at this core machine.
    last_direct: float = -1e18
    # Without news for so long that the record is no longer sent to other core machines.
    stale: bool = False


@define
class Members:
    """All limiters that a core machine knows, by node.

    ``core_machines`` indexes those that have a disk, which are few and looked up far more often."""

    by_node: dict[str, MemberRecord] = field(factory=dict)
    lease_ms: float = LEASE_MS
    core_machines: dict[str, MemberRecord] = field(factory=dict)

    def update(self, now: float, received: Member, direct: bool, fresh: bool = True) -> bool:
        """Merges a record and returns whether others have to be told of a change.

        ``direct``: it comes from the limiter itself, not from another core machine.  ``fresh``: the limiter
        has just been heard from, so that its lease is renewed.  An unknown limiter without fresh news gets
        half a lease."""
        known = self.by_node.get(received.node)
        if known is None:
            if len(self.by_node) >= MAX_MEMBERS:
                return False
            known = MemberRecord(
                received, now if fresh else now - self.lease_ms / 2, now if direct else -1e18
            )
            self.by_node[received.node] = known
            self._index(known)
            return True
        before = known.member
        # Each core machine decides by its own lease whether a member is down.  That state is sent to
        # subscribers, but not merged between core machines.
        merged = merge_members(_without_down(received), _without_down(before))
        if (
            before.state == DOWN
            and merged.state == UP
            and merged.incarnation == before.incarnation
            and not fresh
        ):
            merged = evolve(merged, state=DOWN)
        if fresh and received.incarnation >= before.incarnation:
            known.last_heard, known.stale = now, False
            known.last_direct = now if direct else known.last_direct
        changed, known.member = merged != before, merged
        self._index(known)
        return changed

    def _index(self, known: MemberRecord) -> None:
        if known.member.disk:
            self.core_machines[known.member.node] = known
        else:
            self.core_machines.pop(known.member.node, None)

    def renew(self, now: float, node: str, incarnation: int) -> bool:
        """Renews a lease because another core machine receives the limiter's heartbeats; returns whether the
        limiter was down here."""
        known = self.by_node.get(node)
        if known is None or known.member.incarnation != incarnation:
            return False
        known.last_heard, known.stale = now, False
        if known.member.state != DOWN:
            return False
        known.member = evolve(known.member, state=UP)
        return True

    def expire(self, now: float) -> list[str]:
        """Ends leases and deletes old records; returns the nodes whose record has changed."""
        expired = []
        for node, known in list(self.by_node.items()):
            age = now - known.last_heard
            if age > FORGET_MS:
                del self.by_node[node]
                self.core_machines.pop(node, None)
                expired.append(node)
            elif age > self.lease_ms and known.member.state == UP:
                known.member = evolve(known.member, state=DOWN)
                expired.append(node)
            elif age > FORGET_MS / 2 and not known.stale:
                # Otherwise those that delete it first would receive it again from the others.
                known.stale = True
                expired.append(node)
        return expired

    def assign_ring_numbers(self, epoch: int) -> list[str]:
        """Assigns a free ring number to each member that has none or shares one with a later assignment.

        Only the leader does this; ``epoch`` is its term.  Returns the nodes that got a number."""
        taken: dict[int, str] = {}
        unassigned = []
        for node in sorted(self.by_node, key=lambda n: (-self.by_node[n].member.grant, n)):
            member = self.by_node[node].member
            if member.ring_number < 0 or member.ring_number in taken:
                unassigned.append(node)
            else:
                taken[member.ring_number] = node
        free, grant = 0, max([epoch * GRANTS_PER_EPOCH, *(r.member.grant for r in self.by_node.values())])
        for node in unassigned:
            grant += 1
            while free in taken:
                free += 1
            taken[free] = node
            self.by_node[node].member = evolve(self.by_node[node].member, ring_number=free, grant=grant)
        return unassigned

    def cores_by_disk(self, now: float, max_age_ms: float) -> dict[str, str]:
        """Returns the nodes, by disk id, of the core machines that were heard from within the last
        ``max_age_ms`` and aren't down."""
        return {
            record.member.disk: node
            for node, record in self.core_machines.items()
            if now - record.last_heard <= max_age_ms and record.member.state != DOWN
        }

    def leaving_disks(self) -> frozenset[str]:
        """Returns the disk ids of the core machines that are shutting down in order or have done so."""
        return frozenset(
            record.member.disk for record in self.core_machines.values() if record.member.state == LEAVING
        )

    def address_of_disk(self, disk: str) -> str | None:
        """Returns the address of the core machine with this disk, or None if none is known."""
        for record in self.core_machines.values():
            if record.member.disk == disk:
                return record.member.ip
        return None


def home_order(node: str, zone: str, cores: Iterable[Member]) -> list[Member]:
    """Returns the core machines in the order in which a limiter prefers them as its home.

    The limiter itself comes first if it is a core machine, then those of its zone.  Otherwise the order
    follows a hash that differs from limiter to limiter, which spreads the subscribers."""
    return sorted(cores, key=lambda m: (m.node != node, m.zone != zone, digest(f"{node} {m.node}")))
