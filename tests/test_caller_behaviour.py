"""Behaviour of a load's callers after a response: retries, and throttling by overload control."""

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
    ids=["no Retry-After", "obeys", "does not obey", "no attempt left", "past the time limit"],
)
def test_a_rejected_caller_retries_after_its_delay_or_gives_up(
    attempts, retry_after_s, obeys, least_s, most_s
):
    """Only a caller that obeys Retry-After waits for it; retries end with the attempts and the time limit."""
    policy = RetryPolicy(
        source=source(obeys_retry_after=obeys),
        behaviour=CallerBehaviour(max_retries=2),
        rng=random.Random(5),
    )

    delay_s = policy.delay_s(CallInProgress(SCHEDULED, 100.0, attempts), 100.2, retry_after_s)

    assert (delay_s is None) is (least_s is None)
    assert delay_s is None or least_s <= delay_s <= most_s


def test_overload_control_ends_with_its_validity_and_ignores_older_parameters():
    """The throttle ends after oc-validity and ignores parameters with a lower oc-seq (RFC 7339, 5.5)."""
    rng = random.Random(1)
    throttle = OverloadThrottle(source(offers=True))
    assert throttle.may_send(100.0, rng)

    throttle.parameters_received(100.0, parameters(50.0, "loss", 1.0, 2.0))
    throttle.parameters_received(100.1, parameters(100.0, "loss", 9.0, 1.0))
    sent = sum(throttle.may_send(100.5, rng) for _ in range(400))

    assert 150 < sent < 250
    assert throttle.withheld_count == 400 - sent
    assert throttle.may_send(101.1, rng)


def test_rate_control_limits_the_calls_a_second():
    """Under "rate" the value is calls a second (RFC 7415), and it replaces an earlier "loss" value.

    The token bucket is small, so that unused calls hardly accumulate.
    """
    rng = random.Random(1)
    throttle = OverloadThrottle(source(offers=True))
    throttle.parameters_received(100.0, parameters(50.0, "loss", 1.0, 2.0))

    throttle.parameters_received(102.0, parameters(10.0, "rate", 5.0, 3.0))

    assert 29 <= sum(throttle.may_send(102.0 + hundredth / 100, rng) for hundredth in range(300)) <= 32


@pytest.mark.parametrize(
    ("offers", "ignores"), [(True, True), (False, False)], ids=["ignores it", "does not support it"]
)
def test_a_source_that_ignores_or_does_not_support_overload_control_sends_every_call(offers, ignores):
    """These sources send every call while overload control is in force."""
    throttle = OverloadThrottle(source(offers=offers, ignores=ignores))

    throttle.parameters_received(100.0, parameters(100.0, "loss", 9.0, 1.0))

    assert throttle.may_send(100.1, random.Random(1))
