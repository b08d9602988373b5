"""Delivery of sealed batches to the billing receiver: an HTTP server or a folder.

A batch is sent, byte for byte the same and with the same event ids, until it is acknowledged, so a receiver
that deduplicates by event id counts each event once.  An acknowledgement is a complete 2xx response to this
batch: each batch uses a connection of its own, and a response that names another batch in ``Larklb-Batch`` is
rejected.
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

# For one delivery, from connecting to the last byte of the response.
DELIVERY_TIMEOUT_S = 10.0
# Pause before the first retry; it doubles with each further one, up to the configured maximum.
INITIAL_BACKOFF_S = 0.5
# Each pause is shortened at random by up to this fraction, so that exporters don't retry in step.
JITTER_FRACTION = 0.5
BATCH_HEADER = b"larklb-batch"


class DeliveryError(Exception):
    """The batch was not acknowledged; the message says why."""


class Receiver(NamedTuple):
    """The HTTP endpoint to which batches are posted."""

    host: str
    port: int
    target: str
    tls: ssl.SSLContext | None


def receiver(url: str, ca: str = "") -> Receiver:
    """Parses an http or https URL; raises ValueError if it is invalid, and OSError if ``ca`` is unreadable.

    ``ca`` is a file of certificates to trust instead of the system's.
    """
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname or parts.username or parts.fragment:
        raise ValueError(f"{url!r} is no http or https address")
    tls = ssl.create_default_context(cafile=ca or None) if parts.scheme == "https" else None
    target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    return Receiver(parts.hostname, parts.port or (443 if tls else 80), target, tls)


async def post(to: Receiver, name: str, data: bytes, step: Callable[[str], object] = bool) -> None:
    """Posts one batch; raises DeliveryError unless it is acknowledged."""
    link = None
    try:
        async with asyncio.timeout(DELIVERY_TIMEOUT_S):
            link = await dial(to.host, to.port, to.tls)
            link.write(h11.Request(method="POST", target=to.target, headers=[
                (b"Host", f"{to.host}:{to.port}".encode()), (b"Content-Type", t.CONTENT_TYPE),
                (BATCH_HEADER, name.encode()), (b"Content-Length", b"%d" % len(data)),
                (b"Connection", b"close")]), data)
            step("sending")
            await link.writer.drain()
            step("sent")
            answer = await link.read()
    except TimeoutError as error:
        raise DeliveryError(f"no answer within {DELIVERY_TIMEOUT_S:g} s") from error
    except (OSError, h11.RemoteProtocolError, TooLongError) as error:
        raise DeliveryError(str(error) or type(error).__name__) from error
    finally:
        if link is not None:
            link.abort()
    if answer is None:
        raise DeliveryError("the connection ended before the answer")
    head = answer[0]
    if not 200 <= head.status_code < 300:
        raise DeliveryError(f"answered with {head.status_code}")
    answered_batch = dict(head.headers).get(BATCH_HEADER, name.encode())
    if answered_batch != name.encode():
        raise DeliveryError(f"the answer is that of batch {answered_batch.decode('ascii', 'replace')}")


def write_to_folder(folder: Path, name: str, data: bytes, step: Callable[[str], object] = bool) -> None:
    """Writes a batch as a file; repeating it gives the same file.  Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    write_file_atomically(folder / f"{name}.json", data, step, 0o644)


class Exporter:
    """Delivers the batches of one ledger; the lock on the ledger's folder prevents a second exporter."""

    def __init__(self, ledger: Ledger, counters: Counters, to: Receiver | Path, max_wait_s: float = 60.0,
                 seed: int = 0) -> None:
        self.ledger, self.counters, self.to, self.max_wait_s = ledger, counters, to, max_wait_s
        self.random = random.Random(seed)
        self.failures, self.last_error = 0, ""

    async def one(self, batch: t.Batch) -> None:
        """Delivers a batch and removes it; the batch is unchanged if this raises DeliveryError."""
        name = t.batch_id(self.ledger.instance, batch)
        try:
            data = await asyncio.to_thread(self.ledger.file(batch).read_bytes)
            if isinstance(self.to, Path):
                await asyncio.to_thread(write_to_folder, self.to, name, data, self.ledger.step)
            else:
                await post(self.to, name, data, self.ledger.step)
        except OSError as error:
            raise DeliveryError(f"{error.filename}: {error.strerror}") from error
        await self.ledger.mark_acknowledged(batch)
        self.counters.add("exported.batches")

    async def all(self) -> int:
        """Delivers all sealed batches, oldest first, and returns how many; DeliveryError ends it early."""
        done = 0
        for batch in self.ledger.ready():
            await self.one(batch)
            done += 1
        return done

    def pause(self) -> float:
        """Returns the seconds to wait before the next attempt."""
        max_pause_s = min(self.max_wait_s, INITIAL_BACKOFF_S * 2.0 ** min(self.failures - 1, 20))
        return max_pause_s * (1.0 - JITTER_FRACTION * self.random.random())

    async def run(self, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep) -> None:
        """Delivers batches as they are sealed, until it is cancelled."""
        while True:
            self.ledger.batch_sealed.clear()
            try:
                await self.all()
                if self.failures:
                    log.info("the receiver accepts batches again after %d failed attempts", self.failures)
                self.failures, self.last_error = 0, ""
                await self.ledger.batch_sealed.wait()
            except Exception as error:
                # Whatever the error, the batch is still stored and is sent again.
                if not isinstance(error, DeliveryError):
                    log.exception("the export failed")
                self.counters.add("errors.export")
                if not self.failures:
                    log.warning("use could not be delivered, and is kept: %s", error)
                self.failures, self.last_error = self.failures + 1, str(error)
                await sleep(self.pause())
