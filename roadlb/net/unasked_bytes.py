"""The servers that have sent bytes which no request had asked for, such as a second copy of an answer."""

from __future__ import annotations

from ..policy.interface import ServerId

REMEMBERED_US = 60_000_000
MAX_REMEMBERED = 4096  # servers; further ones are not remembered while none has expired


class UnaskedBytes:
    """Remembers each such server for REMEMBERED_US after the last time."""

    __slots__ = ("_all_forgotten_at_us", "_forgotten_at_us")

    def __init__(self) -> None:
        self._forgotten_at_us: dict[ServerId, int] = {}
        self._all_forgotten_at_us = 0

    def record(self, now_us: int, server: ServerId) -> bool:
        """Remember the server; returns whether it was not remembered before."""
        is_new = not self.sent_by(now_us, server)
        self._all_forgotten_at_us = now_us + REMEMBERED_US
        if server not in self._forgotten_at_us and len(self._forgotten_at_us) >= MAX_REMEMBERED:
            self._forget_expired(now_us)
            if len(self._forgotten_at_us) >= MAX_REMEMBERED:
                return is_new
        self._forgotten_at_us[server] = now_us + REMEMBERED_US
        return is_new

    def sent_by(self, now_us: int, server: ServerId) -> bool:
        """Whether the server has sent unasked bytes in the last REMEMBERED_US."""
        return bool(self._forgotten_at_us) and now_us < self._forgotten_at_us.get(server, 0)

    def sent_by_any(self, now_us: int) -> bool:
        """Whether any server has sent unasked bytes in the last REMEMBERED_US."""
        return now_us < self._all_forgotten_at_us

    def _forget_expired(self, now_us: int) -> None:
        self._forgotten_at_us = {s: at for s, at in self._forgotten_at_us.items() if now_us < at}
