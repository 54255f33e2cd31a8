"""What clients ask for, and how they behave: the figures that `Traffic` and the tries go by."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

DISTRIBUTIONS = ("fixed", "lognormal", "pareto")


@dataclass(slots=True, frozen=True)
class ClassSpec:
    """One class of requests.  Work in microseconds of a standard core."""

    name: str
    share: float  # of all wishes; shares are compared with one another
    work_us: int  # mean
    distribution: str = "lognormal"
    work_cv: float = 1.0  # standard deviation over mean
    aim_us: int = 500_000
    give_up_us: int = 2_500_000  # a wish's whole time, all tries together
    worth: float = 1.0
    late_worth: float = 0.5  # part of the worth after the aim
    repeatable: bool = True
    body_bytes: int = 0  # of a POST; a class that is safe to repeat uses GET and has none

    def __post_init__(self) -> None:
        if self.distribution not in DISTRIBUTIONS:
            raise ValueError(f"distribution: {self.distribution!r} is not known: give one of {DISTRIBUTIONS}")
        if self.work_us < 0 or self.share < 0 or self.work_cv < 0:
            raise ValueError(f"{self.name}: share, work_us and work_cv must not be below 0")

    @property
    def method(self) -> str:
        return "GET" if self.repeatable else "POST"

    def draw_work_us(self, rng: Random) -> int:
        if self.distribution == "fixed" or not self.work_cv:
            return self.work_us
        if self.distribution == "lognormal":
            variance = math.log1p(self.work_cv**2)
            work = self.work_us * math.exp(rng.gauss(0, math.sqrt(variance)) - variance / 2)
        else:
            # Of a Pareto distribution with shape a the variation is 1 / sqrt(a (a - 2)).
            shape = 1 + math.sqrt(1 + 1 / self.work_cv**2)
            work = self.work_us * (shape - 1) / shape * rng.paretovariate(shape)
        return max(1, round(work))


@dataclass(slots=True, frozen=True)
class TenantSpec:
    name: str
    share: float  # of the service, as agreed
    usage: float = 1.0  # what it sends, as a multiple of its share


@dataclass(slots=True, frozen=True)
class Habits:
    """How clients try again."""

    try_share: float = 0.4  # a try is given up after this part of the class's give-up time
    retries: int = 3
    wait_us: int = 0  # before a retry
    honour: float = 0.2  # the part of the clients that keep to Retry-After
    retry_after_most_us: int = 1_200_000
    marks_retry: bool = True  # X-Repeat: 1
    once: float = 0.0  # the part that opens a connection for one request only
    hold: float = 0.0  # and of those, the part that keeps it open and silent for good

    def __post_init__(self) -> None:
        if not 0 < self.try_share <= 1:
            raise ValueError(f"try_share: {self.try_share!r} is a part of a class's time: give 0 to 1")
