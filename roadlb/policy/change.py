"""Other settings while requests are open: what each class is from now on, and what open requests keep.

    setting                        an open request
    effect, group, window          is held to the stricter, key by key, of its own rule and the new one
    aim, deadline, worth           keeps those that it came under
    max_attempts, second_copies    as the new settings have it, asked at each attempt
    all others                     is not concerned

Stricter is what the table of the agreement calls narrower, so that nothing is allowed to an open request that
no version allowed it.  Such a request bears a `ClassState` of its own; what its answer teaches of the class's
latency is lost, as it is of one that is over in a moment.
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
    refusals: RefusalOrder,
    warmth: WarmUp,
    rebuild: Callable[[], None],
) -> list[Action]:
    """Make all that is kept under the settings `old` what it is under `new`.

    `rebuild` is called where capacities, or the order of keys' servers, follow from what has changed.
    """
    actions: list[Action] = []
    places = {id(cls): place for place, cls in enumerate(classes)}
    kept: dict[int, ClassState] = {}
    for r in requests.values():
        cls = r.cls
        state = kept.get(id(cls))
        if state is None:
            rule = new.classes[places[id(cls.of or cls)]]
            state = kept[id(cls)] = _held(cls, rule)
        if state is not cls:
            r.cls = state
            if state.spec.effect is Effect.UNSAFE and cls.spec.effect is not Effect.UNSAFE:
                actions += _repeats(r)
    for place, cls in enumerate(classes):
        cls.spec = new.classes[place]
    if _ranks(old) != _ranks(new):
        refusals.set_plan(new.refusals)
    warmth.configure(new.cold_from, new.cold_us)
    if _orders(old) != _orders(new):
        rebuild()
    return actions


def stricter(held: RequestClass, rule: RequestClass) -> RequestClass:
    """What neither of both rules forbids, with all else as `held` has it."""
    return replace(
        held,
        effect=max(held.effect, rule.effect),
        group=max(held.group, rule.group),
        window_us=min(held.window_us, rule.window_us),
    )


def _held(cls: ClassState, rule: RequestClass) -> ClassState:
    """For the open requests of `cls`: itself, where the new rule is the one that they have already."""
    spec = stricter(cls.spec, rule)
    if spec == cls.spec and (cls.of is not None or _allows(spec) == _allows(rule)):
        return cls
    held = ClassState(spec, cls.latency, cls.tail, cls.quickest, cls.of or cls)
    held.least = cls.least
    return held


def _allows(spec: RequestClass) -> tuple[int, int, int]:
    return spec.effect, spec.group, spec.window_us


def _repeats(r: Request) -> list[Action]:
    """A repeat that waits for its connection is called off: it would reach a server from now on."""
    first = r.first()
    return (
        []
        if r.closed
        else [Cancel(r.id, n, unsent=True) for n, a in enumerate(r.attempts) if a.open and a is not first]
    )


def withdraw(requests: Iterable[Request]) -> list[Action]:
    """Attempts that still wait for their dial to a server that is no longer ready would reach it too late."""
    return [Cancel(r.id, n, unsent=True) for r in requests for n, a in r.out() if not a.server.up]


def _ranks(settings: Settings) -> object:
    """What the ranks of refusals follow from."""
    return (
        [c.worth for c in settings.classes],
        settings.refusals,
        settings.over_share_worth,
        settings.worth_by_work,
        settings.warm_keys,
    )


def _orders(settings: Settings) -> object:
    """What `rebuild` reads."""
    return settings.cross_zone_cost > 0, settings.cold_from, settings.cold_us
