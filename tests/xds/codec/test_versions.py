"""Versions and leases on the wire: nothing lost, bounded resources, nothing taken that is not whole."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

import pytest
from fleets import SAME, clusters, node
from hypothesis import given
from hypothesis import strategies as st

from roadlb.agreement.events import Ask, Contents, InForce, Lease, Prepare, Version, VersionId, Withdrawn
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle
from roadlb.xds.codec.protos import CodecError
from roadlb.xds.codec.versions import (
    BUCKET_MOST,
    PARTS,
    SCHEMA,
    SETTINGS,
    STRUCT,
    Key,
    PartsReader,
    VersionWriter,
    _struct,
    ask_name,
    digest,
    read_ask,
    read_force,
    read_lease,
    read_prepared,
    read_settings,
    read_version,
    read_withdrawn,
    spread,
    write_force,
    write_lease,
    write_prepared,
    write_withdrawn,
)

ID = VersionId((1 << 60) + 3, 7)
SETTINGS_SAID = {"me": "0", "classes.0.name": "grid-read", "refusal.plan.count": "0"}


def contents(*endpoints: Endpoint) -> Contents:
    return Contents(SETTINGS_SAID, {"grid": Cluster("grid", endpoints)})


def fleet(count: int) -> list[Endpoint]:
    return [node(f"node-{i}", 1_790_000_000_000 + i, host=f"10.{i // 250}.0.{i % 250}") for i in range(count)]


def sorted_out(plain: object) -> object:
    """Plain data without the order of its keys."""
    if isinstance(plain, Mapping):
        return sorted((key, sorted_out(value)) for key, value in plain.items())
    return [sorted_out(item) for item in plain] if isinstance(plain, tuple) else plain


def bare(cluster: Cluster) -> tuple[object, ...]:
    """What must come through: `origin` is the codec's own, the order across groups is not kept."""
    lines = Counter(
        repr((replace(e, origin=None, metadata={}), sorted_out(e.metadata))) for e in cluster.endpoints
    )
    return lines, [replace(g, origin=None) for g in cluster.groups if g.weight], cluster.drops


@SAME
@given(st.lists(clusters("grid", 40), max_size=3), clusters("maps"))
def test_successive_versions_come_through_whole(states: list[Cluster], other: Cluster) -> None:
    writer, reader = VersionWriter(), PartsReader()
    for state in states:
        told = Contents(SETTINGS_SAID, {"grid": state, "maps": other})
        try:
            parts = writer.write(told)
        except CodecError:
            continue  # what the codec for endpoints cannot say either
        prepare = Prepare(ID.epoch, Version(ID, told, "meant so"))
        found = read_version(read_prepared(write_prepared(prepare, parts)), parts, reader)
        assert found is not None and found.epoch == ID.epoch and found.version.id == ID
        assert found.version.meant == "meant so" and found.version.contents.settings == SETTINGS_SAID
        for name, cluster in told.clusters.items():
            assert bare(found.version.contents.clusters[name]) == bare(cluster)


def test_a_bucket_with_only_the_second_group_of_a_hall_says_so() -> None:
    second = [replace(endpoint, part=1) for endpoint in fleet(3)]
    parts = VersionWriter().write(contents(*second))
    assert {e.part for e in PartsReader().contents(parts).clusters["grid"].endpoints} == {1}


@pytest.mark.parametrize(
    "message", [Ask(12, 34, ID.epoch, ID, VersionId()), Ask(0, 0, 0, VersionId(), VersionId(1, 2))]
)
def test_an_ask_comes_back_from_its_name(message: Ask) -> None:
    assert read_ask(ask_name(message)) == message


def test_other_messages_come_back() -> None:
    lease = Lease(9, ID, 3, 2**50 + 1, 4_000_000)
    assert read_lease(write_lease(lease)) == lease
    assert read_force(write_force(InForce(9, ID))) == InForce(9, ID)
    withdrawn = Withdrawn(9, ID, "hall_emptied: hall 'a'")
    assert read_withdrawn(write_withdrawn(withdrawn)) == withdrawn


@pytest.mark.parametrize(
    "name",
    [
        "lease",
        "lease?life=1",
        ask_name(Ask(1, 1, 1, ID, ID)).replace("life=1", "life=-1"),
        ask_name(Ask(1, 1, 1, ID, ID)).replace("lease?", "grid?"),
        "lease?" + "a=1&" * 20,
    ],
)
def test_a_name_that_asks_nothing_is_refused(name: str) -> None:
    with pytest.raises(CodecError):
        read_ask(name)


@pytest.mark.parametrize("count", [0, 1, 12, 200, 1_000, 10_000])
def test_one_drain_changes_one_bounded_resource_whatever_the_fleet(count: int) -> None:
    writer, endpoints = VersionWriter(), fleet(count)
    before = writer.write(contents(*endpoints))
    assert max(map(len, spread(endpoints))) <= BUCKET_MOST
    if endpoints:
        endpoints[count // 2] = replace(endpoints[count // 2], lifecycle=Lifecycle.DRAINING)
        after = writer.write(contents(*endpoints))
        differ = [key for key in {*before, *after} if before.get(key) != after.get(key)]
        assert len(differ) == 1 and len(after[differ[0]]) < 16_000


def test_a_fleet_that_breathes_at_a_power_of_two_is_not_spread_anew_each_time() -> None:
    writer, endpoints, moved = VersionWriter(), fleet(1_040), 0
    before = writer.write(contents(*endpoints[:1_020]))
    for count in (1_030, 1_020, 1_040, 1_015, 1_030):
        after = writer.write(contents(*endpoints[:count]))
        moved += len({key for key in after if key not in before})
        before = after
    assert moved == 0


def test_what_did_not_change_is_the_same_object() -> None:
    """The checks and rules compare clusters by identity first: 10,000 endpoints cost nothing then."""
    reader, writer = PartsReader(), VersionWriter()
    maps = Cluster("maps", tuple(fleet(3)))
    first = reader.contents(writer.write(Contents(SETTINGS_SAID, {"grid": Cluster("grid"), "maps": maps})))
    second = reader.contents(
        writer.write(Contents(SETTINGS_SAID, {"grid": Cluster("grid", tuple(fleet(2))), "maps": maps}))
    )
    assert second.clusters["maps"] is first.clusters["maps"] and second.settings is first.settings
    assert len(second.clusters["grid"].endpoints) == 2


def test_a_version_waits_until_its_parts_are_all_there_and_no_others() -> None:
    parts = VersionWriter().write(contents(*fleet(100)))
    told = read_prepared(write_prepared(Prepare(1, Version(ID, contents())), parts))
    for key in parts:
        less: dict[Key, bytes] = {other: body for other, body in parts.items() if other != key}
        assert read_version(told, less, PartsReader()) is None
    more = {**parts, (PARTS, "grid/7-of-4"): b"x"}
    assert read_version(told, more, PartsReader()) is None
    assert read_version(told, parts, PartsReader()) is not None


def test_what_cannot_be_read_names_the_resource() -> None:
    parts = VersionWriter().write(contents(*fleet(100)))
    bucket = next(key for key in parts if key[0] == PARTS and not key[1].endswith("frame"))
    with pytest.raises(CodecError, match=bucket[1]):
        PartsReader().contents({**parts, bucket: b"\xff\xff"})
    with pytest.raises(CodecError, match="grid/frame: the resource is missing"):
        PartsReader().contents({k: v for k, v in parts.items() if k != (PARTS, "grid/frame")})
    with pytest.raises(CodecError, match="settings: the resource is missing"):
        PartsReader().contents({k: v for k, v in parts.items() if k != (STRUCT, SETTINGS)})
    newer = _struct({"schema": float(SCHEMA + 1), "settings": MappingProxyType({})})
    with pytest.raises(CodecError, match="schema 2.0; this program knows 1"):
        read_settings(newer)


def test_the_digest_tells_the_same_bodies_under_other_names_apart() -> None:
    a, b = (PARTS, "a"), (PARTS, "b")
    assert digest({a: b"x", b: b"y"}) != digest({a: b"y", b: b"x"})
