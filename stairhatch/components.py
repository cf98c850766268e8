"""The parts of one running softswitch, as the composition root (`stairhatch.application`) has built them.

Shutdown and reload work on the same parts and take them from here, so that neither has to know the root. A
part that the configuration does not ask for is None.
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
    """Return a clock of Unix time in seconds that never steps: set once, advanced by the monotonic clock."""
    offset = time.time() - time.monotonic()
    return lambda: offset + time.monotonic()


@dataclass(slots=True, eq=False, repr=False, kw_only=True)
class Components:
    """The parts of one softswitch.

    The first five exist from the start. Frontends and listeners are added as listening sockets are opened,
    service discovery and the cluster member as the endpoint list is first applied.
    """

    clock: Callable[[], float]
    log: EventLog
    counters: Counters
    core: CallManager
    network: Network
    scoped: ScopedController | None = None
    platform_frontend: PlatformFrontend | None = None
    sip_frontend: SipFrontend | None = None
    discovery: ServiceDiscoveryClient | None = None
    fleet: FleetRuntime | None = None
    caller_listeners: list[Listener] = field(default_factory=list)
