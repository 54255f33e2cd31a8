"""What a rehearsal ends with when it cannot go on, each with the way out."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any, NoReturn

TASKS_MOST = 20  # tasks named in one error


class SimError(RuntimeError):
    """A fault in how the simulated world is used.  What a network does to a program is an OSError."""


class Deadlock(SimError):
    """Nothing can ever happen again, and somebody still waits."""


class Livelock(SimError):
    """The clock stands still, however many turns pass."""


class HostDown(SimError):
    """Something was to run on a host that has no running program."""


class NotSimulated(SimError):
    """An interface of the real world that has no place in the simulated one."""


def refuse(what: str, remedy: str) -> NoReturn:
    raise NotSimulated(f"{what} reaches out of the simulated world, where nothing repeats; {remedy}")


def waiting(tasks: Iterable[asyncio.Task[Any]]) -> str:
    """One line for each task that is not done: its name, and the place where it waits."""
    pending = sorted(
        (task for task in tasks if not task.done()), key=lambda task: (len(task.get_name()), task.get_name())
    )
    lines = [f"  {task.get_name()} waits in {_place(task.get_coro())}" for task in pending[:TASKS_MOST]]
    if len(pending) > TASKS_MOST:
        lines.append(f"  and {len(pending) - TASKS_MOST} more tasks")
    return "\n".join(lines) or "  no task is left"


def _place(coroutine: Any) -> str:
    """The innermost frame of a suspended coroutine."""
    place = getattr(coroutine, "__qualname__", repr(coroutine))
    while coroutine is not None and getattr(coroutine, "cr_frame", None) is not None:
        frame = coroutine.cr_frame
        place = f"{frame.f_code.co_qualname} ({frame.f_code.co_filename}:{frame.f_lineno})"
        coroutine = coroutine.cr_await
    return str(place)
