"""Prometheus metrics of all limiters; the names, help texts and labels are kept stable for dashboards.

All limiters are queried in one run; the label ``node`` tells which one a sample belongs to.  Only the metrics
command imports this module, since only that command needs prometheus-client.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from attrs import define
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

from larklb.cli.system_calls import Caller, Fleet, Row, fetch, fetch_all
from larklb.cli.system_live import leading
from larklb.gateway.metrics import families, gauge
from larklb.schema import calls

MEMBER_STATES = ("up", "leaving", "down")
SERVER_STATES = ("steady", "draining", "gone")


@define(eq=False)         # must stay hashable: the registry uses collectors as keys
class LimiterCollector(Collector):
    """Converts the answers of all limiters, collected once, to metrics.

    ``servers`` are as seen by the first limiter that answered; ``quotas`` and ``cores`` are rows that each
    include their ``node``."""

    fleet: Fleet
    servers: list[Row]
    quotas: list[Row]
    cores: list[Row]

    def collect(self) -> Iterable[Metric]:
        """Yield all metric families; a state without members is reported as 0, so graphs have no gaps."""
        yield from self._limiters()
        yield from families(self.fleet.answers)
        yield from self._tables()
        yield from self._core()

    def _limiters(self) -> Iterable[Metric]:
        answers = self.fleet.answers
        states = Counter(row["state"] for row in self.fleet.members)
        yield gauge("larklb_members", "Limiters by state, as the one that was asked first knows them.",
                     ("state",), [((s,), states[s]) for s in sorted({*MEMBER_STATES, *states})])
        yield gauge("larklb_up", "1 if the limiter answered, 0 if it is silent or down.", ("node", "zone"),
                     [((row["node"], row["zone"]), row["node"] in answers) for row in self.fleet.members])

    def _tables(self) -> Iterable[Metric]:
        states = Counter((row["service"], row["state"]) for row in self.servers)
        silent = Counter(row["service"] for row in self.servers if row["silent"])
        services = {row["service"] for row in self.servers}
        yield gauge("larklb_servers", "Servers by state, as the limiter that was asked first sees them.",
                     ("service", "state"), [((service, state), states[service, state]) for service in services
                                            for state in {*SERVER_STATES, *(s for _, s in states)}])
        yield gauge("larklb_servers_silent", "Servers whose heartbeats have ceased, whatever their state.",
                     ("service",), [((service,), silent[service]) for service in services])
        for name, text, key in (
                ("larklb_quota_tokens", "Requests that may be let in here now, by the tenant's bucket "
                 "(owner) or a slice of it (asker).", "tokens"),
                ("larklb_quota_rate", "Requests a second that the tenant has, as known here.", "rate"),
                ("larklb_quota_burst", "Burst that the tenant has, as known here.", "burst"),
                ("larklb_quota_apart", "At the owner: limiters whose parts it may not use now.", "apart"),
                ("larklb_quota_untold", "At an asker: requests let in that the owner wasn't told of yet.",
                 "untold")):
            yield gauge(name, text, ("node", "tenant", "role"),
                         [((row["node"], row["tenant"], row["role"]), row[key]) for row in self.quotas
                          if key in row])

    def _core(self) -> Iterable[Metric]:
        leaders = leading(self.cores)
        yield gauge("larklb_core_leader", "1 at the core machine that leads in the newest term.", ("node",),
                     [((row["node"],), row in leaders) for row in self.cores])
        yield gauge("larklb_core_settled", "1 if a leader takes changes now.", (),
                     [((), len(leaders) == 1 and bool(leaders[0]["settled"]))])
        yield gauge("larklb_core_voters", "Voters in the newest group that is known to a core machine.", (),
                     [((), len(max(self.cores, key=lambda r: (r["term"], r["last"]),
                                   default={"voters": ()})["voters"]))])
        for name, text, key in (
                ("larklb_core_term", "Term of the core machine.", "term"),
                ("larklb_core_log_last", "Index of the last entry of the core machine's log.", "last"),
                ("larklb_core_log_commit", "Index up to which the core machine knows of a majority.",
                 "commit"),
                ("larklb_core_version", "Version of the newest committed configuration there.", "version"),
                ("larklb_core_saving", "1 while a write to the core machine's disk is under way.", "saving"),
                ("larklb_core_serves", "1 if the core machine may tell its tables to others.", "serves")):
            yield gauge(name, text, ("node",), [((row["node"],), row[key]) for row in self.cores])


def told(caller: Caller) -> tuple[Fleet, str]:
    """Query all limiters; returns their answers, including which are silent, and the text exposition.

    Raises NoAnswerError if none answers."""
    fleet = fetch_all(caller, calls.COUNTS)

    def answered(row: Row) -> bool:
        # Limiters that did not answer the first call are not queried again, to avoid further timeouts.
        return row["node"] in fleet.answers

    quotas = fetch_all(caller, calls.QUOTAS, answered, key="quotas", by="tenant")
    cores = fetch_all(caller, calls.CORE, lambda row: answered(row) and bool(row["disk"]))
    for later in (quotas, cores):
        fleet.silent |= later.silent
    registry = CollectorRegistry()
    registry.register(LimiterCollector(
        fleet, fetch(caller, calls.SERVERS, "servers", "id")["servers"],
        [{"node": node, **row} for node, answer in quotas.answers.items() for row in answer["quotas"]],
        [{"node": node, **answer["core"]} for node, answer in cores.answers.items()
         if answer["core"] is not None]))
    return fleet, generate_latest(registry).decode()
