"""Named findings on the step from one picture to the next, for a guard to act on before it is in force."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterator

from .checks import Check, Finding, Severity, gravest_first, named
from .diff import Changes, ClusterChange, changes
from .model import Cluster, Endpoint, Health, Lifecycle, NodeId, Picture


def check_step(old: Picture, new: Picture, told: Changes | None = None) -> tuple[Finding, ...]:
    """All findings on going from `old` to `new`, the gravest first; clusters that both share cost nothing.

    `told`: their difference, where the caller has it already.
    """
    told = told if told is not None else changes(old, new)
    found = list(_generations(told))
    for cluster in told.removed:
        nodes = tuple(endpoint.node for endpoint in cluster.endpoints)
        severity = Severity.GRAVE if nodes else Severity.NOTE
        found.append(
            Finding(
                Check.CLUSTER_GONE,
                severity,
                cluster.name,
                nodes,
                f"cluster {cluster.name!r} is gone, with {len(nodes)} endpoints",
                len(nodes),
            )
        )
    for change in told.changed:
        found += _cluster(old.clusters[change.name], new.clusters[change.name], change)
    return gravest_first(found)


def _generations(told: Changes) -> Iterator[Finding]:
    if told.after < told.before:
        yield Finding(
            Check.GENERATION_BACK,
            Severity.GRAVE,
            "",
            (),
            f"generation {told.after} after {told.before}: an older state, or numbers begun anew",
            told.before - told.after,
        )
    elif told.after == told.before and told:
        yield Finding(
            Check.GENERATION_REUSED,
            Severity.GRAVE,
            "",
            (),
            f"generation {told.after} is told again with other content: raise it with each change",
        )


def _cluster(old: Cluster, new: Cluster, change: ClusterChange) -> Iterator[Finding]:
    yield from _starts(old, change)
    yield from _reopened(change)
    yield from _places(old, change)
    if not (change.removed or change.changed):
        return  # nothing less than before
    if old.endpoints and not new.endpoints:
        nodes = tuple(endpoint.node for endpoint in old.endpoints)
        yield Finding(
            Check.CLUSTER_EMPTIED,
            Severity.GRAVE,
            new.name,
            nodes,
            f"cluster {new.name!r}: all {len(nodes)} endpoints are gone",
            len(nodes),
        )
    yield from _vanished(Check.HALL_EMPTIED, "hall", hall, old, new, change)
    yield from _vanished(Check.MACHINE_VANISHED, "machine type", lambda e: e.machine, old, new, change)
    yield from _capacity(old, change)


def up(endpoint: Endpoint) -> bool:
    """Counts as capacity: up and not told to drain.  Health comes and goes, and is not the list's matter."""
    return endpoint.lifecycle is Lifecycle.UP and endpoint.health is not Health.DRAINING


def _starts(old: Cluster, change: ClusterChange) -> Iterator[Finding]:
    newest: dict[str, int] = {}
    for endpoint in old.endpoints if change.added else ():
        newest[endpoint.node.name] = max(endpoint.node.started_ms, newest.get(endpoint.node.name, 0))
    back = tuple(
        endpoint.node
        for endpoint in change.added
        if endpoint.node.started_ms < newest.get(endpoint.node.name, 0)
    )
    if back:
        first = back[0]
        yield Finding(
            Check.START_BACK,
            Severity.GRAVE,
            change.name,
            back,
            f"cluster {change.name!r}, {named(back)}: start {first.started_ms} after "
            f"{newest[first.name]}: an older state, or an id used for another process",
            len(back),
        )


def _reopened(change: ClusterChange) -> Iterator[Finding]:
    """Nodes told to drain that are open again.  One that comes with an older start is `_starts`' matter."""
    again = tuple(new.node for old, new in change.changed if not up(old) and up(new))
    if again:
        yield Finding(
            Check.REOPENED,
            Severity.GRAVE,
            change.name,
            again,
            f"cluster {change.name!r}, {named(again)}: told drained or removed, now open again "
            "without a newer start",
            len(again),
        )


def _places(old: Cluster, change: ClusterChange) -> Iterator[Finding]:
    moved = tuple(
        new.node for before, new in change.changed if (before.host, before.port) != (new.host, new.port)
    )
    if moved:
        yield Finding(
            Check.MOVED,
            Severity.WARNING,
            change.name,
            moved,
            f"cluster {change.name!r}, {named(moved)}: another address without a newer start",
            len(moved),
        )
    held = {(e.host, e.port): e.node.name for e in old.endpoints} if change.added else {}
    taken = tuple(e.node for e in change.added if held.get((e.host, e.port), e.node.name) != e.node.name)
    if taken:
        yield Finding(
            Check.ADDRESS_TAKEN,
            Severity.NOTE,
            change.name,
            taken,
            f"cluster {change.name!r}, {named(taken)}: at an address that was another node's; "
            "what was known of that address is not true of them",
            len(taken),
        )


def hall(endpoint: Endpoint) -> str:
    """Where it stands; empty if that is not told."""
    return endpoint.locality.zone or endpoint.locality.region


def lost(change: ClusterChange) -> list[Endpoint]:
    """Endpoints that were up and are gone or changed: all that a step can take away."""
    return [old for old in (*change.removed, *(old for old, _ in change.changed)) if up(old)]


def _vanished(
    check: Check, what: str, of: Callable[[Endpoint], str], old: Cluster, new: Cluster, change: ClusterChange
) -> Iterator[Finding]:
    """Names, of halls or machine types, that had open endpoints and have none now."""
    names = dict.fromkeys(name for endpoint in lost(change) if (name := of(endpoint)))
    for endpoint in new.endpoints:
        if not names:
            return
        if of(endpoint) in names and up(endpoint):
            del names[of(endpoint)]
    for name in names:
        nodes = tuple(endpoint.node for endpoint in old.endpoints if of(endpoint) == name and up(endpoint))
        yield Finding(
            check,
            Severity.GRAVE,
            new.name,
            nodes,
            f"cluster {new.name!r}: {what} {name!r} had {len(nodes)} open endpoints, now none: "
            f"{named(nodes)}",
            len(nodes),
        )


def _capacity(old: Cluster, change: ClusterChange) -> Iterator[Finding]:
    """The share of the open weight that has gone.

    Newcomers do not make up for it, as they are cold; a node that is up again under a newer start does.
    """
    still: dict[str, float] = defaultdict(float)
    for endpoint in (*change.added, *(new for _, new in change.changed)):
        if up(endpoint):
            still[endpoint.node.name] += _weight(endpoint)
    gone, nodes = 0.0, dict[NodeId, None]()
    for endpoint in lost(change):
        weight = _weight(endpoint)
        left = min(weight, still[endpoint.node.name])
        still[endpoint.node.name] -= left
        if left < weight:
            gone += weight - left
            nodes[endpoint.node] = None
    if gone > 0:
        share = gone / sum(_weight(endpoint) for endpoint in old.endpoints if up(endpoint))
        severity = Severity.NOTE if share < 0.1 else Severity.WARNING if share < 0.5 else Severity.GRAVE
        yield Finding(
            Check.CAPACITY_GONE,
            severity,
            change.name,
            tuple(nodes),
            f"cluster {change.name!r}: {share:.0%} of the open weight is gone at once: {named(tuple(nodes))}",
            share,
        )


def _weight(endpoint: Endpoint) -> float:
    """A weight that can be summed; `checks` has a word for the others."""
    return endpoint.weight if math.isfinite(endpoint.weight) and endpoint.weight > 0 else 0.0
