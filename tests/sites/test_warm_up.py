"""When a server counts as just started although the server list does not say so."""

from __future__ import annotations

import pytest

from roadlb.sites.events import StateChanged, State
from roadlb.sites.warm_up import LISTING_DELAY_US, WarmUp

SECOND = 1_000_000


def warmth_after_loss(lost_at_us: int, back_at_us: int) -> WarmUp:
    warmth = WarmUp(0.2, 20 * SECOND)
    assert not warmth.observe(lost_at_us, [StateChanged(1, State.DOUBTFUL, State.LOST, "")])
    assert warmth.observe(back_at_us, [StateChanged(1, State.LOST, State.RETURNING, "")])
    return warmth


def test_servers_of_a_returned_site_count_as_just_started_until_the_list_must_be_current() -> None:
    warmth = warmth_after_loss(50 * SECOND, 60 * SECOND)
    for born in (0, 10 * SECOND):  # long ago, and 50 s before
        assert warmth.capacity_share(60 * SECOND, 1, born) == 0.2
        assert warmth.capacity_share(62 * SECOND, 1, born) == pytest.approx(0.28)
        assert warmth.capacity_share(60 * SECOND + LISTING_DELAY_US, 1, born) == 1.0
        assert warmth.capacity_share(60 * SECOND, 2, born) == 1.0  # a server of another site


def test_a_start_time_in_the_list_overrides_the_assumed_one() -> None:
    warmth = warmth_after_loss(50 * SECOND, 60 * SECOND)
    assert warmth.capacity_share(60 * SECOND, 1, 55 * SECOND) == pytest.approx(0.4)


def test_servers_of_a_site_that_was_never_lost_stay_warm() -> None:
    # An operator has returned the site to service: its processes are those in the list.
    warmth = WarmUp(0.2, 20 * SECOND)
    assert not warmth.observe(60 * SECOND, [StateChanged(1, State.OUT, State.RETURNING, "")])
    assert warmth.capacity_share(60 * SECOND, 1, 0) == 1.0
    warmth = warmth_after_loss(50 * SECOND, 60 * SECOND)
    assert not warmth.observe(90 * SECOND, [StateChanged(1, State.OUT, State.RETURNING, "")])
    assert warmth.capacity_share(90 * SECOND, 1, 0) == 1.0
