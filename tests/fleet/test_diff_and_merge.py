"""Differences name what differs and nothing else; merges keep to the stated precedence."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from types import MappingProxyType

from fleets import SAME, node, picture, pictures
from hypothesis import given

from roadlb.fleet.diff import Changes, changes
from roadlb.fleet.merge import Source, merge
from roadlb.fleet.model import Cluster, Endpoint, Health, Lifecycle, Picture


def counted(cluster: Cluster | None) -> Counter[str]:
    return Counter(repr(endpoint) for endpoint in (cluster.endpoints if cluster else ()))


def applied(old: Picture, told: Changes) -> dict[str, Counter[str]]:
    """The endpoints that `old` and the difference give, without their order."""
    found = {name: counted(cluster) for name, cluster in old.clusters.items()}
    for cluster in told.removed:
        del found[cluster.name]
    for cluster in told.added:
        found[cluster.name] = counted(cluster)
    for change in told.changed:
        lines = found[change.name]
        lines.subtract(repr(e) for e in (*change.removed, *(before for before, _ in change.changed)))
        assert min(lines.values(), default=0) >= 0
        lines.update(repr(e) for e in (*change.added, *(after for _, after in change.changed)))
        found[change.name] = +lines
    return found


@SAME
@given(pictures(), pictures())
def test_a_difference_leads_from_one_picture_to_the_other(old: Picture, new: Picture) -> None:
    told = changes(old, new)
    assert applied(old, told) == {name: counted(cluster) for name, cluster in new.clusters.items()}
    assert bool(told) == (old.clusters != new.clusters)
    for change in told.changed:
        assert all(a.node == b.node and a != b for a, b in change.changed)


def test_shared_clusters_are_not_looked_into() -> None:
    class Untouched(tuple[Endpoint, ...]):
        def __iter__(self) -> object:  # type: ignore[override]
            raise AssertionError("a shared cluster was walked")

    big = Cluster("big", Untouched([node("a")]))
    old = Picture(1, {"big": big, "small": Cluster("small", (node("b"),))})
    new = Picture(2, {"big": big, "small": Cluster("small", (node("b", weight=2.0),))})
    assert [change.name for change in changes(old, new).changed] == ["small"]


def test_a_restart_is_no_change_of_the_same_node() -> None:
    (change,) = changes(picture(1, node("a", 5)), picture(2, node("a", 6))).changed
    assert not change.changed and change.restarted() == ((node("a", 5), node("a", 6)),)


def test_order_alone_is_told_as_the_clusters_frame() -> None:
    (change,) = changes(picture(1, node("a"), node("b")), picture(2, node("b"), node("a"))).changed
    assert (change.added, change.removed, change.changed, change.frame) == ((), (), (), True)


def test_the_first_source_counts_but_for_starts_and_drains() -> None:
    first = picture(7, node("a", 5), node("b", 5, weight=2.0), node("c", 5))
    second = picture(3, node("a", 6, weight=9.0), node("b", 5, lifecycle=Lifecycle.DRAINING), node("d"))
    merged = merge([Source("x", first), Source("y", second)], 11)
    assert merged.picture.generation == 11
    assert merged.picture.clusters["grid"].endpoints == (
        node("a", 6, weight=9.0),
        node("b", 5, weight=2.0, lifecycle=Lifecycle.DRAINING),
        node("c", 5),
        node("d"),
    )
    assert {(c.node, c.about, c.chosen) for c in merged.conflicts} == {
        ("a", "started_ms", "y"),
        ("b", "lifecycle", "y"),
        ("b", "weight", "x"),
    }


def test_a_node_told_twice_by_the_source_that_counts_stays_told_twice() -> None:
    twice = (node("a", health=Health.HEALTHY), node("a", health=Health.UNHEALTHY))
    merged = merge([Source("x", picture(1, *twice)), Source("y", picture(1, node("a")))], 2)
    assert merged.picture.clusters["grid"].endpoints == twice


@SAME
@given(pictures(), pictures())
def test_a_merge_loses_no_node_and_tells_sole_sources_as_they_are(a: Picture, b: Picture) -> None:
    merged = merge([Source("a", a), Source("b", b)], 1).picture
    for name in {*a.clusters, *b.clusters}:
        told = [p.clusters[name] for p in (a, b) if name in p.clusters]
        assert {e.node.name for e in merged.clusters[name].endpoints} == {
            e.node.name for cluster in told for e in cluster.endpoints
        }
        if len(told) == 1:
            assert merged.clusters[name] is told[0]
    again = merge([Source("a", a), Source("b", b)], 2, merged).picture
    assert all(again.clusters[name] is merged.clusters[name] for name in merged.clusters)
    assert not changes(merged, again)


def test_a_merge_shares_clusters_with_the_merge_before() -> None:
    a = picture(1, node("a"))
    b = picture(1, node("b"))
    before = merge([Source("a", a), Source("b", b)], 1).picture
    more = Picture(2, MappingProxyType({**a.clusters, "maps": Cluster("maps")}))
    after = merge([Source("a", more), Source("b", b)], 2, before).picture
    assert after.clusters["grid"] is before.clusters["grid"]
    assert replace(after, generation=1) != before
