"""A core machine's duty as a home: it keeps limiters and servers under leases, tells its subscribers what has
changed, and agrees with the other core machines.  Messages in, messages out; time is an argument in ms.

``out`` collects what is to be sent, as (address, message); the caller empties it after each call.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

import xxhash
from attrs import define, field

from larklb.changefeed.table import Event, Table
from larklb.membership import members as membership
from larklb.membership.members import Member, MemberRecord, Members, member_from_row
from larklb.membership.messages import Message, Row, Rows
from larklb.quota.ring import digest
from larklb.registry import registry as servers
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

QUORUM_TIMEOUT_MS = 1_000.0  # without an echo from a majority for so long, this machine counts as cut off
SYNC_INTERVAL_FRACTION = 0.4  # of that time passes between two messages to each other core machine
PUSH_RETRY_MS = 250.0  # what a subscriber has not shown to have is pushed again after so long, ...
MAX_PUSH_RETRY_MS = 1_000.0  # ... after twice as long each time, up to this: its link may be narrow
SUBSCRIPTION_TIMEOUT_HEARTBEATS = (
    3.6  # a subscriber that has not beaten for so many beats has another home, or is down
)
RANGE_COUNT = 16  # of ids, each with a digest
MAX_DELTA_ROWS = 300  # of a delta at the most: a large table goes in pieces
READY_DELAY_MS = 250.0  # in which a home that starts hears of another one that knows more ...
READY_DELAY_WITHOUT_PEERS_MS = 1_000.0  # ... and in which it waits for any other
MAX_SYNC_RENEWALS = 2_000  # renewals in one message at the most; the rest follows in another

ACKNOWLEDGE_TIMEOUT_MS = 800.0  # for a majority to know a change: callers wait a second

Outgoing = list[tuple[str, Message]]  # by the receiver's address


def range_index(key: str) -> int:
    """Which of the ranges an id falls in."""
    return digest(key) * RANGE_COUNT >> 64


@define
class Subscription:
    """A limiter that has this home, and what it has shown to have."""

    ip: str
    incarnation: int
    last_heartbeat: float
    revision: int = 0
    pushed_revision: int = 0  # the revision that it was last told up to, ...
    pushed_at: float = -math.inf  # ... and when
    retry_ms: float = PUSH_RETRY_MS  # how long to wait for it to show that it has that


@define
class PendingAcknowledgement:
    """A change that is to be known by a majority of the core before it is acknowledged."""

    row: Row
    key: str
    done: Callable[[bool], object]
    deadline: float
    acknowledged_by: set[str]


@define
class RegistryReplica:
    """Of one life of a core machine."""

    local_member: Member
    period_ms: float  # ms between a server's beats
    started_at: float
    time_scale: float = 1.0  # of the times between core machines and limiters: see ``consensus.timing``
    bootstrap: bool = True  # the whole system starts for the first time: there is no group of voters yet
    members: Members = field(factory=Members)
    registry: Registry = field(init=False)
    table: Table = field(factory=Table)
    subscribers: dict[str, Subscription] = field(factory=dict)
    voters: Mapping[str, str] = field(factory=dict)  # disk ids and nodes, of the group
    ready: bool = False  # its table may be told
    last_echo: dict[str, float] = field(factory=dict)  # when sent what each core disk has echoed last
    outbox: Outgoing = field(factory=list)
    pending: dict[int, PendingAcknowledgement] = field(factory=dict)
    last_request: int = 0
    last_sync_at: float = -math.inf
    ready_cores: dict[str, float] = field(factory=dict)  # when a core machine last said it is ready
    peer_seen: bool = False  # another core machine has been heard of
    range_digests: list[str] | None = None

    def __attrs_post_init__(self) -> None:
        self.registry = Registry(self.period_ms)
        self.members.lease_ms = membership.LEASE_MS * self.time_scale

    @property
    def quorum_timeout_ms(self) -> float:
        """Without an echo from a majority for so long, this machine counts as cut off."""
        return QUORUM_TIMEOUT_MS * self.time_scale

    @property
    def core_present_ms(self) -> float:
        """A core machine that was heard of within this is there."""
        return membership.CORE_PRESENT_MS * self.time_scale

    @property
    def subscription_timeout_ms(self) -> float:
        """A subscriber that has not beaten for so long has another home, or is down."""
        return SUBSCRIPTION_TIMEOUT_HEARTBEATS * membership.HEARTBEAT_INTERVAL_MS * self.time_scale

    # Tables -------------------------------------------------------------------------------

    def _publish_member(self, node: str) -> None:
        known = self.members.by_node.get(node)
        self.range_digests = None
        self.table.put("m", node, known.member.to_row() if known is not None else None)

    def _publish_server(self, name: str) -> None:
        known = self.registry.by_id.get(name)
        self.range_digests = None
        row = known.server.to_row() if known is not None else None
        if row is not None and (old := self.table.get("s", name)) is not None:
            row = {**row, "q": old["q"]}  # a beat that changes nothing else is no change
            if row != old:
                row["q"] = known.server.sequence if known is not None else 0
        self.table.put("s", name, row)

    def _other_cores(self, now: float, within: float) -> list[MemberRecord]:
        """The other core machines that were heard of within so many ms."""
        return [
            heard
            for node, heard in self.members.core_machines.items()
            if node != self.local_member.node and now - heard.last_heard <= within
        ]

    def present_cores(self, now: float) -> list[MemberRecord]:
        """The other core machines that were heard of lately."""
        return self._other_cores(now, self.core_present_ms)

    def _broadcast(self, now: float, message: Message) -> None:
        receivers = self._other_cores(now, membership.FORGET_MS / 2)
        self.outbox.extend((heard.member.ip, message) for heard in receivers)

    # Limiters -----------------------------------------------------------------------------

    def update_member(self, now: float, member: Member, direct: bool) -> None:
        """A limiter's record came in its own message."""
        if self.members.update(now, member, direct):
            self._publish_member(member.node)
            row = self.members.by_node[member.node].member.to_row()
            self._broadcast(now, RowsUpdate(members=[(member.node, row)], servers=[]))

    def add_core(self, now: float, core: Member) -> None:
        """A core machine was named by somebody: it is spoken to, and shows itself whether it is there."""
        if core.node not in self.members.by_node and core.node != self.local_member.node:
            self.members.update(now, core, False, False)
            self._publish_member(core.node)
            self.last_sync_at = -math.inf

    def handle_heartbeat(self, now: float, message: MemberHeartbeat, offer: ConfigVersion) -> None:
        """A limiter's beat, as its home: what has changed goes back, at least that this home lives."""
        node, ip = message.sender, message.address
        member = member_from_row(node, message.member)
        self.update_member(now, member, True)
        known = self.members.by_node.get(node)
        if known is None or not self.ready or self.fenced(now):
            self.outbox.append((ip, NotReady()))
            return
        sub = self.subscribers.get(node)
        if sub is None or sub.incarnation != member.incarnation:
            sub = self.subscribers[node] = Subscription(ip, member.incarnation, now)
        sub.ip, sub.last_heartbeat = ip, now
        have = message.have if message.of == (self.local_member.node, self.local_member.incarnation) else 0
        if have < sub.revision:  # it begins anew
            sub.pushed_at = -math.inf
        sub.revision = have
        if have >= self.table.revision or self._push_is_due(now, sub):
            self._push_delta(now, sub, known.member, offer)
        else:  # what it lacks is under way
            self.outbox.append((sub.ip, self._make_delta(known.member, have, have, [], offer)))

    def handle_delta_ack(self, message: DeltaAck) -> None:
        """A subscriber has taken changes up to a revision."""
        sub = self.subscribers.get(message.sender)
        if sub is not None and message.of == (self.local_member.node, self.local_member.incarnation):
            sub.revision = max(sub.revision, message.have)
            sub.retry_ms = PUSH_RETRY_MS

    def _push_delta(self, now: float, sub: Subscription, member: Member, offer: ConfigVersion) -> None:
        events = self.table.changes_since(sub.revision)
        start = sub.revision
        if events is None:
            start, events = 0, self.table.changes_since(0) or []
        part = events[:MAX_DELTA_ROWS]
        to = part[-1].revision if len(part) < len(events) else self.table.revision
        if part:
            if (
                sub.pushed_revision > sub.revision
            ):  # that was told before, and did not come or is still on its way
                sub.retry_ms = min(MAX_PUSH_RETRY_MS, 2.0 * sub.retry_ms)
            sub.pushed_revision, sub.pushed_at = to, now
        self.outbox.append((sub.ip, self._make_delta(member, start, to, part, offer)))

    def _make_delta(
        self, member: Member, start: int, to: int, part: list[Event], offer: ConfigVersion
    ) -> Delta:
        return Delta(
            incarnation=self.local_member.incarnation,
            start_revision=start,
            to=to,
            head=self.table.revision,
            rows=[(event.kind, event.key, event.row) for event in part],
            config=offer,
            you=(member.ring_number, member.grant, member.incarnation),
        )

    @staticmethod
    def _push_is_due(now: float, sub: Subscription) -> bool:
        """Whether all that it was told has been taken, or should have been."""
        return sub.revision >= sub.pushed_revision or now - sub.pushed_at >= sub.retry_ms

    def fenced(self, now: float) -> bool:
        """Whether this machine is cut off from a majority of the voters, in either direction: it can't know
        what is new, tells its subscribers to go elsewhere, and acknowledges nothing.

        An echo counts by the time at which the message that it answers was sent here: what lay in a buffer
        while this machine stood still proves nothing."""
        if not self.voters:
            return not self.bootstrap  # a newcomer may have met none but machines that are cut off themselves
        heard = sum(
            disk == self.local_member.disk
            or now - self.last_echo.get(disk, self.started_at) <= self.quorum_timeout_ms
            for disk in self.voters
        )
        return heard * 2 <= len(self.voters)

    def push(self, now: float, offer: ConfigVersion, at_once: bool = False) -> None:
        """Tells each subscriber that lacks something, again after a while; ``at_once``: the configuration is
        a new one, and all are told."""
        silent = not self.ready or self.fenced(now)
        for node, sub in list(self.subscribers.items()):
            known = self.members.by_node.get(node)
            if known is None or now - sub.last_heartbeat > self.subscription_timeout_ms:
                del self.subscribers[node]
                continue
            if at_once or sub.revision < self.table.revision and self._push_is_due(now, sub):
                if not silent and known.member.state != membership.DOWN:
                    self._push_delta(now, sub, known.member, offer)

    # Servers ------------------------------------------------------------------------------

    def server_heartbeat(self, now: float, told: Server, done: Callable[[bool], object]) -> None:
        """A server's beat; ``done`` is called when it may be acknowledged, with False where it can't be
        now: while this machine is cut off, so that the server turns to one that others hear."""
        changed = self.registry.update(now, told, True)
        known = self.registry.by_id.get(told.id)
        if known is None:
            done(False)
            return
        if changed:
            self._publish_server(told.id)
        if known.server.state == servers.DRAINING and told.state == servers.DRAINING:
            self._acknowledge_on_quorum(now, known.server, done)
            return
        if changed:
            self._broadcast(now, RowsUpdate(members=[], servers=[(told.id, known.server.to_row())]))
        done(not self.fenced(now))

    def server_leave(self, now: float, name: str, done: Callable[[bool], object]) -> None:
        """A server has ended in order."""
        if self.registry.mark_gone(now, name):
            self._publish_server(name)
        known = self.registry.by_id.get(name)
        if known is None:
            done(True)
        else:
            self._acknowledge_on_quorum(now, known.server, done)

    def _acknowledge_on_quorum(self, now: float, server: Server, done: Callable[[bool], object]) -> None:
        self.last_request += 1
        until = now + ACKNOWLEDGE_TIMEOUT_MS
        acknowledgement = PendingAcknowledgement(
            server.to_row(), server.id, done, until, {self.local_member.disk}
        )
        self.pending[self.last_request] = acknowledgement
        self._request_acks(now, self.last_request, acknowledgement)
        self._complete_on_quorum(self.last_request, acknowledgement)

    def _request_acks(self, now: float, number: int, acknowledgement: PendingAcknowledgement) -> None:
        servers = [(acknowledgement.key, acknowledgement.row)]
        self._broadcast(
            now,
            RowsUpdate(members=[], servers=servers, ask=number, incarnation=self.local_member.incarnation),
        )

    def handle_rows_ack(self, message: RowsAck) -> None:
        """Another core machine has a change in its memory."""
        acknowledgement = self.pending.get(message.ask)
        if acknowledgement is not None and message.incarnation == self.local_member.incarnation:
            acknowledgement.acknowledged_by.add(message.disk)
            self._complete_on_quorum(message.ask, acknowledgement)

    def _complete_on_quorum(self, number: int, acknowledgement: PendingAcknowledgement) -> None:
        core_machines = self.members.core_machines
        voters = self.voters or {heard.member.disk: node for node, heard in core_machines.items()}
        if len(acknowledgement.acknowledged_by & voters.keys()) * 2 > len(voters):
            del self.pending[number]
            acknowledgement.done(True)

    # Other core machines ------------------------------------------------------------------

    def handle_rows_update(self, now: float, message: RowsUpdate) -> None:
        """Rows that another core machine has just heard."""
        self._merge_rows(now, message.members, message.servers, True)
        if message.ask is not None:
            known = RowsAck(ask=message.ask, incarnation=message.incarnation, disk=self.local_member.disk)
            self.outbox.append((message.address, known))

    def _merge_rows(self, now: float, members: Rows, servers: Rows, fresh: bool) -> None:
        for node, row in members:
            if self.members.update(now, member_from_row(node, row), False, fresh):
                self._publish_member(node)
        for name, row in servers:
            if self.registry.update(now, server_from_row(name, row), False, fresh):
                self._publish_server(name)

    def handle_sync(self, now: float, message: Sync) -> None:
        """Another core machine's regular message: whom it hears, and its digests."""
        sender = member_from_row(message.sender, message.me)
        echo = SyncAck(disk=self.local_member.disk, incarnation=sender.incarnation, sent_at=message.sent_at)
        self.outbox.append((message.address, echo))
        self.update_member(now, sender, False)
        if message.ready:
            self.ready_cores[sender.node] = now
        self.peer_seen = True
        for node, life in message.incarnations:
            if self.members.renew(now, node, life):
                self._publish_member(node)
        for name, sequence in message.sequences:
            if self.registry.renew(now, name, sequence):
                self._publish_server(name)
        mine, theirs = self._current_digests(), dict(enumerate(message.digests))
        differ = [r for r in range(RANGE_COUNT) if mine[r] != theirs.get(r)]
        if differ:
            ranges = self._make_range_rows(now, differ, compared=sender.incarnation, again=True)
            self.outbox.append((message.address, ranges))
        elif message.ready:
            self.ready = True

    def handle_sync_ack(self, message: SyncAck) -> None:
        """Another core machine echoes the time at which a message of this life was sent."""
        if message.incarnation == self.local_member.incarnation:
            before = self.last_echo.get(message.disk, self.started_at)
            self.last_echo[message.disk] = max(before, message.sent_at)

    def handle_range_rows(self, now: float, message: RangeRows) -> None:
        """All rows that another core machine has in some ranges: the newer of each stays.

        If its table may be told, then so may this one's: in all other ranges the two were the same, in this
        life of this machine. To wait for equal digests could take long, as each machine drops old rows from
        its own by itself."""
        self._merge_rows(now, message.members, message.servers, False)
        if message.ready and message.compared == self.local_member.incarnation:
            self.ready = True
        if message.again:
            ranges = self._make_range_rows(now, message.ranges, compared=message.incarnation, again=False)
            self.outbox.append((message.address, ranges))

    def _make_range_rows(self, now: float, ranges: Iterable[int], compared: int, again: bool) -> RangeRows:
        wanted = set(ranges)
        members = {n: h.member for n, h in self.members.by_node.items() if not h.stale}
        known = {n: k.server for n, k in self.registry.by_id.items() if not k.stale}
        return RangeRows(
            ranges=sorted(wanted),
            incarnation=self.local_member.incarnation,
            compared=compared,
            ready=self._may_serve(now),
            again=again,
            members=[(n, member.to_row()) for n, member in members.items() if range_index(n) in wanted],
            servers=[(n, server.to_row()) for n, server in known.items() if range_index(n) in wanted],
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
                hashes[range_index(name)].update(f"{name} {s.state} {s.address} {s.cold_ms > 0};".encode())
            self.range_digests = [h.hexdigest() for h in hashes]
        return self.range_digests

    def _may_serve(self, now: float) -> bool:
        return self.ready and not self.fenced(now)

    def _send_sync(self, now: float) -> None:
        last, self.last_sync_at = max(self.last_sync_at, self.started_at), now
        heard = [(n, h.member.incarnation) for n, h in self.members.by_node.items() if h.last_direct >= last]
        beats = [(n, k.server.sequence) for n, k in self.registry.by_id.items() if k.last_direct >= last]
        for start in range(0, max(1, len(heard), len(beats)), MAX_SYNC_RENEWALS):
            part = slice(start, start + MAX_SYNC_RENEWALS)
            sync = Sync(
                me=self.local_member.to_row(),
                ready=self._may_serve(now),
                sent_at=now,
                incarnations=heard[part],
                sequences=beats[part],
                digests=self._current_digests(),
            )
            self._broadcast(now, sync)

    # Time ---------------------------------------------------------------------------------

    def tick(
        self, now: float, me: Member, voters: Mapping[str, str], epoch: int | None, offer: ConfigVersion
    ) -> None:
        """Called every 50 ms or so; ``epoch`` where this one has the leader's duty, ``offer``: the newest
        configuration."""
        self.local_member, self.voters = me, voters
        self.last_echo = {disk: at for disk, at in self.last_echo.items() if disk in voters}
        self.update_member(now, me, True)
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
        if (
            not self.ready
            and now - self.started_at > (READY_DELAY_MS if self.peer_seen else READY_DELAY_WITHOUT_PEERS_MS)
            and not any(now - at < self.core_present_ms for at in self.ready_cores.values())
        ):
            # Nobody knows more.  Limiters keep for a while what a former home knew and this one does not.
            self.ready = True
        self.push(now, offer)
