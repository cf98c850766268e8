"""One voter: grants a lease to one holder at a time, once its vote is on disk, and only while it may vote.

What is written: the lease, its fencing token and its holder at each new vote. A renewal is not: after a start
every vote on disk counts as cast just then, for a whole duration. So a fleet at rest writes nothing. Whether
the voter votes at all is in `voter_state`, what others say of it in `peer_replies`; the votes are in
`vote_table`, the writes in `vote_log`, the rules of voter sets in `voter_set`.
"""

from __future__ import annotations

import math
from dataclasses import replace

from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    PeerAddress,
    PersistedState,
    SendMessage,
    Vote,
)
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.fleet.messages import (
    LeaseGranted,
    LeaseQuery,
    LeaseRejected,
    LeaseRelease,
    LeaseRequest,
    LeaseStatus,
    RejectionReason,
    StatusReply,
    StatusRequest,
    StorageVersion,
)
from stairhatch.fleet.peer_replies import PeerReplies, PeerStatus, voter_set_status
from stairhatch.fleet.vote_log import CompletedWrite, PendingGrant, VoteLog
from stairhatch.fleet.vote_table import Rejection, VoteTable
from stairhatch.fleet.voter_set import VoterSet, VoterSetRelation, compare, digest_of, may_advance
from stairhatch.fleet.voter_state import (
    IGNORES_REPLIES,
    MAY_HAVE_FORGOTTEN,
    REJECTION_WORDS,
    VoterState,
)

STATUS_INTERVAL_S = 0.2  # between two status requests to each other voter
SETTLED_STATUS_INTERVAL_S = (
    3.0  # of a voter that votes, so that others hear of a directory that came back old
)
DISK_RETRY_S = 1.0  # a disk that took no write is tried again
MAX_REMAINING_MS = 3_600_000


class Voter:
    """The decisions of one voter. Each call is given the time and answers with effects."""

    def __init__(
        self,
        name: str,
        voters: dict[str, PeerAddress],
        timings: LeaseTimings,
        kept: PersistedState,
        now: float,
        first_write: int = 1,
        epoch: int = 1,
    ) -> None:
        """`voters` and `epoch` are the configured voter set, `kept` is what the data directory held."""
        self.name = name
        self.voters = voters
        self.timings = timings
        self.others = {each: place for each, place in voters.items() if each != name}
        self.log = VoteLog(kept, first_write)
        self.votes = VoteTable(kept.votes, timings, now)
        # Replies to requests of an earlier start don't count.
        version = kept.storage_version
        self.peers = PeerReplies(digest_of((version.storage_id, str(version.incarnation))))
        self.is_new_storage = not kept.admitted
        self.state = VoterState.NEW_STORAGE if self.is_new_storage else VoterState.STARTING
        self.reason = ""  # it does not vote
        self.started_at = now
        self.due_at = now
        self.waiting_until = math.inf
        self._new_storage_reported = False
        self._is_founding = False  # nobody has voted for anything yet
        self.configured_voters = tuple(sorted(voters))
        self.proposed_digest = 0  # of the configured voter set, where that is the next one
        configured = VoterSet(epoch, self.configured_voters, 0, epoch)
        self.voter_set = kept.voter_set or configured
        self._compare_with(configured)

    def _compare_with(self, configured: VoterSet) -> None:
        """Settle what the configured voter set means beside the one in the data directory."""
        comparison = compare(self.voter_set, configured.epoch, configured.voters)
        match comparison.relation:
            case VoterSetRelation.SUCCESSOR:
                self.proposed_digest = configured.digest
            case VoterSetRelation.INCONSISTENT:
                self.state, self.reason = VoterState.MISCONFIGURED, comparison.reason
            case VoterSetRelation.BEHIND:
                self.voter_set = configured
                self.log.has_unsaved_state = True
                if self.state is VoterState.STARTING:
                    self.state, self.reason = VoterState.EXCLUDED, comparison.reason

    @property
    def majority(self) -> int:
        """Of the voters of the set that it goes by."""
        return self.voter_set.majority

    @property
    def is_voting(self) -> bool:
        """Whether it may grant leases."""
        return self.state is VoterState.VOTING

    # ---- leases ----

    def handle_request(self, now: float, sender: PeerAddress, request: LeaseRequest) -> list[Effect]:
        """Grant a lease once the vote is on disk, or say what stands against it."""
        effects = self._compare_versions(now, request.storage_versions)
        rejection = self._rejection(now, request)
        if rejection is not None:
            remaining_ms = min(max(0, math.ceil(rejection.remaining_s * 1000)), MAX_REMAINING_MS)
            answer = LeaseRejected(
                request.lease,
                self.name,
                request.request_id,
                rejection.reason,
                rejection.highest_token,
                rejection.holder,
                remaining_ms,
            )
            return [*effects, SendMessage(sender, answer)]
        if request.lease in self.log.under_way:
            return effects  # not granted before it is on disk, whoever asks a second time
        duration_s = request.duration_ms / 1000
        vote = Vote(request.lease, request.fencing_token, request.holder, request.incarnation, duration_s)
        self.votes.extend(now, vote)
        if vote == self.votes.by_lease.get(request.lease):
            return [*effects, SendMessage(sender, self._grant(request, self.log.storage_version))]
        return [*effects, *self._cast_vote(vote, sender, request)]

    def _rejection(self, now: float, request: LeaseRequest) -> Rejection | None:
        """What stands against a request."""
        if not self.is_voting:
            wait_s = self.waiting_until - now if self.state is VoterState.WAITING else 0.0
            remaining_s = max(wait_s, self.timings.round_timeout_s)
            return Rejection(REJECTION_WORDS[self.state], remaining_s=remaining_s)
        if not self.voter_set.accepts(request.epoch, request.voter_set_digest):
            reason = f"another list of voters, {self.voter_set.epoch}"
            return Rejection(reason, remaining_s=self.timings.duration_s)
        if request.duration_ms > math.ceil(self.timings.duration_s * 1000):
            # a voter that is admitted again waits for no longer than its own duration
            reason = RejectionReason.DURATION_TOO_LONG.value
            return Rejection(reason, remaining_s=self.timings.duration_s)
        return self.votes.rejection(now, request)

    def _grant(self, request: LeaseRequest, version: StorageVersion) -> LeaseGranted:
        return LeaseGranted(request.lease, self.name, request.fencing_token, request.request_id, version)

    def _cast_vote(self, vote: Vote, sender: PeerAddress, request: LeaseRequest) -> list[Effect]:
        self.votes.by_lease[vote.lease] = vote
        write = self.log.cast(vote, self.voter_set)
        grant = self._grant(request, write.storage_version)
        self.log.pending_grants[write.write_id] = PendingGrant(sender, grant)
        return [write]

    def handle_release(self, now: float, release: LeaseRelease) -> list[Effect]:
        """The holder wants a lease no longer.

        The loss of this costs one duration, so no write is made for it.
        """
        if self.votes.is_cast_for(release):
            self.log.withhold_grant(release.lease)
            self.votes.release(now, release)
        return []

    def handle_query(self, now: float, query: LeaseQuery, sender: PeerAddress) -> list[Effect]:
        """Say who holds a lease."""
        vote = self.votes.by_lease.get(query.lease)
        remaining_s = max(0.0, self.votes.remaining_s(query.lease, now))
        if vote is None:
            status = LeaseStatus(query.lease, self.name, query.query_id)
        elif self.is_voting and remaining_s:
            status = LeaseStatus(
                query.lease,
                self.name,
                query.query_id,
                vote.fencing_token,
                vote.holder,
                int(remaining_s * 1000),
            )
        else:
            status = LeaseStatus(query.lease, self.name, query.query_id, vote.fencing_token)
        return [SendMessage(sender, status)]

    # ---- the disk ----

    def write_completed(self, now: float, write_id: int, fault: str) -> list[Effect]:
        """A write has ended; `fault` says what went wrong, "" for nothing.

        Only now is said what it holds; a fault ends the voting until a write succeeds.
        """
        write = self.log.complete(write_id)
        if fault:
            return self._write_failed(now, write, fault)
        self.log.mark_persisted(write)
        if self.state is VoterState.DISK_FAILED:
            if self.log.unwritten:
                return []
            self.state, self.reason, self.due_at = VoterState.VOTING, "", now
            return [LeaseEvent(LeaseEventKind.VOTING, reason="the disk takes promises again")]
        if write.grant is None or not self.is_voting:
            return []
        lease = write.grant.message.lease
        vote = self.votes.by_lease[lease]
        expires_at = self.votes.expires_at.get(lease, now)
        voted = LeaseEvent(LeaseEventKind.VOTED, lease, vote.fencing_token, expires_at, vote.holder)
        # so that others know of a directory that comes back old
        status = StatusRequest(
            self.name, self.log.storage_version, self.is_new_storage, True, epoch=self.voter_set.epoch
        )
        return [
            voted,
            SendMessage(write.grant.destination, write.grant.message),
            *(SendMessage(place, status) for place in self.others.values()),
        ]

    def _write_failed(self, now: float, write: CompletedWrite, fault: str) -> list[Effect]:
        has_failed_before = self.state is VoterState.DISK_FAILED
        if not self.is_voting and not has_failed_before:
            self.log.abandon(write)  # it does not vote as it is, and writes all of it when it does
            return []
        self.due_at = min(self.due_at, now + DISK_RETRY_S)
        if has_failed_before:
            return []
        self.state, self.reason = VoterState.DISK_FAILED, fault
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=f"{self.state.value}: {fault}")]

    # ---- whether it votes ----

    def _compare_versions(self, now: float, versions: dict[str, StorageVersion]) -> list[Effect]:
        """Learn what a requester has heard of the voters; more of this storage than is in it ends voting."""
        for name, version in versions.items():
            if name == self.name:
                if self._is_behind(version):
                    return self._stop_voting(now, VoterState.EXCLUDED)
            elif name in self.others:
                self.log.record_version(name, version, is_voting=False)
        return []

    def _is_behind(self, seen: StorageVersion) -> bool:
        if seen.storage_id != self.log.storage_version.storage_id:
            return self.state is VoterState.STARTING  # one that votes was admitted after that
        return self.log.is_older_than(seen)

    def _stop_voting(self, now: float, state: VoterState) -> list[Effect]:
        if self.state in MAY_HAVE_FORGOTTEN or self.state is VoterState.NEW_STORAGE:
            return []
        self.state, self.due_at = state, now
        self.started_at = now  # what it voted for so far counts for a duration from here
        self._is_founding = False
        self.voter_set = replace(self.voter_set, minimum_epoch=self.voter_set.epoch)
        self.peers.forget()
        self.log.pending_grants.clear()
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=state.value)]

    def tick(self, now: float) -> list[Effect]:
        """What is due: status requests, the end of a wait, and a disk that is tried again."""
        if now < self.due_at:
            return []
        effects = self._report_new_storage()
        if self.state is VoterState.DISK_FAILED:
            self.due_at = now + DISK_RETRY_S
            return [self.log.retry(self.voter_set)]
        if self.state is VoterState.WAITING and now >= self.waiting_until:
            if self._is_founding:
                return self._start_voting(now, "a term has passed since the fleet was founded")
            self.state = VoterState.CATCHING_UP
            self.peers.forget()
        if self.state is VoterState.STARTING and self.voter_set.voters == (self.name,):
            return [*effects, *self._start_voting(now, "the only voter")]
        if self.state is VoterState.MISCONFIGURED:
            self.due_at = math.inf
            return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self.reason)]
        effects += self._try_to_advance(now)
        is_settled = self.is_voting and not self.proposed_digest
        self.due_at = now + (SETTLED_STATUS_INTERVAL_S if is_settled else STATUS_INTERVAL_S)
        if not self.others and self.state is VoterState.NEW_STORAGE:
            effects += self._evaluate_replies(now)
        if self.is_voting and self.log.has_unsaved_state:
            effects.append(self.log.write((), self.voter_set))
        effects += self._status_requests()
        if self.state is VoterState.WAITING:
            self.due_at = min(self.due_at, self.waiting_until)
        return effects

    def _report_new_storage(self) -> list[Effect]:
        """Said once, at the first tick."""
        if self.state is not VoterState.NEW_STORAGE or self._new_storage_reported:
            return []
        self._new_storage_reported = True
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self.state.value)]

    def _status_requests(self) -> list[Effect]:
        proposed_digest = self.proposed_digest if self.is_voting else 0
        return [
            SendMessage(
                place,
                StatusRequest(
                    self.name,
                    self.log.storage_version,
                    self.is_new_storage,
                    self.is_voting,
                    self.peers.next_page(name),
                    self.peers.request_id,
                    self.voter_set.epoch,
                    proposed_digest,
                ),
            )
            for name, place in self.others.items()
        ]

    def _start_voting(self, now: float, reason: str) -> list[Effect]:
        self.state, self.is_new_storage = VoterState.VOTING, False
        self.due_at, self.reason = now, ""
        write = self.log.write(tuple(self.votes.by_lease.values()), self.voter_set)
        return [write, LeaseEvent(LeaseEventKind.VOTING, reason=reason)]

    def handle_status_request(self, now: float, request: StatusRequest) -> list[Effect]:
        """Another voter asks what is known of it."""
        if request.voter not in self.others:
            return []
        known_version = self.log.known_versions.get(request.voter)
        self.log.record_version(request.voter, request.storage_version, is_voting=request.is_voting)
        votes, has_more = self.votes.page(now, request.after_lease)
        if self.is_voting and request.proposed_digest and request.epoch == self.voter_set.epoch:
            self._agree_to(now, request.proposed_digest)
        persisted = self.log.voter_set
        reply = StatusReply(
            self.name,
            self.log.storage_version,
            self.is_new_storage,
            self.is_voting,
            self.state in MAY_HAVE_FORGOTTEN,
            known_version,
            request.after_lease,
            votes,
            has_more,
            request.request_id,
            persisted.epoch if persisted else 0,
            persisted.digest if persisted else 0,
            persisted.minimum_epoch if persisted else 0,
            persisted.agreed_digest if persisted else 0,
        )
        return [SendMessage(self.others[request.voter], reply)]

    # ---- the next voter set ----

    def _agree_to(self, now: float, proposed_digest: int) -> None:
        """To the first next set that is heard of; from here on no request by the set before is served."""
        agreed = self.voter_set.agree_to(proposed_digest)
        if agreed != self.voter_set:
            self.voter_set, self.due_at = agreed, now
            self.log.has_unsaved_state = True

    def _try_to_advance(self, now: float) -> list[Effect]:
        """Go on to the configured voter set, where enough have said that they agree."""
        if not self.is_voting or not self.proposed_digest:
            return []
        self._agree_to(now, self.proposed_digest)
        if self.log.voter_set != self.voter_set:
            return []
        peers = self.peers.voting()
        statuses = {name: voter_set_status(each.reply) for name, each in peers.items()}
        if not may_advance(self.voter_set, self.proposed_digest, statuses, self.name):
            return []
        self._take_over_votes(now, list(peers.values()))
        self.voter_set, self.proposed_digest = self.voter_set.successor(self.configured_voters), 0
        write = self.log.write(tuple(self.votes.by_lease.values()), self.voter_set)
        advanced = LeaseEvent(
            LeaseEventKind.VOTER_SET_ADVANCED,
            fencing_token=self.voter_set.epoch,
            reason=" ".join(self.configured_voters),
        )
        return [write, advanced]

    def handle_status_reply(self, now: float, reply: StatusReply) -> list[Effect]:
        """Another voter has said what it knows."""
        if reply.voter not in self.others:
            return []
        self.log.record_version(reply.voter, reply.storage_version, is_voting=reply.is_voting)
        if reply.known_version is not None and self._is_behind(reply.known_version):
            return self._stop_voting(now, VoterState.EXCLUDED)
        if (self.is_voting and not self.proposed_digest) or self.state in IGNORES_REPLIES:
            return []
        if reply.request_id != self.peers.request_id:
            return []
        if self.peers.add(reply):
            self.due_at = now
        return self._evaluate_replies(now)

    def _evaluate_replies(self, now: float) -> list[Effect]:
        """Whether what was heard is enough to vote."""
        if self.is_voting:
            return self._try_to_advance(now)
        if self.state is VoterState.STARTING:
            if self.peers.with_intact_storage(self.voter_set.voters) + 1 >= self.majority:
                return self._start_voting(now, "a majority has seen nothing newer")
            return []
        voting = self.peers.voting_by(self.voter_set)
        if len(voting) >= self.majority:
            return self._admit(now, voting)
        if (
            self.state is VoterState.NEW_STORAGE
            and self.voter_set.epoch == 1
            and len(self.peers.by_voter) == len(self.others)
            and self.peers.all_found(self.log.storage_version.storage_id, self._is_behind)
        ):
            self._is_founding = True  # and nobody has voted, so there is nothing to catch up with
            return self._start_waiting(now)
        return []

    def _admit(self, now: float, voting: list[PeerStatus]) -> list[Effect]:
        """Enough are there that vote: wait a duration, and then go by the votes that they report."""
        for peer in voting:
            known = peer.reply.known_version
            if known is not None and known.storage_id == self.log.storage_version.storage_id:
                # or it would be found behind again
                self.log.vote_count = max(self.log.vote_count, known.vote_count + 1)
        self._is_founding = False
        self._take_over_votes(now, voting)
        if self.state is VoterState.CATCHING_UP:
            return self._start_voting(now, "a majority has told it what was promised")
        return self._start_waiting(now)

    def _take_over_votes(self, now: float, peers: list[PeerStatus]) -> None:
        """The votes of others count as this voter's own."""
        for report in [each for peer in peers for each in peer.votes.values()]:
            if self.votes.take_over(now, report):
                self.log.withhold_grant(report.lease)

    def _start_waiting(self, now: float) -> list[Effect]:
        """Wait until what it may have voted for before it forgot is over; other votes count as new."""
        longest_s = self.votes.longest_duration_s
        self.waiting_until = self.started_at + longest_s * (1 + self.timings.clock_drift)
        self.votes.restart_durations(now)
        self.state, self.due_at = VoterState.WAITING, now
        return []
