"""The liveness state of a connection to a roster server, from the times of its messages and set-ups.

A connection may be cut off silently and stay open: data written to it then reaches no process. Silence alone
proves nothing, as a server may merely be slow, so a suspicion only leads to a second connection. Times are
those of the call manager's clock, in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import count

from stairhatch.node.calls import NO_CONNECTION

RESPONSE_TIMEOUT_S = 0.35  # a connection silent for longer with a message due is suspect
LONGEST_SILENCE_S = 1.5  # minimum silence that makes a connection with established calls suspect
LONGEST_SILENCE_GAPS = 3.0  # the silence must also exceed this many mean gaps between load reports
LEAST_LOAD_REPORTS = 2  # the mean gap is computed only from more reports than this
CONNECTION_IDS = count(NO_CONNECTION + 1)
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 1.0, 16.0  # between two suspicions of connections to one server


@dataclass(slots=True, eq=False, repr=False)
class ConnectionLiveness:
    """The times at which a connection was opened, written to and read from, with its suspicion backoff."""

    connected_at: float = math.inf  # inf: not connected
    connection_id: int = NO_CONNECTION  # a new one each time the connection comes up
    last_received_at: float = -math.inf
    line_incomplete_since: float = math.inf  # when bytes last came if they end in mid-line; inf: they do not
    response_due_since: float = -math.inf  # first set-up written after the last activity, pending or not
    load_reports: int = 0  # number of unsolicited load reports on this connection
    backoff_s: float = FIRST_BACKOFF_S
    suspect_from: float = -math.inf

    @property
    def is_connected(self) -> bool:
        """Whether the connection is up."""
        return self.connected_at < math.inf

    @property
    def last_activity_at(self) -> float:
        """The time of the last message, or of the opening of the connection if it is later."""
        return max(self.last_received_at, self.connected_at)

    def connection_made(self, now: float) -> None:
        """Reset the state for a connection that has come up at `now`."""
        self.connected_at = now
        self.connection_id = next(CONNECTION_IDS)
        self.last_received_at, self.load_reports = -math.inf, 0
        self.line_incomplete_since = math.inf

    def connection_lost(self) -> None:
        """Mark the connection as down."""
        self.connected_at = math.inf

    def message_received(self, now: float, is_load_report: bool) -> None:
        """Note a message received at `now`, and count it if it is an unsolicited load report."""
        self.last_received_at = now
        if is_load_report:
            self.load_reports += 1

    def bytes_received(self, now: float, ends_in_line: bool) -> None:
        """Note bytes received at `now`; `ends_in_line` says that a line was begun and is not complete."""
        self.line_incomplete_since = now if ends_in_line else math.inf

    def is_rest_of_line_overdue(self, now: float) -> bool:
        """Return whether nothing has come for `RESPONSE_TIMEOUT_S` after the beginning of a line."""
        return now - self.line_incomplete_since > RESPONSE_TIMEOUT_S

    def is_response_overdue(self, now: float) -> bool:
        """Return whether a set-up, cancelled or not, has had no message after it for `RESPONSE_TIMEOUT_S`."""
        due_since = self.response_due_since
        return due_since > self.last_activity_at and now - due_since > RESPONSE_TIMEOUT_S

    def is_silent_since(self, now: float, written_at: float) -> bool:
        """Return whether nothing was received for `RESPONSE_TIMEOUT_S` while a set-up was pending.

        `written_at` is the time at which that set-up was written.
        """
        return now - max(self.last_activity_at, written_at) > RESPONSE_TIMEOUT_S

    def is_first_report_overdue(self, now: float) -> bool:
        """Return whether nothing was received although the server's load report is sent first of all."""
        has_received = self.last_received_at >= self.connected_at
        return not has_received and now - self.connected_at > RESPONSE_TIMEOUT_S

    def is_load_report_overdue(self, now: float) -> bool:
        """Return whether the silence exceeds both `LONGEST_SILENCE_S` and the allowed number of report gaps.

        False while too few load reports have arrived to compute their mean gap.
        """
        gap_s = math.inf
        if self.load_reports > LEAST_LOAD_REPORTS:
            gap_s = (self.last_activity_at - self.connected_at) / self.load_reports
        return now - self.last_activity_at > max(LONGEST_SILENCE_S, LONGEST_SILENCE_GAPS * gap_s)

    def back_off(self, now: float) -> None:
        """Delay the next suspicion after one at `now`: the backoff doubles up to `LONGEST_BACKOFF_S`."""
        self.backoff_s = min(LONGEST_BACKOFF_S, 2 * self.backoff_s)
        self.suspect_from = now + self.backoff_s

    def reset_backoff(self) -> None:
        """Allow the next suspicion at once, since the last one was confirmed."""
        self.backoff_s, self.suspect_from = FIRST_BACKOFF_S, -math.inf

    def inherit_backoff(self, predecessor: ConnectionLiveness) -> None:
        """Copy the backoff of the connection that this one is to replace."""
        self.backoff_s, self.suspect_from = predecessor.backoff_s, predecessor.suspect_from
