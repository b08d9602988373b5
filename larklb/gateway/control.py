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

from larklb.gateway.messages import CallAnswer, ForwardedCall
from larklb.gateway.servers import Reply
from larklb.net.http import Link
from larklb.registry.registry import DRAINING, STEADY, Server
from larklb.schema import calls
from larklb.schema.errors import InvalidError, SchemaError

JSON = (b"Content-Type", b"application/json")
MOST_FIELDS = 8  # of a query


@define(frozen=True)
class Settled:
    """What became of a call: a status, a text or a document, and for servers where their home is.

    ``problems``: of a 400, each thing that is wrong, where more than the text is known."""

    status: int
    text: str = ""
    document: dict[str, Any] | None = None
    report_to: str = ""
    problems: tuple[str, ...] = ()

    def answer_to(self, call: ForwardedCall) -> CallAnswer:
        """The answer to the limiter that passed the call on."""
        return CallAnswer(
            number=call.number,
            session=call.session,
            status=self.status,
            text=self.text,
            document=self.document,
            report_to=self.report_to,
            problems=self.problems,
        )

    @classmethod
    def told(cls, answer: CallAnswer) -> Settled:
        """As another limiter answered a call that was passed on to it."""
        return cls(answer.status, answer.text, answer.document, answer.report_to, answer.problems)


@define(frozen=True)
class OperatorOrder:
    """An operator's call: ``kind`` is 'replace', 'amend' or 'read', ``base`` the version that a change builds
    on, ``body`` its text."""

    kind: str
    base: int = 0
    body: str = ""


AWAY = Settled(503, "nobody who can settle this is in reach: try again, or another limiter")

SettleServer = Callable[[Server | str], Awaitable[Settled]]  # a beat, or the id of one that leaves
SettleOrder = Callable[[OperatorOrder], Awaitable[Settled]]
StatusCall = Callable[[str, Mapping[str, str]], dict[str, Any] | None]  # path, query


@define
class Control:
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
            return self._reply(await self.operator(OperatorOrder("read")))
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
        return Reply(404) if told is None else self._reply(Settled(200, document=told))

    async def _change(self, kind: str, head: h11.Request, body: bytes) -> Reply:
        base = dict(head.headers).get(calls.BASE_VERSION.encode(), b"")
        if not base.isdigit() or len(base) > 18:
            return _invalid(["X-Base-Version: must be the version that the change builds on"])
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return _invalid(["the body is no JSON: it is not UTF-8"])
        return self._reply(await self.operator(OperatorOrder(kind, int(base), text)))

    @staticmethod
    def _reply(settled: Settled) -> Reply:
        if settled.status == 400:
            return _invalid(settled.problems or (settled.text,))
        if settled.document is not None:
            return Reply(settled.status, [JSON], msgspec.json.encode(settled.document))
        if settled.report_to:
            return Reply(settled.status, [JSON], msgspec.json.encode({"reportTo": settled.report_to}))
        if settled.text:
            return Reply(settled.status, [JSON], msgspec.json.encode({"text": settled.text}))
        return Reply(settled.status, [JSON], b"{}")


def _invalid(problems: Iterable[str]) -> Reply:
    """A call that can't be taken, now or later, and why."""
    return Reply(400, [JSON], msgspec.json.encode({"problems": list(problems)}))
