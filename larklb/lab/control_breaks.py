"""Guards of the control side that can be disabled to check that a simulated day detects their absence."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
from attrs import define, evolve

from larklb.consensus import group, replication
from larklb.consensus.calls import PendingCalls
from larklb.consensus.history import ChangeOutcome, History
from larklb.consensus.interface import Call, Ready
from larklb.consensus.log import Log
from larklb.consensus.messages import PreVote, VoteRequest
from larklb.consensus.replica import Replica
from larklb.gateway.core import Core
from larklb.gateway.forwarding import CallForwarder
from larklb.gateway.messages import CallAnswer
from larklb.registry.departures import Departures
from larklb.registry.replica import RegistryReplica

Change = tuple[Any, str, Any]  # the object, the attribute's name, its value without the guard


@define(frozen=True)
class Break:
    """The replacements that disable a guard, and the scenario and core size (0: any) that must detect it."""

    scenario: str
    changes: Callable[[], list[Change]]
    cores: int = 0


def _refused_from_memory() -> list[Change]:
    confirm_round, original = Replica._confirm_round, Replica._process_changes

    def process_changes(self: Replica) -> None:
        original(self)
        for waiting in self._calls.decided:
            if waiting.answer is not None:
                self._answers.append((waiting.ticket, waiting.answer))
        self._calls.decided.clear()

    return [(Replica, "_process_changes", process_changes), (Replica, "_confirm_round", confirm_round)]


def _read_from_memory() -> list[Change]:
    take_confirmed, call = PendingCalls.take_confirmed, Replica.call

    def call_without_quorum(self: Replica, now: float, ticket: str, request: Call) -> None:
        call(self, now, ticket, request)
        if self.has_committed_in_term:
            self._confirm_round(0)

    return [
        (PendingCalls, "take_confirmed", lambda self, round_: take_confirmed(self, 1 << 60)),
        (Replica, "call", call_without_quorum),
    ]


def _history_of_few() -> list[Change]:
    original = History.outcome_of

    def outcome_of_recent(self: History, base: int, identity: str, current: int) -> ChangeOutcome:
        return original(History(self.changes[-8:], 0), base, identity, current)

    return [(History, "outcome_of", outcome_of_recent)]


def _group_stays_as_founded() -> list[Change]:
    return [(group, "target_voter_count", lambda core_size, tolerance: 2)]


def _answers_by_number_alone() -> list[Change]:
    def handle_answer(self: CallForwarder, answer: CallAnswer) -> bool:
        pending = self.pending.pop(answer.number, None)
        if pending is None:
            return False
        pending.done(answer)
        return True

    return [(CallForwarder, "handle_answer", handle_answer)]


def _sent_before_the_save() -> list[Change]:
    ready = Replica.ready

    def send_before_save(self: Any) -> Ready | None:
        delayed: Ready | None = getattr(self, "_late", None)
        if delayed is not None:
            self._late = None
            return delayed
        current = ready(self)
        if current is not None and current.save:
            self._late = Ready(current.save)
            return Ready(None, current.messages, current.answers)
        return current

    return [(Replica, "ready", send_before_save)]


def _votes_forgotten() -> list[Change]:
    init = Replica.__init__

    def init_without_vote(self: Replica, *arguments: Any, **keywords: Any) -> None:
        init(self, *arguments, **keywords)
        hard_state = self._hard_state
        self._hard_state = evolve(hard_state, term=0, vote="")

    return [(Replica, "__init__", init_without_vote)]


def _older_logs_get_votes() -> list[Change]:
    vote_request = Replica._on_vote_request
    pre_vote = Replica._on_pre_vote

    def with_maximal_log(handler: Any) -> Any:
        def handle(self: Replica, sender: str, message: PreVote | VoteRequest) -> None:
            handler(self, sender, msgspec.structs.replace(message, last=(1 << 40, 1 << 40)))

        return handle

    return [
        (Replica, "_on_vote_request", with_maximal_log(vote_request)),
        (Replica, "_on_pre_vote", with_maximal_log(pre_vote)),
    ]


def _blank_disks_vote() -> list[Change]:
    return [(Replica, "_may_vote", lambda self: True), *_older_logs_get_votes()]


def _base_not_compared() -> list[Change]:
    evaluate = Replica._evaluate

    def evaluate_without_base(self: Replica, call: Call) -> Any:
        outcome = self._log.state.history.outcome_of(call.base, call.identity, self.version)
        base = call.base if outcome is ChangeOutcome.APPLIED else self.version
        return evaluate(self, Call(call.kind, base, call.body, call.identity))

    return [(Replica, "_evaluate", evaluate_without_base)]


def _repeats_not_known() -> list[Change]:
    return [(History, "outcome_of", lambda self, base, identity, current: ChangeOutcome.REJECTED)]


def _told_while_cut_off() -> list[Change]:
    return [(Core, "may_serve_configuration", lambda self, now: self.replica.current is not None)]


def _never_fenced() -> list[Change]:
    return [(RegistryReplica, "fenced", lambda self, now: False), *_told_while_cut_off()]


def _drains_known_to_one() -> list[Change]:
    def acknowledge_at_once(
        self: RegistryReplica, now: float, server: Any, done: Callable[[bool], object]
    ) -> None:
        done(True)

    return [(RegistryReplica, "_acknowledge_on_quorum", acknowledge_at_once)]


def _departures_in_memory() -> list[Change]:
    def forget(self: RegistryReplica) -> None:
        self.stored_departures = None

    return [(RegistryReplica, "_restore_departures", forget)]


def _departures_before_the_save() -> list[Change]:
    def act_at_once(self: Departures, departures: Any, action: Callable[[], object], deadline: float) -> None:
        action()

    return [(Departures, "when_durable", act_at_once)]


def _snapshots_go_back() -> list[Change]:
    def install(self: Log, snapshot: Any) -> bool:
        self.base = self.state = snapshot
        self.entries = []
        return True

    return [(Log, "install", install)]


def _snapshots_not_installed() -> list[Change]:
    return [(Log, "install", lambda self, snapshot: False)]


def _committed_by_fewer() -> list[Change]:
    return [(replication, "majority", lambda size: max(1, size // 2))]


def _no_quorum_for_leading() -> list[Change]:
    def leader_tick(self: Replica) -> None:
        self._update_peers()
        self._change_voters()
        self._advance_commit()
        self._broadcast_due = True

    return [(Replica, "_leader_tick", leader_tick)]


BREAKS: dict[str, Break] = {
    "refused-from-memory": Break("cut", _refused_from_memory),
    "read-from-memory": Break("cut", _read_from_memory),
    "history-of-few": Break("history", _history_of_few),
    "group-stays-as-founded": Break("replacement", _group_stays_as_founded, 3),
    "answers-by-number-alone": Break("answers", _answers_by_number_alone),
    "sent-before-the-save": Break("replacement", _sent_before_the_save),
    "votes-forgotten": Break("history", _votes_forgotten, 3),
    "older-logs-get-votes": Break("history", _older_logs_get_votes, 3),
    "blank-disks-vote": Break("replacement", _blank_disks_vote),
    "base-not-compared": Break("races", _base_not_compared),
    "repeats-not-known": Break("races", _repeats_not_known),
    "told-while-cut-off": Break("cut", _told_while_cut_off),
    "never-fenced": Break("cut", _never_fenced),
    "drains-known-to-one": Break("cut", _drains_known_to_one),
    "departures-in-memory": Break("history", _departures_in_memory),
    "departures-before-the-save": Break("races", _departures_before_the_save),
    "snapshots-go-back": Break("history", _snapshots_go_back, 3),
    "snapshots-not-installed": Break("history", _snapshots_not_installed),
    "committed-by-fewer": Break("replacement", _committed_by_fewer),
    "leads-without-quorum": Break("cut", _no_quorum_for_leading),
}


@contextmanager
def without(name: str) -> Iterator[None]:
    """Disables a guard within the context."""
    changes = BREAKS[name].changes()
    saved = [(owner, attribute, vars(owner).get(attribute)) for owner, attribute, _ in changes]
    try:
        for owner, attribute, value in changes:
            setattr(owner, attribute, value)
        yield
    finally:
        for owner, attribute, value in saved:
            if value is None:  # inherited
                delattr(owner, attribute)
            else:
                setattr(owner, attribute, value)
