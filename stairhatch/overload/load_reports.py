"""What load reports, and the results of the own attempts, show of an endpoint."""

import random
from dataclasses import dataclass

from stairhatch.overload.concurrency import ConcurrencyControl
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import AttemptEnded, AttemptOutcome, CallEstablished, LoadReport
from stairhatch.overload.outlier import OutlierDetection
from stairhatch.overload.slow_start import SlowStart
from stairhatch.overload.thresholds import MEMORY_S, Thresholds

BUSY_RATIO = 9.0  # of busy to idle: this utilization counts as a delay at the onset
MAX_ONSETS = 9.0  # the longest delay that a utilization counts as, in onsets


@dataclass(eq=False, repr=False)
class LoadEvidence:
    """Turns reports and results into one delay each, and gives them to the controls that depend on them."""

    thresholds: Thresholds
    concurrency: ConcurrencyControl
    slow_start: SlowStart
    outliers: OutlierDetection
    rng: random.Random

    def established(self, now: float, endpoint: Endpoint, event: CallEstablished) -> None:
        """How long a set-up took is the freshest sign of the endpoint's delay."""
        pending = len(endpoint.pending_setups)
        sent_at = endpoint.pending_setups.pop(event.call_id, now - event.elapsed_s)
        endpoint.attributed_errors = 0
        endpoint.fastest_setup_s = min(endpoint.fastest_setup_s, event.elapsed_s)
        self.concurrency.drop_overtaken(now, endpoint, sent_at)
        endpoint.record_delay(now, event.elapsed_s - endpoint.fastest_setup_s)
        self.outliers.readmit(now, endpoint)
        endpoint.count_established(now, MEMORY_S)
        self.concurrency.adapt_to_answer(now, endpoint, pending)

    def ended(self, now: float, endpoint: Endpoint, event: AttemptEnded) -> None:
        """The end of an attempt, or of an established call."""
        was_pending = endpoint.pending_setups.pop(event.call_id, None) is not None
        self.report(now, endpoint, event.report)
        if event.no_free_line:  # its lines have run out, not its processor: the next report shows free ones
            endpoint.has_free_line, endpoint.lines_reported_at = False, now
        elif event.outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.REJECTED):
            self.outliers.eject(now, endpoint, event.outcome, event.retry_after_s or 0.0)
        elif event.outcome is AttemptOutcome.TIMED_OUT and was_pending:
            if event.elapsed_s >= self.thresholds.objective_s:
                endpoint.record_delay(now, event.elapsed_s)
                self.concurrency.adapt_to_timeout(now, endpoint)
            elif self.slow_start.is_warming_up(now, endpoint):
                endpoint.record_delay(now, event.elapsed_s)
            else:
                endpoint.loss_seen_at = now  # given up early, as lost

    def report(self, now: float, endpoint: Endpoint, report: LoadReport) -> None:
        """Derive one delay from a report, and update what the limits depend on."""
        if report.free_lines is not None and report.total_lines is not None:
            self._apply_lines(now, endpoint, report.free_lines, report.total_lines)
        if report.admissible_rate is not None:
            endpoint.admissible_rate = report.admissible_rate
        if report.throttle_fraction is not None:
            endpoint.throttle_fraction = report.throttle_fraction
        delay_s = self.reported_delay(report)
        if delay_s is not None:
            endpoint.reported_delay_s, endpoint.reported_at = delay_s, now
            self.concurrency.drop_overtaken(now, endpoint, now - delay_s - self.thresholds.objective_s)
            self.concurrency.adapt_to_delay(now, endpoint, delay_s)

    def _apply_lines(self, now: float, endpoint: Endpoint, free: float, total: float) -> None:
        """Where fewer lines are free than there are nodes, each node may take one with that chance."""
        endpoint.lines_in_use, endpoint.total_lines = total - free, total
        self.slow_start.line_utilization(now)  # keeps its memory fresh
        self.concurrency.raise_to_fair_limit(endpoint)
        endpoint.has_free_line = self.rng.random() * self.thresholds.settings.instance_count < free
        endpoint.lines_reported_at = now

    def reported_delay(self, report: LoadReport) -> float | None:
        """Delay as reported; else queue over rate; else, from utilization, the onset at BUSY_RATIO."""
        if report.processor_wait_s is not None:
            return report.processor_wait_s
        if report.queue_length is not None and (rate := report.admissible_rate) is not None:
            return report.queue_length / rate if rate > 0 else self.thresholds.objective_s
        if report.utilization is not None:
            busy_to_idle = report.utilization / max(1 - report.utilization, 0.01)
            return self.thresholds.onset_s * min(MAX_ONSETS, busy_to_idle / BUSY_RATIO)
        return None
