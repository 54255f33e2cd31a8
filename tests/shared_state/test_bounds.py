"""What all together may repeat, and send to a hall that returns: never more, and moved to who needs it."""

from __future__ import annotations

from typing import Any

from roadlb.lab.model.told_fleet import ERROR_US, SECOND, Air, ToldFleet
from roadlb.policy.interface import Action, Outcome, Send, Status
from roadlb.routing.shares import BURST_S, BudgetShares
from roadlb.shared_state.budgets import Terms
from roadlb.shared_state.events import Beside
from roadlb.shared_state.told import Bounds, Hear, There, Told

MEMBERS, HALLS, RATE = 12, 3, 6.0
SPLIT = Air(heard=lambda now, sender, to: (sender < 6) == (to < 6))


class Fleet(ToldFleet):
    """Halls may be dead; notes when each request was repeated, and sent to a hall that is held for away."""

    def __init__(self, bounds: Bounds, air: Air | None = None, **more: Any) -> None:
        self.repeats: list[int] = []
        self.away: list[int] = []
        self.dead: set[int] = set()
        super().__init__(MEMBERS, 24, 3, True, air, HALLS, orders=0.0, second_copies=False, **more)
        terms, names = Terms(instances=MEMBERS), tuple(f"lb-{i}" for i in range(MEMBERS))
        for i, party in enumerate(self.parties):
            party.told = Told(self.now - terms.gift_us, f"lb-{i}", 1, f"hall-{i % HALLS}", terms, (), bounds)
            self._shared(i, There(names))

    def _carry_out(self, i: int, a: Action) -> None:
        if isinstance(a, Send):
            cls, attempt = self.classes[a.request]
            if attempt:
                self.repeats.append(self.now)
            hall = int(a.server[5:]) % HALLS
            if self.parties[i].balancer.sites.limited(hall):
                self.away.append(self.now)
            if hall in self.dead:
                self.classes[a.request] = cls, attempt + 1
                self._put(
                    ERROR_US,
                    self._outcome,
                    i,
                    Outcome(a.request, attempt, a.server, Status.CONNECT_FAILED, ERROR_US, False),
                )
                return
        super()._carry_out(i, a)


def above(times: list[int], rate: float) -> float:
    """By how many, at the most, the count of any time exceeds what is said of it."""
    said = rate * BURST_S + MEMBERS
    return max(
        (
            n + 1 - k - rate * (times[n] - times[k]) / SECOND - said
            for k in range(len(times))
            for n in range(k, len(times))
        ),
        default=0.0,
    )


def failing(bounds: Bounds, air: Air | None = None) -> Fleet:
    """One balancer has most of the requests; three in ten fail."""
    fleet = Fleet(bounds, air, weights=[20.0] + [1.0] * (MEMBERS - 1))
    fleet.flaky = 0.3
    fleet.play(10, 100)
    return fleet


def test_all_together_repeat_no_more_than_they_may_and_shares_go_to_who_needs_them() -> None:
    assert above(failing(Bounds()).repeats, 2 * RATE) > 50
    for air in (None, SPLIT, Air(loss=1.0)):
        assert above(failing(Bounds(2 * RATE), air).repeats, 2 * RATE) <= 0
    together, deaf = failing(Bounds(8 * RATE)), failing(Bounds(8 * RATE), Air(loss=1.0))
    assert len(together.repeats) > 1.25 * len(deaf.repeats) and above(together.repeats, 8 * RATE) <= 0


def test_a_bound_that_never_binds_changes_no_decision() -> None:
    assert failing(Bounds(1e9, 1e9)).sent == failing(Bounds()).sent


def test_a_hall_that_returns_is_asked_by_all_together_within_the_bound() -> None:
    fleets = [
        Fleet(bounds, air)
        for bounds, air in (
            (Bounds(), None),
            (Bounds(dials_per_s=RATE), None),
            (Bounds(dials_per_s=RATE), Air(loss=1.0)),
        )
    ]
    for fleet in fleets:
        fleet.play(3, 400)
        fleet.dead = {1}
        fleet.play(5, 400)
        fleet.dead = set()
        fleet.play(18, 400)
        assert not any(party.balancer.sites.limited(1) for party in fleet.parties), "not taken back"
    free, bound, deaf = (above(fleet.away, RATE) for fleet in fleets)
    assert free > 8 and bound <= 0 and deaf <= 0


def test_a_new_life_is_told_of_half_of_each_hall_s_dials_before_it_knows_any_hall() -> None:
    # Its earlier life may have given the other half; nine processes had 1.056 of the whole for a pulse.
    terms = Terms(instances=4)
    told = Told(0, "lb-0", 2, "hall-0", terms, (), Bounds(dials_per_s=RATE, halls=("hall-0", "hall-1")))
    [hear] = told.handle(0, Beside(1))
    assert isinstance(hear, Hear) and hear.event.dial_shares == dict.fromkeys(
        (0, 1), terms.kept / terms.whole
    )


def test_what_a_lapsed_share_makes_is_the_floor_s_though_it_was_asked_later() -> None:
    shares = BudgetShares(4)
    shares.update(0, 0, {}, {}, None, SECOND, 0.125, {})
    shares.set_rate_limits(0, 1.0, 8.0, 0.5, 0.0, {})
    for _ in range(2):  # a second of four, then two of one each; saved for one at most
        assert shares.may_retry(3 * SECOND)
        shares.record_attempt(3 * SECOND, 0, False, is_retry=True)
        if not shares.may_retry(3 * SECOND):
            break
    assert not shares.may_retry(3 * SECOND) and shares.may_retry(4 * SECOND) and shares.rejected_retries > 0
