"""A limiter's part in the control plane: its view of the other limiters and of the servers, and the routing
of calls by servers and operators.

There is no I/O: messages come in by ``handle_message`` and go out by ``send``, the current time in ms is an
argument, and the results of calls are passed to ``done``. A limiter's *home* is the core machine from which
it learns of other limiters and servers. A core machine answers servers' calls itself while it is in contact
with a majority of the core, and operators' calls while it is the leader. All other calls are forwarded, to
the home or to the leader.
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

# A configuration that was requested and has not arrived is requested again after this time.
FETCH_RETRY_MS = 300.0
# Time between questions for the newest version to a core machine other than the home.
PEEK_INTERVAL_MS = 1_000.0
# A call may be forwarded to the home, from there to the leader, and from there to the next leader.
MAX_HOPS = 3
# A core machine without contact to a leader puts the version on its disk in force after this fraction of
# contactMs.
UNCONFIRMED_FRACTION = 0.5

Done = Callable[[CallResult], object]


class ControlPlane:
    """The control plane of one incarnation of a limiter.

    ``send`` sends a message to an address, ``after`` sets a timer in ms. ``apply_configuration`` is called
    with each configuration that may be put in force on this limiter, ``current_version`` returns the version
    in force, and ``on_change`` is called after members or servers have changed. ``core`` is set on core
    machines only."""

    def __init__(
        self,
        settings: Settings,
        local_member: Member,
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
        self.subscriber = Subscriber(local_member, seeds, time_scale=scale, on_change=on_change)
        self.forwarder = CallForwarder(session, send, after)
        self.last_fetch = self.last_peek = float("-inf")

    # Periodic work ------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Does the periodic work; called every 50 ms on a core machine, every 100 ms on other limiters."""
        if self.core is not None:
            self.core.tick(now, self.subscriber.local_member)
            self.core.flush()
            # The subscriber tells limiters that look for a core machine of these.
            for present in self.core.home.present_cores(now):
                self.subscriber.add_core(present.last_heard, present.member)
            self._apply_stored_configuration(now, self.core)
        self.subscriber.tick(now)
        self.flush()
        if self.subscriber.offered_config[0] > self.current_version():
            self._fetch(now, self.subscriber.home_ip())
        if now - self.last_peek >= PEEK_INTERVAL_MS:
            self.last_peek = now
            if other := self.subscriber.other_core_ip(now, self.rng.random()):
                # A home that is partitioned from the leader does not offer newer versions.
                self.send(other, Peek())

    def _apply_stored_configuration(self, now: float, core: Core) -> None:
        """Puts the configuration on the disk in force once a leader has confirmed it.

        Without contact to a leader it is used after a while all the same, as the last known one is better
        than none, but only on this limiter: it is not sent to others."""
        if core.replica.current is None:
            return
        unconfirmed_ms = UNCONFIRMED_FRACTION * self.settings.bounds.contact_ms
        if core.replica.confirmed or now - self.started_at >= unconfirmed_ms:
            self.apply_configuration(core.replica.current)

    def flush(self) -> None:
        """Sends the messages that the subscriber has collected."""
        out, self.subscriber.outbox = self.subscriber.outbox, []
        for ip, message in out:
            self.send(ip, message)

    def leave(self, now: float) -> None:
        """Prepares a graceful shutdown: tells the other limiters, and hands leadership to another machine."""
        self.subscriber.local_member = evolve(self.subscriber.local_member, state=LEAVING)
        self.subscriber.send_heartbeat(now)
        self.flush()
        if self.core is not None:
            self.core.leave(now)

    # Messages from other limiters ---------------------------------------------------------

    def handle_message(self, now: float, message: ControlMessage) -> None:
        """Handles a message of another limiter.

        Raises ``KeyError``, ``TypeError`` or ``ValueError`` if a row in the message is invalid."""
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
                self._add_cores(now, [(message.sender, message.member)])
            case Cores():
                self.subscriber.handle_cores(now, message)
                self._add_cores(now, message.cores)
            case Configuration():
                self.apply_configuration(message.document)
            case ServerCall():
                self._handle_server_call(now, message)
            case OperatorCall():
                self._handle_operator_call(now, message)
            case CallAnswer():
                self.forwarder.handle_answer(message)
            case _:
                if self.core is not None:
                    self._handle_core_message(now, message, self.core)
        self.flush()

    def _handle_core_message(self, now: float, message: ControlMessage, core: Core) -> None:
        """Handles a message that is meant for a core machine."""
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

    def _add_cores(self, now: float, rows: Rows) -> None:
        """Adds the core machines among these members to those that this core machine knows."""
        if self.core is None:
            return
        for node, row in rows:
            member = member_from_row(node, row)
            if member.disk:
                self.core.home.add_core(now, member)

    def _fetch(self, now: float, ip: str) -> None:
        """Requests the newest configuration, unless that was done recently."""
        if now - self.last_fetch < FETCH_RETRY_MS:
            return
        self.last_fetch = now
        if ip and ip != self.settings.ip:
            self.send(ip, Fetch())

    # Calls of servers ---------------------------------------------------------------------

    def server_call(self, now: float, call: Server | str, done: Done) -> None:
        """Applies a server's heartbeat, or the sign-off of the server with this id, on this core machine or
        on the home; ``done`` is called once with the result."""
        core, home = self.core, self.subscriber.home_ip()
        if core is not None and (core.home.ready or not home or home == self.settings.ip):
            if not core.home.fenced(now):
                self._settle_server(now, core.home, call, done)
                return
        if not home or home == self.settings.ip:
            done(UNAVAILABLE)
            return
        if isinstance(call, Server):
            self._forward(home, ServerCall(id=call.id, row=call.to_row()), done)
        else:
            self._forward(home, ServerCall(id=call, row=None), done)

    def _settle_server(self, now: float, home: RegistryReplica, call: Server | str, done: Done) -> None:
        assert self.core is not None

        def settle(acknowledged: bool) -> None:
            done(CallResult(200, report_to=self._report_address(call)) if acknowledged else UNAVAILABLE)

        if isinstance(call, Server):
            home.server_heartbeat(now, call, settle)
        else:
            home.server_leave(now, call, settle)
        home.push(now, self.core.offer)
        self.core.flush()

    def _report_address(self, call: Server | str) -> str:
        """Returns the control address for a server's further heartbeats: that of a core machine in its zone,
        or of this one if there is none."""
        assert self.settings.control is not None
        port = self.settings.control[1]
        if isinstance(call, Server) and call.zone != self.settings.zone:
            members = self.subscriber.members.values()
            in_zone = [m for m in members if m.disk and m.zone == call.zone and m.state == UP]
            if in_zone:
                return f"{min(in_zone, key=lambda m: m.node).ip}:{port}"
        return f"{self.settings.ip}:{port}"

    # Calls of operators -------------------------------------------------------------------

    def operator_call(self, now: float, request: OperatorRequest, done: Done, hops: int = 0) -> None:
        """Executes an operator's call on this machine if it is the leader, or forwards it.

        ``hops`` is how often the call has been forwarded; ``done`` is called once with the result."""
        if self.core is not None and self.core.replica.is_leader:
            self._settle_operator(now, self.core, request, done)
            return
        if self.core is not None and self.core.home.fenced(now):
            # No other machine would receive the call, or the answer would come too late.
            done(UNAVAILABLE)
            return
        ip = self.core.leader_ip() if self.core is not None else self.subscriber.home_ip()
        if not ip or ip == self.settings.ip or hops >= MAX_HOPS:
            done(UNAVAILABLE)
            return
        call = OperatorCall(kind=request.kind, base=request.base, body=request.body, hops=hops + 1)
        self._forward(ip, call, done)

    @staticmethod
    def _settle_operator(now: float, core: Core, request: OperatorRequest, done: Done) -> None:
        def settle(answer: Answer) -> None:
            done(CallResult(answer.status, answer.text, answer.document, problems=answer.problems))

        core.call(now, request.kind, request.base, request.body, settle)

    # Forwarding ---------------------------------------------------------------------------

    def _forward(self, ip: str, call: ForwardedCall, done: Done) -> None:
        """Forwards a call; without an answer in time its result is ``UNAVAILABLE``."""

        def answered(answer: CallAnswer | None) -> None:
            done(UNAVAILABLE if answer is None else answer.result)

        self.forwarder.forward(ip, call, answered)

    def _handle_server_call(self, now: float, call: ServerCall) -> None:
        server = server_from_row(call.id, call.row) if call.row is not None else call.id
        self.server_call(now, server, self._answer_sender(call))

    def _handle_operator_call(self, now: float, call: OperatorCall) -> None:
        request = OperatorRequest(call.kind, call.base, call.body)
        self.operator_call(now, request, self._answer_sender(call), call.hops)

    def _answer_sender(self, call: ForwardedCall) -> Done:
        """Returns a callback that sends the result to the limiter that forwarded the call."""

        def done(result: CallResult) -> None:
            self.send(call.address, result.answer_to(call))

        return done
