"""The fleet as discovery tells it: pictures with generations from the platform's watch of one cluster."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from ..config import Address
from ..fleet.model import Picture
from ..fleet.platform import MalformedList, read_line, take_into
from ..log import fields
from .watch import DiscoveryWatch, described, dial
from .watch_call import ListPosition, WatchBroken, WatchCall
from .watch_timing import TOLD_S

logger = logging.getLogger(__name__)

CALL_S = TOLD_S  # an answer to a call that takes longer comes too late
LINGER_S = 0.05  # for the lines behind the first one of a call


class FleetWatch:
    """The platform's list of one cluster: a watch that is opened again whenever it breaks."""

    def __init__(self, at: Address, cluster: str, told: Callable[[Picture], None]) -> None:
        """`told` gets each picture; `heard_at` is by the loop's clock, in seconds."""
        self.at, self._cluster, self._told = at, cluster, told
        self.picture: Picture | None = None
        self.counts: Counter[str] = Counter()
        self.error, self.heard_at = "", 0.0

    async def run(self) -> None:
        """Watch for ever; whatever goes wrong, the list held stays valid."""
        await DiscoveryWatch(self).run()

    def where(self) -> tuple[Address, int]:
        """Whom to ask, and for what came after which generation."""
        return self.at, self._generation

    def overdue(self) -> None:
        """A call of the watch has no answer yet; another is opened beside it."""
        self.counts["overdue"] += 1

    def broken(self, error: Exception | None) -> None:
        """A call of the watch has ended."""
        self.counts["broken"] += 1
        self.error = described(error)
        if isinstance(error, MalformedList | WatchBroken | ValueError):
            self.counts["malformed"] += 1
        elif error is not None and not isinstance(error, TimeoutError | OSError):
            logger.error("watch failed", exc_info=error)

    @property
    def _generation(self) -> int:
        return self.picture.generation if self.picture else 0

    async def call(self) -> int | None:
        """Ask for what there is beside the watch; the generation then held, None if the call failed.

        A watch of its own: its first lines bring us from what we hold to the newest.
        """
        loop = asyncio.get_running_loop()
        first: asyncio.Future[None] = loop.create_future()

        def message(value: object) -> None:
            self.message(value, watch.position)
            if not first.done():
                first.set_result(None)

        def ended(error: Exception | None) -> None:
            if not first.done():
                first.set_exception(WatchBroken(described(error)))

        watch = WatchCall(self.at, self._generation, message, ended, loop.time)
        watch.cancel_dial = dial(watch, self.at)
        try:
            async with asyncio.timeout(CALL_S):
                await first
            await asyncio.sleep(LINGER_S)
        except (TimeoutError, WatchBroken) as e:
            self.counts["call failed"] += 1
            logger.warning("discovery not heard", extra=fields(error=f"{type(e).__name__}: {e}"))
            return None
        finally:
            watch.close()
        return self.picture.generation if self.picture else None

    def message(self, value: object, position: ListPosition) -> bool:
        """One message, None for a blank line; was it news?  MalformedList leaves the list as it is."""
        self.heard_at = asyncio.get_running_loop().time()
        news = value is not None and self._take(value)
        self.counts["line"] += 1
        self.error = ""
        return news

    def _take(self, value: object) -> bool:
        line = read_line(value)
        held = self.picture
        if held is not None and line.generation < held.generation:
            self.counts["older"] += 1
            logger.warning(
                "list older than ours", extra=fields(generation=line.generation, ours=held.generation)
            )
            return False
        if held is not None and line.generation == held.generation:
            return False
        if held is None and not line.reset:
            held = Picture(0)  # asked after 0: the changes since the empty list
        self.picture = take_into(held or Picture(0), self._cluster, line)
        self._told(self.picture)
        return True
