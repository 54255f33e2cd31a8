"""The platform's discovery lists to and from clusters: whole lists and deltas, as JSON already read.

The form is the one that `net/discovery` takes: `{"generation", "reset", "instances": [...]}`.  A key of an
instance that nobody here knows is kept as metadata under `EXTRA` and told again.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from types import MappingProxyType

from .diff import ClusterChange
from .model import NO_METADATA, Cluster, Endpoint, Lifecycle, Locality, NodeId, Picture, Plain

EXTRA = "roadlb.platform"
KNOWN = frozenset(
    ("instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs")
)
LIFECYCLES = {lifecycle.value: lifecycle for lifecycle in Lifecycle}


class MalformedList(ValueError):
    """A list that is not what the platform's protocol describes; the text names the key and the value."""


@dataclass(frozen=True, slots=True)
class Line:
    """One message of discovery: a whole list (`reset`) or the entries changed, in their order."""

    generation: int
    reset: bool
    endpoints: tuple[Endpoint, ...]


def read_line(raw: object) -> Line:
    """Check a whole message before any of it is believed; MalformedList."""
    if not isinstance(raw, Mapping):
        raise MalformedList(f"{raw!r:.80}: must be an object with generation, reset and instances")
    generation, reset, entries = raw.get("generation"), raw.get("reset"), raw.get("instances")
    if not isinstance(generation, int) or isinstance(generation, bool) or generation < 0:
        raise MalformedList(f"generation: {generation!r} must be a whole number from 0")
    if not isinstance(reset, bool):
        raise MalformedList(f"reset: {reset!r} must be true or false")
    if not isinstance(entries, list):
        raise MalformedList(f"instances: {entries!r:.80} must be a list")
    return Line(
        generation, reset, tuple(read_instance(entry, f"instances[{i}]") for i, entry in enumerate(entries))
    )


def read_instance(entry: object, key: str = "instance") -> Endpoint:
    """One entry; `key` is where it stands, for the error's text.  A removed one needs only its id."""
    if not isinstance(entry, Mapping):
        raise MalformedList(f"{key}: {entry!r:.80} must be an object")
    name, lifecycle = entry.get("instanceId"), LIFECYCLES.get(str(entry.get("lifecycle")))
    if not isinstance(name, str) or not name:
        raise MalformedList(f"{key}.instanceId: {name!r} must be a name")
    if lifecycle is None:
        raise MalformedList(
            f"{key}.lifecycle: {entry.get('lifecycle')!r} must be one of {', '.join(LIFECYCLES)}"
        )
    started = _whole(entry, "startedAtMs", key)
    weight = entry.get("weight", 1.0)
    if not isinstance(weight, int | float) or not math.isfinite(weight):
        raise MalformedList(f"{key}.weight: {weight!r} must be a finite number")
    host, port = "", 0
    if lifecycle is not Lifecycle.REMOVED or "hostPort" in entry:
        host, port = read_host_port(entry.get("hostPort"), f"{key}.hostPort")
    extra = {str(k): plain(v) for k, v in entry.items() if k not in KNOWN}
    return Endpoint(
        NodeId(name, max(0, started)),
        host,
        port,
        hall(_text(entry, "zone", key)),
        lifecycle,
        weight=float(weight),
        machine=_text(entry, "machineType", key),
        cell=_whole(entry, "cell", key),
        metadata=MappingProxyType({EXTRA: MappingProxyType(extra)}) if extra else NO_METADATA,
    )


@lru_cache(maxsize=1024)
def hall(zone: str) -> Locality:
    """The locality of a zone: one object for all who stand there, which `by_group` is fast with."""
    return Locality(zone=zone)


def _whole(entry: Mapping[str, object], field: str, key: str) -> int:
    value = entry.get(field) or 0
    if not isinstance(value, int | float) or value != value or value in (math.inf, -math.inf):
        raise MalformedList(f"{key}.{field}: {value!r} must be a whole number")
    return int(value)


def _text(entry: Mapping[str, object], field: str, key: str) -> str:
    value = entry.get(field)
    if value is not None and not isinstance(value, str):
        raise MalformedList(f"{key}.{field}: {value!r} must be a name")
    return value or ""


def read_host_port(text: object, key: str) -> tuple[str, int]:
    """`host:port`, an IPv6 host in brackets; the host comes without them."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise MalformedList(f"{key}: {text!r} must be host:port")
    return host.removeprefix("[").removesuffix("]"), int(port)


def write_host_port(host: str, port: int) -> str:
    """The same as a text."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def plain(value: object) -> Plain:
    """JSON as read, made immutable; numbers become floats, as they would on the way through protobuf."""
    if isinstance(value, Mapping):
        return MappingProxyType({str(key): plain(item) for key, item in value.items()})
    if isinstance(value, list | tuple):
        return tuple(plain(item) for item in value)
    if value is None or isinstance(value, bool | str):
        return value
    if isinstance(value, int | float):
        return float(value)
    raise TypeError(f"{value!r:.80}: not JSON")


def json_of(value: Plain) -> object:
    """Plain data as JSON's own types; whole numbers as integers."""
    if isinstance(value, Mapping):
        return {key: json_of(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return [json_of(item) for item in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def take(held: Cluster, line: Line) -> Cluster:
    """The cluster after this message; whether it may replace the held one is the caller's matter.

    A whole list counts as it stands, also where it tells a node twice.  In a delta an entry takes the place
    of all that was told of its id, whatever the start; `removed` takes the id away.
    """
    if line.reset:
        return Cluster(held.name, line.endpoints, held.groups, held.drops, held.origin)
    told = {endpoint.node.name: endpoint for endpoint in line.endpoints}
    names, out = frozenset(told), []
    for endpoint in held.endpoints:
        name = endpoint.node.name
        if name not in names:
            out.append(endpoint)
        elif name in told:
            out.append(told.pop(name))
    kept = (endpoint for endpoint in (*out, *told.values()) if endpoint.lifecycle is not Lifecycle.REMOVED)
    return Cluster(held.name, tuple(kept), held.groups, held.drops, held.origin)


def take_into(picture: Picture, cluster: str, line: Line) -> Picture:
    """The picture after this message about one of its clusters; the others are shared."""
    held = picture.clusters.get(cluster) or Cluster(cluster)
    return Picture(line.generation, MappingProxyType({**picture.clusters, cluster: take(held, line)}))


def write_instance(endpoint: Endpoint) -> dict[str, object]:
    """One entry.  Health, priority and other metadata have no place in the platform's form."""
    entry: dict[str, object] = {"instanceId": endpoint.node.name}
    if endpoint.host:
        entry["hostPort"] = write_host_port(endpoint.host, endpoint.port)
    entry |= {
        "zone": endpoint.locality.zone,
        "machineType": endpoint.machine,
        "cell": endpoint.cell,
        "lifecycle": endpoint.lifecycle.value,
        "weight": endpoint.weight,
        "startedAtMs": endpoint.node.started_ms,
    }
    return entry | {key: json_of(value) for key, value in endpoint.metadata.get(EXTRA, {}).items()}


def write_whole(cluster: Cluster, generation: int) -> dict[str, object]:
    """The whole list.  Entries that are removed are left out, as only changes tell them."""
    return {
        "generation": generation,
        "reset": True,
        "instances": [
            write_instance(endpoint)
            for endpoint in cluster.endpoints
            if endpoint.lifecycle is not Lifecycle.REMOVED
        ],
    }


def write_delta(change: ClusterChange, generation: int) -> dict[str, object]:
    """What to tell one who has the state before `change`; a restarted node is one entry, its new start."""
    told = [*change.added, *(new for _, new in change.changed)]
    names = {endpoint.node.name for endpoint in told}
    gone = dict.fromkeys(e.node.name for e in change.removed if e.node.name not in names)
    return {
        "generation": generation,
        "reset": False,
        "instances": [
            *({"instanceId": name, "lifecycle": Lifecycle.REMOVED.value} for name in gone),
            *(write_instance(endpoint) for endpoint in told),
        ],
    }
