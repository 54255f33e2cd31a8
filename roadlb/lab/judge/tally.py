"""Counts and latencies for the verdict; no rule depends on them."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ..wire import NodeRan
from .answers import is_refusal
from .book import Request
from .verdict import Figures
from .worth import WorthBook

LONGEST_US = 3_600_000_000  # the histograms' bounds: 1 us to an hour, three digits kept
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}


@dataclass(slots=True)
class Tally:
    """Running counts; see `Figures` for what each is."""

    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    gone: int = 0
    attempts: int = 0
    began: int = 0
    hits: int = 0
    hits_told: int = 0
    lagged_us: int = 0
    fallen: list[str] = field(default_factory=list)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)

    def ran(self, event: NodeRan) -> None:
        self.began += 1
        if event.hit is not None:
            self.hits_told += 1
            self.hits += event.hit

    def settled(self, request: Request, served: bool, lost: bool) -> None:
        """A try is over; its latency counts from its last byte, where it was served."""
        answer = request.answer
        if lost:
            self.lost += 1
        elif answer is None:
            self.gone += 1
        elif served:
            self.served += 1
            name = request.sent.class_name
            if name not in self.latency:
                self.latency[name] = HdrHistogram(1, LONGEST_US, 3)
            self.latency[name].record_value(max(1, answer.at - request.sent.at))
        elif is_refusal(answer):
            self.refused += 1
        else:
            self.failed += 1

    def figures(self, worth: WorthBook, open_at_end: int) -> Figures:
        latency = {
            name: {told: histogram.get_value_at_percentile(q) / 1000 for told, q in QUANTILES.items()}
            for name, histogram in sorted(self.latency.items())
        }
        return Figures(
            wishes=worth.wishes,
            tries=self.tries,
            served=self.served,
            refused=self.refused,
            failed=self.failed,
            lost=self.lost,
            gone=self.gone,
            open_at_end=open_at_end,
            in_time=worth.in_time,
            late=worth.late,
            unanswered=worth.unanswered,
            attempts=self.attempts,
            attempts_per_try=self.attempts / self.tries if self.tries else 0.0,
            probes=worth.costs.probes,
            ran_twice=worth.ran_twice,
            hit_share=self.hits / self.hits_told if self.hits_told else None,
            latency_ms=latency,
            fallen=tuple(self.fallen),
            lagged_s=self.lagged_us / 1e6,
        )
