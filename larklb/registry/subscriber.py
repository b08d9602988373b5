"""A limiter's subscription to the registry.

A limiter learns of the other limiters and of servers from its home, which is the first core machine of its
preference order that is alive.

There is no I/O: messages are passed in, messages to be sent are collected in ``outbox`` with their address,
and the current time in ms is an argument.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from larklb.membership.members import HEARTBEAT_INTERVAL_MS, LEAVING, UP, Member, home_order, member_from_row
from larklb.membership.messages import Row, Rows
from larklb.registry.messages import ConfigVersion, Cores, Delta, DeltaAck, Hello, MemberHeartbeat, NotReady
from larklb.registry.registry import FORGET_MS, STEADY, Server, merge_servers, server_from_row
from larklb.registry.replica import Outgoing

# Time between messages to the seeds until the table of a home is complete.
HELLO_INTERVAL_MS = 120.0
# The same afterwards.  Only core machines go on sending, so that other limiters can find them.
HELLO_WITH_HOME_INTERVAL_MS = 2_000.0
# Without a message from the home for this long, another one is tried: two heartbeats were not answered.
HOME_TIMEOUT_MS = 1_100.0
# A home that timed out is not tried again for this long.
HOME_RETRY_MS = 2_500.0
# Rows of a former home that a new home lacks are kept for this long, because it may still receive them.
UNCONFIRMED_TTL_MS = 5_000.0
# The same for servers that are draining or gone, so that a late heartbeat doesn't bring one back at a home
# that doesn't know of its departure; the time for which core machines remember them.
UNCONFIRMED_DEPARTURE_TTL_MS = FORGET_MS
# A core machine that wasn't heard of for this long can't become the home.
CORE_TTL_MS = 30_000.0


@define
class CoreCandidate:
    """A core machine as a possible home."""

    member: Member
    last_heard: float
    excluded_until: float = -math.inf


@define
class Subscriber:
    """The subscription of one incarnation of a limiter."""

    local_member: Member
    # Addresses of limiters that may know core machines.
    seeds: list[str]
    # Factor of the times above, less than 1 if the contact bound is below 3 s; see ``consensus.timing``.
    time_scale: float = 1.0
    outbox: Outgoing = field(factory=list)
    cores: dict[str, CoreCandidate] = field(factory=dict)
    home: str = ""
    home_incarnation: int = 0
    # The revision of the home's table up to which all changes are applied.
    revision: int = 0
    # Whether the whole table of this home has been received.
    complete: bool = False
    # The same for any home since the start.
    ever_complete: bool = False
    home_heard_at: float = -math.inf
    last_heartbeat_at: float = -math.inf
    last_hello_at: float = -math.inf
    members: dict[str, Member] = field(factory=dict)
    servers: dict[str, Server] = field(factory=dict)
    # Rows of a former home that the present one lacks, with the time at which they are dropped.
    unconfirmed_servers: dict[str, float] = field(factory=dict)
    unconfirmed_members: dict[str, float] = field(factory=dict)
    # The rows that have been received until the table of a new home is complete.
    loading_servers: dict[str, Server] = field(factory=dict)
    loading_members: dict[str, Member] = field(factory=dict)
    offered_config: ConfigVersion = (0, "")
    # Called after members or servers have changed.
    on_change: Callable[[], object] = bool

    # Core machines ------------------------------------------------------------------------

    def add_core(self, now: float, member: Member) -> None:
        """Notes that a core machine exists, as a candidate for the home."""
        known = self.cores.get(member.node)
        if known is None:
            self.cores[member.node] = CoreCandidate(member, now)
        else:
            if member.incarnation >= known.member.incarnation:
                if member.incarnation > known.member.incarnation:
                    known.excluded_until = -math.inf
                known.member = member
            known.last_heard = max(known.last_heard, now)

    def handle_hello(self, now: float, message: Hello) -> None:
        """Answers a limiter that looks for core machines with those that are known here."""
        sender = member_from_row(message.sender, message.member)
        if sender.disk:
            self.add_core(now, sender)
        self.outbox.append((message.address, Cores(cores=self._known_cores(now))))

    def handle_cores(self, now: float, message: Cores) -> None:
        """Adds the core machines that another limiter knows, and tries one if there is no home."""
        for node, row in message.cores:
            if node not in self.cores:
                self.add_core(now, member_from_row(node, row))
        if not self.home:
            self.tick(now)

    def _known_cores(self, now: float) -> Rows:
        if self.local_member.disk:
            self.add_core(now, self.local_member)
        return [(n, c.member.to_row()) for n, c in self.cores.items() if now - c.last_heard < CORE_TTL_MS]

    def _reported_up(self, node: str) -> bool:
        """Whether the last home that reported a member had it as up.

        A home reports each member once, and again only after a change, so that a core machine may be up
        although it was last heard of long ago."""
        member = self.members.get(node)
        return member is not None and member.state == UP

    def _reported_down(self, node: str) -> bool:
        """Whether the last home that reported a member had it as down or leaving."""
        member = self.members.get(node)
        return member is not None and member.state != UP

    def _next_home(self, now: float) -> str:
        candidates = {
            n: c for n, c in self.cores.items() if now - c.last_heard < CORE_TTL_MS or self._reported_up(n)
        }
        ranked = home_order(
            self.local_member.node, self.local_member.zone, (c.member for c in candidates.values())
        )
        eligible = [m.node for m in ranked if candidates[m.node].excluded_until <= now]
        if eligible:
            # Trying a core machine that is down costs the home timeout, so it is the last resort.
            return next((node for node in eligible if not self._reported_down(node)), eligible[0])
        return min(ranked, key=lambda m: candidates[m.node].excluded_until).node if ranked else ""

    # Heartbeats ---------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Does the periodic work: sends heartbeats and changes the home; called every 50 to 100 ms."""
        if self.local_member.disk:
            self.add_core(now, self.local_member)
        interval = HELLO_WITH_HOME_INTERVAL_MS if self.complete else HELLO_INTERVAL_MS
        if (not self.complete or self.local_member.disk) and now - self.last_hello_at >= interval:
            self.last_hello_at = now
            hello = Hello(member=self.local_member.to_row())
            self.outbox.extend((seed, hello) for seed in self.seeds if seed != self.local_member.ip)
        if self.home and now - self.home_heard_at > self.time_scale * HOME_TIMEOUT_MS:
            if self.home in self.cores:
                self.cores[self.home].excluded_until = now + self.time_scale * HOME_RETRY_MS
            self._switch_home(now, self._next_home(now))
        elif not self.home:
            self._switch_home(now, self._next_home(now))
        elif now - self.last_heartbeat_at >= self.time_scale * HEARTBEAT_INTERVAL_MS:
            best = self._next_home(now)  # a preferred core machine may be back
            if best and best != self.home:
                self._switch_home(now, best)
        if self.home and now - self.last_heartbeat_at >= self.time_scale * HEARTBEAT_INTERVAL_MS:
            self.send_heartbeat(now)
        changed = False
        unconfirmed: dict[str, float]
        table: dict[str, Any]
        for unconfirmed, table in (
            (self.unconfirmed_servers, self.servers),
            (self.unconfirmed_members, self.members),
        ):
            for name in [name for name, until in unconfirmed.items() if now >= until]:
                del unconfirmed[name]
                changed = table.pop(name, None) is not None or changed
        if changed:
            self.on_change()

    def _switch_home(self, now: float, node: str) -> None:
        if node == self.home and node:
            self.home_heard_at = now
            return
        self.home, self.home_incarnation, self.revision, self.complete = node, 0, 0, False
        self.loading_servers, self.loading_members = {}, {}
        self.home_heard_at, self.last_heartbeat_at = now, -math.inf

    def send_heartbeat(self, now: float) -> None:
        """Sends the home this limiter's row and the revision that it has."""
        if self.home not in self.cores:
            return
        self.last_heartbeat_at = now
        table_id = (self.home, self.home_incarnation)
        heartbeat = MemberHeartbeat(member=self.local_member.to_row(), of=table_id, have=self.revision)
        self.outbox.append((self.cores[self.home].member.ip, heartbeat))

    def other_core_ip(self, now: float, fraction: float) -> str:
        """Returns the address of a core machine other than the home, or "" if none is known.

        ``fraction``, which is random and in [0, 1), selects it."""
        others = sorted(
            c.member.ip
            for n, c in self.cores.items()
            if n not in (self.home, self.local_member.node) and now - c.last_heard < CORE_TTL_MS
        )
        return others[int(fraction * len(others))] if others else ""

    def home_ip(self) -> str:
        """Returns the address of the home, or "" if there is none."""
        return self.cores[self.home].member.ip if self.home in self.cores else ""

    # Messages of the home -----------------------------------------------------------------

    def _note_home_message(self, now: float, sender: str) -> bool:
        """Notes the arrival of a message and returns whether it came from the home."""
        if sender != self.home:
            return False
        self.home_heard_at = now
        if self.home in self.cores:
            self.cores[self.home].last_heard = now
        return True

    def handle_not_ready(self, now: float, message: NotReady) -> None:
        """Turns to another home, if there is one, because this one can't serve its table."""
        if not self._note_home_message(now, message.sender):
            return
        if any(c.excluded_until <= now for n, c in self.cores.items() if n != self.home):
            self.cores[self.home].excluded_until = now + self.time_scale * HOME_RETRY_MS / 2
            self._switch_home(now, self._next_home(now))

    def handle_delta(self, now: float, message: Delta) -> None:
        """Applies changes of the home's table; an empty delta only shows that the home is alive.

        Raises KeyError, TypeError or ValueError if a row is malformed."""
        if not self._note_home_message(now, message.sender):
            return
        incarnation, start = message.incarnation, message.start_revision
        # A delta from revision 0 replaces the whole table; another incarnation of the home has another table.
        if incarnation != self.home_incarnation or not start and self.revision:
            if start:
                return  # the beginning of this incarnation's table hasn't arrived yet
            self.home_incarnation, self.revision, self.complete = incarnation, 0, False
            self.loading_servers, self.loading_members = {}, {}
        ring_number, grant, known_incarnation = message.you
        # The home knows a higher incarnation if the clock of this node was set back before the last start.
        if known_incarnation > self.local_member.incarnation:
            self.local_member = evolve(self.local_member, incarnation=known_incarnation + 1)
        if grant > self.local_member.grant:
            self.local_member = evolve(self.local_member, ring_number=ring_number, grant=grant)
        if message.config[0] > self.offered_config[0]:
            self.offered_config = message.config
        if start != self.revision:
            return
        for kind, key, row in message.rows:
            self._apply_row(now, kind, key, row)
        # Only after all rows were parsed, so that a delta with a malformed row is sent again.
        self.revision = message.to
        if self.revision >= message.head and not self.complete:
            self._complete_table(now)
        if message.rows:
            ack = DeltaAck(of=(self.home, self.home_incarnation), have=self.revision)
            self.outbox.append((self.home_ip(), ack))
            if self.complete:
                self.on_change()

    def _apply_row(self, now: float, kind: str, key: str, row: Row | None) -> None:
        if kind == "m":
            members = self.members if self.complete else self.loading_members
            if row is None:
                members.pop(key, None)
                return
            member = members[key] = member_from_row(key, row)
            self.unconfirmed_members.pop(key, None)
            if member.disk and member.state == UP:
                self.add_core(now, member)
            elif member.state == LEAVING and key in self.cores and key != self.local_member.node:
                # It is about to end; ``add_core`` lifts the exclusion for its next incarnation.
                self.cores[key].excluded_until = math.inf
        elif kind == "s":
            table = self.servers if self.complete else self.loading_servers
            if row is None:
                table.pop(key, None)
                return
            server = server_from_row(key, row)
            if key in self.servers:  # a drain that a former home has reported remains in force
                server = evolve(
                    merge_servers(server, self.servers[key]),
                    silent=server.silent,
                    warmup_left_ms=server.warmup_left_ms,
                )
            table[key] = server
            self.unconfirmed_servers.pop(key, None)

    def _complete_table(self, now: float) -> None:
        """Puts the new home's table in use, together with the rows of the former one that it lacks."""
        for name, server in self.servers.items():
            if name not in self.loading_servers:
                self.loading_servers[name] = server
                ttl_ms = self.time_scale * UNCONFIRMED_TTL_MS
                if server.state != STEADY:
                    ttl_ms = UNCONFIRMED_DEPARTURE_TTL_MS
                self.unconfirmed_servers.setdefault(name, now + ttl_ms)
        for node, member in self.members.items():
            if node not in self.loading_members:
                self.loading_members[node] = member
                self.unconfirmed_members.setdefault(node, now + self.time_scale * UNCONFIRMED_TTL_MS)
        self.servers, self.members = self.loading_servers, self.loading_members
        self.loading_servers, self.loading_members = {}, {}
        self.complete = self.ever_complete = True
        self.on_change()

    def nodes_by_ring_number(self) -> dict[int, str]:
        """Returns the nodes of the limiters that are up, by ring number."""
        nodes: dict[int, str] = {}
        for node, member in self.members.items():
            if member.ring_number >= 0 and member.state == UP and node <= nodes.get(member.ring_number, node):
                nodes[member.ring_number] = node
        return nodes
