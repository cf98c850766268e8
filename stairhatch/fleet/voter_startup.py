"""When one voter may vote: its way from the start, or from a data directory that came back old.

The states and the way between them are told in `voter_state`.
"""

from __future__ import annotations

from collections.abc import Collection

from stairhatch.fleet.effects import Effect, LeaseEvent, LeaseEventKind
from stairhatch.fleet.messages import StorageVersion
from stairhatch.fleet.peer_replies import PeerReplies, PeerStatus, take_over_reported_votes
from stairhatch.fleet.vote_log import VoteLog
from stairhatch.fleet.vote_table import VoteTable
from stairhatch.fleet.voter_set import VoterSetRelation
from stairhatch.fleet.voter_set_change import VoterSetChange
from stairhatch.fleet.voter_state import VoterEligibility, VoterState


class VoterStartup:
    """Decides by the replies of the other voters whether one voter may vote, and has it wait before that."""

    def __init__(
        self,
        eligibility: VoterEligibility,
        voter_sets: VoterSetChange,
        votes: VoteTable,
        log: VoteLog,
        peers: PeerReplies,
    ) -> None:
        """The configured voter set may already stand against its voting."""
        self.is_founding = False  # nobody has voted for anything yet
        self._eligibility = eligibility
        self._voter_sets = voter_sets
        self._votes = votes
        self._log = log
        self._peers = peers
        self._new_storage_reported = False
        comparison = voter_sets.compare_with_configured()
        match comparison.relation:
            case VoterSetRelation.INCONSISTENT:
                eligibility.misconfigure(comparison.reason)
            case VoterSetRelation.BEHIND:
                eligibility.skip_voter_set(comparison.reason)

    def compare_versions(self, now: float, versions: dict[str, StorageVersion]) -> list[Effect]:
        """Learn what a requester has heard of the voters; more of this storage than is in it ends voting."""
        for name, version in versions.items():
            if name == self._voter_sets.member:
                if self.is_behind(version):
                    return self.exclude(now)
            elif name in self._peers.names:
                self._log.record_version(name, version, is_voting=False)
        return []

    def is_behind(self, seen: StorageVersion) -> bool:
        """Whether others have seen more of this voter's storage than is in it."""
        if seen.storage_id != self._log.storage_version.storage_id:
            # one that votes was admitted after that
            return self._eligibility.state is VoterState.STARTING
        return self._log.is_older_than(seen)

    def exclude(self, now: float) -> list[Effect]:
        """End the voting until this voter is admitted again, unless it is on that way already."""
        if self._eligibility.may_have_forgotten or self._eligibility.state is VoterState.NEW_STORAGE:
            return []
        self._eligibility.exclude(now)
        self.is_founding = False
        self._voter_sets.close_previous()
        self._peers.forget()
        self._log.withhold_all_grants()
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self._eligibility.state.value)]

    def report_new_storage(self) -> list[Effect]:
        """Say once, at the first tick, that the data directory was empty."""
        if self._eligibility.state is not VoterState.NEW_STORAGE or self._new_storage_reported:
            return []
        self._new_storage_reported = True
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self._eligibility.state.value)]

    def tick(self, now: float) -> list[Effect]:
        """What comes without a reply: the end of a wait, and the voting of an only voter."""
        if self._eligibility.state is VoterState.WAITING and now >= self._eligibility.waiting_until:
            if self.is_founding:
                return self._start_voting(now, "a term has passed since the fleet was founded")
            self._eligibility.catch_up()
            self._peers.forget()
        is_only_voter = self._voter_sets.current.voters == (self._voter_sets.member,)
        if self._eligibility.state is VoterState.STARTING and is_only_voter:
            return self._start_voting(now, "the only voter")
        return []

    def evaluate_replies(self, now: float) -> list[Effect]:
        """Begin to vote, or to wait, where the replies received are enough for it."""
        voter_set = self._voter_sets.current
        if self._eligibility.state is VoterState.STARTING:
            if self._peers.with_intact_storage(voter_set.voters) + 1 >= voter_set.majority:
                return self._start_voting(now, "a majority has seen nothing newer")
            return []
        voting = self._peers.voting_by(voter_set)
        if len(voting) >= voter_set.majority:
            return self._admit(now, voting)
        if (
            self._eligibility.state is VoterState.NEW_STORAGE
            and voter_set.epoch == 1
            and self._peers.have_all_replied
            and self._peers.all_found(self._log.storage_version.storage_id, self.is_behind)
        ):
            self.is_founding = True  # and nobody has voted, so there is nothing to catch up with
            self._start_waiting(now)
        return []

    def _start_voting(self, now: float, reason: str) -> list[Effect]:
        self._eligibility.start_voting(now)
        write = self._log.write(self._votes.all(), self._voter_sets.current)
        return [write, LeaseEvent(LeaseEventKind.VOTING, reason=reason)]

    def _admit(self, now: float, voting: Collection[PeerStatus]) -> list[Effect]:
        """Enough are there that vote: wait a duration, and then go by the votes that they report."""
        for peer in voting:
            if peer.reply.known_version is not None:
                self._log.count_beyond(peer.reply.known_version)
        self.is_founding = False
        take_over_reported_votes(self._votes, self._log, voting, now)
        if self._eligibility.state is VoterState.CATCHING_UP:
            return self._start_voting(now, "a majority has told it what was promised")
        self._start_waiting(now)
        return []

    def _start_waiting(self, now: float) -> None:
        """Wait until what it may have voted for before it forgot is over; other votes count as new."""
        self._eligibility.start_waiting(now, self._votes.longest_binding_s)
        self._votes.restart_durations(now)
