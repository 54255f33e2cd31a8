"""How much work a cold server may get from one of many balancers that share nothing, so that together they
do not push it over.

Each keeps to its part of what servers of that size carry, as far as this one can do that by now, with room
for chance; or to what it was seen to do.  Times are microseconds, work is in the caller's own unit.
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt

CHANCE = 3.0  # standard deviations of room left in a cold server's budget
PROVED = 0.8  # of the multiple of what it was seen to do, a cold server may be sent
REMEMBERED = 0.9  # of what cold servers did, a second later
SLOWEST = 0.6  # of their pace that each is taken to have: some are slower than the rest
FIRST = 1.0  # requests in a fall's time that all together may try an unproved one with


def sure(count: float, deviations: float) -> float:
    """The mean of a count that by chance stays below `count`, but for so many deviations."""
    return float((sqrt(count + deviations * deviations / 4) - deviations / 2) ** 2)


class Pace:
    """What cold servers do for this balancer, for their size and warmth: work done over the time in hand.

    All warm alike, so one pace stands for all of them, whoever met one of them seldom.  A time proves a rate
    that need not be sent for it.  Open requests count with the time they have taken: else the quick ones,
    whose answers come first, would stand for all.  Waiting counts like work, so the pace errs below.
    """

    __slots__ = ("_answers", "_at", "_done", "_held", "_spent")

    def __init__(self) -> None:
        self._done, self._answers = 0.0, 0.0  # work answered, in so many answers
        self._held, self._spent, self._at = 0.0, 0.0, 0  # capacity in hand; its time till `_at`, us

    def hold(self, now: int, capacity: float) -> None:
        """A request is in hand at a server of this capacity; with the capacity negative, no more."""
        self._spent += self._held * (now - self._at)
        self._at, self._held = now, self._held + capacity

    def did(self, work: float) -> None:
        """It was done."""
        self._done += work
        self._answers += 1

    def fade(self) -> None:
        """Once a second: what was is worth less than what is."""
        self._done *= REMEMBERED
        self._answers *= REMEMBERED
        self._spent *= REMEMBERED

    def least(self, now: int) -> float:
        """Work a second that any of them can do for a capacity of 1, but for chance; 0 before an answer."""
        spent = self._spent + self._held * (now - self._at)
        if self._answers <= 0 or spent <= 0:
            return 0.0
        certain = sure(self._answers, CHANCE / 3) / self._answers
        return SLOWEST * certain * self._done / spent * 1e6


class ColdBudget:
    """One server's budget with one balancer, for as long as the server is cold."""

    __slots__ = ("_at", "_left", "_proved", "_proved_at", "passed")

    def __init__(self) -> None:
        self.passed = 0  # times that there was no room
        self._left, self._at = 0.0, 0  # work that it may still be sent; 0: never asked for
        self._proved, self._proved_at = 0.0, 0  # work that it has done for this balancer lately

    def spend(self, work: float) -> None:
        self._left -= work

    def did(self, now: int, work: float, fall_us: int) -> float:
        """It has done this for us: so much at least it can do.  The sum of late, fading with the fall's
        time."""
        self._proved = self._proved / (1 + (now - self._proved_at) / fall_us) + work
        self._proved_at = now
        return self._proved

    def room(
        self,
        now: int,
        carries: float,
        parts: float,
        mean: float,
        multiple: float,
        fall_us: int,
        work: float,
        chance: Callable[[], float],
    ) -> float:
        """What is left for a request of `work`, if that is over 0.

        `carries`: work a second that all balancers together send a server of its size and warmth; `parts`:
        among how many it is divided; `mean`: of one request's work; `multiple`, `fall_us`: it falls if sent
        so many times what it can do for so long; `chance()`: 0..1, each balancer's own, so that their first
        requests fall apart.
        """
        window = multiple * carries * fall_us / 1e6 / mean
        proved = multiple * PROVED * sure(self.did(now, 0, fall_us) / mean, CHANCE / 3)
        rate = max(max(sure(window, CHANCE), FIRST) / parts, proved) * mean / fall_us
        if not self._at:
            self._left, self._at = chance() * mean, now
        self._left = min(mean + rate * fall_us / 4, self._left + rate * (now - self._at))
        self._at = now
        left = self._left - min(work, mean) * 0.999
        self.passed += left <= 0
        return left
