"""Operators and servers of a simulated day: they call as the protocol says, and judge by what they are
answered.

An operator takes any machine from a list that lags, sends an order again as it was after a second of
silence, a 5xx or a lost answer, with a pause that grows, and holds a 200 or a 412 for final. Servers beat
where they were told to, else anywhere, and before they leave they say so until it is acknowledged.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from larklb.gateway.control import OperatorRequest
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.messages import CallResult
from larklb.lab.control_history import BrokenError, History, Order, Read
from larklb.lab.control_world import WIRE_MS, Machine, World
from larklb.registry.registry import DRAINING, STEADY, Server

SILENCE_MS = 1_000.0  # after which a caller turns to another machine
PAUSE_MS = (80.0, 900.0)  # between two tries: the first, and the longest
GIVE_UP_MS = 25_000.0  # of an order without a clear answer: it may be in force or not
MARK = 1_000  # added to an order's number: by it a document tells which order brought it
LEAVE_MS = 3_000.0  # that a server serves on once its drain is acknowledged
STALE_MS = 1_500.0  # a machine may tell a version for so long after a newer one was acknowledged


def body_of(number: int, version: int) -> str:
    """A whole configuration that names its order."""
    service = {"name": "orders", "probe": "/up", "saturation": MARK + number}
    limits = {"headerBytes": 16384, "bodyBytes": 1048576, "headerMs": 3000, "idleMs": 15000}
    return json.dumps(
        {"version": version, "services": [service], "limits": limits, "tenants": [], "hosts": []}
    )


def order_of(document: dict[str, Any] | None) -> tuple[int, str]:
    """The version of a document, and the name of the order that brought it."""
    if document is None:
        return 0, ""
    return int(document["version"]), f"order {document['services'][0]['saturation'] - MARK}"


@define
class Call:
    """One try of a caller; answered or given up once."""

    open: bool = True


@define
class Operators:
    """All operators of a day, and the history of what they were answered."""

    world: World
    history: History = field(factory=History)
    known: int = 0  # the newest version that they know of
    lost: float = 0.0  # the share of answers that get lost
    lost_until: float = 0.0  # when answers were lost last
    seen_in_force: dict[str, int] = field(factory=dict)
    acknowledged: int = 0
    sent: int = 0
    quiet: bool = False  # no new orders

    def __attrs_post_init__(self) -> None:
        self.world.told = self._told
        self.world.in_force = self._in_force

    def _told(self, machine: Machine, version: int) -> None:
        newest = self.history.newest_acknowledged(self.world.now - STALE_MS)
        if version < newest:
            raise BrokenError(f"{machine.node} hands out version {version}, and {newest} was acknowledged")

    def _in_force(self, machine: Machine, document: dict[str, Any]) -> None:
        version, name = order_of(document)
        self.seen_in_force[name] = version

    def order(self, base: int, version: int) -> Order:
        """Sends a new order."""
        self.sent += 1
        name = f"order {self.sent}"
        order = Order(name, base, version, body_of(self.sent, version), self.world.now)
        self.history.orders[name] = order
        self._send(order, PAUSE_MS[0])
        self.world.at(self.world.bounds.ack_ms + 1.0, lambda: self._due(order))
        return order

    def _due(self, order: Order) -> None:
        """An order without an answer, though the core was settled long enough."""
        now, bounds = self.world.now, self.world.bounds
        if self._settled(order) or now - order.begin > GIVE_UP_MS:
            return
        settled_since = max(order.begin, self.world.core_troubled + bounds.contact_ms, self.lost_until)
        if self.lost == 0.0 and not self.world.loss and now - settled_since > bounds.ack_ms:
            raise BrokenError(
                f"{order.name} has no acknowledgement {bounds.ack_ms:.0f} ms after the core settled"
            )
        self.world.at(500.0, lambda: self._due(order))

    @staticmethod
    def _settled(order: Order) -> bool:
        return order.acknowledged < float("inf") or order.refused < float("inf")

    def _send(self, order: Order, pause: float, silent: Machine | None = None) -> None:
        """To any machine but the one that was ``silent``."""
        if self.world.now - order.begin > GIVE_UP_MS:
            return
        others = [machine for machine in self.world.machines.values() if machine is not silent]
        machine = self.world.rng.choice(others)
        call = OperatorRequest("replace", order.base, order.body)

        def answered(result: CallResult | None) -> None:
            if result is not None and result.status == 200:
                self.history.acknowledge(order, self.world.now)
                self.acknowledged += 1
                self.known = max(self.known, order.version)
            elif result is not None and result.status == 412:
                self.history.refuse(order, self.world.now)
                self.read()
            elif result is not None and result.status == 400:
                raise BrokenError(f"{order.name} is valid, and answered 400: {result.text}")
            else:
                # Where nobody listens the next machine is tried soon; who says 'not now' is given time.
                wait = pause if result is not None else PAUSE_MS[0]
                again = min(PAUSE_MS[1], 1.6 * pause)
                unheard = machine if result is None else None
                self.world.at(wait, lambda: self._send(order, again, unheard))

        self.ask(lambda plane, done: plane.operator_call(self.world.now, call, done), answered, machine)

    def again(self, order: Order) -> None:
        """An order that may long be answered is sent once more, as after a lost answer."""
        self._send(order, PAUSE_MS[0])

    def read(
        self, machine: Machine | None = None, done: Callable[[Read], object] = lambda read: None
    ) -> None:
        """Reads the newest version somewhere."""
        begin = self.world.now

        def answered(result: CallResult | None) -> None:
            if result is None or result.status != 200:
                return
            version, name = order_of(result.document)
            read = Read(version, name, begin, self.world.now)
            self.history.reads.append(read)
            self.known = max(self.known, version)
            done(read)

        call = OperatorRequest("read")
        self.ask(lambda plane, told: plane.operator_call(self.world.now, call, told), answered, machine)

    def ask(
        self,
        act: Callable[[ControlPlane, Callable[[CallResult], object]], object],
        answered: Callable[[CallResult | None], object],
        machine: Machine | None = None,
    ) -> None:
        """A call at some machine; ``answered`` once, with None where no answer comes."""
        world, call = self.world, Call()
        machine = machine or world.rng.choice(list(world.machines.values()))
        life = machine.life

        def come(result: CallResult | None) -> None:
            if call.open:
                call.open = False
                answered(result)

        def done(result: CallResult) -> None:
            if machine.life == life and world.rng.random() >= self.lost:
                world.at(world.rng.uniform(*WIRE_MS), lambda: come(result))

        def arrive() -> None:
            if machine.life != life or machine.plane is None:
                come(None)
                return
            world.call(machine, lambda plane: act(plane, done))

        world.at(world.rng.uniform(*WIRE_MS), arrive)
        world.at(SILENCE_MS, lambda: come(None))


@define
class SimulatedServer:
    """One life of a server."""

    row: Server
    report_to: str = ""
    draining: bool = False
    acknowledged: bool = False
    ended: bool = False


@define
class Servers:
    """Servers that beat, leave in order and are replaced."""

    world: World
    operators: Operators
    servers: dict[str, SimulatedServer] = field(factory=dict)
    started: int = 0
    drains: int = 0  # acknowledged, and looked up at all limiters in touch
    on_drained: Callable[[Machine], object] | None = None  # once, with the core machine that says so

    def start(self) -> None:
        """A new server begins to beat."""
        self.started += 1
        name = f"s{self.started}"
        zone = self.world.rng.choice(["north", "south", "east"])
        server = SimulatedServer(Server(name, "orders", f"h:{self.started}", zone, 2, sequence=0))
        self.servers[name] = server
        self._beat(server)

    def _beat(self, server: SimulatedServer) -> None:
        if server.ended:
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
                    self._drained(server, machine)
                self.world.at(1_500.0 * self.world.rng.uniform(0.9, 1.1), lambda: self._beat(server))
            else:
                self.world.at(100.0, lambda: self._beat(server))

        self.operators.ask(
            lambda plane, done: plane.server_call(self.world.now, row, done), answered, machine
        )

    def drain(self) -> None:
        """Some server is about to end."""
        steady = [server for server in self.servers.values() if not server.draining]
        if steady:
            server = self.world.rng.choice(steady)
            server.draining = True
            self.start()

    def _drained(self, server: SimulatedServer, machine: Machine) -> None:
        server.acknowledged = True
        bounds, now = self.world.bounds, self.world.now
        if self._in_touch(machine):
            self.world.at(bounds.drain_ms, lambda: self._known(server, now))
        if self.on_drained is not None and (core := self._core_of(machine)) is not None:
            server.ended = True  # or its next beat would tell another core machine
            lose, self.on_drained = self.on_drained, None
            lose(core)
        self.world.at(LEAVE_MS, lambda: self._end(server))

    def _core_of(self, machine: Machine) -> Machine | None:
        """The core machine that settles servers' calls which come to ``machine``."""
        if machine.core is not None:
            return machine
        home = machine.plane.subscriber.home if machine.plane is not None else ""
        return self.world.machines.get(home)

    def _in_touch(self, machine: Machine) -> bool:
        calm = self.world.now - self.world.bounds.contact_ms
        if self.world.loss or self.world.core_troubled > calm:
            return False
        return machine.up and machine.well_since <= calm and self.world.is_well(machine)

    def _known(self, server: SimulatedServer, acknowledged: float) -> None:
        """All know of a drain who have had no trouble for ``contactMs``.

        Nothing else may have happened to the core but the loss, just then, of the machine that said so.
        """
        if self.world.loss or self.world.core_troubled > acknowledged:
            return
        self.drains += 1
        calm = self.world.now - self.world.bounds.contact_ms
        for machine in self.world.machines.values():
            if machine.plane is None or machine.well_since > calm or not self.world.is_well(machine):
                continue
            known = machine.plane.subscriber.servers.get(server.row.id)
            if known is not None and known.state == STEADY:
                raise BrokenError(f"{machine.node} doesn't know that {server.row.id} drains")

    def _end(self, server: SimulatedServer) -> None:
        server.ended = True
        self.servers.pop(server.row.id, None)
        name = server.row.id
        self.operators.ask(
            lambda plane, done: plane.server_call(self.world.now, name, done), lambda result: None
        )
