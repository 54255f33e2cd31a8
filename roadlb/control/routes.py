"""The rules of the classes in the proxies' own terms, as plain data for the codec.

A class that is safe to repeat may be tried again whatever became of the attempt before; one that may never
run twice only after an ending that proves that it never ran.

| ending | Envoy's `retry_on` | did it run? |
| --- | --- | --- |
| no connection came up | `connect-failure` | no |
| HTTP/2 stream refused | `refused-stream` | no |
| 503 or 504 with `X-Unprocessed: 1` | `retriable-headers` with that header | no |
| reset, no answer | `reset` | it may have |
| 502, 503, 504 | `gateway-error` | it may have |
| no answer within the time for one try | `per_try_timeout` | it may have |

gRPC's client knows retries by status code alone (gRFC A44), and its UNAVAILABLE does not tell whether a call
ran: a class that may not run twice gets no codes there.  What its channel does by itself, transparent
retries, is only for calls that never left it or that the server refused unseen.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from roadlb.policy.interface import Effect, RequestClass, Settings

NEVER_RAN = ("connect-failure", "refused-stream", "retriable-headers")
MAY_HAVE_RUN = ("reset", "gateway-error")
GRPC_CODES = ("unavailable", "resource-exhausted")
UNPROCESSED = ("X-Unprocessed", "1")
RETRY_PERCENT = 20.0  # of the requests open, as the decision module's RETRY_RATIO
RETRY_LEAST = 3  # at once, so that a quiet proxy may retry at all; Envoy's own default
OPEN_EACH = 32  # requests open on a node of weight 1: at 39 ms each they take 1.2 s
BACK_OFF_US = 25_000  # base of the wait before a retry; Envoy's own default


@dataclass(slots=True, frozen=True)
class Retry:
    """`retry_on` in Envoy's words; `header`: the answer's header meant by `retriable-headers`.

    `tries`: attempts beyond the first.  `elsewhere`: not to a node tried already.
    """

    retry_on: tuple[str, ...]
    header: tuple[str, str]
    grpc_codes: tuple[str, ...]
    tries: int
    try_timeout_us: int  # 0: until the request's own time-out
    back_off_us: int = BACK_OFF_US
    elsewhere: bool = True


@dataclass(slots=True, frozen=True)
class Rule:
    """The route of one class.  A request whose time is up has an answer by `timeout_us`."""

    name: str
    timeout_us: int
    retry: Retry
    hedge: bool  # may a second copy be sent when a try takes long?


@dataclass(slots=True, frozen=True)
class Limits:
    """For one proxy's cluster: `max_requests` open, `max_retries` and their budget.

    They bound what a proxy holds.  They cannot keep a cold node up: a node at 12% of its capacity falls by 3
    times that within a second, which no count of open requests that lets a warm fleet work comes near.
    """

    max_requests: int
    max_retries: int
    retry_percent: float = RETRY_PERCENT
    panic_percent: float = 0.0  # in panic Envoy sends to nodes that drain: it must never panic


def rule_of(spec: RequestClass, settings: Settings) -> Rule:
    """One class's rule.  KEYED is taken as UNSAFE: no proxy keeps repeats to a group or a window."""
    tries = max(0, settings.max_attempts - 1)
    safe = spec.effect is Effect.SAFE
    return Rule(
        spec.name,
        spec.deadline_us,
        Retry(
            NEVER_RAN + MAY_HAVE_RUN if safe else NEVER_RAN,
            UNPROCESSED,
            GRPC_CODES if safe else (),
            tries,
            spec.aim_us if safe and tries else 0,
        ),
        hedge=safe and settings.second_copies and tries > 0,
    )


def rules(settings: Settings) -> tuple[Rule, ...]:
    """A rule for each class, in the order of the settings.  Raises ValueError if two have one name."""
    settings.check()
    names = [c.name for c in settings.classes]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"classes: the name {name!r} is there twice: routes are told apart by it")
    return tuple(rule_of(c, settings) for c in settings.classes)


def limits(weights: Mapping[str, float], share: float) -> Limits:
    """Limits for a proxy that carries `share`, 0..1, of the traffic to nodes of these weights.

    Every proxy may hold what all nodes can hold, but for the share that it has of them, twice over: clients
    move from a proxy that dies to the others.
    """
    if not 0 < share <= 1:
        raise ValueError(f"share: {share!r} must be above 0 and at most 1")
    most = max(OPEN_EACH, round(OPEN_EACH * sum(weights.values()) * min(1.0, 2 * share)))
    return Limits(most, max(RETRY_LEAST, round(most * RETRY_PERCENT / 100)))
