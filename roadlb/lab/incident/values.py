"""The kinds of values that an incident file holds, and how each is read."""

from __future__ import annotations

from random import Random
from typing import Annotated, Any

from msgspec import Meta, Struct

SECOND_US = 1_000_000

# The bound in each type is what msgspec checks; "nan" fails every one of them.
Share = Annotated[float, Meta(ge=0, le=1)]  # part of a whole
SomeShare = Annotated[float, Meta(gt=0, le=1)]  # part of a whole, not nothing
Seconds = Annotated[float, Meta(ge=0, le=86_400)]  # a rehearsal of over a day is a mistake in units
SomeSeconds = Annotated[float, Meta(gt=0, le=86_400)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]  # a rate, price or weight; infinity is none
Factor = Annotated[float, Meta(gt=0, le=1e6)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
CountOrNone = Annotated[int, Meta(ge=0, le=1_000_000)]
Word = Annotated[str, Meta(min_length=1)]


class Section(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of the file: immutable, every key known."""


class Pair:
    """Two numbers, immutable and compared by value.

    Not a dataclass: msgspec reads those from tables only, and never asks its hook about them.
    """

    __slots__ = ("_first", "_second")
    shape = "[number, number]"

    def __init__(self, first: float, second: float) -> None:
        self._first, self._second = first, second

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Pair)
            and type(other) is type(self)
            and (other._first, other._second) == (self._first, self._second)
        )

    def __hash__(self) -> int:
        return hash((type(self), self._first, self._second))

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self._first:g}, {self._second:g})"


class Range(Pair):
    """A figure known only within bounds: each run draws it anew.  In the file a number, or `[low, high]`."""

    shape = "a number or [lowest, highest]"

    @property
    def low(self) -> float:
        return self._first

    @property
    def high(self) -> float:
        return self._second

    @property
    def middle(self) -> float:
        return (self.low + self.high) / 2

    def draw(self, rng: Random) -> float:
        """Evenly between the bounds."""
        return self.low if self.low == self.high else rng.uniform(self.low, self.high)

    def __str__(self) -> str:
        return f"{self.low:g}" if self.low == self.high else f"{self.low:g} to {self.high:g}"


class Point(Pair):
    """One corner of the arrival rate's course: `[at_s, per_s]` in the file."""

    shape = "[second, requests a second]"

    @property
    def at_s(self) -> float:
        return self._first

    @property
    def per_s(self) -> float:
        return self._second


def decode(wanted: type, value: Any) -> Any:
    """msgspec's hook for `Range` and `Point`; its ValueError becomes an error that names the key."""
    if not issubclass(wanted, Pair):
        raise NotImplementedError(f"{wanted.__name__} cannot be read from a file")
    numbers = [value, value] if wanted is Range and not isinstance(value, list) else value
    if (
        not isinstance(numbers, list)
        or len(numbers) != 2
        or not all(isinstance(n, int | float) and not isinstance(n, bool) for n in numbers)
        or not all(0 <= n <= 1e9 for n in numbers)
    ):
        raise ValueError(f"must be {wanted.shape}, no number under 0, and is {value!r}")
    if wanted is Range and numbers[0] > numbers[1]:
        raise ValueError(f"must have the lowest number first, and is {value!r}")
    return wanted(float(numbers[0]), float(numbers[1]))


def micro(seconds: float) -> int:
    """Seconds as the file has them, in the whole microseconds that everything else counts in."""
    return round(seconds * SECOND_US)
