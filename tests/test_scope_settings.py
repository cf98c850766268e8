"""Tests of the scope's settings: their parsing, and the transfer between sets when they change."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stairhatch.config.appliance.reader import parse_appliance
from stairhatch.config.model import ConfigError
from stairhatch.overload.events import (
    CallAbandoned,
)
from stairhatch.overload.settings import CallClass
from stairhatch.scope.config import ScopeConfig, ServiceConfig
from stairhatch.scope.controller import IDLE_TIMER_ID

from .support.paths import ROOT
from .support.scope_simulation import ScopeSimulation, call_class, endpoint, scoped_controller, settings_with

A, B, C = call_class("a", 0, 1, 2), call_class("b", 3, 4), call_class("c", 5, 6, priority_weight=2.0)
CHANGED_CLASSES = {
    "two sets merge": (call_class("a", 0, 1, 2, 3), B, C),
    "one set splits": (call_class("a", 0), call_class("d", 1, 2), B, C),
    "a class moves": (A, call_class("b", 5), C),
    "a class is removed": (A, C),
    "a class is removed and another gets its servers": (call_class("a", 0, 1, 2, 4), C),
    "all sets become one": (A, B, C, call_class("any")),
    "a class loses all servers": (A, CallClass("b", allowed_servers=()), C),
    "all classes swap servers": (call_class("a", 5, 3), call_class("b", 0), call_class("c", 1, 2, 4, 6)),
    "nothing changes": (A, B, C),
}


@pytest.mark.parametrize("restored", [False, True], ids=["changed", "changed and restored"])
@pytest.mark.parametrize("name", CHANGED_CLASSES)
def test_new_settings_move_classes_with_all_their_calls_and_setups(name, restored):
    """Guards against calls with two answers or none, set-ups that stay pending, and lost state of servers.

    Sets merge and split during these calls. Servers are slow, so that calls and set-ups are pending at the
    change of settings; the test counts both.
    """
    before = settings_with(A, B, C, instance_count=3, instance_index=1)
    after = replace(before, classes=CHANGED_CLASSES[name])
    decisions = scoped_controller(before, idle_s=8.0)
    simulation = ScopeSimulation(decisions, mean_delay_s=0.5)
    simulation.update_endpoints(*(endpoint(n + 10, n) for n in range(7)))
    simulation.offer_at_random(6, 60, [A, B, C])
    for number, settings in enumerate([after, before] if restored else [after]):
        pending_calls = {
            call for each in decisions.sets.by_numbers.values() for call in each.controller.pending
        }
        open_calls = {call for each in decisions.sets.by_numbers.values() for call in each.controller.calls}
        known = {server: (seen, seen.concurrency_limit) for server, seen in decisions.endpoints.items()}
        if number == 0:
            assert len(pending_calls) > 5
            assert sum(len(seen.pending_setups) for seen, _ in known.values()) > 3
        decisions.update_settings(settings)
        in_scope = decisions.sets.by_numbers.values()
        assert {call for each in in_scope for call in each.controller.calls} == open_calls
        assert {call for each in in_scope for call in each.controller.pending} == pending_calls
        assert set(decisions.owners) == open_calls
        assert all(decisions.owners[call] in in_scope for call in open_calls)
        kept = [server for server in known if decisions.in_scope(simulation.number_of[server])]
        assert kept, "no known server is in scope"
        for server in kept:
            seen = decisions.endpoints[server]
            assert (seen, seen.concurrency_limit) == known[server], "the state of a server was lost"
        # Callers that have not received the new classes yet still use the former ones.
        simulation.offer_at_random(1.5, 30, [*before.classes, *after.classes], f"both{number}")
        simulation.offer_at_random(2, 30, settings.classes, f"new{number}")
    simulation.finish()
    for at, call, server in simulation.sent:
        pools = simulation.classes[call].allowed_servers
        assert pools is None or simulation.number_of[server] in pools, (at, call, server)
    simulation.run(simulation.now + 20)
    simulation.handle(CallAbandoned(0))
    assert not decisions.sets.by_numbers, "unused sets stay in scope"
    assert not decisions.owners, "calls of unused sets stay"


def test_sets_that_merge_and_split_keep_one_timer_each():
    """Guards against additional timers after each reload, and against pending calls without a timer."""
    merged, split = (
        settings_with(call_class("a", 1, 2)),
        settings_with(call_class("a", 1), call_class("b", 2)),
    )
    decisions = scoped_controller(split)
    simulation = ScopeSimulation(decisions)
    for round_index in range(6):
        for each in decisions.settings.classes:
            simulation.offer(each, caller_timeout_s=60.0)
        decisions.update_settings(merged if round_index % 2 == 0 else split)
        simulation.run(simulation.now + 0.5)
        running_timers = sum(
            simulation.timers[label] for label in simulation.timers if label != IDLE_TIMER_ID
        )
        assert running_timers == len(
            [each for each in decisions.sets.by_numbers.values() if each.controller.pending]
        )
    simulation.finish()


APPLIANCE_CONFIG = (ROOT / "deploy" / "sip.toml").read_text()


@pytest.mark.parametrize(
    ("scope_lines", "error_pattern"),
    [
        ("idle = 5", r"scope\.idle: unknown key; did you mean idle_s"),
        ("idle_s = 0.5", r"scope\.idle_s: expected float >= 1"),
        ('services = [{ classes = ["read-rooster"] }]', r"scope\.services\[0\]\.classes\[0\]: .* did you mean read-roster"),  # noqa: E501
        ("services = [{ classes = [] }]", r"scope\.services\[0\]\.classes: expected array of length >= 1"),
        ('services = [{ classes = ["read-roster"] }, { classes = ["read-roster"] }]', r"scope\.services\[1\]\.classes\[0\]: 'read-roster' is listed twice"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 2 }]', r"scope\.services\[0\]\.softswitches: above settings\.balancers, which is 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 0 }]', r"scope\.services\[0\]\.softswitches: expected int >= 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], me = 0 }]', r"scope\.services\[0\]\.me: must be below softswitches"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 1 }]', r"scope\.services: read-roster and save-roster share servers; their keys softswitches and me must be equal"),  # noqa: E501
        ('services = [{ classes = ["x"], share = 1 }]', r"scope\.services\[0\]\.share: unknown key"),
    ],
)  # fmt: skip
def test_an_unusable_scope_is_rejected_with_the_path_of_its_key(scope_lines, error_pattern):
    """Guards against a silent default of the instance count, which would overload warming servers."""
    with pytest.raises(ConfigError, match=error_pattern):
        parse_appliance(f"{APPLIANCE_CONFIG}\n[scope]\n{scope_lines}\n", "x.toml", {})


def test_a_valid_scope_is_parsed_with_all_its_keys():
    """Guards against keys that are checked and then lost. Without the table there is no scope."""
    assert parse_appliance(APPLIANCE_CONFIG, "x.toml", {}).scope is None
    assert parse_appliance(f"{APPLIANCE_CONFIG}\n[scope]\n", "x.toml", {}).scope == ScopeConfig()
    service = '{ classes = ["read-roster", "save-roster"], softswitches = 1, keep = true }'
    scope = parse_appliance(
        f"{APPLIANCE_CONFIG}\n[scope]\nidle_s = 5\nservices = [{service}]\n", "x.toml", {}
    ).scope
    assert scope == ScopeConfig(5.0, (ServiceConfig(("read-roster", "save-roster"), 1, -1, True),))
