"""What is to be passed on: each rumour a bounded number of times, the newest and least told first."""

from __future__ import annotations

from math import ceil, log10

TELL_TIMES = 4  # for each tenfold of members, rounded up: enough for all to hear with 30% lost


def times_told(members: int) -> int:
    """How often one process passes a rumour on."""
    return TELL_TIMES * ceil(log10(members + 1))


class Rumours:
    """At most one rumour for each name: a newer one takes the older one's place."""

    __slots__ = ("_tiers", "_where")

    def __init__(self) -> None:
        self._tiers: list[dict[str, bytes]] = [{}]  # by how often they were told
        self._where: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._where)

    def add(self, name: str, rumour: bytes) -> None:
        if (tier := self._where.get(name)) is not None:
            del self._tiers[tier][name]
        self._tiers[0][name] = rumour
        self._where[name] = 0

    def take(self, room: int, most_times: int) -> list[bytes]:
        """Rumours for one datagram, within so many bytes."""
        taken: list[tuple[str, bytes, int]] = []
        for tier, rumours in enumerate(self._tiers):
            for name, rumour in rumours.items():
                if len(rumour) <= room:
                    room -= len(rumour)
                    taken.append((name, rumour, tier))
                elif room < 24:  # no update is shorter
                    break
        for name, rumour, tier in taken:
            del self._tiers[tier][name]
            if tier + 1 >= most_times:
                del self._where[name]
                continue
            if len(self._tiers) == tier + 1:
                self._tiers.append({})
            self._tiers[tier + 1][name] = rumour
            self._where[name] = tier + 1
        return [rumour for _, rumour, _ in taken]
