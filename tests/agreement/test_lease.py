"""Leases: a bound that cannot be kept is refused, and the issuer's count covers the follower's."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadlb.agreement.lease import Timing, TimingError, gone_us, least_bound_us, timing_for


@pytest.mark.parametrize(
    "told, key",
    [
        (dict(contradiction_s=4.0, lease_s=4.0), "agreement.contradiction_s.*lower agreement.lease_s"),
        (dict(contradiction_s=0.4), "agreement.contradiction_s.*margin"),
        (dict(contradiction_s=5.0, lease_s=3.0, renew_s=1.5), "agreement.renew_s"),
        (dict(contradiction_s=float("nan")), "agreement.contradiction_s"),
        (dict(contradiction_s=5.0, margin_s=-1.0), "agreement.margin_s"),
    ],
)
def test_times_that_cannot_be_kept_are_refused_by_name(told: dict[str, float], key: str) -> None:
    with pytest.raises(TimingError, match=key):
        timing_for(**told)  # type: ignore[arg-type]


@given(st.floats(0.6, 3600))
def test_what_follows_from_a_bound_keeps_it(contradiction_s: float) -> None:
    timing = timing_for(contradiction_s)
    assert least_bound_us(timing) <= contradiction_s * 1e6
    assert timing.renew_us * 3 <= timing.lease_us


@given(st.integers(1, 10**9), st.integers(0, 1000), st.floats(-1, 1), st.floats(-1, 1))
def test_the_issuer_waits_longer_than_any_follower_counts(
    lease_us: int, rate_ppm: int, follower: float, issuer: float
) -> None:
    true_us = lease_us / (1 + follower * rate_ppm / 1e6)  # while the follower's clock shows a lease
    shown_us = true_us * (1 + issuer * rate_ppm / 1e6)  # by the issuer's clock meanwhile
    assert gone_us(lease_us, 0, rate_ppm) >= shown_us - 1e-3


def test_times_by_default_can_be_kept() -> None:
    timing = Timing()
    assert timing_for(least_bound_us(timing) / 1e6, timing.lease_us / 1e6, timing.renew_us / 1e6) == timing
