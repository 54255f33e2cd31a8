"""docs/CAPACITY.md holds the tables of its JSON, and no table is made from a run that is not whole."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from roadlb.lab.capacity.estimates import Basis, Estimate, Model, assumed, number
from roadlb.lab.capacity.fit import fit
from roadlb.lab.capacity.page import PageError, all_tables, rendered, verdict
from roadlb.lab.capacity.points import Kept, Point, Results, read
from roadlb.lab.capacity.roles import Row, tables
from roadlb.lab.capacity.runs import FOLLOWERS, SIZES_LEAST, long

ROOT = Path(__file__).parents[3]
DATA, PAGE = ROOT / "benchmarks" / "data" / "capacity.json", ROOT / "docs" / "CAPACITY.md"


@pytest.fixture(scope="module")
def results() -> Results:
    return read(DATA)


def test_the_page_has_the_tables_of_its_json(results: Results) -> None:
    text = PAGE.read_text()
    assert rendered(text, results) == text, "run `python benchmarks/capacity.py page`"


def test_a_figure_that_changes_changes_the_page(results: Results) -> None:
    most = max(kept.point.balancers for kept in results.of(FOLLOWERS))
    first = next(
        i
        for i, kept in enumerate(results.points)
        if (kept.slope, kept.point.balancers) == (FOLLOWERS, most)
        and "idle control CPU ms/s" in kept.point.figures
    )
    points, kept = list(results.points), results.points[first]
    figures = {**kept.point.figures, "idle control CPU ms/s": 9_999.0}
    points[first] = replace(kept, point=replace(kept.point, figures=figures))
    changed = Results(results.form, results.machine, points, False, "")
    assert rendered(PAGE.read_text(), changed) != PAGE.read_text()


def test_the_json_is_of_the_whole_long_form(results: Results) -> None:
    form = long()
    assert results.form == "long" and not results.partial
    asked = sorted({(task.slope, task.repeat) for task in form.tasks})
    assert sorted({(kept.slope, kept.repeat) for kept in results.points}) == asked
    for slope, by in ((FOLLOWERS, "balancers"), ("listed", "servers"), ("peers", "balancers"),
                      ("peers listed", "servers"), ("watch", "servers"), ("servers", "servers")):  # fmt: skip
        sizes = {getattr(kept.point, by) for kept in results.of(slope)}
        assert len(sizes) >= SIZES_LEAST, slope


def test_no_page_from_a_run_that_is_partial_or_small(results: Results) -> None:
    text = PAGE.read_text()
    for run in (
        Results("long", results.machine, results.points, True, "it was interrupted"),
        Results("small", results.machine, results.points, False, ""),
    ):
        with pytest.raises(PageError, match="whole long one"):
            rendered(text, run)


def test_a_page_without_one_of_the_marks_is_refused(results: Results) -> None:
    text = PAGE.read_text()
    with pytest.raises(PageError, match="the page has the tables"):
        rendered(text.replace("<!-- table: peers -->", ""), results)
    with pytest.raises(PageError, match="no end"):
        rendered("\n".join(f"<!-- table: {name} -->" for name in all_tables(results)), results)


def test_every_figure_says_where_it_is_from_and_extrapolations_bear_their_slope(results: Results) -> None:
    for table in tables(Model(results)):
        for row in table.rows:
            for estimate in row.values:
                assert estimate.note, (table.name, row.what)
                if estimate.basis is Basis.EXTRAPOLATED:
                    assert "points of" in estimate.note and "±" in estimate.note, (table.name, row.what)


def test_a_verdict_counts_the_interval() -> None:
    def said(value: float, half: float, limit: float = 10.0) -> str:
        return verdict(Row("what", "ms", (Estimate(value, half, Basis.EXTRAPOLATED, "of it"),), "", limit))

    assert said(5.0, 1.0) == "fits, 2.0 times"
    assert said(9.0, 2.0).startswith("**not sure**")
    assert said(25.0, 1.0) == "**does not fit**: 2.5 times the limit"
    assert said(25.0, 1.0, 0.0) == "-"


def test_a_sum_is_no_better_than_its_worst_part() -> None:
    measured = Estimate(1.0, 0.1, Basis.MEASURED, "one")
    guessed = assumed(2.0, "two")
    assert measured + guessed == Estimate(3.0, 0.1, Basis.ASSUMED, "one; two")
    assert (measured - measured.times(0.5)).value == pytest.approx(0.5)


def test_a_starved_fleet_is_in_no_line_and_is_told(results: Results) -> None:
    starved = Kept(
        "peers", 7, Point(120, 60, {"suspicions/s each": 2.0, "out B/s each": 9e9, "CPU ms/s each": 1.0})
    )
    more = Results("long", results.machine, [*results.points, starved], False, "")
    assert more.series("peers", "out B/s each") == results.series("peers", "out B/s each")
    before, after = all_tables(results), all_tables(more)
    assert {name for name in before if before[name] != after[name]} == {"run"}
    assert "In no line: peers, 120 balancers, repeat 7" in after["run"]


def test_a_measured_size_is_told_as_measured_and_others_by_the_line() -> None:
    points = [
        Kept(FOLLOWERS, repeat, Point(size, 24, {"cost": 2.0 * size}))
        for size in (10, 25, 50, 100, 200)
        for repeat in range(3)
    ]
    model = Model(Results("long", {}, points, False, ""))
    assert model.at(FOLLOWERS, "cost", 50) == Estimate(100.0, 0.0, Basis.MEASURED, "3 points at 50")
    found = model.at(FOLLOWERS, "cost", 600)
    assert found.value == pytest.approx(1_200) and found.basis is Basis.EXTRAPOLATED
    assert model.more(FOLLOWERS, "cost", 10, 600).value == pytest.approx(1_180)
    assert fit(model.results.series(FOLLOWERS, "cost")).count == 15


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        (0.0, "0"),
        (1_234_567.0, "1,234,600"),
        (456.7, "457"),
        (45.67, "45.7"),
        (4.567, "4.57"),
        (0.04567, "0.046"),
    ],
)
def test_numbers_have_three_figures_or_so(value: float, shown: str) -> None:
    assert number(value) == shown
