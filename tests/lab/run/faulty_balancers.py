"""The real program with one defect each, for the judge to find.  Only public parts of it are wrapped."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace


from roadlb.app import App
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
from roadlb.lab.sim import SimLoop
from roadlb.lifecycle.lifecycle import Event
from roadlb.policy.interface import ListKind, Member, ServerState

EVERY = 10  # one in so many requests is treated wrongly
ORDER = 1  # the number of its class
EXTRA = 99  # of attempts that a defect has added


class Answers(App):
    """Answers go wrong on their way to the client."""

    async def start(self) -> None:
        await super().start()
        self.count = 0
        open_exchange = self.engine.open

        def opened(exchange: Exchange) -> None:
            give = exchange.on_answer
            exchange.on_answer = lambda exchange, answer: self.given(exchange, answer, give)
            open_exchange(exchange)

        self.engine.open = opened  # type: ignore[method-assign]

    def given(self, exchange: Exchange, answer: Answer, give: Callable[[Exchange, Answer], None]) -> None:
        self.count += 1
        give(exchange, self.wrong(answer) if self.count % EVERY == 0 else answer)

    def wrong(self, answer: Answer) -> Answer:
        return answer


class Loses(Answers):
    def given(self, exchange: Exchange, answer: Answer, give: Callable[[Exchange, Answer], None]) -> None:
        self.count += 1
        if self.count % EVERY:
            give(exchange, answer)


class Doubles(Answers):
    def given(self, exchange: Exchange, answer: Answer, give: Callable[[Exchange, Answer], None]) -> None:
        transport = give.__self__.transport  # type: ignore[attr-defined]
        super().given(exchange, answer, give)
        if self.count % EVERY == 0:
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")


class Swaps(Answers):
    """A client gets the answer that another one got before."""

    last: Answer = Failure("none yet")

    def wrong(self, answer: Answer) -> Answer:
        last, self.last = self.last, answer
        return last if isinstance(last, Response) else answer


class Alters(Answers):
    def wrong(self, answer: Answer) -> Answer:
        return replace(answer, body=answer.body[:-2] + b"?\n") if isinstance(answer, Response) else answer


class Refuses(Answers):
    """What has failed is called a refusal: the client believes that trying again is harmless."""

    def given(self, exchange: Exchange, answer: Answer, give: Callable[[Exchange, Answer], None]) -> None:
        give(exchange, Refusal(0) if isinstance(answer, Failure) else answer)


class Repeats(App):
    """A reset is taken for a proof that nothing ran."""

    async def start(self) -> None:
        await super().start()
        ended = self.engine.attempt_ended
        self.engine.attempt_ended = lambda attempt, result: ended(  # type: ignore[method-assign]
            attempt, Result(AttemptOutcome.DIAL_FAILED) if result.outcome is AttemptOutcome.RESET else result
        )


class Lingers(App):
    """Goes on trying for a request that is over."""

    later_s = 0.5

    async def start(self) -> None:
        await super().start()
        ended, loop = self.engine.attempt_ended, asyncio.get_running_loop()

        def again(attempt: Attempt) -> None:
            now = self.clock()
            self.server_connections.start(
                Attempt(attempt.request, self.message_of(attempt), EXTRA, attempt.server, now, now + 900_000)
            )

        def watched(attempt: Attempt, result: Result) -> None:
            if attempt.number == EXTRA:
                return
            ended(attempt, result)
            if result.outcome is AttemptOutcome.SERVED and attempt.request % EVERY == 0:
                loop.call_later(self.later_s, again, attempt)

        self.engine.attempt_ended = watched  # type: ignore[method-assign]

    def message_of(self, attempt: Attempt) -> Message:
        return attempt.message


class Invents(Lingers):
    """Has nodes run what no client has sent."""

    later_s = 0.0

    def message_of(self, attempt: Attempt) -> Message:
        head, _, id_on = attempt.message.head.partition(b"X-Correlation-Id: ")
        return Message(
            attempt.message.method,
            attempt.message.target,
            head + b"X-Correlation-Id: feed" + id_on[4:],
            attempt.message.body,
        )


class Lists(App):
    """What is heard of the nodes goes wrong on its way to the module."""

    async def start(self) -> None:
        await super().start()
        self.told = self.engine.list_update
        self.engine.list_update = self.heard  # type: ignore[method-assign]

    def heard(self, kind: ListKind, members: list[Member]) -> None:
        self.told(kind, members)


class HearsLate(Lists):
    """Takes 2.5 s to heed the word that a node drains: new work comes 1.2 s and more after it."""

    def heard(self, kind: ListKind, members: list[Member]) -> None:
        asyncio.get_running_loop().call_later(2.5, self.told, kind, members)


class NeverCold(Lists):
    """Takes every node for one that has long been running."""

    def heard(self, kind: ListKind, members: list[Member]) -> None:
        self.told(kind, [replace(member, born_us=0) for member in members])


class Forgets(Lists):
    """Takes an old list for a new one: 1.5 s after the word that a node drains, that node is up again."""

    def heard(self, kind: ListKind, members: list[Member]) -> None:
        self.told(kind, members)
        reopened = [
            replace(member, state=ServerState.READY)
            for member in members
            if member.state is ServerState.DRAINING
        ]
        if reopened:
            asyncio.get_running_loop().call_later(1.5, self.told, ListKind.DELTA, reopened)


class Ends(App):
    """Ends by itself after a while."""

    async def start(self) -> None:
        await super().start()
        host = SimLoop.running().current_host()
        asyncio.get_running_loop().call_later(1.5, host.raise_signal, 15)


class Keeps(App):
    """Says that it is out of service, and lets nobody go."""

    def _life(self, event: Event) -> None:
        if event is not Event.WAKE:
            super()._life(event)
        self.frontend.draining = False


FAULTS: dict[str, tuple[type[App], str]] = {
    "lost": (Loses, ""),
    "doubled": (Doubles, ""),
    "misdelivered": (Swaps, ""),
    "altered": (Alters, ""),
    "refused-after-run": (Refuses, "errors"),
    "repeated": (Repeats, "resets"),
    "sent-after-end": (Lingers, ""),
    "smuggled": (Invents, ""),
    "drain": (HearsLate, "deploy"),
    "drain, reopened": (Forgets, "deploy"),
    "pushed-over": (NeverCold, "cold"),
    "crash": (Ends, ""),
    "held": (Keeps, "drain"),
}
