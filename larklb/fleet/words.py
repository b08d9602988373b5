"""What goes into a message to a peer, and when: items that wait, and what rides along while there is room.

A message goes at once where the pace allows it (``pace.py``); else what comes meanwhile goes with it.  In
front stand the items that somebody waits for, then counts that an owner is owed, then findings, then what
this limiter has out at the servers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from larklb import peerwire as pw
from larklb.fleet.pace import Pace
from larklb.fleet.verdicts import LIMITER, Finding, Verdicts
from larklb.quota.fallback import PEER_QUIET_MS, Fallback

MOST_RIDERS = 64           # items that wait for a message to a peer that gets none
RELEASE_COPIES = 2         # messages a release rides on: one lost would block a slot until its lease ends
LOAD_EVERY_AIM = 0.1       # attempts out are told to peers at most this often (part of the least aim)
KNOCK_AIM = 0.3            # parts of the least aim between words to who is not heard, QUIET_MS at the most
NEWS_MOST = 6              # findings in a message: bytes have a price
FINDING_BYTES = len(pw.pack_item(Finding(0, 0, 1.0, 0.0, 0, 0)))

Pairs = tuple[tuple[int, int], ...]


class Words:
    """One limiter's messages to the others."""

    def __init__(self, number: int, aim: float, pace: Pace, alone: Fallback, verdicts: Verdicts) -> None:
        """``number`` of this limiter; ``aim``: ms, the least of all classes."""
        self.number, self.aim = number, aim
        self.pace, self.alone, self.verdicts = pace, alone, verdicts
        self.boxes: dict[int, list[tuple[pw.Item, int]]] = {}    # items, and the messages that each rides on
        self.dirty: dict[int, float] = {}                         # peers with something to be told, and when
        self.load_at: dict[int, float] = {}                       # when each was told what is out here

    def tell(self, peer: int, item: pw.Item) -> None:
        """An item that goes as soon as the pace allows."""
        copies = RELEASE_COPIES if isinstance(item, pw.Release) else 1
        self.boxes.setdefault(peer, []).append((item, copies))
        self.dirty.setdefault(peer, -math.inf)

    def ride(self, peer: int, item: pw.Item) -> None:
        """An item that goes with the next message, if there is one."""
        self.boxes.setdefault(peer, []).append((item, 1))

    def wake(self, peer: int) -> None:
        """A message goes to a peer with what there is for it."""
        self.boxes.setdefault(peer, [])
        self.dirty.setdefault(peer, -math.inf)

    def knock(self, now: float, peer: int, out: Pairs) -> None:
        """A word to a peer not heard of: any closes a breaker, which else outlasts a cut by its 30 s."""
        if now - self.load_at.get(peer, -math.inf) >= min(self.aim * KNOCK_AIM, PEER_QUIET_MS):
            self.call(now, peer, out)

    def call(self, now: float, peer: int, out: Pairs) -> None:
        """A word that is answered, however soon after another."""
        self.load_at[peer] = now
        self.tell(peer, pw.Loads(self._with_room(now, peer, out)[:pw.most_loads(pw.MOST_BYTES - 1)]))

    def due(self, now: float) -> list[int]:
        """Peers that a message may go to now."""
        return [peer for peer, at in self.dirty.items() if at <= now]

    def flush(self, now: float, peer: int, heard: int, out: Callable[[], Pairs]) -> Iterator[bytes | float]:
        """The messages that may go to a peer now, and where something is left the ms until it is to be asked
        again.  ``heard`` limiters may write to it; ``out`` gives what is out here by server."""
        while True:
            self.dirty[peer] = free = self.pace.free(now, peer, heard)
            if now < free:
                yield free - now
                return
            del self.dirty[peer]
            data, rest = self._message(now, peer, out)
            if len(data) == 1:
                return
            self.pace.sent(now, peer, heard)
            yield data
            if not rest:
                return
            self.boxes[peer] = rest

    def _message(self, now: float, peer: int, out: Callable[[], Pairs],
                 ) -> tuple[bytes, list[tuple[pw.Item, int]]]:
        data, rest = bytes([pw.VERSION]) + self.alone.startup_notice(now), []
        box = self.boxes.pop(peer)
        for item, copies in box:
            packed = pw.pack_item(item)
            if len(data) + len(packed) <= pw.MOST_BYTES:
                data, copies = data + packed, copies - 1
            if copies:
                rest.append((item, copies))
        data += b"".join(self.alone.piggybacked_items(now, peer, pw.MOST_BYTES - len(data)))
        if not box or not all(isinstance(item, pw.Loads) for item, _ in box):      # a knock has loads alone
            data += self._news(now, peer, pw.MOST_BYTES - len(data))
        return data + self._loads(now, peer, pw.MOST_BYTES - len(data), out), rest

    def _news(self, now: float, peer: int, space: int) -> bytes:
        """Findings that a peer has not been told: alone, each limiter would find all out for itself."""
        found = list(self.verdicts.riders(now, peer, min(NEWS_MOST, space // FINDING_BYTES)))
        if not self.pace.speaks(peer):                      # an older program reads those of its sender
            return b"".join(pw.pack_item(pw.News(f.subject, f.topic, f.slow, f.age)) for f in found
                            if f.observer == self.number and f.topic != LIMITER)
        return b"".join(map(pw.pack_item, found))

    def _loads(self, now: float, peer: int, space: int, out: Callable[[], Pairs]) -> bytes:
        """Attempts out from here ride along, so that limiters do not pile on one server."""
        most = pw.most_loads(space)
        if now - self.load_at.get(peer, -math.inf) < self.aim * LOAD_EVERY_AIM or not most:
            return b""
        self.load_at[peer] = now
        return pw.pack_item(pw.Loads(self._with_room(now, peer, out())[:most]))

    def _with_room(self, now: float, peer: int, out: Pairs) -> Pairs:
        room = pw.room(self.pace.allowance(now, peer)) if self.pace.plan > 0 else ()
        return *room, *out

    def clean(self, now: float, most_due: float) -> None:
        """What waits for a message that does not come is thinned; ``most_due``: ms, the longest deadline."""
        self.boxes = {peer: box[-MOST_RIDERS:] for peer, box in self.boxes.items()}
        self.load_at = {peer: at for peer, at in self.load_at.items() if now - at < most_due}
