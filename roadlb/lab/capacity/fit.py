"""A straight line through what was measured at several sizes, with all that shows where it is none."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

SIZES_LEAST = 5  # sizes that a slope is drawn through
# A bend: the slope over the upper sizes is so many times that over the lower ones, or less than its inverse,
# and at some size the mean lies so far off the line, as a part of the line's value there.
BEND, OFF = 1.5, 0.1
FEW = {1: 12.706, 2: 4.303, 3: 3.182, 4: 2.776}  # degrees of freedom, too few for the series


@dataclass(frozen=True, slots=True)
class Line:
    """y = intercept + slope * x.

    `half`: of the slope's 95% interval; `off`: the largest distance of a size's mean from the line, as a part
    of the line's value there; `bend`: slope over the upper half of the sizes for that over the lower half.
    """

    intercept: float
    slope: float
    half: float
    off: float
    bend: float
    count: int
    sizes: tuple[float, ...]
    spread: float  # standard deviation round the line
    mean_x: float
    sum_xx: float

    @property
    def bends(self) -> bool:
        return self.off > OFF and not 1 / BEND <= self.bend <= BEND

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x

    def interval(self, x: float) -> float:
        """Half of the 95% interval of the line at x."""
        if not self.sum_xx:
            return 0.0
        width = math.sqrt(1 / self.count + (x - self.mean_x) ** 2 / self.sum_xx)
        return student(self.count - 2) * self.spread * width


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """ValueError where no line can be drawn: under two sizes, or under three points."""
    sizes = sorted({x for x, _ in points})
    if len(sizes) < 2 or len(points) < 3:
        raise ValueError(f"{len(points)} points at {len(sizes)} sizes make no line")
    slope, intercept, mean_x, sum_xx = _least_squares(points)
    rest = sum((y - intercept - slope * x) ** 2 for x, y in points)
    spread = math.sqrt(rest / (len(points) - 2))
    means = [(x, _mean([y for at, y in points if at == x])) for x in sizes]
    off = max(_part(abs(y - intercept - slope * x), intercept + slope * x) for x, y in means)
    half = student(len(points) - 2) * spread / math.sqrt(sum_xx)
    return Line(
        intercept,
        slope,
        half,
        off,
        _bend(means),
        len(points),
        tuple(sizes),
        spread,
        mean_x,
        sum_xx,
    )


def upper(points: Sequence[tuple[float, float]], least: int = 3) -> list[tuple[float, float]]:
    """Those at the largest sizes, which is where a line that bends is drawn on from."""
    sizes = sorted({x for x, _ in points})[-least:]
    return [(x, y) for x, y in points if x in sizes]


def student(freedom: int) -> float:
    """The 97.5% point of Student's t, within 1%."""
    if freedom < 1:
        return math.inf
    if freedom in FEW:
        return FEW[freedom]
    return 1.96 + 2.372 / freedom + 2.82 / freedom**2 + 2.56 / freedom**3


def _least_squares(points: Sequence[tuple[float, float]]) -> tuple[float, float, float, float]:
    mean_x, mean_y = _mean([x for x, _ in points]), _mean([y for _, y in points])
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_xx
    return slope, mean_y - slope * mean_x, mean_x, sum_xx


def _bend(means: Sequence[tuple[float, float]]) -> float:
    if len(means) < 3:
        return 1.0
    half = len(means) // 2
    lower, higher = _least_squares(means[: half + 1])[0], _least_squares(means[half:])[0]
    return higher / lower if lower else math.copysign(math.inf, higher) if higher else 1.0


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _part(distance: float, of: float) -> float:
    return distance / abs(of) if of else (math.inf if distance else 0.0)
