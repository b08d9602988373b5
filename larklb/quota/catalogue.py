"""The catalogue of plan versions: which figures and which customers' plans count from which instant on.

A version states what changes against the one before it; what it does not name stays.  Versions are numbered
upwards, their instants do not go back, and a version that was once taken never changes its content: a number
found in a verdict, a ledger or an invoice names one set of figures for good.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass, replace
from datetime import UTC, datetime

import msgspec

from larklb import interface as io
from larklb.fields import MalformedError, account
from larklb.quota.ring import digest

MAX_VERSIONS = 1000           # of a catalogue: some changes a week for years
MAX_VERSION_NUMBER = 65535            # that a peer message can carry
MAX_ASSIGNMENTS = 200_000       # assignments in all versions together
MAX_RATE = 1e6                # units a second: beyond it a figure is a slip of the pen
SETTINGS_VERSION = 0                   # the version that the settings told at the start


class CatalogueError(Exception):
    """A catalogue cannot be used; the text is one line that says where and why."""


class Figures(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Of one plan; None leaves a figure as it was.  Units a second, units, attempts out at once."""

    rate: float | None = None
    burst: float | None = None
    most_open: int | None = None


class _Entry(msgspec.Struct, forbid_unknown_fields=True, rename={"instant": "from"}):
    number: int
    instant: datetime
    note: str = ""
    plans: dict[str, Figures] = {}
    customers: dict[str, str] = {}


class _File(msgspec.Struct, forbid_unknown_fields=True):
    version: list[_Entry] = []


@dataclass(frozen=True)
class Version:
    """All plans as one version leaves them; ``at`` is in Unix milliseconds, -inf for the settings'."""

    number: int
    effective_at: float
    plans: tuple[io.Plan, ...]
    note: str = ""
    plan_changes: tuple[tuple[str, Figures], ...] = ()
    customers: tuple[tuple[str, str], ...] = ()
    stated_at: float = -math.inf  # the instant as the file has it: one in the past counts from its arrival


class Catalogue:
    """Versions in order; the first is what the settings say."""

    def __init__(self, versions: tuple[Version, ...]) -> None:
        self.versions = versions
        self.index_by_number = {v.number: i for i, v in enumerate(versions)}
        self.instants = [v.effective_at for v in versions]
        names = {p.name: i for i, p in enumerate(versions[0].plans)}
        # Of each assigned customer: from which version on it is on which plan; None for the plan it names.
        self.assignments: dict[int, list[tuple[int, int | None]]] = {}
        for i, v in enumerate(versions):
            for customer, plan in v.customers:
                self.assignments.setdefault(digest(customer), []).append((i, names.get(plan)))

    @property
    def newest(self) -> Version:
        return self.versions[-1]

    def effective_changes(self, after: int, upto: int) -> list[int]:
        """The versions from one to another that really counted: of one instant only the last."""
        return [i for i in range(after + 1, upto + 1)
                if i == upto or self.instants[i + 1] > self.instants[i]]

    def index_at(self, wall: float) -> int:
        """The index of the version that counts at an instant."""
        return max(0, bisect_right(self.instants, wall) - 1)

    def plan_of(self, key: int, index: int, told: int) -> int:
        """Number of the plan of a customer under a version; ``told`` is the one that its request names."""
        plan: int | None = None
        for since, number in self.assignments.get(key, ()):
            if since > index:
                break
            plan = number
        return told if plan is None else plan


def settings_catalogue(plans: tuple[io.Plan, ...]) -> Catalogue:
    """What the settings say, and nothing else."""
    return Catalogue((Version(SETTINGS_VERSION, -math.inf, plans),))


def parse(data: bytes, plans: tuple[io.Plan, ...], where: str = "plans") -> Catalogue:
    """The catalogue in a TOML file, checked as a whole; raises CatalogueError with one line.

    ``plans`` are the settings' plans: a catalogue gives them other figures and moves customers between them.
    """
    try:
        raw = msgspec.toml.decode(data, type=_File)
    except (msgspec.DecodeError, ValueError) as error:
        raise CatalogueError(f"{where}: {str(error).splitlines()[0]}") from error
    if len(raw.version) > MAX_VERSIONS:
        raise CatalogueError(f"{where}: {len(raw.version)} versions, {MAX_VERSIONS} at most")
    if sum(len(e.customers) for e in raw.version) > MAX_ASSIGNMENTS:
        raise CatalogueError(f"{where}: more than {MAX_ASSIGNMENTS} assignments of customers")
    versions = [Version(SETTINGS_VERSION, -math.inf, plans)]
    for entry in raw.version:
        try:
            versions.append(_version(entry, versions[-1]))
        except CatalogueError as error:
            raise CatalogueError(f"{where}: version {entry.number}: {error}") from error
    return Catalogue(tuple(versions))


def _version(entry: _Entry, before: Version) -> Version:
    if not before.number < entry.number <= MAX_VERSION_NUMBER:
        raise CatalogueError(f"numbers go up from 1 to {MAX_VERSION_NUMBER}, "
                             f"and {before.number} came before it")
    if entry.instant.tzinfo is None:
        raise CatalogueError("from: the instant has no time zone")
    at = entry.instant.timestamp() * 1000.0
    if at < before.effective_at:
        raise CatalogueError(f"from: it would count before version {before.number} does")
    plans = {p.name: p for p in before.plans}
    for name, figures in entry.plans.items():
        if name not in plans:
            raise CatalogueError(f"plans: the settings have no plan {name!r}")
        plans[name] = _changed(plans[name], figures)
    customers = []
    for text, name in entry.customers.items():
        try:
            customers.append((account(text), name))
        except MalformedError as error:
            raise CatalogueError(f"customers: {text!r}: {error}") from error
        if name and name not in plans:
            raise CatalogueError(f"customers: {text!r}: the settings have no plan {name!r}")
    if len(dict(customers)) < len(customers):
        raise CatalogueError("customers: one is named twice")
    return Version(entry.number, at, tuple(plans[p.name] for p in before.plans), entry.note,
                   tuple(entry.plans.items()), tuple(customers), at)


def _changed(plan: io.Plan, f: Figures) -> io.Plan:
    new = replace(plan, rate=plan.rate if f.rate is None else f.rate,
                  burst=plan.burst if f.burst is None else f.burst,
                  most_open=plan.most_open if f.most_open is None else f.most_open)
    good = {"rate": 0 <= new.rate <= MAX_RATE, "most_open": 0 <= new.most_open <= io.MAX_OPEN,
            "burst": 0 <= new.burst <= io.MAX_BURST and (new.rate == 0 or new.burst > 0)}
    for name, fine in good.items():
        if not fine:        # NaN compares false and ends here too
            raise CatalogueError(f"plans: {plan.name}: {name} makes no sense: {getattr(new, name)!r}")
    return new


def successor(old: Catalogue, new: Catalogue, now: float) -> Catalogue:
    """``new`` as it counts after ``old`` from ``now`` (Unix ms) on, or CatalogueError and ``old`` stays.

    A version that comes with an instant in the past counts from now on: what was judged stays judged.
    """
    if new.newest.number < old.newest.number:
        raise CatalogueError(f"it ends with version {new.newest.number}, and {old.newest.number} is here")
    kept = {v.number: v for v in old.versions}
    versions = []
    for v in new.versions:
        known = kept.pop(v.number, None)
        if known is not None:
            if (v.plans, v.customers, v.stated_at) != (known.plans, known.customers, known.stated_at):
                raise CatalogueError(f"version {v.number} differs from the one that is here by this number")
            versions.append(known)
        elif v.number < old.newest.number:
            raise CatalogueError(f"version {v.number} comes after version {old.newest.number} was taken")
        else:
            versions.append(replace(v, effective_at=max(v.effective_at, now)))
    if kept:
        raise CatalogueError(f"version {min(kept)}, which is here already, is missing from it")
    return Catalogue(tuple(versions))


def format_instant(at: float) -> str:
    """An instant for people."""
    if at == -math.inf:
        return "always"
    return datetime.fromtimestamp(at / 1000.0, UTC).isoformat(timespec="seconds").replace("+00:00", "Z")


def differences(old: Catalogue, new: Catalogue) -> list[str]:
    """What ``new`` says otherwise than ``old``, a line each; empty if they say the same."""
    lines = []
    mine, theirs = ({v.number: v for v in c.versions} for c in (old, new))
    for number in sorted(mine.keys() | theirs.keys()):
        a, b = mine.get(number), theirs.get(number)
        if a is None and b is not None:
            lines.append(f"+ version {number} from {format_instant(b.effective_at)}: {summary(b)}")
        elif b is None and a is not None:
            lines.append(f"- version {number} from {format_instant(a.effective_at)}: {summary(a)}")
        elif a is not None and b is not None:
            if a.effective_at != b.effective_at:
                lines.append(f"~ version {number} counts from {format_instant(b.effective_at)}, "
                             f"not from {format_instant(a.effective_at)}")
            for p, q in zip(a.plans, b.plans, strict=True):
                lines += [f"~ version {number}: {p.name}: {n} {getattr(p, n):g} -> {getattr(q, n):g}"
                          for n in ("rate", "burst", "most_open") if getattr(p, n) != getattr(q, n)]
            was, now = dict(a.customers), dict(b.customers)
            lines += [f"~ version {number}: customer {c}: {was.get(c, 'as before')!r} -> "
                      f"{now.get(c, 'as before')!r}"
                      for c in sorted(was.keys() | now.keys()) if was.get(c) != now.get(c)]
    return lines


def summary(v: Version) -> str:
    """What a version itself says, in one line."""
    words = []
    for name, f in v.plan_changes:
        words.append(name + " " + " ".join(f"{n}={getattr(f, n):g}" for n in ("rate", "burst", "most_open")
                                           if getattr(f, n) is not None))
    if v.customers:
        words.append(f"{len(v.customers)} customers assigned")
    return "; ".join(words) or "nothing"
