"""A follower's stream to one control service after another: the link's machine, a dialer, a clock."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

from ...agreement.events import FromFollower, FromIssuer, VersionId
from ...clock import Clock
from ...counters import Counters
from ...log import fields
from ..codec.discovery import read_delta_response, write_delta_request
from ..codec.protos import CodecError
from ..messages import DeltaRequest
from .choice import Choice, Ended, Free, Served
from .events import Came, End, Lost, Opened, Send, Tick
from .link import Action, Event, Fault, Hears, Link, Nothing, Say

logger = logging.getLogger(__name__)

UNSENT_MOST = 1_000  # requests; a stream that takes none is given up


class StreamEnded(Exception):
    """The stream is over; the text is for a person."""


class Stream(Protocol):
    """One call of a control service.  `read` and `write` raise StreamEnded."""

    async def read(self) -> bytes: ...

    async def write(self, data: bytes) -> None: ...

    async def close(self) -> None: ...


Dial = Callable[[str], Awaitable[Stream]]


class Connection:
    """`run()` until cancelled; `say` and `nothing` at any time; `hears` gets what the issuer tells.

    `linked` is called whenever a stream is up anew.  A stream on which nothing came for `silence_us` is given
    up: each `Ask` has an answer, so silence is a fault.
    """

    def __init__(
        self,
        name: str,
        services: tuple[str, ...],
        dial: Dial,
        seed: int,
        silence_us: int,
        clock: Clock,
        counters: Counters,
        hears: Callable[[FromIssuer], None],
        linked: Callable[[], None],
    ) -> None:
        self._link, self._choice = Link(name), Choice(len(services), seed)
        self._services, self._dial, self._silence_us = services, dial, silence_us
        self._clock, self._counters, self._hears, self._linked = clock, counters, hears, linked
        self._out: asyncio.Queue[DeltaRequest] = asyncio.Queue()
        self._timer: asyncio.TimerHandle | None = None
        self._ending: asyncio.Future[None] | None = None
        self._heard_us = 0
        self.service = ""  # whom we are connected to; empty: to nobody
        self.bytes_in = self.bytes_out = 0

    def say(self, message: FromFollower) -> None:
        self._handle(Say(message))

    def nothing(self, id: VersionId) -> None:
        """There is nothing to say to this version."""
        self._handle(Nothing(id))

    async def run(self) -> None:
        while True:
            [call] = self._choice.handle(self._clock(), Free())
            await asyncio.sleep(max(0, call.at_us - self._clock()) / 1e6)
            at, error = self._services[call.service], ""
            try:
                await self._serve(at)
            except StreamEnded as e:
                error = str(e)
            except Exception as e:  # whatever one stream did, the next must be opened
                logger.exception("stream failed")
                self._counters.add("follow.fault")
                error = f"fault: {type(e).__name__}: {e}"
            finally:
                self.service = ""
                self._handle(Lost())
            self._choice.handle(self._clock(), Ended())
            self._counters.add("follow.broken")
            logger.warning("stream broken", extra=fields(control=at, error=error))

    async def _serve(self, at: str) -> None:
        """One stream, to its end; raises StreamEnded."""
        self._out, self._heard_us = asyncio.Queue(), self._clock()
        ending = self._ending = asyncio.get_running_loop().create_future()
        stream = await self._dial(at)
        tasks = [
            asyncio.ensure_future(self._write(stream)),
            asyncio.ensure_future(self._read(stream, at)),
            asyncio.ensure_future(self._listen()),
        ]
        try:
            self._handle(Opened())
            self._linked()
            done, _ = await asyncio.wait([*tasks, ending], return_when=asyncio.FIRST_COMPLETED)
            for each in done:
                each.result()
        finally:
            self._ending = None
            if not ending.cancel():
                ending.exception()  # looked at, as another task may have ended first
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await stream.close()

    async def _read(self, stream: Stream, at: str) -> None:
        while True:
            data = await stream.read()
            self._heard_us = self._clock()
            self.bytes_in += len(data)
            try:
                response = read_delta_response(data)
            except CodecError as e:
                self._counters.add("follow.malformed")
                raise StreamEnded(str(e)) from None
            if not self.service:
                self.service = at
                self._counters.add("follow.connected")
                self._choice.handle(self._clock(), Served())
                logger.info("control service", extra=fields(control=at))
            self._handle(Came(response))

    async def _write(self, stream: Stream) -> None:
        while True:
            data = write_delta_request(await self._out.get())
            await stream.write(data)
            self.bytes_out += len(data)

    async def _listen(self) -> None:
        """Ends when nothing has come for too long."""
        while (left := self._heard_us + self._silence_us - self._clock()) > 0:
            await asyncio.sleep(left / 1e6)
        self._counters.add("follow.silent")
        raise StreamEnded(f"silent for {self._silence_us / 1e6:g} s")

    def _handle(self, event: Event) -> None:
        for action in self._link.handle(self._clock(), event):
            self._do(action)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._link.wake_at is not None:
            wait = max(0, self._link.wake_at - self._clock()) / 1e6
            self._timer = asyncio.get_running_loop().call_later(wait, self._handle, Tick())

    def _do(self, action: Action) -> None:
        match action:
            case Send(request):
                self._out.put_nowait(request)
                if self._out.qsize() > UNSENT_MOST:
                    self._give_up(f"{UNSENT_MOST} requests were not taken")
            case Hears(message):
                self._hears(message)
            case Fault(text):
                self._counters.add("follow.unreadable")
                logger.warning("version not readable", extra=fields(error=text))
            case End(reason):
                self._give_up(reason)

    def _give_up(self, reason: str) -> None:
        if self._ending is not None and not self._ending.done():
            self._ending.set_exception(StreamEnded(reason))

    def close(self) -> None:
        """No more timers; `run` is cancelled by its owner."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def ended(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
