"""From the fleet to the wire and back is the identity, and what is published passes Envoy's own rules."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from fleets import HOSTS, PORTS, clusters, node
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from protoc_gen_validate.validator import ValidationFailed, validate

from roadlb.fleet.model import (
    NO_METADATA,
    Cluster,
    Endpoint,
    Health,
    Lifecycle,
    Locality,
    Place,
    settled,
)
from roadlb.fleet.platform import EXTRA, read_line, take, write_whole
from roadlb.fleet.traffic import ClusterSettings, Limits, Listener, Retry, Route, RouteTable, VirtualHost
from roadlb.xds.codec.assignment import AssignmentWriter, read_assignment, write_assignment
from roadlb.xds.codec.cluster import read_cluster, write_cluster
from roadlb.xds.codec.endpoint import OPEN
from roadlb.xds.codec.protos import ClusterLoadAssignment, CodecError, WireCluster, parsed
from roadlb.xds.codec.routes import (
    HttpConnectionManager,
    RouteConfiguration,
    WireListener,
    find_manager,
    read_listener,
    read_routes,
    write_listener,
    write_routes,
)

SAME = settings(derandomize=True, deadline=None, max_examples=25, suppress_health_check=list(HealthCheck))
# protoc-gen-validate asks protobuf in a way that protobuf would rather not be asked in.
pytestmark = pytest.mark.filterwarnings("ignore:label:DeprecationWarning")
WORDS = st.sampled_from(("grid", "maps~cold-1", "all"))
WHOLE = st.one_of(st.none(), st.integers(0, 2**32 - 1))
PERCENT = st.one_of(st.none(), st.sampled_from((0.0, 20.0, 100.0)))
TIMES = st.one_of(st.none(), st.integers(1, 10**9))
LIMITS = st.builds(Limits, st.integers(0, 1), WHOLE, WHOLE, WHOLE, WHOLE, PERCENT)
SETTINGS = st.builds(
    ClusterSettings,
    WORDS,
    st.sampled_from(("EDS", "STATIC")),
    st.sampled_from(("ads", "self", "")),
    st.sampled_from(("", "other")),
    st.sampled_from(("ROUND_ROBIN", "RING_HASH", "LEAST_REQUEST")),
    TIMES,
    st.lists(LIMITS, max_size=2).map(tuple),
    PERCENT,
    st.booleans(),
    st.booleans(),
    st.one_of(st.none(), clusters(most=2).map(settled)),
)
PARTS = st.one_of(
    WORDS.map(lambda name: ((name, 1),)),
    st.lists(
        st.tuples(WORDS, st.integers(1, 10**6)), min_size=2, max_size=3, unique_by=lambda part: part[0]
    ).map(tuple),
)
RETRIES = st.builds(
    Retry,
    st.sampled_from(((), ("reset",), ("connect-failure", "retriable-headers"))),
    WHOLE,
    TIMES,
    TIMES,
    st.sampled_from(((), (("x-unprocessed", "1"),))),
    st.booleans(),
)
ROUTES = st.builds(
    lambda route, prefix: replace(route, prefix="", path=None) if prefix else route,
    st.builds(
        Route,
        WORDS,
        st.none(),
        st.just("/a"),
        st.sampled_from(("", "GET")),
        PARTS,
        TIMES,
        st.one_of(st.none(), RETRIES),
        st.booleans(),
    ),
    st.booleans(),
)
HOSTED = st.builds(VirtualHost, WORDS, st.just(("*",)), st.lists(ROUTES, max_size=2).map(tuple))
TABLES = st.builds(RouteTable, WORDS, st.lists(HOSTED, max_size=2).map(tuple))
PLACES = st.one_of(st.none(), st.builds(Place, HOSTS, PORTS), st.just(Place("unix:/run/a", 0)))
LISTENERS = st.one_of(
    st.builds(Listener, WORDS, PLACES, WORDS), st.builds(Listener, WORDS, PLACES, table=TABLES)
)


@SAME
@given(clusters())
def test_a_cluster_there_and_back_is_the_same(cluster: Cluster) -> None:
    data = write_assignment(cluster)
    got = read_assignment(data)
    assert got == settled(cluster)
    assert write_assignment(got) == data
    validate(parsed(ClusterLoadAssignment, data))


@SAME
@given(SETTINGS)
def test_settings_there_and_back_are_the_same(told: ClusterSettings) -> None:
    data = write_cluster(told)
    assert read_cluster(data) == told
    validate(parsed(WireCluster, data))


@SAME
@given(TABLES)
def test_routes_there_and_back_are_the_same(told: RouteTable) -> None:
    data = write_routes(told)
    assert read_routes(data) == told
    validate(parsed(RouteConfiguration, data))


@SAME
@given(LISTENERS)
def test_a_listener_there_and_back_is_the_same(told: Listener) -> None:
    data = write_listener(told)
    assert read_listener(data) == told
    message, manager = parsed(WireListener, data), HttpConnectionManager()
    validate(message)
    packed: Any = find_manager(message)
    assert packed.Unpack(manager)
    validate(manager)


def test_endpoints_are_asked_for_in_the_form_that_clients_know() -> None:
    """gRPC's client refuses a source whose resources are not of version 3."""
    message = parsed(WireCluster, write_cluster(ClusterSettings("grid", reports=True)))
    source = message.eds_cluster_config.eds_config
    assert source.HasField("ads") and source.resource_api_version == 2
    assert message.lrs_server.HasField("self") and message.lrs_server.resource_api_version == 2


def test_the_rules_are_read_at_all() -> None:
    message = parsed(ClusterLoadAssignment, write_assignment(Cluster("grid", (node("a"),))))
    validate(message)
    message.endpoints[0].lb_endpoints[0].load_balancing_weight.value = 0
    with pytest.raises(ValidationFailed, match="load_balancing_weight"):
        validate(message)


@SAME
@given(st.lists(clusters(), min_size=2, max_size=4), st.sampled_from((None, 1.0, 1000.0)))
def test_a_writer_that_remembers_writes_what_a_new_one_writes(
    states: list[Cluster], scale: float | None
) -> None:
    writer = AssignmentWriter()
    for state in (
        *states,
        *(
            replace(a, endpoints=a.endpoints[:1] + b.endpoints)
            for a, b in zip(states, states[1:], strict=False)
        ),
    ):
        assert writer.write(state, scale) == write_assignment(state, scale)


@SAME
@given(clusters())
def test_one_list_feeds_our_own_balancer_and_envoy(cluster: Cluster) -> None:
    """From the platform to the fleet, to Envoy's form, back, and to the platform."""
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
    sent = json.loads(json.dumps(write_whole(settled(Cluster("grid", tuple(once.values()))), 41)))
    fleet = take(Cluster("grid"), read_line(sent))
    assert write_whole(read_assignment(write_assignment(fleet)), 41) == sent


@SAME
@given(clusters())
def test_who_is_to_get_nothing_is_open_to_no_client(cluster: Cluster) -> None:
    message = parsed(ClusterLoadAssignment, write_assignment(cluster))
    lines = [line for group in message.endpoints for line in group.lb_endpoints]
    for endpoint, line in zip(settled(cluster).endpoints, lines, strict=True):
        if endpoint.lifecycle is not Lifecycle.UP or endpoint.weight == 0:
            assert Health(line.health_status) not in OPEN


def test_shares_on_the_wire_are_those_of_the_fleet() -> None:
    weights = (1.0, 0.25, 1 / 3, 2.5)
    data = write_assignment(Cluster("grid", tuple(node(f"n{w}", weight=w) for w in weights)))
    lines = parsed(ClusterLoadAssignment, data).endpoints[0].lb_endpoints
    sent = [line.load_balancing_weight.value for line in lines]
    shares = [weight / sum(weights) for weight in weights]
    assert [value / sum(sent) for value in sent] == pytest.approx(shares, rel=0.002)


@pytest.mark.parametrize("weights", [(1e-9, 9e-9), (4e9, 3e9), (1e12,) * 3, (1e-300,), (1e12, 1e-12)])
def test_weights_of_any_size_are_within_envoys_limits(weights: tuple[float, ...]) -> None:
    cluster = Cluster("grid", tuple(node(f"n{i}", weight=w) for i, w in enumerate(weights)))
    data = write_assignment(cluster)
    message = parsed(ClusterLoadAssignment, data)
    validate(message)
    assert sum(line.load_balancing_weight.value for line in message.endpoints[0].lb_endpoints) < 2**32
    assert read_assignment(data) == cluster


@pytest.mark.parametrize(
    "fault, said",
    [
        ({"weight": -1.0}, "weight -1.0"),
        ({"weight": float("nan")}, "weight nan"),
        ({"port": 0}, "port 0"),
        ({"host": ""}, "address ''"),
        ({"priority": 129}, "priority 129"),
        ({"priority": -1}, "priority -1"),
        ({"metadata": {"roadlb": {}}}, "namespace 'roadlb'"),
        ({"weight": 1e13}, "weight 1000"),
    ],
)
def test_what_envoy_would_refuse_is_not_written(fault: dict[str, Any], said: str) -> None:
    faulty: Endpoint = replace(node("n1"), **fault)
    with pytest.raises(CodecError, match=f"cluster 'grid'.*{said}"):
        write_assignment(Cluster("grid", (node("n0"), faulty)))


def test_what_clients_would_refuse_is_not_written() -> None:
    def routed(host: VirtualHost) -> tuple[Any, Any]:
        return write_routes, RouteTable("t", (host,))

    cases: list[tuple[Any, Any]] = [
        (write_cluster, ClusterSettings("")),
        (write_cluster, ClusterSettings("c", connect_timeout_us=0)),
        (write_routes, RouteTable("")),
        (write_listener, Listener("l")),
        routed(VirtualHost("v", ())),
        routed(VirtualHost("v", routes=(Route(prefix="/"),))),
        routed(VirtualHost("v", routes=(Route(clusters=(("c", 1),)),))),
    ]
    for write, told in cases:
        with pytest.raises(CodecError):
            write(told)
