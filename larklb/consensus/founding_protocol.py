"""The founding of a group on blank disks, as messages; what makes it safe stands in ``founding``."""

from __future__ import annotations

from larklb.consensus.founding import HardState, new_group_id
from larklb.consensus.group import majority
from larklb.consensus.log import Log
from larklb.consensus.messages import Founding, FoundingReply
from larklb.consensus.state import ReplicaState

FOUNDING_RETRY_MS = 300.0  # between two askings of a founding


class FoundingProtocol(ReplicaState):
    """Proposals of a group, and their acceptance by all of its disks."""

    def propose_founding(self, now: float, cores: dict[str, str]) -> None:
        """Propose the founding of a group of ``cores`` (this one among them); for a disk that has none.

        Also for one that holds a founding whose proposer has been silent for 5 s; else, or with fewer
        than 2 x tolerance, it changes nothing."""
        self._now = max(self._now, now)
        ballot = self._hard_state
        if ballot.bound or self._saving_since is not None:
            return
        if ballot.group_id and (
            ballot.proposer == self.disk
            or self._liveness.silent_for(self._now, ballot.proposer) < self._timing.proposer_timeout
        ):
            return
        listed = {**cores, self.disk: self.node}
        group_id = new_group_id(self._rng, ballot.group_id)
        if self._is_large_enough(listed) and ballot.may_accept(self.disk, group_id, listed):
            self._accept_founding(group_id, listed, self.disk)

    def _is_large_enough(self, listed: dict[str, str]) -> bool:
        """One may be missing from 2 x tolerance + 1: a majority is still more than ``tolerance`` disks, and
        two such groups out of 2 x tolerance + 2 machines (where tolerance is 2 or more) share a disk, so
        that at most one comes about."""
        return len(listed) >= max(1, 2 * self._tolerance)

    def _accept_founding(self, group_id: str, listed: dict[str, str], proposer: str) -> None:
        self._hard_state = HardState(group_id, proposer=proposer, listed=listed)
        self._log = Log.for_new_group(group_id, listed)
        self._durable_index = -1
        self._accepted, self._in_other_groups = {self.disk}, set()
        self._proposed_at = float("-inf")
        self._outbox.clear()
        self._dirty |= {"ballot", "log"}

    def _send_proposals(self) -> None:
        ballot = self._hard_state
        if ballot.bound or ballot.proposer != self.disk or self._now - self._proposed_at < FOUNDING_RETRY_MS:
            return
        self._proposed_at = self._now
        self._accepted.add(self.disk)
        for disk in ballot.listed:
            if disk not in self._accepted:
                self._send(disk, Founding, listed=ballot.listed)

    def _on_founding(self, sender: str, message: Founding) -> None:
        group_id, listed = message.group_id, message.listed
        may = self._is_large_enough(listed) and self._hard_state.may_accept(self.disk, group_id, listed)
        if group_id and group_id != self._hard_state.group_id and may:
            self._accept_founding(group_id, listed, sender)
        if self._hard_state.group_id:
            self._send_founding_reply(sender)

    def _send_founding_reply(self, receiver: str) -> None:
        ballot = self._hard_state
        self._send(
            receiver,
            FoundingReply,
            listed=ballot.listed,
            proposer=ballot.proposer,
            bound=ballot.bound,
            led=self._log.last_index > 0,
        )

    def _on_founding_reply(self, sender: str, message: FoundingReply) -> None:
        group_id, listed = message.group_id, message.listed
        ballot = self._hard_state
        if message.led and group_id != ballot.group_id and sender in ballot.listed:
            self._in_other_groups.add(sender)
            if ballot.bound and len(ballot.listed) - len(self._in_other_groups) < majority(
                len(ballot.listed)
            ):
                # So many are another group's for good that ours, in which we have voted, never gets a leader.
                ballot.bound, ballot.proposer = False, ""
                self._dirty.add("ballot")
        if ballot.bound or ballot.proposer != self.disk or sender not in ballot.listed:
            return
        if group_id == ballot.group_id:
            self._accepted.add(sender)
            if self._accepted >= set(ballot.listed) and self._role == "follower":
                self._start_pre_vote()
        elif message.bound:
            # There is a group: this founding is over, its leader will take us in.
            ballot.proposer = ""
            self._dirty.add("ballot")
        elif ballot.may_accept(self.disk, group_id, listed):
            self._accept_founding(group_id, listed, message.proposer)
