"""The hard cases, each as a world that has been run; shared by the tests and the benchmark."""

from control_world import SECOND, World

from roadlb.control.events import Decisions
from roadlb.control.forms import Form
from roadlb.control.order import Action, Connected, Event, Order, Proposed, Release, Speak
from roadlb.control.ramp import RampLimits

FORMS = (Form.ENVOY, Form.GRPC, Form.ENVOY)


def deploy(
    seed: int,
    until_s: float,
    length_s: float,
    forms: tuple[Form, ...] = FORMS,
    load: float = 0.6,
    same: bool = False,
    **limits: object,
) -> World:
    """81% replaced, two at a time."""
    world = World(seed, forms, RampLimits(**limits), load)  # type: ignore[arg-type]
    world.deploy(5, length_s, 0.81, same)
    world.run(until_s)
    return world


def mourning(seed: int, forms: tuple[Form, ...], load: float = 0.6, **limits: object) -> World:
    """In the midst of a deploy all old machines die at once; discovery does not hear of it."""
    world = World(seed, forms, RampLimits(**limits), load)  # type: ignore[arg-type]
    world.deploy(5, 21 + seed % 16, 0.81)
    world.at(15 * SECOND, world.mourn)
    world.run(24)
    return world


def _half_at_the_same_address(world: World) -> None:
    for i in range(0, 10, 2):
        world.at(int(5.5 * SECOND), lambda i=i: world.replace(i, same_address=True))


def restart(seed: int, up_s: float = 9.5, delay_ms: tuple[int, int] = (5, 200)) -> World:
    """The proxy with 80% is dead while half of the machines are replaced, and comes back with its view."""
    world = World(seed, FORMS, delay_ms=delay_ms)
    proxy = world.proxies[0]
    world.at(5 * SECOND, lambda: (world.cut(proxy), world.down.add(proxy.name)))
    _half_at_the_same_address(world)
    world.at(
        int(up_s * SECOND), lambda: (world.down.discard(proxy.name), world.connect(proxy, world.services[0]))
    )
    world.run(up_s + 4)
    return world


def cut_off(seed: int, stale_us: int, until_s: float = 20) -> World:
    """The same, but it goes on sending: it has no stream for 30 s."""
    world = World(seed, FORMS, stale_us=stale_us)
    proxy = world.proxies[0]
    world.at(5 * SECOND, lambda: world.cut(proxy))
    _half_at_the_same_address(world)
    world.at(35 * SECOND, lambda: world.connect(proxy, world.services[0]))
    world.run(until_s)
    return world


def fail_over(seed: int, load: float = 0.1, **kw: object) -> World:
    """8 drains; about each of them every proxy goes to one of two instances, whose lists are 4 s apart."""
    world = World(seed, FORMS, load=load, lags=((0.05, 0.2), (4.0, 4.2)), **kw)  # type: ignore[arg-type]
    rng = world.rng
    for n, i in enumerate(rng.sample(range(10), 8)):
        at = int((5 + 1.5 * n + rng.random()) * SECOND)
        world.at(at, lambda i=i: world.replace(i, rng.random() < 0.5))
        for proxy in world.proxies:
            world.at(
                at + int(rng.uniform(0, 1.2) * SECOND),
                lambda p=proxy: world.connect(p, rng.choice(world.services)),
            )
    world.run(24)
    return world


def careless() -> type[Order]:
    """No guard: everything goes out, to everyone, as it comes."""

    class Careless(Order):
        def handle(self, now: int, event: Event) -> list[Action]:
            if isinstance(event, Proposed):
                self.out: Decisions | None = event.decisions
                return [Release(event.decisions)]
            return [Speak(event.subscriber)] if isinstance(event, Connected) else []

        def may_tell(self, subscriber: str) -> bool:
            return self.out is not None

    return Careless
