"""One limiter: what listens, what is folded, who is told."""

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
from larklb.admission.quota_records import Allowance, OvershootBound
from larklb.admission.quotas import Quotas
from larklb.balancing.choice import CapacityAwareSelector
from larklb.balancing.estimates import Estimates
from larklb.balancing.load import InFlight
from larklb.consensus.errors import ConsensusError
from larklb.gateway import options, status
from larklb.gateway import settings as told
from larklb.gateway.control import ControlApi, OperatorRequest
from larklb.gateway.control_plane import ControlPlane
from larklb.gateway.core import Core
from larklb.gateway.disk import DiskWriter
from larklb.gateway.errors import AddressError, GatewayError, SettingsError
from larklb.gateway.front import Front, in_force
from larklb.gateway.listener import Bounds, Listener
from larklb.gateway.messages import AnyMessage, CallResult, CapacityReport, InFlightMessage, QuotaMessage
from larklb.gateway.options import Options
from larklb.gateway.quota_exchange import QuotaExchange
from larklb.gateway.servers import Reply, Servers
from larklb.gateway.transport import Transport
from larklb.gateway.zone_exchange import IN_FLIGHT_MS, ZoneExchange
from larklb.membership.members import UP, Member
from larklb.net.http import Link
from larklb.registry import registry
from larklb.registry.registry import Server
from larklb.registry.subscriber import Subscriber
from larklb.schema import calls
from larklb.schema import configuration as schema
from larklb.schema.errors import SchemaError
from larklb.storage.errors import StorageError
from larklb.storage.store import Store
from larklb.wheel import Wheel

log = logging.getLogger("gateway")

TICK_MS = 4.0  # of the wheel
CORE_TURN_MS = 50.0  # between two turns of a core machine's duties ...
TURN_MS = 100.0  # ... and of another limiter's
SLOW_TURN_MS = 1_000.0  # between looks at the settings file, and at what has aged
SESSION_BYTES = 8  # random, of each process: answers to it are told from those to the one before
HARD_STATE = "ballot"  # the disk's key of term and vote
RESERVED = 200  # descriptors that are not for sockets
FRONT_PART, SERVER_PART, CONTROL_PART = 0.45, 0.3, 0.1
SETTLED_MS = 8_000.0  # a first start is over so long after it
YOUNG_MS = 2_500.0  # after a restart, in which all limiters together ...
YOUNG_SLOTS = 10  # ... may have so many requests in hand at one server
PATIENCE_MS = 5_000.0  # without any server known, until a limiter calls itself ready all the same
UNREADY_MS = 2_300.0  # the platform needs so long to see that a limiter is not ready
LAST_MS = 600.0  # of the grace, in which the process ends whatever is still in work ...
LAST_PART = 0.12  # ... but no more than this part: what is cut off before the last sixth is held to be lost
ANSWERS_MS = 100.0  # for the answers to what was ended so to leave
LATE_TURNS_MS = (25, 100, 500)  # turns that come later than this after their time are counted
METRICS_CONNECTIONS = 4
METRICS_PATH = b"/metrics"
DEFAULT_OPTIONS = Options()
CONNECTIONS_PART = 0.8  # of a server's connections may be in use by all limiters together


class Limiter:
    """One process."""

    def __init__(self, settings: told.Settings, chosen: Options = DEFAULT_OPTIONS) -> None:
        self.settings, self.options = settings, chosen
        self.wheel = Wheel(TICK_MS)
        self.random = random.Random(os.urandom(8))
        now = self.wheel.now()
        self.started_at = now
        self.count: Counter[str] = Counter()
        self.transport = Transport(settings.node, settings.ip, settings.port, self.handle_message)
        me = Member(settings.node, settings.ip, settings.zone, int(time.time() * 1000.0))
        self.disk: DiskWriter | None = None
        core = None
        if settings.data_dir and settings.control is not None:
            store = Store(Path(settings.data_dir))
            stored, disk = _load_disk(store, settings.data_dir)
            me = evolve(me, disk=disk)
            self.disk = DiskWriter(store, self.wheel)
            core = Core(
                settings, me, stored, now, self.random.randrange(1 << 30), self.transport.send, self.disk.save
            )
            self.disk.core = core
        self.plane = ControlPlane(
            settings,
            me,
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
            in_flight_limit=self._limit,
            estimates=Estimates(incarnation=me.incarnation),
            in_flight=InFlight(incarnation=me.incarnation),
        )
        first = settings.bootstrap
        bounds = settings.bounds
        quotas = Quotas(
            settings.node,
            now,
            self.random.randrange(1 << 30),
            first_start=first,
            bound=OvershootBound(bounds.quota_window_ms / 1000.0, bounds.quota_overshoot, bounds.quota_slack),
        )
        self.quota_exchange = QuotaExchange(quotas, self.wheel, self.transport.send, self.count)
        self.zone_exchange = ZoneExchange(self.choice, self.transport.send)
        self.budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_window_ms,
            bounds.retry_slack,
            self._limiters,
            now,
            first_start=first,
            node=settings.node,
        )
        sockets = max(64, settings.descriptors - RESERVED)
        self.servers = Servers(self.wheel, self.choice, int(sockets * SERVER_PART), self.count)
        self.front = Front(
            self.wheel,
            self.servers,
            self.choice,
            self.budget,
            self.quota_exchange.request_verdict,
            self.random,
            self.count,
            stay=chosen.caller_affinity,
        )
        control = ControlApi(self._server_call, self._operator_call, partial(status.document, self))
        self.edge = Listener(self.wheel, self.front.answer, int(sockets * FRONT_PART))
        self.control = Listener(self.wheel, control.answer, int(sockets * CONTROL_PART))
        self.readiness = Listener(self.wheel, self._ready, 16)
        self.metrics = Listener(self.wheel, self._metrics, METRICS_CONNECTIONS)
        self.saturation: dict[str, int] = {}
        self.slow_at = -1e18
        self.turn_due = now
        self.leaving = asyncio.Event()
        self.stamp = self._stamp()

    @property
    def core(self) -> Core | None:
        """A core machine's part of the control plane."""
        return self.plane.core

    @property
    def subscriber(self) -> Subscriber:
        """What is known here of other limiters and of servers."""
        return self.plane.subscriber

    @property
    def quotas(self) -> Quotas:
        """What is decided of tenants' quotas here."""
        return self.quota_exchange.quotas

    async def run(self) -> None:
        """From the first message to an orderly end."""
        s, loop = self.settings, asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        loop.add_signal_handler(signal.SIGINT, self.leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings_changed)
        await self.transport.start()
        for door, address in ((self.readiness, s.readiness), (self.control, s.control), (self.edge, s.edge)):
            if address is not None:
                await door.start(*address)
        await self._start_metrics()
        log.info("gateway: %s listens.", s.node)
        self._turn()
        self._tick_zone_exchange()
        await self.leaving.wait()
        await self._leave()

    async def _start_metrics(self) -> None:
        if not self.options.metrics_port:
            return
        try:
            await self.metrics.start(self.settings.ip, self.options.metrics_port)
        except AddressError as error:  # requests don't depend on it
            log.warning("gateway: no metrics: %s.", error)

    def _tick_zone_exchange(self) -> None:
        self.wheel.after(IN_FLIGHT_MS, self._tick_zone_exchange)
        if self.front.now is not None:
            self.zone_exchange.tick(self.wheel.now())

    # Turns --------------------------------------------------------------------------------

    def _turn(self) -> None:
        """What is done regularly; one turn that fails must not be the last."""
        now, period = self.wheel.now(), CORE_TURN_MS if self.core is not None else TURN_MS
        self._count_late(now)
        self.turn_due = now + period
        self.wheel.after(period, self._turn)
        self.plane.tick(now)
        self.quota_exchange.tick(now)
        if now - self.slow_at >= SLOW_TURN_MS:
            self.slow_at = now
            self.quotas.expire(now)
            self._assign(now)
            if self._stamp() != self.stamp:
                self._settings_changed()

    def _count_late(self, now: float) -> None:
        """How long the event loop was held up; what waits in the sockets meanwhile is seen as late."""
        for bound in LATE_TURNS_MS:
            if now - self.turn_due > bound:
                self.count[f"turn.late.{bound}ms"] += 1

    def _stamp(self) -> tuple[float, int]:
        try:
            stat = os.stat(self.settings.path)
        except OSError:
            return 0.0, 0
        return stat.st_mtime, stat.st_size

    def _settings_changed(self) -> None:
        """The settings file is read anew; one that can't be used changes nothing."""
        self.stamp = self._stamp()
        try:
            fresh = told.read(self.settings.path)
        except SettingsError as error:
            log.error("gateway: %s.", error)
            return
        self.subscriber.seeds = [host for host, _ in fresh.seeds]
        self.settings = evolve(self.settings, seeds=fresh.seeds)
        log.info("gateway: settings read anew.")

    # Messages of other limiters -----------------------------------------------------------

    def handle_message(self, message: AnyMessage) -> None:
        """KeyError, TypeError or ValueError where it can't be used."""
        now = self.wheel.now()
        match message:
            case QuotaMessage():
                sender = self.subscriber.members.get(message.sender)
                self.quota_exchange.handle_message(
                    now, message, sender.ring_number if sender is not None else -1
                )
            case InFlightMessage() | CapacityReport():
                self.zone_exchange.handle_message(now, message)
            case _:
                self.plane.handle_message(now, message)

    # Configuration ------------------------------------------------------------------------

    @property
    def version(self) -> int:
        """Of the configuration in force here."""
        return self.front.now.version if self.front.now is not None else 0

    def _apply_configuration(self, document: dict[str, Any]) -> None:
        """A committed configuration; an older one than that in force is never gone back to."""
        if int(document["version"]) <= self.version:
            return
        try:
            checked = schema.check(document, self.version)
        except SchemaError as error:
            log.error("gateway: a configuration can't be used: %s.", error)
            return
        self.front.now = in_force(checked)
        limits = checked.limits
        self.edge.bounds = Bounds(limits.header_bytes, limits.body_bytes, limits.header_ms, limits.idle_ms)
        self.saturation = {service.name: service.saturation for service in checked.services}
        self.quotas.set_allowances(
            self.wheel.now(),
            checked.version,
            {t.name: Allowance(t.name, t.rate_per_s, t.burst) for t in checked.tenants or ()},
        )
        log.info("gateway: version %d is in force.", checked.version)

    # Limiters and servers -----------------------------------------------------------------

    def _on_members_changed(self) -> None:
        """Members or servers are others now."""
        now = self.wheel.now()
        me = self.subscriber.local_member
        members = self.subscriber.members.values()
        numbers = self.subscriber.nodes_by_ring_number()
        addresses = {n: self.subscriber.members[node].ip for n, node in numbers.items()}
        self.quota_exchange.set_members(now, numbers, addresses, me.ring_number)
        self.zone_exchange.set_peers(
            [m.ip for m in members if m.zone == me.zone and m.state == UP and m.node != me.node]
        )
        self.choice.set_limiters(me.node, [(m.node, m.zone) for m in members])
        self.choice.update(
            ServerState(
                s.id,
                s.target,
                s.address,
                s.zone,
                s.slots,
                cold_until=now + s.warmup_left_ms if s.warmup_left_ms else -1e18,
                draining=s.state != registry.STEADY,
                silent=s.silent,
            )
            for s in self.subscriber.servers.values()
            if s.state != registry.GONE
        )
        self._assign(now)

    def _assign(self, now: float) -> None:
        if self.front.stay or self.front.now is not None and self.front.now.stay:
            self.choice.assign(now, self._limiters())

    def _limiters(self) -> int:
        return max(1, len(self.subscriber.members))

    def _limit(self, target: str) -> int:
        limiters = self._limiters()
        most = max(2, int(self.saturation.get(target, 1 << 20) * CONNECTIONS_PART / limiters))
        if not self.settings.bootstrap and self.wheel.now() - self.started_at < YOUNG_MS:
            # All may have restarted together and know few servers yet: these must not get everything.
            most = min(most, max(1, round(YOUNG_SLOTS / limiters)))
        return most

    async def _server_call(self, call: Server | str) -> CallResult:
        """A server's beat, or the id of one that leaves."""
        return await self._settled(partial(self.plane.server_call, self.wheel.now(), call))

    async def _operator_call(self, order: OperatorRequest) -> CallResult:
        """An operator's call."""
        return await self._settled(partial(self.plane.operator_call, self.wheel.now(), order))

    @staticmethod
    async def _settled(ask: Callable[[Callable[[CallResult], object]], object]) -> CallResult:
        answered: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()

        def done(result: CallResult) -> None:
            if not answered.done():
                answered.set_result(result)

        ask(done)
        return await answered

    # Readiness and the end ----------------------------------------------------------------

    def ready(self) -> bool:
        """Whether clients are to come here."""
        known = self.subscriber.ever_complete and (
            bool(self.choice.servers) or self.wheel.now() - self.started_at > PATIENCE_MS
        )
        return self.front.now is not None and known and not self.leaving.is_set()

    async def _ready(self, head: Any, body: bytes, link: Any) -> Reply:
        if head.target.partition(b"?")[0] != b"/larklb/readiness":
            return Reply(404)
        return Reply(200 if self.ready() else 503)

    async def _metrics(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        if head.target.partition(b"?")[0] != METRICS_PATH:
            return Reply(404)
        if head.method != b"GET":
            return Reply(405)
        # The library takes longer to import than a request may wait: the first scrape does so in a thread.
        metrics = await asyncio.to_thread(importlib.import_module, "larklb.gateway.metrics")
        told = status.document(self, calls.COUNTS, {})
        return Reply(200, [metrics.CONTENT_TYPE], metrics.exposition(self.settings.node, told))

    async def _leave(self) -> None:
        """In order: told to all, no longer ready, all that was taken is finished, within the grace."""
        log.info("gateway: leaves.")
        now, grace = self.wheel.now(), self.settings.bounds.grace_ms
        self.plane.leave(now)
        self.edge.leave()
        end = now + grace - min(LAST_MS, grace * LAST_PART)
        await self.wheel.sleep(min(UNREADY_MS, grace * 0.4))
        # What is taken later might not be finished within the grace.
        self.edge.stop_listening()
        while self.wheel.now() < end and (self.edge.busy() or self.control.busy()):
            await self.wheel.sleep(20.0)
        if self.edge.busy():
            self.front.shut_down()
            await self.wheel.sleep(ANSWERS_MS)
        for door in (self.edge, self.control, self.readiness, self.metrics):
            await door.close()
        self.servers.close()
        await self.transport.stop()
        if self.disk is not None:
            self.disk.close()
        log.info("gateway: has ended; %s.", ", ".join(f"{k} {v}" for k, v in sorted(self.count.items())))


def _load_disk(store: Store, folder: str) -> tuple[dict[str, bytes] | None, str]:
    """What a core machine's disk holds, and the disk's id.

    A disk that has its id but not its votes might vote twice in a term: it is a blank one, under a new id.
    On a disk that was new when the last process ended early it changes nothing."""
    stored = store.load()
    kept = stored is not None and HARD_STATE in stored
    disk = store.identity(renew=not kept)
    status.mark_in_use(folder)  # from here on no tool changes what is loaded
    return (stored if kept else None), disk


def main() -> int:
    """Runs a limiter by the settings file that LARKLB_SETTINGS names; 2 where that or its disk is no good."""
    chosen = options.parse(sys.argv[1:])
    logging.basicConfig(level=os.environ.get("LARKLB_LOG", "INFO"), format="%(message)s")
    try:
        settings = told.read(os.environ.get("LARKLB_SETTINGS", "/etc/larklb/settings.toml"))
    except SettingsError as error:
        log.error("gateway: %s.", error)
        return 2
    gc.set_threshold(20_000, 20, 50)  # most of what a request makes is freed by its count alone
    return asyncio.run(_serve(settings, chosen))


async def _serve(settings: told.Settings, chosen: Options) -> int:
    try:
        limiter = Limiter(settings, chosen)
    except (StorageError, ConsensusError, GatewayError) as error:
        log.error("gateway: %s: can't start with it: %s.", settings.data_dir, error)
        return 2
    await limiter.run()
    return 0
