"""How long a watch of discovery waits for what, and how that adds up to less than what discovery allows.

Whatever discovery has to tell counts as told `TOLD_S` after it had it and could be reached, and
`MOVED_TOLD_S` after a new configuration names another discovery.  Each of these waits is a part of that
budget; `tests/net/test_watch_budget.py` adds them up in the worst order and plays it,
`tests/net/test_late_discovery.py` plays answers that are late.

A call with no answer yet may hang or be late, and nothing tells which.  So when it is overdue another call is
opened beside it, and the first of them that is answered counts.
"""

from __future__ import annotations

import random

TOLD_S = 6.0  # from a change, or from the moment a watch fell silent, until it counts as told
MOVED_TOLD_S = 4.0  # from a new configuration, until what the discovery that it names has counts as told
RESERVE_S = 0.5  # of that for a busy loop, late timers and a slow list
KEEP_ALIVE_S = 2.0  # discovery says something at least so often

SILENCE_S = 2.5  # without a line: one keep-alive, and 0.5 s for its being late
DIAL_S = 1.0  # until a dial is overdue; on the balancer's own machine it comes up at once
SOON_DIALS = 2  # calls open, up to which that holds; beside more a dial may take as long as an answer
# From a call's beginning until its answer is overdue, the answer being its first whole line, be it blank.
# It comes at once where there is something to tell; a server that has nothing may leave it at its first
# keep-alive.
ANSWER_S = 2.1
ANSWER_SOON_S = 1.2  # of the first call where a silence, or a new configuration, has left less time
PAUSE_OVERDUE_MOST_S = 0.4  # before a call beside one that is overdue
CALLS_MOST = 4  # open at once: one that is not overdue, the oldest, and two between them
PATIENCE_S = 15.0  # for an answer; it is looked at as the next call is opened
MESSAGE_S = 3.0  # from a later message's first byte to its last, until it is overdue
LEAST_BYTES_PER_S = 64 << 10  # a long list has this much longer: 200 servers 0.6 s, if it comes so slowly

# Ceilings before the next call where it broke: doubled up to the highest.  What discovery gets while it is
# away may count as told when it is back, and drains have to be kept 1 s later.
PAUSE_S, PAUSE_MOST_S = 0.1, 0.6
PAUSE_SPREAD = 0.5  # the part of a ceiling that is left to chance
# Ceilings where discovery answered, but had no room for one more, each with the part left to chance.  The
# third spreads a fleet that was refused at one moment over the whole pause; the last one keeps it spread.
REFUSED_MOST_S = 4.3
REFUSED = ((0.8, 0.5), (1.6, 0.5), (REFUSED_MOST_S, 0.9), (REFUSED_MOST_S, 0.05))


# A call that would come later than this after a move, because of a refusal, is made at a moment in between.
MOVED_CALL_S = (MOVED_TOLD_S - 0.4, MOVED_TOLD_S + 0.4)
MOVED_PAUSE_S = 0.4  # the shortest pause before such a call, where that leaves it within these


class BackOff:
    """How long to wait before a watch is opened again: ever longer, and each balancer at its own moment.

    Discovery is one service for all.  A break costs it nothing, so that one is mended at once; a refusal says
    that it has more calls than it can answer, and calls that come again at once are what keeps it there.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._moved_s: float | None = None  # when another discovery was named
        self.heard()

    def heard(self) -> None:
        """The last watch was of use."""
        self._pause_s = PAUSE_S
        self._refusals = 0

    def moved(self, now_s: float) -> None:
        """Another discovery is asked from now on, whose news counts as told `MOVED_TOLD_S` later."""
        self.heard()
        self._moved_s = now_s

    def seconds(self, refused: bool, most_s: float = PAUSE_MOST_S) -> float:
        """The pause after this break: never more than its ceiling, or `most_s` where it was no refusal."""
        if refused:
            ceiling_s, spread = REFUSED[min(self._refusals, len(REFUSED) - 1)]
            self._refusals += 1
        else:
            ceiling_s, spread = min(self._pause_s, most_s), PAUSE_SPREAD
            self._pause_s = min(PAUSE_MOST_S, ceiling_s * 2)
        return ceiling_s * (1 - spread * self._random.random())

    def next_call_s(self, now_s: float, refused: bool) -> float:
        """When to call again after a break at `now_s`."""
        call_s = now_s + self.seconds(refused)
        if self._moved_s is None:
            return call_s
        earliest_s, latest_s = (self._moved_s + s for s in MOVED_CALL_S)
        if call_s <= latest_s or now_s >= self._moved_s + MOVED_TOLD_S:
            return call_s
        earliest_s = min(max(earliest_s, now_s + MOVED_PAUSE_S), latest_s)
        return earliest_s + (latest_s - earliest_s) * self._random.random()
