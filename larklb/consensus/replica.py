"""One disk's replica of the configuration: a Raft state machine without I/O.

The caller turns the crank: it gives ticks, messages and calls, and does what ``ready`` asks. Nothing that
depends on the durable state leaves before that state is saved: each Ready holds all that has changed since
the last save.
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

CROSS_GROUP_MESSAGES = (AppendEntries, InstallSnapshot, Founding, FoundingReply)  # also from another one
SAVE_RETRY_MS = 200.0  # until a failed save is tried again


class Replica(Election, Replication, MembershipChange, Proposals, FoundingProtocol):
    """One disk's replica: turns the crank of its parts."""

    def tick(self, now: float, cores: dict[str, str], leaving: frozenset[str] = frozenset()) -> None:
        """To be called about every 50 ms; ``cores``: disk id -> node of the core machines heard lately;
        ``leaving``: disk ids of those that were told to end, or have ended so."""
        self._now = max(self._now, now)
        self._liveness.observe(self._now, {**cores, self.disk: self.node}, leaving)
        self._answer_all(self._calls.take_expired(self._now), TIMED_OUT)
        if self._saving_since is not None:
            if self._save_hangs():
                self._election_deadline = (
                    self._random_election_deadline()
                )  # a disk that hangs mustn't stand for election
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
        """A message from the disk ``sender``; what isn't well formed is ignored."""
        self._now = max(self._now, now)
        if self._saving_since is not None:
            self._inbox.append((sender, message))
        else:
            self._handle(sender, message)

    def ready(self) -> Ready | None:
        """What is to be done now, or None. While a save is under way there may be answers, nothing else: no
        answer depends on what isn't saved (it tells what a majority has, or that nothing is known)."""
        if self._answers:
            return self._take_answers()
        if self._saving_since is not None:
            return None
        if self._save_failed_at is not None and self._now - self._save_failed_at < SAVE_RETRY_MS:
            return None
        if self._broadcast_due and self.is_leader:
            self._broadcast()
            if self._answers:  # of a group of one
                return self._take_answers()
        save = self._begin_save() if self._dirty else None
        messages = list(self._outbox)
        self._outbox.clear()
        return Ready(save, messages) if save or messages else None

    def saved(self, ok: bool) -> None:
        """The save of the last Ready that had one is durable, or (not ``ok``) has failed."""
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
            log.warning("consensus: a save of %s failed", self.disk)
            self._save_failed_at = self._now
            self._dirty |= keys
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
                # By its address alone, a message of the disk that was there before would count for the new.
                raise MalformedError("it is another disk's")
            if message.group_id == self._hard_state.group_id or isinstance(message, CROSS_GROUP_MESSAGES):
                handlers[type(message)](sender, message)
            elif isinstance(message, PreVote) and self._hard_state.bound:
                self._send_founding_reply(sender)
        except MalformedError as error:
            log.warning("consensus: ignored a message from %s: %s", sender, error)
