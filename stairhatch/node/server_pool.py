"""The connections to all roster servers of the endpoint list: which one to each is in use.

Also what becomes of one that is unresponsive, or whose server is gone or out of scope. One connection
to each server is active. Where it is unresponsive for no reason that shows, a standby is dialled; once that
is up it is promoted, and the other is superseded: it is read until nothing is due on it, and ended when the
new one shows that it is dead. The pool never chooses a server and knows no socket: what dials is passed in.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, RosterServer
from stairhatch.node.failure_monitor import FailureMonitor
from stairhatch.node.liveness_checker import MAX_SUPERSEDED, LivenessChecker
from stairhatch.node.send_queue import SIMULTANEOUS_S
from stairhatch.node.server_connection import SUPERSEDED_S, ServerConnection
from stairhatch.node.server_responses import LossReason
from stairhatch.overload.events import Availability

START_MARGIN_S = 1.0  # a connection so much older than a server's start is to the process before
CLOSE_CHECK_S = 1.0  # between two looks whether a superseded connection, or a server's, may end
CLOSE_CHECK_MARGIN_S = 0.01  # the first of them is so much later than the time it is read at least
REDIAL_DELAY_S = 0.1  # after a dead connection has been ended


class ServerConnectionPool:
    """The connections to all roster servers that the endpoint list has named (`ServerPool`)."""

    def __init__(self, core: CallManager, dial: Callable[[ServerConnection], None]) -> None:
        """Watch the connections of a call manager; `dial` keeps each connected until it may be closed."""
        self.core, self.dial = core, dial
        self.active: dict[int, ServerConnection] = {}  # the one in use, by the server's id
        self.standby: dict[int, ServerConnection] = {}  # dialled because that one is unresponsive
        self.superseded: list[ServerConnection] = []  # what is pending there may still be answered
        self.draining: set[int] = set()  # servers out of scope, looked at until their connections may end
        self.handed_over = False  # another process goes on
        core.servers.pool = self
        self.failures = FailureMonitor(self)
        self.liveness_checker = LivenessChecker(self)

    # ---- the endpoint list ----

    def record_changed(self, server: RosterServer) -> None:
        """A server's record is new or has changed: a connection is kept while it is of use."""
        connection = self.active.get(server.id)
        if server.record.availability is Availability.GONE:
            for each in self.connections_to(server):
                each.drain()
            if connection is None:  # never in scope; not at once, since the list is being gone through
                self.core.timers.schedule(self.core.clock(), partial(self._forget, server))
            return
        if self.handed_over:
            return
        if not self.core.servers.is_in_scope(server):
            self._drain_server(server)
            return
        if connection is None:
            connection = self.active[server.id] = ServerConnection(self, server)
            self.dial(connection)
        connection.draining = False
        for each in self.connections_to(server):
            if each.liveness.connected_at < server.record.started_at - START_MARGIN_S:
                each.abort()  # the process that it was opened to is no more
        connection.notify_writable()

    def _drain_server(self, server: RosterServer) -> None:
        """Close the connections to a server that is out of scope, once no call is open there.

        Until then the ends of calls come on them, and releases go on them.
        """
        if server.id in self.draining or not self.connections_to(server):
            return
        attempts = (call.attempt for call in self.core.calls.by_number.values())
        if any(attempt is not None and attempt.server is server for attempt in attempts):
            self.draining.add(server.id)
            self.core.timers.schedule(
                self.core.clock() + CLOSE_CHECK_S, partial(self._check_draining, server)
            )
            return
        for each in self.connections_to(server):
            each.drain()

    def _check_draining(self, server: RosterServer) -> None:
        self.draining.discard(server.id)
        if server.record.availability is not Availability.GONE:
            self.record_changed(server)

    # ---- set-ups and releases ----

    def send_setup(self, attempt: Attempt) -> None:
        """Queue a set-up; it is rendered when it can be written."""
        connection = self.active.get(attempt.server.id)
        if connection is None or not connection.send_setup(attempt):
            self.core.attempts.transmission_failed(attempt, reached=True)

    def send_release(self, server: RosterServer, ident: str, cause: int) -> None:
        """Give a set-up up, or release an established call."""
        connection = self._connection_for_release(server, ident)
        if connection is None or not connection.send_queue.has_room_for_release:
            return
        for each in self.connections_to(server):
            each.forget_call(ident)
        connection.send_release(ident, cause)

    def _connection_for_release(self, server: RosterServer, ident: str) -> ServerConnection | None:
        """The connection in use; while that is not up, one that is, the set-up's own first.

        A server that is gone keeps the connections on which a set-up is pending, and the one in use may have
        ended: a set-up that could not be given up would be out beside the next attempt.
        """
        active = self.active.get(server.id)
        if active is not None and active.liveness.is_connected:
            return active
        connected = [each for each in self.connections_to(server) if each.liveness.is_connected]
        own = (each for each in connected if ident in each.pending_setups)
        return next(own, None) or next(iter(connected), active)

    # ---- the end of this process ----

    def shut_down(self) -> None:
        """Another process goes on: what the servers report from now on comes on its connections.

        Releases that came here would find no caller, once the last connection of a caller has gone.
        """
        self.handed_over = True
        for connection in self._all():
            connection.discard()

    def is_flushed(self) -> bool:
        """Whether all that can be written has been written."""
        return all(connection.is_flushed() for connection in self._all())

    # ---- what connections ask ----

    def connections_to(self, server: RosterServer) -> list[ServerConnection]:
        """Every connection to a server."""
        found = [each[server.id] for each in (self.active, self.standby) if server.id in each]
        return found + [each for each in self.superseded if each.server is server]

    def is_standby(self, connection: ServerConnection) -> bool:
        """Whether it has not come up yet beside the one in use."""
        return self.standby.get(connection.server.id) is connection

    def is_superseded(self, connection: ServerConnection) -> bool:
        """Whether another has taken its place."""
        return connection in self.superseded

    def reads_superseded(self, server: RosterServer) -> bool:
        """Whether a superseded connection to a server is still up."""
        return any(each.server is server and each.liveness.is_connected for each in self.superseded)

    def remove(self, connection: ServerConnection) -> None:
        """A connection has ended for good."""
        server = connection.server
        if connection in self.superseded:
            self.superseded.remove(connection)
        if self.is_standby(connection):
            del self.standby[server.id]
        if self.active.get(server.id) is connection:
            del self.active[server.id]
            if server.record.availability is not Availability.GONE:
                self.record_changed(server)  # it was listed again in the meantime
            else:
                self._forget(server)

    def _forget(self, server: RosterServer) -> None:
        """Drop a server that is gone. No call may be left there: nothing would ever end it."""
        if server.record.availability is Availability.GONE:
            self.core.responses.terminate_established_at(server, math.inf, LossReason.LISTED_GONE)
            self.core.servers.forget(server)

    # ---- standbys ----

    def dial_standby(self, connection: ServerConnection) -> None:
        """Dial once more to the server of the connection in use."""
        server = connection.server
        is_active = self.active.get(server.id) is connection
        if is_active and server.id not in self.standby and not connection.draining:
            self._close_oldest_superseded(server)
            standby = self.standby[server.id] = ServerConnection(self, server)
            standby.liveness.inherit_backoff(connection.liveness)
            self.dial(standby)

    def promote(self, connection: ServerConnection) -> None:
        """A standby has come up: it is used from now on. The other is kept for what may still come on it."""
        server_id = connection.server.id
        del self.standby[server_id]
        old = self.active.get(server_id)
        self.active[server_id] = connection
        if old is None:
            return
        self.superseded.append(old)
        old.mark_superseded()
        first_check_at = old.superseded_at + SUPERSEDED_S + CLOSE_CHECK_MARGIN_S
        self.core.timers.schedule(first_check_at, partial(self._check_superseded, old))
        old.hand_queue_to(connection)

    # ---- superseded connections ----

    def _check_superseded(self, old: ServerConnection) -> None:
        """A superseded connection ends once nothing is due on it; it is looked at until then."""
        if old in self.superseded:
            old.notify_writable()
            self.core.timers.schedule(self.core.clock() + CLOSE_CHECK_S, partial(self._check_superseded, old))

    def _close_oldest_superseded(self, server: RosterServer) -> None:
        """Before one more is dialled: of those superseded the oldest ends that has nothing pending.

        A server reports its load on four connections. What it may have sent on the one that ends comes on the
        one that is opened next.
        """
        kept = [each for each in self.superseded if each.server is server]
        if len(kept) >= MAX_SUPERSEDED and (old := next((e for e in kept if not e.pending_setups), None)):
            old.end_superseded_period()

    def message_received(self, connection: ServerConnection, is_load_report: bool) -> None:
        """Something came. Where a superseded connection should have brought it too, that one is dead."""
        self.failures.message_received(connection, is_load_report)
        if not self.superseded or connection in self.superseded:
            return
        if is_load_report and connection.liveness.load_reports < 2:  # the first comes on each by itself
            return
        now = self.core.clock()
        for old in self.superseded:
            if old.server is not connection.server or old.dead_check_pending:
                continue
            both_up_at = max(connection.liveness.connected_at, old.liveness.connected_at)
            if max(old.liveness.last_received_at, both_up_at) < now - SIMULTANEOUS_S:
                old.dead_check_pending = True
                self.core.timers.schedule(now + SIMULTANEOUS_S, partial(self._close_dead, old, now))

    def _close_dead(self, old: ServerConnection, since: float) -> None:
        """End a superseded connection on which nothing came: the suspicion was right.

        Its successor is suspected without a backoff, and another is dialled for what was released on the dead
        one.
        """
        old.dead_check_pending = False
        if old in self.superseded and old.liveness.last_received_at < since - SIMULTANEOUS_S:
            instance = old.server.record.instance
            self.core.counters.add("server_connections_dead")
            self.core.log("server_connection_dead", server=instance, open=len(old.pending_setups))
            old.abort_as_dead()
            active = self.active.get(old.server.id)
            if active is not None:
                active.liveness.reset_backoff()
            self.dial_again_later(old.server)

    def dial_again_later(self, server: RosterServer) -> None:
        """A connection has ended on which ends of calls may have been lost: they come on the next opened."""
        self.core.timers.schedule(self.core.clock() + REDIAL_DELAY_S, partial(self._dial_again, server))

    def _dial_again(self, server: RosterServer) -> None:
        """Dial once more, for ends of calls that were sent on a dead connection.

        Calls may have ended after the standby had come up and before the dead connection was closed: the
        server sends their ends once more, on the connection that is opened after that.
        """
        connection = self.active.get(server.id)
        if server.id in self.standby:  # dialled before: it may have been opened before the end was sent
            self.dial_again_later(server)
        elif connection is not None and connection.liveness.is_connected:
            self.dial_standby(connection)

    def _all(self) -> list[ServerConnection]:
        return [*self.active.values(), *self.standby.values(), *self.superseded]
