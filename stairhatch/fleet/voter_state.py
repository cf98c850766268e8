"""Whether one voter votes, as states.

A voter that has started asks the others what they have seen of its storage.
  `STARTING`     no less than any of them has seen, as a majority with itself says: it votes.
  `NEW_STORAGE`  its data directory was empty. Where all others say that of theirs, or know this very storage
                 (they were quicker, and may have started again since), the fleet is founded, a lease duration
                 later; with the first voter set only. Else it is admitted as
  `EXCLUDED`     one whose data directory is older than what others have seen: it waits a whole lease duration
                 (`WAITING`), and then a majority of others that vote report all their votes (`CATCHING_UP`);
                 these are written, and only then it votes. Any majority that it took part in shares a voter
                 with those that reported: no fencing token that it has forgotten can be voted for again. They
                 report after the wait, not before it: until then one of them may still vote so that a
                 majority stands with a vote that this voter has forgotten.
"""

from __future__ import annotations

import math
from enum import Enum


class VoterState(Enum):
    """Whether a voter votes. The values are shown to operators."""

    STARTING = "has just started"
    VOTING = "votes"
    NEW_STORAGE = "its folder was empty"
    EXCLUDED = "its folder is older than what others have seen"
    WAITING = "waits a term before it is let in"
    CATCHING_UP = "hears what others have promised"
    MISCONFIGURED = "its file and its folder have different voters"
    DISK_FAILED = "its disk takes no promise"


REJECTION_WORDS = {  # what a voter that does not vote rejects with on the wire
    VoterState.STARTING: "starting",
    VoterState.NEW_STORAGE: "new",
    VoterState.EXCLUDED: "out",
    VoterState.WAITING: "waiting",
    VoterState.CATCHING_UP: "hearing",
    VoterState.MISCONFIGURED: "wrong",
    VoterState.DISK_FAILED: "broken",
}
IGNORES_REPLIES = (VoterState.DISK_FAILED, VoterState.WAITING, VoterState.MISCONFIGURED)
MAY_HAVE_FORGOTTEN = (
    VoterState.EXCLUDED,
    VoterState.WAITING,
    VoterState.CATCHING_UP,
    VoterState.MISCONFIGURED,
)


class VoterEligibility:
    """Whether one voter may vote, and what its start and its faults have made of that.

    It has the rules of each change of state alone; when a state is due to change is for `VoterStartup` and
    `Voter`. A change makes the voter due at once.
    """

    def __init__(self, *, is_new_storage: bool, now: float) -> None:
        """`is_new_storage`: the data directory has neither voted nor been admitted."""
        self.is_new_storage = is_new_storage
        self.state = VoterState.NEW_STORAGE if is_new_storage else VoterState.STARTING
        self.reason = ""  # it does not vote
        self.may_have_voted_at = now  # votes that it has forgotten were cast before that
        self.waiting_until = math.inf
        self.due_at = now

    @property
    def is_voting(self) -> bool:
        """Whether it may grant leases."""
        return self.state is VoterState.VOTING

    @property
    def may_have_forgotten(self) -> bool:
        """Whether others may know more of its votes than it does."""
        return self.state in MAY_HAVE_FORGOTTEN

    def remaining_wait_s(self, now: float) -> float:
        """Until its wait is over; 0.0 where it does not wait."""
        return self.waiting_until - now if self.state is VoterState.WAITING else 0.0

    def start_voting(self, now: float) -> None:
        """It votes, whatever its state was."""
        self.state = VoterState.VOTING
        self.is_new_storage = False
        self.reason = ""
        self.due_at = now

    def exclude(self, now: float) -> None:
        """Others have seen more of its storage than is in it: what it voted for counts from here."""
        self.state = VoterState.EXCLUDED
        self.may_have_voted_at = now
        self.due_at = now

    def start_waiting(self, now: float, duration_s: float) -> None:
        """Wait until votes that it has forgotten are over, which bind for so long."""
        self.state = VoterState.WAITING
        self.waiting_until = self.may_have_voted_at + duration_s
        self.due_at = now

    def catch_up(self) -> None:
        """Its wait is over: what others have voted for is to be heard."""
        self.state = VoterState.CATCHING_UP

    def misconfigure(self, reason: str) -> None:
        """It can't go by its configuration, for as long as it lives."""
        self.state = VoterState.MISCONFIGURED
        self.reason = reason

    def skip_voter_set(self, reason: str) -> None:
        """Its data directory has a voter set before the last: it votes once it is admitted."""
        if self.state is VoterState.STARTING:
            self.state = VoterState.EXCLUDED
            self.reason = reason

    def fail_disk(self, fault: str) -> None:
        """Its disk takes no vote."""
        self.state = VoterState.DISK_FAILED
        self.reason = fault
