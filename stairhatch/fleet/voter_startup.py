"""Whether one voter votes: its states, and the replies of the other voters that decide.

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

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.fleet.messages import StatusReply, StorageVersion, VoteReport
from stairhatch.fleet.voter_set import VoterSet, VoterSetStatus


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


@dataclass(slots=True)
class PeerStatus:
    """What another voter has said since this voter began to ask anew."""

    reply: StatusReply
    votes: dict[str, VoteReport] = field(default_factory=dict)
    is_complete: bool = False

    @property
    def last_lease(self) -> str:
        """The last lease by name that it has reported, "" for none: the next page begins after it."""
        return max(self.votes, default="")


def voter_set_status(reply: StatusReply) -> VoterSetStatus:
    """The part of a reply that is about voter sets."""
    return VoterSetStatus(reply.epoch, reply.voter_set_digest, reply.minimum_epoch, reply.agreed_digest)


def is_superseded(old: StatusReply, new: StatusReply) -> bool:
    """Whether pages that were reported with the old reply count no longer."""
    return (old.storage_version.incarnation, old.is_voting, voter_set_status(old)) != (
        new.storage_version.incarnation,
        new.is_voting,
        voter_set_status(new),
    )


class PeerReplies:
    """The replies of the other voters to the status requests that count."""

    def __init__(self, request_id: int) -> None:
        """`request_id` is the first of this start."""
        self.request_id = request_id
        self.by_voter: dict[str, PeerStatus] = {}

    def forget(self) -> None:
        """What was replied so far counts no longer, nor what is on its way."""
        self.by_voter.clear()
        self.request_id += 1

    def next_page(self, voter: str) -> str:
        """After which lease a voter is asked to go on; from the beginning where it has reported all."""
        peer = self.by_voter.get(voter)
        return peer.last_lease if peer is not None and not peer.is_complete else ""

    def add(self, reply: StatusReply) -> bool:
        """Take in a reply to a request that counts; whether the next page is to be asked for."""
        peer = self.by_voter.get(reply.voter)
        if peer is None or is_superseded(peer.reply, reply):
            peer = self.by_voter[reply.voter] = PeerStatus(reply)
        peer.reply = reply
        if reply.after_lease != peer.last_lease:
            return False  # a page was left out, or has come twice
        peer.votes.update((each.lease, each) for each in reply.votes)
        peer.is_complete = peer.is_complete or not reply.has_more
        return reply.has_more

    def voting(self) -> dict[str, PeerStatus]:
        """Of voters that vote and have reported all their votes."""
        return {
            name: each for name, each in self.by_voter.items() if each.reply.is_voting and each.is_complete
        }

    def voting_by(self, voter_set: VoterSet) -> list[PeerStatus]:
        """The same, of those that go by this voter set."""
        expected = voter_set.epoch, voter_set.digest
        return [
            each
            for each in self.voting().values()
            if (each.reply.epoch, each.reply.voter_set_digest) == expected
        ]

    def with_intact_storage(self, voters: Collection[str]) -> int:
        """How many of these voters have replied that have forgotten nothing."""
        return sum(
            name in voters and not each.reply.is_new_storage and not each.reply.may_have_forgotten
            for name, each in self.by_voter.items()
        )

    def all_found(self, storage_id: str, is_behind: Callable[[StorageVersion], bool]) -> bool:
        """Whether each that replied has an empty storage too, or knows this one as it is."""

        def agrees(reply: StatusReply) -> bool:
            if reply.is_new_storage:
                return True
            known = reply.known_version
            return (
                not reply.may_have_forgotten
                and known is not None
                and known.storage_id == storage_id
                and not is_behind(known)
            )

        return all(agrees(each.reply) for each in self.by_voter.values())
