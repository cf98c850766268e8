"""The endpoint list: long polls, answers cut short, entries that cannot be read, drains of servers."""

from __future__ import annotations

import json

import pytest

from stairhatch.node.calls import ServerRecord
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import (
    ANSWER_TIMEOUT_S,
    EMPTY_ANSWER_PAUSE_S,
    MAX_REQUESTS,
    ServiceDiscoveryClient,
)
from stairhatch.overload.events import Availability

from .support.call_ids import next_call_id
from .support.deployment import establish_call
from .support.in_process_node import InProcessNode
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until


@pytest.mark.parametrize("spoil", ["break", "stop"])
def test_an_answer_that_is_cut_short_is_polled_again(start_deployment, spoil):
    """Changes are not missed where a coordinator breaks off within an event, or stops there and leaves the
    connection open.
    """
    program, coordinator, (server,) = start_deployment(None)
    other = ScriptedServer()
    coordinator.answer_faults = [spoil, spoil]
    coordinator.publish(
        endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1)
    )
    assert coordinator.polled_indices.count(1) >= 3, "the number moved on before the event was whole"
    establish_call(program)
    assert other.messages("START")


def test_an_unresponsive_coordinator_is_disconnected_within_2_s():
    """Nobody waits longer than 2 s after the end of the poll's own wait, when changes count as notified."""
    node = InProcessNode()
    directory, aborted = ServiceDiscoveryClient(node.core, ("127.0.0.1", 1), 4), []
    directory.abort = lambda: aborted.append(node.now)
    directory.connected()
    assert b"follow=4" in directory.data_to_send()
    body = b'{"index":4,"updates":[]}'
    node.run(ANSWER_TIMEOUT_S - 0.1)
    directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    node.run(ANSWER_TIMEOUT_S - 0.1)
    assert not aborted, "a whole answer begins the wait anew"
    node.run(0.2)
    assert aborted


def test_a_coordinator_that_answers_late_is_heard_by_every_second_poll():
    """A slow coordinator whose answers take longer than a poll is awaited would never be heard; nor may a
    silent one be awaited for long each time.
    """
    node = InProcessNode()
    directory, aborted = ServiceDiscoveryClient(node.core, ("127.0.0.1", 1), 4), []
    directory.abort = lambda: aborted.append(node.now)
    waits = []
    for _ in range(4):
        began = node.now
        directory.connected()
        asked_s = int(directory.data_to_send().split(b"wait_ms=")[1].split()[0]) / 1000
        while len(aborted) <= len(waits):
            node.run(0.1)
        directory.connection_lost()
        waits.append(node.now - began)
        assert waits[-1] < asked_s + 2.0, "its changes count as notified by then"
    assert waits[0] < 3.0 < 4.0 < waits[1] < 5.0
    assert waits[2] < 3.0 < 4.0 < waits[3]
    directory.connected()
    body = b'{"index":4,"updates":[]}'
    directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert b"wait_ms=2000" in directory.data_to_send()


def test_the_first_poll_does_not_wait_for_changes():
    """A new process is ready before a whole poll for changes is over."""
    node = InProcessNode()
    node.core.readiness.list_known = False
    directory = ServiceDiscoveryClient(node.core, ("127.0.0.1", 1), 4)
    directory.connected()
    assert int(directory.data_to_send().split(b"wait_ms=")[1].split()[0]) <= 100
    body = b'{"index":4,"updates":[]}'
    directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert node.core.readiness.list_known
    assert int(directory.data_to_send().split(b"wait_ms=")[1].split()[0]) >= 1000


def test_an_unresponsive_coordinator_does_not_keep_a_known_list_from_serving():
    """A softswitch that was given a list at its start serves without waiting for changes."""
    node = InProcessNode()
    node.core.readiness.list_known = False
    ServiceDiscoveryClient(node.core, ("127.0.0.1", 1), 4).connected()
    assert not node.core.readiness.health().is_ready
    node.run(2.0)
    assert node.core.readiness.health().is_ready


def test_an_older_event_index_is_logged_and_changes_nothing():
    """A coordinator that has lost its memory is noticed, no event is applied twice, and one that answers at
    once with nothing new is not polled without a pause.
    """
    node, logged = InProcessNode(), []
    node.log = lambda event, **fields: logged.append((event, fields))
    directory = ServiceDiscoveryClient(node.core, ("127.0.0.1", 1), 9)

    def answer(index):
        body = json.dumps({"index": index, "updates": []}).encode()
        directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    directory.connected()
    assert b"follow=9" in directory.data_to_send()
    answer(9)
    directory.data_to_send()
    answer(4)
    assert directory.last_index == 9
    assert [fields["why"] for event, fields in logged if event == "service_discovery"]
    assert not directory.data_to_send(), "it answered at once: the next question waits"
    node.run(EMPTY_ANSWER_PAUSE_S + 0.01)
    assert b"follow=9" in directory.data_to_send()
    answer(4)
    assert len([event for event, _ in logged if event == "service_discovery"]) == 1, "logged once"


def test_an_unreadable_entry_holds_up_no_other_and_its_server_gets_no_new_calls(tmp_path, started_programs):
    """The list does not stand still for one entry: the drain of another server beside it is applied."""
    servers = [ScriptedServer() for _ in range(3)]
    coordinator = ScriptedCoordinator(
        *(endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers))
    )
    program = Program.on_platform(tmp_path, coordinator).wait_until_serving()
    started_programs.append(program)
    caller, established = program.caller(), next_call_id()
    caller.invite(established, routing_data="dest:0;width:1;via:-1")
    caller.expect(established, 200)
    (busy_server,) = [each for each in servers if each.messages("START")]
    lines = [endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers)]
    at = servers.index(busy_server)
    drained, available = [n for n in range(3) if n != at]
    lines[at]["lifecycle"] = "napping"
    lines[drained]["lifecycle"] = "terminating"
    coordinator.publish(
        lines[at], {"cell": "no name"}, lines[drained]
    )  # returns once the next index is polled
    expected = {f"s-{at}": "draining", f"s-{drained}": "draining", f"s-{available}": "ready"}
    wait_until(  # the log has a thread of its own
        lambda: {line["server"]: line["state"] for line in program.log_events("server_listed")} == expected,
        "the states in the log",
    )
    skipped = [
        line for line in program.log_events("service_discovery") if line["why"].startswith("unreadable")
    ]
    assert len(skipped) == 1, "logged once"
    before = [len(each.messages("START")) for each in servers]
    for _ in range(6):
        caller.invite(ident := next_call_id(), answer_within_ms=9000)
        caller.expect(ident, 200)
    after = [len(each.messages("START")) for each in servers]
    assert [n for n in range(3) if after[n] > before[n]] == [available]
    busy_server.send("FINISH", established, rc=16)
    caller.expect(established, "BYE")


def discover(*events, names="abc"):
    """A service discovery client that knows some servers and gets these events, each on a connection of its
    own; returns it, the servers' availability, and the answers that were handed on.
    """
    node = InProcessNode()
    ServerConnectionPool(node.core, lambda _connection: None)
    node.core.servers.by_id.clear()
    node.core.servers.by_instance.clear()
    listed = [ServerRecord(name, ("127.0.0.1", 9), 0, Availability.READY) for name in names]
    node.core.update_servers(listed, True)
    directory, logged = ServiceDiscoveryClient(node.core, ("127.0.0.1", 1), 4), []
    directory.on_answer = logged.append
    for event in events:
        directory.connected()
        body = json.dumps({"index": 5, "updates": [{"index": 5, "endpoints": event}]}).encode()
        directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    availabilities = {
        s.record.instance: s.record.availability.value for s in node.core.servers.by_instance.values()
    }
    return directory, availabilities, logged


def test_a_corrupted_list_is_polled_again_before_its_other_entries_are_applied():
    """A server is not left without calls for an entry that was corrupted once."""
    good = {
        "reset": False,
        "instances": [endpoint_entry("a", 9, state="terminating"), endpoint_entry("b", 9)],
    }
    corrupted = {
        "reset": False,
        "instances": [good["instances"][0], {**endpoint_entry("b", 9), "hostPort": "?"}],
    }
    directory, availabilities, _ = discover(*[corrupted] * (MAX_REQUESTS - 1))
    assert directory.last_index == 4
    assert set(availabilities.values()) == {"ready"}
    directory, availabilities, _ = discover(*[corrupted] * (MAX_REQUESTS - 1), good)
    assert directory.last_index == 5
    assert availabilities == {"a": "draining", "b": "ready", "c": "ready"}
    directory, availabilities, logged = discover(*[corrupted] * MAX_REQUESTS)
    assert directory.last_index == 5
    assert availabilities == {"a": "draining", "b": "draining", "c": "ready"}
    states = {
        raw["instanceId"]: raw["lifecycle"] for raw in logged[0]["updates"][0]["endpoints"]["instances"]
    }
    assert states == {"a": "terminating", "b": "terminating"}, "whoever is handed the list gets the same"


@pytest.mark.parametrize(
    ("line", "left"),
    [
        ({**endpoint_entry("b", 9), "hostPort": "?"}, {"a": "ready", "b": "draining"}),
        ({**endpoint_entry("b", 9, state="terminated"), "cell": []}, {"a": "ready"}),
        ({**endpoint_entry("new", 9), "lifecycle": []}, {"a": "ready"}),
        ({"cell": 1}, {"a": "ready", "b": "draining", "c": "draining"}),
        ("b", {"a": "ready", "b": "draining", "c": "draining"}),
    ],
    ids=["no address", "gone", "new", "no name", "no object"],
)
def test_a_complete_list_with_an_unreadable_entry_cuts_no_calls_for_it(line, left):
    """A server is not taken for gone, and its calls cut, for a corrupted entry in a complete list."""
    corrupted = {"reset": True, "instances": [endpoint_entry("a", 9), line]}
    directory, availabilities, _ = discover(*[corrupted] * MAX_REQUESTS)
    assert directory.last_index == 5
    assert {name: state for name, state in availabilities.items() if state != "gone"} == left


def test_a_drained_server_gets_no_calls_and_its_address_may_be_used_again(start_deployment):
    """Servers are not known by address: a new one may have that of one that drains."""
    program, coordinator, (server, other) = start_deployment(None, None)
    caller = program.caller()
    coordinator.publish(endpoint_entry("s-0", server.port, 0, "terminating"))
    first, second = next_call_id(), next_call_id()
    caller.invite(first)
    caller.expect(first, 200)
    assert not server.messages("START")
    assert other.messages("START")
    coordinator.publish(
        endpoint_entry("s-0", server.port, 0, "terminated"), endpoint_entry("s-9", server.port, 0),
        endpoint_entry("s-1", other.port, 1, "terminating"),
    )  # fmt: skip
    caller.invite(second)
    caller.expect(second, 200)
    assert [m["tag"] for m in server.messages("START")] == [second]
