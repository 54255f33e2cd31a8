"""Who is there, as one balancer finds out: SWIM with suspicion, and doubts about itself first (Lifeguard).

Each period a process probes one other, in a round whose order is drawn; rumours ride on what is sent anyway.
How another stands, as one table, each line with its reason:

    from      what happens                           to        reason
    unknown   it proves that it runs, or one who is  alive     what cannot be proved may be a replay
              trusted tells of it
    alive     neither it nor one of RELAYS asked     suspect   datagrams get lost: it may still refute, and is
              has answered for two periods                     told of the doubt with each further ping
    suspect   it says so under a higher incarnation  alive     only it can raise its own
    suspect   another doubts it, of itself           (sooner)  CONFIRM doubts, found apart, are no accident
    suspect   its time is up, or another's is        dead      the time grows with the logarithm of members,
                                                               as rumours' way does
    alive     another says that it is dead           suspect   one who is wrong, or was cut off, shall bury
                                                               nobody for the others: it can still refute
    any there it says itself that it leaves          left      nobody need find out
    dead      it says so under a higher incarnation  alive     a split has healed, or a process slept
    any       a higher life                          alive     a restart, noticed or not
    gone      GONE_KEEP_US pass                      unknown   memory is bounded; seeds are asked for ever

How this process stands with itself:

    from      what happens                           to        reason
    steady    a tick comes LATE_US late              doubtful  it was stopped, or starved: who did not answer
                                                               *it* may well have answered
    steady    a probe fails, relays say nothing      (health)  each point makes its periods longer by one
              either, or others doubt it
    steady    all probes of a period fail            (width)   twice as many in the next: a hall is gone, or
                                                               its own link; one by one would take minutes
    steady    nothing at all comes for CUT_US, two   cut off   it cannot be that all others died at once: it
              periods of probes and more among it              says so at once, and accuses nobody
    cut off   one who is trusted is heard            steady    the others are there; whoever it suspected gets
                                                               the lost time back
    doubtful  VOUCH others answer pings sent since   steady    its own link and loop work
    doubtful  DOUBT_MOST_US pass                     steady    nobody is there, as far as it can tell

While doubtful or cut off it suspects nobody and buries nobody.  With fewer than two others there it cannot
tell: it buries the one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from math import log, log10
from random import Random

from . import messages as say
from .events import (
    LIFE_SHIFT,
    Action,
    Cause,
    Changed,
    CutOff,
    Distrust,
    Doubted,
    Event,
    Joined,
    Leave,
    Left,
    Member,
    News,
    Odd,
    Received,
    Send,
    Start,
    State,
    Suspected,
    Tell,
    Tick,
    Trust,
    WakeAt,
    life_of,
)
from .pings import ANSWER_US, PERIOD_US, Pings, Probe
from .rumours import Rumours, times_told
from .self_doubt import LATE_US, SelfDoubt
from .view import MEMBERS_MOST, Entry, View

TICK_US = 100_000
RELAYS, AGAIN = 3, 2  # so many, and so often: with 30% lost, 3% of periods fail
RELAYS_SECOND = 8  # of the second period in a row: then 0.2% of these, and few doubts go round
GOSSIP_TICKS, GOSSIP_TO = 2, 3  # rumours go so often, in ticks, to so many
SUSPECT_LEAST, SUSPECT_MOST = 1.5, 6.0  # periods for each tenfold of members, with CONFIRM doubts and none
CONFIRM = 3
WIDTH_MOST = 8  # probes of one period
CUT_US = 3_000_000  # hearing nobody for so long; with 30% lost something comes each 0.3 s
PULL_US, PULL_FAST_US = 2_000_000, 150_000  # between two pulls; the same with a tenth of members missing
PAGES = 3  # datagrams that answer a pull
PULLS_A_SECOND = 50  # answered
CALL_US = 3_000_000  # between calls to one of the dead, and to a seed that is nobody known
CALL_ALONE_US = 500_000  # to seeds, with nobody known
CLIMB_US = 1_000_000  # between two lives that this process takes: another may have its name
ROOM = 1_050  # bytes of one item


class Members:
    """Decides for one balancer: `handle(now, event) -> actions`.

    `me` has its first incarnation; `seeds` are addresses to begin with; chance comes from `random` alone.
    """

    def __init__(
        self, me: Member, seeds: Sequence[tuple[str, int]], random: Random, most: int = MEMBERS_MOST
    ) -> None:
        self.me, self.seeds, self._random = me, list(seeds), random
        self.view, self.rumours = View(random, most), Rumours()
        self.doubt, self._pings = SelfDoubt(), Pings(random)
        self._out: list[Action] = []
        self._record = say.record(me)
        self._next_us = self._ticks = self._climbed_us = 0
        self._probes: dict[int, Probe] = {}  # those of this period, by number
        self._width = 1
        self._heard_us = self._unheard = 0  # when anybody was last heard; periods since then
        self.cut_off = False
        self._probe_us = self._pull_us = self._call_dead_us = self._call_seed_us = 0
        self._order: list[str] = []
        self._suspects: dict[str, Entry] = {}
        self._pulls_room = float(PULLS_A_SECOND)
        self.left = False

    def handle(self, now: int, event: Event) -> list[Action]:
        out: list[Action] = []
        self._out = out
        if isinstance(event, Start):
            self.view.put(now, self.me)
            self._rumour(self.me)
            self._next_us = self._heard_us = now
            self._probe_us = now + int(self._random.random() * PERIOD_US)
            self._tick(now)
        else:
            self._notice_lateness(now)
            if isinstance(event, Tick):
                if now >= self._next_us:
                    self._tick(now)
                elif not self.left:
                    out.append(WakeAt(self._next_us))
            elif isinstance(event, Received):
                self._received(now, event)
            elif isinstance(event, Leave):
                self._leave(now)
        return out

    # This process itself

    def _notice_lateness(self, now: int) -> None:
        late = now - self._next_us
        if late < LATE_US or self.left:
            return
        self.doubt.begin(now, late)
        self._probes.clear()
        self._pings.clear()
        self._give_back(late)
        self._heard_us = max(self._heard_us, now - CUT_US // 2)  # what came is still in the queue
        self._out.append(Tell(Doubted(late)))
        self._next_us = now  # the tick that is due shall not be late a second time
        self._vouch_round(now)

    def _give_back(self, lost_us: int) -> None:
        """To whoever is suspected: nothing could be heard of it for so long."""
        for entry in self._suspects.values():
            entry.suspected_us += lost_us
            entry.due_us += lost_us

    def _hears(self, now: int) -> None:
        """One who is trusted was heard."""
        if self.cut_off:
            self.cut_off = False
            self._give_back(now - self._heard_us)
            self._tell(CutOff(False, now - self._heard_us))
        self._heard_us, self._unheard = now, 0

    def _listen(self, now: int) -> None:
        if (
            not self.cut_off
            and self._unheard >= 2
            and now - self._heard_us >= CUT_US
            and not self.doubt.doubtful
            and len(self.view) > 2
        ):
            self.cut_off = True
            self._tell(CutOff(True, now - self._heard_us))

    def _vouch_round(self, now: int) -> None:
        for member in self.view.some(RELAYS, {self.me.name}):
            self._ping(now, member)

    def _take(self, now: int, incarnation: int) -> None:
        """Be this from now on, and tell it."""
        restarted = life_of(incarnation) != self.me.life
        self.me = replace(self.me, incarnation=incarnation)
        self.view.put(now, self.me)
        self._rumour(self.me)
        if restarted:
            self._tell(Changed(self.me, True))

    def _told_of_me(self, now: int, member: Member) -> None:
        """Others hold this of this process."""
        mine, theirs = self.me.incarnation, member.incarnation
        if self.left or theirs < mine or theirs == mine and member.state is State.ALIVE:
            return
        if member.life > self.me.life:  # our clock was set back; or another has our name
            self._out.append(Odd("elder"))
            if now - self._climbed_us >= CLIMB_US:
                self._climbed_us = now
                self._take(now, member.life + 1 << LIFE_SHIFT)
        else:
            self._out.append(Odd("refuted"))
            self.doubt.ail(1)
            self._take(now, theirs + 1)

    def _leave(self, now: int) -> None:
        self.left = True
        self.me = replace(self.me, state=State.LEFT)
        farewell = say.update(self.me)
        for member in self.view.some(2 * GOSSIP_TO, {self.me.name}):
            self._send(member, farewell)
        self.view.put(now, self.me)

    # Time

    def _tick(self, now: int) -> None:
        if self.left:
            return
        self._ticks += 1
        self._next_us = now + TICK_US
        self._pulls_room = min(PULLS_A_SECOND, self._pulls_room + PULLS_A_SECOND * TICK_US / 1e6)
        self._listen(now)
        if not self.doubt.doubtful:
            if not self.cut_off:
                self._bury(now)
        elif self._ticks % 5 == 0:
            self._vouch_round(now)
        self.doubt.pass_time(now)
        for origin, number in self._pings.unanswered(now):
            self._send(origin, say.numbered(say.NACK, number))
        self._probing(now)
        if self._ticks % GOSSIP_TICKS == 0 and len(self.rumours):
            for member in self.view.some(GOSSIP_TO, {self.me.name}):
                self._send(member)
        self._call(now)
        if self._ticks % 50 == 0:
            self.view.forget(now)
        self._out.append(WakeAt(self._next_us))

    def _bury(self, now: int) -> None:
        for entry in [entry for entry in self._suspects.values() if now >= entry.due_us]:
            self._apply(now, replace(entry.member, state=State.DEAD), self.me.name)

    def _probing(self, now: int) -> None:
        wait_us = ANSWER_US * self.doubt.slower
        for probe in self._probes.values():
            if probe.again < AGAIN and now >= probe.asked_us + wait_us * (probe.again + 1):
                probe.again += 1
                self._ask_others(probe)
        if now >= self._probe_us:
            self._next_period(now)

    def _next_period(self, now: int) -> None:
        failed, self._probes = list(self._probes.values()), {}
        self._unheard += 1
        again = [member for probe in failed if (member := self._failed(now, probe)) is not None]
        if sum(not probe.second for probe in failed) == self._width:
            self._width = min(WIDTH_MOST, 2 * self._width, max(1, len(self.view) - 1))
        else:
            self._width = 1
        self._probe_us = now + PERIOD_US * self.doubt.slower
        for member in again:
            self._begin_probe(now, member, True)
        for _ in range(self._width):
            if (next_one := self._next_in_round()) is not None:
                self._begin_probe(now, next_one, False)
        for entry in [entry for entry in self._suspects.values() if self.me.name in entry.suspecters][:4]:
            self._ping(now, entry.member)  # it shall know, and refute

    def _begin_probe(self, now: int, member: Member, second: bool) -> None:
        number = self._ping(now, member)
        self._probes[number] = Probe(member.name, number, now, second)

    def _ask_others(self, probe: Probe) -> None:
        entry = self.view.entries.get(probe.name)
        if entry is not None and entry.there:
            self._send(entry.member, say.numbered(say.PING, probe.number))
            for relay in self._relays(probe.name, RELAYS_SECOND if probe.second else RELAYS):
                self._send(relay, say.ask(probe.number, entry.member))

    def _relays(self, but: str, count: int) -> list[Member]:
        """Of some that are drawn, those heard last and not doubted."""
        drawn = self.view.some(2 * count, {self.me.name, but})
        drawn.sort(key=lambda member: (member.state, -self.view.entries[member.name].heard_us))
        return drawn[:count]

    def _next_in_round(self) -> Member | None:
        for _ in range(2):
            while self._order:
                entry = self.view.entries.get(self._order.pop())
                if entry is not None and entry.there and entry.member.name != self.me.name:
                    return entry.member
            self._order = self.view.names_there()
            self._random.shuffle(self._order)
        return None

    def _failed(self, now: int, probe: Probe) -> Member | None:
        """Doubt it; or, the first time, give whom to probe once more."""
        self._out.append(Odd("probe_failed"))
        # Relays that are there say at least that they tried: if none does, it may well be our own link.
        if not probe.nacks:
            self.doubt.ail(1)
        entry = self.view.entries.get(probe.name)
        if entry is None or not entry.there or self.doubt.doubtful or self.cut_off:
            return None
        if entry.member.state is State.SUSPECT:
            self._confirmed(now, entry, self.me.name)
        elif not probe.second:
            return entry.member
        else:
            self._apply(now, replace(entry.member, state=State.SUSPECT), self.me.name)
        return None

    def _call(self, now: int) -> None:
        """Those whom nobody probes: one of the dead, and seeds that are nobody known."""
        if now >= self._call_dead_us and (silent := self.view.one_silent()) is not None:
            self._call_dead_us = now + CALL_US
            self._ping(now, silent)
        alone = len(self.view) <= 1
        if now >= self._call_seed_us and self.seeds:
            self._call_seed_us = now + (CALL_ALONE_US if alone else CALL_US)
            for host, port in self.seeds if alone else [self._random.choice(self.seeds)]:
                known = any(
                    entry.there and (entry.member.host, entry.member.port) == (host, port)
                    for entry in self.view
                )
                if not known:
                    self._ping(now, Member("", host, port, "", 0))

    # What is sent

    def _ping(self, now: int, member: Member, *parts: bytes) -> int:
        number = self._pings.begin(now, member)
        self._send(member, *parts, say.numbered(say.PING, number))
        return number

    def _send(self, to: Member, *parts: bytes) -> None:
        """These messages, what its receiver should know of itself, and rumours as far as there is room."""
        head = self._record + say.digest(len(self.view), self.view.digest)
        body = [head, *parts]
        entry = self.view.entries.get(to.name)
        if entry is not None and (not entry.there or entry.suspecters):
            body.append(say.update(entry.member, *entry.suspecters[:1]))
        room = ROOM - sum(map(len, body))
        body += self.rumours.take(room, times_told(len(self.view)))
        self._out.append(Send(to.host, to.port, b"".join(body)))

    def _rumour(self, member: Member, by: str = "") -> None:
        self.rumours.add(member.name, say.update(member, by))

    def _tell(self, news: News) -> None:
        self._out.append(Tell(news))

    # What is heard

    def _received(self, now: int, event: Received) -> None:
        if self.left:
            return
        entry = self.view.entries.get(event.sender)
        if entry is not None and event.trusted:
            entry.heard_us = now
        if not event.payload:
            return
        try:
            said = say.read(event.payload)
        except say.Garbled:
            self._out.append(Odd("garbled"))
            return
        sender = Member(event.sender, said.host, said.port, said.hall, event.incarnation)
        if sender.name == self.me.name:
            self._told_of_me(now, sender)
            return
        trusted = event.trusted
        for message in said.messages:  # an answer to our own number was made just now
            if isinstance(message, say.Numbered) and message.what == say.ACK:
                trusted = self._acked(now, sender, message.number) or trusted
        if not trusted:
            self._stranger(now, sender, said)
            return
        if not event.trusted:
            self._out.append(Trust(sender.name, sender.life))
        self._hears(now)
        self._learn(now, sender, "")
        if (entry := self.view.entries.get(sender.name)) is not None:
            entry.heard_us = now
        for message in said.messages:
            if isinstance(message, say.Update):
                self._learn(now, message.member, message.by or sender.name)
            elif isinstance(message, say.Ask):
                self._asked_for(now, sender, message)
            elif isinstance(message, say.Pull):
                self._pulled(sender, message)
            elif message.what == say.PING:
                self._send(sender, say.numbered(say.ACK, message.number))
            elif message.what == say.NACK and message.number in self._probes:
                self._probes[message.number].nacks += 1
        self._warn(now, sender.name)
        self._compare(now, sender, said)

    def _warn(self, now: int, name: str) -> None:
        """One who lives and is thought not to shall know, and refute; told at each of its answers, one who
        cannot would be asked as fast as the network carries it."""
        entry = self.view.entries.get(name)
        if entry is not None and entry.member.state is not State.ALIVE and now - entry.warned_us >= ANSWER_US:
            entry.warned_us = now
            self._ping(now, entry.member)

    def _stranger(self, now: int, sender: Member, said: say.Said) -> None:
        """Nothing it says counts yet: its pings are answered, it is asked, and told what we hold of it."""
        self._out.append(Odd("unproved"))
        answers = [
            say.numbered(say.ACK, message.number)
            for message in said.messages
            if isinstance(message, say.Numbered) and message.what == say.PING
        ][:1]
        entry = self.view.entries.get(sender.name)
        if entry is not None and entry.member.incarnation > sender.incarnation:
            answers.append(say.update(entry.member))
        if not self._pings.lately(now, sender.name):
            self._ping(now, sender, *answers)  # in one: overtaken, the earlier one would be past
        elif answers:
            self._send(sender, *answers)

    def _acked(self, now: int, sender: Member, number: int) -> bool:
        """Has it answered a number of ours?  A relay may, in another's place."""
        ping = self._pings.answered(number)
        if ping is None:
            return False
        if self._probes.pop(number, None) is not None:
            self.doubt.ail(-1)
        if ping.origin is not None and (ping.host, ping.port) == (sender.host, sender.port):
            self._send(ping.origin, say.numbered(say.ACK, ping.origin_number))
        self.doubt.vouch(sender.name, len(self.view) - 1)
        return True

    def _asked_for(self, now: int, origin: Member, message: say.Ask) -> None:
        number = self._pings.for_another(now, origin, message.number, message.host, message.port)
        self._send(Member("", message.host, message.port, "", 0), say.numbered(say.PING, number))

    def _learn(self, now: int, member: Member, by: str) -> None:
        """What one who is trusted says of a member: at equal incarnations, the worse holds."""
        if member.name == self.me.name:
            self._told_of_me(now, member)
            return
        entry = self.view.entries.get(member.name)
        if entry is not None:
            held = entry.member
            if member.incarnation < held.incarnation:
                return
            if member.state is State.DEAD and held.state is State.ALIVE:
                member = replace(member, state=State.SUSPECT)
            if member.incarnation == held.incarnation and member.state <= held.state:
                if member.state is held.state is State.SUSPECT:
                    self._confirmed(now, entry, by)
                return
        elif member.state <= State.SUSPECT and self.view.full:
            self._out.append(Odd("crowded"))
            return
        self._apply(now, member, by)

    def _apply(self, now: int, member: Member, by: str) -> None:
        """It is so from now on: kept, passed on, told."""
        entry = self.view.entries.get(member.name)
        was = entry.member if entry is not None else None
        was_there = was is not None and was.state <= State.SUSPECT
        entry = self.view.put(now, member)
        entry.suspecters = ()
        self._suspects.pop(member.name, None)
        if was is None and not entry.there:
            return  # remembered, so that no late rumour brings it back
        self._rumour(member, by)
        if not entry.there:
            self._out.append(Distrust(member.name))
            if was_there:
                self._tell(Left(member, Cause.LEFT if member.state is State.LEFT else Cause.SILENT))
            return
        self._out.append(Trust(member.name, member.life))
        restarted = was is not None and was.life != member.life
        if not was_there:
            self._tell(Joined(member))
            self._order.insert(self._random.randint(0, len(self._order)), member.name)
        elif restarted or member.state is State.ALIVE:
            self._tell(Changed(member, restarted))
        if member.state is State.SUSPECT:
            entry.suspected_us = now
            self._suspects[member.name] = entry
            self._confirmed(now, entry, by)
            self._tell(Suspected(member, by))

    def _confirmed(self, now: int, entry: Entry, by: str) -> None:
        """One more doubts it: the more do of themselves, the less time it has."""
        if by in entry.suspecters or len(entry.suspecters) > CONFIRM:
            return
        entry.suspecters += (by,)
        tenfolds = max(1.0, log10(len(self.view)))
        least, most = SUSPECT_LEAST * tenfolds, SUSPECT_MOST * tenfolds
        apart, enough = len(entry.suspecters) - 1, max(1, min(CONFIRM, len(self.view) - 2))
        periods = max(least, most - (most - least) * log(apart + 1) / log(enough + 1))
        entry.due_us = entry.suspected_us + int(periods * PERIOD_US)
        if apart:
            self._rumour(entry.member, by)

    # Views that differ

    def _compare(self, now: int, sender: Member, said: say.Said) -> None:
        if said.digest == self.view.digest:
            return
        missing = said.count - len(self.view) > max(1, len(self.view) // 10)
        if now - self._pull_us >= (PULL_FAST_US if missing else PULL_US):
            self._pull_us = now
            self._send(sender, say.pull(self.view.buckets))

    def _pulled(self, sender: Member, message: say.Pull) -> None:
        """Answer with what differs, as far as it fits; what does not, the next pull gets."""
        if self._pulls_room < 1:
            self._out.append(Odd("pull_refused"))
            return
        self._pulls_room -= 1
        page, size, pages = [b""], 0, 0
        head = len(self._record) + 10
        for entry in self.view.differing(message.buckets):
            part = say.update(entry.member, *entry.suspecters[:1])
            if head + size + len(part) > ROOM:
                self._send(sender, *page)
                page, size, pages = [b""], 0, pages + 1
                if pages == PAGES:
                    return
            page.append(part)
            size += len(part)
        if size:
            self._send(sender, *page)
