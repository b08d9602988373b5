"""Worlds of three or four core machines and the links between them, explored event by event to a depth."""

from __future__ import annotations

import json
from array import array
from collections.abc import Iterator
from itertools import combinations

from attrs import define, evolve, frozen

from larklb.lab.consensus_machines import (
    CALLS,
    FOUNDERS,
    LINK,
    LINKS,
    MAJORITY,
    MOST_BEATS,
    NODES,
    SENT,
    BrokenError,
    CoarseRounds,
    Event,
    FoundError,
    Machine,
    Machines,
    Make,
)


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
