"""When a transport's `write` reaches the socket, and what `get_write_buffer_size` says in between and after.

    python benchmarks/probes/writes.py

The far end is a plain socket of this process, so what has really gone out can be read beside what the
transport says.  Each case runs on asyncio's loop and on uvloop's.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from importlib.metadata import version
from typing import Any

import uvloop

BIG = 8 << 20  # more than both ends' socket buffers hold on loopback


class Watched(asyncio.Protocol):
    """Keeps what it saw, with the write buffer's size at each event."""

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.reply = b""
        self.keep_open = False
        self.at_data: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def size(self) -> str:
        try:
            size = str(self.transport.get_write_buffer_size())
        except Exception as e:
            size = type(e).__name__
        return size + (", closing" if self.transport.is_closing() else "")

    def data_received(self, data: bytes) -> None:
        if self.at_data:
            self.at_data()

    def eof_received(self) -> bool:
        self.seen.append(f"eof_received (buffer {self.size()})")
        return self.keep_open

    def connection_lost(self, exc: BaseException | None) -> None:
        self.seen.append(f"connection_lost {type(exc).__name__ if exc else 'None'} (buffer {self.size()})")


def at_peer(far: socket.socket) -> int:
    """How many bytes lie at the far end, left there."""
    try:
        return len(far.recv(1 << 20, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return 0


def reset(far: socket.socket) -> None:
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()


async def pair() -> tuple[Watched, socket.socket]:
    near, far = socket.socket(), socket.create_server(("127.0.0.1", 0))
    near.connect(far.getsockname())
    accepted, _ = far.accept()
    far.close()
    _, protocol = await asyncio.get_running_loop().create_connection(Watched, sock=near)
    return protocol, accepted


async def written() -> list[str]:
    """One small write from a data_received callback, looked at straight away, and then turn by turn."""
    p, far = await pair()
    seen, loop = p.seen, asyncio.get_running_loop()

    def look(when: str) -> None:
        seen.append(f"{when}: buffer {p.size()}, at peer {at_peer(far)}")

    def at_data() -> None:
        p.transport.write(b"x" * 100)
        look("after write")
        p.transport.write(b"x" * 100)
        look("after a second write")
        loop.call_soon(look, "next callback (call_soon)")

    p.at_data = at_data
    far.send(b"go")
    await asyncio.sleep(0.05)
    look("50 ms later")
    return seen


async def writelines() -> list[str]:
    p, far = await pair()
    p.transport.writelines([b"x" * 100, b"y" * 100])
    p.seen.append(f"after writelines of 2: buffer {p.size()}, at peer {at_peer(far)}")
    far.close()
    return p.seen


async def then(what: str) -> list[str]:
    """Write and, in the same turn, end the connection."""
    p, far = await pair()
    p.transport.write(b"x" * 100)
    getattr(p.transport, what)()
    p.seen.append(f"after write + {what}: buffer {p.size()}")
    await asyncio.sleep(0.05)
    p.seen.append(f"at peer {at_peer(far)}")
    return p.seen


async def peer_closed() -> list[str]:
    """The peer closed before we wrote, and the loop has not read it yet."""
    p, far = await pair()
    far.close()
    p.transport.write(b"x" * 100)
    p.seen.append(f"after write: buffer {p.size()}")
    await asyncio.sleep(0.05)
    return p.seen


async def peer_reset() -> list[str]:
    p, far = await pair()
    reset(far)
    p.transport.write(b"x" * 100)
    p.seen.append(f"after write: buffer {p.size()}")
    await asyncio.sleep(0.05)
    return p.seen


async def peer_reset_seen() -> list[str]:
    """Nobody reads at the far end any more: it answers the first write with a reset, the second meets it."""
    p, far = await pair()
    far.close()
    p.transport.write(b"x" * 100)
    p.seen.append(f"after write: buffer {p.size()}")
    p.transport.write(b"x" * 100)
    p.seen.append(f"after a second write: buffer {p.size()}")
    await asyncio.sleep(0.05)
    try:
        p.transport.write(b"x" * 100)
        p.seen.append(f"write after connection_lost: buffer {p.size()}")
    except Exception as e:
        p.seen.append(f"write after connection_lost raises {type(e).__name__}: {e}")
    return p.seen


async def after_close() -> list[str]:
    p, far = await pair()
    p.transport.close()
    p.transport.write(b"x" * 100)
    p.seen.append(f"after close, write: buffer {p.size()}")
    await asyncio.sleep(0.05)
    p.seen.append(f"at peer {at_peer(far)}")
    return p.seen


async def dial_called_off() -> list[str]:
    """The task that dials is cancelled in the very turn in which the connection is made."""
    loop, server = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))

    class Made(Watched):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            dial.cancel()

    p = Made()
    dial = loop.create_task(loop.create_connection(lambda: p, *server.getsockname()))
    try:
        await dial
    except asyncio.CancelledError:
        p.seen.append(f"after the dial: buffer {p.size()}")
    try:
        p.transport.write(b"x" * 100)
        p.seen.append(f"after write: buffer {p.size()}")
    except Exception as e:
        p.seen.append(f"write raises {type(e).__name__}: {e}")
    await asyncio.sleep(0.05)
    server.close()
    return p.seen


async def eof_in_turn() -> list[str]:
    """Data and FIN lie there together, and the data's callback writes."""
    p, far = await pair()

    def at_data() -> None:
        p.transport.write(b"x" * 100)
        p.seen.append(f"after write: buffer {p.size()}, at peer {at_peer(far)}")

    p.at_data = at_data
    far.send(b"go")
    far.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.05)
    p.seen.append(f"at peer {at_peer(far)}")
    return p.seen


async def big_then_reset() -> list[str]:
    """More than the socket takes; the peer reads nothing of it and resets."""
    p, far = await pair()
    p.transport.write(bytes(BIG))
    p.seen.append(f"after write of 8 MiB: buffer {p.size()}")
    await asyncio.sleep(0.05)
    p.seen.append(f"50 ms later: buffer {p.size()}")
    reset(far)
    await asyncio.sleep(0.05)
    return p.seen


async def big_then_closed() -> list[str]:
    """The same, but the peer closes with FIN only, half: eof_received while much is still unsent."""
    p, far = await pair()
    p.keep_open = True
    p.transport.write(bytes(BIG))
    await asyncio.sleep(0.05)
    far.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.05)
    p.transport.abort()
    p.seen.append(f"after abort: buffer {p.size()}")
    await asyncio.sleep(0.05)
    return p.seen


CASES: dict[str, Callable[[], Coroutine[Any, Any, list[str]]]] = {
    "two writes in data_received": written,
    "writelines": writelines,
    "write, close": lambda: then("close"),
    "write, abort": lambda: then("abort"),
    "peer has closed, then write": peer_closed,
    "peer has reset, then write": peer_reset,
    "peer has closed, write twice": peer_reset_seen,
    "close, write": after_close,
    "dial called off as it succeeds": dial_called_off,
    "data and FIN together, write": eof_in_turn,
    "8 MiB, then reset": big_then_reset,
    "8 MiB, half closed, abort": big_then_closed,
}


def main() -> None:
    print(f"uvloop {version('uvloop')}")
    for name, case in CASES.items():
        print(name)
        for loop, factory in (("asyncio", asyncio.new_event_loop), ("uvloop", uvloop.new_event_loop)):
            with asyncio.Runner(loop_factory=factory) as runner:
                for line in runner.run(case()):
                    print(f"  {loop:<8} {line}")


if __name__ == "__main__":
    main()
