"""Explores what three core machines can come to over the configuration, exhaustively to a depth.

The machines run the real ``Replica``.  An event is one of: the oldest word of a link arrives; a replica's
time runs out; a leader's heartbeat; an operator's call (two, on one base, each sent twice at the most); a
machine starts again; and, each of these a fault, a word is lost, comes twice or overtakes older ones, power
is lost, a disk is emptied (one at the most: the tolerance), a disk holds its next save.  A save that is held
becomes durable, fails, or is lost with power, of each key apart; what arrives meanwhile waits for it.  All
other saves are durable at once.  Words beyond ``LINK`` on a link push out the oldest; one that is on its way
already isn't sent again.

Each machine has its own clock; no word tells a time.  So a machine's state counts with times as ages, an
event does the same to equal states, and is played once for each: worlds are numbers of states.  Random delays
are pinned to their longest: the time-out is an event.

What must hold in each world: no two changes acknowledged (or in force) on one base; what is acknowledged, and
what a leader has committed, is on a majority of disks, less those emptied, and never changes; each later
leader has what is acknowledged; what was refused isn't in force; a version never goes back within a life; one
leader a term; a blank disk never votes.

    python -m larklb.lab.check_consensus [--depth N] [--faults K] [--worlds M] [--start NAME] [--seeded NAME]

prints worlds, depth and what held; where something doesn't, the shortest trace, and exits 1.  From all ten
starts, depth 5 with one fault: 653,275 worlds, reached whole, nothing broken. Before rounds and a fourth
machine were part of the states: depth 6 with two faults, 3,617,986 worlds; depth 7 with one, 4,874,022;
depth 9 with none, 4,963,942.  What takes more events from each of ``STARTS`` lies beyond: an
acknowledgement that outlives the entry it tells of (replies kept over a new term) isn't found at depth 5
with two faults; ``test_consensus`` guards against it."""

from __future__ import annotations

import argparse
import hashlib
import json
import logging
import random
import sys
from array import array
from collections import deque
from collections.abc import Callable, Iterator
from itertools import combinations
from typing import Any

import attrs
import msgspec
from attrs import define, evolve, field, frozen

from larklb.consensus.founding_protocol import FOUND_MS
from larklb.consensus.group import HEARD_MS, SILENT_MS
from larklb.consensus.history import Repeat
from larklb.consensus.interface import Call, Ready
from larklb.consensus.log import Log
from larklb.consensus.membership_change import LEARNER_MS
from larklb.consensus.messages import AppendEntries, InstallSnapshot, Stamp, VoteRequest
from larklb.consensus.replica import RETRY_MS, Replica
from larklb.consensus.timing import Timing

TIMING = Timing()
NODES = ("a", "b", "c", "d")  # the last one is there only from the start ``fourth`` on
FOUNDERS = 3
LINKS = tuple((i, j) for i in range(len(NODES)) for j in range(len(NODES)) if i != j)
MAJORITY = 2
LINK = 3  # words under way on a link
SENT = 2  # times that an operator sends a call
TIME_OUT = 1400.0  # ms, beyond the longest of an election and of a leader without word of a majority
BEAT = 150.0  # ms, the leader's heartbeat
MOST_BEATS = 60  # in which a silent voter must be about to be replaced
DEPTH, FAULTS, WORLDS = 6, 2, 6_000_000
HELD = (
    "no two on one base",
    "what is acknowledged or committed stays",
    "refused isn't in force",
    "no version goes back",
    "no refusal is untrue",
    "one leader a term",
    "no blank disk votes",
)

Make = Callable[..., Replica]
Event = tuple[str, int, Any]
Said = tuple[str, int]  # the receiver's disk, the word's number


class BrokenError(AssertionError):
    """Something doesn't hold."""


class FoundError(AssertionError):
    """A world in which something doesn't hold; ``steps`` lead there from the start ``start``."""

    def __init__(self, why: str, start: str, steps: list[str]) -> None:
        super().__init__(f"{why}, {len(steps)} steps from '{start}': " + "; ".join(steps))
        self.why, self.start, self.steps = why, start, steps


class Pinned(random.Random):
    """Delays are the longest; a group_id is always the same."""

    def uniform(self, a: float, b: float) -> float:
        return b

    def randrange(self, *_: Any) -> int:
        return 7


PINNED = Pinned()


def apply(document: dict[str, Any] | None, call: Call) -> dict[str, Any]:
    return {"version": call.body["version"], "base": call.base, "identity": call.identity}


#: Name -> base and version; ``w`` is taken before the start, ``z`` is sent once ``x`` is acknowledged.
CALLS = {"w": (0, 1), "x": (1, 2), "y": (1, 3), "z": (2, 4)}


def call_of(name: str) -> Call:
    base, version = CALLS[name]
    return Call("replace", base, {"version": version}, f"call-{name}")


# A machine


def _clone(value: Any) -> Any:
    """A copy that shares what is never changed: words, entries, snapshots."""
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
        made = kind.__new__(kind)
        for each in attrs.fields(kind):
            setattr(made, each.name, _clone(getattr(value, each.name)))
        return made
    return value


#: Times of a replica, and the age from which on all count alike: nothing compares them with a greater one.
TIMES = {
    "_sticky": TIMING.election[1] + BEAT,
    "_asked": FOUND_MS,
    "_pushed": TIMING.heartbeat,
    "_saving_since": TIMING.hang + BEAT,
    "_failed": RETRY_MS,
    "heard": max(TIMING.quorum, LEARNER_MS),
    "_quorum_at": TIMING.quorum,
    "_rounds": TIMING.quorum,
    "_current_at": TIMING.quorum,
    "due": 0.0,
    "start": SILENT_MS,
    "_since": HEARD_MS,
    "_last": SILENT_MS,
}
#: A deadline is over whenever a time-out comes.
UNSEEN = {"_now", "_rng", "_apply", "_tolerance", "_timing", "_deadline", "node", "encoded"}


class CoarseRounds(Replica):
    """Begins a new round only where a call waits for one, so that there are few states. A round that is sent
    again proves no more: whoever answers it has heard of it after the call that asked for it."""

    def _stamp(self) -> Stamp:
        """No message tells a time; what stamps are for is checked in ``control_faults``."""
        return 0, 0.0

    def _broadcast(self) -> None:
        waiting = [*self._calls.reads, *self._calls.verdicts]
        if not any(each.at > self._round for each in waiting):
            self._round -= 1
        super()._broadcast()


def _look(name: str, value: Any, now: float) -> Any:
    """By what states are told apart: everything, with times as ages and sets in order."""
    if isinstance(value, float) and name in TIMES:
        return max(-TIMES[name], value - now)
    if isinstance(value, dict):
        return [(key, _look(name, part, now)) for key, part in sorted(value.items())]
    if isinstance(value, set):
        return sorted(value)
    if isinstance(value, list | deque | tuple):
        return [_look(name, part, now) for part in value]
    if attrs.has(type(value)):
        return [
            _look(each.name, getattr(value, each.name), now)
            for each in attrs.fields(type(value))
            if each.name not in UNSEEN
        ]
    return value


@define(eq=False)
class Machine:
    """``held``: the next save stays under way; ``after``: the words that wait for it."""

    node: str
    disk: str
    clock: float = 10_000.0
    stored: dict[str, bytes] = field(factory=dict)
    replica: Replica | None = None
    held: bool = False
    saving: dict[str, bytes] | None = None
    after: list[tuple[str, dict[str, Any]]] = field(factory=list)

    def copy(self) -> Machine:
        made = evolve(self, stored=dict(self.stored), after=list(self.after))
        if self.replica is not None:
            made.replica = type(self.replica).__new__(type(self.replica))
            made.replica.__dict__ = {name: _clone(part) for name, part in vars(self.replica).items()}
        return made

    def look(self) -> bytes:
        inside = (
            None
            if self.replica is None
            else [
                (name, _look(name, part, self.clock))
                for name, part in sorted(vars(self.replica).items())
                if name not in UNSEEN
            ]
        )
        seen = (self.disk, sorted(self.stored.items()), self.held, self.saving, self.after, inside)
        return hashlib.blake2b(repr(seen).encode(), digest_size=16).digest()


@frozen
class Face:
    """What the checker reads of a machine's state. ``keys``: of the save that is held; ``lead``: the term in
    which it leads, or 0; ``base`` and ``identity`` of the document in force; ``durable`` and ``known``: calls
    on disk, and in memory; ``kept``: the entries on disk, (index, term); ``committed``: a leader's newest
    that is committed."""

    node: str
    disk: str
    up: bool
    held: bool
    keys: tuple[str, ...] | None
    lead: int
    version: int
    base: int
    identity: str
    durable: frozenset[str]
    known: frozenset[str]
    kept: frozenset[tuple[int, int]]
    committed: tuple[int, int]


def _face(machine: Machine) -> Face:
    replica, stored = machine.replica, machine.stored.get("log", b"")
    durable = frozenset(name for name in CALLS if f'"call-{name}"'.encode() in stored)
    entries = Log.read(stored).entries if stored else []
    kept = frozenset((entry.index, entry.term) for entry in entries)
    keys = None if machine.saving is None else tuple(sorted(machine.saving))
    if replica is None:
        return Face(
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
            kept,
            (0, 0),
        )
    document, log = replica.current or {"base": -1, "identity": ""}, replica._log
    known = {
        *(identity for _, identity in log.state.history.taken),
        *(entry.identity for entry in log.entries),
    }
    lead = replica.term if replica.is_leader else 0
    return Face(
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
        frozenset(name for name in CALLS if f"call-{name}" in known),
        kept,
        (log.commit, log.state.term) if lead else (0, 0),
    )


@frozen
class Outcome:
    """Of one event at one machine: its next state's number, words, and answers (call, status)."""

    state: int
    words: tuple[Said, ...]
    answers: tuple[tuple[str, int], ...]


class Machines:
    """All states of machines met so far, and what each event did to each."""

    def __init__(self, make: Make, keep_id: bool = False) -> None:
        self.make, self.keep_id = make, keep_id
        self.states: list[Machine] = []
        self.faces: list[Face] = []
        self.words: list[tuple[str, str, str]] = []  # sender's disk, receiver's, JSON
        self._state_of: dict[bytes, int] = {}
        self._word_of: dict[tuple[str, str, str], int] = {}
        self._done: dict[tuple[int, str, Any], Outcome] = {}

    def state(self, machine: Machine) -> int:
        look = machine.look()
        number = self._state_of.setdefault(look, len(self.states))
        if number == len(self.states):
            self.states.append(machine)
            self.faces.append(_face(machine))
        return number

    def word(self, sender: str, receiver: str, message: dict[str, Any]) -> int:
        word = (sender, receiver, json.dumps(message, sort_keys=True))
        number = self._word_of.setdefault(word, len(self.words))
        if number == len(self.words):
            self.words.append(word)
        return number

    def happens(self, state: int, name: str, what: Any) -> Outcome:
        """Raises BrokenError."""
        key = (state, name, what)
        if key not in self._done:
            self._done[key] = self._play(self.states[state].copy(), name, what)
        return self._done[key]

    def _play(self, machine: Machine, name: str, what: Any) -> Outcome:
        replica, version = machine.replica, 0 if machine.replica is None else machine.replica.version
        out: list[tuple[str, dict[str, Any]]] = []
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
            replica._rng = PINNED
            replica._deadline = replica._draw()
        elif name in ("loses power", "is emptied"):
            machine.stored |= {key: (machine.saving or {})[key] for key in what}
            if name == "is emptied":
                machine.stored = {}
                machine.disk += "" if self.keep_id else "'"
            machine.replica, machine.saving, machine.after, machine.held = None, None, [], False
            replica = None
        elif name == "holds":
            machine.held = True
        assert replica is not None or machine.replica is None
        if replica is not None:
            self._at_replica(machine, replica, name, what, out)
            self._pump(machine, replica, out, answers)
            if replica.version < version:
                raise BrokenError(
                    f"the version at {machine.node} goes back from {version} to {replica.version}"
                )
        words = tuple((receiver, self.word(machine.disk, receiver, message)) for receiver, message in out)
        return Outcome(self.state(machine), words, tuple(answers))

    def _at_replica(
        self, machine: Machine, replica: Replica, name: str, what: Any, out: list[tuple[str, dict[str, Any]]]
    ) -> None:
        match name:
            case "hears":
                sender, _, text = self.words[what]
                replica.step(machine.clock, sender, json.loads(text))
            case "times out" | "beats":
                machine.clock += TIME_OUT if name == "times out" else BEAT
                replica.tick(machine.clock, dict(what))
            case "is called":
                replica.call(machine.clock, what, call_of(what[0]))
            case "founds":
                replica.found(machine.clock, dict(what))
            case "saves" | "fails to save":
                if name == "saves":
                    machine.stored |= machine.saving or {}
                    self._post(machine, machine.after, out)
                machine.saving, machine.after, machine.held = None, [], False
                replica.saved(name == "saves")

    def _pump(
        self,
        machine: Machine,
        replica: Replica,
        out: list[tuple[str, dict[str, Any]]],
        answers: list[tuple[str, int]],
    ) -> None:
        while (ready := replica.ready()) is not None:
            answers += [(ticket[0], answer.status) for ticket, answer in ready.answers]
            if ready.save is None:
                self._post(machine, ready.messages, out)
            elif machine.held:
                machine.saving, machine.after = ready.save, ready.messages
            else:
                machine.stored |= ready.save
                replica.saved(True)
                self._post(machine, ready.messages, out)

    def _post(
        self,
        machine: Machine,
        messages: list[tuple[str, dict[str, Any]]],
        out: list[tuple[str, dict[str, Any]]],
    ) -> None:
        for _, message in messages:
            if message["kind"] in ("vote_reply", "pre_vote_reply") and message["yes"]:
                kept = machine.stored.get("log")
                if kept is None or Log.read(kept).last < 0:
                    raise BrokenError(f"the blank disk of {machine.node} votes")
        out += messages


# A world of three


@frozen(cache_hash=True)
class History:
    """What the checker remembers. ``leaders``: (term, disk); ``acked``: (call, term of who answered);
    ``chain``: (version, base, identity) in force anywhere; ``sent``: how often each call was; ``committed``:
    (index, term) at any leader."""

    leaders: frozenset[tuple[int, str]] = frozenset()
    acked: tuple[tuple[str, int], ...] = ()
    refused: frozenset[str] = frozenset()
    chain: frozenset[tuple[int, int, str]] = frozenset()
    sent: tuple[tuple[str, int], ...] = ()
    emptied: int = 0
    fourth: bool = False
    committed: frozenset[tuple[int, int]] = frozenset()


@define(eq=False)
class World:
    """Numbers of the three machines' states, the words under way on each link, and the history."""

    of: list[int]
    links: list[tuple[int, ...]]
    history: History


class Explorer:
    """Plays events in worlds of one kind of replica, and checks them."""

    def __init__(self, make: Make = CoarseRounds, keep_id: bool = False) -> None:
        self.all = Machines(make, keep_id)
        self._histories: list[History] = []
        self._history_of: dict[History, int] = {}
        self.worlds = self.depth = 0

    # Worlds as bytes

    def pack(self, world: World) -> bytes:
        number = self._history_of.setdefault(world.history, len(self._histories))
        if number == len(self._histories):
            self._histories.append(world.history)
        flat = [*world.of, number]
        for link in world.links:
            flat += [len(link), *link]
        return array("I", flat).tobytes()

    def unpack(self, packed: bytes) -> World:
        flat = array("I")
        flat.frombytes(packed)
        at, links = len(NODES) + 1, []
        for _ in LINKS:
            links.append(tuple(flat[at + 1 : at + 1 + flat[at]]))
            at += 1 + flat[at]
        return World(list(flat[: len(NODES)]), links, self._histories[flat[len(NODES)]])

    # Events

    def events(self, world: World, faults: int) -> Iterator[tuple[Event, int]]:
        """Those that may be next, with what each costs of the ``faults`` left."""
        faces = [self.all.faces[state] for state in world.of]
        for link, (_, to) in enumerate(LINKS):
            waiting = world.links[link]
            if waiting and faces[to].up:
                yield ("arrives", link, 0), 0
                if faults:
                    yield ("comes twice", link, 0), 1
                    yield from ((("overtakes", link, n), 1) for n in range(1, len(waiting)))
            if waiting and faults:
                yield ("is lost", link, 0), 1
        sent = dict(world.history.sent)
        for i, face in enumerate(faces):
            if not face.up:
                if i < FOUNDERS or world.history.fourth:
                    yield ("starts", i, None), 0
                continue
            yield ("times out", i, None), 0
            if face.lead:
                yield ("beats", i, None), 0
                yield from (
                    (("is called", i, name), 0)
                    for name in self._callable(world.history)
                    if sent.get(name, 0) < SENT
                )
            if face.keys is not None:
                yield ("saves", i, None), 0
                yield ("fails to save", i, None), 0
                for n in range(len(face.keys) + 1):
                    yield from ((("loses power", i, keys), 0) for keys in combinations(face.keys, n))
            elif faults:
                yield ("loses power", i, ()), 1
                if not face.held:
                    yield ("holds", i, None), 1
            if faults and not world.history.emptied:
                yield ("is emptied", i, ()), 1

    @staticmethod
    def _callable(history: History) -> str:
        return "xyz" if any(name == "x" for name, _ in history.acked) else "xy"

    def act(self, world: World, event: Event) -> None:
        """Plays an event in the world. Raises BrokenError."""
        name, at, what = event
        if name in ("arrives", "comes twice", "overtakes", "is lost"):
            waiting = world.links[at]
            if name != "comes twice":
                world.links[at] = waiting[:what] + waiting[what + 1 :]
            if name == "is lost":
                return
            at, name, what = LINKS[at][1], "hears", waiting[what]
        elif name in ("times out", "beats", "founds"):
            faces = (self.all.faces[state] for state in world.of)
            what = tuple((face.disk, face.node) for face in faces if face.up)
        elif name == "is called":
            sent = dict(world.history.sent)
            sent[what] = sent.get(what, 0) + 1
            world.history = evolve(world.history, sent=tuple(sorted(sent.items())))
            what += str(sent[what])
        elif name == "is emptied":
            world.history = evolve(world.history, emptied=world.history.emptied + 1)
            for link, (_, to) in enumerate(LINKS):
                if to == at:
                    world.links[link] = ()
        if name == "starts" and at >= FOUNDERS:
            world.history = evolve(world.history, fourth=True)
        before, done = self.all.faces[world.of[at]], self.all.happens(world.of[at], name, what)
        world.of[at] = done.state
        disks = [self.all.faces[state].disk for state in world.of]
        for receiver, word in done.words:
            if receiver in disks and disks.index(receiver) != at:
                link = LINKS.index((at, disks.index(receiver)))
                if word not in world.links[link]:
                    world.links[link] = (*world.links[link], word)[-LINK:]
        after = self.all.faces[done.state]
        if (
            done.answers
            or after.lead != before.lead
            or after.version != before.version
            or (after.kept != before.kept or after.committed != before.committed or name == "is emptied")
        ):
            self._check(world, at, done.answers)

    # What must hold

    def _check(self, world: World, at: int, answers: tuple[tuple[str, int], ...]) -> None:
        old, face = world.history, self.all.faces[world.of[at]]
        leaders, acked, refused, chain = old.leaders, dict(old.acked), old.refused, old.chain
        faces, least = [self.all.faces[state] for state in world.of], MAJORITY - old.emptied
        committed = old.committed | ({face.committed} if face.committed[0] > 0 else set())
        for name, status in answers:
            if status == 200:
                acked.setdefault(name, face.lead)
            elif status != 503:
                refused |= {name}
                if not any(version > CALLS[name][0] for version, _, _ in chain):
                    raise BrokenError(f"{name} is refused, and nothing newer than its base is in force")
        bases = [CALLS[name][0] for name in acked]
        if len(set(bases)) < len(bases):
            raise BrokenError(f"{' and '.join(sorted(acked))}: two are acknowledged on one base")
        for name in acked:
            on = sum(name in each.durable for each in faces)
            if on < least:
                raise BrokenError(f"{name} is acknowledged, and on {on} disks")
        for entry in committed:
            on = sum(entry in each.kept for each in faces)
            if on < least:
                raise BrokenError(f"entry {entry[0]} of term {entry[1]} is committed, and on {on} disks")
        if len({index for index, _ in committed}) < len(committed):
            raise BrokenError("two entries are committed in one place")
        if face.lead:
            leaders |= {(face.lead, face.disk)}
            if sum(term == face.lead for term, _ in leaders) > 1:
                raise BrokenError(f"two lead in term {face.lead}")
            for name, term in acked.items():
                if term < face.lead and name not in face.known:
                    raise BrokenError(f"{name} is acknowledged, and {face.node} leads without it")
        if face.version:
            chain |= {(face.version, face.base, face.identity)}
            if len({version for version, _, _ in chain}) < len(chain):
                raise BrokenError(f"two are in force under version {face.version}")
            if len({base for _, base, _ in chain}) < len(chain):
                raise BrokenError(f"two are in force on base {face.base}")
            if face.identity[5:] in refused:
                raise BrokenError(f"{face.identity[5:]} was refused, and is in force")
        world.history = evolve(
            old,
            leaders=leaders,
            acked=tuple(sorted(acked.items())),
            refused=refused,
            chain=chain,
            committed=committed,
        )

    # Starts

    def until_change(self, world: World, leader: int, among: str) -> None:
        """Heartbeats until the leader has appended a change of the voters. Raises BrokenError."""
        before = self._voters(world, leader)
        for _ in range(MOST_BEATS):
            self.act(world, ("beats", leader, None))
            if self._voters(world, leader) != before:
                return
            self.quiet(world, among)
        raise BrokenError("no change of the voters")

    def _voters(self, world: World, at: int) -> dict[str, str]:
        replica = self.all.states[world.of[at]].replica
        return replica.voters if replica is not None else {}

    def quiet(self, world: World, among: str = "".join(NODES)) -> None:
        """Words arrive among these, the oldest first, until there are none."""
        links = [n for n, (i, j) in enumerate(LINKS) if NODES[i] in among and NODES[j] in among]
        while waiting := [n for n in links if world.links[n]]:
            self.act(world, ("arrives", waiting[0], 0))

    def start(self, name: str) -> World:
        """A world of ``STARTS``. Raises BrokenError."""
        world = World([self.all.state(Machine(node, node)) for node in NODES], [()] * len(LINKS), History())
        for i in range(FOUNDERS):
            self.act(world, ("starts", i, None))
        self.act(world, ("founds", 0, None))
        self.act(world, ("beats", 0, None))
        self.quiet(world)
        self.act(world, ("is called", 0, "w"))
        self.quiet(world)
        for step in STARTS[name]:
            kind, _, where = step.partition(" ")
            if kind == "quiet":
                self.quiet(world, where)
            elif kind == "change":
                self.until_change(world, NODES.index(where[0]), where)
            elif kind in ("word", "lose"):
                link = LINKS.index((NODES.index(where[0]), NODES.index(where[1])))
                self.act(world, ("arrives" if kind == "word" else "is lost", link, 0))
            else:
                what = {
                    "call": ("is called", where[1:]),
                    "out": ("times out", None),
                    "start": ("starts", None),
                    "power": ("loses power", ()),
                    "empty": ("is emptied", ()),
                    "beat": ("beats", None),
                }
                self.act(world, (what[kind][0], NODES.index(where[0]), what[kind][1]))
        return world

    # Breadth first

    def explore(self, depth: int, faults: int, most: int, starts: tuple[str, ...] = ()) -> None:
        """Plays all worlds to a depth or until there are ``most``; ``worlds`` and ``depth`` tell what was
        reached whole. Raises FoundError."""
        names = starts or tuple(STARTS)
        spent: dict[bytes, int] = {}  # packed world -> the least faults with which it was met
        parents, steps = array("I"), array("I")  # of each world in the order in which they were met
        numbers: dict[Event, int] = {}
        frontier, used = list[bytes](), bytearray()
        for n, name in enumerate(names):
            try:
                frontier.append(self.pack(self.start(name)))
            except BrokenError as error:
                raise FoundError(str(error), name, []) from error
            spent[frontier[-1]] = 0
            used.append(0)
            parents.append(n)
            steps.append(0)
        self.depth, first = 0, 0
        for level in range(1, depth + 1):
            reached, costs, following = list[bytes](), bytearray(), len(parents)
            for n, packed in enumerate(frontier):
                if used[n] > spent[packed]:
                    continue  # met in the same depth with fewer
                here = self.unpack(packed)
                for event, cost in self.events(here, faults - used[n]):
                    world = World(list(here.of), list(here.links), here.history)
                    try:
                        self.act(world, event)
                    except BrokenError as error:
                        path = [event]
                        index, known = first + n, list(numbers)
                        while index >= len(names):
                            path.append(known[steps[index]])
                            index = parents[index]
                        raise self._found(str(error), names[index], path[::-1]) from error
                    after, total = self.pack(world), used[n] + cost
                    if spent.get(after, faults + 1) <= total:
                        continue
                    spent[after] = total
                    if level < depth:
                        reached.append(after)
                        costs.append(total)
                        parents.append(first + n)
                        steps.append(numbers.setdefault(event, len(numbers)))
                self.worlds = len(spent)
                if self.worlds >= most:
                    return
            self.depth, first, frontier, used = level, following, reached, costs

    def _found(self, why: str, start: str, path: list[Event]) -> FoundError:
        world, steps = self.start(start), []
        for event in path:
            steps.append(self._told(world, event))
            if len(steps) < len(path):
                self.act(world, event)
        return FoundError(why, start, steps)

    def _told(self, world: World, event: Event) -> str:
        name, at, what = event
        if name in ("arrives", "comes twice", "overtakes", "is lost"):
            word = json.loads(self.all.words[world.links[at][what]][2])
            return f"{word['kind']} of {NODES[LINKS[at][0]]} to {NODES[LINKS[at][1]]} {name}"
        tail = f" with {what}" if name == "is called" else f", saved: {','.join(what)}" if what else ""
        return f"{NODES[at]} {name}{tail}"


#: All begin with three founded, ``a`` leading, and ``w`` acknowledged everywhere.
STARTS: dict[str, tuple[str, ...]] = {
    "led": (),
    "uncommitted": ("call ax",),
    "newcomer": ("empty c", "start c", "beat a", "quiet ab", "beat a", "quiet ab", "beat a"),
    "contest": (
        "power a",
        "out b",
        "out c",
        "word bc",
        "word cb",
        "word bc",
        "word cb",
        "lose ba",
        "lose ca",
        "start a",
    ),
    "new leader": (
        "call ax",
        "word ac",
        "power a",
        "out b",
        "lose bc",
        "lose ba",
        "out c",
        "word cb",
        "word bc",
    ),
    "deposed": (
        "call ax",
        "out c",
        "lose cb",
        "lose ca",
        "out b",
        "word bc",
        "word cb",
        "word bc",
        "word cb",
        "lose ba",
        "lose ba",
    ),
    "old leader": (
        *("out b", "lose bc", "lose ba", "out c", "word cb", "word bc", "quiet bc", "beat c", "quiet bc"),
        *("call cx", "quiet bc"),
    ),
    "fourth": ("power c", "start d", "change abd"),
    "replaced": ("power c", "start d", "change abd", "quiet abd", "change abd"),
    "snapshot": (
        "empty c",
        "start c",
        "beat a",
        "quiet ab",
        "beat a",
        "quiet ab",
        "beat a",
        "word ac",
        "word ca",
    ),
}


# Seeded faults


class Early(CoarseRounds):
    """Sends words before the save that they stand on is durable."""

    _late: Ready | None = None

    def ready(self) -> Ready | None:
        if self._late is not None:
            late, self._late = self._late, None
            return late
        made = super().ready()
        if made is not None and made.save:
            self._late = Ready(made.save)
            return Ready(None, made.messages)
        return made


class Fickle(CoarseRounds):
    """Votes for all who ask in a term."""

    def _on_vote_request(self, sender: str, message: VoteRequest) -> None:
        if message.term == self.term:
            self._hard_state.vote = ""
        super()._on_vote_request(sender, message)


class Deaf(CoarseRounds):
    """Doesn't compare the base of a change."""

    def _verdict(self, call: Call) -> Any:
        repeat = self._log.state.history.judge(call.base, call.identity, self.version)
        base = call.base if repeat is Repeat.TAKEN else self.version
        return super()._verdict(Call(call.kind, base, call.body, call.identity))


class Backward(CoarseRounds):
    """Takes a snapshot that is older than what it has."""

    def _on_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        if message.term == self.term and message.snapshot["index"] < self._log.commit:
            self._log = Log(self._hard_state.group_id)
        super()._on_snapshot(sender, message)


class Obedient(CoarseRounds):
    """Follows leaders of older terms."""

    def _heed(self, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        newest = max(message.term, self.term)
        return super()._heed(sender, msgspec.structs.replace(message, term=newest))


class Blank(CoarseRounds):
    """Votes while its disk is blank, and the emptied disk keeps its id."""

    def _may_vote(self) -> bool:
        return True


class Amnesic(CoarseRounds):
    """Forgets its term and vote at a start."""

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        kept = self._hard_state
        self._hard_state = evolve(kept, term=self._log.end[0], vote="")


class Hopeful(CoarseRounds):
    """Takes a failed save for a durable one."""

    def saved(self, ok: bool) -> None:
        super().saved(True)


class Hasty(CoarseRounds):
    """Refuses at once, without a majority's word."""

    def _judge(self) -> None:
        super()._judge()
        for waiting in self._calls.verdicts:
            if waiting.verdict is not None:
                self._answers.append((waiting.ticket, waiting.verdict))
        self._calls.verdicts.clear()


class Shrinking(CoarseRounds):
    """Counts a change of the voters only from its commit on, and needs half of them."""

    def _advance(self) -> None:
        kept = self._log
        if kept.pending("voters") and self.is_leader:
            self._log.advance(self._durable)
        super()._advance()


SEEDED: dict[str, type[Replica]] = {
    "words-before-saves": Early,
    "votes-for-all": Fickle,
    "base-not-compared": Deaf,
    "snapshot-goes-back": Backward,
    "old-terms-heeded": Obedient,
    "blank-disk-votes": Blank,
    "vote-forgotten": Amnesic,
    "failed-save-counts": Hopeful,
    "refused-from-memory": Hasty,
    "group-changes-alone": Shrinking,
}


def seeded(name: str) -> Explorer:
    """Of replicas with this fault ('' for none)."""
    return Explorer(SEEDED[name], keep_id=name == "blank-disk-votes") if name else Explorer()


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m larklb.lab.check_consensus")
    parser.add_argument("--depth", type=int, default=DEPTH, help="events from a start")
    parser.add_argument("--faults", type=int, default=FAULTS, help="of them, at the most")
    parser.add_argument("--worlds", type=int, default=WORLDS, help="at which it ends")
    parser.add_argument("--start", choices=sorted(STARTS), default="", help="from this one alone")
    parser.add_argument("--seeded", choices=sorted(SEEDED), default="", help="a fault put in")
    options = parser.parse_args(arguments)
    logging.getLogger("larklb.consensus").setLevel(logging.ERROR)  # failed saves are events here
    explorer, found = seeded(options.seeded), None
    starts = (options.start,) if options.start else tuple(STARTS)
    try:
        explorer.explore(options.depth, options.faults, options.worlds, starts)
    except FoundError as error:
        found = error
    print(
        f"{explorer.worlds} worlds, depth {explorer.depth} reached whole, at most {options.faults} faults, "
        f"{len(explorer.all.states)} states of a machine, {len(starts)} starts"
    )
    if found is None:
        print("held: " + "; ".join(HELD))
        return 0
    print(f"broken: {found.why}\nfrom '{found.start}', {len(found.steps)} steps:")
    print("\n".join(f"  {n}. {step}" for n, step in enumerate(found.steps, 1)))
    return 1


if __name__ == "__main__":
    sys.exit(main())
