"""Extension: ejection of outliers, attribution of errors, and the backoff from busy called numbers."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stairhatch.overload.concurrency import ConcurrencyControl
from stairhatch.overload.endpoint import DestinationBackoff, Endpoint
from stairhatch.overload.events import AttemptOutcome
from stairhatch.overload.pending_queue import PendingCall
from stairhatch.overload.slow_start import SlowStart
from stairhatch.overload.thresholds import Thresholds

FIRST_EJECTION_S = 0.5  # each further ejection doubles, up to MAX_EJECTION_S; also the first trial interval
MAX_EJECTION_S = 4.0
MAX_TRIAL_INTERVAL_S = 16.0  # between one node's trial calls to a called number that stays busy
ERRORS_TO_EJECT = 2  # errors to calls that another endpoint established: a single one may be chance


@dataclass(eq=False, repr=False)
class OutlierDetection:
    """Ejects an endpoint that rejects set-ups, fails several in a row or is unreachable."""

    thresholds: Thresholds
    endpoints: dict[int, Endpoint]
    concurrency: ConcurrencyControl
    slow_start: SlowStart
    rng: random.Random
    log: Callable[[str], None]

    def eject(self, now: float, endpoint: Endpoint, cause: AttemptOutcome, minimum_s: float = 0.0) -> None:
        """Eject an endpoint for a random time of at least `minimum_s`, unless an ejection is in progress."""
        if not endpoint.ejected:
            self.log(f"server {endpoint.id} ejected: {cause.value}")
        if cause is AttemptOutcome.UNREACHABLE and not endpoint.unreachable:
            endpoint.unreachable = True
            self.slow_start.begin(now, endpoint)
        endpoint.ejected = True
        if now < endpoint.ejected_until:
            return
        self.concurrency.adapt_to_delay(now, endpoint, max(self.thresholds.objective_s, minimum_s))
        ejection_s = max(FIRST_EJECTION_S, endpoint.next_ejection_s)
        endpoint.ejected_until = now + max(ejection_s * (0.5 + self.rng.random()), minimum_s)
        endpoint.next_ejection_s = min(MAX_EJECTION_S, 2 * ejection_s)

    def readmit(self, now: float, endpoint: Endpoint) -> None:
        """End the ejection of an endpoint that has established a call."""
        if not endpoint.ejected:
            return
        self.log(f"server {endpoint.id} readmitted")
        endpoint.readmit()
        endpoint.concurrency_limit = min(1.0, endpoint.concurrency_limit)
        if endpoint.unreachable:  # the server may have restarted meanwhile, so it counts as warming up
            endpoint.unreachable, endpoint.started_at = False, now

    def attribute_errors(self, now: float, call: PendingCall, established_by: int) -> None:
        """Count a call's errors against the servers that sent them, after another server established it."""
        for server_id in call.error_servers:
            endpoint = self.endpoints.get(server_id)
            if endpoint is not None and server_id != established_by:
                endpoint.attributed_errors += 1
                if endpoint.attributed_errors >= ERRORS_TO_EJECT:
                    self.eject(now, endpoint, AttemptOutcome.ERROR)


@dataclass(eq=False, repr=False)
class DestinationBackoffs:
    """Limits a busy called number to one trial call per interval, which doubles with each busy answer."""

    rng: random.Random
    log: Callable[[str], None]
    by_number: dict[int, DestinationBackoff] = field(default_factory=dict)

    def is_backing_off(self, now: float, number: int) -> bool:
        """Return whether to reject a call to the number; during a backoff, False makes it the trial call."""
        backoff = self.by_number.get(number)
        if backoff is None:
            return False
        if now < backoff.next_trial_at:
            return True
        backoff.next_trial_at = now + backoff.interval_s * (0.5 + self.rng.random())
        return False

    def record_busy(self, now: float, number: int) -> None:
        """Start the backoff from a busy number, or double its interval."""
        if not number:
            return
        backoff = self.by_number.get(number)
        if backoff is None:
            known = self.by_number.items()
            self.by_number = {n: b for n, b in known if now <= b.next_trial_at + MAX_TRIAL_INTERVAL_S}
            backoff = self.by_number[number] = DestinationBackoff()
            self.log(f"number {number} is busy; only trial calls are sent to it")
        backoff.interval_s = min(MAX_TRIAL_INTERVAL_S, max(FIRST_EJECTION_S, 2 * backoff.interval_s))
        backoff.next_trial_at = now + backoff.interval_s * (0.5 + self.rng.random())

    def record_established(self, now: float, number: int) -> None:
        """Halve a number's interval after a call was established, and end the backoff once it is short."""
        backoff = self.by_number.get(number)
        if backoff is None:
            return
        backoff.interval_s /= 2
        backoff.next_trial_at = min(backoff.next_trial_at, now + backoff.interval_s)
        if backoff.interval_s < FIRST_EJECTION_S:
            del self.by_number[number]
