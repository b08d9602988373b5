"""Settings, events and actions of the decision module.

All times are milliseconds on one clock that only advances.  ``Gateway.handle(now, event)`` in ``decide.py``
takes one event and returns the actions to carry out, in order.  This module holds types only.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

# Upper bounds of what a peer message can encode.  Settings beyond them are refused, because truncated figures
# would mislead peers.
MAX_DEADLINE_MS = 655350.0
MAX_BURST = 2047.0
MAX_OPEN = 65535
# Classes and plans share one range of topics of judgements: classes count up from 1, plans down from here.
MAX_TOPICS = 250


class RepeatPolicy(Enum):
    """What a service class allows once an attempt of a request may have run.

    ``SAFE`` may run any number of times.  ``KEYED`` may be repeated at servers that drop repeats of its key
    (see ``DedupScope``), within the window of the class.  ``NEVER`` must not be repeated.
    """

    SAFE = "safe"
    KEYED = "keyed"
    NEVER = "never"


class DedupScope(Enum):
    """The servers that drop each other's repeats of a key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt or a probe ended; ``NOT_SENT`` means that the attempt was withdrawn before it left."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


#: Results that prove that the attempt never ran (as the servers' protocol states).
NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


class ServerState(Enum):
    """State of a server in the list of servers."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list of servers is to be read.

    ``FULL`` replaces the list; ``CHANGES`` holds changed entries only; ``CACHED`` is a full list from an
    earlier run; ``LOST`` says that the subscription has ended.
    """

    FULL = "whole"
    CHANGES = "changes"
    CACHED = "recalled"
    LOST = "lost"


@dataclass(frozen=True)
class ServiceClass:
    """A class of requests.

    ``aim`` is the latency in ms within which an answer is on time, ``deadline`` the longest a client waits.
    ``worth`` is the value of an answer on time and ``late_worth`` the share of it that a late one still has.
    ``repeat``, ``group`` and ``window`` (ms from the first attempt that may have run) say whether and where
    an attempt may be repeated.
    """

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    repeat: RepeatPolicy = RepeatPolicy.SAFE
    group: DedupScope = DedupScope.ALL
    window: float = 0.0


@dataclass(frozen=True)
class Plan:
    """Quotas of one customer of the plan; 0 means that there is no such quota.

    ``rate`` is in units per second and ``burst`` in units; ``most_open`` limits concurrent grants.
    ``price`` is what a unit within the quota earns: waiting requests are sent in the order of their value,
    which is proportional to it.  ``beyond_earns`` and ``excess_cost`` are the earnings and the cost of a unit
    beyond the quota.  The ceiling bounds all units sent, within and beyond the quota, give or take
    ``ceiling_slack`` units: ``ceiling_rate`` is in units per second and ``ceiling_burst`` in units.  With a
    ``ceiling_rate`` nothing is sent beyond the quota.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    most_open: int = 0
    price: float = 1.0
    beyond_earns: float = 0.0
    excess_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True)
class Settings:
    """Settings of one limiter: ``number`` of ``gateways``, counted from 0.

    ``zone`` is the limiter's own, empty if unknown.  ``tick`` is the resolution of timers in ms, and
    ``inbox_per_s`` the number of messages a second that a limiter takes in, 0 if unknown.  ``can_tell``,
    ``can_cancel`` and ``can_copy`` say whether messages to peers, cancelling of attempts and hedged attempts
    (a second one while the first is in flight) are possible; with ``must_ask_list`` the list of servers has
    to be subscribed to.  ``max_attempts`` limits the attempts of one request.  ``max_retry_after`` is the
    longest retry hint of a refusal in ms, 0 for no hints; that for a request for quota only may be longer.

    A server starts with ``cold_share`` of its capacity and reaches all of it after ``warm_within`` ms; more
    than ``tip_multiple`` times its capacity overloads it.  An attempt may still reach a draining server for
    ``drain_grace`` ms.  ``cross_zone_charge`` is the cost of an attempt in another zone than ``zone``: 0.1
    makes a server there count as twice as slow.  With ``trued_up`` a request is charged for the units that it
    turned out to use.  ``most_units`` bounds the units of one request.

    Raises ``ValueError``, which names the field, for a value out of range.
    """

    number: int
    gateways: int
    classes: tuple[ServiceClass, ...]
    plans: tuple[Plan, ...]
    zone: str = ""
    tick: float = 1.0
    inbox_per_s: float = 0.0
    can_tell: bool = True
    can_cancel: bool = False
    can_copy: bool = False
    must_ask_list: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    cold_share: float = 1.0
    warm_within: float = 0.0
    tip_multiple: float = 1.0
    drain_grace: float = 0.0
    cross_zone_charge: float = 0.0
    trued_up: bool = False
    most_units: float = math.inf

    def __post_init__(self) -> None:
        def need(good: bool, name: str, value: object) -> None:
            if not good:
                raise ValueError(f"settings: {name} is out of range: {value!r}")

        need(self.gateways >= 1, "gateways", self.gateways)
        need(0 <= self.number < max(1, self.gateways), "number", self.number)
        need(len(self.classes) > 0, "classes", self.classes)
        need(len(self.plans) > 0, "plans", self.plans)
        need(self.tick > 0, "tick", self.tick)
        need(self.inbox_per_s >= 0, "inbox_per_s", self.inbox_per_s)
        need(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        need(0 < self.cold_share <= 1, "cold_share", self.cold_share)
        need(self.warm_within >= 0, "warm_within", self.warm_within)
        need(self.tip_multiple > 0, "tip_multiple", self.tip_multiple)
        for c in self.classes:
            need(c.aim > 0, f"classes[{c.name}].aim", c.aim)
            need(0 < c.deadline <= MAX_DEADLINE_MS, f"classes[{c.name}].deadline", c.deadline)
        for plan in self.plans:
            for name in ("rate", "burst", "most_open", "excess_cost", "beyond_earns",
                         "ceiling_rate", "ceiling_burst", "ceiling_slack"):
                value = getattr(plan, name)
                need(value >= 0, f"plans[{plan.name}].{name}", value)
            need((plan.rate == 0 or plan.burst > 0) and plan.burst <= MAX_BURST,
                 f"plans[{plan.name}].burst", plan.burst)
            need(plan.most_open <= MAX_OPEN, f"plans[{plan.name}].most_open", plan.most_open)
        need(len(self.classes) + len(self.plans) <= MAX_TOPICS, "classes and plans", len(self.plans))


@dataclass(frozen=True)
class Entry:
    """One server in a list.

    ``weight`` is its capacity relative to other servers.  ``cell`` is its dedup cell within the zone (see
    ``DedupScope``).  ``started`` is the time of its start in ms, None if that was long ago.
    """

    server: str
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.UP
    weight: float = 1.0
    started: float | None = None


# Events -------------------------------------------------------------------------------


class EarlierAttempt(NamedTuple):
    """An attempt that another limiter may have made for the same request: where, and how many ms ago."""

    zone: str
    cell: int
    age: float


@dataclass(frozen=True)
class Request:
    """A request that a client sent.

    ``due`` is the time in ms by which it must be answered.  Its customer is served by ``spread`` limiters,
    counted from number ``first``.  With ``quota_only`` only the quota is asked: the request ends in a
    ``Grant`` instead of a ``Send``.  ``charged`` says that an earlier try of the same request has taken its
    units, and ``earlier_attempts`` holds the attempts of earlier tries, which may have run.
    """

    request: str
    service: str
    plan: str
    customer: str
    due: float
    units: float = 1.0
    first: int = 0
    spread: int = 1
    quota_only: bool = False
    charged: bool = False
    earlier_attempts: tuple[EarlierAttempt, ...] = ()


@dataclass(frozen=True)
class ServerList:
    """A list of servers arrived, or was lost."""

    kind: ListKind
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True)
class Timer:
    """The timer that ``SetTimer`` set under this number has expired."""

    timer_id: int


@dataclass(frozen=True)
class Outcome:
    """An attempt ended after ``took`` ms.

    ``complete`` means that nothing more is owed to the client.  ``actual_units`` are the units that the work
    turned out to use, where this is known.  ``unreadable`` marks an answer that arrived but cannot be parsed.
    ``server_blameless`` marks a failure that is not the server's: an idle connection had been closed, or
    none could be opened here for want of descriptors or memory.
    """

    request: str
    attempt: int
    server: str
    result: Result
    took: float
    complete: bool
    actual_units: float | None = None
    unreadable: bool = False
    server_blameless: bool = False


@dataclass(frozen=True)
class StreamStarted:
    """The first bytes of an attempt's answer are being passed to the client."""

    request: str
    attempt: int
    server: str
    took: float


@dataclass(frozen=True)
class ClientGone:
    """The client has closed its connection."""

    request: str


@dataclass(frozen=True)
class BodyConsumed:
    """The body of a request cannot be sent a second time: the attempt in flight is its last."""

    request: str


@dataclass(frozen=True)
class ProbeResult:
    """A probe of a server ended."""

    server: str
    result: Result
    took: float


@dataclass(frozen=True)
class PeerMessage:
    """A message from another limiter arrived."""

    sender: int
    data: bytes


@dataclass(frozen=True)
class CounterResult:
    """A call to an external counter ended; part of the simulator's protocol only."""

    name: int
    result: Result
    total: float
    took: float


Event = (Request | ServerList | Timer | Outcome | StreamStarted | ClientGone | ProbeResult
         | BodyConsumed | PeerMessage | CounterResult)


# Actions ------------------------------------------------------------------------------


class Stamp(NamedTuple):
    """What a request was judged under: plan, version of the plans, and the reservation that it draws on.

    ``reservation`` is a tag, 0 for none.  ``beyond`` means that the quota refused the request, and that it
    is sent nevertheless.
    """

    plan: str
    version: int = 0
    reservation: int = 0
    beyond: bool = False


@dataclass(frozen=True)
class Send:
    """Start an attempt; ``timeout`` is in ms, and with 0 the attempt waits as long as the client does."""

    request: str
    server: str
    timeout: float = 0.0
    stamp: Stamp | None = None


@dataclass(frozen=True)
class Grant:
    """Final answer to a request for quota only: its units are taken."""

    request: str
    stamp: Stamp | None = None


@dataclass(frozen=True)
class RecordDraw:
    """Store the units drawn on a reservation durably, before the actions that follow are carried out.

    ``tag`` is that of the reservation.  ``units`` is a running total: of what its owner granted or, with
    ``without_owner``, of what limiter ``limiter`` (-1: this one) drew without asking.
    """

    tag: int
    units: float
    without_owner: bool = False
    limiter: int = -1


@dataclass(frozen=True)
class Refuse:
    """Final answer: the request is refused, and it is safe to repeat it.

    ``retry_after`` is in ms, 0 for no hint; ``over_quota`` means that the quota is the cause.
    """

    request: str
    retry_after: float = 0.0
    over_quota: bool = False


@dataclass(frozen=True)
class Fail:
    """Final answer: the request failed; whether it ran is unknown."""

    request: str


@dataclass(frozen=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: str
    attempt: int


@dataclass(frozen=True)
class SendToPeer:
    """Send a message to another limiter."""

    peer: int
    data: bytes


@dataclass(frozen=True)
class SetTimer:
    """Deliver ``Timer(timer_id)`` after so many ms."""

    after: float
    timer_id: int


@dataclass(frozen=True)
class Subscribe:
    """Subscribe to the list of servers, or end the subscription."""

    on: bool = True


@dataclass(frozen=True)
class Log:
    """Write a line to the log."""

    text: str


Action = RecordDraw | Send | Grant | Refuse | Fail | Cancel | SendToPeer | SetTimer | Subscribe | Log
