"""Rule 3, and who knew what: each balancer's list of nodes, as it was told or counts as told."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..wire import Told, WireEvent
from .book import Balancer, tail
from .rules import Rules

UP, REMOVED = "up", "removed"


@dataclass(slots=True)
class View:
    """What one holder of a list has been told about a node; what is older than that does not count."""

    started_ms: int = -1
    generation: int = -1
    start_at: int = 0  # when that start was first told
    shut_at: int | None = None  # since when it is told to be draining or gone
    stale: Told | None = None  # the last entry that was older than what had been told
    events: deque[WireEvent] = field(default_factory=tail)

    def see(self, event: Told) -> None:
        self.events.append(event)
        # An entry that removes a node may leave out which start of it; it means the one that is known.
        started_ms = event.started_ms or (self.started_ms if event.lifecycle == REMOVED else 0)
        if (started_ms, event.generation) < (self.started_ms, self.generation):
            self.stale = event
            return
        if event.lifecycle == UP:
            self.shut_at = None
        elif self.shut_at is None or started_ms > self.started_ms:
            self.shut_at = event.at
        else:
            self.shut_at = min(event.at, self.shut_at)  # told again to a new process
        if started_ms > self.started_ms:
            self.start_at = event.at
        self.started_ms, self.generation = started_ms, event.generation


class Lists:
    """All balancers' views, and what discovery has had to tell."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._views: dict[tuple[str, str], View] = {}
        self._listed: dict[str, View] = {}

    def see(self, event: Told) -> None:
        if event.balancer:
            self._views.setdefault((event.balancer, event.node), View()).see(event)
        else:
            self._listed.setdefault(event.node, View()).see(event)

    def restarted(self, balancer: str, at: int) -> None:
        """A new process has been told nothing yet; what the one before it was told counts anew by a time.

        What was told stays in force against older entries: a list from before the restart reopens nothing.
        """
        for (name, _), view in self._views.items():
            if name == balancer and view.shut_at is not None:
                view.shut_at = at + self._rules.deemed_told_us

    def shut_at(self, balancer: str, node: str, told: Balancer) -> int | None:
        """Since when the balancer counts as told that the node drains or is gone; None: it may send."""
        view, listed = self._views.get((balancer, node)), self._listed.get(node)
        times = [view.shut_at] if view is not None and view.shut_at is not None else []
        if listed is not None and listed.shut_at is not None:
            # A later entry that was told goes before what should have come.
            if view is None or (listed.started_ms, listed.generation) > (view.started_ms, view.generation):
                times.append(self._deemed(listed.shut_at, told))
        return min(times, default=None)

    def informed(self, balancer: str, node: str, started_ms: int, at: int, told: Balancer) -> bool:
        """Whether the balancer counts as told, by then, of that start of the node."""
        view, listed = self._views.get((balancer, node)), self._listed.get(node)
        if view is not None and view.started_ms >= started_ms:
            return True
        return (
            listed is not None
            and listed.started_ms >= started_ms
            and self._deemed(listed.start_at, told) <= at
        )

    def stale(self, balancer: str, node: str) -> Told | None:
        """An entry that the balancer was told, and that was older than one before it."""
        view = self._views.get((balancer, node))
        return view.stale if view else None

    def events(self, balancer: str, node: str) -> tuple[WireEvent, ...]:
        told, listed = self._views.get((balancer, node)), self._listed.get(node)
        return (*(listed.events if listed else ()), *(told.events if told else ()))

    def _deemed(self, listed_at: int, told: Balancer) -> int:
        deemed = max(listed_at, told.started_at) + self._rules.deemed_told_us
        if told.reloaded_at >= told.started_at:
            deemed = min(deemed, max(listed_at, told.reloaded_at) + self._rules.reload_told_us)
        return deemed
