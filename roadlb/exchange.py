"""Where client side and instance side meet: an exchange, its executions, and how each of those ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from .policy.interface import ServerId, Status

if TYPE_CHECKING:
    from .wheel import Timer


class Ending(Enum):
    """Every way in which an execution's connection can end."""

    SERVED = "served"                      # a whole 200
    INSTANCE_ERROR = "instance_error"      # any other whole answer that does not prove that nothing ran
    TURNED_AWAY = "turned_away"            # 503 or 504 with the mark that it never ran
    DIAL_FAILED = "dial_failed"            # refused or unreachable
    DIAL_TIMED_OUT = "dial_timed_out"
    BROKE_UNSENT = "broke_unsent"          # before the request's last byte was written
    RESET = "reset"                        # after it, with no answer begun
    CUT_SHORT = "cut_short"                # within an answer
    GARBLED = "garbled"                    # an answer came that cannot be used
    TIMED_OUT = "timed_out"                # no answer in the time that it was given
    CANCELLED = "cancelled"                # called off by the balancer
    NO_SOCKET = "no_socket"                # nothing was dialled, for want of a descriptor
    NEVER_STARTED = "never_started"        # the exchange was over, or the instance is not known
    FAULT = "fault"                        # an exception of our own; it may have run

    @property
    def status(self) -> Status:
        return _STATUS[self]


# The one place where an ending becomes the decision module's outcome.
_STATUS = {
    Ending.SERVED: Status.OK,
    Ending.INSTANCE_ERROR: Status.ERROR,
    Ending.TURNED_AWAY: Status.FULL,
    Ending.DIAL_FAILED: Status.CONNECT_FAILED,
    Ending.DIAL_TIMED_OUT: Status.CONNECT_FAILED,
    Ending.BROKE_UNSENT: Status.CONNECT_FAILED,
    Ending.RESET: Status.RESET,
    Ending.CUT_SHORT: Status.RESET,
    Ending.GARBLED: Status.SPOILT,
    Ending.TIMED_OUT: Status.TIMEOUT,
    Ending.CANCELLED: Status.CANCELLED,
    Ending.NO_SOCKET: Status.MOOT,
    Ending.NEVER_STARTED: Status.MOOT,
    Ending.FAULT: Status.RESET,
}


@dataclass(slots=True)
class Served:
    """An instance's answer, passed on unchanged; `head`: its header lines, each with its line end."""

    body: bytes
    head: bytes = b""


@dataclass(slots=True)
class Nack:
    """A refusal: nothing was done, or a repeat does no harm."""

    retry_after_us: int


@dataclass(slots=True)
class Failed:
    """No promise about the effect."""

    reason: str


Answer: TypeAlias = Served | Nack | Failed


@dataclass(slots=True)
class Message:
    """What is passed on to an instance; the engine does not look into it.

    `head`: the header lines, each with its line end, but for those of one connection only.
    """

    method: bytes
    target: bytes
    head: bytes = b""
    body: bytes = b""


@dataclass(slots=True, eq=False)
class Execution:
    """One attempt at an exchange on one instance; times in microseconds of the engine's clock."""

    exchange: Exchange
    number: int
    server: ServerId
    started_us: int
    until_us: int
    ending: Ending | None = None


@dataclass(slots=True, eq=False)
class Exchange:
    """A client's request and its one final answer; the only thing that both sides know.

    `left_us` counts from `came_us`, a time of the engine's clock (0: from when it is opened).
    `on_answer` is called once, with the final answer, within the engine's turn; not if the client has gone.
    """

    message: Message
    class_index: int
    tenant: int
    key: int
    left_us: int
    work_us: int
    is_retry: bool
    on_answer: Callable[[Exchange, Answer], None]
    came_us: int = 0
    id: int = 0
    until_us: int = 0
    executions: list[Execution] = field(default_factory=list)
    guard: Timer | None = None
    answer: Answer | None = None
    gone: bool = False                     # the client, before it had an answer

    @property
    def closed(self) -> bool:
        """Answered, or its client has gone."""
        return self.gone or self.answer is not None


@dataclass(slots=True)
class Result:
    """What came of an execution or a probe."""

    ending: Ending
    report: tuple[float, ...] = ()
    answer: Served | None = None
