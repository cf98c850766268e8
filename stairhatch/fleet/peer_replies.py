"""The other voters' replies to one voter's status requests, with the votes that they report page by page."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from stairhatch.fleet.messages import StatusReply, StorageVersion, VoteReport
from stairhatch.fleet.vote_log import VoteLog
from stairhatch.fleet.vote_table import VoteTable
from stairhatch.fleet.voter_set import VoterSet, VoterSetStatus


@dataclass(slots=True)
class PeerStatus:
    """The status of another voter, from its replies to the present status requests."""

    reply: StatusReply  # the latest one
    votes: dict[str, VoteReport] = field(default_factory=dict)  # by lease
    is_complete: bool = False  # whether all pages of votes have arrived

    @property
    def last_lease(self) -> str:
        """The last reported lease in order of names, "" for none; the next page begins after it."""
        return max(self.votes, default="")


def voter_set_status(reply: StatusReply) -> VoterSetStatus:
    """Return the voter set fields of a status reply."""
    return VoterSetStatus(reply.epoch, reply.voter_set_digest, reply.minimum_epoch, reply.agreed_digest)


def is_superseded(old: StatusReply, new: StatusReply) -> bool:
    """Return whether the new reply invalidates the pages of votes that arrived with the old reply."""
    return (old.storage_version.incarnation, old.is_voting, voter_set_status(old)) != (
        new.storage_version.incarnation,
        new.is_voting,
        voter_set_status(new),
    )


class PeerReplies:
    """Store of the other voters' replies to the present status requests."""

    def __init__(self, names: Collection[str], request_id: int) -> None:
        """`names` are the configured other voters; `request_id` is the first id after this start."""
        self.names = tuple(names)
        self.request_id = request_id
        self.by_voter: dict[str, PeerStatus] = {}

    def forget(self) -> None:
        """Discard all replies, and change the request id so that replies in transit are ignored."""
        self.by_voter.clear()
        self.request_id += 1

    @property
    def have_all_replied(self) -> bool:
        """Whether each of the other voters has replied."""
        return len(self.by_voter) == len(self.names)

    def next_page(self, voter: str) -> str:
        """Return the lease name after which a voter's next page begins.

        Return "" for the first page if no votes have arrived or all pages have arrived.
        """
        peer = self.by_voter.get(voter)
        return peer.last_lease if peer is not None and not peer.is_complete else ""

    def add(self, reply: StatusReply) -> bool:
        """Store a reply to a present request; return whether the next page must be requested."""
        peer = self.by_voter.get(reply.voter)
        if peer is None or is_superseded(peer.reply, reply):
            peer = self.by_voter[reply.voter] = PeerStatus(reply)
        peer.reply = reply
        if reply.after_lease != peer.last_lease:
            return False  # a page is missing or a duplicate
        peer.votes.update((each.lease, each) for each in reply.votes)
        peer.is_complete = peer.is_complete or not reply.has_more
        return reply.has_more

    def voting(self) -> dict[str, PeerStatus]:
        """Return the status of each voter, by name, that votes and has reported all its votes."""
        return {
            name: each for name, each in self.by_voter.items() if each.reply.is_voting and each.is_complete
        }

    def voting_in(self, voter_set: VoterSet) -> list[PeerStatus]:
        """Return the statuses from `voting` of the voters whose current voter set is this one."""
        expected = voter_set.epoch, voter_set.digest
        return [
            each
            for each in self.voting().values()
            if (each.reply.epoch, each.reply.voter_set_digest) == expected
        ]

    def count_with_intact_storage(self, voters: Collection[str]) -> int:
        """Return how many of these voters have replied and still have all votes in their data directory."""
        return sum(
            name in voters and not each.reply.is_new_storage and not each.reply.may_have_forgotten
            for name, each in self.by_voter.items()
        )

    def all_permit_founding(self, storage_id: str, is_behind: Callable[[StorageVersion], bool]) -> bool:
        """Return whether the replies permit the founding of the fleet.

        Each voter that replied must have a new storage, or know the storage `storage_id` in a version that
        this voter is not behind.
        """

        def permits_founding(reply: StatusReply) -> bool:
            if reply.is_new_storage:
                return True
            known = reply.known_version
            return (
                not reply.may_have_forgotten
                and known is not None
                and known.storage_id == storage_id
                and not is_behind(known)
            )

        return all(permits_founding(each.reply) for each in self.by_voter.values())


def take_over_reported_votes(votes: VoteTable, log: VoteLog, peers: Iterable[PeerStatus], now: float) -> None:
    """Adopt the reported votes as this voter's own, and drop the waiting grants that they invalidate."""
    for report in [each for peer in peers for each in peer.votes.values()]:
        if votes.take_over(now, report):
            log.withhold_grant(report.lease)
