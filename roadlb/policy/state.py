"""The records that `roadlb.policy.logic` keeps: servers, requests, notes for later.  It decides nothing."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..routing.cold import ColdBudget
from ..routing.key_order import HASH, mix
from ..routing.standing import Standing
from ..sites.warmth import Warmth
from ..sites.work_in_hand import WorkInHand
from .interface import Effect, RequestClass, ServerId, ServerView, SetTimer

LOAD_MEMORY_US = 2_000_000  # memory of a server's mean load
TIMER_SLOT_US = 5_000  # a note is read so much late at the most


@dataclass(slots=True, eq=False)
class Server(Standing):
    """What this node knows of one server; how it stands with it is its `Standing`."""

    id: ServerId
    started_us: int = 0  # clock time of its last start; 0: long ago
    mean_updated_us: int = 0  # when `mean` was last brought up to date
    cell: int = 0
    zone: int = 0
    weight: float = 1.0  # its size against the others'
    is_ready: bool = True  # listed as ready
    share: float = 1.0  # the part of its capacity that it has by now, at the least
    unit_load: float = 1.0  # 1 / (weight x share)
    in_flight: int = 0  # own attempts in flight
    mean_in_flight: float = 0.0  # the same on the mean of late
    queue_share: float = 0.0  # this node's part of a reported queue, when it was reported
    reported_us: int = 0
    queue: float = 0.0  # the whole of that queue
    budget: ColdBudget = field(default_factory=ColdBudget)
    idle_since_us: list[int] = field(
        default_factory=list
    )  # when each connection that idles there came to rest
    hash: int = field(init=False)

    def __post_init__(self) -> None:
        self.hash = mix(int.from_bytes(self.id, "big")) & HASH

    def capacity_share_at(self, warmth: Warmth, now: int) -> float:
        """The least part of its capacity that it can have by now."""
        return warmth.part(now, self.zone, self.started_us)

    def load(self, now: int, aim_us: int) -> float:
        """Own requests in flight, now and on the mean of late, for the capacity; plus a reported queue."""
        elapsed_us = now - self.mean_updated_us
        if elapsed_us > 0:
            self.mean_in_flight += (
                (self.in_flight - self.mean_in_flight) * elapsed_us / (elapsed_us + LOAD_MEMORY_US)
            )
            self.mean_updated_us = now
        if self.queue_share:  # it has been worked off since, though nothing was sent there that would tell
            age_aims = (now - self.reported_us) / aim_us
            return (
                self.mean_in_flight + self.in_flight + self.queue_share / (1 + age_aims * age_aims)
            ) * self.unit_load
        return (self.mean_in_flight + self.in_flight) * self.unit_load

    def reported_load(self, now: int, aim_us: int) -> float:
        """Of the requests that it reported, those still there, for the capacity."""
        age_aims = (now - self.reported_us) / aim_us
        return self.queue / (1 + age_aims * age_aims) * self.unit_load

    def view(self, now: int, share: float, patience_us: int) -> ServerView:
        """What is believed of it, which has this part of its capacity by now."""
        elapsed_us = max(0, now - self.mean_updated_us)
        mean_in_flight = self.mean_in_flight + (self.in_flight - self.mean_in_flight) * elapsed_us / (
            elapsed_us + LOAD_MEMORY_US
        )
        return ServerView(
            self.id,
            self.is_ready and self.eligible(now, self.in_flight, patience_us),
            share,
            self.eject_until > 0,
            self.suspect(now),
            (mean_in_flight + self.in_flight) / (self.weight * share),
            self.started_us,
            self.budget.passed,
            self.zone,
        )

    def connected(self, now: int, keep_us: int) -> bool:
        """Does a connection idle there that a request could take, where each is kept for `keep` us?"""
        idle_since_us = self.idle_since_us
        while (
            idle_since_us and now - idle_since_us[0] > keep_us
        ):  # the longest idle ends first; the last is taken first
            del idle_since_us[0]
        return bool(idle_since_us)


@dataclass(slots=True, eq=False)
class ClassState:
    """A class of request with what its answers have taken of late."""

    spec: RequestClass
    mean_us: float
    tail_us: float  # about the ninetieth percentile
    min_latency_us: int = -1  # of all its good answers; -1 before the first
    listed_class: ClassState | None = None  # requests that keep a former rule of this class
    base_latency_us: float = field(
        init=False
    )  # the least that `latency` has been: its work, against other classes

    def __post_init__(self) -> None:
        self.base_latency_us = self.mean_us

    def record_latency(self, took_us: int) -> None:
        """A good answer took so long."""
        self.min_latency_us = took_us if self.min_latency_us < 0 else min(took_us, self.min_latency_us)
        self.mean_us += (took_us - self.mean_us) * 0.02
        self.base_latency_us = min(self.base_latency_us, self.mean_us)
        self.tail_us = max(
            self.mean_us, self.tail_us + self.mean_us * 0.05 * (0.9 if took_us > self.tail_us else -0.1)
        )


class Attempt:
    """One send of a request to a server, at clock time `sent`."""

    __slots__ = ("cancelled", "is_open", "may_have_run", "sent_us", "server", "slow_start_capacity")

    def __init__(self, server: Server, sent_us: int) -> None:
        self.server, self.sent_us = server, sent_us
        self.is_open = True
        self.cancelled = False
        self.slow_start_capacity = 0.0  # of the capacity of cold servers
        self.may_have_run = True  # it may have; taken back by an outcome that proves that it did not


class Request:
    """A request with its attempts, until all of them are over."""

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
        self.uploading = uploading  # no server has begun with it, as its body still comes
        self.id, self.cls, self.key, self.work_us = id, cls, key, work_us
        self.is_order = cls.spec.effect is not Effect.SAFE  # it may not be repeated at will
        self.deadline_at_us = deadline_at_us  # the client gives this try up then
        self.due = due  # the answer is wanted by then
        self.attempts: list[Attempt] = []
        self.open_attempts = 0  # attempts in flight
        self.closed = self.streaming = False
        self.is_late = False  # not answered when due
        self.only_site = -1  # it goes to this one or nowhere: no other has room for it
        self.spare_only = False  # it goes to a server that gets less than it could, or nowhere
        self.in_progress = False  # counts as work in hand
        self.last_resort = False  # may go to a suspect server, as there is no other

    def open_uncancelled(self, except_attempt: int = -1) -> list[tuple[int, Attempt]]:
        """The attempts in flight that are not called off, by number, except one."""
        return [
            (n, attempt)
            for n, attempt in enumerate(self.attempts)
            if attempt.is_open and not attempt.cancelled and n != except_attempt
        ]

    def start_progress(self, now: int, in_flight_load: WorkInHand) -> None:
        """It is in work now, till it is let go: answered, given up, or late."""
        self.in_progress = True
        in_flight_load.began(now, self.cls.spec.aim_us)

    def end_progress(self, now: int, in_flight_load: WorkInHand) -> None:
        if self.in_progress:
            self.in_progress = False
            in_flight_load.ended(now, self.cls.spec.aim_us)

    def write_by_us(self) -> int:
        """A repeat has to reach its server while what may have run is remembered; 0: at any time."""
        first = self.earliest_run() if self.attempts and self.cls.spec.effect is Effect.KEYED else None
        return first.sent_us + self.cls.spec.window_us if first else 0

    def earliest_run(self) -> Attempt | None:
        """The earliest attempt that may have run, or may be running."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None


class TimerSlots:
    """A timer wheel; a slot costs one timer, whatever it holds."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: dict[int, list[int]] = {}

    def schedule(self, at: int, entry: int) -> SetTimer | None:
        """Keep a note until clock time `at`; the timer to set for it, if none is set for its slot yet."""
        slot = at // TIMER_SLOT_US + 1
        entries = self._slots.get(slot)
        if entries is not None:
            entries.append(entry)
            return None
        self._slots[slot] = [entry]
        return SetTimer(slot * TIMER_SLOT_US, slot)

    def pop(self, token: int) -> Sequence[int]:
        """The notes of the timer with this token, which has fired, in their order."""
        return self._slots.pop(token, ())
