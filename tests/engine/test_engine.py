"""The engine, exchanges, the timer wheel and the parsing of server lists and headers, without sockets."""

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

SERVER_ID = server_id("s-1")
ANSWERS: list[tuple[int, Answer]] = []


class RecordingExecutor:
    """An executor that records its calls."""

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.withdrawn: list[
            Attempt
        ] = []  # `unsent`: to be cancelled only if nothing was sent, while here it was
        self.probed: list[bytes] = []

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)

    def cancel(self, attempt: Attempt, unsent: bool = False) -> None:
        (self.withdrawn if unsent else self.cancelled).append(attempt)

    def probe(self, server: bytes) -> None:
        self.probed.append(server)


class ScriptedPolicy:
    """A policy that returns the actions which the test has set for each type of event."""

    def __init__(self) -> None:
        self.replies: dict[type, Callable[[Event], list[Action]]] = {}
        self.events: list[Event] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.events.append(event)
        return self.replies.get(type(event), lambda e: [])(event)


def new_engine(policy: object) -> tuple[Engine, RecordingExecutor]:
    engine = Engine(policy, Counters(), monotonic_us, TimerWheel(monotonic_us))  # type: ignore[arg-type]
    executor = RecordingExecutor()
    engine.executor = executor
    return engine, executor


def new_exchange(left_us: int = 1_000_000) -> Exchange:
    """Return an exchange that records its answers in `ANSWERS`."""
    ANSWERS.clear()
    return Exchange(
        Message(b"GET", b"/grid-read/k"),
        0,
        0,
        1,
        left_us,
        0,
        False,
        lambda exchange, answer: ANSWERS.append((exchange.id, answer)),
    )


def run(main: Callable[[], Coroutine[None, None, None]]) -> None:
    asyncio.run(main())


def test_only_attempts_proved_never_to_have_run_have_such_a_status() -> None:
    never = {e for e in AttemptOutcome if e.status in NEVER_RAN}
    assert never == {
        AttemptOutcome.TURNED_AWAY,
        AttemptOutcome.DIAL_FAILED,
        AttemptOutcome.DIAL_TIMED_OUT,
        AttemptOutcome.BROKE_UNSENT,
        AttemptOutcome.UPLOAD_TIMED_OUT,
        AttemptOutcome.UNFINISHED,
        AttemptOutcome.NO_SOCKET,
        AttemptOutcome.NEVER_STARTED,
    }
    assert [e for e in AttemptOutcome if e.status is Status.OK] == [AttemptOutcome.SERVED]


def test_an_exchange_from_arrival_to_answer() -> None:
    async def main() -> None:
        engine, executor = new_engine(Balancer(read_settings(Pairs.from_json(SETTINGS)), 1))
        engine.list_update(ListKind.CACHED, [Member(SERVER_ID)])
        exchange = new_exchange()
        engine.open(exchange)
        (attempt,) = executor.started
        assert attempt.server == SERVER_ID and attempt.deadline_at_us <= exchange.deadline_at_us
        engine.attempt_ended(attempt, Result(AttemptOutcome.SERVED, (), Response(b"body")))
        assert exchange.answer == Response(b"body") and not engine._open

    run(main)


@pytest.mark.counts_faults("fault.engine")
def test_an_exception_fails_only_its_own_request() -> None:
    async def main() -> None:
        policy = ScriptedPolicy()
        engine, executor = new_engine(policy)
        policy.replies[Arrival] = lambda e: [Send(e.request, SERVER_ID, 0)] if e.request != 1 else [][1]  # type: ignore[union-attr, list-item]
        broken, sound = new_exchange(), new_exchange()
        engine.open(broken)
        engine.open(sound)
        assert isinstance(broken.answer, Refusal) and not sound.closed
        engine.attempt_ended(executor.started[0], Result(AttemptOutcome.SERVED, (), Response(b"")))
        assert sound.answer == Response(b"")

    run(main)


@pytest.mark.counts_faults("fault.engine")
def test_a_policy_that_always_raises_stops_neither_the_process_nor_an_answer() -> None:
    # Notifying the policy that the request has ended fails as well, and must not be repeated endlessly.
    async def main() -> None:
        policy = ScriptedPolicy()
        engine, executor = new_engine(policy)
        policy.replies[Arrival] = lambda e: [Send(1, SERVER_ID, 0)]
        exchange = new_exchange()
        engine.open(exchange)
        policy.replies[Outcome] = policy.replies[ClientGone] = lambda e: [][1]
        engine._give_up(exchange, "test")
        engine.attempt_ended(executor.started[0], Result(AttemptOutcome.RESET))
        assert exchange.answer == Failure("test") and not engine._open
        assert engine._counters["fault.engine"] == 2

    run(main)


def test_a_client_that_closes_as_it_is_answered_does_not_count_as_gone() -> None:
    async def main() -> None:
        policy = ScriptedPolicy()
        engine, _ = new_engine(policy)
        policy.replies[Arrival] = lambda e: [Send(e.request, SERVER_ID, 0)] * (e.request == 1)  # type: ignore[union-attr]
        answered, gone = new_exchange(), new_exchange()
        engine.open(answered)
        engine.open(gone)
        engine._answer(1, Refusal(5))
        for exchange in (answered, gone):
            engine.client_gone(exchange)
        assert answered.answer == Refusal(5) and engine._counters["client_gone"] == 1
        assert policy.events[-1] == ClientGone(gone.id)

    run(main)


def test_a_request_that_the_policy_forgets_is_answered_at_its_deadline() -> None:
    async def main() -> None:
        policy = ScriptedPolicy()
        engine, _ = new_engine(policy)
        exchange, answered = new_exchange(left_us=1), asyncio.Event()
        exchange.on_answer = lambda exchange, answer: answered.set()
        engine.open(exchange)
        await asyncio.wait_for(answered.wait(), 10)
        assert isinstance(exchange.answer, Refusal)  # nothing of it ran
        assert policy.events[-1] == ClientGone(exchange.id) and not engine._open

    run(main)


def test_after_the_final_answer_further_sends_are_not_started() -> None:
    async def main() -> None:
        policy = ScriptedPolicy()
        engine, executor = new_engine(policy)
        policy.replies[Arrival] = lambda e: [
            Send(1, SERVER_ID, 0),
            Refuse(1, 5),
            Fail(1),
            Send(1, SERVER_ID, 0),
            Cancel(1, 0),
            Cancel(1, 1),
        ]
        exchange = new_exchange()
        engine.open(exchange)
        assert exchange.answer == Refusal(5)
        assert len(executor.started) == 1 and executor.cancelled == executor.started
        assert policy.events[-1] == Outcome(1, 1, SERVER_ID, Status.MOOT, policy.events[-1].latency_us, True)  # type: ignore[union-attr]
        engine.attempt_ended(exchange.attempts[0], Result(AttemptOutcome.CANCELLED))
        assert not engine._open

    run(main)


def test_a_send_after_its_client_has_gone_is_not_started_and_its_end_is_reported_to_the_policy() -> None:
    # An earlier action of the same event shows that the client has gone.  The policy counts the attempt as
    # open on its server and learns of the client only later, so it must also receive the attempt's outcome.
    async def main() -> None:
        policy = ScriptedPolicy()
        engine, executor = new_engine(policy)
        first, second = new_exchange(), new_exchange()
        first.on_answer = lambda exchange, answer: engine.client_gone(second)
        engine.open(first)
        engine.open(second)
        policy.replies[ListUpdate] = lambda e: [Refuse(first.id, 5), Send(second.id, SERVER_ID, 0)]
        engine.list_update(ListKind.FULL, [])
        assert executor.started == [] and second.answer is None
        assert [e.outcome for e in second.attempts] == [AttemptOutcome.NEVER_STARTED]
        (ended,) = [e for e in policy.events if isinstance(e, Outcome)]
        assert (ended.request, ended.attempt, ended.closed) == (second.id, 0, True)
        assert engine.requests_in_flight == 0 and not engine._open

    run(main)


def test_beyond_max_open_a_request_is_refused_without_the_policy() -> None:
    # Without free descriptors every connect and every accept would fail.
    async def main() -> None:
        policy = ScriptedPolicy()
        engine, _ = new_engine(policy)
        engine._max_open = 1
        one, two = new_exchange(), new_exchange()
        engine.open(one)
        engine.open(two)
        assert isinstance(two.answer, Refusal) and not one.closed
        assert len(policy.events) == 1
        engine.give_up_all()
        assert isinstance(one.answer, Refusal)

    run(main)


def test_a_refusal_beyond_max_open_gives_only_the_retry_advice_that_the_settings_allow() -> None:
    async def main() -> None:
        engine = Engine(
            ScriptedPolicy(),  # type: ignore[arg-type]
            Counters(),
            monotonic_us,
            TimerWheel(monotonic_us),
            max_open=0,
            retry_after_us=0,
        )
        engine.open(new_exchange())
        (answer,) = [answer for _, answer in ANSWERS]
        assert isinstance(answer, Refusal) and answer.retry_after_us == 0

    asyncio.run(main())


def test_timers_fire_and_probes_are_sent_and_reported() -> None:
    async def main() -> None:
        policy, fired = ScriptedPolicy(), asyncio.Event()
        engine, executor = new_engine(policy)
        policy.replies[ListUpdate] = lambda e: [SetTimer(monotonic_us() + 1_000, 77), Probe(SERVER_ID)]
        policy.replies[TimerFired] = lambda e: fired.set() or []
        engine.list_update(ListKind.FULL, [])
        await asyncio.wait_for(fired.wait(), 10)
        engine.probe_ended(SERVER_ID, 9, Result(AttemptOutcome.SERVED, (1.0,)))
        assert executor.probed == [SERVER_ID]
        assert policy.events[1:] == [TimerFired(77), Probed(SERVER_ID, Status.OK, 9, (1.0,))]

    run(main)


def test_the_program_freezes_objects_left_by_imports_after_a_full_collection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Otherwise each full collection stalled all requests for 13 to 15 ms (in the scenario overload-5).
    frozen: list[int] = []
    full = gc.get_stats()[2]["collections"]
    monkeypatch.setattr(gc, "set_threshold", lambda *n: None)  # would affect the other tests too

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
    assert frozen == [0]  # once, right after a full collection
    # Two full collections: later ones are triggered relative to the last one's survivors.  Relative to those
    # before the freeze, the next full collection waited for some MB of cyclic garbage.
    assert gc.get_stats()[2]["collections"] >= full + 2


def test_the_program_waits_for_a_listen_address_still_in_use() -> None:
    async def main() -> None:
        loop, logged = asyncio.get_running_loop(), asyncio.Event()
        old = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = old.sockets[0].getsockname()[1]
        app = App(
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
        starting = loop.create_task(app.start())
        await asyncio.wait_for(logged.wait(), 10)
        old.close()
        await asyncio.wait_for(starting, 10)
        assert app.port == port
        await app.stop(linger_s=0)
        logging.getLogger("roadlb.net.sockets").removeHandler(handler)

    run(main)


def new_discovery() -> ServerDiscovery:
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


def test_a_server_list_update_is_parsed() -> None:
    update = new_discovery().parse(
        {"generation": 4, "reset": False, "instances": [ENTRY, {"instanceId": "s-2", "lifecycle": "removed"}]}
    )
    assert update.members == [
        Member(SERVER_ID, ServerState.READY, 3, 1, 1, 1.5, 0),
        Member(server_id("s-2"), ServerState.GONE),
    ]
    assert (update.generation, update.kind) == (4, ListKind.DELTA)


def test_a_server_start_time_is_converted_to_the_clock_without_jitter() -> None:
    # A start time that moved by a microsecond would look like a restart of the server.
    discovery, entry = new_discovery(), {**ENTRY, "startedAtMs": 1_700_000_000_000}
    raw = {"generation": 1, "reset": True, "instances": [entry]}
    assert discovery.parse(raw) == discovery.parse(raw)
    assert discovery.parse(raw).members[0].born_us == 1_700_000_000_000_000 + discovery._unix_to_clock


def test_server_ids_depend_on_the_name_and_not_on_the_address() -> None:
    raw = [
        {"generation": 1, "reset": True, "instances": [{**ENTRY, "hostPort": at}]}
        for at in ("10.1.0.18:8080", "127.0.0.9:1")
    ]
    assert new_discovery().parse(raw[0]).members == new_discovery().parse(raw[1]).members
    # Fixed values: other processes and other versions must compute the same.
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
def test_a_malformed_entry_makes_its_update_malformed(change: dict[str, object]) -> None:
    with pytest.raises(MalformedList):
        new_discovery().parse({"generation": 1, "reset": True, "instances": [{**ENTRY, **change}]})


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
def test_a_malformed_update_is_rejected(raw: object) -> None:
    with pytest.raises(MalformedList):
        new_discovery().parse(raw)


def test_load_reports_are_read_under_either_name_and_ignored_if_incomplete_or_invalid() -> None:
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


def test_hop_by_hop_headers_are_not_forwarded() -> None:
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
def test_a_header_value_with_line_breaks_is_not_forwarded(value: bytes) -> None:
    with pytest.raises(HeaderError):
        Headers([(b"Accept", value)]).forwarded()


def test_the_timer_wheel_calls_in_order_never_early_and_no_cancelled_timer() -> None:
    # A timer that raises must not keep the others from firing.
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


def test_a_log_record_is_one_line_of_key_value_pairs() -> None:
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
