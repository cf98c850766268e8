"""Accepts connections, limits their number and their idle time, and evicts idle ones.

Besides the end of its protocol, four rules close a connection from this side. An idle connection is evicted
when a new connection needs its place (counter `connections_evicted`). A connection whose first request, or
the rest of a message, does not arrive in time is timed out (`connections_expired`). A connection that stays
idle beyond the limit of its listener is closed (`connections_idle_closed`). A drain closes all idle
connections (`connections_drained`).
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import select
import socket
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from stairhatch.node.io.accepted_connection import AcceptedConnection, IdleOrder
from stairhatch.node.io.addresses import SocketAddress
from stairhatch.node.io.connection_runner import ConnectionRunner
from stairhatch.node.io.descriptor_budget import EVICTION_DELAY_S, CallerAdmission
from stairhatch.node.protocol import ConnectionProtocol

FIRST_REQUEST_TIMEOUT_S = 2.5  # a caller's first request has to be answered within 3 s
MESSAGE_TIMEOUT_S = 5.0  # for a later message, from its first byte; some callers send in small pieces
TIMEOUT_CHECK_S = 0.25  # check period of the first-request, message and idle timeouts
EVICTION_GRACE_S = 0.25  # time for a new connection to send its request before it may be evicted
DRAIN_QUIET_S = 0.02  # idle time before a drain closes a connection; the ACK arrives within it
DRAIN_FIRST_REQUEST_S = 0.5  # time for a new connection to send its first request during a drain
ACCEPTS_PER_TURN = 64  # further connections wait one turn of the loop, so that others are served
MAX_EVICTIONS_PENDING = 8  # evicted connections that still hold their descriptors
NO_IDLE_CONNECTION_PAUSE_S = 0.02  # pause of accepting when no connection can be evicted
EXHAUSTED_PAUSE_S = 0.05  # pause of accepting when descriptors have run out

ProtocolFactory = Callable[[SocketAddress], ConnectionProtocol]  # parameter: the peer's address


class ListenerLimits(NamedTuple):
    """Limits on the connections of one listener."""

    max_connections: int  # at a time
    first_request_timeout_s: float = FIRST_REQUEST_TIMEOUT_S
    eviction_grace_s: float = EVICTION_GRACE_S
    idle_timeout_s: float = math.inf  # a connection without received bytes for longer is closed if idle


class Listener:
    """Accepts connections on one listening socket and closes them by the rules of this module.

    The socket is registered with `add_reader` instead of being awaited: a cancelled accept may already have
    accepted a connection, which would then be closed although its caller has sent a request.
    """

    def __init__(
        self,
        runner: ConnectionRunner,
        admission: CallerAdmission,
        sock: socket.socket,
        protocol_factory: ProtocolFactory,
        limits: ListenerLimits,
    ) -> None:
        """Take ownership of a listening socket; no connection is accepted before `open`."""
        self.runner = runner
        self.admission = admission
        self.sock = sock
        self.protocol_factory = protocol_factory
        self.limits = limits
        self.connections: IdleOrder = OrderedDict()
        self.evicted: set[AcceptedConnection] = set()  # evicted connections that still hold their descriptors
        self.accepting = False
        self.closed = False
        self.paused_until = 0.0

    def open(self) -> None:
        """Start accepting connections and checking their timeouts. A second call does nothing."""
        if not self.closed and not self.accepting:
            self.accepting = True
            self.runner.loop.add_reader(self.sock, self._accept_ready)
            self.runner.poller.register(self.sock, self._on_polled)
            self.runner.tasks.spawn(self._check_timeouts())

    def close(self) -> None:
        """Stop accepting and close this process's descriptor of the listening socket.

        Accepted connections stay open, and so does the socket in other processes that share it.
        """
        if self.accepting:
            self.runner.loop.remove_reader(self.sock)
            self.runner.poller.unregister(self.sock)
        self.closed = True
        self.sock.close()

    def close_after_accepting(self) -> None:
        """Accept the connections that are pending in the backlog, then close the listening socket.

        A close alone would reset the pending connections.
        """
        while self.accepting and not self.closed and select.select([self.sock], [], [], 0)[0]:
            connected = len(self.connections)
            self._accept_ready()
            if len(self.connections) <= connected:  # the connection limit was reached
                break
        if not self.closed:
            self.close()

    def has_unread(self) -> bool:
        """Return whether a connection is waiting to be accepted, or an accepted one has unread bytes."""
        accept_pending = self.accepting and not self.closed and bool(select.select([self.sock], [], [], 0)[0])
        return accept_pending or any(
            each.has_unread() for each in self.connections if not each.protocol.closing
        )

    # ---- accepting connections ----

    def _on_polled(self, _events: int) -> int:
        """Accept pending connections before set-ups are written, since one of them may carry a CANCEL.

        No connection is evicted for this. Returns 0: no bytes are read.
        """
        has_room = len(self.connections) < self.limits.max_connections
        if has_room and self.runner.loop.time() >= self.paused_until:
            self._accept_ready()
        return 0

    def _accept_ready(self) -> None:
        """Accept up to 64 pending connections, as long as there is room or an eviction makes room."""
        for _ in range(ACCEPTS_PER_TURN):
            if not self._make_room():
                return
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.admission.log_exhaustion("accept", error)
                self.admission.evict_one(self)
                self._pause(EXHAUSTED_PAUSE_S)
                return
            self.runner.call_manager.counters.add("connections_accepted")
            connection = AcceptedConnection(self.protocol_factory(peer), sock, self.runner.loop.time())
            self.connections[connection] = None
            self.runner.start_reading(connection, self.connections)
            self.runner.tasks.spawn(self._run_connection(connection))

    def _make_room(self) -> bool:
        """Return whether one more connection may be accepted, after an eviction if necessary.

        Accepting is paused if it returns False.
        """
        has_room = len(self.connections) < self.limits.max_connections
        if has_room and not self.admission.is_full_for(self):
            return True
        if len(self.evicted) >= MAX_EVICTIONS_PENDING:
            self._pause(EVICTION_DELAY_S)
            return False
        if not self.evict():
            self._pause(NO_IDLE_CONNECTION_PAUSE_S)
            return False
        return True

    def _pause(self, seconds: float) -> None:
        loop = self.runner.loop
        self.paused_until = loop.time() + seconds
        loop.remove_reader(self.sock)
        loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        if not self.closed:
            self.runner.loop.add_reader(self.sock, self._accept_ready)

    async def _run_connection(self, connection: AcceptedConnection) -> None:
        try:
            await self.runner.run(connection.sock, connection.protocol, connection)
        finally:
            self.connections.pop(connection, None)
            self.evicted.discard(connection)

    # ---- closing connections ----

    def evict(self, count: int = 1) -> int:
        """Evict up to `count` idle connections without a pending answer; return how many were evicted.

        Without evictions, callers that connect and send nothing, or that stay connected after one request,
        would keep all other callers out. The longest idle connections go first. Connections that have sent a
        request are kept as long as one without a request can be evicted, and a connection within an
        incomplete message goes only when no other is idle. A connection with unread bytes is never evicted:
        if the loop is more than `eviction_grace_s` late in reading a new connection, the connection would
        otherwise be evicted as silent although it carries a set-up.
        """
        evicted = 0
        for connection in self._idle_connections():
            if evicted == count:
                break
            if connection.has_unread():
                continue
            self._evict_connection(connection)
            evicted += 1
        return evicted

    def _idle_connections(self) -> list[AcceptedConnection]:
        """Return the connections that may be evicted, in the order of eviction."""
        now = self.runner.loop.time()
        since = now - self.limits.eviction_grace_s
        for connection in self.connections:
            connection.note_requests(now)
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle_since(since, now) and not connection.protocol.has_pending_response()
        ]
        # The sort is stable: within each group the longest idle connection stays first.
        idle.sort(key=lambda each: (each.partial_since > 0, each.protocol.request_received))
        return idle

    def _evict_connection(self, connection: AcceptedConnection) -> None:
        del self.connections[connection]
        self.evicted.add(connection)
        self.runner.call_manager.counters.add("connections_evicted")
        if response := connection.protocol.eviction_response():
            with contextlib.suppress(OSError):
                connection.sock.send(response)
        connection.protocol.closing = True
        connection.protocol.abort()

    async def _check_timeouts(self) -> None:
        while not self.closed or self.connections:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            self.close_overdue()

    def close_overdue(self) -> None:
        """Close the connections that have exceeded a timeout.

        The timeouts are those for the first request, for the rest of an incomplete message and for idle
        connections.
        """
        now = self.runner.loop.time()
        for connection in list(self.connections):
            protocol = connection.protocol
            connection.note_requests(now)
            age_s = now - connection.accepted_at
            first_request_overdue = (
                not protocol.request_received and age_s > self.limits.first_request_timeout_s
            )
            if connection.has_unread():
                continue  # the bytes arrived in time, but the loop has not read them yet
            idle_s = now - connection.received_at
            if idle_s > self.limits.idle_timeout_s and not protocol.closing and protocol.is_idle():
                self.runner.call_manager.counters.add("connections_idle_closed")
                protocol.close_when_idle()
                continue
            partial_age_s = now - connection.partial_since if connection.partial_since else 0.0
            rest_overdue = partial_age_s > MESSAGE_TIMEOUT_S
            if protocol.closing or not (first_request_overdue or rest_overdue):
                continue
            self.runner.call_manager.counters.add("connections_expired")
            protocol.read_timed_out()

    def close_idle(self) -> None:
        """Close the idle connections that have no unread bytes, as a step of a drain.

        As long as new set-ups are accepted, a connection has to be quiet for `DRAIN_QUIET_S`. Once they are
        rejected this is not required, since a caller that never pauses would keep its connection until the
        process ends. A connection that has brought no request yet stays open for `DRAIN_FIRST_REQUEST_S` in
        either case. A set-up that crosses the close is repeated by its caller, at another softswitch.
        """
        now = self.runner.loop.time()
        rejecting = self.runner.call_manager.readiness.rejects_new_calls()
        # The least recently used are closed last: the one that a drain keeps for releases is used least.
        busiest_first = reversed(list(self.connections))
        for connection in busiest_first:
            protocol = connection.protocol
            if protocol.request_received:
                quiet = rejecting or now - connection.received_at >= DRAIN_QUIET_S
            else:
                quiet = now - connection.accepted_at >= DRAIN_FIRST_REQUEST_S
            if protocol.closing or not quiet or not protocol.is_idle() or connection.has_unread():
                continue
            self.runner.call_manager.counters.add("connections_drained")
            with contextlib.suppress(OSError):
                # The socket is shut down here, so that no request arrives between the check and the close.
                connection.sock.shutdown(socket.SHUT_WR)
            protocol.close_when_idle()
