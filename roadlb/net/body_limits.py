"""How much of a body is buffered before it is streamed, in either direction."""

from __future__ import annotations

from ..overload.memory_budget import MemoryBudget
from .http import BODY_BUFFER_BYTES, SMALL_BODY_BUFFER_BYTES


def body_buffer_bytes(memory_budget: MemoryBudget, is_short_of_resources: bool) -> int:
    """Return how many bytes of one body are buffered; less while resources are short."""
    most = SMALL_BODY_BUFFER_BYTES if is_short_of_resources else BODY_BUFFER_BYTES
    return memory_budget.share_bytes(SMALL_BODY_BUFFER_BYTES, most)
