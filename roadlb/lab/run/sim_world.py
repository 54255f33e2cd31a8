"""World (a): everything on one simulated loop, the balancers as the program's own `App`, a host for each."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from random import Random
from typing import Any, ParamSpec, TypeVar

from ...app import App
from ...config import read_config
from ...lifecycle.lifecycle import Event
from ..incident import Incident
from ..parties.clients import Clients
from ..parties.discovery import Address
from ..sim import Connection, Host, HostDown, Network, SimLoop
from .drawn import Drawn
from .world import Role, parted

T = TypeVar("T")
P = ParamSpec("P")

START_US = 10_000_000  # the clock's first reading: 0 stands for "never" here and there
EPOCH_US = 1_700_000_000_000_000  # Unix time when the clock shows 0
BALANCER_PORT = 8_080
AGENT_US = 15  # an agent stands on its balancer's machine, but does not die with it
AppFactory = Callable[..., App]  # App's own arguments


class SimMachine:
    def __init__(self, host: Host) -> None:
        self.host, self.ip = host, host.ip

    def call(self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        return self.host.call(function, *args, **kwargs)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> Awaitable[T]:
        return self.host.run(coroutine)

    def end(self) -> None:
        self.host.kill()

    def vanish(self) -> None:
        self.host.vanish()

    def restart(self) -> None:
        self.host.restart()
        self.host.return_()


class SimProcess:
    """The program as it is, in a task of its host; its configuration is read as the platform's is."""

    def __init__(self, host: Host, world: SimWorld) -> None:
        self.host, self._world = host, world
        self.address: Address = (host.ip, BALANCER_PORT)
        self.app: App | None = None
        self._raw: Mapping[str, Any] = {}
        self._task: asyncio.Future[None] | None = None

    def start(self, configuration: Mapping[str, Any]) -> None:
        self._raw = configuration
        if self.host.life.dead:
            self.host.restart()
        self._task = self.host.run(self._program(), name=f"balancer {self.host.name}")

    async def _program(self) -> None:
        loop, told = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, told.set)
        self.app = app = self._world.app(
            read_config(self._limited(), {}),
            clock=self._world.clock,
            wall=self._world.wall,
            cpu_us=self.host.cpu_used_us,
        )
        loop.add_signal_handler(
            signal.SIGHUP, lambda: app.reconfigure(lambda: read_config(self._limited(), {}, again=True))
        )
        await app.start()
        await told.wait()
        await app.stop()

    def _limited(self) -> dict[str, Any]:
        """Memory is the whole rehearsal's here, and says nothing of one balancer."""
        return {**self._raw, "limits": {**self._raw["limits"], "memory_mb": 0}}

    def configure(self, configuration: Mapping[str, Any]) -> None:
        self._raw = configuration

    def signal(self, number: int) -> None:
        if not self.host.life.dead:
            self.host.raise_signal(number)

    def tell(self, call: str) -> None:
        if self.app is not None and not self.host.life.dead:
            self.host.call(self.app.tell, Event(call.replace("-", " ")))

    def kill(self) -> None:
        self._note()
        self.host.kill()

    async def ended(self) -> None:
        assert self._task is not None
        try:
            await asyncio.shield(self._task)
        except HostDown:
            pass
        except Exception as e:
            self._world.faults.append(f"{self.host.name}: {type(e).__name__}: {e}")
        finally:
            self._note()
            self.host.kill(fin=True)  # whatever it held, its kernel closes

    def _note(self) -> None:
        """Add up what this life's program has counted."""
        if self.app is not None:
            self._world.count(self.host.name, self.app)
            self.app = None


class SimWorld:
    """Made on a running `SimLoop`.  `app` makes each balancer; a test may hand in one with a defect."""

    def __init__(self, incident: Incident, drawn: Drawn, app: AppFactory = App) -> None:
        self.loop, self.app = SimLoop.running(), app
        self.network = Network(self.loop, abort_resets=False)  # as uvloop, on which the program runs
        self.clock, self.random = self.loop.clock_us, self.loop.random
        self.clients: Sequence[Clients] = ()
        self.faults: list[str] = []
        self.counters: dict[str, dict[str, int]] = {}
        self._roles: dict[Host, Role] = {}
        self._halls = incident.network.halls
        self._balancers = incident.balancers
        self._processes: list[SimProcess] = []
        self._cut: list[str] = []
        self._lay(incident, drawn)

    def wall(self) -> int:
        return EPOCH_US + self.loop.clock_us()

    # Machines

    def machine(self, name: str, hall: str, role: Role) -> SimMachine:
        host = self.network.host(name, _place(hall, role))
        self._roles[host] = role
        return SimMachine(host)

    def way(self, balancer: str, balancer_hall: str, machine: SimMachine, address: Address) -> Address:
        return address

    def client_way(self, client_hall: str, balancer: str, address: Address) -> Address:
        return address

    def process(self, name: str, hall: str) -> SimProcess:
        host = self.network.host(name, hall, deferred_writes=True)
        told = self._balancers
        host.descriptors = told.sockets
        if told.callback_us:
            host.cpu(round(told.callback_us), told.cores)
        self._roles[host] = Role.BALANCER
        process = SimProcess(host, self)
        self._processes.append(process)
        return process

    # The network

    def _lay(self, incident: Incident, drawn: Drawn) -> None:
        """Clients and agents stand in places of their own beside each hall."""
        segment, jitter = incident.network.segment_bytes, drawn.jitter

        def link(one: str, other: str, us: int) -> None:
            self.network.link(one, other, delay_us=us, jitter_us=round(us * jitter), segment_bytes=segment)

        for (hall, other), us in drawn.delays_us.items():
            link(hall, other, us)
            for mine, yours in dict.fromkeys(((hall, other), (other, hall))):
                near = drawn.client_us[mine]
                link(_place(mine, Role.CLIENTS), yours, near if mine == yours else near + us)
        for hall in self._halls:
            link(_place(hall, Role.AGENT), hall, AGENT_US)

    def cut(self, hall: str) -> list[str]:
        self._cut.append(hall)
        self._silence()
        crossing = [
            ends
            for ends in map(self._ends, self.network.connections())
            if ends[1] is Role.CLIENTS and (ends[2] == hall) != (ends[0].hall == hall)
        ]
        return list(dict.fromkeys(balancer.name for balancer, _, _ in crossing))

    def heal(self, hall: str) -> None:
        self._cut.remove(hall)
        self._silence()

    def _silence(self) -> None:
        """Two halls hear each other unless one of them is cut off; cuts may overlap."""
        sites = [(hall, _place(hall, role)) for hall in self._halls for role in (Role.NODE, Role.CLIENTS)]
        for i, (hall, site) in enumerate(sites):
            for other, far in sites[i + 1 :]:
                if parted(hall, other, self._cut):
                    self.network.cut(site, far)
                elif hall != other:
                    self.network.heal(site, far)

    def reset(self, share: float, between: Role, hall: str | None) -> list[str]:
        among = [
            connection
            for connection in self.network.connections()
            if (ends := self._ends(connection))[1] is between and hall in (None, ends[0].hall)
        ]
        before = {connection.number for connection in among}
        self.network.reset_share(share, among)
        over = before - {connection.number for connection in self.network.connections()}
        return list(dict.fromkeys(self._ends(one)[0].name for one in among if one.number in over))

    def _ends(self, connection: Connection) -> tuple[Host, Role | None, str]:
        """The balancer, what stands at the other end, and in which hall."""
        for one, other in ((connection.client, connection.server), (connection.server, connection.client)):
            if self._roles.get(one.host) is Role.BALANCER:
                return one.host, self._roles.get(other.host), other.host.hall.partition("/")[0]
        return connection.client.host, None, ""

    # What it has to tell

    def count(self, name: str, app: App) -> None:
        total = self.counters.setdefault(name, {})
        for key, count in app.counters.all().items():
            total[key] = total.get(key, 0) + count

    async def end(self) -> None:
        """All hosts die; what their programs had counted is kept."""
        for process in self._processes:
            process.kill()
        self.network.end()

    def figures(self) -> dict[str, Any]:
        return {
            "network_digest": self.network.digest(),
            "segments": self.network.taps.sequence,
            "counters": self.counters,
            "faults": list(self.faults),
        }


def _place(hall: str, role: Role) -> str:
    """Where in the network parties of a hall stand."""
    return f"{hall}/{role.name.lower()}" if role in (Role.CLIENTS, Role.AGENT) else hall


def new_loop(seed: int) -> SimLoop:
    return SimLoop(seed, start_us=START_US)


def generators(seed: int) -> Callable[[str], Random]:
    """The same as a loop's own, for what is drawn before there is a loop."""
    return lambda name: Random(f"{seed}/{name}")
