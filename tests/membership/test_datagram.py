"""The datagram's reader: it takes what its writer wrote, and of all else raises its own error only."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadlb.net.datagram import MOST, PAYLOAD_MOST, TAG, Codec, Fault

HERE = "10.0.0.7:7946"
CODEC = Codec(b"k" * 32, "grid")
WHOLE = CODEC.write("lb-1", 5 << 16, 9, [(1, b"abc"), (200, b"")], HERE)
ITEMS = st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=120)), max_size=8)


def cause(data: bytes, codec: Codec = CODEC) -> str:
    with pytest.raises(Fault) as told:
        codec.read(data, HERE)
    return told.value.cause


@settings(deadline=None)
@given(st.text(min_size=1, max_size=16), st.integers(0, 2**64 - 1), st.integers(0, 2**64 - 1), ITEMS)
def test_what_is_written_is_read(
    name: str, incarnation: int, number: int, items: list[tuple[int, bytes]]
) -> None:
    read = CODEC.read(CODEC.write(name, incarnation, number, items, HERE), HERE)
    assert (read.sender, read.incarnation, read.number, list(read.items)) == (
        name,
        incarnation,
        number,
        items,
    )


@settings(deadline=None)
@given(st.binary(max_size=MOST + 10))
def test_noise_raises_the_readers_own_error(data: bytes) -> None:
    cause(data)


@settings(deadline=None)
@given(st.binary(max_size=200), st.integers(1, 64))
def test_noise_under_a_true_tag_is_read_or_faulty_but_nothing_else(noise: bytes, length: int) -> None:
    # A member gone wrong signs what it likes.
    body = WHOLE[:28] + bytes([length]) + noise
    signed = body + CODEC.tag(body, HERE)
    try:
        read = CODEC.read(signed, HERE)
    except Fault as fault:
        assert fault.cause == "malformed"
    else:
        assert sum(len(payload) for _, payload in read.items) <= len(noise)


@settings(deadline=None)
@given(st.integers(0, len(WHOLE) - 1), st.integers(1, 255))
def test_no_byte_can_be_changed_or_cut(at: int, by: int) -> None:
    cause(WHOLE[:at] + bytes([WHOLE[at] ^ by]) + WHOLE[at + 1 :])
    cause(WHOLE[:at])


def test_strangers_other_clusters_and_versions_are_told_apart() -> None:
    assert cause(WHOLE, Codec(b"K" * 32, "grid")) == "stranger"
    assert cause(WHOLE, Codec(b"k" * 32, "grid-2")) == "cluster"
    assert cause(WHOLE[:3] + b"\x02" + WHOLE[4:]) == "version"
    assert cause(b"x" * 100) == "malformed"
    with pytest.raises(Fault, match="not by our key"):
        CODEC.read(WHOLE, "10.0.0.8:7946")  # sent to another, and played to us
    with pytest.raises(ValueError, match="at least 16"):
        Codec(b"short", "grid")


def test_the_largest_payload_always_fits_and_more_is_refused() -> None:
    data = CODEC.write("n" * 64, 1, 1, [(2, b"p" * PAYLOAD_MOST)], HERE)
    assert len(data) == MOST and len(CODEC.read(data, HERE).items[0][1]) == PAYLOAD_MOST
    with pytest.raises(ValueError, match="at most"):
        CODEC.write("n" * 64, 1, 1, [(2, b"p" * (PAYLOAD_MOST + 1))], HERE)
    assert TAG == 16
