"""What limiters of one zone tell each other of servers: requests in hand, and what each server is seen to do.

Where they are many the words would cost more than they bring, and each goes by what it sees."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from larklb.balancing.choice import AbleChoice
from larklb.balancing.errors import UnreadableError
from larklb.gateway.messages import EstimatesMessage, HandsMessage, Message

HANDS_MS = 25.0  # between two words on what is in hand
ESTIMATES_MS = 500.0  # between two on what was found of servers
MOST_NEAR = 8  # limiters that are told: each is sent some tens of words a second


class NearExchange:
    """Of one limiter; ``post`` sends a message to an address."""

    def __init__(self, choice: AbleChoice, post: Callable[[str, Message], object]) -> None:
        self.choice, self.post = choice, post
        self.addresses: Sequence[str] = ()
        self.estimates_at = -1e18

    def peers(self, addresses: Sequence[str]) -> None:
        """The other limiters of this zone."""
        self.addresses = addresses if len(addresses) <= MOST_NEAR else ()
        self.choice.exchange = bool(self.addresses)

    def tick(self, now: float) -> None:
        """Called every ``HANDS_MS`` while requests are served."""
        if not self.addresses:
            return
        if (hands := self.choice.hand_words(now)) is not None:
            self._tell(HandsMessage(message=hands))
        if now - self.estimates_at >= ESTIMATES_MS:
            self.estimates_at = now
            self._tell(EstimatesMessage(message=self.choice.words(now)))

    def _tell(self, message: Message) -> None:
        for address in self.addresses:
            self.post(address, message)

    def heard(self, now: float, message: HandsMessage | EstimatesMessage) -> None:
        """ValueError where it makes no sense."""
        hear = self.choice.hear_hands if isinstance(message, HandsMessage) else self.choice.hear
        try:
            hear(now, message.sender, message.message)
        except UnreadableError as error:
            raise ValueError(str(error)) from error
