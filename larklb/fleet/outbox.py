"""The outgoing messages to each peer: what a message contains and when it is sent.

A message is sent at once if the pacing allows it (``pace.py``); otherwise items that arrive meanwhile join
it.  Items that somebody waits for come first, then counts that are owed to their owner, then findings, then
the attempts that this limiter has in flight at the servers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from larklb import peerwire as pw
from larklb.fleet.pace import PeerPacer
from larklb.fleet.verdicts import LIMITER, Finding, Verdicts
from larklb.quota.fallback import PEER_QUIET_MS, Fallback

# Items queued for a peer that cannot be sent a message.
MAX_QUEUED_ITEMS = 64
# Messages that carry a release.  If the only copy were lost, a slot would be blocked until its lease expires.
RELEASE_COPIES = 2
# Minimum interval between reports of the attempts in flight, as a fraction of the smallest latency target.
LOADS_INTERVAL_FRACTION = 0.1
# Interval between probes of a silent peer, as a fraction of the smallest latency target.  It is PEER_QUIET_MS
# at most.
PROBE_INTERVAL_FRACTION = 0.3
# Findings in a message, which bounds its size.
MAX_FINDINGS = 6
FINDING_BYTES = len(pw.pack_item(Finding(0, 0, 1.0, 0.0, 0, 0)))

ServerLoads = tuple[tuple[int, int], ...]


class Outbox:
    """The queues of items from one limiter to each of its peers."""

    def __init__(self, number: int, aim: float, pace: PeerPacer, fallback: Fallback,
                 verdicts: Verdicts) -> None:
        """Initialize for limiter ``number``; ``aim`` is the smallest latency target of all classes in ms."""
        self.number, self.aim = number, aim
        self.pace, self.fallback, self.verdicts = pace, fallback, verdicts
        # Items by peer, each with the number of messages that still have to carry it.
        self.queues: dict[int, list[tuple[pw.Item, int]]] = {}
        # Peers that a message is pending for, and the earliest time to send it.
        self.send_at: dict[int, float] = {}
        # When the attempts in flight were last reported to each peer.
        self.loads_sent_at: dict[int, float] = {}

    def send(self, peer: int, item: pw.Item) -> None:
        """Queue an item to be sent as soon as the pacing allows."""
        copies = RELEASE_COPIES if isinstance(item, pw.Release) else 1
        self.queues.setdefault(peer, []).append((item, copies))
        self.send_at.setdefault(peer, -math.inf)

    def piggyback(self, peer: int, item: pw.Item) -> None:
        """Queue an item to be sent along with the next message, if there is one."""
        self.queues.setdefault(peer, []).append((item, 1))

    def request_message(self, peer: int) -> None:
        """Request a message to a peer with whatever there is for it."""
        self.queues.setdefault(peer, [])
        self.send_at.setdefault(peer, -math.inf)

    def probe_if_due(self, now: float, peer: int, in_flight: ServerLoads) -> None:
        """Probe a silent peer unless it was probed recently.

        Any message closes the circuit breaker, which would otherwise outlast a partition by its 30 s.
        """
        if now - self.loads_sent_at.get(peer, -math.inf) >= min(
            self.aim * PROBE_INTERVAL_FRACTION, PEER_QUIET_MS
        ):
            self.probe(now, peer, in_flight)

    def probe(self, now: float, peer: int, in_flight: ServerLoads) -> None:
        """Send a message that the peer answers, whenever the previous one was sent."""
        self.loads_sent_at[peer] = now
        self.send(peer, pw.Loads(
            self._with_room(now, peer, in_flight)[:pw.max_load_pairs(pw.MAX_DATAGRAM_BYTES - 1)]))

    def due(self, now: float) -> list[int]:
        """Return the peers that a message may be sent to now."""
        return [peer for peer, at in self.send_at.items() if at <= now]

    def flush(
        self, now: float, peer: int, senders: int, in_flight: Callable[[], ServerLoads]
    ) -> Iterator[bytes | float]:
        """Yield the messages that may go to a peer now.

        If something is left, the ms until the next call are yielded last.  ``senders`` limiters may send to
        the peer; ``in_flight`` returns the attempts in flight here by server.
        """
        while True:
            self.send_at[peer] = free = self.pace.next_send_at(now, peer, senders)
            if now < free:
                yield free - now
                return
            del self.send_at[peer]
            data, rest = self._message(now, peer, in_flight)
            if len(data) == 1:
                return
            self.pace.record_sent(now, peer, senders)
            yield data
            if not rest:
                return
            self.queues[peer] = rest

    def _message(self, now: float, peer: int, in_flight: Callable[[], ServerLoads],
                 ) -> tuple[bytes, list[tuple[pw.Item, int]]]:
        data, rest = bytes([pw.VERSION]) + self.fallback.startup_notice(now), []
        queue = self.queues.pop(peer)
        for item, copies in queue:
            packed = pw.pack_item(item)
            if len(data) + len(packed) <= pw.MAX_DATAGRAM_BYTES:
                data, copies = data + packed, copies - 1
            if copies:
                rest.append((item, copies))
        data += b"".join(self.fallback.piggybacked_items(now, peer, pw.MAX_DATAGRAM_BYTES - len(data)))
        # A probe carries loads only.
        if not queue or not all(isinstance(item, pw.Loads) for item, _ in queue):
            data += self._findings(now, peer, pw.MAX_DATAGRAM_BYTES - len(data))
        return data + self._loads(now, peer, pw.MAX_DATAGRAM_BYTES - len(data), in_flight), rest

    def _findings(self, now: float, peer: int, space: int) -> bytes:
        """Return the packed findings that a peer has not received yet.

        Without them, each limiter would have to make every observation itself.
        """
        found = list(self.verdicts.findings_for(now, peer, min(MAX_FINDINGS, space // FINDING_BYTES)))
        # An older version understands only findings of the sender itself.
        if not self.pace.reports_allowance(peer):
            return b"".join(pw.pack_item(pw.HealthReport(f.subject, f.topic, f.slowness, f.age))
                            for f in found if f.observer == self.number and f.topic != LIMITER)
        return b"".join(map(pw.pack_item, found))

    def _loads(self, now: float, peer: int, space: int, in_flight: Callable[[], ServerLoads]) -> bytes:
        """Return the packed attempts in flight, which keep limiters from all choosing the same server."""
        limit = pw.max_load_pairs(space)
        if now - self.loads_sent_at.get(peer, -math.inf) < self.aim * LOADS_INTERVAL_FRACTION or not limit:
            return b""
        self.loads_sent_at[peer] = now
        return pw.pack_item(pw.Loads(self._with_room(now, peer, in_flight())[:limit]))

    def _with_room(self, now: float, peer: int, in_flight: ServerLoads) -> ServerLoads:
        room = pw.inbox_rate_pair(self.pace.allowance(now, peer)) if self.pace.planned_rate > 0 else ()
        return *room, *in_flight

    def clean(self, now: float, max_deadline: float) -> None:
        """Bound the queues of peers that get no message, and forget old reports.

        ``max_deadline`` is the longest deadline of all classes in ms.
        """
        self.queues = {peer: queue[-MAX_QUEUED_ITEMS:] for peer, queue in self.queues.items()}
        self.loads_sent_at = {peer: at for peer, at in self.loads_sent_at.items() if now - at < max_deadline}
