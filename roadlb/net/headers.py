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


# Those whose values the balancer itself reads.
READ_HERE = frozenset({CORRELATION_ID, ACCOUNT, TIME_LEFT, REPEAT, FACTS, LOAD, UNPROCESSED, EXPECT, HOST})


class Headers:
    """The headers of one message, added one by one in the order received.

    What is kept costs about as much memory as the bytes received, however many they are.  `fields` has
    the first value of each name in READ_HERE, in lower case, `size` the bytes of all lines without blanks
    around values, `count` the number of lines.  `has_duplicates`: one of SINGLE_VALUED is repeated.
    """

    __slots__ = (
        "_connection_tokens",
        "_content_length",
        "_content_length_count",
        "_forwarded",
        "_forwarded_count",
        "_has_look_alike",
        "_transfer_encoding",
        "_transfer_encoding_count",
        "count",
        "fields",
        "has_duplicates",
        "size",
    )

    def __init__(self, pairs: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self.fields: dict[bytes, bytes] = {}
        self.count = self.size = 0
        self.has_duplicates = False
        self._forwarded, self._forwarded_count = bytearray(), 0
        self._connection_tokens = b""  # of all Connection headers, parted by commas
        self._content_length, self._content_length_count = b"", 0  # the last value
        self._transfer_encoding, self._transfer_encoding_count = b"", 0
        self._has_look_alike = False
        for name, value in pairs:
            self.add(name, value)

    def add(self, name: bytes, value: bytes) -> None:
        """Add the next line."""
        lower_name, value = name.lower(), value.strip(b" \t")
        self.count += 1
        self.size += len(name) + len(value) + 4
        if lower_name in READ_HERE:
            if lower_name not in self.fields:
                self.fields[lower_name] = value
            elif lower_name in SINGLE_VALUED:
                self.has_duplicates = True
        if lower_name not in NOT_FORWARDED:
            self._forwarded += b"%b: %b\r\n" % (name, value)
            self._forwarded_count += 1
            if lower_name in LOOK_ALIKE:
                self._has_look_alike = True
        elif lower_name == CONTENT_LENGTH:
            self._content_length = value
            self._content_length_count += 1
        elif lower_name == TRANSFER_ENCODING:
            self._transfer_encoding = value
            self._transfer_encoding_count += 1
        elif lower_name == CONNECTION:
            self._connection_tokens += b"," + value

    @property
    def is_transfer_encoded(self) -> bool:
        """Whether a transfer encoding is declared."""
        return self._transfer_encoding_count > 0

    def body_length(self) -> int | None:
        """Return the body's declared length; None: chunked; -1: none is declared.

        Raises HeaderError if another recipient could determine another length (RFC 9112, 6.3).
        """
        if self._has_look_alike:
            raise HeaderError("a length under a name with an underscore")
        if self._transfer_encoding_count:
            is_chunked = self._transfer_encoding_count == 1 and self._transfer_encoding.lower() == b"chunked"
            if self._content_length_count or not is_chunked:
                raise HeaderError("the body's length must be told once, by a number or as chunked")
            return None
        if not self._content_length_count:
            return -1
        if (
            self._content_length_count > 1
            or not self._content_length.isdigit()
            or len(self._content_length) > 18
        ):
            raise HeaderError("the body's length must be told once, in digits")
        return int(self._content_length)

    def _hop_by_hop(self) -> frozenset[bytes]:
        """The names that Connection excludes from forwarding."""
        tokens = self._connection_tokens.lower().split(b",")
        return frozenset(token.strip() for token in tokens) - NOT_HOP_BY_HOP

    def forwarded(self) -> bytes:
        """Return the lines to forward, without those that Connection names.

        Raises HeaderError if a value contains a line end or a NUL: the next hop could read it as a header.
        """
        block = bytes(self._forwarded)
        line_count = self._forwarded_count
        if block.count(b"\n") != line_count or block.count(b"\r") != line_count or b"\0" in block:
            raise HeaderError("a header's value has a line end or a zero in it")
        if self._connection_tokens and (hop_by_hop := self._hop_by_hop()):
            lines = block.splitlines(keepends=True)
            block = b"".join(line for line in lines if line.partition(b":")[0].lower() not in hop_by_hop)
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
