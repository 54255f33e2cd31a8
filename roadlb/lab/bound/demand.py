"""Every wish of a run with its work, played once more from the seed: the wire does not tell the work of what
was refused."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from ..incident import Incident, rules_of
from ..incident.steps import Flood
from ..judge.worth import QUOTA_BURST_S, Bucket
from ..model.shapes import Part
from ..model.traffic import Traffic, Wish
from ..parties.clients import HORIZON_US
from ..run.drawn import Drawn, shape_of
from ..wire import ClientWished, WireEvent


@dataclass(slots=True, frozen=True)
class Asked:
    """One wish: when it came due, its worth (less beyond its customer's share), its work when not cached."""

    at: int
    class_name: str
    worth: float
    work_us: int
    key: str


def demand(
    incident: Incident,
    drawn: Drawn,
    random: Callable[[str], Random],
    log: Iterable[WireEvent],
    origin_us: int,
) -> list[Asked]:
    """`random`: the run's generators.  ValueError where the wishes on the wire are others, or cannot be
    played again as a flood changed them."""
    if any(isinstance(step, Flood) for step in incident.steps):
        raise ValueError(
            "the incident has a flood, so its wishes are not those of the seed alone: leave it "
            "out, or set traffic.rates"
        )
    wished = [event for event in log if isinstance(event, ClientWished)]
    if not wished:
        return []
    until = max(event.at for event in wished)
    known = {
        wish.number: wish
        for number, hall in enumerate(incident.network.halls)
        for wish in _of_hall(incident, drawn, random, number, hall, origin_us, until)
    }
    rules = rules_of(incident)
    buckets = {row.name: Bucket(row.quota_per_s, row.quota_per_s * QUOTA_BURST_S) for row in rules.tenants}
    worths, found = {row.name: row.worth for row in rules.classes}, []
    for event in wished:
        wish = known.get(event.wish)
        if wish is None or (drawn.classes[wish.class_index].name, wish.tenant) != (
            event.class_name,
            event.tenant,
        ):
            raise ValueError(
                f"wish {event.wish} on the wire is not the one that the seed gives: the log is "
                "of another incident, seed or lab"
            )
        bucket = buckets.get(event.tenant)
        weight = 1.0 if bucket is None or bucket.within(event.at) else rules.over_share_worth
        found.append(
            Asked(event.at, event.class_name, worths[event.class_name] * weight, wish.work_us, wish.key)
        )
    return found


def _of_hall(
    incident: Incident,
    drawn: Drawn,
    random: Callable[[str], Random],
    number: int,
    hall: str,
    origin_us: int,
    until: int,
) -> Iterable[Wish]:
    """As `Crowd` and `Clients` draw them: each one ahead of its time by the horizon at the most."""
    base = shape_of(incident.traffic, origin_us)
    traffic = Traffic(
        base,
        drawn.classes,
        drawn.tenants,
        drawn.keys,
        drawn.habits,
        random(f"wishes of {hall}"),
        origin_us,
        number,
        len(incident.network.halls),
    )
    traffic.shape = Part(base, drawn.hall_shares[hall] * traffic.usage)
    now = origin_us
    while now <= until:
        wish = traffic.next(now + HORIZON_US)
        if wish is None:
            now += HORIZON_US
        else:
            now = wish.due
            yield wish
