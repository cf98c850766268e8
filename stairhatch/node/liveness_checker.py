"""Finds connections to roster servers that are unresponsive though something is due on them.

A connection may be cut off without a word and stay open: all set-ups would go there and none come back.
Nothing is given up for the suspicion alone, since a server may merely be slow: a standby is dialled, and what
comes on both is compared (`ServerConnectionPool`).
"""

from __future__ import annotations

from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.server_connection import SUPERSEDED_S, ServerConnection

LIVENESS_CHECK_S = 0.1  # between two looks for unresponsive connections
MAX_SUPERSEDED = 3  # beside the one in use: a server reports its load on four


class CheckedPool(Protocol):
    """What the checker asks of the connections to the servers."""

    core: CallManager
    active: dict[int, ServerConnection]
    standby: dict[int, ServerConnection]
    superseded: list[ServerConnection]

    def dial_standby(self, connection: ServerConnection) -> None:
        """Dial once more to the server of the connection in use."""


class LivenessChecker:
    """Looks through the connections in use, regularly."""

    def __init__(self, pool: CheckedPool) -> None:
        """Begin to look."""
        self._pool = pool
        self._core = pool.core
        self._core.timers.schedule(self._core.clock() + LIVENESS_CHECK_S, self._check)

    def _check(self) -> None:
        """Dial a standby where a connection is unresponsive though something is due on it."""
        now = self._core.clock()
        self._core.timers.schedule(now + LIVENESS_CHECK_S, self._check)
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
        """Whether a standby may be dialled by now.

        On each new connection a load report comes first: where nothing came at all the server is not merely
        slow, and no backoff is kept.
        """
        liveness = connection.liveness
        beside = sum(
            each.server is connection.server and each.superseded_at > now - SUPERSEDED_S
            for each in self._pool.superseded
        )
        never_received = liveness.last_received_at < liveness.connected_at
        return now >= liveness.suspect_from or (never_received and beside < MAX_SUPERSEDED)

    def _suspect(self, connection: ServerConnection, now: float) -> None:
        liveness = connection.liveness
        liveness.back_off(now)
        self._core.counters.add("server_connections_unresponsive")
        silent_s = round(now - liveness.last_activity_at, 2)
        instance = connection.server.record.instance
        self._core.log("server_connection_unresponsive", server=instance, silent_s=silent_s)
