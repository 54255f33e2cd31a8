"""What is published of decisions: in each form, valid by Envoy's own rules, shared where nothing changed."""

from __future__ import annotations

import pytest
from protoc_gen_validate.validator import validate

from roadlb.control.events import Decision, Decisions
from roadlb.control.forms import Form, node_of
from roadlb.control.settings import ClassSettings, ListenerSettings, Settings
from roadlb.fleet.model import Endpoint, Health, Locality, NodeId
from roadlb.xds.codec.assignment import read_assignment
from roadlb.xds.codec.protos import (
    ClusterLoadAssignment,
    RouteConfiguration,
    WireCluster,
    WireListener,
    parsed,
)
from roadlb.xds.codec.routes import read_listener, read_routes
from roadlb.xds.publisher import Publisher
from roadlb.xds.resources import CLUSTER, ENDPOINTS, LISTENER, ROUTE, TYPES, Snapshot

KINDS = {
    CLUSTER: WireCluster,
    ENDPOINTS: ClusterLoadAssignment,
    LISTENER: WireListener,
    ROUTE: RouteConfiguration,
}
# protoc-gen-validate asks protobuf in a way that protobuf would rather not be asked in.
pytestmark = pytest.mark.filterwarnings("ignore:label:DeprecationWarning")
FORMS = pytest.mark.parametrize("form", list(Form))
SETTINGS = Settings(
    discovery="127.0.0.1:1",
    listeners=(ListenerSettings(name="grid-web"), ListenerSettings(name="door", address="10.0.0.9:8080")),
    classes=(
        ClassSettings(name="read", method="GET", prefix="/power", effect="idempotent"),
        ClassSettings(name="order"),
    ),
)


def decision(
    name: str,
    health: Health = Health.UNKNOWN,
    weight: int = 1000,
    pool: str = "",
    part: int = 0,
    zone: str = "hall-1",
) -> Decision:
    node = NodeId(name, 1_800_000_000_000)
    endpoint = Endpoint(node, "10.0.0.1", 8000 + ord(name[0]), Locality(zone=zone))
    return Decision(endpoint, health, weight, pool, part, "because")


def told(*decisions: Decision, generation: int = 7, serial: int = 1) -> Decisions:
    return Decisions(generation, serial, {"grid": decisions})


def published(publisher: Publisher, form: Form, decisions: Decisions) -> Snapshot:
    publisher.take(decisions)
    found = publisher.snapshot(form)
    assert found is not None
    return found


MIXED = (
    decision("a"),
    decision("b", weight=9000),
    decision("c", Health.DRAINING, 0),
    decision("d", weight=0, pool="d@1", part=20_000, zone="hall-2"),
)


@FORMS
def test_all_that_is_published_keeps_envoys_rules(form: Form) -> None:
    snapshot = published(Publisher(SETTINGS), form, told(*MIXED))
    for resource in snapshot:
        validate(parsed(KINDS[resource.type_url], resource.body))
    assert {type_url: len(snapshot.collections[type_url].by_name) > 0 for type_url in TYPES} == dict.fromkeys(
        TYPES, True
    )
    no_nodes = published(Publisher(SETTINGS), form, told())
    assert not read_assignment(no_nodes.collections[ENDPOINTS].by_name["grid"].body).endpoints


def test_each_form_says_the_weights_where_its_proxies_look() -> None:
    envoy = read_assignment(
        published(Publisher(SETTINGS), Form.ENVOY, told(*MIXED)).collections[ENDPOINTS].by_name["grid"].body
    )
    assert {e.node.name: (e.weight, e.health) for e in envoy.endpoints} == {
        "a": (1000, Health.UNKNOWN),
        "b": (9000, Health.UNKNOWN),
        "c": (1, Health.DRAINING),
    }
    grpc = published(Publisher(SETTINGS), Form.GRPC, told(*MIXED))
    groups = read_assignment(grpc.collections[ENDPOINTS].by_name["grid"].body).groups
    assert {node_of(g.locality.sub_zone).name: g.weight for g in groups} == {"a": 1000, "b": 9000, "c": 1}
    routes = read_routes(grpc.collections[ROUTE].by_name["grid-web"].body).hosts[0].routes
    assert [r.clusters for r in routes] == [(("grid", 980_000), ("grid~d@1", 20_000))] * 2
    assert [(r.method, r.prefix, "reset" in r.retry.on) for r in routes] == [
        ("GET", "/power", True),
        ("", "/", False),
    ]
    generic = read_assignment(
        published(Publisher(SETTINGS), Form.GENERIC, told(*MIXED)).collections[ENDPOINTS].by_name["grid"].body
    )
    assert {e.node.name for e in generic.endpoints} == {"a", "b"}


def test_a_listener_has_an_address_only_for_those_that_listen() -> None:
    def places(form: Form) -> dict[str, bool]:
        held = published(Publisher(SETTINGS), form, told(*MIXED)).collections[LISTENER].by_name
        return {name: read_listener(one.body).place is not None for name, one in held.items()}

    assert places(Form.ENVOY) == {"door": True}
    assert places(Form.GRPC) == {"door": False, "grid-web": False}


@FORMS
def test_what_did_not_change_is_the_same_object_and_keeps_its_version(form: Form) -> None:
    publisher = Publisher(SETTINGS)
    first = published(publisher, form, told(*MIXED))
    assert published(publisher, form, told(*MIXED, serial=2)) is first
    later = published(publisher, form, told(*MIXED, generation=8))
    assert later is not first and later.generation == 8 and not later.since(first)
    changed = published(publisher, form, told(decision("a", weight=5000), *MIXED[1:], generation=9))
    difference = changed.since(later)
    assert set(difference) == {ENDPOINTS} and [r.name for r in difference[ENDPOINTS].changed] == ["grid"]
    assert changed.collections[CLUSTER] is first.collections[CLUSTER]
