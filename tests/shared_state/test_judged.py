"""A server that errs at random is not judged, one that is down is: deciders driven directly, fixed seeds."""

from __future__ import annotations

import pytest

from roadlb.lab.model.told_fleet import ORDER, SECOND, Air, ToldFleet
from roadlb.shared_state.judgements import NEED

NODE = b"node-7"
BAD_WEATHER = Air(loss=0.3, delay_us=100_000)


def erring(rate: float, seconds: float, air: Air | None = None) -> ToldFleet:
    """Twelve balancers; one of 20 servers, asked 15 times a second, errs in so many of its answers."""
    f = ToldFleet(12, 20, 1, True, air, orders=0.3)
    f.play(2, 300)
    f.erring[NODE] = rate
    f.play(seconds, 300)
    return f


def avoided(f: ToldFleet, seconds: float) -> float:
    """Part of the time, over all balancers."""
    return f.avoided_us.get(NODE, 0) / 12 / seconds / SECOND


@pytest.mark.parametrize("air", [None, BAD_WEATHER])
def test_one_that_errs_at_random_is_not_avoided_for_that(air: Air | None) -> None:
    assert avoided(erring(0.1, 8, air), 8) < 0.02


def test_fewer_failures_would_be_too_few(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("roadlb.shared_state.judgements.NEED", 2)
    assert avoided(erring(0.1, 8), 8) > 0.05


def test_one_that_is_down_is_avoided_by_all_after_few_failures() -> None:
    f = erring(1.0, 3)
    failed = [s for s in f.sent if s.server == NODE and not s.good and s.at <= f.all_avoid[NODE]]
    assert len(failed) <= NEED + 2 and sum(s.cls == ORDER for s in failed) <= 4


def test_one_balancer_whose_own_way_is_broken_takes_a_server_from_nobody() -> None:
    f = ToldFleet(12, 20, 1, True, orders=0.3, halls=12)  # each a hall of its own
    f.play(2, 300)
    f.bad[NODE] = f.now, 5
    f.erring[NODE] = 0.05  # and a chance failure of others now and then
    f.play(6, 300)
    assert NODE not in f.avoided_us and any(s.balancer == 5 and not s.good for s in f.sent)
