"""HTTP front end: client connections, and the processing of each job from its request to its answer."""

from __future__ import annotations

import asyncio
import functools
import itertools
import logging
import os
import re
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import h11

from larklb import interface as io
from larklb.core import Core, Job
from larklb.fields import MalformedError, parse_account, parse_decimal, parse_quota_info
from larklb.fleet.custody import LEASE_MS, StoredAnswer
from larklb.net.bulk import STALL_TIMEOUT_MS, Upload, UploadAbortedError
from larklb.net.console import MAX_CONSOLE_CONNECTIONS
from larklb.net.execute import AttemptOutcome, Content, ExecuteNodes
from larklb.net.http import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    Link,
    PeerTooSlowError,
    TooLongError,
    WatchedReader,
)
from larklb.phase import Phase
from larklb.quota.table_limits import CUSTOMER_MEMORY_PART, PROCESS_BASE_MB
from larklb.settings import Config

if TYPE_CHECKING:
    from larklb.net.keeper import CustodyKeeper, HeldJob

log = logging.getLogger(__name__)

# Share of the file descriptors available to client connections.
CLIENT_DESCRIPTOR_SHARE = 0.58
# Share of the file descriptors that idle client connections may hold.  Beyond it a connection is closed after
# its first request.
IDLE_DESCRIPTOR_SHARE = 0.1
# asyncio accepts this many connections at once, each with a descriptor, before it calls the program.
ACCEPTS_PER_TURN = 16
LISTEN_BACKLOG = 512
# Largest X-Time-Left that is accepted.
MAX_TIME_LEFT_S = 600.0
# Limit for the first head, counted from the connect, and for the rest of a later one.  A body gets the same
# plus its size at the minimum rate.
MESSAGE_TIMEOUT_MS = 2400.0
MIN_BODY_BYTES_PER_MS = 64.0
# Upper bound of the memory of one streamed body or answer, both connections together.
STREAM_MEMORY_MB = 0.3
MIN_STREAMS = 4
# Requests queued behind an unanswered one; no legitimate client sends more.
MAX_PIPELINED_REQUESTS = 16
# An idle connection is closed after this time, or earlier when descriptors are needed.
IDLE_TIMEOUT_MS = 10000.0
# After this idle time a connection is closed in preference to a new one without a request.
MIN_IDLE_BEFORE_EVICTION_MS = 2000.0
# The first request of a new connection may still be in flight for this long.
NEW_CONNECTION_GRACE_MS = 5.0
# Connections without a request that are examined for one that has sent nothing.
MAX_EVICTION_CANDIDATES = 32
SWEEP_INTERVAL_MS = 200.0
# Requests that arrive within this time of SIGTERM are still accepted.
SHUTDOWN_LINGER_MS = 700.0
# Limits of time and reads for discarding input after a request was rejected before its end.
DISCARD_TIMEOUT_MS = 3000.0
MAX_DISCARD_READS = 64
# Outcome counted for an answer given by custody; any other status counts as failed.
_CUSTODY_OUTCOMES = {200: "served", 503: "refused"}
# With these statuses more of the request may still be in flight.
_UNREAD_BODY_STATUSES = (400, 408, 413, 431, 501)
_REQUIRED_HEADERS = (b"x-correlation-id", b"x-service-class", b"plan", b"account", b"x-time-left",
                     b"quota-info")
_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_FORWARDED_HEADERS = (b"x-correlation-id", b"idempotency-key", b"x-service-class", b"content-type")


class Answer(NamedTuple):
    """An answer to a client; ``retry_after`` is in milliseconds, ``close`` ends the connection."""

    status: int
    body: bytes = b""
    kind: bytes = b"text/plain"
    retry_after: float = 0.0
    close: bool = False


def parse(head: h11.Request, body: bytes, now: float, core: Core,
          upload: Upload | None = None) -> tuple[io.Request, Content]:
    """Parses the fields that decisions need from a request; raises MalformedError where it is invalid.

    With an ``upload`` the deadline allows for the slowest permitted transfer of the body, since the job's
    time starts when the body is complete.  ``now`` is in milliseconds."""
    headers = dict(head.headers)
    if len(head.headers) > len(headers) and any(
            sum(n == name for n, _ in head.headers) > 1
            for name in (*_REQUIRED_HEADERS, *_FORWARDED_HEADERS)):
        # The execute node might use the other value.
        raise MalformedError("a header that every job has is there twice")
    try:
        name, service, plan, customer, left, info = [headers[n].decode("ascii") for n in _REQUIRED_HEADERS]
    except (KeyError, UnicodeDecodeError) as error:
        raise MalformedError("a header that every job has is missing") from error
    cls = core.classes.get(service)
    if cls is None or plan not in core.plans:
        raise MalformedError("unknown class or plan")
    target = head.target
    if target.lower().startswith(b"http://"):        # absolute form, as sent to a proxy
        target = b"/" + target.split(b"/", 3)[3] if target.count(b"/") > 2 else b"/"
    path = target.partition(b"?")[0].split(b"/")
    if len(path) < 2 or path[0] or path[1] != service.encode():
        raise MalformedError("the path does not begin with the class")
    if head.method != (b"GET" if cls.repeat is io.RepeatPolicy.SAFE else b"POST"):
        raise MalformedError("the class has another method")
    if cls.repeat is io.RepeatPolicy.KEYED and not headers.get(b"idempotency-key"):
        raise MalformedError("the class needs a key")
    if _REQUEST_ID.fullmatch(name) is None:
        raise MalformedError("the request has no id")
    if body and head.method == b"GET":
        raise MalformedError("the class takes no body")
    wait = parse_decimal(left)
    if not 0 < wait <= MAX_TIME_LEFT_S:
        raise MalformedError("x-time-left makes no sense")
    units, spread, first = parse_quota_info(info, core.settings)
    upload_ms = max_upload_ms(upload) if upload is not None else 0.0
    request = io.Request(request=name, service=service, plan=plan, customer=parse_account(customer),
                         # Capped by the deadline of the class: a longer wait would keep the job's state, here
                         # and at the quota owner, for minutes.
                         due=now + min(wait * 1000.0, cls.deadline) + upload_ms, units=units, first=first,
                         spread=spread)
    passed = tuple((n, headers[n]) for n in _FORWARDED_HEADERS if n in headers)
    if upload is not None and upload.length is None:
        passed += ((b"Transfer-Encoding", b"chunked"),)
    elif body or head.method == b"POST":
        passed += ((b"Content-Length", b"%d" % (len(body) if upload is None else upload.length or 0)),)
    return request, Content(head.method, target, passed, body, upload)


def max_upload_ms(upload: Upload) -> float:
    """Returns the longest time in milliseconds that the rest of a body may take."""
    rest = MAX_BODY_BYTES if upload.length is None else upload.length
    return MESSAGE_TIMEOUT_MS + (rest - len(upload.first)) / MIN_BODY_BYTES_PER_MS


def refusal_answer(action: io.Refuse) -> Answer:
    """Returns 429 for an exceeded quota, 503 for lack of capacity or time."""
    return Answer(429 if action.over_quota else 503, retry_after=action.retry_after)


class Front:
    """Accepts client connections and processes their requests."""

    def __init__(self, config: Config, core: Core, nodes: ExecuteNodes, phase: Phase) -> None:
        self.config, self.core, self.nodes, self.wheel = config, core, nodes, core.wheel
        self.phase = phase
        # Memory not used by the customer table and the process itself is available to streamed transfers.
        self.stream_slots = asyncio.Semaphore(max(MIN_STREAMS, int(
            (config.memory_mb - PROCESS_BASE_MB) * (1.0 - CUSTOMER_MEMORY_PART) / STREAM_MEMORY_MB)))
        self.max_connections = int(config.sockets * CLIENT_DESCRIPTOR_SHARE) - (
            MAX_CONSOLE_CONNECTIONS if config.admin is not None else 0)
        self.max_idle = int(config.sockets * IDLE_DESCRIPTOR_SHARE)
        # Open connections; the task of a closed one may still be finishing.
        self.links: dict[Link, None] = {}
        # Of these, connections without a request so far, oldest first.
        self.unused: dict[Link, None] = {}
        # Of these, connections waiting for another request, longest idle first.
        self.idle: dict[Link, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.stopped = False                 # no further requests are accepted
        self.accepting_paused = False        # new input stays in the sockets
        # Set after a handover: transfers an idle connection to the new process, False if that fails.
        self.transfer_connection: Callable[[Link], bool] | None = None
        # Set where custody of jobs that must not run twice is configured.
        self.keeper: CustodyKeeper | None = None
        self._sweep()

    def _new_protocol(self, new: bool = True) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()

        def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert isinstance(reader, WatchedReader)
            link = Link(reader, writer, h11.SERVER)
            link.new = new
            task = loop.create_task(self._connection(link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        return asyncio.StreamReaderProtocol(WatchedReader(), connected, loop=loop)

    def _listening_socket(self, shared: bool) -> socket.socket:
        host, port = self.config.listen
        listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listening.bind((host, port))
            # Set only after bind(): a conflict with an unrelated process is reported, while another process
            # of this limiter may still share the address.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        except OSError:
            listening.close()
            raise
        return listening

    async def start(self, listening: socket.socket | None = None, shared: bool = False) -> None:
        """Accepts connections on ``listening`` or on the configured address, which may be ``shared`` with
        another process of this limiter.  Raises OSError if the address is not available."""
        listening = listening or self._listening_socket(shared)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._new_protocol, sock=listening, backlog=ACCEPTS_PER_TURN)
        listening.listen(LISTEN_BACKLOG)        # asyncio uses one number for backlog and accepts

    async def adopt(self, sock: socket.socket, new: bool) -> None:
        """Takes over a client connection from the predecessor process."""
        sock.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: self._new_protocol(new), sock)

    def pause_accepting(self) -> socket.socket:
        """Stops reading new requests, which stay in the sockets; returns a copy of the listening socket."""
        assert self.server is not None
        duplicate = socket.socket(fileno=os.dup(self.server.sockets[0].fileno()))
        # Not closed yet: a connection accepted just now would be dropped with it.
        asyncio.get_running_loop().remove_reader(self.server.sockets[0].fileno())
        self.accepting_paused = True
        for link in self.links:
            if not link.busy and not link.has_unread_data():
                link.pause()
        return duplicate

    async def resume_accepting(self, listening: socket.socket) -> None:
        """Resumes after a pause, or when the successor process has exited."""
        self.accepting_paused, self.transfer_connection = False, None
        self._close_server()
        for link in self.links:
            link.resume()
        await self.start(listening)

    def start_handover(self, transfer_connection: Callable[[Link], bool]) -> None:
        """Transfers each connection to the successor process as soon as it is idle."""
        self.accepting_paused, self.transfer_connection = False, transfer_connection
        self._close_server()
        self._release_idle()

    def _close_server(self) -> None:
        if self.server is not None:
            self.server.close()

    async def stop(self) -> None:
        """Accepts late requests for a while, then closes idle connections and finishes accepted jobs."""
        self.phase.move("stop", self.wheel.now())
        if not self.accepting_paused:              # otherwise the next process gets them
            self._release_idle()
        if self.transfer_connection is None:
            await self.wheel.sleep(SHUTDOWN_LINGER_MS)
        if self.server is not None and self.server.sockets:
            asyncio.get_running_loop().remove_reader(self.server.sockets[0].fileno())
            await self.wheel.sleep(1.0)
            self._close_server()
        self.stopped = self.transfer_connection is None
        while self.tasks:
            self._release_idle()
            await asyncio.wait(self.tasks, timeout=SWEEP_INTERVAL_MS / 1000.0)

    def _release_idle(self) -> None:
        """Closes connections without a job, or transfers them to the successor process."""
        for link in list(self.links):
            if link.busy:
                continue
            if self.transfer_connection is not None:
                self._transfer(link)
            elif link.received_nothing():
                link.writer.close()

    def _transfer(self, link: Link) -> bool:
        link.pause()
        if link.has_unread_data() or self.transfer_connection is None or not self.transfer_connection(link):
            link.resume()
            return False
        self.core.counters.add("passed_on")
        self._close(link)
        return True

    def _sweep(self) -> None:
        """Closes connections that are idle or stuck in a message, so that they don't hold descriptors."""
        self.wheel.after(SWEEP_INTERVAL_MS, self._sweep)      # scheduled first, in case the sweep fails
        now = self.wheel.now()
        if self.transfer_connection is not None or self.phase.closes_idle_connections(now):
            self._release_idle()
        for link in list(self.links):
            if link.busy:
                if link.receiving_body() and link.waiting_since and self._body_too_slow(link, now):
                    link.reader.mark_too_slow()
                continue
            if not link.has_unread_data():
                link.partial_since = 0.0
            elif not link.partial_since:
                link.partial_since = now
            if link.receiving_body():
                if self._body_too_slow(link, now):
                    self.core.counters.add("errors.half_message")
                    link.reader.mark_too_slow()
            elif now - (link.partial_since or link.since) > (
                    MESSAGE_TIMEOUT_MS if link.new or link.partial_since else IDLE_TIMEOUT_MS):
                self.core.counters.add("errors.half_message" if link.has_unread_data() else "closed.idle")
                if link.has_unread_data():
                    link.reader.mark_too_slow()            # answered with 408 and closed
                else:
                    self._close(link)

    @staticmethod
    def _body_too_slow(link: Link, now: float) -> bool:
        """Whether a body is slower than the minimum rate allows."""
        waited = link.body_wait_ms + (now - link.waiting_since if link.waiting_since else 0.0)
        return waited > MESSAGE_TIMEOUT_MS + link.body_bytes / MIN_BODY_BYTES_PER_MS

    def _close(self, link: Link) -> None:
        """Closes a connection without a job; the descriptor is freed in the next turn of the event loop."""
        for kind in (self.links, self.unused, self.idle):
            kind.pop(link, None)
        link.abort()

    def _make_room(self) -> bool:
        """Whether another connection can be accepted, evicting one without a job if needed.

        Hundreds of silent connections may arrive at once; they evict each other.  If idle client connections
        were evicted instead, the clients would reconnect and evict the next ones.
        """
        if len(self.links) < self.max_connections:
            return True
        now = self.wheel.now()
        silent = (link for link in itertools.islice(self.unused, MAX_EVICTION_CANDIDATES)
                  if link.received_nothing())
        link = unused_link = next(silent, None)
        idle = next(iter(self.idle), None)
        if unused_link is None or now - unused_link.since < NEW_CONNECTION_GRACE_MS:
            link = (idle if idle is not None and now - idle.since > MIN_IDLE_BEFORE_EVICTION_MS
                    else unused_link or idle)
        link = link or next(iter(self.unused), None)
        if link is None:
            return False
        self.core.counters.add("closed.for_room")
        self._close(link)
        return True

    async def _connection(self, link: Link) -> None:
        if not self._make_room():
            # More connections would exhaust the descriptors and fail jobs that were accepted.
            self.core.counters.add("errors.too_many_submitters")
            link.abort()
            return
        self.links[link] = self.unused[link] = None
        try:
            while await self._message(link):
                link.since, link.partial_since, link.new = self.wheel.now(), 0.0, False
                self.idle[link] = None
        except OSError:
            self.core.counters.add("errors.submitter_gone")
        except Exception:
            self.core.counters.add("errors.connection")
            log.exception("client connection failed")
        finally:
            for kind in (self.links, self.unused, self.idle):
                kind.pop(link, None)
            link.writer.close()

    async def _message(self, link: Link) -> bool:
        """Reads and answers one request; returns whether the connection can carry another."""
        link.busy = False
        if self.stopped:
            return False
        if not link.has_unread_data():
            if self.transfer_connection is not None and self._transfer(link):
                return False
            if self.accepting_paused:
                link.pause()
        try:
            head = await link.read_head()
            if head is None:
                return False
            if (link.length or 0) > MAX_BODY_BYTES:
                raise TooLongError
            parts, whole = [], False
            while not whole and link.body_bytes < MAX_BUFFERED_BYTES:
                part = await link.read_chunk()
                whole = part is None
                parts.append(part or b"")
            whole = whole or link.length == link.body_bytes and await link.read_chunk() is None
            self._mark_busy(link)
            if whole and link.pipelined_requests() > MAX_PIPELINED_REQUESTS:
                raise h11.RemoteProtocolError("a flood of requests before the answer to one", 400)
            return await self._answer(link, head, b"".join(parts), whole)
        except PeerTooSlowError:
            if not link.can_respond():
                return False             # already answered
            answer = Answer(408, b"it came too slowly", close=True)
        except TooLongError:
            if not link.can_respond():
                return False
            answer = Answer(413, close=True)
        except h11.RemoteProtocolError as error:
            if link.reader.ended() or not link.can_respond():
                return False
            answer = Answer(error.error_status_hint, str(error).encode(), close=True)
        self._mark_busy(link)
        return await self._reply(link, answer)

    async def _reply(self, link: Link, answer: Answer) -> bool:
        """Writes a complete answer; returns whether the connection can carry another request."""
        if answer.status in (400, 408, 409, 413):
            self.core.counters.add("malformed")
        close = answer.close or self.closes(link)
        self._write(link, answer, close)
        await link.writer.drain()
        if answer.status in _UNREAD_BODY_STATUSES and answer.close:
            await self._discard_input(link)
            return False
        await self._discard_body(link)
        return not close and link.start_next_cycle()

    def _mark_busy(self, link: Link) -> None:
        link.busy = True
        self.unused.pop(link, None)
        self.idle.pop(link, None)

    async def _discard_input(self, link: Link) -> None:
        """Discards remaining input: closing a socket with unread bytes would lose the answer."""
        timer = self.wheel.after(DISCARD_TIMEOUT_MS, link.abort)
        link.writer.write_eof()
        for _ in range(MAX_DISCARD_READS):
            if not await link.reader.read(MAX_BUFFERED_BYTES):
                break
        timer.cancel()

    async def _discard_body(self, link: Link) -> None:
        """Discards the rest of a body, since a client may read the answer only after sending all of it."""
        while link.receiving_body() and await link.read_chunk() is not None:
            if link.body_bytes > MAX_BODY_BYTES:
                raise TooLongError
            if self.phase.leaving:               # no job depends on it
                return await self._discard_input(link)

    def closes(self, link: Link) -> bool:
        """Whether the connection is closed after the current answer."""
        # Many clients send one request and keep the connection; the number of idle ones is limited so that
        # others can connect.
        many = link.new and len(self.idle) >= self.max_idle
        return many or self.phase.leaving and self.transfer_connection is None

    def _write(self, link: Link, answer: Answer, close: bool) -> None:
        headers = [(b"Content-Type", answer.kind), (b"Content-Length", b"%d" % len(answer.body))]
        if answer.retry_after > 0:
            headers.append((b"Retry-After", b"%.3f" % (answer.retry_after / 1000.0)))
        if close:
            headers.append((b"Connection", b"close"))
        link.write(h11.Response(status_code=answer.status, headers=headers), answer.body)

    async def _answer(self, link: Link, head: h11.Request, body: bytes, whole: bool) -> bool:
        """Answers a request; returns whether the connection can carry another."""
        if head.method == b"GET" and head.target == b"/healthz":
            return await self._reply(link, Answer(200 if self.phase.ready else 503))
        if head.method == b"GET" and head.target == b"/counters":
            counts = self.core.counters.as_json().encode()
            return await self._reply(link, Answer(200, counts, b"application/json"))
        upload = None if whole else Upload(link, body)
        try:
            request, content = parse(head, body, self.wheel.now(), self.core, upload)
        except MalformedError as error:
            return await self._reply(link, Answer(400, str(error).encode(), close=not whole))
        if request.request in self.core.jobs:
            # Two jobs with one id would allow two concurrent attempts of one request.
            return await self._reply(link, Answer(409, b"this request is already in work", close=not whole))
        repeat = any(n == b"x-repeat" and v.strip() == b"1" for n, v in head.headers)
        return await self._process_job(link, request, content, repeat)

    async def _process_job(self, link: Link, request: io.Request, content: Content, repeat: bool) -> bool:
        """Processes a job up to the last byte of its answer; ``repeat`` marks a client's retry.

        Returns whether the connection can carry another request."""
        counters = self.core.counters
        counters.add(f"taken.http.{request.service}")
        job, outcome, hold = None, "nobody", None
        sink = AnswerSink(self, link)
        try:
            if content.upload is not None:
                await sink.acquire_slot()            # the rest stays in the socket until then
            custody = await self._custody(link, request, content, repeat)
            if isinstance(custody, Answer):
                outcome = _CUSTODY_OUTCOMES.get(custody.status, "failed")
                return await self._reply(link, custody)
            if custody is not None:
                hold, request = custody, custody.with_history(request)
            job = self.core.take(request)
            link.reader.on_end = functools.partial(self.core.abandon, job)
            if link.reader.ended():
                self.core.abandon(job)
            if content.upload is not None:
                wait = request.due - max_upload_ms(content.upload) - self.wheel.now()
                content.upload.set_callbacks(functools.partial(self.core.body_consumed, job),
                                    lambda: self.core.set_due(job, self.wheel.now() + wait))
            answer, outcome = await self._execute(job, content, sink, hold)
        except Exception:
            # An internal error affects this job only; the attempt closes its own connection.
            log.exception("job %s failed", request.request)
            counters.add("errors.job")
            if job is not None:
                self.core.abandon(job)
            answer, outcome = Answer(500), "failed"
        try:
            link.reader.on_end = None
            if job is not None and job.deadline_timer is not None:
                job.deadline_timer.cancel()
            if job is not None and job.abandoned and outcome != "failed":
                outcome = "nobody"
            if answer is not None:
                more = await self._reply(link, answer)
                self.core.crash_point("answer passed on")
                return more
            if sink.whole:
                await self._discard_body(link)
                return not sink.close and link.start_next_cycle()
            self._close(link)             # tells the client that the answer is incomplete
            return False
        except OSError:
            outcome = "nobody"
            raise
        finally:
            sink.release()
            if hold is not None:
                hold.close()
            # Counted once the last byte has been written; until then the job is in progress.
            if job is not None:
                self.core.close(job)
            counters.add(f"answered.{outcome}")
            counters.add(f"class.{outcome}.{request.service}")

    async def _custody(self, link: Link, request: io.Request, content: Content,
                       repeat: bool) -> HeldJob | Answer | None:
        """Returns the job held under custody, the answer if it isn't held here, or None without custody."""
        key = next((v for n, v in content.headers if n == b"idempotency-key"), b"")
        if self.keeper is None or not key or not self.keeper.covers(request.service):
            return None
        if content.upload is not None:
            self.core.counters.add("custody.without")        # streamed bodies can't be stored
            return None
        custody = await self.keeper.take(request, content, key, repeat, link.reader.ended)
        if not isinstance(custody, StoredAnswer):
            return custody
        retry_after = min(self.core.settings.max_retry_after, LEASE_MS) if custody.status == 503 else 0.0
        return Answer(custody.status, custody.body, custody.kind or b"text/plain", retry_after)

    async def _execute(self, job: Job, content: Content, sink: AnswerSink,
                       hold: HeldJob | None) -> tuple[Answer | None, str]:
        """Executes a job.  Returns its answer (None if it was streamed already) and the outcome to count."""
        while True:
            match action := await job.next():
                case io.Send():
                    if hold is not None and self.keeper is not None and not await self.keeper.send(
                            hold, job, action):
                        again = Answer(503, retry_after=min(self.core.settings.max_retry_after, LEASE_MS))
                        return (Answer(502), "failed") if hold.attempted else (again, "refused")
                    try:
                        ended: AttemptOutcome = await self.nodes.attempt(job, action, content, sink)
                    except UploadAbortedError as error:
                        self.core.attempt_ended(job, action.server, io.Result.CONNECT_FAILED, 0.0,
                                                server_blameless=True)
                        return _upload_aborted_answer(error.__cause__), "failed"
                    self.core.attempt_ended(job, action.server, ended.result, ended.duration, ended.unusable,
                                      ended.stale)
                    if ended.streamed:
                        return None, "served" if ended.whole else "failed"
                    if ended.result is io.Result.OK:
                        if hold is not None:
                            await hold.record_answer(200, ended.kind, ended.body)
                        return Answer(200, ended.body, ended.kind), "served"
                    if job.abandoned:
                        return Answer(502, close=True), "nobody"
                case io.Refuse():
                    return refusal_answer(action), "refused"
                case _:
                    return Answer(502, close=job.abandoned), "nobody" if job.abandoned else "failed"


def _upload_aborted_answer(error: BaseException | None) -> Answer:
    """Returns the answer for a client whose body failed before its end."""
    if isinstance(error, PeerTooSlowError):
        return Answer(408, b"its body came too slowly", close=True)
    if isinstance(error, TooLongError):
        return Answer(413, close=True)
    return Answer(400, b"its body broke off", close=True)


class AnswerSink:
    """Streams a long answer to a client."""

    def __init__(self, front: Front, link: Link) -> None:
        self.front, self.link = front, link
        self.close = self.whole = self.has_slot = False

    async def acquire_slot(self) -> None:
        """Waits for a streaming slot, which the job holds until ``release``."""
        if not self.has_slot:
            await self.front.stream_slots.acquire()
            self.has_slot = True

    def release(self) -> None:
        """Returns the streaming slot, if one is held."""
        if self.has_slot:
            self.has_slot = False
            self.front.stream_slots.release()

    async def begin(self, kind: bytes, length: int | None) -> None:
        """Writes the head of the answer, once a streaming slot is free."""
        await self.acquire_slot()
        self.close = self.front.closes(self.link)
        headers = [(b"Content-Type", kind)]
        headers.append((b"Transfer-Encoding", b"chunked") if length is None
                       else (b"Content-Length", b"%d" % length))
        if self.close:
            headers.append((b"Connection", b"close"))
        self._write(h11.Response(status_code=200, headers=headers))

    async def piece(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        self._write(h11.Data(data=data))
        await self._drain()

    async def end(self) -> None:
        """Completes the answer."""
        self._write(h11.EndOfMessage())
        await self._drain()
        self.whole = True

    def _write(self, event: h11.Event) -> None:
        self.link.writer.write(self.link.http.send(event) or b"")

    async def _drain(self) -> None:
        """Waits until the client has taken the data, at most STALL_TIMEOUT_MS."""
        timer = self.front.wheel.after(STALL_TIMEOUT_MS, self.link.abort)
        try:
            await self.link.writer.drain()
        finally:
            timer.cancel()
