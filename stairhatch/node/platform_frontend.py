"""The platform frontend: all connections of the platform's callers, which use a thin SIP over TCP.

The frontend creates the protocol of each new connection and reports when all output has been written.
Requests are handled in `platform_connection` and validated in `platform_request`; releases to callers are
delivered by `release_delivery`. The frontend uses no socket and selects neither servers nor answers.
"""

from __future__ import annotations

from functools import partial

from stairhatch.node.call_manager import CallManager
from stairhatch.node.memory_budgets import NO_MEMORY_LIMITS, MemoryLimits
from stairhatch.node.platform_connection import PlatformConnection
from stairhatch.node.platform_registry import PlatformRegistry

CALLER_DETECTION_DELAY_S = 0.1  # a connection without a request for this long is a caller's


class PlatformFrontend:
    """Frontend for the connections of the platform's callers."""

    def __init__(self, call_manager: CallManager, limits: MemoryLimits = NO_MEMORY_LIMITS) -> None:
        """Start without connections; `call_manager` handles the calls."""
        self.call_manager = call_manager
        self.registry = PlatformRegistry(call_manager, limits)

    def connect(self, _peer: tuple[str, int] = ("", 0)) -> PlatformConnection:
        """Return the protocol object for a new connection of a caller or of a health checker."""
        connection = PlatformConnection(self.registry)
        self.registry.mark_active(connection)
        self.call_manager.timers.schedule(
            self.call_manager.clock() + CALLER_DETECTION_DELAY_S,
            partial(self._identify_silent_caller, connection),
        )
        return connection

    def is_flushed(self) -> bool:
        """Whether all output has been written and all releases sent have been acknowledged.

        Data that the driver has fetched counts as unwritten until the write is complete: the process must not
        end in the middle of an answer to a caller that reads slowly.
        """
        has_unwritten = any(connection.has_unwritten() for connection in self.registry.connections)
        return self.registry.deliveries.is_settled() and not has_unwritten

    @staticmethod
    def _identify_silent_caller(connection: PlatformConnection) -> None:
        """Classify a connection without any request yet as a caller's.

        A health checker sends its request immediately. It must not get releases, because it would mistake
        them for the response to its health check.
        """
        if not connection.requests:
            connection.identify_as_caller()
