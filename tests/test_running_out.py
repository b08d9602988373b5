"""Out of disk, descriptors or memory, and back: what was taken is answered, and what is kept stays right."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larklb import interface as io
from larklb.quota.reservations import Reservations, Shares, Wanted
from larklb.state import folder as state_folder
from larklb.state.log import Log, LogError, replay
from larklb.state.reserved import ReservedLog


class Disk:
    """Fails the n-th call of one of os's functions, and each after it while ``lasting``."""

    def __init__(self, patch: pytest.MonkeyPatch, *names: str, after: int = 0, lasting: bool = True,
                 code: int = errno.ENOSPC) -> None:
        self.left, self.lasting, self.on = after, lasting, True
        for name in names:
            patch.setattr(os, name, self._failing(getattr(os, name), code))

    def _failing(self, real: Callable[..., Any], code: int) -> Callable[..., Any]:
        def call(*args: Any, **more: Any) -> Any:
            self.left -= 1
            if self.on and (self.left == -1 or self.left < 0 and self.lasting):
                raise OSError(code, os.strerror(code))
            return real(*args, **more)
        return call


# The log, the ledger and the reservations ---------------------------------------------------


def test_a_torn_end_that_cannot_be_cut_off_is_cut_before_the_next_record(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The failure of the cut itself was no LogError: whoever waited for the record waited for good."""
    log, real = Log(tmp_path / "log"), os.pwrite

    def half(fd: int, data: bytes, at: int) -> int:
        if len(data) > 20:
            return real(fd, bytes(data)[:20], at)
        raise OSError(errno.ENOSPC, "no space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", half)
        Disk(patch, "ftruncate", code=errno.EIO)
        for _ in range(2):
            with pytest.raises(LogError):
                log.append([b"first", b"second, longer than there is room"])
    log.append([b"x"])
    assert replay(tmp_path / "log").records == [b"x"]
    log.close()


def reserved_log(folder: Path) -> tuple[Reservations, ReservedLog]:
    reservations = Reservations(Shares(), 1, 0)
    return reservations, ReservedLog(folder / "reservations.log", reservations, 0.0)


def test_draws_that_the_disk_did_not_take_are_written_once_it_does(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """They were forgotten with the process, long after there was room again, and could be drawn twice."""
    for code, names in ((errno.ENOSPC, ("pwrite",)), (errno.EIO, ("fsync",))):
        folder = tmp_path / names[0]
        folder.mkdir()
        reservations, kept = reserved_log(folder)
        wanted = [Wanted(n, f"{1:016x}", "slow", 10.0, 0.0, 9000.0) for n in ("a", "b", "refused")]
        a, b = (reservations.add(w, True, 0.0, 1.0) for w in wanted[:2])
        kept.added(a)
        kept.added(b)
        with monkeypatch.context() as patch:
            Disk(patch, *names, code=code)
            refused = reservations.add(wanted[2], True, 0.0, 1.0)
            with pytest.raises(LogError):
                kept.added(refused)
            reservations.drop(refused)
            a.take(4.0)
            with pytest.raises(LogError):
                kept.drew(io.Drawn(a.tag, a.drawn), 0)
        b.take(1.0)
        kept.drew(io.Drawn(b.tag, b.drawn), 0)
        again, _ = reserved_log(folder)                    # killed, and started
        assert {r.wanted.name: r.drawn for r in again.by_name.values()} == {"a": 4.0, "b": 1.0}


def test_a_folder_that_cannot_be_synced_is_a_log_error(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """It ended the task that tidies the reservations, for good and unheard."""
    _, kept = reserved_log(tmp_path)
    Disk(monkeypatch, "open", after=1, code=errno.EMFILE)
    with pytest.raises(LogError):
        kept.log.rewrite([])


def test_a_half_written_file_is_never_in_place(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    state_folder.put_file(tmp_path / "f", b"old")
    for after in range(3):
        with monkeypatch.context() as patch:
            Disk(patch, "open", "write", "fsync", "rename", after=after)
            with pytest.raises(OSError):
                state_folder.put_file(tmp_path / "f", b"new")
        assert (tmp_path / "f").read_bytes() == b"old"
