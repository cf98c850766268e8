"""Tests of the endpoint list: long polls, truncated answers, unreadable entries, drains of servers."""

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


@pytest.mark.parametrize("fault", ["break", "stop"])
def test_a_truncated_answer_is_polled_again(start_deployment, fault):
    """No change is missed if a coordinator closes the connection within an event, or stops sending there and
    leaves the connection open.
    """
    program, coordinator, (server,) = start_deployment(None)
    other = ScriptedServer()
    coordinator.answer_faults = [fault, fault]
    coordinator.publish(
        endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1)
    )
    assert coordinator.polled_indices.count(1) >= 3, "the polled index advanced before the event was complete"
    establish_call(program)
    assert other.messages("START")


def test_an_unresponsive_coordinator_is_disconnected_within_2_s():
    """A poll ends less than 2 s after its requested wait, by when changes count as notified."""
    node = InProcessNode()
    client, aborted = ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 4), []
    client.abort = lambda: aborted.append(node.now)
    client.connected()
    assert b"follow=4" in client.data_to_send()
    body = b'{"index":4,"updates":[]}'
    node.run(ANSWER_TIMEOUT_S - 0.1)
    client.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    node.run(ANSWER_TIMEOUT_S - 0.1)
    assert not aborted, "a complete answer restarts the timeout"
    node.run(0.2)
    assert aborted


def test_every_second_poll_waits_longer_for_a_slow_coordinator():
    """With a short timeout for every poll, the answers of a slow coordinator would never be received; with a
    long one, a silent coordinator would be detected late each time.
    """
    node = InProcessNode()
    client, aborted = ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 4), []
    client.abort = lambda: aborted.append(node.now)
    waits = []
    for _ in range(4):
        began = node.now
        client.connected()
        requested_wait_s = int(client.data_to_send().split(b"wait_ms=")[1].split()[0]) / 1000
        while len(aborted) <= len(waits):
            node.run(0.1)
        client.connection_lost()
        waits.append(node.now - began)
        assert waits[-1] < requested_wait_s + 2.0, "changes count as notified by then"
    assert waits[0] < 3.0 < 4.0 < waits[1] < 5.0
    assert waits[2] < 3.0 < 4.0 < waits[3]
    client.connected()
    body = b'{"index":4,"updates":[]}'
    client.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert b"wait_ms=2000" in client.data_to_send()


def test_the_first_poll_does_not_wait_for_changes():
    """A new process is ready without waiting for the full time of a poll."""
    node = InProcessNode()
    node.call_manager.readiness.list_known = False
    client = ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 4)
    client.connected()
    assert int(client.data_to_send().split(b"wait_ms=")[1].split()[0]) <= 100
    body = b'{"index":4,"updates":[]}'
    client.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert node.call_manager.readiness.list_known
    assert int(client.data_to_send().split(b"wait_ms=")[1].split()[0]) >= 1000


def test_a_softswitch_with_a_known_list_serves_despite_an_unresponsive_coordinator():
    """A softswitch that has a list at its start does not wait for the coordinator's changes."""
    node = InProcessNode()
    node.call_manager.readiness.list_known = False
    ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 4).connected()
    assert not node.call_manager.readiness.health().is_ready
    node.run(2.0)
    assert node.call_manager.readiness.health().is_ready


def test_an_older_event_index_is_logged_and_changes_nothing():
    """A coordinator that has lost its state is logged once and no event is applied twice. A coordinator that
    answers at once without new events is polled with a pause in between.
    """
    node, logged = InProcessNode(), []
    node.log = lambda event, **fields: logged.append((event, fields))
    client = ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 9)

    def answer(index):
        body = json.dumps({"index": index, "updates": []}).encode()
        client.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    client.connected()
    assert b"follow=9" in client.data_to_send()
    answer(9)
    client.data_to_send()
    answer(4)
    assert client.last_index == 9
    assert [fields["why"] for event, fields in logged if event == "service_discovery"]
    assert not client.data_to_send(), "the answer came at once, so the next request is delayed"
    node.run(EMPTY_ANSWER_PAUSE_S + 0.01)
    assert b"follow=9" in client.data_to_send()
    answer(4)
    assert len([event for event, _ in logged if event == "service_discovery"]) == 1, "logged once"


def test_an_unreadable_entry_does_not_block_others_and_its_server_gets_no_new_calls(
    tmp_path, started_programs
):
    """The drain of another server in the same event is applied despite the unreadable entry."""
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
    entries = [endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers)]
    busy = servers.index(busy_server)
    drained, available = [n for n in range(3) if n != busy]
    entries[busy]["lifecycle"] = "napping"
    entries[drained]["lifecycle"] = "terminating"
    coordinator.publish(entries[busy], {"cell": "no name"}, entries[drained])  # waits for the next poll
    expected = {f"s-{busy}": "draining", f"s-{drained}": "draining", f"s-{available}": "ready"}
    wait_until(  # the log is written by a thread of its own
        lambda: {line["server"]: line["state"] for line in program.log_events("server_listed")} == expected,
        "the logged states",
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
    """Give a service discovery client with known servers these events, each on a connection of its own.

    Returns the client, the servers' availability by instance id, and the answers passed to `on_answer`.
    """
    node = InProcessNode()
    ServerConnectionPool(node.call_manager, lambda _connection: None)
    node.call_manager.servers.by_id.clear()
    node.call_manager.servers.by_instance.clear()
    listed = [ServerRecord(name, ("127.0.0.1", 9), 0, Availability.READY) for name in names]
    node.call_manager.update_servers(listed, True)
    client, relayed = ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 4), []
    client.on_answer = relayed.append
    for event in events:
        client.connected()
        body = json.dumps({"index": 5, "updates": [{"index": 5, "endpoints": event}]}).encode()
        client.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    availabilities = {
        s.record.instance: s.record.availability.value for s in node.call_manager.servers.by_instance.values()
    }
    return client, availabilities, relayed


def test_a_corrupted_list_is_polled_again_before_its_other_entries_are_applied():
    """A server does not lose new calls because its entry was corrupted once."""
    good = {
        "reset": False,
        "instances": [endpoint_entry("a", 9, state="terminating"), endpoint_entry("b", 9)],
    }
    corrupted = {
        "reset": False,
        "instances": [good["instances"][0], {**endpoint_entry("b", 9), "hostPort": "?"}],
    }
    client, availabilities, _ = discover(*[corrupted] * (MAX_REQUESTS - 1))
    assert client.last_index == 4
    assert set(availabilities.values()) == {"ready"}
    client, availabilities, _ = discover(*[corrupted] * (MAX_REQUESTS - 1), good)
    assert client.last_index == 5
    assert availabilities == {"a": "draining", "b": "ready", "c": "ready"}
    client, availabilities, relayed = discover(*[corrupted] * MAX_REQUESTS)
    assert client.last_index == 5
    assert availabilities == {"a": "draining", "b": "draining", "c": "ready"}
    states = {
        raw["instanceId"]: raw["lifecycle"] for raw in relayed[0]["updates"][0]["endpoints"]["instances"]
    }
    assert states == {"a": "terminating", "b": "terminating"}, "the relayed list has the same states"


@pytest.mark.parametrize(
    ("entry", "expected"),
    [
        ({**endpoint_entry("b", 9), "hostPort": "?"}, {"a": "ready", "b": "draining"}),
        ({**endpoint_entry("b", 9, state="terminated"), "cell": []}, {"a": "ready"}),
        ({**endpoint_entry("new", 9), "lifecycle": []}, {"a": "ready"}),
        ({"cell": 1}, {"a": "ready", "b": "draining", "c": "draining"}),
        ("b", {"a": "ready", "b": "draining", "c": "draining"}),
    ],
    ids=["no address", "gone", "new", "no name", "no object"],
)
def test_an_unreadable_entry_in_a_complete_list_marks_no_server_as_gone(entry, expected):
    """A corrupted entry in a complete list does not mark its server as gone, which would end its calls."""
    corrupted = {"reset": True, "instances": [endpoint_entry("a", 9), entry]}
    client, availabilities, _ = discover(*[corrupted] * MAX_REQUESTS)
    assert client.last_index == 5
    assert {name: state for name, state in availabilities.items() if state != "gone"} == expected


def test_a_drained_server_gets_no_calls_and_its_address_can_be_reused(start_deployment):
    """Servers are identified by instance id: a new one may have the address of a terminated one."""
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
