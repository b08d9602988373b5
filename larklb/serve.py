"""Starts an instance: builds its components, runs them until a signal arrives and stops them in order."""

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
    from larklb.grpc.front import RateLimitFront
    from larklb.net.keeper import CustodyKeeper
    from larklb.operator_services import OperatorServices
    from larklb.store import BucketStore

log = logging.getLogger(__name__)
T = TypeVar("T")
# Share of the descriptors that connections with other limiters (to and from each) may use.
MAX_PEER_DESCRIPTOR_SHARE = 0.1


class StartError(Exception):
    """The instance cannot start, for instance because an address is in use."""


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
    desk = _create_desk(config, base, operator, counters, wheel) if operator is not None else None
    entitlements = desk.entitlements if desk is not None else Entitlements(
        config.settings.plans, max_customers=customers_for_memory(config.memory_mb))
    limits = _create_limits(config, operator, wheel) if operator is not None else None
    core = Core(config.settings, config.seed, wheel, counters, entitlements, limits)
    core.ledger = desk.ledger if desk is not None else None
    if operator is not None:
        core.gateway.zones.configure(operator.zones.leave, operator.zones.of_zones())
    phase = Phase(wheel.now())
    machines = Machines(config, core)
    nodes = ExecuteNodes(config, core, machines)
    front = Front(config, core, nodes, phase)
    keeper = _create_keeper(config, operator, core, nodes, phase, desk) if operator is not None else None
    front.keeper = keeper
    console = Console(core, phase)
    if config.admin is not None:
        await _listening(console.start(*config.admin))
    takeover = Takeover(core, phase, machines, nodes, front)
    # A takeover is not possible with an operator's file, whose folders and addresses belong to one process
    # alone, nor without an admin address, which shows when the new process is ready.
    supports_takeover = operator is None and config.admin is not None
    place = handover_socket_path(config.name, config.listen) if supports_takeover else None
    handover = await _take_over(place, wheel, takeover) if supports_takeover else Handover()
    core.start()
    if handover.state is None:
        machines.apply_cached_list()
    store = await _open_store(config, store_entry, core) if store_entry is not None else None
    listener = await _listening(peers.listen(config, core, handover.peers, handover.shared))
    takeover.peers = listener
    watch = functools.partial(run_forever, "watch", machines.watch, counters)
    tasks = [_background(watch())]

    def reload() -> None:
        """Handles SIGHUP: validates the whole file, applies it, and watches discovery at its new address."""
        renewed = _reload_configuration(config, core)
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
    grpc_front = await _start_grpc_front(entry.grpc, core) if entry is not None and entry.grpc else None
    if keeper is not None:
        await _listening(keeper.start())
    if desk is not None:
        desk.keeper = keeper
        await _listening(desk.start(core))
    if handover.channel is not None:
        await takeover.confirm(handover.channel)
    if handover.state is None and not await machines.wait_for_first_list():
        log.warning("discovery has not answered in %.0f ms: using the execute nodes of the configuration",
                    FIRST_LIST_TIMEOUT_MS)
    await _listening(front.start(handover.listening, handover.shared))
    phase.move("started", wheel.now())
    if handover.channel is not None and handover.state is not None:
        takeover.begin_serving(handover.channel, handover.state)
    takeover.open_door(place)
    gc.collect()
    # Excludes the permanent objects from garbage collection.  The rest is collected less often than by
    # default, since a job leaves few reference cycles.
    gc.freeze()
    gc.set_threshold(10000, 20, 20)
    await stop.wait()
    await asyncio.gather(front.stop(), *((grpc_front.stop(),) if grpc_front is not None else ()))
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


class Handover(NamedTuple):
    """What a running process of this instance has handed over; empty if there is none."""

    channel: Channel | None = None
    state: HandoverState | None = None
    listening: socket.socket | None = None
    peers: socket.socket | None = None
    # True if the process exists but hands nothing over, so that its addresses can only be shared.
    shared: bool = False


async def _take_over(place: Path | None, wheel: Wheel, takeover: Takeover) -> Handover:
    """Connects to a running process of this instance, if any, and takes over its state and sockets."""
    channel: Channel | None = None
    if place is None:
        return Handover(shared=True)
    try:
        channel = await connect_predecessor(place, wheel)
        if channel is None:
            return Handover()
        gc.collect()               # now, while the other process still serves
        parcel = await receive_state(channel)
        state = unpack(parcel.state)
    except (HandoverError, HandoverStateError) as error:
        log.warning("the process that has our place does not give it (%s): its addresses are shared", error)
        if channel is not None:
            channel.close()
        return Handover(shared=True)
    takeover.install(state)
    return Handover(channel, state, parcel.listening, parcel.peers)


def _reload_configuration(config: Config, core: Core) -> Config | None:
    """Reloads the configuration and applies its settings; None, and no change, if it is invalid."""
    counters = core.counters
    try:
        # EDGE_DISCOVERY is fixed at the start of the process, whereas the file has been replaced since.
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
        log.warning("other changes to the configuration take effect at a restart")
    return renewed


def _create_limits(config: Config, operator: Operator, wheel: Wheel) -> FleetLimits:
    """Creates the fleet-wide limits on attempts from the operator's file."""
    settings, limits = config.settings, operator.limits
    return FleetLimits(settings.number, settings.gateways, wheel.now(),
                       max(c.deadline for c in settings.classes),
                       limits.node_attempts, limits.further_attempts)


def _create_keeper(config: Config, operator: Operator, core: Core, nodes: ExecuteNodes, phase: Phase,
            desk: OperatorServices | None) -> CustodyKeeper | None:
    """Creates the custody service if the operator's file enables it.

    Raises ConfigError if the configuration does not support custody.
    """
    if operator.custody is None:
        return None
    from larklb.fleet.custody import GROUP
    from larklb.net.keeper import CustodyKeeper
    s = config.settings
    longest = max((c.window + c.deadline for c in s.classes if c.repeat is RepeatPolicy.KEYED), default=0.0)
    if s.gateways < GROUP or config.peer_listen is None or len(config.peers) != s.gateways:
        raise ConfigError(f"custody needs {GROUP} limiters or more, with peers and peer_listen")
    if 2 * s.gateways > config.sockets * MAX_PEER_DESCRIPTOR_SHARE:
        raise ConfigError(f"custody among {s.gateways} limiters needs more sockets than {config.sockets}")
    if operator.custody.keep_s * 1000.0 < longest:
        raise ConfigError(f"custody: keep_s is below {longest / 1000.0:g}, the longest window and deadline")
    names = {entry.name: entry.zone for entry in operator.instance if entry.zone}
    zones = {i: names[name] for i in range(s.gateways) if (name := f"n{i}") in names}
    core.crash_point = desk.step if desk is not None else bool
    return CustodyKeeper(config, operator.custody, zones, core, nodes, core.counters, phase, core.crash_point)


def _create_desk(config: Config, base: Path, operator: Operator, counters: Counters,
          wheel: Wheel) -> OperatorServices:
    """Creates the desk; imported only here, because without an operator's file it is not needed.

    Raises StartError if its logs cannot be used.
    """
    from larklb.operator_services import OperatorServices
    from larklb.state.log import LogError
    try:
        return OperatorServices(config, base, operator, operator.instance_entry(config.name), counters,
                                wheel.now())
    except LogError as error:
        raise StartError(error) from error


async def _start_grpc_front(listen: str, core: Core) -> RateLimitFront:
    """Starts the gRPC front end; imported only here, so that gRPC takes no memory unless it is enabled."""
    from larklb.grpc.front import RateLimitFront
    try:
        front = RateLimitFront(listen, core)
    except RuntimeError as error:
        raise StartError(error) from error
    await front.start()
    return front


async def _listening(listen: Awaitable[T]) -> T:
    """Awaits ``listen``; raises StartError if an address is in use or not available."""
    try:
        return await listen
    except OSError as error:
        raise StartError(error) from error


async def _open_store(config: Config, entry: StoreEntry, core: Core) -> BucketStore:
    from larklb.store import BucketStore
    store = BucketStore(entry.url, f"{entry.prefix}:{config.name}", core)
    await store.reload()
    return store


def _background(work: object) -> asyncio.Task[None]:
    task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)     # type: ignore[arg-type]
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("a background task failed", exc_info=task.exception())


def descriptors(wanted: int) -> int:
    """Raises the limit of open descriptors to ``wanted`` as far as the system allows; returns the limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        if soft < wanted:
            log.warning("%d descriptors are configured, but the system allows %d", wanted, soft)
        return soft
    return wanted


def run(config: Config, operator: Operator | None = None, base: Path = Path()) -> None:
    """Runs an instance until SIGTERM or SIGINT; ``base`` is the folder of the operator's file.

    Exits with status 2 after a configuration error and with 1 if the instance cannot start.
    """
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format=f"{config.name} %(levelname)s %(message)s")
    config = msgspec.structs.replace(config, sockets=descriptors(config.sockets))
    try:
        asyncio.run(_run(config, operator, base))
    except (StartError, ConfigError) as error:
        print(f"larklb: {error}", file=sys.stderr)
        sys.exit(2 if isinstance(error, ConfigError) else 1)
