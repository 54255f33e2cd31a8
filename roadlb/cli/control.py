"""`roadlb control FILE` and `roadlb control check FILE`: the control service."""

from __future__ import annotations

import asyncio
import re
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .need import FAULTY, need

if TYPE_CHECKING:
    from ..control.settings import Settings


class FileOrCheck(click.Group):
    """A group whose first word may be the file itself."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            args = ["run", *args]
        return super().parse_args(ctx, args)


@click.group(cls=FileOrCheck, context_settings={"help_option_names": ["-h", "--help"]})
def control() -> None:
    """Tell other proxies which nodes get work: `roadlb control FILE` serves by the settings in FILE."""


@control.command(hidden=True)
@click.argument("file", type=click.Path(dir_okay=False))
def run(file: str) -> None:
    """Serve by the settings in FILE, until interrupted."""
    settings = read(file)
    service = need("roadlb.control.service")
    need("roadlb.log").set_up()
    try:
        with asyncio.Runner(loop_factory=need("uvloop").new_event_loop) as runner:
            runner.run(service.serve(settings))
    except OSError as e:
        raise click.ClickException(str(e)) from None


@control.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Check the settings in FILES; each problem is one line with file, line, key and remedy."""
    faulty = False
    for file in files:
        try:
            settings = read(file)
        except click.exceptions.Exit:
            faulty = True
        else:
            names = ", ".join(one.name for one in settings.listeners)
            click.echo(
                f"{file}: sound; listens on {settings.listen}, asks {settings.discovery}, "
                f"tells of {settings.cluster} under {names}"
            )
    if faulty:
        raise click.exceptions.Exit(FAULTY)


def read(file: str) -> Settings:
    """The settings in a file; its problems go to standard error, a line for each, and end the command."""
    problems: list[tuple[int, str]] = []
    try:
        settings = _settings(Path(file).read_text(encoding="utf-8"), problems)
    except (OSError, UnicodeDecodeError) as e:
        settings = None
        problems.append((1, f"cannot be read: {getattr(e, 'strerror', None) or 'is not UTF-8'}"))
    if settings is None or problems:
        for line, text in sorted(problems):
            click.echo(f"{file}:{line}: {text}", err=True)
        raise click.exceptions.Exit(FAULTY)
    return settings


def _settings(text: str, problems: list[tuple[int, str]]) -> Settings | None:
    """The reader of incidents knows how to find all problems and their lines."""
    lines, load = need("roadlb.lab.incident.lines"), need("roadlb.lab.incident.load")
    kind = need("roadlb.control.settings")
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        at = re.search(r"at line (\d+)", str(e))
        problems.append((int(at.group(1)) if at else text.count("\n") + 1, f"is not TOML: {e}"))
        return None
    found: list[tuple[Any, str]] = []
    settings: Settings | None = load.gather(raw, kind.Settings, (), found)
    if settings is not None and not found:
        found.extend(kind.faults(settings))
    if found:
        where = lines.key_lines(text)
        problems += [
            (lines.line_of(where, path), f"{load.dotted(path)}: {what}" if path else what)
            for path, what in found
        ]
    return settings
