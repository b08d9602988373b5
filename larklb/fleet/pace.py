"""Pacing of the messages between limiters, and the timing of retries.

An inbox accepts a limited number of messages a second and silently drops what exceeds it.  A sender therefore
has a token bucket for each peer.  The rate of the bucket is the sender's even share if all live limiters send
to that peer at their maximum.  The peer may allow more: it sees the messages of all senders, and reports to
each one with its loads what it would accept, which is the present rate of that sender plus a fraction of the
unused capacity; it lowers the allowance as its inbox fills up.  An allowance expires after
``ALLOWANCE_TTL_MS``.  The bucket holds ``BURST_S`` seconds of its rate, so that infrequent messages do not
wait, and in any T seconds no more than the rate times (T + BURST_S) messages go to a peer.  The interval
between two messages is at least that of the whole inbox, so that items produced together share a message.

The retry timeout of each peer follows RFC 6298: the smoothed round-trip time plus four mean deviations.
Requests that were retransmitted are not timed (Karn's algorithm), since the answer may belong to any of the
transmissions.

A limiter that used to receive many messages and then receives none for the time that ``CUT_OFF_MESSAGES`` of
them usually take is cut off from all peers.  It stops waiting for answers, while its requests continue as
probes.  When links fail, jobs therefore wait for that time once and not for the timeout of each request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Fraction of an inbox's capacity that is planned for; the rest absorbs uneven load.
INBOX_FRACTION = 0.85
# Seconds of its rate that a sender may send to a peer at once.
BURST_S = 0.35
# Fraction of an inbox's unused capacity that is granted to each sender; few need more at the same time.
SPARE_FRACTION = 0.25
# An allowance expires after this time.
ALLOWANCE_TTL_MS = 2000.0
# Time constants of the incoming rate (of each peer and of all) and of its long-term average.
RATE_TIME_CONSTANT_MS = 1000.0
LONG_TERM_TIME_CONSTANT_MS = 10_000.0
# A limiter is cut off after a silence in which this many messages usually arrive.  With random arrivals, one
# in e**CUT_OFF_MESSAGES silences is taken for that by chance.
CUT_OFF_MESSAGES = 8.0
# Shorter silences never count, since the event loop may have been delayed.
MIN_CUT_OFF_MS = 150.0
# Maximum wait for an answer while cut off, as a multiple of the usual retry timeout.
CUT_OFF_TIMEOUT_FACTOR = 1.5
# Weights of a new round-trip time and of a new deviation (RFC 6298).
RTT_GAIN, RTT_DEVIATION_GAIN = 0.125, 0.25
# Mean deviations above the smoothed round-trip time after which an answer counts as lost (RFC 6298).
TIMEOUT_DEVIATIONS = 4.0
# Factor between the timeouts of successive retries.  The pacing already limits the load of retries.
BACKOFF_FACTOR = 1.5
# Minimum time between retries, in ticks, because both sides act only once per tick.
MIN_RETRY_TICKS = 8.0
# Minimum time in ticks that a request waits for its answer, even if the caller has less time.
MIN_WAIT_TICKS = 3.0
# Retry timeout for a peer that has not answered yet, as a fraction of the smallest latency target.
INITIAL_TIMEOUT_FRACTION = 0.1
# A peer without any exchange for this long is forgotten.
IDLE_MS = 60_000.0


@dataclass(slots=True)
class RateEstimate:
    """A rate in messages a second, as an exponentially decaying average, as of ``updated_at`` (ms).

    ``time_constant`` is in ms.
    """

    updated_at: float
    rate: float = 0.0
    time_constant: float = RATE_TIME_CONSTANT_MS

    def rate_at(self, now: float) -> float:
        """Return the rate at ``now``."""
        return self.rate * math.exp((self.updated_at - now) / self.time_constant)

    def add(self, now: float) -> None:
        """Count one message."""
        self.rate, self.updated_at = self.rate_at(now) + 1000.0 / self.time_constant, now


@dataclass(slots=True)
class PeerState:
    """The state of the exchange with one peer.

    ``tokens`` are the messages that may be sent at once, as of ``refilled_at``.  ``allowance`` is the rate in
    messages a second that the peer reported at ``allowance_at``.  ``smoothed_rtt`` is in ms, and negative
    until the first measurement; ``rtt_deviation`` is its mean deviation in ms.
    """

    last_used_at: float
    tokens: float = 1.0
    refilled_at: float = 0.0
    last_sent_at: float = -math.inf
    allowance: float = 0.0
    allowance_at: float = -math.inf
    smoothed_rtt: float = -1.0
    rtt_deviation: float = 0.0


@dataclass(slots=True)
class PendingRequest:
    """A request to a peer that waits for its answer until ``deadline`` (ms) at most.

    ``tries`` counts its transmissions.  ``records.PendingRequest`` is the request of a client.
    """

    peer: int
    sent_at: float
    deadline: float
    tries: int = 1


class PeerPacer:
    """Paces the messages of one limiter to its peers and accounts for theirs.

    The argument ``senders`` of the methods is the number of live peers, each of which may send to the same
    limiter.
    """

    def __init__(self, inbox_per_s: float, tick: float, aim: float) -> None:
        """Initialize the pacer.

        ``inbox_per_s`` is the capacity of each inbox in messages a second, 0 if unknown; ``tick`` is the time
        in ms between two rounds of a limiter; ``aim`` is the smallest latency target of all classes in ms.
        """
        self.tick, self.planned_rate = tick, inbox_per_s * INBOX_FRACTION
        self.initial_timeout = max(aim * INITIAL_TIMEOUT_FRACTION, MIN_RETRY_TICKS * tick)
        self.peers: dict[int, PeerState] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.inbox, self.long_term_inbox = (
            RateEstimate(0.0),
            RateEstimate(0.0, time_constant=LONG_TERM_TIME_CONSTANT_MS),
        )
        self.inbox_by_peer: dict[int, RateEstimate] = {}

    # Incoming messages -----------------------------------------------------------------------

    def record_arrival(self, now: float, peer: int) -> None:
        """Record a message received from a peer."""
        self.inbox.add(now)
        self.long_term_inbox.add(now)
        self.inbox_by_peer.setdefault(peer, RateEstimate(now)).add(now)

    def allowance(self, now: float, peer: int) -> float:
        """Return the rate in messages a second that this inbox accepts from a peer.

        It is the present rate of the peer plus a fraction of the unused capacity, and less than the present
        rate if more arrives in total than is planned for.
        """
        peer_estimate, total = self.inbox_by_peer.get(peer), self.inbox.rate_at(now)
        # This is called just after a message arrived, when the average is half a step above its mean.
        peer_rate = (
            max(0.0, peer_estimate.rate_at(now) - 500.0 / RATE_TIME_CONSTANT_MS)
            if peer_estimate is not None
            else 0.0
        )
        return (
            peer_rate * self.planned_rate / total
            if total > self.planned_rate
            else peer_rate + (self.planned_rate - total) * SPARE_FRACTION
        )

    def is_cut_off(self, now: float) -> bool:
        """Return whether no message has arrived for so long that all links must have failed."""
        silence = now - self.long_term_inbox.updated_at
        return silence >= MIN_CUT_OFF_MS and silence * self.long_term_inbox.rate / 1000.0 >= CUT_OFF_MESSAGES

    # Outgoing messages --------------------------------------------------------------------

    def record_allowance(self, now: float, peer: int, allowed: float) -> None:
        """Record the allowance that a peer reports, in messages a second."""
        state = self._peer_state(now, peer)
        state.allowance, state.allowance_at = min(allowed, self.planned_rate), now

    def reports_allowance(self, peer: int) -> bool:
        """Return whether a peer has reported an allowance.

        Older versions do not, and they cannot parse the item types introduced since.
        """
        return peer in self.peers and self.peers[peer].allowance_at > -math.inf

    def fair_interval(self, senders: int) -> float:
        """Return the ms between messages to a peer if all ``senders`` send to it at their maximum."""
        return max(1.0, senders) * 1000.0 / self.planned_rate if self.planned_rate > 0 else self.tick

    def rate(self, now: float, peer: int, senders: int) -> float:
        """Return the sustained rate in messages a second at which messages may go to a peer."""
        state, fair = self.peers.get(peer), 1000.0 / self.fair_interval(senders)
        return (
            fair
            if state is None or now - state.allowance_at > ALLOWANCE_TTL_MS
            else max(fair, state.allowance)
        )

    def next_send_at(self, now: float, peer: int, senders: int) -> float:
        """Return the time from which on the next message may go to a peer."""
        state, rate = self._refill(now, peer, senders)
        if state.tokens < 1.0:
            now += (1.0 - state.tokens) / rate * 1000.0
        return max(
            now, state.last_sent_at + (1000.0 / self.planned_rate if self.planned_rate > 0 else self.tick)
        )

    def record_sent(self, now: float, peer: int, senders: int) -> None:
        """Record that a message was sent to a peer."""
        state = self._refill(now, peer, senders)[0]
        state.tokens, state.last_sent_at = state.tokens - 1.0, now

    def _refill(self, now: float, peer: int, senders: int) -> tuple[PeerState, float]:
        state, rate = self._peer_state(now, peer), self.rate(now, peer, senders)
        capacity = max(1.0, BURST_S * rate)
        state.tokens = min(capacity, state.tokens + max(0.0, now - state.refilled_at) * rate / 1000.0)
        # Rounding of the clock must not delay a message.
        if state.tokens > 1.0 - 1e-6:
            state.tokens = max(1.0, state.tokens)
        state.refilled_at = now
        return state, rate

    # Requests and answers -----------------------------------------------------------------

    def start_request(self, now: float, number: int, peer: int, timeout: float) -> float:
        """Register the first try of request ``number``, given up after ``timeout`` ms.

        Returns the ms until its first retry is due.
        """
        if self.is_cut_off(now):
            timeout = min(timeout, CUT_OFF_TIMEOUT_FACTOR * self._retry_timeout(peer, 1))
        timeout = max(timeout, MIN_WAIT_TICKS * self.tick)
        self.pending[number] = PendingRequest(peer, now, now + timeout)
        return min(timeout, self._retry_timeout(peer, 1))

    def next_retry(self, now: float, number: int) -> float | None:
        """Register that a request was not answered in time.

        Returns the ms until the following check if the request is to be sent again, and None if it is given
        up.
        """
        request = self.pending.get(number)
        if request is None or now >= request.deadline - self.tick or self.is_cut_off(now):
            self.pending.pop(number, None)
            return None
        request.tries += 1
        return max(
            self.tick, min(self._retry_timeout(request.peer, request.tries), request.deadline - now)
        )

    def record_answer(self, now: float, number: int) -> None:
        """Record that a request was answered."""
        request = self.pending.pop(number, None)
        if request is None or request.tries > 1:
            return
        state, rtt = self._peer_state(now, request.peer), now - request.sent_at
        if state.smoothed_rtt < 0:
            state.smoothed_rtt, state.rtt_deviation = rtt, rtt / 2
        else:
            state.rtt_deviation += RTT_DEVIATION_GAIN * (abs(rtt - state.smoothed_rtt) - state.rtt_deviation)
            state.smoothed_rtt += RTT_GAIN * (rtt - state.smoothed_rtt)

    def drop_request(self, number: int) -> None:
        """Forget a request whose answer is not needed any more."""
        self.pending.pop(number, None)

    def _retry_timeout(self, peer: int, tries: int) -> float:
        state = self.peers.get(peer)
        if state is None or state.smoothed_rtt < 0:
            timeout = self.initial_timeout
        else:
            timeout = max(
                MIN_RETRY_TICKS * self.tick,
                state.smoothed_rtt + TIMEOUT_DEVIATIONS * state.rtt_deviation,
            )
        return timeout * BACKOFF_FACTOR ** (tries - 1)

    # Upkeep -------------------------------------------------------------------------------

    def clean(self, now: float) -> None:
        """Discard the state of idle peers and of expired requests."""
        self.peers = {peer: s for peer, s in self.peers.items() if now - s.last_used_at < IDLE_MS}
        self.inbox_by_peer = {
            peer: e for peer, e in self.inbox_by_peer.items() if now - e.updated_at < IDLE_MS
        }
        self.pending = {
            number: r for number, r in self.pending.items() if now < r.deadline + IDLE_MS
        }

    def _peer_state(self, now: float, peer: int) -> PeerState:
        state = self.peers.get(peer)
        if state is None:
            state = self.peers[peer] = PeerState(now, refilled_at=now)
        state.last_used_at = now
        return state
