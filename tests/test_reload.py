"""Reloads of the configuration: applied whole or not at all, under open calls."""

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
    """A copy of a configuration with one value replaced, or taken out if no value is given."""
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
    """The settings of one class."""
    return {
        "name": name, "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0, "late_worth": 0.25,
        "effect": "read_like", **more,
    }  # fmt: skip


def settings_with_classes(classes, cap=6):
    """Settings with these classes, each of which may go to both servers."""
    raw = {**SETTINGS, "classes": classes, "permissions": {**SETTINGS["permissions"], "send_cap": cap}}
    lists = {"allowed_pools": [[0, 1] for _ in classes], "call_length_s": [10.0 for _ in classes]}
    return {**raw, "family_info": {**SETTINGS["family_info"], **lists}}


def key_paths(raw, at=()):
    """The paths of all keys of a configuration but those within the endpoint events."""
    for name, value in raw.items():
        yield (*at, name)
        if isinstance(value, dict) and name != "known":
            yield from key_paths(value, (*at, name))


NO_NUMBERS = ["NaN", "Infinity", "-Infinity", "1e999", "true", "false", '"3"', "0", "-5", "null", "[]", "{}"]


def test_a_file_that_is_cut_short_or_lacks_a_key_or_a_number_is_rejected_whole(start_deployment):
    """No settings are put together from half a file and defaults: each such file is rejected with one log
    line and a count, and what was in force stays.
    """
    program, _, _ = start_deployment(None, wait_until_serving=True)
    text = program.path.read_text()
    raw = json.loads(text)
    unusable = ["", " ", "{}", "[]", "null", "3", text[: len(text) // 2], text[:-1]]
    unusable += [json.dumps(with_value(raw, *path)) for path in key_paths(raw)]
    unusable += [
        json.dumps(with_value(raw, "settings", "classes", 1, key)) for key in raw["settings"]["classes"][1]
    ]
    unusable.append(text.replace('"save-roster"', '"read-roster"'))  # two of one name
    unusable.append(json.dumps(with_value(raw, "settings", "classes", value=[])))
    unusable.append(json.dumps(with_value(raw, "settings", "family_info", "allowed_pools", value=[[0, 1]])))
    for name, path in (("1.75", ("classes", 0, "hard_limit_s")), ("77", ("permissions", "send_cap"))):
        marked = json.dumps(with_value(raw, "settings", *path, value=json.loads(name)))
        unusable += [marked.replace(name, number) for number in NO_NUMBERS]
    for index, each in enumerate(unusable):
        assert program.reload(each)["result"] == "rejected", each
        assert len(program.log_events("reload")) == index + 1, "one line each"
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, "save-roster", answer_within_ms=9000)
    caller.expect(ident, 200)
    line = program.reload(json.dumps(with_value(raw, "settings", "classes", 0, "hard_limit_s", value=8)))
    assert (line["result"], line["settings"], line["restart_required"]) == ("applied", "new", "-")
    program.stop()
    counted = program.log_events("counters")[-1]
    assert (counted["reloads_rejected"], counted["settings_changes"]) == (str(len(unusable)), "1")


def test_the_appliances_file_is_rejected_whole_as_well(start_deployment):
    """A small site's file that was cut short by an editor, or mistyped, changes nothing."""
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


def test_a_class_is_added_and_another_removed_under_open_calls(start_deployment):
    """Classes are told apart by name: an open call keeps its class, callers may name a removed one for a
    while, and then it is unknown.
    """
    program, _, (server, _) = start_deployment(SILENT, SILENT, wait_until_serving=True)
    raw = json.loads(program.path.read_text())
    caller, open_one = program.caller(), next_call_id()
    caller.invite(open_one, "save-roster", answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    new = [class_settings("night-roster"), class_settings("read-roster", effect="keyed")]
    line = program.reload(json.dumps({**raw, "settings": settings_with_classes(new, cap=1)}))
    assert (line["added"], line["removed"], line["restart_required"]) == ("night-roster", "save-roster", "-")
    server.script = ScriptedServer.establishes
    for kind in ("night-roster", "read-roster", "save-roster"):
        ident = next_call_id()
        caller.invite(ident, kind)
        caller.expect(ident, 200)
    named = [m["opts"]["class"] for m in server.messages("START")]
    assert named == ["save-roster", "night-roster", "read-roster", "save-roster"]

    def unknown():
        ident = next_call_id()
        caller.invite(ident, "save-roster")
        return wait_until(lambda: caller.final_statuses(ident)) == [400]

    wait_until(unknown, "the end of the old class")
    server.send("FINISH", open_one, rc=41)
    caller.expect(open_one, 200)
    assert (
        len([m for m in server.messages("START") if m["tag"] == open_one]) == 2
    ), "it keeps its six attempts"


def test_open_calls_keep_their_class_and_their_attempts():
    """The rules of a call do not change, and it is not lost, while it is open."""
    node = InProcessNode()
    connection = PlatformFrontend(node.core).connect()
    connection.receive_data(platform_invite(old := next_call_id(), "save-roster", "9000"))
    kept = node.core.calls.by_ident[old].request.call_class
    lines = [class_settings("read-roster", effect="keyed", hard_limit_s=4.0)]
    node.core.update_settings(settings_from_object(settings_with_classes(lines, cap=1)).settings)
    connection.receive_data(platform_invite(new := next_call_id()))
    call, other = node.core.calls.by_ident[old], node.core.calls.by_ident[new]
    assert node.core.controller.settings is node.core.settings
    assert call.request.call_class is kept
    assert kept.idempotent
    assert (call.max_attempts, other.max_attempts) == (6, 1)
    assert not other.request.call_class.idempotent
    server = node.core.servers.by_id[1]
    for _ in range(3):  # resets: what may not be repeated has failed, the old one goes on
        for ident in (old, new):
            node.core.responses.call_released(server, ident, 41, "", node.empty_report())
        node.run(2.0)
    assert take_statuses(connection, new) == [500]
    assert take_statuses(connection, old) == []
    assert call.attempts > 1
    assert old in node.core.calls.by_ident


def test_callers_may_name_a_former_class_or_its_deadline_for_a_while():
    """Calls are not refused that left before their caller knew of the new settings."""
    node = InProcessNode()
    connection = PlatformFrontend(node.core).connect()
    node.core.update_settings(
        settings_from_object(
            settings_with_classes([class_settings("read-roster", hard_limit_s=2.0)])
        ).settings
    )
    node.run(1.3)
    for ident, kind in ((next_call_id(), "save-roster"), (next_call_id(), "read-roster")):
        connection.receive_data(platform_invite(ident, kind, "9000"))
        assert ident in node.core.calls.by_ident
    node.run(FORMER_CLASS_S)
    for ident, kind in ((next_call_id(), "save-roster"), (next_call_id(), "read-roster")):
        connection.receive_data(platform_invite(ident, kind, "9000"))
        assert take_statuses(connection, ident) == [400]


def test_settings_are_swapped_in_one_step_and_what_was_learnt_stays(make_node):
    """No figure derived from former settings stays, but what was learnt of servers and callers does."""
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
    }, "by its name, and in proportion"


def test_a_reload_while_connecting_to_the_coordinator_switches_to_the_new_one():
    """The softswitch does not stay with the old coordinator that it was just about to reach."""

    async def scenario():
        node, asked, ends = InProcessNode(), [], []
        network, directory = Network(node.core), ServiceDiscoveryClient(node.core, ("127.0.0.1", 1), 4)

        async def connect(address):
            asked.append(address)
            if len(asked) == 1:
                directory.switch_coordinator(("127.0.0.1", 2))
            ours, theirs = socket.socketpair()
            ends.append(theirs)  # stays open, as the old coordinator's does
            return ours

        network.connector.connect = connect
        task = network.spawn(network.poll_service_discovery(directory))
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()
        assert asked[:2] == [("127.0.0.1", 1), ("127.0.0.1", 2)]

    asyncio.run(scenario())


SILENT, RESET = ScriptedServer.never_answers, ScriptedServer.ends(41)


@pytest.mark.parametrize("ignored", [False, True], ids=["as started by hand", "as the deploy file starts it"])
def test_a_reload_that_comes_during_the_start_is_carried_out(tmp_path, ignored):
    """A SIGHUP counts that comes when the first configuration has been read and the program's own handler is
    not installed yet. The file is a pipe: the program is known to be reading it when the signal goes.
    """
    old, new = ScriptedCoordinator(), ScriptedCoordinator(endpoint_entry("s-31", ScriptedServer().port, 31))
    while (program := start_and_reload(tmp_path, ignored, old, new)) is None:
        pass  # something else has taken its port
    try:
        assert program.log_events("reload")[0]["coordinator"].endswith(f":{new.port}")
        wait_until(lambda: new.polled_indices, "a question to the new coordinator")
    finally:
        program.kill()


def start_and_reload(folder, ignored, old, new):
    """A program that was sent SIGHUP as it read its configuration; None if its port was taken meanwhile."""
    port, admin_port = free_port(), free_port()
    path, later = folder / "config.json", folder / "later.json"
    later.write_text(json.dumps(platform_config(new, port, admin_port, UNUSUAL_SETTINGS)))
    path.unlink(missing_ok=True)
    os.mkfifo(path)
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN) if ignored else None
    program = Program(folder, RELAY_CONFIG=str(path))
    if before is not None:
        signal.signal(signal.SIGHUP, before)
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


def test_no_former_setting_holds_after_a_reload(start_unusual):
    """Other classes, another retry pause and another most attempts hold at once."""
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


def test_a_reload_switches_to_the_new_coordinator_and_keeps_the_event_index(start_deployment):
    """A softswitch neither ends on SIGHUP, stays with the old coordinator, nor begins its list anew."""
    program, old, (server,) = start_deployment(None)
    other = ScriptedServer()
    new = ScriptedCoordinator()
    new.events = list(old.events)
    config = json.loads(program.path.read_text())
    line = program.reload(json.dumps({**config, "coordinator": f"127.0.0.1:{new.port}"}))
    assert line["result"] == "applied"
    assert line["restart_required"] == "-"
    new.publish(endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1))
    assert new.polled_indices[0] == 1, "the number of the last event was not kept"
    establish_call(program)
    assert other.messages("START")
    assert not server.messages("START")


ODD = {"index": 1, "updates": [{"index": 1}, 5]}


@pytest.mark.parametrize("change", ["{", {"coordinator": "nowhere"}, {"settings": {}}, {"known": ODD}])
def test_an_unusable_configuration_changes_nothing(start_deployment, change):
    """One mistyped file does not take down what serves."""
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


def test_a_reload_reports_what_requires_a_restart(start_deployment):
    """An operator is told which changes have not been applied."""
    program, _, _ = start_deployment(None)
    config = json.loads(program.path.read_text())
    line = program.reload(json.dumps({**config, "listen": "127.0.0.1:1", "console": "127.0.0.1:2"}))
    assert line["restart_required"] == "listen,console"
    establish_call(program)


def test_the_appliance_reloads_its_servers_and_numbers(tmp_path, start_deployment):
    """A small site changes a prefix or a server without ending its calls."""
    one, two = ScriptedServer(), ScriptedServer()
    program = Program.as_appliance(tmp_path, one, one)
    start_deployment.programs.append(program)
    text = program.path.read_text().replace(f"127.0.0.1:{one.port}", f"127.0.0.1:{two.port}")
    text = text.replace('"roster-a"', '"roster-c"').replace('"roster-b"', '"roster-d"')
    assert program.reload(text.replace('prefix = "7"', 'prefix = "8"'))["result"] == "applied"
    caller = SipCaller(program.address, udp=True)
    headers = {
        "via": f"SIP/2.0/UDP {caller.host};branch=z9hG4bKr", "from": "<sip:a@net>;tag=1",
        "to": "<sip:812@net>", "call-id": "r", "cseq": "1 INVITE", "contact": f"<sip:a@{caller.host}>",
    }  # fmt: skip
    caller.send("INVITE", "sip:812@net", headers)
    caller.expect("r", 200)
    assert two.messages("START")[0]["opts"]["class"] == "save-roster"
    assert not one.messages("START")
