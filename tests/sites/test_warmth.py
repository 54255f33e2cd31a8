"""When a server counts as cold that no list calls so."""

from __future__ import annotations

import pytest

from roadlb.sites.events import StateChanged, State
from roadlb.sites.warm_up import LISTING_DELAY_US, WarmUp

SECOND = 1_000_000


def back_at(lost: int, back: int) -> WarmUp:
    warmth = WarmUp(0.2, 20 * SECOND)
    assert not warmth.observe(lost, [StateChanged(1, State.DOUBTFUL, State.LOST, "")])
    assert warmth.observe(back, [StateChanged(1, State.LOST, State.RETURNING, "")])
    return warmth


def test_a_server_of_a_site_that_is_back_counts_as_just_started_until_the_list_could_have_said() -> None:
    warmth = back_at(50 * SECOND, 60 * SECOND)
    for born in (0, 10 * SECOND):  # long ago, and 50 s before
        assert warmth.capacity_share(60 * SECOND, 1, born) == 0.2
        assert warmth.capacity_share(62 * SECOND, 1, born) == pytest.approx(0.28)
        assert warmth.capacity_share(60 * SECOND + LISTING_DELAY_US, 1, born) == 1.0
        assert warmth.capacity_share(60 * SECOND, 2, born) == 1.0  # of another site


def test_a_start_that_the_list_tells_goes_before_the_guess() -> None:
    warmth = back_at(50 * SECOND, 60 * SECOND)
    assert warmth.capacity_share(60 * SECOND, 1, 55 * SECOND) == pytest.approx(0.4)


def test_a_site_that_was_never_lost_keeps_its_servers_warm() -> None:
    # An operator has put it in again: its processes are those that the list has.
    warmth = WarmUp(0.2, 20 * SECOND)
    assert not warmth.observe(60 * SECOND, [StateChanged(1, State.OUT, State.RETURNING, "")])
    assert warmth.capacity_share(60 * SECOND, 1, 0) == 1.0
    warmth = back_at(50 * SECOND, 60 * SECOND)
    assert not warmth.observe(90 * SECOND, [StateChanged(1, State.OUT, State.RETURNING, "")])
    assert warmth.capacity_share(90 * SECOND, 1, 0) == 1.0
