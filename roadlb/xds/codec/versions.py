"""The agreement's versions, settings and leases as resources of incremental ADS as it stands.

What a follower subscribes to, by type URL and name:

    STRUCT  settings             all settings by path, with a schema number
    STRUCT  prepared             the newest version prepared: its id, its leader, its parts' digest
    STRUCT  force, withdrawn     the version in force; one that will not be, and why
    PARTS   CLUSTER/frame        groups and drops of a cluster
    PARTS   CLUSTER/i-of-n       those of its endpoints whose names hash to bucket i, at most 64
    LEASES  the follower's `Ask` as a name (`ask_name`): the resource of that name is the answer,
                                 its `ttl` the lease

So an `Ask` is a subscription to a name that nobody else has, in place of the name before; a lease that is not
given is a removed resource, so that a server is never silent.  The ACK of the response that told `prepared`
is the follower's `Ack` of that version, its NACK the `Nack` or `Fenced` or, with the code NOT_WHOLE, no
verdict: the parts that `prepared` names did not come in time, or it is not newer.  A response with `prepared`
in it is answered only then, so other names go in responses of their own.  The endpoint resources are
`ClusterLoadAssignment`s, the others `Struct`s and a `Value`: no message of our own.

A drain changes one bucket and `prepared`, whatever the fleet's size.  A version is whole where the digest of
the parts held is the one that `prepared` tells; until then it waits, as parts may come in several responses.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from operator import is_
from types import MappingProxyType
from typing import Final, TypeAlias
from urllib.parse import parse_qsl, urlencode

from google.protobuf.struct_pb2 import Struct as WireStruct
from google.protobuf.struct_pb2 import Value as WireValue

from ...agreement.events import (
    Ask,
    Contents,
    Fenced,
    InForce,
    Lease,
    Nack,
    Prepare,
    Version,
    VersionId,
    Withdrawn,
)
from ...fleet.model import Cluster, Endpoint, Locality, LocalityGroup, Plain, settled
from ..messages import ErrorDetail
from ..resources import ENDPOINTS
from . import plain
from .assignment import AssignmentWriter, read_assignment, write_assignment
from .protos import CodecError, held, parsed

STRUCT: Final = "type.googleapis.com/google.protobuf.Struct"
LEASES: Final = "type.googleapis.com/google.protobuf.Value"
PARTS: Final = ENDPOINTS
SETTINGS, PREPARED, FORCE, WITHDRAWN, FRAME = "settings", "prepared", "force", "withdrawn", "frame"

REFUSED, FENCED, NOT_WHOLE = 3, 10, 14  # of a NACK; google.rpc: INVALID_ARGUMENT, ABORTED, UNAVAILABLE
FEATURE = "roadlb.agreement.v1"  # a client feature: tells a follower from a proxy
SCHEMA = 1
BUCKET_MOST = 64  # endpoints
BUCKET_MEAN = 32  # for which the number of buckets is chosen: then none of 512 overflows
KEEP_MEAN = (8, 48)  # as long as the mean lies between, the number stays as it was
BUCKETS_MOST = 1 << 12

Key: TypeAlias = tuple[str, str]  # type URL, name
Parts: TypeAlias = Mapping[Key, bytes]


@lru_cache(maxsize=1 << 15)
def _hash(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def _digest(type_url: str, name: str, body: bytes) -> int:
    """A part's share in the digest of all: 64 bits."""
    return int.from_bytes(blake2b(f"{type_url}\0{name}\0".encode() + body, digest_size=8).digest(), "big")


def digest(parts: Parts) -> str:
    """What tells a version's parts from any others, in whatever order they came."""
    return f"{sum(_digest(*key, body) for key, body in parts.items()) % 2**64:016x}"


# ---- writing


@dataclass(slots=True)
class _Bucket:
    writer: AssignmentWriter
    endpoints: tuple[Endpoint, ...] = ()
    body: bytes = b""


class VersionWriter:
    """The parts of successive versions; a bucket whose endpoints did not change is not encoded again."""

    def __init__(self) -> None:
        self._buckets: dict[str, list[_Bucket]] = {}
        self._frames: dict[str, tuple[Cluster, bytes]] = {}
        self._settings: tuple[Mapping[str, str], bytes] | None = None

    def write(self, contents: Contents) -> dict[Key, bytes]:
        """All parts; CodecError names what cannot be said."""
        if self._settings is None or self._settings[0] != contents.settings:
            self._settings = contents.settings, write_settings(contents.settings)
        parts: dict[Key, bytes] = {(STRUCT, SETTINGS): self._settings[1]}
        for name, cluster in contents.clusters.items():
            if name != cluster.name or not name:
                raise CodecError(f"cluster {cluster.name!r} stands under the name {name!r}: give it one name")
            parts[PARTS, f"{name}/{FRAME}"] = self._frame(cluster)
            buckets = self._spread(cluster)
            for i, bucket in enumerate(buckets):
                if bucket.endpoints:
                    parts[PARTS, f"{name}/{i}-of-{len(buckets)}"] = bucket.body
        for gone in self._buckets.keys() - contents.clusters.keys():
            del self._buckets[gone], self._frames[gone]
        return parts

    def _frame(self, cluster: Cluster) -> bytes:
        frame = Cluster(cluster.name, (), cluster.groups, cluster.drops, cluster.origin)
        before = self._frames.get(cluster.name)
        if before is None or before[0] != frame:
            before = self._frames[cluster.name] = frame, write_assignment(frame)
        return before[1]

    def _spread(self, cluster: Cluster) -> list[_Bucket]:
        before = self._buckets.get(cluster.name, [])
        told = spread(cluster.endpoints, len(before))
        if len(told) != len(before):
            before = [_Bucket(AssignmentWriter()) for _ in told]
        for bucket, endpoints in zip(before, told, strict=True):
            if bucket.endpoints != endpoints:
                told_of = Cluster(cluster.name, endpoints, _groups(endpoints))
                body = bucket.writer.write(told_of) if endpoints else b""
                bucket.endpoints, bucket.body = endpoints, body
        self._buckets[cluster.name] = before
        return before


def _groups(endpoints: tuple[Endpoint, ...]) -> tuple[LocalityGroup, ...]:
    """The wire numbers groups of one locality and priority by order: those before are told empty."""
    if not any(endpoint.part for endpoint in endpoints):
        return ()
    most: dict[tuple[Locality, int], int] = {}
    for e in endpoints:
        most[e.locality, e.priority] = max(e.part, most.get((e.locality, e.priority), 0))
    return tuple(LocalityGroup(*at, part) for at, parts in most.items() for part in range(parts + 1))


def spread(endpoints: Iterable[Endpoint], before: int = 0) -> list[tuple[Endpoint, ...]]:
    """Endpoints by bucket, at most 64 in each; `before`: the number of buckets so far, kept while it will do.

    All that is told of one name stands in one bucket.  CodecError if a name is told too often.
    """
    told = list(endpoints)
    count = before
    if not (before and (KEEP_MEAN[0] <= len(told) / before <= KEEP_MEAN[1] or before == 1)):
        count = 1
        while count * BUCKET_MEAN < len(told):
            count *= 2
    while True:
        buckets: list[list[Endpoint]] = [[] for _ in range(count)]
        for endpoint in told:
            buckets[_hash(endpoint.node.name) & count - 1].append(endpoint)
        if max(map(len, buckets)) <= BUCKET_MOST:
            return [tuple(bucket) for bucket in buckets]
        count *= 2
        if count > BUCKETS_MOST:
            raise CodecError(
                f"{len(told)} endpoints: more than {BUCKET_MOST} share a bucket; "
                "a name is told too often, or there are too many"
            )


def write_settings(settings: Mapping[str, str]) -> bytes:
    return _struct({"schema": float(SCHEMA), "settings": MappingProxyType(dict(settings))})


def write_prepared(prepare: Prepare, parts: Parts) -> bytes:
    """The resource `prepared` of a version with these parts."""
    return _struct(
        {
            "schema": float(SCHEMA),
            "leader": plain.of_whole(prepare.epoch),
            **_id(prepare.version.id),
            "meant": prepare.version.meant,
            "digest": digest(parts),
        }
    )


def write_force(message: InForce) -> bytes:
    return _struct({"leader": plain.of_whole(message.epoch), **_id(message.id)})


def write_withdrawn(message: Withdrawn) -> bytes:
    return _struct({"leader": plain.of_whole(message.epoch), **_id(message.id), "reason": message.reason})


def write_lease(message: Lease) -> bytes:
    """The body of the resource that `ask_name` names; its `ttl_us` is to be `lease_us` too."""
    value = WireValue()
    plain.write_value(
        value,
        {
            "leader": plain.of_whole(message.epoch),
            **_id(message.id),
            "life": plain.of_whole(message.life),
            "ask": plain.of_whole(message.number),
            "lease_us": plain.of_whole(message.lease_us),
        },
    )
    return held(value)


def ask_name(ask: Ask) -> str:
    """The name that asks."""
    return "lease?" + urlencode(
        {"life": ask.life, "ask": ask.number, "epoch": ask.epoch, "force": ask.force, "told": ask.told}
    )


def read_ask(name: str) -> Ask:
    """CodecError for a name that asks nothing."""
    try:
        path, _, query = name.partition("?")
        said = dict(parse_qsl(query, strict_parsing=True, max_num_fields=8))
        if path != "lease" or any(not v.replace(".", "").isascii() for v in said.values()):
            raise ValueError(path)
        force, told = (VersionId(*map(_digits, said[key].split("."))) for key in ("force", "told"))
        return Ask(_digits(said["life"]), _digits(said["ask"]), _digits(said["epoch"]), force, told)
    except (KeyError, TypeError, ValueError) as e:
        raise CodecError(f"{name:.200}: is no `lease?life=&ask=&epoch=&force=&told=`: {e}") from None


def write_answer(answer: Nack | Fenced) -> ErrorDetail:
    """The detail of the NACK that says it."""
    if isinstance(answer, Nack):
        return ErrorDetail(REFUSED, answer.reason)
    return ErrorDetail(FENCED, f"fenced by epoch {answer.epoch}")


def read_answer(id: VersionId, detail: ErrorDetail) -> Nack | Fenced | None:
    """What a NACK of `prepared` says of the version of this id; None: no verdict."""
    if detail.code == NOT_WHOLE:
        return None
    if detail.code == FENCED and (epoch := detail.message.rpartition(" ")[2]).isascii() and epoch.isdigit():
        return Fenced(int(epoch[:20]))
    return Nack(id, detail.message)


def _digits(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 20:
        raise ValueError(f"{text!r:.40} is not a whole number")
    return int(text)


def _id(id: VersionId) -> dict[str, Plain]:
    return {"epoch": plain.of_whole(id.epoch), "number": plain.of_whole(id.number)}


def _struct(said: Mapping[str, Plain]) -> bytes:
    wire = WireStruct()
    plain.write_struct(wire, said)
    return held(wire)


# ---- reading


@dataclass(frozen=True, slots=True)
class Prepared:
    """`prepared` as read: the version but for its contents, which are whole when the digest fits."""

    leader: int
    id: VersionId
    meant: str
    digest: str


def read_prepared(body: bytes) -> Prepared:
    said = _read(body, PREPARED)
    return Prepared(_whole(said, "leader"), _read_id(said), _text(said, "meant"), _text(said, "digest"))


def read_force(body: bytes) -> InForce:
    said = _read(body, FORCE, schema=False)
    return InForce(_whole(said, "leader"), _read_id(said))


def read_withdrawn(body: bytes) -> Withdrawn:
    said = _read(body, WITHDRAWN, schema=False)
    return Withdrawn(_whole(said, "leader"), _read_id(said), _text(said, "reason"))


def read_lease(body: bytes) -> Lease:
    said = plain.read_value(parsed(WireValue, body))
    if not isinstance(said, Mapping):
        raise CodecError("lease: the value must be a struct")
    return Lease(
        _whole(said, "leader"),
        _read_id(said),
        _whole(said, "life"),
        _whole(said, "ask"),
        _whole(said, "lease_us"),
    )


def read_settings(body: bytes) -> Mapping[str, str]:
    said = _read(body, SETTINGS).get("settings")
    if not isinstance(said, Mapping) or not all(isinstance(text, str) for text in said.values()):
        raise CodecError("settings: must be texts by path")
    return MappingProxyType({path: str(text) for path, text in said.items()})


class PartsReader:
    """Contents from parts; what did not change is not read again, and comes as the same objects."""

    def __init__(self) -> None:
        self._read: dict[Key, tuple[bytes, Cluster]] = {}
        self._whole: dict[str, tuple[list[Cluster], Cluster]] = {}
        self._settings: tuple[bytes, Mapping[str, str]] | None = None

    def contents(self, parts: Parts) -> Contents:
        """CodecError names the resource that cannot be read, or the one that is missing."""
        body = parts.get((STRUCT, SETTINGS))
        if body is None:
            raise CodecError("settings: the resource is missing")
        if self._settings is None or self._settings[0] != body:
            self._settings = body, read_settings(body)
        self._read = {key: self._part(key, parts[key]) for key in sorted(parts) if key[0] == PARTS}
        clusters: dict[str, list[Cluster]] = {}
        for _, name in self._read:
            clusters.setdefault(name.rpartition("/")[0], [])
        for (_, name), (_, part) in self._read.items():
            cluster, _, which = name.rpartition("/")
            clusters[cluster].insert(0 if which == FRAME else len(clusters[cluster]), part)
            if (PARTS, f"{cluster}/{FRAME}") not in self._read:
                raise CodecError(f"{cluster}/{FRAME}: the resource is missing")
        self._whole = {name: self._cluster(name, found) for name, found in clusters.items()}
        return Contents(
            self._settings[1], MappingProxyType({name: whole for name, (_, whole) in self._whole.items()})
        )

    def _part(self, key: Key, body: bytes) -> tuple[bytes, Cluster]:
        seen = self._read.get(key)
        if seen is not None and seen[0] == body:
            return seen
        try:
            part = read_assignment(body)
        except CodecError as e:
            raise CodecError(f"{key[1]}: {e}") from e
        if part.name != key[1].rpartition("/")[0]:
            raise CodecError(f"{key[1]}: calls itself {part.name!r}")
        return body, part

    def _cluster(self, name: str, found: list[Cluster]) -> tuple[list[Cluster], Cluster]:
        """A cluster from its frame and its buckets."""
        seen = self._whole.get(name)
        if seen is not None and len(seen[0]) == len(found) and all(map(is_, seen[0], found)):
            return seen
        frame, *buckets = found
        endpoints = tuple(endpoint for bucket in buckets for endpoint in bucket.endpoints)
        return found, settled(Cluster(name, endpoints, frame.groups, frame.drops, frame.origin))


def read_version(prepared: Prepared, parts: Parts, reader: PartsReader) -> Prepare | None:
    """The message that `prepared` and these parts are; None while the parts are not all there."""
    if digest(parts) != prepared.digest:
        return None
    return Prepare(prepared.leader, Version(prepared.id, reader.contents(parts), prepared.meant))


def _read(body: bytes, what: str, schema: bool = True) -> Mapping[str, Plain]:
    said = plain.read_struct(parsed(WireStruct, body))
    if schema and plain.whole(said.get("schema")) != SCHEMA:
        raise CodecError(f"{what}: schema {said.get('schema')!r}; this program knows {SCHEMA}, update it")
    return said


def _read_id(said: Mapping[str, Plain]) -> VersionId:
    return VersionId(_whole(said, "epoch"), _whole(said, "number"))


def _whole(said: Mapping[str, Plain], key: str) -> int:
    value = said.get(key)
    found = plain.whole(value)
    if found < 0 or not found and value not in (0.0, "0"):
        raise CodecError(f"{key}: {value!r:.60} must be a whole number from 0")
    return found


def _text(said: Mapping[str, Plain], key: str) -> str:
    value = said.get(key)
    if not isinstance(value, str):
        raise CodecError(f"{key}: {value!r:.60} must be a text")
    return value
