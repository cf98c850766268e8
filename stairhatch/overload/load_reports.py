"""The evaluation of load reports, and of the results of this node's attempts, for each endpoint."""

import random
from dataclasses import dataclass

from stairhatch.overload.concurrency import ConcurrencyControl
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import AttemptEnded, AttemptOutcome, CallEstablished, LoadReport
from stairhatch.overload.outlier import OutlierDetection
from stairhatch.overload.slow_start import SlowStart
from stairhatch.overload.thresholds import MEMORY_S, Thresholds

ONSET_BUSY_RATIO = 9.0  # of busy to idle processor time: the ratio that counts as a delay at the onset
MAX_DELAY_ONSETS = 9.0  # the longest delay derived from a utilization, in multiples of the onset


@dataclass(eq=False, repr=False)
class LoadEvaluation:
    """Derives a delay from each report and result, and updates the controls that depend on it."""

    thresholds: Thresholds
    concurrency: ConcurrencyControl
    slow_start: SlowStart
    outliers: OutlierDetection
    rng: random.Random

    def record_setup(self, now: float, endpoint: Endpoint, event: CallEstablished) -> None:
        """Record an answered set-up: its duration is the latest measurement of the endpoint's delay."""
        pending = len(endpoint.pending_setups)
        sent_at = endpoint.pending_setups.pop(event.call_id, now - event.elapsed_s)
        endpoint.attributed_errors = 0
        endpoint.fastest_setup_s = min(endpoint.fastest_setup_s, event.elapsed_s)
        self.concurrency.drop_overtaken(now, endpoint, sent_at)
        endpoint.record_delay(now, event.elapsed_s - endpoint.fastest_setup_s)
        self.outliers.readmit(now, endpoint)
        endpoint.count_established(now, MEMORY_S)
        self.concurrency.adapt_to_answer(now, endpoint, pending)

    def record_attempt_end(self, now: float, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Record the end of an attempt or of an established call, with the load report it carries."""
        was_pending = endpoint.pending_setups.pop(event.call_id, None) is not None
        self.apply_report(now, endpoint, event.report)
        if event.no_free_line:  # the lines are used up, not the processor: the next report shows free lines
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
                endpoint.loss_seen_at = now  # the attempt ended early because its set-up counted as lost

    def apply_report(self, now: float, endpoint: Endpoint, report: LoadReport) -> None:
        """Record the figures of a load report, and the delay derived from them, and adapt the limits."""
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
        """Record line counts. With fewer free lines than nodes, draw whether this node may use one."""
        endpoint.lines_in_use, endpoint.total_lines = total - free, total
        self.slow_start.line_utilization(now)  # updates the peak utilization
        self.concurrency.raise_to_fair_limit(endpoint)
        endpoint.has_free_line = self.rng.random() * self.thresholds.settings.instance_count < free
        endpoint.lines_reported_at = now

    def reported_delay(self, report: LoadReport) -> float | None:
        """Return the reported delay, else queue length over rate, else a delay by utilization, else None."""
        if report.processor_wait_s is not None:
            return report.processor_wait_s
        if report.queue_length is not None and (rate := report.admissible_rate) is not None:
            return report.queue_length / rate if rate > 0 else self.thresholds.objective_s
        if report.utilization is not None:
            busy_to_idle = report.utilization / max(1 - report.utilization, 0.01)
            return self.thresholds.onset_s * min(MAX_DELAY_ONSETS, busy_to_idle / ONSET_BUSY_RATIO)
        return None
