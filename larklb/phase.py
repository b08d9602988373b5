"""Whether an instance takes new work: the one state that DRAIN, UNDRAIN, SIGTERM, /healthz and READY go by.

No input or output: the table below is the whole of it.  ``starting`` listens to nobody yet; ``serving`` takes
all; ``draining`` says no to the front, serves what comes all the same and lets its connections go;
``stopping`` does the same on its way to the end, from which there is no way back.
"""

from __future__ import annotations

from enum import Enum

# Time in ms from the start of a drain until idle connections are closed; by then the load balancer in front
# has stopped sending new requests here.
IDLE_CLOSE_DELAY = 700.0


class State(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"


# (state, what happens): the state that follows.  What is not here changes nothing and is turned down.
_MOVES = {
    (State.STARTING, "started"): State.SERVING,
    (State.STARTING, "drain"): State.DRAINING,
    (State.SERVING, "drain"): State.DRAINING,
    (State.DRAINING, "drain"): State.DRAINING,          # a repeat is harmless, and keeps the first one's time
    (State.DRAINING, "undrain"): State.SERVING,
    (State.SERVING, "undrain"): State.SERVING,
    (State.STARTING, "stop"): State.STOPPING,
    (State.SERVING, "stop"): State.STOPPING,
    (State.DRAINING, "stop"): State.STOPPING,
    (State.STOPPING, "stop"): State.STOPPING,
}


class Phase:
    """The state of one instance and since when it has held, in ms of the caller's clock."""

    def __init__(self, now: float) -> None:
        self.state, self.since = State.STARTING, now

    def move(self, event: str, now: float) -> bool:
        """``started``, ``drain``, ``undrain`` or ``stop``; False, with no change, where it makes no sense."""
        after = _MOVES.get((self.state, event))
        if after is None:
            return False
        if after is not self.state:
            self.state, self.since = after, now
        return True

    @property
    def ready(self) -> bool:
        """Whether the front may send its clients here."""
        return self.state is State.SERVING

    @property
    def leaving(self) -> bool:
        """Whether a connection ends with the answer that it carries now."""
        return self.state in (State.DRAINING, State.STOPPING)

    def closes_idle_connections(self, now: float) -> bool:
        """Whether connections that carry no job are to be closed."""
        return self.leaving and now - self.since >= IDLE_CLOSE_DELAY
