"""The platform's frontend: all connections of its callers, who speak a thin SIP over TCP.

It takes new connections and knows when all of them are done. The requests are `platform_connection`'s, their
form is `platform_request`'s, and the releases that have to reach a caller are `release_delivery`'s. It knows
no socket and chooses neither a server nor an answer.
"""

from __future__ import annotations

from functools import partial

from stairhatch.node.call_manager import CallManager
from stairhatch.node.platform_connection import PlatformConnection, PlatformRegistry

CALLER_AFTER_S = 0.1  # a connection that is silent so long is a caller's


class PlatformFrontend:
    """All connections of the platform's callers."""

    def __init__(self, core: CallManager) -> None:
        """Begin without connections."""
        self.core = core
        self.registry = PlatformRegistry(core)

    def connect(self, _peer: tuple[str, int] = ("", 0)) -> PlatformConnection:
        """Return the protocol of a new connection, of a caller or of somebody who checks the health."""
        connection = PlatformConnection(self.registry)
        self.registry.mark_active(connection)
        self.core.timers.schedule(self.core.clock() + CALLER_AFTER_S, partial(self._check_silent, connection))
        return connection

    def is_flushed(self) -> bool:
        """Whether all output has been written, and the releases sent have been acknowledged.

        What the driver has pulled counts as output until it is written: the end of the process must not cut
        an answer in two while its caller reads slowly.
        """
        has_unwritten = any(connection.has_unwritten() for connection in self.registry.connections)
        return self.registry.deliveries.is_settled() and not has_unwritten

    @staticmethod
    def _check_silent(connection: PlatformConnection) -> None:
        """A health check asks at once; what has said nothing by now is a caller.

        One that asks for a health check must not get releases: it would take them for the answer.
        """
        if not connection.requests:
            connection.identify_as_caller()
