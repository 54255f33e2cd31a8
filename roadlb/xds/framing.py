"""Messages of an xDS stream as length-prefixed frames, where there is no gRPC: for the lab's network.

A frame is four bytes of length, big endian, one byte that says which message it is, and the message in
MessagePack.  (msgspec writes the dataclasses as they are: of the libraries that do, it needs no code for them
and keeps bytes as bytes.  JSON would have to carry bodies in base64, a third larger.)
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from .messages import DeltaRequest, DeltaResponse, DiscoveryRequest, DiscoveryResponse, Request, Response

KINDS: dict[int, type[Request] | type[Response]] = {
    1: DiscoveryRequest,
    2: DiscoveryResponse,
    3: DeltaRequest,
    4: DeltaResponse,
}
FRAME_MOST = 64 << 20  # bytes; a whole state of 10,000 clusters of 5 KB has 50 MB

_NUMBERS = {kind: number for number, kind in KINDS.items()}
_DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()}
_ENCODER = msgspec.msgpack.Encoder()
_LENGTH = 4


class FramingError(ValueError):
    """What came is no message; the stream cannot go on, as nobody knows where the next one begins."""


def frame(message: Request | Response) -> bytes:
    """A message with its length in front."""
    body = _ENCODER.encode(message)
    return (len(body) + 1).to_bytes(_LENGTH, "big") + bytes([_NUMBERS[type(message)]]) + body


class Frames:
    """Takes bytes as they come and gives messages as they are complete."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> Iterator[Request | Response]:
        """The messages that these bytes complete.

        Raises FramingError where the stream is not one of frames; the messages before that are given first.
        """
        self._data += data
        while len(self._data) >= _LENGTH:
            length = int.from_bytes(self._data[:_LENGTH], "big")
            if not 0 < length <= FRAME_MOST:
                raise FramingError(f"frame of {length} bytes: it must have 1 to {FRAME_MOST}")
            if len(self._data) < _LENGTH + length:
                return
            content = bytes(self._data[_LENGTH : _LENGTH + length])
            del self._data[: _LENGTH + length]
            yield _message(content)


def _message(content: bytes) -> Request | Response:
    decoder = _DECODERS.get(content[0])
    if decoder is None:
        raise FramingError(f"frame of kind {content[0]}: known are {sorted(KINDS)}")
    try:
        message: Request | Response = decoder.decode(memoryview(content)[1:])
    except msgspec.MsgspecError as error:
        raise FramingError(f"{KINDS[content[0]].__name__} that cannot be read: {error}") from error
    return message
