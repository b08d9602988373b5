"""A billing receiver for CloudEvents batches over HTTP that deduplicates by event id and injects faults."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Any

from tests.standins import free_port, http


class Receiver:
    """Handles each delivery by the next entry of ``behaviours``, and accepts all deliveries after the last.

    ``break``: stored, and the connection is closed without an answer; ``500``: stored, answered with 500;
    ``late``: stored, answered after ``late_s``; ``reset``: the connection is reset within the body; ``old``:
    not stored, answered with the previous acknowledgement; ``refuse``: answered with 503, not stored.
    """

    def __init__(self, behaviours: Iterable[str] = ()) -> None:
        self.port = free_port()
        self.behaviours: Iterator[str] = iter(behaviours)
        self.late_s = 1.0
        self.events: dict[str, dict[str, Any]] = {}
        self.batches: dict[str, bytes] = {}
        self.differing: list[str] = []        # batches delivered again with a different body
        self.deliveries = 0
        self.last_ack = b""
        self.server: asyncio.Server | None = None

    @property
    def url(self) -> str:
        """The URL that takes deliveries."""
        return f"http://127.0.0.1:{self.port}/use"

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 24)

    async def stop(self) -> None:
        """Stops listening."""
        assert self.server is not None
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:])}
            self.deliveries += 1
            behaviour = next(self.behaviours, "ok")
            if behaviour == "reset":
                await reader.readexactly(10)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                           struct.pack("ii", 1, 0))
                writer.transport.abort()
                return
            body = await reader.readexactly(int(headers["content-length"]))
            name = headers["larklb-batch"]
            if behaviour not in ("old", "refuse"):
                self._store(name, headers, body)
            await self._answer(writer, behaviour, name)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, behaviour: str, name: str) -> None:
        ack = http(202, b"", f"Larklb-Batch: {name}")
        if behaviour == "late":
            await asyncio.sleep(self.late_s)
        answer = {"break": b"", "500": http(500, b"no"), "refuse": http(503, b"no"),
                  "old": self.last_ack or http(202, b"", "Larklb-Batch: n9-1-1")}.get(behaviour, ack)
        self.last_ack = ack if behaviour in ("ok", "late") else self.last_ack
        writer.write(answer)
        await writer.drain()

    def _store(self, name: str, headers: dict[str, str], body: bytes) -> None:
        assert headers["content-type"] == "application/cloudevents-batch+json"
        if self.batches.setdefault(name, body) != body:
            self.differing.append(name)
        for event in json.loads(body):
            assert event["specversion"] == "1.0" and event["type"] and event["source"] and event["id"]
            self.events.setdefault(event["id"], event)

    def tries(self) -> int:
        """Returns the sum of the tries over all events."""
        return sum(e["data"]["tries"] for e in self.events.values())

    def units(self) -> float:
        """Returns the sum of the units over all events."""
        return sum(float(e["data"]["units"]) for e in self.events.values())
