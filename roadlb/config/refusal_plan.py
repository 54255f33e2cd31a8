"""The key `refusal.plan` of the settings: the order in which requests are refused."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ..sites.refusal import RANKS, PlanLine
from .errors import ConfigError
from .pairs import Pairs


PLAN_WORDS: dict[str, dict[str, bool]] = {
    "share": {"over": True, "within": False},
    "try": {"repeat": True, "first": False},
    "key": {"warm": True, "cold": False},
}
PLAN_NAMES = "class", "customer"


def read_plan(p: Pairs, classes: Sequence[str], tenants: Sequence[str]) -> tuple[PlanLine, ...]:
    """`refusal.plan`: what is refused first, line by line; each word is checked and none is passed over."""
    count = p.integer("refusal.plan.count", "0")
    if count >= RANKS:
        raise ConfigError(f"{p.source}: refusal.plan: has {count} lines; leave at most {RANKS - 1}")
    if p.word("refusal.plan", ""):
        raise ConfigError(f"{p.source}: refusal.plan: {p.word('refusal.plan')!r} is no list of objects")
    for path in p.values:
        if path.startswith("refusal.") and path != "refusal.plan" and not path.startswith("refusal.plan."):
            raise ConfigError(f"{p.source}: {path}: is not known; there is refusal.plan")
    return tuple(_read_line(p, f"refusal.plan.{i}.", classes, tenants) for i in range(count))


def _read_line(p: Pairs, at: str, classes: Sequence[str], tenants: Sequence[str]) -> PlanLine:
    """The line of the plan whose paths begin with `at`."""
    words: dict[str, bool] = {}
    numbers: dict[str, int] = {}
    for path, value in p.values.items():
        if not path.startswith(at):
            continue
        key = path.removeprefix(at)
        if key in PLAN_WORDS:
            words[key] = _read_word(p, path, value, PLAN_WORDS[key])
        elif key in PLAN_NAMES:
            numbers[key] = _read_name(p, path, value, classes if key == "class" else tenants)
        else:
            known = ", ".join([*PLAN_NAMES, *PLAN_WORDS])
            raise ConfigError(f"{p.source}: {path}: is not known; there are {known}")
    return PlanLine(
        numbers.get("class"), numbers.get("customer"), words.get("share"), words.get("try"), words.get("key")
    )


def _read_word(p: Pairs, path: str, value: str, meanings: Mapping[str, bool]) -> bool:
    if value not in meanings:
        raise ConfigError(f"{p.source}: {path}: {value!r} is not {' or '.join(meanings)}")
    return meanings[value]


def _read_name(p: Pairs, path: str, value: str, names: Sequence[str]) -> int:
    """The number of the class or tenant that the value names."""
    if value not in names:
        known = ", ".join(names) or "none"
        raise ConfigError(f"{p.source}: {path}: there is no {value!r}; there are {known}")
    return list(names).index(value)
