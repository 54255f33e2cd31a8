"""What the judge keeps about requests, balancers and nodes while something can still go wrong with them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..wire import BalancerState, ClientGot, ClientLost, ClientSent, NodeGave, NodeGot, NodeState, WireEvent

TAIL = 24  # events kept of one request, node or balancer; a request has 5 at best and 20 at worst
# Answers that are good, the last four with more than belongs to them; any other kind is of no use.
SOUND = frozenset({"ok", "copy behind", "noise behind", "report unreadable", "interim first"})
REFUSALS = frozenset({429, 503})
NEVER = 1 << 62
BEGINS = frozenset({"paused", "cut"})
ENDS = {"resumed": "paused", "healed": "cut"}  # what ends, by the state that says so
# After a pause or a cut, what was written long before still arrives.  TCP tries again after twice as long
# each time, so that after a cut it may take as long again as the cut, and the 0.2 s of the first time.
BLIND_US, FIRST_RETRY_US = 1_000_000, 300_000


def tail() -> deque[WireEvent]:
    return deque(maxlen=TAIL)


@dataclass(slots=True)
class Attempt:
    """One time that a request came whole to a node."""

    got: NodeGot
    ran: bool = False
    gave: NodeGave | None = None

    def never_ran_by(self, at: int) -> bool:
        """Whether the node had said by then that it never ran: the one proof that is on the wire."""
        return self.gave is not None and self.gave.kind == "unprocessed" and self.gave.at <= at

    @property
    def broken(self) -> bool:
        """The node's answer was spoilt, or never ended."""
        return self.gave is None or (self.gave.kind not in SOUND and self.gave.kind != "unprocessed")


@dataclass(slots=True)
class Request:
    """One try of a client."""

    sent: ClientSent
    repeatable: bool
    limit_at: int  # an answer after it is none
    attempts: list[Attempt] = field(default_factory=list)
    answer: ClientGot | None = None
    loss: ClientLost | None = None
    settled: bool = False
    events: deque[WireEvent] = field(default_factory=tail)

    @property
    def name(self) -> str:
        return self.sent.request

    @property
    def due_at(self) -> int:
        return self.sent.at + self.sent.left_us

    @property
    def ended_at(self) -> int | None:
        """When it was over as its client saw it."""
        end = self.answer or self.loss
        return end.at if end else None

    def attempt_at(self, node: str, started_ms: int, given: bool) -> Attempt | None:
        """The oldest attempt there that has not begun, or (`given`) has had no answer."""
        for attempt in self.attempts:
            if (attempt.got.node, attempt.got.started_ms) == (node, started_ms):
                if attempt.gave is None if given else not attempt.ran:
                    return attempt
        return None


@dataclass(slots=True)
class Holds:
    """When a process stood still or was cut off; reasons may overlap, and the last one to end counts."""

    reasons: dict[str, int] = field(default_factory=dict)  # that hold now, and since when
    spans: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=TAIL))

    def begin(self, reason: str, at: int) -> None:
        if not self.reasons:
            self.spans.append((at, NEVER))
        self.reasons.setdefault(reason, at)

    def moment(self, at: int) -> None:
        """It was cut off for this moment only."""
        if not self.reasons:
            self.spans.append((at, at))

    def end(self, reason: str, at: int) -> int:
        """For how long it had held."""
        since = self.reasons.pop(reason, at)
        if not self.reasons and self.spans and self.spans[-1][1] == NEVER:
            self.spans[-1] = (self.spans[-1][0], at)
        return at - since

    def overlaps(self, since: int, until: int) -> bool:
        return any(begin <= until and since <= end for begin, end in self.spans)


@dataclass(slots=True)
class Balancer:
    """A balancer's process, and what excuses it for not answering."""

    started_at: int = 0
    reloaded_at: int = -1
    out_at: int = NEVER  # since when it is out of service
    terminated_at: int = -1  # SIGTERM to the present process
    terminated_before_at: int = -1  # and to the one before it
    gone: tuple[int, int] = (NEVER, NEVER)  # from its last end in order to the next start
    held: Holds = field(default_factory=Holds)  # standing still or cut off, whatever it was told
    dead: Holds = field(default_factory=Holds)  # killed, or reset by the network
    stood_still_at: int = -NEVER  # the last moment at which it was paused
    events: deque[WireEvent] = field(default_factory=tail)

    def see(self, event: BalancerState) -> bool:
        """Note a state; False where the process ended and nobody had asked it to."""
        self.events.append(event)
        asked = True
        if event.state == "killed":
            self.hold(event.at)
        elif event.state in BEGINS:
            self.held.begin(event.state, event.at)
        elif event.state in ENDS:
            self._release(ENDS[event.state], event.at)
        elif event.state == "reset":
            self.dead.moment(event.at)
        elif event.state == "terminated":
            self.terminated_at = event.at
        elif event.state == "out of service":
            self.out_at = event.at
        elif event.state == "in service":
            self.out_at = NEVER
        elif event.state == "reloaded":
            self.reloaded_at = event.at
        elif event.state == "ended":
            asked = self.terminated_at >= 0 or bool(self.dead.reasons)
            self.gone = (event.at, NEVER)
        elif event.state == "started":
            self.dead.end("killed", event.at)
            self._release("paused", event.at)
            self.gone = (self.gone[0], min(event.at, self.gone[1]))
            self.terminated_before_at, self.terminated_at = self.terminated_at, -1
            self.started_at, self.out_at = event.at, NEVER
        return asked

    def hold(self, at: int) -> None:
        """Its process is gone from now on."""
        self.dead.begin("killed", at)

    def _release(self, reason: str, at: int) -> None:
        if reason == "paused" and reason in self.held.reasons:
            self.stood_still_at = at
        self.held.end(reason, at)

    def blind_at(self, at: int, slack_us: int) -> bool:
        """It stands still, or has just woken up and reads in one go all that came meanwhile."""
        return "paused" in self.held.reasons or at <= self.stood_still_at + slack_us

    def excuses(self, sent_at: int, ended_at: int, term_grace_us: int) -> bool:
        """Whether a request sent and ended then met a balancer that could not answer, by no fault of its own.

        One that was killed after it was told to end could: from some time after SIGTERM on it should have
        taken nothing more, if it did not stand still.
        """
        if self.gone[0] <= sent_at < self.gone[1]:
            return True  # on a connection whose end the client had not seen yet
        if self.held.overlaps(sent_at, ended_at):
            return True
        if not self.dead.overlaps(sent_at, ended_at):
            return False
        told = self.terminated_at if sent_at >= self.started_at else self.terminated_before_at
        return told < 0 or sent_at <= max(told, self.stood_still_at) + term_grace_us


@dataclass(slots=True)
class Node:
    """One start of a node."""

    cold_at: int | None = None  # when it started cold; None: it has long been running
    hall: str = ""
    held: Holds = field(default_factory=Holds)  # standing still or cut off
    blind_until: int = 0
    pressure: deque[tuple[int, str, int]] = field(default_factory=deque)  # (at, balancer, work in us)
    events: deque[WireEvent] = field(default_factory=tail)

    def see(self, event: NodeState) -> None:
        if event.state in BEGINS:
            self.held.begin(event.state, event.at)
        elif event.state in ENDS:
            held_us = self.held.end(ENDS[event.state], event.at)
            late_us = held_us + FIRST_RETRY_US if event.state == "healed" else 0
            self.blind_until = max(self.blind_until, event.at + max(BLIND_US, late_us))

    def blind_at(self, at: int) -> bool:
        """What comes now may have been written long before, so its time proves nothing."""
        return bool(self.held.reasons) or at < self.blind_until
