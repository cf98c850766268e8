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
