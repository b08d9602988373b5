"""Exchange of quota messages between limiters, and the wait for the owner's decision or the timeout.

The decisions are those of ``larklb.admission.quotas``.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from larklb.admission.quota_records import Allowance, Ask, QuotaDecision
from larklb.admission.quotas import Quotas
from larklb.gateway.messages import Message, QuotaMessage
from larklb.schema.configuration import Tenant
from larklb.wheel import Timer, Wheel

# Time between the periodic messages, which release unused slices and ask others to confirm the ring.
MESSAGE_INTERVAL_MS = 300.0
# Kinds of messages to an owner; all other kinds are replies.
REQUEST_KINDS = frozenset(("ask", "back", "hello"))


class QuotaExchange:
    """The quota exchange of one limiter; ``send`` sends a message to an address."""

    def __init__(
        self, quotas: Quotas, wheel: Wheel, send: Callable[[str, Message], object], count: Counter[str]
    ) -> None:
        self.quotas, self.wheel, self.send, self.count = quotas, wheel, send, count
        # Addresses of limiters by ring number.
        self.addresses: dict[int, str] = {}
        # Asks that await a reply, with their timeouts, by the number of the ask.
        self.pending: dict[int, tuple[asyncio.Future[QuotaDecision], Timer]] = {}
        self.last_messages = -1e18

    def set_members(
        self, now: float, nodes: dict[int, str], addresses: Mapping[int, str], local_number: int
    ) -> None:
        """Sets the nodes and addresses by ring number; ``local_number`` is this limiter's, or -1 if it has
        none yet."""
        self.addresses = dict(addresses)
        self.quotas.set_limiters(now, nodes, local_number if local_number >= 0 else None)

    async def request_decision(self, tenant: Tenant) -> QuotaDecision | None:
        """Returns the decision on one request of a tenant, after asking the owner if necessary."""
        now = self.wheel.now()
        request = self.quotas.request(now, Allowance(tenant.name, tenant.rate_per_s, tenant.burst))
        if not isinstance(request, Ask):
            return request
        future: asyncio.Future[QuotaDecision] = asyncio.get_running_loop().create_future()
        timer = self.wheel.after(request.deadline - now, self._time_out, request.number)
        self.pending[request.number] = (future, timer)
        self._send(request.owner, request.message)
        return await future

    def tick(self, now: float) -> None:
        """Sends the periodic messages when they are due; called at each tick."""
        if now - self.last_messages < MESSAGE_INTERVAL_MS:
            return
        self.last_messages = now
        for number, message in self.quotas.pending_messages(now):
            self._send(number, message)

    def handle_message(self, now: float, message: QuotaMessage, sender: int) -> None:
        """Handles a message of the limiter with the ring number ``sender``, -1 if that isn't known."""
        if message.message["k"] in REQUEST_KINDS:
            if (answer := self.quotas.handle_request(now, sender, message.message)) is not None:
                self.send(message.address, QuotaMessage(message=answer))
        elif (decided := self.quotas.handle_reply(now, message.message)) is not None:
            self._decide(*decided)

    def _send(self, number: int, message: dict[str, Any]) -> None:
        if (address := self.addresses.get(number)) is not None:
            self.send(address, QuotaMessage(message=message))

    def _time_out(self, number: int) -> None:
        self.count["quota.given_up"] += 1
        self._decide(number, self.quotas.handle_timeout(self.wheel.now(), number))

    def _decide(self, number: int, decision: QuotaDecision) -> None:
        """Ends the wait of ``request_decision`` for the ask with this number."""
        if (pending := self.pending.pop(number, None)) is None:
            return
        future, timer = pending
        timer.cancel()
        if not future.done():
            future.set_result(decision)
