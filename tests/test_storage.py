"""Durable storage: completed saves survive a loss of power at any step of a later save, and a full disk.

A save that is interrupted or fails must leave the previous values readable.
"""

from __future__ import annotations

import dbm.dumb
import errno
import io
import itertools
import os
import shutil
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from larklb.storage import store as store_module
from larklb.storage.errors import StorageError
from larklb.storage.store import Store

OLD = {"ballot": b"old ballot", "log": b"old log " * 200}
NEW = {"ballot": b"new ballot", "log": b"new log " * 300}


class PowerLossError(BaseException):
    """Simulates a loss of power at the step that raises it."""


def store_with_old_values(folder: Path) -> Store:
    """Return a store with two generations of each key, OLD being the newer one."""
    store = Store(folder)
    store.save({"ballot": b"first", "log": b"first"})
    store.save(OLD)
    return store


def is_admissible(loaded: dict[str, bytes] | None) -> bool:
    """Whether each value is that of the last completed save or of the interrupted one."""
    return loaded is not None and all(loaded[key] in (OLD[key], NEW[key]) for key in OLD)


def test_values_and_disk_id_survive_a_restart(tmp_path: Path) -> None:
    store = Store(tmp_path / "disk")
    assert store.load() is None
    identity = store.identity()
    assert Store(store.folder).identity() == identity and Store(store.folder).load() is None
    for number in range(6):
        store.save({"log": b"%d" % number, "ballot": b"\x00\xff"} if number == 2 else {"log": b"%d" % number})
        (store.folder / "log-x.dat").write_bytes(b"stray")
        (store.folder / "notes.txt").write_bytes(b"stray")
        assert (Store(store.folder).load() or {})["log"] == b"%d" % number
    assert store.load() == {"log": b"5", "ballot": b"\x00\xff"}
    retained = [(each.key, each.number, each.intact) for each in store.list_generations()]
    assert retained == [("ballot", 1, True), ("identity", 1, True), ("log", 5, True), ("log", 6, True)]
    assert Store(tmp_path / "other").identity() != identity
    with pytest.raises(StorageError):
        store.save({"../x": b""})


def test_power_loss_with_any_remains_of_new_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each unsynced file may be missing, empty, truncated or complete, in any combination."""
    # Syncing has no effect here: each case determines what remains of the new files.
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)
    store = store_with_old_values(tmp_path)
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    store.save(NEW)
    new = {path.name: path.read_bytes() for path in sorted(tmp_path.iterdir()) if path.name not in before}
    assert len(new) == 4
    for number, fractions in enumerate(itertools.product((None, 0.0, 0.6, 1.0), repeat=4)):
        for name, fraction in zip(new, fractions, strict=True):
            if fraction is None:
                (tmp_path / name).unlink(missing_ok=True)
            else:
                (tmp_path / name).write_bytes(new[name][:int(len(new[name]) * fraction)])
        loaded = Store(tmp_path).load()
        assert is_admissible(loaded), fractions
        assert loaded == NEW or fractions != (1.0,) * 4
        if number % 16 == 0:
            Store(tmp_path).save({"log": b"next"})
            assert (Store(tmp_path).load() or {})["log"] == b"next"
            for path in tmp_path.iterdir():
                path.unlink()
            for name, content in before.items():
                (tmp_path / name).write_bytes(content)


@pytest.mark.parametrize("step", range(25))
def test_power_loss_at_each_step_of_save(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int) -> None:
    """The steps are each sync, removal and opening of a file for the save.

    Files whose contents, or whose names in the directory, have not been synced are lost completely.
    """
    store = store_with_old_values(tmp_path)
    count, unsynced, unnamed = 0, set[str](), set[str]()

    def interruptible(function: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any, **kwargs: Any) -> Any:
            nonlocal count
            count += 1
            if count > step:
                raise PowerLossError
            return function(*args, **kwargs)
        return call
    sync, original_open = store_module._sync, io.open

    def tracking_sync(path: Path) -> None:
        sync(path)
        unsynced.discard(str(path))
        if path == tmp_path:
            unnamed.clear()

    def tracking_open(path: bytes, mode: str = "r", **kwargs: Any) -> Any:
        if mode != "r" and mode != "rb":
            unsynced.add(os.fsdecode(path))
            unnamed.add(os.fsdecode(path))
        return original_open(path, mode, **kwargs)
    fake_io = SimpleNamespace(open=interruptible(tracking_open))
    monkeypatch.setattr(store_module, "_sync", interruptible(tracking_sync))
    monkeypatch.setattr(dbm.dumb, "_io", fake_io)
    monkeypatch.setattr(dbm.dumb._Database, "_io", fake_io)
    monkeypatch.setattr(Store, "_remove", interruptible(Store._remove))
    returned = False
    try:
        store.save(NEW)
        returned = True
    except PowerLossError:
        pass
    monkeypatch.undo()
    for path in unsynced | unnamed:
        Path(path).unlink(missing_ok=True)
    loaded = Store(tmp_path).load()
    assert is_admissible(loaded)
    assert not returned or loaded == NEW


def test_a_full_disk_at_each_write(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The previous values hold, nothing is left of the new ones, and the next save gets a new number."""
    for free_bytes in (0, 1, 10, 500, 560, 600, 2000, 3000, 3250):
        store = store_with_old_values(tmp_path / str(free_bytes))
        remaining = free_bytes

        class LimitedFile(io.FileIO):
            def write(self, data: Any) -> int:
                nonlocal remaining
                written = min(remaining, len(data))
                remaining -= written
                super().write(bytes(data)[:written])
                if written < len(data):
                    raise OSError(errno.ENOSPC, "no space")
                return written

        def limited_open(
                path: bytes, mode: str = "r", file_type: type[io.FileIO] = LimitedFile, **kwargs: Any) -> Any:
            if mode in ("r", "rb"):
                return open(path, mode, **kwargs)
            raw = file_type(path, mode.replace("b", ""))
            binary = io.BufferedRandom(raw) if "+" in mode else io.BufferedWriter(raw)
            return binary if "b" in mode else io.TextIOWrapper(binary, **kwargs)
        fake_io = SimpleNamespace(open=limited_open)
        with monkeypatch.context() as patch:
            patch.setattr(dbm.dumb, "_io", fake_io)
            patch.setattr(dbm.dumb._Database, "_io", fake_io)
            with pytest.raises(StorageError):
                store.save(NEW)
        assert store.load() == OLD and Store(store.folder).load() == OLD
        assert all(each.intact for each in store.list_generations())
        numbers = {each.number for each in store.list_generations() if each.key == "ballot"}
        store.save(NEW)
        assert Store(store.folder).load() == NEW
        assert max(
            each.number for each in store.list_generations() if each.key == "ballot") > max(numbers) + 1


def test_disk_errors_are_raised(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed sync fails the save, and a read error fails the load.

    If a read error were treated as a torn generation, the load would silently return an older value.
    """
    store = store_with_old_values(tmp_path)

    def failing(*args: Any, **kwargs: Any) -> Any:
        raise OSError(errno.EIO, "input/output error")
    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", failing)
        with pytest.raises(StorageError):
            store.save(NEW)
    assert Store(tmp_path).load() == OLD
    with monkeypatch.context() as patch:
        patch.setattr(dbm.dumb._Database, "__getitem__", failing)
        with pytest.raises(StorageError):
            Store(tmp_path).load()


def test_generations_with_altered_bytes_are_skipped(tmp_path: Path) -> None:
    store = store_with_old_values(tmp_path)
    store.save(NEW)
    for suffix in ("dat", "dir"):
        path = max(tmp_path.glob(f"log-*.{suffix}"))
        content = path.read_bytes()
        for position in range(0, len(content), 37):
            path.write_bytes(content[:position] + bytes([content[position] ^ 0x5A]) + content[position + 1:])
            assert (Store(tmp_path).load() or {})["log"] in (OLD["log"], NEW["log"])
        path.write_bytes(b"('value', (-7, 10))\n" if suffix == "dir" else b"")
        assert (Store(tmp_path).load() or {})["log"] == OLD["log"]
        path.write_bytes(content)


def test_a_copy_under_another_generations_name_is_rejected(tmp_path: Path) -> None:
    store = store_with_old_values(tmp_path)
    store.save(NEW)
    for suffix in ("dat", "dir"):
        shutil.copy(tmp_path / f"log-2.{suffix}", tmp_path / f"log-9.{suffix}")
        shutil.copy(tmp_path / f"ballot-3.{suffix}", tmp_path / f"log-8.{suffix}")
    assert Store(tmp_path).load() == NEW
