"""The flows of one frontend: its UDP ports and TCP connections, and which of them a message of ours goes by.

A dialog hangs on no connection: where the flow that was used has ended, another one is found or dialled.
"""

from __future__ import annotations

from collections.abc import Callable

from stairhatch.node.address import format_address
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.sip import grammar
from stairhatch.sip.addresses import TransportAddress, is_ip_address, is_ipv6
from stairhatch.sip.config import SipConfig, SipListener
from stairhatch.sip.request_head import DEFAULT_PORT
from stairhatch.sip.transport import Flow, MessageHandler, SipConnection, UdpFlow, UdpPort

MAX_UDP_REQUEST_BYTES = 1300  # a larger request of ours goes by TCP (18.1.1)


def _do_not_dial(connection: SipConnection) -> None:
    """Take the place of `FlowRouter.dial` until the network is there."""


class FlowRouter:
    """All ports and connections of a frontend."""

    def __init__(self, handler: MessageHandler, config: SipConfig) -> None:
        """Open the ports' protocols; `handler` is given what comes. A reload changes nothing here."""
        self.ports = [UdpPort(handler, each.address, each.networks) for each in config.udp]
        self.connections: dict[TransportAddress, SipConnection] = {}  # by the peer's address
        self.dial: Callable[[SipConnection], None] = _do_not_dial  # set by the composition root
        self._handler = handler
        self._config = config

    def connector(self, listener: SipListener) -> Callable[[TransportAddress], ConnectionProtocol]:
        """What makes the protocol of a connection that was accepted at an address."""

        def connect(peer: TransportAddress) -> SipConnection:
            address = (peer[0], peer[1])
            connection = SipConnection(self._handler, address, listener.address)
            self.connections[address] = connection
            if not listener.networks.allows(peer[0]):
                self._handler.counters.add("connections_denied")
                connection.closing = True
            return connection

        return connect

    def remove(self, flow: Flow) -> None:
        """A connection has ended, or is used no more."""
        if self.connections.get(flow.peer) is flow:  # the peer may have come again
            del self.connections[flow.peer]

    def contact(self, flow: Flow) -> str:
        """The Contact for responses and requests by a flow: where later requests are to be sent."""
        address = self.sent_by(flow)
        return f"sip:{address};transport=tcp" if flow.reliable else f"sip:{address}"

    def sent_by(self, flow: Flow) -> str:
        """Where responses to requests of ours are to come (18.1.1)."""
        return self._config.contact or format_address(self._local_address(flow))

    def request_flow(self, uri: str, used: Flow, size_bytes: int = 0, prefer_tcp: bool = True) -> Flow:
        """The flow of a request to a URI: the one that was used while it is alive, else another.

        A request too large for UDP goes by TCP, unless that was tried in vain (18.1.1).
        """
        is_large = size_bytes > MAX_UDP_REQUEST_BYTES and prefer_tcp
        if used.alive and (used.reliable or (self.ports and not is_large)):
            return used
        try:
            target = grammar.parse_uri(uri)
            address, transport = (target.host, target.port or DEFAULT_PORT), target.transport
        except grammar.GrammarError:
            address, transport = used.peer, ""
        if not is_ip_address(address[0]):
            address = used.peer  # names are not looked up
        port = self._port_for(address[0])
        if port is not None and ((transport != "tcp" and not is_large) or not prefer_tcp):
            return UdpFlow(port, address)
        return self._connection_to(address)

    def response_flow(self, used: Flow, address: TransportAddress) -> Flow:
        """The flow of a response whose own has ended: a new connection to where its Via says (18.2.2)."""
        return self._connection_to(address) if used.reliable else used

    def is_flushed(self) -> bool:
        """Whether all output has been handed to the driver and written."""
        has_output = any(each.output for each in self.ports)
        return not has_output and not any(each.has_unwritten() for each in self.connections.values())

    def _local_address(self, flow: Flow) -> TransportAddress:
        if flow.local[1]:
            return flow.local
        listeners = (*self._config.tcp, *self._config.udp) if flow.reliable else self._config.udp
        wants_ipv6 = is_ipv6(flow.peer[0])
        same_family = (each.address for each in listeners if is_ipv6(each.address[0]) is wants_ipv6)
        return next(same_family, flow.local)

    def _connection_to(self, address: TransportAddress) -> SipConnection:
        known = self.connections.get(address)
        if known is not None and known.alive:
            return known
        connection = self.connections[address] = SipConnection(self._handler, address)
        self.dial(connection)
        return connection

    def _port_for(self, host: str) -> UdpPort | None:
        wants_ipv6 = is_ipv6(host)
        return next((each for each in self.ports if is_ipv6(each.local[0]) is wants_ipv6), None)
