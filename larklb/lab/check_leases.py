"""Explores what can become of slots lent between three limiters, exhaustively to a depth (see ``check.py``).

One node with a limit, one lender (which uses slots, too) and two more.  A limiter asks, begins all attempts
that it may anew, starts anew; a message arrives, comes twice, or is lost, in every order; time goes on by
less than a share lasts.  At each step no more attempts may be out than the limit.  With time enough and words
that arrive, who wants slots gets them again.  ``STARTS`` are worlds in which something is under way already:
what goes wrong late lies within the same depth of one of them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from larklb.fleet.leases import LEASE_MS, FleetLimits, LeaseReply, LeaseRequest
from larklb.lab.check import Action

LIMITERS, MOST = 3, 6      # limiters, and attempts at once at the node: a base of 1 for each, 3 are lent
SUBJECT = 7
LONGEST = 1800.0           # ms that an attempt may last
STEP = 1700.0              # ms that a wait takes: two are longer than a share lasts, one is not
MOST_MESSAGES = 2          # under way at once
WANTED = 4                 # attempts that each would have out

Start = tuple[tuple[str, str], ...]
#: By who they are: ``l`` is the lender, ``a`` and ``b`` the others; deliveries take the oldest message.
STARTS: dict[str, Start] = {
    "empty": (),
    "lent": (("renew", "a"), ("fill", "a"), ("fill", "b"), ("fill", "l")),
    "lent a while ago": (("renew", "a"), ("fill", "a"), ("wait", "")),
    "lent long ago": (("renew", "a"), ("fill", "a"), ("wait", ""), ("wait", ""), ("wait", "")),
    "told long ago": (("ask", "a"), ("deliver", ""), ("wait", ""), ("wait", ""), ("wait", "")),
    "told twice": (("ask", "a"), ("deliver", ""), ("repeat", ""), ("renew", "b"), ("renew", "a"),
                   ("renew", "a"), ("renew", "b")),
}


def plain(number: int, now: float) -> FleetLimits:
    return FleetLimits(number, LIMITERS, now, LONGEST, MOST)


@dataclass
class One:
    """A limiter and the times at which its attempts began."""

    limits: FleetLimits
    out: list[float] = field(default_factory=list)
    starts: int = 1


class World:
    """Three limiters; ``make`` gives one's limits, so that tests can put faults into them."""

    def __init__(self, start: str = "empty", make: Callable[[int, float], FleetLimits] = plain) -> None:
        self.make = make
        self.now = 1000.0
        self.of = [One(make(i, self.now)) for i in range(LIMITERS)]
        self.lender = self.of[0].limits.lender_of(SUBJECT)
        self.in_flight: list[tuple[int, int, LeaseRequest | LeaseReply]] = []
        self.now += 2 * LEASE_MS + LONGEST               # the start is over: the lender lends
        others = [i for i in range(LIMITERS) if i != self.lender]
        who = {"l": self.lender, "a": others[0], "b": others[1], "": 0}
        for name, of in STARTS[start]:
            self.act((name, who[of]))

    def actions(self) -> list[Action]:
        found: list[Action] = [("wait", 0)]
        for i, one in enumerate(self.of):
            found += [("renew", i), ("fill", i)]
            found += [("ask", i)] if i != self.lender and len(self.in_flight) < MOST_MESSAGES else []
            found += [("restart", i)] if one.starts < 2 else []
            found += [("greet", i)] if i != self.lender and self.of[self.lender].starts > 1 else []
        for n in range(len(self.in_flight)):
            found += [("deliver", n), ("repeat", n), ("lose", n)]
        return found

    def act(self, action: Action) -> None:
        name, n = action
        self.now += 1.0                                  # no two asks of a limiter have one number
        match name:
            case "wait":
                self.now += STEP
                for one in self.of:
                    one.out = [at for at in one.out if self.now - at < LONGEST]
            case "ask":
                self.in_flight += self._asks(n)
            case "renew":
                for sender, to, message in self._asks(n):
                    for answer in self._arrive(sender, to, message):
                        self._arrive(*answer)
            case "fill":
                one = self.of[n]
                one.out.clear()
                while len(one.out) < WANTED and one.limits.has_slot(self.now, SUBJECT, len(one.out)):
                    one.out.append(self.now)
                    one.limits.record_attempt(self.now, SUBJECT, len(one.out), True)
            case "restart":
                self.of[n] = One(self.make(n, self.now), starts=self.of[n].starts + 1)
            case "greet":                                # it has started, and hears what another has of it
                one = self.of[n]
                for want in one.limits.report_holdings(self.now, self.lender, lambda subject: len(one.out)):
                    self._arrive(n, self.lender, want)
                self.of[self.lender].limits.lender.reported |= {
                    i for i, one in enumerate(self.of) if one.starts > 1} - {self.lender}
            case "lose":
                self.in_flight.pop(n)
            case _:
                sender, to, message = self.in_flight[n] if name == "repeat" else self.in_flight.pop(n)
                answers = self._arrive(sender, to, message)
                self.in_flight += answers[:MOST_MESSAGES - len(self.in_flight)]

    def _asks(self, i: int) -> list[tuple[int, int, LeaseRequest | LeaseReply]]:
        one = self.of[i]
        for _ in range(WANTED - 1):                      # it is short: it asks in haste
            one.limits.has_slot(self.now, SUBJECT, WANTED)
        if SUBJECT in one.limits.held:
            one.limits.held[SUBJECT].requested_at = -1e9
        return [(i, to, want) for to, want in one.limits.due_requests(self.now, lambda subject: len(one.out))]

    def _arrive(
        self, sender: int, to: int, message: LeaseRequest | LeaseReply
    ) -> list[tuple[int, int, LeaseRequest | LeaseReply]]:
        limits = self.of[to].limits
        if isinstance(message, LeaseReply):
            limits.receive_reply(self.now, message)
            return []
        share = limits.lender.handle_request(self.now, sender, message, limits.pool())
        return [(to, sender, share)] if share is not None else []

    def find_violation(self) -> str:
        """What does not hold here, if anything."""
        out = [len(one.out) for one in self.of]
        return f"{out} attempts are out, and the limit is {MOST}" if sum(out) > MOST else ""

    def find_divergence(self) -> str:
        """Once all is over and words arrive: who wants slots gets them, and the limit holds."""
        old, self.in_flight = self.in_flight, []
        for _ in range(5):
            self.act(("wait", 0))
        for one in self.of:
            one.out.clear()
        for i in range(LIMITERS):
            self.act(("renew", i))
            self.act(("fill", i))
        for sender, to, message in old:                  # what was late comes last of all
            for answer in self._arrive(sender, to, message):
                self._arrive(*answer)
        for i in range(LIMITERS):
            self.act(("fill", i))
        if sum(len(one.out) for one in self.of) < MOST - 1:
            return f"{[len(one.out) for one in self.of]} attempts are out, and {MOST} are wanted"
        return self.find_violation()

    def fingerprint(self) -> object:
        """Worlds that look alike go on alike; times count in steps, numbers by their order."""
        def age(at: float) -> int:
            return round((self.now - at) / STEP) if at > 0 else -99

        numbers = {m.number for _, _, m in self.in_flight}
        for one in self.of:
            for held in one.limits.held.values():
                numbers |= {held.adopted}
            for grants in one.limits.lender.grants.values():
                numbers |= {n for g in grants.values() for n in (g.number, *(n for n, _ in g.offers))}
        rank = {n: r for r, n in enumerate(sorted(numbers))}
        seen = []
        for one in self.of:
            mine = one.limits.held.get(SUBJECT)
            grants = one.limits.lender.grants.get(SUBJECT, {})
            seen.append(
                (
                    tuple(age(at) for at in one.out),
                    one.starts,
                    (rank[mine.adopted], mine.slots, age(mine.expires_at)) if mine else None,
                    age(one.limits.lender.recovering_until),
                    tuple(
                        sorted(
                            (
                                h,
                                rank[g.number],
                                age(g.expires_at),
                                g.used,
                                g.wanted,
                                tuple((rank[n], s) for n, s in g.offers),
                            )
                            for h, g in grants.items()
                        )
                    ),
                )
            )
        in_flight = tuple(
            (s, t, rank[m.number], m[2:] if isinstance(m, LeaseReply) else (rank.get(m.adopted), m[3:]))
            for s, t, m in self.in_flight
        )
        return tuple(seen), in_flight
