"""The stand-in's state: keys with all their revisions, leases, watches.  No I/O.

Theory of operation, after what etcd publishes of its API:

- Every write that changes something raises the revision by one; all that a transaction writes bears one
  revision.  A key is written at most once in a transaction.  A delete of nothing raises nothing.
- A key keeps its history: who asks for an older revision gets the keys as they stood then, unless it was
  compacted away (`OUT_OF_RANGE`); one that is yet to come is refused as well.
- A key put with a lease goes when the lease does, by the store's clock; all keys of one lease in one
  revision.  A later put without it takes the key off the lease.  A keep-alive starts the lease's time anew;
  one of a lease that is gone is answered with a TTL of 0.
- A watch is told each revision's changes once, whole and in order, also those that lie between the revision
  that it asked for and now.  If those were compacted, it is told so and ends.
- `backup` and `restored`: a store that is set up from a backup goes back in revisions, knows nothing of what
  came after, and its leases run for their whole time again, as none is known to have been renewed.

Left out: nested transactions, sorting, filters of watches, fragments, authentication, clusters of stores.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from copy import deepcopy
from dataclasses import dataclass, field

from ...etcd.model import (
    Change,
    Compact,
    Compare,
    Decided,
    Delete,
    Field,
    Get,
    Got,
    Grant,
    KeepAlive,
    Leased,
    News,
    Operation,
    Pair,
    Put,
    Relation,
    Reply,
    Request,
    Revoke,
    Txn,
    Written,
    within,
)
from .events import Action, Answer, Asked, Cancel, Event, Left, Refuse, Tell, Tick, Watching

COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
NO_LEASE = "etcdserver: requested lease not found"
NO_KEY = "etcdserver: key is not provided"
TWICE = "etcdserver: duplicate key given in txn request"
OPERATIONS_MOST = 128  # of a transaction, as etcd's default is
TOO_MANY = "etcdserver: too many operations in txn request"


class Refusal(Exception):
    """A request that cannot be carried out: a status and a text; nothing was changed."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code, self.text = code, text


@dataclass(slots=True)
class Lease:
    ttl_s: int
    until: int  # microseconds, by the clock that `handle` is given
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class Watch:
    key: bytes
    end: bytes
    next: int  # the first revision that it has not been told


class Store:
    """`handle(now, event) -> actions`; `now` in microseconds of one monotonic clock."""

    def __init__(self) -> None:
        self.revision, self.compacted = 1, 0
        self.leases: dict[int, Lease] = {}
        self.watches: dict[int, Watch] = {}
        self._history: dict[bytes, list[tuple[int, Pair | None]]] = {}  # by revision; None: deleted
        self._changes: dict[int, list[Change]] = {}  # by revision
        self._leases_made = 0x6C65_0000

    def handle(self, now: int, event: Event) -> list[Action]:
        actions = list[Action]()
        self._expire(now)
        match event:
            case Asked(by, request):
                try:
                    actions.append(Answer(by, self._carry_out(now, request)))
                except Refusal as e:
                    actions.append(Refuse(by, e.code, e.text))
            case Watching(by, key, end, start):
                self.watches[by] = Watch(key, end, start or self.revision + 1)
                actions.append(Tell(by, News(self.revision, ())))
            case Left(by):
                self.watches.pop(by, None)
            case Tick():
                pass
        return [*actions, *self._news()]

    @property
    def wake_at(self) -> int | None:
        """When the next lease ends, if nothing happens before."""
        return min((lease.until for lease in self.leases.values()), default=None)

    # Backups

    def backup(self) -> Store:
        """All as it stands, without watches."""
        held, self.watches = self.watches, {}
        made = deepcopy(self)
        self.watches = held
        return made

    def restored(self, now: int) -> Store:
        """A store from this backup, as it begins."""
        made = self.backup()
        for lease in made.leases.values():
            lease.until = now + lease.ttl_s * 1_000_000
        return made

    # Requests

    def _carry_out(self, now: int, request: Request) -> Reply:
        match request:
            case Get():
                return self._get(request)
            case Put() | Delete():
                decided = self._transaction(Txn((), (request,)))
                (written,) = decided.answers
                assert isinstance(written, Written)
                return written
            case Txn():
                return self._transaction(request)
            case Grant(ttl_s):
                if ttl_s < 1:
                    raise Refusal("INVALID_ARGUMENT", "etcdserver: a lease needs a TTL of 1 s or more")
                self._leases_made += 1
                self.leases[self._leases_made] = Lease(ttl_s, now + ttl_s * 1_000_000)
                return Leased(self.revision, self._leases_made, ttl_s)
            case KeepAlive(number):
                lease = self.leases.get(number)
                if lease is None:
                    return Leased(self.revision, number, 0)
                lease.until = now + lease.ttl_s * 1_000_000
                return Leased(self.revision, number, lease.ttl_s)
            case Revoke(number):
                if number not in self.leases:
                    raise Refusal("NOT_FOUND", NO_LEASE)
                self._end_leases([number])
                return Written(self.revision)
            case Compact(revision):
                self._compact(revision)
                return Written(self.revision)

    def _get(self, get: Get) -> Got:
        if not get.key:
            raise Refusal("INVALID_ARGUMENT", NO_KEY)
        if get.revision > self.revision:
            raise Refusal("OUT_OF_RANGE", FUTURE)
        if 0 < get.revision < self.compacted:
            raise Refusal("OUT_OF_RANGE", COMPACTED)
        found = [
            pair
            for key in self._keys(get.key, get.end)
            if (pair := self._pair(key, get.revision or self.revision))
        ]
        return Got(self.revision, tuple(found[: get.most] if get.most else found), len(found))

    def _transaction(self, txn: Txn) -> Decided:
        for side in (txn.then, txn.otherwise):
            self._check(side)
        held = all(self._holds(compare) for compare in txn.compares)
        operations = txn.then if held else txn.otherwise
        for one in operations:  # nothing is done unless all can be
            if isinstance(one, Put) and one.lease and one.lease not in self.leases:
                raise Refusal("NOT_FOUND", NO_LEASE)
            if isinstance(one, Get) and not one.revision <= self.revision:
                raise Refusal("OUT_OF_RANGE", FUTURE)
            if isinstance(one, Get) and 0 < one.revision < self.compacted:
                raise Refusal("OUT_OF_RANGE", COMPACTED)
        before, changes, answers = self.revision, list[Change](), list[Got | Written]()
        for one in operations:
            if isinstance(one, Get):
                answers.append(self._get(one))
                continue
            made = self._written(one, before + 1)
            changes += made
            if made:
                self.revision = before + 1
            answers.append(Written(self.revision, len(made) if isinstance(one, Delete) else None))
        if changes:
            self._changes[self.revision] = changes
        return Decided(self.revision, held, tuple(answers))

    @staticmethod
    def _check(operations: Iterable[Operation]) -> None:
        written, deleted = set[bytes](), list[Delete]()
        operations = tuple(operations)
        if len(operations) > OPERATIONS_MOST:
            raise Refusal("INVALID_ARGUMENT", TOO_MANY)
        for one in operations:
            if not one.key:
                raise Refusal("INVALID_ARGUMENT", NO_KEY)
            if isinstance(one, Delete):
                deleted.append(one)
            elif isinstance(one, Put):
                if one.key in written:
                    raise Refusal("INVALID_ARGUMENT", TWICE)
                written.add(one.key)
        if any(within(key, one.key, one.end) for key in written for one in deleted):
            raise Refusal("INVALID_ARGUMENT", TWICE)

    def _holds(self, compare: Compare) -> bool:
        if compare.end:
            found = [
                pair
                for key in self._keys(compare.key, compare.end)
                if (pair := self._pair(key, self.revision))
            ]
            return all(_compared(compare, pair) for pair in found)
        return _compared(compare, self._pair(compare.key, self.revision))

    # Keys

    def _keys(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self._history else []
        return sorted(one for one in self._history if within(one, key, end))

    def _pair(self, key: bytes, revision: int) -> Pair | None:
        history = self._history.get(key, [])
        at = bisect_right(history, revision, key=lambda entry: entry[0])
        return history[at - 1][1] if at else None

    def _written(self, operation: Put | Delete, revision: int) -> list[Change]:
        if isinstance(operation, Put):
            key, lease, old = operation.key, operation.lease, self._pair(operation.key, revision)
            pair = Pair(
                key,
                operation.value,
                old.created if old else revision,
                revision,
                old.version + 1 if old else 1,
                lease,
            )
            if old and old.lease in self.leases:
                self.leases[old.lease].keys.discard(key)
            if lease:
                self.leases[lease].keys.add(key)
            self._history.setdefault(key, []).append((revision, pair))
            return [Change(pair)]
        changes = []
        for key in self._keys(operation.key, operation.end):
            if (old := self._pair(key, revision)) is not None:
                if old.lease in self.leases:
                    self.leases[old.lease].keys.discard(key)
                self._history[key].append((revision, None))
                changes.append(Change(Pair(key, b"", 0, revision, 0), deleted=True))
        return changes

    def _compact(self, revision: int) -> None:
        if revision > self.revision:
            raise Refusal("OUT_OF_RANGE", FUTURE)
        if revision <= self.compacted:
            raise Refusal("OUT_OF_RANGE", COMPACTED)
        self.compacted = revision
        self._changes = {at: told for at, told in self._changes.items() if at >= revision}
        for key, history in list(self._history.items()):
            first = max(0, bisect_right(history, revision, key=lambda entry: entry[0]) - 1)
            if history[first][1] is None and history[first][0] <= revision:
                first += 1
            if kept := history[first:]:
                self._history[key] = kept
            else:
                del self._history[key]

    # Time, and who is told

    def _expire(self, now: int) -> None:
        self._end_leases([number for number, lease in self.leases.items() if lease.until <= now])

    def _end_leases(self, numbers: list[int]) -> None:
        for number in numbers:
            keys = sorted(self.leases.pop(number).keys)
            revision, changes = self.revision + 1, list[Change]()
            for key in keys:
                changes += self._written(Delete(key), revision)
            if changes:
                self.revision, self._changes[revision] = revision, changes

    def _news(self) -> Iterable[Action]:
        for by, watch in list(self.watches.items()):
            if watch.next > self.revision:
                continue
            if watch.next < self.compacted:
                del self.watches[by]
                yield Cancel(by, self.compacted, COMPACTED)
                continue
            told = [
                change
                for at in range(watch.next, self.revision + 1)
                for change in self._changes.get(at, ())
                if within(change.pair.key, watch.key, watch.end)
            ]
            watch.next = self.revision + 1
            if told:
                yield Tell(by, News(self.revision, tuple(told)))


def _compared(compare: Compare, pair: Pair | None) -> bool:
    if pair is None and compare.field is Field.VALUE:
        return False  # a key that is not there has no value to compare
    is_: int | bytes
    match compare.field:
        case Field.VERSION:
            is_ = pair.version if pair else 0
        case Field.CREATED:
            is_ = pair.created if pair else 0
        case Field.MODIFIED:
            is_ = pair.modified if pair else 0
        case Field.LEASE:
            is_ = pair.lease if pair else 0
        case Field.VALUE:
            is_ = pair.value if pair else b""
    than = compare.than
    assert isinstance(is_, int) == isinstance(than, int)
    match compare.relation:
        case Relation.EQUAL:
            return is_ == than
        case Relation.NOT_EQUAL:
            return is_ != than
        case Relation.GREATER:
            return is_ > than  # type: ignore[operator]
        case Relation.LESS:
            return is_ < than  # type: ignore[operator]
