"""Planted defects of whole sites, of shared budgets and rates, a line each, to show that a proof can fail.

Each is kept by what it means, not by where it stands: it puts another value in the place of a constant or a
method, and says so if there is none of that name any more.  `plant` holds for the rest of the process; in a
balancer's or a run's own process `at_start/sitecustomize.py` plants the one that the environment names.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from ...policy.state import Server
from ...routing.shares import BudgetShares
from ...shared_state import told
from ...shared_state.budgets import Budgets
from ...sites import state_machine
from ...sites.refusal import RANKS, RefusalOrder
from . import budgets, rates

VARIABLE = "ROADLB_PLANTED"
SEAM = Path(__file__).parent / "at_start"


def put(owner: Any, name: str, value: object) -> None:
    """In the place of what is there.  AttributeError, naming it, if nothing is."""
    if not hasattr(owner, name):
        raise AttributeError(f"{owner.__name__} has no {name}: this defect needs to be planted anew")
    setattr(owner, name, value)


def no_hysteresis() -> None:
    """A single failure is the loss of a site."""
    put(state_machine, "DOUBT_FAILURES", 1)
    put(state_machine, "LOSS_FAILURES", 1)


def blind_spill() -> None:
    """All servers look alike, whatever they carry: headroom is ignored."""
    put(Server, "load", lambda self, now, aim_us: 0.0)


def return_at_once() -> None:
    """The first answer of a lost site brings its whole load back."""
    put(state_machine, "SHORT_OUTAGE_US", 1 << 62)


def reversed_plan() -> None:
    """What is to be refused first goes last.  Ranks stay as they are, so that no judge is misled."""
    for name in ("count_request", "is_refused"):
        was = getattr(RefusalOrder, name)
        put(RefusalOrder, name, lambda self, rank, *rest, was=was: was(self, RANKS - 1 - rank, *rest))


def _budgets(defect: type[Budgets]) -> Callable[[], None]:
    return lambda: put(told, "Budgets", defect)


DEFECTS: Mapping[str, Callable[[], None]] = {
    "no hysteresis": no_hysteresis,
    "blind spill": blind_spill,
    "return at once": return_at_once,
    "reversed plan": reversed_plan,
    "RepeatsAreFree": lambda: put(BudgetShares, "record_attempt", rates.repeats_are_free),
    "DialsAreFree": lambda: put(BudgetShares, "record_attempt", rates.dials_are_free),
    **{defect.__name__: _budgets(defect) for defect in (*budgets.DEFECTS, budgets.TakesTheWhole)},
}


def plant(name: str) -> None:
    """ValueError for one that is not known."""
    if name not in DEFECTS:
        raise ValueError(f"{name!r}: planted are {', '.join(DEFECTS)}")
    DEFECTS[name]()


def seam() -> dict[str, str]:
    """Of the environment of a process that is to look at what else it names."""
    there = os.environ.get("PYTHONPATH", "")
    root = str(Path(__file__).resolve().parents[3])
    return {"PYTHONPATH": os.pathsep.join([str(SEAM), root, *([there] if there else [])])}


def variables(name: str) -> dict[str, str]:
    """Of the environment of a process that is to have the defect."""
    return {**seam(), VARIABLE: name}
