"""Server connections under a scope: which are opened, kept for established calls and closed."""

from __future__ import annotations

import random

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallRequest, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import (
    Availability,
)

from .support.scope_simulation import kind, scoped, settings_of


class Heard:
    """A caller that keeps what it is told."""

    def __init__(self):
        self.told = []

    def __getattr__(self, name):
        return lambda *_arguments: self.told.append(name)


class Linked:
    """Core, scoped decisions and the roster side, with a clock set by hand and links that only record."""

    def __init__(self, *classes):
        self.now, self.dialled, self.calls = 1000.0, [], 0
        settings = settings_of(*classes)
        self.scoped = scoped(settings, idle_s=4.0)
        self.scoped.on_scope_changed = self.changed
        self.core = CallManager(
            settings, random.Random(1), lambda: self.now, lambda *_args, **_fields: None, Counters(),
            decisions=self.scoped,
        )  # fmt: skip
        self.core.servers.in_scope = self.scoped.in_scope
        self.side = ServerConnectionPool(self.core, self.dialled.append)
        self.core.readiness.list_known = self.core.readiness.listening = True

    def changed(self, _numbers, _classes, _came):
        for server in list(self.core.servers.by_id.values()):
            self.side.record_changed(server)

    def listing(self, name, number, standing=Availability.READY):
        self.core.update_servers([ServerRecord(name, ("127.0.0.1", 9), number, standing)], complete=False)

    def offer(self, what):
        self.calls += 1
        caller = Heard()
        call = self.core.offer_call(CallRequest(f"{self.calls:016x}", what, "7", "d", 5.0), caller)
        return call, caller

    def run(self, seconds):
        end = self.now + seconds
        while (due := self.core.timers.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.core.timers.run_due()
        self.now = end


def test_a_link_stays_until_the_call_that_stands_there_is_over():
    """Guards against a release that finds no link, and the end of a call that comes on one that is gone: its
    set leaves while it stands, and its server moves to a service that nobody here asks for.
    """
    a, b = kind("a", 1, 2), kind("b", 3)
    inside = Linked(a, b)
    for name, number in (("x", 1), ("y", 2), ("z", 3)):
        inside.listing(name, number)
    assert not inside.dialled
    assert inside.core.readiness.startup_health().is_ready, "it waits for what is out of scope"
    call, caller = inside.offer(a)
    assert [link.server.record.instance for link in inside.dialled] == ["x", "y"]
    for link in inside.dialled:
        link.connection_made()
    link = inside.side.active[call.attempt.server.id]
    assert b'"START"' in link.data_to_send()
    link.receive_data(b'{"verb":"STARTED","tag":"%s","blob":"d"}\n' % call.request.ident.encode())
    assert caller.told == ["established"]
    other = next(each for each in inside.dialled if each is not link)
    inside.run(30)
    assert not inside.scoped.sets.by_numbers
    assert inside.core.counters.counts["calls_offered"] == 1
    assert other.can_close()
    assert not link.draining
    assert not link.can_close()
    inside.listing(link.server.record.instance, 3)  # to another service, which is out of scope as well
    inside.run(30)
    assert not link.draining
    assert not link.can_close()
    inside.core.release(call, 16)
    assert not link.can_close(), "the release has not been written"
    assert b'"FINISH"' in link.data_to_send()
    inside.run(5)
    assert link.draining
    assert link.can_close()
    for each in (link, other):
        each.pool.remove(each)
    assert not inside.side.active
    assert not inside.side.draining
    assert len(inside.dialled) == 2
    inside.offer(b)
    at_three = [each.server.record.instance for each in inside.dialled[2:]]
    assert sorted(at_three) == sorted([link.server.record.instance, "z"])


def test_a_set_that_comes_back_while_its_links_end_has_links():
    """Guards against a call that waits for a link that was given up a moment before."""
    a, b = kind("a", 1), kind("b", 2)
    inside = Linked(a, b)
    inside.listing("x", 1)
    inside.listing("z", 2)
    call, _ = inside.offer(a)
    link = inside.dialled[0]
    link.connection_made()

    def leaves(call):
        assert b'"START"' in link.data_to_send()
        inside.core.abandon(call)
        assert b'"FINISH"' in link.data_to_send()
        link.receive_data(b'{"verb":"LOAD","opts":{"load":"free:5;size:9"}}\n')

    leaves(call)
    inside.run(20)
    assert link.draining
    assert not inside.scoped.sets.by_numbers
    call, _ = inside.offer(a)
    assert not link.draining
    leaves(call)
    inside.run(20)
    assert link.draining
    link.pool.remove(link)  # its connection has ended
    assert len(inside.dialled) == 1
    call, _ = inside.offer(a)
    assert len(inside.dialled) == 2
    assert call.attempt.server.record.instance == "x"


def test_a_server_that_goes_without_ever_having_been_in_scope_is_forgotten():
    """Guards against a record for each server that ever was, in lists of thousands that change daily."""
    inside = Linked(kind("a", 1), kind("b", 2))
    inside.listing("x", 1)
    inside.listing("z", 2)
    inside.offer(kind("a", 1))
    inside.listing("z", 2, Availability.GONE)
    inside.run(0.1)
    assert [s.record.instance for s in inside.core.servers.by_id.values()] == ["x"]
    assert list(inside.scoped.sets.listed.by_id) == [1]
    inside.listing("z", 2)
    inside.core.update_servers([ServerRecord("x", ("127.0.0.1", 9), 1, Availability.READY)], complete=True)
    inside.run(0.1)
    assert [s.record.instance for s in inside.core.servers.by_id.values()] == ["x"]
