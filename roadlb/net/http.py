"""Limits of HTTP/1.1 messages, and the encoding of answers."""

from __future__ import annotations

from http import HTTPStatus

from ..exchange import Answer, Refusal, Response

BODY_BUFFER_BYTES = 65_536  # of a body, before it is streamed
SMALL_BODY_BUFFER_BYTES = 4_096  # the same while the process is short of memory or descriptors
MAX_BODY_BYTES = 32 << 20
MAX_HEAD_BYTES = 16_384
MAX_HEAD_FIELDS = 640  # a field costs memory for itself, however short it is
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CLOSE = b"Connection: close\r\n"
_STATUS = {s.value: b"HTTP/1.1 %d %b\r\n" % (s.value, s.phrase.encode()) for s in HTTPStatus}
_EMPTY = {s: _STATUS[s] + b"Content-Length: 0\r\n" for s in (200, 503)}


def encode_answer(answer: Answer, is_last: bool) -> bytes:
    """Encode a final answer; `is_last`: the connection ends with it."""
    close = _CLOSE if is_last else b""
    if isinstance(answer, Response):
        return b"%b%b%bContent-Length: %d\r\n\r\n%b" % (
            _STATUS[200],
            answer.head,
            close,
            len(answer.body),
            answer.body,
        )
    if isinstance(answer, Refusal):
        advice = b""
        if answer.retry_after_us > 0:
            advice = b"Retry-After: %.3f\r\n" % (answer.retry_after_us / 1e6)
        return b"%b%b%b\r\n" % (_EMPTY[503], advice, close)
    return text_answer(502, answer.reason, is_last)


def encode_head(answer: Response, is_last: bool, chunked: bool) -> bytes:
    """Encode the head of an answer whose body is streamed.

    The length stands in it if it is known; otherwise `chunked` says whether the body is sent in chunks or is
    ended by the connection.
    """
    size = answer.body_stream.size if answer.body_stream else -1
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if size >= 0:
        framing = b"Content-Length: %d\r\n" % size
    return b"%b%b%b%b\r\n" % (_STATUS[200], answer.head, _CLOSE if is_last else b"", framing)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def text_answer(
    status: int,
    text: str,
    is_last: bool,
    extra_headers: bytes = b"",
    content_type: bytes = b"text/plain; charset=utf-8",
) -> bytes:
    """Encode an answer of the balancer itself with a line of text; `extra_headers`: further header lines."""
    body = text.encode() + b"\n"
    return b"%bContent-Type: %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
        _STATUS[status],
        content_type,
        extra_headers,
        _CLOSE if is_last else b"",
        len(body),
        body,
    )


def empty_answer(status: int, is_last: bool) -> bytes:
    """Encode an answer of the balancer itself without a body: status 200 or 503."""
    return b"%b%b\r\n" % (_EMPTY[status], _CLOSE if is_last else b"")
