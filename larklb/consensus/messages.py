"""The messages between replicas. Decoding checks their shapes; what their values mean is the handlers'
business.

Each names the disk that sent it, the group that the sender belongs to (empty: none) and the sender's term.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from larklb.consensus.errors import MalformedError
from larklb.consensus.group import Disks

MAX_ENTRIES = 8  # in a message

Position = tuple[int, int]  # (term, index) of a log's end
Stamp = tuple[int, float]  # a replica's life, and its clock in ms
Entries = Annotated[list[dict[str, Any]], msgspec.Meta(max_length=MAX_ENTRIES)]


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    """What all have in common."""

    disk: str
    group_id: str
    term: int


class PreVote(Message, frozen=True, kw_only=True, tag="pre_vote"):
    """Would the receiver vote for the sender in term ``proposed``? ``last``: the end of the sender's log."""

    proposed: int
    last: Position


class PreVoteReply(Message, frozen=True, kw_only=True, tag="pre_vote_reply"):
    """Whether it would."""

    proposed: int
    yes: bool


class VoteRequest(Message, frozen=True, kw_only=True, tag="vote_request"):
    """Asks for the receiver's vote; ``handed``: the present leader has asked the sender to stand."""

    last: Position
    handed: bool


class VoteReply(Message, frozen=True, kw_only=True, tag="vote_reply"):
    """The vote, durable, or a refusal."""

    yes: bool


class TimeoutNow(Message, frozen=True, kw_only=True, tag="stand"):
    """The leader is about to end: the receiver is to stand for election at once."""


class AppendEntries(Message, frozen=True, kw_only=True, tag="append_entries"):
    """Entries that follow the one at ``prev`` (index, term), none for a heartbeat; ``commit``: the index up
    to which the leader has committed; ``round``: numbers what the leader sends to all at once; ``seen``: the
    newest stamp of the receiver's that the leader has: what this message tells is no older than that."""

    prev: Position
    commit: int
    round: int
    entries: Entries
    seen: Stamp


class InstallSnapshot(Message, frozen=True, kw_only=True, tag="snapshot"):
    """All committed state up to an index, for who lacks entries that the leader no longer has."""

    snapshot: dict[str, Any]
    round: int


class AppendReply(Message, frozen=True, kw_only=True, tag="append_reply"):
    """``ok``: all up to ``match`` is durable and the same as at the leader; else ``match`` is the highest
    index that may be, and ``tried`` the one that was not; ``stamp``: when this was sent."""

    ok: bool
    match: int
    tried: int
    round: int
    stamp: Stamp


class Founding(Message, frozen=True, kw_only=True, tag="founding"):
    """Proposes a new group of the disks ``listed``."""

    listed: Disks


class FoundingReply(Message, frozen=True, kw_only=True, tag="founding_reply"):
    """The founding that the sender holds; ``bound``: for good; ``led``: it has heard a leader of it."""

    listed: Disks
    proposer: str
    bound: bool
    led: bool


AnyMessage = (
    PreVote
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | TimeoutNow
    | AppendEntries
    | InstallSnapshot
    | AppendReply
    | Founding
    | FoundingReply
)


def encode_message(message: Message) -> dict[str, Any]:
    """As JSON values; what it holds is shared, not copied."""
    return {"kind": message.__struct_config__.tag, **msgspec.structs.asdict(message)}


def decode_message(source: Any) -> AnyMessage:
    """From JSON values. Raises MalformedError."""
    try:
        return msgspec.convert(source, AnyMessage)  # type: ignore[no-any-return]
    except (msgspec.ValidationError, RecursionError) as error:
        raise MalformedError(str(error)) from error
