"""Who owns a customer: consistent hashing over the limiters of its set (Chronon; see the design)."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

VIRTUAL_NODES = 128        # per gateway, from the design: evens out the shares of the ring
ARC = (1 << 64) // VIRTUAL_NODES                  # of the ring, for one virtual node of each gateway


def digest(text: str) -> int:
    """The same 64 bits in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def ring_owner(key: int, members: Sequence[int]) -> int:
    """The first member clockwise of the key on one ring of all gateways, each with a node in every arc."""
    arc, at = divmod(key, ARC)
    while True:
        nodes = [(place, g) for g in members if (place := digest(f"{g}:{arc % VIRTUAL_NODES}") % ARC) > at]
        if nodes:
            return min(nodes)[1]
        arc, at = arc + 1, -1


def members(first: int, spread: int, gateways: int) -> list[int]:
    """A customer's set: ``spread`` consecutive limiters from number ``first``, wrapping round (protocol)."""
    return [(first + i) % gateways for i in range(spread)]
