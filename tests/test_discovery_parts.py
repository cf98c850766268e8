"""Answers of the coordinator with a part that is absent, unknown or of another type: it costs only itself."""

from __future__ import annotations

import json

import pytest

from stairhatch.node.calls import ServerRecord
from stairhatch.node.endpoint_list import ServiceDiscoveryError, apply_answer, parse_answer
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import MAX_REQUESTS, ServiceDiscoveryClient
from stairhatch.overload.events import Availability

from .support.in_process_node import InProcessNode
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer

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


def with_line(**changes):
    """Return an answer in which the drain of `a` follows a line of `b` with these changes."""
    line = {**endpoint_entry("b", 9), **changes}
    instances = [line, *DRAIN_OF_A["instances"]]
    return {"index": 5, "updates": [{"index": 5, "endpoints": {**DRAIN_OF_A, "instances": instances}}]}


@pytest.mark.parametrize("raw", [{"index": LAST_INDEX}, {"index": LAST_INDEX, "updates": None}])
def test_answer_without_news_may_lack_the_list_of_events(raw):
    """Guards against a coordinator that is polled again and again since it writes no empty list."""
    discovery = Discovery()
    discovery.answer(raw)
    assert not discovery.client.closing
    assert discovery.node.call_manager.counters.counts["discovery_answers"] == 1
    assert discovery.states() == {"a": "ready", "b": "ready", "c": "ready"}


@pytest.mark.parametrize(
    "fault",
    [
        5, None, "event", [], {"index": 5, "endpoints": []}, {"index": 5, "endpoints": "x"},
        {"index": 5, "endpoints": {"generation": 5, "reset": True}},
        {"index": 5, "endpoints": {"reset": True, "instances": None}},
        {"index": 5, "endpoints": {"reset": True, "instances": {"a": 1}}},
    ],
    ids=repr,
)  # fmt: skip
@pytest.mark.parametrize("first", [True, False], ids=["before the drain", "behind it"])
def test_an_event_that_cannot_be_used_does_not_hide_a_drain(fault, first):
    """Guards against an answer that is rejected whole, for ever, for one event of an unknown form: the drain
    of another server in the same answer, and every later one, was never learnt.
    """
    discovery = Discovery()
    drain = {"index": 6 if first else 5, "endpoints": DRAIN_OF_A}
    fault = {**fault, "index": 5 if first else 6} if isinstance(fault, dict) else fault
    raw = {"index": 6, "updates": [fault, drain] if first else [drain, fault]}
    discovery.answer(raw, times=MAX_REQUESTS)
    assert discovery.states() == {"a": "draining", "b": "ready", "c": "ready"}
    assert discovery.client.last_index == 6
    assert len([why for why in discovery.reasons() if why.startswith("unreadable")]) == 1


@pytest.mark.parametrize("index", [None, "five", [], {}, 1e999], ids=repr)
def test_an_unreadable_index_does_not_hide_a_drain(index):
    """Guards against an answer that is rejected whole for its index, or that of an event."""
    for raw in (
        {"index": index, "updates": [{"index": 5, "endpoints": DRAIN_OF_A}]},
        {"index": 5, "updates": [{"index": index, "endpoints": DRAIN_OF_A}]},
        {"updates": [{"endpoints": DRAIN_OF_A}]},
    ):
        discovery = Discovery()
        discovery.answer(raw, times=MAX_REQUESTS)
        assert discovery.states() == {"a": "draining", "b": "ready", "c": "ready"}
        assert discovery.client.last_index == 5
        discovery.answer({"index": 6, "updates": [{"index": 6, "endpoints": {"instances": []}}]})
        assert discovery.client.last_index == 6


@pytest.mark.parametrize("value", ["a while ago", "NaN", [], {}, "1e999"], ids=repr)
def test_an_unreadable_start_costs_the_start_alone(value):
    """Guards against a server that gets no new calls, and a drain that is learnt late, for a start that may
    be absent. A known server keeps its start; a new one counts as cold, since it may be.
    """
    discovery = Discovery()
    discovery.answer(with_line(startedAtMs=value))
    assert discovery.states() == {"a": "draining", "b": "ready", "c": "ready"}
    assert discovery.servers.by_instance["b"].record.started_at == KNOWN_START
    assert discovery.node.call_manager.counters.counts["discovery_parts_unused"] == 1
    assert [why for why in discovery.reasons() if "b: startedAtMs" in why]
    discovery = Discovery()
    discovery.answer(with_line(startedAtMs=value, instanceId="new"))
    assert discovery.states()["new"] == "ready"
    now = discovery.node.call_manager.clock()
    assert now - 0.001 < discovery.servers.by_instance["new"].record.started_at <= now


@pytest.mark.parametrize("part_of_ms", range(10))
def test_a_server_with_an_unreadable_start_is_not_taken_for_restarted(part_of_ms):
    """Guards against the end of calls at a server, one of whose later lines cannot be read: its start was
    rounded up to a millisecond in the line that replaces it, and so was later than the one known.
    """
    discovery = Discovery()
    discovery.node.now += part_of_ms / 10_000
    discovery.answer(with_line(startedAtMs="x", instanceId="new"))
    started_at = discovery.servers.by_instance["new"].record.started_at
    unreadable = {**endpoint_entry("new", 9), "hostPort": "?"}
    raw = {"index": 6, "updates": [{"index": 6, "endpoints": {"instances": [unreadable]}}]}
    discovery.answer(raw, times=MAX_REQUESTS)
    assert discovery.states()["new"] == "draining"
    assert discovery.servers.by_instance["new"].record.started_at == started_at


def test_an_unknown_state_costs_its_server_alone():
    """Guards against a drain that is learnt after two more polls, since another server has a new state."""
    discovery = Discovery()
    discovery.answer(with_line(lifecycle="warming"))
    assert discovery.states() == {"a": "draining", "b": "draining", "c": "ready"}
    assert [why for why in discovery.reasons() if "b: unknown lifecycle 'warming'" in why]


def test_absent_and_unknown_parts_of_a_line_are_passed_over():
    """Guards against a line that is not read for a key that the program does not need."""
    discovery = Discovery()
    line = {key: endpoint_entry("b", 9)[key] for key in ("instanceId", "hostPort", "cell", "lifecycle")}
    raw = with_line()
    raw["updates"][0]["endpoints"] = {"instances": [{**line, "more": {"deep": 1}}, *DRAIN_OF_A["instances"]]}
    raw["more"] = raw["updates"][0]["more"] = [1]
    discovery.answer(raw)
    assert discovery.states() == {"a": "draining", "b": "ready", "c": "ready"}


@pytest.mark.parametrize("mark", ["false", "no", "", [], {"x": 1}, 0, None], ids=repr)
def test_a_mark_of_another_type_does_not_make_a_list_complete(mark):
    """Guards against the end of calls at all servers that a change does not list."""
    discovery = Discovery()
    endpoints = {**DRAIN_OF_A, "reset": mark}
    discovery.answer({"index": 5, "updates": [{"index": 5, "endpoints": endpoints}]})
    assert discovery.states() == {"a": "draining", "b": "ready", "c": "ready"}


@pytest.mark.parametrize(
    "raw",
    [
        {},
        {"error": "busy"},
        {"updates": None},
        {"index": "x"},
        {"index": None, "updates": []},
        {"updates": [5]},
    ],
    ids=repr,
)
def test_an_object_that_is_no_answer_does_not_confirm_the_list(raw):
    """Guards against an error of the coordinator that counts as news that nothing has changed: the list is
    then taken as confirmed, and a server as not restarted.
    """
    discovery = Discovery()
    confirmed_at = discovery.servers.list_confirmed_at
    discovery.answer(raw, times=2 * MAX_REQUESTS)
    assert discovery.servers.list_confirmed_at == confirmed_at
    assert "discovery_answers" not in discovery.node.call_manager.counters.counts


@pytest.mark.parametrize("raw", [[], 3, {"index": 5, "updates": 3}, {"index": 5, "updates": {"x": 1}}])
def test_an_answer_without_events_of_the_right_form_is_polled_again(raw):
    """Guards against events that are passed over although another answer may bring them."""
    discovery = Discovery()
    discovery.answer(raw, times=MAX_REQUESTS + 1)
    assert discovery.client.last_index == LAST_INDEX
    assert discovery.states() == {"a": "ready", "b": "ready", "c": "ready"}


@pytest.mark.parametrize("known", [{"index": 1}, {"index": 1, "updates": None}, {"updates": []}])
def test_a_configured_list_must_have_its_index_and_events(known):
    """Guards against a truncated list in the configuration that is taken for one without events."""
    with pytest.raises(ServiceDiscoveryError):
        parse_answer(known, 0)


@pytest.mark.parametrize("key", ["instanceId", "hostPort", "cell", "lifecycle"])
def test_a_configured_list_must_have_the_keys_of_its_lines(key):
    """Guards against a truncated line in the configuration that is taken for a server in an unknown state."""
    line = endpoint_entry("b", 9)
    del line[key]
    with pytest.raises(ServiceDiscoveryError):
        parse_answer({"index": 1, "updates": [{"index": 1, "endpoints": {"instances": [line]}}]}, 0)


def test_program_starts_and_reloads_with_an_unknown_state_in_its_configuration(tmp_path, started_programs):
    """Guards against a refused start, and a file that is rejected whole, for one line of its list."""
    servers = [ScriptedServer(), ScriptedServer()]
    odd = {**endpoint_entry("s-0", servers[0].port, 0, "warming"), "startedAtMs": "soon"}
    coordinator = ScriptedCoordinator(odd, endpoint_entry("s-1", servers[1].port, 1))
    program = Program.on_platform(tmp_path, coordinator).wait_until_serving()
    started_programs.append(program)
    assert program.reload(program.path.read_text())["result"] == "applied"
    reasons = [line["why"] for line in program.log_events("service_discovery")]
    assert [why for why in reasons if why.startswith("parts")], "parts not used: s-0: ..."
    assert program.process.poll() is None


def test_events_of_an_answer_are_applied_with_their_unused_parts_logged_once():
    """Guards against a line in the log for each part of a long list."""
    discovery = Discovery()
    lines = [endpoint_entry(f"s-{number}", 9, state="warming") for number in range(300)]
    raw = {"index": 5, "updates": [{"index": 5, "endpoints": {"instances": lines}}]}
    assert apply_answer(discovery.node.call_manager, raw, LAST_INDEX) == 5
    (why,) = discovery.reasons()
    assert len(why) < 400
