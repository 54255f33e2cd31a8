"""The tables of docs/CAPACITY.md, between their marks, from a run's file: the text round them stays."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path

from .estimates import Basis, Estimate, Model, number
from .failures import failures
from .points import SUSPICIONS, Kept, Results, read
from .roles import SIZES, Row, tables
from .runs import CALIBRATION, FOLLOWERS, LISTED, PEERS, PEERS_LISTED, SERVERS, WATCH

MARK = {Basis.MEASURED: "m", Basis.EXTRAPOLATED: "e", Basis.ASSUMED: "a"}
AT_LIMIT = 0.95  # from this part of a limit on there is no headroom
DIFFERENT = 0.2  # from where on a hollow balancer's figure is not taken for a real one's
# Slopes that the page shows with their residuals: name, figure, by what.
SHOWN = (
    (FOLLOWERS, "idle control CPU ms/s", "balancers"),
    (FOLLOWERS, "settings control CPU ms", "balancers"),
    (FOLLOWERS, "drain control CPU ms", "balancers"),
    (FOLLOWERS, "idle control out B/s", "balancers"),
    (FOLLOWERS, "settings control out B", "balancers"),
    (FOLLOWERS, "drain control out B", "balancers"),
    (FOLLOWERS, "settings slowest ms", "balancers"),
    (FOLLOWERS, "control memory MB", "balancers"),
    (FOLLOWERS, "control descriptors", "balancers"),
    (LISTED, "idle control CPU ms/s", "servers"),
    (LISTED, "settings control CPU ms", "servers"),
    (LISTED, "settings hollow CPU ms each", "servers"),
    (LISTED, "settings to store B", "servers"),
    (LISTED, "settings slowest ms", "servers"),
    (LISTED, "control memory MB", "servers"),
    (PEERS, "membership B/s each", "balancers"),
    (PEERS, "counts B/s each", "balancers"),
    (PEERS, "judgements B/s each", "balancers"),
    (PEERS, "out datagrams/s each", "balancers"),
    (PEERS, "CPU ms/s each", "balancers"),
    (PEERS_LISTED, "CPU ms/s each", "servers"),
    (WATCH, "line CPU ms", "servers"),
    (WATCH, "list B", "servers"),
    (WATCH, "list CPU ms", "servers"),
    (WATCH, "peak MB", "servers"),
    (SERVERS, "new key CPU us", "servers"),
    (SERVERS, "known key CPU us", "servers"),
    (SERVERS, "view CPU us", "servers"),
    (SERVERS, "servers memory MB", "servers"),
)


class PageError(ValueError):
    """A page without the marks, or a run that it cannot be made from."""


def rewrite(page: Path, data: Path) -> None:
    """The page with the tables of this run."""
    page.write_text(rendered(page.read_text(), read(data)))


def rendered(text: str, results: Results) -> str:
    """PageError for a run that is not long and whole, or a page whose marks are not those of the tables."""
    if results.partial or results.form != "long":
        raise PageError(
            f"the run is {results.form}, {results.why or 'whole'}: the page needs a whole long one"
        )
    made = all_tables(results)
    found = re.findall(r"^<!-- table: (.+) -->$", text, re.M)
    if sorted(found) != sorted(made):
        raise PageError(f"the page has the tables {sorted(found)}, the run gives {sorted(made)}")
    for name, table in made.items():
        begin, end = f"<!-- table: {name} -->", "<!-- end -->"
        head, _, rest = text.partition(begin + "\n")
        _, found_end, tail = rest.partition(end)
        if not found_end:
            raise PageError(f"table {name} has no end")
        text = f"{head}{begin}\n{table}\n{end}{tail}"
    return text


def all_tables(results: Results) -> dict[str, str]:
    """By the names of their marks."""
    model = Model(results)
    return {
        "run": _run(results),
        **{table.name: _role(table.rows) for table in tables(model)},
        "failures": _failures(model),
        "slopes": _slopes(model),
        "calibration": _calibration(results),
    }


def _run(results: Results) -> str:
    machine, starved = results.machine, results.starved()
    program = "compiled" if machine["compiled"] else "interpreted"
    return (
        f"The last run: {len(results.points)} points in {machine['took s']} s, on {machine['cores used']} of "
        f"{machine['cores']} cores (load before it {machine['load before']}), Python {machine['python']}, "
        f"hot modules {program}." + "".join(f"\n{_left_out(kept)}" for kept in starved)
    )


def _left_out(kept: Kept) -> str:
    figures = kept.point.figures
    doubts, out, cpu = (number(figures[name]) for name in (SUSPICIONS, "out B/s each", "CPU ms/s each"))
    return (
        f"\nIn no line: {kept.slope}, {kept.point.balancers} balancers, repeat {kept.repeat}.  The machine "
        f"had no time for them: {doubts} suspicions a second each of balancers that nobody had stopped, "
        f"{out} B/s out each, {cpu} ms/s of CPU."
    )


def _role(rows: Iterable[Row]) -> str:
    head = ["what", *(f"{size}" for size in SIZES), "from", "carried and bounded by", "limit", "at 600"]
    return _table(head, (_cells(row) for row in rows), right=(1, 2, 3))


def _cells(row: Row) -> list[str]:
    what = f"{row.what}, {row.unit}" if row.unit else row.what
    limit = f"{row.limit:,.0f}" if row.limit else "-"
    return [
        what,
        *map(_figure, row.values),
        row.values[-1].note or "-",
        row.bound or "-",
        limit,
        verdict(row),
    ]


def _figure(estimate: Estimate) -> str:
    if estimate.basis is Basis.ASSUMED and estimate.value == int(estimate.value):
        return f"{estimate.value:,.0f} a"
    half = f" ± {number(estimate.half)}" if estimate.half else ""
    return f"{number(estimate.value)}{half} {MARK[estimate.basis]}"


def verdict(row: Row) -> str:
    """At the largest size, with the upper end of the interval."""
    last = row.values[-1]
    if not row.limit:
        return "-"
    if last.value > row.limit:
        return f"**does not fit**: {last.value / row.limit:.1f} times the limit"
    if last.value > AT_LIMIT * row.limit:
        return "at the limit: no headroom"
    if last.value + last.half > row.limit:
        return f"**not sure**: {last.value / row.limit:.0%} of the limit, its interval reaches beyond"
    return f"fits, {row.limit / last.value:.1f} times" if last.value else "fits"


def _failures(model: Model) -> str:
    head = ["event", "what goes stale", "what bounds it", "messages", "over how long"]
    rows = ([f.event, f.stale, f.bound, f.messages, f.over] for f in failures(model))
    return _table(head, rows)


def _slopes(model: Model) -> str:
    head = ["run", "figure", "at 0", "slope", "points", "off", "bend"]
    return _table(head, (_slope(model, *shown) for shown in SHOWN), right=(2, 3, 4, 5, 6))


def _slope(model: Model, slope: str, figure: str, by: str) -> list[str]:
    line = model.line(slope, figure, by)
    bends = "bends: upper sizes only" if model.bends(slope, figure, by) else f"{line.bend:.2f}"
    return [
        slope,
        figure,
        number(line.intercept),
        f"{number(line.slope)} ± {number(line.half)} a {by.removesuffix('s')}",
        f"{line.count} of {line.sizes[0]:,.0f} to {line.sizes[-1]:,.0f}",
        f"{line.off:.0%}",
        bends,
    ]


def _calibration(results: Results) -> str:
    head = [
        "for the same events",
        "real",
        "hollow, alone",
        "hollow, in a crowd",
        "real for the crowd's or alone",
    ]
    names = sorted(
        {name for kept in results.of(CALIBRATION) for name in kept.point.figures if " real " in name}
    )
    return _table(head, (_compared(results, name) for name in names), right=(1, 2, 3, 4))


def _compared(results: Results, name: str) -> list[str]:
    def middle(who: str) -> float | None:
        found = sorted(results.single(CALIBRATION, name.replace(" real ", f" {who} ")))
        return found[len(found) // 2] if found else None

    real, alone, crowd = middle("real"), middle("hollow"), middle("crowd")
    against = crowd if crowd is not None else alone
    ratio = real / against if real is not None and against else None
    shown = "-" if ratio is None else f"{ratio:.2f}"
    if ratio is not None and abs(ratio - 1) > DIFFERENT:
        shown = f"**{ratio:.2f}**"
    figures = ["-" if value is None else number(value) for value in (real, alone, crowd)]
    return [name.replace(" real ", " "), *figures, shown]


def _table(head: list[str], rows: Iterable[list[str]], right: tuple[int, ...] = ()) -> str:
    rule = ["---:" if i in right else "---" for i in range(len(head))]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in (head, rule, *rows))
