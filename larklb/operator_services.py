"""Services of an instance that an operator's file configures: plans, reservations, metering, administration.

An instance that is run without an operator's file has none of them.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import os
import signal
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from larklb import __version__
from larklb import interface as io
from larklb.admin import Admin, AdminError
from larklb.background import run_forever
from larklb.core import Core
from larklb.counters import Counters
from larklb.export import exporter as ex
from larklb.export import tally as t
from larklb.export.adoption import Adopter
from larklb.export.ledger import Ledger
from larklb.fields import MalformedError, parse_account
from larklb.fleet.verdicts import LIMITER, ZONE
from larklb.fleet.zones import Demand, Override, Zones, simulate_capacity
from larklb.health import ALL_WORK
from larklb.quota import catalogue as cat
from larklb.quota.entitlements import Entitlements
from larklb.quota.reservations import RefusedError, Reservation, ReservationLimits, Reservations, Wanted
from larklb.quota.ring import digest, members, ring_owner
from larklb.quota.table_limits import customers_for_memory
from larklb.settings import Config, ConfigError, ExportEntry, InstanceEntry, LedgerEntry, Operator
from larklb.state.folder import LockedFolder
from larklb.state.log import LogError, Step
from larklb.state.reservation_log import ReservationLog
from larklb.wheel import Wheel

if TYPE_CHECKING:
    from larklb.net.keeper import CustodyKeeper

log = logging.getLogger(__name__)

# Between compactions of the log of reservations.
COMPACTION_PERIOD_S = 60.0
# Messages to each other limiter, repeated as some get lost, and the wait for the replies to each.
PEER_PINGS, PEER_PING_WAIT_S = 3, 0.45
# Rows in one answer.
MAX_ROWS_SHOWN = 1000
# Longest validity of an operator's override of a zone.
MAX_OVERRIDE_S = 86400.0
# Samples of the requests in flight, taken within one second.
DEMAND_SAMPLES = 10
# Wait at a start for a folder that others are checking or about to release.
LOCK_PATIENCE_S = 0.5


def fault_injector() -> Step:
    """For tests: with LARKLB_FAULT=step:n the process sends itself SIGKILL at the n-th pass of a step."""
    name, _, number = os.environ.get("LARKLB_FAULT", "").partition(":")
    if not name:
        return bool
    step_counts: Counter[str] = Counter()

    def step(name_reached: str) -> None:
        step_counts[name_reached] += 1
        if name_reached == name and step_counts[name_reached] == int(number or 1):
            os.kill(os.getpid(), signal.SIGKILL)
    return step


def read_catalogue(path: Path, plans: tuple[io.Plan, ...]) -> cat.Catalogue:
    """Reads a catalogue of plans; raises ConfigError with one line that names the fault."""
    try:
        return cat.parse(path.read_bytes(), plans, str(path))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except cat.CatalogueError as error:
        raise ConfigError(str(error)) from error


def parse_receiver(entry: ExportEntry, base: Path) -> ex.Receiver | Path:
    """Returns the receiver or folder to which use is exported; raises ConfigError if it is invalid."""
    try:
        return ex.receiver(entry.url, str(base / entry.ca) if entry.ca else "") if entry.url else (
            base / entry.folder)
    except (ValueError, OSError) as error:
        raise ConfigError(f"export: {error}") from error


def open_ledger(entry: LedgerEntry, folder: Path, name: str, counters: Counters, step: Step,
              patience_s: float = 0.0) -> Ledger:
    """Opens an instance's ledger as configured in the operator's file; raises LogError."""
    return Ledger(folder, name, counters, period_s=entry.period_s, max_mb=entry.most_mb,
                  rewrite_mb=entry.rewrite_mb, step=step, patience_s=patience_s)


class OperatorServices:
    """The operator's services of one instance."""

    def __init__(self, config: Config, base: Path, operator: Operator, entry: InstanceEntry,
                 counters: Counters, now: float) -> None:
        """``base`` is the folder of the operator's file, ``now`` the time of the wheel in milliseconds.

        Raises ConfigError or LogError if the configuration or stored state is unusable.
        """
        self.config, self.operator, self.entry, self.counters = config, operator, entry, counters
        self.offset = time.time() * 1000.0 - now
        self.step = fault_injector()
        self.plans_file = base / operator.plans.file if operator.plans is not None else None
        self.folder_lock: LockedFolder | None = None
        self.ledger: Ledger | None = None
        self.exporter: ex.Exporter | None = None
        self.reservation_log: ReservationLog | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.admin = Admin(base / entry.admin, self.handlers()) if entry.admin else None
        self.started_at = time.time()
        plans = config.settings.plans
        catalogue = read_catalogue(self.plans_file, plans) if self.plans_file is not None else None
        reservations = None
        if operator.state is not None:
            folder = base / operator.state.folder / config.name
            if operator.ledger is not None:
                self.ledger = open_ledger(operator.ledger, folder / "use", config.name, counters, self.step,
                                        LOCK_PATIENCE_S)
            if operator.reservations is not None:
                self.folder_lock = LockedFolder(folder / "reservations")
                r = operator.reservations
                reservations = Reservations(
                    ReservationLimits(r.fleet_share * r.fleet_rate if r.fleet_rate else float("inf"),
                                      r.customer_share),
                    config.settings.gateways, config.settings.number)
                self.reservation_log = ReservationLog(folder / "reservations" / "reservations.log",
                                                      reservations, self.wall(), self.step)
        self.reservations = reservations
        self.entitlements = Entitlements(plans, catalogue, reservations, self.offset,
                                         settle=operator.quota.settle, reserve=operator.quota.reserve(),
                                         max_customers=customers_for_memory(config.memory_mb))
        if self.ledger is not None and operator.export is not None:
            self.exporter = ex.Exporter(self.ledger, counters, parse_receiver(operator.export, base),
                                        operator.export.most_wait_s, config.seed)
        self.adopter = self._make_adopter(base) if self.exporter is not None else None
        self.core: Core | None = None
        self.keeper: CustodyKeeper | None = None

    def _make_adopter(self, base: Path) -> Adopter | None:
        """Returns the adopter of lost instances' ledgers, if it is configured."""
        o = self.operator
        if o.ledger is None or o.export is None or o.state is None or not o.ledger.adopt_s:
            return None
        entry, to = o.ledger, parse_receiver(o.export, base)
        folders = {e.name: base / o.state.folder / e.name / "use" for e in o.instance}
        return Adopter(self.config.name, folders, entry.adopt_s, self.counters,
                       lambda name, folder: open_ledger(entry, folder, name, self.counters, self.step),
                       lambda ledger: ex.Exporter(ledger, self.counters, to))

    def wall(self) -> float:
        """Returns the time in Unix milliseconds."""
        return time.time() * 1000.0

    async def start(self, core: Core) -> None:
        """Starts the administrative address and the background tasks; raises OSError."""
        self.core = core
        core.record_draw = self.record_draw
        if self.admin is not None:
            await self.admin.start()
        loop = asyncio.get_running_loop()
        if self.ledger is not None and self.operator.ledger is not None and self.operator.state is not None:
            e = self.operator.ledger
            maintenance = functools.partial(self.ledger.run_maintenance, self.operator.state.sync_ms,
                                            e.seal_s)
            self.tasks.append(loop.create_task(run_forever("ledger", maintenance, self.counters)))
        if self.exporter is not None:
            self.tasks.append(loop.create_task(self.exporter.run()))
        if self.adopter is not None:
            self.tasks.append(loop.create_task(run_forever("adopter", self.adopter.run, self.counters)))
        if self.reservation_log is not None:
            compact = functools.partial(self._compact_reservations, self.reservation_log)
            self.tasks.append(loop.create_task(run_forever("reserved", compact, self.counters)))

    async def _compact_reservations(self, reservation_log: ReservationLog) -> None:
        await asyncio.sleep(COMPACTION_PERIOD_S)
        reservation_log.compact(self.wall())

    def record_draw(self, drawn: io.RecordDraw) -> None:
        """Records a draw on a reservation before the answer that depends on it is sent."""
        if self.reservation_log is None:
            return
        try:
            self.reservation_log.record_draw(drawn, self.config.settings.number)
        except LogError as error:
            # The request is served and the draw written later.  If the process is killed before that, the
            # same units can be drawn twice.
            self.counters.add("errors.reserved")
            log.error("a draw is kept in memory alone: %s", error)

    async def stop(self) -> None:
        """Stops the tasks and the administrative address and closes the logs."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.admin is not None:
            await self.admin.stop()
        if self.ledger is not None:
            self.ledger.close()
        if self.reservation_log is not None:
            try:
                self.reservation_log.close()
            except LogError as error:
                self.counters.add("errors.reserved")
                log.error("%s", error)
        if self.folder_lock is not None:
            self.folder_lock.close()

    def reload(self) -> None:
        """Reads the file of the catalogue again, upon SIGHUP; an invalid file changes nothing."""
        if self.plans_file is None:
            return
        try:
            self.apply_catalogue(read_catalogue(self.plans_file, self.config.settings.plans))
        except (ConfigError, cat.CatalogueError) as error:
            self.counters.add("errors.plans")
            log.error("the plans stay at version %d: %s", self.entitlements.catalogue.newest.number, error)

    def apply_catalogue(self, new: cat.Catalogue) -> None:
        """Replaces the catalogue; raises CatalogueError if ``new`` is no valid successor."""
        taken = cat.successor(self.entitlements.catalogue, new, self.wall())
        assert self.core is not None
        self.entitlements.replace_catalogue(self.core.wheel.now(), taken)
        self.counters.add("plans.taken")
        log.info("applied the catalogue: newest version %d, version in force %d",
                 taken.newest.number, self._version_in_force())

    def _version_in_force(self) -> int:
        c = self.entitlements.catalogue
        return c.versions[c.index_at(self.wall())].number

    # Requests to the administrative address ------------------------------------------------

    def handlers(self) -> dict[str, Any]:
        """Returns the handlers of administrative requests by name."""
        return {"status": self.status, "plans.show": self.plans_show, "plans.check": self.plans_check,
                "plans.apply": self.plans_apply, "reserve.add": self.reserve_add,
                "reserve.list": self.reserve_list, "reserve.cancel": self.reserve_cancel,
                "quota.state": self.quota_state, "fleet.state": self.fleet_state,
                "fleet.jobs": self.fleet_jobs, "fleet.zones": self.fleet_zones,
                "zones.override": self.zones_override, "zones.rehearse": self.zones_rehearse,
                "usage.show": self.usage_show, "usage.export": self.usage_export}

    async def status(self, q: dict[str, Any]) -> dict[str, Any]:
        """The identity, uptime and catalogue versions of the instance."""
        c = self.entitlements.catalogue
        return {"name": self.config.name, "number": self.config.settings.number, "pid": os.getpid(),
                "program": __version__, "serving_s": round(time.time() - self.started_at, 1),
                "plans": {"counts": self._version_in_force(), "newest": c.newest.number,
                          "heard": self.entitlements.newest_peer_version},
                "reservations": len(self.reservations.by_name) if self.reservations is not None else 0,
                "jobs": len(self.core.jobs) if self.core is not None else 0}

    async def plans_show(self, q: dict[str, Any]) -> dict[str, Any]:
        """The versions of the catalogue."""
        c = self.entitlements.catalogue
        return {"name": self.config.name, "counts": self._version_in_force(), "newest": c.newest.number,
                "heard": self.entitlements.newest_peer_version,
                "versions": [version_row(v) for v in c.versions]}

    def _parse_submitted(self, q: dict[str, Any]) -> cat.Catalogue:
        if self.plans_file is None:
            raise AdminError("the operator's file names no plans for this instance")
        try:
            return cat.parse(str(q.get("text", "")).encode(), self.config.settings.plans, "plans")
        except cat.CatalogueError as error:
            raise AdminError(str(error)) from error

    async def plans_check(self, q: dict[str, Any]) -> dict[str, Any]:
        """The changes that a submitted catalogue would make; AdminError if it is invalid."""
        new = self._parse_submitted(q)
        try:
            taken = cat.successor(self.entitlements.catalogue, new, self.wall())
        except cat.CatalogueError as error:
            raise AdminError(str(error)) from error
        return {"name": self.config.name, "changes": cat.differences(self.entitlements.catalogue, taken)}

    async def plans_apply(self, q: dict[str, Any]) -> dict[str, Any]:
        """Applies a submitted catalogue; AdminError if it is invalid."""
        try:
            self.apply_catalogue(self._parse_submitted(q))
        except cat.CatalogueError as error:
            raise AdminError(str(error)) from error
        return await self.plans_show(q)

    def _reservations(self) -> tuple[Reservations, ReservationLog]:
        if self.reservations is None or self.reservation_log is None:
            raise AdminError("the operator's file allows this instance no reservations")
        return self.reservations, self.reservation_log

    async def reserve_add(self, q: dict[str, Any]) -> dict[str, Any]:
        """Adds a reservation, durably; AdminError if it is refused."""
        reservations, reservation_log = self._reservations()
        try:
            wanted = msgspec.convert(q.get("wanted"), Wanted)
            wanted = replace(wanted, customer=parse_account(wanted.customer))
        except (msgspec.ValidationError, MalformedError) as error:
            raise AdminError(f"the reservation is invalid: {error}") from error
        s = self.config.settings
        number = next((i for i, p in enumerate(s.plans) if p.name == wanted.plan), None)
        if number is None:
            raise AdminError(f"the settings have no plan {wanted.plan!r}")
        key = digest(wanted.customer)
        if not (1 <= wanted.spread <= s.gateways and 0 <= wanted.first < s.gateways):
            raise AdminError("there are no such limiters")
        owner = ring_owner(key, members(wanted.first, wanted.spread, s.gateways))
        owned = owner == s.number
        if not owned and not q.get("copy"):
            raise AdminError(f"the owner of this customer is limiter {owner}")
        c = self.entitlements.catalogue
        index = c.index_at(wanted.begin)
        plan = c.versions[index].plans[c.plan_of(key, index, number)]
        already_present = wanted.name in reservations.by_name
        try:
            r = reservations.add(wanted, owned, self.wall(), plan.rate)
            if not already_present:
                reservation_log.record_added(r)
        except RefusedError as error:
            raise AdminError(str(error)) from error
        except LogError as error:
            reservations.remove(r)
            raise AdminError(f"it could not be kept: {error}") from error
        return self._reservation_row(r)

    def _reservation_row(self, r: Reservation) -> dict[str, Any]:
        w = r.wanted
        return {"id": w.name, "state": r.advance(self.wall()).value, "owner": r.owned, "tag": f"{r.tag:08x}",
                "limiter": self.config.name, "customer": w.customer, "plan": w.plan, "units": w.units,
                "left": r.remaining, "drawn": r.drawn, "apart": sum(r.remote_draws.values()),
                "begin": cat.format_instant(w.begin), "end": cat.format_instant(w.end),
                "set": f"spread={w.spread},first={w.first}"}

    async def reserve_list(self, q: dict[str, Any]) -> dict[str, Any]:
        """All reservations, or one by its id."""
        reservations, _ = self._reservations()
        return {"reservations": [self._reservation_row(r) for r in reservations.by_name.values()
                                 if not q.get("id") or q["id"] == r.wanted.name]}

    async def reserve_cancel(self, q: dict[str, Any]) -> dict[str, Any]:
        """Cancels a reservation, durably; AdminError if it is refused."""
        reservations, reservation_log = self._reservations()
        try:
            r = reservations.cancel(str(q.get("id")), self.wall())
            reservation_log.record_cancelled(r)
        except (RefusedError, LogError) as error:
            raise AdminError(str(error)) from error
        return self._reservation_row(r)

    async def quota_state(self, q: dict[str, Any]) -> dict[str, Any]:
        """Whether this instance decides on a customer with certainty, and its largest error in units."""
        if self.core is None:
            raise AdminError("the instance is starting")
        try:
            key = digest(parse_account(str(q.get("customer", ""))))
        except MalformedError as error:
            raise AdminError(str(error)) from error
        gateway = self.core.gateway
        found = gateway.fallback.describe(self.core.wheel.now(), key, gateway.buckets.get(key))
        return {"name": self.config.name, **found}

    async def fleet_state(self, q: dict[str, Any]) -> dict[str, Any]:
        """The state of the other limiters and the nodes as seen here, after messages to the limiters."""
        if self.core is None:
            raise AdminError("the instance is starting")
        for _ in range(PEER_PINGS):
            self.core.ping_peers()
            await asyncio.sleep(PEER_PING_WAIT_S)
        g, now = self.core.gateway, self.core.wheel.now()
        topics = {number: name for name, number in g.topics.items()}
        topics |= {LIMITER: "limiter", ZONE: "zone", ALL_WORK: "all work"}
        topics |= {io.MAX_TOPICS - n: f"plan {p.name}" for n, p in enumerate(g.settings.plans)}
        verdicts = []

        def name_of(short: int) -> str:
            server = g.server_pool.by_short_id.get(short)
            return server.entry.server if server is not None else f"{short:04x}"

        for row in g.verdicts.rows(now):
            subject, topic = int(row.pop("subject")), row.pop("topic")
            node = f"n{subject}" if topic == LIMITER else name_of(subject)
            if topic == ZONE:
                node = (
                    g.zones.by_short_id[subject].name if subject in g.zones.by_short_id else f"{subject:04x}"
                )
            verdicts.append({"node": node, "topic": topics.get(topic, str(topic)), **row})
        return {"name": self.config.name, "number": g.settings.number, "members": g.members.rows(now),
                "ages_ms": {peer: round(now - at) for peer, at in g.fallback.last_heard_at.items()},
                "nodes": len(g.server_pool.up), "reach": [s.entry.server for s in g.server_pool.in_reach],
                "list": g.server_pool.version,
                "inbox": round(g.pace.inbox.rate_at(now), 1), "verdicts": verdicts,
                "slots": g.limits.rows(now, name_of)}

    def _zones(self) -> Zones:
        if self.core is None:
            raise AdminError("the instance is starting")
        return self.core.gateway.zones

    async def fleet_zones(self, q: dict[str, Any]) -> dict[str, Any]:
        """The state of each zone as seen here."""
        zones, now = self._zones(), self._wheel().now()
        return {"name": self.config.name, "on": zones.active, "zones": zones.rows(now)}

    def _wheel(self) -> Wheel:
        assert self.core is not None
        return self.core.wheel

    async def zones_override(self, q: dict[str, Any]) -> dict[str, Any]:
        """Overrides the state of a zone for ``for_s`` seconds; 0 removes the override."""
        zones, now = self._zones(), self._wheel().now()
        name, for_s, reason = str(q.get("zone", "")), float(q.get("for_s", 0.0)), str(q.get("why", ""))
        if not 0.0 <= for_s <= MAX_OVERRIDE_S or for_s and not reason:
            raise AdminError(f"it needs a reason, and an end within {MAX_OVERRIDE_S / 3600:g} h")
        override = Override(bool(q.get("away")), now + for_s * 1000.0, reason[:200]) if for_s else None
        if not zones.override(now, name, override):
            raise AdminError(f"no node of a zone {name!r} was ever listed")
        assert self.core is not None
        self.core.zones_changed()
        log.info("override of zone %s: %s", name, "removed" if override is None else
                 f"{'away' if override.away else 'home'} for {for_s:g} s, as {override.reason!r}")
        return await self.fleet_zones(q)

    async def zones_rehearse(self, q: dict[str, Any]) -> dict[str, Any]:
        """Simulates the loss of a zone under the demand of the next second."""
        zones, g = self._zones(), self.core.gateway if self.core is not None else None
        name = str(q.get("without", ""))
        if g is None or name not in zones.by_name:
            raise AdminError(f"no node of a zone {name!r} was ever listed")
        in_flight: Counter[tuple[str, str]] = Counter()
        for _ in range(DEMAND_SAMPLES):
            for pending in g.pending.values():
                in_flight[pending.service_class.name, pending.plan.name] += 1
            await asyncio.sleep(1.0 / DEMAND_SAMPLES)
        demands = [Demand(c, p, n / DEMAND_SAMPLES,
                          g.classes[c].worth * g.plans[p][1].price / g.usual_latency[c])
                   for (c, p), n in in_flight.items() if c in g.classes and p in g.plans]
        total_capacity = (
            g.server_limit * len(g.server_pool.available) * g.server_pool.visible_share(self._wheel().now())
        )
        remaining_weight = sum(z.weight for z in zones.by_name.values()
                               if z.name != name and z.state != "away")
        weight = sum(z.weight for z in zones.by_name.values() if z.state != "away") or 1.0
        return {"name": self.config.name, "room": round(total_capacity, 1),
                "rest": round(total_capacity * remaining_weight / weight, 1),
                "rows": simulate_capacity(demands, total_capacity * remaining_weight / weight)}

    async def fleet_jobs(self, q: dict[str, Any]) -> dict[str, Any]:
        """The jobs that must not run twice, as stored by this instance; all of them or one by its key."""
        if self.keeper is None:
            raise AdminError("the operator's file turns no custody on")
        key = q.get("key")
        rows = self.keeper.rows(int(str(key), 16) if key else None)
        return {"name": self.config.name, "jobs": rows[:MAX_ROWS_SHOWN],
                "bytes": self.keeper.custodian.size, "most_bytes": self.keeper.custodian.max_bytes,
                "turned_down": self.keeper.custodian.refused}

    def _ledger(self) -> Ledger:
        if self.ledger is None:
            raise AdminError("the operator's file gives this instance no ledger")
        return self.ledger

    async def usage_show(self, q: dict[str, Any]) -> dict[str, Any]:
        """The sums of the ledger and its uncut rows."""
        ledger = self._ledger()
        ledger.flush()
        return usage_report(self.config.name, ledger.tally,
                            self.exporter.last_error if self.exporter is not None else "")

    async def usage_export(self, q: dict[str, Any]) -> dict[str, Any]:
        """Seals all counted use and waits up to ``within`` seconds for its delivery."""
        ledger = self._ledger()
        if self.exporter is None:
            raise AdminError("the operator's file names no receiver for use")
        sealed = await ledger.seal()
        deadline = time.monotonic() + float(q.get("within", 15.0))
        while ledger.tally.batches and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return {"name": self.config.name, "sealed": sealed, "waiting": len(ledger.tally.batches),
                "word": self.exporter.last_error}


def version_row(v: cat.Version) -> dict[str, Any]:
    """Returns a version of the catalogue for the output of a command."""
    return {"number": v.number, "from": cat.format_instant(v.effective_at), "note": v.note,
            "says": cat.summary(v),
            "plans": {p.name: {"rate": p.rate, "burst": p.burst, "most_open": p.most_open} for p in v.plans}}


def usage_report(name: str, tally: t.Tally, last_error: str = "") -> dict[str, Any]:
    """Returns the sums of a ledger and its uncut rows for the output of a command."""
    def sum_row(s: t.Sum) -> dict[str, Any]:
        return {"units": t.format_units(s.units), "tries": s.tries}

    rows = [{"period": t.format_instant(k.period), "account": k.account, "plan": k.plan, "version": k.version,
             "class": k.service, "reservation": f"{k.reservation:08x}" if k.reservation else "",
             "beyond": k.beyond, "units": t.format_units(units), "tries": tries}
            for k, (units, tries) in list(tally.rows.items())[:MAX_ROWS_SHOWN]]
    return {"name": name, "incarnation": tally.incarnation, "counted": sum_row(tally.counted),
            "sealed": sum_row(tally.cut), "acknowledged": sum_row(tally.acked), "open": len(tally.begun),
            "waiting": len(tally.batches), "in_doubt": tally.in_doubt, "word": last_error,
            "doubts": [{"job": d.job, "account": d.key.account, "units": t.format_units(d.units),
                        "incarnation": d.incarnation} for d in tally.doubts],
            "periods": {t.format_instant(p): sum_row(s) for p, s in sorted(tally.periods.items())},
            "rows": rows}
