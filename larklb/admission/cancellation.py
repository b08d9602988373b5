"""Rules for ending a request early: which causes there are, and what each does to work in progress.

This module does no input or output; ``larklb.gateway.request_work`` carries out its decisions.  A request is
safe or unsafe, by its route; only a safe one may run more than once.  Answers are buffered until their last
byte has arrived, so a large answer is treated like any other answer of its route.
"""

from __future__ import annotations

from enum import Enum


class Cause(Enum):
    """The reason for which work on a request ends early."""

    # The client has closed or reset its connection.
    CLIENT_GONE = "client_gone"
    # The deadline set by the client has passed.
    DEADLINE = "deadline"
    # The timeout of the route has passed.
    ROUTE_TIMEOUT = "route_timeout"
    # Another attempt of the same request has returned the answer.
    OTHER_ANSWERED = "other_answered"
    # The grace period of a graceful shutdown is over.
    SHUTDOWN = "shutdown"


class Phase(Enum):
    """The progress of a request, or of one of its attempts."""

    # Waiting for the decision on the tenant's quota.
    QUOTA = "quota"
    # Before the first attempt, or between two attempts.
    CHOOSING = "choosing"
    # An attempt is opening its connection: nothing has been sent.
    DIALLING = "dialling"
    # An attempt has been sent, at least in part, and has not been answered.
    WAITING = "waiting"


class Action(Enum):
    """What happens to the work.  In each case no further attempt is made."""

    # Nothing has been sent, and nothing will be.
    STOP = "stop"
    # Close the connection to the server, which may then drop the work.
    ABORT = "break_off"
    # Let the attempt run to its end.
    FINISH = "finish"


TIMEOUT_CAUSES = frozenset({Cause.DEADLINE, Cause.ROUTE_TIMEOUT})

# An unsafe request that has been sent continues without its client.  It must run at most once, and after an
# abort it would be unknown whether it has run, so that it could be neither relied on nor sent again.  The
# server stops by itself when the remaining time that was sent along with the request is used up.
_ACTIONS_AFTER_SEND: dict[Cause, tuple[Action, Action]] = {
    #                      safe          unsafe
    Cause.CLIENT_GONE: (Action.ABORT, Action.FINISH),
    Cause.DEADLINE: (Action.ABORT, Action.ABORT),
    Cause.ROUTE_TIMEOUT: (Action.ABORT, Action.ABORT),
    Cause.OTHER_ANSWERED: (Action.ABORT, Action.FINISH),
    Cause.SHUTDOWN: (Action.ABORT, Action.ABORT),
}


def action_for(cause: Cause, phase: Phase, *, safe: bool) -> Action:
    """Return what ``cause`` does to a request, or to one attempt of it, in ``phase``."""
    if phase is not Phase.WAITING:
        return Action.STOP
    return _ACTIONS_AFTER_SEND[cause][0 if safe else 1]
