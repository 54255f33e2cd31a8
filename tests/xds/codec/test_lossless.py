"""From the wire to the fleet's data and back nothing is lost, whatever a message holds."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from codec_messages import KINDS, NAMES, RECORDED, Maker, alike, recorded

from roadlb.xds.codec.protos import CodecError, held


@pytest.mark.parametrize("path", RECORDED, ids=NAMES)
def test_a_recorded_message_comes_out_as_it_came_in(path: Path) -> None:
    name, data = recorded(path)
    kind, read, write = KINDS[name]
    again = write(read(data))
    assert alike(kind, again, data)
    assert read(again) == read(data), "and the fleet sees the same in it"


@pytest.mark.parametrize("name", KINDS)
@settings(derandomize=True, deadline=None, max_examples=100, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 2**32))
def test_a_generated_message_comes_out_as_it_came_in(name: str, seed: int) -> None:
    kind, read, write = KINDS[name]
    data = held(Maker(seed).message(kind))
    again = write(read(data))
    assert alike(kind, again, data)


@pytest.mark.parametrize("name", KINDS)
def test_bytes_that_are_no_message_are_refused(name: str) -> None:
    with pytest.raises(CodecError, match=name):
        KINDS[name][1](b"\x0a\xff\xff")


def test_the_comparison_sees_an_unknown_field_that_is_lost() -> None:
    kind = KINDS["envoy.config.endpoint.v3.ClusterLoadAssignment"][0]
    data = held(kind(cluster_name="grid"))
    assert not alike(kind, data, data + b"\xf8\x7c\x01")
