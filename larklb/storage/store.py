"""Generations of values on a disk: whole or not there, whatever the power does.

Each key has its own generations, ``<key>-<number>.dat`` and ``.dir`` of ``dbm.dumb``, written beside the
older ones and never changed afterwards. A save ends when the files, and then the folder that names them, are
synced.

Why passing over a torn generation is no rollback: a save that returned had synced the bytes and the names of
its generation, so after a loss of power that one is whole and is the newest whole one. A torn or missing
newer one is of a save that never returned, on which nobody has built anything. A generation of a failed save
that shows up whole after all is equally good: it follows the last one saved, and the next save has a higher
number. A read error is no tear: it is told, because the bytes behind it may have been synced.
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

IDENTITY_KEY = "identity"  # key of the disk's id
ID_BYTES = 8
KEPT = 2  # whole generations of a key: the newest, and one before it for the operator's sake
SUFFIXES = (".dat", ".dir", ".bak")
_NAME = re.compile(r"([a-z]+)-([1-9][0-9]{0,17})\.(?:dat|dir|bak)")
_KEY = re.compile(r"[a-z]+")


@define(frozen=True)
class Generation:
    """One generation as it lies on the disk; ``size`` in bytes of its files."""

    key: str
    number: int
    size_bytes: int
    intact: bool


@define
class Store:
    """Values by key (lower case letters) in ``folder``, which is made if need be. All calls block;
    one at a time.

    Every call raises StorageError if the disk doesn't do what it must."""

    folder: Path
    _whole: dict[str, list[int]] = field(factory=dict, init=False)
    _highest: dict[str, int] = field(factory=dict, init=False)
    _known: bool = field(default=False, init=False)

    def load(self) -> dict[str, bytes] | None:
        """The newest whole value of each key but the disk's id; None when there is none."""
        with _translated("read"):
            values = self._look()
        values.pop(IDENTITY_KEY, None)
        return values or None

    def save(self, changed: dict[str, bytes]) -> None:
        """Make these values durable: when it returns they are, when it raises the ones before hold."""
        if not all(_KEY.fullmatch(key) for key in changed):
            raise StorageError("a key has other than lower case letters")
        numbers: dict[str, int] = {}
        with _translated("write"):
            if not self._known:
                self._look()
            try:
                for key, value in changed.items():
                    # Taken before the first byte is there: no number serves for two contents in a life.
                    numbers[key] = self._highest[key] = self._highest.get(key, 0) + 1
                    self._write(key, numbers[key], value)
                _sync(self.folder)
            except BaseException:
                # What is left of it would take room, and could be taken for the operator's word.
                for key, number in numbers.items():
                    self._remove(key, number)
                raise
        for key, number in numbers.items():
            self._whole[key] = [*self._whole.get(key, []), number][-KEPT:]
        self._tidy(set(changed))

    def identity(self, renew: bool = False) -> str:
        """The disk's id: random, made once, durable before it is told; ``renew``: a new one in any case."""
        with _translated("read"):
            value = None if renew else self._look().get(IDENTITY_KEY)
        if value is None:
            value = secrets.token_hex(ID_BYTES).encode()
            self.save({IDENTITY_KEY: value})
        return value.decode()

    def read_generation(self, key: str, number: int) -> bytes | None:
        """The value in one generation of a key; None where it is torn or not there."""
        if not _KEY.fullmatch(key) or number < 1:
            return None
        with _translated("read"):
            return self._read(key, number)

    def list_generations(self) -> list[Generation]:
        """What lies on the disk, for the operator: by key and number."""
        with _translated("read"):
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

    def _look(self) -> dict[str, bytes]:
        if not self.folder.is_dir():
            self.folder.mkdir(parents=True)
            _sync(self.folder.parent)
        values: dict[str, bytes] = {}
        whole: dict[str, list[int]] = {}
        for key, numbers in self._scan().items():
            self._highest[key] = max(self._highest.get(key, 0), *numbers)
            for number in sorted(numbers, reverse=True):
                value = self._read(key, number)
                if value is None:
                    log.warning("storage: %s-%d is torn, passed over", key, number)
                    continue
                values.setdefault(key, value)
                whole.setdefault(key, []).insert(0, number)
        self._whole, self._known = whole, True
        return values

    def _scan(self) -> dict[str, set[int]]:
        found: dict[str, set[int]] = {}
        for name in os.listdir(self.folder):
            if match := _NAME.fullmatch(name):
                found.setdefault(match[1], set()).add(int(match[2]))
        return found

    def _paths(self, key: str, number: int) -> list[Path]:
        return [self.folder / f"{key}-{number}{suffix}" for suffix in SUFFIXES]

    def _write(self, key: str, number: int, value: bytes) -> None:
        data, index, spare = self._paths(key, number)
        # A new number: there is nothing in place yet that "n" could destroy.
        with dbm.dumb.open(str(data.with_suffix("")), "n") as file:
            file[b"value"] = value
            file[b"digest"] = _digest(key, number, value)
        # The index has its final form only after the close, which leaves the one before it as .bak.
        spare.unlink(missing_ok=True)
        _sync(data)
        _sync(index)

    def _read(self, key: str, number: int) -> bytes | None:
        """None if it is torn. Raises OSError if it can't be read, which tells nothing about it."""
        try:
            with dbm.dumb.open(str(self.folder / f"{key}-{number}"), "r") as file:
                value, digest = file[b"value"], file[b"digest"]
        except (FileNotFoundError, IsADirectoryError):
            return None
        except OSError as error:
            if error.errno != errno.EINVAL:  # a place before the file's beginning, from a torn index
                raise
            return None
        except Exception:  # a torn index can be any text, which dbm.dumb reads as Python literals
            return None
        return value if digest == _digest(key, number, value) else None

    def _remove(self, key: str, number: int) -> None:
        for path in self._paths(key, number):
            with contextlib.suppress(OSError):
                path.unlink(missing_ok=True)

    def _tidy(self, keys: set[str]) -> None:
        try:
            found = self._scan()
        except OSError:
            return
        for key in keys:
            for number in found.get(key, set()) - set(self._whole[key]):
                self._remove(key, number)


def _digest(key: str, number: int, value: bytes) -> bytes:
    return xxhash.xxh3_128_digest(f"{key}-{number}:".encode() + value)


def _sync(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@contextlib.contextmanager
def _translated(doing: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise StorageError(f"can't {doing}: {error}") from error
