"""Shares of budgets: who may use what, when it moves, and when it comes back."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from roadlb.lab.mutants.budgets import DeductsOnAcknowledgement, FloorBesideTheSum, ForgetsItsGifts

from roadlb.lab.model.share_fleet import CALM, SECOND, ShareFleet, Weather
from roadlb.shared_state.budgets import MOST_ITEMS, Budgets, Terms
from roadlb.shared_state.events import Answer, Ask, Beside, Came, Needs, Partners, Pulse

TERMS = Terms(instances=4)
PART, KEPT = TERMS.part, TERMS.kept
R = b"resource"
START = TERMS.gift_us


def budgets(need: int = 0) -> Budgets:
    b = Budgets(0, "a", 1, TERMS)
    b.handle(START, Partners(("a", "b", "c", "d")))
    b.handle(START, Needs({R: need}))
    return b


def asked(b: Budgets, now: int, number: int, hold: int, want: int, sender: str = "b", life: int = 1) -> int:
    """What one who asks is given."""
    told = b.handle(now, Came(sender, life, Ask(number, 4, ((R, hold, want),))))
    assert all(isinstance(t.message, Answer) and t.message.life == life for t in told)
    return sum(units for t in told for _, units in t.message.items)  # type: ignore[misc]


def test_a_gift_is_deducted_before_it_leaves_and_comes_back_when_its_time_is_over() -> None:
    b = budgets()
    assert asked(b, START, 1, 0, PART) == PART - KEPT
    assert b.usable(START, R) == KEPT  # no answer to the answer is waited for
    assert b.usable(START + TERMS.lease_us, R) == KEPT  # by the slowest clock it may still be used
    assert b.usable(START + TERMS.gift_us, R) == PART


def test_what_a_taker_has_is_not_given_to_another_till_it_says_that_it_holds_less() -> None:
    b = budgets()
    asked(b, START, 1, 0, PART)
    assert asked(b, START, 1, 0, PART, "c") == 0
    assert asked(b, START + 1, 2, 0, 0) == 0  # returned
    assert b.usable(START + 1, R) == PART and asked(b, START + 2, 2, 0, PART, "c") == PART - KEPT


def test_an_old_account_releases_nothing() -> None:
    b = budgets()
    asked(b, START, 1, 0, 0)
    asked(b, START + 1, 3, 0, PART)
    asked(b, START + 2, 2, 0, 0)  # overtaken
    asked(b, START + 2, 3, 0, 0)  # doubled
    assert b.usable(START + 2, R) == KEPT
    # A new life knows nothing of what the last one, which may still run, holds.
    asked(b, START + 3, 1, 0, 0, life=2)
    assert b.usable(START + 3, R) == KEPT


def test_a_lease_runs_from_when_it_was_asked_for_and_ends_unheard() -> None:
    b = budgets(3 * PART)
    (ask, *_) = b.handle(START, Pulse())
    assert isinstance(ask.message, Ask)
    answer = Answer(1, ask.message.number, ((R, KEPT),))
    late = START + TERMS.lease_us - 1
    b.handle(late, Came(ask.to, 1, answer))
    assert b.usable(late, R) == PART + KEPT and b.usable(late + 1, R) == PART
    b.handle(late + 1, Came(ask.to, 1, answer))  # again, by a process that had been stopped
    assert b.usable(late + 1, R) == PART


def test_only_the_answer_to_the_last_ask_counts_as_it_has_said_since_that_it_holds_less() -> None:
    b = budgets(3 * PART)
    (ask, *_) = b.handle(START, Pulse())
    assert isinstance(ask.message, Ask)
    again = [t for t in b.handle(START + TERMS.renew_us, Pulse()) if t.to == ask.to]
    b.handle(START + TERMS.renew_us, Came(ask.to, 1, Answer(1, ask.message.number, ((R, KEPT),))))
    assert b.held(START + TERMS.renew_us, R) == 0
    b.handle(START + TERMS.renew_us, Came(ask.to, 1, Answer(2, ask.message.number, ((R, KEPT),))))
    assert b.held(START + TERMS.renew_us, R) == 0 and len(again) <= 1


def test_a_new_life_waits_out_what_the_last_one_gave_at_what_was_never_given() -> None:
    b = Budgets(0, "a", 2, TERMS)
    assert b.usable(TERMS.gift_us - 1, R) == KEPT and asked(b, TERMS.gift_us - 1, 1, 0, PART) == 0
    assert b.usable(TERMS.gift_us, R) == PART


def test_beside_a_twin_nothing_is_given_held_or_used_twice_until_its_gifts_are_over() -> None:
    b = budgets(3 * PART)
    (ask, *_) = b.handle(START, Pulse())
    assert isinstance(ask.message, Ask)
    b.handle(START, Came(ask.to, 1, Answer(1, ask.message.number, ((R, KEPT),))))
    b.handle(START, Beside(2))
    assert b.usable(START, R) == KEPT // 2 and not b.handle(START, Pulse())
    b.handle(START + SECOND, Beside(1))
    assert b.usable(START + SECOND, R) == KEPT
    assert b.usable(START + SECOND + TERMS.gift_us, R) == PART


def test_an_owner_that_needs_its_part_again_gets_it_with_the_next_renewal() -> None:
    b = budgets()
    asked(b, START, 1, 0, PART)
    b.handle(START, Needs({R: PART}))
    assert asked(b, START + SECOND, 2, KEPT, KEPT) == 0
    assert b.usable(START + SECOND, R) == KEPT  # the old lease runs on ...
    asked(b, START + 2 * SECOND, 3, 0, 0)  # ... until it is said to be over
    assert b.usable(START + 2 * SECOND, R) == PART


def test_other_instances_and_too_many_items_are_given_nothing() -> None:
    b = budgets()
    assert b.handle(START, Came("b", 1, Ask(1, 5, ((R, 0, PART),)))) == []
    many = tuple((b"%08d" % n, 0, PART) for n in range(MOST_ITEMS + 9))
    (told,) = b.handle(START, Came("b", 1, Ask(1, 4, many)))
    assert len(told.message.items) == MOST_ITEMS


def test_unused_shares_move_to_where_requests_are_and_back() -> None:
    busy = {"lb-0": 40}

    def needs(i: int, _: object) -> dict[bytes, int]:
        return {b"thing000": fleet_terms.part * busy.get(f"lb-{i}", 0)}

    fleet_terms = Terms(instances=20)
    fleet = ShareFleet(20, fleet_terms, 1, CALM, needs=needs, resources=1, settled=True)
    fleet.play(8)
    first = fleet.processes["lb-0"].shares[b"thing000"] / fleet_terms.part
    assert first > 8 and fleet.most <= 1
    busy.clear()
    busy["lb-7"] = 40
    fleet.play(20)
    assert fleet.processes["lb-7"].shares[b"thing000"] / fleet_terms.part > 8
    assert fleet.processes["lb-0"].shares[b"thing000"] <= fleet_terms.part


def test_when_nothing_is_heard_each_has_what_it_has_alone() -> None:
    fleet = ShareFleet(10, Terms(instances=10), 1, Weather(loss=1.0, restart=0, pause=0))
    fleet.play(20)
    assert all(
        share == Terms(instances=10).part for p in fleet.processes.values() for share in p.shares.values()
    )


def test_of_ten_three_survive_and_use_what_is_theirs() -> None:
    # What the dead owned lies idle: they may be alive beyond a split.
    fleet = ShareFleet(
        10, Terms(instances=10), 2, CALM, needs=lambda i, _: {b"thing000": 1_000_000}, resources=1
    )
    fleet.play(10)
    fleet.kill(fleet.names[:7])
    fleet.play(10)
    assert fleet.used(b"thing000") == pytest.approx(0.3) and fleet.most <= 1


def test_the_sum_holds_in_any_weather() -> None:
    for seed in range(6):
        fleet = ShareFleet(12, Terms(instances=12), seed, Weather())
        fleet.play(40)
        assert 0.9 < fleet.most <= 1, seed


@pytest.mark.parametrize("defect", [DeductsOnAcknowledgement, ForgetsItsGifts, FloorBesideTheSum])
def test_bad_weather_finds_a_planted_defect(defect: type[Budgets]) -> None:
    assert any(_most(seed, defect) > 1 for seed in range(12))


def _most(seed: int, make: type[Budgets]) -> float:
    fleet = ShareFleet(12, Terms(instances=12), seed, Weather(), make, settled=True)
    fleet.play(60)
    return fleet.most


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    members=st.integers(2, 9),
    loss=st.floats(0, 0.7),
    double=st.floats(0, 0.9),
    late=st.floats(0, 0.9),
    restart=st.floats(0, 0.3),
    pause=st.floats(0, 0.3),
    drift=st.integers(0, 50_000),
)
def test_the_sum_holds_whatever_happens(
    seed: int, members: int, loss: float, double: float, late: float, restart: float, pause: float, drift: int
) -> None:
    weather = Weather(loss=loss, double=double, late=late, restart=restart, pause=pause, drift_ppm=drift)
    fleet = ShareFleet(
        members, Terms(instances=members, drift_ppm=drift, margin_us=0), seed, weather, settled=True
    )
    fleet.play(20)
    assert fleet.most <= 1
