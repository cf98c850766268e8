"""Stories of ends that cross something: a caller who leaves while the call waits, a connection that is closed
under a request, a restart and a reload at the wrong instant. Each crossing is forced: a peer waits for the
program's own bytes, or for its line in the log, and then acts. The program runs under settings that share no
name or number with any deployment.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from itertools import pairwise

import pytest
import uvloop

from stairhatch import shutdown as shutdown_module
from stairhatch.application import Application
from stairhatch.config.model import Config
from stairhatch.emulators.ports import free_port
from stairhatch.node.io.listener import ListenerLimits
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import EMPTY_ANSWER_PAUSE_S, ServiceDiscoveryClient
from stairhatch.settings.parser import settings_from_object

from .support.call_ids import next_call_id
from .support.caller_disconnects import disconnect, place_call, setup_ids
from .support.deployment import APPLIANCE
from .support.full_listener import FullListener
from .support.in_process_node import InProcessNode
from .support.platform_config import platform_config
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import platform_invite, sip_headers
from .support.unusual_settings import UNUSUAL_SETTINGS
from .support.waiting import WAIT_LIMIT_S, wait_in_loop, wait_until

SILENT, RESET = ScriptedServer.never_answers, ScriptedServer.ends(41)


# ---- the caller leaves ----


@pytest.mark.parametrize("front", ["platform", "appliance"])
@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_who_leaves_while_the_call_waits_is_not_sent_on(start_unusual, by, front):
    """Guards against a call set up for nobody: its caller left in the pause after a reset. A second caller,
    whose call waits the same pause from later on and is sent again, shows when the first would have been.
    """
    scripts = [RESET] * (2 if front == APPLIANCE else 1)
    program, _, servers = start_unusual(*scripts, frontend=front)
    caller, _ = place_call(program, front)
    wait_until(
        lambda: [line for line in program.log_events("attempt_ended") if line["outcome"] == "reset"],
        "the pause",
    )
    (first,) = setup_ids(*servers)
    disconnect(caller, next(iter([m.get("call-id") for _, m in caller.received] or [first])), by, front)
    wait_until(
        lambda: program.log_events("call_abandoned") or program.log_events("call_answered"),
        "that it is known to have left",
    )
    assert len(program.log_events("attempt_ended")) == 1, "it left within the pause"
    place_call(program, front)
    wait_until(lambda: len([tag for tag in setup_ids(*servers) if tag != first]) == 2, "the other sent again")
    assert setup_ids(*servers).count(first) == 1
    if by == "half-close":  # it still reads, and is told once
        wait_until(lambda: caller.closed, "the end of the connection")
        finals = [m.status for _, m in caller.received if m.status >= 200 and m.cseq()[1] == "INVITE"]
        assert len(finals) == 1
        assert finals[0] in (480, 503)


def test_a_cancel_that_crosses_the_answer_ends_the_call_on_both_sides(start_unusual):
    """Guards against a call that is over and whose caller is not told: its CANCEL came when the answer had
    been written. The caller sends it once it has the answer, as one does whose time ran out on its way.
    """
    program, _, (server,) = start_unusual(None)
    caller, ident = place_call(program, "platform")
    caller.expect(ident, 200)
    disconnect(caller, ident, "cancel")
    caller.respond(caller.expect(ident, "BYE"), 200)
    wait_until(
        lambda: [m for m in server.messages("FINISH") if m["tag"] == ident], "the release at the server"
    )
    assert program.counters()["cancels_crossed"] == 1
    assert caller.final_statuses(ident) == [200]


@pytest.mark.parametrize("by", ["close", "half-close", "reset"])
def test_a_sip_caller_who_leaves_while_the_set_up_is_out_has_no_further_one(start_unusual, by):
    """Guards against the other order on the appliance, where what is out may still stand: it is the last."""
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    caller, _ = place_call(program, "appliance")
    wait_until(lambda: setup_ids(*servers))
    (first,) = setup_ids(*servers)
    disconnect(caller, first, by, "appliance")
    wait_until(lambda: "callers_disconnected" in program.counters(), "that it is known to have gone")
    for server in servers:
        server.script = RESET
    server = next(each for each in servers if setup_ids(each))
    server.send("FINISH", first, rc=41)
    wait_until(lambda: program.log_events("call_answered"), "its final answer")
    place_call(program, "appliance")
    wait_until(lambda: len(setup_ids(*servers)) >= 3, "the other sent again")
    assert setup_ids(*servers).count(first) == 1


@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_who_leaves_while_the_set_up_is_out_is_given_up_and_not_sent_again(start_unusual, by):
    """Guards against the other order: the server's reset comes once the caller has left."""

    def script(message, send):
        if message["verb"] == "FINISH":
            send("FINISH", message["tag"], rc=41)  # crosses what it was told

    program, _, (server,) = start_unusual(script)
    caller, ident = place_call(program, "platform")
    wait_until(lambda: setup_ids(server) == [ident])
    disconnect(caller, ident, by)
    wait_until(lambda: [m for m in server.messages("FINISH") if m["tag"] == ident], "that it is given up")
    server.script = RESET
    place_call(program, "platform")
    wait_until(lambda: len(setup_ids(server)) == 3, "the other sent again")
    assert setup_ids(server).count(ident) == 1


@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_who_leaves_while_the_link_comes_up_is_not_sent_on(start_unusual, by):
    """Guards against set-ups that lie in a link's queue until it is up. Its listener's queue is full, so that
    the link can't come up before the story takes the connections in it.
    """
    gate = FullListener()
    shut = ScriptedServer(listener=gate.listener)
    program, _, _ = start_unusual(servers=[shut])
    caller, ident = place_call(program, "platform")
    wait_until(lambda: program.log_events("call_offered"))
    disconnect(caller, ident, by)
    wait_until(lambda: program.log_events("call_abandoned"))
    assert not program.log_events("attempt_sent"), "it left before the link was up"
    assert not program.log_events("server_connected"), "it left before the link was up"
    other, stays = place_call(program, "platform")
    wait_until(lambda: len(program.log_events("call_offered")) == 2)
    shut.start_accepting()
    other.expect(stays, 200)
    assert setup_ids(shut) == [stays]
    assert not program.log_events(
        "server_connect_failed"
    ), "the settings' time to connect holds, and no other"
    gate.close()


def test_a_set_up_that_is_read_after_its_cancel_is_not_sent_on(start_unusual):
    """Guards against a set-up that lay unread on one connection while its CANCEL was read on another."""
    program, _, (server,) = start_unusual(None)
    ident, early, late = next_call_id(), program.caller(), program.caller()
    early.send("CANCEL", "sip:x@net", {"call-id": ident, "cseq": "1 CANCEL"})
    early.expect(ident, 481)
    late.invite(ident, "ebb")
    late.expect(ident, 480)
    other, stays = place_call(program, "platform")
    other.expect(stays, 200)
    assert setup_ids(server) == [stays]


def test_an_answer_finds_a_sip_caller_whose_connection_closed_once_the_set_up_was_out(
    start_unusual,
):
    """Guards against a call that stands and is told to nobody: the Via says where (RFC 3261, 18.2.2)."""
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    home = socket.create_server(("127.0.0.1", 0))
    caller, call = SipCaller(program.address), next_call_id()
    host = f"127.0.0.1:{home.getsockname()[1]}"
    caller.send("INVITE", "sip:75@net", sip_headers("INVITE", "1", f"z9hG4bK{call}", call, host, "TCP"), b"d")
    wait_until(lambda: setup_ids(*servers))
    caller.close()
    wait_until(lambda: "callers_disconnected" in program.counters(), "that it is known to have gone")
    server = next(each for each in servers if setup_ids(each))
    server.send("STARTED", setup_ids(server)[0], blob="late")
    home.settimeout(WAIT_LIMIT_S)
    link, _ = home.accept()
    link.settimeout(WAIT_LIMIT_S)
    assert link.recv(65536).startswith(b"SIP/2.0 200")
    link.close()
    home.close()


# ---- the connection is closed ----


@pytest.mark.parametrize("by", ["its answer", "its CANCEL"])
def test_a_set_up_outlives_what_can_not_be_read_behind_it(start_unusual, by):
    """Guards against a good set-up lost with its connection: what came behind it on the same was noise."""
    program, _, (server,) = start_unusual(SILENT)
    caller, ident = place_call(program, "platform")
    wait_until(lambda: setup_ids(server) == [ident])
    caller.send_bytes(b"\x00\x01 noise without sense\r\n\r\n")
    wait_until(lambda: program.log_events("malformed"), "that the noise has been read")
    assert not caller.closed
    if by == "its answer":
        server.send("STARTED", ident, blob="kept")
        assert caller.expect(ident, 200).body == b"kept"
    else:  # by another connection: nothing more is read on this one
        disconnect(program.caller(), ident, "cancel")
    wait_until(lambda: caller.closed, "the end of the connection")


def test_a_message_that_never_comes_whole_takes_no_set_up_with_it():
    """Guards against the same where the rest of a message never comes: its time is shorter than a call's."""
    inside = InProcessNode()
    front = PlatformFrontend(inside.core)
    connection, ident = front.connect(), next_call_id()
    connection.receive_data(
        platform_invite(ident, answer_within_ms="4000")
        + platform_invite(next_call_id(), answer_within_ms="4000")[:40]
    )
    assert inside.written
    assert connection.has_partial_message()
    connection.read_timed_out()
    connection.data_to_send()
    assert connection.closing
    assert not connection.can_close()
    inside.establish()
    assert b"SIP/2.0 200" in connection.data_to_send()
    assert connection.can_close()


@pytest.mark.parametrize("first", ["request", "newcomer"])
def test_a_request_read_in_the_turn_in_which_a_newcomer_needs_room_is_not_thrown_away(first):
    """Guards against a caller evicted as idle whose request the loop has read, but not yet given to its
    protocol. Both come within one turn of the loop, in either order; the listener has room for one.
    """

    async def story():
        inside = InProcessNode()
        inside.follow_loop(asyncio.get_running_loop())
        network = Network(inside.core)
        front = PlatformFrontend(inside.core)
        sock = socket.create_server(("127.0.0.1", 0))
        listener = network.listen(sock, front.connect, ListenerLimits(1, eviction_grace_s=0.05))
        old = socket.create_connection(sock.getsockname())
        await wait_in_loop(lambda: listener.connections)
        one = next(iter(listener.connections))
        await wait_in_loop(  # it is read, and old enough to be evicted
            lambda: one.reading_ended is not None and network.loop.time() > one.received_at + 0.05
        )
        new = socket.socket()
        new.setblocking(False)
        ident = next_call_id()

        def both():  # within one turn: the loop finds both when it looks next
            if first == "request":
                old.sendall(platform_invite(ident, answer_within_ms="4000"))
            with contextlib.suppress(BlockingIOError):
                new.connect(sock.getsockname())
            if first != "request":
                old.sendall(platform_invite(ident, answer_within_ms="4000"))

        both()
        for _ in range(500):
            await asyncio.sleep(0.001)
            if inside.written or one not in listener.connections:
                break
        assert [each.call.request.ident for each in inside.written] == [ident]
        assert one in listener.connections
        assert not one.protocol.closing
        old.close()
        new.close()
        for task in list(network.tasks.running):
            task.cancel()
        await asyncio.sleep(0.01)
        listener.close()

    uvloop.run(story())


def test_a_release_that_nobody_hears_is_kept_for_who_connects_next():
    """Guards against an end of a call that is dropped after four tries at callers who don't read."""
    inside = InProcessNode()
    front = PlatformFrontend(inside.core)
    deaf, ident = front.connect(), next_call_id()
    deaf.receive_data(platform_invite(ident, answer_within_ms="4000"))
    inside.establish()
    inside.core.responses.call_released(inside.written[-1].server, ident, 16, "", inside.empty_report())
    inside.run(3.0)
    assert deaf.data_to_send().count(b"BYE sip:") == 4
    late = front.connect()
    inside.run(0.2)
    assert late.data_to_send().count(b"BYE sip:") == 1
    inside.run(60.0)
    assert not front.registry.deliveries.pending
    assert inside.core.counters.counts["releases_unacknowledged"] == 1


def test_a_fault_in_a_timer_takes_no_other_with_it():
    """Guards against answers that are never given since something else, due in the same 4 ms, went wrong."""
    inside, done = InProcessNode(), []
    inside.core.timers.schedule(inside.now + 0.1, lambda: 1 // 0)
    inside.core.timers.schedule(inside.now + 0.1, lambda: done.append("the answer"))
    inside.run(0.2)
    assert done == ["the answer"]
    assert inside.core.counters.counts["timer_faults"] == 1


# ---- the end of the program ----


@pytest.mark.parametrize("to", ["caller", "SIP caller", "roster server"])
def test_the_end_waits_for_what_is_being_written(to):
    """Guards against an answer, or a release, cut in two by the end: its peer reads slowly."""
    inside, links = InProcessNode(), []
    if to == "caller":
        side = PlatformFrontend(inside.core)
        machine = side.connect()
    elif to == "SIP caller":
        side = inside.front
        machine = side.connector(side.config.tcp[0])(("127.0.0.1", 4000))
    else:
        side = ServerConnectionPool(inside.core, links.append)
        side.record_changed(inside.core.servers.by_id[1])
        machine = links[0]
        machine.connection_made()
    assert side.is_flushed()
    machine.writing = True
    assert not side.is_flushed()


def test_a_request_that_comes_at_the_last_look_is_answered(monkeypatch):
    """Guards against a connection reset by the end with a request unread on it. The caller sends when the
    program has found that nothing is owed, for the second time.
    """
    monkeypatch.setattr(shutdown_module, "MIN_STAY_S", 0.0)
    answers = []

    async def story():
        known = {"index": 0, "updates": []}
        settings = {
            **UNUSUAL_SETTINGS,
            "permissions": {**UNUSUAL_SETTINGS["permissions"], "retry_after": False},
        }
        config = Config("n", settings_from_object(settings).settings, listen=("127.0.0.1", 0), known=known)
        application = Application(config, lambda: config)
        application.open_listeners()
        application.start_discovery()
        application.parts.core.readiness.reject_after_s = 0.0
        caller = socket.create_connection(application.parts.caller_listeners[0].sock.getsockname())
        await wait_in_loop(lambda: application.parts.caller_listeners[0].connections)
        settled, found = application.parts.core.is_settled, []

        def watched():
            found.append(settled())
            if found.count(True) == 2:
                caller.sendall(platform_invite(next_call_id(), "ebb", "4000"))
            return found[-1]

        application.parts.core.is_settled = watched
        await asyncio.wait_for(application.shut_down(asyncio.Event()), WAIT_LIMIT_S)
        assert found.count(True) > 2, "the crossing took place"
        caller.setblocking(False)
        answers.append(caller.recv(65536))
        caller.close()
        application.parts.log.close()

    asyncio.run(story())
    assert answers[0].startswith(b"SIP/2.0 503")
    assert b"come-back" not in answers[0].lower(), "these settings allow no advice"


def test_the_end_comes_though_nobody_reads_the_log(tmp_path):
    """Guards against a program that never ends, or ends in a fault: the pipe that its lines go to is full."""
    server, port, door = ScriptedServer(), free_port(), free_port()
    config = platform_config(
        ScriptedCoordinator(endpoint_entry("s-31", server.port, 31)), port, door, UNUSUAL_SETTINGS
    )
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    reader, writer = os.pipe()
    program = Program.__new__(Program)
    program.start(tmp_path, writer, RELAY_CONFIG=str(path))
    program.address, program.admin_address = ("127.0.0.1", port), ("127.0.0.1", door)
    try:
        wait_until(lambda: can_connect(program.admin_address))
        program.wait_until_serving()
        caller = program.caller()
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, b"x" * 512)  # the pipe is full from here on ...
        os.set_blocking(writer, True)
        for _ in range(5):  # ... and the program's own lines wait
            ident = next_call_id()
            caller.invite(ident, "ebb")
            caller.expect(ident, 200)
        assert program.stop() == 0
    finally:
        program.kill()
        os.close(reader)
        os.close(writer)


def can_connect(address):
    """Whether somebody listens there."""
    with contextlib.suppress(OSError), socket.create_connection(address):
        return True
    return False


# ---- reloads and the list ----


@pytest.mark.parametrize("ignored", [False, True], ids=["as started by hand", "as the deploy file starts it"])
def test_a_reload_that_crosses_the_start_is_carried_out(tmp_path, ignored):
    """Guards against a softswitch that follows a coordinator that is no more: SIGHUP came when its first
    configuration had been read and its own handler did not stand yet. The file is a pipe: the program is
    known to be reading it when the signal goes.
    """
    old, new = ScriptedCoordinator(), ScriptedCoordinator(endpoint_entry("s-31", ScriptedServer().port, 31))
    while (program := reloaded_at_its_start(tmp_path, ignored, old, new)) is None:
        pass  # something else has taken its port
    try:
        assert program.log_events("reload")[0]["coordinator"].endswith(f":{new.port}")
        wait_until(lambda: new.polled_indices, "a question to the new coordinator")
    finally:
        program.kill()


def reloaded_at_its_start(folder, ignored, old, new):
    """A program that was sent SIGHUP as it read its configuration; None if its port was taken meanwhile."""
    port, door = free_port(), free_port()
    path, later = folder / "config.json", folder / "later.json"
    later.write_text(json.dumps(platform_config(new, port, door, UNUSUAL_SETTINGS)))
    path.unlink(missing_ok=True)
    os.mkfifo(path)
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN) if ignored else None
    program = Program(folder, RELAY_CONFIG=str(path))
    if before is not None:
        signal.signal(signal.SIGHUP, before)
    try:
        with path.open("w") as pipe:  # returns once the program has opened its end
            pipe.write(json.dumps(platform_config(old, port, door, UNUSUAL_SETTINGS)))
            pipe.flush()
            later.rename(path)
            program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: program.log_events("reload") or program.process.poll() is not None, "the reload")
    except BaseException:
        program.kill()
        raise
    return None if "can't listen" in program.log_text() else program


def test_nothing_of_the_old_settings_is_left_after_a_reload(start_unusual):
    """Guards against another customer's figures: other classes, pause and most attempts hold at once."""
    program, _, (server,) = start_unusual(RESET)
    caller, ident = place_call(program, "platform")
    wait_until(lambda: caller.final_statuses(ident))
    assert setup_ids(server).count(ident) == 3, "the old most attempts"
    config = json.loads(program.path.read_text())
    settings = config["settings"]
    slack = {"name": "slack", "aim_s": 6.0, "hard_limit_s": 31.0, "importance": 2.0, "late_worth": 0.9}
    settings["classes"] = [{**slack, "effect": "read_like"}]
    settings["family_info"] |= {"allowed_pools": [[31]], "call_length_s": [10.0], "clear_wait_s": 0.83}
    settings["permissions"] |= {"send_cap": 2}
    assert program.reload(json.dumps(config))["result"] == "applied"
    ident = next_call_id()
    caller.invite(ident, "slack", 20_000)
    wait_until(lambda: caller.final_statuses(ident))
    times = [at for at, message in server.received if message["verb"] == "START" and message["tag"] == ident]
    assert len(times) == 2
    assert all(b - a >= 0.83 for a, b in pairwise(times))


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


# ---- the signal to end, with calls at each point of their life ----


@pytest.mark.parametrize("front", ["platform", "appliance"])
def test_the_end_answers_each_call_once_wherever_it_is(start_unusual, front):
    """Guards against a call that the end forgets, answers twice, or sends on when the drain's limit is past:
    one stands, some are out, some wait for room, some lie in the queue of a link that can't come up (on the
    platform, where the settings let it take its time), one waits in a pause, and the answer to one lies
    unread when the signal comes. The process is stopped for that instant.
    """
    stand = set()  # the first few

    def script(message, send):
        if message["verb"] == "START" and len(stand) < 3:
            stand.add(message["tag"])
            send("STARTED", message["tag"], blob="kept")

    servers = [ScriptedServer(script), ScriptedServer(script)]
    gate = FullListener()
    if front == "platform":
        servers[1] = ScriptedServer(listener=gate.listener)
    program, _, _ = start_unusual(servers=servers, frontend=front)
    calls = [(SipCaller(program.address), next_call_id()) for _ in range(60)]
    for number, (caller, ident) in enumerate(calls):
        place(caller, ident, front, (31, 47)[number % 2])
    wait_until(
        lambda: len(program.log_events("call_offered")) == len(calls)
        and len(setup_ids(*servers)) >= len(stand) + 3
    )
    wait_until(lambda: sum(200 in caller.final_statuses(ident) for caller, ident in calls) == len(stand))
    answered, paused, *_ = (tag for tag in setup_ids(*servers) if tag not in stand)
    say = {m["tag"]: each.send for each in servers for m in each.messages("START")}
    say[paused]("FINISH", paused, rc=41)
    wait_until(lambda: paused in [line["call"] for line in program.log_events("attempt_ended")])
    program.process.send_signal(signal.SIGSTOP)
    say[answered]("STARTED", answered, blob="late")
    assert len(set(setup_ids(*servers))) < len(calls), "some wait"
    program.process.send_signal(signal.SIGTERM)
    program.process.send_signal(signal.SIGCONT)
    assert program.process.wait(WAIT_LIMIT_S) == 0
    for caller, _ in calls:
        wait_until(lambda caller=caller: caller.closed, "the end of the connection")
    finals = [caller.final_statuses(ident) for caller, ident in calls]
    if front == "appliance":  # a 200 goes again until its ACK, which is not sent here
        finals = [sorted(set(each)) for each in finals]
    assert all(len(each) == 1 for each in finals), finals
    assert finals.count([200]) == len(stand) + 1
    assert {each[0] for each in finals} <= {200, 408, 480, 500, 503}
    text = program.log_text()
    limit = text.find(" drain_deadline_reached ")
    assert text.count(" drain_deadline_reached ") == (
        front == "platform"
    ), "there the limit ends it, at once for all"
    assert " attempt_sent " not in text[limit:] or front != "platform", "nothing new after it"
    tags = [line["call"] for line in program.log_events("attempt_sent")]
    assert tags.count(answered) == 1
    assert all(tags.count(tag) == 1 for tag in stand)
    ended = [m["tag"] for each in servers for m in each.messages("FINISH")]
    assert stand.isdisjoint(ended) == (front == "platform"), "there they live on"
    gate.close()


def place(caller, ident, front, first):
    """A set-up that would go to the server of that number first."""
    if front == "platform":
        caller.invite(ident, "ebb", 15_000, routing_data=f"dest:{first};width:1;via:-1")
    else:
        headers = sip_headers("INVITE", "1", f"z9hG4bK{ident}", ident, caller.host, "TCP")
        caller.send("INVITE", "sip:5@net", headers | {"expires": "3"}, b"d")


def test_who_comes_again_too_soon_is_answered_and_not_served(start_unusual):
    """Guards against a drain that a caller holds up who does not stay away as long as told: each time it has
    one refusal with the same advice, nothing goes to a server, and the drain that is undone serves it.
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
