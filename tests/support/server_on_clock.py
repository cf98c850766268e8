"""A node on a manual clock with one roster server, whose connections the test feeds with bytes."""

from __future__ import annotations

from stairhatch.node.calls import ServerRecord
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import Availability

from .accepted_connections import take_statuses
from .call_ids import next_call_id
from .in_process_node import InProcessNode
from .server_lines import started_line
from .sip_messages import platform_invite

LOAD_LINE = b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n'


class ServerOnClock:
    """A node on a manual clock with one roster server, and the connections that the node has dialled."""

    def __init__(self, list_answers: bool = False) -> None:
        """Connect the server; `list_answers`: the coordinator keeps listing the server without changes."""
        self.node = InProcessNode()
        self.list_answers = list_answers
        self.started_at = self.node.now
        self.dialled: list[ServerConnection] = []
        self.aborted: list[ServerConnection] = []
        self.pool = ServerConnectionPool(self.node.call_manager, self.dial)
        self.node.call_manager.update_servers(
            [ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY)], True
        )
        self.caller = PlatformFrontend(self.node.call_manager).connect()
        (self.connection,) = self.dialled
        self.connect(self.connection)

    def dial(self, connection: ServerConnection) -> None:
        connection.abort = lambda: self.aborted.append(connection)
        self.dialled.append(connection)

    @staticmethod
    def connect(connection: ServerConnection) -> None:
        """Bring a connection up and receive the server's first load report on it."""
        connection.connection_made()
        connection.receive_data(LOAD_LINE)

    def run(self, seconds: float) -> None:
        """Advance the clock; at the end the coordinator confirms its list, if it answers."""
        self.node.run(seconds)
        if self.list_answers:
            self.node.call_manager.servers.list_confirmed_at = self.node.now

    def has_call(self, ident: str) -> bool:
        """Return whether a call is established."""
        return self.node.call_manager.calls.is_established(ident)

    def establish_call(self) -> str:
        """Establish a call on the active connection, and return its id."""
        ident = next_call_id()
        self.caller.receive_data(platform_invite(ident, answer_within_ms="4000"))
        self.node.run(0.05)
        connection = self.pool.active[1]
        assert ident.encode() in connection.data_to_send()
        connection.receive_data(started_line(ident))
        assert take_statuses(self.caller, ident) == [200]
        return ident
