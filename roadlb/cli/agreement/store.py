"""What both groups of commands share: the settings in a control service's file, the store behind them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeVar

import click

from ..control import read
from ..need import need

if TYPE_CHECKING:
    from ...control.settings import AgreementSettings
    from ...issuing.archive import Archive

T = TypeVar("T")

FILE = click.argument("file", type=click.Path(dir_okay=False))
JSON = click.option("--json", "as_json", is_flag=True, help="For machines.")
WHY = click.option("--why", required=True, help="For those who read the history.")
WAIT = click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(0.1, 60),
    default=10.0,
    show_default=True,
    help="Seconds for the leader to carry it out.",
)


def settings(file: str) -> AgreementSettings:
    told = read(file).agreement
    if told is None:
        raise click.ClickException(f"{file}: has no [agreement]: name the control services' store there")
    return told


def with_archive(file: str, do: Callable[[Archive], Awaitable[T]]) -> T:
    """What `do` gives; every failure is one line and exit code 1."""
    told, archive = settings(file), need("roadlb.issuing.archive")

    async def run() -> T:
        opened = archive.Archive(told)
        try:
            return await do(opened)
        finally:
            await opened.close()

    try:
        return asyncio.run(run())
    except (need("roadlb.etcd.model").StoreError, archive.ArchiveError) as e:
        raise click.ClickException(str(e)) from None


def give(file: str, order: Any, wait_s: float, done: str, as_json: bool) -> None:
    """Have an order carried out, and say so."""
    answer = with_archive(file, lambda archive: archive.order(order, wait_s))
    if as_json:
        import json

        click.echo(json.dumps({"done": not answer, "reason": answer}))
    elif not answer:
        click.echo(done)
    if answer:
        if not as_json:
            click.echo(f"not done: {answer}", err=True)
        raise click.exceptions.Exit(1)


def table(title: str, columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """On a terminal and in a pipe alike; a pipe is as wide as it need be."""
    from rich import box
    from rich.console import Console
    from rich.table import Table

    console = Console()
    made = Table(*columns, title=title, title_justify="left", box=box.SIMPLE)
    for row in rows:
        made.add_row(*(click.unstyle(text).replace("[", r"\[") for text in row))
    if not console.is_terminal:
        console = Console(width=max(console.width, 4_000))
    console.print(made)
