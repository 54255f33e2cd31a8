"""The deployment's figures: ranges as the operators state them, and one draw of them for a rehearsal.

Times are in microseconds, work in microseconds of a standard core, pairs are the lowest and highest.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from ..model.classes import ClassSpec, Habits, TenantSpec
from ..model.keys import Keys
from ..model.spec import NodeSpec
from .discovery import DiscoveryFigures

Range = tuple[float, float]


def draw(rng: Random, between: Range) -> float:
    return rng.uniform(*between)


def draw_us(rng: Random, between: Range) -> int:
    return round(rng.uniform(*between))


@dataclass(slots=True, frozen=True)
class Rules:
    """What the judge holds the balancers to."""

    drain_grace_us: int = 1_000_000
    cold_from: float = 0.12
    cold_us: int = 23_000_000
    fall_multiple: float = 3.0
    fall_us: int = 1_000_000
    fall_blame: float = 2 / 3            # of what pushed it over, from balancers that were told of its start
    slack_us: int = 50_000               # every limit is longer by this on real sockets
    over_share_worth: float = 0.2
    max_attempts: int = 5


@dataclass(slots=True, frozen=True)
class Delays:
    """One way, in microseconds, with the part by which one delivery may be longer."""

    same_hall_us: Range = (110, 320)
    cross_hall_us: Range = (1_400, 2_600)
    client_us: Range = (280, 880)
    jitter: Range = (0.15, 0.34)


@dataclass(slots=True, frozen=True)
class KindFigures:
    name: str
    share: float
    speed: Range
    speed_cv: Range                      # between machines of the kind
    room_per_core: Range
    choke: Range
    cold_share: Range
    warm_us: Range
    cores: int = 2
    slots_per_core: int = 1
    choke_at: Range = (4.2, 8.8)
    error_share: Range = (0, 0.001)


@dataclass(slots=True, frozen=True)
class ClassFigures:
    name: str
    share: float
    work_us: Range
    distributions: tuple[str, ...]
    work_cv: Range
    aim_us: int
    give_up_us: int
    worth: float
    repeatable: bool
    body_bytes: int = 0


KINDS = (
    KindFigures("new-2c", 0.49, (0.85, 1.1), (0.042, 0.25), (13, 40), (0.065, 0.15), (0.12, 0.36),
                (13e6, 22e6)),
    KindFigures("old-2c", 0.51, (0.51, 0.69), (0.094, 0.21), (8.4, 22), (0.034, 0.13), (0.2, 0.35),
                (12e6, 23e6)))
CLASSES = (
    ClassFigures("grid-read", 0.7, (11_000, 20_000), ("lognormal", "pareto"), (1.6, 2.8), 500_000, 2_500_000,
                 2.0, True),
    ClassFigures("order", 0.3, (69_000, 120_000), ("pareto",), (1.5, 2.6), 600_000, 2_000_000, 10.0, False,
                 body_bytes=212))
TENANTS = (TenantSpec("energia-sever", 0.8), TenantSpec("cesty-vychod", 0.2))


@dataclass(slots=True, frozen=True)
class Day:
    """One draw: what holds for a whole rehearsal."""

    kinds: dict[str, NodeSpec]           # a machine of mean speed of each kind
    speed_cv: dict[str, float]
    classes: tuple[ClassSpec, ...]
    tenants: tuple[TenantSpec, ...]
    habits: Habits
    keys: Keys
    discovery: DiscoveryFigures
    same_hall_us: int
    cross_hall_us: int
    client_us: int
    jitter: float

    @property
    def wish_work_us(self) -> float:
        """Mean work of a wish, caches not counted."""
        return sum(c.share * c.work_us for c in self.classes) / sum(c.share for c in self.classes)

    def per_s(self, load: float, capacity: float) -> float:
        """Wishes a second that are this part of what nodes of that capacity can do, caches not counted.

        The operators' 390 a second are 0.72 to 1.14 of it in eight draws of ten; known keys save some of it.
        """
        return load * capacity * 1e6 / self.wish_work_us

    def node(self, kind: str, rng: Random) -> NodeSpec:
        """One machine: those of a kind differ in speed, by no more than twice their variation."""
        cv = self.speed_cv[kind]
        off = max(-2 * cv, min(2 * cv, rng.gauss(0, cv)))
        return replace(self.kinds[kind], speed=round(self.kinds[kind].speed * max(0.2, 1 + off), 3))


@dataclass(slots=True, frozen=True)
class Figures:
    """The deployment: what can be changed is changed with `dataclasses.replace`."""

    halls: tuple[str, ...] = ("hall-a", "hall-b", "hall-c")
    nodes: tuple[int, int] = (9, 12)
    balancers: int = 3
    per_s: float = 390.0                 # of first tries, all halls together
    hall_skew: Range = (0.05, 0.3)       # how much more or less than its part one hall's clients send
    kinds: tuple[KindFigures, ...] = KINDS
    classes: tuple[ClassFigures, ...] = CLASSES
    tenants: tuple[TenantSpec, ...] = TENANTS
    delays: Delays = Delays()
    rules: Rules = Rules()
    discovery: DiscoveryFigures = DiscoveryFigures()
    front_notice_us: tuple[int, int] = (1_300_000, 3_900_000)
    keys: tuple[int, int] = (610, 1_600)
    key_exponent: Range = (0.86, 1.1)
    try_share: Range = (0.3, 0.55)
    retries: tuple[int, int] = (2, 3)
    waits_us: tuple[int, ...] = (0, 25_000, 200_000)         # none, or a fixed one between the other two
    honour: Range = (0, 0.4)
    max_retry_after_us: int = 1_200_000
    cache_gain: Range = (0.25, 0.7)
    cache_us: Range = (6e6, 11e6)
    cache_keys_per_core: Range = (18, 36)
    connections_per_core: Range = (350, 550)
    connection_work_us: Range = (980, 2_000)
    connection_rtts: Range = (1, 2)      # of a handshake, beside TCP's own
    table_tax: Range = (0.031, 0.15)
    conn_idle_us: int = 10_000_000
    dial_timeout_us: int = 250_000
    probe_work_us: Range = (210, 430)
    probes_per_core: Range = (1.1, 3.9)
    weights: Range = (0.8, 1.25)         # as a part of the true size
    report_period_us: Range = (65_000, 470_000)
    report_delay_us: Range = (17_000, 130_000)
    report_noise: Range = (0.029, 0.17)
    work_noise: Range = (0.07, 0.59)
    # How heavy a request is no balancer is told, and of orders (Pareto, mean 95 ms, variation 2) one in 200
    # alone is more than what a machine may be sent in its first second, 0.61 s: such a fall is chance.
    fall_each_us: int = 200_000
    fall_slack_us: int = 50_000

    def draw(self, rng: Random) -> Day:
        cross = draw_us(rng, self.delays.cross_hall_us)
        period = draw_us(rng, (190e3, 840e3))
        habits = Habits(
            draw(rng, self.try_share), rng.randint(*self.retries),
            rng.choice((self.waits_us[0], draw_us(rng, self.waits_us[1:]))),  # type: ignore[arg-type]
            draw(rng, self.honour), self.max_retry_after_us)
        common = self._common(rng, cross)
        return Day(
            {kind.name: self._spec(rng, kind, common) for kind in self.kinds},
            {kind.name: draw(rng, kind.speed_cv) for kind in self.kinds},
            tuple(self._class(rng, spec) for spec in self.classes), self.tenants, habits,
            Keys(rng.randint(*self.keys), draw(rng, self.key_exponent), rng),
            replace(self.discovery, period_us=period),
            draw_us(rng, self.delays.same_hall_us), cross, draw_us(rng, self.delays.client_us),
            draw(rng, self.delays.jitter))

    def _common(self, rng: Random, cross_us: int) -> NodeSpec:
        """What all machines of a day have alike, for one core."""
        return NodeSpec(
            cache_keys=round(draw(rng, self.cache_keys_per_core)), cache_us=draw_us(rng, self.cache_us),
            cache_gain=draw(rng, self.cache_gain), connections=draw_us(rng, self.connections_per_core),
            connection_work_us=draw_us(rng, self.connection_work_us),
            connection_wait_us=round(draw(rng, self.connection_rtts) * 2 * cross_us * 2 / 3),
            table_tax=draw(rng, self.table_tax), probe_work_us=draw_us(rng, self.probe_work_us),
            probes_per_s=max(1, round(draw(rng, self.probes_per_core))), probe_deep=rng.random() < 0.5,
            stops_running=rng.random() < 0.5, work_noise=draw(rng, self.work_noise),
            report_period_us=draw_us(rng, self.report_period_us),
            report_delay_us=draw_us(rng, self.report_delay_us), report_noise=draw(rng, self.report_noise),
            fall_multiple=self.rules.fall_multiple, fall_us=self.rules.fall_us,
            fall_each_us=self.fall_each_us, fall_slack_us=self.fall_slack_us)

    def _spec(self, rng: Random, kind: KindFigures, common: NodeSpec) -> NodeSpec:
        cores = kind.cores
        return replace(
            common, kind=kind.name, cores=cores, speed=draw(rng, kind.speed),
            slots=cores * kind.slots_per_core, room=round(cores * draw(rng, kind.room_per_core)),
            choke=draw(rng, kind.choke), choke_at=draw(rng, kind.choke_at),
            cold_share=draw(rng, kind.cold_share), warm_us=draw_us(rng, kind.warm_us),
            error_share=draw(rng, kind.error_share),
            cache_keys=cores * common.cache_keys, connections=cores * common.connections,
            probes_per_s=cores * common.probes_per_s)

    def _class(self, rng: Random, spec: ClassFigures) -> ClassSpec:
        return ClassSpec(
            spec.name, spec.share, draw_us(rng, spec.work_us), rng.choice(spec.distributions),
            draw(rng, spec.work_cv), spec.aim_us, spec.give_up_us, spec.worth, repeatable=spec.repeatable,
            body_bytes=spec.body_bytes)

    def rough_weight(self, spec: NodeSpec, rng: Random) -> float:
        """What discovery says of a machine's size: about right."""
        return round(spec.capacity * draw(rng, self.weights), 2)

    def settings(self, me: int, hall: str, per_s: float | None = None) -> dict[str, object]:
        """What balancer number `me` finds in its configuration under `settings`, as the platform words it."""
        rules, per_s = self.rules, self.per_s if per_s is None else per_s
        shares = sum(tenant.share for tenant in self.tenants)
        return {
            "me": me, "instances": self.balancers, "az": self.halls.index(hall), "dcs": list(self.halls),
            "machine_types": [kind.name for kind in self.kinds], "discovery": "pushed",
            "weight_source": "rough", "counted_by": "request", "over_share_worth": rules.over_share_worth,
            "domain": {"warm_keys": True},
            "classes": [{
                "name": c.name, "promise_us": c.aim_us, "deadline_us": c.give_up_us, "value": c.worth,
                "late_worth": 0.5, "stream": False,
                "effect": "idempotent" if c.repeatable else "at_most_once"}
                for c in self.classes],
            "tenants": [{"name": t.name, "share": t.share, "quota_per_s": per_s * t.share / shares}
                        for t in self.tenants],
            "limits": {
                "cancelling": True, "second_copies": True, "probes": True, "peers": False,
                "retry_after": True, "max_attempts": rules.max_attempts,
                "max_retry_after_us": self.max_retry_after_us,
                "conn_idle_us": self.conn_idle_us, "dial_timeout_us": self.dial_timeout_us,
                "max_open": 20_000},
            "report": {"source": "inline", "fields": ["fail_rate", "q"]},
            "costs": {"cross_zone": 0.02, "probe": 0.01, "waste": 0.04, "late_fail": 0.03, "handshake": 0.08},
            "invariants": {
                "cold_from": rules.cold_from, "cold_us": rules.cold_us, "fall_multiple": rules.fall_multiple,
                "fall_us": rules.fall_us, "drain_grace_us": rules.drain_grace_us}}
