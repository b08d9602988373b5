"""Findings on servers, limiters and zones, their dissemination, and the verdicts that follow from them.

A *finding* is the observation of one limiter: the subject, the topic, how slow it is, the age, and a stamp
that grows with each finding of that observer, across its restarts.  Only the newest finding of an observer
counts for a subject and topic, so findings that are lost, duplicated, delayed or relayed by other limiters
do not change the final result.

A *verdict* is the conclusion of the fleet: the second worst of the findings of other limiters (``QUORUM``),
so that no single faulty observer can condemn a subject for all others.  Fleets of up to ``MAX_SMALL_FLEET``
limiters need one observer, and verdicts on limiters and zones may need more than two.  A bad finding is void
once as many observers have found the subject good since.  All findings decay with the same half-life, which
keeps their order; a verdict therefore decays too and never outlives its findings.  A limiter with recent
evidence of its own uses that evidence alone (``health.py``).

An observer that recently found most of its subjects bad suspects itself: the likely cause is its own link, or
a load that slows down everything.  While this lasts it sends no findings, and it retracts those it has sent.

Findings spread by gossip.  Each limiter sends a version of a finding a limited number of times (twice the
binary logarithm of the fleet size); ``docs/design/fleet-limits.md`` states the probability that all limiters
have it by then.  The newest findings are sent first.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

# Topics.  Other topics are the service classes and plans that servers are judged by.
ALL_WORK = 0  # all work at a server
LIMITER = 255  # the subject is a limiter
ZONE = 254  # the subject is a zone, identified by its digest

# Slowness is a multiple of the usual response time; a subject counts as bad from BAD_SLOWNESS on.
BAD_SLOWNESS = 2.0
# Unsent findings this bad are sent in messages of their own, one to a random limiter in each interval.
SEVERE_SLOWNESS = 3.5
GOSSIP_INTERVAL_MS = 250.0
# Distinct observers, other than the limiter itself, that a verdict takes.
QUORUM = 2
# Up to this many limiters one observer suffices: of two others, each is half of all.
MAX_SMALL_FLEET = 3
# In fleets larger than this, one more observer is needed to call a limiter silent, because messages are lost
# more often than nodes fail.
MAX_MEDIUM_FLEET = 8
# The newest findings are stored for each subject and topic.  For a zone more are stored, since those that
# find it healthy are weighed against those that find it lost.
MAX_OBSERVERS = 6
MAX_ZONE_OBSERVERS = 16
# A zone verdict takes the binary logarithm of the number of limiters less this margin, because in a fleet of
# hundreds two observers are wrong at times.
ZONE_QUORUM_MARGIN = 2
# Fraction of the limiters with a recent finding on a zone that must find it lost.
ZONE_QUORUM_FRACTION = 0.6
# Stored pairs of subject and topic; the least recently updated ones are dropped first.
MAX_SUBJECTS = 600
# Messages that carry a version of a finding, as a multiple of the binary logarithm of the number of limiters.
SENDS_FACTOR = 2.0
# A subject that stays bad is reported again after this fraction of the half-life.
REFRESH_FRACTION = 0.25
# An observer suspects itself if more than this fraction of the recently checked subjects is bad, and at least
# this many subjects were checked.
SELF_SUSPICION_FRACTION = 0.6
SELF_SUSPICION_MIN_SUBJECTS = 4
# Resolution of a stamp, which has 16 bits and is compared as a serial number (RFC 1982).
STAMP_MS = 100.0
# Findings that have decayed below this are not shown to operators.
MIN_REPORTED_SLOWNESS = 1.5
# Findings that have decayed below this are discarded.
NEGLIGIBLE_SLOWNESS = 1.05


class Finding(NamedTuple):
    """The observation of one limiter, as sent to its peers.

    ``subject`` is the short id of a server, the digest of a zone (topic ``ZONE``) or the number of a limiter
    (topic ``LIMITER``).  ``slowness`` is a multiple of the usual response time, 1 for a good subject; ``age``
    is in ms; ``stamp`` orders the findings of one observer.
    """

    subject: int
    topic: int
    slowness: float
    age: float
    observer: int
    stamp: int


class DecayingSlowness(NamedTuple):
    """A slowness observed at a time in ms, from which on it decays."""

    slowness: float
    at: float


@dataclass(slots=True)
class StoredFinding:
    """A finding as stored by a limiter.

    ``at`` is the time of the observation in ms.  ``remaining_sends`` counts the messages that may still carry
    it; ``source`` is the limiter that it came from, to which it is not sent back; ``sent_to`` are the
    limiters that have it already.
    """

    slowness: float
    at: float
    stamp: int
    remaining_sends: int
    source: int
    sent_to: set[int] = field(default_factory=set)


SubjectTopic = tuple[int, int]


def is_newer_stamp(stamp: int, than: int) -> bool:
    """Return whether ``stamp`` is newer than ``than``, as serial numbers of 16 bits."""
    return 0 < (stamp - than) & 0xFFFF < 0x8000


def _subject_kind(topic: int) -> int:
    """Return the kind of subject that a topic is about: limiters, zones, or (0) servers."""
    return topic if topic in (LIMITER, ZONE) else 0


class Verdicts:
    """The findings that one limiter has made or received, and the verdicts that follow from them."""

    def __init__(self, number: int, gateways: int, half_life: float) -> None:
        """Initialize for limiter ``number`` of ``gateways``; findings decay with ``half_life`` in ms."""
        self.number, self.half_life = number, half_life
        self.quorum = QUORUM if gateways > MAX_SMALL_FLEET else 1
        self.limiter_quorum = QUORUM + 1 if gateways > MAX_MEDIUM_FLEET else self.quorum
        self.zone_quorum = max(self.quorum, math.ceil(math.log2(gateways + 1)) - ZONE_QUORUM_MARGIN)
        self.sends_per_finding = math.ceil(SENDS_FACTOR * math.log2(gateways + 1))
        self.other_limiters = gateways - 1
        self.findings: OrderedDict[SubjectTopic, dict[int, StoredFinding]] = OrderedDict()
        # Verdicts of the fleet, from the findings of other limiters only.
        self.current: dict[SubjectTopic, DecayingSlowness] = {}
        # Recent evidence of this limiter itself.
        self.own_evidence: dict[SubjectTopic, DecayingSlowness] = {}
        # Findings to be sent to peers, the newest last.
        self.unsent: OrderedDict[tuple[SubjectTopic, int], None] = OrderedDict()

    def decayed(self, now: float, observed: DecayingSlowness | StoredFinding) -> float:
        """Return the slowness that is left of a finding or verdict at ``now``."""
        return 1.0 + (observed.slowness - 1.0) * math.exp2(-max(0.0, now - observed.at) / self.half_life)

    @staticmethod
    def stamp(at: float) -> int:
        """Return the stamp for a finding made at a time in ms.

        The clock keeps advancing across a restart on the same machine.
        """
        return int(at / STAMP_MS) & 0xFFFF

    # Own findings ----------------------------------------------------------------------------

    def record_evidence(self, now: float, subject: int, topic: int, slowness: float) -> None:
        """Record an observation made by this limiter.

        A finding is sent when the subject turns bad, again while it stays bad, and once it has recovered;
        none is sent while the limiter suspects itself.
        """
        subject_topic = subject, topic
        self.own_evidence[subject_topic] = DecayingSlowness(slowness, now)
        if slowness >= BAD_SLOWNESS and self.suspects_itself(now, topic):
            self.retract_findings(now, topic)
            return
        own = self.findings.get(subject_topic, {}).get(self.number)
        bad, was_bad = slowness >= BAD_SLOWNESS, own is not None and own.slowness >= BAD_SLOWNESS
        # If others find a zone lost while it serves this limiter, both observations have to count.
        contested = topic == ZONE and subject_topic in self.findings
        if not bad and not was_bad and not contested and self.verdict(now, *subject_topic) < BAD_SLOWNESS:
            return
        if own is not None and bad == was_bad and now - own.at < self.half_life * REFRESH_FRACTION:
            own.slowness = slowness if bad else 1.0
            return
        self._record_own_finding(now, subject_topic, slowness if bad else 1.0)

    def _record_own_finding(self, now: float, subject_topic: SubjectTopic, slowness: float) -> None:
        self._store(now, subject_topic, self.number, slowness, now, self.stamp(now), self.number)

    def retract_findings(self, now: float, topic: int) -> None:
        """Replace the bad findings of this limiter on subjects of the kind of ``topic`` by good ones.

        Called when the limiter suspects itself to be the cause.
        """
        for subject_topic, by_observer in list(self.findings.items()):
            own = by_observer.get(self.number)
            if (
                own is not None
                and own.slowness >= BAD_SLOWNESS
                and _subject_kind(subject_topic[1]) == _subject_kind(topic)
            ):
                self._record_own_finding(now, subject_topic, 1.0)

    def suspects_itself(self, now: float, topic: int) -> bool:
        """Return whether most subjects checked recently are bad, so that the cause is likely on this side."""
        recent = [
            evidence
            for (_, other_topic), evidence in self.own_evidence.items()
            if _subject_kind(other_topic) == _subject_kind(topic)
            and now - evidence.at <= self.half_life * REFRESH_FRACTION
        ]
        return len(recent) >= SELF_SUSPICION_MIN_SUBJECTS and sum(
            evidence.slowness >= BAD_SLOWNESS for evidence in recent
        ) > SELF_SUSPICION_FRACTION * len(recent)

    # Findings of other limiters -----------------------------------------------------------

    def receive(self, now: float, sender: int, finding: Finding) -> SubjectTopic | None:
        """Store a finding received from ``sender``; return its subject and topic if it was new, else None."""
        # A finding of this limiter from before a restart: its evidence is not known any more.
        if finding.observer == self.number:
            return None
        subject_topic = finding.subject, finding.topic
        stored = self.findings.get(subject_topic, {}).get(finding.observer)
        if stored is not None and not is_newer_stamp(finding.stamp, stored.stamp):
            stored.sent_to.add(sender)
            return None
        self._store(now, subject_topic, finding.observer, finding.slowness, now - finding.age, finding.stamp,
                    sender)
        return subject_topic

    def _store(self, now: float, subject_topic: SubjectTopic, observer: int, slowness: float, at: float,
               stamp: int, sender: int) -> None:
        by_observer = self.findings.setdefault(subject_topic, {})
        stored = by_observer.get(observer)
        # Two findings within the resolution of a stamp: this happens to findings of this limiter only.
        if stored is not None and stored.stamp == stamp:
            stamp = stamp + 1 & 0xFFFF
        by_observer[observer] = StoredFinding(slowness, at, stamp, self.sends_per_finding, sender)
        if len(by_observer) > (MAX_ZONE_OBSERVERS if subject_topic[1] == ZONE else MAX_OBSERVERS):
            oldest = min((o for o in by_observer if o != self.number), key=lambda o: (by_observer[o].at, o))
            del by_observer[oldest]
            self.unsent.pop((subject_topic, oldest), None)
        self.findings.move_to_end(subject_topic)
        while len(self.findings) > MAX_SUBJECTS:
            self._forget(next(iter(self.findings)))
        if subject_topic in self.findings and observer in by_observer:
            self.unsent.pop((subject_topic, observer), None)
            self.unsent[subject_topic, observer] = None
        self._update_verdict(now, subject_topic)

    def _update_verdict(self, now: float, subject_topic: SubjectTopic) -> None:
        """Compute the verdict: the slowness that at least a quorum of other limiters finds or exceeds.

        Bad findings that are older than the good findings of a quorum do not count.
        """
        others = [f for o, f in self.findings.get(subject_topic, {}).items() if o != self.number]
        quorum = self.quorum if subject_topic[1] != LIMITER else self.limiter_quorum
        good = sorted((f.at for f in others if f.slowness < BAD_SLOWNESS), reverse=True)
        since = good[self.quorum - 1] if len(good) >= self.quorum else -math.inf
        bad = sorted(
            (f for f in others if f.slowness >= BAD_SLOWNESS and f.at > since),
            key=lambda f: -self.decayed(now, f),
        )
        if subject_topic[1] == ZONE:
            healthy = sum(now - f.at <= self.half_life / 2 for f in others if f.slowness < BAD_SLOWNESS)
            quorum = max(
                self.zone_quorum, math.ceil(ZONE_QUORUM_FRACTION / (1.0 - ZONE_QUORUM_FRACTION) * healthy)
            )
        if len(bad) >= quorum:
            self.current[subject_topic] = DecayingSlowness(bad[quorum - 1].slowness, bad[quorum - 1].at)
        else:
            self.current.pop(subject_topic, None)

    def verdict(self, now: float, subject: int, topic: int) -> float:
        """Return the slowness that the fleet finds, 1 if the subject is good or unknown."""
        current = self.current.get((subject, topic))
        return self.decayed(now, current) if current is not None else 1.0

    def observers(self, subject: int, topic: int) -> dict[int, DecayingSlowness]:
        """Return the observers that find the subject bad, and their findings."""
        return {
            observer: DecayingSlowness(finding.slowness, finding.at)
            for observer, finding in self.findings.get((subject, topic), {}).items()
            if finding.slowness >= BAD_SLOWNESS
        }

    # Dissemination ------------------------------------------------------------------------

    def has_severe_unsent(self, now: float) -> bool:
        """Return whether an unsent finding, severe or of a recovery, is urgent enough for its own message."""
        return any(
            (finding := self.findings[subject_topic][observer]).slowness >= SEVERE_SLOWNESS
            or finding.slowness <= 1.0
            for subject_topic, observer in self.unsent
        )

    def findings_for(self, now: float, peer: int, limit: int) -> Iterator[Finding]:
        """Yield up to ``limit`` findings for a message to ``peer``, the newest first.

        They count as sent to the peer.
        """
        count, done = 0, []
        for subject_topic, observer in reversed(self.unsent):
            if count >= limit:
                break
            finding = self.findings[subject_topic][observer]
            # In a small fleet every limiter has the finding before its sends are used up.
            if len(finding.sent_to | {observer, finding.source} - {self.number}) >= self.other_limiters:
                done.append((subject_topic, observer))
                continue
            if peer in (observer, finding.source) or peer in finding.sent_to:
                continue
            if (
                observer == self.number
                and finding.slowness >= BAD_SLOWNESS
                and self.suspects_itself(now, subject_topic[1])
            ):
                continue
            finding.sent_to.add(peer)
            finding.remaining_sends -= 1
            if finding.remaining_sends <= 0:
                done.append((subject_topic, observer))
            count += 1
            yield Finding(*subject_topic, finding.slowness, now - finding.at, observer, finding.stamp)
        for key in done:
            self.unsent.pop(key, None)

    # Upkeep -------------------------------------------------------------------------------

    def forget(self, subject: int) -> None:
        """Discard all findings on a server that has restarted or was removed."""
        for subject_topic in [n for n in self.findings if n[0] == subject and not _subject_kind(n[1])]:
            self._forget(subject_topic)
        self.own_evidence = {
            n: e for n, e in self.own_evidence.items() if n[0] != subject or _subject_kind(n[1])
        }

    def _forget(self, subject_topic: SubjectTopic) -> None:
        for observer in self.findings.pop(subject_topic, {}):
            self.unsent.pop((subject_topic, observer), None)
        self.current.pop(subject_topic, None)

    def clean(self, now: float) -> None:
        """Discard findings that have decayed, and update the verdicts."""
        for subject_topic, by_observer in list(self.findings.items()):
            for observer in [
                o
                for o, f in by_observer.items()
                if now - f.at > 2 * self.half_life
                and self.decayed(now, f) < NEGLIGIBLE_SLOWNESS
                or now - f.at > 8 * self.half_life
            ]:
                del by_observer[observer]
                self.unsent.pop((subject_topic, observer), None)
            if not by_observer:
                self._forget(subject_topic)
            else:
                self._update_verdict(now, subject_topic)
        self.own_evidence = {n: e for n, e in self.own_evidence.items() if now - e.at <= 2 * self.half_life}

    def rows(self, now: float) -> list[dict[str, Any]]:
        """Return the rows that operators see: each subject and topic that some observer finds bad."""
        rows = []
        for subject_topic, by_observer in self.findings.items():
            bad = {
                o: {"slow": round(f.slowness, 2), "age_ms": round(now - f.at)}
                for o, f in by_observer.items()
                if f.slowness >= BAD_SLOWNESS and self.decayed(now, f) >= MIN_REPORTED_SLOWNESS
            }
            if bad:
                rows.append({"subject": subject_topic[0], "topic": subject_topic[1], "observers": bad,
                             "verdict": round(self.verdict(now, *subject_topic), 2)})
        return rows
