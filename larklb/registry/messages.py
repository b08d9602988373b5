"""Messages between limiters and core machines about members and servers.

Decoding checks the types of the fields; the rows inside are parsed by the receiver.  Unless stated otherwise,
``incarnation`` is that of the core machine's process that a message concerns; messages for an earlier
incarnation are ignored.
"""

from __future__ import annotations

import msgspec

from larklb.membership.messages import Message, Row, Rows

# Identifies a table: the node name and the incarnation of the core machine that holds it.
TableId = tuple[str, int]
# The version number and the digest of the newest configuration.
ConfigVersion = tuple[int, str]


class Hello(Message, frozen=True, kw_only=True, tag="hello"):
    """Sent by a limiter that looks for core machines; ``member`` is its own row."""

    member: Row = msgspec.field(name="m")


class Cores(Message, frozen=True, kw_only=True, tag="cores"):
    """The answer to ``Hello``: the core machines that the sender knows."""

    cores: Rows = msgspec.field(name="c")


class MemberHeartbeat(Message, frozen=True, kw_only=True, tag="beat"):
    """A subscriber's heartbeat to its home: its own row, and the revision ``have`` up to which it has the
    table ``of``."""

    member: Row = msgspec.field(name="m")
    of: TableId
    have: int


class DeltaAck(Message, frozen=True, kw_only=True, tag="has"):
    """A subscriber has applied all changes of the table ``of`` up to the revision ``have``."""

    of: TableId
    have: int


class Delta(Message, frozen=True, kw_only=True, tag="delta"):
    """Changes of a home's table after ``start_revision`` up to the revision ``to``; ``head`` is the newest
    revision of the table.

    Each entry of ``rows`` has a kind ('m' for a member, 's' for a server), a key, and the row, which is None
    if the entry was removed.  ``you`` has the receiver's ring number, the grant under which it was assigned,
    and the receiver's incarnation as the home knows it."""

    incarnation: int = msgspec.field(name="l")
    start_revision: int = msgspec.field(name="from")
    to: int
    head: int
    rows: list[tuple[str, str, Row | None]]
    config: ConfigVersion = msgspec.field(name="cfg")
    you: tuple[int, int, int]


class NotReady(Message, frozen=True, kw_only=True, tag="not_ready"):
    """The home can't serve its table: it has just started, or it has lost contact with a majority of the
    core.  The subscriber should use another one."""


class RowsUpdate(Message, frozen=True, kw_only=True, tag="rows"):
    """Rows that a core machine has just received.

    ``ask`` is the number of a pending acknowledgement; if it is set, the receiver answers with ``RowsAck``
    once it has the departures among the rows on its disk."""

    members: Rows = msgspec.field(name="m")
    servers: Rows = msgspec.field(name="v")
    ask: int | None = None
    incarnation: int = msgspec.field(default=0, name="l")


class RowsAck(Message, frozen=True, kw_only=True, tag="known"):
    """The core machine with ``disk`` has stored the departures of the ``RowsUpdate`` with the same
    ``ask``."""

    ask: int
    incarnation: int = msgspec.field(name="l")
    disk: str = msgspec.field(name="d")


class Sync(Message, frozen=True, kw_only=True, tag="sync"):
    """The periodic message of a core machine to the others.

    It has the sender's own row (``me``), whether its table may be served (``ready``), the time of sending in
    ms on the sender's clock, the incarnations of the limiters and the sequence numbers of the servers that
    it has heard from since the last ``Sync``, and a digest of each range of its table."""

    me: Row
    ready: bool
    sent_at: float = msgspec.field(name="t")
    incarnations: list[tuple[str, int]] = msgspec.field(name="m")
    sequences: list[tuple[str, int]] = msgspec.field(name="v")
    digests: list[str] = msgspec.field(name="dg")


class SyncAck(Message, frozen=True, kw_only=True, tag="synced"):
    """The answer to ``Sync`` from the core machine with ``disk``: echoes the incarnation of its sender and
    the time at which it was sent."""

    disk: str = msgspec.field(name="d")
    incarnation: int = msgspec.field(name="l")
    sent_at: float = msgspec.field(name="t")


class RangeRows(Message, frozen=True, kw_only=True, tag="range"):
    """All rows of the ranges whose digests differed.

    ``incarnation`` is the sender's, ``compared`` that of the receiver whose digests were compared.
    ``ready``: the sender's table may be served.  ``again``: the receiver should answer with its own rows of
    these ranges."""

    ranges: list[int] = msgspec.field(name="r")
    members: Rows = msgspec.field(name="m")
    servers: Rows = msgspec.field(name="v")
    incarnation: int = msgspec.field(name="l")
    compared: int
    ready: bool
    again: bool


# Messages that only core machines handle.
CoreMessage = MemberHeartbeat | DeltaAck | RowsUpdate | RowsAck | Sync | SyncAck | RangeRows
# Messages that every limiter handles.
SubscriberMessage = Hello | Cores | Delta | NotReady
RegistryMessage = CoreMessage | SubscriberMessage
