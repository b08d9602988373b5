"""The rules that larklb owes its operators, as plain lists and sums: slow, and right by reading.

Written from WIRE (the contract), PROTOCOL (the rules on sockets) and the brief (5, 6, 8); it imports nothing
of the program.  Whoever plays a day tells it, in order of time, what could be seen from outside: jobs taken,
attempts sent and ended, answers, what limiters were told of servers.  ``BrokenError`` names the rule.
Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

AT_ONCE = 5.0              # ms: an answer that needs no more thought comes within a tick or two


class BrokenError(AssertionError):
    """A rule is broken; the text begins with its name."""


@dataclass(frozen=True)
class Class:
    repeat: str            # "safe", "keyed" or "never"
    group: str = "all"     # for "keyed": the servers that drop a repeat: "all", one "zone" or one "cell"
    window: float = 0.0    # for "keyed": from the first attempt that may have run
    aim: float = 0.0


@dataclass(frozen=True)
class Quota:
    rate: float            # units a second; 0: no quota
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True)
class Figures:
    most_attempts: int
    answer_grace: float    # after the client's deadline
    drain_grace: float     # after a limiter was told
    cold_share: float
    warm_within: float
    tip_multiple: float
    tip_time: float
    lag: float             # between an owner's verdict and the first send at most: the ask, room at a node


@dataclass
class Server:
    zone: str
    cell: int
    capacity: float        # attempts a second that it does when warm
    started: float = -1e12
    sent: list[float] = field(default_factory=list)      # by limiters that knew of its start


@dataclass
class Try:
    server: str
    sent: float
    out: bool = True
    may_have_run: bool = True


@dataclass
class Job:
    limiter: int
    kind: Class
    plan: str
    customer: str
    units: float
    taken: float
    due: float
    tries: list[Try] = field(default_factory=list)
    last: float = 0.0      # when an attempt last ended
    over: bool = False     # answered, or nobody is owed an answer any more
    gone: bool = False     # nobody hears what is answered


class Rules:
    """All that was seen of one day."""

    def __init__(self, figures: Figures, classes: dict[str, Class], quotas: dict[str, Quota]) -> None:
        self.f, self.classes, self.quotas = figures, classes, quotas
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}                       # of these, those that are owed an answer
        self.servers: dict[str, Server] = {}
        self.closed: dict[tuple[int, str], float] = {}       # told to a limiter: drains or is gone, since
        self.knows: dict[tuple[int, str], float] = {}        # the start that a limiter was told of
        self.units: dict[str, list[tuple[float, float]]] = {}           # of first sends, by customer
        self.inside: dict[str, list[tuple[float, float]]] = {}          # ... those within the quota
        self.excess: dict[str, float] = {}                   # units that faults explain, by customer
        self.exact = True                                    # no faults: a refusal can be checked too

    # What is seen ---------------------------------------------------------------------------

    def told(self, at: float, limiter: int, server: str, state: str, started: float | None) -> None:
        if state == "up":
            self.closed.pop((limiter, server), None)
        else:
            self.closed.setdefault((limiter, server), at)
        if started is not None:
            self.knows[limiter, server] = started

    def taken(self, at: float, limiter: int, job: str, kind: str, plan: str, customer: str, units: float,
              due: float) -> None:
        self.jobs[job] = self.open[job] = Job(limiter, self.classes[kind], plan, customer, units, at, due)

    def sent(self, at: float, job: str, server: str, beyond: bool = False) -> None:
        j, s = self.jobs[job], self.servers[server]
        need(not j.over, "final answers", f"{job} is sent on after its end")
        need(not any(t.out for t in j.tries), "one attempt out", f"{job} has another one out")
        need(len(j.tries) < self.f.most_attempts, "attempts at most", f"{job}: {len(j.tries) + 1}")
        self._repeat(at, job, j, server, s)
        since = self.closed.get((j.limiter, server))
        need(since is None or at - since <= self.f.drain_grace, "drains", f"{job} to {server}")
        self._cold(at, j, server, s)
        if not j.tries:
            self._quota(at, j, beyond)
        j.tries.append(Try(server, at))

    def ended(self, at: float, job: str, attempt: int, never_ran: bool, served: bool) -> None:
        j = self.jobs[job]
        j.tries[attempt].out, j.tries[attempt].may_have_run = False, not never_ran
        j.last = at
        if served and not j.over:
            self._answered(at, job)

    def refused(self, at: float, job: str, over_quota: bool) -> None:
        """Trying again is said to be harmless."""
        j = self.jobs[job]
        ran = any(t.may_have_run for t in j.tries)
        need(not ran or j.kind.repeat == "safe" or (j.kind.repeat == "keyed" and j.kind.group == "all"),
             "repeats by class", f"{job} may have run and is refused")
        if over_quota:
            need(at - j.taken <= j.kind.aim * 0.35 + AT_ONCE or ran, "answer now", f"{job} was parked")
            self._room(at, job, j)
        self._turned_down(at, job)

    def failed(self, at: float, job: str) -> None:
        self._turned_down(at, job)

    def gone(self, job: str) -> None:
        self._over(job)
        self.jobs[job].gone = True

    def _over(self, job: str) -> None:
        self.jobs[job].over = True
        self.open.pop(job, None)

    def died(self, limiter: int) -> None:
        """A limiter was killed: what it had taken is its clients' to repeat."""
        for name, j in self.jobs.items():
            if j.limiter == limiter:
                self._over(name)
                for t in j.tries:
                    t.out = False
        for known in (self.closed, self.knows):
            for key in [k for k in known if k[0] == limiter]:
                del known[key]

    def clock(self, at: float) -> None:
        """Nothing that was taken may be past its time."""
        for name, j in self.open.items():
            need(at <= j.due + self.f.answer_grace, "final answers", f"{name} has none in time")

    # The rules --------------------------------------------------------------------------------

    def _answered(self, at: float, job: str) -> None:
        j = self.jobs[job]
        need(not j.over, "final answers", f"{job} has two")
        need(at <= j.due + self.f.answer_grace, "final answers", f"{job} has its answer late")
        self._over(job)

    def _turned_down(self, at: float, job: str) -> None:
        j = self.jobs[job]
        if j.gone:
            return
        if not j.over:       # nothing more could come of it: then the answer is owed when that is known
            spent = len(j.tries) == self.f.most_attempts
            barred = j.kind.repeat == "never" and any(t.may_have_run for t in j.tries)
            need(not (spent or barred) or at - j.last <= AT_ONCE, "answer now", f"{job} was parked")
        need(not any(t.out for t in j.tries), "final answers", f"{job} is given up with an attempt out")
        self._answered(at, job)

    def _repeat(self, at: float, job: str, j: Job, server: str, s: Server) -> None:
        ran = [t for t in j.tries if t.may_have_run]
        if not ran or j.kind.repeat == "safe":
            return
        first = self.servers[ran[0].server]
        same = {"all": True, "zone": s.zone == first.zone,
                "cell": (s.zone, s.cell) == (first.zone, first.cell)}[j.kind.group]
        need(j.kind.repeat == "keyed" and same and at <= ran[0].sent + j.kind.window, "repeats by class",
             f"{job} goes to {server} again")

    def _cold(self, at: float, j: Job, server: str, s: Server) -> None:
        if self.knows.get((j.limiter, server)) == s.started:
            s.sent.append(at)
        window = [t for t in s.sent if at - t < self.f.tip_time]
        if not window or at - s.started >= self.f.warm_within:
            return
        warm = max(0.0, window[0] - s.started) / self.f.warm_within
        stands = s.capacity * (self.f.cold_share + (1.0 - self.f.cold_share) * warm)
        need(len(window) <= self.f.tip_multiple * stands * self.f.tip_time / 1000.0, "cold nodes",
             f"{len(window)} attempts for {server} in {self.f.tip_time:g} ms")

    def _quota(self, at: float, j: Job, beyond: bool) -> None:
        q = self.quotas[j.plan]
        self.units.setdefault(j.customer, []).append((at, j.units))
        if q.ceiling_rate:
            most = owing(at, self.units[j.customer], q.ceiling_rate, q.ceiling_burst)
            need(most <= q.ceiling_slack + 1e-6, "ceilings", f"{j.customer} is {most:.2f} units below")
        if q.rate and not beyond:
            self.inside.setdefault(j.customer, []).append((at, j.units))
            most = owing(at, self.inside[j.customer], q.rate, q.burst)
            allowed = self.excess.get(j.customer, 0.0) + 1.0 + q.rate * self.f.lag / 1000.0
            need(most <= allowed, "quotas", f"{j.customer}: {most:.2f} units too many, of {allowed:.2f}")

    def _room(self, at: float, job: str, j: Job) -> None:
        """With no faults, a quota that holds the units turns nobody down."""
        q = self.quotas[j.plan]
        # Units of those that wait for a verdict or for room may be taken already.
        waiting = sum(o.units for o in self.open.values() if o.customer == j.customer and not o.tries)
        left = -owing(at, self.inside.get(j.customer, []), q.rate, q.burst) - (waiting - j.units)
        wanted = j.units + 1.0 + q.rate * self.f.lag / 1000.0
        need(not self.exact or not q.rate or left < wanted, "quotas", f"{job} is refused: {left:.2f} left")


def owing(at: float, takes: list[tuple[float, float]], rate: float, burst: float) -> float:
    """How far below nothing a store that began full would be now; what it holds, as a negative."""
    most, used = -burst, 0.0
    for began, units in reversed(takes):       # what was taken since each of them, against what has filled
        used += units
        most = max(most, used - burst - rate * (at - began) / 1000.0)
    return most


def need(good: bool, rule: str, what: str) -> None:
    if not good:
        raise BrokenError(f"{rule}: {what}")
