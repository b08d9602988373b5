"""A core machine's replica of the registry.

It holds limiters and servers under leases, pushes changes to its subscribers (the limiters that use it as
their home), and synchronizes its rows with the other core machines.  Of all this only the departures of
servers are kept on the disk.

There is no I/O: messages are passed in, messages to be sent are collected in ``outbox`` as (address,
message), which the caller empties after each call, ``begin_save`` returns what is to be written to the disk,
and the current time in ms is an argument.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from functools import partial

import xxhash
from attrs import define, field

from larklb.changefeed.table import Event, Table
from larklb.membership import members as membership
from larklb.membership.members import Member, MemberRecord, Members, member_from_row
from larklb.membership.messages import Message, Row, Rows
from larklb.quota.ring import digest
from larklb.registry import registry as servers
from larklb.registry.departures import Departures
from larklb.registry.messages import (
    ConfigVersion,
    Delta,
    DeltaAck,
    MemberHeartbeat,
    NotReady,
    RangeRows,
    RowsAck,
    RowsUpdate,
    Sync,
    SyncAck,
)
from larklb.registry.registry import Registry, Server, server_from_row

# Without an answered ``Sync`` from a majority for this long, a core machine is fenced.
QUORUM_TIMEOUT_MS = 1_000.0
# Time between two ``Sync`` messages, as a fraction of the quorum timeout.
SYNC_INTERVAL_FRACTION = 0.4
# A push that wasn't acknowledged is repeated after this time, which doubles with each repetition up to the
# maximum, because the subscriber's link may be slow.
PUSH_RETRY_MS = 250.0
MAX_PUSH_RETRY_MS = 1_000.0
# A subscription ends after this many heartbeat intervals without a heartbeat.
SUBSCRIPTION_TIMEOUT_HEARTBEATS = 3.6
# Number of ranges of ids; each has a digest.
RANGE_COUNT = 16
# A larger delta is split.
MAX_DELTA_ROWS = 300
# A replica that starts waits this long for a peer that is ready, before it serves its own table: the first
# value once it has heard from a peer, the second until then.
READY_DELAY_MS = 250.0
READY_DELAY_WITHOUT_PEERS_MS = 1_000.0
# Renewals beyond this number follow in another ``Sync``.
MAX_SYNC_RENEWALS = 2_000
# Time for a majority to acknowledge a change; callers wait for one second.
ACKNOWLEDGE_TIMEOUT_MS = 800.0

# Messages to be sent, each with the receiver's address.
Outgoing = list[tuple[str, Message]]


def range_index(key: str) -> int:
    """Returns the number of the range that an id belongs to."""
    return digest(key) * RANGE_COUNT >> 64


@define
class Subscription:
    """A limiter that uses this replica as its home, with the revision that it has acknowledged."""

    ip: str
    incarnation: int
    last_heartbeat: float
    revision: int = 0
    # The last revision that was pushed, when, and how long to wait for its acknowledgement.
    pushed_revision: int = 0
    pushed_at: float = -math.inf
    retry_ms: float = PUSH_RETRY_MS


@define
class PendingAcknowledgement:
    """A server's departure that is acknowledged once the disks of a majority of the core have it; ``done`` is
    called with the result."""

    row: Row
    key: str
    done: Callable[[bool], object]
    deadline: float
    acknowledged_by: set[str]


@define
class RegistryReplica:
    """The replica of one incarnation of a core machine."""

    local_member: Member
    # Time between heartbeats of a server, in ms.
    period_ms: float
    started_at: float
    # Factor of the times between core machines and limiters; see ``consensus.timing``.
    time_scale: float = 1.0
    # Whether the whole system starts for the first time, so that there is no group of voters yet.
    bootstrap: bool = True
    # The departures that an earlier process left on the disk.
    stored_departures: bytes | None = None
    members: Members = field(factory=Members)
    registry: Registry = field(init=False)
    table: Table = field(factory=Table)
    subscribers: dict[str, Subscription] = field(factory=dict)
    # The voters of the consensus group: disk ids with node names.
    voters: Mapping[str, str] = field(factory=dict)
    # Whether the table is complete enough to be served.
    ready: bool = False
    # By disk id: the time of sending of the newest ``Sync`` that was answered.
    last_echo: dict[str, float] = field(factory=dict)
    # Disk ids of the core machines whose rows this incarnation has merged, all of them as they were then.
    merged_disks: set[str] = field(factory=set)
    outbox: Outgoing = field(factory=list)
    pending: dict[int, PendingAcknowledgement] = field(factory=dict)
    departures: Departures = field(factory=Departures)
    last_request: int = 0
    last_sync_at: float = -math.inf
    # By node: when another core machine last reported that it is ready.
    ready_cores: dict[str, float] = field(factory=dict)
    # Whether a ``Sync`` of another core machine has arrived.
    peer_seen: bool = False
    # The digest of each range, None if rows have changed since it was computed.
    range_digests: list[str] | None = None

    def __attrs_post_init__(self) -> None:
        self.registry = Registry(self.period_ms)
        self.members.lease_ms = membership.LEASE_MS * self.time_scale
        self._restore_departures()

    def _restore_departures(self) -> None:
        """Adds the departures of the disk as if they had just been reported: how old they are isn't known."""
        if self.stored_departures is None:
            return
        for server in self.departures.load(self.stored_departures):
            self.registry.update(self.started_at, server, False)
            self._publish_server(server.id)

    @property
    def quorum_timeout_ms(self) -> float:
        """Without an answer from a majority for this long, this core machine is fenced."""
        return QUORUM_TIMEOUT_MS * self.time_scale

    @property
    def core_present_ms(self) -> float:
        """A core machine that was heard from within this time is considered present."""
        return membership.CORE_PRESENT_MS * self.time_scale

    @property
    def subscription_timeout_ms(self) -> float:
        """A subscriber without a heartbeat for this long has another home, or is down."""
        return SUBSCRIPTION_TIMEOUT_HEARTBEATS * membership.HEARTBEAT_INTERVAL_MS * self.time_scale

    # Tables -------------------------------------------------------------------------------

    def _publish_member(self, node: str) -> None:
        known = self.members.by_node.get(node)
        self.range_digests = None
        self.table.put("m", node, known.member.to_row() if known is not None else None)

    def _publish_server(self, name: str) -> None:
        known = self.registry.by_id.get(name)
        self.range_digests = None
        if known is not None:
            self.departures.note(known.server)
        else:
            self.departures.forget(name)
        row = known.server.to_row() if known is not None else None
        if row is not None and (old := self.table.get("s", name)) is not None:
            # A heartbeat that changes nothing but the sequence number is not a change.
            row = {**row, "q": old["q"]}
            if row != old:
                row["q"] = known.server.sequence if known is not None else 0
        self.table.put("s", name, row)

    def _other_cores(self, now: float, max_age_ms: float) -> list[MemberRecord]:
        """Returns the other core machines that were heard from within the last ``max_age_ms``."""
        return [
            record
            for node, record in self.members.core_machines.items()
            if node != self.local_member.node and now - record.last_heard <= max_age_ms
        ]

    def present_cores(self, now: float) -> list[MemberRecord]:
        """Returns the other core machines that are considered present."""
        return self._other_cores(now, self.core_present_ms)

    def _broadcast(self, now: float, message: Message) -> None:
        receivers = self._other_cores(now, membership.FORGET_MS / 2)
        self.outbox.extend((record.member.ip, message) for record in receivers)

    # Limiters -----------------------------------------------------------------------------

    def update_member(self, now: float, member: Member, direct: bool) -> None:
        """Merges a limiter's own record and sends it to the other core machines if it is a change.

        ``direct``: this core machine has heard from the limiter itself, and its ``Sync`` reports that."""
        if self.members.update(now, member, direct):
            self._publish_member(member.node)
            row = self.members.by_node[member.node].member.to_row()
            self._broadcast(now, RowsUpdate(members=[(member.node, row)], servers=[]))

    def add_core(self, now: float, core: Member) -> None:
        """Adds a core machine that somebody has named, so that it gets messages; its answers show whether
        it is present."""
        if core.node not in self.members.by_node and core.node != self.local_member.node:
            self.members.update(now, core, False, False)
            self._publish_member(core.node)
            self.last_sync_at = -math.inf

    def handle_heartbeat(self, now: float, message: MemberHeartbeat, config: ConfigVersion) -> None:
        """Handles a subscriber's heartbeat: answers with the changes that it lacks, with an empty delta, or
        with ``NotReady``."""
        node, ip = message.sender, message.address
        member = member_from_row(node, message.member)
        self.update_member(now, member, True)
        known = self.members.by_node.get(node)
        if known is None or not self.ready or self.fenced(now):
            self.outbox.append((ip, NotReady()))
            return
        subscription = self.subscribers.get(node)
        if subscription is None or subscription.incarnation != member.incarnation:
            subscription = self.subscribers[node] = Subscription(ip, member.incarnation, now)
        subscription.ip, subscription.last_heartbeat = ip, now
        have = message.have if message.of == (self.local_member.node, self.local_member.incarnation) else 0
        if have < subscription.revision:  # the subscriber starts from an earlier revision: push at once
            subscription.pushed_at = -math.inf
        subscription.revision = have
        if have >= self.table.revision or self._push_is_due(now, subscription):
            self._push_delta(now, subscription, known.member, config)
        else:  # the missing changes were pushed a moment ago
            self.outbox.append((subscription.ip, self._make_delta(known.member, have, have, [], config)))

    def handle_delta_ack(self, message: DeltaAck) -> None:
        """Notes the revision up to which a subscriber has applied the changes."""
        subscription = self.subscribers.get(message.sender)
        if subscription is not None and message.of == (self.local_member.node, self.local_member.incarnation):
            subscription.revision = max(subscription.revision, message.have)
            subscription.retry_ms = PUSH_RETRY_MS

    def _push_delta(
        self, now: float, subscription: Subscription, member: Member, config: ConfigVersion
    ) -> None:
        events = self.table.changes_since(subscription.revision)
        start = subscription.revision
        if events is None:
            start, events = 0, self.table.changes_since(0) or []
        part = events[:MAX_DELTA_ROWS]
        to = part[-1].revision if len(part) < len(events) else self.table.revision
        if part:
            if subscription.pushed_revision > subscription.revision:
                # A repetition: the last push is lost or not yet answered.
                subscription.retry_ms = min(MAX_PUSH_RETRY_MS, 2.0 * subscription.retry_ms)
            subscription.pushed_revision, subscription.pushed_at = to, now
        self.outbox.append((subscription.ip, self._make_delta(member, start, to, part, config)))

    def _make_delta(
        self, member: Member, start: int, to: int, part: list[Event], config: ConfigVersion
    ) -> Delta:
        return Delta(
            incarnation=self.local_member.incarnation,
            start_revision=start,
            to=to,
            head=self.table.revision,
            rows=[(event.kind, event.key, event.row) for event in part],
            config=config,
            you=(member.ring_number, member.grant, member.incarnation),
        )

    @staticmethod
    def _push_is_due(now: float, subscription: Subscription) -> bool:
        """Returns whether the last push was acknowledged, or its acknowledgement is overdue."""
        return (
            subscription.revision >= subscription.pushed_revision
            or now - subscription.pushed_at >= subscription.retry_ms
        )

    def fenced(self, now: float) -> bool:
        """Returns whether this core machine has lost contact with a majority of the voters, in either
        direction.  Its table may then be outdated: it sends its subscribers to another home and acknowledges
        nothing.

        An answer counts from the time at which the ``Sync`` was sent.  Its time of arrival proves nothing, as
        it may have waited in a buffer while this process was suspended."""
        if not self.voters:
            # A new core machine that knows no voters can't rule out that all its peers are fenced themselves.
            return not self.bootstrap
        in_contact = sum(
            disk == self.local_member.disk
            or now - self.last_echo.get(disk, self.started_at) <= self.quorum_timeout_ms
            for disk in self.voters
        )
        return in_contact * 2 <= len(self.voters)

    def push(self, now: float, config: ConfigVersion, at_once: bool = False) -> None:
        """Pushes changes to the subscribers that lack them, unless the last push still awaits its
        acknowledgement.

        ``at_once``: pushes to all subscribers, as the configuration is new."""
        withheld = not self.ready or self.fenced(now)
        for node, subscription in list(self.subscribers.items()):
            known = self.members.by_node.get(node)
            if known is None or now - subscription.last_heartbeat > self.subscription_timeout_ms:
                del self.subscribers[node]
                continue
            if (
                at_once
                or subscription.revision < self.table.revision
                and self._push_is_due(now, subscription)
            ):
                if not withheld and known.member.state != membership.DOWN:
                    self._push_delta(now, subscription, known.member, config)

    # Servers ------------------------------------------------------------------------------

    def server_heartbeat(self, now: float, received: Server, done: Callable[[bool], object]) -> None:
        """Handles a server's heartbeat and calls ``done`` with whether it is acknowledged.

        A drain is acknowledged once the disks of a majority of the core have it.  A fenced core machine
        acknowledges no heartbeat, so that the server tries another one."""
        changed = self.registry.update(now, received, True)
        known = self.registry.by_id.get(received.id)
        if known is None:
            done(False)
            return
        if changed:
            self._publish_server(received.id)
        if known.server.state == servers.DRAINING and received.state == servers.DRAINING:
            self._acknowledge_on_quorum(now, known.server, done)
            return
        if changed:
            self._broadcast(now, RowsUpdate(members=[], servers=[(received.id, known.server.to_row())]))
        done(not self.fenced(now))

    def server_leave(self, now: float, name: str, done: Callable[[bool], object]) -> None:
        """Handles the sign-off of a server and calls ``done`` with whether the disks of a majority of the
        core have it."""
        if self.registry.mark_gone(now, name):
            self._publish_server(name)
        known = self.registry.by_id.get(name)
        if known is None:  # the registry is full
            done(False)
        else:
            self._acknowledge_on_quorum(now, known.server, done)

    def _acknowledge_on_quorum(self, now: float, server: Server, done: Callable[[bool], object]) -> None:
        self.last_request += 1
        deadline = now + ACKNOWLEDGE_TIMEOUT_MS
        acknowledgement = PendingAcknowledgement(server.to_row(), server.id, done, deadline, set())
        self.pending[self.last_request] = acknowledgement
        self._request_acks(now, self.last_request, acknowledgement)
        note_local = partial(self._note_acknowledged, self.last_request, self.local_member.disk)
        self.departures.when_durable({server.id: server.state}, note_local, deadline)

    def _request_acks(self, now: float, number: int, acknowledgement: PendingAcknowledgement) -> None:
        servers = [(acknowledgement.key, acknowledgement.row)]
        self._broadcast(
            now,
            RowsUpdate(members=[], servers=servers, ask=number, incarnation=self.local_member.incarnation),
        )

    def handle_rows_ack(self, message: RowsAck) -> None:
        """Notes that another core machine has the rows of a pending acknowledgement on its disk."""
        if message.incarnation == self.local_member.incarnation:
            self._note_acknowledged(message.ask, message.disk)

    def _note_acknowledged(self, number: int, disk: str) -> None:
        acknowledgement = self.pending.get(number)
        if acknowledgement is not None:
            acknowledgement.acknowledged_by.add(disk)
            self._complete_on_quorum(number, acknowledgement)

    def _complete_on_quorum(self, number: int, acknowledgement: PendingAcknowledgement) -> None:
        core_machines = self.members.core_machines
        voters = self.voters or {record.member.disk: node for node, record in core_machines.items()}
        if len(acknowledgement.acknowledged_by & voters.keys()) * 2 > len(voters):
            del self.pending[number]
            acknowledgement.done(True)

    # Other core machines ------------------------------------------------------------------

    def handle_rows_update(self, now: float, message: RowsUpdate) -> None:
        """Merges rows that another core machine has just received.

        On request, departures are acknowledged once the local disk has them."""
        self._merge_rows(now, message.members, message.servers, True)
        if message.ask is not None:
            ack = RowsAck(ask=message.ask, incarnation=message.incarnation, disk=self.local_member.disk)
            states = {name: server_from_row(name, row).state for name, row in message.servers}
            send_ack = partial(self._enqueue, message.address, ack)
            self.departures.when_durable(states, send_ack, now + ACKNOWLEDGE_TIMEOUT_MS)

    def _enqueue(self, address: str, message: Message) -> None:
        """Adds a message to be sent; the outbox itself is replaced by whoever empties it."""
        self.outbox.append((address, message))

    def _merge_rows(self, now: float, members: Rows, servers: Rows, fresh: bool) -> None:
        for node, row in members:
            if self.members.update(now, member_from_row(node, row), False, fresh):
                self._publish_member(node)
        for name, row in servers:
            if self.registry.update(now, server_from_row(name, row), False, fresh):
                self._publish_server(name)

    def handle_sync(self, now: float, message: Sync) -> None:
        """Handles the periodic message of another core machine: renews the leases that it reports, and
        answers with the rows of the ranges whose digests differ."""
        sender = member_from_row(message.sender, message.me)
        ack = SyncAck(disk=self.local_member.disk, incarnation=sender.incarnation, sent_at=message.sent_at)
        self.outbox.append((message.address, ack))
        self.update_member(now, sender, False)
        if message.ready:
            self.ready_cores[sender.node] = now
        self.peer_seen = True
        for node, incarnation in message.incarnations:
            if self.members.renew(now, node, incarnation):
                self._publish_member(node)
        for name, sequence in message.sequences:
            if self.registry.renew(now, name, sequence):
                self._publish_server(name)
        local_digests, remote_digests = self._current_digests(), dict(enumerate(message.digests))
        differing = [r for r in range(RANGE_COUNT) if local_digests[r] != remote_digests.get(r)]
        if not differing:
            self.merged_disks.add(sender.disk)
        if differing:
            range_rows = self._make_range_rows(now, differing, compared=sender.incarnation, again=True)
            self.outbox.append((message.address, range_rows))
        elif message.ready:
            self.ready = True

    def handle_sync_ack(self, message: SyncAck) -> None:
        """Notes that another core machine has answered a ``Sync`` of this incarnation."""
        if message.incarnation == self.local_member.incarnation:
            before = self.last_echo.get(message.disk, self.started_at)
            self.last_echo[message.disk] = max(before, message.sent_at)

    def handle_range_rows(self, now: float, message: RangeRows) -> None:
        """Merges all rows that another core machine has in some ranges.

        If the sender is ready, so is this replica: the digests of all other ranges were equal, in this
        incarnation.  Waiting until all digests are equal could take long, because each core machine decides
        by itself when a row is stale and no longer part of its digest."""
        self._merge_rows(now, message.members, message.servers, False)
        if message.compared == self.local_member.incarnation:
            if (sender := self.members.by_node.get(message.sender)) is not None:
                self.merged_disks.add(sender.member.disk)
            if message.ready:
                self.ready = True
        if message.again:
            range_rows = self._make_range_rows(now, message.ranges, compared=message.incarnation, again=False)
            self.outbox.append((message.address, range_rows))

    def _make_range_rows(self, now: float, ranges: Iterable[int], compared: int, again: bool) -> RangeRows:
        wanted = set(ranges)
        members = {node: r.member for node, r in self.members.by_node.items() if not r.stale}
        servers = {name: r.server for name, r in self.registry.by_id.items() if not r.stale}
        return RangeRows(
            ranges=sorted(wanted),
            incarnation=self.local_member.incarnation,
            compared=compared,
            ready=self._may_serve(now),
            again=again,
            members=[(node, m.to_row()) for node, m in members.items() if range_index(node) in wanted],
            servers=[(name, s.to_row()) for name, s in servers.items() if range_index(name) in wanted],
        )

    def _current_digests(self) -> list[str]:
        if self.range_digests is None:
            hashes = [xxhash.xxh3_64() for _ in range(RANGE_COUNT)]
            for node in sorted(n for n, h in self.members.by_node.items() if not h.stale):
                m = self.members.by_node[node].member
                state = membership.LEAVING if m.state == membership.LEAVING else membership.UP
                hashes[range_index(node)].update(
                    f"{node} {m.incarnation} {state} {m.ring_number} {m.grant};".encode()
                )
            for name in sorted(n for n, k in self.registry.by_id.items() if not k.stale):
                s = self.registry.by_id[name].server
                hashes[range_index(name)].update(
                    f"{name} {s.state} {s.address} {s.warmup_left_ms > 0};".encode()
                )
            self.range_digests = [h.hexdigest() for h in hashes]
        return self.range_digests

    def _has_merged_majority(self) -> bool:
        """Returns whether the rows of a majority of the voters are merged, so that every acknowledged
        departure is known here."""
        merged = self.voters.keys() & {*self.merged_disks, self.local_member.disk}
        return not self.voters or len(merged) * 2 > len(self.voters)

    # The disk -----------------------------------------------------------------------------

    def begin_save(self, now: float) -> bytes | None:
        """Returns the departures to be written to the disk, None if there is nothing to write or a save is in
        progress."""
        return self.departures.begin_save(now, (known.server for known in self.registry.by_id.values()))

    def finish_save(self, now: float, ok: bool) -> None:
        """Notes the end of a save, which is durable if ``ok`` and has failed otherwise."""
        self.departures.finish_save(now, ok)

    def _may_serve(self, now: float) -> bool:
        return self.ready and not self.fenced(now)

    def _send_sync(self, now: float) -> None:
        last, self.last_sync_at = max(self.last_sync_at, self.started_at), now
        incarnations = [
            (node, r.member.incarnation) for node, r in self.members.by_node.items() if r.last_direct >= last
        ]
        sequences = [
            (name, r.server.sequence) for name, r in self.registry.by_id.items() if r.last_direct >= last
        ]
        for start in range(0, max(1, len(incarnations), len(sequences)), MAX_SYNC_RENEWALS):
            part = slice(start, start + MAX_SYNC_RENEWALS)
            sync = Sync(
                me=self.local_member.to_row(),
                ready=self._may_serve(now),
                sent_at=now,
                incarnations=incarnations[part],
                sequences=sequences[part],
                digests=self._current_digests(),
            )
            self._broadcast(now, sync)

    # Time ---------------------------------------------------------------------------------

    def tick(
        self,
        now: float,
        local_member: Member,
        voters: Mapping[str, str],
        epoch: int | None,
        config: ConfigVersion,
    ) -> None:
        """Does the periodic work; called about every 50 ms.

        ``epoch`` is set if this core machine is the leader, which assigns ring numbers; ``config`` is the
        newest configuration."""
        self.local_member, self.voters = local_member, voters
        self.last_echo = {disk: at for disk, at in self.last_echo.items() if disk in voters}
        self.update_member(now, local_member, True)
        if now - self.last_sync_at >= SYNC_INTERVAL_FRACTION * self.quorum_timeout_ms:
            for node in self.members.expire(now):
                self._publish_member(node)
            for name in self.registry.expire(now):
                self._publish_server(name)
            if epoch is not None:
                for node in self.members.assign_ring_numbers(epoch):
                    self._publish_member(node)
                    row = self.members.by_node[node].member.to_row()
                    self._broadcast(now, RowsUpdate(members=[(node, row)], servers=[]))
            self._send_sync(now)
        for number, acknowledgement in list(self.pending.items()):
            if now >= acknowledgement.deadline:
                del self.pending[number]
                acknowledgement.done(False)
        self.departures.expire(now)
        if (
            not self.ready
            and self._has_merged_majority()
            and now - self.started_at > (READY_DELAY_MS if self.peer_seen else READY_DELAY_WITHOUT_PEERS_MS)
            and not any(now - at < self.core_present_ms for at in self.ready_cores.values())
        ):
            # No peer has a more complete table.  Subscribers keep rows of a former home that are missing here
            # for a while.
            self.ready = True
        self.push(now, config)
