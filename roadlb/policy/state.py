"""Records of servers, classes, requests, attempts and timers that `roadlb.policy.logic` decides with."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..routing.slow_start_budget import SlowStartBudget
from ..routing.key_order import HASH_MASK, splitmix64
from ..routing.health import ServerHealth
from ..sites.warm_up import WarmUp
from ..sites.in_flight_load import InFlightLoad
from .interface import Effect, RequestClass, ServerId, ServerView, SetTimer

LOAD_MEMORY_US = 2_000_000  # time constant of the mean of requests in flight at a server
TIMER_SLOT_US = 5_000  # an entry is read at most this late


@dataclass(slots=True, eq=False)
class Server(ServerHealth):
    """What this balancer knows of one server; its health is in the base class."""

    id: ServerId
    started_us: int = 0  # clock time of its last start; 0: long ago or not known
    mean_updated_us: int = 0  # when `mean_in_flight` was last brought up to date
    cell: int = 0
    zone: int = 0
    weight: float = 1.0  # its size relative to other servers
    is_ready: bool = True  # the server list has it as ready
    share: float = 1.0  # lower bound of the part of its capacity that it has by now, 0..1
    unit_load: float = 1.0  # load that one request in flight adds: 1 / (weight x share)
    in_flight: int = 0  # attempts of this balancer in flight there
    mean_in_flight: float = 0.0  # their recent mean
    queue_share: float = 0.0  # this balancer's part of `queue`, as of `reported_us`
    reported_us: int = 0  # when it last reported its queue
    queue: float = 0.0  # the queue that it reported, of all balancers
    budget: SlowStartBudget = field(default_factory=SlowStartBudget)
    # When each idle connection to it became idle, the longest idle first.
    idle_since_us: list[int] = field(default_factory=list)
    hash: int = field(init=False)

    def __post_init__(self) -> None:
        self.hash = splitmix64(int.from_bytes(self.id, "big")) & HASH_MASK

    def capacity_share_at(self, warmth: WarmUp, now: int) -> float:
        """A lower bound of the part of its capacity that it has at this time."""
        return warmth.capacity_share(now, self.zone, self.started_us)

    def load(self, now: int, aim_us: int) -> float:
        """Own requests in flight, now and in the recent mean, and a reported queue, per capacity."""
        elapsed_us = now - self.mean_updated_us
        if elapsed_us > 0:
            self.mean_in_flight += (
                (self.in_flight - self.mean_in_flight) * elapsed_us / (elapsed_us + LOAD_MEMORY_US)
            )
            self.mean_updated_us = now
        if self.queue_share:  # served meanwhile, though no request has brought a newer report
            age_aims = (now - self.reported_us) / aim_us
            return (
                self.mean_in_flight + self.in_flight + self.queue_share / (1 + age_aims * age_aims)
            ) * self.unit_load
        return (self.mean_in_flight + self.in_flight) * self.unit_load

    def reported_load(self, now: int, aim_us: int) -> float:
        """An estimate of how many requests of the queue it last reported still wait, per capacity."""
        age_aims = (now - self.reported_us) / aim_us
        return self.queue / (1 + age_aims * age_aims) * self.unit_load

    def view(self, now: int, share: float, patience_us: int) -> ServerView:
        """The view of this server, which has this share of its capacity by now."""
        elapsed_us = max(0, now - self.mean_updated_us)
        mean_in_flight = self.mean_in_flight + (self.in_flight - self.mean_in_flight) * elapsed_us / (
            elapsed_us + LOAD_MEMORY_US
        )
        return ServerView(
            self.id,
            self.is_ready and self.is_eligible(now, self.in_flight, patience_us),
            share,
            self.ejected_until > 0,
            self.is_suspect(now),
            (mean_in_flight + self.in_flight) / (self.weight * share),
            self.started_us,
            self.budget.rejected_count,
            self.zone,
        )

    def connected(self, now: int, keep_us: int) -> bool:
        """Drop connections idle for longer than `keep_us`; return whether one is left for a request."""
        idle_since_us = self.idle_since_us
        # Sorted by time: index 0 is idle longest and expires first; requests use the last one.
        while idle_since_us and now - idle_since_us[0] > keep_us:
            del idle_since_us[0]
        return bool(idle_since_us)


@dataclass(slots=True, eq=False)
class ClassState:
    """A class of requests and the recent latencies of its answers."""

    spec: RequestClass
    mean_us: float  # recent mean
    tail_us: float  # about the 90th percentile
    min_latency_us: int = -1  # of all good answers; -1 before the first
    listed_class: ClassState | None = None  # for open requests under a former rule: their class
    # The lowest value that `mean_us` has had: stands for the work of a request without a hint.
    base_latency_us: float = field(init=False)

    def __post_init__(self) -> None:
        self.base_latency_us = self.mean_us

    def record_latency(self, took_us: int) -> None:
        """Update the latencies with a good answer."""
        self.min_latency_us = took_us if self.min_latency_us < 0 else min(took_us, self.min_latency_us)
        self.mean_us += (took_us - self.mean_us) * 0.02
        self.base_latency_us = min(self.base_latency_us, self.mean_us)
        self.tail_us = max(
            self.mean_us, self.tail_us + self.mean_us * 0.05 * (0.9 if took_us > self.tail_us else -0.1)
        )


class Attempt:
    """One attempt of a request at a server, sent at clock time `sent_us`."""

    __slots__ = ("cancelled", "is_open", "may_have_run", "sent_us", "server", "slow_start_capacity")

    def __init__(self, server: Server, sent_us: int) -> None:
        self.server, self.sent_us = server, sent_us
        self.is_open = True
        self.cancelled = False
        self.slow_start_capacity = 0.0  # capacity that it occupies, if its server is in slow start
        self.may_have_run = True  # until an outcome proves that it did not


class Request:
    """A request and its attempts; kept until all of them have ended."""

    __slots__ = (
        "attempts",
        "closed",
        "cls",
        "deadline_at_us",
        "due",
        "id",
        "in_progress",
        "is_late",
        "is_order",
        "key",
        "last_resort",
        "only_site",
        "open_attempts",
        "spare_only",
        "streaming",
        "uploading",
        "work_us",
    )

    def __init__(
        self,
        id: int,
        cls: ClassState,
        key: int,
        work_us: int,
        deadline_at_us: int,
        due: int,
        uploading: bool = False,
    ) -> None:
        self.uploading = uploading  # its body is not complete, so no server has begun with it
        self.id, self.cls, self.key, self.work_us = id, cls, key, work_us
        self.is_order = cls.spec.effect is not Effect.SAFE  # it may not run any number of times
        self.deadline_at_us = deadline_at_us  # clock time at which the client gives up
        self.due = due  # clock time of the latency target
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.closed = self.streaming = False
        self.is_late = False  # not answered at `due`
        self.only_site = -1  # may go to this site only, as no other has capacity for it; -1: to any
        self.spare_only = False  # may go only to a server that gets less load than it could take
        self.in_progress = False  # is counted in the load in flight
        self.last_resort = False  # may go to a suspect server, as no other is usable

    def open_uncancelled(self, except_attempt: int = -1) -> list[tuple[int, Attempt]]:
        """Return (number, attempt) of each attempt in flight and not cancelled, but for `except_attempt`."""
        return [
            (n, attempt)
            for n, attempt in enumerate(self.attempts)
            if attempt.is_open and not attempt.cancelled and n != except_attempt
        ]

    def start_progress(self, now: int, fleet_load: InFlightLoad) -> None:
        """Count it in the load in flight until it is answered, given up or late."""
        self.in_progress = True
        fleet_load.request_started(now, self.cls.spec.aim_us)

    def end_progress(self, now: int, fleet_load: InFlightLoad) -> None:
        if self.in_progress:
            self.in_progress = False
            fleet_load.request_ended(now, self.cls.spec.aim_us)

    def write_by_us(self) -> int:
        """Clock time by which a retry has to be written; 0: at any time.

        Servers discard a repeat of a keyed request only within a window after an attempt that may have run.
        """
        first = self.earliest_run() if self.attempts and self.cls.spec.effect is Effect.KEYED else None
        return first.sent_us + self.cls.spec.window_us if first else 0

    def earliest_run(self) -> Attempt | None:
        """The earliest attempt that may have run or may be running."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None


class TimerSlots:
    """Entries by clock time, in slots of TIMER_SLOT_US; all entries of a slot share one timer."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: dict[int, list[int]] = {}

    def schedule(self, at: int, entry: int) -> SetTimer | None:
        """Keep an entry until clock time `at`; returns the timer to set, unless its slot has one."""
        slot = at // TIMER_SLOT_US + 1
        entries = self._slots.get(slot)
        if entries is not None:
            entries.append(entry)
            return None
        self._slots[slot] = [entry]
        return SetTimer(slot * TIMER_SLOT_US, slot)

    def pop(self, token: int) -> Sequence[int]:
        """Remove and return the entries of the timer that has fired, in the order of insertion."""
        return self._slots.pop(token, ())
