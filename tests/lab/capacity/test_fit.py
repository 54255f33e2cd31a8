"""Lines through what was measured: a bend is seen, and not fitted over."""

from __future__ import annotations

from random import Random

import pytest

from roadlb.lab.capacity.fit import fit, student, upper

SIZES = (10, 25, 50, 100, 200)


def test_a_line_is_found_with_its_interval() -> None:
    random = Random(1)
    points = [(float(x), 5 + 0.3 * x + random.gauss(0, 0.5)) for x in SIZES for _ in range(3)]
    line = fit(points)
    assert abs(line.slope - 0.3) <= line.half <= 0.02
    assert line.interval(600) > line.interval(100) > 0
    assert abs(line.at(600) - 185) <= line.interval(600)
    assert not line.bends and line.count == 15 and line.sizes == SIZES


def test_a_square_bends_and_a_line_with_noise_does_not() -> None:
    assert fit([(float(x), 0.01 * x * x) for x in SIZES for _ in range(3)]).bends
    assert fit([(float(x), 10 if x < 60 else 100 - x / 9) for x in SIZES for _ in range(3)]).bends
    assert not fit([(float(x), 3.0) for x in SIZES]).bends


def test_where_it_bends_the_line_is_drawn_on_from_the_upper_sizes() -> None:
    points = [(float(x), max(0.0, x - 50.0)) for x in SIZES for _ in range(3)]
    assert fit(points).bends and not fit(upper(points)).bends
    assert fit(upper(points)).at(600) == pytest.approx(550)


@pytest.mark.parametrize("points", ([], [(1.0, 1.0)] * 5, [(1.0, 1.0), (2.0, 2.0)]))
def test_too_little_makes_no_line(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match="make no line"):
        fit(points)


def test_students_t_is_that_of_the_tables() -> None:
    for freedom, known in ((1, 12.706), (2, 4.303), (3, 3.182), (5, 2.571), (13, 2.160), (100, 1.984)):
        assert student(freedom) == pytest.approx(known, rel=0.01)
