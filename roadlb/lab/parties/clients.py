"""Clients of one hall: they play the wishes of a `Traffic`, and try again as is their habit.

A wish is tried when it is due, whatever became of those before it, and its latency counts from then: a
balancer that stalls is charged for the requests that it kept from being sent.  Each connection carries one
request at a time; the one that has been idle longest is taken, and another is opened when all are busy.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Container
from dataclasses import dataclass
from random import Random

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ..model.traffic import Traffic, Wish
from ..model.tries import TryEnd, next_try, time_left
from ..wire import ClientGot, ClientLost, ClientSent, ClientWished, WireLog
from .bodies import asked, is_right
from .front import Front
from .http import (
    ACCOUNT,
    CORRELATION_ID,
    REPEAT,
    RETRY_AFTER,
    TIME_LEFT,
    AnswerReader,
    Garbled,
    Message,
    digest,
    write_request,
)
from .links import reset, stream

HORIZON_US = 500_000  # wishes are drawn this far ahead at most, so that a changed rate soon holds
LATENCY_MOST_US = 60_000_000
# A connection that ends in order within this time of a request crossed it: the balancer had closed it before
# it can have read the request.  Twice the longest way to a balancer (0.88 ms with jitter) is under 3 ms.
CROSSED_US = 3_000


@dataclass(slots=True, eq=False)
class _Try:
    wish: Wish
    attempt: int
    id: str
    until: int  # when the client gives it up
    timer: asyncio.TimerHandle | None = None
    link: _Link | None = None
    dial: asyncio.Task[None] | None = None
    balancer: str = ""
    target: str = ""
    body: bytes = b""
    left_us: int = 0  # as its header says
    sent_at: int = -1  # its last byte was written; -1: not yet
    crossed: bool = False  # it has been sent a second time, the connection having ended
    over: bool = False  # given up; its client only listens


class _Link(asyncio.Protocol):
    """One connection to a balancer."""

    def __init__(self, clients: Clients, balancer: str) -> None:
        self.clients, self.balancer = clients, balancer
        self.reader = AnswerReader()
        self.current: _Try | None = None
        self.served = 0  # answers that it has brought
        self.in_order = False  # the balancer ended it in order
        self.was_reset = False  # by the network
        self.writable = True
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = stream(transport)
        self.transport.set_write_buffer_limits(0)  # so that we are told when a request's last byte is out
        self.clients.links[self] = None

    def data_received(self, data: bytes) -> None:
        try:
            answers, garbled = self.reader.feed(data), False
        except Garbled:
            answers, garbled = self.reader.rescue(), True
        if answers and self.current:
            self.clients.got(self, answers[0], extra=garbled or len(answers) > 1 or self.reader.begun)
        elif garbled or answers or not self.current:
            self.clients.broke(self, "garbled" if self.current else "extra")

    def eof_received(self) -> None:
        self.in_order = True
        if self.current and (answer := self.reader.end()):
            self.clients.got(self, answer, extra=False)

    def connection_lost(self, error: Exception | None) -> None:
        self.clients.links.pop(self, None)
        self.clients.ended(self, (error is None or self.in_order) and not self.was_reset)

    def pause_writing(self) -> None:
        self.writable = False

    def resume_writing(self) -> None:
        self.writable = True
        if self.current:
            self.clients.written(self, self.current)


class Clients:
    """The clients of one hall.  `most` bounds their connections; tries beyond it wait for a free one.

    A client leaves when a try's time is up, and so never sees whether an answer was still to come.  With
    `hears_us` it stays for so much longer, though it has given the try up, so that a judge can tell.
    """

    def __init__(
        self,
        name: str,
        hall: str,
        traffic: Traffic,
        front: Front,
        log: WireLog,
        clock: Callable[[], int],
        rng: Random,
        most: int = 300,
        hears_us: int = 0,
    ) -> None:
        self.name, self.hall, self.traffic = name, hall, traffic
        self._front, self._log, self._clock, self._rng, self._most = front, log, clock, rng, most
        self._hears_us = hears_us
        self.links: dict[_Link, None] = {}
        self.tallies: Counter[str] = Counter()
        self.latency = {spec.name: HdrHistogram(1, LATENCY_MOST_US, 3) for spec in traffic.classes}
        self.open_wishes = 0
        self._idle: deque[_Link] = deque()
        self._waiting: deque[_Try] = deque()
        self._dials = 0
        self._playing = False

    # The wishes

    def start(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._playing = True
        self._next_wish()

    def stop(self) -> None:
        """No more new wishes; those that are open go on, see `open_wishes`."""
        self._playing = False

    def close(self) -> None:
        """End all connections, whatever they carry."""
        self._playing = False
        for link in list(self.links):
            link.transport.close()

    def reset(self, share: float, balancers: Container[str], rng: Random) -> list[str]:
        """A share of the connections to these balancers is reset, as by the network; whose they were.

        For real sockets, where nothing else can do it: both ends are told now.
        """
        links = [link for link in self.links if link.balancer in balancers]
        chosen = rng.sample(links, round(share * len(links)))
        for link in chosen:
            link.was_reset = True
            reset(link.transport)
        return [link.balancer for link in chosen]

    def open_ids(self, balancer: str) -> list[str]:
        """Of requests that were sent to this balancer and have no answer yet."""
        return [
            link.current.id
            for link in self.links
            if link.balancer == balancer and link.current and link.current.sent_at >= 0
        ]

    def _call_at(self, at: int, action: Callable[..., None], *arguments: object) -> asyncio.TimerHandle:
        return self._loop.call_later(max(0, at - self._clock()) / 1e6, action, *arguments)

    def _next_wish(self) -> None:
        if not self._playing:
            return
        horizon = self._clock() + HORIZON_US
        wish = self.traffic.next(horizon)
        if wish is None:
            self._call_at(horizon, self._next_wish)
        else:
            self._call_at(wish.due, self._due, wish)

    def _due(self, wish: Wish) -> None:
        if not self._playing:
            return
        self.open_wishes += 1
        self.tallies["wish"] += 1
        self._log.write(
            ClientWished(
                self._clock(),
                wish.number,
                self.name,
                self.traffic.classes[wish.class_index].name,
                wish.tenant,
            )
        )
        self._next_wish()
        self._try(wish, 0)

    # One try

    def _try(self, wish: Wish, attempt: int) -> None:
        now, spec = self._clock(), self.traffic.classes[wish.class_index]
        left = time_left(now, wish.due, spec, self.traffic.habits)
        if left <= 0:  # this machine lags behind
            self._over(served=False)
            return
        id = f"{self._rng.getrandbits(64):016x}"
        this = _Try(wish, attempt, id, now + left, target=f"/{spec.name}/{wish.key}?w={wish.work_us}")
        if spec.body_bytes:
            this.body = (id * (spec.body_bytes // len(id) + 1))[: spec.body_bytes].encode()
        this.timer = self._call_at(this.until, self._given_up, this)
        self._find_link(this)

    def _find_link(self, this: _Try) -> None:
        room = len(self.links) + self._dials < self._most
        while self._idle and not (room and (this.wish.once or this.crossed)):
            link = self._idle.popleft()
            if not link.transport.is_closing():
                self._send(this, link)
                return
        if room:
            self._dials += 1
            this.dial = self._loop.create_task(self._dial(this))
        else:
            self._waiting.append(this)

    async def _dial(self, this: _Try) -> None:
        picked = self._front.pick(self.hall)
        this.balancer, address = picked or ("", None)
        link = _Link(self, this.balancer)
        try:
            if address:
                await self._loop.create_connection(lambda: link, *address)
        except OSError:
            self._front.failed(this.balancer)
        except asyncio.CancelledError:
            if link in self.links:  # it came up in the moment in which the client gave it up
                link.transport.abort()
            raise
        finally:
            self._dials -= 1
            this.dial = None
            self._free_a_link()
        if link in self.links:
            self._send(this, link)
        else:
            self._lost(this, "refused", TryEnd.UNREACHED)

    def _send(self, this: _Try, link: _Link) -> None:
        spec = self.traffic.classes[this.wish.class_index]
        this.link, this.balancer, link.current = link, link.balancer, this
        this.left_us = max(1, this.until - self._clock())
        headers = [
            ("Host", "backend.local"),
            (CORRELATION_ID, this.id),
            (TIME_LEFT, f"{this.left_us / 1e6:.6f}"),
        ]
        if this.wish.tenant:
            headers.append((ACCOUNT, this.wish.tenant))
        if this.attempt and self.traffic.habits.marks_retry:
            headers.append((REPEAT, "1"))
        link.transport.write(write_request(spec.method, this.target, headers, this.body))
        if link.writable:
            self.written(link, this)

    def written(self, link: _Link, this: _Try) -> None:
        if this.sent_at >= 0:
            return
        now, wish = self._clock(), this.wish
        this.sent_at = now
        self.tallies["sent"] += 1
        self._log.write(
            ClientSent(
                now,
                this.id,
                wish.number,
                this.attempt,
                self.name,
                link.balancer,
                self.traffic.classes[wish.class_index].name,
                wish.tenant,
                wish.key,
                this.left_us,
                wish.due,
            )
        )

    # How it ends

    def got(self, link: _Link, answer: Message, extra: bool) -> None:
        this = link.current
        assert this is not None
        link.current, this.link = None, None
        link.served += 1
        now, spec = self._clock(), self.traffic.classes[this.wish.class_index]
        retry_after = _microseconds(answer.headers.get(RETRY_AFTER.lower()))
        body = digest(answer.body)
        self._log.write(ClientGot(now, this.id, link.balancer, answer.status, body, retry_after))
        if extra:
            self._log.write(ClientLost(now, this.id, link.balancer, "extra", True))
            self.tallies["extra"] += 1
            link.transport.abort()
        elif not answer.keep_alive:
            link.transport.close()
        elif not this.wish.once:
            self._idle.append(link)
        elif not this.wish.holds:
            link.transport.close()
        if this.over:
            self.tallies["late"] += 1
        elif answer.status == 200 and is_right(
            answer.body, this.id, asked(spec.method, this.target, this.body)
        ):
            self.latency[spec.name].record_value(min(max(1, now - this.wish.due), LATENCY_MOST_US))
            self._ended(this, TryEnd.SERVED)
        elif answer.status in (429, 503):
            self._ended(this, TryEnd.REFUSED, retry_after)
        else:
            self.tallies["wrong body"] += answer.status == 200
            self._ended(this, TryEnd.FAILED)
        self._free_a_link()

    def broke(self, link: _Link, how: str) -> None:
        """What came cannot be read, or belongs to no request."""
        this, link.current = link.current, None
        link.transport.abort()
        if this:
            this.link = None
            self._lost(this, how, TryEnd.BROKEN)
        else:
            self.tallies["extra"] += 1

    def ended(self, link: _Link, in_order: bool) -> None:
        if not in_order:
            self._front.failed(link.balancer)
        if link in self._idle:
            self._idle.remove(link)
        this, link.current = link.current, None
        if this:
            now, begun = self._clock(), link.reader.begun
            crossed = in_order and not begun and link.served and now - this.sent_at <= CROSSED_US
            this.link = None
            if crossed and not this.crossed and not this.over:
                self.tallies["crossed"] += 1
                this.crossed, this.sent_at = True, -1
                self._find_link(this)
            elif this.sent_at < 0:
                self._lost(this, "closed" if in_order else "reset", TryEnd.UNREACHED)
            else:
                self._lost(this, "cut" if begun else "closed" if in_order else "reset", TryEnd.BROKEN)
        self._free_a_link()

    def _given_up(self, this: _Try) -> None:
        """The client closes the connection that it waits on."""
        this.timer = None
        if this in self._waiting:
            self._waiting.remove(this)
        if this.dial:
            this.dial.cancel()
            if this.balancer:
                self._front.failed(this.balancer)
        if this.sent_at >= 0 and self._hears_us:
            this.over = True
            self._call_at(this.until + self._hears_us, self._leave, this)
            self._ended(this, TryEnd.GIVEN_UP)
        else:
            self._leave(this)

    def _leave(self, this: _Try) -> None:
        if this.over and not this.link:
            return  # something came after all
        if this.link:
            this.link.current = None
            this.link.transport.close()
        self._lost(this, "timed_out", TryEnd.GIVEN_UP if this.sent_at >= 0 else TryEnd.UNREACHED)

    def _lost(self, this: _Try, how: str, end: TryEnd) -> None:
        self._log.write(ClientLost(self._clock(), this.id, this.balancer, how, this.sent_at >= 0))
        self.tallies[how] += 1
        if not this.over:
            self._ended(this, end)

    def _ended(self, this: _Try, end: TryEnd, retry_after_us: int = -1) -> None:
        if this.timer:
            this.timer.cancel()
        self.tallies[end.name.lower()] += 1
        wish, spec = this.wish, self.traffic.classes[this.wish.class_index]
        again = next_try(
            self._clock(),
            wish.due,
            spec,
            self.traffic.habits,
            wish.honours,
            this.attempt,
            end,
            retry_after_us,
        )
        if again is None:
            self._over(end is TryEnd.SERVED)
        else:
            self._call_at(again, self._try, wish, this.attempt + 1)

    def _over(self, served: bool) -> None:
        self.open_wishes -= 1
        self.tallies["wish served" if served else "wish not served"] += 1

    def _free_a_link(self) -> None:
        """A connection is idle, or there may be another one: whoever has waited longest has it."""
        while self._waiting and (self._idle or len(self.links) + self._dials < self._most):
            self._find_link(self._waiting.popleft())


def _microseconds(seconds: str | None) -> int:
    try:
        return max(0, round(float(seconds or "nan") * 1e6))
    except (ValueError, OverflowError):
        return -1
