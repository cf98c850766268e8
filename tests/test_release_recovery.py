"""Tests of the connections that are opened for releases which a server sends on a dead connection."""

from __future__ import annotations

import pytest

from stairhatch.node.liveness_checker import MAX_SUPERSEDED
from stairhatch.node.server_connection import ServerConnection

from .support.accepted_connections import take_statuses
from .support.server_lines import finish_line
from .support.server_on_clock import LOAD_LINE, ServerOnClock

REPORT_INTERVAL_S = 0.5
FIRST_REPORT_LIMIT_S = 0.5  # leaves half of the second in which a reported end must be told
RELEASE_LIMIT_S = 8.0  # from the unreported end of a call to its release (the platform's protocol page)


class CallOnDeadConnection:
    """A call at a server that reports its load on all connections but those that have fallen silent."""

    def __init__(self) -> None:
        self.server = ServerOnClock(list_answers=True)
        self.ident = self.server.establish_call()
        self.dead = [self.server.connection]
        self.ended_release = b""  # sent by the server on each connection that comes up

    @classmethod
    def found_dead(cls) -> CallOnDeadConnection:
        """Return a call whose set-up connection has been found to be dead."""
        call = cls()
        call.run(4.0)
        assert call.dead[0] in call.server.aborted
        return call

    @classmethod
    def closed_as_oldest(cls) -> CallOnDeadConnection:
        """Return a call whose dead set-up connection was closed to make room for others, also silent ones."""
        call = cls()
        pool = call.server.pool
        for _ in range(MAX_SUPERSEDED + 1):
            pool.dial_standby(pool.active[1])
            call.dead.append(pool.standby[1])
            pool.standby[1].connection_made()
        assert call.dead[0].can_close()
        assert call.dead[0] not in call.server.aborted
        call.end_closed_connections()
        call.run(4.0)
        return call

    def run(self, seconds: float) -> None:
        """Advance the clock, with load reports on all connections but the dead ones."""
        for _ in range(round(seconds / REPORT_INTERVAL_S)):
            self.server.run(REPORT_INTERVAL_S)
            for connection in self.server.dialled:
                if connection not in self.dead and connection.liveness.is_connected:
                    connection.receive_data(LOAD_LINE)
            self.end_closed_connections()
            self.bring_up_standby()

    def end_closed_connections(self) -> None:
        """End the connections that were aborted or may be closed, as the driver does."""
        pool = self.server.pool
        for connection in list(pool.superseded):
            if connection in self.server.aborted or connection.can_close():
                connection.connection_lost()
                pool.remove(connection)

    def bring_up_standby(self) -> None:
        """Let a connection that is being dialled come up, and send the releases that are due on it."""
        standby: ServerConnection | None = self.server.pool.standby.get(1)
        if standby is not None:
            self.server.connect(standby)
            standby.receive_data(self.ended_release)

    def end(self) -> None:
        """End the call: the server's release is lost on the dead connection."""
        self.ended_release = finish_line(self.ident)


@pytest.mark.parametrize("begin", [CallOnDeadConnection.found_dead, CallOnDeadConnection.closed_as_oldest])
def test_the_end_of_a_call_is_reported_although_its_setup_connection_is_dead(begin) -> None:
    """Guards against calls that are over and never released towards their callers (issue 58, case 7)."""
    for established_s in (1.0, 5.0, 30.0):
        call = begin()
        call.run(established_s)
        assert call.server.has_call(call.ident)
        call.end()
        call.run(RELEASE_LIMIT_S - REPORT_INTERVAL_S)
        assert take_statuses(call.server.caller, call.ident)[:1] == ["BYE"], f"ended after {established_s} s"


def test_a_connection_that_is_silent_from_the_start_is_replaced_at_once() -> None:
    """Guards against releases that are sent on a new connection which is silent, and heard too late."""
    call = CallOnDeadConnection()
    pool = call.server.pool
    pool.dial_standby(pool.active[1])
    silent = pool.standby[1]
    silent.connection_made()
    call.server.node.run(FIRST_REPORT_LIMIT_S)
    assert pool.active[1] is silent
    assert 1 in pool.standby


def test_no_connection_is_opened_for_releases_once_the_calls_are_over() -> None:
    """Guards against connections that are opened for ever after one was dead."""
    call = CallOnDeadConnection.found_dead()
    call.end()
    call.run(RELEASE_LIMIT_S)
    assert not call.server.has_call(call.ident)
    dialled = len(call.server.dialled)
    call.run(60.0)
    assert len(call.server.dialled) == dialled
