"""The lifecycle's table, and what its schedules promise, over every order of events."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadlb.lifecycle.lifecycle import (
    _NEXT,
    DRAINED_US,
    RECENT_US,
    CloseIdle,
    CloseUnfinished,
    CloseAfterAnswers,
    Event,
    GiveUp,
    Leave,
    Lifecycle,
    RefuseNew,
    State,
    StopListening,
    Wake,
)

TABLE = {
    State.STARTING: (State.SERVING, State.DRAINING, State.STARTING, State.LEAVING),
    State.SERVING: (State.SERVING, State.DRAINING, State.SERVING, State.LEAVING),
    State.DRAINING: (State.DRAINING, State.DRAINING, State.SERVING, State.LEAVING),
    State.LEAVING: (State.LEAVING,) * 4,
}
EVENTS = (Event.STARTED, Event.OUT_OF_SERVICE, Event.IN_SERVICE, Event.LEAVE)
TO = {
    State.STARTING: [],
    State.SERVING: [Event.STARTED],
    State.DRAINING: [Event.OUT_OF_SERVICE],
    State.LEAVING: [Event.LEAVE],
}


@pytest.mark.parametrize("state, at", list(itertools.product(State, range(4))))
def test_each_event_leads_where_the_table_says_and_twice_is_once(state: State, at: int) -> None:
    life = Lifecycle(2_000_000)
    for event in TO[state]:
        life.handle(0, event)
    assert life.state is state
    life.handle(1, EVENTS[at])
    assert life.state is TABLE[state][at]
    if life.state is not state:
        assert life.handle(2, EVENTS[at]) == []


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize("state, event", list(itertools.product(State, EVENTS)))
def test_only_the_operators_take_it_out_of_service_and_back(state: State, event: Event, shared: bool) -> None:
    # Guards against a process that is out of service and says yes at /healthz again when it is told to leave.
    for was_out in (False, True):
        life = Lifecycle(2_000_000, shared)
        for earlier in [Event.OUT_OF_SERVICE] * was_out + TO[state]:
            life.handle(0, earlier)
        was_healthy = life.healthy
        assert was_healthy is (not was_out and state is not State.DRAINING)
        life.handle(1, event)
        expected = {Event.OUT_OF_SERVICE: False, Event.IN_SERVICE: True}.get(event, was_healthy)
        assert life.healthy is expected and life.is_out_of_service is not expected
        for later_us in range(100_000, 5_000_000, 100_000):
            life.handle(later_us, Event.WAKE)
            assert life.healthy is expected


@pytest.mark.parametrize("orders", list(itertools.permutations([*EVENTS, Event.LEAVE])))
def test_health_follows_the_last_call_whatever_else_happens(orders: tuple[Event, ...]) -> None:
    life, expected = Lifecycle(2_000_000), True
    for now, event in enumerate(orders):
        life.handle(now, event)
        expected = {Event.OUT_OF_SERVICE: False, Event.IN_SERVICE: True}.get(event, expected)
        assert life.healthy is expected


def test_each_pair_of_state_and_event_is_decided_in_the_table() -> None:
    assert set(_NEXT) == set(itertools.product(State, EVENTS))
    assert set(EVENTS) == set(Event) - {Event.WAKE}


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize("before", [[], [Event.OUT_OF_SERVICE], [Event.IN_SERVICE]])
def test_who_is_told_to_leave_before_it_listens_ends_at_once_and_late_events_change_nothing(
    shared: bool, before: list[Event]
) -> None:
    life = Lifecycle(2_000_000, shared)
    for event in before:
        life.handle(0, event)
    assert life.handle(5, Event.LEAVE) == [CloseAfterAnswers(True), Leave(5, 5)]
    for now, event in enumerate([*EVENTS, Event.WAKE] * 2, 1_000_000):
        assert life.handle(now, event) == [] and life.state is State.LEAVING and not life.takes_clients


def test_a_wake_of_a_drain_that_is_over_is_no_step_of_the_next() -> None:
    life = Lifecycle(2_500_000)
    life.handle(0, Event.STARTED)
    (first,) = [a for a in life.handle(0, Event.OUT_OF_SERVICE) if isinstance(a, Wake)]
    life.handle(50_000, Event.IN_SERVICE)
    actions = life.handle(60_000, Event.OUT_OF_SERVICE)
    assert life.handle(first.at_us, Event.WAKE) == []
    seen = played(life, 60_000, actions, 60_000 + 5_000_000)
    for kind in (CloseUnfinished, GiveUp):
        ((at, _),) = [(at, a) for at, a in seen if isinstance(a, kind)]
        assert 60_000 + 3_400_000 <= at <= 60_000 + 3_500_000


@pytest.mark.parametrize("event", [Event.IN_SERVICE, Event.LEAVE])
def test_who_refuses_at_the_end_of_a_drain_takes_requests_again_when_that_is_over(event: Event) -> None:
    life = Lifecycle(2_500_000)
    life.handle(0, Event.STARTED)
    seen = played(life, 0, life.handle(0, Event.OUT_OF_SERVICE), 3_600_000)
    assert [a for _, a in seen if isinstance(a, RefuseNew)] == [RefuseNew(True)]
    assert RefuseNew(False) in life.handle(3_650_000, event)


def played(life: Lifecycle, now: int, actions: list[object], until: int) -> list[tuple[int, object]]:
    """What it does from there on, woken as it asks to be."""
    seen = [(now, a) for a in actions if not isinstance(a, Wake)]
    wakes = [a.at_us for a in actions if isinstance(a, Wake)]
    while wakes and wakes[0] <= until:
        now = wakes.pop(0)
        more = life.handle(now, Event.WAKE)
        seen += [(now, a) for a in more if not isinstance(a, Wake)]
        wakes += [a.at_us for a in more if isinstance(a, Wake)]
    return seen


@given(st.integers(0, 3_000_000))
def test_a_drain_leaves_nothing_idle_nor_recent_when_its_time_is_over(began: int) -> None:
    life = Lifecycle(2_500_000)
    life.handle(0, Event.STARTED)
    assert life.healthy
    seen = played(life, began, life.handle(began, Event.OUT_OF_SERVICE), began + DRAINED_US)
    assert not life.healthy and life.takes_clients
    assert seen[0] == (began, CloseAfterAnswers(True))
    idle = [(at - began, a.part) for at, a in seen if isinstance(a, CloseIdle)]
    assert idle[0][0] >= 300_000 and idle[0][1] < 0.2  # not at once, not in one instant
    assert any(part == 1.0 for at, part in idle if at < DRAINED_US - RECENT_US)
    assert idle[-1][1] == 1.0 and idle[-1][0] > DRAINED_US - 200_000
    assert [at < began + DRAINED_US for at, a in seen if isinstance(a, CloseUnfinished)] == [True]
    ((gives_up_at, gives_up),) = [(at, a) for at, a in seen if isinstance(a, GiveUp)]
    assert gives_up_at < began + DRAINED_US - 300_000
    assert gives_up.came_after_us < began + DRAINED_US - 2_000_000
    # What is read from then on until the 4 s are over could not be as old as that.
    life = Lifecycle(2_500_000)
    life.handle(0, Event.STARTED)
    seen = played(life, began, life.handle(began, Event.OUT_OF_SERVICE), began + 5_000_000)
    (on, off) = [(at, a.on) for at, a in seen if isinstance(a, RefuseNew)]
    assert on == (gives_up_at, True) and not off[1] and DRAINED_US < off[0] - began <= DRAINED_US + 200_000


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize("longest", [400_000, 3_000_000])
def test_who_leaves_is_done_before_it_is_killed(shared: bool, longest: int) -> None:
    life = Lifecycle(longest, shared)
    life.handle(0, Event.STARTED)
    actions = life.handle(0, Event.LEAVE)
    assert (StopListening() in actions) == shared  # what waits at a shared socket is the successor's
    seen = played(life, 0, actions, 10_000_000)
    stops = [at for at, a in seen if isinstance(a, StopListening)]
    assert len(stops) == 1 and not life.takes_clients
    # A request of 0.7 s after the signal has its time; the rest gets its answer before the process is killed.
    ((done, _),) = [(at, a) for at, a in seen if a == GiveUp(0)]
    assert longest + 300_000 <= done <= longest + 400_000
    assert [(at, a) for at, a in seen if isinstance(a, RefuseNew)] == [(done, RefuseNew(True))]
    by = [a for _, a in seen if isinstance(a, Leave)]
    assert max(a.by_us for a in by) < longest + 700_000 < min(a.written_by_us for a in by)
    last_idle = max(at for at, a in seen if a == CloseIdle(1.0))
    assert last_idle >= stops[0]


@pytest.mark.parametrize("late, spare", [(0, 400_000), (250_000, 150_000), (9_000_000, 100_000)])
@pytest.mark.parametrize("shared", [False, True])
def test_a_signal_that_is_seen_late_leaves_the_kill_no_sooner(shared: bool, late: int, spare: int) -> None:
    life = Lifecycle(2_500_000, shared)
    life.handle(0, Event.STARTED)
    seen = played(life, 0, life.handle(0, Event.LEAVE, late), 10_000_000)
    assert [at for at, a in seen if a == GiveUp(0)] == [2_500_000 + spare]
    if not shared:  # clients go on coming for a while, whenever the signal came
        assert [at for at, a in seen if isinstance(a, StopListening)] == [500_000]


@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 2_000_000)), max_size=12))
def test_whatever_comes_in_whatever_order_there_is_one_state_and_no_way_back(
    events: list[tuple[Event, int]],
) -> None:
    life, now, left, listening, out = Lifecycle(1_000_000), 0, False, True, False
    wakes: list[int] = []
    for event, pause in [*events, (Event.LEAVE, 5_000_000)]:
        for at in sorted(w for w in wakes if w <= now + pause):
            for action in life.handle(at, Event.WAKE):
                listening &= not isinstance(action, StopListening)
        now += pause
        actions = life.handle(now, event)
        wakes = [a.at_us for a in actions if isinstance(a, Wake)]
        left |= event is Event.LEAVE
        assert (life.state is State.LEAVING) == left
        out = {Event.OUT_OF_SERVICE: True, Event.IN_SERVICE: False}.get(event, out)
        assert life.healthy is not out and (life.state is not State.DRAINING or out)
    assert not life.takes_clients
