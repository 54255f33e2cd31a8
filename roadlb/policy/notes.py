"""Notes for later moments, many to one timer.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .interface import SetTimer

SLOT_US = 5_000  # a note is read so much late at the most


class Notes:
    """A timer wheel; a slot costs one timer, whatever it holds."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: dict[int, list[int]] = {}

    def put(self, at: int, note: int) -> SetTimer | None:
        """Keep a note until clock time `at`; the timer to set for it, if none is set for its slot yet."""
        slot = at // SLOT_US + 1
        notes = self._slots.get(slot)
        if notes is not None:
            notes.append(note)
            return None
        self._slots[slot] = [note]
        return SetTimer(slot * SLOT_US, slot)

    def take(self, token: int) -> Sequence[int]:
        """The notes of the timer with this token, which has fired, in their order."""
        return self._slots.pop(token, ())
