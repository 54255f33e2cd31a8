"""The inside of one grid node: who waits, who is in work, what that costs, and how it fails.

    arrives --> [held: its connection's handshake] --> [waits: room] --> [in work: slots] --> answered
        \\______________ turned away: draining, overdue, room full, too many connections

Requests in work share the cores (`machine`), and so do new connections and shallow probes, which need no
slot.  Whatever falls due between two events is done in the order of its times, however late the second one
comes: a loop that lags tells of things late, but does not slow the machine.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from random import Random
from typing import Any

from .cache import KeyCache
from .events import (
    Action,
    Ail,
    Answer,
    Began,
    Connected,
    Disconnected,
    Drain,
    Event,
    Fell,
    Load,
    Pause,
    Probe,
    ProbeAnswer,
    Request,
    Resume,
    Slow,
    Stop,
    Tick,
    WakeAt,
    Withdrawn,
)
from .jobs import Connection, Job, Kind
from .machine import UNIT, Machine
from .pressure import Pressure
from .report import Reporter
from .spec import NodeSpec
from .warmth import Warmth

PROBE_WINDOW_US = 1_000_000


class NodeModel:
    """A decider: `handle(now, event) -> actions`; `now` in integer microseconds, never smaller than before.

    It is born with its process, at `now`; `warm` is one that has long been running.
    """

    def __init__(self, spec: NodeSpec, rng: Random, now: int, warm: bool = False) -> None:
        self.spec, self._rng, self._now = spec, rng, now
        self.alive, self.draining, self.paused = True, False, False
        self._slow, self._cold = 1.0, not warm
        self._ail = Ail(spec.error_share, spec.spoilt_share, spec.spoilt_kinds)
        self._machine = Machine(spec.cores, now)
        self._warmth = Warmth(spec.cold_share, 0 if warm else spec.warm_us, spec.warm_work_us, now)
        self._cache = KeyCache(spec.cache_keys, spec.cache_us)
        self._pressure = Pressure(spec.fall_multiple, spec.fall_us, spec.fall_slack_us)
        self._reporter = Reporter(spec.report_period_us, spec.report_delay_us, spec.report_noise, rng, now)
        self._connections: dict[int, Connection] = {}
        self._open = 0  # of these, those that are not one too many
        self._waiting: dict[int, Job] = {}  # by connection, in order of arrival
        self._jobs: dict[int, Job] = {}  # in work, by number
        self._numbers, self._in_slots, self._done_us = 0, 0, 0
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._timer_numbers = 0
        self._probes: list[int] = []  # times of the last second's
        self._unread: list[tuple[int, Event]] = []  # came in a pause
        self._told: int | None = None  # by WakeAt
        self._out: list[Action] = []
        self._reactions: dict[type, Callable[[Any], None]] = {
            Connected: self._connected,
            Disconnected: self._disconnected,
            Request: self._request,
            Withdrawn: self._withdrawn,
            Probe: self._probe,
            Tick: self._tick,
            Drain: self._drain,
            Pause: self._pause,
            Resume: self._resume,
            Slow: self._slowed,
            Ail: self._ailed,
            Stop: self._stop,
        }
        self._retune()

    # What can be seen from outside, for reports of the rehearsal and for tests.

    @property
    def running(self) -> int:
        """Requests in work."""
        return self._in_slots

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Has it finished all that it had?"""
        return not (
            self._in_slots or self._waiting or self._unread or any(c.job for c in self._connections.values())
        )

    def capacity(self, now: int) -> float:
        """What it can do at this time, in seconds of standard work a second: its size times its warmth."""
        return self.spec.capacity * self._warmth.share(now, self._done_us)

    # Events

    def handle(self, now: int, event: Event) -> list[Action]:
        if not self.alive:
            return []
        out = self._out = []
        if now < self._now:
            now = self._now
        if self.paused:
            self._now = now
        else:
            self._advance(now)
        self._reactions[type(event)](event)
        self._retune()
        at = self.wake_at
        if at is not None and at != self._told:
            self._told = at
            out.append(WakeAt(at))
        return out

    @property
    def wake_at(self) -> int | None:
        """When something next happens by itself; what the last `WakeAt` said, if nothing has come between."""
        return self._next() if self.alive else None

    def _advance(self, now: int) -> None:
        """Do what falls due until `now`, in order."""
        while (at := self._next()) is not None and at <= now:
            self._pass_time(at)
            while (number := self._machine.ended()) is not None:
                self._ended(number)
            while self._timers and self._timers[0][0] <= at:
                heappop(self._timers)[2]()
            self._retune()
        self._pass_time(now)

    def _pass_time(self, now: int) -> None:
        self._reporter.look(now, len(self._waiting))
        self._machine.run(now)
        self._now = now

    def _next(self) -> int | None:
        if self.paused:
            return None
        at = self._machine.next_end()
        if self._cold and self._jobs:
            step = self._warmth.next_step(self._now)
            if step is None:
                self._cold = False
            elif at is None or step < at:
                at = step
        if self._timers and (at is None or self._timers[0][0] < at):
            at = self._timers[0][0]
        return at

    def _retune(self) -> None:
        """Set what a core does now, after anything that bears on it may have changed."""
        spec = self.spec
        rate = spec.speed * self._slow
        if self._cold:
            rate *= self._warmth.share(self._now, self._done_us)
        if spec.table_tax:
            rate *= 1 - spec.table_tax * self._open / spec.connections
        excess = (self._in_slots + len(self._waiting)) / spec.cores - spec.choke_at
        if excess > 0:
            rate /= 1 + spec.choke * excess
        self._machine.set_rate(int(rate * UNIT))

    def _at(self, at: int, action: Callable[[], None]) -> None:
        self._timer_numbers += 1
        heappush(self._timers, (at, self._timer_numbers, action))

    def _tick(self, event: Tick) -> None:
        if self._told is not None and self._now >= self._told:
            self._told = None

    # Connections

    def _connected(self, event: Connected) -> None:
        spec, id = self.spec, event.connection
        over = self._open >= spec.connections
        connection = self._connections[id] = Connection(over, ready=over)
        if over:
            return
        self._open += 1
        if spec.connection_work_us:
            self._start(Job(Kind.HANDSHAKE, id), spec.connection_work_us)
        else:
            self._shaken(connection)

    def _shaken(self, connection: Connection) -> None:
        """The machine's part of a handshake is done; its round trips may still take time."""
        if self.spec.connection_wait_us:
            self._at(self._now + self.spec.connection_wait_us, lambda: self._ready(connection))
        else:
            self._ready(connection)

    def _ready(self, connection: Connection) -> None:
        connection.ready = True
        if connection.job:
            self._admit(connection, connection.job)

    def _disconnected(self, event: Disconnected) -> None:
        self._withdrawn(Withdrawn(event.connection))
        connection = self._connections.pop(event.connection, None)
        if connection and not connection.over:
            self._open -= 1

    # Requests

    def _request(self, event: Request, came: int | None = None) -> None:
        at = self._now if came is None else came
        if self.spec.falls and (share := self._warmth.share(at, self._done_us)) < 1:
            work_us = min(event.work_us, self.spec.fall_each_us or event.work_us)
            if too_much := self._pressure.add(at, work_us, self.spec.capacity * share):
                self.alive = False
                self._out.append(Fell(*too_much))
                return
        connection = self._connections[event.connection]
        job = connection.job = Job(
            Kind.REQUEST,
            event.connection,
            event.request,
            event.work_us,
            event.key,
            at + event.left_us,
            slot=True,
        )
        if connection.ready:
            self._admit(connection, job)

    def _admit(self, connection: Connection, job: Job) -> None:
        """Its connection is ready for it: let it in, or turn it away unseen."""
        if connection.over or self.draining:
            self._turn_away(job, 503, closes=connection.over)
        elif not job.slot:
            self._start(job, self.spec.probe_work_us)
        elif job.until <= self._now:
            self._turn_away(job, 504)
        elif self._in_slots < self.spec.slots:
            self._begin(job)
        elif len(self._waiting) < self.spec.room:
            self._waiting[job.connection] = job
        else:
            self._turn_away(job, 503)

    def _turn_away(self, job: Job, status: int, closes: bool = False) -> None:
        self._connections[job.connection].job = None
        if job.kind is Kind.PROBE:
            self._out.append(ProbeAnswer(job.connection, 503, self._load()))
        else:
            self._out.append(
                Answer(job.connection, job.request, status, "unprocessed", self._load(), closes=closes)
            )

    def _begin(self, job: Job) -> None:
        """Into a slot.  Of a request, this is where its effect may begin."""
        self._in_slots += 1
        work = float(job.work_us)
        if job.kind is Kind.REQUEST:
            hit = self._cache.knows(self._now, job.key)
            self._out.append(Began(job.connection, job.request, hit))
            if self.spec.work_noise:
                variance = math.log1p(self.spec.work_noise**2)
                work *= math.exp(self._rng.gauss(0, math.sqrt(variance)) - variance / 2)
            if hit:
                work *= 1 - self.spec.cache_gain
        job.work_us = round(work)
        self._start(job, job.work_us)
        if self.spec.stops_running and job.kind is Kind.REQUEST:
            number = job.number
            self._at(job.until, lambda: self._overdue(number))

    def _start(self, job: Job, work_us: int) -> None:
        self._numbers += 1
        job.number = self._numbers
        self._jobs[job.number] = job
        self._machine.begin(job.number, work_us)

    def _overdue(self, number: int) -> None:
        """Running work whose caller's time is up stops; it may have had its effect."""
        job = self._jobs.get(number)
        if job is None:
            return
        self._halt(job)
        if job.wanted:
            self._connections[job.connection].job = None
            self._out.append(Answer(job.connection, job.request, 500, "error", self._load()))
        self._fill()

    def _halt(self, job: Job) -> None:
        self._machine.drop(job.number)
        del self._jobs[job.number]
        self._in_slots -= 1

    def _ended(self, number: int) -> None:
        """A job's work is done."""
        job = self._jobs.pop(number)
        connection = self._connections.get(job.connection)
        if job.kind is Kind.HANDSHAKE:
            if connection:
                self._shaken(connection)
            return
        if job.slot:
            self._in_slots -= 1
            self._done_us += job.work_us
        if job.kind is Kind.REQUEST:
            self._cache.meet(self._now, job.key)
        if job.wanted and connection:
            connection.job = None
            self._out.append(
                ProbeAnswer(job.connection, 200, self._load())
                if job.kind is Kind.PROBE
                else self._answer(job)
            )
        self._fill()

    def _answer(self, job: Job) -> Answer:
        ail = self._ail
        if ail.error_share and self._rng.random() < ail.error_share:
            self._reporter.error(self._now)
            return Answer(job.connection, job.request, 500, "error", self._load())
        if ail.spoilt_share and self._rng.random() < ail.spoilt_share:
            spoil = self._rng.choice(ail.spoilt_kinds)
            kind = "ok" if spoil.usable else spoil.value
            return Answer(job.connection, job.request, 200, kind, self._load(), spoil)
        return Answer(job.connection, job.request, 200, "ok", self._load())

    def _fill(self) -> None:
        """Take from those who wait while there are slots; the overdue are dropped unrun."""
        while self._waiting and self._in_slots < self.spec.slots:
            job = self._waiting.pop(next(iter(self._waiting)))
            if job.until <= self._now:
                self._turn_away(job, 504)
            else:
                self._begin(job)

    def _withdrawn(self, event: Withdrawn) -> None:
        """Waiting work is dropped; work that runs stops or goes on, by the spec."""
        connection = self._connections.get(event.connection)
        if connection is None or connection.job is None:
            return
        job, connection.job = connection.job, None
        self._waiting.pop(event.connection, None)
        if job.number:
            job.wanted = False
            if self.spec.stops_running and job.slot:
                self._halt(job)
                self._fill()

    # Probes and reports

    def _probe(self, event: Probe) -> None:
        connection = self._connections[event.connection]
        job = connection.job = Job(
            Kind.PROBE,
            event.connection,
            work_us=self.spec.probe_work_us,
            until=self._now + 60_000_000,
            slot=self.spec.probe_deep,
        )
        self._probes = [at for at in self._probes if self._now - at < PROBE_WINDOW_US]
        self._probes.append(self._now)
        if len(self._probes) > self.spec.probes_per_s:
            self._probes.pop()
            self._turn_away(job, 503)
        elif connection.ready:
            self._admit(connection, job)

    def _load(self) -> Load | None:
        return self._reporter.present(self._now, len(self._waiting)) if self.spec.reports else None

    # Its life

    def _drain(self, event: Drain) -> None:
        self.draining = True

    def _slowed(self, event: Slow) -> None:
        self._slow = event.factor

    def _ailed(self, event: Ail) -> None:
        self._ail = event

    def _stop(self, event: Stop) -> None:
        self.alive = False

    def _pause(self, event: Pause) -> None:
        if self.paused:
            return
        self.paused, self._told = True, None
        for kind in (Connected, Disconnected, Request, Withdrawn, Probe, Drain):
            self._reactions[kind] = self._leave_unread

    def _leave_unread(self, event: Event) -> None:
        self._unread.append((self._now, event))

    def _resume(self, event: Resume) -> None:
        """Go on where it stopped, then read what came, as a process does that finds all its sockets ready.

        In one turn of its loop it reads each socket once: what was sent first, and only in the next turn that
        the sender has closed it.  So a request may begin whose caller gave up during the pause.
        """
        if not self.paused:
            return
        self.paused = False
        self._reactions.update(
            {
                Connected: self._connected,
                Disconnected: self._disconnected,
                Request: self._request,
                Withdrawn: self._withdrawn,
                Probe: self._probe,
                Drain: self._drain,
            }
        )
        self._machine.sleep(self._now)
        while self._timers and self._timers[0][0] <= self._now:
            heappop(self._timers)[2]()
        for job in [job for job in self._waiting.values() if job.until <= self._now]:
            del self._waiting[job.connection]
            self._turn_away(job, 504)
        unread, self._unread = self._unread, []
        ends = (Withdrawn, Disconnected)
        for at, later in [u for u in unread if not isinstance(u[1], ends)] + [
            u for u in unread if isinstance(u[1], ends)
        ]:
            if isinstance(later, Request):
                self._request(later, at)
                if not self.alive:
                    return
            else:
                self._reactions[type(later)](later)
        self._reporter.renew(self._now, len(self._waiting))
        # All these answers go out now, when everything has been read.
        self._out[:] = [
            replace(action, load=self._load()) if isinstance(action, Answer | ProbeAnswer) else action
            for action in self._out
        ]
