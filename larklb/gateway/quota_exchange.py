"""Questions about quotas between limiters: each waits for its owner's answer, or is given up in time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from larklb.admission.quota_records import Allowance, Ask, Verdict
from larklb.admission.quotas import Quotas
from larklb.gateway.messages import Message, QuotaMessage
from larklb.schema.configuration import Tenant
from larklb.wheel import Timer, Wheel

NOTES_MS = 300.0  # between messages that give back what isn't used, and those of new owners
QUESTIONS = frozenset(("ask", "back", "hello"))  # kinds that an owner is told; all others are answers


class QuotaExchange:
    """Of one limiter; ``send`` sends a message to an address."""

    def __init__(
        self, quotas: Quotas, wheel: Wheel, send: Callable[[str, Message], object], count: Counter[str]
    ) -> None:
        self.quotas, self.wheel, self.send, self.count = quotas, wheel, send, count
        self.addresses: dict[int, str] = {}  # by ring number
        self.waiting: dict[int, tuple[asyncio.Future[Verdict], Timer]] = {}  # by the question's number
        self.noted_at = -1e18

    def set_members(self, now: float, nodes: dict[int, str], addresses: Mapping[int, str], mine: int) -> None:
        """Nodes and addresses by ring number; ``mine``: this limiter's, -1 where it has none yet."""
        self.addresses = dict(addresses)
        self.quotas.set_limiters(now, nodes, mine if mine >= 0 else None)

    async def request_verdict(self, tenant: Tenant) -> Verdict | None:
        """Whether a request of a tenant may go on; None where nothing speaks against it."""
        now = self.wheel.now()
        asked = self.quotas.request(now, Allowance(tenant.name, tenant.rate_per_s, tenant.burst))
        if not isinstance(asked, Ask):
            return asked
        verdict: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        timer = self.wheel.after(asked.deadline - now, self._give_up, asked.number)
        self.waiting[asked.number] = (verdict, timer)
        self._send(asked.owner, asked.message)
        return await verdict

    def tick(self, now: float) -> None:
        """Called regularly."""
        if now - self.noted_at < NOTES_MS:
            return
        self.noted_at = now
        for number, message in self.quotas.pending_messages(now):
            self._send(number, message)

    def handle_message(self, now: float, message: QuotaMessage, sender: int) -> None:
        """A message of the limiter with the ring number ``sender``, -1 where that isn't known."""
        if message.message["k"] in QUESTIONS:
            if (answer := self.quotas.handle_request(now, sender, message.message)) is not None:
                self.send(message.address, QuotaMessage(message=answer))
        elif (told := self.quotas.handle_reply(now, message.message)) is not None:
            self._decide(*told)

    def _send(self, number: int, message: dict[str, Any]) -> None:
        if (address := self.addresses.get(number)) is not None:
            self.send(address, QuotaMessage(message=message))

    def _give_up(self, number: int) -> None:
        self.count["quota.given_up"] += 1
        self._decide(number, self.quotas.handle_timeout(self.wheel.now(), number))

    def _decide(self, number: int, verdict: Verdict) -> None:
        if (waiting := self.waiting.pop(number, None)) is None:
            return
        answered, timer = waiting
        timer.cancel()
        if not answered.done():
            answered.set_result(verdict)
