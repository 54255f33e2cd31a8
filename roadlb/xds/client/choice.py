"""Which of several control services is called, and when: in turn, the preferred first, with back-off.

    service   what happens      to        reason
    free      it is called      calling   the next in turn that is free
    calling   a response came   serving   it is there and talks to us
    calling   the call failed   resting   for `PAUSE_US`, doubled each time up to `PAUSE_MOST_US`
    serving   the stream ended  resting   for `PAUSE_US`: a service that has just served is soon back
    resting   its time is over  free

After a short stream the turn goes on to the next: a service that does not lead answers and then ends the
stream, and two of those must not hide a third that does.  After one that lasted for `LONG_US` it begins
with the most preferred again.  Each pause is the mean times 0.5 to 1.5, by the follower's own seed: two
hundred followers that lose one service at one moment do not all call the next one at another.  A stream that
serves is not left because a more preferred service may be back: who tells it has no part in what is true.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TypeAlias

PAUSE_US, PAUSE_MOST_US = 200_000, 5_000_000
LONG_US = 10_000_000


@dataclass(frozen=True, slots=True)
class Free:
    """No stream is open: whom to call?"""


@dataclass(frozen=True, slots=True)
class Served:
    """The service called has sent a response."""


@dataclass(frozen=True, slots=True)
class Ended:
    """The call of it has failed, or its stream has ended."""


Event: TypeAlias = Free | Served | Ended


@dataclass(frozen=True, slots=True)
class Call:
    """Call the service of this number, not before `at_us`."""

    service: int
    at_us: int


class Choice:
    """`handle(now, event) -> actions`; `services`: how many there are, in order of preference."""

    def __init__(self, services: int, seed: int) -> None:
        self._random = Random(seed)
        self._free_at, self._pause = [0] * services, [PAUSE_US] * services
        self._called, self._turn = 0, 0
        self._served_at: int | None = None

    def handle(self, now: int, event: Event) -> list[Call]:
        match event:
            case Free():
                return [self._next(now)]
            case Served():
                self._pause[self._called], self._served_at = PAUSE_US, now
            case Ended():
                self._rest(now)
        return []

    def _next(self, now: int) -> Call:
        """The first in turn that is free, else the one that is free first."""
        count = len(self._free_at)
        in_turn = [(self._turn + i) % count for i in range(count)]
        self._called = min(in_turn, key=lambda service: max(now, self._free_at[service]))
        self._served_at = None
        return Call(self._called, max(now, self._free_at[self._called]))

    def _rest(self, now: int) -> None:
        long = self._served_at is not None and now - self._served_at >= LONG_US
        self._turn = 0 if long else (self._called + 1) % len(self._free_at)
        mean = self._pause[self._called]
        self._pause[self._called] = min(PAUSE_MOST_US, 2 * mean)
        self._free_at[self._called] = now + int(mean * (0.5 + self._random.random()))
