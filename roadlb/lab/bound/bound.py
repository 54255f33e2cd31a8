"""The bound of a run, second by second and over any time.

Two of them, by what is known of a request when it comes:

- `by_second`, `over`: its class and customer alone, as a balancer knows them.  All wishes of a class take the
  mean work of the class in this run, less what caches saved as they were.  Single seconds of a run may lie
  above it, as work that was begun in one second may end in the next, and chance gives one less work than the
  mean.
- `at_best`: everything, the work of each single request and every key cached that any node could have had.
  No run may lie above it over a time that begins with the run, but for the noise in a request's work from one
  attempt to the next, which is drawn when it runs.

A request that could not be done within its deadline by the fastest core earns nothing in either; it takes
the work of that time in the first and none in the second.  Handshakes, probes, crowding and a late answer's
loss are left out: they make less possible, never more.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence

from ..incident import Incident, rules_of
from ..run.drawn import Drawn
from ..wire import NodeRan, WireLog
from .capacity import NEVER, Capacity
from .carry import Group, by_worth, greedy
from .demand import Asked

SECOND = 1_000_000


class Bound:
    """Times are in microseconds of the rehearsal's clock; worth in the judge's units."""

    def __init__(
        self, incident: Incident, drawn: Drawn, log: WireLog, capacity: Capacity, asked: Sequence[Asked]
    ) -> None:
        self.capacity, self._asked = capacity, sorted(asked, key=lambda one: one.at)
        spec = next(iter(drawn.kinds.values()))
        self._gain, self._cache_us = spec.cache_gain, spec.cache_us
        deadlines = {row.name: row.deadline_us for row in rules_of(incident).classes}
        self._longest_us = max(deadlines.values())
        self._most_us = {name: us * capacity.quickest for name, us in deadlines.items()}
        ran = [event for event in log if isinstance(event, NodeRan) and event.hit is not None]
        self.hit_share = sum(event.hit is True for event in ran) / len(ran) if ran else 0.0
        self._means = self._class_means()

    def _class_means(self) -> dict[str, tuple[float, float]]:
        """By class: the work that one takes in the mean, and the share of them that can be done in time."""
        works: dict[str, list[float]] = defaultdict(list)
        kept = 1 - self._gain * self.hit_share
        for one in self._asked:
            works[one.class_name].append(one.work_us * kept)
        means = {}
        for name, all_works in works.items():
            most = self._most_us[name]
            means[name] = (
                sum(min(work, most) for work in all_works) / len(all_works),
                sum(work <= most for work in all_works) / len(all_works),
            )
        return means

    def _groups(self, since: int, until: int) -> list[Group]:
        """What came due in that time, by class and worth."""
        counts: dict[tuple[str, float], int] = defaultdict(int)
        for one in self._asked:
            if since <= one.at < until:
                counts[one.class_name, one.worth] += 1
        groups = []
        for (name, worth), count in counts.items():
            work_us, possible = self._means[name]
            groups.append(Group(name, worth * count * possible, work_us * count))
        return groups

    def over(self, since: int, until: int, order: Callable[[Group], tuple[float, ...]] = by_worth) -> float:
        """The worth that the capacity of a time could have carried, of what came due in it."""
        return greedy(self._groups(since, until), self.capacity.between(since, until), order)

    def by_second(
        self, first: int, last: int, order: Callable[[Group], tuple[float, ...]] = by_worth
    ) -> dict[int, float]:
        """The same for each whole second from `first` to `last`, seconds of the rehearsal's clock."""
        return {
            second: self.over(second * SECOND, (second + 1) * SECOND, order)
            for second in range(first, last + 1)
        }

    def borne(self, since: int, until: int) -> float:
        """The demand that the capacity of a time just bears, as a multiple of what came due in it."""
        work_us = sum(group.work_us for group in self._groups(since, until))
        return self.capacity.between(since, until) / work_us if work_us else float("inf")

    def at_best(self, since: int, until: int) -> float:
        """The worth that nobody could have passed: of what came due in that time, with the capacity until the
        last of it is over, single requests chosen by their own work."""
        groups, met = [], dict[str, int]()
        remembered_us = self._cache_us + self._longest_us  # the last one may have been served that late
        for one in self._asked:
            known = bool(one.key) and one.at - met.get(one.key, -NEVER) <= remembered_us
            met[one.key] = one.at
            work_us = one.work_us * (1 - self._gain if known else 1.0)
            if since <= one.at < until and work_us <= self._most_us[one.class_name]:
                groups.append(Group(one.class_name, one.worth, work_us))
        return greedy(groups, self.capacity.between(since, until + self._longest_us))
