"""Envoy's rate limit service: quota checks without a job, under the same rules as over HTTP."""

from __future__ import annotations

import logging
import uuid
from typing import Any

import grpc
import grpc.aio
from google.protobuf.duration_pb2 import Duration

from larklb import interface as io
from larklb.core import Core, Job
from larklb.fields import MalformedError, parse_account, parse_quota_info
from larklb.grpc import ratelimit_pb2, rls_pb2

log = logging.getLogger(__name__)

SERVICE = "envoy.service.ratelimit.v3.RateLimitService"
MAX_DESCRIPTORS = 16
MAX_MESSAGE_BYTES = 64 * 1024
# Concurrent calls; beyond them gRPC answers RESOURCE_EXHAUSTED.
MAX_CALLS = 512
# Time for a connection's first frame; a silent connection must not hold a descriptor.
HANDSHAKE_TIMEOUT_MS = 3000
# A connection without a call for this long is asked to close; clients reconnect.
MAX_IDLE_MS = 60_000
_KEYS = {"account", "plan", "class", "set"}
Response = rls_pb2.RateLimitResponse


def quota_check(descriptor: ratelimit_pb2.RateLimitDescriptor, hits: int, now: float,
                within: float | None, core: Core) -> io.Request:
    """Converts a descriptor to a request; its keys are ``account``, ``plan``, ``class`` and ``set``.

    An example of a ``set`` is spread=3,first=1.

    ``now`` and ``within``, the time left to the caller, are in ms.  Raises MalformedError.
    """
    entries = {entry.key: entry.value for entry in descriptor.entries}
    if set(entries) != _KEYS or len(descriptor.entries) != len(_KEYS):
        raise MalformedError("a descriptor has one entry each of account, plan, class and set")
    cls = core.classes.get(entries["class"])
    if cls is None or entries["plan"] not in core.plans:
        raise MalformedError("unknown class or plan")
    _, spread, first = parse_quota_info(entries["set"], core.settings)
    if descriptor.HasField("hits_addend"):
        hits = descriptor.hits_addend.value
    return io.Request(
        request=f"rls-{uuid.uuid4().hex}", service=cls.name, plan=entries["plan"],
        customer=parse_account(entries["account"]), due=now + min(cls.deadline, within or cls.deadline),
        units=float(hits or 1), first=first, spread=spread, quota_only=True)


class RateLimitFront:
    """The gRPC server in front of the core."""

    def __init__(self, listen: str, core: Core) -> None:
        self.core, self.stopping = core, False
        self.server = grpc.aio.server(maximum_concurrent_rpcs=MAX_CALLS, options=(
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES), ("grpc.so_reuseport", 0),
            ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
            ("grpc.max_connection_idle_ms", MAX_IDLE_MS)))
        handler = grpc.unary_unary_rpc_method_handler(
            self.should_rate_limit, request_deserializer=rls_pb2.RateLimitRequest.FromString,
            response_serializer=Response.SerializeToString)
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {"ShouldRateLimit": handler}),))
        self.port = self.server.add_insecure_port(listen)

    async def start(self) -> None:
        """Starts to accept calls."""
        await self.server.start()

    async def stop(self) -> None:
        """Rejects new calls at once and answers the accepted ones, each within its due time."""
        self.stopping = True
        await self.server.stop(max(c.deadline for c in self.core.settings.classes) / 1000.0 + 0.1)

    async def should_rate_limit(self, request: rls_pb2.RateLimitRequest,
                                context: grpc.aio.ServicerContext[Any, Any]) -> rls_pb2.RateLimitResponse:
        """Handles one ShouldRateLimit call."""
        if self.stopping:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "this limiter is stopping")
        now, left = self.core.wheel.now(), context.time_remaining()
        if left is not None and left <= 0:
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "no time was left for the question")
        try:
            if not 0 < len(request.descriptors) <= MAX_DESCRIPTORS:
                raise MalformedError(f"a request has 1 to {MAX_DESCRIPTORS} descriptors")
            within = None if left is None else left * 1000.0
            checks = [quota_check(d, request.hits_addend, now, within, self.core)
                      for d in request.descriptors]
        except MalformedError as error:
            self.core.counters.add("malformed")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        verdicts = await self._check(checks)
        if any(isinstance(v, io.Fail) for v in verdicts):
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the question was not answered in time")
        return response_to(verdicts)

    async def _check(self, checks: list[io.Request]) -> list[io.Action]:
        """Submits the quota checks of one call, waits for their verdicts and closes them."""
        counters = self.core.counters
        jobs: list[Job] = []
        verdicts: list[io.Action] = []
        try:
            for check in checks:
                counters.add(f"taken.grpc.{check.service}")
                jobs.append(self.core.take(check))
            for job in jobs:
                verdict = await job.next()
                if isinstance(verdict, io.Grant):
                    await self.core.charge(job, verdict.stamp)
                verdicts.append(verdict)
        except BaseException:
            # The caller has gone or an error occurred: a check without a grant must not take any units.
            for job in jobs[len(verdicts):]:
                self.core.abandon(job)
                counters.add("answered.nobody")
            raise
        finally:
            for job in jobs:
                self.core.close(job)
            for v in verdicts:
                counters.add("answered." + {io.Grant: "granted", io.Refuse: "refused"}.get(type(v), "failed"))
        return verdicts


def response_to(verdicts: list[io.Action]) -> rls_pb2.RateLimitResponse:
    """Builds the response: OVER_LIMIT if any descriptor is, with the time until it has units again."""
    statuses = []
    for v in verdicts:
        if isinstance(v, io.Refuse):
            wait = Duration()
            wait.FromMicroseconds(round(v.retry_after * 1000.0))
            statuses.append(Response.DescriptorStatus(
                code=Response.OVER_LIMIT, duration_until_reset=wait if v.retry_after > 0 else None))
        else:
            statuses.append(Response.DescriptorStatus(code=Response.OK))
    over = any(s.code == Response.OVER_LIMIT for s in statuses)
    return Response(overall_code=Response.OVER_LIMIT if over else Response.OK, statuses=statuses)
