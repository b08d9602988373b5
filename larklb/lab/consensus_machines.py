"""Core machines for the exhaustive check of the replicated store: real replicas with simulated disks.

States are compared with times as ages. An event has the same effect on equal states and is applied only
once to each: ``Machines`` stores states and outcomes by number.
"""

from __future__ import annotations

import hashlib
import json
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from attrs import define, evolve, field, frozen

from larklb.consensus.founding_protocol import FOUNDING_RETRY_MS
from larklb.consensus.group import MIN_PRESENCE_MS, VOTER_SILENCE_MS
from larklb.consensus.interface import Call
from larklb.consensus.log import Log
from larklb.consensus.membership_change import LEARNER_TIMEOUT_MS
from larklb.consensus.messages import Stamp
from larklb.consensus.replica import SAVE_RETRY_MS, Replica
from larklb.consensus.timing import Timing

TIMING = Timing()
NODES = ("a", "b", "c", "d")  # the last one takes part once it has been started
FOUNDERS = 3
LINKS = tuple((i, j) for i in range(len(NODES)) for j in range(len(NODES)) if i != j)
MAJORITY = 2
MAX_LINK_MESSAGES = 3  # messages under way on a link
MAX_CALL_SENDS = 2  # an operator sends each call at most this often
TIMEOUT_MS = 1400.0  # exceeds the longest election timeout and the quorum timeout of a leader
HEARTBEAT_MS = 150.0  # interval of the leader's heartbeats
MAX_HEARTBEATS = 60  # the replacement of a silent voter must begin within these

ReplicaFactory = Callable[..., Replica]
Event = tuple[str, int, Any]
SentMessage = tuple[str, int]  # receiver's disk, message number


class InvariantViolationError(AssertionError):
    """An invariant doesn't hold."""


class CounterexampleError(AssertionError):
    """A world that violates an invariant; ``steps`` lead to it from the start ``start``."""

    def __init__(self, reason: str, start: str, steps: list[str]) -> None:
        super().__init__(f"{reason}, {len(steps)} steps from '{start}': " + "; ".join(steps))
        self.reason, self.start, self.steps = reason, start, steps


class LongestDelays(random.Random):
    """Random source that returns the longest delays and a fixed group_id."""

    def uniform(self, a: float, b: float) -> float:
        return b

    def randrange(self, *_: Any) -> int:
        return 7


LONGEST_DELAYS = LongestDelays()


def apply(document: dict[str, Any] | None, call: Call) -> dict[str, Any]:
    """Applies a call; the document records its version, base and identity."""
    return {"version": call.body["version"], "base": call.base, "identity": call.identity}


#: Name -> base and version; ``w`` is applied before the start, ``z`` is sent after ``x`` is acknowledged.
CALLS = {"w": (0, 1), "x": (1, 2), "y": (1, 3), "z": (2, 4)}


def make_call(name: str) -> Call:
    """Returns the call with this name in ``CALLS``."""
    base, version = CALLS[name]
    return Call("replace", base, {"version": version}, f"call-{name}")


# A machine


def _clone(value: Any) -> Any:
    """Returns a deep copy that shares immutable values: messages, entries, snapshots."""
    kind = type(value)
    if kind is dict:
        return {key: _clone(part) for key, part in value.items()}
    if kind is list:
        return [_clone(part) for part in value]
    if kind is deque:
        return deque((_clone(part) for part in value), value.maxlen)
    if kind is set:
        return set(value)
    if attrs.has(kind) and kind.__setattr__ is object.__setattr__:
        copied = kind.__new__(kind)
        for each in attrs.fields(kind):
            setattr(copied, each.name, _clone(getattr(value, each.name)))
        return copied
    return value


#: Time fields of a replica, with the age in ms beyond which ages are equivalent: no larger one is compared.
MAX_AGES_MS = {
    "_leader_contact_at": TIMING.election_timeout[1] + HEARTBEAT_MS,
    "_proposed_at": FOUNDING_RETRY_MS,
    "_broadcast_at": TIMING.heartbeat_interval,
    "_saving_since": TIMING.save_timeout + HEARTBEAT_MS,
    "_save_failed_at": SAVE_RETRY_MS,
    "replied_at": max(TIMING.quorum_timeout, LEARNER_TIMEOUT_MS),
    "_quorum_contact_at": TIMING.quorum_timeout,
    "_round_times": TIMING.quorum_timeout,
    "_up_to_date_at": TIMING.quorum_timeout,
    "deadline": 0.0,
    "start": VOTER_SILENCE_MS,
    "_present_since": MIN_PRESENCE_MS,
    "_reported_at": VOTER_SILENCE_MS,
}
#: Fields left out of the comparison. The election deadline has always expired when a timeout event occurs.
IGNORED_FIELDS = {"_now", "_rng", "_apply", "_tolerance", "_timing", "_election_deadline", "node", "encoded"}


class CoarseRounds(Replica):
    """Begins a new round only if a call waits for one, which keeps the number of states small.

    Resending a round is safe: whoever answers it received it after the call that requested it.
    """

    def _stamp(self) -> Stamp:
        """Returns a constant, as no message contains a time; ``control_faults`` checks the use of stamps."""
        return 0, 0.0

    def _broadcast(self) -> None:
        waiting = [*self._calls.reads, *self._calls.decided]
        if not any(each.awaited > self._round for each in waiting):
            self._round -= 1
        super()._broadcast()


def _canonical(name: str, value: Any, now: float) -> Any:
    """Returns the canonical form in which states are compared: times as ages, sets sorted."""
    if isinstance(value, float) and name in MAX_AGES_MS:
        return max(-MAX_AGES_MS[name], value - now)
    if isinstance(value, dict):
        return [(key, _canonical(name, part, now)) for key, part in sorted(value.items())]
    if isinstance(value, set):
        return sorted(value)
    if isinstance(value, list | deque | tuple):
        return [_canonical(name, part, now) for part in value]
    if attrs.has(type(value)):
        return [
            _canonical(each.name, getattr(value, each.name), now)
            for each in attrs.fields(type(value))
            if each.name not in IGNORED_FIELDS
        ]
    return value


@define(eq=False)
class Machine:
    """A core machine.

    If ``held``, its next save stays under way, and ``deferred`` contains the messages that wait for it.
    """

    node: str
    disk: str
    clock: float = 10_000.0
    stored: dict[str, bytes] = field(factory=dict)
    replica: Replica | None = None
    held: bool = False
    saving: dict[str, bytes] | None = None
    deferred: list[tuple[str, dict[str, Any]]] = field(factory=list)

    def copy(self) -> Machine:
        """Returns a copy that can change independently."""
        copied = evolve(self, stored=dict(self.stored), deferred=list(self.deferred))
        if self.replica is not None:
            copied.replica = type(self.replica).__new__(type(self.replica))
            copied.replica.__dict__ = {name: _clone(part) for name, part in vars(self.replica).items()}
        return copied

    def digest(self) -> bytes:
        """Returns a hash of the canonical state."""
        replica_state = (
            None
            if self.replica is None
            else [
                (name, _canonical(name, part, self.clock))
                for name, part in sorted(vars(self.replica).items())
                if name not in IGNORED_FIELDS
            ]
        )
        contents = (
            self.disk,
            sorted(self.stored.items()),
            self.held,
            self.saving,
            self.deferred,
            replica_state,
        )
        return hashlib.blake2b(repr(contents).encode(), digest_size=16).digest()


@frozen
class MachineView:
    """What the checker reads of a machine's state.

    ``held_keys`` are the keys of a held save. ``leading_term`` is the term in which the machine leads, or 0.
    ``base`` and ``identity`` belong to the document in force. ``durable_calls`` are the calls on disk,
    ``known_calls`` those in memory, and ``durable_entries`` the log entries on disk as (index, term).
    ``committed`` is the newest committed entry of a leader.
    """

    node: str
    disk: str
    up: bool
    held: bool
    held_keys: tuple[str, ...] | None
    leading_term: int
    version: int
    base: int
    identity: str
    durable_calls: frozenset[str]
    known_calls: frozenset[str]
    durable_entries: frozenset[tuple[int, int]]
    committed: tuple[int, int]


def _view_of(machine: Machine) -> MachineView:
    replica, stored = machine.replica, machine.stored.get("log", b"")
    durable = frozenset(name for name in CALLS if f'"call-{name}"'.encode() in stored)
    entries = Log.from_bytes(stored).entries if stored else []
    durable_entries = frozenset((entry.index, entry.term) for entry in entries)
    keys = None if machine.saving is None else tuple(sorted(machine.saving))
    if replica is None:
        return MachineView(
            machine.node,
            machine.disk,
            False,
            machine.held,
            keys,
            0,
            0,
            0,
            "",
            durable,
            frozenset(),
            durable_entries,
            (0, 0),
        )
    document, log = replica.current or {"base": -1, "identity": ""}, replica._log
    known_identities = {
        *(identity for _, identity in log.state.history.changes),
        *(entry.identity for entry in log.entries),
    }
    lead = replica.term if replica.is_leader else 0
    return MachineView(
        machine.node,
        machine.disk,
        True,
        machine.held,
        keys,
        lead,
        replica.version,
        document["base"],
        document["identity"],
        durable,
        frozenset(name for name in CALLS if f"call-{name}" in known_identities),
        durable_entries,
        (log.commit_index, log.state.term) if lead else (0, 0),
    )


@frozen
class Outcome:
    """Effect of an event on a machine: number of the next state, messages, and answers (call, status)."""

    state: int
    messages: tuple[SentMessage, ...]
    answers: tuple[tuple[str, int], ...]


class Machines:
    """All states of machines reached so far, and the outcome of each event applied to them."""

    def __init__(self, make: ReplicaFactory, keep_id: bool = False) -> None:
        self.make, self.keep_id = make, keep_id
        self.states: list[Machine] = []
        self.views: list[MachineView] = []
        self.messages: list[tuple[str, str, str]] = []  # sender's disk, receiver's disk, JSON
        self._state_numbers: dict[bytes, int] = {}
        self._message_numbers: dict[tuple[str, str, str], int] = {}
        self._outcomes: dict[tuple[int, str, Any], Outcome] = {}

    def state(self, machine: Machine) -> int:
        """Returns the number of the machine's state."""
        digest = machine.digest()
        number = self._state_numbers.setdefault(digest, len(self.states))
        if number == len(self.states):
            self.states.append(machine)
            self.views.append(_view_of(machine))
        return number

    def message_number(self, sender: str, receiver: str, message: dict[str, Any]) -> int:
        """Returns the number of a message."""
        entry = (sender, receiver, json.dumps(message, sort_keys=True))
        number = self._message_numbers.setdefault(entry, len(self.messages))
        if number == len(self.messages):
            self.messages.append(entry)
        return number

    def apply_event(self, state: int, name: str, what: Any) -> Outcome:
        """Returns the outcome of an event in a state.

        Raises:
            InvariantViolationError: An invariant of the machine doesn't hold after it.
        """
        key = (state, name, what)
        if key not in self._outcomes:
            self._outcomes[key] = self._apply_event(self.states[state].copy(), name, what)
        return self._outcomes[key]

    def _apply_event(self, machine: Machine, name: str, what: Any) -> Outcome:
        replica, version = machine.replica, 0 if machine.replica is None else machine.replica.version
        sent: list[tuple[str, dict[str, Any]]] = []
        answers: list[tuple[str, int]] = []
        if name == "starts":
            machine.replica = replica = self.make(
                machine.disk,
                machine.node,
                dict(machine.stored) or None,
                machine.clock,
                0,
                tolerance=1,
                apply=apply,
            )
            replica._rng = LONGEST_DELAYS
            replica._election_deadline = replica._random_election_deadline()
        elif name in ("loses power", "is emptied"):
            machine.stored |= {key: (machine.saving or {})[key] for key in what}
            if name == "is emptied":
                machine.stored = {}
                machine.disk += "" if self.keep_id else "'"
            machine.replica, machine.saving, machine.deferred, machine.held = None, None, [], False
            replica = None
        elif name == "holds":
            machine.held = True
        assert replica is not None or machine.replica is None
        if replica is not None:
            self._apply_to_replica(machine, replica, name, what, sent)
            self._pump(machine, replica, sent, answers)
            if replica.version < version:
                raise InvariantViolationError(
                    f"the version at {machine.node} goes back from {version} to {replica.version}"
                )
        messages = tuple(
            (receiver, self.message_number(machine.disk, receiver, message)) for receiver, message in sent
        )
        return Outcome(self.state(machine), messages, tuple(answers))

    def _apply_to_replica(
        self, machine: Machine, replica: Replica, name: str, what: Any, sent: list[tuple[str, dict[str, Any]]]
    ) -> None:
        match name:
            case "hears":
                sender, _, text = self.messages[what]
                replica.step(machine.clock, sender, json.loads(text))
            case "times out" | "beats":
                machine.clock += TIMEOUT_MS if name == "times out" else HEARTBEAT_MS
                replica.tick(machine.clock, dict(what))
            case "is called":
                replica.call(machine.clock, what, make_call(what[0]))
            case "founds":
                replica.propose_founding(machine.clock, dict(what))
            case "saves" | "fails to save":
                if name == "saves":
                    machine.stored |= machine.saving or {}
                    self._send(machine, machine.deferred, sent)
                machine.saving, machine.deferred, machine.held = None, [], False
                replica.saved(name == "saves")

    def _pump(
        self,
        machine: Machine,
        replica: Replica,
        sent: list[tuple[str, dict[str, Any]]],
        answers: list[tuple[str, int]],
    ) -> None:
        while (ready := replica.ready()) is not None:
            answers += [(ticket[0], answer.status) for ticket, answer in ready.answers]
            if ready.save is None:
                self._send(machine, ready.messages, sent)
            elif machine.held:
                machine.saving, machine.deferred = ready.save, ready.messages
            else:
                machine.stored |= ready.save
                replica.saved(True)
                self._send(machine, ready.messages, sent)

    def _send(
        self,
        machine: Machine,
        messages: list[tuple[str, dict[str, Any]]],
        sent: list[tuple[str, dict[str, Any]]],
    ) -> None:
        for _, message in messages:
            if message["kind"] in ("vote_reply", "pre_vote_reply") and message["yes"]:
                stored_log = machine.stored.get("log")
                if stored_log is None or Log.from_bytes(stored_log).last_index < 0:
                    raise InvariantViolationError(f"the blank disk of {machine.node} votes")
        sent += messages
