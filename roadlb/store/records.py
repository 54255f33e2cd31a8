"""Records as bytes: each says how long it is and proves that it is whole, so a file needs no other order.

    magic (4) | length of what follows the head (4) | BLAKE2b-64 of length and rest (8) | length of JSON (4) |
    JSON | blobs, one after the other

Any one byte spoilt breaks the magic or the digest.  What stands behind a record that is not whole is found by
its magic again, since every record stands for itself.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b

MAGIC = b"\xa7RLs"
DIGEST = 8
HEAD = len(MAGIC) + 4 + DIGEST
RECORD_MOST = 64 << 20  # bytes; a version with 10,000 nodes has 1.3 MB


@dataclass(frozen=True, slots=True)
class Record:
    """`said`: plain JSON data; `blobs`: bytes that it refers to by their order."""

    said: dict[str, object]
    blobs: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Spoilt:
    """So many bytes that are no record."""

    size: int


def pack(said: dict[str, object], blobs: Sequence[bytes] = ()) -> bytes:
    """One record.  `sizes` in `said` is the format's own."""
    text = json.dumps({**said, "sizes": [len(b) for b in blobs]}, separators=(",", ":")).encode()
    rest = len(text).to_bytes(4, "big") + text + b"".join(blobs)
    if len(rest) > RECORD_MOST:
        raise ValueError(f"record: {len(rest)} bytes, at most {RECORD_MOST} are kept")
    length = len(rest).to_bytes(4, "big")
    return MAGIC + length + _digest(length + rest) + rest


def unpack(data: bytes) -> Iterator[Record | Spoilt]:
    """What a file holds, in order."""
    at = bad = 0
    while at < len(data):
        record = _record(data, at)
        if record is None:
            found = data.find(MAGIC, at + 1)
            end = found if found >= 0 else len(data)
            bad, at = bad + end - at, end
            continue
        if bad:
            yield Spoilt(bad)
            bad = 0
        at += HEAD + int.from_bytes(data[at + 4 : at + 8], "big")
        yield record
    if bad:
        yield Spoilt(bad)


def _digest(data: bytes) -> bytes:
    return blake2b(data, digest_size=DIGEST).digest()


def _record(data: bytes, at: int) -> Record | None:
    """The record that begins here, if it is whole."""
    if data[at : at + 4] != MAGIC or len(data) < at + HEAD:
        return None
    length = int.from_bytes(data[at + 4 : at + 8], "big")
    rest = data[at + HEAD : at + HEAD + length]
    if (
        not 4 <= length <= RECORD_MOST
        or len(rest) != length
        or (_digest(data[at + 4 : at + 8] + rest) != data[at + 8 : at + HEAD])
    ):
        return None
    said_most = 4 + int.from_bytes(rest[:4], "big")
    said = json.loads(rest[4:said_most])
    blobs = []
    for size in said.pop("sizes"):
        blobs.append(rest[said_most : said_most + size])
        said_most += size
    return Record(said, tuple(blobs))
