"""An emulated roster server of a trial: it holds calls, reports their ends, and fails as it is told to.

It serves each softswitch at a port of its own. What comes is recorded as it arrives at the socket, also where
the server's process stands still; what is sent counts only on a connection that leads to the softswitch.
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

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets the connection
LOAD_REPORT_INTERVAL_S = 0.4
RESENT_RELEASES_S = 30.0  # ends of calls are sent again on the next connection for so long
NEVER_ANSWERED, REJECTED, FAILED, SLOW = 0.02, 0.05, 0.02, 0.08  # fractions of the set-ups


@dataclass(slots=True)
class HeldCall:
    """A set-up that came, or a call that is established."""

    tag: str
    softswitch: int
    connection: LinkConnection
    call_class: str
    is_established: bool = False
    is_given_up: bool = False  # the softswitch has released it, though the server may not know yet
    is_noted: bool = False  # that is in the record


class LinkConnection(ServerEmulatorConnection):
    """One softswitch's connection, which may be dead in one direction or both and stay open."""

    server: RosterServer

    def __init__(self, server: RosterServer, softswitch: int) -> None:
        """Serve a connection that is about to come up."""
        super().__init__(server)
        self.softswitch = softswitch
        self.is_deaf = False  # what comes is lost
        self.is_mute = False  # what is sent is lost

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the load, and the ends of calls that may have been lost with connections before."""
        self.process = self.server.identify(self.softswitch)
        super().connection_made(transport)
        self.server.resend_releases(self)

    def data_received(self, data: bytes) -> None:
        """Handle complete lines. What is lost on the way ends an attempt all the same, once it is written."""
        if not self.is_deaf:
            super().data_received(data)
            return
        for line in data.split(b"\n"):
            with contextlib.suppress(ValueError):
                self.server.release_lost_on_the_way(json.loads(line))

    def send(self, message: Message) -> None:
        """Send a line, unless it is lost on the way or the server's process stands still."""
        if self.server.is_hung:
            self.server.when_running(partial(self.send, message))
        elif not (self.closed or self.is_mute):
            super().send(message)

    def works(self) -> bool:
        """Whether what is sent here reaches the softswitch."""
        return not (self.closed or self.is_mute or self.server.is_hung)

    def write(self, data: bytes) -> None:
        """Write bytes that may be no complete line."""
        if self.works():
            self.transport.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.closed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()


@dataclass(frozen=True, slots=True)
class TrialContext:
    """What the servers of one trial share."""

    deployment: Deployment
    record: Record
    rng: random.Random
    identify: Callable[[int], str]  # names the process of a softswitch


class RosterServer(ServerEmulator):
    """One roster server."""

    def __init__(self, instance: str, number: int, context: TrialContext) -> None:
        """Begin without connections."""
        super().__init__(load_report_interval_s=LOAD_REPORT_INTERVAL_S, lines=10_000)
        self.instance, self.number = instance, number
        self.identify = context.identify
        self.is_hung = False
        self.is_alive = True
        self.spoils = ""  # how answers are spoilt just now
        self.capacity = CapacityMeter(context.deployment)
        self.held: dict[str, HeldCall] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._deployment, self._record, self._rng = context.deployment, context.record, context.rng
        self._ended: list[tuple[float, HeldCall]] = []  # when each call ended here
        self._deferred: list[Callable[[], None]] = []  # while the process stands still

    # ---- connections ----

    def accept(self, softswitch: int, sock: socket.socket) -> None:
        """Serve a connection of a softswitch."""
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        self._tasks.add(
            task := loop.create_task(
                loop.connect_accepted_socket(lambda: LinkConnection(self, softswitch), sock)
            )
        )
        task.add_done_callback(self._tasks.discard)

    def links(self, softswitch: int | None = None) -> list[LinkConnection]:
        """Return the open connections, of one softswitch or of all; the last that came comes last."""
        return [
            each
            for each in self.connections
            if isinstance(each, LinkConnection) and not each.closed and softswitch in (None, each.softswitch)
        ]

    def connection_lost(self, connection: ServerEmulatorConnection) -> None:
        """Give up the set-ups that were pending on it. What is established belongs to no connection."""
        self.connections.pop(connection, None)
        for call in [each for each in self.held.values() if each.connection is connection]:
            if call.is_established:
                self._note(Kind.LINK_ENDED, call)
            else:
                del self.held[call.tag]
                self._note(Kind.SETUP_LOST, call, detail="its connection ended")

    def start_cold(self) -> None:
        """Its process has started just now: it takes less at first."""
        self.capacity.started_at = self.timers.time()
        self._record.note(Kind.STARTED_COLD, server=self.instance)

    def processor_load(self) -> ProcessorLoad:
        """Return what it reports: what it can take now, and a wait that grows with its use."""
        return self.capacity.load(self.timers.time())

    # ---- what comes ----

    def message_received(self, connection: ServerEmulatorConnection, message: Message) -> None:
        """Record a line as it arrives, and handle it once the process runs."""
        assert isinstance(connection, LinkConnection)
        tag = str(message.get("tag", ""))
        if message["verb"] == "START":
            call_class = str(message["opts"].get("class", ""))
            call = self.held[tag] = HeldCall(tag, connection.softswitch, connection, call_class)
            self._note(Kind.SETUP_RECEIVED, call)
            self.when_running(partial(self._setup_received_while_running, call, message))
        elif message["verb"] == "FINISH":
            if (held := self.held.get(tag)) is not None:
                held.is_given_up = True
                self._note_given_up(held)
            self.when_running(partial(self.held.pop, tag, None))

    def release_lost_on_the_way(self, message: Message) -> None:
        """A line was written that does not arrive: the server goes on with the call."""
        if message.get("verb") == "FINISH" and (held := self.held.get(message.get("tag", ""))) is not None:
            self._note_given_up(held)

    def _note_given_up(self, call: HeldCall) -> None:
        if not call.is_noted:
            call.is_noted = True
            self._note(Kind.GIVEN_UP, call)

    def when_running(self, step: Callable[[], Any]) -> None:
        """Do something now, or once the process runs again."""
        if self.is_hung:
            self._deferred.append(step)
        elif self.is_alive:
            step()

    def _setup_received_while_running(self, call: HeldCall, message: Message) -> None:
        """Choose what becomes of a set-up."""
        if self.held.get(call.tag) is not call or call.is_given_up:
            return
        if not self.capacity.admit(self.timers.time()):
            self._refuse(call, ReleaseCause.NO_CIRCUIT_AVAILABLE)
            return
        chance = self._rng.random()
        delay_s = self._rng.uniform(0.001, 0.02)
        if chance < NEVER_ANSWERED:
            return
        if chance < NEVER_ANSWERED + REJECTED:
            self._later(delay_s, self._refuse, call, ReleaseCause.NO_CIRCUIT_AVAILABLE)
            return
        if chance < NEVER_ANSWERED + REJECTED + FAILED:
            self._later(delay_s, self._refuse, call, ReleaseCause.RESOURCE_UNAVAILABLE)
            return
        if chance < NEVER_ANSWERED + REJECTED + FAILED + SLOW:
            delay_s = self._rng.uniform(0.1, 1.2)
        self._later(delay_s, self._establish, call, f"v=0 {self.instance} {message.get('blob', '')}")

    def _later(self, delay_s: float, step: Callable[..., None], *arguments: Any) -> None:
        self.timers.call_later(delay_s, self.when_running, partial(step, *arguments))

    # ---- what it says ----

    def _refuse(self, call: HeldCall, cause: ReleaseCause) -> None:
        if self.held.get(call.tag) is not call or call.is_given_up:
            return
        del self.held[call.tag]
        is_rejected = cause is ReleaseCause.NO_CIRCUIT_AVAILABLE
        self._note(Kind.REJECTED if is_rejected else Kind.FAILED, call)
        note = {"note": "overload"} if is_rejected else {}
        call.connection.send({"verb": "FINISH", "tag": call.tag, "opts": note, "rc": int(cause)})

    def _establish(self, call: HeldCall, description: str) -> None:
        if self.held.get(call.tag) is not call or call.is_given_up:
            return
        call.is_established = True
        self._note(Kind.ESTABLISHED, call, detail=description)
        length_s = self._rng.expovariate(1 / self._deployment.call_class(call.call_class).call_length_s)
        self.timers.call_later(length_s, self._end_call, call)
        answer = {"verb": "STARTED", "tag": call.tag, "opts": {}, "blob": description}
        if self.spoils and self._rng.random() < 0.5:
            self._record.activations["spoilt answer"] += 1
            spoil(self.spoils, call.connection, answer, self._later)
        else:
            call.connection.send(answer)

    def _end_call(self, call: HeldCall) -> None:
        """A call has run its course, whether its server's process runs or not."""
        if self.held.get(call.tag) is not call or call.is_given_up or not self.is_alive:
            return
        self._note(Kind.CALL_OVER, call, detail="ended")
        call.is_given_up = True
        self.when_running(partial(self._send_release, call))

    def _send_release(self, call: HeldCall) -> None:
        self.held.pop(call.tag, None)
        self._ended.append((self.timers.time(), call))
        links = self.links(call.softswitch)
        own = [each for each in links if each is call.connection]
        if link := next(iter(own or links[::-1]), None):
            self._release_on(link, call)

    def _release_on(self, link: LinkConnection, call: HeldCall) -> None:
        link.send({"verb": "FINISH", "tag": call.tag, "opts": {}, "rc": int(ReleaseCause.NORMAL_CLEARING)})
        if link.works():
            self._note(Kind.RELEASE_SENT, call)

    def resend_releases(self, link: LinkConnection) -> None:
        """A connection was opened: the ends of calls are sent on it as well."""
        since = self.timers.time() - RESENT_RELEASES_S
        self._ended = [each for each in self._ended if each[0] >= since]
        for _, call in self._ended:
            if call.softswitch == link.softswitch:
                self.when_running(partial(self._release_on, link, call))

    # ---- its failures ----

    def vanish(self) -> None:
        """The machine is lost with its calls, and nobody is told."""
        self._lose_calls("vanished")
        for link in self.links():
            link.is_deaf = link.is_mute = True

    def die(self) -> None:
        """The process dies with its calls, and resets its connections."""
        self._lose_calls("died")
        for link in self.links():
            link.reset()

    def hang(self) -> None:
        """The process stands still."""
        self.is_hung = True

    def run_again(self) -> None:
        """It goes on, with what has come in the meantime first."""
        self.is_hung = False
        deferred, self._deferred = self._deferred, []
        for step in deferred:
            self.when_running(step)

    def _lose_calls(self, why: str) -> None:
        self.is_alive = False
        lost, self.held = list(self.held.values()), {}
        for call in lost:
            if not call.is_established:
                self._note(Kind.SETUP_LOST, call, detail=why)
            elif not call.is_given_up:
                self._note(Kind.CALL_OVER, call, detail=why)

    def _note(self, kind: Kind, call: HeldCall, detail: str = "") -> None:
        process = call.connection.process
        self._record.note(kind, call.tag, softswitch=process, server=self.instance, detail=detail)
