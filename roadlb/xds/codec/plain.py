"""Protobuf's Struct and Envoy's metadata to and from plain data."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from ...fleet.model import NO_METADATA, Plain
from .protos import CodecError, Wire

# The namespace of what this program itself tells of endpoints and localities.
OWN = "roadlb"
# One object, so that data that holds it equals itself.
NAN = float("nan")
# Whole numbers beyond this lose digits in a Struct, whose numbers are doubles: they are written as text.
WHOLE_MOST = 2**53


def read_value(value: Wire) -> Plain:
    """A `google.protobuf.Value`; one that says nothing is None."""
    kind = value.WhichOneof("kind")
    if kind == "struct_value":
        return read_struct(value.struct_value)
    if kind == "list_value":
        return tuple(read_value(item) for item in value.list_value.values)
    if kind is None or kind == "null_value":
        return None
    found: Plain = getattr(value, kind)
    return NAN if found != found else found


def read_struct(struct: Wire) -> Mapping[str, Plain]:
    return MappingProxyType({key: read_value(value) for key, value in struct.fields.items()})


def write_value(value: Wire, plain: Plain) -> None:
    """Make `value` say this; what it said before is gone."""
    value.Clear()
    if plain is None:
        value.null_value = 0
    elif isinstance(plain, bool):
        value.bool_value = plain
    elif isinstance(plain, str):
        value.string_value = plain
    elif isinstance(plain, int | float):
        value.number_value = plain
    elif isinstance(plain, Mapping):
        value.struct_value.SetInParent()
        write_struct(value.struct_value, plain)
    elif isinstance(plain, tuple | list):
        value.list_value.SetInParent()
        for item in plain:
            write_value(value.list_value.values.add(), item)
    else:
        raise CodecError(f"metadata: {plain!r:.80} is no plain data")


def write_struct(struct: Wire, plain: Mapping[str, Plain]) -> None:
    struct.Clear()
    for key, value in plain.items():
        write_value(struct.fields[key], value)


def read_metadata(metadata: Wire) -> Mapping[str, Mapping[str, Plain]]:
    """All namespaces but our own; typed metadata stays on the wire's side."""
    found = {name: read_struct(struct) for name, struct in metadata.filter_metadata.items() if name != OWN}
    return MappingProxyType(found) if found else NO_METADATA


def write_metadata(
    message: Wire, was: Mapping[str, Mapping[str, Plain]], now: Mapping[str, Mapping[str, Plain]]
) -> None:
    """Bring the namespaces of `message.metadata` from `was` to `now`; those alike are not touched."""
    if OWN in now:
        raise CodecError(f"metadata: the namespace {OWN!r} is the codec's own: use another")
    for name in was.keys() - now.keys():
        del message.metadata.filter_metadata[name]
    for name, plain in now.items():
        if name not in was or was[name] != plain:
            write_struct(message.metadata.filter_metadata[name], plain)


def read_own(message: Wire) -> Mapping[str, Plain]:
    """What this program told of the message earlier, if anything."""
    if not message.HasField("metadata") or OWN not in message.metadata.filter_metadata:
        return {}
    return read_struct(message.metadata.filter_metadata[OWN])


def write_own(message: Wire, key: str, value: Plain) -> None:
    """Tell one thing, or with None no longer tell it."""
    if value is not None:
        write_value(message.metadata.filter_metadata[OWN].fields[key], value)
    elif key in read_own(message):
        fields = message.metadata.filter_metadata[OWN].fields
        del fields[key]
        if not fields:
            del message.metadata.filter_metadata[OWN]


def whole(value: Plain) -> int:
    """A whole number as `of_whole` wrote it; 0 for anything else."""
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) < 40:
        return int(value)
    if isinstance(value, float) and value.is_integer() and abs(value) <= WHOLE_MOST:
        return int(value)
    return 0


def of_whole(value: int) -> Plain:
    """A whole number, in digits where a double could not hold it."""
    return float(value) if abs(value) <= WHOLE_MOST else str(value)
