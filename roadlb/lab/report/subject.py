"""What a report is about: one run, what was seen of it, and what the judge said."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from ..judge import Rules, Verdict
from ..wire import NodeFell, Note, WireLog

SECOND_US = 1_000_000


@dataclass(frozen=True)
class Subject:
    """One run.  `origin_us` is the clock's time at its start; None: that of the first event.

    `run`: what is no rule's and no worth's, such as the programs' own counters; goes into the JSON as it is.
    """

    name: str
    title: str
    seed: int
    world: str
    log: WireLog
    verdict: Verdict
    rules: Rules
    origin_us: int | None = None
    run: Mapping[str, Any] = field(default_factory=dict)

    @cached_property
    def start_us(self) -> int:
        if self.origin_us is not None:
            return self.origin_us
        return min((event.at for event in self.log), default=0)

    @cached_property
    def seconds(self) -> float:
        """How long the run took, to its last event."""
        return max(0.0, self.second(max((event.at for event in self.log), default=self.start_us)))

    @cached_property
    def digest(self) -> str:
        return self.log.digest()

    @cached_property
    def steps(self) -> tuple[tuple[float, str], ...]:
        """(second, text) of each step of the incident, as the run noted it."""
        return tuple((self.second(event.at), event.text) for event in self.log if isinstance(event, Note))

    @cached_property
    def fallen(self) -> tuple[NodeFell, ...]:
        """In the order in which they fell."""
        return tuple(event for event in self.log if isinstance(event, NodeFell))

    def second(self, at_us: int) -> float:
        """Seconds since the start of the run."""
        return (at_us - self.start_us) / SECOND_US
