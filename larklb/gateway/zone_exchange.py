"""Exchange of server state between the limiters of a zone: requests in flight and estimated capacities.

With many limiters in a zone the messages would cost more than they gain, so there is no exchange and each
limiter uses only its own observations.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from larklb.balancing.choice import CapacityAwareSelector
from larklb.balancing.errors import UnreadableError
from larklb.gateway.messages import CapacityReport, InFlightMessage, Message

# Time between two messages about requests in flight.
IN_FLIGHT_INTERVAL_MS = 25.0
# Time between two messages about estimated capacities.
ESTIMATES_INTERVAL_MS = 500.0
# With more other limiters than this there is no exchange. Each is sent some tens of messages a second.
MAX_ZONE_PEERS = 8


class ZoneExchange:
    """The exchange of one limiter; ``send`` sends a message to an address."""

    def __init__(self, choice: CapacityAwareSelector, send: Callable[[str, Message], object]) -> None:
        self.choice, self.send = choice, send
        self.addresses: Sequence[str] = ()
        self.last_estimates = -1e18

    def set_peers(self, addresses: Sequence[str]) -> None:
        """Sets the addresses of the other limiters of this zone."""
        self.addresses = addresses if len(addresses) <= MAX_ZONE_PEERS else ()
        self.choice.exchange_enabled = bool(self.addresses)

    def tick(self, now: float) -> None:
        """Sends the messages that are due; called every ``IN_FLIGHT_INTERVAL_MS`` while requests are
        served."""
        if not self.addresses:
            return
        if (in_flight := self.choice.in_flight_message(now)) is not None:
            self._broadcast(InFlightMessage(message=in_flight))
        if now - self.last_estimates >= ESTIMATES_INTERVAL_MS:
            self.last_estimates = now
            self._broadcast(CapacityReport(message=self.choice.estimates_message(now)))

    def _broadcast(self, message: Message) -> None:
        for address in self.addresses:
            self.send(address, message)

    def handle_message(self, now: float, message: InFlightMessage | CapacityReport) -> None:
        """Handles a message of another limiter of this zone; raises ``ValueError`` if its contents are
        invalid."""
        apply = (
            self.choice.apply_in_flight
            if isinstance(message, InFlightMessage)
            else self.choice.apply_estimates
        )
        try:
            apply(now, message.sender, message.message)
        except UnreadableError as error:
            raise ValueError(str(error)) from error
