"""Whether this process takes calls: its health, drains, and its end (graceful shutdown).

The frontends answer health checks by it, and so does the admin endpoint.
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

FIRST_CONNECT_WAIT_S = 1.5  # how long a start waits for connections; some come up a second late
REJECT_AFTER_S = 0.7  # so long into a drain new set-ups are rejected, so that each connection empties
RELEASE_PATH_S = 3.6  # how long a drain keeps connections for the releases of established calls
RETRY_AFTER_S = 0.1  # what a drain tells callers: another softswitch takes them
NAMED_CHARACTERS = 80  # of the instance ids that a reason names


class HealthStatus(Enum):
    """What keeps a process from serving new callers; the values are the admin endpoint's words."""

    READY = ""
    DRAINING = "draining"
    NOT_LISTENING = "not listening"
    LIST_UNKNOWN = "the list of roster servers is not known yet"
    NO_SERVER_READY = "no roster server is listed as ready"
    CONNECTING = "not tried yet"


class Health(NamedTuple):
    """Whether new callers are served, and if not, why."""

    status: HealthStatus
    untried: str = ""  # instance ids of the servers that no connection has been tried to

    @property
    def is_ready(self) -> bool:
        """Whether new callers are served."""
        return self.status is HealthStatus.READY

    @property
    def reason(self) -> str:
        """The status in words; "" where it is READY."""
        if self.status is HealthStatus.CONNECTING:
            return f"{self.status.value}: {self.untried}"
        return str(self.status.value)


READY = Health(HealthStatus.READY)
DRAINING = Health(HealthStatus.DRAINING)
NOT_LISTENING = Health(HealthStatus.NOT_LISTENING)
LIST_UNKNOWN = Health(HealthStatus.LIST_UNKNOWN)
NO_SERVER_READY = Health(HealthStatus.NO_SERVER_READY)


class Readiness:
    """The state of one process from its start through drains to its end. Accepted calls are finished."""

    def __init__(self, context: NodeContext, calls: CallRegistry, servers: ServerRegistry) -> None:
        """Begin as a process that does not listen yet and knows no list."""
        self.listening = False  # the frontends accept connections
        self.list_known = False  # the coordinator has answered, or need not
        self.drain_since: float | None = None
        self.reject_after_s = REJECT_AFTER_S
        self.shutting_down = False  # the drain is for good
        self.shutdown_complete = False  # and all that was taken is answered
        self.on_drain_started: Callable[[], None] = do_nothing  # the driver ends idle connections
        self._context = context
        self._calls = calls
        self._servers = servers
        self._started = False  # every server listed at the start has been tried
        self._connecting_since = math.inf  # when connections were first awaited, the list being known

    def health(self) -> Health:
        """Whether this process can serve new callers now.

        Once every listed server has been tried it is able for good: a server that dies is for the decisions,
        and a `no` for its sake would take away callers that others can serve.
        """
        if self.drain_since is not None:
            return DRAINING
        startup = self.startup_health()
        if not startup.is_ready:
            return startup
        return READY if self.listening else NOT_LISTENING

    def startup_health(self) -> Health:
        """What has to come before calls can be set up; READY from the first time on that nothing has.

        The wait for connections is bounded for all of them together: one server that is listed and never
        answers, or servers that are listed one after the other, must not hold up a start.
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
            return Health(HealthStatus.CONNECTING, " ".join(untried)[:NAMED_CHARACTERS])
        self._started = True
        return READY

    def drain(self, on: bool) -> None:
        """Begin or end a drain. Accepted calls are finished either way."""
        if on is (self.drain_since is not None):
            return
        self.drain_since = self._context.clock() if on else None
        self._context.counters.add("drains_started" if on else "drains_cancelled")
        self._context.log("drain", state="on" if on else "off", unanswered=self._calls.unanswered)
        if on:
            self.on_drain_started()

    def rejects_new_calls(self) -> bool:
        """Whether a drain rejects new set-ups. A caller that never pauses would keep its connection."""
        return (
            self.drain_since is not None and self._context.clock() - self.drain_since >= self.reject_after_s
        )

    def keeps_release_path(self) -> bool:
        """Whether a drain keeps a connection for the releases of established calls.

        A process that ends keeps it until its shutdown is complete: the next gets the releases of calls that
        live on.
        """
        if self.drain_since is None or self._context.clock() - self.drain_since >= RELEASE_PATH_S:
            return False
        if self.shutting_down:
            return not self.shutdown_complete
        return bool(self._calls.by_number)

    def keeps_connections_of_calls(self) -> bool:
        """Whether a drain keeps each connection whose calls go on, until their ends are told.

        A process that ends does not wait for them: the next one gets their releases.
        """
        return self.drain_since is not None and not self.shutting_down

    def complete_shutdown(self) -> None:
        """All accepted calls are answered: new ones are rejected at once."""
        self.shutdown_complete = True
        self.reject_after_s = 0.0
