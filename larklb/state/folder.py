"""Exclusive locks on folders, and atomic writes of files."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path

from larklb.state.log import LogError, Step, sync_folder

# Pause between attempts to lock a folder that another process has locked.
LOCK_RETRY_S = 0.01


class FolderLockedError(LogError):
    """Another process has locked the folder."""


class LockedFolder:
    """A folder locked exclusively until ``close``; the kernel releases the lock if the process dies."""

    def __init__(self, path: Path, patience_s: float = 0.0) -> None:
        """Creates the folder if necessary and locks it, blocking for at most ``patience_s`` seconds.

        Raises FolderLockedError if another process still has the lock then, and LogError if the folder
        cannot be used.
        """
        self.path = path
        try:
            path.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.fd = os.open(path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from error
        deadline = time.monotonic() + patience_s
        while not self._try_lock():
            if time.monotonic() >= deadline:
                holder = os.read(self.fd, 20).decode("ascii", "replace").strip() or "another one"
                os.close(self.fd)
                raise FolderLockedError(f"{path}: it is in use by process {holder}")
            time.sleep(LOCK_RETRY_S)
        os.ftruncate(self.fd, 0)
        os.pwrite(self.fd, b"%d\n" % os.getpid(), 0)

    def _try_lock(self) -> bool:
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Releases the lock; further calls have no effect."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


def is_locked(path: Path) -> bool:
    """Returns whether a process has locked the folder; raises LogError if the lock file cannot be opened.

    The check takes a shared lock for a moment: it writes nothing, and concurrent checks don't conflict.  A
    process that tries to lock the folder during a check fails, and should allow for that with ``patience_s``.
    """
    try:
        fd = os.open(path / "lock", os.O_RDONLY)
    except FileNotFoundError:
        return False
    except OSError as error:
        raise LogError(f"{path}: {error.strerror}") from error
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return True
    finally:
        os.close(fd)
    return False


def write_file_atomically(path: Path, data: bytes, step: Step = bool, mode: int = 0o600) -> None:
    """Writes a file through a temporary one, so that no reader sees it in part; durable on return.

    ``step`` is called with the name of each step; raises OSError.
    """
    temporary = path.with_name(path.name + ".new")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view):]
        os.fsync(fd)
    finally:
        os.close(fd)
    step("file.written")
    os.rename(temporary, path)
    step("file.renamed")
    sync_folder(path.parent)
