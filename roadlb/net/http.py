"""Bounds of HTTP/1.1 messages, and answers in the bytes that go out."""

from __future__ import annotations

from http import HTTPStatus

from ..exchange import Answer, Nack, Served

BODY_MOST = 65_536
HEAD_MOST = 16_384
INTERIM_MOST = 8       # 1xx answers in front of the final one

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CLOSE = b"Connection: close\r\n"
_STATUS = {s.value: b"HTTP/1.1 %d %b\r\n" % (s.value, s.phrase.encode()) for s in HTTPStatus}
_EMPTY = {s: _STATUS[s] + b"Content-Length: 0\r\n" for s in (200, 503)}


def answered(answer: Answer, last: bool) -> bytes:
    """A final answer's bytes; `last`: its connection ends with it."""
    close = _CLOSE if last else b""
    if isinstance(answer, Served):
        return b"%b%b%bContent-Length: %d\r\n\r\n%b" % (
            _STATUS[200], answer.head, close, len(answer.body), answer.body)
    if isinstance(answer, Nack):
        return b"%bRetry-After: %.3f\r\n%b\r\n" % (_EMPTY[503], answer.retry_after_us / 1e6, close)
    return plain(502, answer.reason, last)


def plain(status: int, text: str, last: bool, more: bytes = b"",
          kind: bytes = b"text/plain; charset=utf-8") -> bytes:
    """An answer of our own with a line of text for a person; `more`: further header lines."""
    body = text.encode() + b"\n"
    return b"%bContent-Type: %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
        _STATUS[status], kind, more, _CLOSE if last else b"", len(body), body)


def empty(status: int, last: bool) -> bytes:
    """An answer of our own without a body: status 200 or 503."""
    return b"%b%b\r\n" % (_EMPTY[status], _CLOSE if last else b"")
