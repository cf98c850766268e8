"""Roster servers that vanish or hang: their calls are ended though nobody reports the ends."""

from __future__ import annotations

import pytest

from stairhatch.node.calls import ServerRecord
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import Availability

from .support.accepted_connections import take_statuses
from .support.call_ids import next_call_id
from .support.deployment import Deployments, establish_call
from .support.failing_server import FailingServer
from .support.in_process_node import InProcessNode
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

TOLD_WITHIN_S = 8.0  # of the end of a call that nobody could report (the platform's protocol page)
LOAD_LINE = b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n'


@pytest.mark.parametrize("failure", ["vanish", "hang"])
def test_callers_are_told_when_their_server_falls_silent_while_discovery_is_down(
    start_deployment: Deployments, failure: str
) -> None:
    """The incident of 2 December 2026: a server that says nothing any more, with calls established there, and
    no service discovery that would list it as gone. Guards `ServerConnectionPool`'s failure detection.
    """
    server = FailingServer()
    program, coordinator, _ = start_deployment(servers=[server], wait_until_serving=True)
    callers = [establish_call(program) for _ in range(2)]
    coordinator.close()
    getattr(server, failure)()
    wait_until(lambda: all(released(caller) for caller in callers), "the releases of both calls")


def released(caller) -> bool:
    """Whether a caller was told that its call is over."""
    return any(message.method == "BYE" for _, message in caller.received)


class ServerOnClock:
    """One roster server before a node whose clock is set by hand, with the connections that were dialled."""

    def __init__(self) -> None:
        self.node = InProcessNode()
        self.dialled: list[ServerConnection] = []
        self.aborted: list[ServerConnection] = []
        self.pool = ServerConnectionPool(self.node.core, self.dial)
        self.node.core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY)], True)
        self.caller = PlatformFrontend(self.node.core).connect()
        (self.connection,) = self.dialled
        self.connect(self.connection)

    def dial(self, connection: ServerConnection) -> None:
        connection.abort = lambda: self.aborted.append(connection)
        self.dialled.append(connection)

    @staticmethod
    def connect(connection: ServerConnection) -> None:
        """It comes up, and the server reports its load on it."""
        connection.connection_made()
        connection.receive_data(LOAD_LINE)

    def establish_call(self) -> str:
        """A call that is established on the connection in use; returns its id."""
        ident = next_call_id()
        self.caller.receive_data(platform_invite(ident, answer_within_ms="4000"))
        self.node.run(0.05)
        connection = self.pool.active[1]
        assert ident.encode() in connection.data_to_send()
        connection.receive_data(b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n' % ident.encode())
        assert take_statuses(self.caller, ident) == [200]
        return ident


def test_a_call_at_a_silent_server_is_released_within_the_limit() -> None:
    """What is over is told within 8 s of its end, and a server that vanishes does so at any time after it was
    last heard.
    """
    server = ServerOnClock()
    ident = server.establish_call()
    server.node.run(TOLD_WITHIN_S - 0.5)
    assert take_statuses(server.caller, ident) == ["BYE"]
