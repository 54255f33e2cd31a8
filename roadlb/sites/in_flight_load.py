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

BEGIN, FULL = 0.18, 0.46  # of the way from the usual wait to the aim: where shedding begins, and where ...
MAX_SHED_SHARE = 0.95  # ... all but this would be shed
DEEP_FROM, DEEP_FULL = 0.8, 0.92  # of the demand goes, in the mean: there the mean begins to decide
MAX_SEVERE_SHARE, WAY_MOST = 0.99, 1.5
BEND, TAIL = 0.9, 0.1  # the curve: beyond 0.9 of the way what is kept falls by e for each 0.1
QUICK = 0.15  # of what the wait departs from its mean counts at once
STEADY_US, PROVEN_US = 1_500_000, 2_000_000  # the mean is over this time, and proves itself in that
EACH_US = 200_000  # one look is evidence for no longer: a balancer asked seldom needs more of them
SURE_US, UNSURE_US = 100_000, 200_000  # answers so far apart make the mean sure, and worth nothing
HAND_US, HAND_GAPS = 50_000, 8  # the mean of what is in hand: over this time, or that of so many answers
PACE_US, PACE_GAPS = 1_000_000, 24  # answers a second: the same
KNOWN = 0.25  # of that time must have been spent with work in hand, or nothing is known yet
GAP_MOST_US = 500_000
USUAL_MOST, FIRST_MOST = 0.6, 0.4  # of the aim, and no more, is taken for usual; in the first ...
FIRST_US = 3_000_000  # ... so long, in which all that is known is what is seen
RISE_US, RISE_SHED_US = 5_000_000, 30_000_000  # the usual follows a longer wait so slowly; while shedding
# Servers that have become slower for good show a long wait with little to shed, whatever is shed; where much
# is shed the wait is a queue's, and to take that for usual would let the queue grow (to 0.6 of the aim).
DEEP, RISE_DEEP_US = 0.3, 300_000_000


class SmoothedShare:
    """The share that goes where nearly all must, for long: by the mean of the wait."""

    __slots__ = ("_proven", "_share", "_way")

    def __init__(self) -> None:
        self._way, self._share, self._proven = 0.0, 0.0, 0.0  # means of late; the last one's own mean

    def clear(self) -> None:
        """There was nothing in hand."""
        self._way = self._share = self._proven = 0.0

    def share(self, way: float, quick: float, passed: int, gap: float) -> float:
        """`way`: how far the wait has come, 1 where `quick`, the share by now, is full; `passed` since the
        last look and `gap` between answers in us."""
        if way <= 0 and self._share < 0.01:
            self.clear()
            return quick
        way, passed = min(WAY_MOST, way), min(EACH_US, passed)
        goes = way if way < BEND else 1 - (1 - BEND) * exp(-(way - BEND) / TAIL)
        new = 1 - exp(-passed / STEADY_US)
        self._way += (way - self._way) * new
        self._share += (goes - self._share) * new
        self._proven += (self._share - self._proven) * (1 - exp(-passed / PROVEN_US))
        deep = (min(self._share, self._proven) - DEEP_FROM) / (DEEP_FULL - DEEP_FROM)
        sure = min(1.0, (UNSURE_US - gap) / (UNSURE_US - SURE_US))
        if deep <= 0 or sure <= 0:
            return quick
        held = min(MAX_SEVERE_SHARE, max(0.0, self._share + QUICK * (way - self._way)))
        return quick + (held - quick) * min(1.0, deep) * sure


class InFlightLoad:
    """One balancer's requests at servers, and the answers to them."""

    __slots__ = (
        "_answers",
        "_at",
        "_busy",
        "_first_at",
        "_gap",
        "_heard_at",
        "_mean",
        "_steady",
        "_baseline",
        "_usual_at",
        "_weight",
        "in_flight_count",
    )

    def __init__(self) -> None:
        self.in_flight_count, self._weight = 0, 0.0  # in hand: how many, and the sum of 1 / aim
        self._at, self._mean = 0, 0.0  # when it was brought up to date; the mean of that sum of late
        # Answers, and microseconds with something in hand, of late: idle times say nothing of the pace.
        self._answers, self._busy = 0.0, 0.0
        self._heard_at, self._gap = 0, 20_000.0
        self._baseline, self._usual_at, self._first_at = 0.2, 0, 0  # the wait with room to spare
        self._steady = SmoothedShare()

    def request_started(self, now: int, aim_us: int) -> None:
        """A request whose class has this aim goes to a server for the first time."""
        self._upto(now)
        self.in_flight_count += 1
        self._weight += 1 / aim_us

    def request_ended(self, now: int, aim_us: int) -> None:
        """It has its answer, was given up, or is late."""
        self._upto(now)
        self.in_flight_count -= 1
        self._weight = self._weight - 1 / aim_us if self.in_flight_count else 0.0

    def answer_received(self, now: int) -> None:
        """A server has answered a request that it ran."""
        self._upto(now)
        self._answers += 1
        self._gap += (min(GAP_MOST_US, now - self._heard_at) - self._gap) * 0.05
        self._heard_at = now

    def request_rejected(self, now: int, aim_us: int) -> None:
        """A server had no room for a request: as good as one more that waits."""
        self._upto(now)
        self._mean += 1 / aim_us

    def _upto(self, now: int) -> None:
        passed = now - self._at
        if passed <= 0:
            return
        self._at = now
        self._mean += (self._weight - self._mean) * (1 - exp(-passed / max(HAND_US, HAND_GAPS * self._gap)))
        if self.in_flight_count:
            kept = exp(-passed / self._span)
            self._answers *= kept
            self._busy = self._busy * kept + passed

    @property
    def _span(self) -> float:
        return max(PACE_US, PACE_GAPS * self._gap)

    def expected_wait(self, now: int) -> float:
        """What a request sent now will take, in the mean, in parts of its aim; 0 while too little is
        known."""
        self._upto(now)
        if self._busy < KNOWN * self._span:
            return 0.0
        return self._mean * self._busy / max(1.0, self._answers)

    def shortage(self, now: int) -> float:
        """The share of the demand, 0..DEEP_MOST, that is to be refused."""
        if not self.in_flight_count and self._mean < 1e-9:
            self._steady.clear()
            return 0.0
        wait = self.expected_wait(now)
        if wait <= 0.0:
            return 0.0
        usual = self._baseline
        begin, full = usual + BEGIN * (1 - usual), usual + FULL * (1 - usual)
        way = max(0.0, (wait - begin) / (full - begin))
        share = min(MAX_SHED_SHARE, way)
        passed, self._usual_at, most = now - self._usual_at, now, USUAL_MOST
        self._first_at = self._first_at or now
        if now - self._first_at < FIRST_US:
            slow, most = PACE_US, FIRST_MOST
        elif wait < usual:
            slow = PACE_US
        else:
            slow = RISE_US if share <= 0 else RISE_SHED_US if share < DEEP else RISE_DEEP_US
        self._baseline = min(most, usual + (wait - usual) * (1 - exp(-passed / slow)))
        return self._steady.share(way, share, passed, self._gap)
