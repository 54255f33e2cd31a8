"""Writing back changes what the fleet's view changed, and nothing else."""

from __future__ import annotations

from dataclasses import fields, replace
from typing import Any

import pytest
from codec_messages import KINDS, NAMES, RECORDED, recorded

from roadlb.fleet.model import (
    Cluster,
    Drop,
    Endpoint,
    Health,
    Lifecycle,
    Locality,
    LocalityGroup,
    NodeId,
    Place,
    settled,
)
from roadlb.fleet.traffic import Limits, Retry, RouteTable, VirtualHost
from roadlb.xds.codec.assignment import AssignmentWriter, read_assignment, write_assignment
from roadlb.xds.codec.cluster import read_cluster, write_cluster
from roadlb.xds.codec.protos import ClusterLoadAssignment, held, parsed
from roadlb.xds.codec.routes import (
    HttpConnectionManager,
    find_manager,
    read_listener,
    read_routes,
    write_listener,
    write_routes,
)

MESSAGES = {name: recorded(path) for name, path in zip(NAMES, RECORDED, strict=True)}
ASSIGNMENTS = [name for name, (kind, _) in MESSAGES.items() if kind.endswith("Assignment")]
CHANGES: list[dict[str, Any]] = [
    {"weight": 7.0},
    {"weight": 0.0},
    {"weight": 0.3333},
    {"health": Health.UNHEALTHY},
    {"lifecycle": Lifecycle.DRAINING},
    {"lifecycle": Lifecycle.DRAINING, "health": Health.HEALTHY},
    {"lifecycle": Lifecycle.UP, "health": Health.HEALTHY, "weight": 3.0},
    {"node": NodeId("another", 2**60)},
    {"host": "10.9.9.9", "port": 99},
    {"hostname": "other"},
    {"additional": (Place("10.9.9.8", 98),)},
    {"machine": "m9", "cell": 9},
    {"machine": "", "cell": 0},
    {"metadata": {"x": {"k": "w"}}},
    {"metadata": {}},
]


def bare(item: Any) -> Any:
    """Without what the wire held, all the way down."""
    if isinstance(item, tuple):
        return tuple(bare(inner) for inner in item)
    if hasattr(item, "origin"):
        nested = {
            f.name: bare(getattr(item, f.name))
            for f in fields(item)
            if isinstance(getattr(item, f.name), tuple)
        }
        return replace(item, origin=None, **nested)
    return item


def lines(data: bytes) -> list[bytes]:
    message = parsed(ClusterLoadAssignment, data)
    return [
        held(line)
        for group in message.endpoints
        for line in (
            group.load_balancer_endpoints.lb_endpoints
            if group.HasField("load_balancer_endpoints")
            else group.lb_endpoints
        )
    ]


@pytest.mark.parametrize("change", CHANGES, ids=str)
@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_a_change_of_one_endpoint_arrives_and_touches_no_other(name: str, change: dict[str, Any]) -> None:
    data = MESSAGES[name][1]
    held_cluster = read_assignment(data)
    for i, endpoint in enumerate(held_cluster.endpoints):
        if not endpoint.node.name:
            continue  # it is known by its address alone, which changes
        changed = replace(endpoint, **change)
        cluster = replace(
            held_cluster, endpoints=(*held_cluster.endpoints[:i], changed, *held_cluster.endpoints[i + 1 :])
        )
        written = write_assignment(cluster)
        assert settled(bare(read_assignment(written))) == settled(bare(cluster))
        rescaled = change.get("weight") == 0.3333 and changed.weight != endpoint.weight
        if not rescaled:
            assert [a for j, a in enumerate(lines(written)) if j != i] == [
                a for j, a in enumerate(lines(data)) if j != i
            ]


@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_an_endpoint_that_goes_leaves_the_others_as_they_were(name: str) -> None:
    data = MESSAGES[name][1]
    cluster = read_assignment(data)
    if cluster.endpoints:
        less = lines(write_assignment(replace(cluster, endpoints=cluster.endpoints[1:])))
        assert less == lines(data)[1:]


def test_an_endpoint_moved_to_a_locality_of_its_own_keeps_what_it_held() -> None:
    """As a plan does for clients that obey weights of localities only."""
    cluster = read_assignment(MESSAGES["cla-unknown-everywhere"][1])
    first = cluster.endpoints[0]
    place = Locality("r", "a", "n1")
    moved = replace(
        cluster,
        endpoints=(replace(first, locality=place), *cluster.endpoints[1:]),
        groups=(*cluster.groups, LocalityGroup(place, weight=5)),
    )
    got = read_assignment(write_assignment(moved))
    assert got.endpoints[-1].locality == place and got.endpoints[-1].weight == first.weight
    assert b"later" in (got.endpoints[-1].origin or b"")


def test_a_named_endpoint_that_moves_keeps_its_probe() -> None:
    cluster = read_assignment(MESSAGES["cla-named-endpoints"][1])
    first = replace(cluster.endpoints[0], host="10.9.9.9")
    message = parsed(
        ClusterLoadAssignment, write_assignment(replace(cluster, endpoints=(first, *cluster.endpoints[1:])))
    )
    line, other = message.endpoints[0].lb_endpoints[:2]
    assert line.endpoint.health_check_config.port_value == 8081 and line.endpoint.hostname == "n1.grid"
    assert other.endpoint_name == "n1"
    assert message.named_endpoints["n1"].address.socket_address.address == "10.0.0.1"


def test_a_weight_between_whole_numbers_keeps_the_shares_of_all() -> None:
    """Others' messages have weights as whole numbers: a half among them is told in larger ones."""
    one = Endpoint(NodeId("a"), "10.0.0.1", 80)
    cluster = read_assignment(write_assignment(Cluster("grid", (one, replace(one, node=NodeId("b")))), 1.0))
    assert [e.weight for e in cluster.endpoints] == [1.0, 1.0]
    halved = replace(cluster, endpoints=(replace(cluster.endpoints[0], weight=0.5), cluster.endpoints[1]))
    message = parsed(ClusterLoadAssignment, write_assignment(halved))
    assert [line.load_balancing_weight.value for line in message.endpoints[0].lb_endpoints] == [500, 1000]


def test_what_others_changed_on_the_wire_counts_against_our_metadata() -> None:
    first, second = read_assignment(MESSAGES["cla-ours-changed-by-others"][1]).endpoints
    assert (first.weight, first.health, first.lifecycle) == (5 / 7, Health.HEALTHY, Lifecycle.DRAINING)
    assert (first.node, first.machine, first.cell) == (NodeId("10.0.0.1:80"), "", 0)
    assert second.weight == 0


@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_a_writer_forgets_what_was_written_in_other_surroundings(name: str) -> None:
    cluster, writer = read_assignment(MESSAGES[name][1]), AssignmentWriter()
    cluster = replace(cluster, endpoints=tuple(e for e in cluster.endpoints if e.host))
    plain = replace(
        cluster,
        origin=None,
        drops=(),
        groups=tuple(replace(group, origin=None, weight=None) for group in cluster.groups),
    )
    for state, scale in (
        (cluster, None),
        (cluster, 10.0),
        (cluster, 1000.0),
        (plain, 1000.0),
        (plain, None),
        (replace(plain, name="other"), None),
    ):
        if state.name and (state is cluster or all(e.port for e in state.endpoints)):
            assert writer.write(state, scale) == write_assignment(state, scale)


def test_drops_change_one_by_one() -> None:
    cluster = read_assignment(MESSAGES["cla-policy"][1])
    changed = replace(cluster, drops=(cluster.drops[0], Drop("new", 5)))
    policy = parsed(ClusterLoadAssignment, write_assignment(changed)).policy
    first, second = policy.drop_overloads
    assert (first.drop_percentage.numerator, first.drop_percentage.denominator) == (3, 0)
    assert second.category == "new"
    assert (second.drop_percentage.numerator, second.drop_percentage.denominator) == (5, 2)
    assert policy.endpoint_stale_after.seconds == 30


def test_settings_change_within_what_was_held() -> None:
    cluster = read_cluster(MESSAGES["cds-everything"][1])
    changed = replace(
        cluster,
        locality_weights=False,
        panic_percent=50.0,
        policy="ROUND_ROBIN",
        limits=(
            cluster.limits[0],
            replace(cluster.limits[1], requests=77, retry_percent=None),
            Limits(1, retries=5),
        ),
    )
    data = write_cluster(changed)
    assert bare(read_cluster(data)) == bare(changed)
    message = parsed(KINDS["envoy.config.cluster.v3.Cluster"][0], data)
    second = message.circuit_breakers.thresholds[1]
    assert (second.max_connection_pools.value, second.retry_budget.min_retry_concurrency.value) == (4, 3)
    assert message.common_lb_config.update_merge_window.seconds == 1
    less = replace(cluster, limits=cluster.limits[1:])
    assert read_cluster(write_cluster(less)).limits == less.limits
    assert message.least_request_lb_config.slow_start_config.slow_start_window.seconds == 20


def change_routes(table: RouteTable) -> RouteTable:
    host = table.hosts[0]
    first, second = host.routes
    first = replace(first, clusters=(("grid~cold-2", 1), ("grid", 99)), method="PUT", timeout_us=5)
    second = replace(
        second,
        retry=replace(second.retry or Retry(), elsewhere=False, back_off_us=50_000_000),
        path=None,
        prefix="/",
    )
    return replace(table, hosts=(replace(host, routes=(second, first)), VirtualHost("new")))


def test_routes_change_and_swap_with_all_that_they_held() -> None:
    table = change_routes(read_routes(MESSAGES["rds-classes"][1]))
    data = write_routes(table)
    assert bare(read_routes(data)) == bare(table)
    message = parsed(KINDS["envoy.config.route.v3.RouteConfiguration"][0], data)
    reads, orders = message.virtual_hosts[0].routes
    parts = {part.name: part for part in orders.route.weighted_clusters.clusters}
    assert parts["grid"].request_headers_to_add[0].header.key == "k"
    assert not orders.route.weighted_clusters.HasField("total_weight"), "which the parts no longer add up to"
    back_off = reads.route.retry_policy.retry_back_off
    assert back_off.base_interval.seconds == 50 <= back_off.max_interval.seconds, "or Envoy refuses it"
    assert [header.name for header in orders.match.headers] == [":method", "x-account"]
    assert [p.name for p in reads.route.retry_policy.retry_host_predicate] == ["own"]
    assert reads.route.hash_policy and message.virtual_hosts[0].include_request_attempt_count


def test_a_listeners_routes_change_within_its_connection_manager() -> None:
    listener = replace(read_listener(MESSAGES["lds-envoy"][1]), routes="others")
    data = write_listener(listener)
    assert bare(read_listener(data)) == bare(listener)
    manager, packed = (
        HttpConnectionManager(),
        find_manager(parsed(KINDS["envoy.config.listener.v3.Listener"][0], data)),
    )
    assert packed is not None and packed.Unpack(manager)
    assert manager.stream_idle_timeout.seconds == 3 and manager.stat_prefix == "front"
