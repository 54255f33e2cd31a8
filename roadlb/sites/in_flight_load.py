"""How much of the demand the servers cannot carry, from what this balancer has in hand: Little's law.

Pressure to shed was an integral of missed aims, and a missed aim is an integral of too much work: two
integrators in a ring swing for ever, at any gain.  What is in hand, though, is known at once, and by
Little's law requests in hand over answers a second is the time that a request will take.  Shedding begins a
little above what requests take with room to spare, and grows on the way from there to the aim: what is in
hand answers within the time of one request, so the ring has no second integrator and settles.  Balancers
that share nothing see the same servers, hence the same time, hence shed alike.

That share is proportional to the wait, and swings with the few requests that one balancer has in hand.  Where
nearly all must go that is too coarse: one request more in hand is a tenth of the demand, several times what
can be served.  So once nine tenths have gone for seconds, the mean of the wait decides, on a curve that never
lets the wait stand at the aim, and what the wait does from moment to moment counts for little.

A request counts from its first attempt until it has its answer or is late: what a dead server holds is no
sign of work.  Waits are in parts of the aim of each request's class, clock times in microseconds.
"""

from __future__ import annotations

from math import exp

# of the way from the usual wait to the aim: where shedding begins, and where ...
SHED_START, SHED_FULL = 0.18, 0.46
MAX_SHED_SHARE = 0.95  # ... all but this would be shed
SEVERE_START, SEVERE_FULL = 0.8, 0.92  # of the demand goes, in the mean: there the mean begins to decide
MAX_SEVERE_SHARE, MAX_PROGRESS = 0.99, 1.5
CURVE_START, CURVE_SCALE = 0.9, 0.1  # the curve: beyond 0.9 of the way what is kept falls by e for each 0.1
DEVIATION_WEIGHT = 0.15  # of what the wait departs from its mean counts at once
MEAN_US, CONFIRMATION_US = 1_500_000, 2_000_000  # the mean is over this time, and proves itself in that
MAX_SAMPLE_US = 200_000  # one look is evidence for no longer: a balancer asked seldom needs more of them
# answers so far apart make the mean sure, and worth nothing
TRUSTED_GAP_US, UNTRUSTED_GAP_US = 100_000, 200_000
# the mean of what is in hand: over this time, or that of so many answers
IN_FLIGHT_MEAN_US, IN_FLIGHT_MEAN_GAPS = 50_000, 8
RATE_MEAN_US, RATE_MEAN_GAPS = 1_000_000, 24  # answers a second: the same
MIN_BUSY_SHARE = 0.25  # of that time must have been spent with work in hand, or nothing is known yet
MAX_GAP_US = 500_000
MAX_BASELINE, MAX_INITIAL_BASELINE = 0.6, 0.4  # of the aim, and no more, is taken for usual; in the first ...
INITIAL_US = 3_000_000  # ... so long, in which all that is known is what is seen
# the usual follows a longer wait so slowly; while shedding
BASELINE_RISE_US, BASELINE_RISE_SHEDDING_US = 5_000_000, 30_000_000
# Servers that have become slower for good show a long wait with little to shed, whatever is shed; where much
# is shed the wait is a queue's, and to take that for usual would let the queue grow (to 0.6 of the aim).
SEVERE_SHARE, BASELINE_RISE_SEVERE_US = 0.3, 300_000_000


class SmoothedShare:
    """The share that goes where nearly all must, for long: by the mean of the wait."""

    __slots__ = ("_confirmed_share", "_mean_progress", "_mean_share")

    def __init__(self) -> None:
        # means of late; the last one's own mean
        self._mean_progress, self._mean_share, self._confirmed_share = 0.0, 0.0, 0.0

    def clear(self) -> None:
        """There was nothing in hand."""
        self._mean_progress = self._mean_share = self._confirmed_share = 0.0

    def share(self, progress: float, current_share: float, elapsed_us: int, gap_us: float) -> float:
        """`way`: how far the wait has come, 1 where `quick`, the share by now, is full; `passed` since the
        last look and `gap` between answers in us."""
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
    """One balancer's requests at servers, and the answers to them."""

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
        self.in_flight_count, self._in_flight_weight = 0, 0.0  # in hand: how many, and the sum of 1 / aim
        # when it was brought up to date; the mean of that sum of late
        self._updated_at, self._mean_weight = 0, 0.0
        # Answers, and microseconds with something in hand, of late: idle times say nothing of the pace.
        self._answer_count, self._busy_us = 0.0, 0.0
        self._last_answer_at, self._mean_gap_us = 0, 20_000.0
        self._baseline, self._baseline_at, self._first_at = 0.2, 0, 0  # the wait with room to spare
        self._smoothed_share = SmoothedShare()

    def request_started(self, now: int, aim_us: int) -> None:
        """A request whose class has this aim goes to a server for the first time."""
        self._advance_to(now)
        self.in_flight_count += 1
        self._in_flight_weight += 1 / aim_us

    def request_ended(self, now: int, aim_us: int) -> None:
        """It has its answer, was given up, or is late."""
        self._advance_to(now)
        self.in_flight_count -= 1
        self._in_flight_weight = self._in_flight_weight - 1 / aim_us if self.in_flight_count else 0.0

    def answer_received(self, now: int) -> None:
        """A server has answered a request that it ran."""
        self._advance_to(now)
        self._answer_count += 1
        self._mean_gap_us += (min(MAX_GAP_US, now - self._last_answer_at) - self._mean_gap_us) * 0.05
        self._last_answer_at = now

    def request_rejected(self, now: int, aim_us: int) -> None:
        """A server had no room for a request: as good as one more that waits."""
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
        """What a request sent now will take, in the mean, in parts of its aim; 0 while too little is
        known."""
        self._advance_to(now)
        if self._busy_us < MIN_BUSY_SHARE * self._rate_window_us:
            return 0.0
        return self._mean_weight * self._busy_us / max(1.0, self._answer_count)

    def shortage(self, now: int) -> float:
        """The share of the demand, 0..DEEP_MOST, that is to be refused."""
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
