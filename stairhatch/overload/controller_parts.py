"""The construction of one controller's parts with the objects that they share. It makes no decisions."""

import random

from stairhatch.overload.averages import CallDurations
from stairhatch.overload.caller_retry import CallerRetryDetector
from stairhatch.overload.concurrency import ConcurrencyControl
from stairhatch.overload.congestion import CongestionControl
from stairhatch.overload.endpoint import Endpoint, EndpointRegistry
from stairhatch.overload.load_balancing import LoadBalancer
from stairhatch.overload.load_reports import LoadEvaluation
from stairhatch.overload.outlier import DestinationBackoffs, OutlierDetection
from stairhatch.overload.slow_start import SlowStart
from stairhatch.overload.thresholds import MEMORY_S, Thresholds


class ControllerParts:
    """One instance of each part. The parts share the thresholds, the endpoints and the random source.

    `messages` collects the texts that the parts write to the log.
    """

    def __init__(self, thresholds: Thresholds, rng: random.Random) -> None:
        """Create each part and connect it to the parts that it uses."""
        self.messages: list[str] = []
        log = self.messages.append
        self.thresholds = thresholds
        self.durations = CallDurations()
        self.endpoints: dict[int, Endpoint] = {}
        self.caller_retries = CallerRetryDetector()
        self.backoffs = DestinationBackoffs(rng, log)
        self.congestion = CongestionControl(thresholds)
        self.concurrency = ConcurrencyControl(thresholds, self.congestion, self.durations, rng)
        self.slow_start = SlowStart(thresholds, self.endpoints, self.durations, rng, log)
        self.registry = EndpointRegistry(
            self.endpoints, self.concurrency.new_endpoint, self.slow_start.detect_restart, MEMORY_S
        )
        self.load_balancer = LoadBalancer(
            thresholds, self.endpoints, self.congestion, self.concurrency, self.slow_start, rng
        )
        self.outliers = OutlierDetection(
            thresholds, self.endpoints, self.concurrency, self.slow_start, rng, log
        )
        self.load_evaluation = LoadEvaluation(
            thresholds, self.concurrency, self.slow_start, self.outliers, rng
        )
