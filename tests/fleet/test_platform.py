"""The platform's lists to pictures and back, beside the balancer's own reader of them."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from fleets import SAME, clusters, node, picture
from hypothesis import given

from roadlb.fleet.diff import cluster_change
from roadlb.fleet.model import NO_METADATA, Cluster, Endpoint, Health, Lifecycle, Locality, NodeId
from roadlb.fleet.platform import (
    EXTRA,
    MalformedList,
    Line,
    read_line,
    take,
    take_into,
    write_delta,
    write_whole,
)

ENTRY = {
    "instanceId": "s-1",
    "hostPort": "10.1.0.18:8080",
    "zone": "a",
    "machineType": "m2",
    "cell": 3,
    "lifecycle": "up",
    "weight": 1.0,
    "startedAtMs": 7,
}


def line(*entries: object, reset: bool = True) -> dict[str, object]:
    return {"generation": 41, "reset": reset, "instances": list(entries)}


def told_by_the_platform(cluster: Cluster) -> Cluster:
    """What of this cluster the platform's form can say: each node once, and no removed ones."""
    once = {
        e.node.name: replace(
            e,
            health=Health.UNKNOWN,
            priority=0,
            hostname="",
            additional=(),
            locality=Locality(zone=e.locality.zone),
            metadata={EXTRA: e.metadata[EXTRA]} if e.metadata.get(EXTRA) else NO_METADATA,
        )
        for e in cluster.endpoints
        if e.lifecycle is not Lifecycle.REMOVED
    }
    return Cluster(cluster.name, tuple(once.values()))


def test_an_entry_is_read_as_the_protocol_says() -> None:
    assert read_line(line(ENTRY)).endpoints == (
        Endpoint(NodeId("s-1", 7), "10.1.0.18", 8080, Locality(zone="a"), machine="m2", cell=3),
    )
    assert write_whole(Cluster("grid", read_line(line(ENTRY)).endpoints), 41) == line(ENTRY)


def test_keys_that_nobody_knows_come_out_again() -> None:
    entry = ENTRY | {"rack": {"row": 3, "tags": ["x", None]}}
    assert write_whole(Cluster("grid", read_line(line(entry)).endpoints), 41) == line(entry)


@SAME
@given(clusters())
def test_a_whole_list_there_and_back_is_the_same(cluster: Cluster) -> None:
    cluster = told_by_the_platform(cluster)
    sent = json.loads(json.dumps(write_whole(cluster, 3)))
    assert take(Cluster("grid"), read_line(sent)) == cluster


@SAME
@given(clusters(), clusters())
def test_a_delta_leads_to_the_new_list(old: Cluster, new: Cluster) -> None:
    old, new = told_by_the_platform(old), told_by_the_platform(new)
    if (change := cluster_change(old, new)) is not None:
        got = take(old, read_line(write_delta(change, 4)))
        assert sorted(got.endpoints, key=repr) == sorted(new.endpoints, key=repr)


def test_a_delta_replaces_all_that_was_told_of_an_id() -> None:
    held = Cluster("grid", (node("a", 5), node("b"), node("a", 6), node("c")))
    got = take(held, Line(2, False, (node("a", 4), node("c", lifecycle=Lifecycle.REMOVED))))
    assert got.endpoints == (node("a", 4), node("b"))


def test_a_line_about_one_cluster_shares_the_others() -> None:
    before = picture(1, node("a"), name="maps")
    after = take_into(before, "grid", read_line(line(ENTRY)))
    assert after.generation == 41 and after.clusters["maps"] is before.clusters["maps"]


@pytest.mark.parametrize(
    "raw, named",
    [
        ([], "object"),
        (line() | {"generation": "41"}, "generation"),
        (line() | {"reset": 1}, "reset"),
        ({"generation": 1, "reset": True}, "instances"),
        (line(7), "instances[0]"),
        (line(ENTRY, ENTRY | {"instanceId": ""}), "instances[1].instanceId"),
        (line(ENTRY | {"lifecycle": "asleep"}), "lifecycle: 'asleep'"),
        (line(ENTRY | {"weight": "1"}), "weight"),
        (line(ENTRY | {"weight": float("inf")}), "weight"),
        (line(ENTRY | {"hostPort": "10.0.0.1"}), "hostPort"),
        (line(ENTRY | {"startedAtMs": "x"}), "startedAtMs"),
        (line(ENTRY | {"zone": 4}), "zone"),
        (line(ENTRY | {"cell": float("nan")}), "cell"),
        (line(ENTRY | {"lifecycle": ["up"]}), "lifecycle"),
    ],
)
def test_a_malformed_list_is_refused_with_the_keys_name(raw: object, named: str) -> None:
    with pytest.raises(MalformedList, match=named.replace("[", r"\[")):
        read_line(raw)
