"""What all balancers have done lately, added up from what each tells of itself.

Each tells its own counts of the last WINDOW_US, anew each time, never a change; a listener keeps of each
sender the latest report, by life and number, for AGE_US.  So a report that is lost, doubled or overtaken
does no harm, and one of a new life replaces the old life's: nothing is counted twice.

**Error.**  `Sum.count` adds up what `Sum.heard` balancers, this one among them, told of windows that ended
between now and AGE_US plus the way ago; of each of these windows it is exact but for what a report had no
room for, at most `Sum.over` altogether (reports name the largest counts and the sum of the rest).  Of
balancers that were not heard nothing is known: `Sum.heard` says how many were.  Keys are cut to SHORT bytes:
of 4,096 counted things two have one key, and one sum, with a chance of 0.2%.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .events import Key, Sort

WINDOW_US = 2_000_000
SLOTS = 8  # of a window: what is told is of 7 to 8 eighths of it
AGE_US = 4_000_000  # a report counts for so long after it has come
SHORT = 4  # bytes of a key that are told
MOST_COUNTS = 64  # of a report
MOST_KEYS = 4_096  # that a balancer counts of its own; the rest goes into what is left out
MOST_SENDERS = 2_048  # that reports are kept of
_SLOT_US = WINDOW_US // SLOTS


@dataclass(slots=True, frozen=True)
class Counted:
    """One balancer's counts of its last window: the largest, and by sort the sum of all others."""

    items: tuple[tuple[Sort, Key, int], ...]
    rest: tuple[int, int, int] = (0, 0, 0)
    number: int = 0  # grows within a life, and lives of one sender grow


@dataclass(slots=True, frozen=True)
class Sum:
    count: int
    over: int  # so much at most may be missing for want of room in reports
    heard: int  # balancers whose reports are in it


@dataclass(slots=True)
class Report:
    life: int
    number: int
    at: int
    counts: Mapping[tuple[Sort, Key], int]
    rest: tuple[int, int, int]


class Counts:
    """One balancer's counts, and what it knows of others'."""

    __slots__ = ("_own", "_slot", "reports")

    def __init__(self) -> None:
        self._own: list[dict[tuple[Sort, Key], int]] = [{} for _ in range(SLOTS)]
        self._slot = 0  # number of the slot that is being filled
        self.reports: dict[str, Report] = {}

    def add(self, now: int, sort: Sort, key: Key, count: int = 1) -> None:
        """So much has been done by this balancer."""
        self._turn(now)
        key, slot = key[:SHORT], self._own[self._slot % SLOTS]
        if (sort, key) in slot or len(slot) < MOST_KEYS:
            slot[sort, key] = slot.get((sort, key), 0) + count
        else:
            slot[sort, b""] = slot.get((sort, b""), 0) + count

    def _turn(self, now: int) -> None:
        slot = now // _SLOT_US
        for n in range(max(self._slot + 1, slot - SLOTS + 1), slot + 1):
            self._own[n % SLOTS] = {}
        self._slot = max(self._slot, slot)

    def own(self, now: int) -> dict[tuple[Sort, Key], int]:
        """This balancer's counts of the last window."""
        self._turn(now)
        total: dict[tuple[Sort, Key], int] = {}
        for slot in self._own:
            for what, count in slot.items():
                total[what] = total.get(what, 0) + count
        return total

    def tell(self, now: int, number: int) -> Counted:
        """The report of this moment."""
        own = self.own(now)
        rest = [0, 0, 0]
        largest = sorted(((what, n) for what, n in own.items() if what[1]), key=lambda w: (-w[1], w[0]))
        for (sort, _), count in [*largest[MOST_COUNTS:], *((w, n) for w, n in own.items() if not w[1])]:
            rest[sort - 1] += count
        items = tuple((sort, key, count) for (sort, key), count in largest[:MOST_COUNTS])
        return Counted(items, (rest[0], rest[1], rest[2]), number)

    def came(self, now: int, sender: str, life: int, told: Counted) -> None:
        """A report; one that was overtaken is dropped."""
        known = self.reports.get(sender)
        if known is not None and (life, told.number) <= (known.life, known.number):
            return
        if known is None and len(self.reports) >= MOST_SENDERS:
            return
        counts = {(sort, key[:SHORT]): count for sort, key, count in told.items[:MOST_COUNTS]}
        self.reports[sender] = Report(life, told.number, now, counts, told.rest)

    def forget(self, now: int) -> None:
        """Leave out reports that have aged out."""
        for sender in [s for s, r in self.reports.items() if now - r.at >= AGE_US]:
            del self.reports[sender]

    def sum(self, now: int, sort: Sort, key: Key) -> Sum:
        """What this balancer and those heard lately have done."""
        own, key = self.own(now), key[:SHORT]
        count, over, heard = own.get((sort, key), 0), own.get((sort, b""), 0), 1
        for report in self.reports.values():
            if now - report.at < AGE_US:
                count += report.counts.get((sort, key), 0)
                over += 0 if (sort, key) in report.counts else report.rest[sort - 1]
                heard += 1
        return Sum(count, over, heard)

    def keys(self, now: int, sort: Sort) -> Iterable[Key]:
        """All that anybody heard lately has counted of this sort."""
        found = {key for (s, key) in self.own(now) if s == sort and key}
        for report in self.reports.values():
            if now - report.at < AGE_US:
                found.update(key for s, key in report.counts if s == sort)
        return found
