"""Wishes by seed: rates, shares, keys and work are those that were asked for; tries keep the rules."""

import math
import os
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from roadlb.lab.model.classes import ClassSpec, Habits, TenantSpec
from roadlb.lab.model.keys import Keys
from roadlb.lab.model.shapes import Burst, Part, Schedule, Steady, Wave
from roadlb.lab.model.traffic import Traffic
from roadlb.lab.model.tries import TryEnd, next_try, time_left

S = 1_000_000
READ = ClassSpec("grid-read", 0.7, 15_000, "lognormal", 2.0)
ORDER = ClassSpec("order", 0.3, 90_000, "pareto", 1.5, aim_us=600_000, give_up_us=2 * S, repeatable=False)
TENANTS = (TenantSpec("energia-sever", 0.8), TenantSpec("cesty-vychod", 0.2))
PLAIN = Habits()


def traffic(shape, habits=PLAIN, tenants=TENANTS, **more):
    return Traffic(shape, (READ, ORDER), tenants, Keys(1_000, 1.0, Random(5)), habits, Random(6), **more)


def wishes(stream, until):
    return list(iter(lambda: stream.next(until), None))


def near(count, expected):
    """Within five standard deviations of a Poisson count."""
    return abs(count - expected) < 5 * math.sqrt(expected)


def test_rates_follow_their_shapes():
    steady = wishes(traffic(Steady(1_000)), 30 * S)
    assert near(len(steady), 30_000)
    assert [w.due for w in steady] == sorted(w.due for w in steady)
    wave = Counter(w.due // (5 * S) for w in wishes(traffic(Wave(1_000, 0.2, 20 * S)), 20 * S))
    assert near(wave[0], 5_000 * (1 + 0.2 * 2 / math.pi)) and near(wave[2], 5_000 * (1 - 0.2 * 2 / math.pi))
    burst = Counter(w.due // S for w in wishes(traffic(Burst(Steady(500), 2 * S, S, 4.0)), 5 * S))
    assert near(burst[2], 2_000) and near(burst[1], 500) and near(burst[3], 500)
    ramp = wishes(traffic(Part(Schedule(((0, 0.0), (10 * S, 2_000.0), (10 * S, 0.0))), 0.5)), 60 * S)
    assert near(len(ramp), 5_000) and ramp[-1].due <= 10 * S


def test_asking_in_small_steps_gives_the_same_rate_and_a_changed_shape_holds_at_once():
    stream = traffic(Steady(1_000))
    count = sum(len(wishes(stream, at)) for at in range(0, 10 * S, 1_000))
    assert near(count, 10_000)
    stream.shape = Steady(0)
    assert wishes(stream, 20 * S) == []
    stream.shape = Steady(100)
    assert near(len(wishes(stream, 30 * S)), 1_000)


def test_shares_of_classes_tenants_and_habits():
    habits = Habits(honour=0.4, once=0.1, hold=0.5)
    stream = traffic(Steady(1_000), habits, first_number=2, step=3)
    all_of_them = wishes(stream, 20 * S)
    n = len(all_of_them)
    assert near(sum(w.class_index == 1 for w in all_of_them), 0.3 * n)
    assert near(sum(w.tenant == "cesty-vychod" for w in all_of_them), 0.2 * n)
    assert near(sum(w.honours for w in all_of_them), 0.4 * n)
    assert near(sum(w.once for w in all_of_them), 0.1 * n)
    assert near(sum(w.holds for w in all_of_them), 0.05 * n)
    assert [w.number for w in all_of_them[:3]] == [2, 5, 8]


def test_a_tenant_beyond_its_share():
    stream = traffic(Steady(1_000))
    stream.surge("cesty-vychod", 4.0)
    assert stream.usage == pytest.approx(1.6)
    all_of_them = wishes(stream, 20 * S)
    assert near(sum(w.tenant == "cesty-vychod" for w in all_of_them), len(all_of_them) / 2)
    with pytest.raises(ValueError, match="nobody"):
        stream.surge("nobody", 1.0)


def test_keys_follow_zipf():
    keys, rng = Keys(800, 0.9, Random(1)), Random(2)
    counts = Counter(keys.draw(rng) for _ in range(50_000))
    for rank in (0, 1, 9, 99):
        assert near(counts[keys.names[rank]], 50_000 * keys.part(rank))
    assert keys.part(0) / keys.part(9) == pytest.approx(10**0.9)
    fresh = Keys(10, 1.0, Random(1), fresh=1.0)
    assert len({fresh.draw(rng) for _ in range(1_000)}) == 1_000


@pytest.mark.parametrize("spec", [READ, ORDER, replace(READ, distribution="fixed")])
def test_work_has_its_mean_and_variation(spec):
    rng = Random(3)
    drawn = sorted(spec.draw_work_us(rng) for _ in range(100_000))
    if spec.distribution == "fixed":
        assert drawn[0] == drawn[-1] == spec.work_us
        return
    mean = sum(drawn) / len(drawn)
    assert mean == pytest.approx(spec.work_us, rel=0.05)
    median = {
        "lognormal": 1 / math.sqrt(1 + spec.work_cv**2),
        "pareto": (a := 1 + math.sqrt(1 + 1 / spec.work_cv**2)) and (a - 1) / a * 2 ** (1 / a),
    }
    assert drawn[50_000] == pytest.approx(spec.work_us * median[spec.distribution], rel=0.03)


def test_a_try_lasts_a_part_of_the_give_up_time_and_the_last_what_is_left():
    habits = Habits(try_share=0.4)
    assert time_left(0, 0, READ, habits) == S
    assert time_left(2 * S, 0, READ, habits) == S // 2
    assert time_left(3 * S, 0, READ, habits) < 0


@pytest.mark.parametrize(
    "spec, end, again",
    [
        (READ, TryEnd.FAILED, True),
        (READ, TryEnd.BROKEN, True),
        (READ, TryEnd.GIVEN_UP, True),
        (READ, TryEnd.SERVED, False),
        (ORDER, TryEnd.REFUSED, True),
        (ORDER, TryEnd.UNREACHED, True),
        (ORDER, TryEnd.FAILED, False),
        (ORDER, TryEnd.BROKEN, False),
        (ORDER, TryEnd.GIVEN_UP, False),
    ],
)
def test_orders_are_tried_again_only_where_nothing_can_have_run(spec, end, again):
    assert next_try(S, 0, spec, Habits(wait_us=100), False, 0, end) == (S + 100 if again else None)


def test_retries_are_bounded_by_number_time_and_honoured_advice():
    habits, refused = Habits(retries=2, wait_us=50, retry_after_most_us=300_000), TryEnd.REFUSED
    assert next_try(0, 0, READ, habits, True, 2, refused) is None
    assert next_try(0, 0, READ, habits, True, 1, refused, 200_000) == 200_000
    assert next_try(0, 0, READ, habits, True, 1, refused, 900_000) == 300_000
    assert next_try(0, 0, READ, habits, False, 1, refused, 900_000) == 50
    assert next_try(2_400_000, 0, READ, habits, True, 1, refused, 200_000) is None


SCRIPT = """
import sys; sys.path[:0] = sys.argv[1:]
from random import Random
from node_play import Play
from test_model_traffic import Steady, traffic, wishes
p = Play(warm=False, cores=2, slots=2, cold_share=.2, warm_us=10**7, cache_keys=30, cache_us=10**7,
         cache_gain=.5,
         work_noise=.4, error_share=.1, report_period_us=100_000, report_noise=.1, falls=False, choke=.1)
for w in wishes(traffic(Steady(200)), 5 * 10**6):
    p.ask(w.due, w.work_us, w.key)
p.until(10**9)
from hashlib import sha256
print(sha256(repr(p.log).encode()).hexdigest())
"""


def test_model_and_traffic_do_not_depend_on_hashes():
    import node_play

    here = [os.path.dirname(node_play.__file__), os.getcwd()]
    runs = [
        subprocess.run(
            [sys.executable, "-c", SCRIPT, *here],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        )
        for seed in ("1", "2")
    ]
    assert runs[0].stdout == runs[1].stdout and len(runs[0].stdout) == 65
