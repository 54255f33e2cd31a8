"""Names and addresses of the simulated network: `getaddrinfo` that never asks outside."""

from __future__ import annotations

import socket
from ipaddress import ip_address
from typing import Any, TypeAlias

# (host, port), or (host, port, flow, scope) where the host is an IPv6 address.
Address: TypeAlias = tuple[str, int] | tuple[str, int, int, int]

LOCALHOST = "127.0.0.1"


def is_literal(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def is_loopback(ip: str) -> bool:
    return ip.startswith("127.") or ip == "::1"


def family_of(ip: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in ip else socket.AF_INET


def address(ip: str, port: int) -> Address:
    return (ip, port, 0, 0) if ":" in ip else (ip, port)


class Names:
    """What each name stands for: a host's IP, or several in the order told."""

    def __init__(self) -> None:
        self._ips: dict[str, tuple[str, ...]] = {"localhost": (LOCALHOST,)}

    def set(self, name: str, *ips: str) -> None:
        """Have a name stand for these IPs from now on; for none: it is unknown."""
        if ips:
            self._ips[name] = ips
        else:
            self._ips.pop(name, None)

    def look_up(self, host: Any, port: Any, family: int = 0, type: int = 0, proto: int = 0) -> Any:
        """As `socket.getaddrinfo`, in the same shape; an unknown name is a `socket.gaierror`."""
        name = host.decode() if isinstance(host, bytes) else host or LOCALHOST
        try:
            number = int(port or 0)
        except ValueError:
            raise socket.gaierror(socket.EAI_SERVICE, f"port {port!r}: give a number") from None
        ips = (name,) if is_literal(name) else self._ips.get(name, ())
        wanted = [ip for ip in ips if family in (0, family_of(ip))]
        if not wanted:
            raise socket.gaierror(
                socket.EAI_NONAME,
                f"{name!r} is neither an IP address nor a name that "
                "this network knows: tell it with network.names.set(name, ip)",
            )
        kinds = [
            (kind, number)
            for kind, number in (
                (socket.SOCK_STREAM, socket.IPPROTO_TCP),
                (socket.SOCK_DGRAM, socket.IPPROTO_UDP),
            )
            if type in (0, kind) and proto in (0, number)
        ]
        return [
            (family_of(ip), kind, protocol, "", address(ip, number))
            for ip in wanted
            for kind, protocol in kinds
        ]
