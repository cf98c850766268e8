"""The transport layer (RFC 3261, section 18): sans-I/O protocols of a UDP port and of a TCP connection.

Both are fed received bytes and hand out bytes to send. They split streams into messages, parse the messages
and pass them to a `MessageHandler`, which processes them.
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

MAX_OUTPUT_BYTES = 256 * 1024  # queued behind a socket that takes nothing, or before a dial succeeds
MAX_QUEUED_DATAGRAMS = 4096  # per port; beyond it the oldest is dropped
KEEPALIVE_ANSWER = b"\r\n"  # RFC 5626, 4.4.1
MAX_FAULTS = 8  # malformed messages on a connection before it is closed, even if the parser resynchronized


class Flow:
    """A bidirectional path of messages to and from one peer (RFC 5626, section 3)."""

    reliable = False
    alive = True
    peer: TransportAddress = ("", 0)
    local: TransportAddress = ("", 0)  # the address of this end

    def send(self, data: bytes) -> None:
        """Queue a message for sending."""
        raise NotImplementedError

    @property
    def transport(self) -> str:
        """The transport as it is written in a Via header: "TCP" or "UDP"."""
        return "TCP" if self.reliable else "UDP"

    def add_unanswered(self, transaction_key: bytes) -> None:
        """Note a server transaction without a final response, until which a connection is kept open."""

    def discard_unanswered(self, transaction_key: bytes) -> bool:  # noqa: ARG002 - used by connections only
        """Remove a server transaction from the unanswered ones; returns whether it was among them."""
        return False

    def count_dialogs(self, change: int) -> None:
        """Add `change` to the number of established dialogs that use this flow."""


class MessageHandler(Protocol):
    """The receiver of messages, malformed input and connection events."""

    @property
    def counters(self) -> Counters:
        """The counters of the process."""

    def message_received(self, flow: Flow, message: sip.SipMessage) -> None:
        """Process a parsed message."""

    def datagram_received(self, flow: UdpFlow, data: bytes) -> bool:
        """Process a datagram before it is parsed; returns True if it needs no parse."""

    def malformed_received(self, flow: Flow, error: sip_parser.SipError) -> None:
        """Process a message that could not be parsed."""

    def peer_disconnected(self, flow: SipConnection) -> None:
        """Process the end of the stream from the peer of a connection."""

    def flow_lost(self, flow: Flow) -> None:
        """Process a connection that has ended, or that is being drained and sends no new messages."""


class UdpPort:
    """The sans-I/O protocol of a UDP port."""

    def __init__(
        self,
        handler: MessageHandler,
        local: TransportAddress = ("", 0),
        networks: AllowedNetworks | None = None,
    ) -> None:
        """Create a port; datagrams from outside `networks` are dropped, None allows all."""
        self.handler = handler
        self.local = local
        self.networks = networks or AllowedNetworks()
        self.output: deque[tuple[bytes, TransportAddress]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self.notify_writable: Callable[[], None] = do_nothing

    def receive(self, data: bytes, peer: TransportAddress) -> None:
        """Process a datagram.

        A keep-alive is ignored. A malformed message is passed to the handler, which counts it and answers it
        if possible.
        """
        if not self.networks.allows(peer[0]):
            self.handler.counters.add("datagrams_denied")
            return
        if not data.strip(b"\r\n\0 "):
            return  # a keep-alive, which needs no answer by UDP
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
    """The flow between a local UDP port and the address of a peer."""

    __slots__ = ("peer", "port")

    def __init__(self, port: UdpPort, peer: TransportAddress) -> None:
        """Create the flow from the local port `port` to the address `peer`."""
        self.port = port
        self.peer = peer

    @property
    def local(self) -> TransportAddress:  # type: ignore[override]
        """The address of the local port."""
        return self.port.local

    def send(self, data: bytes) -> None:
        """Queue a datagram for sending."""
        self.port.output.append((data, self.peer))
        self.port.notify_writable()


class SipConnection(ConnectionProtocol, Flow):
    """The sans-I/O protocol of a TCP connection, accepted or dialled."""

    reliable = True

    def __init__(
        self,
        handler: MessageHandler,
        peer: TransportAddress = ("", 0),
        local: TransportAddress = ("", 0),
    ) -> None:
        """Create the protocol of a connection; `local` has port 0 if the connection is dialled."""
        super().__init__()
        self.handler = handler
        self.peer = peer
        self.local = local
        self.output: list[bytes] = []
        self.faults = 0
        self._output_bytes = 0
        self._has_driver = False  # the driver has fetched output: the connection is up
        self._parser = sip_parser.StreamParser(resynchronizes=True)
        self._peer_closed = False  # data that the peer sent before may still be unread
        self._unanswered: set[bytes] = set()  # keys of transactions that await their final response
        self._dialogs = 0  # number of established dialogs that use the connection

    @property
    def unanswered(self) -> list[bytes]:
        """The keys of the server transactions that await their final response on this connection."""
        return list(self._unanswered)

    def add_unanswered(self, transaction_key: bytes) -> None:
        """Note a server transaction that awaits its final response on this connection."""
        self._unanswered.add(transaction_key)

    def discard_unanswered(self, transaction_key: bytes) -> bool:
        """Remove a server transaction from the unanswered ones; returns whether it was among them."""
        if transaction_key not in self._unanswered:
            return False
        self._unanswered.discard(transaction_key)
        return True

    def count_dialogs(self, change: int) -> None:
        """Add `change` to the number of established dialogs that use this connection."""
        self._dialogs += change

    def has_pending_response(self) -> bool:
        """Whether a transaction awaits its final response on this connection, or output is queued."""
        return bool(self._unanswered or self.output)

    def has_unwritten(self) -> bool:
        """Whether output is queued or being written."""
        return bool(self.output) or self.writing

    def has_partial_message(self) -> bool:
        """Whether a message has been received only in part."""
        return self._parser.has_partial_message()

    def is_idle(self) -> bool:
        """Whether a drain or the idle timeout may close the connection.

        It is idle if nothing is pending on it and no dialog uses it. A drain waits for the dialogs to end,
        because their BYE is received on this connection.
        """
        return super().is_idle() and not self._dialogs

    def read_timed_out(self) -> None:
        """Close the connection, as a message was not complete in time.

        A request whose head could be parsed is answered 408.
        """
        if (partial_request := self._parser.pending_request) is not None:
            error = sip_parser.SipError(408, "message was not complete in time", partial_request)
            self.handler.malformed_received(self, error)
        super().read_timed_out()

    def close_when_idle(self) -> None:
        """Send no new messages on the connection, and close it once it is idle.

        Later messages to the peer use a new connection or UDP.
        """
        self._end_flow()
        super().close_when_idle()

    def send(self, data: bytes) -> None:
        """Queue a message; abort the connection if over `MAX_OUTPUT_BYTES` wait and the peer reads nothing.

        Messages that are queued in one turn prove nothing, since the driver had no chance to write them.
        """
        self.output.append(data)
        self._output_bytes += len(data)
        is_blocked = self.writing or not self._has_driver
        if is_blocked and self._output_bytes > MAX_OUTPUT_BYTES:
            self.handler.counters.add("connections_slow_closed")
            self.closing = True
            self.abort()
        self.notify_writable()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Process received bytes; closes the connection after a malformed message of unknown length."""
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
        """Return the queued output and empty the queue."""
        self._has_driver = True
        data = b"".join(self.output)
        self.output.clear()
        self._output_bytes = 0
        return data

    def peer_closing(self) -> None:
        """Abandon the set-ups of a peer that has closed its side.

        Data that it sent before is still processed, and the set-ups in that data are abandoned as well.
        """
        self._peer_closed = True
        self.handler.peer_disconnected(self)

    def eof_received(self) -> None:
        """Abandon the pending set-ups at the end of the stream from the peer, and close the connection.

        Set-ups that have not been forwarded are answered on this connection, which the peer may have
        half-closed. Responses to set-ups that have been forwarded are sent on another flow.
        """
        self.handler.peer_disconnected(self)
        self._end_flow()
        self._unanswered.clear()
        self.closing = True
        self.notify_writable()

    def connection_lost(self) -> None:
        """Process the end of the connection; established dialogs continue and use another flow."""
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
            self.send(KEEPALIVE_ANSWER)  # one answer for all keep-alives of a read

    def _end_flow(self) -> None:
        if self.alive:
            self.alive = False
            self.handler.flow_lost(self)
