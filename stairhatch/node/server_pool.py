"""The pool of connections to all roster servers of the endpoint list.

The pool decides which connection to each server is active, and handles connections that are unresponsive or
whose server is gone or out of scope. If the active connection is unresponsive without a known reason, a
standby is dialled. Once the standby is up it is promoted, and the previous connection is superseded: it is
read until nothing more is expected on it, and ended if the new connection shows that it is dead. The pool
does not choose servers for calls and opens no sockets: the function that dials is passed in.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, RosterServer
from stairhatch.node.connection_liveness import LONGEST_SILENCE_S
from stairhatch.node.failure_monitor import FailureMonitor
from stairhatch.node.liveness_checker import MAX_SUPERSEDED, LivenessChecker
from stairhatch.node.release_recovery import ReleaseRecovery
from stairhatch.node.send_queue import MAX_ARRIVAL_SKEW_S
from stairhatch.node.server_connection import MIN_SUPERSEDED_READ_S, ServerConnection
from stairhatch.node.server_responses import LossReason
from stairhatch.overload.events import Availability, LoadReport

START_MARGIN_S = 1.0  # a connection older than the server's start by more leads to the previous process
CLOSE_CHECK_S = 1.0  # between two checks whether a superseded or out-of-scope connection may close
CLOSE_CHECK_MARGIN_S = 0.01  # added to the minimum reading time before the first check
REDIAL_DELAY_S = 0.1  # between the end of a dead connection and the next dial


class ServerConnectionPool:
    """The pool of connections to all roster servers of the endpoint list; implements `ServerPool`."""

    def __init__(self, call_manager: CallManager, dial: Callable[[ServerConnection], None]) -> None:
        """Attach the pool to a call manager; `dial` keeps a connection open until it may be closed."""
        self.call_manager, self.dial = call_manager, dial
        self.active: dict[int, ServerConnection] = {}  # the connection in use, by server id
        self.standby: dict[int, ServerConnection] = {}  # dialled beside an unresponsive one, by server id
        self.superseded: list[ServerConnection] = []  # still read for pending responses and releases
        self.draining: set[int] = set()  # out-of-scope servers whose connections cannot close yet
        self.handed_over = False  # another process has taken over
        call_manager.servers.pool = self
        self.failures = FailureMonitor(self)
        self.liveness_checker = LivenessChecker(self)
        self.release_recovery = ReleaseRecovery(self)

    # ---- changes of the endpoint list ----

    def record_changed(self, server: RosterServer) -> None:
        """Open, keep or close the connections to a server whose record is new or has changed."""
        connection = self.active.get(server.id)
        if server.record.availability is Availability.GONE:
            for each in self.connections_to(server):
                each.drain()
            if connection is None:  # never in scope; deferred, since the caller iterates over the list
                self.call_manager.timers.schedule(self.call_manager.clock(), partial(self._forget, server))
            return
        if self.handed_over:
            return
        if not self.call_manager.servers.is_in_scope(server):
            self._drain_server(server)
            return
        if connection is None:
            connection = self.active[server.id] = ServerConnection(self, server)
            self.dial(connection)
        connection.draining = False
        for each in self.connections_to(server):
            if each.liveness.connected_at < server.record.started_at - START_MARGIN_S:
                each.abort()  # the process to which it was opened has ended
        connection.notify_writable()

    def _drain_server(self, server: RosterServer) -> None:
        """Close the connections to an out-of-scope server once it has no open call.

        Until then the server sends releases on these connections, and the softswitch sends its own.
        """
        if server.id in self.draining or not self.connections_to(server):
            return
        attempts = (call.attempt for call in self.call_manager.calls.by_number.values())
        if any(attempt is not None and attempt.server is server for attempt in attempts):
            self.draining.add(server.id)
            self.call_manager.timers.schedule(
                self.call_manager.clock() + CLOSE_CHECK_S, partial(self._check_draining, server)
            )
            return
        for each in self.connections_to(server):
            each.drain()

    def _check_draining(self, server: RosterServer) -> None:
        self.draining.discard(server.id)
        if server.record.availability is not Availability.GONE:
            self.record_changed(server)

    # ---- sending set-ups and releases ----

    def send_setup(self, attempt: Attempt) -> None:
        """Queue a set-up on the active connection; fail it if there is none or the queue is full."""
        connection = self.active.get(attempt.server.id)
        if connection is None or not connection.send_setup(attempt):
            self.call_manager.attempts.transmission_failed(attempt, reached=True)

    def send_release(self, server: RosterServer, ident: str, cause: int) -> bool:
        """Cancel a set-up or release an established call; return whether that waits to be written."""
        connection = self._connection_for_release(server, ident)
        if connection is None or not connection.send_queue.has_room_for_release:
            return False
        for each in self.connections_to(server):
            each.forget_call(ident)
        connection.send_release(ident, cause)
        return True

    def _connection_for_release(self, server: RosterServer, ident: str) -> ServerConnection | None:
        """Return the active connection, or if it is down another that is up, the set-up's own first.

        A server that is gone keeps the connections on which a set-up is pending, although its active
        connection may have ended. Without a connection for its cancellation, the set-up would stay open at
        the server beside the next attempt.
        """
        active = self.active.get(server.id)
        if active is not None and active.liveness.is_connected:
            return active
        connected = [each for each in self.connections_to(server) if each.liveness.is_connected]
        with_setup = (each for each in connected if ident in each.pending_setups)
        return next(with_setup, None) or next(iter(connected), active)

    # ---- shutdown ----

    def shut_down(self) -> None:
        """End all connections after another process has taken over, so that servers report to that process.

        Releases received here could not be delivered once the callers' last connections have closed.
        """
        self.handed_over = True
        for connection in self._all_connections():
            connection.discard()

    def is_flushed(self) -> bool:
        """Return whether all connections that are up have written everything."""
        return all(connection.is_flushed() for connection in self._all_connections())

    # ---- queries and notifications of connections ----

    def connections_to(self, server: RosterServer) -> list[ServerConnection]:
        """Return the active, standby and superseded connections to a server."""
        found = [each[server.id] for each in (self.active, self.standby) if server.id in each]
        return found + [each for each in self.superseded if each.server is server]

    def is_standby(self, connection: ServerConnection) -> bool:
        """Return whether a connection is a standby: dialled beside the active one and not yet up."""
        return self.standby.get(connection.server.id) is connection

    def is_superseded(self, connection: ServerConnection) -> bool:
        """Return whether another connection has replaced this one as the active connection."""
        return connection in self.superseded

    def has_connected_superseded(self, server: RosterServer) -> bool:
        """Return whether a superseded connection to a server is still up."""
        return any(each.server is server and each.liveness.is_connected for each in self.superseded)

    def remove(self, connection: ServerConnection) -> None:
        """Remove an ended connection; drop its server if that is gone, or reconnect if it is listed again."""
        server = connection.server
        if connection in self.superseded:
            self.superseded.remove(connection)
        if self.is_standby(connection):
            del self.standby[server.id]
        if self.active.get(server.id) is connection:
            del self.active[server.id]
            if server.record.availability is not Availability.GONE:
                self.record_changed(server)  # the server was listed again while the connection closed
            else:
                self._forget(server)

    def _forget(self, server: RosterServer) -> None:
        """Drop a server that is gone, ending its established calls, which nothing else would ever end."""
        if server.record.availability is Availability.GONE:
            self.call_manager.responses.terminate_established_at(server, math.inf, LossReason.LISTED_GONE)
            self.call_manager.servers.forget(server)

    # ---- standby connections ----

    def dial_standby(self, connection: ServerConnection) -> None:
        """Dial a standby to the server of an active connection, unless it has a standby or is draining."""
        server = connection.server
        is_active = self.active.get(server.id) is connection
        if is_active and server.id not in self.standby and not connection.draining:
            self._close_oldest_superseded(server)
            standby = self.standby[server.id] = ServerConnection(self, server)
            standby.liveness.inherit_backoff(connection.liveness)
            self.dial(standby)

    def promote(self, connection: ServerConnection) -> None:
        """Make a standby that has come up the active connection, and keep reading the superseded one."""
        server_id = connection.server.id
        del self.standby[server_id]
        old = self.active.get(server_id)
        self.active[server_id] = connection
        if old is None:
            return
        self.superseded.append(old)
        old.mark_superseded()
        first_check_at = old.superseded_at + MIN_SUPERSEDED_READ_S + CLOSE_CHECK_MARGIN_S
        self.call_manager.timers.schedule(first_check_at, partial(self._check_superseded, old))
        old.hand_queue_to(connection)

    # ---- superseded connections ----

    def _check_superseded(self, old: ServerConnection) -> None:
        """Let a superseded connection close if nothing more is expected on it, or else check again later."""
        if old in self.superseded:
            old.notify_writable()
            self.call_manager.timers.schedule(
                self.call_manager.clock() + CLOSE_CHECK_S, partial(self._check_superseded, old)
            )

    def _close_oldest_superseded(self, server: RosterServer) -> None:
        """Make room for one more connection: let the oldest superseded one without pending set-ups close.

        A server reports its load on four connections. It repeats releases sent on the closed connection on
        the one that is opened next. If the connection was cut off silently, the server does not learn that it
        is closed and sends later releases on it as well.
        """
        oldest_first = [each for each in self.superseded if each.server is server]
        if len(oldest_first) >= MAX_SUPERSEDED and (
            old := next((e for e in oldest_first if not e.pending_setups), None)
        ):
            self.release_recovery.watch(server, old.established_calls)
            old.end_superseded_period()

    def message_received(
        self, connection: ServerConnection, is_load_report: bool, report: LoadReport
    ) -> None:
        """Handle a received message, and check superseded connections that should have brought one too.

        A server sends its load reports, except the first, on all connections at once. Any other message shows
        only that the server sends, so a connection on which nothing is due may well be silent meanwhile.
        """
        self.failures.message_received(connection, is_load_report, report)
        if not self.superseded or connection in self.superseded:
            return
        if is_load_report and connection.liveness.load_reports < 2:  # sent first on each new connection
            return
        now = self.call_manager.clock()
        for old in self.superseded:
            if old.server is not connection.server or old.dead_check_pending:
                continue
            if not is_load_report and not old.is_message_due(now):
                self._watch_calls_of_silent(old, now)
                continue
            both_up_at = max(connection.liveness.connected_at, old.liveness.connected_at)
            if max(old.liveness.last_received_at, both_up_at) < now - MAX_ARRIVAL_SKEW_S:
                old.dead_check_pending = True
                self.call_manager.timers.schedule(
                    now + MAX_ARRIVAL_SKEW_S, partial(self._close_dead, old, now)
                )

    def _watch_calls_of_silent(self, old: ServerConnection, now: float) -> None:
        """Watch the calls of a superseded connection that may be dead, although nothing is due on it."""
        if not old.calls_watched and now - old.liveness.last_activity_at > LONGEST_SILENCE_S:
            old.calls_watched = True
            self.release_recovery.watch(old.server, old.established_calls)

    def _close_dead(self, old: ServerConnection, since: float) -> None:
        """End a superseded connection that received nothing around `since`, which confirms the suspicion.

        The backoff of its successor is reset, and another connection is dialled to receive the releases that
        were sent on the dead one.
        """
        old.dead_check_pending = False
        if old in self.superseded and old.liveness.last_received_at < since - MAX_ARRIVAL_SKEW_S:
            instance = old.server.record.instance
            self.call_manager.counters.add("server_connections_dead")
            self.call_manager.log("server_connection_dead", server=instance, open=len(old.pending_setups))
            self.release_recovery.watch(old.server, old.established_calls)
            old.abort_as_dead()
            active = self.active.get(old.server.id)
            if active is not None:
                active.liveness.reset_backoff()
            self.schedule_redial(old.server)

    def schedule_redial(self, server: RosterServer) -> None:
        """Schedule another connection, on which the server repeats releases lost on an ended connection."""
        self.call_manager.timers.schedule(
            self.call_manager.clock() + REDIAL_DELAY_S, partial(self._redial, server)
        )

    def _redial(self, server: RosterServer) -> None:
        """Dial a standby to receive the releases that were sent on a dead connection.

        Calls may have ended after the previous standby came up and before the dead connection was closed. The
        server repeats their releases on the connection that is opened after that.
        """
        connection = self.active.get(server.id)
        if server.id in self.standby:  # dialled earlier: it may open before the release is sent
            self.schedule_redial(server)
        elif connection is not None and connection.liveness.is_connected:
            self.dial_standby(connection)

    def _all_connections(self) -> list[ServerConnection]:
        return [*self.active.values(), *self.standby.values(), *self.superseded]
