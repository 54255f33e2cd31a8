"""Where the client side and the server side meet: an exchange, its attempts, and how each of those ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from .body_stream import BodyStream
from .policy.interface import ServerId, Status

if TYPE_CHECKING:
    from .wheel import Timer


ALWAYS_PAST_US = -1  # a time that every clock has passed


class AttemptOutcome(Enum):
    """Every way in which an attempt's connection can end."""

    SERVED = "served"  # a whole 200
    INSTANCE_ERROR = "instance_error"  # any other whole answer that does not prove that nothing ran
    TURNED_AWAY = "turned_away"  # 503 or 504 with the mark that it never ran
    DIAL_FAILED = "dial_failed"  # refused or unreachable
    DIAL_TIMED_OUT = "dial_timed_out"
    BROKE_UNSENT = "broke_unsent"  # before the request's last byte was written
    UNFINISHED = "unfinished"  # its client left the body unfinished, which says nothing of the server
    RESET = "reset"  # after it, with no answer begun
    CUT_SHORT = "cut_short"  # within an answer
    GARBLED = "garbled"  # an answer came that cannot be used
    TIMED_OUT = "timed_out"  # no answer in the time that it was given
    CANCELLED = "cancelled"  # called off by the balancer
    NO_SOCKET = "no_socket"  # nothing was dialled, for want of a descriptor
    NEVER_STARTED = "never_started"  # the exchange was over, or the instance is not known
    FAULT = "fault"  # an exception of our own; it may have run

    @property
    def status(self) -> Status:
        return _STATUS[self]


# The one place where an outcome becomes the status that the decision module hears.
_STATUS = {
    AttemptOutcome.SERVED: Status.OK,
    AttemptOutcome.INSTANCE_ERROR: Status.ERROR,
    AttemptOutcome.TURNED_AWAY: Status.FULL,
    AttemptOutcome.DIAL_FAILED: Status.CONNECT_FAILED,
    AttemptOutcome.DIAL_TIMED_OUT: Status.CONNECT_FAILED,
    AttemptOutcome.BROKE_UNSENT: Status.CONNECT_FAILED,
    AttemptOutcome.UNFINISHED: Status.MOOT,
    AttemptOutcome.RESET: Status.RESET,
    AttemptOutcome.CUT_SHORT: Status.RESET,
    AttemptOutcome.GARBLED: Status.SPOILT,
    AttemptOutcome.TIMED_OUT: Status.TIMEOUT,
    AttemptOutcome.CANCELLED: Status.CANCELLED,
    AttemptOutcome.NO_SOCKET: Status.MOOT,
    AttemptOutcome.NEVER_STARTED: Status.MOOT,
    AttemptOutcome.FAULT: Status.RESET,
}


@dataclass(slots=True, init=False)
class Response:
    """An instance's answer, passed on unchanged; `head`: its header lines, each with its line end.

    `flow`: the body, which comes piece by piece and is not in `body`.
    """

    body: bytes
    head: bytes = b""
    body_stream: BodyStream | None = None

    def __init__(self, body: bytes, head: bytes = b"", body_stream: BodyStream | None = None) -> None:
        self.body, self.head, self.body_stream = body, head, body_stream


@dataclass(slots=True, init=False)
class Refusal:
    """A refusal: nothing was done, or a repeat does no harm."""

    retry_after_us: int

    def __init__(self, retry_after_us: int) -> None:
        self.retry_after_us = retry_after_us


@dataclass(slots=True)
class Failure:
    """No promise about the effect."""

    reason: str


Answer: TypeAlias = Response | Refusal | Failure


@dataclass(slots=True, init=False)
class Message:
    """What is passed on to an instance; the engine does not look into it.

    `head`: the header lines, each with its line end, but for those of one connection only.  `flow`: the rest
    of the body, behind what is in `body`.
    """

    method: bytes
    target: bytes
    head: bytes = b""
    body: bytes = b""
    body_stream: BodyStream | None = None

    def __init__(
        self,
        method: bytes,
        target: bytes,
        head: bytes = b"",
        body: bytes = b"",
        body_stream: BodyStream | None = None,
    ) -> None:
        self.method, self.target, self.head, self.body, self.body_stream = (
            method,
            target,
            head,
            body,
            body_stream,
        )


class Attempt:
    """One attempt at an exchange on one instance; times in microseconds of the engine's clock.

    It knows its exchange by `request`, the id, alone: with a reference each way, each request left a cycle
    for the garbage collector, which then took 8% of an overloaded balancer's CPU.

    `left_us`: while the request's body still comes, how long its answer will be waited for from the last
    byte on; 0 once that has come.  `write_by_us`: from then on nothing of it may be written.
    """

    __slots__ = (
        "write_by_us",
        "outcome",
        "left_us",
        "message",
        "number",
        "request",
        "server",
        "started_us",
        "deadline_at_us",
    )

    def __init__(
        self,
        request: int,
        message: Message,
        number: int,
        server: ServerId,
        started_us: int,
        deadline_at_us: int,
        left_us: int = 0,
        write_by_us: int = 0,
    ) -> None:
        """`write_by_us` 0: until its time is up."""
        self.left_us = left_us
        self.write_by_us = write_by_us or deadline_at_us
        self.request, self.message, self.number, self.server = request, message, number, server
        self.started_us, self.deadline_at_us = started_us, deadline_at_us
        self.outcome: AttemptOutcome | None = None

    def forbid_writing(self) -> None:
        """Its request is over: if nothing of it is written yet, nothing will be."""
        self.left_us, self.write_by_us = 0, ALWAYS_PAST_US

    def time_left_us(self, now_us: int) -> int:
        """How long its answer will be waited for if it is written now; 0: it may not be written any more."""
        if self.left_us:
            return self.left_us
        return self.deadline_at_us - now_us if now_us < self.write_by_us else 0


def client_not_gone() -> bool:
    """In place of a look at the client's connection: it has not left."""
    return False


class Exchange:
    """A client's request and its one final answer; the only thing that both sides know.

    `left_us` counts from `came_us`, a time of the engine's clock (0: from when it is opened).  While its body
    is `coming`, it counts from the body's end.
    `on_answer` is called once, with the final answer, within the engine's turn; not if the client has gone.
    `check_left` looks whether the client has closed unheard of; if so, the engine knows when it returns.
    """

    __slots__ = (
        "answer",
        "arrived_us",
        "check_client_gone",
        "class_index",
        "is_uploading",
        "attempts",
        "is_client_gone",
        "deadline_timer",
        "id",
        "is_retry",
        "key",
        "left_us",
        "message",
        "on_answer",
        "tenant",
        "deadline_at_us",
        "work_us",
    )

    def __init__(
        self,
        message: Message,
        class_index: int,
        tenant: int,
        key: int,
        left_us: int,
        work_us: int,
        is_retry: bool,
        on_answer: Callable[[Exchange, Answer], None],
        arrived_us: int = 0,
        check_client_gone: Callable[[], bool] = client_not_gone,
    ) -> None:
        self.check_client_gone = check_client_gone
        self.message, self.class_index, self.tenant, self.key = message, class_index, tenant, key
        self.left_us, self.work_us, self.is_retry = left_us, work_us, is_retry
        self.on_answer, self.arrived_us = on_answer, arrived_us
        self.id = self.deadline_at_us = 0
        self.is_uploading = message.body_stream is not None
        self.attempts: list[Attempt] = []
        self.deadline_timer: Timer | None = None
        self.answer: Answer | None = None
        self.is_client_gone = False  # the client, before it had an answer

    @property
    def closed(self) -> bool:
        """Answered, or its client has gone."""
        return self.is_client_gone or self.answer is not None


@dataclass(slots=True, init=False)
class Result:
    """What came of an attempt or a probe."""

    outcome: AttemptOutcome
    report: tuple[float, ...] = ()
    answer: Response | None = None

    def __init__(
        self, outcome: AttemptOutcome, report: tuple[float, ...] = (), answer: Response | None = None
    ) -> None:
        self.outcome, self.report, self.answer = outcome, report, answer
