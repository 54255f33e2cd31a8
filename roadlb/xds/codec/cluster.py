"""How clients use a cluster: `envoy.config.cluster.v3.Cluster` to and from the fleet's settings."""

from __future__ import annotations

from ...fleet.model import Cluster as FleetCluster
from ...fleet.traffic import ClusterSettings, Limits
from .assignment import view_assignment, write_assignment
from .protos import ClusterLoadAssignment, CodecError, Wire, WireCluster
from .shape import Setter, Shape, microseconds, put_microseconds, put_plain, put_whole, whole

V3 = 2  # envoy.config.core.v3.ApiVersion
LIMITS = {
    "connections": "max_connections",
    "pending": "max_pending_requests",
    "requests": "max_requests",
    "retries": "max_retries",
}


def view(message: Wire) -> ClusterSettings:
    common, custom = message.common_lb_config, message.WhichOneof("cluster_discovery_type") == "cluster_type"
    where = message.eds_cluster_config.eds_config.WhichOneof("config_source_specifier")
    return ClusterSettings(
        name=message.name,
        discovery="" if custom else _word(WireCluster.DiscoveryType, message.type),
        source=where if where in ("ads", "self") else "",
        assignment=message.eds_cluster_config.service_name,
        policy=_word(WireCluster.LbPolicy, message.lb_policy),
        connect_timeout_us=microseconds(message, "connect_timeout"),
        limits=tuple(_view_limits(wire) for wire in message.circuit_breakers.thresholds),
        panic_percent=(
            common.healthy_panic_threshold.value if common.HasField("healthy_panic_threshold") else None
        ),
        locality_weights=common.WhichOneof("locality_config_specifier") == "locality_weighted_lb_config",
        reports=message.lrs_server.WhichOneof("config_source_specifier") == "self",
        endpoints=_view_endpoints(message),
    )


def _word(enum: Wire, number: int) -> str:
    """The word for a number, or the number for one that is not known here."""
    return str(enum.Name(number)) if number in enum.values() else str(number)


def _put_word(enum: Wire, field: str) -> Setter:
    def put(message: Wire, now: str, _: object) -> None:
        if now not in enum.keys():
            raise CodecError(f"{now!r} must be one of {', '.join(enum.keys())}")
        setattr(message, field, enum.Value(now))

    return put


def _view_endpoints(message: Wire) -> FleetCluster | None:
    if not message.HasField("load_assignment"):
        return None
    copy = ClusterLoadAssignment()
    copy.CopyFrom(message.load_assignment)
    return view_assignment(copy)


def _put_endpoints(message: Wire, now: FleetCluster | None, _: object) -> None:
    message.ClearField("load_assignment")
    if now is not None:
        message.load_assignment.MergeFromString(write_assignment(now))


def _put_source(message: Wire, now: str, _: object) -> None:
    source = message.eds_cluster_config.eds_config
    if now:
        getattr(source, now).SetInParent()
        source.resource_api_version = V3
    else:
        message.eds_cluster_config.ClearField("eds_config")


def _put_assignment(message: Wire, now: str, _: object) -> None:
    message.eds_cluster_config.service_name = now


def _put_panic(message: Wire, now: float | None, _: object) -> None:
    if now is None:
        message.common_lb_config.ClearField("healthy_panic_threshold")
    else:
        message.common_lb_config.healthy_panic_threshold.value = now


def _put_locality_weights(message: Wire, now: bool, _: object) -> None:
    if now:
        message.common_lb_config.locality_weighted_lb_config.SetInParent()
    else:
        message.common_lb_config.ClearField("locality_weighted_lb_config")


def _put_reports(message: Wire, now: bool, _: object) -> None:
    if now:
        message.lrs_server.self.SetInParent()
        message.lrs_server.resource_api_version = V3
    else:
        message.ClearField("lrs_server")


def _view_limits(wire: Wire) -> Limits:
    budget = wire.retry_budget
    percent = budget.budget_percent.value if budget.HasField("budget_percent") else None
    return Limits(
        wire.priority, retry_percent=percent, **{ours: whole(wire, theirs) for ours, theirs in LIMITS.items()}
    )


def _put_limits(message: Wire, now: tuple[Limits, ...], was: tuple[Limits, ...]) -> None:
    """Entry by entry, so that what else an entry holds stays with its place."""
    entries = message.circuit_breakers.thresholds
    for i, limits in enumerate(now):
        wire = entries[i] if i < len(entries) else entries.add()
        before = was[i] if i < len(was) else Limits()
        wire.priority = limits.priority
        for ours, theirs in LIMITS.items():
            if getattr(limits, ours) != getattr(before, ours):
                put_whole(theirs)(wire, getattr(limits, ours), None)
        if limits.retry_percent != before.retry_percent:
            if limits.retry_percent is None:
                wire.retry_budget.ClearField("budget_percent")
            else:
                wire.retry_budget.budget_percent.value = limits.retry_percent
    del entries[len(now) :]


CLUSTER: Shape[ClusterSettings] = Shape(
    WireCluster,
    view,
    {
        "name": put_plain("name"),
        "discovery": _put_word(WireCluster.DiscoveryType, "type"),
        "source": _put_source,
        "assignment": _put_assignment,
        "policy": _put_word(WireCluster.LbPolicy, "lb_policy"),
        "connect_timeout_us": put_microseconds("connect_timeout"),
        "limits": _put_limits,
        "panic_percent": _put_panic,
        "locality_weights": _put_locality_weights,
        "reports": _put_reports,
        "endpoints": _put_endpoints,
    },
    {
        "a name": lambda settings: bool(settings.name),
        "a connect time-out above 0": lambda settings: settings.connect_timeout_us != 0,
    },
)


def read_cluster(data: bytes) -> ClusterSettings:
    """The settings that these bytes of a `Cluster` tell; CodecError."""
    return CLUSTER.read(data)


def write_cluster(settings: ClusterSettings) -> bytes:
    """The bytes of a `Cluster`: what the wire held, changed where the settings have changed; CodecError."""
    return CLUSTER.write(settings)
