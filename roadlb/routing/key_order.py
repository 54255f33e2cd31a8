"""A key's weighted rendezvous order of the servers, alike in every process."""

from __future__ import annotations

from collections.abc import Iterable

HASH = (1 << 30) - 1
MORE = 4  # so many more than are asked for are looked at, in the mean


def mix(x: int) -> int:
    """Scatter an integer over 64 bits, alike in every process (splitmix64)."""
    x = (x + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ x >> 30) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ x >> 27) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return x ^ x >> 31


class KeyOrder:
    """Of servers in a fixed order, by (their hash, 0..HASH; the inverse of their weight)."""

    __slots__ = ("_near", "_servers")

    def __init__(self, servers: Iterable[tuple[int, float]] = ()) -> None:
        self._servers = list(servers)
        self._near = sum(1 / inverse for _, inverse in self._servers) or 1.0

    def first(self, key: int, count: int) -> list[int]:
        """The positions of the first `count` servers of a key's order."""
        k = mix(key)
        low, odd = k & HASH, k >> 34 | 1
        most = (count + MORE) * HASH / self._near
        distance = [((h ^ low) * odd & HASH) * inverse for h, inverse in self._servers]
        near = [i for i, d in enumerate(distance) if d < most]
        if len(near) < min(count, len(distance)):
            near = list(range(len(distance)))
        near.sort(key=distance.__getitem__)
        return near[:count]
