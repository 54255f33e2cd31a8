"""The server sets of keys: the table of LARD, and when a server joins a key's set or leaves it.  No I/O.

    the best member's load                    another server's        what follows
    under T_high, nothing waits there         -                       the member takes the request
    above T_high                              below T_low             the other joins the set and takes it
    at 2 T_high                               less                    the same
    it reports more waiting than the mean     half as much waiting    the same, whatever our own count says
    under T_low, not grown for SHRINK_US      -                       the last to join leaves

A balancer's own requests in flight tell little where many balancers share the servers: of 200, each has 0.1
of what waits at a server that is twenty requests behind, and no set would grow while the servers of hot keys
are overloaded.  So what a server reports is compared with the mean of what all servers report.  A set that
has all of the candidates it was given is given twice as many: a key may need more servers than the first few.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

LOW_FACTOR, HIGH_FACTOR = 1.1, 1.5  # T_low and T_high, as multiples of the fleet's mean load ...
MARGIN_REQUESTS = 0.4  # ... plus this many requests, below which a count tells nothing
CROWDED_REQUESTS = 2.0  # requests waiting, beyond HIGH_FACTOR times the mean, that make a server crowded
RECENT_US = 10_000_000  # a report counts in that mean for so long: also of servers seldom sent to
INITIAL_CANDIDATES, MAX_CANDIDATES = 8, 64  # servers kept of a key's order, and for a set that has all
MAX_SETS, SHRINK_US = 4_096, 5_000_000  # beyond it the longest unused goes; a set that has not grown shrinks


class Member(Protocol):
    """What a key set needs to know of a server: its size, and the load for that size."""

    is_ready: bool
    unit_load: float

    def load(self, now: int, aim_us: int) -> float: ...

    def reported_load(self, now: int, aim_us: int) -> float: ...


S = TypeVar("S", bound=Member)


class KeySet(Generic[S]):
    """The servers that a key's requests go to, and the start of the key's rendezvous order."""

    __slots__ = ("candidates", "grown_at", "members", "version")  # mypyc: no generic dataclass with slots

    def __init__(self) -> None:
        self.members: list[S] = []
        self.candidates: list[S] = []  # the first servers of the key's rendezvous order
        self.version = -1  # of the server list that `candidates` was made from
        self.grown_at = 0

    def join(self, now: int, server: S | None) -> None:
        if server is not None and server not in self.members:
            self.members.append(server)
            self.grown_at = now


class KeySets(Generic[S]):
    """One balancer's sets, by key.

    `find_candidates(key, count)`: the first `count` servers of a key's rendezvous order.
    """

    def __init__(self, find_candidates: Callable[[int, int], list[S]]) -> None:
        self._find_candidates, self._sets = find_candidates, dict[int, KeySet[S]]()
        self.mean_waiting = 0.0  # requests that a server reports to be waiting, for its size, on average

    def __len__(self) -> int:
        return len(self._sets)

    def __contains__(self, key: int) -> bool:
        return key in self._sets

    def __getitem__(self, key: int) -> KeySet[S]:
        return self._sets[key]

    def get_or_create(self, key: int, version: int) -> KeySet[S]:
        """Return the key's set, without servers that have left by this version of the list.

        It counts as the most recently used from now on.
        """
        key_set = self._sets.pop(key, None)
        if key_set is None:
            if len(self._sets) >= MAX_SETS:
                del self._sets[next(iter(self._sets))]
            key_set = KeySet()
        self._sets[key] = key_set
        if key_set.version != version:
            key_set.members = [s for s in key_set.members if s.is_ready]
            key_set.candidates = self._find_candidates(
                key, min(MAX_CANDIDATES, max(INITIAL_CANDIDATES, len(key_set.members)))
            )
            key_set.version = version
        return key_set

    def low(self, server: S, mean: float) -> float:
        """Return T_low of a server, given the fleet's mean load."""
        return LOW_FACTOR * mean + MARGIN_REQUESTS * server.unit_load / 2

    def suffices(self, now: int, aim_us: int, best: S, mean: float, key_set: KeySet[S]) -> bool:
        """Return whether the best member takes the request with no look at others.

        A set that is larger than it has to be loses its last member.
        """
        load = best.load(now, aim_us)
        if load > HIGH_FACTOR * mean + MARGIN_REQUESTS * best.unit_load or self.is_crowded(now, aim_us, best):
            return False
        if len(key_set.members) > 1 and now - key_set.grown_at > SHRINK_US:
            key_set.grown_at = now
            if load < self.low(best, mean):
                key_set.members.pop()
        return True

    def is_crowded(self, now: int, aim_us: int, server: S) -> bool:
        """Return whether the server reports clearly more waiting requests than others do."""
        return (
            server.reported_load(now, aim_us)
            > HIGH_FACTOR * self.mean_waiting + CROWDED_REQUESTS * server.unit_load
        )

    def joinable(self, key: int, key_set: KeySet[S]) -> Sequence[S]:
        """Return the servers of the key's order that may join; twice as many if all of them have joined."""
        if len(key_set.members) >= len(key_set.candidates) < MAX_CANDIDATES:
            key_set.candidates = self._find_candidates(key, 2 * len(key_set.candidates))
        return key_set.candidates

    def should_join(self, now: int, aim_us: int, other: S | None, best: S, mean: float) -> bool:
        """Return whether `other`, the least loaded candidate outside the set, should join it.

        It joins if the best member is crowded and `other` reports less than half as much waiting; or if the
        best member is above T_high and `other` is at most at T_low; or if the best member is at 2 T_high or
        above and `other` has no more load than it.
        """
        if other is None:
            return False
        if self.is_crowded(now, aim_us, best) and 2 * other.reported_load(now, aim_us) < best.reported_load(
            now, aim_us
        ):
            return True
        load, other_load = best.load(now, aim_us), other.load(now, aim_us)
        high_mark = HIGH_FACTOR * mean + MARGIN_REQUESTS * best.unit_load
        return load > high_mark and (
            other_load <= self.low(other, mean) or load >= max(2 * high_mark, other_load)
        )

    def update_reports(self, waiting: Sequence[float]) -> None:
        """Take what each server reported last, for its size, if that is no older than RECENT_US.

        Called once a second.
        """
        self.mean_waiting = sum(waiting) / len(waiting) if waiting else 0.0
