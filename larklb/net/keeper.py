"""Custody service: runs the protocol of ``fleet/custody.py`` with the other limiters and takes over jobs.

The front end passes each job under custody to ``take`` first, records each send before it is made
(``HeldJob.record_send``) and the answer before it is passed on (``HeldJob.record_answer``).
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

import msgspec

from larklb import interface as io
from larklb.background import run_forever
from larklb.core import Core, Job
from larklb.counters import Counters
from larklb.fleet import custody as cu
from larklb.fleet.custody import (
    ClaimOutcome,
    Custodian,
    CustodyMessage,
    HolderSession,
    JobState,
    Record,
    Reply,
    SentAttempt,
    StoredAnswer,
)
from larklb.net.execute import Content, ExecuteNodes
from larklb.net.http import MAX_BUFFERED_BYTES
from larklb.net.link import PeerLinks
from larklb.phase import Phase
from larklb.quota.ring import digest
from larklb.settings import Config, CustodyEntry

log = logging.getLogger(__name__)
T = TypeVar("T")

# Interval at which a job that another limiter or try holds is checked again.
POLL_INTERVAL_MS = 40.0
# Upper bound of the random delay before a claim that collided with another is repeated.
CLAIM_BACKOFF_MS = 12.0
# A try is answered this long before its deadline, whoever holds the job.
ANSWER_MARGIN_MS = 60.0
# A job that waits longer than this for its send is stored with its content.
STORE_CONTENT_AFTER_MS = 30.0
# Claims made to take over an orphaned job before the next scan: another custodian may be ahead.
MAX_TAKEOVER_CLAIMS = 3
# Tries to store the release of a job, and the delay between them.
MAX_RELEASE_TRIES = 4
RELEASE_RETRY_S = 0.2


class HeldJob:
    """A job that this limiter holds."""

    def __init__(self, keeper: CustodyKeeper, session: HolderSession, record: Record) -> None:
        self.keeper, self.session, self.record = keeper, session, record
        now = keeper.now()
        self.sent = [(s, now - s.age) for s in record.sent]      # attempts and their send times
        self.due = now + record.left            # the client's deadline
        self.finished = False       # the last record of this session is being stored, or was
        self.attempted = False      # an attempt of this try may have been sent

    def sent_attempts(self) -> tuple[SentAttempt, ...]:
        """Returns the attempts with their current ages."""
        now = self.keeper.now()
        return tuple(msgspec.structs.replace(s, age=now - at) for s, at in self.sent)

    def _record(self, state: JobState, answer: StoredAnswer | None = None, why: str = "") -> Record:
        now, sent = self.keeper.now(), self.sent_attempts()
        if len(sent) > cu.MAX_RECORDED_ATTEMPTS:    # the first one determines whether another may follow
            sent = (sent[0], *sent[1 - cu.MAX_RECORDED_ATTEMPTS:])
        return msgspec.structs.replace(self.record, state=state, left=self.due - now, sent=sent,
                                       paid=self.record.paid or bool(sent), answer=answer, reason=why)

    def earlier_attempts(self) -> tuple[io.EarlierAttempt, ...]:
        """Returns the attempts that earlier holders may have made, for the decision logic."""
        now = self.keeper.now()
        return tuple(io.EarlierAttempt(s.zone, s.cell, now - at) for s, at in self.sent)

    def with_history(self, request: io.Request) -> io.Request:
        """Returns the request with its charge and earlier attempts, for the decision logic."""
        return replace(request, charged=self.record.paid, earlier_attempts=self.earlier_attempts())

    async def record_send(self, server: str) -> bool:
        """Records that an attempt is about to be sent.

        Returns False if it must not be sent, since this limiter may no longer hold the job."""
        entry = self.keeper.core.gateway.servers[server].entry
        self.sent.append((SentAttempt(server, entry.zone, entry.cell, 0.0), self.keeper.now()))
        self.keeper.step("before send")
        if not await self.keep(JobState.SENT) or not self.session.may_send(self.keeper.now()):
            self.sent.pop()
            return False
        self.attempted = True
        self.keeper.step("after copy")
        return True

    async def record_answer(self, status: int, kind: bytes, body: bytes) -> None:
        """Stores the answer, which may be passed on when this returns.

        If too few custodians are reachable or another limiter holds the job by now, it is counted as not
        stored; it remains the node's answer and the only one to this try."""
        self.keeper.step("answer read")
        self.finished = True
        good = await self.keep(JobState.ANSWERED, StoredAnswer(status, kind, body))
        self.keeper.drop(self)
        self.keeper.step("answer kept")
        result = "kept" if good else "fenced" if self.session.is_fenced() else "unkept"
        self.keeper.counters.add(f"custody.{result}")

    async def keep(self, state: JobState, answer: StoredAnswer | None = None, why: str = "") -> bool:
        """Stores the job, without its content if there is no room; returns whether two custodians have it."""
        record = self._record(state, answer, why)
        if await self.keeper.keep(self.session, record):
            return True
        if any(r.kind is cu.ReplyKind.FULL for r in self.session.replies.values()):
            self.keeper.counters.add("custody.full")
            if answer is not None:                   # an answer that isn't stored can't be replayed
                record = msgspec.structs.replace(record, state=JobState.RELEASED, answer=None)
            return await self.keeper.keep(self.session, msgspec.structs.replace(record, content=None))
        return False

    def close(self) -> None:
        """Releases the job after its client was answered, so that the next try may continue."""
        if not self.finished:
            self.finished = True
            self.keeper.release(self)


class CustodyKeeper:
    """Custody of one limiter: its custodian, the jobs it holds, and its messages to the others."""

    def __init__(self, config: Config, entry: CustodyEntry, zones: dict[int, str], core: Core,
                 nodes: ExecuteNodes, counters: Counters, phase: Phase,
                 step: Callable[[str], object] = bool) -> None:
        """``zones`` maps limiter numbers to their known zones; ``step`` is called at named steps, at which
        tests kill a holder."""
        self.config, self.entry, self.zones = config, entry, zones
        self.core, self.nodes, self.counters, self.phase, self.step = core, nodes, counters, phase, step
        self.number, self.limiter_count = config.settings.number, config.settings.gateways
        self.start_number = int(time.time() * 1000.0)
        self.custodian = Custodian(self.number, core.wheel.now(), entry.keep_s * 1000.0,
                                   int(entry.most_mb * 1e6))
        self.links = PeerLinks(self.number, config.peers, counters,
                           lambda ask: self.custodian.handle(core.wheel.now(), ask))
        self.leaving = False
        self.held_jobs: dict[int, HeldJob | None] = {}  # by key; None during a claim
        self.tasks: set[asyncio.Task[None]] = set()
        self.maintenance: list[asyncio.Task[None]] = []
        self.random = random.Random(config.seed ^ 0x5EED)

    def now(self) -> float:
        """Returns the time in ms of the limiter's clock."""
        return self.core.wheel.now()

    async def start(self) -> None:
        """Starts listening and background tasks; raises OSError if the address is not available."""
        assert self.config.peer_listen is not None
        await self.links.start(*self.config.peer_listen)
        loop = asyncio.get_running_loop()
        for name, work in (("beat", self._send_heartbeats), ("orphans", self._scan_orphans)):
            self.maintenance.append(loop.create_task(run_forever(f"custody_{name}", work, self.counters)))

    async def stop(self) -> None:
        """Finishes jobs taken over and pending releases, with heartbeats, and takes over nothing more."""
        self.leaving = True
        until = self.now() + max(cls.deadline for cls in self.core.settings.classes)
        while self.tasks and self.now() < until:
            await asyncio.wait(self.tasks, timeout=cu.ORPHAN_SCAN_MS / 1000.0)
        for task in (*self.maintenance, *self.tasks):
            task.cancel()
        await asyncio.gather(*self.maintenance, *self.tasks, return_exceptions=True)
        await self.links.stop()

    def covers(self, service: str) -> bool:
        """Whether custody covers this class: its jobs must not run twice and carry an idempotency key."""
        cls = self.core.classes.get(service)
        return cls is not None and cls.repeat is io.RepeatPolicy.KEYED

    # Client tries -------------------------------------------------------------------------

    async def take(self, request: io.Request, content: Content, key: bytes, repeat: bool,
                   client_gone: Callable[[], bool]) -> HeldJob | StoredAnswer | None:
        """Claims a job; returns it if this limiter holds it now, otherwise the answer for its client.

        The answer is a stored one, 502 if the job must not be sent again, 409 if the key was used with
        another body, or 503 if another limiter holds the job until the deadline of this try or its state
        cannot be determined.
        Returns None if the job proceeds without custody."""
        window = self.core.classes[request.service].window
        key_hash = cu.key_of(request.customer, request.service, key)
        body_digest = digest(content.body.hex()) & 0xFFFFFFFF
        while key_hash in self.held_jobs:  # another try of the same job
            if client_gone() or self.now() >= request.due - ANSWER_MARGIN_MS:
                return StoredAnswer(503, b"", b"")
            await asyncio.sleep(POLL_INTERVAL_MS / 1000.0)
        self.held_jobs[key_hash] = None
        try:
            session = HolderSession(
                self.number,
                self.start_number,
                key_hash,
                body_digest,
                cu.group_of(key_hash, self.limiter_count, self.zones),
                first=self.entry.marked and not repeat,
            )
            outcome = await self._claim(
                session, lambda: client_gone() or self.now() >= request.due - ANSWER_MARGIN_MS)
            if outcome is ClaimOutcome.ENDED:
                self.counters.add("custody.given")
                record = session.record
                return record.answer if record is not None and record.answer else StoredAnswer(502, b"", b"")
            if outcome is ClaimOutcome.BODY_MISMATCH:
                return StoredAnswer(409, b"text/plain", b"this key came with another body")
            if outcome is not ClaimOutcome.ACQUIRED:
                self.counters.add("custody.unsure" if outcome is ClaimOutcome.UNSURE else "custody.elsewhere")
                serve_anyway = outcome is ClaimOutcome.UNSURE and not repeat and self.entry.lost == "serve"
                if serve_anyway:
                    self.counters.add("custody.without")
                return None if serve_anyway else StoredAnswer(503, b"", b"")
            held_job = self._new_held_job(session, request, content)
            self.step("before copy")
            if held_job.sent and not cu.may_send_again(window, held_job.record.sent):
                return await self._end_unknown(held_job)
            if held_job.sent:
                self.counters.add("custody.joined")
                if not await held_job.keep(JobState.SENT):
                    held_job.close()
                    return StoredAnswer(503, b"", b"")
            self.held_jobs[key_hash] = held_job
            if not held_job.sent:
                self.core.wheel.after(STORE_CONTENT_AFTER_MS, self._store_content, held_job)
            return held_job
        finally:
            if self.held_jobs.get(key_hash) is None:
                self.held_jobs.pop(key_hash, None)

    def _new_held_job(self, session: HolderSession, request: io.Request, content: Content) -> HeldJob:
        """Creates the record from the claimed one, with the request of this try."""
        claimed = session.record
        record = Record(
            session.key, session.body_digest, session.term, 0, self.number, self.start_number, JobState.HELD,
            request.due - self.now(), claimed.sent if claimed is not None else (),
            claimed is not None and claimed.paid,
            content=cu.Content(request.request, content.method, content.target, content.headers, content.body,
                               request.service, request.plan, request.customer, request.units, request.first,
                               request.spread))
        return HeldJob(self, session, record)

    def _store_content(self, held_job: HeldJob) -> None:
        """Stores a job that still waits for its send with its content, so that it survives the loss of its
        holder.  Replies are ignored."""
        if not held_job.sent and not held_job.finished:
            record = msgspec.structs.replace(
                held_job.record, state=JobState.HELD, left=held_job.due - self.now(),
                term=held_job.session.term, step=0)
            self.links.ask(held_job.session.group, cu.Keep(record), _ignore_reply)

    async def _end_unknown(self, held_job: HeldJob) -> StoredAnswer:
        held_job.finished = True
        why = f"it was sent to {held_job.sent[0][0].node}, and its class allows no other send now"
        await held_job.keep(JobState.UNKNOWN, why=why)
        self.counters.add("custody.unknown")
        return StoredAnswer(502, b"", b"")

    async def _claim(self, session: HolderSession, give_up: Callable[[], bool]) -> ClaimOutcome:
        """Claims a job until it is acquired, final, refused or unsure; WAIT once ``give_up`` returns True."""
        while True:
            outcome = await self._ask_group(
                session.group, session.claim(self.now()), session.count_claim_reply)
            if outcome in (ClaimOutcome.ACQUIRED, ClaimOutcome.ENDED, ClaimOutcome.BODY_MISMATCH):
                return outcome or ClaimOutcome.UNSURE
            self.links.ask(session.group, session.withdraw(), _ignore_reply)
            if outcome in (None, ClaimOutcome.UNSURE):
                return ClaimOutcome.UNSURE
            if give_up():
                return ClaimOutcome.WAIT
            pause = (POLL_INTERVAL_MS if outcome is ClaimOutcome.WAIT
                     else self.random.uniform(0.2, 1.0) * CLAIM_BACKOFF_MS)
            await asyncio.sleep(pause / 1000.0)

    async def keep(self, session: HolderSession, record: Record) -> bool:
        """Stores a record; returns whether a majority has it under the session's term."""
        return bool(await self._ask_group(
            session.group, session.keep(self.now(), record), session.count_store_reply))

    async def _ask_group(self, group: tuple[int, ...], ask: CustodyMessage,
                     evaluate: Callable[[int, Reply | None], T | None]) -> T | None:
        """Sends a message to a group; returns the first result of ``evaluate`` that is not None.

        A custodian that does not reply within ``REPLY_TIMEOUT_MS`` counts as the reply None.  Returns None if
        ``evaluate`` did not determine a result from all replies."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[T | None] = loop.create_future()
        missing = set(group)

        def on_reply(custodian: int, reply: Reply | None) -> None:
            missing.discard(custodian)
            if not done.done() and ((result := evaluate(custodian, reply)) is not None or not missing):
                done.set_result(result)

        def on_timeout() -> None:
            for custodian in list(missing):
                self.links.mark_unresponsive(custodian)
                on_reply(custodian, None)

        timer = loop.call_later(cu.REPLY_TIMEOUT_MS / 1000.0, on_timeout)
        self.links.ask(group, ask, on_reply)
        try:
            return await done
        finally:
            if not missing:
                timer.cancel()

    def _background(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)     # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Release ------------------------------------------------------------------------------

    def drop(self, held_job: HeldJob) -> None:
        """Forgets a job that is no longer held."""
        if self.held_jobs.get(held_job.session.key) is held_job:
            del self.held_jobs[held_job.session.key]

    def release(self, held_job: HeldJob) -> None:
        """Releases a job in the background, for the next try."""
        self._background(self._release(held_job))

    async def _release(self, held_job: HeldJob) -> None:
        try:
            for _ in range(MAX_RELEASE_TRIES):
                if await held_job.keep(JobState.RELEASED) or held_job.session.is_fenced():
                    return
                await asyncio.sleep(RELEASE_RETRY_S)
        finally:
            self.drop(held_job)

    # Background ---------------------------------------------------------------------------

    async def _send_heartbeats(self) -> None:
        """Sends heartbeats to the custodians of the jobs that are held here."""
        while True:
            await asyncio.sleep(cu.HEARTBEAT_MS / 1000.0)
            heartbeat = cu.Heartbeat(self.number, self.start_number)
            for custodian in {i for held_job in self.held_jobs.values() if held_job is not None
                              for i in held_job.session.group}:
                if not self.links.busy(custodian):      # a pending message serves as a heartbeat
                    self.links.ask((custodian,), heartbeat, _ignore_reply)
            self.custodian.clean(self.now())

    async def _scan_orphans(self) -> None:
        """Takes over jobs whose holder is lost, when it is this custodian's turn."""
        while True:
            await asyncio.sleep(cu.ORPHAN_SCAN_MS / 1000.0)
            orphans = () if self.leaving or self.phase.leaving else self.custodian.orphans(
                self.now(), self.limiter_count, self.zones)
            for record, term in list(orphans):
                if record.key not in self.held_jobs and self.core.classes.get(
                        record.content.service if record.content is not None else "") is not None:
                    self.held_jobs[record.key] = None
                    self._background(self._take_over(record, term))

    async def _take_over(self, record: Record, term: int) -> None:
        """Takes over a job whose holder is lost, and finishes it if its class permits."""
        try:
            session = HolderSession(self.number, self.start_number, record.key, record.body,
                                    cu.group_of(record.key, self.limiter_count, self.zones))
            session.term, rounds = term, itertools.count(1)
            outcome = await self._claim(session, lambda: next(rounds) >= MAX_TAKEOVER_CLAIMS)
            claimed = session.record
            if (outcome is not ClaimOutcome.ACQUIRED or claimed is None or claimed.content is None
                    or claimed.left <= 0):
                return
            held_job, cls = HeldJob(self, session, claimed), self.core.classes.get(claimed.content.service)
            if held_job.sent and (cls is None or not cu.may_send_again(cls.window, claimed.sent)):
                await self._end_unknown(held_job)
                return
            if not await held_job.keep(
                    claimed.state if claimed.state is not JobState.RELEASED else JobState.HELD):
                return
            self.held_jobs[record.key] = held_job
            self.counters.add("custody.inherited")
            log.info("taking over job %s of limiter %d, term %d", claimed.content.name, claimed.holder,
                     session.term)
            await self._execute(held_job, claimed.content)
        finally:
            if self.held_jobs.get(record.key) is None:
                self.held_jobs.pop(record.key, None)

    async def _execute(self, held_job: HeldJob, content: cu.Content) -> None:
        """Makes the attempts of a job that was taken over, without a client, and records the answer."""
        request = held_job.with_history(io.Request(
            content.name, content.service, content.plan, content.customer, held_job.due, content.units,
            content.first, content.spread))
        if (content.plan not in self.core.plans or content.service not in self.core.classes
                or content.name in self.core.jobs):
            held_job.close()
            return
        window, job = self.core.classes[content.service].window, self.core.take(request)
        try:
            while isinstance(action := await job.next(), io.Send):
                if not await self.send(held_job, job, action):
                    return
                ended = await self.nodes.attempt(
                    job, action, Content(content.method, content.target, content.headers, content.body),
                    _NoClient())
                self.core.attempt_ended(job, action.server, ended.result, ended.duration, ended.unusable,
                                  ended.stale)
                if ended.result is io.Result.OK:
                    if not ended.streamed:
                        await held_job.record_answer(200, ended.kind, ended.body)
                    return
            # The attempts failed; while the class permits another, the client may retry.
            if held_job.sent and not cu.may_send_again(window, held_job.sent_attempts()):
                await self._end_unknown(held_job)
        finally:
            held_job.close()
            self.core.close(job)

    async def send(self, held_job: HeldJob, job: Job, action: io.Send) -> bool:
        """Records an attempt; returns whether it may be sent, otherwise withdraws it from ``core``."""
        if await held_job.record_send(action.server):
            job.may_send = lambda: held_job.session.may_send(self.now())
            return True
        self.counters.add("custody.held_back")
        log.info("job %s not sent: another limiter may hold it", job.id)
        self.core.withdraw(job, action)
        return False

    def rows(self, key: int | None = None) -> list[dict[str, object]]:
        """Returns what this limiter stores as a custodian, for operators."""
        rows = self.custodian.rows(self.now(), key)
        for row in rows:
            key_hash = int(str(row["key"]), 16)
            row["group"] = list(cu.group_of(key_hash, self.limiter_count, self.zones))
            row["in_hand"] = self.held_jobs.get(key_hash) is not None
        return rows


def _ignore_reply(custodian: int, reply: Reply | None) -> None:
    """Ignores a reply."""


class _NoClient:
    """Sink for a job without a client: an answer too long to be stored fails."""

    async def begin(self, kind: bytes, length: int | None) -> None:
        raise OSError(f"no client waits for an answer of {length} bytes, and at most {MAX_BUFFERED_BYTES} "
                      "bytes can be stored")

    async def piece(self, data: bytes) -> None:
        raise OSError("no client is connected")

    async def end(self) -> None:
        raise OSError("no client is connected")
