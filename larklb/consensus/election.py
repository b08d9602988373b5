"""Elections: pre-votes, votes, and the handing over of leadership. A blank disk never votes."""

from __future__ import annotations

from larklb.consensus.group import majority
from larklb.consensus.messages import PreVote, PreVoteReply, TimeoutNow, VoteReply, VoteRequest
from larklb.consensus.state import ReplicaState


class Election(ReplicaState):
    """How a replica becomes the leader, and whom it votes for."""

    def transfer_leadership(self, now: float) -> None:
        """This machine is about to end: it stands for no election any more, and a leader has the voter whose
        log is as long as its own take its place at once."""
        self._now = max(self._now, now)
        self._stopping = True
        if not self.is_leader:
            return
        able = [
            disk
            for disk, peer in self._peers.items()
            if disk in self._log.voters
            and disk not in self._liveness.leaving
            and peer.match_index == self._log.last_index
            and self._now - peer.replied_at < self._timing.quorum_timeout
        ]
        if able:
            self._send(min(able), TimeoutNow)

    def _may_vote(self) -> bool:
        """Whether this disk may grant a vote: never while it is blank.

        A newcomer that has saved the log may, though its own log doesn't name it a voter yet. Only who has
        it as a voter asks it, and only there its vote counts; without it, a disk that was added by two
        others would leave the group without a majority when one of these is lost."""
        return self._log.last_index >= 0

    def _may_campaign(self) -> bool:
        complete = self._hard_state.proposer == self.disk and self._accepted >= set(self._hard_state.listed)
        voter = self.disk in self._log.voters
        return (
            voter
            and (self._hard_state.bound or complete)
            and self._save_failed_at is None
            and not self._stopping
        )

    def _start_pre_vote(self) -> None:
        self._election_deadline = self._initial_election_deadline()
        self._role, self.leader = "follower", None
        if not self._may_campaign():
            return
        self._role, self._votes = "pre_candidate", {self.disk}
        for disk in self._other_voters():
            self._send(disk, PreVote, proposed=self.term + 1, last=self._log.last_position)
        self._count()

    def _count(self) -> None:
        if len(self._votes & set(self._log.voters)) < majority(len(self._log.voters)):
            return
        if self._role == "pre_candidate":
            self._campaign(False)
        elif self._role == "candidate":
            self._become_leader()

    def _campaign(self, handed: bool) -> None:
        """Ask for votes in the next term; ``handed``: the present leader has asked for it."""
        self._enter_term(self.term + 1)
        self._hard_state.vote, self._hard_state.bound = self.disk, True
        self._role, self._votes = "candidate", {self.disk}
        self._election_deadline = self._random_election_deadline()
        for disk in self._other_voters():
            self._send(disk, VoteRequest, last=self._log.last_position, handed=handed)
        self._count()

    def _on_timeout_now(self, sender: str, message: TimeoutNow) -> None:
        """The leader leaves: an election at once, which followers that still hear it don't refuse."""
        if message.term == self.term and sender == self.leader and self._may_campaign():
            self._campaign(True)

    def _other_voters(self) -> list[str]:
        return [disk for disk in self._log.voters if disk != self.disk]

    def _has_recent_leader(self) -> bool:
        """Whether a leader was heard so lately that one who can't hear it mustn't disturb."""
        return self.is_leader or self._now - self._leader_contact_at < self._timing.election_timeout[0]

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        if not self._may_vote():
            return
        newer = message.proposed > self.term and message.last >= self._log.last_position
        yes = newer and not self._has_recent_leader() and self._save_failed_at is None
        self._send(sender, PreVoteReply, proposed=message.proposed, yes=yes)

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        if not message.yes and message.term > self.term:
            self._enter_term(message.term)
        elif message.yes and self._role == "pre_candidate" and message.proposed == self.term + 1:
            self._votes.add(sender)
            self._count()

    def _on_vote_request(self, sender: str, message: VoteRequest) -> None:
        if not self._may_vote() or self._has_recent_leader() and not message.handed:
            return
        if message.term > self.term:
            self._enter_term(message.term)
        free = message.term == self.term and self._hard_state.vote in ("", sender)
        yes = free and message.last >= self._log.last_position
        if yes:
            self._hard_state.vote, self._hard_state.bound = sender, True
            self._dirty.add("ballot")
            self._election_deadline = self._random_election_deadline()
        self._send(sender, VoteReply, yes=yes)

    def _on_vote_reply(self, sender: str, message: VoteReply) -> None:
        if message.term > self.term:
            self._enter_term(message.term)
        elif message.term < self.term or self._role != "candidate":
            return
        elif message.yes:
            self._votes.add(sender)
            self._count()
        else:
            self._election_deadline = min(
                self._election_deadline, self._now + self._rng.uniform(*self._timing.split_vote_backoff)
            )
