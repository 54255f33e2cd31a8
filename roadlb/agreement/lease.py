"""The arithmetic of leases: how long one lasts, when it has surely run out, and the least bound to keep.

A follower counts a lease from when it sent the `Ask` that is answered; the issuer counts from when it
answers, which is later.  Let r be the largest error of a monotonic clock's rate.  By true time the lease
lasts at the most lease / (1 - r), and in this time the issuer's clock shows at the most

    lease * (1 + r) / (1 - r)

after the answer.  Later than that, and a margin for what lies between a look at the clock and the act,
nobody uses it: `gone_us`.  No delay of a message, loss, doubling or new order enters, as none makes the `Ask`
younger.
"""

from __future__ import annotations

from dataclasses import dataclass

RATE_PPM = 200  # a monotonic clock runs at most so much faster or slower than true time
MOST_RENEWALS = 3  # so many renewals at the least in a lease: two lost answers do not end it


class TimingError(ValueError):
    """Times that cannot be kept; the text names the key and the remedy."""


@dataclass(slots=True, frozen=True)
class Timing:
    """All times of the agreement, in microseconds; every process is given the same.

    `margin_us`: the longest time between a look at the lease and the act that rests on it.
    """

    lease_us: int = 4_000_000
    renew_us: int = 1_000_000
    margin_us: int = 500_000
    rate_ppm: int = RATE_PPM

    @property
    def gone_us(self) -> int:
        """So long after its answer a lease has surely run out, by the issuer's clock."""
        return gone_us(self.lease_us, self.margin_us, self.rate_ppm)


def gone_us(lease_us: int, margin_us: int, rate_ppm: int = RATE_PPM) -> int:
    """As `Timing.gone_us`."""
    most = lease_us * (1_000_000 + rate_ppm)
    return -(-most // (1_000_000 - rate_ppm)) + margin_us


def least_bound_us(timing: Timing) -> int:
    """The least time within which no contradiction lasts.

    Whoever does not hear of what is narrowed uses a lease whose `Ask` was answered before the preparation,
    for lease / (1 - r) of true time after it at the most, and the margin for what it had decided by then.
    """
    return timing.gone_us


def timing_for(
    contradiction_s: float,
    lease_s: float | None = None,
    renew_s: float | None = None,
    margin_s: float = 0.5,
    rate_ppm: int = RATE_PPM,
) -> Timing:
    """The times that keep a stated bound, `agreement.contradiction_s`; what is not told follows from it.

    Raises TimingError where they cannot keep it.
    """
    told = {
        "agreement.contradiction_s": contradiction_s,
        "agreement.lease_s": lease_s,
        "agreement.renew_s": renew_s,
    }
    for key, value in told.items():
        if value is not None and not 0 < value < 86_400:
            raise TimingError(f"{key}: {value!r} must lie between 0 and 86400 seconds")
    if not 0 <= margin_s < 86_400:
        raise TimingError(f"agreement.margin_s: {margin_s!r} must lie between 0 and 86400 seconds")
    if not 0 <= rate_ppm < 100_000:
        raise TimingError(f"agreement.rate_ppm: {rate_ppm!r} must lie between 0 and 100000")
    bound, margin = int(contradiction_s * 1e6), int(margin_s * 1e6)
    if lease_s is None:
        lease = (bound - margin) * (1_000_000 - rate_ppm) // (1_000_000 + rate_ppm)
    else:
        lease = int(lease_s * 1e6)
    if lease <= 0:
        raise TimingError(
            f"agreement.contradiction_s: {contradiction_s} leaves no time for a lease beside "
            f"the margin of {margin_s} s; raise it, or lower agreement.margin_s"
        )
    renew = lease // (MOST_RENEWALS + 1) if renew_s is None else int(renew_s * 1e6)
    timing = Timing(lease, renew, margin, rate_ppm)
    least = least_bound_us(timing)
    if least > bound:
        raise TimingError(
            f"agreement.contradiction_s: {contradiction_s} cannot be kept by a lease of {lease / 1e6:g} s "
            f"with a margin of {margin_s:g} s and clocks {rate_ppm} ppm off: the least is "
            f"{least / 1e6:.3f}; raise it, or lower agreement.lease_s"
        )
    if renew <= 0 or renew * MOST_RENEWALS > lease:
        raise TimingError(
            f"agreement.renew_s: {renew / 1e6:g} is more than a third of the lease of {lease / 1e6:g} s: two "
            "lost answers would end it; lower it, or raise agreement.lease_s"
        )
    return timing
