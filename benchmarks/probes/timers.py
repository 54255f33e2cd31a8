"""What a timer costs that is set for each request and nearly always cancelled: the loop's against a wheel's.

    python benchmarks/probes/timers.py

200 requests are open at any time, each with a guard 2.5 s ahead.  One step sets a new guard and cancels the
oldest; after every 20 steps the loop gets a turn.  At 200,000 steps a run, nanoseconds of CPU for each step.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from collections.abc import Callable
from importlib.metadata import version

import uvloop

STEPS, OPEN, PER_TURN, AHEAD_S, SLOT_S, ROUNDS = 200_000, 200, 20, 2.5, 0.005, 5


class TimerWheel:
    """Notes in a dict of 5 ms slots, one timer of the loop for as long as any slot holds something.

    `cancel` takes a note out at once; a caller that marks its own objects can leave it where it is.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.slots, self.at = loop, dict[int, dict[object, Callable[[], None]]](), 0
        self.ticking = False

    def add(self, delay_s: float, note: object, call: Callable[[], None]) -> int:
        slot = int((self.loop.time() + delay_s) / SLOT_S) + 1
        notes = self.slots.get(slot)
        if notes is None:
            notes = self.slots[slot] = {}
            if not self.ticking:
                self.ticking, self.at = True, int(self.loop.time() / SLOT_S)
                self.loop.call_later(SLOT_S, self.tick)
        notes[note] = call
        return slot

    def cancel(self, slot: int, note: object) -> None:
        if notes := self.slots.get(slot):
            notes.pop(note, None)

    def tick(self) -> None:
        now = int(self.loop.time() / SLOT_S)
        for slot in range(self.at, now + 1):
            for call in self.slots.pop(slot, {}).values():
                call()
        self.at = now + 1
        self.ticking = bool(self.slots)
        if self.ticking:
            self.loop.call_later(SLOT_S, self.tick)


def nothing() -> None:
    pass


async def bare() -> None:
    loop, open = asyncio.get_running_loop(), deque[float]([0.0] * OPEN)
    for i in range(STEPS):
        open.append(loop.time())
        open.popleft()
        if not i % PER_TURN:
            await asyncio.sleep(0)


async def loops_own() -> None:
    loop = asyncio.get_running_loop()
    open = deque(loop.call_later(AHEAD_S, nothing) for _ in range(OPEN))
    for i in range(STEPS):
        open.append(loop.call_later(AHEAD_S, nothing))
        open.popleft().cancel()
        if not i % PER_TURN:
            await asyncio.sleep(0)
    for handle in open:
        handle.cancel()


async def wheel(cancels: bool = True) -> None:
    w, n = TimerWheel(asyncio.get_running_loop()), OPEN
    open = deque((w.add(AHEAD_S, i, nothing), i) for i in range(OPEN))
    for i in range(STEPS):
        n += 1
        open.append((w.add(AHEAD_S, n, nothing), n))
        slot, note = open.popleft()
        if cancels:
            w.cancel(slot, note)
        if not i % PER_TURN:
            await asyncio.sleep(0)
    w.slots.clear()


async def wheel_left() -> None:
    await wheel(cancels=False)


async def future() -> None:
    """Beside the timers: a future that is awaited by a task and set, as one exchange has today."""
    loop = asyncio.get_running_loop()
    for _ in range(STEPS // 10):
        f = loop.create_future()
        loop.call_soon(f.set_result, None)
        await f


async def tasks() -> None:
    async def one() -> None:
        pass

    for _ in range(STEPS // 10):
        await asyncio.get_running_loop().create_task(one())


async def turns() -> None:
    for _ in range(STEPS // 10):
        await asyncio.sleep(0)


KINDS = {
    "a step with no timer": (bare, STEPS),
    "call_later + cancel": (loops_own, STEPS),
    "wheel, taken out": (wheel, STEPS),
    "wheel, left in": (wheel_left, STEPS),
    "a turn of the loop": (turns, STEPS // 10),
    "future set + awaited": (future, STEPS // 10),
    "task made + awaited": (tasks, STEPS // 10),
}


def main() -> None:
    loops = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
    best: dict[tuple[str, str], float] = {}
    for _ in range(ROUNDS):
        for loop_name, factory in loops.items():
            for name, (kind, steps) in KINDS.items():
                with asyncio.Runner(loop_factory=factory) as runner:
                    began = time.process_time_ns()
                    runner.run(kind())
                    took = (time.process_time_ns() - began) / steps
                best[name, loop_name] = min(took, best.get((name, loop_name), 1e9))
    print(f"python {sys.version.split()[0]}, uvloop {version('uvloop')}; ns each, lowest of {ROUNDS} runs")
    for name in KINDS:
        print(f"{name:<24}" + "".join(f"{loop:>10}{best[name, loop]:>8.0f}" for loop in loops))


if __name__ == "__main__":
    main()
