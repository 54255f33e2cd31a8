"""Versions as the store keeps them, and as followers are offered them: both made of the same parts."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from ..agreement.events import Contents, Prepare, Version, VersionId
from ..fleet.model import Cluster
from ..store.records import Record, pack, unpack
from ..xds.codec.protos import CodecError
from ..xds.codec.versions import PREPARED, STRUCT, Key, PartsReader, VersionWriter, write_prepared
from ..xds.resources import Resource
from .follower_exchange import Offer

KIND = "version"
SCHEMA = 1
BYTES_MOST = 1_400_000  # of one value: a store as it comes takes requests of 1.5 MiB


class Books:
    """What did not change from one version to the next is encoded once, for the store and all followers."""

    def __init__(self) -> None:
        self._writer, self._reader = VersionWriter(), PartsReader()
        self._made: tuple[Version, dict[Key, bytes]] | None = None
        self._offers: dict[tuple[int, VersionId], Offer] = {}
        self._resources: dict[Key, Resource] = {}

    def write(self, version: Version) -> bytes:
        """CodecError if it cannot be said, or does not fit into the store."""
        parts = self._parts(version)
        said: dict[str, object] = {
            "kind": KIND,
            "schema": SCHEMA,
            "id": [version.id.epoch, version.id.number],
            "meant": version.meant,
            "names": [list(key) for key in parts],
        }
        made = zlib.compress(pack(said, tuple(parts.values())), 1)
        if len(made) > BYTES_MOST:
            raise CodecError(f"version {version.id}: {len(made)} bytes, the store takes {BYTES_MOST}")
        return made

    def canonical(self, contents: Contents) -> Contents:
        """As it comes back from the store or the wire: so two services tell the same list in one form."""
        read = self._reader.contents(self._writer.write(contents))
        return Contents(read.settings, {name: _in_order(cluster) for name, cluster in read.clusters.items()})

    def read(self, data: bytes) -> Version:
        """CodecError for what is no version, or one of a newer release."""
        version = read_version_record(data, self._reader)
        clusters = {name: _in_order(c) for name, c in version.contents.clusters.items()}
        return replace(version, contents=Contents(version.contents.settings, clusters))

    def offer(self, prepare: Prepare) -> Offer:
        """The same object for all followers."""
        key = prepare.epoch, prepare.version.id
        if key not in self._offers:
            parts, number = self._parts(prepare.version), prepare.version.id.number
            resources = dict[Key, Resource]()
            for of, body in parts.items():
                before = self._resources.get(of)
                resources[of] = (
                    before if before is not None and before.body == body else Resource.make(*of, body, number)
                )
            self._resources = resources
            told = Resource.make(STRUCT, PREPARED, write_prepared(prepare, parts), number)
            self._offers = {
                **dict(list(self._offers.items())[-3:]),
                key: Offer(prepare.version.id, resources, told),
            }
        return self._offers[key]

    def _parts(self, version: Version) -> Mapping[Key, bytes]:
        if self._made is None or self._made[0] is not version:
            self._made = version, self._writer.write(version.contents)
        return self._made[1]


def _in_order(cluster: Cluster) -> Cluster:
    """By name: the buckets' order depends on how many there were before."""
    return replace(
        cluster,
        endpoints=tuple(sorted(cluster.endpoints, key=lambda e: (e.node, e.locality, e.priority, e.part))),
    )


def read_version_record(data: bytes, reader: PartsReader) -> Version:
    """As `Books.read`."""
    try:
        (record,) = unpack(zlib.decompress(data))
        if not isinstance(record, Record) or record.said["kind"] != KIND:
            raise ValueError("it is no record of one")
        if record.said["schema"] != SCHEMA:
            raise ValueError(f"schema {record.said['schema']!r}, this program knows {SCHEMA}: update it")
        said: dict[str, Any] = record.said
        epoch, number = said["id"]
        parts = {
            (str(of), str(name)): body for (of, name), body in zip(said["names"], record.blobs, strict=True)
        }
        return Version(VersionId(int(epoch), int(number)), reader.contents(parts), str(said["meant"]))
    except (KeyError, TypeError, ValueError, zlib.error) as e:
        raise CodecError(f"version in the store: {e}") from None
