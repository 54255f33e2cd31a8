"""What is kept, and what one change makes of it: data without I/O.

A change stands for itself.  Epochs and drains only ever go up, so they may be applied twice or without those
before; a version says which one it builds on, and without that one it does not count.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

REFUSED_MOST = 64  # refusals kept, the newest
DRAINS_MOST = 20_000  # twice the largest fleet; beyond it the drain told first is forgotten
TEXT_MOST = 1_000  # characters of a refusal's reason


@dataclass(frozen=True, slots=True)
class Version:
    """A version as it came: `id` is its exact name, `resources` its serialised parts by name."""

    id: str
    epoch: int
    number: int
    resources: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class Refusal:
    """A version that was not taken: which checks found what, and when (Unix milliseconds)."""

    version: str
    checks: tuple[str, ...]
    text: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class Drain:
    """A node was told drained: that of this start (Unix milliseconds, 0: long ago), told at `told_ms`."""

    started_ms: int
    told_ms: int


@dataclass(frozen=True, slots=True)
class State:
    """All that is kept.  `saved_ms`: Unix time at which the version was taken; 0: there is none."""

    version: Version | None = None
    saved_ms: int = 0
    refused: tuple[Refusal, ...] = ()
    drains: Mapping[str, Drain] = field(default_factory=lambda: MappingProxyType({}))
    epoch: int = 0

    def drained(self, name: str, started_ms: int) -> bool:
        """Whether this start of the node was told drained, and nothing newer was heard of it since."""
        drain = self.drains.get(name)
        return drain is not None and started_ms <= drain.started_ms


@dataclass(frozen=True, slots=True)
class Change:
    """One step, kept whole or not at all.

    `version` takes the place of the one held; `drains` are told by name; `lifted` names no longer count as
    drained (a newer start, or meant so); `epoch` was seen.
    """

    at_ms: int
    version: Version | None = None
    refusal: Refusal | None = None
    drains: Mapping[str, Drain] = field(default_factory=dict)
    lifted: tuple[str, ...] = ()
    epoch: int = 0


def after(state: State, change: Change) -> State:
    """The state that this change leads to."""
    refused, drains = state.refused, state.drains
    if change.refusal is not None:
        refusal = replace(change.refusal, text=change.refusal.text[:TEXT_MOST])
        refused = (*refused, refusal)[-REFUSED_MOST:]
    if change.drains or change.lifted:
        drains = _drains(state.drains, change)
    epoch = max(state.epoch, change.epoch, change.version.epoch if change.version else 0)
    if change.version is None:
        return State(state.version, state.saved_ms, refused, drains, epoch)
    return State(change.version, change.at_ms, refused, drains, epoch)


def _drains(held: Mapping[str, Drain], change: Change) -> Mapping[str, Drain]:
    drains = dict(held)
    for name in change.lifted:
        drains.pop(name, None)
    for name, drain in change.drains.items():
        before = drains.pop(name, None)
        drains[name] = before if before is not None and before.started_ms > drain.started_ms else drain
    while len(drains) > DRAINS_MOST:
        del drains[next(iter(drains))]
    return MappingProxyType(drains)
