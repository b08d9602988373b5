"""One disk's replica of the configuration: a Raft state machine without I/O.

The caller drives it: it passes in ticks, messages and calls, and carries out what ``ready`` returns. Nothing
that depends on the durable state is sent before that state is saved, because each ``Ready`` contains all that
has changed since the last save.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from larklb.consensus.calls import TIMED_OUT
from larklb.consensus.election import Election
from larklb.consensus.errors import ConsensusError, InvalidChangeError, MalformedError
from larklb.consensus.founding_protocol import FoundingProtocol
from larklb.consensus.interface import Answer, Call, Ready
from larklb.consensus.membership_change import MembershipChange
from larklb.consensus.messages import (
    AppendEntries,
    AppendReply,
    Founding,
    FoundingReply,
    InstallSnapshot,
    Message,
    PreVote,
    PreVoteReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
    decode_message,
)
from larklb.consensus.proposals import Proposals
from larklb.consensus.replication import Replication

__all__ = ["Answer", "Call", "ConsensusError", "Ready", "InvalidChangeError", "Replica"]

log = logging.getLogger(__name__)

# Messages that are also handled if they come from a replica of another group.
CROSS_GROUP_MESSAGES = (AppendEntries, InstallSnapshot, Founding, FoundingReply)
# Delay before a failed save is retried.
SAVE_RETRY_MS = 200.0


class Replica(Election, Replication, MembershipChange, Proposals, FoundingProtocol):
    """One disk's replica: dispatches ticks, messages, calls and saves to its parts."""

    def tick(self, now: float, cores: dict[str, str], leaving: frozenset[str] = frozenset()) -> None:
        """Advances the clock to ``now`` (ms) and does what has become due; call it about every 50 ms.

        ``cores`` maps the disk ids of the core machines that were in contact recently to their nodes.
        ``leaving`` holds the disk ids of those that are shutting down or have shut down.
        """
        self._now = max(self._now, now)
        self._liveness.observe(self._now, {**cores, self.disk: self.node}, leaving)
        self._answer_all(self._calls.take_expired(self._now), TIMED_OUT)
        if self._saving_since is not None:
            if self._save_hangs():
                # A replica whose disk hangs must not campaign.
                self._election_deadline = self._random_election_deadline()
                if self.is_leader:
                    self._step_down("its disk hangs")
            return
        if self.is_leader:
            self._leader_tick()
            return
        if self._leader_contact_at + self._timing.election_timeout[1] < self._now:
            self.leader = None
        self._send_proposals()
        if self._now >= self._election_deadline:
            self._start_pre_vote()

    def step(self, now: float, sender: str, message: dict[str, Any]) -> None:
        """Handles a message from the disk ``sender``; a malformed one is ignored."""
        self._now = max(self._now, now)
        if self._saving_since is not None:
            self._inbox.append((sender, message))
        else:
            self._handle(sender, message)

    def ready(self) -> Ready | None:
        """Returns what the caller must do now, or None.

        While a save is in progress only answers are returned. No answer depends on unsaved state: it reports
        what a majority has saved, or that the outcome is unknown.
        """
        if self._answers:
            return self._take_answers()
        if self._saving_since is not None:
            return None
        if self._save_failed_at is not None and self._now - self._save_failed_at < SAVE_RETRY_MS:
            return None
        if self._broadcast_due and self.is_leader:
            self._broadcast()
            if self._answers:  # a group of one disk confirms its round at once
                return self._take_answers()
        save = self._begin_save() if self._dirty else None
        messages = list(self._outbox)
        self._outbox.clear()
        return Ready(save, messages) if save or messages else None

    def saved(self, ok: bool) -> None:
        """Reports the end of the last save: ``ok`` if it is durable, otherwise it has failed."""
        if self._saving_since is None:
            return
        if self._save_hangs():
            self._election_deadline = self._random_election_deadline()
        keys, self._saving_keys, self._saving_since = self._saving_keys, set(), None
        if ok:
            self._save_failed_at = None
            if "log" in keys:
                self._durable_index = self._saving_last_index
        else:
            log.warning("consensus: saving the state of disk %s failed", self.disk)
            self._save_failed_at = self._now
            self._dirty |= keys
            # Unsent messages may depend on the state that is not durable.
            self._outbox.clear()
            if self.is_leader:
                self._step_down("it can't save")
        while self._inbox:
            self._handle(*self._inbox.popleft())
        if self.is_leader:
            self._advance_commit()

    def _handle(self, sender: str, source: dict[str, Any]) -> None:
        handlers: dict[type[Message], Callable[[str, Any], None]] = {
            AppendEntries: self._on_append_entries,
            InstallSnapshot: self._on_snapshot,
            AppendReply: self._on_append_reply,
            PreVote: self._on_pre_vote,
            PreVoteReply: self._on_pre_vote_reply,
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            TimeoutNow: self._on_timeout_now,
            Founding: self._on_founding,
            FoundingReply: self._on_founding_reply,
        }
        try:
            message = decode_message(source)
            if message.disk != sender:
                # The sender's machine may have got a new disk, for which messages of the old one don't count.
                raise MalformedError("it names another disk as its sender")
            if message.group_id == self._hard_state.group_id or isinstance(message, CROSS_GROUP_MESSAGES):
                handlers[type(message)](sender, message)
            elif isinstance(message, PreVote) and self._hard_state.bound:
                # Lets the sender learn that this disk belongs to another group.
                self._send_founding_reply(sender)
        except MalformedError as error:
            log.warning("consensus: ignored a malformed message from disk %s: %s", sender, error)
