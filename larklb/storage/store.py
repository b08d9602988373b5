"""Durable key-value storage in numbered generations, which survives a loss of power at any moment.

Each value is stored in a generation of its key: the files ``<key>-<number>.dat`` and ``<key>-<number>.dir``
of ``dbm.dumb``. A save writes new generations beside the older ones and never modifies existing files. It
returns after the new files, and then the directory that contains them, have been synced.

Skipping a torn generation while loading can't roll back a completed save. A save that returned had synced
the contents and the directory entries of its generation, so that after a loss of power this generation is
intact, and is the newest intact one. A torn or missing generation with a higher number belongs to a save
that never returned, so that nothing depends on it. If a generation of a failed save turns out to be intact
after all, it is equally valid: it was meant to follow the last completed save, and the next save gets a
higher number. A read error, in contrast, is raised and not treated as a torn generation, because the
unreadable data may have been synced.
"""

from __future__ import annotations

import contextlib
import dbm.dumb
import errno
import logging
import os
import re
import secrets
from collections.abc import Iterator
from pathlib import Path

import xxhash
from attrs import define, field

from larklb.storage.errors import StorageError

log = logging.getLogger(__name__)

# Key under which the disk's own id is stored.
IDENTITY_KEY = "identity"
IDENTITY_BYTES = 8
# Intact generations retained per key: the newest, and the previous one, which operators can restore.
MAX_GENERATIONS = 2
SUFFIXES = (".dat", ".dir", ".bak")
_FILE_NAME = re.compile(r"([a-z]+)-([1-9][0-9]{0,17})\.(?:dat|dir|bak)")
_KEY = re.compile(r"[a-z]+")


@define(frozen=True)
class Generation:
    """One generation of a key on the disk.

    ``size_bytes`` is the total size of its files; ``intact`` is False if its value can't be recovered.
    """

    key: str
    number: int
    size_bytes: int
    intact: bool


@define
class Store:
    """Durable values by key in ``folder``, which is created if it doesn't exist.

    Keys consist of lower-case letters. All methods block, must not be called concurrently, and raise
    StorageError if reading or writing fails.
    """

    folder: Path
    # Numbers of the intact generations of each key, in ascending order.
    _intact: dict[str, list[int]] = field(factory=dict, init=False)
    # The highest number used so far for each key, including torn generations and failed saves.
    _highest: dict[str, int] = field(factory=dict, init=False)
    _is_loaded: bool = field(default=False, init=False)

    def load(self) -> dict[str, bytes] | None:
        """Return the newest intact value of each key except the disk's id, or None if there is none."""
        with _storage_errors("read"):
            values = self._load_newest()
        values.pop(IDENTITY_KEY, None)
        return values or None

    def save(self, changed: dict[str, bytes]) -> None:
        """Store ``changed`` durably.

        When this returns, the new values are durable; when it raises, the previous values still hold. Raises
        StorageError also if a key contains anything but lower-case letters.
        """
        if not all(_KEY.fullmatch(key) for key in changed):
            raise StorageError("a key contains characters other than lower-case letters")
        numbers: dict[str, int] = {}
        with _storage_errors("write"):
            if not self._is_loaded:
                self._load_newest()
            try:
                for key, value in changed.items():
                    # The number is reserved before the first byte is written, so that this process never
                    # uses one number for two different values.
                    numbers[key] = self._highest[key] = self._highest.get(key, 0) + 1
                    self._write(key, numbers[key], value)
                _sync(self.folder)
            except BaseException:
                # Remnants would take up space, and could be mistaken for a save that completed.
                for key, number in numbers.items():
                    self._remove(key, number)
                raise
        for key, number in numbers.items():
            self._intact[key] = [*self._intact.get(key, []), number][-MAX_GENERATIONS:]
        self._remove_obsolete(set(changed))

    def identity(self, renew: bool = False) -> str:
        """Return the random id of this disk, creating and storing it first if there is none.

        With ``renew``, a new id replaces any existing one. A new id is durable before it is returned.
        """
        with _storage_errors("read"):
            value = None if renew else self._load_newest().get(IDENTITY_KEY)
        if value is None:
            value = secrets.token_hex(IDENTITY_BYTES).encode()
            self.save({IDENTITY_KEY: value})
        return value.decode()

    def read_generation(self, key: str, number: int) -> bytes | None:
        """Return the value of one generation of a key, or None if the generation is torn or missing."""
        if not _KEY.fullmatch(key) or number < 1:
            return None
        with _storage_errors("read"):
            return self._read(key, number)

    def list_generations(self) -> list[Generation]:
        """Return all generations on the disk, sorted by key and number, for display to operators."""
        with _storage_errors("read"):
            return [
                Generation(
                    key,
                    number,
                    sum(path.stat().st_size for path in self._paths(key, number) if path.exists()),
                    self._read(key, number) is not None,
                )
                for key, numbers in sorted(self._scan().items())
                for number in sorted(numbers)
            ]

    def _load_newest(self) -> dict[str, bytes]:
        """Read all generations, note which are intact, and return the newest intact value of each key."""
        if not self.folder.is_dir():
            self.folder.mkdir(parents=True)
            _sync(self.folder.parent)
        values: dict[str, bytes] = {}
        intact: dict[str, list[int]] = {}
        for key, numbers in self._scan().items():
            self._highest[key] = max(self._highest.get(key, 0), *numbers)
            for number in sorted(numbers, reverse=True):
                value = self._read(key, number)
                if value is None:
                    log.warning("storage: generation %s-%d is torn and is skipped", key, number)
                    continue
                values.setdefault(key, value)
                intact.setdefault(key, []).insert(0, number)
        self._intact, self._is_loaded = intact, True
        return values

    def _scan(self) -> dict[str, set[int]]:
        """Return the numbers of all generations of each key, by the names of the files in the folder."""
        numbers_by_key: dict[str, set[int]] = {}
        for name in os.listdir(self.folder):
            if match := _FILE_NAME.fullmatch(name):
                numbers_by_key.setdefault(match[1], set()).add(int(match[2]))
        return numbers_by_key

    def _paths(self, key: str, number: int) -> list[Path]:
        return [self.folder / f"{key}-{number}{suffix}" for suffix in SUFFIXES]

    def _write(self, key: str, number: int, value: bytes) -> None:
        data, index, backup = self._paths(key, number)
        # The number is new, so that flag "n" (create or truncate) can't destroy an existing generation.
        with dbm.dumb.open(str(data.with_suffix("")), "n") as file:
            file[b"value"] = value
            file[b"digest"] = _digest(key, number, value)
        # Closing the database writes the final index and leaves the previous one as .bak.
        backup.unlink(missing_ok=True)
        _sync(data)
        _sync(index)

    def _read(self, key: str, number: int) -> bytes | None:
        """Return the value, or None if the generation is torn or missing.

        Raises OSError if it can't be read, in which case it may well be intact.
        """
        try:
            with dbm.dumb.open(str(self.folder / f"{key}-{number}"), "r") as file:
                value, digest = file[b"value"], file[b"digest"]
        except (FileNotFoundError, IsADirectoryError):
            return None
        except OSError as error:
            # A torn index can contain a negative position, for which seek() fails with EINVAL.
            if error.errno != errno.EINVAL:
                raise
            return None
        except Exception:
            # dbm.dumb evaluates the lines of the index as Python literals. A torn index may contain any text,
            # and so cause any exception.
            return None
        return value if digest == _digest(key, number, value) else None

    def _remove(self, key: str, number: int) -> None:
        """Delete the files of a generation as far as possible, ignoring errors."""
        for path in self._paths(key, number):
            with contextlib.suppress(OSError):
                path.unlink(missing_ok=True)

    def _remove_obsolete(self, keys: set[str]) -> None:
        """Delete the generations of ``keys`` that are torn or no longer retained."""
        try:
            numbers_by_key = self._scan()
        except OSError:
            return
        for key in keys:
            for number in numbers_by_key.get(key, set()) - set(self._intact[key]):
                self._remove(key, number)


def _digest(key: str, number: int, value: bytes) -> bytes:
    """Return a checksum of a value and its generation; a value of another generation doesn't match it."""
    return xxhash.xxh3_128_digest(f"{key}-{number}:".encode() + value)


def _sync(path: Path) -> None:
    """Flush a file or directory to the disk with fsync."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@contextlib.contextmanager
def _storage_errors(operation: str) -> Iterator[None]:
    """Convert OSError to StorageError, whose message names the operation ("read" or "write")."""
    try:
        yield
    except OSError as error:
        raise StorageError(f"can't {operation}: {error}") from error
