"""A key's weighted rendezvous order of the servers, which is the same in every process."""

from __future__ import annotations

from collections.abc import Iterable

HASH_MASK = (1 << 30) - 1
EXTRA_CANDIDATES = 4  # servers within the distance limit beyond the number asked for, on average


def splitmix64(x: int) -> int:
    """Scatter an integer over 64 bits, alike in every process."""
    x = (x + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ x >> 30) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ x >> 27) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return x ^ x >> 31


class RendezvousOrder:
    """Ranks servers for any key; they come in a fixed sequence, as (hash, 0..HASH_MASK; 1 / weight)."""

    __slots__ = ("_servers", "_total_weight")

    def __init__(self, servers: Iterable[tuple[int, float]] = ()) -> None:
        self._servers = list(servers)
        self._total_weight = sum(1 / inverse for _, inverse in self._servers) or 1.0

    def first_positions(self, key: int, count: int) -> list[int]:
        """Return the positions, in the given sequence, of the first `count` servers of a key's order."""
        key_hash = splitmix64(key)
        offset, multiplier = key_hash & HASH_MASK, key_hash >> 34 | 1
        # Only servers within this distance are sorted, as long as they are enough.
        max_distance = (count + EXTRA_CANDIDATES) * HASH_MASK / self._total_weight
        distance = [((h ^ offset) * multiplier & HASH_MASK) * inverse for h, inverse in self._servers]
        nearest = [i for i, d in enumerate(distance) if d < max_distance]
        if len(nearest) < min(count, len(distance)):
            nearest = list(range(len(distance)))
        nearest.sort(key=distance.__getitem__)
        return nearest[:count]
