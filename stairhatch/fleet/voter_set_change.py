"""The advance of one voter from its current voter set to the configured one; `voter_set` has the rules."""

from __future__ import annotations

from dataclasses import replace

from stairhatch.fleet.effects import Effect, LeaseEvent, LeaseEventKind
from stairhatch.fleet.peer_replies import PeerReplies, take_over_reported_votes, voter_set_status
from stairhatch.fleet.vote_log import VoteLog
from stairhatch.fleet.vote_table import VoteTable
from stairhatch.fleet.voter_set import VoterSet, VoterSetComparison, VoterSetRelation, compare, may_advance


class VoterSetChange:
    """The current voter set of one voter, and its advance to the configured one if that is the next."""

    def __init__(
        self, member: str, configured: VoterSet, votes: VoteTable, log: VoteLog, peers: PeerReplies
    ) -> None:
        """`log` has the voter set from the data directory; without one, `configured` is the current set."""
        self.member = member
        self.configured = configured
        self.current = log.voter_set or configured
        self.proposed_digest = 0  # of the configured voter set if it is the next one, otherwise 0
        self._votes = votes
        self._log = log
        self._peers = peers

    @property
    def is_proposing(self) -> bool:
        """Whether the configured voter set is the next one and this voter has not advanced to it yet."""
        return bool(self.proposed_digest)

    def compare_with_configured(self) -> VoterSetComparison:
        """Compare the stored voter set with the configured one at the start, and return the comparison.

        If the configured set is the next one, propose it. If the stored set is older than that, use the
        configured set at once; the caller must then exclude the voter.
        """
        comparison = compare(self.current, self.configured.epoch, self.configured.voters)
        match comparison.relation:
            case VoterSetRelation.SUCCESSOR:
                self.proposed_digest = self.configured.digest
            case VoterSetRelation.BEHIND:
                self.current = self.configured
                self._log.mark_unsaved()
        return comparison

    def close_previous(self) -> None:
        """Reject requests under the previous voter set from now on."""
        self.current = replace(self.current, minimum_epoch=self.current.epoch)

    def agree_to(self, digest: int) -> bool:
        """Agree to the next set with this digest, and close the previous set; return whether that is new.

        An earlier agreement to another set is kept.
        """
        agreed_set = self.current.agree_to(digest)
        if agreed_set == self.current:
            return False
        self.current = agreed_set
        self._log.mark_unsaved()
        return True

    def advance(self, now: float) -> list[Effect]:
        """Advance to the configured voter set if a majority of the current set has agreed to it.

        Return the write and the event of the advance, or nothing. Call this only while the voter votes, has
        agreed to the set itself and proposes it.
        """
        if self._log.voter_set != self.current:
            return []  # this voter's own agreement is not on disk yet
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
