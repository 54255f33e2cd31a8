"""Judgements of servers: who is believed, whom it concerns, when it ends."""

from __future__ import annotations

import pytest

from roadlb.shared_state.events import short
from roadlb.shared_state.judgements import (
    AVOID_SHARE,
    COUNT_US,
    HOLD_MOST_US,
    HOLD_US,
    MOST_SIGNS,
    NEED,
    OF_ONE,
    PRESSURE_LEAST,
    Evidence,
    Judgements,
    Trouble,
    lasts,
)

SECOND = 1_000_000
SERVERS = {b"s%d" % n: 0 for n in range(12)}
NOW = 100 * SECOND
BAD, GOOD = Trouble.ERRORS, Trouble.NONE


def witness(
    hall: str, *bad: bytes, good: tuple[bytes, ...] = (b"s8", b"s9", b"s10"), at: int = NOW, name: str = ""
) -> Judgements:
    """One that has just had good answers, then as many failures as count of one."""
    w = Judgements(hall)
    w.listed(SERVERS)
    for server in good:
        w.saw(at - 1, server, GOOD)
    for server in bad * OF_ONE:
        w.saw(at, server, BAD)
    return w


def tells(hearer: Judgements, *witnesses: Judgements, now: int = NOW, number: int = 1, life: int = 1) -> None:
    for n, w in enumerate(witnesses):
        hearer.came(now, f"w{n}", life, w.tell(now, number))


def test_two_witnesses_of_two_halls_are_enough_and_one_is_not() -> None:
    here = witness("c")
    tells(here, witness("a", b"s1"))
    assert here.avoid(NOW) == {}
    tells(here, witness("a", b"s1"), witness("b", b"s1"))
    assert set(here.avoid(NOW)) == {b"s1"}


def test_the_own_failure_is_one_witness() -> None:
    here = witness("a", b"s1")
    assert here.avoid(NOW) == {}
    tells(here, witness("b", b"s1"))
    assert set(here.avoid(NOW)) == {b"s1"}


def test_one_witness_that_accuses_every_server_takes_none() -> None:
    here = witness("a")
    tells(here, witness("b", *SERVERS, good=()))
    assert here.avoid(NOW) == {}


def test_witnesses_that_fail_with_most_servers_tell_of_themselves() -> None:
    # A hall whose own link is sick, two balancers of it, and one sound witness elsewhere.
    here = witness("a")
    sick = [witness("b", *list(SERVERS)[:8]) for _ in range(2)]
    tells(here, *sick)
    assert here.avoid(NOW) == {}
    # A balancer that is sick itself does not count its own failures either.
    here = witness("a", *list(SERVERS)[:8])
    tells(here, witness("b", b"s1"))
    assert here.avoid(NOW) == {}


def test_a_server_that_is_bad_for_one_hall_is_avoided_by_that_hall_alone() -> None:
    accusers = [witness("a", b"s1"), witness("a", b"s1")]
    own, other = witness("a"), witness("b")
    tells(own, *accusers)
    tells(other, *accusers)
    assert set(own.avoid(NOW)) == {b"s1"} and other.avoid(NOW) == {}


def test_of_two_that_contradict_each_other_nothing_comes() -> None:
    here, one, two = witness("c"), witness("a", b"s1"), witness("b", b"s2")
    one.saw(NOW + 1, b"s2", GOOD)
    two.saw(NOW + 1, b"s1", GOOD)
    tells(one, two)
    tells(two, one)
    tells(here, one, two)
    assert here.avoid(NOW + 2) == one.avoid(NOW + 2) == two.avoid(NOW + 2) == {}


def test_a_good_answer_later_than_the_failures_takes_it_back_for_all() -> None:
    here, one, two = witness("c"), witness("a", b"s1"), witness("b", b"s1")
    tells(here, one, two)
    tells(one, one, two)
    assert here.avoid(NOW)
    one.saw(NOW + SECOND, b"s1", GOOD)
    assert one.urgent
    tells(here, one, now=NOW + SECOND, number=2)
    assert here.avoid(NOW + SECOND) == {}


def test_a_server_that_fails_now_and_then_is_not_bad() -> None:
    here, one, two, three = witness("c"), witness("a", b"s1"), witness("b", b"s1"), witness("c")
    three.saw(NOW + 1, b"s1", GOOD)
    assert not three.urgent
    tells(three, one, two, now=NOW + 2)  # others may avoid it now: what it knows, all should
    assert three.urgent
    tells(here, one, two, three, now=NOW + 2)
    assert here.avoid(NOW + 2) == {}


def test_the_first_good_answer_after_a_failure_is_told_and_the_next_is_not() -> None:
    one, two = witness("a", b"s1"), witness("b")
    tells(two, one)
    two.saw(NOW + 1, b"s1", GOOD)
    assert two.urgent
    changed = two.tell(NOW + 1, 1, whole=False)
    assert [s.server for s in changed.signs] == [short(b"s1")] and not two.urgent
    two.saw(NOW + 2, b"s1", GOOD)
    assert not two.urgent
    one.saw(NOW + 3, b"s1", BAD)  # it begins anew
    tells(two, one, now=NOW + 3, number=2)
    two.saw(NOW + 4, b"s1", GOOD)
    assert two.urgent


def test_fewer_failures_than_needed_take_nothing_and_one_witness_counts_no_more_than_its_part() -> None:
    here, one, two = witness("c"), witness("a", *[b"s1"] * 9), Judgements("b")
    two.listed(SERVERS)
    for server in (b"s8", b"s9", b"s1"):
        two.saw(NOW, server, BAD if server == b"s1" else GOOD)
    assert NEED == 2 * OF_ONE
    tells(here, one, two)
    assert here.avoid(NOW) == {}  # nine in a row of one and a chance one of another
    two.saw(NOW + 1, b"s1", BAD)
    tells(here, one, two, now=NOW + 1, number=2)
    assert set(here.avoid(NOW + 1)) == {b"s1"}


def test_what_has_changed_leaves_the_rest_as_it_was_told() -> None:
    good = tuple(SERVERS)[3:]
    here, one, two = witness("c"), *(witness(hall, b"s1", b"s2", good=good) for hall in "ab")
    tells(here, one, two)
    one.tell(NOW, 2, whole=False)
    one.saw(NOW + 1, b"s1", GOOD)
    here.came(NOW + 1, "w0", 1, one.tell(NOW + 1, 3, whole=False))
    assert set(here.avoid(NOW + 1)) == {b"s2"}
    here.came(NOW + 1, "w0", 2, one.tell(NOW + 1, 1, whole=False))  # another life has another past
    assert here.avoid(NOW + 1) == {}


def test_servers_of_a_hall_that_is_lost_are_no_news_and_say_nothing_of_the_witness() -> None:
    w = witness("a", *list(SERVERS)[:8])
    assert w.urgent and not w.sound(NOW)
    w.listed(SERVERS, list(SERVERS)[:8])
    assert not w.urgent and w.sound(NOW) and w.tell(NOW, 1).signs == ()


def test_a_judgement_dies_with_its_age_however_often_it_is_told() -> None:
    here, one, two = witness("c"), witness("a", b"s1"), witness("b", b"s1")
    first = here.avoid(NOW)
    for number in range(1, 40):
        now = NOW + number * SECOND // 4
        tells(here, one, two, now=now, number=number)
        assert bool(here.avoid(now)) == (now < max(here.avoid(now).values(), default=0))
    assert not first and here.avoid(NOW + lasts(OF_ONE)) == {}
    assert all(s.failures for s in one.tell(NOW, 99).signs)
    assert not [s for s in one.tell(NOW + COUNT_US, 99).signs if s.failures]


def test_what_is_heard_is_never_passed_on() -> None:
    here = witness("c")
    tells(here, witness("a", b"s1"), witness("b", b"s1"))
    assert here.avoid(NOW) and here.tell(NOW, 1).signs == ()


def test_failures_in_a_row_hold_longer_up_to_a_limit() -> None:
    here, one, two = witness("c"), witness("a", b"s1"), witness("b", b"s1")
    for w in (one, two):
        w.saw(NOW, b"s1", BAD)
    tells(here, one, two)
    assert 0.75 * 4 * HOLD_US <= here.avoid(NOW)[b"s1"] - NOW <= 4 * HOLD_US
    for w in (one, two):
        for _ in range(30):
            w.saw(NOW, b"s1", BAD)
    tells(here, one, two, number=2)
    assert 0.75 * HOLD_MOST_US <= here.avoid(NOW)[b"s1"] - NOW <= HOLD_MOST_US


def test_each_further_failure_in_a_row_holds_longer_whoever_met_it() -> None:
    here, many = witness("c"), []
    for n in range(6):
        w = Judgements("ab"[n % 2])
        w.listed(SERVERS)
        for server in (b"s8", b"s1"):
            w.saw(NOW, server, BAD if server == b"s1" else GOOD)
        many.append(w)
    for count in (4, 5, 6):
        tells(here, *many[:count], number=count)
        held = here.avoid(NOW)[b"s1"] - NOW
        assert 0.75 <= held / (HOLD_US << (count - NEED)) <= 1


def test_a_new_start_of_the_server_ends_it_and_a_late_witness_does_not_bring_it_back() -> None:
    here, one, two = witness("c", b"s1"), witness("a", b"s1"), witness("b", b"s1")
    tells(here, one, two)
    here.listed({**SERVERS, b"s1": NOW + SECOND})
    assert here.avoid(NOW + SECOND) == {}
    tells(here, one, two, now=NOW + SECOND, number=2)  # they have not heard of the start yet
    assert here.avoid(NOW + SECOND) == {}
    assert not [s for s in here.tell(NOW + SECOND, 1).signs if s.failures]


def test_no_more_than_a_share_of_the_servers_is_avoided() -> None:
    here = witness("c")
    good = tuple(b"g%d" % n for n in range(30))
    listed = {**SERVERS, **dict.fromkeys(good, 0)}
    here.listed(listed)
    witnesses = []
    for hall in "ab":
        w = Judgements(hall)
        w.listed({**listed, **{b"x%d" % n: 0 for n in range(30)}})
        for server in [b"x%d" % n for n in range(30)]:
            w.saw(NOW, server, GOOD)
        for server in [*SERVERS, *SERVERS]:
            w.saw(NOW, server, BAD)
        witnesses.append(w)
    here.listed(SERVERS)
    tells(here, *witnesses)
    assert len(here.avoid(NOW)) == int(AVOID_SHARE * len(SERVERS))


def test_fullness_and_slowness_are_told_and_decide_nothing() -> None:
    here = witness("c")
    for hall in "ab":
        w = witness(hall)
        w.saw(NOW, b"s1", Trouble.FULL)
        w.saw(NOW, b"s2", Trouble.SLOW)
        tells(here, w)
    assert here.avoid(NOW) == {}


def test_evidence_is_bounded_and_the_latest_is_told_first() -> None:
    w = Judgements("a")
    many = {b"m%d" % n: 0 for n in range(200)}
    w.listed(many)
    for n, server in enumerate(many):
        w.saw(NOW + n, server, BAD)
    signs = w.tell(NOW + 200, 1).signs
    assert len(signs) == MOST_SIGNS and signs[0].server == short(b"m199")


@pytest.mark.parametrize(
    ("reports", "together"),
    [
        ([], None),
        ([(0.9, 10)] * (PRESSURE_LEAST - 2), None),
        ([(0.5, 10)] * 9, 0.45),  # the own is 0, and a tenth of the weight
        ([(0.0, 10)] * 8 + [(1.0, 10)], 0.0),  # one that is alone with its trouble
        ([(0.2, 10)] * 9 + [(1.0, 60_000)], 0.2),  # however much it claims to serve
    ],
)
def test_pressure_is_what_most_see(reports: list[tuple[float, int]], together: float | None) -> None:
    here = Judgements("a")
    here.pressure, here.weight = 0.0, 10
    for n, (pressure, weight) in enumerate(reports):
        here.came(NOW, f"w{n}", 1, Evidence(pressure, weight, 5, 0, short(b"b"), number=1))
    found = here.together(NOW)
    assert found is None if together is None else found == pytest.approx(together, abs=0.06)
    assert here.together(NOW + 4 * SECOND) is None
