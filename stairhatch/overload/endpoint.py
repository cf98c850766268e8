"""What one node knows of one call server. The record decides nothing: the controller reads and writes it."""

from __future__ import annotations

from dataclasses import dataclass, field

from stairhatch.overload.events import Availability


@dataclass(slots=True)
class Endpoint:
    """One call server, as this node sees it."""

    id: int
    number: int
    standing: Availability = Availability.READY
    listed_at: float = 0.0
    born: float | None = None  # when it started, if that matters
    flagged: bool = False
    reported_s: float = 0.0  # the wait its last report told of
    reported_at: float = -1e9
    own_s: float = 0.0  # the wait of the own set-up answered last
    own_at: float = -1e9
    quickest_s: float = float("inf")  # the shortest set-up ever: what is not waiting
    unanswered: dict[int, float] = field(default_factory=dict)  # call -> when sent, oldest first
    window: float = 1.0
    credit: float = 0.0  # set-ups saved up, where the node may send less than one at a time
    credit_at: float = -1e9
    turns: float = 0.0  # while cold: the part of this node's next turn that has gone by
    turns_at: float = 0.0
    turn_until: float = -1e9  # an open turn lapses then
    shrunk: bool = False  # some answer was slow
    cut_at: float = -1e9
    moved_at: float = 0.0
    hold_back: float = 0.0
    blocked_until: float = 0.0
    block_s: float = 0.0  # the next pause
    down: bool = False  # it turned the last set-ups away or could not be reached
    unreached: bool = False
    errors: int = 0  # errors to calls that stood elsewhere, since its last answer
    lost_at: float = -1e9  # when a set-up was last seen to be lost
    has_line: bool = True  # this node's part of the free lines, when last told
    lines_at: float = -1e9
    occupied: float | None = None  # lines in use, by all nodes' calls
    lines: float = 0.0  # lines in all
    rate: float = 0.0  # set-ups a second that it could take from all nodes, when last told
    stood_rate: float = 0.0
    stood_at: float = 0.0

    def oldest_wait(self, now: float) -> float:
        """How long the oldest own set-up has gone unanswered."""
        for sent in self.unanswered.values():
            return now - sent
        return 0.0
