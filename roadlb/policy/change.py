"""Applies new settings while requests are open.

    setting                        an open request
    effect, group, window          follows, for each setting, the stricter of its own rule and the new one
    aim, deadline, worth           keeps those of its arrival
    max_attempts, second_copies    follows the new settings, at each attempt
    all others                     is not affected

The stricter value (the documentation of the settings says "narrower") allows a request fewer repeats, so an
open request is never repeated where its own rule or the new one forbids it.  Open requests whose rule now
differs from that of their class have a `ClassState` of their own; the latency of their answers does not count
for the class, which matters little as they end soon.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from ..sites.refusal import RefusalOrder
from ..sites.warm_up import WarmUp
from .interface import Action, Cancel, Effect, RequestClass, Settings
from .state import ClassState, Request


def apply(
    old: Settings,
    new: Settings,
    classes: Sequence[ClassState],
    requests: Mapping[int, Request],
    refusal_order: RefusalOrder,
    warm_up: WarmUp,
    rebuild: Callable[[], None],
) -> list[Action]:
    """Bring classes, open requests, refusal ranks and slow start from the settings `old` to `new`.

    `rebuild` is called if capacities or the order of keys' servers depend on what has changed.  Returns the
    cancellations of retries that must not be sent any more.
    """
    actions: list[Action] = []
    class_indexes = {id(cls): class_index for class_index, cls in enumerate(classes)}
    states: dict[int, ClassState] = {}
    for request in requests.values():
        cls = request.cls
        state = states.get(id(cls))
        if state is None:
            rule = new.classes[class_indexes[id(cls.listed_class or cls)]]
            state = states[id(cls)] = _state_of_open(cls, rule)
        if state is not cls:
            request.cls = state
            if state.spec.effect is Effect.UNSAFE and cls.spec.effect is not Effect.UNSAFE:
                actions += _cancel_unsent_repeats(request)
    for class_index, cls in enumerate(classes):
        cls.spec = new.classes[class_index]
    if _ranking_settings(old) != _ranking_settings(new):
        refusal_order.set_plan(new.refusals)
    warm_up.configure(new.cold_from, new.cold_us)
    if _lookup_settings(old) != _lookup_settings(new):
        rebuild()
    return actions


def stricter(own_rule: RequestClass, rule: RequestClass) -> RequestClass:
    """Return `own_rule` with the stricter effect, group and window of both rules.

    A higher effect or group and a shorter window allow fewer repeats.
    """
    return replace(
        own_rule,
        effect=max(own_rule.effect, rule.effect),
        group=max(own_rule.group, rule.group),
        window_us=min(own_rule.window_us, rule.window_us),
    )


def _state_of_open(cls: ClassState, rule: RequestClass) -> ClassState:
    """Return the class state for open requests of `cls`.

    It is `cls` itself if their rule stays as it is and `cls` is not about to get another one.
    """
    spec = stricter(cls.spec, rule)
    if spec == cls.spec and (cls.listed_class is not None or _execution_rule(spec) == _execution_rule(rule)):
        return cls
    open_state = ClassState(spec, cls.mean_us, cls.tail_us, cls.min_latency_us, cls.listed_class or cls)
    open_state.base_latency_us = cls.base_latency_us
    return open_state


def _execution_rule(spec: RequestClass) -> tuple[int, int, int]:
    return spec.effect, spec.group, spec.window_us


def _cancel_unsent_repeats(request: Request) -> list[Action]:
    """Cancel retries that still wait for a connection, as the new rule does not allow them to be sent."""
    first = request.earliest_run()
    return (
        []
        if request.closed
        else [
            Cancel(request.id, n, unsent=True)
            for n, attempt in enumerate(request.attempts)
            if attempt.is_open and attempt is not first
        ]
    )


def cancel_unsent_to_drained(requests: Iterable[Request]) -> list[Action]:
    """Cancel attempts that still wait to connect to a server that is no longer ready."""
    return [
        Cancel(request.id, n, unsent=True)
        for request in requests
        for n, attempt in request.open_uncancelled()
        if not attempt.server.is_ready
    ]


def _ranking_settings(settings: Settings) -> object:
    """The settings that determine the ranks of requests in load shedding."""
    return (
        [c.worth for c in settings.classes],
        settings.refusals,
        settings.over_share_worth,
        settings.worth_by_work,
        settings.warm_keys,
    )


def _lookup_settings(settings: Settings) -> object:
    """The settings that `rebuild` reads."""
    return settings.cross_zone_cost > 0, settings.cold_from, settings.cold_us
