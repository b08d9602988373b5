"""An append-only log of checksummed records: append, sync, replay, and a rewrite that drops what is over.

A file is an 8-byte name and version, then frames: length (4 bytes, big endian), CRC32C of those four
bytes and the payload (4 bytes), payload.  What was appended survives the process's death at once; a power
cut may cost what was appended since the last ``sync``.  A torn end is cut off and told; anything broken
before it is refused.
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
MAX_RECORD_BYTES = 16 * 1024 * 1024         # bytes: a longer length is no length
_HEAD = struct.Struct("!II")

Step = Callable[[str], object]
"""Called with the name of each step that a crash could come at; tests end the process there."""


class LogError(Exception):
    """The log cannot be used or written; the text is one line with the file, and where it is broken."""


class ReplayResult(NamedTuple):
    """What a log holds: its records, the bytes they fill, and how many behind them were torn."""

    records: list[bytes]
    size: int
    torn: int


def _crc(data: bytes) -> int:
    return int(google_crc32c.value(data))


def frame(payload: bytes) -> bytes:
    length = len(payload).to_bytes(4, "big")
    return length + _crc(length + payload).to_bytes(4, "big") + payload


def _record(data: bytes, at: int) -> bytes | None:
    """The payload of a whole and undamaged frame, if one begins here."""
    if at + _HEAD.size > len(data):
        return None
    length, crc = _HEAD.unpack_from(data, at)
    end = at + _HEAD.size + length
    if not 0 < length <= MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[at + _HEAD.size:end]
    return payload if _crc(data[at:at + 4] + payload) == crc else None


def replay(path: Path) -> ReplayResult:
    """Reads a log and changes nothing; LogError where it is broken before its end."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return ReplayResult([], 0, 0)
    except OSError as error:
        raise LogError(f"{path}: {error.strerror}") from error
    if data[:len(MAGIC)] != MAGIC:
        if MAGIC.startswith(data) or not data.strip(b"\0"):
            return ReplayResult([], 0, len(data))          # made, and not yet written to
        raise LogError(f"{path}: it does not begin as a log of this version does")
    records, at = [], len(MAGIC)
    while (payload := _record(data, at)) is not None:
        records.append(payload)
        at += _HEAD.size + len(payload)
    # Behind a torn end there is nothing; a whole record behind a broken one means that the middle is damaged.
    for later in range(at + 1, len(data) - _HEAD.size):
        if data[later:later + 4] != b"\0\0\0\0" and _record(data, later) is not None:
            raise LogError(f"{path}: broken at byte {at} of {len(data)}, and whole from byte {later} on: "
                           "keep the file, and put back the last good copy")
    return ReplayResult(records, at, len(data) - at)


def sync_folder(folder: Path) -> None:
    """Makes creations, renames and removals in a folder durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class Log:
    """One log, open for writing; its folder must be held by this process alone (``hold``)."""

    def __init__(self, path: Path, step: Step = bool) -> None:
        """Replays it first: ``records`` holds what it says until the caller lets go of them."""
        self.path, self.step = path, step
        found = replay(path)
        self.records, self.torn = found.records, found.torn
        self.broken = ""                       # why nothing more can be written before a rewrite
        self.has_torn_tail = False                    # a torn end is still to be cut off
        try:
            self.fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
            if found.size == 0:
                os.ftruncate(self.fd, 0)
                os.pwrite(self.fd, MAGIC, 0)
            else:
                os.ftruncate(self.fd, found.size)
            os.fsync(self.fd)
            sync_folder(path.parent)
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from error
        self.size = max(found.size, len(MAGIC))
        self.next: int | None = None           # the rewritten file, while it is not yet in place
        self.next_size = 0

    def append(self, payloads: Iterable[bytes]) -> None:
        """All of them or, with LogError, none; on return they survive the death of this process."""
        if self.broken:
            raise LogError(f"{self.path}: {self.broken}")
        data = b"".join(map(frame, payloads))
        self.step("append")
        try:
            if self.has_torn_tail:
                self._cut_off()
            self.has_torn_tail = True
            self._write(self.fd, data, self.size)
            self.has_torn_tail = False
        except OSError as error:
            with contextlib.suppress(OSError):      # else it is tried again before the next record
                self._cut_off()
            raise LogError(f"{self.path}: {error.strerror}") from error
        self.size += len(data)
        if self.next is not None:
            try:
                self._write(self.next, data, self.next_size)
                self.next_size += len(data)
            except OSError:
                self.abort_rewrite()
        self.step("appended")

    def _cut_off(self) -> None:
        os.ftruncate(self.fd, self.size)
        self.has_torn_tail = False

    @staticmethod
    def _write(fd: int, data: bytes, at: int) -> None:
        view = memoryview(data)
        while view:
            done = os.pwrite(fd, view, at)
            view, at = view[done:], at + done

    def sync(self) -> None:
        """Blocks until all that was appended is on the disk.  After a failure nothing more is written: what
        is on the disk is unknown then (fsync(2)), and a second try may claim what the first one lost.  A
        rewrite, or a restart, which reads the file, makes it whole again."""
        if self.broken:
            raise LogError(f"{self.path}: {self.broken}")
        self.step("sync")
        try:
            os.fsync(self.fd)
        except OSError as error:
            self.broken = f"it could not be brought to the disk ({error.strerror})"
            raise LogError(f"{self.path}: {self.broken}") from error

    # A rewrite: begin, sync_rewrite (may block, in a thread), swap.  Appends in between go to both files.

    def begin_rewrite(self, payloads: Sequence[bytes]) -> None:
        """From here on the log is also written to a new file that begins with these records alone."""
        self.abort_rewrite()
        path = self.path.with_suffix(".new")
        try:
            self.next = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            data = MAGIC + b"".join(map(frame, payloads))
            self._write(self.next, data, 0)
        except OSError as error:
            self.abort_rewrite()
            raise LogError(f"{path}: {error.strerror}") from error
        self.next_size = len(data)
        self.step("rewrite.written")

    def sync_rewrite(self) -> None:
        """Blocks until the new file is on the disk."""
        fd = self.next
        if fd is None:
            raise LogError(f"{self.path}: the rewrite was given up")
        try:
            os.fsync(fd)
        except OSError as error:
            self.abort_rewrite()
            raise LogError(f"{self.path}: {error.strerror}") from error
        self.step("rewrite.synced")

    def swap(self) -> None:
        """The new file, which has been synced, takes the old one's place, in one step; durable once its
        folder is synced."""
        if self.next is None:
            raise LogError(f"{self.path}: the rewrite was given up")
        try:
            os.rename(self.path.with_suffix(".new"), self.path)
            self.step("rewrite.renamed")
        except OSError as error:
            raise LogError(f"{self.path}: {error.strerror}") from error
        os.close(self.fd)
        self.fd, self.size, self.next = self.next, self.next_size, None
        self.broken, self.has_torn_tail = "", False

    def abort_rewrite(self) -> None:
        if self.next is not None:
            os.close(self.next)
            self.next = None

    def rewrite(self, payloads: Sequence[bytes]) -> None:
        """All three steps at once, where nobody waits."""
        self.begin_rewrite(payloads)
        self.sync_rewrite()
        self.swap()
        try:
            sync_folder(self.path.parent)
        except OSError as error:
            raise LogError(f"{self.path.parent}: {error.strerror}") from error

    def close(self) -> None:
        if self.fd >= 0:
            self.abort_rewrite()
            os.close(self.fd)
            self.fd, self.broken = -1, "it is closed"
