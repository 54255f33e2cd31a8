"""What a stage asks of a world: time, chance, machines, the balancers' processes, the network's faults."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from enum import Enum, auto
from random import Random
from typing import Any, ParamSpec, Protocol, TypeVar

from ..parties.clients import Clients
from ..parties.discovery import Address

T = TypeVar("T")
P = ParamSpec("P")


class Role(Enum):
    """What stands at an end of a connection."""

    NODE = auto()
    BALANCER = auto()
    CLIENTS = auto()
    AGENT = auto()


def parted(hall: str, other: str, cuts: Sequence[str]) -> bool:
    """Has one of these cuts come between the halls?  A hall that is cut off still hears itself."""
    return hall != other and (hall in cuts or other in cuts)


class Machine(Protocol):
    """Where parties run.  Its address is its own for the whole run."""

    @property
    def ip(self) -> str: ...

    def call(self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Call a function in its name: what it starts belongs to this machine."""

    def run(self, coroutine: Coroutine[Any, Any, T]) -> Awaitable[T]:
        """Run a coroutine in its name."""

    def end(self) -> None:
        """Nothing runs there any more; connections are reset, dials are refused."""

    def vanish(self) -> None:
        """It is off the network, without a word: dials never come up."""

    def restart(self) -> None:
        """It is there, on the network, and nothing runs on it yet."""


class Process(Protocol):
    """One balancer's machine, on which its program is started again and again."""

    @property
    def address(self) -> Address: ...

    def start(self, configuration: Mapping[str, Any]) -> None:
        """Start the program."""

    def configure(self, configuration: Mapping[str, Any]) -> None:
        """What it finds when it next reads its configuration."""

    def signal(self, number: int) -> None: ...

    def tell(self, call: str) -> None:
        """Have its operators call `PUT /control/<call>`."""

    def kill(self) -> None: ...

    async def ended(self) -> None:
        """Wait until the program has ended by itself, or was killed."""


class World(Protocol):
    """Times are integer microseconds."""

    clients: Sequence[Clients]  # told by the stage once they are there

    def clock(self) -> int: ...

    def wall(self) -> int: ...

    def random(self, name: str) -> Random:
        """A generator of the run's seed for the party of this name, and always the same one's beginning."""

    def machine(self, name: str, hall: str, role: Role) -> Machine: ...

    def process(self, name: str, hall: str) -> Process: ...

    def way(self, balancer: str, balancer_hall: str, machine: Any, address: Address) -> Address:
        """Where this balancer finds what listens at that address of a node's machine."""

    def client_way(self, client_hall: str, balancer: str, address: Address) -> Address:
        """Where clients of this hall find the balancer that listens at that address."""

    def cut(self, hall: str) -> list[str]:
        """Cut a hall off from the others; the balancers that are cut off from clients connected to them."""

    def heal(self, hall: str) -> None: ...

    def reset(self, share: float, between: Role, hall: str | None) -> list[str]:
        """Reset a share of the connections between balancers (of this hall) and these; which balancers'."""

    async def end(self) -> None:
        """Everything in it ends."""

    def figures(self) -> dict[str, Any]:
        """What it has to tell beside the wire log, for the report."""
