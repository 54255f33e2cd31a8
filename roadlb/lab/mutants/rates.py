"""What all balancers together may repeat and dial, with one fault each: nodes must find it."""

from __future__ import annotations

from ...routing.shares import BudgetShares

RECORD_ATTEMPT = BudgetShares.record_attempt


def repeats_are_free(shares: BudgetShares, now: int, zone: int, is_away: bool, is_retry: bool) -> None:
    """A repeat spends nothing of the share."""
    RECORD_ATTEMPT(shares, now, zone, is_away, False)


def dials_are_free(shares: BudgetShares, now: int, zone: int, is_away: bool, is_retry: bool) -> None:
    """A request to a hall that is away spends nothing of the share."""
    RECORD_ATTEMPT(shares, now, zone, False, is_retry)
