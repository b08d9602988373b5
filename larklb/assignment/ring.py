"""A consistent hash ring of virtual nodes, on which callers are looked up by several probes.

The position of a server's nodes depends on its id alone, not on the other servers or on the history: two
processes with the same servers have the same ring, and a new node takes over callers without moving any
between other nodes.  With one probe the arcs between nodes differ widely in length; taking the node closest
to any of several probes evens that out (the variance of a server's share is 1 / (nodes x (2 x probes - 1))).
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator, Mapping

from attrs import define, field
from xxhash import xxh3_64_intdigest

POSITION_BITS = 64
POSITION_MASK = (1 << POSITION_BITS) - 1
# Probes per caller; a third one would make a lookup a fifth slower.
PROBES = 2
# Multiplier (odd) and increment that map a caller's probe one-to-one to its next one.
PROBE_STEP = 0x9E3779B97F4A7C15
PROBE_SHIFT = 0xD1B54A32D192ED03
# Mean number of nodes in a bucket of the index; an insertion moves up to a few times as many.
NODES_PER_BUCKET = 32

Cursor = tuple[
    int, int, int, int
]  # distance from the probe, position of the probe, bucket, index of the node


def node_position(server: str, number: int) -> int:
    """Returns the position of one of a server's virtual nodes.

    The number is part of the hashed text.  As a seed, XXH3 would combine it with a short id by XOR, and "i-1"
    and "i-9" would share positions.
    """
    return xxh3_64_intdigest(f"{number}#{server}".encode())


def probe_positions(caller: int) -> Iterator[int]:
    """Yields the positions from which a caller looks for the nearest node."""
    for _ in range(PROBES):
        yield caller
        caller = (caller * PROBE_STEP + PROBE_SHIFT) & POSITION_MASK


@define
class Ring:
    """Virtual nodes of servers, sorted by position.

    The nodes are indexed by buckets of equal width; their number doesn't affect any result.
    """

    _shift: int = POSITION_BITS  # from a position to its bucket
    _positions: list[array[int]] = field(factory=lambda: [array("Q")])  # of the nodes, by bucket
    _owners: list[array[int]] = field(factory=lambda: [array("I")])  # numbers of their servers, by bucket
    _ids: list[str] = field(factory=list)  # by number
    _numbers: dict[str, int] = field(factory=dict)
    _free_numbers: list[int] = field(factory=list)  # of servers that were removed
    _nodes: dict[str, int] = field(factory=dict)  # number of nodes by server
    _size: int = 0

    def __len__(self) -> int:
        return self._size

    @property
    def nodes(self) -> Mapping[str, int]:
        """The number of virtual nodes of each server."""
        return self._nodes

    def set_nodes(self, server: str, nodes: int) -> None:
        """Sets a server's number of virtual nodes; 0 removes it.  Nodes that remain keep their positions."""
        old_nodes = self._nodes.get(server, 0)
        if old_nodes == nodes:
            return
        if not old_nodes:
            self._nodes[server] = 0
            if self._free_numbers:
                self._numbers[server] = self._free_numbers.pop()
                self._ids[self._numbers[server]] = server
            else:
                self._numbers[server] = len(self._ids)
                self._ids.append(server)
        for number in range(old_nodes, nodes):
            self._insert(server, node_position(server, number))
        for number in range(nodes, old_nodes):
            self._remove(server, node_position(server, number))
        self._nodes[server] = nodes
        self._size += nodes - old_nodes
        if not nodes:
            del self._nodes[server]
            self._free_numbers.append(self._numbers.pop(server))
        buckets = len(self._positions)
        if (
            self._size > 2 * NODES_PER_BUCKET * buckets
            or buckets > 1
            and self._size * 4 < NODES_PER_BUCKET * buckets
        ):
            self._resize_buckets()

    def _insert(self, server: str, position: int) -> None:
        positions, owners = (
            self._positions[position >> self._shift],
            self._owners[position >> self._shift],
        )
        index = bisect_left(positions, position)
        while index < len(positions) and positions[index] == position and self._ids[owners[index]] < server:
            index += 1  # nodes at the same position are in the order of ids, so that all processes agree
        positions.insert(index, position)
        owners.insert(index, self._numbers[server])

    def _remove(self, server: str, position: int) -> None:
        positions, owners = (
            self._positions[position >> self._shift],
            self._owners[position >> self._shift],
        )
        index, number = bisect_left(positions, position), self._numbers[server]
        while owners[index] != number:
            index += 1
        del positions[index], owners[index]

    def _resize_buckets(self) -> None:
        bits = max(0, (self._size // NODES_PER_BUCKET).bit_length() - 1)
        old_positions, old_owners = self._positions, self._owners
        self._shift = POSITION_BITS - bits
        self._positions = [array("Q") for _ in range(1 << bits)]
        self._owners = [array("I") for _ in range(1 << bits)]
        for positions, owners in zip(old_positions, old_owners, strict=True):
            for position, owner in zip(positions, owners, strict=True):
                self._positions[position >> self._shift].append(position)
                self._owners[position >> self._shift].append(owner)

    def _cursor_at(self, probe: int, bucket: int, index: int) -> Cursor:
        """Returns a cursor to the node at `index`, or to the first node of the next non-empty bucket."""
        while index >= len(self._positions[bucket]):
            bucket, index = (bucket + 1) % len(self._positions), 0
        return (self._positions[bucket][index] - probe) & POSITION_MASK, probe, bucket, index

    def walk(self, caller: int) -> Iterator[str]:
        """Yields all servers once, by the distance of their nearest node from any of the caller's probes."""
        if not self._size:
            return
        cursors = [
            self._cursor_at(p, p >> self._shift, bisect_left(self._positions[p >> self._shift], p))
            for p in probe_positions(caller)
        ]
        yielded: set[int] = set()
        for _ in range(PROBES * self._size):
            nearest = min(cursors)
            _, probe, bucket, index = nearest
            number = self._owners[bucket][index]
            if number not in yielded:
                yielded.add(number)
                yield self._ids[number]
                if len(yielded) == len(self._nodes):
                    return
            cursors[cursors.index(nearest)] = self._cursor_at(probe, bucket, index + 1)
