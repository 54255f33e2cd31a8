"""One start of a host's program: what runs in its name, and whether it may run now."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar

from .cpu import Cpu
from .errors import HostDown
from .handles import SimHandle, SimTimer

if TYPE_CHECKING:
    from .host import Host
    from .loop import SimLoop

T = TypeVar("T")
Queued: TypeAlias = SimHandle | SimTimer


class Life:
    """Callbacks of one life run in the order in which asyncio would run them in a process of its own.

    A life that is `held` (dead, stopped, or with a CPU that takes time) has its callbacks handed to `keep`;
    all others run straight from the loop's queue.
    """

    __slots__ = (
        "loop",
        "host",
        "held",
        "dead",
        "stopped",
        "signals",
        "turn_ends",
        "_cpu",
        "_soon",
        "_polled",
        "_turn",
        "_current",
        "_reasons",
        "_overrun",
        "_awake",
        "_wake",
        "_watched",
    )

    def __init__(self, loop: SimLoop, host: Host | None, cpu: Cpu | None = None) -> None:
        self.loop, self.host, self._cpu = loop, host, cpu
        self.dead = self.stopped = False
        self.held = cpu is not None
        self.signals: dict[int, tuple[Callable[..., object], tuple[object, ...]]] = {}
        self.turn_ends: list[Queued] = []  # run when a turn of this life ends
        self._soon: deque[Queued] = deque()  # queued by its own callbacks, for the next turn
        self._polled: deque[Queued] = deque()  # timers and sockets that its next poll finds
        self._turn: deque[Queued] = deque()  # left of the turn that is on
        self._current: Queued | None = None  # on the CPU
        self._reasons: set[object] = set()  # why it is stopped
        self._overrun = False  # its time was up while the life was stopped
        self._awake = False  # a callback is on the CPU, or `_wake` is queued
        self._wake: SimHandle | None = None
        self._watched: dict[asyncio.Future[Any], str] = {}  # who waits for tasks, and their names

    def __repr__(self) -> str:
        return f"{self.host.name if self.host else 'the rehearsal'}{' (dead)' if self.dead else ''}"

    @property
    def slow(self) -> bool:
        """Do its callbacks take time?"""
        return self._cpu is not None

    def keep(self, handle: Queued) -> None:
        """Take a callback that is due, and run it when this life may."""
        if self.dead:
            return
        (self._polled if handle.polled else self._soon).append(handle)
        if not (self._awake or self.stopped):
            self._wake_up()

    def stop(self, reason: object) -> None:
        """As SIGSTOP: no callback runs until `resume` was called for each reason."""
        self._reasons.add(reason)
        self.stopped = self.held = True

    def resume(self, reason: object) -> None:
        self._reasons.discard(reason)
        if self._reasons or not self.stopped or self.dead:
            return
        self.stopped = False
        if self._overrun:
            self._overrun = False
            self.loop.kernel_at(self.loop.now_us, self._done)
        elif self._current is None:
            self._wake_up()

    def watch(self, task: asyncio.Task[T]) -> asyncio.Future[T]:
        """A future for who waits from outside this life: a task of a dead one never ends."""
        waiter: asyncio.Future[T] = self.loop.create_future()

        def ended(task: asyncio.Task[T]) -> None:
            self._watched.pop(waiter, None)
            if waiter.done():
                return
            if task.cancelled():
                waiter.cancel()
            elif error := task.exception():
                waiter.set_exception(error)
            else:
                waiter.set_result(task.result())

        def given_up(waiter: asyncio.Future[T]) -> None:
            if waiter.cancelled():
                task.cancel()

        self._watched[waiter] = task.get_name()
        task.add_done_callback(ended, context=Context())
        waiter.add_done_callback(given_up, context=Context())
        return waiter

    def set_cpu(self, cpu: Cpu | None) -> None:
        """From the next callback on; one that is on the CPU ends as it would have."""
        self._cpu, self.held = cpu, True
        if not (self._awake or self.stopped or self.dead):
            self._wake_up()

    def end(self) -> None:
        """Nothing of it ever runs again."""
        self.dead = self.held = True
        for queue in (self._turn, self._soon, self._polled):
            queue.clear()
        self.turn_ends.clear()
        self.signals.clear()
        self._current = None
        for waiter, name in self._watched.items():
            if not waiter.done():
                waiter.set_exception(HostDown(f"{self.host and self.host.name} died while it ran {name}"))
                waiter.exception()  # known: no word of it where nobody waits
        self._watched.clear()

    def _wake_up(self) -> None:
        """Go on once all that this instant has queued for this life was handed to `keep`."""
        self._awake = True
        if self._wake is None:
            self._wake = SimHandle(self._go_on, (), Context(), self.loop.outside)
        self.loop.requeue((self._wake,))

    def _go_on(self) -> None:
        self._awake = False
        if self.dead or self.stopped or self._current is not None:
            return
        if self._cpu is not None:
            self._next()
            return
        self.held = False
        for queue in (self.turn_ends, self._turn, self._soon, self._polled):
            self.loop.requeue(queue)
            queue.clear()

    def _next(self) -> None:
        """Put the next callback on the CPU, if there is one."""
        while True:
            if not self._turn:
                for handle in self.turn_ends:
                    self.loop.run_handle(handle)
                self.turn_ends.clear()
                self._turn.extend(self._soon)
                self._turn.extend(self._polled)
                self._soon.clear()
                self._polled.clear()
                if not self._turn:
                    return
            handle = self._turn.popleft()
            if not handle.dropped:
                break
        assert self._cpu is not None
        self._current, self._awake = handle, True
        self.loop.kernel_at(self._cpu.end(self.loop.now_us), self._done)

    def _done(self) -> None:
        """The time of the callback on the CPU is up: what it does, it does now."""
        if self.stopped:
            self._overrun = True
            return
        handle, self._current = self._current, None
        if handle is None or self.dead:
            return
        if not handle.dropped:
            self.loop.run_handle(handle)
        if not self.dead:
            self._wake_up()


LIFE: ContextVar[Life] = ContextVar("roadlb.lab.sim.life")
