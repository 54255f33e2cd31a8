"""`sites.py forecast` and `sites.py alarms`: what is foretold beside what the lab plays, and false alarms."""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import Any

import click
from sites_figures import PLAYED_OUT_S, faults, keep, outage, tell
from sites_runs import play, tree_of

from roadlb.cli.site.plan import described as described_in
from roadlb.lab.incident import load
from roadlb.sites.forecast import forecast_loss as foretold

LOST_S, END_S = 4, 18  # of END_S, the last PLAYED_OUT_S are left out
# Fixed figures, as operators know those of their own machines; only single nodes and wishes are drawn.
FIXED = """[fleet.cache]
gain = 0.5
remember_s = 8
keys_per_core = 27
[[fleet.machine]]
name = "new-2c"
share = 1.0
speed = 1.0
speed_spread = 0.05
choke = 0.1
waiting_per_core = 20
cold_share = 0.25
cold_s = 18
[[traffic.class]]
name = "grid-read"
share = {reads}
work_ms = 15
aim_s = 0.5
deadline_s = 2.5
worth = 2
repeatable = true
[[traffic.class]]
name = "order"
share = {orders}
work_ms = 95
aim_s = 0.6
deadline_s = 2.0
worth = 10
repeatable = false
distribution = "lognormal"
"""


@dataclass(slots=True, frozen=True)
class Deployment:
    """Nodes by hall, first tries a second, and the halls that are lost."""

    name: str
    nodes: dict[str, int]
    rate: float
    lost: tuple[str, ...]
    plan: tuple[str, ...] = ()
    orders: float = 0.3
    tenants: str = ""

    def text(self, steps: bool) -> str:
        groups = "".join(
            f'[[fleet.group]]\nmachine = "new-2c"\nhall = "{hall}"\ncount = {count}\n'
            for hall, count in self.nodes.items()
        )
        halls = ", ".join(f'"{hall}"' for hall in self.nodes)
        return (
            f'title = "{self.name}"\nduration_s = {END_S}\n[balancers]\nper_hall = 2\n'
            f"[network]\nhalls = [{halls}]\n[traffic]\nrate = {self.rate}\nquota_per_s = {self.rate}\n"
            + "".join(f"[[refusal]]\n{line}\n" for line in self.plan)
            + FIXED.format(reads=round(1 - self.orders, 2), orders=self.orders)
            + self.tenants
            + groups
            + "".join(
                f'[[step]]\ndo = "lose_hall"\nhall = "{hall}"\nat_s = {LOST_S}\n'
                for hall in (self.lost if steps else ())
            )
        )


def even(count: int, each: int) -> dict[str, int]:
    return {f"hall-{letter}": each for letter in "abcdef"[:count]}


UNEVEN, MOST_IN_ONE, SINGLE = (
    {"hall-a": a, "hall-b": b, "hall-c": c} for a, b, c in ((6, 4, 2), (7, 3, 2), (6, 5, 1))
)
READS_FIRST = ('class = "grid-read"',)
ORDERS_FIRST = ('class = "order"',)
DEPLOYMENTS = (
    Deployment("three even halls, one lost, borne", even(3, 4), 300, ("hall-b",)),
    Deployment("three even halls, one lost", even(3, 4), 600, ("hall-b",)),
    Deployment("the same, reads first by plan", even(3, 4), 600, ("hall-b",), READS_FIRST),
    Deployment("the same, orders first by plan", even(3, 4), 600, ("hall-b",), ORDERS_FIRST),
    Deployment("6, 4 and 2 nodes, the largest lost", UNEVEN, 520, ("hall-a",)),
    Deployment("6, 4 and 2 nodes, the smallest lost", UNEVEN, 600, ("hall-c",)),
    Deployment("60% in one hall, it is lost", MOST_IN_ONE, 450, ("hall-a",)),
    Deployment("a hall of a single node lost", SINGLE, 600, ("hall-c",)),
    Deployment("a hall of a single node beside, 6 lost", SINGLE, 500, ("hall-a",)),
    Deployment("two of three even halls lost", even(3, 4), 450, ("hall-a", "hall-b")),
    Deployment("two of four halls lost", even(4, 3), 450, ("hall-a", "hall-c")),
    Deployment("mostly orders, one of three lost", even(3, 4), 250, ("hall-b",), (), 0.7),
)


def told_of(what: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """The options that both commands have; `what` is what they play many of."""
    options = (
        click.option("--first", default=1, show_default=True, help="Of the seeds."),
        click.option(
            "--tree", default=str(Path(__file__).resolve().parent.parent), help="Root of the sources."
        ),
        click.option("--only", default="", help=f"Part of a {what}'s name."),
        click.option("--out", type=click.Path(path_type=Path), help="Keep all figures as JSON."),
        click.option("--jobs", default=2, show_default=True, help="Processes at once."),
    )

    def add(command: Callable[..., None]) -> Callable[..., None]:
        for option in reversed(options):
            command = option(command)
        return command

    return add


@click.command()
@click.option("--seeds", default=4, show_default=True)
@told_of("deployment")
def forecast(seeds: int, first: int, tree: str, only: str, out: Path | None, jobs: int) -> None:
    """Worth served in the outage: foretold by `roadlb site plan`, and played."""
    chosen = [one for one in DEPLOYMENTS if only in one.name]
    runs = play(
        [
            {"incident": one.text(True), "seed": seed}
            for one in chosen
            for seed in range(first, first + seeds)
        ],
        tree_of(tree),
        jobs,
    )
    rows: list[dict[str, Any]] = []
    for number, one in enumerate(chosen):
        mine = runs[number * seeds : (number + 1) * seeds]
        played = [outage(run, LOST_S, END_S - PLAYED_OUT_S) for run in mine]
        rows.append(
            {
                "deployment": one.name,
                **foretold_of(one),
                **{
                    f"played {key}": fmean(found[name] for found in played)
                    for key, name in (
                        ("worth", "served"),
                        ("orders", "order"),
                        ("reads", "read"),
                        ("bound", "bound"),
                    )
                },
                "hits": fmean(run["hits"] for run in mine),
            }
        )
    tell(
        (
            "deployment",
            "foretold",
            "played",
            "off by",
            "bound",
            "orders foretold",
            "played",
            "reads foretold",
            "played",
            "hits",
        ),
        [
            (
                row["deployment"],
                f"{row['worth']:.1%}",
                f"{row['played worth']:.1%}",
                f"{100 * (row['worth'] - row['played worth']):+.1f}",
                f"{row['played bound']:.1%}",
                f"{row['orders']:.1%}",
                f"{row['played orders']:.1%}",
                f"{row['reads']:.1%}",
                f"{row['played reads']:.1%}",
                f"{row['hits']:.1%}",
            )
            for row in rows
        ],
    )
    click.echo(
        f"off by {fmean(abs(row['worth'] - row['played worth']) for row in rows):.1%} in the mean, "
        f"{max(abs(row['worth'] - row['played worth']) for row in rows):.1%} at most"
    )
    click.echo(faults(runs))
    keep(out, rows)


def foretold_of(one: Deployment) -> dict[str, float]:
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(one.text(False))
        file.flush()
        sites, demands, told_s = described_in(load(file.name), None)
    found = foretold(sites, demands, one.lost, told_s)

    def of(name: str) -> float:
        both = [(demand.per_s, share) for demand, share in found.kept.items() if demand.name == name]
        return sum(per_s * share for per_s, share in both) / sum(per_s for per_s, _ in both)

    return {"worth": found.worth, "orders": of("order"), "reads": of("grid-read")}


# False alarms

CUTS = "".join(
    f'[[step]]\ndo = "cut_hall"\nhall = "hall-b"\nat_s = {at}\nfor_s = {{for_s}}\n' for at in range(4, 36, 4)
)
SLOW_HALF = '[[step]]\ndo = "slow"\nat_s = 8\nfor_s = 20\nfactor = 3\nshare = 1.0\nmachine = "old-2c"\n'
SLOW_HALL = '[[step]]\ndo = "slow"\nat_s = 8\nfor_s = 20\nfactor = 6\nhall = "hall-b"\n'
DEPLOY = '[[step]]\ndo = "deploy"\nat_s = 5\nover_s = 25\n'
ONE_NODE = "".join(
    f'[[fleet.group]]\nmachine = "new-2c"\nhall = "hall-{hall}"\ncount = {count}\n'
    for hall, count in (("a", 6), ("b", 6), ("c", 1))
)
QUIET = (  # name, first tries a second, and what happens; no hall is ever lost
    ("calm", 200, ""),
    ("twice what is borne", 900, ""),
    ("slow half", 330, SLOW_HALF),
    ("a hall six times slower", 330, SLOW_HALL),
    ("a release", 330, DEPLOY),
    ("a hall of one node, at its limit", 520, ONE_NODE),
    ("cut for 0.2 s every 4 s", 300, CUTS.format(for_s=0.2)),
    ("cut for 1 s every 4 s", 300, CUTS.format(for_s=1)),
)
BALANCERS, QUIET_S = 6, 40


@click.command()
@click.option("--seeds", default=6, show_default=True)
@told_of("case")
def alarms(seeds: int, first: int, tree: str, only: str, out: Path | None, jobs: int) -> None:
    """How often a balancer calls a site doubtful or lost where none is lost."""
    chosen = [case for case in QUIET if only in case[0]]
    runs = play(
        [
            {
                "incident": f'title = "{name}"\nduration_s = {QUIET_S}\n[balancers]\nper_hall = 2\n'
                f"[traffic]\nrate = {rate}\n{what}",
                "seed": seed,
            }
            for name, rate, what in chosen
            for seed in range(first, first + seeds)
        ],
        tree_of(tree),
        jobs,
    )
    hours, rows = seeds * QUIET_S / 3600, []
    for number, (name, _, _) in enumerate(chosen):
        mine = runs[number * seeds : (number + 1) * seeds]
        became = Counter(change[3] for run in mine for change in run["changes"])
        rows.append(
            {
                "case": name,
                "doubtful": became["doubtful"],
                "lost": became["lost"],
                "balancer_hours": hours * BALANCERS,
                "runs with a loss": sum(
                    any(change[3] == "lost" for change in run["changes"]) for run in mine
                ),
                "held s": held(mine),
                "whole": fmean(run["whole"] for run in mine),
            }
        )
    tell(
        (
            "case",
            "doubtful",
            "an hour and balancer",
            "lost",
            "an hour and balancer",
            "runs with one lost",
            "lost for s, each",
            "whole run",
        ),
        [
            (
                row["case"],
                str(row["doubtful"]),
                f"{row['doubtful'] / row['balancer_hours']:.0f}",
                str(row["lost"]),
                f"{row['lost'] / row['balancer_hours']:.0f}",
                f"{row['runs with a loss']} of {seeds}",
                f"{row['held s']:.2f}",
                f"{row['whole']:.1%}",
            )
            for row in rows
        ],
    )
    click.echo(faults(runs))
    keep(out, rows)


def held(runs: Sequence[dict[str, Any]]) -> float:
    """Seconds for which a balancer held a site for lost, in the mean; to the run's end, where it did."""
    spans = []
    for run in runs:
        since: dict[tuple[int, int], float] = {}
        for at, balancer, site, state, _ in run["changes"]:
            if state == "lost":
                since[balancer, site] = at
            elif (balancer, site) in since:
                spans.append(at - since.pop((balancer, site)))
        spans += [QUIET_S - at for at in since.values()]
    return fmean(spans) if spans else 0.0
