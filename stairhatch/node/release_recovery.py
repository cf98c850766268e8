"""Opens connections to collect the releases that roster servers send on dead connections.

A server sends the release of a call on the connection of its set-up, and again on the next connection that
is opened. If that connection was cut off silently, the server takes it for open, and nothing is received on
it. So another connection is opened from time to time while calls are established that were set up on a
connection that is dead, or was closed before it was known whether it is. The module uses no socket.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import RosterServer
from stairhatch.node.server_connection import ServerConnection

RECOVERY_INTERVAL_S = 6.0  # a caller must receive the release of its call within 8 s of the call's end
RECOVERY_CHECK_INTERVAL_S = 0.5  # also the time between two dials if the connection does not come up


class RecoveringPool(Protocol):
    """The interface of the connection pool that the recovery uses."""

    call_manager: CallManager
    active: dict[int, ServerConnection]
    handed_over: bool

    def connections_to(self, server: RosterServer) -> list[ServerConnection]:
        """Return the active, standby and superseded connections to a server."""

    def dial_standby(self, connection: ServerConnection) -> None:
        """Dial a standby to the server of an active connection."""


class ReleaseRecovery:
    """The established calls whose set-up connection may be dead, and the dials for their releases."""

    def __init__(self, pool: RecoveringPool) -> None:
        """Start without calls."""
        self._pool = pool
        self._call_manager = pool.call_manager
        self._calls: dict[int, set[str]] = {}  # ids of calls, by server id

    def watch(self, server: RosterServer, call_ids: Iterable[str]) -> None:
        """Watch the calls that were set up on a connection which may bring no more of their releases."""
        established = set(filter(self._call_manager.calls.is_established, call_ids))
        if not established:
            return
        if server.id in self._calls:
            self._calls[server.id] |= established
            return
        self._calls[server.id] = established
        self._schedule_check(server)

    def _schedule_check(self, server: RosterServer) -> None:
        check_at = self._call_manager.clock() + RECOVERY_CHECK_INTERVAL_S
        self._call_manager.timers.schedule(check_at, partial(self._check, server))

    def _check(self, server: RosterServer) -> None:
        """Open a connection to a server if one is due; end the checks once its calls are over."""
        call_ids = set(filter(self._call_manager.calls.is_established, self._calls[server.id]))
        if not call_ids or self._pool.handed_over:
            del self._calls[server.id]
            return
        self._calls[server.id] = call_ids
        self._schedule_check(server)
        active = self._pool.active.get(server.id)
        if active is not None and active.liveness.is_connected and self._is_due(server):
            self._open_connection(active, len(call_ids))

    def _is_due(self, server: RosterServer) -> bool:
        """Return whether no connection to a server has come up for the recovery interval."""
        due_since = self._call_manager.clock() - RECOVERY_INTERVAL_S
        connections = (each.liveness for each in self._pool.connections_to(server))
        return all(each.connected_at <= due_since for each in connections if each.is_connected)

    def _open_connection(self, active: ServerConnection, calls: int) -> None:
        self._call_manager.counters.add("release_recoveries")
        instance = active.server.record.instance
        self._call_manager.log("server_release_recovery", server=instance, calls=calls)
        self._pool.dial_standby(active)
