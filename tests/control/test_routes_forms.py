"""Rules of the classes and forms of the decisions, as data."""

import pytest

from roadlb.control.forms import Form, express, form_of, node_of, pool_name
from roadlb.control.plan import Plan
from roadlb.control.events import Fleet, sub_zone
from roadlb.control.routes import MAY_HAVE_RUN, limits, rules
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, Locality, NodeId, Picture
from roadlb.policy.interface import Effect, RequestClass, Settings


def test_an_order_is_tried_again_only_where_nothing_ran() -> None:
    read, order, keyed = rules(
        Settings(
            classes=[
                RequestClass("grid-read", deadline_us=2_500_000),
                RequestClass("order", effect=Effect.UNSAFE),
                RequestClass("keyed", effect=Effect.KEYED),
            ],
            max_attempts=5,
        )
    )
    assert set(MAY_HAVE_RUN) <= set(read.retry.retry_on) and read.retry.tries == 4 and read.hedge
    for once in (order, keyed):
        assert not set(MAY_HAVE_RUN) & set(once.retry.retry_on) and "connect-failure" in once.retry.retry_on
        assert once.retry.grpc_codes == () and once.retry.try_timeout_us == 0 and not once.hedge
    with pytest.raises(ValueError, match="'x' is there twice"):
        rules(Settings(classes=[RequestClass("x"), RequestClass("x")]))


def test_limits_leave_room_for_the_clients_of_a_proxy_that_died() -> None:
    weights = {f"n{i}": 1.0 for i in range(10)}
    assert limits(weights, 0.15).max_requests == 96 and limits(weights, 0.8).max_requests == 320
    assert limits({}, 1.0).max_retries >= 3
    with pytest.raises(ValueError, match="share: 0"):
        limits(weights, 0)


@pytest.mark.parametrize(
    "agent, metadata, features, form",
    [
        ("envoy", {}, (), Form.ENVOY),
        ("gRPC C-core", {}, (), Form.GRPC),
        ("grpc-go", {}, (), Form.GRPC),
        ("own", {}, ("envoy.lb.does_not_support_overprovisioning",), Form.GRPC),
        ("haproxy", {}, (), Form.GENERIC),
        ("envoy", {"roadlb.form": "generic"}, (), Form.GENERIC),
    ],
)
def test_kind_of_proxy(agent: str, metadata: dict[str, str], features: tuple[str, ...], form: Form) -> None:
    assert form_of(agent, metadata, features) is form


def test_a_form_that_there_is_not_is_named() -> None:
    with pytest.raises(ValueError, match="'envoi' is none of"):
        form_of("envoy", {"roadlb.form": "envoi"})


@pytest.mark.parametrize("word", ["", "x", "@1", "x@", "x@y", "x@²"])
def test_a_sub_zone_leads_back_to_its_node(word: str) -> None:
    node = NodeId("a@b", 17)
    assert node_of(sub_zone(node)) == node and node_of(word) is None


def test_each_form_tells_drains_and_cold_nodes_in_its_own_way() -> None:
    hall = Locality("sk", "hall-a")
    nodes = (
        Endpoint(NodeId("warm"), "h", 1, hall),
        Endpoint(NodeId("ends"), "h", 2, hall, Lifecycle.DRAINING),
        Endpoint(NodeId("cold", 999_000), "h", 3, hall),
    )
    (publish,) = Plan().handle(0, Fleet(Picture(1, {"grid": Cluster("grid", nodes)}), 1_000_000))
    envoy, grpc, generic = (express(f, publish.decisions) for f in (Form.ENVOY, Form.GRPC, Form.GENERIC))
    cold = pool_name("grid", sub_zone(nodes[2].node))
    assert [a.cluster for a in envoy.assignments] == ["grid", cold], "a pool's name is never used again"
    assert [a.cluster for a in envoy.assignments] == [a.cluster for a in grpc.assignments]
    assert sum(part for _, part in envoy.splits[0].parts_ppm) == 1_000_000
    assert [(p.locality, [e.node.name for e in p.endpoints]) for p in envoy.assignments[0].places] == [
        (hall, ["warm", "ends"])
    ]
    assert [p.locality.sub_zone for p in grpc.assignments[0].places] == ["warm@0", "ends@0"]
    assert [n.name for n in generic.left_out] == ["ends", "cold"] and len(generic.assignments) == 1
