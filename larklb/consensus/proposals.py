"""Operators' calls at the leader: judged against what is committed, answered after a majority's word."""

from __future__ import annotations

from typing import Any

from larklb.consensus.calls import FULL, UNKNOWN
from larklb.consensus.errors import RefusedError
from larklb.consensus.history import Repeat
from larklb.consensus.interface import Answer, Call
from larklb.consensus.log import encode
from larklb.consensus.state import ReplicaState, version_of


class Proposals(ReplicaState):
    """What becomes of changes and reads."""

    def call(self, now: float, ticket: str, call: Call) -> None:
        """An operator's call, answered by ``ticket`` through ``ready`` within 800 ms."""
        self._now = max(self._now, now)
        if call.kind not in ("replace", "amend", "read"):
            self._answers.append((ticket, Answer(400, f"no call of the kind {call.kind}")))
        elif not self.is_leader:
            self._answers.append((ticket, Answer(503, "not the leader: try again")))
        elif not self._calls.add(self._now, ticket, call, self._round + 1):
            self._answers.append((ticket, FULL))
        elif call.kind == "read":
            self._push = True
        else:
            self._judge()

    def _confirm(self, answered: int) -> None:
        """A majority has answered a round in this term: when that round was sent, this was the only leader,
        and what was committed here the newest. Answers whatever had come before."""
        while self._rounds and self._rounds[0][0] <= answered:
            self._quorum_at = max(self._quorum_at, self._rounds.popleft()[1])
        if not self.settled:
            return
        reads, verdicts = self._calls.confirmed(answered)
        self._answer_all([waiting.ticket for waiting in reads], Answer(200, "", self.current))
        for waiting in verdicts:
            if waiting.verdict is not None:
                self._answers.append((waiting.ticket, waiting.verdict))

    def _answer_appended(self) -> None:
        waiting = self._calls.appended
        if waiting is not None and waiting.at <= self._log.commit:
            self._calls.appended = None
            self._answers.append((waiting.ticket, Answer(200, "taken")))

    def _judge(self) -> None:
        """Take the next changes, while none is open: each is judged against what is committed."""
        while self.settled and self._calls.changes and not self._log.pending("document"):
            waiting = self._calls.changes.popleft()
            answer = self._verdict(waiting.call)
            if isinstance(answer, Answer):
                # Not answered yet: a newer leader may have taken what this one doesn't know of.
                self._push = True
                if not self._calls.judged(waiting, answer, self._round + 1):
                    self._answers.append((waiting.ticket, FULL))
                continue
            waiting.at = self._append(
                "document", document=answer, identity=waiting.call.identity, encoded=encode(answer)
            )
            self._calls.appended = waiting

    def _verdict(self, call: Call) -> Answer | dict[str, Any]:
        """The new document, or the answer that refuses or repeats."""
        if call.base != self.version:
            repeat = self._log.state.history.judge(call.base, call.identity, self.version)
            if repeat is Repeat.TAKEN:
                return Answer(200, "taken")
            if repeat is Repeat.UNKNOWN:
                return UNKNOWN
            return Answer(412, f"version {self.version} is current")
        try:
            document = self._apply(self.current, call)
        except RefusedError as error:
            return Answer(error.status, error.text, problems=error.problems)
        if not version_of(document) > self.version:
            return Answer(400, "the version isn't above the current one")
        return document
