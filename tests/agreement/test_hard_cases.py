"""Hard cases among many: one that refuses, one that never acknowledges, two hundred that return at once."""

from __future__ import annotations

from random import Random

import pytest

from roadlb.agreement.events import Offered, Prepare, Remember
from roadlb.lab.model_check.fleet import BOUND_US, CLEAR, ROUGH, SECOND_US, TIMING, Fleet


class OneRefuses(Fleet):
    """Follower 0 refuses half of what it is offered."""

    refused = 0

    def _heard(self, f: int, message: object) -> None:
        if f == 0 and isinstance(message, Prepare) and Random(message.version.id.number).random() < 0.5:
            self.refused += 1
            self.tell_follower(f, self.lives[f], Offered(message, "hall_emptied: hall b is gone"))
        else:
            super()._heard(f, message)  # type: ignore[arg-type]


class OneIsSilent(Fleet):
    """What follower 0 is to remember never reaches its disk: it acknowledges nothing, and asks."""

    def _remembered(self, f: int, life: int, action: Remember) -> None:
        if f != 0:
            super()._remembered(f, life, action)


@pytest.mark.parametrize("seed", range(4))
def test_one_of_twelve_that_refuses_stops_a_version_and_no_agreement(seed: int) -> None:
    fleet = OneRefuses(seed, 12, 60.0, ROUGH)
    result = fleet.run()
    assert fleet.refused and result.versions > 2
    assert result.across == 0 and result.longest <= BOUND_US


@pytest.mark.parametrize("seed", range(4))
def test_one_that_never_acknowledges_holds_a_version_up_for_one_lease_and_no_longer(seed: int) -> None:
    fleet = OneIsSilent(seed, 12, 60.0, CLEAR)
    result = fleet.run()
    assert result.versions > 2 and result.across == 0 and result.longest <= BOUND_US
    assert SECOND_US < max(result.in_force) <= TIMING.gone_us + SECOND_US
    assert all(one.granted(fleet.clock(f)) for f, one in enumerate(fleet.followers) if f)


def test_two_hundred_that_return_at_once_have_leases_within_a_second_without_a_stampede() -> None:
    fleet = Fleet(1, 200, 40.0, CLEAR)
    sent: list[int] = []
    granted: list[int] = []

    def all_at_once() -> None:
        for f in range(200):
            fleet.crash(f, SECOND_US)
        fleet.at(fleet.now + SECOND_US, lambda: sent.append(fleet.result.messages))
        for tenth in range(1, 11):
            fleet.at(fleet.now + SECOND_US + tenth * SECOND_US // 10, look)

    def look() -> None:
        sent.append(fleet.result.messages)
        granted.append(sum(one.granted(fleet.clock(f)) for f, one in enumerate(fleet.followers)))

    fleet.at(35 * SECOND_US, all_at_once)
    result = fleet.run()
    assert granted[0] > 0 and granted[-1] == 200
    # Each tells both issuers its `Ask`, twice at the most, and has an answer of each leader's.
    assert sent[-1] - sent[0] <= 200 * 8
    assert result.across == 0 and result.longest <= BOUND_US
