"""Exchange of quota messages between limiters, and the wait for the owner's decision or the timeout.

The decisions are those of ``larklb.admission.quotas``.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from attrs import define

from larklb.admission.quota_records import Allowance, Ask, QuotaDecision, configured_allowance
from larklb.admission.quotas import Quotas
from larklb.gateway.messages import Message, QuotaMessage
from larklb.membership.members import Member
from larklb.registry.subscriber import Subscriber
from larklb.schema.configuration import Tenant

# Time between the periodic messages, which release unused slices.
MESSAGE_INTERVAL_MS = 300.0
# Time between checks whether a log line is due.
LOG_INTERVAL_MS = 1_000.0
# Kinds of messages to an owner; all other kinds are replies.
REQUEST_KINDS = frozenset(("ask", "back", "hello", "free"))


Done = Callable[[QuotaDecision], object]


class Cancellable(Protocol):
    """A timer."""

    def cancel(self) -> None:
        """Prevents the timer from running."""


class Clock(Protocol):
    """The time in ms, and timers."""

    def now(self) -> float:
        """Returns the time in ms."""

    def after(self, delay: float, callback: Callable[..., object], *args: Any) -> Cancellable:
        """Calls ``callback`` with ``args`` after ``delay`` ms."""


@define
class PendingDecision:
    """A client's request that awaits the owner's reply; ``done`` is called once with the decision."""

    tenant: str
    done: Done
    timer: Cancellable


class QuotaExchange:
    """The quota exchange of one limiter; ``send`` sends a message to an address."""

    def __init__(
        self, quotas: Quotas, clock: Clock, send: Callable[[str, Message], object], count: Counter[str]
    ) -> None:
        self.quotas, self.clock, self.send, self.count = quotas, clock, send, count
        # Addresses of limiters by ring number.
        self.addresses: dict[int, str] = {}
        # Requests that await a reply, by the number of the ask.
        self.pending: dict[int, PendingDecision] = {}
        self.last_messages = self.last_log = -1e18
        # Set while further requests for leases are due.
        self.lease_timer: Cancellable | None = None

    def update_members(self, now: float, subscriber: Subscriber) -> None:
        """Takes over the ring from the local view of the limiters."""
        nodes = subscriber.nodes_by_ring_number()
        self.addresses = {number: subscriber.members[node].ip for number, node in nodes.items()}
        local_number = subscriber.local_member.ring_number
        self.quotas.set_limiters(now, nodes, local_number if local_number >= 0 else None)
        self._send_lease_messages(now)

    def allowance_of(self, tenant: Tenant) -> Allowance:
        """Returns the allowance that the configuration gives to a tenant."""
        return configured_allowance(tenant.name, tenant.rate_per_s, tenant.burst, self.quotas.bound)

    async def request_decision(self, tenant: Tenant) -> QuotaDecision | None:
        """Returns the decision on one request of a tenant, after asking the owner if necessary."""
        future: asyncio.Future[QuotaDecision] = asyncio.get_running_loop().create_future()

        def done(decision: QuotaDecision) -> None:
            if not future.done():
                future.set_result(decision)

        self.start_request(self.allowance_of(tenant), done)
        return await future

    def start_request(self, allowance: Allowance, done: Done) -> None:
        """Starts the decision on one request of a tenant; ``done`` is called once with it."""
        now = self.clock.now()
        request = self.quotas.request(now, allowance)
        self._send_lease_messages(now)
        if not isinstance(request, Ask):
            self._finish(now, allowance.tenant, request, done)
            return
        timer = self.clock.after(request.deadline - now, self._time_out, request.number)
        self.pending[request.number] = PendingDecision(allowance.tenant, done, timer)
        self._send(request.owner, request.message)

    def tick(self, now: float) -> None:
        """Sends the periodic messages and writes the log when they are due; called at each tick."""
        if now - self.last_log >= LOG_INTERVAL_MS:
            self.last_log = now
            self.quotas.write_log(now)
        if now - self.last_messages < MESSAGE_INTERVAL_MS:
            return
        self.last_messages = now
        for number, message in self.quotas.pending_messages(now):
            self._send(number, message)

    def handle_message(self, now: float, message: QuotaMessage, members: Mapping[str, Member]) -> None:
        """Handles a message of another limiter; ``members`` are the known limiters by node."""
        sender = members[message.sender].ring_number if message.sender in members else -1
        if message.message["k"] in REQUEST_KINDS:
            if (answer := self.quotas.handle_request(now, sender, message.message)) is not None:
                self.send(message.address, QuotaMessage(message=answer))
            self._send_lease_messages(now)
        elif (decided := self.quotas.handle_reply(now, message.message)) is not None:
            self._decide(now, *decided)

    def _send_lease_messages(self, now: float) -> None:
        for number, message in self.quotas.lease_messages(now):
            self._send(number, message)
        next_at = self.quotas.next_lease_messages_at()
        if next_at is not None and self.lease_timer is None:
            self.lease_timer = self.clock.after(next_at - now, self._continue_lease_messages)

    def _continue_lease_messages(self) -> None:
        self.lease_timer = None
        self._send_lease_messages(self.clock.now())

    def _send(self, number: int, message: dict[str, Any]) -> None:
        if (address := self.addresses.get(number)) is not None:
            self.send(address, QuotaMessage(message=message))

    def _time_out(self, number: int) -> None:
        self.count["quota.given_up"] += 1
        now = self.clock.now()
        self._decide(now, number, self.quotas.handle_timeout(now, number))

    def _decide(self, now: float, number: int, decision: QuotaDecision) -> None:
        """Ends the wait of the request whose ask has this number."""
        if (pending := self.pending.pop(number, None)) is None:
            return
        pending.timer.cancel()
        self._finish(now, pending.tenant, decision, pending.done)

    def _finish(self, now: float, tenant: str, decision: QuotaDecision, done: Done) -> None:
        self.count[f"quota.{decision.decided_by}.{'allowed' if decision.allowed else 'refused'}"] += 1
        self.quotas.record_decision(now, tenant, decision)
        done(decision)
