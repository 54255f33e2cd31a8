"""A session between machine and transport, without gRPC: what it holds, what it shares, what it reports."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsRequest, LoadStatsResponse
from envoy.service.status.v3.csds_pb2 import ClientStatusRequest, ClientStatusResponse

from roadlb.control.events import LoadReport
from roadlb.fleet.model import NodeId
from roadlb.xds.codec.discovery import read_response, write_request
from roadlb.xds.grpc.client_status import client_status
from roadlb.xds.grpc.encoding import Encoder
from roadlb.xds.grpc.loads import ask, read_stats, reports
from roadlb.xds.grpc.session import Session
from roadlb.xds.messages import DiscoveryRequest, DiscoveryResponse, ErrorDetail, Node
from roadlb.xds.resources import ENDPOINTS, Resource, Snapshot
from roadlb.xds.sotw import SotwStream


@dataclass
class RecordingOwner:
    calls: list[tuple] = field(default_factory=list)

    def __getattr__(self, name: str):
        return lambda session, *rest: self.calls.append((name, *rest)) or ""


class Pipe:
    """A transport that takes one message and then no more, until `opened`."""

    def __init__(self) -> None:
        self.sent, self.asked, self.opened = [], asyncio.Queue(), asyncio.Event()

    async def read(self) -> bytes:
        return await self.asked.get()

    async def write(self, data: bytes) -> None:
        self.sent.append(read_response(data))
        await self.opened.wait()


def snapshot(generation: int, before: Snapshot | None = None) -> Snapshot:
    return Snapshot.of(
        generation,
        [Resource.make(ENDPOINTS, "grid", b"\x0a\x04grid\x22\x00" * generation, generation)],
        before,
    )


def first(error: ErrorDetail | None = None, nonce: str = "") -> bytes:
    return write_request(DiscoveryRequest(ENDPOINTS, ("grid",), "", nonce, error, Node("p")))


async def blocked() -> None:
    pipe, owner, encoder = Pipe(), RecordingOwner(), Encoder()
    session = Session(1, SotwStream(), owner, encoder, lambda: 0)
    life = asyncio.create_task(session.serve(pipe))
    await pipe.asked.put(first())
    while ("subscriber_identified",) not in owner.calls:
        await asyncio.sleep(0)
    newest = None
    for generation in range(1, 101):
        newest = snapshot(generation, newest)
        session.push(newest)
        await asyncio.sleep(0)
    assert [r.version_info[:20] for r in pipe.sent] == [f"{1:020}"]
    assert encoder.encoded == 1, "the ninety-nine others were never made"
    pipe.opened.set()
    await pipe.asked.put(first(nonce=pipe.sent[0].nonce))
    while len(pipe.sent) < 2:
        await asyncio.sleep(0)
    assert int(pipe.sent[1].version_info[:20]) == 100
    life.cancel()
    await asyncio.gather(life, return_exceptions=True)
    assert owner.calls[-1] == ("session_closed",)


def test_who_does_not_read_costs_one_response_and_then_gets_the_newest() -> None:
    asyncio.run(blocked())


async def refused() -> None:
    owner = RecordingOwner()
    session = Session(1, SotwStream(), owner, Encoder(), lambda: 0)
    session.receive(first())
    session.push(snapshot(1))
    one = ClientStatusResponse.FromString(client_status(b"", [session])).config[0]
    assert (one.node.id, one.generic_xds_configs[0].client_status) == ("p", 1)
    session.receive(first(ErrorDetail(3, "no"), "1"))
    assert owner.calls == [
        ("subscriber_identified",),
        ("response_sent", ENDPOINTS, 1, 1),
        ("response_rejected", ENDPOINTS, 1, ErrorDetail(3, "no")),
    ]
    told = ClientStatusResponse.FromString(client_status(b"", [session])).config[0].generic_xds_configs[0]
    assert (told.client_status, told.error_state.details) == (4, "no")
    other = ClientStatusRequest()
    other.node_matchers.add().node_id.exact = "q"
    assert not ClientStatusResponse.FromString(client_status(other.SerializeToString(), [session])).config


def test_a_refusal_is_told_to_the_owner_and_in_the_client_status() -> None:
    asyncio.run(refused())


def test_a_response_is_encoded_once_and_what_is_kept_is_bounded() -> None:
    encoder, resources = (
        Encoder(most=10_000),
        [Resource.make(ENDPOINTS, f"c{i}", b"x" * 3_000, 1) for i in range(8)],
    )
    for i, resource in enumerate(resources):
        for nonce in "12":
            response = DiscoveryResponse(ENDPOINTS, f"v{i}", nonce, (resource,))
            data = encoder.encode(response)
            assert (b"v%d" % i in data) and data.endswith(nonce.encode())
    assert (encoder.encoded, encoder.shared) == (8, 8)
    encoder.encode(DiscoveryResponse(ENDPOINTS, "v0", "3", (resources[0],)))
    assert encoder.encoded == 9, "the first was dropped: three of 3 kB fit into 10"


NODE = NodeId("n@1", 5)


def stats(**endpoint: str) -> bytes:
    wire = LoadStatsRequest()
    cluster = wire.cluster_stats.add(cluster_name="grid~n@1@5")
    cluster.load_report_interval.FromSeconds(2)
    group = cluster.upstream_locality_stats.add(
        total_successful_requests=30, total_error_requests=10, total_issued_requests=44
    )
    group.locality.sub_zone = "n@1@5"
    group.load_metric_stats.add(
        metric_name="named_metrics.eps", num_requests_finished_with_metric=4, total_metric_value=10.0
    )
    group.load_metric_stats.add(
        metric_name="queue", num_requests_finished_with_metric=2, total_metric_value=3
    )
    if endpoint:
        one = group.upstream_endpoint_stats.add(total_successful_requests=7, total_issued_requests=7)
        one.address.socket_address.address = endpoint["host"]
        one.address.socket_address.port_value = 80
    return wire.SerializeToString()


@pytest.mark.parametrize(
    "data, found",
    [
        (stats(), [LoadReport("p", "grid", NODE, 44, 10, 2_000_000, 2.5, 1.5, 40)]),
        (stats(host="10.0.0.1"), [LoadReport("p", "grid", NODE, 7, 0, 2_000_000, None, None, 7)]),
        (stats(host="10.0.0.2"), [None]),
        (b"", []),
    ],
)
def test_load_reports_are_by_endpoint_or_else_by_the_nodes_own_locality(data: bytes, found: list) -> None:
    nodes = {("10.0.0.1", 80): NODE}
    assert (
        list(
            reports(
                "p",
                read_stats(data),
                lambda host, port: nodes.get((host, port)),
                lambda name: name.partition("~")[0],
            )
        )
        == found
    )


def test_a_request_under_way_as_its_interval_ends_is_no_report_of_a_load_of_zero() -> None:
    # Nothing has ended, so no metric has been told: a load of 0 would pass for a node with nothing to do.
    wire = LoadStatsRequest()
    cluster = wire.cluster_stats.add(cluster_name="grid")
    cluster.load_report_interval.FromSeconds(1)
    group = cluster.upstream_locality_stats.add(total_issued_requests=1, total_requests_in_progress=1)
    group.locality.sub_zone = "n@1@5"
    found = list(reports("p", wire, lambda host, port: None, lambda name: name))
    assert found == [LoadReport("p", "grid", NODE, 1, 0, 1_000_000, None, None, 0)]


def test_reports_are_asked_for_in_the_words_that_a_client_knows() -> None:
    named = LoadStatsResponse.FromString(ask(["grid"], 1_500_000))
    assert (list(named.clusters), named.load_reporting_interval.nanos) == (["grid"], 500_000_000)
    every = LoadStatsResponse.FromString(ask(["grid"], 1, ["envoy.lrs.supports_send_all_clusters"]))
    assert every.send_all_clusters and not every.clusters and every.report_endpoint_granularity
