"""An emulated roster server on a socket, which exchanges JSON lines with the softswitch.

It replies to each set-up by its script (`scripted_replies`), or, if it has one, as its processor completes
the work. With the timers of a virtual clock and any object with a transport's `write` it also serves without
a socket. It notifies an observer of each call's events and sends nothing after `close`.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, cast

from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.ports import Address
from stairhatch.emulators.processor import Processor, ProcessorLoad, SetupAdmission
from stairhatch.emulators.scripted_replies import (
    ReplyVerb,
    ScriptedReply,
    establish,
    release,
    script_for,
)
from stairhatch.node.calls import ReleaseCause

LOAD_REPORT_INTERVAL_S = 0.4
DEFAULT_LINES = 64  # simultaneous calls, as reported
UNMODELLED_LOAD = ProcessorLoad(queue_delay_s=0.001, calls_per_s=500.0)  # reported without a processor

Message = dict[str, Any]  # a decoded JSON line
ServerObserver = Callable[[ObservationKind, str], None]  # arguments: the event and the called number


def render_processor_load(load: ProcessorLoad) -> str:
    """Return the processor's fields of a load report: queue delay in milliseconds, and calls a second."""
    return f"mean_ms:{1000 * load.queue_delay_s:.1f};can_take:{load.calls_per_s:.2f}"


class Timers(Protocol):
    """Interface of the event loop's timers, as far as a server uses them."""

    def time(self) -> float:
        """Return the current time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Any:
        """Call `callback` after `delay` seconds; return a handle that can be cancelled."""

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any:
        """Call `callback` at the time `when`; return a handle that can be cancelled."""


class ServerEmulatorConnection(asyncio.Protocol):
    """Server side of one connection from a softswitch."""

    def __init__(self, server: ServerEmulator) -> None:
        """Create the protocol of a connection that is not open yet."""
        self.server = server
        self.closed = False
        self._receive_buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a load report now, and then one per load report interval."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections[self] = None
        self._report_load()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Mark the connection as closed, whichever side closed it, and notify the server."""
        self.closed = True
        self.server.connection_lost(self)

    def data_received(self, data: bytes) -> None:
        """Handle each complete line. Raises json.JSONDecodeError if a line is not JSON."""
        *lines, self._receive_buffer = (self._receive_buffer + data).split(b"\n")
        for line in lines:
            self.server.message_received(self, json.loads(line))

    def send(self, message: Message) -> None:
        """Write a message as a JSON line, unless the connection is closed."""
        if not self.closed:
            self.transport.write(json.dumps(message).encode() + b"\n")

    def abort(self) -> None:
        """Abort the connection."""
        self.closed = True
        self.transport.abort()

    def _report_load(self) -> None:
        if not self.closed:
            self.send({"verb": "LOAD", "tag": "", "opts": {"load": self.server.load_report()}})
            self.server.timers.call_later(self.server.load_report_interval_s, self._report_load)


@dataclass(slots=True, kw_only=True)
class ServerCall:
    """A received set-up or an established call, with the connection that its set-up was received on."""

    number: str  # called
    connection: ServerEmulatorConnection
    is_pending: bool = True  # neither established nor rejected, and its connection is open


class ServerEmulator:
    """Emulated roster server with its connections and calls."""

    enforces_lines = False  # a set-up beyond `lines` is rejected; else they are only reported

    def __init__(
        self,
        script: Callable[[str], tuple[ScriptedReply, ...]] = script_for,
        lines: int = DEFAULT_LINES,
        processor: Processor | None = None,
        timers: Timers | None = None,
        load_report_interval_s: float = LOAD_REPORT_INTERVAL_S,
    ) -> None:
        """Create a server that does not listen yet.

        `script` returns the replies to a set-up by its called number; it is not used if there is a
        `processor`. Without `timers` the server uses the running event loop's.
        """
        self.script = script
        self.lines = lines
        self.processor = processor
        self.load_report_interval_s = load_report_interval_s
        self.observer: ServerObserver = lambda *_: None
        self.address: Address = ("127.0.0.1", 0)
        self.calls: dict[str, ServerCall] = {}  # by tag
        self.connections: dict[ServerEmulatorConnection, None] = {}  # an ordered set, the oldest first
        self.setup_count = 0
        self.established_count = 0
        self.released_count = 0
        self._timers = timers
        self._completion_timer: Any = None
        self._server: asyncio.Server | None = None

    @property
    def timers(self) -> Timers:
        """The timers passed to the constructor, or else those of the running event loop."""
        return self._timers if self._timers is not None else asyncio.get_running_loop()

    # ---- listening and closing ----

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> ServerEmulator:
        """Listen at an address (port 0: one that the system chooses), and return itself."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerEmulatorConnection(self), host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening, stop answering and abort all connections."""
        self.stop_listening()
        self._cancel_completion_timer()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Abort every connection and forget all calls, as when the server's process dies."""
        lost = list(self.calls.values())
        self.calls.clear()
        for connection in list(self.connections):
            connection.abort()
        for call in lost:
            self.observer(ObservationKind.CONNECTION_LOST, call.number)

    def connection_lost(self, connection: ServerEmulatorConnection) -> None:
        """Remove an ended connection and notify the observer of each set-up that was pending on it.

        The calls stay: an established call may still be released on another connection, and a queued set-up
        may still be established here.
        """
        self.connections.pop(connection, None)
        for call in self.calls.values():
            if call.connection is connection and call.is_pending:
                call.is_pending = False
                self.observer(ObservationKind.CONNECTION_LOST, call.number)

    # ---- load reports ----

    def processor_load(self) -> ProcessorLoad:
        """Return the load that the processor reports, or UNMODELLED_LOAD without a processor."""
        if self.processor is None:
            return UNMODELLED_LOAD
        return self.processor.report_load(self.timers.time())

    def load_report(self) -> str:
        """Return the text of a load report."""
        free_lines = max(0, self.lines - len(self.calls))
        return f"free:{free_lines};size:{self.lines};{render_processor_load(self.processor_load())}"

    # ---- received messages ----

    def message_received(self, connection: ServerEmulatorConnection, message: Message) -> None:
        """Handle a decoded line from a softswitch; verbs other than START and FINISH are ignored."""
        match message["verb"]:
            case "START":
                self._setup_received(connection, message["tag"], message["opts"].get("key", ""))
            case "FINISH":
                self._release_received(message["tag"])

    def _setup_received(self, connection: ServerEmulatorConnection, tag: str, number: str) -> None:
        self.setup_count += 1
        self.calls[tag] = ServerCall(number=number, connection=connection)
        self.observer(ObservationKind.SETUP_RECEIVED, number)
        if self.enforces_lines and len(self.calls) > self.lines:
            self._reply(tag, release(0.0, ReleaseCause.NO_CIRCUIT_AVAILABLE))
            return
        if self.processor is not None:
            self._offer_to_processor(tag, self.processor)
            return
        for reply in self.script(number):
            if reply.delay_s:
                self.timers.call_later(reply.delay_s, self._reply, tag, reply)
            else:
                self._reply(tag, reply)

    def _release_received(self, tag: str) -> None:
        call = self.calls.pop(tag, None)
        if call is not None:
            self.released_count += 1
            self.observer(ObservationKind.RELEASE_RECEIVED, call.number)
        if self.processor is not None:
            self.processor.release(self.timers.time(), tag)
            self._answer_completed()

    # ---- replies of the processor ----

    def _offer_to_processor(self, tag: str, processor: Processor) -> None:
        match processor.offer(self.timers.time(), tag):
            case SetupAdmission.REJECTED:
                self._reply(tag, release(0.0, ReleaseCause.NO_CIRCUIT_AVAILABLE))
            case SetupAdmission.DOWN:
                self.abort_connections()
        self._answer_completed()

    def _answer_completed(self) -> None:
        """Establish the calls whose work is done, and set the timer for the next completion."""
        if self.processor is None:
            return
        for tag in self.processor.take_completed(self.timers.time()):
            self._reply(tag, establish())
        self._cancel_completion_timer()
        if (due_at := self.processor.next_completion_at()) is not None:
            self._completion_timer = self.timers.call_at(due_at, self._answer_completed)

    def _cancel_completion_timer(self) -> None:
        if self._completion_timer is not None:
            self._completion_timer.cancel()
            self._completion_timer = None

    # ---- sent replies ----

    def _reply(self, tag: str, reply: ScriptedReply) -> None:
        call = self.calls.get(tag)
        if call is None:
            return  # the softswitch has released the call
        message: Message = {"verb": reply.verb, "tag": tag, "opts": dict(reply.options)}
        match reply.verb:
            case ReplyVerb.STARTED:
                self.established_count += 1
                call.is_pending = False
                self.observer(ObservationKind.ESTABLISHED, call.number)
                message["blob"] = reply.description
            case ReplyVerb.FINISH:
                del self.calls[tag]
                is_normal = reply.cause == ReleaseCause.NORMAL_CLEARING
                kind = ObservationKind.RELEASED_BY_SERVER if is_normal else ObservationKind.REJECTED
                self.observer(kind, call.number)
                message["rc"] = reply.cause
                if self.processor is not None:
                    load = render_processor_load(self.processor_load())
                    message["opts"] = {"note": "overload", "load": load}
        call.connection.send(message)
