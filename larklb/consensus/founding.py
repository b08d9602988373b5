"""The founding of a group on blank disks.

One disk proposes a list of voters under a group id. The founding is complete when all listed disks have
accepted it; only its proposer can know that, so only the proposer may campaign first. A disk that has voted
in a group or followed its leader is *bound* to that group, unless it learns that the group can never get a
leader. Until then it may switch to another founding, but only to one with a smaller group id whose list
leaves out less than a majority of the current list.

Hence at most one of two foundings that share a disk gets a leader. Both become complete only if a shared disk
switches from the greater group id to the smaller one, whose list then overlaps with every majority of the
greater one's. If such a majority has voted, it is bound and has never accepted the smaller founding, which
therefore never becomes complete.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
from attrs import asdict, define, field, fields_dict

from larklb.consensus.errors import MalformedError
from larklb.consensus.group import Disks, majority

GROUP_ID_BITS = 64


@define
class HardState:
    """The durable state other than the log: the term and the vote, as in Raft, and the group of this disk.

    ``vote`` is the disk that got this replica's vote in ``term``, or empty. ``bound`` is set once the disk
    belongs to the group. ``listed`` (disk ids and node names) and ``proposer`` are those of the accepted
    founding, and empty if the group was learnt from its leader. On a blank disk ``group_id`` is empty.
    """

    group_id: str = ""
    term: int = 0
    vote: str = ""
    bound: bool = False
    proposer: str = ""
    listed: Disks = field(factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Returns the stored form as JSON values, in which the group id is called ``nonce``."""
        values = asdict(self)
        return {"nonce": values.pop("group_id"), **values}

    @classmethod
    def from_json(cls, source: dict[str, Any]) -> HardState:
        """Reads the stored form. Raises MalformedError, also if a field is missing."""
        values = {"group_id": source.get("nonce"), **source}
        missing = fields_dict(cls).keys() - values.keys()
        if missing:
            raise MalformedError(f"the hard state lacks {', '.join(sorted(missing))}")
        try:
            return msgspec.convert(values, cls)
        except msgspec.ValidationError as error:
            raise MalformedError(f"the hard state: {error}") from error

    def may_accept(self, disk: str, group_id: str, listed: dict[str, str]) -> bool:
        """Returns whether the disk may accept this founding in place of its present one, if any."""
        if self.bound or disk not in listed:
            return False
        if not self.group_id:
            return True
        left_out = sum(other not in listed for other in self.listed)
        return group_id < self.group_id and left_out < majority(len(self.listed))


def new_group_id(rng: random.Random, previous: str) -> str:
    """Returns a random group id of 16 hexadecimal digits.

    If ``previous`` is not empty, the id is smaller, so that it can replace a founding that can't complete.
    """
    limit = int(previous, 16) if previous else 1 << GROUP_ID_BITS
    return f"{rng.randrange(max(1, limit)):016x}"
