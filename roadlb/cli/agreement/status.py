"""`roadlb agreement status|exclude|include`: who is on which version, since when, with which lease."""

from __future__ import annotations

import json
import urllib.request
from typing import TYPE_CHECKING, Any

import click

from ..need import FAULTY, need
from .store import FILE, JSON, WAIT, WHY, give, table, with_archive

if TYPE_CHECKING:
    from ...issuing.archive import Archive

CALL_S = 3.0  # for the leader's page


@click.command()
@FILE
@JSON
def status(file: str, as_json: bool) -> None:
    """How the agreement stands, asked of the leader that the store of FILE names.

    Ends with 1 where nobody leads, or a balancer has no lease.
    """

    async def read(at: Archive) -> dict[str, str]:
        return dict((await at.read()).holder)

    holder = with_archive(file, read)
    if not holder:
        raise click.ClickException("nobody leads: no control service holds the seat; grants lapse meanwhile")
    where = holder.get("status", "")
    if not where:
        raise click.ClickException(f"{holder.get('name')} leads, and has no status page to ask: set `status`")
    try:
        with urllib.request.urlopen(f"http://{where}/agreement", timeout=CALL_S) as answer:
            told: dict[str, Any] = json.load(answer)
    except (OSError, ValueError) as e:
        raise click.ClickException(f"{holder['name']} leads, and does not answer at {where}: {e}") from None
    if as_json:
        click.echo(json.dumps(told, indent=1))
    else:
        _show(told)
    if not told["leads"] or any(stands(one) != "granted" for one in told["followers"]):
        raise click.exceptions.Exit(FAULTY)


def stands(follower: dict[str, Any]) -> str:
    """One word for how a balancer stands."""
    if follower["excluded"]:
        return "excluded"
    if not follower.get("heard", True):  # a leader of an earlier release says nothing of it
        return "unheard"
    if follower["apart"]:
        return "apart"
    return "granted" if follower["lease_left_s"] > 0 else "lapsed"


def _show(told: dict[str, Any]) -> None:
    store = told["store"]
    click.echo(
        f"{told['name']} leads in epoch {told['epoch']} for {told['for_s']:.1f} s"
        + ("" if told["leads"] else ", but is not sure of it: nothing is granted")
    )
    click.echo(
        f"in force {told['force']}, prepared {told['prepared']}; contradictions end within "
        f"{told['contradiction_s']:g} s; store {store['endpoint']}"
        + (f": {store['error']}" if store["error"] else "")
        + (f"; it went back {store['went_back']} times" if store["went_back"] else "")
    )
    table(
        "balancers",
        (
            "balancer",
            "stands",
            "acknowledged",
            "since",
            "in force",
            "lease left",
            "silent",
            "connected",
            "refused",
        ),
        [
            (
                one["name"],
                stands(one),
                one["acknowledged"],
                f"{one['since_s']:.1f} s",
                one["force"],
                f"{one['lease_left_s']:.1f} s",
                f"{one['silent_s']:.1f} s",
                "yes" if one["connected"] else "no",
                one["refused"] or "-",
            )
            for one in told["followers"]
        ],
    )


def word(do: str, text: str, done: str) -> click.Command:
    @click.command(do, help=text)
    @FILE
    @click.argument("balancer")
    @WHY
    @WAIT
    @JSON
    def command(file: str, balancer: str, why: str, wait_s: float, as_json: bool) -> None:
        give(
            file,
            need("roadlb.issuing.history").Order(do, why, follower=balancer),
            wait_s,
            f"{balancer}: {done}",
            as_json,
        )

    return command


exclude = word(
    "exclude", "BALANCER's refusals stop nothing, and it gets no lease: it serves at its floors.", "excluded"
)
include = word("include", "BALANCER counts again.", "counts again")
