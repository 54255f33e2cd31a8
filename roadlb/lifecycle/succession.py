"""One process's side of an upgrade: what its predecessor left, what its successor needs, who else lives."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path

from ..clock import monotonic_us
from ..counters import Counters
from ..log import fields
from .handover import Handover, Held, Neighbours, generation_of, read, write
from .id_claims import IdClaims

logger = logging.getLogger(__name__)

LOOK_S = 0.25  # between looks at who lives
SEEN_S = LOOK_S + 0.1  # by then the others have counted a new process, their loops being a little late
WRITE_S = 0.1  # a list that changes again and again is written once in so long


class Succession:
    """`held` tells what this process holds, `handover` what a successor is to know; `changed` hears, at every
    look, what the others hold."""

    def __init__(
        self,
        directory: Path,
        counters: Counters,
        held: Callable[[], Held],
        handover: Callable[[], Handover],
        changed: Callable[[list[Held]], None],
        clock: Callable[[], int] = monotonic_us,
    ) -> None:
        self._directory, self._counters = directory, counters
        self._held, self._handover, self._changed = held, handover, changed
        self._neighbours = Neighbours(directory)
        self._claims = self._make_claims(clock)
        self._seen_at = asyncio.get_running_loop().time() + SEEN_S
        self._writing: asyncio.TimerHandle | None = None
        self._looking: asyncio.Task[None] | None = None

    def _make_claims(self, clock: Callable[[], int]) -> IdClaims | None:
        """None where the directory has no room: to serve without them is better than not to."""
        try:
            return IdClaims(self._neighbours.table_path, clock)
        except OSError as e:
            self._counters.add("handover.no_claims")
            logger.error("ids of requests not shared", extra=fields(error=e))
            return None

    def claim(self, id: bytes) -> bool:
        """Claim the id of a new request; return whether no other process of this balancer has it in use."""
        if self._claims is None or self._claims.claim(id):
            return True
        self._counters.add("handover.id_in_use")
        return False

    def retain(self, id: bytes, is_repeatable: bool) -> None:
        """Keep the claim of a request that has ended and may have run; `is_repeatable`: its class is safe."""
        if self._claims is not None:
            self._claims.retain(id, is_repeatable)

    def release(self, id: bytes) -> None:
        """Give up the claim of an id that any request may have again."""
        if self._claims is not None:
            self._claims.release(id)

    def inherited(self, discovery: str, known: Mapping[str, object]) -> Mapping[str, object]:
        """The list to begin with: the predecessor's, if the same discovery told it and it is newer than
        `known`."""
        try:
            handover = read(self._directory)
        except (ValueError, KeyError, TypeError, RecursionError) as e:
            self._counters.add("handover.ignored")
            logger.warning("handover ignored", extra=fields(error=e))
            return known
        if handover is None:
            return known
        if handover.discovery != discovery or generation_of(handover.known) <= generation_of(known):
            self._counters.add("handover.old")
            return known
        self._counters.add("handover.taken")
        return handover.known

    def draining(self) -> bool:
        """Is a predecessor that lives out of service as it stands now?"""
        with suppress(ValueError, KeyError, TypeError, RecursionError):
            if handover := read(self._directory):
                return handover.draining and bool(self._neighbours.others())
        return False

    async def seen(self) -> None:
        """Return once this process counts the others that live, and they count it.

        Until then both would spend the whole of the limits and budgets that are theirs together.
        """
        self.look()
        if self._neighbours.others():
            await asyncio.sleep(max(0.0, self._seen_at - asyncio.get_running_loop().time()))
            self.look()

    def begin(self) -> None:
        """From now on this process is the one that a successor takes over from."""
        self.look()
        self.write_soon()
        self._looking = asyncio.create_task(self._look_for_ever())

    def look(self) -> None:
        """Tell the others what this process holds, and hear what they hold."""
        with suppress(OSError):  # a full directory must not end the program
            self._neighbours.tell(self._held())
            self._changed(self._neighbours.others())
            if self._claims is not None:
                self._claims.follow(self._neighbours.other_tables)

    async def _look_for_ever(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self.look()

    def write_soon(self) -> None:
        """The list has changed."""
        if self._writing is None:
            self._writing = asyncio.get_running_loop().call_later(WRITE_S, self._write)

    def _write(self) -> None:
        self._writing = None
        write(self._directory, self._handover())

    def write_now(self) -> None:
        """The state has changed: a successor that is about to serve must not miss it."""
        self.leave()
        self._write()

    def leave(self) -> None:
        """Nothing more is written: what is there may be the successor's by now."""
        if self._writing:
            self._writing.cancel()
            self._writing = None

    def end(self) -> None:
        self.leave()
        if self._looking:
            self._looking.cancel()
        if self._claims is not None:
            self._claims.close()
            self._claims = None
        self._neighbours.leave()
