"""A small model of a proxy: picks by what it was last told; renormalises, ejects and panics by itself."""

from bisect import bisect
from collections import Counter
from itertools import accumulate
from random import Random

from roadlb.control.events import OPEN
from roadlb.control.forms import Assignment, Expression, Form, Placed

EJECT_US = 5_000_000
Where = tuple[str, int]


class Proxy:
    """`panic` is the share of usable endpoints in percent under which it sends to all that it knows.

    `stale_us`: with no word from its service for so long it takes its endpoints for gone; 0: never (gRPC).
    """

    def __init__(
        self, name: str, form: Form, share: float, rng: Random, panic: float = 0.0, stale_us: int = 0
    ) -> None:
        self.name, self.form, self.share, self.rng = name, form, share, rng
        self.panic, self.stale_us = panic, stale_us
        self.view: Expression | None = None
        self.version = -1
        self.heard = 0
        self.ejected: dict[Where, int] = {}
        self.sent, self.failed = Counter(), Counter()
        self._tables: dict[str, tuple[list[Placed], list[int]]] = {}

    def told(self, now: int, generation: int, view: Expression) -> None:
        self.view, self.version, self.heard = view, generation, now
        (split,) = view.splits
        self._clusters = [name for name, _ in split.parts_ppm]
        self._ends = list(accumulate(part for _, part in split.parts_ppm))
        self._by_name = {a.cluster: a for a in view.assignments}
        self._tables = {}

    def eject(self, now: int, where: Where) -> None:
        self.ejected[where] = now + EJECT_US
        self._tables = {}

    def pick(self, now: int) -> Placed | None:
        """The endpoint for a request; None: it fails here."""
        if self.view is None or self.stale_us and now - self.heard > self.stale_us:
            return None
        if self.ejected and any(until <= now for until in self.ejected.values()):
            self.ejected = {w: until for w, until in self.ejected.items() if until > now}
            self._tables = {}
        name = self._clusters[bisect(self._ends, self.rng.random() * 1_000_000)]
        if name not in self._tables:
            self._tables[name] = self._table(self._by_name[name])
        endpoints, ends = self._tables[name]
        return endpoints[bisect(ends, self.rng.random() * ends[-1])] if endpoints else None

    def _table(self, a: Assignment) -> tuple[list[Placed], list[int]]:
        for priority in sorted({p.priority for p in a.places}):
            chosen: list[tuple[Placed, float]] = []
            known = 0
            for place in (p for p in a.places if p.priority == priority):
                usable = [
                    e for e in place.endpoints if e.health in OPEN and (e.host, e.port) not in self.ejected
                ]
                known += len(place.endpoints)
                for e in usable:
                    if self.form is Form.GRPC:  # round robin in a locality, whatever the weights there
                        chosen.append((e, place.weight / len(usable)))
                    else:  # one of no known kind heeds no weights at all
                        chosen.append((e, 1 if self.form is Form.GENERIC else e.weight))
            if len(chosen) * 100 < self.panic * known:
                chosen = [(e, e.weight) for p in a.places for e in p.endpoints]
            if chosen:
                return [e for e, _ in chosen], list(accumulate(w for _, w in chosen))
        return [], []
