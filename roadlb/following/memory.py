"""What a follower remembers as a version of the store, and back.

The parts of the newest version stand under `t`, those of what may be used at the most under `b` where they
differ: after a preparation that is one bucket.  So the store writes what changed, whatever the fleet's size.
"""

from __future__ import annotations

import json

from ..agreement.events import Contents, Memory, VersionId
from ..agreement.events import Version as Told
from ..store.state import State, Version
from ..xds.codec.protos import CodecError
from ..xds.codec.versions import PARTS, STRUCT, Key, PartsReader, VersionWriter

HEAD = "head"
TYPES = {"s": STRUCT, "p": PARTS}
LETTERS = {type_url: letter for letter, type_url in TYPES.items()}


class MemoryWriter:
    """Successive memories; what did not change is encoded once."""

    def __init__(self) -> None:
        self._told, self._bound = VersionWriter(), VersionWriter()

    def write(self, memory: Memory, id: str) -> Version:
        """`id` tells this one from any other."""
        told, resources = memory.told, dict[str, bytes]()
        head: dict[str, object] = {
            "force": _plain(memory.force),
            "passed": [_plain(one) for one in memory.passed],
        }
        if told is not None:
            head |= {"told": _plain(told.id), "meant": told.meant}
            parts = self._told.write(told.contents)
            resources = {_name("t", key): body for key, body in parts.items()}
            if memory.bound is not None and memory.bound is not told.contents:
                bound = self._bound.write(memory.bound)
                resources |= {_name("b", key): body for key, body in bound.items() if parts.get(key) != body}
                head["without"] = [_name("t", key) for key in parts if key not in bound]
        resources[HEAD] = json.dumps(head, separators=(",", ":")).encode()
        return Version(id, memory.epoch, told.id.number if told is not None else 0, resources)


def read_memory(state: State) -> Memory:
    """CodecError if what is kept cannot be read."""
    if state.version is None:
        return Memory(state.epoch)
    try:
        return _read(state.version, state.epoch)
    except (KeyError, TypeError, ValueError) as e:
        raise CodecError(f"memory: {type(e).__name__}: {e}") from None


def _read(kept: Version, epoch: int) -> Memory:
    head = json.loads(kept.resources[HEAD])
    force, passed = VersionId(*head["force"]), tuple(VersionId(*one) for one in head["passed"])
    if "told" not in head:
        return Memory(epoch, force, passed=passed)
    parts = {_key(name): body for name, body in kept.resources.items() if name.startswith("t:")}
    reader = PartsReader()
    told = Told(VersionId(*head["told"]), reader.contents(parts), head["meant"])
    bound: Contents = told.contents
    if "without" in head:
        without = {_key(name) for name in head["without"]}
        narrower = {key: body for key, body in parts.items() if key not in without}
        narrower |= {_key(name): body for name, body in kept.resources.items() if name.startswith("b:")}
        bound = reader.contents(narrower)
    return Memory(epoch, force, told, bound, passed)


def _plain(id: VersionId) -> list[int]:
    return [id.epoch, id.number]


def _name(role: str, key: Key) -> str:
    return f"{role}:{LETTERS[key[0]]}:{key[1]}"


def _key(name: str) -> Key:
    _, letter, rest = name.split(":", 2)
    return TYPES[letter], rest
