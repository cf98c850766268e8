"""The configuration of one softswitch (`Config`), and the error for one that cannot be used."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from stairhatch.overload.settings import Settings

if TYPE_CHECKING:
    from stairhatch.fleet.config import FleetConfig
    from stairhatch.scope.config import ScopeConfig
    from stairhatch.sip.frontend import SipConfig


class ConfigError(ValueError):
    """A configuration that cannot be used. The text names the key, or the file, and says why."""


@dataclass(frozen=True, eq=False, repr=False)
class Config:
    """What the program is configured with. A part whose field is None is not started.

    Field names are keys of the files where they are logged as such (`restart_required` of a reload).
    """

    name: str
    settings: Settings
    seed: str = ""  # of the random source; empty: chance
    sockets: int = 1024  # descriptors that the process may hold
    memory_mb: int = 192
    drain_s: float = math.inf  # what is unanswered so long after SIGTERM is answered then, if not before
    listen: tuple[str, int] | None = None  # the platform frontend
    inherited: int | None = None  # the descriptor of its socket, where the platform owns that
    sip: SipConfig | None = None  # the appliance's frontend
    coordinator: tuple[str, int] | None = None
    known: Any = None  # the servers known at the start, in the form of a coordinator's answer
    console: tuple[str, int] | None = None  # the admin endpoint
    syslog: tuple[str, int] | str | None = None  # an address, or the path of a socket
    tracing: bool = False
    fleet: FleetConfig | None = None  # the appliance's part in shared work
    scope: ScopeConfig | None = None  # which servers are kept to, where that is not all of the list
    raw: Any = None  # the decoded text, of which a reload may lose no key
