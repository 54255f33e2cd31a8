"""An incident in words, for `roadlb lab show`: who is there, what is asked, and what happens when."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from . import steps as s
from .schema import Incident
from .targets import Placed, balancers_at_start, deploy_batches, nodes_at_start, shrink_times


def explain(incident: Incident) -> str:
    """Some lines of plain text."""
    return "\n".join(
        [
            f"{incident.name}: {incident.title}",
            f"  lasts {incident.duration_s:g} s",
            "",
            *world(incident),
            "",
            "What happens:",
            *timeline(incident),
        ]
    )


def world(incident: Incident) -> Iterator[str]:
    nodes, balancers, net = nodes_at_start(incident), balancers_at_start(incident), incident.network
    yield f"Nodes ({len(nodes)}):"
    for kind in incident.fleet.machines:
        these = [node for node in nodes if node.machine == kind.name]
        yield (
            f"  {kind.name:<10} {len(these)} ({by_hall(these)}); {kind.cores} cores of speed "
            f"{kind.speed}, room for {kind.waiting_per_core} waiting per core"
        )
        yield (
            f"  {'':<10} {names(these)}; a started one has {kind.cold_share} of its capacity and is warm "
            f"after {kind.cold_s} s"
        )
    yield f"Balancers ({len(balancers)}):"
    yield (
        f"  {names(balancers)} ({by_hall(balancers)}); each with {incident.balancers.cores:g} cores, "
        f"{incident.balancers.memory_mb} MB, {incident.balancers.sockets} sockets"
    )
    yield f"Network: {len(net.halls)} halls ({', '.join(net.halls)})"
    yield f"  one way {net.same_hall_ms} ms within a hall, {net.cross_hall_ms} ms between halls"
    for link in net.links:
        yield f"  {link.delay_ms} ms between {' and '.join(link.between)}"
    yield "Traffic:"
    points = incident.traffic.rates
    rate = ", then ".join(f"{p.per_s:g} from {p.at_s:g} s" for p in points) or f"{incident.traffic.rate:g}"
    yield f"  first tries a second: {rate}; {incident.traffic.shape}"
    for row in incident.traffic.classes:
        yield (
            f"  {row.share:.0%} {row.name}: {row.work_ms} ms of work, wanted in {row.aim_s:g} s, given up "
            f"after {row.deadline_s:g} s, worth {row.worth:g}, "
            f"{'may' if row.repeatable else 'must not'} run twice"
        )
    for tenant in incident.traffic.tenants:
        yield f"  {tenant.name}: a share of {tenant.share:.0%}, sends {tenant.sends} times that"


def timeline(incident: Incident) -> Iterator[str]:
    """A line for each step, by time."""
    ordered = sorted(incident.steps, key=lambda step: step.at_s)
    if not ordered:
        yield "  nothing"
    for step in ordered:
        yield f"  {step.at_s:6.1f} s  {step.label or describe(step, incident)}"


def describe(step: s.Step, incident: Incident) -> str:
    """One step as a clause; the words for each kind stand in `WORDS`."""
    return WORDS[type(step)](step, incident)


def by_hall(placed: Iterable[Placed]) -> str:
    counts = Counter(one.hall for one in placed)
    return ", ".join(f"{count} in {hall}" for hall, count in counts.items()) or "none"


def names(placed: Iterable[Placed]) -> str:
    """`node-01 to node-05`, where they follow each other as they do here."""
    told = [one.name for one in placed]
    return f"{told[0]} to {told[-1]}" if len(told) > 1 else "".join(told) or "none"


def whom(step: s.AtNodes | s.AtBalancers, what: str = "nodes") -> str:
    """`a share of 0.3 of the old-2c nodes in hall-a`."""
    machine = step.machine if isinstance(step, s.AtNodes) else None
    of = f"{machine + ' ' if machine else ''}{what}{' in ' + step.hall if step.hall else ''}"
    told = step.nodes if isinstance(step, s.AtNodes) and what == "nodes" else getattr(step, "balancers", ())
    if told:
        of = ", ".join(told) + (f" in {step.hall}" if step.hall else "")
    if step.count is not None:
        return f"{step.count} of the {of}"
    return f"{step.share:.0%} of the {of}" if step.share is not None else f"all {of}"


def lasting(for_s: float | None) -> str:
    return "to the end" if for_s is None else f"for {for_s:g} s"


def _deploy(step: s.Deploy, incident: Incident) -> str:
    nodes = nodes_at_start(incident)
    many = step.count or max(1, int((step.share or 1) * len(nodes)))
    batches = len(deploy_batches(step, nodes[:many], len(nodes)))
    return (
        f"{whom(step)} are replaced by cold successors at {step.address} addresses, in {batches} batches "
        f"over {step.over_s:g} s; each drains for {step.drain_s:g} s"
    )


def _shrink(step: s.Shrink, incident: Incident) -> str:
    leaving = len(shrink_times(step, len(nodes_at_start(incident))))
    return (
        f"the fleet shrinks to {step.to:.0%} over {step.over_s:g} s ({leaving} of those at the start); "
        f"each drains for {step.drain_s:g} s"
    )


def _crash(step: s.BalancerCrash, _: Incident) -> str:
    age = f", as it was {step.list_age_s:g} s before the crash" if step.list_age_s else ""
    back = f"return after {step.back_after_s:g} s with their old list{age}" if step.back else "stay away"
    return f"{whom(step, 'balancers')} are killed and {back}"


def _drain(step: s.BalancerDrain, _: Incident) -> str:
    return (
        f"{whom(step, 'balancers')} are told that they are out of service, one every "
        f"{step.every_s:g} s, and in service again {step.for_s:g} s later"
    )


def _restart(step: s.BalancerRestart, _: Incident) -> str:
    return (
        f"{whom(step, 'balancers')} get SIGTERM, one every {step.every_s:g} s, and SIGKILL after "
        f"{step.kill_after_s:g} s if they are still there"
    )


def _pause(step: s.Pause, _: Incident) -> str:
    return f"{whom(step, step.what)} stand still {lasting(step.for_s)}, their connections open"


def _flood(step: s.Flood, _: Incident) -> str:
    of = " ".join(
        filter(
            None,
            [
                step.of_class or "requests",
                step.tenant and f"of {step.tenant}",
                step.hall and f"in {step.hall}",
            ],
        )
    )
    return f"{of} at {step.times:g} times the usual rate {lasting(step.for_s)}"


def _reset(step: s.Reset, _: Incident) -> str:
    ends = "balancers to nodes" if step.between == "nodes" else "clients to balancers"
    of = f"{ends}{' in ' + step.hall if step.hall else ''}"
    return f"{step.connections:.0%} of the connections of {of} are reset"


def _kill(step: s.KillNode, _: Incident) -> str:
    how = "vanish without a word" if step.silent else "die, their connections reset"
    return f"{whom(step)} {how}, {_back(step.back_after_s)}"


def _lose(step: s.LoseHall, _: Incident) -> str:
    return f"{step.hall} is lost whole, its nodes and its balancers, {_back(step.back_after_s)}"


def _back(after_s: float | None) -> str:
    return f"back after {after_s:g} s, cold" if after_s is not None else "for good"


WORDS: dict[type[s.Step], Callable[[Any, Incident], str]] = {
    s.Deploy: _deploy,
    s.Shrink: _shrink,
    s.BalancerCrash: _crash,
    s.BalancerRestart: _restart,
    s.BalancerDrain: _drain,
    s.Pause: _pause,
    s.Slow: lambda step, _: f"{whom(step)} take {step.factor:g} times as long {lasting(step.for_s)}",
    s.CutHall: lambda step, _: f"{step.hall} is cut off from the other halls {lasting(step.for_s)}, silently",
    s.DiscoveryOutage: lambda step, _: f"discovery falls silent {lasting(step.for_s)}",
    s.DiscoveryMove: lambda step, _: (
        f"discovery moves: new configuration, SIGHUP, the old address closes after {step.old_closes_s:g} s"
    ),
    s.Flood: _flood,
    s.Errors: lambda step, _: f"{whom(step)} answer 500 to {step.answers:.0%} {lasting(step.for_s)}",
    s.Spoilt: lambda step, _: (
        f"{whom(step)} spoil {step.answers:.0%} of their answers {lasting(step.for_s)}: "
        f"{', '.join(step.kinds)}"
    ),
    s.Reset: _reset,
    s.Rude: lambda step, _: (
        f"rude clients, one every {step.every_s:g} s in each hall {lasting(step.for_s)}: "
        f"{', '.join(step.kinds)}"
    ),
    s.KillNode: _kill,
    s.LoseHall: _lose,
}
