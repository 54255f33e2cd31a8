"""How many fields a head may have: each costs memory for itself, however short it is."""

from __future__ import annotations

import pytest
from attempt_rig import Rig
from attempt_rig import play as play_rig
from scenario import play, run

from roadlb.exchange import AttemptOutcome
from roadlb.net.http import MAX_HEAD_FIELDS

REQUEST = (
    r"GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: 1\r\nX-Time-Left: 9\r\n"
)
REQUEST_FIELDS = 4


def tiny_fields(count: int) -> str:
    return "".join(rf"x{number}:\r\n" for number in range(count))


def test_a_head_of_as_many_fields_as_allowed_is_served() -> None:
    fields = tiny_fields(MAX_HEAD_FIELDS - REQUEST_FIELDS)
    run(play(rf"a send raw {REQUEST}{fields}\r\n" + "\ni1 expect GET\ni1 send 200\na expect 200"))


# The parser passes a field on once the next one has begun.
@pytest.mark.parametrize("end", [r"next:\r\n", r"\r\n"], ids=["unfinished", "whole"])
def test_a_head_of_more_fields_is_refused_also_before_it_is_whole(end: str) -> None:
    # 1,000 clients with unfinished heads of 2,000 tiny fields, 16 MB in all, took a balancer to 262 MB.
    fields = tiny_fields(MAX_HEAD_FIELDS - REQUEST_FIELDS + 1)
    stage = run(play(rf"a send raw {REQUEST}{fields}{end}" + "\na expect 431\na expect closed"))
    assert stage.app.counters["rejected.431"] == 1


@pytest.mark.parametrize(
    "fields, outcome",
    [(MAX_HEAD_FIELDS - 1, AttemptOutcome.SERVED), (MAX_HEAD_FIELDS, AttemptOutcome.GARBLED)],
)
def test_an_answer_of_more_fields_is_not_served(fields: int, outcome: AttemptOutcome) -> None:
    async def main() -> None:
        rig = Rig(1)
        exchange = rig.open()
        link = await rig.servers[0].accept()
        await link.request()
        head = "HTTP/1.1 200 OK\r\n" + tiny_fields(fields).replace(r"\r\n", "\r\n")
        link.send(head.encode() + b"Content-Length: 2\r\n\r\nok")
        assert await rig.ended(exchange, 0) is outcome

    play_rig(main)
