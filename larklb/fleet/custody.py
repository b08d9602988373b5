"""Custody of jobs that must not run twice: who holds a job, what was sent of it, and who takes it over.

This module does no I/O: messages and times are arguments, and answers are return values.

The *group* of a job is three limiters, determined by its key.  Each of them is a *custodian* and stores a
record of the job; a record is valid once two of the three have stored it.  The limiter that accepted the job
is its *holder*, under a *term* that two custodians have granted; no two holders ever have the same term.  The
record of a custodian goes through these states:

    state      what is known                                    what may follow, and by whom
    held       a limiter holds it, nothing was sent             sent, released: the holder
    sent       an attempt was sent, or is about to be           sent again, answered, released: the holder
    answered   the answer is stored                             nothing: a client that asks is given it
    released   the holder has given the client an answer        held: the next try, with what was sent before
               other than success
    unknown    it may have run, and must not be sent again      nothing: a client that asks is told of failure

A job is *orphaned* when its custodian has not heard from the holder for ``LEASE_MS``, or hears of a later
start of that holder.  Only then is a higher term granted, along with the custodian's record.  The limiter
that obtains it from two custodians is the successor: before anything else, it stores the newest of their
records under its own term.  If nothing was sent, the successor sends the job; if something was sent, it sends
the job again only as far as its class allows; otherwise the job becomes unknown.

A holder sends only under a record that two custodians have stored, and within its lease.  It counts the lease
from the time it *sent* the record, they count from the receipt.  A holder that was stopped or partitioned
therefore finds its lease over before a successor can have begun, whatever the clocks show, as long as they
run at about the same rate (``CLOCK_RATE_MARGIN``).

A custodian that has just started has lost its records: it grants no term for a job that may be older than its
start.  The first try of a client cannot be, so it may be voted on at once; others are after ``keep_ms``.

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
MAJORITY = GROUP // 2 + 1
# A holder that was not heard from for this long has lost its jobs.
LEASE_MS = 900.0
# Fraction of a lease that the holder gives up for clocks and timers that run at different rates.
CLOCK_RATE_MARGIN = 0.1
# Interval between the messages of a holder to a custodian while it has jobs there.
HEARTBEAT_MS = 250.0
# Interval between scans for orphaned jobs.
ORPHAN_SCAN_MS = 50.0
# A reply of a custodian that takes longer counts as lost.
REPLY_TIMEOUT_MS = 400.0
# Delay between the custodians of an orphan, which attempt the takeover one after the other.
TAKEOVER_STAGGER_MS = 150.0
# Attempts that a record stores.  The first determines what may follow; the others are for operators.
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


FINAL_STATES = (JobState.ANSWERED, JobState.UNKNOWN)


class SentAttempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that was sent or about to be: its destination, and its age in ms."""

    node: str
    zone: str
    cell: int
    age: float


class Content(msgspec.Struct, array_like=True, frozen=True):
    """What a successor needs to go on without the client: the request as received, and its classification."""

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

    ``body`` is the digest of the request's body; the same key with another body is another job.  ``start``
    identifies the holder's process, a later start being another process.  ``left`` is the time in ms that the
    client still waits.  ``paid`` is whether the units of the job were taken, and ``reason`` is why its result
    is unknown.
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
    """A request for the term of a job, by the process of ``claimant`` that began at ``start``.

    ``first`` is whether there cannot have been an earlier try of the job.
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
    """Gives back the only vote that an unsuccessful claim obtained."""

    key: int
    term: int
    claimant: int
    start: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Shows that a holder is alive and has jobs at this custodian."""

    holder: int
    start: int


class ReplyKind(Enum):
    """A custodian's reply to a claim or a record."""

    # The term is the claimant's; the record, if any, is attached.
    GIVEN = "given"
    KEPT = "kept"
    # The holder is alive.
    BUSY = "busy"
    # A higher term was granted.
    SUPERSEDED = "old"
    # The job was answered or is unknown, as the attached record says.
    ENDED = "ended"
    # The key was used with another body.
    BODY_MISMATCH = "other"
    # The custodian has lost what it may have known.
    UNSURE = "unsure"
    # There is no memory for the record.
    FULL = "full"


class Reply(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A custodian's reply.

    ``term`` is the highest term granted, ``remaining_lease`` that of the holder in ms.
    """

    kind: ReplyKind
    term: int = 0
    remaining_lease: float = 0.0
    record: Record | None = None


CustodyMessage = Claim | Keep | Withdraw | Heartbeat


def key_of(customer: str, service: str, key: bytes) -> int:
    """Return the key of a job, 64 bits that are the same for all its tries."""
    return digest(f"{customer}/{service}/{key.hex()}")


def group_of(key: int, limiters: int, zones: Mapping[int, str] | None = None) -> tuple[int, ...]:
    """Return the custodians of a key in order, by rendezvous hashing.

    They are in different zones as far as there are several.
    """
    order = sorted(range(limiters), key=lambda i: digest(f"{key}/{i}"))
    chosen: list[int] = []
    for distinct_zones in (True, False):
        for i in order:
            taken = {zones.get(c) for c in chosen} if zones else set()
            if len(chosen) < GROUP and i not in chosen and not (
                    distinct_zones and zones and zones.get(i) in taken):
                chosen.append(i)
    return tuple(sorted(chosen, key=order.index))


def may_send_again(window: float, sent: tuple[SentAttempt, ...]) -> bool:
    """Return whether a job of a class with keys may be sent again; the caller decides where.

    It may within ``window`` ms of its first attempt, less the longest time that a record may be in transit.
    """
    return not sent or max(s.age for s in sent) < window - LEASE_MS


class _KeyState:
    """A custodian's state for one key."""

    __slots__ = ("body", "term", "holder", "start", "last_heard_at", "record", "received_at", "size")

    def __init__(self, body: int, term: int, holder: int, start: int, now: float) -> None:
        self.body, self.term, self.holder, self.start, self.last_heard_at = body, term, holder, start, now
        self.record: Record | None = None
        # The ages in the record are as of this time.
        self.received_at = now
        self.size = RECORD_OVERHEAD_BYTES


class Custodian:
    """The records of one limiter, for the jobs whose group it is in."""

    def __init__(self, number: int, now: float, keep_ms: float, max_bytes: int) -> None:
        """Initialize the custodian.

        A record is forgotten ``keep_ms`` after the last message on it; ``max_bytes`` limits the memory of all
        records.
        """
        self.number, self.keep_ms, self.max_bytes = number, keep_ms, max_bytes
        self.started_at = now
        # The least recently updated first.
        self.keys: OrderedDict[int, _KeyState] = OrderedDict()
        # The start of each holder's process, and the time of its last message.
        self.heartbeats: dict[int, tuple[int, float]] = {}
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
                job = self.keys.get(message.key)
                if job is not None and (job.term, job.holder, job.start) == (
                        message.term, message.claimant, message.start):
                    # The term remains granted, but its lease is over.
                    job.last_heard_at = -math.inf
                    if job.record is None or job.record.term < message.term:
                        job.start = -1
                return Reply(ReplyKind.KEPT)
            case Heartbeat():
                self._record_heartbeat(now, message.holder, message.start)
                return Reply(ReplyKind.KEPT)

    def _record_heartbeat(self, now: float, holder: int, start: int) -> None:
        last = self.heartbeats.get(holder)
        if last is None or start >= last[0]:
            self.heartbeats[holder] = start, now

    def remaining_lease(self, now: float, job: _KeyState) -> float:
        """Return the ms until the holder loses the job, negative if it has."""
        if job.start < 0 or job.record is not None and job.record.state is JobState.RELEASED and (
                job.record.term == job.term):
            return -math.inf
        # No client waits for the job any more, so that its holder has given it up.
        if job.record is not None and now - job.received_at > job.record.left + LEASE_MS:
            return -math.inf
        start, at = self.heartbeats.get(job.holder, (job.start, -math.inf))
        # The holder has restarted.
        if start > job.start:
            return -math.inf
        return max(job.last_heard_at, at if start == job.start else -math.inf) + LEASE_MS - now

    def _claim(self, now: float, claim: Claim) -> Reply:
        self._record_heartbeat(now, claim.claimant, claim.start)
        job = self.keys.get(claim.key)
        if job is None:
            if now - self.started_at < self.keep_ms and not claim.first:
                return Reply(ReplyKind.UNSURE)
            if not self._has_room(RECORD_OVERHEAD_BYTES):
                return Reply(ReplyKind.FULL)
            self.keys[claim.key] = _KeyState(claim.body, claim.term, claim.claimant, claim.start, now)
            self.size += RECORD_OVERHEAD_BYTES
            return Reply(ReplyKind.GIVEN, claim.term)
        if job.body != claim.body:
            return Reply(ReplyKind.BODY_MISMATCH)
        record = self.current_record(now, job)
        if record is not None and record.state in FINAL_STATES:
            return Reply(ReplyKind.ENDED, job.term, 0.0, record)
        # A repetition of the same claim.
        if (job.holder, job.start, job.term) == (claim.claimant, claim.start, claim.term):
            return Reply(ReplyKind.GIVEN, claim.term, 0.0, record)
        # A process never claims a job that it holds, so its own lease does not block a claim.
        if (job.holder, job.start) != (claim.claimant, claim.start) and (
                remaining := self.remaining_lease(now, job)) > 0:
            return Reply(ReplyKind.BUSY, job.term, remaining)
        if claim.term <= job.term:
            return Reply(ReplyKind.SUPERSEDED, job.term)
        job.term, job.holder, job.start, job.last_heard_at = claim.term, claim.claimant, claim.start, now
        self.keys.move_to_end(claim.key)
        return Reply(ReplyKind.GIVEN, claim.term, 0.0, record)

    def _keep(self, now: float, record: Record) -> Reply:
        self._record_heartbeat(now, record.holder, record.start)
        job = self.keys.get(record.key)
        if job is not None and (job.body != record.body or record.term < job.term):
            return Reply(ReplyKind.SUPERSEDED, job.term)
        if job is not None and job.record is not None and (
                (record.term, record.step) <= (job.record.term, job.record.step)):
            return Reply(ReplyKind.KEPT if record.term == job.term else ReplyKind.SUPERSEDED, job.term)
        size, previous_size = record.size(), job.size if job is not None else 0
        if not self._has_room(size - previous_size):
            self.refused += 1
            return Reply(ReplyKind.FULL, job.term if job is not None else 0)
        if job is None:
            job = self.keys[record.key] = _KeyState(
                record.body, record.term, record.holder, record.start, now
            )
        job.term, job.holder, job.start, job.last_heard_at = record.term, record.holder, record.start, now
        job.record, job.received_at, job.size = record, now, size
        self.size += size - previous_size
        self.keys.move_to_end(record.key)
        return Reply(ReplyKind.KEPT, record.term)

    def _has_room(self, additional: int) -> bool:
        """Return whether there is memory for ``additional`` bytes.

        Records of ended jobs are not evicted early, since such a job could then run twice.
        """
        return self.size + additional <= self.max_bytes

    def current_record(self, now: float, job: _KeyState) -> Record | None:
        """Return the record of a job with its times as of ``now``, None if there is none."""
        record, elapsed = job.record, now - job.received_at
        if record is None:
            return None
        return msgspec.structs.replace(record, left=record.left - elapsed, sent=tuple(
            msgspec.structs.replace(attempt, age=attempt.age + elapsed) for attempt in record.sent))

    def orphans(self, now: float, limiters: int,
                zones: Mapping[int, str] | None = None) -> Iterator[tuple[Record, int]]:
        """Yield the jobs to be taken over here now, each with the highest term granted.

        Their holder is lost, and it is the turn of this custodian.
        """
        for key, job in self.keys.items():
            record = job.record
            if record is None or record.content is None or record.state not in (JobState.HELD, JobState.SENT):
                continue
            if self.remaining_lease(now, job) > 0 or record.left <= now - job.received_at:
                continue
            group = group_of(key, limiters, zones)
            turn = group.index(self.number) if self.number in group else GROUP
            if (
                now - job.last_heard_at >= LEASE_MS + turn * TAKEOVER_STAGGER_MS
                and (current := self.current_record(now, job)) is not None
            ):
                yield current, job.term

    def clean(self, now: float) -> None:
        """Forget the jobs and holders without a message for ``keep_ms``."""
        for key, job in list(self.keys.items()):
            if (
                now - max(job.last_heard_at, job.received_at) > self.keep_ms
                and self.remaining_lease(now, job) <= 0
            ):
                self.size -= job.size
                del self.keys[key]
        self.heartbeats = {
            holder: last for holder, last in self.heartbeats.items() if now - last[1] <= self.keep_ms
        }

    def rows(self, now: float, key: int | None = None) -> list[dict[str, object]]:
        """Return the rows that operators see, of all jobs or of the one with ``key``."""
        rows: list[dict[str, object]] = []
        for job_key, job in self.keys.items():
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

    # Two custodians granted the term; the record with its content is available.
    ACQUIRED = "mine"
    # Another limiter holds the job: claim again after a delay.
    WAIT = "wait"
    # A higher term is needed: claim again at once.
    RETRY = "retry"
    # The job was answered, or must not be sent any more.
    ENDED = "ended"
    # The key was used with another body.
    BODY_MISMATCH = "other"
    # Too few custodians can tell.
    UNSURE = "unsure"


class HolderSession:
    """One try of a job at its holder or a claimant; counts the replies of the custodians."""

    def __init__(self, number: int, start: int, key: int, body: int, group: tuple[int, ...],
                 first: bool = False) -> None:
        """Initialize the session.

        ``start`` identifies this process; ``first`` is whether the client states that this is its first try.
        """
        self.number, self.start, self.key, self.body, self.group = number, start, key, body, group
        self.first = first
        self.term = 0
        self.step = 0
        self.replies: dict[int, Reply] = {}
        # The newest valid record, as received.
        self.record: Record | None = None
        # End of the lease of the record that was last stored.
        self.lease_until = -math.inf
        self.asked_at = -math.inf

    # Claiming -----------------------------------------------------------------------------

    def claim(self, now: float) -> Claim:
        """Return the claim to be sent to the whole group."""
        highest = max((r.term for r in self.replies.values()), default=0)
        self.term = max(self.term, highest) + 1
        self.replies, self.asked_at = {}, now
        return Claim(self.key, self.body, self.term, self.number, self.start, self.first)

    def count_vote(self, custodian: int, reply: Reply | None) -> ClaimOutcome | None:
        """Count a reply to the claim, None for a timeout; return the outcome once it is determined."""
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
        """Return the withdrawal to be sent to the group after an unsuccessful claim."""
        return Withdraw(self.key, self.term, self.number, self.start)

    # Keeping ------------------------------------------------------------------------------

    def keep(self, now: float, record: Record) -> Keep:
        """Return the message that has ``record`` stored under the term of this session, as its next step."""
        self.step += 1
        self.replies, self.asked_at = {}, now
        self.record = msgspec.structs.replace(
            record, key=self.key, body=self.body, term=self.term, step=self.step, holder=self.number,
            start=self.start)
        return Keep(self.record)

    def count_kept(self, custodian: int, reply: Reply | None) -> bool | None:
        """Count a reply to a record; return True once two have stored it, False once two cannot any more."""
        self.replies[custodian] = reply or Reply(ReplyKind.UNSURE)
        kept = sum(r.kind is ReplyKind.KEPT for r in self.replies.values())
        if kept >= MAJORITY:
            self.lease_until = self.asked_at + LEASE_MS * (1.0 - CLOCK_RATE_MARGIN)
            return True
        return False if len(self.replies) - kept > len(self.group) - MAJORITY else None

    def is_fenced(self) -> bool:
        """Return whether a higher term was granted, so that another limiter has the job."""
        return any(r.kind is ReplyKind.SUPERSEDED for r in self.replies.values())

    def may_send(self, now: float) -> bool:
        """Return whether the record stored last still excludes every successor."""
        return now < self.lease_until
