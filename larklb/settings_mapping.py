"""Mapping of the settings that the simulator and the platform send to ``interface.Settings``."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import replace
from typing import Any

from larklb import interface as io

_REPEAT_POLICIES = {"repeatable": io.RepeatPolicy.SAFE, "by_key": io.RepeatPolicy.KEYED,
                    "once": io.RepeatPolicy.NEVER}


def positive_number(value: Any, name: str) -> float:
    """Returns a finite number above 0.  Raises ValueError for anything else, including texts and booleans."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value <= 0:
        raise ValueError(f"{name} must be a number above 0: {value!r}")
    return float(value)


def settings_for_reload(old: io.Settings, new: io.Settings, topics: Collection[str]) -> io.Settings:
    """Returns ``new`` in a form that a limiter running with ``old`` can adopt without a restart.

    The limiter's number, the number of limiters and the clock's tick stay until a restart.  Plans keep their
    positions, by which buckets and peers identify them: removed plans stay in place, new ones are appended.
    ``topics`` are all classes that the limiter has had so far.  Raises ValueError if there have been too many
    classes and plans.
    """
    new_plans = {p.name: p for p in new.plans}
    plans = [new_plans.pop(p.name, p) for p in old.plans] + list(new_plans.values())
    classes = {*topics, *(c.name for c in new.classes)}
    if len(classes) + len(plans) > io.MAX_TOPICS:
        raise ValueError("too many classes and plans have been added and removed: a restart is needed")
    return replace(new, plans=tuple(plans), number=old.number, gateways=old.gateways, tick=old.tick)


def settings_from_wire(raw: dict[str, Any]) -> io.Settings:
    """Returns the settings from those of the wire format; unknown keys are ignored.

    Raises KeyError, TypeError or ValueError if a key is missing or a value is invalid.
    """
    limits, safety = raw["limits"], raw["safety"]
    family, charges = raw.get("family_info", {}), raw.get("charges", {})
    classes = tuple(io.ServiceClass(
        name=c["name"], aim=positive_number(c["aim"], "aim"),
        deadline=positive_number(c["deadline"], "deadline"), worth=c["gain"],
        late_worth=c.get("late_worth", 0.0), repeat=_REPEAT_POLICIES[c["semantics"]],
        group=io.DedupScope(c.get("group", "all")), window=c.get("window", 0.0)) for c in raw["classes"])
    plans = tuple(io.Plan(
        name=t["name"], rate=t.get("quota_rate", 0.0), burst=t.get("depth", 0.0),
        most_open=t.get("concurrency", 0), price=t.get("pays", 1.0),
        beyond_earns=t.get("beyond_earns", 0.0), excess_cost=t.get("excess_cost", 0.0),
        ceiling_rate=t.get("ceiling_rate", 0.0), ceiling_burst=t.get("cap_depth", 0.0),
        ceiling_slack=t.get("tolerance", 0.0)) for t in raw.get("tariffs", []))
    return io.Settings(
        number=raw["ordinal"], gateways=raw["balancers"], classes=classes, plans=plans,
        zone=raw.get("my_zone", ""), tick=raw["tick"], inbox_per_s=family.get("inbox_per_s", 0.0),
        can_tell=limits.get("may_tell", False),
        can_cancel=limits.get("cancel", False), can_copy=limits.get("second_copies", False),
        must_ask_list=raw.get("discovery", "push") == "ask",
        max_attempts=int(positive_number(limits["max_attempts"], "max_attempts")),
        max_retry_after=limits.get("max_retry_after", 0.0) if limits.get("retry_after") else 0.0,
        cold_share=safety["cold_share"],
        warm_within=safety["warm_within"], tip_multiple=safety["tip_multiple"],
        drain_grace=safety["drain_grace"],
        cross_zone_charge=charges.get("cross_zone", 0.0),
        trued_up=family.get("trued_up", False),
        most_units=family.get("most_units") or math.inf)
