"""The bytes of what balancers tell each other of shared state; each message is one item of a datagram.

    ask      1 | number u64 | instances u32 | items: key 8, hold u32, want u32
    answer   2 | life u64, number u64       | items: key 8, units u32
    counts   7 | number u64, left out by sort 3 x u32 | items: sort u8, key 4, count u16
    beliefs  5, or 6 for what has changed of them
             | number u64, pressure u8 (255: none), weight u16, answering u16, failing u16, hall 8
             | halls u8, of each: hall 8, weight u8, ms since when u32, since heard u32; U32 for never
             | items: server 8, trouble u3 and failures u5, ms since bad u16, since the one before u16, since
               good u16; U16 for never, as for what is longer ago than that

Counts are told each time anew, not as changes, so that one lost or doubled does no harm; what has changed of
beliefs is told as it is now, and all of them again and again.  Integers are big-endian.  Whatever comes,
reading raises Fault or gives a message within its bounds.
"""

from __future__ import annotations

import struct
from typing import Any, TypeAlias

from .budgets import MOST_ITEMS
from .counts import MOST_COUNTS, SHORT, Counted
from .events import KEY, Answer, Ask, Sort
from .halls import MOST_HALLS, HallSign
from .judgements import MOST_SIGNS, Evidence, Sign, Trouble

MOST = 1_000  # bytes of a message
U32, U16, FAILURES = (1 << 32) - 1, (1 << 16) - 1, (1 << 5) - 1

_ASK, _ANSWER, _COUNTS, _BELIEFS, _CHANGES = 1, 2, 7, 5, 6
_ASK_HEAD = struct.Struct("!BQI")
_ASK_ITEM = struct.Struct(f"!{KEY}sII")
_ANSWER_HEAD = struct.Struct("!BQQ")
_ANSWER_ITEM = struct.Struct(f"!{KEY}sI")
_COUNTS_HEAD = struct.Struct("!BQIII")
_COUNTS_ITEM = struct.Struct(f"!B{SHORT}sH")
_BELIEFS_HEAD = struct.Struct(f"!BQBHHH{KEY}sB")
_HALL = struct.Struct(f"!{KEY}sBII")
_BELIEFS_ITEM = struct.Struct(f"!{KEY}sBHHH")

Message: TypeAlias = Ask | Answer | Counted | Evidence


class Fault(Exception):
    """Bytes that are no message."""


def write(message: Message) -> bytes:
    """At most MOST bytes; what is over a message's bound is left out by who makes it."""
    if isinstance(message, Ask):
        head = _ASK_HEAD.pack(_ASK, message.number, message.instances)
        parts = [_ASK_ITEM.pack(*item) for item in message.items[:MOST_ITEMS]]
    elif isinstance(message, Answer):
        head = _ANSWER_HEAD.pack(_ANSWER, message.life, message.number)
        parts = [_ANSWER_ITEM.pack(*item) for item in message.items[:MOST_ITEMS]]
    elif isinstance(message, Counted):
        head = _COUNTS_HEAD.pack(_COUNTS, message.number, *(min(n, U32) for n in message.rest))
        parts = [_COUNTS_ITEM.pack(sort, key, min(n, U16)) for sort, key, n in message.items[:MOST_COUNTS]]
    else:
        pressure = 255 if message.pressure is None else round(254 * min(1.0, max(0.0, message.pressure)))
        halls = message.halls[:MOST_HALLS]
        head = _BELIEFS_HEAD.pack(
            _BELIEFS if message.whole else _CHANGES,
            message.number,
            pressure,
            min(message.weight, U16),
            min(message.answering, U16),
            min(message.failing, U16),
            message.hall,
            len(halls),
        )
        parts = [_HALL.pack(h.hall, h.weight, _ms(h.since_us, U32), _ms(h.heard_us, U32)) for h in halls]
        parts += [
            _BELIEFS_ITEM.pack(
                s.server,
                s.trouble << 5 | min(s.failures, FAILURES),
                _ms(s.bad_us),
                _ms(s.before_us),
                _ms(s.good_us),
            )
            for s in message.signs[:MOST_SIGNS]
        ]
    return head + b"".join(parts)


def _ms(us: int, never: int = U16) -> int:
    """Milliseconds of an age, the largest figure for never."""
    return never if us < 0 else min(us // 1000, never)


def _us(ms: int, never: int = U16) -> int:
    return -1 if ms == never else ms * 1000


def read(data: bytes) -> Message:
    """The message; Fault where there is none."""
    if not data or len(data) > MOST:
        raise Fault(f"{len(data)} bytes")
    kind = data[0]
    try:
        if kind == _ASK:
            _, number, instances = _ASK_HEAD.unpack_from(data)
            return Ask(number, instances, tuple(_items(data, _ASK_HEAD.size, _ASK_ITEM, MOST_ITEMS)))
        if kind == _ANSWER:
            _, life, number = _ANSWER_HEAD.unpack_from(data)
            return Answer(life, number, tuple(_items(data, _ANSWER_HEAD.size, _ANSWER_ITEM, MOST_ITEMS)))
        if kind == _COUNTS:
            _, number, *rest = _COUNTS_HEAD.unpack_from(data)
            return Counted(
                tuple(
                    (Sort(sort), key, n)
                    for sort, key, n in _items(data, _COUNTS_HEAD.size, _COUNTS_ITEM, MOST_COUNTS)
                ),
                (rest[0], rest[1], rest[2]),
                number,
            )
        if kind in (_BELIEFS, _CHANGES):
            _, number, pressure, weight, answering, failing, hall, count = _BELIEFS_HEAD.unpack_from(data)
            end = _BELIEFS_HEAD.size + count * _HALL.size
            if count > MOST_HALLS or len(data) < end:
                raise Fault(f"{count} halls")
            halls = tuple(
                HallSign(key, min(weight, 2), _us(since, U32), _us(heard, U32))
                for key, weight, since, heard in _HALL.iter_unpack(data[_BELIEFS_HEAD.size : end])
            )
            if any(h.weight and h.since_us < 0 for h in halls):
                raise Fault("a hall accused since never")
            signs = tuple(
                Sign(key, Trouble(how >> 5), how & FAILURES, _us(bad), _us(before), _us(good))
                for key, how, bad, before, good in _items(data, end, _BELIEFS_ITEM, MOST_SIGNS)
            )
            return Evidence(
                None if pressure == 255 else pressure / 254,
                weight,
                answering,
                failing,
                hall,
                signs,
                number,
                kind == _BELIEFS,
                halls,
            )
    except (struct.error, ValueError) as e:
        raise Fault(str(e)) from None
    raise Fault(f"kind {kind}")


def _items(data: bytes, at: int, item: struct.Struct, most: int) -> list[Any]:
    body = data[at:]
    if len(body) > most * item.size:
        raise Fault(f"{len(body)} bytes of items")
    return list(item.iter_unpack(body))
