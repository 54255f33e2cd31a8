"""The roll of followers as one value of the store.  No I/O.

A value is a record of its names, compressed; 4,096 names of 253 bytes are 1.04 MB as they stand, and so fit.
A store without one, or with one that cannot be read, is an empty roll: its leader then knows of nobody before
it hears of them, and waits as long as if all had a lease.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from ..agreement.issuer import MOST_FOLLOWERS
from ..store.records import Record, pack, unpack
from ..xds.codec.protos import CodecError

ROLL = "roll"  # the key under the fleet's prefix
SCHEMA = 1


def write_roll(names: Iterable[str]) -> bytes:
    return zlib.compress(
        pack(
            {"kind": ROLL, "schema": SCHEMA},
            tuple(name.encode(errors="surrogatepass") for name in sorted(names)),
        ),
        1,
    )


def read_roll(data: bytes) -> frozenset[str]:
    """CodecError for what is no roll, or one of a newer release."""
    try:
        (record,) = unpack(zlib.decompress(data))
        if not isinstance(record, Record) or record.said["kind"] != ROLL:
            raise ValueError("it is no record of one")
        if record.said["schema"] != SCHEMA:
            raise ValueError(f"schema {record.said['schema']!r}, this program knows {SCHEMA}: update it")
        if len(record.blobs) > MOST_FOLLOWERS:
            raise ValueError(f"{len(record.blobs)} names, at most {MOST_FOLLOWERS} are kept")
        return frozenset(name.decode(errors="surrogatepass") for name in record.blobs)
    except (KeyError, TypeError, ValueError, zlib.error) as e:
        raise CodecError(f"roll in the store: {e}") from None
