"""Whether a connection to a roster server still works, judged from what was written and received on it.

A connection may be cut off without a word and stay open: what is written on it then reaches nobody. Silence
alone proves nothing, as a server may merely be slow, so a suspicion only leads to a second connection. Times
are those of the core's clock, in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

RESPONSE_TIMEOUT_S = 0.35  # a set-up pending so long on a connection that says nothing makes it suspect
LONGEST_SILENCE_S = 1.5  # where calls are established: silence of so long at least,
LONGEST_SILENCE_GAPS = 3.0  # and of so many gaps between load reports
LEAST_LOAD_REPORTS = 2  # with more than these the gap between them is known
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 1.0, 16.0  # between two suspicions of the same server's connections


@dataclass(slots=True, eq=False, repr=False)
class ConnectionLiveness:
    """When a connection was opened, written to and read from, and when it may be suspected next."""

    connected_at: float = math.inf  # inf: it is not connected
    last_received_at: float = -math.inf
    response_due_since: float = -math.inf  # when the first set-up was written after that, pending or not
    load_reports: int = 0  # that came unasked, on this connection
    backoff_s: float = FIRST_BACKOFF_S
    suspect_from: float = -math.inf

    @property
    def is_connected(self) -> bool:
        """Whether a connection is up."""
        return self.connected_at < math.inf

    @property
    def last_activity_at(self) -> float:
        """When something last came, or the connection came up."""
        return max(self.last_received_at, self.connected_at)

    def connection_made(self, now: float) -> None:
        """A connection has come up; nothing has been received on it."""
        self.connected_at = now
        self.last_received_at, self.load_reports = -math.inf, 0

    def connection_lost(self) -> None:
        """The connection has ended."""
        self.connected_at = math.inf

    def message_received(self, now: float, is_load_report: bool) -> None:
        """A line has come."""
        self.last_received_at = now
        if is_load_report:
            self.load_reports += 1

    def is_response_overdue(self, now: float) -> bool:
        """Whether a set-up was written long ago and nothing came since, though it may be given up by now."""
        due_since = self.response_due_since
        return due_since > self.last_activity_at and now - due_since > RESPONSE_TIMEOUT_S

    def is_silent_since(self, now: float, written_at: float) -> bool:
        """Whether nothing came for too long after a set-up that is still pending."""
        return now - max(self.last_activity_at, written_at) > RESPONSE_TIMEOUT_S

    def is_load_report_overdue(self, now: float) -> bool:
        """Whether nothing came for much longer than the usual gap between load reports."""
        gap_s = math.inf
        if self.load_reports > LEAST_LOAD_REPORTS:
            gap_s = (self.last_activity_at - self.connected_at) / self.load_reports
        return now - self.last_activity_at > max(LONGEST_SILENCE_S, LONGEST_SILENCE_GAPS * gap_s)

    def back_off(self, now: float) -> None:
        """It has been suspected: the next suspicion has to wait, each time twice as long."""
        self.backoff_s = min(LONGEST_BACKOFF_S, 2 * self.backoff_s)
        self.suspect_from = now + self.backoff_s

    def reset_backoff(self) -> None:
        """The suspicion proved right: the next one need not wait."""
        self.backoff_s, self.suspect_from = FIRST_BACKOFF_S, -math.inf

    def inherit_backoff(self, predecessor: ConnectionLiveness) -> None:
        """Take over the backoff of the connection that this one replaces."""
        self.backoff_s, self.suspect_from = predecessor.backoff_s, predecessor.suspect_from
