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
from larklb.membership.members import Heard, Member, Members, member_of
from larklb.membership.messages import Message, Row, Rows
from larklb.quota.ring import digest
from larklb.registry import registry as servers
from larklb.registry.messages import (
    Beat,
    Delta,
    Has,
    NotReady,
    Offer,
    Ranges,
    RowsHeard,
    RowsKnown,
    Sync,
    Synced,
)
from larklb.registry.registry import Registry, Server, server_of

ALONE_MS = 1_000.0  # without an echo from a majority for so long, this machine counts as cut off
SYNC_PART = 0.4  # of that time passes between two messages to each other core machine
AGAIN_MS = 250.0  # what a subscriber has not shown to have is pushed again after so long, ...
AGAIN_MOST_MS = 1_000.0  # ... after twice as long each time, up to this: its link may be narrow
LEFT_BEATS = 3.6  # a subscriber that has not beaten for so many beats has another home, or is down
RANGES = 16  # of ids, each with a digest
ROWS = 300  # of a delta at the most: a large table goes in pieces
MEET_MS = 250.0  # in which a home that starts hears of another one that knows more ...
WAIT_MS = 1_000.0  # ... and in which it waits for any other
SYNC_BATCH = 2_000  # renewals in one message at the most; the rest follows in another

ACKNOWLEDGE_MS = 800.0  # for a majority to know a change: callers wait a second

Outgoing = list[tuple[str, Message]]  # by the receiver's address


def range_of(key: str) -> int:
    """Which of the ranges an id falls in."""
    return digest(key) * RANGES >> 64


@define
class Subscription:
    """A limiter that has this home, and what it has shown to have."""

    ip: str
    life: int
    at: float
    have: int = 0
    pushed: int = 0  # the revision that it was last told up to, ...
    pushed_at: float = -math.inf  # ... and when
    again: float = AGAIN_MS  # how long to wait for it to show that it has that


@define
class PendingAcknowledgement:
    """A change that is to be known by a majority of the core before it is acknowledged."""

    row: Row
    key: str
    done: Callable[[bool], object]
    until: float
    by: set[str]


@define
class RegistryReplica:
    """Of one life of a core machine."""

    me: Member
    period: float  # ms between a server's beats
    born: float
    scale: float = 1.0  # of the times between core machines and limiters: see ``consensus.timing``
    bootstrap: bool = True  # the whole system starts for the first time: there is no group of voters yet
    members: Members = field(factory=Members)
    registry: Registry = field(init=False)
    table: Table = field(factory=Table)
    subscribers: dict[str, Subscription] = field(factory=dict)
    voters: Mapping[str, str] = field(factory=dict)  # disk ids and nodes, of the group
    ready: bool = False  # its table may be told
    echoed: dict[str, float] = field(factory=dict)  # when sent what each core disk has echoed last
    out: Outgoing = field(factory=list)
    pending: dict[int, PendingAcknowledgement] = field(factory=dict)
    last_ask: int = 0
    synced_at: float = -math.inf
    ready_cores: dict[str, float] = field(factory=dict)  # when a core machine last said it is ready
    met: bool = False  # another core machine has been heard of
    digests: list[str] | None = None

    def __attrs_post_init__(self) -> None:
        self.registry = Registry(self.period)
        self.members.lease = membership.LEASE_MS * self.scale

    @property
    def alone_ms(self) -> float:
        """Without an echo from a majority for so long, this machine counts as cut off."""
        return ALONE_MS * self.scale

    @property
    def present_ms(self) -> float:
        """A core machine that was heard of within this is there."""
        return membership.PRESENT_MS * self.scale

    @property
    def left_ms(self) -> float:
        """A subscriber that has not beaten for so long has another home, or is down."""
        return LEFT_BEATS * membership.BEAT_MS * self.scale

    # Tables -------------------------------------------------------------------------------

    def _member(self, node: str) -> None:
        known = self.members.of.get(node)
        self.digests = None
        self.table.put("m", node, known.member.row() if known is not None else None)

    def _server(self, name: str) -> None:
        known = self.registry.of.get(name)
        self.digests = None
        row = known.server.row() if known is not None else None
        if row is not None and (old := self.table.get("s", name)) is not None:
            row = {**row, "q": old["q"]}  # a beat that changes nothing else is no change
            if row != old:
                row["q"] = known.server.sequence if known is not None else 0
        self.table.put("s", name, row)

    def _others(self, now: float, within: float) -> list[Heard]:
        """The other core machines that were heard of within so many ms."""
        return [
            heard
            for node, heard in self.members.core_machines.items()
            if node != self.me.node and now - heard.at <= within
        ]

    def cores(self, now: float) -> list[Heard]:
        """The other core machines that were heard of lately."""
        return self._others(now, self.present_ms)

    def _tell_core(self, now: float, message: Message) -> None:
        receivers = self._others(now, membership.FORGET_MS / 2)
        self.out.extend((heard.member.ip, message) for heard in receivers)

    # Limiters -----------------------------------------------------------------------------

    def told_of(self, now: float, member: Member, direct: bool) -> None:
        """A limiter's record came in its own message."""
        if self.members.heard(now, member, direct):
            self._member(member.node)
            row = self.members.of[member.node].member.row()
            self._tell_core(now, RowsHeard(members=[(member.node, row)], servers=[]))

    def meet(self, now: float, core: Member) -> None:
        """A core machine was named by somebody: it is spoken to, and shows itself whether it is there."""
        if core.node not in self.members.of and core.node != self.me.node:
            self.members.heard(now, core, False, False)
            self._member(core.node)
            self.synced_at = -math.inf

    def beat(self, now: float, message: Beat, offer: Offer) -> None:
        """A limiter's beat, as its home: what has changed goes back, at least that this home lives."""
        node, ip = message.sender, message.address
        member = member_of(node, message.member)
        self.told_of(now, member, True)
        known = self.members.of.get(node)
        if known is None or not self.ready or self.fenced(now):
            self.out.append((ip, NotReady()))
            return
        sub = self.subscribers.get(node)
        if sub is None or sub.life != member.life:
            sub = self.subscribers[node] = Subscription(ip, member.life, now)
        sub.ip, sub.at = ip, now
        have = message.have if message.of == (self.me.node, self.me.life) else 0
        if have < sub.have:  # it begins anew
            sub.pushed_at = -math.inf
        sub.have = have
        if have >= self.table.rev or self._may_push(now, sub):
            self._push(now, sub, known.member, offer)
        else:  # what it lacks is under way
            self.out.append((sub.ip, self._delta(known.member, have, have, [], offer)))

    def has(self, message: Has) -> None:
        """A subscriber has taken changes up to a revision."""
        sub = self.subscribers.get(message.sender)
        if sub is not None and message.of == (self.me.node, self.me.life):
            sub.have = max(sub.have, message.have)
            sub.again = AGAIN_MS

    def _push(self, now: float, sub: Subscription, member: Member, offer: Offer) -> None:
        events = self.table.since(sub.have)
        start = sub.have
        if events is None:
            start, events = 0, self.table.since(0) or []
        part = events[:ROWS]
        to = part[-1].rev if len(part) < len(events) else self.table.rev
        if part:
            if sub.pushed > sub.have:  # that was told before, and did not come or is still on its way
                sub.again = min(AGAIN_MOST_MS, 2.0 * sub.again)
            sub.pushed, sub.pushed_at = to, now
        self.out.append((sub.ip, self._delta(member, start, to, part, offer)))

    def _delta(self, member: Member, start: int, to: int, part: list[Event], offer: Offer) -> Delta:
        return Delta(
            life=self.me.life,
            start=start,
            to=to,
            head=self.table.rev,
            rows=[(event.kind, event.key, event.row) for event in part],
            offer=offer,
            you=(member.number, member.granted, member.life),
        )

    @staticmethod
    def _may_push(now: float, sub: Subscription) -> bool:
        """Whether all that it was told has been taken, or should have been."""
        return sub.have >= sub.pushed or now - sub.pushed_at >= sub.again

    def fenced(self, now: float) -> bool:
        """Whether this machine is cut off from a majority of the voters, in either direction: it can't know
        what is new, tells its subscribers to go elsewhere, and acknowledges nothing.

        An echo counts by the time at which the message that it answers was sent here: what lay in a buffer
        while this machine stood still proves nothing."""
        if not self.voters:
            return not self.bootstrap  # a newcomer may have met none but machines that are cut off themselves
        heard = sum(
            disk == self.me.disk or now - self.echoed.get(disk, self.born) <= self.alone_ms
            for disk in self.voters
        )
        return heard * 2 <= len(self.voters)

    def push(self, now: float, offer: Offer, at_once: bool = False) -> None:
        """Tells each subscriber that lacks something, again after a while; ``at_once``: the configuration is
        a new one, and all are told."""
        silent = not self.ready or self.fenced(now)
        for node, sub in list(self.subscribers.items()):
            known = self.members.of.get(node)
            if known is None or now - sub.at > self.left_ms:
                del self.subscribers[node]
                continue
            if at_once or sub.have < self.table.rev and self._may_push(now, sub):
                if not silent and known.member.state != membership.DOWN:
                    self._push(now, sub, known.member, offer)

    # Servers ------------------------------------------------------------------------------

    def heartbeat(self, now: float, told: Server, done: Callable[[bool], object]) -> None:
        """A server's beat; ``done`` is called when it may be acknowledged, with False where it can't be
        now: while this machine is cut off, so that the server turns to one that others hear."""
        changed = self.registry.heard(now, told, True)
        known = self.registry.of.get(told.id)
        if known is None:
            done(False)
            return
        if changed:
            self._server(told.id)
        if known.server.state == servers.DRAINING and told.state == servers.DRAINING:
            self._acknowledge_when_known(now, known.server, done)
            return
        if changed:
            self._tell_core(now, RowsHeard(members=[], servers=[(told.id, known.server.row())]))
        done(not self.fenced(now))

    def leave(self, now: float, name: str, done: Callable[[bool], object]) -> None:
        """A server has ended in order."""
        if self.registry.gone(now, name):
            self._server(name)
        known = self.registry.of.get(name)
        if known is None:
            done(True)
        else:
            self._acknowledge_when_known(now, known.server, done)

    def _acknowledge_when_known(self, now: float, server: Server, done: Callable[[bool], object]) -> None:
        self.last_ask += 1
        until = now + ACKNOWLEDGE_MS
        acknowledgement = PendingAcknowledgement(server.row(), server.id, done, until, {self.me.disk})
        self.pending[self.last_ask] = acknowledgement
        self._ask_core(now, self.last_ask, acknowledgement)
        self._settle(self.last_ask, acknowledgement)

    def _ask_core(self, now: float, number: int, acknowledgement: PendingAcknowledgement) -> None:
        servers = [(acknowledgement.key, acknowledgement.row)]
        self._tell_core(now, RowsHeard(members=[], servers=servers, ask=number, life=self.me.life))

    def rows_known(self, message: RowsKnown) -> None:
        """Another core machine has a change in its memory."""
        acknowledgement = self.pending.get(message.ask)
        if acknowledgement is not None and message.life == self.me.life:
            acknowledgement.by.add(message.disk)
            self._settle(message.ask, acknowledgement)

    def _settle(self, number: int, acknowledgement: PendingAcknowledgement) -> None:
        core_machines = self.members.core_machines
        voters = self.voters or {heard.member.disk: node for node, heard in core_machines.items()}
        if len(acknowledgement.by & voters.keys()) * 2 > len(voters):
            del self.pending[number]
            acknowledgement.done(True)

    # Other core machines ------------------------------------------------------------------

    def rows_heard(self, now: float, message: RowsHeard) -> None:
        """Rows that another core machine has just heard."""
        self._merge(now, message.members, message.servers, True)
        if message.ask is not None:
            known = RowsKnown(ask=message.ask, life=message.life, disk=self.me.disk)
            self.out.append((message.address, known))

    def _merge(self, now: float, members: Rows, servers: Rows, fresh: bool) -> None:
        for node, row in members:
            if self.members.heard(now, member_of(node, row), False, fresh):
                self._member(node)
        for name, row in servers:
            if self.registry.heard(now, server_of(name, row), False, fresh):
                self._server(name)

    def sync(self, now: float, message: Sync) -> None:
        """Another core machine's regular message: whom it hears, and its digests."""
        sender = member_of(message.sender, message.me)
        echo = Synced(disk=self.me.disk, life=sender.life, sent_at=message.sent_at)
        self.out.append((message.address, echo))
        self.told_of(now, sender, False)
        if message.ready:
            self.ready_cores[sender.node] = now
        self.met = True
        for node, life in message.lives:
            if self.members.renewed(now, node, life):
                self._member(node)
        for name, sequence in message.sequences:
            if self.registry.renewed(now, name, sequence):
                self._server(name)
        mine, theirs = self._digests(), dict(enumerate(message.digests))
        differ = [r for r in range(RANGES) if mine[r] != theirs.get(r)]
        if differ:
            ranges = self._ranges(now, differ, compared=sender.life, again=True)
            self.out.append((message.address, ranges))
        elif message.ready:
            self.ready = True

    def synced(self, message: Synced) -> None:
        """Another core machine echoes the time at which a message of this life was sent."""
        if message.life == self.me.life:
            before = self.echoed.get(message.disk, self.born)
            self.echoed[message.disk] = max(before, message.sent_at)

    def ranges(self, now: float, message: Ranges) -> None:
        """All rows that another core machine has in some ranges: the newer of each stays.

        If its table may be told, then so may this one's: in all other ranges the two were the same, in this
        life of this machine. To wait for equal digests could take long, as each machine drops old rows from
        its own by itself."""
        self._merge(now, message.members, message.servers, False)
        if message.ready and message.compared == self.me.life:
            self.ready = True
        if message.again:
            ranges = self._ranges(now, message.ranges, compared=message.life, again=False)
            self.out.append((message.address, ranges))

    def _ranges(self, now: float, ranges: Iterable[int], compared: int, again: bool) -> Ranges:
        wanted = set(ranges)
        members = {n: h.member for n, h in self.members.of.items() if not h.old}
        known = {n: k.server for n, k in self.registry.of.items() if not k.old}
        return Ranges(
            ranges=sorted(wanted),
            life=self.me.life,
            compared=compared,
            ready=self._may_tell(now),
            again=again,
            members=[(n, member.row()) for n, member in members.items() if range_of(n) in wanted],
            servers=[(n, server.row()) for n, server in known.items() if range_of(n) in wanted],
        )

    def _digests(self) -> list[str]:
        if self.digests is None:
            hashes = [xxhash.xxh3_64() for _ in range(RANGES)]
            for node in sorted(n for n, h in self.members.of.items() if not h.old):
                m = self.members.of[node].member
                state = membership.LEAVING if m.state == membership.LEAVING else membership.UP
                hashes[range_of(node)].update(f"{node} {m.life} {state} {m.number} {m.granted};".encode())
            for name in sorted(n for n, k in self.registry.of.items() if not k.old):
                s = self.registry.of[name].server
                hashes[range_of(name)].update(f"{name} {s.state} {s.address} {s.cold > 0};".encode())
            self.digests = [h.hexdigest() for h in hashes]
        return self.digests

    def _may_tell(self, now: float) -> bool:
        return self.ready and not self.fenced(now)

    def _sync_out(self, now: float) -> None:
        last, self.synced_at = max(self.synced_at, self.born), now
        heard = [(n, h.member.life) for n, h in self.members.of.items() if h.direct >= last]
        beats = [(n, k.server.sequence) for n, k in self.registry.of.items() if k.direct >= last]
        for start in range(0, max(1, len(heard), len(beats)), SYNC_BATCH):
            part = slice(start, start + SYNC_BATCH)
            sync = Sync(
                me=self.me.row(),
                ready=self._may_tell(now),
                sent_at=now,
                lives=heard[part],
                sequences=beats[part],
                digests=self._digests(),
            )
            self._tell_core(now, sync)

    # Time ---------------------------------------------------------------------------------

    def tick(
        self, now: float, me: Member, voters: Mapping[str, str], epoch: int | None, offer: Offer
    ) -> None:
        """Called every 50 ms or so; ``epoch`` where this one has the leader's duty, ``offer``: the newest
        configuration."""
        self.me, self.voters = me, voters
        self.echoed = {disk: at for disk, at in self.echoed.items() if disk in voters}
        self.told_of(now, me, True)
        if now - self.synced_at >= SYNC_PART * self.alone_ms:
            for node in self.members.expire(now):
                self._member(node)
            for name in self.registry.expire(now):
                self._server(name)
            if epoch is not None:
                for node in self.members.number(epoch):
                    self._member(node)
                    row = self.members.of[node].member.row()
                    self._tell_core(now, RowsHeard(members=[(node, row)], servers=[]))
            self._sync_out(now)
        for number, acknowledgement in list(self.pending.items()):
            if now >= acknowledgement.until:
                del self.pending[number]
                acknowledgement.done(False)
        if (
            not self.ready
            and now - self.born > (MEET_MS if self.met else WAIT_MS)
            and not any(now - at < self.present_ms for at in self.ready_cores.values())
        ):
            # Nobody knows more.  Limiters keep for a while what a former home knew and this one does not.
            self.ready = True
        self.push(now, offer)
