"""What members say to each other, as the bytes of one item of a datagram.

    record:   host, port u16, hall                  of the sender; name and incarnation are in the datagram
    digest:   members there u16, XOR u64            of its view, see `view`
    then any of these, each behind its number as u8:
    PING      number u32                            answer this
    ACK       number u32
    ASK       number u32, host, port u16            ping that address for me, and tell
    NACK      number u32                            asked so, it has not answered yet; but I am here
    PULL      BUCKETS times u32                     what of this do you hold otherwise?
    UPDATE    state u8, incarnation u64, name, host, port u16, hall, by

A text is its length as u8 and UTF-8.  `by` is who suspects it, and else empty.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TypeAlias

from .events import NAME_MOST, Member, State

BUCKETS = 64
HOST_MOST = 64
PING, ACK, ASK, NACK, PULL, UPDATE = 1, 2, 3, 4, 5, 6
_NUMBERED = struct.Struct("!BI")
_NUMBER = struct.Struct("!I")
_PORT = struct.Struct("!H")
_DIGEST = struct.Struct("!HQ")
_PULL = struct.Struct(f"!{BUCKETS}I")
_UPDATE = struct.Struct("!BBQ")
_STATE = struct.Struct("!BQ")
_STATES = {int(state): state for state in State}


class Garbled(Exception):
    """Bytes that are no item of this kind."""


@dataclass(slots=True, frozen=True)
class Numbered:
    """A PING, ACK or NACK, by `what`."""

    what: int
    number: int


@dataclass(slots=True, frozen=True)
class Ask:
    number: int
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Pull:
    buckets: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Update:
    member: Member
    by: str


Message: TypeAlias = Numbered | Ask | Pull | Update


@dataclass(slots=True, frozen=True)
class Said:
    """One item, read."""

    host: str
    port: int
    hall: str
    count: int
    digest: int
    messages: tuple[Message, ...]


def text(value: str) -> bytes:
    data = value.encode()
    if len(data) > NAME_MOST:
        raise ValueError(f"{value!r} has {len(data)} bytes, at most {NAME_MOST}")
    return bytes([len(data)]) + data


def record(me: Member) -> bytes:
    return text(me.host) + _PORT.pack(me.port) + text(me.hall)


def digest(count: int, value: int) -> bytes:
    return _DIGEST.pack(min(count, 0xFFFF), value)


def numbered(what: int, number: int) -> bytes:
    return _NUMBERED.pack(what, number)


def ask(number: int, member: Member) -> bytes:
    return _NUMBERED.pack(ASK, number) + text(member.host) + _PORT.pack(member.port)


def pull(buckets: list[int]) -> bytes:
    return bytes([PULL]) + _PULL.pack(*(value & 0xFFFFFFFF for value in buckets))


def update(member: Member, by: str = "") -> bytes:
    return (
        _UPDATE.pack(UPDATE, member.state, member.incarnation)
        + text(member.name)
        + text(member.host)
        + _PORT.pack(member.port)
        + text(member.hall)
        + text(by)
    )


class _Reader:
    __slots__ = ("at", "data")

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, form: struct.Struct) -> tuple[int, ...]:
        at, self.at = self.at, self.at + form.size
        if self.at > len(self.data):
            raise Garbled("cut off")
        return form.unpack_from(self.data, at)

    def text(self, most: int, least: int = 0) -> str:
        if self.at >= len(self.data):
            raise Garbled("cut off")
        length = self.data[self.at]
        at, self.at = self.at + 1, self.at + 1 + length
        if self.at > len(self.data) or not least <= length <= most:
            raise Garbled(f"a text of {length} bytes")
        try:
            return self.data[at : self.at].decode()
        except UnicodeDecodeError:
            raise Garbled("not UTF-8") from None


def read(data: bytes) -> Said:
    """What an item says; Garbled where it says nothing.  At most as many messages as bytes."""
    reader = _Reader(data)
    host, (port,), hall = reader.text(HOST_MOST, 1), reader.take(_PORT), reader.text(NAME_MOST)
    count, value = reader.take(_DIGEST)
    messages: list[Message] = []
    while reader.at < len(data):
        what = data[reader.at]
        reader.at += 1
        if what in (PING, ACK, NACK):
            messages.append(Numbered(what, reader.take(_NUMBER)[0]))
        elif what == UPDATE:
            messages.append(_update(reader))
        elif what == ASK:
            (number,) = reader.take(_NUMBER)
            messages.append(Ask(number, reader.text(HOST_MOST, 1), reader.take(_PORT)[0]))
        elif what == PULL:
            messages.append(Pull(reader.take(_PULL)))
        else:
            raise Garbled(f"no message has the number {what}")
    return Said(host, port, hall, count, value, tuple(messages))


def _update(reader: _Reader) -> Update:
    number, incarnation = reader.take(_STATE)
    state = _STATES.get(number)
    if state is None:
        raise Garbled(f"no state has the number {number}")
    name, host, (port,) = reader.text(NAME_MOST, 1), reader.text(HOST_MOST, 1), reader.take(_PORT)
    hall, by = reader.text(NAME_MOST), reader.text(NAME_MOST)
    return Update(Member(name, host, port, hall, incarnation, state), by)
