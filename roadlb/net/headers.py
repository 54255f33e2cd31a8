"""The protocol's header names, and what is passed on of headers.  Names and values are bytes."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..config import FIELDS

CORRELATION_ID, ACCOUNT, TIME_LEFT = b"x-correlation-id", b"x-account", b"x-time-left"
REPEAT, FACTS, LOAD, UNPROCESSED = b"x-repeat", b"x-facts", b"x-backend-load", b"x-unprocessed"
CONNECTION, LENGTH, ENCODING, EXPECT = b"connection", b"content-length", b"transfer-encoding", b"expect"
HOST = b"host"

# Of one connection only (RFC 9110, 7.6.1), or made anew for the next.
NOT_PASSED_ON = frozenset({
    CONNECTION, b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization", b"te",
    b"trailer", ENCODING, b"upgrade", LENGTH, EXPECT, TIME_LEFT, LOAD, UNPROCESSED})
# Some readers take these for the names with hyphens, and would see another length than we do.
LOOK_ALIKE = frozenset({b"content_length", b"transfer_encoding"})
# Tokens of Connection that name no header, and what no request may lose on its way.
OF_CONNECTION = frozenset({b"", b"close", b"keep-alive", b"upgrade", b"te", HOST, CORRELATION_ID, ACCOUNT})
# Who reads the other of two of these takes the request for another's.
ONCE = frozenset({CORRELATION_ID, ACCOUNT, TIME_LEFT, HOST})


class Faulty(Exception):
    """Headers that the next reader could take for others; the text is for a person."""


class Headers:
    """The headers of one message as they are read: those by which it is understood, and the rest.

    `fields` has the first value under each lower-case name, `lines` what is passed on, `size` the bytes of
    all lines without the blanks round values.
    """

    __slots__ = ("connection", "encodings", "fields", "lengths", "lines", "look_alike", "size",
                 "twice")

    def __init__(self) -> None:
        self.fields: dict[bytes, bytes] = {}
        self.lines: list[bytes] = []
        self.lengths: list[bytes] = []         # values of Content-Length
        self.encodings: list[bytes] = []       # values of Transfer-Encoding
        self.connection: list[bytes] = []      # names that Connection takes out, if any
        self.size = 0
        self.look_alike = self.twice = False

    def add(self, name: bytes, value: bytes) -> None:
        low, value = name.lower(), value.strip(b" \t")
        if low not in self.fields:
            self.fields[low] = value
        elif low in ONCE:
            self.twice = True
        if low not in NOT_PASSED_ON:
            line = b"%b: %b\r\n" % (name, value)
            self.lines.append(line)
            self.size += len(line)
            if low in LOOK_ALIKE:
                self.look_alike = True
            return
        self.size += len(name) + len(value) + 4
        if low == LENGTH:
            self.lengths.append(value)
        elif low == ENCODING:
            self.encodings.append(value)
        elif low == CONNECTION:
            self.connection += {t.strip().lower() for t in value.split(b",")} - OF_CONNECTION

    def framing(self) -> int | None:
        """The body's length as told; None: it comes in chunks; -1: nothing is told.

        Raises Faulty where another reader could see another length (RFC 9112, 6.3).
        """
        if self.look_alike:
            raise Faulty("a length under a name with an underscore")
        if self.encodings:
            if self.lengths or [e.lower() for e in self.encodings] != [b"chunked"]:
                raise Faulty("the body's length must be told once, by a number or as chunked")
            return None
        if not self.lengths:
            return -1
        if len(self.lengths) > 1 or not self.lengths[0].isdigit() or len(self.lengths[0]) > 18:
            raise Faulty("the body's length must be told once, in digits")
        return int(self.lengths[0])

    def passed_on(self) -> bytes:
        """The lines that concern the far end, without those that Connection names.

        Raises Faulty if a value holds a line end or a zero: it would be another header at the next reader.
        """
        lines = self.lines
        if self.connection:
            names = tuple(name + b":" for name in self.connection)
            lines = [line for line in lines if not line.lower().startswith(names)]
        block = b"".join(lines)
        if block.count(b"\n") != len(lines) or block.count(b"\r") != len(lines) or b"\0" in block:
            raise Faulty("a header's value has a line end or a zero in it")
        return block


def name_values(text: str) -> dict[str, str]:
    """`name=value,name=value`"""
    return {k.strip(): v.strip() for k, sep, v in (part.partition("=") for part in text.split(",")) if sep}


class LoadReports:
    """Reads load reports, whose fields go by the settings' names or by the module's."""

    def __init__(self, fields: Iterable[str]) -> None:
        other = {module: wire for wire, module in FIELDS.items()}
        self._names = [(f, other.get(f, f)) for f in fields]

    def read(self, text: bytes | None) -> tuple[float, ...]:
        """The values in the settings' order; none where one is missing or is no number."""
        if not text or not self._names:
            return ()
        values = name_values(text.decode("latin-1"))
        try:
            report = tuple(float(values[a] if a in values else values[b]) for a, b in self._names)
        except (KeyError, ValueError):
            return ()
        # One instance's "nan" would spoil every comparison of loads.
        return report if all(0 <= value < math.inf for value in report) else ()
