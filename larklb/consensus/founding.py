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

from attrs import define, field

from larklb.consensus.group import majority
from larklb.consensus.words import flag, names, number, string

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
    listed: dict[str, str] = field(factory=dict)

    def word(self) -> dict[str, Any]:
        """As JSON values, for the disk."""
        return {
            "nonce": self.group_id,
            "term": self.term,
            "vote": self.vote,
            "bound": self.bound,
            "proposer": self.proposer,
            "listed": self.listed,
        }

    @classmethod
    def read(cls, source: dict[str, Any]) -> HardState:
        """Raises MalformedError."""
        return cls(
            string(source, "nonce"),
            number(source, "term"),
            string(source, "vote"),
            flag(source, "bound"),
            string(source, "proposer"),
            names(source, "listed"),
        )

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
