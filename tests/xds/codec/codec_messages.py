"""Messages for the codec's tests: recorded ones by name, and generated ones with unknown fields in them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from google.protobuf import descriptor, text_format
from google.protobuf.any_pb2 import Any as ANY

from roadlb.xds.codec.assignment import read_assignment, write_assignment
from roadlb.xds.codec.cluster import read_cluster, write_cluster
from roadlb.xds.codec.protos import ClusterLoadAssignment, WireCluster, held, parsed
from roadlb.xds.codec.routes import (
    HttpConnectionManager,
    RouteConfiguration,
    WireListener,
    read_listener,
    read_routes,
    write_listener,
    write_routes,
)

# What this program itself tells in metadata; others may put anything there.
OWN = ("node", "weight", "weight_scale", "health", "lifecycle", "draining", "HEALTHY")
MESSAGES = Path(__file__).parent / "messages"
# Of each kind: its class, its reader, its writer.
KINDS: dict[str, tuple[Any, Callable[[bytes], Any], Callable[[Any], bytes]]] = {
    kind.DESCRIPTOR.full_name: (kind, read, write)
    for kind, read, write in (
        (ClusterLoadAssignment, read_assignment, write_assignment),
        (WireCluster, read_cluster, write_cluster),
        (RouteConfiguration, read_routes, write_routes),
        (WireListener, read_listener, write_listener),
    )
}


def recorded(path: Path) -> tuple[str, bytes]:
    """A recorded message's kind and bytes; its first line names the kind, the second says what is odd."""
    kind, _, rest = path.read_text().partition("\n")
    kind = kind.removeprefix("# ")
    if path.suffix == ".hex":
        return kind, bytes.fromhex("".join(rest.splitlines()[1:]))
    return kind, text_format.Parse(rest, KINDS[kind][0]()).SerializeToString()


RECORDED = sorted(MESSAGES.iterdir())
NAMES = [path.stem for path in RECORDED]


def alike(kind: Any, one: bytes, other: bytes) -> bool:
    """Equal after parsing, unknown fields included."""
    return held(parsed(kind, one)) == held(parsed(kind, other))


class Maker:
    """Fills messages of any class at random: fields known and unknown, right and wrong."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.left = 80  # messages that may still be filled

    def message(self, kind: Any, depth: int = 9) -> Any:
        made = kind()
        if kind is ANY and self.random.random() < 0.5:
            made.Pack(self.message(HttpConnectionManager, depth - 1))
            return made
        # Of large messages a few fields only, or one example would be all that there is.
        self.left -= 1
        dense = (0.3 + 0.6 * self.random.random()) * min(1.0, 12 / max(1, len(made.DESCRIPTOR.fields)))
        if depth <= 0 or self.left < 0:
            dense = 0.0
        for field in made.DESCRIPTOR.fields:
            if self.random.random() < dense:
                self._fill(made, field, depth - 1)
        if self.random.random() < 0.2:
            number = self.random.randrange(1500, 2**20)
            made.MergeFromString(varint(number << 3) + varint(self.random.randrange(2**32)))
        return made

    def _fill(self, made: Any, field: Any, depth: int) -> None:
        if field.message_type is not None and field.message_type.GetOptions().map_entry:
            value = field.message_type.fields_by_name["value"]
            for _ in range(self.random.randrange(3)):
                key = self._scalar(field.message_type.fields_by_name["key"])
                if value.message_type is None:
                    getattr(made, field.name)[key] = self._scalar(value)
                else:
                    at = getattr(made, field.name)[key]
                    at.CopyFrom(self.message(type(at), depth))
        elif field.message_type is not None:
            for _ in range(self.random.randrange(4) if field.is_repeated else 1):
                at = getattr(made, field.name)
                if field.is_repeated:
                    at = at.add()
                at.SetInParent()
                at.CopyFrom(self.message(type(at), depth))
        elif field.is_repeated:
            getattr(made, field.name).extend(self._scalar(field) for _ in range(self.random.randrange(3)))
        else:
            setattr(made, field.name, self._scalar(field))

    def _scalar(self, field: Any) -> object:
        kinds = descriptor.FieldDescriptor
        pick: Any = self.random.choice
        if field.cpp_type == kinds.CPPTYPE_STRING:
            text = pick(("", "a", "10.0.0.1", "roadlb", *OWN, ":method"))
            return text.encode() if field.type == kinds.TYPE_BYTES else text
        if field.cpp_type == kinds.CPPTYPE_BOOL:
            return pick((True, False))
        if field.cpp_type == kinds.CPPTYPE_ENUM:
            return pick([value.number for value in field.enum_type.values] + [97])
        if field.cpp_type in (kinds.CPPTYPE_DOUBLE, kinds.CPPTYPE_FLOAT):
            return pick((0.0, 1.0, -1.5, 1000.0, float("inf"), float("nan")))
        return pick((0, 1, 2, 80, 1000, 2**31 - 1))


def varint(number: int) -> bytes:
    out = bytearray()
    while number > 127:
        out.append(number & 127 | 128)
        number >>= 7
    return bytes((*out, number))


def bodies(message: bytes, kind: Any, path: tuple[str, ...]) -> Iterator[bytes]:
    """The bytes of the messages at the end of a path of repeated fields."""
    level = [parsed(kind, message)]
    for name in path:
        level = [inner for outer in level for inner in getattr(outer, name)]
    return (held(inner) for inner in level)
