"""Which addresses load may be sent to: those of this machine alone."""

from __future__ import annotations

from ipaddress import ip_address
from urllib.parse import urlsplit

REMEDY = "give http://127.0.0.1:PORT or http://[::1]:PORT"


class NotLoopback(ValueError):
    """A URL that load is not sent to; the text says why, and what would do."""


def loopback_address(url: str) -> tuple[str, int]:
    """(host, port) of a balancer on loopback; raises NotLoopback.

    A name is refused even if it leads here now: who answers for it is not this machine's choice.  Only
    `localhost` is taken, and means 127.0.0.1.
    """
    try:
        parts = urlsplit(url)
        host, port = parts.hostname or "", parts.port
    except ValueError as e:
        raise NotLoopback(f"{url}: {e}; {REMEDY}") from None
    if parts.scheme != "http" or not host or not port:
        raise NotLoopback(f"{url}: is not http://HOST:PORT; {REMEDY}")
    if parts.username or parts.path not in ("", "/") or parts.query or parts.fragment:
        raise NotLoopback(f"{url}: has more than a host and a port; {REMEDY}")
    if host == "localhost":
        return "127.0.0.1", port
    try:
        local = ip_address(host).is_loopback
    except ValueError:
        raise NotLoopback(
            f"{url}: {host} is a name, and load is sent to loopback addresses only; {REMEDY}"
        ) from None
    if not local:
        raise NotLoopback(
            f"{url}: {host} is no loopback address, and load is sent to this machine only; {REMEDY}"
        )
    return host, port
