"""Assignment of customers to owners by consistent hashing over the limiters of a customer's set."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

# Virtual nodes of each gateway, from the design: they even out the gateways' shares of the ring.
VIRTUAL_NODES = 128
# Length of the arc of the ring in which each gateway has one virtual node.
ARC = (1 << 64) // VIRTUAL_NODES


def digest(text: str) -> int:
    """A 64-bit hash of a text, the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def ring_owner(key: int, members: Sequence[int]) -> int:
    """The first member clockwise of the key on one ring of all gateways, each with a node in every arc.

    ``key`` is a 64-bit digest.
    """
    arc, at = divmod(key, ARC)
    while True:
        nodes = [(place, g) for g in members if (place := digest(f"{g}:{arc % VIRTUAL_NODES}") % ARC) > at]
        if nodes:
            return min(nodes)[1]
        arc, at = arc + 1, -1


def members(first: int, spread: int, gateways: int) -> list[int]:
    """A customer's set: ``spread`` consecutive limiters from number ``first``, modulo ``gateways``."""
    return [(first + i) % gateways for i in range(spread)]
