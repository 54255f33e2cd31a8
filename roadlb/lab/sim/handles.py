"""What the simulated loop queues: callbacks, timers, readiness of sockets; and its tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .life import Life


def nothing(*_: object) -> None:
    """What a cancelled handle holds, so that it keeps nothing alive."""


class SimHandle(asyncio.Handle):
    """A callback that `call_soon` queued.  asyncio's own fields stay unset: each method is replaced."""

    __slots__ = ("callback", "args", "context", "life", "dropped")
    polled = False  # does the loop learn of it when it polls, behind what was queued in its turn?

    def __init__(
        self, callback: Callable[..., object], args: tuple[Any, ...], context: Context, life: Life
    ) -> None:
        self.callback, self.args, self.context, self.life = callback, args, context, life
        self.dropped = False

    def cancel(self) -> None:
        self.dropped, self.callback, self.args = True, nothing, ()

    def cancelled(self) -> bool:
        return self.dropped

    def get_context(self) -> Context:
        return self.context

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.callback!r} of {self.life}>"


class IoHandle(SimHandle):
    """A socket can be read, written or accepted from; queued again each time that it is so."""

    __slots__ = ()
    polled = True


class SimTimer(asyncio.TimerHandle):
    """A callback that is due at a time, `when()` in seconds of the loop's clock."""

    __slots__ = ("callback", "args", "context", "life", "dropped", "due", "waits")
    polled = True

    def __init__(
        self, due: float, callback: Callable[..., object], args: tuple[Any, ...], context: Context, life: Life
    ) -> None:
        self.callback, self.args, self.context, self.life = callback, args, context, life
        self.dropped, self.due = False, due
        self.waits = True  # still on the loop's heap

    def cancel(self) -> None:
        if not self.dropped and self.waits:
            self.life.loop.timer_dropped()
        self.dropped, self.callback, self.args = True, nothing, ()

    def cancelled(self) -> bool:
        return self.dropped

    def when(self) -> float:
        return self.due

    def get_context(self) -> Context:
        return self.context

    def __lt__(self, other: asyncio.TimerHandle) -> bool:
        return self.due < other.when()

    def __eq__(self, other: object) -> bool:
        return self is other

    __hash__ = object.__hash__

    def __repr__(self) -> str:
        return f"<SimTimer {self.due:.6f} {self.callback!r} of {self.life}>"


class SimTask(asyncio.Task[Any]):
    """A task whose hash is its number, so that a set of tasks is walked in the same order in every run."""

    def __init__(self, number: int, life: Life, coro: Any, **options: Any) -> None:
        self.number, self.life = number, life  # first, as a task is hashed while it is made
        super().__init__(coro, **options)

    def __hash__(self) -> int:
        return self.number
