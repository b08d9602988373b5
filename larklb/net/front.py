"""The submitters' side: their connections, and the life of each job from its last byte to its answer."""

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
    from larklb.net.keeper import CustodyKeeper, Hold

log = logging.getLogger(__name__)

SOCKETS_PART = 0.58        # of the descriptors may be submitters' connections
KEPT_PART = 0.1            # ... may wait for another job; with more, one that has carried its first ends
ACCEPTED = 16              # at once: asyncio takes in as many, each with a descriptor, before we are asked
BACKLOG = 512              # connections that wait to be taken in
MOST_TIME_S = 600.0        # that a submitter may say it waits
HALF_MESSAGE = 2400.0      # ms for a first head, from its connect on, and for the rest of a later one; ...
SLOWEST = 64.0             # ... for a body as many, and one for each so many bytes of it
FLOW_MB = 0.3              # that a body or an answer which flows holds at the most, on both sides together
LEAST_FLOWS = 4
FLOOD = 16                 # requests behind one that is not answered yet: more are no submitter's
IDLE = 10000.0             # ms without a job after which a connection goes, sooner if there is no room
MAY_CLOSE = 2000.0         # ms without a job after which nobody minds
JUST_NOW = 5.0             # ms in which a new connection's first message may still be on its way
LOOKS = 32                 # strangers are looked at for one that has said nothing at all
SWEEP = 200.0
LINGER = 700.0             # ms after SIGTERM in which what still arrives is taken
READ_AWAY = 3000.0         # ms in which what arrives after a refusal to read on is thrown away ...
MOST_READS = 64            # ... in so many reads
_WORDS = {200: "served", 503: "refused"}          # of what custody tells at once: else failed
_UNREAD = (400, 408, 413, 431, 501)    # more of such a message may be on its way
_NEEDED = (b"x-correlation-id", b"x-service-class", b"plan", b"account", b"x-time-left", b"quota-info")
_ID = re.compile(r"[!-~]{1,128}")
_PASSED = (b"x-correlation-id", b"idempotency-key", b"x-service-class", b"content-type")


class Answer(NamedTuple):
    status: int
    body: bytes = b""
    kind: bytes = b"text/plain"
    retry_after: float = 0.0
    close: bool = False


def parse(head: h11.Request, body: bytes, now: float, core: Core,
          upload: Upload | None = None) -> tuple[io.Request, Content]:
    """The job in a message; only what the decisions need is taken out of it.

    With an ``upload`` its time begins when that is whole: until then it is due as late as its body may be."""
    headers = dict(head.headers)
    if len(head.headers) > len(headers) and any(
            sum(n == name for n, _ in head.headers) > 1 for name in (*_NEEDED, *_PASSED)):
        # A node may go by the one that was not read here.
        raise MalformedError("a header that every job has is there twice")
    try:
        name, service, plan, customer, left, info = [headers[n].decode("ascii") for n in _NEEDED]
    except (KeyError, UnicodeDecodeError) as error:
        raise MalformedError("a header that every job has is missing") from error
    cls = core.classes.get(service)
    if cls is None or plan not in core.plans:
        raise MalformedError("unknown class or plan")
    target = head.target
    if target.lower().startswith(b"http://"):        # told whole, as to a proxy: a node is told its own part
        target = b"/" + target.split(b"/", 3)[3] if target.count(b"/") > 2 else b"/"
    path = target.partition(b"?")[0].split(b"/")
    if len(path) < 2 or path[0] or path[1] != service.encode():
        raise MalformedError("the path does not begin with the class")
    if head.method != (b"GET" if cls.repeat is io.RepeatPolicy.SAFE else b"POST"):
        raise MalformedError("the class has another method")
    if cls.repeat is io.RepeatPolicy.KEYED and not headers.get(b"idempotency-key"):
        raise MalformedError("the class needs a key")
    if _ID.fullmatch(name) is None:
        raise MalformedError("the request has no id")
    if body and head.method == b"GET":
        raise MalformedError("the class takes no body")
    wait = parse_decimal(left)
    if not 0 < wait <= MOST_TIME_S:
        raise MalformedError("x-time-left makes no sense")
    units, spread, first = parse_quota_info(info, core.settings)
    later = upload_time(upload) if upload is not None else 0.0
    request = io.Request(request=name, service=service, plan=plan, customer=parse_account(customer),
                         # A class says how long a client waits in all.  Who says more would have its job,
                         # and what is kept of it here and at the owner, stay for minutes.
                         due=now + min(wait * 1000.0, cls.deadline) + later, units=units, first=first,
                         spread=spread)
    passed = tuple((n, headers[n]) for n in _PASSED if n in headers)
    if upload is not None and upload.length is None:
        passed += ((b"Transfer-Encoding", b"chunked"),)
    elif body or head.method == b"POST":
        passed += ((b"Content-Length", b"%d" % (len(body) if upload is None else upload.length or 0)),)
    return request, Content(head.method, target, passed, body, upload)


def upload_time(upload: Upload) -> float:
    """The longest that the rest of a body may take, in ms."""
    rest = MAX_BODY_BYTES if upload.length is None else upload.length
    return HALF_MESSAGE + (rest - len(upload.first)) / SLOWEST


def refusal(action: io.Refuse) -> Answer:
    """429 where the quota spoke, 503 where there was no room or time."""
    return Answer(429 if action.over_quota else 503, retry_after=action.retry_after)


class Front:
    """Listens for submitters."""

    def __init__(self, config: Config, core: Core, nodes: ExecuteNodes, phase: Phase) -> None:
        self.config, self.core, self.nodes, self.wheel = config, core, nodes, core.wheel
        self.phase = phase
        # What customers' tables and the program leave of the memory is for bodies and answers that flow.
        self.flows = asyncio.Semaphore(max(LEAST_FLOWS, int(
            (config.memory_mb - PROCESS_BASE_MB) * (1.0 - CUSTOMER_MEMORY_PART) / FLOW_MB)))
        self.most = int(config.sockets * SOCKETS_PART) - (
            MAX_CONSOLE_CONNECTIONS if config.admin is not None else 0)
        self.kept = int(config.sockets * KEPT_PART)
        self.links: dict[Link, None] = {}      # that count: a closed one's task may still be on its way out
        self.strangers: dict[Link, None] = {}  # of these, those with no message yet, the oldest first ...
        self.idle: dict[Link, None] = {}       # ... and those that wait for another, the longest idle first
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.ended = False              # nothing more is taken
        self.resting = False            # what is not taken up yet waits in the sockets
        # Where another process has our place: passes a connection that rests on to it, False if it cannot.
        self.transfer_connection: Callable[[Link], bool] | None = None
        # Set where custody of jobs that must not run twice is configured.
        self.keeper: CustodyKeeper | None = None
        self._sweep()

    def _protocol(self, new: bool = True) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()

        def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert isinstance(reader, WatchedReader)
            link = Link(reader, writer, h11.SERVER)
            link.new = new
            task = loop.create_task(self._connection(link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        return asyncio.StreamReaderProtocol(WatchedReader(), connected, loop=loop)

    def _listening(self, shared: bool) -> socket.socket:
        host, port = self.config.listen
        listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listening.bind((host, port))
            # Set now, not before: a stranger at our address is told, another process of ours may join.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        except OSError:
            listening.close()
            raise
        return listening

    async def start(self, listening: socket.socket | None = None, shared: bool = False) -> None:
        """Takes connections from ``listening``, or from the configured address, perhaps ``shared`` with
        another process of this limiter; OSError where it cannot be had."""
        listening = listening or self._listening(shared)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._protocol, sock=listening, backlog=ACCEPTED)
        listening.listen(BACKLOG)        # asyncio has one figure for what waits and what it takes in at once

    async def adopt(self, sock: socket.socket, new: bool) -> None:
        """A client's connection from the process that had our place before."""
        sock.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: self._protocol(new), sock)

    def pause_accepting(self) -> socket.socket:
        """Takes up nothing new: what comes waits in the sockets.  Returns the listening one, to be kept."""
        assert self.server is not None
        kept = socket.socket(fileno=os.dup(self.server.sockets[0].fileno()))
        # Not closed yet: a connection that was accepted just now would be dropped with it.
        asyncio.get_running_loop().remove_reader(self.server.sockets[0].fileno())
        self.resting = True
        for link in self.links:
            if not link.busy and not link.has_unread_data():
                link.pause()
        return kept

    async def resume_accepting(self, listening: socket.socket) -> None:
        """After a rest, or when the process that had our place has gone."""
        self.resting, self.transfer_connection = False, None
        self._close_server()
        for link in self.links:
            link.resume()
        await self.start(listening)

    def start_handover(self, transfer_connection: Callable[[Link], bool]) -> None:
        """Another process has our place: each connection goes to it as it rests."""
        self.resting, self.transfer_connection = False, transfer_connection
        self._close_server()
        self._let_go()

    def _close_server(self) -> None:
        if self.server is not None:
            self.server.close()

    async def stop(self) -> None:
        """Takes what still arrives for a while, then ends what is idle and finishes all that was taken."""
        self.phase.move("stop", self.wheel.now())
        if not self.resting:              # else the next process is about to have them
            self._let_go()
        if self.transfer_connection is None:
            await self.wheel.sleep(LINGER)
        if self.server is not None and self.server.sockets:
            asyncio.get_running_loop().remove_reader(self.server.sockets[0].fileno())
            await self.wheel.sleep(1.0)
            self._close_server()
        self.ended = self.transfer_connection is None
        while self.tasks:
            self._let_go()
            await asyncio.wait(self.tasks, timeout=SWEEP / 1000.0)

    def _let_go(self) -> None:
        """Connections that carry no job end, or go to the process that has our place."""
        for link in list(self.links):
            if link.busy:
                continue
            if self.transfer_connection is not None:
                self._pass_on(link)
            elif link.received_nothing():
                link.writer.close()

    def _pass_on(self, link: Link) -> bool:
        link.pause()
        if link.has_unread_data() or self.transfer_connection is None or not self.transfer_connection(link):
            link.resume()
            return False
        self.core.counters.add("passed_on")
        self._close(link)
        return True

    def _sweep(self) -> None:
        """What says nothing, or hangs in the middle of a message, must not hold a descriptor for good."""
        self.wheel.after(SWEEP, self._sweep)      # first: a sweep that fails must not be the last
        now = self.wheel.now()
        if self.transfer_connection is not None or self.phase.closes_idle_connections(now):
            self._let_go()
        for link in list(self.links):
            if link.busy:
                if link.receiving_body() and link.waiting_since and self._too_slow(link, now):
                    link.reader.mark_too_slow()
                continue
            if not link.has_unread_data():
                link.partial_since = 0.0
            elif not link.partial_since:
                link.partial_since = now
            if link.receiving_body():
                if self._too_slow(link, now):
                    self.core.counters.add("errors.half_message")
                    link.reader.mark_too_slow()
            elif now - (link.partial_since or link.since) > (
                    HALF_MESSAGE if link.new or link.partial_since else IDLE):
                self.core.counters.add("errors.half_message" if link.has_unread_data() else "closed.idle")
                if link.has_unread_data():
                    link.reader.mark_too_slow()            # it is told so, and closed
                else:
                    self._close(link)

    @staticmethod
    def _too_slow(link: Link, now: float) -> bool:
        """Whether a body has been waited for longer than the slowest may take."""
        waited = link.body_wait_ms + (now - link.waiting_since if link.waiting_since else 0.0)
        return waited > HALF_MESSAGE + link.body_bytes / SLOWEST

    def _close(self, link: Link) -> None:
        """Ends a connection that carries no job; its descriptor is free as soon as the loop comes round."""
        for kind in (self.links, self.strangers, self.idle):
            kind.pop(link, None)
        link.abort()

    def _make_room(self) -> bool:
        """Whether there is room for one connection more, if need be in place of one that carries no job.

        Hundreds may come at once and say nothing: they make room for each other.  A submitter's idle
        connection that went instead would come back as a new one, and drive out the next.
        """
        if len(self.links) < self.most:
            return True
        now = self.wheel.now()
        silent = (link for link in itertools.islice(self.strangers, LOOKS) if link.received_nothing())
        link = stranger = next(silent, None)
        idle = next(iter(self.idle), None)
        if stranger is None or now - stranger.since < JUST_NOW:
            link = idle if idle is not None and now - idle.since > MAY_CLOSE else stranger or idle
        link = link or next(iter(self.strangers), None)
        if link is None:
            return False
        self.core.counters.add("closed.for_room")
        self._close(link)
        return True

    async def _connection(self, link: Link) -> None:
        if not self._make_room():
            # Past this the descriptors run out, and with them the jobs that were taken.
            self.core.counters.add("errors.too_many_submitters")
            link.abort()
            return
        self.links[link] = self.strangers[link] = None
        try:
            while await self._message(link):
                link.since, link.partial_since, link.new = self.wheel.now(), 0.0, False
                self.idle[link] = None
        except OSError:
            self.core.counters.add("errors.submitter_gone")
        except Exception:
            self.core.counters.add("errors.connection")
            log.exception("a submitter's connection failed")
        finally:
            for kind in (self.links, self.strangers, self.idle):
                kind.pop(link, None)
            link.writer.close()

    async def _message(self, link: Link) -> bool:
        """One message and its answer; whether the connection can carry another."""
        link.busy = False
        if self.ended:
            return False
        if not link.has_unread_data():
            if self.transfer_connection is not None and self._pass_on(link):
                return False
            if self.resting:
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
            self._taken_up(link)
            if whole and link.pipelined_requests() > FLOOD:
                raise h11.RemoteProtocolError("a flood of requests before the answer to one", 400)
            return await self._answer(link, head, b"".join(parts), whole)
        except PeerTooSlowError:
            if not link.can_respond():
                return False             # it has had its answer
            answer = Answer(408, b"it came too slowly", close=True)
        except TooLongError:
            if not link.can_respond():
                return False
            answer = Answer(413, close=True)
        except h11.RemoteProtocolError as error:
            if link.reader.ended() or not link.can_respond():
                return False
            answer = Answer(error.error_status_hint, str(error).encode(), close=True)
        self._taken_up(link)
        return await self._reply(link, answer)

    async def _reply(self, link: Link, answer: Answer) -> bool:
        """Writes an answer to its last byte; whether the connection can carry another message."""
        if answer.status in (400, 408, 409, 413):
            self.core.counters.add("malformed")
        close = answer.close or self.closes(link)
        self._write(link, answer, close)
        await link.writer.drain()
        if answer.status in _UNREAD and answer.close:
            await self._read_away(link)
            return False
        await self._body_away(link)
        return not close and link.start_next_cycle()

    def _taken_up(self, link: Link) -> None:
        link.busy = True
        self.strangers.pop(link, None)
        self.idle.pop(link, None)

    async def _read_away(self, link: Link) -> None:
        """What is still on its way is read away: a close over unread bytes would lose the answer."""
        timer = self.wheel.after(READ_AWAY, link.abort)
        link.writer.write_eof()
        for _ in range(MOST_READS):
            if not await link.reader.read(MAX_BUFFERED_BYTES):
                break
        timer.cancel()

    async def _body_away(self, link: Link) -> None:
        """The rest of a body that nobody wants any more: its sender may read the answer only behind it."""
        while link.receiving_body() and await link.read_chunk() is not None:
            if link.body_bytes > MAX_BODY_BYTES:
                raise TooLongError
            if self.phase.leaving:               # nobody's job waits for it
                return await self._read_away(link)

    def closes(self, link: Link) -> bool:
        """Whether the connection ends with the answer that goes out now."""
        # Many ask once and stay.  They may hold so many connections and no more: then nobody can ask.
        many = link.new and len(self.idle) >= self.kept
        return many or self.phase.leaving and self.transfer_connection is None

    def _write(self, link: Link, answer: Answer, close: bool) -> None:
        headers = [(b"Content-Type", answer.kind), (b"Content-Length", b"%d" % len(answer.body))]
        if answer.retry_after > 0:
            headers.append((b"Retry-After", b"%.3f" % (answer.retry_after / 1000.0)))
        if close:
            headers.append((b"Connection", b"close"))
        link.write(h11.Response(status_code=answer.status, headers=headers), answer.body)

    async def _answer(self, link: Link, head: h11.Request, body: bytes, whole: bool) -> bool:
        """Answers a message; whether the connection can carry another."""
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
            # The same id twice at once would put two attempts of one request out together.
            return await self._reply(link, Answer(409, b"this request is already in work", close=not whole))
        repeat = any(n == b"x-repeat" and v.strip() == b"1" for n, v in head.headers)
        return await self._process_job(link, request, content, repeat)

    async def _process_job(self, link: Link, request: io.Request, content: Content, repeat: bool) -> bool:
        """The whole life of a job, to the last byte of its answer; ``repeat``: another try has been
        before."""
        counters = self.core.counters
        counters.add(f"taken.http.{request.service}")
        job, word, hold = None, "nobody", None
        sink = AnswerSink(self, link)
        try:
            if content.upload is not None:
                await sink.slot()            # its rest waits in the socket until there is room for it
            taken = await self._custody(link, request, content, repeat)
            if isinstance(taken, Answer):
                word = _WORDS.get(taken.status, "failed")
                return await self._reply(link, taken)
            if taken is not None:
                hold, request = taken, taken.told(request)
            job = self.core.take(request)
            link.reader.on_end = functools.partial(self.core.abandon, job)
            if link.reader.ended():
                self.core.abandon(job)
            if content.upload is not None:
                wait = request.due - upload_time(content.upload) - self.wheel.now()
                content.upload.set_callbacks(functools.partial(self.core.body_consumed, job),
                                    lambda: self.core.set_due(job, self.wheel.now() + wait))
            answer, word = await self._decided(job, content, sink, hold)
        except Exception:
            # A failure of our own costs this job alone; what it had out is closed by the attempt itself.
            log.exception("job %s failed", request.request)
            counters.add("errors.job")
            if job is not None:
                self.core.abandon(job)
            answer, word = Answer(500), "failed"
        try:
            link.reader.on_end = None
            if job is not None and job.deadline_timer is not None:
                job.deadline_timer.cancel()
            if job is not None and job.abandoned and word != "failed":
                word = "nobody"
            if answer is not None:
                more = await self._reply(link, answer)
                self.core.crash_point("answer passed on")
                return more
            if sink.whole:
                await self._body_away(link)
                return not sink.close and link.start_next_cycle()
            self._close(link)             # so that the submitter can tell that its answer is not whole
            return False
        except OSError:
            word = "nobody"
            raise
        finally:
            sink.release()
            if hold is not None:
                hold.close()
            # Counted when its last byte has gone out: until then it is taken and not ended.
            if job is not None:
                self.core.close(job)
            counters.add(f"answered.{word}")
            counters.add(f"class.{word}.{request.service}")

    async def _custody(self, link: Link, request: io.Request, content: Content,
                       repeat: bool) -> Hold | Answer | None:
        """The job in this limiter's hand, or its answer where another has it; None: it has no custody."""
        key = next((v for n, v in content.headers if n == b"idempotency-key"), b"")
        if self.keeper is None or not key or not self.keeper.wants(request.service):
            return None
        if content.upload is not None:
            self.core.counters.add("custody.without")        # what flows cannot be kept
            return None
        taken = await self.keeper.take(request, content, key, repeat, link.reader.ended)
        if not isinstance(taken, StoredAnswer):
            return taken
        later = min(self.core.settings.max_retry_after, LEASE_MS) if taken.status == 503 else 0.0
        return Answer(taken.status, taken.body, taken.kind or b"text/plain", later)

    async def _decided(self, job: Job, content: Content, sink: AnswerSink,
                       hold: Hold | None) -> tuple[Answer | None, str]:
        """The job's answer, None where it has gone out already, and the word that it is counted under."""
        while True:
            match action := await job.next():
                case io.Send():
                    if hold is not None and self.keeper is not None and not await self.keeper.send(
                            hold, job, action):
                        again = Answer(503, retry_after=min(self.core.settings.max_retry_after, LEASE_MS))
                        return (Answer(502), "failed") if hold.began else (again, "refused")
                    try:
                        ended: AttemptOutcome = await self.nodes.attempt(job, action, content, sink)
                    except UploadAbortedError as error:
                        self.core.attempt_ended(job, action.server, io.Result.CONNECT_FAILED, 0.0, stale=True)
                        return _broken_off(error.__cause__), "failed"
                    self.core.attempt_ended(job, action.server, ended.result, ended.took, ended.spoilt,
                                            ended.stale)
                    if ended.streamed:
                        return None, "served" if ended.whole else "failed"
                    if ended.result is io.Result.OK:
                        if hold is not None:
                            await hold.answered(200, ended.kind, ended.body)
                        return Answer(200, ended.body, ended.kind), "served"
                    if job.abandoned:
                        return Answer(502, close=True), "nobody"
                case io.Refuse():
                    return refusal(action), "refused"
                case _:
                    return Answer(502, close=job.abandoned), "nobody" if job.abandoned else "failed"


def _broken_off(error: BaseException | None) -> Answer:
    """What a submitter is told whose body failed in the middle, if it is still there."""
    if isinstance(error, PeerTooSlowError):
        return Answer(408, b"its body came too slowly", close=True)
    if isinstance(error, TooLongError):
        return Answer(413, close=True)
    return Answer(400, b"its body broke off", close=True)


class AnswerSink:
    """A long answer on its way to a submitter."""

    def __init__(self, front: Front, link: Link) -> None:
        self.front, self.link = front, link
        self.close = self.whole = self.has_slot = False

    async def slot(self) -> None:
        """One of few places for what flows: it is this job's to its end."""
        if not self.has_slot:
            await self.front.flows.acquire()
            self.has_slot = True

    def release(self) -> None:
        if self.has_slot:
            self.has_slot = False
            self.front.flows.release()

    async def begin(self, kind: bytes, length: int | None) -> None:
        await self.slot()
        self.close = self.front.closes(self.link)
        headers = [(b"Content-Type", kind)]
        headers.append((b"Transfer-Encoding", b"chunked") if length is None
                       else (b"Content-Length", b"%d" % length))
        if self.close:
            headers.append((b"Connection", b"close"))
        self._write(h11.Response(status_code=200, headers=headers))

    async def piece(self, data: bytes) -> None:
        self._write(h11.Data(data=data))
        await self._out()

    async def end(self) -> None:
        self._write(h11.EndOfMessage())
        await self._out()
        self.whole = True

    def _write(self, event: h11.Event) -> None:
        self.link.writer.write(self.link.http.send(event) or b"")

    async def _out(self) -> None:
        """A submitter may be slow, and not for good."""
        timer = self.front.wheel.after(STALL_TIMEOUT_MS, self.link.abort)
        try:
            await self.link.writer.drain()
        finally:
            timer.cancel()
