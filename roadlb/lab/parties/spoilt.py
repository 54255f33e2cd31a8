"""The bytes of spoilt answers: what a grid node in trouble writes in place of, or beside, a good one."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..model.spec import Spoil
from .http import LOAD, write_answer

HUGE_BYTES = 3_000_000_000
PIECE = 16_384  # of what keeps coming
UNREADABLE = ("eps=,queue=", "queue", "eps=nan,queue=-1", "\xa7\xa7;;=", "eps=1e999,queue=0x7")


@dataclass(slots=True, frozen=True)
class SpoiltAnswer:
    data: bytes
    piece: bytes = b""  # and then this, again and again, until the connection ends
    cuts: bool = False  # and then the connection ends


def spoilt_answer(spoil: Spoil, headers: list[tuple[str, str]], body: bytes, rng: Random) -> SpoiltAnswer:
    """`headers` and `body` are those of the good answer."""
    good = write_answer(200, headers, body)
    noise = rng.randbytes(rng.randint(20, 2_000))
    length = f"Content-Length: {len(body)}\r\n".encode()
    match spoil:
        case Spoil.NOISE:
            return SpoiltAnswer(noise)
        case Spoil.HEAD_UNREADABLE:
            return SpoiltAnswer(good.replace(b"HTTP/1.1 200", b"HTTP/one 2OO").replace(b": ", b" "))
        case Spoil.HEAD_ENDLESS:
            line = b"X-Filler: " + b"a" * 1_000 + b"\r\n"
            return SpoiltAnswer(b"HTTP/1.1 200 OK\r\n" + line, line * (PIECE // len(line)))
        case Spoil.LENGTH_LONG:
            return SpoiltAnswer(good.replace(length, f"Content-Length: {len(body) + 17}\r\n".encode()))
        case Spoil.LENGTH_TWICE:
            other = f"Content-Length: {len(body) + 1}\r\n".encode()
            return SpoiltAnswer(good.replace(length, length + other))
        case Spoil.LENGTH_NEGATIVE:
            return SpoiltAnswer(good.replace(length, f"Content-Length: -{len(body)}\r\n".encode()))
        case Spoil.CHUNKS_BROKEN:
            chunks = b"%x\r\n%s\r\n" % (len(body) // 2, body)  # the size of half of it
            return SpoiltAnswer(good.replace(length, b"Transfer-Encoding: chunked\r\n").replace(body, chunks))
        case Spoil.HUGE:
            return SpoiltAnswer(
                good.replace(length, f"Content-Length: {HUGE_BYTES}\r\n".encode()),
                (body * (PIECE // max(1, len(body)) + 1))[:PIECE],
            )
        case Spoil.CUT:
            return SpoiltAnswer(good[: len(good) - max(1, len(body) // 2)], cuts=True)
        case Spoil.COPY_BEHIND:
            return SpoiltAnswer(good + good)
        case Spoil.NOISE_BEHIND:
            return SpoiltAnswer(good + noise)
        case Spoil.REPORT_UNREADABLE:
            others = [header for header in headers if header[0] != LOAD]
            return SpoiltAnswer(write_answer(200, [*others, (LOAD, rng.choice(UNREADABLE))], body))
        case Spoil.INTERIM_FIRST:
            interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            return SpoiltAnswer(interim + good)
