"""What a run has measured: points at sizes, kept in a file as they come."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FORM = 1  # of the file
SUSPICIONS = "suspicions/s each"


@dataclass(frozen=True, slots=True)
class Point:
    """Figures of one size, by names that bear their units."""

    balancers: int
    servers: int
    figures: Mapping[str, float]

    @property
    def starved(self) -> bool:
        """Balancers doubted each other where none had been stopped: the machine had no time for them."""
        return self.figures.get(SUSPICIONS, 0.0) > 0


@dataclass(frozen=True, slots=True)
class Kept:
    """A point as the file has it: `slope` names what was grown, `repeat` counts from 0."""

    slope: str
    repeat: int
    point: Point


@dataclass(slots=True)
class Results:
    """All of a run.  `partial` until it has come to its end."""

    form: str  # long or small
    machine: Mapping[str, Any]
    points: list[Kept] = field(default_factory=list)
    partial: bool = True
    why: str = "it has not come to its end"

    def of(self, slope: str) -> Iterator[Kept]:
        return (kept for kept in self.points if kept.slope == slope)

    def series(self, slope: str, figure: str, by: str = "balancers") -> list[tuple[float, float]]:
        """(size, figure) of all repeats but those of a starved fleet; `by`: balancers or servers."""
        return [
            (float(getattr(kept.point, by)), kept.point.figures[figure])
            for kept in self.of(slope)
            if figure in kept.point.figures and not kept.point.starved
        ]

    def starved(self) -> list[Kept]:
        """Points that are in no line."""
        return [kept for kept in self.points if kept.point.starved]

    def single(self, slope: str, figure: str) -> list[float]:
        """A figure's values over all repeats, whatever the size."""
        return [kept.point.figures[figure] for kept in self.of(slope) if figure in kept.point.figures]


def write(results: Results, file: Path) -> None:
    """As a whole or not at all."""
    told = {
        "version": FORM,
        "form": results.form,
        "partial": results.partial,
        "why": results.why,
        "machine": dict(results.machine),
        "points": [
            {
                "slope": kept.slope,
                "repeat": kept.repeat,
                "balancers": kept.point.balancers,
                "servers": kept.point.servers,
                "figures": {name: float(f"{value:.6g}") for name, value in kept.point.figures.items()},
            }
            for kept in results.points
        ],
    }
    beside = file.with_name(f".{file.name}.{os.getpid()}")
    beside.write_text(json.dumps(told, indent=1) + "\n")
    beside.replace(file)


def read(file: Path) -> Results:
    """ValueError for a file of another form."""
    told = json.loads(file.read_text())
    if told.get("version") != FORM:
        raise ValueError(f"{file}: version {told.get('version')!r} is not {FORM}: make the run again")
    points = [
        Kept(one["slope"], one["repeat"], Point(one["balancers"], one["servers"], one["figures"]))
        for one in told["points"]
    ]
    return Results(told["form"], told["machine"], points, told["partial"], told["why"])
