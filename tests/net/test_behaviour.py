"""What clients and nodes may send, and what becomes of it, whatever code reads it.

The table holds for each case of the corpus; two properties hold for any cutting up of it, and for what chance
makes of valid messages.  They are judged by a reader of RFC 9112 of their own, which takes only what the RFC
says a message is, and so places each body where it must lie.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from functools import cache

import harness
import pytest
from corpus import CHUNKED, CLIENT, FOUR, GET, HIDDEN, LAST, chunked, get, post
from corpus_nodes import BODY_3, EARLY, NODE, ONE, answer
from harness import ClientOutcome, NodeOutcome, Pairs, Ran
from hypothesis import given, settings
from hypothesis import strategies as st
from record_behaviour import MAX_BYTEWISE_BYTES, SETTLE_TURNS, BEHAVIOUR_PATH

RECORDED = json.loads(BEHAVIOUR_PATH.read_text())
# Where the code is meant to differ from the table, which was recorded on aiohttp: by the reason.
CHANGES: dict[str, dict[str, dict[str, object]]] = json.loads(
    BEHAVIOUR_PATH.with_name("changes.json").read_text()
)
CHANGED = {name: outcome for cases in CHANGES.values() for name, outcome in cases.items()}
SIDES: dict[str, tuple[dict[str, bytes], Callable[..., ClientOutcome | NodeOutcome]]] = {
    "client": (CLIENT, harness.client),
    "node": (NODE, harness.node),
}
GROUPS = sorted({f"{side}/{name.partition('/')[0]}" for side, (cases, _) in SIDES.items() for name in cases})
ENDS = {"kept", "closed", "aborted", "lingers", "waiting"}
STATUSES = {100, 200, 400, 404, 405, 409, 411, 413, 414, 417, 426, 431, 501, 505}
GAPS = (0, 1, SETTLE_TURNS)  # turns of the loop between segments; uvloop may hand over several in one
SLOW = settings(derandomize=True, deadline=None, max_examples=250)


# The strict reader

TOKEN, TEXT = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+", rb"[\t -~\x80-\xff]*"
FIELDS = rb"((?:" + TOKEN + rb":" + TEXT + rb"\r\n)*)\r\n"
# Several spaces are one (RFC 9112, 3: "MAY ... on whitespace-delimited word boundaries").
REQUEST = re.compile(rb"(" + TOKEN + rb") +([!-~]+) +((?:HTTP|RTSP)/1\.[01])\r\n" + FIELDS)
# The parser does not tell another protocol of the same version.
# Control bytes and folds in a node's headers are read over: they change no length.
ANYTHING = rb"[^\r\n\0]*(?:\r\n[ \t][^\r\n\0]*)*"
ANSWER = re.compile(
    rb"[\r\n]*(?:HTTP|RTSP)/1\.([01]) ([1-9]\d\d)(?: [^\r\n]*)?\r\n"
    rb"((?:" + TOKEN + rb":" + ANYTHING + rb"\r\n)*)\r\n"
)
TRAILERS = re.compile(rb"((?:" + TOKEN + rb":" + ANYTHING.replace(rb"\0", b"") + rb"\r\n)*)\r\n")
CHUNK = re.compile(rb"([0-9A-Fa-f]+)(?:;" + TEXT + rb")?\r\n")


def fields_of(block: bytes) -> Pairs:
    text = re.sub("\r\n[ \t]+", " ", block.decode("latin-1"))
    pairs = [line.partition(":") for line in text.split("\r\n")[:-1]]
    return [(name.lower(), value.strip(" \t")) for name, _, value in pairs]


def body_at(data: bytes, at: int, fields: Pairs, minor: bytes) -> tuple[bytes, int] | None:
    """The body that begins here, and where it ends, if all is there and says one length."""
    lengths = [value for name, value in fields if name == "content-length"]
    codings = [value.encode("latin-1") for name, value in fields if name == "transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        return None
    if lengths:
        if not re.fullmatch(r"[0-9]{1,19}", lengths[0]) or len(data) - at < int(lengths[0]):
            return None
        return data[at : at + int(lengths[0])], at + int(lengths[0])
    if not codings:
        return b"", at
    if codings[0].lower() != b"chunked" or minor == b"0":
        return None
    body = b""
    while match := CHUNK.match(data, at):
        at, size = match.end(), int(match[1], 16)
        if size == 0:
            end = TRAILERS.match(data, at)
            return (body, end.end()) if end else None
        if data[at + size : at + size + 2] != b"\r\n":
            return None
        body, at = body + data[at : at + size], at + size + 2
    return None


def requests_in(data: bytes) -> Iterator[tuple[str, str, Pairs, bytes]]:
    """The requests in front of the first byte that is no part of one; empty lines between them are none."""
    at = 0
    while True:
        while data[at : at + 1] in (b"\r", b"\n"):
            at += 1
        match = REQUEST.match(data, at)
        found = match and body_at(data, match.end(), fields := fields_of(match[4]), match[3][-1:])
        if not match or not found:
            return
        yield match[1].decode(), match[2].decode(), fields, found[0]
        at = found[1]


def answer_in(data: bytes) -> tuple[int, bytes, bytes] | None:
    """Status and body of the final answer, and what lies behind it, if all of it is there."""
    at = 0
    while match := ANSWER.match(data, at):
        at, status, fields = match.end(), int(match[2]), fields_of(match[3])
        if status == 101:
            return None
        if status < 200:
            continue
        framed = any(name in ("content-length", "transfer-encoding") for name, _ in fields)
        if status in (204, 304):
            return status, b"", data[at:]
        if not framed and status != 200:
            return status, b"", b""  # nobody waits for its end
        found = body_at(data, at, fields, match[1]) if framed else None
        return (status, found[0], data[found[1] :]) if found else None
    return None


def check_client(data: bytes, outcome: ClientOutcome) -> None:
    """No fault, no more and no other requests than the strict reader finds, one answer for each that ran."""
    assert not outcome.faults
    assert outcome.end in ENDS
    assert {status for status, _, _ in outcome.answers} <= STATUSES
    strict = requests_in(data)
    for ran in outcome.ran:
        # Those that were rejected are passed over; what is looked for must still come, in this order.
        headers = {(name.lower(), value) for name, value in ran.headers} - {("host", "n0")}  # added in 1.0
        # A target in absolute form names the same as its path and query do (RFC 9112, 3.2).
        assert any(
            (method, re.sub(r"^http://[^/?]+(?=/)", "", target, flags=re.I), body)
            == (ran.method, ran.target, ran.body)
            and headers <= set(fields)
            for method, target, fields, body in strict
        ), f"{ran} is no request of these bytes"
    served = [body for status, _, body in outcome.answers if status == 200 and body != b""]
    assert served == [harness.served_body(number) for number in range(len(outcome.ran))]


def check_node(data: bytes, outcome: NodeOutcome) -> None:
    """No fault, nothing served that is not the answer, and nothing behind it kept for the next request."""
    assert not outcome.faults
    assert outcome.next in ("", "reused", "dials anew"), outcome.next
    strict = answer_in(data)
    if strict is None:
        assert outcome.ending not in ("served", "turned_away")
        return
    status, body, behind = strict
    if outcome.ending == "served":
        assert (status, outcome.body) == (200, body)
    if outcome.next == "reused":
        assert not behind


# The table


def told(outcome: ClientOutcome | NodeOutcome) -> dict[str, object]:
    """An outcome as the table has it."""
    read: dict[str, object] = json.loads(json.dumps(outcome.json()))
    return read


@cache
def whole(name: str) -> ClientOutcome | NodeOutcome:
    """The outcome of a case of the corpus, sent in one go."""
    side, _, case = name.partition("/")
    return SIDES[side][1]([SIDES[side][0][case]])


def expected(name: str) -> list[dict[str, object]]:
    """The outcomes that a case may have; the old code had some of these by the chance of the network."""
    if name in CHANGED:
        return [CHANGED[name]]
    recorded = RECORDED[name]
    outcomes = recorded if isinstance(recorded, list) else [recorded]
    return [outcome for outcome in outcomes if outcome.get("at_eof") != "waiting"]


def members(group: str) -> Iterator[tuple[str, str, bytes]]:
    side, _, prefix = group.partition("/")
    for name, data in SIDES[side][0].items():
        if name.startswith(prefix + "/"):
            yield side, f"{side}/{name}", data


def test_the_table_has_the_corpus_and_no_more() -> None:
    names = {f"{side}/{name}" for side, (cases, _) in SIDES.items() for name in cases}
    assert names == set(RECORDED) and set(CHANGED) <= names


@pytest.mark.parametrize("group", GROUPS)
def test_a_message_has_the_outcome_that_it_always_had(group: str) -> None:
    wrong = {}
    for _, name, _ in members(group):
        outcome = told(whole(name))
        if outcome not in expected(name):
            wrong[name] = (outcome, "instead of", expected(name))
    assert not wrong


@pytest.mark.parametrize("group", GROUPS)
def test_no_case_runs_what_the_rfc_does_not_say_is_a_request_or_an_answer(group: str) -> None:
    for _, name, data in members(group):
        outcome = whole(name)
        try:
            check_client(data, outcome) if isinstance(outcome, ClientOutcome) else check_node(data, outcome)
        except AssertionError as e:
            raise AssertionError(name) from e


# Cutting up


def lasting(outcome: ClientOutcome | NodeOutcome) -> dict[str, object]:
    """An outcome but for the word to go on, which hangs on when the body comes."""
    read = told(outcome)
    if isinstance(answers := read.get("answers"), list):
        read["answers"] = [status for status in answers if status != 100]
    return read


@pytest.mark.parametrize("group", GROUPS)
def test_byte_for_byte_a_message_is_what_it_is_as_a_whole(group: str) -> None:
    wrong = {}
    for side, name, data in members(group):
        if len(data) <= MAX_BYTEWISE_BYTES // 10:
            outcome = lasting(SIDES[side][1]([data[i : i + 1] for i in range(len(data))]))
            if outcome != lasting(whole(name)):
                wrong[name] = (outcome, "but as a whole", lasting(whole(name)))
    assert not wrong


@st.composite
def cut_up(draw: st.DrawFn, data: bytes) -> tuple[list[bytes], int]:
    """The same bytes in up to eight segments, and the turns between them."""
    places = sorted(draw(st.lists(st.integers(0, len(data)), max_size=7)))
    segments = [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]
    return [segment for segment in segments if segment], draw(st.sampled_from(GAPS))


@pytest.mark.parametrize("side", SIDES)
def test_how_a_message_is_cut_up_changes_nothing(side: str) -> None:
    @SLOW
    @given(st.data())
    def check(data: st.DataObject) -> None:
        name = data.draw(st.sampled_from([name for name, message in SIDES[side][0].items() if message]))
        segments, gap = data.draw(cut_up(SIDES[side][0][name]))
        assert lasting(SIDES[side][1](segments, gap)) == lasting(whole(f"{side}/{name}"))

    check()


# What chance makes of valid messages

REQUESTS: list[Callable[[int], str]] = [
    lambda id: get(id=id),
    lambda id: post("Content-Length: 4", body="body", id=id),
    lambda id: chunked(FOUR + LAST, id=id),
    lambda id: chunked("2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n", id=id),
    lambda id: post("Expect: 100-continue", "Content-Length: 4", body="body", id=id),
    lambda id: post(f"Content-Length: {len(HIDDEN)}", body=HIDDEN, id=id),
    lambda id: get("Connection: keep-alive", "X-A: 1", version="HTTP/1.0", id=id),
    lambda id: post("Connection: X-A", "X-A: 1", CHUNKED, body=FOUR + FOUR + LAST, id=id),
]
ANSWERS = [
    ONE,
    EARLY + ONE,
    answer(CHUNKED, body=BODY_3 + LAST, length=False),
    answer(CHUNKED, body="1;a=b\r\no\r\n2\r\nne\r\n0\r\nX-T: 1\r\n\r\n", length=False),
    answer("Connection: close", body="one"),
    answer("X-Unprocessed: 1", status="503 S", body="one"),
    answer(status="204 S", length=False),
    answer("X-A: 1", "X-Backend-Load: fail_rate=0,q=1", body=ONE),
]
PIECES = [
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b" ",
    b"\t",
    b":",
    b",",
    b";",
    b"0",
    b"\x0b",
    b"\x7f",
    b"\xff",
    b"\r\n ",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"Content-Length: 4\r\n",
    b"Content-Length: 0\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: x\r\n",
    b"Connection: close\r\n",
    b"Upgrade: h2c\r\nConnection: upgrade\r\n",
    HIDDEN.encode(),
    ONE.encode(),
]


@st.composite
def spoilt(draw: st.DrawFn, parts: list[bytes]) -> bytes:
    """One to three valid messages in a row, with up to four small changes."""
    data = b"".join(draw(st.lists(st.sampled_from(parts), min_size=1, max_size=3)))
    for _ in range(draw(st.integers(0, 4))):
        at = draw(st.integers(0, len(data)))
        upto = at + draw(st.integers(1, 24))
        change = draw(st.sampled_from(["flip", "piece", "byte", "delete", "duplicate", "truncate", "swap"]))
        if change == "flip" and at < len(data):
            data = data[:at] + bytes([data[at] ^ (1 << draw(st.integers(0, 7)))]) + data[at + 1 :]
        elif change == "piece":
            data = data[:at] + draw(st.sampled_from(PIECES)) + data[at:]
        elif change == "byte":
            data = data[:at] + bytes([draw(st.integers(0, 255))]) + data[at:]
        elif change == "delete":
            data = data[:at] + data[upto:]
        elif change == "duplicate":
            data = data[:upto] + data[at:upto] + data[upto:]
        elif change == "truncate":
            data = data[:at]
        elif change == "swap":
            data = data[:at] + data[upto : upto + 8] + data[at:upto] + data[upto + 8 :]
    return data


NUMBERED = [make(id).encode() for make in REQUESTS for id in (1, 2, 3)]


@settings(SLOW, max_examples=400)
@given(st.data())
def test_nothing_that_a_client_sends_smuggles_a_request_or_breaks_the_program(data: st.DataObject) -> None:
    message = data.draw(spoilt(NUMBERED))
    segments, gap = data.draw(cut_up(message))
    check_client(message, harness.client(segments, gap, data.draw(st.sampled_from([0, 1, 5]))))


@settings(SLOW, max_examples=400)
@given(st.data())
def test_nothing_that_a_node_sends_is_served_unless_it_is_the_answer(data: st.DataObject) -> None:
    message = data.draw(spoilt([text.encode("latin-1") for text in ANSWERS]))
    segments, gap = data.draw(cut_up(message))
    check_node(message, harness.node(segments, gap))


@pytest.mark.parametrize("behind", [b"\r\n", b"\n", b"\r"])
@pytest.mark.parametrize(
    "whole", [answer(status="204 S", length=False), answer(CHUNKED, body=BODY_3 + LAST, length=False)]
)
def test_line_ends_behind_an_answer_are_seen_wherever_it_is_cut(whole: str, behind: bytes) -> None:
    # Only those were seen that came with the answer's own last line ends in one segment.
    data = whole.encode("latin-1") + behind
    for at in range(1, len(data)):
        assert harness.node([data[:at], data[at:]], 0).next != "reused", at


# From end to end


LEFT_US = 2_500_000  # where a request says nothing: its class's deadline


def id_of(ran: Ran) -> str:
    return dict((name.lower(), value) for name, value in ran.headers).get("x-correlation-id", "")


def without(headers: Pairs, added: set[str]) -> Pairs:
    return sorted((name.lower(), value) for name, value in headers if name.lower() not in added)


def test_a_node_gets_what_the_client_sent_and_the_time_that_is_left() -> None:
    for name, data in CLIENT.items():
        passed = whole(f"client/{name}")
        assert isinstance(passed, ClientOutcome)
        if not passed.ran:
            continue
        seen, got = harness.relay(data, ONE.encode())
        # With less than a millisecond left, nothing can be told of it that is true: such a one is not sent.
        sent = [ran for ran in passed.ran if ran.told.get("left_us", LEFT_US) >= 1_000]
        assert not got.faults and len(seen) == len(sent), name
        assert len(got.answers) >= len(passed.ran), name
        for ran, request in zip(sorted(sent, key=id_of), sorted(seen, key=id_of), strict=True):
            added = {"x-time-left"} | ({"host"} - {key.lower() for key, _ in ran.headers})
            told = dict(request.headers)["x-time-left"]
            assert re.fullmatch(r"\d\.\d{3}", told), name
            assert round(float(told) * 1e6) <= ran.told.get("left_us", LEFT_US), name
            assert (request.method, request.target, request.body) == (ran.method, ran.target, ran.body), name
            assert without(request.headers, added | {"content-length"}) == without(ran.headers, set()), name
            assert "host" in dict(request.headers), name


def test_a_client_gets_what_the_node_answered() -> None:
    for name, data in NODE.items():
        answered = whole(f"node/{name}")
        assert isinstance(answered, NodeOutcome)
        if answered.ending != "served":
            continue
        _, got = harness.relay(GET.encode(), data)
        ((status, headers, body),) = got.answers
        added = {"content-length", "date", "server", "content-type"}
        added -= {key.lower() for key, _ in answered.headers}
        assert not got.faults and (status, body) == (200, answered.body), name
        assert without(headers, added) == without(answered.headers, set()), name


@settings(SLOW, max_examples=150)
@given(spoilt([text.encode("latin-1") for text in ANSWERS]))
def test_whatever_a_node_sends_its_client_gets_one_answer(message: bytes) -> None:
    outcome = harness.node([message])
    _, got = harness.relay(GET.encode(), message)
    answers = [(status, body if status == 200 else b"") for status, _, body in got.answers]
    expected = {"waiting": [], "served": [(200, outcome.body)]}.get(outcome.ending, [(502, b"")])
    assert not got.faults and answers == expected
