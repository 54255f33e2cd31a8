"""Which of several control services leads, and until when it can be sure of it.

One key in the store is the seat.  Who creates it, bound to a lease, leads; the revision of its creation is
unique and grows, and so is the *epoch*, with which all that the leader does is marked.  The store carries out
a leader's write only while the key is the one of that creation (the write is a transaction that compares it),
and followers take nothing of an epoch lower than one that they know.  So a leader that has been stopped past
its lease and wakes can act, but nothing comes of it.

    from       what happens                      to         reason
    away       PAUSE_US after the last try       leasing    the seat is taken with a lease or not at all
    leasing    the lease is granted              running
    running    the seat has our lease            leading    created by this try, or one whose answer was lost
    running    another's                         waiting    the lease is given back
    running    another's, and vacant since then  running    the end was heard of before the older answer
    running    no answer                         running    again after PAUSE_US, while the lease lasts
    waiting    the seat is vacant                leasing
    waiting    a lease's LOOKS-th has passed     waiting    the seat is read: its end may have been missed
    leading    the lease is renewed              leading    sure for longer, counted from before we asked
    leading    not renewed in time               away       by our own clock, before the store's lease can end
    leading    the store has no such lease       away
    leading    a write of ours was refused       waiting    another has the seat: we were gone for too long
    leading    a higher epoch is heard of        raising    the store went back to a backup: see below
    raising    the era is raised                 leading    in a new epoch
    raising    no answer                         raising    again, while the lease lasts
    any        retire                            retired    the lease is given back: another leads at once

The *era*.  A store that is set up from an old backup counts its revisions again from there, and a new seat
would have an epoch that followers have left behind them.  So the epoch's upper bits are an era, which the
store keeps beside the seat.  A leader that hears of an epoch as high as its own, which is not its own, raises
the era beyond it.  A store must have been away for as long as a lease before it is back from a backup: a
leader that never lost it would be sure of itself for so long, while another finds the seat vacant.

Time.  Let r be the largest error of a monotonic clock's rate.  The store's lease runs from when it heard the
request, which is later than when that was sent; it ends no earlier than ttl / (1 + r) of true time after the
sending, in which our clock shows no less than ttl * (1 - r) / (1 + r).  We are sure until then, less a
margin.  What remains between a look at the clock and an act is the fences' matter, at store and followers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

ERA_SHIFT = 40  # an epoch's lower bits hold the revision: 10^12 writes in one era
REVISIONS = (1 << ERA_SHIFT) - 1
RATE_PPM = 200  # a monotonic clock runs at most so much faster or slower than true time
PAUSE_US = 250_000  # between two tries at a store that did not answer
RENEWALS = 4  # in a lease: two lost answers do not end it
LOOKS = 2  # in a lease, at the seat that another has: a channel can die without a word


class State(Enum):
    AWAY = "away"
    LEASING = "leasing"
    RUNNING = "running"
    WAITING = "waiting"
    LEADING = "leading"
    RAISING = "raising"
    RETIRED = "retired"


def epoch_of(era: int, created: int) -> int:
    """The epoch of a seat that was created at this revision."""
    return era << ERA_SHIFT | created


def era_of(epoch: int) -> int:
    return epoch >> ERA_SHIFT


def created_of(epoch: int) -> int:
    """The revision with which the seat of this epoch was created: what guarded writes compare."""
    return epoch & REVISIONS


# Events.  `asked_at`: our clock before the store was asked.


@dataclass(slots=True, frozen=True)
class Granted:
    asked_at: int
    lease: int
    ttl_s: int


@dataclass(slots=True, frozen=True)
class Ran:
    """The answer to `Run`: the seat as it stands, with whose lease and since which revision; the era."""

    asked_at: int
    created: int
    lease: int
    era: int


@dataclass(slots=True, frozen=True)
class Renewed:
    """A TTL of 0: the store has no such lease."""

    asked_at: int
    lease: int
    ttl_s: int


@dataclass(slots=True, frozen=True)
class Raised:
    """The store holds this era, written under our seat."""

    era: int


@dataclass(slots=True, frozen=True)
class Failed:
    """No answer to what was asked last, or a refusal that says nothing of the seat."""

    reason: str


@dataclass(slots=True, frozen=True)
class Vacant:
    """Nobody has the seat."""


@dataclass(slots=True, frozen=True)
class Taken:
    """Somebody has the seat: what `Look` found."""


@dataclass(slots=True, frozen=True)
class Fenced:
    """A guarded write of this epoch was refused: the seat is another's, or nobody's."""

    epoch: int


@dataclass(slots=True, frozen=True)
class Overtaken:
    """A follower, or this service's own memory, knows this epoch, and it is not the one that we lead in."""

    epoch: int


@dataclass(slots=True, frozen=True)
class Retire:
    pass


@dataclass(slots=True, frozen=True)
class Tick:
    pass


Event: TypeAlias = (
    Granted | Ran | Renewed | Raised | Failed | Vacant | Taken | Fenced | Overtaken | Retire | Tick
)


# Actions


@dataclass(slots=True, frozen=True)
class AskLease:
    """Answered by `Granted` or `Failed`, as are the next three by their events."""

    ttl_s: int


@dataclass(slots=True, frozen=True)
class Run:
    """Create the seat with this lease, if there is none."""

    lease: int


@dataclass(slots=True, frozen=True)
class Renew:
    lease: int


@dataclass(slots=True, frozen=True)
class RaiseEra:
    """Write this era, if the seat is the one created at that revision."""

    created: int
    era: int


@dataclass(slots=True, frozen=True)
class Look:
    """Read the seat: `Vacant` or `Taken`; that there was no answer is not told."""


@dataclass(slots=True, frozen=True)
class Revoke:
    """Give a lease back; whatever becomes of it."""

    lease: int


@dataclass(slots=True, frozen=True)
class Lead:
    """We lead in this epoch, and are sure of it until then."""

    epoch: int
    until_us: int


@dataclass(slots=True, frozen=True)
class Extend:
    epoch: int
    until_us: int


@dataclass(slots=True, frozen=True)
class StepDown:
    """`known`: the store has said that the seat is not ours any more; else it only has not answered."""

    epoch: int
    reason: str
    known: bool = True


Action: TypeAlias = AskLease | Run | Renew | RaiseEra | Look | Revoke | Lead | Extend | StepDown


def sure_us(ttl_s: int, margin_us: int, rate_ppm: int = RATE_PPM) -> int:
    """For so long after a lease was asked for, by our clock, the store surely keeps it."""
    return ttl_s * 1_000_000 * (1_000_000 - rate_ppm) // (1_000_000 + rate_ppm) - margin_us


class Leading:
    """Decides for one control service: `handle(now, event) -> actions`.

    A question that is open is not asked again before it is answered or has failed.  `state` and `since` are
    for the operator, `holder` is the epoch of whoever is known to lead (0: nobody known).
    """

    def __init__(self, ttl_s: int, margin_us: int = 500_000, rate_ppm: int = RATE_PPM) -> None:
        if sure_us(ttl_s, margin_us, rate_ppm) <= ttl_s * 1_000_000 // 2:
            raise ValueError(
                f"ttl_s: {ttl_s} s with a margin of {margin_us / 1e6:g} s leave too little to "
                "renew in; raise the one or lower the other"
            )
        self._ttl_s, self._margin_us, self._rate_ppm = ttl_s, margin_us, rate_ppm
        self.state, self.since, self.holder = State.AWAY, 0, 0
        self._lease, self._epoch, self._until, self._asked = 0, 0, 0, False
        self._next, self._known = 0, 0
        self._vacated = False  # heard of since the seat was run for, and that is not answered
        self._actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self._actions = []
        if self.state is State.RETIRED:
            return []
        if self.state in (State.LEADING, State.RAISING, State.RUNNING) and now >= self._until:
            self._lapse(now)
        match event:
            case Tick():
                self._tick(now)
            case Granted(asked_at, lease, ttl_s) if self.state is State.LEASING:
                self._lease, self._asked = lease, False
                self._until = asked_at + sure_us(ttl_s, self._margin_us, self._rate_ppm)
                self._move(now, State.RUNNING)
                self._run()
            case Ran() if self.state is State.RUNNING and self._asked:
                self._ran(now, event)
            case Renewed(_, lease, _) if self.state is State.LEADING and lease == self._lease:
                self._renewed(now, event)
            case Raised(era) if self.state is State.RAISING:
                self._asked = False
                self._lead(now, epoch_of(era, created_of(self._epoch)))
            case Failed():
                self._asked, self._next = False, now + PAUSE_US
                if self.state is State.LEASING:
                    self._move(now, State.AWAY)
            case Vacant() if self.state not in (State.LEADING, State.RAISING):  # there it is older news
                self.holder, self._vacated = 0, True
                if self.state is State.WAITING:
                    self._lease_anew(now)
            case Fenced(epoch) if epoch == self._epoch and self.state in (State.LEADING, State.RAISING):
                self._give_back()
                self._step_down(now, State.WAITING, "the seat is another's, or nobody's")
            case Overtaken(epoch):
                self._overtaken(now, epoch)
            case Retire():
                self._give_back()
                self._step_down(now, State.RETIRED, "retired")
            case _:
                pass  # an answer to what is no longer asked
        return self._actions

    def leads(self, now: int) -> int | None:
        """The epoch that this service may act in at this moment; None: in none."""
        return self._epoch if self.state is State.LEADING and now < self._until else None

    @property
    def sure_until(self) -> int:
        """Until when the lease held, if any, surely lasts."""
        return self._until

    @property
    def wake_at(self) -> int:
        """When the next tick is wanted, at the latest."""
        if self.state in (State.LEADING, State.RAISING, State.RUNNING):
            return self._until if self._asked else min(self._next, self._until)
        return self._next

    # What happens

    def _tick(self, now: int) -> None:
        if self._asked or now < self._next:
            return
        match self.state:
            case State.AWAY:
                self._lease_anew(now)
            case State.WAITING:
                self._look_later(now)
                self._actions.append(Look())
            case State.RUNNING:
                self._run()
            case State.LEADING:
                self._ask(Renew(self._lease))
            case State.RAISING:
                self._ask(RaiseEra(created_of(self._epoch), self._next_era()))

    def _lease_anew(self, now: int) -> None:
        self._move(now, State.LEASING)
        self._ask(AskLease(self._ttl_s))

    def _run(self) -> None:
        self._vacated = False
        self._ask(Run(self._lease))

    def _ran(self, now: int, event: Ran) -> None:
        self._asked, epoch = False, epoch_of(event.era, event.created)
        self.holder = epoch
        if event.lease != self._lease and self._vacated:
            # The store answered before the seat's end, and its watch was the faster.
            self._run()
        elif event.lease != self._lease:
            self._give_back()
            self._wait(now)
        elif epoch > self._known:
            self._lead(now, epoch)
        else:
            self._epoch = epoch
            self._move(now, State.RAISING)
            self._ask(RaiseEra(event.created, self._next_era()))

    def _renewed(self, now: int, event: Renewed) -> None:
        self._asked = False
        if event.ttl_s <= 0:
            self._lease = 0
            self._step_down(now, State.AWAY, "the store no longer has our lease")
            return
        self._until = max(self._until, event.asked_at + sure_us(event.ttl_s, self._margin_us, self._rate_ppm))
        self._next = event.asked_at + event.ttl_s * 1_000_000 // RENEWALS
        self._actions.append(Extend(self._epoch, self._until))

    def _lead(self, now: int, epoch: int) -> None:
        self._epoch = self.holder = self._known = epoch
        self._next = now + self._ttl_s * 1_000_000 // RENEWALS
        self._move(now, State.LEADING)
        self._actions.append(Lead(epoch, self._until))

    def _overtaken(self, now: int, epoch: int) -> None:
        ours = self.state in (State.LEADING, State.RAISING)
        if epoch < (self._epoch if ours else self._known):
            return
        self._known = max(self._known, epoch)
        if self.state is State.LEADING:
            self._actions.append(StepDown(self._epoch, f"epoch {epoch} is known: the store went back"))
            self._move(now, State.RAISING)
            self._ask(RaiseEra(created_of(self._epoch), self._next_era()))

    def _next_era(self) -> int:
        return max(era_of(self._known), era_of(self._epoch)) + 1

    def _lapse(self, now: int) -> None:
        """By our own clock the lease may be over; whoever is next need not wait for its end."""
        self._give_back()
        self._step_down(now, State.AWAY, "the lease was not renewed in time", known=False)
        self._next = now

    def _step_down(self, now: int, state: State, reason: str, known: bool = True) -> None:
        if self.state is State.LEADING:
            self._actions.append(StepDown(self._epoch, reason, known))
        if state is State.WAITING:
            self._wait(now)
        else:
            self._next, self._asked = now + PAUSE_US, False
            self._move(now, state)

    def _wait(self, now: int) -> None:
        self._asked = False
        self._look_later(now)
        self._move(now, State.WAITING)

    def _look_later(self, now: int) -> None:
        self._next = now + self._ttl_s * 1_000_000 // LOOKS

    def _give_back(self) -> None:
        if self._lease:
            self._actions.append(Revoke(self._lease))
            self._lease = 0

    def _ask(self, action: AskLease | Run | Renew | RaiseEra) -> None:
        self._asked = True
        self._actions.append(action)

    def _move(self, now: int, state: State) -> None:
        self.state, self.since = state, now
