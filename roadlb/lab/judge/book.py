"""What the judge keeps about requests, balancers and nodes while something can still go wrong with them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..wire import BalancerState, ClientGot, ClientLost, ClientSent, NodeGave, NodeGot, NodeState, WireEvent

TAIL = 24           # events kept of one request, node or balancer; a request has 5 at best and 20 at worst
# Answers that are good, the last four with more than belongs to them; any other kind is of no use.
SOUND = frozenset({"ok", "copy behind", "noise behind", "report unreadable", "interim first"})
REFUSALS = frozenset({429, 503})
NEVER = 1 << 62
BLIND_US = 1_000_000        # after a pause or a cut, what was written long before still arrives


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
    limit_at: int                               # an answer after it is none
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
class Balancer:
    """A balancer's process, and what excuses it for not answering."""

    started_at: int = 0
    reloaded_at: int = -1
    terminated_at: int = -1                     # SIGTERM to the present process
    terminated_before_at: int = -1              # and to the one before it
    gone: tuple[int, int] = (NEVER, NEVER)      # from its last end in order to the next start
    held: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=TAIL))
    events: deque[WireEvent] = field(default_factory=tail)

    def see(self, event: BalancerState) -> bool:
        """Note a state; False where the process ended and nobody had asked it to."""
        self.events.append(event)
        asked = True
        if event.state in ("killed", "paused", "cut"):
            self.hold(event.at)
        elif event.state in ("resumed", "healed"):
            self._release(event.at)
        elif event.state == "reset":
            self.held.append((event.at, event.at))
        elif event.state == "terminated":
            self.terminated_at = event.at
        elif event.state == "reloaded":
            self.reloaded_at = event.at
        elif event.state == "ended":
            asked = self.terminated_at >= 0 or (bool(self.held) and self.held[-1][1] == NEVER)
            self.gone = (event.at, NEVER)
        elif event.state == "started":
            self._release(event.at)
            self.gone = (self.gone[0], min(event.at, self.gone[1]))
            self.terminated_before_at, self.terminated_at = self.terminated_at, -1
            self.started_at = event.at
        return asked

    def hold(self, at: int) -> None:
        """It is killed, stands still or is cut off from its clients from now on."""
        if not self.held or self.held[-1][1] != NEVER:
            self.held.append((at, NEVER))

    def _release(self, at: int) -> None:
        if self.held and self.held[-1][1] == NEVER:
            self.held[-1] = (self.held[-1][0], at)

    def excuses(self, sent_at: int, ended_at: int, term_grace_us: int) -> bool:
        """Whether a request sent and ended then met a balancer that could not answer, by no fault of its own.

        One that was told to end could: from some time after SIGTERM on it should have taken nothing more.
        """
        if self.gone[0] <= sent_at < self.gone[1]:
            return True                         # on a connection whose end the client had not seen yet
        if not any(since <= ended_at and sent_at <= until for since, until in self.held):
            return False
        told = self.terminated_at if sent_at >= self.started_at else self.terminated_before_at
        return told < 0 or sent_at <= told + term_grace_us


@dataclass(slots=True)
class Node:
    """One start of a node."""

    cold_at: int | None = None                  # when it started cold; None: it has long been running
    hall: str = ""
    held: bool = False                          # standing still or cut off
    held_at: int = -BLIND_US                    # the last moment at which it was
    pressure: deque[tuple[int, str, int]] = field(default_factory=deque)    # (at, balancer, work in us)
    events: deque[WireEvent] = field(default_factory=tail)

    def see(self, event: NodeState) -> None:
        if event.state in ("paused", "cut"):
            self.held, self.held_at = True, event.at
        elif event.state in ("resumed", "healed"):
            self.held, self.held_at = False, event.at

    def blind_at(self, at: int) -> bool:
        """What comes now may have been written long before, so its time proves nothing."""
        return self.held or at - self.held_at < BLIND_US
