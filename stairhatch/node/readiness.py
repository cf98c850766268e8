"""Readiness of a process for new calls: its start-up, its health, drains and graceful shutdown.

The frontends and the admin endpoint answer health checks with `Readiness.health`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from stairhatch.node.calls import CallRegistry
from stairhatch.node.context import NodeContext
from stairhatch.node.protocol import do_nothing
from stairhatch.node.server_registry import ServerRegistry
from stairhatch.overload.events import Availability

FIRST_CONNECT_WAIT_S = 1.5  # limit on the wait for connections at start-up; some connect a second late
REJECT_AFTER_S = 0.7  # a drain rejects new set-ups after this time, so that each connection becomes idle
RELEASE_PATH_S = 3.6  # a drain keeps connections for releases of established calls for this long
RETRY_AFTER_S = 0.1  # retry time sent by a draining process: another softswitch accepts the call
MAX_REASON_CHARACTERS = 80  # limit on the instance ids listed in `Health.reason`


class HealthStatus(Enum):
    """Health of a process; every status but READY keeps it from serving new callers.

    The values appear in replies of the admin endpoint.
    """

    READY = ""
    DRAINING = "draining"
    NOT_LISTENING = "not listening"
    LIST_UNKNOWN = "the list of roster servers is not known yet"
    NO_SERVER_READY = "no roster server is listed as ready"
    CONNECTING = "not tried yet"


class Health(NamedTuple):
    """Result of a health check: the status and, for CONNECTING, the servers not yet tried."""

    status: HealthStatus
    untried: str = ""  # instance ids of the servers without a connection attempt, separated by spaces

    @property
    def is_ready(self) -> bool:
        """Whether the process can serve new callers."""
        return self.status is HealthStatus.READY

    @property
    def reason(self) -> str:
        """Description of the status for operators; "" for READY."""
        if self.status is HealthStatus.CONNECTING:
            return f"{self.status.value}: {self.untried}"
        return str(self.status.value)


READY = Health(HealthStatus.READY)
DRAINING = Health(HealthStatus.DRAINING)
NOT_LISTENING = Health(HealthStatus.NOT_LISTENING)
LIST_UNKNOWN = Health(HealthStatus.LIST_UNKNOWN)
NO_SERVER_READY = Health(HealthStatus.NO_SERVER_READY)


class Readiness:
    """State of one process from start-up through drains to shutdown; accepted calls are completed in all."""

    def __init__(self, context: NodeContext, calls: CallRegistry, servers: ServerRegistry) -> None:
        """Start in the state of a process that is not listening and has no endpoint list."""
        self.listening = False  # the frontends accept connections
        self.list_known = False  # the coordinator has sent the endpoint list, or none is needed
        self.drain_since: float | None = None
        self.reject_after_s = REJECT_AFTER_S
        self.shutting_down = False  # the drain ends with the end of the process
        self.shutdown_complete = False  # the process is shutting down and all accepted calls are answered
        self.on_drain_started: Callable[[], None] = do_nothing  # set by the driver: closes idle connections
        self._context = context
        self._calls = calls
        self._servers = servers
        self._started = False  # start-up is complete: `startup_health` returns READY from now on
        self._connecting_since = math.inf  # start of the wait for connections to the listed servers

    def health(self) -> Health:
        """Return whether this process can serve new callers now, and the reason if not.

        After start-up the state of the servers no longer counts: the overload control handles server
        failures, and a negative answer would turn away callers that the other servers can serve.
        """
        if self.drain_since is not None:
            return DRAINING
        startup = self.startup_health()
        if not startup.is_ready:
            return startup
        return READY if self.listening else NOT_LISTENING

    def startup_health(self) -> Health:
        """Return the start-up step that is still missing before calls can be set up, or READY.

        Once READY, the result stays READY. One time limit applies to the connections to all servers
        together: a listed server that never answers, or servers that are listed one after the other, must
        not delay start-up any longer.
        """
        if self._started:
            return READY
        if not self.list_known:
            return LIST_UNKNOWN
        ready = [
            server
            for server in self._servers.by_id.values()
            if server.record.availability is Availability.READY
        ]
        if not ready:
            return NO_SERVER_READY
        now = self._context.clock()
        self._connecting_since = min(self._connecting_since, now)
        untried = [
            server.record.instance
            for server in ready
            if not server.dial_attempted and self._servers.is_in_scope(server)
        ]
        if untried and now - self._connecting_since < FIRST_CONNECT_WAIT_S:
            return Health(HealthStatus.CONNECTING, " ".join(untried)[:MAX_REASON_CHARACTERS])
        self._started = True
        return READY

    def drain(self, on: bool) -> None:
        """Start or cancel a drain; no effect if already in that state. Accepted calls are completed."""
        if on is (self.drain_since is not None):
            return
        self.drain_since = self._context.clock() if on else None
        self._context.counters.add("drains_started" if on else "drains_cancelled")
        self._context.log("drain", state="on" if on else "off", unanswered=self._calls.unanswered)
        if on:
            self.on_drain_started()

    def rejects_new_calls(self) -> bool:
        """Whether a drain rejects new set-ups now, `reject_after_s` after its start.

        Otherwise the connection of a caller that keeps sending set-ups would never become idle and close.
        """
        return (
            self.drain_since is not None and self._context.clock() - self.drain_since >= self.reject_after_s
        )

    def keeps_release_path(self) -> bool:
        """Whether a drain keeps a caller's connection open for the releases of established calls.

        A process that is shutting down keeps it until its shutdown is complete: the next process receives the
        releases of the calls that are still established then.
        """
        if self.drain_since is None or self._context.clock() - self.drain_since >= RELEASE_PATH_S:
            return False
        if self.shutting_down:
            return not self.shutdown_complete
        return bool(self._calls.by_number)

    def keeps_connections_of_calls(self) -> bool:
        """Whether a drain keeps each connection with established calls until these calls are released.

        A process that is shutting down does not wait for them: the next process receives their releases.
        """
        return self.drain_since is not None and not self.shutting_down

    def complete_shutdown(self) -> None:
        """Record that all accepted calls are answered; new set-ups are rejected immediately from now on."""
        self.shutdown_complete = True
        self.reject_after_s = 0.0
