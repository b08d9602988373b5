"""Changes of the voters, one at a time, by entries of the log: each counts from its append on."""

from __future__ import annotations

import logging

from larklb.consensus.group import next_voters
from larklb.consensus.state import ReplicaState

log = logging.getLogger(__name__)

LEARNER_TIMEOUT_MS = 1000.0  # since a newcomer's last message in which it counts as keeping up


class MembershipChange(ReplicaState):
    """The leader's duty to keep as many voters as tolerance asks for."""

    def _change_voters(self) -> None:
        if not self.has_committed_in_term or self._log.has_uncommitted("voters"):
            return
        ready = {
            disk
            for disk, peer in self._peers.items()
            if peer.match_index >= self._log.commit_index and self._now - peer.replied_at < LEARNER_TIMEOUT_MS
        }
        voters = next_voters(
            self._log.voters,
            self.disk,
            ready,
            self._liveness,
            self._now,
            tolerance=self._tolerance,
            silent_ms=self._timing.voter_silence,
        )
        if voters is not None:
            log.info("consensus: the voters become %s", sorted(voters.values()))
            self._append("voters", voters=voters)
            self._update_peers()
