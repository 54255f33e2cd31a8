"""Who leads: each line of the table, and many services with bad clocks and links round one store."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

import pytest

from roadlb.control.leading import (
    Action,
    AskLease,
    Event,
    Extend,
    Failed,
    Fenced,
    Granted,
    Lead,
    Leading,
    Look,
    Overtaken,
    Raised,
    RaiseEra,
    Ran,
    Renew,
    Renewed,
    Retire,
    Revoke,
    Run,
    State,
    StepDown,
    Taken,
    Tick,
    Vacant,
    created_of,
    epoch_of,
)
from roadlb.etcd.model import Decided, Get, Put
from roadlb.issuing.keys import Keys, answer, guarded, question
from roadlb.lab.standin_etcd.events import Answer, Asked
from roadlb.lab.standin_etcd.events import Tick as StoreTick
from roadlb.lab.standin_etcd.store import Store

S = 1_000_000
KEYS = Keys("/t")


def leading(now: int = 0) -> Leading:
    """One that leads with lease 7 of 4 s, asked for at `now`, in epoch 9."""
    one = Leading(ttl_s=4)
    assert one.handle(now, Tick()) == [AskLease(4)]
    assert one.handle(now, Granted(now, 7, 4)) == [Run(7)]
    (lead,) = one.handle(now, Ran(now, created=9, lease=7, era=0))
    assert isinstance(lead, Lead) and lead.epoch == 9 and 3.4 * S < lead.until_us - now < 3.5 * S
    return one


def test_it_renews_in_good_time_and_counts_from_before_it_asked() -> None:
    one = leading()
    assert one.handle(1 * S - 1, Tick()) == [] and one.handle(1 * S, Tick()) == [Renew(7)]
    assert one.handle(2 * S, Tick()) == []  # it is asked once
    (extend,) = one.handle(2 * S, Renewed(1 * S, 7, 4))
    assert isinstance(extend, Extend) and 4.4 * S < extend.until_us < 4.5 * S
    assert one.handle(2 * S, Tick()) == [Renew(7)]
    assert one.handle(2 * S, Failed("silent")) == [] and one.handle(3 * S, Tick()) == [Renew(7)]
    # An older answer that is late takes nothing away.
    assert one.handle(3 * S, Renewed(0, 7, 4)) == [Extend(9, extend.until_us)]


def test_one_that_was_stopped_past_its_lease_leads_no_more_before_it_is_told_anything() -> None:
    one = leading()
    assert one.leads(3 * S) == 9 and one.leads(4 * S) is None
    assert one.handle(60 * S, Renewed(1 * S, 7, 4)) == [
        Revoke(7),
        StepDown(9, "the lease was not renewed in time", known=False),
    ]
    assert one.state is State.AWAY and one.handle(60 * S, Tick()) == [AskLease(4)]


@pytest.mark.parametrize(
    "event, state", [(Renewed(1, 7, 0), State.AWAY), (Fenced(9), State.WAITING), (Retire(), State.RETIRED)]
)
def test_it_steps_down_when_it_is_told_that_the_seat_is_gone(event: Event, state: State) -> None:
    one = leading()
    told = one.handle(2 * S, event)
    assert [type(action) for action in told if not isinstance(action, Revoke)] == [StepDown]
    assert one.state is state and one.leads(2 * S) is None


def test_a_refusal_of_an_earlier_epochs_write_means_nothing_now() -> None:
    one = leading()
    assert one.handle(2 * S, Fenced(8)) == [] and one.leads(2 * S) == 9


def test_one_that_finds_another_waits_for_the_vacancy_and_looks_now_and_then() -> None:
    one = Leading(ttl_s=4)
    one.handle(0, Tick())
    one.handle(0, Granted(0, 7, 4))
    assert one.handle(0, Ran(0, created=5, lease=6, era=1)) == [Revoke(7)]
    assert (one.state, one.holder) == (State.WAITING, epoch_of(1, 5))
    assert one.handle(2 * S - 1, Tick()) == [] and one.handle(2 * S, Tick()) == [Look()]
    assert one.handle(2 * S, Taken()) == [] and one.handle(3 * S, Tick()) == []
    assert one.handle(4 * S, Tick()) == [Look()]  # whatever became of the one before
    assert one.handle(5 * S, Vacant()) == [AskLease(4)]
    one.handle(5 * S, Failed("away"))
    assert one.handle(5 * S, Tick()) == [] and one.handle(6 * S, Tick()) == [AskLease(4)]


def test_a_seat_that_ended_after_the_store_answered_and_was_told_before_is_run_for_again() -> None:
    one = Leading(ttl_s=4)
    one.handle(0, Tick())
    assert one.handle(0, Granted(0, 7, 4)) == [Run(7)]  # carried out while another has the seat
    assert one.handle(10, Vacant()) == []
    assert one.handle(20, Ran(0, created=5, lease=6, era=0)) == [Run(7)]
    assert one.handle(30, Ran(20, created=8, lease=9, era=0)) == [Revoke(7)]  # once for each such word
    assert one.state is State.WAITING


def test_an_old_vacancy_told_late_says_nothing_of_the_seat_that_is_ours() -> None:
    one = leading()
    assert one.handle(1, Vacant()) == [] and one.holder == 9 and one.leads(1) == 9


def test_a_seat_that_was_taken_by_a_try_whose_answer_was_lost_is_known_by_its_lease() -> None:
    one = Leading(ttl_s=4)
    one.handle(0, Tick())
    one.handle(0, Granted(0, 7, 4))
    one.handle(1 * S, Failed("silent"))
    assert one.handle(2 * S, Tick()) == [Run(7)]
    (lead,) = one.handle(2 * S, Ran(2 * S, created=9, lease=7, era=0))
    assert isinstance(lead, Lead) and lead.until_us < 4 * S  # by the lease, not by the last try


def test_a_store_back_from_a_backup_costs_one_era_and_no_epoch_is_used_twice() -> None:
    one = leading()
    assert one.handle(1, Overtaken(8)) == []
    assert one.handle(1, Overtaken(9)) == [
        StepDown(9, "epoch 9 is known: the store went back"),
        RaiseEra(9, 1),
    ]
    assert one.leads(1) is None
    (lead,) = one.handle(2, Raised(1))
    assert isinstance(lead, Lead) and lead.epoch == epoch_of(1, 9) and one.leads(2) == lead.epoch
    one.handle(3, Overtaken(epoch_of(4, 100)))
    (lead,) = one.handle(4, Raised(5))
    assert isinstance(lead, Lead) and lead.epoch == epoch_of(5, 9)


def test_one_that_remembers_a_higher_epoch_does_not_lead_in_a_lower_one() -> None:
    one = Leading(ttl_s=4)
    one.handle(0, Overtaken(epoch_of(2, 50)))
    one.handle(0, Tick())
    one.handle(0, Granted(0, 7, 4))
    assert one.handle(0, Ran(0, created=9, lease=7, era=0)) == [RaiseEra(9, 3)]


def test_a_lease_that_leaves_no_time_to_renew_is_refused() -> None:
    with pytest.raises(ValueError, match="leave too little"):
        Leading(ttl_s=1, margin_us=600_000)


class World:
    """Services with clocks of their own round one store, links that delay and lose, stops, a restored store.

    `true` is microseconds of true time; each service's clock runs by its own rate from its own start.
    """

    def __init__(self, seed: int, services: int) -> None:
        self.random, self.true, self.store, self.order = Random(seed), 0, Store(), count()
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.rates = [1 + self.random.uniform(-200e-6, 200e-6) for _ in range(services)]
        self.starts = [self.random.randrange(10**12) for _ in range(services)]
        self.ones = [Leading(ttl_s=4) for _ in range(services)]
        self.stopped = [0] * services  # until then, by true time
        self.led: list[tuple[int, int]] = []  # (epoch, by whom), as it began
        self.written: list[int] = []  # guarded writes carried out: the seat's
        self.mending = self.away = self.went_back = False
        self.dead: set[int] = set()  # whose channel is, until a call has failed
        self.taken = False  # the seat, as watches were told last
        self.store_rate = 1 + self.random.uniform(-200e-6, 200e-6)
        for i in range(services):
            self.at(self.random.randrange(S), lambda i=i: self.tick(i))  # type: ignore[misc]

    def clock(self, i: int) -> int:
        return self.starts[i] + int(self.true * self.rates[i])

    def at(self, delay: int, do: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.true + delay, next(self.order), do))

    def watched(self) -> None:
        """Watches are told of the seat's end; one over a dead channel is not, nor later."""
        taken = self.store._pair(KEYS["seat"], self.store.revision) is not None
        if self.taken and not taken:
            for i in range(len(self.ones)):
                if i not in self.dead:
                    self.at(self.random.randrange(1, 20_000), lambda i=i: self.tell(i, Vacant()))  # type: ignore[misc]
        self.taken = taken

    def tick(self, i: int) -> None:
        self.store.handle(int(self.true * self.store_rate), StoreTick())
        self.watched()
        self.tell(i, Tick())
        self.at(50_000, lambda: self.tick(i))

    def tell(self, i: int, event: Event) -> None:
        if self.stopped[i] > self.true:  # it hears it when it goes on
            self.at(self.stopped[i] - self.true, lambda: self.tell(i, event))
            return
        one = self.ones[i]
        for action in one.handle(self.clock(i), event):
            self.do(i, action)
        sure = [j for j in range(len(self.ones)) if self.ones[j].leads(self.clock(j)) is not None]
        assert len(sure) <= 1, f"{sure} are both sure that they lead"
        if sure == [i] and self.random.random() < 0.5:
            epoch = one.leads(self.clock(i))
            assert epoch is not None
            self.ask(
                i, guarded(KEYS, epoch, Put(KEYS["force"], b"")), lambda done, _: self.wrote(i, epoch, done)
            )

    def wrote(self, i: int, epoch: int, done: object) -> None:
        assert isinstance(done, Decided)
        if not done.held:
            self.tell(i, Fenced(epoch))

    def do(self, i: int, action: Action) -> None:
        match action:
            case Lead(epoch):
                assert self.went_back or epoch > max(self.led, default=(0, 0))[0], "an epoch is used again"
                self.led.append((epoch, i))
            case AskLease() | Run() | Renew() | RaiseEra() | Look() | Revoke():
                epoch = self.ones[i].holder
                self.ask(
                    i,
                    question(action, KEYS, str(i)),
                    lambda reply, asked_at: self.tell(i, answer(action, asked_at, reply, epoch)),
                )

    def ask(self, i: int, request: object, then: Callable[[object, int], None]) -> None:
        asked_at, bad = self.clock(i), 0.0 if self.mending else 0.1

        def arrive() -> None:
            store, at = self.store, int(self.true * self.store_rate)
            store.handle(at, StoreTick())
            seat = store._pair(KEYS["seat"], store.revision)
            (told,) = store.handle(at, Asked(0, request))  # type: ignore[arg-type]
            if isinstance(request, type(guarded(KEYS, 1))) and isinstance(told, Answer) and request.then:
                self.carried(request, told, seat.created if seat else 0)
            self.watched()
            if self.random.random() < bad or not isinstance(told, Answer):
                self.at(S, lambda: self.failed(i, request, "silent"))
            else:
                self.at(delay(), lambda: then(told.reply, asked_at))

        def delay() -> int:
            return self.random.randrange(1, 2 * S if self.random.random() < bad else 20_000)

        if self.random.random() < bad or self.away or i in self.dead:
            self.at(S, lambda: self.failed(i, request, "lost"))
        else:
            self.at(delay(), arrive)

    def failed(self, i: int, request: object, why: str) -> None:
        self.dead.discard(i)  # its channel is left
        if not isinstance(request, Get):  # a look at the seat
            self.tell(i, Failed(why))

    def carried(self, request: object, told: Answer, created: int) -> None:
        """A write of version state was carried out under the seat as it then was."""
        then = request.then  # type: ignore[attr-defined]
        if told.reply.held and then[0].key == KEYS["force"]:  # type: ignore[union-attr]
            (compare,) = request.compares  # type: ignore[attr-defined]
            assert compare.than == created != 0
            self.written.append(created)

    def run(self, until: int, faults: bool = True) -> None:
        self.mending = not faults
        while self.heap and self.heap[0][0] < until:
            self.true, _, do = heapq.heappop(self.heap)
            do()
            if faults and self.random.random() < 0.002:
                i = self.random.randrange(len(self.ones))
                self.stopped[i] = self.true + self.random.randrange(10 * S)


@pytest.mark.parametrize("seed", range(40))
def test_no_two_are_sure_at_once_and_one_leads_when_faults_end(seed: int) -> None:
    world = World(seed, 3)
    world.run(60 * S)
    assert world.written == sorted(world.written)  # no write of an old leader after a new one's
    world.run(90 * S, faults=False)
    sure = [one for i, one in enumerate(world.ones) if one.leads(world.clock(i))]
    assert len(sure) == 1 and len(world.led) >= 1
    assert created_of(world.led[-1][0]) == created_of(sure[0].holder)


@pytest.mark.parametrize("dead", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_a_leader_that_dies_is_followed_within_a_lease_and_a_look(seed: int, dead: bool) -> None:
    world = World(seed, 2)
    world.run((20 + seed % 7) * S, faults=False)
    (leader,) = (i for i, one in enumerate(world.ones) if one.leads(world.clock(i)))
    world.stopped[leader] = 1 << 60
    if dead:  # and in the same moment the other's channel, without a word
        world.dead.add(1 - leader)
    died, led = world.true, len(world.led)
    while len(world.led) == led:
        world.run(world.true + 50_000, faults=False)
    # The lease; half of one until the other looks, 1 s until its call has failed, half of one more.
    assert world.true - died <= (4 + (5 if dead else 0)) * S + S // 2


@pytest.mark.parametrize("seed", range(10))
def test_a_store_that_goes_back_is_led_again_in_an_epoch_that_nobody_has_seen(seed: int) -> None:
    world = World(seed, 3)
    world.run(10 * S)
    backup = world.store.backup()
    world.run(40 * S)
    seen = max(epoch for epoch, _ in world.led)
    world.away = True
    world.run(45 * S)
    world.away, world.went_back = False, True
    world.store = backup.restored(int(world.true * world.store_rate))
    for one in world.ones:
        one._known = 0  # as after a restart of all services: only followers remember

    def word() -> None:  # followers tell each leader what they know
        for i, one in enumerate(world.ones):
            epoch = one.leads(world.clock(i))
            if epoch is not None and epoch <= seen:
                world.tell(i, Overtaken(seen))
        world.at(100_000, word)

    word()
    world.run(80 * S, faults=False)
    sure = [epoch for i, one in enumerate(world.ones) if (epoch := one.leads(world.clock(i))) is not None]
    assert len(sure) == 1 and sure[0] > seen
