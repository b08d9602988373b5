"""A billing receiver: takes CloudEvents batches over HTTP, counts by event id, and misbehaves as told."""

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
    """Each delivery goes by the next word of ``moods``, then all are taken.

    ``break``: stored, and the connection closed without an answer; ``500``: stored, and an error;
    ``late``: stored, and answered after ``late_s``; ``reset``: reset in the middle of the body; ``old``:
    not stored, and answered with the former delivery's answer; ``refuse``: 503, not stored.
    """

    def __init__(self, moods: Iterable[str] = ()) -> None:
        self.port = free_port()
        self.moods: Iterator[str] = iter(moods)
        self.late_s = 1.0
        self.events: dict[str, dict[str, Any]] = {}
        self.batches: dict[str, bytes] = {}
        self.differing: list[str] = []        # batches that came again with other bytes
        self.deliveries = 0
        self.last = b""
        self.server: asyncio.Server | None = None

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}/use"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 24)

    async def stop(self) -> None:
        assert self.server is not None
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:])}
            self.deliveries += 1
            mood = next(self.moods, "ok")
            if mood == "reset":
                await reader.readexactly(10)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                           struct.pack("ii", 1, 0))
                writer.transport.abort()
                return
            body = await reader.readexactly(int(headers["content-length"]))
            name = headers["larklb-batch"]
            if mood not in ("old", "refuse"):
                self._store(name, headers, body)
            await self._answer(writer, mood, name)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, mood: str, name: str) -> None:
        good = http(202, b"", f"Larklb-Batch: {name}")
        if mood == "late":
            await asyncio.sleep(self.late_s)
        answer = {"break": b"", "500": http(500, b"no"), "refuse": http(503, b"no"),
                  "old": self.last or http(202, b"", "Larklb-Batch: n9-1-1")}.get(mood, good)
        self.last = good if mood in ("ok", "late") else self.last
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
        return sum(e["data"]["tries"] for e in self.events.values())

    def units(self) -> float:
        return sum(float(e["data"]["units"]) for e in self.events.values())
