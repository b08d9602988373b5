"""The messages between replicas.

Decoding checks their structure; the handlers check their values. Each message carries the sender's disk id,
its group id (empty if it has no group) and its term.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from larklb.consensus.errors import MalformedError
from larklb.consensus.group import Disks

# Maximum number of entries in a message.
MAX_ENTRIES = 8

Position = tuple[int, int]  # (term, index) of the last entry of a log
Stamp = tuple[int, float]  # the incarnation of a replica and its clock in ms
Entries = Annotated[list[dict[str, Any]], msgspec.Meta(max_length=MAX_ENTRIES)]


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    """The fields that all messages have: the sender's disk id, group id and term."""

    disk: str
    group_id: str
    term: int


class PreVote(Message, frozen=True, kw_only=True, tag="pre_vote"):
    """Asks whether the receiver would vote for the sender in the term ``proposed``.

    ``last`` is the position of the last entry of the sender's log.
    """

    proposed: int
    last: Position


class PreVoteReply(Message, frozen=True, kw_only=True, tag="pre_vote_reply"):
    """Answers a ``PreVote``: ``yes`` if the sender would grant its vote."""

    proposed: int
    yes: bool


class VoteRequest(Message, frozen=True, kw_only=True, tag="vote_request"):
    """Requests the receiver's vote.

    ``last`` is the position of the last entry of the sender's log. ``handed`` is set if the current leader
    has asked the sender to campaign.
    """

    last: Position
    handed: bool


class VoteReply(Message, frozen=True, kw_only=True, tag="vote_reply"):
    """Grants a vote, which is durable by then, or refuses it."""

    yes: bool


class TimeoutNow(Message, frozen=True, kw_only=True, tag="stand"):
    """Tells the receiver to start an election at once, because the leader is shutting down."""


class AppendEntries(Message, frozen=True, kw_only=True, tag="append_entries"):
    """Replicates the entries that follow the one at ``prev`` (index, term); a heartbeat carries none.

    ``commit`` is the leader's commit index. ``round`` is the number of the broadcast. ``seen`` is the newest
    stamp that the leader has received from the receiver: this message was sent after the time of that stamp.
    """

    prev: Position
    commit: int
    round: int
    entries: Entries
    seen: Stamp


class InstallSnapshot(Message, frozen=True, kw_only=True, tag="snapshot"):
    """Replicates all committed state up to an index, in place of entries that the leader no longer holds."""

    snapshot: dict[str, Any]
    round: int


class AppendReply(Message, frozen=True, kw_only=True, tag="append_reply"):
    """Answers ``AppendEntries`` and ``InstallSnapshot``.

    If ``ok`` is set, the log is durable and matches the leader's up to the index ``match``. Otherwise
    ``match`` is the highest index at which the logs may match, and ``tried`` the index of the leader's entry
    that the log lacks. ``round`` is that of the message that is answered. ``stamp`` is the sender's stamp at
    the time of sending.
    """

    ok: bool
    match: int
    tried: int
    round: int
    stamp: Stamp


class Founding(Message, frozen=True, kw_only=True, tag="founding"):
    """Proposes a new group that consists of the disks ``listed``."""

    listed: Disks


class FoundingReply(Message, frozen=True, kw_only=True, tag="founding_reply"):
    """Reports the founding that the sender has accepted.

    ``bound`` is set if the sender belongs to that group permanently, ``led`` if the group has had a leader.
    """

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
    """Encodes a message as JSON values, which share its contents rather than copy them."""
    return {"kind": message.__struct_config__.tag, **msgspec.structs.asdict(message)}


def decode_message(source: Any) -> AnyMessage:
    """Decodes a message from JSON values. Raises MalformedError."""
    try:
        return msgspec.convert(source, AnyMessage)  # type: ignore[no-any-return]
    except (msgspec.ValidationError, RecursionError) as error:
        raise MalformedError(str(error)) from error
