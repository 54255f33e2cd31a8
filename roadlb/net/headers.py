"""Header names, parsed headers and which of them are forwarded.  Names and values are bytes."""

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

MAX_CACHED_REPORTS, MAX_CACHED_REPORT_BYTES = 1_024, 128  # a longer report is not cached
# Headers of one connection only (RFC 9110, 7.6.1), or written anew for the next hop.
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
# Some recipients treat these like the names with hyphens, and would determine another body length.
LOOK_ALIKE = frozenset({b"content_length", b"transfer_encoding"})
# Tokens of Connection that name no header, and headers that it must not remove from a request.
NOT_HOP_BY_HOP = frozenset({b"", b"close", b"keep-alive", b"upgrade", b"te", HOST, CORRELATION_ID, ACCOUNT})
# Of a repeated one, recipients could read different values and take the request for another one.
SINGLE_VALUED = frozenset({CORRELATION_ID, ACCOUNT, TIME_LEFT, HOST})


class HeaderError(Exception):
    """Headers that another recipient could interpret differently; the text says why."""


class Headers:
    """The headers of one message, made from its pairs of name and value in the order received.

    `fields` has the first value of each lower-case name, `forwarded_lines` the lines to forward, `size` the
    bytes of all lines without blanks around values, `content_lengths` and `transfer_encodings` the values of
    these headers, `hop_by_hop` the names that Connection excludes from forwarding.  `has_duplicates`: one of
    SINGLE_VALUED is repeated; `has_look_alike`: one of LOOK_ALIKE is present.
    """

    __slots__ = (
        "content_lengths",
        "fields",
        "forwarded_lines",
        "has_duplicates",
        "has_look_alike",
        "hop_by_hop",
        "size",
        "transfer_encodings",
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
        """Return the body's declared length; None: chunked; -1: none is declared.

        Raises HeaderError if another recipient could determine another length (RFC 9112, 6.3).
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
        """Return the lines to forward, without those that Connection names.

        Raises HeaderError if a value contains a line end or a NUL: the next hop could read it as a header.
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
    """Parse `name=value,name=value`; parts without `=` are ignored."""
    return {k.strip(): v.strip() for k, sep, v in (part.partition("=") for part in text.split(",")) if sep}


class LoadReports:
    """Parses load reports, whose fields have the names of the settings or those of the policy."""

    def __init__(self, fields: Iterable[str]) -> None:
        wire_names = {module: wire for wire, module in FIELDS.items()}
        self._names = [(f, wire_names.get(f, f)) for f in fields]
        # Consecutive answers often carry the same report.
        self._read_cached = lru_cache(MAX_CACHED_REPORTS)(self._read)

    def read(self, text: bytes | None) -> tuple[float, ...]:
        """Return the values in the settings' order; empty if one is missing or is not a number."""
        if not text or not self._names:
            return ()
        return self._read_cached(text) if len(text) <= MAX_CACHED_REPORT_BYTES else self._read(text)

    def _read(self, text: bytes) -> tuple[float, ...]:
        values = parse_name_values(text.decode("latin-1"))
        try:
            report = tuple(float(values[a] if a in values else values[b]) for a, b in self._names)
        except (KeyError, ValueError):
            return ()
        # A single NaN would invalidate every comparison of loads.
        return report if all(0 <= value < math.inf for value in report) else ()
