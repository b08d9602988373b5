"""Handles a client's request, once it has been read completely, until its response is ready.

A *limiter* is one process of this gateway.  The rules for routing, authentication, quota, server selection
and retries are in modules without I/O; this module calls them and carries out their decisions.
"""

from __future__ import annotations

import asyncio
import logging
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
from larklb.gateway.error_log import ErrorLog
from larklb.gateway.request_work import RequestWork
from larklb.gateway.servers import MIN_TIME_LEFT_MS, Message, Reply, ServerConnections, end_to_end_headers
from larklb.net.http import Link
from larklb.schema.configuration import Configuration, Route, Tenant
from larklb.schema.header_text import header_value
from larklb.schema.routing import Keys, Routes, service_of, targets
from larklb.wheel import Wheel

log = logging.getLogger("data_plane")

# Subtracted from X-Time-Left (ms) so that the response reaches the client in time.
RESPONSE_MARGIN_MS = 12.0
# Retry-After of a refused request before it is limited by the client's remaining time.  A 503 uses a random
# multiple from 1 to 2 of it, so that clients do not return together.
BASE_RETRY_AFTER_MS = 60.0
# Longest Retry-After of a refused request.
MAX_RETRY_AFTER_MS = 400.0
# Time allowed to a request whose client states none, or none that is valid.
DEFAULT_TIME_LEFT_MS = 30_000.0
# Hedging delay as a multiple of the route's 95th percentile latency.  It is above 1, so that fewer than 5% of
# the requests wait long enough to be hedged.
HEDGE_P95_FACTOR = 1.15
# Shortest hedging delay, as a fraction of the route's setpoint.
MIN_HEDGE_DELAY_SETPOINTS = 0.35
# Longest hedging delay, as a fraction of the route's setpoint. A request whose delay would be longer is not
# hedged.
MAX_HEDGE_DELAY_SETPOINTS = 0.85
# Client headers that are not forwarded: the limiter sets the first three itself, `Expect` is dropped.
_LIMITER_HEADERS = frozenset((b"x-tenant", b"x-time-left", b"x-target-instance", b"expect"))
# The same if the configuration has keys: the client's key is not forwarded either.
_LIMITER_AND_KEY_HEADERS = _LIMITER_HEADERS | {b"authorization"}

# Decides on one request of a tenant; returns None if no quota applies.
DecideQuota = Callable[[Tenant], Awaitable[QuotaDecision | None]]


@define(frozen=True)
class ClientRequest:
    """A validated and authenticated request; times are in ms of the wheel's clock."""

    route: Route
    tenant: Tenant | None
    message: Message
    received_at: float
    # End of the client's time (less RESPONSE_MARGIN_MS) or of the route's timeout, whichever is earlier;
    # `deadline_cause` tells which.
    deadline: float
    deadline_cause: Cause
    # Hash identifying the caller, if caller affinity applies to the route (explicitly or by default).
    caller: int | None


@define(frozen=True)
class ActiveConfiguration:
    """A configuration and the indexes that the data plane derives from it."""

    version: int
    configuration: Configuration
    routes: Routes
    keys: Keys
    # Whether any route sets caller affinity explicitly.
    has_caller_affinity: bool


def prepare_configuration(configuration: Configuration) -> ActiveConfiguration:
    """Builds the indexes of a checked configuration."""
    has_caller_affinity = any(
        route.affinity == "caller" for host in configuration.hosts for route in host.paths
    )
    return ActiveConfiguration(
        configuration.version, configuration, Routes(configuration), Keys(configuration), has_caller_affinity
    )


def error_reply(status: int, retry_after_ms: float = 0.0) -> Reply:
    """Returns an error response, with a Retry-After header if ``retry_after_ms`` is positive."""
    headers = [(b"Retry-After", b"%.3f" % (retry_after_ms / 1000.0))] if retry_after_ms > 0 else []
    return Reply(status, headers)


@define
class DataPlane:
    """Answers the requests of clients."""

    wheel: Wheel
    server_connections: ServerConnections
    selector: ServerSelector
    budget: RetryBudget
    request_decision: DecideQuota
    random: random.Random
    # Counters of the process by key, among them `end.` with the outcome of each attempt, `own.` with the step
    # for which an error response was returned, and `refused.` with the reason of a refusal.
    count: Counter[str] = field(factory=Counter)
    # None until the first configuration has been applied.
    active: ActiveConfiguration | None = None
    # Default for routes without an `affinity` setting.
    caller_affinity: bool = False
    # Attempts that may be hedged and those that hedge them; referenced here until they end.
    attempt_tasks: set[asyncio.Task[tuple[AttemptOutcome, Reply | None]]] = field(factory=set)
    requests_in_progress: set[RequestWork] = field(factory=set)
    error_log: ErrorLog = field(factory=partial(ErrorLog, log))

    async def answer(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        """Returns the response to a client's request: a server's, or an error.

        Once the client has closed its connection, no further attempt is started. An unexpected error is
        logged and answered: with 503 if the request has certainly not run, else with 500.
        """
        try:
            request = self._parse(head, body)
        except Exception:
            return self._internal_error(None, None)
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
            return await self._check_quota_and_run(request, work)
        except Exception:
            return self._internal_error(request, work)
        finally:
            link.reader.on_end = None
            work.finish()
            self.requests_in_progress.discard(work)

    def _internal_error(self, request: ClientRequest | None, work: RequestWork | None) -> Reply:
        """Logs the exception that is being handled; returns the response to its request."""
        now = self.wheel.now()
        self.count["internal_error.request"] += 1
        self.server_connections.serving_check.record_local_failure(now)
        route = request.route.name if request is not None else "(none yet)"
        self.error_log.exception(now, f"data plane: unexpected error on route {route}")
        if work is None or request is None:
            return error_reply(503, MAX_RETRY_AFTER_MS)
        may_have_run = work.sent or any(attempt.sent for attempt in work.attempts)
        return (
            Reply(500)
            if may_have_run
            else error_reply(503, self._retry_after_ms(request.deadline, MAX_RETRY_AFTER_MS))
        )

    def _parse(self, head: h11.Request, body: bytes) -> ClientRequest | Reply:
        """Validates, routes and authenticates a request; returns it, or the error response."""
        received_at, active = self.wheel.now(), self.active
        self.count["taken"] += 1
        if active is None:
            self.count["refused.no_configuration"] += 1
            return error_reply(503, MAX_RETRY_AFTER_MS)
        if head.method == b"CONNECT":  # asks for a tunnel, and names no path
            return Reply(405, close=True)
        headers = dict(head.headers)
        request_target = bytes(head.target)
        if b"://" in request_target and not request_target.startswith(b"/"):
            request_target = b"/" + request_target.partition(b"://")[2].partition(b"/")[2]
        host = headers.get(b"host", b"").decode("latin-1")
        route = active.routes.find(host, request_target.decode("latin-1"))
        if route is None:
            self.count["no_route"] += 1
            return error_reply(404)
        tenant, error = self._authenticate(active, route, headers)
        if error is not None:
            return error
        # X-Attempt-Id identifies the client's request; all attempts made here carry it.
        message_id = headers.get(b"x-attempt-id", b"")
        if not message_id or sum(header == b"x-attempt-id" for header, _ in head.headers) > 1:
            return error_reply(400)
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
            self._build_message(active, head, request_target, message_id, body, tenant),
            received_at,
            received_at + min(client_limit, route_limit),
            Cause.DEADLINE if client_limit <= route_limit else Cause.ROUTE_TIMEOUT,
            caller,
        )

    async def _check_quota_and_run(self, request: ClientRequest, work: RequestWork) -> Reply:
        """Returns a 429 response if the tenant's quota refuses the request, otherwise makes the attempts."""
        tenant = request.tenant
        if work.may_attempt and tenant is not None and not request.route.unkeyed and tenant.rate_per_s > 0:
            decision = await work.run_unless_ended(self.request_decision(tenant))
            if work.may_attempt and decision is not None and not decision.allowed:
                self.count["refused.quota"] += 1
                return error_reply(
                    429,
                    self._retry_after_ms(request.deadline, max(BASE_RETRY_AFTER_MS, decision.retry_after_ms)),
                )
        # Yields to the event loop once, so that a client close that arrived with the request is noticed
        # before anything is sent.
        await asyncio.sleep(0)
        return await self._run_attempts(request, work)

    def shut_down(self) -> None:
        """Ends the requests that are still in progress when the grace period of a shutdown is over."""
        for work in tuple(self.requests_in_progress):
            work.end(Cause.SHUTDOWN)

    def _authenticate(
        self, active: ActiveConfiguration, route: Route, headers: dict[bytes, bytes]
    ) -> tuple[Tenant | None, Reply | None]:
        """Returns the tenant of the request's key and the error response.

        That is (tenant, None) for a valid key, (None, None) if none is needed and (None, 401 response) if a
        valid key is missing.
        """
        if not active.keys.needed:
            return None, None
        scheme, _, key = headers.get(b"authorization", b"").partition(b" ")
        tenant = (
            active.keys.tenant(key.strip(b" \t").decode("latin-1")) if scheme.lower() == b"bearer" else None
        )
        if tenant is None and not route.unkeyed:
            self.count["no_key"] += 1
            return None, error_reply(401)
        return tenant, None

    @staticmethod
    def _build_message(
        active: ActiveConfiguration,
        head: h11.Request,
        request_target: bytes,
        message_id: bytes,
        body: bytes,
        tenant: Tenant | None,
    ) -> Message:
        """Returns the message for the servers: without the limiter's own headers, which are set here."""
        headers = end_to_end_headers(
            head.headers, _LIMITER_AND_KEY_HEADERS if active.keys.needed else _LIMITER_HEADERS
        )
        if body or head.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"%d" % len(body)))
        if tenant is not None:
            headers.append((b"X-Tenant", header_value(tenant.name)))
        return Message(message_id, bytes(head.method), request_target, headers, body)

    def _retry_after_ms(self, deadline: float, desired_ms: float) -> float:
        """Returns the Retry-After of a refused request in ms.

        It is at most a quarter of the time left, as clients ignore a delay of more than a third of their
        time.
        """
        return max(1.0, min(desired_ms, MAX_RETRY_AFTER_MS, (deadline - self.wheel.now()) / 4.0))

    # Attempts -----------------------------------------------------------------------------

    async def _run_attempts(self, request: ClientRequest, work: RequestWork) -> Reply:
        """Makes attempts until a response can be forwarded or no further attempt is allowed."""
        route, deadline, caller = request.route, request.deadline, request.caller
        history, tried_servers = AttemptHistory(work.safe, route.tries), set[str]()
        service = service_of(route, self.random.random())
        self.budget.record_request(request.received_at, service)
        # Applies if no server can be selected, or the retry budget is used up.
        fallback_step = NextStep.REFUSE
        while True:
            now = self.wheel.now()
            if now >= deadline - MIN_TIME_LEFT_MS:
                return self._final_error(
                    history, NextStep.TIME_OUT if history.may_have_run else NextStep.REFUSE, deadline
                )
            if work.abandoned:
                return self._abandoned_answer(history, deadline)
            server = self._select_server(now, route, service, tried_servers, caller)
            if server is None or history.needs_budget() and not self.budget.take_retry(now, server.target):
                return self._final_error(history, fallback_step, deadline)
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
                # The error response is dropped, as another attempt seems possible: if it turns out not to be,
                # no response is left to forward.
                if alternative is NextStep.FORWARD:
                    fallback_step = NextStep.FAIL
                continue
            if step is NextStep.FORWARD and reply is not None:
                self.count["passed"] += 1
                self.server_connections.serving_check.record_served(self.wheel.now())
                return reply
            return (
                self._abandoned_answer(history, deadline)
                if work.abandoned
                else self._final_error(history, step, deadline)
            )

    def _abandoned_answer(self, history: AttemptHistory, deadline: float) -> Reply:
        """Returns the error response to an abandoned request, after which the connection is closed."""
        reply = self._final_error(
            history, NextStep.FAIL if history.may_have_run else NextStep.REFUSE, deadline
        )
        reply.close = True
        return reply

    def _select_server(
        self, now: float, route: Route, service: str, tried_servers: set[str], caller: int | None = None
    ) -> ServerState | None:
        """Selects a server of ``service``, or else one of the route's other services, without affinity."""
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
        """Makes one attempt, and hedges it with a second server if a safe request waits unusually long.

        Of hedged attempts the first with the outcome ANSWER counts, otherwise the one that ends last.
        """
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
            # Marks the exception as retrieved: the request may have been answered by the other attempt.
            task.exception()

    def _final_error(self, history: AttemptHistory, step: NextStep, deadline: float) -> Reply:
        """Returns the error response to a request for which no server's response is forwarded."""
        step = history.without_false_refusal(step)
        self.count[f"own.{step.value}"] += 1
        if step is NextStep.REFUSE:
            return error_reply(
                503, self._retry_after_ms(deadline, BASE_RETRY_AFTER_MS * (1.0 + self.random.random()))
            )
        return Reply(504 if step is NextStep.TIME_OUT else 502)


def _time_left(headers: dict[bytes, bytes]) -> float:
    """Returns the ms that X-Time-Left states, or the default if it is absent, invalid or an hour or more."""
    try:
        left = float(headers.get(b"x-time-left", b""))
    except ValueError:
        return DEFAULT_TIME_LEFT_MS
    return left if 0 <= left < 3_600_000.0 else DEFAULT_TIME_LEFT_MS
