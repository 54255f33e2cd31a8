"""`roadlb lab grid`: grid nodes and discovery to try a balancer with, in real time on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ..need import FAULTY, incident_at, need

if TYPE_CHECKING:
    from ...lab.grid import Picture


@click.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=1, show_default=True, help="Of all that is drawn.")
@click.option(
    "--balancers",
    type=click.IntRange(0, 50),
    default=0,
    show_default=True,
    help="Start so many, each with its limits.",
)
@click.option("--traffic", is_flag=True, help="Send the incident's traffic.")
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Where the configuration of a balancer goes that you start yourself.",
)
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="End by itself after so long.")
def grid(
    file: str | None, seed: int, balancers: int, traffic: bool, config: Path | None, seconds: float | None
) -> None:
    """Play the grid nodes and the discovery of the incident in FILE, or of a calm day, until interrupted.

    Without --balancers it waits for a balancer that you start, with the configuration that it writes.
    """
    from ...lab.incident.schema import Incident

    incident = incident_at(file) if file else Incident(name="grid", title="A calm day")
    tool = need("roadlb.lab.grid")
    with screen() as (say, show), asyncio.Runner(loop_factory=need("uvloop").new_event_loop) as runner:
        try:
            last = runner.run(
                tool.grid(
                    incident,
                    seed,
                    say,
                    balancers=balancers,
                    traffic=traffic,
                    config=config,
                    seconds=seconds,
                    show=show,
                )
            )
        except tool.NotReady as e:
            raise click.ClickException(str(e)) from None
    if "crash" in last.violations:
        raise click.exceptions.Exit(FAULTY)


@contextmanager
def screen() -> Iterator[tuple[Callable[[str], None], Callable[[Picture], None]]]:
    """How to say a line, and how to show a picture: a table that lives; lines where there is no terminal."""
    from rich.console import Console
    from rich.live import Live

    from ...lab.grid import line, tables

    console = Console()

    def say(text: str) -> None:
        console.print(text, markup=False, highlight=False, soft_wrap=True)

    if not console.is_terminal:
        yield say, lambda picture: say(line(picture))
        return
    with Live(console=console, auto_refresh=False) as live:
        yield say, lambda picture: live.update(tables(picture), refresh=True)
