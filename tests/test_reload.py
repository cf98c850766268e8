"""Reloads of the configuration during open calls: each is applied as a whole or not at all."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
from dataclasses import replace
from itertools import pairwise

import pytest

from stairhatch.emulators.ports import free_port
from stairhatch.node.call_classes import FORMER_CLASS_S
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_responses import CallRelease
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.controller import Controller
from stairhatch.settings.parser import settings_from_object

from .support.accepted_connections import take_statuses
from .support.call_ids import next_call_id
from .support.caller_disconnects import place_call, setup_ids
from .support.deployment import establish_call
from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS, platform_config
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import platform_invite, sip_headers
from .support.unusual_settings import UNUSUAL_SETTINGS
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


def with_value(raw, *path, value=None):
    """Return a copy of a configuration with the value at `path` replaced, or removed if `value` is None."""
    copy = json.loads(json.dumps(raw))
    part = copy
    for step in path[:-1]:
        part = part[step]
    if value is None:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return copy


def class_settings(name, **more):
    """Return the settings of one class."""
    return {
        "name": name, "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0, "late_worth": 0.25,
        "effect": "read_like", **more,
    }  # fmt: skip


def settings_with_classes(classes, cap=6):
    """Return settings with these classes, all of which may use both servers, and at most `cap` attempts."""
    raw = {**SETTINGS, "classes": classes, "permissions": {**SETTINGS["permissions"], "send_cap": cap}}
    lists = {"allowed_pools": [[0, 1] for _ in classes], "call_length_s": [10.0 for _ in classes]}
    return {**raw, "family_info": {**SETTINGS["family_info"], **lists}}


def key_paths(raw, at=()):
    """Yield the paths of all keys of a configuration except those inside the endpoint events."""
    for name, value in raw.items():
        yield (*at, name)
        if isinstance(value, dict) and name != "known":
            yield from key_paths(value, (*at, name))


NO_NUMBERS = ["NaN", "Infinity", "-Infinity", "1e999", "true", "false", '"3"', "0", "-5", "null", "[]", "{}"]


def test_incomplete_or_malformed_file_is_rejected_as_a_whole(start_deployment):
    """A file that is truncated, lacks a key or has an invalid number is not completed with defaults. It is
    rejected with one log line and counted, and the previous configuration remains in effect.
    """
    program, _, _ = start_deployment(None, wait_until_serving=True)
    text = program.path.read_text()
    raw = json.loads(text)
    unusable = ["", " ", "{}", "[]", "null", "3", text[: len(text) // 2], text[:-1]]
    unusable += [json.dumps(with_value(raw, *path)) for path in key_paths(raw)]
    unusable += [
        json.dumps(with_value(raw, "settings", "classes", 1, key)) for key in raw["settings"]["classes"][1]
    ]
    unusable.append(text.replace('"save-roster"', '"read-roster"'))  # two classes of the same name
    unusable.append(json.dumps(with_value(raw, "settings", "classes", value=[])))
    unusable.append(json.dumps(with_value(raw, "settings", "family_info", "allowed_pools", value=[[0, 1]])))
    for name, path in (("1.75", ("classes", 0, "hard_limit_s")), ("77", ("permissions", "send_cap"))):
        marked = json.dumps(with_value(raw, "settings", *path, value=json.loads(name)))
        unusable += [marked.replace(name, number) for number in NO_NUMBERS]
    for index, each in enumerate(unusable):
        assert program.reload(each)["result"] == "rejected", each
        assert len(program.log_events("reload")) == index + 1, "one log line for each file"
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, "save-roster", answer_within_ms=9000)
    caller.expect(ident, 200)
    line = program.reload(json.dumps(with_value(raw, "settings", "classes", 0, "hard_limit_s", value=8)))
    assert (line["result"], line["settings"], line["restart_required"]) == ("applied", "new", "-")
    program.stop()
    counted = program.log_events("counters")[-1]
    assert (counted["reloads_rejected"], counted["settings_changes"]) == (str(len(unusable)), "1")


def test_malformed_file_of_the_appliance_is_rejected_as_a_whole(start_deployment):
    """A truncated or mistyped configuration file of the appliance changes nothing."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    text = program.path.read_text()
    limit, cap = "hard_limit_s = 9.0             #", "send_cap = 6"
    no_numbers = ("nan", "inf", "true", '"9"', "0", "-1")
    for each in [
        "", text[: text.index("[settings.safety]")], text[: text.index("fall_s = ")], text[:-80],
        text.replace("retransmit_s = 0.8", ""), text.replace("late_worth = 0.1\n", ""),
        text.replace('class = "save-roster"', 'class = "gone"'),
        *(text.replace(limit, f"hard_limit_s = {value} #") for value in no_numbers),
        *(text.replace(cap, f"send_cap = {value}") for value in (*no_numbers, "2.5")),
    ]:  # fmt: skip
        assert each != text
        assert program.reload(each)["result"] == "rejected", each
    new = text.replace('"save-roster"', '"plan-roster"').replace(limit, "hard_limit_s = 4.0 #")
    line = program.reload(new)
    assert (line["result"], line["added"], line["removed"]) == ("applied", "plan-roster", "save-roster")
    caller = SipCaller(program.address, udp=True)
    caller.send("INVITE", "sip:71@net", sip_headers("INVITE", host=caller.host))
    caller.expect("c1", 200)
    program.process.stdin.write(b"classes\n")
    program.process.stdin.flush()
    wait_until(
        lambda: "plan-roster" in program.log_text().split("stairhatch> ")[-1]
        or "      4s" in program.log_text()
    )


def test_appliance_takes_a_file_without_the_settings_that_its_template_comments_out(start_deployment):
    """Guards against a file that is rejected whole, with the drain of a server in it, since a key with a
    default was commented out again.
    """
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    text = program.path.read_text()
    full = text.replace("# me = 0 ", "me = 0 ").replace(
        "# connect_timeout_s = 0.5", "connect_timeout_s = 0.7"
    )
    assert full.count("\nme = 0 ") == full.count("\nconnect_timeout_s = 0.7") == 1
    assert program.reload(full)["result"] == "applied"
    drained = text.replace('# state = "terminating"', 'state = "terminating"', 1)
    line = program.reload(drained)
    assert (line["result"], line["settings"]) == ("applied", "new")
    assert line["left_out"] == "settings.me,settings.permissions.connect_timeout_s"
    wait_until(lambda: [each for each in program.log_events("server_listed") if each["state"] == "draining"])
    assert program.reload(text.replace("send_cap = 6", ""))["result"] == "rejected"


def test_class_is_added_and_another_removed_during_open_calls(start_deployment):
    """Classes are identified by name. An open call keeps its class, and callers may use the name of a removed
    class for a while before it is rejected as unknown.
    """
    program, _, (server, _) = start_deployment(SILENT, SILENT, wait_until_serving=True)
    raw = json.loads(program.path.read_text())
    caller, open_ident = program.caller(), next_call_id()
    caller.invite(open_ident, "save-roster", answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    new = [class_settings("night-roster"), class_settings("read-roster", effect="keyed")]
    line = program.reload(json.dumps({**raw, "settings": settings_with_classes(new, cap=1)}))
    assert (line["added"], line["removed"], line["restart_required"]) == ("night-roster", "save-roster", "-")
    server.script = ScriptedServer.establishes
    for kind in ("night-roster", "read-roster", "save-roster"):
        ident = next_call_id()
        caller.invite(ident, kind)
        caller.expect(ident, 200)
    class_names = [m["opts"]["class"] for m in server.messages("START")]
    assert class_names == ["save-roster", "night-roster", "read-roster", "save-roster"]

    def is_unknown():
        ident = next_call_id()
        caller.invite(ident, "save-roster")
        return wait_until(lambda: caller.final_statuses(ident)) == [400]

    wait_until(is_unknown, "the old class to become unknown")
    server.send("FINISH", open_ident, rc=41)
    caller.expect(open_ident, 200)
    assert (
        len([m for m in server.messages("START") if m["tag"] == open_ident]) == 2
    ), "the open call may still make six attempts"


def test_open_calls_keep_their_class_and_number_of_attempts():
    """A reload does not end an open call and does not change its class or its maximum of attempts."""
    node = InProcessNode()
    connection = PlatformFrontend(node.call_manager).connect()
    connection.receive_data(platform_invite(old := next_call_id(), "save-roster", "9000"))
    kept = node.call_manager.calls.by_ident[old].request.call_class
    classes = [class_settings("read-roster", effect="keyed", hard_limit_s=4.0)]
    node.call_manager.update_settings(settings_from_object(settings_with_classes(classes, cap=1)).settings)
    connection.receive_data(platform_invite(new := next_call_id()))
    call, other = node.call_manager.calls.by_ident[old], node.call_manager.calls.by_ident[new]
    assert node.call_manager.controller.settings is node.call_manager.settings
    assert call.request.call_class is kept
    assert kept.idempotent
    assert (call.max_attempts, other.max_attempts) == (6, 1)
    assert not other.request.call_class.idempotent
    server = node.call_manager.servers.by_id[1]
    for _ in range(3):  # resets: the new call fails, since it must not be repeated; the old call is retried
        for ident in (old, new):
            node.call_manager.responses.call_released(server, ident, CallRelease(41))
        node.run(2.0)
    assert take_statuses(connection, new) == [500]
    assert take_statuses(connection, old) == []
    assert call.attempts > 1
    assert old in node.call_manager.calls.by_ident


def test_callers_may_use_a_former_class_or_its_deadline_for_a_while():
    """Calls that callers sent before they knew the new settings are not rejected."""
    node = InProcessNode()
    connection = PlatformFrontend(node.call_manager).connect()
    node.call_manager.update_settings(
        settings_from_object(
            settings_with_classes([class_settings("read-roster", hard_limit_s=2.0)])
        ).settings
    )
    node.run(1.3)
    for ident, kind in ((next_call_id(), "save-roster"), (next_call_id(), "read-roster")):
        connection.receive_data(platform_invite(ident, kind, "9000"))
        assert ident in node.call_manager.calls.by_ident
    node.run(FORMER_CLASS_S)
    for ident, kind in ((next_call_id(), "save-roster"), (next_call_id(), "read-roster")):
        connection.receive_data(platform_invite(ident, kind, "9000"))
        assert take_statuses(connection, ident) == [400]


def test_settings_are_replaced_in_one_step_and_learnt_state_is_kept(make_node):
    """Values derived from former settings are replaced; what was learnt of servers and callers is kept."""
    node = make_node()
    controller = node.controller
    for _ in range(50):
        node.offer(class_index=0, caller_timeout_s=3.0)
        node.offer(class_index=1, caller_timeout_s=2.0)
    controller.endpoints[10].concurrency_limit = 7.5
    kept = dict(controller.parts.caller_retries.usual_timeout_s)
    (_, vital), length = controller.settings.classes, controller.parts.durations.expected.mean
    shorter = replace(vital, latency_objective_s=0.3, deadline_s=vital.deadline_s / 2, priority_weight=9)
    controller.update_settings(
        replace(controller.settings, classes=(shorter,), instance_count=10, max_attempts=1)
    )
    fresh = Controller(controller.settings, random.Random(1))
    assert vars(controller.thresholds) == vars(fresh.thresholds)
    assert controller.settings.max_attempts == 1
    assert controller.endpoints[10].concurrency_limit == 7.5
    assert controller.parts.durations.expected.mean == length
    assert controller.parts.caller_retries.usual_timeout_s == {
        "vital": kept["vital"] / 2
    }, "the timeout is kept by class name and scaled with the deadline"


def test_reload_while_connecting_to_the_coordinator_switches_to_the_new_one():
    """The softswitch drops a connection to the old coordinator if a reload changes it during the connect."""

    async def scenario():
        node, dialled, peer_sockets = InProcessNode(), [], []
        network, discovery = (
            Network(node.call_manager),
            ServiceDiscoveryClient(node.call_manager, ("127.0.0.1", 1), 4),
        )

        async def connect(address):
            dialled.append(address)
            if len(dialled) == 1:
                discovery.switch_coordinator(("127.0.0.1", 2))
            ours, theirs = socket.socketpair()
            peer_sockets.append(theirs)  # remains open, like the connection of the old coordinator
            return ours

        network.connector.connect = connect
        task = network.spawn(network.poll_service_discovery(discovery))
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()
        assert dialled[:2] == [("127.0.0.1", 1), ("127.0.0.1", 2)]

    asyncio.run(scenario())


SILENT, RESET = ScriptedServer.never_answers, ScriptedServer.ends(41)


@pytest.mark.parametrize(
    "sighup_ignored", [False, True], ids=["started by hand", "started by the deploy file"]
)
def test_reload_requested_during_the_start_is_carried_out(tmp_path, sighup_ignored):
    """A SIGHUP takes effect if it arrives after the configuration has been read and before the reload handler
    is installed. The configuration file is a pipe, so that the test knows when the program reads it.
    """
    old, new = ScriptedCoordinator(), ScriptedCoordinator(endpoint_entry("s-31", ScriptedServer().port, 31))
    while (program := start_and_reload(tmp_path, sighup_ignored, old, new)) is None:
        pass  # another process has taken the port
    try:
        assert program.log_events("reload")[0]["coordinator"].endswith(f":{new.port}")
        wait_until(lambda: new.polled_indices, "a poll of the new coordinator")
    finally:
        program.kill()


def start_and_reload(folder, sighup_ignored, old, new):
    """Start a program and send it SIGHUP while it reads its configuration.

    Returns the program after its reload, or None if another process had taken its port.
    """
    port, admin_port = free_port(), free_port()
    path, later = folder / "config.json", folder / "later.json"
    later.write_text(json.dumps(platform_config(new, port, admin_port, UNUSUAL_SETTINGS)))
    path.unlink(missing_ok=True)
    os.mkfifo(path)
    former_handler = signal.signal(signal.SIGHUP, signal.SIG_IGN) if sighup_ignored else None
    program = Program(folder, RELAY_CONFIG=str(path))
    if former_handler is not None:
        signal.signal(signal.SIGHUP, former_handler)
    try:
        with path.open("w") as pipe:  # returns once the program has opened its end
            pipe.write(json.dumps(platform_config(old, port, admin_port, UNUSUAL_SETTINGS)))
            pipe.flush()
            later.rename(path)
            program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: program.log_events("reload") or program.process.poll() is not None, "the reload")
    except BaseException:
        program.kill()
        raise
    return None if "can't listen" in program.log_text() else program


def test_no_former_setting_is_used_after_a_reload(start_unusual):
    """Changed classes, a changed retry pause and a changed maximum of attempts take effect immediately."""
    program, _, (server,) = start_unusual(RESET)
    caller, ident = place_call(program, "platform")
    wait_until(lambda: caller.final_statuses(ident))
    assert setup_ids(server).count(ident) == 3, "the former maximum of attempts"
    config = json.loads(program.path.read_text())
    settings = config["settings"]
    slack_class = {"name": "slack", "aim_s": 6.0, "hard_limit_s": 31.0, "importance": 2.0, "late_worth": 0.9}
    settings["classes"] = [{**slack_class, "effect": "read_like"}]
    settings["family_info"] |= {"allowed_pools": [[31]], "call_length_s": [10.0], "clear_wait_s": 0.83}
    settings["permissions"] |= {"send_cap": 2}
    assert program.reload(json.dumps(config))["result"] == "applied"
    ident = next_call_id()
    caller.invite(ident, "slack", 20_000)
    wait_until(lambda: caller.final_statuses(ident))
    times = [at for at, message in server.received if message["verb"] == "START" and message["tag"] == ident]
    assert len(times) == 2
    assert all(b - a >= 0.83 for a, b in pairwise(times))


def test_reload_switches_to_the_new_coordinator_and_keeps_the_event_index(start_deployment):
    """SIGHUP neither ends the softswitch nor resets its endpoint list, and it switches the coordinator."""
    program, old, (server,) = start_deployment(None)
    other = ScriptedServer()
    new = ScriptedCoordinator()
    new.events = list(old.events)
    config = json.loads(program.path.read_text())
    line = program.reload(json.dumps({**config, "coordinator": f"127.0.0.1:{new.port}"}))
    assert line["result"] == "applied"
    assert line["restart_required"] == "-"
    new.publish(endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1))
    assert new.polled_indices[0] == 1, "the first poll carries the index of the last event"
    establish_call(program)
    assert other.messages("START")
    assert not server.messages("START")


MALFORMED_EVENTS = {"index": 1, "updates": [{"index": 1}, 5]}


@pytest.mark.parametrize(
    "change", ["{", {"coordinator": "nowhere"}, {"settings": {}}, {"known": MALFORMED_EVENTS}]
)
def test_unusable_configuration_changes_nothing(start_deployment, change):
    """A reload of an unusable configuration does not affect the running softswitch."""
    program, coordinator, (server,) = start_deployment(None)
    text = program.path.read_text()
    unusable = change if isinstance(change, str) else json.dumps({**json.loads(text), **change})
    assert program.reload(unusable)["result"] == "rejected"
    other = ScriptedServer()
    coordinator.publish(
        endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1)
    )
    establish_call(program)
    assert other.messages("START")
    assert program.reload(text)["result"] == "applied"


def test_reload_reports_the_keys_that_require_a_restart(start_deployment):
    """The log line of a reload names the changed keys that have not been applied."""
    program, _, _ = start_deployment(None)
    config = json.loads(program.path.read_text())
    line = program.reload(json.dumps({**config, "listen": "127.0.0.1:1", "console": "127.0.0.1:2"}))
    assert line["restart_required"] == "listen,console"
    establish_call(program)


def test_appliance_reloads_its_servers_and_number_prefixes(tmp_path, start_deployment):
    """A reload applies a changed number prefix and a changed server while the appliance runs."""
    old_server, new_server = ScriptedServer(), ScriptedServer()
    program = Program.as_appliance(tmp_path, old_server, old_server)
    start_deployment.programs.append(program)
    text = program.path.read_text().replace(f"127.0.0.1:{old_server.port}", f"127.0.0.1:{new_server.port}")
    text = text.replace('"roster-a"', '"roster-c"').replace('"roster-b"', '"roster-d"')
    assert program.reload(text.replace('prefix = "7"', 'prefix = "8"'))["result"] == "applied"
    caller = SipCaller(program.address, udp=True)
    headers = {
        "via": f"SIP/2.0/UDP {caller.host};branch=z9hG4bKr", "from": "<sip:a@net>;tag=1",
        "to": "<sip:812@net>", "call-id": "r", "cseq": "1 INVITE", "contact": f"<sip:a@{caller.host}>",
    }  # fmt: skip
    caller.send("INVITE", "sip:812@net", headers)
    caller.expect("r", 200)
    assert new_server.messages("START")[0]["opts"]["class"] == "save-roster"
    assert not old_server.messages("START")
