"""The state that a process of a limiter transfers to its successor during an upgrade (no input or output).

All times are in milliseconds of the machine's monotonic clock, which both processes share.  Jobs in progress
are not transferred: the process that accepted them finishes them.
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
from larklb.records import Copy, QuotaLease

# Version of the encoded state; a state of another version is rejected.
VERSION = 1
# Factor on ``Settings.tip_multiple`` for a process that has handed over.  It leaves that process practically
# none of the requests that a cold node can stand.
RETIRED_TIP_FACTOR = 1e-9


class HandoverStateError(Exception):
    """The received state cannot be decoded or is of another version."""


class NodeAddress(msgspec.Struct, array_like=True):
    """The address of a listed execute node, and since when it accepts no new jobs (None: it does)."""

    host: str
    port: int
    closed_at: float | None


class ServerRecord(msgspec.Struct, array_like=True):
    """The state of one server."""

    entry: io.Entry
    judgements: dict[int, tuple[float, float]]
    last_answer_at: float
    last_sent_at: float
    wait_factor: float


class HandoverState(msgspec.Struct):
    """The state of a limiter without its jobs.

    The fields are encoded under their names; ``name=`` gives the encoded name where it differs.
    """

    version: int
    draining: bool
    # The list of execute nodes.
    generation: int
    discovery: tuple[str, int]
    offset: float
    node_addresses: dict[str, NodeAddress] = msgspec.field(name="places")
    servers: list[ServerRecord]
    # Plans are matched by name, because each process numbers them by its own configuration file.
    plans: list[str]
    topics: dict[str, int]
    usual_latency: dict[str, float] = msgspec.field(name="usual")
    server_limit: float = msgspec.field(name="room")
    mean_in_flight: float = msgspec.field(name="busy")
    last_queued_at: float = msgspec.field(name="pressed")
    breakers: dict[int, CircuitBreaker]
    buckets: list[tuple[int, int, TokenBucket]]
    leases: list[tuple[tuple[int, int], QuotaLease]]
    # Decisions without the owner, and their settlement with it later.
    started_at: float = msgspec.field(name="began")
    copies: dict[int, Copy]
    share_buckets: dict[int, tuple[int, TokenBucket, float]] = msgspec.field(name="slices")
    last_heard_at: dict[int, float] = msgspec.field(name="heard_at")
    reunited_at: dict[int, float] = msgspec.field(name="ends")
    demand: dict[int, Demand]
    peer_demand: dict[int, dict[int, PeerDemand]] = msgspec.field(name="asked")
    granted: dict[int, GrantedShare] = msgspec.field(name="told")
    separated_since: dict[int, float] = msgspec.field(name="since")
    initial_demand: dict[int, float] = msgspec.field(name="whole")
    incarnation: int
    local_counts: dict[int, LocalCount] = msgspec.field(name="mine")
    unconfirmed: dict[int, list[int]] = msgspec.field(name="unsettled")
    peer_counts: list[tuple[tuple[int, int], PeerCount]] = msgspec.field(name="known")
    incarnations: dict[int, int] = msgspec.field(name="current")
    settlement_heard_at: dict[int, float] = msgspec.field(name="settled_at")
    extended_peers: dict[int, tuple[float, int]] = msgspec.field(name="speak")


def pack(gateway: Gateway, *, draining: bool, generation: int, discovery: tuple[str, int], offset: float,
         node_addresses: dict[str, NodeAddress]) -> bytes:
    """Encodes the state of ``gateway`` and of the list of execute nodes."""
    g, fallback = gateway, gateway.fallback
    shares, settlement = fallback.shares, fallback.settlement
    return msgspec.msgpack.encode(HandoverState(
        version=VERSION, draining=draining, generation=generation, discovery=discovery, offset=offset,
        node_addresses=node_addresses,
        servers=[ServerRecord(s.entry, s.judgements, s.last_answer_at, s.last_sent_at, s.wait_factor)
                 for s in g.servers.values()],
        plans=[p.name for p in g.settings.plans], topics=g.topics, usual_latency=g.usual_latency,
        server_limit=g.server_limit, mean_in_flight=g.server_pool.mean_in_flight,
        last_queued_at=g.last_queued_at, breakers=dict(g.breakers),
        buckets=[(key, plan, bucket) for key, (plan, bucket) in g.buckets.items()],
        # This limiter's own leases belong to jobs that the old process finishes.
        leases=[(name, lease) for name, lease in g.leases.items() if name[0] != g.settings.number],
        started_at=fallback.started_at, copies=fallback.copies, share_buckets=fallback.share_buckets,
        last_heard_at=fallback.last_heard_at, reunited_at=fallback.reunited_at,
        demand=shares.demand, peer_demand=shares.peer_demand, granted=shares.granted,
        separated_since=shares.separated_since, initial_demand=shares.initial_demand,
        incarnation=settlement.incarnation, local_counts=settlement.local_counts,
        unconfirmed={owner: list(keys) for owner, keys in settlement.unconfirmed.items()},
        peer_counts=list(settlement.peer_counts.items()), incarnations=settlement.incarnations,
        settlement_heard_at=settlement.last_heard_at,
        extended_peers=g.entitlements.extended_peers))


def unpack(data: bytes) -> HandoverState:
    """Decodes a state; raises HandoverStateError if it is malformed, truncated or of another version."""
    try:
        state = msgspec.msgpack.decode(data, type=HandoverState)
    except (msgspec.DecodeError, ValueError) as error:
        raise HandoverStateError(f"the handover state cannot be decoded: {error}") from error
    if state.version != VERSION:
        raise HandoverStateError(
            f"the handover state has version {state.version}, expected version {VERSION}")
    return state


def restore(gateway: Gateway, state: HandoverState, now: float) -> None:
    """Restores a decoded state into a newly created gateway.

    Plans and classes are matched by name; state of plans that the gateway's own settings lack is dropped.
    """
    g, fallback = gateway, gateway.fallback
    # ``new_plans`` and ``topics`` map the old process's numbers to this one's.
    numbers = {name: n for n, name in enumerate(p.name for p in g.settings.plans)}
    new_plans = {old: numbers[name] for old, name in enumerate(state.plans) if name in numbers}
    topics = {old: g.topics[name] for name, old in state.topics.items() if name in g.topics}
    topics |= {io.MAX_TOPICS - old: io.MAX_TOPICS - new for old, new in new_plans.items()} | {0: 0}
    for record in state.servers:
        server = Server(record.entry, g.settings.number, g.half_life)
        server.judgements = {topics[t]: mark for t, mark in record.judgements.items() if t in topics}
        server.last_answer_at, server.last_sent_at, server.wait_factor = (
            record.last_answer_at, record.last_sent_at, record.wait_factor)
        g.servers[record.entry.server] = g.server_pool.by_short_id[server.short_id] = server
    g.usual_latency.update({name: latency for name, latency in state.usual_latency.items()
                            if name in g.topics})
    g.server_limit, g.server_pool.mean_in_flight, g.last_queued_at = (
        state.server_limit, state.mean_in_flight, state.last_queued_at)
    g.breakers.update(state.breakers)
    g.buckets = {key: (new_plans[plan], bucket) for key, plan, bucket in state.buckets if plan in new_plans}
    for name, lease in state.leases:
        if lease.plan in new_plans:
            lease.plan, lease.judged = (
                new_plans[lease.plan], new_plans.get(lease.judged, new_plans[lease.plan]))
            g.leases[name] = lease
    fallback.started_at, fallback.last_heard_at, fallback.reunited_at = (
        state.started_at, state.last_heard_at, state.reunited_at)
    for key, copy in state.copies.items():
        if copy.plan in new_plans:
            copy.plan, fallback.copies[key] = new_plans[copy.plan], copy
    fallback.share_buckets = {key: (new_plans[plan], bucket, share)
                              for key, (plan, bucket, share) in state.share_buckets.items()
                              if plan in new_plans}
    shares, settlement = fallback.shares, fallback.settlement
    shares.demand, shares.peer_demand, shares.granted = state.demand, state.peer_demand, state.granted
    shares.separated_since, shares.initial_demand = state.separated_since, state.initial_demand
    settlement.incarnation = state.incarnation
    settlement.local_counts = {key: count for key, count in state.local_counts.items()
                               if count.plan in new_plans}
    for count in settlement.local_counts.values():
        count.plan = new_plans[count.plan]
    settlement.unconfirmed = {
        owner: {key: settlement.local_counts[key] for key in keys if key in settlement.local_counts}
        for owner, keys in state.unconfirmed.items()}
    settlement.peer_counts = dict(state.peer_counts)
    settlement.incarnations, settlement.last_heard_at = state.incarnations, state.settlement_heard_at
    g.entitlements.extended_peers = state.extended_peers
    for key, (plan, bucket) in g.buckets.items():
        g.entitlements.update_bucket(now, key, plan, bucket)


def retired_settings(settings: io.Settings) -> dict[str, Any]:
    """The changes to the settings of a process that has handed over and only finishes its jobs.

    It sends no messages to peers, and the requests that a cold node can stand are left to the new process.
    """
    return {"can_tell": False, "tip_multiple": settings.tip_multiple * RETIRED_TIP_FACTOR}
