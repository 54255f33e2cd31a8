"""The network code, in scenarios; each says what it guards against."""

from __future__ import annotations

import asyncio

import pytest
from scenario import play

from roadlb.engine import Engine
from roadlb.exchange import Exchange
from roadlb.net import name_table
from roadlb.net.instances import IDLE_PART

SCENARIOS = {
    "target byte for byte, load report kept back, the rest passed on": """
        a send GET /grid-read/a%2Fb//..;x?q=%41&&b=%c3 Accept:text/x
        i1 expect "GET /grid-read/a%2Fb//..;x?q=%41&&b=%c3 HTTP/1.1" "Accept: text/x" X-Time-Left !User-Agent
        i1 send 200 forecast Content-Type:text/x X-Backend-Load:eps=0,queue=2
        a expect 200 forecast text/x !X-Backend-Load""",
    "a query mark with nothing behind it cannot be passed on unchanged": """
        a send GET /grid-read/a?
        a expect 400 unchanged""",
    "a GET on a reused connection that broke is not sent again by the library": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200 one
        a expect 200 one
        a send GET /grid-read/k
        i2 expect GET
        i2 close
        a expect 503 Retry-After""",
    "an order whose connection broke after its last byte may have run": """
        grid 2
        a send POST /order/k body=9
        i1 expect POST xxx
        i1 close
        a expect 502""",
    "a read is sent again elsewhere": """
        grid 2
        a send GET /grid-read/k
        i1 expect GET
        i1 close
        i2 expect GET
        i2 send 200 two
        a expect 200 two""",
    "an order turned away with the mark never ran": """
        grid 2
        a send POST /order/k body=9
        i1 expect POST
        i1 send 503 X-Unprocessed:1
        i2 expect POST
        i2 send 200 done
        a expect 200 done""",
    "a 503 without the mark may have run": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send 503
        a expect 502""",
    "a 504 with another mark may have run": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send 504 X-Unprocessed:0
        a expect 502""",
    "a cut 200 is a reset, never served": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send raw HTTP/1.1 200 OK\\r\\nContent-Length: 10\\r\\n\\r\\nhalf
        i1 close
        a expect 502 !half""",
    "an answer that is no HTTP fails the order": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send raw nonsense\\r\\n\\r\\n
        a expect 502""",
    "redirects are not followed": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send 302 Location:/order/other
        a expect 502""",
    "cookies are not kept, bodies not decompressed": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200 not-gzip Content-Encoding:gzip Set-Cookie:x=1
        a expect 200 not-gzip gzip
        a send GET /grid-read/k
        i2 expect GET !Cookie
        i2 send 200
        a expect 200""",
    "a hang-up calls the execution off by closing its connection": """
        a send POST /order/k
        i1 expect POST
        a close
        i1 expect closed""",
    "an execution that has had its time is closed, and the client told in time": """
        a send POST /order/k X-Time-Left:0.2
        i1 expect POST
        a expect 502
        i1 expect closed""",
    "nobody ready: nacked at once, with the time to come back": """
        d expect watch=1&after=0
        d send draining
        a send POST /order/k
        a expect 503 Retry-After""",
    "nothing new for an instance that drains": """
        grid 2
        d expect watch=1
        d send draining up
        a send POST /order/k1
        i1 expect POST
        b send POST /order/k2
        i2 expect POST
        i1 send 503 X-Unprocessed:1
        a expect 503
        i2 send 200
        b expect 200""",
    "a malformed line keeps the list, and the watch is opened again": """
        d expect after=0
        d send raw {"generation":7,"reset":true,"instances":[{"instanceId":1}]}
        d2 expect after=0
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
    "a watch that broke keeps the list and goes on from its version": """
        d expect after=0
        d send up
        d close
        d2 expect after=1
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
    "a new configuration moves the watch, keeps the list, and the old place is heard no more": """
        d expect after=0
        d send up
        a send POST /order/k
        i1 expect POST
        reload
        e expect after=0
        d expect closed
        i1 send 200 kept
        a expect 200 kept
        a send GET /grid-read/k
        i2 expect GET
        i2 send 200
        a expect 200
        e send draining
        a send GET /grid-read/k
        a expect 503""",
    "a second new configuration comes while the first is being followed": """
        d expect after=0
        reload
        reload
        e expect after=0
        e send up
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
    "a faulty new configuration leaves the watch where it is": """
        d expect after=0
        reload nowhere
        d send draining
        a send GET /grid-read/k
        a expect 503""",
    "what was taken is answered before the end": """
        a send POST /order/k
        i1 expect POST
        stop
        i1 send 200 done
        a expect 200 done "Connection: close"
        a expect closed
        stopped""",
    "it goes on accepting for a while after it was told to end": """
        stop 3600
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200 "Connection: close"
        b send GET /healthz
        b expect 200
        stop
        stopped""",
    "an idle connection to an instance is dropped": """
        grid 1 0 0 conn_idle_us=200000
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200
        i1 expect closed""",
    "clients' connections are not kept near the limit of sockets": """
        grid 1 0 0 max_open=1
        a send GET /healthz
        a expect 200 !close
        b send GET /healthz
        b expect 200 "Connection: close"
        b expect closed
        a send GET /healthz
        a expect 200 !close""",
    "idle connections end with the balancer": """
        a send GET /healthz
        a expect 200
        stop
        a expect closed
        stopped""",
    "not HTTP": """
        a send raw nonsense\\r\\n\\r\\n
        a expect 400""",
    "a body that is announced as too large is not waited for": """
        a send POST /order/k Content-Length:65537
        a expect 413
        a expect closed""",
    "a client that asks first is told to go on": """
        a send POST /nothing Content-Length:2 Expect:100-continue
        a expect 100
        a send raw xx
        a expect 404""",
    "the allowed method is named": """
        a send DELETE /order/k
        a expect 405 "Allow: POST" """,
    "one connection goes on after input that was rejected": """
        a send GET /nothing/k
        a expect 404
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
}
REJECTED = [
    ("GET /grid-read/k X-Account:nobody", 400), ("GET /grid-read/k X-Account:", 400),
    ("GET /grid-read/k X-Correlation-Id:", 400), ("GET /grid-read/k X-Time-Left:soon", 400),
    ("GET /grid-read/k X-Time-Left:nan", 400), ("GET /grid-read/k X-Time-Left:-1", 400),
    ("GET /grid-read/k body=3", 400), ("POST /grid-read/k", 405), ("GET /order/k", 405),
    ("DELETE /order/k", 405), ("GET /", 404), ("GET /other/k", 404), ("POST /order/k body=65537", 413),
]


@pytest.mark.parametrize("text", SCENARIOS.values(), ids=SCENARIOS)
def test_scenario(text: str) -> None:
    asyncio.run(play(text))


@pytest.mark.parametrize(("request_line", "status"), REJECTED)
def test_bad_input_gets_a_plain_4xx_and_a_counter(request_line: str, status: int) -> None:
    stage = asyncio.run(play(f"a send {request_line}\na expect {status}"))
    assert stage.app.counters[f"rejected.{status}"] == 1 and stage.app.counters["taken"] == 0


@pytest.mark.parametrize(("grid", "ending"), [
    ("grid 1 1", "dial_failed"), ("grid 1 0 1 dial_timeout_us=20000", "dial_timed_out")])
def test_an_order_that_could_not_connect_is_sent_elsewhere(grid: str, ending: str) -> None:
    steps = [f"a send POST /order/{key}\ni1 expect POST\ni1 send 200\na expect 200" for key in "abcdefgh"]
    stage = asyncio.run(play("\n".join([grid, *steps])))
    assert stage.app.counters["execution." + ending] > 0


def test_no_connection_idles_as_long_as_its_instance_allows() -> None:
    # aiohttp looks for idle connections once in each keep-alive time, so one can get twice as old as that;
    # a request that crosses the instance's closing is a reset, and an order is then lost.
    assert 2 * IDLE_PART < 0.9


def test_a_silent_watch_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # A cut connection to discovery says nothing: without this the balancer would never hear of a drain.
    monkeypatch.setattr(name_table, "SILENCE_S", 0.05)
    stage = asyncio.run(play("""
        d expect after=0
        d2 expect after=0
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200"""))
    assert stage.app.counters["list.broken"] >= 1


def test_an_exception_at_the_client_side_costs_only_its_own_request(monkeypatch: pytest.MonkeyPatch) -> None:
    # It must be answered as failed, never as 503 or 429, and the process goes on.
    opened, sound = [], Engine.open

    def open_but_the_first(engine: Engine, exchange: Exchange) -> None:
        opened.append(exchange)
        if len(opened) == 1:
            raise RuntimeError("no idea")
        sound(engine, exchange)

    monkeypatch.setattr(Engine, "open", open_but_the_first)
    stage = asyncio.run(play("""
        a send GET /grid-read/k
        a expect 500
        b send GET /grid-read/k
        i1 expect GET
        i1 send 200
        b expect 200"""))
    assert stage.app.counters["fault.client"] == 1


def test_a_body_of_the_largest_size_is_passed_on() -> None:
    asyncio.run(play("""
        a send POST /order/k body=65536
        i1 expect POST "Content-Length: 65536"
        i1 send 200
        a expect 200"""))


def test_connections_are_reused_before_new_ones_are_dialled() -> None:
    steps = ["a send GET /grid-read/k\ni1 expect GET\ni1 send 200\na expect 200"] * 5
    stage = asyncio.run(play("\n".join(steps)))
    assert stage.connections == 1
