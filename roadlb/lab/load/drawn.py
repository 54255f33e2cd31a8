"""One draw of an incident's traffic, as clients in one place send it."""

from __future__ import annotations

from random import Random

from ..incident.schema import RequestClass, Traffic
from ..incident.values import micro
from ..model.classes import ClassSpec, Habits, TenantSpec
from ..model.keys import Keys
from ..model.shapes import Schedule, Shape, Steady, Wave

ORDER_BYTES = 212               # of an order's body


def shape_of(traffic: Traffic, start_us: int) -> Shape:
    """First tries a second on a clock that shows `start_us` when the traffic begins."""
    if traffic.rates:
        return Schedule(tuple((start_us + micro(point.at_s), point.per_s) for point in traffic.rates))
    if traffic.shape == "wave":
        return Wave(traffic.rate, traffic.swing, micro(traffic.period_s), start_us)
    return Steady(traffic.rate)


def classes_of(traffic: Traffic, rng: Random) -> tuple[ClassSpec, ...]:
    return tuple(_class(told, rng) for told in traffic.classes)


def _class(told: RequestClass, rng: Random) -> ClassSpec:
    kind = rng.choice(("lognormal", "pareto")) if told.distribution == "either" else told.distribution
    return ClassSpec(
        told.name, told.share, micro(told.work_ms.draw(rng) / 1000), kind, told.spread.draw(rng),
        micro(told.aim_s), micro(told.deadline_s), told.worth, told.late_share, told.repeatable,
        body_bytes=0 if told.repeatable else ORDER_BYTES)


def tenants_of(traffic: Traffic, rng: Random) -> tuple[TenantSpec, ...]:
    return tuple(TenantSpec(told.name, told.share, told.sends.draw(rng)) for told in traffic.tenants)


def keys_of(traffic: Traffic, rng: Random) -> Keys:
    return Keys(max(1, round(traffic.keys.draw(rng))), traffic.zipf.draw(rng), rng, traffic.fresh_keys)


def habits_of(traffic: Traffic, rng: Random) -> Habits:
    told = traffic.clients
    waits = rng.choice((False, True)) if told.backoff == "either" else told.backoff == "fixed"
    return Habits(
        told.try_share.draw(rng), round(told.retries.draw(rng)),
        micro(told.backoff_ms.draw(rng) / 1000) if waits else 0, told.honour_share.draw(rng),
        micro(told.max_retry_after_s), told.marks_retry, told.once_share, told.hold_share)
