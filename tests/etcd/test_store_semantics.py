"""The stand-in store keeps to what etcd publishes of its v3 API; each test is a short transcript."""

from __future__ import annotations

import pytest
from standin import NUMBERS, Told

from roadlb.etcd.model import (
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
    Put,
    Relation,
    Revoke,
    Txn,
    Written,
    prefix_end,
    within,
)
from roadlb.lab.standin_etcd.events import Cancel


def pairs(reply: object) -> list[tuple[bytes, bytes, int, int, int]]:
    assert isinstance(reply, Got)
    return [(p.key, p.value, p.created, p.modified, p.version) for p in reply.pairs]


def lease(told: Told, ttl_s: int) -> int:
    granted = told.do(Grant(ttl_s))
    assert isinstance(granted, Leased) and granted.ttl_s == ttl_s
    return granted.lease


def test_a_key_knows_its_creation_its_last_change_and_its_version() -> None:
    told = Told()
    assert told.do(Put(b"a", b"1")) == Written(2)  # an empty store is at revision 1
    told.do(Put(b"b", b"1"))
    told.do(Put(b"a", b"2"))
    assert pairs(told.do(Get(b"a"))) == [(b"a", b"2", 2, 4, 2)]
    assert told.do(Delete(b"a")) == Written(5, 1)
    assert told.do(Delete(b"a")) == Written(5, 0)  # nothing changes, nothing is raised
    told.do(Put(b"a", b"3"))
    assert pairs(told.do(Get(b"a"))) == [(b"a", b"3", 6, 6, 1)]  # created anew: it begins again


def test_a_range_ends_before_its_end_and_is_in_the_order_of_keys() -> None:
    told = Told()
    for key in (b"b2", b"a", b"b1", b"c"):
        told.do(Put(key, b""))
    reply = told.do(Get(b"b", prefix_end(b"b"), most=1))
    assert isinstance(reply, Got) and ([p.key for p in reply.pairs], reply.count) == ([b"b1"], 2)
    assert [key for key, *_ in pairs(told.do(Get(b"b1", b"c")))] == [b"b1", b"b2"]
    assert [key for key, *_ in pairs(told.do(Get(b"b1", b"\0")))] == [b"b1", b"b2", b"c"]
    assert prefix_end(b"a\xff") == b"b" and prefix_end(b"\xff") == b"\0" and not within(b"c", b"b", b"c")
    assert told.do(Get(b"")) == "INVALID_ARGUMENT"


def test_a_transaction_is_one_revision_and_all_or_nothing() -> None:
    told = Told()
    absent = Compare(b"leader", Field.CREATED, Relation.EQUAL, 0)
    first = Txn((absent,), (Put(b"leader", b"x"), Put(b"n", b"1"), Get(b"n")), (Get(b"leader"),))
    done = told.do(first)
    assert isinstance(done, Decided) and done.held and done.revision == 2
    assert pairs(done.answers[2]) == [(b"n", b"1", 2, 2, 1)]  # it reads what it wrote
    again = told.do(first)
    assert isinstance(again, Decided) and not again.held and again.revision == 2
    assert pairs(again.answers[0]) == [(b"leader", b"x", 2, 2, 1)]
    # The last operation cannot be carried out: none is.
    assert told.do(Txn((), (Put(b"n", b"2"), Put(b"o", b"", lease=99)))) == "NOT_FOUND"
    assert pairs(told.do(Get(b"n"))) == [(b"n", b"1", 2, 2, 1)] and told.store.revision == 2
    assert told.do(Txn((), (Put(b"n", b"2"), Put(b"n", b"3")))) == "INVALID_ARGUMENT"
    assert told.do(Txn((), (Delete(b"a", b"z"), Put(b"n", b"3")))) == "INVALID_ARGUMENT"


@pytest.mark.parametrize("field", NUMBERS)
def test_a_key_that_is_not_there_compares_as_nought_and_has_no_value(field: Field) -> None:
    told = Told()

    def held(*compares: Compare) -> bool:
        done = told.do(Txn(compares, ()))
        assert isinstance(done, Decided)
        return done.held

    assert held(Compare(b"k", field, Relation.EQUAL, 0), Compare(b"k", field, Relation.LESS, 1))
    assert not held(Compare(b"k", field, Relation.GREATER, 0))
    assert not held(Compare(b"k", Field.VALUE, Relation.EQUAL, b""))
    assert not held(Compare(b"k", Field.VALUE, Relation.NOT_EQUAL, b"x"))
    told.do(Put(b"k", b"v", lease(told, 9)))
    assert held(Compare(b"k", field, Relation.GREATER, 0), Compare(b"k", field, Relation.NOT_EQUAL, 0))
    assert held(Compare(b"k", Field.VALUE, Relation.EQUAL, b"v"))
    assert not held(Compare(b"a", field, Relation.LESS, 1, end=b"z"))  # it must hold for each key


def test_a_lease_that_ends_takes_its_keys_in_one_revision_and_wakes_watches() -> None:
    told = Told()
    one = lease(told, 5)
    told.do(Txn((), (Put(b"b", b"1", one), Put(b"a", b"1", one), Put(b"c", b"1"))))
    told.watch(1, b"a", b"z")
    told.wait(4)
    assert told.do(KeepAlive(one)) == Leased(2, one, 5)
    told.wait(4.9)
    assert told.heard(1) == []
    told.wait(0.2)
    assert told.heard(1) == [(b"a", None, 3), (b"b", None, 3)]
    assert told.do(KeepAlive(one)) == Leased(3, one, 0) and told.do(Revoke(one)) == "NOT_FOUND"
    assert told.do(Put(b"d", b"", one)) == "NOT_FOUND"
    assert [key for key, *_ in pairs(told.do(Get(b"a", b"z")))] == [b"c"]


def test_a_key_put_without_its_lease_stays_when_the_lease_goes() -> None:
    told = Told()
    one, two = lease(told, 5), lease(told, 50)
    told.do(Put(b"a", b"1", one))
    told.do(Put(b"b", b"1", one))
    told.do(Put(b"a", b"2"))
    told.do(Put(b"b", b"2", two))
    told.do(Revoke(one))
    assert [key for key, *_ in pairs(told.do(Get(b"a", b"z")))] == [b"a", b"b"]
    told.do(Revoke(two))
    assert [key for key, *_ in pairs(told.do(Get(b"a", b"z")))] == [b"a"]


def test_a_watch_from_a_past_revision_is_told_all_since_in_order_and_once() -> None:
    told = Told()
    for value in (b"1", b"2", b"3"):
        told.do(Put(b"k", value))
    told.watch(1, b"k", start=3)
    told.watch(2, b"k")
    told.do(Put(b"other", b""))
    told.do(Txn((), (Put(b"k", b"4"),)))
    assert told.heard(1) == [(b"k", b"2", 3), (b"k", b"3", 4), (b"k", b"4", 6)]
    assert told.heard(2) == [(b"k", b"4", 6)]
    told.leave(1)
    told.do(Delete(b"k"))
    assert told.heard(1)[-1] == (b"k", b"4", 6) and told.heard(2)[-1] == (b"k", None, 7)


def test_what_was_compacted_is_refused_by_name_and_the_rest_is_there() -> None:
    told = Told()
    for value in (b"1", b"2", b"3"):
        told.do(Put(b"k", value))
    told.do(Put(b"gone", b""))
    told.do(Delete(b"gone"))
    assert told.do(Compact(3)) == Written(6)
    assert told.do(Get(b"k", revision=2)) == "OUT_OF_RANGE"
    assert pairs(told.do(Get(b"k", revision=3))) == [(b"k", b"2", 2, 3, 2)]
    assert told.do(Get(b"k", revision=7)) == "OUT_OF_RANGE"
    assert told.do(Compact(3)) == "OUT_OF_RANGE" and told.do(Compact(7)) == "OUT_OF_RANGE"
    told.watch(1, b"k", start=2)
    assert told.news[1] == [Cancel(1, 3, "etcdserver: mvcc: required revision has been compacted")]
    told.watch(2, b"k", start=3)
    assert told.heard(2) == [(b"k", b"2", 3), (b"k", b"3", 4)]
    assert told.do(Compact(6)) == Written(6) and pairs(told.do(Get(b"gone"))) == []


def test_a_store_back_from_a_backup_goes_back_in_revisions_and_its_leases_begin_again() -> None:
    told = Told()
    one = lease(told, 5)
    told.do(Put(b"k", b"old", one))
    backup = told.store.backup()
    told.do(Put(b"k", b"new", one))
    told.do(Put(b"later", b""))
    told.wait(60)
    told.store = backup.restored(60_000_000)
    assert pairs(told.do(Get(b"a", b"z"))) == [(b"k", b"old", 2, 2, 1)] and told.store.revision == 2
    assert told.do(Get(b"k", revision=4)) == "OUT_OF_RANGE"
    told.wait(4.9)
    assert pairs(told.do(Get(b"k"))) != []
    told.wait(0.2)
    assert pairs(told.do(Get(b"k"))) == [] and told.store.revision == 3
    assert told.do(Put(b"again", b"")) == Written(4)  # a revision that once meant something else
