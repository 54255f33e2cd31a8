"""Restarts in a shrink with control down: a deploy, a shrink whose nodes drain for long, then control and
discovery go, and balancers crash and return with lists of before the shrink."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache

from ..incident import Incident
from ..incident.load import read
from ..wire import BalancerState, NodeGot, NodeState
from .rehearsal import Plan, play

INCIDENT = """
title = "Balancers restart in a shrink, and no control service is there"
duration_s = 40
[fleet]
nodes = 12
[balancers]
per_hall = 2
[traffic]
rates = [[0, 110], [10, 110], [14, 60], [40, 60]]
[[step]]
do = "deploy"
at_s = 3
share = 0.3
batch = 0.2
over_s = 8
drain_s = 2
[[step]]
do = "shrink"
at_s = 10
to = 0.55
over_s = 28
drain_s = 25
[[step]]
do = "discovery_outage"
at_s = 19
for_s = 20
[[step]]
do = "balancer_crash"
at_s = 22
share = 0.5
back_after_s = 2
list_age_s = 14
[[step]]
do = "balancer_crash"
at_s = 28
share = 0.5
back_after_s = 2
list_age_s = 20
"""
AWAY_S = 19.5, 60.0
TOLD_S = 6.0  # from a drain: discovery's notice and beat, a version, and what was on its way


@dataclass(slots=True, frozen=True)
class Restarts:
    """Of one seed: nodes drained for TOLD_S when control went and still there, requests that came to them
    from then on, cold nodes that fell, returns of balancers from a crash, worth served, rules broken."""

    drained: int
    astray: int
    fell: int
    returns: int
    worth: float
    broken: int
    errors: int


@cache
def incident() -> Incident:
    return read(INCIDENT, "restarts")


def restarts(seed: int, stores: bool = True) -> Restarts:
    """`stores` false: what a balancer has when it returns is its configuration's list."""
    played = play(incident(), seed, Plan(away=AWAY_S, stores=stores))
    gone_us = played.origin_us + round(AWAY_S[0] * 1e6)
    drained = {
        (event.node, event.started_ms): event.at
        for event in played.log
        if isinstance(event, NodeState)
        and event.state == "draining"
        and event.at < gone_us - round(TOLD_S * 1e6)
    }
    stopped = {
        (event.node, event.started_ms)
        for event in played.log
        if isinstance(event, NodeState) and event.state == "stopped" and event.at < gone_us
    }
    there = drained.keys() - stopped
    astray = sum(
        isinstance(event, NodeGot) and (event.node, event.started_ms) in there and event.at > gone_us
        for event in played.log
    )
    figures, worth = played.verdict.figures, played.verdict.worth
    starts = [
        event.balancer
        for event in played.log
        if isinstance(event, BalancerState) and event.state == "started"
    ]
    return Restarts(
        len(there),
        astray,
        len(figures.fallen),
        len(starts) - len(set(starts)),
        worth.whole,
        sum(played.verdict.counts.values()),
        len(played.errors),
    )
