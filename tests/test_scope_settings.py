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
from .support.scope_simulation import World, kind, line, scoped, settings_of

A, B, C = kind("a", 0, 1, 2), kind("b", 3, 4), kind("c", 5, 6, priority_weight=2.0)
RETUNES = {
    "two merge": (kind("a", 0, 1, 2, 3), B, C),
    "one falls apart": (kind("a", 0), kind("d", 1, 2), B, C),
    "a class moves": (A, kind("b", 5), C),
    "a class goes": (A, C),
    "a class goes and its servers to another": (kind("a", 0, 1, 2, 4), C),
    "all become one": (A, B, C, kind("any")),
    "nowhere": (A, CallClass("b", allowed_servers=()), C),
    "all change places": (kind("a", 5, 3), kind("b", 0), kind("c", 1, 2, 4, 6)),
    "the same": (A, B, C),
}


@pytest.mark.parametrize("there_and_back", [False, True], ids=["there", "there and back"])
@pytest.mark.parametrize("name", RETUNES)
def test_other_settings_move_classes_with_all_that_is_under_way(name, there_and_back):
    """Guards against calls that are answered twice or never where sets merge and fall apart over them,
    against set-ups that stay unanswered for good, and against learning anew what was known. Servers are slow,
    so that calls wait, and set-ups are out, at the very moment; both are counted.
    """
    before = settings_of(A, B, C, instance_count=3, instance_index=1)
    after = replace(before, classes=RETUNES[name])
    decisions = scoped(before, idle_s=8.0)
    world = World(decisions, slow_s=0.5)
    world.listed(*(line(n + 10, n) for n in range(7)))
    world.busy(6, 60, [A, B, C])
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
        kept = [server for server in known if decisions.in_scope(world.number_of[server])]
        assert kept, "nothing that was known is in scope"
        for server in kept:
            seen = decisions.endpoints[server]
            assert (seen, seen.concurrency_limit) == known[server], "learnt anew"
        # The old classes live on for callers who have not heard of the new ones.
        world.busy(1.5, 30, [*before.classes, *after.classes], f"both{number}")
        world.busy(2, 30, settings.classes, f"new{number}")
    world.finish()
    for at, call, server in world.sent:
        pools = world.kinds[call].allowed_servers
        assert pools is None or world.number_of[server] in pools, (at, call, server)
    world.run(world.now + 20)
    world.tell(CallAbandoned(0))
    assert not decisions.sets.by_numbers, "sets that nobody uses stay"
    assert not decisions.owners, "sets that nobody uses stay"


def test_a_set_made_of_two_keeps_one_timer_and_of_one_made_of_two_each_is_woken():
    """Guards against timers that multiply with each reload, and calls that wait with none."""
    one, two = settings_of(kind("a", 1, 2)), settings_of(kind("a", 1), kind("b", 2))
    decisions = scoped(two)
    world = World(decisions)
    for turn in range(6):
        for each in decisions.settings.classes:
            world.offer(each, grace_s=60.0)
        decisions.update_settings(one if turn % 2 == 0 else two)
        world.run(world.now + 0.5)
        out = sum(world.timers[label] for label in world.timers if label != IDLE_TIMER_ID)
        assert out == len([each for each in decisions.sets.by_numbers.values() if each.controller.pending])
    world.finish()


TEXT = (ROOT / "deploy" / "sip.toml").read_text()


@pytest.mark.parametrize(
    ("more", "complaint"),
    [
        ("idle = 5", r"scope\.idle: unknown key; did you mean idle_s"),
        ("idle_s = 0.5", r"scope\.idle_s: expected float >= 1"),
        ('services = [{ classes = ["read-rooster"] }]', r"scope\.services\[0\]\.classes\[0\]: .* did you mean read-roster"),  # noqa: E501
        ("services = [{ classes = [] }]", r"scope\.services\[0\]\.classes: expected array of length >= 1"),
        ('services = [{ classes = ["read-roster"] }, { classes = ["read-roster"] }]', r"scope\.services\[1\]\.classes\[0\]: 'read-roster' stands twice"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 2 }]', r"scope\.services\[0\]\.softswitches: above settings\.balancers, which is 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 0 }]', r"scope\.services\[0\]\.softswitches: expected int >= 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], me = 0 }]', r"scope\.services\[0\]\.me: must be below softswitches"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 1 }]', r"scope\.services: read-roster and save-roster share servers: tell the same"),  # noqa: E501
        ('services = [{ classes = ["x"], share = 1 }]', r"scope\.services\[0\]\.share: unknown key"),
    ],
)  # fmt: skip
def test_a_scope_that_cannot_be_used_is_named(more, complaint):
    """Guards against a divisor that takes a default without a word: cold servers are pushed over by that."""
    with pytest.raises(ConfigError, match=complaint):
        parse_appliance(f"{TEXT}\n[scope]\n{more}\n", "x.toml", {})


def test_a_scope_as_it_is_read():
    """Guards against keys that are checked and lost, and a table that counts where it does not stand."""
    assert parse_appliance(TEXT, "x.toml", {}).scope is None
    assert parse_appliance(f"{TEXT}\n[scope]\n", "x.toml", {}).scope == ScopeConfig()
    both = '{ classes = ["read-roster", "save-roster"], softswitches = 1, keep = true }'
    told = parse_appliance(f"{TEXT}\n[scope]\nidle_s = 5\nservices = [{both}]\n", "x.toml", {}).scope
    assert told == ScopeConfig(5.0, (ServiceConfig(("read-roster", "save-roster"), 1, -1, True),))
