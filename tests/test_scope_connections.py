"""Tests of server connections with a scope: which are opened, kept for established calls and closed."""

from __future__ import annotations

import random

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallRequest, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import (
    Availability,
)

from .support.recording_session import RecordingSession
from .support.scope_simulation import call_class, scoped_controller, settings_with


class ScopedNode:
    """Call manager with a scoped controller and a server connection pool, on a clock that the test advances.

    Opened connections are only recorded.
    """

    def __init__(self, *classes):
        self.now = 1000.0
        self.opened = []
        self.calls = 0
        settings = settings_with(*classes)
        self.scoped = scoped_controller(settings, idle_s=4.0)
        self.scoped.on_scope_changed = self.scope_changed
        self.call_manager = CallManager(
            settings, random.Random(1), lambda: self.now, lambda *_args, **_fields: None, Counters(),
            decisions=self.scoped,
        )  # fmt: skip
        self.call_manager.servers.in_scope = self.scoped.in_scope
        self.pool = ServerConnectionPool(self.call_manager, self.opened.append)
        self.call_manager.readiness.list_known = self.call_manager.readiness.listening = True

    def scope_changed(self, _numbers, _classes, _entered):
        """Update the connections of all servers after a set entered or left the scope."""
        for server in list(self.call_manager.servers.by_id.values()):
            self.pool.record_changed(server)

    def list_server(self, name, number, availability=Availability.READY):
        """Add a server to the endpoint list, or change its entry."""
        self.call_manager.update_servers(
            [ServerRecord(name, ("127.0.0.1", 9), number, availability)], complete=False
        )

    def list_servers(self, **numbers):
        """Add servers to the endpoint list, as name=number."""
        for name, number in numbers.items():
            self.list_server(name, number)

    def offer(self, requested_class):
        """Offer a call of a class; return the call and its caller's session."""
        self.calls += 1
        caller = RecordingSession()
        call = self.call_manager.offer_call(
            CallRequest(f"{self.calls:016x}", requested_class, "7", "d", 5.0), caller
        )
        return call, caller

    def run(self, seconds):
        """Advance the clock and run the timers that are due."""
        end = self.now + seconds
        while (due := self.call_manager.timers.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.call_manager.timers.run_due()
        self.now = end


def instances(server_connections):
    """Return the names of the servers that connections lead to."""
    return [each.server.record.instance for each in server_connections]


def establish(node, call):
    """Have the server establish a call whose set-up was sent; return the server's connection."""
    server_connection = node.pool.active[call.attempt.server.id]
    assert b'"START"' in server_connection.data_to_send()
    server_connection.receive_data(
        b'{"verb":"STARTED","tag":"%s","blob":"d"}\n' % call.request.ident.encode()
    )
    return server_connection


def test_a_connection_stays_until_the_call_established_there_is_released():
    """Guards against a release without a connection, in either direction, for an established call.

    The call's set leaves the scope during the call, and its server moves to a service out of scope.
    """
    a, b = call_class("a", 1, 2), call_class("b", 3)
    node = ScopedNode(a, b)
    node.list_servers(x=1, y=2, z=3)
    assert not node.opened
    assert (
        node.call_manager.readiness.startup_health().is_ready
    ), "readiness waits for servers that are out of scope"
    call, caller = node.offer(a)
    assert instances(node.opened) == ["x", "y"]
    for server_connection in node.opened:
        server_connection.connection_made()
    server_connection = establish(node, call)
    assert caller.events == ["established"]
    other = next(each for each in node.opened if each is not server_connection)
    node.run(30)
    assert not node.scoped.sets.by_numbers
    assert node.call_manager.counters.counts["calls_offered"] == 1
    assert other.can_close()
    assert not server_connection.draining
    assert not server_connection.can_close()
    (instance,) = instances([server_connection])
    node.list_server(instance, 3)  # the other service is out of scope as well
    node.run(30)
    assert not server_connection.draining
    assert not server_connection.can_close()
    node.call_manager.release(call, 16)
    assert not server_connection.can_close(), "the release has not been written"
    assert b'"FINISH"' in server_connection.data_to_send()
    node.run(5)
    assert server_connection.draining
    assert server_connection.can_close()
    for each in (server_connection, other):
        each.pool.remove(each)
    assert not node.pool.active
    assert not node.pool.draining
    assert len(node.opened) == 2
    node.offer(b)
    assert sorted(instances(node.opened[2:])) == sorted([instance, "z"])


def test_a_set_that_comes_back_while_its_connections_close_has_connections():
    """Guards against a call that waits for a connection closed shortly before, when its set had left."""
    a, b = call_class("a", 1), call_class("b", 2)
    node = ScopedNode(a, b)
    node.list_server("x", 1)
    node.list_server("z", 2)
    call, _ = node.offer(a)
    server_connection = node.opened[0]
    server_connection.connection_made()

    def abandon_after_setup(call):
        assert b'"START"' in server_connection.data_to_send()
        node.call_manager.abandon(call)
        assert b'"FINISH"' in server_connection.data_to_send()
        server_connection.receive_data(b'{"verb":"LOAD","opts":{"load":"free:5;size:9"}}\n')

    abandon_after_setup(call)
    node.run(20)
    assert server_connection.draining
    assert not node.scoped.sets.by_numbers
    call, _ = node.offer(a)
    assert not server_connection.draining
    abandon_after_setup(call)
    node.run(20)
    assert server_connection.draining
    server_connection.pool.remove(server_connection)  # the connection has closed
    assert len(node.opened) == 1
    call, _ = node.offer(a)
    assert len(node.opened) == 2
    assert call.attempt.server.record.instance == "x"


def test_a_server_that_goes_without_ever_having_been_in_scope_is_forgotten():
    """Guards against a memory leak: lists of thousands of servers change daily."""
    node = ScopedNode(call_class("a", 1), call_class("b", 2))
    node.list_server("x", 1)
    node.list_server("z", 2)
    node.offer(call_class("a", 1))
    node.list_server("z", 2, Availability.GONE)
    node.run(0.1)
    assert [s.record.instance for s in node.call_manager.servers.by_id.values()] == ["x"]
    assert list(node.scoped.sets.listed.by_id) == [1]
    node.list_server("z", 2)
    node.call_manager.update_servers(
        [ServerRecord("x", ("127.0.0.1", 9), 1, Availability.READY)], complete=True
    )
    node.run(0.1)
    assert [s.record.instance for s in node.call_manager.servers.by_id.values()] == ["x"]
