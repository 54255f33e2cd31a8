"""What the process may use: the key `limits` of the file, and limits among the settings."""

from __future__ import annotations

from collections.abc import Mapping

from .errors import ConfigError
from .pairs import Pairs


SOCKETS = 1024  # descriptors, by default
# 37 were counted in a process with a full admin listener and no watch.  Four calls of the watch, three that
# are just being closed, a caller too many, a look at a lock, the hand-over's file and the datagrams come to
# it.
SPARE_SOCKETS = 48


def read_sockets(limits: Mapping[str, object]) -> int:
    """`limits.sockets`: descriptors that the process may hold."""
    sockets = limits.get("sockets", SOCKETS)
    if isinstance(sockets, bool) or not isinstance(sockets, int | float) or not 64 <= sockets < 1e9:
        raise ConfigError(f"limits.sockets: {sockets!r} must be a number of at least 64")
    return int(sockets)


def read_cores(limits: Mapping[str, object]) -> float:
    """`limits.cores`; the default is the one core that the process can use."""
    return _read_amount(limits, "cores", 1.0, zero=False)


def read_memory_mb(limits: Mapping[str, object]) -> float:
    """`limits.memory_mb`; 0: no limit."""
    return _read_amount(limits, "memory_mb", 0.0, zero=True)


def _read_amount(limits: Mapping[str, object], key: str, default: float, zero: bool) -> float:
    amount = limits.get(key, default)
    if (
        isinstance(amount, bool)
        or not isinstance(amount, int | float)
        or not 0 <= amount < float("inf")
        or not (amount or zero)
    ):
        raise ConfigError(f"limits.{key}: {amount!r} must be a positive number")
    return amount


def read_positive(pairs: Pairs, key: str, default: str) -> int:
    """A limit that stands among the settings."""
    value = pairs.integer("limits." + key, default)
    if value <= 0:
        raise ConfigError(f"settings: limits.{key}: must be positive")
    return value


def split_sockets(sockets: int) -> tuple[int, int]:
    """How many of the descriptors are for connections of clients, and how many for those to servers.

    Halves: an exchange holds a client's connection and one or two to instances, but clients that have no
    request open, or never send one, hold connections as well.
    """
    client_sockets = (sockets - SPARE_SOCKETS) // 2
    return client_sockets, sockets - SPARE_SOCKETS - client_sockets
