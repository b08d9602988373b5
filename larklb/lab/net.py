"""Deterministic simulation of several limiters in one process over a scripted network, in simulated time.

Links lose, delay, duplicate, reorder and cut messages as a scenario says; execute nodes always answer soon.
The admitted tries are compared with one ideal token bucket per customer that sees every try on arrival.
Times are in ms from the start, unless stated otherwise.
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
# Intervals at which the demand of a customer is read again: from FREQUENT_RATE on, and below it.
REFRESH_MS, SLOW_REFRESH_MS = 250.0, 5000.0
FREQUENT_RATE = 0.1        # tries per second
AIM_MS, DEADLINE_MS = 1500.0, 4000.0
PLANS = (io.Plan("taller", rate=1.4, burst=6.0), io.Plan("astillero", rate=9.0, burst=16.0))
CLASSES = (io.ServiceClass("stock-check", aim=AIM_MS, deadline=DEADLINE_MS),)


@dataclass
class Delivery:
    """The delays in ms after which the copies of one message arrive; empty if it is lost."""

    delays_ms: tuple[float, ...]


Link = Callable[[float, int, int, random.Random], Delivery]
"""The network: maps time, sender, receiver and random source to the delivery of a message."""


@dataclass
class Customer:
    """One customer: its demand, and its admitted units beside those of an ideal bucket.

    ``demand`` maps a time to a rate in tries per second, and ``choose_limiter`` returns the limiter that
    receives a try.  The customer's set is ``spread`` limiters from number ``first`` on.
    """

    name: str
    plan: io.Plan
    first: int
    spread: int
    demand: Callable[[float], float]
    choose_limiter: Callable[[float, random.Random], int]
    ideal_bucket: TokenBucket = field(init=False)
    ideal: float = 0.0         # units granted by the ideal bucket
    admitted: float = 0.0           # units admitted by the limiters
    tries: int = 0
    max_over: float = 0.0     # largest excess of ``admitted`` over ``ideal``, in units
    max_under: float = 0.0    # the same for ``ideal`` over ``admitted``, when a try is refused or fails

    def __post_init__(self) -> None:
        self.ideal_bucket = TokenBucket(self.plan.rate, self.plan.burst, self.plan.burst, 0.0)

    @property
    def key(self) -> int:
        """The customer's key on the hash ring."""
        return digest(self.name)

    def members(self, gateway_count: int) -> list[int]:
        """Returns the numbers of the limiters in the customer's set."""
        return members(self.first, self.spread, gateway_count)

    def owner(self, gateway_count: int) -> int:
        """Returns the number of the limiter that owns the customer's bucket."""
        return ring_owner(self.key, self.members(gateway_count))

    @property
    def over(self) -> float:
        """Units admitted beyond the ideal bucket, as a fraction of what it grants."""
        return max(0.0, self.admitted - self.ideal) / self.ideal if self.ideal else 0.0

    @property
    def refused(self) -> float:
        """Units refused although the ideal bucket grants them, as a fraction of what it grants."""
        return max(0.0, self.ideal - self.admitted) / self.ideal if self.ideal else 0.0


class Net:
    """The simulation of a fleet; ``run`` advances it to a given time.

    Equal arguments and an equal ``seed`` give the same run: events at the same time are processed in the
    order in which they were scheduled, and all random numbers depend on ``random_source``.
    """

    def __init__(self, gateway_count: int, customers: list[Customer], link: Link, seed: int, *,
                 plans: tuple[io.Plan, ...] = PLANS, inbox_per_s: float = 60.0,
                 servers: tuple[io.Entry, ...] = (),
                 entitlements_of: Callable[[int], Entitlements | None] = lambda number: None) -> None:
        """Starts ``gateway_count`` limiters and schedules the first try of each customer.

        ``servers`` is the initial list of all limiters; if empty, four servers for each limiter.  A limiter
        accepts ``inbox_per_s`` messages per second.  ``entitlements_of`` maps its number to its entitlements;
        None stands for those of ``plans`` alone.
        """
        self.customers, self.link, self.entitlements_of, self.inbox_per_s = (
            customers, link, entitlements_of, inbox_per_s)
        self.random_source = random.Random(seed)
        self.now = 0.0
        # A heap of times, sequence numbers and actions.
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.scheduled_count = 0
        self.plans = plans
        self.gateway_count = gateway_count
        self.gateways: dict[int, Gateway] = {}                # those that are up, by number
        self.start_counts = [0] * gateway_count
        self.customer_by_request: dict[str, Customer] = {}    # of tries that are neither admitted nor ended
        self.messages = self.bytes = self.overflowed = 0
        # Arrival times of the messages of the last second, by limiter.
        self.inboxes: dict[int, list[float]] = {}
        self.on_event: Callable[[float], object] = bool       # called after each event, with the time
        self.servers = servers or tuple(io.Entry(f"s{i}") for i in range(4 * gateway_count))
        for number in range(gateway_count):
            self.start_limiter(number)
        for customer in customers:
            self._schedule_next_try(customer)

    def settings(self, number: int) -> io.Settings:
        """Returns the settings of a limiter."""
        return io.Settings(number=number, gateways=self.gateway_count, classes=CLASSES, plans=self.plans,
                           tick=4.0, inbox_per_s=self.inbox_per_s, max_attempts=4, max_retry_after=500.0,
                           can_cancel=True)

    def schedule(self, time_ms: float, action: Callable[[], object]) -> None:
        """Schedules an action at a simulated time."""
        self.scheduled_count += 1
        heapq.heappush(self.queue, (time_ms, self.scheduled_count, action))

    def start_limiter(self, number: int) -> None:
        """Starts a limiter, or restarts it without state."""
        self.start_counts[number] += 1
        seed = self.random_source.randrange(1 << 30)
        gateway = self.gateways[number] = Gateway(self.settings(number), seed, self.now,
                                                  self.entitlements_of(number))
        self._perform_actions(number, gateway.start(self.now))
        self.deliver_event(number, io.ServerList(io.ListKind.CACHED, 1, self.servers))

    def kill_limiter(self, number: int) -> None:
        """Kills a limiter, which loses its state."""
        self.gateways.pop(number, None)

    def deliver_event(self, number: int, event: io.Event) -> None:
        """Passes an event to a limiter and performs its actions; ignored if the limiter is down."""
        gateway = self.gateways.get(number)
        if gateway is not None:
            self._perform_actions(number, gateway.handle(self.now, event))
            self.on_event(self.now)

    def _perform_actions(self, number: int, actions: list[io.Action]) -> None:
        start_count = self.start_counts[number]

        def deliver_later(delay_ms: float, event: io.Event) -> None:
            # Events for a process that has ended are dropped.
            self.schedule(self.now + delay_ms, lambda: (
                self.deliver_event(number, event) if self.start_counts[number] == start_count else None))

        for action in actions:
            match action:
                case io.SetTimer():
                    deliver_later(action.after, io.Timer(action.timer_id))
                case io.Send():
                    self._send_attempt(number, action, deliver_later)
                case io.Grant():
                    self._record_admission(action.request)
                case io.SendToPeer():
                    self._send_message(number, action.peer, action.data)
                case io.Cancel():
                    self._cancel_attempt(action, deliver_later)
                case io.Refuse() | io.Fail() if action.request in self.customer_by_request:
                    customer = self.customer_by_request.pop(action.request)
                    customer.max_under = max(customer.max_under, customer.ideal - customer.admitted)

    def _send_attempt(self, number: int, action: io.Send,
                      deliver_later: Callable[[float, io.Event], None]) -> None:
        """Performs an attempt of a limiter; here each succeeds after the service time."""
        self._record_admission(action.request)
        deliver_later(SERVICE_TIME_MS,
                      io.Outcome(action.request, 0, action.server, io.Result.OK, SERVICE_TIME_MS, True))

    def _cancel_attempt(self, action: io.Cancel, deliver_later: Callable[[float, io.Event], None]) -> None:
        """Cancels an attempt; a no-op here, because attempts end too soon to be cancelled."""

    def _record_admission(self, request_id: str) -> None:
        """Counts a request as admitted, unless it was counted before or has ended."""
        customer = self.customer_by_request.pop(request_id, None)
        if customer is not None:
            customer.admitted += 1.0
            customer.max_over = max(customer.max_over, customer.admitted - customer.ideal)

    def _send_message(self, sender: int, receiver: int, data: bytes) -> None:
        self.messages += 1
        self.bytes += len(data)
        for delay_ms in self.link(self.now, sender, receiver, self.random_source).delays_ms:
            self.schedule(self.now + delay_ms, lambda: self._receive_message(sender, receiver, data))

    def _receive_message(self, sender: int, receiver: int, data: bytes) -> None:
        inbox = self.inboxes.setdefault(receiver, [])
        inbox[:] = [arrived_at for arrived_at in inbox if arrived_at > self.now - 1000.0]
        if len(inbox) >= self.inbox_per_s * 1.5:         # the excess is lost, with a margin for bursts
            self.overflowed += 1
            return
        inbox.append(self.now)
        self.deliver_event(receiver, io.PeerMessage(sender, data))

    def _schedule_next_try(self, customer: Customer) -> None:
        rate = customer.demand(self.now)
        # The rate may change before the next try, so it is read again after this time.
        refresh_ms = REFRESH_MS if rate >= FREQUENT_RATE else SLOW_REFRESH_MS
        wait_ms = self.random_source.expovariate(rate) * 1000.0 if rate > 0 else refresh_ms + 1.0
        self.schedule(self.now + min(wait_ms, refresh_ms),
                      lambda: self._submit_try(customer, wait_ms <= refresh_ms))

    def _submit_try(self, customer: Customer, due: bool) -> None:
        """Submits a try if one is ``due``, and schedules the next; otherwise only the demand is read again.

        A try at a limiter that is down is lost, and the ideal bucket does not see it either.
        """
        if due:
            customer.tries += 1
            request_id = f"{customer.name}-{customer.tries}"
            number = customer.choose_limiter(self.now, self.random_source)
            if number in self.gateways:
                customer.ideal_bucket.fill(self.now)
                if customer.ideal_bucket.tokens >= 1.0 - 1e-9:
                    customer.ideal_bucket.tokens -= 1.0
                    customer.ideal += 1.0
                self.customer_by_request[request_id] = customer
                self.deliver_event(number, io.Request(
                    request_id, "stock-check", customer.plan.name, customer.name, self.now + DEADLINE_MS,
                    first=customer.first, spread=customer.spread))
        self._schedule_next_try(customer)

    def run(self, until: float) -> None:
        """Processes all events up to and including a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until


# Scenarios ------------------------------------------------------------------------------


@dataclass(frozen=True)
class Scenario:
    """A scenario: message faults, restarts of limiters and shifts of traffic."""

    name: str
    description: str
    loss: float = 0.02                                 # fraction of lost messages
    cuts: tuple[tuple[float, float], ...] = ()         # start and end in ms of partitions between the halves
    one_way: bool = False                              # only messages from the first half are lost
    repeats: float = 0.0                               # fraction of duplicated messages
    spread_ms: float = 0.0                             # maximum extra random delay, which reorders
    moved: tuple[float, float] | None = None           # from when to when all traffic avoids the owner's half
    restarts: tuple[tuple[float, float, int], ...] = ()        # time in ms, downtime in ms, limiter
    length: float = 60000.0                            # ms


def _flapping_cuts() -> Iterator[tuple[float, float]]:
    random_source, start = random.Random(7), 15000.0
    while start < 45000.0:
        cut_ms, up_ms = random_source.uniform(1000.0, 3000.0), random_source.uniform(1000.0, 3000.0)
        yield start, start + cut_ms
        start += cut_ms + up_ms


SPLIT = (20000.0, 35000.0)
SCENARIOS = {scenario.name: scenario for scenario in (
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
    Scenario("flapping", "the link between the halves comes and goes every 1 to 3 s",
             cuts=tuple(_flapping_cuts())),
    Scenario("repeats", "a fifth comes twice, and all out of order", repeats=0.2, spread_ms=120.0),
)}


def link_of(scenario: Scenario, gateway_count: int) -> Link:
    """Returns the network of a scenario; the halves are the lower and the upper limiter numbers."""
    half = gateway_count // 2

    def link(now: float, sender: int, receiver: int, random_source: random.Random) -> Delivery:
        partitioned = (sender < half) != (receiver < half) and any(
            start <= now < end for start, end in scenario.cuts)
        if (partitioned and (not scenario.one_way or sender < half)
                or random_source.random() < scenario.loss):
            return Delivery(())
        delays_ms = [
            random_source.uniform(*MESSAGE_DELAY_MS) + random_source.uniform(0.0, scenario.spread_ms)]
        if random_source.random() < scenario.repeats:
            delays_ms.append(delays_ms[0] + random_source.uniform(0.0, 300.0))
        return Delivery(tuple(delays_ms))
    return link


def customers_of(scenario: Scenario, gateway_count: int, count: int, spread: int,
                 seed: int) -> list[Customer]:
    """Returns ``count`` customers, each with a set of ``spread`` limiters.

    The demand of a customer is 0.3 to 3 times its quota, unevenly spread over its limiters.
    """
    random_source = random.Random(seed * 1000003 + 17)
    half, customers = gateway_count // 2, []
    for index in range(count):
        plan = PLANS[index % len(PLANS)]
        first = random_source.randrange(gateway_count)
        load = random_source.choice((0.3, 0.6, 0.9, 0.97, 1.5, 3.0))
        weights = [random_source.uniform(0.3, 1.5) for _ in range(spread)]
        customer = Customer(f"{index:016x}", plan, first, spread,
                            lambda now, rate=plan.rate * load: rate,               # type: ignore[misc]
                            lambda now, random_source: 0)
        member_numbers = customer.members(gateway_count)
        owner = customer.owner(gateway_count)
        other_side = [m for m in member_numbers if (m < half) != (owner < half)] or member_numbers

        def choose_limiter(now: float, random_source: random.Random,
                           member_numbers: list[int] = member_numbers, weights: list[float] = weights,
                           other_side: list[int] = other_side) -> int:
            if scenario.moved is not None and scenario.moved[0] <= now < scenario.moved[1]:
                return random_source.choice(other_side)
            return random_source.choices(member_numbers, weights)[0]

        customer.choose_limiter = choose_limiter
        customers.append(customer)
    return customers


def play(name: str, seed: int, *, gateway_count: int = 4, count: int = 24, spread: int = 3,
         entitlements_of: Callable[[int], Entitlements | None] = lambda number: None) -> Net:
    """Runs a scenario with ``count`` customers to its end and returns the simulation."""
    scenario = SCENARIOS[name]
    net = Net(gateway_count, customers_of(scenario, gateway_count, count, spread, seed),
              link_of(scenario, gateway_count), seed, entitlements_of=entitlements_of)
    for killed_at, downtime_ms, number in scenario.restarts:
        net.schedule(killed_at, lambda number=number: net.kill_limiter(number))       # type: ignore[misc]
        net.schedule(killed_at + downtime_ms,
                     lambda number=number: net.start_limiter(number))                 # type: ignore[misc]
    net.run(scenario.length)
    return net


def totals(net: Net) -> tuple[float, float]:
    """Returns the totals over all customers of excess and of wrongly refused units, relative to the ideal."""
    ideal = sum(c.ideal for c in net.customers)
    return (sum(max(0.0, c.admitted - c.ideal) for c in net.customers) / ideal,
            sum(max(0.0, c.ideal - c.admitted) for c in net.customers) / ideal)


def bound_of(scenario: Scenario, customer: Customer, reserve: float) -> ErrorBound:
    """Returns the a-priori error bound in units for a customer of a scenario.

    ``reserve`` is the setting of the limiters between 0 (prefer the quota) and 1 (prefer service).
    """
    longest_cut_s = max((end - start for start, end in scenario.cuts), default=0.0) / 1000.0
    return error_bound(customer.plan.rate, customer.plan.burst, customer.spread, loss=scenario.loss,
                       apart_s=longest_cut_s, reserve=reserve, restarts=len(scenario.restarts),
                       cuts=len(scenario.cuts))


def rows(net: Net, scenario: Scenario, reserve: float) -> list[dict[str, object]]:
    """Returns one table row for each customer."""
    table_rows: list[dict[str, object]] = []
    for customer in net.customers:
        bound = bound_of(scenario, customer, reserve)
        table_rows.append({"customer": customer.name.lstrip("0") or "0", "plan": customer.plan.name,
                           "load": f"{customer.demand(0.0) / customer.plan.rate:.2f}",
                           "owner": customer.owner(net.gateway_count),
                           "tried": customer.tries, "perfect": round(customer.ideal),
                           "let in": round(customer.admitted),
                           "over": f"{customer.over:.1%}", "refused": f"{customer.refused:.1%}",
                           "most over": round(customer.max_over, 1), "bound over": round(bound.over, 1),
                           "most under": round(customer.max_under, 1), "bound under": round(bound.under, 1)})
    return table_rows
