"""One limiter's part in the control plane: what it knows of the others, and where calls of servers and
operators go.

Without I/O: messages come in by ``heard`` and leave by ``send``, time is an argument, and calls are answered
through ``done``. A core machine settles servers' calls itself while it is in contact with a majority of the
core, and operators' calls while it leads; all other calls are passed on, to the home or to the leader.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from attrs import evolve

from larklb.consensus.interface import Answer
from larklb.consensus.timing import Timing
from larklb.gateway.control import UNAVAILABLE, OperatorRequest
from larklb.gateway.core import Core
from larklb.gateway.forwarding import After, CallForwarder
from larklb.gateway.messages import (
    CallAnswer,
    CallResult,
    Configuration,
    ConfigurationOffer,
    ControlMessage,
    Fetch,
    ForwardedCall,
    Message,
    OperatorCall,
    Peek,
    Raft,
    ServerCall,
)
from larklb.gateway.settings import Settings
from larklb.membership.members import LEAVING, UP, Member, member_from_row
from larklb.membership.messages import Rows
from larklb.registry.messages import (
    Cores,
    Delta,
    DeltaAck,
    Hello,
    MemberHeartbeat,
    NotReady,
    RangeRows,
    RowsAck,
    RowsUpdate,
    Sync,
    SyncAck,
)
from larklb.registry.registry import Server, server_from_row
from larklb.registry.replica import RegistryReplica
from larklb.registry.subscriber import Subscriber

log = logging.getLogger("control")

FETCH_MS = 300.0  # after a configuration was asked for and did not come
PEEK_MS = 1_000.0  # between looks at another core machine than the home
MOST_HOPS = 3  # of a call that is passed on: to the home, to the leader, and to the next leader
UNCONFIRMED_PART = 0.5  # of contactMs: then a core machine that hears no leader uses its disk's version

Done = Callable[[CallResult], object]


class ControlPlane:
    """Of one life of a process.

    ``take`` gets each configuration that may be put in force here, ``version`` tells the one that is;
    ``changed`` is called after members or servers have changed."""

    def __init__(
        self,
        settings: Settings,
        me: Member,
        session: str,
        now: float,
        *,
        send: Callable[[str, Message], object],
        after: After,
        apply_configuration: Callable[[dict[str, Any]], object],
        current_version: Callable[[], int],
        on_change: Callable[[], object],
        rng: random.Random,
    ) -> None:
        self.settings, self.send, self.apply_configuration, self.current_version, self.rng = (
            settings,
            send,
            apply_configuration,
            current_version,
            rng,
        )
        self.started_at = now
        self.core: Core | None = None
        scale = Timing.from_bounds(settings.bounds.contact_ms, settings.bounds.convergence_ms).scale
        seeds = [host for host, _ in settings.seeds]
        self.subscriber = Subscriber(me, seeds, time_scale=scale, on_change=on_change)
        self.forwarder = CallForwarder(session, send, after)
        self.fetched_at = self.peeked_at = float("-inf")

    # The loop's turn ----------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Called every 50 ms at a core machine, every 100 ms at others."""
        if self.core is not None:
            self.core.tick(now, self.subscriber.local_member)
            self.core.flush()
            for heard in self.core.home.present_cores(now):  # so that whoever asks here learns of them
                self.subscriber.add_core(heard.last_heard, heard.member)
            self._take_own(now, self.core)
        self.subscriber.tick(now)
        self.flush()
        if self.subscriber.offered_config[0] > self.current_version():
            self._fetch(now, self.subscriber.home_ip())
        if now - self.peeked_at >= PEEK_MS:
            self.peeked_at = now
            if other := self.subscriber.other_core_ip(now, self.rng.random()):
                self.send(other, Peek())  # a home that is cut off offers nothing new

    def _take_own(self, now: float, core: Core) -> None:
        """What the disk holds serves here once a leader has confirmed it; behind a cut it is the last good
        one, and better than none, but only here: nobody else is told."""
        if core.replica.current is None:
            return
        patience = UNCONFIRMED_PART * self.settings.bounds.contact_ms
        if core.replica.confirmed or now - self.started_at >= patience:
            self.apply_configuration(core.replica.current)

    def flush(self) -> None:
        """Sends what the subscriber has to say."""
        out, self.subscriber.outbox = self.subscriber.outbox, []
        for ip, message in out:
            self.send(ip, message)

    def leave(self, now: float) -> None:
        """The process is about to end in order: the others are told, and another machine leads."""
        self.subscriber.local_member = evolve(self.subscriber.local_member, state=LEAVING)
        self.subscriber.send_heartbeat(now)
        self.flush()
        if self.core is not None:
            self.core.leave(now)

    # Messages of other limiters -----------------------------------------------------------

    def handle_message(self, now: float, message: ControlMessage) -> None:
        """KeyError, TypeError or ValueError where a row in the message can't be used."""
        match message:
            case Delta():
                self.subscriber.handle_delta(now, message)
                if self.subscriber.offered_config[0] > self.current_version():
                    self._fetch(now, message.address)
            case NotReady():
                self.subscriber.handle_not_ready(now, message)
            case ConfigurationOffer():
                if message.offer[0] > self.current_version():
                    self._fetch(now, message.address)
            case Hello():
                self.subscriber.handle_hello(now, message)
                self._meet(now, [(message.sender, message.member)])
            case Cores():
                self.subscriber.handle_cores(now, message)
                self._meet(now, message.cores)
            case Configuration():
                self.apply_configuration(message.document)
            case ServerCall():
                self._server_called(now, message)
            case OperatorCall():
                self._operator_called(now, message)
            case CallAnswer():
                self.forwarder.handle_answer(message)
            case _:
                if self.core is not None:
                    self._heard_at_core(now, message, self.core)
        self.flush()

    def _heard_at_core(self, now: float, message: ControlMessage, core: Core) -> None:
        home = core.home
        match message:
            case Raft():
                core.step(now, message.disk, message.message)
            case MemberHeartbeat():
                home.handle_heartbeat(now, message, core.offer)
            case DeltaAck():
                home.handle_delta_ack(message)
            case RowsUpdate():
                home.handle_rows_update(now, message)
            case RowsAck():
                home.handle_rows_ack(message)
            case Sync():
                home.handle_sync(now, message)
            case SyncAck():
                home.handle_sync_ack(message)
            case RangeRows():
                home.handle_range_rows(now, message)
            case Peek() if core.may_serve_configuration(now):
                self.send(message.address, ConfigurationOffer(offer=core.offer))
            case Fetch() if core.replica.current is not None and core.may_serve_configuration(now):
                self.send(message.address, Configuration(document=core.replica.current))
        home.push(now, core.offer)
        core.flush()

    def _meet(self, now: float, rows: Rows) -> None:
        if self.core is None:
            return
        for node, row in rows:
            member = member_from_row(node, row)
            if member.disk:
                self.core.home.add_core(now, member)

    def _fetch(self, now: float, ip: str) -> None:
        if now - self.fetched_at < FETCH_MS:
            return
        self.fetched_at = now
        if ip and ip != self.settings.ip:
            self.send(ip, Fetch())

    # Calls of servers ---------------------------------------------------------------------

    def server_call(self, now: float, call: Server | str, done: Done) -> None:
        """A server's beat, or the id of one that leaves: settled by a core machine, this one or the home."""
        core, home = self.core, self.subscriber.home_ip()
        if core is not None and (core.home.ready or not home or home == self.settings.ip):
            if not core.home.fenced(now):
                self._settle_server(now, core.home, call, done)
                return
        if not home or home == self.settings.ip:
            done(UNAVAILABLE)
            return
        if isinstance(call, Server):
            self._pass_on(home, ServerCall(id=call.id, row=call.to_row()), done)
        else:
            self._pass_on(home, ServerCall(id=call, row=None), done)

    def _settle_server(self, now: float, home: RegistryReplica, call: Server | str, done: Done) -> None:
        assert self.core is not None

        def settle(known: bool) -> None:
            done(CallResult(200, report_to=self._home_of(call)) if known else UNAVAILABLE)

        if isinstance(call, Server):
            home.server_heartbeat(now, call, settle)
        else:
            home.server_leave(now, call, settle)
        home.push(now, self.core.offer)
        self.core.flush()

    def _home_of(self, call: Server | str) -> str:
        """Where a server's later beats go: a core machine of its zone, this one if there is none."""
        assert self.settings.control is not None
        port = self.settings.control[1]
        if isinstance(call, Server) and call.zone != self.settings.zone:
            members = self.subscriber.members.values()
            near = [m for m in members if m.disk and m.zone == call.zone and m.state == UP]
            if near:
                return f"{min(near, key=lambda m: m.node).ip}:{port}"
        return f"{self.settings.ip}:{port}"

    # Calls of operators -------------------------------------------------------------------

    def operator_call(self, now: float, order: OperatorRequest, done: Done, hops: int = 0) -> None:
        """An operator's call: settled by the leader, this one or another; ``hops``: how often it was passed
        on."""
        if self.core is not None and self.core.replica.is_leader:
            self._settle_operator(now, self.core, order, done)
            return
        if self.core is not None and self.core.home.fenced(now):
            done(UNAVAILABLE)  # nobody would hear it, or its answer would come too late
            return
        ip = self.core.leader_ip() if self.core is not None else self.subscriber.home_ip()
        if not ip or ip == self.settings.ip or hops >= MOST_HOPS:
            done(UNAVAILABLE)
            return
        call = OperatorCall(kind=order.kind, base=order.base, body=order.body, hops=hops + 1)
        self._pass_on(ip, call, done)

    @staticmethod
    def _settle_operator(now: float, core: Core, order: OperatorRequest, done: Done) -> None:
        def settle(answer: Answer) -> None:
            done(CallResult(answer.status, answer.text, answer.document, problems=answer.problems))

        core.call(now, order.kind, order.base, order.body, settle)

    # Passing on ---------------------------------------------------------------------------

    def _pass_on(self, ip: str, call: ForwardedCall, done: Done) -> None:
        def answered(answer: CallAnswer | None) -> None:
            done(UNAVAILABLE if answer is None else answer.result)

        self.forwarder.forward(ip, call, answered)

    def _server_called(self, now: float, call: ServerCall) -> None:
        server = server_from_row(call.id, call.row) if call.row is not None else call.id
        self.server_call(now, server, self._answers(call))

    def _operator_called(self, now: float, call: OperatorCall) -> None:
        order = OperatorRequest(call.kind, call.base, call.body)
        self.operator_call(now, order, self._answers(call), call.hops)

    def _answers(self, call: ForwardedCall) -> Done:
        """What sends the answer to the limiter that passed a call on."""

        def done(result: CallResult) -> None:
            self.send(call.address, result.answer_to(call))

        return done
