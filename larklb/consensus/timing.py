"""The times of a replica, as they follow from the operator's terms.

The base values are for machines that count as in touch after 3 s (``contactMs``) and for replaced ones that
count again after 4 s (``convergenceS``); shorter terms shrink them in proportion, longer ones leave them.
From a leader's loss to a new leader's first commit passes at most ``election[1] + split[1] + election[1]``
plus three round trips and two syncs where one vote is split: 3,100 ms at the base values; without a split,
1,300 ms."""

from __future__ import annotations

from attrs import define

BASE_CONTACT_MS = 3000.0
MIN_SCALE = 0.35  # below it heartbeats would follow each other faster than ticks
SILENCE_FRACTION = 0.6  # of the time in which a successor must count
MIN_SILENCE_MS = 800.0


@define(frozen=True)
class Timing:
    """All in ms.

    ``election``: drawn from this range, the silence after which a follower stands; ``split``: until the next
    try after a vote that went to another; ``quorum``: without an answered round from a majority for so long
    a leader steps down; ``hang``: a save that takes longer counts as a hanging disk; ``silent``: without a
    word for so long a voter may be replaced; ``proposer``: of silence, after which another may propose in
    the place of a founding's proposer; ``scale``: of all but ``silent`` to the base values."""

    heartbeat_interval: float = 150.0
    election_timeout: tuple[float, float] = (700.0, 1300.0)
    split_vote_backoff: tuple[float, float] = (150.0, 500.0)
    quorum_timeout: float = 1000.0
    save_timeout: float = 400.0
    voter_silence: float = 2400.0
    proposer_timeout: float = 5000.0
    scale: float = 1.0

    @classmethod
    def from_bounds(cls, contact_ms: float, convergence_ms: float) -> Timing:
        """For these terms."""
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
