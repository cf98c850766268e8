"""The ways that messages come and go: owns the state of one UDP port and of one TCP connection, as machines
that are fed bytes and hand bytes out. It must never know a socket, and never look further into a message than
to cut it out of a stream; what a message means is for whoever is given it (`Receiver`).
"""

from __future__ import annotations

import ipaddress
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.counters import Counters
from stairhatch.node.protocol import ConnectionProtocol, do_nothing

MOST_OUTPUT = 256 * 1024  # of a connection; one that reads so much too slowly is cut off
MOST_DATAGRAMS = 4096  # waiting to be sent
PING, PONG = b"\r\n\r\n", b"\r\n"  # RFC 5626, 4.4.1
MOST_FAULTS = 8  # messages that can't be read on one connection, in step or not
TransportAddress = tuple[str, int]


def is_ip_address(host: str) -> bool:
    """Whether it is an address and no name. Names are not looked up: that would hold up everybody."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def is_v6(host: str) -> bool:
    """Whether an address is of IPv6."""
    return ":" in host


class Flow:
    """A way back to a peer. `local` is our end of it."""

    reliable = False
    alive = True
    peer: TransportAddress = ("", 0)
    local: TransportAddress = ("", 0)

    def send(self, data: bytes) -> None:
        """Queue a message."""
        raise NotImplementedError

    @property
    def transport(self) -> str:
        """As a Via names it."""
        return "TCP" if self.reliable else "UDP"


class Receiver(Protocol):
    """Whoever is given what has come, or could not be read."""

    counters: Counters

    def receive(self, flow: Flow, message: sip.SipMessage) -> None: ...
    def settle(self, flow: UdpFlow, data: bytes) -> bool: ...
    def malformed(self, flow: Flow, error: sip_parser.SipError) -> None: ...
    def caller_gone(self, flow: SipConnection) -> None: ...
    def flow_lost(self, flow: Flow) -> None: ...


@dataclass(frozen=True, slots=True)
class AllowedNetworks:
    """Whom a listener hears: an empty list is everybody."""

    allowed: tuple[ipaddress.IPv4Network | ipaddress.IPv6Network, ...] = ()

    def admits(self, host: str) -> bool:
        """Whether messages from an address are read."""
        if not self.allowed:
            return True
        try:
            address = ipaddress.ip_address(host.partition("%")[0])
        except ValueError:
            return False
        mapped = getattr(address, "ipv4_mapped", None)
        return any(
            each is not None and each.version == net.version and each in net
            for net in self.allowed
            for each in (address, mapped)
        )


class SipDatagrams:
    """A UDP port: datagrams in, datagrams out."""

    def __init__(
        self, owner: Receiver, local: TransportAddress = ("", 0), networks: AllowedNetworks | None = None
    ) -> None:
        self.owner, self.local = owner, local
        self.networks = networks or AllowedNetworks()
        self.output: deque[tuple[bytes, TransportAddress]] = deque(maxlen=MOST_DATAGRAMS)
        self.notify_writable: Callable[[], None] = do_nothing

    def receive(self, data: bytes, peer: TransportAddress) -> None:
        """One datagram. What is malformed and can't be answered is counted and dropped."""
        if not self.networks.admits(peer[0]):
            self.owner.counters.add("datagrams_barred")
            return
        if not data.strip(b"\r\n\0 "):
            return  # a keep-alive
        flow = UdpFlow(self, (peer[0], peer[1]))
        if self.owner.settle(flow, data):
            return
        try:
            message = sip_parser.parse_datagram(data)
        except sip_parser.SipError as error:
            self.owner.malformed(flow, error)
            return
        self.owner.receive(flow, message)


class UdpFlow(Flow):
    """A peer's address, by one of our ports."""

    __slots__ = ("peer", "port")

    def __init__(self, port: SipDatagrams, peer: TransportAddress) -> None:
        self.port, self.peer = port, peer

    @property
    def local(self) -> TransportAddress:  # type: ignore[override]
        """Our port's address."""
        return self.port.local

    def send(self, data: bytes) -> None:
        self.port.output.append((data, self.peer))
        self.port.notify_writable()


class SipConnection(ConnectionProtocol, Flow):
    """A TCP connection, taken or dialled."""

    reliable = True

    def __init__(
        self, owner: Receiver, peer: TransportAddress = ("", 0), local: TransportAddress = ("", 0)
    ) -> None:
        super().__init__()
        self.owner, self.peer, self.local = owner, peer, local
        self.output: list[bytes] = []
        self.size = 0
        self.faults = 0
        self.parser = sip_parser.StreamParser(resynchronizes=True)
        self.gone = False  # its peer has closed it; what came before may still be unread
        self.owed: set[bytes] = set()  # transactions that await their final answer here
        self.dialogs = 0  # that stand on it

    def owes_response(self) -> bool:
        """Whether a final answer is owed on it, or one waits to be written."""
        return bool(self.owed or self.output)

    def has_partial_message(self) -> bool:
        """Whether the rest of a message is awaited."""
        return self.parser.has_partial_message()

    def is_idle(self) -> bool:
        """Also that no dialog stands on it: a drain lets those end, and their BYE come by it."""
        return super().is_idle() and not self.dialogs

    def read_timed_out(self) -> None:
        """A message has not come whole in time: its request is answered, if its head could be read."""
        if (begun := self.parser.pending_request) is not None:
            self.owner.malformed(self, sip_parser.SipError(408, "the rest of a message never came", begun))
        super().read_timed_out()

    def close_when_idle(self) -> None:
        """Nothing more goes this way: what is due to the peer later is dialled or sent by UDP."""
        self._forsake()
        super().close_when_idle()

    def send(self, data: bytes) -> None:
        self.output.append(data)
        self.size += len(data)
        if self.size > MOST_OUTPUT:
            self.owner.counters.add("slow_callers_cut")
            self.closing = True
            self.abort()
        self.notify_writable()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the peer. After a malformed message of unknown length the stream is closed."""
        if self.closing:
            return
        self.parser.feed(data)
        while not self.closing:
            try:
                message = self.parser.next_message()
            except sip_parser.SipError as error:
                self.faults += 1
                self.owner.malformed(self, error)
                if not error.is_synchronized or self.faults >= MOST_FAULTS:
                    self.closing = True
                    self.notify_writable()
                continue
            self._pong()
            if message is None:
                break
            self.request_received = True
            self.owner.receive(self, message)
        if self.gone:
            self.owner.caller_gone(self)

    def _pong(self) -> None:
        if self.parser.unanswered_keepalives:
            self.request_received = True
            self.owner.counters.add("pings", self.parser.unanswered_keepalives)
            self.parser.unanswered_keepalives = 0
            self.send(PONG)  # one for all that came at once

    def data_to_send(self) -> bytes:
        data = b"".join(self.output)
        self.output.clear()
        self.size = 0
        return data

    def peer_closing(self) -> None:
        """What lies unread before the end of the stream is read yet, and its set-ups are given up too."""
        self.gone = True
        self.owner.caller_gone(self)

    def eof_received(self) -> None:
        """The peer sends no more. What waits for its call is answered on what may be left of the connection;
        the answer to what is out goes another way.
        """
        self.owner.caller_gone(self)
        self._forsake()
        self.owed.clear()
        self.closing = True
        self.notify_writable()

    def connection_lost(self) -> None:
        """The connection has ended. What stands lives on, and is reached another way."""
        self._forsake()
        self.owner.counters.add("connections_lost")

    def _forsake(self) -> None:
        if self.alive:
            self.alive = False
            self.owner.flow_lost(self)
