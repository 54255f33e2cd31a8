"""What requests are about: a few keys far more popular than the rest (Zipf), and some never seen before."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from random import Random


class Keys:
    """`count` keys, the n-th most popular asked for in proportion to n ** -exponent.

    `fresh` is the part of the wishes that have a key of their own.  Names tell nothing of popularity: `rng`
    shuffles them once.
    """

    def __init__(self, count: int, exponent: float, rng: Random, fresh: float = 0.0) -> None:
        if count < 1:
            raise ValueError(f"count: {count!r}: there must be at least 1 key")
        numbers = list(range(count))
        rng.shuffle(numbers)
        self.names = [f"f{number:04x}" for number in numbers]  # the most popular first
        self._ends = list(accumulate(float((rank + 1) ** -exponent) for rank in range(count)))
        self._fresh = fresh

    def part(self, rank: int) -> float:
        """Of the wishes that have a known key, those that have this one; ranks start at 0."""
        before = self._ends[rank - 1] if rank else 0.0
        return (self._ends[rank] - before) / self._ends[-1]

    def draw(self, rng: Random) -> str:
        if self._fresh and rng.random() < self._fresh:
            return f"n{rng.getrandbits(48):012x}"
        return self.names[bisect_left(self._ends, rng.random() * self._ends[-1])]
