"""Scenarios of the network code with clients, servers and discovery on loopback sockets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scenario import LOOPS, play, run

from roadlb.engine import Engine
from roadlb.exchange import Exchange
from roadlb.net import frontend, pool, request_ids, watch_timing
from roadlb.config import IDLE_PART

SCENARIOS = {
    "a drain closes idle connections, completes open requests, serves new clients, and ends at once": """
        b send GET /grid-read/k
        i1 expect GET
        i1 send 200 one
        b expect 200 one
        a send POST /order/k
        i1 expect POST
        out-of-service
        out-of-service
        h send GET /healthz
        h expect 503 "Connection: close"
        c send GET /grid-read/k
        i2 expect GET
        i2 send 200 two
        c expect 200 two "Connection: close"
        c expect closed
        b expect closed
        i1 send 200 done
        a expect 200 done "Connection: close"
        a expect closed
        in-service
        g send GET /healthz
        g expect 200 "!Connection: close"
        f send GET /grid-read/k
        i2 expect GET
        i2 send 200 three
        f expect 200 three "!Connection: close" """,
    "the target is forwarded byte for byte, the load report is removed, other headers are forwarded": """
        a send GET /grid-read/a%2Fb//..;x?q=%41&&b=%c3 Accept:text/x
        i1 expect "GET /grid-read/a%2Fb//..;x?q=%41&&b=%c3 HTTP/1.1" "Accept: text/x" X-Time-Left !User-Agent
        i1 send 200 forecast Content-Type:text/x X-Backend-Load:eps=0,queue=2
        a expect 200 forecast text/x !X-Backend-Load""",
    "1xx responses before the final one, and a malformed load report": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send raw HTTP/1.1 103 Early Hints\\r\\nX: y\\r\\n\\r\\nHTTP/1.1 102 Processing\\r\\n\\r\\n
        i1 send 200 one X-Backend-Load:\\x7f=,,;
        a expect 200 one""",
    "an order answered by a protocol switch counts as possibly executed": """
        a send POST /order/k
        i1 expect POST
        i1 send raw HTTP/1.1 101 Go\\r\\nConnection: upgrade\\r\\nUpgrade: x\\r\\n\\r\\nx
        a expect 502
        i1 expect closed""",
    "an interim response does not shorten the wait for the final one": """
        a send POST /order/k
        i1 expect POST
        i1 send raw HTTP/1.1 103 Early Hints\\r\\nX: y\\r\\n\\r\\n
        wait 0.7
        i1 send 200 done
        a expect 200 done""",
    "a target in absolute form is forwarded as its path and query": """
        a send raw GET http://any.host:80/grid-read/k?q=%41 HTTP/1.1\\r\\nHost: any.host:80\\r\\n
        a send raw X-Correlation-Id: 7\\r\\nX-Account: acme\\r\\n\\r\\n
        i1 expect "GET /grid-read/k?q=%41 HTTP/1.1"
        i1 send 200 one
        a expect 200 one""",
    "a long answer is streamed, and is cut off if the server closes early": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send raw HTTP/1.1 200 OK\\r\\nContent-Length: 200000\\r\\n\\r\\nBODY=100000
        a expect 200 "Content-Length: 200000" BODY=100000
        i1 send raw BODY=100000
        a rest 100000
        i1 close
        a send GET /grid-read/k
        i2 expect GET
        i2 send raw HTTP/1.1 200 OK\\r\\nContent-Length: 200000\\r\\n\\r\\nBODY=100000
        a expect 200 "Content-Length: 200000" BODY=100000
        i2 close
        a expect closed""",
    "an answer may end by close of its connection, but one ended by a reset is not served": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send raw HTTP/1.1 200 OK\\r\\n\\r\\nforecast
        i1 end
        a expect 200 forecast "Content-Length: 8" !close
        a send POST /order/k
        i2 expect POST
        i2 send raw HTTP/1.1 200 OK\\r\\n\\r\\nfore
        i2 reset
        a expect 502""",
    "an empty query is rejected, as it cannot be forwarded unchanged": """
        a send GET /grid-read/a?
        a expect 400 unchanged""",
    "a GET on a reused connection that closed is not resent by the HTTP library": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200 one
        a expect 200 one
        a send GET /grid-read/k
        i2 expect GET
        i2 close
        a expect 503 Retry-After""",
    "a refusal has no Retry-After if max_retry_after_us is 0": """
        grid 0 1 max_retry_after_us=0
        a send GET /grid-read/k
        a expect 503 !Retry-After""",
    "an order whose connection closed after its last byte counts as possibly executed": """
        grid 2
        a send POST /order/k body=9
        i1 expect POST xxx
        i1 close
        a expect 502""",
    "a read is retried on another server": """
        grid 2
        a send GET /grid-read/k
        i1 expect GET
        i1 close
        i2 expect GET
        i2 send 200 two
        a expect 200 two""",
    "an order refused with X-Unprocessed is retried on another server": """
        grid 2
        a send POST /order/k body=9
        i1 expect POST
        i1 send 503 X-Unprocessed:1
        i2 expect POST
        i2 send 200 done
        a expect 200 done""",
    "an order refused with 503 but without X-Unprocessed is not retried": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send 503
        a expect 502""",
    "an order answered with 504 and X-Unprocessed of 0 is not retried": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send 504 X-Unprocessed:0
        a expect 502""",
    "a truncated 200 counts as a reset and is not served": """
        grid 2
        a send POST /order/k
        i1 expect POST
        i1 send raw HTTP/1.1 200 OK\\r\\nContent-Length: 10\\r\\n\\r\\nhalf
        i1 close
        a expect 502 !half""",
    "an answer that is not HTTP fails the order": """
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
    "cookies are not stored and bodies not decompressed": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200 not-gzip Content-Encoding:gzip Set-Cookie:x=1
        a expect 200 not-gzip gzip
        a send GET /grid-read/k
        i2 expect GET !Cookie
        i2 send 200
        a expect 200""",
    "a client that closes cancels its attempt by closing the server connection": """
        a send POST /order/k
        i1 expect POST
        a close
        i1 expect closed""",
    "an attempt past its deadline is closed, and the client is answered in time": """
        a send POST /order/k X-Time-Left:0.2
        i1 expect POST
        a expect 502
        i1 expect closed""",
    "with no server ready a request is refused at once with Retry-After": """
        d expect watch=1&after=0
        d send draining
        a send POST /order/k
        a expect 503 Retry-After""",
    "a draining server gets no new request": """
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
    "a malformed line of the watch keeps the server list, and the watch is reopened": """
        d expect after=0
        d send raw {"generation":7,"reset":true,"instances":[{"instanceId":1}]}
        d2 expect after=0
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
    "a closed watch keeps the server list and resumes after its last version": """
        d expect after=0
        d send up
        d close
        d2 expect after=1
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
    "a new configuration moves the watch, keeps the server list, and ignores the previous discovery": """
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
    "a second new configuration arrives while the first is being applied": """
        d expect after=0
        reload
        reload
        e expect after=0
        e send up
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
    "an invalid new configuration leaves the watch unchanged": """
        d expect after=0
        reload nowhere
        d send draining
        a send GET /grid-read/k
        a expect 503""",
    "accepted requests are answered before shutdown": """
        a send POST /order/k
        i1 expect POST
        stop
        i1 send 200 done
        a expect 200 done "Connection: close"
        a expect closed
        stopped""",
    "it accepts requests for the configured time after shutdown begins": """
        stop 3600
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200 "Connection: close"
        b send GET /healthz
        b expect 200
        stop
        stopped""",
    "an idle connection to a server is closed": """
        grid 1 0 0 conn_idle_us=200000
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200
        i1 expect closed""",
    "past the limit of client connections the one that has been silent for longest is closed": """
        grid 1 client_sockets=3
        a send POST /order/k
        i1 expect POST
        b send raw
        c send raw GET /grid-
        wait 0.01
        f1 send raw
        b expect closed
        f2 send raw
        c expect closed
        i1 send 200
        a expect 200""",
    "an answer closes its connection if few client connections are left": """
        grid 1 client_sockets=4
        a send GET /healthz
        a expect 200 !close
        b send raw
        c send raw
        f send raw
        a send GET /healthz
        a expect 200 "Connection: close"
        a expect closed""",
    "with no connection to spare a new one is closed at once, and its request is not sent": """
        grid 1 client_sockets=1
        a send POST /order/k
        i1 expect POST
        b send POST /order/k
        b expect closed
        i1 send 200
        a expect 200""",
    "two body lengths may hide a request: rejected, and nothing after them is read": """
        a send raw POST /order/k HTTP/1.1\\r\\nHost: x\\r\\nX-Correlation-Id: 1\\r\\nX-Account: acme\\r\\n
        a send raw Content-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n
        a send POST /order/k
        a expect 400
        a expect closed""",
    "a negative length": """
        a send POST /order/k Content-Length:-9
        a expect 400
        a expect closed""",
    "repeated lengths": """
        a send raw POST /order/k HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: 4\\r\\n
        a send raw Content-Length: 4\\r\\n\\r\\nbody
        a expect 400
        a expect closed""",
    "an id that is open or recent is not sent to a server again, from any client": """
        a send POST /order/k X-Correlation-Id:77
        i1 expect POST
        b send POST /order/k X-Correlation-Id:77
        b expect 409
        i1 send 200
        a expect 200
        b send POST /order/k X-Correlation-Id:77
        b expect 409""",
    "pipelined requests on one connection are answered in order": """
        a send POST /order/k
        a send POST /order/k
        i1 expect POST
        i1 send 200 one
        a expect 200 one
        i2 expect POST
        i2 send 200 two
        a expect 200 two""",
    "idle connections are closed at shutdown": """
        a send GET /healthz
        a expect 200
        stop
        a expect closed
        stopped""",
    "not HTTP": """
        a send raw nonsense\\r\\n\\r\\n
        a expect 400""",
    "a body announced as too large is rejected before it arrives": """
        a send POST /order/k Content-Length:33554433
        a expect 413
        a expect closed""",
    "a long body can be retried while nothing beyond the buffered start has been sent": """
        grid 2
        a send POST /order/k Content-Length:200000
        a send raw BODY=70000
        i1 expect POST "Content-Length: 200000" X-Time-Left:
        i1 send 503 X-Unprocessed:1
        i2 expect POST "Content-Length: 200000"
        a send raw BODY=130000
        i2 rest 200000
        i2 send 200 done
        a expect 200 done !close""",
    "an order whose server closed before its whole body was sent is refused with Retry-After": """
        a send POST /order/k Content-Length:200000
        a send raw BODY=100000
        i1 expect POST "Content-Length: 200000"
        a send raw BODY=50000
        i1 rest 100000
        i1 close
        a expect 503 Retry-After "Connection: close"
        a expect closed""",
    "an order whose client closes during its body is cut off at the server": """
        a send POST /order/k Content-Length:200000
        a send raw BODY=100000
        i1 expect POST "Content-Length: 200000"
        i1 rest 100000
        a close
        i1 expect closed""",
    "a chunked body is forwarded in chunks": """
        a send raw POST /order/k HTTP/1.1\\r\\nHost: x\\r\\nX-Correlation-Id: 7\\r\\nX-Account: acme\\r\\n
        a send raw Transfer-Encoding: chunked\\r\\n\\r\\n
        a send raw 186a0\\r\\nBODY=100000
        i1 expect POST "Transfer-Encoding: chunked" !Content-Length
        a send raw \\r\\n0\\r\\n\\r\\n
        i1 send 200 done
        a expect 200 done""",
    "a client that expects 100-continue gets it": """
        a send POST /nothing Content-Length:2 Expect:100-continue
        a expect 100
        a send raw xx
        a expect 404""",
    "a 405 names the allowed method": """
        a send DELETE /order/k
        a expect 405 "Allow: POST" """,
    "a connection stays usable after a rejected request": """
        a send GET /nothing/k
        a expect 404
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""",
}
OK = "HTTP/1.1 200 OK\\r\\n"
CHUNKED = "Transfer-Encoding: chunked\\r\\n\\r\\n"
ONE = OK + "Content-Length: 3\\r\\n\\r\\none"
# Answers with surplus bytes: the answer is served, the surplus must not answer another request.
SURPLUS_RESPONSES = {
    "a second copy in the same segment": f"i1 send raw {ONE}{ONE}",
    "garbage in the same segment": f"i1 send raw {ONE}\\x00\\x01noise\\r\\n\\r\\n",
    "a head in pieces, and a copy directly after the body": f"""
        i1 send raw HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r
        i1 send raw \\none{ONE}""",
    "a chunked body, and garbage": f"i1 send raw {OK}{CHUNKED}3\\r\\none\\r\\n0\\r\\n\\r\\n!!",
}
# Invalid answers: the attempt fails at once although the connection stays open and time remains.
UNUSABLE_RESPONSES = {
    "3 GB": f"{OK}Content-Length: 3000000000\\r\\n\\r\\nand so on",
    "a broken chunk": f"{OK}{CHUNKED}3\\r\\none\\r\\nzzz\\r\\n",
    "an endless field": f"{OK}X: {'x' * 20_000}",
    "endless fields": OK + "X: 1234567890\\r\\n" * 2_000,
    "endless 1xx": "HTTP/1.1 103 Early Hints\\r\\n\\r\\n" * 20,
    "not a number": f"{OK}Content-Length: many\\r\\n\\r\\nbody",
    "negative": f"{OK}Content-Length: -4\\r\\n\\r\\nbody",
    "two lengths": f"{OK}Content-Length: 4\\r\\nContent-Length: 5\\r\\n\\r\\nbody",
    "a length and chunks": f"{OK}Content-Length: 4\\r\\n{CHUNKED}0\\r\\n\\r\\n",
    "longer than its length": f"{OK}Content-Length: 50\\r\\n\\r\\nbody",
    "half a head": "HTTP/1.1 200 O",
}
REJECTED_REQUESTS = [
    ("GET /grid-read/k X-Account:nobody", 400),
    ("GET /grid-read/k X-Account:", 400),
    ("GET /grid-read/k X-Correlation-Id:", 400),
    ("GET /grid-read/k X-Time-Left:soon", 400),
    ("GET /grid-read/k X-Time-Left:nan", 400),
    ("GET /grid-read/k X-Time-Left:-1", 400),
    ("GET /grid-read/k body=3", 400),
    ("POST /grid-read/k", 405),
    ("GET /order/k", 405),
    ("DELETE /order/k", 405),
    ("GET /", 404),
    ("GET /other/k", 404),
    ("POST /order/k Content-Length:33554433", 413),
]


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("text", SCENARIOS.values(), ids=SCENARIOS)
def test_scenario(text: str, loop: str) -> None:
    run(play(text), loop)


@given(st.binary(max_size=20))
def test_a_target_that_would_split_the_request_line_is_not_forwarded(rest: bytes) -> None:
    target = b"/" + rest
    if frontend.is_forwardable(target):
        assert (b"GET %b HTTP/1.1" % target).decode("ascii").split() == ["GET", target.decode(), "HTTP/1.1"]


@pytest.mark.parametrize(
    "start",
    [
        "",
        "GET /grid-read/k HTTP",
        "POST /order/k HTTP/1.1\\r\\nHost: x\\r\\n",
        ("POST /order/k HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: 9\\r\\n\\r\\nhalf"),
    ],
)
@pytest.mark.parametrize("before", ["", "a send GET /healthz\na expect 200"])
def test_a_connection_with_no_or_an_incomplete_request_is_closed(
    monkeypatch: pytest.MonkeyPatch, before: str, start: str
) -> None:
    # Such connections used to last 75 s, and a few hundred of them used up all descriptors.
    monkeypatch.setattr(frontend, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(frontend, "IDLE_TIMEOUT_S", 0.2)
    answered = "a expect 408 close" if start else ""
    run(play(f"{before}\na send raw {start}\n{answered}\na expect closed"))


def test_the_longest_idle_connection_is_closed_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # Clients that open a connection per request and keep it: the new ones were closed, with their requests.
    monkeypatch.setattr(frontend, "HIGH_USE_RATIO", 2)
    run(
        play("""
        grid 1 client_sockets=2
        a send GET /healthz
        a expect 200
        b send GET /healthz
        b expect 200
        c send GET /healthz
        c expect 200
        a expect closed
        b send GET /healthz
        b expect 200""")
    )


def test_idle_connections_are_closed_sooner_when_few_are_left(monkeypatch: pytest.MonkeyPatch) -> None:
    # In a load test with new clients for each request, idle connections were kept and others had none left.
    monkeypatch.setattr(frontend, "SHORT_IDLE_TIMEOUT_S", 0.05)
    run(
        play("""
        grid 1 client_sockets=5
        a send GET /healthz
        a expect 200
        b send GET /healthz
        b expect 200
        a expect closed
        b expect closed""")
    )


def test_a_deadline_is_capped_by_the_class() -> None:
    # With X-Time-Left of an hour, a server that did not answer kept its request open for the hour.
    stage = run(
        play("""
        a send GET /grid-read/k X-Time-Left:3000
        i1 expect GET !"X-Time-Left: 2999"
        i1 send 200
        a expect 200""")
    )
    assert stage.app.counters["taken"] == 1


def test_request_ids_expire() -> None:
    stage = run(play("a send POST /order/k\ni1 expect POST\ni1 send 200\na expect 200"))
    client_listener = stage.app.frontend
    ids, now_us = client_listener._request_ids, client_listener.clock()
    assert ids.retained_count == 1 and len(ids._known) == 1
    client_listener.sweep()
    assert ids.retained_count == 1 and len(ids._known) == 1
    client_listener.clock = lambda: now_us + request_ids.RETENTION_US + request_ids.BUCKET_US
    client_listener.sweep()
    assert ids.retained_count == 0 and not ids._known


def test_log_records_of_rejected_requests_are_rate_limited(caplog: pytest.LogCaptureFixture) -> None:
    steps = "a send GET /nothing\na expect 404\n" * 5 * frontend.MAX_LOGGED_REJECTS_PER_S
    stage = run(play(steps))
    assert stage.app.counters["rejected.404"] == 5 * frontend.MAX_LOGGED_REJECTS_PER_S
    logged = sum(r.getMessage() == "request rejected" for r in caplog.records)
    assert logged <= 4 * frontend.MAX_LOGGED_REJECTS_PER_S


@pytest.mark.parametrize("steps", SURPLUS_RESPONSES.values(), ids=SURPLUS_RESPONSES)
def test_bytes_after_an_answer_never_answer_the_next_request(steps: str) -> None:
    # aiohttp loses an answer with garbage in its segment, and gives a copy to the connection's next request.
    run(
        play(f"""
        a send POST /order/k
        i1 expect POST
        {steps}
        a expect 200 one
        a send POST /order/k
        i2 expect POST
        i2 send 200 two
        a expect 200 two""")
    )


@pytest.mark.parametrize("surplus", [ONE, "noise", "HTTP/1.1 200 OK\\r\\n"])
def test_input_on_an_idle_server_connection_closes_it(surplus: str) -> None:
    # The pool checked only whether a connection was still up, so the copy answered the next request.
    stage = run(
        play(f"""
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200 one
        a expect 200 one
        i1 send raw {surplus}
        a send GET /grid-read/k
        i2 expect GET
        i2 send 200 two
        a expect 200 two""")
    )
    assert stage.connections == 2


@pytest.mark.parametrize("answer", UNUSABLE_RESPONSES.values(), ids=UNUSABLE_RESPONSES)
def test_an_invalid_answer_fails_at_once_and_closes_its_connection(answer: str) -> None:
    stage = run(
        play(f"""
        a send POST /order/k
        i1 expect POST
        i1 send raw {answer}
        a expect 502 !body
        i1 expect closed""")
    )
    assert stage.app.counters["execution.garbled"] == 1


def test_at_the_socket_limit_an_idle_connection_is_closed_or_no_new_one_is_opened() -> None:
    # Past the limit every connect would fail and count against a healthy server.
    stage = run(
        play("""
        grid 2 sockets=64 instance_sockets=1
        a send POST /order/a
        i1 expect POST
        b send POST /order/b
        b expect 503 Retry-After
        i1 send 200
        a expect 200
        d expect watch
        d send up draining
        a send POST /order/c
        i2 expect POST
        i2 send 200
        a expect 200
        d send draining up
        a send POST /order/c
        i3 expect POST
        i3 send 200
        a expect 200""")
    )
    assert stage.app.counters["execution.no_socket"] > 0 and stage.app.counters["execution.dial_failed"] == 0


@pytest.mark.parametrize(("request_line", "status"), REJECTED_REQUESTS)
def test_a_rejected_request_gets_a_4xx_and_is_counted(request_line: str, status: int) -> None:
    stage = run(play(f"a send {request_line}\na expect {status}"))
    assert stage.app.counters[f"rejected.{status}"] == 1 and stage.app.counters["taken"] == 0


@pytest.mark.parametrize(
    ("grid_step", "outcome"),
    [("grid 1 1", "dial_failed"), ("grid 1 0 1 dial_timeout_us=20000", "dial_timed_out")],
)
def test_an_order_whose_connect_failed_is_sent_to_another_server(grid_step: str, outcome: str) -> None:
    steps = [f"a send POST /order/{key}\ni1 expect POST\ni1 send 200\na expect 200" for key in "abcdefgh"]
    stage = run(play("\n".join([grid_step, *steps])))
    assert stage.app.counters["execution." + outcome] > 0


def test_idle_connections_are_closed_before_the_server_closes_them() -> None:
    # A request that crosses the server's close ends in a reset, and an order is then lost.
    assert IDLE_PART * 10 + pool.SWEEP_S < 0.9 * 10


def test_a_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    # A connection to discovery may be lost without a sign; then the balancer would never learn of a drain.
    monkeypatch.setattr(watch_timing, "SILENCE_S", 0.05)
    stage = run(
        play("""
        d expect after=0
        d2 expect after=0
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200
        a expect 200""")
    )
    assert stage.app.counters["list.broken"] >= 1


@pytest.mark.interpreted
@pytest.mark.counts_faults("fault.client")
def test_an_exception_in_the_frontend_fails_only_its_own_request(monkeypatch: pytest.MonkeyPatch) -> None:
    # It must be answered with 500, never with 503 or 429, and the process must continue.
    opened, original_open = [], Engine.open

    def fail_first_open(engine: Engine, exchange: Exchange) -> None:
        opened.append(exchange)
        if len(opened) == 1:
            raise RuntimeError("no idea")
        original_open(engine, exchange)

    monkeypatch.setattr(Engine, "open", fail_first_open)
    stage = run(
        play("""
        a send GET /grid-read/k
        a expect 500
        b send GET /grid-read/k
        i1 expect GET
        i1 send 200
        b expect 200""")
    )
    assert stage.app.counters["fault.client"] == 1


def test_a_body_of_65536_bytes_is_forwarded() -> None:
    run(
        play("""
        a send POST /order/k body=65536
        i1 expect POST "Content-Length: 65536"
        i1 send 200
        a expect 200""")
    )


def test_server_connections_are_reused_before_new_ones_are_opened() -> None:
    steps = ["a send GET /grid-read/k\ni1 expect GET\ni1 send 200\na expect 200\nwait 0.05"] * 5
    stage = run(play("\n".join(steps)))
    assert stage.connections == 1
