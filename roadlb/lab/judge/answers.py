"""Rule 1: each request taken gets one final answer, in time, and it is what a node made for it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from ..wire import ClientGot, ClientLost
from .book import REFUSALS, SOUND, Request
from .rules import Rules
from .verdict import Rule

Broken = Iterator[tuple[Rule, str]]


def seconds(us: int) -> str:
    return f"{us / 1e6:.3f} s"


def check_answer(request: Request, answer: ClientGot, rules: Rules, owners: Mapping[str, str]) -> Broken:
    """A first whole answer; `owners` tells for which request a node made a body."""
    late = answer.at - request.limit_at
    if late > 0:
        yield (
            Rule.LOST,
            (
                f"was answered with {answer.status} after {seconds(answer.at - request.sent.at)}, "
                f"{seconds(late)} after the last moment"
            ),
        )
    if answer.status != 200:
        return
    given = [attempt.gave for attempt in request.attempts if attempt.gave is not None]
    if any(gave.status == 200 and gave.kind in SOUND and gave.body == answer.body for gave in given):
        return
    owner = owners.get(answer.body)
    if owner is not None and owner != request.name:
        yield Rule.MISDELIVERED, f"was served with the answer that a node made for {owner}"
    elif any(gave.body == answer.body for gave in given):
        yield Rule.ALTERED, "was served, as though it were good, with an answer that its node had spoilt"
    elif given:
        yield Rule.ALTERED, "was served with a body that differs from what its nodes gave"
    else:
        yield Rule.ALTERED, "was served with a body that no node made"


def check_loss(request: Request, loss: ClientLost, rules: Rules, resent: bool) -> Broken:
    """A try that ended without a whole answer, and the balancer had no excuse."""
    after = seconds(loss.at - request.sent.at)
    if loss.how == "timed_out":
        # A client that leaves within the slack cannot tell whether an answer was still to come.
        if loss.at >= request.limit_at and rules.silence_is_loss:
            yield Rule.LOST, f"had no answer when its time and the slack were over, {after} after it was sent"
    elif loss.how in ("reset", "closed"):
        crossed = not request.attempts and (resent or not rules.silence_is_loss)
        if not crossed:
            yield Rule.LOST, f"had its connection ended by the balancer ({loss.how}) unanswered after {after}"
    elif loss.how in ("cut", "garbled"):
        if not any(attempt.broken for attempt in request.attempts):
            how = "in part" if loss.how == "cut" else "garbled"
            yield Rule.LOST, f"had its answer {how} after {after}, and the fault was no node's"


def check_silence(request: Request, rules: Rules) -> Broken:
    """Neither an answer nor an end of the connection was ever seen."""
    if rules.silence_is_loss:
        yield Rule.LOST, f"had no answer {seconds(request.limit_at - request.sent.at)} after it was sent"


def check_second(first: ClientGot, second: ClientGot | ClientLost) -> Broken:
    """Anything that comes behind a final answer."""
    what = f"a second answer, {second.status}" if isinstance(second, ClientGot) else "more bytes"
    yield Rule.DOUBLED, f"got {what} {seconds(second.at - first.at)} after its answer, {first.status}"


def is_refusal(answer: ClientGot) -> bool:
    return answer.status in REFUSALS
