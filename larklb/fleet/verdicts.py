"""What limiters find of execute nodes and of each other, told on, and what the fleet makes of it.

A *finding* is one observer's: subject, topic, how bad, how old, and a stamp that grows with each finding of
that observer, over its restarts too.  Of each observer the newest counts for a subject and topic; so one that
is lost, comes twice, late or by a roundabout way changes nothing in the end.

A *verdict* is the fleet's: the second worst of the findings of others (``QUORUM``), so that no single
observer condemns anything for the rest, whatever is wrong with it; and what as many have found good since is
void.  Findings fade with one half-life, which leaves their order as it is; so a verdict fades, too, and never
outlives its findings.  Who has evidence of its own that is fresh goes by that alone (``health.py``).

An observer that finds most of what it looked at lately bad doubts itself: what all its ways have in common is
its own link, or a load that slows all alike.  It tells nothing while that lasts, and takes back what it told.

Each version of a finding is told on so many times by each who has it (twice the logarithm of the fleet's
size): by then all have it with a likelihood that ``docs/design/fleet-limits.md`` states.  New ones go first.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

ALL_WORK = 0               # judgements and findings are of all work at a server, and by class and plan
LIMITER = 255              # topic of findings on a limiter; others are those of the judgements ...
ZONE = 254                 # ... and of findings on a zone, whose digest is the subject
BAD_SLOWNESS = 2.0                  # times slower than usual from which on a finding is told
SEVERE_SLOWNESS = 3.5                # ... and from which on it is worth messages of its own
# between messages of its own for grave findings, to a limiter drawn from all
GOSSIP_INTERVAL_MS = 250.0
QUORUM = 2                 # distinct observers, others than oneself, that make a verdict ...
# ... where there are more limiters than this: of two others each is half of all
MAX_SMALL_FLEET = 3
# of a larger fleet one observer more is asked for to call a limiter silent: words
MAX_MEDIUM_FLEET = 8
                           # get lost more often than nodes fail
MAX_OBSERVERS = 6         # findings kept for a subject and topic, the newest ...
MAX_ZONE_OBSERVERS = 16          # ... and for a zone: who finds it well counts against who finds it lost
# than the binary logarithm of the limiters must find a zone lost: of hundreds two
ZONE_QUORUM_MARGIN = 2
                           # are wrong now and then
ZONE_QUORUM_FRACTION = 0.6            # of those that have a fresh finding on a zone make a verdict
MAX_SUBJECTS = 600                 # subjects and topics kept, the longest unheard of go first
# times the binary logarithm of the limiters: messages that a version rides on
SENDS_FACTOR = 2.0
REFRESH_FRACTION = 0.25          # of the half-life: a finding that stays bad is told anew so often
# of the subjects looked at lately found bad: an observer doubts itself ...
SELF_SUSPICION_FRACTION = 0.6
SELF_SUSPICION_MIN_SUBJECTS = 4            # ... if there are so many of them
STAMP_MS = 100.0           # a stamp's step; it has 16 bits and is compared as a serial number (RFC 1982)
MIN_REPORTED_SLOWNESS = 1.5                # ... and below this it is not shown to operators
NEGLIGIBLE_SLOWNESS = 1.05               # a finding that has faded below this is nothing any more


class Finding(NamedTuple):
    """One observer's: ``subject`` is a server's short digest, or a limiter's number where ``topic`` is
    LIMITER; ``slow`` how many times slower than usual, 1 for good; ``age`` in ms."""

    subject: int
    topic: int
    slowness: float
    age: float
    observer: int
    stamp: int


class DecayingSlowness(NamedTuple):
    """How bad, and since when; it fades from then on."""

    slowness: float
    at: float


@dataclass(slots=True)
class StoredFinding:
    """A finding as it is kept here."""

    slowness: float
    at: float
    stamp: int
    remaining_sends: int                             # messages that it may still ride on
    source: int                         # who told it: told back to nobody
    sent_to: set[int] = field(default_factory=set)


SubjectTopic = tuple[int, int]


def is_newer_stamp(stamp: int, than: int) -> bool:
    """Whether a stamp comes after another, as serial numbers of 16 bits do."""
    return 0 < (stamp - than) & 0xFFFF < 0x8000


def _subject_kind(topic: int) -> int:
    """Limiters and zones are apart from servers, whatever is found of these."""
    return topic if topic in (LIMITER, ZONE) else 0


class Verdicts:
    """One limiter's findings and those that it has heard of."""

    def __init__(self, number: int, gateways: int, half_life: float) -> None:
        """``number`` of ``gateways`` limiters; ``half_life`` in ms of everything that is found."""
        self.number, self.half_life = number, half_life
        self.quorum = QUORUM if gateways > MAX_SMALL_FLEET else 1
        self.limiter_quorum = QUORUM + 1 if gateways > MAX_MEDIUM_FLEET else self.quorum
        self.zone_quorum = max(self.quorum, math.ceil(math.log2(gateways + 1)) - ZONE_QUORUM_MARGIN)
        self.sends_per_finding = math.ceil(SENDS_FACTOR * math.log2(gateways + 1))
        self.other_limiters = gateways - 1
        self.findings: OrderedDict[SubjectTopic, dict[int, StoredFinding]] = OrderedDict()
        # the fleet's verdicts, of others' findings alone
        self.current: dict[SubjectTopic, DecayingSlowness] = {}
        # evidence of one's own of late
        self.own_evidence: dict[SubjectTopic, DecayingSlowness] = {}
        # to be told on, the newest last
        self.unsent: OrderedDict[tuple[SubjectTopic, int], None] = OrderedDict()

    def decayed(self, now: float, mark: DecayingSlowness | StoredFinding) -> float:
        return 1.0 + (mark.slowness - 1.0) * math.exp2(-max(0.0, now - mark.at) / self.half_life)

    @staticmethod
    def stamp(at: float) -> int:
        """Of what is found at a time.  The clock advances over a restart on the same machine."""
        return int(at / STAMP_MS) & 0xFFFF

    # One's own ----------------------------------------------------------------------------

    def record_evidence(self, now: float, subject: int, topic: int, slow: float) -> None:
        """Evidence of one's own.  A finding is told once it is bad, anew while it stays so, and when it is
        not bad any more; not while one doubts oneself."""
        name = subject, topic
        self.own_evidence[name] = DecayingSlowness(slow, now)
        if slow >= BAD_SLOWNESS and self.suspects_itself(now, topic):
            self.retract_findings(now, topic)
            return
        mine = self.findings.get(name, {}).get(self.number)
        bad, was = slow >= BAD_SLOWNESS, mine is not None and mine.slowness >= BAD_SLOWNESS
        # A zone that somebody finds lost and who is served there does not: each is to count.
        contested = topic == ZONE and name in self.findings
        if not bad and not was and not contested and self.verdict(now, *name) < BAD_SLOWNESS:
            return
        if mine is not None and bad == was and now - mine.at < self.half_life * REFRESH_FRACTION:
            mine.slowness = slow if bad else 1.0
            return
        self._record_own_finding(now, name, slow if bad else 1.0)

    def _record_own_finding(self, now: float, name: SubjectTopic, slow: float) -> None:
        self._store(now, name, self.number, slow, now, self.stamp(now), self.number)

    def retract_findings(self, now: float, topic: int) -> None:
        """What was told of servers, limiters or zones is void: it was one's own fault."""
        for name, here in list(self.findings.items()):
            mine = here.get(self.number)
            if (
                mine is not None
                and mine.slowness >= BAD_SLOWNESS
                and _subject_kind(name[1]) == _subject_kind(topic)
            ):
                self._record_own_finding(now, name, 1.0)

    def suspects_itself(self, now: float, topic: int) -> bool:
        """Whether most of what was looked at lately is bad here: then it is not the subjects' fault."""
        late = [
            m
            for (_, t), m in self.own_evidence.items()
            if _subject_kind(t) == _subject_kind(topic) and now - m.at <= self.half_life * REFRESH_FRACTION
        ]
        return len(late) >= SELF_SUSPICION_MIN_SUBJECTS and sum(
            m.slowness >= BAD_SLOWNESS for m in late
        ) > SELF_SUSPICION_FRACTION * len(late)

    # Others' ------------------------------------------------------------------------------

    def receive(self, now: float, sender: int, f: Finding) -> SubjectTopic | None:
        """A finding that came from ``sender``; its name where it was news, else None."""
        if f.observer == self.number:                     # of a former self: what it saw is not known here
            return None
        name = f.subject, f.topic
        known = self.findings.get(name, {}).get(f.observer)
        if known is not None and not is_newer_stamp(f.stamp, known.stamp):
            known.sent_to.add(sender)
            return None
        self._store(now, name, f.observer, f.slowness, now - f.age, f.stamp, sender)
        return name

    def _store(self, now: float, name: SubjectTopic, observer: int, slow: float, at: float, stamp: int,
              sender: int) -> None:
        here = self.findings.setdefault(name, {})
        known = here.get(observer)
        if known is not None and known.stamp == stamp:
            stamp = stamp + 1 & 0xFFFF                     # twice within a step: one's own only
        here[observer] = StoredFinding(slow, at, stamp, self.sends_per_finding, sender)
        if len(here) > (MAX_ZONE_OBSERVERS if name[1] == ZONE else MAX_OBSERVERS):
            oldest = min((o for o in here if o != self.number), key=lambda o: (here[o].at, o))
            del here[oldest]
            self.unsent.pop((name, oldest), None)
        self.findings.move_to_end(name)
        while len(self.findings) > MAX_SUBJECTS:
            self._forget(next(iter(self.findings)))
        if name in self.findings and observer in here:
            self.unsent.pop((name, observer), None)
            self.unsent[name, observer] = None
        self._update_verdict(now, name)

    def _update_verdict(self, now: float, name: SubjectTopic) -> None:
        """The verdict: at least ``quorum`` others find it as bad as that, and not as many good since then."""
        others = [k for o, k in self.findings.get(name, {}).items() if o != self.number]
        quorum = self.quorum if name[1] != LIMITER else self.limiter_quorum
        good = sorted((k.at for k in others if k.slowness < BAD_SLOWNESS), reverse=True)
        since = good[self.quorum - 1] if len(good) >= self.quorum else -math.inf
        bad = sorted(
            (k for k in others if k.slowness >= BAD_SLOWNESS and k.at > since),
            key=lambda k: -self.decayed(now, k),
        )
        if name[1] == ZONE:
            well = sum(now - k.at <= self.half_life / 2 for k in others if k.slowness < BAD_SLOWNESS)
            quorum = max(
                self.zone_quorum, math.ceil(ZONE_QUORUM_FRACTION / (1.0 - ZONE_QUORUM_FRACTION) * well)
            )
        if len(bad) >= quorum:
            self.current[name] = DecayingSlowness(bad[quorum - 1].slowness, bad[quorum - 1].at)
        else:
            self.current.pop(name, None)

    def verdict(self, now: float, subject: int, topic: int) -> float:
        """How bad the fleet finds it: 1 for good, or where nothing is known."""
        mark = self.current.get((subject, topic))
        return self.decayed(now, mark) if mark is not None else 1.0

    def observers(self, subject: int, topic: int) -> dict[int, DecayingSlowness]:
        """Who finds it bad, and since when."""
        return {
            o: DecayingSlowness(k.slowness, k.at)
            for o, k in self.findings.get((subject, topic), {}).items()
            if k.slowness >= BAD_SLOWNESS
        }

    # Telling ------------------------------------------------------------------------------

    def has_severe_unsent(self, now: float) -> bool:
        """Whether something is to be told that is worth a message of its own."""
        return any((k := self.findings[name][observer]).slowness >= SEVERE_SLOWNESS or k.slowness <= 1.0
                   for name, observer in self.unsent)

    def findings_for(self, now: float, peer: int, most: int) -> Iterator[Finding]:
        """Up to ``most`` findings for a message to a peer, the newest first; they count as told to it."""
        count, done = 0, []
        for name, observer in reversed(self.unsent):
            if count >= most:
                break
            known = self.findings[name][observer]
            if len(known.sent_to | {observer, known.source} - {self.number}) >= self.other_limiters:
                done.append((name, observer))              # a small fleet knows it before so many messages
                continue
            if peer in (observer, known.source) or peer in known.sent_to:
                continue
            if (
                observer == self.number
                and known.slowness >= BAD_SLOWNESS
                and self.suspects_itself(now, name[1])
            ):
                continue
            known.sent_to.add(peer)
            known.remaining_sends -= 1
            if known.remaining_sends <= 0:
                done.append((name, observer))
            count += 1
            yield Finding(*name, known.slowness, now - known.at, observer, known.stamp)
        for gone in done:
            self.unsent.pop(gone, None)

    # Upkeep -------------------------------------------------------------------------------

    def forget(self, subject: int) -> None:
        """A server is another process now, or gone: what was found of it is void."""
        for name in [n for n in self.findings if n[0] == subject and not _subject_kind(n[1])]:
            self._forget(name)
        self.own_evidence = {
            n: m for n, m in self.own_evidence.items() if n[0] != subject or _subject_kind(n[1])
        }

    def _forget(self, name: SubjectTopic) -> None:
        for observer in self.findings.pop(name, {}):
            self.unsent.pop((name, observer), None)
        self.current.pop(name, None)

    def clean(self, now: float) -> None:
        """What has faded away is forgotten."""
        for name, here in list(self.findings.items()):
            for observer in [
                o
                for o, k in here.items()
                if now - k.at > 2 * self.half_life
                and self.decayed(now, k) < NEGLIGIBLE_SLOWNESS
                or now - k.at > 8 * self.half_life
            ]:
                del here[observer]
                self.unsent.pop((name, observer), None)
            if not here:
                self._forget(name)
            else:
                self._update_verdict(now, name)
        self.own_evidence = {n: m for n, m in self.own_evidence.items() if now - m.at <= 2 * self.half_life}

    def rows(self, now: float) -> list[dict[str, Any]]:
        """For an operator: each subject and topic that somebody finds bad."""
        rows = []
        for name, here in self.findings.items():
            bad = {
                o: {"slow": round(k.slowness, 2), "age_ms": round(now - k.at)}
                for o, k in here.items()
                if k.slowness >= BAD_SLOWNESS and self.decayed(now, k) >= MIN_REPORTED_SLOWNESS
            }
            if bad:
                rows.append({"subject": name[0], "topic": name[1], "observers": bad,
                             "verdict": round(self.verdict(now, *name), 2)})
        return rows
