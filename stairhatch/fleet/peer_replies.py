"""What the other voters have replied to one voter's status requests, page by page."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from stairhatch.fleet.messages import StatusReply, StorageVersion, VoteReport
from stairhatch.fleet.vote_log import VoteLog
from stairhatch.fleet.vote_table import VoteTable
from stairhatch.fleet.voter_set import VoterSet, VoterSetStatus


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

    def __init__(self, names: Collection[str], request_id: int) -> None:
        """`names` are the other voters, as configured; `request_id` is the first of this start."""
        self.names = tuple(names)
        self.request_id = request_id
        self.by_voter: dict[str, PeerStatus] = {}

    def forget(self) -> None:
        """What was replied so far counts no longer, nor what is on its way."""
        self.by_voter.clear()
        self.request_id += 1

    @property
    def have_all_replied(self) -> bool:
        """Whether each of the other voters has replied."""
        return len(self.by_voter) == len(self.names)

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


def take_over_reported_votes(votes: VoteTable, log: VoteLog, peers: Iterable[PeerStatus], now: float) -> None:
    """Count the reported votes as this voter's own, and withhold its grants that they undo."""
    for report in [each for peer in peers for each in peer.votes.values()]:
        if votes.take_over(now, report):
            log.withhold_grant(report.lease)
