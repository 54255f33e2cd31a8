"""What eight and more balancers together could use and did, from records alone.  No I/O.

    claim      from                          what must hold
    sum        the processes' own records    at each instant the shares of a budget are at most the whole
    cold       what came to a node           in any fall's time at most its multiple of what it can do by then
    customer   what clients got              in any WINDOW at most the quota, and what ALLOWED has
    repeated   what came to nodes            no request that must not run twice does
    rates      what came to nodes            in any time at most what the rate makes in it and a second more,
                                             and one for each process that ran meanwhile

All times are microseconds of the machine's one monotonic clock.  Where a share changes between two instants,
the lesser one counts from the first to the second: no sound program is accused.

**Customers.**  The module tells what is beyond a share by a mean of what was asked in the last seconds and by
chance, so what is served within a few seconds is no sharp figure; a process that has just started, or was
stopped, knows no rate, nor does one whose neighbour's clients have just come to it.  So a balancer's answers
count only once it has run for SETTLED_US, and no balancer of its hall has gone for NOTICED_US longer.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

ROUNDING = 1e-9  # of the whole
WINDOW_US = 10_000_000
SETTLED_US = 8_000_000  # 1 - 0.8**8 = 83% of a rate are known by then: at most 10% more in a window
SOON_US = 100_000  # after a hold-up all is read that came in it
NOTICED_US = 4_000_000  # until the front deals a dead balancer's clients to its neighbours
# Over a window: what is not known of rates yet (10%), and what chance adds at most to some 600 answers in
# 10,000 windows, 4 standard deviations (16%).
ALLOWED = 1.30
# From a decision until the request is at the node: a dial of at most 250 ms, and a turn of the CPU.
ON_THE_WAY_US = 500_000
BEHIND_US = 2_000_000  # what came in a hold-up of the witness is read by so long after its end


@dataclass(slots=True, frozen=True)
class Told:
    """A module was told between `at` and `done`: of each budget it may use the first part of the whole until
    `until`, and the second from then on."""

    at: int
    done: int
    until: int
    shares: Mapping[str, tuple[float, float]]


@dataclass(slots=True, frozen=True)
class Life:
    """One process, until it ended: what it was told, in order."""

    balancer: str
    told: Sequence[Told]
    ended: int


@dataclass(slots=True, frozen=True)
class Sum:
    """The most that all together could use of a budget, when, and who had how much."""

    most: float = 0.0
    at: int = 0
    budget: str = ""
    held: tuple[tuple[str, float], ...] = ()


def changes(life: Life, budget: str) -> list[tuple[int, float]]:
    """From when on it has which share, in order of time; 0 where it does not know the budget."""
    found: list[tuple[int, float]] = []
    now, until, after = 0.0, 0, 0.0
    for told in life.told:
        if until and until < told.at and after != now:
            found.append((until, after))
            now = after
        first, then = told.shares.get(budget, (0.0, 0.0))
        if first != now:
            found.append((told.at if first < now else told.done, first))
        now, until, after = first, told.until, then
    if until and until < life.ended and after != now:
        found.append((until, after))
    return [(at, share) for at, share in found if at < life.ended] + [(life.ended, 0.0)]


def largest_sum(lives: Iterable[Life]) -> Sum:
    """Over all budgets and instants."""
    lives, worst = list(lives), Sum()
    for budget in sorted({name for life in lives for told in life.told for name in told.shares}):
        steps = sorted((at, share, n) for n, life in enumerate(lives) for at, share in changes(life, budget))
        held = [0.0] * len(lives)
        for at, share, n in steps:
            held[n] = share
            if (total := sum(held)) > worst.most:
                worst = Sum(
                    total,
                    at,
                    budget,
                    tuple((lives[i].balancer, units) for i, units in enumerate(held) if units),
                )
    return worst


@dataclass(slots=True, frozen=True)
class Cold:
    """One start of a node: what it could do, seconds of work a second, grows evenly to `capacity`."""

    began: int
    capacity: float
    cold_share: float
    warm_us: int

    def can(self, at: int) -> float:
        part = min(1.0, (at - self.began) / self.warm_us) if self.warm_us else 1.0
        return self.capacity * (self.cold_share + (1 - self.cold_share) * part)


def longer(at: int, lags: Sequence[tuple[int, int]]) -> int:
    """By how much a window that begins then is longer than it looks, as what came in a hold-up is seen at
    its end.  `lags`: in order."""
    longest, n = 0, bisect_right(lags, at, key=lambda lag: lag[0])
    while n and at <= lags[n - 1][1] + SOON_US:
        n -= 1
        longest = max(longest, lags[n][1] - lags[n][0])
    return longest


def most_of_a_fall(
    node: Cold,
    came: Sequence[tuple[int, int]],
    multiple: float,
    fall_us: int,
    each_us: int,
    lags: Sequence[tuple[int, int]] = (),
) -> float:
    """`came`: (clock, work of a request in microseconds), in order.  The most, in any fall's time while it
    is cold, of what makes it fall; one request counts for `each_us` at most.  `lags`: from when until when
    the node itself was held up."""
    window: deque[tuple[int, int]] = deque()
    total, most = 0, 0.0
    for at, work in came:
        if at - node.began >= node.warm_us:
            break
        window.append((at, min(work, each_us)))
        total += window[-1][1]
        while at - window[0][0] >= fall_us:
            total -= window.popleft()[1]
        most = max(most, total / (multiple * node.can(at) * (fall_us + longer(window[0][0], lags))))
    return most


def most_of_a_quota(
    served: Sequence[tuple[int, str]],
    settled: Mapping[str, Sequence[tuple[int, int]]],
    quota_per_s: float,
    window_us: int = WINDOW_US,
    lags: Sequence[tuple[int, int]] = (),
) -> float:
    """`served`: (clock, balancer) of each answer to a customer, in order; `settled`: from when until when
    each balancer's count.  The most in any window, of its quota there.

    `lags`: from when until when the clients themselves were held up.  A window that begins with one has what
    came in it.
    """
    window: deque[int] = deque()
    most = 0.0
    for at, balancer in served:
        if not any(since <= at < until for since, until in settled.get(balancer, ())):
            continue
        window.append(at)
        while at - window[0] >= window_us:
            window.popleft()
        most = max(most, len(window) / (quota_per_s * (window_us + longer(window[0], lags)) / 1e6))
    return most


def most_of_a_rate(
    came: Sequence[int],
    per_s: float,
    processes: Sequence[tuple[int, int]],
    lags: Sequence[tuple[int, int]] = (),
    saved_s: float = 1.0,
) -> float:
    """`came`: clocks, in order, at which nodes were sent what all together send at most `per_s` of;
    `processes`: from when until when each balancer's process ran.  The most in any time, of what is said.

    `lags`: from when until when the witness was held up, in order: what came then may have been sent before.
    """
    starts, ends = (sorted(times) for times in zip(*processes, strict=True))
    ended = [end for _, end in lags]
    began = [
        at
        - ON_THE_WAY_US
        - sum(end - since for since, end in lags[bisect_left(ended, at - BEHIND_US) :] if since <= at)
        for at in came
    ]
    over = [bisect_left(ends, at) for at in began]  # so many processes had ended by then
    ran = [bisect_right(starts, at) for at in came]  # and so many had begun
    return max(
        (
            (n + 1 - k) / (per_s * ((came[n] - began[k]) / 1e6 + saved_s) + ran[n] - over[k])
            for n in range(len(came))
            for k in range(n + 1)
        ),
        default=0.0,
    )


COMES, GOES = ("started", "resumed"), ("paused", "killed", "ended")


def settled(
    states: Iterable[tuple[int, str, str]], halls: Mapping[str, str], end: int
) -> dict[str, list[tuple[int, int]]]:
    """From when until when each balancer's answers count.  `states`: (clock, balancer, one of COMES or GOES,
    or what changes nothing), in order; `halls`: where each is."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    since: dict[str, int] = {}
    for at, balancer, state in states:
        if state in COMES:
            since[balancer] = at + SETTLED_US
        elif state in GOES:
            for name in [name for name in since if halls[name] == halls[balancer]]:
                spans[name].append((since[name], at))
                since[name] = max(since[name], at + SETTLED_US + NOTICED_US)
            since.pop(balancer, None)
    for balancer, at in since.items():
        spans[balancer].append((at, end))
    return spans
