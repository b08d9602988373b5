"""The times of a replica, as they follow from the operator's terms.

The base values are for machines that count as in touch after 3 s (``contactMs``) and for replaced ones that
count again after 4 s (``convergenceS``); shorter terms shrink them in proportion, longer ones leave them.
From a leader's loss to a new leader's first commit passes at most ``election[1] + split[1] + election[1]``
plus three round trips and two syncs where one vote is split: 3,100 ms at the base values; without a split,
1,300 ms."""

from __future__ import annotations

from attrs import define

BASE_CONTACT_MS = 3000.0
LEAST_SCALE = 0.35  # below it heartbeats would follow each other faster than ticks
SILENT_PART = 0.6  # of the time in which a successor must count
LEAST_SILENT_MS = 800.0


@define(frozen=True)
class Timing:
    """All in ms.

    ``election``: drawn from this range, the silence after which a follower stands; ``split``: until the next
    try after a vote that went to another; ``quorum``: without an answered round from a majority for so long
    a leader steps down; ``hang``: a save that takes longer counts as a hanging disk; ``silent``: without a
    word for so long a voter may be replaced; ``proposer``: of silence, after which another may propose in
    the place of a founding's proposer; ``scale``: of all but ``silent`` to the base values."""

    heartbeat: float = 150.0
    election: tuple[float, float] = (700.0, 1300.0)
    split: tuple[float, float] = (150.0, 500.0)
    quorum: float = 1000.0
    hang: float = 400.0
    silent: float = 2400.0
    proposer: float = 5000.0
    scale: float = 1.0

    @classmethod
    def of(cls, contact_ms: float, convergence_ms: float) -> Timing:
        """For these terms."""
        base = cls()
        scale = min(1.0, max(LEAST_SCALE, contact_ms / BASE_CONTACT_MS))
        return cls(
            heartbeat=base.heartbeat * scale,
            election=(base.election[0] * scale, base.election[1] * scale),
            split=(base.split[0] * scale, base.split[1] * scale),
            quorum=base.quorum * scale,
            hang=base.hang * scale,
            proposer=base.proposer * scale,
            scale=scale,
            silent=min(base.silent, max(LEAST_SILENT_MS, SILENT_PART * convergence_ms)),
        )
