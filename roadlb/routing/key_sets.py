"""The server sets of keys: LARD's table, and when a server joins a key's set or leaves it.  No I/O.

    the best member's load                    some other's            what follows
    under T_high, nothing waits there         -                       the member takes the request
    above T_high                              below T_low             the other joins the set and takes it
    at 2 T_high                               less                    the same
    it reports more waiting than the mean     half as much waiting    the same, whatever our own count says
    under T_low, not grown for SHRINK_US      -                       the last to join leaves

Own requests in flight tell little where many balancers share the servers: of 200, each has 0.1 of what waits
at a server that is twenty requests behind, and no set would grow while the nodes of hot keys are pushed over.
So what servers report is held against what they report in the mean.  A set that has all of the order it was
given is given twice as much: a key may need more servers than the first few.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

LOW, HIGH = 1.1, 1.5  # T_low and T_high, as multiples of the fleet's mean load ...
FLOOR = 0.4  # ... plus this many requests, below which a count says nothing
CROWD = 2.0  # requests waiting, beyond HIGH times the mean, that make a server crowded
RECENT_US = 10_000_000  # so old a report counts in that mean: who is asked seldom is in it too
ORDER, ORDER_MOST = 8, 64  # servers kept of a key's order, and for a set that has them all
MAX_SETS, SHRINK_US = 4_096, 5_000_000  # the longest unused goes; one that has not grown lately shrinks


class Member(Protocol):
    """What a set must know of a server: its size, and what is in hand there for that size."""

    is_ready: bool
    unit_load: float

    def load(self, now: int, aim_us: int) -> float: ...

    def reported_load(self, now: int, aim_us: int) -> float: ...


S = TypeVar("S", bound=Member)


class KeySet(Generic[S]):
    """The servers that a key's requests go to, and the start of the key's rendezvous order."""

    __slots__ = ("grown", "members", "order", "version")  # mypyc compiles no generic dataclass with slots

    def __init__(self) -> None:
        self.members: list[S] = []
        self.order: list[S] = []
        self.version = -1  # of the server list that `order` was made from
        self.grown = 0

    def join(self, now: int, server: S | None) -> None:
        if server is not None and server not in self.members:
            self.members.append(server)
            self.grown = now


class KeySets(Generic[S]):
    """One balancer's, by key.  `order(key, count)`: the first of a key's servers in their order."""

    def __init__(self, order: Callable[[int, int], list[S]]) -> None:
        self._order, self._sets = order, dict[int, KeySet[S]]()
        self.waiting = 0.0  # what a server reports to be waiting, for its size, on the mean

    def __len__(self) -> int:
        return len(self._sets)

    def __contains__(self, key: int) -> bool:
        return key in self._sets

    def __getitem__(self, key: int) -> KeySet[S]:
        return self._sets[key]

    def use(self, key: int, version: int) -> KeySet[S]:
        """The key's set, now the last in the table to go, without servers that have left by this version."""
        found = self._sets.pop(key, None)
        if found is None:
            if len(self._sets) >= MAX_SETS:
                del self._sets[next(iter(self._sets))]
            found = KeySet()
        self._sets[key] = found
        if found.version != version:
            found.members = [s for s in found.members if s.is_ready]
            found.order = self._order(key, min(ORDER_MOST, max(ORDER, len(found.members))))
            found.version = version
        return found

    def low(self, server: S, mean: float) -> float:
        """T_low of a server, where the fleet's mean load is this."""
        return LOW * mean + FLOOR * server.unit_load / 2

    def suffices(self, now: int, aim_us: int, best: S, mean: float, found: KeySet[S]) -> bool:
        """Does the best member take the request with no look at others?  A set that is too large shrinks."""
        load = best.load(now, aim_us)
        if load > HIGH * mean + FLOOR * best.unit_load or self.crowded(now, aim_us, best):
            return False
        if len(found.members) > 1 and now - found.grown > SHRINK_US:
            found.grown = now
            if load < self.low(best, mean):
                found.members.pop()
        return True

    def crowded(self, now: int, aim_us: int, server: S) -> bool:
        """Does it report clearly more waiting than others do?"""
        return server.reported_load(now, aim_us) > HIGH * self.waiting + CROWD * server.unit_load

    def more(self, key: int, found: KeySet[S]) -> Sequence[S]:
        """Those of the key's order that may join."""
        if len(found.members) >= len(found.order) < ORDER_MOST:
            found.order = self._order(key, 2 * len(found.order))
        return found.order

    def relieves(self, now: int, aim_us: int, other: S | None, best: S, mean: float) -> bool:
        """Is the other so much better off than the best member that it joins?"""
        if other is None:
            return False
        if self.crowded(now, aim_us, best) and 2 * other.reported_load(now, aim_us) < best.reported_load(
            now, aim_us
        ):
            return True
        load, least = best.load(now, aim_us), other.load(now, aim_us)
        high = HIGH * mean + FLOOR * best.unit_load
        return load > high and (least <= self.low(other, mean) or load >= max(2 * high, least))

    def told(self, waiting: Sequence[float]) -> None:
        """Once a second: what each server reported last, for its size, if that is not older than
        RECENT_US."""
        self.waiting = sum(waiting) / len(waiting) if waiting else 0.0
