"""What one process of a limiter hands to the next, so that the two are one limiter; no input or output.

All clocks here are the machine's monotonic one, which both processes read alike.  Jobs under way do not go
over: the process that took them finishes them.
"""

from __future__ import annotations

from typing import Any

import msgspec

from larklb import interface as io
from larklb.decide import Gateway
from larklb.health import Server
from larklb.quota.breaker import CircuitBreaker
from larklb.quota.bucket import TokenBucket
from larklb.quota.demand import Demand
from larklb.quota.settlement import LocalCount, PeerCount
from larklb.quota.shares import GrantedShare, PeerDemand
from larklb.records import Copy, Lease

VERSION = 1                # of this form: a process of another one is not understood
NO_ROOM = 1e-9             # of what a cold node stands is left to a process that has handed over


class HandoverStateError(Exception):
    """What came is not what one process hands to the next."""


class NodeAddress(msgspec.Struct, array_like=True):
    """A listed execute node: where it is dialled, and since when it wants nothing new."""

    host: str
    port: int
    closed_at: float | None


class ServerRecord(msgspec.Struct, array_like=True):
    """What is known of one server."""

    entry: io.Entry
    marks: dict[int, tuple[float, float]]
    heard: float
    last_sent: float
    turn: float


class HandoverState(msgspec.Struct):
    """The state of a limiter, but for its jobs."""

    version: int
    draining: bool
    # The machine list.
    generation: int
    discovery: tuple[str, int]
    offset: float
    places: dict[str, NodeAddress]
    servers: list[ServerRecord]
    # Plans by name: both processes number them by their own file.
    plans: list[str]
    topics: dict[str, int]
    usual: dict[str, float]
    room: float
    busy: float
    pressed: float
    breakers: dict[int, CircuitBreaker]
    buckets: list[tuple[int, int, TokenBucket]]
    leases: list[tuple[tuple[int, int], Lease]]
    # What is decided without the owner.
    began: float
    copies: dict[int, Copy]
    slices: dict[int, tuple[int, TokenBucket, float]]
    heard_at: dict[int, float]
    ends: dict[int, float]
    demand: dict[int, Demand]
    asked: dict[int, dict[int, PeerDemand]]
    told: dict[int, GrantedShare]
    since: dict[int, float]
    whole: dict[int, float]
    incarnation: int
    mine: dict[int, LocalCount]
    unsettled: dict[int, list[int]]
    known: list[tuple[tuple[int, int], PeerCount]]
    current: dict[int, int]
    settled_at: dict[int, float]
    speak: dict[int, tuple[float, int]]


def pack(gateway: Gateway, *, draining: bool, generation: int, discovery: tuple[str, int], offset: float,
         places: dict[str, NodeAddress]) -> bytes:
    """The state as bytes."""
    g, alone = gateway, gateway.fallback
    shares, settling = alone.shares, alone.settlement
    return msgspec.msgpack.encode(HandoverState(
        version=VERSION, draining=draining, generation=generation, discovery=discovery, offset=offset,
        places=places,
        servers=[ServerRecord(s.entry, s.judgements, s.last_answer_at, s.last_sent_at, s.wait_factor)
                 for s in g.servers.values()],
        plans=[p.name for p in g.settings.plans], topics=g.topics, usual=g.usual_latency,
        room=g.server_limit, busy=g.server_pool.mean_in_flight,
        pressed=g.last_queued_at, breakers=dict(g.breakers),
        buckets=[(key, plan, bucket) for key, (plan, bucket) in g.buckets.items()],
        # Its own leases belong to jobs that it finishes itself.
        leases=[(name, lease) for name, lease in g.leases.items() if name[0] != g.settings.number],
        began=alone.started_at, copies=alone.copies, slices=alone.share_buckets, heard_at=alone.last_heard_at,
        ends=alone.reunited_at, demand=shares.demand, asked=shares.peer_demand, told=shares.granted,
        since=shares.separated_since, whole=shares.initial_demand, incarnation=settling.incarnation,
        mine=settling.local_counts,
        unsettled={owner: list(keys) for owner, keys in settling.unconfirmed.items()},
        known=list(settling.peer_counts.items()), current=settling.incarnations,
        settled_at=settling.last_heard_at,
        speak=g.entitlements.extended_peers))


def unpack(data: bytes) -> HandoverState:
    """The state from its bytes; HandoverStateError where they are of another form, cut short or garbage."""
    try:
        handed = msgspec.msgpack.decode(data, type=HandoverState)
    except (msgspec.DecodeError, ValueError) as error:
        raise HandoverStateError(f"the state that was handed over cannot be read: {error}") from error
    if handed.version != VERSION:
        raise HandoverStateError(f"the state is of version {handed.version}, here it is {VERSION}")
    return handed


def restore(gateway: Gateway, handed: HandoverState, now: float) -> None:
    """Into a gateway that has just been made; its own settings count, where plans and classes differ."""
    g, alone = gateway, gateway.fallback
    numbers = {name: n for n, name in enumerate(p.name for p in g.settings.plans)}
    to = {old: numbers[name] for old, name in enumerate(handed.plans) if name in numbers}
    topics = {old: g.topics[name] for name, old in handed.topics.items() if name in g.topics}
    topics |= {io.MAX_TOPICS - old: io.MAX_TOPICS - new for old, new in to.items()} | {0: 0}
    for seen in handed.servers:
        server = Server(seen.entry, g.settings.number, g.half_life)
        server.judgements = {topics[t]: mark for t, mark in seen.marks.items() if t in topics}
        server.last_answer_at, server.last_sent_at, server.wait_factor = seen.heard, seen.last_sent, seen.turn
        g.servers[seen.entry.server] = g.server_pool.by_short_id[server.short_id] = server
    g.usual_latency.update({name: usual for name, usual in handed.usual.items() if name in g.topics})
    g.server_limit, g.server_pool.mean_in_flight, g.last_queued_at = handed.room, handed.busy, handed.pressed
    g.breakers.update(handed.breakers)
    g.buckets = {key: (to[plan], bucket) for key, plan, bucket in handed.buckets if plan in to}
    for name, lease in handed.leases:
        if lease.plan in to:
            lease.plan, lease.judged = to[lease.plan], to.get(lease.judged, to[lease.plan])
            g.leases[name] = lease
    alone.started_at, alone.last_heard_at, alone.reunited_at = handed.began, handed.heard_at, handed.ends
    for key, copy in handed.copies.items():
        if copy.plan in to:
            copy.plan, alone.copies[key] = to[copy.plan], copy
    alone.share_buckets = {k: (to[p], b, part) for k, (p, b, part) in handed.slices.items() if p in to}
    shares, settling = alone.shares, alone.settlement
    shares.demand, shares.peer_demand, shares.granted = handed.demand, handed.asked, handed.told
    shares.separated_since, shares.initial_demand = handed.since, handed.whole
    settling.incarnation = handed.incarnation
    settling.local_counts = {k: m for k, m in handed.mine.items() if m.plan in to}
    for mine in settling.local_counts.values():
        mine.plan = to[mine.plan]
    settling.unconfirmed = {owner: {k: settling.local_counts[k] for k in keys if k in settling.local_counts}
                            for owner, keys in handed.unsettled.items()}
    settling.peer_counts = dict(handed.known)
    settling.incarnations, settling.last_heard_at = handed.current, handed.settled_at
    g.entitlements.extended_peers = handed.speak
    for key, (told, bucket) in g.buckets.items():
        g.entitlements.update_bucket(now, key, told, bucket)


def retired_settings(settings: io.Settings) -> dict[str, Any]:
    """What changes in the settings of a process that has handed over and only finishes its jobs: it asks and
    tells nobody, and what a cold node stands is the other process's alone."""
    return {"can_tell": False, "tip_multiple": settings.tip_multiple * NO_ROOM}
