"""Constants of the decision module."""

from __future__ import annotations

from larklb import interface as io

# an unanswered ask is given up after this part: most of the aim is for the work
ASK_TIMEOUT_AIMS = 0.35
MIN_REPORT_INTERVAL_MESSAGES = 60.0         # least time between two, as messages of a full inbox
# gateways, up to which a start is told in messages of its own: else it rides along
MAX_ANNOUNCED_GATEWAYS = 8
INITIAL_LATENCY_AIMS = 1 / 6    # latency taken for a class before any answer (part of its aim)
JUDGEMENT_WEIGHT = 0.25               # weight of one answer in the judgement of its server
IDLE_LOAD_SHARE = 0.9            # of the room of all servers: with less out, jobs beyond a quota may go on
# slowness that a reset or an answer of no use counts as: the server is there
RESET_SLOWNESS = 4.0
# half-life of a judgement with no new answers: a server is then tried again ...
MIN_HALF_LIFE_MS = 4000.0
# ... or so many aims, if they are long: it must outlast the answers it comes from
HALF_LIFE_AIMS = 2.5
SUSPECT_SLOWNESS = 3.0              # so many times slower than the median: work there may be moved elsewhere
# servers are looked at for a request at the least, where others' work is not seen
MIN_CANDIDATES = 2
# times so many, before all are looked at: those drawn may be suspect, cold or full
MAX_SAMPLES = 4
REVIEW_AFTER_AIMS = 0.25        # attempts are reviewed after this part of the aim
# attempts out, of all gateways, that a server of mean size may have at first
INITIAL_SERVER_LIMIT = 6.0
MIN_SERVER_LIMIT = 4.0           # ... and at the least, so that the learning never starves a server
SERVER_LIMIT_INCREASE = 0.05           # added for an answer well within the aim while servers are full
FAST_ANSWER_AIMS = 0.5            # ... of its aim or less: the answer was quick
SLOW_ANSWER_AIMS = 0.8            # ... or more: the answer used up most of its aim, and the room shrinks ...
SERVER_LIMIT_DECREASE = 0.9          # ... by this factor
# times the usual latency that must be left of the aim for a start to be in time
ON_TIME_LATENCY_FACTOR = 2.0


def judgement_half_life(settings: io.Settings) -> float:
    """Ms, of judgements."""
    return max(MIN_HALF_LIFE_MS, HALF_LIFE_AIMS * min(c.aim for c in settings.classes))
