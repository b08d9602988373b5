"""Operators' calls at the leader: evaluated against the committed state, answered once a majority agrees."""

from __future__ import annotations

from typing import Any

from larklb.consensus.calls import OUTCOME_UNKNOWN, TOO_MANY_CALLS
from larklb.consensus.errors import InvalidChangeError
from larklb.consensus.history import ChangeOutcome
from larklb.consensus.interface import Answer, Call
from larklb.consensus.log import encode
from larklb.consensus.state import ReplicaState, version_of


class Proposals(ReplicaState):
    """Processes changes and reads."""

    def call(self, now: float, ticket: str, call: Call) -> None:
        """Accepts an operator's call, which ``ready`` answers under ``ticket`` within 800 ms."""
        self._now = max(self._now, now)
        if call.kind not in ("replace", "amend", "read"):
            self._answers.append((ticket, Answer(400, f"no call of the kind {call.kind}")))
        elif not self.is_leader:
            self._answers.append((ticket, Answer(503, "not the leader: try again")))
        elif not self._calls.add(self._now, ticket, call, self._round + 1):
            self._answers.append((ticket, TOO_MANY_CALLS))
        elif call.kind == "read":
            self._broadcast_due = True
        else:
            self._process_changes()

    def _confirm_round(self, answered: int) -> None:
        """Handles that a majority has answered the round ``answered`` in this term.

        No newer leader had been elected when that round was sent, so that the committed state of this replica
        was the newest. The calls that waited for the round or an earlier one can therefore be answered.
        """
        while self._round_times and self._round_times[0][0] <= answered:
            self._quorum_contact_at = max(self._quorum_contact_at, self._round_times.popleft()[1])
        if not self.has_committed_in_term:
            return
        reads, decided = self._calls.take_confirmed(answered)
        self._answer_all([pending.ticket for pending in reads], Answer(200, "", self.current))
        for pending in decided:
            if pending.answer is not None:
                self._answers.append((pending.ticket, pending.answer))

    def _answer_committed(self) -> None:
        """Answers the appended change if its entry is committed."""
        pending = self._calls.appended
        if pending is not None and pending.awaited <= self._log.commit_index:
            self._calls.appended = None
            self._answers.append((pending.ticket, Answer(200, "taken")))

    def _process_changes(self) -> None:
        """Evaluates the next changes against the committed state, as long as none is uncommitted."""
        while (
            self.has_committed_in_term and self._calls.changes and not self._log.has_uncommitted("document")
        ):
            pending = self._calls.changes.popleft()
            result = self._evaluate(pending.call)
            if isinstance(result, Answer):
                # Answered only after a round, because a newer leader may have applied other changes.
                self._broadcast_due = True
                if not self._calls.add_decided(pending, result, self._round + 1):
                    self._answers.append((pending.ticket, TOO_MANY_CALLS))
                continue
            pending.awaited = self._append(
                "document", document=result, identity=pending.call.identity, encoded=encode(result)
            )
            self._calls.appended = pending

    def _evaluate(self, call: Call) -> Answer | dict[str, Any]:
        """Returns the new document, or the answer if the change is refused or was applied before."""
        if call.base != self.version:
            outcome = self._log.state.history.outcome_of(call.base, call.identity, self.version)
            if outcome is ChangeOutcome.APPLIED:
                return Answer(200, "taken")
            if outcome is ChangeOutcome.UNKNOWN:
                return OUTCOME_UNKNOWN
            return Answer(412, f"version {self.version} is current")
        try:
            document = self._apply(self.current, call)
        except InvalidChangeError as error:
            return Answer(error.status, error.text, problems=error.problems)
        if not version_of(document) > self.version:
            return Answer(400, "the version isn't above the current one")
        return document
