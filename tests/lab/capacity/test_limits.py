"""A run that the machine cannot bear, or that makes no sense, is refused with its reason before it begins."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from roadlb.lab.capacity.limits import Demand, Impossible, Machine, check, machine
from roadlb.lab.capacity.runs import long, small

ROOT = Path(__file__).parents[3]
GIB = 1 << 30
HERE = Machine(32 * GIB, 30 * GIB, 20_000)
FIFTY = Demand(50, 1, 2, 240)


def refused(demand: Demand, reason: str, here: Machine = HERE, at_once: int = 1) -> None:
    with pytest.raises(Impossible, match=reason):
        check([demand] * at_once, at_once, here)


def test_both_forms_fit_a_machine_of_this_kind() -> None:
    long().check(HERE)
    small().check(Machine(2 * GIB, 1 * GIB, 1_024))
    assert machine().memory_bytes > machine().free_bytes > 0


def test_no_more_than_half_of_the_memory_nor_what_is_not_free() -> None:
    check([FIFTY], 1, HERE)
    refused(FIFTY, "memory: .* may be used", replace(HERE, memory_bytes=GIB))
    refused(FIFTY, "memory: .* may be used", replace(HERE, free_bytes=GIB // 4))
    half = replace(HERE, memory_bytes=2 * FIFTY.memory_bytes)
    check([FIFTY], 1, half)
    refused(FIFTY, "memory", half, at_once=2)  # two beside each other need twice as much


def test_no_more_than_a_few_hundred_processes() -> None:
    large = replace(HERE, memory_bytes=256 * GIB, free_bytes=200 * GIB)
    refused(Demand(400, 400, 2, 24), "processes: 403 .* at most 300", large)


def test_no_more_descriptors_than_one_process_may_open() -> None:
    refused(Demand(1_000, 20, 2, 24), "descriptors: .* `ulimit -n`", replace(HERE, descriptors=1_024))


@pytest.mark.parametrize(
    ("demand", "reason"),
    [
        (Demand(0, 0, 0, 24), "at least 1"),
        (Demand(-5, 1, 1, 24), "make no sense"),
        (Demand(5_000, 100, 2, 24), "4096 at most"),
        (Demand(5, 0, 2, 24), "cannot be in 0 processes"),
        (Demand(5, 6, 2, 24), "cannot be in 6 processes"),
        (Demand(5, 1, 2, 0), "servers: 0"),
        (Demand(5, 1, 2, 20_000), "servers: 20000"),
    ],
)
def test_sizes_that_cannot_be_are_refused(demand: Demand, reason: str) -> None:
    refused(demand, reason)


@pytest.mark.parametrize(
    ("sizes", "reason"),
    [
        ({"balancers": (10, 20, 30, 40)}, "4 sizes show no bend"),
        ({"balancers": (10, 20, 20, 40, 50)}, "do not grow"),
        ({"servers": (0, 20, 30, 40, 50)}, "do not grow from above 0"),
        ({"peers": ()}, "none do not grow"),
        ({"repeats": 0}, "repeats: 0"),
    ],
)
def test_sizes_that_show_no_slope_are_refused(sizes: dict[str, tuple[int, ...]], reason: str) -> None:
    with pytest.raises(Impossible, match=reason):
        long(**sizes)  # type: ignore[arg-type]


def test_the_command_says_why_and_starts_nothing(tmp_path: Path) -> None:
    out = tmp_path / "run.json"
    sizes = ["--balancers", "10", "20", "30", "40", "5000"]
    done = subprocess.run(
        [sys.executable, "benchmarks/capacity.py", "run", "--sources", "--out", str(out), *sizes],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and "refused: balancers: 5000" in done.stderr
    assert not out.exists()
