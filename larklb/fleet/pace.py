"""How limiters pace the words that they send each other, and when a word that was not answered goes again.

An inbox takes so many messages a second, and what comes beyond is lost without a sign.  So each sender has a
bucket of messages for each peer.  Its rate is the part that is left if all who are heard write to that peer
at their most; the peer itself may allow more: it sees what comes from all of them, and tells each with its
load what it would take from it, which is what comes already and a part of what is unused, and takes that back
as its inbox fills.  A word from the peer that is too old counts no more.  The bucket holds ``AT_ONCE_S`` of
the rate, so that words which come seldom wait for nothing, and in any T seconds no more than the rate times
T + AT_ONCE_S go to a peer.  Two messages are as far apart as the whole inbox allows, so that what comes at
once goes in one.

How long an answer takes is learned for each peer by the rule of RFC 6298: the smoothed time plus four mean
deviations, and never from an ask that went out twice (Karn), whose answer may be to either.

A limiter that used to hear many words, and then hears nothing at all for as long as ``DEAF_WORDS`` of them
would have taken, is cut off from all: it waits for no answer any more, while its asks go on as probes.  So
the jobs of a fleet whose links fail wait for that long, and not for the patience of one ask each.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

INBOX_FRACTION = 0.85         # of a receiver's inbox is planned for, the rest is for uneven moments
BURST_S = 0.35           # of its rate a sender may write to a peer at once, in seconds
SPARE_FRACTION = 0.25          # of an inbox's unused part is allowed to each sender: few want more at a time
ALLOWANCE_TTL_MS = 2000.0           # what a peer allowed counts no more after so long
RATE_TIME_CONSTANT_MS = 1000.0           # time constant of what comes in, from each and from all ...
LONG_TERM_TIME_CONSTANT_MS = 10_000.0        # ... and of what usually does
# of what usually comes: without a word for so long a limiter is cut off, by chance
CUT_OFF_MESSAGES = 8.0
                           # once in e to that power of its silences ...
MIN_CUT_OFF_MS = 150.0            # ... and no sooner than this: the event loop may have rested
# times an answer takes at the most that one is waited for by who is cut off
CUT_OFF_TIMEOUT_FACTOR = 1.5
RTT_GAIN, RTT_DEVIATION_GAIN = 0.125, 0.25              # weights of a new time and a new deviation (RFC 6298)
TIMEOUT_DEVIATIONS = 4.0           # of them beyond the smoothed time an answer is taken to be lost (RFC 6298)
# each further try waits so much longer: the pace holds back what would be too much
BACKOFF_FACTOR = 1.5
MIN_RETRY_TICKS = 8.0          # between tries at the least: both sides act only once in a tick
MIN_WAIT_TICKS = 3.0           # ticks that an ask is waited for, however little time there is
# part of the least aim between tries to a peer that has not answered yet
INITIAL_TIMEOUT_FRACTION = 0.1
IDLE_MS = 60_000.0         # a peer with which nothing was exchanged for so long is forgotten


@dataclass(slots=True)
class RateEstimate:
    """Messages a second, as an average that forgets exponentially."""

    updated_at: float
    rate: float = 0.0
    time_constant: float = RATE_TIME_CONSTANT_MS                  # its time constant, ms

    def rate_at(self, now: float) -> float:
        return self.rate * math.exp((self.updated_at - now) / self.time_constant)

    def add(self, now: float) -> None:
        self.rate, self.updated_at = self.rate_at(now) + 1000.0 / self.time_constant, now


@dataclass(slots=True)
class PeerState:
    """The way to one peer and back, as it has shown itself."""

    last_used_at: float
    tokens: float = 1.0                    # messages that may go at once ...
    refilled_at: float = 0.0                    # ... as counted then
    last_sent_at: float = -math.inf                # the last of them
    allowance: float = 0.0                   # messages a second that the peer would take, ...
    allowance_at: float = -math.inf                # ... and when it said so
    smoothed_rtt: float = -1.0                   # ms until an answer; below 0: none was timed yet
    rtt_deviation: float = 0.0


@dataclass(slots=True)
class PendingRequest:
    """An ask that waits for its answer."""

    peer: int
    sent_at: float
    deadline: float
    tries: int = 1


class PeerPacer:
    """One limiter's words to the others, and theirs to it.

    ``heard`` in what follows is the number of other limiters heard of lately: as many may write to one."""

    def __init__(self, inbox_per_s: float, tick: float, aim: float) -> None:
        """``inbox_per_s``: messages a second that each inbox takes, 0 where that is not known; ``tick``: ms
        between two acts of a limiter; ``aim``: ms, the least of all classes."""
        self.tick, self.planned_rate = tick, inbox_per_s * INBOX_FRACTION
        self.initial_timeout = max(aim * INITIAL_TIMEOUT_FRACTION, MIN_RETRY_TICKS * tick)
        self.peers: dict[int, PeerState] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.inbox, self.long_term_inbox = (
            RateEstimate(0.0),
            RateEstimate(0.0, time_constant=LONG_TERM_TIME_CONSTANT_MS),
        )
        self.inbox_by_peer: dict[int, RateEstimate] = {}

    # The inbox here -----------------------------------------------------------------------

    def record_arrival(self, now: float, peer: int) -> None:
        """A message from a peer."""
        self.inbox.add(now)
        self.long_term_inbox.add(now)
        self.inbox_by_peer.setdefault(peer, RateEstimate(now)).add(now)

    def allowance(self, now: float, peer: int) -> float:
        """Messages a second that this inbox would take from a peer: what comes from it and a part of what is
        unused, or less where more comes than was planned for."""
        flow, all_of = self.inbox_by_peer.get(peer), self.inbox.rate_at(now)
        # It is told just after a message came, when the average stands half a step above what it is worth.
        mine = max(0.0, flow.rate_at(now) - 500.0 / RATE_TIME_CONSTANT_MS) if flow is not None else 0.0
        return (
            mine * self.planned_rate / all_of
            if all_of > self.planned_rate
            else mine + (self.planned_rate - all_of) * SPARE_FRACTION
        )

    def is_cut_off(self, now: float) -> bool:
        """Whether nothing at all has come for so long that no link can be whole."""
        quiet = now - self.long_term_inbox.updated_at
        return quiet >= MIN_CUT_OFF_MS and quiet * self.long_term_inbox.rate / 1000.0 >= CUT_OFF_MESSAGES

    # The way to a peer --------------------------------------------------------------------

    def record_allowance(self, now: float, peer: int, allowed: float) -> None:
        """A peer has told its allowance, in messages a second."""
        way = self._peer_state(now, peer)
        way.allowance, way.allowance_at = min(allowed, self.planned_rate), now

    def reports_allowance(self, peer: int) -> bool:
        """Whether a peer has told an allowance: older programs do not, and cannot read what came since."""
        return peer in self.peers and self.peers[peer].allowance_at > -math.inf

    def fair_interval(self, heard: int) -> float:
        """Ms between two messages to any peer if all who are heard write to it at their most."""
        return max(1.0, heard) * 1000.0 / self.planned_rate if self.planned_rate > 0 else self.tick

    def rate(self, now: float, peer: int, heard: int) -> float:
        """Messages a second that may go to a peer for long."""
        way, fair = self.peers.get(peer), 1000.0 / self.fair_interval(heard)
        return fair if way is None or now - way.allowance_at > ALLOWANCE_TTL_MS else max(fair, way.allowance)

    def next_send_at(self, now: float, peer: int, heard: int) -> float:
        """From when on the next message may go to a peer."""
        way, rate = self._refill(now, peer, heard)
        if way.tokens < 1.0:
            now += (1.0 - way.tokens) / rate * 1000.0
        return max(
            now, way.last_sent_at + (1000.0 / self.planned_rate if self.planned_rate > 0 else self.tick)
        )

    def record_sent(self, now: float, peer: int, heard: int) -> None:
        """A message has gone to a peer."""
        way = self._refill(now, peer, heard)[0]
        way.tokens, way.last_sent_at = way.tokens - 1.0, now

    def _refill(self, now: float, peer: int, heard: int) -> tuple[PeerState, float]:
        way, rate = self._peer_state(now, peer), self.rate(now, peer, heard)
        most = max(1.0, BURST_S * rate)
        way.tokens = min(most, way.tokens + max(0.0, now - way.refilled_at) * rate / 1000.0)
        if way.tokens > 1.0 - 1e-6:              # what the clock's steps round away is no reason to wait
            way.tokens = max(1.0, way.tokens)
        way.refilled_at = now
        return way, rate

    # Asks and their answers ---------------------------------------------------------------

    def start_request(self, now: float, number: int, peer: int, give_up: float) -> float:
        """An ask goes out for the first time: ms until it is due again, ``give_up`` ms at the most."""
        if self.is_cut_off(now):
            give_up = min(give_up, CUT_OFF_TIMEOUT_FACTOR * self._retry_timeout(peer, 1))
        give_up = max(give_up, MIN_WAIT_TICKS * self.tick)
        self.pending[number] = PendingRequest(peer, now, now + give_up)
        return min(give_up, self._retry_timeout(peer, 1))

    def next_retry(self, now: float, number: int) -> float | None:
        """No answer in time: ms until the next look, where the ask is to go again; None: it is given up."""
        out = self.pending.get(number)
        if out is None or now >= out.deadline - self.tick or self.is_cut_off(now):
            self.pending.pop(number, None)
            return None
        out.tries += 1
        return max(self.tick, min(self._retry_timeout(out.peer, out.tries), out.deadline - now))

    def record_answer(self, now: float, number: int) -> None:
        """Its answer has come."""
        out = self.pending.pop(number, None)
        if out is None or out.tries > 1:
            return
        way, took = self._peer_state(now, out.peer), now - out.sent_at
        if way.smoothed_rtt < 0:
            way.smoothed_rtt, way.rtt_deviation = took, took / 2
        else:
            way.rtt_deviation += RTT_DEVIATION_GAIN * (abs(took - way.smoothed_rtt) - way.rtt_deviation)
            way.smoothed_rtt += RTT_GAIN * (took - way.smoothed_rtt)

    def drop_request(self, number: int) -> None:
        """Nobody waits for its answer any more."""
        self.pending.pop(number, None)

    def _retry_timeout(self, peer: int, tries: int) -> float:
        way = self.peers.get(peer)
        if way is None or way.smoothed_rtt < 0:
            once = self.initial_timeout
        else:
            once = max(MIN_RETRY_TICKS * self.tick, way.smoothed_rtt + TIMEOUT_DEVIATIONS * way.rtt_deviation)
        return once * BACKOFF_FACTOR ** (tries - 1)

    # Upkeep -------------------------------------------------------------------------------

    def clean(self, now: float) -> None:
        """State stays bounded by those with whom something was exchanged of late."""
        self.peers = {peer: w for peer, w in self.peers.items() if now - w.last_used_at < IDLE_MS}
        self.inbox_by_peer = {
            peer: f for peer, f in self.inbox_by_peer.items() if now - f.updated_at < IDLE_MS
        }
        self.pending = {number: o for number, o in self.pending.items() if now < o.deadline + IDLE_MS}

    def _peer_state(self, now: float, peer: int) -> PeerState:
        way = self.peers.get(peer)
        if way is None:
            way = self.peers[peer] = PeerState(now, refilled_at=now)
        way.last_used_at = now
        return way
