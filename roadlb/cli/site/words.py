"""`roadlb site status|out|in`: sites at running balancers, through the operators' door of each."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

import click

from ..need import FAULTY

CALL_S = 2.0  # for one balancer's answer


def ask(door: str, method: str, path: str) -> tuple[bool, str]:
    """(was it a yes, what was said) of the balancer whose door is at `host:port`."""
    host, _, port = door.rpartition(":")
    if not host or not port.isdigit():
        return False, f"{door!r} is not host:port"
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=CALL_S)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status // 100 == 2, answer.read().decode(errors="replace").strip()
    except (OSError, http.client.HTTPException) as e:
        return False, f"not reached: {e}"
    finally:
        connection.close()


def say(found: Iterable[tuple[str, bool, str]], as_json: bool) -> None:
    """A line for each site of each balancer, or all as JSON; ends with FAULTY where a balancer said no."""
    rows: list[dict[str, Any]] = []
    faults = {}
    for door, yes, text in found:
        told = json.loads(text) if yes else None
        if told is None:
            faults[door] = text
        else:
            rows += [{"balancer": door, **site} for site in told.get("sites", [told])]
    if as_json:
        click.echo(json.dumps({"sites": rows, "faults": faults}, indent=1))
    elif rows:
        click.echo(
            f"{'balancer':<22} {'site':<12} {'state':<10} {'share':>6} {'for s':>8} {'servers':>7} "
            f"{'silent':>6} {'relapses':>8}"
        )
        for row in rows:
            held = "-" if row["for_s"] is None else f"{row['for_s']:.1f}"
            click.echo(
                f"{row['balancer']:<22} {row['site']:<12} {row['state']:<10} {row['share']:>6.0%} "
                f"{held:>8} {row['servers']:>7} {row['silent']:>6} {row['relapses']:>8}"
            )
    for door, text in faults.items():
        click.echo(f"{door}: {text}", err=True)
    if faults:
        raise click.exceptions.Exit(FAULTY)


@click.command()
@click.argument("doors", nargs=-1, required=True, metavar="HOST:PORT...")
@click.option("--json", "as_json", is_flag=True, help="For machines.")
def status(doors: tuple[str, ...], as_json: bool) -> None:
    """How each site stands with the balancers whose doors these are."""
    say(((door, *ask(door, "GET", "/control/sites")) for door in doors), as_json)


def word(name: str, text: str) -> click.Command:
    @click.command(name, help=text)
    @click.argument("site")
    @click.argument("doors", nargs=-1, required=True, metavar="HOST:PORT...")
    @click.option("--json", "as_json", is_flag=True, help="For machines.")
    def command(site: str, doors: tuple[str, ...], as_json: bool) -> None:
        path = f"/control/site/{quote(site, safe='')}/{name}"
        say(((door, *ask(door, "PUT", path)) for door in doors), as_json)

    return command


out = word("out", "Take SITE out of service at these balancers: nothing new goes there, from now on.")
put_in = word("in", "Put SITE in service again at these balancers: it takes load in steps.")
