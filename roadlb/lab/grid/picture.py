"""What is to be seen of a grid in one second: plain values, which the table shows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class NodeRow:
    """`state`: `up`, `draining`, `paused`, `cut`, `stopped` or `fallen`; the last two have no figures."""

    name: str
    state: str
    kind: str
    hall: str
    cold_share: float  # of its whole capacity that it has now; 1: it is warm
    capacity: float  # that it has now, in seconds of standard work a second
    slowed: float  # its work takes so many times as long
    queue: int  # requests that wait
    running: int  # requests in work
    sent_per_s: float  # requests that came whole


@dataclass(slots=True, frozen=True)
class BalancerRow:
    """What became of its clients' tries, a second; `lost`: it had taken them, and gave no answer."""

    name: str
    state: str  # `starting`, `up`, `stopping`, `paused`, `cut` or `down`
    hall: str
    served: float
    refused: float
    failed: float
    lost: float
    worth: float | None  # served of what its clients asked of it so far; None: they asked nothing yet


@dataclass(slots=True, frozen=True)
class Picture:
    title: str
    second: float  # since arrivals began
    of_s: float  # how long the incident lasts
    nodes: tuple[NodeRow, ...]
    balancers: tuple[BalancerRow, ...]
    wished_per_s: float  # first tries that came due
    service: float | None  # the judge's figure so far; None: there is no traffic
    violations: Mapping[str, int]  # so far, by rule
    worst: str  # the latest violation in words
    lagged_s: float  # for so long this machine was too busy, so far
