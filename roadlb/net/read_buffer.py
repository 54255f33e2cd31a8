"""The memory that connections read into, one at a time, and how much of it one read may fill."""

from __future__ import annotations

from ..overload.memory_budget import MemoryBudget

MAX_READ_BYTES = 65_536
MIN_READ_BYTES = 2_048


class ReadBuffer:
    """The buffer behind `get_buffer` and `buffer_updated` of the connections' protocols.

    Without it uvloop passes on up to 256,000 bytes at once.  One buffer serves all connections: each read is
    passed on before the next one begins.
    """

    __slots__ = ("_memory", "_memory_budget", "space_bytes")

    def __init__(self, memory_budget: MemoryBudget) -> None:
        self._memory = memoryview(bytearray(MAX_READ_BYTES))
        self._memory_budget = memory_budget
        self.space_bytes = 0  # of the last read

    def space(self) -> memoryview:
        """Return the memory for the next read, whose size depends on the memory that is left."""
        self.space_bytes = self._memory_budget.share_bytes(MIN_READ_BYTES, MAX_READ_BYTES)
        return self._memory[: self.space_bytes]

    def received(self, size: int) -> bytes:
        """Return the bytes that were read."""
        return bytes(self._memory[:size])
