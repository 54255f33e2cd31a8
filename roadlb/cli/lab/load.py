"""`roadlb lab load`: ask a balancer for more and more, and tell how it answered."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from itertools import accumulate, pairwise
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ..need import incident_at, need

if TYPE_CHECKING:
    from ...lab.incident.schema import Traffic

EDGE_S = 0.001  # two points of a course may not share a time: a stair is this steep


@click.command()
@click.argument("url")
@click.option("--rates", default="", help="Requests a second, one after another: 100,200,400.")
@click.option(
    "--seconds",
    type=click.FloatRange(0, min_open=True),
    default=10.0,
    show_default=True,
    help="For each rate.",
)
@click.option(
    "--incident",
    "file",
    type=click.Path(dir_okay=False),
    help="Has the classes, customers, keys and habits, and the rates if none are given.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Of all that is drawn.")
@click.option(
    "--connections",
    type=click.IntRange(1),
    default=300,
    show_default=True,
    help="At most open at once; tries beyond it wait, and their latency counts.",
)
@click.option(
    "--json",
    "json_to",
    type=click.Path(dir_okay=False, allow_dash=True),
    help="Write the result for machines; - for standard output.",
)
def load(
    url: str, rates: str, seconds: float, file: str | None, seed: int, connections: int, json_to: str | None
) -> None:
    """Send open-loop traffic to the balancer at URL (http://HOST:PORT, loopback only), and tell its answers.

    Nobody waits for an answer before sending the next request, and latency counts from when a request was
    due.  The balancer's nodes must be the lab's (`roadlb lab grid`).
    """
    from rich.console import Console

    tool, incidents = need("roadlb.lab.load"), need("roadlb.lab.incident.schema")
    told = numbers(rates)
    incident = incident_at(file) if file else incidents.Incident(name="load", title="load")
    traffic = stairs(incident.traffic, told, seconds) if told else incident.traffic
    whole_s = seconds * len(told) if told else incident.duration_s if file else seconds
    console = Console(stderr=json_to == "-")

    def progress(second: float, figures: Mapping[str, float]) -> None:
        console.print(tool.progress_line(second, whole_s, figures), highlight=False, soft_wrap=True)

    try:
        with asyncio.Runner(loop_factory=need("uvloop").new_event_loop) as runner:
            result = runner.run(
                tool.load(
                    url,
                    traffic,
                    whole_s,
                    progress,
                    edges=list(accumulate(seconds for _ in told)),
                    connections=connections,
                    seed=seed,
                )
            )
    except (tool.NotLoopback, tool.NoAnswer) as e:
        raise click.ClickException(str(e)) from None
    except KeyboardInterrupt:
        raise click.Abort from None
    tool.print_result(result, console)
    if json_to == "-":
        click.echo(tool.for_machines(result))
    elif json_to:
        Path(json_to).write_text(tool.for_machines(result) + "\n", encoding="utf-8")


def numbers(text: str) -> list[float]:
    try:
        told = [float(part) for part in text.split(",") if part.strip()]
    except ValueError:
        raise click.BadParameter(
            f"{text!r}: give numbers with commas, such as 100,200", param_hint="--rates"
        ) from None
    if any(not 0 <= rate < 1e6 for rate in told):
        raise click.BadParameter("rates are requests a second, from 0 to 1,000,000", param_hint="--rates")
    return told


def stairs(traffic: Traffic, rates: list[float], seconds: float) -> Traffic:
    """The same traffic at one rate after another."""
    import msgspec

    from ...lab.incident.values import Point

    edges = [0.0, *accumulate(seconds for _ in rates)]
    points = [
        point
        for (begin, end), rate in zip(pairwise(edges), rates, strict=True)
        for point in (Point(begin, rate), Point(end - EDGE_S, rate))
    ]
    return msgspec.structs.replace(traffic, rates=tuple(points))
