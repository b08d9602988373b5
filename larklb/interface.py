"""Settings, events and actions of the decision module.

All times are milliseconds on one clock that only advances.  ``Gateway.handle(now, event)``
in ``decide.py`` takes one event and returns the actions to carry out, in order.
Nothing is decided here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

# The most that a peer message can say: settings beyond are refused, since cut figures would mislead peers.
MAX_DEADLINE_MS = 655350.0
MAX_BURST = 2047.0
MAX_OPEN = 65535
MAX_TOPICS = 250          # of judgements: classes count up from 1, plans down from here


class RepeatPolicy(Enum):
    """What a class allows once an attempt may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    NEVER = "never"


class DedupScope(Enum):
    """The servers that drop each other's repeats of a key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


#: Outcomes that prove that the attempt never ran (stated by the servers' protocol).
NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT})


class ServerState(Enum):
    """What the list of servers says of one."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list of servers is to be read."""

    FULL = "whole"
    CHANGES = "changes"
    CACHED = "recalled"
    LOST = "lost"


@dataclass(frozen=True)
class ServiceClass:
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
    """Quotas of one customer of the plan; 0 means that there is no such quota."""

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
                raise ValueError(f"settings: {name} makes no sense: {value!r}")

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
        for p in self.plans:
            for name in ("rate", "burst", "most_open", "excess_cost", "beyond_earns",
                         "ceiling_rate", "ceiling_burst", "ceiling_slack"):
                value = getattr(p, name)
                need(value >= 0, f"plans[{p.name}].{name}", value)
            need((p.rate == 0 or p.burst > 0) and p.burst <= MAX_BURST, f"plans[{p.name}].burst", p.burst)
            need(p.most_open <= MAX_OPEN, f"plans[{p.name}].most_open", p.most_open)
        need(len(self.classes) + len(self.plans) <= MAX_TOPICS, "classes and plans", len(self.plans))


@dataclass(frozen=True)
class Entry:
    """One server in a list; ``started`` is None for long ago."""

    server: str
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.UP
    weight: float = 1.0
    started: float | None = None


# Events -------------------------------------------------------------------------------


class EarlierAttempt(NamedTuple):
    """An attempt that another limiter may have made for the same job: where, and how many ms ago."""

    zone: str
    cell: int
    age: float


@dataclass(frozen=True)
class Request:
    request: str
    service: str
    plan: str
    customer: str
    due: float
    units: float = 1.0
    first: int = 0
    spread: int = 1
    quota_only: bool = False      # asks for the quota's word alone: ends in a Grant instead of a Send
    charged: bool = False          # its units were taken by an earlier try of the same job
    earlier_attempts: tuple[EarlierAttempt, ...] = ()        # attempts of earlier tries, which may have run


@dataclass(frozen=True)
class ServerList:
    kind: ListKind
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True)
class Timer:
    timer_id: int


@dataclass(frozen=True)
class Outcome:
    request: str
    attempt: int
    server: str
    result: Result
    took: float
    complete: bool
    actual_units: float | None = None
    unreadable: bool = False        # what came back cannot be read, though it came back
    # no failing of the server's: its connection had been closed while it rested,
    server_blameless: bool = False
                                # or none could be opened here for want of descriptors or memory


@dataclass(frozen=True)
class StreamStarted:
    request: str
    attempt: int
    server: str
    took: float


@dataclass(frozen=True)
class ClientGone:
    request: str


@dataclass(frozen=True)
class BodyConsumed:
    """What a request brings cannot be sent a second time: the attempt that is out is its last."""

    request: str


@dataclass(frozen=True)
class ProbeResult:
    server: str
    result: Result
    took: float


@dataclass(frozen=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(frozen=True)
class CounterResult:
    name: int
    result: Result
    total: float
    took: float


Event = (Request | ServerList | Timer | Outcome | StreamStarted | ClientGone | ProbeResult
         | BodyConsumed | PeerMessage | CounterResult)


# Actions ------------------------------------------------------------------------------


class Stamp(NamedTuple):
    """What a request was judged under: plan, version, and the reservation that it draws on (0: none)."""

    plan: str
    version: int = 0
    reservation: int = 0
    beyond: bool = False        # its quota turned it down, and it goes on all the same


@dataclass(frozen=True)
class Send:
    """Start an attempt; ``timeout`` 0 waits as long as the client does."""

    request: str
    server: str
    timeout: float = 0.0
    stamp: Stamp | None = None


@dataclass(frozen=True)
class Grant:
    """Final answer to a question: its units are taken."""

    request: str
    stamp: Stamp | None = None


@dataclass(frozen=True)
class RecordDraw:
    """To be kept before what follows leaves: units drawn in all on a reservation, by its owner's verdicts or,
    with ``apart``, by limiter ``by`` (-1: this one) without asking."""

    tag: int
    units: float
    without_owner: bool = False
    limiter: int = -1


@dataclass(frozen=True)
class Refuse:
    """Final answer: trying again is harmless; no hint with ``retry_after`` 0; ``over_quota``: the cause."""

    request: str
    retry_after: float = 0.0
    over_quota: bool = False


@dataclass(frozen=True)
class Fail:
    """Final answer that promises nothing."""

    request: str


@dataclass(frozen=True)
class Cancel:
    request: str
    attempt: int


@dataclass(frozen=True)
class SendToPeer:
    peer: int
    data: bytes


@dataclass(frozen=True)
class SetTimer:
    after: float
    timer_id: int


@dataclass(frozen=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True)
class Log:
    text: str


Action = RecordDraw | Send | Grant | Refuse | Fail | Cancel | SendToPeer | SetTimer | Subscribe | Log
