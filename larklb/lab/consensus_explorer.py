"""Breadth-first exploration of worlds of three or four core machines and the links between them."""

from __future__ import annotations

import json
from array import array
from collections.abc import Iterator
from itertools import combinations

from attrs import define, evolve, frozen

from larklb.lab.consensus_machines import (
    CALLS,
    FOUNDERS,
    LINKS,
    MAJORITY,
    MAX_CALL_SENDS,
    MAX_HEARTBEATS,
    MAX_LINK_MESSAGES,
    NODES,
    CoarseRounds,
    CounterexampleError,
    Event,
    InvariantViolationError,
    Machine,
    Machines,
    ReplicaFactory,
)


@frozen(cache_hash=True)
class History:
    """The history of a world as far as the checker needs it.

    ``leaders`` holds (term, disk); ``acked`` (call, term of the answering leader); ``chain`` (version, base,
    identity) of all documents that were in force anywhere; ``sent`` how often each call was sent;
    ``committed`` (index, term) of entries committed at any leader.
    """

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
    """The numbers of the machines' states, the numbers of the messages on each link, and the history."""

    states: list[int]
    links: list[tuple[int, ...]]
    history: History


class Explorer:
    """Applies events to worlds of one replica class, and checks the invariants."""

    def __init__(self, make: ReplicaFactory = CoarseRounds, keep_id: bool = False) -> None:
        self.machines = Machines(make, keep_id)
        self._histories: list[History] = []
        self._history_numbers: dict[History, int] = {}
        self.worlds = self.depth = 0

    # Worlds as bytes

    def pack(self, world: World) -> bytes:
        """Encodes a world as bytes."""
        number = self._history_numbers.setdefault(world.history, len(self._histories))
        if number == len(self._histories):
            self._histories.append(world.history)
        flat = [*world.states, number]
        for link in world.links:
            flat += [len(link), *link]
        return array("I", flat).tobytes()

    def unpack(self, packed: bytes) -> World:
        """Decodes a world that ``pack`` encoded."""
        flat = array("I")
        flat.frombytes(packed)
        at, links = len(NODES) + 1, []
        for _ in LINKS:
            links.append(tuple(flat[at + 1 : at + 1 + flat[at]]))
            at += 1 + flat[at]
        return World(list(flat[: len(NODES)]), links, self._histories[flat[len(NODES)]])

    # Events

    def events(self, world: World, faults: int) -> Iterator[tuple[Event, int]]:
        """Yields the possible next events, each with the number of the remaining ``faults`` that it uses."""
        views = [self.machines.views[state] for state in world.states]
        for link, (_, to) in enumerate(LINKS):
            waiting = world.links[link]
            if waiting and views[to].up:
                yield ("arrives", link, 0), 0
                if faults:
                    yield ("comes twice", link, 0), 1
                    yield from ((("overtakes", link, n), 1) for n in range(1, len(waiting)))
            if waiting and faults:
                yield ("is lost", link, 0), 1
        sent = dict(world.history.sent)
        for i, view in enumerate(views):
            if not view.up:
                if i < FOUNDERS or world.history.fourth:
                    yield ("starts", i, None), 0
                continue
            yield ("times out", i, None), 0
            if view.leading_term:
                yield ("beats", i, None), 0
                yield from (
                    (("is called", i, name), 0)
                    for name in self._callable(world.history)
                    if sent.get(name, 0) < MAX_CALL_SENDS
                )
            if view.held_keys is not None:
                yield ("saves", i, None), 0
                yield ("fails to save", i, None), 0
                for n in range(len(view.held_keys) + 1):
                    yield from ((("loses power", i, keys), 0) for keys in combinations(view.held_keys, n))
            elif faults:
                yield ("loses power", i, ()), 1
                if not view.held:
                    yield ("holds", i, None), 1
            if faults and not world.history.emptied:
                yield ("is emptied", i, ()), 1

    @staticmethod
    def _callable(history: History) -> str:
        return "xyz" if any(name == "x" for name, _ in history.acked) else "xy"

    def act(self, world: World, event: Event) -> None:
        """Applies an event to the world.

        Raises:
            InvariantViolationError: An invariant doesn't hold after it.
        """
        name, at, what = event
        if name in ("arrives", "comes twice", "overtakes", "is lost"):
            waiting = world.links[at]
            if name != "comes twice":
                world.links[at] = waiting[:what] + waiting[what + 1 :]
            if name == "is lost":
                return
            at, name, what = LINKS[at][1], "hears", waiting[what]
        elif name in ("times out", "beats", "founds"):
            views = (self.machines.views[state] for state in world.states)
            what = tuple((view.disk, view.node) for view in views if view.up)
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
        before, done = (
            self.machines.views[world.states[at]],
            self.machines.apply_event(world.states[at], name, what),
        )
        world.states[at] = done.state
        disks = [self.machines.views[state].disk for state in world.states]
        for receiver, message in done.messages:
            if receiver in disks and disks.index(receiver) != at:
                link = LINKS.index((at, disks.index(receiver)))
                if message not in world.links[link]:
                    world.links[link] = (*world.links[link], message)[-MAX_LINK_MESSAGES:]
        after = self.machines.views[done.state]
        if (
            done.answers
            or after.leading_term != before.leading_term
            or after.version != before.version
            or (
                after.durable_entries != before.durable_entries
                or after.committed != before.committed
                or name == "is emptied"
            )
        ):
            self._check(world, at, done.answers)

    # What must hold

    def _check(self, world: World, at: int, answers: tuple[tuple[str, int], ...]) -> None:
        old, view = world.history, self.machines.views[world.states[at]]
        leaders, acked, refused, chain = old.leaders, dict(old.acked), old.refused, old.chain
        views, required_copies = (
            [self.machines.views[state] for state in world.states],
            MAJORITY - old.emptied,
        )
        committed = old.committed | ({view.committed} if view.committed[0] > 0 else set())
        for name, status in answers:
            if status == 200:
                acked.setdefault(name, view.leading_term)
            elif status != 503:
                refused |= {name}
                if not any(version > CALLS[name][0] for version, _, _ in chain):
                    raise InvariantViolationError(
                        f"{name} is refused, and nothing newer than its base is in force"
                    )
        bases = [CALLS[name][0] for name in acked]
        if len(set(bases)) < len(bases):
            raise InvariantViolationError(f"{' and '.join(sorted(acked))}: two are acknowledged on one base")
        for name in acked:
            copies = sum(name in each.durable_calls for each in views)
            if copies < required_copies:
                raise InvariantViolationError(f"{name} is acknowledged, and on {copies} disks")
        for entry in committed:
            copies = sum(entry in each.durable_entries for each in views)
            if copies < required_copies:
                raise InvariantViolationError(
                    f"entry {entry[0]} of term {entry[1]} is committed, and on {copies} disks"
                )
        if len({index for index, _ in committed}) < len(committed):
            raise InvariantViolationError("two entries are committed in one place")
        if view.leading_term:
            leaders |= {(view.leading_term, view.disk)}
            if sum(term == view.leading_term for term, _ in leaders) > 1:
                raise InvariantViolationError(f"two lead in term {view.leading_term}")
            for name, term in acked.items():
                if term < view.leading_term and name not in view.known_calls:
                    raise InvariantViolationError(f"{name} is acknowledged, and {view.node} leads without it")
        if view.version:
            chain |= {(view.version, view.base, view.identity)}
            if len({version for version, _, _ in chain}) < len(chain):
                raise InvariantViolationError(f"two are in force under version {view.version}")
            if len({base for _, base, _ in chain}) < len(chain):
                raise InvariantViolationError(f"two are in force on base {view.base}")
            if view.identity[5:] in refused:
                raise InvariantViolationError(f"{view.identity[5:]} was refused, and is in force")
        world.history = evolve(
            old,
            leaders=leaders,
            acked=tuple(sorted(acked.items())),
            refused=refused,
            chain=chain,
            committed=committed,
        )

    # Starts

    def advance_to_voter_change(self, world: World, leader: int, nodes: str) -> None:
        """Sends heartbeats until the leader has appended a change of the voters.

        Raises:
            InvariantViolationError: It hasn't after MAX_HEARTBEATS.
        """
        before = self._voters(world, leader)
        for _ in range(MAX_HEARTBEATS):
            self.act(world, ("beats", leader, None))
            if self._voters(world, leader) != before:
                return
            self.deliver_all(world, nodes)
        raise InvariantViolationError("no change of the voters")

    def _voters(self, world: World, at: int) -> dict[str, str]:
        replica = self.machines.states[world.states[at]].replica
        return replica.voters if replica is not None else {}

    def deliver_all(self, world: World, nodes: str = "".join(NODES)) -> None:
        """Delivers messages among these nodes, the oldest first, until none are left."""
        links = [n for n, (i, j) in enumerate(LINKS) if NODES[i] in nodes and NODES[j] in nodes]
        while waiting := [n for n in links if world.links[n]]:
            self.act(world, ("arrives", waiting[0], 0))

    def start(self, name: str) -> World:
        """Builds the world of a start in ``STARTS``.

        Raises:
            InvariantViolationError: An invariant doesn't hold on the way to it.
        """
        world = World(
            [self.machines.state(Machine(node, node)) for node in NODES], [()] * len(LINKS), History()
        )
        for i in range(FOUNDERS):
            self.act(world, ("starts", i, None))
        self.act(world, ("founds", 0, None))
        self.act(world, ("beats", 0, None))
        self.deliver_all(world)
        self.act(world, ("is called", 0, "w"))
        self.deliver_all(world)
        for step in STARTS[name]:
            kind, _, where = step.partition(" ")
            if kind == "quiet":
                self.deliver_all(world, where)
            elif kind == "change":
                self.advance_to_voter_change(world, NODES.index(where[0]), where)
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

    def explore(self, depth: int, faults: int, max_worlds: int, starts: tuple[str, ...] = ()) -> None:
        """Explores all worlds to a depth, or until there are ``max_worlds``.

        ``worlds`` is then the number of distinct worlds reached, and ``depth`` the depth explored completely.

        Raises:
            CounterexampleError: An invariant doesn't hold; it contains a shortest trace.
        """
        names = starts or tuple(STARTS)
        min_faults: dict[bytes, int] = {}  # packed world -> fewest faults with which it was reached
        parents, steps = array("I"), array("I")  # per world, in the order of discovery
        numbers: dict[Event, int] = {}
        frontier, faults_used = list[bytes](), bytearray()
        for n, name in enumerate(names):
            try:
                frontier.append(self.pack(self.start(name)))
            except InvariantViolationError as error:
                raise CounterexampleError(str(error), name, []) from error
            min_faults[frontier[-1]] = 0
            faults_used.append(0)
            parents.append(n)
            steps.append(0)
        self.depth, first = 0, 0
        for level in range(1, depth + 1):
            reached, costs, following = list[bytes](), bytearray(), len(parents)
            for n, packed in enumerate(frontier):
                if faults_used[n] > min_faults[packed]:
                    continue  # reached with fewer faults at the same depth
                parent = self.unpack(packed)
                for event, cost in self.events(parent, faults - faults_used[n]):
                    world = World(list(parent.states), list(parent.links), parent.history)
                    try:
                        self.act(world, event)
                    except InvariantViolationError as error:
                        path = [event]
                        index, events_by_number = first + n, list(numbers)
                        while index >= len(names):
                            path.append(events_by_number[steps[index]])
                            index = parents[index]
                        raise self._counterexample(str(error), names[index], path[::-1]) from error
                    after, total = self.pack(world), faults_used[n] + cost
                    if min_faults.get(after, faults + 1) <= total:
                        continue
                    min_faults[after] = total
                    if level < depth:
                        reached.append(after)
                        costs.append(total)
                        parents.append(first + n)
                        steps.append(numbers.setdefault(event, len(numbers)))
                self.worlds = len(min_faults)
                if self.worlds >= max_worlds:
                    return
            self.depth, first, frontier, faults_used = level, following, reached, costs

    def _counterexample(self, reason: str, start: str, path: list[Event]) -> CounterexampleError:
        world, steps = self.start(start), []
        for event in path:
            steps.append(self._describe(world, event))
            if len(steps) < len(path):
                self.act(world, event)
        return CounterexampleError(reason, start, steps)

    def _describe(self, world: World, event: Event) -> str:
        name, at, what = event
        if name in ("arrives", "comes twice", "overtakes", "is lost"):
            message = json.loads(self.machines.messages[world.links[at][what]][2])
            return f"{message['kind']} of {NODES[LINKS[at][0]]} to {NODES[LINKS[at][1]]} {name}"
        tail = f" with {what}" if name == "is called" else f", saved: {','.join(what)}" if what else ""
        return f"{NODES[at]} {name}{tail}"


#: Each start begins with three founders, ``a`` leading, and ``w`` acknowledged and on all machines.
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
