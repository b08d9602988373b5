"""Two processes of one limiter, the old and the new one: how they meet, and what goes from one to the other.

They meet at a Unix socket in a folder that both have.  Each message is one packet, a kind and its body.  The
new process says HELLO and, when it could serve, GIVE; the old one answers with its state in parts, the last
of which carries the listening socket and that between limiters; the new one says TAKEN; the old one lets go
and says DONE.  From then on it sends each client's connection as it rests.  An end of the connection before
TAKEN, or before the old process is told to stop, means that the old one goes on serving.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
import socket
import stat
import struct
import tempfile
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

from larklb.handover_state import VERSION
from larklb.wheel import Wheel

log = logging.getLogger(__name__)

HELLO, NO, GIVE, PART, LAST, TAKEN, DONE, LINK = (b"H", b"N", b"G", b"P", b"L", b"T", b"D", b"C")
PACKET = 64 * 1024         # bytes of state in one packet
MOST_STATE = 64 * 1024 * 1024
ANSWER = 1500.0            # ms for each answer of the other process: one that hangs is passed over
MOST_PATH = 104            # bytes of a socket's path (sun_path holds 108)
_PEER = struct.Struct("3i")


class HandoverError(Exception):
    """The other process cannot be understood or does not answer; the text is one line."""


class HandoverPayload(NamedTuple):
    """The state of the old process, its listening socket, and the one between limiters if it has one."""

    state: bytes
    listening: socket.socket
    peers: socket.socket | None


def handover_socket_path(name: str, listen: tuple[str, int],
                         env: Mapping[str, str] = os.environ) -> Path | None:
    """Where the processes of a limiter meet; None where no folder can be written or the path is too long."""
    folder = Path(env.get("TMPDIR") or tempfile.gettempdir())
    who = hashlib.sha256(f"{os.getuid()} {name} {listen[0]}:{listen[1]}".encode()).hexdigest()
    path = folder / f"larklb-{who[:10]}.sock"
    if len(os.fsencode(path)) > MOST_PATH or not os.access(folder, os.W_OK | os.X_OK):
        return None
    return path


class Channel:
    """One end of a connection between two processes; packets are whole or not there."""

    def __init__(self, sock: socket.socket, wheel: Wheel) -> None:
        self.sock, self.wheel, self.loop = sock, wheel, asyncio.get_running_loop()
        self.ended = self.gone = False          # closed here, or by the other side
        self.on_packet: Callable[[bytes, list[int]], object] | None = None
        self.on_close: Callable[[], object] = bool
        sock.setblocking(False)

    def listen(self, on_packet: Callable[[bytes, list[int]], object], on_close: Callable[[], object]) -> None:
        self.on_packet, self.on_close = on_packet, on_close
        self.loop.add_reader(self.sock.fileno(), self._readable)

    def _readable(self) -> None:
        while not self.ended:
            try:
                packet, fds, _, _ = socket.recv_fds(self.sock, PACKET + 64, 4)
            except BlockingIOError:
                return
            except OSError:
                packet, fds = b"", []
            if not packet:
                self.close()
                self.on_close()
            elif self.on_packet is not None:
                self.on_packet(packet, list(fds))

    def send(self, kind: bytes, body: bytes = b"", fds: tuple[int, ...] = ()) -> bool:
        """False where it cannot be sent now, for want of room or of another end."""
        if self.ended:
            return False
        try:
            socket.send_fds(self.sock, [kind + body], list(fds))
        except ConnectionError:
            self.gone = True
            return False
        except OSError:
            return False
        return True

    async def send_all(self, kind: bytes, body: bytes, fds: tuple[int, ...] = ()) -> None:
        """The same, with some patience."""
        until = self.wheel.now() + ANSWER
        while not self.send(kind, body, fds):
            if self.ended or self.gone or self.wheel.now() > until:
                raise HandoverError("the other process takes nothing")
            await self.wheel.sleep(2.0)

    async def receive(self) -> tuple[bytes, list[int]]:
        """One packet, while nobody listens; HandoverError where none comes in time."""
        until = self.wheel.now() + ANSWER
        while True:
            with contextlib.suppress(BlockingIOError):
                try:
                    packet, fds, _, _ = socket.recv_fds(self.sock, PACKET + 64, 4)
                except ConnectionError:
                    packet, fds = b"", []
                if not packet:
                    raise HandoverError("the other process has gone")
                return packet, list(fds)
            if self.wheel.now() > until:
                raise HandoverError("the other process does not answer")
            await self.wheel.sleep(2.0)

    def close(self) -> None:
        if not self.ended:
            self.ended = True
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()


def _ours(sock: socket.socket) -> bool:
    """Whether the other end belongs to our own user."""
    _, uid, _ = _PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER.size))
    return bool(uid == os.getuid())


async def connect_predecessor(path: Path, wheel: Wheel) -> Channel | None:
    """The running process at the meeting place, greeted; None where none lives there.

    HandoverError where one lives there that does not answer, or speaks another version."""
    try:
        # where Unix sockets are refused (ENOSYS under a filter), nobody can be met: the instance serves alone
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError as error:
        log.warning("no process before this one can be met: %s", error)
        return None
    try:
        sock.setblocking(False)
        sock.connect(str(path))
        if not _ours(sock):
            raise HandoverError("another user's process answers there")
    except BlockingIOError as error:
        sock.close()
        raise HandoverError("a process lives there that takes nobody in") from error
    except (OSError, HandoverError) as error:
        sock.close()
        if isinstance(error, HandoverError):
            raise
        return None                            # nobody, or what a killed process has left
    channel = Channel(sock, wheel)
    try:
        await channel.send_all(HELLO, b"%d" % VERSION)
        answer, _ = await channel.receive()
        if answer[:1] != HELLO:
            raise HandoverError(answer[1:].decode(errors="replace") or "it does not want to")
    except HandoverError:
        channel.close()
        raise
    return channel


async def receive_state(channel: Channel) -> HandoverPayload:
    """All that the old process has; it waits for TAKEN then."""
    await channel.send_all(GIVE, b"")
    state = bytearray()
    while True:
        packet, fds = await channel.receive()
        if packet[:1] not in (PART, LAST) or len(state) > MOST_STATE:
            raise HandoverError(packet[1:].decode(errors="replace") if packet[:1] == NO else "it is garbled")
        state += packet[1:]
        if packet[:1] == LAST:
            break
    if not 1 <= len(fds) <= 2:
        raise HandoverError("it came without its sockets")
    sockets = [socket.socket(fileno=fd) for fd in fds]
    return HandoverPayload(bytes(state), sockets[0], sockets[1] if len(sockets) > 1 else None)


async def send_state(channel: Channel, parcel: HandoverPayload) -> None:
    """The other side of ``take``; returns when the new process has said TAKEN."""
    *parts, last = [parcel.state[at:at + PACKET] for at in range(0, len(parcel.state), PACKET)]
    for part in parts:
        await channel.send_all(PART, part)
    fds = [s.fileno() for s in (parcel.listening, parcel.peers) if s is not None]
    await channel.send_all(LAST, last, tuple(fds))
    answer, _ = await channel.receive()
    if answer[:1] != TAKEN:
        raise HandoverError("it did not take over")


class HandoverListener:
    """Where a running process is met by the next one; ``met`` is called with each that has said HELLO."""

    def __init__(self, path: Path, wheel: Wheel, met: Callable[[Channel], object]) -> None:
        self.path, self.wheel, self.met = path, wheel, met
        self.loop = asyncio.get_running_loop()
        self.sock: socket.socket | None = None
        self.inode = 0

    def open(self) -> None:
        """OSError where the folder does not allow it.  What was there before is replaced at one stroke."""
        beside = self.path.with_suffix(f".{os.getpid() % 1000}")
        with contextlib.suppress(FileNotFoundError):
            beside.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        old = os.umask(0o177)
        try:
            sock.bind(str(beside))
            sock.listen(4)
            os.rename(beside, self.path)
        except OSError:
            sock.close()
            raise
        finally:
            os.umask(old)
        sock.setblocking(False)
        self.sock, self.inode = sock, os.stat(self.path).st_ino
        self.loop.add_reader(sock.fileno(), self._knocked)

    def _knocked(self) -> None:
        assert self.sock is not None
        with contextlib.suppress(OSError):
            sock, _ = self.sock.accept()
            if not _ours(sock):
                sock.close()
                return
            channel = Channel(sock, self.wheel)
            timer = self.wheel.after(ANSWER, channel.close)

            def greeted(packet: bytes, fds: list[int]) -> None:
                timer.cancel()
                for fd in fds:
                    os.close(fd)
                if packet == HELLO + b"%d" % VERSION:
                    self.loop.remove_reader(sock.fileno())
                    channel.send(HELLO)
                    self.met(channel)
                else:
                    channel.send(NO, b"it speaks version %d" % VERSION)
                    channel.close()

            channel.listen(greeted, bool)

    def close(self) -> None:
        """The file goes only if it is still ours: the next process has its own there by then."""
        if self.sock is None:
            return
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        self.sock = None
        with contextlib.suppress(OSError):
            now = os.stat(self.path)
            if stat.S_ISSOCK(now.st_mode) and now.st_ino == self.inode:
                self.path.unlink()
