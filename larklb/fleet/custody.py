"""Custody of jobs that must not run twice: who has a job, what was sent of it, and who goes on when its
holder is lost.  No I/O: messages and times come in, answers go out.

A job's *group* is three limiters, found by its key.  Each of them is a *custodian* and keeps a record of the
job; what two of the three have kept holds.  The limiter that took the job is its *holder*, by a *term* that
two custodians gave it, and no two holders ever have one term.  A custodian's record goes through these
states:

    state      what is known                                    what may follow, and by whom
    held       a holder has it, nothing was sent                sent, released: the holder
    sent       an attempt left, or is about to                  sent again, answered, released: the holder
    answered   the answer is kept                               nothing: who asks is given it
    released   its holder has given its submitter an answer     held: the next try, with what was sent before
               other than a good one
    unknown    it may have run, and nobody may send it again    nothing: who asks is told that it failed

A job is *orphaned* when its custodian has heard nothing of its holder for ``LEASE_MS``, or hears a later
start of that holder.  Only then is a higher term given, and with it goes what the custodian knows.  Who has
it is the heir: it keeps what two custodians told, under its own term, before anything else.  Not sent, the
heir sends it; sent, it sends it again only as its class allows; else it is unknown.

A holder sends only under a record that two custodians have kept since less than its lease, which it counts
from when it *asked* them; they count from when they heard.  So whoever was stopped or cut off finds its
lease over before an heir can have begun, whatever the clocks show, as long as they run alike (``SLOWER``).

A custodian that has just started has forgotten: it gives no term for a job that may be older than its start.
A submitter's first try cannot be, so it may be voted on at once; others are after ``keep_ms``.

``lab/check_custody.py`` plays all orders of loss, delay, kills, stops and restarts to a depth.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from enum import Enum

import msgspec

from larklb.quota.ring import digest

GROUP = 3                  # custodians of a job: one may be lost
MAJORITY = GROUP // 2 + 1
LEASE_MS = 900.0           # a holder not heard of for so long has lost its jobs
CLOCK_RATE_MARGIN = 0.1               # of it is left for clocks and timers that run unlike each other
HEARTBEAT_MS = 250.0            # between a holder's words to a custodian while it has jobs there
ORPHAN_SCAN_MS = 50.0             # between looks for orphans
REPLY_TIMEOUT_MS = 400.0            # for a custodian's word: one that takes longer is as good as lost
TAKEOVER_STAGGER_MS = 150.0            # the custodians of an orphan take turns to become its heir
MAX_RECORDED_ATTEMPTS = 8              # attempts that a record keeps: the first counts, the others are shown
RECORD_OVERHEAD_BYTES = 400         # of memory that a record takes beside its contents


class JobState(Enum):
    """As the table above has them."""

    HELD = "held"
    SENT = "sent"
    ANSWERED = "answered"
    RELEASED = "released"
    UNKNOWN = "unknown"


FINAL_STATES = (JobState.ANSWERED, JobState.UNKNOWN)


class SentAttempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that left or was about to: where, and how long ago in ms."""

    node: str
    zone: str
    cell: int
    age: float


class Content(msgspec.Struct, array_like=True, frozen=True):
    """What an heir needs to go on without the submitter: the request as it came, and what it is judged by."""

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
    """An answer that was kept."""

    status: int
    kind: bytes
    body: bytes


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What a custodian is to keep of a job: newer ones have a higher (term, step)."""

    key: int
    body: int                              # digest of the request's body: another body is another job
    term: int
    step: int
    holder: int
    start: int                             # of the holder: a later one is another process
    state: JobState
    left: float                            # ms that the submitter still waits
    sent: tuple[SentAttempt, ...] = ()
    paid: bool = False                     # its units were taken
    answer: StoredAnswer | None = None
    content: Content | None = None
    reason: str = ""                          # that it is unknown

    def size(self) -> int:
        """Bytes of memory, about."""
        c, a = self.content, self.answer
        return (RECORD_OVERHEAD_BYTES + (len(a.body) if a is not None else 0)
                + (len(c.body) + sum(len(n) + len(v) for n, v in c.headers) if c is not None else 0))


class Claim(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """``who``, in its process of ``start``, asks for a job's term; ``first``: no try of it can have been
    before."""

    key: int
    body: int
    term: int
    claimant: int
    start: int
    first: bool


class Keep(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A holder's record, to be kept."""

    record: Record


class Withdraw(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A claim did not get two votes: the one that it got is given back."""

    key: int
    term: int
    claimant: int
    start: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A holder is there, and has jobs of this custodian."""

    holder: int
    start: int


class ReplyKind(Enum):
    """A custodian's word on a claim or a record."""

    GIVEN = "given"                        # the term is the claimant's; the record, if any, goes with it
    KEPT = "kept"
    BUSY = "busy"                          # its holder is there
    SUPERSEDED = "old"                            # a higher term was given
    ENDED = "ended"                        # answered or unknown: the record says which
    BODY_MISMATCH = "other"                        # the key came with another body
    UNSURE = "unsure"                      # this custodian has forgotten what it may have known
    FULL = "full"                          # it cannot keep so much


class Reply(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Its word: ``term`` is the highest given, ``left`` the rest of its holder's lease in ms."""

    kind: ReplyKind
    term: int = 0
    remaining_lease: float = 0.0
    record: Record | None = None


CustodyMessage = Claim | Keep | Withdraw | Heartbeat


def key_of(customer: str, service: str, key: bytes) -> int:
    """A job's key, the same for all its tries: 64 bits."""
    return digest(f"{customer}/{service}/{key.hex()}")


def group_of(key: int, limiters: int, zones: Mapping[int, str] | None = None) -> tuple[int, ...]:
    """The custodians of a key, the first in front: by rendezvous hashing, in different zones where there
    are several."""
    order = sorted(range(limiters), key=lambda i: digest(f"{key}/{i}"))
    chosen: list[int] = []
    for apart in (True, False):
        for i in order:
            taken = {zones.get(c) for c in chosen} if zones else set()
            if len(chosen) < GROUP and i not in chosen and not (apart and zones and zones.get(i) in taken):
                chosen.append(i)
    return tuple(sorted(chosen, key=order.index))


def may_send_again(window: float, sent: tuple[SentAttempt, ...]) -> bool:
    """Whether a job of a class with keys may be sent again at all (the module says where): within the window
    in ms, of which the longest that a record may be under way is left out."""
    return not sent or max(s.age for s in sent) < window - LEASE_MS


class _KeyState:
    """What a custodian has of one key."""

    __slots__ = ("body", "term", "holder", "start", "last_heard_at", "record", "received_at", "size")

    def __init__(self, body: int, term: int, who: int, start: int, now: float) -> None:
        self.body, self.term, self.holder, self.start, self.last_heard_at = body, term, who, start, now
        self.record: Record | None = None
        self.received_at = now                     # when the record came: its ages count from then
        self.size = RECORD_OVERHEAD_BYTES


class Custodian:
    """One limiter's records, of jobs whose group it is in."""

    def __init__(self, number: int, now: float, keep_ms: float, most_bytes: int) -> None:
        """``keep_ms``: a record is forgotten so long after its last word; ``most_bytes`` of memory for
        all."""
        self.number, self.keep_ms, self.max_bytes = number, keep_ms, most_bytes
        self.started_at = now
        self.keys: OrderedDict[int, _KeyState] = OrderedDict()         # the longest without a word in front
        # starts of holders, and when they were heard
        self.heartbeats: dict[int, tuple[int, float]] = {}
        self.size = 0
        self.refused = 0                                         # records that there was no room for

    def handle(self, now: float, ask: CustodyMessage) -> Reply:
        """A message of a holder, or of one who would be."""
        match ask:
            case Claim():
                return self._claim(now, ask)
            case Keep(record):
                return self._keep(now, record)
            case Withdraw():
                slot = self.keys.get(ask.key)
                if slot is not None and (slot.term, slot.holder, slot.start) == (
                    ask.term,
                    ask.claimant,
                    ask.start,
                ):
                    # the term stays given, and its lease is over
                    slot.last_heard_at = -math.inf
                    if slot.record is None or slot.record.term < ask.term:
                        slot.start = -1
                return Reply(ReplyKind.KEPT)
            case Heartbeat():
                self._record_heartbeat(now, ask.holder, ask.start)
                return Reply(ReplyKind.KEPT)

    def _record_heartbeat(self, now: float, who: int, start: int) -> None:
        known = self.heartbeats.get(who)
        if known is None or start >= known[0]:
            self.heartbeats[who] = start, now

    def remaining_lease(self, now: float, slot: _KeyState) -> float:
        """Ms until its holder has lost the job; below 0 it has."""
        if slot.start < 0 or slot.record is not None and slot.record.state is JobState.RELEASED and (
                slot.record.term == slot.term):
            return -math.inf
        if slot.record is not None and now - slot.received_at > slot.record.left + LEASE_MS:
            return -math.inf                                     # nobody waits for it: it has been given up
        start, at = self.heartbeats.get(slot.holder, (slot.start, -math.inf))
        if start > slot.start:
            return -math.inf                                     # that process is no more
        return max(slot.last_heard_at, at if start == slot.start else -math.inf) + LEASE_MS - now

    def _claim(self, now: float, c: Claim) -> Reply:
        self._record_heartbeat(now, c.claimant, c.start)
        slot = self.keys.get(c.key)
        if slot is None:
            if now - self.started_at < self.keep_ms and not c.first:
                return Reply(ReplyKind.UNSURE)
            if not self._has_room(RECORD_OVERHEAD_BYTES):
                return Reply(ReplyKind.FULL)
            self.keys[c.key] = _KeyState(c.body, c.term, c.claimant, c.start, now)
            self.size += RECORD_OVERHEAD_BYTES
            return Reply(ReplyKind.GIVEN, c.term)
        if slot.body != c.body:
            return Reply(ReplyKind.BODY_MISMATCH)
        record = self.current_record(now, slot)
        if record is not None and record.state in FINAL_STATES:
            return Reply(ReplyKind.ENDED, slot.term, 0.0, record)
        if (slot.holder, slot.start, slot.term) == (c.claimant, c.start, c.term):
            return Reply(ReplyKind.GIVEN, c.term, 0.0, record)          # the same claim again
        # A process knows which jobs it has in hand: it asks only for others.
        if (slot.holder, slot.start) != (c.claimant, c.start) and (
            left := self.remaining_lease(now, slot)
        ) > 0:
            return Reply(ReplyKind.BUSY, slot.term, left)
        if c.term <= slot.term:
            return Reply(ReplyKind.SUPERSEDED, slot.term)
        slot.term, slot.holder, slot.start, slot.last_heard_at = c.term, c.claimant, c.start, now
        self.keys.move_to_end(c.key)
        return Reply(ReplyKind.GIVEN, c.term, 0.0, record)

    def _keep(self, now: float, r: Record) -> Reply:
        self._record_heartbeat(now, r.holder, r.start)
        slot = self.keys.get(r.key)
        if slot is not None and (slot.body != r.body or r.term < slot.term):
            return Reply(ReplyKind.SUPERSEDED, slot.term)
        if slot is not None and slot.record is not None and (
                (r.term, r.step) <= (slot.record.term, slot.record.step)):
            return Reply(ReplyKind.KEPT if r.term == slot.term else ReplyKind.SUPERSEDED, slot.term)
        size, had = r.size(), slot.size if slot is not None else 0
        if not self._has_room(size - had):
            self.refused += 1
            return Reply(ReplyKind.FULL, slot.term if slot is not None else 0)
        if slot is None:
            slot = self.keys[r.key] = _KeyState(r.body, r.term, r.holder, r.start, now)
        slot.term, slot.holder, slot.start, slot.last_heard_at = r.term, r.holder, r.start, now
        slot.record, slot.received_at, slot.size = r, now, size
        self.size += size - had
        self.keys.move_to_end(r.key)
        return Reply(ReplyKind.KEPT, r.term)

    def _has_room(self, more: int) -> bool:
        """Whether there is room: what has ended makes none before its time, or it could run twice."""
        return self.size + more <= self.max_bytes

    def current_record(self, now: float, slot: _KeyState) -> Record | None:
        """A record as it is to be told now: its ages have grown since it came."""
        r, passed = slot.record, now - slot.received_at
        if r is None:
            return None
        return msgspec.structs.replace(r, left=r.left - passed, sent=tuple(
            msgspec.structs.replace(s, age=s.age + passed) for s in r.sent))

    def orphans(self, now: float, limiters: int,
                zones: Mapping[int, str] | None = None) -> Iterator[tuple[Record, int]]:
        """Jobs to be taken over here now, and the highest term given: their holder is lost, and it is this
        custodian's turn."""
        for key, slot in self.keys.items():
            r = slot.record
            if r is None or r.content is None or r.state not in (JobState.HELD, JobState.SENT):
                continue
            if self.remaining_lease(now, slot) > 0 or r.left <= now - slot.received_at:
                continue
            group = group_of(key, limiters, zones)
            turn = group.index(self.number) if self.number in group else GROUP
            if (
                now - slot.last_heard_at >= LEASE_MS + turn * TAKEOVER_STAGGER_MS
                and (told := self.current_record(now, slot)) is not None
            ):
                yield told, slot.term

    def clean(self, now: float) -> None:
        """What had no word for ``keep_ms`` is forgotten."""
        for key, slot in list(self.keys.items()):
            if (
                now - max(slot.last_heard_at, slot.received_at) > self.keep_ms
                and self.remaining_lease(now, slot) <= 0
            ):
                self.size -= slot.size
                del self.keys[key]
        self.heartbeats = {who: b for who, b in self.heartbeats.items() if now - b[1] <= self.keep_ms}

    def rows(self, now: float, key: int | None = None) -> list[dict[str, object]]:
        """For an operator."""
        rows: list[dict[str, object]] = []
        for k, slot in self.keys.items():
            if key is not None and k != key:
                continue
            r = self.current_record(now, slot)
            left = self.remaining_lease(now, slot)
            state = r.state.value if r is not None else "claimed"
            if left <= 0 and (r is None or r.state in (JobState.HELD, JobState.SENT)):
                state += ", orphaned"
            rows.append({"key": f"{k:016x}", "state": state, "term": slot.term, "holder": slot.holder,
                         "lease_ms": max(0, round(left)) if left > -math.inf else 0,
                         "sent": [f"{s.node} {round(s.age)} ms ago" for s in (r.sent if r else ())],
                         "bytes": slot.size, "why": r.reason if r is not None else ""})
        return rows


class ClaimOutcome(Enum):
    """What a claim has come to."""

    ACQUIRED = "mine"                          # two custodians gave the term: record and content are here
    WAIT = "wait"                          # somebody has it: ask again after a while
    RETRY = "retry"                        # a higher term is needed: ask again at once
    ENDED = "ended"                        # it was answered, or nobody may send it any more
    BODY_MISMATCH = "other"                        # the key came with another body
    UNSURE = "unsure"                      # too few custodians can say


class HolderSession:
    """One try of a job at its holder, or at who would be it: it counts the custodians' words."""

    def __init__(self, number: int, start: int, key: int, body: int, group: tuple[int, ...],
                 first: bool = False) -> None:
        """``start`` of this process; ``first``: the submitter says that no try has been before."""
        self.number, self.start, self.key, self.body, self.group = number, start, key, body, group
        self.first = first
        self.term = 0
        self.step = 0
        self.replies: dict[int, Reply] = {}
        self.record: Record | None = None              # the newest that holds, as it came
        self.lease_until = -math.inf                         # the lease of what was kept last
        self.asked_at = -math.inf

    # Claiming -----------------------------------------------------------------------------

    def claim(self, now: float) -> Claim:
        """The message to the whole group."""
        highest = max((w.term for w in self.replies.values()), default=0)
        self.term = max(self.term, highest) + 1
        self.replies, self.asked_at = {}, now
        return Claim(self.key, self.body, self.term, self.number, self.start, self.first)

    def count_vote(self, custodian: int, word: Reply | None) -> ClaimOutcome | None:
        """A custodian's word, None where none came in time; what that means, once it is sure."""
        self.replies[custodian] = word or Reply(ReplyKind.UNSURE)
        said = [w.kind for w in self.replies.values()]
        if ReplyKind.BODY_MISMATCH in said:
            return ClaimOutcome.BODY_MISMATCH
        for w in self.replies.values():
            if w.kind is ReplyKind.ENDED:
                self.record = w.record
                return ClaimOutcome.ENDED
        if said.count(ReplyKind.GIVEN) >= MAJORITY:
            known = [w.record for w in self.replies.values() if w.record is not None]
            self.record = max(known, key=lambda r: (r.term, r.step), default=None)
            self.step = 0
            return ClaimOutcome.ACQUIRED
        if len(said) < len(self.group):
            return None
        if ReplyKind.BUSY in said:
            return ClaimOutcome.WAIT
        unsure = sum(say in (ReplyKind.UNSURE, ReplyKind.FULL) for say in said)
        return (
            ClaimOutcome.RETRY if ReplyKind.SUPERSEDED in said and unsure < MAJORITY else ClaimOutcome.UNSURE
        )

    def withdraw(self) -> Withdraw:
        """To the group, where the claim did not come to anything."""
        return Withdraw(self.key, self.term, self.number, self.start)

    # Keeping ------------------------------------------------------------------------------

    def keep(self, now: float, record: Record) -> Keep:
        """A record under this hand's term, as the next step."""
        self.step += 1
        self.replies, self.asked_at = {}, now
        self.record = msgspec.structs.replace(
            record, key=self.key, body=self.body, term=self.term, step=self.step, holder=self.number,
            start=self.start)
        return Keep(self.record)

    def count_kept(self, custodian: int, word: Reply | None) -> bool | None:
        """A custodian's word on it: True once two have it, False once two cannot any more."""
        self.replies[custodian] = word or Reply(ReplyKind.UNSURE)
        kept = sum(w.kind is ReplyKind.KEPT for w in self.replies.values())
        if kept >= MAJORITY:
            self.lease_until = self.asked_at + LEASE_MS * (1.0 - CLOCK_RATE_MARGIN)
            return True
        return False if len(self.replies) - kept > len(self.group) - MAJORITY else None

    def is_fenced(self) -> bool:
        """Whether a custodian said that a higher term was given: somebody else has the job."""
        return any(w.kind is ReplyKind.SUPERSEDED for w in self.replies.values())

    def may_send(self, now: float) -> bool:
        """Whether what was kept last still holds off every heir."""
        return now < self.lease_until
