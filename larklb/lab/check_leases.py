"""Exhaustive exploration of slots lent between three limiters, up to a depth (see ``check.py``).

The model has one node with a limit, one lender (which uses slots itself) and two other limiters.  A limiter
requests slots, restarts, or begins all attempts anew that it may; messages are delivered, duplicated or lost
in every order; time advances by less than the duration of a lease.  In no state may the number of running
attempts exceed the limit.  Given enough time and a working network, a limiter that wants slots gets them
again.  ``STARTS`` are worlds in which something is in progress already, so that faults which appear late are
within the same depth of one of them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from larklb.fleet.leases import LEASE_MS, FleetLimits, LeaseReply, LeaseRequest
from larklb.lab.check import Action

# Number of limiters, and limit of concurrent attempts at the node: a base of 1 for each limiter, 3 are lent.
LIMITERS, NODE_LIMIT = 3, 6
SUBJECT = 7
# Maximum duration of an attempt.
MAX_ATTEMPT_MS = 1800.0
# Duration of a wait.  Two waits are longer than a lease, one is not.
STEP_MS = 1700.0
# Bound on the messages in flight at the same time.
MAX_MESSAGES = 2
# Number of concurrent attempts that each limiter wants.
WANTED = 4

Start = tuple[tuple[str, str], ...]
#: Actions that lead to each world: ``l`` is the lender, ``a`` and ``b`` are the other limiters.  Deliveries
#: take the oldest message.
STARTS: dict[str, Start] = {
    "empty": (),
    "lent": (("renew", "a"), ("fill", "a"), ("fill", "b"), ("fill", "l")),
    "lent a while ago": (("renew", "a"), ("fill", "a"), ("wait", "")),
    "lent long ago": (("renew", "a"), ("fill", "a"), ("wait", ""), ("wait", ""), ("wait", "")),
    "told long ago": (("ask", "a"), ("deliver", ""), ("wait", ""), ("wait", ""), ("wait", "")),
    "told twice": (("ask", "a"), ("deliver", ""), ("repeat", ""), ("renew", "b"), ("renew", "a"),
                   ("renew", "a"), ("renew", "b")),
}


def make_limits(number: int, now: float) -> FleetLimits:
    """Returns the limits of a limiter in the fleet of the model."""
    return FleetLimits(number, LIMITERS, now, MAX_ATTEMPT_MS, NODE_LIMIT)


@dataclass
class Limiter:
    """A limiter and the times at which its running attempts began."""

    limits: FleetLimits
    running: list[float] = field(default_factory=list)
    starts: int = 1


class World:
    """One state of the model.

    ``make`` creates the limits of a limiter; tests pass faulty implementations.
    """

    def __init__(self, start: str = "empty", make: Callable[[int, float], FleetLimits] = make_limits) -> None:
        self.make = make
        self.now = 1000.0
        self.limiters = [Limiter(make(number, self.now)) for number in range(LIMITERS)]
        self.lender = self.limiters[0].limits.lender_of(SUBJECT)
        # Sender, receiver and message.
        self.in_flight: list[tuple[int, int, LeaseRequest | LeaseReply]] = []
        # The recovery after the start is over, so that the lender lends.
        self.now += 2 * LEASE_MS + MAX_ATTEMPT_MS
        others = [number for number in range(LIMITERS) if number != self.lender]
        numbers = {"l": self.lender, "a": others[0], "b": others[1], "": 0}
        for name, role in STARTS[start]:
            self.perform_action((name, numbers[role]))

    def enabled_actions(self) -> list[Action]:
        """Returns the actions that are possible in this state."""
        enabled: list[Action] = [("wait", 0)]
        for number, limiter in enumerate(self.limiters):
            enabled += [("renew", number), ("fill", number)]
            enabled += (
                [("ask", number)] if number != self.lender and len(self.in_flight) < MAX_MESSAGES else [])
            enabled += [("restart", number)] if limiter.starts < 2 else []
            enabled += (
                [("greet", number)]
                if number != self.lender and self.limiters[self.lender].starts > 1 else [])
        for index in range(len(self.in_flight)):
            enabled += [("deliver", index), ("repeat", index), ("lose", index)]
        return enabled

    def perform_action(self, action: Action) -> None:
        """Performs an action, which changes this state."""
        name, argument = action
        # Time advances so that no two requests of a limiter have the same number.
        self.now += 1.0
        match name:
            case "wait":
                self.now += STEP_MS
                for limiter in self.limiters:
                    limiter.running = [at for at in limiter.running if self.now - at < MAX_ATTEMPT_MS]
            case "ask":
                self.in_flight += self._requests(argument)
            case "renew":
                for sender, receiver, message in self._requests(argument):
                    for answer in self._receive(sender, receiver, message):
                        self._receive(*answer)
            case "fill":
                limiter = self.limiters[argument]
                limiter.running.clear()
                while (len(limiter.running) < WANTED
                       and limiter.limits.has_slot(self.now, SUBJECT, len(limiter.running))):
                    limiter.running.append(self.now)
                    limiter.limits.record_attempt(self.now, SUBJECT, len(limiter.running), True)
            case "restart":
                self.limiters[argument] = Limiter(
                    self.make(argument, self.now), starts=self.limiters[argument].starts + 1)
            case "greet":
                # Reports the slots that the limiter holds to the restarted lender.
                limiter = self.limiters[argument]
                for request in limiter.limits.report_holdings(
                        self.now, self.lender, lambda subject: len(limiter.running)):
                    self._receive(argument, self.lender, request)
                self.limiters[self.lender].limits.lender.reported |= {
                    number for number, limiter in enumerate(self.limiters) if limiter.starts > 1
                } - {self.lender}
            case "lose":
                self.in_flight.pop(argument)
            case _:
                sender, receiver, message = (
                    self.in_flight[argument] if name == "repeat" else self.in_flight.pop(argument))
                answers = self._receive(sender, receiver, message)
                self.in_flight += answers[:MAX_MESSAGES - len(self.in_flight)]

    def _requests(self, number: int) -> list[tuple[int, int, LeaseRequest | LeaseReply]]:
        limiter = self.limiters[number]
        # A shortage of slots makes the limiter send its request early.
        for _ in range(WANTED - 1):
            limiter.limits.has_slot(self.now, SUBJECT, WANTED)
        if SUBJECT in limiter.limits.held:
            limiter.limits.held[SUBJECT].requested_at = -1e9
        return [(number, receiver, request) for receiver, request in limiter.limits.due_requests(
            self.now, lambda subject: len(limiter.running))]

    def _receive(
        self, sender: int, receiver: int, message: LeaseRequest | LeaseReply
    ) -> list[tuple[int, int, LeaseRequest | LeaseReply]]:
        """Passes a message to its receiver and returns the answer, if there is one."""
        limits = self.limiters[receiver].limits
        if isinstance(message, LeaseReply):
            limits.receive_reply(self.now, message)
            return []
        reply = limits.lender.handle_request(self.now, sender, message, limits.pool())
        return [(receiver, sender, reply)] if reply is not None else []

    def find_violation(self) -> str:
        """Returns the invariant that this state violates, or an empty string."""
        running = [len(limiter.running) for limiter in self.limiters]
        return (f"{running} attempts are out, and the limit is {NODE_LIMIT}"
                if sum(running) > NODE_LIMIT else "")

    def find_divergence(self) -> str:
        """Lets all leases expire, renews them, and returns the violated invariant or an empty string.

        Limiters that want slots must get them, and the limit must hold.  Messages that were in flight before
        arrive last.
        """
        delayed, self.in_flight = self.in_flight, []
        for _ in range(5):
            self.perform_action(("wait", 0))
        for limiter in self.limiters:
            limiter.running.clear()
        for number in range(LIMITERS):
            self.perform_action(("renew", number))
            self.perform_action(("fill", number))
        for sender, receiver, message in delayed:
            for answer in self._receive(sender, receiver, message):
                self._receive(*answer)
        for number in range(LIMITERS):
            self.perform_action(("fill", number))
        if sum(len(limiter.running) for limiter in self.limiters) < NODE_LIMIT - 1:
            return (f"{[len(limiter.running) for limiter in self.limiters]} attempts are out, "
                    f"and {NODE_LIMIT} are wanted")
        return self.find_violation()

    def fingerprint(self) -> object:
        """Returns a value that is equal for equivalent states.

        Times are compared in steps, and numbers by their order.
        """
        def age(at: float) -> int:
            return round((self.now - at) / STEP_MS) if at > 0 else -99

        numbers = {message.number for _, _, message in self.in_flight}
        for limiter in self.limiters:
            for held in limiter.limits.held.values():
                numbers |= {held.adopted}
            for grants in limiter.limits.lender.grants.values():
                numbers |= {number for grant in grants.values()
                            for number in (grant.number, *(number for number, _ in grant.offers))}
        rank = {number: position for position, number in enumerate(sorted(numbers))}
        limiters = []
        for limiter in self.limiters:
            lease = limiter.limits.held.get(SUBJECT)
            grants = limiter.limits.lender.grants.get(SUBJECT, {})
            limiters.append(
                (
                    tuple(age(at) for at in limiter.running),
                    limiter.starts,
                    (rank[lease.adopted], lease.slots, age(lease.expires_at)) if lease else None,
                    age(limiter.limits.lender.recovering_until),
                    tuple(
                        sorted(
                            (
                                holder,
                                rank[grant.number],
                                age(grant.expires_at),
                                grant.used,
                                grant.wanted,
                                tuple((rank[number], slots) for number, slots in grant.offers),
                            )
                            for holder, grant in grants.items()
                        )
                    ),
                )
            )
        in_flight = tuple(
            (
                sender,
                receiver,
                rank[message.number],
                message[2:] if isinstance(message, LeaseReply) else (rank.get(message.adopted), message[3:]),
            )
            for sender, receiver, message in self.in_flight
        )
        return tuple(limiters), in_flight
