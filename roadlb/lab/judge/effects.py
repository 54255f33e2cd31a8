"""Rule 2: no effect is duplicated.  What counts is what the wire had proved by then, not what came true."""

from __future__ import annotations

from ..wire import ClientGot, NodeGot
from .answers import Broken, is_refusal, seconds
from .book import Attempt, Request
from .rules import Rules
from .verdict import Rule


def check_attempt(request: Request, got: NodeGot, rules: Rules, blind: bool) -> Broken:
    """A further attempt came whole to a node; `request.attempts` holds the earlier ones.

    `blind`: it may have been written long before, as its node stood still.
    """
    sent = request.sent
    wanted = "GET" if request.repeatable else "POST"
    first_part = got.target.lstrip("/").partition("/")[0]
    if got.method != wanted or first_part != sent.class_name:
        yield Rule.ALTERED, f"is {wanted} /{sent.class_name}, and {got.node} got {got.method} {got.target}"
    if len(request.attempts) >= rules.max_attempts:
        yield Rule.ATTEMPTS, f"was sent {len(request.attempts) + 1} times; {rules.max_attempts} are allowed"
    out = [one for one in request.attempts if not one.never_ran_by(got.first_at)]
    if not request.repeatable:
        if out:
            yield Rule.REPEATED, f"was sent to {got.node} although it {may_have_run(out, got.first_at)}"
        elif request.answer is not None and request.answer.at < got.first_at and is_refusal(request.answer):
            after = seconds(got.first_at - request.answer.at)
            yield (
                Rule.REFUSED_AFTER_RUN,
                (f"came to {got.node} {after} after its client had been told that trying again is harmless"),
            )
            return
    end = request.ended_at
    margin = rules.limit_slack_us + rules.dial_us
    if end is not None and got.first_at > end + margin and not blind:
        after = seconds(got.first_at - end)
        yield Rule.SENT_AFTER_END, f"was sent to {got.node} {after} after it had ended for its client"


def check_refusal(request: Request, answer: ClientGot) -> Broken:
    """A refusal says that trying again is harmless, so nothing may be out."""
    if not request.repeatable and is_refusal(answer):
        out = [one for one in request.attempts if not one.never_ran_by(answer.at)]
        if out:
            yield (
                Rule.REFUSED_AFTER_RUN,
                (f"was refused with {answer.status} although it {may_have_run(out, answer.at)}"),
            )


def check_second_copy(request: Request, ended: Attempt, at: int, rules: Rules) -> Broken:
    """An attempt was answered on a connection that was still open: was it out beside a later one?"""
    if rules.second_copies:
        return
    later = request.attempts[request.attempts.index(ended) + 1 :]
    beside = [one for one in later if one.got.first_at + rules.limit_slack_us < at]
    if beside:
        yield (
            Rule.SECOND_COPY,
            (
                f"was sent to {beside[0].got.node} while it was out at {ended.got.node}, "
                "and second copies are not allowed"
            ),
        )


def may_have_run(out: list[Attempt], at: int) -> str:
    """`had begun at n1` or `might have run at n1`."""
    begun = [one for one in out if one.ran]
    one = (begun or out)[0]
    how = "had begun" if begun else "might have run"
    return f"{how} at {one.got.node}, where it had come {seconds(at - one.got.at)} before"
