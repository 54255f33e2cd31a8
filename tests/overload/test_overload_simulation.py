"""Guarantees of the overload controller in simulated time, each compared with the same run without it.

A load of 1 takes all CPU time if every request is served; docs/design/overload.md has more figures.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import cache
from statistics import fmean, pstdev

import pytest

from roadlb.overload.controller import Action, Controller
from roadlb.overload.meter import Reading
from roadlb.policy.interface import Effect, RequestClass

from roadlb.lab.model.shedding import ORDER, READ, SECOND, Costs, Sim, Site

AIM_US = 500_000
CHEAP_REFUSAL = 40 / 230  # CPU cost of a refusal relative to a served request, by the defaults of `Costs`
# As benchmarks/data_path.py measures it in the compiled balancer: a refusal costs half of a served request.
EXPENSIVE_REFUSAL_COSTS = Costs(read=14, refuse=28, take=32, answer=38, accept=60, gone=20, timer=2)
IMMEDIATE_RETRIES = Site(manners=(1.0, 0.0, 0.0))
SHORT_DEADLINES = Site(
    costs=Costs().times(2),
    connections=170,
    work_us=(4_000, 25_000),
    classes=(
        RequestClass("grid-read", 125_000, 625_000, 2.0, 0.5),
        RequestClass("order", 150_000, 500_000, 10.0, 0.5, Effect.UNSAFE),
    ),
)
BRIEF_OWN_WORK = ((2_300_000, 8_000, False), (2_600_000, 6_000, True), (3_000_000, 20_000, True))


@cache
def steady_load(load: float, controlled: bool) -> Sim:
    return Sim(Site(), lambda t: load * Site().capacity, make_controller(controlled)).play(3_500_000)


@cache
def read_burst(controlled: bool, own_work: tuple[tuple[int, int, bool], ...] = ()) -> Sim:
    """A load of 0.5, with eight times the usual reads from 2 s to 4 s."""
    site = Site()
    rates = burst_rate(0.5 * site.capacity, 8)
    orders = 0.3 * 0.5 * site.capacity
    return Sim(
        site,
        rates,
        make_controller(controlled),
        seed=3,
        own_work=own_work,
        order_share=lambda t: orders / rates(t),
    ).play(7 * SECOND)


def make_controller(controlled: bool, aim_us: int = AIM_US) -> Controller | None:
    return Controller(aim_us, CHEAP_REFUSAL) if controlled else None


def burst_rate(base: float, times: float) -> Callable[[int], float]:
    return lambda t: base * (0.3 + 0.7 * times) if 2 * SECOND <= t < 4 * SECOND else base


def assert_each_answered_once_in_time(sim: Sim) -> None:
    for one_try in sim.open.values():
        is_overdue = sim.now > one_try.until + 2 * SECOND // 10
        assert one_try.ends <= 1 and (one_try.done or not is_overdue), "unanswered, or answered twice"
        assert one_try.ends == 1 or one_try.gone or not is_overdue, (
            "closed without an answer before its deadline"
        )
    assert sim.late_answers == 0


def assert_orders_ran_at_most_once(sim: Sim) -> None:
    assert all(r.sends <= 1 for r in sim.requests if r.cls == ORDER)


def served_share_of_received(sim: Sim, cls: int, start: int, end: int) -> float:
    """The share that was served of the requests that reached the balancer at all."""
    received = {
        id(one_try.request): one_try.request
        for one_try in sim.open.values()
        if one_try.request.cls == cls and start <= one_try.request.asked < end
    }
    return fmean(r.answered > 0 for r in received.values())


def test_the_worth_served_holds_up_to_eight_times_the_load() -> None:
    worth = {load: steady_load(load, True).worth(1_500_000, 2_800_000) for load in (0.5, 1, 2, 4, 8)}
    for load in worth:
        assert worth[load] >= 0.85 * max(worth[lower] for lower in worth if lower <= load), (load, worth)
        assert_each_answered_once_in_time(steady_load(load, True))
        assert_orders_ran_at_most_once(steady_load(load, True))
    best = steady_load(1, False).worth(1_500_000, 2_800_000)
    assert min(worth[2], worth[4], worth[8]) > best
    assert worth[1] > 0.8 * best, "the cost of shedding before anything is late"
    # The policy sheds by its requests in flight, so it holds up without the controller too; the controller
    # must not make that worse.
    uncontrolled = steady_load(4, False).worth(1_500_000, 2_800_000)
    assert worth[4] > 0.9 * uncontrolled > 0.6 * best


@pytest.mark.parametrize(
    "own_work", [(), BRIEF_OWN_WORK], ids=["", "with a garbage collection, a new server list and a reload"]
)
def test_orders_are_served_during_a_burst_of_reads(own_work: tuple[tuple[int, int, bool], ...]) -> None:
    sim, uncontrolled = read_burst(True, own_work), read_burst(False, own_work)
    assert_each_answered_once_in_time(sim)
    assert_orders_ran_at_most_once(sim)
    assert sim.share_served(ORDER, 1_900_000, 2 * SECOND) == 1, "orders in flight when the burst began"
    # After the first half second.  The other orders find no free connection, which no refusal can change.
    assert served_share_of_received(sim, ORDER, 2_500_000, 4 * SECOND) > 0.97
    assert sim.share_served(ORDER, 2_500_000, 4 * SECOND) > 0.45
    assert uncontrolled.share_served(ORDER, 2_500_000, 4 * SECOND) > 0.4, "the policy without the controller"
    assert sim.share_served(READ, 5_500_000, 6_500_000) > 0.99, "1.5 s after the burst"


def test_immediate_retries_of_refused_requests_do_not_sustain_the_overload() -> None:
    def rate(t: int) -> float:
        return IMMEDIATE_RETRIES.capacity * (2 if SECOND <= t < 3 * SECOND else 0.7)

    sim, uncontrolled = (
        Sim(IMMEDIATE_RETRIES, rate, make_controller(on)).play(6 * SECOND) for on in (True, False)
    )
    assert_each_answered_once_in_time(sim)
    assert sim.read_tries <= 4 * len(sim.requests) and sim.tries <= 4 * len(sim.requests)
    assert sim.share_served(ORDER, 1_500_000, 3 * SECOND) > 0.65
    assert uncontrolled.share_served(ORDER, 1_500_000, 3 * SECOND) > 0.55, "the policy without the controller"
    assert sim.share_served(READ, 4_500_000, 5_500_000) == 1, "served again 1.5 s after the overload"
    assert sim.share == 0


def test_after_a_stop_by_the_host_no_work_is_spent_on_requests_past_their_deadline() -> None:
    sims = {}
    for name, on, ages in (("controlled", True, "told"), ("uncontrolled", False, "none")):
        sims[name] = Sim(
            SHORT_DEADLINES,
            lambda t: 0.6 * SHORT_DEADLINES.capacity,
            make_controller(on, 125_000),
            stops=[(2 * SECOND, 300_000)],
            ages=ages,
        ).play(5 * SECOND)
    sim, uncontrolled = sims["controlled"], sims["uncontrolled"]
    assert_each_answered_once_in_time(sim)
    assert uncontrolled.late_answers > 0
    asked = {n: [r for r in x.requests if 2 * SECOND <= r.asked < 2_300_000] for n, x in sims.items()}
    # A request that is past its deadline when it is read runs for nobody, and delays those behind it.
    wasted = {n: sum(r.sends > 0 and not r.answered for r in asked[n]) for n in asked}
    served = {n: sum(r.answered > 0 for r in asked[n]) for n in asked}
    assert (
        wasted["controlled"] < 0.7 * wasted["uncontrolled"]
        and served["controlled"] > 1.1 * served["uncontrolled"]
    )
    assert sim.worth(2_600_000, 4 * SECOND) > 0.9 * sim.worth(500_000, 1_900_000)
    assert sim.samples[-1].share == 0


def test_a_short_pause_at_a_load_below_capacity_sheds_nothing() -> None:
    sim = Sim(
        Site(),
        lambda t: 0.6 * Site().capacity,
        make_controller(True),
        own_work=BRIEF_OWN_WORK,
        stops=[(4 * SECOND, 300_000)],
    ).play(6 * SECOND)
    assert all(x.share == 0 for x in sim.samples)


def test_the_shed_share_rises_once_stays_steady_and_returns_to_zero() -> None:
    site = Site()
    sim = Sim(site, lambda t: site.capacity * (4 if SECOND <= t < 4 * SECOND else 0.5), make_controller(True))
    sim.play(7 * SECOND)
    rise_us = next(x.at for x in sim.samples if x.share > 0.5) - SECOND
    assert rise_us < 1_750_000, "the policy sheds by its requests in flight until then"
    plateau = [x.share for x in sim.samples if 3_400_000 <= x.at < 4 * SECOND]
    assert pstdev(plateau) < 0.02 and fmean(plateau) > 0.7
    assert all(x.share == 0 for x in sim.samples if x.at > 6 * SECOND), "2 s after the load fell back"


@pytest.mark.parametrize("load", [1.0, 1.1, 1.5, 8.0])
def test_the_shed_share_does_not_oscillate_at_a_steady_load(load: float) -> None:
    shares = [x.share for x in steady_load(load, True).samples if x.at > 2 * SECOND]
    steps = [abs(b - a) for a, b in zip(shares, shares[1:], strict=False)]
    assert pstdev(shares) < 0.15 and fmean(steps) < 0.06


def test_clients_that_send_invalid_data_at_full_speed_cause_no_shedding() -> None:
    # Five such clients take all CPU that is left.  Shedding by CPU use alone lost a third of the worth and
    # freed no CPU.
    class Uncounted(Controller):
        def handle(self, now: int, event: Reading) -> list[Action]:
            return super().handle(now, replace(event, arrived_count=-1))

    counted, uncounted = Controller(AIM_US, CHEAP_REFUSAL), Uncounted(AIM_US, CHEAP_REFUSAL)
    for controller, min_share, max_share in ((counted, 0.99, 1.0), (uncounted, 0.0, 0.3)):
        sim = Sim(Site(), lambda t: 0.6 * Site().capacity, controller, rude=5).play(4 * SECOND)
        assert fmean(x.reading.cpu_share for x in sim.samples[20:]) > 0.97
        assert min_share <= sim.share_served(READ, 2 * SECOND, 3 * SECOND) <= max_share


def test_an_unknown_cpu_limit_is_detected_by_the_lateness_of_the_loop() -> None:
    site = Site(told_cores=1.0)  # the process assumes a whole core and gets 0.7
    sim = Sim(site, lambda t: 4 * site.capacity, make_controller(True)).play(3_500_000)
    assert max(x.reading.cpu_share for x in sim.samples) < 0.9
    assert sim.worth(1_500_000, 2_800_000) > 0.9 * steady_load(4, False).worth(1_500_000, 2_800_000)


def test_nothing_is_shed_for_cpu_alone_where_a_refusal_costs_much() -> None:
    # Clients retry up to three times, so a refusal costs more than it saves: with shedding by CPU use a fully
    # loaded balancer serves 30% less, and still sheds 2 s after a burst.
    site = Site(costs=EXPENSIVE_REFUSAL_COSTS.times(8))

    def worth(load: float, refusal: float | None) -> float:
        controller = Controller(AIM_US, refusal) if refusal else None
        sim = Sim(site, lambda t: load * site.capacity, controller).play(3_500_000)
        return sim.worth(1_500_000, 2_800_000)

    def reads_after(refusal: float) -> float:
        rates = burst_rate(0.7 * site.capacity, 8)
        sim = Sim(
            site,
            rates,
            Controller(AIM_US, refusal),
            seed=1,
            order_share=lambda t: 0.21 * site.capacity / rates(t),
        ).play(7 * SECOND)
        return sim.share_served(READ, 5 * SECOND, 6 * SECOND)

    for load in (1.05, 1.25):
        without = worth(load, None)
        assert worth(load, 0.5) >= 0.97 * without, load
    assert reads_after(0.5) > 0.95 and reads_after(CHEAP_REFUSAL) < 0.9
