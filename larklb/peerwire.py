"""How peer messages are packed: items one after another behind a version byte.

A message that is cut short, of another version or garbage unpacks to nothing at all.
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
# An ask's number has 31 bits; the last one tells that its sender reads the longer verdict.  Programs that
# know nothing of it count up from below it and send such a number back as it came.
ASK_NUMBER_MASK, EXTENDED_FLAG = 0x7FFFFFFF, 0x80000000
SIXTEENTHS = 16.0
# In place of a server's digest in the first pair of the loads: the rate is the messages per second that the
# sender's inbox accepts from the receiver.
INBOX_RATE_ID = 0
_LEASE_STEP = 10.0
_NONE = 32767
_AGE_STEP = 50.0
_LOAD = struct.Struct("!HH")


class Ask(NamedTuple):
    """May this customer's request go on?  ``lease``: the client's remaining time, ``left``: the late copy."""

    number: int
    customer: int
    plan: int
    units: float
    lease: float
    tokens_left: float | None = None
    demand: float | None = None        # units a second that the sender is asked for: to peers that read it


class Verdict(NamedTuple):
    """The owner's answer with the tokens left and the attempts open.

    To a peer that reads it also what the request was judged under: plan, version and the reservation that it
    draws on, and the units that may still be drawn.
    """

    number: int
    granted: bool
    tokens_left: float
    open_attempts: int
    plan: int | None = None
    version: int = 0
    reservation: int = 0
    reserved_units: float = 0.0
    share: float | None = None         # of the quota, for the asker while it cannot ask ...
    total_demand: float = 0.0                 # ... and what all limiters are asked for, in units a second


class Release(NamedTuple):
    """The grant is over; ``back`` units return to the bucket (below 0: taken too few)."""

    number: int
    returned_units: float


class Loads(NamedTuple):
    """All attempts of the sender that are out: pairs of a server (named by a short digest) and a count.

    A leading pair with INBOX_RATE_ID in place of the server states how many messages per second, in
    sixteenths, the sender's inbox accepts from the receiver.  No server has this digest, and older programs
    ignore the pair.
    """

    pairs: tuple[tuple[int, int], ...]


class HealthReport(NamedTuple):
    """A judgement of a server (named by a short digest) on a topic, made ``age`` ms ago."""

    server: int
    topic: int
    slow: float
    age: float


class DrawReport(NamedTuple):
    """Units that the sender drew on a reservation in all, without asking its owner."""

    tag: int
    units: float


class DrawConfirmed(NamedTuple):
    """The owner has kept that count."""

    tag: int
    units: float


class CopyRequest(NamedTuple):
    """The sender has started, as this incarnation: it asks for copies of the buckets that it owns."""

    incarnation: int


class BucketCopy(NamedTuple):
    """A late copy of a bucket that the receiver owns, as it would be now."""

    key: int
    plan: int
    tokens_left: float


Item = (Ask | Verdict | Release | Loads | HealthReport | DrawReport | DrawConfirmed | Count | Confirmed
        | CopyRequest | BucketCopy | Finding | LeaseRequest | LeaseReply)

_FORMATS: dict[int, struct.Struct] = {
    1: struct.Struct("!IQBHHh"), 2: struct.Struct("!IBhH"), 3: struct.Struct("!Ih"),
    8: struct.Struct("!B"),
    4: struct.Struct("!HBBB"),
    # A program older than these drops a message that holds one: they go to peers that have shown
    # EXTENDED_FLAG.
    5: struct.Struct("!IBhHBHIHBe"), 7: struct.Struct("!IQ"), 9: struct.Struct("!IQ"),
    6: struct.Struct("!IQBHHhe"), 10: struct.Struct("!IBhHBe"),
    11: struct.Struct("!QBIII"), 12: struct.Struct("!QII"), 13: struct.Struct("!I"),
    14: struct.Struct("!QBh"),
    # To peers that have shown INBOX_RATE_ID: a finding, and whose it is.
    15: struct.Struct("!HBBBHH"),
    # Where an operator's file turns the fleet's limits on, at all limiters: asks for slots, and the answers.
    16: struct.Struct("!HIIBBB"), 17: struct.Struct("!HIB"),
}
_SHARES = 255.0                # steps of a share
_MOST_DEMAND = 60000.0         # units a second that half a float can say
_COUNT_STEPS = 1e6             # counts are cumulative and must come back as they were: millionths


def _units(value: float) -> int:
    """Rounded down, so that a receiver never believes in more tokens than there are."""
    return max(-32768, min(_NONE - 1, math.floor(value * SIXTEENTHS)))


def _whole(value: float) -> int:
    """A count that only grows, in sixteenths."""
    return min(0xFFFFFFFF, round(value * SIXTEENTHS))


def _lease(value: float) -> int:
    return max(0, min(65535, math.ceil(value / _LEASE_STEP)))


def pack_item(item: Item) -> bytes:
    values: tuple[float, ...]
    if isinstance(item, Ask):
        units = min(65535, math.ceil(item.units * SIXTEENTHS))
        tag, values = 1, (item.number, item.customer, item.plan, units, _lease(item.lease),
                          _NONE if item.tokens_left is None else _units(item.tokens_left))
        if item.demand is not None:
            tag, values = 6, (*values, min(_MOST_DEMAND, item.demand))
    elif isinstance(item, Verdict):
        tag, values = 2, (item.number, int(item.granted), _units(item.tokens_left),
                          min(65535, item.open_attempts))
        shares = (round((item.share or 0.0) * _SHARES), min(_MOST_DEMAND, item.total_demand))
        if item.plan is not None:
            tag, values = 5, (*values, item.plan, item.version, item.reservation,
                              max(0, min(65535, math.floor(item.reserved_units))), *shares)
        elif item.share is not None:
            tag, values = 10, (*values, *shares)
    elif isinstance(item, Count):
        tag, values = 11, (item.key, item.plan, item.incarnation, _whole(item.units), _whole(item.confirmed))
    elif isinstance(item, Confirmed):
        tag, values = 12, (item.key, item.incarnation, _whole(item.units))
    elif isinstance(item, CopyRequest):
        tag, values = 13, (item.incarnation,)
    elif isinstance(item, BucketCopy):
        tag, values = 14, (item.key, item.plan, _units(item.tokens_left))
    elif isinstance(item, DrawReport | DrawConfirmed):
        tag, values = 7 if isinstance(item, DrawReport) else 9, (item.tag, round(item.units * _COUNT_STEPS))
    elif isinstance(item, Release):
        tag, values = 3, (item.number, _units(item.returned_units))
    elif isinstance(item, Finding):
        tag, values = 15, (item.subject, item.topic, min(255, round(item.slowness * SIXTEENTHS)),
                           max(0, min(255, math.ceil(item.age / _AGE_STEP))), item.observer, item.stamp)
    elif isinstance(item, LeaseRequest | LeaseReply):
        tag, values = 16 if isinstance(item, LeaseRequest) else 17, item
    elif isinstance(item, HealthReport):
        tag, values = 4, (item.server, item.topic, min(255, round(item.slow * SIXTEENTHS)),
                          max(0, min(255, math.ceil(item.age / _AGE_STEP))))
    else:
        pairs = b"".join(_LOAD.pack(server, min(65535, out)) for server, out in item.pairs)
        return bytes([8, len(item.pairs)]) + pairs
    return bytes([tag]) + _FORMATS[tag].pack(*values)


def inbox_rate_pair(per_s: float) -> tuple[tuple[int, int]]:
    """What an inbox would take, as the pair in front of the loads."""
    return ((INBOX_RATE_ID, max(0, min(65535, math.floor(per_s * SIXTEENTHS)))),)


def max_load_pairs(space: int) -> int:
    """So many pairs fit."""
    return max(0, (space - 2) // _LOAD.size)


def unpack(data: bytes) -> list[Item]:
    if len(data) < 1 or len(data) > MAX_DATAGRAM_BYTES or data[0] != VERSION:
        return []
    items: list[Item] = []
    at = 1
    while at < len(data):
        form = _FORMATS.get(data[at])
        if form is None or at + 1 + form.size > len(data):
            return []
        v = form.unpack_from(data, at + 1)
        match data[at]:
            case 1:
                left = None if v[5] == _NONE else v[5] / SIXTEENTHS
                items.append(Ask(v[0], v[1], v[2], v[3] / SIXTEENTHS, v[4] * _LEASE_STEP, left))
            case 2:
                items.append(Verdict(v[0], bool(v[1]), v[2] / SIXTEENTHS, v[3]))
            case 3:
                items.append(Release(v[0], v[1] / SIXTEENTHS))
            case 4:
                items.append(HealthReport(v[0], v[1], v[2] / SIXTEENTHS, v[3] * _AGE_STEP))
            case 5:
                items.append(Verdict(v[0], bool(v[1]), v[2] / SIXTEENTHS, v[3], v[4], v[5], v[6], v[7],
                                     v[8] / _SHARES, v[9]))
            case 6:
                left = None if v[5] == _NONE else v[5] / SIXTEENTHS
                items.append(Ask(v[0], v[1], v[2], v[3] / SIXTEENTHS, v[4] * _LEASE_STEP, left, v[6]))
            case 10:
                items.append(Verdict(v[0], bool(v[1]), v[2] / SIXTEENTHS, v[3], share=v[4] / _SHARES,
                                     total_demand=v[5]))
            case 11:
                items.append(Count(v[0], v[1], v[2], v[3] / SIXTEENTHS, v[4] / SIXTEENTHS))
            case 12:
                items.append(Confirmed(v[0], v[1], v[2] / SIXTEENTHS))
            case 13:
                items.append(CopyRequest(v[0]))
            case 14:
                items.append(BucketCopy(v[0], v[1], v[2] / SIXTEENTHS))
            case 15:
                items.append(Finding(v[0], v[1], v[2] / SIXTEENTHS, v[3] * _AGE_STEP, v[4], v[5]))
            case 16:
                items.append(LeaseRequest(*v))
            case 17:
                items.append(LeaseReply(*v))
            case 7:
                items.append(DrawReport(v[0], v[1] / _COUNT_STEPS))
            case 9:
                items.append(DrawConfirmed(v[0], v[1] / _COUNT_STEPS))
            case _:
                end = at + 1 + form.size + v[0] * _LOAD.size
                if end > len(data):
                    return []
                items.append(Loads(tuple(_LOAD.iter_unpack(data[at + 1 + form.size:end]))))
                at = end - 1 - form.size
        at += 1 + form.size
    return items
