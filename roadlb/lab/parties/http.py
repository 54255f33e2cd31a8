"""The parties' own HTTP/1.1: a strict reader of requests and one of answers, on httptools, and writers.

Nothing here is shared with the program under rehearsal, so that a fault of its reading or writing cannot be
hidden by the same fault at the other end.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

import httptools

HEAD_MOST = 16_384
BODY_MOST = 65_536
CORRELATION_ID, ACCOUNT, TIME_LEFT, REPEAT = "X-Correlation-Id", "X-Account", "X-Time-Left", "X-Repeat"
LOAD, UNPROCESSED, RETRY_AFTER = "X-Backend-Load", "X-Unprocessed", "Retry-After"

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Garbled(Exception):
    """What came is no HTTP/1.1, or longer than a message may be; nothing behind it can be read."""


def digest(body: bytes) -> str:
    """What wire events say of a body: alike at both ends if and only if the body is."""
    return blake2b(body, digest_size=8).hexdigest()


@dataclass(slots=True, frozen=True)
class Message:
    """A request (`method`, `target`) or an answer (`status`).  Header names are in small letters.

    A header that came twice has both values, joined with a comma.
    """

    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    method: str = ""
    target: str = ""
    status: int = 0


class _Reader:
    """Callbacks of httptools; `feed` gives the messages that are whole."""

    def __init__(self, parser: type[httptools.HttpRequestParser | httptools.HttpResponseParser]) -> None:
        self._parser = parser(self)
        self._whole: list[Message] = []
        self._clear()

    def _clear(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._head_size = self._body_size = 0
        self.begun = self._in_body = False

    def feed(self, data: bytes) -> list[Message]:
        """Raises `Garbled`, after which messages that were whole before it are in `rescue()`."""
        self._whole = []
        if not self._in_body:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as e:
            raise Garbled("it asks for another protocol") from e
        except httptools.HttpParserError as e:
            raise Garbled(str(e.__context__ or e)) from e
        # A head that fits may come with a body behind it in one segment, hence the sum.
        if self.begun and not self._in_body and self._head_size > HEAD_MOST:
            raise Garbled("a head without an end")
        return self._whole

    def rescue(self) -> list[Message]:
        return self._whole

    def on_message_begin(self) -> None:
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        self._headers[key] = f"{self._headers[key]}, {text}" if key in self._headers else text

    def on_headers_complete(self) -> None:
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size > BODY_MOST:
            raise Garbled("a body longer than 64 KiB")
        self._body.append(data)

    def on_message_complete(self) -> None:
        self._whole.append(self._message())
        self._clear()

    def _message(self) -> Message:
        raise NotImplementedError


class RequestReader(_Reader):
    def __init__(self) -> None:
        super().__init__(httptools.HttpRequestParser)

    def _message(self) -> Message:
        parser = self._parser
        assert isinstance(parser, httptools.HttpRequestParser)
        return Message(
            self._headers,
            b"".join(self._body),
            parser.should_keep_alive(),
            parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
        )


class AnswerReader(_Reader):
    """Leaves out 1xx answers, which come before the one that counts."""

    def __init__(self) -> None:
        super().__init__(httptools.HttpResponseParser)

    def on_message_complete(self) -> None:
        if self._status() >= 200:
            super().on_message_complete()
        else:
            self._clear()

    def _status(self) -> int:
        assert isinstance(self._parser, httptools.HttpResponseParser)
        return self._parser.get_status_code()

    def _message(self) -> Message:
        return Message(
            self._headers, b"".join(self._body), self._parser.should_keep_alive(), status=self._status()
        )

    def end(self) -> Message | None:
        """The connection has ended: an answer of no stated length is whole now, any other is not."""
        unstated = self._in_body and not {"content-length", "transfer-encoding"} & self._headers.keys()
        return self._message() if unstated else None


def write_request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def write_answer(status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    lines = [
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
