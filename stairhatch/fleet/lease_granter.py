"""The handling of lease requests, releases and queries by one voter."""

from __future__ import annotations

import math

from stairhatch.fleet.effects import Effect, LeaseEvent, LeaseEventKind, PeerAddress, SendMessage, Vote
from stairhatch.fleet.messages import (
    LeaseGranted,
    LeaseQuery,
    LeaseRejected,
    LeaseRelease,
    LeaseRequest,
    LeaseStatus,
    RejectionReason,
    StorageVersion,
)
from stairhatch.fleet.vote_log import PendingGrant, VoteLog
from stairhatch.fleet.vote_table import VoteRejection, VoteTable
from stairhatch.fleet.voter_set_change import VoterSetChange
from stairhatch.fleet.voter_state import REJECTION_WORDS, VoterEligibility

MAX_REMAINING_MS = 3_600_000


class LeaseGranter:
    """Request handler of one voter: grants each lease to one holder at a time.

    A grant is sent only after the vote is on disk, and only while the voter may vote.
    """

    def __init__(
        self,
        voter: str,
        eligibility: VoterEligibility,
        voter_sets: VoterSetChange,
        votes: VoteTable,
        log: VoteLog,
    ) -> None:
        """`voter` is the voter's name in its answers."""
        self._voter = voter
        self._eligibility = eligibility
        self._voter_sets = voter_sets
        self._votes = votes
        self._log = log

    def handle_request(self, now: float, sender: PeerAddress, request: LeaseRequest) -> list[Effect]:
        """Return a rejection with its reason, a grant, or the write of a new vote.

        A new vote is granted later, by `send_grant`, once it is on disk. A renewal is granted at once: the
        vote is on disk already.
        """
        rejection = self._rejection(now, request)
        if rejection is not None:
            return [SendMessage(sender, self._reject(request, rejection))]
        if request.lease in self._log.under_way:
            return []  # a repeated request is not granted either before the vote is on disk
        duration_s = request.duration_ms / 1000
        vote = Vote(request.lease, request.fencing_token, request.holder, request.incarnation, duration_s)
        self._votes.extend(now, vote)
        if vote == self._votes.by_lease.get(request.lease):
            return [SendMessage(sender, self._grant(request, self._log.storage_version))]
        return self._cast_vote(vote, sender, request)

    def _rejection(self, now: float, request: LeaseRequest) -> VoteRejection | None:
        """Return why a request must be rejected; None if it may be granted."""
        timings = self._votes.timings
        if not self._eligibility.is_voting:
            remaining_s = max(self._eligibility.remaining_wait_s(now), timings.round_timeout_s)
            return VoteRejection(REJECTION_WORDS[self._eligibility.state], remaining_s=remaining_s)
        voter_set = self._voter_sets.current
        if not voter_set.accepts(request.epoch, request.voter_set_digest):
            reason = f"another list of voters, {voter_set.epoch}"
            return VoteRejection(reason, remaining_s=timings.duration_s)
        if request.duration_ms > math.ceil(timings.duration_s * 1000):
            # A voter that is admitted again waits only for its own lease duration, so a longer vote could
            # outlast the wait.
            reason = RejectionReason.DURATION_TOO_LONG.value
            return VoteRejection(reason, remaining_s=timings.duration_s)
        return self._votes.rejection(now, request)

    def _reject(self, request: LeaseRequest, rejection: VoteRejection) -> LeaseRejected:
        remaining_ms = min(max(0, math.ceil(rejection.remaining_s * 1000)), MAX_REMAINING_MS)
        return LeaseRejected(
            request.lease,
            self._voter,
            request.request_id,
            rejection.reason,
            rejection.highest_token,
            rejection.holder or "",
            remaining_ms,
        )

    def _grant(self, request: LeaseRequest, version: StorageVersion) -> LeaseGranted:
        return LeaseGranted(request.lease, self._voter, request.fencing_token, request.request_id, version)

    def _cast_vote(self, vote: Vote, sender: PeerAddress, request: LeaseRequest) -> list[Effect]:
        self._votes.cast(vote)
        write = self._log.cast(vote, self._voter_sets.current)
        grant = self._grant(request, write.storage_version)
        self._log.grant_once_written(write, PendingGrant(sender, grant))
        return [write]

    def send_grant(self, now: float, grant: PendingGrant) -> list[Effect]:
        """Return the event and the message for a grant whose vote is on disk now."""
        lease = grant.message.lease
        vote = self._votes.by_lease[lease]
        expires_at = self._votes.expires_at.get(lease, now)
        event = LeaseEvent(LeaseEventKind.VOTED, lease, vote.fencing_token, expires_at, vote.holder or "")
        return [event, SendMessage(grant.destination, grant.message)]

    def handle_release(self, now: float, release: LeaseRelease) -> list[Effect]:
        """Release a lease if the vote is for this holder and fencing token; otherwise do nothing.

        The release is not written to disk: if the voter restarts and forgets it, the lease becomes free one
        duration later.
        """
        if self._votes.is_cast_for(release):
            self._log.withhold_grant(release.lease)
            self._votes.release(now, release)
        return []

    def handle_query(self, now: float, query: LeaseQuery, sender: PeerAddress) -> list[Effect]:
        """Return the reply with the holder, fencing token and remaining time of the vote for a lease."""
        vote = self._votes.by_lease.get(query.lease)
        remaining_s = max(0.0, self._votes.remaining_s(query.lease, now))
        if vote is None:
            status = LeaseStatus(query.lease, self._voter, query.query_id)
        elif self._eligibility.is_voting and remaining_s:
            status = LeaseStatus(
                query.lease,
                self._voter,
                query.query_id,
                vote.fencing_token,
                vote.holder or "",
                int(remaining_s * 1000),
            )
        else:
            status = LeaseStatus(query.lease, self._voter, query.query_id, vote.fencing_token)
        return [SendMessage(sender, status)]
