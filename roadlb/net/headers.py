"""The protocol's header names, and what is passed on of headers.  Names and values are bytes."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..config import FIELDS

CORRELATION_ID, ACCOUNT, TIME_LEFT = b"x-correlation-id", b"x-account", b"x-time-left"
REPEAT, FACTS, LOAD, UNPROCESSED = b"x-repeat", b"x-facts", b"x-backend-load", b"x-unprocessed"
CONNECTION, LENGTH, ENCODING, EXPECT = b"connection", b"content-length", b"transfer-encoding", b"expect"

# Of one connection only (RFC 9110, 7.6.1), or made anew for the next.
NOT_PASSED_ON = frozenset({
    CONNECTION, b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization", b"te",
    b"trailer", ENCODING, b"upgrade", LENGTH, EXPECT, TIME_LEFT, LOAD, UNPROCESSED})
# Tokens of Connection that name no header.
OF_CONNECTION = frozenset({b"", b"close", b"keep-alive", b"upgrade", b"te"})


class Faulty(Exception):
    """A value that would be read as more than one header line; the text is for a person."""


class Headers:
    """The headers of one message as they are read: those by which it is understood, and the rest.

    `fields` has the first value under each lower-case name, `lines` what is passed on.
    """

    __slots__ = ("connection", "encodings", "fields", "lengths", "lines")

    def __init__(self) -> None:
        self.fields: dict[bytes, bytes] = {}
        self.lines: list[bytes] = []
        self.lengths: list[bytes] = []         # values of Content-Length
        self.encodings: list[bytes] = []       # values of Transfer-Encoding
        self.connection: list[bytes] = []      # names that Connection takes out, if any

    def add(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low not in self.fields:
            self.fields[low] = value
        if low not in NOT_PASSED_ON:
            self.lines.append(b"%b: %b\r\n" % (name, value))
        elif low == LENGTH:
            self.lengths.append(value)
        elif low == ENCODING:
            self.encodings.append(value)
        elif low == CONNECTION:
            self.connection += {t.strip().lower() for t in value.split(b",")} - OF_CONNECTION

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
