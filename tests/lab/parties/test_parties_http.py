"""The parties read messages strictly and in any pieces."""

import pytest

from roadlb.lab.parties.http import AnswerReader, Garbled, RequestReader, write_answer, write_request

HEADERS = [("Host", "backend.local"), ("X-A", "1"), ("x-a", "2")]
REQUEST = write_request("POST", "/order/f01?w=5", HEADERS, b"body")
ANSWER = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + write_answer(200, [("X-A", "1")], b"whole")


@pytest.mark.parametrize("size", [1, 7, 1_000])
def test_messages_are_read_in_pieces_of_any_size(size):
    for reader, data in ((RequestReader(), REQUEST * 2), (AnswerReader(), ANSWER * 2)):
        got = [m for at in range(0, len(data), size) for m in reader.feed(data[at : at + size])]
        assert len(got) == 2 and got[0] == got[1] and not reader.begun
        assert (got[0].target, got[0].body) in {("/order/f01?w=5", b"body"), ("", b"whole")}
        assert got[0].headers["x-a"] in {"1, 2", "1"} and got[0].keep_alive


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02",
        b"HTTP/one 2OO what\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
        b"HTTP/1.1 200 OK\r\n" + b"X-Filler: aaaaaaaaaaaa\r\n" * 1_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    ],
)
def test_what_cannot_be_read_is_garbled(data):
    with pytest.raises(Garbled):
        AnswerReader().feed(data)


def test_a_whole_answer_in_front_of_noise_is_rescued():
    reader = AnswerReader()
    with pytest.raises(Garbled):
        reader.feed(ANSWER + b"\x00\x01noise")
    assert [m.body for m in reader.rescue()] == [b"whole"]


@pytest.mark.parametrize(
    "data, body",
    [
        (b"HTTP/1.1 200 OK\r\n\r\nto the end", b"to the end"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", None),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n", None),
        (b"HTTP/1.1 200", None),
        (b"", None),
    ],
)
def test_at_the_end_only_an_answer_of_no_stated_length_is_whole(data, body):
    reader = AnswerReader()
    assert reader.feed(data) == []
    end = reader.end()
    assert (end.body if end else None) == body
