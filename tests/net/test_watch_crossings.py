"""The watch of discovery where two events cross, over loopback sockets; each says what it guards against."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Awaitable, Callable, Iterator

import pytest
from scenario import run
from watching import (
    HEAD,
    Discovery,
    Watched,
    chunk,
    entry,
    line,
    until,
    update,
    watched,
)

from roadlb.config import Address
from roadlb.net import watch_timing
from roadlb.net.watch import WatchState

UP, DRAINING = "ready", "draining"
LIST = update(5, entry("s"), entry("t", port=9002), reset=True)
DRAIN = update(6, entry("s", "draining"))


def play(
    scenario: Callable[[Watched], Awaitable[None]],
    known: dict[str, object] | None = None,
    loop: str = "uvloop",
) -> Watched:
    async def main() -> Watched:
        async with watched(known) as w:
            await scenario(w)
            return w

    return run(main(), loop)


@pytest.fixture
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """The waits as they are in order, a quarter as long; their sum is `test_watch_budget`'s."""
    for name in ("SILENCE_S", "DIAL_S", "ANSWER_SOON_S", "ANSWER_S", "MESSAGE_S"):
        monkeypatch.setattr(watch_timing, name, getattr(watch_timing, name) / 4)


@pytest.fixture
def long_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """A pause that no test lives to see the end of."""
    monkeypatch.setattr(watch_timing, "PAUSE_S", 3600.0)
    monkeypatch.setattr(watch_timing, "PAUSE_MOST_S", 3600.0)


# What a call may do in place of telling


HANGS = {
    "no header": b"",
    "half a header": HEAD[:20],
    "header, no line": HEAD,
    "half a line": HEAD + chunk(b'{"generation": 6, "reset": false, "inst'),
    "half a line, then a whole one of its own": HEAD + chunk(b'{"generation": 6, "reset"\n') + line(DRAIN),
    "half a chunk": HEAD + b"40\r\n" + b'{"generation": 6,',
}


@pytest.mark.parametrize("hang", HANGS.values(), ids=HANGS)
def test_beside_a_call_that_hangs_another_one_learns_what_it_missed_and_it_is_closed_then(
    hang: bytes, soon: None
) -> None:
    async def scenario(w: Watched) -> None:
        call = (await w.discovery.call()).send(hang)
        assert call.target.endswith("after=5")
        another = await w.discovery.call()
        assert another.target.endswith("after=5") and not call.reader.at_eof()
        assert w.told.lifecycles == {"s": UP, "t": UP} and w.counters["list.overdue"] == 1
        another.send(HEAD, line(DRAIN))
        await until(lambda: w.told.lifecycles == {"s": DRAINING, "t": UP}, "the drain is taken")
        await call.closed()
        assert w.counters["list.broken"] == 0

    play(scenario, known=LIST)


def test_an_open_watch_that_falls_silent_is_given_up(soon: None) -> None:
    async def scenario(w: Watched) -> None:
        call = (await w.discovery.call()).send(HEAD, line(update(5)))
        call.send(chunk(b"\n"))
        await until(lambda: w.counters["list.line"] >= 2, "the keep-alive is read")
        await call.closed()
        assert (await w.discovery.call()).target.endswith("after=5")

    play(scenario, known=LIST)


@pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
def test_what_lay_in_the_socket_while_the_program_was_held_up_is_read_before_a_call_is_given_up(
    loop: str, soon: None
) -> None:
    # Stopped for longer than a silence, it finds its deadline and the bytes in one turn.
    async def scenario(w: Watched) -> None:
        here = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            w.table.move(Address(*listener.getsockname()))
            peer, _ = await here.sock_accept(listener)
            with peer:
                await here.sock_recv(peer, 1000)
                await here.sock_sendall(peer, HEAD + line(update(5)))
                await until(lambda: w.counters["list.taken"] == 2, "the first line is taken")
                # No turn of the loop passes in here.
                time.sleep(1.2 * watch_timing.SILENCE_S)
                peer.setblocking(True)
                peer.sendall(line(DRAIN))
                await until(lambda: w.told.lifecycles == {"s": DRAINING, "t": UP}, "the drain is taken")
                assert w.counters["list.broken"] == 0

    play(scenario, known=LIST, loop=loop)


@pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
def test_dials_that_hang_hold_few_descriptors_and_leave_none(loop: str, soon: None) -> None:
    # A listener whose queue is full says nothing to who dials it.
    async def scenario(w: Watched) -> None:
        await w.discovery.call()
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            fillers = []
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
                fillers.append(filler)
            before = len(os.listdir("/proc/self/fd"))
            w.table.move(Address(*full.getsockname()))
            await until(lambda: w.counters["list.overdue"] >= 5, "five dials have hung")
            assert len(os.listdir("/proc/self/fd")) <= before + watch_timing.CALLS_MOST
            fresh = Discovery()
            fresh.answer = [HEAD, line(update(1, entry("s", "draining"), reset=True))]
            await fresh.start()
            w.table.move(fresh.address)
            await until(lambda: w.told.lifecycles == {"s": DRAINING}, "the new place is heard")
            # The listener is one more than before; both ends of the call are there in place of the old one's.
            await until(lambda: len(os.listdir("/proc/self/fd")) <= before + 1, "no dial is left")
            fresh.close()
            for filler in fillers:
                filler.close()

    play(scenario, known=LIST, loop=loop)


def reset(w: Watched) -> None:
    w.discovery.writers[-1].transport.abort()


ENDS: dict[str, bytes] = {
    "ended": HEAD + b"0\r\n\r\n",
    "ended without an answer": b"",
    "closed in a line": HEAD + chunk(b'{"generation": 9, "reset": true, "instances": []'),
    "ended in a line": HEAD + chunk(b'{"generation": 9, "reset": true, "instances": []') + b"0\r\n\r\n",
    "refused": b"HTTP/1.1 503 No Room\r\nContent-Length: 0\r\n\r\n",
    "not HTTP": b"SSH-2.0\r\n\r\n",
    "another protocol": b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nx",
    "malformed": HEAD + chunk(b'{"generation": 9, "reset": true, "instances": [{"instanceId": "s"}]}\n'),
    "no object": HEAD + chunk(b"nonsense\n"),
    "nested": HEAD + chunk(b"[" * 100_000),
    "a control character": HEAD + chunk(b'{"x": "\n'),
}


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_calls_that_end_at_once_in_a_loop_keep_the_list_and_the_next_sound_one_is_heard(
    end: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_timing, "REFUSED", ((0.02, 0.5),))

    async def scenario(w: Watched) -> None:
        for _ in range(3):
            (await w.discovery.call()).send(end)
            if end in (b"", ENDS["closed in a line"]):
                await w.discovery.writers[-1].drain()
                w.discovery.writers[-1].close()  # the end of the connection, with no end of the answer
        call = await w.discovery.call()
        assert w.told.lifecycles == {"s": UP, "t": UP} and w.counters["list.broken"] == 3
        # An answer over in order, or a connection broken, is no fault of form; one that is cut is.
        assert w.counters["list.malformed"] == (0 if end in (b"", ENDS["ended"]) else 3)
        call.send(HEAD, line(DRAIN))
        await until(lambda: w.told.lifecycles == {"s": DRAINING, "t": UP}, "the drain is taken")

    play(scenario, known=LIST)


def test_an_answer_in_front_of_the_one_that_counts_is_passed_over() -> None:
    async def scenario(w: Watched) -> None:
        (await w.discovery.call()).send(b"HTTP/1.1 103 Early Hints\r\n\r\n", HEAD, line(LIST))
        await until(lambda: w.told.lifecycles == {"s": UP, "t": UP}, "the list is taken")
        assert w.counters["list.broken"] == 0

    play(scenario)


# What a list says


def test_what_a_whole_list_omits_is_gone_also_what_drains() -> None:
    async def scenario(w: Watched) -> None:
        call = await w.discovery.call()
        call.send(HEAD, line(LIST), line(DRAIN), line(update(7, entry("t", port=9002), reset=True)))
        await until(lambda: w.counters["list.taken"] == 4, "all are taken")
        assert w.told.lifecycles == {"t": UP} and set(w.told.addresses) == {"t"}
        assert [e["instanceId"] for e in w.table.held[1]["instances"]] == ["t"]  # type: ignore[attr-defined]

    play(scenario)


def test_after_a_break_a_first_answer_may_be_the_whole_list_or_the_changes() -> None:
    async def scenario(w: Watched) -> None:
        (await w.discovery.call()).send(HEAD, line(LIST))
        await until(lambda: w.counters["list.taken"] == 2, "the list is taken")
        reset(w)
        call = await w.discovery.call()
        assert call.target.endswith("after=5")
        call.send(HEAD, line(DRAIN))
        await until(lambda: w.told.lifecycles == {"s": DRAINING, "t": UP}, "changes add to the list")
        reset(w)
        call = await w.discovery.call()
        assert call.target.endswith("after=6")
        call.send(HEAD, line(update(9, entry("t", port=9002), reset=True)))
        await until(lambda: w.told.lifecycles == {"t": UP}, "a whole list takes its place")

    play(scenario)


def test_a_whole_list_of_a_lower_generation_is_taken_and_what_follows_it_is_asked_for() -> None:
    # Discovery has been restarted and counts from the beginning.
    async def scenario(w: Watched) -> None:
        (await w.discovery.call()).send(HEAD, line(update(2, entry("u"), reset=True)))
        await until(lambda: w.told.lifecycles == {"u": UP}, "the other list is taken")
        reset(w)
        assert (await w.discovery.call()).target.endswith("after=2")

    play(scenario, known=LIST)


def test_a_change_of_an_older_list_than_ours_is_not_taken_and_all_is_asked_for() -> None:
    # Taken, changes of another history would leave what that one never told of; passed over, nothing that
    # follows would be believed until it has counted up to our generation.
    async def scenario(w: Watched) -> None:
        call = (await w.discovery.call()).send(HEAD, line(update(3, entry("s", "removed"))))
        await call.closed()
        again = await w.discovery.call()
        assert again.target.endswith("after=0") and w.told.lifecycles == {"s": UP, "t": UP}
        assert w.counters["list.stale"] == 1 and w.counters["list.malformed"] == 0
        again.send(HEAD, line(update(3, entry("t", port=9002), reset=True)), line(update(4, entry("v"))))
        await until(lambda: w.told.lifecycles == {"t": UP, "v": UP}, "its own history is followed")
        reset(w)
        assert (await w.discovery.call()).target.endswith("after=4")

    play(scenario, known=LIST)


def test_changes_may_leave_generations_out_and_tell_one_twice() -> None:
    async def scenario(w: Watched) -> None:
        call = await w.discovery.call()
        call.send(HEAD, line(update(5)), line(update(9, entry("s", "draining"))), line(update(9)))
        await until(lambda: w.counters["list.taken"] == 4, "all are taken")
        assert w.told.lifecycles == {"s": DRAINING, "t": UP} and w.counters["list.broken"] == 0

    play(scenario, known=LIST)


def test_one_bad_entry_costs_its_message_and_not_the_list_and_is_got_past_by_asking_for_all() -> None:
    # Asked after the same generation for ever, the same bad message would hide all that comes behind it.
    bad = {**update(6, entry("s", "draining"), {"instanceId": "u", "lifecycle": "sideways"})}

    async def scenario(w: Watched) -> None:
        for _ in range(2):
            call = await w.discovery.call()
            assert call.target.endswith("after=5")
            call.send(HEAD, line(bad))
            await call.closed()
            assert w.told.lifecycles == {"s": UP, "t": UP}
        call = await w.discovery.call()
        assert call.target.endswith("after=0") and w.counters["list.malformed"] == 2
        call.send(HEAD, line(update(6, entry("s", "draining"), reset=True)))
        await until(lambda: w.told.lifecycles == {"s": DRAINING}, "the whole list is taken")

    play(scenario, known=LIST)


def test_a_restart_at_the_same_address_one_id_elsewhere_and_two_at_one_address() -> None:
    async def scenario(w: Watched) -> None:
        call = await w.discovery.call()
        call.send(HEAD, line(update(6, entry("s", port=9001, startedAtMs=1_700_000_000_000))))
        await until(lambda: w.counters["list.taken"] == 2, "the restart is taken")
        assert w.told.addresses["s"].port == 9001
        call.send(line(update(7, entry("s", port=9005), entry("v", port=9002))))
        await until(lambda: w.counters["list.taken"] == 3, "the move is taken")
        assert {name: a.port for name, a in w.told.addresses.items()} == {"s": 9005, "t": 9002, "v": 9002}
        call.send(line(update(8, entry("t", "removed"))))
        await until(lambda: set(w.told.addresses) == {"s", "v"}, "of two at one address one is gone")

    play(scenario, known=LIST)


def test_who_dials_knows_of_a_list_before_who_decides() -> None:
    # A pick by the new list in the same turn must find where its server listens.
    async def scenario(w: Watched) -> None:
        (await w.discovery.call()).send(HEAD, line(LIST), line(DRAIN))
        await until(lambda: w.counters["list.taken"] == 3, "both are taken")
        assert w.told.order == ["servers", "engine", "withdraw"] * 3

    play(scenario)


def test_the_known_list_holds_from_the_start_and_discovery_is_asked_at_once() -> None:
    async def scenario(w: Watched) -> None:
        assert w.told.lifecycles == {"s": UP, "t": UP} and w.table.filled
        began = asyncio.get_running_loop().time()
        call = await w.discovery.call()
        assert asyncio.get_running_loop().time() - began < watch_timing.DIAL_S
        assert call.target.endswith("after=5") and not w.table.told.is_set()

    play(scenario, known=LIST)


# SIGHUP


@pytest.fixture
def elsewhere() -> Iterator[Discovery]:
    yield Discovery()


async def heard(w: Watched, new: Discovery) -> None:
    """The new place is asked for all and heard."""
    call = await new.call()
    assert call.target.endswith("after=0")
    call.send(HEAD, line(update(2, entry("s", "draining"), entry("t", port=9002), reset=True)))
    await until(lambda: w.told.lifecycles == {"s": DRAINING, "t": UP}, "the new place is heard")
    new.close()


def test_moved_in_mid_line_the_rest_of_that_line_is_not_heard(elsewhere: Discovery) -> None:
    async def scenario(w: Watched) -> None:
        await elsewhere.start()
        data = line(update(6, entry("s", "removed"), entry("t", "removed")))
        call = (await w.discovery.call()).send(HEAD, line(update(5)), data[:40])
        await until(lambda: w.counters["list.taken"] == 2, "the line in front is taken")
        w.table.move(elsewhere.address)
        call.send(data[40:])
        await heard(w, elsewhere)
        await call.closed()
        assert w.counters["list.broken"] == 0

    play(scenario, known=LIST)


def test_moved_with_the_old_place_s_line_in_the_socket_that_line_is_not_heard(elsewhere: Discovery) -> None:
    async def scenario(w: Watched) -> None:
        await elsewhere.start()
        call = (await w.discovery.call()).send(HEAD, line(update(5)))
        await until(lambda: w.counters["list.taken"] == 2, "the line in front is taken")
        # Written and then moved in one turn: the bytes are in the socket, and not yet read.
        call.send(line(update(6, entry("s", "removed"), entry("t", "removed"))))
        w.table.move(elsewhere.address)
        await heard(w, elsewhere)
        assert w.counters["list.taken"] == 3

    play(scenario, known=LIST)


def test_moved_while_it_backs_off_the_new_place_is_dialled_at_once(
    elsewhere: Discovery, long_pauses: None
) -> None:
    async def scenario(w: Watched) -> None:
        await elsewhere.start()
        await w.discovery.call()
        reset(w)
        await until(lambda: w.table.watch_state is WatchState.BACKING_OFF, "it backs off")
        w.table.move(elsewhere.address)
        await heard(w, elsewhere)

    play(scenario, known=LIST)


@pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
def test_moved_twice_while_it_dials_only_the_last_place_is_heard(elsewhere: Discovery, loop: str) -> None:
    async def scenario(w: Watched) -> None:
        await elsewhere.start()
        between = Discovery()
        await between.start()
        await w.discovery.call()
        w.table.move(between.address)
        w.table.move(w.discovery.address)
        w.table.move(between.address)
        w.table.move(elsewhere.address)
        await heard(w, elsewhere)
        await until(lambda: all(x.transport.is_closing() for x in between.writers), "and no other is open")
        assert between.calls.empty()
        between.close()

    play(scenario, known=LIST, loop=loop)


def test_moved_to_where_it_is_the_watch_stays_open() -> None:
    async def scenario(w: Watched) -> None:
        call = await w.discovery.call()
        w.table.move(w.discovery.address)
        call.send(HEAD, line(DRAIN))
        await until(lambda: w.told.lifecycles == {"s": DRAINING, "t": UP}, "it is heard")
        assert w.discovery.calls.empty()

    play(scenario, known=LIST)


def test_led_from_elsewhere_the_watch_ends_and_is_not_begun_again(elsewhere: Discovery) -> None:
    async def scenario(w: Watched) -> None:
        call = await w.discovery.call()
        w.table.lead(update(1, entry("u"), reset=True))
        w.table.move(elsewhere_address)
        await call.closed()
        assert w.told.lifecycles == {"u": UP} and w.table.watch_state is WatchState.CLOSED

    elsewhere_address = Address("127.0.0.1", 1)
    play(scenario, known=LIST)
