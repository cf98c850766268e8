"""Accepting connections: how many there may be, how long they may be idle, and which is evicted.

Three rules end a connection from this side. One that is idle is evicted where a newcomer needs its place
(counter `connections_evicted`). One whose first request, or the rest of a message, does not come in time is
timed out (`connections_expired`), and one that stays idle beyond its listener's limit is closed
(`connections_idle_closed`). A drain closes all that are idle (`connections_drained`).
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

from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.addresses import SocketAddress
from stairhatch.node.io.connection_runner import ConnectionRunner
from stairhatch.node.io.descriptor_budget import EVICTION_DELAY_S, CallerAdmission
from stairhatch.node.io.reader import IdleOrder
from stairhatch.node.protocol import ConnectionProtocol

FIRST_REQUEST_TIMEOUT_S = 2.5  # a caller's first request is owed an answer within 3 s
MESSAGE_TIMEOUT_S = 5.0  # of a further message, from its first byte; some callers' bytes come in pieces
TIMEOUT_CHECK_S = 0.25  # how often these two are checked
EVICTION_GRACE_S = 0.25  # a connection is not evicted before it could have asked
DRAIN_QUIET_S = 0.02  # so long after its last bytes one is idle: the ACK to its answer has come
DRAIN_FIRST_REQUEST_S = 0.5  # a new connection is given so long to ask, in a drain too
ACCEPTS_PER_TURN = 64  # then others have their turn
MAX_EVICTIONS_PENDING = 8  # connections evicted whose descriptors are not free yet
NOBODY_IDLE_PAUSE_S = 0.02  # accepting pauses so long where nobody can be evicted
EXHAUSTED_PAUSE_S = 0.05  # and so long where the system has no descriptor left

ProtocolFactory = Callable[[SocketAddress], ConnectionProtocol]  # is given the peer's address


class ListenerLimits(NamedTuple):
    """What those who connect to one address are allowed."""

    max_connections: int  # at a time
    first_request_timeout_s: float = FIRST_REQUEST_TIMEOUT_S
    eviction_grace_s: float = EVICTION_GRACE_S
    idle_timeout_s: float = math.inf  # one on which nothing came for so long, and nothing is owed, is closed


class Listener:
    """A listening socket and the connections accepted on it.

    It is watched rather than awaited: an accept that is cancelled may have accepted a connection, which would
    be closed under its caller's request.
    """

    def __init__(
        self,
        runner: ConnectionRunner,
        admission: CallerAdmission,
        sock: socket.socket,
        protocol_factory: ProtocolFactory,
        limits: ListenerLimits,
    ) -> None:
        """Take over a socket that listens; nothing is accepted before `open`."""
        self.runner = runner
        self.admission = admission
        self.sock = sock
        self.protocol_factory = protocol_factory
        self.limits = limits
        self.connections: IdleOrder = OrderedDict()
        self.evicted: set[AcceptedConnection] = set()  # their descriptors are not free yet
        self.accepting = False
        self.closed = False
        self.paused_until = 0.0

    def open(self) -> None:
        """Begin to accept connections."""
        if not self.closed and not self.accepting:
            self.accepting = True
            self.runner.loop.add_reader(self.sock, self._accept_ready)
            self.runner.poller.register(self.sock, self._on_polled)
            self.runner.tasks.spawn(self._check_timeouts())

    def close(self) -> None:
        """Accept no more. Only this process's hold on the socket ends; what was accepted goes on."""
        if self.accepting:
            self.runner.loop.remove_reader(self.sock)
            self.runner.poller.unregister(self.sock)
        self.closed = True
        self.sock.close()

    def close_after_accepting(self) -> None:
        """Accept those who have connected so far, and no more: a close would reset whoever still waits."""
        while self.accepting and not self.closed and select.select([self.sock], [], [], 0)[0]:
            connected = len(self.connections)
            self._accept_ready()
            if len(self.connections) <= connected:  # there is no room
                break
        if not self.closed:
            self.close()

    def has_unread(self) -> bool:
        """Whether a connection waits to be accepted, or bytes lie unread on one that was."""
        waits = self.accepting and not self.closed and bool(select.select([self.sock], [], [], 0)[0])
        return waits or any(each.has_unread() for each in self.connections if not each.protocol.closing)

    # ---- accepting ----

    def _on_polled(self, _events: int) -> int:
        """Accept before set-ups are written, since who waits may bring a CANCEL. None is evicted for that."""
        has_room = len(self.connections) < self.limits.max_connections
        if has_room and self.runner.loop.time() >= self.paused_until:
            self._accept_ready()
        return 0

    def _accept_ready(self) -> None:
        """Accept those who wait, as far as there is room or can be made."""
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
            self.runner.core.counters.add("connections_accepted")
            connection = AcceptedConnection(self.protocol_factory(peer), sock, self.runner.loop.time())
            self.connections[connection] = None
            self.runner.start_reading(connection, self.connections)
            self.runner.tasks.spawn(self._run_connection(connection))

    def _make_room(self) -> bool:
        """Whether one more may be accepted, after an eviction if need be. If not, accepting pauses."""
        has_room = len(self.connections) < self.limits.max_connections
        if has_room and not self.admission.is_full_for(self):
            return True
        if len(self.evicted) >= MAX_EVICTIONS_PENDING:
            self._pause(EVICTION_DELAY_S)
            return False
        if not self.evict():
            self._pause(NOBODY_IDLE_PAUSE_S)
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

    # ---- ending connections ----

    def evict(self, count: int = 1) -> int:
        """Evict the longest idle that are owed no answer, those without a request first; return how many.

        Otherwise callers that connect and say nothing, or ask once and hold on, would keep all others out.
        One that has sent a request is kept while one that has not can be evicted, and a message that comes in
        pieces is cut off only where nobody is idle. One whose bytes lie unread is not idle but has not been
        read yet: where the loop comes to a newcomer later than `eviction_grace_s`, it would be evicted for
        silence with its set-up.
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
        """Those that may be evicted, in the order in which they should be."""
        now = self.runner.loop.time()
        since = now - self.limits.eviction_grace_s
        for connection in self.connections:
            connection.note_requests(now)
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle_since(since, now) and not connection.protocol.has_pending_response()
        ]
        idle.sort(key=lambda each: (each.partial_since > 0, each.protocol.request_received))  # stable
        return idle

    def _evict_connection(self, connection: AcceptedConnection) -> None:
        del self.connections[connection]
        self.evicted.add(connection)
        self.runner.core.counters.add("connections_evicted")
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
        """End the connections whose first request, or the rest of a message, has not come in time."""
        now = self.runner.loop.time()
        for connection in list(self.connections):
            protocol = connection.protocol
            connection.note_requests(now)
            first_s = now - connection.accepted_at
            first_overdue = not protocol.request_received and first_s > self.limits.first_request_timeout_s
            if connection.has_unread():
                continue  # it has come in time; the loop is late
            idle_s = now - connection.received_at
            if idle_s > self.limits.idle_timeout_s and not protocol.closing and protocol.is_idle():
                self.runner.core.counters.add("connections_idle_closed")
                protocol.close_when_idle()
                continue
            partial_s = now - connection.partial_since if connection.partial_since else 0.0
            rest_overdue = partial_s > MESSAGE_TIMEOUT_S
            if protocol.closing or not (first_overdue or rest_overdue):
                continue
            self.runner.core.counters.add("connections_expired")
            protocol.read_timed_out()

    def close_idle(self) -> None:
        """A drain: close what is idle, unless something has come on it that has not been read.

        Once new set-ups are rejected the caller need not pause before that: one that never does would keep
        its connection to the end of the process. A set-up that crosses the close is sent again elsewhere.
        """
        now = self.runner.loop.time()
        rejects = self.runner.core.readiness.rejects_new_calls()
        busiest_first = reversed(list(self.connections))  # what stays for releases is used least
        for connection in busiest_first:
            protocol = connection.protocol
            if protocol.request_received:
                quiet = rejects or now - connection.received_at >= DRAIN_QUIET_S
            else:
                quiet = now - connection.accepted_at >= DRAIN_FIRST_REQUEST_S
            if protocol.closing or not quiet or not protocol.is_idle() or connection.has_unread():
                continue
            self.runner.core.counters.add("connections_drained")
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_WR)  # at once, so that nothing can come in between
            protocol.close_when_idle()
