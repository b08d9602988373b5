"""Durable state: torn tails are truncated, corruption is an error, one process at a time locks a folder."""

from __future__ import annotations

import errno
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from larklb.state import log as state_log
from larklb.state.folder import FolderLockedError, LockedFolder, is_locked, write_file_atomically
from larklb.state.log import MAGIC, Log, LogError, replay
from tests.standins import ROOT

RECORDS = [b"a", b"second record", bytes(range(40)), b"\0" * 9, b"last"]


def write_log(path: Path) -> bytes:
    log = Log(path)
    log.append(RECORDS[:2])
    log.append(RECORDS[2:])
    log.sync()
    log.close()
    return path.read_bytes()


def test_log_truncated_at_any_byte_yields_the_complete_records(tmp_path: Path) -> None:
    data = write_log(tmp_path / "log")
    ends = [len(MAGIC)]
    for r in RECORDS:
        ends.append(ends[-1] + 8 + len(r))
    for cut in range(len(data) + 1):
        path = tmp_path / "cut"
        path.write_bytes(data[:cut])
        whole = sum(end <= cut for end in ends[1:])
        log = Log(path)
        assert log.records == RECORDS[:whole] and log.torn == (cut - ends[whole] if cut >= 8 else cut)
        log.append([b"goes on"])
        log.close()
        assert replay(path).records == [*RECORDS[:whole], b"goes on"]


def test_any_changed_byte_is_a_torn_tail_or_an_error(tmp_path: Path) -> None:
    """Only damage to the last record may count as a torn tail; no damaged record is ever returned."""
    data = write_log(tmp_path / "log")
    last = len(data) - 8 - len(RECORDS[-1])
    for at in range(len(data)):
        path = tmp_path / "changed"
        path.write_bytes(data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1:])
        if at >= last:
            assert replay(path).records == RECORDS[:-1]
        else:
            with pytest.raises(LogError, match="broken at byte|does not begin"):
                replay(path)


def test_trailing_zeros_are_a_torn_tail(tmp_path: Path) -> None:
    data = write_log(tmp_path / "log")
    (tmp_path / "log").write_bytes(data + b"\0" * 4096)
    assert replay(tmp_path / "log") == (RECORDS, len(data), 4096)
    (tmp_path / "empty").write_bytes(b"\0" * 100)
    assert replay(tmp_path / "empty").records == []


def test_full_disk_is_reported_and_leaves_no_partial_append(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write_log(tmp_path / "log")
    log = Log(tmp_path / "log")
    real, free_bytes = os.pwrite, [30]

    def full(fd: int, data: bytes, at: int) -> int:
        if not free_bytes[0]:
            raise OSError(errno.ENOSPC, "no space left on device")
        done = real(fd, bytes(data)[:free_bytes[0]], at)
        free_bytes[0] -= done
        return done

    monkeypatch.setattr(os, "pwrite", full)
    with pytest.raises(LogError, match="no space left"):
        log.append([b"x" * 20, b"y" * 20])
    assert replay(tmp_path / "log").records == RECORDS
    free_bytes[0] = 1000
    log.append([b"there is room again"])
    assert replay(tmp_path / "log").records == [*RECORDS, b"there is room again"]


def test_failed_sync_rejects_further_writes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    log = Log(tmp_path / "log")

    def broken(fd: int) -> None:
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(os, "fsync", broken)
    with pytest.raises(LogError):
        log.sync()
    with pytest.raises(LogError, match="could not be brought to the disk"):
        log.append([b"x"])


@pytest.mark.parametrize("dies_at", ["rewrite.written", "rewrite.synced", "rewrite.renamed", ""])
def test_interrupted_rewrite_leaves_the_old_or_the_new_log_with_later_records(
        tmp_path: Path, dies_at: str) -> None:
    class DiedError(Exception):
        pass

    def step(name: str) -> None:
        if name == dies_at:
            raise DiedError

    path = tmp_path / "log"
    write_log(path)
    log = Log(path, step)
    log.append([b"before"])
    new = [b"sum of all"]
    try:
        log.begin_rewrite(new)
        log.append([b"meanwhile"])
        new.append(b"meanwhile")
        log.sync_rewrite()
        log.swap()
        log.append([b"after"])
        new.append(b"after")
    except DiedError:
        pass
    old = [*RECORDS, b"before", *new[1:]]
    assert replay(path).records == (old if dies_at in ("rewrite.written", "rewrite.synced") else new)


def test_folder_is_locked_by_one_process_and_released_by_its_death(tmp_path: Path) -> None:
    code = ("import sys, pathlib; from larklb.state.folder import LockedFolder; "
            "f = LockedFolder(pathlib.Path(sys.argv[1])); print('held', flush=True); sys.stdin.read()")
    other = subprocess.Popen([sys.executable, "-c", code, str(tmp_path)], cwd=ROOT, stdin=subprocess.PIPE,
                             stdout=subprocess.PIPE)
    assert other.stdout is not None and other.stdout.readline() == b"held\n"
    with pytest.raises(FolderLockedError, match=f"in use by process {other.pid}"):
        LockedFolder(tmp_path)
    assert is_locked(tmp_path)
    other.kill()
    other.communicate()
    assert not is_locked(tmp_path)
    LockedFolder(tmp_path).close()


def test_start_waits_for_a_concurrent_check_of_its_folder(tmp_path: Path) -> None:
    """A check whether an instance runs locks its folder for a moment, and a start at that time failed."""
    LockedFolder(tmp_path).close()
    code = ("import fcntl, sys, time; f = open(sys.argv[1]); fcntl.flock(f, fcntl.LOCK_SH); "
            "print('looks', flush=True); time.sleep(0.4)")
    other = subprocess.Popen([sys.executable, "-c", code, str(tmp_path / "lock")], stdout=subprocess.PIPE)
    assert other.stdout is not None and other.stdout.readline() == b"looks\n"
    with pytest.raises(FolderLockedError):
        LockedFolder(tmp_path)
    assert not is_locked(tmp_path), "a concurrent check is not mistaken for a running instance"
    LockedFolder(tmp_path, patience_s=10.0).close()
    other.communicate()


def test_file_is_replaced_atomically(tmp_path: Path) -> None:
    def dies_at(name: str) -> Callable[[str], None]:
        def step(at: str) -> None:
            if at == name:
                raise InterruptedError
        return step

    write_file_atomically(tmp_path / "f", b"old")
    with pytest.raises(InterruptedError):
        write_file_atomically(tmp_path / "f", b"newer", dies_at("file.written"))
    assert (tmp_path / "f").read_bytes() == b"old"
    with pytest.raises(InterruptedError):
        write_file_atomically(tmp_path / "f", b"newer", dies_at("file.renamed"))
    assert (tmp_path / "f").read_bytes() == b"newer"


def test_excessive_record_length_is_treated_as_corrupt(tmp_path: Path) -> None:
    path = tmp_path / "log"
    path.write_bytes(MAGIC + (state_log.MAX_RECORD_BYTES + 1).to_bytes(4, "big") + b"\0" * 40)
    assert replay(path).records == []
