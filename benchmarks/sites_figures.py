"""What `sites.py` tells of runs: figures of one, tables of many, pairs of two trees."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from random import Random
from statistics import fmean
from typing import Any

import click

LOST_S, BACK_S, SETTLED_S = 12, 27, 4  # the hall goes, comes back; counted from so long after the loss
RESAMPLES = 4_000
PLAYED_OUT_S = 3  # before a run's end: what came due then is not all judged when it ends
AGAIN_S = 3  # a share holds again from the first of so many seconds in a row


# What is told of a run


def seconds(run: dict[str, Any], since_s: float, until_s: float) -> list[int]:
    """The whole seconds, as the run counts them, that lie within so long after arrivals began."""
    first = run["origin"] + since_s
    start = int(first) + (first > int(first))
    return [second for second in range(start, int(run["origin"] + until_s)) if str(second) in run["seconds"]]


def share(run: dict[str, Any], within: Iterable[int]) -> float:
    both = [run["seconds"][str(second)] for second in within]
    return sum(served for _, served in both) / max(1e-9, sum(asked for asked, _ in both))


def outage(run: dict[str, Any], lost_s: float = LOST_S, until_s: float = BACK_S) -> dict[str, float]:
    """Of the time from SETTLED_S after the loss on: shares of the worth asked for, and of the bound."""
    within = seconds(run, lost_s + SETTLED_S, until_s)
    asked, served = (sum(run["seconds"][str(s)][i] for s in within) for i in (0, 1))
    bound, orders_first = (sum(run[name][str(s)] for s in within) for name in ("bound", "bound_orders"))
    by_class = {}
    for name, found in run["by_class"].items():
        both = [found.get(str(s), [0, 0]) for s in within]
        by_class[name] = sum(b[1] for b in both) / max(1e-9, sum(b[0] for b in both))
    each = [share(run, [s]) for s in within]
    return {
        "served": served / asked,
        "least": min(each),
        "most": max(each),
        "bound": bound / asked,
        "bound_orders": orders_first / asked,
        "of_bound": served / bound,
        "borne": fmean(run["borne"][str(s)] for s in within),
        "worth_s": served / len(within),
        "asked_s": asked / len(within),
        "order": by_class.get("order", 1.0),
        "read": by_class.get("grid-read", 1.0),
    }


def again(run: dict[str, Any], share_of: float, back_s: float = BACK_S) -> float | None:
    """Seconds from the return until so much is served for AGAIN_S; None: not in the run."""
    last = max(map(int, run["seconds"])) - PLAYED_OUT_S
    for second in range(int(run["origin"] + back_s), last - AGAIN_S + 1):
        if share(run, range(second, second + AGAIN_S)) >= share_of:
            return max(0.0, second - run["origin"] - back_s)
    return None


def loss_figures(run: dict[str, Any], knee: float | None = None) -> dict[str, float | None]:
    """`knee`: worth a second that the nodes left serve at the demand that they just bear."""
    after = [share(run, [s]) for s in seconds(run, BACK_S, BACK_S + 10)]
    out = outage(run)
    of_knee = [
        run["seconds"][str(s)][1] / min(knee, run["seconds"][str(s)][0]) if knee else None
        for s in seconds(run, LOST_S + SETTLED_S, BACK_S)
    ]
    there = [value for value in of_knee if value is not None]
    return {
        "whole": run["whole"],
        "worst 10 s": run["worst"],
        "reads": run["classes"].get("grid-read"),
        "orders": run["classes"].get("order"),
        "outage": out["served"],
        "least s": out["least"],
        "of knee": out["worth_s"] / min(knee, out["asked_s"]) if knee else None,
        "least of knee": min(there) if there else None,
        "bound": out["bound"],
        "of bound": out["of_bound"],
        "borne": out["borne"],
        "orders then": out["order"],
        "reads then": out["read"],
        "after, least s": min(after),
        "after less outage": min(after) - out["served"],
        "95% after s": again(run, 0.95),
        "98% after s": again(run, 0.98),
        "refused": run["refused"] / run["tries"],
        "order kept": kept(run, "within 0.5 s"),
    }


def kept(run: dict[str, Any], how: str) -> float:
    counted = run["order"][how]
    return counted["kept"] / counted["refusals"] if counted["refusals"] else 1.0


# Tables


def tell(head: Sequence[str], lines: Sequence[Sequence[str]]) -> None:
    """As Markdown, which a page takes as it is."""
    widths = [max(len(row[i]) for row in (head, *lines)) for i in range(len(head))]
    for number, row in enumerate((head, *lines)):
        click.echo(
            "| "
            + " | ".join(
                word.rjust(w) if i else word.ljust(w)
                for i, (word, w) in enumerate(zip(row, widths, strict=True))
            )
            + " |"
        )
        if not number:
            click.echo(
                "|" + "|".join("-" * (w + 1) + ("-" if not i else ":") for i, w in enumerate(widths)) + "|"
            )


def interval(differences: Sequence[float]) -> tuple[float, float]:
    """The mean's 95% by bootstrap over the pairs."""
    rng = Random(1)
    means = sorted(fmean(rng.choices(differences, k=len(differences))) for _ in range(RESAMPLES))
    return means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES)]


def text(key: str, value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.1f}" if key.endswith("after s") else f"{value:.3f}" if key == "borne" else f"{value:.1%}"


def show(title: str, rows: Sequence[tuple[str, dict[str, float | None]]]) -> None:
    """A line for each, and their mean."""
    keys = list(rows[0][1])
    lines = [(name, *(text(key, found[key]) for key in keys)) for name, found in rows]
    lines.append(("mean", *(text(key, mean([found[key] for _, found in rows])) for key in keys)))
    click.echo(title)
    tell(("seed", *keys), lines)


def mean(values: Sequence[float | None]) -> float | None:
    there = [value for value in values if value is not None]
    return fmean(there) if there else None


def keep(out: Path | None, data: Any) -> None:
    if out:
        out.write_text(json.dumps(data, indent=1) + "\n")


def faults(runs: Sequence[dict[str, Any]]) -> str:
    """What must be nothing: falls, broken rules, errors, and more served than the strict bound."""
    return (
        f"nodes fell {sum(len(run['fell']) for run in runs)}, "
        f"rules broken {sum(sum(run['broken'].values()) for run in runs)}, "
        f"errors {sum(run['errors'] for run in runs)}, "
        f"orders run twice {sum(run['ran_twice'] for run in runs)}, served of the strict bound at most "
        f"{max(run['strict'] for run in runs):.1%}; a run took {fmean(r['took_s'] for r in runs):.0f} s"
    )


def paired(before: Sequence[dict[str, float | None]], after: Sequence[dict[str, float | None]]) -> None:
    """The mean of each figure's differences, seed by seed, and its 95% interval."""
    lines = []
    for key in before[0]:
        both = [(a[key], b[key]) for a, b in zip(before, after, strict=True)]
        pairs = [(a, b) for a, b in both if a is not None and b is not None]
        if pairs:
            differences = [b - a for a, b in pairs]
            low, high = interval(differences)
            unit = 1 if key.endswith("after s") or key == "borne" else 100
            lines.append(
                (
                    key,
                    text(key, fmean(a for a, _ in pairs)),
                    text(key, fmean(b for _, b in pairs)),
                    f"{unit * fmean(differences):+.2f}",
                    f"{unit * low:+.2f} to {unit * high:+.2f}",
                    str(len(pairs)),
                )
            )
    tell(("figure", "before", "after", "difference", "95%", "pairs"), lines)
