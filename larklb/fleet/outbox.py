"""What goes into a message to a peer, and when: items that wait, and what rides along while there is room.

A message goes at once where the pace allows it (``pace.py``); else what comes meanwhile goes with it.  In
front stand the items that somebody waits for, then counts that an owner is owed, then findings, then what
this limiter has out at the servers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from larklb import peerwire as pw
from larklb.fleet.pace import PeerPacer
from larklb.fleet.verdicts import LIMITER, Finding, Verdicts
from larklb.quota.fallback import PEER_QUIET_MS, Fallback

MAX_QUEUED_ITEMS = 64           # items that wait for a message to a peer that gets none
RELEASE_COPIES = 2         # messages a release rides on: one lost would block a slot until its lease ends
# attempts out are told to peers at most this often (part of the least aim)
LOADS_INTERVAL_FRACTION = 0.1
# parts of the least aim between words to who is not heard, QUIET_MS at the most
PROBE_INTERVAL_FRACTION = 0.3
MAX_FINDINGS = 6              # findings in a message: bytes have a price
FINDING_BYTES = len(pw.pack_item(Finding(0, 0, 1.0, 0.0, 0, 0)))

ServerLoads = tuple[tuple[int, int], ...]


class Outbox:
    """One limiter's messages to the others."""

    def __init__(self, number: int, aim: float, pace: PeerPacer, alone: Fallback, verdicts: Verdicts) -> None:
        """``number`` of this limiter; ``aim``: ms, the least of all classes."""
        self.number, self.aim = number, aim
        self.pace, self.fallback, self.verdicts = pace, alone, verdicts
        self.queues: dict[int, list[tuple[pw.Item, int]]] = {}    # items, and the messages that each rides on
        # peers with something to be told, and when
        self.send_at: dict[int, float] = {}
        self.loads_sent_at: dict[int, float] = {}                       # when each was told what is out here

    def send(self, peer: int, item: pw.Item) -> None:
        """An item that goes as soon as the pace allows."""
        copies = RELEASE_COPIES if isinstance(item, pw.Release) else 1
        self.queues.setdefault(peer, []).append((item, copies))
        self.send_at.setdefault(peer, -math.inf)

    def piggyback(self, peer: int, item: pw.Item) -> None:
        """An item that goes with the next message, if there is one."""
        self.queues.setdefault(peer, []).append((item, 1))

    def request_message(self, peer: int) -> None:
        """A message goes to a peer with what there is for it."""
        self.queues.setdefault(peer, [])
        self.send_at.setdefault(peer, -math.inf)

    def probe_if_due(self, now: float, peer: int, out: ServerLoads) -> None:
        """A word to a peer not heard of: any closes a breaker, which else outlasts a cut by its 30 s."""
        if now - self.loads_sent_at.get(peer, -math.inf) >= min(
            self.aim * PROBE_INTERVAL_FRACTION, PEER_QUIET_MS
        ):
            self.probe(now, peer, out)

    def probe(self, now: float, peer: int, out: ServerLoads) -> None:
        """A word that is answered, however soon after another."""
        self.loads_sent_at[peer] = now
        self.send(peer, pw.Loads(self._with_room(now, peer, out)[:pw.most_loads(pw.MOST_BYTES - 1)]))

    def due(self, now: float) -> list[int]:
        """Peers that a message may go to now."""
        return [peer for peer, at in self.send_at.items() if at <= now]

    def flush(
        self, now: float, peer: int, heard: int, out: Callable[[], ServerLoads]
    ) -> Iterator[bytes | float]:
        """The messages that may go to a peer now, and where something is left the ms until it is to be asked
        again.  ``heard`` limiters may write to it; ``out`` gives what is out here by server."""
        while True:
            self.send_at[peer] = free = self.pace.next_send_at(now, peer, heard)
            if now < free:
                yield free - now
                return
            del self.send_at[peer]
            data, rest = self._message(now, peer, out)
            if len(data) == 1:
                return
            self.pace.record_sent(now, peer, heard)
            yield data
            if not rest:
                return
            self.queues[peer] = rest

    def _message(self, now: float, peer: int, out: Callable[[], ServerLoads],
                 ) -> tuple[bytes, list[tuple[pw.Item, int]]]:
        data, rest = bytes([pw.VERSION]) + self.fallback.startup_notice(now), []
        box = self.queues.pop(peer)
        for item, copies in box:
            packed = pw.pack_item(item)
            if len(data) + len(packed) <= pw.MOST_BYTES:
                data, copies = data + packed, copies - 1
            if copies:
                rest.append((item, copies))
        data += b"".join(self.fallback.piggybacked_items(now, peer, pw.MOST_BYTES - len(data)))
        if not box or not all(isinstance(item, pw.Loads) for item, _ in box):      # a knock has loads alone
            data += self._findings(now, peer, pw.MOST_BYTES - len(data))
        return data + self._loads(now, peer, pw.MOST_BYTES - len(data), out), rest

    def _findings(self, now: float, peer: int, space: int) -> bytes:
        """Findings that a peer has not been told: alone, each limiter would find all out for itself."""
        found = list(self.verdicts.findings_for(now, peer, min(MAX_FINDINGS, space // FINDING_BYTES)))
        # an older program reads those of its sender
        if not self.pace.reports_allowance(peer):
            return b"".join(pw.pack_item(pw.News(f.subject, f.topic, f.slowness, f.age)) for f in found
                            if f.observer == self.number and f.topic != LIMITER)
        return b"".join(map(pw.pack_item, found))

    def _loads(self, now: float, peer: int, space: int, out: Callable[[], ServerLoads]) -> bytes:
        """Attempts out from here ride along, so that limiters do not pile on one server."""
        most = pw.most_loads(space)
        if now - self.loads_sent_at.get(peer, -math.inf) < self.aim * LOADS_INTERVAL_FRACTION or not most:
            return b""
        self.loads_sent_at[peer] = now
        return pw.pack_item(pw.Loads(self._with_room(now, peer, out())[:most]))

    def _with_room(self, now: float, peer: int, out: ServerLoads) -> ServerLoads:
        room = pw.room(self.pace.allowance(now, peer)) if self.pace.planned_rate > 0 else ()
        return *room, *out

    def clean(self, now: float, most_due: float) -> None:
        """What waits for a message that does not come is thinned; ``most_due``: ms, the longest deadline."""
        self.queues = {peer: box[-MAX_QUEUED_ITEMS:] for peer, box in self.queues.items()}
        self.loads_sent_at = {peer: at for peer, at in self.loads_sent_at.items() if now - at < most_due}
