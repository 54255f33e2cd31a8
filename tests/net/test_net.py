"""The network code, in scenarios; each says what it guards against."""

from __future__ import annotations


import pytest
from hypothesis import given
from hypothesis import strategies as st
from scenario import LOOPS, play, run

from roadlb.engine import Engine
from roadlb.exchange import Exchange
from roadlb.net import pool, frontend, watch_timing
from roadlb.config import IDLE_PART

SCENARIOS = {
    "a drain lets idle clients go, ends what is open well, serves new ones, and is over at once": """
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
    "target byte for byte, load report kept back, the rest passed on": """
        a send GET /grid-read/a%2Fb//..;x?q=%41&&b=%c3 Accept:text/x
        i1 expect "GET /grid-read/a%2Fb//..;x?q=%41&&b=%c3 HTTP/1.1" "Accept: text/x" X-Time-Left !User-Agent
        i1 send 200 forecast Content-Type:text/x X-Backend-Load:eps=0,queue=2
        a expect 200 forecast text/x !X-Backend-Load""",
    "1xx answers in front of the final one, and a report that cannot be read": """
        a send GET /grid-read/k
        i1 expect GET
        i1 send raw HTTP/1.1 103 Early Hints\\r\\nX: y\\r\\n\\r\\nHTTP/1.1 102 Processing\\r\\n\\r\\n
        i1 send 200 one X-Backend-Load:\\x7f=,,;
        a expect 200 one""",
    "an answer in another protocol may have run": """
        a send POST /order/k
        i1 expect POST
        i1 send raw HTTP/1.1 101 Go\\r\\nConnection: upgrade\\r\\nUpgrade: x\\r\\n\\r\\nx
        a expect 502
        i1 expect closed""",
    "an early answer says nothing of when the final one comes": """
        a send POST /order/k
        i1 expect POST
        i1 send raw HTTP/1.1 103 Early Hints\\r\\nX: y\\r\\n\\r\\n
        wait 0.7
        i1 send 200 done
        a expect 200 done""",
    "a target in absolute form is its path and query": """
        a send raw GET http://any.host:80/grid-read/k?q=%41 HTTP/1.1\\r\\nHost: any.host:80\\r\\n
        a send raw X-Correlation-Id: 7\\r\\nX-Account: acme\\r\\n\\r\\n
        i1 expect "GET /grid-read/k?q=%41 HTTP/1.1"
        i1 send 200 one
        a expect 200 one""",
    "a long answer begins before it is whole, and one that breaks ends unfinished": """
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
    "an answer may end with its connection, and one that breaks instead is not served": """
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
    "where clients are not told when to come back, a refusal names no time": """
        grid 0 1 max_retry_after_us=0
        a send GET /grid-read/k
        a expect 503 !Retry-After""",
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
    "past the limit of clients' connections the one that has been silent for longest makes room": """
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
    "where connections are few, an answer says that it is its connection's last": """
        grid 1 client_sockets=4
        a send GET /healthz
        a expect 200 !close
        b send raw
        c send raw
        f send raw
        a send GET /healthz
        a expect 200 "Connection: close"
        a expect closed""",
    "with no other to spare, a new connection is closed at once, and nothing of its request runs": """
        grid 1 client_sockets=1
        a send POST /order/k
        i1 expect POST
        b send POST /order/k
        b expect closed
        i1 send 200
        a expect 200""",
    "two lengths may hide another request: refused, and nothing behind them is read": """
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
    "an id that is open, or was lately, reaches no instance again, whoever sends it": """
        a send POST /order/k X-Correlation-Id:77
        i1 expect POST
        b send POST /order/k X-Correlation-Id:77
        b expect 409
        i1 send 200
        a expect 200
        b send POST /order/k X-Correlation-Id:77
        b expect 409""",
    "requests in a row on one connection are answered one by one": """
        a send POST /order/k
        a send POST /order/k
        i1 expect POST
        i1 send 200 one
        a expect 200 one
        i2 expect POST
        i2 send 200 two
        a expect 200 two""",
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
        a send POST /order/k Content-Length:33554433
        a expect 413
        a expect closed""",
    "a long body can go to another node while nothing beyond the hold has left": """
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
    "a node that is lost with half an order never ran it, and the client hears so": """
        a send POST /order/k Content-Length:200000
        a send raw BODY=100000
        i1 expect POST "Content-Length: 200000"
        a send raw BODY=50000
        i1 rest 100000
        i1 close
        a expect 503 Retry-After "Connection: close"
        a expect closed""",
    "an order whose client leaves it half is left half at its node": """
        a send POST /order/k Content-Length:200000
        a send raw BODY=100000
        i1 expect POST "Content-Length: 200000"
        i1 rest 100000
        a close
        i1 expect closed""",
    "a body in chunks goes on in chunks": """
        a send raw POST /order/k HTTP/1.1\\r\\nHost: x\\r\\nX-Correlation-Id: 7\\r\\nX-Account: acme\\r\\n
        a send raw Transfer-Encoding: chunked\\r\\n\\r\\n
        a send raw 186a0\\r\\nBODY=100000
        i1 expect POST "Transfer-Encoding: chunked" !Content-Length
        a send raw \\r\\n0\\r\\n\\r\\n
        i1 send 200 done
        a expect 200 done""",
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
OK = "HTTP/1.1 200 OK\\r\\n"
CHUNKED = "Transfer-Encoding: chunked\\r\\n\\r\\n"
ONE = OK + "Content-Length: 3\\r\\n\\r\\none"
# Answers that bring more than belongs to them: served, and what came besides is nobody's answer.
MORE = {
    "a second copy in the same segment": f"i1 send raw {ONE}{ONE}",
    "noise in the same segment": f"i1 send raw {ONE}\\x00\\x01noise\\r\\n\\r\\n",
    "a head in pieces, and a copy right behind the body": f"""
        i1 send raw HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r
        i1 send raw \\none{ONE}""",
    "a chunked body, and noise": f"i1 send raw {OK}{CHUNKED}3\\r\\none\\r\\n0\\r\\n\\r\\n!!",
}
# Answers that cannot be used: failed at once, though the connection stays open and the time is long.
SPOILT = {
    "3 GB": f"{OK}Content-Length: 3000000000\\r\\n\\r\\nand so on",
    "a broken chunk": f"{OK}{CHUNKED}3\\r\\none\\r\\nzzz\\r\\n",
    "an endless field": f"{OK}X: {'x' * 20_000}",
    "endless fields": OK + "X: 1234567890\\r\\n" * 2_000,
    "endless 1xx": "HTTP/1.1 103 Early Hints\\r\\n\\r\\n" * 20,
    "no length": f"{OK}\\r\\nbody",
    "no number": f"{OK}Content-Length: many\\r\\n\\r\\nbody",
    "negative": f"{OK}Content-Length: -4\\r\\n\\r\\nbody",
    "two lengths": f"{OK}Content-Length: 4\\r\\nContent-Length: 5\\r\\n\\r\\nbody",
    "a length and chunks": f"{OK}Content-Length: 4\\r\\n{CHUNKED}0\\r\\n\\r\\n",
    "longer than it says it is": f"{OK}Content-Length: 50\\r\\n\\r\\nbody",
    "half a head": "HTTP/1.1 200 O",
}
REJECTED = [
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
def test_a_target_that_would_end_its_request_line_is_not_passed_on(rest: bytes) -> None:
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
def test_a_silent_or_half_sent_request_is_ended(
    monkeypatch: pytest.MonkeyPatch, before: str, start: str
) -> None:
    # Such a connection lasted 75 s, and a few hundred of them took all descriptors.
    monkeypatch.setattr(frontend, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(frontend, "IDLE_TIMEOUT_S", 0.2)
    answered = "a expect 408 close" if start else ""
    run(play(f"{before}\na send raw {start}\n{answered}\na expect closed"))


def test_the_longest_idle_connection_makes_room_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # Clients that connect anew for each request and stay: new ones were closed instead, with their requests.
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


def test_idle_connections_are_not_kept_where_they_are_not_plentiful(monkeypatch: pytest.MonkeyPatch) -> None:
    # Clients that asked once held their connections for good, and others had none left (churn on the bench).
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


def test_a_deadline_is_no_longer_than_the_class_allows() -> None:
    # With X-Time-Left of an hour, one silent instance held its request for the hour.
    stage = run(
        play("""
        a send GET /grid-read/k X-Time-Left:3000
        i1 expect GET !"X-Time-Left: 2999"
        i1 send 200
        a expect 200""")
    )
    assert stage.app.counters["taken"] == 1


def test_ids_are_forgotten() -> None:
    stage = run(play("a send POST /order/k\ni1 expect POST\ni1 send 200\na expect 200"))
    client = stage.app.frontend
    ((_, id),) = client._expiring_ids
    assert client._known_ids == {id}
    client._expiring_ids[0] = (0, id)
    client.sweep()
    assert not client._known_ids and not client._expiring_ids


def test_faults_at_full_speed_do_not_fill_the_log(caplog: pytest.LogCaptureFixture) -> None:
    steps = "a send GET /nothing\na expect 404\n" * 5 * frontend.MAX_LOGGED_REJECTS_PER_S
    stage = run(play(steps))
    assert stage.app.counters["rejected.404"] == 5 * frontend.MAX_LOGGED_REJECTS_PER_S
    logged = sum(r.getMessage() == "request rejected" for r in caplog.records)
    assert logged <= 4 * frontend.MAX_LOGGED_REJECTS_PER_S


@pytest.mark.parametrize("steps", MORE.values(), ids=MORE)
def test_what_comes_besides_a_good_answer_is_never_the_next_one(steps: str) -> None:
    # aiohttp loses an answer with noise in its segment, and gives a copy to the connection's next request.
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


@pytest.mark.parametrize("more", [ONE, "noise", "HTTP/1.1 200 OK\\r\\n"])
def test_what_comes_once_the_connection_is_idle_ends_it(more: str) -> None:
    # The pool only asks whether a connection is still up: the copy was the next request's answer.
    stage = run(
        play(f"""
        a send GET /grid-read/k
        i1 expect GET
        i1 send 200 one
        a expect 200 one
        i1 send raw {more}
        a send GET /grid-read/k
        i2 expect GET
        i2 send 200 two
        a expect 200 two""")
    )
    assert stage.connections == 2


@pytest.mark.parametrize("answer", SPOILT.values(), ids=SPOILT)
def test_a_spoilt_answer_fails_at_once_and_closes_its_connection(answer: str) -> None:
    stage = run(
        play(f"""
        a send POST /order/k
        i1 expect POST
        i1 send raw {answer}
        a expect 502 !body
        i1 expect closed""")
    )
    assert stage.app.counters["execution.garbled"] == 1


def test_an_idle_connection_makes_room_for_one_that_is_needed_and_with_none_nothing_is_dialled() -> None:
    # Past the limit every dial would fail, and count against an instance that is sound.
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


@pytest.mark.parametrize(("request_line", "status"), REJECTED)
def test_bad_input_gets_a_plain_4xx_and_a_counter(request_line: str, status: int) -> None:
    stage = run(play(f"a send {request_line}\na expect {status}"))
    assert stage.app.counters[f"rejected.{status}"] == 1 and stage.app.counters["taken"] == 0


@pytest.mark.parametrize(
    ("grid", "ending"), [("grid 1 1", "dial_failed"), ("grid 1 0 1 dial_timeout_us=20000", "dial_timed_out")]
)
def test_an_order_that_could_not_connect_is_sent_elsewhere(grid: str, ending: str) -> None:
    steps = [f"a send POST /order/{key}\ni1 expect POST\ni1 send 200\na expect 200" for key in "abcdefgh"]
    stage = run(play("\n".join([grid, *steps])))
    assert stage.app.counters["execution." + ending] > 0


def test_no_connection_idles_as_long_as_its_instance_allows() -> None:
    # A request that crosses the instance's closing is a reset, and an order is then lost.
    assert IDLE_PART * 10 + pool.SWEEP_S < 0.9 * 10


def test_a_silent_watch_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # A cut connection to discovery says nothing: without this the balancer would never hear of a drain.
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
def test_an_exception_at_the_client_side_costs_only_its_own_request(monkeypatch: pytest.MonkeyPatch) -> None:
    # It must be answered as failed, never as 503 or 429, and the process goes on.
    opened, sound = [], Engine.open

    def open_but_the_first(engine: Engine, exchange: Exchange) -> None:
        opened.append(exchange)
        if len(opened) == 1:
            raise RuntimeError("no idea")
        sound(engine, exchange)

    monkeypatch.setattr(Engine, "open", open_but_the_first)
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


def test_a_body_of_the_largest_size_is_passed_on() -> None:
    run(
        play("""
        a send POST /order/k body=65536
        i1 expect POST "Content-Length: 65536"
        i1 send 200
        a expect 200""")
    )


def test_connections_are_reused_before_new_ones_are_dialled() -> None:
    steps = ["a send GET /grid-read/k\ni1 expect GET\ni1 send 200\na expect 200"] * 5
    stage = run(play("\n".join(steps)))
    assert stage.connections == 1
