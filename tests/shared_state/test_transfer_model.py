"""The explicit-state model of a transfer: the real decider passes, planted defects are found."""

from __future__ import annotations

from dataclasses import replace

import pytest
from roadlb.lab.mutants.budgets import (
    DEFECTS,
    DeductsOnAcknowledgement,
    FloorBesideTheSum,
    ForgetsItsGifts,
    LeaseFromReceipt,
    TakesOldAnswers,
    TakesReturnsTwice,
)

from roadlb.lab.model.shares import ENDLESS, TERMS, Scope, search
from roadlb.shared_state.budgets import Budgets, Terms

EVEN = Terms(instances=2, whole=4, lease_us=2, drift_ppm=0, margin_us=1, renew_us=0, wait_us=0, skip_us=0)
# With the steps that lead to the fault, so that a model that finds it by another way is looked at.
STEPS = {
    DeductsOnAcknowledgement: 4,
    LeaseFromReceipt: 8,
    ForgetsItsGifts: 5,
    TakesReturnsTwice: 11,
    FloorBesideTheSum: 4,
    TakesOldAnswers: 9,
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_found(defect: type[Budgets]) -> None:
    found = search(Scope(make=defect, restarts=int(defect is ForgetsItsGifts)))
    assert len(found.steps) == STEPS[defect], found.steps


def test_clocks_further_apart_than_agreed_are_found() -> None:
    terms = Terms(
        instances=2, whole=4, lease_us=9, drift_ppm=0, margin_us=0, renew_us=0, wait_us=0, skip_us=0
    )
    assert search(Scope(terms=terms, restarts=0)).steps
    assert TERMS.gift_us > terms.gift_us


@pytest.mark.parametrize(
    "scope",
    [
        Scope(rates=(1, 1), terms=EVEN, restarts=0),
        Scope(rates=(1, 1), terms=EVEN, flying=1, restarts=ENDLESS),
        Scope(restarts=0),
        Scope(rates=(1, 1), terms=replace(EVEN, whole=12), flying=1, restarts=0, sizes=(2, 3)),
    ],
    ids=["two messages", "restarts without end", "clocks 5 to 3, two messages", "parts of two sizes"],
)
def test_the_decider_keeps_the_sum_in_every_state(scope: Scope) -> None:
    # benchmarks/shared_state.py has larger ones.
    found = search(scope)
    assert found.whole and not found.steps


def test_what_is_left_out_of_a_state_changes_no_verdict() -> None:
    # The same scope as of a decider that is not known to be the real one, with all that it might look at.
    class Same(Budgets):
        pass

    scope = Scope(rates=(1, 1), terms=EVEN, flying=1, restarts=0)
    lean, full = search(scope), search(replace(scope, make=Same))
    assert lean.whole and full.whole and not lean.steps and not full.steps and full.states > lean.states
