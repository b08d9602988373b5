"""Deployments for the emulator: services, routes, limiters and faults."""

from __future__ import annotations

from typing import Any

from attrs import define, evolve


@define(frozen=True)
class Route:
    """A kind of request.

    `rate` is in requests a second before it is scaled to the load; `work` is the mean time in ms at speed 1
    and `spread` the standard deviation of its logarithm. `aim` and `deadline` are in ms.
    """

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
    """Servers of one kind.

    `contention` is the relative increase of the work time with all slots in use. `on_full` is 'hang', 'reset'
    or 'refuse'; `load_report`, the content of X-Load, is 'true', 'absent', 'zero', 'full' or 'stale'.
    """

    name: str
    servers: int
    slots: int
    speeds: tuple[float, ...]
    queue: int = 16
    on_full: str = "hang"
    contention: float = 0.0
    load_report: str = "true"


@define(frozen=True)
class Fault:
    """A fault of a service, from `at` for `duration` ms.

    Kind 'slow' slows the given fraction of the servers (at least one) down by `factor`; 'dark' makes them
    unresponsive; 'release' replaces all servers one after another, evenly over the duration.
    """

    kind: str
    at: float
    duration: float
    service: str
    fraction: float = 0.0
    factor: float = 4.0


@define(frozen=True)
class Deployment:
    """Limiters, servers, traffic and faults of one run.

    Delays are one way, in ms: `zone_delay` within a zone, `region_delay` between zones and `client_delay`
    between clients and limiters. `load` is the offered work relative to the capacity; `wave` and `wave_ms`
    are the amplitude and period of its variation. `length` and `settling` are in ms; requests that begin
    before the end of the settling time aren't measured. The work of a new server takes `cold_factor` times as
    long for `cold_ms`.
    """

    name: str
    limiters: int
    zones: tuple[str, ...]
    zone_delay: float
    region_delay: float
    client_delay: float
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    load: float = 0.47
    wave: float = 0.15
    wave_ms: float = 20_000.0
    length: float = 40_000.0
    settling: float = 10_000.0
    cold_ms: float = 3_000.0
    cold_factor: float = 2.0
    faults: tuple[Fault, ...] = ()
    # False: all limiters restart, without what they have learned, at the end of the settling time.
    keep_limiters: bool = True


def shop(**changes: Any) -> Deployment:
    """Return a deployment of 12 limiters with services of 15 and 12 servers of four slots each."""
    return evolve(Deployment(
        "A", 12, ("a", "b", "c"), 0.1, 0.5, 3.0,
        (Service("orders", 15, 4, (0.8, 1.0, 1.25)), Service("stock", 12, 4, (0.7, 1.0, 1.0, 1.5))),
        (Route("peek", "orders", 120.0, 160.0, 0.8, 600.0, 1_500.0),
         Route("commit", "orders", 35.5, 210.0, 0.5, 800.0, 2_000.0, safe=False),
         Route("pull", "stock", 47.4, 400.0, 0.5, 1_200.0, 3_000.0),
         Route("check", "stock", 29.6, 64.0, 0.8, 250.0, 600.0))), **changes)


def flags(**changes: Any) -> Deployment:
    """Return a deployment of 14 limiters with services of 17 and 16 servers of two slots each."""
    return evolve(Deployment(
        "B", 14, ("a", "b", "c"), 0.1, 1.4, 8.0,
        (Service("live", 17, 2, (0.8, 1.0, 1.25)), Service("history", 16, 2, (0.7, 1.0, 1.0, 1.5))),
        (Route("lookup", "live", 84.1, 120.0, 0.8, 400.0, 2_500.0, tries=3),
         Route("toggle", "live", 30.6, 160.0, 0.5, 500.0, 3_000.0, safe=False, tries=3),
         Route("history", "history", 42.0, 300.0, 0.5, 1_000.0, 6_000.0, tries=3),
         Route("snapshot", "history", 32.5, 48.0, 0.8, 200.0, 1_200.0, tries=3))), **changes)
