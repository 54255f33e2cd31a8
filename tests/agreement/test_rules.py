"""The table has a line for every key, and what follows from it contradicts nothing."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadlb.agreement import rules, table
from roadlb.agreement.events import Contents, VersionId
from roadlb.config import Pairs, read_settings
from roadlb.fleet.model import Cluster, Drop, Endpoint, Health, Lifecycle, LocalityGroup, NodeId
from roadlb.policy.interface import RequestClass, Settings, Tenant

CONFIG = Path(__file__).parents[2] / "examples" / "config.json"


@pytest.mark.parametrize("kind", [Settings, RequestClass, Tenant, Endpoint, Cluster, LocalityGroup, Drop])
def test_each_field_has_a_line_and_each_line_a_field(kind: type) -> None:
    fields = {f"{kind.__name__}.{field.name}" for field in dataclasses.fields(kind)}
    inner = {"Settings.classes", "Settings.tenants"}  # by their fields, and counted in a path each
    lines = {line.of for line in table.TABLE.values() if line.of.startswith(f"{kind.__name__}.")}
    assert fields - inner == lines - inner


def test_each_path_that_the_program_reads_has_a_line() -> None:
    class Noted(dict[str, str]):
        def __init__(self, values: dict[str, str]) -> None:
            super().__init__(values)
            self.asked: set[str] = set()

        def get(self, key: str, default: object = None) -> object:  # type: ignore[override]
            self.asked.add(key)
            return super().get(key, default)

    settings = json.loads(CONFIG.read_text())["settings"]
    values = Noted(dict(Pairs.from_json(settings).values))
    read_settings(Pairs(values, "settings"))
    counts = {"refusal.plan.count"}
    assert not [path for path in {*values, *values.asked} - counts if table.line_of(path) is None]


def test_the_design_note_has_the_table_as_it_is() -> None:
    assert table.page() in (Path(__file__).parents[2] / "docs" / "design" / "agreement.md").read_text()


def test_a_key_that_grants_has_a_floor_that_can_be_compared() -> None:
    for line in table.SETTINGS:
        if not line.free and not line.choice and line.floor != table.KEEP:
            line.width(line.floor)
        assert line.free or line.floor != table.KEEP or rules.keeps(line.key)


def settings_of(
    effect: str = "idempotent",
    attempts: str = "3",
    quota: str = "50",
    pool: str = "",
    copies: str = "true",
    name: str = "read",
    instances: str = "12",
) -> dict[str, str]:
    return {
        "classes.count": "1",
        "classes.0.name": name,
        "classes.0.effect": effect,
        "tenants.count": "1",
        "tenants.0.name": "t",
        "tenants.0.quota_per_s": quota,
        "limits.max_attempts": attempts,
        "limits.second_copies": copies,
        f"routes.{name}": pool,
        "instances": instances,
    }


def cluster_of(*nodes: tuple[str, int, Lifecycle, Health, float], drop: int = 0) -> Cluster:
    endpoints = tuple(
        Endpoint(NodeId(name, start), "127.0.0.1", 80, lifecycle=life, health=health, weight=weight)
        for name, start, life, health, weight in nodes
    )
    return Cluster("c", endpoints, drops=(Drop("d", drop),) if drop else ())


NODES = st.tuples(
    st.sampled_from("abc"),
    st.integers(0, 2),
    st.sampled_from(Lifecycle),
    st.sampled_from(Health),
    st.sampled_from([0.0, 1.0, 2.0]),
)
CONTENTS = st.builds(
    lambda settings, clusters: Contents(settings, clusters),
    st.builds(
        settings_of,
        st.sampled_from(["idempotent", "deduplicated", "at_most_once"]),
        st.sampled_from("123"),
        st.sampled_from(["0", "20", "50"]),
        st.sampled_from(["", "p", "q"]),
        st.sampled_from(["true", "false"]),
        st.sampled_from(["read", "write"]),
        st.sampled_from(["11", "12"]),
    ),
    st.dictionaries(
        st.sampled_from(["c"]),
        st.builds(
            lambda nodes, drop: cluster_of(*nodes, drop=drop),
            st.lists(NODES, max_size=3, unique_by=lambda node: node[0]),
            st.sampled_from([0, 10, 20]),
        ),
    ),
)


@given(CONTENTS, CONTENTS)
def test_the_meet_of_two_rules_exceeds_neither(a: Contents, b: Contents) -> None:
    met = rules.meet(a, b)
    assert rules.exceeds(met, a) == [] and rules.exceeds(met, b) == []
    assert rules.meet(met, b) == met and rules.meet(a, a) == a


@given(CONTENTS, CONTENTS)
def test_at_its_floor_a_rule_exceeds_another_in_keys_that_keep_their_value_only(
    a: Contents, b: Contents
) -> None:
    lapsed = rules.InUse(VersionId(1, 1), a, rules.floor(a), lapsed=True)
    for used in (b, rules.floor(b), rules.meet(b, a)):
        assert rules.contradict(lapsed, rules.InUse(VersionId(1, 2), b, used, lapsed=False)) == []
    assert rules.exceeds(rules.floor(a), a) == []


@given(CONTENTS, CONTENTS)
def test_the_parts_of_a_change_are_the_whole(a: Contents, b: Contents) -> None:
    parts = rules.split(a, b)
    assert bool(parts.narrowing) == bool(rules.exceeds(a, parts.narrowed))
    assert bool(parts.granting) == bool(rules.exceeds(b, parts.narrowed) or rules.exceeds(b, a))


def test_classes_are_compared_by_name_not_by_place() -> None:
    before = {
        "classes.count": "2",
        "classes.0.name": "read",
        "classes.0.effect": "idempotent",
        "classes.1.name": "order",
        "classes.1.effect": "at_most_once",
    }
    swapped = {
        "classes.count": "2",
        "classes.1.name": "read",
        "classes.1.effect": "idempotent",
        "classes.0.name": "order",
        "classes.0.effect": "at_most_once",
    }
    assert rules.exceeds(Contents(swapped), Contents(before)) == []
    gone = {"classes.count": "1", "classes.0.name": "order", "classes.0.effect": "at_most_once"}
    met = rules.meet(Contents(before), Contents(gone))
    assert met.settings["classes.0.effect"] == "at_most_once", "a class that others no longer have"


def test_a_restarted_node_is_taken_at_once_and_its_former_life_is_not() -> None:
    up = Lifecycle.UP
    old = Contents({}, {"c": cluster_of(("a", 1, up, Health.HEALTHY, 1.0))})
    new = Contents({}, {"c": cluster_of(("a", 2, up, Health.HEALTHY, 1.0))})
    assert rules.meet(old, new).clusters["c"].endpoints[0].node == NodeId("a", 2)
    assert rules.exceeds(new, old) == []
    assert rules.exceeds(old, new) == ["list.c.a.lifecycle"]


def test_a_node_that_a_version_removed_is_added_anew_only_once_all_know() -> None:
    # Others may keep to the version without it, under a lease: what was used before the next was in force
    # contradicted them in 103 instants of 1,000 simulated runs.
    up = Lifecycle.UP
    old = Contents({}, {"c": cluster_of(("a", 1, up, Health.HEALTHY, 1.0))})
    without = Contents({}, {"c": Cluster("c")})
    anew = Contents({}, {"c": cluster_of(("a", 2, up, Health.HEALTHY, 1.0))})
    bound = rules.meet(rules.meet(old, without), anew)
    assert rules.exceeds(bound, without) == [] == rules.exceeds(bound, anew)


def test_two_pools_for_one_class_meet_in_the_one_that_all_know() -> None:
    p, q = Contents(settings_of(pool="p")), Contents(settings_of(pool="q"))
    assert rules.meet(p, q).settings["routes.read"] == ""
    assert rules.exceeds(p, q) == ["routes.read"] == rules.exceeds(q, p)


def test_a_version_below_a_stated_floor_is_named() -> None:
    one = Contents(settings_of(attempts="1"))
    assert rules.below_floor(one) == []
    assert rules.below_floor(one, {"limits.max_attempts": "2"}) == ["limits.max_attempts"]
    two = rules.floor(Contents(settings_of()), {"limits.max_attempts": "2"})
    assert two.settings["limits.max_attempts"] == "2" and two.settings["classes.0.effect"] == "at_most_once"


def test_what_cannot_be_compared_is_refused_by_name() -> None:
    with pytest.raises(rules.Unreadable, match="quota_per_s.*'many'"):
        rules.check(Contents(settings_of(quota="many")))
    assert rules.unknown(Contents({"limits.max_attemps": "3"})) == ["limits.max_attemps"]
