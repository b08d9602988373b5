"""Brings sealed batches to where use is billed: a receiver over HTTP, or a folder.

A batch goes out, byte for byte the same and under the same ids, until it is acknowledged; a receiver that
counts by event id so counts each once.  An acknowledgement is a 2xx answer, whole, to this very batch:
each batch has a connection of its own, and an answer that names another batch in ``Larklb-Batch`` is not
its answer.
"""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

import h11

from larklb.counters import Counters
from larklb.export import tally as t
from larklb.export.ledger import Ledger
from larklb.net.http import TooLongError, dial
from larklb.state.folder import write_file_atomically

log = logging.getLogger(__name__)

PATIENCE_S = 10.0          # for one delivery, from the dial to the last byte of its answer
RETRY_FIRST_S = 0.5        # before the second try; doubled with each more, up to the operator's bound ...
SPREAD = 0.5               # ... and shortened by up to this part at random: exporters do not come together
BATCH_HEADER = b"larklb-batch"


class DeliveryError(Exception):
    """The batch was not acknowledged; the text says why."""


class Receiver(NamedTuple):
    """Where batches are posted."""

    host: str
    port: int
    target: str
    tls: ssl.SSLContext | None


def receiver(url: str, ca: str = "") -> Receiver:
    """Of an http or https URL; ``ca`` is a file of certificates to trust instead of the system's."""
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname or parts.username or parts.fragment:
        raise ValueError(f"{url!r} is no http or https address")
    tls = ssl.create_default_context(cafile=ca or None) if parts.scheme == "https" else None
    target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    return Receiver(parts.hostname, parts.port or (443 if tls else 80), target, tls)


async def post(to: Receiver, name: str, data: bytes, step: Callable[[str], object] = bool) -> None:
    """One delivery; DeliveryError unless it was acknowledged."""
    link = None
    try:
        async with asyncio.timeout(PATIENCE_S):
            link = await dial(to.host, to.port, to.tls)
            link.write(h11.Request(method="POST", target=to.target, headers=[
                (b"Host", f"{to.host}:{to.port}".encode()), (b"Content-Type", t.CONTENT_TYPE),
                (BATCH_HEADER, name.encode()), (b"Content-Length", b"%d" % len(data)),
                (b"Connection", b"close")]), data)
            step("sending")
            await link.writer.drain()
            step("sent")
            got = await link.read()
    except TimeoutError as error:
        raise DeliveryError(f"no answer within {PATIENCE_S:g} s") from error
    except (OSError, h11.RemoteProtocolError, TooLongError) as error:
        raise DeliveryError(str(error) or type(error).__name__) from error
    finally:
        if link is not None:
            link.abort()
    if got is None:
        raise DeliveryError("the connection ended before the answer")
    head = got[0]
    if not 200 <= head.status_code < 300:
        raise DeliveryError(f"answered with {head.status_code}")
    named = dict(head.headers).get(BATCH_HEADER, name.encode())
    if named != name.encode():
        raise DeliveryError(f"the answer is that of batch {named.decode('ascii', 'replace')}")


def into_folder(folder: Path, name: str, data: bytes, step: Callable[[str], object] = bool) -> None:
    """The same events as a file; written again it is the same file."""
    folder.mkdir(parents=True, exist_ok=True)
    write_file_atomically(folder / f"{name}.json", data, step, 0o644)


class Exporter:
    """One for a ledger: the folder's lock sees to it that there are no two."""

    def __init__(self, ledger: Ledger, counters: Counters, to: Receiver | Path, max_wait_s: float = 60.0,
                 seed: int = 0) -> None:
        self.ledger, self.counters, self.to, self.max_wait_s = ledger, counters, to, max_wait_s
        self.random = random.Random(seed)
        self.failures, self.last_error = 0, ""

    async def one(self, batch: t.Batch) -> None:
        """Delivers a batch and drops it; DeliveryError leaves it as it is."""
        name = t.batch_id(self.ledger.instance, batch)
        try:
            data = await asyncio.to_thread(self.ledger.file(batch).read_bytes)
            if isinstance(self.to, Path):
                await asyncio.to_thread(into_folder, self.to, name, data, self.ledger.step)
            else:
                await post(self.to, name, data, self.ledger.step)
        except OSError as error:
            raise DeliveryError(f"{error.filename}: {error.strerror}") from error
        await self.ledger.acknowledged(batch)
        self.counters.add("exported.batches")

    async def all(self) -> int:
        """All that is ready now, the oldest first; stops with DeliveryError at the first that does not go."""
        done = 0
        for batch in self.ledger.ready():
            await self.one(batch)
            done += 1
        return done

    def pause(self) -> float:
        """Seconds before the next try."""
        most = min(self.max_wait_s, RETRY_FIRST_S * 2.0 ** min(self.failures - 1, 20))
        return most * (1.0 - SPREAD * self.random.random())

    async def run(self, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep) -> None:
        """Until it is cancelled."""
        while True:
            self.ledger.changed.clear()
            try:
                await self.all()
                if self.failures:
                    log.info("use is taken again after %d tries in vain", self.failures)
                self.failures, self.last_error = 0, ""
                await self.ledger.changed.wait()
            except Exception as error:
                # Whatever it is, the batch is still there and goes out again.
                if not isinstance(error, DeliveryError):
                    log.exception("the export failed")
                self.counters.add("errors.export")
                if not self.failures:
                    log.warning("use could not be delivered, and is kept: %s", error)
                self.failures, self.last_error = self.failures + 1, str(error)
                await sleep(self.pause())
