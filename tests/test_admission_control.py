"""What the softswitch itself can take: the overload level, rate limits, and the order of weight."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import HealthCheck, given, settings
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

BOUNDED = settings(
    derandomize=True, max_examples=150, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip
SPAN_S = 0.05


def observe_delays(detector, now, *delays, rate=100.0):
    """Observe delays a span apart, with calls of which the current fraction is shed; returns the time after
    them.
    """
    chance = random.Random(7)
    for delay in delays:
        now += SPAN_S
        for _ in range(int(rate * SPAN_S)):
            detector.count_call(chance.random() >= detector.current_shed_fraction(now))
        detector.observe_delay(now, delay)
    return now


def test_the_level_rises_and_falls_at_different_delays():
    """The level neither swings with every observation (hysteresis) nor stays for ever."""
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


def test_a_full_processor_sheds_all_new_calls_and_recovers():
    """After a stall calls that were given up are not served first, and the level falls again."""
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
    """A processor behind a bounded queue, as a socket's buffer is; returns calls served a second, over the
    last two thirds, and the longest wait then.
    """
    chance, admission = random.Random(11), AdmissionControl(random.Random(12).random)
    now = waiting = served = worst = 0.0
    step = 0.01
    while now < seconds:
        now += step
        for _ in range(int(offered(now) * step + chance.random())):
            if waiting / capacity > 0.25:
                continue  # the socket is full: nobody hears of it
            decision = admission.admit(RequestKind.NEW_CALL, "a", 1.0, now)
            waiting += 1.0 if decision.outcome is AdmissionOutcome.ADMITTED else shed_cost
            served += decision.outcome is AdmissionOutcome.ADMITTED and now > seconds / 3
        waiting = max(0.0, waiting - capacity * step)
        admission.overload.observe_delay(now, waiting / capacity)
        worst = max(worst, waiting / capacity if now > seconds / 3 else 0.0)
    return served / (seconds * 2 / 3), worst


@pytest.mark.parametrize("load", [0.8, 1.1, 1.5, 2.0, 3.0])
def test_goodput_holds_past_capacity(load):
    """There is no collapse past capacity, and nothing is shed that could be served: at least 0.9 of what the
    shedding itself leaves, with a short queue.
    """
    served, worst = goodput(lambda _now: 1000.0 * load)
    left = 1000.0 * (1 - 0.08 * load) / (1 - 0.08) if load > 1 else 1000.0 * load
    assert served > 0.9 * left
    assert worst < 0.25


def test_after_a_surge_all_are_served_within_three_seconds():
    """After three times the capacity for a while goodput is back in full."""
    served, _ = goodput(lambda now: 3000.0 if now < 4.0 else 900.0, seconds=12.0 * 1.0)
    late, _ = goodput(lambda now: 3000.0 if now < 5.0 else 900.0, seconds=24.0)
    assert served > 0.75 * 900
    assert late > 0.97 * 900


def test_without_an_observation_nothing_is_shed():
    """Calls are not shed for ever on an old figure."""
    detector = OverloadDetector()
    now = observe_delays(detector, 0.0, *[1.0] * 5)
    assert detector.current_shed_fraction(now + detector.policy.stale_s + 0.1) == 0.0


@BOUNDED
@given(st.lists(st.floats(0, 2), max_size=200))
def test_the_shed_fraction_is_a_fraction_whatever_is_measured(delays):
    """The fraction can be drawn against, and is 0 while the level is normal."""
    detector = OverloadDetector()
    now = 0.0
    for delay in delays:
        now = observe_delays(detector, now, delay)
        assert 0.0 <= detector.shed_fraction <= detector.policy.max_shed_fraction
        assert detector.level is not OverloadLevel.NORMAL or detector.current_shed_fraction(now) == 0.0


@BOUNDED
@given(st.dictionaries(st.floats(0, 10), st.floats(0.001, 1), min_size=1, max_size=5), st.floats(0, 1))
def test_the_least_weight_is_shed_first_and_as_much_as_was_asked(mix, share):
    """No call of greater weight is shed while calls of less weight are served."""
    found = shed_fractions_by_weight(mix, share)
    whole = sum(mix.values())
    assert abs(sum(found[weight] * mix[weight] for weight in mix) - share * whole) < 1e-6 * whole + 1e-9
    weights = sorted(mix)
    for less, more in itertools.pairwise(weights):
        assert found[less] == pytest.approx(1.0) or found[more] == pytest.approx(0.0, abs=1e-9)


def served_fractions(seconds, policy, overloaded, others=3):
    """One source at twenty times the rate of the others; returns the fraction of each that was served."""
    chance, limiter, now = random.Random(1), SourceRateLimiter(policy), 0.0
    asked, served = {}, {}
    sources = ["10.0.0.66"] * 20 * others + [f"10.0.{n + 1}.7" for n in range(others)] * others
    while now < seconds:
        now += chance.expovariate(400.0)
        source = chance.choice(sources)
        asked[source] = asked.get(source, 0) + 1
        served[source] = served.get(source, 0) + (limiter.take(source, now, overloaded) == 0.0)
    return {source: served[source] / asked[source] for source in asked}


def test_one_source_at_twenty_times_its_share_leaves_the_others_theirs():
    """A source is cut to its share while we are overloaded, and not before."""
    policy = RateLimitPolicy(source_rate=20, source_burst=20)
    shares = served_fractions(20.0, policy, overloaded=True)
    assert shares.pop("10.0.0.66") < 0.2
    assert min(shares.values()) > 0.95
    assert min(served_fractions(20.0, policy, overloaded=False).values()) == 1.0


def test_a_site_behind_one_proxy_is_not_limited():
    """The only source is all the callers there are: a limit would protect nobody."""
    limiter = SourceRateLimiter(RateLimitPolicy(source_rate=1, source_burst=1))
    assert all(limiter.take("10.0.0.1", 0.01 * n, True) == 0.0 for n in range(200))
    assert limiter.take("10.0.0.2", 2.0, True) == 0.0
    limiter.take("10.0.0.1", 2.0, True)
    assert limiter.take("10.0.0.1", 2.0, True) > 0.0


def test_forged_sources_fill_no_memory_and_share_their_networks_bucket():
    """The table does not grow with addresses, and a storm spread over a whole network is limited."""
    policy = RateLimitPolicy(max_buckets=100, network_rate=10, network_burst=10)
    limiter, served = SourceRateLimiter(policy), 0
    limiter.take("192.168.1.1", 0.0, True)
    for number in range(5000):
        served += limiter.take(f"10.1.2.{number % 250}", number * 0.0001, True) == 0.0
        assert len(limiter.sources) <= 100
        assert len(limiter._network_names) <= 100  # noqa: SLF001  # nothing public tells its size
    assert served <= 10 + 10 * 0.5 + 1
    assert limiter.take("192.168.1.1", 1.0, True) == 0.0


def test_requests_in_dialogs_are_never_shed():
    """Calls can end while the program is overloaded."""
    admission = AdmissionControl(lambda: 0.0)
    now = observe_delays(admission.overload, 0.0, *[1.0] * 5)
    assert admission.admit(RequestKind.IN_DIALOG, "a", 0.0, now).outcome is AdmissionOutcome.ADMITTED
    decision = admission.admit(RequestKind.NEW_CALL, "a", 3.0, now)
    assert decision.outcome is AdmissionOutcome.SHED_LOAD
    assert 1 <= decision.retry_after_s <= 5
    assert admission.admit(RequestKind.OTHER, "a", 0.0, now).outcome is AdmissionOutcome.SHED_LOAD


def test_calls_of_more_weight_are_served_while_others_are_shed():
    """The order of weight holds as the mix of calls changes."""
    chance = random.Random(3)
    admission = AdmissionControl(
        chance.random,
        AdmissionPolicy(OverloadDetectorPolicy(), RateLimitPolicy(source_rate=1e6, source_burst=1e6)),
    )
    now = observe_delays(admission.overload, 0.0, *[0.08] * 5)
    admission.overload.shed_fraction = 0.4
    counts = {1.0: [0, 0], 3.0: [0, 0]}
    for _ in range(4000):
        weight = 1.0 if chance.random() < 0.7 else 3.0
        counts[weight][0] += 1
        counts[weight][1] += (
            admission.admit(RequestKind.NEW_CALL, "a", weight, now).outcome is AdmissionOutcome.ADMITTED
        )
    assert counts[3.0][1] / counts[3.0][0] > 0.95
    assert 0.35 < counts[1.0][1] / counts[1.0][0] < 0.55
