"""The administrative address of an instance: one request and one answer, a JSON line each, on a Unix socket.

Only the user that started the instance may open the socket (mode 0600), as it allows all that the commands
can do.  An instance without an operator's file has none.
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

# A catalogue with 200,000 assignments has about 8 MB.
MAX_LINE_BYTES = 16 * 1024 * 1024
# Further connections are closed without an answer.
MAX_CONNECTIONS = 16
# For one request, which may be an export.
REQUEST_TIMEOUT_S = 60.0
# Length of a socket's path (sun_path holds 108 bytes).
MAX_PATH_BYTES = 100

Handler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class AdminError(Exception):
    """The request could not be made, or was rejected; the message is one line."""


class UnreachableError(AdminError):
    """No instance answers at the address."""


class Admin:
    """Serves administrative requests with the handlers registered under their names."""

    def __init__(self, path: Path, handlers: dict[str, Handler]) -> None:
        self.path, self.handlers = path, handlers
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to listen; raises OSError if the address is in use or unusable."""
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            raise OSError(f"{self.path}: a socket's path has {MAX_PATH_BYTES} bytes at most")
        if self.path.exists():
            with contextlib.closing(socket.socket(socket.AF_UNIX)) as other:
                other.settimeout(1.0)
                try:
                    other.connect(str(self.path))
                except OSError:
                    self.path.unlink()             # left behind by a process that died
                else:
                    raise OSError(f"{self.path}: another process answers there")
        self.path.parent.mkdir(parents=True, exist_ok=True)
        listening = socket.socket(socket.AF_UNIX)
        old_umask = os.umask(0o177)
        try:
            listening.bind(str(self.path))
        except OSError:
            listening.close()
            raise
        finally:
            os.umask(old_umask)
        listening.setblocking(False)
        self.server = await asyncio.start_unix_server(self._connected, sock=listening, limit=MAX_LINE_BYTES)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            if len(self.tasks) <= MAX_CONNECTIONS:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    answer = await self._answer(await reader.readline())
                    writer.write(msgspec.json.encode(answer) + b"\n")
                    await writer.drain()
        except (OSError, TimeoutError, ValueError):
            pass                                   # the client disconnected, timed out or sent no line
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, line: bytes) -> dict[str, Any]:
        try:
            request = msgspec.json.decode(line, type=dict[str, Any])
            handler = self.handlers[request["do"]]
        except (msgspec.DecodeError, KeyError) as error:
            return {"error": f"this is no question here: {error}"}
        try:
            return await handler(request)
        except AdminError as error:
            return {"error": str(error)}
        except Exception as error:
            log.exception("the request %r failed", request["do"])
            return {"error": f"it failed: {type(error).__name__}: {error}"}

    async def stop(self) -> None:
        """Stops listening and cancels requests in progress."""
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
            s.settimeout(REQUEST_TIMEOUT_S)
            s.connect(str(path))
            s.sendall(msgspec.json.encode({"do": do, **more}) + b"\n")
            with s.makefile("rb") as answers:
                line = answers.readline(MAX_LINE_BYTES)
    except OSError as error:
        raise UnreachableError(f"{path}: {error.strerror or error}") from error
    if not line.endswith(b"\n"):
        raise UnreachableError(f"{path}: the instance went away before its answer")
    answer: dict[str, Any] = msgspec.json.decode(line)
    if "error" in answer:
        raise AdminError(str(answer["error"]))
    return answer
