"""Modules that a command needs only when it is run, and incidents, with errors for a person."""

from __future__ import annotations

from importlib import import_module
from types import ModuleType
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..lab.incident import Incident

FAULTY = 1  # exit code: what was looked at is wrong; click's own 2 means a wrong command line


def need(name: str) -> ModuleType:
    """A module of the lab, which is loaded now; what is not installed is told with its remedy."""
    try:
        return import_module(name)
    except ModuleNotFoundError as e:
        ours = str(e.name).startswith("roadlb")
        remedy = "it is no part of this build" if ours else "pip install 'roadlb[lab]'"
        raise click.ClickException(f"{e.name} is not there: {remedy}") from None


def incident_at(path: str) -> Incident:
    """The incident in a file; its problems go to standard error, a line for each."""
    from ..lab.incident import IncidentError, load

    try:
        return load(path)
    except IncidentError as e:
        click.echo(str(e), err=True)
        raise click.exceptions.Exit(FAULTY) from None
