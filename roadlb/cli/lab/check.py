"""`roadlb lab check`: are these incident files sound?"""

from __future__ import annotations

import click

from ..need import FAULTY


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Check incident FILES; each problem is one line with file, line, key and remedy."""
    from ...lab.incident import IncidentError, load

    faulty = False
    for file in files:
        try:
            incident = load(file)
        except IncidentError as e:
            faulty = True
            click.echo(str(e), err=True)
        else:
            click.echo(f"{file}: sound, {len(incident.steps)} steps in {incident.duration_s:g} s")
    if faulty:
        raise click.exceptions.Exit(FAULTY)
