"""The catalogue of plan versions: plans' figures and customers' plans, each from its effective instant on.

A version states what changes against the one before it; what it does not name stays.  Version numbers
increase, their instants do not decrease, and a version never changes its content once it was accepted: a
number found in a reply to an ask, a ledger or an invoice names one set of figures for good.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass, replace
from datetime import UTC, datetime

import msgspec

from larklb import interface as io
from larklb.fields import MalformedError, parse_account
from larklb.quota.ring import digest

# Enough for several changes a week over years.
MAX_VERSIONS = 1000
# The largest number that a peer message can carry.
MAX_VERSION_NUMBER = 65535
# Customers' assignments in all versions together.
MAX_ASSIGNMENTS = 200_000
# Units a second; a larger figure is taken for a typing error.
MAX_RATE = 1e6
# Number of the version that holds the plans of the settings.
SETTINGS_VERSION = 0


class CatalogueError(Exception):
    """A catalogue cannot be used; the message is one line that says where and why."""


class Figures(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Figures of one plan: units a second, units, attempts in flight; None leaves a figure unchanged."""

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
    """All plans as they stand with one version; ``effective_at`` is in Unix ms, -inf for the settings'."""

    number: int
    effective_at: float
    plans: tuple[io.Plan, ...]
    note: str = ""
    plan_changes: tuple[tuple[str, Figures], ...] = ()
    customers: tuple[tuple[str, str], ...] = ()
    # The instant as the file states it; one in the past takes effect only when the version is accepted.
    stated_at: float = -math.inf


class Catalogue:
    """Versions in order; the first holds the plans of the settings."""

    def __init__(self, versions: tuple[Version, ...]) -> None:
        self.versions = versions
        self.index_by_number = {v.number: i for i, v in enumerate(versions)}
        self.instants = [v.effective_at for v in versions]
        names = {p.name: i for i, p in enumerate(versions[0].plans)}
        # By the digest of the customer: the index of each version that assigns it, and the plan's number.
        # None stands for the plan that the customer's requests name.
        self.assignments: dict[int, list[tuple[int, int | None]]] = {}
        for i, version in enumerate(versions):
            for customer, plan in version.customers:
                self.assignments.setdefault(digest(customer), []).append((i, names.get(plan)))

    @property
    def newest(self) -> Version:
        """The last version."""
        return self.versions[-1]

    def effective_changes(self, after: int, upto: int) -> list[int]:
        """Indexes of the versions after index ``after`` up to ``upto`` that take effect.

        Of versions with the same instant only the last does.
        """
        return [i for i in range(after + 1, upto + 1)
                if i == upto or self.instants[i + 1] > self.instants[i]]

    def index_at(self, wall: float) -> int:
        """The index of the version in effect at an instant in Unix milliseconds."""
        return max(0, bisect_right(self.instants, wall) - 1)

    def plan_of(self, key: int, index: int, named_plan: int) -> int:
        """Number of a customer's plan under a version; ``named_plan`` is the one that its request names."""
        plan: int | None = None
        for since, number in self.assignments.get(key, ()):
            if since > index:
                break
            plan = number
        return named_plan if plan is None else plan


def settings_catalogue(plans: tuple[io.Plan, ...]) -> Catalogue:
    """A catalogue that holds the plans of the settings and nothing else."""
    return Catalogue((Version(SETTINGS_VERSION, -math.inf, plans),))


def parse(data: bytes, plans: tuple[io.Plan, ...], where: str = "plans") -> Catalogue:
    """Parses and checks a catalogue in TOML.

    ``plans`` are those of the settings: a catalogue gives them other figures and moves customers between
    them.  ``where`` names the file in messages.  Raises CatalogueError.
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
            customers.append((parse_account(text), name))
        except MalformedError as error:
            raise CatalogueError(f"customers: {text!r}: {error}") from error
        if name and name not in plans:
            raise CatalogueError(f"customers: {text!r}: the settings have no plan {name!r}")
    if len(dict(customers)) < len(customers):
        raise CatalogueError("customers: a customer is named twice")
    return Version(entry.number, at, tuple(plans[p.name] for p in before.plans), entry.note,
                   tuple(entry.plans.items()), tuple(customers), at)


def _changed(plan: io.Plan, figures: Figures) -> io.Plan:
    new = replace(plan, rate=plan.rate if figures.rate is None else figures.rate,
                  burst=plan.burst if figures.burst is None else figures.burst,
                  most_open=plan.most_open if figures.most_open is None else figures.most_open)
    valid = {"rate": 0 <= new.rate <= MAX_RATE, "most_open": 0 <= new.most_open <= io.MAX_OPEN,
             "burst": 0 <= new.burst <= io.MAX_BURST and (new.rate == 0 or new.burst > 0)}
    for name, in_range in valid.items():
        if not in_range:
            # NaN ends here too: its comparisons are false.
            raise CatalogueError(f"plans: {plan.name}: {name} makes no sense: {getattr(new, name)!r}")
    return new


def successor(old: Catalogue, new: Catalogue, now: float) -> Catalogue:
    """``new`` as the successor of ``old`` from ``now`` (Unix ms) on.

    A version that arrives with an instant in the past takes effect at ``now``: decisions already taken
    stay as they are.  Raises CatalogueError where ``new`` drops or changes a version of ``old``, or adds
    one in front of its last.
    """
    if new.newest.number < old.newest.number:
        raise CatalogueError(f"it ends with version {new.newest.number}, and {old.newest.number} is here")
    unmatched = {v.number: v for v in old.versions}
    versions = []
    for version in new.versions:
        known = unmatched.pop(version.number, None)
        if known is not None:
            if (version.plans, version.customers, version.stated_at) != (
                    known.plans, known.customers, known.stated_at):
                raise CatalogueError(
                    f"version {version.number} differs from the one that is here by this number")
            versions.append(known)
        elif version.number < old.newest.number:
            raise CatalogueError(
                f"version {version.number} comes after version {old.newest.number} was taken")
        else:
            versions.append(replace(version, effective_at=max(version.effective_at, now)))
    if unmatched:
        raise CatalogueError(f"version {min(unmatched)}, which is here already, is missing from it")
    return Catalogue(tuple(versions))


def format_instant(at: float) -> str:
    """An instant in Unix milliseconds as UTC text, to the second; "always" for -inf."""
    if at == -math.inf:
        return "always"
    return datetime.fromtimestamp(at / 1000.0, UTC).isoformat(timespec="seconds").replace("+00:00", "Z")


def differences(old: Catalogue, new: Catalogue) -> list[str]:
    """Each difference of ``new`` from ``old`` as a line of text; empty if they are the same."""
    lines = []
    before, after = ({v.number: v for v in c.versions} for c in (old, new))
    for number in sorted(before.keys() | after.keys()):
        old_version, new_version = before.get(number), after.get(number)
        if old_version is None and new_version is not None:
            lines.append(f"+ version {number} from {format_instant(new_version.effective_at)}: "
                         f"{summary(new_version)}")
        elif new_version is None and old_version is not None:
            lines.append(f"- version {number} from {format_instant(old_version.effective_at)}: "
                         f"{summary(old_version)}")
        elif old_version is not None and new_version is not None:
            if old_version.effective_at != new_version.effective_at:
                lines.append(f"~ version {number} counts from {format_instant(new_version.effective_at)}, "
                             f"not from {format_instant(old_version.effective_at)}")
            for p, q in zip(old_version.plans, new_version.plans, strict=True):
                lines += [f"~ version {number}: {p.name}: {n} {getattr(p, n):g} -> {getattr(q, n):g}"
                          for n in ("rate", "burst", "most_open") if getattr(p, n) != getattr(q, n)]
            was, will = dict(old_version.customers), dict(new_version.customers)
            lines += [f"~ version {number}: customer {c}: {was.get(c, 'as before')!r} -> "
                      f"{will.get(c, 'as before')!r}"
                      for c in sorted(was.keys() | will.keys()) if was.get(c) != will.get(c)]
    return lines


def summary(version: Version) -> str:
    """The changes that a version states, in one line."""
    parts = []
    for name, figures in version.plan_changes:
        parts.append(name + " " + " ".join(
            f"{n}={getattr(figures, n):g}" for n in ("rate", "burst", "most_open")
            if getattr(figures, n) is not None))
    if version.customers:
        parts.append(f"{len(version.customers)} customers assigned")
    return "; ".join(parts) or "nothing"
