"""Deterministic simulation of a core and some limiters.

The real control plane runs on a simulated network and simulated disks, in simulated time.

All events follow from the seed. Messages are encoded and decoded as between processes, and may be lost,
duplicated and reordered. A frozen machine buffers messages and processes them on thaw, before its own timers.
A save takes time and may fail or hang. If power is lost during a save, each of its values is independently
durable or lost. The file layer below these values is simulated separately (``tests/test_storage.py``).
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from larklb.consensus.messages import InstallSnapshot
from larklb.consensus.state import HARD_STATE, blank_hard_state
from larklb.gateway import messages
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.core import Core, Saved
from larklb.gateway.disk_contents import FIRST_START
from larklb.gateway.messages import Configuration, Message, Raft
from larklb.gateway.settings import Bounds, Settings
from larklb.lab.control_history import InvariantViolationError
from larklb.membership.members import Member

CORE_TICK_MS, TICK_MS = 50.0, 100.0
NETWORK_DELAY_MS = (0.2, 2.0)  # one way, (min, max)
LATE_DELAY_MS = (20.0, 1500.0)  # extra delay of a message that is overtaken, (min, max)
# Duration of a save on a healthy disk: each world draws one (min, max).
SYNC_DURATIONS_MS = ((2.0, 8.0), (2.0, 8.0), (15.0, 40.0))
SLOW_SYNC_DURATION_MS = (80.0, 250.0)
MAX_BUFFERED_MESSAGES = 2_000  # messages buffered for a frozen machine
ZONES = ("north", "south", "east")
CONTROL_PORT = 8407
#: Time bounds of a simulated day: the defaults, shorter and longer ones.
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
    """A timer that runs ``action`` unless it is cancelled."""

    action: Callable[[], object] | None

    def cancel(self) -> None:
        """Cancels the timer; it has no effect after the timer has run."""
        self.action = None


@define(frozen=True)
class Save:
    """A save of some values by key."""

    values: dict[str, bytes]
    saved: Saved


@define(eq=False)
class Machine:
    """A machine, which outlives its processes.

    ``disk`` holds the durable values by key, or is None for a machine without a disk.
    """

    node: str
    zone: str
    disk: dict[str, bytes] | None
    disk_id: str = ""
    disk_mode: str = "well"  # or "slow", "full", "hanging"
    plane: ControlPlane | None = None
    incarnation: int = 0
    version: int = 0  # configuration version in force in this incarnation
    frozen: bool = False
    leaving: bool = False
    buffered: deque[Callable[[], object]] = field(factory=lambda: deque(maxlen=MAX_BUFFERED_MESSAGES))
    saves: deque[Save] = field(factory=deque)  # the first one is under way
    undisturbed_since: float = 0.0  # time of the last disturbance of this machine

    @property
    def up(self) -> bool:
        """Whether its process runs and isn't frozen."""
        return self.plane is not None and not self.frozen

    @property
    def core(self) -> Core | None:
        """The core replica of its process, or None."""
        return self.plane.core if self.plane is not None else None


class World:
    """A simulated installation of ``cores`` machines with disks and ``limiters`` without.

    ``tolerance`` is the number of disks that may be lost at once. Times are in simulated ms.
    """

    def __init__(self, seed: int, cores: int = 3, tolerance: int = 1, limiters: int = 2) -> None:
        self.rng = random.Random(seed)
        self.sync_ms = self.rng.choice(SYNC_DURATIONS_MS)
        self.tolerance = tolerance
        self.bounds = self.rng.choice(BOUNDS)
        self.now, self._event_count = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self.machines: dict[str, Machine] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.bootstrap = True
        self.healed = False  # no new faults are injected
        self.log: list[str] = []  # trace of the run as readable text
        self.on_configuration_sent: Callable[[Machine, int], object] = lambda machine, version: None
        self.on_configuration_applied: Callable[[Machine, Document], object] = lambda machine, document: None
        self.core_disturbed_at = 0.0  # time of the last disturbance of any core machine
        self.leaders: dict[int, str] = {}
        self._last_disk_number = 0
        self._snapshots: dict[str, tuple[str, bytes]] = {}  # last one by receiver: sender, encoded message
        for index in range(cores):
            self.add_core(f"c{index}", start=False)
        for index in range(limiters):
            self.machines[f"l{index}"] = Machine(f"l{index}", ZONES[index % len(ZONES)], None)
        self.seeds = [f"c{index}" for index in range(min(3, cores))]

    # Time -----------------------------------------------------------------------------------

    def at(self, delay: float, action: Callable[[], object]) -> None:
        """Schedules ``action`` after ``delay`` ms."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay, self._event_count, action))

    def run(self, ms: float) -> None:
        """Advances the simulated time by ``ms`` and runs the events that become due."""
        end = self.now + ms
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def note(self, text: str) -> None:
        """Appends a line to the trace."""
        self.log.append(f"{self.now / 1000.0:8.3f} s  {text}")

    # Machines -------------------------------------------------------------------------------

    def add_core(self, node: str, start: bool = True) -> Machine:
        """Adds a core machine with a blank disk, and starts it if ``start``."""
        self._last_disk_number += 1
        machine = Machine(node, ZONES[len(self.machines) % len(ZONES)], {}, f"d{self._last_disk_number}")
        self.machines[node] = machine
        if start:
            self.start(machine)
        return machine

    def cores(self) -> list[Machine]:
        """The machines that have disks."""
        return [machine for machine in self.machines.values() if machine.disk is not None]

    def start(self, machine: Machine) -> None:
        """Starts a new process from the contents of the disk."""
        machine.incarnation += 1
        machine.frozen = machine.leaving = False
        machine.version = 0
        machine.saves.clear()
        machine.buffered.clear()
        settings = self._settings(machine)
        first_start = self._open_disk(machine)
        member_incarnation = int(self.now) + machine.incarnation  # increases, as the wall clock does
        member = Member(machine.node, machine.node, machine.zone, member_incarnation, machine.disk_id)
        rng = random.Random(self.rng.randrange(1 << 30))
        plane = ControlPlane(
            settings,
            member,
            f"{machine.node}-{machine.incarnation}-{self.rng.randrange(1 << 30)}",
            self.now,
            send=lambda ip, message, incarnation=machine.incarnation: self._send(
                machine, incarnation, ip, message
            ),  # type: ignore[misc]
            after=lambda delay, action, incarnation=machine.incarnation: self._timer(
                machine, incarnation, delay, action
            ),  # type: ignore[misc]
            apply_configuration=lambda document: self._apply_configuration(machine, document),
            current_version=lambda: machine.version,
            on_change=lambda: None,
            rng=rng,
        )
        if machine.disk is not None:
            stored = dict(machine.disk) or None
            plane.core = Core(
                settings,
                member,
                stored,
                self.now,
                rng.randrange(1 << 30),
                plane.send,
                lambda values, saved, incarnation=machine.incarnation: self._enqueue_save(
                    machine, incarnation, Save(values, saved)
                ),  # type: ignore[misc]
                first_start=first_start,
            )
        machine.plane = plane
        self.at(
            self.rng.uniform(0, CORE_TICK_MS),
            lambda incarnation=machine.incarnation: self._tick(machine, incarnation),  # type: ignore[misc]
        )

    def _open_disk(self, machine: Machine) -> bool:
        """Does as ``disk_contents.open_disk``; returns whether the disk belongs to the first start."""
        if machine.disk is None:
            return False
        if HARD_STATE not in machine.disk:  # the disk has a new id already
            machine.disk |= {FIRST_START: b"1"} if self.bootstrap else {}
            machine.disk[HARD_STATE] = blank_hard_state()
        return self.bootstrap or FIRST_START in machine.disk

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

    def _tick(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.plane is None:
            return
        self.at(
            CORE_TICK_MS if machine.disk is not None else TICK_MS, lambda: self._tick(machine, incarnation)
        )
        if machine.frozen:
            return
        machine.plane.tick(self.now)
        self._check_single_leader(machine)

    def _check_single_leader(self, machine: Machine) -> None:
        core = machine.core
        if core is not None and core.replica.is_leader:
            first = self.leaders.setdefault(core.replica.term, core.disk)
            if first != core.disk:
                raise InvariantViolationError(f"two leaders in term {core.replica.term}")

    def _apply_configuration(self, machine: Machine, document: Document) -> None:
        version = int(document["version"])
        if version > machine.version:
            machine.version = version
            self.on_configuration_applied(machine, document)

    def _timer(self, machine: Machine, incarnation: int, delay: float, action: Callable[[], object]) -> Timer:
        timer = Timer(action)

        def fire() -> None:
            if machine.incarnation != incarnation or machine.plane is None:
                return
            if machine.frozen:
                self.at(TICK_MS, fire)
            elif timer.action is not None:
                timer.action()

        self.at(delay, fire)
        return timer

    # Disks ----------------------------------------------------------------------------------

    def _enqueue_save(self, machine: Machine, incarnation: int, save: Save) -> None:
        """Starts a save, after those that were started before."""
        if machine.incarnation != incarnation:
            return
        machine.saves.append(save)
        if len(machine.saves) == 1:
            self._begin_save(machine, incarnation)

    def _begin_save(self, machine: Machine, incarnation: int) -> None:
        delay_range = SLOW_SYNC_DURATION_MS if machine.disk_mode == "slow" else self.sync_ms
        self.at(self.rng.uniform(*delay_range), lambda: self._finish_save(machine, incarnation))

    def _finish_save(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.core is None or machine.disk is None:
            return
        if machine.frozen or machine.disk_mode == "hanging":
            self.at(TICK_MS, lambda: self._finish_save(machine, incarnation))
            return
        save = machine.saves.popleft()
        ok = machine.disk_mode != "full"
        if ok:
            machine.disk.update(save.values)
        if machine.saves:
            self._begin_save(machine, incarnation)
        save.saved(self.now, ok)

    # Messages -------------------------------------------------------------------------------

    def _send(self, machine: Machine, incarnation: int, ip: str, message: Message) -> None:
        if machine.incarnation != incarnation:
            return
        line = messages.encode(messages.with_sender(message, machine.node, machine.node))
        if isinstance(message, Configuration) and ip != machine.node:
            self.on_configuration_sent(machine, int(message.document["version"]))
        if ip == machine.node:
            self.at(0.0, lambda: self._deliver(machine.node, machine.node, line))
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            if self.rng.random() < self.loss_rate:
                continue
            extra_delay = self.rng.uniform(*LATE_DELAY_MS) if self.rng.random() < self.duplicate_rate else 0.0
            self.at(
                self.rng.uniform(*NETWORK_DELAY_MS) + extra_delay,
                lambda: self._deliver(machine.node, ip, line),
            )
        if isinstance(message, Raft) and message.message["kind"] == SNAPSHOT_KIND:
            self._snapshots[ip] = (machine.node, line)

    def repeat_snapshot(self, machine: Machine) -> None:
        """Delivers a duplicate of the last snapshot that was sent to the machine, if any."""
        if machine.node in self._snapshots:
            sender, line = self._snapshots[machine.node]
            self.at(self.rng.uniform(*NETWORK_DELAY_MS), lambda: self._deliver(sender, machine.node, line))

    def _deliver(self, sender: str, receiver: str, line: bytes) -> None:
        machine = self.machines.get(receiver)
        if machine is None or machine.plane is None or (sender, receiver) in self.blocked_links:
            return
        if machine.frozen:
            machine.buffered.append(lambda: self._deliver(sender, receiver, line))
            return
        self.handle_message(machine, messages.decode(line))
        self._check_single_leader(machine)

    def handle_message(self, machine: Machine, message: messages.AnyMessage) -> None:
        """Lets the machine's process handle a message; subclasses handle those of other parts."""
        assert machine.plane is not None
        machine.plane.handle_message(self.now, message)  # type: ignore[arg-type]

    def call(self, machine: Machine, action: Callable[[ControlPlane], object]) -> None:
        """Delivers a caller's request to the machine.

        A frozen machine handles it on thaw, before or after the buffered messages of other machines.
        """
        if machine.plane is None:
            return
        if not machine.frozen:
            action(machine.plane)
            return
        enqueue = machine.buffered.appendleft if self.rng.random() < 0.5 else machine.buffered.append
        enqueue(lambda: action(machine.plane) if machine.plane is not None else None)

    # Faults ---------------------------------------------------------------------------------

    def is_healthy(self, machine: Machine) -> bool:
        """Whether the machine runs, isn't leaving, and has a healthy disk and all its links."""
        reachable = all(machine.node not in pair for pair in self.blocked_links)
        return machine.up and not machine.leaving and machine.disk_mode == "well" and reachable

    def is_cut_off(self, machine: Machine) -> bool:
        """Whether all links between it and the other core machines are blocked in both directions."""
        others = [other.node for other in self.cores() if other is not machine]
        return all({(machine.node, other), (other, machine.node)} <= self.blocked_links for other in others)

    def mark_disturbed(self, machine: Machine) -> None:
        """Records a disturbance of the machine at the current time."""
        machine.undisturbed_since = self.now
        if machine.disk is not None:
            self.core_disturbed_at = self.now

    def kill(self, machine: Machine, power: bool = False) -> None:
        """Ends the process; each value of a save under way is independently durable or lost."""
        if not self.healed:
            self._stop(machine, power)

    def _stop(self, machine: Machine, power: bool) -> None:
        if machine.plane is None:
            return
        self.note(f"{machine.node} {'loses power' if power else 'is killed'}")
        self.mark_disturbed(machine)
        if machine.saves and machine.disk is not None:
            for key, value in machine.saves[0].values.items():
                if self.rng.random() < 0.5:
                    machine.disk[key] = value
        machine.plane = None
        machine.saves.clear()
        machine.incarnation += 1

    def restart(self, machine: Machine) -> None:
        """Starts a process on the machine if none runs."""
        if machine.plane is None and self.machines.get(machine.node) is machine:
            self.note(f"{machine.node} starts")
            self.mark_disturbed(machine)
            self.start(machine)

    def wipe(self, machine: Machine) -> None:
        """Ends the process and replaces the disk by a blank one."""
        if self.healed:
            return
        self.kill(machine, power=True)
        self.note(f"{machine.node} loses its disk")
        self._last_disk_number += 1
        machine.disk, machine.disk_id = {}, f"d{self._last_disk_number}"

    def remove(self, machine: Machine) -> None:
        """Removes the machine permanently."""
        if self.healed and machine.plane is not None:
            return
        self.kill(machine, power=True)
        self.note(f"{machine.node} is gone for good")
        del self.machines[machine.node]

    def freeze(self, machine: Machine) -> None:
        """Suspends the machine; its messages are buffered."""
        if self.healed:
            return
        self.note(f"{machine.node} stands still")
        self.mark_disturbed(machine)
        machine.frozen = True

    def thaw(self, machine: Machine) -> None:
        """Resumes a frozen machine, which handles its buffered messages before its timers."""
        if not machine.frozen:
            return
        self.note(f"{machine.node} goes on")
        self.mark_disturbed(machine)
        machine.frozen = False
        while machine.buffered and machine.up:
            machine.buffered.popleft()()

    def cut_off(self, machine: Machine, others: list[Machine], one_way: bool) -> None:
        """Blocks the links between the machine and ``others``, or only its outgoing ones if ``one_way``."""
        if self.healed:
            return
        self.note(f"{machine.node} is cut off from {', '.join(o.node for o in others)}{' one way' * one_way}")
        self.mark_disturbed(machine)
        for other in others:
            self.blocked_links.add((machine.node, other.node))
            if not one_way:
                self.blocked_links.add((other.node, machine.node))

    def reconnect(self, machine: Machine) -> None:
        """Unblocks all links of the machine."""
        if any(machine.node in pair for pair in self.blocked_links):
            self.note(f"{machine.node} is reached again")
            self.mark_disturbed(machine)
            self.blocked_links = {pair for pair in self.blocked_links if machine.node not in pair}

    def terminate(self, machine: Machine, grace_ms: float) -> None:
        """Shuts the machine down as by SIGTERM: it leaves, and its process ends after ``grace_ms``."""
        if machine.plane is None or machine.frozen or self.healed:
            return
        self.note(f"{machine.node} is told to end")
        self.mark_disturbed(machine)
        machine.leaving = True
        machine.plane.leave(self.now)
        incarnation = machine.incarnation
        self.at(grace_ms, lambda: self._stop(machine, False) if machine.incarnation == incarnation else None)

    def set_disk_mode(self, machine: Machine, mode: str) -> None:
        """Sets the disk mode: ``well``, ``slow``, ``full`` or ``hanging``."""
        if self.healed:
            return
        self.note(f"the disk of {machine.node} is {mode}")
        self.mark_disturbed(machine)
        machine.disk_mode = mode

    def heal(self) -> None:
        """Ends all faults, restarts stopped machines, and prevents new faults."""
        self.note("all faults end")
        self.healed = True
        self.loss_rate = self.duplicate_rate = 0.0
        self.blocked_links.clear()
        self.core_disturbed_at = self.now
        for machine in list(self.machines.values()):
            machine.disk_mode = "well"
            machine.undisturbed_since = self.now
            self.thaw(machine)
            if machine.plane is None:
                self.start(machine)

    def override_bounds(self, **bounds: float) -> None:
        """Overrides some of the time bounds of the world."""
        self.bounds = evolve(self.bounds, **bounds)
