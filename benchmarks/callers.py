"""Assignment of callers to servers: callers moved by a change of servers, balance, cost of a choice, memory.

``python benchmarks/callers.py [--quick]``: seeded, without sockets.  Several methods of consistent hashing
are compared first.  Then the one in use is measured with up to 34,000 servers, and compared with the
selection without callers.  The last line is ``only what it held``, or lists what failed.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import os
import random
import statistics
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

from xxhash import xxh3_64_intdigest

from larklb.admission.choice import ServerSelector, ServerState
from larklb.assignment import ring
from larklb.assignment.assignment import Assignment, caller_key

# Maximum number of callers moved, relative to the least possible number.
MAX_MOVED = 1.05
# Maximum load of the busiest server, relative to the mean.
MAX_BUSIEST = 1.25
# Maximum time of a choice at 1,000 servers.
MAX_CHOICE_US = 5.0
# With fewer callers per server on average, rounding to whole callers alone exceeds MAX_BUSIEST.
MIN_CALLERS_PER_SERVER = 4.0
# Weight of a server, which is its number of slots.
WEIGHT = 4.0
# Time between changes, so that no server counts as flapping.
CHANGE_INTERVAL_MS = 1e7
# Fraction of all slots in use.
LOAD = 0.7
# Rounds in which callers find their servers under load bounds before a change.
MAX_SETTLE_ROUNDS = 6

Order = Callable[[int], Iterator[str]]
Build = Callable[[Mapping[str, float]], Order]


def make_servers(count: int) -> dict[str, float]:
    """Returns the weights of ``count`` servers by id."""
    return {f"i-{xxh3_64_intdigest(b'%d' % i):016x}": WEIGHT for i in range(count)}


def make_callers(count: int) -> list[int]:
    """Returns the keys of ``count`` callers."""
    return [caller_key(f"t-{i % 97}", "r", str(i)) for i in range(count)]


# --- methods of assignment, each as an order of servers for a caller


def ring_of(nodes: int, probes: int) -> Build:
    """A ring with ``nodes`` virtual nodes for a server of usual weight, and ``probes`` probes per lookup."""
    def build(servers: Mapping[str, float]) -> Order:
        hash_ring = ring.Ring()
        for server, weight in servers.items():
            hash_ring.set_nodes(server, max(1, round(nodes * weight / WEIGHT)))

        def order(caller: int) -> Iterator[str]:
            default, ring.PROBES = ring.PROBES, probes
            try:
                yield from hash_ring.walk(caller)
            finally:
                ring.PROBES = default
        return order
    return build


def rendezvous(servers: Mapping[str, float]) -> Order:
    """Weighted rendezvous hashing: servers by an exponentially distributed score, the smallest first."""
    entries = [(server, server.encode(), weight) for server, weight in servers.items()]

    def order(caller: int) -> Iterator[str]:
        scores = [(-math.log((xxh3_64_intdigest(raw, seed=caller) + 1) / 2.0 ** 64) / weight, server)
                  for server, raw, weight in entries]
        heapq.heapify(scores)
        while scores:
            yield heapq.heappop(scores)[1]
    return order


def jump(servers: Mapping[str, float]) -> Order:
    """Jump hashing: one numbered bucket per unit of weight; each further server is found with another key."""
    buckets = [s for s in sorted(servers) for _ in range(round(servers[s]))]

    def order(caller: int) -> Iterator[str]:
        for attempt in itertools.count():
            key, b, j = xxh3_64_intdigest(b"%d" % caller, seed=attempt), -1, 0
            while j < len(buckets):
                b = j
                key = (key * 2862933555777941757 + 1) & ring.POSITION_MASK
                j = int((b + 1) * ((1 << 31) / ((key >> 33) + 1)))
            yield buckets[b]
    return order


def maglev(servers: Mapping[str, float]) -> Order:
    """Maglev hashing: a table of 65,537 entries that servers fill in turn, each in its own permutation."""
    size = 65_537
    table: list[str | None] = [None] * size
    names = sorted(servers)
    offset = {s: xxh3_64_intdigest(s.encode(), seed=1) % size for s in names}
    skip = {s: xxh3_64_intdigest(s.encode(), seed=2) % (size - 1) + 1 for s in names}
    credit, filled, max_weight = dict.fromkeys(names, 0.0), 0, max(servers.values())
    while filled < size:
        for name in names:
            credit[name] += servers[name] / max_weight
            if credit[name] < 1.0:
                continue
            credit[name] -= 1.0
            while table[offset[name]] is not None:
                offset[name] = (offset[name] + skip[name]) % size
            table[offset[name]] = name
            filled += 1
            if filled == size:
                break

    def order(caller: int) -> Iterator[str]:
        index = caller % size
        while True:
            server = table[index]
            assert server is not None
            yield server
            index = (index + 1) % size
    return order


METHODS: dict[str, Build] = {
    "ring, 64 nodes": ring_of(64, 1),
    "ring, 192 nodes": ring_of(192, 1),
    "ring, 64 nodes, 2 probes": ring_of(64, 2),
    "ring, 64 nodes, 3 probes": ring_of(64, 3),
    "multi-probe, 1 node, 21 probes": ring_of(1, 21),
    "weighted rendezvous": rendezvous,
    "jump": jump,
    "Maglev, 65,537 entries": maglev,
}


def choose_bounded(order: Order, servers: Mapping[str, float], callers: list[int], load: dict[str, int],
                   assigned: dict[int, str]) -> int:
    """Lets each caller choose again under load bounds, after the end of its last request.

    Updates ``load`` and ``assigned``, and returns the number of callers that moved.
    """
    callers_per_weight, moved = len(callers) / sum(servers.values()), 0
    for caller in callers:
        old = assigned.get(caller)
        if old is not None:
            load[old] -= 1
        for server in itertools.islice(order(caller), 2_000):
            fair_share = callers_per_weight * servers[server]
            if load[server] < max(1.25 * fair_share - 1.0, fair_share):
                break
        moved += server != old
        assigned[caller] = server
        load[server] += 1
    return moved


def measure_method(name: str, build: Build, number: int, callers: list[int]) -> str:
    """Measures one method with ``number`` servers; returns a line on its speed, balance and callers moved.

    The changes are a server that leaves, with and without load bounds, and 10% more weight for a server.
    """
    servers = make_servers(number)
    started = time.perf_counter()
    order = build(servers)
    build_s = time.perf_counter() - started
    started = time.perf_counter()
    first = {c: next(order(c)) for c in callers}
    lookup_s = (time.perf_counter() - started) / len(callers)
    callers_by_server = dict.fromkeys(servers, 0)
    for server in first.values():
        callers_by_server[server] += 1
    leaver = sorted(servers)[number // 2]
    fewer = build({s: w for s, w in servers.items() if s != leaver})
    leave = sum(next(fewer(c)) != s for c, s in first.items()) / max(1, callers_by_server[leaver])
    heavier = build({**servers, leaver: WEIGHT * 1.1})
    least_moved = 0.1 * len(callers) / number
    weight = sum(next(heavier(c)) != s for c, s in first.items()) / least_moved
    load, assigned = dict.fromkeys(servers, 0), dict[int, str]()
    for _ in range(2):
        choose_bounded(order, servers, callers, load, assigned)
    not_first = sum(assigned[c] != first[c] for c in callers) / len(callers)
    remaining = {s: w for s, w in servers.items() if s != leaver}
    leaver_load = load[leaver]
    bounded = choose_bounded(fewer, remaining, callers, load, assigned) / max(1, leaver_load)
    deviation = statistics.pstdev(callers_by_server.values()) * number / len(callers)
    return (f"{name:31} {lookup_s * 1e6:8.2f} us  made {build_s * 1e3:7.1f} ms  deviation {deviation:.3f}  "
            f"busiest {max(callers_by_server.values()) * number / len(callers):.2f}  "
            f"moved/least: leave {leave:6.2f}, +10% weight {weight:6.2f}, under bounds {bounded:6.2f}  "
            f"beside the first {not_first:.3f}")


# --- the method in use


def memory_mb() -> float:
    """Returns the resident memory of this process in MB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def choose_all(assignment: Assignment, load: dict[str, float], assigned: dict[int, str],
               callers: list[int]) -> int:
    """Lets each caller choose again, after the end of its last request; returns how many callers moved."""
    moved, get = 0, load.__getitem__
    for caller in callers:
        old = assigned.get(caller)
        if old in load:
            load[old] -= 1.0
        server = assignment.choose(caller, get)
        assert server is not None
        if server != old:
            moved += 1
            assigned[caller] = server
        load[server] += 1.0
    return moved


def measure_size(number: int, count: int, failures: list[str]) -> str:
    """Measures ``number`` servers and ``count`` callers; returns a line and appends to ``failures``.

    The busiest servers, one in 300 and at least one, leave and later return.
    """
    servers, callers, memory_before = make_servers(number), make_callers(count), memory_mb()
    assignment, started = Assignment(), time.perf_counter()
    assignment.set_servers(0.0, servers)
    build_s, used_mb = time.perf_counter() - started, memory_mb() - memory_before
    load, assigned = dict.fromkeys(servers, 0.0), dict[int, str]()
    choose_all(assignment, load, assigned, callers)
    for _ in range(MAX_SETTLE_ROUNDS):
        if not choose_all(assignment, load, assigned, callers):
            break
    busiest = max(load.values()) * number / count
    first = {c: assignment.rank(c, 1)[0] for c in callers}
    leavers = set(sorted(servers, key=lambda s: -load[s])[:1 + number // 300])
    remaining = {s: w for s, w in servers.items() if s not in leavers}
    leaver_load, started = sum(load[s] for s in leavers), time.perf_counter()
    assignment.set_servers(CHANGE_INTERVAL_MS, remaining)
    leave_s = (time.perf_counter() - started) / len(leavers)
    least_moved = sum(s in leavers for s in first.values())
    first_moved = sum(assignment.rank(c, 1)[0] != s for c, s in first.items()) / max(1, least_moved)
    leave = (choose_all(assignment, load, assigned, callers), leaver_load)
    for _ in range(MAX_SETTLE_ROUNDS):
        if not choose_all(assignment, load, assigned, callers):
            break
    assignment.set_servers(3 * CHANGE_INTERVAL_MS, servers)
    moved_back = choose_all(assignment, load, assigned, callers)
    join = (moved_back, sum(load[s] for s in leavers))
    started = time.perf_counter()
    for caller in callers:
        assignment.choose(caller, load.__getitem__)
    choice_us = (time.perf_counter() - started) / count * 1e6
    size = f"{number:,} servers, {count:,} callers"
    moved = (leave[0] + join[0]) / max(1.0, leave[1] + join[1])
    if max(first_moved, moved) > MAX_MOVED and leave[1] + join[1] > 0:
        failures.append(f"moved {max(first_moved, moved):.3f} of the least at {size}")
    if busiest > MAX_BUSIEST and count >= MIN_CALLERS_PER_SERVER * number:
        failures.append(f"busiest {busiest:.3f} at {size}")
    if choice_us > MAX_CHOICE_US and number == 1_000:
        failures.append(f"a choice {choice_us:.1f} us at {size}")
    return (f"{size:32} moved/least: firsts {first_moved:.3f}, under bounds {moved:.3f} (leave {leave[0]} of "
            f"{leave[1]:.0f}, join {join[0]} of {join[1]:.0f})  busiest {busiest:.3f}  beside the first "
            f"{sum(assigned[c] != first[c] for c in callers) / count:.4f}  choice {choice_us:.2f} us  "
            f"made {build_s * 1e3:.0f} ms, a leave {leave_s * 1e3:.1f} ms  {used_mb:.1f} MB")


def measure_in_flight(number: int, used: float, floor: float, steps: int, failures: list[str]) -> str:
    """Measures random requests in flight that keep the fraction ``used`` of the slots in use.

    ``floor`` is the load per slot up to which a server is never full.  Returns a line and appends to
    ``failures``.
    """
    servers, callers, rng = make_servers(number), make_callers(20_000), random.Random(17)
    assignment = Assignment(min_bound_per_weight=floor)
    assignment.set_servers(0.0, servers)
    load = dict.fromkeys(servers, 0.0)
    for caller in callers:     # a caller's first choice after a change of servers costs more
        assignment.choose(caller, load.__getitem__)
    get = load.__getitem__
    in_flight: list[str] = []
    total, not_first, max_load, choice_s = dict.fromkeys(servers, 0.0), 0, 0.0, 0.0
    target = int(used * WEIGHT * number)
    for step in range(target + 2 * steps):
        if step >= target:
            i = rng.randrange(target)
            load[in_flight[i]] -= 1.0
            in_flight[i] = in_flight[-1]
            in_flight.pop()
        caller = rng.choice(callers)
        started = time.perf_counter()
        server = assignment.choose(caller, get)
        choice_s += time.perf_counter() - started
        assert server is not None
        load[server] += 1.0
        in_flight.append(server)
        if step >= target + steps:
            not_first += server != assignment.rank(caller, 1)[0]
            if step % 250 == 0:
                max_load = max(max_load, max(load.values()))
                for name, current in load.items():
                    total[name] += current
    busiest = max(total.values()) * number / sum(total.values())
    choice_us = choice_s / (target + 2 * steps) * 1e6
    if busiest > MAX_BUSIEST and used == LOAD and not floor:     # a floor permits a higher load by design
        failures.append(f"busiest {busiest:.3f} with requests in hand")
    if choice_us > MAX_CHOICE_US:
        failures.append(f"a choice {choice_us:.1f} us with requests in hand, {used:.0%} in use, "
                        f"floor {floor}")
    return (f"{number:,} servers of 4 slots, {used:.0%} in use, floor {floor}: busiest over time "
            f"{busiest:.3f}, most at once {max_load:.0f} of a mean of {target / number:.1f}; "
            f"beside the first {not_first / steps:.3f}; choice {choice_us:.2f} us")


def measure_selector(number: int, count: int) -> str:
    """Measures the selection by expected time, without callers; returns a line."""
    states = [ServerState(s, "s", "127.0.0.1:1", "z", int(WEIGHT)) for s in make_servers(number)]
    selector, rng = ServerSelector("z", {"z": "r"}, 5), random.Random(5)
    selector.update(states)
    for state in states:
        state.in_flight = rng.choice([2, 3, 3, 3, 3])
    started, chosen = time.perf_counter(), dict[int, str]()
    for caller in range(count):
        server = selector.pick(0.0, "s", "r", 600.0)
        assert server is not None
        chosen[caller] = server.id
    choice_s = (time.perf_counter() - started) / count
    selector.update(states[1:])
    moved = 0
    for old in chosen.values():
        server = selector.pick(0.0, "s", "r", 600.0)
        moved += server is not None and server.id != old
    return (f"before, {number:,} servers, {count:,} callers: {moved / count:.3f} of all moved when one left "
            f"(least {1 / number:.4f}); choice {choice_s * 1e6:.0f} us")


def main() -> None:
    """Runs the benchmark and prints it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer callers and steps, under 40 s")
    quick = parser.parse_args().quick
    failures: list[str] = []
    number, callers = 100, make_callers(5_000 if quick else 20_000)
    print(f"ways, {number} servers, {len(callers):,} callers")
    for name, build in METHODS.items():
        print(measure_method(name, build, number, callers), flush=True)
    print("in use: ring, 64 nodes for 4 slots, 2 probes, bound 1.25")
    for servers, count in ((12, 8), (12, 32), (12, 57_000), (1_000, 57_000), (34_000, 57_000)):
        print(measure_size(servers, count, failures), flush=True)
    for used, floor in ((LOAD, 0.0), (LOAD, 1.0), (0.5, 1.0), (0.3, 0.0), (0.3, 1.0)):
        print(measure_in_flight(1_000, used, floor, 40_000 if quick else 300_000, failures), flush=True)
    print(measure_selector(12, 300))
    print(measure_selector(1_000, 300 if quick else 1_500))
    print("not met: " + "; ".join(failures) if failures else "only what it held")


if __name__ == "__main__":
    main()
