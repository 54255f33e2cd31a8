"""The protocol's header names, and what is passed on of headers.  Names and values are bytes."""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache

from ..config import FIELDS

CORRELATION_ID, ACCOUNT, TIME_LEFT = b"x-correlation-id", b"x-account", b"x-time-left"
REPEAT, FACTS, LOAD, UNPROCESSED = b"x-repeat", b"x-facts", b"x-backend-load", b"x-unprocessed"
CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT = (
    b"connection",
    b"content-length",
    b"transfer-encoding",
    b"expect",
)
HOST = b"host"

MAX_CACHED_REPORTS, MAX_CACHED_REPORT_BYTES = (
    1_024,
    128,
)  # reports remembered, and how long one may be for that
# Of one connection only (RFC 9110, 7.6.1), or made anew for the next.
NOT_FORWARDED = frozenset(
    {
        CONNECTION,
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
        CONTENT_LENGTH,
        EXPECT,
        TIME_LEFT,
        LOAD,
        UNPROCESSED,
    }
)
# Some readers take these for the names with hyphens, and would see another length than we do.
LOOK_ALIKE = frozenset({b"content_length", b"transfer_encoding"})
# Tokens of Connection that name no header, and what no request may lose on its way.
NOT_HOP_BY_HOP = frozenset({b"", b"close", b"keep-alive", b"upgrade", b"te", HOST, CORRELATION_ID, ACCOUNT})
# Who reads the other of two of these takes the request for another's.
SINGLE_VALUED = frozenset({CORRELATION_ID, ACCOUNT, TIME_LEFT, HOST})


class HeaderError(Exception):
    """Headers that the next reader could take for others; the text is for a person."""


class Headers:
    """The headers of one message: those by which it is understood, and the rest.

    Made from the pairs of name and value as they came.  `fields` has the first value under each lower-case
    name, `lines` what is passed on, `size` the bytes of all lines without the blanks round values, `lengths`
    and `encodings` the values of Content-Length and Transfer-Encoding, `hop` what Connection takes out.
    `twice`: one of ONCE came again; `look_alike`: one of LOOK_ALIKE came.
    """

    __slots__ = (
        "transfer_encodings",
        "fields",
        "hop_by_hop",
        "content_lengths",
        "forwarded_lines",
        "has_look_alike",
        "size",
        "has_duplicates",
    )

    def __init__(self, pairs: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self.fields: dict[bytes, bytes] = {}
        self.forwarded_lines: list[bytes] = []
        self.content_lengths: tuple[bytes, ...] = ()
        self.transfer_encodings: tuple[bytes, ...] = ()
        self.hop_by_hop: tuple[bytes, ...] = ()
        self.has_look_alike = self.has_duplicates = False
        fields, forwarded_lines, size = self.fields, self.forwarded_lines, 0
        for name, value in pairs:
            lower_name, value = name.lower(), value.strip(b" \t")
            if lower_name not in fields:
                fields[lower_name] = value
            elif lower_name in SINGLE_VALUED:
                self.has_duplicates = True
            if lower_name not in NOT_FORWARDED:
                forwarded_lines.append(b"%b: %b\r\n" % (name, value))
                if lower_name in LOOK_ALIKE:
                    self.has_look_alike = True
            elif lower_name == CONTENT_LENGTH:
                self.content_lengths += (value,)
            elif lower_name == TRANSFER_ENCODING:
                self.transfer_encodings += (value,)
            elif lower_name == CONNECTION:
                self.hop_by_hop += tuple({t.strip().lower() for t in value.split(b",")} - NOT_HOP_BY_HOP)
            size += len(name) + len(value) + 4
        self.size = size

    def body_length(self) -> int | None:
        """The body's length as told; None: it comes in chunks; -1: nothing is told.

        Raises Faulty where another reader could see another length (RFC 9112, 6.3).
        """
        if self.has_look_alike:
            raise HeaderError("a length under a name with an underscore")
        if self.transfer_encodings:
            if self.content_lengths or [e.lower() for e in self.transfer_encodings] != [b"chunked"]:
                raise HeaderError("the body's length must be told once, by a number or as chunked")
            return None
        if not self.content_lengths:
            return -1
        if (
            len(self.content_lengths) > 1
            or not self.content_lengths[0].isdigit()
            or len(self.content_lengths[0]) > 18
        ):
            raise HeaderError("the body's length must be told once, in digits")
        return int(self.content_lengths[0])

    def forwarded(self) -> bytes:
        """The lines that concern the far end, without those that Connection names.

        Raises Faulty if a value holds a line end or a zero: it would be another header at the next reader.
        """
        forwarded_lines = self.forwarded_lines
        if self.hop_by_hop:
            names = tuple(name + b":" for name in self.hop_by_hop)
            forwarded_lines = [line for line in forwarded_lines if not line.lower().startswith(names)]
        block = b"".join(forwarded_lines)
        if (
            block.count(b"\n") != len(forwarded_lines)
            or block.count(b"\r") != len(forwarded_lines)
            or b"\0" in block
        ):
            raise HeaderError("a header's value has a line end or a zero in it")
        return block


def parse_name_values(text: str) -> dict[str, str]:
    """`name=value,name=value`"""
    return {k.strip(): v.strip() for k, sep, v in (part.partition("=") for part in text.split(",")) if sep}


class LoadReports:
    """Reads load reports, whose fields go by the settings' names or by the module's."""

    def __init__(self, fields: Iterable[str]) -> None:
        wire_names = {module: wire for wire, module in FIELDS.items()}
        self._names = [(f, wire_names.get(f, f)) for f in fields]
        # The same report stands in the answers of a stretch of time, and few differ.
        self._read_cached = lru_cache(MAX_CACHED_REPORTS)(self._read)

    def read(self, text: bytes | None) -> tuple[float, ...]:
        """The values in the settings' order; none where one is missing or is no number."""
        if not text or not self._names:
            return ()
        return self._read_cached(text) if len(text) <= MAX_CACHED_REPORT_BYTES else self._read(text)

    def _read(self, text: bytes) -> tuple[float, ...]:
        values = parse_name_values(text.decode("latin-1"))
        try:
            report = tuple(float(values[a] if a in values else values[b]) for a, b in self._names)
        except (KeyError, ValueError):
            return ()
        # One instance's "nan" would spoil every comparison of loads.
        return report if all(0 <= value < math.inf for value in report) else ()
