"""What is asked of etcd and what it answers, as plain data; the wire is the codec's matter.

The terms are those of etcd's v3 API.  The store has one revision, which every write raises by one; a key
knows that of its creation, that of its last change, and how often it was written since it was created (its
version, 1 for the first).  A key that does not exist compares as having 0 for all of them.  `end`: the first
key behind a range; empty for one key alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class Field(Enum):
    """What of a key is compared; a value with bytes, the others with whole numbers."""

    VERSION = 0
    CREATED = 1
    MODIFIED = 2
    VALUE = 3
    LEASE = 4


class Relation(Enum):
    EQUAL = 0
    GREATER = 1
    LESS = 2
    NOT_EQUAL = 3


@dataclass(frozen=True, slots=True)
class Compare:
    """One condition of a transaction.  Over a range (`end`), it must hold for each key there."""

    key: bytes
    field: Field
    relation: Relation
    than: int | bytes
    end: bytes = b""


@dataclass(frozen=True, slots=True)
class Get:
    """Read a key or a range, of the newest revision for 0; `most` keys, 0: all."""

    key: bytes
    end: bytes = b""
    revision: int = 0
    most: int = 0


@dataclass(frozen=True, slots=True)
class Put:
    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    key: bytes
    end: bytes = b""


Operation: TypeAlias = Get | Put | Delete


@dataclass(frozen=True, slots=True)
class Txn:
    """All of `then` if every comparison holds, else all of `otherwise`, at one revision."""

    compares: tuple[Compare, ...]
    then: tuple[Operation, ...]
    otherwise: tuple[Operation, ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """A lease of so many whole seconds, with an id of the store's choice."""

    ttl_s: int


@dataclass(frozen=True, slots=True)
class KeepAlive:
    lease: int


@dataclass(frozen=True, slots=True)
class Revoke:
    lease: int


@dataclass(frozen=True, slots=True)
class Compact:
    """Forget all that was before this revision."""

    revision: int


Request: TypeAlias = Get | Put | Delete | Txn | Grant | KeepAlive | Revoke | Compact


@dataclass(frozen=True, slots=True)
class Pair:
    """A key as it stands, or stood."""

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Got:
    """`count`: keys in the range, `most` or not."""

    revision: int
    pairs: tuple[Pair, ...]
    count: int


@dataclass(frozen=True, slots=True)
class Written:
    """A put (`deleted` is None), or a delete of so many keys."""

    revision: int
    deleted: int | None = None


@dataclass(frozen=True, slots=True)
class Decided:
    """A transaction: which side was carried out, and what each of its operations gave."""

    revision: int
    held: bool
    answers: tuple[Got | Written, ...] = ()


@dataclass(frozen=True, slots=True)
class Leased:
    """A lease granted or kept alive; a TTL of 0: it is gone."""

    revision: int
    lease: int
    ttl_s: int


Reply: TypeAlias = Got | Written | Decided | Leased


@dataclass(frozen=True, slots=True)
class Change:
    """One event of a watch.  Deleted: `pair` has the key and, as modified, the revision of its end."""

    pair: Pair
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class News:
    """What a watch tells: the changes of one or more whole revisions, and the store's revision then."""

    revision: int
    changes: tuple[Change, ...]


class Trouble(Enum):
    """Why the store did not do what it was asked."""

    UNREACHABLE = "unreachable"  # nobody answered, or not in time: whether it was done is not known
    NO_LEASE = "no such lease"
    COMPACTED = "compacted"  # a revision that the store no longer has
    AHEAD = "ahead"  # a revision that the store does not have yet: it went back
    REFUSED = "refused"  # anything else that it said no to


class StoreError(Exception):
    """Every failure of a call; the text names the endpoint, the call and what the store said.

    `compacted`: the oldest revision that can still be asked for, where the store told it.
    """

    def __init__(self, trouble: Trouble, text: str, compacted: int = 0) -> None:
        super().__init__(text)
        self.trouble, self.compacted = trouble, compacted


def prefix_end(prefix: bytes) -> bytes:
    """The end of the range of all keys that begin so; b"\\0", etcd's word for no end, if there is none."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes([stem[-1] + 1]) if stem else b"\0"


def within(key: bytes, start: bytes, end: bytes) -> bool:
    """Is a key in the range?  An empty end: the one key; b"\\0": all from `start` on."""
    return key == start if not end else key >= start and (end == b"\0" or key < end)
