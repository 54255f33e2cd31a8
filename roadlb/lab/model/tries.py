"""When a client tries again: by its class, its habits, and how the last try ended."""

from __future__ import annotations

from enum import Enum, auto

from .classes import ClassSpec, Habits


class TryEnd(Enum):
    """How one try of a wish ended."""

    SERVED = auto()
    REFUSED = auto()  # 429 or 503, whoever worded it
    FAILED = auto()  # any other answer, or one that cannot be right
    UNREACHED = auto()  # no balancer's machine had taken it
    BROKEN = auto()  # taken, and the connection ended with no whole answer
    GIVEN_UP = auto()  # taken, and its time ran out


SAFE_TO_REPEAT = frozenset({TryEnd.REFUSED, TryEnd.UNREACHED})  # whatever the class


def time_left(now: int, due: int, spec: ClassSpec, habits: Habits) -> int:
    """What a try that starts now may take, in microseconds; not above 0: the wish's time is over."""
    return min(round(spec.give_up_us * habits.try_share), due + spec.give_up_us - now)


def next_try(
    now: int,
    due: int,
    spec: ClassSpec,
    habits: Habits,
    honours: bool,
    attempt: int,
    end: TryEnd,
    retry_after_us: int = -1,
) -> int | None:
    """When the client tries again after try number `attempt` (from 0) has ended; none: it does not."""
    if end is TryEnd.SERVED or attempt >= habits.retries:
        return None
    if not spec.repeatable and end not in SAFE_TO_REPEAT:
        return None
    wait = habits.wait_us
    if honours and end is TryEnd.REFUSED and retry_after_us >= 0:
        wait = max(wait, min(retry_after_us, habits.retry_after_most_us))
    return now + wait if now + wait < due + spec.give_up_us else None
