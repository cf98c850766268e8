"""A listener of the platform frontend, without an event loop, whose received bytes a test supplies."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from stairhatch.node import sip_parser
from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.listener import Listener, ListenerLimits
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.protocol import ConnectionProtocol

from .in_process_node import InProcessNode


class UnreadSocket:
    """A stand-in for an accepted socket with unread bytes; has only the method that a listener calls."""

    def __init__(self, unread: bytes = b"") -> None:
        self.unread = unread

    def recv(self, size: int, _flags: int) -> bytes:
        """Return up to `size` bytes, which stay unread. Raises BlockingIOError if there are none."""
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size]


def listener_with_connections(
    node: InProcessNode, max_connections: int, *sockets: Any
) -> tuple[Listener, list[AcceptedConnection]]:
    """Return a listener of the platform frontend and its connections, one accepted for each socket."""
    frontend = PlatformFrontend(node.call_manager)
    network = SimpleNamespace(loop=SimpleNamespace(time=lambda: node.now), call_manager=node.call_manager)
    listener = Listener(network, None, None, frontend.connect, ListenerLimits(max_connections))
    accepted = [AcceptedConnection(frontend.connect(), sock, node.now) for sock in sockets]
    listener.connections.update((connection, None) for connection in accepted)
    return listener, accepted


def receive(node: InProcessNode, connection: AcceptedConnection, data: bytes) -> None:
    """Pass bytes to a connection and record their time of receipt, as the network code does."""
    connection.protocol.receive_data(data)
    connection.received_at = node.now
    partial = connection.protocol.has_partial_message()
    connection.partial_since = (connection.partial_since or node.now) if partial else 0.0


def take_statuses(connection: ConnectionProtocol, ident: str) -> list[int | str]:
    """Remove the queued output of a platform connection; return the statuses and methods for one call."""
    parser, found = sip_parser.StreamParser(), []
    parser.feed(connection.data_to_send())
    while (message := parser.next_message()) is not None:
        if message.get("call-id") == ident:
            found.append(message.status or message.method)
    return found
