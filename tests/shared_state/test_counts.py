"""Counts of all balancers: added up, aged out, nothing twice, within the stated error."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from roadlb.shared_state.counts import AGE_US, MOST_COUNTS, MOST_KEYS, WINDOW_US, Counted, Counts
from roadlb.shared_state.events import Sort, key

S = Sort.SENT
A = key(S, b"a")


def told(count: int, number: int = 1) -> Counted:
    return Counted(((S, A, count),), number=number)


def test_own_counts_are_of_the_last_window() -> None:
    counts = Counts()
    for ms in range(0, 4_000, 10):
        counts.add(ms * 1_000, S, A)
    assert 7 / 8 * 200 <= counts.sum(4_000_000, S, A).count <= 200
    assert counts.sum(4_000_000 + WINDOW_US, S, A).count == 0


def test_a_report_that_is_doubled_overtaken_or_of_an_old_life_counts_once() -> None:
    counts = Counts()
    for life, number, count in ((1, 2, 5), (1, 2, 5), (1, 1, 100), (2, 1, 7), (1, 9, 50)):
        counts.came(0, "b", life, told(count, number))
    assert (counts.sum(0, S, A).count, counts.sum(0, S, A).heard) == (7, 2)
    counts.forget(AGE_US)
    assert not counts.reports and counts.sum(AGE_US, S, A).count == 0


def test_what_a_report_has_no_room_for_is_in_the_stated_error() -> None:
    here, there = Counts(), Counts()
    truth = {key(S, b"%d" % n): n % 50 + 1 for n in range(3 * MOST_COUNTS)}
    for k, count in truth.items():
        there.add(0, S, k, count)
    report = there.tell(0, 1)
    assert len(report.items) == MOST_COUNTS
    here.came(0, "there", 1, report)
    for k, count in truth.items():
        found = here.sum(0, S, k)
        assert found.count <= count <= found.count + found.over


def test_memory_is_bounded() -> None:
    counts = Counts()
    for n in range(MOST_KEYS + 50):
        counts.add(0, S, n.to_bytes(4, "big"))
    assert len(counts.own(0)) == MOST_KEYS + 1 and sum(counts.own(0).values()) == MOST_KEYS + 50
    assert counts.tell(0, 1).rest[0] == MOST_KEYS + 50 - MOST_COUNTS


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 3), st.integers(0, 5), st.integers(0, 9))),
    st.randoms(use_true_random=False),
)
def test_the_order_of_reports_does_not_matter(
    reports: list[tuple[int, int, int, int]], chance: object
) -> None:
    # Of one sender, life and number there is one report.
    said = {(sender, life, number): count for sender, life, number, count in reports}
    sums = []
    for _ in range(2):
        counts, order = Counts(), list(said)
        chance.shuffle(order)  # type: ignore[attr-defined]
        for sender, life, number in order:
            counts.came(0, str(sender), life, told(said[sender, life, number], number))
        sums.append(counts.sum(0, S, A))
    assert sums[0] == sums[1]
