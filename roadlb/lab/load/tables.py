"""A load's result for a person: a line for each second, tables at the end; and for machines."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping

from rich.console import Console

from ..report.tables import table
from .result import QUANTILES, Cell, LoadResult, quantiles_ms

FORM = "roadlb.lab.load/1"  # keys may be added to it, and none changes its meaning
HEADS = ("a second", "class", "served", "refused", "failed", "lost")


def progress_line(second: float, of_s: float, figures: Mapping[str, float]) -> str:
    """One second: counts, quantiles of its latency, how many are open, and how late the tool itself was."""
    counts = "  ".join(
        f"{name} {figures[name]:.0f}"
        for name in ("wished", "served", "refused", "failed", "lost", "unreached", "open")
    )
    return (
        f"{second:4.0f} of {of_s:.0f} s  {counts}  p50 {figures['p50']:.1f} ms  "
        f"p99 {figures['p99']:.1f} ms  (late itself {figures['late']:.1f} ms)"
    )


def print_result(result: LoadResult, console: Console) -> None:
    """A row for each stair and class, what was lost and how, and whether the tool kept up."""
    made = table((*HEADS, *QUANTILES), rows(result))
    made.collapse_padding = True  # eleven columns in 80
    console.print("latency in ms, from when a request was due", made)
    losses = [
        f"{name} {how} {count}"
        for name, cell in result.by_class.items()
        for how, count in sorted(cell.losses.items())
    ]
    if losses:
        console.print("lost: " + ", ".join(losses), highlight=False)
    if unreached := result.counts["unreached"]:
        console.print(f"{unreached} tries found no balancer that took them", highlight=False)
    late = result.late_ms
    console.print(
        f"the tool itself: late by {late['p50']:.1f} ms (p50), {late['p99']:.1f} (p99), "
        f"{late['max']:.1f} (max); {result.cpu_s / result.seconds:.0%} of a core",
        highlight=False,
        soft_wrap=True,
    )


def rows(result: LoadResult) -> Iterator[list[str]]:
    for stair in result.stairs:
        yield from (row(f"{stair.per_s:.0f}", name, cell) for name, cell in sorted(stair.cells.items()))
    if len(result.stairs) > 1:
        yield from (row("all", name, cell) for name, cell in result.by_class.items())


def row(rate: str, name: str, cell: Cell) -> list[str]:
    quantiles = quantiles_ms(cell.latency) if cell.served else {}
    return [
        rate,
        name,
        *(str(count) for count in (cell.served, cell.refused, cell.failed, cell.lost)),
        *(f"{quantiles[head]:.1f}" if quantiles else "-" for head in QUANTILES),
    ]


def for_machines(result: LoadResult) -> str:
    """One JSON object; times in milliseconds but for those that end in `_s`."""

    def told(cells: Mapping[str, Cell]) -> dict[str, object]:
        return {
            name: {
                "served": cell.served,
                "refused": cell.refused,
                "failed": cell.failed,
                "lost": dict(sorted(cell.losses.items())),
                "latency_ms": quantiles_ms(cell.latency) if cell.served else None,
            }
            for name, cell in sorted(cells.items())
        }

    return json.dumps(
        {
            "schema": FORM,
            "url": result.url,
            "seconds": round(result.seconds, 3),
            "cpu_s": round(result.cpu_s, 3),
            "counts": result.counts,
            "late_ms": result.late_ms,
            "classes": told(result.by_class),
            "stairs": [
                {
                    "from_s": stair.from_s,
                    "to_s": stair.to_s,
                    "wished": stair.wished,
                    "unreached": stair.unreached,
                    "classes": told(stair.cells),
                }
                for stair in result.stairs
            ],
        },
        indent=1,
    )
