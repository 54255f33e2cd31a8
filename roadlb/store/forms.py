"""States and changes as records and back."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from .records import Record, pack
from .state import Change, Drain, Refusal, State, Version, after


def write_state(state: State, head: Mapping[str, object]) -> bytes:
    """A snapshot: the whole state, with `head` beside it."""
    version = state.version
    said: dict[str, object] = {
        **head,
        "kind": "state",
        "saved": state.saved_ms,
        "epoch": state.epoch,
        "refused": [_refusal(r) for r in state.refused],
        "drains": _drains(state.drains),
    }
    if version is not None:
        said["version"] = [version.id, version.epoch, version.number, list(version.resources)]
    return pack(said, tuple(version.resources.values()) if version is not None else ())


def read_state(record: Record) -> State:
    """KeyError, TypeError or ValueError where the record is no state."""
    said: dict[str, Any] = record.said
    version = None
    if "version" in said:
        id, epoch, number, names = said["version"]
        version = Version(id, epoch, number, MappingProxyType(dict(zip(names, record.blobs, strict=True))))
    return State(
        version,
        said["saved"],
        tuple(_read_refusal(r) for r in said["refused"]),
        MappingProxyType(_read_drains(said["drains"])),
        said["epoch"],
    )


def write_change(change: Change, held: Version | None) -> bytes:
    """A change, its version as the difference to the one held."""
    said: dict[str, object] = {"kind": "change", "at": change.at_ms}
    blobs: list[bytes] = []
    if change.epoch:
        said["epoch"] = change.epoch
    if change.refusal is not None:
        said["refusal"] = _refusal(change.refusal)
    if change.drains:
        said["drains"] = _drains(change.drains)
    if change.lifted:
        said["lifted"] = list(change.lifted)
    if (version := change.version) is not None:
        old = held.resources if held is not None else {}
        names = [name for name, body in version.resources.items() if old.get(name) != body]
        said["version"] = [version.id, version.epoch, version.number, names]
        said["base"] = held.id if held is not None else ""
        said["gone"] = [name for name in old if name not in version.resources]
        blobs = [version.resources[name] for name in names]
    return pack(said, blobs)


def apply(record: Record, state: State) -> tuple[State, bool]:
    """The state after a change, and whether its version could be built on the one held."""
    said: dict[str, Any] = record.said
    version, fits = None, True
    if "version" in said:
        id, epoch, number, names = said["version"]
        held = state.version
        fits = said["base"] == (held.id if held is not None else "")
        if fits:
            gone = frozenset(said["gone"])
            resources = (
                {name: body for name, body in held.resources.items() if name not in gone}
                if held is not None
                else {}
            )
            resources |= zip(names, record.blobs, strict=True)
            version = Version(id, epoch, number, MappingProxyType(resources))
    refusal = _read_refusal(said["refusal"]) if "refusal" in said else None
    epoch = max(said.get("epoch", 0), said["version"][1] if "version" in said else 0)
    change = Change(
        said["at"],
        version,
        refusal,
        _read_drains(said.get("drains", {})),
        tuple(said.get("lifted", ())),
        epoch,
    )
    return after(state, change), fits


def _refusal(refusal: Refusal) -> list[object]:
    return [refusal.version, list(refusal.checks), refusal.text, refusal.at_ms]


def _read_refusal(said: Any) -> Refusal:
    version, checks, text, at_ms = said
    return Refusal(version, tuple(checks), text, at_ms)


def _drains(drains: Mapping[str, Drain]) -> dict[str, list[int]]:
    return {name: [drain.started_ms, drain.told_ms] for name, drain in drains.items()}


def _read_drains(said: Any) -> dict[str, Drain]:
    return {name: Drain(started, told) for name, (started, told) in said.items()}
