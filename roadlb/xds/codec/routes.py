"""Routes and listeners: `RouteConfiguration` and `Listener` to and from the fleet's data."""

from __future__ import annotations

from envoy.config.route.v3.route_components_pb2 import Route as WireRoute
from envoy.config.route.v3.route_components_pb2 import VirtualHost as WireHost
from envoy.extensions.filters.http.router.v3.router_pb2 import Router
from envoy.extensions.filters.network.http_connection_manager.v3.http_connection_manager_pb2 import (
    HttpConnectionManager,
)
from envoy.extensions.retry.host.previous_hosts.v3.previous_hosts_pb2 import PreviousHostsPredicate

from ...fleet.model import Place
from ...fleet.traffic import Listener, Retry, Route, RouteTable, VirtualHost
from .endpoint import read_place, write_place
from .protos import CodecError, DecodeError, RouteConfiguration, Wire, WireListener, held
from .shape import Shape, microseconds, put_microseconds, put_plain, put_whole, whole

V3 = 2  # envoy.config.core.v3.ApiVersion
URL = "type.googleapis.com/"
METHOD = ":method"
ELSEWHERE = "envoy.retry_host_predicates.previous_hosts"
MANAGER = "envoy.filters.network.http_connection_manager"
ROUTER = "envoy.filters.http.router"
# Waits between tries grow to this many times the first, which is Envoy's own default.
BACK_OFF_GROWS = 10


# ---- one route


def view_route(message: Wire) -> Route:
    kind, action = message.match.WhichOneof("path_specifier"), message.route
    retry = view_retry(action.retry_policy) if action.HasField("retry_policy") else None
    return Route(
        message.name,
        message.match.prefix if kind == "prefix" else None,
        message.match.path if kind == "path" else None,
        next((header.string_match.exact for header in message.match.headers if _on_method(header)), ""),
        _view_clusters(action),
        microseconds(action, "timeout"),
        retry,
        action.hedge_policy.hedge_on_per_try_timeout,
    )


def _on_method(header: Wire) -> bool:
    return (
        header.name == METHOD
        and not header.invert_match
        and header.WhichOneof("header_match_specifier") == "string_match"
        and header.string_match.WhichOneof("match_pattern") == "exact"
    )


def _view_clusters(action: Wire) -> tuple[tuple[str, int], ...]:
    kind = action.WhichOneof("cluster_specifier")
    if kind == "cluster":
        return ((action.cluster, 1),)
    if kind == "weighted_clusters":
        return tuple((part.name, part.weight.value) for part in action.weighted_clusters.clusters)
    return ()


def _put_prefix(message: Wire, now: str | None, _: object) -> None:
    if now is not None:
        message.match.prefix = now
    elif message.match.WhichOneof("path_specifier") == "prefix":
        message.match.ClearField("prefix")


def _put_path(message: Wire, now: str | None, _: object) -> None:
    if now is not None:
        message.match.path = now
    elif message.match.WhichOneof("path_specifier") == "path":
        message.match.ClearField("path")


def _put_method(message: Wire, now: str, _: object) -> None:
    headers = message.match.headers
    at = next((i for i, header in enumerate(headers) if _on_method(header)), None)
    if not now:
        del headers[at]
    elif at is not None:
        headers[at].string_match.exact = now
    else:
        headers.add(name=METHOD).string_match.exact = now


def _put_clusters(message: Wire, now: tuple[tuple[str, int], ...], _: object) -> None:
    """A sole cluster by its name; parts keep what else their entries hold, by the clusters' names."""
    action = message.route
    if len(now) == 1 and action.WhichOneof("cluster_specifier") != "weighted_clusters":
        action.cluster = now[0][0]
        return
    if not now or not 0 < sum(weight for _, weight in now) < 2**32:
        raise CodecError(f"{now}: weights must add up to a number from 1 to 4294967295")
    parts = action.weighted_clusters.clusters
    old = {part.name: part for part in parts}
    made = []
    for name, weight in now:
        part = type(action.weighted_clusters).ClusterWeight(name=name)
        if name in old:
            part.CopyFrom(old[name])
        part.weight.value = weight
        made.append(part)
    del parts[:]
    parts.extend(made)
    # The sum is told too in messages of old; one that no longer fits is refused.
    action.weighted_clusters.ClearField("total_weight")


def view_retry(wire: Wire) -> Retry:
    back_off = wire.retry_back_off
    return Retry(
        tuple(word.strip() for word in wire.retry_on.split(",") if word.strip()),
        whole(wire, "num_retries"),
        microseconds(wire, "per_try_timeout"),
        microseconds(back_off, "base_interval"),
        tuple((header.name, header.string_match.exact) for header in wire.retriable_headers),
        any(predicate.name == ELSEWHERE for predicate in wire.retry_host_predicate),
    )


def _put_retry(message: Wire, now: Retry | None, was: Retry | None) -> None:
    if now is None:
        message.route.ClearField("retry_policy")
        return
    wire, was = message.route.retry_policy, was or Retry()
    wire.SetInParent()
    if now.on != was.on:
        wire.retry_on = ",".join(now.on)
    if now.times != was.times:
        put_whole("num_retries")(wire, now.times, None)
    if now.try_timeout_us != was.try_timeout_us:
        put_microseconds("per_try_timeout")(wire, now.try_timeout_us, None)
    if now.back_off_us != was.back_off_us:
        _put_back_off(wire, now.back_off_us)
    if now.headers != was.headers:
        del wire.retriable_headers[:]
        for name, value in now.headers:
            wire.retriable_headers.add(name=name).string_match.exact = value
    if now.elsewhere != was.elsewhere:
        kept = [predicate for predicate in wire.retry_host_predicate if predicate.name != ELSEWHERE]
        del wire.retry_host_predicate[:]
        wire.retry_host_predicate.extend(kept)
        if now.elsewhere:
            wire.retry_host_predicate.add(name=ELSEWHERE).typed_config.Pack(PreviousHostsPredicate(), URL)


def _put_back_off(wire: Wire, now: int | None) -> None:
    if now is None:
        wire.ClearField("retry_back_off")
        return
    if now <= 0:
        raise CodecError(f"back_off_us {now}: must be above 0")
    put_microseconds("base_interval")(wire.retry_back_off, now, None)
    if (microseconds(wire.retry_back_off, "max_interval") or 0) < now:
        put_microseconds("max_interval")(wire.retry_back_off, BACK_OFF_GROWS * now, None)


def _put_timeout(message: Wire, now: int | None, _: object) -> None:
    put_microseconds("timeout")(message.route, now, None)


def _put_hedge(message: Wire, now: bool, _: object) -> None:
    message.route.hedge_policy.hedge_on_per_try_timeout = now


ROUTE: Shape[Route] = Shape(
    WireRoute,
    view_route,
    {
        "name": put_plain("name"),
        "prefix": _put_prefix,
        "path": _put_path,
        "method": _put_method,
        "clusters": _put_clusters,
        "timeout_us": _put_timeout,
        "retry": _put_retry,
        "hedge": _put_hedge,
    },
    {
        "a prefix or path": lambda route: route.prefix is not None or route.path is not None,
        "clusters": lambda route: bool(route.clusters and all(name for name, _ in route.clusters)),
    },
)


# ---- hosts and tables


def _put_domains(message: Wire, now: tuple[str, ...], _: object) -> None:
    message.domains[:] = now


def _put_routes(message: Wire, now: tuple[Route, ...], _: object) -> None:
    ROUTE.put_all(message.routes, now)


HOST: Shape[VirtualHost] = Shape(
    WireHost,
    lambda m: VirtualHost(m.name, tuple(m.domains), ROUTE.of_all(m.routes)),
    {"name": put_plain("name"), "domains": _put_domains, "routes": _put_routes},
    {"a name": lambda host: bool(host.name), "domains": lambda host: bool(host.domains)},
)


def _put_hosts(message: Wire, now: tuple[VirtualHost, ...], _: object) -> None:
    HOST.put_all(message.virtual_hosts, now)


TABLE: Shape[RouteTable] = Shape(
    RouteConfiguration,
    lambda m: RouteTable(m.name, HOST.of_all(m.virtual_hosts)),
    {"name": put_plain("name"), "hosts": _put_hosts},
    {"a name": lambda table: bool(table.name)},
)


# ---- listeners


def find_manager(message: Wire) -> Wire | None:
    """The Any that holds the HTTP connection manager: gRPC's, or the first in the filter chains."""
    if message.HasField("api_listener"):
        return message.api_listener.api_listener
    kind = HttpConnectionManager.DESCRIPTOR
    for chain in message.filter_chains:
        for one in chain.filters:
            if one.typed_config.Is(kind):
                return one.typed_config
    return None


def _unpacked(packed: Wire | None) -> Wire | None:
    manager = HttpConnectionManager()
    try:
        return manager if packed is not None and packed.Unpack(manager) else None
    except DecodeError:
        return None  # what cannot be read passes through as it is


def view_listener(message: Wire) -> Listener:
    manager = _unpacked(find_manager(message))
    named = manager is not None and manager.WhichOneof("route_specifier") == "rds"
    inline = manager is not None and manager.WhichOneof("route_specifier") == "route_config"
    return Listener(
        message.name,
        read_place(message.address) if message.HasField("address") else None,
        manager.rds.route_config_name if named and manager is not None else "",
        TABLE.of(manager.route_config) if inline and manager is not None else None,
    )


def _put_listening(message: Wire, now: Place | None, _: object) -> None:
    if now is None:
        message.ClearField("address")
    else:
        write_place(message.address, now)


def _manager(message: Wire) -> tuple[Wire, Wire]:
    """The Any, made if there is none, and a connection manager to change and put back."""
    packed = find_manager(message)
    if packed is None and message.HasField("address"):
        packed = message.filter_chains.add().filters.add(name=MANAGER).typed_config
    elif packed is None:
        packed = message.api_listener.api_listener
    manager = _unpacked(packed)
    if manager is None:
        if packed.type_url:
            raise CodecError(f"holds a {packed.type_url}, which has no routes to change")
        manager = HttpConnectionManager(stat_prefix=message.name)
        manager.http_filters.add(name=ROUTER).typed_config.Pack(Router(), URL)
    return packed, manager


def _put_routes_name(message: Wire, now: str, _: object) -> None:
    packed, manager = _manager(message)
    if now:
        manager.rds.route_config_name = now
        if manager.rds.config_source.WhichOneof("config_source_specifier") is None:
            manager.rds.config_source.ads.SetInParent()
            manager.rds.config_source.resource_api_version = V3
    else:
        manager.ClearField("rds")
    _pack(packed, manager)


def _put_table(message: Wire, now: RouteTable | None, _: object) -> None:
    packed, manager = _manager(message)
    if now is None:
        manager.ClearField("route_config")
    else:
        manager.route_config.CopyFrom(TABLE.message(now))
    _pack(packed, manager)


def _pack(packed: Wire, manager: Wire) -> None:
    packed.type_url, packed.value = URL + HttpConnectionManager.DESCRIPTOR.full_name, held(manager)


LISTENER: Shape[Listener] = Shape(
    WireListener,
    view_listener,
    {
        "name": put_plain("name"),
        "place": _put_listening,
        "table": _put_table,
        "routes": _put_routes_name,
    },
    {
        "a name": lambda listener: bool(listener.name),
        "routes or a table": lambda listener: bool(listener.routes) != (listener.table is not None),
    },
)


def read_routes(data: bytes) -> RouteTable:
    """The routes that these bytes of a `RouteConfiguration` tell; CodecError."""
    return TABLE.read(data)


def write_routes(table: RouteTable) -> bytes:
    """The bytes of a `RouteConfiguration`; CodecError."""
    return TABLE.write(table)


def read_listener(data: bytes) -> Listener:
    """What these bytes of a `Listener` tell; CodecError."""
    return LISTENER.read(data)


def write_listener(listener: Listener) -> bytes:
    """The bytes of a `Listener`; CodecError."""
    return LISTENER.write(listener)
