"""The voters of a group: majorities, the liveness of disks, and the next change of the voters."""

from __future__ import annotations

from typing import Annotated

import msgspec
from attrs import define, field

# A core machine counts as present once it has been reported without a gap for this long.
MIN_PRESENCE_MS = 300.0
# A voter that has been silent for this long may be replaced.
VOTER_SILENCE_MS = 2500.0
# A machine is reported for at most this long after its last message.
REPORT_EXPIRY_MS = 1500.0
# Bounds the memory that disks which come and go can take.
MAX_TRACKED_DISKS = 64
# Limit of each list of disks in a message, far above the size of any group that can be founded.
MAX_VOTERS = 32

# Disk ids and the names of their nodes.
Disks = Annotated[dict[str, str], msgspec.Meta(max_length=MAX_VOTERS)]


def majority(size: int) -> int:
    """Returns the smallest number of voters, out of ``size``, such that any two majorities overlap."""
    return size // 2 + 1


@define
class Liveness:
    """When each disk was reported: since when without a gap, and when last. All times are in ms.

    ``start`` is when the observation began. ``cores`` maps the disk ids of the core machines reported last to
    their nodes. ``leaving`` holds the disk ids of machines that are shutting down or have shut down.
    """

    start: float
    cores: dict[str, str] = field(factory=dict)
    leaving: frozenset[str] = frozenset()
    _present_since: dict[str, float] = field(factory=dict)
    _reported_at: dict[str, float] = field(factory=dict)

    def observe(self, now: float, cores: dict[str, str], leaving: frozenset[str] = frozenset()) -> None:
        """Records the core machines reported at ``now``, and the disks that are leaving or have left."""
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
        """Returns the disks that have been present for at least ``MIN_PRESENCE_MS``, with their nodes."""
        return {
            disk: node
            for disk, node in self.cores.items()
            if now - self._present_since[disk] >= MIN_PRESENCE_MS
        }

    def present_for(self, now: float, disk: str) -> float:
        """Returns for how many ms the disk has been reported without a gap; 0 if it is absent."""
        return now - self._present_since.get(disk, now)

    def silent_for(self, now: float, disk: str) -> float:
        """Returns the ms since the disk was last reported, or since the start if it never was."""
        return now - self._reported_at.get(disk, self.start)


def target_voter_count(core_size: int, tolerance: int) -> int:
    """Returns how many voters a core of ``core_size`` machines should have.

    It is the largest odd number, so that any majority of the core contains a majority of the voters and no
    voter is redundant. It is never less than ``tolerance`` requires, however few machines are present.
    """
    return max(core_size - (core_size % 2 == 0), 2 * tolerance + 1)


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
    """Returns the voters after the next change of a single voter, or None if no change is due.

    ``own`` is the leader's disk; ``ready`` are the disks of learners that hold all committed entries.

    A voter that is silent or leaving is removed only after another has been added: it may return, and the
    other voters need its vote if they lose one in the meantime. A voter whose disk was wiped can't return. It
    is removed first, provided that this leaves the size of a majority the same (the group is odd) and that
    this size is above ``tolerance``, because so many disks may be lost at once.
    """
    present = liveness.present(now)
    learners = [disk for disk in present if disk not in voters]
    learner = min((disk for disk in ready if disk in learners and disk not in liveness.leaving), default=None)
    # The node of such a voter is present with another disk.
    wiped = [
        disk
        for disk, node in sorted(voters.items())
        if disk != own and disk not in liveness.cores and node in present.values()
    ]
    unavailable = sorted(
        (
            disk
            for disk in voters
            if disk != own
            and disk not in wiped
            and (disk in liveness.leaving or liveness.silent_for(now, disk) >= silent_ms)
        ),
        key=lambda disk: (-liveness.silent_for(now, disk), disk),
    )
    silent_nodes = {
        voters[disk]
        for disk in unavailable
        if liveness.silent_for(now, disk) >= silent_ms and disk not in liveness.leaving
    }
    available_nodes = {node for disk, node in voters.items() if disk not in unavailable}
    # A learner may be the successor of a voter whose silence isn't long enough to count yet. It counts in
    # addition to the voters only once it has been present for longer than that takes.
    min_presence_ms = silent_ms + REPORT_EXPIRY_MS
    new_nodes = {
        present[disk] for disk in learners if liveness.present_for(now, disk) >= min_presence_ms
    } - available_nodes
    # A learner may also be the successor of a voter that counts as silent. The two then count once.
    core_size = len(available_nodes | new_nodes) + max(0, len(silent_nodes) - len(new_nodes))
    # Voters that are leaving count until they are silent.
    core_size += sum(liveness.silent_for(now, disk) < silent_ms for disk in unavailable)
    target = target_voter_count(core_size, tolerance)
    to_remove = [*wiped, *unavailable][:1]
    remaining = {disk: node for disk, node in voters.items() if disk not in to_remove}
    if len(voters) < target:
        return {**voters, learner: present[learner]} if learner else None
    if len(voters) > target:
        surplus = to_remove or [max(disk for disk in voters if disk != own)]
        return {disk: node for disk, node in voters.items() if disk not in surplus}
    if not to_remove:
        return None
    if wiped and len(voters) % 2 == 1 and majority(len(remaining)) > tolerance:
        return remaining
    return {**voters, learner: present[learner]} if learner else None
