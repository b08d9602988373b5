"""Requests on a route that an acknowledged configuration has added are closed without an answer."""

import asyncio
import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

import rig2  # noqa: E402

rig2.LIMITERS = 6  # two in each zone
APPLY_S = 2.5  # applyMs
REQUESTS = 60  # on the first route, and as many on the added one
SETPOINT_MS = 0 if rig2.TROUBLE else 600
SERVICES = [{"name": name, "probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}
            for name in ("desk", "stock")]
FIRST = {"name": "commit", "prefix": "/commit/", "routeType": "safe", "timeoutMs": 2000, "setpointMs": 800,
         "precedence": 1, "target": "desk", "tries": 1, "unkeyed": False}
ADDED = {"name": "peek", "prefix": "/peek/", "routeType": "safe", "timeoutMs": 2000,
         "setpointMs": SETPOINT_MS, "precedence": 2, "target": "stock", "tries": 1, "unkeyed": False}
CONFIGURATION = {
    "version": 3, "services": SERVICES[:1],
    "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerMs": 3000, "idleMs": 15000},
    "hosts": [{"host": rig2.HOST, "paths": [FIRST]}]}
AMENDMENT = {"version": 5, "upsert": {
    "services": SERVICES[1:], "hosts": [{"host": rig2.HOST, "paths": [ADDED]}]}}


async def request(rig, number, prefix, results):
    """Sends one request to one limiter, on a connection of its own."""
    limiter, attempt = number % rig2.LIMITERS, f"{number:015x}{len(prefix):x}"
    try:
        result, headers, _ = await rig2.call(
            (rig.ip(limiter), rig.edge), "GET", f"{prefix}{number}",
            {"Host": rig2.HOST, "X-Attempt-Id": attempt, "X-Time-Left": "1500"}, timeout=1.6)
        if result == 200 and headers.get("x-attempt-id") != attempt:
            result = "foreign"
    except TimeoutError:
        result = "silence"
    except OSError as error:
        result = f"closed: {error}"
    rig.record(f"client: {attempt} ({prefix}) at limiter {limiter}: {result}")
    results.setdefault(prefix, []).append((limiter, result))


async def case(rig):
    """Adds a route whose setpointMs is 0, and sends requests on it and on the first route in a calm time."""
    servers = [rig2.Server(rig, n, name) for n, name in enumerate(("desk", "desk", "stock", "stock"))]
    await rig.start_all(CONFIGURATION, servers)
    results = {}
    for n in range(rig2.LIMITERS):
        await request(rig, n, "/commit/", {})
    status, _ = await rig.order("amend", 3, AMENDMENT, 5.0)
    rig.record(f"the configuration that adds the route with setpointMs {SETPOINT_MS} got {status}", show=True)
    if status != 200:
        raise rig2.UnrunnableError("the configuration was not taken")
    await asyncio.sleep(2.0 * APPLY_S)
    for n in range(REQUESTS):
        await request(rig, 1000 + n, "/commit/", results)
        await request(rig, 2000 + n, "/peek/", results)
        await asyncio.sleep(0.05)
    served = {}
    for prefix, pairs in results.items():
        counts = {}
        for _, result in pairs:
            counts[result] = counts.get(result, 0) + 1
        served[prefix] = counts.get(200, 0)
        rig.record(f"{len(pairs)} requests on {prefix}: {counts}", show=True)
    by_limiter = [sum(r == 200 for i, r in results["/peek/"] if i == k) for k in range(rig2.LIMITERS)]
    rig.record(f"served on the added route, by limiter: {by_limiter}; ready: "
               f"{[await rig.ready(i) for i in range(rig2.LIMITERS)]}", show=True)
    return served["/peek/"] >= served["/commit/"] / 4.0


rig2.main(Path(__file__).resolve().parent, case)
