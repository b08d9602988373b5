"""Constants of the decision module."""

from __future__ import annotations

from larklb import interface as io

GIVE_UP_AIM = 0.35         # an unanswered ask is given up after this part: most of the aim is for the work
REPEAT_GAPS = 60.0         # least time between two, as messages of a full inbox
GREETED = 8                # gateways, up to which a start is told in messages of its own: else it rides along
FIRST_GUESS_AIM = 1 / 6    # latency taken for a class before any answer (part of its aim)
JUDGE = 0.25               # weight of one answer in the judgement of its server
IDLE_PART = 0.9            # of the room of all servers: with less out, jobs beyond a quota may go on
SPOILT = 4.0               # slowness that a reset or an answer of no use counts as: the server is there
FORGIVE_MS = 4000.0        # half-life of a judgement with no new answers: a server is then tried again ...
FORGIVE_AIM = 2.5          # ... or so many aims, if they are long: it must outlast the answers it comes from
SUSPECT = 3.0              # so many times slower than the median: work there may be moved elsewhere
LOOKS = 2                  # servers are looked at for a request at the least, where others' work is not seen
DRAWS = 4                  # times so many, before all are looked at: those drawn may be suspect, cold or full
PATIENCE_AIM = 0.25        # attempts are reviewed after this part of the aim
ROOM_START = 6.0           # attempts out, of all gateways, that a server of mean size may have at first
ROOM_LEAST = 4.0           # ... and at the least, so that the learning never starves a server
ROOM_GROW = 0.05           # added for an answer well within the aim while servers are full
ROOM_FAST = 0.5            # ... of its aim or less: the answer was quick
ROOM_SLOW = 0.8            # ... or more: the answer used up most of its aim, and the room shrinks ...
ROOM_SHRINK = 0.9          # ... by this factor
SLACK = 2.0                # times the usual latency that must be left of the aim for a start to be in time


def half_life(settings: io.Settings) -> float:
    """Ms, of judgements."""
    return max(FORGIVE_MS, FORGIVE_AIM * min(c.aim for c in settings.classes))
