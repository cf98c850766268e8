"""A voter: grants each lease to one holder at a time, after the vote is on disk, and only while it may vote.

Each new vote is written with its lease, fencing token and holder. A renewal is not written; instead, after a
start every vote on disk counts as cast at that moment, for a whole duration. Therefore a fleet whose leases
are only renewed writes nothing.

`Voter` combines parts that have their own state and rules: `lease_granter` answers requests from the votes in
`vote_table`; `voter_startup` decides from the replies of the other voters (`peer_replies`) whether the voter
may vote (`voter_state`); `voter_set_change` keeps the current voter set; `vote_log` tracks the writes.
"""

from __future__ import annotations

import math

from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    PeerAddress,
    PersistedState,
    SendMessage,
)
from stairhatch.fleet.lease import LeaseConfig
from stairhatch.fleet.lease_granter import LeaseGranter
from stairhatch.fleet.messages import LeaseQuery, LeaseRelease, LeaseRequest, StatusReply, StatusRequest
from stairhatch.fleet.peer_replies import PeerReplies
from stairhatch.fleet.vote_log import CompletedWrite, VoteLog
from stairhatch.fleet.vote_table import VoteTable
from stairhatch.fleet.voter_set import VoterSet, digest_of
from stairhatch.fleet.voter_set_change import VoterSetChange
from stairhatch.fleet.voter_startup import VoterStartup
from stairhatch.fleet.voter_state import IGNORES_REPLIES, VoterEligibility, VoterState

STATUS_INTERVAL_S = 0.2  # between status requests to each other voter, unless settled
SETTLED_STATUS_INTERVAL_S = (
    3.0  # while voting without a proposed voter set: lets others detect a restored old data directory
)
DISK_RETRY_S = 1.0  # between attempts to write after a failed write


class Voter:
    """Sans-I/O protocol of one voter: each method takes the current time and returns effects."""

    def __init__(
        self,
        name: str,
        config: LeaseConfig,
        persisted: PersistedState,
        now: float,
    ) -> None:
        """`config` has the configured voter set; `persisted` is the content of the data directory."""
        self.name = name
        self.others = {voter: address for voter, address in config.voters.items() if voter != name}
        self.log = VoteLog(persisted)
        self.votes = VoteTable(persisted.votes, config.timings, now)
        # The request ids depend on the incarnation: replies to requests of an earlier start are ignored.
        version = persisted.storage_version
        self.peers = PeerReplies(self.others, digest_of((version.storage_id, str(version.incarnation))))
        self.eligibility = VoterEligibility(is_new_storage=not persisted.admitted, now=now)
        configured = VoterSet(config.epoch, tuple(sorted(config.voters)), 0, config.epoch)
        self.voter_sets = VoterSetChange(name, configured, self.votes, self.log, self.peers)
        self.startup = VoterStartup(self.eligibility, self.voter_sets, self.votes, self.log, self.peers)
        self.granter = LeaseGranter(name, self.eligibility, self.voter_sets, self.votes, self.log)

    @property
    def is_voting(self) -> bool:
        """Whether the voter may grant leases."""
        return self.eligibility.is_voting

    @property
    def due_at(self) -> float:
        """When `tick` should be called next."""
        return self.eligibility.due_at

    # ---- Requests of lease clients ----

    def handle_request(self, now: float, sender: PeerAddress, request: LeaseRequest) -> list[Effect]:
        """Compare the reported storage versions, then answer the request or write the vote for it."""
        effects = self.startup.compare_versions(now, request.storage_versions)
        return [*effects, *self.granter.handle_request(now, sender, request)]

    def handle_release(self, now: float, release: LeaseRelease) -> list[Effect]:
        """Release a lease if the vote is for this holder and fencing token; otherwise do nothing."""
        return self.granter.handle_release(now, release)

    def handle_query(self, now: float, query: LeaseQuery, sender: PeerAddress) -> list[Effect]:
        """Return the reply with the holder that this voter has voted for."""
        return self.granter.handle_query(now, query, sender)

    # ---- Completion of disk writes ----

    def write_completed(self, now: float, write_id: int, fault: str) -> list[Effect]:
        """Handle the end of a write; `fault` describes its failure, "" means success.

        A successful write sends the grant that waited for it. The content of a write is not reported to other
        members before the write has succeeded. A failed write stops the voting until a write succeeds.
        """
        write = self.log.complete(write_id)
        if fault:
            return self._write_failed(now, write, fault)
        self.log.mark_persisted(write)
        if self.eligibility.state is VoterState.DISK_FAILED:
            if self.log.unwritten:
                return []
            self.eligibility.start_voting(now)
            return [LeaseEvent(LeaseEventKind.VOTING, reason="the disk accepts votes again")]
        if write.grant is None or not self.is_voting:
            return []
        return [*self.granter.send_grant(now, write.grant), *self._storage_version_reports()]

    def _storage_version_reports(self) -> list[Effect]:
        """Return reports of the storage version to the other voters.

        With these reports they can detect that this data directory was replaced by an older copy.
        """
        status = StatusRequest(
            self.name,
            self.log.storage_version,
            self.eligibility.is_new_storage,
            True,
            epoch=self.voter_sets.current.epoch,
        )
        return [SendMessage(address, status) for address in self.others.values()]

    def _write_failed(self, now: float, write: CompletedWrite, fault: str) -> list[Effect]:
        has_failed_before = self.eligibility.state is VoterState.DISK_FAILED
        if not self.is_voting and not has_failed_before:
            self.log.abandon(write)  # a voter writes all its votes when it starts to vote
            return []
        self.eligibility.due_at = min(self.eligibility.due_at, now + DISK_RETRY_S)
        if has_failed_before:
            return []
        self.eligibility.fail_disk(fault)
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=f"{self.eligibility.state.value}: {fault}")]

    # ---- Timed actions ----

    def tick(self, now: float) -> list[Effect]:
        """Do what is due: send status requests, end a wait, or retry the disk."""
        if now < self.eligibility.due_at:
            return []
        match self.eligibility.state:
            case VoterState.DISK_FAILED:
                self.eligibility.due_at = now + DISK_RETRY_S
                return [self.log.retry(self.voter_sets.current)]
            case VoterState.MISCONFIGURED:
                self.eligibility.due_at = math.inf
                return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=self.eligibility.reason)]
        effects = self.startup.report_new_storage()
        if started := self.startup.tick(now):
            return [*effects, *started]
        return [*effects, *self._try_to_advance(now), *self._exchange_statuses(now)]

    def _exchange_statuses(self, now: float) -> list[Effect]:
        """Send status requests to the other voters, and write the unsaved state if this voter votes."""
        is_settled = self.is_voting and not self.voter_sets.is_proposing
        interval_s = SETTLED_STATUS_INTERVAL_S if is_settled else STATUS_INTERVAL_S
        self.eligibility.due_at = now + interval_s
        effects: list[Effect] = []
        if not self.others and self.eligibility.state is VoterState.NEW_STORAGE:
            effects += self.startup.evaluate_replies(now)
        if self.is_voting and self.log.has_unsaved_state:
            effects.append(self.log.write((), self.voter_sets.current))
        effects += self._status_requests()
        if self.eligibility.state is VoterState.WAITING:
            self.eligibility.due_at = min(self.eligibility.due_at, self.eligibility.waiting_until)
        return effects

    def _status_requests(self) -> list[Effect]:
        proposed_digest = self.voter_sets.proposed_digest if self.is_voting else 0
        return [
            SendMessage(
                address,
                StatusRequest(
                    self.name,
                    self.log.storage_version,
                    self.eligibility.is_new_storage,
                    self.is_voting,
                    self.peers.next_page(name),
                    self.peers.request_id,
                    self.voter_sets.current.epoch,
                    proposed_digest,
                ),
            )
            for name, address in self.others.items()
        ]

    # ---- Messages of other voters ----

    def handle_status_request(self, now: float, request: StatusRequest) -> list[Effect]:
        """Store another voter's storage version; return a reply with this voter's state and votes.

        If the other voter proposes a next voter set, agree to it. A sender outside the configured voter set
        gets no reply.
        """
        if request.voter not in self.others:
            return []
        known_version = self.log.known_versions.get(request.voter)
        self.log.record_version(request.voter, request.storage_version, is_voting=request.is_voting)
        votes, has_more = self.votes.page(now, request.after_lease)
        if self.is_voting and request.proposed_digest and request.epoch == self.voter_sets.current.epoch:
            self._agree_to(now, request.proposed_digest)
        persisted = self.log.voter_set
        reply = StatusReply(
            voter=self.name,
            storage_version=self.log.storage_version,
            is_new_storage=self.eligibility.is_new_storage,
            is_voting=self.is_voting,
            may_have_forgotten=self.eligibility.may_have_forgotten,
            known_version=known_version,
            after_lease=request.after_lease,
            votes=votes,
            has_more=has_more,
            request_id=request.request_id,
            epoch=persisted.epoch if persisted else 0,
            voter_set_digest=persisted.digest if persisted else 0,
            minimum_epoch=persisted.minimum_epoch if persisted else 0,
            agreed_digest=persisted.agreed_digest if persisted else 0,
        )
        return [SendMessage(self.others[request.voter], reply)]

    def handle_status_reply(self, now: float, reply: StatusReply) -> list[Effect]:
        """Handle another voter's status reply.

        Exclude this voter if the other one knows a newer version of this voter's storage. Otherwise use the
        reply, if it answers the present request, to start voting or to advance to the proposed voter set.
        """
        if reply.voter not in self.others:
            return []
        self.log.record_version(reply.voter, reply.storage_version, is_voting=reply.is_voting)
        if reply.known_version is not None and self.startup.is_behind(reply.known_version):
            return self.startup.exclude(now)
        is_settled = self.is_voting and not self.voter_sets.is_proposing
        if is_settled or self.eligibility.state in IGNORES_REPLIES:
            return []
        if reply.request_id != self.peers.request_id:
            return []
        if self.peers.add(reply):
            self.eligibility.due_at = now
        return self._try_to_advance(now) if self.is_voting else self.startup.evaluate_replies(now)

    def _agree_to(self, now: float, proposed_digest: int) -> None:
        """Agree to a next voter set unless one is agreed already; report a new agreement at once."""
        if self.voter_sets.agree_to(proposed_digest):
            self.eligibility.due_at = now

    def _try_to_advance(self, now: float) -> list[Effect]:
        """Advance to the configured voter set if a majority of the current set has agreed to it."""
        if not self.is_voting or not self.voter_sets.is_proposing:
            return []
        self._agree_to(now, self.voter_sets.proposed_digest)
        return self.voter_sets.advance(now)
