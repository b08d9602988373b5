"""The administrative address of an instance: one question and one answer, a JSON line each, on a Unix socket.

The socket belongs to the user that started the instance and to nobody else (mode 0600): whoever can open
it may do all that the commands can.  The platform has none.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

log = logging.getLogger(__name__)

MOST_LINE = 16 * 1024 * 1024       # bytes: a catalogue with 200,000 assignments has about 8 MB
MOST_AT_ONCE = 16                  # connections; more are closed unheard
PATIENCE_S = 60.0                  # for one question, an export among them
MOST_PATH = 100                    # bytes of a socket's path (sun_path holds 108)

Handler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class AdminError(Exception):
    """The question cannot be asked, or was turned down; the text is one line."""


class UnreachableError(AdminError):
    """Nobody answers at the address."""


class Admin:
    """Answers questions by their names."""

    def __init__(self, path: Path, handlers: dict[str, Handler]) -> None:
        self.path, self.handlers = path, handlers
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """OSError where the address is in use, or cannot be."""
        if len(os.fsencode(self.path)) > MOST_PATH:
            raise OSError(f"{self.path}: a socket's path has {MOST_PATH} bytes at most")
        if self.path.exists():
            with contextlib.closing(socket.socket(socket.AF_UNIX)) as other:
                other.settimeout(1.0)
                try:
                    other.connect(str(self.path))
                except OSError:
                    self.path.unlink()             # its process died
                else:
                    raise OSError(f"{self.path}: another process answers there")
        self.path.parent.mkdir(parents=True, exist_ok=True)
        listening = socket.socket(socket.AF_UNIX)
        old = os.umask(0o177)
        try:
            listening.bind(str(self.path))
        except OSError:
            listening.close()
            raise
        finally:
            os.umask(old)
        listening.setblocking(False)
        self.server = await asyncio.start_unix_server(self._connected, sock=listening, limit=MOST_LINE)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            if len(self.tasks) <= MOST_AT_ONCE:
                async with asyncio.timeout(PATIENCE_S):
                    answer = await self._answer(await reader.readline())
                    writer.write(msgspec.json.encode(answer) + b"\n")
                    await writer.drain()
        except (OSError, TimeoutError, ValueError):
            pass                                   # whoever asked has gone, or sent no line
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, line: bytes) -> dict[str, Any]:
        try:
            question = msgspec.json.decode(line, type=dict[str, Any])
            handler = self.handlers[question["do"]]
        except (msgspec.DecodeError, KeyError) as error:
            return {"error": f"this is no question here: {error}"}
        try:
            return await handler(question)
        except AdminError as error:
            return {"error": str(error)}
        except Exception as error:
            log.exception("the question %r failed", question["do"])
            return {"error": f"it failed: {type(error).__name__}: {error}"}

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)
        for task in list(self.tasks):
            task.cancel()


def ask(path: Path, do: str, **more: Any) -> dict[str, Any]:
    """Sends one request and returns its answer.

    Raises UnreachableError if no instance answers and AdminError if the request was rejected.
    """
    try:
        with contextlib.closing(socket.socket(socket.AF_UNIX)) as s:
            s.settimeout(PATIENCE_S)
            s.connect(str(path))
            s.sendall(msgspec.json.encode({"do": do, **more}) + b"\n")
            with s.makefile("rb") as answers:
                line = answers.readline(MOST_LINE)
    except OSError as error:
        raise UnreachableError(f"{path}: {error.strerror or error}") from error
    if not line.endswith(b"\n"):
        raise UnreachableError(f"{path}: the instance went away before its answer")
    answer: dict[str, Any] = msgspec.json.decode(line)
    if "error" in answer:
        raise AdminError(str(answer["error"]))
    return answer
