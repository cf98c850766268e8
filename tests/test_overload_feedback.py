"""Tests of overload feedback (RFC 7339, RFC 7415) and of the detection of non-compliant callers."""

from __future__ import annotations

import random

from stairhatch.admission.feedback import FeedbackAlgorithm, OverloadFeedback, algorithm_for


class FeedbackCaller:
    """Caller that sends at a constant rate and optionally complies with the feedback."""

    def __init__(self, feedback, complies):
        self.feedback, self.complies, self.rng = feedback, complies, random.Random(5)

    def run(self, seconds, shed_fraction, now, rate=40.0):
        end, sent = now + seconds, 0
        oc_percent = 0
        while now < end:
            now += 1.0 / rate
            if self.complies and self.rng.random() < oc_percent / 100:
                continue
            sent += 1
            caller_state = self.feedback.count_request("10.0.0.1", FeedbackAlgorithm.LOSS, shed_fraction, now)
            text = self.feedback.via_parameters(caller_state, shed_fraction, now)
            oc_percent = int(text.split("oc=")[1].split(";")[0])
        return now, sent / seconds


def test_only_a_caller_that_ignores_its_feedback_is_non_compliant():
    """Guards against limits for compliant callers, and non-compliance that never ends after an excess."""
    for complies in (True, False):
        feedback = OverloadFeedback()
        caller = FeedbackCaller(feedback, complies)
        now, rate = caller.run(10.0, 0.0, 0.0)
        assert not feedback.is_non_compliant("10.0.0.1")
        assert rate > 35
        now, rate = caller.run(20.0, 0.6, now)
        assert feedback.is_non_compliant("10.0.0.1") is not complies
        assert (rate < 20) is complies
        now, _ = caller.run(60.0, 0.0, now)
        assert not feedback.is_non_compliant("10.0.0.1")


def test_the_via_parameters_follow_the_rfcs():
    """Guards against a decreasing sequence, a validity without overload, and a rate of 0."""
    feedback = OverloadFeedback()
    caller_state = feedback.count_request("a", FeedbackAlgorithm.LOSS, 0.2, 100.0)
    first, second = (
        feedback.via_parameters(caller_state, 0.2, 100.0),
        feedback.via_parameters(caller_state, 0.2, 99.0),
    )
    assert first == ';oc=20;oc-algo="loss";oc-validity=1000;oc-seq=100.000'
    assert second.endswith("oc-seq=100.001")
    assert "oc=0;" in feedback.via_parameters(caller_state, 0.0, 101.0)
    assert "validity=0" in feedback.via_parameters(caller_state, 0.0, 102.0)
    rate = feedback.count_request("b", FeedbackAlgorithm.RATE, 1.0, 100.0)
    assert ';oc=1;oc-algo="rate"' in feedback.via_parameters(rate, 1.0, 103.0)
    assert algorithm_for('"rate"') is FeedbackAlgorithm.RATE
    assert algorithm_for('"loss,rate"') is FeedbackAlgorithm.LOSS
    assert algorithm_for("") is FeedbackAlgorithm.LOSS
    assert algorithm_for('"A"') is None
