"""What the judge holds balancers to, and how it weighs the worth that they served: figures only."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ClassRule:
    """A class of requests."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float
    late_share: float  # of the worth, between aim and deadline
    repeatable: bool


@dataclass(frozen=True, slots=True)
class TenantRule:
    """A customer, and the requests a second that are within its share."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Weights:
    """Parts of the service figure; they add up to 1."""

    whole: float = 0.4
    worst_window: float = 0.15
    worst_class: float = 0.2
    worst_tenant: float = 0.25


@dataclass(frozen=True, slots=True)
class Prices:
    """Points in 100 for each unit: see `Prices` of an incident."""

    handshake: float = 8.0
    waste: float = 4.0
    late_fail: float = 3.0
    cross_hall: float = 2.0
    probe: float = 1.0
    sat_on: float = 0.3  # share of its own worth that a request costs which nobody worked on


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules; times in microseconds."""

    classes: tuple[ClassRule, ...]
    tenants: tuple[TenantRule, ...] = ()
    slack_us: int = 58_000  # 8 ms for an answer to be final, and 50 ms on sockets
    limit_slack_us: int = 50_000  # of every other time limit
    silence_is_loss: bool = True  # false: what runs out of time has failed, and is not lost
    drain_grace_us: int = 1_000_000
    deemed_told_us: int = 6_000_000
    reload_told_us: int = 4_000_000  # after SIGHUP
    term_grace_us: int = 700_000  # after SIGTERM a killed balancer owes what came later than this
    dial_us: int = 250_000  # an attempt that is being dialled may still be written after the end
    fall_us: int = 1_000_000
    fall_share: float = 2 / 3  # of the pressure, by balancers that had been told of the start
    drained_us: int = 4_000_000  # then a balancer out of service holds no client's connection
    cold_us: int = 23_000_000
    max_attempts: int = 5
    second_copies: bool = True
    over_share_worth: float = 0.2
    weights: Weights = Weights()
    prices: Prices = Prices()
    halls: Mapping[str, str] = field(default_factory=dict)  # of each balancer, for the price of crossing
