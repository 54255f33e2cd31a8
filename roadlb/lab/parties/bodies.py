"""Bodies that tell whose they are: an answer that was swapped, cut or altered shows it by itself."""

from __future__ import annotations

from .http import digest


def asked(method: str, target: str, body: bytes) -> str:
    """A digest of a request: what a node says that it was asked, and what a client knows that it did ask."""
    return digest(f"{method} {target}\n".encode("latin-1") + body)


def answer_body(id: str, asked: str, node: str, started_ms: int, serial: int, size: int) -> bytes:
    """About `size` bytes that no other request, process or answer has: one line, again and again."""
    line = f"{id} {asked} {node} {started_ms} {serial} {size}\n".encode()
    return (line * (size // len(line) + 1))[: max(size, len(line))]


def is_right(body: bytes, id: str, asked: str) -> bool:
    """Is it whole, and the answer to this very request?"""
    line, newline, _ = body.partition(b"\n")
    words = line.decode("latin-1").split(" ")
    if not newline or len(words) != 6 or words[:2] != [id, asked] or not words[5].isdecimal():
        return False
    size = max(int(words[5]), len(line) + 1)
    return len(body) == size and body == ((line + b"\n") * (size // (len(line) + 1) + 1))[:size]
