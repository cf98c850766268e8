"""Tests of admission control: the overload level, the rate limits, and shedding by weight."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairhatch.admission.admission_control import (
    AdmissionControl,
    AdmissionOutcome,
    AdmissionPolicy,
    RequestKind,
    shed_fractions_by_weight,
)
from stairhatch.admission.overload_detector import OverloadDetector, OverloadDetectorPolicy, OverloadLevel
from stairhatch.admission.rate_limits import RateLimitPolicy, SourceRateLimiter

from .support.hypothesis_profile import BOUNDED

STEP_S = 0.05


def observe_delays(detector, now, *delays, rate=100.0):
    """Report delays one step apart, with calls of which the current fraction is shed.

    Returns the time of the last delay.
    """
    rng = random.Random(7)
    for delay in delays:
        now += STEP_S
        for _ in range(int(rate * STEP_S)):
            detector.count_call(rng.random() >= detector.current_shed_fraction(now))
        detector.observe_delay(now, delay)
    return now


def test_the_level_rises_and_falls_at_different_delays():
    """Guards against a level that oscillates with each delay (no hysteresis) or never falls."""
    detector = OverloadDetector()
    now = observe_delays(detector, 0.0, *[0.03] * 100)
    assert detector.level is OverloadLevel.NORMAL
    assert detector.current_shed_fraction(now) == 0.0
    now = observe_delays(detector, now, *[0.08] * 60)
    assert detector.level is OverloadLevel.OVERLOADED
    assert detector.current_shed_fraction(now) > 0.5
    now = observe_delays(detector, now, *[0.03] * 3)
    assert detector.level is OverloadLevel.OVERLOADED
    now = observe_delays(detector, now, *[0.001] * 400)
    assert detector.level is OverloadLevel.NORMAL
    assert detector.shed_fraction == 0.0
    assert detector.level_changes == 2


def test_a_saturated_processor_sheds_all_new_calls_and_recovers():
    """Guards against serving abandoned calls first after a stall, and against a level that never falls."""
    detector = OverloadDetector()
    now = observe_delays(detector, 0.0, *[1.0] * 5)
    assert detector.level is OverloadLevel.SATURATED
    assert detector.current_shed_fraction(now) == 1.0
    now = observe_delays(detector, now, *[0.001] * 30)
    assert detector.level is OverloadLevel.OVERLOADED
    assert detector.current_shed_fraction(now) < 1.0
    observe_delays(detector, now, *[0.001] * 600)
    assert detector.level is OverloadLevel.NORMAL


def goodput(offered, capacity=1000.0, shed_cost=0.08, seconds=12.0):
    """Simulate a processor behind a bounded queue, like a socket's buffer.

    Returns the calls served per second and the longest wait, both over the last two thirds of the time.
    """
    rng, admission = random.Random(11), AdmissionControl(random.Random(12).random)
    now = waiting = served = longest_wait_s = 0.0
    step = 0.01
    while now < seconds:
        now += step
        for _ in range(int(offered(now) * step + rng.random())):
            if waiting / capacity > 0.25:
                continue  # the socket buffer is full, so the datagram is lost
            decision = admission.admit(RequestKind.NEW_CALL, "a", 1.0, now)
            waiting += 1.0 if decision.outcome is AdmissionOutcome.ADMITTED else shed_cost
            served += decision.outcome is AdmissionOutcome.ADMITTED and now > seconds / 3
        waiting = max(0.0, waiting - capacity * step)
        admission.overload.observe_delay(now, waiting / capacity)
        longest_wait_s = max(longest_wait_s, waiting / capacity if now > seconds / 3 else 0.0)
    return served / (seconds * 2 / 3), longest_wait_s


@pytest.mark.parametrize("load", [0.8, 1.1, 1.5, 2.0, 3.0])
def test_goodput_holds_above_capacity(load):
    """Guards against a collapse above capacity, and against shedding calls that could be served.

    The goodput is at least 0.9 of the capacity that the cost of shedding leaves, with a short queue.
    """
    served, longest_wait_s = goodput(lambda _now: 1000.0 * load)
    available = 1000.0 * (1 - 0.08 * load) / (1 - 0.08) if load > 1 else 1000.0 * load
    assert served > 0.9 * available
    assert longest_wait_s < 0.25


def test_after_a_surge_all_calls_are_served_within_three_seconds():
    """Guards against goodput that stays low after a surge of three times the capacity."""
    served, _ = goodput(lambda now: 3000.0 if now < 4.0 else 900.0, seconds=12.0 * 1.0)
    recovered, _ = goodput(lambda now: 3000.0 if now < 5.0 else 900.0, seconds=24.0)
    assert served > 0.75 * 900
    assert recovered > 0.97 * 900


def test_with_stale_delays_nothing_is_shed():
    """Guards against shedding for ever because of an old delay."""
    detector = OverloadDetector()
    now = observe_delays(detector, 0.0, *[1.0] * 5)
    assert detector.current_shed_fraction(now + detector.policy.stale_s + 0.1) == 0.0


@BOUNDED
@given(st.lists(st.floats(0, 2), max_size=200))
def test_the_shed_fraction_is_in_range_for_any_delays(delays):
    """Guards against a fraction outside its range, and against shedding at the level NORMAL."""
    detector = OverloadDetector()
    now = 0.0
    for delay in delays:
        now = observe_delays(detector, now, delay)
        assert 0.0 <= detector.shed_fraction <= detector.policy.max_shed_fraction
        assert detector.level is not OverloadLevel.NORMAL or detector.current_shed_fraction(now) == 0.0


@BOUNDED
@given(st.dictionaries(st.floats(0, 10), st.floats(0.001, 1), min_size=1, max_size=5), st.floats(0, 1))
def test_the_least_weight_is_shed_first_and_the_total_is_as_requested(mix, shed_fraction):
    """Guards against shedding calls of a greater weight while calls of a lesser weight are served."""
    shed_by_weight = shed_fractions_by_weight(mix, shed_fraction)
    total = sum(mix.values())
    assert (
        abs(sum(shed_by_weight[weight] * mix[weight] for weight in mix) - shed_fraction * total)
        < 1e-6 * total + 1e-9
    )
    weights = sorted(mix)
    for less, more in itertools.pairwise(weights):
        assert shed_by_weight[less] == pytest.approx(1.0) or shed_by_weight[more] == pytest.approx(
            0.0, abs=1e-9
        )


def served_fractions(seconds, policy, overloaded, others=3):
    """Simulate one source at twenty times the rate of each other; return each source's served fraction."""
    rng, limiter, now = random.Random(1), SourceRateLimiter(policy), 0.0
    offered_calls, served = {}, {}
    sources = ["10.0.0.66"] * 20 * others + [f"10.0.{n + 1}.7" for n in range(others)] * others
    while now < seconds:
        now += rng.expovariate(400.0)
        source = rng.choice(sources)
        offered_calls[source] = offered_calls.get(source, 0) + 1
        served[source] = served.get(source, 0) + (limiter.take(source, now, overloaded) == 0.0)
    return {source: served[source] / offered_calls[source] for source in offered_calls}


def test_one_source_at_twenty_times_its_rate_does_not_harm_the_others():
    """Guards against one source that crowds out others in overload, and against limits without overload."""
    policy = RateLimitPolicy(source_rate=20, source_burst=20)
    fractions = served_fractions(20.0, policy, overloaded=True)
    assert fractions.pop("10.0.0.66") < 0.2
    assert min(fractions.values()) > 0.95
    assert min(served_fractions(20.0, policy, overloaded=False).values()) == 1.0


def test_a_site_behind_one_proxy_is_not_limited():
    """Guards against a limit that protects nobody: all callers come from the only source."""
    limiter = SourceRateLimiter(RateLimitPolicy(source_rate=1, source_burst=1))
    assert all(limiter.take("10.0.0.1", 0.01 * n, True) == 0.0 for n in range(200))
    assert limiter.take("10.0.0.2", 2.0, True) == 0.0
    limiter.take("10.0.0.1", 2.0, True)
    assert limiter.take("10.0.0.1", 2.0, True) > 0.0


def test_forged_sources_use_bounded_memory_and_share_their_networks_bucket():
    """Guards against tables that grow with addresses, and a call storm spread over a network."""
    policy = RateLimitPolicy(max_buckets=100, network_rate=10, network_burst=10)
    limiter, served = SourceRateLimiter(policy), 0
    limiter.take("192.168.1.1", 0.0, True)
    for number in range(5000):
        served += limiter.take(f"10.1.2.{number % 250}", number * 0.0001, True) == 0.0
        assert len(limiter.sources) <= 100
        assert len(limiter._network_names) <= 100  # noqa: SLF001  # the table is private
    assert served <= 10 + 10 * 0.5 + 1
    assert limiter.take("192.168.1.1", 1.0, True) == 0.0


def test_requests_in_dialogs_are_never_shed():
    """Guards against calls that cannot be released while the softswitch is overloaded."""
    admission = AdmissionControl(lambda: 0.0)
    now = observe_delays(admission.overload, 0.0, *[1.0] * 5)
    assert admission.admit(RequestKind.IN_DIALOG, "a", 0.0, now).outcome is AdmissionOutcome.ADMITTED
    decision = admission.admit(RequestKind.NEW_CALL, "a", 3.0, now)
    assert decision.outcome is AdmissionOutcome.SHED_LOAD
    assert 1 <= decision.retry_after_s <= 5
    assert admission.admit(RequestKind.OTHER, "a", 0.0, now).outcome is AdmissionOutcome.SHED_LOAD


def test_calls_of_greater_weight_are_served_while_others_are_shed():
    """Guards against shedding calls of a greater weight while the mix of weights changes."""
    rng = random.Random(3)
    admission = AdmissionControl(
        rng.random,
        AdmissionPolicy(OverloadDetectorPolicy(), RateLimitPolicy(source_rate=1e6, source_burst=1e6)),
    )
    now = observe_delays(admission.overload, 0.0, *[0.08] * 5)
    admission.overload.shed_fraction = 0.4
    counts = {1.0: [0, 0], 3.0: [0, 0]}
    for _ in range(4000):
        weight = 1.0 if rng.random() < 0.7 else 3.0
        counts[weight][0] += 1
        counts[weight][1] += (
            admission.admit(RequestKind.NEW_CALL, "a", weight, now).outcome is AdmissionOutcome.ADMITTED
        )
    assert counts[3.0][1] / counts[3.0][0] > 0.95
    assert 0.35 < counts[1.0][1] / counts[1.0][0] < 0.55
