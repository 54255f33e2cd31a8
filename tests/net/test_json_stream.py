"""JSON values out of a stream of bytes: each whole and once, in any form and pieces, and bounded."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadlb.net import json_stream
from roadlb.net.json_stream import JsonStream, MalformedStream

LEAF = st.one_of(st.text(), st.integers(), st.booleans(), st.none())
VALUE = st.dictionaries(st.text(), st.one_of(LEAF, st.lists(st.dictionaries(st.text(), LEAF))))


@given(
    st.lists(st.tuples(VALUE, st.sampled_from([None, 0, 1, "\t"]), st.booleans()), max_size=4),
    st.sampled_from([b"\n", b"\r\n", b" ", b"", b"\n\n"]),
    st.lists(st.integers(0, 400), max_size=8),
)
def test_each_value_comes_whole_and_once_however_it_is_written_and_cut(
    values: list[tuple[object, object, bool]], between: bytes, cuts: list[int]
) -> None:
    texts = [
        json.dumps(value, indent=indent, ensure_ascii=ascii).encode(errors="surrogatepass")  # type: ignore[arg-type]
        for value, indent, ascii in values
    ]
    data = b"".join(text + between for text in texts)
    ends = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    stream, got = JsonStream(), []
    for start, end in zip(ends, ends[1:], strict=False):
        got += [value for value in stream.feed(data[start:end]) if value is not None]
    assert got == [value for value, _, _ in values] and not stream.open


def test_blank_lines_are_told_and_the_end_of_a_value_s_own_line_is_none() -> None:
    stream = JsonStream()
    assert list(stream.feed(b'\n \r\n{"a": 1}\n\n{"a":\n2}')) == [None, None, {"a": 1}, None, {"a": 2}]
    assert list(stream.feed(b"\n")) == [] and list(stream.feed(b"\n")) == [None]


@pytest.mark.parametrize("pieces", [1, 1000])
@pytest.mark.parametrize(
    "data",
    [
        b"nonsense",
        b"7\n",
        b"}",
        b"[" * 100,
        b'{"a": ' * 100,
        b'{"a": "b\n',
        b'{"a": "b\x00"}',
        b"{]",
        b"{'a': 1}\n",
        b'{"a": 1,}\n',
        b'{"a": "\xff"}\n',
    ],
)
def test_what_is_no_object_is_named_as_soon_as_it_is_seen(data: bytes, pieces: int) -> None:
    stream = JsonStream()
    with pytest.raises(MalformedStream):
        for at in range(0, len(data), pieces):
            list(stream.feed(data[at : at + pieces]))


def test_a_value_without_an_end_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(json_stream, "MESSAGE_MOST_BYTES", 1000)
    stream = JsonStream()
    list(stream.feed(b'{"a": "'))
    with pytest.raises(MalformedStream, match="over 1000 bytes"):
        for _ in range(11):
            list(stream.feed(b"x" * 100))
