"""The correlation ids that no further request may have: of open requests, and of those that may have run.

A request is open until the last byte of its answer has been written, or none of it is to come any more.

Two requests with one id must not reach a server, as no order may run twice.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b
from typing import Protocol

from ..overload.memory_budget import MemoryBudget

RETENTION_US = 5_000_000  # from a request's end
# Beyond these the oldest are forgotten earlier.  Reads have a queue of their own: however many there are, the
# ids of orders stay.
MAX_RETAINED_ORDERS, MAX_RETAINED_READS = 20_000, 4_000
BUCKET_US = 100_000  # ids that end within it are forgotten together
MAX_PLAIN_ID_BYTES = 32  # of a longer id a digest is kept
DIGEST_BYTES = 16
RETAINED_ID_BYTES = 150  # memory of one


def _stored(id: bytes) -> bytes:
    return id if len(id) <= MAX_PLAIN_ID_BYTES else blake2b(id, digest_size=DIGEST_BYTES).digest()


class SharedClaims(Protocol):
    """What the other processes of this balancer learn of the ids that are in use here."""

    def claim(self, id: bytes) -> bool:
        """Claim the id of a new request; return whether no other process has it in use."""

    def retain(self, id: bytes, is_repeatable: bool) -> None:
        """Keep the claim of a request that has ended and may have run; `is_repeatable`: its class is safe."""

    def release(self, id: bytes) -> None:
        """Give up the claim of an id that any request may have again."""


class NoOtherProcess:
    """The claims of a balancer that is one process."""

    def claim(self, id: bytes) -> bool:
        return True

    def retain(self, id: bytes, is_repeatable: bool) -> None:
        """There is nobody to tell."""

    def release(self, id: bytes) -> None:
        """There is nobody to tell."""


class _Bucket:
    """Ids that are forgotten together."""

    __slots__ = ("ids", "until_us")

    def __init__(self, until_us: int) -> None:
        self.until_us = until_us
        self.ids: list[bytes] = []


class _RetainedIds:
    """At most `most` ids in the order in which their requests ended, in buckets."""

    __slots__ = ("_buckets", "_most", "count")

    def __init__(self, most: int) -> None:
        self._most, self.count = most, 0
        self._buckets: deque[_Bucket] = deque()

    def add(self, stored: bytes, now_us: int) -> None:
        if not self._buckets or self._buckets[-1].until_us < now_us + RETENTION_US:
            self._buckets.append(_Bucket(now_us + RETENTION_US + BUCKET_US))
        self._buckets[-1].ids.append(stored)
        self.count += 1

    def take_expired(self, now_us: int) -> list[bytes]:
        """Remove and return those whose time is over, and the oldest beyond the maximum."""
        expired: list[bytes] = []
        while self._buckets and (self._buckets[0].until_us <= now_us or self.count > self._most):
            ids = self._buckets.popleft().ids
            self.count -= len(ids)
            expired += ids
        return expired


class ReservedId:
    """The id of an open request; whoever reserved it ends it once, with the request."""

    __slots__ = ("is_repeatable", "may_have_run", "stored")

    def __init__(self, stored: bytes, is_repeatable: bool) -> None:
        self.stored, self.is_repeatable = stored, is_repeatable
        self.may_have_run = False  # an attempt of the request has begun


class RequestIds:
    """Each id that is reserved is ended once; times in microseconds of the program's clock."""

    __slots__ = ("_claims", "_known", "_memory_budget", "_orders", "_reads")

    def __init__(self, memory_budget: MemoryBudget, claims: SharedClaims | None = None) -> None:
        """`claims`: those of the balancer's processes; default: there is no other process."""
        self._claims = claims or NoOtherProcess()
        self._known: set[bytes] = set()
        self._orders, self._reads = _RetainedIds(MAX_RETAINED_ORDERS), _RetainedIds(MAX_RETAINED_READS)
        self._memory_budget = memory_budget

    @property
    def retained_count(self) -> int:
        """How many ids of requests that have ended are kept."""
        return self._orders.count + self._reads.count

    def reserve(self, id: bytes, is_repeatable: bool) -> ReservedId | None:
        """Reserve the id of a new request; None: it is not free.  `is_repeatable`: its class is safe."""
        stored = _stored(id)
        if stored in self._known or not self._claims.claim(stored):
            return None
        self._known.add(stored)
        return ReservedId(stored, is_repeatable)

    def end(self, reserved: ReservedId, now_us: int) -> None:
        """The request has ended, and no more of its answer is to come: keep its id if it may have run."""
        if not reserved.may_have_run:
            self._known.discard(reserved.stored)
            self._claims.release(reserved.stored)
            return
        (self._reads if reserved.is_repeatable else self._orders).add(reserved.stored, now_us)
        self._claims.retain(reserved.stored, reserved.is_repeatable)
        self._memory_budget.change(RETAINED_ID_BYTES)

    def expire(self, now_us: int) -> None:
        """Forget the ids whose time is over, and the oldest beyond the maximum."""
        for retained in (self._orders, self._reads):
            expired = retained.take_expired(now_us)
            self._known.difference_update(expired)
            for stored in expired:
                self._claims.release(stored)
            self._memory_budget.change(-RETAINED_ID_BYTES * len(expired))
