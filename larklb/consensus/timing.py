"""The timeouts of a replica, derived from the operator's settings.

The base values suit machines that count as lost after 3 s without contact (``contactMs``) and replacements
that must count within 4 s (``convergenceS``). Shorter settings reduce them in proportion, longer ones leave
them as they are.

From the loss of a leader to the first commit of a new one, at most ``election_timeout[1] +
split_vote_backoff[1] + election_timeout[1]`` plus three round trips and two disk syncs pass if one vote is
split: 3,100 ms at the base values. Without a split vote it is 1,300 ms.
"""

from __future__ import annotations

from attrs import define

BASE_CONTACT_MS = 3000.0
# At a smaller scale the heartbeat interval would be shorter than that of the ticks.
MIN_SCALE = 0.35
# Part of the convergence time after which a silent voter may be replaced.
SILENCE_FRACTION = 0.6
MIN_SILENCE_MS = 800.0


@define(frozen=True)
class Timing:
    """The timeouts of a replica, in ms.

    ``heartbeat_interval``: time between two broadcasts of a leader.
    ``election_timeout``: range of the random time without a leader's contact after which a replica campaigns.
    ``split_vote_backoff``: range of the random delay before the next attempt after a refused vote.
    ``quorum_timeout``: a leader steps down if no majority has answered a round for this long.
    ``save_timeout``: a disk counts as hanging if a save takes longer.
    ``voter_silence``: a voter may be replaced after this time without contact.
    ``proposer_timeout``: another founding may be proposed after a disk that the present one needs was silent
    for this long.
    ``scale``: factor, relative to the base values, of all values except ``voter_silence``.
    """

    heartbeat_interval: float = 150.0
    election_timeout: tuple[float, float] = (700.0, 1300.0)
    split_vote_backoff: tuple[float, float] = (150.0, 500.0)
    quorum_timeout: float = 1000.0
    save_timeout: float = 400.0
    voter_silence: float = 2400.0
    proposer_timeout: float = 2500.0
    scale: float = 1.0

    @classmethod
    def from_bounds(cls, contact_ms: float, convergence_ms: float) -> Timing:
        """Returns the timeouts for these settings, both in ms."""
        base = cls()
        scale = min(1.0, max(MIN_SCALE, contact_ms / BASE_CONTACT_MS))
        return cls(
            heartbeat_interval=base.heartbeat_interval * scale,
            election_timeout=(base.election_timeout[0] * scale, base.election_timeout[1] * scale),
            split_vote_backoff=(base.split_vote_backoff[0] * scale, base.split_vote_backoff[1] * scale),
            quorum_timeout=base.quorum_timeout * scale,
            save_timeout=base.save_timeout * scale,
            proposer_timeout=base.proposer_timeout * scale,
            scale=scale,
            voter_silence=min(base.voter_silence, max(MIN_SILENCE_MS, SILENCE_FRACTION * convergence_ms)),
        )
