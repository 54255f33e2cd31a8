"""The one place where configuration is read, checked and given defaults; every message names its key.

The decision module's settings come in two forms with the same names and units: as path=value lines on the
simulator's wire, and as nested JSON in a real balancer's configuration.  Both become one flat table of
texts, read by one reader.
"""

from .address import Address, read_address
from .agreement import Agreement, read_agreement
from .balancer import Config, load, read_config
from .errors import ConfigError
from .limits import SPARE_SOCKETS
from .pairs import Pairs
from .peers import KEY_LEAST, PeersConfig
from .refusal_plan import read_plan
from .settings import FIELDS, IDLE_PART, read_settings

__all__ = (
    "FIELDS",
    "IDLE_PART",
    "KEY_LEAST",
    "SPARE_SOCKETS",
    "Address",
    "Agreement",
    "Config",
    "ConfigError",
    "Pairs",
    "PeersConfig",
    "load",
    "read_address",
    "read_agreement",
    "read_config",
    "read_plan",
    "read_settings",
)
