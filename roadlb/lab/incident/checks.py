"""What cannot be right about an incident although each of its values, taken alone, could be."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from difflib import get_close_matches
from typing import Any

from .lines import Path
from .schema import Incident
from .steps import (
    AtBalancers,
    AtNodes,
    CutHall,
    Deploy,
    Flood,
    Lasting,
    LastingAtNodes,
    LoseHall,
    Pause,
    Reset,
    Shrink,
    Step,
)
from .targets import balancers_at_start, nodes_at_start

Found = Iterator[tuple[Path, str]]
WHOLE = 0.001  # shares that should add up to 1 may miss it by this much, as 0.333 three times does


def check(incident: Incident, raw_steps: Sequence[Any]) -> Found:
    """(path, text) for each problem; `raw_steps` tells what the file has said and what are defaults."""
    yield from check_halls(incident)
    yield from check_fleet(incident)
    yield from check_traffic(incident)
    yield from check_refusals(incident)
    for i, (step, raw) in enumerate(zip(incident.steps, raw_steps, strict=True)):
        for key, text in check_step(incident, step, raw):
            yield ("step", i, key), text


def unless_known(name: str | None, names: Iterable[str], what: str) -> Iterator[str]:
    """A text if a name is none of those there are."""
    known = list(dict.fromkeys(names))
    if name is not None and name not in known:
        near = get_close_matches(name, known, 1)
        remedy = f"did you mean {near[0]!r}?" if near else f"there are {', '.join(known)}"
        yield f"{name!r} is no {what}; {remedy}"


def doubled(names: Sequence[str]) -> Iterator[tuple[int, str]]:
    for i, name in enumerate(names):
        if name in names[:i]:
            yield i, f"{name!r} is there twice; names must differ"


def check_halls(incident: Incident) -> Found:
    net, told, halls = incident.network, incident.balancers, incident.network.halls
    if not halls:
        yield ("network", "halls"), "is empty; name one hall at least"
        return
    for _, text in doubled(halls):
        yield ("network", "halls"), text
    for i, link in enumerate(net.links):
        for hall in link.between:
            for text in unless_known(hall, halls, "hall"):
                yield ("network", "link", i, "between"), text
    for hall in told.in_hall:
        for text in unless_known(hall, halls, "hall"):
            yield ("balancers", "in_hall"), text
    shares = incident.traffic.hall_shares
    for hall in shares:
        for text in unless_known(hall, halls, "hall"):
            yield ("traffic", "hall_shares"), text
    if shares and abs(sum(shares.values()) - 1) > WHOLE:
        yield ("traffic", "hall_shares"), f"adds up to {sum(shares.values()):g}, and must to 1"
    if not any(told.in_hall.get(hall, told.per_hall) for hall in halls):
        yield ("balancers", "in_hall"), "there is no balancer in any hall; leave one at least"


def check_fleet(incident: Incident) -> Found:
    fleet = incident.fleet
    names = [kind.name for kind in fleet.machines]
    if not names:
        yield ("fleet", "machine"), "is empty; describe one kind of machine at least"
    for i, text in doubled(names):
        yield ("fleet", "machine", i, "name"), text
    if names and not fleet.groups and sum(kind.share for kind in fleet.machines) <= 0:
        yield ("fleet", "machine"), "every share is 0; give one kind a share, or use [[fleet.group]]"
    for i, kind in enumerate(fleet.machines):
        if kind.speed.low <= 0:
            yield ("fleet", "machine", i, "speed"), "must be over 0"
        if kind.error_share.high > 1 or kind.cold_share.high > 1:
            key = "error_share" if kind.error_share.high > 1 else "cold_share"
            yield ("fleet", "machine", i, key), f"is {getattr(kind, key)}, and must be a share from 0 to 1"
        if kind.cold_share.low < incident.rules.cold_from or kind.cold_s.high > incident.rules.cold_s:
            yield (
                ("fleet", "machine", i, "cold_share"),
                (
                    f"{kind.name} starts at {kind.cold_share} and is warm after {kind.cold_s} s, but "
                    f"balancers are told rules.cold_from = {incident.rules.cold_from:g} and rules.cold_s = "
                    f"{incident.rules.cold_s:g}"
                ),
            )
    for i, group in enumerate(fleet.groups):
        for text in unless_known(group.machine, names, "kind of machine"):
            yield ("fleet", "group", i, "machine"), text
        for text in unless_known(group.hall, incident.network.halls, "hall"):
            yield ("fleet", "group", i, "hall"), text
    if fleet.cache.gain.high >= 1:
        yield ("fleet", "cache", "gain"), f"is {fleet.cache.gain}, and must be under 1: some work remains"


def check_traffic(incident: Incident) -> Found:
    traffic = incident.traffic
    for key, rows in (("class", traffic.classes), ("tenant", traffic.tenants)):
        if not rows:
            yield ("traffic", key), "is empty; there must be one at least"
        for i, text in doubled([row.name for row in rows]):
            yield ("traffic", key, i, "name"), text
        if rows and abs(sum(row.share for row in rows) - 1) > WHOLE:
            yield ("traffic", key), f"the shares add up to {sum(row.share for row in rows):g}, and must to 1"
    for i, row in enumerate(traffic.classes):
        if row.deadline_s < row.aim_s:
            yield ("traffic", "class", i, "deadline_s"), f"{row.deadline_s:g} is under aim_s, {row.aim_s:g}"
    times = [point.at_s for point in traffic.rates]
    if any(later <= earlier for earlier, later in zip(times, times[1:], strict=False)):
        yield ("traffic", "rates"), "the seconds must grow from point to point"
    if times and times[-1] > incident.duration_s:
        yield ("traffic", "rates"), f"{times[-1]:g} s is after the end, {incident.duration_s:g} s"
    for key in ("try_share", "honour_share"):
        if getattr(traffic.clients, key).high > 1:
            yield ("traffic", "clients", key), "must be a share, from 0 to 1"
    if traffic.clients.try_share.low <= 0:
        yield ("traffic", "clients", "try_share"), "must be over 0: a try that takes no time is none"
    if traffic.keys.low < 1:
        yield ("traffic", "keys"), "must be 1 at least"


def check_refusals(incident: Incident) -> Found:
    traffic = incident.traffic
    for i, line in enumerate(incident.refusals):
        for text in unless_known(line.of_class, [row.name for row in traffic.classes], "class"):
            yield ("refusal", i, "class"), text
        for text in unless_known(line.customer, [row.name for row in traffic.tenants], "tenant"):
            yield ("refusal", i, "customer"), text


def check_step(incident: Incident, step: Step, raw: dict[str, Any]) -> Iterator[tuple[str, str]]:
    end = incident.duration_s
    if step.at_s >= end:
        yield "at_s", f"{step.at_s:g} is not before the end of the run, {end:g} s (duration_s)"
        return
    if isinstance(step, Lasting | LastingAtNodes) and step.for_s is not None and step.at_s + step.for_s > end:
        yield (
            "for_s",
            (
                f"it would end at {step.at_s + step.for_s:g} s, after the run, {end:g} s; "
                "leave it out to hold to the end"
            ),
        )
    if isinstance(step, Deploy | Shrink):
        if step.at_s + step.over_s > end:
            yield "over_s", f"it would end at {step.at_s + step.over_s:g} s, after the run, {end:g} s"
        if step.drain_s > step.over_s:
            yield "drain_s", f"{step.drain_s:g} is more than over_s, {step.over_s:g}, which holds every drain"
    yield from check_names(incident, step)
    if isinstance(step, AtNodes | AtBalancers):
        yield from check_aim(incident, step, raw)


def check_names(incident: Incident, step: Step) -> Iterator[tuple[str, str]]:
    traffic = incident.traffic
    if isinstance(step, AtNodes | AtBalancers | CutHall | Flood | LoseHall | Reset):
        for text in unless_known(step.hall, incident.network.halls, "hall"):
            yield "hall", text
    if isinstance(step, CutHall) and len(incident.network.halls) == 1:
        yield "hall", "is the only one: there is nothing to cut it off from"
    if isinstance(step, Flood):
        for text in unless_known(step.of_class, [row.name for row in traffic.classes], "class"):
            yield "class", text
        for text in unless_known(step.tenant, [row.name for row in traffic.tenants], "tenant"):
            yield "tenant", text


def check_aim(
    incident: Incident, step: AtNodes | AtBalancers, raw: dict[str, Any]
) -> Iterator[tuple[str, str]]:
    """That a step says once how many it takes, and of what there is."""
    if "share" in raw and "count" in raw:
        yield "count", "share is given too; one of them must go"
    if isinstance(step, Pause):
        wrong = ("machine", "nodes") if step.what == "balancers" else ("balancers",)
        for key in wrong:
            if key in raw:
                yield key, f"says nothing where what = {step.what!r}"
    if isinstance(step, AtNodes):
        for text in unless_known(
            step.machine, [kind.name for kind in incident.fleet.machines], "kind of machine"
        ):
            yield "machine", text
        for name in step.nodes:
            for text in unless_known(name, [one.name for one in nodes_at_start(incident)], "node"):
                yield "nodes", text
    if isinstance(step, AtBalancers | Pause):
        for name in step.balancers:
            for text in unless_known(name, [one.name for one in balancers_at_start(incident)], "balancer"):
                yield "balancers", text
