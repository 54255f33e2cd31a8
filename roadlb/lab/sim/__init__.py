"""World (a) of the rehearsal lab: an event loop with virtual time, on a network in memory, from one seed."""

from .errors import Deadlock, HostDown, Livelock, NotSimulated, SimError
from .host import Host
from .loop import SimLoop
from .network import Network
from .route import Link
from .sockets import SimSocket
from .taps import Seen
from .tcp import Connection
from .transport import SimTransport

__all__ = [
    "Connection",
    "Deadlock",
    "Host",
    "HostDown",
    "Link",
    "Livelock",
    "Network",
    "NotSimulated",
    "Seen",
    "SimError",
    "SimLoop",
    "SimSocket",
    "SimTransport",
]
