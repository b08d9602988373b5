"""Forwarded calls, messages between limiters, the fencing of a core machine without contact to a majority of
the core, and the packages that the build needs."""

from __future__ import annotations

import re
import shlex
import tomllib
from collections.abc import Callable
from pathlib import Path

import pytest

from larklb.consensus.state import HARD_STATE, load
from larklb.gateway import messages
from larklb.gateway.disk_contents import open_disk
from larklb.gateway.forwarding import MAX_PENDING_CALLS, CallForwarder
from larklb.gateway.messages import PROTOCOL, CallAnswer, CallResult, Message, OperatorCall, Peek, ServerCall
from larklb.gateway.transport import Transport
from larklb.membership.members import GRANTS_PER_EPOCH, Member, Members
from larklb.registry.messages import MemberHeartbeat, NotReady, RangeRows, RowsUpdate, SyncAck
from larklb.registry.registry import Server
from larklb.registry.replica import RegistryReplica
from larklb.storage.store import Store

ROOT = Path(__file__).parents[1]
# Debian package of each program in the build command, empty for programs of the base system.
PACKAGE_OF = {"python3": "python3", "pip": "python3-pip", "rm": "", "touch": "", "[": ""}


class Timers:
    """Timers that fire when the test calls them."""

    def __init__(self) -> None:
        self.due: list[Callable[[], object]] = []

    def after(self, delay: float, callback: Callable[[], object]) -> Timers:
        self.due.append(callback)
        return self

    def cancel(self) -> None:
        pass


def forwarder(session: str, sent: list[tuple[str, Message]], timers: Timers) -> CallForwarder:
    return CallForwarder(session, lambda ip, message: sent.append((ip, message)), timers.after)


def answer_of(ip: str, call: Message, status: int) -> CallAnswer:
    """Returns the answer to a call as it is received from a machine."""
    assert isinstance(call, ServerCall | OperatorCall)
    answer = messages.with_sender(CallResult(status).answer_to(call), "node", ip)
    assert isinstance(answer, CallAnswer)
    return answer


def test_only_the_answer_of_the_machine_that_was_asked_settles_a_call() -> None:
    """An answer of another machine, or to the previous process, may have the same number: it must be
    ignored."""
    before, after = list[tuple[str, Message]](), list[tuple[str, Message]]()
    answers: list[CallAnswer | None] = []
    forwarder("old", before, Timers()).forward("10.0.0.1", ServerCall(id="s", row=None), lambda answer: None)
    calls = forwarder("new", after, Timers())
    calls.forward("10.0.0.2", OperatorCall(kind="read", base=0, body="", hops=1), answers.append)
    to_old, to_new = answer_of("10.0.0.2", before[0][1], 200), answer_of("10.0.0.2", after[0][1], 503)
    assert to_old.number == to_new.number, "each process numbers its calls from the start"
    assert not calls.handle_answer(to_old) and not calls.handle_answer(
        answer_of("10.0.0.1", after[0][1], 503))
    assert not answers
    assert calls.handle_answer(to_new) and [a and a.result.status for a in answers] == [503]
    assert not calls.handle_answer(to_new) and len(answers) == 1, "a repeated answer is ignored"


def test_calls_without_an_answer_time_out_and_are_bounded() -> None:
    timers, answers = Timers(), list[CallAnswer | None]()
    calls = forwarder("s", [], timers)
    for _ in range(MAX_PENDING_CALLS + 1):
        calls.forward("10.0.0.1", ServerCall(id="s", row=None), answers.append)
    assert answers == [None] and len(calls.pending) == MAX_PENDING_CALLS
    for callback in timers.due:
        callback()
    assert answers == [None] * (MAX_PENDING_CALLS + 1) and not calls.pending


def test_messages_of_another_protocol_version_are_rejected(caplog: pytest.LogCaptureFixture) -> None:
    received: list[Message] = []
    transport = Transport("n", "127.0.0.1", 0, received.append)
    for line in (b'{"k":"beat","s":"old","f":"127.0.0.2"}', b'{"k":"peek","s":"old","f":"127.0.0.2","p":1}'):
        transport._handle_line(line)
    transport._handle_line(b'{"k":"peek","s":"new","f":"127.0.0.3","p":%d}' % PROTOCOL)
    assert [message.sender for message in received] == ["new"]
    assert sum("speaks protocol" in record.message for record in caplog.records) == 1


@pytest.mark.parametrize("line", [
    b"", b"[]", b"{", b"\xff", b'{"k":"unheard of","p":2}', b'{"k":"beat","p":2}',
    b'{"k":"offer","p":2,"cfg":["1","d"]}', b"[" * 5000])
def test_lines_that_are_not_messages_are_counted_and_ignored(line: bytes) -> None:
    received: list[Message] = []
    transport = Transport("n", "127.0.0.1", 0, received.append)
    transport._handle_line(line)
    assert not received and transport.counts["unreadable"] == 1


def test_a_message_is_decoded_as_it_was_encoded() -> None:
    call = OperatorCall(number=7, session="s", kind="replace", base=3, body='{"x": 1}', hops=2)
    for message in (call, CallResult(200, document={"version": 4}).answer_to(call), Peek(), NotReady()):
        sent = messages.with_sender(message, "node", "10.0.0.1")
        assert messages.decode(messages.encode(sent)) == sent


def core_machine(now: float = 0.0) -> RegistryReplica:
    home = RegistryReplica(Member("a", "a", "z", 1, "da"), 1500.0, now)
    home.ready = True
    home.voters = {"da": "a", "db": "b", "dc": "c"}
    return home


def acknowledge_sync(home: RegistryReplica, disk: str, sent_at: float, incarnation: int = 1) -> None:
    home.handle_sync_ack(SyncAck(disk=disk, incarnation=incarnation, sent_at=sent_at))


def test_a_core_machine_that_no_majority_receives_acknowledges_nothing() -> None:
    """A core machine that is cut off in one direction still receives messages, and one that was suspended
    finds old messages in its buffers: neither shows that a majority of the core receives its messages."""
    home, acknowledged = core_machine(), list[bool]()
    acknowledge_sync(home, "db", 500.0)
    assert not home.fenced(1400.0) and home.fenced(1600.0)
    home.server_heartbeat(1400.0, Server("s", "t", "h:1", "z", 2, sequence=1), acknowledged.append)
    home.server_heartbeat(1600.0, Server("s", "t", "h:1", "z", 2, sequence=2), acknowledged.append)
    assert acknowledged == [True, False], (
        "a fenced core machine acknowledges no heartbeat, so that the server tries another one")
    assert home.registry.by_id["s"].server.sequence == 2, (
        "the unacknowledged heartbeat is applied nevertheless")
    acknowledge_sync(home, "db", 5000.0, incarnation=0)
    assert home.fenced(5000.0), "an echo to the previous incarnation does not count"
    acknowledge_sync(home, "dc", 5000.0)
    assert not home.fenced(5900.0)
    home.last_echo.clear()
    home.tick(9000.0, home.local_member, home.voters, None, (0, ""))
    home.handle_rows_update(9000.0, RowsUpdate(sender="b", address="b", members=[], servers=[]))
    assert home.fenced(9000.0), "received messages do not show that a majority receives those of this machine"


def test_a_fenced_home_tells_its_subscribers_that_it_is_not_ready() -> None:
    home = core_machine()
    heartbeat = MemberHeartbeat(sender="n", address="n", member=Member("n", "n", "z", 1).to_row(), of=("", 0),
                                have=0)
    home.handle_heartbeat(5000.0, heartbeat, (7, "digest"))
    assert [message for ip, message in home.outbox if ip == "n"] == [NotReady()]


@pytest.mark.parametrize("ready", [True, False])
def test_rows_make_a_home_ready_if_they_were_compared_with_its_own_digests(ready: bool) -> None:
    """The previous process had more rows, so the rows that differ from its digests are not all that this one
    lacks."""
    for compared in (0, 1):
        home = core_machine()
        home.ready = False
        home.handle_range_rows(10.0, RangeRows(
            sender="b", address="b", ranges=[1], members=[], servers=[], incarnation=5,
            compared=compared, ready=ready, again=True))
        assert home.ready == (ready and compared == home.local_member.incarnation)
        answer = home.outbox[-1][1]
        assert isinstance(answer, RangeRows) and answer.compared == 5 and not answer.again


def test_ring_numbers_of_an_older_epoch_are_overridden() -> None:
    """A leader that was suspended may still grant numbers in its old epoch; those of the newer epoch
    prevail."""
    old, new = Members(), Members()
    for members in (old, new):
        for node in "ab":
            members.update(0.0, Member(node, node, "z", 1), True)
    new.assign_ring_numbers(2)
    old.assign_ring_numbers(1)
    for node in "ab":
        old.update(0.0, new.by_node[node].member, False)
        new.update(0.0, old.by_node[node].member, False)
        assert (old.by_node[node].member == new.by_node[node].member
                and new.by_node[node].member.grant >= 2 * GRANTS_PER_EPOCH)


def test_a_folder_without_votes_is_a_blank_disk_with_a_new_id(tmp_path: Path) -> None:
    """Under its old id it might vote twice in a term."""
    folder = tmp_path / "disk"
    store = Store(folder)
    first = store.identity()
    store.save({HARD_STATE: b"{}", "log": b"{}"})
    contents = open_disk(Store(folder), False)
    assert contents.disk == first and contents.stored is not None
    for path in folder.glob(f"{HARD_STATE}-*"):
        path.unlink()
    contents = open_disk(Store(folder), False)
    assert contents.disk != first and contents.stored is None
    assert Store(folder).identity() == contents.disk, "the new id is stored"
    again = open_disk(Store(folder), False)
    assert again.stored is not None
    assert load(again.stored)[1].last_index == -1, "a log of a group whose votes are lost counts for nothing"


def test_a_blank_disk_keeps_its_id_and_that_it_is_of_the_first_start(tmp_path: Path) -> None:
    """Guards against Fault: a process that was killed before the founding came back with another id, while
    the founding waited for the old one, or with settings by which nobody founded a group."""
    contents = open_disk(Store(tmp_path / "disk"), True)
    assert contents.stored is None and contents.first_start
    again = open_disk(Store(tmp_path / "disk"), False)
    assert again.disk == contents.disk and again.first_start
    assert not open_disk(Store(tmp_path / "new"), False).first_start


def test_the_deploy_file_lists_the_packages_that_the_build_needs() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    called = set[str]()
    for part in re.split(r"&&|\|\|", deploy["build"].replace("(", " ").replace(")", " ")):
        words = [word for word in shlex.split(part) if "=" not in word or word.startswith("-")]
        called.add(words[0])
        if "-m" in words and words[words.index("-m") + 1] == "pip":
            called.add("pip")
    assert called <= set(PACKAGE_OF), (
        "add the Debian package of each program in the build command to PACKAGE_OF")
    assert set(deploy["packages"]) == {PACKAGE_OF[name] for name in called} - {""}
