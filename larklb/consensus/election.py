"""Elections: pre-votes, votes and leadership transfer.

A replica whose disk is blank grants no vote: it may have granted one in the same term before the disk was
wiped, and a second vote could elect a second leader.
"""

from __future__ import annotations

from larklb.consensus.group import majority
from larklb.consensus.messages import PreVote, PreVoteReply, TimeoutNow, VoteReply, VoteRequest
from larklb.consensus.state import ReplicaState


class Election(ReplicaState):
    """Campaigns for leadership and answers the vote requests of other replicas."""

    def transfer_leadership(self, now: float) -> None:
        """Prepares for the end of this process.

        The replica campaigns no more. If it is the leader, it asks a voter whose log is as long as its own
        to start an election at once.
        """
        self._now = max(self._now, now)
        self._stopping = True
        if not self.is_leader:
            return
        successors = [
            disk
            for disk, peer in self._peers.items()
            if disk in self._log.voters
            and disk not in self._liveness.leaving
            and peer.match_index == self._log.last_index
            and self._now - peer.replied_at < self._timing.quorum_timeout
        ]
        if successors:
            self._send(min(successors), TimeoutNow)

    def _may_vote(self) -> bool:
        """Returns whether this disk may grant a vote, which it may not while it is blank.

        A learner that has saved the log may vote although its own log doesn't list it as a voter yet. Only a
        replica whose log lists it asks for its vote, and the vote counts only there. Without that vote, a
        group in which two disks have added a third would have no majority after the loss of one of the two.
        """
        return self._log.last_index >= 0

    def _may_campaign(self) -> bool:
        """Returns whether this replica may start an election.

        It must be a voter of a group that is known to be founded: its disk is bound to the group, or it has
        proposed the founding itself and all listed disks have accepted. It must also be able to save its
        vote, and must not be shutting down.
        """
        founding_complete = self._hard_state.proposer == self.disk and self._accepted >= set(
            self._hard_state.listed
        )
        is_voter = self.disk in self._log.voters
        return (
            is_voter
            and (self._hard_state.bound or founding_complete)
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
        self._count_votes()

    def _count_votes(self) -> None:
        """Starts the election after a majority of pre-votes, or becomes the leader after one of votes."""
        if len(self._votes & set(self._log.voters)) < majority(len(self._log.voters)):
            return
        if self._role == "pre_candidate":
            self._campaign(False)
        elif self._role == "candidate":
            self._become_leader()

    def _campaign(self, handed: bool) -> None:
        """Requests votes in the next term; ``handed`` is set if the current leader transfers leadership."""
        self._enter_term(self.term + 1)
        self._hard_state.vote, self._hard_state.bound = self.disk, True
        self._role, self._votes = "candidate", {self.disk}
        self._election_deadline = self._random_election_deadline()
        for disk in self._other_voters():
            self._send(disk, VoteRequest, last=self._log.last_position, handed=handed)
        self._count_votes()

    def _on_timeout_now(self, sender: str, message: TimeoutNow) -> None:
        """Starts an election at once, because the leader transfers leadership to this replica.

        Its requests are marked as ``handed``: followers grant them although they have a leader.
        """
        if message.term == self.term and sender == self.leader and self._may_campaign():
            self._campaign(True)

    def _other_voters(self) -> list[str]:
        return [disk for disk in self._log.voters if disk != self.disk]

    def _has_recent_leader(self) -> bool:
        """Returns whether a leader was in contact recently, so that other candidates must be refused.

        Otherwise a replica that merely can't reach the leader could depose it.
        """
        return self.is_leader or self._now - self._leader_contact_at < self._timing.election_timeout[0]

    def _on_pre_vote(self, sender: str, message: PreVote) -> None:
        if not self._may_vote():
            return
        is_eligible = message.proposed > self.term and message.last >= self._log.last_position
        granted = is_eligible and not self._has_recent_leader() and self._save_failed_at is None
        self._send(sender, PreVoteReply, proposed=message.proposed, yes=granted)

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        if not message.yes and message.term > self.term:
            self._enter_term(message.term)
        elif message.yes and self._role == "pre_candidate" and message.proposed == self.term + 1:
            self._votes.add(sender)
            self._count_votes()

    def _on_vote_request(self, sender: str, message: VoteRequest) -> None:
        if not self._may_vote() or self._has_recent_leader() and not message.handed:
            return
        if message.term > self.term:
            self._enter_term(message.term)
        has_vote = message.term == self.term and self._hard_state.vote in ("", sender)
        granted = has_vote and message.last >= self._log.last_position
        if granted:
            self._hard_state.vote, self._hard_state.bound = sender, True
            self._dirty.add("ballot")
            self._election_deadline = self._random_election_deadline()
        self._send(sender, VoteReply, yes=granted)

    def _on_vote_reply(self, sender: str, message: VoteReply) -> None:
        if message.term > self.term:
            self._enter_term(message.term)
        elif message.term < self.term or self._role != "candidate":
            return
        elif message.yes:
            self._votes.add(sender)
            self._count_votes()
        else:
            # The vote may be split: another attempt soon, after a random delay, resolves that.
            self._election_deadline = min(
                self._election_deadline, self._now + self._rng.uniform(*self._timing.split_vote_backoff)
            )
