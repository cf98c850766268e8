"""The flows of one frontend, its UDP ports and TCP connections, and the choice of a flow for each message.

A dialog is not bound to a connection: if its last flow has ended, another flow is found or dialled.
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

MAX_UDP_REQUEST_BYTES = 1300  # a larger request is sent by TCP (RFC 3261, 18.1.1)


def _do_not_dial(connection: SipConnection) -> None:
    """Ignore a connection to dial: the default of `FlowRouter.dial` until the network is started."""


class FlowRouter:
    """The ports and connections of a frontend, and the router of its messages to them."""

    def __init__(self, handler: MessageHandler, config: SipConfig) -> None:
        """Create the protocols of the UDP ports; `handler` receives their messages.

        A reload of the settings doesn't change them.
        """
        self.ports = [UdpPort(handler, listener.address, listener.networks) for listener in config.udp]
        self.connections: dict[TransportAddress, SipConnection] = {}  # by the peer's address
        self.dial: Callable[[SipConnection], None] = _do_not_dial  # set by the composition root
        self._handler = handler
        self._config = config

    def connector(self, listener: SipListener) -> Callable[[TransportAddress], ConnectionProtocol]:
        """Return a factory for the protocols of the connections that `listener` accepts.

        A connection from outside the listener's networks is closed at once.
        """

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
        """Remove a connection that has ended or is being drained."""
        if self.connections.get(flow.peer) is flow:  # unless a newer connection of the peer has replaced it
            del self.connections[flow.peer]

    def contact(self, flow: Flow) -> str:
        """Return the Contact URI for messages on a flow, to which the peer sends later requests."""
        address = self.sent_by(flow)
        return f"sip:{address};transport=tcp" if flow.reliable else f"sip:{address}"

    def sent_by(self, flow: Flow) -> str:
        """Return the sent-by value of the Via of our requests on a flow (RFC 3261, 18.1.1).

        It is the address to which the responses are sent.
        """
        return self._config.contact or format_address(self._local_address(flow))

    def request_flow(self, uri: str, last_flow: Flow, size_bytes: int = 0, prefer_tcp: bool = True) -> Flow:
        """Return the flow for a request to a URI: `last_flow` if it is alive, else another one.

        A request too large for UDP is sent by TCP, unless `prefer_tcp` is false because TCP has failed before
        (RFC 3261, 18.1.1).
        """
        is_large = size_bytes > MAX_UDP_REQUEST_BYTES and prefer_tcp
        if last_flow.alive and (last_flow.reliable or (self.ports and not is_large)):
            return last_flow
        try:
            target = grammar.parse_uri(uri)
            address, transport = (target.host, target.port or DEFAULT_PORT), target.transport
        except grammar.GrammarError:
            address, transport = last_flow.peer, ""
        if not is_ip_address(address[0]):
            address = last_flow.peer  # host names are not looked up
        port = self._port_for(address[0])
        if port is not None and ((transport != "tcp" and not is_large) or not prefer_tcp):
            return UdpFlow(port, address)
        return self._connection_to(address)

    def response_flow(self, last_flow: Flow, address: TransportAddress) -> Flow:
        """Return the flow for a response if the flow of its request, `last_flow`, has ended.

        It is a connection to `address`, the response address from the Via (RFC 3261, 18.2.2). A UDP flow
        never ends and is returned unchanged.
        """
        return self._connection_to(address) if last_flow.reliable else last_flow

    def is_flushed(self) -> bool:
        """Whether all output has been taken by the driver and written to the sockets."""
        has_output = any(port.output for port in self.ports)
        return not has_output and not any(
            connection.has_unwritten() for connection in self.connections.values()
        )

    def _local_address(self, flow: Flow) -> TransportAddress:
        if flow.local[1]:
            return flow.local
        listeners = (*self._config.tcp, *self._config.udp) if flow.reliable else self._config.udp
        needs_ipv6 = is_ipv6(flow.peer[0])
        same_family = (
            listener.address for listener in listeners if is_ipv6(listener.address[0]) is needs_ipv6
        )
        return next(same_family, flow.local)

    def _connection_to(self, address: TransportAddress) -> SipConnection:
        existing = self.connections.get(address)
        if existing is not None and existing.alive:
            return existing
        connection = self.connections[address] = SipConnection(self._handler, address)
        self.dial(connection)
        return connection

    def _port_for(self, host: str) -> UdpPort | None:
        needs_ipv6 = is_ipv6(host)
        return next((port for port in self.ports if is_ipv6(port.local[0]) is needs_ipv6), None)
