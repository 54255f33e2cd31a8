"""Proposals in which the list changes too: nodes drain, are reopened, removed and placed, weights change.

A walk: each proposal changes one or two nodes of the list before it, and in half of them the settings.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from ...agreement.events import Contents
from ...fleet.model import Cluster, Endpoint, Lifecycle, NodeId

NODES = 4
WEIGHTS = (0.25, 0.5, 1.0)


class Walk:
    """`next(random)` gives the contents to propose; settings are those of `choices`."""

    def __init__(self, choices: Sequence[Contents]) -> None:
        self._choices, self._settings = choices, choices[0].settings
        self._starts = 1
        self._nodes = [Endpoint(NodeId(f"n{i}", 1), "10.0.0.1", 9_000 + i) for i in range(NODES)]

    def next(self, random: Random) -> Contents:
        if random.random() < 0.5:
            self._settings = random.choice(self._choices).settings
        for _ in range(random.choice((1, 1, 2))):
            i = random.randrange(NODES)
            self._nodes[i] = self._changed(random, self._nodes[i])
        there = tuple(one for one in self._nodes if one.lifecycle is not Lifecycle.REMOVED)
        return Contents(self._settings, {"grid": Cluster("grid", there)})

    def _changed(self, random: Random, one: Endpoint) -> Endpoint:
        draw = random.random()
        if one.lifecycle is Lifecycle.UP:
            if draw < 0.3:
                return replace(one, weight=random.choice(WEIGHTS))
            return replace(one, lifecycle=Lifecycle.DRAINING)
        if one.lifecycle is Lifecycle.DRAINING and draw < 0.4:
            return replace(one, lifecycle=Lifecycle.REMOVED)
        if one.lifecycle is Lifecycle.DRAINING and draw < 0.7:  # meant: the same start is reopened
            return replace(one, lifecycle=Lifecycle.UP)
        self._starts += 1
        return replace(one, lifecycle=Lifecycle.UP, node=NodeId(one.node.name, self._starts))
