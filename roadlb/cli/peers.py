"""`roadlb peers`: who is there, and what is shared, as the balancers whose doors these are see it."""

from __future__ import annotations

import json
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import click

from .need import FAULTY, need
from .site.words import ask

if TYPE_CHECKING:
    from rich.console import RenderableType
    from rich.table import Table

AGAIN_S = 1.0  # between two looks
ROWS_MOST = 60  # of one table: of members the odd ones come first, of shares those that differ most


def look(doors: tuple[str, ...]) -> tuple[dict[str, Any], dict[str, str]]:
    """What each door says, and why those that say nothing do not."""
    told, faults = {}, {}
    for door in doors:
        yes, text = ask(door, "GET", "/control/peers")
        if yes:
            told[door] = json.loads(text)
        else:
            faults[door] = text
    return told, faults


def summary(said: dict[str, Any]) -> str:
    """One line on a balancer itself and what it counts."""
    me, counts = said["me"], said["counts"]
    if me is None:
        return "waits for its address"
    dropped = sum(count for name, count in counts.items() if name.startswith("dropped."))
    states = Counter(member["state"] for member in said["members"])
    return (
        f"{me['name']}, cluster {me['cluster']}: {said['live']} there ("
        + ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        + f"); ill health {me['health']}{', doubts itself' if me['doubtful'] else ''}"
        f"{', CUT OFF: it hears nobody' if me['cut_off'] else ''}; "
        f"sent {counts.get('sent', 0)}, got {counts.get('got', 0)}, dropped {dropped}"
    )


def rows(said: dict[str, Any]) -> list[tuple[str, ...]]:
    """A row for each member, those that are not simply there first."""
    members = sorted(said["members"], key=lambda member: (member["state"] == "alive", member["name"]))
    return [
        (
            member["name"],
            member["hall"],
            member["state"],
            ", ".join(member["doubted_by"]) or "-",
            f"{member['life']}.{member['refutations']}",
            member["address"],
            "-" if member["heard_s"] is None else f"{member['heard_s']:.1f}",
            f"{member['for_s']:.0f}",
        )
        for member in members[:ROWS_MOST]
    ]


def table(door: str, said: dict[str, Any]) -> Table:
    made: Table = need("rich.table").Table(title=f"{door}: {summary(said)}", title_justify="left")
    for column in (
        "balancer",
        "hall",
        "state",
        "doubted by",
        "incarnation",
        "address",
        "heard s ago",
        "so for s",
    ):
        made.add_column(column)
    styles = {"alive": "", "suspect": "yellow", "dead": "red", "left": "dim"}
    for row in rows(said):
        made.add_row(*row, style=styles.get(row[2], ""))
    left_out = len(said["members"]) - ROWS_MOST
    if left_out > 0:
        made.caption = f"and {left_out} more"
    return made


def share_rows(shared: dict[str, Any]) -> list[tuple[str, ...]]:
    """A row for each budget, those furthest from an even part first; shares in even parts."""
    even = 1 / shared["instances"]
    shares = sorted(shared["shares"], key=lambda s: (-abs(s["share"] - even), s["kind"], s["budget"]))
    return [
        (
            s["kind"],
            s["budget"] or "-",
            f"{s['share'] / even:.2f}",
            parts(s["given"], even),
            parts(s["held"], even),
        )
        for s in shares[:ROWS_MOST]
    ]


def parts(by_name: dict[str, float], even: float) -> str:
    return (
        ", ".join(
            f"{name} {share / even:.2f}"
            for name, share in sorted(by_name.items(), key=lambda named: -named[1])
        )
        or "-"
    )


def judgement_rows(shared: dict[str, Any]) -> list[tuple[str, ...]]:
    """A row for each witness of a server that is avoided."""
    rows: list[tuple[str, ...]] = [
        (j["server"], f"{j['for_s']:.1f}", w["name"], w["trouble"], str(w["failures"]), f"{w['ago_s']:.1f}")
        for j in shared["judgements"]
        for w in j["witnesses"]
    ]
    return rows[:ROWS_MOST]


def shared_tables(shared: dict[str, Any]) -> list[RenderableType]:
    """What a balancer shares: its shares, and the servers and halls it avoids on others' word."""
    pressure = shared["pressure"]
    own, of_all = ("not known" if pressure[of] is None else f"{pressure[of]:.2f}" for of in ("own", "all"))
    shown: list[RenderableType] = [
        f"shares of {shared['instances']}{'' if shared['lends'] else ', gives nothing yet'}; pressure {own}, "
        f"of all {of_all}; counts of {shared['counts']['heard']} others; {shared['unread']} unread"
    ]
    for title, columns, rows in (
        ("shares, in even parts", ("kind", "of", "may use", "given to", "held of"), share_rows(shared)),
        (
            "avoided on others' word",
            ("server", "for s", "witness", "trouble", "failures", "s ago"),
            judgement_rows(shared),
        ),
        (
            "halls that do not answer others",
            ("hall", "since s", "witnesses", "whom it answered since"),
            [
                [hall["hall"], str(hall["since_s"]), " ".join(hall["witnesses"]), " ".join(hall["against"])]
                for hall in shared.get("halls", ())
            ],
        ),
    ):
        if rows:
            made: Table = need("rich.table").Table(*columns, title=title, title_justify="left")
            for row in rows:
                made.add_row(*row)
            shown.append(made)
    return shown


def shown(door: str, said: dict[str, Any]) -> list[RenderableType]:
    """All that one balancer says."""
    return [table(door, said), *(shared_tables(said["shared"]) if "shared" in said else [])]


@click.command()
@click.argument("doors", nargs=-1, required=True, metavar="HOST:PORT...")
@click.option("--json", "as_json", is_flag=True, help="For machines.")
@click.option("--watch", is_flag=True, help="Look again each second, until interrupted.")
def peers(doors: tuple[str, ...], as_json: bool, watch: bool) -> None:
    """Who is there, who doubts whom, who holds what share of whom, and which servers are avoided on whose
    word: as each balancer sees it."""
    told, faults = look(doors)
    if as_json:
        click.echo(json.dumps({"balancers": told, "faults": faults}, indent=1))
    elif watch:
        watched(doors)
    else:
        console = need("rich.console").Console()
        for door, said in told.items():
            console.print(*shown(door, said), sep="\n")
    for door, text in faults.items():
        click.echo(f"{door}: {text}", err=True)
    if faults:
        raise click.exceptions.Exit(FAULTY)


def watched(doors: tuple[str, ...]) -> None:
    group, live = need("rich.console").Group, need("rich.live").Live
    with live(auto_refresh=False) as screen:
        try:
            while True:
                told, faults = look(doors)
                screen.update(
                    group(
                        *(part for door, said in told.items() for part in shown(door, said)),
                        *(f"{door}: {text}" for door, text in faults.items()),
                    ),
                    refresh=True,
                )
                time.sleep(AGAIN_S)
        except KeyboardInterrupt:
            pass
