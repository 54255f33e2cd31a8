"""A change counts as told 6 s after discovery had it and could be reached: the waits add up to less.

They are played as well.  The clock is the test's own: the watch gets its loop and its dials from here, and
nothing waits for real.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable, Sequence
from typing import Any, cast

import pytest
from fake_loop import FakeLoop, Transport

from roadlb.config import Address
from roadlb.net import watch_timing as timing
from roadlb.net.watch import DiscoveryWatch, WatchState
from roadlb.net.watch_call import ListPosition, WatchCall
from watching import HEAD, chunk

WITHIN_S = timing.TOLD_S - timing.RESERVE_S
PAUSES_S = [timing.PAUSE_S, 2 * timing.PAUSE_S, 4 * timing.PAUSE_S]  # ceilings of the first ones in a row


def test_the_waits_add_up_to_less_than_what_discovery_allows() -> None:
    t = timing
    # One call fails in its longest way, after a long outage, and the next one comes up late.
    longest = max(t.SILENCE_S, t.DIAL_S, t.ANSWER_S, t.MESSAGE_S)
    assert longest + t.PAUSE_MOST_S + t.DIAL_S <= WITHIN_S
    # A call hangs, and the one opened beside it is answered after half of the time that is allowed.
    assert t.ANSWER_S + t.PAUSE_OVERDUE_MOST_S + t.TOLD_S / 2 <= WITHIN_S
    assert t.DIAL_S + t.PAUSE_MOST_S + t.TOLD_S / 2 <= WITHIN_S
    # Discovery has room again just after it refused, and the next call comes up and is answered late.
    assert t.REFUSED_MOST_S + t.DIAL_S <= WITHIN_S
    assert t.REFUSED_MOST_S + t.ANSWER_SOON_S <= WITHIN_S
    # A sound watch falls silent, the next call hangs in its dial, the one after that in its answer.
    assert t.SILENCE_S + t.DIAL_S + t.ANSWER_SOON_S + sum(PAUSES_S) <= WITHIN_S
    # A sound watch falls silent, and the next two calls are refused.
    assert t.SILENCE_S + t.PAUSE_S + t.REFUSED[0][0] + t.REFUSED[1][0] <= WITHIN_S
    # A sound stream is not given up between two keep-alives, nor is an answer that begins with one.
    assert min(t.SILENCE_S, t.PATIENCE_S) >= t.KEEP_ALIVE_S + t.RESERVE_S
    # No answer is given up that may come in time.
    assert t.PATIENCE_S >= t.TOLD_S
    # A refusal right before the news of another discovery counts as told, and a drain is kept 1 s later.
    assert t.MOVED_CALL_S[1] <= t.MOVED_TOLD_S + 1.0 - t.RESERVE_S


# What discovery does with one call; `sound` answers at once with all there is.
Trouble = str
HANGS = [
    "dial",
    "head",
    "header in drips",
    "no line",
    "half a line",
    "drips",
    "chunk headers in drips",
    "keep-alives in a cut line",
]
FAILS = ["refused connection", "reset", "ended", "503", "malformed"]
DRIP_S = 0.4


class World:
    """A watch, the calls it makes, and what becomes of each; `plan` names each call's trouble in turn."""

    def __init__(self, plan: Sequence[Trouble], seed: int) -> None:
        self.loop, self.plan, self.calls = FakeLoop(), list(plan), 0
        self.learned_at: float | None = None
        self.fact = False  # discovery has the change
        self.open: WatchCall | None = None
        self.watch = DiscoveryWatch(self, seed)
        self.failed_at = 0.0  # when the last trouble ended

    # the owner

    def where(self) -> tuple[Address, int]:
        return Address("127.0.0.1", 1), 7

    def message(self, value: object, position: ListPosition) -> bool:
        if value is None:
            return False
        told = cast(dict[str, Any], value)
        if "change" not in told:
            raise ValueError("malformed")
        if told["change"] and self.learned_at is None:
            self.learned_at = self.loop.now
        return bool(told["change"])

    def overdue(self) -> None:
        pass

    def broken(self, error: Exception | None) -> None:
        self.failed_at = self.loop.now

    # discovery

    def dial(self, call: WatchCall, address: Address) -> Callable[[], object]:
        self.calls += 1
        trouble = self.plan.pop(0) if self.plan else "sound"
        self.open = call
        if trouble == "refused connection":
            self._soon(lambda: call.end(ConnectionRefusedError()))
        elif trouble != "dial":
            self._soon(lambda: self._connect(call, trouble))
        return lambda: None

    def _soon(self, what: Callable[[], object], after_s: float = 0.001) -> None:
        self.loop.call_at(self.loop.now + after_s, what)

    def _connect(self, call: WatchCall, trouble: Trouble) -> None:
        call.connection_made(cast(asyncio.Transport, Transport()))
        cut = json.dumps({"change": True}).encode()[:9]
        if trouble == "sound":
            self.send(call)
        elif trouble == "no line":
            call.data_received(HEAD)
        elif trouble == "half a line":
            call.data_received(HEAD + chunk(cut))
        elif trouble == "header in drips":
            self._drip(call, itertools.chain(HEAD[:30], itertools.repeat(ord("x"))))
        elif trouble == "drips":
            call.data_received(HEAD)
            self._drip(call, itertools.chain(*(chunk(bytes([b])) for b in cut + b" " * 1000)))
        elif trouble == "chunk headers in drips":
            call.data_received(HEAD)
            self._drip(call, itertools.repeat(ord("0")))
        elif trouble == "keep-alives in a cut line":
            call.data_received(HEAD + chunk(b'{"change": \n'))
            self._drip(call, itertools.repeat(None))
        elif trouble == "reset":
            call.connection_lost(ConnectionResetError())
        elif trouble == "ended":
            call.data_received(HEAD + b"0\r\n\r\n")
        elif trouble == "503":
            call.data_received(b"HTTP/1.1 503 No Room\r\nContent-Length: 0\r\n\r\n")
        elif trouble == "malformed":
            call.data_received(HEAD + chunk(b'{"generation": "x"}\n'))

    def _drip(self, call: WatchCall, data: Any) -> None:
        byte = next(data, 32)
        call.data_received(chunk(b"\n") if byte is None else bytes([byte]))
        self._soon(lambda: self._drip(call, data), DRIP_S)

    def send(self, call: WatchCall) -> None:
        call.data_received(HEAD + chunk(json.dumps({"change": self.fact}).encode() + b"\n"))

    # the play

    def sound_for(self, seconds: float) -> None:
        """A call that was answered, with a keep-alive every 2 s."""
        until = self.loop.now + seconds
        while self.loop.now < until:
            self.loop.pass_to(min(until, self.loop.now + timing.KEEP_ALIVE_S))
            assert self.open
            self.open.data_received(chunk(b"\n"))


@pytest.mark.parametrize("trouble", HANGS + FAILS)
@pytest.mark.parametrize("failures", [1, 2, 5, 40])
def test_a_change_is_learned_in_time_once_discovery_can_be_reached(trouble: str, failures: int) -> None:
    # Discovery fails in one way again and again; it could be reached from the beginning of the last of these
    # calls on, which is the worst moment: that call is already lost.
    for seed in range(20):
        world = World([trouble] * failures, seed)
        world.fact = True
        world.watch.start(world.loop, world.dial)
        reachable = 0.0
        for _ in range(100_000):
            if world.learned_at is not None:
                break
            if world.plan:
                reachable = world.loop.now
            world.loop.pass_to(world.loop.now + 0.005)
        assert world.learned_at is not None and world.calls == failures + 1
        assert world.learned_at - reachable <= WITHIN_S, (seed, trouble)


@pytest.mark.parametrize("second", HANGS)
@pytest.mark.parametrize("first", ["dial", *FAILS])
def test_a_sound_watch_falls_silent_and_the_next_two_calls_fail_each_in_its_way(
    first: str, second: str
) -> None:
    # In the worst order: silent right after a keep-alive, then a dial that hangs or any failure, then a call
    # that hangs.
    for seed in range(20):
        world = World(["sound", first, second], seed)
        world.watch.start(world.loop, world.dial)
        world.loop.pass_to(0.01)
        world.sound_for(20)
        fell_silent, world.fact = world.loop.now, True
        while world.learned_at is None:
            world.loop.pass_to(world.loop.now + 0.005)
            assert world.loop.now < 60
        assert world.learned_at - fell_silent <= WITHIN_S, (seed, first, second)


def test_a_sound_stream_is_never_given_up() -> None:
    world = World(["sound"], 1)
    world.watch.start(world.loop, world.dial)
    world.loop.pass_to(0.01)
    world.sound_for(600)
    assert world.calls == 1 and world.watch.state is WatchState.CALLING


@pytest.mark.parametrize("trouble", FAILS)
def test_what_fails_at_once_for_ever_does_not_spin(trouble: str) -> None:
    world = World([trouble] * 10_000, 5)
    world.watch.start(world.loop, world.dial)
    world.loop.pass_to(60)
    assert world.calls <= 60 / (timing.PAUSE_MOST_S / 2) + 10


def test_what_an_older_call_still_says_is_not_heard_and_a_late_connection_is_reset() -> None:
    world = World(["dial", "sound"], 1)
    world.watch.start(world.loop, world.dial)
    old = world.open
    assert old
    world.watch.move()
    assert world.calls == 2
    world.loop.pass_to(0.01)
    transport = Transport()
    world.fact = True
    old.connection_made(cast(asyncio.Transport, transport))
    assert transport.aborted and not transport.written
    world.send(old)
    old.connection_lost(OSError())
    old.end(OSError())
    assert world.learned_at is None and world.watch.state is WatchState.CALLING and world.calls == 2


def test_the_table_of_the_watch_decides_each_pair_and_a_late_event_does_nothing() -> None:
    world = World(["sound"] * 9, 1)
    world.watch.move()
    assert world.watch.state is WatchState.RESTING and world.calls == 0
    world.watch.start(world.loop, world.dial)
    world.watch.start(world.loop, world.dial)
    assert world.calls == 1
    world.watch.stop()
    world.watch.stop()
    world.watch.move()
    world.watch.start(world.loop, world.dial)
    world.loop.pass_to(60)
    assert world.watch.state is WatchState.CLOSED and world.calls == 1


@pytest.mark.parametrize("drip", ["keep-alives in a cut line", "bytes of a line", "chunk headers", "blanks"])
def test_a_sound_stream_that_goes_on_in_drips_is_given_up_in_time(drip: str) -> None:
    # Something comes all the time, and never a whole line: bytes alone are no sign of life.
    for seed in range(20):
        world = World(["sound"], seed)
        world.watch.start(world.loop, world.dial)
        world.loop.pass_to(0.01)
        world.sound_for(20)
        call, began, world.fact = world.open, world.loop.now, True
        assert call
        if drip == "keep-alives in a cut line":
            call.data_received(chunk(b'{"change": \n'))
            world._drip(call, itertools.repeat(None))
        elif drip == "bytes of a line":
            world._drip(call, itertools.chain(*(chunk(bytes([b])) for b in b'{"change": "' + b"x" * 1000)))
        elif drip == "chunk headers":
            world._drip(call, itertools.repeat(ord("0")))
        else:
            world._drip(call, itertools.chain(*(chunk(b" ") for _ in range(1000))))
        world.loop.pass_to(began + 60)
        assert world.learned_at is not None and world.learned_at - began <= WITHIN_S, seed
