"""Simulated clients that send requests of tenants with quotas to limiters in simulated time.

The real quota decisions and the real control plane of all limiters run on the simulated network of
``control_world``.  A request that is admitted runs at a server at once.  The numbers of requests that ran are
compared with the limit as the rule QUOTA states it: those that were both sent and run within a window, over
all limiters.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field

from larklb.admission.quota_records import ASKED, OWNER, Allowance, OvershootBound, QuotaDecision
from larklb.admission.quotas import Quotas
from larklb.admission.share_leases import LeaseDurations
from larklb.gateway.messages import AnyMessage, QuotaMessage
from larklb.gateway.quota_exchange import QuotaExchange
from larklb.lab.control_callers import Operators
from larklb.lab.control_world import Machine, Timer, World
from larklb.lab.quota_check import allowed_per_window, worst_window

# Time for an admitted request to reach its server, (min, max).
FORWARD_DELAY_MS = (0.5, 3.0)
CLIENT_DELAY_MS = 8.0  # one way, between a client and a limiter
# A client sends a refused request again to another limiter, this often at the most.
FURTHER_TRIES = 2
DEADLINE_MS = 2_500.0
# A limiter that doesn't answer the platform gets no new clients after this time.
READINESS_TIMEOUT_MS = 1_500.0
READINESS_INTERVAL_MS = 500.0
EXPIRY_INTERVAL_MS = 1_000.0
FOUNDING_MS = 8_000.0  # time until all limiters have the first configuration


@define(frozen=True)
class Run:
    """A request that ran: when its client sent it, when it reached a server, and the basis of its admission.

    ``node`` is the limiter that admitted it, ``owner`` the one that this limiter regarded as the owner."""

    sent_at: float
    run_at: float
    decided_by: str
    node: str
    owner: str

    @property
    def source(self) -> str:
        """Whose tokens it took: those of an owner's bucket, or of a limiter's slice."""
        if self.decided_by in (OWNER, ASKED):
            return f"bucket of {self.owner}"
        return f"slice of {self.node}"


@define
class TenantRecord:
    """The requests of one tenant that ran, and how many were sent and refused."""

    allowance: Allowance
    bound: OvershootBound = field(factory=OvershootBound)
    runs: list[Run] = field(factory=list)
    tries: int = 0
    refused: int = 0

    @property
    def allowed_per_window(self) -> float:
        """How many requests may run in a window, by the rule."""
        return allowed_per_window(self.allowance, self.bound)

    def worst_window(self) -> list[Run]:
        """Returns the runs of the window with the most requests that were both sent and run in it."""
        return worst_window(self.runs, self.bound.window_s * 1000.0)

    def excess(self) -> float:
        """Returns by how many requests the worst window exceeds the limit; at most 0 if the rule holds."""
        return len(self.worst_window()) - self.allowed_per_window

    def describe(self) -> str:
        """Describes the worst window, with the buckets and slices whose tokens were taken."""
        worst = self.worst_window()
        if not worst:
            return "no request ran"
        sources = Counter(run.source for run in worst)
        return (
            f"{len(worst)} requests of {self.allowance.tenant} ran from {worst[0].sent_at / 1000.0:.3f} s, "
            f"{self.allowed_per_window:.1f} are allowed: "
            + ", ".join(f"{name} {count}" for name, count in sources.most_common(6))
        )


@define
class MachineClock:
    """The clock and timers of one process on a simulated machine."""

    world: QuotaWorld
    machine: Machine
    incarnation: int

    def now(self) -> float:
        """Returns the simulated time in ms."""
        return self.world.now

    def after(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Calls ``callback`` after ``delay`` ms unless the process has ended by then."""
        return self.world.start_timer(self.machine, self.incarnation, delay, partial(callback, *args))


class QuotaWorld(World):
    """A simulated installation whose limiters decide on the requests of tenants."""

    def __init__(self, seed: int, allowances: list[Allowance], cores: int = 3, limiters: int = 11) -> None:
        super().__init__(seed, cores, (cores - 1) // 2, limiters)
        self.records = {allowance.tenant: TenantRecord(allowance) for allowance in allowances}
        self.exchanges: dict[str, QuotaExchange] = {}
        self.last_ready: dict[str, float] = {}
        self._poll_readiness()

    # Processes ------------------------------------------------------------------------------

    def found(self) -> None:
        """Starts all machines for the first time, and runs until they have a configuration."""
        operators = Operators(self)
        for machine in self.machines.values():
            self.at(self.rng.uniform(0, 300), partial(self.start, machine))
        operators.order(0, 1)
        self.run(FOUNDING_MS)
        self.bootstrap = False

    def start(self, machine: Machine) -> None:
        """Starts a new process with quotas of its own."""
        super().start(machine)
        assert machine.plane is not None
        subscriber = machine.plane.subscriber
        quotas = Quotas(
            machine.node,
            self.now,
            self.rng.randrange(1 << 30),
            first_start=self.bootstrap,
            lease_durations=LeaseDurations().scaled(subscriber.time_scale),
        )
        clock = MachineClock(self, machine, machine.incarnation)
        exchange = QuotaExchange(quotas, clock, machine.plane.send, Counter())
        self.exchanges[machine.node] = exchange
        allowances = {tenant: record.allowance for tenant, record in self.records.items()}
        quotas.set_allowances(self.now, 1, allowances)
        subscriber.on_change = lambda: exchange.update_members(self.now, subscriber)
        clock.after(EXPIRY_INTERVAL_MS, self._expire, machine, clock)

    def start_timer(
        self, machine: Machine, incarnation: int, delay: float, action: Callable[[], object]
    ) -> Timer:
        """Starts a timer of a process."""
        return self._timer(machine, incarnation, delay, action)

    def _expire(self, machine: Machine, clock: MachineClock) -> None:
        self.exchanges[machine.node].quotas.expire(self.now)
        clock.after(EXPIRY_INTERVAL_MS, self._expire, machine, clock)

    def _tick(self, machine: Machine, incarnation: int) -> None:
        super()._tick(machine, incarnation)
        if machine.incarnation == incarnation and machine.up:
            self.exchanges[machine.node].tick(self.now)

    def handle_message(self, machine: Machine, message: AnyMessage) -> None:
        """Passes messages on quotas to the process's quota exchange, all others to its control plane."""
        if not isinstance(message, QuotaMessage):
            super().handle_message(machine, message)
            return
        assert machine.plane is not None
        self.exchanges[machine.node].handle_message(self.now, message, machine.plane.subscriber.members)

    # Clients --------------------------------------------------------------------------------

    def _poll_readiness(self) -> None:
        for machine in self.machines.values():
            if machine.up and not machine.leaving and machine.version:
                self.last_ready[machine.node] = self.now
        self.at(READINESS_INTERVAL_MS, self._poll_readiness)

    def ready_nodes(self) -> list[str]:
        """Returns the nodes to which the platform sends new clients."""
        return [
            node
            for node, at in self.last_ready.items()
            if self.now - at <= READINESS_TIMEOUT_MS and node in self.machines
        ]

    def owner_nodes(self, tenant: str) -> list[str]:
        """Returns the nodes that any running limiter regards as the owner of a tenant."""
        nodes = {
            self.exchanges[machine.node].quotas.owner_node(tenant)
            for machine in self.machines.values()
            if machine.plane is not None and machine.node in self.exchanges
        }
        return sorted(nodes - {""})

    def send_request(self, tenant: str, node: str, deadline: float, further_tries: int) -> None:
        """Sends a request of a tenant to a limiter; a refused one is sent again to another."""
        sent_at = self.now
        record = self.records[tenant]
        record.tries += 1

        def decided(decision: QuotaDecision) -> None:
            if decision.allowed:
                run_at = self.now + self.rng.uniform(*FORWARD_DELAY_MS)
                owner = self.exchanges[node].quotas.owner_node(tenant)
                record.runs.append(Run(sent_at, run_at, decision.decided_by, node, owner))
                return
            record.refused += 1
            wait_ms = min(decision.retry_after_ms, (deadline - self.now) / 3.0)
            self._try_again(tenant, node, deadline, further_tries, wait_ms)

        self.at(CLIENT_DELAY_MS, lambda: self._arrive(tenant, node, deadline, further_tries, decided))

    def _arrive(
        self,
        tenant: str,
        node: str,
        deadline: float,
        further_tries: int,
        decided: Callable[[QuotaDecision], object],
    ) -> None:
        machine = self.machines.get(node)
        if machine is None or machine.plane is None or not machine.version:
            self._try_again(tenant, node, deadline, further_tries, 0.0)
            return
        if machine.frozen:
            machine.buffered.append(lambda: self._arrive(tenant, node, deadline, further_tries, decided))
            return
        if self.now < deadline:
            self.exchanges[node].start_request(self.records[tenant].allowance, decided)

    def _try_again(self, tenant: str, node: str, deadline: float, further_tries: int, wait_ms: float) -> None:
        others = [other for other in self.ready_nodes() if other != node]
        if not others or further_tries <= 0 or self.now + wait_ms + 2 * CLIENT_DELAY_MS >= deadline:
            return
        other = self.rng.choice(others)
        self.at(
            CLIENT_DELAY_MS + max(0.0, wait_ms),
            lambda: self.send_request(tenant, other, deadline, further_tries - 1),
        )
