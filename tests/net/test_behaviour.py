"""Checks the outcome of valid, unusual and hostile HTTP messages from clients and servers.

Each case of the corpus must have the outcome recorded in the table, however it is split into segments.
Corpus cases and mutated valid messages are also compared with a strict reader of RFC 9112 in this file: it
accepts only what the RFC calls a message, so it knows where each body begins and ends.  That guards against
request smuggling.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from functools import cache

import harness
import pytest
from corpus import CHUNKED, CLIENT_MESSAGES, BODY_CHUNK, GET, HIDDEN_REQUEST, LAST_CHUNK, chunked, get, post
from corpus_nodes import BODY_3, EARLY, NODE, ONE, answer
from harness import ClientOutcome, ServerOutcome, Pairs, ReceivedRequest
from hypothesis import given, settings
from hypothesis import strategies as st
from record_behaviour import MAX_BYTEWISE_BYTES, SETTLE_TURNS, BEHAVIOUR_PATH

RECORDED_OUTCOMES = json.loads(BEHAVIOUR_PATH.read_text())
# Intended differences from the table, which was recorded with aiohttp; the keys are the reasons.
INTENDED_CHANGES: dict[str, dict[str, dict[str, object]]] = json.loads(
    BEHAVIOUR_PATH.with_name("changes.json").read_text()
)
CHANGED_OUTCOMES = {name: outcome for cases in INTENDED_CHANGES.values() for name, outcome in cases.items()}
SIDES: dict[str, tuple[dict[str, bytes], Callable[..., ClientOutcome | ServerOutcome]]] = {
    "client": (CLIENT_MESSAGES, harness.run_client),
    "node": (NODE, harness.run_server),
}
GROUPS = sorted({f"{side}/{name.partition('/')[0]}" for side, (cases, _) in SIDES.items() for name in cases})
CONNECTION_STATES = {"kept", "closed", "aborted", "lingers", "waiting"}
STATUSES = {100, 200, 400, 404, 405, 409, 411, 413, 414, 417, 426, 431, 501, 505}
SEGMENT_GAPS = (0, 1, SETTLE_TURNS)  # loop iterations between segments; uvloop may deliver several in one
FUZZ_SETTINGS = settings(derandomize=True, deadline=None, max_examples=250)


# Strict reader

TOKEN, FIELD_VALUE = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+", rb"[\t -~\x80-\xff]*"
FIELD_LINES = rb"((?:" + TOKEN + rb":" + FIELD_VALUE + rb"\r\n)*)\r\n"
# Several spaces count as one (RFC 9112, 3: "MAY ... on whitespace-delimited word boundaries").
REQUEST = re.compile(rb"(" + TOKEN + rb") +([!-~]+) +((?:HTTP|RTSP)/1\.[01])\r\n" + FIELD_LINES)
# The parser does not distinguish RTSP from HTTP of the same version.
# Control bytes and folded lines in a server's headers are accepted: they change no length.
LENIENT_VALUE = rb"[^\r\n\0]*(?:\r\n[ \t][^\r\n\0]*)*"
ANSWER = re.compile(
    rb"[\r\n]*(?:HTTP|RTSP)/1\.([01]) ([1-9]\d\d)(?: [^\r\n]*)?\r\n"
    rb"((?:" + TOKEN + rb":" + LENIENT_VALUE + rb"\r\n)*)\r\n"
)
TRAILERS = re.compile(rb"((?:" + TOKEN + rb":" + LENIENT_VALUE.replace(rb"\0", b"") + rb"\r\n)*)\r\n")
CHUNK = re.compile(rb"([0-9A-Fa-f]+)(?:;" + FIELD_VALUE + rb")?\r\n")


def parse_fields(block: bytes) -> Pairs:
    text = re.sub("\r\n[ \t]+", " ", block.decode("latin-1"))
    pairs = [line.partition(":") for line in text.split("\r\n")[:-1]]
    return [(name.lower(), value.strip(" \t")) for name, _, value in pairs]


def parse_body(data: bytes, at: int, fields: Pairs, minor: bytes) -> tuple[bytes, int] | None:
    """Returns the body at this offset and its end, if it is complete and its length is unambiguous."""
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


def strict_requests(data: bytes) -> Iterator[tuple[str, str, Pairs, bytes]]:
    """Yields the requests before the first byte that belongs to none; skips empty lines between them."""
    at = 0
    while True:
        while data[at : at + 1] in (b"\r", b"\n"):
            at += 1
        match = REQUEST.match(data, at)
        found = match and parse_body(data, match.end(), fields := parse_fields(match[4]), match[3][-1:])
        if not match or not found:
            return
        yield match[1].decode(), match[2].decode(), fields, found[0]
        at = found[1]


def strict_answer(data: bytes) -> tuple[int, bytes, bytes] | None:
    """Returns status and body of the final answer and the bytes after it, if the answer is complete."""
    at = 0
    while match := ANSWER.match(data, at):
        at, status, fields = match.end(), int(match[2]), parse_fields(match[3])
        if status == 101:
            return None
        if status < 200:
            continue
        framed = any(name in ("content-length", "transfer-encoding") for name, _ in fields)
        if status in (204, 304):
            return status, b"", data[at:]
        if not framed and status != 200:
            return status, b"", b""  # its end is not waited for
        found = parse_body(data, at, fields, match[1]) if framed else None
        return (status, found[0], data[found[1] :]) if found else None
    return None


def check_client(data: bytes, outcome: ClientOutcome) -> None:
    """Check: no fault, only requests that the strict reader finds, and one answer for each forwarded one."""
    assert not outcome.faults
    assert outcome.end in CONNECTION_STATES
    assert {status for status, _, _ in outcome.answers} <= STATUSES
    strict = strict_requests(data)
    for received in outcome.received:
        # Skips requests that were rejected; the received ones must follow in this order.
        headers = {(name.lower(), value) for name, value in received.headers} - {
            ("host", "n0")  # added in 1.0
        }
        # A target in absolute form is equivalent to its path and query (RFC 9112, 3.2).
        assert any(
            (method, re.sub(r"^http://[^/?]+(?=/)", "", target, flags=re.I), body)
            == (received.method, received.target, received.body)
            and headers <= set(fields)
            for method, target, fields, body in strict
        ), f"{received} is no request of these bytes"
    served = [body for status, _, body in outcome.answers if status == 200 and body != b""]
    assert served == [harness.numbered_body(number) for number in range(len(outcome.received))]


def check_server(data: bytes, outcome: ServerOutcome) -> None:
    """Check: no fault, only the answer is served, and no bytes after it are left for the next request."""
    assert not outcome.faults
    assert outcome.next_connection in ("", "reused", "dials anew"), outcome.next_connection
    strict = strict_answer(data)
    if strict is None:
        assert outcome.attempt_outcome not in ("served", "turned_away")
        return
    status, body, behind = strict
    if outcome.attempt_outcome == "served":
        assert (status, outcome.body) == (200, body)
    if outcome.next_connection == "reused":
        assert not behind


# Table


def as_recorded(outcome: ClientOutcome | ServerOutcome) -> dict[str, object]:
    """Returns an outcome as the table stores it."""
    read: dict[str, object] = json.loads(json.dumps(outcome.json()))
    return read


@cache
def outcome_of(name: str) -> ClientOutcome | ServerOutcome:
    """Returns the outcome of a corpus case that is sent in one segment."""
    side, _, case = name.partition("/")
    return SIDES[side][1]([SIDES[side][0][case]])


def expected(name: str) -> list[dict[str, object]]:
    """Returns the permitted outcomes; a case has several if the recorded code depended on segmentation."""
    if name in CHANGED_OUTCOMES:
        return [CHANGED_OUTCOMES[name]]
    recorded = RECORDED_OUTCOMES[name]
    outcomes = recorded if isinstance(recorded, list) else [recorded]
    return [outcome for outcome in outcomes if outcome.get("at_eof") != "waiting"]


def cases_of(group: str) -> Iterator[tuple[str, str, bytes]]:
    side, _, prefix = group.partition("/")
    for name, data in SIDES[side][0].items():
        if name.startswith(prefix + "/"):
            yield side, f"{side}/{name}", data


def test_the_table_has_exactly_the_cases_of_the_corpus() -> None:
    names = {f"{side}/{name}" for side, (cases, _) in SIDES.items() for name in cases}
    assert names == set(RECORDED_OUTCOMES) and set(CHANGED_OUTCOMES) <= names


@pytest.mark.parametrize("group", GROUPS)
def test_a_message_has_its_recorded_outcome(group: str) -> None:
    wrong = {}
    for _, name, _ in cases_of(group):
        outcome = as_recorded(outcome_of(name))
        if outcome not in expected(name):
            wrong[name] = (outcome, "instead of", expected(name))
    assert not wrong


@pytest.mark.parametrize("group", GROUPS)
def test_only_valid_requests_and_answers_of_rfc_9112_are_accepted(group: str) -> None:
    for _, name, data in cases_of(group):
        outcome = outcome_of(name)
        try:
            check_client(data, outcome) if isinstance(outcome, ClientOutcome) else check_server(data, outcome)
        except AssertionError as e:
            raise AssertionError(name) from e


# Segmentation


def without_interim(outcome: ClientOutcome | ServerOutcome) -> dict[str, object]:
    """Returns an outcome without 100 (Continue), which depends on when the body arrives."""
    read = as_recorded(outcome)
    if isinstance(answers := read.get("answers"), list):
        read["answers"] = [status for status in answers if status != 100]
    return read


@pytest.mark.parametrize("group", GROUPS)
def test_a_message_sent_byte_by_byte_has_the_same_outcome(group: str) -> None:
    wrong = {}
    for side, name, data in cases_of(group):
        if len(data) <= MAX_BYTEWISE_BYTES // 10:
            outcome = without_interim(SIDES[side][1]([data[i : i + 1] for i in range(len(data))]))
            if outcome != without_interim(outcome_of(name)):
                wrong[name] = (outcome, "but as a whole", without_interim(outcome_of(name)))
    assert not wrong


@st.composite
def segmented(draw: st.DrawFn, data: bytes) -> tuple[list[bytes], int]:
    """Splits the bytes into up to eight segments and draws the loop iterations between them."""
    places = sorted(draw(st.lists(st.integers(0, len(data)), max_size=7)))
    segments = [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]
    return [segment for segment in segments if segment], draw(st.sampled_from(SEGMENT_GAPS))


@pytest.mark.parametrize("side", SIDES)
def test_segmentation_does_not_change_the_outcome(side: str) -> None:
    @FUZZ_SETTINGS
    @given(st.data())
    def check(data: st.DataObject) -> None:
        name = data.draw(st.sampled_from([name for name, message in SIDES[side][0].items() if message]))
        segments, gap = data.draw(segmented(SIDES[side][0][name]))
        assert without_interim(SIDES[side][1](segments, gap)) == without_interim(outcome_of(f"{side}/{name}"))

    check()


# Mutated valid messages

REQUESTS: list[Callable[[int], str]] = [
    lambda id: get(id=id),
    lambda id: post("Content-Length: 4", body="body", id=id),
    lambda id: chunked(BODY_CHUNK + LAST_CHUNK, id=id),
    lambda id: chunked("2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n", id=id),
    lambda id: post("Expect: 100-continue", "Content-Length: 4", body="body", id=id),
    lambda id: post(f"Content-Length: {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST, id=id),
    lambda id: get("Connection: keep-alive", "X-A: 1", version="HTTP/1.0", id=id),
    lambda id: post("Connection: X-A", "X-A: 1", CHUNKED, body=BODY_CHUNK + BODY_CHUNK + LAST_CHUNK, id=id),
]
ANSWERS = [
    ONE,
    EARLY + ONE,
    answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False),
    answer(CHUNKED, body="1;a=b\r\no\r\n2\r\nne\r\n0\r\nX-T: 1\r\n\r\n", length=False),
    answer("Connection: close", body="one"),
    answer("X-Unprocessed: 1", status="503 S", body="one"),
    answer(status="204 S", length=False),
    answer("X-A: 1", "X-Backend-Load: fail_rate=0,q=1", body=ONE),
]
FRAGMENTS = [
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
    HIDDEN_REQUEST.encode(),
    ONE.encode(),
]


@st.composite
def mutated(draw: st.DrawFn, parts: list[bytes]) -> bytes:
    """Draws one to three consecutive valid messages with up to four small changes."""
    data = b"".join(draw(st.lists(st.sampled_from(parts), min_size=1, max_size=3)))
    for _ in range(draw(st.integers(0, 4))):
        at = draw(st.integers(0, len(data)))
        end_at = at + draw(st.integers(1, 24))
        change = draw(st.sampled_from(["flip", "piece", "byte", "delete", "duplicate", "truncate", "swap"]))
        if change == "flip" and at < len(data):
            data = data[:at] + bytes([data[at] ^ (1 << draw(st.integers(0, 7)))]) + data[at + 1 :]
        elif change == "piece":
            data = data[:at] + draw(st.sampled_from(FRAGMENTS)) + data[at:]
        elif change == "byte":
            data = data[:at] + bytes([draw(st.integers(0, 255))]) + data[at:]
        elif change == "delete":
            data = data[:at] + data[end_at:]
        elif change == "duplicate":
            data = data[:end_at] + data[at:end_at] + data[end_at:]
        elif change == "truncate":
            data = data[:at]
        elif change == "swap":
            data = data[:at] + data[end_at : end_at + 8] + data[at:end_at] + data[end_at + 8 :]
    return data


NUMBERED_REQUESTS = [make(id).encode() for make in REQUESTS for id in (1, 2, 3)]


@settings(FUZZ_SETTINGS, max_examples=400)
@given(st.data())
def test_no_client_input_smuggles_a_request_or_causes_a_fault(data: st.DataObject) -> None:
    message = data.draw(mutated(NUMBERED_REQUESTS))
    segments, gap = data.draw(segmented(message))
    check_client(message, harness.run_client(segments, gap, data.draw(st.sampled_from([0, 1, 5]))))


@settings(FUZZ_SETTINGS, max_examples=400)
@given(st.data())
def test_no_server_input_but_the_answer_is_served(data: st.DataObject) -> None:
    message = data.draw(mutated([text.encode("latin-1") for text in ANSWERS]))
    segments, gap = data.draw(segmented(message))
    check_server(message, harness.run_server(segments, gap))


@pytest.mark.parametrize("trailing", [b"\r\n", b"\n", b"\r"])
@pytest.mark.parametrize(
    "message", [answer(status="204 S", length=False), answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False)]
)
def test_line_ends_after_an_answer_prevent_reuse_in_any_segmentation(message: str, trailing: bytes) -> None:
    # Trailing line ends went unnoticed unless they came in one segment with the answer's own last line ends.
    data = message.encode("latin-1") + trailing
    for at in range(1, len(data)):
        assert harness.run_server([data[:at], data[at:]], 0).next_connection != "reused", at


# End to end


READ_DEADLINE_US = 2_500_000  # the read class's deadline, if a request names none


def request_id(received: ReceivedRequest) -> str:
    return dict((name.lower(), value) for name, value in received.headers).get("x-correlation-id", "")


def normalized(headers: Pairs, added: set[str]) -> Pairs:
    return sorted((name.lower(), value) for name, value in headers if name.lower() not in added)


def test_a_server_receives_what_the_client_sent_and_the_remaining_time() -> None:
    for name, data in CLIENT_MESSAGES.items():
        client_outcome = outcome_of(f"client/{name}")
        assert isinstance(client_outcome, ClientOutcome)
        if not client_outcome.received:
            continue
        forwarded, relayed = harness.run_relay(data, ONE.encode())
        # Not sent with less than 1 ms left: X-Time-Left, in whole ms, would overstate it or be 0.
        sent = [
            received
            for received in client_outcome.received
            if received.unusual_fields.get("left_us", READ_DEADLINE_US) >= 1_000
        ]
        assert not relayed.faults and len(forwarded) == len(sent), name
        assert len(relayed.answers) >= len(client_outcome.received), name
        for received, request in zip(
            sorted(sent, key=request_id), sorted(forwarded, key=request_id), strict=True
        ):
            added = {"x-time-left"} | ({"host"} - {key.lower() for key, _ in received.headers})
            time_left = dict(request.headers)["x-time-left"]
            assert re.fullmatch(r"\d\.\d{3}", time_left), name
            assert round(float(time_left) * 1e6) <= received.unusual_fields.get(
                "left_us", READ_DEADLINE_US
            ), name
            assert (request.method, request.target, request.body) == (
                received.method,
                received.target,
                received.body,
            ), name
            assert normalized(request.headers, added | {"content-length"}) == normalized(
                received.headers, set()
            ), name
            assert "host" in dict(request.headers), name


def test_a_client_receives_what_the_server_answered() -> None:
    for name, data in NODE.items():
        server_outcome = outcome_of(f"node/{name}")
        assert isinstance(server_outcome, ServerOutcome)
        if server_outcome.attempt_outcome != "served":
            continue
        _, relayed = harness.run_relay(GET.encode(), data)
        ((status, headers, body),) = relayed.answers
        added = {"content-length", "date", "server", "content-type"}
        added -= {key.lower() for key, _ in server_outcome.headers}
        assert not relayed.faults and (status, body) == (200, server_outcome.body), name
        assert normalized(headers, added) == normalized(server_outcome.headers, set()), name


@settings(FUZZ_SETTINGS, max_examples=150)
@given(mutated([text.encode("latin-1") for text in ANSWERS]))
def test_a_client_gets_one_answer_whatever_a_server_sends(message: bytes) -> None:
    outcome = harness.run_server([message])
    _, relayed = harness.run_relay(GET.encode(), message)
    answers = [(status, body if status == 200 else b"") for status, _, body in relayed.answers]
    expected = {"waiting": [], "served": [(200, outcome.body)]}.get(outcome.attempt_outcome, [(502, b"")])
    assert not relayed.faults and answers == expected
