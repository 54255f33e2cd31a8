"""How load was answered: counts and latency by rate step and class, counted from the clients' wire events."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ..wire import ClientGot, ClientLost, ClientSent, WireEvent, WireLog

REFUSALS = (429, 503)
LONGEST_US = 60_000_000
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}


def histogram() -> HdrHistogram:
    """Microseconds, to three digits."""
    return HdrHistogram(1, LONGEST_US, 3)


def quantiles_ms(of: HdrHistogram) -> dict[str, float]:
    return {name: of.get_value_at_percentile(q) / 1000 for name, q in QUANTILES.items()}


@dataclass(slots=True)
class Cell:
    """Tries of one class in one rate step, by how they ended, and the latency of those served.

    `served`: 200, and the very answer to this request.  `refused`: 429 or 503.  `failed`: any other answer.
    `lost`: taken, and no whole answer; by how it ended in `losses`.  Latency counts from when the wish was
    due, whichever try of it was served.
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    losses: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=histogram)

    @property
    def lost(self) -> int:
        return self.losses.total()

    def add(self, other: Cell) -> None:
        self.served += other.served
        self.refused += other.refused
        self.failed += other.failed
        self.losses += other.losses
        self.latency.add(other.latency)


@dataclass(slots=True)
class Stair:
    """What was due from second `from_s` to `to_s`, at one rate or along one course."""

    from_s: float
    to_s: float
    wished: int = 0
    unreached: int = 0  # tries that found no balancer that took them
    cells: dict[str, Cell] = field(default_factory=dict)

    def cell(self, class_name: str) -> Cell:
        return self.cells.setdefault(class_name, Cell())

    @property
    def per_s(self) -> float:
        """First tries a second that came due."""
        return self.wished / (self.to_s - self.from_s)


def totals(stairs: Sequence[Stair]) -> dict[str, int]:
    cells = [cell for stair in stairs for cell in stair.cells.values()]
    return {
        "wished": sum(stair.wished for stair in stairs),
        "served": sum(cell.served for cell in cells),
        "refused": sum(cell.refused for cell in cells),
        "failed": sum(cell.failed for cell in cells),
        "lost": sum(cell.lost for cell in cells),
        "unreached": sum(stair.unreached for stair in stairs),
    }


@dataclass(slots=True, frozen=True)
class LoadResult:
    """`late` is the tool's own: how long after its time each wish was taken up."""

    url: str
    stairs: tuple[Stair, ...]
    late: HdrHistogram
    cpu_s: float  # that the tool's process used meanwhile
    seconds: float

    @property
    def by_class(self) -> dict[str, Cell]:
        """All stairs together."""
        total: dict[str, Cell] = {}
        for stair in self.stairs:
            for name, cell in stair.cells.items():
                total.setdefault(name, Cell()).add(cell)
        return dict(sorted(total.items()))

    @property
    def counts(self) -> dict[str, int]:
        return totals(self.stairs)

    @property
    def latency_ms(self) -> dict[str, dict[str, float]]:
        return {name: quantiles_ms(cell.latency) for name, cell in self.by_class.items() if cell.served}

    @property
    def late_ms(self) -> dict[str, float]:
        return quantiles_ms(self.late)


class Served:
    """Stands where clients keep a class's latency: they record there exactly what was served rightly."""

    def __init__(self, counts: Counts) -> None:
        self._counts = counts

    def record_value(self, us: int) -> None:
        self._counts.right(us)


class Counts(WireLog):
    """Counts the clients' events as they come, and keeps none: memory is bounded by what is open.

    A 200 counts as failed until the client, which knows what it asked, records its latency: it does so right
    after it wrote `ClientGot`.
    """

    def __init__(self, edges: Sequence[tuple[float, float]]) -> None:
        super().__init__()
        self.stairs = tuple(Stair(*edge) for edge in edges)
        self.began_at = 0
        self.late = histogram()
        self._late_most = 0  # in this second
        self._before: dict[str, int] = {}
        self._second = histogram()  # latency of what was served in it
        self._begins = [stair.from_s for stair in self.stairs]
        self._open: dict[str, Cell] = {}
        self._answered: Cell | None = None

    def watch(self, classes: Iterable[str]) -> dict[str, Served]:
        return {name: Served(self) for name in classes}

    def stair(self, at: int) -> Stair:
        return self.stairs[max(0, bisect_right(self._begins, (at - self.began_at) / 1e6) - 1)]

    def wished(self, due: int, now: int) -> None:
        """A wish was taken up; a loop that counts in milliseconds may do so half of one too early."""
        late = max(1, min(now - due, LONGEST_US))
        self.late.record_value(late)
        self._late_most = max(late, self._late_most)
        self.stair(due).wished += 1

    def since_last(self) -> dict[str, float]:
        """What came to pass since this was last asked: counts, quantiles in ms, and how late the tool was."""
        total = totals(self.stairs)
        told: dict[str, float] = {name: count - self._before.get(name, 0) for name, count in total.items()}
        told |= {name: quantiles_ms(self._second)[name] for name in ("p50", "p99")}
        told["late"] = self._late_most / 1000
        self._before, self._late_most = total, 0
        self._second.reset()
        return told

    def write(self, event: WireEvent) -> None:
        match event:
            case ClientSent():
                self._open[event.request] = self.stair(event.due_at).cell(event.class_name)
            case ClientGot():
                cell = self._answered = self._open.pop(event.request)
                if event.status in REFUSALS:
                    cell.refused += 1
                else:
                    cell.failed += 1
            case ClientLost(how="extra"):  # beside its answer, which counts
                pass
            case ClientLost():
                taken = self._open.pop(event.request, None)
                if taken:
                    taken.losses[event.how] += 1
                else:
                    self.stair(event.at).unreached += 1

    def right(self, us: int) -> None:
        assert self._answered is not None
        self._answered.failed -= 1
        self._answered.served += 1
        self._answered.latency.record_value(us)
        self._second.record_value(us)
