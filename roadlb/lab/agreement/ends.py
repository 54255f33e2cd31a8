"""Every wait of a play ends, and names what did not come to pass, with all tasks as they stand."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterator
from typing import Any, TypeVar

T = TypeVar("T")
GENEROUS_S = 90.0  # for what must come to pass; no verdict depends on it


class DidNotCome(Exception):
    """What was waited for in vain; its notes hold the tasks of that moment."""

    def __init__(self, what: str, within_s: float) -> None:
        super().__init__(f"{what}: not within {within_s:g} s")
        for line in stacks():
            self.add_note(line)


async def ends(what: str, waits: Awaitable[T], within_s: float = GENEROUS_S) -> T:
    """What it gives; DidNotCome, naming it, if it does not end."""
    task = asyncio.ensure_future(waits)
    done, _ = await asyncio.wait([task], timeout=within_s)
    if not done:
        error = DidNotCome(what, within_s)  # before the task is gone from the stacks
        task.cancel()
        raise error
    return task.result()


def stacks() -> list[str]:
    """A line for each task: which coroutine awaits which, down to what nobody here has the end of."""
    return [f"{task.get_name()}: {' > '.join(_chain(task.get_coro()))}" for task in asyncio.all_tasks()]


def _chain(awaits: Any) -> Iterator[str]:
    while awaits is not None:
        frame = getattr(awaits, "cr_frame", None) or getattr(awaits, "gi_frame", None)
        name = getattr(awaits, "__qualname__", type(awaits).__name__)
        yield f"{name}:{frame.f_lineno}" if frame is not None else name
        awaits = getattr(awaits, "cr_await", None) or getattr(awaits, "gi_yieldfrom", None)
