"""`roadlb lab show`: what happens in an incident, in words."""

from __future__ import annotations

import click

from ..need import incident_at


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def show(file: str) -> None:
    """Explain the incident in FILE: who is there, what is asked, and what happens when."""
    from ...lab.incident.words import explain

    click.echo(explain(incident_at(file)))
