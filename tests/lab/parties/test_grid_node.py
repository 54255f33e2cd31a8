"""The grid node on a wire of memory and virtual time: what it answers, what it writes down, how it fails."""

import asyncio
from random import Random

import pytest
from hosts import DELAY_S, HERE, virtual

from roadlb.lab.model.spec import NodeSpec, Spoil
from roadlb.lab.parties.bodies import asked, is_right
from roadlb.lab.parties.grid_node import GridNode
from roadlb.lab.parties.http import AnswerReader, Garbled, digest, write_request
from roadlb.lab.wire import NodeFell, NodeGave, NodeGot, NodeRan, NodeStarted, NodeState, WireLog

MS = 0.001
AT = (HERE, 8080)


class Caller(asyncio.Protocol):
    """A balancer's connection: `data` is all that came, `end` how it ended."""

    def __init__(self):
        self.data, self.end, self.reader, self.answers, self.garbled = b"", "", AnswerReader(), [], False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        if not self.garbled:
            try:
                self.answers += self.reader.feed(data)
            except Garbled:
                self.answers += self.reader.rescue()
                self.garbled = True

    def eof_received(self):
        self.end = "closed"

    def connection_lost(self, error):
        self.end = self.end or ("reset" if error else "closed")

    def ask(self, id="00000000000000aa", work_us=10_000, path="/order/f01", method="POST", left=2.0):
        headers = [("Host", "backend.local"), ("X-Time-Left", f"{left}"), ("X-Correlation-Id", id)]
        target = f"{path}?w={work_us}" if work_us is not None else path
        self.transport.write(
            write_request(method, target, headers if id else headers[:2], b"b" if method == "POST" else b"")
        )


async def start(loop, log=None, warm=True, **spec):
    spec = {"cores": 1, "slots": 1, "falls": False, **spec}
    node = GridNode(
        "g1",
        NodeSpec(**spec),
        Random(1),
        WireLog() if log is None else log,
        loop.clock,
        lambda: 1_700_000_000_000 + loop.clock() // 1000,
        "hall-a",
        warm=warm,
    )
    await node.start({"n0": AT})
    return node


async def call(loop):
    return (await loop.create_connection(Caller, *AT))[1]


@virtual
async def test_serves_with_a_body_of_its_own_and_writes_down_each_step(loop):
    log = WireLog()
    await start(loop, log)
    caller = await call(loop)
    caller.ask("00000000000000aa")
    await asyncio.sleep(20 * MS)
    caller.ask("00000000000000ab")
    await asyncio.sleep(20 * MS)
    first, second = caller.answers
    assert first.status == 200 and first.headers["x-backend-load"] == "eps=0,queue=0"
    there = asked("POST", "/order/f01?w=10000", b"b")
    assert first.body.startswith(f"00000000000000aa {there} g1 0 1 600\n".encode())
    assert is_right(first.body, "00000000000000aa", there)
    altered = first.body.replace(b"g1", b"g2", 1)
    for wrong in (second.body, first.body[:-1], first.body[:300], altered, b""):
        assert not is_right(wrong, "00000000000000aa", there)
    began, got, ran, gave = list(log)[:4]
    at = round(3 * DELAY_S * 1e6)
    assert began == NodeStarted(0, "g1", 0, "new-2c", "hall-a", 1.0, 1.0)
    assert got == NodeGot(
        at, at, "g1", 0, "n0", "00000000000000aa", "POST", "/order/f01?w=10000", 10_000, fresh=True
    )
    assert ran == NodeRan(at, "g1", 0, "00000000000000aa", hit=False)
    assert gave == NodeGave(at + 10_000, "g1", 0, "00000000000000aa", 200, "ok", digest(first.body))


@pytest.mark.parametrize(
    "id, work, path, status",
    [
        ("not hex", 1, "/order/f01", 400),
        ("00000000000000aa", None, "/order/f01", 400),
        ("", 1, "/order/f01", 404),
        ("", None, "/no/such", 404),
    ],
)
@virtual
async def test_a_malformed_id_gets_400_and_none_404_and_neither_runs(loop, id, work, path, status):
    log = WireLog()
    await start(loop, log)
    caller = await call(loop)
    caller.ask(id, work, path)
    await asyncio.sleep(50 * MS)
    assert [a.status for a in caller.answers] == [status]
    assert not any(isinstance(e, NodeRan) for e in log)


@virtual
async def test_probes_tell_health_and_load_and_are_written_down_with_no_id(loop):
    log = WireLog()
    node = await start(loop, log, probe_work_us=300)
    caller = await call(loop)
    for path, status, body in (("/healthz", 200, b""), ("/load", 200, b"eps=0,queue=0")):
        caller.ask("", None, path, method="GET")
        await asyncio.sleep(5 * MS)
        assert (caller.answers[-1].status, caller.answers[-1].body) == (status, body)
        got = list(log)[-1]
        assert (got.request, got.target, got.work_us) == ("", path, 300)
    node.drain()
    caller.ask("", None, "/healthz", method="GET")
    await asyncio.sleep(5 * MS)
    assert caller.answers[-1].status == 503


@virtual
async def test_a_caller_that_closes_withdraws_what_waits_but_not_what_runs(loop):
    log = WireLog()
    node = await start(loop, log)
    callers = [await call(loop) for _ in range(3)]
    for n, caller in enumerate(callers):
        caller.ask(f"{n:016x}")
    await asyncio.sleep(2 * MS)
    callers[0].transport.close()
    callers[1].transport.write_eof()  # half closed counts as given up too
    await asyncio.sleep(100 * MS)
    assert [e.request[-1] for e in log if isinstance(e, NodeRan)] == ["0", "2"]
    assert [e.request[-1] for e in log if isinstance(e, NodeGave)] == ["2"]
    assert callers[1].end == "closed" and node.model.idle


@virtual
async def test_paused_it_hears_all_and_says_nothing_until_it_goes_on(loop):
    log = WireLog()
    node = await start(loop, log, report_period_us=100_000)
    callers = [await call(loop) for _ in range(3)]
    callers[0].ask("0" * 16, left=9.0)
    await asyncio.sleep(5 * MS)
    node.pause()
    callers[1].ask("1" * 16, left=0.5)
    callers[2].ask("", None, "/load", method="GET")
    new = await call(loop)  # its kernel accepts
    new.ask("no id")
    leaving = await call(loop)
    leaving.transport.write_eof()
    await asyncio.sleep(1)
    assert not any(c.data or c.end for c in [*callers, new, leaving])
    assert [e.at for e in log if isinstance(e, NodeGot) and e.request == "1" * 16][0] < 20_000
    node.resume()
    await asyncio.sleep(1)
    assert [c.answers[0].status for c in [*callers, new]] == [200, 504, 200, 400]
    assert callers[1].answers[0].headers["x-unprocessed"] == "1"
    assert callers[2].answers[0].body == b"eps=0,queue=0" and leaving.end == "closed"
    assert [e.state for e in log if isinstance(e, NodeState)] == ["paused", "resumed"]


@virtual
async def test_dead_it_resets_and_refuses_and_a_successor_takes_its_address(loop):
    node = await start(loop)
    caller = await call(loop)
    caller.ask()
    await asyncio.sleep(5 * MS)
    node.stop()
    with pytest.raises(ConnectionRefusedError):
        await call(loop)
    assert caller.end == "reset" and not caller.data
    log = WireLog()
    await start(loop, log, warm=False, cold_share=0.25, warm_us=20_000_000)
    later = await call(loop)
    later.ask()
    await asyncio.sleep(1)
    assert later.answers[0].status == 200
    started = next(e for e in log if isinstance(e, NodeStarted))
    assert started.started_ms > 1_700_000_000_000 and started.cold_share == 0.25075


@virtual
async def test_pushed_over_it_resets_all_and_stays_down(loop):
    log = WireLog()
    node = await start(loop, log, warm=False, cold_share=0.1, warm_us=10**12, falls=True)
    callers = [await call(loop) for _ in range(4)]
    for n, caller in enumerate(callers):
        caller.ask(f"{n:016x}", 100_000)
    await asyncio.sleep(10 * MS)
    assert [(e.sent_us, e.room_us) for e in log if isinstance(e, NodeFell)] == [(400_000, 100_000)]
    assert {c.end for c in callers} == {"reset"} and not node.alive
    with pytest.raises(ConnectionRefusedError):
        await call(loop)


@pytest.mark.parametrize("spoil", Spoil)
@virtual
async def test_spoilt_answers_cannot_be_taken_for_good_ones_and_good_ones_can(loop, spoil):
    log = WireLog()
    node = await start(loop, log)
    node.ail(spoilt_share=1.0, kinds=(spoil,))
    caller = await call(loop)
    caller.ask()
    await asyncio.sleep(0.3)
    gave = next(e for e in log if isinstance(e, NodeGave))
    whole = [digest(a.body) for a in caller.answers]
    if spoil.usable:
        assert gave.kind == "ok" and whole[0] == gave.body
        assert (len(whole) > 1) == (spoil is Spoil.COPY_BEHIND)
        assert caller.garbled == (spoil is Spoil.NOISE_BEHIND)
    else:
        assert (gave.kind, gave.body) == (spoil.value, "")
        assert caller.end == ("closed" if spoil is Spoil.CUT else "")
        assert not whole
    if spoil in (Spoil.HUGE, Spoil.HEAD_ENDLESS):
        assert len(caller.data) > 500_000  # and it keeps coming


@virtual
async def test_idle_connections_are_closed_at_the_latest_by_then_and_crowded_out_ones_after_an_answer(loop):
    await start(loop, connections=1)
    first, second = await call(loop), await call(loop)
    second.ask()
    await asyncio.sleep(50 * MS)
    assert second.answers[0].status == 503 and second.end == "closed"
    first.ask()
    await asyncio.sleep(9)
    assert first.answers[0].status == 200 and not first.end
    await asyncio.sleep(1.1)
    assert first.end == "closed"


@virtual
async def test_unreadable_requests_end_the_connection_whatever_else_waits_on_it(loop):
    node = await start(loop)
    caller = await call(loop)
    caller.ask(work_us=50_000)
    caller.transport.write(b"\x00 this is no request\r\n\r\n")
    await asyncio.sleep(20 * MS)
    assert caller.end == "reset"
    await asyncio.sleep(50 * MS)
    assert node.model.idle
