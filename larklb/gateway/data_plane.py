"""The data plane: takes a client's request from its last byte to its answer.

The decisions on the route, the key, the quota, the server and retries are made by modules that do no input or
output; this module calls them in order and carries them out.
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
from larklb.admission.quota_records import QuotaDecision
from larklb.admission.tries import AttemptHistory, AttemptOutcome, NextStep
from larklb.assignment.assignment import caller_key
from larklb.gateway.request_work import RequestWork
from larklb.gateway.servers import MIN_TIME_LEFT_MS, Message, Reply, ServerConnections, end_to_end_headers
from larklb.net.http import Link
from larklb.schema.configuration import Configuration, Route, Tenant
from larklb.schema.routing import Keys, Routes, service_of, targets
from larklb.wheel import Wheel

# Part of the client's time that is reserved for the answer's way back.
RESPONSE_MARGIN_MS = 12.0
# Shortest Retry-After of a refused request; drawn between this and twice this if no server has room.
RETRY_AFTER_MS = 60.0
# Longest Retry-After of a refused request.
MAX_RETRY_AFTER_MS = 400.0
# Time allowed to a request whose client states none.
DEFAULT_TIME_LEFT_MS = 30_000.0
# Hedging delay as a multiple of the route's 95th percentile latency.
HEDGE_P95_FACTOR = 1.15
# Shortest hedging delay, as a fraction of the route's setpoint.
MIN_HEDGE_DELAY_SETPOINTS = 0.35
# Longest hedging delay, as a fraction of the route's setpoint. A request whose delay would be longer is not
# hedged.
MAX_HEDGE_DELAY_SETPOINTS = 0.85
# Headers that servers get from the limiter alone, or not at all.
_LIMITER_HEADERS = frozenset((b"x-tenant", b"x-time-left", b"x-target-instance", b"expect"))
_LIMITER_AND_KEY_HEADERS = _LIMITER_HEADERS | {b"authorization"}

QuotaRequest = Callable[[Tenant], Awaitable[QuotaDecision | None]]


@define(frozen=True)
class ClientRequest:
    """A request that may be served; times are in ms of the wheel's clock."""

    route: Route
    tenant: Tenant | None
    message: Message
    received_at: float
    # Time after which the answer is of no use, and the cause for which the request ends then.
    deadline: float
    deadline_cause: Cause
    # Key of the caller if the route keeps its callers on the same servers.
    caller: int | None


@define(frozen=True)
class ActiveConfiguration:
    """A configuration and the indexes that the data plane derives from it."""

    version: int
    configuration: Configuration
    routes: Routes
    keys: Keys
    # Whether any route keeps its callers on the same servers.
    has_caller_affinity: bool


def prepare_configuration(configuration: Configuration) -> ActiveConfiguration:
    """Builds the indexes of a checked configuration."""
    has_caller_affinity = any(
        route.affinity == "caller" for host in configuration.hosts for route in host.paths
    )
    return ActiveConfiguration(
        configuration.version, configuration, Routes(configuration), Keys(configuration), has_caller_affinity
    )


def refusal(status: int, retry_after_ms: float = 0.0) -> Reply:
    """Returns an answer of the limiter's own, with a Retry-After header if ``retry_after_ms`` is positive."""
    headers = [(b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0))] if retry_after_ms > 0 else []
    return Reply(status, headers)


@define
class DataPlane:
    """Answers the requests of clients."""

    wheel: Wheel
    server_connections: ServerConnections
    selector: ServerSelector
    budget: RetryBudget
    # Returns the decision on one request by the tenant's quota, or None if no quota applies.
    request_decision: QuotaRequest
    random: random.Random
    count: Counter[str] = field(factory=Counter)
    active: ActiveConfiguration | None = None
    # Whether callers stay on the same servers on routes that don't specify it.
    caller_affinity: bool = False
    attempt_tasks: set[asyncio.Task[tuple[AttemptOutcome, Reply | None]]] = field(factory=set)
    requests_in_progress: set[RequestWork] = field(factory=set)

    async def answer(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        """Returns the answer to a client's request; starts no further attempt once the client has left."""
        request = self._parse(head, body)
        if isinstance(request, Reply):
            return request
        work = RequestWork(
            self.wheel,
            self.count,
            request.route.route_type == "safe",
            request.deadline,
            deadline_cause=request.deadline_cause,
        )
        self.requests_in_progress.add(work)
        client_gone = partial(work.end, Cause.CLIENT_GONE)
        link.reader.on_end = client_gone
        if link.reader.ended():
            client_gone()
        try:
            return await self._admit(request, work)
        finally:
            link.reader.on_end = None
            work.finish()
            self.requests_in_progress.discard(work)

    def _parse(self, head: h11.Request, body: bytes) -> ClientRequest | Reply:
        """Returns what a request asks for, or the answer to it if it can't be served."""
        received_at, configuration = self.wheel.now(), self.active
        self.count["taken"] += 1
        if configuration is None:
            self.count["refused.no_configuration"] += 1
            return refusal(503, MAX_RETRY_AFTER_MS)
        headers = dict(head.headers)
        target = bytes(head.target)
        if not target.startswith(b"/"):
            target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
        host = headers.get(b"host", b"").decode("latin-1")
        route = configuration.routes.find(host, target.decode("latin-1"))
        if route is None:
            self.count["no_route"] += 1
            return refusal(404)
        tenant, refused = self._authenticate(configuration, route, headers)
        if refused is not None:
            return refused
        attempt_id = headers.get(b"x-attempt-id", b"")
        if not attempt_id or sum(header == b"x-attempt-id" for header, _ in head.headers) > 1:
            return refusal(400)
        client_limit, route_limit = _time_left(headers) - RESPONSE_MARGIN_MS, route.timeout_ms
        caller = None
        if route.affinity == "caller" or route.affinity is None and self.caller_affinity:
            affinity_value = (
                headers.get(route.affinity_header.lower().encode(), b"") if route.affinity_header else b""
            )
            caller = caller_key(
                tenant.name if tenant is not None else "", route.name, affinity_value.decode("latin-1")
            )
        return ClientRequest(
            route,
            tenant,
            self._build_message(configuration, head, target, attempt_id, body, tenant),
            received_at,
            received_at + min(client_limit, route_limit),
            Cause.DEADLINE if client_limit <= route_limit else Cause.ROUTE_TIMEOUT,
            caller,
        )

    async def _admit(self, request: ClientRequest, work: RequestWork) -> Reply:
        """Answers 429 if the tenant's quota refuses the request, otherwise makes the attempts."""
        tenant = request.tenant
        if work.may_attempt and tenant is not None and not request.route.unkeyed and tenant.rate_per_s > 0:
            decision = await work.run_unless_ended(self.request_decision(tenant))
            if work.may_attempt and decision is not None and not decision.allowed:
                self.count["refused.quota"] += 1
                return refusal(
                    429, self._retry_after_ms(request.deadline, max(RETRY_AFTER_MS, decision.retry_after_ms))
                )
        # If the client's close arrived together with the request, it is read in the next iteration of the
        # event loop, before anything is sent.
        await asyncio.sleep(0)
        return await self._run_attempts(request, work)

    def shut_down(self) -> None:
        """Ends the requests still in progress when the grace period is over; each is answered at once."""
        for work in tuple(self.requests_in_progress):
            work.end(Cause.SHUTDOWN)

    def _authenticate(
        self, configuration: ActiveConfiguration, route: Route, headers: dict[bytes, bytes]
    ) -> tuple[Tenant | None, Reply | None]:
        """Returns the tenant of the request's key, or None, and the refusal if the route requires a key."""
        if not configuration.keys.needed:
            return None, None
        scheme, _, key = headers.get(b"authorization", b"").partition(b" ")
        tenant = (
            configuration.keys.tenant(key.strip().decode("latin-1")) if scheme.lower() == b"bearer" else None
        )
        if tenant is None and not route.unkeyed:
            self.count["no_key"] += 1
            return None, refusal(401)
        return tenant, None

    @staticmethod
    def _build_message(
        configuration: ActiveConfiguration,
        head: h11.Request,
        target: bytes,
        attempt_id: bytes,
        body: bytes,
        tenant: Tenant | None,
    ) -> Message:
        headers = end_to_end_headers(
            head.headers, _LIMITER_AND_KEY_HEADERS if configuration.keys.needed else _LIMITER_HEADERS
        )
        if body or head.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"%d" % len(body)))
        if tenant is not None:
            headers.append((b"X-Tenant", tenant.name.encode()))
        return Message(attempt_id, bytes(head.method), target, headers, body)

    def _retry_after_ms(self, deadline: float, desired_ms: float) -> float:
        """Returns the Retry-After of a refused request in ms.

        Clients ignore a delay of more than a third of their time, so it is at most a quarter of what is
        left."""
        return max(1.0, min(desired_ms, MAX_RETRY_AFTER_MS, (deadline - self.wheel.now()) / 4.0))

    # Attempts -----------------------------------------------------------------------------

    async def _run_attempts(self, request: ClientRequest, work: RequestWork) -> Reply:
        """Makes attempts until one brings an answer to forward, or none may follow."""
        route, deadline, caller = request.route, request.deadline, request.caller
        history, tried_servers = AttemptHistory(work.safe, route.tries), set[str]()
        service = service_of(route, self.random.random())
        self.budget.record_request(request.received_at, service)
        fallback_step = NextStep.REFUSE
        while True:
            now = self.wheel.now()
            if now >= deadline - MIN_TIME_LEFT_MS:
                return self._own_answer(
                    history, NextStep.TIME_OUT if history.may_have_run else NextStep.REFUSE, deadline
                )
            if work.abandoned:
                return self._abandoned_answer(history, deadline)
            server = self._select_server(now, route, service, tried_servers, caller)
            if server is None or history.needs_budget() and not self.budget.take_retry(now, server.target):
                return self._own_answer(history, fallback_step, deadline)
            tried_servers.add(server.id)
            outcome, reply = await self._attempt(request, service, history, server, tried_servers, work)
            step, alternative = history.record_outcome(outcome)
            self.count[f"end.{outcome.value}"] += 1
            if step is NextStep.RETRY:
                fallback_step = alternative
                if (
                    alternative is NextStep.FORWARD
                    and reply is not None
                    and (
                        self.wheel.now() >= deadline - MIN_TIME_LEFT_MS
                        or not work.may_attempt
                        or not self.budget.can_retry(self.wheel.now(), service)
                        or self._select_server(self.wheel.now(), route, service, tried_servers) is None
                    )
                ):
                    return reply
                if alternative is NextStep.FORWARD:
                    fallback_step = NextStep.FAIL
                continue
            if step is NextStep.FORWARD and reply is not None:
                self.count["passed"] += 1
                return reply
            return (
                self._abandoned_answer(history, deadline)
                if work.abandoned
                else self._own_answer(history, step, deadline)
            )

    def _abandoned_answer(self, history: AttemptHistory, deadline: float) -> Reply:
        """Returns the answer to a request that was abandoned, after which the connection is closed."""
        reply = self._own_answer(
            history, NextStep.FAIL if history.may_have_run else NextStep.REFUSE, deadline
        )
        reply.close = True
        return reply

    def _select_server(
        self, now: float, route: Route, service: str, tried_servers: set[str], caller: int | None = None
    ) -> ServerState | None:
        """Selects a server of ``service``, or else one of the route's other services."""
        server = self.selector.pick(now, service, route.name, route.setpoint_ms, tried_servers, caller)
        if server is None:
            for other_service in targets(route):
                if other_service != service:
                    server = server or self.selector.pick(
                        now, other_service, route.name, route.setpoint_ms, tried_servers
                    )
        return server

    async def _attempt(
        self,
        request: ClientRequest,
        service: str,
        history: AttemptHistory,
        server: ServerState,
        tried_servers: set[str],
        work: RequestWork,
    ) -> tuple[AttemptOutcome, Reply | None]:
        """Makes one attempt, and hedges it with a second server if a safe request waits unusually long."""
        route, message, deadline = request.route, request.message, request.deadline
        first = self.server_connections.attempt(server, route.name, message, work)
        setpoint = route.setpoint_ms
        hedge_delay = max(
            MIN_HEDGE_DELAY_SETPOINTS * setpoint,
            HEDGE_P95_FACTOR * self.selector.route_latency(route.name).p95,
        )
        now = self.wheel.now()
        if (
            not history.safe
            or history.sent + 1 >= history.max_attempts
            or hedge_delay > min(MAX_HEDGE_DELAY_SETPOINTS * setpoint, deadline - now)
        ):
            return await first
        tasks = {self._start_attempt_task(first)}
        done, _ = await asyncio.wait(tasks, timeout=hedge_delay / 1000.0)
        if not done and work.may_attempt:
            now = self.wheel.now()
            second = self.selector.pick(now, service, route.name, setpoint, tried_servers)
            if second is not None and self.budget.take_retry(now, service):
                self.count["hedged"] += 1
                tried_servers.add(second.id)
                history.sent += 1
                history.may_have_run = True
                tasks.add(
                    self._start_attempt_task(
                        self.server_connections.attempt(second, route.name, message, work)
                    )
                )
        result: tuple[AttemptOutcome, Reply | None] = (AttemptOutcome.TIMED_OUT, None)
        while tasks:
            done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                result = task.result()
                if result[0] is AttemptOutcome.ANSWER:
                    work.end_attempts()
                    return result
        return result

    def _start_attempt_task(
        self, attempt: Awaitable[tuple[AttemptOutcome, Reply | None]]
    ) -> asyncio.Task[tuple[AttemptOutcome, Reply | None]]:
        task = asyncio.ensure_future(attempt)
        self.attempt_tasks.add(task)
        task.add_done_callback(self._on_attempt_done)
        return task

    def _on_attempt_done(self, task: asyncio.Task[tuple[AttemptOutcome, Reply | None]]) -> None:
        self.attempt_tasks.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved, as the request may have been answered by the other attempt.
            task.exception()

    def _own_answer(self, history: AttemptHistory, step: NextStep, deadline: float) -> Reply:
        """Returns the limiter's own answer to a request for which no server's answer is forwarded."""
        step = history.without_false_refusal(step)
        self.count[f"own.{step.value}"] += 1
        if step is NextStep.REFUSE:
            return refusal(503, self._retry_after_ms(deadline, RETRY_AFTER_MS * (1.0 + self.random.random())))
        return Reply(504 if step is NextStep.TIME_OUT else 502)


def _time_left(headers: dict[bytes, bytes]) -> float:
    """Returns the ms that X-Time-Left states, or the default if the header is absent or invalid."""
    try:
        left = float(headers.get(b"x-time-left", b""))
    except ValueError:
        return DEFAULT_TIME_LEFT_MS
    return left if 0 <= left < 3_600_000.0 else DEFAULT_TIME_LEFT_MS
