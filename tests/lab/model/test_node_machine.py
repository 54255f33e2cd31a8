"""Processor sharing in whole numbers against the same in fractions."""

from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from roadlb.lab.model.machine import UNIT, Machine


def fluid(jobs: list[tuple[int, int]], cores: int, speed: Fraction) -> list[Fraction]:
    """When each of (begin, work) ends."""
    left, ends, now = {}, [Fraction(0)] * len(jobs), Fraction(0)
    coming = sorted(range(len(jobs)), key=lambda i: jobs[i][0])
    while left or coming:
        rate = speed * min(Fraction(1), Fraction(cores, len(left))) if left else Fraction(0)
        next_end = now + min(left.values()) / rate if left else None
        if coming and (next_end is None or jobs[coming[0]][0] <= next_end):
            at = Fraction(jobs[coming[0]][0])
        else:
            at = next_end
        left = {i: work - rate * (at - now) for i, work in left.items()}
        now = at
        for i in [i for i, work in left.items() if work <= 0]:
            ends[i] = now
            del left[i]
        while coming and jobs[coming[0]][0] <= now:
            left[coming[0]] = Fraction(jobs[coming[0]][1])
            coming.pop(0)
    return ends


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 50_000), st.integers(1, 40_000)), min_size=1, max_size=12),
    st.integers(1, 4),
    st.sampled_from([250_000, 850_000, 1_000_000]),
)
def test_ends_are_those_of_a_fluid_model_to_a_microsecond_for_each_change(jobs, cores, core_rate):
    machine, ends = Machine(cores, 0), [0] * len(jobs)
    machine.set_rate(core_rate)

    def until(at: int) -> None:
        while (end := machine.next_end()) is not None and end <= at:
            machine.run(end)
            while (job := machine.ended()) is not None:
                ends[job] = end
        machine.run(at)

    for i in sorted(range(len(jobs)), key=lambda i: jobs[i][0]):
        until(jobs[i][0])
        machine.begin(i, jobs[i][1])
    until(10**9)
    for mine, exact in zip(ends, fluid(jobs, cores, Fraction(core_rate, UNIT)), strict=True):
        assert abs(mine - exact) <= 2 * len(jobs)
