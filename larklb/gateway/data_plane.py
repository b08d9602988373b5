"""The data plane: a client's request from its last byte to its answer.

Route, key, quota, server, further tries: each is decided elsewhere, without I/O; here they follow each other.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

import h11
from attrs import define, field

from larklb.admission.budget import RetryBudget
from larklb.admission.cancellation import Cause
from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.quota_records import Verdict
from larklb.admission.tries import AttemptHistory, AttemptOutcome, NextStep
from larklb.assignment.assignment import caller_key
from larklb.gateway.request_work import RequestWork
from larklb.gateway.servers import MIN_TIME_LEFT_MS, Message, Reply, ServerConnections, end_to_end_headers
from larklb.net.http import Link
from larklb.schema.configuration import Configuration, Route, Tenant
from larklb.schema.routing import Keys, Routes, service_of, targets
from larklb.wheel import Wheel

RESPONSE_MARGIN_MS = 12.0  # of the client's time that is left for the answer's way back
RETRY_AFTER_MS = 60.0  # a refused request may come again after this: for want of room ...
MAX_RETRY_AFTER_MS = 400.0  # ... and at the most, as long as its time allows
DEFAULT_TIME_LEFT_MS = 30_000.0  # a client that tells no time waits this long
HEDGE_P95_FACTOR = 1.15  # times the slowest twentieth: then another server is asked as well
MIN_HEDGE_DELAY_SETPOINTS = 0.35  # ... but not before this part of the aim
MAX_HEDGE_DELAY_SETPOINTS = 0.85  # ... nor after this part
_LIMITER_HEADERS = frozenset((b"x-tenant", b"x-time-left", b"x-target-instance", b"expect"))
_LIMITER_AND_KEY_HEADERS = _LIMITER_HEADERS | {b"authorization"}

Quota = Callable[[Tenant], Awaitable[Verdict | None]]


@define(frozen=True)
class ClientRequest:
    """One request that may be served; times are the wheel's ms."""

    route: Route
    tenant: Tenant | None
    message: Message
    began: float
    due: float  # when its answer is of no use any more
    limit: Cause  # whose time ends then
    caller: int | None  # who stays at a server, where the route's callers do


@define(frozen=True)
class ActiveConfiguration:
    """A configuration as the data plane uses it."""

    version: int
    configuration: Configuration
    routes: Routes
    keys: Keys
    has_caller_affinity: bool  # some route's callers stay put


def prepare_configuration(configuration: Configuration) -> ActiveConfiguration:
    """A checked configuration, ready for use."""
    has_caller_affinity = any(
        route.affinity == "caller" for host in configuration.hosts for route in host.paths
    )
    return ActiveConfiguration(
        configuration.version, configuration, Routes(configuration), Keys(configuration), has_caller_affinity
    )


def refusal(status: int, again_ms: float = 0.0) -> Reply:
    """An answer of our own; where the request has not run, when to come back."""
    headers = [(b"Retry-After", b"%.3f" % (again_ms / 1000.0))] if again_ms > 0 else []
    return Reply(status, headers)


@define
class DataPlane:
    """Answers clients."""

    wheel: Wheel
    servers: ServerConnections
    choice: ServerSelector
    budget: RetryBudget
    quota: Quota  # a tenant's verdict; None: no word yet, and none to be had
    random: random.Random
    count: Counter[str] = field(factory=Counter)
    active: ActiveConfiguration | None = None
    caller_affinity: bool = False  # callers stay put where a route doesn't say
    background: set[asyncio.Task[tuple[AttemptOutcome, Reply | None]]] = field(factory=set)
    works: set[RequestWork] = field(factory=set)

    async def answer(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        """The answer to one request of a client; nothing is sent any more once the client has left."""
        taken = self._taken(head, body)
        if isinstance(taken, Reply):
            return taken
        work = RequestWork(
            self.wheel, self.count, taken.route.route_type == "safe", taken.due, limit=taken.limit
        )
        self.works.add(work)
        client_gone = partial(work.end, Cause.CLIENT_GONE)
        link.reader.on_end = client_gone
        if link.reader.ended():
            client_gone()
        try:
            return await self._worked(taken, work)
        finally:
            link.reader.on_end = None
            work.answered()
            self.works.discard(work)

    def _taken(self, head: h11.Request, body: bytes) -> ClientRequest | Reply:
        """What a request asks for, or its answer where it can't be served."""
        began, state = self.wheel.now(), self.active
        self.count["taken"] += 1
        if state is None:
            self.count["refused.no_configuration"] += 1
            return refusal(503, MAX_RETRY_AFTER_MS)
        headers = dict(head.headers)
        target = bytes(head.target)
        if not target.startswith(b"/"):
            target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
        host = headers.get(b"host", b"").decode("latin-1")
        route = state.routes.find(host, target.decode("latin-1"))
        if route is None:
            self.count["no_route"] += 1
            return refusal(404)
        tenant, refused = self._tenant(state, route, headers)
        if refused is not None:
            return refused
        name = headers.get(b"x-attempt-id", b"")
        if not name or sum(n == b"x-attempt-id" for n, _ in head.headers) > 1:
            return refusal(400)
        given, allowed = _time_left(headers) - RESPONSE_MARGIN_MS, route.timeout_ms
        caller = None
        if route.affinity == "caller" or route.affinity is None and self.caller_affinity:
            finer = headers.get(route.affinity_header.lower().encode(), b"") if route.affinity_header else b""
            caller = caller_key(
                tenant.name if tenant is not None else "", route.name, finer.decode("latin-1")
            )
        return ClientRequest(
            route,
            tenant,
            self._message(state, head, target, name, body, tenant),
            began,
            began + min(given, allowed),
            Cause.DEADLINE if given <= allowed else Cause.ROUTE_TIMEOUT,
            caller,
        )

    async def _worked(self, taken: ClientRequest, work: RequestWork) -> Reply:
        tenant = taken.tenant
        if work.wanted and tenant is not None and not taken.route.unkeyed and tenant.rate_per_s > 0:
            verdict = await work.unless_ended(self.quota(tenant))
            if work.wanted and verdict is not None and not verdict.allowed:
                self.count["refused.quota"] += 1
                return refusal(429, self._again(taken.due, max(RETRY_AFTER_MS, verdict.retry_after_ms)))
        # A close that came with the request is read in the loop's next turn, and before anything is sent.
        await asyncio.sleep(0)
        return await self._served(taken, work)

    def shut_down(self) -> None:
        """The grace of an orderly stop is used up: each request that is left has its answer now."""
        for work in tuple(self.works):
            work.end(Cause.SHUTDOWN)

    def _tenant(
        self, state: ActiveConfiguration, route: Route, headers: dict[bytes, bytes]
    ) -> tuple[Tenant | None, Reply | None]:
        if not state.keys.needed:
            return None, None
        word, _, key = headers.get(b"authorization", b"").partition(b" ")
        tenant = state.keys.tenant(key.strip().decode("latin-1")) if word.lower() == b"bearer" else None
        if tenant is None and not route.unkeyed:
            self.count["no_key"] += 1
            return None, refusal(401)
        return tenant, None

    @staticmethod
    def _message(
        state: ActiveConfiguration,
        head: h11.Request,
        target: bytes,
        name: bytes,
        body: bytes,
        tenant: Tenant | None,
    ) -> Message:
        passed = end_to_end_headers(
            head.headers, _LIMITER_AND_KEY_HEADERS if state.keys.needed else _LIMITER_HEADERS
        )
        if body or head.method not in (b"GET", b"HEAD"):
            passed.append((b"Content-Length", b"%d" % len(body)))
        if tenant is not None:
            passed.append((b"X-Tenant", tenant.name.encode()))
        return Message(name, bytes(head.method), target, passed, body)

    def _again(self, due: float, wanted: float) -> float:
        """When a refused request may come again: within a third of its time, as clients heed no longer."""
        return max(1.0, min(wanted, MAX_RETRY_AFTER_MS, (due - self.wheel.now()) / 4.0))

    # Attempts -----------------------------------------------------------------------------

    async def _served(self, taken: ClientRequest, work: RequestWork) -> Reply:
        route, due, caller = taken.route, taken.due, taken.caller
        course, tried = AttemptHistory(work.safe, route.tries), set[str]()
        service = service_of(route, self.random.random())
        self.budget.record_request(taken.began, service)
        last = NextStep.REFUSE
        while True:
            now = self.wheel.now()
            if now >= due - MIN_TIME_LEFT_MS:
                return self._own(course, NextStep.TIME_OUT if course.may_have_run else NextStep.REFUSE, due)
            if work.abandoned:
                return self._ended(course, due)
            place = self._pick(now, route, service, tried, caller)
            if place is None or course.needs_budget() and not self.budget.take_retry(now, place.target):
                return self._own(course, last, due)
            tried.add(place.id)
            end, reply = await self._attempt(taken, service, course, place, tried, work)
            step, otherwise = course.record_outcome(end)
            self.count[f"end.{end.value}"] += 1
            if step is NextStep.RETRY:
                last = otherwise
                if (
                    otherwise is NextStep.FORWARD
                    and reply is not None
                    and (
                        self.wheel.now() >= due - MIN_TIME_LEFT_MS
                        or not work.wanted
                        or not self.budget.can_retry(self.wheel.now(), service)
                        or self._pick(self.wheel.now(), route, service, tried) is None
                    )
                ):
                    return reply
                if otherwise is NextStep.FORWARD:
                    last = NextStep.FAIL
                continue
            if step is NextStep.FORWARD and reply is not None:
                self.count["passed"] += 1
                return reply
            return self._ended(course, due) if work.abandoned else self._own(course, step, due)

    def _ended(self, course: AttemptHistory, due: float) -> Reply:
        """Nothing is sent any more: an answer for whoever may still read it, and the connection's end."""
        reply = self._own(course, NextStep.FAIL if course.may_have_run else NextStep.REFUSE, due)
        reply.close = True
        return reply

    def _pick(
        self, now: float, route: Route, service: str, tried: set[str], caller: int | None = None
    ) -> ServerState | None:
        place = self.choice.pick(now, service, route.name, route.setpoint_ms, tried, caller)
        if place is None:
            for other in targets(route):
                if other != service:
                    place = place or self.choice.pick(now, other, route.name, route.setpoint_ms, tried)
        return place

    async def _attempt(
        self,
        taken: ClientRequest,
        service: str,
        course: AttemptHistory,
        place: ServerState,
        tried: set[str],
        work: RequestWork,
    ) -> tuple[AttemptOutcome, Reply | None]:
        """One attempt; a safe request that waits for longer than nearly all is sent to a second server
        too."""
        route, message, due = taken.route, taken.message, taken.due
        first = self.servers.attempt(place, route.name, message, work)
        aim = route.setpoint_ms
        patience = max(
            MIN_HEDGE_DELAY_SETPOINTS * aim, HEDGE_P95_FACTOR * self.choice.route_latency(route.name).p95
        )
        now = self.wheel.now()
        if (
            not course.safe
            or course.sent + 1 >= course.max_attempts
            or patience > min(MAX_HEDGE_DELAY_SETPOINTS * aim, due - now)
        ):
            return await first
        tasks = {self._task(first)}
        done, _ = await asyncio.wait(tasks, timeout=patience / 1000.0)
        if not done and work.wanted:
            now = self.wheel.now()
            other = self.choice.pick(now, service, route.name, aim, tried)
            if other is not None and self.budget.take_retry(now, service):
                self.count["hedged"] += 1
                tried.add(other.id)
                course.sent += 1
                course.may_have_run = True
                tasks.add(self._task(self.servers.attempt(other, route.name, message, work)))
        ended: tuple[AttemptOutcome, Reply | None] = (AttemptOutcome.TIMED_OUT, None)
        while tasks:
            done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                ended = task.result()
                if ended[0] is AttemptOutcome.ANSWER:
                    work.end_others()
                    return ended
        return ended

    def _task(
        self, attempt: Awaitable[tuple[AttemptOutcome, Reply | None]]
    ) -> asyncio.Task[tuple[AttemptOutcome, Reply | None]]:
        task = asyncio.ensure_future(attempt)
        self.background.add(task)
        task.add_done_callback(self._over)
        return task

    def _over(self, task: asyncio.Task[tuple[AttemptOutcome, Reply | None]]) -> None:
        self.background.discard(task)
        if not task.cancelled():
            task.exception()  # whoever waited for it may have its answer from the other one

    def _own(self, course: AttemptHistory, step: NextStep, due: float) -> Reply:
        """An answer of our own."""
        step = course.without_false_refusal(step)
        self.count[f"own.{step.value}"] += 1
        if step is NextStep.REFUSE:
            return refusal(503, self._again(due, RETRY_AFTER_MS * (1.0 + self.random.random())))
        return Reply(504 if step is NextStep.TIME_OUT else 502)


def _time_left(headers: dict[bytes, bytes]) -> float:
    try:
        left = float(headers.get(b"x-time-left", b""))
    except ValueError:
        return DEFAULT_TIME_LEFT_MS
    return left if 0 <= left < 3_600_000.0 else DEFAULT_TIME_LEFT_MS
