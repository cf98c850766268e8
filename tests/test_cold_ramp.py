"""Rule 4 with twenty and thirty softswitches: beyond the budget of N set-ups a window only 2 root N + 2
are put down to chance (issue 35). The real decisions run on the virtual clock of `benchmarks/cold_ramp.py`,
and its checker counts what reaches the warming server; `docs/cold.md` has the derivation.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from benchmarks.cold_ramp import COLD, Ramp, Result, Site, Story
from stairhatch.overload.events import EndpointRecord, EndpointsUpdated, LoadReport, LoadReported
from stairhatch.overload.settings import SafetyLimits
from stairhatch.overload.slow_start import SlowStart

SMALL = Site(capacity=30.0, servers=3)


def drawn(seed: int) -> Site:
    """Settings and servers of other sites: every figure that the rule or the pace depends on."""
    chance = random.Random(seed)
    cold_from = chance.uniform(0.2, 0.6)
    safety = SafetyLimits(
        initial_capacity_fraction=cold_from,
        warm_up_s=chance.uniform(5.0, 12.0),
        overload_multiple=chance.uniform(1.3, 4.0),
        overload_window_s=chance.uniform(0.5, 2.5),
    )
    return Site(
        safety,
        retransmit_s=chance.choice((0.0, 0.6, 0.8)),
        connect_timeout_s=chance.choice((0.35, 0.5, 0.8)),
        length_s=chance.uniform(4.0, 14.0),
        capacity=chance.uniform(6.0, 40.0),
        load=chance.uniform(0.5, 1.0),
        servers=3,
        tells_lines=chance.random() < 0.7,
        tells_rate=chance.random() < 0.6,
        even=chance.random() < 0.7,
        overtold=chance.choice((1.0, 1.3)),
    )


def bitten(story: Story, processes: int, result: Result) -> bool:
    """Whether what the story does to processes and links has happened, so that the bound was tested."""
    least = {
        Story.RESTARTED: processes // 2,
        Story.BOTH: processes // 2,
        Story.LATE: processes // 5,
        Story.RENUMBERED: processes,
        Story.LINKS_LATE: processes,
    }
    return result.bites >= least.get(story, 0)


@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("story", Story)
def test_no_window_of_a_warming_server_goes_beyond_the_budget_and_chance(story, processes):
    """A fleet does not push a warming server over, at sites of all kinds."""
    for seed in range(10):
        site = SMALL if seed % 4 == 0 else drawn(seed)
        result = Ramp(site, story, processes, seed).run()
        share, count, begun = result.fullest()
        assert share <= 1.0, f"seed {seed}: {count} set-ups from {begun:.2f} s on, of {site.bound(begun):.1f}"
        assert bitten(story, processes, result)


KELP = Site(SafetyLimits(0, 0.7, 0.5, 9.0, 2.0, 1.0), 0.6, 0.35, 5.0, 20.0, 0.8, servers=3)
MOSS = Site(SafetyLimits(0, 1.5, 0.2, 20.0, 4.0, 2.5), 0.0, 0.8, 12.0, 15.0, 0.9, servers=3)


@pytest.mark.parametrize("site", [KELP, MOSS], ids=["kelp-watch", "moss-line"])
@pytest.mark.parametrize("story", [Story.ALONE, Story.BOTH])
def test_no_window_goes_beyond_it_at_the_made_up_sites(story, site):
    """The pace is right for other deployments too: these are the figures of `deploy/sites/`."""
    for processes in (20, 30):
        assert Ramp(site, story, processes, 1).run().fullest()[0] <= 1.0


def test_the_checker_tells_a_fleet_that_sends_too_much(monkeypatch):
    """Without slow-start slots the bound is broken, so the checker and the load are worth something."""
    monkeypatch.setattr(SlowStart, "has_slot", lambda slow_start, now, endpoint: True)
    assert Ramp(replace(Site(), capacity=15.0), Story.ALONE, 30, 1).run().fullest()[0] > 1.0


@pytest.mark.parametrize(
    ("lines", "story", "least"),
    [
        (True, Story.ALONE, 0.4),
        (False, Story.ALONE, 0.3),
        (True, Story.BOTH, 0.25),
        (False, Story.BOTH, 0.2),
    ],
)
def test_what_the_bound_leaves_is_used(lines, story, least):
    """A timid slow start rejects calls while a warming server idles. Of what it can bear in the first 12 s
    it got 0.32 where lines are reported and 0.12 where none are, and with half of the processes new 0.18 and
    0.09, while the rate that it reports was not used.
    """
    found = [Ramp(Site(tells_lines=lines), story, n, n).run() for n in (20, 30)]
    assert sum(each.early() for each in found) >= least * sum(each.bearable() for each in found)


def test_what_a_server_reported_before_it_started_anew_counts_no_more():
    """A warming server must not get what the process before it was able to do."""
    rates = []
    for told in (False, True):
        ramp = Ramp(Site(), Story.CALM, 20, 1)
        process = ramp.fleet[0]
        assert process.core is not None
        ramp.tell(process, EndpointsUpdated((EndpointRecord(COLD, 0),), False))
        if told:
            ramp.tell(
                process,
                LoadReported(COLD, LoadReport(free_lines=10.0, total_lines=360.0, admissible_rate=40.0)),
            )
        anew = EndpointRecord(COLD, 0, started_at=ramp.now)
        ramp.tell(process, EndpointsUpdated((anew,), False))
        rates.append(process.core.parts.slow_start.admissible_rate(ramp.now, process.core.endpoints[COLD]))
    assert 0 < rates[1] < 1.1 * rates[0]
