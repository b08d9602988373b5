"""Who votes: majorities, who has been heard, and the next change of the group."""

from __future__ import annotations

from typing import Annotated

import msgspec
from attrs import define, field

MIN_PRESENCE_MS = 300.0  # of being told of, in one stretch, before a core machine counts as there
VOTER_SILENCE_MS = 2500.0  # without a message after which another may take a voter's place
REPORT_EXPIRY_MS = 1500.0  # for so long after its last message a machine is told of at the most
MAX_TRACKED_DISKS = 64  # disks in memory; a disk that comes and goes can't fill it
MAX_VOTERS = 32  # in any list that a message brings; far above any group that can be founded

Disks = Annotated[dict[str, str], msgspec.Meta(max_length=MAX_VOTERS)]  # disk ids and node names


def majority(size: int) -> int:
    """The least number of voters, out of ``size``, that any other majority meets."""
    return size // 2 + 1


@define
class Liveness:
    """Since when, and when last, each disk has been told of."""

    start: float
    cores: dict[str, str] = field(factory=dict)
    leaving: frozenset[str] = frozenset()  # disks of machines that were told to end
    _present_since: dict[str, float] = field(factory=dict)
    _reported_at: dict[str, float] = field(factory=dict)

    def observe(self, now: float, cores: dict[str, str], leaving: frozenset[str] = frozenset()) -> None:
        """Which core machines were heard of lately, and which of all known ones leave or have left."""
        self.leaving = leaving
        self.cores = dict(sorted(cores.items())[:MAX_TRACKED_DISKS])
        for disk in self.cores:
            self._present_since.setdefault(disk, now)
            self._reported_at[disk] = now
        for disk in [disk for disk in self._present_since if disk not in self.cores]:
            del self._present_since[disk]
        for disk in sorted(self._reported_at, key=lambda disk: (self._reported_at[disk], disk))[
            :-MAX_TRACKED_DISKS
        ]:
            del self._reported_at[disk]

    def present(self, now: float) -> dict[str, str]:
        """Disks that have been there for a while, with their nodes."""
        return {
            disk: node
            for disk, node in self.cores.items()
            if now - self._present_since[disk] >= MIN_PRESENCE_MS
        }

    def present_for(self, now: float, disk: str) -> float:
        """ms for which it has been there in one stretch; 0 where it is not."""
        return now - self._present_since.get(disk, now)

    def silent_for(self, now: float, disk: str) -> float:
        """ms since it was last told of; before that, since we listen."""
        return now - self._reported_at.get(disk, self.start)


def target_voter_count(known: int, tolerance: int) -> int:
    """How many voters a core of ``known`` machines is to have.

    Any majority of the core must hold a majority of the voters, and no vote is to be wasted: the largest odd
    number. Never fewer than tolerance asks for, however few machines are there at the moment."""
    return max(known - (known % 2 == 0), 2 * tolerance + 1)


def next_voters(
    voters: dict[str, str],
    own: str,
    ready: set[str],
    liveness: Liveness,
    now: float,
    *,
    tolerance: int,
    silent_ms: float = VOTER_SILENCE_MS,
) -> dict[str, str] | None:
    """The voters after the next change of one, or None if none is due.

    ``ready`` are newcomers that hold all that is committed. A voter that is only silent or leaves goes after
    another has come in: it may come back, and the others need its vote if they lose one meanwhile. One whose
    disk was emptied goes first, where that leaves the number of disks in a majority as it is (an odd group)
    and above ``tolerance``, all of which may be lost at once."""
    present = liveness.present(now)
    newcomers = [disk for disk in present if disk not in voters]
    newcomer = min(
        (disk for disk in ready if disk in newcomers and disk not in liveness.leaving), default=None
    )
    wiped = [
        disk
        for disk, node in sorted(voters.items())
        if disk != own and disk not in liveness.cores and node in present.values()
    ]
    away = sorted(
        (
            disk
            for disk in voters
            if disk != own
            and disk not in wiped
            and (disk in liveness.leaving or liveness.silent_for(now, disk) >= silent_ms)
        ),
        key=lambda disk: (-liveness.silent_for(now, disk), disk),
    )
    silent = {
        voters[disk]
        for disk in away
        if liveness.silent_for(now, disk) >= silent_ms and disk not in liveness.leaving
    }
    alive = {node for disk, node in voters.items() if disk not in away}
    # A newcomer may be the successor of a voter whose silence doesn't count yet: it has to wait as long.
    settled_ms = silent_ms + REPORT_EXPIRY_MS
    fresh = {present[disk] for disk in newcomers if liveness.present_for(now, disk) >= settled_ms} - alive
    # ... or of one whose silence counts.
    known = len(alive | fresh) + max(0, len(silent) - len(fresh))
    known += sum(
        liveness.silent_for(now, disk) < silent_ms for disk in away
    )  # they leave, and are still there
    wanted = target_voter_count(known, tolerance)
    gone = [*wiped, *away][:1]
    without = {disk: node for disk, node in voters.items() if disk not in gone}
    if len(voters) < wanted:
        return {**voters, newcomer: present[newcomer]} if newcomer else None
    if len(voters) > wanted:
        surplus = gone or [max(disk for disk in voters if disk != own)]
        return {disk: node for disk, node in voters.items() if disk not in surplus}
    if not gone:
        return None
    if wiped and len(voters) % 2 == 1 and majority(len(without)) > tolerance:
        return without
    return {**voters, newcomer: present[newcomer]} if newcomer else None
