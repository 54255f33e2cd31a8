"""Incidents: what a rehearsal plays, from a TOML file to typed, immutable settings.

    incident = load("examples/incidents/rolling-deploy.toml")

`load` gives an `Incident` or raises an `IncidentError` that holds every problem it found, each with the
file, the key and the line.  Nothing here plays anything.
"""

from .load import IncidentError, Problem, load, read
from .rules import rules_of
from .schema import Incident
from .steps import STEPS, Step
from .values import Range, micro

__all__ = [
    "STEPS",
    "Incident",
    "IncidentError",
    "Problem",
    "Range",
    "Step",
    "load",
    "micro",
    "read",
    "rules_of",
]
