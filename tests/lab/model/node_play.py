"""Plays events to a `NodeModel` and gives it its ticks, so that tests read as lists of times."""

from random import Random

from roadlb.lab.model.events import Action, Answer, Began, Connected, Event, Request, Tick, WakeAt
from roadlb.lab.model.node import NodeModel
from roadlb.lab.model.spec import NodeSpec

MS = 1_000


class Play:
    """One node; `log` has each action with its time, but for WakeAt."""

    def __init__(self, warm: bool = True, **spec: object) -> None:
        self.spec = NodeSpec(**spec)
        self.node = NodeModel(self.spec, Random(1), 0, warm=warm)
        self.log: list[tuple[int, Action]] = []
        self.wake: int | None = None
        self.connections = 0

    def until(self, at: int) -> None:
        while self.wake is not None and self.wake <= at:
            at_wake, self.wake = self.wake, None
            self._take(at_wake, Tick())

    def at(self, at: int, event: Event) -> None:
        self.until(at)
        self._take(at, event)

    def _take(self, at: int, event: Event) -> None:
        for action in self.node.handle(at, event):
            if isinstance(action, WakeAt):
                assert action.at >= at
                self.wake = action.at
            else:
                self.log.append((at, action))

    def ask(self, at: int, work_us: int = 10 * MS, key: str = "", left_us: int = 10_000 * MS) -> int:
        """A request on a new connection; gives the connection's number."""
        self.connections += 1
        self.at(at, Connected(self.connections))
        self.again(at, self.connections, work_us, key, left_us)
        return self.connections

    def again(
        self, at: int, connection: int, work_us: int = 10 * MS, key: str = "", left_us: int = 10_000 * MS
    ) -> None:
        self.at(at, Request(connection, f"r{connection}", work_us, key, left_us))

    def answers(self) -> list[tuple[int, int, int]]:
        """Time, connection, status."""
        return [(at, a.connection, a.status) for at, a in self.log if isinstance(a, Answer)]

    def began(self) -> list[tuple[int, int]]:
        return [(at, a.connection) for at, a in self.log if isinstance(a, Began)]
