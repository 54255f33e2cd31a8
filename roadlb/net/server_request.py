"""A request to a server, in the bytes that go out."""

from __future__ import annotations

from ..exchange import Message
from .http import encode_chunk

US_PER_MS = 1_000


def request_bytes(message: Message, left_us: int) -> bytes:
    """The head and as much of the body as is at hand; b"" if less than a millisecond is left.

    `left_us`: how long the answer will be waited for from now on.  It is told in whole milliseconds, rounded
    down: a server must never be told more than the client has left.
    """
    left_ms = left_us // US_PER_MS
    if left_ms <= 0:
        return b""
    body_stream, body, length = message.body_stream, message.body, b""
    if body_stream is not None and body_stream.size < 0:
        length = b"Transfer-Encoding: chunked\r\n"
        body = encode_chunk(body)
    elif message.method != b"GET":  # which has no body here; of any other an empty one is told
        length = b"Content-Length: %d\r\n" % (body_stream.size if body_stream is not None else len(body))
    return b"%b %b HTTP/1.1\r\n%bX-Time-Left: %d.%03d\r\n%b\r\n%b" % (
        message.method,
        message.target,
        message.head,
        left_ms // 1000,
        left_ms % 1000,
        length,
        body,
    )
