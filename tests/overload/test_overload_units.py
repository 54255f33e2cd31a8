"""Unit tests of the loop monitor, the meter, the request cost and the controller."""

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

START_US = 1_000_000


def test_a_loop_on_time_has_no_delay_and_reads_bytes_that_have_just_arrived() -> None:
    pulse, now = LoopMonitor(START_US), START_US
    for _ in range(10):
        now = pulse.beat(now + BEAT_INTERVAL_US + 300)
        assert pulse.late_us(now - 1) == 0 and pulse.earliest_arrival_us(now - 1) == now - 1
        now -= BEAT_INTERVAL_US
    assert pulse.take_delay(now).max_us == 300


def test_a_stop_shows_in_the_first_callback_and_until_the_beat_after_the_late_one() -> None:
    # In libuv's order timers run before reads, so after a stop between two turns of the loop the late beat
    # precedes the reading of what was sent during the stop.
    pulse = LoopMonitor(START_US)
    now = START_US + 300_000
    assert pulse.late_us(now) == 290_000 and pulse.earliest_arrival_us(now) == START_US
    pulse.beat(now)
    assert pulse.late_us(now + 1) == 0 and pulse.earliest_arrival_us(now + 1) == START_US
    now = pulse.beat(now + BEAT_INTERVAL_US)
    assert pulse.earliest_arrival_us(now) == now


def test_delays_are_reported_per_interval_and_one_that_spans_two_is_not_counted_twice() -> None:
    pulse = LoopMonitor(START_US)
    first = pulse.take_delay(START_US + BEAT_INTERVAL_US + 40_000)  # 40 ms late, and the delay continues
    assert (first.max_us, first.mean_us) == (40_000, pytest.approx(40_000**2 / 2 / 50_000))
    pulse.beat(START_US + BEAT_INTERVAL_US + 100_000)
    second = pulse.take_delay(START_US + BEAT_INTERVAL_US + 100_000)
    assert second.max_us == 100_000
    assert second.mean_us == pytest.approx((100_000**2 - 40_000**2) / 2 / 60_000)
    assert pulse.take_delay(START_US + 2 * BEAT_INTERVAL_US + 100_000).max_us == 0


def test_a_reading_has_the_used_shares_of_the_limits_since_the_last_one() -> None:
    cpu_used, counts = iter([5_000, 40_000, 40_000]), iter([(10, 1), (110, 41), (110, 41)])
    meter = Meter(
        START_US,
        LoopMonitor(START_US),
        Limits(0.7, 64, 1_000),
        lambda: next(cpu_used),
        lambda: 16 << 20,
        lambda: 250,
        lambda: next(counts),
    )
    reading = meter.read(START_US + 100_000)
    assert (reading.interval_us, reading.cpu_share, reading.memory_share, reading.descriptor_share) == (
        100_000,
        pytest.approx(0.5),
        0.25,
        0.25,
    )
    assert (reading.arrived_count, reading.refused_count, reading.late_max_us) == (100, 40, 90_000)
    assert meter.read(START_US + 100_000).cpu_share == 0


def test_without_a_limit_the_share_is_zero_and_a_negative_limit_is_named() -> None:
    def meter(limits: Limits) -> Meter:
        return Meter(START_US, LoopMonitor(START_US), limits, lambda: 1, lambda: 1, lambda: 1, lambda: (0, 0))

    reading = meter(Limits(0.0)).read(START_US + 1)
    assert (reading.cpu_share, reading.memory_share, reading.descriptor_share) == (0, 0, 0)
    with pytest.raises(ValueError, match="sockets"):
        meter(Limits(1.0, 64, -1))


def test_cpu_time_and_memory_are_read_for_this_process() -> None:
    before = readings.cpu_used_us()
    while time.process_time_ns() // 1000 < before + 3_000:
        pass
    assert readings.cpu_used_us() >= before + 3_000
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    assert 4 << 20 < readings.memory_bytes() <= peak_bytes + (8 << 20)


def test_memory_is_read_without_proc_too(monkeypatch: pytest.MonkeyPatch) -> None:
    def no_proc(*_: object) -> None:
        raise OSError

    monkeypatch.setattr("builtins.open", no_proc)
    assert readings.memory_bytes() > 4 << 20


@pytest.mark.skipif(os.uname().sysname != "Linux", reason="only Linux reports it")
def test_the_kernel_reports_how_long_bytes_have_waited() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        connection, _ = server.accept()
        with client, connection:
            sent = time.monotonic_ns()
            client.sendall(b"x")
            time.sleep(0.05)
            waited, longest = readings.since_last_receive_us(connection), (time.monotonic_ns() - sent) // 1000
            assert 40_000 < waited <= longest + 10_000
    assert readings.since_last_receive_us(connection) == 0, "closed"


def make_reading(cpu: float = 0.5, late: float = 0.0, interval: int = 100_000, **more: float) -> Reading:
    asked = int(cpu * interval * 0.01)
    return Reading(interval, cpu, int(2 * late), late, arrived_count=asked, **more)  # type: ignore[arg-type]


def handle_all(controller: Controller, *events: Reading) -> list[Action]:
    return [action for i, reading in enumerate(events) for action in controller.handle(START_US + i, reading)]


def test_the_first_reading_notifies_the_policy_that_nothing_is_short() -> None:
    # Only after this notification does the policy refuse requests that no answer can reach in time.
    controller = Controller(500_000, 0.2)
    assert handle_all(controller, make_reading(), make_reading()) == [Shed(0.0)]


def test_cpu_near_its_limit_sheds_before_anything_is_late_but_not_below_the_kept_minimum() -> None:
    controller = Controller(500_000, 0.2)
    handle_all(controller, *[make_reading() for _ in range(20)])
    assert (
        all(isinstance(a, Shed) for a in handle_all(controller, *[make_reading(1.0) for _ in range(8)]))
        and 0.2 < controller.share < 0.7
    )
    handle_all(controller, *[make_reading(1.0) for _ in range(50)])
    assert controller.share == 1 - MIN_KEPT_BY_CPU


def test_a_late_loop_sheds_more_than_full_cpu_does_and_only_while_it_is_late() -> None:
    controller = Controller(500_000, 0.2)
    handle_all(controller, *[make_reading(1.0, 400_000) for _ in range(30)])
    assert controller.share == 1 - MIN_KEPT
    handle_all(controller, *[make_reading(1.0) for _ in range(30)])
    assert controller.share == 1 - MIN_KEPT_BY_CPU, "orders must not starve as long as clients keep asking"


def test_one_late_reading_counts_as_a_stop_by_the_host_and_two_as_overload() -> None:
    controller = Controller(500_000, 0.2)
    handle_all(
        controller,
        *[make_reading() for _ in range(20)],
        make_reading(0.1, 150_000, 400_000),
        *[make_reading() for _ in range(3)],
    )
    assert controller.share == 0
    handle_all(controller, make_reading(0.5, 150_000), make_reading(0.5, 150_000), make_reading(0.5, 150_000))
    assert controller.share > 0.3


def test_shedding_ends_within_two_seconds_of_the_overload() -> None:
    controller = Controller(500_000, 0.2)
    handle_all(
        controller, *[make_reading(1.0, 400_000) for _ in range(30)], *[make_reading(0.3) for _ in range(20)]
    )
    assert controller.share == 0


@pytest.mark.parametrize(
    "first_reading", [make_reading(0.3), Reading(100_000, 0.9, arrived_count=60)], ids=["calm", "busy"]
)
def test_minutes_of_invalid_traffic_do_not_raise_the_learned_request_cost(first_reading: Reading) -> None:
    cost = RequestCost(200_000, 0.92, 0.2)
    for reading in [first_reading] * 15 + [make_reading(0.3)] * 60:
        cost.requests_cpu_share(reading)
    invalid_traffic = Reading(100_000, 1.0, arrived_count=make_reading(0.3).arrived_count)
    shares = [cost.requests_cpu_share(invalid_traffic) for _ in range(2_000)]
    assert max(shares[20:]) < 0.5
    assert (
        cost.requests_cpu_share(Reading(100_000, 1.0, arrived_count=make_reading(1.0).arrived_count))
        > shares[-1]
    )


def test_a_lack_of_memory_or_descriptors_is_reported_once_and_ends_well_below_the_threshold() -> None:
    controller = Controller(500_000, 0.2)
    steps = [(0.8, 0.2), (0.9, 0.2), (0.95, 0.9), (0.8, 0.9), (0.8, 0.8), (0.7, 0.7), (0.8, 0.8)]
    actions = [handle_all(controller, make_reading(memory_share=m, descriptor_share=d)) for m, d in steps]
    assert actions[0] == [Shed(0.0)] and actions[1] == [Tighten(True)] and actions[5] == [Tighten(False)]
    assert not any(actions[i] for i in (2, 3, 4, 6))


def test_a_latency_target_of_zero_is_rejected() -> None:
    with pytest.raises(ValueError, match="aim_us"):
        Controller(0, 0.2)
