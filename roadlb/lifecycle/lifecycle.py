"""Decides whether this process takes clients, and how those that it has leave it.

Theory of operation.  Four states; `_NEXT` has what each event does in each of them, late events included:

    state      Started    OutOfService   InService   Leave     Wake
    STARTING   SERVING    DRAINING       -           LEAVING   -
    SERVING    -          DRAINING       -           LEAVING   -
    DRAINING   -          -              SERVING     LEAVING   next step of the drain
    LEAVING    -          -              -           -         next step of the leave

A drain told before the start holds through it, and one in force goes on until its end is told.  Nothing
leads out of LEAVING.  A process told to leave before it listens has taken nothing, and ends at once.

While it drains or leaves, a schedule runs, in microseconds from the state's begin, and asks to be woken every
STEP_US; a wake that an earlier state asked for comes before `_next` and does nothing:

- Draining: clients go on coming for a moment after `/healthz` says no, so the listener stays.  Each answer
  ends its connection.  Idle connections are closed over a stretch of time, so that their clients do not all
  dial elsewhere in one instant.  After 4 s the operators hold no connection idle and none with a request of
  the last 2 s against us: who has begun a request may end it until UNFINISHED_US, and what came too late to
  be that old is given up at GIVE_UP_US.  What is read from then until the 4 s are over is refused at once.
- Leaving: the process is killed 0.7 s after the longest deadline.  With a listening socket of its own it
  goes on accepting for a moment; one that is shared belongs to the successor at once, and what idles is
  closed as late and as spread as there is time for: each of those connections may be about to be used.
  SPARE_US after the longest deadline all that is open gets its answer, and what is read later a refusal.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

STEP_US = 100_000
DRAIN_IDLE_US = 300_000, 1_500_000  # idle connections are closed from and until then
UNFINISHED_US = 3_400_000  # requests that are not whole are let go
DRAINED_US = 4_000_000
GIVE_UP_US, RECENT_US = 3_500_000, 2_100_000  # those younger than RECENT_US at DRAINED_US are answered now
LINGER_US = 500_000  # after SIGTERM the front goes on dealing us connections for so long
SHARED_IDLE_US = 700_000  # with a successor at the socket, idle connections are closed from then
SPARE_US = 400_000  # after the longest deadline, the last answers are out by then
LATE_MOST_US = 300_000  # of SPARE_US, so much may go to a signal that was seen late
# Whoever is still being written to is not cut off: what the kill finds unanswered is not held against us,
# what we end ourselves is.  Where nobody kills the process, this ends it.
WRITTEN_US = 10_000_000


class State(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class Event(Enum):
    STARTED = "started"  # listening, with a list of nodes
    OUT_OF_SERVICE = "out of service"
    IN_SERVICE = "in service"
    LEAVE = "leave"  # SIGTERM or SIGINT
    WAKE = "wake"  # as asked for by `Wake`


@dataclass(frozen=True, slots=True)
class CloseAfterAnswers:
    """Does each answer end its connection from now on?"""

    on: bool


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this part, 0..1, of the connections that carry no request, the longest idle first."""

    part: float


@dataclass(frozen=True, slots=True)
class CloseUnfinished:
    """Close the connections that have begun a request and not ended it."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Give the requests that came after this time, on the clock, their final answer now."""

    came_after_us: int


@dataclass(frozen=True, slots=True)
class RefuseNew:
    """Is each request that is read from now on refused at once?"""

    on: bool


@dataclass(frozen=True, slots=True)
class StopListening:
    """Accept nothing more but what the kernel has accepted for us alone."""


@dataclass(frozen=True, slots=True)
class Leave:
    """All that is to end has until now; end the program as soon as no connection is left, or at `by_us`.

    Connections on which an answer is still being written have until `written_by_us`.
    """

    by_us: int
    written_by_us: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Hand in `Event.WAKE` at this time of the clock."""

    at_us: int


Action: TypeAlias = (
    CloseAfterAnswers | CloseIdle | CloseUnfinished | GiveUp | RefuseNew | StopListening | Leave | Wake
)

# Each pair of a state and an event but Event.WAKE, which keeps the state; what keeps it does nothing else.
_NEXT = {
    (State.STARTING, Event.STARTED): State.SERVING,
    (State.STARTING, Event.OUT_OF_SERVICE): State.DRAINING,
    (State.STARTING, Event.IN_SERVICE): State.STARTING,
    (State.STARTING, Event.LEAVE): State.LEAVING,
    (State.SERVING, Event.STARTED): State.SERVING,
    (State.SERVING, Event.OUT_OF_SERVICE): State.DRAINING,
    (State.SERVING, Event.IN_SERVICE): State.SERVING,
    (State.SERVING, Event.LEAVE): State.LEAVING,
    (State.DRAINING, Event.STARTED): State.DRAINING,
    (State.DRAINING, Event.OUT_OF_SERVICE): State.DRAINING,
    (State.DRAINING, Event.IN_SERVICE): State.SERVING,
    (State.DRAINING, Event.LEAVE): State.LEAVING,
    (State.LEAVING, Event.STARTED): State.LEAVING,
    (State.LEAVING, Event.OUT_OF_SERVICE): State.LEAVING,
    (State.LEAVING, Event.IN_SERVICE): State.LEAVING,
    (State.LEAVING, Event.LEAVE): State.LEAVING,
}


class Lifecycle:
    """One process's state.  `longest_us`: the longest deadline of a request."""

    def __init__(self, longest_us: int, shared: bool = False, linger_us: int = LINGER_US) -> None:
        """`shared`: the listening socket outlives this process; `linger_us`: else it listens on for so long
        when told to leave."""
        self.state, self._since, self._woken, self._listening = State.STARTING, 0, 0, True
        self._next = 0  # wakes before are those of a state that is over
        self._started = False
        self._is_out_of_service = False
        self._refusing = False
        self._late_us = 0
        self.longest_us, self._shared, self.linger_us = longest_us, shared, linger_us

    @property
    def takes_clients(self) -> bool:
        """What `/control/ready` tells: started and not leaving.  A drain is the front's matter alone."""
        return self._started and self.state is not State.LEAVING

    @property
    def is_out_of_service(self) -> bool:
        """Whether the operators' last call took it out of service; a process that leaves stays so."""
        return self._is_out_of_service

    @property
    def healthy(self) -> bool:
        """What `/healthz` tells the front, once a server is known.

        Leaving by itself changes nothing: a successor may be there already, and answers at the same address.
        """
        return not self._is_out_of_service

    def handle(self, now: int, event: Event, late_us: int = 0) -> list[Action]:
        """Take one event at clock time `now`, so long after it may have come; what changes nothing gives no
        action."""
        if event is Event.WAKE:
            return self._step(now) if now >= self._next else []
        state = _NEXT[self.state, event]
        if event in (Event.OUT_OF_SERVICE, Event.IN_SERVICE):
            self._is_out_of_service = event is Event.OUT_OF_SERVICE
        if event is Event.STARTED and self.state is not State.LEAVING:
            self._started = True
        if state is self.state:
            return []
        self.state, self._since, self._woken = state, now, now
        self._late_us = min(late_us, LATE_MOST_US)
        if state is State.LEAVING and not self._started:
            return [
                CloseAfterAnswers(True),
                Leave(now, now),
            ]  # nothing listens yet, and nothing has been taken
        actions: list[Action] = [CloseAfterAnswers(state in (State.DRAINING, State.LEAVING))]
        if self._refusing:
            self._refusing = False
            actions.append(RefuseNew(False))
        if state is State.LEAVING and self._shared:
            self._listening = False
            actions.append(StopListening())
        return actions + self._step(now)

    def _step(self, now: int) -> list[Action]:
        if self.state is State.DRAINING:
            return self._drain(now)
        return self._leave(now) if self.state is State.LEAVING and self._started else []

    def _drain(self, now: int) -> list[Action]:
        passed, before = now - self._since, self._woken - self._since
        self._woken = now
        actions = self._close_idle(passed, *DRAIN_IDLE_US)
        if before < UNFINISHED_US <= passed:
            actions.append(CloseUnfinished())
        if before < GIVE_UP_US <= passed:
            actions.append(GiveUp(self._since + DRAINED_US - RECENT_US))
        # One step longer, as the operators' clock begins with their call and may end after ours.
        refusing = GIVE_UP_US <= passed < DRAINED_US + STEP_US
        if refusing is not self._refusing:
            self._refusing = refusing
            actions.append(RefuseNew(refusing))
        # Connections may come for as long as it drains: whoever has not seen the no yet, or never asks.
        return [*actions, self._wake(now + STEP_US)]

    def _leave(self, now: int) -> list[Action]:
        passed, actions = now - self._since, list[Action]()
        # Who kills the process counts from the signal; for how long it came late, nobody can tell us.
        self._woken, last = now, self.longest_us + SPARE_US - self._late_us
        if self._listening and passed >= min(self.linger_us, last):
            self._listening = False
            actions.append(StopListening())
        if not self._listening:
            if self._shared:
                actions += self._close_idle(passed, min(SHARED_IDLE_US, last // 2), last - 2 * STEP_US)
            else:
                actions.append(CloseIdle(1.0))
            by = self._since + last + STEP_US
            actions.append(Leave(by, by + WRITTEN_US))
        if passed >= last:
            if not self._refusing:
                self._refusing = True
                actions += [RefuseNew(True), GiveUp(0)]
            return [*actions, self._wake(now + STEP_US)]
        return [*actions, self._wake(now + min(STEP_US, last - passed))]

    def _wake(self, at_us: int) -> Wake:
        self._next = at_us
        return Wake(at_us)

    def _close_idle(self, passed: int, begin: int, end: int) -> list[Action]:
        """Of those that are idle a part each step, so that all are closed evenly by the end."""
        if passed < begin:
            return []
        return [CloseIdle(min(1.0, STEP_US / max(1, end - passed)) if passed < end else 1.0)]
