"""A loop and a transport for watches of discovery whose time passes only when the test says so."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Timer:
    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        self.callback = None


class FakeLoop:
    """Time that passes only by `pass_to`."""

    def __init__(self) -> None:
        self.now, self._heap, self._count = 0.0, list[tuple[float, int, Timer]](), itertools.count()

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[[], object]) -> Timer:
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._count), timer))
        return timer

    def pass_to(self, when: float) -> None:
        while self._heap and self._heap[0][0] <= when:
            at, _, timer = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            if timer.callback:
                timer.callback()
        self.now = max(self.now, when)


class Transport:
    def __init__(self) -> None:
        self.written, self.aborted = b"", False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.aborted = True
