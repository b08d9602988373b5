"""The messages that found a group on blank disks. The ``founding`` module explains why this is safe."""

from __future__ import annotations

from larklb.consensus.founding import HardState, new_group_id
from larklb.consensus.group import majority
from larklb.consensus.log import Log
from larklb.consensus.messages import Founding, FoundingReply
from larklb.consensus.state import ReplicaState

# Interval between two proposals of the same founding.
FOUNDING_RETRY_MS = 300.0


class FoundingProtocol(ReplicaState):
    """Proposes foundings while this disk is not bound to a group, and accepts those of other disks."""

    def propose_founding(self, now: float, cores: dict[str, str]) -> None:
        """Proposes a group of the disks ``cores`` (disk id -> node) and of this one.

        Does nothing while a save is in progress, if this disk is bound to a group, if its present founding
        may still be completed or may not be replaced, or if the list is shorter than 2 x tolerance.
        """
        self._now = max(self._now, now)
        hard_state = self._hard_state
        if hard_state.bound or self._saving_since is not None:
            return
        if hard_state.group_id and not self._awaits_silent_disk(hard_state):
            return
        listed = {**cores, self.disk: self.node}
        group_id = new_group_id(self._rng, hard_state.group_id)
        if self._is_large_enough(listed) and hard_state.may_accept(self.disk, group_id, listed):
            self._accept_founding(group_id, listed, self.disk)

    def _awaits_silent_disk(self, hard_state: HardState) -> bool:
        """Returns whether the present founding needs a disk that was not reported for a while.

        A founding that was proposed by another disk needs that one, which is told who accepts it. One that
        was proposed here needs all disks of its list."""
        needed = hard_state.listed if hard_state.proposer == self.disk else [hard_state.proposer]
        return any(
            disk != self.disk and self._liveness.silent_for(self._now, disk) >= self._timing.proposer_timeout
            for disk in needed
        )

    def _is_large_enough(self, listed: dict[str, str]) -> bool:
        """Returns whether a group of these disks may be founded.

        One disk of 2 x tolerance + 1 may be missing. A majority is then still more than ``tolerance`` disks.
        Two such groups out of 2 x tolerance + 2 machines (with a tolerance of 2 or more) share a disk, so
        that at most one of them gets a leader.
        """
        return len(listed) >= max(1, 2 * self._tolerance)

    def _accept_founding(self, group_id: str, listed: dict[str, str], proposer: str) -> None:
        self._hard_state = HardState(group_id, proposer=proposer, listed=listed)
        self._log = Log.for_new_group(group_id, listed)
        self._durable_index = -1
        self._accepted, self._in_other_groups = {self.disk}, set()
        self._proposed_at = float("-inf")
        # Unsent messages belong to the founding that this one replaces.
        self._outbox.clear()
        self._dirty |= {"ballot", "log"}

    def _send_proposals(self) -> None:
        hard_state = self._hard_state
        if (
            hard_state.bound
            or hard_state.proposer != self.disk
            or self._now - self._proposed_at < FOUNDING_RETRY_MS
        ):
            return
        self._proposed_at = self._now
        self._accepted.add(self.disk)
        for disk in hard_state.listed:
            if disk not in self._accepted:
                self._send(disk, Founding, listed=hard_state.listed)

    def _on_founding(self, sender: str, message: Founding) -> None:
        group_id, listed = message.group_id, message.listed
        acceptable = self._is_large_enough(listed) and self._hard_state.may_accept(
            self.disk, group_id, listed
        )
        if group_id and group_id != self._hard_state.group_id and acceptable:
            self._accept_founding(group_id, listed, sender)
        if self._hard_state.group_id:
            self._send_founding_reply(sender)

    def _send_founding_reply(self, receiver: str) -> None:
        hard_state = self._hard_state
        self._send(
            receiver,
            FoundingReply,
            listed=hard_state.listed,
            proposer=hard_state.proposer,
            bound=hard_state.bound,
            led=self._log.last_index > 0,
        )

    def _on_founding_reply(self, sender: str, message: FoundingReply) -> None:
        group_id, listed = message.group_id, message.listed
        hard_state = self._hard_state
        if message.led and group_id != hard_state.group_id and sender in hard_state.listed:
            self._in_other_groups.add(sender)
            if hard_state.bound and len(hard_state.listed) - len(self._in_other_groups) < majority(
                len(hard_state.listed)
            ):
                # So many listed disks belong to another group that this group, in which this disk has voted,
                # can never get a leader.
                hard_state.bound, hard_state.proposer = False, ""
                self._dirty.add("ballot")
        if hard_state.bound or hard_state.proposer != self.disk or sender not in hard_state.listed:
            return
        if group_id == hard_state.group_id:
            self._accepted.add(sender)
            if self._accepted >= set(hard_state.listed) and self._role == "follower":
                self._start_pre_vote()
        elif message.bound:
            # The sender is bound to a group: give up this founding. That group's leader will add this disk.
            hard_state.proposer = ""
            self._dirty.add("ballot")
        elif hard_state.may_accept(self.disk, group_id, listed):
            self._accept_founding(group_id, listed, message.proposer)
