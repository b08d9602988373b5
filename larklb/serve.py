"""One instance from its start to its end: puts the parts together and stops them in order."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import gc
import logging
import os
import resource
import signal
import socket
import sys
from collections.abc import Awaitable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

from larklb.background import run_forever
from larklb.core import Core
from larklb.counters import Counters
from larklb.fleet.leases import FleetLimits
from larklb.handover_state import HandoverState, HandoverStateError, unpack
from larklb.interface import RepeatPolicy
from larklb.net import peers
from larklb.net.console import Console
from larklb.net.execute import ExecuteNodes
from larklb.net.front import Front
from larklb.net.handover import (
    Channel,
    HandoverError,
    connect_predecessor,
    handover_socket_path,
    receive_state,
)
from larklb.net.machines import FIRST_LIST_TIMEOUT_MS, Machines
from larklb.phase import Phase
from larklb.quota.entitlements import Entitlements
from larklb.quota.table_limits import customers_for_memory
from larklb.settings import Config, ConfigError, Operator, StoreEntry, load
from larklb.takeover import Takeover
from larklb.wheel import Wheel

if TYPE_CHECKING:
    from larklb.desk import Desk
    from larklb.grpc.front import RateLimitFront
    from larklb.net.keeper import CustodyKeeper
    from larklb.store import BucketStore

log = logging.getLogger(__name__)
T = TypeVar("T")
LINKS_PART = 0.1           # of the descriptors may be connections with other limiters, to and from each


class StartError(Exception):
    """The instance cannot listen where it should."""


async def _run(config: Config, operator: Operator | None, base: Path) -> None:
    entry = operator.instance_entry(config.name) if operator is not None else None
    store_entry = operator.store if operator is not None else None
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    counters = Counters(config.name)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, lambda: print(counters.as_json(), file=sys.stderr, flush=True))
    wheel = Wheel(config.settings.tick, functools.partial(counters.add, "errors.timer"))
    desk = _desk(config, base, operator, counters, wheel) if operator is not None else None
    book = desk.book if desk is not None else Entitlements(
        config.settings.plans, max_customers=customers_for_memory(config.memory_mb))
    limits = _limits(config, operator, wheel) if operator is not None else None
    core = Core(config.settings, config.seed, wheel, counters, book, limits)
    core.ledger = desk.ledger if desk is not None else None
    if operator is not None:
        core.gateway.zones.configure(operator.zones.leave, operator.zones.of_zones())
    phase = Phase(wheel.now())
    machines = Machines(config, core)
    nodes = ExecuteNodes(config, core, machines)
    front = Front(config, core, nodes, phase)
    keeper = _keeper(config, operator, core, nodes, phase, desk) if operator is not None else None
    front.keeper = keeper
    console = Console(core, phase)
    if config.admin is not None:
        await _listening(console.start(*config.admin))
    takeover = Takeover(core, phase, machines, nodes, front)
    # What an operator's file adds (folders, addresses of its own) belongs to one process alone; and without a
    # second address nobody could tell when the next process is ready.
    succeeds = operator is None and config.admin is not None
    place = handover_socket_path(config.name, config.listen) if succeeds else None
    before = await _before(place, wheel, takeover) if succeeds else Before()
    core.start()
    if before.handed is None:
        machines.apply_cached_list()
    store = await _store(config, store_entry, core) if store_entry is not None else None
    listener = await _listening(peers.listen(config, core, before.peers, before.shared))
    takeover.peers = listener
    watch = functools.partial(run_forever, "watch", machines.watch, counters)
    tasks = [_background(watch())]

    def reload() -> None:
        """SIGHUP: the file is checked whole, then taken whole; the list is watched at once where it says."""
        renewed = _renewed(config, core)
        if renewed is not None:
            nodes.apply_config(renewed)
            takeover.settings_applied()
            if machines.change_discovery(renewed.discovery):
                tasks.pop(0).cancel()
                tasks.insert(0, _background(watch()))
        if desk is not None:
            desk.reload()

    loop.add_signal_handler(signal.SIGHUP, reload)
    if store is not None:
        tasks.append(_background(run_forever("store", store.run, counters)))
    second = await _second_front(entry.grpc, core) if entry is not None and entry.grpc else None
    if keeper is not None:
        await _listening(keeper.start())
    if desk is not None:
        desk.keeper = keeper
        await _listening(desk.start(core))
    if before.channel is not None:
        await takeover.confirm(before.channel)
    if before.handed is None and not await machines.wait_for_first_list():
        log.warning("discovery has not spoken in %.0f ms: the list of the configuration serves",
                    FIRST_LIST_TIMEOUT_MS)
    await _listening(front.start(before.listening, before.shared))
    phase.move("started", wheel.now())
    if before.channel is not None and before.handed is not None:
        takeover.begin_serving(before.channel, before.handed)
    takeover.open_door(place)
    gc.collect()
    gc.freeze()            # what stays for good need not be looked through again,
    gc.set_threshold(10000, 20, 20)      # nor the rest so often: a job leaves few cycles behind
    await stop.wait()
    await asyncio.gather(front.stop(), *((second.stop(),) if second is not None else ()))
    if keeper is not None:
        await keeper.stop()
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    takeover.close()
    await console.stop()
    if store is not None:
        await store.close()
    if desk is not None:
        await desk.stop()
    if listener is not None:
        listener.close()
    print(counters.as_json(), file=sys.stderr, flush=True)


class Before(NamedTuple):
    """What the process that has our place has given; nothing where there is none."""

    channel: Channel | None = None
    handed: HandoverState | None = None
    listening: socket.socket | None = None
    peers: socket.socket | None = None
    shared: bool = False       # it is there and gives nothing: its addresses can only be shared


async def _before(place: Path | None, wheel: Wheel, takeover: Takeover) -> Before:
    """Meets the process that has our place, if any, and takes over its state."""
    channel: Channel | None = None
    if place is None:
        return Before(shared=True)
    try:
        channel = await connect_predecessor(place, wheel)
        if channel is None:
            return Before()
        gc.collect()               # now, while it still serves
        parcel = await receive_state(channel)
        handed = unpack(parcel.state)
    except (HandoverError, HandoverStateError) as error:
        log.warning("the process that has our place does not give it (%s): its addresses are shared", error)
        if channel is not None:
            channel.close()
        return Before(shared=True)
    takeover.install(handed)
    return Before(channel, handed, parcel.listening, parcel.peers)


def _renewed(config: Config, core: Core) -> Config | None:
    """The configuration read anew, its settings in use; None, and the old one holds, where it is no good."""
    counters = core.counters
    try:
        # EDGE_DISCOVERY was told at the start: the file is what has been replaced since.
        renewed = load({name: text for name, text in os.environ.items() if name != "EDGE_DISCOVERY"},
                       config.keys)
        core.apply_settings(renewed.settings)
    except (ConfigError, ValueError) as error:
        counters.add("config.rejected")
        log.error("the old configuration stays: %s", error)
        return None
    counters.add("config.applied")
    log.info("reloaded: discovery at %s:%d", *renewed.discovery)
    same = msgspec.structs.replace(
        renewed, discovery=config.discovery, known=config.known, seed=config.seed, keys=config.keys,
        dial_timeout=config.dial_timeout, conn_idle=config.conn_idle, settings=config.settings,
        sockets=descriptors(renewed.sockets))
    old, new = config.settings, renewed.settings
    if same != config or (old.number, old.gateways, old.tick) != (new.number, new.gateways, new.tick):
        log.warning("what else has changed in the configuration takes effect at a restart")
    return renewed


def _limits(config: Config, operator: Operator, wheel: Wheel) -> FleetLimits:
    """The fleet's limits as the operator's file gives them."""
    s, e = config.settings, operator.limits
    return FleetLimits(s.number, s.gateways, wheel.now(), max(c.deadline for c in s.classes), e.node_attempts,
                  e.further_attempts)


def _keeper(config: Config, operator: Operator, core: Core, nodes: ExecuteNodes, phase: Phase,
            desk: Desk | None) -> CustodyKeeper | None:
    """Custody, where the operator's file turns it on; ConfigError where it cannot be."""
    if operator.custody is None:
        return None
    from larklb.fleet.custody import GROUP
    from larklb.net.keeper import CustodyKeeper
    s = config.settings
    longest = max((c.window + c.deadline for c in s.classes if c.repeat is RepeatPolicy.KEYED), default=0.0)
    if s.gateways < GROUP or config.peer_listen is None or len(config.peers) != s.gateways:
        raise ConfigError(f"custody needs {GROUP} limiters or more, with peers and peer_listen")
    if 2 * s.gateways > config.sockets * LINKS_PART:
        raise ConfigError(f"custody among {s.gateways} limiters needs more sockets than {config.sockets}")
    if operator.custody.keep_s * 1000.0 < longest:
        raise ConfigError(f"custody: keep_s is below {longest / 1000.0:g}, the longest window and deadline")
    names = {entry.name: entry.zone for entry in operator.instance if entry.zone}
    zones = {i: names[name] for i in range(s.gateways) if (name := f"n{i}") in names}
    core.crash_point = desk.step if desk is not None else bool
    return CustodyKeeper(config, operator.custody, zones, core, nodes, core.counters, phase, core.crash_point)


def _desk(config: Config, base: Path, operator: Operator, counters: Counters, wheel: Wheel) -> Desk:
    """Imported here alone, as the platform has none; what cannot be used is told in one line."""
    from larklb.desk import Desk
    from larklb.state.log import LogError
    try:
        return Desk(config, base, operator, operator.instance_entry(config.name), counters, wheel.now())
    except LogError as error:
        raise StartError(error) from error


async def _second_front(listen: str, core: Core) -> RateLimitFront:
    """Imported here alone: without it neither gRPC nor its memory is there."""
    from larklb.grpc.front import RateLimitFront
    try:
        front = RateLimitFront(listen, core)
    except RuntimeError as error:
        raise StartError(error) from error
    await front.start()
    return front


async def _listening(listen: Awaitable[T]) -> T:
    """An address that is taken or not ours is told in one line."""
    try:
        return await listen
    except OSError as error:
        raise StartError(error) from error


async def _store(config: Config, entry: StoreEntry, core: Core) -> BucketStore:
    from larklb.store import BucketStore
    store = BucketStore(entry.url, f"{entry.prefix}:{config.name}", core)
    await store.reload()
    return store


def _background(work: object) -> asyncio.Task[None]:
    task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)     # type: ignore[arg-type]
    task.add_done_callback(_ended)
    return task


def _ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("a background task has failed", exc_info=task.exception())


def descriptors(wanted: int) -> int:
    """How many this process may hold: as many as are configured, where the system allows it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        if soft < wanted:
            log.warning("%d descriptors are configured, and the system allows %d", wanted, soft)
        return soft
    return wanted


def run(config: Config, operator: Operator | None = None, base: Path = Path()) -> None:
    """Until SIGTERM; ``base`` is the folder of the operator's file."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format=f"{config.name} %(levelname)s %(message)s")
    config = msgspec.structs.replace(config, sockets=descriptors(config.sockets))
    try:
        asyncio.run(_run(config, operator, base))
    except (StartError, ConfigError) as error:
        print(f"larklb: {error}", file=sys.stderr)
        sys.exit(2 if isinstance(error, ConfigError) else 1)
