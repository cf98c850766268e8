"""An emulated roster server on a socket: it speaks the JSON lines of its side.

It replies to each set-up as its script says (`scripted_replies`), or as its processor can where it has one.
Its timers may be those of a virtual clock, and the transport of a connection anything that writes: then it
serves without a socket. It never outlives `close`, and notifies an observer of what happens to each call.
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
DEFAULT_LINES = 64  # calls at a time, as it reports
UNMODELLED_LOAD = ProcessorLoad(queue_delay_s=0.001, calls_per_s=500.0)  # of a server without a processor

Message = dict[str, Any]  # a decoded JSON line
ServerObserver = Callable[[ObservationKind, str], None]  # the second: the number called


def render_processor_load(load: ProcessorLoad) -> str:
    """Return a processor's part of a load report."""
    return f"mean_ms:{1000 * load.queue_delay_s:.1f};can_take:{load.calls_per_s:.2f}"


class Timers(Protocol):
    """What a server needs of an event loop."""

    def time(self) -> float:
        """Return the time in seconds."""

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Any:
        """Call back after so many seconds; the result can be cancelled."""

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> Any:
        """Call back at a time; the result can be cancelled."""


class ServerEmulatorConnection(asyncio.Protocol):
    """One connection of a softswitch."""

    def __init__(self, server: ServerEmulator) -> None:
        """Serve a connection that is about to come up."""
        self.server = server
        self.closed = False
        self._receive_buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the load at once, and regularly from then on."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections[self] = None
        self._report_load()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Note that the connection has ended, whoever closed it."""
        self.closed = True
        self.server.connection_lost(self)

    def data_received(self, data: bytes) -> None:
        """Handle the lines that are complete."""
        *lines, self._receive_buffer = (self._receive_buffer + data).split(b"\n")
        for line in lines:
            self.server.message_received(self, json.loads(line))

    def send(self, message: Message) -> None:
        """Write a line, unless the connection has ended."""
        if not self.closed:
            self.transport.write(json.dumps(message).encode() + b"\n")

    def abort(self) -> None:
        """End the connection at once."""
        self.closed = True
        self.transport.abort()

    def _report_load(self) -> None:
        if not self.closed:
            self.send({"verb": "LOAD", "tag": "", "opts": {"load": self.server.load_report()}})
            self.server.timers.call_later(self.server.load_report_interval_s, self._report_load)


@dataclass(slots=True, kw_only=True)
class ServerCall:
    """A set-up that was received, or a call that is established, on the connection it came by."""

    number: str  # called
    connection: ServerEmulatorConnection
    is_pending: bool = True  # neither established nor ended, and its connection is up


class ServerEmulator:
    """One roster server, its connections and its calls."""

    def __init__(
        self,
        script: Callable[[str], tuple[ScriptedReply, ...]] = script_for,
        lines: int = DEFAULT_LINES,
        processor: Processor | None = None,
        timers: Timers | None = None,
        load_report_interval_s: float = LOAD_REPORT_INTERVAL_S,
    ) -> None:
        """Reply to set-ups as a script says, by the number called, or as a processor can, if there is one."""
        self.script = script
        self.lines = lines
        self.processor = processor
        self.load_report_interval_s = load_report_interval_s
        self.observer: ServerObserver = lambda *_: None
        self.address: Address = ("127.0.0.1", 0)
        self.calls: dict[str, ServerCall] = {}  # by tag
        self.connections: dict[ServerEmulatorConnection, None] = {}  # in the order in which they came
        self.setup_count = 0
        self.established_count = 0
        self.released_count = 0
        self._timers = timers
        self._completion_timer: Any = None
        self._server: asyncio.Server | None = None

    @property
    def timers(self) -> Timers:
        """The clock it serves by: the running loop's, unless another was given."""
        return self._timers if self._timers is not None else asyncio.get_running_loop()

    # ---- its life ----

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> ServerEmulator:
        """Begin to serve, at a port of the system's choice unless one is named."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerEmulatorConnection(self), host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """End at once."""
        self.stop_listening()
        self._cancel_completion_timer()
        self.abort_connections()

    def abort_connections(self) -> None:
        """End every connection, as where the server's process dies; its calls are lost."""
        lost = list(self.calls.values())
        self.calls.clear()
        for connection in list(self.connections):
            connection.abort()
        for call in lost:
            self.observer(ObservationKind.CONNECTION_LOST, call.number)

    def connection_lost(self, connection: ServerEmulatorConnection) -> None:
        """Notify the observer of each set-up that was pending on a connection that has ended.

        Nothing else changes: what is established stays so, since its release may come on another connection,
        and a set-up that is being worked on may still come to be established here.
        """
        self.connections.pop(connection, None)
        for call in self.calls.values():
            if call.connection is connection and call.is_pending:
                call.is_pending = False
                self.observer(ObservationKind.CONNECTION_LOST, call.number)

    # ---- its load ----

    def processor_load(self) -> ProcessorLoad:
        """Return the processor's load as it reports it."""
        if self.processor is None:
            return UNMODELLED_LOAD
        return self.processor.report_load(self.timers.time())

    def load_report(self) -> str:
        """Return the text of a load report."""
        free_lines = max(0, self.lines - len(self.calls))
        return f"free:{free_lines};size:{self.lines};{render_processor_load(self.processor_load())}"

    # ---- what comes ----

    def message_received(self, connection: ServerEmulatorConnection, message: Message) -> None:
        """Handle a line of the softswitch."""
        match message["verb"]:
            case "START":
                self._setup_received(connection, message["tag"], message["opts"].get("key", ""))
            case "FINISH":
                self._release_received(message["tag"])

    def _setup_received(self, connection: ServerEmulatorConnection, tag: str, number: str) -> None:
        self.setup_count += 1
        self.calls[tag] = ServerCall(number=number, connection=connection)
        self.observer(ObservationKind.SETUP_RECEIVED, number)
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

    # ---- its processor ----

    def _offer_to_processor(self, tag: str, processor: Processor) -> None:
        match processor.offer(self.timers.time(), tag):
            case SetupAdmission.REJECTED:
                self._reply(tag, release(0.0, ReleaseCause.NO_CIRCUIT_AVAILABLE))
            case SetupAdmission.DOWN:
                self.abort_connections()
        self._answer_completed()

    def _answer_completed(self) -> None:
        """Answer what the processor has done, and come again when something will next be done."""
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

    # ---- what it says ----

    def _reply(self, tag: str, reply: ScriptedReply) -> None:
        call = self.calls.get(tag)
        if call is None:
            return  # it was abandoned
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
