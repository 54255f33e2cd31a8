"""`roadlb site plan FILE`: what the loss of each site, and of each pair, does to a described deployment."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..need import incident_at, need

if TYPE_CHECKING:
    from ...lab.incident import Incident
    from ...sites.forecast import Demand, LossForecast, SiteCapacity

WORDS: dict[str, Callable[[Demand], str]] = {  # by which refusals are summed up
    "class": lambda demand: demand.name,
    "customer": lambda demand: demand.tenant,
}
TIMES = [0.25 + 0.125 * i for i in range(31)]  # of the demand, in the picture


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--saved",
    type=click.FloatRange(0, 0.95),
    help="Share of the work that caches at the nodes save.  [default: foretold from the keys]",
)
@click.option("--json", "as_json", is_flag=True, help="For machines.")
@click.option(
    "--plot",
    "plot_to",
    type=click.Path(dir_okay=False),
    help="Draw worth served against demand, into a .png or .svg file.",
)
def plan(file: str, saved: float | None, as_json: bool, plot_to: str | None) -> None:
    """What the loss of sites does to the deployment in FILE, which is described as an incident is.

    Load on the sites that remain, what is refused of each class and customer, in worth, and how long the
    return takes.  Ranges count with their middle; incidents in the file are left out.
    """
    forecast = need("roadlb.sites.forecast")
    sites, demands, discovery_delay_s = described(incident_at(file), saved)
    found = forecast.forecast_losses(sites, demands, discovery_delay_s)
    if as_json:
        click.echo(json.dumps({"losses": [as_data(one) for one in found]}, indent=1))
    else:
        for line in lines(sites, found):
            click.echo(line)
    if plot_to:
        draw(sites, demands, found, Path(plot_to))


def middle(value: Any) -> float:
    """Of a range."""
    return float(value.low + value.high) / 2


def saved_by_caches(incident: Incident, cores: int) -> float:
    """The share of the work that the caches of so many cores save, foretold."""
    cache, traffic = incident.fleet.cache, incident.traffic
    weights = [float(rank ** -middle(traffic.zipf)) for rank in range(1, round(middle(traffic.keys)) + 1)]
    parts = [(1 - traffic.fresh_keys) * weight / sum(weights) for weight in weights]
    asks = sum(middle(customer.sends) * customer.share for customer in traffic.tenants) * traffic.rate
    hits: float = need("roadlb.sites.forecast").hit_share(
        parts, asks, cores * middle(cache.keys_per_core), middle(cache.remember_s)
    )
    return middle(cache.gain) * hits


def described(incident: Incident, saved: float | None) -> tuple[list[SiteCapacity], list[Demand], float]:
    """Sites, demand, and seconds from a node's start until it is known, of an incident's world."""
    forecast, targets = need("roadlb.sites.forecast"), need("roadlb.lab.incident.targets")
    plan_of = need("roadlb.lab.run.settings").plan_of
    fleet, traffic, found = incident.fleet, incident.traffic, incident.discovery

    kinds = {kind.name: kind for kind in fleet.machines}
    sites = []
    for hall in incident.network.halls:
        here = [kinds[node.machine] for node in targets.nodes_at_start(incident) if node.hall == hall]
        capacity = sum(kind.cores * middle(kind.speed) for kind in here)
        cold = sum(kind.cores * middle(kind.speed) * middle(kind.cold_share) for kind in here)
        sites.append(
            forecast.SiteCapacity(
                hall,
                len(here),
                capacity,
                cold / capacity if capacity else 1.0,
                max((middle(kind.cold_s) for kind in here), default=0.0),
            )
        )
    if saved is None:
        saved = saved_by_caches(
            incident, sum(kinds[node.machine].cores for node in targets.nodes_at_start(incident))
        )
    refusals = need("roadlb.sites.refusal").RefusalOrder(plan_of(incident))
    demands = []
    for tenant, customer in enumerate(traffic.tenants):
        asks = traffic.rate * customer.share * middle(customer.sends)
        within = min(1.0, traffic.quota_per_s * customer.share / asks) if asks else 1.0
        for index, row in enumerate(traffic.classes):
            for over, part in ((False, within), (True, 1 - within)):
                worth = row.worth * (traffic.over_share_worth if over else 1.0)
                if part > 0:
                    demands.append(
                        forecast.Demand(
                            row.name,
                            customer.name,
                            over,
                            asks * row.share * part,
                            middle(row.work_ms) / 1_000 * (1 - saved),
                            worth,
                            forecast.first_try_rank(refusals, index, tenant, over, worth),
                        )
                    )
    return sites, demands, middle(found.add_s) + (middle(found.period_ms) + middle(found.spread_ms)) / 1_000


def as_data(one: LossForecast) -> dict[str, Any]:
    return {
        "lost": list(one.lost),
        "borne": one.borne,
        "worth": round(one.worth, 4),
        "load": {name: round(share, 3) for name, share in one.load.items()},
        "refused": [
            {
                "class": d.name,
                "customer": d.tenant,
                "share": "over" if d.over_share else "within",
                "asked_per_s": round(d.per_s, 2),
                "refused": round(1 - kept, 4),
                "worth_refused_per_s": round(d.per_s * d.worth * (1 - kept), 2),
            }
            for d, kept in one.kept.items()
        ],
        "worth_refused_per_s": {
            word: {name: round(refused, 2) for name, (_, refused) in one.refused_worth(by).items()}
            for word, by in WORDS.items()
        },
        "back_95_s": one.back_95_s,
        "back_98_s": one.back_98_s,
    }


def lines(sites: Sequence[SiteCapacity], found: Sequence[LossForecast]) -> list[str]:
    """A table for a person."""
    said = [
        f"{site.name}: {site.server_count} nodes, {site.capacity:.1f} standard cores, "
        f"{site.cold_share:.0%} of it when cold, warm after {site.cold_s:.0f} s"
        for site in sites
    ]
    said += ["", f"{'lost':<24} {'borne':<6} {'worth':>6} {'load':>6}  {'95%, 98% again after':<21} refused"]
    for one in found:
        load = max(one.load.values(), default=0.0)
        back = ", ".join("never" if at is None else f"{at:.1f} s" for at in (one.back_95_s, one.back_98_s))
        said.append(
            f"{' and '.join(one.lost) or 'nothing':<24} {'yes' if one.borne else 'no':<6} "
            f"{one.worth:>6.1%} {load:>6.0%}  {back if one.lost else '':<21} {refused_of(one)}"
        )
    return said


def refused_of(one: LossForecast) -> str:
    """What is refused, and what that is in worth a second, by class and by customer."""
    parts = [
        f"{1 - kept:.0%} of {d.name} ({d.tenant}{', over its share' if d.over_share else ''})"
        for d, kept in one.kept.items()
        if kept < 1 - 1e-9
    ]
    worth = [
        f"{name} {refused:.0f} of {asked:.0f}"
        for by in WORDS.values()
        for name, (asked, refused) in one.refused_worth(by).items()
        if refused > 1e-9
    ]
    return f"{', '.join(parts)}; worth a second: {', '.join(worth)}" if parts else "nothing"


def draw(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], found: Sequence[LossForecast], to: Path
) -> None:
    """Worth served a second against demand, a line for each loss."""
    forecast, figures = need("roadlb.sites.forecast"), need("matplotlib.figure")
    figure = figures.Figure(figsize=(7, 4.2), layout="constrained")
    axes = figure.subplots()
    for one in found:
        axes.plot(
            TIMES,
            forecast.worth_curve(sites, demands, one.lost, TIMES),
            label=" and ".join(one.lost) + " lost" if one.lost else "nothing lost",
        )
    axes.set_xlabel("demand, in multiples of the usual")
    axes.set_ylabel("worth served a second")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize="small")
    figure.savefig(to, dpi=110)
