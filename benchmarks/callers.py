"""Callers and their servers: what moves when servers come or go, the busiest, the time of a choice, memory.

``python benchmarks/callers.py [--quick]``: seeded, no sockets.  The last line is ``only what it held``, or
what was not.  Ways of consistent hashing are set beside each other first, then the one in use is
taken to 34,000 servers, and the choice as it was before stands beside it.
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

MOVED_MOST = 1.05          # callers moved, against the least possible
BUSIEST_MOST = 1.25        # load of the busiest server against the mean
CHOICE_US = 5.0            # of a choice at 1,000 servers
FEW = 4.0                  # callers a server in the mean below which whole numbers alone break BUSIEST_MOST
WEIGHT = 4.0               # of a server: its slots
QUIET_MS = 1e7             # between changes, so that nobody flaps
LOAD = 0.7                 # of all slots in use
MAX_TAKEOVER_CLAIMS = 6                 # in which callers find their servers under bounds before a change

Order = Callable[[int], Iterator[str]]
Build = Callable[[Mapping[str, float]], Order]


def fleet(number: int) -> dict[str, float]:
    """Servers with their weights."""
    return {f"i-{xxh3_64_intdigest(b'%d' % i):016x}": WEIGHT for i in range(number)}


def crowd(number: int) -> list[int]:
    """Callers."""
    return [caller_key(f"t-{i % 97}", "r", str(i)) for i in range(number)]


# --- ways to assign, each as an order of servers for a caller


def ring_of(nodes: int, probes: int) -> Build:
    """A ring with so many virtual nodes for a usual server, looked up on with so many probes."""
    def build(servers: Mapping[str, float]) -> Order:
        made = ring.Ring()
        for server, weight in servers.items():
            made.set_nodes(server, max(1, round(nodes * weight / WEIGHT)))

        def order(caller: int) -> Iterator[str]:
            was, ring.PROBES = ring.PROBES, probes
            try:
                yield from made.walk(caller)
            finally:
                ring.PROBES = was
        return order
    return build


def rendezvous(servers: Mapping[str, float]) -> Order:
    """Weighted rendezvous: the least of exponential times."""
    heads = [(server, server.encode(), weight) for server, weight in servers.items()]

    def order(caller: int) -> Iterator[str]:
        times = [(-math.log((xxh3_64_intdigest(raw, seed=caller) + 1) / 2.0 ** 64) / weight, server)
                 for server, raw, weight in heads]
        heapq.heapify(times)
        while times:
            yield heapq.heappop(times)[1]
    return order


def jump(servers: Mapping[str, float]) -> Order:
    """Jump: buckets by number, as many for a server as it has weight; again with another key for the next."""
    buckets = [s for s in sorted(servers) for _ in range(round(servers[s]))]

    def order(caller: int) -> Iterator[str]:
        for again in itertools.count():
            key, b, j = xxh3_64_intdigest(b"%d" % caller, seed=again), -1, 0
            while j < len(buckets):
                b = j
                key = (key * 2862933555777941757 + 1) & ring.POSITION_MASK
                j = int((b + 1) * ((1 << 31) / ((key >> 33) + 1)))
            yield buckets[b]
    return order


def maglev(servers: Mapping[str, float]) -> Order:
    """Maglev: a table of 65,537 entries, filled in turn, each server by its own permutation."""
    size = 65_537
    table: list[str | None] = [None] * size
    names = sorted(servers)
    offset = {s: xxh3_64_intdigest(s.encode(), seed=1) % size for s in names}
    skip = {s: xxh3_64_intdigest(s.encode(), seed=2) % (size - 1) + 1 for s in names}
    credit, filled, top = dict.fromkeys(names, 0.0), 0, max(servers.values())
    while filled < size:
        for s in names:
            credit[s] += servers[s] / top
            if credit[s] < 1.0:
                continue
            credit[s] -= 1.0
            while table[offset[s]] is not None:
                offset[s] = (offset[s] + skip[s]) % size
            table[offset[s]] = s
            filled += 1
            if filled == size:
                break

    def order(caller: int) -> Iterator[str]:
        at = caller % size
        while True:
            found = table[at]
            assert found is not None
            yield found
            at = (at + 1) % size
    return order


WAYS: dict[str, Build] = {
    "ring, 64 nodes": ring_of(64, 1),
    "ring, 192 nodes": ring_of(192, 1),
    "ring, 64 nodes, 2 probes": ring_of(64, 2),
    "ring, 64 nodes, 3 probes": ring_of(64, 3),
    "multi-probe, 1 node, 21 probes": ring_of(1, 21),
    "weighted rendezvous": rendezvous,
    "jump": jump,
    "Maglev, 65,537 entries": maglev,
}


def bounded(order: Order, servers: Mapping[str, float], callers: list[int], load: dict[str, int],
            at: dict[int, str]) -> int:
    """Each caller chooses anew under bounds, its last choice over; how many went elsewhere."""
    fair, moved = len(callers) / sum(servers.values()), 0
    for caller in callers:
        old = at.get(caller)
        if old is not None:
            load[old] -= 1
        for server in itertools.islice(order(caller), 2_000):
            part = fair * servers[server]
            if load[server] < max(1.25 * part - 1.0, part):
                break
        moved += server != old
        at[caller] = server
        load[server] += 1
    return moved


def way(name: str, build: Build, number: int, callers: list[int]) -> str:
    """A line on one way: a leave, a join, a tenth more weight, with and without bounds."""
    servers = fleet(number)
    began = time.perf_counter()
    order = build(servers)
    made = time.perf_counter() - began
    began = time.perf_counter()
    first = {c: next(order(c)) for c in callers}
    each = (time.perf_counter() - began) / len(callers)
    held = dict.fromkeys(servers, 0)
    for server in first.values():
        held[server] += 1
    gone = sorted(servers)[number // 2]
    fewer = build({s: w for s, w in servers.items() if s != gone})
    leave = sum(next(fewer(c)) != s for c, s in first.items()) / max(1, held[gone])
    heavier = build({**servers, gone: WEIGHT * 1.1})
    share = 0.1 * len(callers) / number
    weight = sum(next(heavier(c)) != s for c, s in first.items()) / share
    load, at = dict.fromkeys(servers, 0), dict[int, str]()
    for _ in range(2):
        bounded(order, servers, callers, load, at)
    beside = sum(at[c] != first[c] for c in callers) / len(callers)
    left = {s: w for s, w in servers.items() if s != gone}
    had = load[gone]
    bounds = bounded(fewer, left, callers, load, at) / max(1, had)
    spread = statistics.pstdev(held.values()) * number / len(callers)
    return (f"{name:31} {each * 1e6:8.2f} us  made {made * 1e3:7.1f} ms  deviation {spread:.3f}  busiest "
            f"{max(held.values()) * number / len(callers):.2f}  moved/least: leave {leave:6.2f}, +10% weight "
            f"{weight:6.2f}, under bounds {bounds:6.2f}  beside the first {beside:.3f}")


# --- the one in use


def memory() -> float:
    """MB of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def settle(of: Assignment, load: dict[str, float], at: dict[int, str], callers: list[int]) -> int:
    """Each caller's next choice, its last one over; how many went elsewhere."""
    moved, get = 0, load.__getitem__
    for caller in callers:
        old = at.get(caller)
        if old in load:
            load[old] -= 1.0
        server = of.choose(caller, get)
        assert server is not None
        if server != old:
            moved += 1
            at[caller] = server
        load[server] += 1.0
    return moved


def size(number: int, count: int, fails: list[str]) -> str:
    """A line on so many servers and callers: one server in 300 leaves, and all are back later."""
    servers, callers, before = fleet(number), crowd(count), memory()
    of, began = Assignment(), time.perf_counter()
    of.set_servers(0.0, servers)
    made, used = time.perf_counter() - began, memory() - before
    load, at = dict.fromkeys(servers, 0.0), dict[int, str]()
    settle(of, load, at, callers)
    for _ in range(MAX_TAKEOVER_CLAIMS):
        if not settle(of, load, at, callers):
            break
    busiest = max(load.values()) * number / count
    first = {c: of.rank(c, 1)[0] for c in callers}
    gone = set(sorted(servers, key=lambda s: -load[s])[:1 + number // 300])
    fewer = {s: w for s, w in servers.items() if s not in gone}
    had, began = sum(load[s] for s in gone), time.perf_counter()
    of.set_servers(QUIET_MS, fewer)
    left = (time.perf_counter() - began) / len(gone)
    held = sum(s in gone for s in first.values())
    home = sum(of.rank(c, 1)[0] != s for c, s in first.items()) / max(1, held)
    leave = (settle(of, load, at, callers), had)
    for _ in range(MAX_TAKEOVER_CLAIMS):
        if not settle(of, load, at, callers):
            break
    of.set_servers(3 * QUIET_MS, servers)
    joined = settle(of, load, at, callers)
    back = (joined, sum(load[s] for s in gone))
    began = time.perf_counter()
    for caller in callers:
        of.choose(caller, load.__getitem__)
    each = (time.perf_counter() - began) / count * 1e6
    what = f"{number:,} servers, {count:,} callers"
    moved = (leave[0] + back[0]) / max(1.0, leave[1] + back[1])
    if max(home, moved) > MOVED_MOST and leave[1] + back[1] > 0:
        fails.append(f"moved {max(home, moved):.3f} of the least at {what}")
    if busiest > BUSIEST_MOST and count >= FEW * number:
        fails.append(f"busiest {busiest:.3f} at {what}")
    if each > CHOICE_US and number == 1_000:
        fails.append(f"a choice {each:.1f} us at {what}")
    return (f"{what:32} moved/least: firsts {home:.3f}, under bounds {moved:.3f} (leave {leave[0]} of "
            f"{leave[1]:.0f}, join {back[0]} of {back[1]:.0f})  busiest {busiest:.3f}  beside the first "
            f"{sum(at[c] != first[c] for c in callers) / count:.4f}  choice {each:.2f} us  "
            f"made {made * 1e3:.0f} ms, a leave {left * 1e3:.1f} ms  {used:.1f} MB")


def in_hand(number: int, use: float, floor: float, steps: int, fails: list[str]) -> str:
    """A line on requests in hand that end and begin by chance, with part `use` of the slots in use."""
    servers, callers, dice = fleet(number), crowd(20_000), random.Random(17)
    of = Assignment(min_bound_per_weight=floor)
    of.set_servers(0.0, servers)
    load = dict.fromkeys(servers, 0.0)
    for caller in callers:     # a caller's first choice after a change of servers costs more
        of.choose(caller, load.__getitem__)
    get = load.__getitem__
    hand: list[str] = []
    total, beside, most, spent = dict.fromkeys(servers, 0.0), 0, 0.0, 0.0
    wanted = int(use * WEIGHT * number)
    for step in range(wanted + 2 * steps):
        if step >= wanted:
            i = dice.randrange(wanted)
            load[hand[i]] -= 1.0
            hand[i] = hand[-1]
            hand.pop()
        caller = dice.choice(callers)
        began = time.perf_counter()
        server = of.choose(caller, get)
        spent += time.perf_counter() - began
        assert server is not None
        load[server] += 1.0
        hand.append(server)
        if step >= wanted + steps:
            beside += server != of.rank(caller, 1)[0]
            if step % 250 == 0:
                most = max(most, max(load.values()))
                for s, now in load.items():
                    total[s] += now
    busiest = max(total.values()) * number / sum(total.values())
    each = spent / (wanted + 2 * steps) * 1e6
    if busiest > BUSIEST_MOST and use == LOAD and not floor:     # a floor is a choice against this aim
        fails.append(f"busiest {busiest:.3f} with requests in hand")
    if each > CHOICE_US:
        fails.append(f"a choice {each:.1f} us with requests in hand, {use:.0%} in use, floor {floor}")
    return (f"{number:,} servers of 4 slots, {use:.0%} in use, floor {floor}: busiest over time "
            f"{busiest:.3f}, most at once {most:.0f} of a mean of {wanted / number:.1f}; "
            f"beside the first {beside / steps:.3f}; choice {each:.2f} us")


def before(number: int, count: int) -> str:
    """A line on the choice as it was: by expected time, without callers."""
    places = [ServerState(s, "s", "127.0.0.1:1", "z", int(WEIGHT)) for s in fleet(number)]
    choice, dice = ServerSelector("z", {"z": "r"}, 5), random.Random(5)
    choice.update(places)
    for place in places:
        place.in_flight = dice.choice([2, 3, 3, 3, 3])
    began, at = time.perf_counter(), dict[int, str]()
    for caller in range(count):
        found = choice.pick(0.0, "s", "r", 600.0)
        assert found is not None
        at[caller] = found.id
    each = (time.perf_counter() - began) / count
    choice.update(places[1:])
    moved = 0
    for old in at.values():
        found = choice.pick(0.0, "s", "r", 600.0)
        moved += found is not None and found.id != old
    return (f"before, {number:,} servers, {count:,} callers: {moved / count:.3f} of all moved when one left "
            f"(least {1 / number:.4f}); choice {each * 1e6:.0f} us")


def main() -> None:
    """Prints the lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer callers and steps, under 40 s")
    quick = parser.parse_args().quick
    fails: list[str] = []
    number, callers = 100, crowd(5_000 if quick else 20_000)
    print(f"ways, {number} servers, {len(callers):,} callers")
    for name, build in WAYS.items():
        print(way(name, build, number, callers), flush=True)
    print("in use: ring, 64 nodes for 4 slots, 2 probes, bound 1.25")
    for servers, count in ((12, 8), (12, 32), (12, 57_000), (1_000, 57_000), (34_000, 57_000)):
        print(size(servers, count, fails), flush=True)
    for use, floor in ((LOAD, 0.0), (LOAD, 1.0), (0.5, 1.0), (0.3, 0.0), (0.3, 1.0)):
        print(in_hand(1_000, use, floor, 40_000 if quick else 300_000, fails), flush=True)
    print(before(12, 300))
    print(before(1_000, 300 if quick else 1_500))
    print("not met: " + "; ".join(fails) if fails else "only what it held")


if __name__ == "__main__":
    main()
