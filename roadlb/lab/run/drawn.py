"""One draw of an incident's figures: what is known only within bounds, and holds for one whole run."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from itertools import combinations_with_replacement
from random import Random

from ..incident import Incident, Range, micro
from ..incident.schema import Machine, RequestClass, Traffic
from ..model.classes import ClassSpec, Habits, TenantSpec
from ..model.keys import Keys
from ..model.shapes import Schedule, Shape, Steady, Swung
from ..model.spec import NodeSpec
from ..parties.discovery import DiscoveryFigures

MILLI_US = 1_000
BODY_BYTES = 212  # of an order
WEIGHTS = Range(0.8, 1.25)  # what discovery says of a machine's size, as a part of the truth
# How heavy a request is no balancer is told, and of orders (Pareto, mean 95 ms, variation 2) one in 200 alone
# is more than what a machine may be sent in its first second, 0.61 s: such a fall would be chance.
FALL_EACH_US, FALL_SLACK_US = 200_000, 50_000
MOST_SPREAD = 2  # times the standard deviation that a machine may be off its kind's speed
CROSSING = 2 / 3  # of the connections to nodes that go to another hall

Draw = Callable[[str, Range], float]
Pair = tuple[str, str]


@dataclass(slots=True, frozen=True)
class Drawn:
    kinds: Mapping[str, NodeSpec]  # a machine of mean speed of each kind
    speed_spread: Mapping[str, float]
    classes: tuple[ClassSpec, ...]
    tenants: tuple[TenantSpec, ...]
    habits: Habits
    keys: Keys
    hall_shares: Mapping[str, float]  # of the traffic
    discovery: DiscoveryFigures
    delays_us: Mapping[Pair, int]  # one way, by two halls in the order of the incident's list
    client_us: Mapping[str, int]
    jitter: float

    def machine(self, kind: str, rng: Random) -> NodeSpec:
        """One machine: those of a kind differ in speed."""
        spread = self.speed_spread[kind]
        off = max(-MOST_SPREAD * spread, min(MOST_SPREAD * spread, rng.gauss(0, spread)))
        return replace(self.kinds[kind], speed=round(self.kinds[kind].speed * max(0.2, 1 + off), 3))


def rough_weight(spec: NodeSpec, rng: Random) -> float:
    """What discovery says of a machine's size: about right."""
    return round(spec.capacity * WEIGHTS.draw(rng), 2)


def draw(incident: Incident, random: Callable[[str], Random]) -> Drawn:
    """`random` gives a generator for each name, so that a figure that is added moves no other one."""

    def drawn(name: str, between: Range) -> float:
        return between.draw(random(f"draw {name}"))

    delays = _delays(incident, drawn)
    traffic, keys = incident.traffic, random("draw keys")
    return Drawn(
        kinds={kind.name: _spec(incident, kind, drawn, random, delays) for kind in incident.fleet.machines},
        speed_spread={
            kind.name: drawn(f"{kind.name} spread", kind.speed_spread) for kind in incident.fleet.machines
        },
        classes=tuple(_class(row, drawn, random) for row in traffic.classes),
        tenants=tuple(
            TenantSpec(row.name, row.share, drawn(f"{row.name} sends", row.sends)) for row in traffic.tenants
        ),
        habits=_habits(incident, drawn, random),
        keys=Keys(
            max(1, round(drawn("keys", traffic.keys))), drawn("zipf", traffic.zipf), keys, traffic.fresh_keys
        ),
        hall_shares=_hall_shares(incident, random),
        discovery=_discovery(incident, drawn),
        delays_us=delays,
        client_us={
            hall: _us(drawn(f"client {hall}", incident.network.client_ms)) for hall in incident.network.halls
        },
        jitter=drawn("jitter", incident.network.jitter),
    )


def _us(milliseconds: float) -> int:
    return round(milliseconds * MILLI_US)


def _delays(incident: Incident, drawn: Draw) -> dict[Pair, int]:
    net = incident.network
    told = {frozenset(link.between): link.delay_ms for link in net.links}
    delays = {}
    for hall, other in combinations_with_replacement(net.halls, 2):
        usual = net.same_hall_ms if hall == other else net.cross_hall_ms
        delays[hall, other] = _us(drawn(f"delay {hall} {other}", told.get(frozenset((hall, other)), usual)))
    return delays


def _hall_shares(incident: Incident, random: Callable[[str], Random]) -> dict[str, float]:
    """As told; or all alike, but for one hall that sends more, or less, than its part."""
    halls, told, rng = incident.network.halls, incident.traffic.hall_shares, random("draw halls")
    if told or len(halls) == 1:
        return {hall: told.get(hall, 0.0) if told else 1.0 for hall in halls}
    skew, odd = incident.traffic.hall_skew.draw(rng) * rng.choice((1, -1)), rng.choice(halls)
    return {hall: (1 + skew if hall == odd else 1 - skew / (len(halls) - 1)) / len(halls) for hall in halls}


def _discovery(incident: Incident, drawn: Draw) -> DiscoveryFigures:
    told, rules = incident.discovery, incident.rules
    return DiscoveryFigures(
        notice_us=_bounds(told.notice_s),
        silent_us=_bounds(told.silent_notice_s),
        add_us=_bounds(told.add_s),
        period_us=max(1, _us(drawn("discovery period", told.period_ms))),
        spread_us=(_us(told.spread_ms.low), _us(told.spread_ms.high)),
        told_us=micro(rules.deemed_told_s),
        told_after_move_us=micro(rules.reload_told_s),
    )


def _bounds(seconds: Range) -> tuple[int, int]:
    return micro(seconds.low), micro(seconds.high)


def _habits(incident: Incident, drawn: Draw, random: Callable[[str], Random]) -> Habits:
    told, rng = incident.traffic.clients, random("draw backoff")
    waits = told.backoff == "fixed" or (told.backoff == "either" and rng.random() < 0.5)
    return Habits(
        try_share=drawn("try share", told.try_share),
        retries=round(drawn("retries", told.retries)),
        wait_us=_us(drawn("backoff", told.backoff_ms)) if waits else 0,
        honour=drawn("honour", told.honour_share),
        retry_after_most_us=micro(told.max_retry_after_s),
        marks_retry=told.marks_retry,
        once=told.once_share,
        hold=told.hold_share,
    )


def _class(row: RequestClass, drawn: Draw, random: Callable[[str], Random]) -> ClassSpec:
    either = random(f"draw {row.name} distribution").choice(("lognormal", "pareto"))
    return ClassSpec(
        row.name,
        row.share,
        _us(drawn(f"{row.name} work", row.work_ms)),
        either if row.distribution == "either" else row.distribution,
        drawn(f"{row.name} spread", row.spread),
        micro(row.aim_s),
        micro(row.deadline_s),
        row.worth,
        row.late_share,
        row.repeatable,
        body_bytes=0 if row.repeatable else BODY_BYTES,
    )


def _spec(
    incident: Incident,
    kind: Machine,
    drawn: Draw,
    random: Callable[[str], Random],
    delays: Mapping[Pair, int],
) -> NodeSpec:
    """A machine of mean speed; what the whole fleet has alike is drawn under one name for all kinds."""
    fleet, rules, cores = incident.fleet, incident.rules, kind.cores

    def own(name: str, between: Range) -> float:
        return drawn(f"{kind.name} {name}", between)

    crossing = [us for (hall, other), us in delays.items() if hall != other] or [0]
    trip_us = 2 * CROSSING * sum(crossing) / len(crossing)
    return NodeSpec(
        kind=kind.name,
        cores=cores,
        speed=own("speed", kind.speed),
        slots=cores * kind.slots_per_core,
        room=round(cores * own("room", kind.waiting_per_core)),
        choke=own("choke", kind.choke),
        choke_at=own("choke at", kind.choke_at),
        cold_share=own("cold share", kind.cold_share),
        warm_us=micro(own("cold", kind.cold_s)),
        error_share=own("errors", kind.error_share),
        cache_keys=cores * round(drawn("cache keys", fleet.cache.keys_per_core)),
        cache_us=micro(drawn("cache", fleet.cache.remember_s)),
        cache_gain=drawn("gain", fleet.cache.gain),
        connections=cores * round(drawn("connections", fleet.connections_per_core)),
        connection_work_us=_us(drawn("handshake", fleet.handshake_ms)),
        connection_wait_us=round(drawn("trips", fleet.handshake_trips) * trip_us),
        table_tax=drawn("table tax", fleet.table_tax),
        probe_work_us=_us(drawn("probe", fleet.probe_ms)),
        probes_per_s=max(1, round(cores * drawn("probes", fleet.probes_per_core))),
        probe_deep=random("draw probe kind").random() < 0.5,
        stops_running=fleet.cancel == "all"
        or (fleet.cancel == "either" and random("draw cancel").random() < 0.5),
        work_noise=drawn("work noise", fleet.work_noise),
        report_period_us=_us(drawn("report period", fleet.report_every_ms)),
        report_delay_us=_us(drawn("report delay", fleet.report_delay_ms)),
        report_noise=drawn("report noise", fleet.report_noise),
        fall_multiple=rules.fall_multiple,
        fall_us=micro(rules.fall_s),
        fall_each_us=FALL_EACH_US,
        fall_slack_us=FALL_SLACK_US,
    )


def shape_of(traffic: Traffic, start_us: int) -> Shape:
    """First tries a second, if every customer sends its share."""
    base: Shape = Steady(traffic.rate)
    if traffic.rates:
        base = Schedule(tuple((start_us + micro(point.at_s), point.per_s) for point in traffic.rates))
    if traffic.shape == "wave":
        base = Swung(base, traffic.swing, micro(traffic.period_s), start_us)
    return base
