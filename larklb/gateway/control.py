"""The control API: calls of servers and operators, as described in `schema/openapi.yaml`.

Calls that this limiter can't settle are forwarded: servers' calls to its home, operators' calls to the
leader.
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
MAX_QUERY_FIELDS = 8
# Python converts longer numbers only if told to; ``schema.document`` reads none that are longer either.
MAX_VERSION_DIGITS = 4_300
# A server that handles more requests at once has no limit in effect.
MAX_SLOTS = 1 << 20


@define(frozen=True)
class OperatorRequest:
    """An operator's call: ``kind`` is 'replace', 'amend' or 'read', ``base`` is the version that a change
    builds on, and ``body`` is its text."""

    kind: str
    base: int = 0
    body: str = ""


UNAVAILABLE = CallResult(503, "nobody who can settle this is in reach: try again, or another limiter")

# Settles a heartbeat, or the sign-off of the server with this id.
ServerCallHandler = Callable[[Server | str], Awaitable[CallResult]]
OperatorCallHandler = Callable[[OperatorRequest], Awaitable[CallResult]]
# Returns the document for a path and the fields of a query, None for an unknown path.
StatusHandler = Callable[[str, Mapping[str, str]], dict[str, Any] | None]


@define
class ControlApi:
    """The HTTP interface of the control API; the calls are settled by its three handlers."""

    server: ServerCallHandler
    operator: OperatorCallHandler
    status: StatusHandler = lambda path, query: None

    async def answer(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        """Returns the reply to one call."""
        path, _, query = head.target.decode("latin-1").partition("?")
        if match := calls.HEARTBEAT_PATTERN.fullmatch(path):
            if head.method != b"POST":
                return Reply(405)
            try:
                heartbeat = calls.parse_heartbeat(body)
            except SchemaError as error:
                return _invalid(error.problems if isinstance(error, InvalidError) else [str(error)])
            server = Server(
                match[1],
                heartbeat.target,
                heartbeat.address,
                heartbeat.zone,
                min(heartbeat.capacity, MAX_SLOTS),
                heartbeat.version,
                DRAINING if heartbeat.state == "draining" else STEADY,
                heartbeat.sequence,
                heartbeat.warmup_left_ms,
            )
            return self._reply(await self.server(server))
        if match := calls.LEAVE_PATTERN.fullmatch(path):
            return self._reply(await self.server(match[1])) if head.method == b"POST" else Reply(405)
        if path == calls.READ:
            if head.method != b"GET":
                return Reply(405)
            return self._reply(await self.operator(OperatorRequest("read")))
        if path in (calls.REPLACE, calls.AMEND):
            if head.method != b"POST":
                return Reply(405)
            return await self._change("replace" if path == calls.REPLACE else "amend", head, body)
        if path in calls.STATUS_PATHS:
            return self._status(head, path, query)
        return Reply(404)

    def _status(self, head: h11.Request, path: str, query: str) -> Reply:
        if head.method != b"GET":
            return Reply(405)
        try:
            document = self.status(path, dict(parse_qsl(query, max_num_fields=MAX_QUERY_FIELDS)))
        except ValueError:
            return _invalid([f"query: must have {MAX_QUERY_FIELDS} fields at most"])
        return Reply(404) if document is None else self._reply(CallResult(200, document=document))

    async def _change(self, kind: str, head: h11.Request, body: bytes) -> Reply:
        base = dict(head.headers).get(calls.BASE_VERSION_HEADER.encode(), b"")
        if not base.isdigit() or len(base) > MAX_VERSION_DIGITS:
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
    """Returns the reply to a call that is invalid and will not succeed if it is repeated."""
    return Reply(400, [JSON], msgspec.json.encode({"problems": list(problems)}))
