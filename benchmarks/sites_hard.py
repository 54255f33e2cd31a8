"""`sites.py hard`: hard cases of a site's loss, as incidents of `examples/incidents`, and what must hold.

No node is felled, none of the platform's rules is broken, no order runs twice, the program has no error, no
balancer says of a site without a fault that it is lost, none takes one back without its steps, and the swing
is bounded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import Any

import click
from sites_figures import SETTLED_S, again, faults, keep, seconds, share, show
from sites_runs import play, tree_of

ROOT = Path(__file__).resolve().parent.parent
INCIDENTS = ROOT / "examples" / "incidents"
# Between the best and the worst single second of a settled span.  Of calm demand alone, its lognormal orders
# included, 0.1; the swings that shedding had when it was two integrators in a ring were 0.82 (issue 29).
SWING = 0.5


@dataclass(slots=True, frozen=True)
class Case:
    """`spans`: seconds of the run between two faults, each with what is at fault then; `back_s`: the last is
    over; `lost`: the halls that a balancer may take for lost."""

    name: str
    spans: tuple[tuple[str, float, float], ...]
    back_s: float
    lost: frozenset[int]


CASES = (
    Case("relapse-after-return", (("first", 12, 22), ("relapse", 25, 35)), 35, frozenset({1})),
    Case("returns-overlap", (("one", 10, 13), ("two", 13, 24)), 26, frozenset({1, 2})),
    # Within a hall that is cut off, the others are out of reach.
    Case("hall-dark", (("dark", 12, 27),), 27, frozenset({0, 1, 2})),
    Case("lost-in-release", (("lost", 12, 24),), 24, frozenset({1})),
)


def settled(run: dict[str, Any], since_s: float, until_s: float) -> list[int]:
    """Seconds of a span, from SETTLED_S after its begin on."""
    return seconds(run, since_s + SETTLED_S, until_s)


def swing(run: dict[str, Any], within: Iterable[int]) -> float:
    each = [share(run, [second]) for second in within]
    return max(each) - min(each) if each else 0.0


def figures(run: dict[str, Any], case: Case) -> dict[str, float | None]:
    told: dict[str, float | None] = {
        "whole": run["whole"],
        "worst 10 s": run["worst"],
        "reads": run["classes"].get("grid-read"),
        "orders": run["classes"].get("order"),
    }
    spans = []
    for name, since_s, until_s in case.spans:
        within = settled(run, since_s, until_s)
        if within:
            each = [share(run, [second]) for second in within]
            spans.append((share(run, within), swing(run, within)))
            told |= {f"{name}, mean": spans[-1][0], f"{name}, least s": min(each)}
    after = [share(run, [second]) for second in seconds(run, case.back_s + 2, case.back_s + 10)]
    return {
        **told,
        "swing": max(width for _, width in spans),
        "after 2 s, least s": min(after),
        "after less outage": min(after) - spans[-1][0],
        "95% after s": again(run, 0.95, case.back_s),
        "refused": run["refused"] / run["tries"],
    }


def breaches(run: dict[str, Any], case: Case) -> list[str]:
    """What a run must not show, in words; none: it keeps the rules."""
    found = [f"node {node} fell" for node in run["fell"]]
    found += [f"rule {rule} broken {count} times" for rule, count in run["broken"].items() if count]
    found += [f"{run['ran_twice']} orders ran twice"] if run["ran_twice"] else []
    found += [f"{run['errors']} errors of the program"] if run["errors"] else []
    said = Counter(
        (balancer, site)
        for _, balancer, site, state, _ in run["changes"]
        if state == "lost" and site not in case.lost
    )
    found += [
        f"balancer {balancer} said {count} times that hall {site} is lost"
        for (balancer, site), count in sorted(said.items())
    ]
    skipped = Counter(site for _, _, site, state, _ in run["changes"] if state == "forgotten")
    found += [
        f"hall {site} was whole to {count} balancers without a step: the list dropped it on its return"
        for site, count in skipped.items()
    ]
    for name, since_s, until_s in case.spans:
        width = swing(run, settled(run, since_s, until_s))
        found += [f"a swing of {width:.2f} in {name}"] if width > SWING else []
    return found


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--first", default=2, show_default=True, help="Of the seeds.")
@click.option("--tree", default=str(ROOT), help="Root of the sources to measure.")
@click.option("--only", default="", help="Part of a case's name.")
@click.option("--out", type=click.Path(path_type=Path), help="Keep all figures as JSON.")
@click.option("--jobs", default=2, show_default=True, help="Processes at once.")
@click.option("--trace", is_flag=True, help="Each second's share, and all changes of sites' states.")
def hard(seeds: int, first: int, tree: str, only: str, out: Path | None, jobs: int, trace: bool) -> None:
    """Hard cases: a relapse, overlapping returns, a dark hall, a loss in a release; ends with 1 if a rule is
    broken."""
    chosen = [case for case in CASES if only in case.name]
    runs = play(
        [
            {"incident": (INCIDENTS / f"{case.name}.toml").read_text(), "seed": seed}
            for case in chosen
            for seed in range(first, first + seeds)
        ],
        tree_of(tree),
        jobs,
    )
    broken = 0
    for number, case in enumerate(chosen):
        mine = runs[number * seeds : (number + 1) * seeds]
        show(case.name, [(str(run["seed"]), figures(run, case)) for run in mine])
        click.echo(faults(mine))
        for run in mine:
            for breach in breaches(run, case):
                broken += 1
                click.echo(f"{case.name}, seed {run['seed']}: {breach}")
            if trace:
                click.echo(traced(run, case))
    keep(out, runs)
    click.echo(f"{broken} breaches in {len(runs)} runs")
    raise SystemExit(bool(broken))


def traced(run: dict[str, Any], case: Case) -> str:
    """Served by second from before the first fault to 10 s after the last; who said what of which hall."""
    within = seconds(run, case.spans[0][1] - 2, min(case.back_s + 12, 99))
    lines = [
        f"{case.name}, seed {run['seed']}, from second {within[0]}: "
        + " ".join(f"{100 * share(run, [second]):.0f}" for second in within)
    ]
    return "\n".join([*lines, *told(run["changes"])])


def told(changes: Sequence[Sequence[Any]]) -> list[str]:
    """By hall and state: when each balancer came to it first."""
    when: dict[tuple[int, str], list[float]] = {}
    for at, _, site, state, _ in changes:
        when.setdefault((site, state), []).append(at)
    return [
        f"  hall {site} {state}: {len(at)} times, {min(at):.1f} to {max(at):.1f} s, mean {fmean(at):.1f}"
        for (site, state), at in sorted(when.items())
    ]
