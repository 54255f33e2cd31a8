"""The fleet as discovery tells it: pictures with generations from the platform's watch of one cluster."""

from __future__ import annotations

import asyncio
import json
import logging
from collections import Counter
from collections.abc import Callable

from ..config import Address
from ..fleet.model import Picture
from ..fleet.platform import MalformedList, read_line, take_into
from ..log import fields
from .watch import BackOff, Watch, WatchBroken, WatchRefused, listen

logger = logging.getLogger(__name__)

CALL_S = 2.0  # an answer to a call that has not come by then will not come
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
        back_off = BackOff()
        while True:
            before, refused = self.counts["line"], False
            try:
                await listen(self.at, self._generation, self._line)
                self.error = "the watch has ended"
            except (MalformedList, WatchBroken, ValueError) as e:
                self.counts["malformed"] += 1
                self.error, refused = f"malformed: {e}", isinstance(e, WatchRefused)
            except (TimeoutError, OSError) as e:
                self.error = f"{type(e).__name__}: {e}"
            except Exception as e:  # whatever a line did, the next one must be heard
                logger.exception("watch failed")
                self.error = f"fault: {type(e).__name__}: {e}"
            self.counts["broken"] += 1
            if self.counts["line"] > before:
                back_off.heard()
            pause = back_off.seconds(refused)
            logger.warning("watch broken", extra=fields(error=self.error, again_s=pause))
            await asyncio.sleep(pause)

    @property
    def _generation(self) -> int:
        return self.picture.generation if self.picture else 0

    async def call(self) -> int | None:
        """Ask for what there is beside the watch; the generation then held, None if the call failed.

        A watch of its own: its first lines bring us from what we hold to the newest.
        """
        first = asyncio.Event()

        def line(text: bytes) -> None:
            self._line(text)
            first.set()

        watch = Watch(self.at, self._generation, line)
        try:
            async with asyncio.timeout(CALL_S):
                await asyncio.get_running_loop().create_connection(lambda: watch, self.at.host, self.at.port)
                await first.wait()
            await asyncio.sleep(LINGER_S)
        except (TimeoutError, OSError) as e:
            self.counts["call failed"] += 1
            logger.warning("discovery not heard", extra=fields(error=f"{type(e).__name__}: {e}"))
            return None
        finally:
            watch.ended.cancel()
            watch.close()
        return self.picture.generation if self.picture else None

    def _line(self, text: bytes) -> None:
        """One line; raises MalformedList or ValueError, and the list held stays as it is."""
        self.heard_at = asyncio.get_running_loop().time()
        if text.strip():
            line = read_line(json.loads(text))
            held = self.picture
            if held is not None and line.generation < held.generation:
                self.counts["older"] += 1
                logger.warning(
                    "list older than ours", extra=fields(generation=line.generation, ours=held.generation)
                )
            elif held is None or line.generation > held.generation:
                if held is None and not line.reset:
                    held = Picture(0)  # asked after 0: the changes since the empty list
                self.picture = take_into(held or Picture(0), self._cluster, line)
                self._told(self.picture)
        self.counts["line"] += 1
        self.error = ""
