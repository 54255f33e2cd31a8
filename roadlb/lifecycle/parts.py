"""The parts of one balancer, in one list: each has its own start and stop, and hears what concerns all."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TypeAlias

from .lifecycle import State

Calls: TypeAlias = Mapping[tuple[str, str], Callable[[], tuple[int, str]]]


class Part:
    """What a part may have to do, in the order in which it comes; by default nothing."""

    async def start(self) -> None:
        """Those before it in the list have begun."""

    def serving(self) -> None:
        """All have begun, and clients are about to be taken."""

    def beside(self, count: int) -> None:
        """So many processes, this one among them, are this one balancer now."""

    def changed(self, state: State) -> None:
        """The lifecycle is in another state now."""

    async def stop(self) -> None:
        """No client is left, and those after it in the list have ended."""

    def gauges(self) -> Mapping[str, int]:
        """What holds now, under the names that operators see."""
        return {}

    def calls(self) -> Calls:
        """What operators may call, as `roadlb.admin.door.Door` takes it."""
        return {}


class Parts(Part):
    """Begins its parts from the first to the last, and ends them from the last to the first."""

    def __init__(self, parts: Iterable[Part]) -> None:
        self._parts = list(parts)
        self._begun: list[Part] = []

    async def start(self) -> None:
        for part in self._parts:
            await part.start()
            self._begun.append(part)

    def serving(self) -> None:
        for part in self._parts:
            part.serving()

    def beside(self, count: int) -> None:
        for part in self._parts:
            part.beside(count)

    def changed(self, state: State) -> None:
        for part in reversed(self._parts):
            part.changed(state)

    async def stop(self) -> None:
        """End those that have begun; a second time there are none."""
        while self._begun:
            await self._begun.pop().stop()

    def gauges(self) -> Mapping[str, int]:
        return {name: value for part in self._parts for name, value in part.gauges().items()}

    def calls(self) -> Calls:
        return {call: carry_out for part in self._parts for call, carry_out in part.calls().items()}
