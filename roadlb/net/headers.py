"""The protocol's header names, and what is passed on of headers.  Names and values are bytes."""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache

from ..config import FIELDS

CORRELATION_ID, ACCOUNT, TIME_LEFT = b"x-correlation-id", b"x-account", b"x-time-left"
REPEAT, FACTS, LOAD, UNPROCESSED = b"x-repeat", b"x-facts", b"x-backend-load", b"x-unprocessed"
CONNECTION, LENGTH, ENCODING, EXPECT = b"connection", b"content-length", b"transfer-encoding", b"expect"
HOST = b"host"

REPORTS_KEPT, REPORT_MOST = 1_024, 128  # reports remembered, and how long one may be for that
# Of one connection only (RFC 9110, 7.6.1), or made anew for the next.
NOT_PASSED_ON = frozenset(
    {
        CONNECTION,
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        ENCODING,
        b"upgrade",
        LENGTH,
        EXPECT,
        TIME_LEFT,
        LOAD,
        UNPROCESSED,
    }
)
# Some readers take these for the names with hyphens, and would see another length than we do.
LOOK_ALIKE = frozenset({b"content_length", b"transfer_encoding"})
# Tokens of Connection that name no header, and what no request may lose on its way.
OF_CONNECTION = frozenset({b"", b"close", b"keep-alive", b"upgrade", b"te", HOST, CORRELATION_ID, ACCOUNT})
# Who reads the other of two of these takes the request for another's.
ONCE = frozenset({CORRELATION_ID, ACCOUNT, TIME_LEFT, HOST})


class Faulty(Exception):
    """Headers that the next reader could take for others; the text is for a person."""


class Headers:
    """The headers of one message: those by which it is understood, and the rest.

    Made from the pairs of name and value as they came.  `fields` has the first value under each lower-case
    name, `lines` what is passed on, `size` the bytes of all lines without the blanks round values, `lengths`
    and `encodings` the values of Content-Length and Transfer-Encoding, `hop` what Connection takes out.
    `twice`: one of ONCE came again; `look_alike`: one of LOOK_ALIKE came.
    """

    __slots__ = ("encodings", "fields", "hop", "lengths", "lines", "look_alike", "size", "twice")

    def __init__(self, pairs: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self.fields: dict[bytes, bytes] = {}
        self.lines: list[bytes] = []
        self.lengths: tuple[bytes, ...] = ()
        self.encodings: tuple[bytes, ...] = ()
        self.hop: tuple[bytes, ...] = ()
        self.look_alike = self.twice = False
        fields, lines, size = self.fields, self.lines, 0
        for name, value in pairs:
            low, value = name.lower(), value.strip(b" \t")
            if low not in fields:
                fields[low] = value
            elif low in ONCE:
                self.twice = True
            if low not in NOT_PASSED_ON:
                lines.append(b"%b: %b\r\n" % (name, value))
                if low in LOOK_ALIKE:
                    self.look_alike = True
            elif low == LENGTH:
                self.lengths += (value,)
            elif low == ENCODING:
                self.encodings += (value,)
            elif low == CONNECTION:
                self.hop += tuple({t.strip().lower() for t in value.split(b",")} - OF_CONNECTION)
            size += len(name) + len(value) + 4
        self.size = size

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
        if self.hop:
            names = tuple(name + b":" for name in self.hop)
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
        # The same report stands in the answers of a stretch of time, and few differ.
        self._read_again = lru_cache(REPORTS_KEPT)(self._read)

    def read(self, text: bytes | None) -> tuple[float, ...]:
        """The values in the settings' order; none where one is missing or is no number."""
        if not text or not self._names:
            return ()
        return self._read_again(text) if len(text) <= REPORT_MOST else self._read(text)

    def _read(self, text: bytes) -> tuple[float, ...]:
        values = name_values(text.decode("latin-1"))
        try:
            report = tuple(float(values[a] if a in values else values[b]) for a, b in self._names)
        except (KeyError, ValueError):
            return ()
        # One instance's "nan" would spoil every comparison of loads.
        return report if all(0 <= value < math.inf for value in report) else ()
