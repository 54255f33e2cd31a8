"""Rehearsals: a deployment built from an incident and a seed, played in a world, and judged.

    rehearsal = rehearse(load("examples/incidents/calm.toml"), seed=7, world="sim")
    rehearsal.verdict.kept

`sim` is simulated time on a simulated network, the same byte for byte for the same seed; `real` is real time
on loopback sockets, with each balancer as a process of its own.
"""

from .rehearsal import Rehearsal, rehearse

__all__ = ["Rehearsal", "rehearse"]
