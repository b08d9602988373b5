"""Deterministic simulation of several limiters in one process over a scripted network, in simulated time.

Links lose, delay, duplicate, reorder and cut messages as a scenario says; execute nodes always answer soon.
The admitted tries are compared with one ideal token bucket per customer that sees every try on arrival.
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

SERVICE_TIME_MS = 60.0     # of a job at an execute node
MESSAGE_DELAY_MS = (1.0, 39.0)         # range from the operators' requirements
# Intervals at which the demand of a customer is read again: above and below the rate that counts as frequent.
REFRESH_MS, SLOW_REFRESH_MS = 250.0, 5000.0
FREQUENT_RATE = 0.1        # tries per second
AIM, DEADLINE = 1500.0, 4000.0
PLANS = (io.Plan("taller", rate=1.4, burst=6.0), io.Plan("astillero", rate=9.0, burst=16.0))
CLASSES = (io.ServiceClass("stock-check", aim=AIM, deadline=DEADLINE),)


@dataclass
class Delivery:
    """The delays in ms after which the copies of one message arrive; empty if it is lost."""

    delays_ms: tuple[float, ...]


Link = Callable[[float, int, int, random.Random], Delivery]
"""The network: maps time, sender, receiver and random source to the delivery of a message."""


@dataclass
class Customer:
    """The demand of one customer: ``demand`` is its rate in tries per second at a time."""

    name: str
    plan: io.Plan
    first: int
    spread: int
    demand: Callable[[float], float]
    choose_limiter: Callable[[float, random.Random], int]
    perfect: TokenBucket = field(init=False)
    ideal: float = 0.0         # units granted by one ideal bucket
    admitted: float = 0.0           # units admitted by the limiters
    tries: int = 0
    max_over: float = 0.0     # largest excess of ``admitted`` over ``ideal``, in units
    max_under: float = 0.0    # the same for ``ideal`` over ``admitted``, when a try ends

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
        """Units admitted beyond the ideal bucket, as a fraction of what it grants."""
        return max(0.0, self.admitted - self.ideal) / self.ideal if self.ideal else 0.0

    @property
    def refused(self) -> float:
        """Units refused although the ideal bucket grants them, as a fraction of what it grants."""
        return max(0.0, self.ideal - self.admitted) / self.ideal if self.ideal else 0.0


class Net:
    """The simulation; ``run`` advances it to a given time."""

    def __init__(self, gateways: int, customers: list[Customer], link: Link, seed: int, *,
                 plans: tuple[io.Plan, ...] = PLANS, inbox: float = 60.0,
                 servers: tuple[io.Entry, ...] = (),
                 entitlements_of: Callable[[int], Entitlements | None] = lambda number: None) -> None:
        """``servers`` is the initial list of all limiters; if empty, four servers for each limiter."""
        self.customers, self.link, self.entitlements_of, self.inbox = customers, link, entitlements_of, inbox
        self.random_source = random.Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.count = 0
        self.plans = plans
        self.number = gateways
        self.gateways: dict[int, Gateway] = {}
        self.starts = [0] * gateways
        self.customer_by_request: dict[str, Customer] = {}
        self.messages = self.bytes = self.overflowed = 0
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
        """Schedules an action at a time in ms."""
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, act))

    def begin(self, i: int) -> None:
        """Starts a limiter, or restarts it without state."""
        self.starts[i] += 1
        seed = self.random_source.randrange(1 << 30)
        gateway = self.gateways[i] = Gateway(self.settings(i), seed, self.now, self.entitlements_of(i))
        self._carry_out(i, gateway.start(self.now))
        self.feed(i, io.ServerList(io.ListKind.CACHED, 1, self.servers))

    def end(self, i: int) -> None:
        """Kills a limiter."""
        self.gateways.pop(i, None)

    def feed(self, i: int, event: io.Event) -> None:
        """Passes an event to a limiter and carries out its actions; ignored if the limiter is down."""
        gateway = self.gateways.get(i)
        if gateway is not None:
            self._carry_out(i, gateway.handle(self.now, event))
            self.watch(self.now)

    def _carry_out(self, i: int, actions: list[io.Action]) -> None:
        start = self.starts[i]

        def later(delay: float, event: io.Event) -> None:
            # Events for a process that has ended are dropped.
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
                case io.Refuse() | io.Fail() if a.request in self.customer_by_request:
                    c = self.customer_by_request.pop(a.request)
                    c.max_under = max(c.max_under, c.ideal - c.admitted)

    def _send(self, i: int, a: io.Send, later: Callable[[float, io.Event], None]) -> None:
        """Performs an attempt of limiter ``i``; here each succeeds after the service time."""
        self._let(a.request)
        later(SERVICE_TIME_MS, io.Outcome(a.request, 0, a.server, io.Result.OK, SERVICE_TIME_MS, True))

    def _cancel(self, a: io.Cancel, later: Callable[[float, io.Event], None]) -> None:
        """Cancels an attempt; a no-op here, because attempts end too soon to be cancelled."""

    def _let(self, request: str) -> None:
        c = self.customer_by_request.pop(request, None)
        if c is not None:
            c.admitted += 1.0
            c.max_over = max(c.max_over, c.admitted - c.ideal)

    def _tell(self, sender: int, peer: int, data: bytes) -> None:
        self.messages += 1
        self.bytes += len(data)
        for delay in self.link(self.now, sender, peer, self.random_source).delays_ms:
            self.at(self.now + delay, lambda: self._arrive(sender, peer, data))

    def _arrive(self, sender: int, peer: int, data: bytes) -> None:
        inbox = self.inboxes.setdefault(peer, [])
        inbox[:] = [t for t in inbox if t > self.now - 1000.0]
        if len(inbox) >= self.inbox * 1.5:         # the excess is lost, with a margin for bursts
            self.overflowed += 1
            return
        inbox.append(self.now)
        self.feed(peer, io.PeerMessage(sender, data))

    def _next_try(self, c: Customer) -> None:
        rate = c.demand(self.now)
        # The rate may change before the next try, so it is read again after this time.
        refresh_ms = REFRESH_MS if rate >= FREQUENT_RATE else SLOW_REFRESH_MS
        wait = self.random_source.expovariate(rate) * 1000.0 if rate > 0 else refresh_ms + 1.0
        self.at(self.now + min(wait, refresh_ms), lambda: self._try(c, wait <= refresh_ms))

    def _try(self, c: Customer, real: bool) -> None:
        if real:
            c.tries += 1
            name = f"{c.name}-{c.tries}"
            i = c.choose_limiter(self.now, self.random_source)
            if i in self.gateways:
                c.perfect.fill(self.now)
                if c.perfect.tokens >= 1.0 - 1e-9:
                    c.perfect.tokens -= 1.0
                    c.ideal += 1.0
                self.customer_by_request[name] = c
                self.feed(i, io.Request(name, "stock-check", c.plan.name, c.name, self.now + DEADLINE,
                                        first=c.first, spread=c.spread))
        self._next_try(c)

    def run(self, until: float) -> None:
        """Processes all events up to a time in ms."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until


# Scenarios ------------------------------------------------------------------------------


@dataclass(frozen=True)
class Scenario:
    """A scenario: message faults, restarts of limiters and shifts of traffic."""

    name: str
    words: str
    loss: float = 0.02
    cuts: tuple[tuple[float, float], ...] = ()         # start and end in ms of partitions between the halves
    one_way: bool = False                              # only messages from the first half are lost
    repeats: float = 0.0                               # fraction of duplicated messages
    spread_ms: float = 0.0                             # maximum extra random delay, which reorders
    moved: tuple[float, float] | None = None           # traffic goes to the side without the owner
    restarts: tuple[tuple[float, float, int], ...] = ()        # time in ms, downtime in ms, limiter
    length: float = 60000.0


def _flaps() -> Iterator[tuple[float, float]]:
    random_source, at = random.Random(7), 15000.0
    while at < 45000.0:
        cut, up = random_source.uniform(1000.0, 3000.0), random_source.uniform(1000.0, 3000.0)
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
    """Returns the network of a scenario; the halves are the lower and the upper limiter numbers."""
    half = gateways // 2

    def link(now: float, sender: int, to: int, random_source: random.Random) -> Delivery:
        apart = (sender < half) != (to < half) and any(a <= now < b for a, b in s.cuts)
        if apart and (not s.one_way or sender < half) or random_source.random() < s.loss:
            return Delivery(())
        delays = [random_source.uniform(*MESSAGE_DELAY_MS) + random_source.uniform(0.0, s.spread_ms)]
        if random_source.random() < s.repeats:
            delays.append(delays[0] + random_source.uniform(0.0, 300.0))
        return Delivery(tuple(delays))
    return link


def customers_of(s: Scenario, gateways: int, count: int, spread: int, seed: int) -> list[Customer]:
    """Returns customers whose demand is 0.3 to 3 times their quota, unevenly spread over the limiters."""
    random_source = random.Random(seed * 1000003 + 17)
    half, found = gateways // 2, []
    for n in range(count):
        plan = PLANS[n % len(PLANS)]
        first = random_source.randrange(gateways)
        load = random_source.choice((0.3, 0.6, 0.9, 0.97, 1.5, 3.0))
        ranks = [random_source.uniform(0.3, 1.5) for _ in range(spread)]
        c = Customer(f"{n:016x}", plan, first, spread, lambda now, r=plan.rate * load: r,   # type: ignore[misc]
                     lambda now, random_source: 0)
        within = c.members(gateways)
        owner = c.owner(gateways)
        away = [m for m in within if (m < half) != (owner < half)] or within

        def choose_limiter(now: float, random_source: random.Random, within: list[int] = within,
                           ranks: list[float] = ranks, away: list[int] = away) -> int:
            if s.moved is not None and s.moved[0] <= now < s.moved[1]:
                return random_source.choice(away)
            return random_source.choices(within, ranks)[0]

        c.choose_limiter = choose_limiter
        found.append(c)
    return found


def play(name: str, seed: int, *, gateways: int = 4, count: int = 24, spread: int = 3,
         entitlements_of: Callable[[int], Entitlements | None] = lambda number: None) -> Net:
    """Runs a scenario to its end."""
    s = SCENARIOS[name]
    net = Net(gateways, customers_of(s, gateways, count, spread, seed), link_of(s, gateways), seed,
              entitlements_of=entitlements_of)
    for at, down, i in s.restarts:
        net.at(at, lambda i=i: net.end(i))                     # type: ignore[misc]
        net.at(at + down, lambda i=i: net.begin(i))            # type: ignore[misc]
    net.run(s.length)
    return net


def totals(net: Net) -> tuple[float, float]:
    """Returns the totals over all customers of excess and of wrongly refused units, relative to the ideal."""
    ideal = sum(c.ideal for c in net.customers)
    return (sum(max(0.0, c.admitted - c.ideal) for c in net.customers) / ideal,
            sum(max(0.0, c.ideal - c.admitted) for c in net.customers) / ideal)


def bound_of(s: Scenario, c: Customer, reserve: float) -> ErrorBound:
    """Returns the a-priori error bound in units for a customer of a scenario."""
    apart = max((b - a for a, b in s.cuts), default=0.0) / 1000.0
    return error_bound(c.plan.rate, c.plan.burst, c.spread, loss=s.loss, apart_s=apart, reserve=reserve,
                       restarts=len(s.restarts), cuts=len(s.cuts))


def rows(net: Net, s: Scenario, reserve: float) -> list[dict[str, object]]:
    """Returns one table row for each customer."""
    found: list[dict[str, object]] = []
    for c in net.customers:
        b = bound_of(s, c, reserve)
        found.append({"customer": c.name.lstrip("0") or "0", "plan": c.plan.name,
                      "load": f"{c.demand(0.0) / c.plan.rate:.2f}", "owner": c.owner(net.number),
                      "tried": c.tries, "perfect": round(c.ideal), "let in": round(c.admitted),
                      "over": f"{c.over:.1%}", "refused": f"{c.refused:.1%}",
                      "most over": round(c.max_over, 1), "bound over": round(b.over, 1),
                      "most under": round(c.max_under, 1), "bound under": round(b.under, 1)})
    return found
