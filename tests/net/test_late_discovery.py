"""Guards against a discovery that answers late and is never heard: a node that drains gets work meanwhile.

Each call was given up 1.2 or 2.5 s after it began, so that no answer later than that was ever read.  Time is
the test's own.  A change has to be learned 6 s after discovery had it and could be reached, 4 s after a new
configuration, whatever is late, and without more calls than it takes to find out whether a call hangs.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator

import pytest
from fake_loop import FakeLoop
from late_discovery import ANSWERS, Balancer, Form, LateDiscovery, Lateness, always, hang, one

from roadlb.config import Address
from roadlb.net import watch_timing as timing
from roadlb.net.watch_call import WatchCall

WITHIN_S = timing.TOLD_S - timing.RESERVE_S
SEEDS = range(20)
LATE_S = [0.3, 1.1, 1.3, 2.0, 2.4, 2.6, 3.0, 3.7, 4.5, 5.4]
STEP_S = 0.005
GRACE_S = 1.0  # a drain is kept that much after it counts as told
# Where every call hung, 1.2 and 2.5 s in turn and a pause of 0.45 s on the mean lay between two calls.
CALLS_PER_S = 2 / (1.2 + 2.5 + 2 * 0.45)


def late(seconds: float, form: Form = Form.HEAD) -> Lateness:
    return Lateness(seconds, form)


def heard_beside(
    hangs: int, hanging: Form, lateness: Lateness, seed: int
) -> tuple[FakeLoop, LateDiscovery, Balancer]:
    """A balancer whose first calls hang and whose others are late, as it has just learned the list."""
    plan = itertools.chain([hang(hanging)] * hangs, always(lateness))
    loop, discovery, balancer = one(plan, seed)
    balancer.start()
    while 1 not in balancer.learned_s:
        loop.pass_to(loop.now + STEP_S)
        assert loop.now < 200
    return loop, discovery, balancer


@pytest.mark.parametrize("form", ANSWERS)
@pytest.mark.parametrize("late_s", LATE_S)
def test_an_answer_that_is_always_late_by_the_same_time_is_heard(late_s: float, form: Form) -> None:
    for seed in SEEDS:
        loop, discovery, balancer = one(always(late(late_s, form)), seed)
        balancer.start()
        loop.pass_to(late_s + 0.01)
        assert balancer.learned_s[1] <= late_s + STEP_S
        # It is a watch from then on: a change comes at once, and no other call is made.
        assert len(discovery.open_calls) == 1
        calls = len(discovery.calls)
        if form not in (Form.DIAL, Form.DIAL_AND_LIST):
            assert calls <= 1 + late_s // timing.ANSWER_S, "no other call while the answer is in time"
        loop.pass_to(60)
        discovery.tell(2)
        assert balancer.learned_s[2] == 60 and len(discovery.calls) == calls


@pytest.mark.parametrize("form", ANSWERS)
def test_answers_late_by_a_time_that_changes_from_call_to_call_are_heard(form: Form) -> None:
    for seed in range(100):
        chance = random.Random(seed)
        plan = (late(chance.uniform(0, WITHIN_S), form) for _ in itertools.count())
        loop, discovery, balancer = one(plan, seed)
        balancer.start()
        loop.pass_to(60)
        assert balancer.learned_s[1] <= WITHIN_S, seed
        # The first answer counts, whichever call it is to.
        first_s = min(t.began_s for t in discovery.calls if t.answered)
        assert len(discovery.open_calls) == 1 and first_s <= balancer.learned_s[1]


@pytest.mark.parametrize("form", ANSWERS)
@pytest.mark.parametrize("hanging", Form)
@pytest.mark.parametrize("hangs", [1, 2, 3, 7, 40])
def test_beside_calls_that_hang_the_first_that_is_only_late_is_heard_and_in_time(
    hangs: int, hanging: Form, form: Form
) -> None:
    # Three calls at once were too few, and dials overdue after 1 s each: a call was closed after 4.5 s.
    for late_s, seed in itertools.product(LATE_S, range(4)):
        loop, discovery, balancer = heard_beside(hangs, hanging, late(late_s, form), seed)
        last_hanging, first_late = discovery.calls[hangs - 1 : hangs + 1]
        learned_s = balancer.learned_s[1]
        assert learned_s <= first_late.began_s + late_s + STEP_S, (late_s, seed)
        if late_s <= timing.TOLD_S / 2:
            # Discovery could be reached from the beginning of the last call that hangs on.
            assert learned_s - last_hanging.began_s <= WITHIN_S + STEP_S, (late_s, seed)
        loop.pass_to(loop.now + 1)
        assert len(discovery.open_calls) == 1, (late_s, seed)


@pytest.mark.parametrize("late_s", [1.3, 2.0, 3.0])
def test_with_every_second_call_hanging_late_ones_are_heard_in_time(late_s: float) -> None:
    for first in (0, 1):
        for seed in SEEDS:
            kinds = itertools.islice(itertools.cycle([hang(), late(late_s)]), first, None)
            loop, _, balancer = one(kinds, seed)
            balancer.start()
            loop.pass_to(WITHIN_S)
            assert 1 in balancer.learned_s, seed


def test_calls_that_hang_are_late_refused_or_reset_by_chance_leave_no_change_unlearned() -> None:
    # Some call is answered in time within each 6 s, if it is kept: no two in a row hang or fail.
    def plan(chance: random.Random) -> Iterator[Lateness]:
        while True:
            if chance.random() < 0.5:
                yield chance.choice([hang(f) for f in Form] + [late(0.2, Form.REFUSED_DIAL)])
            yield late(chance.uniform(0, 1.5), chance.choice(ANSWERS))

    for seed in range(200):
        loop, discovery, balancer = one(plan(random.Random(seed)), seed)
        balancer.start()
        generation = 1
        chance = random.Random(seed)
        while loop.now < 120:
            generation += 1
            discovery.tell(generation)
            told_s = loop.now
            if chance.random() < 0.5:
                for taken in discovery.open_calls:
                    taken.call.connection_lost(ConnectionResetError())
            loop.pass_to(told_s + WITHIN_S)
            assert balancer.generation == generation, (seed, told_s)
            loop.pass_to(loop.now + chance.uniform(0, 10))


@pytest.mark.parametrize("late_s", [0.3, 1.3, 2.4, 2.9])
def test_a_watch_that_falls_silent_is_opened_anew_though_the_answer_is_late(late_s: float) -> None:
    for seed in SEEDS:
        loop, discovery, balancer = one(always(late(late_s)), seed)
        balancer.start()
        loop.pass_to(30)
        (silent,) = discovery.open_calls
        silent.silent = True
        began_s = loop.now
        discovery.tell(2)
        loop.pass_to(began_s + timing.TOLD_S)
        assert 2 in balancer.learned_s, seed
        assert not silent.open


@pytest.mark.parametrize("form", ANSWERS)
@pytest.mark.parametrize("late_s", [s for s in LATE_S if s <= timing.MOVED_TOLD_S])
@pytest.mark.parametrize("after_s", [0.0, 0.5, 2.0, 10.0])
def test_after_a_new_configuration_the_late_answer_of_the_new_discovery_is_heard(
    after_s: float, late_s: float, form: Form
) -> None:
    # Whether the old one was late, silent or sound, what it still says is not heard.
    for old in (hang(), late(1.5), late(0.0)):
        loop, discovery, balancer = one(itertools.chain([old] * 6, always(late(late_s, form))), 3)
        balancer.start()
        loop.pass_to(after_s)
        before = list(discovery.calls)
        discovery._lateness = always(late(late_s, form))
        balancer.address = Address("127.0.0.1", 2)
        balancer.watch.move()
        assert all(not taken.open for taken in before)
        moved_s = loop.now
        discovery.generation = 2
        loop.pass_to(moved_s + late_s + STEP_S)
        assert 2 in balancer.learned_s
        loop.pass_to(60)
        assert [t.address.port for t in discovery.open_calls] == [2]


@pytest.mark.parametrize("late_s", [0.0, 1.3, 2.5])
def test_after_a_new_configuration_a_late_answer_beside_a_call_that_hangs_is_heard_in_time(
    late_s: float,
) -> None:
    for seed in SEEDS:
        loop, discovery, balancer = one(always(late(0.0)), seed)
        balancer.start()
        loop.pass_to(20)
        discovery._lateness = itertools.chain([hang()], always(late(late_s)))
        balancer.watch.move()
        discovery.generation = 2
        loop.pass_to(20 + timing.MOVED_TOLD_S)
        assert 2 in balancer.learned_s, seed


@pytest.mark.parametrize("refusing_s", [0.3, 1.0, 2.0, 3.0, 3.5, 3.9])
def test_refused_after_a_new_configuration_it_is_heard_before_a_drain_has_to_be_kept(
    refusing_s: float,
) -> None:
    # The pauses after refusals go up to 4.3 s, which fits the 6 s of a change and not these 4.
    most_calls = 0
    for seed in range(200):
        loop, discovery, balancer = one(always(late(0.0)), seed)
        balancer.start()
        loop.pass_to(20)
        discovery._lateness = always(late(0.0, Form.REFUSED))
        calls = len(discovery.calls)
        balancer.watch.move()
        discovery.generation = 2
        loop.pass_to(20 + refusing_s)
        discovery._lateness = always(late(0.0))
        loop.pass_to(20 + timing.MOVED_TOLD_S + GRACE_S - timing.RESERVE_S)
        assert 2 in balancer.learned_s, seed
        most_calls = max(most_calls, len(discovery.calls) - calls)
    assert most_calls <= 7


def test_a_discovery_that_goes_on_refusing_after_a_new_configuration_is_asked_no_more_than_before() -> None:
    began: list[float] = []
    for seed in range(40):
        loop, discovery, balancer = one(always(late(0.0, Form.REFUSED)), seed)
        balancer.start()
        balancer.watch.move()
        loop.pass_to(60)
        began += [taken.began_s for taken in discovery.calls[1:]]
    # One call more than if no other discovery had been named, and from then on one in each highest pause.
    assert sum(at >= 10 for at in began) <= 40 * (50 / timing.REFUSED_MOST_S) * 1.1
    assert sum(at < 10 for at in began) <= 40 * 7


# No more calls on a crowded discovery


@pytest.mark.parametrize("form", [Form.HEAD, Form.LIST, Form.PIECES, Form.DIAL, Form.REFUSED])
def test_calls_that_hang_for_ever_are_no_more_than_if_each_were_given_up_and_few_are_open(form: Form) -> None:
    for seed in SEEDS:
        loop, discovery, balancer = one(always(hang(form)), seed)
        balancer.start()
        loop.pass_to(600)
        assert len(discovery.calls) <= 600 * CALLS_PER_S + 2, seed
        assert discovery.most_open <= timing.CALLS_MOST
        # One that is open is not waited for without end.
        oldest_s = max(loop.now - taken.began_s for taken in discovery.open_calls)
        assert oldest_s <= timing.PATIENCE_S + timing.ANSWER_S + timing.PAUSE_MOST_S


@pytest.mark.parametrize("late_s", [0.1, 1.1, 3.0, 5.4])
def test_late_refusals_bring_no_more_calls(late_s: float) -> None:
    for seed in SEEDS:
        loop, discovery, balancer = one(always(late(late_s, Form.REFUSED)), seed)
        balancer.start()
        loop.pass_to(600)
        assert len(discovery.calls) <= 600 * CALLS_PER_S + 2
        assert discovery.most_open <= timing.CALLS_MOST


@pytest.mark.parametrize("balancers", [30, 200, 600])
def test_a_fleet_at_a_discovery_that_answers_one_call_after_another_costs_it_one_list_each(
    balancers: int,
) -> None:
    # All call at one moment, and the last of them is answered 5 s later: what has been closed by then is
    # passed over, as its client has gone.  Each is answered once, and nobody is told to come again.
    loop = FakeLoop()
    discovery = QueueingDiscovery(loop, 5.0 / balancers)
    fleet = [Balancer(discovery, seed) for seed in range(balancers)]
    for balancer in fleet:
        balancer.start()
    loop.pass_to(60)
    assert max(b.learned_s[1] for b in fleet) <= WITHIN_S
    assert discovery.lists_written == balancers == len(discovery.open_calls)
    # No call in vain that would not have been made, had each overdue one been given up: 0, 1.2, 3.4 s and on.
    assert len(discovery.calls) <= balancers * (1 + 5.0 * CALLS_PER_S)


@pytest.mark.parametrize("spread_s", [0.0, 2.0, 10.0])
@pytest.mark.parametrize("late_s", [0.3, 1.1, 1.3, 2.0])
def test_a_discovery_with_room_for_one_call_of_each_balancer_and_up_to_2_s_late_refuses_none(
    late_s: float, spread_s: float
) -> None:
    # A call opened beside one that is late would take the place of another balancer's first one.
    loop, balancers = FakeLoop(), 30
    discovery = FullDiscovery(loop, late_s, balancers)
    chance = random.Random(1)
    fleet = [Balancer(discovery, seed) for seed in range(balancers)]
    for balancer in fleet:
        loop.call_at(chance.uniform(0, spread_s), balancer.start)
    loop.pass_to(spread_s + late_s + STEP_S)
    assert all(1 in b.learned_s for b in fleet)
    assert discovery.refused == 0 and len(discovery.calls) == balancers


class FullDiscovery(LateDiscovery):
    """Has room for so many open calls, and refuses all others at once."""

    def __init__(self, loop: FakeLoop, late_s: float, room: int) -> None:
        super().__init__(loop, always(late(late_s)))
        self._late_s, self._room = late_s, room
        self.refused = 0

    def dial(self, call: WatchCall, address: Address) -> Callable[[], object]:
        is_full = len(self.open_calls) >= self._room
        self.refused += is_full
        self._lateness = always(late(0.0, Form.REFUSED) if is_full else late(self._late_s))
        return super().dial(call, address)


class QueueingDiscovery(LateDiscovery):
    """Takes a call's list out of its store in `work_s`, one call after another as they came."""

    def __init__(self, loop: FakeLoop, work_s: float) -> None:
        super().__init__(loop, always(hang()))
        self._work_s = work_s
        self._served = 0
        loop.call_at(work_s, self._next)

    def _next(self) -> None:
        while self._served < len(self.calls) and not self.calls[self._served].open:
            self._served += 1
        if self._served < len(self.calls):
            self._finish(self.calls[self._served], Form.HEAD)
            self._served += 1
        self.loop.call_at(self.loop.now + self._work_s, self._next)


# Crossings


def test_an_overdue_call_that_tells_in_the_pause_ends_the_pause_and_no_other_call_is_made() -> None:
    for seed in SEEDS:
        loop, discovery, balancer = one(always(late(timing.ANSWER_S + 0.01)), seed)
        balancer.start()
        loop.pass_to(60)
        assert len(discovery.calls) == 1 and balancer.overdue_count == 1 and balancer.broken_count == 0


def test_an_overdue_call_that_ends_leaves_the_one_beside_it_alone() -> None:
    for end in (ConnectionResetError(), None):
        loop, discovery, balancer = one(iter([hang(), late(1.0), *[late(0.0)] * 9]), 1)
        balancer.start()
        loop.pass_to(2.5)
        discovery.calls[0].call.end(end)
        loop.pass_to(4)
        assert len(discovery.calls) == 2 and balancer.broken_count == 1 and 1 in balancer.learned_s


def test_the_newest_call_that_ends_leaves_the_overdue_one_and_another_follows() -> None:
    loop, discovery, balancer = one(iter([late(3.5), late(0.1, Form.REFUSED), hang()]), 1)
    balancer.start()
    loop.pass_to(3.4)
    assert len(discovery.calls) == 3 and len(discovery.open_calls) == 2
    loop.pass_to(3.6)
    assert 1 in balancer.learned_s
    assert discovery.open_calls == discovery.calls[:1]


def test_a_malformed_first_message_ends_its_call_and_none_beside_it() -> None:
    loop, discovery, balancer = one(iter([late(3.0), hang(), hang()]), 1)
    balancer.start()
    loop.pass_to(2.5)
    second = discovery.calls[1].call
    second.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n")
    assert second.over and discovery.calls[0].open and balancer.broken_count == 1
    loop.pass_to(3.1)
    assert 1 in balancer.learned_s


def test_stopped_or_moved_with_calls_overdue_none_stays_open_and_late_connections_are_reset() -> None:
    for stopped in (True, False):
        loop, discovery, balancer = one(always(late(20.0, Form.DIAL)), 1)
        balancer.start()
        loop.pass_to(5)
        before = list(discovery.calls)
        assert len(discovery.open_calls) == timing.CALLS_MOST
        if stopped:
            balancer.watch.stop()
            assert not discovery.open_calls
        else:
            balancer.watch.move()
            assert len(discovery.open_calls) == 1
        loop.pass_to(22)
        assert not any(taken.open for taken in before) and not balancer.learned_s


def test_a_message_of_an_open_stream_that_comes_in_pieces_for_long_is_taken_beside_another_call() -> None:
    # Its bytes keep coming: it is overdue and not silent, while calls that are made for it hang.
    loop, discovery, balancer = one(itertools.chain([late(0.0)], always(hang())), 1)
    balancer.start()
    loop.pass_to(20)
    (stream,) = discovery.open_calls
    stream.silent = True  # all that comes is written here
    stream.call.data_received(b"5000\r\n" + b'{"generation": ')
    for i in range(1, 11):
        loop.pass_to(20 + i / 2)
        stream.call.data_received(b" ")
    assert 1 < len(discovery.open_calls) <= timing.CALLS_MOST
    stream.call.data_received(b"2}")
    assert balancer.learned_s[2] == 25 and discovery.open_calls == [stream]
