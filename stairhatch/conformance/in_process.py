"""Plays cases against the program's own protocols in this process, under a virtual clock.

The frontend and the call manager are the program's own, and the roster server is emulated. The virtual clock
advances only in the waits of a case, from one event to the next.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any

from stairhatch.conformance.environment import ReceivedData
from stairhatch.emulators.ports import Address
from stairhatch.emulators.scripted_replies import ReplyVerb, ScriptedReply, script_for
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, RosterServer, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.server_responses import CallRelease
from stairhatch.overload.events import Availability
from stairhatch.overload.settings import CallClass, SafetyLimits, Settings
from stairhatch.sip.config import NumberPrefix, SipConfig, SipListener
from stairhatch.sip.frontend import SipFrontend
from stairhatch.sip.transport import SipConnection

START_S = 1000.0  # the first time of the virtual clock
HOST = "127.0.0.1"
SIP_PORT = 5060
FIRST_CALLER_PORT = 40000
SERVER = ServerRecord("emulator", (HOST, 9), 0, Availability.READY)
SETTINGS = Settings(
    (
        CallClass("read-roster", 1.0, 1.5, 9.0, 0.25),
        CallClass("save-roster", 3.0, 1.5, 9.0, 0.1),
    ),
    SafetyLimits(drain_grace_s=1.0),
    retransmit_interval_s=0.8,
    max_attempts=6,
    max_retry_after_s=2.0,
)


class VirtualTimeline:
    """A virtual clock and its scheduled events; events of the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now_s = START_S
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def clock(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    def schedule(self, after_s: float, callback: Callable[[], None]) -> None:
        """Schedule the call of a function `after_s` from now."""
        heapq.heappush(self._scheduled, (self.now_s + after_s, next(self._order), callback))

    def next_due(self) -> float | None:
        """Return the time of the next scheduled event in seconds, None if there is none."""
        return self._scheduled[0][0] if self._scheduled else None

    def run_due(self) -> None:
        """Run the events scheduled for the present time or before, earliest first."""
        while self._scheduled and self._scheduled[0][0] <= self.now_s:
            _, _, callback = heapq.heappop(self._scheduled)
            callback()


class EmulatedServerPool:
    """A server pool for the call manager: one emulated server, whose replies depend on the number called."""

    def __init__(self, call_manager: CallManager, timeline: VirtualTimeline) -> None:
        self._call_manager = call_manager
        self._timeline = timeline
        self._released: set[str] = set()

    def record_changed(self, _server: RosterServer) -> None:
        """Do nothing: the server is always connected."""

    def send_setup(self, attempt: Attempt) -> None:
        """Send a set-up at once, if it may still be sent, and schedule the server's replies."""
        if not self._call_manager.attempts.claim_transmission(attempt):
            return
        request = attempt.call.request
        for reply in script_for(request.called_uri):
            self._timeline.schedule(reply.delay_s, self._reply(attempt.server, request.ident, reply))

    def send_release(self, _server: RosterServer, ident: str, _cause: int) -> bool:
        """Release a call or an unanswered set-up: the emulated server sends no further reply for it."""
        self._released.add(ident)
        return False

    def shut_down(self) -> None:
        """Do nothing: the pool has no connection to close."""

    def is_flushed(self) -> bool:
        """Return True: set-ups and releases take effect at once, so nothing is ever queued."""
        return True

    def _reply(self, server: RosterServer, ident: str, reply: ScriptedReply) -> Callable[[], None]:
        """Return a function that passes a reply to the call manager, unless the call has been released."""

        def callback() -> None:
            if ident in self._released:
                return
            responses = self._call_manager.responses
            match reply.verb:
                case ReplyVerb.PENDING:
                    responses.setup_progressing(server, ident)
                case ReplyVerb.STARTED:
                    responses.call_established(server, ident, reply.description)
                case ReplyVerb.FINISH:
                    responses.call_released(server, ident, CallRelease(reply.cause))

        return callback


class InProcessTransport:
    """The caller's end of a flow to the frontend in this process (`CallerTransport`)."""

    def __init__(self, environment: InProcessEnvironment, transport: str, peer: Address) -> None:
        self._environment = environment
        self.transport = transport
        self.peer = peer
        self.host = f"{peer[0]}:{peer[1]}"
        self.connection: SipConnection | None = None
        self._received: list[ReceivedData] = []
        if transport == "tcp":
            frontend = environment.frontend
            protocol = frontend.flows.connector(frontend.config.tcp[0])(peer)
            assert isinstance(protocol, SipConnection)
            self.connection = protocol

    def send(self, data: bytes) -> None:
        """Send bytes to the frontend; a connection that the frontend is closing ignores them."""
        if self.connection is None:
            self._environment.frontend.flows.ports[0].receive(data, self.peer)
        elif not self.connection.closing:
            self.connection.receive_data(data)
        self._environment.deliver_output()

    def deliver(self, received: ReceivedData) -> None:
        """Add data from the frontend for the next `receive`."""
        self._received.append(received)

    def receive(self) -> list[ReceivedData]:
        """Return the data received since the last call, in order."""
        received, self._received = self._received, []
        return received

    def close(self) -> None:
        """Close the caller's connection; a UDP port stays as it is."""
        if self.connection is not None:
            self.connection.connection_lost()
            self.connection = None


class InProcessEnvironment:
    """The program's frontend and call manager under a virtual clock; implements `ConformanceEnvironment`.

    `overrides` replace fields of the frontend's `SipConfig`.
    """

    def __init__(self, **overrides: Any) -> None:
        self.timeline = VirtualTimeline()
        self.call_manager = _connected_call_manager(self.timeline)
        self.frontend = _frontend(self.call_manager, overrides)
        self.frontend.flows.dial = self._connect
        self.undelivered: list[tuple[Address, bytes]] = []  # datagrams to addresses of no open transport
        self._transports: list[InProcessTransport] = []
        self._caller_ports = count(FIRST_CALLER_PORT)

    def open(self, transport: str) -> InProcessTransport:
        """Return a new transport for a caller, "udp" or "tcp"."""
        opened = InProcessTransport(self, transport, (HOST, next(self._caller_ports)))
        self._transports.append(opened)
        return opened

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.timeline.now_s

    def wait(self, seconds: float) -> None:
        """Advance the virtual clock by a time, event by event."""
        end = self.timeline.now_s + seconds
        while (due := self._next_due()) is not None and due <= end:
            self.timeline.now_s = max(self.timeline.now_s, due)
            self.timeline.run_due()
            self.call_manager.timers.run_due()
            self.deliver_output()
        self.timeline.now_s = end
        self.deliver_output()

    def close(self) -> None:
        """Do nothing: no connection leaves this process."""

    def deliver_output(self) -> None:
        """Deliver the frontend's pending output to the transports that it is addressed to."""
        for port in self.frontend.flows.ports:
            while port.output:
                data, peer = port.output.popleft()
                self._deliver_datagram(data, peer)
        for transport in self._transports:
            if transport.connection is not None and (data := transport.connection.data_to_send()):
                transport.deliver(ReceivedData(self.now(), data))

    def _deliver_datagram(self, data: bytes, peer: Address) -> None:
        for transport in self._transports:
            if transport.peer == peer and transport.transport == "udp":
                transport.deliver(ReceivedData(self.now(), data))
                return
        self.undelivered.append((peer, data))

    def _connect(self, connection: SipConnection) -> None:
        """Connect the frontend to a caller's closed TCP transport at the address; any other connect fails."""
        for transport in self._transports:
            is_closed = transport.transport == "tcp" and transport.connection is None
            if is_closed and transport.peer == connection.peer:
                transport.connection = connection
                return
        self.timeline.schedule(0.0, connection.connection_lost)

    def _next_due(self) -> float | None:
        """Return the time of the next event or timer in seconds, None if there is neither."""
        due_times = (self.timeline.next_due(), self.call_manager.timers.next_due())
        return min((due for due in due_times if due is not None), default=None)


def _connected_call_manager(timeline: VirtualTimeline) -> CallManager:
    """Return a call manager whose single roster server is connected."""
    call_manager = CallManager(SETTINGS, random.Random(1), timeline.clock, _log_nothing, Counters())
    call_manager.servers.pool = EmulatedServerPool(call_manager, timeline)
    call_manager.update_servers([SERVER], True)
    call_manager.readiness.listening = call_manager.readiness.list_known = True
    for server in call_manager.servers.by_id.values():
        server.dial_attempted = server.connected = True
    return call_manager


def _frontend(call_manager: CallManager, overrides: dict[str, Any]) -> SipFrontend:
    """Return a SIP frontend whose tokens and random numbers are the same in each run."""
    listeners = (SipListener((HOST, SIP_PORT)),)
    settings: dict[str, Any] = {
        "udp": listeners,
        "tcp": listeners,
        "contact": "",
        "default_class": "read-roster",
        "numbers": (NumberPrefix("7", "save-roster", 0),),
        **overrides,
    }
    tokens, random_numbers = (f"{number:016x}" for number in count(1)), random.Random(2)
    return SipFrontend(
        call_manager, SipConfig(**settings), lambda: next(tokens), random_numbers.random, b"secret"
    )


def _log_nothing(_event: str, **_fields: Any) -> None:
    """Discard a log event: the cases check only the SIP messages."""
