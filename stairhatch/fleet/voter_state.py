"""The states that decide whether a voter votes.

After its start, a voter sends the other voters its storage version and learns which version of its storage
they know.
  `STARTING`     The voter votes as soon as a majority, counting itself, knows no newer version of its
                 storage.
  `NEW_STORAGE`  The data directory was empty. If all other voters report an empty directory as well, or know
                 the present storage (they were faster, and may have restarted since), this is the founding of
                 the fleet: the voter votes one lease duration later. Founding is possible only with the first
                 voter set. Otherwise the voter is admitted in the same way as from `EXCLUDED`.
  `EXCLUDED`     The data directory is older than the version that others know. The voter first waits for a
                 whole lease duration (`WAITING`). Then a majority of voters that vote must report all their
                 votes (`CATCHING_UP`). The voter writes these votes and only then votes. Any majority that
                 it took part in shares a voter with the majority that reported, so the voter cannot vote
                 again for a fencing token that it has forgotten. The reports must follow the wait: during the
                 wait, another voter may still cast a vote that forms a majority with a forgotten vote.
"""

from __future__ import annotations

import math
from enum import Enum


class VoterState(Enum):
    """The states of a voter; only `VOTING` permits grants. The values are shown to operators."""

    STARTING = "has just started"
    VOTING = "votes"
    NEW_STORAGE = "its folder was empty"
    EXCLUDED = "its folder is older than what others have seen"
    WAITING = "waits a term before it is let in"
    CATCHING_UP = "hears what others have promised"
    MISCONFIGURED = "its file and its folder have different voters"
    DISK_FAILED = "its disk takes no promise"


REJECTION_WORDS = {  # `LeaseRejected.reason` on the wire, by the state of a voter that does not vote
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
    """State machine for whether one voter may vote.

    The class defines the effect of each state change; `VoterStartup` and `Voter` decide when a change
    happens. Most changes set `due_at` to the present, so that the voter's next `tick` acts on them.
    """

    def __init__(self, *, is_new_storage: bool, now: float) -> None:
        """`is_new_storage`: the voter has neither voted nor been admitted with this data directory."""
        self.is_new_storage = is_new_storage
        self.state = VoterState.NEW_STORAGE if is_new_storage else VoterState.STARTING
        self.reason = ""  # why the voter does not vote
        self.may_have_voted_at = now  # votes that the voter has forgotten were cast before this time
        self.waiting_until = math.inf
        self.due_at = now

    @property
    def is_voting(self) -> bool:
        """Whether the voter may grant leases."""
        return self.state is VoterState.VOTING

    @property
    def may_have_forgotten(self) -> bool:
        """Whether the voter may have cast votes that are missing from its data directory."""
        return self.state in MAY_HAVE_FORGOTTEN

    def remaining_wait_s(self, now: float) -> float:
        """Return the remaining time of the wait in seconds; 0.0 if the voter is not in state `WAITING`."""
        return self.waiting_until - now if self.state is VoterState.WAITING else 0.0

    def start_voting(self, now: float) -> None:
        """Change to `VOTING` from any state."""
        self.state = VoterState.VOTING
        self.is_new_storage = False
        self.reason = ""
        self.due_at = now

    def exclude(self, now: float) -> None:
        """Change to `EXCLUDED` because others know a newer version of the voter's storage.

        Votes that the voter has forgotten may have been cast up to `now`.
        """
        self.state = VoterState.EXCLUDED
        self.may_have_voted_at = now
        self.due_at = now

    def start_waiting(self, now: float, duration_s: float) -> None:
        """Change to `WAITING` until all forgotten votes have expired; they bind for up to `duration_s`."""
        self.state = VoterState.WAITING
        self.waiting_until = self.may_have_voted_at + duration_s
        self.due_at = now

    def catch_up(self) -> None:
        """Change to `CATCHING_UP` after the wait; the votes of the other voters are needed next."""
        self.state = VoterState.CATCHING_UP

    def misconfigure(self, reason: str) -> None:
        """Change to `MISCONFIGURED`, which lasts until the process restarts."""
        self.state = VoterState.MISCONFIGURED
        self.reason = reason

    def exclude_for_skipped_epoch(self, reason: str) -> None:
        """Exclude a starting voter whose stored voter set is more than one epoch behind the configured one.

        The voter votes again only after the other voters have admitted it.
        """
        if self.state is VoterState.STARTING:
            self.state = VoterState.EXCLUDED
            self.reason = reason

    def fail_disk(self, fault: str) -> None:
        """Change to `DISK_FAILED` because the disk did not accept a write."""
        self.state = VoterState.DISK_FAILED
        self.reason = fault
