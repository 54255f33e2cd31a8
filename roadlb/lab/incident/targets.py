"""Who is where at the start, whom a step takes, and when each of them is up: arithmetic, no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeVar

from .schema import Fleet, Incident
from .steps import AtBalancers, AtNodes, Deploy, Shrink

ROUNDING = 1e-9  # a share such as 0.29 of 100 is 28.999999999999996


@dataclass(frozen=True, slots=True)
class Placed:
    """A node or a balancer at the start of the run; `machine` is empty for balancers."""

    name: str
    hall: str
    machine: str = ""


class Candidate(Protocol):
    """Anything that has a name, a hall and, for nodes, a kind."""

    @property
    def name(self) -> str: ...
    @property
    def hall(self) -> str: ...
    @property
    def machine(self) -> str: ...


C = TypeVar("C", bound=Candidate)


def nodes_at_start(incident: Incident) -> tuple[Placed, ...]:
    """`node-01` and on: groups as given, or else each kind's share, dealt to the halls in turn."""
    fleet, halls = incident.fleet, incident.network.halls
    if fleet.groups:
        places = [(g.hall, g.machine) for g in fleet.groups for _ in range(g.count)]
    else:
        places = [(halls[i % len(halls)], kind) for i, kind in enumerate(kinds_by_share(fleet))]
    width = max(2, len(str(len(places))))
    return tuple(Placed(f"node-{i:0{width}}", hall, kind) for i, (hall, kind) in enumerate(places, 1))


def kinds_by_share(fleet: Fleet) -> list[str]:
    """One kind for each node, in blocks; what rounding leaves goes to the largest remainders."""
    total = sum(kind.share for kind in fleet.machines)
    wanted = [fleet.nodes * kind.share / total for kind in fleet.machines]
    counts = [int(w) for w in wanted]
    by_remainder = sorted(range(len(wanted)), key=lambda i: counts[i] - wanted[i])
    for i in by_remainder[: fleet.nodes - sum(counts)]:
        counts[i] += 1
    return [kind.name for kind, count in zip(fleet.machines, counts, strict=True) for _ in range(count)]


def balancers_at_start(incident: Incident) -> tuple[Placed, ...]:
    """`balancer-1` and on, hall by hall."""
    told = incident.balancers
    halls = [hall for hall in incident.network.halls for _ in range(told.in_hall.get(hall, told.per_hall))]
    return tuple(Placed(f"balancer-{i}", hall) for i, hall in enumerate(halls, 1))


def matching(step: AtNodes | AtBalancers, there: Iterable[C]) -> list[C]:
    """Those that have all of a step's words."""
    names = step.nodes if isinstance(step, AtNodes) else step.balancers
    machine = step.machine if isinstance(step, AtNodes) else None
    return [
        one
        for one in there
        if (not names or one.name in names)
        and step.hall in (None, one.hall)
        and machine in (None, one.machine)
    ]


def chosen(step: AtNodes | AtBalancers, there: Iterable[C], rng: Random) -> list[C]:
    """Whom a step takes of those that are there, in the order in which it takes them.

    `count` goes before `share`, of which it is as many as do not exceed it, but one at least; neither: all.
    """
    match = matching(step, there)
    if step.count is not None:
        many = min(step.count, len(match))
    elif step.share is not None:
        many = min(len(match), max(1, int(step.share * len(match) + ROUNDING)))
    else:
        return match
    return rng.sample(match, many)


def evenly(first_s: float, last_s: float, count: int) -> list[float]:
    """So many times, from the first to the last; a single one is the first."""
    return [first_s + (last_s - first_s) * i / max(1, count - 1) for i in range(count)]


def deploy_batches(step: Deploy, whom: Sequence[C], fleet: int) -> list[tuple[float, Sequence[C]]]:
    """(second at which they begin to drain, nodes) of each batch; the last ends its drain at `over_s`."""
    size = max(1, round(step.batch * fleet))
    batches = [whom[i : i + size] for i in range(0, len(whom), size)]
    last_s = step.at_s + max(0.0, step.over_s - step.drain_s)
    return list(zip(evenly(step.at_s, last_s, len(batches)), batches, strict=True))


def shrink_times(step: Shrink, fleet: int) -> list[float]:
    """The second at which each node that leaves begins to drain; one node always stays."""
    leaving = fleet - max(1, round(step.to * fleet))
    return evenly(step.at_s, step.at_s + max(0.0, step.over_s - step.drain_s), leaving)
