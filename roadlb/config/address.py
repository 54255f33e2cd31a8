"""Addresses in configuration: `host:port`."""

from __future__ import annotations

from dataclasses import dataclass

from .errors import ConfigError


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def read_address(key: str, text: object) -> Address:
    """`host:port`, an IPv6 host in brackets."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return Address(host.removeprefix("[").removesuffix("]"), int(port))
