"""The messages by which limiters and core machines tell each other of limiters and servers.

Decoding checks their shapes; rows are read where they are taken. ``life`` is always the incarnation of the
core machine's process that a message belongs to: what was meant for the process before counts for nothing.
"""

from __future__ import annotations

import msgspec

from larklb.membership.messages import Message, Row, Rows

TableId = tuple[str, int]  # a core machine's node name and life, of whose table a revision is meant
ConfigVersion = tuple[int, str]  # the newest configuration: version and digest


class Hello(Message, frozen=True, kw_only=True, tag="hello"):
    """A limiter looks for core machines; ``member``: its own row."""

    member: Row = msgspec.field(name="m")


class Cores(Message, frozen=True, kw_only=True, tag="cores"):
    """The core machines that a limiter knows, in answer to ``Hello``."""

    cores: Rows = msgspec.field(name="c")


class MemberHeartbeat(Message, frozen=True, kw_only=True, tag="beat"):
    """A subscriber's heartbeat to its home: its own row, and the revision that it ``have`` of the table
    ``of`` this home."""

    member: Row = msgspec.field(name="m")
    of: TableId
    have: int


class DeltaAck(Message, frozen=True, kw_only=True, tag="has"):
    """A subscriber has taken all changes up to a revision."""

    of: TableId
    have: int


class Delta(Message, frozen=True, kw_only=True, tag="delta"):
    """Changes of a home's table after revision ``start``, up to ``to``; ``head`` is its newest revision.

    ``rows``: kind ('m' member, 's' server), key, and the row, None where it was removed; ``you``: the
    receiver's ring number, the grant of it, and the life of the receiver that this home knows."""

    incarnation: int = msgspec.field(name="l")
    start_revision: int = msgspec.field(name="from")
    to: int
    head: int
    rows: list[tuple[str, str, Row | None]]
    config: ConfigVersion = msgspec.field(name="cfg")
    you: tuple[int, int, int]


class NotReady(Message, frozen=True, kw_only=True, tag="not_ready"):
    """A home has just started, or is cut off from the majority: another one knows more."""


class RowsUpdate(Message, frozen=True, kw_only=True, tag="rows"):
    """Rows that a core machine has just heard. With ``ask``, the number of a pending acknowledgement, the
    receiver answers ``RowsAck`` once it has them."""

    members: Rows = msgspec.field(name="m")
    servers: Rows = msgspec.field(name="v")
    ask: int | None = None
    incarnation: int = msgspec.field(default=0, name="l")


class RowsAck(Message, frozen=True, kw_only=True, tag="known"):
    """The core machine with ``disk`` has the rows that were sent with ``ask``."""

    ask: int
    incarnation: int = msgspec.field(name="l")
    disk: str = msgspec.field(name="d")


class Sync(Message, frozen=True, kw_only=True, tag="sync"):
    """A core machine's regular message to the others: its own row, whether its table may be told, when it
    was sent (ms of the sender's clock), whom it has heard since the one before (lives of limiters, sequences
    of servers), and a digest of each range of its table."""

    me: Row
    ready: bool
    sent_at: float = msgspec.field(name="t")
    incarnations: list[tuple[str, int]] = msgspec.field(name="m")
    sequences: list[tuple[str, int]] = msgspec.field(name="v")
    digests: list[str] = msgspec.field(name="dg")


class SyncAck(Message, frozen=True, kw_only=True, tag="synced"):
    """The core machine with ``disk`` echoes when a ``Sync`` of the receiver's was sent."""

    disk: str = msgspec.field(name="d")
    incarnation: int = msgspec.field(name="l")
    sent_at: float = msgspec.field(name="t")


class RangeRows(Message, frozen=True, kw_only=True, tag="range"):
    """All rows of some ranges, whose digests differed: those of the receiver were of its life ``compared``;
    ``life``: the sender's; ``ready``: its table may be told; ``again``: the receiver is to send its own
    back."""

    ranges: list[int] = msgspec.field(name="r")
    members: Rows = msgspec.field(name="m")
    servers: Rows = msgspec.field(name="v")
    incarnation: int = msgspec.field(name="l")
    compared: int
    ready: bool
    again: bool


CoreMessage = (
    MemberHeartbeat | DeltaAck | RowsUpdate | RowsAck | Sync | SyncAck | RangeRows
)  # at a core machine
SubscriberMessage = Hello | Cores | Delta | NotReady  # at any limiter
RegistryMessage = CoreMessage | SubscriberMessage
