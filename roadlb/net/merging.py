"""Between what tells figures and the engine, where agreed versions and shares are both configured."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..policy.interface import SharedStateUpdate
from ..shared_state.events import Agreed, Beside
from ..shared_state.merged import Event, FromShares, FromVersions, Merged


class Merging:
    """`tell` is the engine; `agree`, set by whoever makes both, the shares."""

    def __init__(self, clock: Clock, tell: Callable[[SharedStateUpdate], None]) -> None:
        self._clock, self._tell, self._merged = clock, tell, Merged()
        self.agree: Callable[[Agreed], None] = lambda agreed: None

    def versions(self, heard: SharedStateUpdate) -> None:
        self._do(FromVersions(heard))

    def shares(self, instances: int, heard: SharedStateUpdate) -> None:
        self._do(FromShares(instances, heard))

    def beside(self, count: int) -> None:
        self._do(Beside(count))

    def _do(self, event: Event) -> None:
        for action in self._merged.handle(self._clock(), event):
            if isinstance(action, Agreed):
                self.agree(action)
            else:
                self._tell(action)
