"""Encoding of the messages between limiters: a version byte, followed by items of various types.

Each item is a tag byte and fixed-size fields in network byte order.  A message that is truncated, of another
version or malformed decodes to an empty list.  Tags, formats and positions are part of the protocol.
"""

from __future__ import annotations

import math
import struct
from typing import NamedTuple

from larklb.fleet.leases import LeaseReply as LeaseReply
from larklb.fleet.leases import LeaseRequest as LeaseRequest
from larklb.fleet.verdicts import Finding as Finding
from larklb.quota.settlement import Confirmed as Confirmed
from larklb.quota.settlement import Count as Count

VERSION = 0xB1
MAX_DATAGRAM_BYTES = 256
# An ask's number has 31 bits.  The top bit states that the sender reads the extended reply.  Programs that
# don't support it count up from below it, and return such a number unchanged.
ASK_NUMBER_MASK, EXTENDED_FLAG = 0x7FFFFFFF, 0x80000000
# Units, factors and rates are sent in steps of a sixteenth.
STEPS_PER_UNIT = 16.0
# In place of a server's digest in the first pair of the loads: the rate is the messages per second that the
# sender's inbox accepts from the receiver.
INBOX_RATE_ID = 0
_LEASE_STEP_MS = 10.0
# Stands for tokens that the sender doesn't know; the largest value of a signed 16-bit field.
_UNKNOWN_TOKENS = 32767
_AGE_STEP_MS = 50.0
_LOAD = struct.Struct("!HH")


class Ask(NamedTuple):
    """Asks a bucket's owner whether a customer's request may proceed.

    ``lease`` is the time in ms that the client still waits.  ``tokens_left`` is what the sender's bucket copy
    holds now, None if it has none.  ``demand`` is the units per second requested of the sender; it is sent
    only to peers that read it.
    """

    number: int
    customer: int
    plan: int
    units: float
    lease: float
    tokens_left: float | None = None
    demand: float | None = None


class AskReply(NamedTuple):
    """The owner's reply to an ask, with the tokens left in the bucket and the customer's open grants.

    A peer that reads the extended form also receives what the request was judged under: the index of the
    plan, its version and the tag of the reservation that it draws on (0 for none).  ``reserved_units`` may
    still be drawn on one reservation of the customer.  ``share`` is the part of the quota that the asker may
    use while it can't reach the owner, and ``total_demand`` the units per second requested of all limiters.
    """

    number: int
    granted: bool
    tokens_left: float
    open_attempts: int
    plan: int | None = None
    version: int = 0
    reservation: int = 0
    reserved_units: float = 0.0
    share: float | None = None
    total_demand: float = 0.0


class Release(NamedTuple):
    """Ends a grant; ``returned_units`` go back to the bucket (negative if too few were taken)."""

    number: int
    returned_units: float


class Loads(NamedTuple):
    """All attempts of the sender in flight: pairs of a server's short digest and a count.

    A leading pair with INBOX_RATE_ID in place of the server states how many messages per second, in
    sixteenths, the sender's inbox accepts from the receiver.  No server has this digest, and older programs
    ignore the pair.
    """

    pairs: tuple[tuple[int, int], ...]


class HealthReport(NamedTuple):
    """The sender's judgement of a server (by its short digest) on a topic, made ``age`` ms ago.

    ``slow`` is how many times slower than usual the server is.
    """

    server: int
    topic: int
    slow: float
    age: float


class DrawReport(NamedTuple):
    """The total of units that the sender has drawn on the reservation ``tag`` without asking its owner."""

    tag: int
    units: float


class DrawConfirmed(NamedTuple):
    """The owner's confirmation that it has stored the total of a draw report."""

    tag: int
    units: float


class CopyRequest(NamedTuple):
    """The sender has started with this incarnation and asks for bucket copies of the buckets that it owns."""

    incarnation: int


class BucketCopy(NamedTuple):
    """The sender's copy of a bucket that the receiver owns, refilled up to the present."""

    key: int
    plan: int
    tokens_left: float


Item = (Ask | AskReply | Release | Loads | HealthReport | DrawReport | DrawConfirmed | Count | Confirmed
        | CopyRequest | BucketCopy | Finding | LeaseRequest | LeaseReply)

_FORMATS: dict[int, struct.Struct] = {
    1: struct.Struct("!IQBHHh"), 2: struct.Struct("!IBhH"), 3: struct.Struct("!Ih"),
    8: struct.Struct("!B"),
    4: struct.Struct("!HBBB"),
    # Older programs drop messages that contain these items, so they are sent only to peers that have used
    # EXTENDED_FLAG.
    5: struct.Struct("!IBhHBHIHBe"), 7: struct.Struct("!IQ"), 9: struct.Struct("!IQ"),
    6: struct.Struct("!IQBHHhe"), 10: struct.Struct("!IBhHBe"),
    11: struct.Struct("!QBIII"), 12: struct.Struct("!QII"), 13: struct.Struct("!I"),
    14: struct.Struct("!QBh"),
    # A finding and its observer; sent only to peers that have sent an INBOX_RATE_ID pair.
    15: struct.Struct("!HBBBHH"),
    # Asks for slots and the answers; used only where an operator's file enables fleet limits on all limiters.
    16: struct.Struct("!HIIBBB"), 17: struct.Struct("!HIB"),
}
# Shares of a quota are sent in steps of 1/255.
_SHARE_STEPS = 255.0
# Units per second; near the largest value of a half-precision float (65504).
_MAX_DEMAND_PER_S = 60000.0
# Totals of draws are cumulative and must come back exactly as sent, so they are sent in millionths.
_DRAW_STEPS_PER_UNIT = 1e6


def _pack_units(value: float) -> int:
    """Returns the steps rounded down, so that a receiver never assumes more tokens than there are."""
    return max(-32768, min(_UNKNOWN_TOKENS - 1, math.floor(value * STEPS_PER_UNIT)))


def _pack_count(value: float) -> int:
    """Returns the steps of a cumulative count, bounded to 32 bits."""
    return min(0xFFFFFFFF, round(value * STEPS_PER_UNIT))


def _pack_lease(value: float) -> int:
    """Returns a time in ms as steps of 16 bits, rounded up."""
    return max(0, min(65535, math.ceil(value / _LEASE_STEP_MS)))


def pack_item(item: Item) -> bytes:
    """Encodes an item as its tag byte and fields; values out of range are clamped where a field allows it."""
    values: tuple[float, ...]
    if isinstance(item, Ask):
        units = min(65535, math.ceil(item.units * STEPS_PER_UNIT))
        tag, values = 1, (item.number, item.customer, item.plan, units, _pack_lease(item.lease),
                          _UNKNOWN_TOKENS if item.tokens_left is None else _pack_units(item.tokens_left))
        if item.demand is not None:
            tag, values = 6, (*values, min(_MAX_DEMAND_PER_S, item.demand))
    elif isinstance(item, AskReply):
        tag, values = 2, (item.number, int(item.granted), _pack_units(item.tokens_left),
                          min(65535, item.open_attempts))
        share_values = (round((item.share or 0.0) * _SHARE_STEPS), min(_MAX_DEMAND_PER_S, item.total_demand))
        if item.plan is not None:
            tag, values = 5, (*values, item.plan, item.version, item.reservation,
                              max(0, min(65535, math.floor(item.reserved_units))), *share_values)
        elif item.share is not None:
            tag, values = 10, (*values, *share_values)
    elif isinstance(item, Count):
        tag, values = 11, (item.key, item.plan, item.incarnation, _pack_count(item.units),
                           _pack_count(item.confirmed))
    elif isinstance(item, Confirmed):
        tag, values = 12, (item.key, item.incarnation, _pack_count(item.units))
    elif isinstance(item, CopyRequest):
        tag, values = 13, (item.incarnation,)
    elif isinstance(item, BucketCopy):
        tag, values = 14, (item.key, item.plan, _pack_units(item.tokens_left))
    elif isinstance(item, DrawReport | DrawConfirmed):
        tag, values = (7 if isinstance(item, DrawReport) else 9,
                       (item.tag, round(item.units * _DRAW_STEPS_PER_UNIT)))
    elif isinstance(item, Release):
        tag, values = 3, (item.number, _pack_units(item.returned_units))
    elif isinstance(item, Finding):
        tag, values = 15, (item.subject, item.topic, min(255, round(item.slowness * STEPS_PER_UNIT)),
                           max(0, min(255, math.ceil(item.age / _AGE_STEP_MS))), item.observer, item.stamp)
    elif isinstance(item, LeaseRequest | LeaseReply):
        tag, values = 16 if isinstance(item, LeaseRequest) else 17, item
    elif isinstance(item, HealthReport):
        tag, values = 4, (item.server, item.topic, min(255, round(item.slow * STEPS_PER_UNIT)),
                          max(0, min(255, math.ceil(item.age / _AGE_STEP_MS))))
    else:
        pairs = b"".join(_LOAD.pack(server, min(65535, out)) for server, out in item.pairs)
        return bytes([8, len(item.pairs)]) + pairs
    return bytes([tag]) + _FORMATS[tag].pack(*values)


def inbox_rate_pair(per_s: float) -> tuple[tuple[int, int]]:
    """Returns the leading pair of the loads for an inbox that accepts so many messages per second."""
    return ((INBOX_RATE_ID, max(0, min(65535, math.floor(per_s * STEPS_PER_UNIT)))),)


def max_load_pairs(space: int) -> int:
    """Returns how many pairs fit into a loads item of ``space`` bytes."""
    return max(0, (space - 2) // _LOAD.size)


def unpack(data: bytes) -> list[Item]:
    """Decodes the items of a message; empty if any part of it is malformed."""
    if len(data) < 1 or len(data) > MAX_DATAGRAM_BYTES or data[0] != VERSION:
        return []
    items: list[Item] = []
    position = 1
    while position < len(data):
        item_format = _FORMATS.get(data[position])
        if item_format is None or position + 1 + item_format.size > len(data):
            return []
        values = item_format.unpack_from(data, position + 1)
        match data[position]:
            case 1:
                tokens_left = None if values[5] == _UNKNOWN_TOKENS else values[5] / STEPS_PER_UNIT
                items.append(Ask(values[0], values[1], values[2], values[3] / STEPS_PER_UNIT,
                                 values[4] * _LEASE_STEP_MS, tokens_left))
            case 2:
                items.append(AskReply(values[0], bool(values[1]), values[2] / STEPS_PER_UNIT, values[3]))
            case 3:
                items.append(Release(values[0], values[1] / STEPS_PER_UNIT))
            case 4:
                items.append(HealthReport(values[0], values[1], values[2] / STEPS_PER_UNIT,
                                          values[3] * _AGE_STEP_MS))
            case 5:
                items.append(AskReply(values[0], bool(values[1]), values[2] / STEPS_PER_UNIT, values[3],
                                      values[4], values[5], values[6], values[7],
                                      values[8] / _SHARE_STEPS, values[9]))
            case 6:
                tokens_left = None if values[5] == _UNKNOWN_TOKENS else values[5] / STEPS_PER_UNIT
                items.append(Ask(values[0], values[1], values[2], values[3] / STEPS_PER_UNIT,
                                 values[4] * _LEASE_STEP_MS, tokens_left, values[6]))
            case 10:
                items.append(AskReply(values[0], bool(values[1]), values[2] / STEPS_PER_UNIT, values[3],
                                      share=values[4] / _SHARE_STEPS, total_demand=values[5]))
            case 11:
                items.append(Count(values[0], values[1], values[2], values[3] / STEPS_PER_UNIT,
                                   values[4] / STEPS_PER_UNIT))
            case 12:
                items.append(Confirmed(values[0], values[1], values[2] / STEPS_PER_UNIT))
            case 13:
                items.append(CopyRequest(values[0]))
            case 14:
                items.append(BucketCopy(values[0], values[1], values[2] / STEPS_PER_UNIT))
            case 15:
                items.append(Finding(values[0], values[1], values[2] / STEPS_PER_UNIT,
                                     values[3] * _AGE_STEP_MS, values[4], values[5]))
            case 16:
                items.append(LeaseRequest(*values))
            case 17:
                items.append(LeaseReply(*values))
            case 7:
                items.append(DrawReport(values[0], values[1] / _DRAW_STEPS_PER_UNIT))
            case 9:
                items.append(DrawConfirmed(values[0], values[1] / _DRAW_STEPS_PER_UNIT))
            case _:
                end = position + 1 + item_format.size + values[0] * _LOAD.size
                if end > len(data):
                    return []
                items.append(Loads(tuple(_LOAD.iter_unpack(data[position + 1 + item_format.size:end]))))
                position = end - 1 - item_format.size
        position += 1 + item_format.size
    return items
