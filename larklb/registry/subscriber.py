"""How a limiter learns of the others and of servers: from its home, the first live core machine in its order.

Messages in, messages out; time is an argument in ms.  ``out`` collects what is to be sent, with its address.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from larklb.membership.members import HEARTBEAT_INTERVAL_MS, LEAVING, UP, Member, home_order, member_from_row
from larklb.membership.messages import Row, Rows
from larklb.registry.messages import ConfigVersion, Cores, Delta, DeltaAck, Hello, MemberHeartbeat, NotReady
from larklb.registry.registry import GONE, Server, merge_servers, server_from_row
from larklb.registry.replica import Outgoing

HELLO_INTERVAL_MS = 120.0  # between messages to the seeds while there is no home, ...
HELLO_WITH_HOME_INTERVAL_MS = 2_000.0  # ... and while there is one, from a core machine: others must find it
HOME_TIMEOUT_MS = 1_100.0  # without a message, two beats lost, until another home is tried
HOME_RETRY_MS = 2_500.0  # a home that was silent is not tried again for so long
UNCONFIRMED_TTL_MS = 5_000.0  # what a new home does not know is kept for so long: it may know more soon
CORE_TTL_MS = 30_000.0  # a core machine of which nothing was heard for so long is no home


@define
class CoreCandidate:
    """A core machine as a possible home."""

    member: Member
    last_heard: float
    excluded_until: float = -math.inf


@define
class Subscriber:
    """Of one life of a limiter."""

    local_member: Member
    seeds: list[str]  # addresses of limiters that may know core machines
    time_scale: float = (
        1.0  # of the times below: less than 1 where machines count as in touch sooner than 3 s
    )
    outbox: Outgoing = field(factory=list)
    cores: dict[str, CoreCandidate] = field(factory=dict)
    home: str = ""
    home_incarnation: int = 0  # of the home
    revision: int = 0
    complete: bool = False  # the table of this home has been seen to its end
    ever_complete: bool = False  # ... or of any home
    home_heard_at: float = -math.inf  # a message of the home
    last_heartbeat_at: float = -math.inf
    last_hello_at: float = -math.inf
    members: dict[str, Member] = field(factory=dict)
    servers: dict[str, Server] = field(factory=dict)
    unconfirmed_servers: dict[str, float] = field(factory=dict)  # servers, and until when
    unconfirmed_members: dict[str, float] = field(factory=dict)
    loading_servers: dict[str, Server] = field(factory=dict)  # while a table is seen for the first time
    loading_members: dict[str, Member] = field(factory=dict)
    offered_config: ConfigVersion = (0, "")
    on_change: Callable[[], object] = bool  # called after members or servers have changed

    # Core machines ------------------------------------------------------------------------

    def add_core(self, now: float, member: Member) -> None:
        """A core machine was heard of."""
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
        """Another limiter looks for core machines."""
        told = member_from_row(message.sender, message.member)
        if told.disk:
            self.add_core(now, told)
        self.outbox.append((message.address, Cores(cores=self._known_cores(now))))

    def handle_cores(self, now: float, message: Cores) -> None:
        """Core machines that another limiter knows."""
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
        """Whether the home told of it as up: it says so once, and again only when that changes."""
        member = self.members.get(node)
        return member is not None and member.state == UP

    def _reported_down(self, node: str) -> bool:
        """Whether the last home that told of it took it for down, or about to end."""
        member = self.members.get(node)
        return member is not None and member.state != UP

    def _next_home(self, now: float) -> str:
        known = {
            n: c for n, c in self.cores.items() if now - c.last_heard < CORE_TTL_MS or self._reported_up(n)
        }
        ranked = home_order(
            self.local_member.node, self.local_member.zone, (c.member for c in known.values())
        )
        free = [m.node for m in ranked if known[m.node].excluded_until <= now]
        if free:
            # One that is down costs the time until it counts as silent: only where no other is left.
            return next((node for node in free if not self._reported_down(node)), free[0])
        return min(ranked, key=lambda m: known[m.node].excluded_until).node if ranked else ""

    # Beats --------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Called every 50 ms or so."""
        if self.local_member.disk:
            self.add_core(now, self.local_member)
        every = HELLO_WITH_HOME_INTERVAL_MS if self.complete else HELLO_INTERVAL_MS
        if (not self.complete or self.local_member.disk) and now - self.last_hello_at >= every:
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
            best = self._next_home(now)  # the first in the order is back
            if best and best != self.home:
                self._switch_home(now, best)
        if self.home and now - self.last_heartbeat_at >= self.time_scale * HEARTBEAT_INTERVAL_MS:
            self.send_heartbeat(now)
        changed = False
        kept: dict[str, float]
        table: dict[str, Any]
        for kept, table in (
            (self.unconfirmed_servers, self.servers),
            (self.unconfirmed_members, self.members),
        ):
            for name in [name for name, until in kept.items() if now >= until]:
                del kept[name]
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
        """Tells the home of this limiter, and what it has."""
        if self.home not in self.cores:
            return
        self.last_heartbeat_at = now
        of = (self.home, self.home_incarnation)
        beat = MemberHeartbeat(member=self.local_member.to_row(), of=of, have=self.revision)
        self.outbox.append((self.cores[self.home].member.ip, beat))

    def other_core_ip(self, now: float, chance: float) -> str:
        """The address of some core machine beside the home, empty where none is known."""
        others = sorted(
            c.member.ip
            for n, c in self.cores.items()
            if n not in (self.home, self.local_member.node) and now - c.last_heard < CORE_TTL_MS
        )
        return others[int(chance * len(others))] if others else ""

    def home_ip(self) -> str:
        """The home's address, empty where there is none."""
        return self.cores[self.home].member.ip if self.home in self.cores else ""

    # What comes back ----------------------------------------------------------------------

    def _note_home_message(self, now: float, sender: str) -> bool:
        """A message came; whether it is of the home."""
        if sender != self.home:
            return False
        self.home_heard_at = now
        if self.home in self.cores:
            self.cores[self.home].last_heard = now
        return True

    def handle_not_ready(self, now: float, message: NotReady) -> None:
        """The home sends its subscribers to another one that knows more, where there is one."""
        if not self._note_home_message(now, message.sender):
            return
        if any(c.excluded_until <= now for n, c in self.cores.items() if n != self.home):
            self.cores[self.home].excluded_until = now + self.time_scale * HOME_RETRY_MS / 2
            self._switch_home(now, self._next_home(now))

    def handle_delta(self, now: float, message: Delta) -> None:
        """The home's table has changed, or the home shows that it lives."""
        if not self._note_home_message(now, message.sender):
            return
        life, start = message.incarnation, message.start_revision
        if life != self.home_incarnation or not start and self.revision:
            if start:
                return  # of a life of which nothing is known yet
            self.home_incarnation, self.revision, self.complete = life, 0, False
            self.loading_servers, self.loading_members = {}, {}
        number, granted, known_life = message.you
        if (
            known_life > self.local_member.incarnation
        ):  # this node's clock went back: a former life looks newer
            self.local_member = evolve(self.local_member, incarnation=known_life + 1)
        if granted > self.local_member.grant:
            self.local_member = evolve(self.local_member, ring_number=number, grant=granted)
        if message.config[0] > self.offered_config[0]:
            self.offered_config = message.config
        if start != self.revision:
            return
        for kind, key, row in message.rows:
            self._apply_row(now, kind, key, row)
        self.revision = message.to  # not before: rows that can't be read are to come again
        if self.revision >= message.head and not self.complete:
            self._complete_table(now)
        if message.rows:
            has = DeltaAck(of=(self.home, self.home_incarnation), have=self.revision)
            self.outbox.append((self.home_ip(), has))
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
                self.cores[key].excluded_until = math.inf  # until its next life: it is about to end
        elif kind == "s":
            table = self.servers if self.complete else self.loading_servers
            if row is None:
                table.pop(key, None)
                return
            told = server_from_row(key, row)
            if key in self.servers:  # what a former home said of a drain holds
                told = evolve(
                    merge_servers(told, self.servers[key]), silent=told.silent, cold_ms=told.cold_ms
                )
            table[key] = told
            self.unconfirmed_servers.pop(key, None)

    def _complete_table(self, now: float) -> None:
        for name, server in self.servers.items():
            if name not in self.loading_servers and server.state != GONE:
                self.loading_servers[name] = server
                self.unconfirmed_servers.setdefault(name, now + self.time_scale * UNCONFIRMED_TTL_MS)
        for node, member in self.members.items():
            if node not in self.loading_members:
                self.loading_members[node] = member
                self.unconfirmed_members.setdefault(node, now + self.time_scale * UNCONFIRMED_TTL_MS)
        self.servers, self.members = self.loading_servers, self.loading_members
        self.loading_servers, self.loading_members = {}, {}
        self.complete = self.ever_complete = True
        self.on_change()

    def nodes_by_ring_number(self) -> dict[int, str]:
        """Ring numbers of the limiters that are up, with their nodes."""
        found: dict[int, str] = {}
        for node, member in self.members.items():
            if member.ring_number >= 0 and member.state == UP and node <= found.get(member.ring_number, node):
                found[member.ring_number] = node
        return found
