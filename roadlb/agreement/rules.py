"""What follows from the table: the part of a change that holds at once, what two rules allow in common, where
they contradict each other, and what holds when nothing is heard.

A key of a setting is its path, with the name of a class or customer in place of its number
(`classes.grid-read.effect`); one of the list is `list.CLUSTER.NODE.FIELD`.  A rule *exceeds* another in a key
if it allows what the other does not.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from ..fleet.model import Cluster, Drop, Endpoint, Lifecycle, group_key
from .events import NOTHING, Contents, VersionId
from .table import HEALTH, KEEP, LIFECYCLE, Kind, Line, line_of

Floors = Mapping[str, str]  # by key, or by the table's pattern: floors that operators have stated

_REMOVED = LIFECYCLE.width("removed")


class Unreadable(ValueError):
    """Contents that cannot be compared; the text names the key and is for a person."""


@dataclass(slots=True, frozen=True)
class Setting:
    """One setting that grants: its key, its path, its line and its text."""

    key: str
    path: str
    line: Line
    text: str


@dataclass(slots=True, frozen=True)
class Split:
    """A change in its parts: what holds at once, and the keys that narrow, grant and are free."""

    narrowed: Contents
    narrowing: tuple[str, ...]
    granting: tuple[str, ...]
    free: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class InUse:
    """What one balancer acts on: the newest version that it was told, what that allows at the most, and what
    it uses now.  `lapsed`: without a lease; `force`: the newest in force that it keeps to."""

    id: VersionId
    told: Contents
    used: Contents
    lapsed: bool
    force: VersionId = NOTHING


def unknown(contents: Contents) -> list[str]:
    """Paths without a line in the table: contents of a newer release, or misspelt."""
    return [path for path in contents.settings if line_of(path) is None]


def granting(settings: Mapping[str, str]) -> dict[str, Setting]:
    """All settings that are not free, by key; what is absent and means something is there as well."""
    found: dict[str, Setting] = {}
    names: dict[str, str] = {}
    for path, text in settings.items():
        line = line_of(path)
        if line is None or line.free:
            continue
        key, parts = path, path.split(".")
        if "*" in line.key and parts[0] != "routes":
            prefix = f"{parts[0]}.{parts[1]}."
            if prefix not in names:
                name = settings.get(prefix + "name") or f"#{parts[1]}"
                taken = f"{parts[0]}.{name}." in names.values()
                names[prefix] = f"{parts[0]}.{name}#{parts[1]}." if taken else f"{parts[0]}.{name}."
            key = names[prefix] + parts[2]
        found[key] = Setting(key, path, line, text)
    for path, line in _ABSENT.items():
        if path not in found:
            assert line.absent is not None
            found[path] = Setting(path, path, line, line.absent)
    return found


_ABSENT = {path: line for path in ("limits.second_copies",) if (line := line_of(path)) is not None}


def check(contents: Contents) -> None:
    """Raise Unreadable unless these contents can be compared with others."""
    for setting in granting(contents.settings).values():
        if not setting.line.choice:
            _width(setting.line, setting.text)
    for cluster in contents.clusters.values():
        for endpoint in cluster.endpoints:
            if not math.isfinite(endpoint.weight):
                raise Unreadable(
                    f"list.{cluster.name}.{endpoint.node.name}.weight: {endpoint.weight!r} is not a number"
                )


def below_floor(contents: Contents, floors: Floors | None = None) -> list[str]:
    """Keys in which a version allows less than their floor: it could not reach those that hear nothing."""
    return [
        s.key
        for s in granting(contents.settings).values()
        if not s.line.choice
        and (at := _floor(s, floors)) != KEEP
        and _width(s.line, s.text) < _width(s.line, at)
    ]


def split(before: Contents, after: Contents) -> Split:
    """A change in its parts; `narrowed` is what holds from when it is prepared until it is in force."""
    free = [
        path
        for path in dict.fromkeys((*before.settings, *after.settings))
        if ((line := line_of(path)) is None or line.free)
        and before.settings.get(path) != after.settings.get(path)
    ]
    return Split(
        meet(before, after), tuple(exceeds(before, after)), tuple(exceeds(after, before)), tuple(free)
    )


def meet(a: Contents, b: Contents) -> Contents:
    """The rule that exceeds neither: the narrower in each key; what is free, and the order of things, is
    `a`'s."""
    if a is b:
        return a
    theirs = granting(b.settings)
    settings = dict(a.settings)
    for key, ours in granting(a.settings).items():
        other = theirs.get(key)
        text = _narrower(ours, _default(ours.line) if other is None else other.text)
        if text != ours.text:
            settings[ours.path] = text
    clusters = {
        name: held if (told := b.clusters.get(name)) is held else _meet_cluster(held, told)
        for name, held in a.clusters.items()
    }
    return Contents(settings, clusters)


def floor(contents: Contents, floors: Floors | None = None) -> Contents:
    """What holds of these contents when nothing is heard; `floors` are those that operators have stated."""
    settings = dict(contents.settings)
    for setting in granting(contents.settings).values():
        at = _floor(setting, floors)
        if at != KEEP and (text := _narrower(setting, at)) != setting.text:
            settings[setting.path] = text
    return Contents(settings, contents.clusters)


def exceeds(used: Contents, told: Contents) -> list[str]:
    """Keys in which `used` allows what `told` does not."""
    if used is told:
        return []
    found = []
    theirs = granting(told.settings)
    for key, ours in granting(used.settings).items():
        other = theirs.get(key)
        text = _default(ours.line) if other is None else other.text
        if ours.line.choice:
            if ours.text not in (text, ours.line.floor):
                found.append(key)
        elif _width(ours.line, ours.text) > _width(ours.line, text):
            found.append(key)
    for name, cluster in used.clusters.items():
        if (listed := told.clusters.get(name)) is not cluster:
            found += _cluster_exceeds(cluster, listed)
    return found


def contradict(a: InUse, b: InUse) -> list[str]:
    """Keys in which the one that was told less uses what the newest rule of the other does not allow.

    A key that keeps its value when nothing is heard counts as long as there is a lease; after that the one
    that hears nothing is told to the operator, and no bound of time holds for it.
    """
    older, newer = (a, b) if a.id < b.id else (b, a)
    found = exceeds(older.used, newer.told)
    return [key for key in found if not keeps(key)] if older.lapsed else found


def in_use_across(a: InUse, b: InUse, versions: Mapping[VersionId, Contents]) -> list[str]:
    """Keys in which one uses what a version in force does not allow, while the other has a lease for that
    version: that must not be, not for an instant.  `versions` has the contents of all that were in force."""
    older, newer = (a, b) if a.force < b.force else (b, a)
    if newer.lapsed or older.force == newer.force:
        return []
    found = exceeds(older.used, versions[newer.force])
    return [key for key in found if not keeps(key)] if older.lapsed else found


def keeps(key: str) -> bool:
    """Has this key no floor?"""
    return key.startswith("list.") or key == "instances"


def _floor(setting: Setting, floors: Floors | None) -> str:
    if floors:
        return floors.get(setting.key) or floors.get(setting.line.key) or setting.line.floor
    return setting.line.floor


def _default(line: Line) -> str:
    """What a key counts as that the other rule does not have: a class, a customer or a path."""
    return line.absent if line.absent is not None and "*" not in line.key else line.floor


def _width(line: Line, text: str) -> float:
    try:
        return line.width(text)
    except ValueError as e:
        raise Unreadable(str(e)) from None


def _narrower(ours: Setting, text: str) -> str:
    """The narrower of two values; of two that are different choices, the floor."""
    if ours.text == text or text == KEEP:
        return ours.text
    if ours.line.choice:
        return ours.line.floor
    return text if _width(ours.line, text) < _width(ours.line, ours.text) else ours.text


# The list


def _by_name(endpoints: Iterable[Endpoint]) -> dict[str, list[Endpoint]]:
    found: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        found.setdefault(endpoint.node.name, []).append(endpoint)
    return found


def _life(endpoint: Endpoint) -> float:
    return LIFECYCLE.width(endpoint.lifecycle.value)


def _health(endpoint: Endpoint) -> float:
    return HEALTH.width(endpoint.health.name)


# Of an endpoint, what is more than free: its key's last part, and how much it allows.
OF_ENDPOINT: tuple[tuple[str, Callable[[Endpoint], float]], ...] = (
    ("lifecycle", _life),
    ("health", _health),
    ("weight", lambda e: e.weight),
)


def _cluster_exceeds(used: Cluster, told: Cluster | None) -> list[str]:
    found = []
    at = f"list.{used.name}."
    lines = _by_name(told.endpoints) if told is not None else {}
    for endpoint in used.endpoints:
        others = lines.get(endpoint.node.name, [])
        if endpoint in others:
            continue
        if others and all(other.node.started_ms < endpoint.node.started_ms for other in others):
            continue  # restarted since: the other cannot know of it
        same = [other for other in others if other.node == endpoint.node]
        if not same:
            if _life(endpoint) > _REMOVED:
                found.append(f"{at}{endpoint.node.name}.lifecycle")
            continue
        found += [
            f"{at}{endpoint.node.name}.{name}"
            for name, width in OF_ENDPOINT
            if width(endpoint) > min(map(width, same))
        ]
    weights = {group_key(g): g.weight for g in told.groups} if told is not None else {}
    for group in used.groups:
        other_weight = weights.get(group_key(group))
        if group.weight is not None and other_weight is not None and group.weight > other_weight:
            found.append(f"{at}group.weight")
    turned = _drops(used.drops)
    for category, millionths in _drops(told.drops if told is not None else ()).items():
        if turned.get(category, 0) < millionths:
            found.append(f"{at}drop.{category}")
    return found


def _drops(drops: Iterable[Drop]) -> dict[str, int]:
    found: dict[str, int] = {}
    for drop in drops:
        found[drop.category] = max(drop.millionths, found.get(drop.category, 0))
    return found


def _meet_cluster(held: Cluster, told: Cluster | None) -> Cluster:
    lines = _by_name(told.endpoints) if told is not None else {}
    endpoints = tuple(
        _meet_endpoint(endpoint, lines.get(endpoint.node.name, [])) for endpoint in held.endpoints
    )
    if told is None:
        return replace(held, endpoints=endpoints)
    weights = {group_key(g): g.weight for g in told.groups}
    groups = tuple(
        replace(g, weight=min(g.weight, w))
        if g.weight is not None and (w := weights.get(group_key(g))) is not None
        else g
        for g in held.groups
    )
    turned = _drops(told.drops)
    drops = tuple(replace(d, millionths=max(d.millionths, turned.pop(d.category, 0))) for d in held.drops)
    drops += tuple(Drop(category, millionths) for category, millionths in turned.items())
    return replace(held, endpoints=endpoints, groups=groups, drops=drops)


def _meet_endpoint(held: Endpoint, others: list[Endpoint]) -> Endpoint:
    if len(others) == 1 and others[0] == held:
        return held  # the commonest: 10,000 take 18 ms, not 156
    if not others:
        return replace(held, lifecycle=Lifecycle.REMOVED)
    newest = max(others, key=lambda other: other.node.started_ms)
    if newest.node.started_ms > held.node.started_ms:
        # Restarted: what was known was of another process.  One that a version removed is added anew.
        return held if held.lifecycle is Lifecycle.REMOVED else newest
    same = [other for other in others if other.node == held.node]
    if not same:
        return held  # the other has an older start: it cannot know
    least = replace(
        held,
        lifecycle=min((held, *same), key=_life).lifecycle,
        health=min((held, *same), key=_health).health,
        weight=min(held.weight, *(other.weight for other in same)),
    )
    return held if least == held else least


__all__ = [
    "Floors",
    "InUse",
    "Kind",
    "Line",
    "Setting",
    "Split",
    "Unreadable",
    "below_floor",
    "check",
    "contradict",
    "exceeds",
    "floor",
    "granting",
    "in_use_across",
    "keeps",
    "line_of",
    "meet",
    "split",
    "unknown",
]
