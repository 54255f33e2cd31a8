"""The node's inside against numbers worked out by hand: times in microseconds, work of a standard core."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_play import MS, Play

from roadlb.lab.model.cache import KeyCache
from roadlb.lab.model.events import (
    Ail,
    Answer,
    Connected,
    Disconnected,
    Drain,
    Fell,
    Load,
    Pause,
    Probe,
    ProbeAnswer,
    Resume,
    Slow,
    Stop,
    Withdrawn,
)
from roadlb.lab.model.spec import NodeSpec, Spoil

FOR_EVER = 10**9


def test_two_cores_serve_two_at_once_and_the_third_waits_for_a_slot():
    p = Play(cores=2, speed=0.5, slots=2)
    a, b, c = p.ask(0, 10 * MS), p.ask(5 * MS, 10 * MS), p.ask(6 * MS, 1 * MS)
    p.until(FOR_EVER)
    assert p.began() == [(0, a), (5 * MS, b), (20 * MS, c)]
    assert p.answers() == [(20 * MS, a, 200), (22 * MS, c, 200), (25 * MS, b, 200)]


def test_more_slots_than_cores_share_the_cores_equally():
    # Three on two cores at 2/3 each from 0; after 9 ms the small one is done, and the others have 6 of 10.
    p = Play(cores=2, slots=3)
    a, b, c = p.ask(0, 10 * MS), p.ask(0, 10 * MS), p.ask(0, 6 * MS)
    p.until(FOR_EVER)
    # 666,666 units a microsecond: 6 ms of work take 9,000.009 microseconds, told in whole ones.
    assert p.answers() == [(9_001, c, 200), (13_001, a, 200), (13_001, b, 200)]


def test_room_full_turns_away_unseen_and_holds_no_more_than_its_slots_and_room():
    p = Play(cores=1, slots=1, room=2)
    asked = [p.ask(0) for _ in range(4)]
    assert p.answers() == [(0, asked[3], 503)]
    assert p.log[-1][1].kind == "unprocessed"
    p.until(FOR_EVER)
    assert [c for _, c in p.began()] == asked[:3]


def test_crowded_it_is_less_efficient():
    # Six held on one core are 2 beyond 4: efficiency 1 / (1 + 0.25 * 2), then 1 / 1.25, then 1.
    p = Play(cores=1, slots=1, room=9, choke=0.25, choke_at=4.0)
    for _ in range(6):
        p.ask(0, 6 * MS)
    p.until(FOR_EVER)
    ends = [at for at, _, _ in p.answers()]
    assert ends[0] == pytest.approx(9 * MS, abs=2)
    assert ends[1] - ends[0] == pytest.approx(7.5 * MS, abs=2)
    assert [b - a for a, b in zip(ends[1:], ends[2:], strict=False)] == [6 * MS] * 4


def test_warms_evenly_by_time_and_never_below_the_even_line():
    p = Play(warm=False, cores=1, cold_share=0.2, warm_us=10_000 * MS, falls=False)
    for at in range(0, 10_000 * MS, 333 * MS):
        even = 0.2 + 0.8 * at / (10_000 * MS)
        assert even <= p.node.capacity(at) <= even + 0.8 * 20 * MS / (10_000 * MS) + 1e-9
    assert p.node.capacity(10_000 * MS) == 1.0
    # From 0 to 1 s it does the sum of its fifty steps: 0.2016 + 0.0016 * k for 20 ms each = 0.2408 s.
    p.ask(0, 240_800)
    p.until(FOR_EVER)
    assert p.answers()[0][0] == pytest.approx(1_000 * MS, abs=2)


def test_warms_by_work_sooner_than_by_time():
    p = Play(warm=False, cores=1, cold_share=0.5, warm_us=100_000 * MS, warm_work_us=100 * MS, falls=False)
    p.ask(0, 50 * MS)  # takes 100 ms at about 0.5
    p.until(FOR_EVER)
    assert p.node.capacity(101 * MS) == 0.75  # half the work that warms it is done


def test_known_key_takes_less_work_until_it_is_too_old_or_pushed_out():
    p = Play(cores=1, cache_keys=2, cache_us=1_000 * MS, cache_gain=0.4)
    for at, key in ((0, "a"), (100, "a"), (200, "b"), (300, "c"), (400, "b"), (500, "a"), (1_600, "b")):
        p.ask(at * MS, 10 * MS, key)
    p.until(FOR_EVER)
    took = [end - began for (end, _, _), (began, _) in zip(p.answers(), p.began(), strict=True)]
    assert took == [10 * MS, 6 * MS, 10 * MS, 10 * MS, 6 * MS, 10 * MS, 10 * MS]


def test_cache_forgets_the_longest_unserved_and_what_is_too_old():
    cache = KeyCache(2, 1_000)
    for at, key in enumerate("abac"):
        cache.meet(at, key)
    assert [cache.knows(1_002, key) for key in "abc"] == [True, False, True]
    assert not cache.knows(1_003, "a") and len(cache) == 2


def test_new_connection_costs_work_and_time_and_a_full_table_takes_capacity():
    p = Play(cores=1, connections=2, connection_work_us=2 * MS, connection_wait_us=3 * MS, table_tax=0.2)
    first = p.ask(0, 9 * MS)  # one of two open: 0.9 of its speed
    p.until(FOR_EVER)
    shaken = 2_223  # 2 ms at 0.9
    assert p.began() == [(shaken + 3 * MS, first)]
    assert p.answers() == [(shaken + 3 * MS + 10 * MS, first, 200)]
    p.ask(FOR_EVER)
    over = p.ask(FOR_EVER)
    assert p.log[-1] == (FOR_EVER, Answer(over, f"r{over}", 503, "unprocessed", Load(0.0, 0.0), closes=True))
    p.at(FOR_EVER, Disconnected(first))
    p.ask(FOR_EVER)
    assert len(p.answers()) == 2  # there is room for it now


def test_overdue_and_cancelled_work_that_waits_is_dropped_unrun():
    p = Play(cores=1, slots=1)
    a = p.ask(0, 10 * MS)
    b, c = p.ask(0, left_us=5 * MS), p.ask(0)
    p.at(1 * MS, Withdrawn(c))
    d = p.ask(2 * MS)
    p.until(FOR_EVER)
    assert [conn for _, conn in p.began()] == [a, d]
    assert (10 * MS, b, 504) in p.answers()
    assert all(conn != c for _, conn, _ in p.answers())


@pytest.mark.parametrize("stops, next_begins", [(True, 4 * MS), (False, 10 * MS)])
def test_cancelled_running_work_stops_or_goes_on_by_spec(stops, next_begins):
    p = Play(cores=1, slots=1, stops_running=stops)
    a, b = p.ask(0), p.ask(1 * MS)
    p.at(4 * MS, Withdrawn(a))
    p.until(FOR_EVER)
    assert p.began() == [(0, a), (next_begins, b)]
    assert p.answers() == [(next_begins + 10 * MS, b, 200)]


def test_overdue_running_work_stops_where_the_spec_says_so():
    p = Play(cores=1, slots=1, stops_running=True)
    a, b = p.ask(0, 10 * MS, left_us=7 * MS), p.ask(0, 1 * MS)
    p.until(FOR_EVER)
    assert p.answers() == [(7 * MS, a, 500), (8 * MS, b, 200)]


def test_drain_finishes_what_it_has_and_turns_new_work_and_probes_away():
    p = Play(cores=1, slots=1)
    a, b = p.ask(0), p.ask(0)
    p.at(1 * MS, Drain())
    c = p.ask(2 * MS)
    p.at(3 * MS, Probe(c))
    assert p.log[-1] == (3 * MS, ProbeAnswer(c, 503, Load(0.0, 1.0)))
    p.until(FOR_EVER)
    assert p.answers() == [(2 * MS, c, 503), (10 * MS, a, 200), (20 * MS, b, 200)]
    assert p.node.idle


@pytest.mark.parametrize("deep, answered", [(False, 3 * MS), (True, 11 * MS)])
def test_shallow_probe_is_answered_beside_the_queue_and_a_deep_one_in_its_turn(deep, answered):
    p = Play(cores=1, slots=1, probe_work_us=1 * MS, probe_deep=deep)
    p.ask(0, 10 * MS)
    p.at(1 * MS, Connected(99))
    p.at(1 * MS, Probe(99))  # a shallow one shares the core
    p.until(FOR_EVER)
    assert [at for at, a in p.log if isinstance(a, ProbeAnswer)] == [answered]


def test_probes_beyond_the_cap_of_a_second_are_turned_away():
    p = Play(probes_per_s=2)
    p.at(0, Connected(1))
    for at in (0, 500 * MS, 999 * MS, 1_000 * MS):
        p.at(at, Probe(1))
        p.until(at)
    assert [a.status for _, a in p.log] == [200, 200, 503, 200]


def test_falls_above_exactly_the_budget_of_a_window_and_not_at_it():
    # Capacity 2 * 0.25 * 0.2 (warming so slowly that it stays): 0.1 s a second, three times that is 300 ms.
    cold = {"warm": False, "cores": 2, "speed": 0.25, "cold_share": 0.2, "warm_us": 10**15, "room": 0}
    p = Play(**cold)
    for _ in range(30):
        p.ask(0, 10 * MS)  # all but two are turned away, and count all the same
    assert p.node.alive
    p.ask(999_999, 1)
    assert p.log[-1] == (999_999, Fell(300_001, 100 * MS))
    assert not p.node.alive and p.node.handle(10**6, Drain()) == []
    p = Play(**cold)
    for _ in range(30):
        p.ask(0, 10 * MS)
    p.ask(1_000 * MS, 300 * MS)  # the first 300 ms have just left the window
    assert p.node.alive
    p.ask(1_500 * MS, 1)
    assert not p.node.alive


def test_one_request_counts_for_no_more_than_the_spec_says():
    p = Play(
        warm=False, cores=1, cold_share=0.2, warm_us=10**15, fall_each_us=300 * MS, fall_slack_us=10 * MS
    )
    p.ask(0, 9_000 * MS)
    p.ask(0, 310 * MS)
    assert p.node.alive  # 300 + 300 ms, of 600 + 10
    p.ask(0, 10 * MS)
    p.ask(0, 1)
    assert p.log[-1][1] == Fell(610_001, 200 * MS)


def test_a_warm_node_is_not_pushed_over():
    p = Play(cores=1, cold_share=0.2, warm_us=10**9, room=0)
    for _ in range(100):
        p.ask(0, 1_000 * MS)
    assert p.node.alive


def test_pause_stops_the_work_and_what_was_in_work_goes_on_after():
    p = Play(cores=1, slots=1)
    a = p.ask(0, 10 * MS)
    p.at(4 * MS, Pause())
    b = p.ask(5 * MS, 1 * MS)
    assert p.began() == [(0, a)]
    p.at(1_004 * MS, Resume())
    p.until(FOR_EVER)
    assert p.answers() == [(1_010 * MS, a, 200), (1_011 * MS, b, 200)]
    assert p.began() == [(0, a), (1_010 * MS, b)]


def test_orders_are_never_begun_twice_nor_when_overdue_across_a_pause():
    p = Play(cores=1, slots=1)
    running, waiting, patient = p.ask(0), p.ask(0, left_us=500 * MS), p.ask(0, left_us=5_000 * MS)
    p.at(1 * MS, Pause())
    unread, late = p.ask(2 * MS, left_us=5_000 * MS), p.ask(3 * MS, left_us=500 * MS)
    p.at(1_000 * MS, Resume())
    p.until(FOR_EVER)
    assert [c for _, c in p.began()] == [running, patient, unread]
    assert {(c, s) for _, c, s in p.answers()} == {
        (running, 200),
        (waiting, 504),
        (patient, 200),
        (unread, 200),
        (late, 504),
    }


def test_after_a_pause_requests_are_read_before_their_callers_farewells():
    # With a slot free, a request may begin though its caller hung up meanwhile: "it may have run".
    p = Play(cores=1, slots=1)
    p.at(0, Pause())
    a = p.ask(1 * MS)
    p.at(2 * MS, Disconnected(a))
    p.at(1_000 * MS, Resume())
    p.until(FOR_EVER)
    assert p.began() == [(1_000 * MS, a)] and p.answers() == []


def test_first_report_after_a_pause_tells_the_queue_as_it_is_now():
    p = Play(cores=1, slots=1, report_period_us=300 * MS, report_delay_us=100 * MS, report_noise=0.1)
    asked = [p.ask(0, 500 * MS, left_us=600 * MS) for _ in range(9)]
    p.until(450 * MS)
    p.at(450 * MS, Pause())
    late = p.ask(500 * MS, left_us=100 * MS)
    p.at(3_000 * MS, Resume())
    dropped = [a for _, a in p.log if isinstance(a, Answer)]
    assert {a.connection for a in dropped} == {*asked[1:], late}
    assert {a.load for a in dropped} == {Load(0.0, 0.0)}


def test_reports_are_late_and_refreshed_by_period():
    p = Play(cores=1, slots=1, report_period_us=100 * MS, report_delay_us=30 * MS)
    for _ in range(5):
        p.ask(0, 47 * MS)
    p.until(FOR_EVER)
    queues = [a.load.queue for _, a in p.log if isinstance(a, Answer)]
    # The look falls between 0 and 100 ms (seed 1: 13 ms) with four waiting; the next at 113 with two.
    assert queues == [4.0, 4.0, 4.0, 2.0, 2.0]


def test_errors_and_spoilt_answers_come_after_the_work_and_eps_counts_the_last_second():
    p = Play(cores=1, error_share=1.0)
    for at in (0, 100, 1_050):
        p.ask(at * MS)
    p.until(FOR_EVER)
    told = [(a.status, a.load.eps) for _, a in p.log if isinstance(a, Answer)]
    assert told == [(500, 1), (500, 2), (500, 2)]
    p = Play(cores=1)
    p.at(0, Ail(spoilt_share=1.0, spoilt_kinds=(Spoil.HUGE,)))
    p.ask(0)
    p.until(FOR_EVER)
    assert p.log[-1][1].kind == "huge" and p.log[-1][1].spoil is Spoil.HUGE


def test_slow_machine_and_dead_process():
    p = Play(cores=1, slots=1)
    a = p.ask(0, 10 * MS)
    p.at(5 * MS, Slow(0.1))
    p.until(30 * MS)
    p.at(30 * MS, Slow(1.0))  # 5 + 2.5 of 10 ms are done
    p.until(FOR_EVER)
    assert p.answers() == [(32_500, a, 200)]
    p.ask(FOR_EVER)
    p.at(FOR_EVER, Stop())
    p.until(2 * FOR_EVER)
    assert len(p.answers()) == 1


def test_late_ticks_slow_nothing():
    exact, late = Play(cores=1, slots=1), Play(cores=1, slots=1)
    for p in (exact, late):
        for _ in range(3):
            p.ask(0, 10 * MS)
    exact.until(FOR_EVER)
    late.wake = None  # no tick comes at all until the last end
    late.at(30 * MS, Slow(1.0))
    assert [c for _, c, _ in late.answers()] == [c for _, c, _ in exact.answers()] == [1, 2, 3]
    assert exact.answers()[-1][0] == 30 * MS


def test_spec_names_the_key_the_value_and_the_remedy():
    with pytest.raises(ValueError, match="cache_gain: 1.5 .* give 0 to 1"):
        NodeSpec(cache_gain=1.5)


STEP = st.tuples(st.integers(0, 30 * MS), st.sampled_from("rrrrwdpx"), st.integers(1, 40 * MS))


@settings(max_examples=120, deadline=None)
@given(st.lists(STEP, max_size=40), st.integers(1, 3), st.integers(1, 4), st.integers(0, 4), st.booleans())
def test_each_begins_once_and_slots_room_and_cores_are_kept(steps, cores, slots, room, stops):
    p = Play(cores=cores, slots=slots, room=room, stops_running=stops)
    now, work, paused_us, paused = 0, {}, 0, False
    for gap, what, size in steps:
        now += gap
        paused_us += gap if paused else 0
        if what == "r":
            work[p.ask(now, size, left_us=50 * MS)] = size
        elif what in "wd" and work:
            p.at(now, (Withdrawn if what == "w" else Disconnected)(size % p.connections + 1))
        elif what in "px":
            paused = what == "p"
            p.at(now, Pause() if paused else Resume())
        assert p.node.running <= slots and p.node.waiting <= room
    p.at(now, Resume())
    p.until(FOR_EVER)
    assert p.node.idle and not p.node.running
    began, answers = [c for _, c in p.began()], [a for _, a in p.log if isinstance(a, Answer)]
    assert len(set(began)) == len(began)
    assert len({a.connection for a in answers}) == len(answers)
    assert all((a.connection in began) == (a.kind != "unprocessed") for a in answers)
    if began:
        span = max(now, p.log[-1][0]) - paused_us
        assert sum(work[a.connection] for a in answers if a.status == 200) <= cores * span
