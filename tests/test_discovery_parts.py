"""Answers of the coordinator with a part that is absent, unknown or of another type: it costs only itself."""

from __future__ import annotations

import json

import pytest

from stairhatch.node.calls import ServerRecord
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.events import Availability

from .support.in_process_node import InProcessNode
from .support.scripted_coordinator import endpoint_entry

LAST_INDEX = 4  # of the list that is in force at the start
KNOWN_START = 7.0
DRAIN_OF_A = {"generation": 5, "reset": False, "instances": [endpoint_entry("a", 9, state="terminating")]}
TAKEN_AT_ONCE = 1  # number of equal answers after which the content is in force


class Discovery:
    """A client of a coordinator with the ready servers a, b and c, whose answers the test writes."""

    def __init__(self):
        self.node = InProcessNode()
        self.logged = []
        self.node.log = lambda event, **fields: self.logged.append((event, fields))
        ServerConnectionPool(self.node.call_manager, lambda _connection: None)
        self.servers = self.node.call_manager.servers
        self.servers.by_id.clear()
        self.servers.by_instance.clear()
        records = [
            ServerRecord(name, ("127.0.0.1", 9), 0, Availability.READY, started_at=KNOWN_START)
            for name in "abc"
        ]
        self.node.call_manager.update_servers(records, True)
        self.client = ServiceDiscoveryClient(self.node.call_manager, ("127.0.0.1", 1), LAST_INDEX)

    def answer(self, raw, times=TAKEN_AT_ONCE):
        """Give the client an answer, each time on a connection of its own."""
        body = json.dumps(raw).encode()
        for _ in range(times):
            self.client.connected()
            self.client.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def states(self):
        """Return the availability of each listed server."""
        return {name: server.record.availability.value for name, server in self.servers.by_instance.items()}

    def reasons(self):
        """Return what the log tells of answers."""
        return [fields["why"] for event, fields in self.logged if event == "service_discovery"]


@pytest.mark.parametrize("mark", ["false", "no", "", [], {"x": 1}, 0, None], ids=repr)
def test_a_mark_of_another_type_does_not_make_a_list_complete(mark):
    """Guards against the end of calls at all servers that a change does not list."""
    discovery = Discovery()
    endpoints = {**DRAIN_OF_A, "reset": mark}
    discovery.answer({"index": 5, "updates": [{"index": 5, "endpoints": endpoints}]})
    assert discovery.states() == {"a": "draining", "b": "ready", "c": "ready"}
