"""The data shared by the client side and the server side: exchanges, their attempts and the outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from .body_stream import BodyStream
from .policy.interface import ServerId, Status

if TYPE_CHECKING:
    from .wheel import Timer


ALWAYS_PAST_US = -1  # earlier than any time of a clock


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = "served"  # a complete response with status 200
    INSTANCE_ERROR = "instance_error"  # any other complete response that does not prove that nothing ran
    TURNED_AWAY = "turned_away"  # 503 or 504 with the header that says that it never ran
    DIAL_FAILED = "dial_failed"  # connection refused, or the server unreachable
    DIAL_TIMED_OUT = "dial_timed_out"
    BROKE_UNSENT = "broke_unsent"  # the connection broke before the request's last byte was written
    UPLOAD_TIMED_OUT = "upload_timed_out"  # the server did not take the rest of the body in the client's time
    UNFINISHED = "unfinished"  # the client did not finish the body, which says nothing about the server
    RESET = "reset"  # the connection broke after that byte, before a response began
    CUT_SHORT = "cut_short"  # the connection broke within a response
    GARBLED = "garbled"  # the response is invalid
    TIMED_OUT = "timed_out"  # no response by the attempt's deadline
    CANCELLED = "cancelled"  # cancelled by the balancer
    NO_SOCKET = "no_socket"  # no connection was opened, as no file descriptor was free
    NEVER_STARTED = "never_started"  # the exchange had ended, or the server is not known
    FAULT = "fault"  # an exception in the balancer; the request may have run

    @property
    def status(self) -> Status:
        """The status that the policy receives for this outcome."""
        return _STATUS[self]


# The only mapping of outcomes to the statuses that the policy receives.
_STATUS = {
    AttemptOutcome.SERVED: Status.OK,
    AttemptOutcome.INSTANCE_ERROR: Status.ERROR,
    AttemptOutcome.TURNED_AWAY: Status.FULL,
    AttemptOutcome.DIAL_FAILED: Status.CONNECT_FAILED,
    AttemptOutcome.DIAL_TIMED_OUT: Status.CONNECT_FAILED,
    AttemptOutcome.BROKE_UNSENT: Status.CONNECT_FAILED,
    AttemptOutcome.UPLOAD_TIMED_OUT: Status.CONNECT_FAILED,
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
    """A server's response, forwarded unchanged.

    `head` holds the header lines, each with its line end.  `body_stream` is set instead of `body` if the
    body is streamed.
    """

    body: bytes
    head: bytes = b""
    body_stream: BodyStream | None = None

    def __init__(self, body: bytes, head: bytes = b"", body_stream: BodyStream | None = None) -> None:
        self.body, self.head, self.body_stream = body, head, body_stream


@dataclass(slots=True, init=False)
class Refusal:
    """A refusal: the request had no effect, or may be repeated without harm."""

    retry_after_us: int

    def __init__(self, retry_after_us: int) -> None:
        self.retry_after_us = retry_after_us


@dataclass(slots=True)
class Failure:
    """A failed request, which may or may not have had its effect."""

    reason: str


Answer: TypeAlias = Response | Refusal | Failure


@dataclass(slots=True, init=False)
class Message:
    """The request as it is forwarded to a server; the engine does not interpret it.

    `head` holds the header lines, each with its line end, without the hop-by-hop ones.  `body_stream` is the
    rest of the body, which follows `body`.
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

    @property
    def size(self) -> int:
        """How many bytes are held of it, without what is streamed."""
        return len(self.target) + len(self.head) + len(self.body)


class Attempt:
    """One attempt of an exchange on one server; times in microseconds of the engine's clock.

    It refers to its exchange only by the id `request`: references in both directions left a cycle for the
    garbage collector per request, which then took 8% of an overloaded balancer's CPU.

    `left_us` is non-zero while the request's body is being received: the time limit for the response,
    counted from the body's last byte.  From `write_by_us` on the attempt must not be written.
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
        """Create an attempt; with `write_by_us` 0 it may be written until its deadline."""
        self.left_us = left_us
        self.write_by_us = write_by_us or deadline_at_us
        self.request, self.message, self.number, self.server = request, message, number, server
        self.started_us, self.deadline_at_us = started_us, deadline_at_us
        self.outcome: AttemptOutcome | None = None

    def forbid_writing(self) -> None:
        """Prevent the writing of an attempt that is not written yet, as its request has ended."""
        self.left_us, self.write_by_us = 0, ALWAYS_PAST_US

    def time_left_us(self, now_us: int) -> int:
        """Return how long to wait for the response if it is written now; 0 or less: it must not be."""
        if self.left_us:
            return self.left_us - self._body_waited_us(now_us)
        return self.deadline_at_us - now_us if now_us < self.write_by_us else 0

    def _body_waited_us(self, now_us: int) -> int:
        """Return how long the body, which may have come completely, has waited to be read."""
        body_stream = self.message.body_stream
        waiting_since_us = body_stream.unread_since_us() if body_stream is not None else 0
        return now_us - waiting_since_us if waiting_since_us else 0


def client_not_gone() -> bool:
    """Default for `Exchange.check_client_gone`: report that the client is still connected."""
    return False


def no_close_hidden() -> bool:
    """Default for `Exchange.may_hide_close`: report that a close would have been noticed."""
    return False


class Exchange:
    """A client's request and its single final answer; the only object that both sides use.

    `left_us` is the time limit of the answer, counted from `arrived_us` on the engine's clock (0: from when
    the exchange is opened), or from the end of the request's body if this `is_uploading`.
    `on_answer` is called once with the final answer, while the engine processes an event; it is not called
    if the client has gone.
    `check_client_gone` looks for a close by the client that is not processed yet; if there is one, the
    engine has been notified when it returns.
    `may_hide_close` returns whether the client may have closed without anything that tells of it.
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
        "may_hide_close",
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
        may_hide_close: Callable[[], bool] = no_close_hidden,
    ) -> None:
        self.check_client_gone, self.may_hide_close = check_client_gone, may_hide_close
        self.message, self.class_index, self.tenant, self.key = message, class_index, tenant, key
        self.left_us, self.work_us, self.is_retry = left_us, work_us, is_retry
        self.on_answer, self.arrived_us = on_answer, arrived_us
        self.id = self.deadline_at_us = 0
        self.is_uploading = message.body_stream is not None
        self.attempts: list[Attempt] = []
        self.deadline_timer: Timer | None = None
        self.answer: Answer | None = None
        self.is_client_gone = False  # before the answer

    @property
    def closed(self) -> bool:
        """Whether the exchange is answered or its client has gone."""
        return self.is_client_gone or self.answer is not None


@dataclass(slots=True, init=False)
class Result:
    """The result of an attempt or a probe; `report`: the server's load report."""

    outcome: AttemptOutcome
    report: tuple[float, ...] = ()
    answer: Response | None = None

    def __init__(
        self, outcome: AttemptOutcome, report: tuple[float, ...] = (), answer: Response | None = None
    ) -> None:
        self.outcome, self.report, self.answer = outcome, report, answer
