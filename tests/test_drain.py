"""Drains: callers are sent away, what was taken is served, and one command undoes it."""

from __future__ import annotations

import socket

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node.io.listener import (
    DRAIN_FIRST_REQUEST_S,
)
from stairhatch.node.platform_frontend import CALLER_DETECTION_DELAY_S, PlatformFrontend
from stairhatch.node.readiness import REJECT_AFTER_S, RELEASE_PATH_S

from .support.accepted_connections import listener_with_connections, take_statuses
from .support.call_ids import next_call_id
from .support.caller_disconnects import place_call, setup_ids
from .support.in_process_node import InProcessNode
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import platform_invite, sip_headers
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


def test_a_drain_sends_callers_away_and_can_be_undone(start_deployment):
    """In a drain health checks fail at once, what was taken is served, each connection ends once nothing is
    owed on it, and one command undoes all of it.
    """
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    idle, busy, ident, late = program.caller(), program.caller(), next_call_id(), next_call_id()
    idle.invite(next_call_id(), call_class="none")
    wait_until(lambda: idle.received)
    busy.invite(ident)
    wait_until(lambda: server.messages("START"))
    assert program.admin_command("drain-on") == "ok draining, 1 calls are still to be answered"
    assert program.health_check_status() == 503
    wait_until(lambda: idle.closed, "the end of an idle connection")
    newcomer = program.caller()
    newcomer.invite(late)
    wait_until(lambda: len(server.messages("START")) == 2, "a set-up that comes early in a drain")
    assert not busy.closed
    for each in (ident, late):
        server.send("STARTED", each, blob="d")
    busy.expect(ident, 200)
    newcomer.expect(late, 200)
    server.send("FINISH", ident, rc=16)
    wait_until(lambda: busy.messages(ident, "BYE") or newcomer.messages(ident, "BYE"), "a release in a drain")
    assert program.admin_command("drain-off").startswith("ok serving")
    assert program.health_check_status() == 200
    caller, again = program.caller(), next_call_id()
    server.script = ScriptedServer.establishes
    caller.invite(again)
    caller.expect(again, 200)


def test_a_caller_that_never_pauses_is_sent_away_as_well(start_deployment):
    """A connection that is never idle does not outlive the drain, nor the ends of its calls."""
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    caller, open_one = program.caller(), next_call_id()
    caller.invite(open_one, answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    program.admin_command("drain-on")

    def refused():
        ident = next_call_id()
        caller.invite(ident, answer_within_ms=9000)
        wait_until(
            lambda: caller.final_statuses(ident) or len(server.messages("START")) > refused.seen, "its fate"
        )
        refused.seen = len(server.messages("START"))
        return caller.messages(ident, 503)

    refused.seen = 1
    answer = wait_until(refused, "a refusal")[0]
    assert int(answer.get("come-back-ms")) > 0
    for start in server.messages("START"):
        server.send("STARTED", start["tag"], blob="d")
    caller.expect(open_one, 200)
    for start in server.messages("START"):
        server.send("FINISH", start["tag"], rc=16)
        caller.respond(caller.expect(start["tag"], "BYE"), 200)
    wait_until(lambda: caller.closed, "the end of its connection")


@pytest.mark.parametrize("udp", [True, False], ids=["udp", "tcp"])
def test_the_appliance_drains_by_the_same_rules(start_deployment, udp):
    """The appliance neither refuses callers at once in a drain nor serves them for good."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    program.admin_command("drain-on")

    def ask(number, method="INVITE"):
        caller = SipCaller(program.address, udp=udp)
        call, transport = f"drain-{method}-{number}", "UDP" if udp else "TCP"
        headers = sip_headers(method, "1", f"z9hG4bK{call}", call, caller.host, transport)
        caller.send(method, "sip:71@net", headers)
        return wait_until(lambda: [m for m in caller.messages(call, "") if m.status >= 200])[0]

    assert ask(0, "OPTIONS").status == 503
    answers = []
    wait_until(lambda: answers.append(ask(len(answers))) or answers[-1].status == 503, "a refusal")
    assert answers[0].status == 200
    assert answers[-1].get("retry-after") == "1"
    program.admin_command("drain-off")
    assert ask(0, "OPTIONS").status == 200
    assert ask(-1).status == 200


def frontend_with_established_call(node):
    """The platform's frontend on a call manager whose clock is set by hand, with an established call on one
    of two connections; both have carried a call.
    """
    frontend = PlatformFrontend(node.core)
    one, two = frontend.connect(), frontend.connect()
    for connection in (one, two):
        connection.receive_data(platform_invite(ident := next_call_id()))
        node.establish()
        assert take_statuses(connection, ident) == [200]
    return frontend, one, two, ident


def test_a_drain_keeps_the_connections_of_calls_until_their_ends_are_told():
    """The front sends nobody to a softswitch that drains: were the connections of its calls closed, the ends
    of calls that outlast the drain's first seconds would reach no caller.
    """
    node = InProcessNode()
    _, one, two, ident = frontend_with_established_call(node)
    node.core.readiness.drain(True)
    node.run(60.0)
    for connection in (one, two):
        assert not connection.is_idle(), "its call goes on"
        connection.receive_data(platform_invite(new := next_call_id()))
        assert take_statuses(connection, new) == [503]
    node.core.responses.call_released(node.written[-1].server, ident, 16, "", node.empty_report())
    assert take_statuses(two, ident) == ["BYE"]
    assert not two.is_idle(), "the caller has not acknowledged it"
    two.receive_data(sip.response(200, [("call-id", ident), ("cseq", "1 BYE"), ("via", "SIP/2.0/TCP peer")]))
    assert two.is_idle(), "nothing is left on it"
    assert not one.is_idle()


def test_a_call_that_its_caller_ends_in_a_drain_leaves_its_connection_idle():
    """A connection is closed as soon as nothing is left on it, whoever ended the calls."""
    node = InProcessNode()
    _, _, two, ident = frontend_with_established_call(node)
    node.core.readiness.drain(True)
    two.receive_data(sip.request("BYE", "sip:x@net", [("call-id", ident), ("cseq", "2 BYE")], b""))
    assert take_statuses(two, ident) == [200]
    assert two.is_idle()


def test_a_drain_keeps_one_connection_for_calls_without_one_and_not_for_long():
    """Releases reach somebody though the connections of their calls have gone, and no connection without a
    call is still held 4 s into the drain.
    """
    node = InProcessNode()
    frontend, one, two, _ = frontend_with_established_call(node)
    for each in (one, two):
        each.connection_lost()
    others = [frontend.connect(), frontend.connect()]
    node.run(2 * CALLER_DETECTION_DELAY_S)
    node.core.readiness.drain(True)
    assert all(each.is_idle() for each in others), "each may go while the other stays"
    others[1].close_when_idle()
    assert not others[0].is_idle(), "the last one is kept for the established calls"
    node.run(RELEASE_PATH_S - 0.1)
    assert not others[0].is_idle()
    node.run(0.2)
    assert others[0].is_idle()
    assert RELEASE_PATH_S < 3.8


def test_releases_due_in_a_drain_wait_for_a_caller_and_not_for_a_health_check():
    """A frontend whose health check is met with a release takes that for a failure, and no caller hears of
    the release.
    """
    node = InProcessNode()
    frontend, one, two, ident = frontend_with_established_call(node)
    node.core.readiness.drain(True)
    for each in (one, two):
        each.close_when_idle()
        each.connection_lost()
    node.core.responses.call_released(node.core.servers.by_id[1], ident, 16, "", node.empty_report())
    node.run(120.0)
    tests = frontend.connect()
    tests.receive_data(sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b""))
    assert take_statuses(tests, "p") == [503]
    node.run(2 * CALLER_DETECTION_DELAY_S)
    assert take_statuses(tests, ident) == []
    silent = frontend.connect()
    node.run(2 * CALLER_DETECTION_DELAY_S)
    assert take_statuses(silent, ident) == ["BYE"]


def test_a_drain_closes_no_connection_with_unread_bytes():
    """A drain does not reset a connection under a request which has come but was not read yet."""
    node = InProcessNode()
    ours, theirs = socket.socketpair()
    listener, (one,) = listener_with_connections(node, 4, ours)
    node.core.readiness.drain(True)
    listener.close_idle()
    assert not one.protocol.closing, "it is new and has sent no request yet"
    node.run(DRAIN_FIRST_REQUEST_S + 0.1)
    theirs.send(platform_invite(ident := next_call_id()))
    listener.close_idle()
    assert not one.protocol.closing
    one.protocol.receive_data(ours.recv(4096))
    assert node.core.calls.unanswered == 1
    node.run(0.1)
    listener.close_idle()
    assert not one.protocol.closing, "an answer is owed"
    node.establish()
    assert take_statuses(one.protocol, ident) == [200]
    node.core.release(node.core.calls.by_ident[ident], 16)
    listener.close_idle()
    assert one.protocol.closing
    assert theirs.recv(1) == b"", "it ends cleanly"


def test_a_connection_that_never_pauses_is_closed_once_its_setups_are_rejected():
    """A caller that sends again and again is sent away, and not reset with a request unread when the process
    ends.
    """
    node = InProcessNode()
    ours, theirs = socket.socketpair()
    listener, (one,) = listener_with_connections(node, 4, ours)
    node.core.readiness.drain(True)

    def request_and_look():
        headers = [("call-id", next_call_id()), ("cseq", "1 BYE")]
        one.protocol.receive_data(sip.request("BYE", "sip:x@net", headers, b""))
        one.received_at = node.now
        assert b" 200 " in one.protocol.data_to_send()
        listener.close_idle()
        return one.protocol.closing

    assert not request_and_look(), "it has only just spoken"
    node.run(REJECT_AFTER_S + 0.1)
    assert request_and_look()
    assert theirs.recv(1) == b"", "it ends cleanly"


def test_new_setups_are_rejected_only_some_time_into_a_drain():
    """Callers that come before the frontend has seen the failed health check are served."""
    node = InProcessNode()
    connection = PlatformFrontend(node.core).connect()
    node.core.readiness.drain(True)
    node.run(REJECT_AFTER_S - 0.1)
    connection.receive_data(platform_invite(early := next_call_id()))
    node.run(0.2)
    connection.receive_data(platform_invite(late := next_call_id()))
    assert take_statuses(connection, late) == [503]
    assert early in node.core.calls.by_ident
    node.core.readiness.drain(False)
    connection.receive_data(platform_invite(again := next_call_id()))
    assert again in node.core.calls.by_ident


def test_a_shutdown_keeps_no_connection_for_calls_that_outlive_it():
    """A restart does not wait for calls whose releases the next process will get."""
    node = InProcessNode()
    _, one, two, _ = frontend_with_established_call(node)
    node.core.readiness.shutting_down = True
    node.core.readiness.drain(True)
    two.close_when_idle()
    assert not one.is_idle(), "ends of calls may come until it leaves"
    node.core.complete_shutdown()
    assert one.is_idle()


def test_a_caller_that_retries_too_soon_in_a_drain_is_rejected_each_time(start_unusual):
    """Callers that do not stay away as long as told hold up no drain: each gets one rejection with the same
    advice, nothing goes to a server, and once the drain is undone they are served.
    """
    program, _, (server,) = start_unusual(None)
    caller = program.caller()
    assert program.admin_command("drain-on").startswith("ok")
    kept, refused = next_call_id(), []
    caller.invite(kept, "ebb", 15_000)
    wait_until(lambda: caller.final_statuses(kept))
    while len(refused) < 20:  # without a pause; the first ones may come while calls are still taken
        ident = next_call_id()
        caller = program.caller() if caller.closed else caller
        caller.invite(ident, "ebb", 15_000)
        wait_until(lambda ident=ident, caller=caller: caller.final_statuses(ident) or caller.closed)
        if caller.final_statuses(ident) == [503]:
            refused.append((caller, ident))
    for told, ident in refused:
        (answer,) = told.messages(ident, 503)
        assert int(answer.get("come-back-ms")) > 0
        assert ident not in setup_ids(server)
    assert program.admin_command("drain-off").startswith("ok")
    caller, ident = place_call(program, "platform")
    caller.expect(ident, 200)
    assert program.stop() == 0


def test_a_shutdown_answers_pending_calls_before_the_process_is_killed(start_deployment):
    """A planned restart leaves no caller with a deadline of 9 s unanswered: SIGKILL may come 3.7 s after
    SIGTERM.
    """
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    assert program.stop() == 0
    wait_until(lambda: caller.closed)
    assert caller.final_statuses(ident) == [503]
    assert program.log_events("drain_deadline_reached")


def test_sigterm_serves_open_calls_and_those_that_still_come(start_deployment):
    """No call is lost at a planned restart."""
    program, _, (server,) = start_deployment(SILENT)
    caller, early, late = program.caller(), next_call_id(), next_call_id()
    caller.invite(early)
    wait_until(lambda: server.messages("START"))
    program.process.terminate()
    wait_until(lambda: program.log_events("stopping"))
    newcomer = program.caller()
    newcomer.invite(late)
    wait_until(lambda: len(server.messages("START")) == 2)
    for ident in (early, late):
        server.send("STARTED", ident, blob="d")
    assert program.process.wait(20) == 0
    assert caller.final_statuses(early) == [200]
    assert newcomer.final_statuses(late) == [200]
    counted = program.log_events("counters")[-1]
    assert counted["calls_offered"] == "2"
    assert counted["calls_established"] == "2"
