"""Connections to servers, and attempts on them: one request out, one whole answer back, or how it failed.

An answer is held until its last byte: what ends early never looks complete to a client.  Bytes behind an
answer end the connection; an answer to another request than the one asked is read away.
"""

from __future__ import annotations

import asyncio
import re
from collections import defaultdict
from collections.abc import Iterable

import h11
from attrs import define, field

from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.tries import AttemptOutcome
from larklb.gateway.request_work import Attempt, RequestWork
from larklb.net.http import LateError, Link, TooLongError, dial, finished
from larklb.wheel import Wheel

MAX_ANSWER_BYTES = 32 * 1024 * 1024  # bytes of an answer that are held
DEFAULT_IDLE_TIMEOUT_MS = (
    4_000.0  # a connection that rests is closed after so long, where the server tells no time
)
# ...
IDLE_TIMEOUT_FRACTION = 0.4  # ... or after this part of the time that it tells
MAX_IDLE_FOR_UNSAFE_MS = (
    1_500.0  # an unsafe request goes only on a connection that rested less: it can't go twice
)
MIN_IDLE_BEFORE_REUSE_MS = (
    10.0  # from an answer to the next use of its connection: what follows it has come then
)
REGIONAL_DIAL_TIMEOUT_MS = 250.0  # for a connection to come up in this region ...
REMOTE_DIAL_TIMEOUT_MS = 600.0  # ... and in another
MAX_STRAY_ANSWERS = 2  # answers to other requests that are read away before the one that was asked for
SWEEP_INTERVAL_MS = 500.0
MIN_TIME_LEFT_MS = 4.0  # left of the time, below which nothing is sent any more
MISDIRECTED_EJECTION_MS = 10_000.0  # another server has the address: until the registry tells

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
Headers = list[tuple[bytes, bytes]]


@define
class Message:
    """What goes to a server, but for what each attempt adds."""

    id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@define
class Reply:
    """What goes back to a client.  ``headers`` as the server sent them, without those of one connection."""

    status: int
    headers: Headers = field(factory=list)
    body: bytes = b""
    reason: bytes = b""
    close: bool = False
    length: bytes = b""  # of a body that is told and not sent (HEAD)


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], beside: frozenset[bytes] = frozenset()
) -> Headers:
    """Headers but those of one connection, the length, and those named ``beside``."""
    named = {
        part.strip().lower() for name, value in headers if name == b"connection" for part in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP_HEADERS
        and name != b"content-length"
        and name not in named
        and name not in beside
    ]


class ServerConnections:
    """All connections to servers."""

    def __init__(
        self, wheel: Wheel, choice: ServerSelector, max_connections: int, count: dict[str, int]
    ) -> None:
        """``max_connections`` connections may be open; ``count`` takes what is counted."""
        self.wheel, self.choice, self.max_connections, self.count = wheel, choice, max_connections, count
        self.pools: defaultdict[str, list[tuple[Link, float]]] = defaultdict(list)  # by id, with its last
        # time
        self.open_connections = 0
        self.unnamed: set[Link] = set()  # connections on which an answer came that named no request
        wheel.after(SWEEP_INTERVAL_MS, self._sweep)

    # Connections --------------------------------------------------------------------------

    def _sweep(self) -> None:
        self.wheel.after(SWEEP_INTERVAL_MS, self._sweep)
        now = self.wheel.now()
        for name, pool in list(self.pools.items()):
            place = self.choice.servers.get(name)
            for link, until in list(pool):
                if now >= until or place is None or place.draining:
                    self._drop(name, link)
            if not pool:
                del self.pools[name]

    def _drop(self, name: str, link: Link) -> None:
        pool = self.pools.get(name, [])
        pool[:] = [kept for kept in pool if kept[0] is not link]
        self._end(link)

    def _end(self, link: Link) -> None:
        link.reader.on_end = None
        link.abort()
        self.unnamed.discard(link)
        self.open_connections -= 1

    def _pooled(self, name: str, safe: bool) -> Link | None:
        now = self.wheel.now()
        pool = self.pools.get(name, [])
        for index in range(len(pool) - 1, -1, -1):
            link, until = pool[index]
            rested = now - link.since
            if rested < MIN_IDLE_BEFORE_REUSE_MS:
                continue
            if now >= until or not safe and rested > MAX_IDLE_FOR_UNSAFE_MS:
                break
            if not safe and link in self.unnamed:
                continue  # a copy of that answer could pass for the next one, and say that it has not run
            del pool[index]
            link.reader.on_end, link.reader.quiet = None, False
            return link
        return None

    def _keep(self, name: str, link: Link, answer: h11.Response | None) -> None:
        place = self.choice.servers.get(name)
        if place is None or place.draining or link.reader.ended() or link.more() or not link.again():
            self._end(link)
            return
        link.since = self.wheel.now()
        idle = DEFAULT_IDLE_TIMEOUT_MS
        for header, value in answer.headers if answer is not None else ():
            if header == b"keep-alive" and (told := _KEEP_ALIVE_TIMEOUT.search(value)):
                idle = min(idle, int(told[1]) * 1000.0 * IDLE_TIMEOUT_FRACTION)
        link.reader.on_end, link.reader.quiet = lambda: self._drop(name, link), True
        self.pools[name].append((link, link.since + idle))

    def _make_room(self) -> bool:
        """Whether one connection more may be opened, if need be in place of the one that rested longest."""
        if self.open_connections < self.max_connections:
            return True
        rests = [(pool[0][0].since, name) for name, pool in self.pools.items() if pool]
        if not rests:
            return False
        name = min(rests)[1]
        self._drop(name, self.pools[name][0][0])
        return True

    async def _dial(self, place: ServerState, within: float, attempt: Attempt) -> Link | None:
        if not self._make_room():
            self.count["no_descriptor"] += 1
            return None
        self.open_connections += 1
        self.count["dialled"] += 1
        host, _, port = place.address.rpartition(":")
        dialling = attempt.dialling = asyncio.ensure_future(dial(host, int(port)))
        link = None
        try:
            link = await finished(dialling, within, self.wheel)
        finally:
            attempt.dialling = None
            if link is None:
                self.open_connections -= 1
        return link

    # Attempts -----------------------------------------------------------------------------

    async def attempt(
        self, place: ServerState, route: str, message: Message, work: RequestWork
    ) -> tuple[AttemptOutcome, Reply | None]:
        """Sends a request to a server; how that ended, and the answer, if any."""
        if not work.may_attempt:
            return AttemptOutcome.UNSENT, None
        self.choice.record_start(place)
        attempt = work.start_attempt()
        try:
            return await self._tried(place, route, message, work, attempt)
        except BaseException:
            self.choice.release(place)
            raise
        finally:
            work.finish_attempt(attempt)

    async def _tried(
        self, place: ServerState, route: str, message: Message, work: RequestWork, attempt: Attempt
    ) -> tuple[AttemptOutcome, Reply | None]:
        choice, started = self.choice, self.wheel.now()
        link = self._pooled(place.id, work.safe)
        if link is None:
            near = choice.regions.get(place.zone) == choice.regions.get(choice.zone)
            within = min(
                work.deadline - started, REGIONAL_DIAL_TIMEOUT_MS if near else REMOTE_DIAL_TIMEOUT_MS
            )
            link = await self._dial(place, within, attempt)
            if link is None:
                if attempt.ended_by is None or attempt.timed_out:
                    choice.record_failure(self.wheel.now(), place, True)
                else:
                    choice.release(place)
                return AttemptOutcome.UNSENT, None
        now = self.wheel.now()
        left = work.deadline - now
        # A dial takes time: the server may have begun to leave meanwhile.
        gone = place.draining or choice.servers.get(place.id) is not place
        if attempt.ended_by is not None or left < MIN_TIME_LEFT_MS or gone:
            choice.release(place)
            self._end(link)
            return AttemptOutcome.UNSENT, None
        attempt.link = link
        head = h11.Request(
            method=message.method,
            target=message.target,
            headers=[
                *message.headers,
                (b"X-Time-Left", b"%d" % left),
                (b"X-Target-Instance", place.id.encode()),
            ],
        )
        try:
            link.write(head, message.body)
            answer, body = await self._answer(link, head, message)
        except (OSError, LateError, TooLongError, h11.RemoteProtocolError):
            answer, body = None, b""
        except BaseException:
            self._end(link)
            raise
        now = self.wheel.now()
        if answer is None:
            self._end(link)
            return self._unanswered(now, place, route, now - started, attempt), None
        names = [value for name, value in answer.headers if name == b"x-attempt-id"]
        proof = bool(names) or link not in self.unnamed
        if not names:
            self.unnamed.add(link)
        if attempt.ended_by is None:
            self._keep(place.id, link, answer)
        else:
            self._end(link)  # its end crossed the answer
        return self._read(now, place, route, now - started, message, answer, body, proof)

    def _unanswered(
        self, now: float, place: ServerState, route: str, waited: float, attempt: Attempt
    ) -> AttemptOutcome:
        """What an attempt without an answer tells of its server, and how it ended."""
        if attempt.ended_by is None:
            self.choice.record_failure(now, place, False)
            return AttemptOutcome.BROKEN
        if attempt.timed_out:
            self.choice.record_failure(now, place, True)
            return AttemptOutcome.TIMED_OUT
        self.choice.record_abandonment(now, place, route, waited)
        return AttemptOutcome.ABANDONED

    async def _answer(
        self, link: Link, head: h11.Request, message: Message
    ) -> tuple[h11.Response | None, bytes]:
        """The answer that has this request's id; None where the connection brings none that can be used."""
        for _ in range(MAX_STRAY_ANSWERS + 1):
            answer = await link.head()
            if answer is None:
                return None, b""
            body = []
            while (part := await link.piece()) is not None:
                body.append(part)
                if link.size > MAX_ANSWER_BYTES:
                    raise TooLongError
            told = [value for name, value in answer.headers if name == b"x-attempt-id"]
            if not told or told == [message.id]:
                return answer, b"".join(body)
            # What stands here answers an earlier request: this one's answer comes behind it.
            if link.http.their_state is not h11.DONE or link.http.our_state is not h11.DONE:
                return None, b""
            rest = link.http.trailing_data[0]
            link.http = h11.Connection(h11.CLIENT)
            link.http.send(head)
            if message.body:
                link.http.send(h11.Data(data=message.body))
            link.http.send(h11.EndOfMessage())
            if rest:
                link.http.receive_data(rest)
        return None, b""

    def _read(
        self,
        now: float,
        place: ServerState,
        route: str,
        took: float,
        message: Message,
        answer: h11.Response,
        body: bytes,
        proof: bool,
    ) -> tuple[AttemptOutcome, Reply | None]:
        """What an answer means; ``proof``: it is this request's, by its id, or as no other answer without
        one came on its connection before."""
        headers = dict(answer.headers)
        status, choice = answer.status_code, self.choice
        if b"x-not-run" in headers or status == 421:
            if not proof:
                choice.record_failure(now, place, False)
                return AttemptOutcome.BROKEN, None
            if status == 421:
                choice.record_failure(now, place, False)
                place.ejected_until = now + MISDIRECTED_EJECTION_MS
            else:
                choice.record_rejection(now, place)
            self.count["turned_away"] += 1
            return AttemptOutcome.NOT_RUN, None
        framed = b"content-length" in headers or b"transfer-encoding" in headers
        whole = framed or status in (204, 304) or message.method == b"HEAD"
        named = b"x-attempt-id" in headers  # else it may answer anything
        sealed = b"x-server-seal" in headers or status >= 300
        if not named or not sealed or not whole or b"content-encoding" in headers:
            choice.record_failure(now, place, False)
            return AttemptOutcome.BROKEN, None
        choice.record_answer(now, place, route, took, status < 500)
        if load := headers.get(b"x-load"):
            self._told(now, place, load)
        reply = Reply(
            status,
            end_to_end_headers(answer.headers),
            body,
            bytes(answer.reason),
            length=headers.get(b"content-length", b"") if message.method == b"HEAD" else b"",
        )
        if status >= 500 or status in (408, 429):
            # Such a status of its own would be a promise, and this server says nothing of not having run.
            if status in (408, 429, 503):
                reply = Reply(502)
            return AttemptOutcome.ERROR, reply
        return AttemptOutcome.ANSWER, reply

    def _told(self, now: float, place: ServerState, load: bytes) -> None:
        try:
            running, waiting, slots = (int(part) for part in load.split(b","))
        except ValueError:
            return  # it tells nothing that could be used
        if 0 <= running < 1 << 20 and 0 <= waiting < 1 << 20 and 0 < slots < 1 << 20:
            place.slots = slots
            self.choice.record_load(now, place, running, waiting)

    def close(self) -> None:
        """Ends all that rests."""
        for name, pool in list(self.pools.items()):
            for link, _ in list(pool):
                self._drop(name, link)
