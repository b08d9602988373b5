"""Handover from the running process of a limiter to its successor.

The processes connect over a Unix socket in a shared folder.  Each message is one packet, a kind and its body.
The new process sends HELLO and, once it is ready to serve, GIVE; the old one answers with its state in parts,
the last of which carries the listening socket and the peer socket; the new one sends TAKEN; the old one
releases its sockets and sends DONE.  From then on it sends each client connection when that becomes idle.  If
the connection ends before TAKEN, or before the old process is told to stop, the old one continues to serve.
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
# State bytes in one packet.
MAX_PACKET_BYTES = 64 * 1024
MAX_STATE_BYTES = 64 * 1024 * 1024
# Time for each answer of the other process; one that hangs is ignored.
ANSWER_TIMEOUT_MS = 1500.0
# sun_path holds 108 bytes.
MAX_SOCKET_PATH_BYTES = 104
_PEER_CREDENTIALS = struct.Struct("3i")


class HandoverError(Exception):
    """The other process does not answer or sends something invalid; the message is one line."""


class HandoverPayload(NamedTuple):
    """The state of the old process, its listening socket, and its peer socket if it has one."""

    state: bytes
    listening: socket.socket
    peers: socket.socket | None


def handover_socket_path(name: str, listen: tuple[str, int],
                         env: Mapping[str, str] = os.environ) -> Path | None:
    """Returns the path of the handover socket, or None if it is too long or its folder not writable."""
    folder = Path(env.get("TMPDIR") or tempfile.gettempdir())
    identity = hashlib.sha256(f"{os.getuid()} {name} {listen[0]}:{listen[1]}".encode()).hexdigest()
    path = folder / f"larklb-{identity[:10]}.sock"
    if len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES or not os.access(folder, os.W_OK | os.X_OK):
        return None
    return path


class Channel:
    """One end of a connection between two processes, which transfers whole packets."""

    def __init__(self, sock: socket.socket, wheel: Wheel) -> None:
        self.sock, self.wheel, self.loop = sock, wheel, asyncio.get_running_loop()
        self.closed = self.peer_closed = False          # closed here, or by the peer
        self.on_packet: Callable[[bytes, list[int]], object] | None = None
        self.on_close: Callable[[], object] = bool
        sock.setblocking(False)

    def listen(self, on_packet: Callable[[bytes, list[int]], object], on_close: Callable[[], object]) -> None:
        """Calls ``on_packet`` for each packet with its file descriptors, and ``on_close`` at the end."""
        self.on_packet, self.on_close = on_packet, on_close
        self.loop.add_reader(self.sock.fileno(), self._readable)

    def _readable(self) -> None:
        while not self.closed:
            try:
                packet, fds, _, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES + 64, 4)
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
        """Sends a packet; returns False if the buffer is full or the connection closed."""
        if self.closed:
            return False
        try:
            socket.send_fds(self.sock, [kind + body], list(fds))
        except ConnectionError:
            self.peer_closed = True
            return False
        except OSError:
            return False
        return True

    async def send_all(self, kind: bytes, body: bytes, fds: tuple[int, ...] = ()) -> None:
        """Sends a packet, waiting for buffer space; HandoverError after ANSWER_TIMEOUT_MS."""
        until = self.wheel.now() + ANSWER_TIMEOUT_MS
        while not self.send(kind, body, fds):
            if self.closed or self.peer_closed or self.wheel.now() > until:
                raise HandoverError("the other process does not read")
            await self.wheel.sleep(2.0)

    async def receive(self) -> tuple[bytes, list[int]]:
        """Returns one packet, without a listener; HandoverError if none arrives in time."""
        until = self.wheel.now() + ANSWER_TIMEOUT_MS
        while True:
            with contextlib.suppress(BlockingIOError):
                try:
                    packet, fds, _, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES + 64, 4)
                except ConnectionError:
                    packet, fds = b"", []
                if not packet:
                    raise HandoverError("the other process closed the connection")
                return packet, list(fds)
            if self.wheel.now() > until:
                raise HandoverError("the other process does not answer")
            await self.wheel.sleep(2.0)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()


def _same_user(sock: socket.socket) -> bool:
    """Whether the peer process runs as the same user."""
    _, uid, _ = _PEER_CREDENTIALS.unpack(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size))
    return bool(uid == os.getuid())


async def connect_predecessor(path: Path, wheel: Wheel) -> Channel | None:
    """Connects to the running process at the path and sends HELLO; returns None if there is none.

    Raises HandoverError if it does not answer or has another protocol version."""
    try:
        # Where Unix sockets are forbidden (ENOSYS under a system call filter), no handover is possible.
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError as error:
        log.warning("no process before this one can be met: %s", error)
        return None
    try:
        sock.setblocking(False)
        sock.connect(str(path))
        if not _same_user(sock):
            raise HandoverError("the running process belongs to another user")
    except BlockingIOError as error:
        sock.close()
        raise HandoverError("the running process accepts no connection") from error
    except (OSError, HandoverError) as error:
        sock.close()
        if isinstance(error, HandoverError):
            raise
        return None                            # no process, or a stale file of a killed one
    channel = Channel(sock, wheel)
    try:
        await channel.send_all(HELLO, b"%d" % VERSION)
        answer, _ = await channel.receive()
        if answer[:1] != HELLO:
            raise HandoverError(answer[1:].decode(errors="replace") or "handover refused")
    except HandoverError:
        channel.close()
        raise
    return channel


async def receive_state(channel: Channel) -> HandoverPayload:
    """Receives the state and sockets of the old process, which then waits for TAKEN."""
    await channel.send_all(GIVE, b"")
    state = bytearray()
    while True:
        packet, fds = await channel.receive()
        if packet[:1] not in (PART, LAST) or len(state) > MAX_STATE_BYTES:
            raise HandoverError(packet[1:].decode(errors="replace") if packet[:1] == NO
                                else "invalid packet from the running process")
        state += packet[1:]
        if packet[:1] == LAST:
            break
    if not 1 <= len(fds) <= 2:
        raise HandoverError("the state arrived without its sockets")
    sockets = [socket.socket(fileno=fd) for fd in fds]
    return HandoverPayload(bytes(state), sockets[0], sockets[1] if len(sockets) > 1 else None)


async def send_state(channel: Channel, handover: HandoverPayload) -> None:
    """Sends state and sockets to the new process; returns when it has sent TAKEN."""
    *parts, last = [handover.state[start:start + MAX_PACKET_BYTES]
                    for start in range(0, len(handover.state), MAX_PACKET_BYTES)]
    for part in parts:
        await channel.send_all(PART, part)
    fds = [s.fileno() for s in (handover.listening, handover.peers) if s is not None]
    await channel.send_all(LAST, last, tuple(fds))
    answer, _ = await channel.receive()
    if answer[:1] != TAKEN:
        raise HandoverError("the new process did not confirm the handover")


class HandoverListener:
    """Accepts successor processes; ``on_peer`` is called with each channel after a valid HELLO."""

    def __init__(self, path: Path, wheel: Wheel, on_peer: Callable[[Channel], object]) -> None:
        self.path, self.wheel, self.on_peer = path, wheel, on_peer
        self.loop = asyncio.get_running_loop()
        self.sock: socket.socket | None = None
        self.inode = 0

    def open(self) -> None:
        """Listens at the path, replacing an existing file atomically; raises OSError if that fails."""
        temporary = self.path.with_suffix(f".{os.getpid() % 1000}")
        with contextlib.suppress(FileNotFoundError):
            temporary.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        old = os.umask(0o177)
        try:
            sock.bind(str(temporary))
            sock.listen(4)
            os.rename(temporary, self.path)
        except OSError:
            sock.close()
            raise
        finally:
            os.umask(old)
        sock.setblocking(False)
        self.sock, self.inode = sock, os.stat(self.path).st_ino
        self.loop.add_reader(sock.fileno(), self._on_connect)

    def _on_connect(self) -> None:
        assert self.sock is not None
        with contextlib.suppress(OSError):
            sock, _ = self.sock.accept()
            if not _same_user(sock):
                sock.close()
                return
            channel = Channel(sock, self.wheel)
            timer = self.wheel.after(ANSWER_TIMEOUT_MS, channel.close)

            def on_hello(packet: bytes, fds: list[int]) -> None:
                timer.cancel()
                for fd in fds:
                    os.close(fd)
                if packet == HELLO + b"%d" % VERSION:
                    self.loop.remove_reader(sock.fileno())
                    channel.send(HELLO)
                    self.on_peer(channel)
                else:
                    channel.send(NO, b"it speaks version %d" % VERSION)
                    channel.close()

            channel.listen(on_hello, bool)

    def close(self) -> None:
        """Stops listening; removes the file only if the successor has not replaced it."""
        if self.sock is None:
            return
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        self.sock = None
        with contextlib.suppress(OSError):
            now = os.stat(self.path)
            if stat.S_ISSOCK(now.st_mode) and now.st_ino == self.inode:
                self.path.unlink()
