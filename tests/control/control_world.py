"""Services, proxies and grid nodes of the lab's model in simulated time; every draw comes from one seed."""

from collections import Counter
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from control_proxies import Proxy, Where

from roadlb.control import events, order, subscribers
from roadlb.control.forms import Expression, Form, express
from roadlb.control.order import Order
from roadlb.control.plan import Plan, up_in
from roadlb.control.ramp import RampLimits
from roadlb.control.subscribers import Subscribers
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, NodeId, Picture
from roadlb.lab.model.classes import ClassSpec
from roadlb.lab.model.events import Answer, Connected, Disconnected, Drain, Fell, Request, Stop, Tick, WakeAt
from roadlb.lab.model.node import NodeModel
from roadlb.lab.model.spec import NodeSpec

SECOND, MS = 1_000_000, 1_000
UNIX_MS = 1_800_000_000_000
EDS = "eds"
CLASSES = (
    ClassSpec("grid-read", 0.7, 15 * MS, "lognormal", 2.0),
    ClassSpec("order", 0.3, 95 * MS, "pareto", 2.0),
)
MEAN_US = sum(c.share * c.work_us for c in CLASSES)


@dataclass
class Machine:
    """What stands at an address at the moment."""

    id: NodeId
    model: NodeModel
    where: Where
    drained_in: set[str] = field(default_factory=set)  # instances that have been told
    drained_told: dict[str, int] = field(default_factory=dict)  # proxies, since one of theirs knows
    fell: bool = False
    connections: int = 0
    senders: dict[int, tuple[Proxy, int]] = field(default_factory=dict)
    wake: int | None = None


class Service:
    """One instance: the three deciders as `service.py` is to wire them."""

    def __init__(self, world: "World", name: str, lag: tuple[float, float], limits: RampLimits) -> None:
        self.world, self.name, self.lag, self.up = world, name, lag, True
        self.plan, self.order = Plan(limits), world.guard()
        self.subscribers = Subscribers(world.rng, EDS, stale_us=world.stale_us or 60 * SECOND)
        self.numbers: Counter[str] = Counter()
        self.expressions: dict[Form, Expression] = {}
        self.generation, self.streams = -1, {}
        self.admitted: set[str] = set()
        world.at(0, self.tick)

    def tick(self) -> None:
        if not self.up:
            return
        now = self.world.now
        self.do_subscribers(self.subscribers.handle(now, subscribers.Tick()))
        self.plan.handle(now, self.subscribers.carriers())
        self.do_plan(self.plan.handle(now, events.Tick()))
        self.do_order(self.order.handle(now, order.Tick()))
        self.world.at(now + 100 * MS, self.tick)

    def told(self, picture: Picture) -> None:
        """Discovery's word: drains first, in front of the plan."""
        if not self.up or picture.generation <= self.generation:
            return
        now, self.generation = self.world.now, picture.generation
        for e in picture.clusters["grid"].endpoints:
            if e.lifecycle is Lifecycle.DRAINING:
                self.world.by_id[e.node].drained_in.add(self.name)
                for name in self.streams:
                    self.world.by_id[e.node].drained_told.setdefault(name, now)
        self.do_order(self.order.handle(now, order.Pictured(picture.generation, up_in(picture))))
        self.do_plan(self.plan.handle(now, events.Fleet(picture, UNIX_MS + now // MS)))

    def do_plan(self, actions: list) -> None:
        for a in actions:
            late = self.world.plan_late() if not a.decisions.urgent else 0
            self.world.at(
                self.world.now + late,
                lambda a=a: (
                    self.up and self.do_order(self.order.handle(self.world.now, order.Proposed(a.decisions)))
                ),
            )

    def do_order(self, actions: list) -> None:
        now = self.world.now
        for a in actions:
            if isinstance(a, order.Release):
                self.expressions = {}
                if a.decisions.urgent:
                    self.do_subscribers(self.subscribers.handle(now, subscribers.Hurry()))
                for name in self.streams:
                    self.push(name)
            elif isinstance(a, order.Speak):
                self.push(a.subscriber)
            elif isinstance(a, order.CatchUp):
                self.world.at(now + self.world.fetch_us(), lambda: self.fetched())

    def fetched(self) -> None:
        if self.up:
            picture = self.world.picture
            self.told(picture)
            self.do_order(self.order.handle(self.world.now, order.Listed(picture.generation)))

    def do_subscribers(self, actions: list) -> None:
        for a in actions:
            if isinstance(a, subscribers.Admit):
                self.admitted.add(a.subscriber)
                self.push(a.subscriber)

    def push(self, name: str) -> None:
        """Tell one proxy the newest, if it may be told."""
        if name not in self.admitted or name not in self.streams or not self.order.may_tell(name):
            return
        out, link = self.order.out, self.streams[name]
        form = link.proxy.form
        if form not in self.expressions:
            self.expressions[form] = express(form, out)
        self.numbers[name] += 1
        number = self.numbers[name]
        self.do_subscribers(
            self.subscribers.handle(self.world.now, subscribers.Sent(name, EDS, number, out.generation))
        )
        link.down(out.generation, self.expressions[form], number)

    def opened(self, link: "Link", acknowledged: int | None) -> None:
        name = link.proxy.name
        self.streams[name] = link
        self.admitted.discard(name)
        self.numbers[name] = 0
        now = self.world.now
        for machine in self.world.by_id.values():
            if self.name in machine.drained_in:
                machine.drained_told.setdefault(name, now)
        self.do_order(self.order.handle(now, order.Connected(name, link.number, acknowledged)))
        self.do_subscribers(self.subscribers.handle(now, subscribers.Came(name, link.number, acknowledged)))
        self.do_subscribers(self.subscribers.handle(now, subscribers.Tick()))

    def closed(self, link: "Link") -> None:
        name = link.proxy.name
        if self.streams.get(name) is link:
            del self.streams[name]
        self.order.handle(self.world.now, order.Disconnected(name, link.number))
        self.subscribers.handle(self.world.now, subscribers.Left(name, link.number))

    def acked(self, name: str, number: int, generation: int) -> None:
        self.do_subscribers(self.subscribers.handle(self.world.now, subscribers.Acked(name, EDS, number)))
        self.do_order(self.order.handle(self.world.now, order.Acknowledged(name, generation)))


class Link:
    """A stream: messages arrive in order, each after a delay of its own; none once it is cut."""

    numbers = 0

    def __init__(self, world: "World", proxy: Proxy, service: Service) -> None:
        Link.numbers += 1
        self.number, self.world, self.proxy, self.service = Link.numbers, world, proxy, service
        self.cut = False
        self.free_down = self.free_up = 0
        acknowledged = proxy.version if proxy.version >= 0 else None
        self.up(lambda: service.up and service.opened(self, acknowledged))

    def up(self, what) -> None:
        self.free_up = max(self.free_up, self.world.now + self.world.delay())
        self.world.at(self.free_up, lambda: None if self.cut else what())

    def down(self, generation: int, view: Expression, number: int) -> None:
        self.free_down = max(self.free_down, self.world.now + self.world.delay())

        def arrive() -> None:
            if not self.cut:
                self.proxy.told(self.world.now, generation, view)
                self.up(lambda: self.service.up and self.service.acked(self.proxy.name, number, generation))

        self.world.at(self.free_down, arrive)

    def end(self) -> None:
        self.cut = True
        if self.service.up:
            self.service.closed(self)


class World:
    """10 machines, half of them slow, and three proxies that carry 80, 15 and 5% of the traffic."""

    def __init__(
        self,
        seed: int,
        forms: tuple[Form, ...] = (Form.ENVOY, Form.GRPC, Form.ENVOY),
        limits: RampLimits | None = None,
        load: float = 0.6,
        nodes: int = 10,
        lags: tuple[tuple[float, float], ...] = ((0.05, 0.2),),
        delay_ms: tuple[int, int] = (5, 200),
        stale_us: int = 0,
        panic: float = 0.0,
        cache: float = 0.5,
        guard: type[Order] = Order,
        fetch_s: tuple[float, float] = (0.02, 0.2),
    ) -> None:
        self.guard, self.fetch_s = guard, fetch_s
        self.rng, self.now, self.delay_ms, self.stale_us = Random(seed), 0, delay_ms, stale_us
        self._heap: list = []
        self._count, self.generation = 0, 0
        self.endpoints: dict[NodeId, Endpoint] = {}
        self.addresses: dict[Where, Machine] = {}
        self.by_id: dict[NodeId, Machine] = {}
        self.late, self.refused, self.requests, self.cache = [], 0, 0, cache
        self.got: Counter[NodeId] = Counter()
        self.fallen: list[str] = []
        self.down: set[str] = set()  # proxies that are dead: their clients go to the others
        self.limits = limits or RampLimits()
        self.sizes = [2 * (1.0 if i % 2 else 0.6) * self.rng.uniform(0.85, 1.1) for i in range(nodes)]
        self.rate = load * sum(self.sizes) / MEAN_US * 1e6
        for i in range(nodes):
            self.start(f"old-{i}", ("10.0.0.1", 1000 + i), i, warm=True)
        self.picture = self._picture()
        self.services = [Service(self, f"s{i}", lag, self.limits) for i, lag in enumerate(lags)]
        for s in self.services:
            s.told(self.picture)
        self.proxies = [
            Proxy(f"p{i}", form, share, Random(seed * 10 + i), panic, stale_us)
            for i, (form, share) in enumerate(zip(forms, (0.80, 0.15, 0.05), strict=True))
        ]
        self.links = {p.name: Link(self, p, self.services[0]) for p in self.proxies}
        self.at(SECOND, self.report)
        self.at(SECOND, self.arrive)

    # Time

    def at(self, at: int, what) -> None:
        self._count += 1
        heappush(self._heap, (max(at, self.now), self._count, what))

    def after(self, seconds: float, what) -> None:
        self.at(self.now + int(seconds * SECOND), what)

    def run(self, until_s: float) -> None:
        until = int(until_s * SECOND)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, what = heappop(self._heap)
            what()
        self.now = until

    def delay(self) -> int:
        return int(self.rng.uniform(*self.delay_ms) * MS)

    def plan_late(self) -> int:
        """Decisions may be delivered late: behind a drain that was told after they were made."""
        return int(self.rng.random() * 400) * MS

    def fetch_us(self) -> int:
        return int(self.rng.uniform(*self.fetch_s) * SECOND)

    # Fleet and discovery

    def start(self, name: str, where: Where, size: int, warm: bool = False) -> Machine:
        """A process starts; discovery is not told yet."""
        capacity = self.sizes[size]
        spec = NodeSpec(
            cores=2,
            speed=capacity / 2,
            slots=2,
            room=40,
            cold_share=self.rng.uniform(0.12, 0.3),
            warm_us=int(self.rng.uniform(13, 23) * SECOND),
            cache_keys=400,
            cache_us=8 * SECOND,
            cache_gain=self.cache,
            fall_each_us=200 * MS,
            fall_slack_us=50 * MS,
        )
        id = NodeId(name, 0 if warm else UNIX_MS + self.now // MS)
        machine = Machine(id, NodeModel(spec, Random(self.rng.random()), self.now, warm), where)
        self.addresses[where] = self.by_id[id] = machine
        self.endpoints[id] = Endpoint(
            id, *where, weight=capacity * self.rng.uniform(0.9, 1.1), lifecycle=Lifecycle.UP
        )
        return machine

    def _picture(self) -> Picture:
        self.generation += 1
        return Picture(self.generation, {"grid": Cluster("grid", tuple(self.endpoints.values()))})

    def tell(self) -> None:
        """Discovery has a new picture; each instance gets it after its own lag."""
        picture = self.picture = self._picture()
        for s in self.services:
            self.after(self.rng.uniform(*s.lag), lambda s=s: s.told(picture))

    def drain(self, machine: Machine) -> None:
        machine.model.handle(self.now, Drain())
        self.endpoints[machine.id] = replace(self.endpoints[machine.id], lifecycle=Lifecycle.DRAINING)
        self.tell()

    def stop(self, machine: Machine, tell: bool = True) -> None:
        machine.model.handle(self.now, Stop())
        if tell and self.endpoints.pop(machine.id, None):
            self.tell()

    def replace(self, i: int, same_address: bool, gap_s: float = 3.0, add_s: float = 1.0) -> None:
        """Drain old node i; it ends after `gap_s`, and its successor is told `add_s` after it started."""
        old = self.by_id[NodeId(f"old-{i}")]
        self.drain(old)
        where = old.where if same_address else ("10.0.0.2", 2000 + i)

        def successor() -> None:
            self.start(f"new-{i}", where, i)
            self.after(add_s, self.tell)

        self.after(gap_s, lambda: self.stop(old))
        self.after(gap_s + 0.1 if same_address else 0.2, successor)

    def deploy(self, from_s: float, length_s: float, part: float, same_address: bool = False) -> None:
        """Replace this part of the machines, evenly over the time, two at a time."""
        which = self.rng.sample(range(len(self.sizes)), round(part * len(self.sizes)))
        for n, i in enumerate(which):
            self.at(
                int((from_s + length_s * (n // 2 * 2) / len(which)) * SECOND),
                lambda i=i: self.replace(i, same_address),
            )

    # Proxies

    def connect(self, proxy: Proxy, service: Service) -> None:
        self.links[proxy.name].end()
        self.links[proxy.name] = Link(self, proxy, service)

    def cut(self, proxy: Proxy) -> None:
        self.links[proxy.name].end()

    def kill(self, service: Service) -> None:
        service.up = False
        for link in self.links.values():
            if link.service is service:
                link.cut = True

    def report(self) -> None:
        """Each proxy's load report of the last second, if it has a stream, and a heartbeat on it."""
        for p in self.proxies:
            link = self.links[p.name]
            if not link.cut and link.service.up:
                p.heard = self.now if p.name in link.service.streams else p.heard
                for id, count in p.sent.items():
                    told = events.LoadReport(p.name, "grid", id, count, p.failed[id], SECOND)
                    link.service.plan.handle(self.now, told)
            p.sent, p.failed = Counter(), Counter()
        self.after(1, self.report)

    # Traffic

    def arrive(self) -> None:
        rng = self.rng
        self.at(self.now + max(1, int(rng.expovariate(self.rate) * 1e6)), self.arrive)
        spec = rng.choices(CLASSES, (0.7, 0.3))[0]
        up = [p for p in self.proxies if p.name not in self.down]
        proxy = rng.choices(up, [p.share for p in up])[0]
        work, key = spec.draw_work_us(rng), str(int(rng.paretovariate(0.5)) % 1000)
        self.requests += 1
        for _ in range(2):  # the second: a retry, after an end that proves no run
            if self.try_once(proxy, work, key):
                return
        self.refused += 1

    def mourn(self, names: str = "old") -> None:
        """All machines of that name die at once, and discovery does not hear of it."""
        for machine in self.by_id.values():
            if machine.id.name.startswith(names):
                self.stop(machine, tell=False)

    def try_once(self, proxy: Proxy, work: int, key: str) -> bool:
        placed = proxy.pick(self.now)
        if placed is None:
            return False
        where = placed.host, placed.port
        machine = self.addresses.get(where)
        proxy.sent[placed.node] += 1
        told = self.by_id[placed.node].drained_told.get(proxy.name)
        if told is not None and self.now - told > SECOND:  # whoever stands there now
            self.late.append((proxy.name, placed.node.name, (self.now - told) / SECOND))
        if machine is None or not machine.model.alive:
            proxy.failed[placed.node] += 1
            proxy.eject(self.now, where)
            return False
        self.got[machine.id] += 1
        machine.connections += 1
        n = machine.connections
        machine.senders[n] = proxy, 0
        self.play(machine, Connected(n))
        self.play(machine, Request(n, str(n), work, key, 2_000_000))
        return n not in machine.senders or machine.model.alive

    def play(self, machine: Machine, event) -> None:
        for a in machine.model.handle(self.now, event):
            if isinstance(a, WakeAt):
                machine.wake = a.at
                self.at(a.at, lambda m=machine, at=a.at: m.wake == at and self.play(m, Tick()))
            elif isinstance(a, Answer):
                proxy, _ = machine.senders.pop(a.connection)
                if a.status != 200:
                    proxy.failed[machine.id] += 1
                    self.refused += 1
                machine.model.handle(self.now, Disconnected(a.connection))
            elif isinstance(a, Fell):
                machine.fell = True
                self.fallen.append(machine.id.name)
                self.after(1.0, lambda: self.endpoints.pop(machine.id, None) and self.tell())
