"""`roadlb versions show|diff|history|accept|propose`: versions in the control services' store."""

from __future__ import annotations

import json
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..need import need
from .store import FILE, JSON, WAIT, WHY, give, table, with_archive

if TYPE_CHECKING:
    from ...issuing.archive import Archive


@click.command()
@FILE
@click.argument("version", default="force")
@JSON
def show(file: str, version: str, as_json: bool) -> None:
    """VERSION in full, by the store that FILE, a control service's settings, names.

    VERSION is `force` (the default), `prepared`, an `EPOCH.NUMBER`, or `#LINE` of the history.
    """
    archive = need("roadlb.issuing.archive")

    async def find(at: Archive) -> dict[str, Any]:
        return dict(archive.shown(at.find(await at.read(), version)))

    told = with_archive(file, find)
    if as_json:
        click.echo(json.dumps(told, indent=1))
        return
    click.echo(f"version {told['version']}" + (f", meant: {told['meant']}" if told["meant"] else ""))
    table("settings", ("path", "value"), list(told["settings"].items()))
    for name, nodes in told["clusters"].items():
        table(
            f"list {name}",
            ("node", "started_ms", "address", "hall", "lifecycle", "health", "weight"),
            [tuple(str(value) for value in node.values()) for node in nodes],
        )


@click.command()
@FILE
@click.argument("before")
@click.argument("after")
@JSON
def diff(file: str, before: str, after: str, as_json: bool) -> None:
    """What differs from version BEFORE to AFTER, named as for `show`, and whether it narrows or grants."""
    archive = need("roadlb.issuing.archive")

    async def compare(at: Archive) -> list[dict[str, str]]:
        seen = await at.read()
        found: list[dict[str, str]] = archive.differences(
            at.find(seen, before).contents, at.find(seen, after).contents
        )
        return found

    rows = with_archive(file, compare)
    if as_json:
        click.echo(json.dumps(rows, indent=1))
    elif not rows:
        click.echo("they say the same")
    else:
        table(
            f"{before} to {after}",
            ("key", "before", "after", "kind"),
            [(row["key"], row["before"] or "-", row["after"] or "-", row["kind"]) for row in rows],
        )


@click.command()
@FILE
@JSON
def history(file: str, as_json: bool) -> None:
    """What became of versions and proposals, the newest last; those marked * can be shown and accepted."""
    archive = need("roadlb.issuing.archive")

    async def read(at: Archive) -> list[dict[str, Any]]:
        return [archive.shown_line(line) for line in (await at.read()).lines]

    lines = with_archive(file, read)
    if as_json:
        click.echo(json.dumps(lines, indent=1))
    else:
        table(
            "history",
            ("line", "when", "what", "version", "by", "why"),
            [
                (
                    f"#{line['line']}{'*' if line['kept'] else ''}",
                    datetime.fromtimestamp(line["at_ms"] / 1e3).isoformat(" ", "seconds"),
                    line["word"],
                    line["version"] or "-",
                    line["by"],
                    line["text"],
                )
                for line in lines
            ],
        )


@click.command()
@FILE
@click.argument("line", type=click.IntRange(1))
@WHY
@WAIT
@JSON
def accept(file: str, line: int, why: str, wait_s: float, as_json: bool) -> None:
    """Propose again what LINE of the history holds, as meant: guards let this one version pass."""
    order = need("roadlb.issuing.history").Order("accept", why, line=line)
    give(file, order, wait_s, f"proposed, as meant: what line {line} holds", as_json)


@click.command()
@FILE
@click.argument("settings", type=click.Path(dir_okay=False, exists=True))
@WHY
@WAIT
@JSON
def propose(file: str, settings: str, why: str, wait_s: float, as_json: bool) -> None:
    """Propose the settings of SETTINGS, a balancer's configuration, with the list as it stands."""
    config = need("roadlb.config")
    try:
        pairs = config.Pairs.from_json(json.loads(Path(settings).read_text(encoding="utf-8"))["settings"])
        config.read_settings(pairs)
    except (config.ConfigError, KeyError, TypeError, ValueError, OSError) as e:
        raise click.ClickException(f"{settings}: {e}") from None
    order = need("roadlb.issuing.history").Order("propose", why, dict(pairs.values))
    give(file, order, wait_s, "proposed", as_json)
