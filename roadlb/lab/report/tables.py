"""A run as tables for the terminal, by rich, which is loaded only here and by the command line."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from .subject import SECOND_US, Subject

MOST_OF_A_RULE = 3  # violations that fit on a terminal; the page and the JSON have more


def print_report(subject: Subject, console: Console) -> None:
    """Everything a person wants at once: kept or not, worth, figures, what broke, who fell."""
    verdict = subject.verdict
    console.print(
        f"[bold]{escape(subject.title)}[/bold] ({escape(subject.name)}, seed {subject.seed}, "
        f"world {subject.world}, {subject.seconds:.1f} s)"
    )
    if verdict.kept:
        console.print("all rules kept", style="green")
    else:
        console.print(f"{sum(verdict.counts.values())} violations", style="bold red")
    console.print(worth_table(subject), figures_table(subject), latency_table(verdict.figures.latency_ms))
    if subject.fallen:
        console.print(
            table(
                ("fell, in this order", "second"),
                ((fell.node, f"{subject.second(fell.at):.3f}") for fell in subject.fallen),
            )
        )
    for rule, times in verdict.counts.items():
        console.print(f"[red]{rule.value}[/red], {times} times", highlight=False)
        told = [one for one in verdict.violations if one.rule is rule]
        for one in told[:MOST_OF_A_RULE]:
            console.print(f"  {subject.second(one.at):.3f} s: {escape(one.text)}", highlight=False)
    console.print(f"digest {subject.digest}", style="dim", highlight=False)


def worth_table(subject: Subject) -> Table:
    worth = subject.verdict.worth
    begin = worth.worst_window_at_s - subject.start_us // SECOND_US
    rows = [
        ("service", f"{worth.service:.2%}"),
        ("whole run", f"{worth.whole:.2%}"),
        (f"worst 10 s, from {begin} s on", f"{worth.worst_window:.2%}"),
    ]
    rows += [(f"class {name}", f"{share:.2%}") for name, share in worth.by_class.items()]
    rows += [(f"customer {name}", f"{share:.2%}") for name, share in worth.by_tenant.items()]
    rows += [(f"price of {name.replace('_', ' ')}", f"-{price:.2%}") for name, price in worth.prices.items()]
    return table(("worth served", "share"), rows)


def figures_table(subject: Subject) -> Table:
    told = subject.verdict.figures
    rows = [
        ("wishes", told.wishes),
        ("in time", told.in_time),
        ("late", told.late),
        ("unanswered", told.unanswered),
        ("tries", told.tries),
        ("served", told.served),
        ("refused", told.refused),
        ("failed", told.failed),
        ("lost", told.lost),
        ("gone or excused", told.gone),
        ("open at the end", told.open_at_end),
        ("attempts", told.attempts),
        ("probes", told.probes),
        ("orders that ran twice", told.ran_twice),
    ]
    texts = [(name, str(value)) for name, value in rows]
    texts.append(("attempts a try", f"{told.attempts_per_try:.3f}"))
    if told.lagged_s:
        texts.append(("held up, s", f"{told.lagged_s:.3f}"))
    if told.hit_share is not None:
        texts.append(("cache hits", f"{told.hit_share:.1%}"))
    return table(("figure", "count"), texts)


def latency_table(latency_ms: Mapping[str, Mapping[str, float]]) -> Table:
    """Quantiles in milliseconds, a row for each class."""
    heads = list(next(iter(latency_ms.values()), {}))
    return table(
        ("latency, ms", *heads),
        ((name, *(f"{told[head]:.1f}" for head in heads)) for name, told in latency_ms.items()),
    )


def table(heads: Iterable[str], rows: Iterable[Iterable[str]]) -> Table:
    """Plain rows; all columns but the first are numbers."""
    made = Table(box=None, pad_edge=False)
    for i, head in enumerate(heads):
        made.add_column(head, justify="right" if i else "left", no_wrap=bool(i))
    for row in rows:
        made.add_row(*map(escape, row))
    return made
