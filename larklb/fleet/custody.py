"""Replicated records of jobs that must not run twice: who holds a job, what was sent, and who takes it over.

This module does no I/O: messages and times are arguments, and answers are return values.

The *group* of a job (its replica set) is three limiters, chosen by the job's key.  Each of them is a
*custodian* (replica) and stores a record of the job; a record is valid once two of the three have stored it.
The limiter that accepted the job is its *holder* (lease owner), under a *term* (fencing number) that two
custodians have granted; no two holders ever have the same term.  A *successor* obtains a higher term, for a
later try of the client or to take the job over.  The record of a custodian has one of these states:

    state      meaning                                     next states, and by whom
    held       a limiter holds it, nothing was sent        sent, released: the holder; held: a successor
    sent       an attempt was sent, or is about to be      sent, answered, released: the holder;
                                                           sent, unknown: a successor
    answered   the answer is stored                        none: a client that asks is given the answer
    released   the holder has given its client an answer   held, sent, unknown: a successor, with what was
               other than success, or there is no memory   sent before
               for the answer
    unknown    the outcome is unknown; never sent again    none: a client that asks is told of failure

The *lease* of a holder has ended at a custodian that has received nothing from the holder's process for
``LEASE_MS``, has heard of a later start of that holder, or has stored its release or withdrawal; also once
the client's deadline has been over for ``LEASE_MS``.  Only then is a higher term granted to another process,
along with the custodian's record.  The process that has the term may claim a higher one at any time.  A job
is *orphaned* if the lease has ended, the state is held or sent, and the client still waits: the custodians
then claim it one after the other.

A successor that two custodians have granted its term stores the newest of their records under it before it
sends anything.  If nothing was sent, the successor sends the job; if something was sent, it sends the job
again only as far as its class allows; otherwise the job becomes unknown.  A claim ends at once if one
custodian reports a final record, answered or unknown.  That is safe without a majority, since the claimant
then sends nothing.

A holder sends only under a record that two custodians have stored, and within its lease.  It counts the lease
from the time it *sent* the record, they count from the receipt.  Heartbeats extend the lease at the
custodians only.  A holder that was stopped or partitioned therefore finds its lease over before a successor
can have begun, whatever the clocks show, as long as they run at about the same rate (``CLOCK_RATE_MARGIN``).

A restarted custodian has lost its records.  For its retention time after the start it therefore grants no
term for an unknown job, except for a client's first try, of which no earlier record can exist.

``lab/check_custody.py`` explores all orders of loss, delay, kills, stops and restarts to a fixed depth.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from enum import Enum

import msgspec

from larklb.quota.ring import digest

# Custodians of a job; one may be lost.
GROUP = 3
# Custodians that must grant a term or store a record.
MAJORITY = GROUP // 2 + 1
# A holder that was not heard from for this long has lost its jobs.  It may miss two heartbeats in a row.
LEASE_MS = 900.0
# Fraction of a lease that the holder gives up for clocks and timers that run at different rates.
CLOCK_RATE_MARGIN = 0.1
# Interval between the messages of a holder to a custodian while it has jobs there.
HEARTBEAT_MS = 250.0
# Interval between scans for orphaned jobs.
ORPHAN_SCAN_MS = 50.0
# A reply of a custodian that takes longer counts as lost.
REPLY_TIMEOUT_MS = 400.0
# Delay between the custodians of an orphan, which attempt the takeover one after the other.  It is shorter
# than REPLY_TIMEOUT_MS: attempts may overlap if replies are lost, and the terms decide between them.
TAKEOVER_STAGGER_MS = 150.0
# Attempts that a record stores.  The first determines whether the job may be sent again; the others are for
# operators.
MAX_RECORDED_ATTEMPTS = 8
# Approximate memory of a record in addition to its contents.
RECORD_OVERHEAD_BYTES = 400


class JobState(Enum):
    """The states of a record, as in the table above."""

    HELD = "held"
    SENT = "sent"
    ANSWERED = "answered"
    RELEASED = "released"
    UNKNOWN = "unknown"


# States after which nothing is sent any more.
FINAL_STATES = (JobState.ANSWERED, JobState.UNKNOWN)


class SentAttempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that was sent or about to be.

    ``node`` is the server's name, ``zone`` and ``cell`` its failure domains, ``age`` the ms since the send.
    """

    node: str
    zone: str
    cell: int
    age: float


class Content(msgspec.Struct, array_like=True, frozen=True):
    """What a successor needs to go on without the client: the request as received, and its classification.

    ``name`` is the id of the request, ``service`` and ``plan`` are the names of its class and plan, ``units``
    its cost.  The customer is served by ``spread`` limiters, counted from number ``first``.
    """

    name: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    service: str
    plan: str
    customer: str
    units: float
    first: int
    spread: int


class StoredAnswer(msgspec.Struct, array_like=True, frozen=True):
    """The stored answer of a job; ``kind`` is its content type."""

    status: int
    kind: bytes
    body: bytes


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What a custodian stores of a job.  Newer records have a higher (term, step).

    ``body`` is a 32-bit digest of the request's body; a key is refused with another body.  ``start``
    identifies the holder's process: it rises with each start and is not comparable with ``now``.  ``left`` is
    the time in ms until the client's deadline, when the record was sent.  ``paid`` is whether the customer's
    quota was charged, and ``reason`` is why the outcome is unknown.
    """

    key: int
    body: int
    term: int
    step: int
    holder: int
    start: int
    state: JobState
    left: float
    sent: tuple[SentAttempt, ...] = ()
    paid: bool = False
    answer: StoredAnswer | None = None
    content: Content | None = None
    reason: str = ""

    def size(self) -> int:
        """Return the approximate memory of the record in bytes."""
        content, answer = self.content, self.answer
        return (RECORD_OVERHEAD_BYTES + (len(answer.body) if answer is not None else 0)
                + (len(content.body) + sum(len(name) + len(value) for name, value in content.headers)
                   if content is not None else 0))


class Claim(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A request for the term of a job, by the process of ``claimant`` that is identified by ``start``.

    ``body`` is the digest of the request's body.  ``first`` is whether there cannot have been an earlier try
    of the job.
    """

    key: int
    body: int
    term: int
    claimant: int
    start: int
    first: bool


class Keep(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A record of a holder, to be stored."""

    record: Record


class Withdraw(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Ends the lease of an unsuccessful claim at every custodian that granted it."""

    key: int
    term: int
    claimant: int
    start: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Shows that a holder is alive and has jobs at this custodian."""

    holder: int
    start: int


class ReplyKind(Enum):
    """A custodian's reply to any message."""

    # The term is granted to the claimant; the record, if any, is attached.
    GIVEN = "given"
    # The record, or a newer one of the same term, is stored.  Also acknowledges Withdraw and Heartbeat.
    KEPT = "kept"
    # The lease of another holder or claimant is still running.
    BUSY = "busy"
    # Refused: the claimed term is not above the granted one, the record's term is below it, or the record has
    # another body.
    SUPERSEDED = "old"
    # The job is final: answered, or its outcome is unknown, as the attached record says.
    ENDED = "ended"
    # The key was used with another body.
    BODY_MISMATCH = "other"
    # Restarted recently: a record of this job may have been lost.  Also stands for a missing reply.
    UNSURE = "unsure"
    # There is no memory for the record or the claim.
    FULL = "full"


class Reply(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A custodian's reply.

    ``term`` is the highest term granted, ``remaining_lease`` the time in ms that is left of its lease.
    """

    kind: ReplyKind
    term: int = 0
    remaining_lease: float = 0.0
    record: Record | None = None


# The messages that a custodian handles.
CustodyMessage = Claim | Keep | Withdraw | Heartbeat


def key_of(customer: str, service: str, key: bytes) -> int:
    """Return the key of a job, 64 bits that are the same for all its tries."""
    return digest(f"{customer}/{service}/{key.hex()}")


def group_of(key: int, limiter_count: int, zones: Mapping[int, str] | None = None) -> tuple[int, ...]:
    """Return the custodians of a key by rendezvous hashing, in different zones if possible.

    They are in order of preference, which is also the order of takeover.
    """
    order = sorted(range(limiter_count), key=lambda i: digest(f"{key}/{i}"))
    custodians: list[int] = []
    for distinct_zones in (True, False):
        for limiter in order:
            used_zones = {zones.get(c) for c in custodians} if zones else set()
            if len(custodians) < GROUP and limiter not in custodians and not (
                    distinct_zones and zones and zones.get(limiter) in used_zones):
                custodians.append(limiter)
    return tuple(sorted(custodians, key=order.index))


def may_send_again(window: float, sent: tuple[SentAttempt, ...]) -> bool:
    """Return whether a job may be sent again without running twice.

    ``sent`` are the attempts so far; ``window`` is the deduplication window of the service class in ms,
    counted from the first attempt.  It is reduced by LEASE_MS, the longest time that a record may be in
    transit, which the ages do not include.
    """
    return not sent or max(s.age for s in sent) < window - LEASE_MS


class _JobEntry:
    """A custodian's state of one job.

    ``term`` is the highest term granted; ``holder`` and ``start`` identify the process that has it, where a
    ``start`` of -1 matches no process.  ``last_heard_at`` is the time of the last message of that process on
    this job, -inf after a withdrawal.  ``record`` may be of a lower term.  ``size`` is in bytes.
    """

    __slots__ = ("body_digest", "term", "holder", "start", "last_heard_at", "record", "received_at", "size")

    def __init__(self, body_digest: int, term: int, holder: int, start: int, now: float) -> None:
        self.body_digest, self.term, self.holder, self.start, self.last_heard_at = (
            body_digest, term, holder, start, now)
        self.record: Record | None = None
        # The times in the record are as of this time.
        self.received_at = now
        self.size = RECORD_OVERHEAD_BYTES


class Custodian:
    """The custodian role of one limiter: stores records and grants terms."""

    def __init__(self, limiter_number: int, now: float, retention_ms: float, max_bytes: int) -> None:
        """Initialize the custodian.

        A record is forgotten ``retention_ms`` after the last message on it; ``max_bytes`` limits the memory
        of all records.
        """
        self.limiter_number, self.retention_ms, self.max_bytes = limiter_number, retention_ms, max_bytes
        self.started_at = now
        # By key, the least recently updated first.
        self.jobs: OrderedDict[int, _JobEntry] = OrderedDict()
        # By holder: the start of its process, and the time of its last message.
        self.heartbeats: dict[int, tuple[int, float]] = {}
        # Approximate memory of all records in bytes.
        self.size = 0
        # Number of records refused for lack of memory.
        self.refused = 0

    def handle(self, now: float, message: CustodyMessage) -> Reply:
        """Process a message of a holder or claimant, and return the reply."""
        match message:
            case Claim():
                return self._claim(now, message)
            case Keep(record):
                return self._keep(now, record)
            case Withdraw():
                job = self.jobs.get(message.key)
                if job is not None and (job.term, job.holder, job.start) == (
                        message.term, message.claimant, message.start):
                    # The term is not granted again, but its lease ends.  A start of -1 matches no process, so
                    # that heartbeats of the claimant do not extend the lease.
                    job.last_heard_at = -math.inf
                    if job.record is None or job.record.term < message.term:
                        job.start = -1
                return Reply(ReplyKind.KEPT)
            case Heartbeat():
                self._record_heartbeat(now, message.holder, message.start)
                return Reply(ReplyKind.KEPT)

    def _record_heartbeat(self, now: float, holder: int, start: int) -> None:
        previous = self.heartbeats.get(holder)
        if previous is None or start >= previous[0]:
            self.heartbeats[holder] = start, now

    def remaining_lease(self, now: float, job: _JobEntry) -> float:
        """Return the ms that are left of the holder's lease; <= 0 or -inf if the lease has ended."""
        if job.start < 0 or job.record is not None and job.record.state is JobState.RELEASED and (
                job.record.term == job.term):
            return -math.inf
        # The client's deadline passed at least one lease ago, so the holder no longer works on the job.
        if job.record is not None and now - job.received_at > job.record.left + LEASE_MS:
            return -math.inf
        start, heartbeat_at = self.heartbeats.get(job.holder, (job.start, -math.inf))
        # The holder has restarted.
        if start > job.start:
            return -math.inf
        return max(job.last_heard_at, heartbeat_at if start == job.start else -math.inf) + LEASE_MS - now

    def _claim(self, now: float, claim: Claim) -> Reply:
        self._record_heartbeat(now, claim.claimant, claim.start)
        job = self.jobs.get(claim.key)
        if job is None:
            if now - self.started_at < self.retention_ms and not claim.first:
                return Reply(ReplyKind.UNSURE)
            if not self._has_room(RECORD_OVERHEAD_BYTES):
                return Reply(ReplyKind.FULL)
            self.jobs[claim.key] = _JobEntry(claim.body, claim.term, claim.claimant, claim.start, now)
            self.size += RECORD_OVERHEAD_BYTES
            return Reply(ReplyKind.GIVEN, claim.term)
        if job.body_digest != claim.body:
            return Reply(ReplyKind.BODY_MISMATCH)
        record = self.current_record(now, job)
        if record is not None and record.state in FINAL_STATES:
            return Reply(ReplyKind.ENDED, job.term, 0.0, record)
        # A repetition of the same claim.
        if (job.holder, job.start, job.term) == (claim.claimant, claim.start, claim.term):
            return Reply(ReplyKind.GIVEN, claim.term, 0.0, record)
        # A process claims a job again only after it gave it up, so its own lease is ignored.
        if (job.holder, job.start) != (claim.claimant, claim.start) and (
                remaining := self.remaining_lease(now, job)) > 0:
            return Reply(ReplyKind.BUSY, job.term, remaining)
        if claim.term <= job.term:
            return Reply(ReplyKind.SUPERSEDED, job.term)
        job.term, job.holder, job.start, job.last_heard_at = claim.term, claim.claimant, claim.start, now
        self.jobs.move_to_end(claim.key)
        return Reply(ReplyKind.GIVEN, claim.term, 0.0, record)

    def _keep(self, now: float, record: Record) -> Reply:
        self._record_heartbeat(now, record.holder, record.start)
        job = self.jobs.get(record.key)
        if job is not None and (job.body_digest != record.body or record.term < job.term):
            return Reply(ReplyKind.SUPERSEDED, job.term)
        if job is not None and job.record is not None and (
                (record.term, record.step) <= (job.record.term, job.record.step)):
            return Reply(ReplyKind.KEPT if record.term == job.term else ReplyKind.SUPERSEDED, job.term)
        size, previous_size = record.size(), job.size if job is not None else 0
        if not self._has_room(size - previous_size):
            self.refused += 1
            return Reply(ReplyKind.FULL, job.term if job is not None else 0)
        if job is None:
            job = self.jobs[record.key] = _JobEntry(
                record.body, record.term, record.holder, record.start, now
            )
        job.term, job.holder, job.start, job.last_heard_at = record.term, record.holder, record.start, now
        job.record, job.received_at, job.size = record, now, size
        self.size += size - previous_size
        self.jobs.move_to_end(record.key)
        return Reply(ReplyKind.KEPT, record.term)

    def _has_room(self, additional: int) -> bool:
        """Return whether there is memory for ``additional`` bytes.

        Records of ended jobs are not evicted early, since such a job could then run twice.
        """
        return self.size + additional <= self.max_bytes

    def current_record(self, now: float, job: _JobEntry) -> Record | None:
        """Return the record of a job with its times as of ``now``, or None if none is stored."""
        record, elapsed = job.record, now - job.received_at
        if record is None:
            return None
        return msgspec.structs.replace(record, left=record.left - elapsed, sent=tuple(
            msgspec.structs.replace(attempt, age=attempt.age + elapsed) for attempt in record.sent))

    def orphans(self, now: float, limiter_count: int,
                zones: Mapping[int, str] | None = None) -> Iterator[tuple[Record, int]]:
        """Yield the orphaned jobs to be taken over here now, each with the highest term granted.

        Each custodian of the group waits TAKEOVER_STAGGER_MS longer than the one before it.  Jobs that are
        stored without their content are left out.
        """
        for key, job in self.jobs.items():
            record = job.record
            if record is None or record.content is None or record.state not in (JobState.HELD, JobState.SENT):
                continue
            if self.remaining_lease(now, job) > 0 or record.left <= now - job.received_at:
                continue
            group = group_of(key, limiter_count, zones)
            position = group.index(self.limiter_number) if self.limiter_number in group else GROUP
            if (
                now - job.last_heard_at >= LEASE_MS + position * TAKEOVER_STAGGER_MS
                and (current := self.current_record(now, job)) is not None
            ):
                yield current, job.term

    def clean(self, now: float) -> None:
        """Forget the jobs without a message for ``retention_ms`` and without a lease, and old heartbeats."""
        for key, job in list(self.jobs.items()):
            if (
                now - max(job.last_heard_at, job.received_at) > self.retention_ms
                and self.remaining_lease(now, job) <= 0
            ):
                self.size -= job.size
                del self.jobs[key]
        self.heartbeats = {
            holder: heartbeat for holder, heartbeat in self.heartbeats.items()
            if now - heartbeat[1] <= self.retention_ms
        }

    def rows(self, now: float, key: int | None = None) -> list[dict[str, object]]:
        """Return the rows that operators see, of all jobs or of the one with ``key``.

        Here "orphaned" does not depend on whether the client still waits, and includes jobs that were claimed
        and have no record.
        """
        rows: list[dict[str, object]] = []
        for job_key, job in self.jobs.items():
            if key is not None and job_key != key:
                continue
            record = self.current_record(now, job)
            remaining = self.remaining_lease(now, job)
            state = record.state.value if record is not None else "claimed"
            if remaining <= 0 and (record is None or record.state in (JobState.HELD, JobState.SENT)):
                state += ", orphaned"
            rows.append({"key": f"{job_key:016x}", "state": state, "term": job.term, "holder": job.holder,
                         "lease_ms": max(0, round(remaining)) if remaining > -math.inf else 0,
                         "sent": [f"{a.node} {round(a.age)} ms ago" for a in (record.sent if record else ())],
                         "bytes": job.size, "why": record.reason if record is not None else ""})
        return rows


class ClaimOutcome(Enum):
    """The outcome of a claim."""

    # Two custodians granted the term; ``record`` of the session is the newest one they reported, or None.
    ACQUIRED = "mine"
    # No majority, and at least one custodian reports a running lease: claim again after a delay.
    WAIT = "wait"
    # No majority, no running lease, and a custodian refused the term: claim again with a higher term.
    RETRY = "retry"
    # The job is final: answered, or its outcome is unknown.
    ENDED = "ended"
    # The key was used with another body.
    BODY_MISMATCH = "other"
    # No majority can be determined: replies are missing, or custodians replied UNSURE or FULL.
    UNSURE = "unsure"


class HolderSession:
    """One try of a job at its holder or a claimant; counts the replies of the custodians."""

    def __init__(self, limiter_number: int, start: int, key: int, body_digest: int, group: tuple[int, ...],
                 first: bool = False) -> None:
        """Initialize the session.

        ``start`` identifies this process; ``first`` is whether the client states that this is its first try.
        """
        self.limiter_number, self.start, self.key, self.body_digest, self.group = (
            limiter_number, start, key, body_digest, group)
        self.first = first
        # The term that was last claimed.
        self.term = 0
        # Number of records sent under the term.
        self.step = 0
        # By custodian: the replies to the last claim or record.
        self.replies: dict[int, Reply] = {}
        # After a claim: the newest record received from the custodians that granted it, or a final record.
        # After ``keep``: the record last sent, which may not be stored yet.
        self.record: Record | None = None
        # End of the lease of the last record that a majority has stored.
        self.lease_until = -math.inf
        # Time at which the last claim or record was sent.
        self.asked_at = -math.inf

    # Claiming -----------------------------------------------------------------------------

    def claim(self, now: float) -> Claim:
        """Return a claim of a higher term than any known, to be sent to the whole group."""
        highest = max((r.term for r in self.replies.values()), default=0)
        self.term = max(self.term, highest) + 1
        self.replies, self.asked_at = {}, now
        return Claim(self.key, self.body_digest, self.term, self.limiter_number, self.start, self.first)

    def count_claim_reply(self, custodian: int, reply: Reply | None) -> ClaimOutcome | None:
        """Count a reply to the claim, None for a timeout; return the outcome, None while undetermined."""
        self.replies[custodian] = reply or Reply(ReplyKind.UNSURE)
        kinds = [r.kind for r in self.replies.values()]
        if ReplyKind.BODY_MISMATCH in kinds:
            return ClaimOutcome.BODY_MISMATCH
        for received in self.replies.values():
            if received.kind is ReplyKind.ENDED:
                self.record = received.record
                return ClaimOutcome.ENDED
        if kinds.count(ReplyKind.GIVEN) >= MAJORITY:
            records = [r.record for r in self.replies.values() if r.record is not None]
            self.record = max(records, key=lambda r: (r.term, r.step), default=None)
            self.step = 0
            return ClaimOutcome.ACQUIRED
        if len(kinds) < len(self.group):
            return None
        if ReplyKind.BUSY in kinds:
            return ClaimOutcome.WAIT
        unsure = sum(kind in (ReplyKind.UNSURE, ReplyKind.FULL) for kind in kinds)
        return (
            ClaimOutcome.RETRY if ReplyKind.SUPERSEDED in kinds and unsure < MAJORITY else ClaimOutcome.UNSURE
        )

    def withdraw(self) -> Withdraw:
        """Return the withdrawal to be sent to the whole group after an unsuccessful claim."""
        return Withdraw(self.key, self.term, self.limiter_number, self.start)

    # Keeping ------------------------------------------------------------------------------

    def keep(self, now: float, record: Record) -> Keep:
        """Return the message that has ``record`` stored under the term of this session, as its next step."""
        self.step += 1
        self.replies, self.asked_at = {}, now
        self.record = msgspec.structs.replace(
            record, key=self.key, body=self.body_digest, term=self.term, step=self.step,
            holder=self.limiter_number, start=self.start)
        return Keep(self.record)

    def count_store_reply(self, custodian: int, reply: Reply | None) -> bool | None:
        """Count a reply to a record, None for a timeout.

        Return True once a majority has stored it, False once none can any more, None while undetermined.
        """
        self.replies[custodian] = reply or Reply(ReplyKind.UNSURE)
        stored = sum(r.kind is ReplyKind.KEPT for r in self.replies.values())
        if stored >= MAJORITY:
            self.lease_until = self.asked_at + LEASE_MS * (1.0 - CLOCK_RATE_MARGIN)
            return True
        return False if len(self.replies) - stored > len(self.group) - MAJORITY else None

    def is_fenced(self) -> bool:
        """Return whether a custodian refused the last message because of a higher term or another body.

        This session must not send then.
        """
        return any(r.kind is ReplyKind.SUPERSEDED for r in self.replies.values())

    def may_send(self, now: float) -> bool:
        """Return whether the lease of the last record that a majority has stored is still running."""
        return now < self.lease_until
