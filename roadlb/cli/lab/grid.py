"""`roadlb lab grid`: grid nodes and discovery to try a balancer with, in real time on loopback."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import click

from ..need import incident_at, need


@click.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=1, show_default=True, help="Of all that is drawn.")
def grid(file: str | None, seed: int) -> None:
    """Play the grid nodes and the discovery of the incident in FILE, or of a calm day, until interrupted.

    Prints a configuration for each balancer, with which `python -m roadlb` can be started.
    """
    from ...lab.incident.schema import Incident
    incident = incident_at(file) if file else Incident(name="grid", title="A calm day")
    with suppress(KeyboardInterrupt):
        asyncio.run(need("roadlb.lab.grid").grid(incident, seed, click.echo))
