"""Ports that the kernel has chosen for a process which is to start later."""

from __future__ import annotations

import socket


def reserved(ip: str = "127.0.0.1", kind: socket.SocketKind = socket.SOCK_STREAM) -> socket.socket:
    """Bound and never listening: while it is open, the kernel gives its port to nobody who asks for any.

    On TCP the process that it is meant for binds it all the same, with SO_REUSEADDR, as servers do.  For
    datagrams it has to be closed first.  A port that was looked up and let go is somebody else's a moment
    later: of eight balancers that listened where the kernel chose, one was given another one's door.
    """
    made = socket.socket(socket.AF_INET, kind)
    if kind is socket.SOCK_STREAM:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind((ip, 0))
    return made
