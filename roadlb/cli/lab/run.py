"""`roadlb lab run`: rehearse an incident, and report."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import click

from ..need import FAULTY, incident_at, need

if TYPE_CHECKING:
    from ...lab.incident import Incident
    from ...lab.judge import Verdict
    from ...lab.report import Subject
    from ...lab.wire import WireLog


NOT_THE_RUNS = frozenset({"took_s"})  # of the figures: it differs where nothing else does
ERRORS, MOST_ERRORS = ("program_errors", "faults"), 20


class Rehearsal(Protocol):
    """What a run leaves behind."""

    @property
    def log(self) -> WireLog: ...
    @property
    def verdict(self) -> Verdict: ...
    @property
    def origin_us(self) -> int | None: ...
    @property
    def figures(self) -> Mapping[str, Any]: ...


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=1, show_default=True, help="Of all that is drawn.")
@click.option(
    "--world",
    type=click.Choice(["sim", "real"]),
    default="sim",
    show_default=True,
    help="Simulated time and network, or real time on loopback sockets.",
)
@click.option(
    "--times",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="Play it so often with the same seed, and compare the runs.",
)
@click.option(
    "--json",
    "json_to",
    type=click.Path(dir_okay=False, allow_dash=True),
    help="Write the report for machines; - for standard output.",
)
@click.option("--html", "html_to", type=click.Path(dir_okay=False), help="Write the report as one page.")
@click.option("--png", "png_to", type=click.Path(file_okay=False), help="Write pictures into a folder.")
def run(
    file: str, seed: int, world: str, times: int, json_to: str | None, html_to: str | None, png_to: str | None
) -> None:
    """Rehearse the incident in FILE.

    Ends with 0 if every rule was kept, the program logged no error, and the runs agree: byte for byte in the
    simulated world, in the order in which nodes fell in the real one.  Ends with 1 otherwise.
    """
    incident, rehearse = incident_at(file), need("roadlb.lab.run").rehearse
    subjects = [subject_of(incident, rehearse(incident, seed, world), seed, world) for _ in range(times)]
    report(subjects[-1], json_to, html_to, png_to)
    agree = agreed(subjects, world)
    if times > 1:
        click.echo(f"{times} runs, which {'agree' if agree else 'differ'}", err=True)
    errors = [line for subject in subjects for key in ERRORS for line in subject.run.get(key, ())]
    for line in errors[:MOST_ERRORS]:
        click.echo(f"the program said: {line}", err=True)
    if not agree or errors or not all(subject.verdict.kept for subject in subjects):
        raise click.exceptions.Exit(FAULTY)


def subject_of(incident: Incident, rehearsal: Rehearsal, seed: int, world: str) -> Subject:
    from ...lab.incident import rules_of
    from ...lab.report import Subject

    return Subject(
        incident.name,
        incident.title,
        seed,
        world,
        rehearsal.log,
        rehearsal.verdict,
        rules_of(incident),
        rehearsal.origin_us,
        {key: value for key, value in rehearsal.figures.items() if key not in NOT_THE_RUNS},
    )


def agreed(subjects: list[Subject], world: str) -> bool:
    """Real time is never the same twice; who fell before whom should be."""
    if world == "sim":
        return len({subject.digest for subject in subjects}) == 1
    return len({subject.verdict.figures.fallen for subject in subjects}) == 1


def report(subject: Subject, json_to: str | None, html_to: str | None, png_to: str | None) -> None:
    """Tables always, on standard error if standard output is for the JSON; files as asked for."""
    from rich.console import Console

    from ...lab.report import html, machine, tables

    tables.print_report(subject, Console(stderr=json_to == "-"))
    if json_to == "-":
        click.echo(machine.text(subject), nl=False)
    elif json_to:
        Path(json_to).write_text(machine.text(subject), encoding="utf-8")
    if html_to:
        Path(html_to).write_text(html.page(subject), encoding="utf-8")
    if png_to:
        need("roadlb.lab.report.plots").save(subject, png_to)
