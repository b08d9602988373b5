"""A folder that one process holds at a time, and files that are there whole or not at all."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path

from larklb.state.log import LogError, Step, sync_folder

AGAIN_S = 0.01             # between two tries to have a folder that somebody holds

class FolderLockedError(LogError):
    """Another process holds the folder."""


class LockedFolder:
    """Held from here until ``close``; the lock dies with the process that has it."""

    def __init__(self, path: Path, patience_s: float = 0.0) -> None:
        """Locks the folder, blocking for at most ``patience_s``; raises FolderLockedError after that."""
        self.path = path
        try:
            path.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.fd = os.open(path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from error
        until = time.monotonic() + patience_s
        while not self._taken():
            if time.monotonic() >= until:
                holder = os.read(self.fd, 20).decode("ascii", "replace").strip() or "another one"
                os.close(self.fd)
                raise FolderLockedError(f"{path}: it is in use by process {holder}")
            time.sleep(AGAIN_S)
        os.ftruncate(self.fd, 0)
        os.pwrite(self.fd, b"%d\n" % os.getpid(), 0)

    def _taken(self) -> bool:
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return False
        return True

    def close(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


def is_locked(path: Path) -> bool:
    """Whether a process holds a folder.  The look writes nothing, and two of them do not meet; a process that
    starts while one lasts finds the folder held for that moment, and is to be patient."""
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
    """A file with this content, durable under its name on return; no reader sees a part of it."""
    new = path.with_name(path.name + ".new")
    fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view):]
        os.fsync(fd)
    finally:
        os.close(fd)
    step("file.written")
    os.rename(new, path)
    step("file.renamed")
    sync_folder(path.parent)
