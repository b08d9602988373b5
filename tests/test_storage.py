"""Durable storage: after a loss of power at any step, or with a full disk, what was saved is what is read."""

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

from larklb.storage import store as module
from larklb.storage.errors import StorageError
from larklb.storage.store import Store

OLD = {"ballot": b"old ballot", "log": b"old log " * 200}
NEW = {"ballot": b"new ballot", "log": b"new log " * 300}


class PowerError(BaseException):
    """The power goes, here."""


def filled(folder: Path) -> Store:
    store = Store(folder)
    store.save({"ballot": b"first", "log": b"first"})
    store.save(OLD)
    return store


def admissible(found: dict[str, bytes] | None) -> bool:
    """Each value is that of the last save that returned, or of the one under way."""
    return found is not None and all(found[key] in (OLD[key], NEW[key]) for key in OLD)


def test_values_and_the_disks_id_outlive_a_restart(tmp_path: Path) -> None:
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
    kept = [(part.key, part.number, part.intact) for part in store.list_generations()]
    assert kept == [("ballot", 1, True), ("identity", 1, True), ("log", 5, True), ("log", 6, True)]
    assert Store(tmp_path / "other").identity() != identity
    with pytest.raises(StorageError):
        store.save({"../x": b""})


def test_power_lost_with_any_part_of_the_new_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each unsynced file may be missing, empty, torn or whole, in any combination."""
    monkeypatch.setattr(os, "fsync", lambda descriptor: None)      # what is left is told by the case
    store = filled(tmp_path)
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    store.save(NEW)
    new = {path.name: path.read_bytes() for path in sorted(tmp_path.iterdir()) if path.name not in before}
    assert len(new) == 4
    for number, parts in enumerate(itertools.product((None, 0.0, 0.6, 1.0), repeat=4)):
        for name, part in zip(new, parts, strict=True):
            if part is None:
                (tmp_path / name).unlink(missing_ok=True)
            else:
                (tmp_path / name).write_bytes(new[name][:int(len(new[name]) * part)])
        found = Store(tmp_path).load()
        assert admissible(found), parts
        assert found == NEW or parts != (1.0,) * 4
        if number % 16 == 0:
            Store(tmp_path).save({"log": b"next"})
            assert (Store(tmp_path).load() or {})["log"] == b"next"
            for path in tmp_path.iterdir():
                path.unlink()
            for name, content in before.items():
                (tmp_path / name).write_bytes(content)


@pytest.mark.parametrize("step", range(25))
def test_power_lost_at_each_step(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int) -> None:
    """At each sync, removal and opening of a save; files not synced, or not by name, are lost whole."""
    store = filled(tmp_path)
    count, unsynced, unnamed = 0, set[str](), set[str]()

    def stepping(what: Callable[..., Any]) -> Callable[..., Any]:
        def stepped(*args: Any, **named: Any) -> Any:
            nonlocal count
            count += 1
            if count > step:
                raise PowerError
            return what(*args, **named)
        return stepped
    sync, opened = module._sync, io.open

    def synced(path: Path) -> None:
        sync(path)
        unsynced.discard(str(path))
        if path == tmp_path:
            unnamed.clear()

    def opening(path: bytes, mode: str = "r", **named: Any) -> Any:
        if mode != "r" and mode != "rb":
            unsynced.add(os.fsdecode(path))
            unnamed.add(os.fsdecode(path))
        return opened(path, mode, **named)
    fake = SimpleNamespace(open=stepping(opening))
    monkeypatch.setattr(module, "_sync", stepping(synced))
    monkeypatch.setattr(dbm.dumb, "_io", fake)
    monkeypatch.setattr(dbm.dumb._Database, "_io", fake)
    monkeypatch.setattr(Store, "_remove", stepping(Store._remove))
    returned = False
    try:
        store.save(NEW)
        returned = True
    except PowerError:
        pass
    monkeypatch.undo()
    for path in unsynced | unnamed:
        Path(path).unlink(missing_ok=True)
    found = Store(tmp_path).load()
    assert admissible(found)
    assert not returned or found == NEW


def test_a_full_disk_at_each_write(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The old values hold, nothing is left of the new, and the next save has its own number."""
    for room in (0, 1, 10, 500, 560, 600, 2000, 3000, 3250):
        store = filled(tmp_path / str(room))
        left = room

        class Full(io.FileIO):
            def write(self, data: Any) -> int:
                nonlocal left
                taken = min(left, len(data))
                left -= taken
                super().write(bytes(data)[:taken])
                if taken < len(data):
                    raise OSError(errno.ENOSPC, "no space")
                return taken

        def opening(path: bytes, mode: str = "r", full: type[io.FileIO] = Full, **named: Any) -> Any:
            if mode in ("r", "rb"):
                return open(path, mode, **named)
            raw = full(path, mode.replace("b", ""))
            binary = io.BufferedRandom(raw) if "+" in mode else io.BufferedWriter(raw)
            return binary if "b" in mode else io.TextIOWrapper(binary, **named)
        fake = SimpleNamespace(open=opening)
        with monkeypatch.context() as patch:
            patch.setattr(dbm.dumb, "_io", fake)
            patch.setattr(dbm.dumb._Database, "_io", fake)
            with pytest.raises(StorageError):
                store.save(NEW)
        assert store.load() == OLD and Store(store.folder).load() == OLD
        assert all(part.intact for part in store.list_generations())
        numbers = {part.number for part in store.list_generations() if part.key == "ballot"}
        store.save(NEW)
        assert Store(store.folder).load() == NEW
        assert max(
            part.number for part in store.list_generations() if part.key == "ballot") > max(numbers) + 1


def test_what_the_disk_says_is_told(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed sync fails the save; a read error isn't taken for a tear, which would go back."""
    store = filled(tmp_path)

    def failing(*args: Any, **named: Any) -> Any:
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


def test_altered_bytes_are_passed_over(tmp_path: Path) -> None:
    store = filled(tmp_path)
    store.save(NEW)
    for suffix in ("dat", "dir"):
        path = max(tmp_path.glob(f"log-*.{suffix}"))
        kept = path.read_bytes()
        for place in range(0, len(kept), 37):
            path.write_bytes(kept[:place] + bytes([kept[place] ^ 0x5A]) + kept[place + 1:])
            assert (Store(tmp_path).load() or {})["log"] in (OLD["log"], NEW["log"])
        path.write_bytes(b"('value', (-7, 10))\n" if suffix == "dir" else b"")
        assert (Store(tmp_path).load() or {})["log"] == OLD["log"]
        path.write_bytes(kept)


def test_a_content_isnt_taken_for_another_generations(tmp_path: Path) -> None:
    store = filled(tmp_path)
    store.save(NEW)
    for suffix in ("dat", "dir"):
        shutil.copy(tmp_path / f"log-2.{suffix}", tmp_path / f"log-9.{suffix}")
        shutil.copy(tmp_path / f"ballot-3.{suffix}", tmp_path / f"log-8.{suffix}")
    assert Store(tmp_path).load() == NEW
