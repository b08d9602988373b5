"""A reference model of the rules that larklb guarantees its operators.

The model consists of plain lists and sums; it is slow, and its correctness can be checked by reading.  It is
written from the contract (WIRE), the rules on sockets (PROTOCOL) and sections 5, 6 and 8 of the brief, and it
imports nothing of the program.  A test reports to it, in order of time, what can be observed from outside:
jobs accepted, attempts sent and ended, answers, and the lists of servers that limiters received.
``RuleViolationError`` names the violated rule.  Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# An answer that needs no further decision comes within a tick or two.
MAX_PROMPT_MS = 5.0


class RuleViolationError(AssertionError):
    """A rule is violated; the text begins with its name."""


@dataclass(frozen=True)
class ServiceClass:
    """A class of jobs.

    ``repeat`` is "safe", "keyed" or "never".  For "keyed", ``group`` is the scope in which servers drop a
    repeat ("all", one "zone" or one "cell"), and ``window`` counts from the first attempt that may have run.
    """

    repeat: str
    group: str = "all"
    window: float = 0.0
    aim: float = 0.0


@dataclass(frozen=True)
class Quota:
    """Quota of one customer; ``rate`` is in units a second, 0 for no quota."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True)
class Bounds:
    """Figures that the rules refer to.

    ``answer_grace`` counts from the client's deadline, and ``drain_grace`` from when a limiter learned that a
    server drains.  ``max_send_lag`` is the longest time between an owner's verdict and the first attempt, for
    the ask and the wait for a server with room.
    """

    max_attempts: int
    answer_grace: float
    drain_grace: float
    cold_share: float
    warm_within: float
    tip_multiple: float
    overload_window: float
    max_send_lag: float


@dataclass
class Server:
    """A server; ``capacity`` is in attempts a second when warm."""

    zone: str
    cell: int
    capacity: float
    started: float = -1e12
    # Attempts sent by limiters that knew of its start.
    sends: list[float] = field(default_factory=list)


@dataclass
class Attempt:
    """One attempt of a job."""

    server: str
    sent_at: float
    in_flight: bool = True
    may_have_run: bool = True


@dataclass
class Job:
    """A job that a limiter accepted."""

    limiter: int
    service_class: ServiceClass
    plan: str
    customer: str
    units: float
    accepted_at: float
    due: float
    attempts: list[Attempt] = field(default_factory=list)
    # When an attempt last ended.
    last_ended_at: float = 0.0
    # Answered, or nobody is owed an answer any more.
    finished: bool = False
    # The client has left and receives no answer.
    client_gone: bool = False


class Rules:
    """All that was observed in one run, and the checks of the rules."""

    def __init__(self, bounds: Bounds, classes: dict[str, ServiceClass], quotas: dict[str, Quota]) -> None:
        self.bounds, self.classes, self.quotas = bounds, classes, quotas
        self.jobs: dict[str, Job] = {}
        # The jobs that are owed an answer.
        self.open: dict[str, Job] = {}
        self.servers: dict[str, Server] = {}
        # When a limiter learned that a server drains or is gone.
        self.closed_since: dict[tuple[int, str], float] = {}
        # The start of a server that a limiter learned of.
        self.known_starts: dict[tuple[int, str], float] = {}
        # Units of first attempts by customer, with their times: all, and those within the quota.
        self.charged: dict[str, list[tuple[float, float]]] = {}
        self.charged_within_quota: dict[str, list[tuple[float, float]]] = {}
        # Units beyond the quota that faults explain, by customer.
        self.allowed_excess: dict[str, float] = {}
        # Without faults refusals can be checked too.
        self.exact = True

    # Observations -----------------------------------------------------------------------------

    def list_received(self, at: float, limiter: int, server: str, state: str, started: float | None) -> None:
        """A limiter received the state and the start of a server."""
        if state == "up":
            self.closed_since.pop((limiter, server), None)
        else:
            self.closed_since.setdefault((limiter, server), at)
        if started is not None:
            self.known_starts[limiter, server] = started

    def accepted(self, at: float, limiter: int, name: str, class_name: str, plan: str, customer: str,
                 units: float, due: float) -> None:
        """A limiter accepted a job."""
        self.jobs[name] = self.open[name] = Job(
            limiter, self.classes[class_name], plan, customer, units, at, due)

    def attempt_sent(self, at: float, name: str, server_name: str, beyond: bool = False) -> None:
        """An attempt was sent; ``beyond`` means that the quota had refused the job."""
        job, server = self.jobs[name], self.servers[server_name]
        require(not job.finished, "final answers", f"{name} is sent on after its end")
        require(not any(a.in_flight for a in job.attempts), "one attempt out", f"{name} has another one out")
        require(len(job.attempts) < self.bounds.max_attempts, "attempts at most",
                f"{name}: {len(job.attempts) + 1}")
        self._check_repeat(at, name, job, server_name, server)
        since = self.closed_since.get((job.limiter, server_name))
        require(since is None or at - since <= self.bounds.drain_grace, "drains", f"{name} to {server_name}")
        self._check_cold_server(at, job, server_name, server)
        if not job.attempts:
            self._check_quota(at, job, beyond)
        job.attempts.append(Attempt(server_name, at))

    def attempt_ended(self, at: float, name: str, attempt: int, never_ran: bool, served: bool) -> None:
        """An attempt ended; ``served`` means that it answered the client."""
        job = self.jobs[name]
        job.attempts[attempt].in_flight, job.attempts[attempt].may_have_run = False, not never_ran
        job.last_ended_at = at
        if served and not job.finished:
            self._answered(at, name)

    def refused(self, at: float, name: str, over_quota: bool) -> None:
        """The client was told that it may safely repeat the job."""
        job = self.jobs[name]
        ran = any(a.may_have_run for a in job.attempts)
        require(not ran or job.service_class.repeat == "safe"
                or (job.service_class.repeat == "keyed" and job.service_class.group == "all"),
                "repeats by class", f"{name} may have run and is refused")
        if over_quota:
            require(at - job.accepted_at <= job.service_class.aim * 0.35 + MAX_PROMPT_MS or ran, "answer now",
                    f"{name} was parked")
            self._check_refusal(at, name, job)
        self._not_served(at, name)

    def failed(self, at: float, name: str) -> None:
        """The client was told that the job failed."""
        self._not_served(at, name)

    def client_gone(self, name: str) -> None:
        """The client of a job has left."""
        self._finish(name)
        self.jobs[name].client_gone = True

    def _finish(self, name: str) -> None:
        self.jobs[name].finished = True
        self.open.pop(name, None)

    def limiter_killed(self, limiter: int) -> None:
        """A limiter was killed: its jobs are left to their clients to repeat."""
        for name, job in self.jobs.items():
            if job.limiter == limiter:
                self._finish(name)
                for attempt in job.attempts:
                    attempt.in_flight = False
        for table in (self.closed_since, self.known_starts):
            for key in [k for k in table if k[0] == limiter]:
                del table[key]

    def check_time(self, at: float) -> None:
        """Checks that no open job is past its time."""
        for name, job in self.open.items():
            require(at <= job.due + self.bounds.answer_grace, "final answers", f"{name} has none in time")

    # The rules --------------------------------------------------------------------------------

    def _answered(self, at: float, name: str) -> None:
        job = self.jobs[name]
        require(not job.finished, "final answers", f"{name} has two")
        require(at <= job.due + self.bounds.answer_grace, "final answers", f"{name} has its answer late")
        self._finish(name)

    def _not_served(self, at: float, name: str) -> None:
        job = self.jobs[name]
        if job.client_gone:
            return
        # A job that cannot be sent again must be answered as soon as that is known.
        if not job.finished:
            exhausted = len(job.attempts) == self.bounds.max_attempts
            barred = job.service_class.repeat == "never" and any(a.may_have_run for a in job.attempts)
            require(not (exhausted or barred) or at - job.last_ended_at <= MAX_PROMPT_MS, "answer now",
                    f"{name} was parked")
        require(not any(a.in_flight for a in job.attempts), "final answers",
                f"{name} is given up with an attempt out")
        self._answered(at, name)

    def _check_repeat(self, at: float, name: str, job: Job, server_name: str, server: Server) -> None:
        ran = [a for a in job.attempts if a.may_have_run]
        if not ran or job.service_class.repeat == "safe":
            return
        first = self.servers[ran[0].server]
        in_scope = {"all": True, "zone": server.zone == first.zone,
                    "cell": (server.zone, server.cell) == (first.zone, first.cell)}[job.service_class.group]
        require(job.service_class.repeat == "keyed" and in_scope
                and at <= ran[0].sent_at + job.service_class.window, "repeats by class",
                f"{name} goes to {server_name} again")

    def _check_cold_server(self, at: float, job: Job, server_name: str, server: Server) -> None:
        if self.known_starts.get((job.limiter, server_name)) == server.started:
            server.sends.append(at)
        window = [t for t in server.sends if at - t < self.bounds.overload_window]
        if not window or at - server.started >= self.bounds.warm_within:
            return
        warmth = max(0.0, window[0] - server.started) / self.bounds.warm_within
        capacity = server.capacity * (self.bounds.cold_share + (1.0 - self.bounds.cold_share) * warmth)
        require(len(window) <= self.bounds.tip_multiple * capacity * self.bounds.overload_window / 1000.0,
                "cold nodes",
                f"{len(window)} attempts for {server_name} in {self.bounds.overload_window:g} ms")

    def _check_quota(self, at: float, job: Job, beyond: bool) -> None:
        quota = self.quotas[job.plan]
        self.charged.setdefault(job.customer, []).append((at, job.units))
        if quota.ceiling_rate:
            excess = deficit(at, self.charged[job.customer], quota.ceiling_rate, quota.ceiling_burst)
            require(excess <= quota.ceiling_slack + 1e-6, "ceilings",
                    f"{job.customer} is {excess:.2f} units below")
        if quota.rate and not beyond:
            self.charged_within_quota.setdefault(job.customer, []).append((at, job.units))
            excess = deficit(at, self.charged_within_quota[job.customer], quota.rate, quota.burst)
            allowed = (self.allowed_excess.get(job.customer, 0.0) + 1.0
                       + quota.rate * self.bounds.max_send_lag / 1000.0)
            require(excess <= allowed, "quotas",
                    f"{job.customer}: {excess:.2f} units too many, of {allowed:.2f}")

    def _check_refusal(self, at: float, name: str, job: Job) -> None:
        """Without faults a quota that holds the units must not refuse them."""
        quota = self.quotas[job.plan]
        # Units of jobs that wait for a verdict or for a server may be taken already.
        waiting = sum(o.units for o in self.open.values() if o.customer == job.customer and not o.attempts)
        left = (-deficit(at, self.charged_within_quota.get(job.customer, []), quota.rate, quota.burst)
                - (waiting - job.units))
        wanted = job.units + 1.0 + quota.rate * self.bounds.max_send_lag / 1000.0
        require(not self.exact or not quota.rate or left < wanted, "quotas",
                f"{name} is refused: {left:.2f} left")


def deficit(at: float, charges: list[tuple[float, float]], rate: float, burst: float) -> float:
    """How far below zero a bucket that was full at first would be now; negative for the tokens it holds."""
    largest, used = -burst, 0.0
    # For each charge: all units since then, against what the rate has added in the meantime.
    for began, units in reversed(charges):
        used += units
        largest = max(largest, used - burst - rate * (at - began) / 1000.0)
    return largest


def require(condition: bool, rule: str, detail: str) -> None:
    """Raises ``RuleViolationError`` unless the condition holds."""
    if not condition:
        raise RuleViolationError(f"{rule}: {detail}")
