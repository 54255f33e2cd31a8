"""Responses as bytes, each encoded once for all streams that are sent the same."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from ..codec.assignment import field_of
from ..codec.discovery import write_delta_response, write_response
from ..messages import DeltaResponse, DiscoveryResponse, Response
from ..resources import Resource
from ..stream import version_of

NONCE = bytes([5 << 3 | 2])  # tag in both kinds of response: all that differs from stream to stream
KEPT_BYTES = 16 << 20  # of responses; those of all types and forms of one step are some 2 MB


class Encoder:
    """A cache of responses without their nonces, the oldest dropped first.

    Resources are told apart as objects: streams share them.  They are kept with the entry, so that no other
    object gets the number of one that is gone.
    """

    def __init__(self, most: int = KEPT_BYTES) -> None:
        self._most, self._size = most, 0
        self._kept: OrderedDict[tuple[object, ...], tuple[tuple[Resource, ...], bytes]] = OrderedDict()
        self.encoded = self.shared = 0  # responses made, and those taken from the cache

    def encode(self, response: Response) -> bytes:
        removed = response.removed_resources if isinstance(response, DeltaResponse) else None
        key = response.type_url, version_of(response), tuple(map(id, response.resources)), removed
        held = self._kept.get(key)
        if held is None:
            held = response.resources, self._write(response)
            self.encoded += 1
            self._kept[key] = held
            self._size += len(held[1])
            while self._size > self._most and len(self._kept) > 1:
                self._size -= len(self._kept.popitem(last=False)[1][1])
        else:
            self.shared += 1
        return held[1] + field_of(NONCE, response.nonce.encode())

    @staticmethod
    def _write(response: Response) -> bytes:
        if isinstance(response, DiscoveryResponse):
            return write_response(replace(response, nonce=""))
        return write_delta_response(replace(response, nonce=""))
