"""The records that `roadlb.policy.logic` keeps: servers, requests, notes for later.  It decides nothing."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..routing.cold import ColdBudget
from ..routing.key_order import HASH, mix
from ..routing.standing import Standing
from ..sites.warm_up import WarmUp
from ..sites.in_flight_load import InFlightLoad
from .interface import Effect, RequestClass, ServerId, ServerView, SetTimer

TAU_US = 2_000_000  # memory of a server's mean load
SLOT_US = 5_000  # a note is read so much late at the most


@dataclass(slots=True, eq=False)
class Server(Standing):
    """What this node knows of one server; how it stands with it is its `Standing`."""

    id: ServerId
    born: int = 0  # clock time of its last start; 0: long ago
    at: int = 0  # when `mean` was last brought up to date
    cell: int = 0
    zone: int = 0
    weight: float = 1.0  # its size against the others'
    up: bool = True  # listed as ready
    share: float = 1.0  # the part of its capacity that it has by now, at the least
    inverse: float = 1.0  # 1 / (weight x share)
    out: int = 0  # own attempts in flight
    mean: float = 0.0  # the same on the mean of late
    queue: float = 0.0  # this node's part of a reported queue, when it was reported
    queue_at: int = 0
    told: float = 0.0  # the whole of that queue
    cold: ColdBudget = field(default_factory=ColdBudget)
    rested: list[int] = field(default_factory=list)  # when each connection that idles there came to rest
    hash: int = field(init=False)

    def __post_init__(self) -> None:
        self.hash = mix(int.from_bytes(self.id, "big")) & HASH

    def part(self, warmth: WarmUp, now: int) -> float:
        """The least part of its capacity that it can have by now."""
        return warmth.capacity_share(now, self.zone, self.born)

    def load(self, now: int, aim_us: int) -> float:
        """Own requests in flight, now and on the mean of late, for the capacity; plus a reported queue."""
        dt = now - self.at
        if dt > 0:
            self.mean += (self.out - self.mean) * dt / (dt + TAU_US)
            self.at = now
        if self.queue:  # it has been worked off since, though nothing was sent there that would tell
            age = (now - self.queue_at) / aim_us
            return (self.mean + self.out + self.queue / (1 + age * age)) * self.inverse
        return (self.mean + self.out) * self.inverse

    def waiting(self, now: int, aim_us: int) -> float:
        """Of the requests that it reported, those still there, for the capacity."""
        age = (now - self.queue_at) / aim_us
        return self.told / (1 + age * age) * self.inverse

    def view(self, now: int, share: float, patience_us: int) -> ServerView:
        """What is believed of it, which has this part of its capacity by now."""
        passed = max(0, now - self.at)
        mean = self.mean + (self.out - self.mean) * passed / (passed + TAU_US)
        return ServerView(
            self.id,
            self.up and self.eligible(now, self.out, patience_us),
            share,
            self.eject_until > 0,
            self.suspect(now),
            (mean + self.out) / (self.weight * share),
            self.born,
            self.cold.passed,
            self.zone,
        )

    def connected(self, now: int, keep: int) -> bool:
        """Does a connection idle there that a request could take, where each is kept for `keep` us?"""
        rested = self.rested
        while rested and now - rested[0] > keep:  # the longest idle ends first; the last is taken first
            del rested[0]
        return bool(rested)


@dataclass(slots=True, eq=False)
class ClassState:
    """A class of request with what its answers have taken of late."""

    spec: RequestClass
    latency: float
    tail: float  # about the ninetieth percentile
    quickest: int = -1  # of all its good answers; -1 before the first
    of: ClassState | None = None  # requests that keep a former rule of this class
    least: float = field(init=False)  # the least that `latency` has been: its work, against other classes

    def __post_init__(self) -> None:
        self.least = self.latency

    def took(self, latency: int) -> None:
        """A good answer took so long."""
        self.quickest = latency if self.quickest < 0 else min(latency, self.quickest)
        self.latency += (latency - self.latency) * 0.02
        self.least = min(self.least, self.latency)
        self.tail = max(
            self.latency, self.tail + self.latency * 0.05 * (0.9 if latency > self.tail else -0.1)
        )


class Attempt:
    """One send of a request to a server, at clock time `sent`."""

    __slots__ = ("called_off", "held", "open", "ran", "sent", "server")

    def __init__(self, server: Server, sent: int) -> None:
        self.server, self.sent = server, sent
        self.open = True
        self.called_off = False
        self.held = 0.0  # of the capacity of cold servers
        self.ran = True  # it may have; taken back by an outcome that proves that it did not


class Request:
    """A request with its attempts, until all of them are over."""

    __slots__ = (
        "attempts",
        "bold",
        "closed",
        "cls",
        "coming",
        "due",
        "held",
        "id",
        "key",
        "late",
        "open",
        "order",
        "site",
        "spare",
        "streaming",
        "until",
        "work",
    )

    def __init__(
        self, id: int, cls: ClassState, key: int, work: int, until: int, due: int, coming: bool = False
    ) -> None:
        self.coming = coming  # no server has begun with it, as its body still comes
        self.id, self.cls, self.key, self.work = id, cls, key, work
        self.order = cls.spec.effect is not Effect.SAFE  # it may not be repeated at will
        self.until = until  # the client gives this try up then
        self.due = due  # the answer is wanted by then
        self.attempts: list[Attempt] = []
        self.open = 0  # attempts in flight
        self.closed = self.streaming = False
        self.late = False  # not answered when due
        self.site = -1  # it goes to this one or nowhere: no other has room for it
        self.spare = False  # it goes to a server that gets less than it could, or nowhere
        self.held = False  # counts as work in hand
        self.bold = False  # may go to a suspect server, as there is no other

    def out(self, but: int = -1) -> list[tuple[int, Attempt]]:
        """The attempts in flight that are not called off, by number, except one."""
        return [(n, a) for n, a in enumerate(self.attempts) if a.open and not a.called_off and n != but]

    def hold(self, now: int, hand: InFlightLoad) -> None:
        """It is in work now, till it is let go: answered, given up, or late."""
        self.held = True
        hand.request_started(now, self.cls.spec.aim_us)

    def let_go(self, now: int, hand: InFlightLoad) -> None:
        if self.held:
            self.held = False
            hand.request_ended(now, self.cls.spec.aim_us)

    def write_by_us(self) -> int:
        """A repeat has to reach its server while what may have run is remembered; 0: at any time."""
        first = self.first() if self.attempts and self.cls.spec.effect is Effect.KEYED else None
        return first.sent + self.cls.spec.window_us if first else 0

    def first(self) -> Attempt | None:
        """The earliest attempt that may have run, or may be running."""
        for a in self.attempts:
            if a.ran:
                return a
        return None


class Notes:
    """A timer wheel; a slot costs one timer, whatever it holds."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: dict[int, list[int]] = {}

    def put(self, at: int, note: int) -> SetTimer | None:
        """Keep a note until clock time `at`; the timer to set for it, if none is set for its slot yet."""
        slot = at // SLOT_US + 1
        notes = self._slots.get(slot)
        if notes is not None:
            notes.append(note)
            return None
        self._slots[slot] = [note]
        return SetTimer(slot * SLOT_US, slot)

    def take(self, token: int) -> Sequence[int]:
        """The notes of the timer with this token, which has fired, in their order."""
        return self._slots.pop(token, ())
