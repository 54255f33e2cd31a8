"""Resources with versions, and snapshots: all that is published at one moment, immutable.

A version is `G.D`: the generation with which this body came first, in 20 digits so that versions sort, and
the first 16 hex digits of the body's SHA-256.  Who shows a version shows how new a picture it has seen; two
versions with the same digest are the same body, whichever instance stamped them.

A snapshot shares with the one before it all that did not change: bodies, whole collections, and with them
what streams remember of them.  A collection knows which names were touched in its last steps, so that the
difference to any recent one costs what changed, not what there is.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field, replace
from hashlib import sha256
from types import MappingProxyType
from typing import Final

CLUSTER: Final = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
ENDPOINTS: Final = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
LISTENER: Final = "type.googleapis.com/envoy.config.listener.v3.Listener"
ROUTE: Final = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
TYPES: Final = (CLUSTER, ENDPOINTS, LISTENER, ROUTE)

GENERATION_DIGITS = 20  # holds any 64-bit generation
DIGEST_DIGITS = 16  # 64 bits: among a million bodies two agree with a chance of 3e-8
STEPS_KEPT = 64  # at ten changes a second: a stream 6 s behind still pays for changes only
FORMER_KEPT = 64  # collections, shared by all streams: 3 MB with 1,000 resources in each
TOUCHED_MOST = 10_000  # names in one step; a larger step is cheaper to compare as a whole

_VERSION = re.compile(rf"([0-9]{{{GENERATION_DIGITS}}})\.([0-9a-f]{{{DIGEST_DIGITS}}})")


def stamp(generation: int, digest: str) -> str:
    """The version of a generation and a digest."""
    if not 0 <= generation < 10**GENERATION_DIGITS:
        raise ValueError(f"generation: {generation!r} must be a number of at most {GENERATION_DIGITS} digits")
    return f"{generation:0{GENERATION_DIGITS}d}.{digest}"


def generation_of(version: str) -> int:
    """The generation that a version shows; 0 for another server's versions, which show none."""
    found = _VERSION.fullmatch(version)
    return int(found[1]) if found else 0


def digest_of(version: str) -> str:
    """The digest in a version; another server's version stands for itself."""
    found = _VERSION.fullmatch(version)
    return found[2] if found else version


@dataclass(frozen=True, slots=True)
class Resource:
    """One serialised message.

    `ttl_us`: a subscriber that knows TTLs drops the resource unless it hears of it within this time; None:
    keeps it.  An empty body, in a response only, is a heartbeat: it prolongs the TTL and changes nothing.
    """

    type_url: str
    name: str
    version: str
    body: bytes
    ttl_us: int | None = None

    @classmethod
    def make(
        cls, type_url: str, name: str, body: bytes, generation: int, ttl_us: int | None = None
    ) -> Resource:
        """The resource with the version that its body and its generation give it."""
        if not name or name == "*":
            raise ValueError(f"name: {name!r} of a {type_url} must be neither empty nor the wildcard")
        if not body:
            raise ValueError(f"body: that of {name!r} is empty, which would read as a heartbeat")
        if ttl_us is not None and ttl_us <= 0:
            raise ValueError(f"ttl_us: {ttl_us!r} of {name!r} must be positive, or None for no TTL")
        digest = sha256(body).hexdigest()[:DIGEST_DIGITS]
        return cls(type_url, name, stamp(generation, digest), body, ttl_us)

    def same(self, other: Resource | None) -> bool:
        """Whether a subscriber that has the other has nothing to learn from this one."""
        return self is other or (
            other is not None
            and digest_of(self.version) == digest_of(other.version)
            and self.ttl_us == other.ttl_us
        )

    def heartbeat(self) -> Resource:
        """The resource without its body."""
        return replace(self, body=b"")


def _part(resource: Resource) -> int:
    """A resource's part of its collection's digest: 64 bits of its name, its body's digest and its TTL."""
    text = f"{resource.name}\0{digest_of(resource.version)}\0{resource.ttl_us}"
    return int.from_bytes(sha256(text.encode()).digest()[:8], "big")


def digest_with(collection: Collection, others: Iterable[Resource]) -> str:
    """The digest of a collection together with resources that are not in it."""
    total = collection.total + sum(_part(resource) for resource in others)
    return f"{total % 2**64:0{DIGEST_DIGITS}x}"


class _Line:
    """Identity of a chain of collections that know their steps."""

    __slots__ = ()


@dataclass(frozen=True, slots=True, eq=False)
class Collection:
    """All resources of one type in a snapshot.  Two of them are compared by `touched_since`.

    `version` is that of the type as a whole; `resources` are in the order of their names, one tuple for all
    streams; `shortest_ttl_us` is the least TTL among them, None if none has one.
    """

    type_url: str
    version: str = ""
    by_name: Mapping[str, Resource] = field(default_factory=lambda: MappingProxyType({}))
    total: int = 0  # sum of the parts, modulo 2**64: updated by what changes
    shortest_ttl_us: int | None = None
    resources: tuple[Resource, ...] = ()
    steps: tuple[frozenset[str], ...] = ()  # names touched by the last steps, the newest last
    serial: int = 0
    line: _Line = field(default_factory=_Line)

    def touched_since(self, old: Collection) -> Set[str]:
        """Names that may differ from the older collection, at the cost of the steps between, if known."""
        if old is self:
            return frozenset()
        behind = self.serial - old.serial
        if old.line is self.line and 0 <= behind <= len(self.steps):
            return frozenset().union(*self.steps[len(self.steps) - behind :])
        return {
            name
            for name in self.by_name.keys() | old.by_name.keys()
            if self.by_name.get(name) is not old.by_name.get(name)
        }

    def step(self, generation: int, changes: Mapping[str, Resource | None]) -> Collection:
        """The next collection: resources by name, None for those that are gone; itself if nothing changes."""
        real = {name: new for name, new in changes.items() if not _unchanged(self.by_name.get(name), new)}
        if not real:
            return self
        by_name, total = dict(self.by_name), self.total
        for name, new in real.items():
            if (old := by_name.pop(name, None)) is not None:
                total -= _part(old)
            if new is not None:
                by_name[name] = new
                total += _part(new)
        known = len(real) <= TOUCHED_MOST
        steps = (*self.steps, frozenset(real))[-STEPS_KEPT:] if known else ()
        return Collection(
            self.type_url,
            stamp(generation, f"{total % 2**64:0{DIGEST_DIGITS}x}"),
            MappingProxyType(by_name),
            total % 2**64,
            min((r.ttl_us for r in by_name.values() if r.ttl_us is not None), default=None),
            tuple(by_name[name] for name in sorted(by_name)),
            steps,
            self.serial + 1,
            self.line if known else _Line(),
        )


def _unchanged(old: Resource | None, new: Resource | None) -> bool:
    return old is new or (old is not None and new is not None and new.same(old))


@dataclass(frozen=True, slots=True)
class Difference:
    """One type in the newer snapshot: its new and changed resources, and names that are gone."""

    changed: tuple[Resource, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Snapshot:
    """All resources at one generation.  A later one of the same generation holds later decisions on it.

    `former` are the collections before, of all types, the newest last: who comes back with one of their
    versions is known to have just these resources.
    """

    generation: int
    collections: Mapping[str, Collection]
    former: tuple[Collection, ...] = ()

    @classmethod
    def empty(cls, generation: int = 0) -> Snapshot:
        """Nothing of any type."""
        return cls(
            generation,
            MappingProxyType(
                {type_url: Collection(type_url, stamp(generation, "0" * DIGEST_DIGITS)) for type_url in TYPES}
            ),
        )

    @classmethod
    def of(cls, generation: int, resources: Iterable[Resource], before: Snapshot | None = None) -> Snapshot:
        """Exactly these resources; what is the same in `before` is shared with it and keeps its version."""
        before = before if before is not None else cls.empty(generation)
        told: dict[str, dict[str, Resource]] = {type_url: {} for type_url in TYPES}
        for resource in resources:
            if told[_known(resource.type_url)].setdefault(resource.name, resource) is not resource:
                raise ValueError(f"resources: {resource.name!r} is told twice as a {resource.type_url}")
        gone = [
            (type_url, name)
            for type_url in TYPES
            for name in before.collections[type_url].by_name
            if name not in told[type_url]
        ]
        return before.next(generation, (r for group in told.values() for r in group.values()), gone)

    def next(
        self, generation: int, changed: Iterable[Resource] = (), removed: Iterable[tuple[str, str]] = ()
    ) -> Snapshot:
        """This snapshot with some resources new or changed, and some (type URL, name) removed."""
        if generation < self.generation:
            raise ValueError(f"generation: {generation} is older than {self.generation}; go on from it")
        steps: dict[str, dict[str, Resource | None]] = {}
        for type_url, name in removed:
            steps.setdefault(_known(type_url), {})[name] = None
        for resource in changed:
            steps.setdefault(_known(resource.type_url), {})[resource.name] = resource
        collections = {
            type_url: collection.step(generation, steps.get(type_url, {}))
            for type_url, collection in self.collections.items()
        }
        left = [old for type_url, old in self.collections.items() if collections[type_url] is not old]
        return Snapshot(generation, MappingProxyType(collections), (*self.former, *left)[-FORMER_KEPT:])

    def find(self, type_url: str, version: str) -> Collection | None:
        """The collection whose version has this one's digest, whoever stamped it; None if it is not known."""
        digest = digest_of(version)
        return next(
            (
                collection
                for collection in (self.collections[type_url], *reversed(self.former))
                if collection.type_url == type_url and digest_of(collection.version) == digest
            ),
            None,
        )

    def __iter__(self) -> Iterator[Resource]:
        """Every resource, type by type."""
        return (resource for collection in self.collections.values() for resource in collection.resources)

    def since(self, old: Snapshot) -> dict[str, Difference]:
        """What differs from an older snapshot, by type URL; types without a difference are left out."""
        found = {}
        for type_url, now in self.collections.items():
            before = old.collections[type_url]
            names = [
                name
                for name in sorted(now.touched_since(before))
                if not _unchanged(before.by_name.get(name), now.by_name.get(name))
            ]
            if names:
                found[type_url] = Difference(
                    tuple(now.by_name[name] for name in names if name in now.by_name),
                    tuple(name for name in names if name not in now.by_name),
                )
        return found


def _known(type_url: str) -> str:
    if type_url not in TYPES:
        raise ValueError(f"type_url: {type_url!r} is not published; known are {', '.join(TYPES)}")
    return type_url
