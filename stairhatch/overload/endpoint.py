"""What one node knows of one call server. The record decides nothing: the controller reads and writes it."""

from __future__ import annotations

from dataclasses import dataclass, field

from stairhatch.overload.events import Availability


@dataclass(slots=True)
class Endpoint:
    """One call server, as this node sees it."""

    id: int
    number: int
    availability: Availability = Availability.READY
    listed_at: float = 0.0
    started_at: float | None = None  # when it started, if that matters
    flagged: bool = False
    reported_delay_s: float = 0.0  # the wait its last report told of
    reported_at: float = -1e9
    measured_delay_s: float = 0.0  # the wait of the own set-up answered last
    measured_at: float = -1e9
    fastest_setup_s: float = float("inf")  # the shortest set-up ever: what is not waiting
    pending_setups: dict[int, float] = field(default_factory=dict)  # call -> when sent, oldest first
    concurrency_limit: float = 1.0
    tokens: float = 0.0  # set-ups saved up, where the node may send less than one at a time
    tokens_at: float = -1e9
    slot_progress: float = 0.0  # while cold: the part of this node's next turn that has gone by
    slot_progress_at: float = 0.0
    slot_open_until: float = -1e9  # an open turn lapses then
    limit_reduced: bool = False  # some answer was slow
    limit_cut_at: float = -1e9
    limit_adapted_at: float = 0.0
    throttle_fraction: float = 0.0
    ejected_until: float = 0.0
    next_ejection_s: float = 0.0  # the next pause
    ejected: bool = False  # it turned the last set-ups away or could not be reached
    unreachable: bool = False
    attributed_errors: int = 0  # errors to calls that stood elsewhere, since its last answer
    loss_seen_at: float = -1e9  # when a set-up was last seen to be lost
    has_free_line: bool = True  # this node's part of the free lines, when last told
    lines_reported_at: float = -1e9
    lines_in_use: float | None = None  # lines in use, by all nodes' calls
    total_lines: float = 0.0  # lines in all
    admissible_rate: float = 0.0  # set-ups a second that it could take from all nodes, when last told
    established_rate: float = 0.0
    established_at: float = 0.0

    def oldest_pending_s(self, now: float) -> float:
        """How long the oldest own set-up has gone unanswered."""
        for sent in self.pending_setups.values():
            return now - sent
        return 0.0

    def count_established(self, now: float, memory_s: float) -> None:
        """Keep the rate of own set-ups that were established, averaged over the time given."""
        gone = min(1.0, (now - self.established_at) / memory_s)
        self.established_rate = self.established_rate * (1 - gone) + 1 / memory_s
        self.established_at = now

    def record_delay(self, now: float, delay_s: float) -> None:
        """Keep the delay of the own set-up that was answered, or given up, last."""
        self.measured_delay_s, self.measured_at = delay_s, now

    def restarted(self, started_at: float) -> None:
        """Forget the state that another process of this server was in."""
        self.started_at = started_at
        self.flagged = False
        self.unreachable = False
        self.readmit()
        self.ejected_until = 0.0

    def begin_slow_start(self, now: float, slot_progress: float, tokens: float) -> None:
        """Another process warms up: its first slot has come so near; the tokens are for later."""
        self.slot_progress = slot_progress
        self.slot_progress_at = now
        self.slot_open_until = now
        self.admissible_rate = 0.0
        self.lines_in_use = None
        self.tokens = tokens

    def latest_delay_s(self, now: float, lifetime_s: float) -> float:
        """The fresher of measured and reported delay; 0 where it is older than its lifetime."""
        if now - max(self.measured_at, self.reported_at) > lifetime_s:
            return 0.0
        return self.measured_delay_s if self.measured_at >= self.reported_at else self.reported_delay_s

    def readmit(self) -> None:
        """End its ejection. The next one begins with the shortest time."""
        self.ejected = False
        self.next_ejection_s = 0.0
