"""Envoy's rate limit service: asks the core the quota question alone, under the same rules as HTTP."""

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
MOST_DESCRIPTORS = 16
MOST_MESSAGE = 64 * 1024
MOST_CALLS = 512           # at once; beyond them gRPC answers RESOURCE_EXHAUSTED
HANDSHAKE_MS = 3000        # for a connection's first frame: who says nothing must not keep a descriptor
IDLE_MS = 60_000           # without a call after which a connection is told to go; clients connect again
_KEYS = {"account", "plan", "class", "set"}
Response = rls_pb2.RateLimitResponse


def question(descriptor: ratelimit_pb2.RateLimitDescriptor, hits: int, now: float, within: float | None,
             core: Core) -> io.Request:
    """The question in a descriptor with ``account``, ``plan``, ``class`` and ``set`` (spread=3,first=1)."""
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
    """One gRPC server before the core."""

    def __init__(self, listen: str, core: Core) -> None:
        self.core, self.stopping = core, False
        self.server = grpc.aio.server(maximum_concurrent_rpcs=MOST_CALLS, options=(
            ("grpc.max_receive_message_length", MOST_MESSAGE), ("grpc.so_reuseport", 0),
            ("grpc.server_handshake_timeout_ms", HANDSHAKE_MS), ("grpc.max_connection_idle_ms", IDLE_MS)))
        handler = grpc.unary_unary_rpc_method_handler(
            self.should_rate_limit, request_deserializer=rls_pb2.RateLimitRequest.FromString,
            response_serializer=Response.SerializeToString)
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {"ShouldRateLimit": handler}),))
        self.port = self.server.add_insecure_port(listen)

    async def start(self) -> None:
        await self.server.start()

    async def stop(self) -> None:
        """New questions are turned away at once; those taken are answered, each within its due time."""
        self.stopping = True
        await self.server.stop(max(c.deadline for c in self.core.settings.classes) / 1000.0 + 0.1)

    async def should_rate_limit(self, request: rls_pb2.RateLimitRequest,
                                context: grpc.aio.ServicerContext[Any, Any]) -> rls_pb2.RateLimitResponse:
        if self.stopping:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "this limiter is stopping")
        now, left = self.core.wheel.now(), context.time_remaining()
        if left is not None and left <= 0:
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "no time was left for the question")
        try:
            if not 0 < len(request.descriptors) <= MOST_DESCRIPTORS:
                raise MalformedError(f"a request has 1 to {MOST_DESCRIPTORS} descriptors")
            within = None if left is None else left * 1000.0
            questions = [question(d, request.hits_addend, now, within, self.core)
                         for d in request.descriptors]
        except MalformedError as error:
            self.core.counters.add("malformed")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        verdicts = await self._asked(questions)
        if any(isinstance(v, io.Fail) for v in verdicts):
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the question was not answered in time")
        return answer(verdicts)

    async def _asked(self, questions: list[io.Request]) -> list[io.Action]:
        """The whole life of the questions of one call."""
        counters = self.core.counters
        jobs: list[Job] = []
        verdicts: list[io.Action] = []
        try:
            for q in questions:
                counters.add(f"taken.grpc.{q.service}")
                jobs.append(self.core.take(q))
            for job in jobs:
                verdict = await job.next()
                if isinstance(verdict, io.Grant):
                    await self.core.charge(job, verdict.stamp)
                verdicts.append(verdict)
        except BaseException:
            # The caller has gone, or we have failed: what has no grant yet must not take any units.
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


def answer(verdicts: list[io.Action]) -> rls_pb2.RateLimitResponse:
    """OVER_LIMIT if any descriptor is, with the time until its units are there again."""
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
