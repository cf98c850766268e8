"""What a caller of a load does after a response: retries, and overload control that it obeys."""

from __future__ import annotations

import random

import pytest

from stairhatch.load_test.arrivals import CallSource, ScheduledCall
from stairhatch.load_test.caller_behaviour import (
    CallInProgress,
    OverloadParameters,
    OverloadThrottle,
    RetryPolicy,
)
from stairhatch.load_test.load_plan import CallerBehaviour, LoadClass, Transport

SCHEDULED = ScheduledCall(0.0, 0, 0, LoadClass("read-roster", 1.0, "1000"), 1.0, False, False)


def source(*, obeys_retry_after: bool = True, offers: bool = False, ignores: bool = False) -> CallSource:
    return CallSource(0, Transport.UDP, obeys_retry_after, offers, ignores)


def parameters(value: float, algorithm: str, validity_s: float, sequence: float) -> OverloadParameters:
    return OverloadParameters(value=value, algorithm=algorithm, validity_s=validity_s, sequence=sequence)


@pytest.mark.parametrize(
    ("attempts", "retry_after_s", "obeys", "least_s", "most_s"),
    [
        (1, None, True, 0, 9),
        (1, 3.0, True, 3.0, 3.3),
        (1, 3.0, False, 0, 9),
        (3, None, True, None, None),
        (1, 60.0, True, None, None),
    ],
    ids=["no time named", "obeys", "does not obey", "no attempt left", "too late for the caller"],
)
def test_a_rejected_caller_retries_when_it_is_told_or_not_at_all(
    attempts, retry_after_s, obeys, least_s, most_s
):
    """Callers are neither kinder nor ruder than their fraction says."""
    policy = RetryPolicy(
        source=source(obeys_retry_after=obeys),
        behaviour=CallerBehaviour(max_retries=2),
        rng=random.Random(5),
    )

    delay_s = policy.delay_s(CallInProgress(SCHEDULED, 100.0, attempts), 100.2, retry_after_s)

    assert (delay_s is None) is (least_s is None)
    assert delay_s is None or least_s <= delay_s <= most_s


def test_overload_control_holds_for_its_time_and_older_parameters_count_for_nothing():
    """A caller sends again, and does not obey what was overtaken (RFC 7339, 5.5)."""
    rng = random.Random(1)
    throttle = OverloadThrottle(source(offers=True))
    assert throttle.may_send(100.0, rng)

    throttle.parameters_received(100.0, parameters(50.0, "loss", 1.0, 2.0))
    throttle.parameters_received(100.1, parameters(100.0, "loss", 9.0, 1.0))
    sent = sum(throttle.may_send(100.5, rng) for _ in range(400))

    assert 150 < sent < 250
    assert throttle.withheld_count == 400 - sent
    assert throttle.may_send(101.1, rng)


def test_overload_control_by_rate_lets_so_many_calls_a_second_through():
    """RFC 7415: the value is a rate, and little is saved up; it replaces a loss that was told before."""
    rng = random.Random(1)
    throttle = OverloadThrottle(source(offers=True))
    throttle.parameters_received(100.0, parameters(50.0, "loss", 1.0, 2.0))

    throttle.parameters_received(102.0, parameters(10.0, "rate", 5.0, 3.0))

    assert 29 <= sum(throttle.may_send(102.0 + hundredth / 100, rng) for hundredth in range(300)) <= 32


@pytest.mark.parametrize(
    ("offers", "ignores"), [(True, True), (False, False)], ids=["ignores it", "does not know it"]
)
def test_a_source_that_ignores_or_does_not_know_overload_control_sends_on(offers, ignores):
    """Some callers of a load withhold nothing, whatever they are told."""
    throttle = OverloadThrottle(source(offers=offers, ignores=ignores))

    throttle.parameters_received(100.0, parameters(100.0, "loss", 9.0, 1.0))

    assert throttle.may_send(100.1, random.Random(1))
