"""One connection to a roster server, as a sans-I/O protocol: it receives bytes and returns bytes to send.

The protocol decides when the connection may be closed, and applies its opening, its loss and each received
line to the calls. A connection with pending set-ups is closed only if it brought a line that cannot be
parsed, or if another connection shows that it is dead: in both cases no further response can be received on
it. The `SendQueue` keeps the lines to be written, the `ServerConnectionPool` decides which connection is in
use, and `server_messages` renders and parses the lines.
"""

from __future__ import annotations

import math
from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, RosterServer
from stairhatch.node.connection_liveness import ConnectionLiveness
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.node.send_queue import PendingRelease, SendQueue
from stairhatch.node.server_messages import (
    MAX_LINE_BYTES,
    MalformedMessageError,
    ServerMessage,
    Verb,
    parse_message,
    render_echo_reply,
    render_release,
)
from stairhatch.node.server_responses import CallRelease, LossReason
from stairhatch.overload.events import Availability, LoadReport

DRAIN_TIMEOUT_S = 10.0  # after it a connection to a server that is gone is closed, even with pending set-ups
MIN_SUPERSEDED_READ_S = 10.0  # a superseded connection is read longer while its calls are established
RECEIVED_COUNTERS = {str(verb): f"got_{verb}" for verb in Verb if verb is not Verb.START}


class FailureObserver(Protocol):
    """The observer of connections that decides whether a server has failed."""

    def connection_lost(self, connection: ServerConnection) -> None:
        """Handle the loss of a connection that was up."""

    def release_received(self, connection: ServerConnection, ident: str, cause: int) -> None:
        """Handle a server's release of a call, before the call is ended; `cause` is a Q.850 cause."""

    def probe_failed(self, server: RosterServer) -> None:
        """Handle the failure to open an additional connection to a server."""


class ConnectionOwner(Protocol):
    """The interface of the pool that a connection uses."""

    call_manager: CallManager
    active: dict[int, ServerConnection]  # the connection in use, up or being dialled, by server id

    def is_standby(self, connection: ServerConnection) -> bool:
        """Return whether a connection is a standby: dialled beside the active one and not yet up."""

    def is_superseded(self, connection: ServerConnection) -> bool:
        """Return whether another connection has replaced this one as the active connection."""

    def has_connected_superseded(self, server: RosterServer) -> bool:
        """Return whether a superseded connection to a server is still up."""

    def connections_to(self, server: RosterServer) -> list[ServerConnection]:
        """Return the active, standby and superseded connections to a server."""

    def promote(self, connection: ServerConnection) -> None:
        """Make a standby connection that has come up the active one."""

    def message_received(
        self, connection: ServerConnection, is_load_report: bool, report: LoadReport
    ) -> None:
        """Handle a received message; a superseded connection that should have brought it too may be dead."""

    @property
    def failures(self) -> FailureObserver:
        """The observer that is notified of lost connections and failed probes."""

    def schedule_redial(self, server: RosterServer) -> None:
        """Schedule another connection to a server, since releases may have been lost with an ended one."""

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended and is not dialled again."""


class ServerConnection(ConnectionProtocol):
    """The protocol of a connection to one roster server; the driver redials when the connection breaks."""

    def __init__(self, pool: ConnectionOwner, server: RosterServer) -> None:
        """Create the protocol for a server; the connection is not open yet."""
        super().__init__()
        self.reads_until_eof = True
        self.pool, self.server = pool, server
        self.liveness = ConnectionLiveness()
        self.draining = False  # not redialled, and closed once nothing more is expected on the connection
        self.failure_logged = False
        self.malformed = False  # a line that cannot be parsed was received
        self.superseded_at = -math.inf
        self.is_dead = False  # ended as another connection has shown it to be dead: the server may not know
        self.dead_check_pending = False  # a check is scheduled that ends this connection if it stays silent
        self.calls_watched = False  # the calls set up here are watched, as nothing has arrived for long
        self.established_calls: set[str] = set()  # ids of calls set up here, where they are released
        self.send_queue = SendQueue(pool.call_manager, self.liveness)
        self.pending_setups = self.send_queue.pending_setups  # written and unanswered, by call id
        self._receive_buffer = bytearray()

    # ---- sending set-ups and releases ----

    def send_setup(self, attempt: Attempt) -> bool:
        """Queue a set-up, which is rendered when it can be written; return False if the queue is full."""
        if not self.send_queue.append_setup(attempt):
            return False
        self.notify_writable()
        return True

    def send_release(self, call_id: str, cause: int) -> None:
        """Queue the release of a call, or the cancellation of a set-up, with a Q.850 cause."""
        self.send_queue.append(PendingRelease(call_id, render_release(call_id, cause)))
        self.notify_writable()

    def forget_call(self, call_id: str) -> None:
        """Stop expecting responses for a call that the softswitch releases."""
        self.pending_setups.pop(call_id, None)
        self.established_calls.discard(call_id)
        if self.draining:
            self.notify_writable()  # this call may have been the last reason to stay open

    @property
    def has_queued(self) -> bool:
        """Whether items wait in the send queue."""
        return len(self.send_queue) > 0

    def is_flushed(self) -> bool:
        """Return whether nothing is left to write, or the connection is down and nothing can be written."""
        return not (self.has_queued or self.writing) or not self.liveness.is_connected

    def is_unresponsive(self, now: float) -> bool:
        """Return whether a message is overdue.

        That is a response to a set-up, the rest of a line, or a load report while calls are established.
        """
        liveness = self.liveness
        if not liveness.is_connected:
            return False
        if liveness.is_response_overdue(now) or liveness.is_rest_of_line_overdue(now):
            return True
        for attempt in self.pending_setups.values():  # the first attempt is the one written first
            return liveness.is_silent_since(now, attempt.written_at)
        is_report_overdue = liveness.is_first_report_overdue(now) or liveness.is_load_report_overdue(now)
        return is_report_overdue and self.pool.call_manager.calls.has_established_at(self.server)

    def is_message_due(self, now: float) -> bool:
        """Return whether the server owes a message here: its first report or a response to a set-up."""
        liveness = self.liveness
        return (
            bool(self.pending_setups)
            or liveness.is_response_overdue(now)
            or liveness.is_first_report_overdue(now)
        )

    # ---- closing ----

    def can_close(self) -> bool:
        """Return whether the connection may be closed.

        It stays open while a set-up is pending on it and, if it is superseded, while a call that was set up
        on it is established. A server sends the release of a call on the connection of its set-up, and again
        on the next connection that is opened. If a superseded connection were closed after its successor has
        been opened, the release would arrive on neither.
        """
        if not self.draining or self.pending_setups or self.has_queued:
            return False
        if self.pool.call_manager.clock() - self.superseded_at <= MIN_SUPERSEDED_READ_S:
            return False
        if self.superseded_at > -math.inf:
            self.established_calls = set(
                filter(self.pool.call_manager.calls.is_established, self.established_calls)
            )
        return not self.established_calls or self.superseded_at == -math.inf

    def drain(self) -> None:
        """Begin to close the connection to a server that is gone or out of scope; fail its unsent set-ups."""
        self.draining, self.superseded_at = True, -math.inf
        call_manager = self.pool.call_manager
        for attempt in self.send_queue.take_setups():
            call_manager.attempts.transmission_failed(attempt, reached=True)
        call_manager.timers.schedule(call_manager.clock() + DRAIN_TIMEOUT_S, self._drain_timed_out)
        self.notify_writable()

    def _drain_timed_out(self) -> None:
        """End a draining connection to a server that is gone; its queued lines can never be delivered."""
        if self.draining and self.server.record.availability is Availability.GONE:
            self.send_queue.clear()
            self.abort()
            self.notify_writable()

    def discard(self) -> None:
        """End the connection at once; drop the queued lines and the written releases."""
        self.drain()
        self.send_queue.clear()
        self.send_queue.discard_written_releases()
        self.abort()

    def abort_as_dead(self) -> None:
        """End a connection that another connection has shown to be dead.

        The server sends the releases of its calls again on the next connection that is opened.
        """
        self.established_calls.clear()
        self.is_dead = True
        self.abort()

    # ---- replacement by another connection ----

    def mark_superseded(self) -> None:
        """Stop using the connection for new lines; keep reading responses and releases from it."""
        self.draining, self.superseded_at = True, self.pool.call_manager.clock()

    def end_superseded_period(self) -> None:
        """End the minimum reading time: the connection closes as soon as nothing more is expected on it."""
        self.superseded_at = -math.inf
        self.notify_writable()

    def hand_queue_to(self, successor: ServerConnection) -> None:
        """Move written releases that may be lost, and then the queued lines, to the replacing connection."""
        successor.send_queue.extend(self.send_queue.take_unconfirmed_releases(self.server))
        successor.send_queue.extend(self.send_queue.take_all())
        self.notify_writable()

    # ---- calls from the driver ----

    def connection_made(self) -> None:
        """Reset the state of the connection that has come up, and promote it if it is a standby."""
        call_manager = self.pool.call_manager
        self._receive_buffer.clear()
        self.malformed = self.is_dead = False
        self.liveness.connection_made(call_manager.clock())
        self.established_calls.clear()
        self.server.connected, self.server.dial_attempted = True, True
        self.failure_logged = False
        if self.pool.is_standby(self):
            self.pool.promote(self)
        call_manager.counters.add("server_connections")
        call_manager.log(
            "server_connected", server=self.server.record.instance, connection=self.liveness.connection_id
        )

    def connect_failed(self, refused: bool) -> None:
        """Handle a failed dial: fail the queued set-ups, unless another connection is active.

        A refused connection proves that the server's process, and with it its established calls, is gone.
        """
        call_manager = self.pool.call_manager
        call_manager.counters.add("server_connections_failed")
        self.server.dial_attempted = True
        if self.pool.is_standby(self) or self.pool.is_superseded(self):
            self.draining = True  # the active connection continues; a refused additional one proves nothing
            call_manager.counters.add("server_standbys_failed")
            call_manager.log("server_standby_failed", server=self.server.record.instance, refused=refused)
            self.pool.failures.probe_failed(self.server)
            return
        if not self.failure_logged:  # logged once, since the dial is repeated every second
            call_manager.log("server_connect_failed", server=self.server.record.instance, refused=refused)
            self.failure_logged = True
        setups = self.send_queue.take_setups()
        if refused or self.draining:
            self.send_queue.clear()
        for attempt in setups:
            call_manager.attempts.transmission_failed(attempt, reached=False)
        if refused and not self.pool.has_connected_superseded(self.server):
            call_manager.responses.terminate_established_at(
                self.server, call_manager.clock() + 1, LossReason.CONNECTION_REFUSED
            )

    def connection_lost(self) -> None:
        """Handle the loss of the connection: reset the set-ups that are pending on it.

        If the connection was superseded and calls set up on it are established, another connection is opened:
        the server repeats a release that was in flight only on a connection opened later, and the active one
        is already open.
        """
        call_manager = self.pool.call_manager
        self.liveness.connection_lost()
        self.pool.failures.connection_lost(self)
        active = self.pool.active.get(self.server.id)
        self.server.connected = active is not None and active.liveness.is_connected
        unconfirmed_releases = self.send_queue.take_unconfirmed_releases(self.server)
        if active is not None and self.server.record.availability is not Availability.GONE:
            active.send_queue.prepend(unconfirmed_releases)
            active.notify_writable()
        if self.pool.is_superseded(self) and not self.can_close() and self._has_established_call():
            self.pool.schedule_redial(self.server)
        reset_attempts = self.send_queue.take_pending()
        call_manager.log(
            "server_connection_lost",
            server=self.server.record.instance,
            open=len(reset_attempts),
            established=len(self.established_calls),
            superseded=self.pool.is_superseded(self),
            connection=self.liveness.connection_id,
            partial_bytes=len(self._receive_buffer),
        )
        for attempt in reset_attempts:
            call_manager.attempts.connection_lost(attempt, known_to_server=not self.is_dead)

    def _has_established_call(self) -> bool:
        return any(map(self.pool.call_manager.calls.is_established, self.established_calls))

    def data_to_send(self) -> bytes:
        """Return the bytes to be written now; none once a line that cannot be parsed was received."""
        return b"" if self.malformed else self.send_queue.data_to_send()

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """Queue lines again that the socket did not take; return the rest of a partly written line."""
        return self.send_queue.reclaim_unsent(rest)

    def receive_data(self, data: bytes | memoryview) -> None:
        """Handle the complete lines in bytes from the server; end the connection on a malformed line."""
        if self.malformed:
            return
        buffer = self._receive_buffer
        buffer += data
        start = 0
        while not self.malformed and (end := buffer.find(b"\n", start)) >= 0:
            line = bytes(buffer[start:end])
            start = end + 1
            if line.strip():
                try:
                    message = parse_message(line)
                except MalformedMessageError as error:
                    self._close_malformed(str(error))
                    break
                self._message_received(message)
        del buffer[:start]
        self.liveness.bytes_received(self.pool.call_manager.clock(), ends_in_line=bool(buffer))
        if len(buffer) > MAX_LINE_BYTES:
            self._close_malformed("the line exceeds 16 KiB and has no end")

    def _close_malformed(self, reason: str) -> None:
        """End a connection that brought a malformed message, so that its pending set-ups get an outcome.

        Responses that follow a malformed message cannot be read reliably.
        """
        call_manager = self.pool.call_manager
        self.malformed = True
        self._receive_buffer.clear()
        call_manager.counters.add("malformed_from_servers")
        instance = self.server.record.instance
        call_manager.log(
            "malformed", side="server", server=instance, why=reason, open=len(self.pending_setups)
        )
        self.abort()

    def _message_received(self, message: ServerMessage) -> None:
        call_manager, verb, call_id = self.pool.call_manager, message.verb, message.call_id
        responses, report = call_manager.responses, message.load_report
        connection_id = self.liveness.connection_id
        call_manager.counters.add(RECEIVED_COUNTERS.get(verb, "got_other_verb"))
        is_load_report = verb == Verb.LOAD
        self.liveness.message_received(call_manager.clock(), is_load_report)
        self.calls_watched = False
        self.pool.message_received(self, is_load_report, report)
        match verb:
            case Verb.STARTED:
                responses.load_reported(self.server, report)
                self.pending_setups.pop(call_id, None)
                responses.call_established(self.server, call_id, message.description, connection_id)
                if call_manager.calls.is_established(call_id):
                    self.established_calls.add(call_id)
            case Verb.PENDING:
                if isinstance(call_id, str):
                    responses.setup_progressing(self.server, call_id)
            case Verb.FINISH:
                self.pending_setups.pop(call_id, None)
                self.pool.failures.release_received(self, call_id, message.cause)
                release = CallRelease(message.cause, message.note, report)
                responses.call_released(self.server, call_id, release, connection_id)
                for each in self.pool.connections_to(self.server):
                    each.established_calls.discard(call_id)
            case Verb.LOAD:
                responses.load_reported(self.server, report)
            case Verb.ECHO:
                self.send_queue.append(render_echo_reply(call_id))
                self.notify_writable()
