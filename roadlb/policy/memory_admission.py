"""Which requests are admitted, and which are refused, by the memory that is left to the process.

A refused request costs no memory; one that is admitted costs its buffers and often a connection to a server.
A request that has come whole goes before one that has not: no answer to that is due yet.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_AVAILABLE_BYTES = 96_000
RECLAIMED_BYTES = 4 * MIN_AVAILABLE_BYTES  # at once, as each time all incomplete requests are looked at
STALLED_US = 300_000
MIN_HELD_BYTES = 8_000  # a smaller request is likely to be whole soon


@dataclass(slots=True, frozen=True)
class IncompleteRequest:
    """A request of which the last bytes came `silent_us` ago; `held_bytes`: the memory that it costs."""

    number: int
    held_bytes: int
    silent_us: int


def is_admitted(available_bytes: int) -> bool:
    """Whether a new request may be opened while so much memory is left."""
    return available_bytes >= MIN_AVAILABLE_BYTES


def requests_to_refuse(incomplete: Sequence[IncompleteRequest], available_bytes: int) -> list[int]:
    """Return the numbers of the incomplete requests to refuse, so that others can be admitted.

    Those that have stalled go first, of each kind the largest first, until RECLAIMED_BYTES are available.
    """
    candidates = [request for request in incomplete if request.held_bytes >= MIN_HELD_BYTES]
    candidates.sort(key=lambda request: (request.silent_us >= STALLED_US, request.held_bytes), reverse=True)
    refused: list[int] = []
    for request in candidates:
        if available_bytes >= RECLAIMED_BYTES:
            break
        available_bytes += request.held_bytes
        refused.append(request.number)
    return refused
