"""Tests of rule 4 with 20 and 30 softswitches: they must not overload a server that is warming up.

With a budget of N set-ups per window, at most 2 sqrt(N) + 2 more are attributed to chance (issue 35). The
real decisions run on the virtual clock of `benchmarks/slow_start/simulation.py`, which counts the set-ups
that reach the warming server; `docs/cold.md` has the derivation.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from benchmarks.slow_start.results import SlowStartResult
from benchmarks.slow_start.scenarios import Scenario, Site
from benchmarks.slow_start.servers import WARMING
from benchmarks.slow_start.simulation import SlowStartSimulation
from stairhatch.overload.events import EndpointRecord, EndpointsUpdated, LoadReport, LoadReported
from stairhatch.overload.settings import SafetyLimits
from stairhatch.overload.slow_start import SlowStart

SMALL_SITE = Site(capacity=30.0, servers=3)
KELP_WATCH = Site(
    safety=SafetyLimits(0, 0.7, 0.5, 9.0, 2.0, 1.0),
    retransmit_s=0.6,
    connect_timeout_s=0.35,
    call_duration_s=5.0,
    capacity=20.0,
    load=0.8,
    servers=3,
)
MOSS_LINE = Site(
    safety=SafetyLimits(0, 1.5, 0.2, 20.0, 4.0, 2.5),
    retransmit_s=0.0,
    connect_timeout_s=0.8,
    call_duration_s=12.0,
    capacity=15.0,
    load=0.9,
    servers=3,
)


def drawn_site(seed: int) -> Site:
    """Return a site with random values of all settings that rule 4 or the rate of slow start depends on."""
    rng = random.Random(seed)
    safety = SafetyLimits(
        initial_capacity_fraction=rng.uniform(0.2, 0.6),
        warm_up_s=rng.uniform(5.0, 12.0),
        overload_multiple=rng.uniform(1.3, 4.0),
        overload_window_s=rng.uniform(0.5, 2.5),
    )
    return Site(
        safety=safety,
        retransmit_s=rng.choice((0.0, 0.6, 0.8)),
        connect_timeout_s=rng.choice((0.35, 0.5, 0.8)),
        call_duration_s=rng.uniform(4.0, 14.0),
        capacity=rng.uniform(6.0, 40.0),
        load=rng.uniform(0.5, 1.0),
        servers=3,
        reports_lines=rng.random() < 0.7,
        reports_rate=rng.random() < 0.6,
        warms_evenly=rng.random() < 0.7,
        lines_factor=rng.choice((1.0, 1.3)),
    )


def took_effect(scenario: Scenario, members: int, result: SlowStartResult) -> bool:
    """Return whether the scenario's changes to members and connections happened; else it tested nothing."""
    required_activations = {
        Scenario.RESTARTED: members // 2,
        Scenario.BOTH: members // 2,
        Scenario.LATE: members // 5,
        Scenario.RENUMBERED: members,
        Scenario.LINKS_LATE: members,
    }
    return result.activations >= required_activations.get(scenario, 0)


@pytest.mark.parametrize("members", [20, 30])
@pytest.mark.parametrize("scenario", Scenario)
def test_no_window_of_a_warming_server_exceeds_the_budget_and_its_chance_margin(scenario, members):
    """A fleet must not overload a warming server at any kind of site."""
    for seed in range(10):
        site = SMALL_SITE if seed % 4 == 0 else drawn_site(seed)

        result = SlowStartSimulation(site, scenario, members, seed).run()

        window = result.fullest_window()
        bound = site.bound(window.began_s)
        assert window.bound_fraction <= 1.0, f"seed {seed}: {window}, of {bound:.1f}"
        assert took_effect(scenario, members, result)


@pytest.mark.parametrize("site", [KELP_WATCH, MOSS_LINE], ids=["kelp-watch", "moss-line"])
@pytest.mark.parametrize("scenario", [Scenario.ALONE, Scenario.BOTH])
def test_no_window_exceeds_the_bound_at_the_example_sites(scenario, site):
    """The bound must hold for other deployments too; the sites have the figures of `deploy/sites/`."""
    for members in (20, 30):
        result = SlowStartSimulation(site, scenario, members, 1).run()
        assert result.fullest_window().bound_fraction <= 1.0


def test_a_fleet_without_slow_start_slots_exceeds_the_bound(monkeypatch):
    """Shows that the offered load is high enough and that the check detects a fleet that sends too much."""
    monkeypatch.setattr(SlowStart, "has_slot", lambda *_: True)

    result = SlowStartSimulation(replace(Site(), capacity=15.0), Scenario.ALONE, 30, 1).run()

    assert result.fullest_window().bound_fraction > 1.0


@pytest.mark.parametrize(
    ("lines", "scenario", "least"),
    [
        (True, Scenario.ALONE, 0.4),
        (False, Scenario.ALONE, 0.3),
        (True, Scenario.BOTH, 0.25),
        (False, Scenario.BOTH, 0.2),
    ],
)
def test_slow_start_uses_enough_of_the_capacity_within_the_bound(lines, scenario, least):
    """Too slow a start rejects calls while the warming server is idle. While the reported rate was not used,
    the server got these fractions of its capacity in the first 12 s: 0.32 with reported lines, 0.12 without;
    with half of the processes new, 0.18 and 0.09.
    """
    site = Site(reports_lines=lines)

    results = [SlowStartSimulation(site, scenario, members, members).run() for members in (20, 30)]

    bearable = sum(result.bearable_early_setups() for result in results)
    assert sum(result.early_setups() for result in results) >= least * bearable


def admissible_rate_after_restart(report: LoadReport | None) -> float:
    """Return the rate that one member admits to a restarted server, given its report before the restart."""
    simulation = SlowStartSimulation(Site(), Scenario.CALM, 20, 1)
    member = simulation.members[0]
    simulation.handle(member, EndpointsUpdated((EndpointRecord(WARMING, 0),), False))
    if report is not None:
        simulation.handle(member, LoadReported(WARMING, report))
    restarted = EndpointRecord(WARMING, 0, started_at=simulation.now)
    simulation.handle(member, EndpointsUpdated((restarted,), False))
    controller = member.controller
    assert controller is not None
    return controller.parts.slow_start.admissible_rate(simulation.now, controller.endpoints[WARMING])


def test_reports_from_before_a_restart_do_not_raise_the_admissible_rate():
    """A warming server must not get the rate that its previous process could sustain."""
    rate_without_report = admissible_rate_after_restart(None)
    rate_with_report = admissible_rate_after_restart(
        LoadReport(free_lines=10.0, total_lines=360.0, admissible_rate=40.0)
    )
    assert 0 < rate_with_report < 1.1 * rate_without_report
