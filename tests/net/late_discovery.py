"""A discovery on a `FakeLoop` that answers calls late, never or by a refusal, and watches that call it."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast

from fake_loop import FakeLoop, Transport
from watching import HEAD, chunk

from roadlb.config import Address
from roadlb.net import watch_timing as timing
from roadlb.net.watch import DiscoveryWatch
from roadlb.net.watch_call import ListPosition, WatchCall

REFUSAL = b"HTTP/1.1 503 No Room\r\nContent-Length: 0\r\n\r\n"
PIECES = 8


class Form(Enum):
    """What of an answer is late."""

    HEAD = "the head"
    LIST = "the list behind its head"
    PIECES = "the last of the list's pieces"
    INDENTED = "the last piece of a list over several lines"
    DIAL = "the connection"
    DIAL_AND_LIST = "the connection, and the list as much again"
    REFUSED = "the refusal"
    REFUSED_DIAL = "the refused connection"


ANSWERS = [f for f in Form if f not in (Form.REFUSED, Form.REFUSED_DIAL)]


@dataclass(frozen=True, slots=True)
class Lateness:
    """What becomes of one call: its answer is whole `late_s` after it began; None: it hangs."""

    late_s: float | None
    form: Form = Form.HEAD


def hang(form: Form = Form.HEAD) -> Lateness:
    return Lateness(None, form)


@dataclass(eq=False, slots=True)
class Taken:
    """A call as discovery has it."""

    call: WatchCall
    address: Address
    began_s: float
    transport: Transport
    answered: bool = False
    silent: bool = False  # nothing more is written to it, and it stays open

    @property
    def open(self) -> bool:
        return not self.call.over


class LateDiscovery:
    """What it has is one number, `generation`; an answer tells the number that holds when it is whole."""

    def __init__(self, loop: FakeLoop, lateness: Iterator[Lateness]) -> None:
        self.loop, self._lateness = loop, lateness
        self.generation = 1
        self.calls: list[Taken] = []
        self.most_open = 0
        self.lists_written = 0

    def tell(self, generation: int) -> None:
        self.generation = generation
        for taken in self.calls:
            if taken.open and taken.answered and not taken.silent:
                self._write_list(taken)

    @property
    def open_calls(self) -> list[Taken]:
        return [taken for taken in self.calls if taken.open]

    def dial(self, call: WatchCall, address: Address) -> Callable[[], object]:
        taken = Taken(call, address, self.loop.now, Transport())
        self.calls.append(taken)
        self.most_open = max(self.most_open, len(self.open_calls))
        lateness = next(self._lateness)
        whole_s = None if lateness.late_s is None else self.loop.now + lateness.late_s
        match lateness.form:
            case Form.DIAL | Form.REFUSED_DIAL:
                self._at(whole_s, lambda: self._finish(taken, lateness.form))
            case Form.DIAL_AND_LIST:
                half_s = None if lateness.late_s is None else self.loop.now + lateness.late_s / 2
                self._at(half_s, lambda: self._connect(taken))
                self._at(whole_s, lambda: self._finish(taken, lateness.form))
            case _:
                self._at(self.loop.now, lambda: self._connect(taken, lateness.form, whole_s))
                self._at(whole_s, lambda: self._finish(taken, lateness.form))
        return lambda: None

    def _at(self, when_s: float | None, what: Callable[[], object]) -> None:
        if when_s is not None:
            self.loop.call_at(when_s, what)

    def _connect(self, taken: Taken, form: Form = Form.HEAD, whole_s: float | None = None) -> None:
        call = taken.call
        call.connection_made(cast(asyncio.Transport, taken.transport))
        if form in (Form.LIST, Form.PIECES, Form.INDENTED):
            call.data_received(HEAD)
        if form in (Form.PIECES, Form.INDENTED):
            began_s = self.loop.now
            call.data_received(chunk(b'{"generation":\n' if form is Form.INDENTED else b'{"generation":'))
            if whole_s is not None:
                for i in range(1, PIECES):
                    self._at(
                        began_s + (whole_s - began_s) * i / PIECES, lambda: call.data_received(chunk(b" "))
                    )

    def _finish(self, taken: Taken, form: Form) -> None:
        """The rest of the answer."""
        call = taken.call
        if call.over:
            return
        if form is Form.REFUSED_DIAL:
            call.end(ConnectionRefusedError())
            return
        if form is Form.DIAL:
            self._connect(taken)
        if form is Form.REFUSED:
            call.data_received(REFUSAL)
            return
        taken.answered = True
        if form in (Form.PIECES, Form.INDENTED):
            self.lists_written += 1
            call.data_received(chunk(b"%d}\n" % self.generation))
        else:
            if form is not Form.LIST:
                call.data_received(HEAD)
            self._write_list(taken)
        self._keep_alive(taken)

    def _write_list(self, taken: Taken) -> None:
        self.lists_written += 1
        taken.call.data_received(chunk(json.dumps({"generation": self.generation}).encode() + b"\n"))

    def _keep_alive(self, taken: Taken) -> None:
        def send() -> None:
            if taken.open and not taken.silent:
                taken.call.data_received(chunk(b"\n"))
                self._keep_alive(taken)

        self._at(self.loop.now + timing.KEEP_ALIVE_S, send)


class Balancer:
    """A watch, and when it learned of what."""

    def __init__(self, discovery: LateDiscovery, seed: int) -> None:
        self.discovery, self.loop = discovery, discovery.loop
        self.address = Address("127.0.0.1", 1)
        self.generation = 0
        self.learned_s: dict[int, float] = {}
        self.overdue_count = self.broken_count = 0
        self.watch = DiscoveryWatch(self, seed)

    def start(self) -> None:
        self.watch.start(self.loop, self.discovery.dial)

    # the owner

    def where(self) -> tuple[Address, int]:
        return self.address, self.generation

    def message(self, value: object, position: ListPosition) -> bool:
        if value is None:
            return False
        generation: int = cast(dict[str, Any], value)["generation"]
        news = generation != self.generation
        self.generation = position.generation = generation
        self.learned_s.setdefault(generation, self.loop.now)
        return news

    def overdue(self) -> None:
        self.overdue_count += 1

    def broken(self, error: Exception | None) -> None:
        self.broken_count += 1


def one(plan: Iterator[Lateness], seed: int) -> tuple[FakeLoop, LateDiscovery, Balancer]:
    loop = FakeLoop()
    discovery = LateDiscovery(loop, plan)
    return loop, discovery, Balancer(discovery, seed)


def always(lateness: Lateness) -> Iterator[Lateness]:
    return itertools.repeat(lateness)
