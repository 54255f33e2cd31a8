"""Ids of requests: none runs twice, and they cost bounded memory however long and many they are."""

from __future__ import annotations

import pytest

from roadlb.net.request_ids import (
    BUCKET_US,
    MAX_RETAINED_ORDERS,
    MAX_RETAINED_READS,
    RETAINED_ID_BYTES,
    RETENTION_US,
    RequestIds,
)
from roadlb.overload.memory_budget import MemoryBudget


def retain(ids: RequestIds, id: bytes, now_us: int, is_repeatable: bool = False) -> None:
    """A request with this id has been open, has run and has ended."""
    reserved_id = ids.reserve(id, is_repeatable)
    assert reserved_id is not None
    reserved_id.may_have_run = True
    ids.end(reserved_id, now_us)


def is_free(ids: RequestIds, id: bytes) -> bool:
    """Whether a new request may have this id; it stays as it is."""
    reserved_id = ids.reserve(id, False)
    if reserved_id is not None:
        ids.end(reserved_id, 0)
    return reserved_id is not None


def test_an_id_is_free_again_after_its_retention_and_not_before() -> None:
    ids = RequestIds(MemoryBudget())
    reserved_id = ids.reserve(b"a", False)
    assert reserved_id is not None and ids.reserve(b"a", False) is None
    reserved_id.may_have_run = True
    ids.end(reserved_id, 1_000)
    ids.expire(1_000 + RETENTION_US)
    assert not is_free(ids, b"a")
    ids.expire(1_000 + RETENTION_US + BUCKET_US)
    assert is_free(ids, b"a")


def test_requests_that_never_ran_push_out_the_id_of_one_that_did() -> None:
    ids = RequestIds(MemoryBudget())
    retain(ids, b"order", 0)
    for number in range(2 * MAX_RETAINED_ORDERS):
        assert is_free(ids, b"%d" % number)
    ids.expire(1)
    assert not is_free(ids, b"order") and ids.retained_count == 1


def test_long_ids_are_kept_as_they_are() -> None:
    budget = MemoryBudget()
    ids = RequestIds(budget)
    for number in range(100):
        id = b"%d" % number + b"x" * 12_000
        reserved_id = ids.reserve(id, False)
        assert reserved_id is not None and not is_free(ids, id)
        reserved_id.may_have_run = True
        ids.end(reserved_id, 0)
        assert not is_free(ids, id)
    assert max(len(stored) for stored in ids._known) <= 32
    assert budget.held_bytes == 100 * RETAINED_ID_BYTES


def test_more_ids_than_the_maximum_are_kept() -> None:
    budget = MemoryBudget()
    ids = RequestIds(budget)
    for number in range(MAX_RETAINED_ORDERS + 1_000):
        retain(ids, b"%d" % number, number * 100)
    ids.expire(0)
    assert ids.retained_count <= MAX_RETAINED_ORDERS
    assert budget.held_bytes == ids.retained_count * RETAINED_ID_BYTES == len(ids._known) * RETAINED_ID_BYTES


def test_reads_under_new_ids_push_out_the_id_of_an_order() -> None:
    ids = RequestIds(MemoryBudget())
    retain(ids, b"order", 0)
    for number in range(2 * MAX_RETAINED_ORDERS):
        retain(ids, b"%d" % number, number * 10, is_repeatable=True)
        ids.expire(number * 10)
    assert not is_free(ids, b"order") and ids.retained_count <= MAX_RETAINED_READS + 1


class RecordedClaims:
    """What the balancer's other processes are told; `taken`: the ids that they have in use."""

    def __init__(self, *taken: bytes) -> None:
        self.taken = taken
        self.told: list[str] = []

    def claim(self, id: bytes) -> bool:
        self.told.append("claim")
        return id not in self.taken

    def retain(self, id: bytes, is_repeatable: bool) -> None:
        self.told.append("retain a read" if is_repeatable else "retain an order")

    def release(self, id: bytes) -> None:
        self.told.append("release")


@pytest.mark.parametrize("is_repeatable", [False, True])
def test_other_processes_are_told_that_an_id_is_free_while_it_is_kept(is_repeatable: bool) -> None:
    claims = RecordedClaims()
    ids = RequestIds(MemoryBudget(), claims)
    retain(ids, b"ran", 0, is_repeatable)
    ids.expire(RETENTION_US)
    assert claims.told == ["claim", "retain a read" if is_repeatable else "retain an order"]
    ids.expire(RETENTION_US + BUCKET_US)
    assert claims.told[2:] == ["release"]
    reserved_id = ids.reserve(b"never ran", is_repeatable)
    assert reserved_id is not None
    ids.end(reserved_id, RETENTION_US)
    assert claims.told[3:] == ["claim", "release"]


def test_an_id_that_another_process_has_in_use_is_kept_here_too() -> None:
    ids = RequestIds(MemoryBudget(), RecordedClaims(b"theirs"))
    assert ids.reserve(b"theirs", True) is None and ids.reserve(b"ours", True) is not None
    assert ids._known == {b"ours"}
