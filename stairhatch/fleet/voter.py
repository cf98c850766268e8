"""One voter: grants a lease to one holder at a time, once its vote is on disk, and only while it may vote.

What is written: the lease, its fencing token and its holder at each new vote. A renewal is not: after a start
every vote on disk counts as cast just then, for a whole duration. So a fleet at rest writes nothing.

`Voter` joins its parts, each of which has state and rules of its own: `lease_granter` answers requests by
the votes in `vote_table`; `voter_startup` decides whether the voter may vote (`voter_state`) by what the
others reply (`peer_replies`); `voter_set_change` has the voters that count, `vote_log` the writes.
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

STATUS_INTERVAL_S = 0.2  # between two status requests to each other voter
SETTLED_STATUS_INTERVAL_S = (
    3.0  # of a voter that votes, so that others hear of a directory that came back old
)
DISK_RETRY_S = 1.0  # a disk that took no write is tried again


class Voter:
    """The decisions of one voter. Each call is given the time and answers with effects."""

    def __init__(
        self,
        name: str,
        config: LeaseConfig,
        kept: PersistedState,
        now: float,
    ) -> None:
        """`config` has the configured voter set, `kept` is what the data directory held."""
        self.name = name
        self.others = {each: place for each, place in config.voters.items() if each != name}
        self.log = VoteLog(kept)
        self.votes = VoteTable(kept.votes, config.timings, now)
        # Replies to requests of an earlier start don't count.
        version = kept.storage_version
        self.peers = PeerReplies(self.others, digest_of((version.storage_id, str(version.incarnation))))
        self.eligibility = VoterEligibility(is_new_storage=not kept.admitted, now=now)
        configured = VoterSet(config.epoch, tuple(sorted(config.voters)), 0, config.epoch)
        self.voter_sets = VoterSetChange(name, configured, self.votes, self.log, self.peers)
        self.startup = VoterStartup(self.eligibility, self.voter_sets, self.votes, self.log, self.peers)
        self.granter = LeaseGranter(name, self.eligibility, self.voter_sets, self.votes, self.log)

    @property
    def is_voting(self) -> bool:
        """Whether it may grant leases."""
        return self.eligibility.is_voting

    @property
    def due_at(self) -> float:
        """When `tick` should be called next."""
        return self.eligibility.due_at

    # ---- leases ----

    def handle_request(self, now: float, sender: PeerAddress, request: LeaseRequest) -> list[Effect]:
        """Grant a lease once the vote is on disk, or reject it with the reason."""
        effects = self.startup.compare_versions(now, request.storage_versions)
        return [*effects, *self.granter.handle_request(now, sender, request)]

    def handle_release(self, now: float, release: LeaseRelease) -> list[Effect]:
        """The holder wants a lease no longer."""
        return self.granter.handle_release(now, release)

    def handle_query(self, now: float, query: LeaseQuery, sender: PeerAddress) -> list[Effect]:
        """Say who holds a lease."""
        return self.granter.handle_query(now, query, sender)

    # ---- the disk ----

    def write_completed(self, now: float, write_id: int, fault: str) -> list[Effect]:
        """A write has ended; `fault` says what went wrong, "" for nothing.

        Only now is said what it holds; a fault ends the voting until a write succeeds.
        """
        write = self.log.complete(write_id)
        if fault:
            return self._write_failed(now, write, fault)
        self.log.mark_persisted(write)
        if self.eligibility.state is VoterState.DISK_FAILED:
            if self.log.unwritten:
                return []
            self.eligibility.start_voting(now)
            return [LeaseEvent(LeaseEventKind.VOTING, reason="the disk takes promises again")]
        if write.grant is None or not self.is_voting:
            return []
        return [*self.granter.send_grant(now, write.grant), *self._vote_reports()]

    def _vote_reports(self) -> list[Effect]:
        """Tell the others how far this voter has come, so that they know a directory that comes back old."""
        status = StatusRequest(
            self.name,
            self.log.storage_version,
            self.eligibility.is_new_storage,
            True,
            epoch=self.voter_sets.current.epoch,
        )
        return [SendMessage(place, status) for place in self.others.values()]

    def _write_failed(self, now: float, write: CompletedWrite, fault: str) -> list[Effect]:
        has_failed_before = self.eligibility.state is VoterState.DISK_FAILED
        if not self.is_voting and not has_failed_before:
            self.log.abandon(write)  # it does not vote as it is, and writes all of it when it does
            return []
        self.eligibility.due_at = min(self.eligibility.due_at, now + DISK_RETRY_S)
        if has_failed_before:
            return []
        self.eligibility.fail_disk(fault)
        return [LeaseEvent(LeaseEventKind.NOT_VOTING, reason=f"{self.eligibility.state.value}: {fault}")]

    # ---- what is due ----

    def tick(self, now: float) -> list[Effect]:
        """What is due: status requests, the end of a wait, and a disk that is tried again."""
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
        """Ask the others, and write what is known of them."""
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
                place,
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
            for name, place in self.others.items()
        ]

    # ---- the other voters ----

    def handle_status_request(self, now: float, request: StatusRequest) -> list[Effect]:
        """Another voter asks what is known of it."""
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
        """Handle another voter's status reply."""
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
        """To the first next set that is heard of, which is said at once."""
        if self.voter_sets.agree_to(proposed_digest):
            self.eligibility.due_at = now

    def _try_to_advance(self, now: float) -> list[Effect]:
        """Go on to the configured voter set, where enough have said that they agree."""
        if not self.is_voting or not self.voter_sets.is_proposing:
            return []
        self._agree_to(now, self.voter_sets.proposed_digest)
        return self.voter_sets.advance(now)
