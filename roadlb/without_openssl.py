"""Keeps OpenSSL out of the balancer's process: imported before asyncio and uvloop, which would load it.

A balancer speaks plain TCP.  OpenSSL takes 4.5 MB of its memory, an eighth of the least that it may be given.
asyncio and hashlib do without it by themselves; uvloop needs the names below, and uses them for TLS alone.
"""

from __future__ import annotations

import sys
from types import ModuleType

_UNUSED = ("SSLContext", "MemoryBIO", "create_default_context")
_ERRORS = ("SSLError", "SSLWantReadError", "SSLSyscallError", "SSLZeroReturnError", "CertificateError")
_NUMBERS = ("SSL_ERROR_WANT_READ", "SSL_ERROR_WANT_WRITE", "SSL_ERROR_SYSCALL")


def _ssl_without_tls() -> ModuleType:
    """A module `ssl` of which nothing can be used but the names."""
    module = ModuleType("ssl", "Stands in for `ssl` in a process without TLS.")
    for name in _UNUSED:
        setattr(module, name, None)
    for name in _ERRORS:
        setattr(module, name, type(name, (OSError,), {}))
    for number, name in enumerate(_NUMBERS):
        setattr(module, name, number)
    return module


if "ssl" not in sys.modules:
    sys.modules["ssl"] = _ssl_without_tls()
    sys.modules["_hashlib"] = None  # type: ignore[assignment]  # hashlib then uses its own code
