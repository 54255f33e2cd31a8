"""Pings under way, by the random number that an answer must bring: own, and for others who asked."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from .events import Member

PERIOD_US = 1_000_000  # between two probes
ANSWER_US = 300_000  # for an answer, before others are asked to try
KEPT_US = 3 * PERIOD_US  # an answer may be that late, and still proves that its sender runs
UNDER_WAY_MOST = 1_024


class Ping:
    """To whom, by name or (a seed, another's request) by address; for whom, if another asked."""

    __slots__ = ("due_us", "host", "name", "origin", "origin_number", "port", "sent_us", "told")

    def __init__(self, now: int, member: Member) -> None:
        self.name, self.host, self.port = member.name, member.host, member.port
        self.sent_us, self.due_us = now, now + KEPT_US
        self.origin: Member | None = None
        self.origin_number, self.told = 0, False


class Pings:
    __slots__ = ("_random", "_under_way")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._under_way: dict[int, Ping] = {}

    def begin(self, now: int, member: Member) -> int:
        """Its number; past UNDER_WAY_MOST the oldest is given up."""
        number = self._random.getrandbits(32)
        if len(self._under_way) >= UNDER_WAY_MOST:
            del self._under_way[next(iter(self._under_way))]
        self._under_way[number] = Ping(now, member)
        return number

    def for_another(self, now: int, origin: Member, origin_number: int, host: str, port: int) -> int:
        """As `begin`; `origin` has asked for it under a number of its own."""
        number = self.begin(now, Member("", host, port, "", 0))
        ping = self._under_way[number]
        ping.origin, ping.origin_number, ping.due_us = origin, origin_number, now + ANSWER_US + PERIOD_US
        return number

    def answered(self, number: int) -> Ping | None:
        return self._under_way.pop(number, None)

    def lately(self, now: int, name: str) -> bool:
        """Has it been pinged within ANSWER_US, and not answered?"""
        return any(ping.name == name and now - ping.sent_us < ANSWER_US for ping in self._under_way.values())

    def clear(self) -> None:
        self._under_way.clear()

    def unanswered(self, now: int) -> Iterator[tuple[Member, int]]:
        """Who asked, and under which number, where no answer has come within ANSWER_US; once each.  What is
        long past is forgotten."""
        over = []
        for number, ping in self._under_way.items():
            if ping.origin is not None and not ping.told and now - ping.sent_us >= ANSWER_US:
                ping.told = True
                yield ping.origin, ping.origin_number
            if now >= ping.due_us:
                over.append(number)
        for number in over:
            del self._under_way[number]


class Probe:
    """A ping of the round, which is to be answered within this period, by itself or through relays."""

    __slots__ = ("again", "asked_us", "nacks", "name", "number", "second")

    def __init__(self, name: str, number: int, now: int, second: bool) -> None:
        self.name, self.number, self.asked_us, self.second = name, number, now, second
        self.again = self.nacks = 0
