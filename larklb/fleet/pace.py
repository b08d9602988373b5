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

INBOX_SHARE = 0.85         # of a receiver's inbox is planned for, the rest is for uneven moments
AT_ONCE_S = 0.35           # of its rate a sender may write to a peer at once, in seconds
SPARE_PART = 0.25          # of an inbox's unused part is allowed to each sender: few want more at a time
TOLD_MS = 2000.0           # what a peer allowed counts no more after so long
RATE_MS = 1000.0           # time constant of what comes in, from each and from all ...
USUAL_MS = 10_000.0        # ... and of what usually does
DEAF_WORDS = 8.0           # of what usually comes: without a word for so long a limiter is cut off, by chance
                           # once in e to that power of its silences ...
DEAF_MS = 150.0            # ... and no sooner than this: the event loop may have rested
DOUBTED = 1.5              # times an answer takes at the most that one is waited for by who is cut off
SMOOTH, DEVIATE = 0.125, 0.25              # weights of a new time and a new deviation (RFC 6298)
DEVIATIONS = 4.0           # of them beyond the smoothed time an answer is taken to be lost (RFC 6298)
BACK_OFF = 1.5             # each further try waits so much longer: the pace holds back what would be too much
LEAST_TICKS = 8.0          # between tries at the least: both sides act only once in a tick
LEAST_WAIT = 3.0           # ticks that an ask is waited for, however little time there is
FIRST_AIM = 0.1            # part of the least aim between tries to a peer that has not answered yet
IDLE_MS = 60_000.0         # a peer with which nothing was exchanged for so long is forgotten


@dataclass(slots=True)
class Flow:
    """Messages a second, as an average that forgets exponentially."""

    at: float
    rate: float = 0.0
    span: float = RATE_MS                  # its time constant, ms

    def now(self, now: float) -> float:
        return self.rate * math.exp((self.at - now) / self.span)

    def add(self, now: float) -> None:
        self.rate, self.at = self.now(now) + 1000.0 / self.span, now


@dataclass(slots=True)
class Way:
    """The way to one peer and back, as it has shown itself."""

    used: float
    tokens: float = 1.0                    # messages that may go at once ...
    filled: float = 0.0                    # ... as counted then
    sent: float = -math.inf                # the last of them
    allowed: float = 0.0                   # messages a second that the peer would take, ...
    told: float = -math.inf                # ... and when it said so
    smooth: float = -1.0                   # ms until an answer; below 0: none was timed yet
    deviation: float = 0.0


@dataclass(slots=True)
class Out:
    """An ask that waits for its answer."""

    peer: int
    at: float
    give_up: float
    tries: int = 1


class Pace:
    """One limiter's words to the others, and theirs to it.

    ``heard`` in what follows is the number of other limiters heard of lately: as many may write to one."""

    def __init__(self, inbox_per_s: float, tick: float, aim: float) -> None:
        """``inbox_per_s``: messages a second that each inbox takes, 0 where that is not known; ``tick``: ms
        between two acts of a limiter; ``aim``: ms, the least of all classes."""
        self.tick, self.plan = tick, inbox_per_s * INBOX_SHARE
        self.first = max(aim * FIRST_AIM, LEAST_TICKS * tick)
        self.ways: dict[int, Way] = {}
        self.out: dict[int, Out] = {}
        self.inbox, self.usual = Flow(0.0), Flow(0.0, span=USUAL_MS)
        self.flows: dict[int, Flow] = {}

    # The inbox here -----------------------------------------------------------------------

    def arrived(self, now: float, peer: int) -> None:
        """A message from a peer."""
        self.inbox.add(now)
        self.usual.add(now)
        self.flows.setdefault(peer, Flow(now)).add(now)

    def allowance(self, now: float, peer: int) -> float:
        """Messages a second that this inbox would take from a peer: what comes from it and a part of what is
        unused, or less where more comes than was planned for."""
        flow, all_of = self.flows.get(peer), self.inbox.now(now)
        # It is told just after a message came, when the average stands half a step above what it is worth.
        mine = max(0.0, flow.now(now) - 500.0 / RATE_MS) if flow is not None else 0.0
        return mine * self.plan / all_of if all_of > self.plan else mine + (self.plan - all_of) * SPARE_PART

    def deaf(self, now: float) -> bool:
        """Whether nothing at all has come for so long that no link can be whole."""
        quiet = now - self.usual.at
        return quiet >= DEAF_MS and quiet * self.usual.rate / 1000.0 >= DEAF_WORDS

    # The way to a peer --------------------------------------------------------------------

    def told(self, now: float, peer: int, allowed: float) -> None:
        """A peer has told its allowance, in messages a second."""
        way = self._way(now, peer)
        way.allowed, way.told = min(allowed, self.plan), now

    def speaks(self, peer: int) -> bool:
        """Whether a peer has told an allowance: older programs do not, and cannot read what came since."""
        return peer in self.ways and self.ways[peer].told > -math.inf

    def fair(self, heard: int) -> float:
        """Ms between two messages to any peer if all who are heard write to it at their most."""
        return max(1.0, heard) * 1000.0 / self.plan if self.plan > 0 else self.tick

    def rate(self, now: float, peer: int, heard: int) -> float:
        """Messages a second that may go to a peer for long."""
        way, fair = self.ways.get(peer), 1000.0 / self.fair(heard)
        return fair if way is None or now - way.told > TOLD_MS else max(fair, way.allowed)

    def free(self, now: float, peer: int, heard: int) -> float:
        """From when on the next message may go to a peer."""
        way, rate = self._filled(now, peer, heard)
        if way.tokens < 1.0:
            now += (1.0 - way.tokens) / rate * 1000.0
        return max(now, way.sent + (1000.0 / self.plan if self.plan > 0 else self.tick))

    def sent(self, now: float, peer: int, heard: int) -> None:
        """A message has gone to a peer."""
        way = self._filled(now, peer, heard)[0]
        way.tokens, way.sent = way.tokens - 1.0, now

    def _filled(self, now: float, peer: int, heard: int) -> tuple[Way, float]:
        way, rate = self._way(now, peer), self.rate(now, peer, heard)
        most = max(1.0, AT_ONCE_S * rate)
        way.tokens = min(most, way.tokens + max(0.0, now - way.filled) * rate / 1000.0)
        if way.tokens > 1.0 - 1e-6:              # what the clock's steps round away is no reason to wait
            way.tokens = max(1.0, way.tokens)
        way.filled = now
        return way, rate

    # Asks and their answers ---------------------------------------------------------------

    def asked(self, now: float, number: int, peer: int, give_up: float) -> float:
        """An ask goes out for the first time: ms until it is due again, ``give_up`` ms at the most."""
        if self.deaf(now):
            give_up = min(give_up, DOUBTED * self._again(peer, 1))
        give_up = max(give_up, LEAST_WAIT * self.tick)
        self.out[number] = Out(peer, now, now + give_up)
        return min(give_up, self._again(peer, 1))

    def unheard(self, now: float, number: int) -> float | None:
        """No answer in time: ms until the next look, where the ask is to go again; None: it is given up."""
        out = self.out.get(number)
        if out is None or now >= out.give_up - self.tick or self.deaf(now):
            self.out.pop(number, None)
            return None
        out.tries += 1
        return max(self.tick, min(self._again(out.peer, out.tries), out.give_up - now))

    def answered(self, now: float, number: int) -> None:
        """Its answer has come."""
        out = self.out.pop(number, None)
        if out is None or out.tries > 1:
            return
        way, took = self._way(now, out.peer), now - out.at
        if way.smooth < 0:
            way.smooth, way.deviation = took, took / 2
        else:
            way.deviation += DEVIATE * (abs(took - way.smooth) - way.deviation)
            way.smooth += SMOOTH * (took - way.smooth)

    def dropped(self, number: int) -> None:
        """Nobody waits for its answer any more."""
        self.out.pop(number, None)

    def _again(self, peer: int, tries: int) -> float:
        way = self.ways.get(peer)
        if way is None or way.smooth < 0:
            once = self.first
        else:
            once = max(LEAST_TICKS * self.tick, way.smooth + DEVIATIONS * way.deviation)
        return once * BACK_OFF ** (tries - 1)

    # Upkeep -------------------------------------------------------------------------------

    def clean(self, now: float) -> None:
        """State stays bounded by those with whom something was exchanged of late."""
        self.ways = {peer: w for peer, w in self.ways.items() if now - w.used < IDLE_MS}
        self.flows = {peer: f for peer, f in self.flows.items() if now - f.at < IDLE_MS}
        self.out = {number: o for number, o in self.out.items() if now < o.give_up + IDLE_MS}

    def _way(self, now: float, peer: int) -> Way:
        way = self.ways.get(peer)
        if way is None:
            way = self.ways[peer] = Way(now, filled=now)
        way.used = now
        return way
