"""What operators' commands read and write: versions, history and orders, straight at the store.

It needs no control service to read; an order is carried out by whoever leads, and answered in the store.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

from ..agreement import rules
from ..agreement.events import Contents, Version
from ..control.settings import AgreementSettings
from ..etcd.client import Etcd
from ..etcd.model import Pair, prefix_end
from ..fleet.model import Endpoint
from ..xds.codec.protos import CodecError
from .books import Books
from .history import ANSWERS, HISTORY, ORDERS, Line, Order, line_key, read_line, write_order
from .keys import Keys

ORDER_TTL_S = 60  # an order that nobody has carried out by then is gone
LOOK_S = 0.05  # between two looks for an answer


class ArchiveError(Exception):
    """What cannot be shown or done; the text is for a person."""


@dataclass(frozen=True, slots=True)
class Seen:
    """The store at one revision.  `holder`: what the leader says of itself, empty if nobody leads."""

    revision: int
    holder: Mapping[str, str]
    force: Version | None
    prepared: Version | None
    lines: tuple[Line, ...]  # from the oldest on


class Archive:
    """One fleet's keys in the store; `close` when done.  StoreError if the store does not answer."""

    def __init__(self, settings: AgreementSettings) -> None:
        self._store, self._keys = Etcd(settings.store, settings.store_call_s), Keys(settings.prefix)
        self._books = Books()

    async def close(self) -> None:
        await self._store.close()

    async def read(self) -> Seen:
        prefix = self._keys[""]
        got = await self._store.get(prefix, prefix_end(prefix))
        pairs = {pair.key.decode(errors="replace").removeprefix(prefix.decode()): pair for pair in got.pairs}
        seat = pairs.get("seat")
        try:
            holder = json.loads(seat.value) if seat is not None else {}
        except ValueError:
            holder = {}
        lines = (
            read_line(name, pair.value) for name, pair in sorted(pairs.items()) if name.startswith(HISTORY)
        )
        return Seen(
            got.revision,
            holder,
            self._version(pairs.get("force")),
            self._version(pairs.get("prepared")),
            tuple(line for line in lines if line is not None),
        )

    def find(self, seen: Seen, name: str) -> Version:
        """A version by `force`, `prepared`, its `epoch.number`, or its line in the history as `#LINE`."""
        named = {"force": seen.force, "prepared": seen.prepared}
        if name in named:
            if (version := named[name]) is None:
                raise ArchiveError(f"{name}: there is none")
            return version
        for version in named.values():
            if version is not None and str(version.id) == name:
                return version
        for line in reversed(seen.lines):
            if line.record and name in (line.version, f"#{line.number}"):
                return self._read(line.record)
        raise ArchiveError(f"{name}: is no version here; `roadlb versions history` lists those that are kept")

    async def order(self, order: Order, wait_s: float) -> str:
        """What became of it: empty if it was carried out, else why not."""
        name, lease = uuid4().hex, (await self._store.grant(ORDER_TTL_S)).lease
        await self._store.put(self._keys[ORDERS + name], write_order(order), lease)
        try:
            async with asyncio.timeout(wait_s):
                while not (found := (await self._store.get(self._keys[ANSWERS + name])).pairs):
                    await asyncio.sleep(LOOK_S)
            return found[0].value.decode(errors="replace")
        except TimeoutError:
            raise ArchiveError(
                f"no leader has carried it out in {wait_s:g} s, and none will: ask "
                "`roadlb agreement status` who leads"
            ) from None
        finally:
            await self._store.revoke(lease)

    def _version(self, pair: Pair | None) -> Version | None:
        return self._read(pair.value) if pair is not None else None

    def _read(self, record: bytes) -> Version:
        try:
            return self._books.read(record)
        except CodecError as e:
            raise ArchiveError(str(e)) from None


# As JSON's own types


def shown(version: Version) -> dict[str, Any]:
    """A version in full."""
    return {
        "version": str(version.id),
        "meant": version.meant,
        "settings": dict(version.contents.settings),
        "clusters": {
            name: [_node(endpoint) for endpoint in cluster.endpoints]
            for name, cluster in version.contents.clusters.items()
        },
    }


def shown_line(line: Line) -> dict[str, Any]:
    return {
        "line": line.number,
        "at_ms": line.at_ms,
        "word": line.word,
        "version": line.version,
        "by": line.by,
        "text": line.text,
        "kept": bool(line.record),
    }


def differences(before: Contents, after: Contents) -> list[dict[str, str]]:
    """Each key that differs: what it was and is (empty: absent), and whether the change narrows or grants."""
    told = rules.split(before, after)
    kinds = {**dict.fromkeys(told.narrowing, "narrows"), **dict.fromkeys(told.granting, "grants")}

    def kind(*keys: str) -> str:
        found = dict.fromkeys(
            kinds[key] for key in kinds if key in keys or key.startswith(tuple(one + "." for one in keys))
        )
        return " and ".join(found) or "free"

    old, new = before.settings, after.settings
    rows = [
        {
            "key": path,
            "before": old.get(path, ""),
            "after": new.get(path, ""),
            "kind": kind(path, *(s.key for s in _named(before, after, path))),
        }
        for path in dict.fromkeys((*old, *new))
        if old.get(path) != new.get(path)
    ]
    for name in dict.fromkeys((*before.clusters, *after.clusters)):
        was, is_ = _texts(before, name), _texts(after, name)
        rows += [
            {
                "key": f"list.{name}.{node}",
                "before": was.get(node, ""),
                "after": is_.get(node, ""),
                "kind": kind(f"list.{name}.{node}"),
            }
            for node in dict.fromkeys((*was, *is_))
            if was.get(node) != is_.get(node)
        ]
    return rows


def _named(before: Contents, after: Contents, path: str) -> Iterator[rules.Setting]:
    """The table names a class or customer where the path has a number."""
    for contents in (before, after):
        yield from (s for s in rules.granting(contents.settings).values() if s.path == path)


def _texts(contents: Contents, cluster: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for endpoint in contents.clusters[cluster].endpoints if cluster in contents.clusters else ():
        text = ", ".join(
            f"{key} {value}" for key, value in _node(endpoint).items() if key != "node" and value != ""
        )
        name = endpoint.node.name
        found[name] = f"{found[name]}; {text}" if name in found else text
    return found


def _node(endpoint: Endpoint) -> dict[str, Any]:
    return {
        "node": endpoint.node.name,
        "started_ms": endpoint.node.started_ms,
        "address": f"{endpoint.host}:{endpoint.port}",
        "hall": endpoint.locality.zone,
        "lifecycle": endpoint.lifecycle.value,
        "health": endpoint.health.name.lower(),
        "weight": endpoint.weight,
    }


__all__ = ["Archive", "ArchiveError", "Seen", "differences", "line_key", "shown", "shown_line"]
