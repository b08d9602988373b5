"""The founding of a group on blank disks.

One disk proposes a list of voters under a group_id; the founding counts when all listed have accepted it, and
only its proposer can know that and campaign first. A disk that has voted in a group or heard its leader is
*bound* to it for good. Before that it may change over to another founding, only to one of a smaller group_id
and only if that one's list leaves no majority of the present list outside. So of two foundings at most one
gets a leader: a majority that votes in the one of the greater group_id has never accepted the smaller, which
then lacks one acceptance for ever.
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
    """The small part of the durable state. ``listed`` and ``proposer`` are those of the founding that was
    accepted (empty where the group was learnt from its leader); no ``group_id``: a blank disk."""

    group_id: str = ""
    term: int = 0
    vote: str = ""
    bound: bool = False
    proposer: str = ""
    listed: Disks = field(factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Its durable form, as JSON values; there the group's id is the ``nonce``."""
        values = asdict(self)
        return {"nonce": values.pop("group_id"), **values}

    @classmethod
    def from_json(cls, source: dict[str, Any]) -> HardState:
        """From its durable form, with all its fields. Raises MalformedError."""
        values = {"group_id": source.get("nonce"), **source}
        missing = fields_dict(cls).keys() - values.keys()
        if missing:
            raise MalformedError(f"the hard state lacks {', '.join(sorted(missing))}")
        try:
            return msgspec.convert(values, cls)
        except msgspec.ValidationError as error:
            raise MalformedError(f"the hard state: {error}") from error

    def may_accept(self, disk: str, group_id: str, listed: dict[str, str]) -> bool:
        """Whether the disk may take this founding in place of what it holds."""
        if self.bound or disk not in listed:
            return False
        if not self.group_id:
            return True
        outside = sum(other not in listed for other in self.listed)
        return group_id < self.group_id and outside < majority(len(self.listed))


def new_group_id(rng: random.Random, above: str) -> str:
    """A random one; smaller than ``above`` (if given): it can take the place of a stuck founding."""
    top = int(above, 16) if above else 1 << GROUP_ID_BITS
    return f"{rng.randrange(max(1, top)):016x}"
