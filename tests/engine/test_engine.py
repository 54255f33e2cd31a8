"""The engine, the exchange and the name table's reading, without sockets."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from collections.abc import Callable, Coroutine

import pytest
from scenario import SETTINGS

from roadlb.app import App
from roadlb.app import run as run_program
from roadlb.clock import monotonic_us, unix_us
from roadlb.config import Pairs, read_config, read_settings
from roadlb.counters import Counters
from roadlb.engine import Engine
from roadlb.exchange import (
    Answer,
    AttemptOutcome,
    Exchange,
    Attempt,
    Failure,
    Message,
    Refusal,
    Result,
    Response,
)
from roadlb.log import KeyValueFormatter, fields
from roadlb.net.headers import HeaderError, Headers, LoadReports
from roadlb.net.discovery import MalformedList, ServerDiscovery, server_id
from roadlb.net.frontend import hash_key
from roadlb.policy.interface import (
    NEVER_RAN,
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Send,
    ServerState,
    SetTimer,
    Status,
    TimerFired,
)
from roadlb.policy.logic import Balancer
from roadlb.wheel import TimerWheel

NODE = server_id("s-1")
ANSWERS: list[tuple[int, Answer]] = []


class Recorder:
    """Stands in for the side that reaches the instances."""

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.withdrawn: list[Attempt] = []  # if nothing of them had been sent, which it has here
        self.probed: list[bytes] = []

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)

    def cancel(self, attempt: Attempt, unsent: bool = False) -> None:
        (self.withdrawn if unsent else self.cancelled).append(attempt)

    def probe(self, server: bytes) -> None:
        self.probed.append(server)


class Decider:
    """Stands in for the module: answers each kind of event with what the test has set."""

    def __init__(self) -> None:
        self.replies: dict[type, Callable[[Event], list[Action]]] = {}
        self.events: list[Event] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.events.append(event)
        return self.replies.get(type(event), lambda e: [])(event)


def engine(decider: object) -> tuple[Engine, Recorder]:
    made = Engine(decider, Counters(), monotonic_us, TimerWheel(monotonic_us))  # type: ignore[arg-type]
    recorder = Recorder()
    made.executor = recorder
    return made, recorder


def exchange(left_us: int = 1_000_000) -> Exchange:
    """One that notes its answers in `ANSWERS`."""
    ANSWERS.clear()
    return Exchange(
        Message(b"GET", b"/grid-read/k"),
        0,
        0,
        1,
        left_us,
        0,
        False,
        lambda x, answer: ANSWERS.append((x.id, answer)),
    )


def run(main: Callable[[], Coroutine[None, None, None]]) -> None:
    asyncio.run(main())


def test_only_what_is_proved_never_to_have_run_says_so() -> None:
    never = {e for e in AttemptOutcome if e.status in NEVER_RAN}
    assert never == {
        AttemptOutcome.TURNED_AWAY,
        AttemptOutcome.DIAL_FAILED,
        AttemptOutcome.DIAL_TIMED_OUT,
        AttemptOutcome.BROKE_UNSENT,
        AttemptOutcome.UNFINISHED,
        AttemptOutcome.NO_SOCKET,
        AttemptOutcome.NEVER_STARTED,
    }
    assert [e for e in AttemptOutcome if e.status is Status.OK] == [AttemptOutcome.SERVED]


def test_an_exchange_from_arrival_to_answer() -> None:
    async def main() -> None:
        made, recorder = engine(Balancer(read_settings(Pairs.from_json(SETTINGS)), 1))
        made.list_update(ListKind.CACHED, [Member(NODE)])
        x = exchange()
        made.open(x)
        (attempt,) = recorder.started
        assert attempt.server == NODE and attempt.deadline_at_us <= x.deadline_at_us
        made.attempt_ended(attempt, Result(AttemptOutcome.SERVED, (), Response(b"body")))
        assert x.answer == Response(b"body") and not made._open

    run(main)


def test_an_exception_costs_only_its_own_request() -> None:
    async def main() -> None:
        decider = Decider()
        made, recorder = engine(decider)
        decider.replies[Arrival] = lambda e: [Send(e.request, NODE, 0)] if e.request != 1 else [][1]  # type: ignore[union-attr, list-item]
        broken, sound = exchange(), exchange()
        made.open(broken)
        made.open(sound)
        assert isinstance(broken.answer, Refusal) and not sound.closed
        made.attempt_ended(recorder.started[0], Result(AttemptOutcome.SERVED, (), Response(b"")))
        assert sound.answer == Response(b"")

    run(main)


def test_a_module_that_fails_on_everything_ends_neither_the_process_nor_an_answer() -> None:
    # Telling it that the request is over fails as well, and must not be told again for ever.
    async def main() -> None:
        decider = Decider()
        made, recorder = engine(decider)
        decider.replies[Arrival] = lambda e: [Send(1, NODE, 0)]
        x = exchange()
        made.open(x)
        decider.replies[Outcome] = decider.replies[ClientGone] = lambda e: [][1]
        made._give_up(x, "test")
        made.attempt_ended(recorder.started[0], Result(AttemptOutcome.RESET))
        assert x.answer == Failure("test") and not made._open
        assert made._counters["fault.engine"] == 2

    run(main)


def test_a_hang_up_in_the_moment_of_the_answer_is_no_client_gone() -> None:
    async def main() -> None:
        decider = Decider()
        made, _ = engine(decider)
        decider.replies[Arrival] = lambda e: [Send(e.request, NODE, 0)] * (e.request == 1)  # type: ignore[union-attr]
        answered, gone = exchange(), exchange()
        made.open(answered)
        made.open(gone)
        made._answer(1, Refusal(5))
        for x in (answered, gone):
            made.client_gone(x)
        assert answered.answer == Refusal(5) and made._counters["client_gone"] == 1
        assert decider.events[-1] == ClientGone(gone.id)

    run(main)


def test_what_the_module_forgets_is_answered_all_the_same() -> None:
    async def main() -> None:
        decider = Decider()
        made, _ = engine(decider)
        x, answered = exchange(left_us=1), asyncio.Event()
        x.on_answer = lambda x, answer: answered.set()
        made.open(x)
        await asyncio.wait_for(answered.wait(), 10)
        assert isinstance(x.answer, Refusal)  # nothing of it ran
        assert decider.events[-1] == ClientGone(x.id) and not made._open

    run(main)


def test_an_answer_is_final_and_later_sends_are_moot() -> None:
    async def main() -> None:
        decider = Decider()
        made, recorder = engine(decider)
        decider.replies[Arrival] = lambda e: [
            Send(1, NODE, 0),
            Refuse(1, 5),
            Fail(1),
            Send(1, NODE, 0),
            Cancel(1, 0),
            Cancel(1, 1),
        ]
        x = exchange()
        made.open(x)
        assert x.answer == Refusal(5)
        assert len(recorder.started) == 1 and recorder.cancelled == recorder.started
        assert decider.events[-1] == Outcome(1, 1, NODE, Status.MOOT, decider.events[-1].latency_us, True)  # type: ignore[union-attr]
        made.attempt_ended(x.attempts[0], Result(AttemptOutcome.CANCELLED))
        assert not made._open

    run(main)


def test_a_send_that_crosses_its_client_leaving_is_not_started_and_ends_for_the_module() -> None:
    # Carrying out an earlier action of the same turn has the client found gone; the module, which counts the
    # attempt as open at its server, hears of that only later, and must hear how the attempt ended too.
    async def main() -> None:
        decider = Decider()
        made, recorder = engine(decider)
        first, second = exchange(), exchange()
        first.on_answer = lambda x, answer: made.client_gone(second)
        made.open(first)
        made.open(second)
        decider.replies[ListUpdate] = lambda e: [Refuse(first.id, 5), Send(second.id, NODE, 0)]
        made.list_update(ListKind.FULL, [])
        assert recorder.started == [] and second.answer is None
        assert [e.outcome for e in second.attempts] == [AttemptOutcome.NEVER_STARTED]
        (ended,) = [e for e in decider.events if isinstance(e, Outcome)]
        assert (ended.request, ended.attempt, ended.closed) == (second.id, 0, True)
        assert made.requests_in_flight == 0 and not made._open

    run(main)


def test_over_the_most_open_a_request_is_nacked_before_the_module() -> None:
    # With no descriptor left every dial and every accept would fail.
    async def main() -> None:
        decider = Decider()
        made, _ = engine(decider)
        made._max_open = 1
        one, two = exchange(), exchange()
        made.open(one)
        made.open(two)
        assert isinstance(two.answer, Refusal) and not one.closed
        assert len(decider.events) == 1
        made.give_up_all()
        assert isinstance(one.answer, Refusal)

    run(main)


def test_without_room_a_refusal_tells_only_what_the_settings_allow() -> None:
    async def main() -> None:
        made = Engine(
            Decider(),  # type: ignore[arg-type]
            Counters(),
            monotonic_us,
            TimerWheel(monotonic_us),
            max_open=0,
            retry_after_us=0,
        )
        made.open(exchange())
        (answer,) = [answer for _, answer in ANSWERS]
        assert isinstance(answer, Refusal) and answer.retry_after_us == 0

    asyncio.run(main())


def test_timers_and_probes() -> None:
    async def main() -> None:
        decider, fired = Decider(), asyncio.Event()
        made, recorder = engine(decider)
        decider.replies[ListUpdate] = lambda e: [SetTimer(monotonic_us() + 1_000, 77), Probe(NODE)]
        decider.replies[TimerFired] = lambda e: fired.set() or []
        made.list_update(ListKind.FULL, [])
        await asyncio.wait_for(fired.wait(), 10)
        made.probe_ended(NODE, 9, Result(AttemptOutcome.SERVED, (1.0,)))
        assert recorder.probed == [NODE]
        assert decider.events[1:] == [TimerFired(77), Probed(NODE, Status.OK, 9, (1.0,))]

    run(main)


def test_the_program_freezes_what_the_imports_left(monkeypatch: pytest.MonkeyPatch) -> None:
    # Without it each full collection stalled all requests for 13 to 15 ms (overload-5 on the bench).
    frozen: list[int] = []
    full = gc.get_stats()[2]["collections"]
    monkeypatch.setattr(gc, "set_threshold", lambda *n: None)  # it would hold for the other tests too

    def freeze() -> None:
        frozen.append(gc.get_count()[2])
        os.kill(os.getpid(), signal.SIGTERM)

    monkeypatch.setattr(gc, "freeze", freeze)
    asyncio.run(
        asyncio.wait_for(
            run_program(
                read_config(
                    {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS},
                    {},
                )
            ),
            20,
        )
    )
    assert frozen == [0]  # once, and just after a full collection
    # Against the number that lived before, the next full one waited for some MB of garbage in cycles.
    assert gc.get_stats()[2]["collections"] >= full + 2


def test_an_address_that_a_predecessor_still_holds_is_waited_for() -> None:
    async def main() -> None:
        loop, logged = asyncio.get_running_loop(), asyncio.Event()
        old = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = old.sockets[0].getsockname()[1]
        made = App(
            read_config(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": "127.0.0.1:1",
                    "settings": SETTINGS,
                },
                {},
            )
        )
        handler = logging.Handler()
        handler.emit = lambda record: logged.set() if "in use" in record.msg else None  # type: ignore[method-assign]
        logging.getLogger("roadlb.net.sockets").addHandler(handler)
        starting = loop.create_task(made.start())
        await asyncio.wait_for(logged.wait(), 10)
        old.close()
        await asyncio.wait_for(starting, 10)
        assert made.port == port
        await made.stop(linger_s=0)
        logging.getLogger("roadlb.net.sockets").removeHandler(handler)

    run(main)


def table() -> ServerDiscovery:
    return ServerDiscovery(
        None,
        ("a", "b"),
        ("m1", "m2"),
        None,
        None,
        Counters(),  # type: ignore[arg-type]
        monotonic_us,
        unix_us,
    )


ENTRY = {
    "instanceId": "s-1",
    "hostPort": "10.1.0.18:8080",
    "zone": "b",
    "machineType": "m2",
    "cell": 3,
    "lifecycle": "up",
    "weight": 1.5,
    "startedAtMs": 0,
}


def test_a_list_line_is_read() -> None:
    line = table().parse(
        {"generation": 4, "reset": False, "instances": [ENTRY, {"instanceId": "s-2", "lifecycle": "removed"}]}
    )
    assert line.members == [
        Member(NODE, ServerState.READY, 3, 1, 1, 1.5, 0),
        Member(server_id("s-2"), ServerState.GONE),
    ]
    assert (line.generation, line.kind) == (4, ListKind.DELTA)


def test_a_start_is_told_in_clock_time_and_always_the_same() -> None:
    # A start that moved by a microsecond would look like a restart of the process.
    t, entry = table(), {**ENTRY, "startedAtMs": 1_700_000_000_000}
    raw = {"generation": 1, "reset": True, "instances": [entry]}
    assert t.parse(raw) == t.parse(raw)
    assert t.parse(raw).members[0].born_us == 1_700_000_000_000_000 + t._unix_to_clock


def test_ids_come_from_the_name_whatever_the_address() -> None:
    raw = [
        {"generation": 1, "reset": True, "instances": [{**ENTRY, "hostPort": at}]}
        for at in ("10.1.0.18:8080", "127.0.0.9:1")
    ]
    assert table().parse(raw[0]).members == table().parse(raw[1]).members
    # Known values: another process, or another version, must come to the same.
    assert (server_id("s-1").hex(), hash_key(b"k"), hash_key(b"")) == (
        "03231059c9d4de0d",
        7193521810918036140,
        0,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"instanceId": 7},
        {"instanceId": ""},
        {"lifecycle": "sideways"},
        {"hostPort": "nowhere"},
        {"weight": "x"},
        {"weight": float("nan")},
        {"startedAtMs": "x"},
        {"startedAtMs": float("inf")},
        {"cell": "x"},
        {"zone": []},
    ],
)
def test_a_malformed_entry_spoils_its_line(change: dict[str, object]) -> None:
    with pytest.raises(MalformedList):
        table().parse({"generation": 1, "reset": True, "instances": [{**ENTRY, **change}]})


@pytest.mark.parametrize(
    "raw",
    [
        b"{",
        b"\xff",
        b"[]",
        b"7",
        b'{"generation":1}',
        {"reset": True, "instances": []},
        {"generation": 1, "reset": 1, "instances": []},
    ],
)
def test_a_malformed_line(raw: object) -> None:
    with pytest.raises(MalformedList):
        table().parse(raw)


def test_load_reports_under_either_name_and_none_if_not_whole() -> None:
    reports = LoadReports(("eps", "queue"))
    assert reports.read(b"queue=2,eps=0.5,util=1") == (0.5, 2.0)
    assert reports.read(b"q=2,fail_rate=0.5") == (0.5, 2.0)
    assert [
        reports.read(t)
        for t in (
            b"queue=2",
            b"queue=x,eps=1",
            b"",
            None,
            b"queue=nan,eps=0",
            b"queue=inf,eps=0",
            b"queue=-1,eps=0",
            b"\xff=\xfe",
        )
    ] == [()] * 8


def test_headers_of_one_connection_stay_on_it() -> None:
    headers = Headers(
        [
            (b"X-Hop", b"1"),
            (b"Connection", b"close, X-Hop"),
            (b"TE", b"x"),
            (b"Accept", b"a"),
            (b"x-hop", b"2"),
            (b"X-Hopper", b"stays"),
            (b"X-Time-Left", b"1"),
        ]
    )
    assert headers.forwarded() == b"Accept: a\r\nX-Hopper: stays\r\n"


@pytest.mark.parametrize("value", [b"a\r\nX: y", b"a\n b", b"a\rb", b"a\0b"])
def test_a_value_that_would_be_two_lines_is_not_passed_on(value: bytes) -> None:
    with pytest.raises(HeaderError):
        Headers([(b"Accept", value)]).forwarded()


def test_the_wheel_calls_in_order_never_early_and_not_what_was_cancelled() -> None:
    # One that fails must not cost the others their deadline.
    async def main() -> None:
        now, called = 0, []
        done = asyncio.Event()
        wheel = TimerWheel(lambda: now)
        wheel.call_at(20_000, lambda x: [][x], 1)
        for at in (30_001, 10_000, 20_000, 0):
            wheel.call_at(at, lambda at: called.append((at, now)), at)
        wheel.call_at(10_000, called.append, "cancelled").cancel()
        wheel.call_at(60_000, lambda x: done.set(), None)
        while not done.is_set():
            now += 1_000
            await asyncio.sleep(0.0005)
            assert len(called) == len({at for at, _ in called})
        assert [at for at, _ in called] == [0, 10_000, 20_000, 30_001]
        assert all(0 <= then - at for at, then in called)
        wheel.close()

    run(main)


def test_a_record_is_one_line_of_key_value_pairs() -> None:
    record = logging.makeLogRecord(
        {
            "msg": "it ended",
            "name": "n",
            "levelname": "INFO",
            **fields(ending="reset", error='a "b"\nc', empty="", share=0.25),
        }
    )
    text = KeyValueFormatter().format(record).split(" ", 1)[1]
    assert text == (
        'level=info logger=n event="it ended" ending=reset error="a \\"b\\"\\nc" empty="" share=0.25'
    )


def test_counters_are_printed_in_one_line(caplog: pytest.LogCaptureFixture) -> None:
    counters = Counters()
    counters.add("taken", 2)
    counters.add("answered.read")
    with caplog.at_level(logging.INFO):
        counters.print("exit")
    assert caplog.records[0].fields == {"reason": "exit", "answered.read": 1, "taken": 2}  # type: ignore[attr-defined]
