"""A tenant whose name ends with a blank gets no answers; in the end no tenant is served any more."""

import asyncio
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

import rig2  # noqa: E402

NEW_TENANT = "Astillero Manta " if rig2.TROUBLE else "Astillero Manta"
APPLY_S = 2.5  # applyMs
OLD_PER_S, NEW_PER_S, SECONDS, AFTER_S = 20.0, 100.0, 25.0, 10.0
TRIES = 3  # "Clients try again a few times inside their deadline"
CONFIGURATION = {
    "version": 3,
    "services": [{"name": "desk", "probe": "/health", "saturation": 130, "protocol": "h1", "tls": False}],
    "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerMs": 3000, "idleMs": 15000},
    "tenants": [{"name": "yard", "keys": ["key-of-yard"], "precedence": 1, "ratePerS": 0, "burst": 0}],
    "hosts": [{"host": rig2.HOST, "paths": [
        {"name": "peek", "prefix": "/peek/", "routeType": "safe", "timeoutMs": 2000, "setpointMs": 600,
         "precedence": 2, "target": "desk", "tries": 2, "unkeyed": False}]}]}
AMENDMENT = {"version": 5, "upsert": {"tenants": [
    {"name": NEW_TENANT, "keys": ["key-of-astillero"], "precedence": 1, "ratePerS": 0, "burst": 0}]}}


class Tenant:
    """The clients of one tenant, which send repeatable requests and try again after a failure."""

    def __init__(self, rig, key, first):
        self.rig, self.key, self.number = rig, key, first
        self.tries, self.log = {}, []  # tries by result; (time, whether it was served) of each request

    async def request(self, number):
        """Sends one request, and again to the next limiter, on a new connection, if it fails."""
        deadline, served = time.monotonic() + 1.5, False
        for n in range(TRIES):
            limiter, attempt = (number + n) % rig2.LIMITERS, f"{number:012x}{n:04x}"
            left = deadline - time.monotonic()
            if left < 0.05:
                break
            headers = {}
            try:
                result, headers, _ = await rig2.call(
                    (self.rig.ip(limiter), self.rig.edge), "GET", f"/peek/{number}",
                    {"Host": rig2.HOST, "X-Attempt-Id": attempt, "X-Time-Left": f"{left * 1000:.0f}",
                     "Authorization": f"Bearer {self.key}"}, timeout=left)
            except TimeoutError:
                result = "silence"
            except OSError:
                result = "closed without an answer"
            self.rig.record(f"client with {self.key}: {attempt} at limiter {limiter}: {result}")
            self.tries[result] = self.tries.get(result, 0) + 1
            if result == 200:
                served = True
                break
            await asyncio.sleep(min(float(headers.get("retry-after", 0.02)), left / 3.0))
        self.log.append((time.monotonic(), served))

    async def stream(self, per_s, seconds):
        """Sends requests at an even pace."""
        start, tasks = time.monotonic(), []
        for n in range(int(per_s * seconds)):
            await asyncio.sleep(max(0.0, start + n / per_s - time.monotonic()))
            self.number += 1
            tasks.append(asyncio.create_task(self.request(self.number)))
        await asyncio.gather(*tasks)

    def share(self, since=0.0):
        """Returns how many requests that ended after `since` were served, and how many ended."""
        ended = [served for at, served in self.log if at >= since]
        return sum(ended), len(ended)


async def case(rig):
    """Adds a tenant, and lets its clients and those of another tenant send requests."""
    await rig.start_all(CONFIGURATION, [rig2.Server(rig, n, "desk") for n in range(6)])
    old, new = Tenant(rig, "key-of-yard", 0), Tenant(rig, "key-of-astillero", 1 << 20)
    await old.stream(OLD_PER_S, 3.0)
    status, _ = await rig.order("amend", 3, AMENDMENT, 5.0)
    rig.record(f"the configuration that adds the tenant {NEW_TENANT!r} got {status}", show=True)
    if status != 200:
        raise rig2.UnrunnableError("the configuration was not taken")
    await asyncio.sleep(2.0 * APPLY_S)
    await asyncio.gather(old.stream(OLD_PER_S, SECONDS), new.stream(NEW_PER_S, SECONDS))
    rig.record(f"tries of the new tenant: {new.tries}", show=True)
    after = time.monotonic() + 1.0
    await old.stream(OLD_PER_S, AFTER_S)
    rig.record(f"requests of the tenant yard served in the last {AFTER_S - 1.0:g} s, when only it sends any: "
               "{} of {}".format(*old.share(after)), show=True)
    ready = [await rig.ready(i) for i in range(rig2.LIMITERS)]
    rig.record(f"ready, as the platform sees it: {ready}", show=True)
    (new_served, new_count), (old_served, old_count) = new.share(), old.share()
    all_share = (new_served + old_served) / (new_count + old_count)
    rig.record(f"served in the whole day: new tenant {new_served} of {new_count}, yard {old_served} of "
               f"{old_count}, share of all {all_share:.3f}", show=True)
    return new_served / new_count >= all_share / 4.0


rig2.main(Path(__file__).resolve().parent, case)
