"""Operators and servers of a simulated day, which follow the protocol and check the answers they receive.

An operator sends an order to any machine. It retries the unchanged order with an increasing backoff after a
second without an answer, a 5xx or a lost answer, and treats a 200 or a 412 as final. A server sends its
heartbeats to the machine that the last answer named, or else to any. Before it leaves, it reports that it is
draining until this is acknowledged.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from larklb.gateway.control import OperatorRequest
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.messages import CallResult
from larklb.lab.control_history import History, InvariantViolationError, Order, Read
from larklb.lab.control_world import NETWORK_DELAY_MS, Machine, World
from larklb.registry.registry import DRAINING, STEADY, Server

CALL_TIMEOUT_MS = 1_000.0  # without an answer; the caller then tries another machine
RETRY_BACKOFF_MS = (80.0, 900.0)  # between attempts: initial, max
# An order without a final answer is retried for this long; it may be in force or not.
RETRY_LIMIT_MS = 25_000.0
# Added to the number of an order; the sum, stored in its document, identifies the order.
ORDER_MARKER = 1_000
DRAIN_GRACE_MS = 3_000.0  # a server runs on for so long after its drain is acknowledged
# A heartbeat from before a departure arrives this late, (min, max), and an acknowledged departure is checked
# for this long, this often.
LATE_HEARTBEAT_MS = (100.0, 9_000.0)
DEPARTURE_CHECK_MS, DEPARTURE_CHECK_INTERVAL_MS = 14_000.0, 500.0
SIGN_OFF_SHARE = 0.3  # of the servers that leave by a sign-off alone
# A machine may send out a version for this long after a newer one was acknowledged.
MAX_STALENESS_MS = 1_500.0


def encode_configuration(number: int, version: int) -> str:
    """Encodes a complete configuration that identifies the order with this number."""
    service = {"name": "orders", "probe": "/up", "saturation": ORDER_MARKER + number}
    limits = {"headerBytes": 16384, "bodyBytes": 1048576, "headerMs": 3000, "idleMs": 15000}
    return json.dumps(
        {"version": version, "services": [service], "limits": limits, "tenants": [], "hosts": []}
    )


def decode_configuration(document: dict[str, Any] | None) -> tuple[int, str]:
    """Returns the version of a document and the name of its order, or (0, "") without a document."""
    if document is None:
        return 0, ""
    return int(document["version"]), f"order {document['services'][0]['saturation'] - ORDER_MARKER}"


@define
class Call:
    """One attempt of a caller, which is answered or abandoned exactly once."""

    open: bool = True


@define
class Operators:
    """All operators of a day, and the history of their calls and answers."""

    world: World
    history: History = field(factory=History)
    newest_version: int = 0  # the newest version that any answer has shown
    answer_loss_rate: float = 0.0  # fraction of answers that are lost
    answers_lost_at: float = 0.0  # when the last period of lost answers ended
    versions_in_force: dict[str, int] = field(factory=dict)
    acknowledged: int = 0
    sent: int = 0
    paused: bool = False  # no new orders

    def __attrs_post_init__(self) -> None:
        self.world.on_configuration_sent = self._check_sent_version
        self.world.on_configuration_applied = self._record_applied

    def _check_sent_version(self, machine: Machine, version: int) -> None:
        newest = self.history.newest_acknowledged(self.world.now - MAX_STALENESS_MS)
        if version < newest:
            raise InvariantViolationError(
                f"{machine.node} hands out version {version}, and {newest} was acknowledged"
            )

    def _record_applied(self, machine: Machine, document: dict[str, Any]) -> None:
        version, name = decode_configuration(document)
        self.versions_in_force[name] = version

    def order(self, base: int, version: int) -> Order:
        """Sends a new order on version ``base`` that writes ``version``."""
        self.sent += 1
        name = f"order {self.sent}"
        order = Order(name, base, version, encode_configuration(self.sent, version), self.world.now)
        self.history.orders[name] = order
        self._send(order, RETRY_BACKOFF_MS[0])
        self.world.at(self.world.bounds.ack_ms + 1.0, lambda: self._check_acknowledged(order))
        return order

    def _check_acknowledged(self, order: Order) -> None:
        """Checks that the order isn't left unanswered while the core is undisturbed for ``ackMs``."""
        now, bounds = self.world.now, self.world.bounds
        if self._is_answered(order) or now - order.begin > RETRY_LIMIT_MS:
            return
        settled_since = max(
            order.begin, self.world.core_disturbed_at + bounds.contact_ms, self.answers_lost_at
        )
        if self.answer_loss_rate == 0.0 and not self.world.loss_rate and now - settled_since > bounds.ack_ms:
            raise InvariantViolationError(
                f"{order.name} has no acknowledgement {bounds.ack_ms:.0f} ms after the core settled"
            )
        self.world.at(500.0, lambda: self._check_acknowledged(order))

    @staticmethod
    def _is_answered(order: Order) -> bool:
        return order.acknowledged < float("inf") or order.refused < float("inf")

    def _send(self, order: Order, pause: float, unresponsive: Machine | None = None) -> None:
        """Sends the order to any machine except the ``unresponsive`` one."""
        if self.world.now - order.begin > RETRY_LIMIT_MS:
            return
        others = [machine for machine in self.world.machines.values() if machine is not unresponsive]
        machine = self.world.rng.choice(others)
        call = OperatorRequest("replace", order.base, order.body)

        def answered(result: CallResult | None) -> None:
            if result is not None and result.status == 200:
                self.history.acknowledge(order, self.world.now)
                self.acknowledged += 1
                self.newest_version = max(self.newest_version, order.version)
            elif result is not None and result.status == 412:
                self.history.refuse(order, self.world.now)
                self.read()
            elif result is not None and result.status == 400:
                raise InvariantViolationError(f"{order.name} is valid, and answered 400: {result.text}")
            else:
                # Without an answer the next machine is tried soon; after a 5xx the backoff applies.
                delay_ms = pause if result is not None else RETRY_BACKOFF_MS[0]
                again = min(RETRY_BACKOFF_MS[1], 1.6 * pause)
                next_unresponsive = machine if result is None else None
                self.world.at(delay_ms, lambda: self._send(order, again, next_unresponsive))

        self.send_call(lambda plane, done: plane.operator_call(self.world.now, call, done), answered, machine)

    def resend(self, order: Order) -> None:
        """Resends an order, which may have been answered already, as after a lost answer."""
        self._send(order, RETRY_BACKOFF_MS[0])

    def read(
        self, machine: Machine | None = None, done: Callable[[Read], object] = lambda read: None
    ) -> None:
        """Reads the newest version at ``machine`` or any; ``done`` gets the result of a successful read."""
        begin = self.world.now

        def answered(result: CallResult | None) -> None:
            if result is None or result.status != 200:
                return
            version, name = decode_configuration(result.document)
            read = Read(version, name, begin, self.world.now)
            self.history.reads.append(read)
            self.newest_version = max(self.newest_version, version)
            done(read)

        call = OperatorRequest("read")
        self.send_call(
            lambda plane, reply: plane.operator_call(self.world.now, call, reply), answered, machine
        )

    def send_call(
        self,
        action: Callable[[ControlPlane, Callable[[CallResult], object]], object],
        answered: Callable[[CallResult | None], object],
        machine: Machine | None = None,
    ) -> None:
        """Sends a call to ``machine`` or any; ``answered`` runs once, with None if no answer arrives."""
        world, call = self.world, Call()
        machine = machine or world.rng.choice(list(world.machines.values()))
        incarnation = machine.incarnation

        def resolve(result: CallResult | None) -> None:
            if call.open:
                call.open = False
                answered(result)

        def done(result: CallResult) -> None:
            if machine.incarnation == incarnation and world.rng.random() >= self.answer_loss_rate:
                world.at(world.rng.uniform(*NETWORK_DELAY_MS), lambda: resolve(result))

        def arrive() -> None:
            if machine.incarnation != incarnation or machine.plane is None:
                resolve(None)
                return
            world.call(machine, lambda plane: action(plane, done))

        world.at(world.rng.uniform(*NETWORK_DELAY_MS), arrive)
        world.at(CALL_TIMEOUT_MS, lambda: resolve(None))


@define
class SimulatedServer:
    """One incarnation of a server."""

    row: Server
    report_to: str = ""
    draining: bool = False
    acknowledged: bool = False
    stopped: bool = False


@define
class Servers:
    """Servers that send heartbeats, drain before they leave, and are replaced."""

    world: World
    operators: Operators
    servers: dict[str, SimulatedServer] = field(factory=dict)
    started_count: int = 0
    verified_drains: int = 0  # acknowledged drains that were checked at all connected machines
    watched_departures: int = 0  # checks of departures that were acknowledged some time before
    on_drained: Callable[[Machine], object] | None = None  # called once, with the core machine

    def start(self) -> None:
        """Starts a new server."""
        self.started_count += 1
        name = f"s{self.started_count}"
        zone = self.world.rng.choice(["north", "south", "east"])
        server = SimulatedServer(Server(name, "orders", f"h:{self.started_count}", zone, 2, sequence=0))
        self.servers[name] = server
        self._send_heartbeat(server)

    def _send_heartbeat(self, server: SimulatedServer) -> None:
        if server.stopped:
            return
        server.row = evolve(
            server.row, sequence=server.row.sequence + 1, state=DRAINING if server.draining else STEADY
        )
        row, machines = server.row, self.world.machines
        machine = machines.get(server.report_to) or self.world.rng.choice(list(machines.values()))
        server.report_to = ""

        def answered(result: CallResult | None) -> None:
            if result is not None and result.status == 200:
                server.report_to = result.report_to.partition(":")[0]
                if row.state == DRAINING and not server.acknowledged:
                    self._handle_drain_acknowledged(server, machine)
                self.world.at(
                    1_500.0 * self.world.rng.uniform(0.9, 1.1), lambda: self._send_heartbeat(server)
                )
            else:
                self.world.at(100.0, lambda: self._send_heartbeat(server))

        self.operators.send_call(
            lambda plane, done: plane.server_call(self.world.now, row, done), answered, machine
        )

    def drain(self) -> None:
        """Begins to drain a random server, and starts another one in its place."""
        steady = [server for server in self.servers.values() if not server.draining]
        if steady:
            server = self.world.rng.choice(steady)
            server.draining = True
            late = server.row
            self.world.at(self.world.rng.uniform(*LATE_HEARTBEAT_MS), lambda: self._deliver_late(late))
            if self.on_drained is None and self.world.rng.random() < SIGN_OFF_SHARE:
                server.stopped = True
                self._sign_off(server)
            self.start()

    def _deliver_late(self, row: Server) -> None:
        """Delivers a heartbeat that was sent before the departure of its server."""
        self.operators.send_call(
            lambda plane, done: plane.server_call(self.world.now, row, done), lambda result: None
        )

    def _sign_off(self, server: SimulatedServer) -> None:
        """Signs a server off that never drains, again until it is acknowledged, while it serves on."""
        name, machine = server.row.id, self.world.rng.choice(list(self.world.machines.values()))
        if name not in self.servers:
            return

        def answered(result: CallResult | None) -> None:
            if result is None or result.status != 200:
                self.world.at(100.0, lambda: self._sign_off(server))
            elif not server.acknowledged:
                server.acknowledged = True
                self._watch_departure(server, self.world.now)
                self.world.at(DRAIN_GRACE_MS, lambda: self.servers.pop(name, None))

        self.operators.send_call(
            lambda plane, done: plane.server_call(self.world.now, name, done), answered, machine
        )

    def _watch_departure(self, server: SimulatedServer, acknowledged: float) -> None:
        """Checks for a while that no machine in touch takes a departed server for a steady one, whatever has
        happened to the core since."""
        world, contact_ms = self.world, self.world.bounds.contact_ms
        if world.now - acknowledged > DEPARTURE_CHECK_MS:
            return
        world.at(DEPARTURE_CHECK_INTERVAL_MS, lambda: self._watch_departure(server, acknowledged))
        core_settled = world.now - world.core_disturbed_at > contact_ms and not world.loss_rate
        if not core_settled or world.now - acknowledged <= world.bounds.drain_ms:
            return
        for machine in world.machines.values():
            if machine.plane is None or not world.is_healthy(machine):
                continue
            known = machine.plane.subscriber.servers.get(server.row.id)
            in_touch = world.now - machine.undisturbed_since > contact_ms
            if in_touch and known is not None and known.state == STEADY and not known.silent:
                raise InvariantViolationError(f"{machine.node} uses {server.row.id}, which has departed")
        self.watched_departures += 1

    def _handle_drain_acknowledged(self, server: SimulatedServer, machine: Machine) -> None:
        server.acknowledged = True
        bounds, now = self.world.bounds, self.world.now
        self._watch_departure(server, now)
        if self._is_connected(machine):
            self.world.at(bounds.drain_ms, lambda: self._check_drain_propagated(server, now))
        if self.on_drained is not None and (core := self._core_of(machine)) is not None:
            server.stopped = True  # its next heartbeat would inform another core machine
            callback, self.on_drained = self.on_drained, None
            callback(core)
        self.world.at(DRAIN_GRACE_MS, lambda: self._stop(server))

    def _core_of(self, machine: Machine) -> Machine | None:
        """The core machine that handles server calls received by ``machine``."""
        if machine.core is not None:
            return machine
        home_core = machine.plane.subscriber.home if machine.plane is not None else ""
        return self.world.machines.get(home_core)

    def _is_connected(self, machine: Machine) -> bool:
        undisturbed_before = self.world.now - self.world.bounds.contact_ms
        if self.world.loss_rate or self.world.core_disturbed_at > undisturbed_before:
            return False
        return (
            machine.up and machine.undisturbed_since <= undisturbed_before and self.world.is_healthy(machine)
        )

    def _check_drain_propagated(self, server: SimulatedServer, acknowledged: float) -> None:
        """Checks that all machines undisturbed for ``contactMs`` know of an acknowledged drain.

        The check is skipped if the core was disturbed after the acknowledgement. The loss of the
        acknowledging machine at the moment of the acknowledgement doesn't count.
        """
        if self.world.loss_rate or self.world.core_disturbed_at > acknowledged:
            return
        self.verified_drains += 1
        undisturbed_before = self.world.now - self.world.bounds.contact_ms
        for machine in self.world.machines.values():
            if (
                machine.plane is None
                or machine.undisturbed_since > undisturbed_before
                or not self.world.is_healthy(machine)
            ):
                continue
            listed_server = machine.plane.subscriber.servers.get(server.row.id)
            if listed_server is not None and listed_server.state == STEADY:
                raise InvariantViolationError(f"{machine.node} doesn't know that {server.row.id} drains")

    def _stop(self, server: SimulatedServer) -> None:
        server.stopped = True
        self.servers.pop(server.row.id, None)
        name = server.row.id
        self.operators.send_call(
            lambda plane, done: plane.server_call(self.world.now, name, done), lambda result: None
        )
