"""Deployments that the emulator plays: services, routes, limiters, and troubles between them."""

from __future__ import annotations

from typing import Any

from attrs import define, evolve


@define(frozen=True)
class Route:
    """``rate`` a second before it is scaled to the load; ``work`` the mean ms at speed 1, ``spread`` the
    standard deviation of its logarithm."""

    name: str
    service: str
    rate: float
    work: float
    spread: float
    aim: float
    deadline: float
    safe: bool = True
    tries: int = 2


@define(frozen=True)
class Service:
    """Servers of one kind.  ``strain``: times longer that work takes with all slots in use, less 1."""

    name: str
    servers: int
    slots: int
    speeds: tuple[float, ...]
    queue: int = 16
    on_full: str = "hang"
    strain: float = 0.0
    tells: str = "true"            # X-Load: true, absent, zero, full or stale


@define(frozen=True)
class Fault:
    """From ``at`` for ``lasts`` ms ``part`` of a service's servers (one at least) are 'slow' by ``times`` or
    'dark'; or all are replaced one after another ('release'), evenly over ``lasts``."""

    what: str
    at: float
    lasts: float
    service: str
    part: float = 0.0
    times: float = 4.0


@define(frozen=True)
class Deployment:
    """Who there is, what is asked of them, and what befalls them."""

    name: str
    limiters: int
    zones: tuple[str, ...]
    inside: float                  # ms one way in a zone ...
    between: float                 # ... and between zones
    client: float                  # ... and from clients
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    load: float = 0.47
    wave: float = 0.15
    wave_ms: float = 20_000.0
    length: float = 40_000.0
    settling: float = 10_000.0     # not measured
    cold_ms: float = 3_000.0
    cold: float = 2.0
    troubles: tuple[Fault, ...] = ()
    know: bool = True              # limiters start with the day; False: all restart at the end of settling


def shop(**changes: Any) -> Deployment:
    """Twelve limiters before 15 and 12 servers of four slots."""
    return evolve(Deployment(
        "A", 12, ("a", "b", "c"), 0.1, 0.5, 3.0,
        (Service("orders", 15, 4, (0.8, 1.0, 1.25)), Service("stock", 12, 4, (0.7, 1.0, 1.0, 1.5))),
        (Route("peek", "orders", 120.0, 160.0, 0.8, 600.0, 1_500.0),
         Route("commit", "orders", 35.5, 210.0, 0.5, 800.0, 2_000.0, safe=False),
         Route("pull", "stock", 47.4, 400.0, 0.5, 1_200.0, 3_000.0),
         Route("check", "stock", 29.6, 64.0, 0.8, 250.0, 600.0))), **changes)


def flags(**changes: Any) -> Deployment:
    """Fourteen limiters before 17 and 16 servers of two slots."""
    return evolve(Deployment(
        "B", 14, ("a", "b", "c"), 0.1, 1.4, 8.0,
        (Service("live", 17, 2, (0.8, 1.0, 1.25)), Service("history", 16, 2, (0.7, 1.0, 1.0, 1.5))),
        (Route("lookup", "live", 84.1, 120.0, 0.8, 400.0, 2_500.0, tries=3),
         Route("toggle", "live", 30.6, 160.0, 0.5, 500.0, 3_000.0, safe=False, tries=3),
         Route("history", "history", 42.0, 300.0, 0.5, 1_000.0, 6_000.0, tries=3),
         Route("snapshot", "history", 32.5, 48.0, 0.8, 200.0, 1_200.0, tries=3))), **changes)
