"""True capacity of the nodes of a run over time: size times warmth, from each start to each end."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..model.spec import NodeSpec
from ..model.warmth import STEP_US
from ..wire import NodeFell, NodeStarted, NodeState, WireEvent

NEVER = 1 << 62


@dataclass(slots=True)
class Life:
    """One start of a node; times in microseconds."""

    hall: str
    speed: float  # of one core
    capacity: float  # warm, in standard cores
    cold_share: float  # of it at the start; 1: it starts warm
    warm_us: int  # until it has all
    since: int
    until: int = NEVER
    pauses: list[tuple[int, int]] = field(default_factory=list)

    def between(self, since: int, until: int) -> float:
        """Work that it can do, in microseconds of a standard core."""
        since, until = max(since, self.since), min(until, self.until)
        if until <= since:
            return 0.0
        stood_us = sum(
            self._warm(max(since, a), min(until, b)) for a, b in self.pauses if max(since, a) < min(until, b)
        )
        return self.capacity * (self._warm(since, until) - stood_us)

    def _warm(self, since: int, until: int) -> float:
        """The integral of its warmth.  A node's warmth grows in steps that lie above the even line by up to
        one step, so the line is moved ahead by one: a bound must not be lower than the truth."""
        if self.cold_share >= 1 or self.warm_us <= 0:
            return until - since
        begin = self.since - STEP_US
        knee = min(max(since, begin + self.warm_us), until)
        middle = (since + knee) / 2 - begin
        cold = (knee - since) * (self.cold_share + (1 - self.cold_share) * middle / self.warm_us)
        return cold + (until - knee)


class Capacity:
    """`kinds` gives, for each kind of node, its cores and how long it takes to warm up.

    A node that was slowed counts in full, and so does one that is cut off: the bound stays one, less tight.
    """

    def __init__(self, log: Iterable[WireEvent], kinds: Mapping[str, NodeSpec]) -> None:
        self.lives: list[Life] = []
        present: dict[tuple[str, int], Life] = {}
        for event in log:
            if isinstance(event, NodeStarted):
                kind = kinds[event.kind]
                life = Life(
                    event.hall,
                    event.capacity / kind.cores,
                    event.capacity,
                    kind.cold_share if event.cold_share < 1 else 1.0,
                    kind.warm_us,
                    event.at,
                )
                self.lives.append(life)
                present[event.node, event.started_ms] = life
            elif isinstance(event, NodeState | NodeFell):
                self._state(present.get((event.node, event.started_ms)), event)

    @staticmethod
    def _state(life: Life | None, event: NodeState | NodeFell) -> None:
        if life is None:
            return
        if isinstance(event, NodeFell) or event.state == "stopped":
            life.until = min(life.until, event.at)
        elif event.state == "paused":
            life.pauses.append((event.at, NEVER))
        elif event.state == "resumed" and life.pauses:
            life.pauses[-1] = (life.pauses[-1][0], event.at)

    def between(self, since: int, until: int) -> float:
        """Work that all nodes together can do, in microseconds of a standard core."""
        return sum(life.between(since, until) for life in self.lives)

    @property
    def quickest(self) -> float:
        """The speed of the fastest core of all, which bounds what one request can be given in its time."""
        return max((life.speed for life in self.lives), default=0.0)
