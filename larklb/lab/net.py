"""Several limiters' modules in one process under a scripted network, in simulated time, the same for a seed.

Links lose, delay, repeat, reorder and cut messages as a scenario says; execute nodes answer soon and always.
What the limiters let in is laid beside one perfect bucket per customer, which sees every try as it comes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from larklb import interface as io
from larklb.decide import Gateway
from larklb.quota.bucket import TokenBucket
from larklb.quota.entitlements import Entitlements
from larklb.quota.ring import digest, members, ring_owner
from larklb.quota.shares import ErrorBound, error_bound

SERVE = 60.0               # ms for which an execute node works on a job
DELAY = (1.0, 39.0)        # ms of a message, from the operators' brief
LOOK, LOOK_SELDOM = 250.0, 5000.0      # ms between looks at what a customer asks for, often or seldom
OFTEN = 0.1                # tries a second from which on a customer is looked at often
AIM, DEADLINE = 1500.0, 4000.0
PLANS = (io.Plan("taller", rate=1.4, burst=6.0), io.Plan("astillero", rate=9.0, burst=16.0))
CLASSES = (io.ServiceClass("stock-check", aim=AIM, deadline=DEADLINE),)


@dataclass
class Fate:
    """What becomes of one message: each copy arrives after so many ms; none, and it is lost."""

    arrives: tuple[float, ...]


Link = Callable[[float, int, int, random.Random], Fate]
"""The network: time, sender, receiver and chance give the fate of a message."""


@dataclass
class Customer:
    """One customer's demand; ``asks`` gives tries a second at a time, ``where`` the limiter for one."""

    name: str
    plan: io.Plan
    first: int
    spread: int
    asks: Callable[[float], float]
    where: Callable[[float, random.Random], int]
    perfect: TokenBucket = field(init=False)
    ideal: float = 0.0         # units that one perfect bucket has granted
    let: float = 0.0           # units that the limiters have let in
    tried: int = 0
    most_over: float = 0.0     # the largest lead of ``let`` over ``ideal`` so far, in units
    most_under: float = 0.0    # ... and of ``ideal`` over ``let``, judged when a try's fate is known

    def __post_init__(self) -> None:
        self.perfect = TokenBucket(self.plan.rate, self.plan.burst, self.plan.burst, 0.0)

    @property
    def key(self) -> int:
        return digest(self.name)

    def members(self, gateways: int) -> list[int]:
        return members(self.first, self.spread, gateways)

    def owner(self, gateways: int) -> int:
        return ring_owner(self.key, self.members(gateways))

    @property
    def over(self) -> float:
        """Part let in beyond what one perfect bucket grants."""
        return max(0.0, self.let - self.ideal) / self.ideal if self.ideal else 0.0

    @property
    def refused(self) -> float:
        """Part of what one perfect bucket grants that was refused."""
        return max(0.0, self.ideal - self.let) / self.ideal if self.ideal else 0.0


class Net:
    """The whole of it; ``run`` plays until a time."""

    def __init__(self, gateways: int, customers: list[Customer], link: Link, seed: int, *,
                 plans: tuple[io.Plan, ...] = PLANS, inbox: float = 60.0,
                 servers: tuple[io.Entry, ...] = (),
                 book: Callable[[int], Entitlements | None] = lambda number: None) -> None:
        """``servers``: the list that all limiters start with; none: four for each limiter."""
        self.customers, self.link, self.book, self.inbox = customers, link, book, inbox
        self.chance = random.Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.count = 0
        self.plans = plans
        self.number = gateways
        self.gateways: dict[int, Gateway] = {}
        self.starts = [0] * gateways
        self.of: dict[str, Customer] = {}
        self.messages = self.bytes = self.late = 0
        self.inboxes: dict[int, list[float]] = {}
        self.watch: Callable[[float], object] = bool          # called after each event, with the time
        self.servers = servers or tuple(io.Entry(f"s{i}") for i in range(4 * gateways))
        for i in range(gateways):
            self.begin(i)
        for customer in customers:
            self._next_try(customer)

    def settings(self, number: int) -> io.Settings:
        return io.Settings(number=number, gateways=self.number, classes=CLASSES, plans=self.plans, tick=4.0,
                           inbox_per_s=self.inbox, max_attempts=4, max_retry_after=500.0, can_cancel=True)

    def at(self, when: float, act: Callable[[], object]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, act))

    def begin(self, i: int) -> None:
        """Starts a limiter, or starts it again from nothing."""
        self.starts[i] += 1
        seed = self.chance.randrange(1 << 30)
        gateway = self.gateways[i] = Gateway(self.settings(i), seed, self.now, self.book(i))
        self._carry_out(i, gateway.start(self.now))
        self.feed(i, io.ServerList(io.ListKind.CACHED, 1, self.servers))

    def end(self, i: int) -> None:
        """Kills a limiter."""
        self.gateways.pop(i, None)

    def feed(self, i: int, event: io.Event) -> None:
        gateway = self.gateways.get(i)
        if gateway is not None:
            self._carry_out(i, gateway.handle(self.now, event))
            self.watch(self.now)

    def _carry_out(self, i: int, actions: list[io.Action]) -> None:
        start = self.starts[i]

        def later(delay: float, event: io.Event) -> None:
            # What was meant for a process that has died reaches nobody.
            self.at(self.now + delay, lambda: self.feed(i, event) if self.starts[i] == start else None)

        for a in actions:
            match a:
                case io.SetTimer():
                    later(a.after, io.Timer(a.timer_id))
                case io.Send():
                    self._send(i, a, later)
                case io.Grant():
                    self._let(a.request)
                case io.SendToPeer():
                    self._tell(i, a.peer, a.data)
                case io.Cancel():
                    self._cancel(a, later)
                case io.Refuse() | io.Fail() if a.request in self.of:
                    c = self.of.pop(a.request)
                    c.most_under = max(c.most_under, c.ideal - c.let)

    def _send(self, i: int, a: io.Send, later: Callable[[float, io.Event], None]) -> None:
        """An attempt of limiter ``i``; here each is answered soon."""
        self._let(a.request)
        later(SERVE, io.Outcome(a.request, 0, a.server, io.Result.OK, SERVE, True))

    def _cancel(self, a: io.Cancel, later: Callable[[float, io.Event], None]) -> None:
        """An attempt is called off; here none lasts long enough."""

    def _let(self, request: str) -> None:
        c = self.of.pop(request, None)
        if c is not None:
            c.let += 1.0
            c.most_over = max(c.most_over, c.let - c.ideal)

    def _tell(self, sender: int, peer: int, data: bytes) -> None:
        self.messages += 1
        self.bytes += len(data)
        for delay in self.link(self.now, sender, peer, self.chance).arrives:
            self.at(self.now + delay, lambda: self._arrive(sender, peer, data))

    def _arrive(self, sender: int, peer: int, data: bytes) -> None:
        inbox = self.inboxes.setdefault(peer, [])
        inbox[:] = [t for t in inbox if t > self.now - 1000.0]
        if len(inbox) >= self.inbox * 1.5:         # what exceeds an inbox is lost, uneven moments apart
            self.late += 1
            return
        inbox.append(self.now)
        self.feed(peer, io.PeerMessage(sender, data))

    def _next_try(self, c: Customer) -> None:
        rate = c.asks(self.now)
        look = LOOK if rate >= OFTEN else LOOK_SELDOM          # a rate may have changed by then
        wait = self.chance.expovariate(rate) * 1000.0 if rate > 0 else look + 1.0
        self.at(self.now + min(wait, look), lambda: self._try(c, wait <= look))

    def _try(self, c: Customer, real: bool) -> None:
        if real:
            c.tried += 1
            name = f"{c.name}-{c.tried}"
            i = c.where(self.now, self.chance)
            if i in self.gateways:
                c.perfect.fill(self.now)
                if c.perfect.tokens >= 1.0 - 1e-9:
                    c.perfect.tokens -= 1.0
                    c.ideal += 1.0
                self.of[name] = c
                self.feed(i, io.Request(name, "stock-check", c.plan.name, c.name, self.now + DEADLINE,
                                        first=c.first, spread=c.spread))
        self._next_try(c)

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until


# Scenarios ------------------------------------------------------------------------------


@dataclass(frozen=True)
class Scenario:
    """A day: how messages fare, what is restarted when, where traffic goes."""

    name: str
    words: str
    loss: float = 0.02
    cuts: tuple[tuple[float, float], ...] = ()         # ms from and to; the halves do not hear each other
    one_way: bool = False                              # ... and only the first half's words are lost
    repeats: float = 0.0                               # part of the messages that come twice
    spread_ms: float = 0.0                             # further delay at random: reorders
    moved: tuple[float, float] | None = None           # all customers' traffic goes to the side without owner
    restarts: tuple[tuple[float, float, int], ...] = ()        # ms, ms down, limiter (by rank: 0 may own)
    length: float = 60000.0


def _flaps() -> Iterator[tuple[float, float]]:
    chance, at = random.Random(7), 15000.0
    while at < 45000.0:
        cut, up = chance.uniform(1000.0, 3000.0), chance.uniform(1000.0, 3000.0)
        yield at, at + cut
        at += cut + up


SPLIT = (20000.0, 35000.0)
SCENARIOS = {s.name: s for s in (
    Scenario("calm", "2% of the messages lost"),
    Scenario("loss10", "10% lost", loss=0.10),
    Scenario("loss30", "30% lost", loss=0.30),
    Scenario("split", "two halves apart for 15 s", cuts=(SPLIT,)),
    Scenario("moved", "the same, and all traffic moves to the side without the owner", cuts=(SPLIT,),
             moved=(22000.0, 35000.0)),
    Scenario("split-restart", "the same split; a limiter on each side restarts in it", cuts=(SPLIT,),
             restarts=((25000.0, 600.0, 0), (27000.0, 600.0, 2))),
    Scenario("owner-restart", "no split; each limiter in turn restarts",
             restarts=tuple((15000.0 + 8000.0 * i, 600.0, i) for i in range(4))),
    Scenario("half-restart", "half of the limiters restart within 8 s",
             restarts=((20000.0, 800.0, 0), (26000.0, 800.0, 3))),
    Scenario("one-way", "for 15 s one half's words do not reach the other", cuts=(SPLIT,), one_way=True),
    Scenario("flapping", "the link between the halves comes and goes every 1 to 3 s", cuts=tuple(_flaps())),
    Scenario("repeats", "a fifth comes twice, and all out of order", repeats=0.2, spread_ms=120.0),
)}


def link_of(s: Scenario, gateways: int) -> Link:
    """The network of a scenario; the halves are the lower and the upper numbers."""
    half = gateways // 2

    def link(now: float, sender: int, to: int, chance: random.Random) -> Fate:
        apart = (sender < half) != (to < half) and any(a <= now < b for a, b in s.cuts)
        if apart and (not s.one_way or sender < half) or chance.random() < s.loss:
            return Fate(())
        delays = [chance.uniform(*DELAY) + chance.uniform(0.0, s.spread_ms)]
        if chance.random() < s.repeats:
            delays.append(delays[0] + chance.uniform(0.0, 300.0))
        return Fate(tuple(delays))
    return link


def customers_of(s: Scenario, gateways: int, count: int, spread: int, seed: int) -> list[Customer]:
    """Demand from well under to several times the quota, uneven over the limiters, as the brief has it."""
    chance = random.Random(seed * 1000003 + 17)
    half, found = gateways // 2, []
    for n in range(count):
        plan = PLANS[n % len(PLANS)]
        first = chance.randrange(gateways)
        load = chance.choice((0.3, 0.6, 0.9, 0.97, 1.5, 3.0))
        ranks = [chance.uniform(0.3, 1.5) for _ in range(spread)]
        c = Customer(f"{n:016x}", plan, first, spread, lambda now, r=plan.rate * load: r,   # type: ignore[misc]
                     lambda now, chance: 0)
        within = c.members(gateways)
        owner = c.owner(gateways)
        away = [m for m in within if (m < half) != (owner < half)] or within

        def where(now: float, chance: random.Random, within: list[int] = within, ranks: list[float] = ranks,
                  away: list[int] = away) -> int:
            if s.moved is not None and s.moved[0] <= now < s.moved[1]:
                return chance.choice(away)
            return chance.choices(within, ranks)[0]

        c.where = where
        found.append(c)
    return found


def play(name: str, seed: int, *, gateways: int = 4, count: int = 24, spread: int = 3,
         book: Callable[[int], Entitlements | None] = lambda number: None) -> Net:
    """One day of a scenario."""
    s = SCENARIOS[name]
    net = Net(gateways, customers_of(s, gateways, count, spread, seed), link_of(s, gateways), seed, book=book)
    for at, down, i in s.restarts:
        net.at(at, lambda i=i: net.end(i))                     # type: ignore[misc]
        net.at(at + down, lambda i=i: net.begin(i))            # type: ignore[misc]
    net.run(s.length)
    return net


def totals(net: Net) -> tuple[float, float]:
    """Parts of all that perfect buckets grant: let in beyond it, and refused of it, summed by customer."""
    ideal = sum(c.ideal for c in net.customers)
    return (sum(max(0.0, c.let - c.ideal) for c in net.customers) / ideal,
            sum(max(0.0, c.ideal - c.let) for c in net.customers) / ideal)


def bound_of(s: Scenario, c: Customer, reserve: float) -> ErrorBound:
    """The bound stated in advance for a customer of a scenario, in units."""
    apart = max((b - a for a, b in s.cuts), default=0.0) / 1000.0
    return error_bound(c.plan.rate, c.plan.burst, c.spread, loss=s.loss, apart_s=apart, reserve=reserve,
                       restarts=len(s.restarts), cuts=len(s.cuts))


def rows(net: Net, s: Scenario, reserve: float) -> list[dict[str, object]]:
    """Each customer of a day, for a table."""
    found: list[dict[str, object]] = []
    for c in net.customers:
        b = bound_of(s, c, reserve)
        found.append({"customer": c.name.lstrip("0") or "0", "plan": c.plan.name,
                      "load": f"{c.asks(0.0) / c.plan.rate:.2f}", "owner": c.owner(net.number),
                      "tried": c.tried, "perfect": round(c.ideal), "let in": round(c.let),
                      "over": f"{c.over:.1%}", "refused": f"{c.refused:.1%}",
                      "most over": round(c.most_over, 1), "bound over": round(b.over, 1),
                      "most under": round(c.most_under, 1), "bound under": round(b.under, 1)})
    return found
