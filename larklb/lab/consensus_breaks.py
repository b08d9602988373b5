"""Replicas with a seeded fault, each of which the exhaustive check must detect."""

from __future__ import annotations

from typing import Any

import msgspec
from attrs import evolve

from larklb.consensus.history import ChangeOutcome
from larklb.consensus.interface import Call, Ready
from larklb.consensus.log import Log
from larklb.consensus.messages import AppendEntries, InstallSnapshot, VoteRequest
from larklb.consensus.replica import Replica
from larklb.lab.consensus_machines import CoarseRounds


class SendsBeforeSave(CoarseRounds):
    """Sends messages before the save that they depend on is durable."""

    _late: Ready | None = None

    def ready(self) -> Ready | None:
        if self._late is not None:
            late, self._late = self._late, None
            return late
        ready = super().ready()
        if ready is not None and ready.save:
            self._late = Ready(ready.save)
            return Ready(None, ready.messages)
        return ready


class VotesForAll(CoarseRounds):
    """Votes for every candidate in a term."""

    def _on_vote_request(self, sender: str, message: VoteRequest) -> None:
        if message.term == self.term:
            self._hard_state.vote = ""
        super()._on_vote_request(sender, message)


class IgnoresBase(CoarseRounds):
    """Doesn't compare the base of a change."""

    def _evaluate(self, call: Call) -> Any:
        repeat = self._log.state.history.outcome_of(call.base, call.identity, self.version)
        base = call.base if repeat is ChangeOutcome.APPLIED else self.version
        return super()._evaluate(Call(call.kind, base, call.body, call.identity))


class AcceptsOlderSnapshots(CoarseRounds):
    """Installs a snapshot older than its committed log."""

    def _on_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        if message.term == self.term and message.snapshot["index"] < self._log.commit_index:
            self._log = Log(self._hard_state.group_id)
        super()._on_snapshot(sender, message)


class FollowsOldTerms(CoarseRounds):
    """Follows leaders of older terms."""

    def _accept_leader(self, sender: str, message: AppendEntries | InstallSnapshot) -> bool:
        newest = max(message.term, self.term)
        return super()._accept_leader(sender, msgspec.structs.replace(message, term=newest))


class VotesWithBlankDisk(CoarseRounds):
    """Votes with a blank disk; the explorer also lets the emptied disk keep its id."""

    def _may_vote(self) -> bool:
        return True


class ForgetsVote(CoarseRounds):
    """Loses its term and vote at a restart."""

    def __init__(self, *args: Any, **keywords: Any) -> None:
        super().__init__(*args, **keywords)
        hard_state = self._hard_state
        self._hard_state = evolve(hard_state, term=self._log.last_position[0], vote="")


class IgnoresFailedSaves(CoarseRounds):
    """Treats a failed save as durable."""

    def saved(self, ok: bool) -> None:
        super().saved(True)


class RefusesWithoutQuorum(CoarseRounds):
    """Refuses a change at once, without confirmation by a quorum."""

    def _process_changes(self) -> None:
        super()._process_changes()
        for waiting in self._calls.decided:
            if waiting.answer is not None:
                self._answers.append((waiting.ticket, waiting.answer))
        self._calls.decided.clear()


class CountsVotersFromCommit(CoarseRounds):
    """Applies a change of the voters only when committed, and commits it without a quorum."""

    def _advance_commit(self) -> None:
        log = self._log
        if log.has_uncommitted("voters") and self.is_leader:
            self._log.advance(self._durable_index)
        super()._advance_commit()


SEEDED: dict[str, type[Replica]] = {
    "words-before-saves": SendsBeforeSave,
    "votes-for-all": VotesForAll,
    "base-not-compared": IgnoresBase,
    "snapshot-goes-back": AcceptsOlderSnapshots,
    "old-terms-heeded": FollowsOldTerms,
    "blank-disk-votes": VotesWithBlankDisk,
    "vote-forgotten": ForgetsVote,
    "failed-save-counts": IgnoresFailedSaves,
    "refused-from-memory": RefusesWithoutQuorum,
    "group-changes-alone": CountsVotersFromCommit,
}
