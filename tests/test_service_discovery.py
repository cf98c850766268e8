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
def test_an_answer_cut_short_is_asked_for_again(start_deployment, spoil):
    """Guards against changes that are never heard: a coordinator breaks off in mid-event, or stops there and
    leaves the connection open.
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


def test_a_silent_coordinator_is_left_within_the_time_that_changes_count_as_told():
    """Guards against waiting longer than 2 s after the end of the wait that was asked for."""
    inside = InProcessNode()
    directory, aborted = ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4), []
    directory.abort = lambda: aborted.append(inside.now)
    directory.connected()
    assert b"follow=4" in directory.data_to_send()
    body = b'{"index":4,"updates":[]}'
    inside.run(ANSWER_TIMEOUT_S - 0.1)
    directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    inside.run(ANSWER_TIMEOUT_S - 0.1)
    assert not aborted, "a whole answer begins the wait anew"
    inside.run(0.2)
    assert aborted


def test_the_first_question_to_the_coordinator_is_answered_at_once():
    """Guards against a new process that is not ready before a whole wait for news is over."""
    inside = InProcessNode()
    inside.core.readiness.list_known = False
    directory = ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4)
    directory.connected()
    assert int(directory.data_to_send().split(b"wait_ms=")[1].split()[0]) <= 100
    body = b'{"index":4,"updates":[]}'
    directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert inside.core.readiness.list_known
    assert int(directory.data_to_send().split(b"wait_ms=")[1].split()[0]) >= 1000


def test_a_coordinator_that_says_nothing_does_not_keep_a_known_list_from_serving():
    """Guards against a softswitch that waits for news though it was told a list at its start."""
    inside = InProcessNode()
    inside.core.readiness.list_known = False
    ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4).connected()
    assert not inside.core.readiness.health().is_ready
    inside.run(2.0)
    assert inside.core.readiness.health().is_ready


def test_an_older_number_of_the_list_is_told_and_changes_nothing():
    """Guards against a list that goes quiet unseen, and events taken twice, when a coordinator has lost its
    memory; and against a core spent on one that answers at once with nothing new.
    """
    inside, told = InProcessNode(), []
    inside.log = lambda event, **fields: told.append((event, fields))
    directory = ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 9)

    def answer(index):
        body = json.dumps({"index": index, "updates": []}).encode()
        directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    directory.connected()
    assert b"follow=9" in directory.data_to_send()
    answer(9)
    directory.data_to_send()
    answer(4)
    assert directory.last_index == 9
    assert [fields["why"] for event, fields in told if event == "service_discovery"]
    assert not directory.data_to_send(), "it answered at once: the next question waits"
    inside.run(EMPTY_ANSWER_PAUSE_S + 0.01)
    assert b"follow=9" in directory.data_to_send()
    answer(4)
    assert len([event for event, _ in told if event == "service_discovery"]) == 1, "told once"


def test_a_line_that_cannot_be_read_holds_no_other_up_and_gets_nothing_new(tmp_path, started_programs):
    """Guards against a list that stands still for one line of it: the drain told beside it went unheard for
    as long as the line was there, and calls went on to that server.
    """
    servers = [ScriptedServer() for _ in range(3)]
    coordinator = ScriptedCoordinator(
        *(endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers))
    )
    program = Program.on_platform(tmp_path, coordinator).wait_until_serving()
    started_programs.append(program)
    caller, stands = program.caller(), next_call_id()
    caller.invite(stands, routing_data="dest:0;width:1;via:-1")
    caller.expect(stands, 200)
    (home,) = [each for each in servers if each.messages("START")]
    lines = [endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers)]
    at = servers.index(home)
    drained, open_ = [n for n in range(3) if n != at]
    lines[at]["lifecycle"] = "napping"
    lines[drained]["lifecycle"] = "terminating"
    coordinator.publish(
        lines[at], {"cell": "no name"}, lines[drained]
    )  # returns once the next number is asked
    expected = {f"s-{at}": "draining", f"s-{drained}": "draining", f"s-{open_}": "ready"}
    wait_until(  # the log has a thread of its own
        lambda: {line["server"]: line["state"] for line in program.log_events("server_listed")} == expected,
        "the states in the log",
    )
    passed = [line for line in program.log_events("service_discovery") if line["why"].startswith("passed")]
    assert len(passed) == 1, "said once"
    before = [len(each.messages("START")) for each in servers]
    for _ in range(6):
        caller.invite(ident := next_call_id(), answer_within_ms=9000)
        caller.expect(ident, 200)
    after = [len(each.messages("START")) for each in servers]
    assert [n for n in range(3) if after[n] > before[n]] == [open_]
    home.send("FINISH", stands, rc=16)
    caller.expect(stands, "BYE")


def directory_of(*events, names="abc"):
    """A directory that knows some servers, and what it hears of its next answers, one for each connection."""
    inside = InProcessNode()
    ServerConnectionPool(inside.core, lambda _link: None)
    inside.core.servers.by_id.clear()
    inside.core.servers.by_instance.clear()
    listed = [ServerRecord(name, ("127.0.0.1", 9), 0, Availability.READY) for name in names]
    inside.core.update_servers(listed, True)
    directory, told = ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4), []
    directory.on_answer = told.append
    for event in events:
        directory.connected()
        body = json.dumps({"index": 5, "updates": [{"index": 5, "endpoints": event}]}).encode()
        directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    standings = {
        s.record.instance: s.record.availability.value for s in inside.core.servers.by_instance.values()
    }
    return directory, standings, told


def test_a_list_spoilt_on_its_way_is_asked_for_again_before_its_other_lines_are_taken():
    """Guards against a server that gets nothing more for a line that was spoilt once."""
    good = {
        "reset": False,
        "instances": [endpoint_entry("a", 9, state="terminating"), endpoint_entry("b", 9)],
    }
    odd = {"reset": False, "instances": [good["instances"][0], {**endpoint_entry("b", 9), "hostPort": "?"}]}
    directory, standings, _ = directory_of(*[odd] * (MAX_REQUESTS - 1))
    assert directory.last_index == 4
    assert set(standings.values()) == {"ready"}
    directory, standings, _ = directory_of(*[odd] * (MAX_REQUESTS - 1), good)
    assert directory.last_index == 5
    assert standings == {"a": "draining", "b": "ready", "c": "ready"}
    directory, standings, told = directory_of(*[odd] * MAX_REQUESTS)
    assert directory.last_index == 5
    assert standings == {"a": "draining", "b": "draining", "c": "ready"}
    states = {raw["instanceId"]: raw["lifecycle"] for raw in told[0]["updates"][0]["endpoints"]["instances"]}
    assert states == {"a": "terminating", "b": "terminating"}, "whoever is handed the list is told the same"


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
def test_a_whole_list_with_a_line_that_cannot_be_read_cuts_no_calls_for_it(line, left):
    """Guards against a server held to be gone, and its calls cut, as its line in a whole list is spoilt."""
    odd = {"reset": True, "instances": [endpoint_entry("a", 9), line]}
    directory, standings, _ = directory_of(*[odd] * MAX_REQUESTS)
    assert directory.last_index == 5
    assert {name: state for name, state in standings.items() if state != "gone"} == left


def test_a_drained_server_gets_nothing_and_its_address_may_be_used_again(start_deployment):
    """Guards against servers known by address: a new one had that of one that drains."""
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
