"""Splits a stream of bytes into JSON values: indented or not, in pieces, with blank lines between."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator

MESSAGE_MOST_BYTES = 4 << 20  # a list of 20,000 servers, with room
DEPTH_MOST = 32  # a list of servers needs 3; what nests deeper is no list

_QUOTE, _BACKSLASH, _LINE_FEED = b'"\\\n'
_OPENING, _CLOSING, _BLANK = frozenset(b"{["), frozenset(b"}]"), frozenset(b" \t\r\n")
_OUTSIDE = re.compile(rb'["{}\[\]]')  # what counts outside a string ...
_INSIDE = re.compile(rb'["\\\x00-\x1f]')  # ... and within one, where a control character is an error


class MalformedStream(Exception):
    """What came is no sequence of JSON objects; the text is for a person."""


class JsonStream:
    """Takes bytes as they come and gives each JSON value once it is whole, None for each blank line.

    A value ends with its last bracket: how many lines it takes does not matter.  Each byte is looked at once,
    so that a long value in small pieces costs no more than one in one piece.
    """

    __slots__ = ("_buffer", "_depth", "_in_string", "_escaped", "_blank_line")

    def __init__(self) -> None:
        self._buffer = bytearray()  # the value that has begun; empty between values
        self._depth = 0  # of open brackets
        self._in_string = False
        self._escaped = False  # the next byte belongs to the backslash before it
        self._blank_line = True  # nothing but blanks since the last line feed

    @property
    def open(self) -> bool:
        """Whether a value has begun and is not whole."""
        return self._depth > 0

    @property
    def open_bytes(self) -> int:
        """How much of that value has come."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[object]:
        """The values that these bytes make whole; raises MalformedStream."""
        at = 0
        while at < len(data):
            if self._depth > 0:
                end = self._scan(data, at)
                self._buffer += data[at:end]
                at = end
                if len(self._buffer) > MESSAGE_MOST_BYTES:
                    raise MalformedStream(f"a message of over {MESSAGE_MOST_BYTES} bytes")
                if self._depth == 0:
                    yield self._read(self._buffer)
                    self._buffer = bytearray()
                continue
            byte = data[at]
            if byte in _BLANK:
                at += 1
                if byte == _LINE_FEED:
                    blank, self._blank_line = self._blank_line, True
                    if blank:
                        yield None
                continue
            if byte not in _OPENING:
                raise MalformedStream(f"{data[at : at + 40]!r} begins no object")
            first, self._blank_line = self._blank_line, False
            end, value = self._whole_line(data, at) if first else (at, None)
            if end > at:
                yield value
                at = end
            else:
                self._buffer += data[at : at + 1]
                self._depth = 1
                at += 1

    def _whole_line(self, data: bytes, at: int) -> tuple[int, object]:
        """The value that fills the line from `at`, and where it ends; `at` if the line is no value by itself.

        The common form costs one call of the JSON parser, and none of the scan.
        """
        end = data.find(b"\n", at)
        if end < 0 or end - at > MESSAGE_MOST_BYTES or data[at:end].rstrip()[-1:] not in (b"}", b"]"):
            return at, None
        try:
            return end, json.loads(data[at:end])
        except (ValueError, RecursionError):
            return at, None

    def _scan(self, data: bytes, at: int) -> int:
        """Follow the open value from `at`; where it ends, or the end of these bytes."""
        while at < len(data):
            if self._escaped:
                self._escaped = False
                at += 1
                continue
            found = (_INSIDE if self._in_string else _OUTSIDE).search(data, at)
            if found is None:
                return len(data)
            byte, at = data[found.start()], found.end()
            if byte == _QUOTE:
                self._in_string = not self._in_string
            elif byte == _BACKSLASH:
                self._escaped = True
            elif byte in _OPENING:
                self._depth += 1
                if self._depth > DEPTH_MOST:
                    raise MalformedStream(f"nested over {DEPTH_MOST} deep")
            elif byte in _CLOSING:
                self._depth -= 1
                if self._depth == 0:
                    return at
            else:
                raise MalformedStream("a control character within a string")
        return at

    @staticmethod
    def _read(text: bytearray) -> object:
        try:
            return json.loads(text)
        except (ValueError, RecursionError) as e:
            raise MalformedStream(f"not JSON: {e}") from None
