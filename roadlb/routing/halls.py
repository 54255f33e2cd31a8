"""Which halls can be reached: one that is lost or cut off is told from servers that fail one by one.

Each of a hall's forty servers would be found out by itself, by requests that wait for a dial or an answer
that never comes; and their lateness would be taken for too much work.  Where attempts at several of them
fail one after another, and none of the hall's servers answers meanwhile, the hall is shut: it is not used but
by one request now and then, until anything of it answers.
"""

from __future__ import annotations

SERVERS = 3               # of a hall have failed, with no answer from any of it meanwhile
AGAIN_US = 1_000_000      # between two requests that try a shut hall


class Halls:
    """Halls by number; times in microseconds of one clock.  It holds SERVERS ids a hall at the most."""

    __slots__ = ("_again", "_missed")

    def __init__(self) -> None:
        self._missed: dict[int, set[bytes]] = {}      # servers that failed since the hall's last answer
        self._again: dict[int, int] = {}              # of a shut hall, when it may be tried

    def answered(self, hall: int) -> None:
        """A server of it has answered, whatever it said."""
        if self._missed:
            self._missed.pop(hall, None)
            self._again.pop(hall, None)

    def missed(self, now: int, hall: int, server: bytes) -> bool:
        """An attempt never came up, broke, or was not answered in time.  Is the hall shut by this one?"""
        if hall in self._again:
            return False
        servers = self._missed.setdefault(hall, set())
        servers.add(server)
        if len(servers) == SERVERS:
            self._again[hall] = now + AGAIN_US
        return hall in self._again

    def sent(self, now: int, hall: int) -> None:
        """A request goes there: if the hall is shut, the next one waits for its turn."""
        if hall in self._again:
            self._again[hall] = now + AGAIN_US

    def shut(self, now: int, hall: int, repeatable: bool) -> bool:
        """Is it out of bounds for a request now?  It is tried with what may run twice only."""
        again = self._again.get(hall)
        return again is not None and (now < again or not repeatable)
