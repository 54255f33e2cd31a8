"""`roadlb lab load`: ask a balancer for more and more, and tell how it answered."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from itertools import accumulate, pairwise
from typing import TYPE_CHECKING

import click

from ..need import incident_at, need

if TYPE_CHECKING:
    from ...lab.incident.schema import Traffic

EDGE_S = 0.001      # two points of a course may not share a time: a stair is this steep


@click.command()
@click.argument("url")
@click.option("--rates", default="", help="Requests a second, one after another: 100,200,400.")
@click.option("--seconds", type=click.FloatRange(0, min_open=True), default=10.0, show_default=True,
              help="For each rate.")
@click.option("--incident", "file", type=click.Path(dir_okay=False),
              help="Has the classes, customers, keys and habits, and the rates if none are given.")
def load(url: str, rates: str, seconds: float, file: str | None) -> None:
    """Send open-loop traffic to the balancer at URL (http://HOST:PORT), and print how it answered."""
    from rich.console import Console

    from ...lab.incident.schema import Incident
    from ...lab.report.tables import latency_table, table
    incident = incident_at(file) if file else Incident(name="load", title="load")
    told = numbers(rates)
    traffic = stairs(incident.traffic, told, seconds) if told else incident.traffic
    whole_s = seconds * len(told) if told else incident.duration_s
    console = Console()
    with console.status("") as line:
        def progress(second: float, counts: Mapping[str, int]) -> None:
            line.update(f"{second:.0f} of {whole_s:.0f} s  " + "  ".join(
                f"{name} {count}" for name, count in counts.items()))
        result = asyncio.run(need("roadlb.lab.load").load(url, traffic, whole_s, progress))
    console.print(table(("how tries ended", "count"), (
        (name, str(count)) for name, count in result.counts.items())), latency_table(result.latency_ms))


def numbers(text: str) -> list[float]:
    try:
        told = [float(part) for part in text.split(",") if part.strip()]
    except ValueError:
        raise click.BadParameter(
            f"{text!r}: give numbers with commas, such as 100,200", param_hint="--rates") from None
    if any(not 0 <= rate < 1e6 for rate in told):
        raise click.BadParameter("rates are requests a second, from 0 to 1,000,000", param_hint="--rates")
    return told


def stairs(traffic: Traffic, rates: list[float], seconds: float) -> Traffic:
    """The same traffic at one rate after another."""
    import msgspec

    from ...lab.incident.values import Point
    edges = [0.0, *accumulate(seconds for _ in rates)]
    points = [point for (begin, end), rate in zip(pairwise(edges), rates, strict=True)
              for point in (Point(begin, rate), Point(end - EDGE_S, rate))]
    return msgspec.structs.replace(traffic, rates=tuple(points))
