"""The record of the components that make up one running softswitch.

The composition root (`stairhatch.application`) fills the record. Shutdown and reload use the same components
through it, so that neither depends on the composition root. A component that the configuration does not
enable is None.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from stairhatch.node.call_manager import CallManager
from stairhatch.node.counters import Counters
from stairhatch.node.event_log import EventLog
from stairhatch.node.io.listener import Listener
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.service_discovery import ServiceDiscoveryClient

if TYPE_CHECKING:
    from stairhatch.fleet.runtime import FleetRuntime
    from stairhatch.scope.controller import ScopedController
    from stairhatch.sip.frontend import SipFrontend


def steady_unix_clock() -> Callable[[], float]:
    """Return a clock that returns Unix time in seconds and never steps.

    It reads the system time once, at its creation, and then advances with the monotonic clock.
    """
    offset = time.time() - time.monotonic()
    return lambda: offset + time.monotonic()


@dataclass(slots=True, eq=False, repr=False, kw_only=True)
class Components:
    """The components of one softswitch.

    The first five fields are set at construction. Frontends and listeners are added when the listening
    sockets are opened; service discovery and the cluster member are added when the initial endpoint list is
    applied.
    """

    clock: Callable[[], float]
    log: EventLog
    counters: Counters
    call_manager: CallManager
    network: Network
    scoped: ScopedController | None = None
    platform_frontend: PlatformFrontend | None = None
    sip_frontend: SipFrontend | None = None
    discovery: ServiceDiscoveryClient | None = None
    fleet: FleetRuntime | None = None
    caller_listeners: list[Listener] = field(default_factory=list)
