"""The control address: calls of servers and operators, as `schema/openapi.yaml` has them.

What this limiter can't settle it passes on: servers' calls to its home, operators' calls to the leader.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qsl

import h11
import msgspec
from attrs import define

from larklb.gateway.messages import CallResult
from larklb.gateway.servers import Reply
from larklb.net.http import Link
from larklb.registry.registry import DRAINING, STEADY, Server
from larklb.schema import calls
from larklb.schema.errors import InvalidError, SchemaError

JSON = (b"Content-Type", b"application/json")
MOST_FIELDS = 8  # of a query


@define(frozen=True)
class OperatorRequest:
    """An operator's call: ``kind`` is 'replace', 'amend' or 'read', ``base`` the version that a change builds
    on, ``body`` its text."""

    kind: str
    base: int = 0
    body: str = ""


UNAVAILABLE = CallResult(503, "nobody who can settle this is in reach: try again, or another limiter")

SettleServer = Callable[[Server | str], Awaitable[CallResult]]  # a beat, or the id of one that leaves
SettleOrder = Callable[[OperatorRequest], Awaitable[CallResult]]
StatusCall = Callable[[str, Mapping[str, str]], dict[str, Any] | None]  # path, query


@define
class ControlApi:
    """Answers servers and operators."""

    server: SettleServer
    operator: SettleOrder
    status: StatusCall = lambda path, query: None

    async def answer(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        """The answer to one call."""
        path, _, query = head.target.decode("latin-1").partition("?")
        if found := calls.HEARTBEAT.fullmatch(path):
            if head.method != b"POST":
                return Reply(405)
            try:
                told = calls.heartbeat(body)
            except SchemaError as error:
                return _invalid(error.problems if isinstance(error, InvalidError) else [str(error)])
            server = Server(
                found[1],
                told.target,
                told.address,
                told.zone,
                told.capacity,
                told.version,
                DRAINING if told.state == "draining" else STEADY,
                told.sequence,
                told.warmup_left_ms,
            )
            return self._reply(await self.server(server))
        if found := calls.LEAVE.fullmatch(path):
            return self._reply(await self.server(found[1])) if head.method == b"POST" else Reply(405)
        if path == calls.READ:
            if head.method != b"GET":
                return Reply(405)
            return self._reply(await self.operator(OperatorRequest("read")))
        if path in (calls.REPLACE, calls.AMEND):
            if head.method != b"POST":
                return Reply(405)
            return await self._change("replace" if path == calls.REPLACE else "amend", head, body)
        if path in calls.STATUS:
            return self._status(head, path, query)
        return Reply(404)

    def _status(self, head: h11.Request, path: str, query: str) -> Reply:
        if head.method != b"GET":
            return Reply(405)
        try:
            told = self.status(path, dict(parse_qsl(query, max_num_fields=MOST_FIELDS)))
        except ValueError:
            return _invalid([f"query: must have {MOST_FIELDS} fields at most"])
        return Reply(404) if told is None else self._reply(CallResult(200, document=told))

    async def _change(self, kind: str, head: h11.Request, body: bytes) -> Reply:
        base = dict(head.headers).get(calls.BASE_VERSION.encode(), b"")
        if not base.isdigit() or len(base) > 18:
            return _invalid(["X-Base-Version: must be the version that the change builds on"])
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return _invalid(["the body is no JSON: it is not UTF-8"])
        return self._reply(await self.operator(OperatorRequest(kind, int(base), text)))

    @staticmethod
    def _reply(result: CallResult) -> Reply:
        if result.status == 400:
            return _invalid(result.problems or (result.text,))
        if result.document is not None:
            return Reply(result.status, [JSON], msgspec.json.encode(result.document))
        if result.report_to:
            return Reply(result.status, [JSON], msgspec.json.encode({"reportTo": result.report_to}))
        if result.text:
            return Reply(result.status, [JSON], msgspec.json.encode({"text": result.text}))
        return Reply(result.status, [JSON], b"{}")


def _invalid(problems: Iterable[str]) -> Reply:
    """A call that can't be taken, now or later, and why."""
    return Reply(400, [JSON], msgspec.json.encode({"problems": list(problems)}))
