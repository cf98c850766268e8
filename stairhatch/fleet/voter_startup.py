"""The decision when one voter may vote, after its start or after an older data directory was restored.

`voter_state` documents the states and the transitions between them.
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
    """Controller of one voter's changes of state up to its voting, based on the other voters' replies."""

    def __init__(
        self,
        eligibility: VoterEligibility,
        voter_sets: VoterSetChange,
        votes: VoteTable,
        log: VoteLog,
        peers: PeerReplies,
    ) -> None:
        """Compare the configured voter set with the stored one; an inconsistent set prevents voting."""
        self.is_founding = False  # the fleet is new: no voter has cast a vote yet
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
                eligibility.exclude_for_skipped_epoch(comparison.reason)

    def compare_versions(self, now: float, versions: dict[str, StorageVersion]) -> list[Effect]:
        """Store the voters' storage versions that a requester reports.

        Exclude this voter if a newer version of its own storage is reported; return the event for this.
        """
        for name, version in versions.items():
            if name == self._voter_sets.member:
                if self.is_behind(version):
                    return self.exclude(now)
            elif name in self._peers.names:
                self._log.record_version(name, version, is_voting=False)
        return []

    def is_behind(self, seen: StorageVersion) -> bool:
        """Return whether `seen`, which another member knows, is newer than this voter's storage."""
        if seen.storage_id != self._log.storage_version.storage_id:
            # `seen` is of another storage. A voter that votes was admitted with the present storage after
            # that, so only a voter that has just started is behind.
            return self._eligibility.state is VoterState.STARTING
        return self._log.is_older_than(seen)

    def exclude(self, now: float) -> list[Effect]:
        """Stop voting until this voter is admitted again; return the event.

        Return nothing if the voter is excluded or new already, or cannot vote with its configuration.
        """
        if self._eligibility.may_have_forgotten or self._eligibility.state is VoterState.NEW_STORAGE:
            return []
        self._eligibility.exclude(now)
        self.is_founding = False
        self._voter_sets.close_previous()
        self._peers.forget()
        self._log.withhold_all_grants()
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self._eligibility.state.value)]

    def report_new_storage(self) -> list[Effect]:
        """Return the event that the data directory was empty, once, at the first tick."""
        if self._eligibility.state is not VoterState.NEW_STORAGE or self._new_storage_reported:
            return []
        self._new_storage_reported = True
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self._eligibility.state.value)]

    def tick(self, now: float) -> list[Effect]:
        """Make the state changes that need no reply: end a wait, or start voting as the only voter."""
        if self._eligibility.state is VoterState.WAITING and now >= self._eligibility.waiting_until:
            if self.is_founding:
                return self._start_voting(now, "one lease duration has passed since the fleet was founded")
            self._eligibility.catch_up()
            self._peers.forget()
        is_only_voter = self._voter_sets.current.voters == (self._voter_sets.member,)
        if self._eligibility.state is VoterState.STARTING and is_only_voter:
            return self._start_voting(now, "this member is the only voter")
        return []

    def evaluate_replies(self, now: float) -> list[Effect]:
        """Start to vote, or to wait, if the replies received so far permit it; return the effects."""
        voter_set = self._voter_sets.current
        if self._eligibility.state is VoterState.STARTING:
            if self._peers.count_with_intact_storage(voter_set.voters) + 1 >= voter_set.majority:
                return self._start_voting(now, "a majority of the voters knows no newer storage")
            return []
        voting = self._peers.voting_in(voter_set)
        if len(voting) >= voter_set.majority:
            return self._admit(now, voting)
        if (
            self._eligibility.state is VoterState.NEW_STORAGE
            and voter_set.epoch == 1
            and self._peers.have_all_replied
            and self._peers.all_permit_founding(self._log.storage_version.storage_id, self.is_behind)
        ):
            self.is_founding = True  # no voter has cast a vote, so there are no votes to catch up with
            self._start_waiting(now)
        return []

    def _start_voting(self, now: float, reason: str) -> list[Effect]:
        self._eligibility.start_voting(now)
        write = self._log.write(self._votes.all(), self._voter_sets.current)
        return [write, LeaseEvent(LeaseEventKind.VOTING, reason=reason)]

    def _admit(self, now: float, voting: Collection[PeerStatus]) -> list[Effect]:
        """Proceed with the admission, given a majority that votes and has reported its votes.

        Adopt the reported votes. Start to wait for a lease duration or, after that wait, start to vote.
        """
        for peer in voting:
            if peer.reply.known_version is not None:
                self._log.raise_vote_count_above(peer.reply.known_version)
        self.is_founding = False
        take_over_reported_votes(self._votes, self._log, voting, now)
        if self._eligibility.state is VoterState.CATCHING_UP:
            return self._start_voting(now, "a majority of the voters has reported its votes")
        self._start_waiting(now)
        return []

    def _start_waiting(self, now: float) -> None:
        """Wait until votes that this voter may have forgotten have expired.

        The known votes count as cast at `now`.
        """
        self._eligibility.start_waiting(now, self._votes.longest_binding_s)
        self._votes.restart_durations(now)
