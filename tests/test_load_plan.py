"""The file of a load, and the calls and sources that are drawn from it."""

from __future__ import annotations

from typing import Any

import pytest

from stairhatch.load_test.arrivals import call_sources, scheduled_calls
from stairhatch.load_test.errors import LoadPlanError
from stairhatch.load_test.load_plan import LoadPlan, Transport, read_load_plan

from .support.load_plans import two_class_plan

ONE_PHASE = "[[phase]]\nseconds = 1\nrate = 1\n"


def source_plan(**keys: Any) -> LoadPlan:
    return two_class_plan(offices=10, **keys)


def test_the_same_seed_draws_the_same_calls_however_many_processes_place_them():
    """A load does not change with the machine it runs on."""
    plan = two_class_plan()

    calls = list(scheduled_calls(plan, 3))
    by_workers = [call for worker in range(4) for call in scheduled_calls(plan, 3, worker, 4)]

    assert sorted(by_workers, key=lambda call: call.serial) == calls
    assert calls != list(scheduled_calls(plan, 4))
    assert [call.serial for call in calls] == list(range(len(calls)))


def test_calls_come_at_the_rate_and_in_the_fractions_of_the_plan():
    """A load is the one that its file describes."""
    calls = list(scheduled_calls(two_class_plan(), 3))

    saves = sum(call.load_class.name == "save-roster" for call in calls)
    assert 900 < len(calls) < 1100
    assert 0.2 < saves / len(calls) < 0.3


def test_ramps_half_sines_and_bursts_change_the_rate_where_they_say():
    """A load is the one that its file describes."""
    plan = two_class_plan(
        phase=[
            {"seconds": 10, "rate": 10, "to_rate": 30},
            {"seconds": 10, "rate": 10, "to_rate": 30, "day": True},
        ],
        burst=[{"at": 4, "seconds": 2, "times": 3}],
    )

    in_burst = [call for call in scheduled_calls(plan, 1) if 4 <= call.at_s < 6]

    assert [plan.rate(at_s) for at_s in (0, 3, 5, 10, 15, 20)] == [10, 16, 60, 10, 30, 0]
    assert plan.rate_bound() >= max(plan.rate(tenth / 10) for tenth in range(200))
    assert 80 < len(in_burst) < 150


def test_sources_have_their_traits_in_the_fractions_of_the_plan():
    """No fraction rounds away: one source in ten that ignores overload control is one of ten."""
    sources = call_sources(source_plan(tcp=0.3, habits={"oc": 0.4, "oc_lies": 0.1, "obeys": 0.5}))

    ignoring = [each for each in sources if each.ignores_overload_control]
    assert sum(each.transport is Transport.TCP for each in sources) == 3
    assert sum(each.offers_overload_control for each in sources) == 5
    assert len(ignoring) == 1
    assert sum(each.obeys_retry_after for each in sources) == 5
    assert all(each.offers_overload_control for each in ignoring)


def test_a_heavy_source_has_so_many_times_the_calls_of_another():
    """The factor is of one source's calls, not of all calls."""
    calls = list(scheduled_calls(source_plan(heavy=20.0), 1))

    assert 0.6 < sum(call.source == 0 for call in calls) / len(calls) < 0.78


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("offices = 0", "offices"),
        ("phase = []", "phase"),
        ("[[phase]]\nseconds = 1\nrate = -1", r"phase\[0\].rate"),
        (ONE_PHASE + "warp = 9", "warp"),
        ("x = ", "Invalid value"),
        (ONE_PHASE + '[[kind]]\nname = "a"\nshare = 0.5\nnumber = "1"', "shares"),
        (ONE_PHASE + "[habits]\noc = 0.7\noc_lies = 0.7", "oc_lies"),
    ],
)
def test_a_file_that_cannot_be_used_is_rejected_with_its_name_and_the_key(tmp_path, text, key):
    """A mistyped key does not change the load without a word."""
    path = tmp_path / "x.toml"
    path.write_text(text)

    with pytest.raises(LoadPlanError, match=key) as error:
        read_load_plan(path)

    assert str(path) in str(error.value)
