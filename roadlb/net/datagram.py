"""One datagram between balancers: who sends it, from which life, the how manieth it is, and items.

    magic 'rlb' | version u8 | cluster 8 bytes | incarnation u64 | number u64 | name length u8, name
    then for each item: kind u8 | length u16 | bytes
    then the first 16 bytes of HMAC-SHA256, under the key that the balancers share, over the address that it
    is sent to, as `host:port`, a zero byte, and all before

`cluster` is the first 8 bytes of SHA-256 of the cluster's name.  `number` counts what this process has sent
and only grows: with the incarnation it tells a replay (`roadlb.membership.admission`).  The tag is checked
before anything but magic, version and cluster is believed, in time that does not depend on where it differs.
With the address in it, what was sent to one cannot be played to another; each has one (`peers.advertise`).
No encryption: what goes round are names, addresses and counts.

    >>> codec, to = Codec(b"sixteen bytes or more", "grid"), "10.0.0.7:7946"
    >>> codec.read(codec.write("lb-1", 7 << 16, 1, [(2, b"shares")], to), to).items
    ((2, b'shares'),)
"""

from __future__ import annotations

import hmac
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256

from ..config import KEY_LEAST
from ..membership.events import NAME_MOST

MOST = 1_200  # bytes of a datagram: under every path's MTU, tunnels counted in
VERSION = 1
TAG = 16
_HEAD = struct.Struct("!3sB8sQQB")
_ITEM = struct.Struct("!BH")
ITEM_HEAD = _ITEM.size
PAYLOAD_MOST = MOST - _HEAD.size - NAME_MOST - ITEM_HEAD - TAG  # bytes that always fit as one item


class Fault(Exception):
    """Bytes that are no datagram of this cluster.  `cause` is one word, for a counter: `malformed`,
    `version`, `cluster` (another one's) or `stranger` (the tag is not by our key)."""

    def __init__(self, cause: str, text: str) -> None:
        super().__init__(text)
        self.cause = cause


@dataclass(slots=True, frozen=True)
class Datagram:
    sender: str
    incarnation: int
    number: int
    items: tuple[tuple[int, bytes], ...]  # (kind, payload)


def room(sender: str) -> int:
    """Bytes for items in a datagram of this sender, ITEM_HEAD of each included."""
    return MOST - _HEAD.size - len(sender.encode()) - TAG


class Codec:
    """Writes and reads datagrams of one cluster under one key."""

    def __init__(self, key: bytes, cluster: str) -> None:
        if len(key) < KEY_LEAST:
            raise ValueError(f"the key has {len(key)} bytes; at least {KEY_LEAST} are needed")
        self._key = key
        self._cluster = sha256(cluster.encode()).digest()[:8]

    def write(
        self, sender: str, incarnation: int, number: int, items: Iterable[tuple[int, bytes]], to: str
    ) -> bytes:
        """For the address `to`; ValueError where it would hold more than MOST bytes."""
        name = sender.encode()
        parts = [_HEAD.pack(b"rlb", VERSION, self._cluster, incarnation, number, len(name)), name]
        for kind, payload in items:
            parts += _ITEM.pack(kind, len(payload)), payload
        body = b"".join(parts)
        if len(body) + TAG > MOST or not 0 < len(name) <= NAME_MOST:
            raise ValueError(f"{len(body) + TAG} bytes, at most {MOST}; name of {len(name)}")
        return body + self.tag(body, to)

    def read(self, data: bytes, at: str) -> Datagram:
        """What these bytes say that came to the address `at`; Fault where they say nothing."""
        if not _HEAD.size + TAG < len(data) <= MOST:
            raise Fault("malformed", f"{len(data)} bytes")
        magic, version, cluster, incarnation, number, length = _HEAD.unpack_from(data)
        if magic != b"rlb":
            raise Fault("malformed", "it does not begin as a datagram does")
        if version != VERSION:
            raise Fault("version", f"version {version}, ours is {VERSION}")
        if cluster != self._cluster:
            raise Fault("cluster", "of another cluster")
        body = data[:-TAG]
        if not hmac.compare_digest(self.tag(body, at), data[-TAG:]):
            raise Fault("stranger", "the tag is not by our key")
        end = _HEAD.size + length
        if not 0 < length <= NAME_MOST or end > len(body):
            raise Fault("malformed", f"a name of {length} bytes")
        try:
            sender = body[_HEAD.size : end].decode()
        except UnicodeDecodeError:
            raise Fault("malformed", "a name that is not UTF-8") from None
        return Datagram(sender, incarnation, number, tuple(_items(body, end)))

    def tag(self, body: bytes, to: str) -> bytes:
        return hmac.digest(self._key, to.encode() + b"\0" + body, "sha256")[:TAG]


def _items(body: bytes, at: int) -> Iterable[tuple[int, bytes]]:
    while at < len(body):
        if len(body) - at < ITEM_HEAD:
            raise Fault("malformed", "an item is cut off")
        kind, length = _ITEM.unpack_from(body, at)
        at += ITEM_HEAD
        if len(body) - at < length:
            raise Fault("malformed", "an item is cut off")
        yield kind, body[at : at + length]
        at += length
