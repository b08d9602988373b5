"""Constants of the decision module.

A name that ends in ``_AIMS`` is a multiple of the aim of a service class, which is its latency target in ms.
"""

from __future__ import annotations

from larklb import interface as io

# Time after which an unanswered ask is given up: the rest of the aim is left for the work itself.  It is at
# most a third of the time that the request has left.
ASK_TIMEOUT_AIMS = 0.35
# Minimum interval between reports of unconfirmed counts: the time in which an inbox takes so many messages.
MIN_REPORT_INTERVAL_MESSAGES = 60.0
# Up to so many gateways, a start is announced in messages of its own; with more, the announcement is added to
# messages that are sent anyway.
MAX_ANNOUNCED_GATEWAYS = 8
# Latency assumed for a class before its first answer.
INITIAL_LATENCY_AIMS = 1 / 6
# Weight of one outcome in the moving average of its server's slowness.
JUDGEMENT_WEIGHT = 0.25
# Requests over their quota may be sent while less than this share of the capacity of all servers is in use.
IDLE_LOAD_SHARE = 0.9
# Slowness that a reset or an unreadable answer counts as.  It is lower than MAX_SLOWNESS, because the server
# is reachable.
RESET_SLOWNESS = 4.0
# Half-life of a judgement without new answers, after which a server is tried again.  For long aims it is
# HALF_LIFE_AIMS aims, because it must outlast the answers that it comes from.
MIN_HALF_LIFE_MS = 4000.0
HALF_LIFE_AIMS = 2.5
# A server that is so many times slower than the median is suspect: requests there may be moved elsewhere.
SUSPECT_SLOWNESS = 3.0
# Minimum number of servers that are compared for a request where little load of other gateways is visible.
MIN_CANDIDATES = 2
# Samples that are drawn before all servers are compared: those drawn may be suspect, cold or full.
MAX_SAMPLES = 4
# Time after which an attempt in flight is reviewed; it is reviewed again at intervals of half of it.
REVIEW_AFTER_AIMS = 0.25
# Limit of attempts in flight, from all gateways together, at a server of mean weight: its first value, and a
# lower bound that keeps the adaptation from starving a server.
INITIAL_SERVER_LIMIT = 6.0
MIN_SERVER_LIMIT = 4.0
# The limit grows by SERVER_LIMIT_INCREASE, divided by the visible share of gateways, when an answer took less
# than FAST_ANSWER_AIMS while requests were waiting for a server.  It is multiplied by SERVER_LIMIT_DECREASE
# when an answer took more than SLOW_ANSWER_AIMS, or when a server was full.
SERVER_LIMIT_INCREASE = 0.05
FAST_ANSWER_AIMS = 0.5
SLOW_ANSWER_AIMS = 0.8
SERVER_LIMIT_DECREASE = 0.9
# A request that starts now is expected to be on time if so many times the usual latency is left of its aim.
ON_TIME_LATENCY_FACTOR = 2.0


def judgement_half_life(settings: io.Settings) -> float:
    """The half-life of judgements of servers, in ms."""
    return max(MIN_HALF_LIFE_MS, HALF_LIFE_AIMS * min(c.aim for c in settings.classes))
