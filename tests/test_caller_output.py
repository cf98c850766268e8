"""Tests that much output at once cuts off no caller that reads, but that one which does not read is cut."""

from __future__ import annotations

from collections import Counter

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.caller_output import MAX_UNSENT_BYTES
from stairhatch.node.platform_connection import PlatformConnection
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_responses import CallRelease

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

RELEASES = 1600  # those of 30 s at 53 calls a second; several times what may wait for a caller that reads
PING = sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b"")


class NodeWithCallers:
    """A node on a manual clock with the platform's frontend, and the connections that it has aborted."""

    def __init__(self) -> None:
        self.node = InProcessNode()
        self.frontend = PlatformFrontend(self.node.call_manager)
        self.aborted: list[PlatformConnection] = []

    def connect(self) -> PlatformConnection:
        connection = self.frontend.connect()
        connection.abort = lambda: self.aborted.append(connection)
        return connection

    def release_unknown_calls(self, count: int) -> list[str]:
        """Let the roster server release calls of an earlier process; return their ids."""
        server = self.node.call_manager.servers.by_id[1]
        idents = [next_call_id() for _ in range(count)]
        for ident in idents:
            self.node.call_manager.responses.call_released(server, ident, CallRelease(16))
        return idents


def messages_in(data: bytes) -> list[sip.SipMessage]:
    """Parse whole messages."""
    parser, found = sip_parser.StreamParser(), []
    parser.feed(data)
    while (message := parser.next_message()) is not None:
        found.append(message)
    return found


def read_all(connection: PlatformConnection) -> list[sip.SipMessage]:
    """Fetch until nothing is left, as the driver does while the socket takes everything."""
    found = []
    while data := connection.data_to_send():
        found += messages_in(data)
    return found


def test_setup_is_answered_as_the_releases_of_an_earlier_process_arrive(start_deployment):
    """Guards against a caller that is cut off, with its set-ups, for releases that nobody has tried to write:
    after a restart the first caller gets those of all calls that ended lately.
    """
    program, _, (server,) = start_deployment(None)
    wait_until(lambda: server.connections)
    idents = [next_call_id() for _ in range(RELEASES)]
    for ident in idents:
        server.send("FINISH", ident, rc=16)
    wait_until(lambda: program.counters()["releases_of_unknown_calls"] == RELEASES)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    caller.expect(ident, 200)
    for each in idents:
        caller.expect(each, "BYE")
    counters = program.counters()
    assert counters["connections_slow_closed"] == 0
    assert counters["connections_accepted"] == 1, "the caller has kept its connection"


def test_releases_are_rendered_as_the_caller_reads():
    """Guards against releases of any number that are rendered at once, beside the answers of other calls."""
    callers = NodeWithCallers()
    idents = callers.release_unknown_calls(RELEASES)
    connection = callers.connect()
    connection.receive_data(PING)
    connection.receive_data(platform_invite(next_call_id()))
    first = messages_in(connection.data_to_send())
    assert first[0].status == 200, "responses go first"
    assert len(first) < RELEASES / 10
    released = Counter(
        each.get("call-id") for each in [*first, *read_all(connection)] if each.method == "BYE"
    )
    assert released == Counter(idents)
    assert not callers.aborted


def test_caller_that_reads_slowly_gets_every_release():
    """Guards against a caller that is taken for one that does not read while it reads, a chunk at a time, and
    against releases that are queued again behind themselves.
    """
    callers = NodeWithCallers()
    idents = callers.release_unknown_calls(RELEASES)
    connection = callers.connect()
    callers.node.run(0.2)
    released: Counter[str] = Counter()
    while data := connection.data_to_send():
        connection.writing = True  # the socket has no room for more
        messages = messages_in(data)
        released.update(each.get("call-id") for each in messages)
        for each in messages:
            ok = sip.response(200, [("call-id", each.get("call-id")), ("cseq", each.get("cseq"))], b"")
            connection.receive_data(ok)
        callers.node.run(0.4)
    assert released == Counter(idents)
    assert not callers.aborted


def test_acknowledged_release_that_waits_is_not_sent():
    """A release that a caller has acknowledged elsewhere, or asked for itself, needs no BYE any more."""
    callers = NodeWithCallers()
    ident, other = callers.release_unknown_calls(2)
    connection = callers.connect()
    connection.receive_data(platform_invite(next_call_id()))
    connection.receive_data(sip.request("BYE", "sip:x@net", [("call-id", ident), ("cseq", "2 BYE")], b""))
    assert [each.get("call-id") for each in read_all(connection) if each.method == "BYE"] == [other]


def test_caller_that_does_not_read_is_cut_off_and_its_releases_go_to_another():
    """Guards against a caller that keeps its connection, and what waits there, though it reads nothing."""
    callers = NodeWithCallers()
    events = []
    callers.node.log = lambda event, **fields: events.append((event, fields))
    idents = callers.release_unknown_calls(RELEASES)
    not_reading = callers.connect()
    not_reading.writing = True  # the driver has filled the socket
    callers.node.run(3.0)
    assert callers.aborted == [not_reading]
    ((_, fields),) = [each for each in events if each[0] == "caller_connection_slow"]
    assert fields["why"] == "nothing written"
    not_reading.connection_lost()
    reader = callers.connect()
    callers.node.run(0.2)
    assert {each.get("call-id") for each in read_all(reader)} == set(idents)


def test_responses_that_are_not_read_are_bounded():
    """Guards against memory without limit: a caller that asks on and reads no answer is cut off at once."""
    callers = NodeWithCallers()
    connection = callers.connect()
    connection.receive_data(PING)
    answer_bytes = len(connection.data_to_send())
    connection.writing = True
    answers = MAX_UNSENT_BYTES // answer_bytes
    for _ in range(answers):
        connection.receive_data(PING)
    assert not callers.aborted
    connection.receive_data(PING)
    assert callers.aborted == [connection]


def test_responses_of_one_turn_cut_off_nobody_before_they_are_written():
    """Guards against a caller that is cut off for answers that the driver has had no chance to write."""
    callers = NodeWithCallers()
    connection = callers.connect()
    count = 2 * MAX_UNSENT_BYTES // len(PING)
    for _ in range(count):
        connection.receive_data(PING)
    assert not callers.aborted
    assert sum(each.status == 200 for each in read_all(connection)) == count


@pytest.mark.parametrize("checks_before_driver", [1, 2])
def test_stall_of_the_process_cuts_off_nobody(checks_before_driver):
    """After a stall the timers run before the driver, once. Only a second check without a fetch proves that
    the caller does not read.
    """
    callers = NodeWithCallers()
    callers.release_unknown_calls(RELEASES)
    connection = callers.connect()
    callers.node.run(0.2)
    for _ in range(checks_before_driver):
        callers.node.now += 5.0
        callers.node.call_manager.timers.run_due()
    assert bool(callers.aborted) is (checks_before_driver == 2)
    assert connection.data_to_send()
