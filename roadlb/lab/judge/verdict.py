"""What the judge says at the end: violations, each with the events that led to it, and worth served."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ..wire import WireEvent


class Rule(Enum):
    """What was broken; the value is the word that reports use."""

    LOST = "lost"  # taken, and no whole answer in time
    DOUBLED = "doubled"  # more than one answer
    MISDELIVERED = "misdelivered"  # the answer of another request
    ALTERED = "altered"  # an answer, or a request, that is not what its maker made
    SENT_AFTER_END = "sent-after-end"  # an attempt at a request that had its answer
    REPEATED = "repeated"  # an order sent again although it may have run
    REFUSED_AFTER_RUN = "refused-after-run"
    SECOND_COPY = "second-copy"
    ATTEMPTS = "attempts"  # more than are allowed
    SMUGGLED = "smuggled"  # a node ran what no client had sent
    DRAIN = "drain"  # new work to a node that was told to be draining or gone
    HELD = "held"  # a client's connection, by a balancer out of service for too long
    PUSHED_OVER = "pushed-over"  # a cold node
    UNPAID = "unpaid"  # a rude client had neither an error nor a close in time
    CRASH = "crash"  # a balancer ended by itself


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule: when (microseconds), about whom, in words, and the wire events that show it."""

    rule: Rule
    at: int
    subject: str  # a request's id, a node's or a balancer's name
    text: str
    events: tuple[WireEvent, ...]


@dataclass(frozen=True, slots=True)
class Worth:
    """Shares from 0 to 1 of what was asked for; `service` is the weighted figure less the prices."""

    asked: float  # in units of worth
    served: float
    whole: float
    worst_window: float
    worst_window_at_s: int  # where the worst 10 s begin, on the rehearsal's clock
    by_class: Mapping[str, float]
    by_tenant: Mapping[str, float]  # within its share
    by_second: Mapping[int, tuple[float, float]]  # (asked, served) by the second in which it was due
    prices: Mapping[str, float]  # as shares of service: points / 100
    service: float


@dataclass(frozen=True, slots=True)
class Figures:
    """Counts and quantiles.  A wish is a client's first try with all its retries."""

    wishes: int
    tries: int  # requests taken by a balancer
    served: int  # tries by how they ended
    refused: int
    failed: int
    lost: int
    gone: int  # the client left first, or something other than the balancer ended it
    open_at_end: int
    in_time: int  # wishes answered within their aim
    late: int
    unanswered: int
    attempts: int  # requests that came whole to a node
    attempts_per_try: float
    probes: int
    ran_twice: int  # orders, by wish, whoever was at fault
    hit_share: float | None  # of what nodes began; None where they do not tell
    latency_ms: Mapping[str, Mapping[str, float]]  # by class: p50, p90, p99, p99.9, max of those served
    fallen: tuple[str, ...]  # nodes in the order in which they fell
    lagged_s: float  # for so long the rehearsal itself was held up


@dataclass(frozen=True, slots=True)
class Verdict:
    """`counts` has every violation; `violations` the first ones of each rule."""

    violations: tuple[Violation, ...]
    counts: Mapping[Rule, int]
    worth: Worth
    figures: Figures

    @property
    def kept(self) -> bool:
        """No rule was broken."""
        return not self.counts
