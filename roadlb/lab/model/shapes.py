"""How many wishes a second there are, over time."""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
from typing import Protocol


class Shape(Protocol):
    """`rate(at)`: wishes a second at a time in microseconds; never more than `most`."""

    @property
    def most(self) -> float: ...

    def rate(self, at: int) -> float: ...


@dataclass(slots=True, frozen=True)
class Steady:
    per_s: float

    @property
    def most(self) -> float:
        return self.per_s

    def rate(self, at: int) -> float:
        return self.per_s


@dataclass(slots=True, frozen=True)
class Wave:
    """Up and down by `swing` of the mean, once in a period."""

    per_s: float
    swing: float = 0.15
    period_us: int = 20_000_000
    from_us: int = 0

    @property
    def most(self) -> float:
        return self.per_s * (1 + self.swing)

    def rate(self, at: int) -> float:
        return self.per_s * (1 + self.swing * math.sin(2 * math.pi * (at - self.from_us) / self.period_us))


@dataclass(slots=True, frozen=True)
class Swung:
    """Another shape that goes up and down by `swing` of it, once in a period."""

    base: Shape
    swing: float
    period_us: int
    from_us: int = 0

    @property
    def most(self) -> float:
        return self.base.most * (1 + self.swing)

    def rate(self, at: int) -> float:
        turn = 2 * math.pi * (at - self.from_us) / self.period_us
        return self.base.rate(at) * (1 + self.swing * math.sin(turn))


@dataclass(slots=True, frozen=True)
class Burst:
    """Another shape, with `times` as many wishes from `from_us` on for `length_us`."""

    base: Shape
    from_us: int
    length_us: int
    times: float

    @property
    def most(self) -> float:
        return self.base.most * max(1.0, self.times)

    def rate(self, at: int) -> float:
        within = 0 <= at - self.from_us < self.length_us
        return self.base.rate(at) * (self.times if within else 1.0)


@dataclass(slots=True, frozen=True)
class Schedule:
    """Straight lines between points (time, rate) in order of time; level outside of them."""

    points: tuple[tuple[int, float], ...]

    def __post_init__(self) -> None:
        if not self.points or list(self.points) != sorted(self.points, key=lambda p: p[0]):
            raise ValueError("points: give at least one (microseconds, rate), in order of time")

    @property
    def most(self) -> float:
        return max(rate for _, rate in self.points)

    def rate(self, at: int) -> float:
        after = bisect_right(self.points, at, key=lambda p: p[0])
        if after == 0 or after == len(self.points):
            return self.points[after - 1 if after else 0][1]
        (from_us, before), (to_us, then) = self.points[after - 1], self.points[after]
        return before + (then - before) * (at - from_us) / (to_us - from_us)


@dataclass(slots=True, frozen=True)
class Part:
    """A part of another shape: what one hall has of it."""

    base: Shape
    share: float

    @property
    def most(self) -> float:
        return self.base.most * self.share

    def rate(self, at: int) -> float:
        return self.base.rate(at) * self.share
