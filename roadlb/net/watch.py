"""The watch of discovery: long answers over HTTP/1.1, one opened when the last has ended."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from ..config import Address
from ..log import fields
from . import watch_timing as timing
from .watch_call import CallState, WatchBroken, WatchCall, WatchRefused
from .watch_timing import BackOff

logger = logging.getLogger(__name__)


class WatchState(Enum):
    RESTING = "not begun"
    CALLING = "calling"  # in which state, its `CallState` says
    BACKING_OFF = "backing off"
    CLOSED = "closed"


class WatchEvent(Enum):
    START = "start"
    CALL_ENDED = "call ended"  # by discovery, by an error or at a deadline
    PAUSE_OVER = "pause over"
    MOVED = "moved"
    STOP = "stop"


# Every other pair is a late event and does nothing.
NEXT = {
    (WatchState.RESTING, WatchEvent.START): WatchState.CALLING,
    (WatchState.RESTING, WatchEvent.STOP): WatchState.CLOSED,
    (WatchState.CALLING, WatchEvent.CALL_ENDED): WatchState.BACKING_OFF,
    (WatchState.CALLING, WatchEvent.MOVED): WatchState.CALLING,
    (WatchState.CALLING, WatchEvent.STOP): WatchState.CLOSED,
    (WatchState.BACKING_OFF, WatchEvent.PAUSE_OVER): WatchState.CALLING,
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

    def message(self, value: object) -> bool:
        """One JSON value, None for a blank line; was it news?  What it raises ends the call."""

    def broken(self, error: Exception | None) -> None:
        """A call has ended; another follows after a pause."""


class DiscoveryWatch:
    """Keeps one call to discovery open, whatever happens, until it is stopped.

    One call at a time; each has its own terminal state, and what an older one still says is never heard.
    """

    def __init__(self, owner: WatchOwner, seed: int | None = None) -> None:
        self._owner, self._back_off = owner, BackOff(seed)
        self.state = WatchState.RESTING
        self._call: WatchCall | None = None
        self._cancel_dial: Callable[[], object] = lambda: None
        self._timer: WatchTimer | None = None
        self._answer_s = timing.ANSWER_SOON_S
        self._news = False  # has this call told any?
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
            self._back_off.heard()
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
        """Let go of the call and of the timer, if there are any."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._call:
            self._call.close()
            self._call = None
            self._cancel_dial()

    def _open(self) -> None:
        address, after = self._owner.where()
        self._news = False
        call = WatchCall(
            address, after, self._message, lambda error: self._call_ended(call, error), self._loop.time
        )
        self._call = call
        self._cancel_dial = self._dial(call, address)
        self._look_at(call.deadline_s(self._answer_s))

    def _message(self, value: object) -> None:
        if self._owner.message(value):
            self._news = True

    def _look_at(self, when_s: float) -> None:
        self._timer = self._loop.call_at(when_s, self._due)

    def _due(self) -> None:
        """The deadline as it stood when the timer was set has come; it may stand later by now."""
        self._timer = None
        call = self._call
        if call is None:
            if self._moves(WatchEvent.PAUSE_OVER):
                self._open()
            return
        deadline_s = call.deadline_s(self._answer_s)
        if deadline_s <= self._loop.time():
            patient = call.state is CallState.AWAITING
            self._answer_s = timing.ANSWER_S if patient else timing.ANSWER_SOON_S
            call.end(TimeoutError(f"given up while {call.state.value}"))
        else:
            self._look_at(deadline_s)

    def _call_ended(self, call: WatchCall, error: Exception | None) -> None:
        if call is not self._call or not self._moves(WatchEvent.CALL_ENDED):
            return
        self._release()
        if self._news or call.streamed_s >= timing.KEEP_ALIVE_S:
            self._back_off.heard()
        self._owner.broken(error)
        pause_s = self._back_off.seconds(isinstance(error, WatchRefused))
        logger.warning("watch broken", extra=fields(error=described(error), again_s=pause_s))
        self._look_at(self._loop.time() + pause_s)


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
