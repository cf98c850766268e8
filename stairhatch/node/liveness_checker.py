"""Finds unresponsive connections to roster servers: those on which an expected message is overdue.

A connection may be cut off silently and stay open: all set-ups would be written to it and none answered. A
suspicion alone ends no connection and no set-up, since a server may merely be slow. Instead a standby is
dialled, and the messages on both connections are compared (`ServerConnectionPool`).
"""

from __future__ import annotations

from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.server_connection import MIN_SUPERSEDED_READ_S, ServerConnection

LIVENESS_CHECK_INTERVAL_S = 0.1
MAX_SUPERSEDED = 3  # per server, beside the active one: a server reports its load on four connections


class CheckedPool(Protocol):
    """The interface of the connection pool that the checker uses."""

    call_manager: CallManager
    active: dict[int, ServerConnection]
    standby: dict[int, ServerConnection]
    superseded: list[ServerConnection]

    def dial_standby(self, connection: ServerConnection) -> None:
        """Dial a standby to the server of an active connection."""


class LivenessChecker:
    """The periodic check of all active connections."""

    def __init__(self, pool: CheckedPool) -> None:
        """Schedule the first check of the pool's connections."""
        self._pool = pool
        self._call_manager = pool.call_manager
        self._call_manager.timers.schedule(
            self._call_manager.clock() + LIVENESS_CHECK_INTERVAL_S, self._check
        )

    def _check(self) -> None:
        """Dial a standby for each unresponsive active connection that may be suspected."""
        now = self._call_manager.clock()
        self._call_manager.timers.schedule(now + LIVENESS_CHECK_INTERVAL_S, self._check)
        unresponsive: list[ServerConnection] = []
        for server_id, connection in self._pool.active.items():
            has_standby = server_id in self._pool.standby
            if has_standby or connection.draining or not connection.is_unresponsive(now):
                continue
            if self._may_suspect(connection, now):
                self._suspect(connection, now)
                unresponsive.append(connection)
        for connection in unresponsive:
            self._pool.dial_standby(connection)

    def _may_suspect(self, connection: ServerConnection, now: float) -> bool:
        """Return whether an unresponsive connection may be suspected at `now`, which dials a standby.

        A server sends a load report first on each new connection. If nothing was received on the connection,
        the server is not merely slow, and the backoff does not apply.
        """
        liveness = connection.liveness
        recently_superseded = sum(
            each.server is connection.server and each.superseded_at > now - MIN_SUPERSEDED_READ_S
            for each in self._pool.superseded
        )
        never_received = liveness.last_received_at < liveness.connected_at
        return now >= liveness.suspect_from or (never_received and recently_superseded < MAX_SUPERSEDED)

    def _suspect(self, connection: ServerConnection, now: float) -> None:
        liveness = connection.liveness
        liveness.back_off(now)
        self._call_manager.counters.add("server_connections_unresponsive")
        silent_s = round(now - liveness.last_activity_at, 2)
        instance = connection.server.record.instance
        self._call_manager.log("server_connection_unresponsive", server=instance, silent_s=silent_s)
