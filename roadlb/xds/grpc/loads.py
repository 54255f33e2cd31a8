"""Load reports: `envoy.service.load_stats.v3` to the plan's `LoadReport`, and how reports are asked for."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsRequest, LoadStatsResponse

from ...control.events import LoadReport
from ...control.forms import node_of
from ...fleet.model import NodeId
from ..codec.protos import Wire, held, parsed

ALL = "envoy.lrs.supports_send_all_clusters"
PREFIX = "named_metrics."  # some clients tell the kind of a metric in front of its name


def ask(clusters: Iterable[str], interval_us: int, features: Iterable[str] = ()) -> bytes:
    """The server's word on a stream of reports: which clusters, and how often."""
    wire = LoadStatsResponse(report_endpoint_granularity=True)
    if ALL in features:
        wire.send_all_clusters = True
    else:
        wire.clusters.extend(clusters)
    wire.load_reporting_interval.FromMicroseconds(interval_us)
    return held(wire)


def read_stats(data: bytes) -> Any:
    """The message; CodecError for bytes that are none."""
    return parsed(LoadStatsRequest, data)


def reports(
    subscriber: str,
    wire: Wire,
    node_at: Callable[[str, int], NodeId | None],
    fleet_name: Callable[[str], str],
) -> Iterator[LoadReport | None]:
    """A report for each node that the message tells of; None for figures that belong to no node we know.

    Endpoints' own figures go before their locality's, which then says the same once more.
    """
    for stats in wire.cluster_stats:
        interval_us = stats.load_report_interval.ToMicroseconds()
        cluster = fleet_name(stats.cluster_name)
        for group in stats.upstream_locality_stats:
            told = [
                (node_at(where.address, where.port_value), one)
                for one in group.upstream_endpoint_stats
                if (where := one.address.socket_address).address
            ]
            if not told:
                told = [(node_of(group.locality.sub_zone), group)]
            for node, figures in told:
                if node is None:
                    yield None
                    continue
                finished = figures.total_successful_requests + figures.total_error_requests
                yield LoadReport(
                    subscriber,
                    cluster,
                    node,
                    max(figures.total_issued_requests, finished),
                    figures.total_error_requests,
                    interval_us,
                    _mean(figures.load_metric_stats, "eps"),
                    _mean(figures.load_metric_stats, "queue"),
                    finished,
                )


def _mean(stats: Iterable[Wire], name: str) -> float | None:
    """A named metric's mean over the requests that told it; None without any."""
    for one in stats:
        if one.metric_name.removeprefix(PREFIX) == name and one.num_requests_finished_with_metric:
            return float(one.total_metric_value / one.num_requests_finished_with_metric)
    return None
