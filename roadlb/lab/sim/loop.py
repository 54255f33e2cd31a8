"""The simulated event loop: virtual time, one order of things, and one seed.

asyncio's own loop runs, stops and shuts down; its selector is ours, and `select()` is where the whole
simulation happens: turn after turn as asyncio does, moving the clock when a turn has left nothing to do.  One
heap of `(at_us, sequence)` holds timers (which belong to hosts) and events of the network.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import selectors
import signal
import threading
from collections import deque
from collections.abc import Callable, Coroutine, Generator, Iterable
from contextvars import Context, copy_context
from random import Random
from typing import TYPE_CHECKING, Any

from .datagrams import SimDatagramTransport, create_datagram_endpoint
from .errors import Deadlock, HostDown, Livelock, NotSimulated, SimError, refuse, waiting
from .handles import IoHandle, SimHandle, SimTask, SimTimer
from .life import LIFE, Life, Queued
from .refusals import refusing
from .sockets import SimSocket

if TYPE_CHECKING:
    from .host import Host
    from .network import Network
    from .server import SimServer
    from .transport import SimTransport

# A time on the clock is a whole number of microseconds; `when * 1e6` misses it by less than this below 1e12.
FLOAT_NOISE_US = 1e-3
COMPACT_FROM = 1_000  # dropped timers on the heap before it is worth rebuilding
TASKS_KEPT = 1_000  # tasks, done or not, before those that are done are let go of
UNWOUND_AFTER = 5  # times that a coroutine is told to end
FOREVER = math.inf


class _Selector(selectors.SelectSelector):
    """asyncio's loop asks it what is ready; it simulates until the loop is to stop."""

    simulate: Callable[[], None]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.simulate()
        return []


@refusing
class SimLoop(asyncio.SelectorEventLoop):
    """An event loop for `asyncio.Runner(loop_factory=lambda: SimLoop(seed))`.

    `start_us`: what the clock shows at first.  `most_turns`: so many turns at one instant are a livelock.
    """

    def __init__(self, seed: int, *, start_us: int = 0, most_turns: int = 100_000) -> None:
        self.seed, self.now_us = seed, start_us
        self.network: Network | None = None  # set by Network
        self.outside = Life(self, None)  # what runs in the name of no host
        self._most_turns = most_turns
        self._heap: list[tuple[int, int, SimTimer | None, Callable[[], None] | None]] = []
        self._pushed = 0  # the sequence number of the heap's newest entry
        self._dropped = 0  # cancelled timers that the heap still holds
        self._queue: deque[Queued] = deque()  # this turn's callbacks, and the next one's
        self._found: list[Queued] = []  # sockets that the next poll finds ready
        self._polling = False
        self._turn_ends: list[Queued] = []
        self._buried: list[SimTask] = []  # tasks of dead hosts: kept, so that they never unwind
        # Held here, a task that its maker has dropped ends when the seed says, not when garbage is collected.
        self._tasks: list[SimTask] = []
        self._made, self._look_through = 0, TASKS_KEPT
        self._halt = self._over = self._unwinding = False
        self._thread = 0
        selector = _Selector()
        selector.simulate = self._simulate
        super().__init__(selector)

    @staticmethod
    def running() -> SimLoop:
        """The loop that runs here; SimError: it is a real one."""
        loop = asyncio.get_running_loop()
        if not isinstance(loop, SimLoop):
            raise SimError(f"{loop!r} is no simulated loop: start with asyncio.Runner(loop_factory=...)")
        return loop

    # The clock

    def time(self) -> float:
        return self.now_us / 1e6

    def clock_us(self) -> int:
        """Now, in microseconds of the rehearsal's clock."""
        return self.now_us

    def random(self, name: str) -> Random:
        """A generator for the party of this name: adding another party does not move its draws."""
        return Random(f"{self.seed}/{name}")

    # Queueing

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> SimHandle:
        if self._over:
            raise RuntimeError("Event loop is closed")
        if context is None:
            context = copy_context()
        handle = SimHandle(callback, args, context, context.get(LIFE, self.outside))
        self._queue.append(handle)
        return handle

    def call_soon_threadsafe(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> SimHandle:
        if self._thread and threading.get_ident() != self._thread:
            raise NotSimulated(
                "call_soon_threadsafe from another thread: when it comes is not the seed's "
                "choice; let the work of threads be a party on the loop"
            )
        return self.call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> SimTimer:
        at = when if when == FOREVER else math.ceil(when * 1e6 - FLOAT_NOISE_US)
        if at <= self.now_us < when * 1e6:
            at = self.now_us + 1  # else who finds itself a rounding error early would try again for ever
        return self._call_at(at, when, callback, args, context)

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> SimTimer:
        at = delay if delay == FOREVER else self.now_us + math.ceil(delay * 1e6 - FLOAT_NOISE_US)
        if delay > 0 and at <= self.now_us:
            at = self.now_us + 1  # as in call_at
        return self._call_at(at, self.now_us / 1e6 + delay, callback, args, context)

    def _call_at(
        self,
        at: float,
        when: float,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: Context | None,
    ) -> SimTimer:
        if self._over:
            raise RuntimeError("Event loop is closed")
        if context is None:
            context = copy_context()
        timer = SimTimer(when, callback, args, context, context.get(LIFE, self.outside))
        if at != FOREVER:
            self._pushed += 1
            heapq.heappush(self._heap, (max(int(at), self.now_us), self._pushed, timer, None))
        return timer

    def timer_dropped(self) -> None:
        """A timer on the heap was cancelled; when most of them are, the heap is rebuilt without them."""
        self._dropped += 1
        if self._dropped > COMPACT_FROM and self._dropped * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2] is None or not entry[2].dropped]
            heapq.heapify(self._heap)
            self._dropped = 0

    # Seams to the rest of the simulation

    def kernel_at(self, at_us: int, event: Callable[[], None]) -> None:
        """Have the world do something that is no host's callback: nothing holds it up."""
        self._pushed += 1
        heapq.heappush(self._heap, (at_us, self._pushed, None, event))

    def socket_ready(self, handle: IoHandle) -> None:
        """A host's loop finds a socket ready: now if the loop polls, else when it next does."""
        (self._queue if self._polling else self._found).append(handle)

    def at_turn_end(self, handle: IoHandle) -> None:
        """Run a callback when all others of its host's turn have run."""
        (handle.life.turn_ends if handle.life.slow else self._turn_ends).append(handle)

    def requeue(self, handles: Iterable[Queued]) -> None:
        self._queue.extend(handles)

    def run_handle(self, handle: Queued) -> None:
        """Run one callback; what it raises goes to the exception handler, as asyncio has it."""
        try:
            handle.context.run(handle.callback, *handle.args)
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            self.call_exception_handler(
                {
                    "message": f"Exception in callback {handle.callback!r}",
                    "exception": error,
                    "handle": handle,
                }
            )

    # Turns

    def stop(self) -> None:
        self._halt = True
        super().stop()

    def _simulate(self) -> None:
        self._thread = threading.get_ident()
        try:
            self._turns()
        finally:
            self._halt, self._polling, self._thread = False, False, 0

    def _turns(self) -> None:
        """Run turn after turn until `stop`: poll, then run what was queued by then, and nothing newer."""
        queue, turns, pop = self._queue, 0, heapq.heappop
        while True:
            if not (queue or self._found or self._halt) and self._move_clock():
                turns = 0
            turns += 1
            if turns > self._most_turns:
                raise self._livelock()
            self._polling, now = True, self.now_us
            if self._found:
                queue.extend(self._found)
                self._found.clear()
            heap = self._heap
            while heap and heap[0][0] <= now:
                _, _, timer, event = pop(heap)
                if event is not None:
                    event()
                    heap = self._heap
                elif timer is not None:
                    timer.waits = False
                    if timer.dropped:
                        self._dropped -= 1
                    else:
                        queue.append(timer)
            self._polling = False
            for _ in range(len(queue)):
                handle = queue.popleft()
                if handle.life.held:
                    handle.life.keep(handle)
                elif not handle.dropped:
                    try:
                        handle.context.run(handle.callback, *handle.args)
                    except (SystemExit, KeyboardInterrupt):
                        raise
                    except BaseException as error:
                        self.call_exception_handler(
                            {
                                "message": f"Exception in callback {handle.callback!r}",
                                "exception": error,
                                "handle": handle,
                            }
                        )
            if self._turn_ends:
                self._end_turn()
            if self._halt:
                return

    def _end_turn(self) -> None:
        ends, self._turn_ends = self._turn_ends, []
        for handle in ends:
            if handle.life.held:
                handle.life.keep(handle)
            else:
                self.run_handle(handle)

    def _move_clock(self) -> bool:
        """Go to the next timer or event; whether the clock moved."""
        heap = self._heap
        while heap and (timer := heap[0][2]) is not None and timer.dropped:
            heapq.heappop(heap)
            timer.waits = False
            self._dropped -= 1
        if not heap:
            raise Deadlock(
                f"at {self.now_us} us nothing can ever happen again: no callback, timer or segment is left.  "
                "Who waits should have a deadline, or its partner should run.  Hosts that are stopped "
                f"(`resume()` or `network.end()` frees them): {self._stopped() or 'none'}.  Tasks:\n"
                f"{waiting(self._tasks)}"
            )
        moved = heap[0][0] > self.now_us
        self.now_us = max(self.now_us, heap[0][0])
        return moved

    def _stopped(self) -> str:
        hosts = self.network.hosts.values() if self.network is not None else ()
        return ", ".join(host.name for host in hosts if host.life.stopped)

    def _livelock(self) -> Livelock:
        due = [timer for at, _, timer, _ in self._heap if timer is not None and at <= self.now_us]
        queued = "\n".join(f"  {handle!r}" for handle in [*self._queue, *self._found, *due][:20])
        return Livelock(
            f"{self._most_turns} turns at {self.now_us} us, and the clock stands.  Something "
            "queues itself without end (`await asyncio.sleep(0)` in a loop?); let it wait for an "
            "event or a time, or raise `most_turns`.  Queued now:\n"
            f"{queued or '  events of the network'}"
        )

    # Tasks

    def create_task(  # type: ignore[override]
        self,
        coro: Generator[Any, None, Any] | Coroutine[Any, Any, Any],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[Any]:
        if self._over or self._unwinding:
            coro.close()  # it will never run, and need not complain of that
            raise RuntimeError("Event loop is closed")
        self._made += 1
        life = LIFE.get(self.outside) if context is None else context.get(LIFE, self.outside)
        task = SimTask(self._made, life, coro, loop=self, name=name or f"Task-{self._made}", context=context)
        self._tasks.append(task)
        if len(self._tasks) >= self._look_through:
            self._tasks = [task for task in self._tasks if not task.done()]
            self._look_through = 2 * len(self._tasks) + TASKS_KEPT
        return task

    def bury(self, life: Life) -> None:
        """Keep the tasks of a dead life as they are: destroyed, they would run their `finally` blocks."""
        for task in [task for task in self._tasks if task.life is life and not task.done()]:
            # Documented for makers of loops ("Extending"): nobody waits for it when the loop shuts down.
            asyncio.tasks._unregister_task(task)
            self._buried.append(task)
        self._tasks = [task for task in self._tasks if task.life is not life]

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not (self._over or self._unwinding):  # what is thrown away after the end is nobody's fault
            super().call_exception_handler(context)

    def close(self) -> None:
        if self._over or self.is_running():
            return super().close()
        if self._buried:
            self.run_until_complete(self._unwind())
        self._buried.clear()
        self._tasks.clear()
        if self.network is not None:
            self.network.close()
        self._queue.clear()
        self._found.clear()
        self._heap.clear()
        self._over = True
        super().close()

    async def _unwind(self) -> None:
        """End tasks of dead hosts in order, where nothing that they do counts.

        While the loop runs, or else what they start would begin on another one.
        """
        self._unwinding = True
        for task in self._buried:
            _end(task.get_coro())

    # Signals

    def add_signal_handler(  # type: ignore[override]
        self,
        sig: int,
        callback: Callable[..., object],
        *args: Any,
    ) -> None:
        """For the host whose program runs; `host.raise_signal(sig)` calls it."""
        self._life().signals[signal.Signals(sig)] = callback, args

    def remove_signal_handler(self, sig: int) -> bool:
        return self._life().signals.pop(signal.Signals(sig), None) is not None

    def current_host(self) -> Host:
        """The host whose program runs."""
        host = self._life().host
        assert host is not None
        return host

    def _life(self) -> Life:
        life = LIFE.get(self.outside)
        if life.host is None:
            raise HostDown("no host runs here: start it with host.run(coroutine) or host.call(function)")
        return life

    def the_network(self) -> Network:
        if self.network is None:
            raise SimError("this loop has no network yet: make one with Network(loop)")
        return self.network

    # The network

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> SimServer:
        """`asyncio`'s, on the network of the host that calls; options: see `Network.create_server`."""
        network = self.the_network()
        return await network.create_server(self.current_host(), protocol_factory, host, port, **options)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> tuple[SimTransport, asyncio.BaseProtocol]:
        network = self.the_network()
        return await network.create_connection(self.current_host(), protocol_factory, host, port, **options)

    async def create_datagram_endpoint(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        local_addr: Any = None,
        remote_addr: Any = None,
        **options: Any,
    ) -> tuple[SimDatagramTransport, Any]:
        """`asyncio`'s, on the same network."""
        host = self.current_host()
        return await create_datagram_endpoint(
            self.the_network(), host, copy_context(), protocol_factory, local_addr, remote_addr, **options
        )

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """For sockets made by `network.socket()`, as aiohttp's connector makes them with it."""
        if not isinstance(sock, SimSocket):
            refuse(
                "loop.sock_connect with a real socket",
                "give aiohttp's connector socket_factory=network.socket, or use create_connection",
            )
        sock.end = await self.the_network().dial(self.current_host(), address[0], address[1])

    async def getaddrinfo(
        self, host: Any, port: Any, *, family: int = 0, type: int = 0, proto: int = 0, flags: int = 0
    ) -> Any:
        """For IP addresses, and for names that the network knows; never asked outside."""
        return self.the_network().names.look_up(host, port, family, type, proto)


def _end(coroutine: Any) -> None:
    """Close a coroutine, even one that goes on after an exception, as a watch does that runs for ever."""
    for _ in range(UNWOUND_AFTER):
        try:
            coroutine.close()
            return
        except Exception:  # an `await` in a `finally`, or the loop's refusal
            pass
