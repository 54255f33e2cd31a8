"""Parts of membership by themselves: the reader of its messages, admission, rumours, one that lies."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadlb.membership import messages as say
from roadlb.membership.admission import ALL_BURST, LATE_US, SENDER_BURST, WINDOW, Admission, Verdict
from roadlb.membership.events import (
    Joined,
    Left,
    Member,
    Odd,
    Received,
    Start,
    State,
    Suspected,
    Tell,
    first_incarnation,
)
from roadlb.membership.members import Members
from roadlb.membership.rumours import Rumours
from roadlb.membership.view import GONE_KEEP_US, GONE_MOST, View

ME = Member("me", "10.0.0.1", 7946, "hall-a", first_incarnation(1_000))
OTHER = Member("other", "10.0.0.2", 7946, "hall-b", first_incarnation(2_000))
THIRD = Member("third", "10.0.0.3", 7946, "hall-b", first_incarnation(3_000))
HEAD = say.record(OTHER) + say.digest(2, 7)
WHOLE = HEAD + say.numbered(say.PING, 1) + say.ask(2, THIRD) + say.pull([3] * 64) + say.update(THIRD, "me")


@settings(deadline=None)
@given(st.binary(max_size=1_200))
def test_noise_raises_the_readers_own_error_or_is_read(noise: bytes) -> None:
    for data in (noise, HEAD + noise):
        try:
            said = say.read(data)
        except say.Garbled:
            continue
        assert len(said.messages) <= len(data)


@settings(deadline=None)
@given(st.integers(0, len(WHOLE) - 1), st.integers(1, 255))
def test_a_changed_byte_harms_nobody_but_what_it_says(at: int, by: int) -> None:
    members = Members(ME, [], Random(1))
    members.handle(0, Start())
    changed = WHOLE[:at] + bytes([WHOLE[at] ^ by]) + WHOLE[at + 1 :]
    for data in (changed, WHOLE[:at]):
        members.handle(1_000, Received("other", OTHER.incarnation, data, True))
    assert len(members.view) <= 4


def test_what_is_written_is_read() -> None:
    said = say.read(WHOLE)
    assert (said.host, said.port, said.hall, said.count, said.digest) == ("10.0.0.2", 7946, "hall-b", 2, 7)
    assert said.messages == (
        say.Numbered(say.PING, 1),
        say.Ask(2, "10.0.0.3", 7946),
        say.Pull((3,) * 64),
        say.Update(THIRD, "me"),
    )


def told(members: Members, now: int, *parts: bytes, trusted: bool = True) -> list[Any]:
    data = HEAD + b"".join(parts)
    actions = members.handle(now, Received("other", OTHER.incarnation, data, trusted))
    return [a.news if isinstance(a, Tell) else a for a in actions]


def begun() -> Members:
    members = Members(ME, [], Random(1))
    members.handle(0, Start())
    told(members, 1_000, say.update(THIRD))
    return members


def test_one_who_says_that_a_member_is_dead_is_taken_for_one_who_doubts() -> None:
    members = begun()
    dead = Member("third", "10.0.0.3", 7946, "hall-b", THIRD.incarnation, State.DEAD)
    news = told(members, 2_000, say.update(dead))
    assert [n.by for n in news if isinstance(n, Suspected)] == ["other"]
    assert not [n for n in news if isinstance(n, Left)] and len(members.view) == 3
    assert [n for n in told(members, 3_000, say.update(dead)) if isinstance(n, Left)], "doubted already"


def test_no_word_counts_of_one_that_has_not_proved_that_it_runs() -> None:
    members = Members(ME, [], Random(1))
    members.handle(0, Start())
    news = told(members, 1_000, say.update(THIRD), say.numbered(say.PING, 1), trusted=False)
    assert not [n for n in news if isinstance(n, Joined)] and Odd("unproved") in news
    assert len(members.view) == 1
    news = told(members, 2_000, say.numbered(say.ACK, 12345), trusted=False)
    assert not [n for n in news if isinstance(n, Joined)], "a number that was never asked"


def test_a_view_takes_no_more_than_it_may() -> None:
    members = Members(ME, [], Random(1), most=2)
    members.handle(0, Start())
    assert Odd("crowded") in told(members, 1_000, say.update(THIRD))
    assert len(members.view) == 2


def test_the_dead_are_kept_for_a_while_and_not_without_end() -> None:
    view = View(Random(1))
    for i in range(GONE_MOST + 50):
        view.put(i, Member(f"m{i}", "h", 1, "", 1 << 16, State.DEAD))
    view.forget(GONE_MOST + 50)
    assert len(view.entries) == GONE_MOST
    view.forget(GONE_KEEP_US * 2)
    assert not view.entries and view.digest == 0


@settings(deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 1)), max_size=80))
def test_two_views_with_the_same_members_have_the_same_digest(steps: list[tuple[int, int]]) -> None:
    views = View(Random(1)), View(Random(2))
    final: dict[int, Member] = {}
    for number, gone in steps:
        final[number] = Member(f"m{number}", "h", 1, "", number << 16, State.DEAD if gone else State.ALIVE)
        views[0].put(0, final[number])
    for member in reversed(list(final.values())):
        views[1].put(0, member)
    assert views[0].digest == views[1].digest and views[0].buckets == views[1].buckets
    assert set(views[0].names_there()) == set(views[1].names_there())


def test_a_rumour_is_told_a_bounded_number_of_times_the_newest_first() -> None:
    rumours = Rumours()
    rumours.add("a", b"a" * 30)
    assert rumours.take(30, 3) == [b"a" * 30]
    rumours.add("b", b"b" * 30)
    assert rumours.take(30, 3) == [b"b" * 30]
    assert [len(rumours.take(100, 3)) for _ in range(3)] == [2, 2, 0]


NAME, INCARNATION = "n", first_incarnation(5)


def proved() -> Admission:
    admission = Admission()
    admission.trust(NAME, 5)
    return admission


@settings(deadline=None)
@given(st.lists(st.integers(0, 40), max_size=60))
def test_no_number_passes_twice(numbers: list[int]) -> None:
    admission = proved()
    passed = [n for n in numbers if admission.judge(0, NAME, INCARNATION, n) is Verdict.PASS]
    assert len(passed) == len(set(passed))


def test_numbers_may_come_late_but_not_by_much_and_not_from_before_the_first() -> None:
    admission = proved()

    def judged(now: int, number: int) -> Verdict:
        return admission.judge(now, NAME, INCARNATION, number)

    assert judged(0, 100) is Verdict.PASS
    assert judged(0, 99) is Verdict.REPLAY, "from before it was proved"
    assert judged(0, 200) is Verdict.PASS and judged(0, 150) is Verdict.PASS
    assert judged(0, 200 + WINDOW) is Verdict.PASS and judged(0, 200) is Verdict.REPLAY
    assert judged(LATE_US, 201 + WINDOW) is Verdict.PASS
    assert judged(2 * LATE_US, 202 + WINDOW) is Verdict.PASS
    assert judged(2 * LATE_US, 199 + WINDOW) is Verdict.REPLAY, "seconds late"


@pytest.mark.parametrize("life", [4, 6])
def test_another_life_than_the_proved_one_has_to_prove_itself_and_so_has_one_that_was_gone(life: int) -> None:
    admission = proved()
    assert admission.judge(0, NAME, first_incarnation(life), 1) is Verdict.ASK
    assert admission.judge(0, NAME, INCARNATION, 1) is Verdict.PASS
    admission.distrust(NAME)
    assert admission.judge(0, NAME, INCARNATION, 2) is Verdict.ASK


def test_one_that_floods_is_dropped_and_the_others_are_not_until_all_together_do() -> None:
    admission = proved()
    verdicts = [admission.judge(0, NAME, INCARNATION, n) for n in range(SENDER_BURST + 10)]
    assert verdicts[-10:] == [Verdict.FLOOD] * 10 and Verdict.FLOOD not in verdicts[:SENDER_BURST]
    assert admission.judge(0, "other", INCARNATION, 1) is Verdict.ASK
    several = [admission.judge(0, f"n{n}", INCARNATION, 1) for n in range(ALL_BURST)]
    assert several.count(Verdict.FLOOD) == SENDER_BURST + 1
