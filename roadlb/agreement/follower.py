"""The side of a balancer: takes versions, keeps to what they narrow, uses what they grant under a lease.

Two rules.  What is narrowed holds from the moment it is heard; what is granted holds while a lease runs, by
the clock at the moment of use.  Its standing as one table, each line with its reason:

    from      what happens                     to        reason
    any       a message of an older epoch      (Fenced)  its leader is deposed and may not know
    any       a version that it refuses        (Nack)    what does not pass the guard is not kept to
    empty     the first version is offered     lapsed    its list serves; what it grants waits for a lease
    lapsed    a newer version is offered       lapsed    what it narrows is safe everywhere, so at once; it
    granted                                    narrowed  is acknowledged when it would outlive a crash
    any       one that is not newer            (Ack)     nothing goes back; the newest is acknowledged again
    any       a lease for the version told     granted   it is in force: all others have left what was before
    any       a lease for the one it keeps to  granted,  what is used lies within the version in force
                                               narrowed
    granted,  the lease has run out            lapsed    others may be granted what contradicts these grants
    narrowed
    any       a restart                        lapsed    a lease is not remembered: its clock may be another

A lease counts from the sending of the `Ask` that it answers, whatever held up the answer.
"""

from __future__ import annotations

from . import rules
from .events import (
    NOTHING,
    Ack,
    Apply,
    Ask,
    Contents,
    Fenced,
    FollowerAction,
    FollowerEvent,
    FollowerView,
    Heard,
    InForce,
    Lease,
    Linked,
    Memory,
    Nack,
    Offered,
    Prepare,
    Pulse,
    Remember,
    Remembered,
    Reported,
    Restarted,
    Standing,
    Tell,
    Version,
    VersionId,
    Word,
)
from .lease import Timing
from .rules import Floors

MOST_ASKS = 16  # that wait for their answers; the oldest is given up
MOST_PASSED = 64  # versions taken since the one in force that are told apart
EMPTY = Contents()


class Follower:
    """Decides for one balancer: `handle(now, event) -> actions`; `used`, `allowed` at the moment of use."""

    __slots__ = (
        "acked",
        "asked_at",
        "asks",
        "bound",
        "epoch",
        "floored",
        "floors",
        "force",
        "life",
        "number",
        "passed",
        "shown",
        "timing",
        "told",
        "until",
        "waiting",
    )

    def __init__(self, timing: Timing, floors: Floors | None = None) -> None:
        self.timing, self.floors = timing, floors
        self.life, self.number = 0, 0
        self.epoch = 0  # the highest heard of
        self.told: Version | None = None  # the newest taken
        self.acked = NOTHING  # the newest that is remembered
        self.force = NOTHING  # the newest in force that `bound` keeps to
        self.bound, self.floored = EMPTY, EMPTY  # what is used with a lease, and without
        self.until = -1  # the lease runs until then
        self.asks: dict[int, int] = {}  # when each `Ask` was sent
        self.asked_at: int | None = None
        self.passed: list[VersionId] = []  # taken since `bound` was a version as a whole
        self.waiting: dict[int, VersionId] = {}  # acknowledged once the store has it
        self.shown = Standing.EMPTY

    # At the moment of use

    def granted(self, now: int) -> bool:
        """Does a lease run?  What was allowed before a process was stopped need not be so after."""
        return now < self.until

    def used(self, now: int) -> Contents:
        """The rules at this moment."""
        return self.bound if self.granted(now) else self.floored

    def allowed(self, now: int, path: str) -> str | None:
        """The text of a setting at this moment."""
        return self.used(now).settings.get(path)

    def in_use(self, now: int) -> rules.InUse:
        """As `rules.contradict` takes it."""
        told = self.told
        return rules.InUse(
            told.id if told else NOTHING,
            told.contents if told else EMPTY,
            self.used(now),
            not self.granted(now),
            self.force,
        )

    def standing(self, now: int) -> Standing:
        if self.told is None:
            return Standing.EMPTY
        if not self.granted(now):
            return Standing.LAPSED
        return Standing.GRANTED if self.told.id == self.force else Standing.NARROWED

    def view(self, now: int) -> FollowerView:
        """For the operator."""
        told = self.told.id if self.told else NOTHING
        return FollowerView(self.standing(now), self.epoch, self.force, told, max(0, self.until - now))

    # What happens

    def handle(self, now: int, event: FollowerEvent) -> list[FollowerAction]:
        if isinstance(event, Pulse):
            out = self._lapse(now)
            if self.asked_at is None or now - self.asked_at >= self.timing.renew_us:
                out.append(self._ask(now))
            return out
        out = self._lapse(now)
        if isinstance(event, Restarted):
            return self._restart(now, event)
        if isinstance(event, Remembered):
            return out + self._remembered(event.number)
        if isinstance(event, Linked):
            return [*out, self._ask(now)]
        message = event.prepare if isinstance(event, Offered) else event.message
        if self._fenced(message.epoch):
            return [
                *out,
                Tell(Fenced(self.epoch)),
                Reported(
                    Word.FENCED,
                    message.version.id if isinstance(message, Prepare) else message.id,
                    text=f"a message of epoch {message.epoch}, after {self.epoch}",
                ),
            ]
        raised, self.epoch = message.epoch > self.epoch, message.epoch
        out += self._heard(now, event)
        if raised and not any(isinstance(action, Remember) for action in out):
            out.append(self._remember())
        return out

    def _heard(self, now: int, event: Offered | Heard) -> list[FollowerAction]:
        if isinstance(event, Offered):
            return self._offered(now, event.prepare.version, event.refusal)
        message = event.message
        if isinstance(message, Lease):
            return self._leased(now, message)
        if isinstance(message, InForce):
            return self._in_force(now, message.id)
        if self.told is not None and message.id == self.told.id:
            return [Reported(Word.WITHDRAWN, message.id, text=message.reason)]
        return []

    def _fenced(self, epoch: int) -> bool:
        return epoch < self.epoch

    def _newer(self, id: VersionId) -> bool:
        return self.told is None or id > self.told.id

    def _restart(self, now: int, event: Restarted) -> list[FollowerAction]:
        memory = event.memory
        self.life, self.number, self.asks, self.waiting = event.life, 0, {}, {}
        self.passed, self.until, self.asked_at = list(memory.passed), -1, None
        self.epoch, self.force, self.told = memory.epoch, memory.force, memory.told
        self.acked = memory.told.id if memory.told else NOTHING
        self._bind(
            memory.bound if memory.bound is not None else memory.told.contents if memory.told else EMPTY
        )
        self.shown = Standing.EMPTY
        return [*self._show(now), self._ask(now)]

    def _bind(self, bound: Contents) -> None:
        self.bound, self.floored = bound, self._floor(bound)

    def _floor(self, bound: Contents) -> Contents:
        return rules.floor(bound, self.floors)

    # Versions

    def _offered(self, now: int, version: Version, refusal: str) -> list[FollowerAction]:
        if not self._newer(version.id):
            return self._offered_again(version)
        refusal = refusal or self._refusal(version)
        if refusal:
            return [Tell(Nack(version.id, refusal)), Reported(Word.REFUSED, version.id, text=refusal)]
        self._bind(rules.meet(self.bound, version.contents) if self.told is not None else version.contents)
        self.told = version
        self.passed = [*self.passed[1 - MOST_PASSED :], version.id]
        out: list[FollowerAction] = [Apply(version.id, self.used(now), self.standing(now))]
        self.shown = self.standing(now)
        out += self._taken(version.id)
        out.append(Reported(Word.PREPARED, version.id))
        return out

    def _taken(self, id: VersionId) -> list[FollowerAction]:
        """Into the store first: who acknowledges and forgets would go back."""
        remember = self._remember()
        self.waiting[remember.number] = id
        return [remember]

    def _offered_again(self, version: Version) -> list[FollowerAction]:
        told = self.told
        if told is None or version.id != told.id:
            return []
        if version.contents != told.contents:
            reason = f"version {version.id} was told with other contents: numbers begun anew; raise the epoch"
            return [Tell(Nack(version.id, reason)), Reported(Word.REFUSED, version.id, text=reason)]
        return [Tell(Ack(told.id))] if self.acked == told.id else []

    def _refusal(self, version: Version) -> str:
        """What must hold for versions to be compared at all; all else is the guard's matter."""
        if names := rules.unknown(version.contents):
            return (
                f"settings: {names[0]} is not known here: upgrade this balancer first, or leave the key out"
            )
        try:
            rules.check(version.contents)
            low = rules.below_floor(version.contents, self.floors)
        except rules.Unreadable as e:
            return f"settings: {e}"
        if low:
            return (
                f"settings: {low[0]} is below its floor, so balancers that hear nothing would contradict "
                "it: lower the floor everywhere first, or raise the value"
            )
        return ""

    def _remember(self) -> Remember:
        self.number += 1
        return Remember(
            self.number, Memory(self.epoch, self.force, self.told, self.bound, tuple(self.passed))
        )

    def _remembered(self, number: int) -> list[FollowerAction]:
        id = self.waiting.pop(number, None)
        if id is None or id <= self.acked:
            return []
        self.acked = id
        for older in [n for n, waits in self.waiting.items() if waits <= id]:
            del self.waiting[older]
        return [Tell(Ack(id)), Reported(Word.ACKNOWLEDGED, id)]

    # Leases

    def _ask(self, now: int) -> Tell:
        self.number += 1
        self.asked_at = self.asks[self.number] = now
        while len(self.asks) > MOST_ASKS:
            del self.asks[next(iter(self.asks))]
        return Tell(Ask(self.life, self.number, self.epoch, self.force, self.acked))

    def _in_force(self, now: int, id: VersionId) -> list[FollowerAction]:
        if id in self.passed and id > self.force:
            self.force = id  # `bound` keeps to it, and to what came after
            return [self._remember(), self._ask(now)]
        return [self._ask(now)] if self._newer(id) else []

    def _leased(self, now: int, lease: Lease) -> list[FollowerAction]:
        sent = self.asks.get(lease.number) if lease.life == self.life else None
        if sent is None or self.told is None:
            return []
        until = sent + min(lease.lease_us, self.timing.lease_us)
        if until <= now:
            return []
        if lease.id == self.told.id == self.acked:
            return self._whole(now, until)
        if lease.id == self.force:
            self.until = max(self.until, until)
            return self._show(now)
        return []  # `InForce` has not come: it will on the next `Ask`

    def _whole(self, now: int, until: int) -> list[FollowerAction]:
        """A lease for the version told: it is in force."""
        assert self.told is not None
        fresh = self.force != self.told.id or self.bound is not self.told.contents
        self.until = max(self.until, until) if not fresh else until
        out: list[FollowerAction] = []
        if fresh:
            self.force, self.passed = self.told.id, []
            self._bind(self.told.contents)
            out.append(self._remember())
            out.append(Apply(self.told.id, self.bound, Standing.GRANTED))
            out.append(Reported(Word.IN_FORCE, self.told.id))
            self.shown = Standing.GRANTED
        return out + self._show(now)

    def _lapse(self, now: int) -> list[FollowerAction]:
        if self.shown in (Standing.GRANTED, Standing.NARROWED) and not self.granted(now):
            return self._show(now)
        return []

    def _show(self, now: int) -> list[FollowerAction]:
        """Say how it stands, if that has changed."""
        standing = self.standing(now)
        if standing is self.shown:
            return []
        was, self.shown = self.shown, standing
        id = self.told.id if self.told is not None else NOTHING
        out: list[FollowerAction] = [Apply(id, self.used(now), standing)]
        if standing is Standing.LAPSED and was is not Standing.EMPTY:
            out.append(Reported(Word.LAPSED, id, text="no lease: grants are at their floors"))
        elif standing is not Standing.LAPSED:
            out.append(Reported(Word.GRANTED, id))
        return out
