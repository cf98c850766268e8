"""What callers are told of overload (RFC 7339, RFC 7415), and whom it is believed of."""

from __future__ import annotations

import random

from stairhatch.admission.feedback import FeedbackAlgorithm, OverloadFeedback, algorithm_for


class FeedbackCaller:
    """A caller that sends at a rate and follows the feedback, or does not."""

    def __init__(self, feedback, obeys):
        self.feedback, self.obeys, self.chance = feedback, obeys, random.Random(5)

    def run(self, seconds, share, now, rate=40.0):
        end, sent = now + seconds, 0
        figure = 0
        while now < end:
            now += 1.0 / rate
            if self.obeys and self.chance.random() < figure / 100:
                continue
            sent += 1
            told = self.feedback.count_request("10.0.0.1", FeedbackAlgorithm.LOSS, share, now)
            text = self.feedback.via_parameters(told, share, now)
            figure = int(text.split("oc=")[1].split(";")[0])
        return now, sent / seconds


def test_a_compliant_caller_is_believed_and_a_non_compliant_one_is_not():
    """An honest caller is not limited as well, and one that ignores `oc` counts as compliant again later."""
    for obeys in (True, False):
        feedback = OverloadFeedback()
        caller = FeedbackCaller(feedback, obeys)
        now, rate = caller.run(10.0, 0.0, 0.0)
        assert not feedback.is_non_compliant("10.0.0.1")
        assert rate > 35
        now, rate = caller.run(20.0, 0.6, now)
        assert feedback.is_non_compliant("10.0.0.1") is not obeys
        assert (rate < 20) is obeys
        now, _ = caller.run(60.0, 0.0, now)
        assert not feedback.is_non_compliant("10.0.0.1")


def test_the_via_parameters_are_those_of_the_rfc():
    """The sequence never goes back, the validity ends, and a rate is never 0."""
    feedback = OverloadFeedback()
    told = feedback.count_request("a", FeedbackAlgorithm.LOSS, 0.2, 100.0)
    first, second = feedback.via_parameters(told, 0.2, 100.0), feedback.via_parameters(told, 0.2, 99.0)
    assert first == ';oc=20;oc-algo="loss";oc-validity=1000;oc-seq=100.000'
    assert second.endswith("oc-seq=100.001")
    assert "oc=0;" in feedback.via_parameters(told, 0.0, 101.0)
    assert "validity=0" in feedback.via_parameters(told, 0.0, 102.0)
    rate = feedback.count_request("b", FeedbackAlgorithm.RATE, 1.0, 100.0)
    assert ';oc=1;oc-algo="rate"' in feedback.via_parameters(rate, 1.0, 103.0)
    assert algorithm_for('"rate"') is FeedbackAlgorithm.RATE
    assert algorithm_for('"loss,rate"') is FeedbackAlgorithm.LOSS
    assert algorithm_for("") is FeedbackAlgorithm.LOSS
    assert algorithm_for('"A"') is None
