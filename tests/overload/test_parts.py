"""Pulse, meter, cost and controller, each on a list of readings made by hand."""

from __future__ import annotations

import os
import resource
import socket
import time

import pytest

from roadlb.overload import readings
from roadlb.overload.controller import MIN_KEPT_BY_CPU, MIN_KEPT, Action, Controller, Shed, Tighten
from roadlb.overload.cost import RequestCost
from roadlb.overload.meter import Limits, Meter, Reading
from roadlb.overload.loop_monitor import BEAT_INTERVAL_US, LoopMonitor

T = 1_000_000


def test_a_sound_loop_is_not_late_and_reads_what_just_came() -> None:
    pulse, now = LoopMonitor(T), T
    for _ in range(10):
        now = pulse.beat(now + BEAT_INTERVAL_US + 300)
        assert pulse.late_us(now - 1) == 0 and pulse.earliest_arrival_us(now - 1) == now - 1
        now -= BEAT_INTERVAL_US
    assert pulse.take_delay(now).max_us == 300


def test_a_stop_shows_in_the_first_callback_and_in_the_turn_after_its_beat() -> None:
    # With libuv's order a stop may end between two turns: the beat then comes before what was sent meanwhile.
    pulse = LoopMonitor(T)
    now = T + 300_000
    assert pulse.late_us(now) == 290_000 and pulse.earliest_arrival_us(now) == T
    pulse.beat(now)
    assert pulse.late_us(now + 1) == 0 and pulse.earliest_arrival_us(now + 1) == T
    now = pulse.beat(now + BEAT_INTERVAL_US)
    assert pulse.earliest_arrival_us(now) == now


def test_delays_are_kept_per_interval_and_one_that_lasts_is_not_counted_twice() -> None:
    pulse = LoopMonitor(T)
    first = pulse.take_delay(T + BEAT_INTERVAL_US + 40_000)  # late by 40 ms, and going on
    assert (first.max_us, first.mean_us) == (40_000, pytest.approx(40_000**2 / 2 / 50_000))
    pulse.beat(T + BEAT_INTERVAL_US + 100_000)
    second = pulse.take_delay(T + BEAT_INTERVAL_US + 100_000)
    assert second.max_us == 100_000
    assert second.mean_us == pytest.approx((100_000**2 - 40_000**2) / 2 / 60_000)
    assert pulse.take_delay(T + 2 * BEAT_INTERVAL_US + 100_000).max_us == 0


def test_a_reading_holds_shares_of_the_limits_since_the_last_one() -> None:
    used, counts = iter([5_000, 40_000, 40_000]), iter([(10, 1), (110, 41), (110, 41)])
    meter = Meter(
        T,
        LoopMonitor(T),
        Limits(0.7, 64, 1_000),
        lambda: next(used),
        lambda: 16 << 20,
        lambda: 250,
        lambda: next(counts),
    )
    r = meter.read(T + 100_000)
    assert (r.interval_us, r.cpu_share, r.memory_share, r.descriptor_share) == (
        100_000,
        pytest.approx(0.5),
        0.25,
        0.25,
    )
    assert (r.arrived_count, r.refused_count, r.late_max_us) == (100, 40, 90_000)
    assert meter.read(T + 100_000).cpu_share == 0


def test_no_limit_has_no_share_and_a_negative_one_is_named() -> None:
    def meter(limits: Limits) -> Meter:
        return Meter(T, LoopMonitor(T), limits, lambda: 1, lambda: 1, lambda: 1, lambda: (0, 0))

    r = meter(Limits(0.0)).read(T + 1)
    assert (r.cpu_share, r.memory_share, r.descriptor_share) == (0, 0, 0)
    with pytest.raises(ValueError, match="sockets"):
        meter(Limits(1.0, 64, -1))


def test_readings_of_this_process() -> None:
    before = readings.cpu_used_us()
    while time.process_time_ns() // 1000 < before + 3_000:
        pass
    assert readings.cpu_used_us() >= before + 3_000
    most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    assert 4 << 20 < readings.memory_bytes() <= most + (8 << 20)


def test_memory_is_told_without_proc_too(monkeypatch: pytest.MonkeyPatch) -> None:
    def no_proc(*_: object) -> None:
        raise OSError

    monkeypatch.setattr("builtins.open", no_proc)
    assert readings.memory_bytes() > 4 << 20


@pytest.mark.skipif(os.uname().sysname != "Linux", reason="only Linux tells")
def test_the_kernel_tells_how_long_bytes_have_waited() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        connection, _ = server.accept()
        with client, connection:
            sent = time.monotonic_ns()
            client.sendall(b"x")
            time.sleep(0.05)
            waited, most = readings.since_last_receive_us(connection), (time.monotonic_ns() - sent) // 1000
            assert 40_000 < waited <= most + 10_000
    assert readings.since_last_receive_us(connection) == 0, "closed"


def calm(cpu: float = 0.5, late: float = 0.0, interval: int = 100_000, **more: float) -> Reading:
    asked = int(cpu * interval * 0.01)
    return Reading(interval, cpu, int(2 * late), late, arrived_count=asked, **more)  # type: ignore[arg-type]


def feed(c: Controller, *events: Reading) -> list[Action]:
    return [action for i, r in enumerate(events) for action in c.handle(T + i, r)]


def test_the_first_reading_tells_the_module_that_nothing_is_short() -> None:
    # Only from then on does it give up what no answer can reach in time.
    c = Controller(500_000, 0.2)
    assert feed(c, calm(), calm()) == [Shed(0.0)]


def test_cpu_near_its_limit_sheds_before_anything_is_late_and_stops_where_refusing_costs_more() -> None:
    c = Controller(500_000, 0.2)
    feed(c, *[calm() for _ in range(20)])
    assert all(isinstance(a, Shed) for a in feed(c, *[calm(1.0) for _ in range(8)])) and 0.2 < c.share < 0.7
    feed(c, *[calm(1.0) for _ in range(50)])
    assert c.share == 1 - MIN_KEPT_BY_CPU


def test_lateness_sheds_more_than_cpu_may_and_the_rest_comes_back_while_the_cpu_is_full() -> None:
    c = Controller(500_000, 0.2)
    feed(c, *[calm(1.0, 400_000) for _ in range(30)])
    assert c.share == 1 - MIN_KEPT
    feed(c, *[calm(1.0) for _ in range(30)])
    assert c.share == 1 - MIN_KEPT_BY_CPU, "it starved orders for as long as clients kept asking"


def test_one_late_reading_is_a_stop_by_the_host_and_two_are_not() -> None:
    c = Controller(500_000, 0.2)
    feed(c, *[calm() for _ in range(20)], calm(0.1, 150_000, 400_000), *[calm() for _ in range(3)])
    assert c.share == 0
    feed(c, calm(0.5, 150_000), calm(0.5, 150_000), calm(0.5, 150_000))
    assert c.share > 0.3


def test_it_comes_back_within_two_seconds() -> None:
    c = Controller(500_000, 0.2)
    feed(c, *[calm(1.0, 400_000) for _ in range(30)], *[calm(0.3) for _ in range(20)])
    assert c.share == 0


@pytest.mark.parametrize("start", [calm(0.3), Reading(100_000, 0.9, arrived_count=60)], ids=["calm", "busy"])
def test_minutes_of_rubbish_do_not_make_requests_seem_dear(start: Reading) -> None:
    cost = RequestCost(200_000, 0.92, 0.2)
    for r in [start] * 15 + [calm(0.3)] * 60:
        cost.requests_cpu_share(r)
    rubbish = Reading(100_000, 1.0, arrived_count=calm(0.3).arrived_count)
    shares = [cost.requests_cpu_share(rubbish) for _ in range(2_000)]
    assert max(shares[20:]) < 0.5
    assert cost.requests_cpu_share(Reading(100_000, 1.0, arrived_count=calm(1.0).arrived_count)) > shares[-1]


def test_short_of_memory_or_descriptors_is_told_once_and_ends_well_below() -> None:
    c = Controller(500_000, 0.2)
    steps = [(0.8, 0.2), (0.9, 0.2), (0.95, 0.9), (0.8, 0.9), (0.8, 0.8), (0.7, 0.7), (0.8, 0.8)]
    told = [feed(c, calm(memory_share=m, descriptor_share=d)) for m, d in steps]
    assert told[0] == [Shed(0.0)] and told[1] == [Tighten(True)] and told[5] == [Tighten(False)]
    assert not any(told[i] for i in (2, 3, 4, 6))


def test_an_aim_that_makes_no_sense() -> None:
    with pytest.raises(ValueError, match="aim_us"):
        Controller(0, 0.2)
