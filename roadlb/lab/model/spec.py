"""What one grid node is like: the figures that `NodeModel` goes by."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Spoil(Enum):
    """How an answer goes wrong on the wire.  The request has run in every case.

    An answer that claims fewer bytes than come is not among them: nobody can tell it from a good one with
    noise behind it.
    """

    # Of no use; the connection stays open, but nothing more can be had of it.
    NOISE = "noise"  # bytes that are no HTTP
    HEAD_UNREADABLE = "head unreadable"
    HEAD_ENDLESS = "head endless"  # header lines without an end
    LENGTH_LONG = "length long"  # more claimed than ever come
    LENGTH_TWICE = "length twice"  # two lengths that differ
    LENGTH_NEGATIVE = "length negative"
    CHUNKS_BROKEN = "chunks broken"
    HUGE = "huge"  # 3 GB claimed, which keep coming
    CUT = "cut"  # the connection ends within the body
    # Good, with more than belongs to it.
    COPY_BEHIND = "copy behind"
    NOISE_BEHIND = "noise behind"
    REPORT_UNREADABLE = "report unreadable"
    INTERIM_FIRST = "interim first"  # 1xx answers in front

    @property
    def usable(self) -> bool:
        """Is the answer itself whole and right?"""
        return self in _USABLE


_USABLE = frozenset({Spoil.COPY_BEHIND, Spoil.NOISE_BEHIND, Spoil.REPORT_UNREADABLE, Spoil.INTERIM_FIRST})


@dataclass(slots=True, frozen=True)
class NodeSpec:
    """One machine.  Work is counted in microseconds of a standard core, which has speed 1."""

    kind: str = "new-2c"
    cores: int = 2
    speed: float = 1.0  # of one core
    slots: int = 2  # requests in work at once
    room: int = 40  # requests that may wait for a slot; further ones are turned away unseen

    choke: float = 0.0  # loss when crowded: efficiency is 1 / (1 + choke * excess), where
    choke_at: float = 6.0  # ... excess is what it holds for each core beyond this

    cold_share: float = 0.12  # of its capacity, when it starts cold
    warm_us: int = 0  # until it has all, by time; 0: it starts warm
    warm_work_us: int = 0  # the same by work done, where that comes sooner; 0: by time alone

    cache_keys: int = 0  # how many keys it remembers
    cache_us: int = 0  # and for how long after it last served one
    cache_gain: float = 0.0  # the part of the work that a known key saves

    connections: int = 900  # open at once; requests on further ones are turned away
    connection_work_us: int = 0  # what a new one costs the machine
    connection_wait_us: int = 0  # and its first request in time, as a handshake's round trips do
    table_tax: float = 0.0  # the part of the capacity that a full table of connections takes

    probe_work_us: int = 0
    probes_per_s: int = 1000  # further ones within a second are turned away
    probe_deep: bool = False  # a deep probe waits and is served like a request

    stops_running: bool = False  # work that is cancelled or overdue stops; else it goes on
    work_noise: float = 0.0  # variation of a request's work from one attempt to the next, lognormal
    error_share: float = 0.0  # answers 500 after the work was done
    spoilt_share: float = 0.0
    spoilt_kinds: tuple[Spoil, ...] = ()

    reports: bool = True
    report_period_us: int = 0  # between two looks at its load; 0: each answer has the present one
    report_delay_us: int = 0  # from a look until answers have it
    report_noise: float = 0.0  # standard deviation, as a part of the figure

    falls: bool = True  # pushed over while cold, see `pressure`
    fall_multiple: float = 3.0
    fall_us: int = 1_000_000
    fall_each_us: int = 0  # the most that one request counts for; 0: all its work
    fall_slack_us: int = 0  # work beyond the budget that chance may bring

    def __post_init__(self) -> None:
        for key in ("cores", "slots", "fall_us"):
            if getattr(self, key) < 1:
                raise ValueError(f"{key}: {getattr(self, key)!r} must be at least 1")
        for key in ("cold_share", "cache_gain", "table_tax", "error_share", "spoilt_share"):
            if not 0 <= getattr(self, key) <= 1:
                raise ValueError(f"{key}: {getattr(self, key)!r} is a part of a whole: give 0 to 1")
        if self.speed <= 0:
            raise ValueError(f"speed: {self.speed!r} must be above 0; for a slow machine use the event Slow")
        if self.cold_share <= 0:
            raise ValueError("cold_share: 0 would never warm up by work: give at least 0.01")
        if self.spoilt_share and not self.spoilt_kinds:
            raise ValueError("spoilt_kinds: empty, though spoilt_share is not 0: name some kinds of Spoil")

    @property
    def capacity(self) -> float:
        """What it can do when warm, in seconds of standard work a second."""
        return self.cores * self.speed
