"""An append-only log of checksummed records: append, sync, replay, and a rewrite that drops obsolete records.

A file consists of an 8-byte magic number with the version, followed by frames: length (4 bytes, big endian),
CRC32C of those four bytes and the payload (4 bytes), payload.  Appended records survive the death of the
process at once; a power failure may lose those appended since the last ``sync``.  A torn tail is truncated
and its length is reported; corruption before the tail is an error.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

import google_crc32c

MAGIC = b"LARKLOG1"
# A frame with a longer length is treated as corrupt.
MAX_RECORD_BYTES = 16 * 1024 * 1024
_HEAD = struct.Struct("!II")

Step = Callable[[str], object]
"""Called with the name of each step at which a crash matters; tests end the process there."""


class LogError(Exception):
    """The log cannot be used or written; the message is one line with the file and the place of the fault."""


class ReplayResult(NamedTuple):
    """The content of a log: its records, the bytes of the valid prefix, and the bytes of the torn tail."""

    records: list[bytes]
    size: int
    torn: int


def _crc(data: bytes) -> int:
    return int(google_crc32c.value(data))


def frame(payload: bytes) -> bytes:
    """Returns the frame of one payload."""
    length = len(payload).to_bytes(4, "big")
    return length + _crc(length + payload).to_bytes(4, "big") + payload


def _decode_frame(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the frame at ``offset``, or None if no intact frame begins there."""
    if offset + _HEAD.size > len(data):
        return None
    length, crc = _HEAD.unpack_from(data, offset)
    end = offset + _HEAD.size + length
    if not 0 < length <= MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + _HEAD.size:end]
    return payload if _crc(data[offset:offset + 4] + payload) == crc else None


def replay(path: Path) -> ReplayResult:
    """Reads a log without changing it; raises LogError if it is corrupt before its tail."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return ReplayResult([], 0, 0)
    except OSError as error:
        raise LogError(f"{path}: {error.strerror}") from error
    if data[:len(MAGIC)] != MAGIC:
        if MAGIC.startswith(data) or not data.strip(b"\0"):
            # The file was created, but its header was not completely written.
            return ReplayResult([], 0, len(data))
        raise LogError(f"{path}: it does not begin as a log of this version does")
    records, offset = [], len(MAGIC)
    while (payload := _decode_frame(data, offset)) is not None:
        records.append(payload)
        offset += _HEAD.size + len(payload)
    # Nothing follows a torn tail; an intact record after a broken one means corruption in the middle.
    for later in range(offset + 1, len(data) - _HEAD.size):
        if data[later:later + 4] != b"\0\0\0\0" and _decode_frame(data, later) is not None:
            raise LogError(f"{path}: broken at byte {offset} of {len(data)}, and whole from byte {later} on: "
                           "keep the file, and put back the last good copy")
    return ReplayResult(records, offset, len(data) - offset)


def sync_folder(folder: Path) -> None:
    """Makes creations, renames and removals of files in a folder durable; raises OSError."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class Log:
    """A log open for writing; the process must have locked its folder (``LockedFolder``)."""

    def __init__(self, path: Path, step: Step = bool) -> None:
        """Replays the log, truncates a torn tail and opens the file; raises LogError.

        ``records`` holds the replayed records until the caller clears it.
        """
        self.path, self.step = path, step
        replayed = replay(path)
        self.records, self.torn = replayed.records, replayed.torn
        # Why nothing can be written before a rewrite; empty if the log is intact.
        self.broken = ""
        # Whether a failed append may have left a partial frame, which has not been truncated yet.
        self.has_torn_tail = False
        try:
            self.fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
            if replayed.size == 0:
                os.ftruncate(self.fd, 0)
                os.pwrite(self.fd, MAGIC, 0)
            else:
                os.ftruncate(self.fd, replayed.size)
            os.fsync(self.fd)
            sync_folder(path.parent)
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from error
        self.size = max(replayed.size, len(MAGIC))
        # The new file of a rewrite that has not replaced the old one yet.
        self.rewrite_fd: int | None = None
        self.rewrite_size = 0

    def append(self, payloads: Iterable[bytes]) -> None:
        """Appends all records or, with LogError, none; on return they survive the death of the process."""
        if self.broken:
            raise LogError(f"{self.path}: {self.broken}")
        data = b"".join(map(frame, payloads))
        self.step("append")
        try:
            if self.has_torn_tail:
                self._truncate_tail()
            self.has_torn_tail = True
            self._write(self.fd, data, self.size)
            self.has_torn_tail = False
        except OSError as error:
            # If truncation fails too, it is retried before the next append.
            with contextlib.suppress(OSError):
                self._truncate_tail()
            raise LogError(f"{self.path}: {error.strerror}") from error
        self.size += len(data)
        if self.rewrite_fd is not None:
            try:
                self._write(self.rewrite_fd, data, self.rewrite_size)
                self.rewrite_size += len(data)
            except OSError:
                self.abort_rewrite()
        self.step("appended")

    def _truncate_tail(self) -> None:
        os.ftruncate(self.fd, self.size)
        self.has_torn_tail = False

    @staticmethod
    def _write(fd: int, data: bytes, offset: int) -> None:
        view = memoryview(data)
        while view:
            done = os.pwrite(fd, view, offset)
            view, offset = view[done:], offset + done

    def sync(self) -> None:
        """Blocks until all appended records are on the disk; raises LogError.

        After a failure the log rejects all writes: the content on the disk is unknown then (fsync(2)), and a
        second fsync may report success for data that the first one lost.  A rewrite, or a restart, which
        reads the file, restores the log.
        """
        if self.broken:
            raise LogError(f"{self.path}: {self.broken}")
        self.step("sync")
        try:
            os.fsync(self.fd)
        except OSError as error:
            self.broken = f"it could not be brought to the disk ({error.strerror})"
            raise LogError(f"{self.path}: {self.broken}") from error

    # A rewrite consists of begin_rewrite, sync_rewrite (blocking, may run in a thread) and swap.  Appends in
    # between go to both files.

    def begin_rewrite(self, payloads: Sequence[bytes]) -> None:
        """Starts a new file with only these records, to which later appends go too; raises LogError."""
        self.abort_rewrite()
        path = self.path.with_suffix(".new")
        try:
            self.rewrite_fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            data = MAGIC + b"".join(map(frame, payloads))
            self._write(self.rewrite_fd, data, 0)
        except OSError as error:
            self.abort_rewrite()
            raise LogError(f"{path}: {error.strerror}") from error
        self.rewrite_size = len(data)
        self.step("rewrite.written")

    def sync_rewrite(self) -> None:
        """Blocks until the new file is on the disk; raises LogError."""
        fd = self.rewrite_fd
        if fd is None:
            raise LogError(f"{self.path}: the rewrite was given up")
        try:
            os.fsync(fd)
        except OSError as error:
            self.abort_rewrite()
            raise LogError(f"{self.path}: {error.strerror}") from error
        self.step("rewrite.synced")

    def swap(self) -> None:
        """Atomically replaces the old file by the new one, which must have been synced; raises LogError.

        The replacement is durable once the folder is synced.
        """
        if self.rewrite_fd is None:
            raise LogError(f"{self.path}: the rewrite was given up")
        try:
            os.rename(self.path.with_suffix(".new"), self.path)
            self.step("rewrite.renamed")
        except OSError as error:
            raise LogError(f"{self.path}: {error.strerror}") from error
        os.close(self.fd)
        self.fd, self.size, self.rewrite_fd = self.rewrite_fd, self.rewrite_size, None
        self.broken, self.has_torn_tail = "", False

    def abort_rewrite(self) -> None:
        """Abandons a rewrite, if one is in progress."""
        if self.rewrite_fd is not None:
            os.close(self.rewrite_fd)
            self.rewrite_fd = None

    def rewrite(self, payloads: Sequence[bytes]) -> None:
        """Rewrites the log in one blocking call; raises LogError."""
        self.begin_rewrite(payloads)
        self.sync_rewrite()
        self.swap()
        try:
            sync_folder(self.path.parent)
        except OSError as error:
            raise LogError(f"{self.path.parent}: {error.strerror}") from error

    def close(self) -> None:
        """Closes the log without a sync; later writes raise LogError."""
        if self.fd >= 0:
            self.abort_rewrite()
            os.close(self.fd)
            self.fd, self.broken = -1, "it is closed"
