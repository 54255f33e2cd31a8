"""Estimates the share of the demand that the servers cannot carry: requests in flight and Little's law.

Integrating missed aims does not work: a missed aim is itself an integral of excess work, and two integrators
in a feedback loop oscillate for ever, at any gain.  The number of requests in flight is known at once, and by
Little's law, divided by the answers per second, it is the time that a request will take.  Shedding starts a
little above the time that requests take with capacity to spare, and grows from there to the aim.  The
requests in flight react within the time of one request, so the loop has no second integrator and settles.
Balancers that share no state see the same servers, hence the same time, and shed alike.

That share is proportional to the wait, and varies with the few requests that one balancer has in flight.  In
a severe shortage, where nearly all requests must be refused, this is too coarse: one more request in flight
is a tenth of the demand, several times what can be served.  So once nine tenths have been refused for
seconds, the mean of the wait decides, on a curve that never lets the wait settle at the aim, and short-term
changes of the wait count for little.

A request counts from its first attempt until it has its answer or is late: requests stuck at a dead server
are no sign of work.  Waits are in parts of the aim of each request's class, clock times in microseconds.
"""

from __future__ import annotations

from math import exp

# Parts of the distance from the baseline wait to the aim: where shedding starts, and where it reaches its
# limit.
SHED_START, SHED_FULL = 0.18, 0.46
MAX_SHED_SHARE = 0.95  # that limit
SEVERE_START, SEVERE_FULL = 0.8, 0.92  # mean shed share where the mean starts to decide, and decides alone
MAX_SEVERE_SHARE, MAX_PROGRESS = 0.99, 1.5
CURVE_START, CURVE_SCALE = 0.9, 0.1  # beyond a progress of 0.9 the kept share falls by e per 0.1
DEVIATION_WEIGHT = 0.15  # of the deviation of the wait from its mean
MEAN_US, CONFIRMATION_US = 1_500_000, 2_000_000  # time constants of the mean, and of its confirmation
MAX_SAMPLE_US = 200_000  # one sample counts for no longer: with few requests more samples are needed
# Mean gaps between answers at which the mean is fully trusted, and not at all.
TRUSTED_GAP_US, UNTRUSTED_GAP_US = 100_000, 200_000
# The mean of the requests in flight is over this time, or over that of so many answers if longer.
IN_FLIGHT_MEAN_US, IN_FLIGHT_MEAN_GAPS = 50_000, 8
RATE_MEAN_US, RATE_MEAN_GAPS = 1_000_000, 24  # the same for the answers per second
MIN_BUSY_SHARE = 0.25  # share of that time with requests in flight, below which nothing is known yet
MAX_GAP_US = 500_000
# Upper limits of the baseline wait, as parts of the aim: in general, and in the initial time.
MAX_BASELINE, MAX_INITIAL_BASELINE = 0.6, 0.4
INITIAL_US = 3_000_000  # initially the baseline follows every wait, as nothing else is known
# Time constants with which the baseline follows a longer wait: in general, and while shedding.
BASELINE_RISE_US, BASELINE_RISE_SHEDDING_US = 5_000_000, 30_000_000
# Servers that have become slower for good show a long wait at a low shed share, whatever is shed.  At a high
# share the wait is that of a queue, and taking it as the baseline would let the queue grow (to 0.6 of the
# aim).
SEVERE_SHARE, BASELINE_RISE_SEVERE_US = 0.3, 300_000_000


class SmoothedShare:
    """The share to refuse in a long, severe shortage, by the mean of the wait."""

    __slots__ = ("_confirmed_share", "_mean_progress", "_mean_share")

    def __init__(self) -> None:
        # Recent means of the progress and of the share; the mean of the latter mean.
        self._mean_progress, self._mean_share, self._confirmed_share = 0.0, 0.0, 0.0

    def clear(self) -> None:
        """Reset the means, as nothing was in flight."""
        self._mean_progress = self._mean_share = self._confirmed_share = 0.0

    def share(self, progress: float, current_share: float, elapsed_us: int, gap_us: float) -> float:
        """The share to refuse, from the `current_share` that the present wait gives.

        `progress`: the wait between the start of shedding, 0, and its full share, 1; `elapsed_us` since the
        last call; `gap_us` between answers.
        """
        if progress <= 0 and self._mean_share < 0.01:
            self.clear()
            return current_share
        progress, elapsed_us = min(MAX_PROGRESS, progress), min(MAX_SAMPLE_US, elapsed_us)
        target_share = (
            progress
            if progress < CURVE_START
            else 1 - (1 - CURVE_START) * exp(-(progress - CURVE_START) / CURVE_SCALE)
        )
        sample_weight = 1 - exp(-elapsed_us / MEAN_US)
        self._mean_progress += (progress - self._mean_progress) * sample_weight
        self._mean_share += (target_share - self._mean_share) * sample_weight
        self._confirmed_share += (self._mean_share - self._confirmed_share) * (
            1 - exp(-elapsed_us / CONFIRMATION_US)
        )
        severity = (min(self._mean_share, self._confirmed_share) - SEVERE_START) / (
            SEVERE_FULL - SEVERE_START
        )
        confidence = min(1.0, (UNTRUSTED_GAP_US - gap_us) / (UNTRUSTED_GAP_US - TRUSTED_GAP_US))
        if severity <= 0 or confidence <= 0:
            return current_share
        smoothed = min(
            MAX_SEVERE_SHARE, max(0.0, self._mean_share + DEVIATION_WEIGHT * (progress - self._mean_progress))
        )
        return current_share + (smoothed - current_share) * min(1.0, severity) * confidence


class InFlightLoad:
    """One balancer's requests in flight at servers, and the answers to them."""

    __slots__ = (
        "_answer_count",
        "_baseline",
        "_baseline_at",
        "_busy_us",
        "_first_at",
        "_in_flight_weight",
        "_last_answer_at",
        "_mean_gap_us",
        "_mean_weight",
        "_smoothed_share",
        "_updated_at",
        "in_flight_count",
    )

    def __init__(self) -> None:
        self.in_flight_count, self._in_flight_weight = 0, 0.0  # the latter: the sum of 1 / aim
        # The time of the last update; the recent mean of that sum.
        self._updated_at, self._mean_weight = 0, 0.0
        # Recent answers, and recent microseconds with requests in flight: idle times say nothing of the
        # answer rate.
        self._answer_count, self._busy_us = 0.0, 0.0
        self._last_answer_at, self._mean_gap_us = 0, 20_000.0
        self._baseline, self._baseline_at, self._first_at = 0.2, 0, 0  # the wait with capacity to spare
        self._smoothed_share = SmoothedShare()

    def request_started(self, now: int, aim_us: int) -> None:
        """A request whose class has this aim is sent to a server for the first time."""
        self._advance_to(now)
        self.in_flight_count += 1
        self._in_flight_weight += 1 / aim_us

    def request_ended(self, now: int, aim_us: int) -> None:
        """The request has its answer, was given up, or is late."""
        self._advance_to(now)
        self.in_flight_count -= 1
        self._in_flight_weight = self._in_flight_weight - 1 / aim_us if self.in_flight_count else 0.0

    def answer_received(self, now: int) -> None:
        """A server has answered a request that it executed."""
        self._advance_to(now)
        self._answer_count += 1
        self._mean_gap_us += (min(MAX_GAP_US, now - self._last_answer_at) - self._mean_gap_us) * 0.05
        self._last_answer_at = now

    def request_rejected(self, now: int, aim_us: int) -> None:
        """A server had no capacity for a request, which counts like one more waiting request."""
        self._advance_to(now)
        self._mean_weight += 1 / aim_us

    def _advance_to(self, now: int) -> None:
        elapsed_us = now - self._updated_at
        if elapsed_us <= 0:
            return
        self._updated_at = now
        self._mean_weight += (self._in_flight_weight - self._mean_weight) * (
            1 - exp(-elapsed_us / max(IN_FLIGHT_MEAN_US, IN_FLIGHT_MEAN_GAPS * self._mean_gap_us))
        )
        if self.in_flight_count:
            decay = exp(-elapsed_us / self._rate_window_us)
            self._answer_count *= decay
            self._busy_us = self._busy_us * decay + elapsed_us

    @property
    def _rate_window_us(self) -> float:
        return max(RATE_MEAN_US, RATE_MEAN_GAPS * self._mean_gap_us)

    def expected_wait(self, now: int) -> float:
        """The mean time that a request sent now will take, in parts of its aim; 0 if too little is known."""
        self._advance_to(now)
        if self._busy_us < MIN_BUSY_SHARE * self._rate_window_us:
            return 0.0
        return self._mean_weight * self._busy_us / max(1.0, self._answer_count)

    def shortage(self, now: int) -> float:
        """The share of the demand to refuse, 0..MAX_SEVERE_SHARE."""
        if not self.in_flight_count and self._mean_weight < 1e-9:
            self._smoothed_share.clear()
            return 0.0
        wait = self.expected_wait(now)
        if wait <= 0.0:
            return 0.0
        baseline = self._baseline
        start, full = baseline + SHED_START * (1 - baseline), baseline + SHED_FULL * (1 - baseline)
        progress = max(0.0, (wait - start) / (full - start))
        share = min(MAX_SHED_SHARE, progress)
        elapsed_us, self._baseline_at, max_baseline = now - self._baseline_at, now, MAX_BASELINE
        self._first_at = self._first_at or now
        if now - self._first_at < INITIAL_US:
            time_constant_us, max_baseline = RATE_MEAN_US, MAX_INITIAL_BASELINE
        elif wait < baseline:
            time_constant_us = RATE_MEAN_US
        else:
            time_constant_us = (
                BASELINE_RISE_US
                if share <= 0
                else BASELINE_RISE_SHEDDING_US
                if share < SEVERE_SHARE
                else BASELINE_RISE_SEVERE_US
            )
        self._baseline = min(
            max_baseline, baseline + (wait - baseline) * (1 - exp(-elapsed_us / time_constant_us))
        )
        return self._smoothed_share.share(progress, share, elapsed_us, self._mean_gap_us)
