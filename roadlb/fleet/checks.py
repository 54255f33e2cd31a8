"""Named findings on a picture alone: data for a guard to act on, with a text for a person."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum
from itertools import chain

from .model import Cluster, Endpoint, Health, Lifecycle, NodeId, Picture

NAMES_MOST = 5  # a text names so many nodes and counts the others: it must fit a log line


class Severity(IntEnum):
    """How bad a finding is by itself; what is done about it is the guard's matter."""

    NOTE = 1  # may well be meant
    WARNING = 2  # somebody should look
    GRAVE = 3  # acting on it can lose work


class Check(Enum):
    """All findings by name.  The values are for configuration and logs, and keep their meaning."""

    # On a picture alone.
    TOLD_TWICE = "told_twice"
    HEALTH_CONTRADICTED = "health_contradicted"
    TWO_STARTS = "two_starts"
    ADDRESS_SHARED = "address_shared"
    ADDRESS_BAD = "address_bad"
    WEIGHT_BAD = "weight_bad"
    PRIORITY_BAD = "priority_bad"
    PRIORITY_GAP = "priority_gap"
    NAME_EMPTY = "name_empty"
    LIFECYCLE_UNKNOWN = "lifecycle_unknown"
    HEALTH_UNKNOWN = "health_unknown"
    CLUSTER_EMPTY = "cluster_empty"
    CLUSTER_CLOSED = "cluster_closed"
    CLUSTER_MISNAMED = "cluster_misnamed"
    DROPS_BAD = "drops_bad"
    # On a step from one picture to the next.
    GENERATION_BACK = "generation_back"
    GENERATION_REUSED = "generation_reused"
    START_BACK = "start_back"
    REOPENED = "reopened"
    CLUSTER_GONE = "cluster_gone"
    CLUSTER_EMPTIED = "cluster_emptied"
    HALL_EMPTIED = "hall_emptied"
    MACHINE_VANISHED = "machine_vanished"
    CAPACITY_GONE = "capacity_gone"
    ADDRESS_TAKEN = "address_taken"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing found: which, how bad, where, about whom (in the picture's order), and a text for a person.

    `figure`: what a threshold can be held against, where there is such a thing (a share, a count).
    """

    check: Check
    severity: Severity
    cluster: str
    nodes: tuple[NodeId, ...]
    text: str
    figure: float = 0.0


def named(nodes: tuple[NodeId, ...]) -> str:
    """Some of the names, and how many there are besides."""
    said = ", ".join(node.name or "(no name)" for node in nodes[:NAMES_MOST])
    return said if len(nodes) <= NAMES_MOST else f"{said} and {len(nodes) - NAMES_MOST} more"


def check_picture(picture: Picture) -> tuple[Finding, ...]:
    """All findings on this picture, the gravest first."""
    found = (check_cluster(cluster, name) for name, cluster in picture.clusters.items())
    return gravest_first(chain.from_iterable(found))


def gravest_first(found: Iterable[Finding]) -> tuple[Finding, ...]:
    """The gravest first; otherwise in the order found."""
    return tuple(sorted(found, key=lambda finding: -finding.severity))


def check_cluster(cluster: Cluster, name: str | None = None) -> Iterator[Finding]:
    """Findings on one cluster; `name` is the one under which the picture holds it."""
    if name is not None and name != cluster.name:
        yield Finding(
            Check.CLUSTER_MISNAMED,
            Severity.GRAVE,
            name,
            (),
            f"cluster {name!r} calls itself {cluster.name!r}: give it one name",
        )
    yield from _whole(cluster)
    yield from _each(cluster)
    yield from _identities(cluster)


def _whole(cluster: Cluster) -> Iterator[Finding]:
    live = [e for e in cluster.endpoints if e.lifecycle is not Lifecycle.REMOVED]
    if not live:
        yield Finding(
            Check.CLUSTER_EMPTY,
            Severity.WARNING,
            cluster.name,
            (),
            f"cluster {cluster.name!r} has no endpoint: all its requests will fail",
        )
    elif not any(e.lifecycle is Lifecycle.UP and e.weight > 0 for e in live):
        yield Finding(
            Check.CLUSTER_CLOSED,
            Severity.GRAVE,
            cluster.name,
            tuple(e.node for e in live),
            f"cluster {cluster.name!r}: none of {len(live)} endpoints is up and has a weight",
        )
    priorities = {e.priority for e in live}
    if priorities and min(priorities) >= 0 and len(priorities) != max(priorities) + 1:
        absent = min(set(range(max(priorities))) - priorities)
        yield Finding(
            Check.PRIORITY_GAP,
            Severity.WARNING,
            cluster.name,
            (),
            f"cluster {cluster.name!r}: no endpoint of priority {absent}, but of "
            f"{max(priorities)}: gRPC's client refuses such a list; leave no gap",
            absent,
        )
    for drop in cluster.drops:
        if not drop.category or not 0 <= drop.millionths <= 1_000_000:
            yield Finding(
                Check.DROPS_BAD,
                Severity.WARNING,
                cluster.name,
                (),
                f"cluster {cluster.name!r}: drops {drop.millionths} millionths for "
                f"{drop.category!r}: give a category and 0 to 1000000",
            )


def _weight(e: Endpoint) -> bool:
    return not math.isfinite(e.weight) or e.weight < 0


def _address(e: Endpoint) -> bool:
    local = e.host.startswith(("unix:", "internal:"))
    return e.lifecycle is not Lifecycle.REMOVED and not local and not (e.host and 0 < e.port <= 65535)


# Of each endpoint by itself: what is wrong, how bad it is, when, and what to say.
EACH: tuple[tuple[Check, Severity, Callable[[Endpoint], bool], Callable[[Endpoint], str]], ...] = (
    (
        Check.NAME_EMPTY,
        Severity.GRAVE,
        lambda e: not e.node.name,
        lambda e: f"an endpoint at {e.host}:{e.port} has no id: drains and restarts cannot be followed",
    ),
    (
        Check.WEIGHT_BAD,
        Severity.GRAVE,
        _weight,
        lambda e: f"weight {e.weight!r}: must be a finite number >= 0",
    ),
    (
        Check.ADDRESS_BAD,
        Severity.GRAVE,
        _address,
        lambda e: f"address {e.host!r}, port {e.port}: not host:port",
    ),
    (
        Check.PRIORITY_BAD,
        Severity.GRAVE,
        lambda e: not 0 <= e.priority <= 128,
        lambda e: f"priority {e.priority}: xDS has 0 to 128",
    ),
    (
        Check.LIFECYCLE_UNKNOWN,
        Severity.GRAVE,
        lambda e: not isinstance(e.lifecycle, Lifecycle),
        lambda e: f"lifecycle {e.lifecycle!r}: must be up, draining or removed",
    ),
    (
        Check.HEALTH_UNKNOWN,
        Severity.WARNING,
        lambda e: not isinstance(e.health, Health),
        lambda e: f"health {e.health!r}: not one that xDS has",
    ),
)


def _each(cluster: Cluster) -> Iterator[Finding]:
    for check, severity, wrong, text in EACH:
        bad = [endpoint for endpoint in cluster.endpoints if wrong(endpoint)]
        if bad:
            nodes = tuple(endpoint.node for endpoint in bad)
            yield Finding(
                check,
                severity,
                cluster.name,
                nodes,
                f"cluster {cluster.name!r}, {named(nodes)}: {text(bad[0])}",
                len(bad),
            )


def _identities(cluster: Cluster) -> Iterator[Finding]:
    by_name: defaultdict[str, list[Endpoint]] = defaultdict(list)
    by_place: defaultdict[tuple[str, int], dict[str, NodeId]] = defaultdict(dict)
    for endpoint in cluster.endpoints:
        by_name[endpoint.node.name].append(endpoint)
        if endpoint.lifecycle is not Lifecycle.REMOVED:
            by_place[endpoint.host, endpoint.port].setdefault(endpoint.node.name, endpoint.node)
    for name, lines in by_name.items():
        if len(lines) > 1:
            yield _twice(cluster.name, name, lines)
    for (host, port), ids in by_place.items():
        if len(ids) > 1:
            nodes = tuple(ids.values())
            yield Finding(
                Check.ADDRESS_SHARED,
                Severity.WARNING,
                cluster.name,
                nodes,
                f"cluster {cluster.name!r}: {host}:{port} is the address of {named(nodes)}: "
                "one process would get the work of all",
                len(nodes),
            )


def _twice(cluster: str, name: str, lines: list[Endpoint]) -> Finding:
    nodes = tuple(dict.fromkeys(line.node for line in lines))
    head = f"cluster {cluster!r}: {name or '(no name)'} is told {len(lines)} times"
    if len(nodes) > 1:
        starts = ", ".join(str(node.started_ms) for node in nodes)
        return Finding(
            Check.TWO_STARTS,
            Severity.GRAVE,
            cluster,
            nodes,
            f"{head}, with starts {starts}: drop the older",
            len(lines),
        )
    if len({(line.health, line.lifecycle) for line in lines}) > 1:
        words = ", ".join(f"{line.lifecycle.value}/{line.health.name.lower()}" for line in lines)
        return Finding(
            Check.HEALTH_CONTRADICTED,
            Severity.GRAVE,
            cluster,
            nodes,
            f"{head}, as {words}: which is true cannot be known from here",
            len(lines),
        )
    return Finding(
        Check.TOLD_TWICE,
        Severity.WARNING,
        cluster,
        nodes,
        f"{head}: it would get a share for each",
        len(lines),
    )
