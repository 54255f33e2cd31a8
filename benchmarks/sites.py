"""The loss of a whole site, measured in the lab's simulated world against what the rest could have carried.

    python benchmarks/sites.py loss --seeds 10 --against ../before      the issue's table, two trees, paired
    python benchmarks/sites.py knee --seeds 10                          the demand that the rest just bears
    python benchmarks/sites.py demand --seeds 5 --plot demand.svg       0.5 to 4 times what can be borne
    python benchmarks/sites.py order --seeds 10                         refusals that kept a plan's order
    python benchmarks/sites.py large --of 40x60 --seeds 3               many balancers, many nodes
    python benchmarks/sites.py forecast                                 `roadlb site plan` beside the lab
    python benchmarks/sites.py alarms --seeds 10                        sites doubted and lost where none is
    python benchmarks/sites.py hard --seeds 3 --trace                   relapse, overlapping returns, others

Two processes at a time; `--out FILE` keeps all figures as JSON.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from statistics import fmean
from typing import Any

import click
from sites_beside import alarms, forecast
from sites_figures import (
    BACK_S,
    LOST_S,
    PLAYED_OUT_S,
    again,
    faults,
    keep,
    kept,
    loss_figures,
    outage,
    paired,
    seconds,
    share,
    show,
    tell,
)
from sites_hard import hard
from sites_runs import play, tree_of


ROOT = Path(__file__).resolve().parent.parent
RATE = 390.0
BORNE = 0.97  # of the worth asked for: then the demand is borne
# Words that the wire tells, so that each rank is certain.
PLAN = (
    'class = "grid-read"\ntry = "repeat"',
    'class = "grid-read"\ncustomer = "cesty-vychod"',
    'class = "grid-read"',
    'class = "order"\ntry = "repeat"',
)


def described(
    rate: float = RATE,
    duration_s: float = 45,
    back: bool = True,
    lost: Sequence[str] = ("hall-b",),
    lost_s: float = LOST_S,
    nodes: int = 11,
    per_hall: int = 2,
    plan: Sequence[str] = (),
    in_hall: str = "",
    more: str = "",
) -> str:
    """An incident as a file has it; customers together have a share of what is asked, and no less than
    usual."""
    back_s = f"back_after_s = {BACK_S - lost_s}\nlist_age_s = 10\n" if back else ""
    steps = "".join(
        f'[[step]]\ndo = "lose_hall"\nhall = "{hall}"\nat_s = {lost_s}\n{back_s}' for hall in lost
    )
    return (
        f'title = "A hall is lost whole"\nduration_s = {duration_s}\n[balancers]\nper_hall = {per_hall}\n'
        f"{in_hall}\n[fleet]\nnodes = {nodes}\n[traffic]\nrate = {rate}\n"
        f"quota_per_s = {max(rate, RATE)}\n{more}\n"
        + "".join(f"[[refusal]]\n{line}\n" for line in plan)
        + steps
    )


# Commands

SEEDS = click.option("--seeds", default=10, show_default=True)
FIRST = click.option("--first", default=1, show_default=True, help="Of the seeds.")
TREE = click.option("--tree", default=str(ROOT), help="Root of the sources to measure.")
OUT = click.option("--out", type=click.Path(path_type=Path), help="Keep all figures as JSON.")
JOBS = click.option("--jobs", default=2, show_default=True, help="Processes at once.")
KNEES = click.option(
    "--knees",
    type=click.Path(path_type=Path, exists=True),
    help="What `knee --out` kept: figures are told against it too.",
)
PLANNED = click.option("--planned/--by-worth", default=False, help="With a plan of refusal in force.")


@click.group(help=(__doc__ or "").partition("\n")[0])
def main() -> None:
    pass


main.add_command(forecast)
main.add_command(alarms)
main.add_command(hard)


@main.command()
@SEEDS
@FIRST
@TREE
@click.option("--against", help="Root of another tree: the same seeds, paired.")
@PLANNED
@KNEES
@click.option("--rate", default=RATE, show_default=True)
@OUT
@JOBS
def loss(
    seeds: int,
    first: int,
    tree: str,
    against: str | None,
    planned: bool,
    knees: Path | None,
    rate: float,
    out: Path | None,
    jobs: int,
) -> None:
    """A hall lost whole from 12 to 27 s: three halls, two balancers each."""
    knee_of = knees_in(knees)
    wanted = [
        {"incident": described(rate, plan=PLAN if planned else ()), "seed": seed}
        for seed in range(first, first + seeds)
    ]
    trees = {"before": tree_of(against)} if against else {}
    trees["after"] = tree_of(tree)
    found = {}
    for name, root in trees.items():
        runs = found[name] = play(wanted, root, jobs)
        show(
            f"{name}: {root.name}",
            [(str(run["seed"]), loss_figures(run, knee_of.get(run["seed"]))) for run in runs],
        )
        click.echo(faults(runs))
    keep(out, found)
    if against:
        before, after = (
            [loss_figures(run, knee_of.get(run["seed"])) for run in found[name]]
            for name in ("before", "after")
        )
        paired(before, after)


def knees_in(file: Path | None, key: str = "worth_s") -> dict[int, float]:
    """By seed, what `knee` has kept."""
    return {row["seed"]: row[key] for row in json.loads(file.read_text())} if file else {}


def without_return(rate: float, lost_s: float, until_s: float, **more: Any) -> str:
    """`until_s`: until then it is counted."""
    return described(rate, until_s + PLAYED_OUT_S, back=False, lost_s=lost_s, **more)


@main.command()
@SEEDS
@FIRST
@TREE
@click.option("--steps", default=5, show_default=True, help="Halvings of the span.")
@OUT
@JOBS
def knee(seeds: int, first: int, tree: str, steps: int, out: Path | None, jobs: int) -> None:
    """The highest demand of which the nodes left serve 97% of the worth, by halving; no return."""
    root, wanted = tree_of(tree), range(first, first + seeds)
    spans = {seed: (0.4 * RATE, 1.2 * RATE) for seed in wanted}
    best: dict[int, dict[str, Any]] = {}
    for _ in range(steps):
        rates = {seed: round(sum(span) / 2, 1) for seed, span in spans.items()}
        for run in play(
            [{"incident": without_return(rates[seed], 6, 20), "seed": seed} for seed in wanted], root, jobs
        ):
            seed, found = run["seed"], outage(run, 6, 20)
            low, high = spans[seed]
            if found["served"] >= BORNE:
                spans[seed] = rates[seed], high
                best[seed] = {
                    "seed": seed,
                    "rate": rates[seed],
                    "worth_s": found["worth_s"],
                    "served": found["served"],
                    "bound_rate": found["borne"] * rates[seed],
                }
            else:
                spans[seed] = low, rates[seed]
    rows = [best[seed] for seed in wanted if seed in best]
    tell(
        ("seed", "borne, requests/s", "of 390", "worth served/s", "served", "borne by the bound"),
        [
            (
                str(row["seed"]),
                f"{row['rate']:.0f}",
                f"{row['rate'] / RATE:.0%}",
                f"{row['worth_s']:.0f}",
                f"{row['served']:.1%}",
                f"{row['bound_rate']:.0f}",
            )
            for row in rows
        ],
    )
    keep(out, rows)


@main.command()
@click.option("--seeds", default=5, show_default=True)
@FIRST
@TREE
@click.option("--knees", type=click.Path(path_type=Path, exists=True), required=True)
@click.option("--times", default="0.5,0.75,1,1.25,1.5,2,3,4", show_default=True)
@click.option("--plot", type=click.Path(path_type=Path), help="SVG or PNG.")
@PLANNED
@OUT
@JOBS
def demand(
    seeds: int,
    first: int,
    tree: str,
    knees: Path,
    times: str,
    plot: Path | None,
    planned: bool,
    out: Path | None,
    jobs: int,
) -> None:
    """Worth served in the outage at multiples of the demand that the nodes left just bear."""
    rates, factors = knees_in(knees, "rate"), [float(word) for word in times.split(",")]
    wanted = [seed for seed in range(first, first + seeds) if seed in rates]
    plan = PLAN if planned else ()
    runs = play(
        [
            {"incident": without_return(factor * rates[seed], 4, 16, plan=plan), "seed": seed}
            for factor in factors
            for seed in wanted
        ],
        tree_of(tree),
        jobs,
    )
    rows = []
    for number, factor in enumerate(factors):
        found = [outage(run, 4, 16) for run in runs[number * len(wanted) : (number + 1) * len(wanted)]]
        usual = [knees_in(knees)[seed] for seed in wanted]
        rows.append(
            {
                "times": factor,
                "runs": len(found),
                **{
                    key: fmean(one[key] for one in found)
                    for key in ("worth_s", "served", "bound", "of_bound", "order", "read", "least")
                },
                "of_knee": fmean(one["worth_s"] / at for one, at in zip(found, usual, strict=True)),
                "bound_of_knee": fmean(
                    one["bound"] * one["asked_s"] / at for one, at in zip(found, usual, strict=True)
                ),
                "refused": fmean(
                    run["refused"] / run["tries"]
                    for run in runs[number * len(wanted) : (number + 1) * len(wanted)]
                ),
            }
        )
    tell(
        (
            "times",
            "worth served, of the knee's",
            "of the bound",
            "of what is asked",
            "orders",
            "reads",
            "worst second",
            "tries refused",
        ),
        [
            (
                f"{row['times']:g}",
                f"{row['of_knee']:.1%}",
                f"{row['of_bound']:.1%}",
                f"{row['served']:.1%}",
                f"{row['order']:.1%}",
                f"{row['read']:.1%}",
                f"{row['least']:.1%}",
                f"{row['refused']:.1%}",
            )
            for row in rows
        ],
    )
    click.echo(faults(runs))
    keep(out, rows)
    if plot:
        draw(rows, plot)


def draw(rows: Sequence[dict[str, Any]], to: Path) -> None:
    """Worth served and bound against demand, both in multiples of the knee."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(7, 4.2), layout="constrained")
    axes, times = figure.subplots(), [row["times"] for row in rows]
    axes.plot(times, [row["bound_of_knee"] for row in rows], "--", color="#888888", label="bound")
    axes.plot(times, [row["of_knee"] for row in rows], "o-", color="#0072b2", label="served")
    axes.plot(times, [row["of_bound"] for row in rows], "^:", color="#d55e00", label="served of the bound")
    axes.set(
        xlabel="demand, in multiples of what the nodes left just bear",
        ylabel="worth a second, of the same",
        ylim=(0, None),
        xlim=(0, None),
    )
    axes.legend(fontsize="small")
    figure.savefig(to, dpi=110, metadata={"Date": None} if to.suffix == ".svg" else {"Software": None})


@main.command()
@SEEDS
@FIRST
@TREE
@OUT
@JOBS
def order(seeds: int, first: int, tree: str, out: Path | None, jobs: int) -> None:
    """Refusals that kept the order, counted on the wire: a plan whose words the wire tells; by worth."""
    found = {}
    for name, plan in (("plan", PLAN), ("by worth", ())):
        runs = found[name] = play(
            [{"incident": described(plan=plan), "seed": seed} for seed in range(first, first + seeds)],
            tree_of(tree),
            jobs,
        )
        ways = list(runs[0]["order"])
        lines = [
            (
                str(run["seed"]),
                str(run["order"][ways[0]]["refusals"]),
                *(f"{kept(run, way):.2%}" for way in ways),
            )
            for run in runs
        ]
        totals = {
            way: (
                sum(run["order"][way]["kept"] for run in runs),
                sum(run["order"][way]["refusals"] for run in runs),
            )
            for way in ways
        }
        lines.append(
            ("all", str(totals[ways[0]][1]), *(f"{part / max(1, of):.2%}" for part, of in totals.values()))
        )
        click.echo(name)
        tell(("seed", "refusals", *ways), lines)
        for way in ways:
            pairs: dict[str, int] = {}
            for run in runs:
                for pair, count in run["order"][way]["pairs"].items():
                    pairs[pair] = pairs.get(pair, 0) + count
            click.echo(f"{way}: {pairs or 'none broken'}")
        click.echo(faults(runs))
    keep(out, found)


@main.command()
@click.option("--of", "size", default="40x60", show_default=True, help="Balancers x nodes.")
@click.option("--seeds", default=3, show_default=True)
@FIRST
@TREE
@click.option("--lost-s", default=8.0, show_default=True)
@click.option("--duration-s", default=30.0, show_default=True)
@click.option("--out-s", default=11.0, show_default=True, help="Until the hall is back.")
@click.option("--part", default=1.0, show_default=True, help="Of the usual demand for each node.")
@click.option("--ramp-s", default=0.0, show_default=True, help="So long demand rises, from a fifth on.")
@OUT
@JOBS
def large(
    size: str,
    seeds: int,
    first: int,
    tree: str,
    lost_s: float,
    duration_s: float,
    out_s: float,
    part: float,
    ramp_s: float,
    out: Path | None,
    jobs: int,
) -> None:
    """The same loss with many balancers and nodes, at the same demand for each node."""
    balancers, nodes = map(int, size.split("x"))
    rate, each = round(part * RATE * nodes / 11), balancers // 3
    ramp = f"rates = [[0, {rate / 5}], [{ramp_s}, {rate}]]"
    in_hall = f"in_hall = {{ hall-a = {balancers - 2 * each} }}"
    text_of = described(
        rate,
        duration_s,
        back=False,
        lost=(),
        nodes=nodes,
        per_hall=each,
        in_hall=in_hall,
        more=ramp if ramp_s else "",
    )
    text_of += (
        f'[[step]]\ndo = "lose_hall"\nhall = "hall-b"\nat_s = {lost_s}\n'
        f"back_after_s = {out_s}\nlist_age_s = 10\n"
    )
    runs = play(
        [
            {"incident": text_of, "seed": seed, "connections": round(300 * rate / RATE)}
            for seed in range(first, first + seeds)
        ],
        tree_of(tree),
        jobs,
    )
    rows, back_s = [], lost_s + out_s
    for run in runs:
        found = outage(run, lost_s, back_s)
        after = [share(run, [s]) for s in seconds(run, back_s, back_s + 8)]
        rows.append(
            (
                str(run["seed"]),
                {
                    "whole": run["whole"],
                    "worst 10 s": run["worst"],
                    "outage": found["served"],
                    "least s": found["least"],
                    "bound": found["bound"],
                    "of bound": found["of_bound"],
                    "orders then": found["order"],
                    "reads then": found["read"],
                    "after, least s": min(after),
                    "95% after s": again(run, 0.95, back_s),
                    "refused": run["refused"] / run["tries"],
                    "order kept": kept(run, "within 0.5 s"),
                },
            )
        )
    show(f"{size}: {rate} requests a second, lost from {lost_s:g} to {back_s:g} of {duration_s:g} s", rows)
    click.echo(faults(runs))
    keep(out, runs)


if __name__ == "__main__":
    main()
