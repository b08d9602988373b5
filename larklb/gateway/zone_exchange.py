"""What limiters of one zone tell each other of servers: requests in hand, and what each server is seen to do.

Where they are many the messages would cost more than they bring, and each goes by what it sees."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from larklb.balancing.choice import CapacityAwareSelector
from larklb.balancing.errors import UnreadableError
from larklb.gateway.messages import CapacityReport, InFlightMessage, Message

IN_FLIGHT_MS = 25.0  # between two messages on what is in hand
ESTIMATES_MS = 500.0  # between two on what was found of servers
MAX_ZONE_PEERS = 8  # limiters that are told: each is sent some tens of messages a second


class ZoneExchange:
    """Of one limiter; ``send`` sends a message to an address."""

    def __init__(self, choice: CapacityAwareSelector, send: Callable[[str, Message], object]) -> None:
        self.choice, self.send = choice, send
        self.addresses: Sequence[str] = ()
        self.estimates_at = -1e18

    def set_peers(self, addresses: Sequence[str]) -> None:
        """The other limiters of this zone."""
        self.addresses = addresses if len(addresses) <= MAX_ZONE_PEERS else ()
        self.choice.exchange_enabled = bool(self.addresses)

    def tick(self, now: float) -> None:
        """Called every ``IN_FLIGHT_MS`` while requests are served."""
        if not self.addresses:
            return
        if (in_flight := self.choice.in_flight_message(now)) is not None:
            self._tell(InFlightMessage(message=in_flight))
        if now - self.estimates_at >= ESTIMATES_MS:
            self.estimates_at = now
            self._tell(CapacityReport(message=self.choice.estimates_message(now)))

    def _tell(self, message: Message) -> None:
        for address in self.addresses:
            self.send(address, message)

    def handle_message(self, now: float, message: InFlightMessage | CapacityReport) -> None:
        """ValueError where it makes no sense."""
        hear = (
            self.choice.apply_in_flight
            if isinstance(message, InFlightMessage)
            else self.choice.apply_estimates
        )
        try:
            hear(now, message.sender, message.message)
        except UnreadableError as error:
            raise ValueError(str(error)) from error
