"""The lifecycle state machine of an instance, behind DRAIN, UNDRAIN, SIGTERM, /healthz and READY.

It does no input or output; the transition table below defines it completely.  ``starting`` does not yet
listen; ``serving`` accepts all requests; ``draining`` reports itself as not ready, still serves requests
that arrive and closes its connections; ``stopping`` does the same until the process exits and cannot be left.
"""

from __future__ import annotations

from enum import Enum

# Time in ms from the start of a drain until idle connections are closed; by then the load balancer in front
# has stopped sending new requests here.
IDLE_CLOSE_DELAY = 700.0


class State(Enum):
    """A lifecycle state; the values are part of the operators' interface."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"


# (state, event): the next state.  A pair that is not listed is rejected and changes nothing.
_TRANSITIONS = {
    (State.STARTING, "started"): State.SERVING,
    (State.STARTING, "drain"): State.DRAINING,
    (State.SERVING, "drain"): State.DRAINING,
    (State.DRAINING, "drain"): State.DRAINING,          # a repeated drain keeps the time of the first
    (State.DRAINING, "undrain"): State.SERVING,
    (State.SERVING, "undrain"): State.SERVING,
    (State.STARTING, "stop"): State.STOPPING,
    (State.SERVING, "stop"): State.STOPPING,
    (State.DRAINING, "stop"): State.STOPPING,
    (State.STOPPING, "stop"): State.STOPPING,
}


class Phase:
    """The state of an instance and the time since when it holds, in ms of the caller's clock."""

    def __init__(self, now: float) -> None:
        self.state, self.since = State.STARTING, now

    def move(self, event: str, now: float) -> bool:
        """Applies ``started``, ``drain``, ``undrain`` or ``stop``.

        Returns False, and changes nothing, if the event is not allowed in the present state.
        """
        next_state = _TRANSITIONS.get((self.state, event))
        if next_state is None:
            return False
        if next_state is not self.state:
            self.state, self.since = next_state, now
        return True

    @property
    def ready(self) -> bool:
        """Whether the load balancer in front may send clients here."""
        return self.state is State.SERVING

    @property
    def leaving(self) -> bool:
        """Whether a connection is closed after the answer in progress."""
        return self.state in (State.DRAINING, State.STOPPING)

    def closes_idle_connections(self, now: float) -> bool:
        """Whether connections without a job are to be closed."""
        return self.leaving and now - self.since >= IDLE_CLOSE_DELAY
