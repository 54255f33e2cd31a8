"""The keys that a grid node has met lately: the longest unserved is forgotten first."""

from __future__ import annotations

from collections import OrderedDict


class KeyCache:
    """Holds `most` keys, each for `age_us` after it was last served."""

    def __init__(self, most: int, age_us: int) -> None:
        self._most, self._age_us = most, age_us
        self._met: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._met)

    def knows(self, now: int, key: str) -> bool:
        met = self._met.get(key)
        return met is not None and now - met <= self._age_us

    def meet(self, now: int, key: str) -> None:
        """It was served; no key at all is nothing to remember."""
        if not key or self._most < 1:
            return
        self._met[key] = now
        self._met.move_to_end(key)
        if len(self._met) > self._most:
            self._met.popitem(last=False)
