"""The file of a load, and the calls and sources drawn from it."""

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


def test_the_same_seed_draws_the_same_calls_for_any_number_of_workers():
    """A load does not depend on the number of worker processes, which varies between machines."""
    plan = two_class_plan()

    calls = list(scheduled_calls(plan, 3))
    by_workers = [call for worker in range(4) for call in scheduled_calls(plan, 3, worker, 4)]

    assert sorted(by_workers, key=lambda call: call.serial) == calls
    assert calls != list(scheduled_calls(plan, 4))
    assert [call.serial for call in calls] == list(range(len(calls)))


def test_calls_arrive_at_the_rate_and_in_the_class_fractions_of_the_plan():
    """Drawn calls match the arrival rate and the class fractions of the plan, within sampling error."""
    calls = list(scheduled_calls(two_class_plan(), 3))

    saves = sum(call.load_class.name == "save-roster" for call in calls)
    assert 900 < len(calls) < 1100
    assert 0.2 < saves / len(calls) < 0.3


def test_ramps_half_sines_and_bursts_change_the_rate_at_their_times():
    """A half sine rises to `to_rate` and falls back; a burst multiplies the rate of the phase."""
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
    """A small fraction is not rounded to zero: 0.1 of ten sources is one source."""
    sources = call_sources(source_plan(tcp=0.3, habits={"oc": 0.4, "oc_lies": 0.1, "obeys": 0.5}))

    ignoring = [each for each in sources if each.ignores_overload_control]
    assert sum(each.transport is Transport.TCP for each in sources) == 3
    assert sum(each.offers_overload_control for each in sources) == 5
    assert len(ignoring) == 1
    assert sum(each.obeys_retry_after for each in sources) == 5
    assert all(each.offers_overload_control for each in ignoring)


def test_a_heavy_source_has_a_multiple_of_the_calls_of_another_source():
    """The factor relates to the calls of one other source, not to those of all others."""
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
def test_an_invalid_file_is_rejected_with_its_path_and_the_key(tmp_path, text, key):
    """A mistyped key is reported and not ignored."""
    path = tmp_path / "x.toml"
    path.write_text(text)

    with pytest.raises(LoadPlanError, match=key) as error:
        read_load_plan(path)

    assert str(path) in str(error.value)
