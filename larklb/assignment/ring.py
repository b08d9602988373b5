"""A ring of virtual nodes that callers are looked up on with several probes: the nearest node takes one.

Each server's nodes lie where its id says, whatever other servers there are and whatever was before: two
processes with the same servers have the same ring, and a node that comes takes callers from others without
moving any between those.  With one probe the arcs between nodes differ widely; the nearest of several probes
evens that out (the variance of a server's part is 1 / (nodes x (2 x probes - 1))).
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator, Mapping

from attrs import define, field
from xxhash import xxh3_64_intdigest

BITS = 64  # of a place on the ring
MASK = (1 << BITS) - 1
PROBES = 2  # of a caller: a third one costs a fifth more time
PROBE_STEP = 0x9E3779B97F4A7C15  # odd, so that a caller's next probe is a one-to-one map of the last
PROBE_SHIFT = 0xD1B54A32D192ED03
SHELF = 32  # nodes on a shelf in the mean: what an insertion moves is a few of these

Cursor = tuple[int, int, int, int]  # distance from the probe, the probe's place, shelf, node there


def node_position(server: str, number: int) -> int:
    """Where a server's virtual node lies.

    The number is in what is hashed: as a seed, XXH3 merges it with a short id by XOR, so that "i-1" and "i-9"
    share places.
    """
    return xxh3_64_intdigest(f"{number}#{server}".encode())


def probe_positions(caller: int) -> Iterator[int]:
    """The places from which a caller looks for nodes."""
    for _ in range(PROBES):
        yield caller
        caller = (caller * PROBE_STEP + PROBE_SHIFT) & MASK


@define
class Ring:
    """Virtual nodes of servers, by place.

    Shelves are the index only: how many there are changes no answer.
    """

    _shift: int = BITS
    _places: list[array[int]] = field(factory=lambda: [array("Q")])
    _owners: list[array[int]] = field(factory=lambda: [array("I")])
    _ids: list[str] = field(factory=list)  # by number
    _numbers: dict[str, int] = field(factory=dict)
    _free: list[int] = field(factory=list)  # numbers whose servers have left
    _nodes: dict[str, int] = field(factory=dict)  # how many each server has
    _size: int = 0

    def __len__(self) -> int:
        return self._size

    @property
    def nodes(self) -> Mapping[str, int]:
        """How many virtual nodes each server has."""
        return self._nodes

    def set_nodes(self, server: str, nodes: int) -> None:
        """Gives a server so many virtual nodes, 0 to take it off.  Those it keeps stay where they are."""
        had = self._nodes.get(server, 0)
        if had == nodes:
            return
        if not had:
            self._nodes[server] = 0
            if self._free:
                self._numbers[server] = self._free.pop()
                self._ids[self._numbers[server]] = server
            else:
                self._numbers[server] = len(self._ids)
                self._ids.append(server)
        for number in range(had, nodes):
            self._insert(server, node_position(server, number))
        for number in range(nodes, had):
            self._remove(server, node_position(server, number))
        self._nodes[server] = nodes
        self._size += nodes - had
        if not nodes:
            del self._nodes[server]
            self._free.append(self._numbers.pop(server))
        shelves = len(self._places)
        if self._size > 2 * SHELF * shelves or shelves > 1 and self._size * 4 < SHELF * shelves:
            self._reshelve()

    def _insert(self, server: str, place: int) -> None:
        places, owners = self._places[place >> self._shift], self._owners[place >> self._shift]
        i = bisect_left(places, place)
        while i < len(places) and places[i] == place and self._ids[owners[i]] < server:
            i += 1  # nodes at one place: the order of ids, as in every process
        places.insert(i, place)
        owners.insert(i, self._numbers[server])

    def _remove(self, server: str, place: int) -> None:
        places, owners = self._places[place >> self._shift], self._owners[place >> self._shift]
        i, number = bisect_left(places, place), self._numbers[server]
        while owners[i] != number:
            i += 1
        del places[i], owners[i]

    def _reshelve(self) -> None:
        bits = max(0, (self._size // SHELF).bit_length() - 1)
        places, owners = self._places, self._owners
        self._shift = BITS - bits
        self._places = [array("Q") for _ in range(1 << bits)]
        self._owners = [array("I") for _ in range(1 << bits)]
        for shelf, numbers in zip(places, owners, strict=True):
            for place, number in zip(shelf, numbers, strict=True):
                self._places[place >> self._shift].append(place)
                self._owners[place >> self._shift].append(number)

    def _onward(self, probe: int, at: int, i: int) -> Cursor:
        """The node there, or the next one where the shelf ends."""
        while i >= len(self._places[at]):
            at, i = (at + 1) % len(self._places), 0
        return (self._places[at][i] - probe) & MASK, probe, at, i

    def walk(self, caller: int) -> Iterator[str]:
        """All servers, each once, by the distance of their nearest nodes from the caller's probes."""
        if not self._size:
            return
        cursors = [
            self._onward(p, p >> self._shift, bisect_left(self._places[p >> self._shift], p))
            for p in probe_positions(caller)
        ]
        seen: set[int] = set()
        for _ in range(PROBES * self._size):
            nearest = min(cursors)
            _, probe, at, i = nearest
            number = self._owners[at][i]
            if number not in seen:
                seen.add(number)
                yield self._ids[number]
                if len(seen) == len(self._nodes):
                    return
            cursors[cursors.index(nearest)] = self._onward(probe, at, i + 1)
