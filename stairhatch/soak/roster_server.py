"""Emulated roster server of a trial: it establishes calls, reports their ends, and fails on command.

The server has a separate port for each softswitch. A received line is recorded when it arrives at the socket,
even while the server's process hangs. A release counts as sent only on a connection that delivers it to the
softswitch.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from stairhatch.emulators.processor import ProcessorLoad
from stairhatch.emulators.server_emulator import Message, ServerEmulator, ServerEmulatorConnection
from stairhatch.node.calls import ReleaseCause
from stairhatch.soak.capacity_meter import CapacityMeter
from stairhatch.soak.deployment import Deployment
from stairhatch.soak.record import Kind, Record
from stairhatch.soak.spoilt_answers import spoil

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close resets the connection
LOAD_REPORT_INTERVAL_S = 0.4
RELEASE_RESEND_S = 30.0  # releases are sent again on connections opened within this time
# Fractions of the set-ups; slow ones are established after 0.1 to 1.2 s, all others within 20 ms.
UNANSWERED_FRACTION, REJECTED_FRACTION, FAILED_FRACTION, SLOW_FRACTION = 0.02, 0.05, 0.02, 0.08


@dataclass(slots=True)
class ServerCallState:
    """State of a set-up that a server has received, or of the call established by it."""

    tag: str
    softswitch: int
    connection: LinkConnection  # the connection on which the set-up arrived
    call_class: str
    is_established: bool = False
    is_released: bool = False  # the call is over: released by the softswitch, or ended by the server itself
    is_release_noted: bool = False  # the release by the softswitch is in the record


class LinkConnection(ServerEmulatorConnection):
    """Connection of one softswitch; it can lose all data in one direction or both while it stays open."""

    server: RosterServer

    def __init__(self, server: RosterServer, softswitch: int) -> None:
        """Create the protocol of a connection that is being established; `softswitch` is an index."""
        super().__init__(server)
        self.softswitch = softswitch
        self.loses_input = False  # data from the softswitch is lost
        self.loses_output = False  # data to the softswitch is lost

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the load, and send the releases again that may have been lost with earlier connections."""
        self.process = self.server.process_name_of(self.softswitch)
        super().connection_made(transport)
        self.server.resend_releases(self)

    def data_received(self, data: bytes) -> None:
        """Handle complete lines.

        Data that is lost on the link is only searched for releases: for the rules, an attempt ends when the
        softswitch has written its release, even if the server never receives it.
        """
        if not self.loses_input:
            super().data_received(data)
            return
        for line in data.split(b"\n"):
            with contextlib.suppress(ValueError):
                self.server.note_lost_release(json.loads(line))

    def send(self, message: Message) -> None:
        """Send a line, unless the link loses it; while the server's process hangs, the line is deferred."""
        if self.server.is_hung:
            self.server.when_running(partial(self.send, message))
        elif not (self.closed or self.loses_output):
            super().send(message)

    def delivers(self) -> bool:
        """Return whether data sent on this connection now reaches the softswitch."""
        return not (self.closed or self.loses_output or self.server.is_hung)

    def write(self, data: bytes) -> None:
        """Write raw bytes, which need not be a complete line, if the connection delivers them."""
        if self.delivers():
            self.transport.write(data)

    def reset(self) -> None:
        """End the connection with a TCP reset."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.closed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()


@dataclass(frozen=True, slots=True)
class TrialContext:
    """Context that all roster servers of one trial share."""

    deployment: Deployment
    record: Record
    rng: random.Random
    process_name_of: Callable[[int], str]  # maps a softswitch's index to the name of its current process


class RosterServer(ServerEmulator):
    """Roster server of a trial, with its connections, its calls and its present failure."""

    def __init__(self, instance: str, number: int, context: TrialContext) -> None:
        """Create a server without connections; `instance` is its instance id, `number` that of its place."""
        super().__init__(load_report_interval_s=LOAD_REPORT_INTERVAL_S, lines=10_000)
        self.instance, self.number = instance, number
        self.process_name_of = context.process_name_of
        self.is_hung = False
        self.is_alive = True
        self.spoils = ""  # how answers are spoilt at present, one of `SPOILT_KINDS`; empty: not at all
        self.capacity = CapacityMeter(context.deployment)
        self.trial_calls: dict[str, ServerCallState] = {}  # by tag
        self._tasks: set[asyncio.Task[Any]] = set()
        self._deployment, self._record, self._rng = context.deployment, context.record, context.rng
        self._released_calls: list[tuple[float, ServerCallState]] = []  # with the time of release
        self._deferred: list[Callable[[], None]] = []  # steps to be executed when the process no longer hangs

    # ---- connections ----

    def accept(self, softswitch: int, sock: socket.socket) -> None:
        """Serve an accepted connection of the softswitch with an index."""
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        self._tasks.add(
            task := loop.create_task(
                loop.connect_accepted_socket(lambda: LinkConnection(self, softswitch), sock)
            )
        )
        task.add_done_callback(self._tasks.discard)

    def links(self, softswitch: int | None = None) -> list[LinkConnection]:
        """Return the open connections of one softswitch, or of all (None), the oldest first."""
        return [
            each
            for each in self.connections
            if isinstance(each, LinkConnection) and not each.closed and softswitch in (None, each.softswitch)
        ]

    def connection_lost(self, connection: ServerEmulatorConnection) -> None:
        """Drop the set-ups that were pending on a connection; established calls outlive their connection."""
        self.connections.pop(connection, None)
        for call in [each for each in self.trial_calls.values() if each.connection is connection]:
            if call.is_established:
                self._note(Kind.LINK_ENDED, call)
            else:
                del self.trial_calls[call.tag]
                self._note(Kind.SETUP_LOST, call, detail="its connection ended")

    def start_cold(self) -> None:
        """Record that the server's process has just started and restart the growth of its capacity."""
        self.capacity.started_at = self.timers.time()
        self._record.note(Kind.STARTED_COLD, server=self.instance)

    def processor_load(self) -> ProcessorLoad:
        """Return the load that the server reports: its capacity, and a queue delay that grows with use."""
        return self.capacity.load(self.timers.time())

    # ---- receiving lines ----

    def message_received(self, connection: ServerEmulatorConnection, message: Message) -> None:
        """Record a set-up or a release on arrival, and handle it as soon as the process does not hang."""
        assert isinstance(connection, LinkConnection)
        tag = str(message.get("tag", ""))
        if message["verb"] == "START":
            call_class = str(message["opts"].get("class", ""))
            call = self.trial_calls[tag] = ServerCallState(tag, connection.softswitch, connection, call_class)
            self._note(Kind.SETUP_RECEIVED, call)
            self.when_running(partial(self._setup_received_while_running, call, message))
        elif message["verb"] == "FINISH":
            if (released_call := self.trial_calls.get(tag)) is not None:
                released_call.is_released = True
                self._note_released(released_call)
            self.when_running(partial(self.trial_calls.pop, tag, None))

    def note_lost_release(self, message: Message) -> None:
        """Record a release that the softswitch wrote and the link lost; the server continues the call."""
        if (
            message.get("verb") == "FINISH"
            and (call := self.trial_calls.get(message.get("tag", ""))) is not None
        ):
            self._note_released(call)

    def _note_released(self, call: ServerCallState) -> None:
        if not call.is_release_noted:
            call.is_release_noted = True
            self._note(Kind.GIVEN_UP, call)

    def when_running(self, step: Callable[[], Any]) -> None:
        """Execute a step now, or when the process no longer hangs; a process that has ended drops it."""
        if self.is_hung:
            self._deferred.append(step)
        elif self.is_alive:
            step()

    def _setup_received_while_running(self, call: ServerCallState, message: Message) -> None:
        """Draw the outcome of a set-up: rejected, failed, never answered, or established early or late."""
        if self.trial_calls.get(call.tag) is not call or call.is_released:
            return
        if not self.capacity.admit(self.timers.time()):
            self._refuse(call, ReleaseCause.NO_CIRCUIT_AVAILABLE)
            return
        draw = self._rng.random()
        delay_s = self._rng.uniform(0.001, 0.02)
        if draw < UNANSWERED_FRACTION:
            return
        if draw < UNANSWERED_FRACTION + REJECTED_FRACTION:
            self._later(delay_s, self._refuse, call, ReleaseCause.NO_CIRCUIT_AVAILABLE)
            return
        if draw < UNANSWERED_FRACTION + REJECTED_FRACTION + FAILED_FRACTION:
            self._later(delay_s, self._refuse, call, ReleaseCause.RESOURCE_UNAVAILABLE)
            return
        if draw < UNANSWERED_FRACTION + REJECTED_FRACTION + FAILED_FRACTION + SLOW_FRACTION:
            delay_s = self._rng.uniform(0.1, 1.2)
        self._later(delay_s, self._establish, call, f"v=0 {self.instance} {message.get('blob', '')}")

    def _later(self, delay_s: float, step: Callable[..., None], *arguments: Any) -> None:
        self.timers.call_later(delay_s, self.when_running, partial(step, *arguments))

    # ---- sending answers and releases ----

    def _refuse(self, call: ServerCallState, cause: ReleaseCause) -> None:
        if self.trial_calls.get(call.tag) is not call or call.is_released:
            return
        del self.trial_calls[call.tag]
        is_rejected = cause is ReleaseCause.NO_CIRCUIT_AVAILABLE
        self._note(Kind.REJECTED if is_rejected else Kind.FAILED, call)
        options = {"note": "overload"} if is_rejected else {}
        call.connection.send({"verb": "FINISH", "tag": call.tag, "opts": options, "rc": int(cause)})

    def _establish(self, call: ServerCallState, session_description: str) -> None:
        if self.trial_calls.get(call.tag) is not call or call.is_released:
            return
        call.is_established = True
        self._note(Kind.ESTABLISHED, call, detail=session_description)
        length_s = self._rng.expovariate(1 / self._deployment.call_class(call.call_class).call_length_s)
        self.timers.call_later(length_s, self._end_call, call)
        answer = {"verb": "STARTED", "tag": call.tag, "opts": {}, "blob": session_description}
        if self.spoils and self._rng.random() < 0.5:
            self._record.activations["spoilt answer"] += 1
            spoil(self.spoils, call.connection, answer, self._later)
        else:
            call.connection.send(answer)

    def _end_call(self, call: ServerCallState) -> None:
        """End an established call; the release is deferred while the server's process hangs."""
        if self.trial_calls.get(call.tag) is not call or call.is_released or not self.is_alive:
            return
        self._note(Kind.CALL_OVER, call, detail="ended")
        call.is_released = True
        self.when_running(partial(self._send_release, call))

    def _send_release(self, call: ServerCallState) -> None:
        self.trial_calls.pop(call.tag, None)
        self._released_calls.append((self.timers.time(), call))
        links = self.links(call.softswitch)
        own_links = [each for each in links if each is call.connection]
        if link := next(iter(own_links or links[::-1]), None):
            self._release_on(link, call)

    def _release_on(self, link: LinkConnection, call: ServerCallState) -> None:
        link.send({"verb": "FINISH", "tag": call.tag, "opts": {}, "rc": int(ReleaseCause.NORMAL_CLEARING)})
        if link.delivers():
            self._note(Kind.RELEASE_SENT, call)

    def resend_releases(self, link: LinkConnection) -> None:
        """Send the releases of the last RELEASE_RESEND_S again on a connection that was just opened."""
        oldest = self.timers.time() - RELEASE_RESEND_S
        self._released_calls = [each for each in self._released_calls if each[0] >= oldest]
        for _, call in self._released_calls:
            if call.softswitch == link.softswitch:
                self.when_running(partial(self._release_on, link, call))

    # ---- failures of the server ----

    def vanish(self) -> None:
        """Lose the machine with its calls; open connections stay silent and are not closed."""
        self._lose_calls("vanished")
        for link in self.links():
            link.loses_input = link.loses_output = True

    def die(self) -> None:
        """End the process with its calls and reset its connections."""
        self._lose_calls("died")
        for link in self.links():
            link.reset()

    def hang(self) -> None:
        """Suspend the process: it keeps its connections and calls, and defers all work."""
        self.is_hung = True

    def resume(self) -> None:
        """Resume the process; it first executes the deferred steps in their order."""
        self.is_hung = False
        deferred, self._deferred = self._deferred, []
        for step in deferred:
            self.when_running(step)

    def _lose_calls(self, cause: str) -> None:
        self.is_alive = False
        lost, self.trial_calls = list(self.trial_calls.values()), {}
        for call in lost:
            if not call.is_established:
                self._note(Kind.SETUP_LOST, call, detail=cause)
            elif not call.is_released:
                self._note(Kind.CALL_OVER, call, detail=cause)

    def _note(self, kind: Kind, call: ServerCallState, detail: str = "") -> None:
        process = call.connection.process
        self._record.note(kind, call.tag, softswitch=process, server=self.instance, detail=detail)
