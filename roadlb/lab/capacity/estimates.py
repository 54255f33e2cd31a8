"""Figures at sizes that were not run, from the lines through those that were; each says where it is from."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from statistics import mean, median

from .fit import Line, fit, upper
from .points import Results
from .runs import CALIBRATION, KEYS


class Basis(Enum):
    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    ASSUMED = "assumed"


ORDER = (Basis.MEASURED, Basis.EXTRAPOLATED, Basis.ASSUMED)  # a sum is no better than its worst part


@dataclass(frozen=True, slots=True)
class Estimate:
    """`half`: of the 95% interval; `note`: slope, points and what else is to be known of it."""

    value: float
    half: float = 0.0
    basis: Basis = Basis.ASSUMED
    note: str = ""

    def __add__(self, other: Estimate) -> Estimate:
        basis = max(self.basis, other.basis, key=ORDER.index)
        return Estimate(self.value + other.value, self.half + other.half, basis, _both(self, other))

    def __sub__(self, other: Estimate) -> Estimate:
        return self + other.times(-1)

    def times(self, factor: float) -> Estimate:
        return replace(self, value=self.value * factor, half=self.half * abs(factor))

    def noted(self, note: str) -> Estimate:
        return replace(self, note=note)


def assumed(value: float, why: str) -> Estimate:
    return Estimate(value, 0.0, Basis.ASSUMED, why)


def _both(one: Estimate, other: Estimate) -> str:
    notes = [note for note in (one.note, other.note) if note]
    return "; ".join(dict.fromkeys(notes))


class Model:
    """The lines of one run."""

    def __init__(self, results: Results) -> None:
        self.results = results

    def line(self, slope: str, figure: str, by: str) -> Line:
        """Through all sizes, or through the upper three where that one bends."""
        points = self.results.series(slope, figure, by)
        whole = fit(points)
        return fit(upper(points)) if whole.bends else whole

    def bends(self, slope: str, figure: str, by: str) -> bool:
        return fit(self.results.series(slope, figure, by)).bends

    def at(self, slope: str, figure: str, size: float, by: str = "balancers") -> Estimate:
        """The mean of what was measured at this size, else the line there."""
        found = [value for x, value in self.results.series(slope, figure, by) if x == size]
        if found:
            spread = (max(found) - min(found)) / 2
            return Estimate(mean(found), spread, Basis.MEASURED, f"{len(found)} points at {size:,.0f}")
        line = self.line(slope, figure, by)
        return Estimate(line.at(size), line.interval(size), Basis.EXTRAPOLATED, self.note(slope, figure, by))

    def more(self, slope: str, figure: str, since: float, until: float, by: str = "balancers") -> Estimate:
        """What comes to a figure from one size to another."""
        line, far = self.line(slope, figure, by), until - since
        return Estimate(
            line.slope * far, line.half * abs(far), Basis.EXTRAPOLATED, self.note(slope, figure, by)
        )

    def each_key(self, figure: str) -> Estimate:
        """What comes to a figure with a key more."""
        line = fit([(p.point.figures["keys"], p.point.figures[figure]) for p in self.results.of(KEYS)])
        note = (
            f"slope of {line.count} points of {line.sizes[0]:,.0f} to {line.sizes[-1]:,.0f} keys, "
            f"off {line.off:.0%}"
        )
        return Estimate(line.slope, line.half, Basis.MEASURED, note)

    def note(self, slope: str, figure: str, by: str) -> str:
        """Slope, points and residuals in words."""
        line, bends = self.line(slope, figure, by), self.bends(slope, figure, by)
        what = "balancer" if by == "balancers" else "server"
        return (
            f"{number(line.slope)} ± {number(line.half)} a {what}, {line.count} points of "
            f"{line.sizes[0]:,.0f} to {line.sizes[-1]:,.0f}, off {line.off:.0%}"
            + (", bends below these" if bends else "")
        )

    def calibrated(self, figure: str) -> float:
        """A real balancer's for a hollow one's in a crowd, by the median of the runs; 1 without a run."""
        real = self.results.single(CALIBRATION, f"{figure}".replace("*", "real"))
        hollow = self.results.single(CALIBRATION, f"{figure}".replace("*", "crowd"))
        return median(real) / median(hollow) if real and hollow else 1.0


def number(value: float) -> str:
    """Three figures, no exponent."""
    if value == 0:
        return "0"
    size = abs(value)
    if size >= 100:
        return f"{round(value, -2 + (size < 10_000) + (size < 1_000)):,.0f}"
    if size >= 10:
        return f"{value:.1f}"
    if size >= 1:
        return f"{value:.2f}"
    return f"{value:.3f}" if size >= 0.01 else f"{value:.1g}" if size >= 0.0001 else "0"


def over(sizes: Sequence[float], of: Callable[[float], Estimate]) -> tuple[Estimate, ...]:
    return tuple(of(size) for size in sizes)
