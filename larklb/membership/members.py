"""Lives of limiters as a core machine knows them: told by beats, kept under leases, merged between core
machines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Final

from attrs import define, evolve, field

from larklb.quota.ring import digest

HEARTBEAT_INTERVAL_MS = 500.0  # between two beats of a limiter to its home
LEASE_MS = 2_600.0  # a limiter not heard of for so long is taken for down: five beats, some lost
CORE_PRESENT_MS = 1_500.0  # a core machine heard of within this is there
FORGET_MS = 60_000.0  # ... and its number is free for another after so long
GRANTS_PER_EPOCH = 1 << 24  # numbers handed out under one epoch: each has a grant of its own
MAX_MEMBERS = 20_000  # more are refused: the table must not grow with nonsense

UP, LEAVING, DOWN = "up", "leaving", "down"
_RANK: Final = {UP: 0, DOWN: 0, LEAVING: 1}


@define(frozen=True)
class Member:
    """One life of a limiter, as it tells of itself; ``number`` was handed out under the epoch ``granted``."""

    node: str
    ip: str
    zone: str
    incarnation: int  # its incarnation: a higher one replaces a lower one
    disk: str = ""  # its disk's id, where it is a core machine
    state: str = UP
    ring_number: int = -1  # on the ring; -1: none yet
    grant: int = -1

    def to_row(self) -> dict[str, Any]:
        """As it travels."""
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
    """From a row; KeyError, TypeError or ValueError where it is none."""
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
    """The newer of two records of a node, with the number of the higher epoch; whatever the order, the
    same."""
    newer, older = (one, other) if _age(one) >= _age(other) else (other, one)
    if older.grant > newer.grant:
        newer = evolve(newer, ring_number=older.ring_number, grant=older.grant)
    return newer


def _up(member: Member) -> Member:
    return evolve(member, state=UP) if member.state == DOWN else member


def _age(member: Member) -> tuple[int, int, int]:
    return member.incarnation, _RANK.get(member.state, 0), member.grant


@define
class MemberRecord:
    """A member, and when it was last heard of here or by another core machine."""

    member: Member
    last_heard: float
    last_direct: float = -1e18  # when a beat of its own came here
    stale: bool = False  # not heard of for so long that others are not told any more


@define
class Members:
    """All limiters that a core machine knows, by node; ``lease`` in ms.

    ``core_machines`` are those of them that have a disk: few, and asked for far more often."""

    by_node: dict[str, MemberRecord] = field(factory=dict)
    lease_ms: float = LEASE_MS
    core_machines: dict[str, MemberRecord] = field(factory=dict)

    def update(self, now: float, told: Member, direct: bool, fresh: bool = True) -> bool:
        """A record came, from the limiter itself (``direct``) or from a core machine, ``fresh`` where that
        has just heard it; whether anything changed that others must know."""
        known = self.by_node.get(told.node)
        if known is None:
            if len(self.by_node) >= MAX_MEMBERS:
                return False
            known = MemberRecord(told, now if fresh else now - self.lease_ms / 2, now if direct else -1e18)
            self.by_node[told.node] = known
            self._index(known)
            return True
        before = known.member
        # Who is down is each core machine's own view, by its lease: it travels to limiters alone.
        merge = merge_members(_up(told), _up(before))
        if (
            before.state == DOWN
            and merge.state == UP
            and merge.incarnation == before.incarnation
            and not fresh
        ):
            merge = evolve(merge, state=DOWN)
        if fresh and told.incarnation >= before.incarnation:
            known.last_heard, known.stale = now, False
            known.last_direct = now if direct else known.last_direct
        changed, known.member = merge != before, merge
        self._index(known)
        return changed

    def _index(self, known: MemberRecord) -> None:
        if known.member.disk:
            self.core_machines[known.member.node] = known
        else:
            self.core_machines.pop(known.member.node, None)

    def renew(self, now: float, node: str, life: int) -> bool:
        """Another core machine hears it; whether it was taken for down here."""
        known = self.by_node.get(node)
        if known is None or known.member.incarnation != life:
            return False
        known.last_heard, known.stale = now, False
        if known.member.state != DOWN:
            return False
        known.member = evolve(known.member, state=UP)
        return True

    def expire(self, now: float) -> list[str]:
        """The nodes whose lease has just run out."""
        down = []
        for node, known in list(self.by_node.items()):
            silent = now - known.last_heard
            if silent > FORGET_MS:
                del self.by_node[node]
                self.core_machines.pop(node, None)
                down.append(node)
            elif silent > self.lease_ms and known.member.state == UP:
                known.member = evolve(known.member, state=DOWN)
                down.append(node)
            elif silent > FORGET_MS / 2 and not known.stale:
                known.stale = True  # or those who forget it first would be told of it again by the others
                down.append(node)
        return down

    def assign_ring_numbers(self, epoch: int) -> list[str]:
        """The leader's duty: whoever has no number of its own gets one; the nodes that did."""
        taken: dict[int, str] = {}
        without = []
        for node in sorted(self.by_node, key=lambda n: (-self.by_node[n].member.grant, n)):
            member = self.by_node[node].member
            if member.ring_number < 0 or member.ring_number in taken:
                without.append(node)
            else:
                taken[member.ring_number] = node
        free, granted = 0, max([epoch * GRANTS_PER_EPOCH, *(h.member.grant for h in self.by_node.values())])
        for node in without:
            granted += 1
            while free in taken:
                free += 1
            taken[free] = node
            self.by_node[node].member = evolve(self.by_node[node].member, ring_number=free, grant=granted)
        return without

    def cores_by_disk(self, now: float, within: float) -> dict[str, str]:
        """Disk ids and names of the core machines that were heard of within so many ms and aren't down."""
        return {
            heard.member.disk: node
            for node, heard in self.core_machines.items()
            if now - heard.last_heard <= within and heard.member.state != DOWN
        }

    def leaving_disks(self) -> frozenset[str]:
        """Disk ids of the core machines that were told to end, or have ended so."""
        return frozenset(
            heard.member.disk for heard in self.core_machines.values() if heard.member.state == LEAVING
        )

    def address_of_disk(self, disk: str) -> str | None:
        """The address of the core machine with this disk, None where none is known."""
        for heard in self.core_machines.values():
            if heard.member.disk == disk:
                return heard.member.ip
        return None


def home_order(me: str, zone: str, cores: Iterable[Member]) -> list[Member]:
    """The agreed order of homes of a limiter: core machines of its zone first, each limiter's own turn."""
    return sorted(cores, key=lambda m: (m.node != me, m.zone != zone, digest(f"{me} {m.node}")))
