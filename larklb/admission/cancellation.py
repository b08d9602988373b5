"""What ends a client's request before its answer, and what that does to its work: one table for all causes.

No input or output. ``RequestWork`` in the gateway carries out what stands here. Routes are safe or unsafe; an
answer is held until its last byte, so a long one is treated as its route says.
"""

from __future__ import annotations

from enum import Enum


class Cause(Enum):
    """What ends the work on a request."""

    CLIENT_GONE = "client_gone"  # its client has closed or reset the connection
    DEADLINE = "deadline"  # the time that its client gave is used up
    ROUTE_TIMEOUT = "route_timeout"  # the time that its route allows is used up
    OTHER_ANSWERED = "other_answered"  # of two attempts the other one has brought the answer
    SHUTDOWN = "shutdown"  # the grace of an orderly stop is used up


class Phase(Enum):
    """How far a request, or one attempt of it, has come."""

    QUOTA = "quota"  # its tenant's quota is asked
    CHOOSING = "choosing"  # before an attempt, or between two
    DIALLING = "dialling"  # an attempt has no connection yet: nothing has been sent
    WAITING = "waiting"  # an attempt was sent, at least in part, and is not answered


class Action(Enum):
    """What becomes of the work. In each case no further attempt follows."""

    STOP = "stop"  # nothing is out, and nothing will be sent
    ABORT = "break_off"  # the connection to the server is closed: it may drop the work
    FINISH = "finish"  # the attempt goes on to its end


TIMEOUT_CAUSES = frozenset({Cause.DEADLINE, Cause.ROUTE_TIMEOUT})

# An unsafe request that was sent goes on without its client: it may run only once, and broken off it could be
# neither counted on nor sent again. Its server stops by itself at the time left that it was told.
_SENT: dict[Cause, tuple[Action, Action]] = {
    #                      safe              unsafe
    Cause.CLIENT_GONE: (Action.ABORT, Action.FINISH),
    Cause.DEADLINE: (Action.ABORT, Action.ABORT),
    Cause.ROUTE_TIMEOUT: (Action.ABORT, Action.ABORT),
    Cause.OTHER_ANSWERED: (Action.ABORT, Action.FINISH),
    Cause.SHUTDOWN: (Action.ABORT, Action.ABORT),
}


def action_for(cause: Cause, phase: Phase, *, safe: bool) -> Action:
    """What ``cause`` does to a request, or to one attempt of it, in ``phase``."""
    if phase is not Phase.WAITING:
        return Action.STOP
    return _SENT[cause][0 if safe else 1]
