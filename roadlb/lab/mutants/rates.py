"""What all balancers together may repeat and dial, with one fault each: nodes must find it."""

from __future__ import annotations

from ...routing.shares import Shares

SENT = Shares.sent


def repeats_are_free(shares: Shares, now: int, hall: int, away: bool, again: bool) -> None:
    """A repeat spends nothing of the share."""
    SENT(shares, now, hall, away, False)


def dials_are_free(shares: Shares, now: int, hall: int, away: bool, again: bool) -> None:
    """A request to a hall that is away spends nothing of the share."""
    SENT(shares, now, hall, False, again)
