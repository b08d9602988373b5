"""Calls that are passed on, what a core machine says that is cut off, and what a clean build needs."""

from __future__ import annotations

import re
import shlex
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larklb.gateway.forwarding import MOST_PENDING, Forwarding, Word, answer_to
from larklb.gateway.main import HARD_STATE, _open
from larklb.gateway.transport import PROTOCOL, Transport
from larklb.membership.members import GRANTS, Member, Members
from larklb.registry.registry import Server
from larklb.registry.replica import RegistryReplica
from larklb.storage.store import Store

ROOT = Path(__file__).parents[1]
#: Programs of the build command and the Debian packages that bring them; none for those of the base system.
PACKAGE_OF = {"python3": "python3", "pip": "python3-pip", "rm": "", "touch": "", "[": ""}


class Timers:
    """Timers that go off when the test says so."""

    def __init__(self) -> None:
        self.due: list[Callable[[], object]] = []

    def after(self, delay: float, act: Callable[[], object]) -> Timers:
        self.due.append(act)
        return self

    def cancel(self) -> None:
        pass


def forwarding(session: str, sent: list[tuple[str, Word]], timers: Timers) -> Forwarding:
    return Forwarding(session, lambda ip, word: sent.append((ip, word)), timers.after)


def test_only_the_answer_of_the_machine_that_was_asked_settles_a_call() -> None:
    """Not another machine's with the same number, nor one to the process before."""
    before, now = list[tuple[str, Word]](), list[tuple[str, Word]]()
    answers: list[Word | None] = []
    forwarding("old", before, Timers()).ask("10.0.0.1", {"what": "server"}, lambda word: None)
    calls = forwarding("new", now, Timers())
    calls.ask("10.0.0.2", {"what": "operator"}, answers.append)
    to_old, to_new = answer_to(before[0][1], {"st": 200}), answer_to(now[0][1], {"st": 503})
    assert to_old["n"] == to_new["n"], "numbers begin anew in each process"
    assert not calls.answered("10.0.0.2", to_old) and not calls.answered("10.0.0.1", to_new) and not answers
    assert calls.answered("10.0.0.2", to_new) and [a and a["st"] for a in answers] == [503]
    assert not calls.answered("10.0.0.2", to_new) and len(answers) == 1, "once"


def test_calls_without_an_answer_end_and_are_bounded() -> None:
    timers, answers = Timers(), list[Word | None]()
    calls = forwarding("s", [], timers)
    for _ in range(MOST_PENDING + 1):
        calls.ask("10.0.0.1", {}, answers.append)
    assert answers == [None] and len(calls.pending) == MOST_PENDING
    for act in timers.due:
        act()
    assert answers == [None] * (MOST_PENDING + 1) and not calls.pending


def test_words_of_another_protocol_are_not_understood(caplog: pytest.LogCaptureFixture) -> None:
    heard: list[Word] = []
    transport = Transport("n", "127.0.0.1", 0, heard.append)
    for _ in range(2):
        transport._hear({"k": "beat", "s": "old", "f": "127.0.0.2"})
    transport._hear({"k": "beat", "s": "new", "f": "127.0.0.3", "p": PROTOCOL})
    assert [word["s"] for word in heard] == ["new"]
    assert sum("speaks protocol" in record.message for record in caplog.records) == 1


def core_machine(now: float = 0.0) -> RegistryReplica:
    home = RegistryReplica(Member("a", "a", "z", 1, "da"), 1500.0, now)
    home.ready = True
    home.voters = {"da": "a", "db": "b", "dc": "c"}
    return home


def echo(home: RegistryReplica, disk: str, at: float, life: int = 1) -> None:
    home.synced({"k": "synced", "d": disk, "l": life, "t": at})


def test_a_core_machine_that_no_majority_hears_acknowledges_nothing() -> None:
    """Cut one way it hears the others still; frozen, it finds old words in its buffers."""
    home, told = core_machine(), list[bool]()
    echo(home, "db", 500.0)
    assert not home.fenced(1400.0) and home.fenced(1600.0)
    home.heartbeat(1400.0, Server("s", "t", "h:1", "z", 2, sequence=1), told.append)
    home.heartbeat(1600.0, Server("s", "t", "h:1", "z", 2, sequence=2), told.append)
    assert told == [True, False], "the beat goes to one that others hear"
    assert home.registry.of["s"].server.sequence == 2, "what it tells counts all the same"
    echo(home, "db", 5000.0, life=0)
    assert home.fenced(5000.0), "an echo to the process before"
    echo(home, "dc", 5000.0)
    assert not home.fenced(5900.0)
    home.echoed.clear()
    home.tick(9000.0, home.me, home.voters, None, [0, ""])
    home.rows(9000.0, "b", {"k": "rows", "m": [], "v": []})
    assert home.fenced(9000.0), "hearing others is not being heard"


def test_a_fenced_home_sends_its_subscribers_away() -> None:
    home = core_machine()
    beat: dict[str, Any] = {"s": "n", "m": Member("n", "n", "z", 1).row(), "of": ["", 0], "have": 0}
    home.beat(5000.0, "n", beat, [7, "digest"])
    assert [word for ip, word in home.out if ip == "n"] == [{"k": "delta", "l": 1, "wait": True}]


def test_numbers_of_an_older_epoch_lose() -> None:
    """A leader that was frozen grants under its old epoch; the newer one's grants stand."""
    old, new = Members(), Members()
    for members in (old, new):
        for node in "ab":
            members.heard(0.0, Member(node, node, "z", 1), True)
    new.number(2)
    old.number(1)
    for node in "ab":
        old.heard(0.0, new.of[node].member, False)
        new.heard(0.0, old.of[node].member, False)
        assert old.of[node].member == new.of[node].member and new.of[node].member.granted >= 2 * GRANTS


def test_a_folder_without_votes_is_a_blank_disk_under_a_new_id(tmp_path: Path) -> None:
    """It might vote twice in a term under its old one."""
    folder = tmp_path / "disk"
    store = Store(folder)
    first = store.identity()
    store.save({HARD_STATE: b"{}", "log": b"{}"})
    stored, disk = _open(Store(folder), str(folder))
    assert disk == first and stored is not None
    for path in folder.glob(f"{HARD_STATE}-*"):
        path.unlink()
    stored, disk = _open(Store(folder), str(folder))
    assert disk != first and stored is None
    assert Store(folder).identity() == disk, "it keeps that one"


def test_the_packages_are_those_that_the_build_calls() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    called = set[str]()
    for part in re.split(r"&&|\|\|", deploy["build"].replace("(", " ").replace(")", " ")):
        words = [word for word in shlex.split(part) if "=" not in word or word.startswith("-")]
        called.add(words[0])
        if "-m" in words and words[words.index("-m") + 1] == "pip":
            called.add("pip")
    assert called <= set(PACKAGE_OF), "name the package that brings it"
    assert set(deploy["packages"]) == {PACKAGE_OF[name] for name in called} - {""}
