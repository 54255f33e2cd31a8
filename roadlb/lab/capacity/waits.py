"""Waits for what must come to pass; each ends, and says what did not come."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ...clock import monotonic_us
from ..agreement.ends import GENEROUS_S, DidNotCome

LOOK_S = 0.05


async def until(
    what: str, holds: Callable[[], Awaitable[bool]], within_s: float = GENEROUS_S, look_s: float = LOOK_S
) -> None:
    """DidNotCome, naming it, if never."""
    end = monotonic_us() + within_s * 1e6
    while not await holds():
        if monotonic_us() > end:
            raise DidNotCome(what, within_s)
        await asyncio.sleep(look_s)
