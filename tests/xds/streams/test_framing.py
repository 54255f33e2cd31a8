"""Frames: each message comes back as it was, however the bytes are cut, and rubbish is told as such."""

from __future__ import annotations

import pytest

from roadlb.fleet.model import Locality
from roadlb.xds.framing import FRAME_MOST, Frames, FramingError, frame
from roadlb.xds.messages import (
    DeltaRequest,
    DeltaResponse,
    DiscoveryRequest,
    DiscoveryResponse,
    ErrorDetail,
    Node,
)
from roadlb.xds.resources import CLUSTER, Resource

NODE = Node("n", "c", {"deep": {"list": [1, None]}}, Locality("r", "z"), "envoy", "1.37", ("f",))
RESOURCE = Resource.make(CLUSTER, "a", b"\x00\xff", 7, ttl_us=5)
MESSAGES = [
    DiscoveryRequest(CLUSTER, ("a",), "v", "1", ErrorDetail(3, "no"), NODE),
    DiscoveryRequest(CLUSTER),
    DiscoveryResponse(CLUSTER, "v", "1", (RESOURCE, RESOURCE.heartbeat())),
    DeltaRequest(CLUSTER, ("a",), ("b",), {"c": "v"}, "1", ErrorDetail(3, "no"), NODE),
    DeltaResponse(CLUSTER, "v", "1", (RESOURCE,), ("b",)),
]


@pytest.mark.parametrize("size", [1, 3, 1 << 20])
def test_messages_come_back_however_they_are_cut(size: int) -> None:
    data, frames, got = b"".join(map(frame, MESSAGES)), Frames(), []
    for start in range(0, len(data), size):
        got += frames.feed(data[start : start + size])
    assert got == MESSAGES


@pytest.mark.parametrize(
    "data",
    [
        bytes(4),
        (FRAME_MOST + 1).to_bytes(4, "big"),
        b"\0\0\0\1\x09",
        b"\0\0\0\2\x01\xc1",
        b"\0\0\0\2\x01\x80",
    ],
    ids=["empty", "too_long", "unknown_kind", "no_messagepack", "no_type_url"],
)
def test_rubbish_is_an_error_after_the_good_frames(data: bytes) -> None:
    frames, got = Frames(), []
    with pytest.raises(FramingError):
        for message in frames.feed(frame(MESSAGES[0]) + data):
            got.append(message)
    assert got == MESSAGES[:1]
