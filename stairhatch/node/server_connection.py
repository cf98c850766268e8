"""One connection to a roster server, as a sans-I/O protocol: it is fed bytes and hands bytes out.

It says when the connection may be closed, and what its beginning, its end and each line that comes mean for
the calls. A connection with pending set-ups is never given up, unless something came on it that can't be
read, or another connection shows that it is dead: no answer is to be had on it from there on. What waits to
be written is in its `SendQueue`; which connection is in use is the `ServerConnectionPool`'s to say; the lines
themselves are `server_messages`'.
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
from stairhatch.node.server_responses import LossReason
from stairhatch.overload.events import Availability

DRAIN_TIMEOUT_S = 10.0  # one to a server that is gone is not kept longer, whatever is still pending on it
SUPERSEDED_S = 10.0  # a superseded one is read so long at least, and while its calls are established
RECEIVED_COUNTERS = {str(verb): f"got_{verb}" for verb in Verb if verb is not Verb.START}


class FailureObserver(Protocol):
    """Who judges whether servers have failed."""

    def connection_lost(self, connection: ServerConnection) -> None:
        """A connection that was up has ended."""

    def probe_failed(self, server: RosterServer) -> None:
        """A further connection to a server did not come up."""


class ConnectionOwner(Protocol):
    """What a connection asks of its pool."""

    core: CallManager
    active: dict[int, ServerConnection]  # the connection in use, or about to come up, by the server's id

    def is_standby(self, connection: ServerConnection) -> bool:
        """Whether it has not come up yet beside the one in use."""

    def is_superseded(self, connection: ServerConnection) -> bool:
        """Whether another has taken its place."""

    def reads_superseded(self, server: RosterServer) -> bool:
        """Whether a superseded connection to a server is still up."""

    def connections_to(self, server: RosterServer) -> list[ServerConnection]:
        """Every connection to a server."""

    def promote(self, connection: ServerConnection) -> None:
        """A standby has come up."""

    def message_received(self, connection: ServerConnection, is_load_report: bool) -> None:
        """Something came: where a superseded connection should have brought it too, that one is dead."""

    @property
    def failures(self) -> FailureObserver:
        """Who is told of what happens to connections."""

    def dial_again_later(self, server: RosterServer) -> None:
        """A connection has ended on which ends of calls may have been lost."""

    def remove(self, connection: ServerConnection) -> None:
        """A connection has ended for good."""


class ServerConnection(ConnectionProtocol):
    """One roster server and a connection to it, if there is one. The driver dials again when it breaks."""

    def __init__(self, pool: ConnectionOwner, server: RosterServer) -> None:
        """Take care of a server; nothing is connected yet."""
        super().__init__()
        self.reads_until_eof = True
        self.pool, self.server = pool, server
        self.liveness = ConnectionLiveness()
        self.draining = False  # it is not dialled again, and closed once nothing is due on it
        self.failure_logged = False
        self.malformed = False  # something came that can't be read
        self.superseded_at = -math.inf
        self.dead_check_pending = False  # it is about to be found dead, unless something comes
        self.established_calls: set[str] = set()  # that were set up on it: their ends are sent here
        self.send_queue = SendQueue(pool.core, self.liveness)
        self.pending_setups = self.send_queue.pending_setups  # written, not yet answered; by the call's id
        self._receive_buffer = bytearray()

    # ---- its use ----

    def send_setup(self, attempt: Attempt) -> bool:
        """Queue a set-up; it is rendered when it can be written. False: there is no room."""
        if not self.send_queue.append_setup(attempt):
            return False
        self.notify_writable()
        return True

    def send_release(self, call_id: str, cause: int) -> None:
        """Queue a release, or the giving up of a set-up."""
        self.send_queue.append(PendingRelease(render_release(call_id, cause)))
        self.notify_writable()

    def forget_call(self, call_id: str) -> None:
        """A call is released from this side: nothing is awaited for it any more."""
        self.pending_setups.pop(call_id, None)
        self.established_calls.discard(call_id)
        if self.draining:
            self.notify_writable()  # it may be done now

    @property
    def has_queued(self) -> bool:
        """Whether something waits for a connection."""
        return len(self.send_queue) > 0

    def is_flushed(self) -> bool:
        """Whether all that can be written has been written."""
        return not (self.has_queued or self.writing) or not self.liveness.is_connected

    def is_unresponsive(self, now: float) -> bool:
        """Whether nothing comes though an answer is due, or load reports are while calls are established."""
        liveness = self.liveness
        if not liveness.is_connected:
            return False
        if liveness.is_response_overdue(now):
            return True
        for attempt in self.pending_setups.values():  # the first is the one written first
            return liveness.is_silent_since(now, attempt.written_at)
        return liveness.is_load_report_overdue(now) and self.pool.core.calls.has_established_at(self.server)

    # ---- its end ----

    def can_close(self) -> bool:
        """Whether the connection may be closed.

        Never while a set-up is pending on it, nor, once superseded, while a call is established through
        it. A server sends the end of a call on the connection of its set-up, and again on the next that is
        opened. Were the first closed, with its successor open already, the end would come on neither.
        """
        if not self.draining or self.pending_setups or self.has_queued:
            return False
        if self.pool.core.clock() - self.superseded_at <= SUPERSEDED_S:
            return False
        if self.superseded_at > -math.inf:
            self.established_calls = set(filter(self.pool.core.calls.is_established, self.established_calls))
        return not self.established_calls or self.superseded_at == -math.inf

    def drain(self) -> None:
        """The server is gone, or out of scope: set-ups that have not been written to it are not sent."""
        self.draining, self.superseded_at = True, -math.inf
        core = self.pool.core
        for attempt in self.send_queue.take_setups():
            core.attempts.transmission_failed(attempt, reached=True)
        core.timers.schedule(core.clock() + DRAIN_TIMEOUT_S, self._drain_timed_out)
        self.notify_writable()

    def _drain_timed_out(self) -> None:
        """Drop what is to be written to a server that is gone: it can never be delivered."""
        if self.draining and self.server.record.availability is Availability.GONE:
            self.send_queue.clear()
            self.abort()
            self.notify_writable()

    def discard(self) -> None:
        """End it at once; nothing more is written."""
        self.drain()
        self.send_queue.clear()
        self.send_queue.forget_written()
        self.abort()

    def abort_as_dead(self) -> None:
        """Another connection shows that nothing comes on this one.

        The ends of its calls come again on the connection that is opened next.
        """
        self.established_calls.clear()
        self.abort()

    # ---- another takes its place ----

    def mark_superseded(self) -> None:
        """Another connection is used from now on; this one is kept for what may still come on it."""
        self.draining, self.superseded_at = True, self.pool.core.clock()

    def end_superseded_period(self) -> None:
        """It need not be read any longer than until nothing is due on it."""
        self.superseded_at = -math.inf
        self.notify_writable()

    def hand_queue_to(self, successor: ServerConnection) -> None:
        """Hand the queue, and releases that may have been lost, to the connection that replaces this one."""
        successor.send_queue.extend(self.send_queue.take_all())
        successor.send_queue.extend(self.send_queue.take_unconfirmed_releases())
        self.notify_writable()

    # ---- the driver's side ----

    def connection_made(self) -> None:
        """A connection has come up."""
        core = self.pool.core
        self._receive_buffer.clear()
        self.malformed = False
        self.liveness.connection_made(core.clock())
        self.established_calls.clear()
        self.server.connected, self.server.dial_attempted = True, True
        self.failure_logged = False
        if self.pool.is_standby(self):
            self.pool.promote(self)
        core.counters.add("server_connections")
        core.log("server_connected", server=self.server.record.instance)

    def connect_failed(self, refused: bool) -> None:
        """A connection did not come up. A refused one proves that the process is gone, with its calls."""
        core = self.pool.core
        core.counters.add("server_connections_failed")
        self.server.dial_attempted = True
        if self.pool.is_standby(self) or self.pool.is_superseded(self):
            self.draining = True  # the one in use goes on; that one more is refused proves nothing
            core.counters.add("server_standbys_failed")
            core.log("server_standby_failed", server=self.server.record.instance, refused=refused)
            self.pool.failures.probe_failed(self.server)
            return
        if not self.failure_logged:  # once: it is tried again every second
            core.log("server_connect_failed", server=self.server.record.instance, refused=refused)
            self.failure_logged = True
        setups = self.send_queue.take_setups()
        if refused or self.draining:
            self.send_queue.clear()
        for attempt in setups:
            core.attempts.transmission_failed(attempt, reached=False)
        if refused and not self.pool.reads_superseded(self.server):
            core.responses.terminate_established_at(
                self.server, core.clock() + 1, LossReason.CONNECTION_REFUSED
            )

    def connection_lost(self) -> None:
        """The connection broke: the set-ups pending on it are reset.

        Another is opened where this one was superseded and its calls are established: a release that
        was under way when it broke comes again on the next connection that is opened; the active one is
        open already.
        """
        core = self.pool.core
        self.liveness.connection_lost()
        self.pool.failures.connection_lost(self)
        active = self.pool.active.get(self.server.id)
        self.server.connected = active is not None and active.liveness.is_connected
        unconfirmed = self.send_queue.take_unconfirmed_releases()
        if active is not None and self.server.record.availability is not Availability.GONE:
            active.send_queue.prepend(unconfirmed)
            active.notify_writable()
        if self.pool.is_superseded(self) and not self.can_close() and self._has_established():
            self.pool.dial_again_later(self.server)
        broken = self.send_queue.take_pending()
        core.log(
            "server_connection_lost",
            server=self.server.record.instance,
            open=len(broken),
            established=len(self.established_calls),
            superseded=self.pool.is_superseded(self),
        )
        for attempt in broken:
            core.attempts.connection_lost(attempt)

    def _has_established(self) -> bool:
        return any(map(self.pool.core.calls.is_established, self.established_calls))

    def data_to_send(self) -> bytes:
        """What is to be written now; nothing once something came that can't be read."""
        return b"" if self.malformed else self.send_queue.data_to_send()

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """The peer is slow: what it has no room for waits again, but for the line that was begun."""
        return self.send_queue.reclaim_unsent(rest)

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the roster server."""
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
        if len(buffer) > MAX_LINE_BYTES:
            self._close_malformed("a line without end")

    def _close_malformed(self, why: str) -> None:
        """What came can't be read: end the connection, so that all set-ups pending on it get their outcome.

        Behind a message that is malformed the answers to the others are not to be had either.
        """
        core = self.pool.core
        self.malformed = True
        self._receive_buffer.clear()
        core.counters.add("malformed_from_servers")
        instance = self.server.record.instance
        core.log("malformed", side="server", server=instance, why=why, open=len(self.pending_setups))
        self.abort()

    def _message_received(self, message: ServerMessage) -> None:
        core, verb, call_id = self.pool.core, message.verb, message.call_id
        responses, report = core.responses, message.load_report
        core.counters.add(RECEIVED_COUNTERS.get(verb, "got_other_verb"))
        is_load_report = verb == Verb.LOAD
        self.liveness.message_received(core.clock(), is_load_report)
        self.pool.message_received(self, is_load_report)
        match verb:
            case Verb.STARTED:
                responses.load_reported(self.server, report)
                self.pending_setups.pop(call_id, None)
                responses.call_established(self.server, call_id, message.description)
                if core.calls.is_established(call_id):
                    self.established_calls.add(call_id)
            case Verb.PENDING:
                if isinstance(call_id, str):
                    responses.setup_progressing(self.server, call_id)
            case Verb.FINISH:
                self.pending_setups.pop(call_id, None)
                responses.call_released(self.server, call_id, message.cause, message.note, report)
                for each in self.pool.connections_to(self.server):
                    each.established_calls.discard(call_id)
            case Verb.LOAD:
                responses.load_reported(self.server, report)
            case Verb.ECHO:
                self.send_queue.append(render_echo_reply(call_id))
                self.notify_writable()
