"""The watch of discovery: one call after another, and beside a call that is overdue another one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from ..config import Address
from ..log import fields
from . import watch_timing as timing
from .watch_call import CallState, ListPosition, WatchBroken, WatchCall, WatchRefused
from .watch_timing import BackOff

logger = logging.getLogger(__name__)


class WatchState(Enum):
    RESTING = "not begun"
    CALLING = "calling"  # in which state, the newest call's `CallState` says
    BACKING_OFF = "backing off"  # before another call; overdue ones may be open
    CLOSED = "closed"


class WatchEvent(Enum):
    START = "start"
    CALL_ENDED = "call ended"  # the newest one, by discovery, by an error or by silence
    CALL_OVERDUE = "call overdue"  # the newest one
    CALL_HEARD = "call heard"  # any of them has told something
    PAUSE_OVER = "pause over"
    MOVED = "moved"
    STOP = "stop"


# Every other pair is a late event and does nothing.
NEXT = {
    (WatchState.RESTING, WatchEvent.START): WatchState.CALLING,
    (WatchState.RESTING, WatchEvent.STOP): WatchState.CLOSED,
    (WatchState.CALLING, WatchEvent.CALL_ENDED): WatchState.BACKING_OFF,
    (WatchState.CALLING, WatchEvent.CALL_OVERDUE): WatchState.BACKING_OFF,
    (WatchState.CALLING, WatchEvent.CALL_HEARD): WatchState.CALLING,
    (WatchState.CALLING, WatchEvent.MOVED): WatchState.CALLING,
    (WatchState.CALLING, WatchEvent.STOP): WatchState.CLOSED,
    (WatchState.BACKING_OFF, WatchEvent.PAUSE_OVER): WatchState.CALLING,
    (WatchState.BACKING_OFF, WatchEvent.CALL_HEARD): WatchState.CALLING,
    (WatchState.BACKING_OFF, WatchEvent.MOVED): WatchState.CALLING,
    (WatchState.BACKING_OFF, WatchEvent.STOP): WatchState.CLOSED,
}


class WatchTimer(Protocol):
    def cancel(self) -> object: ...


class WatchLoop(Protocol):
    """What a watch needs of an event loop; `asyncio.AbstractEventLoop` has it."""

    def time(self) -> float: ...
    def call_at(self, when: float, callback: Callable[[], object]) -> WatchTimer: ...


class WatchOwner(Protocol):
    """Whose list it is."""

    def where(self) -> tuple[Address, int]:
        """Whom to ask, and for what came after which generation."""

    def message(self, value: object, position: ListPosition) -> bool:
        """One JSON value, None for a blank line; was it news?  What it raises ends the call.

        `position` is that of the call that told it, to be moved on with what is taken.
        """

    def overdue(self) -> None:
        """A call is overdue; another follows after a pause."""

    def broken(self, error: Exception | None) -> None:
        """A call has ended."""


class DiscoveryWatch:
    """Keeps a call to discovery open, whatever happens, until it is stopped.

    There is one call at a time while calls are answered or fail.  One that is overdue may hang or be late: it
    is kept, and another opened beside it.  The first one that tells anything is the one that is heard from
    then on, the others are closed.  So no answer is lost for being late, and discovery gets no more calls
    than if those overdue were given up.
    """

    def __init__(self, owner: WatchOwner, seed: int | None = None) -> None:
        self._owner, self._back_off = owner, BackOff(seed)
        self.state = WatchState.RESTING
        self._calls: list[WatchCall] = []  # open ones, the oldest first; at most `CALLS_MOST`
        self._newest: WatchCall | None = None  # the one that is not overdue
        self._timer: WatchTimer | None = None
        self._answer_s = timing.ANSWER_S  # until the answer to the next call is overdue
        self._over: asyncio.Future[None] | None = None

    async def run(self) -> None:
        """Watch until `stop`, or until the task that runs this is cancelled."""
        loop = asyncio.get_running_loop()
        self._over = loop.create_future()
        try:
            if self.state is not WatchState.CLOSED:
                self.start(loop, dial)
                await self._over
        finally:
            self.stop()

    def start(self, loop: WatchLoop, dial: Dial) -> None:
        self._loop, self._dial = loop, dial
        if self._moves(WatchEvent.START):
            self._open()

    def move(self) -> None:
        """`where` tells another address from now on: it is dialled at once, and the old one heard no more."""
        if self._moves(WatchEvent.MOVED):
            self._release()
            self._back_off.moved(self._loop.time())
            self._answer_s = timing.ANSWER_SOON_S
            self._open()

    def stop(self) -> None:
        if self._moves(WatchEvent.STOP):
            self._release()
            if self._over and not self._over.done():
                self._over.set_result(None)

    def _moves(self, event: WatchEvent) -> bool:
        after = NEXT.get((self.state, event))
        if after is None:
            return False
        self.state = after
        return True

    def _release(self) -> None:
        """Let go of the timer and of all calls."""
        self._cancel_timer()
        self._newest = None
        while self._calls:
            self._calls.pop().close()

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    # Calls begin

    def _open(self) -> None:
        self._end_what_waits_too_long()
        address, after = self._owner.where()
        call = WatchCall(
            address,
            after,
            lambda value: self._told(call, value),
            lambda error: self._call_ended(call, error),
            self._loop.time,
        )
        self._calls.append(call)
        self._newest = call
        call.cancel_dial = self._dial(call, address)
        self._look_at(self._overdue_s(call))

    def _end_what_waits_too_long(self) -> None:
        """Make room for one more call.

        The oldest is the one that a discovery of any lateness would answer first, so it is the last to go.
        """
        now_s = self._loop.time()
        for call in self._calls.copy():
            waits_too_long = now_s >= call.awaited_since_s + timing.PATIENCE_S
            if waits_too_long or not call.may_be_late(now_s):
                self._give_up(call)
        while len(self._calls) >= timing.CALLS_MOST:
            self._give_up(self._calls[1])

    def _give_up(self, call: WatchCall) -> None:
        call.end(TimeoutError(f"given up while {call.state.value}"))

    # Time passes

    def _overdue_s(self, call: WatchCall) -> float:
        few = len(self._calls) <= timing.SOON_DIALS
        dial_s = timing.DIAL_S if few else timing.ANSWER_S
        return call.overdue_s(dial_s, self._answer_s)

    def _look_at(self, when_s: float) -> None:
        self._timer = self._loop.call_at(when_s, self._due)

    def _due(self) -> None:
        """The moment as it stood when the timer was set has come; it may stand later by now."""
        self._timer = None
        call = self._newest
        if call is None:
            if self._moves(WatchEvent.PAUSE_OVER):
                self._open()
            return
        now_s, overdue_s = self._loop.time(), self._overdue_s(call)
        if now_s < overdue_s:
            self._look_at(overdue_s)
        elif call.may_be_late(now_s):
            self._call_overdue(call)
        else:
            self._answer_s = timing.ANSWER_SOON_S
            self._give_up(call)

    def _call_overdue(self, call: WatchCall) -> None:
        if not self._moves(WatchEvent.CALL_OVERDUE):
            return
        self._newest = None
        self._credit(call)
        if call.state is CallState.AWAITING:
            self._answer_s = timing.ANSWER_S
        elif call.state is CallState.STREAMING:
            self._answer_s = timing.ANSWER_SOON_S
        pause_s = self._back_off.seconds(refused=False, most_s=timing.PAUSE_OVERDUE_MOST_S)
        self._owner.overdue()
        logger.warning(
            "watch overdue",
            extra=fields(call=call.state.value, open_calls=len(self._calls), another_s=pause_s),
        )
        self._look_at(self._loop.time() + pause_s)

    # Calls tell and end

    def _told(self, call: WatchCall, value: object) -> None:
        news = self._owner.message(value, call.position)
        if call.over:
            return  # moved or stopped by what it told
        call.brought_news = call.brought_news or news
        if self._calls != [call] or call is not self._newest:
            self._hear_only(call)
        self._answer_s = timing.ANSWER_S

    def _hear_only(self, call: WatchCall) -> None:
        """What else is under way is called off."""
        if not self._moves(WatchEvent.CALL_HEARD):
            return
        others = [other for other in self._calls if other is not call]
        self._calls = [call]
        for other in others:
            other.close()
        late_s = self._loop.time() - call.opened_s
        logger.info("watch heard beside others", extra=fields(after_s=late_s, closed=len(others)))
        if call is not self._newest:
            self._cancel_timer()
            self._newest = call
            self._look_at(self._overdue_s(call))

    def _call_ended(self, call: WatchCall, error: Exception | None) -> None:
        if call not in self._calls:
            return
        self._calls.remove(call)
        if call is not self._newest:
            self._owner.broken(error)
            logger.warning("watch broken", extra=fields(error=described(error), open_calls=len(self._calls)))
            return
        if not self._moves(WatchEvent.CALL_ENDED):
            return
        self._newest = None
        self._cancel_timer()
        self._credit(call)
        self._owner.broken(error)
        now_s = self._loop.time()
        call_s = self._back_off.next_call_s(now_s, isinstance(error, WatchRefused))
        logger.warning("watch broken", extra=fields(error=described(error), again_s=call_s - now_s))
        self._look_at(call_s)

    def _credit(self, call: WatchCall) -> None:
        """After a call that was of use the pauses begin anew."""
        if call.brought_news or call.streamed_s >= timing.KEEP_ALIVE_S:
            self._back_off.heard()


class Dial(Protocol):
    def __call__(self, call: WatchCall, address: Address) -> Callable[[], object]:
        """Connect this call, or end it with what prevented that; the result calls the dial off."""


def dial(call: WatchCall, address: Address) -> Callable[[], object]:
    """Connect by the running loop."""
    loop = asyncio.get_running_loop()
    task = loop.create_task(_connect(call, address))
    return task.cancel


async def _connect(call: WatchCall, address: Address) -> None:
    try:
        await asyncio.get_running_loop().create_connection(lambda: call, address.host, address.port)
    except Exception as e:
        call.end(e)


def described(error: Exception | None) -> str:
    """For the log: what ended a call."""
    if error is None:
        return "ended"
    if isinstance(error, TimeoutError | OSError | WatchBroken):
        return f"{type(error).__name__}: {error}"
    return f"fault: {type(error).__name__}: {error}"
