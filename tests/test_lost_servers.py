"""Tests of roster servers that vanish or hang: their calls are ended although no release arrives."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from stairhatch.fleet.endpoint_list_runtime import EndpointListRelay
from stairhatch.fleet.messages import EndpointUpdate
from stairhatch.node.calls import ServerRecord
from stairhatch.node.failure_detector import FailureDetector, ServerVerdict
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.events import Availability

from .support.accepted_connections import take_statuses
from .support.call_ids import next_call_id
from .support.deployment import Deployments, establish_call
from .support.failing_server import FailingServer
from .support.in_process_node import InProcessNode
from .support.server_lines import finish_line, started_line
from .support.server_on_clock import LOAD_LINE, ServerOnClock
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

RELEASE_LIMIT_S = 8.0  # from the unreported end of a call to its release (the platform's protocol page)
LISTED_LATE_S = 5.0  # from a restart until the coordinator lists it


@pytest.mark.parametrize("failure", ["vanish", "hang"])
def test_calls_are_released_when_their_server_falls_silent_while_discovery_is_down(
    start_deployment: Deployments, failure: str
) -> None:
    """Guards the failure detection of `ServerConnectionPool` (incident of 2 December 2026): a server with
    established calls falls silent, and service discovery is down and cannot list the server as gone.
    """
    server = FailingServer()
    program, coordinator, _ = start_deployment(servers=[server], wait_until_serving=True)
    callers = [establish_call(program) for _ in range(2)]
    coordinator.close()
    getattr(server, failure)()
    wait_until(lambda: all(released(caller) for caller in callers), "the releases of both calls")


def released(caller) -> bool:
    """Return whether a caller has received the release of its call."""
    return any(message.method == "BYE" for _, message in caller.received)


def test_a_call_at_a_silent_server_is_released_within_the_limit() -> None:
    """A call is released within 8 s of its end. The server may have vanished at any time after its last
    message, so the limit counts from that message.
    """
    server = ServerOnClock()
    ident = server.establish_call()
    server.node.run(RELEASE_LIMIT_S - 0.5)
    assert take_statuses(server.caller, ident) == ["BYE"]


def test_calls_continue_while_their_server_sends_load_reports() -> None:
    """During a long call the load reports alone confirm that the server is alive."""
    server = ServerOnClock()
    ident = server.establish_call()
    for _ in range(150):
        server.node.run(0.4)
        server.connection.receive_data(LOAD_LINE)
    assert server.has_call(ident)
    assert len(server.dialled) == 1, "no probe is opened"


def test_calls_continue_at_a_quiet_server_that_reports_on_new_connections() -> None:
    """A server with a constant load sends no reports on open connections, only first ones on new ones."""
    server = ServerOnClock(list_answers=True)
    ident = server.establish_call()
    for _ in range(300):
        server.run(0.1)
        if 1 in server.pool.standby:
            server.connect(server.pool.standby[1])
    assert server.has_call(ident)


@pytest.mark.parametrize(
    ("lines_in_use", "continues"),
    [(0, False), (1, False), (10, False), (40, True), (30, True), (None, True)],
    ids=["none", "fewer than calls", "far fewer", "as many", "somewhat fewer", "not reported"],
)
def test_a_list_does_not_confirm_a_process_whose_lines_in_use_refute_it(
    lines_in_use: int | None, continues: bool
) -> None:
    """Guards against callers that are told when a silent end is listed, after 6.5 to 14 s: a new process is
    reached at the address 1.5 s after the last sign of life, and the list names no restart yet.
    """
    server = ServerOnClock(list_answers=True)
    idents = [server.establish_call() for _ in range(2)]
    report = LOAD_LINE
    if lines_in_use is None:
        report = b'{"verb":"LOAD","tag":"","opts":{"load":"queue:1"}}\n'
    elif lines_in_use != 40:
        report = LOAD_LINE.replace(b"free:50", b"free:%d" % (90 - lines_in_use))
    silent_at = server.node.now
    server.run(1.5)
    server.pool.dial_standby(server.connection)
    server.pool.standby[1].connection_made()
    while server.node.now < silent_at + RELEASE_LIMIT_S - 0.5:
        server.pool.active[1].receive_data(report)
        server.run(0.5)
    assert [server.has_call(ident) for ident in idents] == [continues] * 2


@pytest.mark.parametrize(
    ("cut_s", "list_answers", "continues"),
    [(2.1, True, True), (2.1, False, False), (5.0, True, False), (6.0, True, False), (6.0, False, False)],
)
def test_calls_outlive_a_cut_only_if_a_restart_would_be_listed_in_time(
    cut_s: float, list_answers: bool, continues: bool
) -> None:
    """Guards against callers told 9 s late of a server that was lost for 5 s and returned cold (review/2).

    After a cut the old connections stay silent, and the process that answers on a new one may be another
    process at the same address. An answer of the coordinator confirms it only after a short cut: a restart
    during a longer one may be listed too late. Without a confirmation the calls are ended in time.
    """
    server = ServerOnClock(list_answers)
    ident = server.establish_call()
    server.run(cut_s)
    server.connect(server.pool.standby[1])
    successor = server.pool.active[1]
    while server.node.now < server.started_at + RELEASE_LIMIT_S - 0.2:
        server.run(0.2)
        successor.receive_data(LOAD_LINE)
    assert server.has_call(ident) is continues
    later_ident = server.establish_call()
    for _ in range(50):
        server.run(0.4)
        successor.receive_data(LOAD_LINE)
    assert server.has_call(later_ident), "the process that answers holds this call"


@pytest.mark.parametrize("cut_s", [2.1, 5.0])
def test_callers_are_told_in_time_of_a_server_that_returns_cold(cut_s: float) -> None:
    """Guards against a confirmation by the coordinator's list that costs callers the limit: the coordinator
    answers all the time, and lists the restart 5 s after it.
    """
    server = ServerOnClock(list_answers=True)
    ident = server.establish_call()
    server.run(cut_s)
    restarted_at = server.node.now
    server.connect(server.pool.standby[1])
    successor = server.pool.active[1]
    while server.node.now < server.started_at + RELEASE_LIMIT_S - 0.2:
        server.run(0.2)
        successor.receive_data(LOAD_LINE)
        if server.node.now >= restarted_at + LISTED_LATE_S:
            restarted = ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY, started_at=restarted_at)
            server.node.call_manager.update_servers([restarted], True)
    assert "BYE" in take_statuses(server.caller, ident)


def test_calls_outlive_a_long_cut_after_which_an_old_connection_speaks() -> None:
    """A server that was only cut off still has its calls, and shows it on the connection from before."""
    server = ServerOnClock(list_answers=True)
    ident = server.establish_call()
    server.run(5.0)
    server.connect(server.pool.standby[1])
    server.run(0.3)
    server.connection.receive_data(LOAD_LINE)
    successor = server.pool.active[1]
    for _ in range(50):
        server.run(0.4)
        successor.receive_data(LOAD_LINE)
    assert server.has_call(ident)


@pytest.mark.parametrize(
    ("released", "cause", "continues"),
    [("of before the cut", 16, True), ("of before the cut", 41, False), ("of after the cut", 16, False)],
)
def test_calls_outlive_a_long_cut_if_the_server_releases_another_of_them(
    released: str, cause: int, continues: bool
) -> None:
    """Guards against calls that are ended though they stand: a server that reports the end of a call from
    before the cut has not lost the others. That of a later call, or of one that was cut, proves nothing.
    """
    server = ServerOnClock(list_answers=True)
    ident, earlier = server.establish_call(), server.establish_call()
    server.run(5.0)
    server.connect(server.pool.standby[1])
    successor = server.pool.active[1]
    later = server.establish_call()
    call_id = earlier if released == "of before the cut" else later
    line = finish_line(call_id, cause)
    successor.receive_data(line)
    for _ in range(50):
        server.run(0.4)
        successor.receive_data(LOAD_LINE)
    assert server.has_call(ident) is continues


def test_the_list_confirms_a_process_over_several_broken_connections() -> None:
    """What was received on a connection that has ended counts once the coordinator confirms it, so that the
    next one is judged by it; a connection that came up long after everything confirmed is not trusted.
    """
    detector = FailureDetector()
    detector.message_received("first", 0.0, 0.0, is_load_report=True)
    detector.trust_successors()
    detector.connection_lost("first")
    detector.message_received("second", 0.1, 2.0, is_load_report=True)
    detector.connection_lost("second")
    detector.message_received("third", 4.5, 4.6, is_load_report=True)
    assert not detector.confirm_by_list(
        4.4, held_calls=1
    ), "a restart before the second is not listed for certain"
    assert detector.confirm_by_list(4.6, held_calls=1)
    assert detector.confirmed_at == 2.0
    assert detector.lost_before() == 4.6
    assert detector.confirm_by_list(6.6, held_calls=1)
    assert detector.confirmed_at == 4.6
    detector.connection_lost("third")
    detector.message_received("fourth", 7.5, 7.6, is_load_report=True)
    assert not detector.confirm_by_list(11.0, held_calls=1)
    detector.check(11.8)
    assert detector.check(11.9) is ServerVerdict.REPLACED


def test_calls_are_ended_if_another_process_replaces_their_server_at_its_address() -> None:
    """A process that dies and is replaced before the next dial refuses no connection. The coordinator, which
    would list the restart, does not answer.
    """
    server = ServerOnClock()
    ident = server.establish_call()
    server.run(0.1)
    server.connection.connection_lost()
    server.connect(server.connection)  # the driver redials
    for _ in range(int(RELEASE_LIMIT_S / 0.4)):
        server.run(0.4)
        server.connection.receive_data(LOAD_LINE)
    assert set(take_statuses(server.caller, ident)) == {"BYE"}, "repeated until it is acknowledged"


def test_an_answer_from_a_gone_server_establishes_no_call() -> None:
    """A set-up may be answered after its server was listed as gone, by a process that has taken over the
    address. Nothing would ever end such a call (found by a dense trial, seed 6).
    """
    server = ServerOnClock()
    server.caller.receive_data(platform_invite(ident := next_call_id(), answer_within_ms="4000"))
    server.run(0.05)
    assert ident.encode() in server.connection.data_to_send()
    gone = ServerRecord("s", ("127.0.0.1", 9), 0, Availability.GONE)
    server.node.call_manager.update_servers([gone], False)
    server.connection.receive_data(started_line(ident))
    assert not server.has_call(ident)
    assert b'"FINISH","tag":"%s"' % ident.encode() in server.connection.data_to_send()
    server.run(4.0)
    (status,) = take_statuses(server.caller, ident)
    assert status >= 300


def test_the_list_does_not_confirm_a_server_that_shares_its_address() -> None:
    """A vanished machine may be replaced at its address long before the list marks it as gone."""
    server = ServerOnClock(list_answers=True)
    ident = server.establish_call()
    server.run(5.0)
    successor = ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)
    server.node.call_manager.update_servers([successor], False)
    server.connect(server.pool.standby[1])
    for _ in range(int((RELEASE_LIMIT_S - 5.0) / 0.4)):
        server.run(0.4)
        server.pool.active[1].receive_data(LOAD_LINE)
    assert set(take_statuses(server.caller, ident)) == {"BYE"}


def test_a_release_is_accepted_on_the_connection_of_any_instance_id_of_its_process() -> None:
    """A server that was replaced at its address is listed under two instance ids for a while, each with a
    connection. It releases a call on either one.
    """
    server = ServerOnClock()
    ident = server.establish_call()
    successor = ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)
    server.node.call_manager.update_servers([successor], False)
    server.connect(server.dialled[1])
    server.dialled[1].receive_data(finish_line(ident))
    assert take_statuses(server.caller, ident) == ["BYE"]


def test_a_release_from_another_server_ends_no_call() -> None:
    """The late release of an attempt at one server does not end the call established at another."""
    server = ServerOnClock()
    ident = server.establish_call()
    other = ServerRecord("t", ("127.0.0.1", 10), 0, Availability.READY)
    server.node.call_manager.update_servers([other], False)
    server.connect(server.dialled[1])
    server.dialled[1].receive_data(finish_line(ident))
    assert server.has_call(ident)


def test_a_setup_is_cancelled_on_its_own_connection_if_no_other_is_left() -> None:
    """A gone server keeps the connection on which a set-up is pending, while its active connection has ended.
    If the set-up is not cancelled there, it is open at two servers at once (found by dense trial 443).
    """
    server = ServerOnClock()
    server.caller.receive_data(platform_invite(ident := next_call_id(), answer_within_ms="2000"))
    server.run(0.05)
    assert ident.encode() in server.connection.data_to_send()
    server.pool.dial_standby(server.connection)
    active = server.pool.standby[1]
    server.connect(active)
    gone = ServerRecord("s", ("127.0.0.1", 9), 0, Availability.GONE)
    server.node.call_manager.update_servers([gone], False)
    assert active.can_close()
    active.connection_lost()  # the driver's calls when a connection has ended
    server.pool.remove(active)
    server.run(2.0)
    assert b'"FINISH","tag":"%s"' % ident.encode() in server.connection.data_to_send()


def test_calls_are_ended_when_the_record_of_their_server_is_dropped() -> None:
    """A gone server is dropped once its last connection has ended; a remaining call would never end."""
    server = ServerOnClock()
    ident = server.establish_call()
    roster_server = server.connection.server
    roster_server.record = roster_server.record._replace(availability=Availability.GONE)
    server.connection.connection_lost()
    server.pool.remove(server.connection)
    assert take_statuses(server.caller, ident) == ["BYE"]


def test_no_call_ends_with_a_broken_connection_while_the_coordinator_answers() -> None:
    """Servers close and reset idle connections; the calls established on them continue."""
    server = ServerOnClock(list_answers=True)
    ident = server.establish_call()
    for _ in range(20):
        server.connection.connection_lost()
        server.connect(server.connection)  # the driver redials
        for _ in range(5):
            server.run(0.4)
            server.connection.receive_data(LOAD_LINE)
    assert server.has_call(ident)


def test_refused_standbys_do_not_keep_calls_at_a_silent_server() -> None:
    """A refused standby proves nothing, as the server may be full; its silence still ends the calls."""
    server = ServerOnClock()
    ident = server.establish_call()
    while server.node.now < server.started_at + RELEASE_LIMIT_S - 0.5:
        server.run(0.1)
        if (standby := server.pool.standby.get(1)) is not None:
            standby.connect_failed(refused=True)
            server.pool.remove(standby)  # the driver does this after a failed dial
    assert take_statuses(server.caller, ident) == ["BYE"]


def test_messages_received_during_a_stall_are_read_before_calls_are_ended() -> None:
    """After a stall of 20 s a server does not count as lost while its reports are still unread."""
    server = ServerOnClock()
    ident = server.establish_call()
    server.node.now += 20.0
    server.node.call_manager.timers.run_due()  # the loop runs timers before it polls sockets
    server.connection.receive_data(LOAD_LINE)
    server.run(1.0)
    assert server.has_call(ident)


def test_a_lost_call_is_released_at_its_server_once_that_is_reachable() -> None:
    """A server that was only cut off still holds the call, and must release it."""
    server = ServerOnClock()
    ident = server.establish_call()
    server.run(RELEASE_LIMIT_S - 0.5)
    assert server.connection in server.aborted
    server.connection.data_to_send()  # lost: the connection is cut
    server.connection.connection_lost()
    server.connect(server.connection)
    assert b'"FINISH","tag":"%s"' % ident.encode() in server.connection.data_to_send()


@pytest.mark.parametrize(("index", "confirms"), [(4, True), (5, False)])
def test_an_update_of_the_polling_member_confirms_the_list_of_the_other_members(
    index: int, confirms: bool
) -> None:
    """Members that do not poll get no answer from the coordinator. An update of the polling member confirms
    their list, unless it has a later event index than theirs.
    """
    node = InProcessNode()
    check = SimpleNamespace(is_accepted=True, effects=[])
    member = SimpleNamespace(fencing_tokens=SimpleNamespace(check=lambda *_: check))
    driver = SimpleNamespace(
        config=SimpleNamespace(voters={"a": ("a", 1)}),
        member=member,
        carry_out=lambda _effects: None,
        send=lambda *_: None,
    )
    relay = EndpointListRelay(driver, lambda: node.now, lambda: None)
    relay.discovery = ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 4)
    relay.endpoint_list.index = 4
    node.run(5.0)
    relay.handle_update(node.now, ("a", 1), EndpointUpdate("a", 7, index, 0, 1, b""))
    assert (node.call_manager.servers.list_confirmed_at == node.now) is confirms
