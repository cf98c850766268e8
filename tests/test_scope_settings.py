"""Settings of a scope: how they are read, and what a change of them moves between sets."""

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
RETUNES = {
    "two merge": (call_class("a", 0, 1, 2, 3), B, C),
    "one falls apart": (call_class("a", 0), call_class("d", 1, 2), B, C),
    "a class moves": (A, call_class("b", 5), C),
    "a class goes": (A, C),
    "a class goes and its servers to another": (call_class("a", 0, 1, 2, 4), C),
    "all become one": (A, B, C, call_class("any")),
    "nowhere": (A, CallClass("b", allowed_servers=()), C),
    "all change places": (call_class("a", 5, 3), call_class("b", 0), call_class("c", 1, 2, 4, 6)),
    "the same": (A, B, C),
}


@pytest.mark.parametrize("there_and_back", [False, True], ids=["there", "there and back"])
@pytest.mark.parametrize("name", RETUNES)
def test_other_settings_move_classes_with_all_their_calls_and_setups(name, there_and_back):
    """No call is answered twice or never where sets merge and divide over it, no set-up stays pending for
    good, and what was known is not learnt anew. Servers are slow, so that calls are pending and set-ups are
    out at the very moment; both are counted.
    """
    before = settings_with(A, B, C, instance_count=3, instance_index=1)
    after = replace(before, classes=RETUNES[name])
    decisions = scoped_controller(before, idle_s=8.0)
    simulation = ScopeSimulation(decisions, slow_s=0.5)
    simulation.update_endpoints(*(endpoint(n + 10, n) for n in range(7)))
    simulation.offer_at_random(6, 60, [A, B, C])
    for number, settings in enumerate([after, before] if there_and_back else [after]):
        waiting = {call for each in decisions.sets.by_numbers.values() for call in each.controller.pending}
        open_ones = {call for each in decisions.sets.by_numbers.values() for call in each.controller.calls}
        known = {server: (seen, seen.concurrency_limit) for server, seen in decisions.endpoints.items()}
        if number == 0:
            assert len(waiting) > 5
            assert sum(len(seen.pending_setups) for seen, _ in known.values()) > 3
        decisions.update_settings(settings)
        in_scope = decisions.sets.by_numbers.values()
        assert {call for each in in_scope for call in each.controller.calls} == open_ones
        assert {call for each in in_scope for call in each.controller.pending} == waiting
        assert set(decisions.owners) == open_ones
        assert all(decisions.owners[call] in in_scope for call in open_ones)
        kept = [server for server in known if decisions.in_scope(simulation.number_of[server])]
        assert kept, "nothing that was known is in scope"
        for server in kept:
            seen = decisions.endpoints[server]
            assert (seen, seen.concurrency_limit) == known[server], "learnt anew"
        # The former classes stay for callers that do not know the new ones yet.
        simulation.offer_at_random(1.5, 30, [*before.classes, *after.classes], f"both{number}")
        simulation.offer_at_random(2, 30, settings.classes, f"new{number}")
    simulation.finish()
    for at, call, server in simulation.sent:
        pools = simulation.classes[call].allowed_servers
        assert pools is None or simulation.number_of[server] in pools, (at, call, server)
    simulation.run(simulation.now + 20)
    simulation.handle(CallAbandoned(0))
    assert not decisions.sets.by_numbers, "sets that nobody uses stay"
    assert not decisions.owners, "sets that nobody uses stay"


def test_sets_that_merge_and_divide_keep_one_timer_each():
    """Timers do not multiply with each reload, and no pending call is without one."""
    one, two = settings_with(call_class("a", 1, 2)), settings_with(call_class("a", 1), call_class("b", 2))
    decisions = scoped_controller(two)
    simulation = ScopeSimulation(decisions)
    for turn in range(6):
        for each in decisions.settings.classes:
            simulation.offer(each, caller_timeout_s=60.0)
        decisions.update_settings(one if turn % 2 == 0 else two)
        simulation.run(simulation.now + 0.5)
        out = sum(simulation.timers[label] for label in simulation.timers if label != IDLE_TIMER_ID)
        assert out == len([each for each in decisions.sets.by_numbers.values() if each.controller.pending])
    simulation.finish()


TEXT = (ROOT / "deploy" / "sip.toml").read_text()


@pytest.mark.parametrize(
    ("more", "complaint"),
    [
        ("idle = 5", r"scope\.idle: unknown key; did you mean idle_s"),
        ("idle_s = 0.5", r"scope\.idle_s: expected float >= 1"),
        ('services = [{ classes = ["read-rooster"] }]', r"scope\.services\[0\]\.classes\[0\]: .* did you mean read-roster"),  # noqa: E501
        ("services = [{ classes = [] }]", r"scope\.services\[0\]\.classes: expected array of length >= 1"),
        ('services = [{ classes = ["read-roster"] }, { classes = ["read-roster"] }]', r"scope\.services\[1\]\.classes\[0\]: 'read-roster' is listed twice"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 2 }]', r"scope\.services\[0\]\.softswitches: above settings\.balancers, which is 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 0 }]', r"scope\.services\[0\]\.softswitches: expected int >= 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], me = 0 }]', r"scope\.services\[0\]\.me: must be below softswitches"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 1 }]', r"scope\.services: read-roster and save-roster share servers; their softswitches and me must be the same"),  # noqa: E501
        ('services = [{ classes = ["x"], share = 1 }]', r"scope\.services\[0\]\.share: unknown key"),
    ],
)  # fmt: skip
def test_an_unusable_scope_is_named(more, complaint):
    """No divisor takes a default without a word, by which warming servers would be overloaded."""
    with pytest.raises(ConfigError, match=complaint):
        parse_appliance(f"{TEXT}\n[scope]\n{more}\n", "x.toml", {})


def test_a_scope_is_read_as_it_is_given():
    """No key is checked and then lost, and a missing table is no scope."""
    assert parse_appliance(TEXT, "x.toml", {}).scope is None
    assert parse_appliance(f"{TEXT}\n[scope]\n", "x.toml", {}).scope == ScopeConfig()
    both = '{ classes = ["read-roster", "save-roster"], softswitches = 1, keep = true }'
    scope = parse_appliance(f"{TEXT}\n[scope]\nidle_s = 5\nservices = [{both}]\n", "x.toml", {}).scope
    assert scope == ScopeConfig(5.0, (ServiceConfig(("read-roster", "save-roster"), 1, -1, True),))
