"""Who votes: majorities, who has been heard, and the next change of the group."""

from __future__ import annotations

from attrs import define, field

HEARD_MS = 300.0           # of being told of, in one stretch, before a core machine counts as there
SILENT_MS = 2500.0         # without a word after which another may take a voter's place
MOST_TRACKED = 64          # disks in memory; a disk that comes and goes can't fill it


def majority(size: int) -> int:
    return size // 2 + 1


@define
class Hearing:
    """Since when, and when last, each disk has been told of."""

    start: float
    cores: dict[str, str] = field(factory=dict)
    _since: dict[str, float] = field(factory=dict)
    _last: dict[str, float] = field(factory=dict)

    def told(self, now: float, cores: dict[str, str]) -> None:
        self.cores = dict(sorted(cores.items())[:MOST_TRACKED])
        for disk in self.cores:
            self._since.setdefault(disk, now)
            self._last[disk] = now
        for disk in [disk for disk in self._since if disk not in self.cores]:
            del self._since[disk]
        for disk in sorted(self._last, key=lambda disk: (self._last[disk], disk))[:-MOST_TRACKED]:
            del self._last[disk]

    def present(self, now: float) -> dict[str, str]:
        """Disks that have been there for a while, with their nodes."""
        return {disk: node for disk, node in self.cores.items() if now - self._since[disk] >= HEARD_MS}

    def silence(self, now: float, disk: str) -> float:
        """ms since it was last told of; before that, since we listen."""
        return now - self._last.get(disk, self.start)


def next_voters(voters: dict[str, str], own: str, ready: set[str], hearing: Hearing, now: float, *, size: int,
                tolerance: int) -> dict[str, str] | None:
    """The voters after the next change of one, or None if none is due.

    ``ready`` are newcomers that hold all that is committed; ``size`` is the number of voters at the
    founding. A voter that is only silent goes after another has come in: it may come back, and the others
    need its vote if they lose one meanwhile. One whose disk was emptied goes first, where that leaves the
    number of disks in a majority as it is (an odd group) and above ``tolerance``, all of which may be lost
    at once."""
    present = hearing.present(now)
    newcomer = min((disk for disk in ready if disk in present and disk not in voters), default=None)
    wiped = [disk for disk, node in sorted(voters.items())
             if disk != own and disk not in hearing.cores
             and any(told == node and other not in voters for other, told in present.items())]
    silent = sorted((disk for disk in voters if disk != own and hearing.silence(now, disk) >= SILENT_MS),
                    key=lambda disk: (-hearing.silence(now, disk), disk))
    gone = (wiped or silent)[:1]
    without = {disk: node for disk, node in voters.items() if disk not in gone}
    if len(voters) < size:
        return {**voters, newcomer: present[newcomer]} if newcomer else None
    if not gone:
        return None
    if len(voters) > size:
        return without
    if wiped and len(voters) % 2 == 1 and majority(len(without)) > tolerance:
        return without
    return {**voters, newcomer: present[newcomer]} if newcomer else None
