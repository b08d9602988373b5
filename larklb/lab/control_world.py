"""A core and some limiters in simulated time: the real control plane on a simulated network and simulated
disks.

Everything that happens follows from the seed. Messages are encoded and decoded as between processes; they are
lost, come twice and overtake each other. A machine that stands still finds them when it goes on, before its
own timers. A save takes time, may fail or hang, and of one under way when power is lost each value is there
or not, by itself. The files below these values have a simulation of their own (``tests/test_storage.py``).
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from larklb.consensus.interface import Ready
from larklb.consensus.messages import InstallSnapshot
from larklb.gateway import messages
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.core import Core
from larklb.gateway.messages import Configuration, Message, Raft
from larklb.gateway.settings import Bounds, Settings
from larklb.lab.control_history import BrokenError
from larklb.membership.members import Member

CORE_TICK_MS, TICK_MS = 50.0, 100.0
WIRE_MS = (0.2, 2.0)  # one way
LATE_MS = (20.0, 1500.0)  # of a message that is overtaken
SYNC_MS = ((2.0, 8.0), (2.0, 8.0), (15.0, 40.0))  # of a save on a disk that is well
SLOW_SYNC_MS = (80.0, 250.0)
MOST_BUFFERED = 2_000  # messages that wait at a machine that stands still
ZONES = ("north", "south", "east")
CONTROL_PORT = 8407
#: Terms of a day, in ms: the usual ones, shorter and longer ones.
BOUNDS = (
    Bounds(),
    Bounds(),
    Bounds(contact_ms=1500.0, ack_ms=3500.0, drain_ms=2000.0, convergence_ms=2500.0),
    Bounds(contact_ms=5000.0, ack_ms=8000.0, drain_ms=4000.0, convergence_ms=8000.0),
)
SNAPSHOT_KIND = InstallSnapshot.__struct_config__.tag

Document = dict[str, Any]


@define
class Timer:
    """One that goes off unless it is cancelled."""

    act: Callable[[], object] | None

    def cancel(self) -> None:
        """It doesn't go off any more."""
        self.act = None


@define(eq=False)
class Machine:
    """A machine that outlives its processes; ``disk``: the values that are durable, None without a disk."""

    node: str
    zone: str
    disk: dict[str, bytes] | None
    disk_id: str = ""
    disk_mode: str = "well"  # or slow, full, hanging
    plane: ControlPlane | None = None
    life: int = 0
    version: int = 0  # in force in this life
    frozen: bool = False
    leaving: bool = False
    buffered: deque[Callable[[], object]] = field(factory=lambda: deque(maxlen=MOST_BUFFERED))
    saving: Ready | None = None
    well_since: float = 0.0  # without any trouble of its own

    @property
    def up(self) -> bool:
        """Whether its process runs and moves."""
        return self.plane is not None and not self.frozen

    @property
    def core(self) -> Core | None:
        """Its part as a core machine."""
        return self.plane.core if self.plane is not None else None


class World:
    """``cores`` machines with disks and ``limiters`` without; ``tolerance`` of the disks may be lost at
    once."""

    def __init__(self, seed: int, cores: int = 3, tolerance: int = 1, limiters: int = 2) -> None:
        self.rng = random.Random(seed)
        self.sync_ms = self.rng.choice(SYNC_MS)
        self.tolerance = tolerance
        self.bounds = self.rng.choice(BOUNDS)
        self.now, self._count = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self.machines: dict[str, Machine] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.repeats = 0.0
        self.bootstrap = True
        self.healed = False  # no faults begin any more
        self.log: list[str] = []  # what was done, as readable text
        self.told: Callable[[Machine, int], object] = lambda machine, version: None
        self.in_force: Callable[[Machine, Document], object] = lambda machine, document: None
        self.core_troubled = 0.0  # when the core was last in trouble
        self.leaders: dict[int, str] = {}
        self._last_disk = 0
        self._snapshots: dict[str, tuple[str, bytes]] = {}  # by receiver: sender and line of the last one
        for index in range(cores):
            self.add_core(f"c{index}", start=False)
        for index in range(limiters):
            self.machines[f"l{index}"] = Machine(f"l{index}", ZONES[index % len(ZONES)], None)
        self.seeds = [f"c{index}" for index in range(min(3, cores))]

    # Time -----------------------------------------------------------------------------------

    def at(self, delay: float, act: Callable[[], object]) -> None:
        """Something happens after ``delay`` ms."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, act))

    def run(self, ms: float) -> None:
        """Lets time pass."""
        end = self.now + ms
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end

    def note(self, what: str) -> None:
        """A step of the day, for whoever reads its trace."""
        self.log.append(f"{self.now / 1000.0:8.3f} s  {what}")

    # Machines -------------------------------------------------------------------------------

    def add_core(self, node: str, start: bool = True) -> Machine:
        """A core machine with a blank disk."""
        self._last_disk += 1
        machine = Machine(node, ZONES[len(self.machines) % len(ZONES)], {}, f"d{self._last_disk}")
        self.machines[node] = machine
        if start:
            self.start(machine)
        return machine

    def cores(self) -> list[Machine]:
        """The machines that have disks."""
        return [machine for machine in self.machines.values() if machine.disk is not None]

    def start(self, machine: Machine) -> None:
        """A new process, with what the disk holds."""
        machine.life += 1
        machine.frozen = machine.leaving = False
        machine.version, machine.saving = 0, None
        machine.buffered.clear()
        settings = self._settings(machine)
        born = int(self.now) + machine.life  # the time of day, which rises
        me = Member(machine.node, machine.node, machine.zone, born, machine.disk_id)
        rng = random.Random(self.rng.randrange(1 << 30))
        plane = ControlPlane(
            settings,
            me,
            f"{machine.node}-{machine.life}-{self.rng.randrange(1 << 30)}",
            self.now,
            send=lambda ip, message, life=machine.life: self._post(machine, life, ip, message),  # type: ignore[misc]
            after=lambda delay, act, life=machine.life: self._timer(machine, life, delay, act),  # type: ignore[misc]
            apply_configuration=lambda document: self._take(machine, document),
            current_version=lambda: machine.version,
            on_change=lambda: None,
            rng=rng,
        )
        if machine.disk is not None:
            stored = dict(machine.disk) or None
            plane.core = Core(
                settings,
                me,
                stored,
                self.now,
                rng.randrange(1 << 30),
                plane.send,
                lambda ready: self._save(machine, machine.life, ready),
            )
        machine.plane = plane
        self.at(self.rng.uniform(0, CORE_TICK_MS), lambda life=machine.life: self._tick(machine, life))  # type: ignore[misc]

    def _settings(self, machine: Machine) -> Settings:
        address = (machine.node, CONTROL_PORT)
        return Settings(
            path="",
            node=machine.node,
            ip=machine.node,
            zone=machine.zone,
            region="r",
            bootstrap=self.bootstrap,
            data_dir="disk" if machine.disk is not None else "",
            counted=machine.disk is not None,
            memory_mb=300,
            descriptors=1024,
            cores=1.0,
            edge=None,
            readiness=None,
            control=address,
            ports=(1, 2),
            seeds=tuple((seed, CONTROL_PORT) for seed in self.seeds),
            zones=dict.fromkeys(ZONES, "r"),
            heartbeat_period_ms=1500.0,
            tolerance=self.tolerance,
            bounds=self.bounds,
        )

    def _tick(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.plane is None:
            return
        self.at(CORE_TICK_MS if machine.disk is not None else TICK_MS, lambda: self._tick(machine, life))
        if machine.frozen:
            return
        machine.plane.tick(self.now)
        self._watch(machine)

    def _watch(self, machine: Machine) -> None:
        core = machine.core
        if core is not None and core.replica.is_leader:
            first = self.leaders.setdefault(core.replica.term, core.disk)
            if first != core.disk:
                raise BrokenError(f"two leaders in term {core.replica.term}")

    def _take(self, machine: Machine, document: Document) -> None:
        version = int(document["version"])
        if version > machine.version:
            machine.version = version
            self.in_force(machine, document)

    def _timer(self, machine: Machine, life: int, delay: float, act: Callable[[], object]) -> Timer:
        timer = Timer(act)

        def fire() -> None:
            if machine.life != life or machine.plane is None:
                return
            if machine.frozen:
                self.at(TICK_MS, fire)
            elif timer.act is not None:
                timer.act()

        self.at(delay, fire)
        return timer

    # Disks ----------------------------------------------------------------------------------

    def _save(self, machine: Machine, life: int, ready: Ready) -> None:
        machine.saving = ready
        spread = SLOW_SYNC_MS if machine.disk_mode == "slow" else self.sync_ms
        self.at(self.rng.uniform(*spread), lambda: self._saved(machine, life, ready))

    def _saved(self, machine: Machine, life: int, ready: Ready) -> None:
        core = machine.core
        if machine.life != life or core is None or machine.disk is None:
            return
        if machine.frozen or machine.disk_mode == "hanging":
            self.at(TICK_MS, lambda: self._saved(machine, life, ready))
            return
        machine.saving = None
        ok = machine.disk_mode != "full"
        if ok:
            machine.disk.update(ready.save or {})
        core.handle_save_result(self.now, ready, ok)
        if ok:
            core.process_ready(self.now)
        else:
            self.at(200.0, lambda: self._work_again(machine, core))

    def _work_again(self, machine: Machine, core: Core) -> None:
        if machine.core is core and machine.up:
            core.process_ready(self.now)

    # Messages -------------------------------------------------------------------------------

    def _post(self, machine: Machine, life: int, ip: str, message: Message) -> None:
        if machine.life != life:
            return
        line = messages.encode(messages.with_sender(message, machine.node, machine.node))
        if isinstance(message, Configuration) and ip != machine.node:
            self.told(machine, int(message.document["version"]))
        if ip == machine.node:
            self.at(0.0, lambda: self._deliver(machine.node, machine.node, line))
            return
        for _ in range(1 + (self.rng.random() < self.repeats)):
            if self.rng.random() < self.loss:
                continue
            late = self.rng.uniform(*LATE_MS) if self.rng.random() < self.repeats else 0.0
            self.at(self.rng.uniform(*WIRE_MS) + late, lambda: self._deliver(machine.node, ip, line))
        if isinstance(message, Raft) and message.message["kind"] == SNAPSHOT_KIND:
            self._snapshots[ip] = (machine.node, line)

    def repeat_snapshot(self, machine: Machine) -> None:
        """A copy of the last snapshot that was sent to a machine comes once more."""
        if machine.node in self._snapshots:
            sender, line = self._snapshots[machine.node]
            self.at(self.rng.uniform(*WIRE_MS), lambda: self._deliver(sender, machine.node, line))

    def _deliver(self, sender: str, receiver: str, line: bytes) -> None:
        machine = self.machines.get(receiver)
        if machine is None or machine.plane is None or (sender, receiver) in self.cut:
            return
        if machine.frozen:
            machine.buffered.append(lambda: self._deliver(sender, receiver, line))
            return
        machine.plane.handle_message(self.now, messages.decode(line))  # type: ignore[arg-type]
        self._watch(machine)

    def call(self, machine: Machine, act: Callable[[ControlPlane], object]) -> None:
        """A caller's connection brings a call; one that stands still finds it when it goes on, before or
        after the messages of other machines."""
        if machine.plane is None:
            return
        if not machine.frozen:
            act(machine.plane)
            return
        put = machine.buffered.appendleft if self.rng.random() < 0.5 else machine.buffered.append
        put(lambda: act(machine.plane) if machine.plane is not None else None)

    # Faults ---------------------------------------------------------------------------------

    def is_well(self, machine: Machine) -> bool:
        """Whether nothing is wrong with it now."""
        reached = all(machine.node not in pair for pair in self.cut)
        return machine.up and not machine.leaving and machine.disk_mode == "well" and reached

    def is_cut_off(self, machine: Machine) -> bool:
        """Whether no message passes between it and any other core machine."""
        others = [other.node for other in self.cores() if other is not machine]
        return all({(machine.node, other), (other, machine.node)} <= self.cut for other in others)

    def trouble(self, machine: Machine) -> None:
        """This machine is in trouble now, or just was."""
        machine.well_since = self.now
        if machine.disk is not None:
            self.core_troubled = self.now

    def kill(self, machine: Machine, power: bool = False) -> None:
        """Ends the process; of a save under way each value is durable or not by itself."""
        if not self.healed:
            self._end(machine, power)

    def _end(self, machine: Machine, power: bool) -> None:
        if machine.plane is None:
            return
        self.note(f"{machine.node} {'loses power' if power else 'is killed'}")
        self.trouble(machine)
        if machine.saving is not None and machine.disk is not None:
            for key, value in (machine.saving.save or {}).items():
                if self.rng.random() < 0.5:
                    machine.disk[key] = value
        machine.plane, machine.saving = None, None
        machine.life += 1

    def restart(self, machine: Machine) -> None:
        """Starts its process, if none runs."""
        if machine.plane is None and self.machines.get(machine.node) is machine:
            self.note(f"{machine.node} starts")
            self.trouble(machine)
            self.start(machine)

    def wipe(self, machine: Machine) -> None:
        """Loses power, and its disk's contents."""
        if self.healed:
            return
        self.kill(machine, power=True)
        self.note(f"{machine.node} loses its disk")
        self._last_disk += 1
        machine.disk, machine.disk_id = {}, f"d{self._last_disk}"

    def remove(self, machine: Machine) -> None:
        """Gone for good."""
        if self.healed and machine.plane is not None:
            return
        self.kill(machine, power=True)
        self.note(f"{machine.node} is gone for good")
        del self.machines[machine.node]

    def freeze(self, machine: Machine) -> None:
        """Stands still; its messages wait."""
        if self.healed:
            return
        self.note(f"{machine.node} stands still")
        self.trouble(machine)
        machine.frozen = True

    def thaw(self, machine: Machine) -> None:
        """Goes on: first with the messages that have come, then with its timers."""
        if not machine.frozen:
            return
        self.note(f"{machine.node} goes on")
        self.trouble(machine)
        machine.frozen = False
        while machine.buffered and machine.up:
            machine.buffered.popleft()()

    def cut_off(self, machine: Machine, others: list[Machine], one_way: bool) -> None:
        """Messages between these are lost, or only its own (``one_way``)."""
        if self.healed:
            return
        self.note(f"{machine.node} is cut off from {', '.join(o.node for o in others)}{' one way' * one_way}")
        self.trouble(machine)
        for other in others:
            self.cut.add((machine.node, other.node))
            if not one_way:
                self.cut.add((other.node, machine.node))

    def join(self, machine: Machine) -> None:
        """Its cuts end."""
        if any(machine.node in pair for pair in self.cut):
            self.note(f"{machine.node} is reached again")
            self.trouble(machine)
            self.cut = {pair for pair in self.cut if machine.node not in pair}

    def terminate(self, machine: Machine, grace_ms: float) -> None:
        """SIGTERM: it leaves in order, and its process ends after ``grace_ms``."""
        if machine.plane is None or machine.frozen or self.healed:
            return
        self.note(f"{machine.node} is told to end")
        self.trouble(machine)
        machine.leaving = True
        machine.plane.leave(self.now)
        life = machine.life
        self.at(grace_ms, lambda: self._end(machine, False) if machine.life == life else None)

    def disk_trouble(self, machine: Machine, mode: str) -> None:
        """The disk is ``well``, ``slow``, ``full`` or ``hanging`` from now on."""
        if self.healed:
            return
        self.note(f"the disk of {machine.node} is {mode}")
        self.trouble(machine)
        machine.disk_mode = mode

    def heal(self) -> None:
        """All faults end, and no others begin."""
        self.note("all faults end")
        self.healed = True
        self.loss = self.repeats = 0.0
        self.cut.clear()
        self.core_troubled = self.now
        for machine in list(self.machines.values()):
            machine.disk_mode = "well"
            machine.well_since = self.now
            self.thaw(machine)
            if machine.plane is None:
                self.start(machine)

    def settings_of(self, **bounds: float) -> None:
        """Other terms than the usual ones."""
        self.bounds = evolve(self.bounds, **bounds)
