"""The process of one limiter: it connects the control plane, the data plane, the listeners and the disk.

The program is called *gateway* in log lines and package names, and each of its processes *limiter*.
"""

from __future__ import annotations

import asyncio
import gc
import importlib
import logging
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import h11
from attrs import evolve

from larklb.admission.budget import RetryBudget
from larklb.admission.choice import ServerState
from larklb.admission.quota_records import OvershootBound
from larklb.admission.quotas import Quotas
from larklb.admission.share_leases import LeaseDurations
from larklb.balancing.choice import CapacityAwareSelector
from larklb.balancing.estimates import Estimates
from larklb.balancing.load import InFlight
from larklb.consensus.errors import ConsensusError
from larklb.gateway import options, status
from larklb.gateway import settings as settings_module
from larklb.gateway.control import ControlApi, OperatorRequest
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.core import Core
from larklb.gateway.data_plane import DataPlane, prepare_configuration
from larklb.gateway.disk import DiskWriter
from larklb.gateway.disk_contents import open_disk
from larklb.gateway.errors import AddressError, GatewayError, SettingsError
from larklb.gateway.listener import Listener, RequestLimits
from larklb.gateway.messages import AnyMessage, CallResult, CapacityReport, InFlightMessage, QuotaMessage
from larklb.gateway.options import Options
from larklb.gateway.quota_exchange import QuotaExchange
from larklb.gateway.servers import Reply, ServerConnections
from larklb.gateway.startup_signals import HANDLED_SIGNALS
from larklb.gateway.transport import Transport
from larklb.gateway.zone_exchange import IN_FLIGHT_INTERVAL_MS, ZoneExchange
from larklb.membership.members import UP, Member
from larklb.net.http import Link
from larklb.registry import registry
from larklb.registry.registry import Server
from larklb.registry.subscriber import Subscriber
from larklb.schema import calls
from larklb.schema import configuration as schema
from larklb.storage.errors import StorageError
from larklb.storage.store import Store
from larklb.wheel import Wheel

log = logging.getLogger("gateway")

# Resolution of the timer wheel.
WHEEL_TICK_MS = 4.0
# Time between two runs of the periodic work, on core machines and on other limiters.
CORE_TICK_INTERVAL_MS = 50.0
TICK_INTERVAL_MS = 100.0
# Time between checks of the settings file, and between runs of the work that expires old entries.
SLOW_TICK_INTERVAL_MS = 1_000.0
# Length of the random session id of a process, which distinguishes answers to it from those to the process
# before it.
SESSION_BYTES = 8
# File descriptors that are not available for sockets.
RESERVED_DESCRIPTORS = 200
# How the other descriptors are divided among connections of clients, to servers, and of the control API.
CLIENT_SOCKET_SHARE, SERVER_SOCKET_SHARE, CONTROL_SOCKET_SHARE = 0.45, 0.3, 0.1
# A first start is considered complete after this time.
FIRST_START_MS = 8_000.0
# For this long after a restart, all limiters together may have RESTART_MAX_IN_FLIGHT requests in flight at
# one server.
RESTART_RAMP_MS = 2_500.0
RESTART_MAX_IN_FLIGHT = 10
# A limiter that knows no server reports itself ready after this time all the same.
READY_WITHOUT_SERVERS_MS = 5_000.0
# Time until the platform has noticed that a limiter is not ready.
READINESS_DETECTION_MS = 2_300.0
# Time at the end of the grace period that is reserved for ending the requests still in progress, and the
# largest fraction of the grace period that it may take: requests that are cut off before the last sixth count
# as lost.
SHUTDOWN_RESERVE_MS = 600.0
SHUTDOWN_RESERVE_FRACTION = 0.12
# Time for the answers to the requests ended in that way to be sent.
SHUTDOWN_FLUSH_MS = 100.0
# A tick that runs later than one of these bounds after its time is counted under that bound.
LATE_TICK_BOUNDS_MS = (25, 100, 500)
METRICS_CONNECTIONS = 4
METRICS_PATH = b"/metrics"
DEFAULT_OPTIONS = Options()
# A server that takes more connections than this has no limit in effect.
MAX_SATURATION = 1 << 20
# Fraction of a server's connections that all limiters together may use.
USABLE_CONNECTIONS_FRACTION = 0.8


class Limiter:
    """One limiter from the start of its process to its end.

    Raises ``StorageError``, ``ConsensusError`` or ``GatewayError`` if the disk can't be used."""

    def __init__(
        self, settings: settings_module.Settings, startup_options: Options = DEFAULT_OPTIONS
    ) -> None:
        self.settings, self.options = settings, startup_options
        self.wheel = Wheel(WHEEL_TICK_MS)
        self.random = random.Random(os.urandom(8))
        now = self.wheel.now()
        self.started_at = now
        self.count: Counter[str] = Counter()
        self.transport = Transport(settings.node, settings.ip, settings.port, self.handle_message)
        local_member = Member(settings.node, settings.ip, settings.zone, int(time.time() * 1000.0))
        self.disk: DiskWriter | None = None
        core = None
        if settings.data_dir and settings.control is not None:
            store = Store(Path(settings.data_dir))
            contents = open_disk(store, settings.bootstrap)
            status.mark_in_use(settings.data_dir)  # from here on no tool changes the stored values
            local_member = evolve(local_member, disk=contents.disk)
            self.disk = DiskWriter(store, self.wheel)
            core = Core(
                settings,
                local_member,
                contents.stored,
                now,
                self.random.randrange(1 << 30),
                self.transport.send,
                self.disk.save,
                first_start=contents.first_start,
            )
        self.plane = ControlPlane(
            settings,
            local_member,
            os.urandom(SESSION_BYTES).hex(),
            now,
            send=self.transport.send,
            after=self.wheel.after,
            apply_configuration=self._apply_configuration,
            current_version=lambda: self.version,
            on_change=self._on_members_changed,
            rng=self.random,
        )
        self.plane.core = core
        self.choice = CapacityAwareSelector(
            settings.zone,
            settings.zones,
            self.random.randrange(1 << 30),
            in_flight_limit=self._in_flight_limit,
            estimates=Estimates(incarnation=local_member.incarnation),
            in_flight=InFlight(incarnation=local_member.incarnation),
        )
        first_start = settings.bootstrap
        bounds = settings.bounds
        quotas = Quotas(
            settings.node,
            now,
            self.random.randrange(1 << 30),
            first_start=first_start,
            lease_durations=LeaseDurations().scaled(self.subscriber.time_scale),
            bound=OvershootBound(bounds.quota_window_ms / 1000.0, bounds.quota_overshoot, bounds.quota_slack),
        )
        self.quota_exchange = QuotaExchange(quotas, self.wheel, self.transport.send, self.count)
        self.zone_exchange = ZoneExchange(self.choice, self.transport.send)
        self.budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_window_ms,
            bounds.retry_slack,
            self._limiter_count,
            now,
            first_start=first_start,
            node=settings.node,
        )
        sockets = max(64, settings.descriptors - RESERVED_DESCRIPTORS)
        self.server_connections = ServerConnections(
            self.wheel, self.choice, int(sockets * SERVER_SOCKET_SHARE), self.count
        )
        self.data_plane = DataPlane(
            self.wheel,
            self.server_connections,
            self.choice,
            self.budget,
            self.quota_exchange.request_decision,
            self.random,
            self.count,
            caller_affinity=startup_options.caller_affinity,
        )
        control = ControlApi(self._server_call, self._operator_call, partial(status.document, self))
        self.edge = Listener(self.wheel, self.data_plane.answer, int(sockets * CLIENT_SOCKET_SHARE))
        self.control = Listener(self.wheel, control.answer, int(sockets * CONTROL_SOCKET_SHARE))
        self.readiness = Listener(self.wheel, self._serve_readiness, 16)
        self.metrics = Listener(self.wheel, self._serve_metrics, METRICS_CONNECTIONS)
        self.saturation: dict[str, int] = {}
        self.last_slow_tick = -1e18
        self.next_tick_at = now
        self.leaving = asyncio.Event()
        self.settings_stamp = self._read_settings_stamp()

    @property
    def core(self) -> Core | None:
        """The replicas of a core machine, None on other limiters."""
        return self.plane.core

    @property
    def subscriber(self) -> Subscriber:
        """The local view of the other limiters and of the servers."""
        return self.plane.subscriber

    @property
    def quotas(self) -> Quotas:
        """The quota decisions of this limiter."""
        return self.quota_exchange.quotas

    async def run(self) -> None:
        """Starts the listeners and serves until a signal to terminate, then shuts down gracefully.

        Raises ``AddressError`` if an address can't be listened on."""
        settings, loop = self.settings, asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        loop.add_signal_handler(signal.SIGINT, self.leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        await self.transport.start()
        for listener, address in (
            (self.readiness, settings.readiness),
            (self.control, settings.control),
            (self.edge, settings.edge),
        ):
            if address is not None:
                await listener.start(*address)
        await self._start_metrics()
        log.info("gateway: %s is listening.", settings.node)
        self._tick()
        self._tick_zone_exchange()
        await self.leaving.wait()
        await self._shut_down()

    async def _start_metrics(self) -> None:
        if not self.options.metrics_port:
            return
        try:
            await self.metrics.start(self.settings.ip, self.options.metrics_port)
        except AddressError as error:  # requests don't depend on metrics
            log.warning("gateway: no metrics: %s.", error)

    def _tick_zone_exchange(self) -> None:
        """Does the work of the zone exchange, once there is a configuration."""
        self.wheel.after(IN_FLIGHT_INTERVAL_MS, self._tick_zone_exchange)
        if self.data_plane.active is not None:
            self.zone_exchange.tick(self.wheel.now())

    # Periodic work --------------------------------------------------------------------------------

    def _tick(self) -> None:
        """Does the periodic work. The next tick is scheduled first, so that a failing one isn't the last."""
        now, period = self.wheel.now(), CORE_TICK_INTERVAL_MS if self.core is not None else TICK_INTERVAL_MS
        self._count_late_tick(now)
        self.next_tick_at = now + period
        self.wheel.after(period, self._tick)
        self.plane.tick(now)
        self.quota_exchange.tick(now)
        if now - self.last_slow_tick >= SLOW_TICK_INTERVAL_MS:
            self.last_slow_tick = now
            self.quotas.expire(now)
            self._assign_callers(now)
            if self._read_settings_stamp() != self.settings_stamp:
                self._reload_settings()

    def _count_late_tick(self, now: float) -> None:
        """Counts delays of the event loop, during which data that has arrived on sockets is not read."""
        for bound in LATE_TICK_BOUNDS_MS:
            if now - self.next_tick_at > bound:
                self.count[f"turn.late.{bound}ms"] += 1

    def _read_settings_stamp(self) -> tuple[float, int]:
        """Returns the time of change and the size of the settings file, zeros if it can't be read."""
        try:
            stat = os.stat(self.settings.path)
        except OSError:
            return 0.0, 0
        return stat.st_mtime, stat.st_size

    def _reload_settings(self) -> None:
        """Reads the settings file again and takes over its seeds; a file with errors changes nothing."""
        self.settings_stamp = self._read_settings_stamp()
        try:
            fresh = settings_module.read(self.settings.path)
        except SettingsError as error:
            log.error("gateway: %s.", error)
            return
        self.subscriber.seeds = [host for host, _ in fresh.seeds]
        self.settings = evolve(self.settings, seeds=fresh.seeds)
        log.info("gateway: settings reloaded.")

    # Messages from other limiters -----------------------------------------------------------

    def handle_message(self, message: AnyMessage) -> None:
        """Handles a message of another limiter.

        Raises ``KeyError``, ``TypeError`` or ``ValueError`` if its contents are invalid."""
        now = self.wheel.now()
        match message:
            case QuotaMessage():
                self.quota_exchange.handle_message(now, message, self.subscriber.members)
            case InFlightMessage() | CapacityReport():
                self.zone_exchange.handle_message(now, message)
            case _:
                self.plane.handle_message(now, message)

    # Configuration ------------------------------------------------------------------------

    @property
    def version(self) -> int:
        """Version of the configuration in force on this limiter, 0 for none."""
        return self.data_plane.active.version if self.data_plane.active is not None else 0

    def _apply_configuration(self, document: dict[str, Any]) -> None:
        """Puts a committed configuration in force, unless it is not newer than the present one."""
        if int(document["version"]) <= self.version:
            return
        checked, problems = schema.read_stored(document)
        for problem in problems:
            log.error("gateway: the configuration has an invalid item, which is left out: %s.", problem)
        self.data_plane.active = prepare_configuration(checked)
        self.edge.limits = _request_limits(checked.limits)
        self.saturation = {
            service.name: min(service.saturation, MAX_SATURATION) for service in checked.services
        }
        self.quotas.set_allowances(
            self.wheel.now(),
            checked.version,
            {tenant.name: self.quota_exchange.allowance_of(tenant) for tenant in checked.tenants or ()},
        )
        log.info("gateway: version %d is in force.", checked.version)

    # Limiters and servers -----------------------------------------------------------------

    def _on_members_changed(self) -> None:
        """Updates the quotas, the exchange within the zone and the server selection after members or servers
        have changed."""
        now = self.wheel.now()
        local_member = self.subscriber.local_member
        members = self.subscriber.members.values()
        self.quota_exchange.update_members(now, self.subscriber)
        self.zone_exchange.set_peers(
            [
                m.ip
                for m in members
                if m.zone == local_member.zone and m.state == UP and m.node != local_member.node
            ]
        )
        self.choice.set_limiters(local_member.node, [(m.node, m.zone) for m in members])
        self.choice.update(
            ServerState(
                server.id,
                server.target,
                server.address,
                server.zone,
                server.slots,
                cold_until=now + server.warmup_left_ms if server.warmup_left_ms else -1e18,
                draining=server.state != registry.STEADY,
                silent=server.silent,
            )
            for server in self.subscriber.servers.values()
            if server.state != registry.GONE
        )
        self._assign_callers(now)

    def _assign_callers(self, now: float) -> None:
        """Updates the assignment of callers to servers if any route keeps its callers on the same servers."""
        if (
            self.data_plane.caller_affinity
            or self.data_plane.active is not None
            and self.data_plane.active.has_caller_affinity
        ):
            self.choice.assign(now, self._limiter_count())

    def _limiter_count(self) -> int:
        return max(1, len(self.subscriber.members))

    def _in_flight_limit(self, target: str) -> int:
        """Returns how many requests this limiter may have in flight at one server of a service."""
        limiters = self._limiter_count()
        saturation = self.saturation.get(target, MAX_SATURATION)
        limit = max(2, int(saturation * USABLE_CONNECTIONS_FRACTION / limiters))
        if not self.settings.bootstrap and self.wheel.now() - self.started_at < RESTART_RAMP_MS:
            # All limiters may have restarted together and may know only a few servers, which must not get
            # all requests.
            limit = min(limit, max(1, round(RESTART_MAX_IN_FLIGHT / limiters)))
        return limit

    async def _server_call(self, call: Server | str) -> CallResult:
        """Applies a server's heartbeat, or the sign-off of the server with this id; returns the result."""
        return await self._await_result(partial(self.plane.server_call, self.wheel.now(), call))

    async def _operator_call(self, request: OperatorRequest) -> CallResult:
        """Executes an operator's call; returns the result."""
        return await self._await_result(partial(self.plane.operator_call, self.wheel.now(), request))

    @staticmethod
    async def _await_result(start_call: Callable[[Callable[[CallResult], object]], object]) -> CallResult:
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()

        def done(result: CallResult) -> None:
            if not future.done():
                future.set_result(result)

        start_call(done)
        return await future

    # Readiness, metrics and shutdown ----------------------------------------------------------------

    def ready(self) -> bool:
        """Whether the platform should send clients to this limiter."""
        synchronized = self.subscriber.ever_complete and (
            bool(self.choice.servers) or self.wheel.now() - self.started_at > READY_WITHOUT_SERVERS_MS
        )
        can_serve = self.server_connections.serving_check.can_serve(self.wheel.now())
        return self.data_plane.active is not None and synchronized and can_serve and not self.leaving.is_set()

    async def _serve_readiness(self, head: Any, body: bytes, link: Any) -> Reply:
        if head.target.partition(b"?")[0] != b"/larklb/readiness":
            return Reply(404)
        return Reply(200 if self.ready() else 503)

    async def _serve_metrics(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        if head.target.partition(b"?")[0] != METRICS_PATH:
            return Reply(404)
        if head.method != b"GET":
            return Reply(405)
        # Importing the metrics library takes longer than a request may wait, so the first scrape imports it
        # in a thread.
        metrics = await asyncio.to_thread(importlib.import_module, "larklb.gateway.metrics")
        counts = status.document(self, calls.COUNTS, {})
        return Reply(200, [metrics.CONTENT_TYPE], metrics.exposition(self.settings.node, counts))

    async def _shut_down(self) -> None:
        """Shuts down gracefully within the grace period.

        Tells the other limiters, reports not ready, and finishes the requests that were accepted."""
        log.info("gateway: shutting down.")
        now, grace = self.wheel.now(), self.settings.bounds.grace_ms
        self.plane.leave(now)
        self.edge.drain()
        end = now + grace - min(SHUTDOWN_RESERVE_MS, grace * SHUTDOWN_RESERVE_FRACTION)
        await self.wheel.sleep(min(READINESS_DETECTION_MS, grace * 0.4))
        # A request accepted later might not be finished within the grace period.
        self.edge.stop_listening()
        while self.wheel.now() < end and (self.edge.active_requests() or self.control.active_requests()):
            await self.wheel.sleep(20.0)
        if self.edge.active_requests():
            self.data_plane.shut_down()
            await self.wheel.sleep(SHUTDOWN_FLUSH_MS)
        for listener in (self.edge, self.control, self.readiness, self.metrics):
            await listener.close()
        self.server_connections.close()
        await self.transport.stop()
        if self.disk is not None:
            self.disk.close()
        log.info(
            "gateway: has ended; counters: %s.",
            ", ".join(f"{name} {value}" for name, value in sorted(self.count.items())),
        )


def _request_limits(limits: schema.Limits) -> RequestLimits:
    """Returns the limits on requests of a configuration; 0 stands for the default."""
    default = schema.Limits()
    return RequestLimits(
        limits.header_bytes or default.header_bytes,
        limits.body_bytes or default.body_bytes,
        limits.header_ms or default.header_ms,
        limits.idle_ms or default.idle_ms,
    )


def main() -> int:
    """Runs a limiter with the settings file that LARKLB_SETTINGS names.

    Returns the exit status, which is 2 if the settings or the disk can't be used."""
    startup_options = options.parse(sys.argv[1:])
    logging.basicConfig(level=os.environ.get("LARKLB_LOG", "INFO"), format="%(message)s")
    try:
        settings = settings_module.read(os.environ.get("LARKLB_SETTINGS", "/etc/larklb/settings.toml"))
    except SettingsError as error:
        log.error("gateway: %s.", error)
        return 2
    # Most objects of a request are freed by reference counting, so collections can be rare.
    gc.set_threshold(20_000, 20, 50)
    return asyncio.run(_serve(settings, startup_options))


async def _serve(settings: settings_module.Settings, startup_options: Options) -> int:
    try:
        limiter = Limiter(settings, startup_options)
    except (StorageError, ConsensusError, GatewayError) as error:
        log.error("gateway: %s: can't start with it: %s.", settings.data_dir, error)
        return 2
    await limiter.run()
    return 0
