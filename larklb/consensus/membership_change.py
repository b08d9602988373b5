"""Changes of the voters, one at a time, by log entries. Each is effective from its append on."""

from __future__ import annotations

import logging

from larklb.consensus.group import next_voters
from larklb.consensus.state import ReplicaState

log = logging.getLogger(__name__)

# A learner counts as keeping up for this long after its last reply.
LEARNER_TIMEOUT_MS = 1000.0


class MembershipChange(ReplicaState):
    """Lets the leader add and remove voters, as ``group.next_voters`` determines."""

    def _change_voters(self) -> None:
        """Appends the next change of the voters, if one is due and the previous one is committed."""
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
            log.info("consensus: changing the voters to %s", sorted(voters.values()))
            self._append("voters", voters=voters)
            self._update_peers()
