"""Lets connections with much input take turns: each turn of the event loop handles a bounded amount of it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol


class Waiting(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None:
        """Do a bounded amount of work; what is left waits for another turn."""


class TurnQueue:
    """The connections that wait, first come, first served: all other input is read between two of them."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: deque[Waiting] = deque()

    def wait(self, connection: Waiting) -> None:
        """Give this connection its turn after those that wait already; it must not be waiting."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        connection = self._waiting[0]
        try:
            connection.take_turn()
        finally:
            self._waiting.popleft()
            if self._waiting:
                self._schedule()


READS_PER_TURN = 16


class Reader(Protocol):
    """A connection whose reading is paused until its turn."""

    def read_on(self) -> None:
        """Read again; a full read pauses it once more."""


class ReadQueue:
    """The connections with more to read than one read takes, first come, first served.

    All that are ready would else be read in each turn, and a new client wait for several such turns.
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: deque[Reader] = deque()

    def wait(self, connection: Reader) -> None:
        """Have this connection read on after those that wait already; it must not be waiting."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        try:
            for _ in range(min(READS_PER_TURN, len(self._waiting))):
                self._waiting.popleft().read_on()
        finally:
            if self._waiting:
                self._schedule()
