"""Where cases are played: owns two stages of one form, real sockets in real time, and the program's own
machines in process under a clock set by hand. Whatever a case sends goes through as bytes on both. It must
never judge.
"""

from __future__ import annotations

import heapq
import ipaddress
import random
import select
import socket
import time
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol

from stairhatch.emulators.scripted_replies import ScriptedReply, script_for
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, RosterServer, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.overload.events import Availability, LoadReport
from stairhatch.overload.settings import CallClass, SafetyLimits, Settings
from stairhatch.sip.frontend import SipConfig, SipFrontend, SipListener
from stairhatch.sip.transport import SipConnection

Place = tuple[str, int]


class CallerTransport(Protocol):
    """A caller's way: one connection, or one port."""

    host: str  # as its Via and Contact say
    transport: str

    def send(self, data: bytes) -> None: ...
    def close(self) -> None: ...


class ConformanceEnvironment(Protocol):
    """Where a case is played."""

    def open(self, transport: str) -> CallerTransport: ...
    def now(self) -> float: ...
    def wait(self, seconds: float) -> None: ...
    def heard(self, wire: CallerTransport) -> list[tuple[float, bytes]]: ...
    def close(self) -> None: ...


# ---- in process ----


class InnerWire:
    """A caller's way to the machines in this process."""

    def __init__(self, stage: Inside, transport: str, peer: Place) -> None:
        self.stage, self.transport, self.peer = stage, transport, peer
        self.host = f"{peer[0]}:{peer[1]}"
        self.got: list[tuple[float, bytes]] = []
        self.connection: SipConnection | None = None
        if transport == "tcp":
            machine = stage.front.connector(stage.front.config.tcp[0])(peer)
            assert isinstance(machine, SipConnection)
            self.connection = machine

    def send(self, data: bytes) -> None:
        """Bytes to the program."""
        if self.connection is not None:
            if not self.connection.closing:
                self.connection.receive_data(data)
        else:
            self.stage.front.ports[0].receive(data, self.peer)
        self.stage.carry()

    def close(self) -> None:
        """The caller ends its connection."""
        if self.connection is not None:
            self.connection.connection_lost()
            self.connection = None


class Inside:
    """The front and the core in this process, with a stand-in roster server and a clock of their own."""

    def __init__(self, **config: Any) -> None:
        self.time = 1000.0
        settings = Settings(
            (CallClass("read-roster", 1.0, 1.5, 9.0, 0.25), CallClass("save-roster", 3.0, 1.5, 9.0, 0.1)),
            SafetyLimits(drain_grace_s=1.0), retransmit_interval_s=0.8, max_attempts=6, max_retry_after_s=2.0,
        )  # fmt: skip
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.core = CallManager(
            settings, random.Random(1), self.now, lambda e, **f: self.logged.append((e, f)), Counters()
        )
        self.core.servers.pool = self
        self.core.update_servers([ServerRecord("stand-in", ("127.0.0.1", 9), 0, Availability.READY)], True)
        self.core.readiness.listening = self.core.readiness.list_known = True
        for server in self.core.servers.by_id.values():
            server.dial_attempted = server.connected = True
        at = (SipListener(("127.0.0.1", 5060)),)
        told: dict[str, Any] = {
            "udp": at, "tcp": at, "contact": "", "default_class": "read-roster",
            "numbers": (("7", "save-roster", 0),), **config,
        }  # fmt: skip
        tokens, chance = (f"{n:016x}" for n in count(1)), random.Random(2)
        self.front = SipFrontend(self.core, SipConfig(**told), lambda: next(tokens), chance.random, b"secret")
        self.front.dial = self._dialled
        self.wires: list[InnerWire] = []
        self.outside: list[tuple[float, Place, bytes]] = []  # what went to nobody that a case opened
        self.set_ups: list[str] = []
        self.releases: list[tuple[str, int]] = []
        self.released: set[str] = set()
        self._ports = count(40000)
        self._later: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    # the roster side

    def record_changed(self, server: RosterServer) -> None:
        """The core's view of the roster side."""

    def send_setup(self, attempt: Attempt) -> None:
        """A set-up is written at once, and the stand-in does as it does."""
        if not self.core.attempts.claim_transmission(attempt):
            return
        ident = attempt.call.request.ident
        self.set_ups.append(ident)
        for each in script_for(attempt.call.request.called_uri):
            act = self._saying(attempt.server, ident, each)
            heapq.heappush(self._later, (self.time + each.delay_s, next(self._order), act))

    def _saying(self, server: RosterServer, ident: str, what: ScriptedReply) -> Callable[[], None]:
        def act() -> None:
            if ident in self.released:
                return
            match what.verb:
                case "PENDING":
                    self.core.responses.setup_progressing(server, ident)
                case "STARTED":
                    self.core.responses.call_established(server, ident, what.description)
                case _:
                    self.core.responses.call_released(server, ident, what.cause, "", LoadReport())

        return act

    def send_release(self, server: RosterServer, ident: str, cause: int) -> None:
        """A set-up given up, or a call released."""
        self.releases.append((ident, cause))
        self.released.add(ident)

    def shut_down(self) -> None:
        """The process is about to go."""

    def is_flushed(self) -> bool:
        """All is written at once."""
        return True

    # the stage

    def now(self) -> float:
        """Seconds on its clock."""
        return self.time

    def open(self, transport: str) -> InnerWire:
        """A new way for a caller."""
        wire = InnerWire(self, transport, ("127.0.0.1", next(self._ports)))
        self.wires.append(wire)
        return wire

    def _dialled(self, connection: SipConnection) -> None:
        """The program opens a connection: whoever is called at that place takes it."""
        wire = next((w for w in self.wires if w.peer == connection.peer and w.connection is None), None)
        if wire is None or wire.transport == "udp":
            heapq.heappush(self._later, (self.time, next(self._order), connection.connection_lost))
            return
        wire.connection = connection

    def carry(self) -> None:
        """Hand over what the program has written."""
        for port in self.front.ports:
            while port.output:
                data, peer = port.output.popleft()
                wire = next((w for w in self.wires if w.peer == peer and w.transport == "udp"), None)
                if wire is None:
                    self.outside.append((self.time, peer, data))
                else:
                    wire.got.append((self.time, data))
        for wire in self.wires:
            if wire.connection is not None and (data := wire.connection.data_to_send()):
                wire.got.append((self.time, data))

    def wait(self, seconds: float) -> None:
        """Let time pass, event by event."""
        end = self.time + seconds
        while True:
            dues = [self._later[0][0]] if self._later else []
            if (due := self.core.timers.next_due()) is not None:
                dues.append(due)
            if not dues or min(dues) > end:
                break
            self.time = max(self.time, min(dues))
            while self._later and self._later[0][0] <= self.time:
                heapq.heappop(self._later)[2]()
            self.core.timers.run_due()
            self.carry()
        self.time = end
        self.carry()

    def heard(self, wire: CallerTransport) -> list[tuple[float, bytes]]:
        """What came on a wire since this was asked last."""
        assert isinstance(wire, InnerWire)
        got, wire.got = wire.got, []
        return got

    def close(self) -> None:
        """The case is over."""


# ---- over sockets ----


class OuterWire:
    """A caller's socket."""

    def __init__(self, transport: str, place: Place) -> None:
        self.transport = transport
        six = ":" in place[0]
        family = socket.AF_INET6 if six else socket.AF_INET
        if transport == "udp":
            self.sock = socket.socket(family, socket.SOCK_DGRAM)
            self.sock.bind(("::1" if six else "127.0.0.1", 0))
            self.sock.connect(place)
        else:
            self.sock = socket.create_connection(place, 5.0)
        self.sock.setblocking(False)
        name = self.sock.getsockname()
        self.host = f"[{name[0]}]:{name[1]}" if six else f"{name[0]}:{name[1]}"
        self.open = True

    def send(self, data: bytes) -> None:
        """Bytes to the program."""
        try:
            self.sock.setblocking(True)
            self.sock.sendall(data)
        except OSError:
            self.open = False
        finally:
            self.sock.setblocking(False)

    def close(self) -> None:
        """The caller ends its connection."""
        self.open = False
        self.sock.close()


class Outside:
    """A program that listens at an address of this machine."""

    def __init__(self, udp: Place | None, tcp: Place | None) -> None:
        for place in (udp, tcp):
            if place is not None and not ipaddress.ip_address(place[0]).is_loopback:
                raise ValueError(f"{place[0]} is no loopback address")
        self.places = {"udp": udp, "tcp": tcp}
        self.wires: list[OuterWire] = []

    def open(self, transport: str) -> OuterWire:
        """A new way for a caller."""
        place = self.places[transport]
        assert place is not None
        wire = OuterWire(transport, place)
        self.wires.append(wire)
        return wire

    def now(self) -> float:
        """Seconds on the machine's clock."""
        return time.monotonic()

    def wait(self, seconds: float) -> None:
        """Until something comes, or so long."""
        socks = [wire.sock for wire in self.wires if wire.open]
        if socks:
            select.select(socks, [], [], seconds)
        else:
            time.sleep(seconds)

    def heard(self, wire: CallerTransport) -> list[tuple[float, bytes]]:
        """What came on a wire since this was asked last."""
        assert isinstance(wire, OuterWire)
        got = []
        while wire.open:
            try:
                data = wire.sock.recv(65536)
            except (BlockingIOError, ConnectionRefusedError):
                break
            except OSError:
                wire.open = False
                break
            if not data and wire.transport == "tcp":
                wire.open = False
                break
            got.append((self.now(), data))
        return got

    def close(self) -> None:
        """The case is over."""
        for wire in self.wires:
            wire.close()


def messages(parser: sip_parser.StreamParser | None, data: bytes) -> list[sip.SipMessage]:
    """What a piece of what came holds."""
    if parser is None:
        return [sip_parser.parse_datagram(data)] if data.strip() else []
    parser.feed(data)
    found = []
    while (message := parser.next_message()) is not None:
        found.append(message)
    return found
