"""Interfaces of asyncio that reach out of the simulated world, and what to do instead."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from .errors import refuse

Loop = TypeVar("Loop", bound=type)

_DESCRIPTORS = "use create_server, create_connection or streams, which run on the simulated network"
_THREADS = "do the work in the callback, and let `host.stall` or `host.cpu` say what it costs"
_PROCESSES = "make the other program a party on a host of its own"
_TLS = "leave TLS out of what is rehearsed, or end it in front of the balancer"

REMEDIES = {
    **dict.fromkeys(("add_reader", "remove_reader", "add_writer", "remove_writer"), _DESCRIPTORS),
    **dict.fromkeys(
        (
            "sock_recv",
            "sock_recv_into",
            "sock_recvfrom",
            "sock_recvfrom_into",
            "sock_sendall",
            "sock_sendto",
            "sock_accept",
            "sock_sendfile",
            "sendfile",
            "connect_accepted_socket",
        ),
        _DESCRIPTORS,
    ),
    **dict.fromkeys(("create_unix_server", "create_unix_connection"), _DESCRIPTORS),
    **dict.fromkeys(("run_in_executor", "set_default_executor"), _THREADS),
    **dict.fromkeys(
        ("subprocess_exec", "subprocess_shell", "connect_read_pipe", "connect_write_pipe"), _PROCESSES
    ),
    "start_tls": _TLS,
    "getnameinfo": "keep the address as it is",
}


def _refusal(name: str, remedy: str) -> Callable[..., Any]:
    def refused(self: object, *args: object, **kwargs: object) -> Any:
        refuse(f"loop.{name}", remedy)

    refused.__name__ = name
    return refused


def refusing(loop: Loop) -> Loop:
    """Class decorator: each interface of REMEDIES raises NotSimulated when it is called."""
    for name, remedy in REMEDIES.items():
        setattr(loop, name, _refusal(name, remedy))
    return loop
