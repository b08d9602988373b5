"""Timers and messages to peers that a gateway sends.

``Gateway`` in ``decide.py`` inherits ``PeerMessaging`` and creates all its attributes.  No input or output is
done here.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from larklb import decision_constants as const
from larklb import interface as io
from larklb import peerwire as pw
from larklb.fleet.outbox import Outbox
from larklb.fleet.verdicts import GOSSIP_INTERVAL_MS, Verdicts
from larklb.quota.fallback import REPORT_MS, Fallback
from larklb.servers import Servers


class PeerMessaging:
    """The part of a gateway that sets timers and sends messages to its peers."""

    settings: io.Settings
    random: random.Random
    verdicts: Verdicts
    server_pool: Servers
    fallback: Fallback
    outbox: Outbox
    timers: dict[int, Callable[[float], object]]
    timer_ids: Iterator[int]
    actions: list[io.Action]

    def _set_timer(self, delay: float, callback: Callable[[float], object]) -> None:
        """Sets a timer that calls ``callback(now)`` after so many ms, one tick at least."""
        timer_id = next(self.timer_ids)
        self.timers[timer_id] = callback
        self.actions.append(io.SetTimer(max(delay, self.settings.tick), timer_id))

    def _queue_message(self, peer: int, item: pw.Item) -> None:
        """Queues an item for a peer; it is sent as soon as the pace allows."""
        if self.settings.can_tell:
            self.outbox.send(peer, item)

    def _announce_start(self, now: float) -> None:
        """Announces the start repeatedly during start-up, in fleets of up to MAX_ANNOUNCED_GATEWAYS.

        Messages may be lost, and an owner needs its peers' copies of its buckets.
        """
        if self.settings.gateways <= const.MAX_ANNOUNCED_GATEWAYS and self.fallback.is_starting(now):
            for peer in range(self.settings.gateways):
                if peer != self.settings.number:
                    self._queue_wakeup(peer)
            self._set_timer(REPORT_MS / 4, self._announce_start)

    def _queue_wakeup(self, peer: int) -> None:
        """Queues a message to a peer that carries whatever is pending for it."""
        if self.settings.can_tell:
            self.outbox.request_message(peer)

    def _request_reply(self, now: float, peer: int) -> None:
        """Sends a peer a message that it answers; its reply closes its circuit breaker early."""
        if self.settings.can_tell:
            self.outbox.probe_if_due(now, peer, self.server_pool.own_in_flight())

    def _flush_messages(self, now: float, peer: int) -> None:
        """Sends a peer what the pace allows now, and sets a timer for the rest.

        The timer for the rest has no effect of its own: every event flushes the messages that are due.
        """
        for message_or_delay in self.outbox.flush(
                now, peer, self.server_pool.active_peers(now), self.server_pool.own_in_flight):
            if isinstance(message_or_delay, bytes):
                self.actions.append(io.SendToPeer(peer, message_or_delay))
            else:
                self._set_timer(message_or_delay, bool)

    def _spread_findings(self, now: float) -> None:
        """Periodically sends severe findings (see ``fleet/verdicts.py``) to a random peer.

        Asks alone would spread them only among gateways that share customers.
        """
        self._set_timer(GOSSIP_INTERVAL_MS, self._spread_findings)
        if self.verdicts.has_severe_unsent(now):
            peer = self.random.randrange(self.settings.gateways)
            if peer != self.settings.number:
                self._queue_wakeup(peer)
