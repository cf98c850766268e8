"""How one voter goes from its voter set to the configured one (the rules are in `voter_set`)."""

from __future__ import annotations

from dataclasses import replace

from stairhatch.fleet.effects import Effect, LeaseEvent, LeaseEventKind
from stairhatch.fleet.peer_replies import PeerReplies, take_over_reported_votes, voter_set_status
from stairhatch.fleet.vote_log import VoteLog
from stairhatch.fleet.vote_table import VoteTable
from stairhatch.fleet.voter_set import VoterSet, VoterSetComparison, VoterSetRelation, compare, may_advance


class VoterSetChange:
    """The voter set that one voter goes by, and the next one where its configuration has one."""

    def __init__(
        self, member: str, configured: VoterSet, votes: VoteTable, log: VoteLog, peers: PeerReplies
    ) -> None:
        """`log` has the voter set that the data directory held."""
        self.member = member
        self.configured = configured
        self.current = log.voter_set or configured
        self.proposed_digest = 0  # of the configured voter set, where that is the next one
        self._votes = votes
        self._log = log
        self._peers = peers

    @property
    def is_proposing(self) -> bool:
        """Whether the configured voter set is the next one, and not gone by yet."""
        return bool(self.proposed_digest)

    def compare_with_configured(self) -> VoterSetComparison:
        """Settle at the start what the configured voter set means beside the one in the data directory."""
        comparison = compare(self.current, self.configured.epoch, self.configured.voters)
        match comparison.relation:
            case VoterSetRelation.SUCCESSOR:
                self.proposed_digest = self.configured.digest
            case VoterSetRelation.BEHIND:
                self.current = self.configured
                self._log.mark_unsaved()
        return comparison

    def close_previous(self) -> None:
        """No request by the voter set before is served from here on."""
        self.current = replace(self.current, minimum_epoch=self.current.epoch)

    def agree_to(self, digest: int) -> bool:
        """Agree to the first next set that is heard of, and close the one before; whether that is new."""
        agreed = self.current.agree_to(digest)
        if agreed == self.current:
            return False
        self.current = agreed
        self._log.mark_unsaved()
        return True

    def advance(self, now: float) -> list[Effect]:
        """Go on to the configured voter set, where enough have said that they agree to it.

        To be called while this voter votes, has agreed itself and proposes the set.
        """
        if self._log.voter_set != self.current:
            return []  # its own consent is not on disk yet
        peers = self._peers.voting()
        statuses = {name: voter_set_status(each.reply) for name, each in peers.items()}
        if not may_advance(self.current, self.proposed_digest, statuses, self.member):
            return []
        take_over_reported_votes(self._votes, self._log, peers.values(), now)
        self.current = self.current.successor(self.configured.voters)
        self.proposed_digest = 0
        write = self._log.write(self._votes.all(), self.current)
        advanced = LeaseEvent(
            LeaseEventKind.VOTER_SET_ADVANCED,
            fencing_token=self.current.epoch,
            reason=" ".join(self.configured.voters),
        )
        return [write, advanced]
