"""The transport layer (RFC 3261, section 18): one UDP port and one TCP connection, as sans-I/O protocols.

They are fed bytes and hand bytes out. A message is cut out of its stream and parsed; what it means is for the
`MessageHandler` that it is given to.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.counters import Counters
from stairhatch.node.protocol import ConnectionProtocol, do_nothing
from stairhatch.sip.addresses import AllowedNetworks, TransportAddress

MAX_OUTPUT_BYTES = 256 * 1024  # of a connection; one that reads so much too slowly is cut off
MAX_QUEUED_DATAGRAMS = 4096
KEEPALIVE_ANSWER = b"\r\n"  # RFC 5626, 4.4.1
MAX_FAULTS = 8  # messages that can't be read on one connection, in step or not


class Flow:
    """Where messages of one peer come from and go to (RFC 5626, section 3)."""

    reliable = False
    alive = True
    peer: TransportAddress = ("", 0)
    local: TransportAddress = ("", 0)  # our end of it

    def send(self, data: bytes) -> None:
        """Queue a message."""
        raise NotImplementedError

    @property
    def transport(self) -> str:
        """As a Via names it."""
        return "TCP" if self.reliable else "UDP"

    def add_unanswered(self, transaction_key: bytes) -> None:
        """A server transaction awaits its final response here: a connection is not closed meanwhile."""

    def discard_unanswered(self, transaction_key: bytes) -> bool:  # noqa: ARG002 - for connections alone
        """It awaits none any more; whether it did."""
        return False

    def count_dialogs(self, change: int) -> None:
        """So many more established dialogs use this flow."""


class MessageHandler(Protocol):
    """Whoever is given what has come, or could not be read."""

    @property
    def counters(self) -> Counters:
        """The process's counters."""

    def message_received(self, flow: Flow, message: sip.SipMessage) -> None:
        """A message has come."""

    def datagram_received(self, flow: UdpFlow, data: bytes) -> bool:
        """A datagram has come; returns whether it is dealt with and needs no parse."""

    def malformed_received(self, flow: Flow, error: sip_parser.SipError) -> None:
        """Something has come that cannot be read."""

    def peer_disconnected(self, flow: SipConnection) -> None:
        """The peer has ended its side of a connection."""

    def flow_lost(self, flow: Flow) -> None:
        """A connection has ended, or is used no more."""


class UdpPort:
    """A UDP port: datagrams in, datagrams out."""

    def __init__(
        self,
        handler: MessageHandler,
        local: TransportAddress = ("", 0),
        networks: AllowedNetworks | None = None,
    ) -> None:
        """Begin with nothing to send; `networks` are those whose datagrams are read, None: all."""
        self.handler = handler
        self.local = local
        self.networks = networks or AllowedNetworks()
        self.output: deque[tuple[bytes, TransportAddress]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self.notify_writable: Callable[[], None] = do_nothing

    def receive(self, data: bytes, peer: TransportAddress) -> None:
        """Take one datagram. What is malformed and can't be answered is counted and dropped."""
        if not self.networks.allows(peer[0]):
            self.handler.counters.add("datagrams_denied")
            return
        if not data.strip(b"\r\n\0 "):
            return  # a keep-alive
        flow = UdpFlow(self, (peer[0], peer[1]))
        if self.handler.datagram_received(flow, data):
            return
        try:
            message = sip_parser.parse_datagram(data)
        except sip_parser.SipError as error:
            self.handler.malformed_received(flow, error)
            return
        self.handler.message_received(flow, message)


class UdpFlow(Flow):
    """A peer's address, by one of our ports."""

    __slots__ = ("peer", "port")

    def __init__(self, port: UdpPort, peer: TransportAddress) -> None:
        """Datagrams go to `peer` by `port`."""
        self.port = port
        self.peer = peer

    @property
    def local(self) -> TransportAddress:  # type: ignore[override]
        """Our port's address."""
        return self.port.local

    def send(self, data: bytes) -> None:
        """Queue a datagram."""
        self.port.output.append((data, self.peer))
        self.port.notify_writable()


class SipConnection(ConnectionProtocol, Flow):
    """A TCP connection, accepted or dialled."""

    reliable = True

    def __init__(
        self,
        handler: MessageHandler,
        peer: TransportAddress = ("", 0),
        local: TransportAddress = ("", 0),
    ) -> None:
        """Begin with nothing received; `local` has port 0 where the connection is dialled."""
        super().__init__()
        self.handler = handler
        self.peer = peer
        self.local = local
        self.output: list[bytes] = []
        self.faults = 0
        self._output_bytes = 0
        self._parser = sip_parser.StreamParser(resynchronizes=True)
        self._peer_closed = False  # what came before may still be unread
        self._unanswered: set[bytes] = set()  # transactions that await their final response here
        self._dialogs = 0  # established dialogs that use it

    @property
    def unanswered(self) -> list[bytes]:
        """The keys of the server transactions that await their final response here."""
        return list(self._unanswered)

    def add_unanswered(self, transaction_key: bytes) -> None:
        """A server transaction awaits its final response here."""
        self._unanswered.add(transaction_key)

    def discard_unanswered(self, transaction_key: bytes) -> bool:
        """It awaits none any more; whether it did."""
        if transaction_key not in self._unanswered:
            return False
        self._unanswered.discard(transaction_key)
        return True

    def count_dialogs(self, change: int) -> None:
        """So many more established dialogs use this connection."""
        self._dialogs += change

    def has_pending_response(self) -> bool:
        """Whether a final response is owed on it, or one waits to be written."""
        return bool(self._unanswered or self.output)

    def has_unwritten(self) -> bool:
        """Whether something waits to be written, or is being written."""
        return bool(self.output) or self.writing

    def has_partial_message(self) -> bool:
        """Whether the rest of a message is awaited."""
        return self._parser.has_partial_message()

    def is_idle(self) -> bool:
        """Also that no dialog uses it: a drain lets those end, and their BYE come by it."""
        return super().is_idle() and not self._dialogs

    def read_timed_out(self) -> None:
        """A message was not complete in time: a request is answered, if its head could be read."""
        if (begun := self._parser.pending_request) is not None:
            error = sip_parser.SipError(408, "the rest of a message never came", begun)
            self.handler.malformed_received(self, error)
        super().read_timed_out()

    def close_when_idle(self) -> None:
        """Nothing more goes by it: what is due to the peer later is dialled or sent by UDP."""
        self._end_flow()
        super().close_when_idle()

    def send(self, data: bytes) -> None:
        """Queue a message. A peer that reads too slowly for `MAX_OUTPUT_BYTES` is cut off."""
        self.output.append(data)
        self._output_bytes += len(data)
        if self._output_bytes > MAX_OUTPUT_BYTES:
            self.handler.counters.add("connections_slow_closed")
            self.closing = True
            self.abort()
        self.notify_writable()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the peer. After a malformed message of unknown length the stream is closed."""
        if self.closing:
            return
        self._parser.feed(data)
        while not self.closing:
            try:
                message = self._parser.next_message()
            except sip_parser.SipError as error:
                self._malformed_received(error)
                continue
            self._answer_keepalives()
            if message is None:
                break
            self.request_received = True
            self.handler.message_received(self, message)
        if self._peer_closed:
            self.handler.peer_disconnected(self)

    def data_to_send(self) -> bytes:
        """What is to be written."""
        data = b"".join(self.output)
        self.output.clear()
        self._output_bytes = 0
        return data

    def peer_closing(self) -> None:
        """What was sent before the end of the stream is read yet, and its set-ups are abandoned too."""
        self._peer_closed = True
        self.handler.peer_disconnected(self)

    def eof_received(self) -> None:
        """The peer sends no more.

        Pending set-ups are answered by the connection, if it is half-closed; responses to what has been
        forwarded go by another flow.
        """
        self.handler.peer_disconnected(self)
        self._end_flow()
        self._unanswered.clear()
        self.closing = True
        self.notify_writable()

    def connection_lost(self) -> None:
        """The connection has ended. Established dialogs go on, and are reached by another flow."""
        self._end_flow()
        self.handler.counters.add("connections_lost")

    def _malformed_received(self, error: sip_parser.SipError) -> None:
        self.faults += 1
        self.handler.malformed_received(self, error)
        if not error.is_synchronized or self.faults >= MAX_FAULTS:
            self.closing = True
            self.notify_writable()

    def _answer_keepalives(self) -> None:
        if self._parser.unanswered_keepalives:
            self.request_received = True
            self.handler.counters.add("keepalives_answered", self._parser.unanswered_keepalives)
            self._parser.unanswered_keepalives = 0
            self.send(KEEPALIVE_ANSWER)  # one for all of one read

    def _end_flow(self) -> None:
        if self.alive:
            self.alive = False
            self.handler.flow_lost(self)
